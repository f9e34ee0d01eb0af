//! A member that holds the key and sends messages that no correct voter sends.

mod common;

use common::{replica_of, voter};
use lineroute_fleet::frame::{Frame, RaftMessage};
use lineroute_fleet::node::Event;
use lineroute_fleet::{Member, Resource};
use std::time::Duration;

/// Found by the fuzz target `frames`: the engine panics on a heartbeat whose commit index exceeds the log.
#[test]
fn an_engine_panic_costs_only_the_vote() {
    let (mut node, now) = (voter(), Duration::from_millis(1));
    assert_eq!(node.status().vote, "votes");
    let heartbeat = RaftMessage {
        // `MsgHeartbeat`.
        kind: 5,
        to: replica_of(0),
        from: replica_of(1),
        term: 7,
        log_term: 0,
        index: 0,
        entries: Vec::new(),
        commit: 1 << 40,
        commit_term: 0,
        snapshot: None,
        request_snapshot: 0,
        reject: false,
        reject_hint: 0,
        context: Vec::new(),
        priority: 0,
    };
    node.receive(now, Member(1), Frame::Raft(heartbeat));
    assert!(node.take_events().iter().any(|e| matches!(e, Event::ReplicaFailed(_))));
    assert!(node.status().vote.starts_with("lost"), "{}", node.status().vote);
    // The node continues as a member: it gossips and sends lease requests, but grants nothing.
    node.set_wanted(&Resource::new("probe/a").expect("a name"), true);
    node.take_frames();
    (2..60).for_each(|tick| node.tick(Duration::from_millis(tick * 50)));
    assert!(!node.take_frames().is_empty());
}
