//! Closing of a client's connection by this side.

use enum_map::Enum;
use thiserror::Error;

/// State of a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// No byte of a request has arrived since the connection began or the last answer ended.
    Idle,
    /// A request has arrived in part.
    Receiving,
    /// A request is being processed; its client is owed an answer.
    AwaitingResponse,
    /// An answer has begun and not ended.
    Responding,
}

/// Why the connection would be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client has closed the connection, or it failed.
    ClientClosed,
    /// A request was late, too long or malformed; the client is told so.
    BadRequest,
    /// Its slot is needed for another connection.
    SlotNeeded,
    /// The client does not take its response, and the memory or the slot that it occupies is needed.
    ClientStalled,
    /// The process is stopping.
    Stopping,
    /// The server has finished with it: the last answer announced the close, or the keep-alive time is over.
    ServerFinished,
}

/// Facts known when the connection would be closed.
#[derive(Clone, Copy, Debug)]
pub struct CloseFacts {
    /// State of the connection.
    pub state: ConnectionState,
    /// Why the connection would be closed.
    pub reason: CloseReason,
}

/// Why the connection must stay open.
#[derive(Clone, Copy, Debug, Enum, Error, PartialEq, Eq)]
pub enum CloseRefusal {
    /// A connected client is owed an answer.
    #[error("the client is owed an answer")]
    AnswerOwed,
    /// An answer would be truncated.
    #[error("an answer is in progress")]
    AnswerOnItsWay,
}

/// Permission to close one connection.
#[derive(Debug)]
#[must_use = "a permit allows closing one connection"]
pub struct ClosePermit(());

impl CloseFacts {
    /// Decides whether the connection may be closed.
    ///
    /// # Errors
    ///
    /// Why the connection must stay open.
    pub fn permit(&self) -> Result<ClosePermit, CloseRefusal> {
        match (self.reason, self.state) {
            (CloseReason::ClientClosed | CloseReason::BadRequest, _) => Ok(ClosePermit(())),
            (_, ConnectionState::AwaitingResponse) => Err(CloseRefusal::AnswerOwed),
            (CloseReason::SlotNeeded | CloseReason::Stopping, ConnectionState::Responding) => {
                Err(CloseRefusal::AnswerOnItsWay)
            }
            _ => Ok(ClosePermit(())),
        }
    }
}
