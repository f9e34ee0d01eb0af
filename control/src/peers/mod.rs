//! Communication between dispatchers: how those of a tier come to hold the same overrides over a network that
//! loses, duplicates, delays and reorders datagrams, and to which others may write.
//!
//! [`Gossip`] implements the protocol: datagrams and ticks in, datagrams out.

mod datagram;
mod gossip;
mod keys;
mod replay;

pub use datagram::{Datagram, MAX_DATAGRAM, MAX_PAYLOAD};
pub use gossip::{Counts, Gossip, Outgoing};
pub use keys::{KeyFileError, KeyRing};
