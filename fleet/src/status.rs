//! How a node is, for those who look at it.

use crate::consensus::member_of;
use crate::log::LogStore;
use crate::node::{Node, Participation};
use crate::{Incarnation, Member, Resource, Time, Token};

/// How a node is, for those who look at it.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    /// This process's incarnation.
    pub incarnation: Incarnation,
    /// Whether it asked a leader and was answered; nothing: it is answered, else since when not.
    pub unanswered_since: Option<Time>,
    /// Who leads.
    pub leader: Option<Member>,
    /// Who votes.
    pub voters: Vec<Member>,
    /// What this process holds: token, until when.
    pub held: Vec<(Resource, Token, Time)>,
    /// What is known of others' ownership.
    pub owners: Vec<(Resource, Incarnation, Token)>,
    /// Incarnations whose orphaned work waits.
    pub orphaned_work: Vec<Incarnation>,
    /// What its replica does: none, waiting, learning, voting, leading, or why it is lost.
    pub vote: String,
    /// Of each voter's replica, the entries it lacks; only a leader knows.
    pub lags: Vec<(Member, u64)>,
    /// The count of elections, and entries applied.
    pub term: u64,
    /// Entries applied.
    pub applied: u64,
}

impl<D: LogStore> Node<D> {
    /// How it is.
    pub fn status(&self) -> Status {
        let replica = match &self.participation {
            Participation::Active(replica) => Some(replica),
            _ => None,
        };
        let vote = match &self.participation {
            Participation::NonVoter => "none".into(),
            Participation::Uninitialized(..) => "waits for the other voters".into(),
            Participation::Active(replica) => match (replica.failed(), replica.leads()) {
                (Some(words), _) => format!("lost: {words}"),
                (None, true) => "leads".into(),
                (None, false) if replica.configuration().0.contains(&replica.id()) => "votes".into(),
                (None, false) => "learns".into(),
            },
            Participation::Failed(words) => format!("lost: {words}"),
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
