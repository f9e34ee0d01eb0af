//! This dispatcher as a member of its fleet. The protocol and its decisions are in `lineroute_fleet`; this module has the
//! sockets, the disk, the clock and the delivery of events. [`Handle::permit`] is the one check that every operation for the
//! fleet must pass immediately before it begins.

pub mod api;
mod links;
pub mod prober;
mod raft_log_writer;
mod raft_state;
mod state_directory;

use crate::config::{Fleet, TestClock};
use crate::flow::Flows;
use crate::local_faults::open_with_retry;
use crate::overrides;
use lineroute_control::peers::KeyRing;
use lineroute_fleet::consensus::replica_id_of;
use lineroute_fleet::frame::{Frame, HealthCheckRequest, OwnerReport};
use lineroute_fleet::members::MemberState;
use lineroute_fleet::node::{Event, Node, NodeConfig, RecoveredReplica};
use lineroute_fleet::status::Status;
use lineroute_fleet::{Incarnation, Member, Resource, Time, Token};
use links::{LinkHandler, LinkStats, Links};
use prober::Prober;
use raft_log_writer::RaftLogWriter;
use raft_state::Recovered;
use state_directory::StateDirectory;
use std::cell::RefCell;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::time::{interval, MissedTickBehavior};
use tracing::{error, info, warn};

/// Where another process appears to use this member's name, the check is repeated after this time: that process may just
/// have ended.
const DUPLICATE_RECHECK_DELAY: Duration = Duration::from_millis(1200);
/// Time for the last frames of a member that leaves to be sent.
const LEAVE_FLUSH_DELAY: Duration = Duration::from_millis(100);

/// Maximum number of descriptors used for a fleet of this many members.
pub fn max_sockets(members: usize) -> usize {
    links::MAX_OUTGOING.min(members) + links::MAX_INCOMING.min(members * 2) + 4
}

/// A monotonic clock; tests can set an error of its rate.
#[derive(Clone, Copy)]
struct Clock {
    started: Instant,
    test: TestClock,
}

impl Clock {
    fn now(&self) -> Time {
        let span = self.started.elapsed();
        match self.test.ppm {
            0 => span,
            ppm => span.mul_f64(1.0 + ppm as f64 / 1e6),
        }
    }

    /// The time of day in milliseconds. Only for numbers that must increase with each incarnation.
    fn unix_ms(&self) -> u64 {
        overrides::now().saturating_add_signed(self.test.offset_ms)
    }
}

struct Inner {
    me: Weak<Inner>,
    node: RefCell<Node<RaftLogWriter>>,
    links: Rc<Links>,
    clock: Clock,
    names: Vec<String>,
    started_unix_ms: u64,
    directory: Option<StateDirectory>,
    prober: RefCell<Option<Rc<Prober>>>,
}

/// Handle to the fleet for the rest of the program.
#[derive(Clone)]
pub struct Handle(Rc<Inner>);

impl LinkHandler for Inner {
    fn receive_frame(&self, from: Member, frame: Frame) {
        self.node.borrow_mut().receive(self.clock.now(), from, frame);
        self.flush();
    }

    fn known_incarnation(&self, member: Member) -> Option<u64> {
        let node = self.node.borrow();
        let known = node.members().all().find(|(m, _)| *m == member).and_then(|(_, seen)| seen.incarnation);
        known.map(|incarnation| incarnation.number)
    }

    fn incarnation_known(&self, number: u64) {
        self.node.borrow_mut().handle_known_incarnation(self.clock.now(), number);
        self.flush();
    }
}

/// Joins the fleet: opens the state directory, listens, and starts the timer.
///
/// # Errors
/// The address or the state directory can't be opened, or another process runs as this member.
pub async fn start(config: Fleet, flows: Flows) -> Result<Handle, String> {
    let clock = Clock { started: Instant::now(), test: config.clock };
    let directory = config.state_dir.as_deref().map(StateDirectory::open).transpose()?;
    let started_unix_ms = clock.unix_ms();
    let incarnation_number = match &directory {
        Some(directory) => directory.next_incarnation(started_unix_ms)?,
        None => started_unix_ms,
    };
    let mut random_bytes = [0; 16];
    getrandom::fill(&mut random_bytes).map_err(|e| format!("fleet: no random numbers: {e}"))?;
    let (seed, random) =
        (u64::from_be_bytes(to_array(&random_bytes[..8])), u64::from_be_bytes(to_array(&random_bytes[8..])));
    let incarnation = Incarnation { member: config.me, number: incarnation_number };
    let (recovered, written) = match &directory {
        Some(directory) => {
            let Recovered { replica_id, log, state } =
                directory.raft_state(replica_id_of(config.me, random))?;
            let (disk, written) = RaftLogWriter::start(state)?;
            (Some(RecoveredReplica { replica_id, log, disk }), Some(written))
        }
        None => (None, None),
    };
    let node_config = NodeConfig {
        incarnation,
        members: config.names.len() as u16,
        voters: config.voters.clone(),
        timing: config.timing,
        seed,
        // Seconds since 1970, each with a range of a million tokens.
        floor: (started_unix_ms / 1000) << 20,
    };
    let socket = open_with_retry(|| TcpListener::bind(config.listen))
        .await
        .map_err(|e| format!("fleet.listen: {}: {e}", config.listen))?;
    let at = socket.local_addr().map_err(|e| format!("fleet.listen: {e}"))?;
    let inner = Rc::new_cyclic(|me: &Weak<Inner>| Inner {
        me: me.clone(),
        node: RefCell::new(Node::new(node_config, recovered)),
        links: Links::new(&config, incarnation, me.clone() as Weak<dyn LinkHandler>),
        clock,
        names: config.names.clone(),
        started_unix_ms,
        directory,
        prober: RefCell::default(),
    });
    if inner.links.is_taken(&config.voters).await {
        tokio::time::sleep(DUPLICATE_RECHECK_DELAY).await;
        if inner.links.is_taken(&config.voters).await {
            let name = &config.names[usize::from(config.me.0)];
            return Err(format!("fleet.name: another process is {name:?} already, and answers the voters"));
        }
    }
    info!(addr = %at, members = config.names.len(), voters = config.voters.len(), born = incarnation_number, "fleet: listens");
    actix_rt::spawn(inner.links.clone().listen(socket));
    let handle = Handle(inner.clone());
    if config.one_prober {
        let prober = Prober::new(handle.clone(), flows.clone());
        *inner.prober.borrow_mut() = Some(prober.clone());
        flows.set_prober(prober);
    }
    if let Some(mut written) = written {
        let inner = inner.clone();
        actix_rt::spawn(async move {
            while let Some((number, result)) = written.recv().await {
                inner.node.borrow_mut().persisted(inner.clock.now(), number, result);
                inner.flush();
            }
        });
    }
    let tick = config.timing.tick_interval;
    actix_rt::spawn(async move {
        let mut ticks = interval(tick);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            inner.node.borrow_mut().tick(inner.clock.now());
            inner.flush();
            let prober = inner.prober.borrow().clone();
            if let Some(prober) = prober {
                prober.tick();
            }
        }
    });
    Ok(handle)
}

fn to_array(bytes: &[u8]) -> [u8; 8] {
    bytes.try_into().unwrap_or_default()
}

impl Inner {
    fn name(&self, member: Member) -> &str {
        self.names.get(usize::from(member.0)).map_or("?", String::as_str)
    }

    /// Sends the frames and handles the events that the node has produced since the last call.
    fn flush(&self) {
        let (out, events) = {
            let mut node = self.node.borrow_mut();
            (node.take_frames(), node.take_events())
        };
        out.iter().for_each(|(to, frame)| self.links.send(*to, frame));
        events.into_iter().for_each(|event| self.handle_event(event));
    }

    fn handle_event(&self, event: Event) {
        match event {
            Event::MemberChanged(member, seen) => {
                let (name, number) = (self.name(member), seen.incarnation.map_or(0, |l| l.number));
                match seen.state {
                    MemberState::Dead | MemberState::Suspect => {
                        warn!(
                            member = name,
                            born = number,
                            cause = seen.reason,
                            "fleet: {}",
                            state_name(seen.state)
                        );
                    }
                    state => info!(
                        member = name,
                        born = number,
                        cause = seen.reason,
                        "fleet: {}",
                        state_name(state)
                    ),
                }
            }
            Event::NewIncarnation(incarnation) => {
                warn!(
                    born = incarnation.number,
                    "fleet: this process was declared dead and continues as a new incarnation"
                );
                let stored =
                    self.directory.as_ref().map(|directory| directory.next_incarnation(incarnation.number));
                if let Some(Err(e)) = stored {
                    error!(error = e, "fleet: the new incarnation number can't be stored");
                }
                self.links.set_incarnation(incarnation);
            }
            Event::Acquired(resource, token) => {
                info!(thing = %resource, token, "fleet: this process owns the resource")
            }
            Event::Lost(resource, cause) => {
                info!(thing = %resource, cause, "fleet: this process no longer owns the resource")
            }
            Event::Stalled(gap) => {
                warn!(ms = gap.as_millis() as u64, "fleet: this process did not run; its leases are dropped");
            }
            Event::LeaderChanged(leader) => {
                info!(
                    leader = leader.map_or("nobody", |l| self.name(l)),
                    "fleet: the leader of the voters has changed"
                );
            }
            Event::ReplicaStarted => info!("fleet: this process is a voter from now on"),
            Event::ReplicaFailed(cause) => {
                error!(cause, "fleet: this process has no vote until it is started again")
            }
            Event::OwnerReport(from, report) => self.handle_owner_report(from, report),
            Event::HealthCheckRequested(from, request) => self.handle_health_check_request(from, request),
        }
    }

    fn handle_owner_report(&self, _from: Member, report: OwnerReport) {
        let prober = self.prober.borrow().clone();
        prober.iter().for_each(|prober| prober.handle_owner_report(&report));
    }

    fn handle_health_check_request(&self, _from: Member, request: HealthCheckRequest) {
        let prober = self.prober.borrow().clone();
        prober.iter().for_each(|prober| prober.handle_health_check_request(&request));
    }
}

/// An operation for the fleet, fenced by the token of a resource that this process owns.
#[derive(Clone)]
pub struct FencedOperation {
    fleet: Handle,
    resource: Resource,
}

impl FencedOperation {
    /// An operation under a resource; whether it may begin is checked when it begins.
    pub fn new(fleet: Handle, resource: Resource) -> FencedOperation {
        FencedOperation { fleet, resource }
    }

    /// The value of the header `X-Fence`; `None` if the operation may not begin. To be called in the same step that sends the
    /// request.
    pub fn fencing_token_header(&self) -> Option<String> {
        self.fleet.permit(&self.resource).map(|token| format!("{} {token}", self.resource))
    }
}

fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Unheard => "unheard",
        MemberState::Alive => "well",
        MemberState::Suspect => "suspect",
        MemberState::Dead => "dead",
        MemberState::Left => "left",
    }
}

impl Handle {
    /// The token under which an operation for a resource may begin now; `None` if it may not.
    pub fn permit(&self, resource: &Resource) -> Option<Token> {
        self.0.node.borrow().permit(resource, self.0.clock.now())
    }

    /// Sets whether this process tries to own a resource.
    pub fn set_wanted(&self, resource: &Resource, wanted: bool) {
        self.0.node.borrow_mut().set_wanted(resource, wanted);
    }

    /// Sends an owner's report to all members; false if this process may not.
    pub fn broadcast_report(&self, resource: &Resource, payload: Vec<u8>) -> bool {
        let sent = self.0.node.borrow_mut().broadcast_report(self.0.clock.now(), resource, payload);
        self.flush();
        sent
    }

    /// Asks the owner of a resource for a health check; false if no owner is known.
    pub fn request_health_check(&self, resource: &Resource, payload: Vec<u8>) -> bool {
        let sent = self.0.node.borrow_mut().request_health_check(resource, payload);
        self.flush();
        sent
    }

    /// The number of active members, including this one.
    pub fn active_members(&self) -> usize {
        self.0.node.borrow().members().active().len()
    }

    /// Replaces the keys for new links.
    pub fn rekey(&self, keys: KeyRing) {
        self.0.links.rekey(keys);
    }

    /// Releases all resources and announces that this member leaves.
    pub async fn leave(&self) {
        self.0.node.borrow_mut().leave(self.0.clock.now());
        self.flush();
        tokio::time::sleep(LEAVE_FLUSH_DELAY).await;
    }

    /// Replaces a voter by another member.
    ///
    /// # Errors
    /// This process is not the leader, or a name is not that of a member.
    pub fn replace_voter(&self, old: &str, new: &str) -> Result<(), String> {
        let find = |name: &str| {
            let at = self.0.names.iter().position(|n| n == name);
            at.map(|at| Member(at as u16)).ok_or_else(|| format!("{name:?} is none of the members"))
        };
        let (old, new) = (find(old)?, find(new)?);
        let leader = self.0.node.borrow().status().leader;
        self.0.node.borrow_mut().replace_voter(old, new).map_err(|e| match leader {
            Some(leader) => format!("{e}; {} leads", self.0.name(leader)),
            None => e,
        })
    }

    fn flush(&self) {
        if let Some(inner) = self.0.me.upgrade() {
            inner.flush();
        }
    }

    fn status(&self) -> (Status, LinkStats) {
        (self.0.node.borrow().status(), self.0.links.stats())
    }
}
