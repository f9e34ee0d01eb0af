//! Tests of each component, and of the budget under random sequences of operations.

use bytes::Bytes;
use lineroute_stream::{
    classify, AttemptEnd, AttemptResult, AttemptStage, Budget, ProgressLimits, ProgressMonitor, ReplayBuffer,
    ReplayCursor, Share, Slow,
};
use proptest::prelude::*;
use rstest::rstest;
use std::time::Duration;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_stream_may_use_the_pool_until_other_streams_open() {
    let mut budget = Budget::new(1000, 50, 400);
    let mut first = budget.open().expect("within the stream limit");
    assert_eq!((budget.max_streams(), budget.available(&first)), (10, 400));
    let available = budget.available(&first);
    budget.acquire(&mut first, available);
    // With three more streams an equal part is 250 bytes, and the first stream exceeds it.
    let mut others: Vec<Share> = (0..3).map(|_| budget.open().expect("within the stream limit")).collect();
    assert_eq!(budget.available(&first), 0);
    let available = budget.available(&others[0]);
    assert_eq!(available, 50 + 150, "its floor plus the rest of the pool");
    budget.acquire(&mut others[0], available);
    // The pool is exhausted; the floor is always available.
    assert_eq!(budget.available(&others[1]), 50);
    budget.release(&mut first, 200);
    assert_eq!((budget.available(&first), budget.available(&others[1])), (50, 250));
    budget.close(first);
    others.into_iter().for_each(|share| budget.close(share));
    assert_eq!((budget.held(), budget.open_streams()), (0, 0));
}

#[derive(Clone, Debug)]
enum Step {
    Open,
    Acquire(usize, usize),
    Release(usize, usize),
    Close(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        Just(Step::Open),
        (any::<usize>(), 1..200usize).prop_map(|(at, n)| Step::Acquire(at, n)),
        (any::<usize>(), 1..200usize).prop_map(|(at, n)| Step::Release(at, n)),
        any::<usize>().prop_map(Step::Close),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        ..ProptestConfig::default()
    })]

    /// Streams that acquire only what is available never exceed the total, and none of them starves.
    #[test]
    fn the_total_is_never_exceeded_and_every_stream_has_its_floor(steps in prop::collection::vec(step(), 0..300)) {
        let (total, floor) = (1000, 30);
        let mut budget = Budget::new(total, floor, 600);
        let mut shares: Vec<Share> = Vec::new();
        for step in steps {
            match step {
                Step::Open => shares.extend(budget.open()),
                Step::Acquire(at, n) if !shares.is_empty() => {
                    let at = at % shares.len();
                    let n = n.min(budget.available(&shares[at]));
                    budget.acquire(&mut shares[at], n);
                }
                Step::Release(at, n) if !shares.is_empty() => {
                    let at = at % shares.len();
                    budget.release(&mut shares[at], n);
                }
                Step::Close(at) if !shares.is_empty() => {
                    let share = shares.swap_remove(at % shares.len());
                    budget.close(share);
                }
                _ => {}
            }
            prop_assert!(budget.held() <= total);
            prop_assert_eq!(budget.held(), shares.iter().map(Share::held).sum::<usize>());
            prop_assert_eq!(budget.open_streams(), shares.len());
            for share in &shares {
                prop_assert!(share.held() + budget.available(share) >= floor);
            }
        }
    }

    /// However the body is split into chunks, the buffer holds all of it or nothing.
    #[test]
    fn a_replay_buffer_is_complete_or_empty(sizes in prop::collection::vec(0..50usize, 0..20), limit in 0..300usize) {
        let mut replay = ReplayBuffer::new(limit);
        let (mut pushed, mut held) = (Vec::new(), 0);
        for (i, size) in sizes.into_iter().enumerate() {
            let chunk = Bytes::from(vec![i as u8; size]);
            pushed.extend_from_slice(&chunk);
            held += replay.push(&chunk);
            prop_assert_eq!(held as usize, replay.held());
            prop_assert_eq!(replay.is_complete(), pushed.len() <= limit || pushed.is_empty());
            let (mut cursor, mut replayed) = (ReplayCursor::default(), Vec::new());
            while let Some(chunk) = replay.next_chunk(&mut cursor) {
                replayed.extend_from_slice(&chunk);
            }
            prop_assert_eq!(replayed, if replay.is_complete() { pushed.clone() } else { Vec::new() });
        }
    }
}

#[test]
fn a_discarded_replay_buffer_stays_empty() {
    let mut replay = ReplayBuffer::new(100);
    replay.push(&Bytes::from_static(b"beginning"));
    assert_eq!((replay.discard(), replay.is_complete()), (9, false));
    assert_eq!(replay.push(&Bytes::from_static(b"more")), 0);
    assert!(!replay.is_complete());
}

/// Guards against an upload of small chunks whose beginning takes many times what is counted of it: 32 bytes for each, and its
/// buffer.
#[test]
fn a_replay_buffer_holds_small_chunks_in_few_blocks() {
    let body = Bytes::from((0..10_000u32).map(|i| i as u8).collect::<Vec<_>>());
    let mut replay = ReplayBuffer::new(body.len());
    for at in 0..body.len() {
        replay.push(&body.slice(at..=at));
    }
    let mut cursor = ReplayCursor::default();
    let chunks: Vec<Bytes> = std::iter::from_fn(|| replay.next_chunk(&mut cursor)).collect();
    assert_eq!(chunks.len(), 3);
    assert_eq!(chunks.concat(), body);
}

/// An attempt that has read part of a block goes on behind that part.
#[test]
fn a_replay_cursor_resumes_within_a_block() {
    let mut replay = ReplayBuffer::new(100);
    let mut cursor = ReplayCursor::default();
    for chunk in [&b"begin"[..], b"ning"] {
        replay.push(&Bytes::copy_from_slice(chunk));
        assert_eq!(replay.next_chunk(&mut cursor).as_deref(), Some(chunk));
        assert_eq!(replay.next_chunk(&mut cursor), None);
    }
    assert_eq!(replay.next_chunk(&mut ReplayCursor::default()).as_deref(), Some(&b"beginning"[..]));
}

const LIMITS: ProgressLimits =
    ProgressLimits { idle_timeout: ms(1000), min_bytes_per_second: 1000, window: ms(2000) };

#[test]
fn only_time_spent_waiting_for_the_peer_counts() {
    let mut monitor = ProgressMonitor::new(LIMITS);
    assert_eq!((monitor.check(ms(100_000)), monitor.next_check()), (None, None));
    monitor.start_waiting(ms(100_000));
    assert_eq!((monitor.check(ms(100_999)), monitor.next_check()), (None, Some(ms(101_000))));
    assert_eq!(monitor.check(ms(101_000)), Some(Slow::Idle));
    // The peer makes progress, and then there is nothing to wait for during a long time.
    monitor.record_progress(ms(100_900), 10);
    assert_eq!(monitor.check(ms(200_000)), None);
    monitor.start_waiting(ms(200_000));
    assert_eq!(monitor.check(ms(200_500)), None);
}

#[test]
fn a_peer_just_above_the_minimum_rate_passes_and_one_just_below_fails() {
    let run = |bytes: usize| {
        let mut monitor = ProgressMonitor::new(LIMITS);
        // A small transfer every 500 ms.
        (0..40).find_map(|i| {
            monitor.start_waiting(ms(i * 500));
            let slow = monitor.check(ms(i * 500 + 500));
            monitor.record_progress(ms(i * 500 + 500), bytes);
            slow
        })
    };
    assert_eq!(run(510), None);
    assert_eq!(run(490), Some(Slow::Rate));
    assert_eq!(run(0), Some(Slow::Rate));
}

#[test]
fn a_check_at_the_due_time_detects_the_violation() {
    for bytes in [0, 100, 1500, 3000] {
        let mut monitor = ProgressMonitor::new(ProgressLimits { idle_timeout: ms(60_000), ..LIMITS });
        monitor.start_waiting(ms(0));
        monitor.record_progress(ms(500), bytes);
        monitor.start_waiting(ms(500));
        let due = monitor.next_check().expect("the monitor is waiting");
        assert_eq!(monitor.check(due), Some(Slow::Rate), "{bytes} bytes, due {due:?}");
        assert_eq!(monitor.check(due - ms(2)), None, "{bytes} bytes, due {due:?}");
    }
    let mut without_rate = ProgressMonitor::new(ProgressLimits { min_bytes_per_second: 0, ..LIMITS });
    without_rate.start_waiting(ms(0));
    assert_eq!(without_rate.next_check(), Some(ms(1000)));
}

#[rstest]
#[case::refused(AttemptStage::Connecting, AttemptEnd::Broken, AttemptResult::NotExecuted)]
#[case::not_established(AttemptStage::Connecting, AttemptEnd::TimedOut, AttemptResult::NotExecuted)]
#[case::broken_before_the_head_was_sent(
    AttemptStage::SendingHead,
    AttemptEnd::Broken,
    AttemptResult::NotExecuted
)]
#[case::timed_out_before_the_head_was_sent(
    AttemptStage::SendingHead,
    AttemptEnd::TimedOut,
    AttemptResult::NotExecuted
)]
#[case::given_up_before_the_head_was_sent(
    AttemptStage::SendingHead,
    AttemptEnd::GivenUp,
    AttemptResult::NotExecuted
)]
#[case::broken_mid_upload(AttemptStage::SendingBody, AttemptEnd::Broken, AttemptResult::ConnectionLost)]
#[case::timed_out_mid_upload(AttemptStage::SendingBody, AttemptEnd::TimedOut, AttemptResult::TimedOut)]
#[case::client_disconnected_mid_upload(
    AttemptStage::SendingBody,
    AttemptEnd::GivenUp,
    AttemptResult::GivenUp
)]
#[case::broken_before_a_response(
    AttemptStage::AwaitingResponse,
    AttemptEnd::Broken,
    AttemptResult::ConnectionLost
)]
#[case::timed_out_before_a_response(
    AttemptStage::AwaitingResponse,
    AttemptEnd::TimedOut,
    AttemptResult::TimedOut
)]
#[case::rejected_502(AttemptStage::AwaitingResponse, AttemptEnd::Status(502, true), AttemptResult::Rejected)]
#[case::rejected_503(AttemptStage::AwaitingResponse, AttemptEnd::Status(503, true), AttemptResult::Rejected)]
#[case::rejected_504(AttemptStage::AwaitingResponse, AttemptEnd::Status(504, true), AttemptResult::Rejected)]
#[case::rejected_early(AttemptStage::SendingBody, AttemptEnd::Status(503, true), AttemptResult::Rejected)]
#[case::failed_502(AttemptStage::AwaitingResponse, AttemptEnd::Status(502, false), AttemptResult::Failed)]
#[case::failed_503(AttemptStage::AwaitingResponse, AttemptEnd::Status(503, false), AttemptResult::Failed)]
#[case::failed_504(AttemptStage::SendingBody, AttemptEnd::Status(504, false), AttemptResult::Failed)]
#[case::application_error(
    AttemptStage::AwaitingResponse,
    AttemptEnd::Status(500, false),
    AttemptResult::Committed
)]
#[case::application_error_with_rejection_header(
    AttemptStage::AwaitingResponse,
    AttemptEnd::Status(500, true),
    AttemptResult::Committed
)]
#[case::early_response(AttemptStage::SendingBody, AttemptEnd::Status(413, false), AttemptResult::Committed)]
#[case::ends_without_a_head(
    AttemptStage::AwaitingResponse,
    AttemptEnd::Complete,
    AttemptResult::ConnectionLost
)]
#[case::completed(AttemptStage::ReceivingResponse, AttemptEnd::Complete, AttemptResult::Completed)]
#[case::broken_after_the_head(AttemptStage::ReceivingResponse, AttemptEnd::Broken, AttemptResult::Truncated)]
#[case::timed_out_after_the_head(
    AttemptStage::ReceivingResponse,
    AttemptEnd::TimedOut,
    AttemptResult::Truncated
)]
#[case::client_disconnected_after_the_head(
    AttemptStage::ReceivingResponse,
    AttemptEnd::GivenUp,
    AttemptResult::Truncated
)]
fn each_line_of_the_classification_table(
    #[case] stage: AttemptStage,
    #[case] end: AttemptEnd,
    #[case] expected: AttemptResult,
) {
    assert_eq!(classify(stage, end), expected);
}
