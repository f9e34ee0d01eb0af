//! The overrides of this dispatcher: the table, which of them are in force by the wall clock, and notifications of
//! changes. Shared by override gossip, the store and the admin API. The decision module receives the
//! overrides in force through the flows.

use crate::facade::{Pinned, TargetOverrides};
use crate::flow::Flows;
use lineroute_control::overrides::{
    ActiveOverrides, InvalidRequest, Merged, OverrideEntry, OverrideRequest, Record, Slot, Table,
};
use lineroute_control::Millis;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{watch, Notify};
use tracing::{info, warn};

/// Interval at which the wall clock is checked while an override has an expiry, since the clock may be set.
const CLOCK_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum number of workers out of service that one log line names.
const MAX_LOGGED_WORKERS: usize = 8;

/// The wall-clock time.
pub fn now() -> Millis {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as Millis
}

struct Inner {
    table: RefCell<Table>,
    flows: Flows,
    classes: Vec<String>,
    tenants: Vec<String>,
    /// The overrides last passed to the decision module.
    applied: RefCell<ActiveOverrides>,
    /// Records set here that have not been sent to peers; filled only while gossip is enabled.
    unsent: RefCell<Vec<Arc<Record>>>,
    gossip_enabled: Cell<bool>,
    unsent_added: Notify,
    changed: Notify,
    revision: watch::Sender<u64>,
}

/// Handle to the overrides, shared by all their readers and writers on one thread.
#[derive(Clone)]
pub struct Overrides(Rc<Inner>);

impl Overrides {
    /// Takes ownership of the table. `classes` and `tenants` are the names in the settings, by position.
    pub fn new(table: Table, flows: Flows, classes: Vec<String>, tenants: Vec<String>) -> Self {
        let revision = watch::Sender::new(table.revision());
        let overrides = Overrides(Rc::new(Inner {
            table: RefCell::new(table),
            flows,
            classes,
            tenants,
            applied: RefCell::default(),
            unsent: RefCell::default(),
            gossip_enabled: Cell::new(false),
            unsent_added: Notify::new(),
            changed: Notify::new(),
            revision,
        }));
        overrides.apply();
        overrides
    }

    /// Sets an override at this dispatcher.
    ///
    /// # Errors
    /// Names the field that can't be used; nothing has changed then.
    pub fn set(&self, request: OverrideRequest) -> Result<Arc<Record>, InvalidRequest> {
        let record = self.0.table.borrow_mut().set(request, now())?;
        self.record_written(&record, "override set");
        Ok(record)
    }

    /// Clears an override, whichever dispatcher set it.
    ///
    /// # Errors
    /// Returns an error if no such override is in force here.
    pub fn clear(&self, id: &str, by: &str, why: &str) -> Result<Arc<Record>, InvalidRequest> {
        let record = self.0.table.borrow_mut().clear(id, by, why, now())?;
        self.record_written(&record, "override cleared");
        Ok(record)
    }

    /// Clears the override in force in a slot; returns `None` if there is none.
    ///
    /// # Errors
    /// Names the field that can't be used; nothing has changed then.
    pub fn clear_slot(
        &self,
        slot: &Slot,
        by: &str,
        why: &str,
    ) -> Result<Option<Arc<Record>>, InvalidRequest> {
        let record = self.0.table.borrow_mut().clear_slot(slot, by, why, now())?;
        if let Some(record) = &record {
            self.record_written(record, "override cleared");
        }
        Ok(record)
    }

    fn record_written(&self, record: &Arc<Record>, message: &'static str) {
        let Record { stamp, slot, until, by, why, .. } = &**record;
        info!(id = %stamp, target = %slot.worker, what = %record, until, by = %by, why = %why, "{message}");
        if self.0.gossip_enabled.get() {
            self.0.unsent.borrow_mut().push(record.clone());
            self.0.unsent_added.notify_one();
        }
        self.apply_and_announce();
    }

    /// Gives `update` access to the table, and applies and announces what it changed.
    pub fn with<R>(&self, update: impl FnOnce(&mut Table) -> R) -> R {
        let before = self.0.table.borrow().revision();
        let result = update(&mut self.0.table.borrow_mut());
        if self.0.table.borrow().revision() != before {
            self.apply_and_announce();
        }
        result
    }

    /// Merges this dispatcher's own records, from before a restart or from a sibling; returns how many were new.
    pub fn restore(&self, records: Vec<Record>) -> usize {
        self.with(|table| {
            let merged = records.into_iter().map(|record| table.restore(record, now()));
            merged.filter(|merged| *merged == Merged::New).count()
        })
    }

    fn apply_and_announce(&self) {
        self.apply();
        self.0.revision.send_replace(self.0.table.borrow().revision());
        self.0.changed.notify_one();
    }

    /// Passes the overrides in force to the decision module if they have changed.
    fn apply(&self) {
        let active = self.0.table.borrow().active(now());
        if *self.0.applied.borrow() == active {
            return;
        }
        let ActiveOverrides { weights, out_of_service: out, pins } = &active;
        let revision = self.0.table.borrow().revision();
        let workers: Vec<&str> = out.iter().take(MAX_LOGGED_WORKERS).map(|worker| &**worker).collect();
        info!(
            weights = weights.len(),
            out_of_service = out.len(),
            ?workers,
            pins = pins.len(),
            revision,
            "overrides in force"
        );
        let flows = &self.0.flows;
        let mut overrides = TargetOverrides {
            weights: weights.iter().map(|(w, factor)| (flows.target_id(w), *factor)).collect(),
            out_of_service: out.iter().map(|w| flows.target_id(w)).collect(),
            pins: Vec::new(),
        };
        for pin in pins {
            let class = self.0.classes.iter().position(|c| **c == *pin.class);
            let tenant = pin.tenant.as_ref().map(|t| self.0.tenants.iter().position(|own| **own == **t));
            match (class, tenant) {
                (Some(class), None | Some(Some(_))) => {
                    let target = flows.target_id(&pin.worker);
                    overrides.pins.push(Pinned { class, tenant: tenant.flatten(), target });
                }
                // The pin was set at a dispatcher with other settings.
                _ => {
                    warn!(class = %pin.class, target = %pin.worker, "ignoring pin: its class or tenant is not in the settings")
                }
            }
        }
        *self.0.applied.borrow_mut() = active;
        self.0.flows.apply_overrides(overrides);
    }

    /// Expires overrides at their time. Never completes.
    pub async fn run(self) {
        loop {
            let next = self.0.table.borrow().next_expiry(now());
            match next {
                Some(at) => {
                    let left = Duration::from_millis(at.saturating_sub(now()));
                    tokio::select! {
                        () = tokio::time::sleep(left.min(CLOCK_CHECK_INTERVAL)) => self.apply(),
                        () = self.0.changed.notified() => {}
                    }
                }
                None => self.0.changed.notified().await,
            }
        }
    }

    /// All overrides that have not ended, with their status.
    pub fn entries(&self) -> Vec<OverrideEntry> {
        self.0.table.borrow().entries(now(), |worker| self.0.flows.is_listed(worker))
    }

    /// The overrides last passed to the decision module.
    pub fn in_force(&self) -> ActiveOverrides {
        self.0.applied.borrow().clone()
    }

    /// Parses a pin written `CLASS` or `CLASS/TENANT` and checks it against the settings.
    ///
    /// # Errors
    /// Names the class or tenant that the settings lack, and the valid ones.
    pub fn parse_pin(&self, pin: &str) -> Result<(String, Option<String>), String> {
        let Inner { classes, tenants, .. } = &*self.0;
        if classes.iter().any(|c| c == pin) {
            return Ok((pin.into(), None));
        }
        let (class, tenant) = pin.split_once('/').map_or((pin, None), |(c, t)| (c, Some(t)));
        if !classes.iter().any(|c| c == class) {
            return Err(format!("the settings have no class {class:?}; they have {}", classes.join(", ")));
        }
        match tenant {
            Some(tenant) if !tenants.iter().any(|t| t == tenant) => {
                Err(format!("the settings have no tenant {tenant:?}; they have {}", tenants.join(", ")))
            }
            tenant => Ok((class.into(), tenant.map(Into::into))),
        }
    }

    /// Subscribes to the table's revision, for saving changes.
    pub fn revisions(&self) -> watch::Receiver<u64> {
        self.0.revision.subscribe()
    }

    /// Queues records set here for [`Overrides::take_unsent`] from now on.
    pub fn enable_gossip(&self) {
        self.0.gossip_enabled.set(true);
    }

    /// Waits until there are records that were set here since the last call, and returns them.
    pub async fn take_unsent(&self) -> Vec<Arc<Record>> {
        loop {
            let unsent = std::mem::take(&mut *self.0.unsent.borrow_mut());
            if !unsent.is_empty() {
                return unsent;
            }
            self.0.unsent_added.notified().await;
        }
    }
}
