//! Load reports between dispatchers: their encoding, who aggregates them, and that the effects of faulty ones
//! are bounded.

use lineroute_control::load_gossip::{
    LoadReport, Purpose, ReportedLoad, Tag, ZoneAggregators, MAX_DATAGRAM, REPORT_TTL,
};
use std::collections::BTreeSet;

fn report(sequence: u8, out: &[(&str, u8)]) -> LoadReport {
    let out = out.iter().map(|(name, out)| (Tag::of(name), *out)).collect();
    LoadReport { purpose: Purpose::Report, sequence, zone: Tag::of("a"), in_flight: out, refused: Vec::new() }
}

/// Jobs of dispatchers other than the querier at a worker.
fn others(reported: &ReportedLoad, querier: u32, worker: &str, now: u64) -> u32 {
    let snapshot = reported.snapshot(querier, now, |tag| tag == Tag::of(worker)).0;
    snapshot.iter().map(|(_, out)| *out).sum()
}

#[test]
fn a_report_round_trips() {
    for purpose in [Purpose::Report, Purpose::Query, Purpose::Snapshot] {
        let refused = vec![Tag::of("full")];
        let report = LoadReport { purpose, refused, ..report(7, &[("b", 200), ("a", 1)]) };
        assert_eq!(LoadReport::decode(&report.encode()), Some(report));
    }
    assert!((200..=256).contains(&MAX_DATAGRAM));
}

#[test]
fn invalid_reports_are_rejected_and_long_ones_keep_the_highest_counts() {
    for bytes in [&[][..], &[1, 2], &[1, 2, 3, 4], &[0x70, 1, 2], &[0; MAX_DATAGRAM + 3], &[0; 256]] {
        assert_eq!(LoadReport::decode(bytes), None, "{bytes:?}");
    }
    let names: Vec<String> = (0..500).map(|i| format!("w{i}")).collect();
    let mut all: Vec<(&str, u8)> = names.iter().map(|n| (n.as_str(), 1)).collect();
    all[499].1 = 9;
    let bytes = report(0, &all).encode();
    assert_eq!(bytes.len(), MAX_DATAGRAM);
    assert_eq!(LoadReport::decode(&bytes).expect("a report").in_flight[0], (Tag::of("w499"), 9));
}

#[test]
fn counts_exclude_the_querier_and_duplicates() {
    let mut reported = ReportedLoad::default();
    reported.apply(0, &report(1, &[("a", 2)]), 1000);
    reported.apply(1, &report(1, &[("a", 3)]), 1000);
    reported.apply(0, &report(1, &[("a", 2)]), 1010);
    assert_eq!([0, 1, 2].map(|querier| others(&reported, querier, "a", 1010)), [3, 2, 5]);
    // The next report states that nothing is in flight any more.
    reported.apply(0, &report(2, &[]), 1020);
    assert_eq!(others(&reported, 2, "a", 1020), 3);
}

#[test]
fn reordered_reports_are_ignored_and_old_ones_expire() {
    let mut reported = ReportedLoad::default();
    reported.apply(0, &report(0, &[]), 1000);
    reported.apply(0, &report(15, &[("a", 1)]), 1017);
    assert_eq!(others(&reported, 2, "a", 1017), 0, "sent before the newer report");
    reported.apply(0, &report(1, &[("a", 1)]), 1030);
    reported.apply(1, &report(1, &[]), 1030 + REPORT_TTL - 1);
    assert_eq!(others(&reported, 2, "a", 1030 + REPORT_TTL - 1), 1);
    reported.apply(1, &report(2, &[]), 1030 + REPORT_TTL * 5 / 4);
    assert_eq!(others(&reported, 2, "a", 1030 + REPORT_TTL * 5 / 4), 0, "the sender may be dead");
}

#[test]
fn a_refusal_reported_by_two_peers_is_passed_on_until_it_expires() {
    let mut reported = ReportedLoad::default();
    let refusal = |sequence| LoadReport { refused: vec![Tag::of("full")], ..report(sequence, &[]) };
    let refused = |reported: &ReportedLoad, now| reported.snapshot(5, now, |_| true).1;
    for sequence in 1..9 {
        reported.apply(0, &refusal(sequence), 1000 + u64::from(sequence) * 200);
        assert!(refused(&reported, 1000 + u64::from(sequence) * 200).is_empty(), "one peer may be wrong");
    }
    reported.apply(1, &refusal(1), 3000);
    assert_eq!(refused(&reported, 6999), [Tag::of("full")]);
    assert!(refused(&reported, 7000).is_empty());
    reported.apply(1, &refusal(2), 8500);
    assert!(refused(&reported, 8500).is_empty(), "the first report has expired");
}

/// Memory is bounded by the number of peers, whatever they send.
#[test]
fn a_misbehaving_peer_cannot_exhaust_memory() {
    let mut reported = ReportedLoad::default();
    for sequence in 0..1000u32 {
        let name = format!("w{sequence}");
        let report_of_refusal =
            LoadReport { refused: vec![Tag::of(&name)], ..report((sequence % 16) as u8, &[(&name, 254)]) };
        reported.apply(0, &report_of_refusal, u64::from(sequence) * 200 + 1);
    }
    let (out, refused) = reported.snapshot(1, 999 * 200 + 1, |_| true);
    assert_eq!(out, [(Tag::of("w999"), 254)]);
    assert!(refused.len() < 10, "{refused:?}");
}

/// All dispatchers determine the same aggregators without communication, and the zones are spread over the
/// tier.
#[test]
fn aggregators_are_the_same_for_all_and_spread_over_the_tier() {
    let zones: Vec<Tag> = (0..30).map(|i| Tag::of(&format!("zone{i}"))).collect();
    let first_candidates = |mut aggregators: ZoneAggregators| {
        zones.iter().filter_map(|z| aggregators.query(*z, 0)).collect::<Vec<u32>>()
    };
    let (one, another) =
        (first_candidates(ZoneAggregators::new(100)), first_candidates(ZoneAggregators::new(100)));
    assert_eq!(one, another);
    let different: BTreeSet<u32> = one.into_iter().collect();
    assert!(different.len() > 20, "{different:?}");
    assert!(different.iter().all(|number| *number < 100));
}

/// A release also restarts aggregators: the next candidate already has the reports, and is queried until the
/// first one answers again.
#[test]
fn an_aggregator_that_times_out_is_skipped_temporarily() {
    let (mut aggregators, zone) = (ZoneAggregators::new(50), Tag::of("a"));
    let receivers = aggregators.report_to(zone, 0);
    let first = aggregators.query(zone, 0).expect("an aggregator");
    assert_eq!((receivers.len(), receivers[0]), (2, first));
    aggregators.timed_out(first, 100);
    let second = aggregators.query(zone, 101).expect("an aggregator");
    assert_eq!(second, receivers[1]);
    aggregators.timed_out(second, 110);
    let third = aggregators.query(zone, 120).expect("an aggregator");
    assert!(!receivers.contains(&third));
    assert_eq!(aggregators.report_to(zone, 120), [first, second, third]);
    assert_eq!(aggregators.query(zone, 5000), Some(first));
    aggregators.timed_out(first, 5000);
    aggregators.answered(first, 4);
    assert_eq!(aggregators.query(zone, 5001), Some(first));
    assert_eq!(ZoneAggregators::new(0).query(zone, 0), None);
}

/// If datagrams take long, an aggregator that answers late is not taken for dead; if they do not, the timeout
/// is short.
#[test]
fn the_answer_timeout_follows_answer_times() {
    for (took, min, max) in [(3, 11, 18), (20, 40, 55), (45, 90, 100)] {
        let mut aggregators = ZoneAggregators::new(50);
        (0..50).for_each(|_| aggregators.answered(1, took));
        assert!(
            (min..=max).contains(&aggregators.answer_timeout()),
            "{took}: {}",
            aggregators.answer_timeout()
        );
    }
    let mut aggregators = ZoneAggregators::new(50);
    (0..50).for_each(|_| aggregators.answered(1, 3));
    (0..20).for_each(|i| aggregators.timed_out(2, i));
    assert_eq!(aggregators.answer_timeout(), 100, "answers may take longer than they did");
}
