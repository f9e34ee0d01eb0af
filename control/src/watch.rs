//! The pace at which one dispatcher calls a discovery that it shares with the rest of its tier.
//!
//! One dispatcher that renews a watch each second is nothing; a hundred that do it in step fill a discovery's
//! queue with calls that bring nothing, and the same few are served each time while the others get no list at
//! all. So each pace here is that of the tier, divided by the dispatchers in it, spread at random, and slowed
//! where discovery shows that it has too much to do.

use crate::Millis;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Time that the tier leaves discovery for each dispatcher's renewal of a watch that brought nothing: all
/// together make ten such calls a second at most.
const RENEWAL: Millis = 100;
/// The shortest and the longest wait of a watch. Short ones show sooner that discovery has gone quiet.
const WAITS: (Millis, Millis) = (1000, 20_000);
/// Time that the tier leaves discovery for each dispatcher's first call.
const FIRST: Millis = 120;
/// Tiers up to this size call as soon as they can: they are no herd.
const FEW: u32 = 8;
/// Calls of the whole tier that are to stand at discovery at a time, those aside that wait for news. An answer that
/// took so long tells by itself how often the tier may call: as many a second as keep that many there.
const AT_DISCOVERY: Millis = 6;
/// Calls of a dispatcher for each gap: one that does not wait, and a watch.
const CALLS: Millis = 2;
/// Time that the tier leaves discovery for each dispatcher's calls after news at least: they come in one burst.
const LEAST: Millis = 10;
/// What changes so soon behind an answer to a watch counts as told, as if the watch went on.
const TOLD_BEHIND: Millis = 200;

/// How one dispatcher paces its calls. Spans are in milliseconds.
#[derive(Debug)]
pub struct WatchPace {
    dispatchers: u32,
    /// The longest time before the first call.
    first: Millis,
    /// How long answers take that do not wait for news.
    took: Millis,
    /// The longest mean gap between news and the next call: one that does not call counts as told all the same.
    most: Millis,
    /// The last call was put off.
    put_off: bool,
    rng: StdRng,
}

impl WatchPace {
    /// For one of so many dispatchers. `ask_within`: one that has not called for so long counts as told. The seed
    /// has to be another one at each of them.
    pub fn new(dispatchers: u32, ask_within: Millis, seed: u64) -> Self {
        let few = dispatchers <= FEW;
        let most = if few { 0 } else { ask_within * 7 / 10 };
        // One that has not called yet counts as told like one that no longer calls, however large the tier.
        let first = if few { 0 } else { (Millis::from(dispatchers) * FIRST).min(ask_within * 19 / 20) };
        let rng = StdRng::seed_from_u64(seed);
        WatchPace { dispatchers, first, took: LEAST * AT_DISCOVERY, most, put_off: true, rng }
    }

    /// How long to put off a call that all dispatchers may be about to make: the first one after a start.
    pub fn first(&mut self) -> Millis {
        match self.first {
            0 => 0,
            first => self.rng.random_range(0..=first),
        }
    }

    /// Whether the tier is large enough for all this.
    pub fn is_spread(&self) -> bool {
        self.most > 0
    }

    /// How long the next call may wait for news: one that was put off not at all, so that it shows how long calls
    /// stand in discovery's queue.
    pub fn wait(&mut self) -> Millis {
        if self.put_off && self.is_spread() {
            return 0;
        }
        let even = (Millis::from(self.dispatchers) * RENEWAL).clamp(WAITS.0, WAITS.1);
        // Those that began to watch in step don't renew in step.
        if even == WAITS.0 {
            even
        } else {
            self.rng.random_range(even * 3 / 4..=even)
        }
    }

    /// How long to put off the next call after an answer that came `took` after the call, with news or without: the
    /// same news went to all, and more of the kind gathers meanwhile. What changes soon behind an answer counts as told: so
    /// before that, a watch goes on until nothing has come for `quiet`. One to a call that was put off comes at any time,
    /// and then a watch has to go on at once.
    pub fn answered(&mut self, news: bool, took: Millis) -> Millis {
        if !self.is_spread() {
            return 0;
        }
        if std::mem::take(&mut self.put_off) {
            self.took = (self.took + took).div_ceil(2);
            return 0;
        }
        if !news {
            return 0;
        }
        self.put_off = true;
        let longest = self.most * 6 / 5;
        let each = LEAST.max(self.took * CALLS / AT_DISCOVERY);
        let gap = (Millis::from(self.dispatchers) * each).min(self.most);
        self.rng.random_range(gap / 2..=gap * 3 / 2).min(longest)
    }

    /// How long a watch has to be without news until it may be dropped: what counts as told behind the last answer would
    /// have come by then, although calls stand in discovery's queue.
    pub fn quiet(&self) -> Millis {
        TOLD_BEHIND + self.took * 2
    }

    /// A watch came to no answer; when to ask for the list, unless the module has to say. Whatever the size of the tier,
    /// what a watch missed that fell silent counts as told soon after its wait; and one that was ended holds for a time
    /// from the call that began it, which may be over. So there is one call soon, which does not wait: how that one fails
    /// shows whether discovery can't keep up. Silent watches began at many times, and so end at many; those that are
    /// ended may all be ended at once.
    pub fn ended(&mut self, silent: bool) -> Option<Millis> {
        self.put_off = true;
        match (silent, self.is_spread()) {
            (true, _) => Some(0),
            (false, true) => Some(self.rng.random_range(0..=Millis::from(self.dispatchers) * LEAST)),
            // The module's own wait is as short in such a tier.
            (false, false) => None,
        }
    }

    /// A call failed after `took`: discovery refused it, or was silent.
    pub fn failed(&mut self, took: Millis) {
        self.put_off = true;
        self.took = (self.took + took).div_ceil(2);
    }
}
