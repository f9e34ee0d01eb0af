//! Validity of a worker list for sequences of events.

use lineroute_control::call_failure::CallFailure;
use lineroute_control::list_status::{
    ListState, ListStatus, CONGESTION_EVIDENCE_TTL, NEWER_LIST_VALIDITY, UNCONFIRMED_VALIDITY,
    VALIDITY_AFTER_MOVE, WATCH_SILENCE_GRACE,
};
use proptest::prelude::*;
use rstest::rstest;

const DRAIN_GRACE: u64 = 750;

#[test]
fn a_list_of_unknown_age_is_not_valid_until_discovery_answers() {
    let mut status = ListStatus::polled();
    for failure in [
        CallFailure::Unreachable,
        CallFailure::TurnedAway,
        CallFailure::Silent,
        CallFailure::Unreadable,
        CallFailure::NotMade,
    ] {
        status.failed(10, failure);
        assert_eq!(status.at(11), ListState::Unconfirmed, "{failure:?}");
    }
    status.answered(20);
    assert_eq!(status.at(20), ListState::Confirmed);
}

#[test]
fn a_confirmed_list_expires_without_a_watch() {
    let mut status = ListStatus::polled();
    status.answered(100);
    assert_eq!(status.at(100 + UNCONFIRMED_VALIDITY - 1), ListState::Confirmed);
    assert_eq!(status.at(100 + UNCONFIRMED_VALIDITY), ListState::Expired);
}

/// Guards against the class of bug of the drain-after-restart incident: acting on a list although nothing is
/// known of discovery.
#[test]
fn requests_that_could_not_be_issued_confirm_nothing() {
    let mut status = ListStatus::polled();
    status.answered(0);
    for now in (200..UNCONFIRMED_VALIDITY).step_by(200) {
        status.failed(now, CallFailure::NotMade);
        assert_eq!(status.at(now), ListState::Confirmed);
    }
    assert_eq!(status.at(UNCONFIRMED_VALIDITY), ListState::Expired);
}

/// Whatever the agent holds counts as published immediately: while it cannot be reached, sends end with the
/// drain grace.
#[test]
fn a_pushed_list_expires_after_the_grace_while_its_agent_cannot_be_reached() {
    let mut status = ListStatus::pushed(DRAIN_GRACE);
    status.answered(0);
    status.failed(300, CallFailure::Silent);
    status.failed(400, CallFailure::NotMade);
    status.failed(700, CallFailure::NotMade);
    assert!(status.at(300 + DRAIN_GRACE - 1).is_valid());
    assert_eq!(status.at(300 + DRAIN_GRACE), ListState::Expired);
    status.answered(5000);
    assert!(status.at(5000 + DRAIN_GRACE - 1).is_valid());
}

#[test]
fn a_watch_keeps_the_list_valid_until_it_must_have_fallen_silent() {
    let mut status = ListStatus::polled();
    status.answered(0);
    status.watch_started(0, 20_000);
    assert_eq!(status.at(20_000 + WATCH_SILENCE_GRACE - 1), ListState::Watched);
    assert_eq!(status.at(20_000 + WATCH_SILENCE_GRACE), ListState::Expired);
    // A timeout does not extend the validity.
    status.failed(21_500, CallFailure::Silent);
    assert_eq!(status.at(20_000 + WATCH_SILENCE_GRACE), ListState::Expired);
}

#[test]
fn a_short_watch_does_not_shorten_the_validity_from_the_answer() {
    let mut status = ListStatus::polled();
    status.answered(0);
    status.watch_started(0, 100);
    assert_eq!(status.at(UNCONFIRMED_VALIDITY - 1), ListState::Watched);
}

#[test]
fn a_list_is_valid_while_discovery_is_unreachable_and_expires_when_it_falls_silent() {
    let mut status = ListStatus::polled();
    status.answered(0);
    status.watch_started(0, 20_000);
    status.failed(5000, CallFailure::Unreachable);
    assert_eq!(status.at(5000), ListState::Unreachable);
    status.failed(9000, CallFailure::Unreachable);
    status.failed(12_000, CallFailure::Silent);
    assert_eq!(status.at(9000 + UNCONFIRMED_VALIDITY - 1), ListState::Confirmed);
    assert_eq!(status.at(9000 + UNCONFIRMED_VALIDITY), ListState::Expired);
}

#[test]
fn an_expired_list_stays_expired_until_an_answer() {
    let mut status = ListStatus::polled();
    status.answered(0);
    status.failed(UNCONFIRMED_VALIDITY, CallFailure::Unreachable);
    assert_eq!(status.at(UNCONFIRMED_VALIDITY), ListState::Expired);
    status.answered(UNCONFIRMED_VALIDITY + 1);
    assert_eq!(status.at(UNCONFIRMED_VALIDITY + 1), ListState::Confirmed);
}

#[test]
fn a_move_of_discovery_leaves_the_list_a_short_validity() {
    let mut status = ListStatus::polled();
    status.answered(0);
    status.watch_started(0, 20_000);
    status.moved(1000);
    assert_eq!(status.at(1000 + VALIDITY_AFTER_MOVE - 1), ListState::Confirmed);
    assert_eq!(status.at(1000 + VALIDITY_AFTER_MOVE), ListState::Expired);
}

#[test]
fn a_pushed_list_is_valid_while_its_agent_is_asked_and_a_fixed_one_always() {
    let mut pushed = ListStatus::pushed(DRAIN_GRACE);
    assert_eq!(pushed.at(u64::MAX - 1), ListState::Unconfirmed);
    pushed.answered(5);
    // The agent is silent while there is no change, or while discovery is down.
    for now in (300..60_000).step_by(300) {
        assert!(pushed.at(now).is_valid());
        pushed.failed(now, CallFailure::Silent);
    }
    // After the process was suspended, whatever the agent holds counts as published. A request that the agent
    // leaves unanswered shows that it holds nothing.
    let back = 70_000;
    assert_eq!(pushed.at(back), ListState::Expired);
    pushed.failed(back, CallFailure::Unreadable);
    assert_eq!(pushed.at(back), ListState::Expired);
    pushed.failed(back + 100, CallFailure::Silent);
    assert!(pushed.at(back + 100).is_valid());
    assert!(ListStatus::fixed().at(u64::MAX - 1).is_valid());
}

/// Without peer reports, rejections look like an outage: the list stays valid as long as they arrive.
#[test]
fn a_list_is_valid_while_requests_are_rejected_and_no_peer_is_answered() {
    let mut status = ListStatus::polled();
    status.answered(0);
    for now in (2000..60_000).step_by(2000) {
        assert!(status.at(now).is_valid());
        status.failed(now, CallFailure::TurnedAway);
        assert_eq!(status.at(now), ListState::TurnedAway);
    }
}

/// Discovery is back and answers other dispatchers, so its rejections are due to congestion.
#[test]
fn rejections_while_peers_are_answered_confirm_nothing() {
    let mut status = ListStatus::polled();
    status.answered(0);
    status.failed(2000, CallFailure::TurnedAway);
    for now in (2500..8000).step_by(500) {
        assert!(!status.peer_answered(now, now, false), "the peer has no newer list");
        status.failed(now + 400, CallFailure::TurnedAway);
        assert_eq!(status.at(now).is_valid(), now < 2000 + UNCONFIRMED_VALIDITY, "{now}");
    }
    assert_eq!(status.at(2000 + UNCONFIRMED_VALIDITY), ListState::Expired);
}

#[test]
fn a_newer_list_at_a_peer_shortens_the_validity() {
    let mut status = ListStatus::polled();
    status.answered(0);
    status.failed(5000, CallFailure::TurnedAway);
    assert!(status.peer_answered(5500, 5500, true));
    assert!(!status.peer_answered(5700, 5700, true), "a later report does not extend the validity");
    assert!(status.at(5500 + NEWER_LIST_VALIDITY - 1).is_valid());
    assert_eq!(status.at(5500 + NEWER_LIST_VALIDITY), ListState::Expired);
    status.answered(11_000);
    assert!(status.at(11_000 + UNCONFIRMED_VALIDITY - 1).is_valid());
}

/// After the process was suspended, a report counts from the time at which it may have arrived.
#[test]
fn an_unread_report_counts_from_its_arrival() {
    let mut status = ListStatus::polled();
    status.answered(0);
    status.failed(5000, CallFailure::TurnedAway);
    assert!(status.peer_answered(8000, 5100, true));
    assert_eq!(status.at(5100 + NEWER_LIST_VALIDITY), ListState::Expired);
    // A rejection read after the report is attributed to the same congestion, whenever it arrived.
    status.failed(5200, CallFailure::TurnedAway);
    assert_eq!(status.at(5100 + NEWER_LIST_VALIDITY), ListState::Expired);
}

/// A partition between this dispatcher and discovery, but not its peers; an established watch; an agent.
#[test]
fn peer_reports_change_nothing_unless_requests_are_rejected() {
    let mut cut_off = ListStatus::polled();
    cut_off.answered(0);
    cut_off.failed(2000, CallFailure::Unreachable);
    assert!(!cut_off.peer_answered(2100, 2100, true));
    cut_off.failed(4000, CallFailure::Unreachable);
    assert!(cut_off.at(4000 + UNCONFIRMED_VALIDITY - 1).is_valid());

    let mut watched = ListStatus::polled();
    watched.answered(0);
    watched.watch_started(0, 6000);
    assert!(!watched.peer_answered(100, 100, true));
    assert!(watched.at(6000 + WATCH_SILENCE_GRACE - 1).is_valid());
    // Congestion ends the watch: until then it would have reported a change.
    watched.peer_answered(6900, 6900, false);
    watched.failed(7000, CallFailure::TurnedAway);
    assert!(watched.at(7000 + UNCONFIRMED_VALIDITY - 1).is_valid());

    let mut pushed = ListStatus::pushed(DRAIN_GRACE);
    pushed.answered(0);
    assert!(!pushed.peer_answered(10, 10, true));
    assert!(pushed.at(DRAIN_GRACE - 1).is_valid());
}

#[test]
fn an_old_report_no_longer_hides_an_outage() {
    let mut status = ListStatus::polled();
    status.answered(0);
    status.peer_answered(100, 100, false);
    status.failed(100 + CONGESTION_EVIDENCE_TTL - 1, CallFailure::TurnedAway);
    assert_eq!(status.at(100 + CONGESTION_EVIDENCE_TTL - 1), ListState::Confirmed);
    status.failed(100 + CONGESTION_EVIDENCE_TTL, CallFailure::TurnedAway);
    assert_eq!(status.at(100 + CONGESTION_EVIDENCE_TTL), ListState::TurnedAway);
    assert!(status.at(100 + CONGESTION_EVIDENCE_TTL + UNCONFIRMED_VALIDITY - 1).is_valid());
}

/// A list confirmed at time 0 by one of `dispatchers` dispatchers, after requests without a wait that took
/// `calls`.
fn confirmed_by_one_of(dispatchers: u32, calls: &[u64]) -> ListStatus {
    let mut status = ListStatus::polled_by_tier(dispatchers);
    calls.iter().for_each(|took| status.record_service_time(*took));
    status.answered(0);
    status
}

/// Rejections are no evidence of an outage if congestion of the tier may last longer than the bound.
#[rstest]
#[case::a_slow_discovery(16, &[700, 2600], false)]
#[case::measured_during_congestion(300, &[1800], false)]
#[case::measured_when_idle_too(300, &[1800, 16], true)]
#[case::exactly_the_bound(300, &[20], true)]
#[case::just_over_the_bound(301, &[20], false)]
#[case::a_tier_of_one(1, &[5999], true)]
#[case::not_measured(300, &[], true)]
fn rejections_keep_a_list_valid_if_congestion_is_short(
    #[case] dispatchers: u32,
    #[case] calls: &[u64],
    #[case] stays_valid: bool,
) {
    let mut status = confirmed_by_one_of(dispatchers, calls);
    status.failed(2000, CallFailure::TurnedAway);
    status.failed(4000, CallFailure::TurnedAway);
    assert!(status.at(UNCONFIRMED_VALIDITY - 1).is_valid());
    assert_eq!(status.at(UNCONFIRMED_VALIDITY).is_valid(), stays_valid);
    // Failing to connect is evidence of an outage, whatever the service time, as long as the list was valid.
    let mut status = confirmed_by_one_of(dispatchers, calls);
    status.failed(4000, CallFailure::Unreachable);
    assert!(status.at(4000 + UNCONFIRMED_VALIDITY - 1).is_valid());
}

#[test]
fn a_watch_confirms_the_list_until_it_is_rejected() {
    let mut status = confirmed_by_one_of(16, &[700]);
    status.watch_started(10, 1000);
    status.failed(900, CallFailure::TurnedAway);
    status.failed(2900, CallFailure::TurnedAway);
    assert!(status.at(900 + UNCONFIRMED_VALIDITY - 1).is_valid());
    assert_eq!(status.at(900 + UNCONFIRMED_VALIDITY), ListState::Expired);
}

#[test]
fn missing_peer_reports_distinguish_an_outage_from_congestion() {
    let mut status = confirmed_by_one_of(16, &[700]);
    status.expect_peer_reports();
    status.failed(4000, CallFailure::TurnedAway);
    assert!(status.at(4000 + UNCONFIRMED_VALIDITY - 1).is_valid());
}

/// An event, and the time since the previous one.
fn step() -> impl Strategy<Value = (u64, u8, u64)> {
    (prop_oneof![0..250u64, 0..9000u64], 0..10u8, 0..20_000u64)
}

proptest! {
    /// For any sequence of events, the list is valid no longer than allowed by the last answer of discovery,
    /// the last evidence that it cannot be reached, or the watch that follows an answer.
    #[test]
    fn validity_is_bounded_by_evidence(steps in proptest::collection::vec(step(), 1..60)) {
        let mut status = ListStatus::polled();
        let (mut now, mut bound) = (0, 0);
        let (mut answered_at, mut reported_at, mut watched) = (None, None, false);
        for (after, event, wait) in steps {
            now += after;
            let was_valid = status.at(now).is_valid();
            match event {
                0 | 1 => {
                    status.answered(now);
                    bound = now + UNCONFIRMED_VALIDITY;
                }
                2 => {
                    status.watch_started(now, wait);
                    if answered_at.is_some_and(|at| now <= at + 200) {
                        watched = true;
                        bound = bound.max(now + wait + WATCH_SILENCE_GRACE);
                    }
                }
                3 => {
                    status.failed(now, CallFailure::Unreachable);
                    if was_valid {
                        bound = now + UNCONFIRMED_VALIDITY;
                    }
                }
                4 => status.failed(now, CallFailure::Silent),
                5 => status.failed(now, CallFailure::NotMade),
                6 => {
                    status.failed(now, CallFailure::TurnedAway);
                    let congested = reported_at.is_some_and(|at| now < at + CONGESTION_EVIDENCE_TTL);
                    if was_valid && (watched || !congested) {
                        bound = now + UNCONFIRMED_VALIDITY;
                    }
                }
                7 | 8 => {
                    if status.peer_answered(now, now, event == 8) {
                        bound = bound.min(now + NEWER_LIST_VALIDITY);
                    }
                    reported_at = Some(now);
                }
                _ => status.moved(now),
            }
            watched &= matches!(event, 2 | 7 | 8);
            if event < 7 || event == 9 {
                answered_at = (event < 2).then_some(now);
            }
            prop_assert!(!status.at(now).is_valid() || now < bound);
            prop_assert!(!status.at(bound).is_valid());
        }
    }
}
