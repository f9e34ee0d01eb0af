//! lineroute: the decisions of a dispatcher that pushes jobs to workers.
//!
//! The crate holds no sockets, clocks or threads. A host feeds a [`Balancer`] with events and the
//! time in microseconds, and carries out the [`Action`]s that come back. The same events always
//! give the same actions.
//!
//! The rule on the ordinary path is the inverse response time ratio scheduler: per job type, a job goes to the
//! worker whose own running count lags furthest behind its share, and shares are the inverse of measured
//! response time. See `balance.rs`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod admission;
mod api;
mod balance;
mod slow_start;
mod state;

pub use api::*;
pub use balance::Balancer;

/// The README's example, compiled and run as a test.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
