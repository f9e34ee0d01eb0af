//! A relay on every link: what passes over it can be cut off, held up, slowed, lost and put out of order.

mod tcp;
mod udp;

pub use tcp::{Tap, TcpRelay};
pub use udp::{UdpConditions, UdpRelay};

use std::time::Duration;

/// How one direction of a link is at present.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DirectionConditions {
    /// Nothing passes; what was sent passes once the cut is over, as it does on a real network.
    pub cut: bool,
    pub delay: Duration,
    /// Parts of 100 pieces that are lost and sent again after a time that doubles.
    pub loss: u32,
    /// Bytes a second at most.
    pub trickle: Option<u32>,
}

/// How a link is at present.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkConditions {
    /// From the side that connects to the side that listens.
    pub toward_listener: DirectionConditions,
    pub toward_connector: DirectionConditions,
    /// Open connections are reset and new ones end at once.
    pub reset: bool,
}
