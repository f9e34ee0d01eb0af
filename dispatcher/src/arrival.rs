//! When what is read now may have come.
//!
//! A request's time runs from when its client sent it, and not from when this process came to read it. Between the two it may
//! stand in a socket: behind another request, in the queue of a listening socket while accepting fails or the process starts, or
//! while the process itself stands still. How long is not told by the kernel, but there is a time at which nothing was there yet.
//! In doubt a request came right behind that: its client is then promised less time, and never more than it has. An answer about the
//! worker list is as old, too: what changed while it stood unread is not in it.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Between two looks of a process that runs. With [`LATE_LOOK`] it is the longest hold-up that goes unnoticed: less than the
/// margin by which answers are given before their deadline (`ANSWER_MARGIN` of `flow`), since what is not noticed is taken from that.
const LOOK_EVERY: Duration = Duration::from_millis(10);
/// A look may be so late without a hold-up being presumed.
const LATE_LOOK: Duration = Duration::from_millis(5);

/// Keeps when this process last looked at its sockets.
#[derive(Debug)]
pub struct ArrivalClock {
    /// What had come by then to sockets that are open has been read.
    read_until: Cell<Instant>,
    /// When the queue of the listening socket was empty last.
    queue_empty: Cell<Instant>,
}

impl ArrivalClock {
    /// Begins before the listening socket is opened.
    pub fn new(now: Instant) -> Self {
        ArrivalClock { read_until: Cell::new(now), queue_empty: Cell::new(now) }
    }

    /// Keeps the clock. Never ends; dropped, it holds nothing, and all that is read counts as held up.
    pub async fn run(self: Rc<Self>) {
        loop {
            let began = Instant::now();
            // The event loop asks the kernel, and runs whoever has something to read, before it comes back here. However long
            // that takes: what comes meanwhile is not covered.
            tokio::task::yield_now().await;
            self.record_read_until(began);
            tokio::time::sleep(LOOK_EVERY).await;
        }
    }

    /// What had come by then has been read.
    fn record_read_until(&self, at: Instant) {
        self.read_until.set(at);
    }

    /// The queue of the listening socket was empty then.
    pub fn record_queue_empty(&self, at: Instant) {
        self.queue_empty.set(at);
    }

    /// The earliest time at which something may have come that is read now, from a socket that was looked at before.
    pub fn earliest_arrival(&self, now: Instant) -> Instant {
        let read_until = self.read_until.get();
        let held_up = now.saturating_duration_since(read_until) > LOOK_EVERY + LATE_LOOK;
        if held_up {
            read_until
        } else {
            now
        }
    }

    /// The same for what comes with a connection that stood in the queue.
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
    fn what_is_read_while_the_process_runs_has_just_come() {
        let start = Instant::now();
        let clock = ArrivalClock::new(start);
        for ms in (10..1000).step_by(10) {
            clock.record_read_until(after(start, ms));
            assert_eq!(clock.earliest_arrival(after(start, ms + 9)), after(start, ms + 9));
        }
    }

    #[test]
    fn what_is_read_behind_a_hold_up_may_have_come_at_its_start() {
        let start = Instant::now();
        let clock = ArrivalClock::new(start);
        clock.record_read_until(after(start, 100));
        assert_eq!(clock.earliest_arrival(after(start, 2000)), after(start, 100));
        // Held up again before the first backlog was read: its start counts until all of that has been.
        assert_eq!(clock.earliest_arrival(after(start, 2400)), after(start, 100));
        // What came before the look at 2000 is read; the process was held up in the meantime.
        clock.record_read_until(after(start, 2000));
        assert_eq!(clock.earliest_arrival(after(start, 2410)), after(start, 2000));
        clock.record_read_until(after(start, 2405));
        assert_eq!(clock.earliest_arrival(after(start, 2415)), after(start, 2415));
    }

    /// A busy machine gives the process no processor for a moment: what came in it must not be promised its time anew.
    #[test]
    fn a_hold_up_as_short_as_the_margin_of_answers_is_noticed() {
        let start = Instant::now();
        let clock = ArrivalClock::new(start);
        clock.record_read_until(after(start, 10));
        assert_eq!(clock.earliest_arrival(after(start, 35)), after(start, 10));
    }

    #[test]
    fn what_stood_in_the_queue_may_have_come_when_that_was_empty() {
        let start = Instant::now();
        let clock = ArrivalClock::new(start);
        clock.record_read_until(after(start, 10));
        clock.record_queue_empty(after(start, 12));
        clock.record_read_until(after(start, 20));
        assert_eq!(clock.earliest_queued_arrival(after(start, 25)), after(start, 12));
        assert_eq!(clock.earliest_arrival(after(start, 25)), after(start, 25));
    }
}
