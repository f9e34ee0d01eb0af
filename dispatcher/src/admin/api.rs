//! JSON types of the admin API, shared by the admin listener and the command line.

use crate::targets::http::UpdateCounts;
use lineroute_control::overrides::{Effect, OverrideEntry, Scope, Standing};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A worker, and the overrides in force for it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WorkerStatus {
    pub worker: String,
    pub addr: String,
    pub zone: String,
    pub kind: String,
    /// `up` or `draining`.
    pub state: String,
    /// Forwards of this dispatcher that the worker has not answered yet.
    pub forwards: usize,
    pub weight: f64,
    pub out_of_service: bool,
    /// `CLASS` or `CLASS/TENANT`, for each pin to this worker.
    pub pinned: Vec<String>,
}

/// `GET /workers`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Workers {
    pub dispatcher: String,
    pub workers: Vec<WorkerStatus>,
}

/// An override and whether it is in force. Times are Unix time in milliseconds.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct OverrideStatus {
    pub id: String,
    pub worker: String,
    /// `weight`, `out-of-service` or `pinned`.
    pub kind: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weight: Option<f64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenant: Option<String>,
    pub by: String,
    pub why: String,
    /// The dispatcher where it was set.
    pub at: String,
    pub set_ms: u64,
    pub until_ms: u64,
    pub left_ms: u64,
    /// `in force`, `no such worker`, `worker out of service` or `beaten`.
    pub standing: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub beaten: Option<SupersededBy>,
}

/// The override that supersedes another one.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SupersededBy {
    pub id: String,
    pub by: String,
    pub at_ms: u64,
}

impl OverrideStatus {
    /// Describes an entry of the table at the time `now`.
    pub fn from_entry(line: &OverrideEntry, now: u64) -> OverrideStatus {
        let record = &line.record;
        let (class, tenant) = match &record.slot.scope {
            Scope::Pinned { class, tenant } => {
                (Some(class.to_string()), tenant.as_ref().map(|t| t.to_string()))
            }
            _ => (None, None),
        };
        let (standing, beaten) = match &line.standing {
            Standing::InForce => ("in force", None),
            Standing::UnknownWorker => ("no such worker", None),
            Standing::WorkerOutOfService => ("worker out of service", None),
            Standing::Superseded { id, by, at } => {
                ("beaten", Some(SupersededBy { id: id.clone(), by: by.to_string(), at_ms: *at }))
            }
        };
        OverrideStatus {
            id: record.stamp.to_string(),
            worker: record.slot.worker.to_string(),
            kind: record.slot.scope.word().into(),
            weight: match record.effect {
                Effect::Set(weight) => weight.map(|w| w.factor()),
                Effect::Clear => None,
            },
            class,
            tenant,
            by: record.by.to_string(),
            why: record.why.to_string(),
            at: record.stamp.origin.to_string(),
            set_ms: record.stamp.wall,
            until_ms: record.until,
            left_ms: record.until.saturating_sub(now),
            standing: standing.into(),
            beaten,
        }
    }
}

/// `GET /overrides`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct OverrideList {
    pub dispatcher: String,
    pub overrides: Vec<OverrideStatus>,
}

/// `POST /overrides`: one of `weight`, `out_of_service` and `pin`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SetOrder {
    pub worker: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weight: Option<f64>,
    #[serde(default)]
    pub out_of_service: bool,
    /// `CLASS` or `CLASS/TENANT`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pin: Option<String>,
    pub until_ms: u64,
    pub by: String,
    pub why: String,
}

/// `DELETE /overrides/ID`; the body may be left out.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClearOrder {
    pub by: String,
    pub why: String,
}

impl Default for ClearOrder {
    fn default() -> Self {
        ClearOrder { by: "operator".into(), why: "cleared".into() }
    }
}

/// Response to `POST /overrides` and `DELETE /overrides/ID`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Done {
    pub id: String,
    /// Whether it was synced to disk in time; `None` without an overrides log.
    pub saved: Option<bool>,
    /// The override that was set, and whether it is in force.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub set: Option<OverrideStatus>,
}

/// `GET /flows`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct FlowCounts {
    pub dispatcher: String,
    /// Flows that are not answered yet.
    pub open: usize,
    /// Of these, flows that wait for the end of their delay.
    #[serde(default)]
    pub delayed: usize,
    /// Forwards that are not answered yet.
    pub forwards: usize,
    /// Bytes of buffered bodies.
    pub bytes: usize,
    /// Bodies being streamed, and the bytes of them that are buffered.
    pub streams: usize,
    pub stream_bytes: usize,
    /// Responses that broke off while they were streamed, since the start.
    pub cut_short: u64,
    /// Open flows by class.
    pub classes: BTreeMap<String, usize>,
    /// State of the worker list.
    pub list: WorkerListStatus,
    /// Permits, and violations of their rules.
    pub permits: PermitCounts,
    /// Job status updates of the platform's workers.
    #[serde(default)]
    pub job_updates: UpdateCounts,
    /// Datagrams exchanged with peers, if that is configured.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peers: Option<PeerCounts>,
}

/// The state of the worker list.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WorkerListStatus {
    /// `unconfirmed`, `confirmed`, `watched`, `unreachable`, `turned_away` or `expired`.
    pub state: String,
    /// The version in use.
    pub version: Option<u64>,
    /// Milliseconds since the last answer from discovery.
    pub confirmed_ms_ago: Option<u64>,
    /// How often the list has stopped being valid, since the start.
    pub expired: u64,
    /// The shortest call to discovery that was answered without waiting for a change: an upper bound for what one call costs
    /// there. Multiplied by the number of dispatchers, it bounds how long a burst of calls from all of them lasts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shortest_call_ms: Option<u64>,
    /// Reports by peers that discovery had answered them, since the start.
    #[serde(default)]
    pub peer_reports: u64,
    /// How many of these reports shortened the validity of the list.
    #[serde(default)]
    pub shortened_by_peers: u64,
}

/// Permits since the start.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PermitCounts {
    /// Permits to write the first bytes of a forward to a worker.
    pub sent: u64,
    /// How many of them were used while the worker list was not valid.
    pub sent_on_invalid_list: u64,
    /// Refused permits, by `ACT.REASON`.
    pub refused: BTreeMap<String, u64>,
    /// Violations of the permit rules by this process.
    pub violations: BTreeMap<String, u64>,
}

/// Datagrams and records since the start.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct PeerCounts {
    pub sent: u64,
    pub taken: u64,
    pub learnt: u64,
    pub malformed: u64,
    pub unauthentic: u64,
    pub replayed: u64,
    pub strangers: u64,
    pub refused: u64,
}

/// An error response.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Fault {
    pub error: String,
    /// The field that the error is about.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
}
