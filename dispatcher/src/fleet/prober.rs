//! A single prober for each zone. Where probes cost workers time, the owner of a zone probes the suspect workers of all
//! members and sends them the results; the others request probes from it and wait. Without an owner each member probes by
//! itself, at its share of the rate.

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

/// Time limit for the owner's report; then it is asked again or this process probes by itself.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum total time to wait for an owner's report.
const MAX_WAIT: Duration = Duration::from_secs(3);
/// A target that was probed within this time is not probed again: all requests until then share the next probe.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of suspects waiting for an owner's report; this process probes further ones itself.
const MAX_WAITING: usize = 256;

/// Coordinates probes across the fleet, so that the targets need not make each of them.
pub trait ProbeCoordinator {
    /// `Ok` where the probe is taken over: `Flows::probe_ended` is called for it eventually. Otherwise the caller makes the
    /// probe, on behalf of the fleet if the error contains a fenced operation.
    fn delegate_probe(&self, target: TargetId, name: &str, zone: &str)
        -> Result<(), Option<FencedOperation>>;
    /// A fenced operation was not started because this process may no longer act for the fleet.
    fn permit_lost(&self, name: &str);
    /// A probe made by this process has ended.
    fn probe_finished(&self, name: &str, zone: &str, outcome: Outcome, load: Option<Load>);
}

/// A target that waits to be probed by the owner of its zone.
struct Waiting {
    target: TargetId,
    zone: String,
    since: Instant,
    next_request: Instant,
}

/// The result of a probe in the compact form in which an owner reports it.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
struct ProbeReport {
    name: String,
    outcome: u8,
    load: Option<[Option<f64>; 3]>,
}

const OUTCOMES: [Outcome; 6] =
    [Outcome::Served, Outcome::Fault, Outcome::NoRoom, Outcome::TimedOut, Outcome::NoRoute, Outcome::Cut];

/// The prober of this process: probes the zones that it owns and waits for the owners of the others.
pub struct Prober {
    fleet: Handle,
    flows: Flows,
    waiting: RefCell<FxHashMap<String, Waiting>>,
    /// Running health checks by worker name; requests that arrive meanwhile share their results.
    checking: RefCell<FxHashMap<String, Instant>>,
    /// When targets of owned zones were last probed, by worker name.
    last_probes: RefCell<FxHashMap<String, Instant>>,
    /// The resources of known zones, by zone.
    wanted: RefCell<FxHashMap<String, Resource>>,
}

impl Prober {
    pub fn new(fleet: Handle, flows: Flows) -> Rc<Prober> {
        let (waiting, checking, last_probes, wanted) = Default::default();
        Rc::new(Prober { fleet, flows, waiting, checking, last_probes, wanted })
    }

    /// The resource for the probes of a zone. Each member tries to own that of every zone in its list; one of them does.
    fn zone_resource(&self, zone: &str) -> Option<Resource> {
        if let Some(resource) = self.wanted.borrow().get(zone) {
            return Some(resource.clone());
        }
        let resource = Resource::new(format!("probe/{zone}"))?;
        self.fleet.set_wanted(&resource, true);
        self.wanted.borrow_mut().insert(zone.into(), resource.clone());
        Some(resource)
    }

    /// A fenced operation under a resource, if this process owns it at present.
    fn operation(&self, resource: &Resource) -> Option<FencedOperation> {
        self.fleet.permit(resource).map(|_| FencedOperation::new(self.fleet.clone(), resource.clone()))
    }

    /// Repeats requests that the owner has not answered in time, or makes the probe itself, at this process's share of the
    /// rate.
    pub fn tick(&self) {
        for listed in self.flows.listed_targets() {
            let _ = self.zone_resource(&listed.zone);
        }
        let now = Instant::now();
        let due: Vec<(String, TargetId, String, Duration)> = {
            let mut waiting = self.waiting.borrow_mut();
            let due = waiting.iter_mut().filter(|(_, w)| w.next_request <= now);
            due.map(|(name, w)| {
                w.next_request = now + REPORT_TIMEOUT;
                (name.clone(), w.target, w.zone.clone(), now - w.since)
            })
            .collect()
        };
        for (name, target, zone, waited) in due {
            let Some(resource) = self.zone_resource(&zone) else { continue };
            let share = 1.0 / self.fleet.active_members().max(1) as f64;
            let operation = self.operation(&resource);
            let requested = operation.is_none()
                && waited < MAX_WAIT
                && self.fleet.request_health_check(&resource, name.clone().into_bytes());
            if operation.is_some() {
                self.checking.borrow_mut().insert(name.clone(), now);
            }
            if !requested && (operation.is_some() || waited >= MAX_WAIT || random_fraction() < share) {
                self.waiting.borrow_mut().remove(&name);
                self.flows.probe(target, operation);
            }
        }
        self.checking.borrow_mut().retain(|_, since| since.elapsed() < MAX_WAIT);
        self.last_probes.borrow_mut().retain(|_, at| at.elapsed() < MIN_PROBE_INTERVAL);
    }

    /// Postpones the probe of a target that was probed within [`MIN_PROBE_INTERVAL`]; true if it was.
    fn postpone_if_recent(&self, name: &str, zone: &str, target: TargetId) -> bool {
        let Some(at) =
            self.last_probes.borrow().get(name).copied().filter(|at| at.elapsed() < MIN_PROBE_INTERVAL)
        else {
            return false;
        };
        let waiting = Waiting {
            target,
            zone: zone.into(),
            since: Instant::now(),
            next_request: at + MIN_PROBE_INTERVAL,
        };
        self.waiting.borrow_mut().entry(name.into()).or_insert(waiting);
        true
    }

    /// Handles the report of an owner, whose fencing token has been checked.
    pub fn handle_owner_report(&self, report: &OwnerReport) {
        let Ok(probe) = postcard::from_bytes::<ProbeReport>(&report.payload) else { return };
        let Some(outcome) = OUTCOMES.get(usize::from(probe.outcome)).copied() else { return };
        let is_of_resource = |w: &Waiting| self.zone_resource(&w.zone).as_ref() == Some(&report.resource);
        let waited = self.waiting.borrow().get(&probe.name).is_some_and(is_of_resource);
        if !waited {
            return;
        }
        let Some(waiting) = self.waiting.borrow_mut().remove(&probe.name) else { return };
        let load = probe.load.map(|[free_slots, queued, in_flight]| Load { free_slots, queued, in_flight });
        self.flows.shared_probe_ended(waiting.target, outcome, load);
    }

    /// Handles another member's request to probe a target of a zone that this process owns.
    pub fn handle_health_check_request(&self, request: &HealthCheckRequest) {
        let Ok(name) = std::str::from_utf8(&request.payload) else { return };
        let Some(operation) = self.operation(&request.resource) else { return };
        let listed = self.flows.listed_targets().into_iter().find(|listed| *listed.name == *name);
        let listed =
            listed.filter(|listed| self.zone_resource(&listed.zone).as_ref() == Some(&request.resource));
        let target = listed.and_then(|listed| Some((self.flows.find_target(&listed.name)?, listed.zone)));
        let Some((target, zone)) = target else { return };
        if self.postpone_if_recent(name, &zone, target) {
            return;
        }
        if self.checking.borrow_mut().insert(name.into(), Instant::now()).is_none() {
            self.flows.probe(target, Some(operation));
        }
    }
}

impl ProbeCoordinator for Prober {
    fn delegate_probe(
        &self,
        target: TargetId,
        name: &str,
        zone: &str,
    ) -> Result<(), Option<FencedOperation>> {
        let Some(resource) = self.zone_resource(zone) else { return Err(None) };
        if let Some(operation) = self.operation(&resource) {
            if self.postpone_if_recent(name, zone, target) {
                return Ok(());
            }
            return match self.checking.borrow_mut().insert(name.into(), Instant::now()) {
                // A probe is running for another request; its result serves this one too.
                Some(_) => Ok(()),
                None => Err(Some(operation)),
            };
        }
        let mut waiting = self.waiting.borrow_mut();
        if waiting.len() >= MAX_WAITING && !waiting.contains_key(name) {
            return Err(None);
        }
        let now = Instant::now();
        let requested = self.fleet.request_health_check(&resource, name.as_bytes().to_vec());
        let next_request = if requested { now + REPORT_TIMEOUT } else { now };
        waiting.insert(name.into(), Waiting { target, zone: zone.into(), since: now, next_request });
        Ok(())
    }

    fn permit_lost(&self, name: &str) {
        self.checking.borrow_mut().remove(name);
    }

    fn probe_finished(&self, name: &str, zone: &str, outcome: Outcome, load: Option<Load>) {
        self.checking.borrow_mut().remove(name);
        self.last_probes.borrow_mut().insert(name.into(), Instant::now());
        let Some(resource) = self.zone_resource(zone) else { return };
        let Some(outcome) = OUTCOMES.iter().position(|o| *o == outcome) else { return };
        let load = load.map(|l| [l.free_slots, l.queued, l.in_flight]);
        let report = ProbeReport { name: name.into(), outcome: outcome as u8, load };
        if let Ok(payload) = postcard::to_stdvec(&report) {
            // Not sent if this process has lost the zone meanwhile; the result is then used here only.
            self.fleet.broadcast_report(&resource, payload);
        }
    }
}

fn random_fraction() -> f64 {
    let mut bytes = [0; 4];
    match getrandom::fill(&mut bytes) {
        Ok(()) => f64::from(u32::from_be_bytes(bytes)) / f64::from(u32::MAX),
        Err(_) => 1.0,
    }
}
