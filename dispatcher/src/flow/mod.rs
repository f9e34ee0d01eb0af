//! The core: tracks each flow from its arrival to its single final answer, independently of protocols.
//! Listeners open flows and receive answers; targets send forwards and report how they end. The facade between
//! them makes the decisions.
//!
//! Side effects are collected while the core is borrowed and carried out after the borrow has ended (`Effect`),
//! so a listener or a target may call back immediately.

mod contract;
mod core;
mod permit_stats;
mod permits;
mod targets;

pub use contract::*;
pub use permit_stats::PermitStatsReport;

use self::core::{Core, Effect, Flow};
use self::permit_stats::PermitStats;
use crate::facade::{DispatchEvent, Facade, FlowId, FlowRequest, Load, Outcome};
use crate::fleet::prober::ProbeCoordinator;
use crate::list::monitor::ListMonitor;
use crate::siblings::reference_locks::ReferenceLocks;
use bytes::Bytes;
use lineroute_permit::{RepeatSafety, StartPermit};
use rustc_hash::{FxHashMap, FxHashSet};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tracing::debug;

pub use crate::facade::ListKind;

/// The final answer is due this long before the client's time-out, so that it still arrives in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(25);
/// A flow that the decision module leaves unanswered at its deadline is answered as failed after this delay.
const DEADLINE_FALLBACK_DELAY: Duration = Duration::from_millis(10);
/// Handle to the core, shared by listeners and targets. All of them run on one thread.
#[derive(Clone)]
pub struct Flows {
    core: Rc<RefCell<Core>>,
    targets: Rc<RefCell<Vec<Rc<dyn Target>>>>,
    observer: Rc<RefCell<Option<Rc<dyn ForwardObserver>>>>,
    prober: Rc<RefCell<Option<Rc<dyn ProbeCoordinator>>>>,
    operator_state: Rc<RefCell<Option<Rc<dyn OperatorStateSource>>>>,
    timer_changed: Rc<Notify>,
    watch_requested: Rc<Notify>,
    unanswered_changed: Rc<Notify>,
}

impl Flows {
    pub fn new(facade: Facade, bounds: Bounds, list: Rc<ListMonitor>) -> Self {
        let core = Core {
            facade,
            flows: FxHashMap::default(),
            references: FxHashSet::default(),
            reference_locks: None,
            deadlines: BTreeSet::new(),
            delayed: BTreeSet::new(),
            targets: FxHashMap::default(),
            in_flight_counts: FxHashMap::default(),
            in_flight_changes: Vec::new(),
            last_flow_id: 0,
            body_bytes: 0,
            cut_short: 0,
            bounds,
            list,
            list_valid_reported: true,
            permit_stats: PermitStats::default(),
            out_of_service: FxHashMap::default(),
        };
        Flows {
            core: Rc::new(RefCell::new(core)),
            targets: Rc::default(),
            observer: Rc::default(),
            prober: Rc::default(),
            operator_state: Rc::default(),
            timer_changed: Rc::default(),
            watch_requested: Rc::default(),
            unanswered_changed: Rc::default(),
        }
    }

    /// Keeps references unique over all processes of this dispatcher. Called before the first flow is opened.
    pub fn set_reference_locks(&self, locks: Rc<ReferenceLocks>) {
        self.core.borrow_mut().reference_locks = Some(locks);
    }

    /// Registers a target implementation and returns its index.
    pub fn add_target(&self, target: Rc<dyn Target>) -> usize {
        let mut targets = self.targets.borrow_mut();
        targets.push(target);
        targets.len() - 1
    }

    /// Notifies `observer` of changes in the forwards in flight and of listed targets.
    pub fn observe_forwards(&self, observer: Rc<dyn ForwardObserver>) {
        let core = self.core.borrow();
        core.targets.iter().for_each(|(id, known)| observer.target_listed(*id, &known.name, &known.zone));
        *self.observer.borrow_mut() = Some(observer);
    }

    /// Whether any flow is held back: it has no forward in flight and does not wait for load reports from
    /// peers.
    pub fn has_held_flows(&self) -> bool {
        let core = self.core.borrow();
        core.flows.values().any(|f| f.listener.is_some() && f.in_flight.is_none() && f.ask.is_none())
    }

    /// Opens a flow for a job. From here on its listener gets exactly one answer, unless the client leaves
    /// first; this includes the time of its delay.
    ///
    /// # Errors
    /// Why the flow was not opened. A flow with a delay counts against [`Bounds`] only when the delay ends, and is refused then
    /// if one is reached; until then its listener limits how many it accepts.
    pub fn open(
        &self,
        job: Job,
        timing: FlowTiming,
        _permit: StartPermit,
        listener: impl FnOnce(FlowId) -> Box<dyn Listener>,
    ) -> Result<FlowId, OpenError> {
        let now = Instant::now();
        let begins_at = (!timing.delay.is_zero()).then(|| now + timing.delay);
        let deadline = begins_at.unwrap_or(now) + timing.budget.saturating_sub(ANSWER_MARGIN);
        let id = {
            let core = &mut *self.core.borrow_mut();
            let size = job.body.len();
            if begins_at.is_none() && !core.has_room(size) {
                return Err(OpenError::Full);
            }
            let reference_lock = core.claim_reference(&job.reference)?;
            core.last_flow_id += 1;
            let id = FlowId(core.last_flow_id);
            match begins_at {
                Some(at) => drop(core.delayed.insert((at, id))),
                None => core.body_bytes += size,
            }
            let ask = FlowRequest {
                class: job.class,
                tenant: job.tenant,
                key: job.key.clone(),
                slots: job.slots,
                expected_run_time: job.expected_run_time,
                deadline,
            };
            core.deadlines.insert((deadline, id));
            debug!(flow = id.0, class = ask.class, "flow came");
            let (job, listener, ask) = (Rc::new(job), Some(listener(id)), Some(ask));
            core.flows.insert(
                id,
                Flow {
                    job,
                    listener,
                    ask,
                    deadline,
                    begins_at,
                    in_flight: None,
                    start_by: None,
                    tried_targets: Vec::new(),
                    may_have_run: false,
                    client_left_at: None,
                    head_latency: None,
                    _reference_lock: reference_lock,
                },
            );
            id
        };
        if begins_at.is_none() {
            self.begin(id);
        }
        // Until the flow is dispatched, only its delay and its deadline have to be observed.
        self.timer_changed.notify_one();
        Ok(id)
    }

    /// Dispatches a flow, at once or when peers have reported their load.
    fn begin(&self, id: FlowId) {
        let observer = self.observer.borrow().clone();
        if !observer.is_some_and(|observer| observer.flow_opened(id)) {
            self.dispatch(id);
        }
    }

    /// Lets the decision module choose a target, unless it already has or the client has left.
    pub fn dispatch(&self, id: FlowId) {
        let effects = {
            let core = &mut *self.core.borrow_mut();
            let ask = core.flows.get_mut(&id).filter(|f| f.listener.is_some()).and_then(|f| f.ask.take());
            let Some(ask) = ask else { return };
            let decisions = core.facade.pick(id, ask);
            core.effects(decisions, &self.watch_requested)
        };
        self.apply_effects(effects);
    }

    /// The client has left: it needs no answer, and the forward in flight is cancelled. Returns false if there
    /// is no such open flow.
    pub fn client_left(&self, id: FlowId) -> bool {
        let effects = {
            let core = &mut *self.core.borrow_mut();
            let Some(flow) = core.flows.get_mut(&id).filter(|f| f.listener.is_some()) else { return false };
            flow.listener = None;
            flow.client_left_at = Some(Instant::now());
            let decisions = core.facade.report(DispatchEvent::FlowAborted(id));
            let mut effects = core.effects(decisions, &self.watch_requested);
            effects.extend(core.cancel(id));
            core.remove_if_finished(id);
            effects
        };
        self.apply_effects(effects);
        true
    }

    /// A target reports that the job has started.
    pub fn job_started(&self, forward_id: ForwardId) {
        debug!(flow = forward_id.flow.0, forward = forward_id.number, "forward began");
        self.report_forward_news(forward_id, DispatchEvent::JobStarted(forward_id.flow, forward_id.number));
    }

    /// A target reports the progress of the job.
    pub fn job_progress(&self, forward_id: ForwardId, share: f64) {
        self.report_forward_news(
            forward_id,
            DispatchEvent::Progress(forward_id.flow, forward_id.number, share),
        );
    }

    /// The head of an answer has arrived and the answer is streamed from here on. This is the single answer of
    /// the flow, which stays tied to this forward until `forward_ended` is called for it. Returns false if the
    /// client no longer waits.
    pub fn stream_answer(&self, forward_id: ForwardId, streamed: StreamedAnswer) -> bool {
        let effects = {
            let core = &mut *self.core.borrow_mut();
            if !core.is_in_flight(forward_id) {
                return false;
            }
            let Some(flow) = core.flows.get_mut(&forward_id.flow) else { return false };
            let Some(listener) = flow.listener.take() else { return false };
            flow.head_latency = flow.in_flight.as_ref().map(|in_flight| in_flight.sent.elapsed());
            let mut effects = vec![Effect::Answer(listener, Answer::Passing(streamed))];
            let decisions =
                core.facade.report(DispatchEvent::ResponseStarted(forward_id.flow, forward_id.number));
            effects.extend(core.effects(decisions, &self.watch_requested));
            effects
        };
        self.apply_effects(effects);
        true
    }

    /// Answers every unanswered flow because this process may exit at any moment from now on. Returns their
    /// number.
    pub fn answer_all_pending(&self, retry_after: Duration) -> usize {
        let unanswered = {
            let core = self.core.borrow();
            let unanswered = core.flows.iter().filter(|(_, flow)| flow.listener.is_some());
            unanswered.map(|(id, _)| *id).collect::<Vec<FlowId>>()
        };
        self.abort(&unanswered, retry_after);
        unanswered.len()
    }

    /// Refuses the flows whose delay ends too late for this process, which is stopping. Returns their number.
    pub fn refuse_late_starts(&self, times: ShutdownTimes, retry_after: Duration) -> usize {
        let late = self.core.borrow_mut().late_starts(times);
        self.abort(&late, retry_after);
        late.len()
    }

    fn abort(&self, flows: &[FlowId], retry_after: Duration) {
        let effects: Vec<Effect> = {
            let core = &mut *self.core.borrow_mut();
            let abort_flow = |id: &FlowId| core.abort_flow(*id, retry_after, &self.watch_requested);
            flows.iter().flat_map(abort_flow).collect()
        };
        self.apply_effects(effects);
    }

    fn report_forward_news(&self, forward_id: ForwardId, news: DispatchEvent) {
        let effects = {
            let core = &mut *self.core.borrow_mut();
            if !core.is_in_flight(forward_id) {
                return;
            }
            let decisions = core.facade.report(news);
            core.effects(decisions, &self.watch_requested)
        };
        self.apply_effects(effects);
    }

    /// A forward has ended. Repeated calls, and calls for a forward that has already ended, have no effect.
    pub fn forward_ended(&self, forward_id: ForwardId, outcome: Outcome, result: Option<Bytes>) {
        self.forward_ended_with_load(forward_id, outcome, result, None);
    }

    /// Like `forward_ended`, with the load that the target reported.
    pub fn forward_ended_with_load(
        &self,
        forward_id: ForwardId,
        outcome: Outcome,
        result: Option<Bytes>,
        load: Option<Load>,
    ) {
        let effects = {
            let core = &mut *self.core.borrow_mut();
            core.forward_ended(forward_id, outcome, result, load, &self.watch_requested)
        };
        self.apply_effects(effects);
    }

    fn report(&self, news: DispatchEvent) {
        let effects = {
            let core = &mut *self.core.borrow_mut();
            let decisions = core.facade.report(news);
            core.effects(decisions, &self.watch_requested)
        };
        self.apply_effects(effects);
    }

    /// Whether flows of this class can safely run twice.
    pub fn repeat_safety(&self, class: usize) -> RepeatSafety {
        self.core.borrow().facade.repeat_safety(class)
    }

    /// Totals over the open flows. `classes` is the number of classes.
    pub fn flow_totals(&self, classes: usize) -> FlowTotals {
        let core = self.core.borrow();
        let mut totals = FlowTotals {
            bytes: core.body_bytes,
            cut_short: core.cut_short,
            classes: vec![0; classes],
            ..FlowTotals::default()
        };
        for flow in core.flows.values() {
            totals.open += usize::from(flow.listener.is_some());
            totals.delayed += usize::from(flow.begins_at.is_some());
            totals.in_flight += usize::from(flow.in_flight.is_some());
            if let Some(count) = totals.classes.get_mut(flow.job.class) {
                *count += usize::from(flow.listener.is_some());
            }
        }
        totals
    }

    /// Number of flows without an answer yet.
    pub fn unanswered_flows(&self) -> usize {
        self.core.borrow().flows.values().filter(|f| f.listener.is_some()).count()
    }

    /// Number of flows with a forward in flight.
    pub fn forwards_in_flight(&self) -> usize {
        self.core.borrow().flows.values().filter(|f| f.in_flight.is_some()).count()
    }

    /// Number of flows whose answer is being streamed.
    pub fn streaming_answers(&self) -> usize {
        self.core.borrow().flows.values().filter(|f| f.head_latency.is_some()).count()
    }

    /// Resolves when `unanswered_flows` may have changed.
    pub async fn unanswered_changed(&self) {
        self.unanswered_changed.notified().await;
    }

    /// Resolves when the decision module requests that the list be watched.
    pub async fn watch_requested(&self) {
        self.watch_requested.notified().await;
    }

    /// Runs the timers of the decision module, and the delays and deadlines of flows. Never returns.
    pub async fn run_timers(&self) {
        loop {
            let due = {
                let core = self.core.borrow();
                let (begin, deadline) = (core.delayed.first(), core.deadlines.first());
                [core.facade.next_tick(), begin.map(|d| d.0), deadline.map(|d| d.0)]
                    .into_iter()
                    .flatten()
                    .min()
            };
            let due = due.unwrap_or_else(|| Instant::now() + Duration::from_secs(60));
            tokio::select! {
                () = tokio::time::sleep_until(due.into()) => self.run_due(),
                () = self.timer_changed.notified() => {}
            }
        }
    }

    /// Begins the flows whose delay is over.
    fn begin_due(&self, now: Instant) {
        let (begun, effects) = self.core.borrow_mut().begin_due(now, &self.watch_requested);
        if !effects.is_empty() {
            self.apply_effects(effects);
        }
        begun.into_iter().for_each(|id| self.begin(id));
    }

    fn run_due(&self) {
        let now = Instant::now();
        self.begin_due(now);
        let mut effects = Vec::new();
        {
            let core = &mut *self.core.borrow_mut();
            let decisions = core.facade.tick();
            effects.extend(core.effects(decisions, &self.watch_requested));
            while let Some(&(at, id)) = core.deadlines.first().filter(|d| d.0 <= now) {
                core.deadlines.remove(&(at, id));
                effects.extend(core.deadline_reached(id, now, &self.watch_requested));
            }
        }
        self.apply_effects(effects);
    }

    fn apply_effects(&self, effects: Vec<Effect>) {
        self.timer_changed.notify_one();
        let in_flight_changes = {
            let core = &mut *self.core.borrow_mut();
            let changes = std::mem::take(&mut core.in_flight_changes).into_iter();
            let described = |(id, out)| core.targets.get(&id).map(|t| (t.name.clone(), t.zone.clone(), out));
            changes.filter_map(described).collect::<Vec<_>>()
        };
        if let Some(observer) = self.observer.borrow().as_ref() {
            in_flight_changes
                .iter()
                .for_each(|(name, zone, out)| observer.in_flight_changed(name, zone, *out));
        }
        if effects.is_empty() {
            return;
        }
        let targets = self.targets.borrow().clone();
        for effect in effects {
            match effect {
                Effect::Answer(listener, answer) => {
                    listener.answer(answer);
                    self.unanswered_changed.notify_one();
                }
                Effect::Forward(permit, forward) => targets[forward.transport].forward(permit, forward),
                Effect::Cancel(forward) => targets[forward.transport].cancel(forward),
                Effect::Probe(id) => self.request_probe(id),
                Effect::TargetClosed(id, transport) => targets[transport].target_closed(id),
                Effect::ForwardNotSent(forward_id, outcome) => self.forward_ended(forward_id, outcome, None),
                Effect::ProbeFailed(id) => self.probe_ended(id, Outcome::NoRoute, None),
            }
        }
        self.unanswered_changed.notify_one();
    }
}
