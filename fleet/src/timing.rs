//! Every span that members must agree on, derived from the few that an operator may set.

use crate::Time;
use std::time::Duration;

/// The spans of a fleet. All members must use the same.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// How long a lease lasts without renewal.
    pub lease_duration: Duration,
    /// How far any clock's rate may be off, in parts of 1,000.
    pub drift_permille: u32,
    /// Between two ticks of a node.
    pub tick_interval: Duration,
    /// A member is probed this often, on average.
    pub probe_interval: Duration,
    /// A suspect that says nothing for so long is declared dead.
    pub suspicion_timeout: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            lease_duration: Duration::from_millis(1500),
            drift_permille: 20,
            tick_interval: Duration::from_millis(50),
            probe_interval: Duration::from_millis(500),
            suspicion_timeout: Duration::from_millis(2000),
        }
    }
}

impl Timing {
    /// Two ticks further apart than this: the process was stopped.
    pub fn stall_threshold(&self) -> Duration {
        self.lease_duration / 3
    }

    /// An owner renews this often.
    pub fn renewal_interval(&self) -> Duration {
        self.lease_duration / 4
    }

    /// For so long after it asked, by its own clock, an owner may act.
    pub fn lease_validity(&self) -> Duration {
        self.lease_duration * (1000 - self.drift_permille.min(500)) / 1000
    }

    /// For so long after it granted, by its own clock, a lease granter lets nobody else have it: the slowest clock
    /// that is allowed has then counted [`Timing::lease_validity`].
    pub fn grant_exclusion(&self) -> Duration {
        self.lease_duration * (1000 + self.drift_permille) / 1000 + self.tick_interval
    }

    /// Between two requests of one who wants what somebody else has.
    pub fn retry_interval(&self) -> Duration {
        self.lease_duration / 8
    }

    /// Ticks that span this time, one at least.
    pub fn ticks(&self, span: Time) -> usize {
        (span.as_micros() / self.tick_interval.as_micros().max(1)).max(1) as usize
    }

    /// A leader that no majority answers is followed by another after this to twice this time.
    pub fn election_timeout(&self) -> Duration {
        self.lease_duration / 4
    }
}
