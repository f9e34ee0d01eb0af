//! Schedules one dispatcher's requests to a discovery service that it shares with the rest of its tier.
//!
//! A dispatcher has one request outstanding at a time and sends the next one immediately after a response:
//! continuing a watch costs discovery next to nothing, whereas each new watch queues behind those of the
//! whole tier. Without failures, a tier of any size therefore learns of every change as soon as discovery
//! publishes it, however often the list changes.
//!
//! The first request is sent immediately: until it is answered, the age of the list is unknown and the list
//! must not be acted on. A request that failed after discovery had held it is also retried immediately: it is
//! no longer queued, and the queue may be empty until it is retried. Only requests that were ended together,
//! and requests that were rejected immediately, need to be spread.
//!
//! A queued request is not abandoned early ([`WatchSchedule::answer_timeout`]): discovery
//! would have to serve its retry as well, and a queue of requests whose clients have left does not clear by
//! itself.
//!
//! # Bound
//!
//! A change counts as published [`PROPAGATION_BOUND`] after discovery had it and could be reached, whatever
//! happened to the earlier requests. A dispatcher is without a request for at most [`MAX_RETRY_DELAY`]; the
//! remaining time is for queueing and service at discovery. The bound therefore holds as long as the new
//! watches of the whole tier take at most two thirds of [`PROPAGATION_BOUND`] together. Beyond that no
//! schedule of single requests can meet it, and the list becomes invalid instead ([`crate::list_status`]).

use crate::call_failure::CallFailure;
use crate::Millis;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Time after which a change counts as published, from when discovery had it and could be reached. Defined by
/// the platform's protocol specification; no setting overrides it.
pub const PROPAGATION_BOUND: Millis = 6000;
/// Longest delay before a failed request is retried: a third of [`PROPAGATION_BOUND`]. Another third is for a
/// request that discovery holds for as long as it is prepared to while it recovers, and one for queueing and
/// service of the retry.
pub const MAX_RETRY_DELAY: Millis = PROPAGATION_BOUND / 3;
/// Time per dispatcher over which a tier spreads its new watches after all of its watches have ended. No
/// setting states how long a new watch takes; 3 to 200 ms were observed, the longer times in smaller tiers.
const NEW_WATCH_INTERVAL: Millis = 40;
/// A request that failed after at least this long was held by discovery rather than rejected immediately.
const MIN_HELD_CALL: Millis = 1000;
/// Longest delay before a request that this machine could not issue is retried.
const NOT_MADE_DELAY: Millis = 200;
/// Range over which retries of held requests are spread.
const HELD_CALL_SPREAD: Millis = 100;
/// Timeout of a request that does not wait for changes: initial and maximum value.
const ANSWER_TIMEOUT: (Millis, Millis) = (10_000, 40_000);
/// Time per dispatcher over which a tier spreads the renewals of watches that brought no change. Together the
/// tier makes fifty renewals per second, as long as the waits are below the maximum.
const RENEWAL_INTERVAL: Millis = 20;
/// Shortest and longest wait of a watch. A short wait detects a silent watch sooner; until then the list
/// lacks published changes. Renewals do not queue at discovery.
const WAIT_RANGE: (Millis, Millis) = (1000, 6000);
/// How often a dispatcher sends a request without a wait instead of a renewal if the service times measured
/// so far are long: they may include queueing, as at the start of a whole tier.
const MAX_MEASUREMENTS: u32 = 3;
/// Number of renewals before the first such request, at most, and the factor by which it grows each time.
/// Renewals of a tier are spread by [`RENEWAL`], so initially the tier makes fourteen such requests per
/// second.
const RENEWALS_BEFORE_MEASUREMENT: (u32, u32) = (4, 4);
/// Minimum size of a large tier. The requests of a large tier to discovery add up to bursts, and a single
/// dispatcher observes little of each worker.
pub const LARGE_TIER: u32 = 9;

/// Request schedule of one dispatcher. Durations are in milliseconds.
#[derive(Debug)]
pub struct WatchSchedule {
    dispatchers: u32,
    rng: StdRng,
    /// Consecutive requests without a wait that were not answered.
    unanswered_calls: u32,
    /// Requests sent to measure the service time so far, and renewals left until the next one.
    measurements: u32,
    renewals_left: Option<u32>,
}

/// A request that failed.
#[derive(Clone, Copy, Debug)]
pub struct FailedCall {
    /// Whether the request was a watch, waiting for changes.
    pub watched: bool,
    /// Why the request failed.
    pub failure: CallFailure,
    /// Time until the failure.
    pub took: Millis,
}

impl WatchSchedule {
    /// Creates the schedule for one of `dispatchers` dispatchers. Each of them needs a different seed.
    pub fn new(dispatchers: u32, seed: u64) -> Self {
        WatchSchedule {
            dispatchers,
            rng: StdRng::seed_from_u64(seed),
            unanswered_calls: 0,
            measurements: 0,
            renewals_left: None,
        }
    }

    /// Whether simultaneous requests of the tier have to be spread.
    fn is_large(&self) -> bool {
        self.dispatchers >= LARGE_TIER
    }

    /// How long the next watch may wait for changes.
    pub fn wait(&mut self) -> Millis {
        let longest = (Millis::from(self.dispatchers) * RENEWAL_INTERVAL).clamp(WAIT_RANGE.0, WAIT_RANGE.1);
        if longest == WAIT_RANGE.0 {
            return longest;
        }
        // Jitter keeps watches that started together from being renewed together.
        self.rng.random_range(longest * 3 / 4..=longest)
    }

    /// Delay before a failed request is retried; `None` leaves the delay to the decision module.
    pub fn retry_delay(&mut self, failed: FailedCall) -> Option<Millis> {
        if failed.failure == CallFailure::NotMade {
            // The request cost discovery nothing.
            return Some(self.rng.random_range(NOT_MADE_DELAY / 2..=NOT_MADE_DELAY));
        }
        if failed.failure == CallFailure::Silent {
            // Silent watches started at different times, so their timeouts are already spread.
            self.unanswered_calls += u32::from(!failed.watched);
            return Some(0);
        }
        if failed.watched {
            // All watches of the tier may have ended at once. In a small tier the module's own delay is as
            // short.
            return self.is_large().then(|| self.new_watch_delay());
        }
        (failed.took >= MIN_HELD_CALL).then(|| self.rng.random_range(0..=HELD_CALL_SPREAD))
    }

    /// Records that a request was answered.
    pub fn answered(&mut self) {
        self.unanswered_calls = 0;
    }

    /// Whether the next request should measure the service time instead of continuing the watch, so that a
    /// measurement from an idle period becomes available. `seems_long` states that, by the current
    /// estimate, congestion outlasts the bound. Call once per answer.
    pub fn should_measure_service_time(&mut self, seems_long: bool) -> bool {
        if !seems_long || self.measurements >= MAX_MEASUREMENTS {
            self.renewals_left = None;
            return false;
        }
        let most = RENEWALS_BEFORE_MEASUREMENT.0 * RENEWALS_BEFORE_MEASUREMENT.1.pow(self.measurements);
        let left = self.renewals_left.take().unwrap_or_else(|| self.rng.random_range(1..=most));
        if left > 1 {
            self.renewals_left = Some(left - 1);
            return false;
        }
        self.measurements += 1;
        true
    }

    /// Timeout of a request that does not wait for changes. It doubles with each consecutive timeout, because
    /// the queue may take longer to clear.
    pub fn answer_timeout(&self) -> Millis {
        let doublings = self.unanswered_calls.min(ANSWER_TIMEOUT.1.ilog2());
        (ANSWER_TIMEOUT.0 << doublings).min(ANSWER_TIMEOUT.1)
    }

    fn new_watch_delay(&mut self) -> Millis {
        let longest = (Millis::from(self.dispatchers) * NEW_WATCH_INTERVAL).min(MAX_RETRY_DELAY);
        self.rng.random_range(0..=longest)
    }
}
