//! Watches that fall silent or are reset, in tiers of several sizes: how long a dispatcher may go on without a list.

mod common;

use common::{Rig, SETTINGS};
use rstest::rstest;
use std::time::{Duration, Instant};

/// What a silent watch missed counts as told 6 s after it fell silent, or 2 s after its wait is over, and drains have
/// their own time behind that. Seen: the retry was put off by the size of the tier, for up to 36 s.
#[rstest]
#[case::alone(1, 6800)]
#[case::few(8, 6800)]
#[case::more(9, 6800)]
// Such a tier's watches wait for 6 s at most.
#[case::many(60, 8800)]
fn what_a_silent_watch_missed_is_asked_for_in_time(#[case] tier: u32, #[case] within_ms: u64) {
    let settings = SETTINGS.replace(r#""instances": 1"#, &format!(r#""instances": {tier}"#));
    let rig = Rig::with_settings(2, &settings, None);
    // From here on a watch stands.
    rig.list(&["up", "up"]);
    rig.silence_discovery();
    let since = Instant::now();
    rig.list(&["draining", "up"]);
    assert!(since.elapsed() < Duration::from_millis(within_ms), "{:?}", since.elapsed());
    assert_eq!(rig.serve_job("c1", "quote"), 1);
}

/// A discovery that starts anew counts from one, and tells of nothing to whoever asks for what is newer than its old
/// versions. Seen: its list was followed from there on without ever having been read.
#[rstest]
#[case::asked("ask")]
#[case::pushed("push")]
fn a_discovery_that_counts_anew_is_asked_for_its_whole_list(#[case] mode: &str) {
    let settings = SETTINGS.replace(r#""discovery": "ask""#, &format!(r#""discovery": "{mode}""#));
    let rig = Rig::with_settings(2, &settings, None);
    (0..3).for_each(|_| rig.list(&["up", "up"]));
    rig.restart_discovery(&["draining", "up"]);
    // It asks for what is newer than the first version once it has read that one.
    rig.wait_until_known(1);
    for i in 0..4 {
        assert_eq!(rig.serve_job(&format!("c{i}"), "quote"), 1);
    }
}

/// All watches of a tier are ended at once: a dispatcher without one is held to its list for the time that the settings
/// give for asking, from the call that began it. Seen: the tier's size put the next call off for up to 36 s.
#[test]
fn a_watch_that_is_ended_is_asked_for_in_time_in_a_large_tier() {
    let settings = SETTINGS.replace(r#""instances": 1"#, r#""instances": 60"#);
    let rig = Rig::with_settings(2, &settings, None);
    rig.list(&["up", "up"]);
    rig.close_discovery_connections();
    let since = Instant::now();
    rig.list(&["draining", "up"]);
    // 60 calls of 10 ms each; the module's own wait would be 3.6 s at least.
    assert!(since.elapsed() < Duration::from_millis(3000), "{:?}", since.elapsed());
    assert_eq!(rig.serve_job("c1", "quote"), 1);
}

/// What changes within 200 ms of an answer to a watch counts as told. Seen: lists changed every 180 ms, the tier's pause
/// began behind one answer, and the worker that drained in the next list was sent to for seconds.
#[test]
fn what_changes_right_behind_an_answer_is_heard_of_before_the_tiers_pause() {
    let settings = SETTINGS.replace(r#""instances": 1"#, r#""instances": 300"#);
    let rig = Rig::with_settings(2, &settings, None);
    // The answer to a call that was put off, and the one to the watch behind it.
    rig.list(&["up", "up"]);
    rig.list(&["up", "up"]);
    let since = Instant::now();
    rig.list(&["draining", "up"]);
    // The pause would be 1.5 s at least.
    assert!(since.elapsed() < Duration::from_millis(1000), "{:?}", since.elapsed());
    assert_eq!(rig.serve_job("c1", "quote"), 1);
}

/// A new configuration while a call to the old discovery is silent; and another one right behind it.
#[rstest]
#[case::alone(1)]
#[case::many(60)]
fn a_move_in_the_middle_of_a_silent_call_is_taken_up_at_once(#[case] tier: u32) {
    let settings = SETTINGS.replace(r#""instances": 1"#, &format!(r#""instances": {tier}"#));
    let mut rig = Rig::with_settings(2, &settings, None);
    rig.list(&["up", "up"]);
    rig.silence_discovery();
    // The one that is left would say this, too late for the move.
    let since = Instant::now();
    rig.move_discovery(&["up", "up"]);
    rig.move_discovery(&["draining", "up"]);
    assert!(since.elapsed() < Duration::from_millis(3000), "{:?}", since.elapsed());
    assert_eq!(rig.serve_job("c1", "quote"), 1);
}
