//! The one place where configuration is read, checked and given defaults. A message names the faulty key.

use crate::beanstalkd::is_name;
use crate::list::{Host, HostList};
use lineroute_settings::Site;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{json, Map, Value};
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
    settings: Map<String, Value>,
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

/// The operator's file: what stands beside the platform's configuration. All of it is optional.
#[derive(Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Operator {
    /// Classes beside those of the settings, in the settings' own form. `kind` binds one to a kind of worker.
    pub classes: Vec<Map<String, Value>>,
    /// Workers, in discovery's form; discovery is then not asked.
    pub hosts: Vec<Host>,
    /// Paths beside `/api`.
    pub routes: Vec<RawRoute>,
    /// Kinds of worker that speak beanstalkd.
    pub workers: Vec<BeanstalkdWorkers>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub beanstalkd: Option<RawFront>,
}

#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawRoute {
    pub path: String,
    #[serde(default, rename = "match")]
    pub matching: Matching,
    pub class: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub budget_ms: Option<u64>,
}

/// How a route's path is compared: it must be the same, or the beginning.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Matching {
    Exact,
    #[default]
    Prefix,
}

/// Workers of a kind that take their jobs from beanstalkd servers.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BeanstalkdWorkers {
    pub kind: String,
    #[serde(default = "work_tube")]
    pub work_tube: String,
    #[serde(default = "answers_tube")]
    pub answers_tube: String,
}

fn work_tube() -> String {
    "work".into()
}

fn answers_tube() -> String {
    "answers".into()
}

#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawFront {
    listen: SocketAddr,
    /// The path that jobs are forwarded under to workers that speak HTTP.
    #[serde(default = "api")]
    path: String,
    #[serde(default = "max_connections")]
    max_connections: usize,
    #[serde(default = "max_jobs")]
    max_jobs: usize,
    tubes: Vec<RawTube>,
}

#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct RawTube {
    tube: String,
    class: String,
    #[serde(default)]
    tenant: Option<String>,
    #[serde(default)]
    budget_ms: Option<u64>,
    answers: String,
}

fn api() -> String {
    "/api".into()
}

fn max_connections() -> usize {
    64
}

fn max_jobs() -> usize {
    10_000
}

/// The beanstalkd front, checked.
#[derive(Debug)]
pub struct BeanstalkdFront {
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
    /// `None`: the operator's file lists the workers.
    pub discovery: Option<SocketAddr>,
    pub seed: u64,
    pub memory: usize,
    /// Connections of clients, and calls to workers at a time.
    pub inbound: usize,
    pub outbound: usize,
    pub known: Option<HostList>,
    pub site: Site,
    pub routes: Vec<Route>,
    pub workers: Vec<BeanstalkdWorkers>,
    pub beanstalkd: Option<BeanstalkdFront>,
}

/// What the configuration is read for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Occasion {
    Start,
    /// The file has been replaced while the program runs.
    Reload,
}

/// Reads `GW_CONFIG`, the variables beside it, which win over what it says, and the operator's file if any.
/// In a reload the file's word on discovery wins: the variable is of the start, and can't follow a move.
pub fn read(
    variable: impl Fn(&str) -> Option<String>,
    operator: Option<&str>,
    occasion: Occasion,
) -> Result<Config, String> {
    let path = variable("GW_CONFIG").ok_or("GW_CONFIG is not set")?;
    let mut raw: Raw = read_file(&path).map_err(|e| format!("GW_CONFIG: {e}"))?;
    let operator: Operator = match operator {
        Some(path) => read_file(path).map_err(|e| format!("operator's file: {e}"))?,
        None => Operator::default(),
    };
    let address = |key: &str, given: Option<SocketAddr>, field: &str| match (variable(key), given) {
        (_, Some(given)) if occasion == Occasion::Reload && field == "discovery" => Ok(given),
        (Some(text), _) => text.parse().map_err(|e| format!("{key}: {text:?}: {e}")),
        (None, given) => given.ok_or_else(|| format!("{key} is not set, and GW_CONFIG has no {field}")),
    };
    let listen = address("GW_LISTEN", raw.listen, "listen")?;
    let discovery = match operator.hosts.is_empty() {
        true => Some(address("GW_DISCOVERY", raw.discovery, "discovery")?),
        false => None,
    };
    let known = match operator.hosts.is_empty() {
        true => raw.known,
        false => Some(HostList { version: 0, full: true, servers: operator.hosts.clone() }),
    };
    let seed = match &raw.seed {
        Some(hex) => u64::from_str_radix(hex, 16).map_err(|e| format!("GW_CONFIG: seed: {hex:?}: {e}"))?,
        None => std::process::id().into(),
    };
    add_classes(&mut raw.settings, &operator)?;
    let settings = Value::Object(raw.settings).to_string();
    let site = lineroute_settings::parse(&settings).map_err(|e| format!("GW_CONFIG: {e}"))?;
    let RawLimits { memory_mb, sockets } = raw.limits;
    if sockets < OTHER_SOCKETS * 2 {
        return Err(format!("GW_CONFIG: limits.sockets: {sockets} is under {}", OTHER_SOCKETS * 2));
    }
    if memory_mb < 32 {
        return Err(format!("GW_CONFIG: limits.memory_mb: {memory_mb} is under 32"));
    }
    let memory = (memory_mb as usize) << 20;
    let beanstalkd = operator.beanstalkd.map(|raw| front(raw, &site, memory)).transpose()?;
    let taken = beanstalkd.as_ref().map_or(0, |f| f.max_connections);
    let free = (sockets - OTHER_SOCKETS).saturating_sub(taken);
    if free < OTHER_SOCKETS {
        return Err(format!("operator's file: beanstalkd.max_connections: {taken} leaves too few sockets"));
    }
    let mut routes = vec![Route { path: "/api".into(), prefix: false, class: None, budget: None }];
    for (i, raw) in operator.routes.into_iter().enumerate() {
        let key = format!("operator's file: routes[{i}]");
        if !raw.path.starts_with('/') {
            return Err(format!("{key}.path: {:?} does not begin with /", raw.path));
        }
        let class = Some(position(&site.classes, &raw.class, &format!("{key}.class"))?);
        let (path, prefix) = (raw.path, raw.matching == Matching::Prefix);
        routes.push(Route { path, prefix, class, budget: raw.budget_ms.map(Duration::from_millis) });
    }
    for (i, workers) in operator.workers.iter().enumerate() {
        for (field, tube) in [("work_tube", &workers.work_tube), ("answers_tube", &workers.answers_tube)] {
            check_tube(&format!("operator's file: workers[{i}].{field}"), tube)?;
        }
    }
    let name = variable("GW_NAME").or(raw.name).unwrap_or_else(|| "lineroute".into());
    if !is_name(&name) || name.len() > 64 {
        return Err(format!("GW_NAME: {name:?} is not a plain word of 1 to 64 characters"));
    }
    Ok(Config {
        name,
        listen,
        discovery,
        seed,
        memory,
        inbound: free / 8 * 5,
        outbound: free / 4,
        known,
        site,
        routes,
        workers: operator.workers,
        beanstalkd,
    })
}

/// Adds the operator's classes and their kinds to the settings, so that these are read and checked as one.
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
            Some(other) => return Err(format!("operator's file: classes[{i}].kind: {other} is no name")),
            None => {}
        }
        added.push(Value::Object(class));
    }
    if !added.is_empty() {
        settings.insert("skus".into(), json!(kinds));
        match settings.entry("classes").or_insert_with(|| json!([])) {
            Value::Array(classes) => classes.extend(added),
            _ => return Err("GW_CONFIG: setting classes: not a list".into()),
        }
    }
    Ok(())
}

fn front(raw: RawFront, site: &Site, memory: usize) -> Result<BeanstalkdFront, String> {
    let mut tubes: Vec<Tube> = Vec::new();
    for (i, tube) in raw.tubes.into_iter().enumerate() {
        let key = |field: &str| format!("operator's file: beanstalkd.tubes[{i}].{field}");
        check_tube(&key("tube"), &tube.tube)?;
        check_tube(&key("answers"), &tube.answers)?;
        if tubes.iter().any(|t| t.tube == tube.tube) {
            return Err(format!("{}: {:?} is mapped twice", key("tube"), tube.tube));
        }
        let class = position(&site.classes, &tube.class, &key("class"))?;
        let tenant = tube.tenant.map(|t| position(&site.tenants, &t, &key("tenant"))).transpose()?;
        let deadline = Duration::from_micros(site.settings.classes[class].deadline);
        let budget = tube.budget_ms.map_or(deadline, Duration::from_millis);
        if budget.is_zero() {
            return Err(format!("{}: must be above 0", key("budget_ms")));
        }
        tubes.push(Tube { tube: tube.tube, class, tenant, budget, answers: tube.answers });
    }
    if tubes.is_empty() {
        return Err("operator's file: beanstalkd.tubes: must hold at least one tube".into());
    }
    if let Some(t) = tubes.iter().find(|t| tubes.iter().any(|other| other.tube == t.answers)) {
        return Err(format!("operator's file: beanstalkd.tubes: {:?} takes jobs and answers", t.answers));
    }
    Ok(BeanstalkdFront {
        listen: raw.listen,
        path: raw.path,
        max_connections: raw.max_connections,
        max_jobs: raw.max_jobs,
        max_bytes: memory / 4,
        tubes,
    })
}

fn check_tube(key: &str, name: &str) -> Result<(), String> {
    // A dispatcher's name may be added to it.
    match is_name(name) && name.len() <= 128 {
        true => Ok(()),
        false => Err(format!("{key}: {name:?} is no name of a tube of 1 to 128 characters")),
    }
}

fn position(names: &[String], name: &str, key: &str) -> Result<usize, String> {
    names.iter().position(|n| n == name).ok_or_else(|| format!("{key}: the settings have no {name:?}"))
}

fn read_file<T: DeserializeOwned>(path: &str) -> Result<T, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?;
    parse(&text)
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
