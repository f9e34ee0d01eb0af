//! Tests of the decision module through its public interface, one for each failure that was found or must not
//! occur.

mod common;

use common::{entry, request, settings, Host, MS};
use lineroute::*;

fn sends(actions: &[Action]) -> Vec<(String, u32)> {
    let send = |a: &Action| match a {
        Action::Send { id, worker, .. } => Some((id.0.to_string(), worker.0)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

fn two_workers(settings: Settings) -> Host {
    let mut host = Host::new(settings, 1);
    host.update_list(0, ListKind::Cached, vec![entry(1, 0, None), entry(2, 1, None)]);
    host
}

#[test]
fn invalid_settings_are_reported_by_key() {
    let mut s = settings();
    s.rules.cold_from = 0.0;
    assert_eq!(Balancer::new(s, 1).unwrap_err().key, "rules.cold_from");
    let mut s = settings();
    s.classes[1].late_share = f64::NAN;
    assert_eq!(Balancer::new(s, 1).unwrap_err().key, "classes[1].late_share");
    let mut s = settings();
    s.classes.clear();
    assert_eq!(Balancer::new(s, 1).unwrap_err().key, "classes");
}

#[test]
fn draining_workers_get_no_requests() {
    let mut host = two_workers(settings());
    let mut draining = entry(1, 0, None);
    draining.stage = Stage::Draining;
    host.update_list(1, ListKind::Delta, vec![draining]);
    for i in 0..6 {
        let actions = host.event(10 * MS + i, Event::Request(request(i, 0, 5000 * MS)));
        assert_eq!(sends(&actions), vec![(i.to_string(), 2)]);
    }
}

#[test]
fn shares_are_proportional_to_inverse_response_times() {
    let mut host = two_workers(settings());
    let mut counts = [0, 0];
    let mut now = 0;
    for round in 0..60 {
        let ids: Vec<u64> = (0..9).map(|k| round * 10 + k).collect();
        let mut placed = vec![];
        for &id in &ids {
            let actions = host.event(now, Event::Request(request(id, 0, now + 5000 * MS)));
            placed.extend(sends(&actions));
        }
        now += 400 * MS;
        for (id, worker) in placed {
            if round >= 20 {
                counts[worker as usize - 1] += 1;
            }
            // Worker 1 responds in 100 ms, worker 2 in 200 ms.
            host.end_attempt(now, &id, 0, Outcome::Served, 100 * MS * Micros::from(worker), None);
        }
    }
    let share = f64::from(counts[0]) / f64::from(counts[0] + counts[1]);
    assert!((0.62..0.72).contains(&share), "worker 1 should get two thirds, it got {share}");
}

#[test]
fn a_worker_without_free_slots_is_passed_over() {
    let mut host = two_workers(settings());
    let full = Report { free_slots: Some(0.0), queued: Some(0.0), in_flight: Some(2.0) };
    let free = Report { free_slots: Some(2.0), queued: Some(0.0), in_flight: Some(0.0) };
    host.event(1, Event::ProbeEnded { worker: WorkerId(1), outcome: Outcome::Served, report: Some(full) });
    host.event(1, Event::ProbeEnded { worker: WorkerId(2), outcome: Outcome::Served, report: Some(free) });
    for i in 0..2 {
        assert_eq!(sends(&host.event(2, Event::Request(request(i, 0, 5000 * MS)))), vec![(i.to_string(), 2)]);
    }
}

#[test]
fn fast_errors_do_not_attract_traffic() {
    let mut host = two_workers(settings());
    let mut sent_to_failing = 0;
    for i in 0..60 {
        let now = i * 20 * MS;
        let actions = host.event(now, Event::Request(request(i, 0, now + 5000 * MS)));
        for (id, worker) in sends(&actions) {
            sent_to_failing += u32::from(worker == 1);
            let outcome = if worker == 1 { Outcome::Fault } else { Outcome::Served };
            host.end_attempt(now + MS, &id, 0, outcome, MS, None);
        }
    }
    assert!(sent_to_failing <= 6, "{sent_to_failing} of 60 were sent to a worker that fails immediately");
}

#[test]
fn requests_are_sent_even_if_all_workers_are_suspect() {
    let mut host = two_workers(settings());
    for i in 0..10 {
        let now = i * 10 * MS;
        let actions = host.event(now, Event::Request(request(i, 2, now + 5000 * MS)));
        let placed = sends(&actions);
        assert_eq!(placed.len(), 1, "request {i} should be sent although all workers failed before");
        host.end_attempt(now + MS, &placed[0].0, 0, Outcome::Fault, MS, None);
    }
}

#[test]
fn a_worker_that_never_responds_is_avoided() {
    let mut s = settings();
    s.allowed.probe = false;
    let mut host = two_workers(s);
    let mut placed = vec![];
    for i in 0..200 {
        let now = i * 50 * MS;
        let actions = host.event(now, Event::Request(request(i, 0, now + 60_000 * MS)));
        for (id, worker) in sends(&actions) {
            placed.push((now, worker));
            if worker == 2 {
                host.end_attempt(now + MS, &id, 0, Outcome::Served, 100 * MS, None);
            }
        }
    }
    let placed_late: Vec<_> = placed.iter().filter(|(at, w)| *at > 5000 * MS && *w == 1).collect();
    assert!(
        placed_late.len() <= 2,
        "{} jobs were sent to a worker that had not responded for seconds",
        placed_late.len()
    );
}

#[test]
fn a_once_job_that_may_have_run_is_failed_and_neither_refused_nor_retried() {
    let mut host = two_workers(settings());
    host.event(0, Event::Request(request(1, 2, 5000 * MS)));
    let actions = host.end_attempt(10 * MS, "1", 0, Outcome::Cut, 10 * MS, None);
    assert!(actions.contains(&Action::Fail(request(1, 2, 0).id)), "{actions:?}");
    assert!(sends(&actions).is_empty());
}

#[test]
fn a_keyed_job_that_may_have_run_stays_in_its_zone() {
    let mut host = two_workers(settings());
    let actions = host.event(0, Event::Request(request(1, 1, 5000 * MS)));
    let (_, first) = sends(&actions)[0].clone();
    let actions = host.end_attempt(10 * MS, "1", 0, Outcome::Fault, 10 * MS, None);
    assert!(sends(&actions).iter().all(|(_, w)| *w == first), "the other worker is in another zone");
    assert!(!actions.iter().any(|a| matches!(a, Action::Refuse { .. })));
}

#[test]
fn a_restarted_worker_is_not_overloaded() {
    let mut s = settings();
    s.instances = 2;
    let mut host = Host::new(s, 3);
    host.update_list(0, ListKind::Cached, vec![entry(1, 0, Some(1000 * MS))]);
    let mut sent = 0;
    for i in 0..400 {
        let now = 1000 * MS + i * 5 * MS;
        sent += sends(&host.event(now, Event::Request(request(i, 0, now + 4000 * MS)))).len();
    }
    // Budget over two seconds: 3 x (0.1 to 0.19) of one slot, half of it for this instance; the estimate for
    // a job is 500 ms.
    assert!(sent <= 1, "{sent} jobs sent to a worker that had just started");
}

#[test]
fn a_cold_worker_shared_by_many_instances_is_used() {
    let mut total = 0;
    for seed in 0..10 {
        let mut s = settings();
        s.instances = 10;
        let mut host = Host::new(s, seed);
        host.update_list(0, ListKind::Cached, vec![entry(1, 0, Some(1))]);
        for i in 0..200 {
            let now = i * 50 * MS;
            let mut actions = host.advance(now);
            actions.extend(host.event(now, Event::Request(request(i, 0, now + 400 * MS))));
            for (id, _) in sends(&actions) {
                total += 1;
                host.end_attempt(now + MS, &id, 0, Outcome::Served, 500 * MS, None);
            }
        }
    }
    // Budget over 10 s: 3 x (0.1 to 0.55) of a slot is 9.75 s of slot time, about 19 jobs of 500 ms.
    assert!((4..=19).contains(&total), "{total} jobs from ten instances");
}

#[test]
fn outdated_reports_are_ignored() {
    let mut host = two_workers(settings());
    let stale = Report { free_slots: Some(0.0), queued: Some(0.0), in_flight: Some(0.0) };
    let idle = Report { free_slots: Some(4.0), ..stale };
    for w in 1..=2 {
        host.event(
            0,
            Event::ProbeEnded { worker: WorkerId(w), outcome: Outcome::Served, report: Some(idle) },
        );
    }
    for i in 0..4 {
        host.event(i, Event::Request(request(i, 0, 60_000 * MS)));
    }
    // Own jobs have been in flight for several ticks, but the report counts none of them.
    host.event(600 * MS, Event::Progress(request(0, 0, 0).id, AttemptNo(0), 0.1));
    host.event(800 * MS, Event::Progress(request(0, 0, 0).id, AttemptNo(0), 0.2));
    for w in 1..=2 {
        host.event(
            801 * MS,
            Event::ProbeEnded { worker: WorkerId(w), outcome: Outcome::Served, report: Some(stale) },
        );
    }
    let actions = host.event(802 * MS, Event::Request(request(9, 0, 60_000 * MS)));
    assert_eq!(sends(&actions).len(), 1);
    // Rejected by the first worker, the request is sent to the other immediately, whose outdated report of no
    // free slots is ignored.
    let actions = host.end_attempt(803 * MS, "9", 0, Outcome::NoRoom, MS, None);
    assert_eq!(sends(&actions).len(), 1, "{actions:?}");
}

#[test]
fn a_held_request_is_answered_by_its_deadline() {
    let mut s = settings();
    s.allowed.max_attempts = 5;
    let mut host = two_workers(s);
    let deadline = 300 * MS;
    host.event(0, Event::Request(request(1, 2, deadline)));
    host.end_attempt(MS, "1", 0, Outcome::NoRoom, MS, None);
    host.end_attempt(2 * MS, "1", 1, Outcome::NoRoom, MS, None);
    host.advance(deadline);
    assert_eq!(host.final_answers("1"), 1);
}

#[test]
fn over_share_tenants_are_refused_first() {
    let mut s = settings();
    s.tenants =
        vec![Tenant { quota_per_s: 10.0 }, Tenant { quota_per_s: 10.0 }, Tenant { quota_per_s: 10.0 }];
    let mut host = two_workers(s);
    let mut refused = [0, 0, 0];
    for i in 0..3000u64 {
        let now = i * 5 * MS;
        // Tenant 0 sends eight tenths of the requests; the first attempts of three quarters of all requests
        // are rejected.
        let tenant = if i % 10 < 8 { 0 } else { (i % 2 + 1) as usize };
        let mut r = request(i, 0, now + 4000 * MS);
        r.tenant = Some(TenantId(tenant));
        let actions = host.event(now, Event::Request(r));
        refused[tenant] += actions.iter().filter(|a| matches!(a, Action::Refuse { .. })).count();
        for (id, _) in sends(&actions) {
            let outcome = if i % 4 == 0 { Outcome::Served } else { Outcome::NoRoom };
            let actions = host.end_attempt(now + MS, &id, 0, outcome, 100 * MS, None);
            for (id, _) in sends(&actions) {
                host.end_attempt(now + 2 * MS, &id, 1, Outcome::Served, 100 * MS, None);
            }
        }
    }
    assert!(refused[0] > 20 * (refused[1] + refused[2]).max(1), "refused by tenant: {refused:?}");
}

#[test]
fn the_list_is_subscribed_to_at_start_and_again_after_a_failure() {
    let mut s = settings();
    s.discovery = Discovery::Subscribe;
    let retry_delay = s.rules.ask_within / 32;
    let mut host = Host::new(s, 1);
    let actions = host.update_list(0, ListKind::Cached, vec![entry(1, 0, None)]);
    assert!(actions.contains(&Action::Subscribe));
    let actions = host.event(100 * MS, Event::ListFailed);
    assert!(!actions.contains(&Action::Subscribe), "not immediately");
    assert!(host.advance(100 * MS + retry_delay).contains(&Action::Subscribe));
}

#[test]
fn invalid_input_does_not_prevent_an_answer() {
    let mut s = settings();
    s.classes[0].kind = Some(KindId(9));
    let mut host = two_workers(s);
    // No worker has the machine kind of the class: the request is refused by its deadline.
    host.event(0, Event::Request(request(1, 0, 2000 * MS)));
    host.advance(2000 * MS);
    assert_eq!(host.final_answers("1"), 1);
    // Reports with values that are not numbers, starts in the future, unknown ids.
    let invalid_report =
        Report { free_slots: Some(f64::NAN), queued: Some(f64::INFINITY), in_flight: Some(-1.0) };
    for worker in [WorkerId(1), WorkerId(77)] {
        host.event(
            2001 * MS,
            Event::ProbeEnded { worker, outcome: Outcome::Served, report: Some(invalid_report) },
        );
    }
    host.update_list(
        2002 * MS,
        ListKind::Delta,
        vec![entry(1, 0, Some(u64::MAX)), entry(2, 1, Some(u64::MAX))],
    );
    host.event(2003 * MS, Event::Request(request(2, 1, 6000 * MS)));
    host.event(2004 * MS, Event::Aborted(request(99, 0, 0).id));
    host.event(2004 * MS, Event::Timer(5));
    host.end_attempt(2005 * MS, "no such request", 3, Outcome::Served, 0, None);
    // The answer does not depend on the host reporting the timeout.
    host.advance(6200 * MS);
    assert_eq!(host.final_answers("2"), 1);
}

#[test]
fn a_started_response_is_not_retried_or_answered_again() {
    let mut host = two_workers(settings());
    host.event(0, Event::Request(request(1, 0, 500 * MS)));
    host.event(MS, Event::ResponseStarted(request(1, 0, 0).id, AttemptNo(0)));
    assert!(sends(&host.advance(2000 * MS)).is_empty());
    assert_eq!(host.final_answers("1"), 0, "the deadline no longer applies");
}

#[test]
fn the_limits_of_open_requests_and_of_attempts_are_enforced() {
    let mut s = settings();
    s.allowed.most_held = 1;
    let mut host = two_workers(s);
    assert_eq!(sends(&host.event(0, Event::Request(request(1, 0, 900 * MS)))).len(), 1);
    assert!(sends(&host.event(0, Event::Request(request(2, 0, 900 * MS)))).is_empty());
    assert_eq!((host.final_answers("1"), host.final_answers("2")), (0, 1));
    for attempt in 0..3 {
        host.end_attempt(MS, "1", attempt, Outcome::NoRoute, MS, None);
    }
    assert_eq!(host.final_answers("1"), 1, "the limit is three attempts");
}

#[test]
fn if_workers_may_shed_begun_jobs_a_once_job_fails_on_no_room_and_a_keyed_one_stays_in_its_zone() {
    let mut s = settings();
    s.rules.may_shed_begun = true;
    let mut host = two_workers(s);
    host.event(0, Event::Request(request(1, 2, 5000 * MS)));
    let actions = host.end_attempt(MS, "1", 0, Outcome::NoRoom, MS, None);
    assert!(
        sends(&actions).is_empty() && actions.contains(&Action::Fail(request(1, 2, 0).id)),
        "{actions:?}"
    );
    let actions = host.event(2 * MS, Event::Request(request(2, 1, 5000 * MS)));
    let (_, first) = sends(&actions)[0].clone();
    let mut actions = host.end_attempt(3 * MS, "2", 0, Outcome::NoRoom, MS, None);
    actions.extend(host.advance(5500 * MS));
    assert!(sends(&actions).iter().all(|(_, w)| *w == first), "the other worker is in another zone");
    assert!(!actions.iter().any(|a| matches!(a, Action::Refuse { .. })), "{actions:?}");
}

/// Settings of a large fleet with probes and reports in responses.
fn large_fleet(instances: u32) -> Settings {
    let mut s = settings();
    s.allowed.probe = true;
    s.instances = instances;
    s
}

fn probes(actions: &[Action]) -> Vec<u32> {
    let probe = |a: &Action| match a {
        Action::Probe(worker) => Some(worker.0),
        _ => None,
    };
    actions.iter().filter_map(probe).collect()
}

const IDLE: Report = Report { free_slots: Some(2.0), queued: Some(0.0), in_flight: Some(0.0) };
const BUSY: Report = Report { free_slots: Some(0.0), queued: Some(3.0), in_flight: Some(5.0) };

/// Answers every probe immediately with the result of `report`; returns all sends and the number of probes.
fn answer_probes(
    host: &mut Host,
    now: Micros,
    mut actions: Vec<Action>,
    report: impl Fn(u32) -> Report,
) -> (Vec<(String, u32)>, usize) {
    let (mut placed, mut count) = (sends(&actions), 0);
    while !actions.is_empty() {
        let mut follow_ups = vec![];
        for worker in probes(&actions) {
            count += 1;
            let (outcome, report) = (Outcome::Served, Some(report(worker)));
            follow_ups
                .extend(host.event(now, Event::ProbeEnded { worker: WorkerId(worker), outcome, report }));
        }
        placed.extend(sends(&follow_ups));
        actions = follow_ups;
    }
    (placed, count)
}

#[test]
fn the_number_of_probes_per_request_is_bounded_in_a_large_fleet() {
    let mut host = Host::new(large_fleet(800), 5);
    host.update_list(0, ListKind::Cached, (0..400).map(|i| entry(i, i % 3, None)).collect());
    let actions = host.event(MS, Event::Request(request(1, 0, 5000 * MS)));
    assert_eq!(probes(&actions).len(), 4, "the first round of probes has four candidates");
    let (placed, count) = answer_probes(&mut host, 2 * MS, actions, |_| BUSY);
    assert!(placed.len() == 1 && count <= 12, "{count} probes, {placed:?}");
}

#[test]
fn a_slot_reported_free_is_used() {
    for seed in 0..20 {
        let mut host = Host::new(large_fleet(8), seed);
        host.update_list(0, ListKind::Cached, (0..6).map(|i| entry(i, i % 3, None)).collect());
        let actions = host.event(MS, Event::Request(request(1, 0, 5000 * MS)));
        let report = |w| if w == 4 { IDLE } else { BUSY };
        assert_eq!(answer_probes(&mut host, 2 * MS, actions, report).0, vec![("1".into(), 4)]);
    }
}

#[test]
fn many_instances_with_little_traffic_distribute_by_speed_without_converging_on_one_worker() {
    // Each of 400 instances learns from its own jobs that worker 0 is twice as fast as the other seven.
    let mut counts = [0u32; 8];
    let mut firsts = [0u32; 8];
    for seed in 0..400 {
        let mut s = settings();
        s.report_source = ReportSource::None;
        s.instances = 400;
        let mut host = Host::new(s, seed);
        host.update_list(0, ListKind::Cached, (0..8).map(|i| entry(i, 0, None)).collect());
        for i in 0..30 {
            let now = i * 1000 * MS;
            let placed = sends(&host.event(now, Event::Request(request(i, 0, now + 5000 * MS))));
            let worker = placed[0].1;
            if i == 0 {
                firsts[worker as usize] += 1;
            }
            counts[worker as usize] += 1;
            let spent = if worker == 0 { 100 * MS } else { 200 * MS };
            host.end_attempt(now + spent, &i.to_string(), 0, Outcome::Served, spent, None);
        }
    }
    assert!(
        firsts.iter().all(|&n| n > 20 && n < 90),
        "the first jobs should be spread over all workers: {firsts:?}"
    );
    let fast = f64::from(counts[0]) / f64::from(counts.iter().sum::<u32>());
    assert!(fast > 0.15 && fast < 0.75, "the fast worker's share is {fast}: {counts:?}");
}

#[test]
fn hundreds_of_instances_stay_within_a_cold_workers_budget_together() {
    // All 840 instances learn of a mass restart at the same time, get a request every 50 ms, and have no
    // other worker.
    let (instances, job) = (840u64, 500.0);
    let mut at: Vec<Micros> = vec![];
    for seed in 0..instances {
        let mut s = settings();
        s.instances = instances as u32;
        let mut host = Host::new(s, seed);
        host.update_list(1000 * MS, ListKind::Cached, vec![entry(1, 0, Some(1000 * MS))]);
        for i in 0..400 {
            let now = 1000 * MS + i * 50 * MS;
            let mut actions = host.advance(now);
            actions.extend(host.event(now, Event::Request(request(i, 0, now + 400 * MS))));
            for (id, _) in sends(&actions) {
                at.push(now);
                host.end_attempt(now + MS, &id, 0, Outcome::Served, 500 * MS, None);
            }
        }
    }
    at.sort_unstable();
    assert!(at.len() > 20, "the cold worker should be used, it got {} jobs", at.len());
    let rules = settings().rules;
    for (k, &from) in at.iter().enumerate() {
        let sent = at[k..].iter().take_while(|&&t| t < from + rules.overload_for).count() as f64;
        let age = (from + rules.overload_for - 1000 * MS) as f64;
        let warmth = (rules.cold_from + 0.9 * age / rules.warm_up as f64).min(1.0);
        let budget = rules.overload_factor * warmth * rules.overload_for as f64 / 1000.0;
        // The budget in jobs, plus three times its square root as an allowance for chance.
        let most = budget / job + 3.0 * (budget / job).sqrt();
        assert!(sent <= most, "{sent} jobs from {from}, at most {most}");
    }
}

#[test]
fn failures_of_one_class_exclude_a_worker_for_that_class_only() {
    let mut host = two_workers(settings());
    let mut sent_to_worker_1 = [0, 0];
    for i in 0..80u64 {
        let (now, class) = (i * 100 * MS, (i % 2 * 2) as usize);
        for (id, worker) in sends(&host.event(now, Event::Request(request(i, class, now + 5000 * MS)))) {
            // Worker 1 fails all jobs of class 2 and is the fastest for class 0.
            sent_to_worker_1[class / 2] += u32::from(worker == 1);
            let fails = worker == 1 && class == 2;
            let (outcome, spent) =
                if fails { (Outcome::Fault, MS) } else { (Outcome::Served, 50 * MS * u64::from(worker)) };
            host.end_attempt(now + spent, &id, 0, outcome, spent, None);
        }
    }
    assert!(
        sent_to_worker_1[0] >= 20,
        "class 0 should still use worker 1 despite failures in class 2: {sent_to_worker_1:?}"
    );
    assert!(
        sent_to_worker_1[1] <= 10,
        "class 2 should avoid worker 1 despite successes in class 0: {sent_to_worker_1:?}"
    );
}

#[test]
fn a_rejection_despite_free_slots_excludes_only_its_tenant_and_class() {
    let mut s = settings();
    s.tenants = vec![Tenant { quota_per_s: 100.0 }, Tenant { quota_per_s: 100.0 }];
    let mut host = Host::new(s, 3);
    host.update_list(0, ListKind::Cached, vec![entry(1, 0, None), entry(2, 0, None)]);
    let mut sent_to_throttling = [0, 0];
    for i in 0..60u64 {
        let (now, tenant) = (i * 100 * MS, (i % 2) as usize);
        let mut r = request(i, 0, now + 5000 * MS);
        r.tenant = Some(TenantId(tenant));
        let mut queue = sends(&host.event(now, Event::Request(r)));
        let mut attempt = 0;
        while let Some((id, worker)) = queue.pop() {
            sent_to_throttling[tenant] += u32::from(worker == 1);
            let throttled = worker == 1 && tenant == 0;
            let outcome = if throttled { Outcome::NoRoom } else { Outcome::Served };
            let spent = 50 * MS * u64::from(worker);
            queue.extend(sends(&host.end_attempt(now + MS, &id, attempt, outcome, spent, Some(IDLE))));
            attempt += 1;
        }
    }
    assert!(sent_to_throttling[0] <= 10 && sent_to_throttling[1] >= 20, "{sent_to_throttling:?}");
}

#[test]
fn if_workers_may_shed_begun_jobs_a_once_job_is_held_until_a_slot_is_reported_free() {
    let mut s = large_fleet(1);
    s.rules.may_shed_begun = true;
    let mut host = Host::new(s, 2);
    host.update_list(0, ListKind::Cached, vec![entry(1, 0, None), entry(2, 1, None)]);
    let actions = host.event(0, Event::Request(request(1, 2, 9000 * MS)));
    let (placed, _) = answer_probes(&mut host, MS, actions, |_| BUSY);
    assert!(placed.is_empty(), "no slot was reported free: {placed:?}");
    let actions = host.advance(600 * MS);
    assert!(!probes(&actions).is_empty(), "the workers should be probed again");
    let (placed, _) = answer_probes(&mut host, 601 * MS, actions, |w| if w == 2 { IDLE } else { BUSY });
    assert_eq!(placed, vec![("1".into(), 2)]);
}

#[test]
fn a_lost_response_leads_to_a_second_attempt_where_parallel_attempts_are_allowed() {
    let mut s = large_fleet(1);
    s.allowed.parallel = true;
    s.progress_interval = 0;
    s.classes[1].late_share = 0.5;
    let mut host = Host::new(s, 2);
    host.update_list(0, ListKind::Cached, vec![entry(1, 0, None), entry(2, 0, None), entry(3, 1, None)]);
    let actions = host.event(0, Event::Request(request(1, 1, 4900 * MS)));
    let (first, _) = answer_probes(&mut host, 0, actions, |w| if w == 3 { BUSY } else { IDLE });
    let mut second_attempts = vec![];
    for i in 1..20 {
        let actions = host.advance(i * 100 * MS);
        second_attempts.extend(answer_probes(&mut host, i * 100 * MS, actions, |_| IDLE).0);
    }
    assert_eq!(second_attempts.len(), 1, "expected exactly one second attempt: {second_attempts:?}");
    assert!(
        second_attempts[0].1 != first[0].1 && second_attempts[0].1 != 3,
        "expected another worker in the same zone: {second_attempts:?}"
    );
    let actions = host.end_attempt(2100 * MS, "1", 1, Outcome::Served, 100 * MS, Some(IDLE));
    assert!(
        actions.contains(&Action::Cancel(request(1, 1, 0).id, AttemptNo(0))),
        "the first attempt should be cancelled"
    );
}

#[test]
fn a_fleet_that_shrinks_to_one_worker_and_grows_again_is_followed() {
    let mut host = Host::new(large_fleet(840), 9);
    host.update_list(0, ListKind::Cached, (0..50).map(|i| entry(i, i % 3, None)).collect());
    let actions = host.event(MS, Event::Request(request(1, 0, 5000 * MS)));
    assert_eq!(probes(&actions).len(), 4);
    // The probed candidates leave while the request is held; none of them may get the job.
    let mut actions = host.update_list(2 * MS, ListKind::Full, vec![entry(77, 0, None)]);
    actions.extend(host.advance(500 * MS));
    assert!(sends(&actions).iter().all(|(_, w)| *w == 77), "{actions:?}");
    host.update_list(501 * MS, ListKind::Full, (100..300).map(|i| entry(i, i % 3, None)).collect());
    for i in 2..40 {
        let actions = host.event(502 * MS + i, Event::Request(request(i, 0, 5000 * MS)));
        let (placed, count) = answer_probes(&mut host, 502 * MS + i, actions, |_| IDLE);
        assert!(placed.len() == 1 && placed[0].1 >= 100 && count <= 12);
    }
}

#[test]
fn free_slots_at_a_worker_with_a_queue_do_not_count() {
    // The first queued job may lack memory: slots stay free while all jobs wait behind it.
    let blocked = Report { free_slots: Some(2.0), queued: Some(4.0), in_flight: Some(5.0) };
    for seed in 0..10 {
        let mut host = Host::new(large_fleet(8), seed);
        host.update_list(0, ListKind::Cached, vec![entry(1, 0, None), entry(2, 0, None)]);
        let actions = host.event(MS, Event::Request(request(1, 0, 5000 * MS)));
        let (placed, _) = answer_probes(&mut host, 2 * MS, actions, |w| if w == 1 { blocked } else { IDLE });
        assert_eq!(placed, vec![("1".into(), 2)]);
    }
}

#[test]
fn failures_in_two_classes_exclude_the_worker_for_all_classes() {
    let mut third_class_sends = 0;
    for seed in 0..20 {
        let mut host = Host::new(settings(), seed);
        host.update_list(0, ListKind::Cached, vec![entry(1, 0, None), entry(2, 0, None)]);
        for i in 0..60u64 {
            // Worker 1 fails classes 0 and 2; no job of class 1 has been sent to it before.
            let (now, class) = (i * 20 * MS, if i < 40 { (i % 2 * 2) as usize } else { 1 });
            for (id, worker) in sends(&host.event(now, Event::Request(request(i, class, now + 5000 * MS)))) {
                third_class_sends += u32::from(class == 1 && worker == 1);
                let outcome = if worker == 1 { Outcome::Fault } else { Outcome::Served };
                host.end_attempt(now + MS, &id, 0, outcome, MS, None);
            }
        }
    }
    assert!(
        third_class_sends <= 2,
        "{third_class_sends} jobs of a third class were sent to a worker that fails two"
    );
}

fn start_reports_only() -> Settings {
    let mut s = settings();
    s.report_source = ReportSource::None;
    s.tells_start = true;
    s.allowed.parallel = true;
    s
}

fn report_start(host: &mut Host, now: Micros, id: u64) {
    host.event(now, Event::JobStarted(request(id, 0, 0).id, AttemptNo(0)));
}

#[test]
fn a_restricted_class_is_sent_only_to_its_zones_and_kinds() {
    let mut s = settings();
    s.classes[0].zones = Some(vec![ZoneId(0)]);
    s.classes[2].kinds = Some(vec![KindId(7)]);
    let mut host = Host::new(s, 1);
    let mut seventh = entry(3, 1, None);
    seventh.kind = KindId(7);
    host.update_list(0, ListKind::Cached, vec![entry(1, 0, None), entry(2, 1, None), seventh]);
    for i in 0..8 {
        assert_eq!(sends(&host.event(i, Event::Request(request(i, 0, 5000 * MS))))[0].1, 1);
        assert_eq!(sends(&host.event(i, Event::Request(request(100 + i, 2, 5000 * MS))))[0].1, 3);
    }
    // This applies to every further attempt too; once all its workers are gone, a request is held or ended.
    for i in 0..8 {
        let actions = host.end_attempt(10 * MS, &i.to_string(), 0, Outcome::NoRoom, MS, None);
        assert!(sends(&actions).iter().all(|s| s.1 == 1), "{actions:?}");
    }
    let mut gone = entry(1, 0, None);
    gone.stage = Stage::Gone;
    host.update_list(20 * MS, ListKind::Delta, vec![gone]);
    let mut later = host.event(21 * MS, Event::Request(request(50, 0, 5000 * MS)));
    later.extend(host.advance(6000 * MS));
    assert!(sends(&later).is_empty(), "{later:?}");
    assert_eq!(host.final_answers("50"), 1);
}

#[test]
fn a_class_without_eligible_workers_is_answered_by_its_deadline() {
    let mut s = settings();
    s.classes[0].zones = Some(vec![]);
    let mut host = two_workers(s);
    assert!(sends(&host.event(0, Event::Request(request(0, 0, 1000 * MS)))).is_empty());
    assert!(sends(&host.advance(1000 * MS)).is_empty());
    assert_eq!(host.final_answers("0"), 1);
}

/// Whether a request is still sent to the only worker after `change` has altered its list entry. With
/// `stay_open`, only a draining entry prevents that.
fn is_sent(stay_open: bool, change: impl Fn(&mut Host)) -> bool {
    let mut s = settings();
    s.rules.dropped_stay_open = stay_open;
    let mut host = Host::new(s, 1);
    host.update_list(0, ListKind::Cached, vec![entry(1, 0, Some(50_000 * MS))]);
    change(&mut host);
    let now = 100_000 * MS;
    !sends(&host.event(now, Event::Request(request(0, 0, now + 5000 * MS)))).is_empty()
}

fn listed(host: &mut Host, now: Micros, stage: Stage, started: Micros) {
    let e = WorkerEntry { stage, ..entry(1, 0, Some(started)) };
    host.update_list(now, ListKind::Delta, vec![e]);
}

#[test]
fn a_worker_dropped_by_a_wrong_list_is_still_used_with_dropped_stay_open() {
    let empty = |host: &mut Host| drop(host.update_list(MS, ListKind::Full, vec![]));
    let others = |host: &mut Host| drop(host.update_list(MS, ListKind::Full, vec![]));
    let gone = |host: &mut Host| listed(host, MS, Stage::Gone, 50_000 * MS);
    for change in [&empty as &dyn Fn(&mut Host), &others, &gone] {
        assert!(is_sent(true, change));
        assert!(!is_sent(false, change));
    }
}

#[test]
fn a_listed_drain_outlasts_wrong_lists() {
    let started = 50_000 * MS;
    for later in [Stage::Ready, Stage::Gone] {
        // Wrong lists: an old one in which the worker is ready or gone, one with an earlier start, and an
        // empty one followed by an old one.
        assert!(!is_sent(true, |host| {
            listed(host, MS, Stage::Draining, started);
            listed(host, 2 * MS, later, started);
        }));
        assert!(!is_sent(true, |host| {
            listed(host, MS, Stage::Draining, started);
            listed(host, 2 * MS, later, started - 1);
        }));
        assert!(!is_sent(true, |host| {
            host.update_list(MS, ListKind::Full, vec![]);
            listed(host, 2 * MS, Stage::Draining, started);
            host.update_list(90_000 * MS, ListKind::Full, vec![]);
            host.update_list(95_000 * MS, ListKind::Full, vec![entry(9, 0, None)]);
            host.update_list(96_000 * MS, ListKind::Full, vec![]);
            listed(host, 99_000 * MS, later, started);
            // Otherwise worker 9 would get the job.
            listed(host, 99_000 * MS, later, started);
            let mut nine = entry(9, 0, None);
            nine.stage = Stage::Draining;
            host.update_list(99_000 * MS, ListKind::Delta, vec![nine]);
        }));
    }
    // The drain does not apply to a later process of the same worker.
    assert!(is_sent(true, |host| {
        listed(host, MS, Stage::Draining, started);
        listed(host, 2 * MS, Stage::Ready, started + 20_000 * MS);
    }));
}

#[test]
fn a_dropped_worker_that_is_unreachable_costs_one_attempt() {
    let mut s = settings();
    s.rules.dropped_stay_open = true;
    let mut host = two_workers(s);
    host.update_list(1, ListKind::Full, vec![entry(2, 1, None)]);
    let mut sent_to_dead = 0;
    for i in 0..200 {
        let now = 2000 * MS * (i + 1);
        for (id, worker) in sends(&host.event(now, Event::Request(request(i, 0, now + 5000 * MS)))) {
            sent_to_dead += u32::from(worker == 1);
            let outcome = if worker == 1 { Outcome::NoRoute } else { Outcome::Served };
            host.end_attempt(now + MS, &id, 0, outcome, MS, None);
        }
    }
    assert_eq!(sent_to_dead, 1);
}

#[test]
fn an_outdated_list_does_not_make_workers_cold_again() {
    // The list states an earlier start. If that counted as a new process, the worker would be cold and have
    // no budget left.
    let now = 21_000 * MS;
    let mut host = Host::new(Settings { instances: 100, ..settings() }, 1);
    host.update_list(0, ListKind::Cached, vec![entry(1, 0, Some(500 * MS))]);
    host.update_list(now, ListKind::Full, vec![entry(1, 0, Some(400 * MS))]);
    assert_eq!(sends(&host.event(now, Event::Request(request(0, 0, now + 5000 * MS)))).len(), 1);
}

#[test]
fn a_job_that_does_not_start_gets_a_second_attempt_and_the_queued_one_is_cancelled() {
    let mut host = two_workers(start_reports_only());
    let first = sends(&host.event(0, Event::Request(request(0, 0, 5000 * MS))))[0].1;
    let second = sends(&host.advance(250 * MS));
    assert_eq!(second.len(), 1, "no start was reported within half the aim");
    assert_ne!(second[0].1, first);
    let actions = host.event(260 * MS, Event::JobStarted(request(0, 0, 0).id, AttemptNo(1)));
    assert!(actions.contains(&Action::Cancel(request(0, 0, 0).id, AttemptNo(0))), "{actions:?}");
    // A job that must not run twice, or that has started, gets no second attempt.
    let mut host = two_workers(start_reports_only());
    host.event(0, Event::Request(request(1, 2, 5000 * MS)));
    assert!(sends(&host.advance(1000 * MS)).is_empty());
    let mut host = two_workers(start_reports_only());
    host.event(0, Event::Request(request(2, 0, 5000 * MS)));
    report_start(&mut host, 5 * MS, 2);
    assert!(sends(&host.advance(1000 * MS)).is_empty());
}

#[test]
fn without_load_reports_a_worker_with_an_own_queued_job_is_passed_over() {
    for seed in 0..20 {
        let mut host = Host::new(start_reports_only(), seed);
        host.update_list(0, ListKind::Cached, vec![entry(1, 0, None), entry(2, 1, None)]);
        let a = sends(&host.event(0, Event::Request(request(0, 2, 5000 * MS))))[0].1;
        // Another class, whose own count of jobs in flight does not include the first job.
        let b = sends(&host.event(MS, Event::Request(request(1, 0, 5000 * MS))))[0].1;
        assert_ne!(a, b);
    }
}

#[test]
fn long_queueing_times_lead_to_immediate_refusals_with_a_retry_delay() {
    let run = |wait: Micros| {
        let mut host = two_workers(start_reports_only());
        let (mut refused, mut with_retry_delay) = (0, 0);
        for i in 0..200 {
            let now = i * 2000 * MS;
            let actions = host.event(now, Event::Request(request(i, 2, now + 5000 * MS)));
            for act in &actions {
                if let Action::Refuse { retry_after, .. } = act {
                    refused += 1;
                    with_retry_delay += u32::from(*retry_after > 0);
                }
            }
            // Every request that is not refused is sent immediately: none is held only to be given up at a
            // later tick.
            assert!(host.final_answers(&i.to_string()) == 1 || !sends(&actions).is_empty());
            if !sends(&actions).is_empty() {
                report_start(&mut host, now + wait, i);
                host.end_attempt(
                    now + wait + 100 * MS,
                    &i.to_string(),
                    0,
                    Outcome::Served,
                    wait + 100 * MS,
                    None,
                );
            }
        }
        (refused, with_retry_delay)
    };
    assert_eq!(run(MS).0, 0);
    let (refused, with_retry_delay) = run(1500 * MS);
    assert!(refused > 50, "{refused}");
    assert_eq!(with_retry_delay, refused, "every refusal should state a retry delay");
}

#[test]
fn an_abandoned_request_is_answered_in_the_same_event() {
    // A `Once` job that may have run cannot be retried, so it is answered immediately.
    for outcome in [Outcome::Fault, Outcome::Cut, Outcome::TimedOut] {
        let mut host = two_workers(settings());
        host.event(0, Event::Request(request(0, 2, 5000 * MS)));
        let actions = host.end_attempt(10 * MS, "0", 0, outcome, 10 * MS, None);
        assert!(actions.contains(&Action::Fail(request(0, 0, 0).id)), "{actions:?}");
    }
    // So is a request without attempts left, which the client may retry.
    let mut s = settings();
    s.allowed.max_attempts = 1;
    let mut host = two_workers(s);
    host.event(0, Event::Request(request(0, 0, 5000 * MS)));
    let actions = host.end_attempt(10 * MS, "0", 0, Outcome::Fault, 10 * MS, None);
    assert!(
        actions.iter().any(|a| matches!(a, Action::Refuse { retry_after, .. } if *retry_after > 0)),
        "{actions:?}"
    );
    // So is a request beyond the limit of open requests.
    let mut s = settings();
    s.allowed.most_held = 1;
    let mut host = two_workers(s);
    host.event(0, Event::Request(request(0, 0, 5000 * MS)));
    let actions = host.event(1, Event::Request(request(1, 0, 5000 * MS)));
    assert!(
        actions.iter().any(|a| matches!(a, Action::Refuse { retry_after, .. } if *retry_after > 0)),
        "{actions:?}"
    );
}

#[test]
fn errors_at_several_workers_are_attributed_to_the_request() {
    let mut s = settings();
    s.allowed.max_attempts = 6;
    let mut host = Host::new(s, 1);
    host.update_list(0, ListKind::Cached, (1..=6).map(|w| entry(w, 0, None)).collect());
    // Requests that fail anywhere are mixed with good ones: they end after three errors and exclude no worker
    // for the good ones.
    let mut used = std::collections::BTreeSet::new();
    for i in 0..60 {
        let now = i * 10 * MS;
        let mut at = sends(&host.event(now, Event::Request(request(i, 0, now + 5000 * MS))));
        let mut attempts = 0;
        while let Some((id, _)) = at.first().cloned() {
            at = sends(&host.end_attempt(now + MS, &id, attempts, Outcome::Fault, MS, None));
            attempts += 1;
        }
        assert!(attempts <= 3, "{attempts} attempts for a request that fails anywhere");
        assert_eq!(host.final_answers(&i.to_string()), 1);
        let good = host.event(now + 2 * MS, Event::Request(request(1000 + i, 0, now + 5000 * MS)));
        for (id, worker) in sends(&good) {
            used.insert(worker);
            host.end_attempt(now + 3 * MS, &id, 0, Outcome::Served, 100 * MS, None);
        }
    }
    assert!(used.len() >= 5, "good requests were sent to {used:?} only");
}

#[test]
fn late_responses_without_worth_lead_to_refusals_of_tenants_over_their_share() {
    let refused = |spent: Micros| {
        let mut s = settings();
        s.classes[0].late_share = 0.0;
        s.tenants = vec![Tenant { quota_per_s: 2.0 }; 3];
        let mut host = two_workers(s);
        let mut refused = 0;
        for i in 0..400 {
            let now = i * 50 * MS;
            let mut r = request(i, 0, now + 5000 * MS);
            r.tenant = Some(TenantId(0));
            refused += u32::from(sends(&host.event(now, Event::Request(r))).is_empty());
            // The first responses establish the usual time; the later ones are late.
            let spent = if i < 40 { 40 * MS } else { spent };
            host.end_attempt(now + 40 * MS, &i.to_string(), 0, Outcome::Served, spent, None);
        }
        refused
    };
    assert_eq!(refused(40 * MS), 0);
    assert!(refused(1500 * MS) > 50);
}

#[test]
fn a_worker_that_has_warmed_up_is_no_longer_preferred() {
    // One of eight workers starts as the list is made, and no further list arrives.
    let mut host = Host::new(start_reports_only(), 1);
    let mut all: Vec<WorkerEntry> = (1..=8).map(|w| entry(w, 0, None)).collect();
    all[0].started = Some(MS);
    host.update_list(2 * MS, ListKind::Cached, all);
    let mut sent_to_first = 0;
    for i in 0..80 {
        let now = 30_000 * MS + i * 200 * MS;
        for (id, worker) in sends(&host.event(now, Event::Request(request(i, 0, now + 5000 * MS)))) {
            sent_to_first += u32::from(worker == 1);
            report_start(&mut host, now + MS, i);
            host.end_attempt(now + 100 * MS, &id, 0, Outcome::Served, 100 * MS, None);
        }
    }
    assert!(sent_to_first <= 30, "{sent_to_first} of 80 were sent to one worker of eight");
}

#[test]
fn a_response_started_by_a_later_attempt_is_not_cancelled() {
    let mut host = two_workers(settings());
    host.event(0, Event::Request(request(0, 0, 5000 * MS)));
    assert_eq!(sends(&host.end_attempt(MS, "0", 0, Outcome::NoRoute, MS, None)).len(), 1);
    let mut actions = host.event(2 * MS, Event::ResponseStarted(request(0, 0, 0).id, AttemptNo(1)));
    actions.extend(host.advance(5000 * MS));
    assert!(!actions.iter().any(|a| matches!(a, Action::Cancel(..))), "{actions:?}");
}

/// A host without load reports and with reported job starts and one attempt at a time, after four jobs served
/// in 100 ms each.
fn single_attempt_host() -> Host {
    let mut s = start_reports_only();
    (s.report_source, s.tells_start) = (ReportSource::None, true);
    (s.allowed.parallel, s.allowed.cancel) = (false, true);
    let mut host = Host::new(s, 1);
    host.update_list(0, ListKind::Cached, vec![entry(1, 0, None), entry(2, 0, None)]);
    for i in 0..4 {
        let now = i * 200 * MS;
        host.event(now, Event::Request(request(i, 0, now + 5000 * MS)));
        report_start(&mut host, now + MS, i);
        host.end_attempt(now + 100 * MS, &i.to_string(), 0, Outcome::Served, 100 * MS, None);
    }
    host
}

/// One job in twelve may run 2.5 times as long as usual (quote-snap). If it is cancelled, its work is lost,
/// and a second attempt is as likely to be long.
#[test]
fn a_long_job_is_not_cancelled_where_parallel_attempts_are_not_allowed() {
    let mut host = single_attempt_host();
    let cancels = |actions: Vec<Action>| actions.iter().filter(|a| matches!(a, Action::Cancel(..))).count();
    host.event(1000 * MS, Event::Request(request(9, 0, 9000 * MS)));
    report_start(&mut host, 1001 * MS, 9);
    assert_eq!(cancels(host.advance(2000 * MS)), 0, "ten times the usual time has not passed");
    assert_eq!(
        cancels(host.advance(8000 * MS)),
        1,
        "a job at a worker that does not respond should be cancelled before its deadline"
    );
}

/// Running times alone do not reveal the number of slots, so a worker could get more jobs than its cores run
/// (a gen1-2c worker with two cores did).
#[test]
fn a_worker_where_own_jobs_queued_is_passed_over_while_another_has_room() {
    let mut host = single_attempt_host();
    let mut sent_to_worker = [0u32; 3];
    for i in 10..14 {
        let now = i * 500 * MS;
        let actions = host.event(now, Event::Request(request(i, 0, 19_000 * MS)));
        let worker = sends(&actions)[0].1;
        sent_to_worker[worker as usize] += 1;
        // Worker 1 starts each job after a long wait, worker 2 immediately.
        let wait = if worker == 1 { 400 * MS } else { MS };
        host.event(now + wait, Event::JobStarted(request(i, 0, 0).id, AttemptNo(0)));
    }
    assert_eq!(sent_to_worker[1], 1, "worker 1 has room for one job: {sent_to_worker:?}");
}

/// A host with two workers that may be probed and report no load, and the worker that a job was sent to.
fn host_with_probes() -> (Host, u32) {
    let mut s = settings();
    (s.report_source, s.allowed.probe) = (ReportSource::None, true);
    let mut host = two_workers(s);
    let placed = sends(&host.event(0, Event::Request(request(0, 0, 5000 * MS))));
    (host, placed[0].1)
}

fn probe_ends(host: &mut Host, now: Micros, worker: u32, outcome: Outcome) -> Vec<Action> {
    host.event(now, Event::ProbeEnded { worker: WorkerId(worker), outcome, report: None })
}

fn cancels(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Cancel(..))).count()
}

/// Guards against cancelling, and so losing, all jobs at a healthy worker because the connection of one probe
/// broke.
#[test]
fn jobs_are_cancelled_only_after_a_second_failed_probe() {
    for outcome in [Outcome::Cut, Outcome::NoRoute, Outcome::TimedOut] {
        let (mut host, worker) = host_with_probes();
        host.advance(200 * MS);
        let actions = probe_ends(&mut host, 201 * MS, worker, outcome);
        assert_eq!((cancels(&actions), probes(&actions)), (0, vec![worker]), "{actions:?}");
        let actions = probe_ends(&mut host, 202 * MS, worker, outcome);
        assert_eq!(cancels(&actions), 1, "{actions:?}");
    }
}

/// Guards against excluding all workers within a second because of occasional broken connections.
#[test]
fn a_broken_connection_does_not_exclude_a_worker_that_answers_a_probe() {
    for outcome in [Outcome::Cut, Outcome::NoRoute] {
        let (mut host, worker) = host_with_probes();
        let actions = host.end_attempt(MS, "0", 0, outcome, MS, None);
        assert_eq!(probes(&actions), vec![worker]);
        assert!(sends(&actions).iter().all(|s| s.1 != worker), "not before it has answered the probe");
        probe_ends(&mut host, 2 * MS, worker, Outcome::Served);
        let placed: Vec<u32> = (1..4)
            .flat_map(|i| sends(&host.event(3 * MS, Event::Request(request(i, 0, 5000 * MS)))))
            .map(|s| s.1)
            .collect();
        assert!(placed.contains(&worker), "{placed:?}");
    }
}

/// Repeated probes must not exclude a dead worker for minutes: only exclusions that ended with the worker
/// still dead lengthen the next one. When it answers, it is used again.
#[test]
fn a_worker_that_answers_again_is_used_immediately() {
    let (mut host, worker) = host_with_probes();
    host.end_attempt(MS, "0", 0, Outcome::NoRoute, MS, None);
    (2..100).for_each(|i| drop(probe_ends(&mut host, i * MS, worker, Outcome::NoRoute)));
    probe_ends(&mut host, 100 * MS, worker, Outcome::Served);
    let placed: Vec<u32> = (1..4)
        .flat_map(|i| sends(&host.event(101 * MS, Event::Request(request(i, 0, 5000 * MS)))))
        .map(|s| s.1)
        .collect();
    assert!(placed.contains(&worker), "{placed:?}");
}

/// A host with two workers that report job starts only and have a queued job each.
fn host_with_queued_jobs() -> Host {
    let mut s = settings();
    (s.report_source, s.tells_start) = (ReportSource::None, true);
    let mut host = two_workers(s);
    for id in 0..2 {
        assert_eq!(sends(&host.event(MS, Event::Request(request(id, 0, 5000 * MS)))).len(), 1);
    }
    host
}

/// During a rollout of the workers all queues grew and nearly all responses were late. Held requests can
/// still go to whichever worker has a free slot first, in order of worth.
#[test]
fn with_own_jobs_queued_everywhere_a_request_is_held_until_one_starts() {
    let mut host = host_with_queued_jobs();
    assert_eq!(sends(&host.event(2 * MS, Event::Request(request(2, 0, 5000 * MS)))), vec![]);
    let actions = host.event(3 * MS, Event::JobStarted(RequestId("1".into()), AttemptNo(0)));
    let placed = sends(&actions);
    assert_eq!(placed.len(), 1, "{actions:?}");
    assert_eq!(placed[0].0, "2");
    assert_eq!(host.final_answers("2"), 0);
}

#[test]
fn a_worker_that_reports_no_starts_is_not_limited_to_one_job() {
    let mut host = host_with_queued_jobs();
    for id in 0..20 {
        host.event(MS, Event::Request(request(100 + id, 0, 50_000 * MS)));
        host.end_attempt(10 * MS, &id.to_string(), 0, Outcome::Served, 10 * MS, None);
        host.end_attempt(10 * MS, &(100 + id).to_string(), 0, Outcome::Served, 10 * MS, None);
    }
    let actions = (200..206).flat_map(|id| host.event(20 * MS, Event::Request(request(id, 0, 5000 * MS))));
    assert_eq!(sends(&actions.collect::<Vec<_>>()).len(), 6);
}

/// During a rollout most slots were empty half of the time while 40 requests were held.
#[test]
fn a_queueing_delay_keeps_requests_from_a_worker_for_a_quarter_of_its_length() {
    let mut host = host_with_queued_jobs();
    host.event(2 * MS, Event::Request(request(2, 0, 5000 * MS)));
    host.event(401 * MS, Event::JobStarted(RequestId("0".into()), AttemptNo(0)));
    let mut actions = host.end_attempt(402 * MS, "0", 0, Outcome::Served, 400 * MS, None);
    actions.extend(host.advance(490 * MS));
    assert_eq!(sends(&actions), vec![], "other dispatchers' jobs are queued there");
    assert_eq!(sends(&host.advance(520 * MS)).len(), 1);
}
