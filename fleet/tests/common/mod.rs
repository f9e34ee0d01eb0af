//! A voter of a running fleet of three, without a network or a disk. Also used by the fuzz target `frames`.

use lineroute_fleet::consensus::replica_id_of;
use lineroute_fleet::frame::{Frame, ReplicaAnnouncement};
use lineroute_fleet::log::{LogChange, LogStore, WriteStatus};
use lineroute_fleet::node::{Node, NodeConfig, RecoveredReplica};
use lineroute_fleet::timing::Timing;
use lineroute_fleet::{Incarnation, Member};
use std::time::Duration;

pub struct NullStore;

impl LogStore for NullStore {
    fn append(&mut self, _number: u64, _change: &LogChange) -> Result<WriteStatus, String> {
        Ok(WriteStatus::Durable)
    }

    fn replace(&mut self, _change: &LogChange) -> Result<(), String> {
        Ok(())
    }
}

pub fn replica_of(member: u16) -> u64 {
    replica_id_of(Member(member), u64::from(member) + 1)
}

/// Member 0, whose consensus group is formed with the replicas of the others 1 ms after its start.
pub fn voter() -> Node<NullStore> {
    let node_config = NodeConfig {
        incarnation: Incarnation { member: Member(0), number: 1 },
        members: 3,
        voters: (0..3).map(Member).collect(),
        timing: Timing::default(),
        seed: 1,
        floor: 1,
    };
    let mut node = Node::new(
        node_config,
        Some(RecoveredReplica { replica_id: replica_of(0), log: None, disk: NullStore }),
    );
    for other in [1, 2] {
        let announcement = Frame::Announcement(ReplicaAnnouncement {
            replica_id: replica_of(other),
            configured: Vec::new(),
        });
        node.receive(Duration::from_millis(1), Member(other), announcement);
    }
    node
}
