//! What a call's turn costs at a discovery that handles the calls of a whole tier one by one, as far as one dispatcher can tell.
//!
//! A call that does not wait for news takes its turn and what stands before it, so the shortest of them is what a turn costs at
//! most. That times the size of the tier is how long discovery needs, at most, to answer all of it once: the time that a crowd
//! lasts, as it comes about where the whole tier has lost its watches.
//!
//! The estimate errs upwards alone, as long as discovery gets no slower: one that has seen no call but those in a crowd takes
//! their waits for cost. One that discovery answers slower than before is too low.

use crate::Millis;

/// What one dispatcher knows of the cost of a turn.
#[derive(Clone, Copy, Debug)]
pub struct ServiceTimeEstimate {
    dispatchers: u32,
    shortest_call: Option<Millis>,
}

impl ServiceTimeEstimate {
    /// Nothing is known yet of a discovery that so many dispatchers share.
    pub fn for_tier(dispatchers: u32) -> Self {
        ServiceTimeEstimate { dispatchers, shortest_call: None }
    }

    /// A call that did not wait for news was answered after so long.
    pub fn record(&mut self, took: Millis) {
        self.shortest_call = Some(self.shortest_call.map_or(took, |shortest| shortest.min(took)));
    }

    /// The shortest call so far that did not wait for news.
    pub fn shortest_call(&self) -> Option<Millis> {
        self.shortest_call
    }

    /// How long discovery needs at most to answer the whole tier once; `None`: nothing is known.
    pub fn full_tier_time(&self) -> Option<Millis> {
        self.shortest_call.map(|turn| turn.saturating_mul(self.dispatchers.into()))
    }
}
