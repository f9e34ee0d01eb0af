//! What an attempt at an upstream that answers on the connection says of whether it has run.
//!
//! In doubt it has. The whole table is in [`classify`]; the tests hold it line by line.

/// How far an attempt had come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStage {
    /// No connection yet.
    Connecting,
    /// Connected; the request's head has not been written whole.
    SendingHead,
    /// The head has been written whole, the body not to its end.
    SendingBody,
    /// All of the request has been written; no head of an answer has come.
    AwaitingResponse,
    /// The head of an answer has come and gone to the client.
    ReceivingResponse,
}

/// How it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The connection was refused, never came up, broke, or said what is no HTTP.
    Broken,
    /// It took too long.
    TimedOut,
    /// The client went, or the attempt was given up.
    GivenUp,
    /// The head of an answer came: its status, and whether it says `X-Rejected: 1`.
    Status(u16, bool),
    /// The answer came to its end.
    Complete,
}

/// What follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// It never ran: it may be made elsewhere, whatever its class.
    NotExecuted,
    /// It never ran, and the upstream has no room.
    Rejected,
    /// The upstream failed at it; it may have run.
    Failed,
    /// It broke off; it may have run.
    ConnectionLost,
    /// Nothing came in time; it may have run, or run yet.
    TimedOut,
    /// It was given up; it may have run.
    GivenUp,
    /// The answer passes to the client: the flow is bound to this attempt.
    Committed,
    /// The answer that was passing broke off. It can't be taken back: the client's stream is ended so that it
    /// can tell.
    Truncated,
    /// Served.
    Completed,
}

/// Judges the end of an attempt.
///
/// | | connecting | head | uploading, waiting | answering |
/// | --- | --- | --- | --- | --- |
/// | broken | never ran | never ran | may have run | cut short |
/// | late | never ran | never ran | may have run | cut short |
/// | given up | never ran | never ran | may have run | cut short |
/// | 502, 503, 504 with `X-Rejected: 1` | | no room, never ran | no room, never ran | |
/// | 502, 503, 504 without | | failed, may have run | failed, may have run | |
/// | any other status | | passes | passes | |
pub fn classify(stage: AttemptStage, end: AttemptEnd) -> AttemptResult {
    match (stage, end) {
        (AttemptStage::ReceivingResponse, AttemptEnd::Complete) => AttemptResult::Completed,
        (AttemptStage::ReceivingResponse, _) => AttemptResult::Truncated,
        // An upstream can't have begun on what it can't know whole: not even the method and path.
        (
            AttemptStage::Connecting | AttemptStage::SendingHead,
            AttemptEnd::Broken | AttemptEnd::TimedOut | AttemptEnd::GivenUp,
        ) => AttemptResult::NotExecuted,
        (_, AttemptEnd::Broken) => AttemptResult::ConnectionLost,
        (_, AttemptEnd::TimedOut) => AttemptResult::TimedOut,
        (_, AttemptEnd::GivenUp) => AttemptResult::GivenUp,
        (_, AttemptEnd::Status(502..=504, true)) => AttemptResult::Rejected,
        (_, AttemptEnd::Status(502..=504, false)) => AttemptResult::Failed,
        (_, AttemptEnd::Status(..)) => AttemptResult::Committed,
        // An end without a head is no answer.
        (_, AttemptEnd::Complete) => AttemptResult::ConnectionLost,
    }
}
