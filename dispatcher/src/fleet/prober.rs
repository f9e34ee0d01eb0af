//! One prober for a zone: where probes cost workers time, one owner looks at the suspects of all and shares what
//! it found; the others ask it to, and wait. Without an owner each looks for itself, at its share of the rate.

use super::{FencedOperation, Handle};
use crate::facade::{Load, Outcome, TargetId};
use crate::flow::Flows;
use lineroute_fleet::frame::{HealthCheckRequest, OwnerReport};
use lineroute_fleet::Resource;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// An owner that has shared nothing by then is asked again, or done without.
const SHARE_WITHIN: Duration = Duration::from_millis(800);
/// Nobody waits for others longer than this.
const LONGEST: Duration = Duration::from_secs(3);
/// What was found so lately is not looked for again: all that ask meanwhile are served by the next look.
const FRESH: Duration = Duration::from_millis(200);
/// Suspects that are waited for; further ones are looked at by this process.
const MAX_WAITING: usize = 256;

/// Who sees to probes in place of their carriers.
pub trait Probing {
    /// Whether a probe is seen to: `Flows::probe_ended` is called for it in the end. If not, the caller makes it, and
    /// for the fleet if it is given a fenced operation.
    fn takes(&self, target: TargetId, name: &str, zone: &str) -> Result<(), Option<FencedOperation>>;
    /// A fenced operation could not be done: this process may not act for the fleet any longer.
    fn lapsed(&self, name: &str);
    /// A probe that this process made has ended.
    fn ended(&self, name: &str, zone: &str, outcome: Outcome, load: Option<Load>);
}

/// A target that this process would have looked at.
struct Waiting {
    target: TargetId,
    zone: String,
    since: Instant,
    next: Instant,
}

/// What an owner found, in few bytes.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
struct Found {
    name: String,
    outcome: u8,
    load: Option<[Option<f64>; 3]>,
}

const OUTCOMES: [Outcome; 6] =
    [Outcome::Served, Outcome::Fault, Outcome::NoRoom, Outcome::TimedOut, Outcome::NoRoute, Outcome::Cut];

/// The prober of this process: it owns some zones and waits for the owners of others.
pub struct Prober {
    fleet: Handle,
    flows: Flows,
    waiting: RefCell<FxHashMap<String, Waiting>>,
    /// Health checks that are under way, by name: what is asked for meanwhile is answered by them.
    checking: RefCell<FxHashMap<String, Instant>>,
    /// When an owned zone's targets were last found out.
    found: RefCell<FxHashMap<String, Instant>>,
    wished: RefCell<FxHashMap<String, Resource>>,
}

impl Prober {
    pub fn new(fleet: Handle, flows: Flows) -> Rc<Prober> {
        let (waiting, checking, found, wished) = Default::default();
        Rc::new(Prober { fleet, flows, waiting, checking, found, wished })
    }

    /// The thing that stands for a zone's probes. Each zone seen is wished for: one of those who see it owns it.
    fn thing(&self, zone: &str) -> Option<Resource> {
        if let Some(thing) = self.wished.borrow().get(zone) {
            return Some(thing.clone());
        }
        let thing = Resource::new(format!("probe/{zone}"))?;
        self.fleet.wish(&thing, true);
        self.wished.borrow_mut().insert(zone.into(), thing.clone());
        Some(thing)
    }

    /// A fenced operation under a thing that this process owns at present.
    fn operation(&self, thing: &Resource) -> Option<FencedOperation> {
        self.fleet.permit(thing).map(|_| FencedOperation::new(self.fleet.clone(), thing.clone()))
    }

    /// Looks that others have waited for too long are made by this process, at its share of the rate.
    pub fn tick(&self) {
        for seen in self.flows.listed_targets() {
            let _ = self.thing(&seen.zone);
        }
        let now = Instant::now();
        let due: Vec<(String, TargetId, String, Duration)> = {
            let mut waiting = self.waiting.borrow_mut();
            let due = waiting.iter_mut().filter(|(_, w)| w.next <= now);
            due.map(|(name, w)| {
                w.next = now + SHARE_WITHIN;
                (name.clone(), w.target, w.zone.clone(), now - w.since)
            })
            .collect()
        };
        for (name, target, zone, waited) in due {
            let Some(thing) = self.thing(&zone) else { continue };
            let share = 1.0 / self.fleet.here().max(1) as f64;
            let owned = self.operation(&thing);
            let asked = owned.is_none()
                && waited < LONGEST
                && self.fleet.request_health_check(&thing, name.clone().into_bytes());
            if owned.is_some() {
                self.checking.borrow_mut().insert(name.clone(), now);
            }
            if !asked && (owned.is_some() || waited >= LONGEST || dice() < share) {
                self.waiting.borrow_mut().remove(&name);
                self.flows.probe(target, owned);
            }
        }
        self.checking.borrow_mut().retain(|_, since| since.elapsed() < LONGEST);
        self.found.borrow_mut().retain(|_, at| at.elapsed() < FRESH);
    }

    /// Puts a look off that would find what was just found; true if it was.
    fn is_fresh(&self, name: &str, zone: &str, target: TargetId) -> bool {
        let Some(at) = self.found.borrow().get(name).copied().filter(|at| at.elapsed() < FRESH) else {
            return false;
        };
        let waiting = Waiting { target, zone: zone.into(), since: Instant::now(), next: at + FRESH };
        self.waiting.borrow_mut().entry(name.into()).or_insert(waiting);
        true
    }

    /// An owner shares what it found. The fence was looked at before this.
    pub fn shared(&self, share: &OwnerReport) {
        let Ok(found) = postcard::from_bytes::<Found>(&share.payload) else { return };
        let Some(outcome) = OUTCOMES.get(usize::from(found.outcome)).copied() else { return };
        let of_it = |w: &Waiting| self.thing(&w.zone).as_ref() == Some(&share.resource);
        let waited = self.waiting.borrow().get(&found.name).is_some_and(of_it);
        if !waited {
            return;
        }
        let Some(waiting) = self.waiting.borrow_mut().remove(&found.name) else { return };
        let load = found.load.map(|[free_slots, queued, in_flight]| Load { free_slots, queued, in_flight });
        self.flows.shared_probe_ended(waiting.target, outcome, load);
    }

    /// Somebody would have this process look at a target of a zone that it owns.
    pub fn asked(&self, request: &HealthCheckRequest) {
        let Ok(name) = std::str::from_utf8(&request.payload) else { return };
        let Some(operation) = self.operation(&request.resource) else { return };
        let seen = self.flows.listed_targets().into_iter().find(|seen| *seen.name == *name);
        let of_it = seen.filter(|seen| self.thing(&seen.zone).as_ref() == Some(&request.resource));
        let found = of_it.and_then(|seen| Some((self.flows.find_target(&seen.name)?, seen.zone)));
        let Some((target, zone)) = found else { return };
        if self.is_fresh(name, &zone, target) {
            return;
        }
        if self.checking.borrow_mut().insert(name.into(), Instant::now()).is_none() {
            self.flows.probe(target, Some(operation));
        }
    }
}

impl Probing for Prober {
    fn takes(&self, target: TargetId, name: &str, zone: &str) -> Result<(), Option<FencedOperation>> {
        let Some(thing) = self.thing(zone) else { return Err(None) };
        if let Some(operation) = self.operation(&thing) {
            if self.is_fresh(name, zone, target) {
                return Ok(());
            }
            return match self.checking.borrow_mut().insert(name.into(), Instant::now()) {
                // Asked for by another just now: the one look is for all.
                Some(_) => Ok(()),
                None => Err(Some(operation)),
            };
        }
        let mut waiting = self.waiting.borrow_mut();
        if waiting.len() >= MAX_WAITING && !waiting.contains_key(name) {
            return Err(None);
        }
        let now = Instant::now();
        let asked = self.fleet.request_health_check(&thing, name.as_bytes().to_vec());
        let next = if asked { now + SHARE_WITHIN } else { now };
        waiting.insert(name.into(), Waiting { target, zone: zone.into(), since: now, next });
        Ok(())
    }

    fn lapsed(&self, name: &str) {
        self.checking.borrow_mut().remove(name);
    }

    fn ended(&self, name: &str, zone: &str, outcome: Outcome, load: Option<Load>) {
        self.checking.borrow_mut().remove(name);
        self.found.borrow_mut().insert(name.into(), Instant::now());
        let Some(thing) = self.thing(zone) else { return };
        let Some(outcome) = OUTCOMES.iter().position(|o| *o == outcome) else { return };
        let load = load.map(|l| [l.free_slots, l.queued, l.in_flight]);
        let found = Found { name: name.into(), outcome: outcome as u8, load };
        if let Ok(words) = postcard::to_stdvec(&found) {
            // Where the zone is another's by now, what was found stays with this process.
            self.fleet.share(&thing, words);
        }
    }
}

fn dice() -> f64 {
    let mut bytes = [0; 4];
    match getrandom::fill(&mut bytes) {
        Ok(()) => f64::from(u32::from_be_bytes(bytes)) / f64::from(u32::MAX),
        Err(_) => 1.0,
    }
}
