//! Reads the configuration, validates it and fills in defaults. Each error message names the key that it is about.

mod checked;
mod faults;
mod fleet;
mod memory;
mod operator;

pub use checked::{
    Admin, AdminAddr, BeanstalkdListenerConfig, BeanstalkdWorkers, Config, Fleet, HttpWorkers,
    LoadGossipPeers, Peers, ProxyRoute, Route, StateDir, TestClock, Tube,
};
pub use faults::{read_json, Faults};
pub use memory::{MemoryPlan, OtherConnections};
pub use operator::{
    Matching, Operator, Protocol, RawAdmin, RawBeanstalkdListener, RawPeers, RawRoute, RawWorkers,
};

use crate::admin::auth::AdminKeys;
use crate::beanstalkd::is_valid_name;
use crate::list::HostList;
use lineroute::{Class, KindId};
use lineroute_control::overrides::MAX_OVERRIDE_DURATION;
use lineroute_control::peers::KeyRing;
use lineroute_control::watch::LARGE_TIER;
use lineroute_http1::Forwarding;
use lineroute_settings::PlatformSettings;
use lineroute_stream::ProgressLimits;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde_json::{json, Map, Value};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Used where the platform sets no limits: these are always granted.
const DEFAULT_MEMORY_MB: u64 = 192;
const DEFAULT_SOCKETS: usize = 1024;
/// The smallest memory limit that is accepted.
const MIN_MEMORY_MB: u64 = 16;
/// Descriptors reserved for other purposes than client and worker connections: the log, timers, listeners,
/// discovery, peers and state files.
const RESERVED_SOCKETS: usize = 64;
/// Maximum number of peers with which overrides are exchanged: the gossip is designed for smaller tiers.
const MAX_PEERS: usize = 256;

/// Maximum number of peers with which load gossip is exchanged: it is designed for tiers up to this size.
const MAX_GOSSIP_PEERS: usize = 4096;
/// Approximate number of full datagrams that load gossip sends for each request, and the share of a request's worth
/// that may be spent on them.
const GOSSIP_DATAGRAMS_PER_REQUEST: f64 = 1.0;
const MAX_GOSSIP_COST: f64 = 0.04;

#[derive(Deserialize)]
struct PlatformFile {
    #[serde(default)]
    name: Option<String>,
    #[serde(default)]
    listen: Option<SocketAddr>,
    #[serde(default)]
    discovery: Option<SocketAddr>,
    #[serde(default)]
    seed: Option<String>,
    #[serde(default)]
    limits: PlatformLimits,
    #[serde(default)]
    known: Option<HostList>,
    #[serde(default)]
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    admin_addr: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    #[serde(default)]
    peers_all: Option<SocketAddr>,
    settings: Map<String, Value>,
}

#[derive(Deserialize)]
#[serde(default)]
struct PlatformLimits {
    memory_mb: u64,
    sockets: usize,
}

impl Default for PlatformLimits {
    fn default() -> Self {
        PlatformLimits { memory_mb: DEFAULT_MEMORY_MB, sockets: DEFAULT_SOCKETS }
    }
}

/// When the configuration is read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LoadPhase {
    Start,
    /// The process is running and reads the configuration again.
    Reload,
}

/// Paths of the configuration files.
#[derive(Clone, Debug, Default)]
pub struct Sources {
    /// Takes precedence over `GW_CONFIG`.
    pub config: Option<String>,
    pub operator: Option<String>,
}

/// Reads the file that `GW_CONFIG` names, the other environment variables, which take precedence over it, and the
/// operator's file if one is given. On a reload the file's discovery address takes precedence: the environment is that of
/// the start of the process and does not change when discovery moves.
///
/// # Errors
/// All errors found, each with its key.
pub fn read(
    variable: impl Fn(&str) -> Option<String>,
    sources: &Sources,
    phase: LoadPhase,
) -> Result<Config, Faults> {
    let mut faults = Faults::default();
    let raw: Option<PlatformFile> = match sources.config.clone().or_else(|| variable("GW_CONFIG")) {
        Some(path) => read_file("GW_CONFIG", &path, &mut faults),
        None => {
            faults.add("GW_CONFIG", "is not set; it must name the platform's configuration file");
            None
        }
    };
    let operator: Option<Operator> = match &sources.operator {
        Some(path) => read_file("operator's file", path, &mut faults),
        None => Some(Operator::default()),
    };
    // Without the platform's configuration, the operator's file is still checked as far as possible.
    let (raw, operator) = match (raw, operator) {
        (Some(raw), Some(operator)) => (raw, operator),
        (None, Some(operator)) => {
            check_operator_only(&operator, &mut faults);
            return Err(faults);
        }
        _ => return Err(faults),
    };
    let config = check(raw, operator, variable, phase, &mut faults);
    config.filter(|_| faults.is_empty()).ok_or(faults)
}

/// Checks the parts of the operator's file that do not depend on the platform's configuration.
fn check_operator_only(operator: &Operator, faults: &mut Faults) {
    check_admin(operator.admin.as_ref(), faults);
    max_override_ms(operator, faults);
    check_routes(operator, faults);
    check_workers(operator, "lineroute", faults);
}

fn check(
    mut raw: PlatformFile,
    operator: Operator,
    variable: impl Fn(&str) -> Option<String>,
    phase: LoadPhase,
    faults: &mut Faults,
) -> Option<Config> {
    let address = |key: &str, given: Option<SocketAddr>, field: &str| match (variable(key), given) {
        (_, Some(given)) if phase == LoadPhase::Reload && field == "discovery" => Ok(given),
        (Some(text), _) => text.parse().map_err(|e| format!("{key}: {text:?}: {e}")),
        (None, given) => given.ok_or_else(|| format!("{key} is not set, and GW_CONFIG has no {field}")),
    };
    let listen = faults.take(address("GW_LISTEN", raw.listen, "listen"));
    let inherited_fd = faults.take(parse_inherited_fd(variable("GW_FD")));
    let admin_console = match variable("GW_ADMIN_ADDR") {
        Some(text) => {
            faults.take(text.parse().map(Some).map_err(|e| format!("GW_ADMIN_ADDR: {text:?}: {e}")))
        }
        None => Some(raw.admin_addr),
    };
    let discovery = match operator.hosts.is_empty() {
        true => faults.take(address("GW_DISCOVERY", raw.discovery, "discovery")),
        false => None,
    };
    let known_workers = match operator.hosts.is_empty() {
        true => raw.known.take(),
        false => Some(HostList { version: 0, full: true, servers: operator.hosts.clone() }),
    };
    let seed = match &raw.seed {
        Some(hex) => u64::from_str_radix(hex, 16).map_err(|e| format!("GW_CONFIG: seed: {hex:?}: {e}")),
        None => Ok(std::process::id().into()),
    };
    let seed = faults.take(seed);
    let classes_added = faults.take(add_classes(&mut raw.settings, &operator));
    let settings = Value::Object(std::mem::take(&mut raw.settings));
    let platform = classes_added.and_then(|()| match lineroute_settings::parse(&settings.to_string()) {
        Ok(platform) => Some(platform),
        Err(_) => {
            faults::check_settings(settings, faults);
            None
        }
    });
    let PlatformLimits { memory_mb, sockets } = raw.limits;
    if sockets < RESERVED_SOCKETS * 2 {
        faults.add("GW_CONFIG: limits.sockets", format!("{sockets} is under {}", RESERVED_SOCKETS * 2));
    }
    // The platform may halve its limits (16 MB of 32); with less, the limits in bytes derived from this are too small.
    if memory_mb < MIN_MEMORY_MB {
        faults.add("GW_CONFIG: limits.memory_mb", format!("{memory_mb} is under {MIN_MEMORY_MB}"));
    }
    let memory_bytes = (memory_mb as usize) << 20;
    check_routes(&operator, faults);
    let name = variable("GW_NAME").or(raw.name.take()).unwrap_or_else(|| "lineroute".into());
    if !is_valid_name(&name) || name.len() > 64 {
        faults.add(
            "GW_NAME",
            format!("{name:?} is not a name of 1 to 64 characters of A-Z, a-z, 0-9 and -+/;.$_()"),
        );
    }
    let (beanstalkd_workers, http_workers) = check_workers(&operator, &name, faults);
    let admin = check_admin(operator.admin.as_ref(), faults);
    let max_override_ms = max_override_ms(&operator, faults);
    let state_dir = check_state_dir(operator.state_dir.as_deref(), faults);
    let tmp = variable("TMPDIR").map_or_else(std::env::temp_dir, PathBuf::from);
    let shared_dir = tmp.join(format!("lineroute-{name}"));
    // Cordons set through the admin console must survive a replacement of the process: without a state directory they
    // are stored below `$TMPDIR`.
    let state_dir = match (state_dir, admin_console.flatten()) {
        (Some(path), _) => Some(StateDir::Named(path)),
        (None, Some(_)) => Some(StateDir::Temporary(shared_dir.clone())),
        (None, None) => None,
    };
    let peers = operator.peers.as_ref().and_then(|p| check_peers(p, &raw, platform.as_ref(), faults));
    let load_gossip =
        platform.as_ref().filter(|_| peers.is_none()).and_then(|platform| load_gossip_peers(&raw, platform));
    let clock = variable("LINEROUTE_TEST_CLOCK");
    let fleet =
        operator.fleet.as_ref().and_then(|f| fleet::check(f, operator.state_dir.as_deref(), clock, faults));
    let mut free = sockets.saturating_sub(RESERVED_SOCKETS);
    let listeners = [
        (
            "operator's file: beanstalkd.max_connections",
            operator.beanstalkd.as_ref().map_or(0, |b| b.max_connections),
        ),
        (
            "operator's file: fleet.members",
            operator.fleet.as_ref().map_or(0, |f| crate::fleet::max_sockets(f.members.len())),
        ),
        ("operator's file: admin.max_connections", operator.admin.as_ref().map_or(0, |a| a.max_connections)),
        (
            "GW_CONFIG: admin_addr",
            admin_console.flatten().map_or(0, |_| crate::admin::console::MAX_CONNECTIONS),
        ),
    ];
    for (key, taken) in listeners {
        free = free.saturating_sub(taken);
        if taken > 0 && free < RESERVED_SOCKETS {
            faults.add(key, format!("{taken} leaves too few sockets for clients and workers"));
            free = RESERVED_SOCKETS;
        }
    }
    let mut platform = platform?;
    if !http_workers.is_empty() {
        // Plain HTTP workers report no progress before their answer. Without this an attempt would be cancelled only
        // because earlier ones were quicker; within its latency target (`aim`) it must not count as overdue.
        let aim = platform.settings.classes.iter().map(|c| c.aim).max().unwrap_or(0);
        platform.settings.progress_interval = platform.settings.progress_interval.max(aim);
    }
    let mut routes =
        vec![Route { path: "/api".into(), prefix: false, class: None, budget: None, proxy: None }];
    for (i, raw) in operator.routes.into_iter().enumerate() {
        let key = |field: &str| format!("operator's file: routes[{i}].{field}");
        let class = faults.take(position(&platform.classes, &raw.class, &key("class")));
        let kind = class.and_then(|c| bound_kind(&platform.settings.classes[c]));
        let kind = kind.and_then(|k| platform.kinds.get(k.0 as usize));
        let upstream = http_workers.iter().find(|u| Some(&u.kind) == kind);
        let given = [
            ("stream", raw.stream),
            ("max_body", raw.max_body.is_some()),
            ("idle_ms", raw.idle_ms.is_some()),
            ("least_rate", raw.least_rate.is_some()),
        ];
        for (field, _) in given.iter().filter(|(_, given)| *given && upstream.is_none()) {
            let message =
                format!("class {:?} is not bound to a kind of worker with \"protocol\": \"http\"", raw.class);
            faults.add(key(field), message);
        }
        if raw.idle_ms == Some(0) {
            faults.add(key("idle_ms"), "must be greater than 0");
        }
        let proxy = upstream.map(|upstream| ProxyRoute {
            stream: raw.stream,
            max_body: raw.max_body.unwrap_or(if raw.stream { u64::MAX } else { 64 << 10 }),
            progress_limits: ProgressLimits {
                idle_timeout: Duration::from_millis(raw.idle_ms.unwrap_or(30_000)),
                min_bytes_per_second: raw.least_rate.unwrap_or(1024),
                window: Duration::from_secs(5),
            },
            max_replay_bytes: upstream.max_replay_bytes,
        });
        if proxy.as_ref().is_some_and(|p| !p.stream && p.max_body > 64 << 10) {
            faults.add(key("max_body"), "is over 65536; larger bodies need \"stream\": true");
        }
        let (path, prefix) = (raw.path, raw.matching == Matching::Prefix);
        let budget = raw.budget_ms.map(Duration::from_millis);
        routes.push(Route { path, prefix, class, budget, proxy });
    }
    let memory = MemoryPlan::new(
        memory_bytes,
        routes.iter().any(|route| route.proxy.is_some()),
        operator.beanstalkd.is_some(),
    );
    let beanstalkd =
        operator.beanstalkd.map(|raw| check_beanstalkd_listener(raw, &platform, &memory, faults));
    let other_connections = OtherConnections {
        beanstalkd: beanstalkd.as_ref().map_or(0, |listener| listener.max_connections),
        admin: admin.as_ref().map_or(0, |admin| admin.max_connections),
        console: admin_console.flatten().map_or(0, |_| crate::admin::console::MAX_CONNECTIONS),
    };
    check_admin_memory(&memory, other_connections, faults);
    let max_worker_connections = (free / 8 * 3).min(memory.max_worker_connections());
    Some(Config {
        name,
        listen: listen?,
        inherited_fd: inherited_fd?,
        admin_console: admin_console?,
        discovery,
        seed: seed?,
        memory,
        max_client_connections: (free / 8 * 5).min(memory.max_client_connections(other_connections)),
        max_worker_calls: (free / 4).min(max_worker_connections),
        max_worker_connections,
        known_workers,
        platform,
        routes,
        beanstalkd_workers,
        http_workers,
        beanstalkd,
        admin,
        peers,
        load_gossip,
        fleet,
        max_override_ms: max_override_ms?,
        state_dir,
        shared_dir,
    })
}

/// The kind of worker that a class is bound to, if there is exactly one.
fn bound_kind(class: &Class) -> Option<KindId> {
    class.kind.or(match class.kinds.as_deref() {
        Some([one]) => Some(*one),
        _ => None,
    })
}

fn check_routes(operator: &Operator, faults: &mut Faults) {
    for (i, route) in operator.routes.iter().enumerate().filter(|(_, r)| !r.path.starts_with('/')) {
        faults.add(
            format!("operator's file: routes[{i}].path"),
            format!("{:?} does not start with /", route.path),
        );
    }
}

/// Splits the kinds of worker by protocol.
fn check_workers(
    operator: &Operator,
    name: &str,
    faults: &mut Faults,
) -> (Vec<BeanstalkdWorkers>, Vec<HttpWorkers>) {
    let (mut beanstalkd, mut http) = (Vec::new(), Vec::new());
    for (i, raw) in operator.workers.iter().enumerate() {
        let key = |field: &str| format!("operator's file: workers[{i}].{field}");
        if operator.workers[..i].iter().any(|earlier| earlier.kind == raw.kind) {
            faults.add(key("kind"), format!("{:?} is listed twice", raw.kind));
        }
        let only_with = |protocol: &str, fields: &[(&'static str, bool)], faults: &mut Faults| {
            for (field, _) in fields.iter().filter(|(_, given)| *given) {
                faults.add(key(field), format!("is only valid with \"protocol\": \"{protocol}\""));
            }
        };
        match raw.protocol {
            Protocol::Beanstalkd => {
                let given = [
                    ("host", raw.host.is_some()),
                    ("via", raw.via.is_some()),
                    ("x_forwarded", raw.x_forwarded.is_some()),
                    ("forwarded", raw.forwarded.is_some()),
                    ("replay", raw.replay.is_some()),
                ];
                only_with("http", &given, faults);
                let work_tube = raw.work_tube.clone().unwrap_or_else(|| "work".into());
                let answers_tube = raw.answers_tube.clone().unwrap_or_else(|| "answers".into());
                faults.take(check_tube(&key("work_tube"), &work_tube));
                faults.take(check_tube(&key("answers_tube"), &answers_tube));
                beanstalkd.push(BeanstalkdWorkers { kind: raw.kind.clone(), work_tube, answers_tube });
            }
            Protocol::Http => {
                let given =
                    [("work_tube", raw.work_tube.is_some()), ("answers_tube", raw.answers_tube.is_some())];
                only_with("beanstalkd", &given, faults);
                if raw.host.as_ref().is_some_and(|h| h.is_empty() || !h.bytes().all(|b| b.is_ascii_graphic()))
                {
                    faults.add(key("host"), "is not a valid host");
                }
                let replay = raw.replay.unwrap_or(64 << 10);
                if replay > 1 << 20 {
                    faults.add(key("replay"), format!("{replay} is over 1048576"));
                }
                let forwarding = Forwarding {
                    host: raw.host.clone(),
                    via: raw.via.unwrap_or(true).then(|| name.to_owned()),
                    x_forwarded: raw.x_forwarded.unwrap_or(true),
                    forwarded: raw.forwarded.unwrap_or(false),
                };
                http.push(HttpWorkers { kind: raw.kind.clone(), forwarding, max_replay_bytes: replay });
            }
        }
    }
    (beanstalkd, http)
}

/// Parses `$GW_FD`: a descriptor other than standard input, output and error.
fn parse_inherited_fd(text: Option<String>) -> Result<Option<i32>, String> {
    let Some(text) = text else { return Ok(None) };
    match text.trim().parse::<i32>() {
        Ok(fd) if fd >= 3 => Ok(Some(fd)),
        _ => Err(format!("GW_FD: {text:?} is not a descriptor number of 3 or more")),
    }
}

fn check_admin(raw: Option<&RawAdmin>, faults: &mut Faults) -> Option<Admin> {
    let raw = raw?;
    let key = |field: &str| format!("operator's file: admin.{field}");
    let listen = faults.take(raw.listen.parse::<AdminAddr>().map_err(|e| format!("{}: {e}", key("listen"))));
    if !(1..=64).contains(&raw.max_connections) {
        faults.add(key("max_connections"), format!("{} is not between 1 and 64", raw.max_connections));
    }
    let keys = match &raw.key_file {
        Some(path) => {
            let keys =
                read_text(path).and_then(|text| AdminKeys::parse(&text).map_err(|e| format!("{path}: {e}")));
            Some(faults.take(keys.map_err(|e| format!("{}: {e}", key("key_file"))))?)
        }
        None if matches!(listen, Some(AdminAddr::Tcp(_))) => {
            faults.add(key("key_file"), "is missing; a TCP listener needs a bearer key");
            None
        }
        None => None,
    };
    Some(Admin { listen: listen?, keys, max_connections: raw.max_connections })
}

fn check_peers(
    raw: &RawPeers,
    config: &PlatformFile,
    platform: Option<&PlatformSettings>,
    faults: &mut Faults,
) -> Option<Peers> {
    if platform.is_some_and(|s| !s.peer_messages_allowed) {
        let message = "the settings forbid messages between dispatchers (allowed.peers)";
        faults.add("operator's file: peers", message);
    }
    if config.peers.len() > MAX_PEERS {
        faults.add(
            "GW_CONFIG: peers",
            format!("{} peers are more than the maximum of {MAX_PEERS}", config.peers.len()),
        );
    }
    let keys = read_text(&raw.key_file)
        .and_then(|text| KeyRing::parse(&text).map_err(|e| format!("{}: {e}", raw.key_file)));
    let keys = faults.take(keys.map_err(|e| format!("operator's file: peers.key_file: {e}")));
    let Some(listen) = config.peer_listen else {
        faults.add(
            "GW_CONFIG: peer_listen",
            "is missing; the operator's file enables messages between dispatchers (peers)",
        );
        return None;
    };
    let others = config.peers.iter().copied().filter(|p| *p != listen).collect();
    Some(Peers { listen, others, keys: keys? })
}

/// Load gossip between the dispatchers of a large tier, where the settings allow it. Where overrides are exchanged with
/// peers, that exchange has the socket and there is no load gossip.
fn load_gossip_peers(config: &PlatformFile, platform: &PlatformSettings) -> Option<LoadGossipPeers> {
    let (listen, tier) = (config.peer_listen?, platform.settings.instances);
    let own_index = platform.self_index.filter(|index| (*index as usize) < config.peers.len())?;
    let is_cheap = GOSSIP_DATAGRAMS_PER_REQUEST * platform.peer_message_price <= MAX_GOSSIP_COST;
    let is_bounded = is_cheap && config.peers.len() <= MAX_GOSSIP_PEERS;
    if !platform.peer_messages_allowed || tier < LARGE_TIER || !is_bounded {
        return None;
    }
    let zone = platform.settings.zone.and_then(|z| platform.zones.get(z.0 as usize));
    Some(LoadGossipPeers {
        listen,
        peers: config.peers.clone(),
        own_index,
        all_peers: config.peers_all,
        zone_name: zone.cloned(),
    })
}

fn max_override_ms(operator: &Operator, faults: &mut Faults) -> Option<u64> {
    let text = operator.overrides.as_ref().map_or("16h", |o| o.longest.as_str());
    let key = "operator's file: overrides.longest";
    match humantime::parse_duration(text) {
        Ok(span) if (1000..=u128::from(MAX_OVERRIDE_DURATION)).contains(&span.as_millis()) => {
            Some(span.as_millis() as u64)
        }
        Ok(_) => {
            faults.add(key, format!("{text:?} is not between 1s and {}h", MAX_OVERRIDE_DURATION / 3_600_000));
            None
        }
        Err(e) => {
            faults.add(key, format!("{text:?}: {e}; write a duration such as 30m or 16h"));
            None
        }
    }
}

fn check_state_dir(path: Option<&str>, faults: &mut Faults) -> Option<PathBuf> {
    let path = PathBuf::from(path?);
    if !path.is_absolute() {
        faults.add("operator's file: state_dir", format!("{} is not an absolute path", path.display()));
    } else if path.exists() && !path.is_dir() {
        faults.add("operator's file: state_dir", format!("{} is not a directory", path.display()));
    }
    Some(path)
}

/// Adds the operator's classes and their kinds to the settings, so that all classes are parsed and checked together.
fn add_classes(settings: &mut Map<String, Value>, operator: &Operator) -> Result<(), String> {
    let mut kinds: Vec<String> = match settings.get("skus") {
        Some(kinds) => serde_json::from_value(kinds.clone()).map_err(|e| format!("setting skus: {e}"))?,
        None => Vec::new(),
    };
    let mut added = Vec::new();
    for (i, class) in operator.classes.iter().enumerate() {
        let mut class = class.clone();
        match class.remove("kind") {
            Some(Value::String(kind)) => {
                let at = kinds.iter().position(|k| *k == kind).unwrap_or_else(|| {
                    kinds.push(kind);
                    kinds.len() - 1
                });
                class.insert("skus_open".into(), json!([at]));
            }
            Some(other) => return Err(format!("operator's file: classes[{i}].kind: {other} is not a name")),
            None => {}
        }
        added.push(Value::Object(class));
    }
    if !added.is_empty() {
        settings.insert("skus".into(), json!(kinds));
        match settings.entry("classes").or_insert_with(|| json!([])) {
            Value::Array(classes) => classes.extend(added),
            _ => return Err("GW_CONFIG: setting classes: is not a list".into()),
        }
    }
    Ok(())
}

fn check_beanstalkd_listener(
    raw: RawBeanstalkdListener,
    platform: &PlatformSettings,
    memory: &MemoryPlan,
    faults: &mut Faults,
) -> BeanstalkdListenerConfig {
    let mut tubes: Vec<Tube> = Vec::new();
    let count = raw.tubes.len();
    for (i, tube) in raw.tubes.into_iter().enumerate() {
        let key = |field: &str| format!("operator's file: beanstalkd.tubes[{i}].{field}");
        faults.take(check_tube(&key("tube"), &tube.tube));
        faults.take(check_tube(&key("answers"), &tube.answers));
        if tubes.iter().any(|t| t.tube == tube.tube) {
            faults.add(key("tube"), format!("{:?} is mapped twice", tube.tube));
        }
        let class = faults.take(position(&platform.classes, &tube.class, &key("class")));
        let tenant = tube.tenant.and_then(|t| faults.take(position(&platform.tenants, &t, &key("tenant"))));
        if tube.budget_ms == Some(0) {
            faults.add(key("budget_ms"), "must be greater than 0");
        }
        let Some(class) = class else { continue };
        let deadline = Duration::from_micros(platform.settings.classes[class].deadline);
        let budget = tube.budget_ms.map_or(deadline, Duration::from_millis);
        tubes.push(Tube { tube: tube.tube, class, tenant, budget, answers: tube.answers });
    }
    if count == 0 {
        faults.add("operator's file: beanstalkd.tubes", "must list at least one tube");
    }
    if let Some(t) = tubes.iter().find(|t| tubes.iter().any(|other| other.tube == t.answers)) {
        faults.add(
            "operator's file: beanstalkd.tubes",
            format!("{:?} is used both for jobs and for answers", t.answers),
        );
    }
    let maximum = memory.max_beanstalkd_connections();
    check_memory_for("beanstalkd.max_connections", raw.max_connections, maximum, memory, faults);
    BeanstalkdListenerConfig {
        listen: raw.listen,
        path: raw.path,
        max_connections: raw.max_connections,
        max_jobs: raw.max_jobs,
        max_bytes: memory.beanstalkd_jobs,
        tubes,
    }
}

/// Adds a fault if the admin listener may have more connections than there is memory for.
fn check_admin_memory(memory: &MemoryPlan, connections: OtherConnections, faults: &mut Faults) {
    let maximum = memory.max_admin_connections(connections.beanstalkd);
    check_memory_for("admin.max_connections", connections.admin, maximum, memory, faults);
}

/// Adds a fault for a key of the operator's file that asks for more connections than there is memory for.
fn check_memory_for(key: &str, wanted: usize, maximum: usize, memory: &MemoryPlan, faults: &mut Faults) {
    if wanted > maximum {
        let message = format!(
            "{wanted} connections are more than the {maximum} that limits.memory_mb of {} has memory for",
            memory.limit >> 20
        );
        faults.add(format!("operator's file: {key}"), message);
    }
}

fn check_tube(key: &str, name: &str) -> Result<(), String> {
    // Leaves room for the dispatcher's name, which may be appended.
    match is_valid_name(name) && name.len() <= 128 {
        true => Ok(()),
        false => Err(format!("{key}: {name:?} is not a valid tube name of 1 to 128 characters")),
    }
}

fn position(names: &[String], name: &str, key: &str) -> Result<usize, String> {
    let at = names.iter().position(|n| n == name);
    at.ok_or_else(|| format!("{key}: the settings do not define {name:?}, only {}", names.join(", ")))
}

fn read_text(path: &str) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))
}

fn read_file<T: DeserializeOwned>(source: &str, path: &str, faults: &mut Faults) -> Option<T> {
    let text = faults.take(read_text(path).map_err(|e| format!("{source}: {e}")))?;
    read_json(&format!("{source}: {path}"), &text, faults)
}
