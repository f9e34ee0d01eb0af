//! Simulation in virtual time of hollow dispatchers that watch one discovery service: the real schedule of calls
//! (`WatchSchedule`) and the real decision module, which sets the time of the retry after a failure. The calls are in
//! the same order as in the dispatcher's own watch.

use super::histogram::Histogram;
use super::hollow::{entry, settings};
use super::worker_list::WorkerList;
use lineroute::{Action, Balancer, Event as ModuleEvent, ListKind, Settings, Stage};
use lineroute_control::call_failure::CallFailure;
use lineroute_control::watch::{FailedCall, WatchSchedule};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Virtual time, in microseconds.
pub type Time = u64;
pub const MILLISECOND: Time = 1000;
pub const SECOND: Time = 1000 * MILLISECOND;
const MINUTE: Time = 60 * SECOND;

/// Round-trip time between a dispatcher and discovery, without the time in discovery's queue.
const ROUND_TRIP: Time = MILLISECOND;
/// Time that a dispatcher allows a long poll beyond its wait before it times out.
const LONG_POLL_MARGIN: Time = 1500 * MILLISECOND;
/// Shortest interval between two calls if the first returned no changes.
const MIN_CALL_INTERVAL: Time = 20 * MILLISECOND;
/// Bytes of a request and of a response's head, as exchanged by a real dispatcher and the lab's discovery.
pub const REQUEST_BYTES: u64 = 102;
pub const ANSWER_HEAD_BYTES: u64 = 58;

/// Capacity and faults of the simulated discovery.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryModel {
    /// Time to handle one call. Calls are handled one after another.
    pub call_time: Time,
    /// Bandwidth of its link.
    pub link_bytes_per_second: f64,
    /// Requests lost, and responses lost, in thousandths of each.
    pub lost_per_mille: u32,
    /// From when until when it refuses connections.
    pub outage: Option<(Time, Time)>,
}

/// A network partition that separates some dispatchers from discovery: their calls get no response.
#[derive(Clone, Copy, Debug)]
pub struct Partition {
    pub from: Time,
    pub to: Time,
    /// How many dispatchers are separated; they are the first ones.
    pub dispatchers: u32,
}

/// The parameters of a run.
pub struct Plan<'a> {
    /// Number of dispatchers in each dispatcher's settings, on which its schedule depends.
    pub configured_dispatchers: u32,
    pub dispatchers: u32,
    pub workers: u32,
    pub until: Time,
    /// Times of the changes of the list, ascending.
    pub changes: &'a [Time],
    /// Dispatchers start without a list, at random times within this span. If `None`, all have the first list from the
    /// start.
    pub empty_start_span: Option<Time>,
    pub discovery: DiscoveryModel,
    pub partition: Option<Partition>,
    pub seed: u64,
}

/// The result of a run.
#[derive(Default)]
pub struct Outcome {
    pub calls: u64,
    pub failed_calls: u64,
    pub worst_second_calls: u64,
    pub worst_second_bytes: u64,
    /// Requests and responses of all dispatchers together.
    pub bytes: u64,
    /// The most bytes of any dispatcher in any minute.
    pub worst_minute_bytes: u64,
    /// Time from a change until each dispatcher has it. For a change during a partition, the time of a separated
    /// dispatcher starts when the partition ends.
    pub propagation_time: Histogram,
    /// Time from the start of the run until each dispatcher has its first list.
    pub first_list_time: Histogram,
    /// Dispatchers that lack the last change at the end of the run.
    pub stale_dispatchers: usize,
}

/// The outcome of a call, determined when the call is made.
enum CallOutcome {
    List { version: usize, full: bool },
    TimedOut,
    Refused,
}

enum Step {
    Call,
    Ended { called_at: Time, outcome: CallOutcome },
}

struct Watcher {
    module: HollowModule,
    schedule: WatchSchedule,
    /// Number of changes that it has; `None` if it has no list.
    version: Option<usize>,
    wait: Time,
    has_failed: bool,
    minute: u64,
    minute_bytes: u64,
}

struct Run<'a> {
    plan: &'a Plan<'a>,
    full_list_bytes: u64,
    change: u64,
    empty_list_bytes: u64,
    now: Time,
    discovery_free_at: Time,
    watchers: Vec<Watcher>,
    queue: BinaryHeap<Reverse<(Time, u64, u32)>>,
    steps: Vec<Option<Step>>,
    last_id: u64,
    second: u64,
    second_calls: u64,
    second_bytes: u64,
    outcome: Outcome,
    loss_rng: fastrand::Rng,
}

/// Runs a simulation.
pub fn simulate(plan: &Plan) -> Outcome {
    let empty_list_bytes = WorkerList::changes(0).bytes() as u64;
    let mut run = Run {
        full_list_bytes: WorkerList::full(plan.workers).bytes() as u64,
        change: WorkerList::changes(1).bytes() as u64 - empty_list_bytes + 1,
        empty_list_bytes,
        now: 0,
        discovery_free_at: 0,
        watchers: Vec::new(),
        queue: BinaryHeap::new(),
        steps: Vec::new(),
        last_id: 0,
        second: 0,
        second_calls: 0,
        second_bytes: 0,
        outcome: Outcome::default(),
        loss_rng: fastrand::Rng::with_seed(plan.seed ^ 0x1055),
        plan,
    };
    run.start();
    while let Some(Reverse((at, _, dispatcher))) = run.queue.pop() {
        if at >= plan.until {
            break;
        }
        run.now = at;
        run.step(dispatcher);
    }
    run.end()
}

impl Run<'_> {
    fn start(&mut self) {
        let mut rng = fastrand::Rng::with_seed(self.plan.seed);
        for dispatcher in 0..self.plan.dispatchers {
            let settings = settings(self.plan.configured_dispatchers);
            let module = HollowModule::new(settings, rng.u64(..));
            let schedule = WatchSchedule::new(self.plan.configured_dispatchers, rng.u64(..));
            let first = self.plan.empty_start_span.map_or(0, |span| rng.u64(0..=span));
            let version = if self.plan.empty_start_span.is_some() { None } else { Some(0) };
            self.watchers.push(Watcher {
                module,
                schedule,
                version,
                wait: 0,
                has_failed: false,
                minute: 0,
                minute_bytes: 0,
            });
            self.steps.push(None);
            self.schedule_step(first, dispatcher, Step::Call);
        }
    }

    fn schedule_step(&mut self, at: Time, dispatcher: u32, step: Step) {
        self.last_id += 1;
        self.steps[dispatcher as usize] = Some(step);
        self.queue.push(Reverse((at, self.last_id, dispatcher)));
    }

    fn step(&mut self, dispatcher: u32) {
        match self.steps[dispatcher as usize].take() {
            Some(Step::Call) => self.call(dispatcher),
            Some(Step::Ended { called_at, outcome }) => self.call_ended(dispatcher, called_at, outcome),
            None => {}
        }
    }

    /// The partition that separates this dispatcher, if any.
    fn partition_of(&self, dispatcher: u32) -> Option<Partition> {
        self.plan.partition.filter(|partition| dispatcher < partition.dispatchers)
    }

    /// Records the propagation time of changes that a dispatcher has received, or still lacks at the end of the run.
    fn record_propagation(&mut self, dispatcher: u32, changes: std::ops::Range<usize>, at: Time) {
        let reachable = self.partition_of(dispatcher);
        for change in &self.plan.changes[changes] {
            let since = match reachable {
                Some(partition) if (partition.from..partition.to).contains(change) => partition.to,
                _ => *change,
            };
            self.outcome.propagation_time.add(at.saturating_sub(since) / MILLISECOND);
        }
    }

    /// Number of changes that have been made by this time.
    fn version_at(&self, at: Time) -> usize {
        self.plan.changes.partition_point(|change| *change <= at)
    }

    fn call(&mut self, dispatcher: u32) {
        self.count_call(dispatcher);
        let now = self.now;
        let watcher = &self.watchers[dispatcher as usize];
        let wait = watcher.wait;
        let timeout =
            if wait == 0 { watcher.schedule.answer_timeout() * MILLISECOND } else { wait + LONG_POLL_MARGIN };
        let version = watcher.version;
        let is_partitioned = self
            .partition_of(dispatcher)
            .is_some_and(|partition| (partition.from..partition.to).contains(&now));
        let (at, outcome) = match is_partitioned || self.is_lost() {
            // The request did not reach discovery.
            true => (Time::MAX, CallOutcome::TimedOut),
            false => self.handle_call(version, now, wait),
        };
        let (at, outcome) = if self.is_lost() { (Time::MAX, CallOutcome::TimedOut) } else { (at, outcome) };
        let (at, outcome) =
            if at - now > timeout { (now + timeout, CallOutcome::TimedOut) } else { (at, outcome) };
        self.schedule_step(at, dispatcher, Step::Ended { called_at: now, outcome });
    }

    fn is_lost(&mut self) -> bool {
        self.plan.discovery.lost_per_mille > 0
            && self.loss_rng.u32(..1000) < self.plan.discovery.lost_per_mille
    }

    /// Handles a call at discovery. Returns when the response arrives, and the outcome.
    fn handle_call(&mut self, version: Option<usize>, now: Time, wait: Time) -> (Time, CallOutcome) {
        let model = self.plan.discovery;
        let is_down = |at: Time| model.outage.is_some_and(|(from, to)| (from..to).contains(&at));
        if is_down(now) {
            return (now + ROUND_TRIP, CallOutcome::Refused);
        }
        let bytes = if version.is_none() { self.full_list_bytes as f64 } else { 0.0 };
        let transfer_time = (bytes / model.link_bytes_per_second * SECOND as f64) as Time;
        self.discovery_free_at = self.discovery_free_at.max(now) + model.call_time + transfer_time;
        let handled_at = self.discovery_free_at;
        let latest = self.version_at(handled_at);
        let (at, outcome) = match version {
            None => (handled_at, CallOutcome::List { version: latest, full: true }),
            Some(known) if latest > known => (handled_at, CallOutcome::List { version: latest, full: false }),
            Some(known) => {
                let ends = handled_at.max(now + wait);
                let change = self.plan.changes.get(known).copied().filter(|change| *change < ends);
                let at = change.unwrap_or(ends);
                (at, CallOutcome::List { version: self.version_at(at), full: false })
            }
        };
        // Calls in progress fail when the outage begins.
        match model.outage {
            Some((from, _)) if now < from && at >= from => (from, CallOutcome::Refused),
            _ => (at + ROUND_TRIP, outcome),
        }
    }

    fn call_ended(&mut self, dispatcher: u32, called_at: Time, outcome: CallOutcome) {
        match outcome {
            CallOutcome::List { version, full } => self.list_received(dispatcher, called_at, version, full),
            CallOutcome::TimedOut => self.call_failed(dispatcher, called_at, true),
            CallOutcome::Refused => self.call_failed(dispatcher, called_at, false),
        }
    }

    /// Handles the arrival of a list.
    fn list_received(&mut self, dispatcher: u32, called_at: Time, version: usize, full: bool) {
        let now = self.now;
        let known = self.watchers[dispatcher as usize].version;
        let change_count = (version - known.unwrap_or(0)) as u64;
        let body =
            if full { self.full_list_bytes } else { self.empty_list_bytes + change_count * self.change };
        self.count_bytes(dispatcher, ANSWER_HEAD_BYTES + body);
        match known {
            None => self.outcome.first_list_time.add(now / MILLISECOND),
            Some(known) => self.record_propagation(dispatcher, known..version, now),
        }
        let watcher = &mut self.watchers[dispatcher as usize];
        watcher.version = Some(version);
        watcher.schedule.answered();
        if std::mem::take(&mut watcher.has_failed) {
            let list = [entry(0, Stage::Ready)].into();
            watcher.module.handle(now, ModuleEvent::WorkerList(ListKind::Delta, list));
        }
        watcher.wait = watcher.schedule.wait() * MILLISECOND;
        let next = if full || change_count > 0 { now } else { now.max(called_at + MIN_CALL_INTERVAL) };
        self.schedule_step(next, dispatcher, Step::Call);
    }

    /// Handles the failure of a call.
    fn call_failed(&mut self, dispatcher: u32, called_at: Time, is_silent: bool) {
        self.outcome.failed_calls += 1;
        let now = self.now;
        let watcher = &mut self.watchers[dispatcher as usize];
        let watched = std::mem::take(&mut watcher.wait) > 0;
        let failure = if is_silent { CallFailure::Silent } else { CallFailure::Unreachable };
        let failed = FailedCall { watched, failure, took: (now - called_at) / MILLISECOND };
        let retry_delay = watcher.schedule.retry_delay(failed);
        let next = match retry_delay {
            Some(delay) => now + delay * MILLISECOND,
            None => {
                watcher.has_failed = true;
                watcher.module.retry_after_failure(now)
            }
        };
        self.schedule_step(next, dispatcher, Step::Call);
    }

    fn count_call(&mut self, dispatcher: u32) {
        self.outcome.calls += 1;
        self.begin_second();
        self.second_calls += 1;
        self.outcome.worst_second_calls = self.outcome.worst_second_calls.max(self.second_calls);
        self.count_bytes(dispatcher, REQUEST_BYTES);
    }

    fn count_bytes(&mut self, dispatcher: u32, bytes: u64) {
        self.begin_second();
        self.second_bytes += bytes;
        self.outcome.bytes += bytes;
        self.outcome.worst_second_bytes = self.outcome.worst_second_bytes.max(self.second_bytes);
        let minute = self.now / MINUTE;
        let watcher = &mut self.watchers[dispatcher as usize];
        if watcher.minute != minute {
            (watcher.minute, watcher.minute_bytes) = (minute, 0);
        }
        watcher.minute_bytes += bytes;
        self.outcome.worst_minute_bytes = self.outcome.worst_minute_bytes.max(watcher.minute_bytes);
    }

    fn begin_second(&mut self) {
        let second = self.now / SECOND;
        if self.second != second {
            (self.second, self.second_calls, self.second_bytes) = (second, 0, 0);
        }
    }

    fn end(mut self) -> Outcome {
        let last = self.version_at(self.plan.until);
        // Changes and lists that have not arrived are recorded with the time until the end of the run.
        for dispatcher in 0..self.plan.dispatchers {
            let version = self.watchers[dispatcher as usize].version;
            self.record_propagation(dispatcher, version.unwrap_or(0)..last, self.plan.until);
            if version.is_none() {
                self.outcome.first_list_time.add(self.plan.until / MILLISECOND);
            }
        }
        self.outcome.stale_dispatchers = self.watchers.iter().filter(|w| w.version != Some(last)).count();
        self.outcome
    }
}

/// The decision module and its timer, driven as by a host.
struct HollowModule {
    balancer: Balancer,
    /// The module's timer. The module sets another one only if that is due earlier.
    wake_at: Option<Time>,
    actions: Vec<Action>,
}

impl HollowModule {
    fn new(settings: Settings, seed: u64) -> Self {
        let balancer = Balancer::new(settings, seed).expect("the hollow dispatcher's settings are valid");
        let mut module = Self { balancer, wake_at: None, actions: Vec::new() };
        // The module requests the list as soon as it runs.
        module.handle(0, ModuleEvent::WorkerList(ListKind::Cached, [].into()));
        module
    }

    fn handle(&mut self, now: Time, event: ModuleEvent) {
        self.actions.clear();
        self.balancer.handle(now, event, &mut self.actions);
        for action in &self.actions {
            if let Action::Wake(at, _) = action {
                self.wake_at = Some(*at);
            }
        }
    }

    /// Reports a failed call to the module. Returns when it requests the list again.
    fn retry_after_failure(&mut self, now: Time) -> Time {
        self.handle(now, ModuleEvent::ListFailed);
        let mut at = now;
        while !self.actions.contains(&Action::Subscribe) {
            let due = self.wake_at.take().expect("after a failure the module sets a timer to ask again");
            at = due.max(at);
            self.handle(at, ModuleEvent::Timer(0));
        }
        at
    }
}
