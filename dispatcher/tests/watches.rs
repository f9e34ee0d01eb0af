//! Watches that get no answer or are reset, in tiers of several sizes: how long a dispatcher may go without an update.

mod common;

use common::{Rig, SETTINGS};
use rstest::rstest;
use std::time::{Duration, Instant};

/// A change that a silent watch missed counts as known 6 s after the watch fell silent, or 2 s after its wait is over; drains
/// have their grace period after that. Guards against a retry delay that grows with the tier, to up to 36 s.
#[rstest]
#[case::alone(1, 6800)]
#[case::few(8, 6800)]
#[case::more(9, 6800)]
// Watches of such a tier wait for 6 s at most.
#[case::many(60, 8800)]
fn changes_that_a_silent_watch_missed_are_requested_in_time(#[case] tier: u32, #[case] within_ms: u64) {
    let settings = SETTINGS.replace(r#""instances": 1"#, &format!(r#""instances": {tier}"#));
    let rig = Rig::with_settings(2, &settings, None);
    // From here on a watch is pending.
    rig.list(&["up", "up"]);
    rig.silence_discovery();
    let since = Instant::now();
    rig.list(&["draining", "up"]);
    assert!(since.elapsed() < Duration::from_millis(within_ms), "{:?}", since.elapsed());
    assert_eq!(rig.serve_job("c1", "quote"), 1);
}

/// A restarted discovery counts versions from one, and reports no change to callers that ask for versions newer than the old
/// ones. Guards against following its later changes without ever having read its whole list.
#[rstest]
#[case::asked("ask")]
#[case::pushed("push")]
fn a_restarted_discovery_is_asked_for_its_whole_list(#[case] mode: &str) {
    let settings = SETTINGS.replace(r#""discovery": "ask""#, &format!(r#""discovery": "{mode}""#));
    let rig = Rig::with_settings(2, &settings, None);
    (0..3).for_each(|_| rig.list(&["up", "up"]));
    rig.restart_discovery(&["draining", "up"]);
    // It asks for versions newer than the first once it has read that one.
    rig.wait_until_known(1);
    for i in 0..4 {
        assert_eq!(rig.serve_job(&format!("c{i}"), "quote"), 1);
    }
}

/// All watches of a tier end at once: a dispatcher without one may use its list for the time that the settings allow for asking,
/// counted from the start of the watch. Guards against a delay of the next call that grows with the tier, to up to 36 s.
#[test]
fn an_ended_watch_is_renewed_in_time_in_a_large_tier() {
    let settings = SETTINGS.replace(r#""instances": 1"#, r#""instances": 60"#);
    let rig = Rig::with_settings(2, &settings, None);
    rig.list(&["up", "up"]);
    rig.close_discovery_connections();
    let since = Instant::now();
    rig.list(&["draining", "up"]);
    // 60 calls of 10 ms each; the decision module's own wait would be 3.6 s at least.
    assert!(since.elapsed() < Duration::from_millis(3000), "{:?}", since.elapsed());
    assert_eq!(rig.serve_job("c1", "quote"), 1);
}

/// A change within 200 ms of an answer to a watch counts as known. Guards against starting the tier's pause after one answer when
/// lists change every 180 ms, so that a worker that drains in the next list still gets jobs for seconds.
#[test]
fn a_change_right_after_an_answer_is_known_before_the_tiers_pause() {
    let settings = SETTINGS.replace(r#""instances": 1"#, r#""instances": 300"#);
    let rig = Rig::with_settings(2, &settings, None);
    // The answer to a delayed call, and the answer to the watch after it.
    rig.list(&["up", "up"]);
    rig.list(&["up", "up"]);
    let since = Instant::now();
    rig.list(&["draining", "up"]);
    // The pause would be 1.5 s at least.
    assert!(since.elapsed() < Duration::from_millis(1000), "{:?}", since.elapsed());
    assert_eq!(rig.serve_job("c1", "quote"), 1);
}

/// A new configuration while a call to the old discovery is unanswered, and another one right after it.
#[rstest]
#[case::alone(1)]
#[case::many(60)]
fn a_change_of_discovery_during_a_silent_call_takes_effect_at_once(#[case] tier: u32) {
    let settings = SETTINGS.replace(r#""instances": 1"#, &format!(r#""instances": {tier}"#));
    let mut rig = Rig::with_settings(2, &settings, None);
    rig.list(&["up", "up"]);
    rig.silence_discovery();
    // The old discovery would give this answer as well, but too late.
    let since = Instant::now();
    rig.move_discovery(&["up", "up"]);
    rig.move_discovery(&["draining", "up"]);
    assert!(since.elapsed() < Duration::from_millis(3000), "{:?}", since.elapsed());
    assert_eq!(rig.serve_job("c1", "quote"), 1);
}
