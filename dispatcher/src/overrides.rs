//! The overrides of this dispatcher: the table, what is in force by the wall clock, and who is to hear of a
//! change. The talk with peers, the snapshot and the admin listener meet here; decisions get what is in force
//! through the core.

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

/// With something in force the wall clock is looked at this often: it may be set.
const LOOK: Duration = Duration::from_millis(250);

/// Workers out of service that a line of the log names at most.
const NAMES_LOGGED: usize = 8;

/// The wall clock.
pub fn now() -> Millis {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as Millis
}

struct Inner {
    table: RefCell<Table>,
    flows: Flows,
    classes: Vec<String>,
    tenants: Vec<String>,
    /// What the core was last told.
    applied: RefCell<ActiveOverrides>,
    /// Set here and not yet told to peers; kept only while somebody takes it.
    fresh: RefCell<Vec<Arc<Record>>>,
    talks: Cell<bool>,
    told: Notify,
    changed: Notify,
    revision: watch::Sender<u64>,
}

/// Shared by all who read or write overrides, on one thread.
#[derive(Clone)]
pub struct Overrides(Rc<Inner>);

impl Overrides {
    /// An owner of the table. `classes` and `tenants` are the settings' names, by position.
    pub fn new(table: Table, flows: Flows, classes: Vec<String>, tenants: Vec<String>) -> Self {
        let revision = watch::Sender::new(table.revision());
        let overrides = Overrides(Rc::new(Inner {
            table: RefCell::new(table),
            flows,
            classes,
            tenants,
            applied: RefCell::default(),
            fresh: RefCell::default(),
            talks: Cell::new(false),
            told: Notify::new(),
            changed: Notify::new(),
            revision,
        }));
        overrides.apply();
        overrides
    }

    /// Sets an override here.
    ///
    /// # Errors
    /// Names the field that can't be used; nothing has changed then.
    pub fn set(&self, order: OverrideRequest) -> Result<Arc<Record>, InvalidRequest> {
        let record = self.0.table.borrow_mut().set(order, now())?;
        self.wrote(&record, "override set");
        Ok(record)
    }

    /// Ends an override, wherever it was set.
    ///
    /// # Errors
    /// No such override is in force here.
    pub fn clear(&self, id: &str, by: &str, why: &str) -> Result<Arc<Record>, InvalidRequest> {
        let record = self.0.table.borrow_mut().clear(id, by, why, now())?;
        self.wrote(&record, "override cleared");
        Ok(record)
    }

    /// Ends whatever is in force in a slot; nothing where nothing is.
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
            self.wrote(record, "override cleared");
        }
        Ok(record)
    }

    fn wrote(&self, record: &Arc<Record>, words: &'static str) {
        let Record { stamp, slot, until, by, why, .. } = &**record;
        info!(id = %stamp, target = %slot.worker, what = %record, until, by = %by, why = %why, "{words}");
        if self.0.talks.get() {
            self.0.fresh.borrow_mut().push(record.clone());
            self.0.told.notify_one();
        }
        self.settle();
    }

    /// Lets another subsystem at the table, and follows up on what it changed.
    pub fn with<R>(&self, act: impl FnOnce(&mut Table) -> R) -> R {
        let before = self.0.table.borrow().revision();
        let result = act(&mut self.0.table.borrow_mut());
        if self.0.table.borrow().revision() != before {
            self.settle();
        }
        result
    }

    /// Takes in records of this dispatcher's own, from before its start or from another process of it; how many were new.
    pub fn restore(&self, records: Vec<Record>) -> usize {
        self.with(|table| {
            let merged = records.into_iter().map(|record| table.restore(record, now()));
            merged.filter(|merged| *merged == Merged::New).count()
        })
    }

    fn settle(&self) {
        self.apply();
        self.0.revision.send_replace(self.0.table.borrow().revision());
        self.0.changed.notify_one();
    }

    /// Tells the core what is in force, where that has changed.
    fn apply(&self) {
        let forces = self.0.table.borrow().active(now());
        if *self.0.applied.borrow() == forces {
            return;
        }
        let ActiveOverrides { weights, out_of_service: out, pins } = &forces;
        let revision = self.0.table.borrow().revision();
        let workers: Vec<&str> = out.iter().take(NAMES_LOGGED).map(|worker| &**worker).collect();
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
                // Set at a dispatcher whose settings differ.
                _ => {
                    warn!(class = %pin.class, target = %pin.worker, "a pin names a class or tenant that the settings lack")
                }
            }
        }
        *self.0.applied.borrow_mut() = forces;
        self.0.flows.apply_overrides(overrides);
    }

    /// Ends overrides at their time. Never ends itself.
    pub async fn run(self) {
        loop {
            let next = self.0.table.borrow().next_expiry(now());
            match next {
                Some(at) => {
                    let left = Duration::from_millis(at.saturating_sub(now()));
                    tokio::select! {
                        () = tokio::time::sleep(left.min(LOOK)) => self.apply(),
                        () = self.0.changed.notified() => {}
                    }
                }
                None => self.0.changed.notified().await,
            }
        }
    }

    /// All that has not ended, and how it stands.
    pub fn entries(&self) -> Vec<OverrideEntry> {
        self.0.table.borrow().entries(now(), |worker| self.0.flows.is_listed(worker))
    }

    /// What the core was last told.
    pub fn in_force(&self) -> ActiveOverrides {
        self.0.applied.borrow().clone()
    }

    /// The settings' class and tenant of a pin written `CLASS` or `CLASS/TENANT`.
    ///
    /// # Errors
    /// Says which of the two the settings lack, and what they have.
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

    /// Follows the table's revision, for whoever writes it down.
    pub fn revisions(&self) -> watch::Receiver<u64> {
        self.0.revision.subscribe()
    }

    /// From here on what is set here is kept for [`Overrides::take_unsent`].
    pub fn enable_gossip(&self) {
        self.0.talks.set(true);
    }

    /// What was set here since it was last asked; resolves when there is something.
    pub async fn take_unsent(&self) -> Vec<Arc<Record>> {
        loop {
            let fresh = std::mem::take(&mut *self.0.fresh.borrow_mut());
            if !fresh.is_empty() {
                return fresh;
            }
            self.0.told.notified().await;
        }
    }
}
