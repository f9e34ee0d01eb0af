//! Status of a node, for monitoring.

use crate::consensus::member_of;
use crate::log::LogStore;
use crate::node::{Node, Participation};
use crate::{Incarnation, Member, Resource, Time, Token};

/// Status of a node, for monitoring.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// The time since which no leader has answered; `None` while one does.
    pub unanswered_since: Option<Time>,
    /// The current leader.
    pub leader: Option<Member>,
    /// The current voters.
    pub voters: Vec<Member>,
    /// Resources held by this process, with token and expiry.
    pub held: Vec<(Resource, Token, Time)>,
    /// Known owners of resources.
    pub owners: Vec<(Resource, Incarnation, Token)>,
    /// Incarnations whose orphaned work waits for recovery.
    pub orphaned_work: Vec<Incarnation>,
    /// State of the replica: none, waiting, learning, voting, leading, or the reason why it failed.
    pub vote: String,
    /// Number of entries that each replica is behind; known only to the leader.
    pub lags: Vec<(Member, u64)>,
    /// The current Raft term.
    pub term: u64,
    /// Index of the last applied entry.
    pub applied: u64,
}

impl<D: LogStore> Node<D> {
    /// Returns the current status.
    pub fn status(&self) -> Status {
        let replica = match &self.participation {
            Participation::Active(replica) => Some(replica),
            _ => None,
        };
        let vote = match &self.participation {
            Participation::NonVoter => "none".into(),
            Participation::Uninitialized(..) => "waits for the other voters".into(),
            Participation::Active(replica) => match (replica.failed(), replica.leads()) {
                (Some(reason), _) => format!("lost: {reason}"),
                (None, true) => "leads".into(),
                (None, false) if replica.configuration().0.contains(&replica.id()) => "votes".into(),
                (None, false) => "learns".into(),
            },
            Participation::Failed(reason) => format!("lost: {reason}"),
        };
        let lags = replica.map_or(Vec::new(), |replica| replica.lags());
        Status {
            incarnation: self.members.me(),
            unanswered_since: self.lease_client.unanswered_since(),
            leader: self.lease_client.leader(),
            voters: self.lease_client.voters().to_vec(),
            held: self
                .leases
                .all()
                .map(|(resource, token, until)| (resource.clone(), token, until))
                .collect(),
            owners: replica.map_or(Vec::new(), |replica| {
                replica.ledger().grants().map(|(resource, g)| (resource.clone(), g.holder, g.token)).collect()
            }),
            orphaned_work: replica.map_or(Vec::new(), |replica| replica.ledger().orphaned_work().to_vec()),
            vote,
            lags: lags
                .into_iter()
                .filter_map(|(replica_id, lag)| Some((member_of(replica_id)?, lag)))
                .collect(),
            term: replica.map_or(0, |replica| replica.term()),
            applied: replica.map_or(0, |replica| replica.applied()),
        }
    }
}
