//! The whole interface of the decision module: settings, events and actions.
//!
//! Times are whole microseconds on a clock that only moves forward; where it starts does not matter.

use std::fmt;
use std::sync::Arc;

/// A point in time or a span, in microseconds.
pub type Micros = u64;

/// A request's id, chosen by the host and never used twice.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub Arc<str>);

/// The key (program or data set) of a job.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(pub Arc<str>);

/// A worker's id. It says nothing of zone, kind or age.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WorkerId(pub u32);

/// Index of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ZoneId(pub u32);

/// Index of a machine kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KindId(pub u32);

/// Number of a cell: a few workers that share what keys they have seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CellId(pub u32);

/// Index into [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClassId(pub usize);

/// Index into [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TenantId(pub usize);

/// Number of an attempt of one request, from 0 in the order of its sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptNo(pub u32);

/// What a host tells the module once, at the start of an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Instances that share the traffic, this one among them.
    pub instances: u32,
    /// Request classes; at least one.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// How the list of workers is had.
    pub discovery: Discovery,
    /// How load reports are had.
    pub report_source: ReportSource,
    /// What workers and the host permit.
    pub allowed: Allowed,
    /// Parameters of the four rules.
    pub rules: Rules,
    /// Reports tell how many jobs a worker holds or has waiting, not only of free slots.
    pub reports_count_jobs: bool,
    /// Time between progress notes of a running job; 0: none come.
    pub progress_interval: Micros,
    /// Workers tell when a job begins, by [`Event::JobStarted`].
    pub tells_start: bool,
    /// Zone of this instance; `None`: all workers count as near.
    pub zone: Option<ZoneId>,
    /// Worth is counted for each unit of work, not for each request.
    pub worth_by_work: bool,
    /// What sends cost beside the work.
    pub prices: Prices,
    /// Part of a class's requests that may miss the aim before the rest lose worth too; `None`: no such bound.
    pub tail_slack: Option<f64>,
}

/// What sends cost beside the work; a price of 0 leaves the matter out of account.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prices {
    /// For a connection held open.
    pub connection: f64,
    /// For a new connection.
    pub handshake: f64,
    /// For an attempt that crosses zones.
    pub cross_zone: f64,
}

/// A request class.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time, plus `stretch` times the job's own work, earns its full worth.
    pub aim: Micros,
    /// How much of a job's own running time the aim grows by.
    pub stretch: f64,
    /// How long a client waits in all.
    pub deadline: Micros,
    /// Part of the worth left for an answer after the aim.
    pub late_share: f64,
    /// Worth of one request.
    pub worth: f64,
    /// What a second run would do.
    pub effect: Effect,
    /// The one kind of machine that runs the class, if it is bound to one.
    pub kind: Option<KindId>,
    /// The only zones that the class may be sent to; `None`: all.
    pub zones: Option<Vec<ZoneId>>,
    /// The only kinds of machine that the class may be sent to; `None`: all.
    pub kinds: Option<Vec<KindId>>,
}

/// What a second run of a request would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing: it may be repeated and refused freely.
    Repeatable,
    /// Nothing, within a group of workers and for a time.
    ByKey {
        /// The workers that drop a repeat.
        group: Group,
        /// How long they remember, from the send of the first attempt that may have run.
        ttl: Micros,
    },
    /// Harm: it must never run twice.
    Once,
}

/// A group of workers that drops repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All workers.
    All,
    /// Those in one zone.
    Zone,
    /// Those in one cell.
    Cell,
}

/// A tenant's share.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second within its share, over all instances.
    pub quota_per_s: f64,
}

/// How the list of workers is had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes come by themselves.
    Push,
    /// Changes come to those who subscribed.
    Subscribe,
}

/// How load reports are had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportSource {
    /// With every answer and probe result.
    Responses,
    /// With probe results alone.
    Probes,
    /// Not at all.
    None,
}

/// What workers and the host permit.
#[derive(Clone, Debug, PartialEq)]
pub struct Allowed {
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Workers may be probed.
    pub probe: bool,
    /// The longest advice to stay away that refused clients heed; 0: none is given.
    pub max_retry_after: Micros,
    /// Most attempts of one request.
    pub max_attempts: u32,
    /// Most requests open at once.
    pub most_held: usize,
    /// A second attempt may be out beside the first.
    pub parallel: bool,
    /// An idle connection closes after this.
    pub keepalive: Micros,
}

/// Parameters of the four rules.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Where the list must be asked for: an instance that neither subscribed nor asked for so long counts as told.
    pub ask_within: Micros,
    /// Least part of its capacity that a worker starts with.
    pub cold_from: f64,
    /// It is warm no later than this after its start.
    pub warm_up: Micros,
    /// A cold worker falls over when sent more than this multiple of its present capacity ...
    pub overload_factor: f64,
    /// ... for this long.
    pub overload_for: Micros,
    /// Workers also turn away work that they had begun: "no room" proves nothing.
    pub may_shed_begun: bool,
    /// A worker that is listed as gone or left out, but was never seen draining, may still be sent to.
    pub dropped_stay_open: bool,
}

/// Settings that can't be used: which key, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The key, by the name of its field.
    pub key: String,
    /// What is wrong with it.
    pub reason: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting {}: {}", self.key, self.reason)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Checks that the figures can be worked with.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let need = |ok: bool, key: &str, reason: &str| {
            if ok {
                Ok(())
            } else {
                Err(SettingsError { key: key.into(), reason: reason.into() })
            }
        };
        let fraction = |x: f64| (0.0..=1.0).contains(&x);
        need(self.instances > 0, "instances", "must be at least 1")?;
        need(!self.classes.is_empty(), "classes", "must hold at least one class")?;
        for (i, c) in self.classes.iter().enumerate() {
            let key = |k: &str| format!("classes[{i}].{k}");
            need(c.aim > 0, &key("aim"), "must be above 0")?;
            need(c.deadline > 0, &key("deadline"), "must be above 0")?;
            need(c.stretch.is_finite() && c.stretch >= 0.0, &key("stretch"), "must be 0 or more")?;
            need(fraction(c.late_share), &key("late_share"), "must lie between 0 and 1")?;
            need(c.worth.is_finite() && c.worth >= 0.0, &key("worth"), "must be 0 or more")?;
        }
        for (i, t) in self.tenants.iter().enumerate() {
            let key = |k: &str| format!("tenants[{i}].{k}");
            let ok = t.quota_per_s.is_finite() && t.quota_per_s >= 0.0;
            need(ok, &key("quota_per_s"), "must be 0 or more")?;
        }
        need(self.allowed.max_attempts > 0, "allowed.max_attempts", "must be at least 1")?;
        need(self.allowed.most_held > 0, "allowed.most_held", "must be at least 1")?;
        let cold = self.rules.cold_from;
        need(cold > 0.0 && cold <= 1.0, "rules.cold_from", "must lie above 0 and be at most 1")?;
        for (key, price) in [
            ("prices.connection", self.prices.connection),
            ("prices.handshake", self.prices.handshake),
            ("prices.cross_zone", self.prices.cross_zone),
        ] {
            need(price.is_finite() && price >= 0.0, key, "must be 0 or more")?;
        }
        need(self.tail_slack.is_none_or(fraction), "tail_slack", "must lie between 0 and 1")?;
        let factor = self.rules.overload_factor;
        need(factor.is_finite() && factor > 0.0, "rules.overload_factor", "must be above 0")
    }
}

/// Whether a worker takes work, as the list has it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    /// It takes work.
    Ready,
    /// It completes what it has; nothing new may be sent.
    Draining,
    /// It has left.
    #[default]
    Gone,
}

/// One entry of a list of workers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerEntry {
    /// The worker.
    pub worker: WorkerId,
    /// Where it stands.
    pub zone: ZoneId,
    /// What it is.
    pub kind: KindId,
    /// The cell it belongs to.
    pub cell: CellId,
    /// Whether it takes work.
    pub stage: Stage,
    /// When it last started, if lately.
    pub started: Option<Micros>,
    /// Its size beside that of others, as registered; 0: not known.
    pub size: f64,
}

/// How a list applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Delta,
    /// The whole list; a worker not in it is gone.
    Full,
    /// The whole list as this instance last had it, maybe old.
    Cached,
}

/// A worker's own account of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Free slots.
    pub free_slots: Option<f64>,
    /// Requests waiting.
    pub queued: Option<f64>,
    /// Requests in hand, waiting ones included.
    pub in_flight: Option<f64>,
}

/// What operators have set beside the list: all of it, in place of what was set before.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Overrides {
    /// Workers whose share is multiplied, and by what; above 0.
    pub weights: Vec<(WorkerId, f64)>,
    /// Workers that get nothing new.
    pub out_of_service: Vec<WorkerId>,
    /// Where the requests of a class go, or of one tenant of it, as long as they may be sent there.
    pub pins: Vec<(ClassId, Option<TenantId>, WorkerId)>,
}

/// A request as it came in.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, where there are any.
    pub tenant: Option<TenantId>,
    /// Its key.
    pub key: Option<Key>,
    /// When the client gives up.
    pub deadline: Micros,
    /// Slots it takes.
    pub slots: f64,
    /// Its running time on a standard core as the client guesses it, where clients do.
    pub work: Option<Micros>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Served,
    /// The worker answered with an error; the job may have run.
    Error,
    /// Turned away: no room, or draining. Unseen, unless [`Rules::may_shed_begun`].
    Rejected,
    /// No answer in time; it may have run, or run still.
    TimedOut,
    /// No connection in time.
    ConnectFailed,
    /// The connection broke; it may have run.
    ConnectionLost,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent: the request was over, out of time or out of attempts.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves, under these rules, that the attempt never ran.
    pub fn never_ran(self, rules: &Rules) -> bool {
        match self {
            Outcome::Rejected => !rules.may_shed_begun,
            outcome => matches!(outcome, Outcome::ConnectFailed | Outcome::NotSent),
        }
    }
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The request.
    pub id: RequestId,
    /// Which attempt of it.
    pub attempt: AttemptNo,
    /// How it ended.
    pub outcome: Outcome,
    /// The request is over, by this outcome or before it.
    pub request_done: bool,
    /// Time since the send.
    pub elapsed: Micros,
    /// The worker's report, if one came along.
    pub report: Option<Report>,
}

/// What the host tells the module.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the workers.
    WorkerList(ListKind, Arc<[WorkerEntry]>),
    /// Operators have set something, or ended it.
    Overrides(Overrides),
    /// What peers tell of a worker, a hint: their jobs out there, and whether it has just refused one of theirs.
    PeerHint {
        /// The worker.
        worker: WorkerId,
        /// Jobs of all peers that are out there.
        in_flight: u32,
        /// It has just refused a peer's job, or was not reached.
        refused: bool,
    },
    /// A subscription or fetch failed, or the subscription broke.
    ListFailed,
    /// Whether the list may be acted on: not where its age is not known, or it was confirmed too long ago. Requests wait
    /// then. It may until a host says otherwise.
    ListValid(bool),
    /// A request came in. From here on one final answer is owed.
    Request(Request),
    /// The client left, or the request is over for another reason.
    Aborted(RequestId),
    /// The answer's stream has begun.
    ResponseStarted(RequestId, AttemptNo),
    /// A worker says that a job has begun: it had a slot free.
    JobStarted(RequestId, AttemptNo),
    /// A worker says that a job has got on.
    Progress(RequestId, AttemptNo, f64),
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// A probe ended.
    ProbeEnded {
        /// The worker.
        worker: WorkerId,
        /// How it ended.
        outcome: Outcome,
        /// The worker's report, if one came along.
        report: Option<Report>,
    },
    /// A timer set by [`Action::Wake`] is due.
    Timer(u64),
}

/// What the module wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        worker: WorkerId,
        /// Time after which to give up the attempt.
        timeout: Micros,
    },
    /// Final answer: refused; trying again is harmless.
    Refuse {
        /// The request.
        id: RequestId,
        /// How long the client should stay away; 0: no advice.
        retry_after: Micros,
    },
    /// Final answer: failed; nothing is promised.
    Fail(RequestId),
    /// Stop waiting for an attempt.
    Cancel(RequestId, AttemptNo),
    /// Ask a worker for its load.
    Probe(WorkerId),
    /// Ask for changes of the list from now on.
    Subscribe,
    /// Send [`Event::Timer`] with this token at that time or just after.
    Wake(Micros, u64),
}
