//! The remaining verification work after a start, a new epoch, or an absence longer than the history.

use crate::message::{PartitionDigests, RangeContents, MAX_RANGES};
use crate::record::{record_digest, Change, Digest, Partition, Range};
use crate::replica::Replica;
use crate::store::StoreError;
use std::collections::VecDeque;

/// The next step of a synchronization.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Step {
    /// Determine which ranges of a partition differ.
    Compare(Partition),
    /// Fetch these ranges.
    Fetch(Vec<Range>),
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum Work {
    Compare(Partition),
    Fetch(Range),
}

/// Remaining work by descending priority. Bounded by the partitions in one message and their ranges.
#[derive(Clone, Debug, Default)]
pub(crate) struct Synchronization {
    work: VecDeque<Work>,
}

impl Synchronization {
    pub fn clear(&mut self) {
        self.work.clear();
    }

    /// Whether work remains for any of these partitions.
    pub fn has_work_for<'a>(&self, mut partitions: impl Iterator<Item = &'a Partition>) -> bool {
        let is_pending = |partition: &Partition| {
            self.work.iter().any(|work| match work {
                Work::Compare(pending) => pending == partition,
                Work::Fetch(range) => range.partition == *partition,
            })
        };
        partitions.any(is_pending)
    }

    pub fn next(&self) -> Option<Step> {
        match self.work.front()? {
            Work::Compare(partition) => Some(Step::Compare(partition.clone())),
            Work::Fetch(_) => {
                let fetched = self.work.iter().map_while(|work| match work {
                    Work::Fetch(range) => Some(range.clone()),
                    Work::Compare(_) => None,
                });
                Some(Step::Fetch(fetched.take(MAX_RANGES).collect()))
            }
        }
    }

    /// Restarts with the digests of another replica, which is in the same epoch and not older than this one. The
    /// partitions in `priority` come first.
    pub fn begin(
        &mut self,
        replica: &mut Replica,
        digests: &PartitionDigests,
        priority: &[Partition],
    ) -> Result<Vec<Change>, StoreError> {
        self.work.clear();
        let sequence = digests.position.sequence;
        let mut listed: Vec<&(Partition, Digest)> = digests.digests.iter().collect();
        let rank =
            |partition: &Partition| priority.iter().position(|p| p == partition).unwrap_or(priority.len());
        listed.sort_by_key(|(partition, _)| rank(partition));
        let mut changes = Vec::new();
        if digests.is_complete {
            let names: Vec<&Partition> = listed.iter().map(|(partition, _)| partition).collect();
            changes = replica.set_partitions_known(&names, sequence)?;
        }
        for (partition, digest) in listed {
            if replica.is_verified(partition) {
                continue;
            }
            if replica.store().partition_digest(partition) == *digest {
                Range::all(partition).try_for_each(|range| replica.verify(&range, sequence))?;
            } else if replica.store().is_partition_empty(partition) {
                self.work.extend(Range::all(partition).map(Work::Fetch));
            } else {
                self.work.push_back(Work::Compare(partition.clone()));
            }
        }
        Ok(changes)
    }

    /// Handles the digests of a partition's ranges. Ranges that the relay has not verified itself are left for later.
    pub fn handle_range_digests(
        &mut self,
        replica: &mut Replica,
        partition: &Partition,
        digests: &[Option<Digest>],
        sequence: u64,
    ) -> Result<(), StoreError> {
        if self.work.front() == Some(&Work::Compare(partition.clone())) {
            self.work.pop_front();
        }
        let mut differing = Vec::new();
        for (range, digest) in Range::all(partition).zip(digests) {
            match digest {
                Some(digest) if replica.store().range_digest(&range) == *digest => {
                    replica.verify(&range, sequence)?;
                }
                Some(_) => differing.push(range),
                None => {}
            }
        }
        differing.into_iter().rev().for_each(|range| self.work.push_front(Work::Fetch(range)));
        Ok(())
    }

    /// Handles the contents of requested ranges. Ranges that did not fit into the reply remain to be fetched. If the
    /// reply contains no ranges, the other replica has none of them.
    pub fn handle_contents(
        &mut self,
        replica: &mut Replica,
        requested: &[Range],
        contents: &[RangeContents],
        sequence: u64,
    ) -> Result<Vec<Change>, FetchError> {
        let mut changes = Vec::new();
        for RangeContents { range, records, digest } in contents {
            let sum = records.iter().fold(0, |sum: Digest, record| {
                sum.wrapping_add(record_digest(&range.partition, &record.name, &record.value))
            });
            if sum != *digest || !requested.contains(range) {
                return Err(FetchError::Mismatch);
            }
            changes.extend(replica.replace(range, records, sequence)?);
        }
        let is_done = |range: &Range| contents.is_empty() || contents.iter().any(|c| c.range == *range);
        self.work.retain(|work| match work {
            Work::Fetch(range) => !(requested.contains(range) && is_done(range)),
            Work::Compare(_) => true,
        });
        Ok(changes)
    }
}

/// Why fetched ranges were rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub(crate) enum FetchError {
    #[error("a range was not requested, or its digest does not match")]
    Mismatch,
    #[error(transparent)]
    Store(#[from] StoreError),
}
