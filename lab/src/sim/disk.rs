//! Disks of the simulation: they take their time, fill up, and are lost.

use lineroute_fleet::consensus::ReplicaId;
use lineroute_fleet::log::{LogChange, LogStore, WriteStatus};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

/// What outlasts a process.
#[derive(Clone, Debug, Default)]
pub struct Platter {
    pub replica_id: Option<ReplicaId>,
    pub changes: Vec<LogChange>,
    pub full: bool,
    /// What it was given and has not kept yet, by number; lost with the process.
    pub under_way: VecDeque<(u64, LogChange)>,
    /// Whether it takes its time at all.
    pub slow: bool,
    /// One write is being made. What comes meanwhile goes with the next.
    pub writes: bool,
}

impl Platter {
    /// Keeps all up to a number, in one write; nothing if that was done.
    pub fn settle(&mut self, number: u64) -> Option<Result<(), String>> {
        let mut any = false;
        while let Some((_, change)) = self.under_way.pop_front_if(|(n, _)| *n <= number) {
            any = true;
            if !self.full {
                self.changes.push(change);
            }
        }
        match (any, self.full) {
            (false, _) => None,
            (true, true) => Some(Err("the disk is full".into())),
            (true, false) => Some(Ok(())),
        }
    }
}

#[derive(Clone)]
pub struct SimDisk(pub Rc<RefCell<Platter>>);

impl LogStore for SimDisk {
    fn append(&mut self, number: u64, change: &LogChange) -> Result<WriteStatus, String> {
        let mut platter = self.0.borrow_mut();
        if platter.slow {
            platter.under_way.push_back((number, change.clone()));
            return Ok(WriteStatus::Pending);
        }
        if platter.full {
            return Err("the disk is full".into());
        }
        platter.changes.push(change.clone());
        Ok(WriteStatus::Durable)
    }

    fn replace(&mut self, change: &LogChange) -> Result<(), String> {
        let mut platter = self.0.borrow_mut();
        if platter.full {
            return Err("the disk is full".into());
        }
        // What is under way comes first, and is in the new one.
        platter.under_way.clear();
        platter.changes = vec![change.clone()];
        Ok(())
    }

    fn compact(&mut self, change: &LogChange) {
        // What is under way stays so: the change holds it, and keeping it again changes nothing.
        let mut platter = self.0.borrow_mut();
        if !platter.full && platter.under_way.is_empty() {
            platter.changes = vec![change.clone()];
        }
    }
}
