//! The control plane of lineroute: what operators override, and how dispatchers come to hold the same.
//!
//! Nothing here does I/O or reads a clock. Time is an argument, in milliseconds of Unix time ([`Millis`]): the
//! end of an override is a moment of the wall clock, which is what an operator states. A host brings datagrams
//! and time, and sends what comes back.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod admin_console;
pub mod call_failure;
pub mod discovery_report;
pub mod list_status;
pub mod load_gossip;
pub mod overrides;
pub mod peers;
pub mod service_time;
pub mod watch;

/// Unix time, or a span of it, in milliseconds.
pub type Millis = u64;

/// Digest of bytes that is the same on every dispatcher.
pub(crate) fn fingerprint(bytes: &[u8]) -> u64 {
    let hash = blake3::hash(bytes);
    u64::from_be_bytes(hash.as_bytes()[..8].try_into().unwrap_or_default())
}
