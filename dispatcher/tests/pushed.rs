//! Lists that are pushed to an agent on the dispatcher's own machine: nobody but the program itself can see to it
//! that they are had, since the module takes them to come by themselves.

mod common;

use common::{Rig, SETTINGS};
use rstest::rstest;

fn rig() -> Rig {
    Rig::with_settings(2, &SETTINGS.replace(r#""discovery": "ask""#, r#""discovery": "push""#), None)
}

/// All of some jobs go to this worker.
fn all_go_to(rig: &Rig, worker: usize, prefix: &str) {
    for i in 0..6 {
        assert_eq!(rig.serve_job(&format!("{prefix}{i}"), "quote"), worker);
    }
}

#[rstest]
#[case::draining("draining")]
#[case::removed("removed")]
fn what_the_agent_holds_is_followed(#[case] state: &str) {
    let rig = rig();
    rig.list(&[state, "up"]);
    all_go_to(&rig, 1, "a");
    rig.list(&["up", "draining"]);
    all_go_to(&rig, 0, "b");
}

/// The agent is silent while discovery is down. Guards against hanging on that call while news comes.
#[test]
fn an_agent_that_was_silent_is_followed_again() {
    let rig = rig();
    rig.list(&["up", "up"]);
    rig.silence_discovery();
    rig.list(&["up", "draining"]);
    all_go_to(&rig, 0, "a");
}

#[test]
fn an_agent_at_another_address_is_followed_after_sighup() {
    let mut rig = rig();
    rig.list(&["up", "up"]);
    rig.move_discovery(&["draining", "up"]);
    all_go_to(&rig, 1, "a");
}
