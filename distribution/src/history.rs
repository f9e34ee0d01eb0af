//! The most recent changes of the log, within the configured limits.

use crate::record::Change;
use crate::timing::Limits;
use serde::{Deserialize, Serialize};
use std::collections::{HashSet, VecDeque};

/// A change and its sequence number, as an offset from the requested position.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NumberedChange {
    /// The sequence number minus that of the requested position.
    pub offset: u64,
    /// The change.
    pub change: Change,
}

/// A section of the history.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Batch {
    /// The sequence number that a replica reaches with this batch.
    pub to: u64,
    /// Each record at most once, with its last change.
    pub changes: Vec<NumberedChange>,
}

/// Changes by sequence number. Numbers may be missing: of changes that arrived as a batch, only the last one of each
/// record is present.
#[derive(Clone, Debug, Default)]
pub(crate) struct History {
    changes: VecDeque<(u64, Change)>,
    bytes: usize,
    /// All changes after this sequence number are present.
    base: u64,
}

impl History {
    /// Clears the history. The next changes follow this sequence number.
    pub fn reset(&mut self, base: u64) {
        self.changes.clear();
        self.bytes = 0;
        self.base = base;
    }

    pub fn push(&mut self, sequence: u64, change: Change, limits: &Limits) {
        self.bytes += change.size();
        self.changes.push_back((sequence, change));
        while self.changes.len() > limits.history_changes || self.bytes > limits.history_bytes {
            let Some((evicted, change)) = self.changes.pop_front() else { break };
            self.bytes -= change.size();
            self.base = evicted;
        }
    }

    pub fn len(&self) -> usize {
        self.changes.len()
    }

    /// Returns the changes between a sequence number and the head, as many as fit, or `None` if they are no longer
    /// available.
    pub fn after(&self, after: u64, head: u64, max_bytes: usize) -> Option<Batch> {
        if after < self.base || after > head {
            return None;
        }
        let first = self.changes.partition_point(|(sequence, _)| *sequence <= after);
        let (mut bytes, mut end) = (0, first);
        while let Some((_, change)) = self.changes.get(end) {
            bytes += change.size();
            // At least one change is always included; otherwise a subscriber could not make progress.
            if bytes > max_bytes && end > first {
                break;
            }
            end += 1;
        }
        let reaches_head = end == self.changes.len();
        let to = if reaches_head {
            head
        } else {
            self.changes.get(end - 1).map_or(after, |(sequence, _)| *sequence)
        };
        let mut seen = HashSet::new();
        let mut changes: Vec<NumberedChange> = Vec::new();
        for (sequence, change) in self.changes.range(first..end).rev() {
            if seen.insert((&change.partition, change.name.as_str())) {
                changes.push(NumberedChange { offset: sequence - after, change: change.clone() });
            }
        }
        changes.reverse();
        Some(Batch { to, changes })
    }
}
