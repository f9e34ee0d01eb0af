//! A minimal host for tests, which runs the module's timers and counts final answers.
#![allow(dead_code)]

use lineroute::*;
use std::collections::BTreeMap;

pub const MS: Micros = 1000;

/// Settings of one instance with three classes: repeatable, keyed by zone, and `Once`.
pub fn settings() -> Settings {
    let class = |effect| Class {
        aim: 500 * MS,
        stretch: 1.0,
        deadline: 5000 * MS,
        late_share: 0.2,
        worth: 1.0,
        effect,
        kind: None,
        zones: None,
        kinds: None,
    };
    Settings {
        instances: 1,
        classes: vec![
            class(Effect::Repeatable),
            class(Effect::ByKey { group: Group::Zone, ttl: 3000 * MS }),
            class(Effect::Once),
        ],
        tenants: vec![],
        discovery: Discovery::Push,
        report_source: ReportSource::Responses,
        allowed: Allowed {
            cancel: true,
            probe: false,
            max_retry_after: 2000 * MS,
            max_attempts: 3,
            most_held: 10_000,
            parallel: false,
            keepalive: 60_000 * MS,
        },
        rules: Rules {
            ask_within: 10_000 * MS,
            cold_from: 0.1,
            warm_up: 20_000 * MS,
            overload_factor: 3.0,
            overload_for: 2000 * MS,
            may_shed_begun: false,
            dropped_stay_open: false,
        },
        progress_interval: 1000 * MS,
        tells_start: false,
        zone: None,
        worth_by_work: false,
        prices: Prices::default(),
        reports_count_jobs: true,
        tail_slack: None,
    }
}

pub fn entry(id: u32, zone: u32, started: Option<Micros>) -> WorkerEntry {
    WorkerEntry {
        worker: WorkerId(id),
        zone: ZoneId(zone),
        kind: KindId(0),
        cell: CellId(id / 2),
        stage: Stage::Ready,
        started,
        size: 0.0,
    }
}

pub fn request(id: u64, class: usize, deadline: Micros) -> Request {
    Request {
        id: RequestId(id.to_string().as_str().into()),
        class: ClassId(class),
        tenant: None,
        key: None,
        deadline,
        slots: 1.0,
        work: None,
    }
}

/// Drives a [`Balancer`] and its timers.
pub struct Host {
    pub balancer: Balancer,
    timers: Vec<(Micros, u64)>,
    final_answers: BTreeMap<String, u32>,
    now: Micros,
}

impl Host {
    pub fn new(settings: Settings, seed: u64) -> Self {
        let balancer = Balancer::new(settings, seed).expect("valid settings");
        Host { balancer, timers: vec![], final_answers: BTreeMap::new(), now: 0 }
    }

    /// Fires the timers due by `now`, then handles the event; returns the actions of the event alone.
    pub fn event(&mut self, now: Micros, event: Event) -> Vec<Action> {
        self.advance(now);
        self.dispatch(now, event)
    }

    fn dispatch(&mut self, now: Micros, event: Event) -> Vec<Action> {
        let mut actions = vec![];
        self.balancer.handle(now, event, &mut actions);
        for action in &actions {
            match action {
                Action::Wake(at, token) => self.timers.push((*at, *token)),
                Action::Refuse { id, .. } | Action::Fail(id) => {
                    *self.final_answers.entry(id.0.to_string()).or_default() += 1
                }
                _ => {}
            }
        }
        actions
    }

    /// Fires all timers due by `now`; returns their actions.
    pub fn advance(&mut self, now: Micros) -> Vec<Action> {
        let mut actions = vec![];
        self.now = self.now.max(now);
        loop {
            let due = self.timers.iter().enumerate().filter(|(_, t)| t.0 <= now).min_by_key(|(_, t)| t.0);
            let Some((i, &(at, token))) = due else { return actions };
            self.timers.swap_remove(i);
            actions.extend(self.dispatch(at, Event::Timer(token)));
        }
    }

    pub fn update_list(&mut self, now: Micros, kind: ListKind, entries: Vec<WorkerEntry>) -> Vec<Action> {
        self.event(now, Event::WorkerList(kind, entries.into()))
    }

    pub fn end_attempt(
        &mut self,
        now: Micros,
        id: &str,
        attempt: u32,
        outcome: Outcome,
        elapsed: Micros,
        report: Option<Report>,
    ) -> Vec<Action> {
        let request_done = outcome == Outcome::Served;
        let (id, attempt) = (RequestId(id.into()), AttemptNo(attempt));
        self.event(
            now,
            Event::AttemptEnded(AttemptEnd { id, attempt, outcome, request_done, elapsed, report }),
        )
    }

    /// The number of refusals and failures returned for a request.
    pub fn final_answers(&self, id: &str) -> u32 {
        self.final_answers.get(id).copied().unwrap_or(0)
    }
}
