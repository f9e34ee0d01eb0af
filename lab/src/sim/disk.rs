//! Simulated disks of the voters: writes take time, a disk can be full, and its contents can be lost.

use lineroute_fleet::consensus::ReplicaId;
use lineroute_fleet::log::{LogChange, LogStore, WriteStatus};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

/// The state of a disk, which survives a restart of its process.
#[derive(Clone, Debug, Default)]
pub struct DiskState {
    pub replica_id: Option<ReplicaId>,
    pub changes: Vec<LogChange>,
    pub full: bool,
    /// Changes that are not durable yet, with their log numbers; lost when the process ends.
    pub pending_writes: VecDeque<(u64, LogChange)>,
    /// Writes complete later. If false, `append` is durable at once.
    pub slow: bool,
    /// A write is in progress. Changes that are appended meanwhile are part of the next write.
    pub write_in_progress: bool,
}

impl DiskState {
    /// Makes all pending changes up to a log number durable in one write. Returns `None` if none is pending.
    pub fn complete_writes(&mut self, number: u64) -> Option<Result<(), String>> {
        let mut had_pending = false;
        while let Some((_, change)) = self.pending_writes.pop_front_if(|(n, _)| *n <= number) {
            had_pending = true;
            if !self.full {
                self.changes.push(change);
            }
        }
        match (had_pending, self.full) {
            (false, _) => None,
            (true, true) => Some(Err("the disk is full".into())),
            (true, false) => Some(Ok(())),
        }
    }
}

#[derive(Clone)]
pub struct SimDisk(pub Rc<RefCell<DiskState>>);

impl LogStore for SimDisk {
    fn append(&mut self, number: u64, change: &LogChange) -> Result<WriteStatus, String> {
        let mut disk_state = self.0.borrow_mut();
        if disk_state.slow {
            disk_state.pending_writes.push_back((number, change.clone()));
            return Ok(WriteStatus::Pending);
        }
        if disk_state.full {
            return Err("the disk is full".into());
        }
        disk_state.changes.push(change.clone());
        Ok(WriteStatus::Durable)
    }

    fn replace(&mut self, change: &LogChange) -> Result<(), String> {
        let mut disk_state = self.0.borrow_mut();
        if disk_state.full {
            return Err("the disk is full".into());
        }
        // Pending changes precede the replacement, which includes them.
        disk_state.pending_writes.clear();
        disk_state.changes = vec![change.clone()];
        Ok(())
    }

    fn compact(&mut self, change: &LogChange) {
        // Pending changes stay pending: the compacted change includes them, and applying them again is idempotent.
        let mut disk_state = self.0.borrow_mut();
        if !disk_state.full && disk_state.pending_writes.is_empty() {
            disk_state.changes = vec![change.clone()];
        }
    }
}
