//! Estimates the service time of a request at a discovery service that handles the requests of a whole tier
//! one at a time, as far as one dispatcher can observe it.
//!
//! A request that does not wait for changes takes its queueing time plus its service time, so the shortest
//! such request is an upper bound on the service time. Multiplied by the size of the tier, it bounds the time
//! that discovery needs to answer every dispatcher once, which is how long congestion lasts after the whole
//! tier has lost its watches.
//!
//! As long as discovery does not get slower, the estimate can only be too high: a dispatcher that has
//! measured requests only during congestion counts their queueing time as service time. If discovery gets
//! slower, the estimate is too low.

use crate::Millis;

/// One dispatcher's estimate of the service time of a request.
#[derive(Clone, Copy, Debug)]
pub struct ServiceTimeEstimate {
    dispatchers: u32,
    shortest_call: Option<Millis>,
}

impl ServiceTimeEstimate {
    /// An estimate without measurements, for a discovery service shared by `dispatchers` dispatchers.
    pub fn for_tier(dispatchers: u32) -> Self {
        ServiceTimeEstimate { dispatchers, shortest_call: None }
    }

    /// Records the duration of an answered request that did not wait for changes.
    pub fn record(&mut self, took: Millis) {
        self.shortest_call = Some(self.shortest_call.map_or(took, |shortest| shortest.min(took)));
    }

    /// The shortest answered request so far that did not wait for changes.
    pub fn shortest_call(&self) -> Option<Millis> {
        self.shortest_call
    }

    /// Upper bound on the time that discovery needs to answer the whole tier once; `None` before the first
    /// measurement.
    pub fn full_tier_time(&self) -> Option<Millis> {
        self.shortest_call.map(|turn| turn.saturating_mul(self.dispatchers.into()))
    }
}
