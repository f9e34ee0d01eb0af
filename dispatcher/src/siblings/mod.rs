//! The other processes of this dispatcher. While the process is replaced two or more of them serve, and clients, workers and
//! operators treat them as one, so messages that reach one process but concern another are forwarded.
//!
//! Each process publishes the address of its admin console ([`registry`]) and introduces itself to those that it finds there, so
//! that they know of it even if it can't publish because the file system is full. Calls go to the admin console ([`protocol`]): no
//! further listener is needed, and the kernel refuses connections to a process that has exited. A stalled process gives no answer,
//! and no other process answers on its behalf. What must be unique over all processes, the references of open requests, is decided
//! by the kernel without a call ([`reference_locks`]).

pub mod answers;
mod client;
pub mod protocol;
pub mod reference_locks;
mod registry;

use crate::memory::{MemoryBudget, Purpose};
use crate::overrides::Overrides;
use crate::targets::http::{HttpTargets, JobUpdate};
use crate::targets::shared_tubes::{Ownership, SharedTubes};
use client::{call, CallError};
use futures_util::future::join_all;
use lineroute_control::overrides::{log_line, LogReader, Record};
use protocol::{Answer, Call, Introduction, Request, State};
use registry::Registry;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;
use tracing::{info, warn};

/// How long a sibling may take to answer. Short, because it runs on this machine.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval between attempts to publish this process while writing to the registry fails.
const PUBLISH_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Concurrent calls to siblings; each takes a file descriptor.
const MAX_CALLS: usize = 16;
/// Bytes of a token.
const TOKEN_BYTES: usize = 16;
/// Reply to a call that is intended for another process.
const WRONG_TOKEN: &str = "this is not the process that is meant";

/// Result of forwarding a job status update or an answer that this process has no job for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// A sibling has the job and accepted it.
    Accepted,
    /// No process has the job: it is over, or never existed.
    Unknown,
    /// A sibling that may have the job can't be reached now, so the worker has to send the update again, or the answer stays where
    /// it is.
    Unavailable,
}

/// The other processes of this dispatcher that this one knows of.
pub struct Siblings {
    own: Introduction,
    registry: Registry,
    /// Processes that have introduced themselves, by process id.
    introduced: RefCell<BTreeMap<u32, Introduction>>,
    calls: Semaphore,
    is_stopping: Cell<bool>,
}

impl Siblings {
    /// Creates the state for a process whose admin console listens at this address.
    ///
    /// # Errors
    /// The operating system provides no random bytes.
    pub fn new(state_dir: &Path, console: SocketAddr) -> Result<Rc<Siblings>, String> {
        let mut token = [0; TOKEN_BYTES];
        getrandom::fill(&mut token).map_err(|e| format!("can't generate a token: no random bytes: {e}"))?;
        let token = token.iter().map(|byte| format!("{byte:02x}")).collect();
        Ok(Rc::new(Siblings {
            own: Introduction { process: std::process::id(), console, token },
            registry: Registry::in_state_dir(state_dir),
            introduced: RefCell::default(),
            calls: Semaphore::new(MAX_CALLS),
            is_stopping: Cell::new(false),
        }))
    }

    /// Publishes this process in the registry, introduces it to the other processes and takes over their overrides. If publishing
    /// fails it is retried in the background until it succeeds.
    pub async fn announce(self: &Rc<Self>, overrides: &Overrides) {
        if let Err(e) = self.registry.publish(&self.own) {
            warn!(error = %e, "siblings: can't publish this process in the registry; retrying");
            actix_rt::spawn(self.clone().retry_publishing());
        }
        let others = self.others().unwrap_or_default();
        let introduce =
            others.iter().map(|other| self.call_sibling(other, Request::Introduce(self.own.clone())));
        for (other, answer) in others.iter().zip(join_all(introduce).await) {
            match answer {
                Ok(Answer::Overrides(lines)) => {
                    let taken = merge_overrides(overrides, &lines);
                    info!(sibling = other.process, overrides = lines.len(), taken, "siblings: found one");
                }
                Ok(_) | Err(CallError::Exited) => {}
                Err(e) => warn!(sibling = other.process, error = %e, "siblings: introduction failed"),
            }
        }
    }

    /// Retries publishing until it succeeds. If dropped, processes that start later won't find this one; nothing else is lost.
    async fn retry_publishing(self: Rc<Self>) {
        while self.registry.publish(&self.own).is_err() {
            tokio::time::sleep(PUBLISH_RETRY_INTERVAL).await;
        }
        info!("siblings: published this process in the registry");
    }

    /// Called on SIGTERM: from now on this process reports that it is stopping.
    pub fn stop(&self) {
        self.is_stopping.set(true);
    }

    /// Removes this process from the registry.
    pub fn unregister(&self) {
        self.registry.remove(&self.own);
    }

    /// Whether another process has introduced itself and is not known to have exited.
    pub fn knows_any(&self) -> bool {
        !self.introduced.borrow().is_empty()
    }

    /// The other processes that may be running.
    fn others(&self) -> std::io::Result<Vec<Introduction>> {
        let mut others = self.introduced.borrow().clone();
        others.extend(self.registry.processes()?.into_iter().map(|known| (known.process, known)));
        others.remove(&self.own.process);
        Ok(others.into_values().collect())
    }

    async fn call_sibling(&self, other: &Introduction, request: Request) -> Result<Answer, CallError> {
        // The semaphore is never closed.
        let _permit = self.calls.acquire().await;
        let answer = call(other, request, CALL_TIMEOUT).await;
        if matches!(answer, Err(CallError::Exited)) {
            info!(sibling = other.process, "siblings: one is gone");
            self.introduced.borrow_mut().retain(|_, known| known != other);
            self.registry.remove(other);
        }
        answer
    }

    /// Forwards a worker's update to the process that has the job.
    pub async fn forward_update(&self, update: &JobUpdate) -> Delivery {
        let (reference, state) = (&*update.id, &*update.state);
        let request = || Request::JobUpdate(update.clone());
        self.offer(request, |sibling, error| {
            info!(sibling, reference, state, %error, "siblings: can't forward a job status update; refusing it");
        })
        .await
    }

    /// Offers what belongs to one process to all others. `failed` is told which of them can't be asked, and why.
    async fn offer(&self, request: impl Fn() -> Request, failed: impl Fn(u32, &CallError)) -> Delivery {
        let Ok(others) = self.others() else { return Delivery::Unavailable };
        let calls = others.iter().map(|other| self.call_sibling(other, request()));
        let mut delivery = Delivery::Unknown;
        for (other, answer) in others.iter().zip(join_all(calls).await) {
            match answer {
                Ok(Answer::Taken) => return Delivery::Accepted,
                Ok(Answer::Undecided) => delivery = Delivery::Unavailable,
                Ok(_) | Err(CallError::Exited) => {}
                Err(e) => {
                    failed(other.process, &e);
                    delivery = Delivery::Unavailable;
                }
            }
        }
        delivery
    }

    /// Sends an override to the other processes. Returns whether it is in force in each of them.
    pub async fn replicate_override(&self, record: &Record) -> bool {
        let Ok(others) = self.others() else { return false };
        let line = log_line(record);
        let calls =
            others.iter().map(|other| self.call_sibling(other, Request::Overrides(vec![line.clone()])));
        let answers = join_all(calls).await;
        answers.iter().all(|answer| matches!(answer, Ok(Answer::Merged) | Err(CallError::Exited)))
    }

    /// The states of the other processes that answer.
    pub async fn states(&self) -> Vec<State> {
        let others = self.others().unwrap_or_default();
        let answers = join_all(others.iter().map(|other| self.call_sibling(other, Request::State))).await;
        let state = |answer| match answer {
            Ok(Answer::State(state)) => Some(state),
            _ => None,
        };
        answers.into_iter().filter_map(state).collect()
    }

    /// Handles a call from a sibling; `line` comes without the prefix.
    ///
    /// # Errors
    /// The reason, to be sent after `ERR`.
    pub fn answer(&self, line: &str, process: &ProcessContext) -> Result<Answer, String> {
        let Call { token, request } = serde_json::from_str(line).map_err(|e| format!("not a call: {e}"))?;
        if token != self.own.token {
            return Err(WRONG_TOKEN.into());
        }
        Ok(match request {
            Request::Introduce(other) => {
                info!(sibling = other.process, "siblings: one has started");
                self.introduced.borrow_mut().insert(other.process, other);
                let lines = process
                    .overrides
                    .with(|table| table.by_fingerprint().values().map(|r| log_line(r)).collect());
                Answer::Overrides(lines)
            }
            Request::Overrides(lines) => {
                let taken = merge_overrides(process.overrides, &lines);
                info!(overrides = lines.len(), taken, "siblings: received overrides");
                Answer::Merged
            }
            // Without memory for it the caller refuses the update, and the worker sends it again.
            Request::JobUpdate(update) => match process.targets.apply_update(JobUpdate {
                lease: Some(Arc::new(vec![process
                    .memory
                    .try_lease(line.len(), Purpose::Worker)
                    .ok_or("no memory")?])),
                ..update
            }) {
                true => Answer::Taken,
                false => Answer::NotOurs,
            },
            Request::TubeAnswer(answer) => {
                let lease =
                    process.memory.try_lease(answer.encoded_len(), Purpose::Worker).ok_or("no memory")?;
                match process.tubes.accept(&answer, lease) {
                    Ownership::Accepted => Answer::Taken,
                    Ownership::NotOurs => Answer::NotOurs,
                    Ownership::Undecided => Answer::Undecided,
                }
            }
            Request::State if self.is_stopping.get() => Answer::State(State::Stopping),
            Request::State if process.is_up => Answer::State(State::Serving),
            Request::State => Answer::State(State::Starting),
        })
    }
}

/// The state of this process that calls from siblings read or change.
pub struct ProcessContext<'a> {
    /// Overrides set by operators.
    pub overrides: &'a Overrides,
    /// The HTTP targets, with the attempts in progress.
    pub targets: &'a HttpTargets,
    /// The targets that read answers tubes.
    pub tubes: &'a SharedTubes,
    /// Memory for results.
    pub memory: &'a MemoryBudget,
    /// Whether it is ready to serve clients.
    pub is_up: bool,
}

/// Merges a sibling's overrides into the table; returns how many were new.
fn merge_overrides(overrides: &Overrides, lines: &[String]) -> usize {
    let mut reader = LogReader::default();
    let records = lines.iter().flat_map(|line| reader.feed(line.as_bytes())).collect();
    overrides.restore(records)
}
