//! Slow start: how much of a cold worker's budget one instance may use.
//!
//! The settings bound the work that all instances of a tier together send to a worker that has just started. Each of them
//! owns an even part of that budget, which grows with the worker's warmth, and knows only what it sent itself. The part is
//! often less than one job, so a job is granted where the part, from a phase drawn by lot, has grown by a whole one. What a
//! job takes beyond its part is an overdraft, over all classes and sizes of jobs, which later growth pays back.

use crate::api::{Micros, Rules};

/// Part of the budget that is used: the rest allows for chance and for unusually large work.
const BUDGET_MARGIN: f64 = 0.6;

/// What an instance has sent to a worker beyond its part, as slot time, and as of when.
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
    /// Slots that a worker of its kind has.
    pub slots: f64,
    /// Instances that share the budget.
    pub instances: u32,
}

impl ColdBudget<'_> {
    /// This instance's part of what may have been sent by then, as slot time.
    fn part_by(&self, at: Micros) -> f64 {
        let age = at.saturating_sub(self.started) as f64;
        let mean_warmth =
            self.rules.cold_from + (1.0 - self.rules.cold_from) * age / (2.0 * self.rules.warm_up as f64);
        let capacity = self.slots * mean_warmth * age;
        self.rules.overload_factor * BUDGET_MARGIN * capacity / f64::from(self.instances)
    }

    /// What is left of an overdraft after the part has grown until now.
    fn owed(&self, overdraft: Overdraft, now: Micros) -> f64 {
        let paid_back = self.part_by(now) - self.part_by(overdraft.as_of);
        (overdraft.slot_time - paid_back).max(0.0)
    }

    /// Whether a job that takes `cost` of slot time may be sent. `phase` is the instance's lot for this start of the worker,
    /// from 0 to 1. Growth counts for half the rule's span, so that nothing is saved up, and from `known_since` on: what an
    /// earlier process of this instance sent before that is not known, and its grants are held to be used.
    pub fn allows(
        &self,
        cost: f64,
        phase: f64,
        known_since: Micros,
        overdraft: Overdraft,
        now: Micros,
    ) -> bool {
        let growth_from = now.saturating_sub(self.rules.overload_for / 2).max(known_since);
        let (before, part) = (self.part_by(growth_from), self.part_by(now));
        let whole_jobs = |part: f64| (part / cost + phase).floor();
        whole_jobs(part) > whole_jobs(before) && self.owed(overdraft, now) < part - before
    }

    /// The overdraft once a job that takes `cost` has been sent as well.
    pub fn sent(&self, cost: f64, overdraft: Overdraft, now: Micros) -> Overdraft {
        Overdraft { slot_time: self.owed(overdraft, now) + cost, as_of: now }
    }
}
