//! Slow start: how much of a cold worker's budget one instance may use.
//!
//! The settings bound the work that all instances of a tier together send to a worker that has just started.
//! Each instance owns an equal part of that budget, which grows as the worker warms up, and knows only what
//! it sent itself. The part is often less than one job, so a job is admitted when the part, offset by a
//! random phase, has grown past the next whole job. What a job takes beyond the part is an overdraft, shared
//! by all classes and job sizes, which later growth pays back.

use crate::api::{Micros, Rules};

/// Part of the budget that is used. The rest covers random variation and unusually large jobs.
const BUDGET_MARGIN: f64 = 0.6;

/// Slot time that an instance has sent to a worker beyond its part of the budget, at time `as_of`.
#[derive(Clone, Copy, Debug, Default)]
pub struct Overdraft {
    slot_time: f64,
    as_of: Micros,
}

/// One instance's part of the budget of a worker that started at a given time.
#[derive(Clone, Copy, Debug)]
pub struct ColdBudget<'a> {
    pub rules: &'a Rules,
    /// When the worker started.
    pub started: Micros,
    /// Slots of a worker of this kind.
    pub slots: f64,
    /// Instances that share the budget.
    pub instances: u32,
}

impl ColdBudget<'_> {
    /// Slot time that this instance may have sent by `at`.
    fn budget_at(&self, at: Micros) -> f64 {
        let age = at.saturating_sub(self.started) as f64;
        let mean_warmth =
            self.rules.cold_from + (1.0 - self.rules.cold_from) * age / (2.0 * self.rules.warm_up as f64);
        let capacity = self.slots * mean_warmth * age;
        self.rules.overload_factor * BUDGET_MARGIN * capacity / f64::from(self.instances)
    }

    /// What is left of an overdraft after the growth of the part since then.
    fn outstanding(&self, overdraft: Overdraft, now: Micros) -> f64 {
        let paid_back = self.budget_at(now) - self.budget_at(overdraft.as_of);
        (overdraft.slot_time - paid_back).max(0.0)
    }

    /// Whether a job that takes `cost` of slot time may be sent. `phase`, from 0 to 1, is the instance's
    /// random offset for this start of the worker. Only growth within half of the overload span counts, so
    /// that no budget accumulates, and only from `known_since` on: what an earlier process of this instance
    /// sent is not known, so its budget is assumed to be used up.
    pub fn allows(
        &self,
        cost: f64,
        phase: f64,
        known_since: Micros,
        overdraft: Overdraft,
        now: Micros,
    ) -> bool {
        let growth_from = now.saturating_sub(self.rules.overload_for / 2).max(known_since);
        let (before, part) = (self.budget_at(growth_from), self.budget_at(now));
        let whole_jobs = |part: f64| (part / cost + phase).floor();
        whole_jobs(part) > whole_jobs(before) && self.outstanding(overdraft, now) < part - before
    }

    /// The overdraft after a job that takes `cost` has been sent too.
    pub fn sent(&self, cost: f64, overdraft: Overdraft, now: Micros) -> Overdraft {
        Overdraft { slot_time: self.outstanding(overdraft, now) + cost, as_of: now }
    }
}
