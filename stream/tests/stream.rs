//! Each part by itself, and the budget under any course of events.

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
fn one_stream_may_use_much_and_gives_way_when_others_come() {
    let mut budget = Budget::new(1000, 50, 400);
    let mut first = budget.open().expect("room");
    assert_eq!((budget.max_streams(), budget.available(&first)), (10, 400));
    let room = budget.available(&first);
    budget.acquire(&mut first, room);
    // Three more: an even part is 250, and the first is over it.
    let mut others: Vec<Share> = (0..3).map(|_| budget.open().expect("room")).collect();
    assert_eq!(budget.available(&first), 0);
    let room = budget.available(&others[0]);
    assert_eq!(room, 50 + 150, "its floor, and what the pool has left");
    budget.acquire(&mut others[0], room);
    // The pool is empty; a floor is always there.
    assert_eq!(budget.available(&others[1]), 50);
    budget.release(&mut first, 200);
    assert_eq!((budget.available(&first), budget.available(&others[1])), (50, 250));
    budget.close(first);
    others.into_iter().for_each(|o| budget.close(o));
    assert_eq!((budget.held(), budget.open_streams()), (0, 0));
}

#[derive(Clone, Debug)]
enum Step {
    Open,
    Take(usize, usize),
    Give(usize, usize),
    Close(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        Just(Step::Open),
        (any::<usize>(), 1..200usize).prop_map(|(at, n)| Step::Take(at, n)),
        (any::<usize>(), 1..200usize).prop_map(|(at, n)| Step::Give(at, n)),
        any::<usize>().prop_map(Step::Close),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        ..ProptestConfig::default()
    })]

    /// Those who take only what there is room for never hold more than the whole, and nobody starves.
    #[test]
    fn the_budget_is_kept_and_every_stream_has_its_floor(steps in prop::collection::vec(step(), 0..300)) {
        let (total, floor) = (1000, 30);
        let mut budget = Budget::new(total, floor, 600);
        let mut shares: Vec<Share> = Vec::new();
        for step in steps {
            match step {
                Step::Open => shares.extend(budget.open()),
                Step::Take(at, n) if !shares.is_empty() => {
                    let at = at % shares.len();
                    let n = n.min(budget.available(&shares[at]));
                    budget.acquire(&mut shares[at], n);
                }
                Step::Give(at, n) if !shares.is_empty() => {
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

    /// However it is cut into chunks: what is held is the whole beginning, or nothing.
    #[test]
    fn a_replay_is_whole_or_not_there(sizes in prop::collection::vec(0..50usize, 0..20), limit in 0..300usize) {
        let mut replay = ReplayBuffer::new(limit);
        let (mut passed, mut held) = (Vec::new(), 0);
        for (i, size) in sizes.into_iter().enumerate() {
            let chunk = Bytes::from(vec![i as u8; size]);
            passed.extend_from_slice(&chunk);
            held += replay.push(&chunk);
            prop_assert_eq!(held as usize, replay.held());
            prop_assert_eq!(replay.is_complete(), passed.len() <= limit || passed.is_empty());
            let (mut at, mut again) = (ReplayCursor::default(), Vec::new());
            while let Some(chunk) = replay.next_chunk(&mut at) {
                again.extend_from_slice(&chunk);
            }
            prop_assert_eq!(again, if replay.is_complete() { passed.clone() } else { Vec::new() });
        }
    }
}

#[test]
fn a_replay_that_was_let_go_holds_nothing_more() {
    let mut replay = ReplayBuffer::new(100);
    replay.push(&Bytes::from_static(b"beginning"));
    assert_eq!((replay.discard(), replay.is_complete()), (9, false));
    assert_eq!(replay.push(&Bytes::from_static(b"more")), 0);
    assert!(!replay.is_complete());
}

const LIMITS: ProgressLimits =
    ProgressLimits { idle_timeout: ms(1000), min_bytes_per_second: 1000, window: ms(2000) };

#[test]
fn only_time_in_which_the_peer_is_waited_for_counts() {
    let mut pace = ProgressMonitor::new(LIMITS);
    assert_eq!((pace.check(ms(100_000)), pace.next_check()), (None, None));
    pace.start_waiting(ms(100_000));
    assert_eq!((pace.check(ms(100_999)), pace.next_check()), (None, Some(ms(101_000))));
    assert_eq!(pace.check(ms(101_000)), Some(Slow::Idle));
    // It moves, and then there is nothing for it to do for long.
    pace.record_progress(ms(100_900), 10);
    assert_eq!(pace.check(ms(200_000)), None);
    pace.start_waiting(ms(200_000));
    assert_eq!(pace.check(ms(200_500)), None);
}

#[test]
fn a_peer_just_above_the_least_rate_lives_and_one_just_below_does_not() {
    let run = |bytes: usize| {
        let mut pace = ProgressMonitor::new(LIMITS);
        // A little every 500 ms.
        (0..40).find_map(|i| {
            pace.start_waiting(ms(i * 500));
            let slow = pace.check(ms(i * 500 + 500));
            pace.record_progress(ms(i * 500 + 500), bytes);
            slow
        })
    };
    assert_eq!(run(510), None);
    assert_eq!(run(490), Some(Slow::Rate));
    assert_eq!(run(0), Some(Slow::Rate));
}

#[test]
fn a_check_at_the_time_it_is_due_finds_what_is_wrong() {
    for bytes in [0, 100, 1500, 3000] {
        let mut pace = ProgressMonitor::new(ProgressLimits { idle_timeout: ms(60_000), ..LIMITS });
        pace.start_waiting(ms(0));
        pace.record_progress(ms(500), bytes);
        pace.start_waiting(ms(500));
        let due = pace.next_check().expect("it is waited for");
        assert_eq!(pace.check(due), Some(Slow::Rate), "{bytes} bytes, due {due:?}");
        assert_eq!(pace.check(due - ms(2)), None, "{bytes} bytes, due {due:?}");
    }
    let mut any = ProgressMonitor::new(ProgressLimits { min_bytes_per_second: 0, ..LIMITS });
    any.start_waiting(ms(0));
    assert_eq!(any.next_check(), Some(ms(1000)));
}

#[rstest]
#[case::refused(AttemptStage::Connecting, AttemptEnd::Broken, AttemptResult::NotExecuted)]
#[case::never_came_up(AttemptStage::Connecting, AttemptEnd::TimedOut, AttemptResult::NotExecuted)]
#[case::broken_before_the_head_was_sent(
    AttemptStage::SendingHead,
    AttemptEnd::Broken,
    AttemptResult::NotExecuted
)]
#[case::stuck_before_the_head_was_sent(
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
#[case::stuck_mid_upload(AttemptStage::SendingBody, AttemptEnd::TimedOut, AttemptResult::TimedOut)]
#[case::client_gone_mid_upload(AttemptStage::SendingBody, AttemptEnd::GivenUp, AttemptResult::GivenUp)]
#[case::broken_before_an_answer(
    AttemptStage::AwaitingResponse,
    AttemptEnd::Broken,
    AttemptResult::ConnectionLost
)]
#[case::no_head_in_time(AttemptStage::AwaitingResponse, AttemptEnd::TimedOut, AttemptResult::TimedOut)]
#[case::rejected_502(AttemptStage::AwaitingResponse, AttemptEnd::Status(502, true), AttemptResult::Rejected)]
#[case::rejected_503(AttemptStage::AwaitingResponse, AttemptEnd::Status(503, true), AttemptResult::Rejected)]
#[case::rejected_504(AttemptStage::AwaitingResponse, AttemptEnd::Status(504, true), AttemptResult::Rejected)]
#[case::rejected_early(AttemptStage::SendingBody, AttemptEnd::Status(503, true), AttemptResult::Rejected)]
#[case::failed_502(AttemptStage::AwaitingResponse, AttemptEnd::Status(502, false), AttemptResult::Failed)]
#[case::failed_503(AttemptStage::AwaitingResponse, AttemptEnd::Status(503, false), AttemptResult::Failed)]
#[case::failed_504(AttemptStage::SendingBody, AttemptEnd::Status(504, false), AttemptResult::Failed)]
#[case::an_error_of_its_own(
    AttemptStage::AwaitingResponse,
    AttemptEnd::Status(500, false),
    AttemptResult::Committed
)]
#[case::a_marked_500_is_its_own(
    AttemptStage::AwaitingResponse,
    AttemptEnd::Status(500, true),
    AttemptResult::Committed
)]
#[case::an_early_answer(AttemptStage::SendingBody, AttemptEnd::Status(413, false), AttemptResult::Committed)]
#[case::ends_without_a_head(
    AttemptStage::AwaitingResponse,
    AttemptEnd::Complete,
    AttemptResult::ConnectionLost
)]
#[case::served(AttemptStage::ReceivingResponse, AttemptEnd::Complete, AttemptResult::Completed)]
#[case::broken_after_the_head(AttemptStage::ReceivingResponse, AttemptEnd::Broken, AttemptResult::Truncated)]
#[case::stuck_after_the_head(AttemptStage::ReceivingResponse, AttemptEnd::TimedOut, AttemptResult::Truncated)]
#[case::client_gone_after_the_head(
    AttemptStage::ReceivingResponse,
    AttemptEnd::GivenUp,
    AttemptResult::Truncated
)]
fn the_outcome_table_line_by_line(
    #[case] stage: AttemptStage,
    #[case] end: AttemptEnd,
    #[case] verdict: AttemptResult,
) {
    assert_eq!(classify(stage, end), verdict);
}
