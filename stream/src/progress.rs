//! How fast a peer must be, so that a slow one can't hold on to what others need.
//!
//! Only time in which the peer is waited for counts: one that reads slowly must not be blamed for a sender
//! that has nothing to send, nor the other way round.

use std::time::Duration;

/// What is asked of a peer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProgressLimits {
    /// It may be waited for so long without a byte.
    pub idle_timeout: Duration,
    /// Bytes a second that it must move, averaged over `over`; 0: any.
    pub min_bytes_per_second: u64,
    /// The span of waiting that the rate is taken over.
    pub window: Duration,
}

/// What a peer has failed at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Slow {
    /// Nothing came or went for the idle limit.
    Idle,
    /// Too little did.
    Rate,
}

/// Watches one direction of one peer.
#[derive(Clone, Debug)]
pub struct ProgressMonitor {
    limits: ProgressLimits,
    /// Since when it is waited for.
    waiting: Option<Duration>,
    /// Since when without a byte, while it is waited for.
    quiet: Duration,
    /// Time waited and bytes moved in the present span.
    waited: Duration,
    moved: u64,
}

impl ProgressMonitor {
    /// A peer that is not yet waited for.
    pub fn new(limits: ProgressLimits) -> ProgressMonitor {
        ProgressMonitor { limits, waiting: None, quiet: Duration::ZERO, waited: Duration::ZERO, moved: 0 }
    }

    /// From here on the peer is waited for, unless it was already.
    pub fn start_waiting(&mut self, now: Duration) {
        if self.waiting.is_none() {
            (self.waiting, self.quiet) = (Some(now), now);
        }
    }

    /// Bytes moved. The peer is no longer waited for until [`ProgressMonitor::start_waiting`] is called again.
    pub fn record_progress(&mut self, now: Duration, bytes: usize) {
        if let Some(since) = self.waiting.take() {
            self.waited += now.saturating_sub(since);
        }
        self.moved += bytes as u64;
        if self.waited >= self.limits.window && self.is_fast_enough(self.waited) {
            (self.waited, self.moved) = (Duration::ZERO, 0);
        }
    }

    fn is_fast_enough(&self, waited: Duration) -> bool {
        self.moved as f64 >= self.limits.min_bytes_per_second as f64 * waited.as_secs_f64()
    }

    /// What the peer has failed at by now, if anything.
    pub fn check(&self, now: Duration) -> Option<Slow> {
        let since = self.waiting?;
        if now.saturating_sub(self.quiet) >= self.limits.idle_timeout {
            return Some(Slow::Idle);
        }
        // A peer that moves in bursts must not be blamed for the moment before one: the wait that is on counts
        // once it is long by itself.
        let present = now.saturating_sub(since);
        let before = self.waited >= self.limits.window && !self.is_fast_enough(self.waited);
        let now_too = present >= self.limits.window && !self.is_fast_enough(self.waited + present);
        (before || now_too).then_some(Slow::Rate)
    }

    /// When to check next, if the peer does not move before.
    pub fn next_check(&self) -> Option<Duration> {
        let since = self.waiting?;
        let idle = self.quiet + self.limits.idle_timeout;
        // The moment at which what has moved is too little for the time waited.
        let enough_for = match self.limits.min_bytes_per_second {
            0 => return Some(idle),
            least => Duration::from_secs_f64(self.moved as f64 / least as f64),
        };
        if self.waited >= self.limits.window && !self.is_fast_enough(self.waited) {
            return Some(since);
        }
        let rate = since + enough_for.saturating_sub(self.waited).max(self.limits.window);
        Some(idle.min(rate + Duration::from_millis(1)))
    }
}
