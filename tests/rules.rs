//! Runs the module on seeded random event orders that are adverse but legal, and checks the sending rules
//! from outside, by the events passed in and the requests sent.

mod common;

use common::{entry, request, settings, MS};
use lineroute::*;
use std::collections::BTreeMap;

struct OpenRequest {
    class: usize,
    deadline: Micros,
    ended: bool,
    /// Worker, send time and whether the job may have run, for each attempt; `None` while it is in flight.
    attempts: Vec<(u32, Micros, Option<bool>)>,
}

struct World {
    balancer: Balancer,
    rng: fastrand::Rng,
    now: Micros,
    timers: Vec<(Micros, u64)>,
    open: BTreeMap<String, OpenRequest>,
    listed: BTreeMap<u32, WorkerEntry>,
    cold_sends: BTreeMap<u32, Vec<Micros>>,
    sends: usize,
    settings: Settings,
    pending_probes: Vec<u32>,
    /// Workers listed as draining, with the latest start that was listed when they were.
    drained: BTreeMap<u32, Option<Micros>>,
    /// The latest start listed for each worker.
    latest_start: BTreeMap<u32, Option<Micros>>,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut s = settings();
        s.instances = rng.u32(1..6);
        s.discovery = if rng.bool() { Discovery::Subscribe } else { Discovery::Push };
        s.report_source =
            [ReportSource::Responses, ReportSource::Probes, ReportSource::None][rng.usize(0..3)];
        s.allowed.probe = rng.bool();
        s.allowed.cancel = rng.bool();
        s.rules.may_shed_begun = rng.bool();
        s.allowed.parallel = rng.bool();
        s.tells_start = rng.bool();
        s.rules.dropped_stay_open = rng.bool();
        s.classes[0].zones = rng.bool().then(|| vec![ZoneId(0), ZoneId(2)]);
        s.classes[2].kinds = rng.bool().then(|| vec![KindId(rng.u32(0..2))]);
        s.zone = rng.bool().then_some(ZoneId(1));
        s.prices.handshake = f64::from(rng.u8(0..2));
        s.prices.cross_zone = f64::from(rng.u8(0..2));
        let group = [Group::All, Group::Zone, Group::Cell][rng.usize(0..3)];
        s.classes[1].effect = Effect::ByKey { group, ttl: 1500 * MS };
        if rng.bool() {
            s.tenants = vec![Tenant { quota_per_s: 5.0 }, Tenant { quota_per_s: 0.0 }];
        }
        World {
            balancer: Balancer::new(s.clone(), seed).expect("valid settings"),
            rng,
            now: 0,
            timers: vec![],
            open: BTreeMap::new(),
            listed: BTreeMap::new(),
            cold_sends: BTreeMap::new(),
            sends: 0,
            settings: s,
            pending_probes: vec![],
            drained: BTreeMap::new(),
            latest_start: BTreeMap::new(),
        }
    }

    fn handle(&mut self, event: Event) {
        let mut actions = vec![];
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, worker, timeout } => self.check_send(&id.0, worker.0, timeout),
                Action::Refuse { id, .. } => {
                    let group_all =
                        matches!(self.settings.classes[1].effect, Effect::ByKey { group: Group::All, .. });
                    let r = self.open.get_mut(&*id.0).expect("refuses only requests it has received");
                    assert!(!r.ended, "rule 1: {} answered twice", id.0);
                    let never_ran = r.attempts.iter().all(|a| a.2 == Some(false));
                    let freely_refusable = r.class == 0 || (r.class == 1 && group_all);
                    assert!(
                        freely_refusable || never_ran,
                        "rule 2: {} refused although it may have run",
                        id.0
                    );
                    r.ended = true;
                }
                Action::Fail(id) => {
                    let r = self.open.get_mut(&*id.0).expect("fails only requests it has received");
                    assert!(!r.ended, "rule 1: {} answered twice", id.0);
                    r.ended = true;
                }
                Action::Cancel(id, attempt) => {
                    assert!(self.settings.allowed.cancel);
                    assert!(
                        self.open[&*id.0].attempts.len() > attempt.0 as usize,
                        "cancels only attempts that were sent"
                    );
                }
                Action::Probe(worker) => {
                    assert!(self.settings.allowed.probe);
                    assert!(self.listed.contains_key(&worker.0), "probes only workers that were listed");
                    self.pending_probes.push(worker.0);
                }
                Action::Wake(at, token) => {
                    assert!(at > self.now);
                    self.timers.push((at, token));
                }
                Action::Subscribe => assert_eq!(self.settings.discovery, Discovery::Subscribe),
            }
        }
        assert!(self.timers.len() < 50, "too many pending timers");
    }

    fn check_send(&mut self, id: &str, worker: u32, timeout: Micros) {
        self.sends += 1;
        let r = self.open.get_mut(id).expect("sends only requests it has received");
        assert!(!r.ended && self.now < r.deadline, "rule 1: {id} sent after its end");
        assert!(timeout > 0 && self.now + timeout <= r.deadline);
        assert!(r.attempts.len() < self.settings.allowed.max_attempts as usize);
        let chosen_entry = &self.listed[&worker];
        for (earlier, at, may_have_run) in &r.attempts {
            match may_have_run {
                Some(false) => continue,
                None => assert!(self.settings.allowed.parallel, "rule 2: one attempt of {id} at a time"),
                Some(true) => {}
            }
            match self.settings.classes[r.class].effect {
                Effect::Repeatable => {}
                Effect::Once => panic!("rule 2: {id} sent again although it may have run"),
                Effect::ByKey { group, ttl } => {
                    assert!(self.now < at + ttl, "rule 2: {id} sent again after its key has expired");
                    let earlier_entry = &self.listed[earlier];
                    match group {
                        Group::All => {}
                        Group::Zone => {
                            assert_eq!(earlier_entry.zone, chosen_entry.zone, "rule 2: {id} left its zone")
                        }
                        Group::Cell => {
                            assert_eq!(earlier_entry.cell, chosen_entry.cell, "rule 2: {id} left its cell")
                        }
                    }
                }
            }
        }
        if self.settings.rules.dropped_stay_open {
            assert!(
                !self.drained.contains_key(&worker),
                "rules 3 and 7: sent to worker {worker}, which was listed as draining"
            );
        } else {
            assert_eq!(chosen_entry.stage, Stage::Ready, "rule 3: sent to worker {worker}");
        }
        let class = &self.settings.classes[r.class];
        assert!(
            class.zones.as_ref().is_none_or(|z| z.contains(&chosen_entry.zone)),
            "rule 6: zone of worker {worker}"
        );
        assert!(
            class.kinds.as_ref().is_none_or(|k| k.contains(&chosen_entry.kind)),
            "rule 6: kind of worker {worker}"
        );
        r.attempts.push((worker, self.now, None));
        let rules = &self.settings.rules;
        if let Some(started) = chosen_entry.started {
            let age = self.now.saturating_sub(started.min(self.now)) as f64;
            let warmth = rules.cold_from + (1.0 - rules.cold_from) * age / rules.warm_up as f64;
            if warmth < 1.0 {
                // Jobs are counted: here each takes at least 40 ms and workers have two slots at most.
                let sends = self.cold_sends.entry(worker).or_default();
                sends.push(self.now);
                let from = self.now.saturating_sub(rules.overload_for);
                let jobs = sends.iter().filter(|&&at| at > from).count() as f64;
                let most =
                    rules.overload_factor * warmth * 2.0 * rules.overload_for as f64 / (40 * MS) as f64;
                let share = most / f64::from(self.settings.instances);
                assert!(jobs <= share + 2.0, "rule 4: {jobs} jobs to cold worker {worker}, share {share}; now {} started {started} sends {sends:?}", self.now);
            }
        }
    }

    fn end_attempt(&mut self, id: &str, attempt: usize, outcome: Outcome) {
        let now = self.now;
        let r = self.open.get_mut(id).expect("known");
        let Some(a) = r.attempts.get_mut(attempt).filter(|a| a.2.is_none()) else { return };
        a.2 = Some(!outcome.never_ran(&self.settings.rules));
        let elapsed = (now - a.1).max(40 * MS);
        let request_done = r.ended || outcome == Outcome::Served;
        r.ended |= request_done;
        let slots = Some(f64::from(self.rng.u32(0..3)));
        let reports_load = self.settings.report_source == ReportSource::Responses;
        let report =
            reports_load.then_some(Report { free_slots: slots, queued: Some(0.0), in_flight: Some(0.0) });
        let id = RequestId(id.into());
        let attempt = AttemptNo(attempt as u32);
        self.handle(Event::AttemptEnded(AttemptEnd { id, attempt, outcome, request_done, elapsed, report }));
    }

    fn step(&mut self, i: u64) {
        self.now += self.rng.u64(0..30) * MS;
        while let Some(k) = self.timers.iter().position(|t| t.0 <= self.now) {
            let (_, token) = self.timers.swap_remove(k);
            self.handle(Event::Timer(token));
        }
        // Attempts time out at the deadline, as they do at the host.
        let due: Vec<(String, usize)> = self
            .open
            .iter()
            .filter(|(_, r)| self.now >= r.deadline)
            .flat_map(|(id, r)| (0..r.attempts.len()).map(move |k| (id.clone(), k)))
            .collect();
        for (id, k) in due {
            self.end_attempt(&id, k, Outcome::TimedOut);
        }
        let grace = self.settings.classes[0].aim / 2;
        for (id, r) in &self.open {
            assert!(r.ended || self.now < r.deadline + grace, "rule 1: {id} got no answer");
        }
        let done = |r: &OpenRequest| r.ended && r.attempts.iter().all(|a| a.2.is_some());
        if i.is_multiple_of(50) {
            self.open.retain(|_, r| !done(r));
        }
        while !self.pending_probes.is_empty() && self.rng.bool() {
            let k = self.rng.usize(0..self.pending_probes.len());
            let worker = WorkerId(self.pending_probes.swap_remove(k));
            let outcome = if self.rng.u8(0..4) > 0 { Outcome::Served } else { Outcome::NoRoute };
            let held = Some(f64::from(self.rng.u32(0..3)));
            let report = Some(Report { free_slots: held, queued: held, in_flight: held });
            self.handle(Event::ProbeEnded {
                worker,
                outcome,
                report: report.filter(|_| outcome == Outcome::Served),
            });
        }
        match self.rng.u32(0..100) {
            0..40 => {
                let mut r = request(i, self.rng.usize(0..3), self.now + self.rng.u64(1..4000) * MS);
                r.tenant = (!self.settings.tenants.is_empty()).then(|| TenantId(self.rng.usize(0..3)));
                r.key = self.rng.bool().then(|| Key(self.rng.u32(0..900).to_string().as_str().into()));
                let open =
                    OpenRequest { class: r.class.0, deadline: r.deadline, ended: false, attempts: vec![] };
                self.open.insert(r.id.0.to_string(), open);
                self.handle(Event::Request(r));
            }
            40..80 => {
                let in_flight: Vec<(String, usize)> = self
                    .open
                    .iter()
                    .flat_map(|(id, r)| (0..r.attempts.len()).map(move |k| (id.clone(), k)))
                    .filter(|(id, k)| self.open[id].attempts[*k].2.is_none())
                    .collect();
                if !in_flight.is_empty() {
                    let (id, k) = in_flight[self.rng.usize(0..in_flight.len())].clone();
                    let all = [
                        Outcome::Served,
                        Outcome::Served,
                        Outcome::Fault,
                        Outcome::NoRoom,
                        Outcome::TimedOut,
                        Outcome::NoRoute,
                        Outcome::Cut,
                        Outcome::Cancelled,
                    ];
                    let outcome = all[self.rng.usize(0..all.len())];
                    self.end_attempt(&id, k, outcome);
                }
            }
            80..90 => self.pass_list(),
            90..93 => self.handle(Event::ListFailed),
            93..95 => {
                let ids: Vec<String> =
                    self.open.iter().filter(|(_, r)| !r.ended).map(|(id, _)| id.clone()).collect();
                if let Some(id) = ids.first() {
                    if let Some(r) = self.open.get_mut(id) {
                        r.ended = true;
                    }
                    self.handle(Event::Aborted(RequestId(id.as_str().into())));
                }
            }
            95..97 => self.handle(Event::Aborted(RequestId("unknown".into()))),
            97 if self.rng.bool() => {
                let ids: Vec<String> = self.open.keys().cloned().collect();
                if !ids.is_empty() {
                    let id = ids[self.rng.usize(0..ids.len())].as_str().into();
                    let attempt = AttemptNo(self.rng.u32(0..2));
                    self.handle(Event::JobStarted(RequestId(id), attempt));
                }
            }
            97 => {
                let token = self.rng.u64(0..9);
                self.handle(Event::Timer(token));
            }
            98..99 => self.handle(Event::Progress(RequestId("0".into()), AttemptNo(7), f64::NAN)),
            _ => {
                let outcome = if self.rng.bool() { Outcome::Served } else { Outcome::TimedOut };
                let worker = WorkerId(self.rng.u32(0..9));
                let report = Some(Report { free_slots: Some(2.0), queued: Some(f64::NAN), in_flight: None });
                self.handle(Event::ProbeEnded { worker, outcome, report });
            }
        }
    }

    /// Passes in a delta, a full or cached list, or a mass restart. The zone and cell of a worker follow from
    /// its id.
    fn pass_list(&mut self) {
        let mut entries = vec![];
        let mass_restart = self.rng.u32(0..10) == 0;
        for id in 0..8 {
            if !mass_restart && self.rng.bool() {
                continue;
            }
            let started = match self.rng.u32(0..4) {
                _ if mass_restart => Some(self.now.max(1)),
                0 => Some(self.rng.u64(1..=self.now + 1000)),
                _ => self.listed.get(&id).and_then(|e| e.started),
            };
            let mut e = entry(id, id % 3, started);
            e.kind = KindId(id % 2);
            e.stage = [Stage::Ready, Stage::Ready, Stage::Ready, Stage::Draining, Stage::Gone]
                [self.rng.usize(0..5)];
            entries.push(e);
        }
        let kind = [ListKind::Delta, ListKind::Full, ListKind::Cached][self.rng.usize(0..3)];
        if kind != ListKind::Delta {
            for e in self.listed.values_mut() {
                e.stage = Stage::Gone;
            }
        }
        for e in &entries {
            if self.listed.get(&e.worker.0).is_none_or(|old| old.started != e.started) {
                self.cold_sends.remove(&e.worker.0);
            }
            self.listed.insert(e.worker.0, e.clone());
            let latest_start = self.latest_start.entry(e.worker.0).or_default();
            if e.started > *latest_start {
                *latest_start = e.started;
                self.drained.remove(&e.worker.0);
            }
            if e.stage == Stage::Draining {
                self.drained.insert(e.worker.0, *latest_start);
            }
        }
        self.handle(Event::WorkerList(kind, entries.into()));
    }
}

#[test]
fn sending_rules_hold_in_adverse_event_orders() {
    let mut sends = 0;
    for seed in 0..60 {
        let mut world = World::new(seed);
        world.pass_list();
        for i in 0..1500 {
            world.step(i);
        }
        sends += world.sends;
    }
    assert!(sends > 10_000, "the runs must check enough sends: {sends}");
}

#[test]
fn the_same_events_result_in_the_same_actions() {
    let run = || {
        let mut world = World::new(7);
        world.pass_list();
        (0..800).for_each(|i| world.step(i));
        world.open.iter().map(|(id, r)| format!("{id} {} {:?}", r.ended, r.attempts)).collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
}
