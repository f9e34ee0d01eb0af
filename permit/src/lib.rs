//! Decides which actions a dispatcher may take. Sending the first byte of an attempt, making a further
//! attempt, closing a client's connection and starting a request each require a permit. Only this crate
//! issues permits, each from one snapshot of facts:
//!
//! | action | facts | permit | refusal |
//! | --- | --- | --- | --- |
//! | first byte to a worker | [`SendFacts`] | [`SendPermit`] | [`SendRefusal`] |
//! | further attempt of a request | [`RetryFacts`] | [`RetryPermit`] | [`RetryRefusal`] |
//! | end of a client's connection | [`CloseFacts`] | [`ClosePermit`] | [`CloseRefusal`] |
//! | start of a request | [`StartFacts`] | [`StartPermit`] | [`StartRefusal`] |
//! | start of a delayed request in a process that stops | [`DelayedStartFacts`] | [`StartPermit`] | [`StartRefusal`] |
//!
//! A permit has no public constructor and is neither copied nor stored: the code that acts takes it by value.
//! A send permit also expires ([`SendPermit::check_age`]).
//!
//! [`audit`] checks actions by facts taken afterwards, with rules that are stated independently of the
//! permits: a [`Violation`] is a bug in the program, whatever its environment did.
//!
//! This crate performs no I/O and reads no clock: instants are arguments.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod audit;
mod close;
mod retry;
mod send;
mod start;

pub use audit::Violation;
pub use close::{CloseFacts, ClosePermit, CloseReason, CloseRefusal, ConnectionState};
pub use retry::{EarlierAttempts, RepeatSafety, RetryFacts, RetryPermit, RetryRefusal};
pub use send::{
    AttemptState, ClientState, ListValidity, OperatorState, SendFacts, SendPermit, SendRefusal, WorkerFacts,
    WorkerStage, STALL_ALLOWANCE,
};
pub use start::{DelayedStartFacts, ProcessState, StartFacts, StartPermit, StartRefusal};
