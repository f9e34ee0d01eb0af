//! A tier of hollow dispatchers that watch one discovery, in virtual time: the real schedule of calls (`WatchSchedule`) and the real
//! module, which says when to call again after a failure. The order of calls is that of the dispatcher's own watch.

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

/// Time from a dispatcher to discovery and back, without its queue.
const ROUND_TRIP: Time = MILLISECOND;
/// The dispatcher's own bound of a call that waits for news, beyond its wait.
const NEWS_WITHIN: Time = 1500 * MILLISECOND;
/// The least time between two calls that bring nothing.
const LEAST_GAP: Time = 20 * MILLISECOND;
/// Bytes of a call's request and of an answer's head, as a real dispatcher and the lab's discovery exchange them.
pub const REQUEST_BYTES: u64 = 102;
pub const ANSWER_HEAD_BYTES: u64 = 58;

/// What discovery is able to do.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryModel {
    /// Time for one call; calls are handled in turn.
    pub call: Time,
    /// Bytes a second that it sends at most.
    pub link: f64,
    /// Calls or answers that are lost on the way, of 1,000 each.
    pub lost: u32,
    /// It refuses connections in this span.
    pub down: Option<(Time, Time)>,
}

/// Some dispatchers lose discovery for a time: their calls are silent.
#[derive(Clone, Copy, Debug)]
pub struct Cut {
    pub from: Time,
    pub to: Time,
    /// The first so many dispatchers are cut off.
    pub dispatchers: u32,
}

/// A run: how many dispatchers watch, how long, and what changes when.
pub struct Plan<'a> {
    /// Dispatchers that each takes to be there: what its schedule goes by.
    pub tier: u32,
    pub dispatchers: u32,
    pub workers: u32,
    pub until: Time,
    /// When each change of the list came to be, ascending.
    pub changes: &'a [Time],
    /// Dispatchers begin without a list, spread over this time; `None`: they hold the first list from the start.
    pub start_without_list: Option<Time>,
    pub discovery: DiscoveryModel,
    pub cut: Option<Cut>,
    pub seed: u64,
}

/// What a run comes to.
#[derive(Default)]
pub struct Outcome {
    pub calls: u64,
    pub failed_calls: u64,
    pub worst_second_calls: u64,
    pub worst_second_bytes: u64,
    /// Of all dispatchers together, calls and answers.
    pub bytes: u64,
    /// Of any dispatcher, in any minute.
    pub worst_minute_bytes: u64,
    /// From a change to each dispatcher's knowledge of it; for one that was cut off, from its return at the earliest.
    pub known_after: Histogram,
    /// From the start of the first dispatcher until each has its first list.
    pub first_list_after: Histogram,
    /// Dispatchers that lack the last change at the end.
    pub behind: usize,
}

/// A call's outcome, known when it is made.
enum Answer {
    List { version: usize, full: bool },
    TimedOut,
    Refused,
}

enum Step {
    Call,
    Answered { asked: Time, answer: Answer },
}

struct Watcher {
    module: HollowModule,
    schedule: WatchSchedule,
    /// Changes that it knows of; `None`: it has no list.
    version: Option<usize>,
    wait: Time,
    has_failed: bool,
    minute: u64,
    minute_bytes: u64,
}

struct Run<'a> {
    plan: &'a Plan<'a>,
    whole_list: u64,
    change: u64,
    empty_list: u64,
    now: Time,
    discovery_free_at: Time,
    watchers: Vec<Watcher>,
    queue: BinaryHeap<Reverse<(Time, u64, u32)>>,
    steps: Vec<Option<Step>>,
    count: u64,
    second: u64,
    second_calls: u64,
    second_bytes: u64,
    outcome: Outcome,
    loss: fastrand::Rng,
}

/// Plays a run.
pub fn play(plan: &Plan) -> Outcome {
    let empty_list = WorkerList::changes(0).bytes() as u64;
    let mut run = Run {
        whole_list: WorkerList::whole(plan.workers).bytes() as u64,
        change: WorkerList::changes(1).bytes() as u64 - empty_list + 1,
        empty_list,
        now: 0,
        discovery_free_at: 0,
        watchers: Vec::new(),
        queue: BinaryHeap::new(),
        steps: Vec::new(),
        count: 0,
        second: 0,
        second_calls: 0,
        second_bytes: 0,
        outcome: Outcome::default(),
        loss: fastrand::Rng::with_seed(plan.seed ^ 0x1055),
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
        let mut dice = fastrand::Rng::with_seed(self.plan.seed);
        for dispatcher in 0..self.plan.dispatchers {
            let settings = settings(self.plan.tier);
            let module = HollowModule::new(settings, dice.u64(..));
            let schedule = WatchSchedule::new(self.plan.tier, dice.u64(..));
            let first = self.plan.start_without_list.map_or(0, |span| dice.u64(0..=span));
            let version = if self.plan.start_without_list.is_some() { None } else { Some(0) };
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
            self.at(first, dispatcher, Step::Call);
        }
    }

    fn at(&mut self, at: Time, dispatcher: u32, step: Step) {
        self.count += 1;
        self.steps[dispatcher as usize] = Some(step);
        self.queue.push(Reverse((at, self.count, dispatcher)));
    }

    fn step(&mut self, dispatcher: u32) {
        match self.steps[dispatcher as usize].take() {
            Some(Step::Call) => self.call(dispatcher),
            Some(Step::Answered { asked, answer }) => self.answered(dispatcher, asked, answer),
            None => {}
        }
    }

    /// The cut that this dispatcher is behind.
    fn cut_of(&self, dispatcher: u32) -> Option<Cut> {
        self.plan.cut.filter(|cut| dispatcher < cut.dispatchers)
    }

    /// A dispatcher knows, or at the run's end still does not know, these changes.
    fn count_known(&mut self, dispatcher: u32, changes: std::ops::Range<usize>, at: Time) {
        let reachable = self.cut_of(dispatcher);
        for change in &self.plan.changes[changes] {
            let since = match reachable {
                Some(cut) if (cut.from..cut.to).contains(change) => cut.to,
                _ => *change,
            };
            self.outcome.known_after.add(at.saturating_sub(since) / MILLISECOND);
        }
    }

    /// Changes that have come to be by a time.
    fn version_at(&self, at: Time) -> usize {
        self.plan.changes.partition_point(|change| *change <= at)
    }

    fn call(&mut self, dispatcher: u32) {
        self.count_call(dispatcher);
        let now = self.now;
        let watcher = &self.watchers[dispatcher as usize];
        let wait = watcher.wait;
        let within =
            if wait == 0 { watcher.schedule.answer_timeout() * MILLISECOND } else { wait + NEWS_WITHIN };
        let version = watcher.version;
        let is_cut = self.cut_of(dispatcher).is_some_and(|cut| (cut.from..cut.to).contains(&now));
        let (at, answer) = match is_cut || self.is_lost() {
            // It never came to discovery.
            true => (Time::MAX, Answer::TimedOut),
            false => self.asked(version, now, wait),
        };
        let (at, answer) = if self.is_lost() { (Time::MAX, Answer::TimedOut) } else { (at, answer) };
        let (at, answer) = if at - now > within { (now + within, Answer::TimedOut) } else { (at, answer) };
        self.at(at, dispatcher, Step::Answered { asked: now, answer });
    }

    fn is_lost(&mut self) -> bool {
        self.plan.discovery.lost > 0 && self.loss.u32(..1000) < self.plan.discovery.lost
    }

    /// What discovery does with a call: when its answer is there, and which.
    fn asked(&mut self, version: Option<usize>, now: Time, wait: Time) -> (Time, Answer) {
        let model = self.plan.discovery;
        let is_down = |at: Time| model.down.is_some_and(|(from, to)| (from..to).contains(&at));
        if is_down(now) {
            return (now + ROUND_TRIP, Answer::Refused);
        }
        let bytes = if version.is_none() { self.whole_list as f64 } else { 0.0 };
        let sends = (bytes / model.link * SECOND as f64) as Time;
        self.discovery_free_at = self.discovery_free_at.max(now) + model.call + sends;
        let handled = self.discovery_free_at;
        let news = self.version_at(handled);
        let (at, answer) = match version {
            None => (handled, Answer::List { version: news, full: true }),
            Some(known) if news > known => (handled, Answer::List { version: news, full: false }),
            Some(known) => {
                let ends = handled.max(now + wait);
                let change = self.plan.changes.get(known).copied().filter(|change| *change < ends);
                let at = change.unwrap_or(ends);
                (at, Answer::List { version: self.version_at(at), full: false })
            }
        };
        // Calls that stand there when it goes down end with it.
        match model.down {
            Some((from, _)) if now < from && at >= from => (from, Answer::Refused),
            _ => (at + ROUND_TRIP, answer),
        }
    }

    fn answered(&mut self, dispatcher: u32, asked: Time, answer: Answer) {
        match answer {
            Answer::List { version, full } => self.took(dispatcher, asked, version, full),
            Answer::TimedOut => self.failed(dispatcher, asked, true),
            Answer::Refused => self.failed(dispatcher, asked, false),
        }
    }

    /// A list came.
    fn took(&mut self, dispatcher: u32, asked: Time, version: usize, full: bool) {
        let now = self.now;
        let known = self.watchers[dispatcher as usize].version;
        let lines = (version - known.unwrap_or(0)) as u64;
        let body = if full { self.whole_list } else { self.empty_list + lines * self.change };
        self.count_bytes(dispatcher, ANSWER_HEAD_BYTES + body);
        match known {
            None => self.outcome.first_list_after.add(now / MILLISECOND),
            Some(known) => self.count_known(dispatcher, known..version, now),
        }
        let watcher = &mut self.watchers[dispatcher as usize];
        watcher.version = Some(version);
        watcher.schedule.answered();
        if std::mem::take(&mut watcher.has_failed) {
            let list = [entry(0, Stage::Ready)].into();
            watcher.module.handle(now, ModuleEvent::WorkerList(ListKind::Delta, list));
        }
        watcher.wait = watcher.schedule.wait() * MILLISECOND;
        let next = if full || lines > 0 { now } else { now.max(asked + LEAST_GAP) };
        self.at(next, dispatcher, Step::Call);
    }

    /// A call came to nothing.
    fn failed(&mut self, dispatcher: u32, asked: Time, silent: bool) {
        self.outcome.failed_calls += 1;
        let now = self.now;
        let watcher = &mut self.watchers[dispatcher as usize];
        let watched = std::mem::take(&mut watcher.wait) > 0;
        let failure = if silent { CallFailure::Silent } else { CallFailure::Unreachable };
        let failed = FailedCall { watched, failure, took: (now - asked) / MILLISECOND };
        let soon = watcher.schedule.retry_delay(failed);
        let next = match soon {
            Some(delay) => now + delay * MILLISECOND,
            None => {
                watcher.has_failed = true;
                watcher.module.wants_list_after_failure(now)
            }
        };
        self.at(next, dispatcher, Step::Call);
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
        // What is not known yet counts with the time that it has taken so far.
        for dispatcher in 0..self.plan.dispatchers {
            let version = self.watchers[dispatcher as usize].version;
            self.count_known(dispatcher, version.unwrap_or(0)..last, self.plan.until);
            if version.is_none() {
                self.outcome.first_list_after.add(self.plan.until / MILLISECOND);
            }
        }
        self.outcome.behind = self.watchers.iter().filter(|w| w.version != Some(last)).count();
        self.outcome
    }
}

/// The module and its timer: as a host drives it.
struct HollowModule {
    balancer: Balancer,
    /// The earliest timer that it has set. It sets another one only to be woken before that.
    wake_at: Option<Time>,
    actions: Vec<Action>,
}

impl HollowModule {
    fn new(settings: Settings, seed: u64) -> Self {
        let balancer = Balancer::new(settings, seed).expect("the hollow settings are sound");
        let mut module = Self { balancer, wake_at: None, actions: Vec::new() };
        // It wants the list as soon as it runs.
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

    /// Tells it of a failure; when it asks for the list again.
    fn wants_list_after_failure(&mut self, now: Time) -> Time {
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
