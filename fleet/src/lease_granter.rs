//! The lease granter: when a leader may grant a resource to another member, by its own clock and only while it leads.

use crate::ledger::Ledger;
use crate::timing::Timing;
use crate::{Resource, Time};
use std::collections::BTreeMap;

/// A leader's view of when each lease ends.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct LeaseGranter {
    /// Since when it leads: whatever its predecessor renewed may have been renewed until then.
    began: Time,
    ends: BTreeMap<Resource, Time>,
}

impl LeaseGranter {
    /// A leader begins: every lease that stands counts as renewed at this moment.
    pub fn begin(now: Time) -> LeaseGranter {
        LeaseGranter { began: now, ends: BTreeMap::new() }
    }

    /// A lease was granted or renewed, as a majority has confirmed since it was asked for.
    pub fn renewed(&mut self, resource: &Resource, now: Time, timing: &Timing) {
        self.ends.insert(resource.clone(), now + timing.grant_exclusion());
    }

    /// Whether a resource may be granted to another: nobody has it, or whoever has it must have stopped by now.
    pub fn is_free(&self, resource: &Resource, ledger: &Ledger, now: Time, timing: &Timing) -> bool {
        ledger.grant(resource).is_none() || self.has_expired(resource, now, timing)
    }

    /// Whether the lease of a resource has run out, if ever it was granted, also where the ledger knows of none.
    pub fn has_expired(&self, resource: &Resource, now: Time, timing: &Timing) -> bool {
        self.ends.get(resource).copied().unwrap_or(self.began + timing.grant_exclusion()) <= now
    }

    /// Forgets what stands in the ledger no longer.
    pub fn forget(&mut self, ledger: &Ledger, now: Time) {
        self.ends.retain(|resource, end| *end > now || ledger.grant(resource).is_some());
    }
}
