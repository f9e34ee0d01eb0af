//! Further attempts of a request.

use enum_map::Enum;
use std::time::Instant;
use thiserror::Error;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatSafety {
    /// A second run has no effect.
    Idempotent,
    /// A second run has no effect while workers remember the idempotency key.
    IdempotentByKey,
    /// A second run does harm.
    NotIdempotent,
}

/// Outcome of the earlier attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EarlierAttempts {
    /// There were none, or each of them certainly never ran.
    NeverRan,
    /// One may have run.
    MayHaveRun {
        /// When the workers forget its idempotency key; `None` if the class has none.
        repeat_until: Option<Instant>,
    },
}

/// Facts known when an attempt is about to be made.
#[derive(Clone, Copy, Debug)]
pub struct RetryFacts {
    /// Current time.
    pub now: Instant,
    /// Whether the request may run more than once.
    pub effect: RepeatSafety,
    /// Outcome of the earlier attempts.
    pub earlier: EarlierAttempts,
    /// Whether another attempt of the request is in flight.
    pub has_attempt_in_flight: bool,
}

/// Why no further attempt may be made.
#[derive(Clone, Copy, Debug, Enum, Error, PartialEq, Eq)]
pub enum RetryRefusal {
    /// At most one attempt may be in flight.
    #[error("another attempt is in flight")]
    AnotherIsOut,
    /// An earlier attempt may have run, and the request must not run twice.
    #[error("an earlier attempt may have run, and the class must not run twice")]
    MayHaveRun,
    /// An earlier attempt may have run, and workers may have forgotten the idempotency key.
    #[error("the window for repeats has ended")]
    RepeatWindowOver,
}

/// Permission to make one attempt.
#[derive(Debug)]
#[must_use = "a permit allows one attempt"]
pub struct RetryPermit(());

impl RetryFacts {
    /// Decides whether an attempt may be made.
    ///
    /// # Errors
    ///
    /// Why the attempt must not be made.
    pub fn permit(&self) -> Result<RetryPermit, RetryRefusal> {
        if self.has_attempt_in_flight {
            return Err(RetryRefusal::AnotherIsOut);
        }
        match (self.effect, self.earlier) {
            (RepeatSafety::Idempotent, _) | (_, EarlierAttempts::NeverRan) => Ok(RetryPermit(())),
            (RepeatSafety::NotIdempotent, EarlierAttempts::MayHaveRun { .. }) => {
                Err(RetryRefusal::MayHaveRun)
            }
            (RepeatSafety::IdempotentByKey, EarlierAttempts::MayHaveRun { repeat_until }) => {
                if repeat_until.is_some_and(|until| self.now < until) {
                    Ok(RetryPermit(()))
                } else {
                    Err(RetryRefusal::RepeatWindowOver)
                }
            }
        }
    }
}
