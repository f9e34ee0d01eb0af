//! Admission: whom to refuse when capacity is short.

use crate::api::*;
use crate::state::Rate;
use fastrand::Rng;
use rustc_hash::FxHashMap;

/// Concern 4, admission: one level for all tenants, in multiples of their quotas; it falls in shortages.
#[derive(Debug, Default)]
pub struct Admission {
    pub rates: Vec<Rate>,
    pub all: Rate,
    pub level: f64,
    /// Whether the last request of a class found none to serve it in time.
    pub short_of_capacity: Vec<bool>,
    pub peak_use: f64,
    /// Part of the requests that a zone has room for, by waits there; how it rises at a short one, if learnt.
    pub zone_admission: FxHashMap<ZoneId, f64>,
    pub zone_recovery: Option<f64>,
    pub no_reports: bool,
}

impl Admission {
    /// The level falls by this part at a shortage, else rises by a fifth: one request in six is short.
    const STEP: f64 = 0.05;

    /// Moves the level after a request met a shortage or not. While nobody is over it there is none.
    pub fn update_level(&mut self, short: bool) {
        if short {
            self.level = self.level.min(self.peak_use) * (1.0 - Self::STEP);
        } else if self.level < self.peak_use {
            self.level *= 1.0 + Self::STEP / 5.0;
        } else {
            self.level = f64::MAX;
        }
    }

    /// A job waited too long in a zone, or not: the part that has room there follows.
    pub fn record_wait(&mut self, zone: ZoneId, long: bool) {
        let Some(recovery) = self.zone_recovery else { return };
        let admitted = self.zone_admission.entry(zone).or_insert(1.0);
        *admitted *= if long { 1.0 - Self::STEP } else { 1.0 + Self::STEP * recovery };
        *admitted = admitted.clamp(Self::STEP, 1.0);
    }

    /// Whether to refuse a request of a tenant above the level that capacity allows.
    pub fn refuses(&mut self, now: Micros, tenant: TenantId, settings: &Settings, rng: &mut Rng) -> bool {
        // The doubt of a rate is the tenant's.
        let used = |rate: &Rate, t: &Tenant| rate.lower_bound(now) / t.quota_per_s.max(1e-9);
        let mut uses: Vec<f64> = self.rates.iter().zip(&settings.tenants).map(|(r, t)| used(r, t)).collect();
        let own = uses[tenant.0];
        let middle = uses.len() / 2;
        let median = *uses.select_nth_unstable_by(middle, f64::total_cmp).1;
        self.peak_use = (self.peak_use * 0.99).max(own);
        // Nobody is over its share at the median tenant's use, or at an even part of its quota.
        let level = self.level.max(median).max(1.0 / f64::from(settings.instances));
        own > level && rng.f64() > level / own
    }
}
