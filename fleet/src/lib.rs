//! Membership, consensus and leases of a fleet of dispatchers, from the point of view of one member.
//!
//! The crate has no sockets, clock or files: bytes and the current time are passed in, bytes and events are returned.
//! Time is a monotonic clock reading, counted from an arbitrary moment in the life of this process.
//!
//! Two kinds of state are kept apart. Membership may be temporarily wrong ([`members`], spread by gossip). Ownership
//! must never be wrong: it is decided by a majority of a small set of voters ([`consensus`]), recorded in the
//! [`ledger`] and limited in time by a [`lease`]. Every operation on behalf of the fleet is checked against its
//! fencing token ([`fence`]).
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod consensus;
pub mod fence;
pub mod frame;
mod leader;
pub mod lease;
mod lease_client;
pub mod lease_granter;
pub mod ledger;
pub mod link;
pub mod log;
pub mod members;
pub mod node;
pub mod status;
pub mod timing;

use serde::{Deserialize, Serialize};

/// Monotonic time since an arbitrary moment in the life of this process.
pub type Time = std::time::Duration;

/// A member, identified by its index in the alphabetically sorted list of member names. The index is the same at
/// every member.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Member(pub u16);

/// One incarnation of a member: the span from process start, or from the moment the process learnt that it had been
/// declared dead.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Incarnation {
    /// The member.
    pub member: Member,
    /// Grows with each incarnation of the member.
    pub number: u64,
}

/// A resource that has at most one owner at a time, named by a path such as `probe/a`.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Resource(String);

/// Name prefixes of the resources for an incarnation and for its orphaned work. They are part of the wire format and
/// of the Raft log and must not change.
const INCARNATION_PREFIX: &str = "life/";
const ORPHANED_WORK_PREFIX: &str = "estate/";

impl Resource {
    /// Maximum length of a name, in bytes.
    pub const MAX_NAME_BYTES: usize = 120;

    /// Creates a resource from its name. Returns `None` if the name is empty, too long, or contains characters other
    /// than ASCII letters, digits and `-_./:`.
    pub fn new(name: impl Into<String>) -> Option<Resource> {
        let name = name.into();
        let plain = |c: char| c.is_ascii_alphanumeric() || "-_./:".contains(c);
        let good = !name.is_empty() && name.len() <= Resource::MAX_NAME_BYTES && name.chars().all(plain);
        good.then_some(Resource(name))
    }

    /// The orphaned work of an incarnation that has ended. The holder of this resource is the recovery owner of that
    /// work.
    pub fn orphaned_work(of: Incarnation) -> Resource {
        Resource(format!("{ORPHANED_WORK_PREFIX}{}/{}", of.member.0, of.number))
    }

    /// The incarnation itself. While its member holds this resource, no one may recover its work.
    pub fn incarnation(of: Incarnation) -> Resource {
        Resource(format!("{INCARNATION_PREFIX}{}/{}", of.member.0, of.number))
    }

    /// The incarnation that this resource stands for, if any.
    pub fn as_incarnation(&self) -> Option<Incarnation> {
        let (member, number) = self.0.strip_prefix(INCARNATION_PREFIX)?.split_once('/')?;
        Some(Incarnation { member: Member(member.parse().ok()?), number: number.parse().ok()? })
    }

    /// The incarnation whose orphaned work this resource stands for, if any.
    pub fn as_orphaned_work(&self) -> Option<Incarnation> {
        Resource(format!("{INCARNATION_PREFIX}{}", self.0.strip_prefix(ORPHANED_WORK_PREFIX)?))
            .as_incarnation()
    }

    /// Whether this resource stands for an incarnation.
    pub(crate) fn is_incarnation(&self) -> bool {
        self.0.starts_with(INCARNATION_PREFIX)
    }

    /// Whether this resource stands for the orphaned work of an incarnation.
    pub(crate) fn is_orphaned_work(&self) -> bool {
        self.0.starts_with(ORPHANED_WORK_PREFIX)
    }

    /// Returns the name.
    pub fn name(&self) -> &str {
        &self.0
    }
}

impl std::fmt::Display for Resource {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

/// A fencing token. It increases with each grant, across all resources, and is never reused.
pub type Token = u64;
