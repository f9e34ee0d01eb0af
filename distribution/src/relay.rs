//! A relay: a subscriber that serves its replica to other subscribers while it holds the relay lease of its zone.

use crate::message::{Service, Versions};
use crate::replica::Replica;
use crate::server::{Server, ServingContext};
use crate::timing::Timing;
use crate::{Time, Token};
use std::time::Duration;

/// Default send rate of a relay in bytes per second: the byte budget of one dispatcher for each of sixteen
/// dispatchers that start at the same time.
pub const RELAY_BYTES_PER_SECOND: u32 = 64_000;

/// The state that a relay needs in addition to its subscriber. Any subscriber can become a relay with the replica
/// that it has.
#[derive(Clone, Debug)]
pub struct Relay {
    server: Server,
}

impl Relay {
    /// Creates a relay that sends at most this many bytes per second.
    pub fn new(bytes_per_second: u32, versions: Versions, timing: &Timing, now: Time) -> Relay {
        Relay { server: Server::new(Service::Relay, bytes_per_second, versions, timing, now) }
    }

    /// Replies to a message from this process's replica, whose maximum age is given, under the token of the relay
    /// lease held at this moment. Without a token the reply is that this process does not serve. A process that is
    /// also the source serves the source's replica.
    pub fn serve(
        &mut self,
        now: Time,
        token: Option<Token>,
        copy: (&Replica, Option<Duration>),
        bytes: &[u8],
    ) -> Option<Vec<u8>> {
        let (replica, age) = copy;
        self.server.serve(now, bytes, replica, ServingContext { token, age })
    }
}
