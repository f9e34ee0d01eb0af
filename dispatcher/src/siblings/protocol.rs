//! Protocol between sibling processes, spoken at their admin consoles: one line in each direction, as for operators. A call is
//! [`PREFIX`] and a JSON object; the reply is `OK` and a JSON object, or `ERR` and a reason.

use crate::targets::http::JobUpdate;
use crate::targets::shared_tubes::TubeAnswer;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Prefix of a call from a sibling.
pub const PREFIX: &str = "sibling ";
/// Maximum size of a call: an answer of the largest size in base64, or a job status update with the largest body, and the JSON
/// around it.
pub const MAX_CALL: usize = 88 << 10;
/// Maximum size of a reply: all overrides of a full table.
pub const MAX_ANSWER: usize = 4 << 20;

/// How a process identifies itself to its siblings.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Introduction {
    /// Process id.
    pub process: u32,
    /// Address of its admin console.
    pub console: SocketAddr,
    /// Secret that callers have to present. It is stored in a directory that only this dispatcher's processes read.
    pub token: String,
}

/// A call.
#[derive(Debug, Deserialize, Serialize)]
pub struct Call {
    /// Token of the process that is called.
    pub token: String,
    pub request: Request,
}

/// A request to a sibling.
#[derive(Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Request {
    /// A process has started. Answered with all overrides, as lines of the overrides log.
    Introduce(Introduction),
    /// An operator has set or cleared these overrides, as lines of the overrides log.
    Overrides(Vec<String>),
    /// A worker's update for a job that the caller does not have.
    JobUpdate(JobUpdate),
    /// An answer to a job that the caller does not have. It stays in its tube unless it is taken.
    TubeAnswer(TubeAnswer),
    /// Asks for the state of the process.
    State,
}

/// The answer to a request.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// All overrides, as lines of the overrides log.
    Overrides(Vec<String>),
    /// The overrides were merged and are in force in the process.
    Merged,
    /// The process has the job and accepted the update or answer.
    Taken,
    /// The process does not have the job.
    NotOurs,
    /// The process is storing a job whose id it does not know yet; it may be the one.
    Undecided,
    /// The state of the process.
    State(State),
}

/// The state of a process.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It accepts clients and waits for its worker list to be confirmed.
    Starting,
    /// It accepts and serves clients.
    Serving,
    /// It has received SIGTERM.
    Stopping,
}
