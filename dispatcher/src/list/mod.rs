//! The worker list: how discovery words it, and how it is handed to the core. [`watch()`] asks for it where it has to be asked
//! for, [`follow`] where an agent is sent it; [`monitor`] keeps how far it can be relied on.

mod calls;
mod follow;
pub mod monitor;
mod watch;

pub use follow::follow;
pub use watch::watch;

use crate::facade::{ListKind, Listed, Stage};
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

/// Where discovery or the agent is; it may move.
type AddressReceiver = tokio::sync::watch::Receiver<Option<SocketAddr>>;

/// What asking for lists works with, wherever they come from.
pub struct ListSource {
    pub flows: Flows,
    pub client: HttpClient,
    pub discovery: AddressReceiver,
    pub names: NameTable,
    /// The version of the list that was told at the start.
    pub initial_version: Option<u64>,
    pub monitor: Rc<ListMonitor>,
    pub reports: Rc<DiscoveryReports>,
}

/// A list, as discovery words it.
#[derive(Clone, Debug, Deserialize)]
pub struct HostList {
    pub version: u64,
    pub full: bool,
    pub servers: Vec<Host>,
}

impl HostList {
    /// What to ask for changes after, the next time: nothing, where a discovery that counts anew has told of none. It has
    /// lost what it once said, and so its next word is to be its whole list.
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

/// One worker in a list.
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
    /// Its size beside that of others.
    #[serde(default)]
    pub weight: f64,
}

/// What a worker takes.
#[derive(Clone, Copy, Debug, Default, Deserialize, JsonSchema, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    #[default]
    Up,
    Draining,
    Removed,
}

/// The names of zones and kinds, by position.
#[derive(Clone, Debug)]
pub struct NameTable {
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    /// Who carries forwards to workers of a kind, where that is not the first.
    pub transports: FxHashMap<String, usize>,
}

impl NameTable {
    /// The position of a name. One that the settings don't hold gets a position of its own behind them.
    fn position(names: &mut Vec<String>, name: &str) -> u32 {
        let position = names.iter().position(|n| n == name).unwrap_or_else(|| {
            names.push(name.to_owned());
            names.len() - 1
        });
        position as u32
    }
}

/// Hands a list to the core.
pub fn apply_list(flows: &Flows, names: &mut NameTable, list: &HostList, kind: ListKind) {
    // A worker that a list names twice counts as its last entry says.
    let mut entries: FxHashMap<&str, ListEntry> = FxHashMap::default();
    for host in &list.servers {
        debug!(target = %host.id, zone = %host.zone, kind = %host.kind, state = ?host.state,
            started_ms = host.started_ms, size = host.weight, "listed");
        let listed = Listed {
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

/// Stands in for discovery where the operator's file lists the hosts: nothing ever changes. Never ends.
pub async fn serve_fixed_list(flows: Flows) {
    loop {
        flows.watch_requested().await;
        flows.update_list(ListKind::Delta, Vec::new());
    }
}
