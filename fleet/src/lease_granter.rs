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
    began: Time,
    ends: BTreeMap<Resource, Time>,
}

impl LeaseGranter {
    /// Starts a term as leader: every existing lease counts as renewed at this moment.
    pub fn begin(now: Time) -> LeaseGranter {
        LeaseGranter { began: now, ends: BTreeMap::new() }
    }

    /// Records that a lease was granted or renewed, after a majority has confirmed the leadership since the request.
    pub fn renewed(&mut self, resource: &Resource, now: Time, timing: &Timing) {
        self.ends.insert(resource.clone(), now + timing.grant_exclusion());
    }

    /// Whether a resource may be granted: it has no holder, or the holder's lease must have expired by now.
    pub fn is_free(&self, resource: &Resource, ledger: &Ledger, now: Time, timing: &Timing) -> bool {
        ledger.grant(resource).is_none() || self.has_expired(resource, now, timing)
    }

    /// Whether the lease of a resource has expired, counting any lease that may have been granted, even if the ledger
    /// lists none.
    pub fn has_expired(&self, resource: &Resource, now: Time, timing: &Timing) -> bool {
        self.ends.get(resource).copied().unwrap_or(self.began + timing.grant_exclusion()) <= now
    }

    /// Drops expired entries of resources that are no longer in the ledger.
    pub fn forget(&mut self, ledger: &Ledger, now: Time) {
        self.ends.retain(|resource, end| *end > now || ledger.grant(resource).is_some());
    }
}
