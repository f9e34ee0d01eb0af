//! Estimates when data that is read now arrived.
//!
//! A request's deadline counts from when its client sent it, not from when this process read it. In between the request may be
//! buffered in a socket: behind another request, in the accept queue while `accept` fails or the process starts, or while the
//! process itself is stalled. The kernel does not report for how long, but there is a last time at which the socket was known to
//! be empty. When in doubt the request is taken to have arrived right after that: this may underestimate the client's
//! remaining time, but never overestimates it. The same holds for a response with the worker list: it does not contain
//! changes made while it was waiting to be read.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Interval between two polls while the process runs. Together with [`POLL_TOLERANCE`] it is the longest stall that goes
/// undetected. The sum is less than the margin by which answers precede their deadline (`ANSWER_MARGIN` of `flow`), since
/// undetected stalls use up that margin.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How late a poll may be before a stall is assumed.
const POLL_TOLERANCE: Duration = Duration::from_millis(5);

/// Tracks when this process last polled its sockets.
#[derive(Debug)]
pub struct ArrivalClock {
    /// Data that reached open sockets by this time has been read.
    read_until: Cell<Instant>,
    /// When the accept queue was last empty.
    queue_empty: Cell<Instant>,
}

impl ArrivalClock {
    /// To be called before the listening socket is opened.
    pub fn new(now: Instant) -> Self {
        ArrivalClock { read_until: Cell::new(now), queue_empty: Cell::new(now) }
    }

    /// Updates the clock; never completes. Once it is dropped, all data counts as delayed since the last update.
    pub async fn run(self: Rc<Self>) {
        loop {
            let began = Instant::now();
            // The event loop polls the kernel and runs all tasks with readable sockets before this one resumes. Data that
            // arrives in the meantime is not covered, hence the time from before the yield.
            tokio::task::yield_now().await;
            self.record_read_until(began);
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Records that all data that had arrived by `at` has been read.
    fn record_read_until(&self, at: Instant) {
        self.read_until.set(at);
    }

    /// Records that the accept queue was empty at `at`.
    pub fn record_queue_empty(&self, at: Instant) {
        self.queue_empty.set(at);
    }

    /// The earliest time at which data read now may have arrived on a socket that has been polled before.
    pub fn earliest_arrival(&self, now: Instant) -> Instant {
        let read_until = self.read_until.get();
        let stalled = now.saturating_duration_since(read_until) > POLL_INTERVAL + POLL_TOLERANCE;
        if stalled {
            read_until
        } else {
            now
        }
    }

    /// The same for data on a connection that was waiting in the accept queue.
    pub fn earliest_queued_arrival(&self, now: Instant) -> Instant {
        self.earliest_arrival(now).min(self.queue_empty.get())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn after(start: Instant, ms: u64) -> Instant {
        start + Duration::from_millis(ms)
    }

    #[test]
    fn data_read_without_a_stall_has_just_arrived() {
        let start = Instant::now();
        let clock = ArrivalClock::new(start);
        for ms in (10..1000).step_by(10) {
            clock.record_read_until(after(start, ms));
            assert_eq!(clock.earliest_arrival(after(start, ms + 9)), after(start, ms + 9));
        }
    }

    #[test]
    fn data_read_after_a_stall_may_date_from_its_start() {
        let start = Instant::now();
        let clock = ArrivalClock::new(start);
        clock.record_read_until(after(start, 100));
        assert_eq!(clock.earliest_arrival(after(start, 2000)), after(start, 100));
        // Stalled again before the first backlog was read: the start of the first stall counts until all of it has been read.
        assert_eq!(clock.earliest_arrival(after(start, 2400)), after(start, 100));
        // Data from before the poll at 2000 has been read; the process was stalled in the meantime.
        clock.record_read_until(after(start, 2000));
        assert_eq!(clock.earliest_arrival(after(start, 2410)), after(start, 2000));
        clock.record_read_until(after(start, 2405));
        assert_eq!(clock.earliest_arrival(after(start, 2415)), after(start, 2415));
    }

    /// On a busy host the process may get no CPU time for a moment. Requests that arrive then must not be granted their full
    /// time from the moment they are read.
    #[test]
    fn stalls_as_short_as_the_answer_margin_are_detected() {
        let start = Instant::now();
        let clock = ArrivalClock::new(start);
        clock.record_read_until(after(start, 10));
        assert_eq!(clock.earliest_arrival(after(start, 35)), after(start, 10));
    }

    #[test]
    fn queued_data_may_date_from_when_the_queue_was_last_empty() {
        let start = Instant::now();
        let clock = ArrivalClock::new(start);
        clock.record_read_until(after(start, 10));
        clock.record_queue_empty(after(start, 12));
        clock.record_read_until(after(start, 20));
        assert_eq!(clock.earliest_queued_arrival(after(start, 25)), after(start, 12));
        assert_eq!(clock.earliest_arrival(after(start, 25)), after(start, 25));
    }
}
