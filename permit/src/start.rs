//! Starting of a request that has been read.

use enum_map::Enum;
use std::time::Instant;
use thiserror::Error;

/// State of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// The process accepts requests.
    Serving,
    /// The process has received SIGTERM and still accepts requests.
    Draining,
    /// The process only finishes the requests that it has.
    Stopping,
}

/// Facts known when a request is about to be started.
#[derive(Clone, Copy, Debug)]
pub struct StartFacts {
    /// State of the process.
    pub process: ProcessState,
    /// Whether the client that sent the request has disconnected.
    pub client_gone: bool,
}

/// Why a request is not started.
#[derive(Clone, Copy, Debug, Enum, Error, PartialEq, Eq)]
pub enum StartRefusal {
    /// The process would end before the request could be answered.
    #[error("the process is stopping")]
    Stopping,
    /// No client waits for the answer.
    #[error("the client has disconnected")]
    ClientGone,
}

/// Permission to start one request.
#[derive(Debug)]
#[must_use = "a permit allows starting one request"]
pub struct StartPermit(());

/// Facts known about an accepted request that waits for the end of its delay, when the process begins to stop.
#[derive(Clone, Copy, Debug)]
pub struct DelayedStartFacts {
    /// When the delay of the request ends.
    pub begins_at: Instant,
    /// When the request is answered at the latest once it has started.
    pub deadline: Instant,
    /// Until when the process starts new requests.
    pub accepts_until: Instant,
    /// When the process answers everything that it still owes.
    pub answers_by: Instant,
}

impl DelayedStartFacts {
    /// Decides whether the request may still be started at the end of its delay. A request that starts with the last new ones
    /// is treated as they are. A later one must be over before the process answers what it owes: cut short, it may have run,
    /// while a request that never started can safely be sent to another process.
    ///
    /// # Errors
    ///
    /// [`StartRefusal::Stopping`] if it must not be started.
    pub fn permit(&self) -> Result<StartPermit, StartRefusal> {
        if self.begins_at <= self.accepts_until || self.deadline <= self.answers_by {
            Ok(StartPermit(()))
        } else {
            Err(StartRefusal::Stopping)
        }
    }
}

impl StartFacts {
    /// Decides whether the request may be started.
    ///
    /// # Errors
    ///
    /// Why it must not be started.
    pub fn permit(&self) -> Result<StartPermit, StartRefusal> {
        if self.client_gone {
            return Err(StartRefusal::ClientGone);
        }
        if self.process == ProcessState::Stopping {
            return Err(StartRefusal::Stopping);
        }
        Ok(StartPermit(()))
    }
}
