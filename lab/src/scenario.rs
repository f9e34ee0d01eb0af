//! The scenario file: processes, workers, client load and a timeline of faults, in JSON. This module parses it, applies defaults
//! and validates it; all errors are reported together, each with its key.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::path::Path;

/// Maximum number of processes.
const MAX_MEMBERS: usize = 40;

/// A run: processes, workers, clients and a timeline of faults.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Number of lineroute processes, 1 to 40.
    pub members: usize,
    /// How long clients submit jobs, in seconds.
    pub seconds: f64,
    /// Time between the start of the processes and the first job, in milliseconds.
    #[serde(default = "settle_ms")]
    pub settle_ms: u64,
    pub workers: Vec<Workers>,
    pub classes: Vec<Class>,
    pub clients: Clients,
    /// How long a probe occupies a slot of a worker, in milliseconds; without it, workers may not be probed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub probe_cost_ms: Option<u64>,
    /// Whether members exchange overrides over UDP.
    #[serde(default)]
    pub talk: bool,
    /// The `fleet` key of the operator's file; `name`, `listen`, `members` and `key_file` are filled in.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fleet: Option<Map<String, Value>>,
    /// Further keys of the operator's file.
    #[serde(default)]
    pub operator: Map<String, Value>,
    /// Whether members keep a `state_dir` across restarts.
    #[serde(default)]
    pub state_dir: bool,
    /// Clock offset of each member, in milliseconds (`LINEROUTE_TEST_CLOCK`).
    #[serde(default)]
    pub clocks_ms: Vec<i64>,
    /// Clock rate error of each member, in parts per million.
    #[serde(default)]
    pub rates_ppm: Vec<i64>,
    /// How discovery handles calls.
    #[serde(default)]
    pub discovery: DiscoveryPlan,
    #[serde(default)]
    pub timeline: Vec<Trouble>,
    /// Points in the code at which processes stop, pause or kill themselves (test builds only).
    #[serde(default)]
    pub points: Vec<Point>,
    /// Rules whose violations are counted and do not fail the run.
    #[serde(default)]
    pub counted: Vec<String>,
}

/// How discovery handles calls. It processes them one at a time, except for calls that continue a watch.
#[derive(Clone, Copy, Debug, Default, Deserialize, JsonSchema, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct DiscoveryPlan {
    /// Processing time of a call, in milliseconds.
    pub call_ms: u64,
    /// Calls that have waited this long are refused, in milliseconds; 0 for never.
    pub patience_ms: u64,
}

/// Temporary faults of discovery.
#[derive(Clone, Copy, Debug, Deserialize, JsonSchema, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DiscoveryTrouble {
    /// Watches end, and calls are refused at once.
    Refuses,
    /// Watches end, and calls are held for `patience_ms`, or 2 s without it, and then refused.
    Holds,
    /// Nothing is answered; calls that arrive meanwhile are never answered.
    Silent,
    /// Open watches are never answered; new calls are.
    LosesWatches,
    /// Each call takes 20 times as long.
    Slow,
}

/// Failures of system calls, each of a kind that Linux documents.
#[derive(Clone, Copy, Debug, Deserialize, JsonSchema, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallTrouble {
    /// `accept` fails: the connection was aborted, or descriptors or buffers have run out.
    Accept,
    /// `socket` fails: descriptors or buffers have run out.
    Socket,
    /// `connect` fails: there is no free port or no route.
    Connect,
    /// Waits are interrupted.
    Wait,
    /// Reads return only part of the available data.
    ShortRead,
    /// Writes accept only part of the data.
    ShortWrite,
    /// Connection resets are reported as other errors.
    Resets,
}

/// A group of identical workers.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Workers {
    pub count: usize,
    /// Number of jobs that run at the same time; `queue` is the number that may wait.
    pub slots: usize,
    #[serde(default)]
    pub queue: usize,
    #[serde(default)]
    pub zone: usize,
    #[serde(default)]
    pub protocol: Protocol,
    /// Whether it refuses actions with a smaller fencing token than it has seen.
    #[serde(default)]
    pub knows_fences: bool,
}

/// The protocol that workers speak.
#[derive(Clone, Copy, Debug, Default, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Protocol {
    #[default]
    Platform,
    /// Plain HTTP/1.1: the response comes on the same connection.
    Http,
    /// A beanstalkd server from which the worker reserves jobs.
    Beanstalkd,
}

#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    pub name: String,
    pub effect: Effect,
    /// Its share of the jobs, relative to the other classes.
    pub part: f64,
    /// Mean processing time of a job at a worker; exponentially distributed.
    pub work_ms: f64,
    pub aim_ms: u64,
    pub deadline_ms: u64,
    /// Value of a job that is served within `aim_ms`; one served later counts `late_share` of it.
    #[serde(default = "one")]
    pub worth: f64,
    #[serde(default = "half")]
    pub late_share: f64,
    #[serde(default = "window")]
    pub key_ttl_ms: u64,
    /// The path to which its jobs are posted.
    #[serde(default = "path")]
    pub path: String,
}

/// A point in the program's code, as named in `LINEROUTE_TEST_STOPS`.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Point {
    /// The member; all members without it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub member: Option<usize>,
    pub point: String,
    /// Which passage of the point triggers it, counted from each start of the process.
    pub nth: u32,
    #[serde(rename = "do")]
    pub act: PointAct,
    /// How long until a stopped or paused process resumes or a killed one is restarted.
    pub for_ms: u64,
}

#[derive(Clone, Copy, Debug, Deserialize, JsonSchema, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PointAct {
    Stop,
    Kill,
    /// Only the thread that passes the point pauses.
    Pause,
}

/// Whether a job may run a second time.
#[derive(Clone, Copy, Debug, Deserialize, JsonSchema, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    Repeatable,
    ByKey,
    Once,
}

#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// Jobs per second, over all clients and members.
    pub rate: f64,
    /// Fraction of the jobs whose client disconnects once and retries with the same key.
    #[serde(default)]
    pub break_off: f64,
    /// Interval between a client's tries, in milliseconds.
    #[serde(default = "retry_ms")]
    pub retry_ms: u64,
    /// Whether clients honour `Retry-After`.
    #[serde(default = "yes")]
    pub heeds: bool,
    /// Average number per job of additional clients that send part of a request and then stall with the connection open.
    #[serde(default)]
    pub stalls: f64,
    /// How long the front end keeps sending clients to a dead member.
    #[serde(default = "notice_ms")]
    pub notice_ms: u64,
}

/// A fault at a given time, once or repeated.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
pub struct Trouble {
    /// Milliseconds after the first job.
    pub at_ms: u64,
    /// Interval of repetition, until the clients finish.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub every_ms: Option<u64>,
    /// Maximum random delay added to each occurrence.
    #[serde(default)]
    pub jitter_ms: u64,
    #[serde(flatten)]
    pub fault: Fault,
}

/// Selects a member: by number, at random, or the one whose action for a resource was accepted last.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Who {
    Any,
    Owner(String),
    #[serde(untagged)]
    Number(usize),
}

/// The other end of a link.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Peer {
    Member(usize),
    /// Every other member.
    Members,
    Worker(usize),
    /// A worker's calls back to the member.
    Calls(usize),
    Workers,
    Discovery,
}

/// The affected direction of a link; `out` is from the member.
#[derive(Clone, Copy, Debug, Default, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Direction {
    #[default]
    Both,
    Out,
    In,
}

#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
#[serde(tag = "fault", rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// SIGKILL; the process restarts after `back_ms`, with its `state_dir` unless `wipe` is set.
    Kill {
        member: Who,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        back_ms: Option<u64>,
        #[serde(default)]
        wipe: bool,
        /// Maximum file size after the restart, in kilobytes.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        disk_kb: Option<u64>,
    },
    /// SIGKILL for all members at once, with a restart.
    KillAll { back_ms: u64 },
    /// SIGTERM, with a restart after `back_ms`.
    Terminate {
        member: Who,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        back_ms: Option<u64>,
    },
    /// SIGSTOP, and SIGCONT after `for_ms`.
    Stop { member: Who, for_ms: u64 },
    /// Changes the conditions of a member's link. With neither `cut` nor `reset` the link is only delayed, throttled or lossy.
    Link {
        member: Who,
        to: Peer,
        #[serde(default)]
        direction: Direction,
        for_ms: u64,
        #[serde(default)]
        cut: bool,
        #[serde(default)]
        reset: bool,
        #[serde(default)]
        delay_ms: u64,
        /// Percentage of lost chunks or datagrams.
        #[serde(default)]
        loss: u32,
        /// Percentage of reordered datagrams.
        #[serde(default)]
        reorder: u32,
        /// Maximum rate in bytes per second.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        trickle: Option<u32>,
    },
    /// SIGHUP, sent `times` times in a row.
    Reload { member: Who, times: u32 },
    /// A fault of discovery itself, for all members.
    Discovery { trouble: DiscoveryTrouble, for_ms: u64 },
    /// A worker becomes unreachable and is removed from the list `late_ms` later. After `for_ms` it is reachable again, and is listed
    /// again `late_ms` after that.
    Vanish { worker: usize, for_ms: u64, late_ms: u64 },
    /// A worker is listed as draining, and as up again after `for_ms`.
    Drain { worker: usize, for_ms: u64 },
    /// A worker hangs: it reads and answers nothing.
    Hang { worker: usize, for_ms: u64 },
    /// `per_mille` of a member's system calls of one kind fail. Needs the shim.
    Calls { member: Who, trouble: CallTrouble, per_mille: u64, for_ms: u64 },
    /// Permanently steps a member's wall clock. Needs the shim.
    Clock { member: Who, step_ms: i64 },
}

fn settle_ms() -> u64 {
    300
}
fn one() -> f64 {
    1.0
}
fn half() -> f64 {
    0.5
}
fn path() -> String {
    "/api".into()
}
fn window() -> u64 {
    30_000
}
fn retry_ms() -> u64 {
    100
}
fn notice_ms() -> u64 {
    300
}
fn yes() -> bool {
    true
}

impl Scenario {
    /// Reads a scenario file.
    ///
    /// # Errors
    /// All errors, one per line, each with its key.
    pub fn read(path: &Path) -> Result<Scenario, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Scenario::parse(&text)
    }

    /// Parses the text of a scenario file.
    ///
    /// # Errors
    /// All errors, one per line, each with its key.
    pub fn parse(text: &str) -> Result<Scenario, String> {
        let mut json = serde_json::Deserializer::from_str(text);
        let scenario: Scenario = serde_path_to_error::deserialize(&mut json)
            .map_err(|e| format!("{}: {}", e.path().clone(), e.into_inner()))?;
        let errors = scenario.validate();
        if errors.is_empty() {
            Ok(scenario)
        } else {
            Err(errors.join("\n"))
        }
    }

    fn validate(&self) -> Vec<String> {
        let mut errors = Vec::new();
        let mut must = |kept: bool, words: String| {
            if !kept {
                errors.push(words);
            }
        };
        let workers = self.worker_count();
        must((1..=MAX_MEMBERS).contains(&self.members), format!("members: must be 1 to {MAX_MEMBERS}"));
        must(self.seconds > 0.0 && self.seconds <= 3600.0, "seconds: must be above 0, 3600 at most".into());
        must(workers > 0, "workers: must not be empty".into());
        must(!self.classes.is_empty(), "classes: must not be empty".into());
        must(self.clients.rate > 0.0, "clients.rate: must be above 0".into());
        for (i, class) in self.classes.iter().enumerate() {
            must(class.part >= 0.0, format!("classes[{i}].part: must not be below 0"));
            must(
                class.deadline_ms >= class.aim_ms,
                format!("classes[{i}].deadline_ms: must not be below aim_ms"),
            );
        }
        for (i, sort) in self.workers.iter().enumerate() {
            must(sort.slots > 0, format!("workers[{i}].slots: must be above 0"));
        }
        for rule in &self.counted {
            must(crate::checker::RULES.contains(&rule.as_str()), format!("counted: unknown rule {rule:?}"));
        }
        for (i, point) in self.points.iter().enumerate() {
            must(point.nth > 0, format!("points[{i}].nth: must be above 0"));
            let plain = point.point.bytes().all(|b| b.is_ascii_alphanumeric() || b".-_".contains(&b));
            must(plain, format!("points[{i}].point: may contain only letters, digits, `.`, `-` and `_`"));
            let exists = point.member.is_none_or(|m| m < self.members);
            must(exists, format!("points[{i}].member: must be below {}", self.members));
        }
        for (i, trouble) in self.timeline.iter().enumerate() {
            let key = |field: &str| format!("timeline[{i}].{field}");
            must(trouble.every_ms != Some(0), format!("{}: must be above 0", key("every_ms")));
            let (who, peer) = match &trouble.fault {
                Fault::Kill { member, .. }
                | Fault::Terminate { member, .. }
                | Fault::Stop { member, .. }
                | Fault::Calls { member, .. }
                | Fault::Clock { member, .. }
                | Fault::Reload { member, .. } => (Some(member), None),
                Fault::Link { member, to, .. } => (Some(member), Some(to)),
                Fault::Drain { worker, .. } | Fault::Hang { worker, .. } | Fault::Vanish { worker, .. } => {
                    must(*worker < workers, format!("{}: must be below {workers}", key("worker")));
                    (None, None)
                }
                Fault::KillAll { .. } | Fault::Discovery { .. } => (None, None),
            };
            if let Some(Who::Number(number)) = who {
                must(*number < self.members, format!("{}: must be below {}", key("member"), self.members));
            }
            match peer {
                Some(Peer::Member(m)) => must(*m < self.members, format!("{}: no such member", key("to"))),
                Some(Peer::Worker(w) | Peer::Calls(w)) => {
                    must(*w < workers, format!("{}: no such worker", key("to")));
                }
                _ => {}
            }
        }
        errors
    }

    /// Number of workers in all groups.
    pub fn worker_count(&self) -> usize {
        self.workers.iter().map(|w| w.count).sum()
    }

    /// The group of each worker, by worker number.
    pub fn each_worker(&self) -> Vec<Workers> {
        self.workers.iter().flat_map(|w| std::iter::repeat_n(w.clone(), w.count)).collect()
    }

    pub fn class(&self, name: &str) -> Option<&Class> {
        self.classes.iter().find(|c| c.name == name)
    }

    /// Whether members must be started with the shim.
    pub fn needs_shim(&self) -> bool {
        self.timeline.iter().any(|t| matches!(t.fault, Fault::Calls { .. } | Fault::Clock { .. }))
    }

    /// The points that apply to a member.
    pub fn points_of(&self, member: usize) -> impl Iterator<Item = &Point> {
        self.points.iter().filter(move |p| p.member.is_none_or(|m| m == member))
    }

    /// Maximum delay that link faults and stops may add, in milliseconds; timing rules allow for it.
    pub fn slowest_link_ms(&self) -> u64 {
        let late = self.timeline.iter().map(|t| match &t.fault {
            Fault::Link { delay_ms, cut, for_ms, loss, .. } => {
                delay_ms + if *cut { *for_ms } else { 0 } + if *loss > 0 { 6_200 } else { 0 }
            }
            Fault::Stop { for_ms, .. } => *for_ms,
            _ => 0,
        });
        let points = self.points.iter().filter(|p| p.act == PointAct::Stop).map(|p| p.for_ms);
        late.chain(points).max().unwrap_or(0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MINIMAL: &str = r#"{"members": 3, "seconds": 1, "workers": [{"count": 2, "slots": 1}],
        "classes": [{"name": "a", "effect": "once", "part": 1, "work_ms": 5, "aim_ms": 50, "deadline_ms": 500}],
        "clients": {"rate": 10}"#;

    #[test]
    fn all_errors_are_reported_together_with_their_keys() {
        assert!(Scenario::parse(&format!("{MINIMAL}}}")).is_ok());
        let timeline = r#", "counted": ["none"], "timeline": [
            {"at_ms": 1, "fault": "stop", "member": 7, "for_ms": 5},
            {"at_ms": 1, "fault": "kill", "member": "any"},
            {"at_ms": 1, "fault": "kill", "member": {"owner": "zone"}},
            {"at_ms": 1, "fault": "link", "member": 0, "to": {"worker": 4}, "for_ms": 5}]}"#;
        let errors = Scenario::parse(&format!("{MINIMAL}{timeline}")).expect_err("three errors");
        let keys: Vec<&str> = errors.lines().filter_map(|l| l.split(':').next()).collect();
        assert_eq!(keys, ["counted", "timeline[0].member", "timeline[3].to"]);
        let unknown = Scenario::parse(&format!("{MINIMAL}, \"secnds\": 3}}")).expect_err("an unknown key");
        assert!(unknown.contains("secnds"), "{unknown}");
    }
}
