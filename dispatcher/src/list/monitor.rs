//! Monitors the state of the worker list: each transition is logged with its reason, and first bytes that are
//! sent on an invalid list are counted (`flow::PermitStatsReport`). Operators see both through the admin listener.

use crate::arrival::ArrivalClock;
use crate::flow::Flows;
use lineroute_control::call_failure::CallFailure;
use lineroute_control::list_status::{ListState, ListStatus};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tracing::{info, warn};

/// Check interval when no expiry is due.
const CHECK_INTERVAL: Duration = Duration::from_secs(60);

/// Time allowed between a permit and the audit after the write, in milliseconds.
const PERMIT_TO_AUDIT_MS: u64 = 20;

/// Events that may change the state of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Discovery answered with its list, or without changes.
    Answered,
    /// A watch began that may wait for this long.
    WatchBegan(Duration),
    /// A call failed.
    Failed(CallFailure),
    /// A peer reports that discovery has answered it with this version.
    PeerAnswered(u64),
    /// The address of discovery has changed.
    Moved,
    Elapsed,
}

/// The state of the list, as reported to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListReport {
    pub state: ListState,
    /// The version that was applied last; `None`: there is none.
    pub version: Option<u64>,
    /// Time since the last answer of discovery.
    pub confirmed_ago: Option<Duration>,
    /// How often the list has stopped being valid.
    pub expired: u64,
    /// The shortest call that did not wait for changes: an upper bound of what discovery needs for one call.
    pub shortest_call: Option<Duration>,
    /// Reports of peers that discovery had answered them, and how many of these shortened the validity of the
    /// list.
    pub peer_reports: u64,
    pub shortened_by_peers: u64,
}

/// Tracks the state of one list.
pub struct ListMonitor {
    started: Instant,
    status: RefCell<ListStatus>,
    logged_state: Cell<ListState>,
    version: Cell<Option<u64>>,
    expired: Cell<u64>,
    peer_reports: Cell<u64>,
    shortened_by_peers: Cell<u64>,
    changed: Notify,
    /// Provides the earliest time at which data read now may have arrived.
    arrivals: Rc<ArrivalClock>,
    /// The start of the call that ended last.
    call_started: Cell<Instant>,
}

impl ListMonitor {
    /// Starts with a list in this state.
    pub fn new(status: ListStatus, arrivals: Rc<ArrivalClock>) -> Self {
        let logged_state = Cell::new(status.at(0));
        ListMonitor {
            started: Instant::now(),
            status: RefCell::new(status),
            logged_state,
            version: Cell::default(),
            expired: Cell::default(),
            peer_reports: Cell::default(),
            shortened_by_peers: Cell::default(),
            changed: Notify::new(),
            arrivals,
            call_started: Cell::new(Instant::now()),
        }
    }

    /// Notifies the core when the list becomes valid or invalid, because of a call or because time has passed.
    /// Never returns; may be dropped at any time.
    pub async fn run(self: Rc<Self>, flows: Flows) {
        loop {
            flows.update_list_validity();
            let due = self.expires().unwrap_or_else(|| Instant::now() + CHECK_INTERVAL);
            // Either branch may be dropped: the state is read again.
            tokio::select! {
                () = tokio::time::sleep_until(due.into()) => self.record(Change::Elapsed),
                () = self.changed.notified() => {}
            }
        }
    }

    fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// The earliest time at which the call that has just ended may have been answered. The answer may have been
    /// waiting unread while the list changed, but it did not arrive before the call was made.
    fn earliest_call_end(&self) -> u64 {
        self.earliest_arrival().max(self.millis_at(self.call_started.get()))
    }

    /// The earliest time at which data that is read now may have arrived.
    fn earliest_arrival(&self) -> u64 {
        self.millis_at(self.arrivals.earliest_arrival(Instant::now()))
    }

    fn millis_at(&self, instant: Instant) -> u64 {
        instant.saturating_duration_since(self.started).as_millis() as u64
    }

    /// Sets the version of the list in use, which was loaded at the start or sent by discovery.
    pub fn set_version(&self, version: u64) {
        self.version.set(Some(version));
    }

    /// From now on, peers report when discovery has answered them.
    pub fn expect_peer_reports(&self) {
        self.status.borrow_mut().expect_peer_reports();
    }

    /// Discovery has answered a call that was started at this time.
    pub fn answered(&self, call_started: Instant) {
        self.call_started.set(call_started);
        self.record(Change::Answered);
    }

    /// Like [`ListMonitor::answered`], for a call that did not wait for changes.
    pub fn queued_call_answered(&self, call_started: Instant) {
        self.status.borrow_mut().record_service_time(call_started.elapsed().as_millis() as u64);
        self.answered(call_started);
    }

    /// Whether calls of the whole tier at the same time may keep discovery busy for too long, as far as is
    /// known.
    pub fn crowd_outlasts_bound(&self) -> bool {
        self.status.borrow().congestion_may_exceed_bound()
    }

    /// A call that was started at this time has failed.
    pub fn failed(&self, call_started: Instant, failure: CallFailure) {
        self.call_started.set(call_started);
        self.record(Change::Failed(failure));
    }

    /// Applies an event to the state.
    pub fn record(&self, change: Change) {
        let now = self.now();
        {
            let mut status = self.status.borrow_mut();
            match change {
                Change::Answered => status.answered(self.earliest_call_end()),
                Change::WatchBegan(wait) => status.watch_started(now, wait.as_millis() as u64),
                Change::Failed(failure) => status.failed(self.earliest_call_end(), failure),
                Change::PeerAnswered(version) => {
                    let has_newer = self.version.get().is_none_or(|own| version > own);
                    self.peer_reports.set(self.peer_reports.get() + 1);
                    if status.peer_answered(now, self.earliest_arrival(), has_newer) {
                        self.shortened_by_peers.set(self.shortened_by_peers.get() + 1);
                        info!(
                            version = self.version.get(),
                            of_peer = version,
                            "worker list: a peer was told more"
                        );
                    }
                }
                Change::Moved => status.moved(now),
                Change::Elapsed => {}
            }
        }
        let (before, state) = (self.logged_state.get(), self.state());
        self.logged_state.set(state);
        self.log(before, state, change);
        if change != Change::Elapsed {
            self.changed.notify_one();
        }
    }

    /// Watches are renewed all the time. Only changes of validity, or of whether discovery answers, are logged.
    fn log(&self, before: ListState, state: ListState, change: Change) {
        let answered_lately = |state| matches!(state, ListState::Confirmed | ListState::Watched);
        if before == state || answered_lately(before) && answered_lately(state) {
            return;
        }
        let report = self.report();
        let confirmed_ms_ago = report.confirmed_ago.map(|ago| ago.as_millis() as u64);
        if state.is_valid() {
            info!(from = %before, to = %state, reason = ?change, version = report.version, confirmed_ms_ago,
                up_ms = self.now(), "worker list: state");
            return;
        }
        self.expired.set(self.expired.get() + 1);
        warn!(from = %before, to = %state, reason = ?change, version = report.version, confirmed_ms_ago,
            up_ms = self.now(), "worker list: state");
    }

    pub fn state(&self) -> ListState {
        self.status.borrow().at(self.now())
    }

    /// Whether the list is valid, or was when a permit may have been granted shortly before.
    pub fn was_recently_valid(&self) -> bool {
        let now = self.now();
        let status = self.status.borrow();
        status.at(now).is_valid() || status.at(now.saturating_sub(PERMIT_TO_AUDIT_MS)).is_valid()
    }

    /// How long the list stays valid without further answers: zero before it was confirmed, and the maximum if
    /// it does not expire or already has.
    pub fn valid_for(&self) -> Duration {
        if self.state() == ListState::Unconfirmed {
            return Duration::ZERO;
        }
        self.expires().map_or(Duration::MAX, |at| at.saturating_duration_since(Instant::now()))
    }

    /// When the list expires without further answers; `None` if it is invalid or does not expire.
    fn expires(&self) -> Option<Instant> {
        let valid = self.state().is_valid();
        let until = self.status.borrow().expires().filter(|_| valid);
        until.map(|at| self.started + Duration::from_millis(at))
    }

    /// The state, for operators.
    pub fn report(&self) -> ListReport {
        let now = self.now();
        let confirmed_at = self.status.borrow().confirmed_at();
        let shortest_call = self.status.borrow().service_time().shortest_call();
        ListReport {
            state: self.state(),
            version: self.version.get(),
            confirmed_ago: confirmed_at.map(|at| Duration::from_millis(now.saturating_sub(at))),
            expired: self.expired.get(),
            shortest_call: shortest_call.map(Duration::from_millis),
            peer_reports: self.peer_reports.get(),
            shortened_by_peers: self.shortened_by_peers.get(),
        }
    }
}
