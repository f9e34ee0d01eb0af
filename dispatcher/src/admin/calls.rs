//! The operations behind the admin listener and the admin console.

use super::api::{
    ClearOrder, Done, Fault, FlowCounts, OverrideList, OverrideStatus, PeerCounts, PermitCounts, SetOrder,
    WorkerListStatus, WorkerStatus, Workers,
};
use crate::body::StreamBudget;
use crate::facade::Stage;
use crate::fleet::api::ReplaceVoterRequest;
use crate::flow::{Flows, PermitStatsReport};
use crate::listeners::http::ListenerLifecycle;
use crate::memory::MemoryBudget;
use crate::overrides::{now, Overrides};
use crate::siblings::Siblings;
use crate::targets::http::HttpTargets;
use crate::targets::shared_tubes::SharedTubes;
use crate::{fleet, peers, store};
use actix_http::{Method, StatusCode};
use lineroute_control::overrides::{Effect, InvalidRequest, OverrideRequest, Scope, Slot, Stamp};
use lineroute_control::peers::Counts;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::rc::Rc;
use std::time::Duration;

/// How long a response waits for the override to be synced to disk.
const SYNC_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a console reply waits for the override to be appended to the log, and again as long if the siblings have not
/// confirmed it. Replies are due within 1 s, even from a process that was stalled for a moment.
const APPEND_TIMEOUT: Duration = Duration::from_millis(300);

/// Author of overrides that were set over the admin console. It is stored with them and shown to operators, so it keeps its
/// original value.
const CONSOLE_AUTHOR: &str = "door";

/// Everything that admin calls may read or change.
pub struct AdminService {
    pub dispatcher: String,
    pub classes: Vec<String>,
    pub flows: Flows,
    pub targets: HttpTargets,
    pub tubes: SharedTubes,
    pub budgets: StreamBudget,
    /// Memory for requests and results.
    pub memory: Rc<MemoryBudget>,
    pub overrides: Overrides,
    pub peers: Option<peers::Handle>,
    pub store: Option<store::Handle>,
    pub fleet: Option<fleet::Handle>,
    /// The other processes of this dispatcher; `None` if there can't be any.
    pub siblings: Option<Rc<Siblings>>,
    pub lifecycle: Rc<ListenerLifecycle>,
    /// The longest duration of an override, in milliseconds; a cordon lasts this long unless it is lifted.
    pub max_override_ms: u64,
}

/// A status and a JSON body.
pub type Reply = (StatusCode, String);

pub fn error_reply(status: StatusCode, field: Option<&str>, error: impl Into<String>) -> Reply {
    json(status, &Fault { error: error.into(), field: field.map(Into::into) })
}

fn json(status: StatusCode, value: &impl Serialize) -> Reply {
    match serde_json::to_string(value) {
        Ok(text) => (status, text),
        Err(e) => (StatusCode::INTERNAL_SERVER_ERROR, format!("{{\"error\":\"{e}\"}}")),
    }
}

fn invalid_request(error: InvalidRequest) -> Reply {
    error_reply(StatusCode::BAD_REQUEST, Some(error.field), error.to_string())
}

/// Parses a JSON body; the error response names the field.
fn parse_body<T: DeserializeOwned>(body: &[u8]) -> Result<T, Reply> {
    let mut json = serde_json::Deserializer::from_slice(body);
    let value = serde_path_to_error::deserialize(&mut json).map_err(|e| {
        let path = e.path().to_string();
        let message = e.into_inner().to_string();
        let named = message.split('`').nth(1).filter(|_| path == ".").map(str::to_owned);
        let field = named.unwrap_or(path);
        error_reply(StatusCode::BAD_REQUEST, Some(&field), format!("{field}: {message}"))
    })?;
    json.end().map_err(|e| error_reply(StatusCode::BAD_REQUEST, None, format!("the body: {e}")))?;
    Ok(value)
}

impl AdminService {
    pub async fn handle(&self, method: &Method, path: &str, body: &[u8]) -> Reply {
        self.flows.refresh_operator_state();
        let id = path.strip_prefix("/overrides/").map(unescape);
        match (path, method, id) {
            ("/workers", &Method::GET, _) => json(StatusCode::OK, &self.workers()),
            ("/overrides", &Method::GET, _) => json(StatusCode::OK, &self.override_list()),
            ("/overrides", &Method::POST, _) => self.set(body).await.unwrap_or_else(|reply| reply),
            ("/flows", &Method::GET, _) => json(StatusCode::OK, &self.flow_counts()),
            ("/fleet", &Method::GET, _) => match &self.fleet {
                Some(fleet) => json(StatusCode::OK, &fleet.view()),
                None => error_reply(StatusCode::NOT_FOUND, None, "the operator's file names no fleet"),
            },
            ("/fleet/voters", &Method::POST, _) => self.replace(body).unwrap_or_else(|reply| reply),
            (_, &Method::DELETE, Some(id)) => self.clear(&id, body).await.unwrap_or_else(|reply| reply),
            ("/workers" | "/overrides" | "/flows" | "/fleet" | "/fleet/voters", ..) | (_, _, Some(_)) => {
                error_reply(StatusCode::METHOD_NOT_ALLOWED, None, format!("{method} does not go with {path}"))
            }
            _ => {
                let message = "no such path; there are /workers, /overrides, /overrides/ID, /flows, /fleet and /fleet/voters";
                error_reply(StatusCode::NOT_FOUND, None, message)
            }
        }
    }

    /// Replaces a voter of the fleet by another member.
    fn replace(&self, body: &[u8]) -> Result<Reply, Reply> {
        let order: ReplaceVoterRequest = parse_body(body)?;
        let Some(fleet) = &self.fleet else {
            return Err(error_reply(StatusCode::NOT_FOUND, None, "the operator's file names no fleet"));
        };
        let done = fleet.replace_voter(&order.replace, &order.by);
        done.map_err(|message| error_reply(StatusCode::CONFLICT, None, message))?;
        Ok(json(StatusCode::OK, &order))
    }

    fn workers(&self) -> Workers {
        let in_force = self.overrides.in_force();
        let workers = self.flows.listed_targets().into_iter().map(|seen| {
            let weight = in_force.weights.iter().find(|w| *w.0 == *seen.name).map_or(1.0, |w| w.1);
            let pins = in_force.pins.iter().filter(|p| *p.worker == *seen.name);
            WorkerStatus {
                addr: seen.addr.to_string(),
                zone: seen.zone.to_string(),
                kind: seen.kind.to_string(),
                state: if seen.stage == Stage::Ready { "up" } else { "draining" }.into(),
                forwards: seen.in_flight,
                weight,
                out_of_service: in_force.out_of_service.iter().any(|w| **w == *seen.name),
                pinned: pins
                    .map(|p| p.tenant.as_ref().map_or(p.class.to_string(), |t| format!("{}/{t}", p.class)))
                    .collect(),
                worker: seen.name.to_string(),
            }
        });
        Workers { dispatcher: self.dispatcher.clone(), workers: workers.collect() }
    }

    fn override_list(&self) -> OverrideList {
        let now = now();
        let lines = self.overrides.entries();
        let overrides = lines.iter().map(|line| OverrideStatus::from_entry(line, now)).collect();
        OverrideList { dispatcher: self.dispatcher.clone(), overrides }
    }

    fn flow_counts(&self) -> FlowCounts {
        let totals = self.flows.flow_totals(self.classes.len());
        let peers = self.peers.as_ref().map(|peers| {
            let Counts { sent, taken, learnt, malformed, unauthentic, replayed, strangers, refused } =
                peers.counts();
            PeerCounts { sent, taken, learnt, malformed, unauthentic, replayed, strangers, refused }
        });
        let (stream_bytes, streams) = self.budgets.held();
        FlowCounts {
            streams,
            stream_bytes,
            cut_short: totals.cut_short,
            dispatcher: self.dispatcher.clone(),
            open: totals.open,
            delayed: totals.delayed,
            forwards: totals.in_flight,
            bytes: totals.bytes,
            classes: self.classes.iter().cloned().zip(totals.classes).collect(),
            list: self.worker_list_status(),
            permits: self.permit_counts(),
            job_updates: self.targets.update_counts(),
            peers,
        }
    }

    fn worker_list_status(&self) -> WorkerListStatus {
        let list = self.flows.list_report();
        WorkerListStatus {
            state: list.state.to_string(),
            version: list.version,
            confirmed_ms_ago: list.confirmed_ago.map(|ago| ago.as_millis() as u64),
            expired: list.expired,
            shortest_call_ms: list.shortest_call.map(|took| took.as_millis() as u64),
            peer_reports: list.peer_reports,
            shortened_by_peers: list.shortened_by_peers,
        }
    }

    fn permit_counts(&self) -> PermitCounts {
        let PermitStatsReport { sent, sent_on_invalid_list, refused, violations } = self.flows.permit_stats();
        PermitCounts { sent, sent_on_invalid_list, refused, violations }
    }

    async fn set(&self, body: &[u8]) -> Result<Reply, Reply> {
        let SetOrder { worker, weight, out_of_service, pin, until_ms, by, why } = parse_body(body)?;
        let kinds = [weight.is_some(), out_of_service, pin.is_some()];
        if kinds.iter().filter(|given| **given).count() != 1 {
            let message = "weight, out_of_service, pin: exactly one of them says what to set";
            return Err(error_reply(StatusCode::BAD_REQUEST, Some("weight"), message));
        }
        let scope = match pin {
            Some(pin) => {
                let (class, tenant) = self.overrides.parse_pin(&pin).map_err(|message| {
                    error_reply(StatusCode::BAD_REQUEST, Some("pin"), format!("pin: {message}"))
                })?;
                Scope::Pinned { class: class.into(), tenant: tenant.map(Into::into) }
            }
            None if out_of_service => Scope::OutOfService,
            None => Scope::Weight,
        };
        let slot = Slot { worker: worker.into(), scope };
        let order = OverrideRequest { slot, weight, until: until_ms, by, why };
        let record = self.overrides.set(order).map_err(invalid_request)?;
        let saved = self.wait_until_synced().await;
        let lines = self.overrides.entries();
        let set = lines.iter().find(|l| l.record == record).map(|l| OverrideStatus::from_entry(l, now()));
        Ok(json(StatusCode::CREATED, &Done { id: record.stamp.to_string(), saved, set }))
    }

    async fn clear(&self, id: &str, body: &[u8]) -> Result<Reply, Reply> {
        let ClearOrder { by, why } = if body.is_empty() { ClearOrder::default() } else { parse_body(body)? };
        if Stamp::parse(id).is_none() {
            return Err(error_reply(
                StatusCode::BAD_REQUEST,
                Some("id"),
                format!("id: {id:?} is not the id of an override"),
            ));
        }
        let cleared = self.overrides.clear(id, &by, &why);
        cleared.map_err(|error| match error.field {
            "id" => error_reply(StatusCode::NOT_FOUND, Some("id"), error.to_string()),
            _ => invalid_request(error),
        })?;
        Ok(json(StatusCode::OK, &Done { id: id.into(), saved: self.wait_until_synced().await, set: None }))
    }

    /// Takes a worker out of service until [`AdminService::uncordon`]. Sets the same out-of-service override as `/overrides`, with
    /// the longest duration that is allowed. A worker that is out of service already is left unchanged.
    ///
    /// # Errors
    /// No worker list has contained the worker, the override can't be set, or it can't be confirmed that it is in force in every
    /// process of this dispatcher.
    pub async fn cordon(&self, worker: &str) -> Result<&'static str, String> {
        self.flows.refresh_operator_state();
        let slot = out_of_service(worker);
        let done = if self.is_cordoned(&slot) {
            "cordoned already"
        } else {
            if !self.flows.was_listed(worker) {
                return Err(format!("no worker {worker} was ever listed"));
            }
            let until = now() + self.max_override_ms;
            let order = OverrideRequest {
                slot: slot.clone(),
                weight: None,
                until,
                by: CONSOLE_AUTHOR.into(),
                why: "cordon".into(),
            };
            self.overrides.set(order).map_err(|error| error.to_string())?;
            "cordoned"
        };
        self.confirm_everywhere(&slot).await?;
        Ok(done)
    }

    /// Puts a cordoned worker back in service; one that is in service is left unchanged.
    ///
    /// # Errors
    /// No worker list has contained the worker and no override takes it out, or it can't be confirmed that every process of this
    /// dispatcher knows of the change.
    pub async fn uncordon(&self, worker: &str) -> Result<&'static str, String> {
        self.flows.refresh_operator_state();
        let slot = out_of_service(worker);
        let cleared = self.overrides.clear_slot(&slot, CONSOLE_AUTHOR, "uncordon");
        let done = match cleared.map_err(|error| error.to_string())? {
            Some(_) => "uncordoned",
            None if self.flows.was_listed(worker) => "not cordoned",
            None => return Err(format!("no worker {worker} was ever listed")),
        };
        self.confirm_everywhere(&slot).await?;
        Ok(done)
    }

    fn is_cordoned(&self, slot: &Slot) -> bool {
        let lines = self.overrides.entries();
        lines.iter().any(|line| line.record.slot == *slot && line.record.effect == Effect::Set(None))
    }

    /// Waits until the override in force in a slot is also in force in the dispatcher's other processes: they read it from the
    /// log, or have confirmed it when called.
    async fn confirm_everywhere(&self, slot: &Slot) -> Result<(), String> {
        let Some(store) = &self.store else { return Ok(()) };
        let (revision, record) = self.overrides.with(|table| (table.revision(), table.latest(slot)));
        let share = async {
            match (&self.siblings, &record) {
                (Some(siblings), Some(record)) => siblings.replicate_override(record).await,
                _ => false,
            }
        };
        let (is_appended, is_shared) = tokio::join!(store.is_appended(revision, APPEND_TIMEOUT), share);
        match is_appended || is_shared || store.is_appended(revision, APPEND_TIMEOUT).await {
            true => Ok(()),
            false => {
                Err("in force in this process, but not written down: another process may not know".into())
            }
        }
    }

    /// Waits until the latest change is synced to disk.
    async fn wait_until_synced(&self) -> Option<bool> {
        let revision = self.overrides.with(|table| table.revision());
        Some(self.store.as_ref()?.is_synced(revision, SYNC_TIMEOUT).await)
    }
}

/// The override slot that takes this worker out of service.
fn out_of_service(worker: &str) -> Slot {
    Slot { worker: worker.into(), scope: Scope::OutOfService }
}

/// Decodes the percent-encoding of the last path segment.
fn unescape(text: &str) -> String {
    percent_encoding::percent_decode_str(text).decode_utf8_lossy().into_owned()
}
