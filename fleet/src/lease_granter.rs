//! The lease granter decides when a leader may grant a resource to another member, by its own clock and only while it
//! leads.

use crate::ledger::Ledger;
use crate::timing::Timing;
use crate::{Resource, Time};
use std::collections::BTreeMap;

/// A leader's view of when each lease ends.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct LeaseGranter {
    /// When the leadership began. The predecessor may have renewed any lease until then.
    leading_since: Time,
    expiries: BTreeMap<Resource, Time>,
}

impl LeaseGranter {
    /// Starts a term as leader: every existing lease counts as renewed at this moment.
    pub fn new(now: Time) -> LeaseGranter {
        LeaseGranter { leading_since: now, expiries: BTreeMap::new() }
    }

    /// Records that a lease was granted or renewed, after a majority has confirmed the leadership since the request.
    pub fn record_renewal(&mut self, resource: &Resource, now: Time, timing: &Timing) {
        self.expiries.insert(resource.clone(), now + timing.grant_exclusion());
    }

    /// Whether a resource may be granted: it has no holder, or the holder's lease must have expired by now.
    pub fn is_grantable(&self, resource: &Resource, ledger: &Ledger, now: Time, timing: &Timing) -> bool {
        ledger.grant(resource).is_none() || self.has_expired(resource, now, timing)
    }

    /// Whether the lease of a resource has expired, counting any lease that may have been granted, even if the ledger
    /// lists none.
    pub fn has_expired(&self, resource: &Resource, now: Time, timing: &Timing) -> bool {
        self.expiries.get(resource).copied().unwrap_or(self.leading_since + timing.grant_exclusion()) <= now
    }

    /// Drops expired entries of resources that are no longer in the ledger.
    pub fn prune(&mut self, ledger: &Ledger, now: Time) {
        self.expiries.retain(|resource, expiry| *expiry > now || ledger.grant(resource).is_some());
    }
}
