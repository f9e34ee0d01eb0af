//! The first byte of an attempt.

use enum_map::Enum;
use std::time::{Duration, Instant};
use thiserror::Error;

/// A process may be held up for so long between its clock and its write: spans that others keep too, of which the end must
/// not be crossed, end earlier by this.
pub const STALL_ALLOWANCE: Duration = Duration::from_millis(150);
/// The time that a worker is told may be more than what is left by this: hold-ups that show in no clock are less.
const PASSED_ON_SLACK: Duration = Duration::from_millis(100);
/// A permit is good for so long: it is made in the step that writes.
const PERMIT_LIFETIME: Duration = Duration::from_millis(10);

/// Whether the worker list may be acted on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListValidity {
    /// It was confirmed lately enough.
    Valid,
    /// Nothing has confirmed it since the start: its age is not known.
    Unconfirmed,
    /// It was confirmed too long ago: what it lacks counts as told.
    Expired,
}

/// Whether a worker takes work, as the list has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerStage {
    /// It takes work.
    Ready,
    /// It finishes what it has.
    Draining,
    /// It has left.
    Gone,
}

/// Whether operators let a worker serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorState {
    /// They do.
    InService,
    /// One has taken it out of service.
    OutOfService,
}

/// What the list and operators say of a worker.
#[derive(Clone, Copy, Debug)]
pub struct WorkerFacts {
    /// What the list says now; `None`: it never named the worker.
    pub stage: Option<WorkerStage>,
    /// What it said when the attempt was decided.
    pub stage_when_decided: WorkerStage,
    /// What operators say now, to whichever process of the dispatcher.
    pub operator_state: OperatorState,
}

/// What became of the attempt since it was decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// It is the one attempt of its request that is out.
    InFlight,
    /// It has been given up, or has ended.
    Ended,
}

/// Who waits for the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientState {
    /// The client waits.
    Waiting,
    /// It has left, or has its answer.
    Gone,
}

/// What is known in the step that would write the first byte.
#[derive(Clone, Copy, Debug)]
pub struct SendFacts {
    /// The clock, read in this step.
    pub now: Instant,
    /// Whether the worker list may be acted on.
    pub list: ListValidity,
    /// The worker by that list.
    pub worker: WorkerFacts,
    /// The attempt.
    pub attempt: AttemptState,
    /// The client.
    pub client: ClientState,
    /// When the dispatcher stops waiting.
    pub deadline: Instant,
    /// When the workers' memory of an earlier attempt that may have run ends, if there is one.
    pub repeat_until: Option<Instant>,
    /// The time that the bytes tell the worker is left, where they tell of any.
    pub passed_on: Option<Duration>,
}

/// Why the first byte must not go out.
#[derive(Clone, Copy, Debug, Enum, Error, PartialEq, Eq)]
pub enum SendRefusal {
    /// The list is of unknown age.
    #[error("nothing has confirmed the worker list since the start")]
    ListUnconfirmed,
    /// What the list lacks counts as told.
    #[error("the worker list was confirmed too long ago")]
    ListExpired,
    /// No list that names the worker.
    #[error("the worker is not listed")]
    WorkerUnknown,
    /// An operator has taken the worker out, perhaps since the attempt was decided.
    #[error("an operator has taken the worker out of service")]
    WorkerOutOfService,
    /// The list says something else of the worker than it did when the attempt was decided.
    #[error("the list says something else of the worker by now")]
    WorkerChanged,
    /// The attempt was given up meanwhile, or has ended.
    #[error("the attempt is over")]
    AttemptOver,
    /// Nobody waits any more.
    #[error("the client has gone")]
    ClientGone,
    /// The time is over.
    #[error("the deadline is over")]
    DeadlineOver,
    /// An earlier attempt may have run, and workers will not know a repeat as one much longer.
    #[error("the time for repeats is over")]
    RepeatWindowOver,
    /// The worker would be told more time than is left: the words were made too long ago.
    #[error("the time that it would be told is no longer left")]
    PassedOnTooMuch,
    /// The permit was kept too long.
    #[error("the permit is old")]
    PermitOld,
}

/// Leave to write the first byte, now.
#[derive(Debug)]
#[must_use = "a permit is for one write, in the same step"]
pub struct SendPermit {
    made: Instant,
}

impl SendFacts {
    /// Decides whether the first byte may go out.
    ///
    /// # Errors
    /// Why it must not.
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
        if self.passed_on.is_some_and(|told| told > left + PASSED_ON_SLACK) {
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
        Ok(SendPermit { made: self.now })
    }
}

impl SendPermit {
    /// Uses the permit up.
    ///
    /// # Errors
    /// It was kept too long: the facts have to be looked at anew.
    pub fn check_age(self, now: Instant) -> Result<(), SendRefusal> {
        if now.saturating_duration_since(self.made) > PERMIT_LIFETIME {
            return Err(SendRefusal::PermitOld);
        }
        Ok(())
    }
}
