//! Target state kept by the core: the worker list, load reports from peers, operator overrides and probes.

use super::core::{Effect, KnownTarget};
use super::{Flows, Forward, ListEntry, ListKind, OperatorStateSource, PeerLoad, TargetStatus};
use crate::facade::{DispatchEvent, Load, Outcome, Stage, TargetId, TargetOverrides};
use crate::fleet::prober::ProbeCoordinator;
use crate::fleet::FencedOperation;
use rustc_hash::{FxHashMap, FxHashSet};
use std::rc::Rc;
use std::time::Instant;
impl Flows {
    /// Delegates probes to `prober`.
    pub fn set_prober(&self, prober: Rc<dyn ProbeCoordinator>) {
        *self.prober.borrow_mut() = Some(prober);
    }

    /// Sends a probe; `probe_ended` is called with its result.
    pub fn probe(&self, target: TargetId, operation: Option<FencedOperation>) {
        let endpoint = self.core.borrow().targets.get(&target).map(|known| known.endpoint);
        match endpoint {
            Some(endpoint) => {
                let transport = self.targets.borrow()[endpoint.transport].clone();
                transport.probe(target, endpoint.addr, operation);
            }
            None => self.probe_ended(target, Outcome::NoRoute, None),
        }
    }

    /// A probe on behalf of the fleet was not sent because this process may no longer act for the fleet.
    pub fn probe_not_permitted(&self, target: TargetId) {
        let prober = self.prober.borrow().clone();
        let known = self.core.borrow().targets.get(&target).map(|k| k.name.clone());
        if let (Some(prober), Some(name)) = (prober, known) {
            prober.permit_lost(&name);
        }
        self.request_probe(target);
    }

    /// Requests a probe, either from the configured prober or from this process.
    pub(super) fn request_probe(&self, target: TargetId) {
        let prober = self.prober.borrow().clone();
        let known = self.core.borrow().targets.get(&target).map(|k| (k.name.clone(), k.zone.clone()));
        let taken_over = match (prober, known) {
            (Some(prober), Some((name, zone))) => prober.delegate_probe(target, &name, &zone),
            _ => Err(None),
        };
        if let Err(operation) = taken_over {
            self.probe(target, operation);
        }
    }

    /// Looks up a target in the list by its name.
    pub fn find_target(&self, name: &str) -> Option<TargetId> {
        let core = self.core.borrow();
        core.targets.iter().find(|(_, known)| *known.name == *name).map(|(id, _)| *id)
    }

    /// Applies load reports from peers.
    pub fn report_peer_load(&self, news: &[PeerLoad]) {
        let effects = {
            let core = &mut *self.core.borrow_mut();
            let mut effects = Vec::new();
            for PeerLoad { target, in_flight, refused } in news {
                let decisions = core.facade.report(DispatchEvent::PeerHint(*target, *in_flight, *refused));
                effects.extend(core.effects(decisions, &self.watch_requested));
            }
            effects
        };
        self.apply_effects(effects);
    }

    /// A probe has ended.
    pub fn probe_ended(&self, target: TargetId, outcome: Outcome, load: Option<Load>) {
        if !matches!(outcome, Outcome::Served | Outcome::Moot) {
            self.core.borrow_mut().in_flight_changes.push((target, None));
        }
        let prober = self.prober.borrow().clone();
        if let Some(prober) = prober {
            let known = self.core.borrow().targets.get(&target).map(|k| (k.name.clone(), k.zone.clone()));
            known.iter().for_each(|(name, zone)| prober.probe_finished(name, zone, outcome, load));
        }
        self.shared_probe_ended(target, outcome, load);
    }

    /// A probe that another process sent on behalf of this one has ended.
    pub fn shared_probe_ended(&self, target: TargetId, outcome: Outcome, load: Option<Load>) {
        self.report(DispatchEvent::ProbeEnded(target, outcome, load));
    }

    /// The list could not be fetched, or the watch was interrupted.
    pub fn list_failed(&self) {
        self.report(DispatchEvent::ListFailed);
    }

    /// The identifier of a target, by its name.
    pub fn target_id(&self, name: &str) -> TargetId {
        self.core.borrow_mut().facade.target(name)
    }

    /// Replaces all operator overrides.
    pub fn apply_overrides(&self, steer: TargetOverrides) {
        {
            let core = &mut *self.core.borrow_mut();
            let now = Instant::now();
            let since = |target| (target, core.out_of_service.get(&target).copied().unwrap_or(now));
            core.out_of_service = steer.out_of_service.iter().copied().map(since).collect();
        }
        self.report(DispatchEvent::Overrides(steer));
    }

    /// Sets the source from which the overrides are refreshed before each first byte.
    pub fn set_operator_state_source(&self, source: Rc<dyn OperatorStateSource>) {
        *self.operator_state.borrow_mut() = Some(source);
    }

    /// Refreshes the overrides from their source.
    pub fn refresh_operator_state(&self) {
        let source = self.operator_state.borrow().clone();
        if let Some(source) = source {
            source.refresh();
        }
    }

    /// Whether the list contains this target and it is not gone.
    pub fn is_listed(&self, name: &str) -> bool {
        let core = self.core.borrow();
        core.targets.values().any(|t| &*t.name == name && t.stage != Stage::Gone)
    }

    /// Whether any list has contained this target, cached lists included.
    pub fn was_listed(&self, name: &str) -> bool {
        self.core.borrow().targets.values().any(|t| &*t.name == name)
    }

    /// The targets that are not gone, sorted by name.
    pub fn listed_targets(&self) -> Vec<TargetStatus> {
        let core = self.core.borrow();
        let mut counts: FxHashMap<TargetId, usize> = FxHashMap::default();
        for in_flight in core.flows.values().filter_map(|f| f.in_flight.as_ref()) {
            *counts.entry(in_flight.forward.target).or_default() += 1;
        }
        let listed = core.targets.iter().filter(|(_, t)| t.stage != Stage::Gone);
        let mut statuses: Vec<TargetStatus> = listed
            .map(|(id, KnownTarget { name, endpoint, stage, zone, kind, .. })| TargetStatus {
                name: name.clone(),
                addr: endpoint.addr,
                stage: *stage,
                zone: zone.clone(),
                kind: kind.clone(),
                in_flight: counts.get(id).copied().unwrap_or(0),
            })
            .collect();
        statuses.sort_by(|a, b| a.name.cmp(&b.name));
        statuses
    }

    /// Applies a worker list, including the addresses of the workers.
    pub fn update_list(&self, kind: ListKind, entries: Vec<ListEntry>) {
        let effects = {
            let core = &mut *self.core.borrow_mut();
            let (mut effects, now) = (Vec::new(), Instant::now());
            if kind != ListKind::Delta {
                let listed_ids: FxHashSet<TargetId> = entries.iter().map(|e| e.listed.target).collect();
                for (id, known) in core.targets.iter_mut().filter(|(id, _)| !listed_ids.contains(id)) {
                    known.stage = Stage::Gone;
                    known.unready_since.get_or_insert(now);
                    effects.push(Effect::TargetClosed(*id, known.endpoint.transport));
                }
            }
            for ListEntry { listed, endpoint, zone, kind } in &entries {
                let (name, stage) = (core.facade.name(listed.target).into(), listed.stage);
                let before = core.targets.get(&listed.target).and_then(|known| known.unready_since);
                let unready_since = (stage != Stage::Ready).then(|| before.unwrap_or(now));
                let (zone, kind) = (zone.clone(), kind.clone());
                let known = KnownTarget { name, endpoint: *endpoint, stage, unready_since, zone, kind };
                core.targets.insert(listed.target, known);
                if listed.stage != Stage::Ready {
                    effects.push(Effect::TargetClosed(listed.target, endpoint.transport));
                }
            }
            if let Some(observer) = self.observer.borrow().as_ref() {
                entries.iter().for_each(|e| {
                    observer.target_listed(e.listed.target, core.facade.name(e.listed.target), &e.zone)
                });
            }
            let listed = entries.into_iter().map(|e| e.listed).collect();
            let decisions = core.facade.report(DispatchEvent::List(kind, listed));
            effects.extend(core.effects(decisions, &self.watch_requested));
            effects
        };
        self.apply_effects(effects);
    }

    /// Whether the list still gives the target the stage it had when the forward was decided, and the forward
    /// may still be sent.
    pub fn is_still_valid(&self, forward: &Forward) -> bool {
        if forward.start_by.is_some_and(|by| Instant::now() >= by) {
            return false;
        }
        self.core.borrow().targets.get(&forward.target).is_some_and(|t| t.stage == forward.stage)
    }
}
