//! A hollow dispatcher: the real decision module with made-up workers and requests, and no sockets.

use super::target;
use lineroute::{
    Action, Allowed, AttemptEnd, AttemptNo, Balancer, CellId, Class, ClassId, Discovery, Effect, Event,
    KindId, ListKind, Micros, Outcome, Prices, ReportSource, Request, RequestId, Rules, Settings, Stage,
    WorkerEntry, WorkerId, ZoneId,
};

const MILLISECOND: Micros = 1000;
const SECOND: Micros = 1000 * MILLISECOND;
/// Workers that share a cell.
const CELL: u32 = 8;
/// How long each made-up request runs.
const RUNS: Micros = 50 * MILLISECOND;

/// One instance of the module and its clock.
pub struct HollowDispatcher {
    balancer: Balancer,
    now: Micros,
    requests: u64,
    actions: Vec<Action>,
}

/// Three classes that any worker may run, for one of so many dispatchers.
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

/// An entry of the list: workers are spread over all zones.
pub fn entry(worker: u32, stage: Stage) -> WorkerEntry {
    WorkerEntry {
        worker: WorkerId(worker),
        zone: ZoneId(worker % target::ZONES as u32),
        kind: KindId(0),
        cell: CellId(worker / CELL),
        stage,
        started: None,
        size: 0.0,
    }
}

impl HollowDispatcher {
    /// One that has not been told of any worker.
    pub fn new(instances: u32, seed: u64) -> Self {
        let balancer = Balancer::new(settings(instances), seed).expect("the settings above are sound");
        Self { balancer, now: 0, requests: 0, actions: Vec::new() }
    }

    /// One that knows so many workers, each of which has served a request about so often.
    pub fn warmed(workers: u32, requests_each: u32, seed: u64) -> Self {
        let mut dispatcher = Self::new(1, seed);
        dispatcher.take_whole_list(workers);
        (0..u64::from(workers) * u64::from(requests_each)).for_each(|_| dispatcher.serve());
        dispatcher
    }

    /// Tells it of all workers.
    pub fn take_whole_list(&mut self, workers: u32) {
        let list = (0..workers).map(|worker| entry(worker, Stage::Ready)).collect();
        self.handle(Event::WorkerList(ListKind::Full, list));
    }

    /// Tells it of a change of one worker.
    pub fn take_change(&mut self, worker: u32, stage: Stage) {
        self.handle(Event::WorkerList(ListKind::Delta, [entry(worker, stage)].into()));
    }

    /// One request from its arrival to its end.
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
            elapsed: RUNS,
            report: None,
        }));
    }

    fn handle(&mut self, event: Event) {
        self.actions.clear();
        self.now += RUNS / 1000;
        self.balancer.handle(self.now, event, &mut self.actions);
    }
}
