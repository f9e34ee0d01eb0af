//! Connection slots: each client connection, whatever its protocol, occupies one. They protect well-behaved clients from
//! those that connect and send nothing, send slowly, or never disconnect: a request must be complete in time, and when all
//! slots are occupied, the least useful connection is closed in favour of the new one.

use crate::arrival::ArrivalClock;
use crate::memory::Reclaim;
use lineroute_permit::{CloseFacts, CloseReason, ConnectionState};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tracing::info;

/// How long a new connection may send nothing. Does not apply to connections that are idle between requests.
pub const FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(2000);
/// Time limit for receiving a request, from its first byte; for the first request, from the start of the connection.
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// Well-behaved clients send their first bytes within this time; connections that stay silent longer are evicted first.
const TYPICAL_FIRST_BYTE_DELAY: Duration = Duration::from_millis(500);
/// Interval between checks for connections that have exceeded a time limit.
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Bytes that are read at a time, so that the server can process them before more come and other connections get their turn.
const MAX_BYTES_PER_READ: usize = 8 << 10;
/// Bytes that are read at a time where they may hold many requests or chunks. The server parses all of what was read, and each
/// request and chunk takes far more memory parsed than it has bytes.
const MAX_UNDELIMITED_BYTES_PER_READ: usize = 1 << 10;
/// A chunk of at least this size is followed by larger reads.
const LARGE_CHUNK_BYTES: usize = 512;

/// Bytes of a response body that the server may hold in its buffer before the socket takes some. By itself it would hold 40 KiB.
const MAX_UNSENT_BYTES: usize = 8 << 10;

/// The stage of a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stage {
    /// No byte has arrived yet.
    Silent,
    /// The head of a request is being received; or its body, whose time limit is enforced where it is read.
    Head,
    Body,
    /// The body of a request is not read until there is memory for it.
    AwaitingMemory,
    /// A request body is being streamed; the code that forwards it enforces a minimum rate.
    Streaming,
    /// A request was received and its response is pending.
    Processing,
    /// Between requests.
    Idle,
    /// The connection is being closed; the last bytes are in transit.
    Closing,
}

/// Why a connection is aborted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AbortCause {
    /// Its slot is needed, the peer has gone, or it never sent anything. No response is written.
    Discard,
    /// A request took too long to arrive, or its head is too large.
    Timeout,
    HeadTooLarge,
    /// The framing of a request is ambiguous.
    Malformed,
    /// Memory that it holds is needed, or there is none for what it sends.
    MemoryNeeded,
    /// The client does not take its response, and its memory or its slot is needed. The response is truncated.
    ResponseStalled,
}

/// The slot of one connection: its stage, and whether it is to be aborted.
pub struct ConnectionSlot {
    stage: Cell<Stage>,
    stage_since: Cell<Instant>,
    /// A worker sends its updates on this connection, so it is evicted last.
    worker: Cell<bool>,
    /// At least one response was sent.
    answered: Cell<bool>,
    /// The peer has closed the connection, or it failed.
    peer_closed: Cell<bool>,
    /// Bytes leased for an incomplete request, and since when.
    leased: Cell<usize>,
    leased_since: Cell<Instant>,
    /// Bytes leased for the buffers of the connection, beyond what every connection may hold.
    leased_for_buffers: Cell<usize>,
    /// Bytes of the response in progress that were not handed over to the socket yet; `None` if there is none.
    response_left: Cell<Option<usize>>,
    /// Bytes of response bodies that the server holds in its buffer, and the task that gives it more.
    unsent: Cell<usize>,
    response_task: Cell<Option<Waker>>,
    abort: Cell<Option<AbortCause>>,
    aborted: Notify,
    /// Bytes that may be read until the server has processed them.
    read_limit: Cell<usize>,
    /// A streamed body has no room.
    reads_paused: Cell<bool>,
    /// The task that continues reading once the current request is answered.
    reader: Cell<Option<Waker>>,
    /// Since when there may be unread bytes; `None` if there were none at the last check.
    unread_since: Cell<Option<Instant>>,
    /// Earliest time at which the bytes read last may have arrived.
    arrived: Cell<Instant>,
    arrivals: Rc<ArrivalClock>,
}

impl ConnectionSlot {
    /// The current stage.
    pub fn stage(&self) -> Stage {
        self.stage.get()
    }

    /// Moves the connection to another stage.
    pub fn set_stage(&self, stage: Stage) {
        let was = self.stage.replace(stage);
        // The time limit of a request runs from its first byte, that of the first one from the start of the connection.
        let continues_request = matches!(
            (was, stage),
            (Stage::Silent, Stage::Head)
                | (Stage::Head, Stage::Body)
                | (Stage::Body, Stage::AwaitingMemory)
                | (Stage::AwaitingMemory, Stage::Body)
        );
        if !continues_request {
            self.stage_since.set(Instant::now());
        }
        self.answered.set(self.answered.get() || stage == Stage::Idle);
        if matches!(stage, Stage::Idle | Stage::Closing) {
            self.read_limit.set(MAX_UNDELIMITED_BYTES_PER_READ);
            self.reads_paused.set(false);
        }
        if !self.leaves_data_unread() {
            self.reader.take().map(Waker::wake).unwrap_or_default();
        }
    }

    /// Whether data that arrives now stays in the kernel.
    pub fn leaves_data_unread(&self) -> bool {
        matches!(self.stage.get(), Stage::Processing | Stage::AwaitingMemory) || self.reads_paused.get()
    }

    /// Leaves what arrives in the kernel while a streamed body has no room, or reads on.
    pub fn pause_reads(&self, is_paused: bool) {
        self.reads_paused.set(is_paused);
        if !self.leaves_data_unread() {
            self.reader.take().map(Waker::wake).unwrap_or_default();
        }
    }

    /// Bytes that may be read until the server has processed them.
    pub fn read_limit(&self) -> usize {
        self.read_limit.get()
    }

    /// Limits reads while a body is received of which `left` bytes are left, if that is known, and `last_chunk` were received last, when
    /// there is memory for `room` more bytes. No more is read than belongs to the body, little of a body in small chunks, and little
    /// beyond the memory that there is.
    pub fn limit_body_reads(&self, left: Option<u64>, last_chunk: usize, room: usize) {
        let with_room = room.clamp(MAX_UNDELIMITED_BYTES_PER_READ, MAX_BYTES_PER_READ);
        let limit = match left {
            Some(left) => usize::try_from(left).unwrap_or(usize::MAX).min(with_room),
            None if last_chunk >= LARGE_CHUNK_BYTES => with_room,
            None => MAX_UNDELIMITED_BYTES_PER_READ,
        };
        self.read_limit.set(limit.max(1));
    }

    /// Records the bytes that are leased for the request that is being received.
    pub fn set_leased(&self, bytes: usize) {
        if bytes > self.leased.replace(bytes) {
            self.leased_since.set(Instant::now());
        }
    }

    /// Records the bytes that are leased for buffers of the connection.
    pub fn set_leased_for_buffers(&self, bytes: usize) {
        self.leased_for_buffers.set(bytes);
        self.leased_since.set(Instant::now());
    }

    /// Records that the client has taken a part of its response, of which `left` bytes are left.
    pub fn response_progressed(&self, left: usize) {
        self.response_left.set(Some(left));
        self.leased_since.set(Instant::now());
    }

    /// Whether the server may be given more of a response body: not while it holds [`MAX_UNSENT_BYTES`] that the socket has not taken.
    pub fn poll_response_room(&self, cx: &mut Context<'_>) -> Poll<()> {
        if self.unsent.get() < MAX_UNSENT_BYTES {
            return Poll::Ready(());
        }
        self.response_task.set(Some(cx.waker().clone()));
        Poll::Pending
    }

    /// Records that the server was given bytes of a response body.
    pub fn response_bytes_given(&self, bytes: usize) {
        self.unsent.set(self.unsent.get() + bytes);
    }

    /// Records that the socket has taken bytes, of a response body or around it.
    pub fn bytes_sent(&self, bytes: usize) {
        self.unsent.set(self.unsent.get().saturating_sub(bytes));
        self.response_task.take().map(Waker::wake).unwrap_or_default();
    }

    /// Records that no response is in progress any more.
    pub fn response_ended(&self) {
        self.response_left.set(None);
    }

    /// The cause with which the connection is closed in favour of others; `idle_cause` unless a response is in progress.
    fn cause_to_give_way(&self, idle_cause: AbortCause) -> AbortCause {
        match self.response_left.get() {
            Some(_) => AbortCause::ResponseStalled,
            None => idle_cause,
        }
    }

    /// Whether a response is in progress of which the client has taken nothing for long.
    fn is_response_stalled(&self, now: Instant) -> bool {
        let old = now.saturating_duration_since(self.leased_since.get()) > TYPICAL_FIRST_BYTE_DELAY;
        old && self.response_left.get().is_some()
    }

    /// The memory that closing this connection would free; `None` if it must stay open, or has not held it for long.
    fn reclaimable(&self, now: Instant) -> Option<usize> {
        let response = self.response_left.get();
        let bytes = self.leased.get() + self.leased_for_buffers.get() + response.unwrap_or(0);
        let old = now.saturating_duration_since(self.leased_since.get()) > TYPICAL_FIRST_BYTE_DELAY;
        let is_receiving_or_idle =
            matches!(self.stage.get(), Stage::Head | Stage::Body | Stage::AwaitingMemory | Stage::Idle);
        let may_close = is_receiving_or_idle || response.is_some();
        (bytes > 0 && old && may_close && self.abort.get().is_none()).then_some(bytes)
    }

    /// Records that there are unread bytes, which may have been there since this time.
    pub fn mark_unread_since(&self, since: Instant) {
        let since = self.unread_since.get().map_or(since, |before| before.min(since));
        self.unread_since.set(Some(since));
    }

    /// Records that the event loop has reported unread bytes.
    pub fn mark_unread_now(&self) {
        self.mark_unread_since(self.arrivals.earliest_arrival(Instant::now()));
    }

    /// Whether there may be unread bytes.
    pub fn may_have_unread(&self) -> bool {
        self.unread_since.get().is_some()
    }

    /// Records that all bytes that have arrived were read.
    pub fn mark_all_read(&self) {
        self.unread_since.set(None);
    }

    /// Earliest time at which the bytes read last may have arrived.
    pub fn arrived(&self) -> Instant {
        self.arrived.get()
    }

    /// Records that bytes were read: sets their arrival time, and starts a request if none was in progress.
    pub fn bytes_received(&self) {
        let earliest = self.arrivals.earliest_arrival(Instant::now());
        self.arrived.set(self.unread_since.get().map_or(earliest, |since| since.min(earliest)));
        if matches!(self.stage.get(), Stage::Silent | Stage::Idle) {
            self.set_stage(Stage::Head);
        }
    }

    /// Whether nothing has arrived since the last response, or nothing at all for longer than a first request usually takes.
    pub fn is_idle(&self) -> bool {
        match self.stage.get() {
            Stage::Idle => true,
            Stage::Silent => self.stage_since.get().elapsed() > TYPICAL_FIRST_BYTE_DELAY,
            _ => false,
        }
    }

    /// Wakes this task when the current request is answered.
    pub fn wait_until_answered(&self, reader: &Waker) {
        self.reader.set(Some(reader.clone()));
    }

    /// Marks the connection as a worker's, which is evicted last.
    pub fn mark_as_worker(&self) {
        self.worker.set(true);
    }

    /// Whether a response was sent on this connection.
    pub fn has_been_answered(&self) -> bool {
        self.answered.get()
    }

    /// Deadline for receiving the current request.
    pub fn receive_deadline(&self) -> Instant {
        self.stage_since.get() + REQUEST_TIMEOUT
    }

    /// Records that the peer has closed the connection, or that it failed. A request whose response is pending is abandoned at
    /// once; for one that is still being received, `has_peer_closed` is checked when it is complete.
    pub fn peer_closed(&self) {
        self.peer_closed.set(true);
        if matches!(self.stage.get(), Stage::Processing | Stage::Streaming) {
            self.abort(AbortCause::Discard);
        }
    }

    /// Whether the peer has closed the connection. Its request must not be accepted then.
    pub fn has_peer_closed(&self) -> bool {
        self.peer_closed.get()
    }

    /// The facts that decide whether the connection may be closed for this reason.
    pub fn close_facts(&self, reason: CloseReason) -> CloseFacts {
        let state = match self.stage.get() {
            _ if self.response_left.get().is_some() => ConnectionState::Responding,
            Stage::Silent | Stage::Idle | Stage::Closing => ConnectionState::Idle,
            Stage::Head | Stage::Body | Stage::AwaitingMemory => ConnectionState::Receiving,
            Stage::Processing => ConnectionState::AwaitingResponse,
            Stage::Streaming => ConnectionState::Responding,
        };
        CloseFacts { state, reason }
    }

    /// The facts that decide whether the connection may be closed for this abort.
    pub fn abort_facts(&self, cause: AbortCause) -> CloseFacts {
        self.close_facts(match cause {
            AbortCause::Discard if self.has_peer_closed() => CloseReason::ClientClosed,
            AbortCause::ResponseStalled => CloseReason::ClientStalled,
            AbortCause::Discard | AbortCause::MemoryNeeded => CloseReason::SlotNeeded,
            AbortCause::Timeout | AbortCause::HeadTooLarge | AbortCause::Malformed => CloseReason::BadRequest,
        })
    }

    /// Requests that the connection be closed at once. The first cause stands, unless the new one is `Discard`: then no
    /// response is written any more.
    pub fn abort(&self, cause: AbortCause) {
        let reason = if cause == AbortCause::Discard { cause } else { self.abort.get().unwrap_or(cause) };
        self.abort.set(Some(reason));
        self.aborted.notify_one();
    }

    /// Withdraws the abort: a response has become pending, so the connection may not be closed.
    pub fn clear_abort(&self) {
        self.abort.set(None);
    }

    /// Resolves when the connection is to be closed at once.
    pub async fn wait_for_abort(&self) -> AbortCause {
        loop {
            if let Some(cause) = self.abort.get() {
                return cause;
            }
            self.aborted.notified().await;
        }
    }

    /// Resolves when the connection is to be discarded, even if it was aborted for another reason before.
    pub async fn wait_for_discard(&self) {
        while self.abort.get() != Some(AbortCause::Discard) {
            self.aborted.notified().await;
        }
    }

    /// Eviction order, smallest first: a rank, and the start of the current stage. `None` if it must not be evicted.
    fn eviction_rank(&self, now: Instant) -> Option<(u8, Instant)> {
        let since = self.stage_since.get();
        let old = now.saturating_duration_since(since) > TYPICAL_FIRST_BYTE_DELAY;
        let rank = match self.stage.get() {
            _ if self.abort.get() == Some(AbortCause::Discard) => return None,
            Stage::Closing => 0,
            _ if self.abort.get().is_some() => return None,
            _ if self.is_response_stalled(now) => 1,
            Stage::Silent if old => 1,
            Stage::Head | Stage::Body | Stage::AwaitingMemory if old => 2,
            Stage::Idle => 3,
            Stage::Silent => 4,
            Stage::Head | Stage::Body | Stage::AwaitingMemory | Stage::Streaming | Stage::Processing => {
                return None
            }
        };
        Some((rank + if self.worker.get() { 8 } else { 0 }, since))
    }
}

/// All connection slots of a listener.
pub struct ConnectionSlots {
    max: usize,
    occupied: RefCell<BTreeMap<u64, Rc<ConnectionSlot>>>,
    next: Cell<u64>,
    /// Estimates when bytes read from these connections arrived.
    pub arrivals: Rc<ArrivalClock>,
}

/// An occupied slot, released when this is dropped.
pub struct OccupiedSlot {
    slots: Rc<ConnectionSlots>,
    number: u64,
    pub slot: Rc<ConnectionSlot>,
}

impl Drop for OccupiedSlot {
    fn drop(&mut self) {
        self.slots.occupied.borrow_mut().remove(&self.number);
    }
}

impl ConnectionSlots {
    /// Creates `max` free slots.
    pub fn new(max: usize, arrivals: Rc<ArrivalClock>) -> Rc<Self> {
        Rc::new(ConnectionSlots { max, occupied: RefCell::default(), next: Cell::new(0), arrivals })
    }

    /// Number of occupied slots.
    pub fn count(&self) -> usize {
        self.occupied.borrow().len()
    }

    /// Allocates a slot for a new connection, evicting another one if all are occupied. `None` if none can be evicted.
    pub fn acquire(self: &Rc<Self>) -> Option<OccupiedSlot> {
        let now = Instant::now();
        let slot = Rc::new(ConnectionSlot {
            stage: Cell::new(Stage::Silent),
            stage_since: Cell::new(now),
            worker: Cell::new(false),
            answered: Cell::new(false),
            peer_closed: Cell::new(false),
            leased: Cell::new(0),
            read_limit: Cell::new(MAX_UNDELIMITED_BYTES_PER_READ),
            leased_since: Cell::new(now),
            leased_for_buffers: Cell::new(0),
            response_left: Cell::new(None),
            unsent: Cell::new(0),
            response_task: Cell::new(None),
            abort: Cell::new(None),
            aborted: Notify::new(),
            reads_paused: Cell::new(false),
            reader: Cell::new(None),
            unread_since: Cell::new(None),
            arrived: Cell::new(now),
            arrivals: self.arrivals.clone(),
        });
        let mut taken = self.occupied.borrow_mut();
        // Discarded connections that are not closed yet don't count: they close in a moment.
        let is_closing = |slot: &ConnectionSlot| {
            matches!(slot.abort.get(), Some(AbortCause::Discard | AbortCause::ResponseStalled))
        };
        if taken.values().filter(|slot| !is_closing(slot)).count() >= self.max {
            let first = taken.values().filter_map(|s| Some((s.eviction_rank(now)?, s))).min_by_key(|s| s.0);
            let (_, slot) = first?;
            slot.abort(slot.cause_to_give_way(AbortCause::Discard));
        }
        let number = self.next.replace(self.next.get() + 1);
        taken.insert(number, slot.clone());
        Some(OccupiedSlot { slots: self.clone(), number, slot })
    }

    /// Aborts connections that exceed a time limit. Never returns.
    pub async fn enforce_timeouts(self: Rc<Self>) {
        loop {
            tokio::time::sleep(TIMEOUT_CHECK_INTERVAL).await;
            let now = Instant::now();
            for slot in self.occupied.borrow().values() {
                let within = match slot.stage.get() {
                    Stage::Silent => FIRST_BYTE_TIMEOUT,
                    Stage::Head => REQUEST_TIMEOUT,
                    _ => continue,
                };
                if now.saturating_duration_since(slot.stage_since.get()) >= within {
                    slot.abort(if slot.stage.get() == Stage::Silent {
                        AbortCause::Discard
                    } else {
                        AbortCause::Timeout
                    });
                }
            }
        }
    }
}

impl Reclaim for ConnectionSlots {
    fn reclaim(&self, bytes: usize) {
        let (now, mut freed) = (Instant::now(), 0);
        let occupied = self.occupied.borrow();
        let mut holders: Vec<_> =
            occupied.values().filter_map(|slot| Some((slot, slot.reclaimable(now)?))).collect();
        holders.sort_by_key(|(slot, _)| slot.leased_since.get());
        let mut closed = 0;
        for (slot, held) in holders {
            if freed >= bytes {
                break;
            }
            freed += held;
            closed += 1;
            slot.abort(slot.cause_to_give_way(AbortCause::MemoryNeeded));
        }
        if closed > 0 {
            info!(closed, freed, awaited = bytes, "memory: connections closed that held it for longest");
        }
    }
}

#[cfg(test)]
mod tests;
