//! Decisions where responses report free slots only, seldom and late, and clients estimate the work. No
//! report states which dispatcher's jobs occupy the other slots.

mod common;

use common::{entry, request, settings, Host, MS};
use lineroute::*;

/// Settings with a class that has a short aim, one that can wait, and worth counted by work.
fn report_settings() -> Settings {
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

/// Serves two jobs in each one-second round; worker `i + 1` reports `reports[i]` free slots each time.
fn host_with_reports(reports: [f64; 2], rounds: u64) -> (Host, Micros) {
    let mut host = Host::new(report_settings(), 7);
    host.update_list(0, ListKind::Cached, (1..=2).map(|i| entry(i, 0, None)).collect());
    // Both have reported four slots.
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
                host.end_attempt(now + 100 * MS, &id, 0, Outcome::Served, 100 * MS, report);
            }
        }
        for (worker, free_slots) in (1..).zip(reports) {
            let (outcome, report) = (Outcome::Served, free(free_slots));
            host.event(now + 200 * MS, Event::ProbeEnded { worker: WorkerId(worker), outcome, report });
        }
    }
    (host, now + 400 * MS)
}

/// A probe takes time at the worker, and its report is no more recent than one sent with a response.
#[test]
fn requests_cause_no_probes_where_responses_carry_reports() {
    let (mut host, now) = host_with_reports([4.0, 4.0], 3);
    let mut probed = 0;
    for i in 0..20 {
        let actions = host.event(now + i * 50 * MS, Event::Request(request(i, 0, now + 9000 * MS)));
        probed += probes(&actions);
        for (id, _) in sends(&actions) {
            probed += probes(&host.end_attempt(now + i * 50 * MS, &id, 0, Outcome::Served, MS, free(4.0)));
        }
    }
    assert_eq!(probed, 0);
}

/// A worker filled by other dispatchers gets less, even if this dispatcher has no job in flight there.
#[test]
fn slots_occupied_by_other_dispatchers_do_not_count_as_capacity() {
    let (mut host, now) = host_with_reports([0.0, 4.0], 12);
    let mut at = [0; 2];
    for i in 0..4 {
        for (_, worker) in sends(&host.event(now, Event::Request(request(i, 1, now + 25_000 * MS)))) {
            at[worker as usize - 1] += 1;
        }
    }
    assert_eq!(at, [0, 4], "worker 1 is filled by other dispatchers' jobs");
}

/// Guards against queues at workers, which cannot be reordered, while no report includes the jobs in flight.
#[test]
fn requests_beyond_the_own_count_of_free_slots_are_held_despite_outdated_reports() {
    let (mut host, now) = host_with_reports([4.0, 4.0], 3);
    let mut placed = 0;
    for i in 0..12 {
        placed += sends(&host.event(now, Event::Request(request(i, 1, now + 25_000 * MS)))).len();
    }
    assert_eq!(placed, 8, "four slots at each of two workers");
    // Each attempt that ends makes room for one request.
    let actions = host.end_attempt(now + 900 * MS, "0", 0, Outcome::Served, 900 * MS, free(0.0));
    assert_eq!(sends(&actions).len(), 1);
}

/// By their work hints: a short job misses its aim first; the longer a job runs, the longer it can wait.
#[test]
fn the_held_request_with_the_least_slack_for_its_worth_is_sent_first() {
    let (mut host, now) = host_with_reports([4.0, 4.0], 3);
    for i in 0..8 {
        host.event(now, Event::Request(request(i, 1, now + 25_000 * MS)));
    }
    let mut hold = |id, class, work: Micros| {
        let job = Request { work: Some(work), ..request(id, class, now + 25_000 * MS) };
        assert!(sends(&host.event(now + MS, Event::Request(job))).is_empty(), "request {id} should be held");
    };
    hold(10, 1, 4000 * MS);
    hold(11, 1, 400 * MS);
    hold(12, 0, 300 * MS);
    let mut order = Vec::new();
    for i in 0..3 {
        let actions =
            host.end_attempt(now + 3000 * MS, &i.to_string(), 0, Outcome::Served, 2999 * MS, free(0.0));
        order.extend(sends(&actions).into_iter().map(|(id, _)| id));
    }
    assert_eq!(order, ["12", "11", "10"]);
}

/// Job starts are not reported, so the time after which a job counts as lost depends on its work hint.
#[test]
fn the_time_until_a_job_counts_as_lost_grows_with_its_work_hint() {
    let (mut host, now) = host_with_reports([4.0, 4.0], 3);
    for (id, work) in [(1, 100 * MS), (2, 4000 * MS)] {
        let job = Request { work: Some(work), ..request(id, 1, now + 60_000 * MS) };
        assert_eq!(sends(&host.event(now, Event::Request(job))).len(), 1);
    }
    let mut cancelled = Vec::new();
    for second in 1..=50 {
        let actions = host.advance(now + second * 1000 * MS);
        cancelled.extend(actions.iter().filter_map(|action| match action {
            Action::Cancel(id, _) => Some((id.0.to_string(), second)),
            _ => None,
        }));
        for (id, _) in &cancelled {
            host.end_attempt(now + second * 1000 * MS, id, 0, Outcome::Cancelled, 1000 * MS, None);
        }
    }
    let [(first, early), (second, late)] = &cancelled[..] else { panic!("{cancelled:?}") };
    assert_eq!((&first[..], &second[..]), ("1", "2"));
    assert!(*early <= 12 && *late >= 25, "{cancelled:?}");
}

/// Without a response the job may have run: one that must not run twice is neither cancelled nor sent again.
#[test]
fn a_once_job_without_a_response_gets_no_second_attempt() {
    let (mut host, now) = host_with_reports([4.0, 4.0], 3);
    let job = Request { work: Some(100 * MS), ..request(1, 2, now + 5000 * MS) };
    assert_eq!(sends(&host.event(now, Event::Request(job))).len(), 1);
    let actions = host.advance(now + 4999 * MS);
    assert!(
        sends(&actions).is_empty() && !actions.iter().any(|a| matches!(a, Action::Cancel(..))),
        "{actions:?}"
    );
    let actions = host.end_attempt(now + 5000 * MS, "1", 0, Outcome::TimedOut, 5000 * MS, None);
    assert!(sends(&actions).is_empty(), "{actions:?}");
    assert!(
        !actions.iter().any(|a| matches!(a, Action::Refuse { .. })),
        "a refusal would state that the job never ran"
    );
    assert_eq!(host.final_answers("1"), 1);
}

/// Guards against held jobs that probe a dead worker at every tick, 40 times a second or more.
#[test]
fn a_dead_worker_is_not_probed_for_every_held_job() {
    let (mut host, now) = host_with_reports([4.0, 4.0], 3);
    // Worker 2 is dead: its probes fail.
    let failed_probe =
        |worker| Event::ProbeEnded { worker: WorkerId(worker), outcome: Outcome::NoRoute, report: None };
    host.event(now, failed_probe(2));
    host.event(now + MS, failed_probe(2));
    for i in 0..9 {
        host.event(now + 2 * MS, Event::Request(request(i, 1, now + 25_000 * MS)));
    }
    let mut probed = 0;
    for step in 1..=100 {
        let at = now + step * 10 * MS;
        let mut actions = host.advance(at);
        while probes(&actions) > 0 {
            probed += probes(&actions);
            actions = host.event(at, failed_probe(2));
        }
    }
    assert!(probed <= 6, "{probed} probes in a second");
}

/// By its work hint, a single heavy job can exceed the budget of a worker that has just started; a light one
/// does not.
#[test]
fn a_cold_worker_gets_a_heavy_job_only_after_its_budget_has_grown_enough() {
    let placed_after = |work: Micros| {
        let mut host = Host::new(report_settings(), 3);
        host.update_list(0, ListKind::Cached, vec![entry(1, 0, Some(1))]);
        let mut now = 2;
        let job = Request { work: Some(work), ..request(1, 1, 60_000 * MS) };
        let mut actions = host.event(now, Event::Request(job));
        while sends(&actions).is_empty() && now < 50_000 * MS {
            now += 20 * MS;
            actions = host.advance(now);
        }
        now / MS
    };
    let (light, heavy) = (placed_after(20 * MS), placed_after(8000 * MS));
    assert!(
        light < 1000 && heavy > light + 1000,
        "light job sent after {light} ms, heavy one after {heavy} ms"
    );
}
