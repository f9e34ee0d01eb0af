//! What the core and its two sides say to each other: jobs in, answers out, forwards and how they end. Fronts and
//! carriers translate at their edges; nothing here is of one wire.

use crate::body::{Body, Reader};
use crate::facade::{FlowId, Listed, Stage, TargetId};
use crate::fleet::FencedOperation;
use bytes::Bytes;
use lineroute_permit::RetryPermit;
use std::any::Any;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
/// What is to be done for a client, as it came in.
#[derive(Debug)]
pub struct Job {
    /// The client's name for it, which targets see too.
    pub reference: String,
    pub class: usize,
    pub tenant: Option<usize>,
    /// What it concerns.
    pub key: Option<String>,
    /// By this targets know a repeat.
    pub idempotency_key: Option<String>,
    pub slots: f64,
    /// Its running time as the client guesses it.
    pub expected_run_time: Option<Duration>,
    /// What is asked for, where the wire has such a thing.
    pub path: String,
    /// What a front says to a transport of the same wire. The core never looks at it.
    pub protocol_data: Option<Rc<dyn Any>>,
    pub body: Body,
}

/// An answer that passes as it comes: its head, which a front of the same wire can read, and its body. Whoever
/// reads the body to its end knows whether it was whole.
pub struct StreamedAnswer {
    pub head: Box<dyn Any>,
    pub body: Reader,
}

impl fmt::Debug for StreamedAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Passing")
    }
}

/// The one final answer of a flow.
#[derive(Debug)]
pub enum Answer {
    /// A target's answer, as it comes.
    Streamed(StreamedAnswer),
    /// A target's result.
    Served(Bytes),
    /// Not done, and trying again is harmless, after that time.
    Refused(Duration),
    /// Not done, as far as is known; nothing is promised.
    Failed,
}

/// A client's side of one flow.
pub trait Listener {
    fn answer(self: Box<Self>, answer: Answer);
}

/// Names one forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ForwardId {
    pub flow: FlowId,
    pub number: u32,
}

/// One attempt, as a target carries it.
#[derive(Clone, Debug)]
pub struct Forward {
    pub id: ForwardId,
    pub target: TargetId,
    pub target_name: Rc<str>,
    pub addr: SocketAddr,
    pub transport: usize,
    /// What the list said of the target when this was decided.
    pub stage: Stage,
    pub job: Rc<Job>,
    /// When the dispatcher stops waiting.
    pub deadline: Instant,
    /// Until when its first byte may go out, where an earlier forward may have run: the workers' memory of that one ends.
    pub start_by: Option<Instant>,
    /// An earlier forward of the flow ended at this target: what is said again of that one looks like this one's.
    pub repeats_target: bool,
}

/// The workers' side: one implementation for each protocol that workers speak.
pub trait Target {
    /// Starts a forward; `Flows::ended` is called for it once at least. Its first byte needs a permit of its own:
    /// `Flows::send_permit`.
    fn forward(&self, permit: RetryPermit, forward: Forward);
    /// Gives a forward up; `Flows::ended` is called when that is done.
    fn cancel(&self, forward: Forward);
    /// Looks whether the worker lives; `Flows::probed` is called. Done for the fleet, it bears that operation's fence, or
    /// `Flows::lapsed` is called.
    fn probe(&self, target: TargetId, addr: SocketAddr, operation: Option<FencedOperation>);
    /// The worker drains, or has left the list.
    fn target_closed(&self, _target: TargetId) {}
}

/// Who is told of the forwards that are out.
pub trait ForwardObserver {
    /// So many forwards are out at a target now; `None`: it has just refused one, or was not reached.
    fn in_flight_changed(&self, name: &str, zone: &str, out: Option<usize>);
    /// The list names a target.
    fn target_listed(&self, target: TargetId, name: &str, zone: &str);
    /// A flow has come. True: it waits for what peers have out, until `Flows::place`.
    fn flow_opened(&self, flow: FlowId) -> bool;
}

/// Where operators' words are kept that reach this dispatcher by whichever of its processes.
pub trait OperatorStateSource {
    /// Brings what operators have set up to date; `Flows::steer` is called where that has changed. Called in the step that
    /// writes a first byte: it must not wait.
    fn refresh(&self);
}

/// What peers tell of a target: their forwards there, and whether it has just refused one.
#[derive(Clone, Copy, Debug)]
pub struct PeerLoad {
    pub target: TargetId,
    pub in_flight: u32,
    pub refused: bool,
}

/// One line of the list, with what only sockets and people need of it.
pub struct ListEntry {
    pub listed: Listed,
    pub endpoint: Endpoint,
    pub zone: Rc<str>,
    pub kind: Rc<str>,
}

/// A target as operators see it.
#[derive(Clone, Debug)]
pub struct TargetStatus {
    pub name: Rc<str>,
    pub addr: SocketAddr,
    pub stage: Stage,
    pub zone: Rc<str>,
    pub kind: Rc<str>,
    /// Forwards that are out there.
    pub in_flight: usize,
}

/// Flows as operators see them.
#[derive(Clone, Debug, Default)]
pub struct FlowTotals {
    /// Owed an answer; with a forward out; bytes of bodies.
    pub open: usize,
    pub in_flight: usize,
    pub bytes: usize,
    /// Answers that broke off while they passed, since the start.
    pub cut_short: u64,
    /// Open flows by class, by position.
    pub classes: Vec<usize>,
}

/// Where a target is reached, and who carries forwards there, by position among those plugged in.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    pub addr: SocketAddr,
    pub transport: usize,
}

/// How much the core takes on.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub flows: usize,
    /// Bytes of bodies held in all.
    pub bytes: usize,
    /// How long sends to a worker may go on that drains or is gone; `None`: the list does not bind.
    pub drain_grace: Option<Duration>,
}

/// Why a flow was not taken.
#[derive(Debug, PartialEq)]
pub enum OpenError {
    /// The reference belongs to a flow that is still open.
    Duplicate,
    /// The bounds are reached.
    Full,
}
