//! Distribution of the worker list and the configuration from one source to every dispatcher.
//!
//! The process that holds the source lease watches discovery and writes a versioned log ([`publisher`]). One relay
//! per zone follows that log ([`relay`]), and all other dispatchers follow a relay ([`subscriber`]). All three
//! maintain a [`replica`]: records grouped into ranges, each with a digest, and a bounded history of changes. A
//! replica whose position is older than the history is notified, compares digests, and fetches only the ranges that
//! differ from the replica that it queried.
//!
//! This crate does no I/O and reads no clock: bytes and the current time go in, bytes come out. Time is monotonic,
//! expressed as a duration since an arbitrary instant in the lifetime of the process. All data is pulled: a
//! subscriber has one outstanding request at a time and states how many bytes it can accept, so its budget holds
//! regardless of the other processes, and a relay keeps no state per client. For the design and its alternatives see
//! `docs/list-distribution.md`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod budget;
mod history;
pub mod message;
pub mod position;
pub mod publisher;
pub mod record;
pub mod relay;
pub mod replica;
pub mod server;
mod store;
pub mod subscriber;
mod synchronization;
pub mod timing;
pub mod upstream;
pub mod worker;

/// Time since an arbitrary instant in the lifetime of this process, by a monotonic clock.
pub type Time = std::time::Duration;

/// A fencing token: increases with every grant of a lease.
pub type Token = u64;
