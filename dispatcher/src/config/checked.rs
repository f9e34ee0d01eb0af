//! The validated configuration with its defaults, as the rest of the program uses it.

use super::memory::MemoryPlan;
use crate::admin::auth::AdminKeys;
use crate::list::HostList;
use lineroute_control::peers::KeyRing;
use lineroute_fleet::timing::Timing;
use lineroute_fleet::Member;
use lineroute_http1::Forwarding;
use lineroute_settings::PlatformSettings;
use lineroute_stream::ProgressLimits;
use serde::Serialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The listener for beanstalkd clients.
#[derive(Debug)]
pub struct BeanstalkdListenerConfig {
    pub listen: SocketAddr,
    pub path: String,
    pub max_connections: usize,
    pub max_jobs: usize,
    pub max_bytes: usize,
    pub tubes: Vec<Tube>,
}

/// A tube that clients put jobs into, with the properties of these jobs.
#[derive(Debug)]
pub struct Tube {
    pub tube: String,
    pub class: usize,
    pub tenant: Option<usize>,
    pub budget: Duration,
    pub answers: String,
}

/// A path that jobs are posted to.
#[derive(Clone, Debug)]
pub struct Route {
    pub path: String,
    /// Whether the route also matches paths that start with `path`.
    pub prefix: bool,
    /// The class of jobs on this route; `None`: each request names its class.
    pub class: Option<usize>,
    pub budget: Option<Duration>,
    /// Set where requests are proxied to workers that use plain HTTP.
    pub proxy: Option<ProxyRoute>,
}

/// How a route transfers bodies to and from plain HTTP workers.
#[derive(Clone, Debug)]
pub struct ProxyRoute {
    /// Request bodies are streamed instead of buffered.
    pub stream: bool,
    pub max_body: u64,
    pub progress_limits: ProgressLimits,
    pub max_replay_bytes: usize,
}

/// Workers that take their jobs from beanstalkd servers.
#[derive(Clone, Debug, Serialize)]
pub struct BeanstalkdWorkers {
    pub kind: String,
    pub work_tube: String,
    pub answers_tube: String,
}

/// Workers that answer HTTP/1.1 requests on the connection.
#[derive(Clone, Debug)]
pub struct HttpWorkers {
    pub kind: String,
    pub forwarding: Forwarding,
    pub max_replay_bytes: usize,
}

impl Route {
    /// The route of a path: an exact one, else the longest prefix.
    pub fn find<'a>(routes: &'a [Route], path: &str) -> Option<&'a Route> {
        let exact = routes.iter().find(|r| !r.prefix && r.path == path);
        exact.or_else(|| {
            let matching = routes.iter().filter(|r| r.prefix && path.starts_with(&r.path));
            matching.max_by_key(|r| r.path.len())
        })
    }
}

/// The validated configuration.
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    /// `$GW_FD`: the inherited descriptor of the listening socket for clients; `listen` is then not bound.
    pub inherited_fd: Option<i32>,
    /// `admin_addr` or `$GW_ADMIN_ADDR`: the address of the admin console, which has a line protocol.
    pub admin_console: Option<SocketAddr>,
    /// `None` where the operator's file lists the workers.
    pub discovery: Option<SocketAddr>,
    pub seed: u64,
    pub memory: MemoryPlan,
    pub max_client_connections: usize,
    /// Maximum number of concurrent calls to workers.
    pub max_worker_calls: usize,
    /// Maximum number of connections to workers, including idle ones kept for reuse.
    pub max_worker_connections: usize,
    pub known_workers: Option<HostList>,
    pub platform: PlatformSettings,
    pub routes: Vec<Route>,
    pub beanstalkd_workers: Vec<BeanstalkdWorkers>,
    pub http_workers: Vec<HttpWorkers>,
    pub beanstalkd: Option<BeanstalkdListenerConfig>,
    pub admin: Option<Admin>,
    pub peers: Option<Peers>,
    pub load_gossip: Option<LoadGossipPeers>,
    pub fleet: Option<Fleet>,
    /// Maximum duration of an override in milliseconds.
    pub max_override_ms: u64,
    pub state_dir: Option<StateDir>,
    /// Directory below `$TMPDIR` that all processes of this dispatcher share.
    pub shared_dir: PathBuf,
}

/// The directory in which overrides are stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StateDir {
    /// Named in the operator's file: the process does not start without it.
    Named(PathBuf),
    /// Below `$TMPDIR`, shared by the processes of a dispatcher: where it is full or can't be written, the process continues to
    /// serve clients.
    Temporary(PathBuf),
}

impl StateDir {
    pub fn path(&self) -> &Path {
        match self {
            StateDir::Named(path) | StateDir::Temporary(path) => path,
        }
    }
}

/// The address of the admin listener.
#[derive(Clone, Debug, PartialEq)]
pub enum AdminAddr {
    Tcp(SocketAddr),
    Unix(PathBuf),
}

impl std::str::FromStr for AdminAddr {
    type Err = String;

    fn from_str(text: &str) -> Result<AdminAddr, String> {
        if text.starts_with('/') {
            return Ok(AdminAddr::Unix(text.into()));
        }
        let addr: Result<SocketAddr, _> = text.parse();
        let addr = addr.map_err(|_| {
            format!("{text:?} is neither ADDRESS:PORT nor the path of a Unix socket, which starts with /")
        })?;
        match addr.ip().is_loopback() {
            true => Ok(AdminAddr::Tcp(addr)),
            false => Err(format!("{text} is not a loopback address such as 127.0.0.1:9101")),
        }
    }
}

impl std::fmt::Display for AdminAddr {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            AdminAddr::Tcp(addr) => addr.fmt(f),
            AdminAddr::Unix(path) => path.display().fmt(f),
        }
    }
}

/// The admin listener.
#[derive(Debug)]
pub struct Admin {
    pub listen: AdminAddr,
    /// `None` only where `listen` is a Unix socket.
    pub keys: Option<AdminKeys>,
    pub max_connections: usize,
}

/// The exchange of overrides with other dispatchers.
#[derive(Debug)]
pub struct Peers {
    pub listen: SocketAddr,
    pub others: Vec<SocketAddr>,
    pub keys: KeyRing,
}

/// The dispatchers of a large tier, which exchange load gossip about their forwards.
#[derive(Clone, Debug)]
pub struct LoadGossipPeers {
    pub listen: SocketAddr,
    /// All dispatchers of the tier in the order of their indexes.
    pub peers: Vec<SocketAddr>,
    /// The index of this dispatcher in `peers`.
    pub own_index: u32,
    /// An address that reaches all of them, if there is one.
    pub all_peers: Option<SocketAddr>,
    /// The zone of this dispatcher, if any.
    pub zone_name: Option<String>,
}

/// The fleet that this dispatcher is a member of.
#[derive(Debug)]
pub struct Fleet {
    /// All names in alphabetical order; a `Member` is an index into them.
    pub names: Vec<String>,
    pub addrs: Vec<SocketAddr>,
    pub me: Member,
    pub listen: SocketAddr,
    pub voters: Vec<Member>,
    pub keys: KeyRing,
    pub timing: Timing,
    pub one_prober: bool,
    /// The directory of the Raft state and the incarnation number.
    pub state_dir: Option<PathBuf>,
    pub clock: TestClock,
}

/// Errors added to the clocks that the fleet code reads; used by tests only.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TestClock {
    /// Offset of the time of day in milliseconds.
    pub offset_ms: i64,
    /// Error of the rate in parts per million.
    pub ppm: i64,
}
