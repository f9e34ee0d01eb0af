//! Operators' overrides affect only those decisions that the sending rules leave open.

mod common;

use common::{entry, request, settings, Host, MS};
use lineroute::*;

const DEADLINE: Micros = 5000 * MS;

fn sends(actions: &[Action]) -> Vec<(String, u32)> {
    let send = |a: &Action| match a {
        Action::Send { id, worker, .. } => Some((id.0.to_string(), worker.0)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

fn refusals(actions: &[Action]) -> Vec<String> {
    let refusal = |a: &Action| match a {
        Action::Refuse { id, retry_after } if *retry_after > 0 => Some(id.0.to_string()),
        _ => None,
    };
    actions.iter().filter_map(refusal).collect()
}

fn host(settings: Settings, workers: u32) -> Host {
    let mut host = Host::new(settings, 1);
    host.update_list(0, ListKind::Full, (1..=workers).map(|w| entry(w, 0, None)).collect());
    host
}

fn weights(weights: &[(u32, f64)]) -> Event {
    let weights = weights.iter().map(|(w, x)| (WorkerId(*w), *x)).collect();
    Event::Overrides(Overrides { weights, ..Overrides::default() })
}

fn out_of_service(workers: &[u32]) -> Event {
    let out_of_service = workers.iter().copied().map(WorkerId).collect();
    Event::Overrides(Overrides { out_of_service, ..Overrides::default() })
}

fn pins(pins: &[(usize, Option<usize>, u32)]) -> Event {
    let pin = |p: &(usize, Option<usize>, u32)| (ClassId(p.0), p.1.map(TenantId), WorkerId(p.2));
    Event::Overrides(Overrides { pins: pins.iter().map(pin).collect(), ..Overrides::default() })
}

/// Submits `count` requests, ten at a time, each served in 100 ms; returns how many were sent to each worker.
fn sent_per_worker(host: &mut Host, from: Micros, count: u64, class: usize, workers: u32) -> Vec<u64> {
    let mut counts = vec![0; workers as usize + 1];
    for round in 0..count / 10 {
        let now = from + round * 200 * MS;
        let ids: Vec<u64> = (0..10).map(|k| now + k).collect();
        let mut placed = Vec::new();
        for id in ids {
            placed.extend(sends(&host.event(now, Event::Request(request(id, class, now + DEADLINE)))));
        }
        for (id, worker) in placed {
            counts[worker as usize] += 1;
            host.end_attempt(now + 100 * MS, &id, 0, Outcome::Served, 100 * MS, None);
        }
    }
    counts
}

#[test]
fn a_weight_multiplies_the_share_until_it_is_cleared() {
    let mut host = host(settings(), 4);
    sent_per_worker(&mut host, MS, 400, 0, 4);
    host.event(20_000 * MS, weights(&[(1, 3.0)]));
    let counts = sent_per_worker(&mut host, 20_001 * MS, 1200, 0, 4);
    // Three of six parts.
    let share = counts[1] as f64 / 1200.0;
    assert!((0.44..0.56).contains(&share), "{counts:?}");
    host.event(60_000 * MS, weights(&[]));
    let counts = sent_per_worker(&mut host, 60_001 * MS, 1200, 0, 4);
    assert!((0.2..0.3).contains(&(counts[1] as f64 / 1200.0)), "{counts:?}");
}

/// A weight must scale shares and not service times, in which a cold worker's budget is counted.
#[test]
fn a_weight_does_not_exceed_a_cold_workers_budget() {
    let sent = |weight: f64| {
        let mut host = host(settings(), 2);
        sent_per_worker(&mut host, MS, 400, 0, 2);
        let now = 20_000 * MS;
        host.event(now, weights(&[(3, weight)]));
        host.update_list(now, ListKind::Delta, vec![entry(3, 0, Some(now))]);
        sent_per_worker(&mut host, now + MS, 50, 0, 3)[3]
    };
    let (usual, heavy) = (sent(1.0), sent(100.0));
    assert!(heavy <= usual.max(1), "cold worker got {heavy}, {usual} without a weight");
}

#[test]
fn a_worker_out_of_service_completes_its_jobs_and_gets_no_new_ones() {
    let mut host = host(settings(), 2);
    let first = sends(&host.event(MS, Event::Request(request(1, 0, DEADLINE))));
    let at = first[0].1;
    assert!(host.event(2 * MS, out_of_service(&[at])).iter().all(|a| !matches!(a, Action::Cancel(..))));
    let counts = sent_per_worker(&mut host, 3 * MS, 100, 0, 2);
    assert_eq!(counts[at as usize], 0);
    // The override outlasts a removal from the list and a return as a new process.
    let gone = WorkerEntry { stage: Stage::Gone, ..entry(at, 0, None) };
    host.update_list(4000 * MS, ListKind::Delta, vec![gone]);
    host.update_list(5000 * MS, ListKind::Delta, vec![entry(at, 0, Some(1000 * MS))]);
    assert_eq!(sent_per_worker(&mut host, 30_000 * MS, 100, 0, 2)[at as usize], 0);
    host.event(40_000 * MS, out_of_service(&[]));
    assert!(sent_per_worker(&mut host, 40_001 * MS, 100, 0, 2)[at as usize] > 0);
}

#[test]
fn with_all_workers_out_of_service_requests_are_refused_immediately_with_a_retry_delay() {
    for class in 0..3 {
        let mut host = host(settings(), 2);
        host.event(MS, out_of_service(&[1, 2]));
        let actions = host.event(2 * MS, Event::Request(request(1, class, DEADLINE)));
        assert_eq!((refusals(&actions), sends(&actions).len()), (vec!["1".into()], 0));
        // An instance that knows no workers at all holds the request until a list arrives.
        let mut empty = Host::new(settings(), 1);
        assert!(refusals(&empty.event(2 * MS, Event::Request(request(1, class, DEADLINE)))).is_empty());
    }
}

#[test]
fn a_held_request_is_refused_when_the_last_worker_goes_out_of_service() {
    let mut starts_only = settings();
    (starts_only.report_source, starts_only.tells_start) = (ReportSource::None, true);
    let mut host = host(starts_only, 1);
    let first = host.event(MS, Event::Request(request(1, 0, DEADLINE)));
    assert_eq!(sends(&first).len(), 1);
    // A job is queued at the only worker, so the second request is held.
    let second = host.event(2 * MS, Event::Request(request(2, 0, DEADLINE)));
    assert!(sends(&second).is_empty() && refusals(&second).is_empty());
    assert_eq!(refusals(&host.event(3 * MS, out_of_service(&[1]))), ["2"]);
    assert_eq!((host.final_answers("1"), host.final_answers("2")), (0, 1));
}

#[test]
fn a_job_that_may_have_run_is_failed_when_all_workers_are_out_of_service() {
    let mut host = host(settings(), 2);
    let sent = sends(&host.event(MS, Event::Request(request(1, 2, DEADLINE))));
    assert_eq!(sent.len(), 1);
    host.event(2 * MS, out_of_service(&[1, 2]));
    let actions = host.end_attempt(3 * MS, "1", 0, Outcome::Cut, 2 * MS, None);
    assert_eq!((refusals(&actions).len(), host.final_answers("1")), (0, 1));
}

#[test]
fn a_pin_applies_to_its_class_only() {
    let mut host = host(settings(), 4);
    host.event(MS, pins(&[(0, None, 3)]));
    let counts = sent_per_worker(&mut host, 2 * MS, 200, 0, 4);
    assert_eq!(counts[3], 200);
    let others = sent_per_worker(&mut host, 10_000 * MS, 200, 2, 4);
    assert!(others[1] > 0 && others[2] > 0 && others[4] > 0, "{others:?}");
    host.event(20_000 * MS, pins(&[]));
    assert!(sent_per_worker(&mut host, 20_001 * MS, 200, 0, 4)[3] < 200);
}

#[test]
fn a_tenants_pin_takes_precedence_over_the_pin_of_its_class() {
    let mut two_tenants = settings();
    two_tenants.tenants = vec![Tenant { quota_per_s: 1e6 }; 2];
    let mut host = host(two_tenants, 3);
    host.event(MS, pins(&[(0, None, 1), (0, Some(1), 2)]));
    for (id, tenant, worker) in [(1, 0, 1), (2, 1, 2), (3, 0, 1), (4, 1, 2)] {
        let tenant_request = Request { tenant: Some(TenantId(tenant)), ..request(id, 0, DEADLINE) };
        assert_eq!(sends(&host.event(id * MS, Event::Request(tenant_request))), [(id.to_string(), worker)]);
    }
}

/// The sending rules take precedence: a pin does not apply while its worker is draining, gone, out of
/// service, cold or unreachable.
#[test]
fn a_pin_to_an_unavailable_worker_falls_back_immediately() {
    let now = 100 * MS;
    let sent_to = |change: &dyn Fn(&mut Host)| {
        let mut host = host(settings(), 2);
        host.event(MS, pins(&[(0, None, 2)]));
        change(&mut host);
        sends(&host.event(now, Event::Request(request(1, 0, DEADLINE))))[0].1
    };
    assert_eq!(sent_to(&|_| {}), 2);
    let list = |host: &mut Host, entry| drop(host.update_list(2 * MS, ListKind::Delta, vec![entry]));
    assert_eq!(sent_to(&|h| list(h, WorkerEntry { stage: Stage::Draining, ..entry(2, 0, None) })), 1);
    assert_eq!(sent_to(&|h| list(h, WorkerEntry { stage: Stage::Gone, ..entry(2, 0, None) })), 1);
    // A pin to a worker that was never listed is ignored: either worker may be chosen.
    assert!(sent_to(&|h| drop(h.event(2 * MS, pins(&[(0, None, 77)])))) <= 2);
    let both = Overrides {
        out_of_service: vec![WorkerId(2)],
        pins: vec![(ClassId(0), None, WorkerId(2))],
        ..Overrides::default()
    };
    assert_eq!(sent_to(&|h| drop(h.event(2 * MS, Event::Overrides(both.clone())))), 1);
}

#[test]
fn a_pin_does_not_overload_a_cold_worker() {
    let (mut pinned, mut plain) = (0, 0);
    for (set, count) in [(true, &mut pinned), (false, &mut plain)] {
        let mut host = host(settings(), 2);
        sent_per_worker(&mut host, MS, 400, 0, 2);
        let now = 20_000 * MS;
        host.update_list(now, ListKind::Delta, vec![entry(3, 0, Some(now))]);
        if set {
            host.event(now, pins(&[(0, None, 3)]));
        }
        *count = sent_per_worker(&mut host, now + MS, 100, 0, 3)[3];
    }
    // Within the rule's time span an instance may send its random part of the budget; a pin does not raise
    // it.
    assert!(pinned <= plain.max(1) * 2, "{pinned} sent with a pin, {plain} without");
}

#[test]
fn a_retry_of_a_pinned_request_respects_the_effect_of_its_class() {
    let mut host = Host::new(settings(), 1);
    host.update_list(0, ListKind::Full, vec![entry(1, 0, None), entry(2, 1, None)]);
    // Keyed by zone: after an attempt that may have run in zone 0, a retry must stay there.
    let sent = |host: &mut Host, now, class| {
        host.event(now, pins(&[(class, None, 1)]));
        let first = sends(&host.event(now + MS, Event::Request(request(now, class, now + DEADLINE))));
        assert_eq!(first, [(now.to_string(), 1)]);
        host.event(now + 2 * MS, pins(&[(class, None, 2)]));
        sends(&host.end_attempt(now + 3 * MS, &now.to_string(), 0, Outcome::Cut, MS, None))
    };
    assert_eq!(sent(&mut host, 1000 * MS, 2), [], "a `Once` job is not retried, pinned or not");
    let retry = sent(&mut host, 2000 * MS, 1);
    assert!(retry.iter().all(|s| s.1 == 1), "a job keyed by zone is retried in its zone: {retry:?}");
}

/// A pin expires while a request is held for the pinned worker.
#[test]
fn a_request_held_for_its_pinned_worker_is_sent_elsewhere_when_the_pin_ends() {
    let mut starts_only = settings();
    (starts_only.report_source, starts_only.tells_start) = (ReportSource::None, true);
    let mut host = host(starts_only, 2);
    host.event(MS, pins(&[(0, None, 2)]));
    assert_eq!(sends(&host.event(2 * MS, Event::Request(request(1, 0, DEADLINE)))), [("1".into(), 2)]);
    assert!(sends(&host.event(3 * MS, Event::Request(request(2, 0, DEADLINE)))).is_empty());
    // Other requests are neither held behind it nor pinned.
    let other = host.event(4 * MS, Event::Request(request(3, 2, DEADLINE)));
    assert_eq!(sends(&other), [("3".into(), 1)]);
    host.event(5 * MS, Event::JobStarted(RequestId("3".into()), AttemptNo(0)));
    assert_eq!(sends(&host.event(6 * MS, pins(&[]))), [("2".into(), 1)]);
}

/// Without overrides in force, decisions are the same as if none had ever been set.
#[test]
fn an_empty_set_of_overrides_changes_nothing() {
    let run = |with_overrides: bool| {
        let mut host = host(settings(), 4);
        let mut all_actions = Vec::new();
        for round in 0..200u64 {
            let now = (round + 1) * 20 * MS;
            if with_overrides && round % 10 == 0 {
                host.event(now, Event::Overrides(Overrides::default()));
            }
            let actions =
                host.event(now, Event::Request(request(round, (round % 3) as usize, now + DEADLINE)));
            for (id, worker) in sends(&actions) {
                let spent = 10 * MS * Micros::from(worker);
                all_actions.extend(host.end_attempt(now + spent, &id, 0, Outcome::Served, spent, None));
            }
            all_actions.extend(actions);
        }
        all_actions.retain(|a| !matches!(a, Action::Wake(..)));
        all_actions
    };
    assert_eq!(run(true), run(false));
}
