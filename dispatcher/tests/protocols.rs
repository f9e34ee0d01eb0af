//! Workers of every protocol behind one fleet of processes, with killed workers and broken links: the same rules hold for all.

use lineroute_lab::run::{run_alone, Setup};
use lineroute_lab::scenario::Scenario;
use lineroute_lab::trace::{Ending, What};
use std::path::PathBuf;

#[test]
fn rules_hold_for_workers_of_every_protocol_through_kills_and_broken_links() {
    let text = include_str!("../../lab/scenarios/protocols.json");
    let mut scenario = Scenario::parse(text).expect("a scenario");
    // The scenario file runs longer; its timing rules need a machine without other load.
    scenario.seconds = 7.0;
    scenario.counted = ["unanswered", "dropped", "drain"].map(String::from).to_vec();
    let program = PathBuf::from(env!("CARGO_BIN_EXE_lineroute"));
    let outcome = run_alone(&scenario, &Setup { program, keep: None, seed: 3 }).expect("it can be played");
    assert_eq!(outcome.verdict.broken, [], "{:?}", outcome.verdict.figures);
    assert!(outcome.verdict.figures.kills > 0);
    // Workers 3 and 4 are behind beanstalkd servers, 5 and 6 are plain HTTP.
    for group in [0..3, 3..5, 5..7] {
        let done = |what: &What| matches!(what, What::Ended { worker, how: Ending::Done, .. } if group.contains(worker));
        assert!(outcome.trace.iter().filter(|e| done(&e.what)).count() > 20, "{group:?}");
    }
}
