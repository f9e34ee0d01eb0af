//! The trace: events recorded by workers, clients, relays, discovery and the fault injector, in order of time.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

/// Microseconds since the start of the run on the lab's clock, which the checker takes as true time.
pub type Micros = u64;

/// An event observed outside the program under test.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Event {
    pub at: Micros,
    #[serde(flatten)]
    pub what: What,
}

/// The fencing token of an action, from the header `X-Fence: RESOURCE TOKEN`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Fence {
    pub resource: String,
    pub token: u64,
}

/// Why a client received no response.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Silence {
    /// The connection could not be established; nothing was sent.
    Unreachable,
    /// The connection ended before a response.
    Broken,
    /// The client closed the connection.
    Left,
    /// No response within the budget and the slack.
    Waited,
}

/// How an attempt ended at its worker.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    Done,
    /// Rejected without having been started.
    TurnedAway,
    /// The key is being processed or has been processed, here or at another worker.
    Repeat,
    /// Cancelled by the dispatcher.
    GivenUp,
}

/// The kinds of events.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum What {
    /// A client sent a request; `job` is the same for all its retries.
    Asked {
        job: u64,
        call: String,
        class: String,
        key: Option<String>,
        member: usize,
        budget: Micros,
    },
    /// A client received a complete response.
    Answered {
        call: String,
        status: u16,
        body: String,
    },
    /// A client received no response.
    Unheard {
        call: String,
        why: Silence,
    },
    /// The client will not try again.
    Settled {
        job: u64,
        served: bool,
    },
    /// How long a client waited that had sent only part of a request. `heard`: it was answered, or its connection was
    /// closed.
    Stalled {
        member: usize,
        waited: Micros,
        heard: bool,
    },
    /// A member sent the first bytes of an attempt to a worker; `budget` is the time that it passed on in the request.
    Sent {
        worker: usize,
        member: usize,
        call: String,
        budget: Option<Micros>,
    },
    /// An attempt arrived at a worker; `first` is the arrival time of its first byte.
    Came {
        worker: usize,
        seq: u64,
        call: String,
        key: Option<String>,
        member: usize,
        first: Micros,
    },
    Began {
        worker: usize,
        seq: u64,
    },
    Ended {
        worker: usize,
        seq: u64,
        how: Ending,
        result: String,
    },
    /// A worker processed a dispatcher's cancellation of an attempt.
    Waived {
        worker: usize,
        call: String,
        member: usize,
    },
    /// A member sent the cancellation of an attempt over a link that was open. A hung worker processes it later.
    GivenUp {
        worker: usize,
        member: usize,
        call: String,
    },
    /// A worker's job update was accepted by the dispatcher, or all its tries failed.
    Heard {
        worker: usize,
        seq: u64,
        member: usize,
        state: String,
        taken: bool,
    },
    Probed {
        worker: usize,
        member: usize,
    },
    /// An action on behalf of the fleet, and whether the receiver accepted it. `knows` is false for receivers that do
    /// not check fencing tokens. `first` is the arrival time of its first byte: a hung receiver processes it later.
    Acted {
        first: Micros,
        worker: usize,
        member: usize,
        fence: Fence,
        accepted: bool,
        knows: bool,
    },
    /// Discovery has sent a worker's state to a member.
    Told {
        member: usize,
        worker: usize,
        state: String,
    },
    /// Discovery lists a worker in this state from now on, whether or not it has told any member.
    Listed {
        worker: usize,
        state: String,
    },
    /// Discovery becomes reachable or unreachable, for one member or, without `member`, for all.
    Reachable {
        member: Option<usize>,
        reachable: bool,
    },
    Started {
        member: usize,
        life: u32,
    },
    /// A process failed to start.
    Refused {
        member: usize,
        life: u32,
        words: String,
    },
    Killed {
        member: usize,
    },
    Stopped {
        member: usize,
    },
    Continued {
        member: usize,
    },
    /// A process ended without having been killed or terminated by the lab.
    Exited {
        member: usize,
        code: Option<i32>,
    },
    /// All connections from a member to a worker were reset.
    Reset {
        member: usize,
        worker: usize,
    },
    /// Resource usage of a process: CPU time so far in microseconds, peak memory in kilobytes, and the bytes carried so
    /// far by all links between members.
    Used {
        member: usize,
        cpu: u64,
        kb: u64,
        carried: u64,
    },
    /// A member's own permit counters.
    Permits {
        member: usize,
        /// Violations by rule.
        violations: BTreeMap<String, u64>,
        refused: u64,
        sent_on_invalid_list: u64,
    },
    /// The conditions of a link or a fault plan changed.
    Link {
        text: String,
    },
}

/// Collects the events of a run.
#[derive(Clone)]
pub struct Recorder {
    began: Instant,
    events: Arc<Mutex<Vec<Event>>>,
}

impl Default for Recorder {
    fn default() -> Self {
        Recorder { began: Instant::now(), events: Arc::default() }
    }
}

impl Recorder {
    /// Time since the start of the run.
    pub fn now(&self) -> Micros {
        self.began.elapsed().as_micros() as Micros
    }

    /// The instant at the given time of the run.
    pub fn instant(&self, at: Duration) -> Instant {
        self.began + at
    }

    pub fn note(&self, what: What) {
        // The time is read under the lock, so that events are stored in order of time.
        let mut events = self.events.lock().expect("no holder panics");
        let at = self.now();
        events.push(Event { at, what });
    }

    /// All events recorded so far.
    pub fn trace(&self) -> Vec<Event> {
        self.events.lock().expect("no holder panics").clone()
    }

    /// The value that `pick` returns for the newest event for which it returns one.
    pub fn latest<T>(&self, pick: impl Fn(&What) -> Option<T>) -> Option<T> {
        let events = self.events.lock().expect("no holder panics");
        events.iter().rev().find_map(|e| pick(&e.what))
    }
}
