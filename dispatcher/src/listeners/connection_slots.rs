//! Connection slots: each client connection, whatever its protocol, takes one. They protect usual clients against
//! those that connect and send nothing, send slowly, or never leave: a request must be whole in time, and when all
//! slots are taken, the least useful connection is closed for the new one.

use crate::arrival::ArrivalClock;
use lineroute_permit::{CloseFacts, CloseReason, ConnectionState};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::task::Waker;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// How long a new connection may say nothing. It is not one that idles between requests.
pub const FIRST_BYTE_WITHIN: Duration = Duration::from_millis(2000);
/// How long a request may take from its first byte to its last; the first one, from the connection's start.
pub const WHOLE_WITHIN: Duration = Duration::from_millis(2500);
/// A usual client's first bytes come within this time: a silent connection older than that is closed first.
const FIRST_BYTE_USUALLY_WITHIN: Duration = Duration::from_millis(500);
/// Between two looks at who is late.
const CHECK_EVERY: Duration = Duration::from_millis(100);

/// What a connection is at.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stage {
    /// Nothing has come yet.
    Silent,
    /// The head of a request is coming; or its body, which is timed where it is read.
    Head,
    Body,
    /// A body passes as it comes; whoever passes it on watches its pace.
    Streaming,
    /// A request is in hand: its client is owed an answer.
    InWork,
    /// Between requests.
    Idle,
    /// It is being closed; the last bytes are on their way.
    Ending,
}

/// Why a connection is cut from outside.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Cut {
    /// Its slot is needed, or the other side has gone.
    Away,
    /// A request took too long, or its head was too long.
    Late,
    TooLong,
    /// It can be read in two ways.
    Malformed,
}

/// The slot of one connection: its stage, and why it is to be closed.
pub struct ConnectionSlot {
    stage: Cell<Stage>,
    since: Cell<Instant>,
    /// A worker's calls come on it: it goes last.
    worker: Cell<bool>,
    /// An answer was given on it.
    answered: Cell<bool>,
    /// The other side has ended the connection, or it broke.
    left: Cell<bool>,
    cut: Cell<Option<Cut>>,
    changed: Notify,
    /// Who waits to read on until the request in hand is answered.
    reader: Cell<Option<Waker>>,
    /// Since when there may have been bytes unread; `None`: there were none at the last look.
    unread_since: Cell<Option<Instant>>,
    /// When what was read last may have come, at the earliest.
    arrived: Cell<Instant>,
    arrivals: Rc<ArrivalClock>,
}

impl ConnectionSlot {
    /// What the connection is at.
    pub fn stage(&self) -> Stage {
        self.stage.get()
    }

    /// The connection is at another stage from now on.
    pub fn set(&self, stage: Stage) {
        let was = self.stage.replace(stage);
        // A request's time runs from its first byte, the first one's from the start.
        if !matches!((was, stage), (Stage::Silent, Stage::Head) | (Stage::Head, Stage::Body)) {
            self.since.set(Instant::now());
        }
        self.answered.set(self.answered.get() || stage == Stage::Idle);
        if let Some(reader) = self.reader.take().filter(|_| stage != Stage::InWork) {
            reader.wake();
        }
    }

    /// There are bytes that are not read yet, since this moment at the latest.
    pub fn has_unread(&self, since: Instant) {
        let since = self.unread_since.get().map_or(since, |before| before.min(since));
        self.unread_since.set(Some(since));
    }

    /// There are bytes that are not read yet, as the event loop tells.
    pub fn has_unread_now(&self) {
        self.has_unread(self.arrivals.earliest_arrival(Instant::now()));
    }

    /// Whether there may be bytes that are not read yet.
    pub fn may_have_unread(&self) -> bool {
        self.unread_since.get().is_some()
    }

    /// All that has come was read.
    pub fn has_read_all(&self) {
        self.unread_since.set(None);
    }

    /// When what was read last may have come, at the earliest.
    pub fn arrived(&self) -> Instant {
        self.arrived.get()
    }

    /// Something was read.
    pub fn bytes_received(&self) {
        let earliest = self.arrivals.earliest_arrival(Instant::now());
        self.arrived.set(self.unread_since.get().map_or(earliest, |since| since.min(earliest)));
        if matches!(self.stage.get(), Stage::Silent | Stage::Idle) {
            self.set(Stage::Head);
        }
    }

    /// Nothing of a request has come since the last answer; or nothing at all, where a first one would have by now.
    pub fn is_idle(&self) -> bool {
        match self.stage.get() {
            Stage::Idle => true,
            Stage::Silent => self.since.get().elapsed() > FIRST_BYTE_USUALLY_WITHIN,
            _ => false,
        }
    }

    /// Wakes this reader when the request in hand is answered.
    pub fn wait_until_answered(&self, reader: &Waker) {
        self.reader.set(Some(reader.clone()));
    }

    /// Marks the connection as a worker's: it is closed for others last.
    pub fn is_workers(&self) {
        self.worker.set(true);
    }

    /// Whether an answer was given on it.
    pub fn was_answered(&self) -> bool {
        self.answered.get()
    }

    /// When the request that is coming must be whole.
    pub fn whole_by(&self) -> Instant {
        self.since.get() + WHOLE_WITHIN
    }

    /// The other side has ended the connection, or it broke. A request that is in hand is nobody's from here on; one
    /// that is still coming is judged when it is whole (`has_left`).
    pub fn peer_closed(&self) {
        self.left.set(true);
        if matches!(self.stage.get(), Stage::InWork | Stage::Streaming) {
            self.cut(Cut::Away);
        }
    }

    /// Whether whoever sent the request has gone: then it must not be taken.
    pub fn has_left(&self) -> bool {
        self.left.get()
    }

    /// What is known for the permit to end it for this reason.
    pub fn close_facts(&self, reason: CloseReason) -> CloseFacts {
        let state = match self.stage.get() {
            Stage::Silent | Stage::Idle | Stage::Ending => ConnectionState::Idle,
            Stage::Head | Stage::Body => ConnectionState::Receiving,
            Stage::InWork => ConnectionState::AwaitingResponse,
            Stage::Streaming => ConnectionState::Responding,
        };
        CloseFacts { state, reason }
    }

    /// The same where it was cut.
    pub fn cut_facts(&self, cut: Cut) -> CloseFacts {
        self.close_facts(match cut {
            Cut::Away if self.has_left() => CloseReason::ClientClosed,
            Cut::Away => CloseReason::SlotNeeded,
            Cut::Late | Cut::TooLong | Cut::Malformed => CloseReason::BadRequest,
        })
    }

    /// Has the connection closed at once. The first cause stands, unless the slot itself is needed: then nothing more is
    /// said.
    pub fn cut(&self, cut: Cut) {
        let reason = if cut == Cut::Away { cut } else { self.cut.get().unwrap_or(cut) };
        self.cut.set(Some(reason));
        self.changed.notify_one();
    }

    /// It stays although it was cut: it owes an answer by now.
    pub fn keep(&self) {
        self.cut.set(None);
    }

    /// Resolves when the connection is to end at once.
    pub async fn until_cut(&self) -> Cut {
        loop {
            if let Some(cut) = self.cut.get() {
                return cut;
            }
            self.changed.notified().await;
        }
    }

    /// Resolves when the slot itself is needed, whatever else the connection was cut for before.
    pub async fn until_away(&self) {
        while self.cut.get() != Some(Cut::Away) {
            self.changed.notified().await;
        }
    }

    /// How soon it gives way, from the smallest up, and for how long it has been so. `None`: it does not.
    fn eviction_rank(&self, now: Instant) -> Option<(u8, Instant)> {
        let since = self.since.get();
        let old = now.saturating_duration_since(since) > FIRST_BYTE_USUALLY_WITHIN;
        let rank = match self.stage.get() {
            _ if self.cut.get() == Some(Cut::Away) => return None,
            Stage::Ending => 0,
            _ if self.cut.get().is_some() => return None,
            Stage::Silent if old => 1,
            Stage::Head | Stage::Body if old => 2,
            Stage::Idle => 3,
            Stage::Silent => 4,
            Stage::Head | Stage::Body | Stage::Streaming | Stage::InWork => return None,
        };
        Some((rank + if self.worker.get() { 8 } else { 0 }, since))
    }
}

/// All connection slots of a listener.
pub struct ConnectionSlots {
    max: usize,
    taken: RefCell<BTreeMap<u64, Rc<ConnectionSlot>>>,
    next: Cell<u64>,
    /// When what is read on the connections may have come.
    pub arrivals: Rc<ArrivalClock>,
}

/// A taken slot, released when this is dropped.
pub struct TakenSlot {
    slots: Rc<ConnectionSlots>,
    number: u64,
    /// The slot itself.
    pub slot: Rc<ConnectionSlot>,
}

impl Drop for TakenSlot {
    fn drop(&mut self) {
        self.slots.taken.borrow_mut().remove(&self.number);
    }
}

impl ConnectionSlots {
    /// So many slots, all free.
    pub fn new(max: usize, arrivals: Rc<ArrivalClock>) -> Rc<Self> {
        Rc::new(ConnectionSlots { max, taken: RefCell::default(), next: Cell::new(0), arrivals })
    }

    /// How many are taken.
    pub fn count(&self) -> usize {
        self.taken.borrow().len()
    }

    /// A slot for a new connection. When all are taken another connection gives way; `None`: all are in work.
    pub fn take(self: &Rc<Self>) -> Option<TakenSlot> {
        let now = Instant::now();
        let slot = Rc::new(ConnectionSlot {
            stage: Cell::new(Stage::Silent),
            since: Cell::new(now),
            worker: Cell::new(false),
            answered: Cell::new(false),
            left: Cell::new(false),
            cut: Cell::new(None),
            changed: Notify::new(),
            reader: Cell::new(None),
            unread_since: Cell::new(None),
            arrived: Cell::new(now),
            arrivals: self.arrivals.clone(),
        });
        let mut taken = self.taken.borrow_mut();
        // Those that were cut and have not ended yet leave in a moment.
        if taken.values().filter(|s| s.cut.get() != Some(Cut::Away)).count() >= self.max {
            let first = taken.values().filter_map(|s| Some((s.eviction_rank(now)?, s))).min_by_key(|s| s.0);
            first?.1.cut(Cut::Away);
        }
        let number = self.next.replace(self.next.get() + 1);
        taken.insert(number, slot.clone());
        Some(TakenSlot { slots: self.clone(), number, slot })
    }

    /// Ends what takes too long. Never ends itself.
    pub async fn watch(self: Rc<Self>) {
        loop {
            tokio::time::sleep(CHECK_EVERY).await;
            let now = Instant::now();
            for slot in self.taken.borrow().values() {
                let within = match slot.stage.get() {
                    Stage::Silent => FIRST_BYTE_WITHIN,
                    Stage::Head => WHOLE_WITHIN,
                    _ => continue,
                };
                if now.saturating_duration_since(slot.since.get()) >= within {
                    slot.cut(if slot.stage.get() == Stage::Silent { Cut::Away } else { Cut::Late });
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Full of connections that will not leave: a newcomer still gets a slot, and nobody in work loses his.
    #[test]
    fn idle_connections_give_way_oldest_first_and_those_in_work_never() {
        let slots = ConnectionSlots::new(3, Rc::new(ArrivalClock::new(Instant::now())));
        let taken: Vec<_> = (0..3).filter_map(|_| slots.take()).collect();
        taken[0].slot.set(Stage::InWork);
        taken[1].slot.set(Stage::Idle);
        taken[2].slot.set(Stage::Idle);
        let newcomer = slots.take().expect("a slot");
        assert_eq!(taken[1].slot.cut.get(), Some(Cut::Away));
        assert_eq!([&taken[0], &taken[2], &newcomer].map(|t| t.slot.cut.get()), [None; 3]);
        newcomer.slot.set(Stage::InWork);
        taken[2].slot.set(Stage::InWork);
        assert!(slots.take().is_none());
    }
}
