//! This dispatcher as a member of its fleet. What is said and decided is `lineroute_fleet`; here are the sockets,
//! the disk, the clock, and who is told. [`Handle::permit`] is the one gate that everything done for the fleet
//! passes, right before it is done.

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
use links::{Counts, Hearer, Links};
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

/// A name that another process had a moment ago is asked for once more after this.
const ASK_AGAIN: Duration = Duration::from_millis(1200);
/// Last words of a member that leaves.
const LAST_WORDS: Duration = Duration::from_millis(100);

/// Descriptors that a fleet of so many members may take.
pub fn sockets(members: usize) -> usize {
    links::MOST_OUT.min(members) + links::MOST_IN.min(members * 2) + 4
}

/// A clock that never goes back; in tests its rate may be off.
#[derive(Clone, Copy)]
struct Clock {
    began: Instant,
    test: TestClock,
}

impl Clock {
    fn now(&self) -> Time {
        let span = self.began.elapsed();
        match self.test.ppm {
            0 => span,
            ppm => span.mul_f64(1.0 + ppm as f64 / 1e6),
        }
    }

    /// The time of day, in milliseconds: for numbers that must grow with each incarnation, and for nothing else.
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
    began_unix: u64,
    directory: Option<StateDirectory>,
    prober: RefCell<Option<Rc<Prober>>>,
}

/// The fleet as the rest of the program has it.
#[derive(Clone)]
pub struct Handle(Rc<Inner>);

impl Hearer for Inner {
    fn frame(&self, from: Member, frame: Frame) {
        self.node.borrow_mut().receive(self.clock.now(), from, frame);
        self.flush();
    }

    fn known(&self, member: Member) -> Option<u64> {
        let node = self.node.borrow();
        let known = node.members().all().find(|(m, _)| *m == member).and_then(|(_, seen)| seen.incarnation);
        known.map(|incarnation| incarnation.number)
    }

    fn told(&self, born: u64) {
        self.node.borrow_mut().handle_known_incarnation(self.clock.now(), born);
        self.flush();
    }
}

/// Joins the fleet: opens the disk, listens, and begins to tick.
///
/// # Errors
/// The address or the disk can't be had, or another process is this member already.
pub async fn start(config: Fleet, flows: Flows) -> Result<Handle, String> {
    let clock = Clock { began: Instant::now(), test: config.clock };
    let directory = config.state_dir.as_deref().map(StateDirectory::open).transpose()?;
    let began_unix = clock.unix_ms();
    let born = match &directory {
        Some(directory) => directory.next_incarnation(began_unix)?,
        None => began_unix,
    };
    let mut dice = [0; 16];
    getrandom::fill(&mut dice).map_err(|e| format!("fleet: no random numbers: {e}"))?;
    let (seed, random) = (u64::from_be_bytes(half(&dice[..8])), u64::from_be_bytes(half(&dice[8..])));
    let incarnation = Incarnation { member: config.me, number: born };
    let (kept, written) = match &directory {
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
        // Seconds, with room for a million tokens in each.
        floor: (began_unix / 1000) << 20,
    };
    let socket = open_with_retry(|| TcpListener::bind(config.listen))
        .await
        .map_err(|e| format!("fleet.listen: {}: {e}", config.listen))?;
    let at = socket.local_addr().map_err(|e| format!("fleet.listen: {e}"))?;
    let inner = Rc::new_cyclic(|me: &Weak<Inner>| Inner {
        me: me.clone(),
        node: RefCell::new(Node::new(node_config, kept)),
        links: Links::new(&config, incarnation, me.clone() as Weak<dyn Hearer>),
        clock,
        names: config.names.clone(),
        began_unix,
        directory,
        prober: RefCell::default(),
    });
    if inner.links.is_taken(&config.voters).await {
        tokio::time::sleep(ASK_AGAIN).await;
        if inner.links.is_taken(&config.voters).await {
            let name = &config.names[usize::from(config.me.0)];
            return Err(format!("fleet.name: another process is {name:?} already, and answers the voters"));
        }
    }
    info!(addr = %at, members = config.names.len(), voters = config.voters.len(), born, "fleet: listens");
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

fn half(bytes: &[u8]) -> [u8; 8] {
    bytes.try_into().unwrap_or_default()
}

impl Inner {
    fn name(&self, member: Member) -> &str {
        self.names.get(usize::from(member.0)).map_or("?", String::as_str)
    }

    /// Sends what the node says, and tells of what has happened: each change once.
    fn flush(&self) {
        let (out, events) = {
            let mut node = self.node.borrow_mut();
            (node.take_frames(), node.take_events())
        };
        out.iter().for_each(|(to, frame)| self.links.send(*to, frame));
        events.into_iter().for_each(|event| self.happened(event));
    }

    fn happened(&self, event: Event) {
        match event {
            Event::MemberChanged(member, seen) => {
                let (name, born) = (self.name(member), seen.incarnation.map_or(0, |l| l.number));
                match seen.state {
                    MemberState::Dead | MemberState::Suspect => {
                        warn!(member = name, born, cause = seen.reason, "fleet: {}", state_word(seen.state));
                    }
                    state => info!(member = name, born, cause = seen.reason, "fleet: {}", state_word(state)),
                }
            }
            Event::NewIncarnation(incarnation) => {
                warn!(
                    born = incarnation.number,
                    "fleet: this process was declared dead, and goes on as a new incarnation"
                );
                let kept =
                    self.directory.as_ref().map(|directory| directory.next_incarnation(incarnation.number));
                if let Some(Err(e)) = kept {
                    error!(error = e, "fleet: the new incarnation can't be kept");
                }
                self.links.reborn(incarnation);
            }
            Event::Acquired(thing, token) => info!(thing = %thing, token, "fleet: this process owns it"),
            Event::Lost(thing, cause) => {
                info!(thing = %thing, cause, "fleet: this process owns it no longer")
            }
            Event::Stalled(gap) => {
                warn!(ms = gap.as_millis() as u64, "fleet: this process did not run; its leases are dropped");
            }
            Event::LeaderChanged(leader) => {
                info!(leader = leader.map_or("nobody", |l| self.name(l)), "fleet: another leads the voters");
            }
            Event::ReplicaStarted => info!("fleet: this process votes from now on"),
            Event::ReplicaFailed(cause) => {
                error!(cause, "fleet: this process has no vote until it is started again")
            }
            Event::OwnerReport(from, share) => self.shared(from, share),
            Event::HealthCheckRequested(from, request) => self.asked(from, request),
        }
    }

    fn shared(&self, _from: Member, share: OwnerReport) {
        let prober = self.prober.borrow().clone();
        prober.iter().for_each(|prober| prober.shared(&share));
    }

    fn asked(&self, _from: Member, request: HealthCheckRequest) {
        let prober = self.prober.borrow().clone();
        prober.iter().for_each(|prober| prober.asked(&request));
    }
}

/// An operation for the fleet, fenced by the token of a thing that this process owns.
#[derive(Clone)]
pub struct FencedOperation {
    fleet: Handle,
    thing: Resource,
}

impl FencedOperation {
    /// An operation under a thing; whether it may begin is asked when it does.
    pub fn new(fleet: Handle, thing: Resource) -> FencedOperation {
        FencedOperation { fleet, thing }
    }

    /// The value of the header `X-Fence`, to be asked for in the step that sends the bytes; none if the operation may
    /// not begin.
    pub fn fencing_token_header(&self) -> Option<String> {
        self.fleet.permit(&self.thing).map(|token| format!("{} {token}", self.thing))
    }
}

fn state_word(state: MemberState) -> &'static str {
    match state {
        MemberState::Unheard => "unheard",
        MemberState::Alive => "well",
        MemberState::Suspect => "suspect",
        MemberState::Dead => "dead",
        MemberState::Left => "left",
    }
}

impl Handle {
    /// Under which token an operation for a thing may begin at this very moment; nothing if it may not.
    pub fn permit(&self, thing: &Resource) -> Option<Token> {
        self.0.node.borrow().permit(thing, self.0.clock.now())
    }

    /// Would own a thing from now on, or no longer.
    pub fn wish(&self, thing: &Resource, wished: bool) {
        self.0.node.borrow_mut().set_wanted(thing, wished);
    }

    /// Shares what an owner found with all members; false where it may not.
    pub fn share(&self, thing: &Resource, words: Vec<u8>) -> bool {
        let shared = self.0.node.borrow_mut().broadcast_report(self.0.clock.now(), thing, words);
        self.flush();
        shared
    }

    /// Asks the owner of a thing for a health check; false where none is known.
    pub fn request_health_check(&self, thing: &Resource, words: Vec<u8>) -> bool {
        let asked = self.0.node.borrow_mut().request_health_check(thing, words);
        self.flush();
        asked
    }

    /// Members that take part, this one too.
    pub fn here(&self) -> usize {
        self.0.node.borrow().members().active().len()
    }

    /// Goes over to other keys.
    pub fn rekey(&self, keys: KeyRing) {
        self.0.links.rekey(keys);
    }

    /// Gives everything back and says so.
    pub async fn leave(&self) {
        self.0.node.borrow_mut().leave(self.0.clock.now());
        self.flush();
        tokio::time::sleep(LAST_WORDS).await;
    }

    /// Has one member vote in place of another.
    ///
    /// # Errors
    /// This process does not lead, or a name is of no member.
    pub fn replace(&self, old: &str, new: &str) -> Result<(), String> {
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

    fn status(&self) -> (Status, Counts) {
        (self.0.node.borrow().status(), self.0.links.counts())
    }
}
