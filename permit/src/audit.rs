//! What was done, judged behind the act. The rules are stated here on their own, with the slack that the platform allows,
//! and share nothing with the permits: a fault of a permit shows here.

use enum_map::Enum;
use std::time::{Duration, Instant};

/// How long after a client's end an attempt may still begin.
const CLIENT_GONE_SLACK: Duration = Duration::from_millis(100);

/// A process may be held up for so long between its clock and its write.
const HELD_UP_SLACK: Duration = Duration::from_millis(150);

/// A rule that the program broke.
#[derive(Clone, Copy, Debug, Enum, PartialEq, Eq)]
pub enum Violation {
    /// A first byte to a worker that this process had long known to drain or to be gone.
    DrainedWorker,
    /// A first byte to a worker that an operator had taken out before.
    WorkerOutOfService,
    /// A first byte by a list that was not valid.
    InvalidList,
    /// A first byte for a client that had gone.
    ClientGone,
    /// A first byte behind the deadline.
    DeadlineOver,
    /// A worker was told more time than its client had left.
    PassedOnTooMuch,
    /// A first byte of a repeat that workers no longer know as one.
    RepeatWindowOver,
    /// A second attempt beside one that is out.
    SecondAttempt,
    /// A connection was ended that owed its client an answer.
    AnswerOwed,
}

/// What is known right behind the write of a first byte.
#[derive(Clone, Copy, Debug)]
pub struct SendAudit {
    /// The clock, read behind the write.
    pub now: Instant,
    /// The list is valid.
    pub list_valid: bool,
    /// Since when the list has had the worker as draining or gone, and how long sends may go on then.
    pub not_ready_since: Option<(Instant, Duration)>,
    /// Since when this process knows that an operator has taken the worker out.
    pub out_of_service: Option<Instant>,
    /// Since when the client is gone.
    pub client_gone: Option<Instant>,
    /// When the dispatcher stops waiting.
    pub deadline: Instant,
    /// When repeats have to end.
    pub repeat_until: Option<Instant>,
    /// The time that the worker was told is left.
    pub passed_on: Option<Duration>,
    /// Attempts of the request that are out, this one included.
    pub attempts_in_flight: usize,
}

impl SendAudit {
    /// The rules that this write broke.
    pub fn violations(&self) -> impl Iterator<Item = Violation> {
        let late = |since: Instant, slack: Duration| self.now.saturating_duration_since(since) > slack;
        let left = self.deadline.saturating_duration_since(self.now);
        let found = [
            (self.not_ready_since.is_some_and(|(since, grace)| late(since, grace)), Violation::DrainedWorker),
            (
                self.out_of_service.is_some_and(|since| late(since, HELD_UP_SLACK)),
                Violation::WorkerOutOfService,
            ),
            (!self.list_valid, Violation::InvalidList),
            (self.client_gone.is_some_and(|since| late(since, CLIENT_GONE_SLACK)), Violation::ClientGone),
            (late(self.deadline, HELD_UP_SLACK), Violation::DeadlineOver),
            (self.passed_on.is_some_and(|told| told > left + HELD_UP_SLACK), Violation::PassedOnTooMuch),
            (self.repeat_until.is_some_and(|until| late(until, HELD_UP_SLACK)), Violation::RepeatWindowOver),
            (self.attempts_in_flight > 1, Violation::SecondAttempt),
        ];
        found.into_iter().filter(|(broken, _)| *broken).map(|(_, violation)| violation)
    }
}
