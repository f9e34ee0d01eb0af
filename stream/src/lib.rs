//! Streaming of request and response bodies: memory accounting, replay of uploads on retries, minimum transfer
//! rates, and classification of failed attempts by whether the request may have been executed.
//!
//! This crate does no I/O and reads no clock; it only makes decisions for the caller. Times are durations since an
//! arbitrary fixed instant.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod attempt;
mod budget;
mod progress;
mod replay;

pub use attempt::{classify, AttemptEnd, AttemptResult, AttemptStage};
pub use budget::{Budget, Share};
pub use progress::{ProgressLimits, ProgressMonitor, Slow};
pub use replay::{ReplayBuffer, ReplayCursor};
