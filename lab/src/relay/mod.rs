//! Relays for all links, which can cut, delay, throttle, lose and reorder the traffic.

mod tcp;
mod udp;

pub use tcp::{Tap, TcpRelay};
pub use udp::{UdpConditions, UdpRelay};

use std::time::Duration;

/// Current conditions of one direction of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DirectionConditions {
    /// Nothing passes. Data sent meanwhile is delivered after the cut, as on a real network, where TCP retransmits it.
    pub cut: bool,
    pub delay: Duration,
    /// Percentage of chunks that are lost and retransmitted, with a timeout that doubles.
    pub loss: u32,
    /// Maximum rate in bytes per second.
    pub trickle: Option<u32>,
}

/// Current conditions of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkConditions {
    /// From the connecting side to the listening side.
    pub toward_listener: DirectionConditions,
    pub toward_connector: DirectionConditions,
    /// Open connections are reset and new ones are closed at once.
    pub reset: bool,
}
