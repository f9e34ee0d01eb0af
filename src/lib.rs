//! lineroute: the decision logic of a dispatcher that pushes jobs to workers.
//!
//! The crate holds no sockets, clocks or threads. A host passes [`Event`]s and the time in microseconds to a
//! [`Balancer`] and carries out the [`Action`]s that it returns. The same events always yield the same
//! actions.
//!
//! Workers are chosen by inverse response time: per job type, a worker's share is proportional to the
//! inverse of its measured response time, and a job goes to the worker whose own running count is furthest
//! below its share. See `balance.rs`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod admission;
mod api;
mod balance;
mod slow_start;
mod state;

pub use api::*;
pub use balance::Balancer;

/// Compiles and runs the example in the README as a doctest.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
