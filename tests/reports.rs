//! Workers whose answers tell of free slots alone, rarely and late, and clients that guess at the work: what
//! the module makes of them. Nobody tells who holds the slots that are not free.

mod common;

use common::{entry, request, settings, Host, MS};
use lineroute::*;

/// Two workers, a class that wants its answer soon and one that can wait, worth by work.
fn site() -> Settings {
    let mut s = settings();
    s.instances = 3;
    s.reports_count_jobs = false;
    s.worth_by_work = true;
    s.allowed.probe = true;
    s.classes[0].aim = 150 * MS;
    s.classes[0].stretch = 2.0;
    s.classes[1].aim = 1000 * MS;
    s.classes[1].deadline = 25_000 * MS;
    s.classes[1].stretch = 2.0;
    s
}

fn sends(actions: &[Action]) -> Vec<(String, u32)> {
    let send = |action: &Action| match action {
        Action::Send { id, worker, .. } => Some((id.0.to_string(), worker.0)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

fn probes(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Probe(_))).count()
}

fn free(slots: f64) -> Option<Report> {
    Some(Report { free_slots: Some(slots), ..Report::default() })
}

/// Serves one job at each worker, which then reports so many free slots, for some rounds a second apart.
fn taught(reports: [f64; 2], rounds: u64) -> (Host, Micros) {
    let mut host = Host::new(site(), 7);
    host.list(0, ListKind::Cached, (1..=2).map(|i| entry(i, 0, None)).collect());
    // Both have shown four slots.
    for worker in 1..=2 {
        let report = free(4.0);
        host.event(1, Event::ProbeEnded { worker: WorkerId(worker), outcome: Outcome::Served, report });
    }
    let mut now = MS;
    for round in 0..rounds {
        for job in 0..2 {
            now += 500 * MS;
            let id = 1000 + round * 2 + job;
            let placed = sends(&host.event(now, Event::Request(request(id, 0, now + 5000 * MS))));
            for (id, worker) in placed {
                let report = free(reports[worker as usize - 1]);
                host.close(now + 100 * MS, &id, 0, Outcome::Served, 100 * MS, report);
            }
        }
        for (worker, free_slots) in (1..).zip(reports) {
            let (outcome, report) = (Outcome::Served, free(free_slots));
            host.event(now + 200 * MS, Event::ProbeEnded { worker: WorkerId(worker), outcome, report });
        }
    }
    (host, now + 400 * MS)
}

/// A probe costs the worker its time, and its report is no fresher than that of an answer.
#[test]
fn no_request_costs_a_probe_where_answers_report() {
    let (mut host, now) = taught([4.0, 4.0], 3);
    let mut asked = 0;
    for i in 0..20 {
        let acts = host.event(now + i * 50 * MS, Event::Request(request(i, 0, now + 9000 * MS)));
        asked += probes(&acts);
        for (id, _) in sends(&acts) {
            asked += probes(&host.close(now + i * 50 * MS, &id, 0, Outcome::Served, MS, free(4.0)));
        }
    }
    assert_eq!(asked, 0);
}

/// A worker that others fill gets less, though this dispatcher has nothing out there.
#[test]
fn slots_that_others_hold_are_left_out_of_account() {
    let (mut host, now) = taught([0.0, 4.0], 12);
    let mut at = [0; 2];
    for i in 0..4 {
        for (_, worker) in sends(&host.event(now, Event::Request(request(i, 1, now + 25_000 * MS)))) {
            at[worker as usize - 1] += 1;
        }
    }
    assert_eq!(at, [0, 4], "worker 1 is full of other dispatchers' jobs");
}

/// Guards against queues at workers, which nobody can reorder, while own jobs out are not in any report yet.
#[test]
fn what_does_not_fit_by_own_count_waits_here_whatever_an_old_report_says() {
    let (mut host, now) = taught([4.0, 4.0], 3);
    let mut placed = 0;
    for i in 0..12 {
        placed += sends(&host.event(now, Event::Request(request(i, 1, now + 25_000 * MS)))).len();
    }
    assert_eq!(placed, 8, "four slots at each of two workers");
    // Each that ends makes room for one.
    let acts = host.close(now + 900 * MS, "0", 0, Outcome::Served, 900 * MS, free(0.0));
    assert_eq!(sends(&acts).len(), 1);
}

/// By hint: a short job misses its aim first, a long one can wait the longer the more it has to do.
#[test]
fn of_those_that_wait_the_one_with_least_slack_for_its_worth_goes_first() {
    let (mut host, now) = taught([4.0, 4.0], 3);
    for i in 0..8 {
        host.event(now, Event::Request(request(i, 1, now + 25_000 * MS)));
    }
    let mut wait = |id, class, work: Micros| {
        let job = Request { work: Some(work), ..request(id, class, now + 25_000 * MS) };
        assert!(sends(&host.event(now + MS, Event::Request(job))).is_empty(), "{id} waits");
    };
    wait(10, 1, 4000 * MS);
    wait(11, 1, 400 * MS);
    wait(12, 0, 300 * MS);
    let mut order = Vec::new();
    for i in 0..3 {
        let acts = host.close(now + 3000 * MS, &i.to_string(), 0, Outcome::Served, 2999 * MS, free(0.0));
        order.extend(sends(&acts).into_iter().map(|(id, _)| id));
    }
    assert_eq!(order, ["12", "11", "10"]);
}

/// Nothing tells that a job has begun: how long one may stay out without being missed goes by its hint.
#[test]
fn a_job_is_missed_the_later_the_longer_it_was_said_to_run() {
    let (mut host, now) = taught([4.0, 4.0], 3);
    for (id, work) in [(1, 100 * MS), (2, 4000 * MS)] {
        let job = Request { work: Some(work), ..request(id, 1, now + 60_000 * MS) };
        assert_eq!(sends(&host.event(now, Event::Request(job))).len(), 1);
    }
    let mut called_back = Vec::new();
    for second in 1..=50 {
        let acts = host.advance(now + second * 1000 * MS);
        called_back.extend(acts.iter().filter_map(|action| match action {
            Action::Cancel(id, _) => Some((id.0.to_string(), second)),
            _ => None,
        }));
        for (id, _) in &called_back {
            host.close(now + second * 1000 * MS, id, 0, Outcome::Cancelled, 1000 * MS, None);
        }
    }
    let [(first, early), (second, late)] = &called_back[..] else { panic!("{called_back:?}") };
    assert_eq!((&first[..], &second[..]), ("1", "2"));
    assert!(*early <= 12 && *late >= 25, "{called_back:?}");
}

/// In doubt it ran: what may not run twice is neither called back nor sent again, however long nothing comes.
#[test]
fn what_may_not_run_twice_gets_no_second_attempt_when_nothing_comes_back() {
    let (mut host, now) = taught([4.0, 4.0], 3);
    let job = Request { work: Some(100 * MS), ..request(1, 2, now + 5000 * MS) };
    assert_eq!(sends(&host.event(now, Event::Request(job))).len(), 1);
    let acts = host.advance(now + 4999 * MS);
    assert!(sends(&acts).is_empty() && !acts.iter().any(|a| matches!(a, Action::Cancel(..))), "{acts:?}");
    let acts = host.close(now + 5000 * MS, "1", 0, Outcome::TimedOut, 5000 * MS, None);
    assert!(sends(&acts).is_empty(), "{acts:?}");
    assert!(
        !acts.iter().any(|a| matches!(a, Action::Refuse { .. })),
        "a refusal would promise that it never ran"
    );
    assert_eq!(host.finals("1"), 1);
}

/// Jobs that wait for room elsewhere looked at a dead worker at every tick, 40 times a second and more.
#[test]
fn a_dead_worker_is_not_looked_at_by_every_job_that_waits() {
    let (mut host, now) = taught([4.0, 4.0], 3);
    // Worker 2 dies: it is found out, and probes fail.
    let dead =
        |worker| Event::ProbeEnded { worker: WorkerId(worker), outcome: Outcome::NoRoute, report: None };
    host.event(now, dead(2));
    host.event(now + MS, dead(2));
    for i in 0..9 {
        host.event(now + 2 * MS, Event::Request(request(i, 1, now + 25_000 * MS)));
    }
    let mut asked = 0;
    for step in 1..=100 {
        let at = now + step * 10 * MS;
        let mut acts = host.advance(at);
        while probes(&acts) > 0 {
            asked += probes(&acts);
            acts = host.event(at, dead(2));
        }
    }
    assert!(asked <= 6, "{asked} probes in a second");
}

/// By its hint one heavy job alone can be too much for a worker that has just started; light ones are not.
#[test]
fn a_cold_worker_gets_no_heavy_job_before_its_part_of_the_budget_has_grown_by_it() {
    let placed_after = |work: Micros| {
        let mut host = Host::new(site(), 3);
        host.list(0, ListKind::Cached, vec![entry(1, 0, Some(1))]);
        let mut now = 2;
        let job = Request { work: Some(work), ..request(1, 1, 60_000 * MS) };
        let mut acts = host.event(now, Event::Request(job));
        while sends(&acts).is_empty() && now < 50_000 * MS {
            now += 20 * MS;
            acts = host.advance(now);
        }
        now / MS
    };
    let (light, heavy) = (placed_after(20 * MS), placed_after(8000 * MS));
    assert!(light < 1000 && heavy > light + 1000, "light after {light} ms, heavy after {heavy} ms");
}
