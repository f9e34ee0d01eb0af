//! The other processes of this dispatcher. While the process is replaced two or more serve, and to clients, workers and operators
//! they are one: what reaches one of them and concerns another is passed on.
//!
//! Each process writes down where its admin console listens ([`registry`]) and introduces itself to those that it finds there, so
//! that they know of it even where the folder is full. Calls go to that console ([`protocol`]): no further listener is needed, and
//! the kernel says when a process is no more, since nobody listens there then. One that stands still gives no answer, and
//! nothing is said on its behalf.

mod client;
pub mod protocol;
mod registry;

use crate::overrides::Overrides;
use crate::targets::http::{HttpTargets, JobUpdate};
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
use std::time::Duration;
use tokio::sync::Semaphore;
use tracing::{info, warn};

/// How long a sibling may take to answer: it is on this machine.
const ANSWER_WITHIN: Duration = Duration::from_millis(300);
/// Between attempts to write this process down while the folder is full or fails.
const PUBLISH_AGAIN: Duration = Duration::from_millis(250);
/// Calls to siblings at a time: each takes a descriptor.
const MAX_CALLS: usize = 16;
/// Bytes of a token.
const TOKEN_BYTES: usize = 16;
/// The answer to a call that is meant for another process.
const WRONG_TOKEN: &str = "this is not the process that is meant";

/// What became of a job status update that this process has no job for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// A sibling has the job.
    Accepted,
    /// No process has it: it is over, or was never there.
    Unknown,
    /// A sibling that may have it can't be asked now: it has to be told again.
    Unavailable,
}

/// The other processes of this dispatcher, as this one knows them.
pub struct Siblings {
    own: Introduction,
    registry: Registry,
    /// Those that have introduced themselves here.
    introduced: RefCell<BTreeMap<u32, Introduction>>,
    calls: Semaphore,
    is_stopping: Cell<bool>,
}

impl Siblings {
    /// For a process whose console listens there.
    ///
    /// # Errors
    /// The system gives no random bytes.
    pub fn new(state_dir: &Path, console: SocketAddr) -> Result<Rc<Siblings>, String> {
        let mut token = [0; TOKEN_BYTES];
        getrandom::fill(&mut token).map_err(|e| format!("no random bytes: {e}"))?;
        let token = token.iter().map(|byte| format!("{byte:02x}")).collect();
        Ok(Rc::new(Siblings {
            own: Introduction { process: std::process::id(), console, token },
            registry: Registry::below(state_dir),
            introduced: RefCell::default(),
            calls: Semaphore::new(MAX_CALLS),
            is_stopping: Cell::new(false),
        }))
    }

    /// Writes this process down and introduces it to the others; takes over the overrides that they have. Where the folder is full
    /// or fails, the former is tried until it is done.
    pub async fn announce(self: &Rc<Self>, overrides: &Overrides) {
        if let Err(e) = self.registry.publish(&self.own) {
            warn!(error = %e, "siblings: this process can't be written down");
            actix_rt::spawn(self.clone().publish_later());
        }
        let others = self.others().unwrap_or_default();
        let introduce = others.iter().map(|other| self.ask(other, Request::Introduce(self.own.clone())));
        for (other, answer) in others.iter().zip(join_all(introduce).await) {
            match answer {
                Ok(Answer::Overrides(lines)) => {
                    let taken = restore(overrides, &lines);
                    info!(sibling = other.process, overrides = lines.len(), taken, "siblings: found one");
                }
                Ok(_) | Err(CallError::Gone) => {}
                Err(e) => warn!(sibling = other.process, error = %e, "siblings: one gives no answer"),
            }
        }
    }

    /// Dropped, this process stays unknown to those that start later and can read the folder; nothing else is lost.
    async fn publish_later(self: Rc<Self>) {
        while self.registry.publish(&self.own).is_err() {
            tokio::time::sleep(PUBLISH_AGAIN).await;
        }
        info!("siblings: this process is written down");
    }

    /// SIGTERM has come.
    pub fn stop(&self) {
        self.is_stopping.set(true);
    }

    /// Takes this process out of the folder.
    pub fn unregister(&self) {
        self.registry.remove(&self.own);
    }

    /// Those that may live.
    fn others(&self) -> std::io::Result<Vec<Introduction>> {
        let mut others = self.introduced.borrow().clone();
        others.extend(self.registry.all()?.into_iter().map(|known| (known.process, known)));
        others.remove(&self.own.process);
        Ok(others.into_values().collect())
    }

    async fn ask(&self, other: &Introduction, request: Request) -> Result<Answer, CallError> {
        // Never closed.
        let _turn = self.calls.acquire().await;
        let answer = call(other, request, ANSWER_WITHIN).await;
        if matches!(answer, Err(CallError::Gone)) {
            info!(sibling = other.process, "siblings: one is gone");
            self.introduced.borrow_mut().retain(|_, known| known != other);
            self.registry.remove(other);
        }
        answer
    }

    /// Passes a worker's update on to whoever has the job.
    pub async fn forward_update(&self, update: &JobUpdate) -> Delivery {
        let Ok(others) = self.others() else { return Delivery::Unavailable };
        let asked = others.iter().map(|other| self.ask(other, Request::JobUpdate(update.clone())));
        let mut delivery = Delivery::Unknown;
        for (other, answer) in others.iter().zip(join_all(asked).await) {
            match answer {
                Ok(Answer::Taken) => return Delivery::Accepted,
                Ok(_) | Err(CallError::Gone) => {}
                Err(e) => {
                    let (reference, state) = (&*update.id, &*update.state);
                    info!(sibling = other.process, reference, state, error = %e, "siblings: an update is refused");
                    delivery = Delivery::Unavailable;
                }
            }
        }
        delivery
    }

    /// Tells the others of an override. True: it is in force in each of them.
    pub async fn replicate_override(&self, record: &Record) -> bool {
        let Ok(others) = self.others() else { return false };
        let line = log_line(record);
        let told = others.iter().map(|other| self.ask(other, Request::Overrides(vec![line.clone()])));
        let answers = join_all(told).await;
        answers.iter().all(|answer| matches!(answer, Ok(Answer::Merged) | Err(CallError::Gone)))
    }

    /// What the others are at, as far as they answer.
    pub async fn states(&self) -> Vec<State> {
        let others = self.others().unwrap_or_default();
        let answers = join_all(others.iter().map(|other| self.ask(other, Request::State))).await;
        let state = |answer| match answer {
            Ok(Answer::State(state)) => Some(state),
            _ => None,
        };
        answers.into_iter().filter_map(state).collect()
    }

    /// Answers a sibling's line, without its first word.
    ///
    /// # Errors
    /// A reason that can follow `ERR`.
    pub fn answer(&self, line: &str, process: &ProcessParts) -> Result<Answer, String> {
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
                let taken = restore(process.overrides, &lines);
                info!(overrides = lines.len(), taken, "siblings: told of overrides");
                Answer::Merged
            }
            Request::JobUpdate(update) => match process.targets.apply_update(update) {
                true => Answer::Taken,
                false => Answer::NotOurs,
            },
            Request::State if self.is_stopping.get() => Answer::State(State::Stopping),
            Request::State if process.is_up => Answer::State(State::Serving),
            Request::State => Answer::State(State::Starting),
        })
    }
}

/// The parts of this process that siblings' calls concern.
pub struct ProcessParts<'a> {
    /// What operators have set.
    pub overrides: &'a Overrides,
    /// The attempts that are out.
    pub targets: &'a HttpTargets,
    /// It can serve clients.
    pub is_up: bool,
}

/// Brings a sibling's overrides into the table; how many were new.
fn restore(overrides: &Overrides, lines: &[String]) -> usize {
    let mut reader = LogReader::default();
    let records = lines.iter().flat_map(|line| reader.feed(line.as_bytes())).collect();
    overrides.restore(records)
}
