//! Minimum transfer rate of a peer, so that a slow one can't occupy resources indefinitely.
//!
//! Only the time spent waiting for the peer counts: a slow reader is not charged for a sender that has nothing to
//! send, and vice versa.

use std::time::Duration;

/// Minimum progress required of a peer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProgressLimits {
    /// The maximum wait without a byte transferred.
    pub idle_timeout: Duration,
    /// Bytes per second that the peer must transfer, averaged over `window`; 0 disables the check.
    pub min_bytes_per_second: u64,
    /// The waiting time over which the rate is measured.
    pub window: Duration,
}

/// The limit that a peer has violated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Slow {
    /// No byte was transferred within the idle timeout.
    Idle,
    /// The transfer rate was below the minimum.
    Rate,
}

/// Monitors one direction of the transfer with one peer.
#[derive(Clone, Debug)]
pub struct ProgressMonitor {
    limits: ProgressLimits,
    /// When the current wait began.
    waiting_since: Option<Duration>,
    /// When the current wait without a byte began.
    idle_since: Duration,
    /// Time waited and bytes transferred in the current measurement window.
    waited: Duration,
    transferred: u64,
}

impl ProgressMonitor {
    /// Creates a monitor that is not waiting for the peer.
    pub fn new(limits: ProgressLimits) -> ProgressMonitor {
        ProgressMonitor {
            limits,
            waiting_since: None,
            idle_since: Duration::ZERO,
            waited: Duration::ZERO,
            transferred: 0,
        }
    }

    /// Starts waiting for the peer. Has no effect during a wait.
    pub fn start_waiting(&mut self, now: Duration) {
        if self.waiting_since.is_none() {
            (self.waiting_since, self.idle_since) = (Some(now), now);
        }
    }

    /// Records transferred bytes. This ends the wait until [`ProgressMonitor::start_waiting`] is called again.
    pub fn record_progress(&mut self, now: Duration, bytes: usize) {
        if let Some(since) = self.waiting_since.take() {
            self.waited += now.saturating_sub(since);
        }
        self.transferred += bytes as u64;
        if self.waited >= self.limits.window && self.is_fast_enough(self.waited) {
            (self.waited, self.transferred) = (Duration::ZERO, 0);
        }
    }

    fn is_fast_enough(&self, waited: Duration) -> bool {
        self.transferred as f64 >= self.limits.min_bytes_per_second as f64 * waited.as_secs_f64()
    }

    /// Returns the limit that the peer violates now, if any.
    pub fn check(&self, now: Duration) -> Option<Slow> {
        let since = self.waiting_since?;
        if now.saturating_sub(self.idle_since) >= self.limits.idle_timeout {
            return Some(Slow::Idle);
        }
        // A peer that sends in bursts must not fail just before the next burst: the current wait counts only once it
        // alone exceeds the window.
        let current_wait = now.saturating_sub(since);
        let was_slow_before = self.waited >= self.limits.window && !self.is_fast_enough(self.waited);
        let is_slow_now =
            current_wait >= self.limits.window && !self.is_fast_enough(self.waited + current_wait);
        (was_slow_before || is_slow_now).then_some(Slow::Rate)
    }

    /// When to check next unless the peer makes progress before then. `None` outside a wait.
    pub fn next_check(&self) -> Option<Duration> {
        let since = self.waiting_since?;
        let idle_deadline = self.idle_since + self.limits.idle_timeout;
        // The waiting time for which the transferred bytes satisfy the minimum rate.
        let sufficient_for = match self.limits.min_bytes_per_second {
            0 => return Some(idle_deadline),
            min_rate => Duration::from_secs_f64(self.transferred as f64 / min_rate as f64),
        };
        if self.waited >= self.limits.window && !self.is_fast_enough(self.waited) {
            return Some(since);
        }
        let rate_deadline = since + sufficient_for.saturating_sub(self.waited).max(self.limits.window);
        Some(idle_deadline.min(rate_deadline + Duration::from_millis(1)))
    }
}
