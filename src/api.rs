//! Interface of the decision module: settings, events and actions.
//!
//! Times are whole microseconds on a monotonic clock with an arbitrary origin.

use std::fmt;
use std::sync::Arc;

/// A point in time or a duration, in microseconds.
pub type Micros = u64;

/// A request's id, chosen by the host and never reused.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub Arc<str>);

/// The key (program or data set) of a job.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(pub Arc<str>);

/// A worker's id. It implies nothing about zone, kind or age.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WorkerId(pub u32);

/// Index of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ZoneId(pub u32);

/// Index of a machine kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KindId(pub u32);

/// Number of a cell: a few workers that share the set of keys they have seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CellId(pub u32);

/// Index into [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClassId(pub usize);

/// Index into [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TenantId(pub usize);

/// Number of an attempt of a request, counted from 0 in the order of sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptNo(pub u32);

/// Configuration that the host passes to the module when an instance starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of instances that share the traffic, including this one.
    pub instances: u32,
    /// Request classes; at least one.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// How the worker list is obtained.
    pub discovery: Discovery,
    /// How load reports are obtained.
    pub report_source: ReportSource,
    /// What workers and the host allow.
    pub allowed: Allowed,
    /// Parameters of the sending rules.
    pub rules: Rules,
    /// Reports include counts of a worker's jobs or queue, not only free slots.
    pub reports_count_jobs: bool,
    /// Interval between progress messages of a running job; 0: none are sent.
    pub progress_interval: Micros,
    /// Workers report the start of a job, by [`Event::JobStarted`].
    pub tells_start: bool,
    /// Zone of this instance; `None`: all workers count as local.
    pub zone: Option<ZoneId>,
    /// Worth is counted per unit of work instead of per request.
    pub worth_by_work: bool,
    /// Costs of a send other than the work itself.
    pub prices: Prices,
    /// Fraction of a class's requests that may miss the aim before the other requests lose worth too;
    /// `None`: no such limit.
    pub tail_slack: Option<f64>,
}

/// Costs of a send other than the work itself; 0: not taken into account.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prices {
    /// For keeping a connection open.
    pub connection: f64,
    /// For opening a connection.
    pub handshake: f64,
    /// For an attempt that crosses zones.
    pub cross_zone: f64,
}

/// A request class.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// A response within this time, plus `stretch` times the job's own running time, earns the full worth.
    pub aim: Micros,
    /// Factor of the job's own running time by which the aim grows.
    pub stretch: f64,
    /// How long a client waits in total.
    pub deadline: Micros,
    /// Fraction of the worth left for a response after the aim.
    pub late_share: f64,
    /// Worth of one request.
    pub worth: f64,
    /// Effect of a second run.
    pub effect: Effect,
    /// The only machine kind that runs the class; `None`: not bound to one.
    pub kind: Option<KindId>,
    /// The only zones that the class may be sent to; `None`: all.
    pub zones: Option<Vec<ZoneId>>,
    /// The only machine kinds that the class may be sent to; `None`: all.
    pub kinds: Option<Vec<KindId>>,
}

/// Effect of running a request a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// None: the request may be repeated and refused freely.
    Repeatable,
    /// None, within a group of workers and for a limited time.
    ByKey {
        /// The workers that discard a repeat.
        group: Group,
        /// How long they remember the key, from the send of the first attempt that may have run.
        ttl: Micros,
    },
    /// Harmful: the request must never run twice.
    Once,
}

/// A group of workers that discards repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All workers.
    All,
    /// Workers in one zone.
    Zone,
    /// Workers in one cell.
    Cell,
}

/// A tenant's share.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests per second within its share, over all instances.
    pub quota_per_s: f64,
}

/// How the worker list is obtained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes are pushed without a subscription.
    Push,
    /// Changes are sent to subscribers.
    Subscribe,
}

/// How load reports are obtained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportSource {
    /// With every response and probe result.
    Responses,
    /// With probe results only.
    Probes,
    /// Workers send none.
    None,
}

/// What workers and the host allow.
#[derive(Clone, Debug, PartialEq)]
pub struct Allowed {
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Workers may be probed.
    pub probe: bool,
    /// The longest retry delay that refused clients respect; 0: no delay is given.
    pub max_retry_after: Micros,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Maximum number of open requests.
    pub most_held: usize,
    /// A second attempt may run in parallel with the first.
    pub parallel: bool,
    /// Time after which an idle connection closes.
    pub keepalive: Micros,
}

/// Parameters of the sending rules.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// With [`Discovery::Subscribe`]: an instance that has neither subscribed nor fetched the list for this
    /// long counts as informed.
    pub ask_within: Micros,
    /// Fraction of its capacity that a worker has at least when it starts.
    pub cold_from: f64,
    /// Time after its start by which a worker is warm.
    pub warm_up: Micros,
    /// A cold worker fails when it is sent more than this multiple of its current capacity ...
    pub overload_factor: f64,
    /// ... for this long.
    pub overload_for: Micros,
    /// Workers also reject work that they have already begun, so [`Outcome::NoRoom`] does not prove that a
    /// job never ran.
    pub may_shed_begun: bool,
    /// A worker that is listed as gone, or missing from the list, but was never seen draining, may still be
    /// sent to.
    pub dropped_stay_open: bool,
}

/// Invalid settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The field name of the invalid setting.
    pub key: String,
    /// Why the value is invalid.
    pub reason: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting {}: {}", self.key, self.reason)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Checks that all values are in range.
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

/// Whether a worker accepts work, according to the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    /// It accepts work.
    Ready,
    /// It completes its jobs; nothing new may be sent.
    Draining,
    /// It has left.
    #[default]
    Gone,
}

/// An entry of the worker list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerEntry {
    /// The worker.
    pub worker: WorkerId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its machine kind.
    pub kind: KindId,
    /// The cell it belongs to.
    pub cell: CellId,
    /// Whether it accepts work.
    pub stage: Stage,
    /// When it last started, if recently.
    pub started: Option<Micros>,
    /// Its size relative to other workers, as registered; 0: unknown.
    pub size: f64,
}

/// How a list applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the entries that changed.
    Delta,
    /// The whole list; a worker that is not in it is gone.
    Full,
    /// The whole list as this instance last stored it, possibly outdated.
    Cached,
}

/// A worker's report of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Free slots.
    pub free_slots: Option<f64>,
    /// Queued requests.
    pub queued: Option<f64>,
    /// Accepted requests that have not ended, including queued ones.
    pub in_flight: Option<f64>,
}

/// Everything that operators have set in addition to the list. Replaces the previous overrides.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Overrides {
    /// Workers whose share is multiplied, and the factor, which is above 0.
    pub weights: Vec<(WorkerId, f64)>,
    /// Workers that get no new work.
    pub out_of_service: Vec<WorkerId>,
    /// The worker that the requests of a class, or of one tenant in it, go to as long as they may be sent
    /// there.
    pub pins: Vec<(ClassId, Option<TenantId>, WorkerId)>,
}

/// A request as it arrived.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, if tenants are configured.
    pub tenant: Option<TenantId>,
    /// Its key.
    pub key: Option<Key>,
    /// When the client gives up.
    pub deadline: Micros,
    /// Slots it occupies.
    pub slots: f64,
    /// Its running time on a standard core as estimated by the client, if given.
    pub work: Option<Micros>,
}

/// How an attempt or a probe ended. The dispatcher logs the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The worker completed it.
    Served,
    /// The worker responded with an error; the job may have run.
    Fault,
    /// The worker rejected it: full or draining. The job did not run, unless [`Rules::may_shed_begun`].
    NoRoom,
    /// No response in time; the job may have run or still be running.
    TimedOut,
    /// No connection was established in time.
    NoRoute,
    /// The connection broke; the job may have run.
    Cut,
    /// Cancelled; the job may have run.
    Cancelled,
    /// Never sent: the request was over, past its deadline or out of attempts.
    Moot,
}

impl Outcome {
    /// Whether this outcome proves, under these rules, that the attempt never ran.
    pub fn never_ran(self, rules: &Rules) -> bool {
        match self {
            Outcome::NoRoom => !rules.may_shed_begun,
            outcome => matches!(outcome, Outcome::NoRoute | Outcome::Moot),
        }
    }
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The request.
    pub id: RequestId,
    /// Which of its attempts.
    pub attempt: AttemptNo,
    /// How it ended.
    pub outcome: Outcome,
    /// The request is over, by this outcome or an earlier one.
    pub request_done: bool,
    /// Time since the send.
    pub elapsed: Micros,
    /// The worker's report, if one came with the response.
    pub report: Option<Report>,
}

/// What the host reports to the module.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A new list of workers, or a change to it.
    WorkerList(ListKind, Arc<[WorkerEntry]>),
    /// Operators have changed the overrides.
    Overrides(Overrides),
    /// A hint from peers about a worker.
    PeerHint {
        /// The worker.
        worker: WorkerId,
        /// Jobs that all peers together have at the worker.
        in_flight: u32,
        /// The worker has just refused a peer's job or could not be reached by a peer.
        refused: bool,
    },
    /// A subscription or fetch of the worker list failed, or the subscription broke.
    ListFailed,
    /// Whether the list may be acted on. It may not if its age is unknown or its last confirmation is too
    /// old; requests then wait. Assumed true until the host says otherwise.
    ListValid(bool),
    /// A request arrived. From now on exactly one final answer is owed.
    Request(Request),
    /// The client disconnected, or the request is over for another reason.
    Aborted(RequestId),
    /// The response has started to stream to the client.
    ResponseStarted(RequestId, AttemptNo),
    /// A worker reports that a job has started, so it had a free slot.
    JobStarted(RequestId, AttemptNo),
    /// A worker reports progress of a job.
    Progress(RequestId, AttemptNo, f64),
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// A probe ended.
    ProbeEnded {
        /// The worker.
        worker: WorkerId,
        /// How it ended.
        outcome: Outcome,
        /// The worker's report, if one came with the result.
        report: Option<Report>,
    },
    /// A timer set by [`Action::Wake`] has expired.
    Timer(u64),
}

/// What the module asks the host to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// The worker to send it to.
        worker: WorkerId,
        /// Time after which to abandon the attempt.
        timeout: Micros,
    },
    /// Final answer: refused; a retry is harmless.
    Refuse {
        /// The request.
        id: RequestId,
        /// How long the client should wait before a retry; 0: no advice.
        retry_after: Micros,
    },
    /// Final answer: failed, without a guarantee that a retry is harmless.
    Fail(RequestId),
    /// Cancel an attempt.
    Cancel(RequestId, AttemptNo),
    /// Request a load report from a worker.
    Probe(WorkerId),
    /// Subscribe to changes of the worker list.
    Subscribe,
    /// Send [`Event::Timer`] with this token at or just after this time.
    Wake(Micros, u64),
}
