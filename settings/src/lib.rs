//! Parses the platform's settings object into the module's [`Settings`]. Unknown keys are ignored; missing
//! ones get the defaults defined here.

use lineroute::{
    Allowed, Class, Discovery, Effect, Group, KindId, Micros, Prices, ReportSource, Rules, Settings, Tenant,
    ZoneId,
};
use serde::Deserialize;

/// The module's settings, and what only a program with real sockets needs: the names, which protocols use
/// where the simulator's protocol has indices, and the connect timeout.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    pub settings: Settings,
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub connect_timeout: Micros,
    /// How long sends to a draining worker may continue after the drain was announced.
    pub drain_grace: Micros,
    /// Whether dispatchers may send datagrams to each other.
    pub peer_messages_allowed: bool,
    /// Index of this dispatcher in its tier.
    pub self_index: Option<u32>,
    /// Price of a full message of 256 bytes per request, delivered once, as a fraction of the request's
    /// worth.
    pub peer_message_price: f64,
}

#[derive(Deserialize)]
struct Raw {
    #[serde(default)]
    azs: Vec<String>,
    #[serde(default)]
    skus: Vec<String>,
    #[serde(default = "one")]
    instances: u32,
    classes: Vec<RawClass>,
    #[serde(default)]
    tenants: Vec<RawTenant>,
    #[serde(default)]
    discovery: Option<String>,
    #[serde(default)]
    report: RawReport,
    #[serde(default)]
    allowed: RawAllowed,
    #[serde(default)]
    rules: RawRules,
    #[serde(default)]
    specifics: RawSpecifics,
    #[serde(default)]
    zone: Option<u32>,
    #[serde(default)]
    self_index: Option<u32>,
    #[serde(default)]
    prices: RawPrices,
    #[serde(default)]
    blend: RawBlend,
    #[serde(default)]
    worth_by: Option<String>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawPrices {
    connection: f64,
    handshake: f64,
    cross_zone: f64,
    peer: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawBlend {
    slow_end: f64,
    tail_slack: Option<f64>,
}

#[derive(Deserialize)]
struct RawClass {
    #[serde(default)]
    name: Option<String>,
    aim_ms: f64,
    deadline_ms: f64,
    #[serde(default = "unit")]
    credit: f64,
    #[serde(default)]
    late_share: f64,
    effect: String,
    #[serde(default)]
    group: Option<String>,
    #[serde(default)]
    key_ttl_ms: f64,
    #[serde(default)]
    aim_stretch: Option<f64>,
    #[serde(default)]
    azs_only: Option<Vec<u32>>,
    #[serde(default)]
    skus_open: Option<Vec<u32>>,
}

#[derive(Deserialize)]
struct RawTenant {
    #[serde(default)]
    name: Option<String>,
    #[serde(default)]
    quota_per_s: f64,
}

#[derive(Deserialize, Default)]
struct RawReport {
    #[serde(default)]
    source: Option<String>,
    /// Names of the reported figures; `None` for all of them.
    #[serde(default)]
    fields: Option<Vec<String>>,
}

#[derive(Deserialize)]
#[serde(default)]
struct RawAllowed {
    cancel: bool,
    may_probe: bool,
    retry_after: bool,
    max_retry_after_ms: f64,
    max_attempts: u32,
    most_held: usize,
    parallel_tries: bool,
    keepalive_ms: f64,
    connect_timeout_ms: f64,
    peers: bool,
}

impl Default for RawAllowed {
    fn default() -> Self {
        // What is not granted is not allowed.
        RawAllowed {
            cancel: false,
            may_probe: false,
            retry_after: false,
            max_retry_after_ms: 0.0,
            max_attempts: 1,
            most_held: 20_000,
            parallel_tries: false,
            keepalive_ms: 0.0,
            connect_timeout_ms: 1_000.0,
            peers: false,
        }
    }
}

#[derive(Deserialize)]
#[serde(default)]
struct RawRules {
    ask_within_ms: f64,
    drain_grace_ms: f64,
    cold_from: f64,
    warm_up_ms: f64,
    overload_factor: f64,
    overload_for_ms: f64,
    may_shed_begun: bool,
    dropped_stay_open: bool,
}

impl Default for RawRules {
    fn default() -> Self {
        RawRules {
            ask_within_ms: 10_000.0,
            drain_grace_ms: 750.0,
            cold_from: 0.1,
            warm_up_ms: 30_000.0,
            overload_factor: 2.0,
            overload_for_ms: 1_000.0,
            may_shed_begun: false,
            dropped_stay_open: false,
        }
    }
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawSpecifics {
    class_kind: Vec<i64>,
    class_stretch: Vec<f64>,
    progress_ms: f64,
    tells_start: bool,
}

/// Report fields that count jobs, as named by the settings and by the protocol.
const JOB_COUNT_FIELDS: [&str; 4] = ["concurrent", "depth", "inflight", "queue"];

fn one() -> u32 {
    1
}

fn unit() -> f64 {
    1.0
}

fn micros(ms: f64) -> Micros {
    (ms * 1000.0).round() as Micros
}

/// Parses and validates the settings; an error names the key.
pub fn parse(text: &str) -> Result<PlatformSettings, String> {
    let mut json = serde_json::Deserializer::from_str(text);
    let raw: Raw = serde_path_to_error::deserialize(&mut json).map_err(|e| {
        let path = e.path().to_string();
        format!("setting {path}: {}", e.into_inner())
    })?;
    let mut classes = Vec::with_capacity(raw.classes.len());
    for (i, c) in raw.classes.iter().enumerate() {
        let group = match c.group.as_deref() {
            None | Some("all") => Group::All,
            Some("zone") => Group::Zone,
            Some("cell") => Group::Cell,
            Some(other) => return Err(format!("setting classes[{i}].group: unknown value {other:?}")),
        };
        let effect = match c.effect.as_str() {
            "repeatable" => Effect::Repeatable,
            "by_key" => Effect::ByKey { group, ttl: micros(c.key_ttl_ms) },
            "once" => Effect::Once,
            other => return Err(format!("setting classes[{i}].effect: unknown value {other:?}")),
        };
        let kind = raw.specifics.class_kind.get(i).and_then(|&k| u32::try_from(k).ok());
        let stretch = c.aim_stretch.or_else(|| raw.specifics.class_stretch.get(i).copied());
        classes.push(Class {
            aim: micros(c.aim_ms),
            stretch: stretch.unwrap_or(0.0),
            deadline: micros(c.deadline_ms),
            late_share: c.late_share,
            worth: c.credit,
            effect,
            kind: kind.map(KindId),
            zones: c.azs_only.as_ref().map(|z| z.iter().copied().map(ZoneId).collect()),
            kinds: c.skus_open.as_ref().map(|k| k.iter().copied().map(KindId).collect()),
        });
    }
    let settings = Settings {
        instances: raw.instances,
        classes,
        tenants: raw.tenants.iter().map(|t| Tenant { quota_per_s: t.quota_per_s }).collect(),
        discovery: match raw.discovery.as_deref() {
            None | Some("push") => Discovery::Push,
            Some("ask") => Discovery::Subscribe,
            Some(other) => return Err(format!("setting discovery: unknown value {other:?}")),
        },
        report_source: match raw.report.source.as_deref() {
            None | Some("silent") => ReportSource::None,
            Some("piggyback") => ReportSource::Responses,
            Some("pull") => ReportSource::Probes,
            Some(other) => return Err(format!("setting report.source: unknown value {other:?}")),
        },
        allowed: Allowed {
            cancel: raw.allowed.cancel,
            probe: raw.allowed.may_probe,
            max_retry_after: if raw.allowed.retry_after { micros(raw.allowed.max_retry_after_ms) } else { 0 },
            max_attempts: raw.allowed.max_attempts,
            most_held: raw.allowed.most_held,
            parallel: raw.allowed.parallel_tries,
            keepalive: micros(raw.allowed.keepalive_ms),
        },
        rules: Rules {
            ask_within: micros(raw.rules.ask_within_ms),
            cold_from: raw.rules.cold_from,
            warm_up: micros(raw.rules.warm_up_ms),
            overload_factor: raw.rules.overload_factor,
            overload_for: micros(raw.rules.overload_for_ms),
            may_shed_begun: raw.rules.may_shed_begun,
            dropped_stay_open: raw.rules.dropped_stay_open,
        },
        reports_count_jobs: raw
            .report
            .fields
            .as_ref()
            .is_none_or(|f| f.iter().any(|f| JOB_COUNT_FIELDS.contains(&f.as_str()))),
        progress_interval: micros(raw.specifics.progress_ms),
        tells_start: raw.specifics.tells_start,
        zone: raw.zone.map(ZoneId),
        worth_by_work: match raw.worth_by.as_deref() {
            None | Some("request") => false,
            Some("work") => true,
            Some(other) => return Err(format!("setting worth_by: unknown value {other:?}")),
        },
        prices: Prices {
            connection: raw.prices.connection,
            handshake: raw.prices.handshake,
            cross_zone: raw.prices.cross_zone,
        },
        tail_slack: raw.blend.tail_slack.filter(|_| raw.blend.slow_end > 0.0),
    };
    settings.validate().map_err(|e| e.to_string())?;
    let class_names = raw.classes.iter().enumerate().map(|(i, c)| c.name.clone().unwrap_or(i.to_string()));
    let tenant_names = raw.tenants.iter().enumerate().map(|(i, t)| t.name.clone().unwrap_or(i.to_string()));
    Ok(PlatformSettings {
        classes: class_names.collect(),
        tenants: tenant_names.collect(),
        zones: raw.azs,
        kinds: raw.skus,
        connect_timeout: micros(raw.allowed.connect_timeout_ms),
        drain_grace: micros(raw.rules.drain_grace_ms),
        peer_messages_allowed: raw.allowed.peers,
        self_index: raw.self_index,
        peer_message_price: raw.prices.peer,
        settings,
    })
}
