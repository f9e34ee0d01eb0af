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

/// Between two ticks of a process that runs. With [`LATE_TICK`] it is the longest hold-up that goes unnoticed: less than the
/// margin by which answers are given before their deadline (`ANSWER_MARGIN` of `flow`), since what is not noticed is taken from that.
const TICK: Duration = Duration::from_millis(10);
/// A tick may be so late without a hold-up being presumed.
const LATE_TICK: Duration = Duration::from_millis(5);
/// What came during a hold-up is read within this time behind it, or within that of the hold-up itself, if that was shorter.
const CATCHING_UP: Duration = Duration::from_millis(50);

/// A time in which the process did nothing.
#[derive(Clone, Copy, Debug)]
struct HoldUp {
    /// The last tick before it.
    from: Instant,
    /// When it has caught up.
    until: Instant,
}

/// Keeps when this process last looked at its sockets.
#[derive(Debug)]
pub struct ArrivalClock {
    ticked: Cell<Instant>,
    held_up: Cell<Option<HoldUp>>,
    /// When the queue of the listening socket was empty last.
    queue_empty: Cell<Instant>,
}

impl ArrivalClock {
    /// Begins before the listening socket is opened.
    pub fn new(now: Instant) -> Self {
        ArrivalClock { ticked: Cell::new(now), held_up: Cell::new(None), queue_empty: Cell::new(now) }
    }

    /// Ticks. Never ends; dropped, it holds nothing, and all that is read counts as held up.
    pub async fn run(self: Rc<Self>) {
        loop {
            tokio::time::sleep(TICK).await;
            self.tick(Instant::now());
        }
    }

    /// The process runs.
    fn tick(&self, now: Instant) {
        let from = self.ticked.replace(now);
        if is_held_up(from, now) {
            let catching_up = CATCHING_UP.min(now - from);
            self.held_up.set(Some(HoldUp { from, until: now + catching_up }));
        }
    }

    /// The queue of the listening socket is empty.
    pub fn queue_is_empty(&self, now: Instant) {
        self.queue_empty.set(now);
    }

    /// The earliest time at which something may have come that is read now, from a socket that was looked at before.
    pub fn earliest(&self, now: Instant) -> Instant {
        let ticked = self.ticked.get();
        if is_held_up(ticked, now) {
            return ticked;
        }
        self.held_up.get().filter(|held| now < held.until).map_or(now, |held| held.from)
    }

    /// The same for what comes with a connection that stood in the queue.
    pub fn earliest_in_queue(&self, now: Instant) -> Instant {
        self.earliest(now).min(self.queue_empty.get())
    }
}

fn is_held_up(ticked: Instant, now: Instant) -> bool {
    now.saturating_duration_since(ticked) > TICK + LATE_TICK
}

#[cfg(test)]
mod tests {
    use super::*;

    fn after(start: Instant, ms: u64) -> Instant {
        start + Duration::from_millis(ms)
    }

    /// The clock ticks in time from one moment to another.
    fn runs(clock: &ArrivalClock, start: Instant, from: u64, to: u64) {
        (from..=to).step_by(10).for_each(|ms| clock.tick(after(start, ms)));
    }

    #[test]
    fn what_is_read_while_the_process_runs_has_just_come() {
        let start = Instant::now();
        let clock = ArrivalClock::new(start);
        for ms in (10..1000).step_by(10) {
            clock.tick(after(start, ms));
            assert_eq!(clock.earliest(after(start, ms + 9)), after(start, ms + 9));
        }
    }

    #[test]
    fn what_is_read_behind_a_hold_up_may_have_come_at_its_start() {
        let start = Instant::now();
        let clock = ArrivalClock::new(start);
        runs(&clock, start, 10, 100);
        // Read before the tick is heard of, and behind it.
        assert_eq!(clock.earliest(after(start, 2000)), after(start, 100));
        clock.tick(after(start, 2000));
        assert_eq!(clock.earliest(after(start, 2010)), after(start, 100));
        runs(&clock, start, 2010, 2040);
        assert_eq!(clock.earliest(after(start, 2049)), after(start, 100));
        runs(&clock, start, 2050, 2050);
        assert_eq!(clock.earliest(after(start, 2060)), after(start, 2060));
    }

    /// A busy machine gives the process no processor for a moment: what came in it must not be promised its time anew.
    #[test]
    fn a_hold_up_as_short_as_the_margin_of_answers_is_noticed() {
        let start = Instant::now();
        let clock = ArrivalClock::new(start);
        clock.tick(after(start, 10));
        assert_eq!(clock.earliest(after(start, 35)), after(start, 10));
        runs(&clock, start, 35, 55);
        assert_eq!(clock.earliest(after(start, 59)), after(start, 10));
        assert_eq!(clock.earliest(after(start, 60)), after(start, 60));
    }

    #[test]
    fn what_stood_in_the_queue_may_have_come_when_that_was_empty() {
        let start = Instant::now();
        let clock = ArrivalClock::new(start);
        clock.tick(after(start, 10));
        clock.queue_is_empty(after(start, 12));
        clock.tick(after(start, 20));
        assert_eq!(clock.earliest_in_queue(after(start, 25)), after(start, 12));
        assert_eq!(clock.earliest(after(start, 25)), after(start, 25));
    }
}
