//! The fleet as one of its members sees it: who is there, who owns what, and what this process may do for all.
//!
//! No sockets, no clock, no files: bytes and the time go in, bytes and events come out. The time is that of a
//! monotonic clock, as a span since any moment in this process's life.
//!
//! Two kinds of state are kept apart. Who is there may be wrong for a while ([`members`], merged by gossip).
//! Who owns what must not be ([`consensus`], decided by a majority of a few voters, [`ledger`] what they agree on,
//! [`lease`] for how long). Whatever is done for the fleet passes [`fence`].
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

/// A span since some moment in this process's life, by a clock that never goes back.
pub type Time = std::time::Duration;

/// A member by its place among the names of all, in alphabetical order: the same at every member.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Member(pub u16);

/// One incarnation of a member: a process from its start, or from the moment it learnt that it had been declared dead.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Incarnation {
    /// Whose incarnation it is.
    pub member: Member,
    /// Greater in each later incarnation of the member.
    pub number: u64,
}

/// A resource that has one owner at a time: a path of plain words, such as `probe/a`.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Resource(String);

/// The names of resources that stand for an incarnation and for its orphaned work begin so. They go over the wire and
/// into the Raft log: they can't be changed.
const INCARNATION_PREFIX: &str = "life/";
const ORPHANED_WORK_PREFIX: &str = "estate/";

impl Resource {
    /// The longest name, in bytes.
    pub const MAX_NAME_BYTES: usize = 120;

    /// A resource by its name; nothing where that holds other characters than letters, digits and `-_./:`, or is
    /// empty or too long.
    pub fn new(name: impl Into<String>) -> Option<Resource> {
        let name = name.into();
        let plain = |c: char| c.is_ascii_alphanumeric() || "-_./:".contains(c);
        let good = !name.is_empty() && name.len() <= Resource::MAX_NAME_BYTES && name.chars().all(plain);
        good.then_some(Resource(name))
    }

    /// The orphaned work of an incarnation that has ended: whoever holds this is its recovery owner.
    pub fn orphaned_work(of: Incarnation) -> Resource {
        Resource(format!("{ORPHANED_WORK_PREFIX}{}/{}", of.member.0, of.number))
    }

    /// An incarnation itself: while its member holds this, nobody may recover its work.
    pub fn incarnation(of: Incarnation) -> Resource {
        Resource(format!("{INCARNATION_PREFIX}{}/{}", of.member.0, of.number))
    }

    /// Whose incarnation this is, if it is one.
    pub fn as_incarnation(&self) -> Option<Incarnation> {
        let (member, number) = self.0.strip_prefix(INCARNATION_PREFIX)?.split_once('/')?;
        Some(Incarnation { member: Member(member.parse().ok()?), number: number.parse().ok()? })
    }

    /// Whose orphaned work this is, if it is any.
    pub fn as_orphaned_work(&self) -> Option<Incarnation> {
        Resource(format!("{INCARNATION_PREFIX}{}", self.0.strip_prefix(ORPHANED_WORK_PREFIX)?))
            .as_incarnation()
    }

    /// Whether this is an incarnation.
    pub(crate) fn is_incarnation(&self) -> bool {
        self.0.starts_with(INCARNATION_PREFIX)
    }

    /// Whether this is the orphaned work of an incarnation.
    pub(crate) fn is_orphaned_work(&self) -> bool {
        self.0.starts_with(ORPHANED_WORK_PREFIX)
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.0
    }
}

impl std::fmt::Display for Resource {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

/// Greater with each grant, over all resources and for good.
pub type Token = u64;
