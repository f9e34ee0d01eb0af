//! Synchronous interface to the decision module. The caller reports an event and receives decisions in terms of
//! flows and targets. The decision module's own events, actions and clock are not visible outside this file; all
//! decisions are based on that one clock.

use lineroute::{
    Action, AttemptEnd, AttemptNo, Balancer, CellId, ClassId, Event, Key, KindId, Micros, Overrides, Report,
    Request, RequestId, SettingsError, TenantId, WorkerEntry, WorkerId, ZoneId,
};
pub use lineroute::{Discovery, ListKind, Outcome, ReportSource, Settings, Stage};
use lineroute::{Effect, Rules};
use lineroute_permit::{RepeatSafety, STALL_ALLOWANCE};
use rustc_hash::FxHashMap;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Identifies a flow. Numbers are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FlowId(pub u64);

/// Identifies a target by the number assigned to its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TargetId(pub u32);

/// The request of a flow.
#[derive(Clone, Debug)]
pub struct FlowRequest {
    pub class: usize,
    pub tenant: Option<usize>,
    pub key: Option<String>,
    pub slots: f64,
    /// The client's estimate of the running time.
    pub expected_run_time: Option<Duration>,
    pub deadline: Instant,
}

/// An entry of the list of targets.
#[derive(Clone, Debug)]
pub struct ListedTarget {
    pub target: TargetId,
    pub zone: u32,
    pub kind: u32,
    pub cell: u32,
    pub stage: Stage,
    /// Time of the last start in milliseconds of Unix time; 0 if it was long ago.
    pub started_ms: u64,
    /// Size relative to other targets; 0 if unknown.
    pub size: f64,
}

/// Pins flows to a single target: all flows of a class, or those of one of its tenants.
#[derive(Clone, Debug)]
pub struct Pinned {
    pub class: usize,
    pub tenant: Option<usize>,
    pub target: TargetId,
}

/// All overrides in force.
#[derive(Clone, Debug, Default)]
pub struct TargetOverrides {
    /// Factors by which the shares of targets are multiplied.
    pub weights: Vec<(TargetId, f64)>,
    /// Targets that receive no new forwards.
    pub out_of_service: Vec<TargetId>,
    pub pins: Vec<Pinned>,
}

/// The load that a target reports; fields that it does not report are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    pub free_slots: Option<f64>,
    pub queued: Option<f64>,
    /// Jobs in flight, queued ones included.
    pub in_flight: Option<f64>,
}

/// An event that the decision module is told of.
#[derive(Debug)]
pub enum DispatchEvent {
    List(ListKind, Vec<ListedTarget>),
    ListFailed,
    /// Whether the known list of targets may be used for decisions.
    ListValid(bool),
    Overrides(TargetOverrides),
    /// The client has disconnected, or the flow has ended for another reason.
    FlowAborted(FlowId),
    JobStarted(FlowId, u32),
    /// The head of a forward's response has been sent to the client.
    ResponseStarted(FlowId, u32),
    Progress(FlowId, u32, f64),
    ForwardEnded {
        flow: FlowId,
        number: u32,
        outcome: Outcome,
        /// The flow has its final answer.
        over: bool,
        spent: Duration,
        load: Option<Load>,
    },
    ProbeEnded(TargetId, Outcome, Option<Load>),
    /// What peers report of a target: their forwards in flight there, and whether it has just refused one.
    PeerHint(TargetId, u32, bool),
}

/// A decision that the caller carries out.
#[derive(Debug, PartialEq)]
pub enum Decision {
    /// Start a forward.
    Forward {
        flow: FlowId,
        number: u32,
        target: TargetId,
    },
    /// Keep the flow waiting until a later decision.
    Wait(FlowId),
    /// Give the flow a final answer without a result. With `retry_after` the client may safely retry after that time.
    FixedResponse {
        flow: FlowId,
        retry_after: Option<Duration>,
    },
    /// Cancel a forward in flight.
    Cancel {
        flow: FlowId,
        number: u32,
    },
    Probe(TargetId),
    /// Ensure that the worker list is being watched.
    Watch,
}

/// Maps instants to Unix time, from one simultaneous reading of both clocks. Unix time is needed because workers' start times
/// are given in it.
struct Clock {
    origin: Instant,
    unix_micros: Micros,
}

impl Clock {
    fn at(&self, instant: Instant) -> Micros {
        self.unix_micros + instant.saturating_duration_since(self.origin).as_micros() as Micros
    }

    fn instant(&self, at: Micros) -> Instant {
        self.origin + Duration::from_micros(at.saturating_sub(self.unix_micros))
    }
}

pub struct Facade {
    balancer: Balancer,
    clock: Clock,
    actions: Vec<Action>,
    next_wake: Option<Micros>,
    /// Number of forwards of each open flow. The decision module numbers them in the order of its sends.
    forwards: FxHashMap<FlowId, u32>,
    target_ids: FxHashMap<Arc<str>, TargetId>,
    target_names: Vec<Arc<str>>,
    /// By class: the period during which repeats may start, if limited.
    repeat_windows: Vec<Option<Duration>>,
    effects: Vec<RepeatSafety>,
    rules: Rules,
}

impl Facade {
    pub fn new(mut settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        // A worker must not forget a key between the decision to repeat and the write of the repeat.
        for class in &mut settings.classes {
            if let Effect::ByKey { ttl, .. } = &mut class.effect {
                *ttl = ttl.saturating_sub(STALL_ALLOWANCE.as_micros() as Micros);
            }
        }
        let unix_micros =
            SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as Micros;
        let repeat_window = |effect| match effect {
            Effect::ByKey { ttl, .. } => Some(Duration::from_micros(ttl)),
            Effect::Repeatable | Effect::Once => None,
        };
        let repeat_windows = settings.classes.iter().map(|c| repeat_window(c.effect)).collect();
        let rules = settings.rules.clone();
        let effects = settings.classes.iter().map(|c| repeat_safety(c.effect)).collect();
        Ok(Facade {
            repeat_windows,
            effects,
            rules,
            balancer: Balancer::new(settings, seed)?,
            clock: Clock { origin: Instant::now(), unix_micros },
            actions: Vec::new(),
            next_wake: None,
            forwards: FxHashMap::default(),
            target_ids: FxHashMap::default(),
            target_names: Vec::new(),
        })
    }

    /// The time until which a flow of this class may be repeated after a forward sent at `sent` ended with `outcome`; `None` if
    /// that sets no limit.
    pub fn repeat_until(&self, class: usize, sent: Instant, outcome: Outcome) -> Option<Instant> {
        let repeat_window = self.repeat_windows.get(class).copied().flatten()?;
        (!outcome.never_ran(&self.rules)).then(|| sent + repeat_window)
    }

    /// Whether the outcome proves that the forward never ran.
    pub fn never_ran(&self, outcome: Outcome) -> bool {
        outcome.never_ran(&self.rules)
    }

    /// Whether flows of this class can safely run twice.
    pub fn repeat_safety(&self, class: usize) -> RepeatSafety {
        self.effects.get(class).copied().unwrap_or(RepeatSafety::NotIdempotent)
    }

    /// The id of the target with this name, stable for the lifetime of the process.
    pub fn target(&mut self, name: &str) -> TargetId {
        if let Some(&id) = self.target_ids.get(name) {
            return id;
        }
        let (id, name) = (TargetId(self.target_names.len() as u32), Arc::<str>::from(name));
        self.target_names.push(name.clone());
        self.target_ids.insert(name, id);
        id
    }

    pub fn name(&self, target: TargetId) -> &str {
        self.target_names.get(target.0 as usize).map_or("?", |name| name)
    }

    /// Decides on a new flow.
    pub fn pick(&mut self, flow: FlowId, flow_request: FlowRequest) -> Vec<Decision> {
        self.forwards.insert(flow, 0);
        let request = Request {
            id: request_id(flow),
            class: ClassId(flow_request.class),
            tenant: flow_request.tenant.map(TenantId),
            key: flow_request.key.map(|k| Key(k.into())),
            deadline: self.clock.at(flow_request.deadline),
            slots: flow_request.slots,
            work: flow_request.expected_run_time.map(|time| time.as_micros() as Micros),
        };
        let mut decisions = self.handle(Event::Request(request));
        let decided = decisions.iter().any(|d| match d {
            Decision::Forward { flow: f, .. } | Decision::FixedResponse { flow: f, .. } => *f == flow,
            _ => false,
        });
        if !decided {
            decisions.push(Decision::Wait(flow));
        }
        decisions
    }

    /// Reports an event and returns the resulting decisions.
    pub fn report(&mut self, event: DispatchEvent) -> Vec<Decision> {
        let event = match event {
            DispatchEvent::List(kind, listed) => Event::WorkerList(kind, listed.iter().map(entry).collect()),
            DispatchEvent::ListFailed => Event::ListFailed,
            DispatchEvent::ListValid(valid) => Event::ListValid(valid),
            DispatchEvent::Overrides(overrides) => Event::Overrides(Overrides {
                weights: overrides.weights.iter().map(|(t, factor)| (WorkerId(t.0), *factor)).collect(),
                out_of_service: overrides.out_of_service.iter().map(|t| WorkerId(t.0)).collect(),
                pins: (overrides.pins.iter())
                    .map(|p| (ClassId(p.class), p.tenant.map(TenantId), WorkerId(p.target.0)))
                    .collect(),
            }),
            DispatchEvent::PeerHint(target, in_flight, refused) => {
                Event::PeerHint { worker: WorkerId(target.0), in_flight, refused }
            }
            DispatchEvent::FlowAborted(flow) => Event::Aborted(request_id(flow)),
            DispatchEvent::ResponseStarted(flow, number) => {
                Event::ResponseStarted(request_id(flow), AttemptNo(number))
            }
            DispatchEvent::JobStarted(flow, number) => Event::JobStarted(request_id(flow), AttemptNo(number)),
            DispatchEvent::Progress(flow, number, share) => {
                Event::Progress(request_id(flow), AttemptNo(number), share)
            }
            DispatchEvent::ForwardEnded { flow, number, outcome, over, spent, load } => {
                Event::AttemptEnded(AttemptEnd {
                    id: request_id(flow),
                    attempt: AttemptNo(number),
                    outcome,
                    request_done: over,
                    elapsed: spent.as_micros() as Micros,
                    report: load.map(report),
                })
            }
            DispatchEvent::ProbeEnded(target, outcome, load) => {
                Event::ProbeEnded { worker: WorkerId(target.0), outcome, report: load.map(report) }
            }
        };
        self.handle(event)
    }

    /// Returns decisions that have become due by now.
    pub fn tick(&mut self) -> Vec<Decision> {
        let now = self.clock.at(Instant::now());
        if self.next_wake.is_none_or(|at| now < at) {
            return Vec::new();
        }
        self.next_wake = None;
        self.handle(Event::Timer(0))
    }

    /// When `tick` is next due.
    pub fn next_tick(&self) -> Option<Instant> {
        self.next_wake.map(|at| self.clock.instant(at))
    }

    /// Drops the state of a flow that has ended with all its forwards.
    pub fn forget(&mut self, flow: FlowId) {
        self.forwards.remove(&flow);
    }

    fn handle(&mut self, event: Event) -> Vec<Decision> {
        let now = self.clock.at(Instant::now());
        self.balancer.handle(now, event, &mut self.actions);
        let mut decisions = Vec::with_capacity(self.actions.len());
        for action in self.actions.drain(..) {
            decisions.push(match action {
                Action::Send { id, worker, .. } => {
                    let flow = flow_id(&id);
                    let next = self.forwards.entry(flow).or_default();
                    let number = *next;
                    *next += 1;
                    Decision::Forward { flow, number, target: TargetId(worker.0) }
                }
                Action::Refuse { id, retry_after } => Decision::FixedResponse {
                    flow: flow_id(&id),
                    retry_after: Some(Duration::from_micros(retry_after)),
                },
                Action::Fail(id) => Decision::FixedResponse { flow: flow_id(&id), retry_after: None },
                Action::Cancel(id, number) => Decision::Cancel { flow: flow_id(&id), number: number.0 },
                Action::Probe(worker) => Decision::Probe(TargetId(worker.0)),
                Action::Subscribe => Decision::Watch,
                Action::Wake(at, _) => {
                    // An earlier timer is kept: the decision module ignores one that fires too early and sets it again.
                    self.next_wake = Some(self.next_wake.map_or(at, |w| w.min(at)));
                    continue;
                }
            });
        }
        decisions
    }
}

fn repeat_safety(effect: Effect) -> RepeatSafety {
    match effect {
        Effect::Repeatable => RepeatSafety::Idempotent,
        Effect::ByKey { .. } => RepeatSafety::IdempotentByKey,
        Effect::Once => RepeatSafety::NotIdempotent,
    }
}

fn request_id(flow: FlowId) -> RequestId {
    RequestId(flow.0.to_string().into())
}

fn flow_id(id: &RequestId) -> FlowId {
    FlowId(id.0.parse().unwrap_or(u64::MAX))
}

fn report(load: Load) -> Report {
    Report { free_slots: load.free_slots, queued: load.queued, in_flight: load.in_flight }
}

fn entry(listed: &ListedTarget) -> WorkerEntry {
    WorkerEntry {
        worker: WorkerId(listed.target.0),
        zone: ZoneId(listed.zone),
        kind: KindId(listed.kind),
        cell: CellId(listed.cell),
        stage: listed.stage,
        started: (listed.started_ms > 0).then_some(listed.started_ms * 1000),
        size: if listed.size.is_finite() { listed.size.clamp(0.0, 1e6) } else { 0.0 },
    }
}
