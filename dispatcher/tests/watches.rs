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
    let rig = Rig::with(2, &settings, None);
    // From here on a watch stands.
    rig.list(&["up", "up"]);
    rig.silence_discovery();
    let since = Instant::now();
    rig.list(&["draining", "up"]);
    assert!(since.elapsed() < Duration::from_millis(within_ms), "{:?}", since.elapsed());
    assert_eq!(rig.served("c1", "quote"), 1);
}
