//! What operators set, as it meets the rules: it steers what the rules leave open, and nothing else.

mod common;

use common::{entry, request, settings, Host, MS};
use lineroute::*;

const LATE: Micros = 5000 * MS;

fn sends(actions: &[Action]) -> Vec<(String, u32)> {
    let send = |a: &Action| match a {
        Action::Send { id, worker, .. } => Some((id.0.to_string(), worker.0)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

fn refused(actions: &[Action]) -> Vec<String> {
    let refusal = |a: &Action| match a {
        Action::Refuse { id, retry_after } if *retry_after > 0 => Some(id.0.to_string()),
        _ => None,
    };
    actions.iter().filter_map(refusal).collect()
}

fn host(settings: Settings, workers: u32) -> Host {
    let mut host = Host::new(settings, 1);
    host.list(0, ListKind::Full, (1..=workers).map(|w| entry(w, 0, None)).collect());
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

/// Hands in `count` requests, ten at a time, each served in 100 ms; how many went to each of `workers`.
fn shares(host: &mut Host, from: Micros, count: u64, class: usize, workers: u32) -> Vec<u64> {
    let mut counts = vec![0; workers as usize + 1];
    for round in 0..count / 10 {
        let now = from + round * 200 * MS;
        let ids: Vec<u64> = (0..10).map(|k| now + k).collect();
        let mut placed = Vec::new();
        for id in ids {
            placed.extend(sends(&host.event(now, Event::Request(request(id, class, now + LATE)))));
        }
        for (id, worker) in placed {
            counts[worker as usize] += 1;
            host.close(now + 100 * MS, &id, 0, Outcome::Served, 100 * MS, None);
        }
    }
    counts
}

#[test]
fn a_weight_multiplies_the_share_and_its_end_undoes_it() {
    let mut host = host(settings(), 4);
    shares(&mut host, MS, 400, 0, 4);
    host.event(20_000 * MS, weights(&[(1, 3.0)]));
    let counts = shares(&mut host, 20_001 * MS, 1200, 0, 4);
    // 3 of 6 parts.
    let part = counts[1] as f64 / 1200.0;
    assert!((0.44..0.56).contains(&part), "{counts:?}");
    host.event(60_000 * MS, weights(&[]));
    let counts = shares(&mut host, 60_001 * MS, 1200, 0, 4);
    assert!((0.2..0.3).contains(&(counts[1] as f64 / 1200.0)), "{counts:?}");
}

/// What a weight does to shares it must not do to times: a cold worker's budget is counted in them.
#[test]
fn a_weight_sends_a_cold_worker_no_more_than_the_rule_allows() {
    let sent = |weight: f64| {
        let mut host = host(settings(), 2);
        shares(&mut host, MS, 400, 0, 2);
        let now = 20_000 * MS;
        host.event(now, weights(&[(3, weight)]));
        host.list(now, ListKind::Delta, vec![entry(3, 0, Some(now))]);
        shares(&mut host, now + MS, 50, 0, 3)[3]
    };
    let (usual, heavy) = (sent(1.0), sent(100.0));
    assert!(heavy <= usual.max(1), "cold worker got {heavy}, {usual} without a weight");
}

#[test]
fn nothing_new_goes_to_a_worker_out_of_service_and_what_is_there_finishes() {
    let mut host = host(settings(), 2);
    let first = sends(&host.event(MS, Event::Request(request(1, 0, LATE))));
    let at = first[0].1;
    assert!(host.event(2 * MS, out_of_service(&[at])).iter().all(|a| !matches!(a, Action::Cancel(..))));
    let counts = shares(&mut host, 3 * MS, 100, 0, 2);
    assert_eq!(counts[at as usize], 0);
    // Whatever the list does meanwhile: it leaves, and comes back as a new process.
    let gone = WorkerEntry { stage: Stage::Gone, ..entry(at, 0, None) };
    host.list(4000 * MS, ListKind::Delta, vec![gone]);
    host.list(5000 * MS, ListKind::Delta, vec![entry(at, 0, Some(1000 * MS))]);
    assert_eq!(shares(&mut host, 30_000 * MS, 100, 0, 2)[at as usize], 0);
    host.event(40_000 * MS, out_of_service(&[]));
    assert!(shares(&mut host, 40_001 * MS, 100, 0, 2)[at as usize] > 0);
}

#[test]
fn with_every_worker_out_of_service_a_request_is_refused_at_once_and_told_when_to_come_back() {
    for class in 0..3 {
        let mut host = host(settings(), 2);
        host.event(MS, out_of_service(&[1, 2]));
        let actions = host.event(2 * MS, Event::Request(request(1, class, LATE)));
        assert_eq!((refused(&actions), sends(&actions).len()), (vec!["1".into()], 0));
        // One that knows of no worker at all waits for the list, as ever.
        let mut empty = Host::new(settings(), 1);
        assert!(refused(&empty.event(2 * MS, Event::Request(request(1, class, LATE)))).is_empty());
    }
}

#[test]
fn a_request_that_waits_is_refused_when_the_last_worker_goes_out_of_service() {
    let mut silent = settings();
    (silent.report_source, silent.tells_start) = (ReportSource::None, true);
    let mut host = host(silent, 1);
    let first = host.event(MS, Event::Request(request(1, 0, LATE)));
    assert_eq!(sends(&first).len(), 1);
    // Own jobs wait at the one worker there is: the second waits here.
    let second = host.event(2 * MS, Event::Request(request(2, 0, LATE)));
    assert!(sends(&second).is_empty() && refused(&second).is_empty());
    assert_eq!(refused(&host.event(3 * MS, out_of_service(&[1]))), ["2"]);
    assert_eq!((host.finals("1"), host.finals("2")), (0, 1));
}

#[test]
fn an_attempt_in_doubt_is_not_refused_but_failed_where_all_are_out_of_service() {
    let mut host = host(settings(), 2);
    let sent = sends(&host.event(MS, Event::Request(request(1, 2, LATE))));
    assert_eq!(sent.len(), 1);
    host.event(2 * MS, out_of_service(&[1, 2]));
    let actions = host.close(3 * MS, "1", 0, Outcome::Cut, 2 * MS, None);
    assert_eq!((refused(&actions).len(), host.finals("1")), (0, 1));
}

#[test]
fn a_pinned_class_goes_to_its_worker_only_and_others_go_as_ever() {
    let mut host = host(settings(), 4);
    host.event(MS, pins(&[(0, None, 3)]));
    let counts = shares(&mut host, 2 * MS, 200, 0, 4);
    assert_eq!(counts[3], 200);
    let others = shares(&mut host, 10_000 * MS, 200, 2, 4);
    assert!(others[1] > 0 && others[2] > 0 && others[4] > 0, "{others:?}");
    host.event(20_000 * MS, pins(&[]));
    assert!(shares(&mut host, 20_001 * MS, 200, 0, 4)[3] < 200);
}

#[test]
fn a_tenants_own_pin_comes_before_the_one_of_its_class() {
    let mut two = settings();
    two.tenants = vec![Tenant { quota_per_s: 1e6 }; 2];
    let mut host = host(two, 3);
    host.event(MS, pins(&[(0, None, 1), (0, Some(1), 2)]));
    for (id, tenant, worker) in [(1, 0, 1), (2, 1, 2), (3, 0, 1), (4, 1, 2)] {
        let asked = Request { tenant: Some(TenantId(tenant)), ..request(id, 0, LATE) };
        assert_eq!(sends(&host.event(id * MS, Event::Request(asked))), [(id.to_string(), worker)]);
    }
}

/// Rules win: not there, where a draining, gone, out-of-service, cold or unreachable worker is concerned.
#[test]
fn a_pin_to_a_worker_that_may_not_be_sent_to_falls_back_at_once() {
    let now = 100 * MS;
    let goes = |change: &dyn Fn(&mut Host)| {
        let mut host = host(settings(), 2);
        host.event(MS, pins(&[(0, None, 2)]));
        change(&mut host);
        sends(&host.event(now, Event::Request(request(1, 0, LATE))))[0].1
    };
    assert_eq!(goes(&|_| {}), 2);
    let list = |host: &mut Host, entry| drop(host.list(2 * MS, ListKind::Delta, vec![entry]));
    assert_eq!(goes(&|h| list(h, WorkerEntry { stage: Stage::Draining, ..entry(2, 0, None) })), 1);
    assert_eq!(goes(&|h| list(h, WorkerEntry { stage: Stage::Gone, ..entry(2, 0, None) })), 1);
    // To one that was never listed: the ordinary path, which is either.
    assert!(goes(&|h| drop(h.event(2 * MS, pins(&[(0, None, 77)])))) <= 2);
    let both = Overrides {
        out_of_service: vec![WorkerId(2)],
        pins: vec![(ClassId(0), None, WorkerId(2))],
        ..Overrides::default()
    };
    assert_eq!(goes(&|h| drop(h.event(2 * MS, Event::Overrides(both.clone())))), 1);
}

#[test]
fn a_pin_over_drives_no_cold_worker() {
    let (mut pinned, mut plain) = (0, 0);
    for (set, count) in [(true, &mut pinned), (false, &mut plain)] {
        let mut host = host(settings(), 2);
        shares(&mut host, MS, 400, 0, 2);
        let now = 20_000 * MS;
        host.list(now, ListKind::Delta, vec![entry(3, 0, Some(now))]);
        if set {
            host.event(now, pins(&[(0, None, 3)]));
        }
        *count = shares(&mut host, now + MS, 100, 0, 3)[3];
    }
    // Within the rule's span each may send what the lot allows it: a pin uses it up and gets no more.
    assert!(pinned <= plain.max(1) * 2, "{pinned} pinned, {plain} without");
}

#[test]
fn a_repeat_of_a_pinned_request_stays_within_what_its_class_permits() {
    let mut host = Host::new(settings(), 1);
    host.list(0, ListKind::Full, vec![entry(1, 0, None), entry(2, 1, None)]);
    // Keyed by zone: an attempt that may have run in zone 0 binds the next one to it.
    let sent = |host: &mut Host, now, class| {
        host.event(now, pins(&[(class, None, 1)]));
        let first = sends(&host.event(now + MS, Event::Request(request(now, class, now + LATE))));
        assert_eq!(first, [(now.to_string(), 1)]);
        host.event(now + 2 * MS, pins(&[(class, None, 2)]));
        sends(&host.close(now + 3 * MS, &now.to_string(), 0, Outcome::Cut, MS, None))
    };
    assert_eq!(sent(&mut host, 1000 * MS, 2), [], "once: no repeat, pinned or not");
    let again = sent(&mut host, 2000 * MS, 1);
    assert!(again.iter().all(|s| s.1 == 1), "keyed by zone: {again:?}");
}

/// Expiry while a request waits for the worker that it was pinned to.
#[test]
fn a_request_that_waits_for_its_pinned_worker_goes_elsewhere_when_the_pin_ends() {
    let mut silent = settings();
    (silent.report_source, silent.tells_start) = (ReportSource::None, true);
    let mut host = host(silent, 2);
    host.event(MS, pins(&[(0, None, 2)]));
    assert_eq!(sends(&host.event(2 * MS, Event::Request(request(1, 0, LATE)))), [("1".into(), 2)]);
    assert!(sends(&host.event(3 * MS, Event::Request(request(2, 0, LATE)))).is_empty());
    // Others of the class are not held up behind it, nor taken along.
    let other = host.event(4 * MS, Event::Request(request(3, 2, LATE)));
    assert_eq!(sends(&other), [("3".into(), 1)]);
    host.event(5 * MS, Event::JobStarted(RequestId("3".into()), AttemptNo(0)));
    assert_eq!(sends(&host.event(6 * MS, pins(&[]))), [("2".into(), 1)]);
}

/// With none in force, and after some were, decisions are what they would have been.
#[test]
fn an_empty_set_of_overrides_changes_nothing() {
    let run = |with: bool| {
        let mut host = host(settings(), 4);
        let mut said = Vec::new();
        for round in 0..200u64 {
            let now = (round + 1) * 20 * MS;
            if with && round % 10 == 0 {
                host.event(now, Event::Overrides(Overrides::default()));
            }
            let actions = host.event(now, Event::Request(request(round, (round % 3) as usize, now + LATE)));
            for (id, worker) in sends(&actions) {
                let spent = 10 * MS * Micros::from(worker);
                said.extend(host.close(now + spent, &id, 0, Outcome::Served, spent, None));
            }
            said.extend(actions);
        }
        said.retain(|a| !matches!(a, Action::Wake(..)));
        said
    };
    assert_eq!(run(true), run(false));
}
