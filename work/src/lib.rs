//! Replication and recovery of accepted jobs, so that a job survives the failure of its dispatcher: the replicated
//! record of each job in a recorded class, the replica holders that store it in addition to its owner, and the
//! actions of a recovery owner. Messages and the current time are passed in; messages and decisions are returned. The
//! crate has no sockets, files or clock.
//!
//! An owner numbers the versions of a record. A commitment that depends on a version is made only once a majority of
//! the replica holders has stored it. A replica holder that has accepted a recovery lease for an incarnation stores
//! no further version from it. So a commitment of the old owner was either replicated before that lease, and the
//! recovery owner finds it, or it is never made.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod placement;
pub mod record;
pub mod recovery;
pub mod replica_holder;
pub mod replica_set;
#[cfg(test)]
mod sample;

/// Time since the start of the process, by its own clock.
pub use lineroute_fleet::Time;
