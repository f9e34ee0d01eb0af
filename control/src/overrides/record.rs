//! One override, or the clearing of one.

use super::clock::Stamp;
use crate::Millis;
use std::fmt;
use std::sync::Arc;

/// A name or a text that an operator gave. Cheap to copy.
pub type Name = Arc<str>;

/// Names of workers, dispatchers, classes, tenants and operators hold so many bytes at most.
pub const MAX_NAME_LEN: usize = 64;

/// A multiplier of a worker's share, in thousandths: the same number on every dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Weight(u32);

impl Weight {
    /// The least and the largest, in thousandths.
    pub const RANGE: std::ops::RangeInclusive<u32> = 10..=100_000;

    /// From a factor of 0.01 to 100, rounded to a thousandth; `None` outside.
    pub fn new(factor: f64) -> Option<Weight> {
        let in_range = (0.01..=100.0).contains(&factor);
        in_range.then(|| Weight((factor * 1000.0).round() as u32))
    }

    /// From thousandths; `None` outside the range.
    pub fn from_thousandths(thousandths: u32) -> Option<Weight> {
        Self::RANGE.contains(&thousandths).then_some(Weight(thousandths))
    }

    /// In thousandths.
    pub fn thousandths(self) -> u32 {
        self.0
    }

    /// The factor.
    pub fn factor(self) -> f64 {
        f64::from(self.0) / 1000.0
    }
}

/// What of a worker an override is about. With the worker it names the slot that later writes replace.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Scope {
    /// The worker's share.
    Weight,
    /// Whether anything new goes there.
    OutOfService,
    /// Where a class's flows go, or those of one tenant of it.
    Pinned {
        /// The class, by its name.
        class: Name,
        /// The tenant; `None`: all that have no pin of their own.
        tenant: Option<Name>,
    },
}

impl Scope {
    /// The word for it: `weight`, `out-of-service` or `pinned`.
    pub fn word(&self) -> &'static str {
        match self {
            Scope::Weight => "weight",
            Scope::OutOfService => "out-of-service",
            Scope::Pinned { .. } => "pinned",
        }
    }
}

/// Holds one value at a time: the last written.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Slot {
    /// The worker, by its name in the list; it need not be listed.
    pub worker: Name,
    /// What of it.
    pub scope: Scope,
}

/// What a record does to its slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Effect {
    /// Sets it; the weight, where the slot is one of a weight.
    Set(Option<Weight>),
    /// Ends what was written before.
    Clear,
}

/// A write to a slot. It never changes once written.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Record {
    /// When and where it was written: its id, and its place among the writes to the slot.
    pub stamp: Stamp,
    /// What it writes to.
    pub slot: Slot,
    /// What it writes.
    pub effect: Effect,
    /// When it ends. Of a clearing: when the cleared one would have ended.
    pub until: Millis,
    /// Who set it.
    pub by: Name,
    /// Why.
    pub why: Name,
}

impl Record {
    /// Whether it sets something that has not ended by itself.
    pub fn is_live(&self, now: Millis) -> bool {
        self.effect != Effect::Clear && now < self.until
    }
}

impl fmt::Display for Record {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.effect, &self.slot.scope) {
            (Effect::Clear, scope) => write!(f, "{} cleared", scope.word()),
            (Effect::Set(Some(weight)), _) => write!(f, "weight {}", weight.factor()),
            (_, Scope::Pinned { class, tenant: Some(tenant) }) => write!(f, "pinned {class}/{tenant}"),
            (_, Scope::Pinned { class, tenant: None }) => write!(f, "pinned {class}"),
            (_, scope) => f.write_str(scope.word()),
        }
    }
}
