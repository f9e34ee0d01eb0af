//! The worker list: its representation in discovery, and its transfer to the core. [`watch()`] polls discovery,
//! [`follow`] reads from an agent that receives the list by push; [`monitor`] tracks how far the list can be
//! relied on.

mod calls;
mod follow;
pub mod monitor;
mod watch;

pub use follow::follow;
pub use watch::watch;

use crate::facade::{ListKind, ListedTarget, Stage};
use crate::flow::{Endpoint, Flows, ListEntry};
use crate::peers::discovery_reports::DiscoveryReports;
use crate::targets::client::HttpClient;
use monitor::ListMonitor;
use rustc_hash::FxHashMap;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::rc::Rc;
use tracing::debug;

/// The address of discovery or of the agent, which may change.
type AddressReceiver = tokio::sync::watch::Receiver<Option<SocketAddr>>;

/// What is needed to request lists, from either source.
pub struct ListSource {
    pub flows: Flows,
    pub client: HttpClient,
    pub discovery: AddressReceiver,
    pub names: NameTable,
    /// The version of the list that was loaded at the start.
    pub initial_version: Option<u64>,
    pub monitor: Rc<ListMonitor>,
    pub reports: Rc<DiscoveryReports>,
}

/// A list, in discovery's representation.
#[derive(Clone, Debug, Deserialize)]
pub struct HostList {
    pub version: u64,
    pub full: bool,
    pub servers: Vec<Host>,
}

impl HostList {
    /// The version after which changes are requested next. `None` if discovery has restarted its version
    /// numbers and sent only changes: it has lost its earlier state, so the whole list is requested.
    fn next_after(&self, before: Option<u64>) -> Option<u64> {
        Some(self.version).filter(|version| self.full || before.is_none_or(|before| *version >= before))
    }

    fn kind(&self) -> ListKind {
        if self.full {
            ListKind::Full
        } else {
            ListKind::Delta
        }
    }
}

/// A worker in the list.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
pub struct Host {
    pub id: String,
    pub addr: SocketAddr,
    #[serde(default)]
    pub zone: String,
    #[serde(default)]
    pub kind: String,
    #[serde(default)]
    pub cell: u32,
    #[serde(default)]
    pub state: State,
    #[serde(default)]
    pub started_ms: u64,
    /// Its size relative to other workers.
    #[serde(default)]
    pub weight: f64,
}

/// Whether a worker takes new jobs.
#[derive(Clone, Copy, Debug, Default, Deserialize, JsonSchema, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    #[default]
    Up,
    Draining,
    Removed,
}

/// The names of zones and kinds, by index.
#[derive(Clone, Debug)]
pub struct NameTable {
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    /// The index of the [`crate::flow::Target`] for workers of a kind, unless it is the first one.
    pub transports: FxHashMap<String, usize>,
}

impl NameTable {
    /// The index of a name. A name that is missing in the settings is appended.
    fn position(names: &mut Vec<String>, name: &str) -> u32 {
        let position = names.iter().position(|n| n == name).unwrap_or_else(|| {
            names.push(name.to_owned());
            names.len() - 1
        });
        position as u32
    }
}

/// Passes a list to the core.
pub fn apply_list(flows: &Flows, names: &mut NameTable, list: &HostList, kind: ListKind) {
    // If a list names a worker twice, the last entry applies.
    let mut entries: FxHashMap<&str, ListEntry> = FxHashMap::default();
    for host in &list.servers {
        debug!(target = %host.id, zone = %host.zone, kind = %host.kind, state = ?host.state,
            started_ms = host.started_ms, size = host.weight, "worker list entry");
        let listed = ListedTarget {
            target: flows.target_id(&host.id),
            zone: NameTable::position(&mut names.zones, &host.zone),
            kind: NameTable::position(&mut names.kinds, &host.kind),
            cell: host.cell,
            stage: match host.state {
                State::Up => Stage::Ready,
                State::Draining => Stage::Draining,
                State::Removed => Stage::Gone,
            },
            started_ms: host.started_ms,
            size: host.weight,
        };
        let transport = names.transports.get(&host.kind).copied().unwrap_or(0);
        let (zone, kind) = (host.zone.as_str().into(), host.kind.as_str().into());
        let endpoint = Endpoint { addr: host.addr, transport };
        entries.insert(&host.id, ListEntry { listed, endpoint, zone, kind });
    }
    let mut entries: Vec<_> = entries.into_values().collect();
    entries.sort_by_key(|e| e.listed.target.0);
    flows.update_list(kind, entries);
}

/// Replaces discovery when the hosts are listed in the operator's file, where nothing ever changes. Never
/// returns.
pub async fn serve_fixed_list(flows: Flows) {
    loop {
        flows.watch_requested().await;
        flows.update_list(ListKind::Delta, Vec::new());
    }
}
