//! Admission control: which requests to refuse when capacity is short.

use crate::api::*;
use crate::state::Rate;
use fastrand::Rng;
use rustc_hash::FxHashMap;

/// Concern 4, admission: one level for all tenants, as a multiple of their quotas, which falls when capacity
/// is short.
#[derive(Debug, Default)]
pub struct Admission {
    pub rates: Vec<Rate>,
    pub total_rate: Rate,
    pub level: f64,
    /// Whether the last request of a class found no worker that could start it in time.
    pub short_of_capacity: Vec<bool>,
    pub peak_use: f64,
    /// Fraction of the requests that a zone can admit, learnt from the waits there, and the rate at which it
    /// recovers after a short wait; `None`: not learnt.
    pub zone_admission: FxHashMap<ZoneId, f64>,
    pub zone_recovery: Option<f64>,
    pub no_reports: bool,
}

impl Admission {
    /// The level falls by this fraction at a shortage and otherwise rises by a fifth of it, so that it
    /// settles where one request in six meets a shortage.
    const STEP: f64 = 0.05;

    /// Updates the level after a request. While no tenant exceeds the level, there is no limit.
    pub fn update_level(&mut self, short: bool) {
        if short {
            self.level = self.level.min(self.peak_use) * (1.0 - Self::STEP);
        } else if self.level < self.peak_use {
            self.level *= 1.0 + Self::STEP / 5.0;
        } else {
            self.level = f64::MAX;
        }
    }

    /// Updates the fraction that a zone can admit after a job's wait there, `long` or not.
    pub fn record_wait(&mut self, zone: ZoneId, long: bool) {
        let Some(recovery) = self.zone_recovery else { return };
        let admitted = self.zone_admission.entry(zone).or_insert(1.0);
        *admitted *= if long { 1.0 - Self::STEP } else { 1.0 + Self::STEP * recovery };
        *admitted = admitted.clamp(Self::STEP, 1.0);
    }

    /// Whether to refuse a request, because its tenant uses more than the current level.
    pub fn refuses(&mut self, now: Micros, tenant: TenantId, settings: &Settings, rng: &mut Rng) -> bool {
        // Uses the lower bound of the rate: uncertainty counts in the tenant's favour.
        let used = |rate: &Rate, t: &Tenant| rate.lower_bound(now) / t.quota_per_s.max(1e-9);
        let mut uses: Vec<f64> = self.rates.iter().zip(&settings.tenants).map(|(r, t)| used(r, t)).collect();
        let own = uses[tenant.0];
        let middle = uses.len() / 2;
        let median = *uses.select_nth_unstable_by(middle, f64::total_cmp).1;
        self.peak_use = (self.peak_use * 0.99).max(own);
        // A tenant at or below the median use, or an equal part of its quota, is never over its share.
        let level = self.level.max(median).max(1.0 / f64::from(settings.instances));
        own > level && rng.f64() > level / own
    }
}
