//! Checks an action after it was performed. The rules are stated here independently, with the tolerances that
//! the platform allows, and share no code with the permits, so a faulty permit is detected here.

use enum_map::Enum;
use std::time::{Duration, Instant};

/// How long after the client has disconnected an attempt may still begin.
const CLIENT_GONE_TOLERANCE: Duration = Duration::from_millis(100);

/// How long the process may stall between reading its clock and writing.
const STALL_TOLERANCE: Duration = Duration::from_millis(150);

/// A rule that the program has violated.
#[derive(Clone, Copy, Debug, Enum, PartialEq, Eq)]
pub enum Violation {
    /// The first byte was sent to a worker that this process had known to be draining or gone for longer than
    /// allowed.
    DrainedWorker,
    /// The first byte was sent to a worker that an operator had taken out of service.
    WorkerOutOfService,
    /// The first byte was sent while the worker list was not valid.
    InvalidList,
    /// The first byte was sent after the client had disconnected.
    ClientGone,
    /// The first byte was sent after the deadline.
    DeadlineOver,
    /// The worker was told of more time than its client had left.
    PassedOnTooMuch,
    /// The first byte of a repeat was sent after the workers had forgotten the idempotency key.
    RepeatWindowOver,
    /// A second attempt was started while another was in flight.
    SecondAttempt,
    /// A connection was closed although its client was owed an answer.
    AnswerOwed,
}

/// Facts known directly after the first byte was written.
#[derive(Clone, Copy, Debug)]
pub struct SendAudit {
    /// Time read after the write.
    pub now: Instant,
    /// Whether the worker list is valid.
    pub list_valid: bool,
    /// Since when the list has had the worker as draining or gone, and how long sends may continue after
    /// that.
    pub not_ready_since: Option<(Instant, Duration)>,
    /// Since when this process has known that an operator took the worker out of service.
    pub out_of_service: Option<Instant>,
    /// Since when the client has been disconnected.
    pub client_gone: Option<Instant>,
    /// When the dispatcher stops waiting for the answer.
    pub deadline: Instant,
    /// When repeats have to end.
    pub repeat_until: Option<Instant>,
    /// The remaining time that the worker was told of.
    pub passed_on: Option<Duration>,
    /// Attempts of the request in flight, including this one.
    pub attempts_in_flight: usize,
}

impl SendAudit {
    /// The rules violated by this write.
    pub fn violations(&self) -> impl Iterator<Item = Violation> {
        let late =
            |since: Instant, tolerance: Duration| self.now.saturating_duration_since(since) > tolerance;
        let left = self.deadline.saturating_duration_since(self.now);
        let checks = [
            (self.not_ready_since.is_some_and(|(since, grace)| late(since, grace)), Violation::DrainedWorker),
            (
                self.out_of_service.is_some_and(|since| late(since, STALL_TOLERANCE)),
                Violation::WorkerOutOfService,
            ),
            (!self.list_valid, Violation::InvalidList),
            (self.client_gone.is_some_and(|since| late(since, CLIENT_GONE_TOLERANCE)), Violation::ClientGone),
            (late(self.deadline, STALL_TOLERANCE), Violation::DeadlineOver),
            (self.passed_on.is_some_and(|told| told > left + STALL_TOLERANCE), Violation::PassedOnTooMuch),
            (
                self.repeat_until.is_some_and(|until| late(until, STALL_TOLERANCE)),
                Violation::RepeatWindowOver,
            ),
            (self.attempts_in_flight > 1, Violation::SecondAttempt),
        ];
        checks.into_iter().filter(|(violated, _)| *violated).map(|(_, violation)| violation)
    }
}
