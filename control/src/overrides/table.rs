//! All overrides known to a dispatcher, and their merge with those of other dispatchers.
//!
//! The table is a function of the set of records received, regardless of their order and of duplicates, so
//! dispatchers that received the same records hold the same table. Each slot keeps the records from the
//! latest clear on, limited to the latest [`MAX_IN_SLOT`] by stamp; only the latest is in force. A record is
//! kept for [`RETENTION`] after it was written, even if the override has expired: until then, a record that
//! it replaced may still arrive and must be superseded. Records are dropped in the order of their stamps, so
//! an older record cannot take the place of a newer one that was dropped.

use super::clock::{Clock, Stamp};
use super::codec::{encode, MAX_RECORD};
use super::record::{Effect, Name, Record, Scope, Slot, Weight, MAX_NAME_LEN};
use crate::{fingerprint, Millis};
use std::collections::BTreeMap;
use std::sync::Arc;
use thiserror::Error;

/// Upper limit of the duration of an override, whatever is configured: 72 hours, to cover a weekend.
pub const MAX_OVERRIDE_DURATION: Millis = 72 * 3_600_000;
/// A record further in the future than this is rejected: the clock of its writer is wrong, and no local write
/// could replace the record.
pub const MAX_FUTURE_SKEW: Millis = 60_000;
/// How long a record is kept after it was written. After that, no earlier record can be in force.
pub const RETENTION: Millis = MAX_OVERRIDE_DURATION + 2 * MAX_FUTURE_SKEW;
/// Maximum number of slots; writes to further slots are rejected.
pub const MAX_SLOTS: usize = 2048;
/// Maximum number of records per slot: the one in force and those it superseded.
pub const MAX_IN_SLOT: usize = 4;

/// A request that cannot be carried out: the offending field and the reason.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{field}: {reason}")]
pub struct InvalidRequest {
    /// The field, as named by the command line and the admin listener.
    pub field: &'static str,
    /// What is wrong with the field, and what is accepted.
    pub reason: String,
}

fn invalid<T>(field: &'static str, reason: impl Into<String>) -> Result<T, InvalidRequest> {
    Err(InvalidRequest { field, reason: reason.into() })
}

/// An operator's request to set an override.
#[derive(Clone, Debug, PartialEq)]
pub struct OverrideRequest {
    /// The slot to set.
    pub slot: Slot,
    /// The weight, if the scope of the slot is [`Scope::Weight`].
    pub weight: Option<f64>,
    /// End of the override.
    pub until: Millis,
    /// Name of the operator.
    pub by: String,
    /// Reason for the override.
    pub why: String,
}

/// Result of merging a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merged {
    /// The record was unknown and has been stored.
    New,
    /// The record is already known, or superseded by a known one.
    Known,
    /// The record is older than [`RETENTION`], or lasts longer than any override may.
    Stale,
    /// The record's timestamp is in the future: a clock is wrong.
    Future,
    /// The maximum number of slots is reached.
    Full,
}

/// Assignment of flows to a worker.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Pin {
    /// Class of the flows.
    pub class: Name,
    /// Tenant of the flows; `None` for all tenants without a pin of their own.
    pub tenant: Option<Name>,
    /// The worker that receives the flows.
    pub worker: Name,
}

/// The overrides in force, as needed for decisions.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ActiveOverrides {
    /// Workers whose share is multiplied, and by what.
    pub weights: Vec<(Name, f64)>,
    /// Workers that receive no new jobs.
    pub out_of_service: Vec<Name>,
    /// Pins, at most one per class and tenant.
    pub pins: Vec<Pin>,
}

/// State of an override.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Standing {
    /// The override is in force.
    InForce,
    /// The worker is not in the worker list; a pin falls back to the normal choice.
    UnknownWorker,
    /// The worker of a pin is out of service by another override; the pin falls back to the normal choice.
    WorkerOutOfService,
    /// A later override has permanently replaced this one.
    Superseded {
        /// Id of the later override.
        id: String,
        /// Operator who set the later override.
        by: Name,
        /// Time at which the later override was set.
        at: Millis,
    },
}

/// An override and its state, as shown to operators.
#[derive(Clone, Debug, PartialEq)]
pub struct OverrideEntry {
    /// The record of the override.
    pub record: Arc<Record>,
    /// State of the override.
    pub standing: Standing,
}

/// The overrides known to one dispatcher.
#[derive(Clone, Debug)]
pub struct Table {
    clock: Clock,
    longest: Millis,
    /// Records per slot, latest first; never empty.
    slots: BTreeMap<Slot, Vec<Arc<Record>>>,
    /// All records by fingerprint, for digests.
    by_fingerprint: BTreeMap<u64, Arc<Record>>,
    /// Lower bound of the timestamps of all records.
    oldest: Millis,
    revision: u64,
}

impl Table {
    /// Creates an empty table for the dispatcher named `origin`. `longest` limits the duration of overrides
    /// set here; it is capped at [`MAX_OVERRIDE_DURATION`].
    pub fn new(origin: &str, longest: Millis) -> Table {
        Table {
            clock: Clock::new(origin.into()),
            longest: longest.min(MAX_OVERRIDE_DURATION),
            slots: BTreeMap::new(),
            by_fingerprint: BTreeMap::new(),
            oldest: Millis::MAX,
            revision: 0,
        }
    }

    /// Increases with every change to the stored records.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Name of the dispatcher that owns this table.
    pub fn origin(&self) -> &Name {
        self.clock.origin()
    }

    /// The latest record of a slot, including a clear or an expired override.
    pub fn latest(&self, slot: &Slot) -> Option<Arc<Record>> {
        self.slots.get(slot).and_then(|records| records.first()).cloned()
    }

    /// All stored records by fingerprint.
    pub fn by_fingerprint(&self) -> &BTreeMap<u64, Arc<Record>> {
        &self.by_fingerprint
    }

    /// Sets an override.
    ///
    /// # Errors
    ///
    /// Names the invalid field; the table is unchanged.
    pub fn set(&mut self, request: OverrideRequest, now: Millis) -> Result<Arc<Record>, InvalidRequest> {
        self.purge(now);
        let OverrideRequest { slot, weight, until, by, why } = request;
        check_name("worker", &slot.worker)?;
        if let Scope::Pinned { class, tenant } = &slot.scope {
            check_name("pin", class)?;
            tenant.as_ref().map_or(Ok(()), |t| check_name("pin", t))?;
        }
        let effect = match (&slot.scope, weight) {
            (Scope::Weight, Some(factor)) => match Weight::new(factor) {
                Some(weight) => Effect::Set(Some(weight)),
                None => return invalid("weight", format!("{factor} is not between 0.01 and 100")),
            },
            (Scope::Weight, None) => return invalid("weight", "is missing"),
            (_, Some(_)) => return invalid("weight", format!("does not go with {}", slot.scope.word())),
            (_, None) => Effect::Set(None),
        };
        check_name("by", &by)?;
        if why.trim().is_empty() || why.chars().any(char::is_control) {
            return invalid("why", "must be a line of text");
        }
        if until <= now {
            return invalid("until", "lies in the past; an override must end later than now");
        }
        if until - now > self.longest {
            let (asked, most) = (format_duration(until - now), format_duration(self.longest));
            return invalid("until", format!("is {asked} away; the longest that is allowed is {most}"));
        }
        self.write(slot, effect, until, by.into(), why.into(), now)
    }

    /// Clears an override before it expires, whichever dispatcher set it.
    ///
    /// # Errors
    ///
    /// No such override is in force; the table is unchanged.
    pub fn clear(
        &mut self,
        id: &str,
        by: &str,
        why: &str,
        now: Millis,
    ) -> Result<Arc<Record>, InvalidRequest> {
        self.purge(now);
        check_name("by", by)?;
        let Some(stamp) = Stamp::parse(id) else {
            return invalid("id", format!("{id:?} is not the id of an override"));
        };
        let live = self.by_fingerprint.values().filter(|r| r.stamp == stamp && r.is_live(now));
        let matching: Vec<Arc<Record>> = live.cloned().collect();
        let record = match matching.as_slice() {
            [] => return invalid("id", format!("no override {id} is known here; it may have ended")),
            [record] => record.clone(),
            // Two processes of one dispatcher may write in the same millisecond.
            [first, ..] => {
                let worker = &first.slot.worker;
                return invalid(
                    "id",
                    format!("{id} is the id of several, one on {worker}; set it anew and clear that"),
                );
            }
        };
        let latest_record = &self.slots[&record.slot][0];
        if *latest_record != record {
            return invalid(
                "id",
                format!("{id} is beaten already, by {}; that one can be cleared", latest_record.stamp),
            );
        }
        self.write(record.slot.clone(), Effect::Clear, record.until, by.into(), why.into(), now)
    }

    /// Clears the override in force in a slot, whichever dispatcher set it; `None` if there is none.
    ///
    /// # Errors
    ///
    /// Names the invalid field; the table is unchanged.
    pub fn clear_slot(
        &mut self,
        slot: &Slot,
        by: &str,
        why: &str,
        now: Millis,
    ) -> Result<Option<Arc<Record>>, InvalidRequest> {
        self.purge(now);
        check_name("by", by)?;
        let latest_record =
            self.slots.get(slot).and_then(|records| records.first()).filter(|r| r.is_live(now));
        let Some(until) = latest_record.map(|record| record.until) else { return Ok(None) };
        self.write(slot.clone(), Effect::Clear, until, by.into(), why.into(), now).map(Some)
    }

    fn write(
        &mut self,
        slot: Slot,
        effect: Effect,
        until: Millis,
        by: Name,
        why: Name,
        now: Millis,
    ) -> Result<Arc<Record>, InvalidRequest> {
        if self.slots.len() >= MAX_SLOTS && !self.slots.contains_key(&slot) {
            return invalid(
                "worker",
                format!("{MAX_SLOTS} slots are in use, ended ones included; none is free"),
            );
        }
        let stamp = self.clock.clone().next(now);
        let record = Record { stamp, slot, effect, until, by, why };
        let size = encode(&record).len();
        if size > MAX_RECORD {
            let over = size - MAX_RECORD;
            return invalid("why", format!("is too long: all texts together hold {over} bytes too many"));
        }
        self.clock.next(now);
        let record = Arc::new(record);
        self.insert(record.clone());
        Ok(record)
    }

    /// Merges a record from another dispatcher.
    pub fn merge(&mut self, record: Record, now: Millis) -> Merged {
        if record.stamp.wall > now + MAX_FUTURE_SKEW {
            return Merged::Future;
        }
        self.restore(record, now)
    }

    /// Merges a record of this dispatcher, from before a restart or from another of its processes. It was
    /// written on this machine, so a timestamp in the future means that the clock has been set back.
    pub fn restore(&mut self, record: Record, now: Millis) -> Merged {
        self.purge(now);
        let wall = record.stamp.wall;
        if wall + RETENTION <= now
            || record.until > wall.saturating_add(MAX_OVERRIDE_DURATION + MAX_FUTURE_SKEW)
        {
            return Merged::Stale;
        }
        if self.slots.len() >= MAX_SLOTS && !self.slots.contains_key(&record.slot) {
            return Merged::Full;
        }
        self.clock.observe(&record.stamp);
        match self.insert(Arc::new(record)) {
            true => Merged::New,
            false => Merged::Known,
        }
    }

    fn insert(&mut self, record: Arc<Record>) -> bool {
        let records = self.slots.entry(record.slot.clone()).or_default();
        // Compares whole records: a clock set back before a restart may have issued a stamp twice.
        let at = records.partition_point(|r| **r > *record);
        let known = records.get(at).is_some_and(|r| *r == record);
        let cleared_later = records[..at].iter().any(|r| r.effect == Effect::Clear);
        if known || cleared_later || at >= MAX_IN_SLOT {
            return false;
        }
        records.insert(at, record.clone());
        let cleared = records.iter().position(|r| r.effect == Effect::Clear).map_or(usize::MAX, |at| at + 1);
        for dropped in records.split_off(cleared.min(MAX_IN_SLOT).min(records.len())) {
            self.by_fingerprint.remove(&record_fingerprint(&dropped));
        }
        self.oldest = self.oldest.min(record.stamp.wall);
        self.by_fingerprint.insert(record_fingerprint(&record), record);
        self.revision += 1;
        true
    }

    /// Drops records so old that nothing they replaced can still be in force.
    pub fn purge(&mut self, now: Millis) {
        if self.oldest.saturating_add(RETENTION) > now {
            return;
        }
        let is_old = |r: &Arc<Record>| r.stamp.wall + RETENTION <= now;
        self.by_fingerprint.retain(|_, r| !is_old(r));
        self.slots.retain(|_, records| {
            records.retain(|r| !is_old(r));
            !records.is_empty()
        });
        self.oldest = self.by_fingerprint.values().map(|r| r.stamp.wall).min().unwrap_or(Millis::MAX);
        self.revision += 1;
    }

    fn live_latest(&self, now: Millis) -> impl Iterator<Item = &Arc<Record>> {
        self.slots.values().filter_map(|records| records.first()).filter(move |r| r.is_live(now))
    }

    /// The pin in force for each class and tenant: the latest, whichever worker it names.
    fn pins(&self, now: Millis) -> BTreeMap<(&Name, Option<&Name>), &Arc<Record>> {
        let mut pins: BTreeMap<_, &Arc<Record>> = BTreeMap::new();
        for record in self.live_latest(now) {
            if let Scope::Pinned { class, tenant } = &record.slot.scope {
                let pin = pins.entry((class, tenant.as_ref())).or_insert(record);
                *pin = (*pin).max(record);
            }
        }
        pins
    }

    /// The overrides in force at `now`.
    pub fn active(&self, now: Millis) -> ActiveOverrides {
        let mut active = ActiveOverrides::default();
        for record in self.live_latest(now) {
            let worker = record.slot.worker.clone();
            match (&record.slot.scope, record.effect) {
                (Scope::Weight, Effect::Set(Some(weight))) => active.weights.push((worker, weight.factor())),
                (Scope::OutOfService, _) => active.out_of_service.push(worker),
                _ => {}
            }
        }
        active.pins = (self.pins(now).into_iter())
            .map(|((class, tenant), record)| Pin {
                class: class.clone(),
                tenant: tenant.cloned(),
                worker: record.slot.worker.clone(),
            })
            .collect();
        active
    }

    /// When the next override in force expires, if any.
    pub fn next_expiry(&self, now: Millis) -> Option<Millis> {
        self.live_latest(now).map(|r| r.until).min()
    }

    /// All overrides that have neither expired nor been cleared, including superseded ones, with their state.
    /// `listed` tells whether a worker is in the worker list.
    pub fn entries(&self, now: Millis, listed: impl Fn(&str) -> bool) -> Vec<OverrideEntry> {
        let pins = self.pins(now);
        let is_out_of_service = |worker: &Name| {
            let slot = Slot { worker: worker.clone(), scope: Scope::OutOfService };
            self.slots.get(&slot).is_some_and(|records| records[0].is_live(now))
        };
        let superseded = |latest_record: &Record| Standing::Superseded {
            id: latest_record.stamp.to_string(),
            by: latest_record.by.clone(),
            at: latest_record.stamp.wall,
        };
        let mut entries = Vec::new();
        for records in self.slots.values() {
            let latest_record = &records[0];
            for record in records.iter().filter(|r| r.is_live(now)) {
                let standing = match &record.slot.scope {
                    _ if record != latest_record => superseded(latest_record),
                    Scope::Pinned { class, tenant } if pins[&(class, tenant.as_ref())] != record => {
                        superseded(pins[&(class, tenant.as_ref())])
                    }
                    _ if !listed(&record.slot.worker) => Standing::UnknownWorker,
                    Scope::Pinned { .. } if is_out_of_service(&record.slot.worker) => {
                        Standing::WorkerOutOfService
                    }
                    _ => Standing::InForce,
                };
                entries.push(OverrideEntry { record: record.clone(), standing });
            }
        }
        entries
    }
}

/// Fingerprint of a record, the key of [`Table::by_fingerprint`].
pub fn record_fingerprint(record: &Record) -> u64 {
    fingerprint(&encode(record))
}

fn check_name(field: &'static str, name: &str) -> Result<(), InvalidRequest> {
    match (1..=MAX_NAME_LEN).contains(&name.len()) && !name.chars().any(char::is_control) {
        true => Ok(()),
        false => invalid(field, format!("{name:?} is not a name of 1 to {MAX_NAME_LEN} bytes")),
    }
}

/// Formats a duration, to the minute or, below one minute, to the second.
fn format_duration(millis: Millis) -> String {
    let (hours, minutes, seconds) = (millis / 3_600_000, millis / 60_000 % 60, millis / 1000 % 60);
    match (hours, minutes) {
        (0, 0) => format!("{seconds} s"),
        (0, _) => format!("{minutes} min"),
        (_, 0) => format!("{hours} h"),
        _ => format!("{hours} h {minutes} min"),
    }
}
