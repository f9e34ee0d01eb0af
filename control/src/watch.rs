//! The schedule of one dispatcher's calls to a discovery that it shares with the rest of its tier.
//!
//! A dispatcher has one call out at a time, and the next one follows an answer at once: a watch that goes on costs
//! discovery next to nothing, while each new watch takes its turn among those of the whole tier. So a tier without
//! trouble hears of every change as soon as discovery tells it, however large it is and however often the list changes.
//!
//! A first call is made at once: until it is answered the list is of unknown age, and nothing may be done by it. A call that
//! failed after discovery had held it is made again at once too: it stands in the queue no more, and while it is not
//! made again the queue may be empty. What has to be spread is calls that were ended together, and calls that were turned
//! away at once.
//!
//! A call in the queue is not given up without need ([`WatchSchedule::patience`]): it would be paid for again, and a queue
//! of calls that nobody waits for does not end by itself.
//!
//! # The bound
//!
//! A change counts as told [`PROPAGATION_BOUND`] after discovery had it and could be reached, whatever became of the calls before.
//! A dispatcher is without a call for [`MAX_RETRY_DELAY`] at most. What is left is for the call's turn at discovery. So the
//! bound holds while the new watches of the whole tier take two thirds of [`PROPAGATION_BOUND`] together; beyond that no
//! schedule of single calls can keep it, and the list stops being valid instead ([`crate::list_status`]).

use crate::call_failure::CallFailure;
use crate::Millis;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// A change counts as told so long after discovery had it and could be reached. The platform's protocol page has this
/// figure; no setting holds it.
pub const PROPAGATION_BOUND: Millis = 6000;
/// The longest wait before a call is made again that failed: a third of [`PROPAGATION_BOUND`]. Another third is for a call that
/// discovery holds until its patience ends while it comes back, and one for the turn of the call made again.
pub const MAX_RETRY_DELAY: Millis = PROPAGATION_BOUND / 3;
/// Time that a tier whose watches were ended leaves discovery for each dispatcher's new one. No setting tells how long
/// one takes: 3 to 200 ms were seen, the longer ones in smaller tiers.
const ENDED_WATCH: Millis = 40;
/// A call that failed after so long was held by discovery: it was not turned away at once.
const HELD_CALL: Millis = 1000;
/// The longest wait before a call is made again that this machine could not make.
const NOT_MADE_DELAY: Millis = 200;
/// How far calls are spread that are made again at once.
const HELD_CALL_SPREAD: Millis = 100;
/// How long a call that does not wait for news may stand without an answer: at first, and at most.
const PATIENCE: (Millis, Millis) = (10_000, 40_000);
/// Time that the tier leaves discovery for each dispatcher's renewal of a watch that brought nothing: all together make
/// fifty such calls a second, as long as their waits are under the longest.
const RENEWAL: Millis = 20;
/// The shortest and the longest wait of a watch. Short ones show sooner that a watch has fallen silent: until then the list
/// lacks what was told. Renewals take no turn at discovery.
const WAITS: (Millis, Millis) = (1000, 6000);
/// How often a dispatcher takes a turn anew, in place of a renewal, where the turns that it took were long: a crowd may have
/// stood before it, as at the start of a whole tier.
const TURNS_TAKEN_ANEW: u32 = 3;
/// It does so behind so many renewals at most, and behind this many times as many the next time. Renewals of a tier are spread
/// by [`RENEWAL`], so that it makes fourteen such calls a second at first.
const RENEWALS_BEFORE_TURN: (u32, u32) = (4, 4);
/// Tiers from this size are large: their calls to discovery add up to a burst, and one dispatcher alone sees little of each worker.
pub const LARGE_TIER: u32 = 9;

/// How one dispatcher schedules its calls. Spans are in milliseconds.
#[derive(Debug)]
pub struct WatchSchedule {
    dispatchers: u32,
    rng: StdRng,
    /// Calls without a wait that came to no answer, one behind the other.
    silent_calls: u32,
    /// Turns taken anew so far, and renewals until the next one.
    turns_taken: u32,
    renewals_left: Option<u32>,
}

/// A call that came to nothing.
#[derive(Clone, Copy, Debug)]
pub struct FailedCall {
    /// It waited for news.
    pub watched: bool,
    /// How it came to nothing.
    pub failure: CallFailure,
    /// How long it took to fail.
    pub took: Millis,
}

impl WatchSchedule {
    /// For one of so many dispatchers. The seed has to be another one at each of them.
    pub fn new(dispatchers: u32, seed: u64) -> Self {
        WatchSchedule {
            dispatchers,
            rng: StdRng::seed_from_u64(seed),
            silent_calls: 0,
            turns_taken: 0,
            renewals_left: None,
        }
    }

    /// Whether calls that all make at once have to be spread.
    fn is_large(&self) -> bool {
        self.dispatchers >= LARGE_TIER
    }

    /// How long the next call may wait for news.
    pub fn wait(&mut self) -> Millis {
        let longest = (Millis::from(self.dispatchers) * RENEWAL).clamp(WAITS.0, WAITS.1);
        if longest == WAITS.0 {
            return longest;
        }
        // Those that began to watch in step don't renew in step.
        self.rng.random_range(longest * 3 / 4..=longest)
    }

    /// A call came to nothing; when to ask for the list again, unless the module has to say.
    pub fn retry_delay(&mut self, failed: FailedCall) -> Option<Millis> {
        if failed.failure == CallFailure::NotMade {
            // It cost discovery nothing.
            return Some(self.rng.random_range(NOT_MADE_DELAY / 2..=NOT_MADE_DELAY));
        }
        if failed.failure == CallFailure::Silent {
            // Silent watches began at many times, and so end at many.
            self.silent_calls += u32::from(!failed.watched);
            return Some(0);
        }
        if failed.watched {
            // Those that are ended may all be ended at once. The module's own wait is as short in a small tier.
            return self.is_large().then(|| self.ended_watch_delay());
        }
        (failed.took >= HELD_CALL).then(|| self.rng.random_range(0..=HELD_CALL_SPREAD))
    }

    /// A call was answered.
    pub fn answered(&mut self) {
        self.silent_calls = 0;
    }

    /// Whether the next call is to take a turn at discovery in place of carrying the watch on, so that its cost is known from a
    /// quiet time too. `turn_seems_long`: what is known of it says that a crowd outlasts the bound. Asked once for each answer.
    pub fn should_measure_service_time(&mut self, turn_seems_long: bool) -> bool {
        if !turn_seems_long || self.turns_taken >= TURNS_TAKEN_ANEW {
            self.renewals_left = None;
            return false;
        }
        let most = RENEWALS_BEFORE_TURN.0 * RENEWALS_BEFORE_TURN.1.pow(self.turns_taken);
        let left = self.renewals_left.take().unwrap_or_else(|| self.rng.random_range(1..=most));
        if left > 1 {
            self.renewals_left = Some(left - 1);
            return false;
        }
        self.turns_taken += 1;
        true
    }

    /// How long a call that does not wait for news may stand without an answer. It grows with those that came to none: the
    /// queue may be longer than that.
    pub fn answer_timeout(&self) -> Millis {
        let doublings = self.silent_calls.min(PATIENCE.1.ilog2());
        (PATIENCE.0 << doublings).min(PATIENCE.1)
    }

    fn ended_watch_delay(&mut self) -> Millis {
        let longest = (Millis::from(self.dispatchers) * ENDED_WATCH).min(MAX_RETRY_DELAY);
        self.rng.random_range(0..=longest)
    }
}
