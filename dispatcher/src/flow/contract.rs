//! Types and traits shared by the core, the listeners and the targets: jobs, answers, forwards and their
//! outcomes. Listeners and targets translate to and from their protocols; nothing here depends on one protocol.

use crate::body::{Body, Reader};
use crate::facade::{FlowId, ListedTarget, Stage, TargetId};
use crate::fleet::FencedOperation;
use bytes::Bytes;
use lineroute_permit::RetryPermit;
use std::any::Any;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
/// A client's request, as the listener received it.
#[derive(Debug)]
pub struct Job {
    /// The client's identifier of the job, which is also sent to targets.
    pub reference: String,
    pub class: usize,
    pub tenant: Option<usize>,
    /// The key of the data that the job concerns.
    pub key: Option<String>,
    /// Lets targets recognise a repeated request.
    pub idempotency_key: Option<String>,
    pub slots: f64,
    /// The client's estimate of the running time.
    pub expected_run_time: Option<Duration>,
    /// The request path, for protocols that have one.
    pub path: String,
    /// Data that a listener hands to a target of the same protocol. The core never inspects it.
    pub protocol_data: Option<Rc<dyn Any>>,
    pub body: Body,
}

/// When a flow begins, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowTiming {
    /// Time from the opening of the flow until it may be forwarded.
    pub delay: Duration,
    /// Time from the end of the delay until the client stops waiting.
    pub budget: Duration,
}

impl FlowTiming {
    /// A flow that begins when it is opened.
    pub fn immediate(budget: Duration) -> Self {
        FlowTiming { delay: Duration::ZERO, budget }
    }
}

/// The last moments of a process that has received SIGTERM.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownTimes {
    /// Until when new requests are started.
    pub accepts_until: Instant,
    /// When everything that is still owed is answered.
    pub answers_by: Instant,
}

/// An answer that is streamed as it arrives: its head, which a listener of the same protocol can interpret, and
/// its body. Whoever reads the body to its end learns whether it was complete.
pub struct StreamedAnswer {
    pub head: Box<dyn Any>,
    pub body: Reader,
}

impl fmt::Debug for StreamedAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Passing")
    }
}

/// The single final answer of a flow.
#[derive(Debug)]
pub enum Answer {
    /// A target's answer, streamed as it arrives.
    Passing(StreamedAnswer),
    /// A target's complete result.
    Served(Bytes),
    /// Not executed; the client may safely retry after this time.
    Refused(Duration),
    /// Not executed as far as is known; it may have run.
    Failed,
}

/// The client's side of one flow.
pub trait Listener {
    fn answer(self: Box<Self>, answer: Answer);
}

/// Identifies one forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ForwardId {
    pub flow: FlowId,
    pub number: u32,
}

/// One attempt, as handed to a target.
#[derive(Clone, Debug)]
pub struct Forward {
    pub id: ForwardId,
    pub target: TargetId,
    pub target_name: Rc<str>,
    pub addr: SocketAddr,
    pub transport: usize,
    /// The worker's stage in the list when this forward was decided.
    pub stage: Stage,
    pub job: Rc<Job>,
    /// When the dispatcher stops waiting for an answer.
    pub deadline: Instant,
    /// The latest time for the first byte if an earlier forward may have run: after it, workers no longer
    /// remember the idempotency key of that forward.
    pub start_by: Option<Instant>,
    /// An earlier forward of the flow ended at the same target. Late updates about that one cannot be told
    /// apart from updates about this one.
    pub repeats_target: bool,
}

/// What an attempt has to tell its worker. Each worker protocol takes it apart without `..`, so that a new field does not
/// compile until every protocol handles it.
#[derive(Clone, Copy, Debug)]
pub struct AttemptMessage<'a> {
    /// The client's identifier of the job.
    pub reference: &'a str,
    /// By which the worker recognises a repeat; `None` if the job has no key.
    pub idempotency_key: Option<&'a str>,
    /// The request path, for protocols that have one.
    pub path: &'a str,
    /// Data of a listener of the same protocol.
    pub protocol_data: Option<&'a Rc<dyn Any>>,
    pub body: &'a Body,
    /// How long the dispatcher still waits for an answer.
    pub time_left: Duration,
}

impl Forward {
    /// The message of this attempt, if it is sent at `now`. A new field of [`Job`] does not compile until it is decided here
    /// whether it is sent.
    pub fn message(&self, now: Instant) -> AttemptMessage<'_> {
        let Job {
            reference,
            idempotency_key,
            path,
            protocol_data,
            body,
            // Facts for the decision module only.
            class: _,
            tenant: _,
            key: _,
            slots: _,
            expected_run_time: _,
        } = &*self.job;
        AttemptMessage {
            reference,
            idempotency_key: idempotency_key.as_deref(),
            path,
            protocol_data: protocol_data.as_ref(),
            body,
            time_left: self.deadline.saturating_duration_since(now),
        }
    }
}

/// The worker side: one implementation for each protocol that workers speak.
pub trait Target {
    /// Starts a forward. `Flows::forward_ended` is called for it at least once. Its first byte needs a separate
    /// permit, see `Flows::send_permit`.
    fn forward(&self, permit: RetryPermit, forward: Forward);
    /// Cancels a forward. `Flows::forward_ended` is called once that is done.
    fn cancel(&self, forward: Forward);
    /// Checks whether the worker is alive and calls `Flows::probe_ended`. A probe on behalf of the fleet
    /// carries the fencing token of `operation`; if that is no longer valid, `Flows::probe_not_permitted` is
    /// called instead.
    fn probe(&self, target: TargetId, addr: SocketAddr, operation: Option<FencedOperation>);
    /// The worker is draining or has left the list.
    fn target_closed(&self, _target: TargetId) {}
}

/// Observes the forwards in flight.
pub trait ForwardObserver {
    /// The number of forwards in flight at a target has changed. `None`: the target has just refused a forward
    /// or could not be reached.
    fn in_flight_changed(&self, name: &str, zone: &str, in_flight: Option<usize>);
    /// The list contains this target.
    fn target_listed(&self, target: TargetId, name: &str, zone: &str);
    /// A flow was opened. Returns true if it has to wait for the load that peers report; `Flows::dispatch` then
    /// continues it.
    fn flow_opened(&self, flow: FlowId) -> bool;
}

/// Source of operator overrides, whichever process of this dispatcher received them.
pub trait OperatorStateSource {
    /// Brings the overrides up to date and calls `Flows::apply_overrides` if they changed. Called in the same
    /// step that writes a first byte, so it must not wait.
    fn refresh(&self);
}

/// What peers report of a target: the forwards they have in flight there, and whether it has just refused one.
#[derive(Clone, Copy, Debug)]
pub struct PeerLoad {
    pub target: TargetId,
    pub in_flight: u32,
    pub refused: bool,
}

/// One entry of the worker list, including fields that the decision module does not need.
pub struct ListEntry {
    pub listed: ListedTarget,
    pub endpoint: Endpoint,
    pub zone: Rc<str>,
    pub kind: Rc<str>,
}

/// A target, as reported to operators.
#[derive(Clone, Debug)]
pub struct TargetStatus {
    pub name: Rc<str>,
    pub addr: SocketAddr,
    pub stage: Stage,
    pub zone: Rc<str>,
    pub kind: Rc<str>,
    /// Number of forwards in flight at this target.
    pub in_flight: usize,
}

/// Totals over all flows, as reported to operators.
#[derive(Clone, Debug, Default)]
pub struct FlowTotals {
    /// Flows without an answer yet; of these, flows that wait for the end of their delay.
    pub open: usize,
    pub delayed: usize,
    /// Flows with a forward in flight; bytes of request bodies held.
    pub in_flight: usize,
    pub bytes: usize,
    /// Streamed answers that ended before they were complete, since the start.
    pub cut_short: u64,
    /// Open flows of each class, by class index.
    pub classes: Vec<usize>,
}

/// A target's address, and the index of the [`Target`] that handles its protocol (see `Flows::add_target`).
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    pub addr: SocketAddr,
    pub transport: usize,
}

/// Limits on what the core accepts.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub flows: usize,
    /// Total bytes of request bodies held.
    pub bytes: usize,
    /// How long requests may still be sent to a worker after the list marks it as draining or gone. `None`: no
    /// limit.
    pub drain_grace: Option<Duration>,
}

/// Why a flow could not be opened.
#[derive(Debug, PartialEq)]
pub enum OpenError {
    /// A flow with the same reference is still open, in this process or in another one of the dispatcher.
    Duplicate,
    /// Whether another process has a flow with the same reference can't be determined now.
    ReferenceUnverified,
    /// A limit of [`Bounds`] is reached.
    Full,
}
