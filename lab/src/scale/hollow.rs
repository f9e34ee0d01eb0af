//! A hollow dispatcher: the real decision module with synthetic workers and requests, without sockets (compare
//! Kubernetes' hollow nodes).

use super::target;
use lineroute::{
    Action, Allowed, AttemptEnd, AttemptNo, Balancer, CellId, Class, ClassId, Discovery, Effect, Event,
    KindId, ListKind, Micros, Outcome, Prices, ReportSource, Request, RequestId, Rules, Settings, Stage,
    WorkerEntry, WorkerId, ZoneId,
};

const MILLISECOND: Micros = 1000;
const SECOND: Micros = 1000 * MILLISECOND;
/// Workers that share a cell.
const CELL_WORKERS: u32 = 8;
/// Run time of each synthetic request.
const REQUEST_DURATION: Micros = 50 * MILLISECOND;

/// An instance of the decision module and its virtual clock.
pub struct HollowDispatcher {
    balancer: Balancer,
    now: Micros,
    requests: u64,
    actions: Vec<Action>,
}

/// Settings of one of `instances` dispatchers, with three classes that any worker may run.
pub fn settings(instances: u32) -> Settings {
    let class = Class {
        aim: 500 * MILLISECOND,
        stretch: 1.0,
        deadline: 5 * SECOND,
        late_share: 0.2,
        worth: 1.0,
        effect: Effect::Repeatable,
        kind: None,
        zones: None,
        kinds: None,
    };
    Settings {
        instances,
        classes: vec![class; 3],
        tenants: Vec::new(),
        discovery: Discovery::Subscribe,
        report_source: ReportSource::None,
        allowed: Allowed {
            cancel: true,
            probe: false,
            max_retry_after: 2 * SECOND,
            max_attempts: 3,
            most_held: 10_000,
            parallel: false,
            keepalive: 60 * SECOND,
        },
        rules: Rules {
            ask_within: 10 * SECOND,
            cold_from: 0.1,
            warm_up: 20 * SECOND,
            overload_factor: 3.0,
            overload_for: 2 * SECOND,
            may_shed_begun: false,
            dropped_stay_open: false,
        },
        progress_interval: 0,
        tells_start: false,
        zone: None,
        worth_by_work: false,
        prices: Prices::default(),
        reports_count_jobs: true,
        tail_slack: None,
    }
}

/// An entry of the worker list. Workers are distributed evenly over all zones.
pub fn entry(worker: u32, stage: Stage) -> WorkerEntry {
    WorkerEntry {
        worker: WorkerId(worker),
        zone: ZoneId(worker % target::ZONES as u32),
        kind: KindId(0),
        cell: CellId(worker / CELL_WORKERS),
        stage,
        started: None,
        size: 0.0,
    }
}

impl HollowDispatcher {
    /// A dispatcher without a worker list.
    pub fn new(instances: u32, seed: u64) -> Self {
        let balancer = Balancer::new(settings(instances), seed).expect("the settings above are valid");
        Self { balancer, now: 0, requests: 0, actions: Vec::new() }
    }

    /// A dispatcher that knows `workers` workers, each of which has served `requests_each` requests on average.
    pub fn warmed(workers: u32, requests_each: u32, seed: u64) -> Self {
        let mut dispatcher = Self::new(1, seed);
        dispatcher.apply_full_list(workers);
        (0..u64::from(workers) * u64::from(requests_each)).for_each(|_| dispatcher.serve());
        dispatcher
    }

    /// Applies a full list of `workers` workers.
    pub fn apply_full_list(&mut self, workers: u32) {
        let list = (0..workers).map(|worker| entry(worker, Stage::Ready)).collect();
        self.handle(Event::WorkerList(ListKind::Full, list));
    }

    /// Applies a change of one worker.
    pub fn apply_change(&mut self, worker: u32, stage: Stage) {
        self.handle(Event::WorkerList(ListKind::Delta, [entry(worker, stage)].into()));
    }

    /// Handles one request from its arrival to its end.
    pub fn serve(&mut self) {
        self.requests += 1;
        let id = RequestId(self.requests.to_string().into());
        let class = ClassId((self.requests % 3) as usize);
        let deadline = self.now + 5 * SECOND;
        let request =
            Request { id: id.clone(), class, tenant: None, key: None, deadline, slots: 1.0, work: None };
        self.handle(Event::Request(request));
        let attempt = AttemptNo(0);
        let outcome = Outcome::Served;
        self.handle(Event::AttemptEnded(AttemptEnd {
            id,
            attempt,
            outcome,
            request_done: true,
            elapsed: REQUEST_DURATION,
            report: None,
        }));
    }

    fn handle(&mut self, event: Event) {
        self.actions.clear();
        self.now += REQUEST_DURATION / 1000;
        self.balancer.handle(self.now, event, &mut self.actions);
    }
}
