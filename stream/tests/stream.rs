//! Each part by itself, and the budget under any course of events.

use bytes::Bytes;
use lineroute_stream::{judge, Budget, End, Pace, PaceLimits, Replay, Reread, Share, Slow, Stage, Verdict};
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
    assert_eq!((budget.most_open(), budget.room(&first)), (10, 400));
    let room = budget.room(&first);
    budget.take(&mut first, room);
    // Three more: an even part is 250, and the first is over it.
    let mut others: Vec<Share> = (0..3).map(|_| budget.open().expect("room")).collect();
    assert_eq!(budget.room(&first), 0);
    let room = budget.room(&others[0]);
    assert_eq!(room, 50 + 150, "its floor, and what the pool has left");
    budget.take(&mut others[0], room);
    // The pool is empty; a floor is always there.
    assert_eq!(budget.room(&others[1]), 50);
    budget.give(&mut first, 200);
    assert_eq!((budget.room(&first), budget.room(&others[1])), (50, 250));
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
                    let n = n.min(budget.room(&shares[at]));
                    budget.take(&mut shares[at], n);
                }
                Step::Give(at, n) if !shares.is_empty() => {
                    let at = at % shares.len();
                    budget.give(&mut shares[at], n);
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
                prop_assert!(share.held() + budget.room(share) >= floor);
            }
        }
    }

    /// However it is cut into chunks: what is held is the whole beginning, or nothing.
    #[test]
    fn a_replay_is_whole_or_not_there(sizes in prop::collection::vec(0..50usize, 0..20), limit in 0..300usize) {
        let mut replay = Replay::new(limit);
        let (mut passed, mut held) = (Vec::new(), 0);
        for (i, size) in sizes.into_iter().enumerate() {
            let chunk = Bytes::from(vec![i as u8; size]);
            passed.extend_from_slice(&chunk);
            held += replay.pass(&chunk);
            prop_assert_eq!(held as usize, replay.held());
            prop_assert_eq!(replay.is_whole(), passed.len() <= limit || passed.is_empty());
            let (mut at, mut again) = (Reread::default(), Vec::new());
            while let Some(chunk) = replay.next(&mut at) {
                again.extend_from_slice(&chunk);
            }
            prop_assert_eq!(again, if replay.is_whole() { passed.clone() } else { Vec::new() });
        }
    }
}

#[test]
fn a_replay_that_was_let_go_holds_nothing_more() {
    let mut replay = Replay::new(100);
    replay.pass(&Bytes::from_static(b"beginning"));
    assert_eq!((replay.let_go(), replay.is_whole()), (9, false));
    assert_eq!(replay.pass(&Bytes::from_static(b"more")), 0);
    assert!(!replay.is_whole());
}

const LIMITS: PaceLimits = PaceLimits { idle: ms(1000), least: 1000, over: ms(2000) };

#[test]
fn only_time_in_which_the_peer_is_waited_for_counts() {
    let mut pace = Pace::new(LIMITS);
    assert_eq!((pace.check(ms(100_000)), pace.due()), (None, None));
    pace.wait(ms(100_000));
    assert_eq!((pace.check(ms(100_999)), pace.due()), (None, Some(ms(101_000))));
    assert_eq!(pace.check(ms(101_000)), Some(Slow::Idle));
    // It moves, and then there is nothing for it to do for long.
    pace.moved(ms(100_900), 10);
    assert_eq!(pace.check(ms(200_000)), None);
    pace.wait(ms(200_000));
    assert_eq!(pace.check(ms(200_500)), None);
}

#[test]
fn a_peer_just_above_the_least_rate_lives_and_one_just_below_does_not() {
    let run = |bytes: usize| {
        let mut pace = Pace::new(LIMITS);
        // A little every 500 ms.
        (0..40).find_map(|i| {
            pace.wait(ms(i * 500));
            let slow = pace.check(ms(i * 500 + 500));
            pace.moved(ms(i * 500 + 500), bytes);
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
        let mut pace = Pace::new(PaceLimits { idle: ms(60_000), ..LIMITS });
        pace.wait(ms(0));
        pace.moved(ms(500), bytes);
        pace.wait(ms(500));
        let due = pace.due().expect("it is waited for");
        assert_eq!(pace.check(due), Some(Slow::Rate), "{bytes} bytes, due {due:?}");
        assert_eq!(pace.check(due - ms(2)), None, "{bytes} bytes, due {due:?}");
    }
    let mut any = Pace::new(PaceLimits { least: 0, ..LIMITS });
    any.wait(ms(0));
    assert_eq!(any.due(), Some(ms(1000)));
}

#[rstest]
#[case::refused(Stage::Connecting, End::Broken, Verdict::NeverRan)]
#[case::never_came_up(Stage::Connecting, End::Late, Verdict::NeverRan)]
#[case::broken_before_the_head_was_sent(Stage::Head, End::Broken, Verdict::NeverRan)]
#[case::stuck_before_the_head_was_sent(Stage::Head, End::Late, Verdict::NeverRan)]
#[case::given_up_before_the_head_was_sent(Stage::Head, End::GivenUp, Verdict::NeverRan)]
#[case::broken_mid_upload(Stage::Uploading, End::Broken, Verdict::Broke)]
#[case::stuck_mid_upload(Stage::Uploading, End::Late, Verdict::Late)]
#[case::client_gone_mid_upload(Stage::Uploading, End::GivenUp, Verdict::GivenUp)]
#[case::broken_before_an_answer(Stage::Waiting, End::Broken, Verdict::Broke)]
#[case::no_head_in_time(Stage::Waiting, End::Late, Verdict::Late)]
#[case::rejected_502(Stage::Waiting, End::Status(502, true), Verdict::NoRoom)]
#[case::rejected_503(Stage::Waiting, End::Status(503, true), Verdict::NoRoom)]
#[case::rejected_504(Stage::Waiting, End::Status(504, true), Verdict::NoRoom)]
#[case::rejected_early(Stage::Uploading, End::Status(503, true), Verdict::NoRoom)]
#[case::failed_502(Stage::Waiting, End::Status(502, false), Verdict::Failed)]
#[case::failed_503(Stage::Waiting, End::Status(503, false), Verdict::Failed)]
#[case::failed_504(Stage::Uploading, End::Status(504, false), Verdict::Failed)]
#[case::an_error_of_its_own(Stage::Waiting, End::Status(500, false), Verdict::Passes)]
#[case::a_marked_500_is_its_own(Stage::Waiting, End::Status(500, true), Verdict::Passes)]
#[case::an_early_answer(Stage::Uploading, End::Status(413, false), Verdict::Passes)]
#[case::ends_without_a_head(Stage::Waiting, End::Whole, Verdict::Broke)]
#[case::served(Stage::Answering, End::Whole, Verdict::Served)]
#[case::broken_after_the_head(Stage::Answering, End::Broken, Verdict::CutShort)]
#[case::stuck_after_the_head(Stage::Answering, End::Late, Verdict::CutShort)]
#[case::client_gone_after_the_head(Stage::Answering, End::GivenUp, Verdict::CutShort)]
fn the_outcome_table_line_by_line(#[case] stage: Stage, #[case] end: End, #[case] verdict: Verdict) {
    assert_eq!(judge(stage, end), verdict);
}
