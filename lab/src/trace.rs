//! What workers, clients, relays and the hand that breaks things saw, in the order of true time.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

/// Microseconds since the run began, by the lab's own clock: true time for the checker.
pub type Micros = u64;

/// One thing that somebody outside the program saw.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Event {
    pub at: Micros,
    #[serde(flatten)]
    pub what: What,
}

/// The fence that an act came with, as `X-Fence: RESOURCE TOKEN`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Fence {
    pub resource: String,
    pub token: u64,
}

/// Why a client has no answer.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Silence {
    /// No connection came up: nothing was sent.
    Unreachable,
    /// The connection ended before an answer.
    Broken,
    /// The client itself broke off.
    Left,
    /// Nothing came within the budget and the slack.
    Waited,
}

/// How an attempt ended at its worker.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    Done,
    /// Refused unstarted.
    TurnedAway,
    /// A key that is in work, or was, here or at another worker.
    Repeat,
    /// Called off by the dispatcher.
    GivenUp,
}

/// What was seen.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum What {
    /// A client sent a request; `job` stays the same through its retries.
    Asked {
        job: u64,
        call: String,
        class: String,
        key: Option<String>,
        member: usize,
        budget: Micros,
    },
    /// An answer came whole.
    Answered {
        call: String,
        status: u16,
        body: String,
    },
    Unheard {
        call: String,
        why: Silence,
    },
    /// The client will not try again.
    Settled {
        job: u64,
        served: bool,
    },
    /// A client that has begun a request, and sends no more of it, was let wait for so long. `heard`: it was answered, or its
    /// connection ended.
    Stalled {
        member: usize,
        waited: Micros,
        heard: bool,
    },
    /// A member wrote an attempt's first bytes to a worker, and the time that it passed on with them.
    Sent {
        worker: usize,
        member: usize,
        call: String,
        budget: Option<Micros>,
    },
    /// An attempt came at a worker; `first` is when its first byte did.
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
    /// A dispatcher gave an attempt up.
    Waived {
        worker: usize,
        call: String,
        member: usize,
    },
    /// A member wrote to a worker that it gives an attempt up, on a link that was open. A worker that hangs sees to it later.
    GivenUp {
        worker: usize,
        member: usize,
        call: String,
    },
    /// A worker's word was taken by a dispatcher, or at last by nobody.
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
    /// An act on behalf of the fleet, and whether the receiver let it pass. `knows` is false for receivers that
    /// look at no fence. `first` is when its first byte came: a receiver that hangs sees to it later.
    Acted {
        first: Micros,
        worker: usize,
        member: usize,
        fence: Fence,
        accepted: bool,
        knows: bool,
    },
    /// Discovery has written a worker's state to a member.
    Told {
        member: usize,
        worker: usize,
        state: String,
    },
    /// Discovery has a worker in this state from now on, whether it tells anybody or not.
    Listed {
        worker: usize,
        state: String,
    },
    /// Discovery can be reached from now on, by one member or by all, or can't.
    Reachable {
        member: Option<usize>,
        reachable: bool,
    },
    Started {
        member: usize,
        life: u32,
    },
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
    /// It ended without having been killed.
    Exited {
        member: usize,
        code: Option<i32>,
    },
    /// All connections of a member to a worker were reset.
    Reset {
        member: usize,
        worker: usize,
    },
    /// Processor time that a process has used so far, in microseconds, its memory, and bytes on all links between
    /// members.
    Used {
        member: usize,
        cpu: u64,
        kb: u64,
        carried: u64,
    },
    /// A member says that it broke a rule itself, or what it counts of its permits.
    Permits {
        member: usize,
        /// By the rule that it broke.
        violations: BTreeMap<String, u64>,
        refused: u64,
        sent_on_invalid_list: u64,
    },
    /// A link has changed.
    Link {
        text: String,
    },
}

/// Where everybody writes what he saw.
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
    /// The present moment of the run.
    pub fn now(&self) -> Micros {
        self.began.elapsed().as_micros() as Micros
    }

    /// The instant of a moment of the run.
    pub fn instant(&self, at: Duration) -> Instant {
        self.began + at
    }

    pub fn note(&self, what: What) {
        // The moment is read under the lock: the order of the list is that of time.
        let mut events = self.events.lock().expect("no holder panics");
        let at = self.now();
        events.push(Event { at, what });
    }

    /// All that was seen so far.
    pub fn trace(&self) -> Vec<Event> {
        self.events.lock().expect("no holder panics").clone()
    }

    /// The newest event that `pick` finds something in.
    pub fn latest<T>(&self, pick: impl Fn(&What) -> Option<T>) -> Option<T> {
        let events = self.events.lock().expect("no holder panics");
        events.iter().rev().find_map(|e| pick(&e.what))
    }
}
