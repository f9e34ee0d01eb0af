//! Sending of the first byte of an attempt.

use enum_map::Enum;
use std::time::{Duration, Instant};
use thiserror::Error;

/// How long the process may stall between reading its clock and writing. Time limits that others enforce too,
/// and that must not be exceeded, end earlier by this much.
pub const STALL_ALLOWANCE: Duration = Duration::from_millis(150);
/// How much more time than is left a worker may be told of. Stalls that no clock reading shows are shorter.
const PASSED_ON_TOLERANCE: Duration = Duration::from_millis(100);
/// Lifetime of a permit, which is issued in the same step as the write.
const PERMIT_LIFETIME: Duration = Duration::from_millis(10);

/// Whether the worker list may be acted on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListValidity {
    /// The list was confirmed recently enough.
    Valid,
    /// Nothing has confirmed the list since the start: its age is unknown.
    Unconfirmed,
    /// The list was confirmed too long ago: changes that it lacks count as published.
    Expired,
}

/// State of a worker in the worker list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerStage {
    /// The worker accepts jobs.
    Ready,
    /// The worker finishes its jobs and accepts no new ones.
    Draining,
    /// The worker has left.
    Gone,
}

/// Whether operators allow a worker to serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorState {
    /// The worker may serve.
    InService,
    /// An operator has taken the worker out of service.
    OutOfService,
}

/// What the worker list and operators state about a worker.
#[derive(Clone, Copy, Debug)]
pub struct WorkerFacts {
    /// Current state in the list; `None` if the list never named the worker.
    pub stage: Option<WorkerStage>,
    /// State in the list when the attempt was decided.
    pub stage_when_decided: WorkerStage,
    /// Current decision of the operators, received by any process of this dispatcher.
    pub operator_state: OperatorState,
}

/// State of the attempt since it was decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// It is the one attempt of its request in flight.
    InFlight,
    /// It was abandoned, or has ended.
    Ended,
}

/// State of the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientState {
    /// The client waits for the answer.
    Waiting,
    /// The client has disconnected, or has received its answer.
    Gone,
}

/// Facts known in the step that would write the first byte.
#[derive(Clone, Copy, Debug)]
pub struct SendFacts {
    /// Current time, read in this step.
    pub now: Instant,
    /// Whether the worker list may be acted on.
    pub list: ListValidity,
    /// The worker, according to that list.
    pub worker: WorkerFacts,
    /// State of the attempt.
    pub attempt: AttemptState,
    /// State of the client.
    pub client: ClientState,
    /// When the dispatcher stops waiting for the answer.
    pub deadline: Instant,
    /// When workers forget the idempotency key of an earlier attempt that may have run, if there is one.
    pub repeat_until: Option<Instant>,
    /// The remaining time that the message tells the worker of, if it does.
    pub passed_on: Option<Duration>,
}

/// Why the first byte must not be sent.
#[derive(Clone, Copy, Debug, Enum, Error, PartialEq, Eq)]
pub enum SendRefusal {
    /// The age of the list is unknown.
    #[error("the worker list has not been confirmed since the start")]
    ListUnconfirmed,
    /// Changes that the list lacks count as published.
    #[error("the worker list has expired")]
    ListExpired,
    /// The list has never named the worker.
    #[error("the worker is not in the worker list")]
    WorkerUnknown,
    /// An operator has taken the worker out of service, possibly since the attempt was decided.
    #[error("an operator has taken the worker out of service")]
    WorkerOutOfService,
    /// The worker's state in the list has changed since the attempt was decided.
    #[error("the worker's state in the list has changed since the decision")]
    WorkerChanged,
    /// The attempt was abandoned, or has ended.
    #[error("the attempt has ended")]
    AttemptOver,
    /// No client waits for the answer.
    #[error("the client has disconnected")]
    ClientGone,
    /// The deadline has passed.
    #[error("the deadline has passed")]
    DeadlineOver,
    /// An earlier attempt may have run, and workers will soon have forgotten its idempotency key.
    #[error("the window for repeats has ended")]
    RepeatWindowOver,
    /// The worker would be told of more time than is left: the message was composed too long ago.
    #[error("the message states more time than is left")]
    PassedOnTooMuch,
    /// The permit has expired.
    #[error("the permit has expired")]
    PermitOld,
}

/// Permission to write the first byte now.
#[derive(Debug)]
#[must_use = "a permit allows one write, in the same step"]
pub struct SendPermit {
    issued_at: Instant,
}

impl SendFacts {
    /// Decides whether the first byte may be sent.
    ///
    /// # Errors
    ///
    /// Why it must not be sent.
    pub fn permit(&self) -> Result<SendPermit, SendRefusal> {
        if self.attempt == AttemptState::Ended {
            return Err(SendRefusal::AttemptOver);
        }
        if self.client == ClientState::Gone {
            return Err(SendRefusal::ClientGone);
        }
        if self.now >= self.deadline {
            return Err(SendRefusal::DeadlineOver);
        }
        if self.repeat_until.is_some_and(|until| self.now >= until) {
            return Err(SendRefusal::RepeatWindowOver);
        }
        let left = self.deadline.saturating_duration_since(self.now);
        if self.passed_on.is_some_and(|told| told > left + PASSED_ON_TOLERANCE) {
            return Err(SendRefusal::PassedOnTooMuch);
        }
        match self.list {
            ListValidity::Valid => {}
            ListValidity::Unconfirmed => return Err(SendRefusal::ListUnconfirmed),
            ListValidity::Expired => return Err(SendRefusal::ListExpired),
        }
        match self.worker.stage {
            None => return Err(SendRefusal::WorkerUnknown),
            Some(stage) if stage != self.worker.stage_when_decided => return Err(SendRefusal::WorkerChanged),
            Some(_) => {}
        }
        if self.worker.operator_state == OperatorState::OutOfService {
            return Err(SendRefusal::WorkerOutOfService);
        }
        Ok(SendPermit { issued_at: self.now })
    }
}

impl SendPermit {
    /// Consumes the permit.
    ///
    /// # Errors
    ///
    /// The permit has expired: the facts have to be checked again.
    pub fn check_age(self, now: Instant) -> Result<(), SendRefusal> {
        if now.saturating_duration_since(self.issued_at) > PERMIT_LIFETIME {
            return Err(SendRefusal::PermitOld);
        }
        Ok(())
    }
}
