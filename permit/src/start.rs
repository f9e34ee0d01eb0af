//! Starting of a request that has been read.

use enum_map::Enum;
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
