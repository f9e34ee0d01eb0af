//! Messages between members and their encoding. Frames of another version are rejected as a whole.

use crate::ledger::Command;
use crate::{Incarnation, Member, Resource, Token};
use serde::{Deserialize, Serialize};

/// Version of the frame format. A member with another version is detected in the handshake.
pub const VERSION: u16 = 1;
/// Maximum frame size, in bytes. A snapshot of a full ledger takes less than half of it.
pub const MAX_FRAME_BYTES: usize = 1 << 20;
/// Maximum number of resources in one lease request.
pub const MAX_RESOURCES_PER_REQUEST: usize = 256;

/// One message.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Frame {
    /// Membership gossip.
    Swim(Vec<u8>),
    /// A Raft message between replicas of the consensus group.
    Raft(RaftMessage),
    /// A replica announces its id to the other members.
    Announcement(ReplicaAnnouncement),
    /// A lease request to the leader.
    LeaseRequest(LeaseRequest),
    /// The response to a lease request, from the leader or from a member that does not lead.
    LeaseResponse(LeaseResponse),
    /// A member leaves voluntarily and its incarnation ends.
    Leave(Incarnation),
    /// An owner shares a result with the fleet, under its fencing token.
    OwnerReport(OwnerReport),
    /// A member asks the owner of a resource for a health check.
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

/// The ledger as of a log entry, with the configuration at that point.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[allow(missing_docs)]
pub struct Snapshot {
    pub index: u64,
    pub term: u64,
    pub voters: Vec<u64>,
    pub learners: Vec<u64>,
    pub data: Vec<u8>,
}

/// Announces the replica of a member. A replica is one disk of one member; after the loss of the disk the member has
/// a new replica.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReplicaAnnouncement {
    /// Id of the replica.
    pub replica_id: u64,
    /// Voters and learners of the configuration that the replica is part of; empty if it has never been part of one.
    pub configured: Vec<u64>,
}

/// A member's request to the leader. One request covers all of its leases.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LeaseRequest {
    /// The requesting incarnation.
    pub incarnation: Incarnation,
    /// Number of the request, repeated in the response.
    pub number: u64,
    /// Leases to renew.
    pub renew: Vec<(Resource, Token)>,
    /// Resources to acquire.
    pub acquire: Vec<Resource>,
    /// Resources whose owner the member wants to know, without acquiring them.
    pub watch: Vec<Resource>,
    /// Leases to release.
    pub release: Vec<(Resource, Token)>,
    /// Orphaned work whose recovery is complete.
    pub settle: Vec<(Incarnation, Token)>,
}

/// The response to a lease request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LeaseResponse {
    /// The number of the request.
    pub number: u64,
    /// The outcome of the request.
    pub outcome: LeaseOutcome,
}

/// The outcome of a lease request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum LeaseOutcome {
    /// The receiver does not lead. Names the leader, if there is one.
    NotLeader(Option<Member>),
    /// This incarnation of the member, and every earlier one, has been declared dead.
    DeclaredDead(u64),
    /// The state of the leases. They count from the moment of the request.
    Held {
        /// Resources held by the requesting member, with their tokens.
        resources: Vec<(Resource, Token)>,
        /// Resources held by other members.
        others: Vec<(Resource, Incarnation, Token)>,
        /// Some of the incarnations whose orphaned work has no recovery owner.
        orphaned_work: Vec<Incarnation>,
        /// The current voters, for members that do not vote.
        voters: Vec<Member>,
    },
}

/// A result that an owner shares with the fleet.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct OwnerReport {
    /// The resource under which the result was obtained.
    pub resource: Resource,
    /// The owner's fencing token.
    pub token: Token,
    /// The content, opaque to this crate.
    pub payload: Vec<u8>,
}

/// A request to the owner of a resource.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HealthCheckRequest {
    /// The resource.
    pub resource: Resource,
    /// The content, opaque to this crate.
    pub payload: Vec<u8>,
}

/// The payload of an entry in the Raft log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Proposal {
    /// The command to apply.
    pub command: Command,
}

impl Proposal {
    /// Encodes the proposal.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a proposal.
    pub fn decode(bytes: &[u8]) -> Option<Proposal> {
        postcard::from_bytes(bytes).ok()
    }
}

impl Frame {
    /// Encodes the frame.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a frame. Returns `None` if the bytes are not a valid frame, exceed a limit, or have trailing data.
    pub fn decode(bytes: &[u8]) -> Option<Frame> {
        if bytes.len() > MAX_FRAME_BYTES {
            return None;
        }
        let (frame, rest) = postcard::take_from_bytes::<Frame>(bytes).ok()?;
        let fits = match &frame {
            Frame::LeaseRequest(request) => {
                request.renew.len()
                    + request.acquire.len()
                    + request.watch.len()
                    + request.release.len()
                    + request.settle.len()
                    <= MAX_RESOURCES_PER_REQUEST
            }
            _ => true,
        };
        (rest.is_empty() && fits).then_some(frame)
    }
}
