//! Bodies in passage: how much of them may be held, whether one that was begun may be sent again, how fast
//! its peers must be, and what an attempt that broke off says of whether it has run.
//!
//! Nothing here does I/O or reads a clock; it decides for whoever does. Times are spans from any fixed
//! moment.
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
