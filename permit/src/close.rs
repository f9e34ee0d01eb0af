//! The end of a client's connection by this side.

use enum_map::Enum;
use thiserror::Error;

/// What a client's connection is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// Nothing of a request has come since the last answer, or since the start.
    Idle,
    /// A request is coming and not whole.
    Receiving,
    /// A request is in hand: its client is owed an answer.
    AwaitingResponse,
    /// An answer has begun and not ended.
    Responding,
}

/// Why it would end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client has ended it, or it broke.
    ClientClosed,
    /// A request was late, too long or malformed; its client is told so.
    BadRequest,
    /// Its slot is needed for another connection.
    SlotNeeded,
    /// The process stops.
    Stopping,
    /// The server is done with it: its last answer said that it ends it, or it was kept for its time.
    ServerFinished,
}

/// What is known when the connection would be ended.
#[derive(Clone, Copy, Debug)]
pub struct CloseFacts {
    /// What it is at.
    pub state: ConnectionState,
    /// Why it would end.
    pub reason: CloseReason,
}

/// Why it must stay open.
#[derive(Clone, Copy, Debug, Enum, Error, PartialEq, Eq)]
pub enum CloseRefusal {
    /// A client that is there is owed an answer.
    #[error("an answer is owed on it")]
    AnswerOwed,
    /// An answer would be cut short.
    #[error("an answer is on its way")]
    AnswerOnItsWay,
}

/// Leave to end one connection.
#[derive(Debug)]
#[must_use = "a permit is for one connection"]
pub struct ClosePermit(());

impl CloseFacts {
    /// Decides whether the connection may be ended.
    ///
    /// # Errors
    /// Why it must stay.
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
