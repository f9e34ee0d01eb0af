//! The core: open flows, from their arrival to their one final answer. It knows no wire. Listeners bring
//! flows in and take answers out; targets carry forwards and tell how they end. Between the two stands the
//! facade, which decides.
//!
//! Whatever is to be done outside is collected while the core is borrowed and done after the borrow has
//! ended (`Effect`), so a listener or a target may call back at once.

mod contract;
mod core;
mod permit_stats;
mod permits;
mod targets;

pub use contract::*;
pub use permit_stats::PermitStatsReport;

use self::core::{Core, Effect, Flow};
use self::permit_stats::PermitStats;
use crate::facade::{Ask, Facade, FlowId, Load, News, Outcome};
use crate::fleet::prober::Probing;
use crate::list::monitor::ListMonitor;
use bytes::Bytes;
use lineroute_permit::StartPermit;
use rustc_hash::{FxHashMap, FxHashSet};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tracing::debug;

pub use crate::facade::ListKind;

/// The final answer comes this long before the client gives up, so that it still reaches it.
const ANSWER_MARGIN: Duration = Duration::from_millis(25);
/// What the decisions leave unanswered at the deadline is answered as failed this much later.
const OVERDUE: Duration = Duration::from_millis(10);
/// The core, shared by listeners and targets. All of them run on one thread.
#[derive(Clone)]
pub struct Flows {
    core: Rc<RefCell<Core>>,
    targets: Rc<RefCell<Vec<Rc<dyn Target>>>>,
    observer: Rc<RefCell<Option<Rc<dyn ForwardObserver>>>>,
    probing: Rc<RefCell<Option<Rc<dyn Probing>>>>,
    operator_state: Rc<RefCell<Option<Rc<dyn OperatorStateSource>>>>,
    timer: Rc<Notify>,
    watch: Rc<Notify>,
    settled: Rc<Notify>,
}

impl Flows {
    pub fn new(facade: Facade, bounds: Bounds, list: Rc<ListMonitor>) -> Self {
        let core = Core {
            facade,
            flows: FxHashMap::default(),
            references: FxHashSet::default(),
            deadlines: BTreeSet::new(),
            targets: FxHashMap::default(),
            out: FxHashMap::default(),
            changed: Vec::new(),
            next: 0,
            bytes: 0,
            cut_short: 0,
            bounds,
            list,
            list_heeded: true,
            permit_stats: PermitStats::default(),
            out_of_service: FxHashMap::default(),
        };
        Flows {
            core: Rc::new(RefCell::new(core)),
            targets: Rc::default(),
            observer: Rc::default(),
            probing: Rc::default(),
            operator_state: Rc::default(),
            timer: Rc::default(),
            watch: Rc::default(),
            settled: Rc::default(),
        }
    }

    /// Adds one who carries forwards; its position.
    pub fn add_target(&self, target: Rc<dyn Target>) -> usize {
        let mut targets = self.targets.borrow_mut();
        targets.push(target);
        targets.len() - 1
    }

    /// Has one told of the forwards that are out, and of the targets that are listed.
    pub fn observe_forwards(&self, observer: Rc<dyn ForwardObserver>) {
        let core = self.core.borrow();
        core.targets.iter().for_each(|(id, known)| observer.target_listed(*id, &known.name, &known.zone));
        *self.observer.borrow_mut() = Some(observer);
    }

    /// Whether flows are held: nothing of theirs is out, and they wait for no picture.
    pub fn has_held_flows(&self) -> bool {
        let core = self.core.borrow();
        core.flows.values().any(|f| f.listener.is_some() && f.out.is_none() && f.ask.is_none())
    }

    /// Takes a job in. From here on its listener is owed one answer, unless it leaves first.
    pub fn open(
        &self,
        job: Job,
        budget: Duration,
        _permit: StartPermit,
        listener: impl FnOnce(FlowId) -> Box<dyn Listener>,
    ) -> Result<FlowId, OpenError> {
        let until = Instant::now() + budget.saturating_sub(ANSWER_MARGIN);
        let id = {
            let core = &mut *self.core.borrow_mut();
            let size = job.body.len();
            if core.flows.len() >= core.bounds.flows || core.bytes + size > core.bounds.bytes {
                return Err(OpenError::Full);
            }
            if !core.references.insert(job.reference.clone()) {
                return Err(OpenError::Duplicate);
            }
            core.next += 1;
            core.bytes += size;
            let id = FlowId(core.next);
            let ask = Ask {
                class: job.class,
                tenant: job.tenant,
                key: job.key.clone(),
                slots: job.slots,
                work: job.expected_run_time,
                deadline: until,
            };
            core.deadlines.insert((until, id));
            debug!(flow = id.0, class = ask.class, "flow came");
            let (job, listener, ask) = (Rc::new(job), Some(listener(id)), Some(ask));
            core.flows.insert(
                id,
                Flow {
                    job,
                    listener,
                    ask,
                    until,
                    out: None,
                    start_by: None,
                    before: Vec::new(),
                    may_have_run: false,
                    left_at: None,
                    bound: None,
                },
            );
            id
        };
        let observer = self.observer.borrow().clone();
        if !observer.is_some_and(|observer| observer.flow_opened(id)) {
            self.dispatch(id);
        }
        // Until it is placed only its deadline is to be heeded.
        self.timer.notify_one();
        Ok(id)
    }

    /// Has it decided where a flow goes, unless that was done or the client has left.
    pub fn dispatch(&self, id: FlowId) {
        let effects = {
            let core = &mut *self.core.borrow_mut();
            let ask = core.flows.get_mut(&id).filter(|f| f.listener.is_some()).and_then(|f| f.ask.take());
            let Some(ask) = ask else { return };
            let decisions = core.facade.pick(id, ask);
            core.effects(decisions, &self.watch)
        };
        self.carry_out(effects);
    }

    /// The client has gone: it is owed nothing more, and its forward is given up. False: no such open flow.
    pub fn client_left(&self, id: FlowId) -> bool {
        let effects = {
            let core = &mut *self.core.borrow_mut();
            let Some(flow) = core.flows.get_mut(&id).filter(|f| f.listener.is_some()) else { return false };
            flow.listener = None;
            flow.left_at = Some(Instant::now());
            let decisions = core.facade.report(News::Left(id));
            let mut effects = core.effects(decisions, &self.watch);
            effects.extend(core.cancel(id));
            core.drop_if_over(id);
            effects
        };
        self.carry_out(effects);
        true
    }

    /// A target tells that the job has begun.
    pub fn job_started(&self, ticket: ForwardId) {
        debug!(flow = ticket.flow.0, forward = ticket.number, "forward began");
        self.news(ticket, News::Begun(ticket.flow, ticket.number));
    }

    /// A target tells how far the job has got.
    pub fn job_progress(&self, ticket: ForwardId, share: f64) {
        self.news(ticket, News::Progress(ticket.flow, ticket.number, share));
    }

    /// The head of an answer has come, and the answer passes from here on: the flow has its one answer, and is
    /// bound to this forward until `ended` is called for it. False: nobody wants it.
    pub fn stream_answer(&self, ticket: ForwardId, passing: StreamedAnswer) -> bool {
        let effects = {
            let core = &mut *self.core.borrow_mut();
            if !core.is_out(ticket) {
                return false;
            }
            let Some(flow) = core.flows.get_mut(&ticket.flow) else { return false };
            let Some(listener) = flow.listener.take() else { return false };
            flow.bound = flow.out.as_ref().map(|out| out.sent.elapsed());
            let mut effects = vec![Effect::Answer(listener, Answer::Streamed(passing))];
            let decisions = core.facade.report(News::Passes(ticket.flow, ticket.number));
            effects.extend(core.effects(decisions, &self.watch));
            effects
        };
        self.carry_out(effects);
        true
    }

    /// Answers every flow that is owed an answer, since this process may end at any moment from now on; how many those are.
    pub fn answer_all_pending(&self, retry_after: Duration) -> usize {
        let (count, effects) = {
            let core = &mut *self.core.borrow_mut();
            let owed = core.flows.iter().filter(|(_, flow)| flow.listener.is_some());
            let owed: Vec<FlowId> = owed.map(|(id, _)| *id).collect();
            let give_up = |id: &FlowId| core.give_up(*id, retry_after, &self.watch);
            let effects: Vec<Effect> = owed.iter().flat_map(give_up).collect();
            (owed.len(), effects)
        };
        self.carry_out(effects);
        count
    }

    fn news(&self, ticket: ForwardId, news: News) {
        let effects = {
            let core = &mut *self.core.borrow_mut();
            if !core.is_out(ticket) {
                return;
            }
            let decisions = core.facade.report(news);
            core.effects(decisions, &self.watch)
        };
        self.carry_out(effects);
    }

    /// A forward has ended. Said again, or of one that ended otherwise before, it changes nothing.
    pub fn forward_ended(&self, ticket: ForwardId, outcome: Outcome, result: Option<Bytes>) {
        self.forward_ended_with_load(ticket, outcome, result, None);
    }

    /// The same, with the target's account of its load.
    pub fn forward_ended_with_load(
        &self,
        ticket: ForwardId,
        outcome: Outcome,
        result: Option<Bytes>,
        load: Option<Load>,
    ) {
        let effects = {
            let core = &mut *self.core.borrow_mut();
            core.ended(ticket, outcome, result, load, &self.watch)
        };
        self.carry_out(effects);
    }

    fn report(&self, news: News) {
        let effects = {
            let core = &mut *self.core.borrow_mut();
            let decisions = core.facade.report(news);
            core.effects(decisions, &self.watch)
        };
        self.carry_out(effects);
    }

    /// Counts the open flows, of so many classes.
    pub fn flow_totals(&self, classes: usize) -> FlowTotals {
        let core = self.core.borrow();
        let mut totals = FlowTotals {
            bytes: core.bytes,
            cut_short: core.cut_short,
            classes: vec![0; classes],
            ..FlowTotals::default()
        };
        for flow in core.flows.values() {
            totals.open += usize::from(flow.listener.is_some());
            totals.in_flight += usize::from(flow.out.is_some());
            if let Some(count) = totals.classes.get_mut(flow.job.class) {
                *count += usize::from(flow.listener.is_some());
            }
        }
        totals
    }

    /// Flows that are owed an answer.
    pub fn unanswered_flows(&self) -> usize {
        self.core.borrow().flows.values().filter(|f| f.listener.is_some()).count()
    }

    /// Flows with an attempt out.
    pub fn forwards_in_flight(&self) -> usize {
        self.core.borrow().flows.values().filter(|f| f.out.is_some()).count()
    }

    /// Flows whose answer is passing.
    pub fn streaming_answers(&self) -> usize {
        self.core.borrow().flows.values().filter(|f| f.bound.is_some()).count()
    }

    /// Resolves when somebody should look at `owed` again.
    pub async fn unanswered_changed(&self) {
        self.settled.notified().await;
    }

    /// Resolves when the module wants the list watched.
    pub async fn watch_requested(&self) {
        self.watch.notified().await;
    }

    /// Runs the clock: the module's ticks, and the flows' deadlines. Never ends.
    pub async fn run_timers(&self) {
        loop {
            let due = {
                let core = self.core.borrow();
                let deadline = core.deadlines.first().map(|d| d.0);
                [core.facade.next_tick(), deadline].into_iter().flatten().min()
            };
            let due = due.unwrap_or_else(|| Instant::now() + Duration::from_secs(60));
            tokio::select! {
                () = tokio::time::sleep_until(due.into()) => self.due(),
                () = self.timer.notified() => {}
            }
        }
    }

    fn due(&self) {
        let now = Instant::now();
        let mut effects = Vec::new();
        {
            let core = &mut *self.core.borrow_mut();
            let decisions = core.facade.tick();
            effects.extend(core.effects(decisions, &self.watch));
            while let Some(&(at, id)) = core.deadlines.first().filter(|d| d.0 <= now) {
                core.deadlines.remove(&(at, id));
                effects.extend(core.overdue(id, now, &self.watch));
            }
        }
        self.carry_out(effects);
    }

    fn carry_out(&self, effects: Vec<Effect>) {
        self.timer.notify_one();
        let changed = {
            let core = &mut *self.core.borrow_mut();
            let told = std::mem::take(&mut core.changed).into_iter();
            let place = |(id, out)| core.targets.get(&id).map(|t| (t.name.clone(), t.zone.clone(), out));
            told.filter_map(place).collect::<Vec<_>>()
        };
        if let Some(observer) = self.observer.borrow().as_ref() {
            changed.iter().for_each(|(name, zone, out)| observer.in_flight_changed(name, zone, *out));
        }
        if effects.is_empty() {
            return;
        }
        let targets = self.targets.borrow().clone();
        for effect in effects {
            match effect {
                Effect::Answer(listener, answer) => {
                    listener.answer(answer);
                    self.settled.notify_one();
                }
                Effect::Forward(permit, forward) => targets[forward.transport].forward(permit, forward),
                Effect::Cancel(forward) => targets[forward.transport].cancel(forward),
                Effect::Probe(id) => self.request_probe(id),
                Effect::Closed(id, transport) => targets[transport].target_closed(id),
                Effect::NotMade(ticket, outcome) => self.forward_ended(ticket, outcome, None),
                Effect::ProbeFailed(id) => self.probe_ended(id, Outcome::NoRoute, None),
            }
        }
        self.settled.notify_one();
    }
}
