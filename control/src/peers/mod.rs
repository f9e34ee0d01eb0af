//! Talk between dispatchers: how those of a tier come to hold the same overrides over a network that loses,
//! doubles, delays and reorders, and that others may write to.
//!
//! [`Gossip`] is the whole of it: datagrams and ticks in, datagrams out.

mod datagram;
mod gossip;
mod keys;
mod replay;

pub use datagram::{Datagram, MAX_DATAGRAM, MAX_PAYLOAD};
pub use gossip::{Counts, Gossip, Outgoing};
pub use keys::{KeyFileError, KeyRing};
