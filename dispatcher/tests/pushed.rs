//! Worker lists that are pushed to an agent on the dispatcher's own machine. The decision module assumes that they arrive
//! without being requested, so the program has to fetch them itself.

mod common;

use common::{Rig, SETTINGS};
use rstest::rstest;

fn rig() -> Rig {
    Rig::with_settings(2, &SETTINGS.replace(r#""discovery": "ask""#, r#""discovery": "push""#), None)
}

/// Asserts that several jobs all go to this worker.
fn all_go_to(rig: &Rig, worker: usize, prefix: &str) {
    for i in 0..6 {
        assert_eq!(rig.serve_job(&format!("{prefix}{i}"), "quote"), worker);
    }
}

#[rstest]
#[case::draining("draining")]
#[case::removed("removed")]
fn the_list_of_the_agent_is_used(#[case] state: &str) {
    let rig = rig();
    rig.list(&[state, "up"]);
    all_go_to(&rig, 1, "a");
    rig.list(&["up", "draining"]);
    all_go_to(&rig, 0, "b");
}

/// The agent does not answer while discovery is down. Guards against waiting on that call while a new list is available.
#[test]
fn an_agent_that_was_silent_is_used_again() {
    let rig = rig();
    rig.list(&["up", "up"]);
    rig.silence_discovery();
    rig.list(&["up", "draining"]);
    all_go_to(&rig, 0, "a");
}

#[test]
fn an_agent_at_another_address_is_used_after_sighup() {
    let mut rig = rig();
    rig.list(&["up", "up"]);
    rig.move_discovery(&["draining", "up"]);
    all_go_to(&rig, 1, "a");
}
