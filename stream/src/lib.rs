//! Bodies in passage: how much of them may be held, whether one that was begun may be sent again, how fast
//! its peers must be, and what an attempt that broke off says of whether it has run.
//!
//! Nothing here does I/O or reads a clock; it decides for whoever does. Times are spans from any fixed
//! moment.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod budget;
mod pace;
mod replay;
mod verdict;

pub use budget::{Budget, Share};
pub use pace::{ProgressLimits, ProgressMonitor, Slow};
pub use replay::{ReplayBuffer, ReplayCursor};
pub use verdict::{classify, AttemptEnd, AttemptResult, AttemptStage};
