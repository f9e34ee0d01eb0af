//! The one place where configuration is read, checked and given defaults. A message names the faulty key.

use crate::list::HostList;
use lineroute_settings::Site;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;
use std::time::Duration;

/// Without limits given, the program keeps within what it may always have.
const DEFAULT_MEMORY_MB: u64 = 192;
const DEFAULT_SOCKETS: usize = 1024;
/// Descriptors that are neither clients' nor workers': the log, timers, listeners, discovery.
const OTHER_SOCKETS: usize = 64;

#[derive(Deserialize)]
struct Raw {
    #[serde(default)]
    name: Option<String>,
    #[serde(default)]
    listen: Option<SocketAddr>,
    #[serde(default)]
    discovery: Option<SocketAddr>,
    #[serde(default)]
    seed: Option<String>,
    #[serde(default)]
    limits: RawLimits,
    #[serde(default)]
    known: Option<HostList>,
    settings: Box<RawValue>,
}

#[derive(Deserialize)]
#[serde(default)]
struct RawLimits {
    memory_mb: u64,
    sockets: usize,
}

impl Default for RawLimits {
    fn default() -> Self {
        RawLimits { memory_mb: DEFAULT_MEMORY_MB, sockets: DEFAULT_SOCKETS }
    }
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
    pub discovery: SocketAddr,
    pub seed: u64,
    pub memory: usize,
    /// Connections of clients, and calls to workers at a time.
    pub inbound: usize,
    pub outbound: usize,
    pub known: Option<HostList>,
    pub site: Site,
    pub routes: Vec<Route>,
}

/// Reads `GW_CONFIG` and the variables beside it, which win over what it says.
pub fn read(variable: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
    let path = variable("GW_CONFIG").ok_or("GW_CONFIG is not set")?;
    let text = std::fs::read_to_string(&path).map_err(|e| format!("GW_CONFIG: {path}: {e}"))?;
    let raw: Raw = parse(&text).map_err(|e| format!("GW_CONFIG: {e}"))?;
    let address = |key: &str, given: Option<SocketAddr>, field: &str| match variable(key) {
        Some(text) => text.parse().map_err(|e| format!("{key}: {text:?}: {e}")),
        None => given.ok_or_else(|| format!("{key} is not set, and GW_CONFIG has no {field}")),
    };
    let listen = address("GW_LISTEN", raw.listen, "listen")?;
    let discovery = address("GW_DISCOVERY", raw.discovery, "discovery")?;
    let seed = match &raw.seed {
        Some(hex) => u64::from_str_radix(hex, 16).map_err(|e| format!("GW_CONFIG: seed: {hex:?}: {e}"))?,
        None => std::process::id().into(),
    };
    let site = lineroute_settings::parse(raw.settings.get()).map_err(|e| format!("GW_CONFIG: {e}"))?;
    let RawLimits { memory_mb, sockets } = raw.limits;
    if sockets < OTHER_SOCKETS * 2 {
        return Err(format!("GW_CONFIG: limits.sockets: {sockets} is under {}", OTHER_SOCKETS * 2));
    }
    if memory_mb < 32 {
        return Err(format!("GW_CONFIG: limits.memory_mb: {memory_mb} is under 32"));
    }
    let free = sockets - OTHER_SOCKETS;
    Ok(Config {
        name: variable("GW_NAME").or(raw.name).unwrap_or_else(|| "lineroute".into()),
        listen,
        discovery,
        seed,
        memory: (memory_mb as usize) << 20,
        inbound: free / 2,
        outbound: free / 4,
        known: raw.known,
        site,
        routes: vec![Route { path: "/api".into(), prefix: false, class: None, budget: None }],
    })
}

fn parse<T: DeserializeOwned>(text: &str) -> Result<T, String> {
    let mut json = serde_json::Deserializer::from_str(text);
    let value = serde_path_to_error::deserialize(&mut json).map_err(|e| {
        let path = e.path().to_string();
        format!("{path}: {}", e.into_inner())
    })?;
    json.end().map_err(|e| e.to_string())?;
    Ok(value)
}
