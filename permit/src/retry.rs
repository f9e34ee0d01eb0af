//! A further attempt of a request.

use enum_map::Enum;
use std::time::Instant;
use thiserror::Error;

/// What a second run of a request would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatSafety {
    /// Nothing.
    Idempotent,
    /// Nothing, while workers know the key.
    IdempotentByKey,
    /// Harm.
    NotIdempotent,
}

/// What became of the attempts before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EarlierAttempts {
    /// There were none, or each of them surely never ran.
    NeverRan,
    /// One may have run. `repeat_until`: how long workers know its key, where the class has one.
    MayHaveRun {
        /// When the workers' memory of it ends.
        repeat_until: Option<Instant>,
    },
}

/// What is known when an attempt is about to be made.
#[derive(Clone, Copy, Debug)]
pub struct RetryFacts {
    /// The clock.
    pub now: Instant,
    /// What a second run would do.
    pub effect: RepeatSafety,
    /// The attempts before.
    pub earlier: EarlierAttempts,
    /// Another attempt of the request is out.
    pub has_attempt_in_flight: bool,
}

/// Why no further attempt may be made.
#[derive(Clone, Copy, Debug, Enum, Error, PartialEq, Eq)]
pub enum RetryRefusal {
    /// Two attempts are never out.
    #[error("another attempt is out")]
    AnotherIsOut,
    /// It may have run, and must not run twice.
    #[error("an attempt may have run, and the class must not run twice")]
    MayHaveRun,
    /// It may have run, and workers would not know the repeat.
    #[error("the time for repeats is over")]
    RepeatWindowOver,
}

/// Leave to make one attempt.
#[derive(Debug)]
#[must_use = "a permit is for one attempt"]
pub struct RetryPermit(());

impl RetryFacts {
    /// Decides whether an attempt may be made.
    ///
    /// # Errors
    /// Why it must not.
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
