//! The memory budget for what peers make the process hold: bodies while they are received and until their requests are answered,
//! long heads, and responses that a client does not read.
//!
//! Bytes are leased before they are read. Who gets no lease reads no more, which leaves the data to the kernel and slows the peer
//! down; after [`WAIT_TIMEOUT`] listeners refuse. While somebody waits, the connections that have held leases for longest without
//! completing a request are closed ([`Reclaim`]). Parts of the budget are reserved for small requests and for workers' calls, so
//! that large requests can use up only their own part.
//!
//! Everything runs on one thread; leases are atomic only so that a body may hold one ([`bytes::Bytes::from_owner`]).

use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::pin::pin;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Requests up to this size use the reserve for small requests.
pub const SMALL_REQUEST_BYTES: usize = 4 << 10;
/// How long a listener waits for memory before it refuses a request.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which connections are closed while somebody waits for memory.
const RECLAIM_INTERVAL: Duration = Duration::from_millis(100);
/// Divisor of the budget that yields the reserve for small requests, and the one for workers' calls.
const RESERVE_DIVISOR: usize = 8;

/// What leased memory is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// A client's request or response of any size.
    Bulk,
    /// A request of at most [`SMALL_REQUEST_BYTES`].
    SmallRequest,
    /// A worker's call or result.
    Worker,
}

impl Purpose {
    /// The purpose of a client's request of `bytes` bytes.
    pub fn of_request(bytes: usize) -> Purpose {
        if bytes <= SMALL_REQUEST_BYTES {
            Purpose::SmallRequest
        } else {
            Purpose::Bulk
        }
    }
}

/// Closes connections that hold leases.
pub trait Reclaim {
    /// Closes the connections that have been slowest for longest, until those closed held at least `bytes`.
    fn reclaim(&self, bytes: usize);
}

/// The budget. Shared by all listeners and targets.
pub struct MemoryBudget {
    bulk: Arc<Semaphore>,
    small_requests: Arc<Semaphore>,
    workers: Arc<Semaphore>,
    /// Bytes that are being waited for.
    awaited: Cell<usize>,
    reclaimers: RefCell<Vec<Weak<dyn Reclaim>>>,
}

/// Leased bytes, returned to the budget when dropped.
#[derive(Debug)]
pub struct MemoryLease(OwnedSemaphorePermit);

impl MemoryLease {
    /// Number of leased bytes.
    pub fn bytes(&self) -> usize {
        self.0.num_permits()
    }
}

/// Counts the bytes that a task waits for, until it is dropped.
struct AwaitedBytes<'a>(&'a Cell<usize>, usize);

impl<'a> AwaitedBytes<'a> {
    fn new(total: &'a Cell<usize>, bytes: usize) -> Self {
        total.set(total.get() + bytes);
        AwaitedBytes(total, bytes)
    }
}

impl Drop for AwaitedBytes<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - self.1);
    }
}

impl MemoryBudget {
    /// A budget of `total` bytes.
    pub fn new(total: usize) -> Rc<MemoryBudget> {
        let reserve = total / RESERVE_DIVISOR;
        Rc::new(MemoryBudget {
            bulk: Arc::new(Semaphore::new(total - 2 * reserve)),
            small_requests: Arc::new(Semaphore::new(reserve)),
            workers: Arc::new(Semaphore::new(reserve)),
            awaited: Cell::new(0),
            reclaimers: RefCell::default(),
        })
    }

    /// Registers a listener whose connections may be closed for their memory.
    pub fn add_reclaimer(&self, reclaimer: &Rc<impl Reclaim + 'static>) {
        let reclaimer: Rc<dyn Reclaim> = reclaimer.clone();
        self.reclaimers.borrow_mut().push(Rc::downgrade(&reclaimer));
    }

    fn reserve(&self, purpose: Purpose) -> &Arc<Semaphore> {
        match purpose {
            Purpose::Bulk => &self.bulk,
            Purpose::SmallRequest => &self.small_requests,
            Purpose::Worker => &self.workers,
        }
    }

    /// Leases `bytes` at once, or not at all. What finds no room in its reserve may use what is free for all; a small call or
    /// result of a worker also the reserve for small requests, so that large ones of other workers do not hold it up.
    pub fn try_lease(&self, bytes: usize, purpose: Purpose) -> Option<MemoryLease> {
        let is_small_of_worker = purpose == Purpose::Worker && bytes <= SMALL_REQUEST_BYTES;
        let bytes = u32::try_from(bytes).ok()?;
        let last_resort = is_small_of_worker.then_some(&self.small_requests);
        let pools = [self.reserve(purpose), &self.bulk].into_iter().chain(last_resort);
        pools.into_iter().find_map(|pool| pool.clone().try_acquire_many_owned(bytes).ok()).map(MemoryLease)
    }

    /// Leases `bytes`, waiting in turn until they are free. Dropping the future withdraws the request.
    pub async fn lease(&self, bytes: usize, purpose: Purpose) -> MemoryLease {
        if let Some(lease) = self.try_lease(bytes, purpose) {
            return lease;
        }
        let _awaited = AwaitedBytes::new(&self.awaited, bytes);
        let permits = u32::try_from(bytes).unwrap_or(u32::MAX);
        let mut acquired = pin!(self.reserve(purpose).clone().acquire_many_owned(permits));
        loop {
            // The place in the queue is kept: the future outlives the iterations.
            tokio::select! {
                permit = &mut acquired => match permit {
                    Ok(permit) => return MemoryLease(permit),
                    // The semaphores are never closed.
                    Err(_) => std::future::pending().await,
                },
                () = tokio::time::sleep(RECLAIM_INTERVAL) => self.reclaim(),
            }
            // Other parts may have become free, in which nothing is waited for.
            if let Some(lease) = self.try_lease(bytes, purpose) {
                return lease;
            }
        }
    }

    fn reclaim(&self) {
        let reclaimers: Vec<_> = self.reclaimers.borrow().iter().filter_map(Weak::upgrade).collect();
        reclaimers.iter().for_each(|reclaimer| reclaimer.reclaim(self.awaited.get()));
    }
}

/// A buffer that never grows beyond the bytes that are leased for it.
#[derive(Debug, Default)]
pub struct LeasedBuffer {
    bytes: Vec<u8>,
    leases: Vec<MemoryLease>,
}

impl LeasedBuffer {
    /// Number of bytes that it holds.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Number of bytes that are leased for it.
    pub fn leased(&self) -> usize {
        self.leases.iter().map(MemoryLease::bytes).sum()
    }

    /// How many bytes to lease for a body of `declared` or unknown length, of `max` bytes at most, so that there is room for `length`
    /// bytes of it; `None` if there is already. Buffers of few sizes keep the heap from being fragmented.
    pub fn missing_room(&self, declared: Option<usize>, length: usize, max: usize) -> Option<usize> {
        let leased = self.leased();
        let bytes = match declared {
            Some(declared) => declared,
            None if leased == 0 => SMALL_REQUEST_BYTES,
            None => max - leased,
        };
        (length > leased && bytes > 0).then_some(bytes)
    }

    /// Adds room for the bytes of a lease.
    pub fn extend_room(&mut self, lease: MemoryLease) {
        self.leases.push(lease);
        self.bytes.reserve_exact(self.leased() - self.bytes.len());
    }

    /// Appends bytes, for which there must be room.
    pub fn push(&mut self, bytes: &[u8]) {
        debug_assert!(self.len() + bytes.len() <= self.leased(), "bytes without a lease");
        self.bytes.extend_from_slice(bytes);
    }

    /// Fills the room with zeros and returns it, to be read into.
    pub fn fill(&mut self) -> &mut [u8] {
        self.bytes.resize(self.leased(), 0);
        &mut self.bytes
    }

    /// Shortens what it holds.
    pub fn truncate(&mut self, length: usize) {
        self.bytes.truncate(length);
    }

    /// Frees the buffer, but not what was leased for it.
    pub fn into_leases(self) -> Vec<MemoryLease> {
        self.leases
    }

    /// The contents. The lease is returned when the last copy is dropped.
    pub fn freeze(self) -> Bytes {
        if self.bytes.is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(self)
    }
}

/// Contents that something else holds in leased memory.
struct Leased<T> {
    contents: T,
    _leases: Arc<Vec<MemoryLease>>,
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for Leased<T> {
    fn as_ref(&self) -> &[u8] {
        self.contents.as_ref()
    }
}

/// Ties leases to the contents that they are for. They are returned when the last copy is dropped.
pub fn with_leases(contents: impl AsRef<[u8]> + Send + 'static, leases: Arc<Vec<MemoryLease>>) -> Bytes {
    Bytes::from_owner(Leased { contents, _leases: leases })
}

impl AsRef<[u8]> for LeasedBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

#[cfg(test)]
mod tests;
