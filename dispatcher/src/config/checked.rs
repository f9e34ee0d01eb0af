//! The configuration as the other parts get it: checked, with its defaults.

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

/// The beanstalkd front, checked.
#[derive(Debug)]
pub struct BeanstalkdListenerConfig {
    pub listen: SocketAddr,
    pub path: String,
    pub max_connections: usize,
    pub max_jobs: usize,
    pub max_bytes: usize,
    pub tubes: Vec<Tube>,
}

/// What a tube stands for.
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
    /// Also the paths that go on from it.
    pub prefix: bool,
    /// The class of what comes in here; `None`: requests name theirs.
    pub class: Option<usize>,
    pub budget: Option<Duration>,
    /// Requests and answers pass to workers that speak plain HTTP.
    pub proxy: Option<ProxyRoute>,
}

/// How bodies pass on a route.
#[derive(Clone, Debug)]
pub struct ProxyRoute {
    /// Those of requests pass as they come.
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
            let fitting = routes.iter().filter(|r| r.prefix && path.starts_with(&r.path));
            fitting.max_by_key(|r| r.path.len())
        })
    }
}

/// Everything that the program is told, checked.
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    /// `$GW_FD`: the clients' socket is this inherited descriptor, and `listen` is not bound.
    pub inherited_fd: Option<i32>,
    /// `admin_addr` or `$GW_ADMIN_ADDR`: where the line-protocol admin console listens.
    pub admin_console: Option<SocketAddr>,
    /// `None`: the operator's file lists the workers.
    pub discovery: Option<SocketAddr>,
    pub seed: u64,
    pub memory_bytes: usize,
    /// Connections of clients, and calls to workers at a time.
    pub max_client_connections: usize,
    pub max_worker_calls: usize,
    /// Connections to workers, those that are kept for further calls included.
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
    /// The longest that an override may last, in milliseconds.
    pub max_override_ms: u64,
    pub state_dir: Option<StateDir>,
}

/// Where overrides are kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StateDir {
    /// A folder that the operator's file names: without it the process does not start.
    Named(PathBuf),
    /// A folder below `$TMPDIR`, which the processes of a dispatcher share: it may be full or fail, and the process serves on.
    Temporary(PathBuf),
}

impl StateDir {
    /// The folder.
    pub fn path(&self) -> &Path {
        match self {
            StateDir::Named(path) | StateDir::Temporary(path) => path,
        }
    }
}

/// Where the admin listener is.
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
            format!("{text:?} is neither ADDRESS:PORT nor the path of a Unix socket, which begins with /")
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

/// The admin listener, checked.
#[derive(Debug)]
pub struct Admin {
    pub listen: AdminAddr,
    /// `None` only where `listen` is a Unix socket.
    pub keys: Option<AdminKeys>,
    pub max_connections: usize,
}

/// The talk with other dispatchers, checked.
#[derive(Debug)]
pub struct Peers {
    pub listen: SocketAddr,
    /// The others.
    pub others: Vec<SocketAddr>,
    pub keys: KeyRing,
}

/// The dispatchers of a large tier, which tell each other of their forwards.
#[derive(Clone, Debug)]
pub struct LoadGossipPeers {
    pub listen: SocketAddr,
    /// All of the tier by number, and the own number.
    pub peers: Vec<SocketAddr>,
    pub own_index: u32,
    /// One address that reaches all of them, if there is one.
    pub all_peers: Option<SocketAddr>,
    /// The own zone, if any.
    pub zone_name: Option<String>,
}

/// The fleet that this dispatcher is a member of, checked.
#[derive(Debug)]
pub struct Fleet {
    /// All names, in alphabetical order: a member is its place among them.
    pub names: Vec<String>,
    pub addrs: Vec<SocketAddr>,
    pub me: Member,
    pub listen: SocketAddr,
    pub voters: Vec<Member>,
    pub keys: KeyRing,
    pub timing: Timing,
    pub one_prober: bool,
    /// Where votes and the count of lives are kept.
    pub state_dir: Option<PathBuf>,
    pub clock: TestClock,
}

/// By how much the clocks that this process reads for the fleet are off: for tests alone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TestClock {
    /// The time of day, in milliseconds.
    pub offset_ms: i64,
    /// The rate, in parts of a million.
    pub ppm: i64,
}
