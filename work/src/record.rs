//! The record of a job: the request, its owner, each attempt, and the one final answer.
//!
//! ```text
//! accepted --begin_attempt--> in flight --end_attempt(never ran)--> accepted
//!                                 |
//!                                 +--end_attempt(may have run)--> doubtful
//! doubtful --begin_attempt, if the class permits--> in flight
//! accepted, in flight, doubtful --set_answer--> answered (final)
//! ```
//! A recovery owner can adopt a record in any of these states; the token distinguishes its versions from the old
//! owner's.

use lineroute_fleet::{Incarnation, Token};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use thiserror::Error;

/// Maximum size of a recorded body, in bytes.
pub const MAX_BODY_BYTES: usize = 64 << 10;
/// Maximum number of attempts in a record. Classes that allow more are not recorded.
pub const MAX_ATTEMPTS: usize = 16;

/// Identifies a job. Requests with the same key have the same id.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct JobId(pub [u8; 16]);

impl JobId {
    /// The id of a job with a key, which is scoped to the tenant.
    pub fn of_key(tenant: &str, key: &str) -> JobId {
        JobId::digest(b"key", tenant, key)
    }

    /// The id of a job without a key, from its reference. References are unique only within one incarnation of a
    /// dispatcher.
    pub fn of_reference(incarnation: Incarnation, reference: &str) -> JobId {
        JobId::digest(b"reference", &format!("{}/{}", incarnation.member.0, incarnation.number), reference)
    }

    fn digest(kind: &[u8], scope: &str, value: &str) -> JobId {
        let mut hasher = blake3::Hasher::new();
        for part in [kind, scope.as_bytes(), value.as_bytes()] {
            // Each part is preceded by its length, so that different pairs of strings can't give the same input.
            hasher.update(&(part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        let mut out = [0; 16];
        out.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        JobId(out)
    }
}

/// The effect of running the job a second time.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Effect {
    /// Harmless.
    Repeatable,
    /// Harmless under the same key, for this long after the first attempt.
    ByKey(Duration),
    /// Harmful: the job must not run twice.
    Once,
}

/// The request for a job.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct JobRequest {
    /// Name of the class. Class numbers differ between configuration files.
    pub class: String,
    /// Name of the tenant.
    pub tenant: Option<String>,
    /// The client's reference.
    pub reference: String,
    /// The client's key.
    pub key: Option<String>,
    /// Path of the request.
    pub path: String,
    /// Body of the request.
    pub body: Vec<u8>,
    /// The effect of a second run.
    pub effect: Effect,
}

impl JobRequest {
    /// Whether another request with the same key asks for the same job.
    pub fn same_as(&self, other: &JobRequest) -> bool {
        (&self.class, &self.tenant, &self.path, &self.body)
            == (&other.class, &other.tenant, &other.path, &other.body)
    }
}

/// State of an attempt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum AttemptState {
    /// The request may have been sent, so the job may be running.
    InFlight,
    /// The attempt has ended and is proven not to have run.
    NeverRan,
    /// The attempt has ended and may have run.
    MayHaveRun,
}

/// One attempt.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Attempt {
    /// The worker, by its id in the worker list.
    pub worker: String,
    /// Its state.
    pub state: AttemptState,
}

/// The final answer.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Answer {
    /// The worker's result.
    Served(Vec<u8>),
    /// The job never ran and may be requested again after this time.
    Refused(Duration),
    /// The job was not done, or failed.
    Failed,
    /// The job may have run. This can't be determined, and it must not be repeated without a check.
    InDoubt,
}

/// Why a transition of a record is not allowed.
#[derive(Clone, Copy, Debug, Eq, Error, Hash, PartialEq)]
pub enum TransitionError {
    /// An attempt is in flight.
    #[error("an attempt is in flight")]
    AttemptInFlight,
    /// The job has its final answer.
    #[error("the job has its final answer")]
    AlreadyAnswered,
    /// An attempt may have run, and the class does not permit a second run.
    #[error("an attempt may have run and the job must not run twice")]
    MustNotRepeat,
    /// The record holds the maximum number of attempts.
    #[error("the record holds the maximum number of attempts")]
    TooManyAttempts,
    /// No attempt is in flight.
    #[error("no attempt is in flight")]
    NoAttemptInFlight,
}

/// The record of a job.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Record {
    /// The job.
    pub id: JobId,
    /// The request.
    pub request: JobRequest,
    /// The current owner.
    pub owner: Incarnation,
    /// The token under which the record was adopted; 0 for the original owner.
    pub token: Token,
    /// Version number, incremented by each change of any owner.
    pub version: u64,
    /// The client's remaining time when this version was made.
    pub time_left: Duration,
    /// All attempts, in order.
    pub attempts: Vec<Attempt>,
    /// The final answer.
    pub answer: Option<Answer>,
}

impl Record {
    /// Creates the record of a newly accepted job.
    pub fn new(id: JobId, request: JobRequest, owner: Incarnation, time_left: Duration) -> Record {
        Record { id, request, owner, token: 0, version: 1, time_left, attempts: Vec::new(), answer: None }
    }

    /// Whether this version supersedes another one of the same job. Every version of a later owner supersedes those
    /// of earlier owners.
    pub fn is_newer(&self, other: &Record) -> bool {
        (self.token, self.version) > (other.token, other.version)
    }

    /// The attempt that is in flight, if any.
    pub fn attempt_in_flight(&self) -> Option<&Attempt> {
        self.attempts.last().filter(|a| a.state == AttemptState::InFlight)
    }

    /// Whether any attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|a| a.state != AttemptState::NeverRan)
    }

    /// Begins an attempt. Must be recorded before the request is sent to the worker.
    ///
    /// # Errors
    /// The attempt is not allowed.
    pub fn begin_attempt(&mut self, worker: &str, time_left: Duration) -> Result<(), TransitionError> {
        if self.answer.is_some() {
            return Err(TransitionError::AlreadyAnswered);
        }
        if self.attempt_in_flight().is_some() {
            return Err(TransitionError::AttemptInFlight);
        }
        if self.request.effect == Effect::Once && self.may_have_run() {
            return Err(TransitionError::MustNotRepeat);
        }
        if self.attempts.len() >= MAX_ATTEMPTS {
            return Err(TransitionError::TooManyAttempts);
        }
        self.attempts.push(Attempt { worker: worker.into(), state: AttemptState::InFlight });
        self.next_version(time_left);
        Ok(())
    }

    /// Ends the attempt that is in flight.
    ///
    /// # Errors
    /// No attempt is in flight.
    pub fn end_attempt(&mut self, ran: bool, time_left: Duration) -> Result<(), TransitionError> {
        let last = self
            .attempts
            .last_mut()
            .filter(|a| a.state == AttemptState::InFlight)
            .ok_or(TransitionError::NoAttemptInFlight)?;
        last.state = if ran { AttemptState::MayHaveRun } else { AttemptState::NeverRan };
        self.next_version(time_left);
        Ok(())
    }

    /// Sets the final answer.
    ///
    /// # Errors
    /// The record already has one.
    pub fn set_answer(&mut self, answer: Answer, time_left: Duration) -> Result<(), TransitionError> {
        if self.answer.is_some() {
            return Err(TransitionError::AlreadyAnswered);
        }
        self.answer = Some(answer);
        self.next_version(time_left);
        Ok(())
    }

    /// Transfers the record to a recovery owner. Nothing else changes: an attempt in flight stays in flight.
    pub fn adopt(&mut self, recovery_owner: Incarnation, token: Token, time_left: Duration) {
        (self.owner, self.token) = (recovery_owner, token);
        self.next_version(time_left);
    }

    fn next_version(&mut self, time_left: Duration) {
        self.version += 1;
        self.time_left = time_left;
    }

    /// Approximate memory use, in bytes.
    pub fn size(&self) -> usize {
        let length = |s: &Option<String>| s.as_ref().map_or(0, String::len);
        let request = &self.request;
        let answer = match &self.answer {
            Some(Answer::Served(result)) => result.len(),
            _ => 0,
        };
        let attempts: usize = self.attempts.iter().map(|a| a.worker.len() + 32).sum();
        let names = request.class.len() + request.reference.len() + request.path.len();
        256 + names + length(&request.tenant) + length(&request.key) + request.body.len() + attempts + answer
    }

    /// Encodes the record.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a record. Returns `None` if the bytes are not a valid record, exceed a limit, or have trailing data.
    pub fn decode(bytes: &[u8]) -> Option<Record> {
        let (record, rest) = postcard::take_from_bytes::<Record>(bytes).ok()?;
        let attempts = &record.attempts;
        let earlier = attempts.split_last().map_or(&[][..], |(_, earlier)| earlier);
        let fits = record.request.body.len() <= MAX_BODY_BYTES
            && attempts.len() <= MAX_ATTEMPTS
            && earlier.iter().all(|a| a.state != AttemptState::InFlight);
        (rest.is_empty() && fits).then_some(record)
    }
}
