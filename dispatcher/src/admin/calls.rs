//! What each call on the admin listener does.

use super::api::{
    ClearOrder, Done, Fault, FlowCounts, ListLine, Overridden, OverrideLine, PeerCounts, PermitCounts,
    SetOrder, WorkerLine, Workers,
};
use crate::body::StreamBudget;
use crate::facade::Stage;
use crate::fleet::api::ReplaceOrder;
use crate::flow::{Flows, PermitStatsReport};
use crate::listeners::http::Phase;
use crate::overrides::{now, Overrides};
use crate::siblings::Siblings;
use crate::targets::http::HttpTargets;
use crate::{fleet, peers, store};
use actix_http::{Method, StatusCode};
use lineroute_control::overrides::{Effect, InvalidRequest, OverrideRequest, Scope, Slot, Stamp};
use lineroute_control::peers::Counts;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::rc::Rc;
use std::time::Duration;

/// How long an answer waits for the disk.
const SAVED_WITHIN: Duration = Duration::from_secs(2);

/// How long an answer at the console waits for the log, and as long again where no sibling has said that it knows. Answers are owed
/// within 1 s, also by a process that stood still for a moment.
const HOLDS_WITHIN: Duration = Duration::from_millis(300);

/// Who has set an override that came over the admin console. It is kept with the override and shown to operators, so it
/// stays what it was.
const CONSOLE_AUTHOR: &str = "door";

/// All that calls may look at or change.
pub struct Calls {
    pub dispatcher: String,
    pub classes: Vec<String>,
    pub flows: Flows,
    pub targets: HttpTargets,
    pub budgets: StreamBudget,
    pub overrides: Overrides,
    pub peers: Option<peers::Handle>,
    pub store: Option<store::Handle>,
    pub fleet: Option<fleet::Handle>,
    /// The other processes of this dispatcher, where there may be some.
    pub siblings: Option<Rc<Siblings>>,
    pub phase: Rc<Phase>,
    /// The longest that an override may last, in milliseconds: a cordon lasts so long unless it is lifted.
    pub longest: u64,
}

/// A status and a JSON body.
pub type Reply = (StatusCode, String);

pub fn fault(status: StatusCode, field: Option<&str>, error: impl Into<String>) -> Reply {
    json(status, &Fault { error: error.into(), field: field.map(Into::into) })
}

fn json(status: StatusCode, value: &impl Serialize) -> Reply {
    match serde_json::to_string(value) {
        Ok(text) => (status, text),
        Err(e) => (StatusCode::INTERNAL_SERVER_ERROR, format!("{{\"error\":\"{e}\"}}")),
    }
}

fn refused(faulty: InvalidRequest) -> Reply {
    fault(StatusCode::BAD_REQUEST, Some(faulty.field), faulty.to_string())
}

/// Reads a body; a fault names its key.
fn read<T: DeserializeOwned>(body: &[u8]) -> Result<T, Reply> {
    let mut json = serde_json::Deserializer::from_slice(body);
    let value = serde_path_to_error::deserialize(&mut json).map_err(|e| {
        let path = e.path().to_string();
        let words = e.into_inner().to_string();
        let named = words.split('`').nth(1).filter(|_| path == ".").map(str::to_owned);
        let field = named.unwrap_or(path);
        fault(StatusCode::BAD_REQUEST, Some(&field), format!("{field}: {words}"))
    })?;
    json.end().map_err(|e| fault(StatusCode::BAD_REQUEST, None, format!("the body: {e}")))?;
    Ok(value)
}

impl Calls {
    pub async fn answer(&self, method: &Method, path: &str, body: &[u8]) -> Reply {
        self.flows.refresh_operator_state();
        let id = path.strip_prefix("/overrides/").map(unescape);
        match (path, method, id) {
            ("/workers", &Method::GET, _) => json(StatusCode::OK, &self.workers()),
            ("/overrides", &Method::GET, _) => json(StatusCode::OK, &self.listed()),
            ("/overrides", &Method::POST, _) => self.set(body).await.unwrap_or_else(|fault| fault),
            ("/flows", &Method::GET, _) => json(StatusCode::OK, &self.counts()),
            ("/fleet", &Method::GET, _) => match &self.fleet {
                Some(fleet) => json(StatusCode::OK, &fleet.view()),
                None => fault(StatusCode::NOT_FOUND, None, "the operator's file names no fleet"),
            },
            ("/fleet/voters", &Method::POST, _) => self.replace(body).unwrap_or_else(|fault| fault),
            (_, &Method::DELETE, Some(id)) => self.clear(&id, body).await.unwrap_or_else(|fault| fault),
            ("/workers" | "/overrides" | "/flows" | "/fleet" | "/fleet/voters", ..) | (_, _, Some(_)) => {
                fault(StatusCode::METHOD_NOT_ALLOWED, None, format!("{method} does not go with {path}"))
            }
            _ => {
                let words = "no such path; there are /workers, /overrides, /overrides/ID, /flows, /fleet and /fleet/voters";
                fault(StatusCode::NOT_FOUND, None, words)
            }
        }
    }

    /// Has one member of the fleet vote in place of another.
    fn replace(&self, body: &[u8]) -> Result<Reply, Reply> {
        let order: ReplaceOrder = read(body)?;
        let Some(fleet) = &self.fleet else {
            return Err(fault(StatusCode::NOT_FOUND, None, "the operator's file names no fleet"));
        };
        let done = fleet.replace(&order.replace, &order.by);
        done.map_err(|words| fault(StatusCode::CONFLICT, None, words))?;
        Ok(json(StatusCode::OK, &order))
    }

    fn workers(&self) -> Workers {
        let forces = self.overrides.in_force();
        let workers = self.flows.listed_targets().into_iter().map(|seen| {
            let weight = forces.weights.iter().find(|w| *w.0 == *seen.name).map_or(1.0, |w| w.1);
            let pins = forces.pins.iter().filter(|p| *p.worker == *seen.name);
            WorkerLine {
                addr: seen.addr.to_string(),
                zone: seen.zone.to_string(),
                kind: seen.kind.to_string(),
                state: if seen.stage == Stage::Ready { "up" } else { "draining" }.into(),
                forwards: seen.in_flight,
                weight,
                out_of_service: forces.out_of_service.iter().any(|w| **w == *seen.name),
                pinned: pins
                    .map(|p| p.tenant.as_ref().map_or(p.class.to_string(), |t| format!("{}/{t}", p.class)))
                    .collect(),
                worker: seen.name.to_string(),
            }
        });
        Workers { dispatcher: self.dispatcher.clone(), workers: workers.collect() }
    }

    fn listed(&self) -> Overridden {
        let now = now();
        let lines = self.overrides.entries();
        let overrides = lines.iter().map(|line| OverrideLine::of(line, now)).collect();
        Overridden { dispatcher: self.dispatcher.clone(), overrides }
    }

    fn counts(&self) -> FlowCounts {
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
            forwards: totals.in_flight,
            bytes: totals.bytes,
            classes: self.classes.iter().cloned().zip(totals.classes).collect(),
            list: self.list(),
            permits: self.permits(),
            job_updates: self.targets.update_counts(),
            peers,
        }
    }

    fn list(&self) -> ListLine {
        let list = self.flows.list_report();
        ListLine {
            state: list.state.to_string(),
            version: list.version,
            confirmed_ms_ago: list.confirmed_ago.map(|ago| ago.as_millis() as u64),
            expired: list.expired,
            shortest_call_ms: list.shortest_call.map(|took| took.as_millis() as u64),
            peer_reports: list.peer_reports,
            shortened_by_peers: list.shortened_by_peers,
        }
    }

    fn permits(&self) -> PermitCounts {
        let PermitStatsReport { sent, sent_on_invalid_list, refused, violations } = self.flows.permit_stats();
        PermitCounts { sent, sent_on_invalid_list, refused, violations }
    }

    async fn set(&self, body: &[u8]) -> Result<Reply, Reply> {
        let SetOrder { worker, weight, out_of_service, pin, until_ms, by, why } = read(body)?;
        let kinds = [weight.is_some(), out_of_service, pin.is_some()];
        if kinds.iter().filter(|given| **given).count() != 1 {
            let words = "weight, out_of_service, pin: exactly one of them says what to set";
            return Err(fault(StatusCode::BAD_REQUEST, Some("weight"), words));
        }
        let scope = match pin {
            Some(pin) => {
                let (class, tenant) = self
                    .overrides
                    .parse_pin(&pin)
                    .map_err(|words| fault(StatusCode::BAD_REQUEST, Some("pin"), format!("pin: {words}")))?;
                Scope::Pinned { class: class.into(), tenant: tenant.map(Into::into) }
            }
            None if out_of_service => Scope::OutOfService,
            None => Scope::Weight,
        };
        let slot = Slot { worker: worker.into(), scope };
        let order = OverrideRequest { slot, weight, until: until_ms, by, why };
        let record = self.overrides.set(order).map_err(refused)?;
        let saved = self.saved().await;
        let lines = self.overrides.entries();
        let set = lines.iter().find(|l| l.record == record).map(|l| OverrideLine::of(l, now()));
        Ok(json(StatusCode::CREATED, &Done { id: record.stamp.to_string(), saved, set }))
    }

    async fn clear(&self, id: &str, body: &[u8]) -> Result<Reply, Reply> {
        let ClearOrder { by, why } = if body.is_empty() { ClearOrder::default() } else { read(body)? };
        if Stamp::parse(id).is_none() {
            return Err(fault(
                StatusCode::BAD_REQUEST,
                Some("id"),
                format!("id: {id:?} is not the id of an override"),
            ));
        }
        let cleared = self.overrides.clear(id, &by, &why);
        cleared.map_err(|faulty| match faulty.field {
            "id" => fault(StatusCode::NOT_FOUND, Some("id"), faulty.to_string()),
            _ => refused(faulty),
        })?;
        Ok(json(StatusCode::OK, &Done { id: id.into(), saved: self.saved().await, set: None }))
    }

    /// Takes a worker out until [`Calls::uncordon`]: an out-of-service override for as long as any may last,
    /// the same that `/overrides` sets. A worker that is out already stays so, untouched.
    ///
    /// # Errors
    /// No list has named the worker, the override can't be set, or it can't be said that it holds in each process of this
    /// dispatcher.
    pub async fn cordon(&self, worker: &str) -> Result<&'static str, String> {
        self.flows.refresh_operator_state();
        let slot = out_of_service(worker);
        let done = if self.is_cordoned(&slot) {
            "cordoned already"
        } else {
            if !self.flows.was_listed(worker) {
                return Err(format!("no worker {worker} was ever listed"));
            }
            let until = now() + self.longest;
            let order = OverrideRequest {
                slot: slot.clone(),
                weight: None,
                until,
                by: CONSOLE_AUTHOR.into(),
                why: "cordon".into(),
            };
            self.overrides.set(order).map_err(|faulty| faulty.to_string())?;
            "cordoned"
        };
        self.holds_everywhere(&slot).await?;
        Ok(done)
    }

    /// Lets a cordoned worker serve again; one that is not out is left so.
    ///
    /// # Errors
    /// No list has named the worker and no override holds it, or it can't be said that it may serve for each process of this
    /// dispatcher.
    pub async fn uncordon(&self, worker: &str) -> Result<&'static str, String> {
        self.flows.refresh_operator_state();
        let slot = out_of_service(worker);
        let cleared = self.overrides.clear_slot(&slot, CONSOLE_AUTHOR, "uncordon");
        let done = match cleared.map_err(|faulty| faulty.to_string())? {
            Some(_) => "uncordoned",
            None if self.flows.was_listed(worker) => "not cordoned",
            None => return Err(format!("no worker {worker} was ever listed")),
        };
        self.holds_everywhere(&slot).await?;
        Ok(done)
    }

    fn is_cordoned(&self, slot: &Slot) -> bool {
        let lines = self.overrides.entries();
        lines.iter().any(|line| line.record.slot == *slot && line.record.effect == Effect::Set(None))
    }

    /// Waits until what is in force here in a slot binds each process of this dispatcher: they see it in the log, or have
    /// said that they know.
    async fn holds_everywhere(&self, slot: &Slot) -> Result<(), String> {
        let Some(store) = &self.store else { return Ok(()) };
        let (revision, record) = self.overrides.with(|table| (table.revision(), table.latest(slot)));
        let share = async {
            match (&self.siblings, &record) {
                (Some(siblings), Some(record)) => siblings.share(record).await,
                _ => false,
            }
        };
        let (is_appended, is_shared) = tokio::join!(store.is_appended(revision, HOLDS_WITHIN), share);
        match is_appended || is_shared || store.is_appended(revision, HOLDS_WITHIN).await {
            true => Ok(()),
            false => {
                Err("in force in this process, but not written down: another process may not know".into())
            }
        }
    }

    /// Waits until what has just been written is on the disk too.
    async fn saved(&self) -> Option<bool> {
        let revision = self.overrides.with(|table| table.revision());
        Some(self.store.as_ref()?.is_saved(revision, SAVED_WITHIN).await)
    }
}

/// Where an operator takes a worker out.
fn out_of_service(worker: &str) -> Slot {
    Slot { worker: worker.into(), scope: Scope::OutOfService }
}

/// Undoes the percent-encoding of a path's last part.
fn unescape(text: &str) -> String {
    percent_encoding::percent_decode_str(text).decode_utf8_lossy().into_owned()
}
