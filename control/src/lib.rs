//! Control plane of lineroute: operator overrides, how the dispatchers of a tier replicate them, and how far
//! the worker list of a dispatcher can be relied on.
//!
//! This crate performs no I/O and reads no clock. Time is an argument, in milliseconds ([`Millis`]).
//! Overrides use Unix time, because an operator states the end of an override as wall-clock time. The host
//! passes in datagrams and time, and sends the datagrams that are returned.
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

/// Unix time, or a duration, in milliseconds.
pub type Millis = u64;

/// Digest of `bytes`; every dispatcher computes the same value.
pub(crate) fn fingerprint(bytes: &[u8]) -> u64 {
    let hash = blake3::hash(bytes);
    u64::from_be_bytes(hash.as_bytes()[..8].try_into().unwrap_or_default())
}
