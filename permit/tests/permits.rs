//! Decision tables of the permits, and a comparison with the audit, whose rules are stated independently.

use lineroute_permit::audit::{SendAudit, Violation};
use lineroute_permit::*;
use proptest::prelude::*;
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);

/// Facts under which the first byte may be sent.
fn sendable(now: Instant) -> SendFacts {
    SendFacts {
        now,
        list: ListValidity::Valid,
        worker: WorkerFacts {
            stage: Some(WorkerStage::Ready),
            stage_when_decided: WorkerStage::Ready,
            operator_state: OperatorState::InService,
        },
        attempt: AttemptState::InFlight,
        client: ClientState::Waiting,
        deadline: now + SECOND,
        repeat_until: Some(now + SECOND),
        passed_on: Some(SECOND),
    }
}

fn refusal(change: impl FnOnce(&mut SendFacts)) -> Option<SendRefusal> {
    let mut facts = sendable(Instant::now());
    change(&mut facts);
    facts.permit().err()
}

#[test]
fn each_fact_alone_refuses_the_first_byte() {
    use SendRefusal::*;
    assert_eq!(refusal(|_| {}), None);
    assert_eq!(refusal(|f| f.attempt = AttemptState::Ended), Some(AttemptOver));
    assert_eq!(refusal(|f| f.client = ClientState::Gone), Some(ClientGone));
    assert_eq!(refusal(|f| f.deadline = f.now), Some(DeadlineOver));
    assert_eq!(refusal(|f| f.repeat_until = Some(f.now)), Some(RepeatWindowOver));
    assert_eq!(refusal(|f| f.repeat_until = None), None);
    assert_eq!(refusal(|f| f.passed_on = Some(SECOND * 2)), Some(PassedOnTooMuch));
    assert_eq!(refusal(|f| f.passed_on = None), None);
    assert_eq!(refusal(|f| f.worker.stage = None), Some(WorkerUnknown));
    assert_eq!(refusal(|f| f.worker.stage = Some(WorkerStage::Draining)), Some(WorkerChanged));
    assert_eq!(refusal(|f| f.worker.stage = Some(WorkerStage::Gone)), Some(WorkerChanged));
    assert_eq!(refusal(|f| f.worker.operator_state = OperatorState::OutOfService), Some(WorkerOutOfService));
}

#[test]
fn a_send_permit_expires() {
    let now = Instant::now();
    let issued = || sendable(now).permit().expect("a permit");
    assert_eq!(issued().check_age(now), Ok(()));
    assert_eq!(issued().check_age(now + STALL_ALLOWANCE), Err(SendRefusal::PermitOld));
}

#[test]
fn further_attempts_depend_on_the_class_and_earlier_outcomes() {
    use EarlierAttempts::{MayHaveRun, NeverRan};
    let now = Instant::now();
    let (open, over) = (Some(now + SECOND), Some(now));
    let table = [
        (RepeatSafety::Idempotent, NeverRan, None),
        (RepeatSafety::Idempotent, MayHaveRun { repeat_until: None }, None),
        (RepeatSafety::NotIdempotent, NeverRan, None),
        (RepeatSafety::NotIdempotent, MayHaveRun { repeat_until: None }, Some(RetryRefusal::MayHaveRun)),
        (RepeatSafety::IdempotentByKey, NeverRan, None),
        (RepeatSafety::IdempotentByKey, MayHaveRun { repeat_until: open }, None),
        (
            RepeatSafety::IdempotentByKey,
            MayHaveRun { repeat_until: over },
            Some(RetryRefusal::RepeatWindowOver),
        ),
        (
            RepeatSafety::IdempotentByKey,
            MayHaveRun { repeat_until: None },
            Some(RetryRefusal::RepeatWindowOver),
        ),
    ];
    for (effect, earlier, refusal) in table {
        let facts = RetryFacts { now, effect, earlier, has_attempt_in_flight: false };
        assert_eq!(facts.permit().err(), refusal, "{facts:?}");
        let facts = RetryFacts { has_attempt_in_flight: true, ..facts };
        assert_eq!(facts.permit().err(), Some(RetryRefusal::AnotherIsOut));
    }
}

#[test]
fn a_connection_that_owes_an_answer_is_closed_only_for_its_client() {
    use CloseReason::*;
    let closes = |state, reason| CloseFacts { state, reason }.permit().is_ok();
    for reason in [ClientClosed, BadRequest] {
        assert!(
            closes(ConnectionState::AwaitingResponse, reason) && closes(ConnectionState::Responding, reason)
        );
    }
    for reason in [SlotNeeded, ClientStalled, Stopping, ServerFinished] {
        assert!(!closes(ConnectionState::AwaitingResponse, reason));
        assert!(closes(ConnectionState::Idle, reason) && closes(ConnectionState::Receiving, reason));
    }
    // A client that does not take its response gives way to others only once it is being sent.
    assert!(closes(ConnectionState::Responding, ClientStalled));
    assert!(
        !closes(ConnectionState::Responding, SlotNeeded) && !closes(ConnectionState::Responding, Stopping)
    );
}

#[test]
fn a_request_starts_until_the_process_stops_unless_its_client_is_gone() {
    use ProcessState::*;
    let refused = |process, client_gone| StartFacts { process, client_gone }.permit().err();
    assert_eq!([Serving, Draining].map(|p| refused(p, false)), [None, None]);
    assert_eq!(refused(Stopping, false), Some(StartRefusal::Stopping));
    assert_eq!([Serving, Stopping].map(|p| refused(p, true)), [Some(StartRefusal::ClientGone); 2]);
}

#[test]
fn a_delayed_request_starts_in_a_stopping_process_only_if_it_is_over_in_time() {
    let accepts_until = Instant::now();
    let (second, answers_by) = (Duration::from_secs(1), accepts_until + Duration::from_secs(3));
    let refused = |begins_at, deadline| {
        DelayedStartFacts { begins_at, deadline, accepts_until, answers_by }.permit().err()
    };
    assert_eq!(refused(accepts_until, answers_by + second), None);
    assert_eq!(refused(accepts_until + second, answers_by), None);
    assert_eq!(refused(accepts_until + second, answers_by + second), Some(StartRefusal::Stopping));
}

#[test]
fn the_audit_detects_each_violation() {
    let now = Instant::now() + SECOND;
    let audit = SendAudit {
        now,
        list_valid: false,
        not_ready_since: Some((now - SECOND, SECOND / 2)),
        out_of_service: Some(now - SECOND),
        client_gone: Some(now - SECOND),
        deadline: now - SECOND,
        repeat_until: Some(now - SECOND),
        passed_on: Some(SECOND),
        attempts_in_flight: 2,
    };
    let all = [
        Violation::DrainedWorker,
        Violation::WorkerOutOfService,
        Violation::InvalidList,
        Violation::ClientGone,
        Violation::DeadlineOver,
        Violation::PassedOnTooMuch,
        Violation::RepeatWindowOver,
        Violation::SecondAttempt,
    ];
    assert_eq!(audit.violations().collect::<Vec<_>>(), all);
}

proptest! {
    /// For any facts: a write that is permitted and performed immediately violates no rule.
    #[test]
    fn a_permitted_write_violates_no_rule(
        list in prop_oneof![Just(ListValidity::Valid), Just(ListValidity::Unconfirmed), Just(ListValidity::Expired)],
        stage in 0..4u8, out in any::<bool>(), waits in any::<bool>(),
        deadline in 0..2000u64, window in proptest::option::of(0..2000u64),
        told in proptest::option::of(0..2000u64), in_service in any::<bool>(),
    ) {
        let start = Instant::now();
        let now = start + SECOND;
        let at = |ms: u64| start + Duration::from_millis(ms);
        let stages = [None, Some(WorkerStage::Ready), Some(WorkerStage::Draining), Some(WorkerStage::Gone)];
        let facts = SendFacts {
            now,
            list,
            worker: WorkerFacts {
                stage: stages[usize::from(stage)],
                stage_when_decided: WorkerStage::Ready,
                operator_state: if in_service { OperatorState::InService } else { OperatorState::OutOfService },
            },
            attempt: if out { AttemptState::InFlight } else { AttemptState::Ended },
            client: if waits { ClientState::Waiting } else { ClientState::Gone },
            deadline: at(deadline),
            repeat_until: window.map(at),
            passed_on: told.map(Duration::from_millis),
        };
        let audit = SendAudit {
            now,
            list_valid: list == ListValidity::Valid,
            not_ready_since: (stage > 1).then_some((start, SECOND / 2)),
            out_of_service: (!in_service).then_some(start),
            client_gone: (!waits).then_some(start),
            deadline: at(deadline),
            repeat_until: window.map(at),
            passed_on: told.map(Duration::from_millis),
            attempts_in_flight: 1,
        };
        if facts.permit().is_ok() {
            prop_assert_eq!(audit.violations().next(), None);
        }
    }
}
