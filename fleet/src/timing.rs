//! Timing parameters that members must agree on, derived from the few that an operator can set.

use crate::Time;
use std::time::Duration;

/// Timing parameters of a fleet. They must be equal at all members.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// How long a lease lasts without renewal.
    pub lease_duration: Duration,
    /// Maximum drift rate of any clock, in parts per 1,000.
    pub drift_permille: u32,
    /// Time between two ticks of a node.
    pub tick_interval: Duration,
    /// Average interval at which a member is probed.
    pub probe_interval: Duration,
    /// A suspect that does not respond for this long is declared dead.
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
    /// If two ticks are further apart than this, the process was suspended in between.
    pub fn stall_threshold(&self) -> Duration {
        self.lease_duration / 3
    }

    /// Interval at which an owner renews its leases.
    pub fn renewal_interval(&self) -> Duration {
        self.lease_duration / 4
    }

    /// How long after sending a request, by its own clock, an owner may act.
    pub fn lease_validity(&self) -> Duration {
        self.lease_duration * (1000 - self.drift_permille.min(500)) / 1000
    }

    /// How long after a grant, by its own clock, the granter does not grant the resource to another member. By then
    /// the slowest permitted clock has counted [`Timing::lease_validity`].
    pub fn grant_exclusion(&self) -> Duration {
        self.lease_duration * (1000 + self.drift_permille) / 1000 + self.tick_interval
    }

    /// Interval between requests of a member waiting for a resource that another one holds.
    pub fn retry_interval(&self) -> Duration {
        self.lease_duration / 8
    }

    /// Number of ticks in this time, at least one.
    pub fn ticks(&self, span: Time) -> usize {
        (span.as_micros() / self.tick_interval.as_micros().max(1)).max(1) as usize
    }

    /// Election timeout. A leader that no majority answers is replaced after one to two times this value.
    pub fn election_timeout(&self) -> Duration {
        self.lease_duration / 4
    }
}
