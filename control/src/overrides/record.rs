//! A write to an override: setting or clearing it.

use super::clock::Stamp;
use crate::Millis;
use std::fmt;
use std::sync::Arc;

/// A name or text given by an operator. Cheap to clone.
pub type Name = Arc<str>;

/// Maximum length in bytes of the names of workers, dispatchers, classes, tenants and operators.
pub const MAX_NAME_LEN: usize = 64;

/// Multiplier of a worker's share, in thousandths, so that it is exactly the same on every dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Weight(u32);

impl Weight {
    /// Permitted range, in thousandths.
    pub const RANGE: std::ops::RangeInclusive<u32> = 10..=100_000;

    /// From a factor between 0.01 and 100, rounded to a thousandth; `None` if out of range.
    pub fn new(factor: f64) -> Option<Weight> {
        let in_range = (0.01..=100.0).contains(&factor);
        in_range.then(|| Weight((factor * 1000.0).round() as u32))
    }

    /// From thousandths; `None` if out of range.
    pub fn from_thousandths(thousandths: u32) -> Option<Weight> {
        Self::RANGE.contains(&thousandths).then_some(Weight(thousandths))
    }

    /// The multiplier in thousandths.
    pub fn thousandths(self) -> u32 {
        self.0
    }

    /// The multiplier as a factor.
    pub fn factor(self) -> f64 {
        f64::from(self.0) / 1000.0
    }
}

/// The property of a worker that an override affects. Together with the worker it identifies the slot.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Scope {
    /// The worker's share.
    Weight,
    /// Whether the worker receives new jobs.
    OutOfService,
    /// The worker to which the flows of a class, or of one of its tenants, are pinned.
    Pinned {
        /// Name of the class.
        class: Name,
        /// Name of the tenant; `None` for all tenants without a pin of their own.
        tenant: Option<Name>,
    },
}

impl Scope {
    /// Name of the scope: `weight`, `out-of-service` or `pinned`.
    pub fn word(&self) -> &'static str {
        match self {
            Scope::Weight => "weight",
            Scope::OutOfService => "out-of-service",
            Scope::Pinned { .. } => "pinned",
        }
    }
}

/// A last-write-wins register, identified by worker and scope.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Slot {
    /// Name of the worker; it need not be in the worker list.
    pub worker: Name,
    /// The property of the worker.
    pub scope: Scope,
}

/// Effect of a record on its slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Effect {
    /// Sets the slot; with a weight if the scope is [`Scope::Weight`].
    Set(Option<Weight>),
    /// Clears all earlier writes.
    Clear,
}

/// An immutable write to a slot.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Record {
    /// Time and origin of the write: the id of the record and its position in the order of writes.
    pub stamp: Stamp,
    /// The slot that is written.
    pub slot: Slot,
    /// The effect of the write.
    pub effect: Effect,
    /// End of the override. For a clear: the end of the override that it clears.
    pub until: Millis,
    /// Name of the operator.
    pub by: Name,
    /// Reason given by the operator.
    pub why: Name,
}

impl Record {
    /// Whether the record sets an override that has not expired at `now`.
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
