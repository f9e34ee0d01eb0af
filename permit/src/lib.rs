//! What a dispatcher may do now. The first byte of an attempt, a further attempt, the end of a client's connection and the
//! start of a request each need a permit, and only this crate makes them, each from one snapshot of facts:
//!
//! | act | facts | permit | refusal |
//! | --- | --- | --- | --- |
//! | first byte to a worker | [`SendFacts`] | [`SendPermit`] | [`SendRefusal`] |
//! | further attempt of a request | [`RetryFacts`] | [`RetryPermit`] | [`RetryRefusal`] |
//! | end of a client's connection | [`CloseFacts`] | [`ClosePermit`] | [`CloseRefusal`] |
//! | start of a request | [`StartFacts`] | [`StartPermit`] | [`StartRefusal`] |
//!
//! A permit has no public constructor, is neither copied nor kept: whoever acts takes it by value. A send permit is short
//! lived as well ([`SendPermit::check_age`]).
//!
//! [`audit`] judges what was done by facts taken behind the act, with rules stated anew and not shared with the permits: a
//! [`Violation`] is a fault of the program, whatever the outside did.
//!
//! Nothing here does I/O or reads a clock: instants are arguments.
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
pub use start::{ProcessState, StartFacts, StartPermit, StartRefusal};
