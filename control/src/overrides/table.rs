//! All overrides that a dispatcher knows of, and their merge with what others know.
//!
//! The table is a function of the set of records that have reached it, so dispatchers that have seen the same
//! hold the same, in whatever order and however often it came: in each slot the records from the latest
//! clearing on, of these the latest [`MAX_IN_SLOT`], by stamp. The latest alone is in force. It stays for
//! [`RETENTION`] after it was written, its end notwithstanding: until then something that it replaced might still
//! arrive, and must find itself replaced. Records leave in the order of their stamps, so no older one can take
//! the place of a newer one that has left.

use super::clock::{Clock, Stamp};
use super::codec::{encode, MAX_RECORD};
use super::record::{Effect, Name, Record, Scope, Slot, Weight, MAX_NAME_LEN};
use crate::{fingerprint, Millis};
use std::collections::BTreeMap;
use std::sync::Arc;
use thiserror::Error;

/// No override may last longer, whatever is configured: 72 hours, a week-end.
pub const MAX_OVERRIDE_DURATION: Millis = 72 * 3_600_000;
/// A record written so far in the future is not taken: the clock of its writer is wrong, and nothing that is
/// written here could replace it.
pub const MAX_FUTURE_SKEW: Millis = 60_000;
/// How long after its writing a record is kept: nothing written before it can be in force any more.
pub const RETENTION: Millis = MAX_OVERRIDE_DURATION + 2 * MAX_FUTURE_SKEW;
/// Slots that are remembered. More are refused.
pub const MAX_SLOTS: usize = 2048;
/// Records of a slot that are remembered: the one in force and those it has beaten.
pub const MAX_IN_SLOT: usize = 4;

/// An order that can't be followed: which field of it, and why.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{field}: {reason}")]
pub struct InvalidRequest {
    /// The field, as the command line and the admin listener name it.
    pub field: &'static str,
    /// What is wrong with it and what would be right.
    pub reason: String,
}

fn faulty<T>(field: &'static str, reason: impl Into<String>) -> Result<T, InvalidRequest> {
    Err(InvalidRequest { field, reason: reason.into() })
}

/// What an operator wants set.
#[derive(Clone, Debug, PartialEq)]
pub struct OverrideRequest {
    /// Where.
    pub slot: Slot,
    /// To what, where the slot is one of a weight.
    pub weight: Option<f64>,
    /// When it ends.
    pub until: Millis,
    /// Who wants it.
    pub by: String,
    /// Why.
    pub why: String,
}

/// What became of a record that came from elsewhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merged {
    /// It was unknown and is kept.
    New,
    /// It was known, or what is known has made it void.
    Known,
    /// It is past being kept, or lasts longer than anything may.
    Stale,
    /// It was written in the future: a clock is wrong.
    Future,
    /// Too many slots are known already.
    Full,
}

/// Where a pin sends flows.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Pin {
    /// Flows of this class.
    pub class: Name,
    /// Of this tenant, or of all that have no pin of their own.
    pub tenant: Option<Name>,
    /// Go to this worker.
    pub worker: Name,
}

/// What is in force: all that decisions need to know.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ActiveOverrides {
    /// Workers whose share is multiplied.
    pub weights: Vec<(Name, f64)>,
    /// Workers that get nothing new.
    pub out_of_service: Vec<Name>,
    /// Pins, one for each class and tenant.
    pub pins: Vec<Pin>,
}

/// How an override stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It decides.
    InForce,
    /// It would, but the list has no such worker; a pin falls back to the ordinary path.
    UnknownWorker,
    /// A pin to a worker that another override keeps out of service: it falls back to the ordinary path.
    WorkerOutOfService,
    /// A later one has replaced it, for good.
    Superseded {
        /// The id of that one.
        id: String,
        /// Who set that.
        by: Name,
        /// When.
        at: Millis,
    },
}

/// An override as it is shown.
#[derive(Clone, Debug, PartialEq)]
pub struct OverrideEntry {
    /// What was set.
    pub record: Arc<Record>,
    /// How it stands.
    pub standing: Standing,
}

/// The overrides that this dispatcher knows of.
#[derive(Clone, Debug)]
pub struct Table {
    clock: Clock,
    longest: Millis,
    /// Latest first; never empty.
    slots: BTreeMap<Slot, Vec<Arc<Record>>>,
    /// All of them by fingerprint, for digests.
    by_fingerprint: BTreeMap<u64, Arc<Record>>,
    /// Nothing that is remembered was written before.
    oldest: Millis,
    revision: u64,
}

impl Table {
    /// An empty table of the dispatcher of that name. `longest` bounds what is set here; it is cut to
    /// [`MAX_OVERRIDE_DURATION`].
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

    /// Grows with every change of what is remembered.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The dispatcher whose table this is.
    pub fn origin(&self) -> &Name {
        self.clock.origin()
    }

    /// The latest record of a slot, a clearing or one that has ended included.
    pub fn latest(&self, slot: &Slot) -> Option<Arc<Record>> {
        self.slots.get(slot).and_then(|held| held.first()).cloned()
    }

    /// Everything that is remembered, by fingerprint.
    pub fn by_fingerprint(&self) -> &BTreeMap<u64, Arc<Record>> {
        &self.by_fingerprint
    }

    /// Sets an override.
    ///
    /// # Errors
    /// Names the field that can't be used; the table is as it was.
    pub fn set(&mut self, order: OverrideRequest, now: Millis) -> Result<Arc<Record>, InvalidRequest> {
        self.purge(now);
        let OverrideRequest { slot, weight, until, by, why } = order;
        check_name("worker", &slot.worker)?;
        if let Scope::Pinned { class, tenant } = &slot.scope {
            check_name("pin", class)?;
            tenant.as_ref().map_or(Ok(()), |t| check_name("pin", t))?;
        }
        let effect = match (&slot.scope, weight) {
            (Scope::Weight, Some(factor)) => match Weight::new(factor) {
                Some(weight) => Effect::Set(Some(weight)),
                None => return faulty("weight", format!("{factor} is not between 0.01 and 100")),
            },
            (Scope::Weight, None) => return faulty("weight", "is missing"),
            (_, Some(_)) => return faulty("weight", format!("does not go with {}", slot.scope.word())),
            (_, None) => Effect::Set(None),
        };
        check_name("by", &by)?;
        if why.trim().is_empty() || why.chars().any(char::is_control) {
            return faulty("why", "must be a line of text");
        }
        if until <= now {
            return faulty("until", "lies in the past; an override must end later than now");
        }
        if until - now > self.longest {
            let (asked, most) = (span(until - now), span(self.longest));
            return faulty("until", format!("is {asked} away; the longest that is allowed is {most}"));
        }
        self.write(slot, effect, until, by.into(), why.into(), now)
    }

    /// Ends an override before its time, wherever it was set.
    ///
    /// # Errors
    /// There is no such override in force; the table is as it was.
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
            return faulty("id", format!("{id:?} is not the id of an override"));
        };
        let lasting = self.by_fingerprint.values().filter(|r| r.stamp == stamp && r.is_live(now));
        let found: Vec<Arc<Record>> = lasting.cloned().collect();
        let record = match found.as_slice() {
            [] => return faulty("id", format!("no override {id} is known here; it may have ended")),
            [record] => record.clone(),
            // Two processes of one dispatcher may write in one millisecond.
            [first, ..] => {
                let worker = &first.slot.worker;
                return faulty(
                    "id",
                    format!("{id} is the id of several, one on {worker}; set it anew and clear that"),
                );
            }
        };
        let top = &self.slots[&record.slot][0];
        if *top != record {
            return faulty(
                "id",
                format!("{id} is beaten already, by {}; that one can be cleared", top.stamp),
            );
        }
        self.write(record.slot.clone(), Effect::Clear, record.until, by.into(), why.into(), now)
    }

    /// Ends whatever is in force in a slot, wherever it was set; nothing where nothing is.
    ///
    /// # Errors
    /// Names the field that can't be used; the table is as it was.
    pub fn clear_slot(
        &mut self,
        slot: &Slot,
        by: &str,
        why: &str,
        now: Millis,
    ) -> Result<Option<Arc<Record>>, InvalidRequest> {
        self.purge(now);
        check_name("by", by)?;
        let top = self.slots.get(slot).and_then(|held| held.first()).filter(|r| r.is_live(now));
        let Some(until) = top.map(|record| record.until) else { return Ok(None) };
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
            return faulty(
                "worker",
                format!("{MAX_SLOTS} slots are in use, ended ones included; none is free"),
            );
        }
        let stamp = self.clock.clone().next(now);
        let record = Record { stamp, slot, effect, until, by, why };
        let size = encode(&record).len();
        if size > MAX_RECORD {
            let over = size - MAX_RECORD;
            return faulty("why", format!("is too long: all texts together hold {over} bytes too many"));
        }
        self.clock.next(now);
        let record = Arc::new(record);
        self.insert(record.clone());
        Ok(record)
    }

    /// Takes in a record from another dispatcher.
    pub fn merge(&mut self, record: Record, now: Millis) -> Merged {
        if record.stamp.wall > now + MAX_FUTURE_SKEW {
            return Merged::Future;
        }
        self.restore(record, now)
    }

    /// Takes in a record of this dispatcher's own: from before a restart, or from another process of it. It is on this machine
    /// that it was written, so one that seems to come from the future says that the clock was set back since.
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
        self.clock.seen(&record.stamp);
        match self.insert(Arc::new(record)) {
            true => Merged::New,
            false => Merged::Known,
        }
    }

    fn insert(&mut self, record: Arc<Record>) -> bool {
        let held = self.slots.entry(record.slot.clone()).or_default();
        // By the whole record: a clock set back before a restart may have given a stamp twice.
        let at = held.partition_point(|r| **r > *record);
        let known = held.get(at).is_some_and(|r| *r == record);
        let void = held[..at].iter().any(|r| r.effect == Effect::Clear);
        if known || void || at >= MAX_IN_SLOT {
            return false;
        }
        held.insert(at, record.clone());
        let cleared = held.iter().position(|r| r.effect == Effect::Clear).map_or(usize::MAX, |at| at + 1);
        for gone in held.split_off(cleared.min(MAX_IN_SLOT).min(held.len())) {
            self.by_fingerprint.remove(&record_fingerprint(&gone));
        }
        self.oldest = self.oldest.min(record.stamp.wall);
        self.by_fingerprint.insert(record_fingerprint(&record), record);
        self.revision += 1;
        true
    }

    /// Forgets what was written so long ago that nothing it has replaced can still be in force.
    pub fn purge(&mut self, now: Millis) {
        if self.oldest.saturating_add(RETENTION) > now {
            return;
        }
        let old = |r: &Arc<Record>| r.stamp.wall + RETENTION <= now;
        self.by_fingerprint.retain(|_, r| !old(r));
        self.slots.retain(|_, held| {
            held.retain(|r| !old(r));
            !held.is_empty()
        });
        self.oldest = self.by_fingerprint.values().map(|r| r.stamp.wall).min().unwrap_or(Millis::MAX);
        self.revision += 1;
    }

    fn tops(&self, now: Millis) -> impl Iterator<Item = &Arc<Record>> {
        self.slots.values().filter_map(|held| held.first()).filter(move |r| r.is_live(now))
    }

    /// The pin that decides for its class and tenant: the latest, whatever its worker.
    fn pins(&self, now: Millis) -> BTreeMap<(&Name, Option<&Name>), &Arc<Record>> {
        let mut pins: BTreeMap<_, &Arc<Record>> = BTreeMap::new();
        for record in self.tops(now) {
            if let Scope::Pinned { class, tenant } = &record.slot.scope {
                let pin = pins.entry((class, tenant.as_ref())).or_insert(record);
                *pin = (*pin).max(record);
            }
        }
        pins
    }

    /// What is in force at this moment.
    pub fn active(&self, now: Millis) -> ActiveOverrides {
        let mut forces = ActiveOverrides::default();
        for record in self.tops(now) {
            let worker = record.slot.worker.clone();
            match (&record.slot.scope, record.effect) {
                (Scope::Weight, Effect::Set(Some(weight))) => forces.weights.push((worker, weight.factor())),
                (Scope::OutOfService, _) => forces.out_of_service.push(worker),
                _ => {}
            }
        }
        forces.pins = (self.pins(now).into_iter())
            .map(|((class, tenant), record)| Pin {
                class: class.clone(),
                tenant: tenant.cloned(),
                worker: record.slot.worker.clone(),
            })
            .collect();
        forces
    }

    /// When what is in force changes by itself next, if it does.
    pub fn next_expiry(&self, now: Millis) -> Option<Millis> {
        self.tops(now).map(|r| r.until).min()
    }

    /// All overrides that have not ended or been cleared, beaten ones included, and how they stand. `listed`
    /// tells whether the list has a worker.
    pub fn entries(&self, now: Millis, listed: impl Fn(&str) -> bool) -> Vec<OverrideEntry> {
        let pins = self.pins(now);
        let out = |worker: &Name| {
            let slot = Slot { worker: worker.clone(), scope: Scope::OutOfService };
            self.slots.get(&slot).is_some_and(|held| held[0].is_live(now))
        };
        let beaten = |top: &Record| Standing::Superseded {
            id: top.stamp.to_string(),
            by: top.by.clone(),
            at: top.stamp.wall,
        };
        let mut lines = Vec::new();
        for held in self.slots.values() {
            let top = &held[0];
            for record in held.iter().filter(|r| r.is_live(now)) {
                let standing = match &record.slot.scope {
                    _ if record != top => beaten(top),
                    Scope::Pinned { class, tenant } if pins[&(class, tenant.as_ref())] != record => {
                        beaten(pins[&(class, tenant.as_ref())])
                    }
                    _ if !listed(&record.slot.worker) => Standing::UnknownWorker,
                    Scope::Pinned { .. } if out(&record.slot.worker) => Standing::WorkerOutOfService,
                    _ => Standing::InForce,
                };
                lines.push(OverrideEntry { record: record.clone(), standing });
            }
        }
        lines
    }
}

/// The digest of a record by which [`Table::by_fingerprint`] has it.
pub fn record_fingerprint(record: &Record) -> u64 {
    fingerprint(&encode(record))
}

fn check_name(field: &'static str, name: &str) -> Result<(), InvalidRequest> {
    match (1..=MAX_NAME_LEN).contains(&name.len()) && !name.chars().any(char::is_control) {
        true => Ok(()),
        false => faulty(field, format!("{name:?} is not a name of 1 to {MAX_NAME_LEN} bytes")),
    }
}

/// A span in words, to the minute or, under one, to the second.
fn span(millis: Millis) -> String {
    let (hours, minutes, seconds) = (millis / 3_600_000, millis / 60_000 % 60, millis / 1000 % 60);
    match (hours, minutes) {
        (0, 0) => format!("{seconds} s"),
        (0, _) => format!("{minutes} min"),
        (_, 0) => format!("{hours} h"),
        _ => format!("{hours} h {minutes} min"),
    }
}
