//! What sibling processes say to each other at their admin consoles: a line each way, as there with operators. A call is the word
//! [`PREFIX`] and a JSON object; the answer is `OK` and another one, or `ERR` and a reason.

use crate::targets::http::JobUpdate;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The first word of a sibling's line.
pub const PREFIX: &str = "sibling ";
/// A call holds so much at most: a job status update with the longest body, and what is said around it.
pub const MAX_CALL: usize = (64 << 10) + 1024;
/// An answer holds so much at most: all overrides of a full table.
pub const MAX_ANSWER: usize = 4 << 20;

/// Who a process is to its siblings.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Introduction {
    /// Its number in the system.
    pub process: u32,
    /// Where its admin console listens.
    pub console: SocketAddr,
    /// What a caller has to know: it stands in a folder that only this dispatcher's processes read.
    pub token: String,
}

/// A call.
#[derive(Debug, Deserialize, Serialize)]
pub struct Call {
    /// Of the process that is called.
    pub token: String,
    /// What is asked.
    pub request: Request,
}

/// What is asked of a sibling.
#[derive(Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Request {
    /// A process has started. Answered with all overrides, as lines of their log.
    Introduce(Introduction),
    /// An operator has set or cleared these overrides, as lines of their log.
    Overrides(Vec<String>),
    /// A worker tells of a job that the caller does not have.
    JobUpdate(JobUpdate),
    /// What the process is at.
    State,
}

/// What comes back.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// All overrides, as lines of their log.
    Overrides(Vec<String>),
    /// The overrides are in force there.
    Merged,
    /// The job is the process's, and the update was taken.
    Taken,
    /// It is not.
    NotOurs,
    /// What the process is at.
    State(State),
}

/// What a process is at.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It takes clients, and waits for its worker list to be confirmed.
    Starting,
    /// It takes clients and serves them.
    Serving,
    /// SIGTERM has come.
    Stopping,
}
