//! Records grouped into ranges, with a digest per range.

use crate::record::{
    range_index, record_digest, Change, Digest, Partition, Range, Record, RANGES_PER_PARTITION,
};
use crate::timing::Limits;
use std::collections::BTreeMap;

/// The maximum size of the names and values of one range, which is sent completely in one message.
pub const MAX_RANGE_BYTES: usize = 48 << 10;
/// Encoding overhead of a record in addition to its name and value.
const RECORD_OVERHEAD: usize = 4;

/// A change would exceed a limit of the replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum StoreError {
    /// A name or value is too long, or a name is empty.
    #[error("a record's name or value is outside its limits")]
    Invalid,
    /// Too many records or partitions, or too many bytes.
    #[error("a limit of the replica would be exceeded")]
    LimitExceeded,
}

#[derive(Clone, Debug, Default)]
struct RangeState {
    records: BTreeMap<String, Vec<u8>>,
    digest: Digest,
    bytes: usize,
    /// The sequence number at which the range was verified to be the source's; `None` if not verified in this epoch.
    verified_at: Option<u64>,
}

#[derive(Clone, Debug, Default)]
struct PartitionState {
    ranges: [RangeState; RANGES_PER_PARTITION as usize],
}

impl PartitionState {
    fn digest(&self) -> Digest {
        self.ranges.iter().fold(0, |sum, range| sum.wrapping_add(range.digest))
    }

    fn is_verified(&self, sequence: u64) -> bool {
        self.ranges.iter().all(|range| range.verified_at.is_some_and(|at| at <= sequence))
    }

    fn is_empty(&self) -> bool {
        self.ranges.iter().all(|range| range.records.is_empty())
    }
}

/// All records of a replica.
#[derive(Clone, Debug, Default)]
pub(crate) struct Store {
    partitions: BTreeMap<Partition, PartitionState>,
    records: usize,
    bytes: usize,
}

impl Store {
    pub fn len(&self) -> usize {
        self.records
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }

    pub fn get(&self, partition: &Partition, name: &str) -> Option<&[u8]> {
        let range = &self.partitions.get(partition)?.ranges[usize::from(range_index(name))];
        range.records.get(name).map(Vec::as_slice)
    }

    pub fn records(&self) -> impl Iterator<Item = (&Partition, &str, &[u8])> {
        self.partitions.iter().flat_map(|(partition, state)| {
            let records = state.ranges.iter().flat_map(|range| &range.records);
            records.map(move |(name, value)| (partition, name.as_str(), value.as_slice()))
        })
    }

    pub fn partitions(&self) -> impl Iterator<Item = &Partition> {
        self.partitions.keys()
    }

    /// The records of a range, by name.
    pub fn range(&self, range: &Range) -> impl Iterator<Item = (&str, &[u8])> {
        let state = self.range_state(range);
        let records = state.into_iter().flat_map(|state| &state.records);
        records.map(|(name, value)| (name.as_str(), value.as_slice()))
    }

    pub fn digest(&self) -> Digest {
        self.partitions.values().fold(0, |sum, partition| sum.wrapping_add(partition.digest()))
    }

    pub fn partition_digest(&self, partition: &Partition) -> Digest {
        self.partitions.get(partition).map_or(0, PartitionState::digest)
    }

    /// The size of a range's records in a message.
    pub fn range_bytes(&self, range: &Range) -> usize {
        self.range_state(range).map_or(0, |state| state.bytes)
    }

    pub fn range_digest(&self, range: &Range) -> Digest {
        self.range_state(range).map_or(0, |state| state.digest)
    }

    pub fn is_partition_empty(&self, partition: &Partition) -> bool {
        self.partitions.get(partition).is_none_or(PartitionState::is_empty)
    }

    pub fn contains(&self, partition: &Partition) -> bool {
        self.partitions.contains_key(partition)
    }

    /// Whether the partition is present and all its ranges were verified at or before this sequence number.
    pub fn is_partition_verified(&self, partition: &Partition, sequence: u64) -> bool {
        self.partitions.get(partition).is_some_and(|state| state.is_verified(sequence))
    }

    pub fn is_all_verified(&self, sequence: u64) -> bool {
        self.partitions.values().all(|state| state.is_verified(sequence))
    }

    /// Adds a partition without any verified range.
    pub fn add_partition(&mut self, partition: &Partition) {
        self.partitions.entry(partition.clone()).or_default();
    }

    /// Checks that a partition is present, or that there is room for it.
    pub fn check_partition_limit(&self, partition: &Partition, limits: &Limits) -> Result<(), StoreError> {
        match self.partitions.contains_key(partition) || self.partitions.len() < limits.partitions {
            true => Ok(()),
            false => Err(StoreError::LimitExceeded),
        }
    }

    /// Removes a partition if it is empty.
    pub fn drop_if_empty(&mut self, partition: &Partition) {
        if self.is_partition_empty(partition) {
            self.partitions.remove(partition);
        }
    }

    /// The sequence number at which a range was verified.
    pub fn verified_at(&self, range: &Range) -> Option<u64> {
        self.range_state(range)?.verified_at
    }

    pub fn verify(&mut self, range: &Range, sequence: u64, limits: &Limits) -> Result<(), StoreError> {
        self.range_state_mut(range, limits)?.verified_at = Some(sequence);
        Ok(())
    }

    pub fn verify_all(&mut self, sequence: u64) {
        let ranges = self.partitions.values_mut().flat_map(|partition| &mut partition.ranges);
        ranges.for_each(|range| range.verified_at = Some(sequence));
    }

    pub fn invalidate(&mut self, range: &Range) {
        if let Some(state) = self.partitions.get_mut(&range.partition) {
            state.ranges[usize::from(range.index)].verified_at = None;
        }
    }

    pub fn invalidate_all(&mut self) {
        let ranges = self.partitions.values_mut().flat_map(|partition| &mut partition.ranges);
        ranges.for_each(|range| range.verified_at = None);
    }

    /// Removes empty partitions, since zones come and go.
    pub fn drop_empty_partitions(&mut self) {
        self.partitions.retain(|_, partition| !partition.is_empty());
    }

    /// Applies a change and returns whether it had an effect. Removals succeed even at the limits.
    pub fn apply(&mut self, change: &Change, limits: &Limits) -> Result<bool, StoreError> {
        if !change.is_valid() {
            return Err(StoreError::Invalid);
        }
        match &change.value {
            Some(value) => self.set(&change.partition, &change.name, value, limits),
            None => Ok(self.remove(&change.partition, &change.name)),
        }
    }

    /// Replaces the records of a range and returns the resulting changes. Nothing is changed on an error.
    pub fn replace(
        &mut self,
        range: &Range,
        records: &[Record],
        limits: &Limits,
    ) -> Result<Vec<Change>, StoreError> {
        let wanted: BTreeMap<&str, &[u8]> =
            records.iter().map(|record| (record.name.as_str(), record.value.as_slice())).collect();
        let partition = &range.partition;
        let change = |name: &str, value: Option<&[u8]>| Change {
            partition: partition.clone(),
            name: name.to_owned(),
            value: value.map(<[u8]>::to_vec),
        };
        let removed = self.range(range).filter(|(name, _)| !wanted.contains_key(name));
        let mut changes: Vec<Change> = removed.map(|(name, _)| change(name, None)).collect();
        let differs = |(name, value): &(&&str, &&[u8])| self.get(partition, name) != Some(**value);
        changes.extend(wanted.iter().filter(differs).map(|(name, value)| change(name, Some(value))));
        self.check_limits(range, &changes, limits)?;
        for change in &changes {
            self.apply(change, limits)?;
        }
        Ok(changes)
    }

    /// Checks that a set of changes to one range is within the limits as a whole.
    fn check_limits(&self, range: &Range, changes: &[Change], limits: &Limits) -> Result<(), StoreError> {
        let (mut records, mut bytes, mut range_bytes) = (self.records, self.bytes, self.range_bytes(range));
        for change in changes {
            if !change.is_valid() {
                return Err(StoreError::Invalid);
            }
            if let Some(old) = self.get(&change.partition, &change.name) {
                records -= 1;
                bytes -= change.name.len() + old.len();
                range_bytes -= change.name.len() + old.len() + RECORD_OVERHEAD;
            }
            if let Some(new) = &change.value {
                records += 1;
                bytes += change.name.len() + new.len();
                range_bytes += change.name.len() + new.len() + RECORD_OVERHEAD;
            }
        }
        if records > limits.records || bytes > limits.record_bytes || range_bytes > MAX_RANGE_BYTES {
            return Err(StoreError::LimitExceeded);
        }
        Ok(())
    }

    fn set(
        &mut self,
        partition: &Partition,
        name: &str,
        value: &[u8],
        limits: &Limits,
    ) -> Result<bool, StoreError> {
        let old = self.get(partition, name);
        if old == Some(value) {
            return Ok(false);
        }
        let old_size = old.map_or(0, |old| name.len() + old.len());
        let records = self.records + usize::from(old.is_none());
        let bytes = self.bytes - old_size + name.len() + value.len();
        if records > limits.records || bytes > limits.record_bytes {
            return Err(StoreError::LimitExceeded);
        }
        let range = Range::of(partition, name);
        let old_range_bytes = old.map_or(0, |_| old_size + RECORD_OVERHEAD);
        let range_bytes =
            self.range_bytes(&range) - old_range_bytes + name.len() + value.len() + RECORD_OVERHEAD;
        if range_bytes > MAX_RANGE_BYTES {
            return Err(StoreError::LimitExceeded);
        }
        let old_digest = old.map_or(0, |old| record_digest(partition, name, old));
        let new_digest = record_digest(partition, name, value);
        let state = self.range_state_mut(&range, limits)?;
        state.bytes = range_bytes;
        state.records.insert(name.to_owned(), value.to_vec());
        state.digest = state.digest.wrapping_sub(old_digest).wrapping_add(new_digest);
        (self.records, self.bytes) = (records, bytes);
        Ok(true)
    }

    fn remove(&mut self, partition: &Partition, name: &str) -> bool {
        let Some(state) = self.partitions.get_mut(partition) else { return false };
        let range = &mut state.ranges[usize::from(range_index(name))];
        let Some(value) = range.records.remove(name) else { return false };
        range.digest = range.digest.wrapping_sub(record_digest(partition, name, &value));
        range.bytes -= name.len() + value.len() + RECORD_OVERHEAD;
        self.records -= 1;
        self.bytes -= name.len() + value.len();
        true
    }

    fn range_state(&self, range: &Range) -> Option<&RangeState> {
        self.partitions.get(&range.partition)?.ranges.get(usize::from(range.index))
    }

    fn range_state_mut(&mut self, range: &Range, limits: &Limits) -> Result<&mut RangeState, StoreError> {
        if !range.is_valid() {
            return Err(StoreError::Invalid);
        }
        self.check_partition_limit(&range.partition, limits)?;
        let state = self.partitions.entry(range.partition.clone()).or_default();
        Ok(&mut state.ranges[usize::from(range.index)])
    }
}
