//! The operator's file as it is written. Its JSON Schema is generated from these types.

use crate::list::Host;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::net::SocketAddr;

/// Settings of the operator, in addition to the platform's configuration. All of them are optional.
#[derive(Debug, Default, Deserialize, JsonSchema, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Operator {
    /// Classes in addition to those of the settings, in the same format. `kind` binds a class to a kind of worker.
    pub classes: Vec<Map<String, Value>>,
    /// A fixed list of workers, in the format of discovery; discovery is then not used.
    pub hosts: Vec<Host>,
    /// Request paths in addition to `/api`.
    pub routes: Vec<RawRoute>,
    /// Kinds of worker that use another protocol than the platform's.
    pub workers: Vec<RawWorkers>,
    /// The listener for beanstalkd clients.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub beanstalkd: Option<RawBeanstalkdListener>,
    /// The admin listener, through which operators inspect and control this dispatcher.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub admin: Option<RawAdmin>,
    /// Messages exchanged with the `peers` of the platform's configuration.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub peers: Option<RawPeers>,
    /// The fleet that this dispatcher is a member of: membership and ownership of resources.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fleet: Option<RawFleet>,
    /// Limits of overrides.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub overrides: Option<RawOverrides>,
    /// A directory used by this dispatcher only, in which overrides persist across restarts.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub state_dir: Option<String>,
}

/// A request path and the class of the jobs posted to it.
#[derive(Debug, Default, Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawRoute {
    pub path: String,
    #[serde(default, rename = "match")]
    pub matching: Matching,
    pub class: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub budget_ms: Option<u64>,
    /// Request bodies are streamed instead of buffered; only for workers that use plain HTTP.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub stream: bool,
    /// Maximum size of a request body in bytes (65,536; unlimited where bodies are streamed).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_body: Option<u64>,
    /// Maximum time in milliseconds without progress by a client or worker while a body is transferred (30,000).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idle_ms: Option<u64>,
    /// Minimum transfer rate of a client or worker in bytes per second, averaged over 5 s (1,024; 0: no minimum).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub least_rate: Option<u64>,
}

/// How a route's path is compared with that of a request: as a whole or as a prefix.
#[derive(Clone, Copy, Debug, Default, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Matching {
    Exact,
    #[default]
    Prefix,
}

/// The protocol of a kind of worker.
#[derive(Clone, Copy, Debug, Default, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Protocol {
    /// Takes jobs from its beanstalkd server.
    #[default]
    Beanstalkd,
    /// Answers HTTP/1.1 requests on the connection.
    Http,
}

/// A kind of worker and its protocol.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawWorkers {
    pub kind: String,
    #[serde(default)]
    pub protocol: Protocol,
    /// Beanstalkd: the tube that jobs are put into (`work`).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub work_tube: Option<String>,
    /// Beanstalkd: the tube that answers are taken from (`answers`).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answers_tube: Option<String>,
    /// HTTP: replaces the `Host` header of the client.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<String>,
    /// HTTP: whether a `Via` header with this dispatcher's name is added (true).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub via: Option<bool>,
    /// HTTP: whether `X-Forwarded-For`, `-Host` and `-Proto` are sent (true).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub x_forwarded: Option<bool>,
    /// HTTP: whether `Forwarded` is sent (false).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub forwarded: Option<bool>,
    /// HTTP: maximum bytes of a request body that are buffered for a further attempt (65,536).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub replay: Option<usize>,
}

/// The listener for beanstalkd clients.
#[derive(Debug, Deserialize, JsonSchema, Serialize)]
#[schemars(rename = "RawFront")]
#[serde(deny_unknown_fields)]
pub struct RawBeanstalkdListener {
    pub listen: SocketAddr,
    /// The request path of jobs that are forwarded to workers that use HTTP.
    #[serde(default = "default_path")]
    pub path: String,
    #[serde(default = "default_max_connections")]
    pub max_connections: usize,
    #[serde(default = "default_max_jobs")]
    pub max_jobs: usize,
    pub tubes: Vec<RawTube>,
}

/// A tube that clients put jobs into, with the class and tenant of these jobs.
#[derive(Debug, Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawTube {
    pub tube: String,
    pub class: String,
    #[serde(default)]
    pub tenant: Option<String>,
    #[serde(default)]
    pub budget_ms: Option<u64>,
    pub answers: String,
}

/// The admin listener.
#[derive(Debug, Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawAdmin {
    /// A loopback address with its port, or the path of a Unix socket, which starts with `/`.
    pub listen: String,
    /// File with one bearer key or two, one per line; required unless `listen` is a Unix socket.
    #[serde(default)]
    pub key_file: Option<String>,
    /// Maximum number of concurrent calls.
    #[serde(default = "default_admin_connections")]
    pub max_connections: usize,
}

/// Messages between dispatchers.
#[derive(Debug, Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawPeers {
    /// File with the key as 64 hexadecimal digits; during key rotation with two keys, one per line.
    pub key_file: String,
}

/// Membership and ownership among the dispatchers of a fleet.
#[derive(Debug, Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawFleet {
    /// This dispatcher's name among `members`.
    pub name: String,
    /// TCP address on which this member accepts links from other members.
    pub listen: SocketAddr,
    /// All members, including this one. Names must be the same at all members; addresses may differ.
    pub members: Vec<RawMember>,
    /// Names of the members that vote on ownership: 7 at most; by default the first five names. Each needs a
    /// `state_dir`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub voters: Option<Vec<String>>,
    /// File with the key of links between members as 64 hexadecimal digits; during key rotation with two keys.
    pub key_file: String,
    /// Duration of an ownership lease in milliseconds (1,500); must be the same at all members.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lease_ms: Option<u64>,
    /// Maximum error of a clock's rate, per mille (20); must be the same at all members.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub drift: Option<u32>,
    /// For each zone, a single member probes suspect workers on behalf of all.
    #[serde(default)]
    pub one_prober: bool,
}

/// A member of the fleet.
#[derive(Debug, Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawMember {
    pub name: String,
    pub addr: SocketAddr,
}

/// Limits of overrides.
#[derive(Debug, Deserialize, JsonSchema, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RawOverrides {
    /// Maximum duration of an override, such as `30m` or `16h`; `72h` at most.
    pub longest: String,
}

impl Default for RawOverrides {
    fn default() -> Self {
        RawOverrides { longest: "16h".into() }
    }
}

fn default_path() -> String {
    "/api".into()
}

fn default_max_connections() -> usize {
    64
}

fn default_max_jobs() -> usize {
    10_000
}

fn default_admin_connections() -> usize {
    8
}
