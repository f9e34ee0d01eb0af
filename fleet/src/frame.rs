//! What members say to each other, and its form. A frame of another version is refused whole.

use crate::ledger::Command;
use crate::{Incarnation, Member, Resource, Token};
use serde::{Deserialize, Serialize};

/// The form of frames; members of another are told apart at the handshake.
pub const VERSION: u16 = 1;
/// The longest frame, in bytes: a snapshot of a full ledger is under half of it.
pub const MAX_FRAME_BYTES: usize = 1 << 20;
/// Resources in one request, at most.
pub const MAX_RESOURCES_PER_REQUEST: usize = 256;

/// One message.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Frame {
    /// Of the gossip on who is there.
    Swim(Vec<u8>),
    /// Between replicas of the consensus group.
    Raft(RaftMessage),
    /// From a replica to the other members: its id.
    Announcement(ReplicaAnnouncement),
    /// To the leader.
    LeaseRequest(LeaseRequest),
    /// From the leader, or from one that is not.
    LeaseResponse(LeaseResponse),
    /// A member says that its incarnation ends by its own will.
    Leave(Incarnation),
    /// What an owner found and shares with the fleet, under its fence.
    OwnerReport(OwnerReport),
    /// To the owner of a resource: somebody asks for a health check.
    HealthCheckRequest(HealthCheckRequest),
}

/// A message of the Raft protocol.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[allow(missing_docs)]
pub struct RaftMessage {
    pub kind: u8,
    pub to: u64,
    pub from: u64,
    pub term: u64,
    pub log_term: u64,
    pub index: u64,
    pub entries: Vec<Entry>,
    pub commit: u64,
    pub commit_term: u64,
    pub snapshot: Option<Snapshot>,
    pub request_snapshot: u64,
    pub reject: bool,
    pub reject_hint: u64,
    pub context: Vec<u8>,
    pub priority: i64,
}

/// An entry of the Raft log.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[allow(missing_docs)]
pub struct Entry {
    pub kind: u8,
    pub term: u64,
    pub index: u64,
    pub data: Vec<u8>,
}

/// The ledger at some entry, and who voted then.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[allow(missing_docs)]
pub struct Snapshot {
    pub index: u64,
    pub term: u64,
    pub voters: Vec<u64>,
    pub learners: Vec<u64>,
    pub data: Vec<u8>,
}

/// A member announces its replica. A replica is one disk of one member: a disk that was lost comes back as another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReplicaAnnouncement {
    /// Its id.
    pub replica_id: u64,
    /// The configuration that it is part of, voters and learners; empty where it has never taken part.
    pub configured: Vec<u64>,
}

/// A member's request to the leader: for all its leases at once.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LeaseRequest {
    /// Who asks.
    pub incarnation: Incarnation,
    /// Told back with the answer.
    pub number: u64,
    /// What it holds and would go on holding.
    pub renew: Vec<(Resource, Token)>,
    /// What it would have.
    pub want: Vec<Resource>,
    /// What it would only know the owner of.
    pub watch: Vec<Resource>,
    /// What it gives back.
    pub release: Vec<(Resource, Token)>,
    /// Orphaned work that it is done with.
    pub settle: Vec<(Incarnation, Token)>,
}

/// The answer to it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LeaseResponse {
    /// The number of the request.
    pub number: u64,
    /// What came of it.
    pub outcome: LeaseOutcome,
}

/// What a leader, or one that is none, says.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum LeaseOutcome {
    /// Ask that one; nobody, if there is none at present.
    NotLeader(Option<Member>),
    /// That incarnation is over, and every one up to this.
    DeclaredDead(u64),
    /// Held from the moment of the request on.
    Held {
        /// With the token.
        resources: Vec<(Resource, Token)>,
        /// What somebody else has.
        others: Vec<(Resource, Incarnation, Token)>,
        /// Incarnations whose orphaned work waits for a recovery owner, some of them.
        orphaned_work: Vec<Incarnation>,
        /// Who votes, for those that do not.
        voters: Vec<Member>,
    },
}

/// What an owner found.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct OwnerReport {
    /// What it owns.
    pub resource: Resource,
    /// Under which token.
    pub token: Token,
    /// What it says; the crate does not look into it.
    pub payload: Vec<u8>,
}

/// What an owner is asked for.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HealthCheckRequest {
    /// What it owns.
    pub resource: Resource,
    /// What it is asked; the crate does not look into it.
    pub payload: Vec<u8>,
}

/// The payload of an entry of the Raft log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Proposal {
    /// What is to be carried out.
    pub command: Command,
}

impl Proposal {
    /// Its bytes.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// A proposal out of bytes.
    pub fn decode(bytes: &[u8]) -> Option<Proposal> {
        postcard::from_bytes(bytes).ok()
    }
}

impl Frame {
    /// Its bytes.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// A frame out of bytes; nothing where they are none, hold more than they should, or go on behind it.
    pub fn decode(bytes: &[u8]) -> Option<Frame> {
        if bytes.len() > MAX_FRAME_BYTES {
            return None;
        }
        let (frame, rest) = postcard::take_from_bytes::<Frame>(bytes).ok()?;
        let fits = match &frame {
            Frame::LeaseRequest(ask) => {
                ask.renew.len() + ask.want.len() + ask.watch.len() + ask.release.len() + ask.settle.len()
                    <= MAX_RESOURCES_PER_REQUEST
            }
            _ => true,
        };
        (rest.is_empty() && fits).then_some(frame)
    }
}
