//! What an attempt at an upstream that answers on the connection says of whether it has run.
//!
//! In doubt it has. The whole table is in [`judge`]; the tests hold it line by line.

/// How far an attempt had come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// No connection yet.
    Connecting,
    /// Connected; the request's head has not been written whole.
    Head,
    /// The head has been written whole, the body not to its end.
    Uploading,
    /// All of the request has been written; no head of an answer has come.
    Waiting,
    /// The head of an answer has come and gone to the client.
    Answering,
}

/// How it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The connection was refused, never came up, broke, or said what is no HTTP.
    Broken,
    /// It took too long.
    Late,
    /// The client went, or the attempt was given up.
    GivenUp,
    /// The head of an answer came: its status, and whether it says `X-Rejected: 1`.
    Status(u16, bool),
    /// The answer came to its end.
    Whole,
}

/// What follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It never ran: it may be made elsewhere, whatever its class.
    NeverRan,
    /// It never ran, and the upstream has no room.
    NoRoom,
    /// The upstream failed at it; it may have run.
    Failed,
    /// It broke off; it may have run.
    Broke,
    /// Nothing came in time; it may have run, or run yet.
    Late,
    /// It was given up; it may have run.
    GivenUp,
    /// The answer passes to the client: the flow is bound to this attempt.
    Passes,
    /// The answer that was passing broke off. It can't be taken back: the client's stream is ended so that it
    /// can tell.
    CutShort,
    /// Served.
    Served,
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
pub fn judge(stage: Stage, end: End) -> Verdict {
    match (stage, end) {
        (Stage::Answering, End::Whole) => Verdict::Served,
        (Stage::Answering, _) => Verdict::CutShort,
        // An upstream can't have begun on what it can't know whole: not even the method and path.
        (Stage::Connecting | Stage::Head, End::Broken | End::Late | End::GivenUp) => Verdict::NeverRan,
        (_, End::Broken) => Verdict::Broke,
        (_, End::Late) => Verdict::Late,
        (_, End::GivenUp) => Verdict::GivenUp,
        (_, End::Status(502..=504, true)) => Verdict::NoRoom,
        (_, End::Status(502..=504, false)) => Verdict::Failed,
        (_, End::Status(..)) => Verdict::Passes,
        // An end without a head is no answer.
        (_, End::Whole) => Verdict::Broke,
    }
}
