//! The decision module in blocking style. Everything here is plain and synchronous: the caller says what
//! happened, and gets back what is to be done, in the words of the flow. The module's events and actions
//! don't leave this file, and neither does its clock, the only one that decisions rest on.

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

/// A flow, by a number that is never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FlowId(pub u64);

/// A target, by the number that its name was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TargetId(pub u32);

/// What a flow asks for.
#[derive(Clone, Debug)]
pub struct FlowRequest {
    pub class: usize,
    pub tenant: Option<usize>,
    pub key: Option<String>,
    pub slots: f64,
    /// Its running time as the client guesses it.
    pub work: Option<Duration>,
    pub deadline: Instant,
}

/// One line of the list of targets.
#[derive(Clone, Debug)]
pub struct ListedTarget {
    pub target: TargetId,
    pub zone: u32,
    pub kind: u32,
    pub cell: u32,
    pub stage: Stage,
    /// Its last start as Unix time in milliseconds; 0: long ago.
    pub started_ms: u64,
    /// Its size beside that of others; 0: not known.
    pub size: f64,
}

/// Flows that go to one target only: those of a class, or of one tenant of it.
#[derive(Clone, Debug)]
pub struct Pinned {
    pub class: usize,
    pub tenant: Option<usize>,
    pub target: TargetId,
}

/// What operators have set: all of it.
#[derive(Clone, Debug, Default)]
pub struct TargetOverrides {
    /// Targets whose share is multiplied, and by what.
    pub weights: Vec<(TargetId, f64)>,
    /// Targets that get nothing new.
    pub out_of_service: Vec<TargetId>,
    pub pins: Vec<Pinned>,
}

/// A target's own account of its load, as far as it gives one.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Free slots.
    pub free: Option<f64>,
    /// Jobs waiting.
    pub waiting: Option<f64>,
    /// Jobs in hand, waiting ones included.
    pub held: Option<f64>,
}

/// What has happened.
#[derive(Debug)]
pub enum DispatchEvent {
    List(ListKind, Vec<ListedTarget>),
    ListFailed,
    /// Whether what is known of targets may be acted on.
    ListValid(bool),
    Overrides(TargetOverrides),
    /// The client has gone, or the flow is over for another reason.
    FlowAborted(FlowId),
    JobStarted(FlowId, u32),
    /// The head of a forward's answer has gone to the client.
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
    /// Peers tell of a target: their forwards there, and whether it has just refused one.
    PeerHint(TargetId, u32, bool),
}

/// What is to be done.
#[derive(Debug, PartialEq)]
pub enum Decision {
    /// Start a forward.
    Forward {
        flow: FlowId,
        number: u32,
        target: TargetId,
    },
    /// Hold the flow: nothing can be done for it yet.
    Wait(FlowId),
    /// Give the flow a final answer without a result. `retry_after`: trying again is harmless, after that time.
    FixedResponse {
        flow: FlowId,
        retry_after: Option<Duration>,
    },
    /// Give up a forward that is out.
    Cancel {
        flow: FlowId,
        number: u32,
    },
    Probe(TargetId),
    /// See that the list is watched.
    Watch,
}

/// Wall time at an instant that both are read at once: workers' starts are told as Unix time.
struct Clock {
    origin: Instant,
    unix: Micros,
}

impl Clock {
    fn at(&self, instant: Instant) -> Micros {
        self.unix + instant.saturating_duration_since(self.origin).as_micros() as Micros
    }

    fn instant(&self, at: Micros) -> Instant {
        self.origin + Duration::from_micros(at.saturating_sub(self.unix))
    }
}

pub struct Facade {
    balancer: Balancer,
    clock: Clock,
    actions: Vec<Action>,
    wake: Option<Micros>,
    /// Forwards made of each open flow. The module numbers them in the order of its sends.
    forwards: FxHashMap<FlowId, u32>,
    numbers: FxHashMap<Arc<str>, TargetId>,
    names: Vec<Arc<str>>,
    /// How long repeats of each class may begin to go out, where that has an end; and the rules.
    windows: Vec<Option<Duration>>,
    effects: Vec<RepeatSafety>,
    rules: Rules,
}

impl Facade {
    pub fn new(mut settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        // Workers' memory of a key must not end between a decision and its write.
        for class in &mut settings.classes {
            if let Effect::ByKey { ttl, .. } = &mut class.effect {
                *ttl = ttl.saturating_sub(STALL_ALLOWANCE.as_micros() as Micros);
            }
        }
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as Micros;
        let window = |effect| match effect {
            Effect::ByKey { ttl, .. } => Some(Duration::from_micros(ttl)),
            Effect::Repeatable | Effect::Once => None,
        };
        let windows = settings.classes.iter().map(|c| window(c.effect)).collect();
        let rules = settings.rules.clone();
        let effects = settings.classes.iter().map(|c| side_effect(c.effect)).collect();
        Ok(Facade {
            windows,
            effects,
            rules,
            balancer: Balancer::new(settings, seed)?,
            clock: Clock { origin: Instant::now(), unix },
            actions: Vec::new(),
            wake: None,
            forwards: FxHashMap::default(),
            numbers: FxHashMap::default(),
            names: Vec::new(),
        })
    }

    /// Until when a flow of this class may go out again, if a forward of it that was sent then has ended so: `None` where
    /// that sets no end.
    pub fn repeat_until(&self, class: usize, sent: Instant, outcome: Outcome) -> Option<Instant> {
        let window = self.windows.get(class).copied().flatten()?;
        (!outcome.never_ran(&self.rules)).then(|| sent + window)
    }

    /// Whether an outcome proves that the forward never ran.
    pub fn never_ran(&self, outcome: Outcome) -> bool {
        outcome.never_ran(&self.rules)
    }

    /// What a second run of a flow of this class would do.
    pub fn side_effect(&self, class: usize) -> RepeatSafety {
        self.effects.get(class).copied().unwrap_or(RepeatSafety::NotIdempotent)
    }

    /// The number of a target by its name, the same for as long as the program runs.
    pub fn target(&mut self, name: &str) -> TargetId {
        if let Some(&id) = self.numbers.get(name) {
            return id;
        }
        let (id, name) = (TargetId(self.names.len() as u32), Arc::<str>::from(name));
        self.names.push(name.clone());
        self.numbers.insert(name, id);
        id
    }

    pub fn name(&self, target: TargetId) -> &str {
        self.names.get(target.0 as usize).map_or("?", |name| name)
    }

    /// A new flow: where does it go?
    pub fn pick(&mut self, flow: FlowId, ask: FlowRequest) -> Vec<Decision> {
        self.forwards.insert(flow, 0);
        let request = Request {
            id: request_id(flow),
            class: ClassId(ask.class),
            tenant: ask.tenant.map(TenantId),
            key: ask.key.map(|k| Key(k.into())),
            deadline: self.clock.at(ask.deadline),
            slots: ask.slots,
            work: ask.work.map(|work| work.as_micros() as Micros),
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

    /// Something has happened: what follows?
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

    /// Time has passed: is anything due?
    pub fn tick(&mut self) -> Vec<Decision> {
        let now = self.clock.at(Instant::now());
        if self.wake.is_none_or(|at| now < at) {
            return Vec::new();
        }
        self.wake = None;
        self.handle(Event::Timer(0))
    }

    /// When `tick` has something to do next.
    pub fn next_tick(&self) -> Option<Instant> {
        self.wake.map(|at| self.clock.instant(at))
    }

    /// The flow and its forwards are over: nothing more will be said of it.
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
                    // An earlier wake stands: the module drops one that comes too soon and is asked again.
                    self.wake = Some(self.wake.map_or(at, |w| w.min(at)));
                    continue;
                }
            });
        }
        decisions
    }
}

fn side_effect(effect: Effect) -> RepeatSafety {
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
    Report { free_slots: load.free, queued: load.waiting, in_flight: load.held }
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
