//! Classifies the end of an attempt at an HTTP upstream by whether the request may have been executed.
//!
//! In doubt the request counts as executed. [`classify`] contains the whole table; the tests check it line by line.

/// The phase that an attempt had reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStage {
    /// No connection yet.
    Connecting,
    /// Connected; the request head has not been written completely.
    SendingHead,
    /// The head has been written completely, the body has not.
    SendingBody,
    /// The whole request has been written; no response head has been received.
    AwaitingResponse,
    /// The response head has been received and forwarded to the client.
    ReceivingResponse,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The connection was refused, was not established, broke, or carried something other than HTTP.
    Broken,
    /// A timeout expired.
    TimedOut,
    /// The client disconnected, or the attempt was cancelled.
    GivenUp,
    /// A response head was received: its status, and whether it contains `X-Rejected: 1`.
    Status(u16, bool),
    /// The response was received completely.
    Complete,
}

/// What follows from the end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The request was not executed and may be sent to another upstream, whatever its class.
    NotExecuted,
    /// The request was not executed because the upstream has no capacity.
    Rejected,
    /// The upstream failed to process the request; it may have been executed.
    Failed,
    /// The connection was lost; the request may have been executed.
    ConnectionLost,
    /// No response in time; the request may have been executed or may still be executed.
    TimedOut,
    /// The attempt was given up; the request may have been executed.
    GivenUp,
    /// The response is forwarded to the client: the flow is committed to this attempt.
    Committed,
    /// A response broke off while it was being forwarded. It can't be retracted: the client's stream is aborted so
    /// that the client can detect the truncation.
    Truncated,
    /// The response was forwarded completely.
    Completed,
}

/// Classifies the end of an attempt.
///
/// | | connecting | sending head | sending body, awaiting response | receiving response |
/// | --- | --- | --- | --- | --- |
/// | broken | not executed | not executed | may have been executed | truncated |
/// | timed out | not executed | not executed | may have been executed | truncated |
/// | given up | not executed | not executed | may have been executed | truncated |
/// | 502, 503, 504 with `X-Rejected: 1` | | rejected, not executed | rejected, not executed | |
/// | 502, 503, 504 without | | failed, may have been executed | failed, may have been executed | |
/// | any other status | | committed | committed | |
pub fn classify(stage: AttemptStage, end: AttemptEnd) -> AttemptResult {
    match (stage, end) {
        (AttemptStage::ReceivingResponse, AttemptEnd::Complete) => AttemptResult::Completed,
        (AttemptStage::ReceivingResponse, _) => AttemptResult::Truncated,
        // Without the complete head an upstream knows neither method nor path for certain, so it can't have started.
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
        // An end without a response head is not a response.
        (_, AttemptEnd::Complete) => AttemptResult::ConnectionLost,
    }
}
