//! Reports of answers from discovery: their encoding and their number.

use lineroute_control::discovery_report::{DiscoveryReport, ReportSchedule, REPORT_GAP};
use lineroute_control::load_gossip::LoadReport;
use proptest::prelude::*;

proptest! {
    /// A report round-trips, and is not a valid load report.
    #[test]
    fn a_report_round_trips(version: u64) {
        let report = DiscoveryReport { version };
        prop_assert_eq!(DiscoveryReport::decode(&report.encode()), Some(report));
        prop_assert_eq!(LoadReport::decode(&report.encode()), None);
    }

    #[test]
    fn invalid_reports_are_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..20)) {
        if let Some(report) = DiscoveryReport::decode(&bytes) {
            prop_assert_eq!(&report.encode()[..], &bytes[..]);
        }
    }

    /// However many dispatchers are answered, a tier whose members receive each other's reports sends one
    /// report of a version per interval.
    #[test]
    fn a_tier_sends_few_reports(gaps in proptest::collection::vec(0..100u64, 1..300)) {
        let mut members: Vec<ReportSchedule> = gaps.iter().map(|_| ReportSchedule::default()).collect();
        let report = DiscoveryReport { version: 7 };
        let (mut now, mut sent) = (0, 0);
        for (member, gap) in gaps.iter().enumerate() {
            now += gap;
            if members[member].answered(now, report) {
                sent += 1;
                members.iter_mut().for_each(|other| other.peer_reported(now, report));
            }
        }
        prop_assert!(sent <= 1 + now / REPORT_GAP);
    }
}

#[test]
fn a_newer_version_is_reported_at_once() {
    let mut schedule = ReportSchedule::default();
    assert!(schedule.answered(0, DiscoveryReport { version: 1 }));
    assert!(!schedule.answered(1, DiscoveryReport { version: 1 }));
    assert!(schedule.answered(2, DiscoveryReport { version: 2 }));
    schedule.peer_reported(3, DiscoveryReport { version: 5 });
    assert!(!schedule.answered(4, DiscoveryReport { version: 4 }));
    assert!(schedule.answered(3 + REPORT_GAP, DiscoveryReport { version: 4 }));
}
