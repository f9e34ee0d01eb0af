//! A copy of the source's records, as maintained by the source, relays, and subscribers.

use crate::history::{Batch, History, NumberedChange};
use crate::message::{PartitionDigests, Query, RangeContents, ReplyBody, Request};
use crate::position::Position;
use crate::record::{Change, Digest, Partition, Range, Record};
use crate::store::{Store, StoreError};
use crate::timing::Limits;

/// Bytes of a reply that are not available for changes.
const REPLY_OVERHEAD_BYTES: usize = 32;
/// The maximum total size of the ranges in a reply, not counting the first range; keeps the reply within the message
/// size limit.
const MAX_CONTENTS_BYTES: usize = 32 << 10;

/// Records, their position in the log, and the changes that led to it.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    limits: Limits,
    position: Option<Position>,
    store: Store,
    history: History,
    /// Whether all partitions of the source in this epoch are known; if so, a partition that is not present is empty.
    partitions_known: bool,
    /// Whether the position was a head of the source or a relay, rather than within a batch that continues.
    at_head: bool,
}

impl Replica {
    /// Creates an empty replica without a position.
    pub fn new(limits: Limits) -> Replica {
        Replica { limits, ..Replica::default() }
    }

    /// The position in the log.
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// The value of a record.
    pub fn get(&self, partition: &Partition, name: &str) -> Option<&[u8]> {
        self.store.get(partition, name)
    }

    /// All records, by partition.
    pub fn records(&self) -> impl Iterator<Item = (&Partition, &str, &[u8])> {
        self.store.records()
    }

    /// The number of records.
    pub fn len(&self) -> usize {
        self.store.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.store.len() == 0
    }

    /// The total size of the names and values of all records in bytes.
    pub fn record_bytes(&self) -> usize {
        self.store.bytes()
    }

    /// The number of changes in the history.
    pub fn history_len(&self) -> usize {
        self.history.len()
    }

    /// The digest of all records.
    pub fn digest(&self) -> Digest {
        self.store.digest()
    }

    /// Whether all records are verified to be the source's at the position.
    pub fn is_complete(&self) -> bool {
        self.partitions_known && self.store.is_all_verified(self.sequence())
    }

    /// Whether a partition is verified to be the source's at the position.
    pub fn is_verified(&self, partition: &Partition) -> bool {
        match self.store.contains(partition) {
            true => self.store.is_partition_verified(partition, self.sequence()),
            false => self.partitions_known,
        }
    }

    /// Whether a range is verified to be the source's at the position; only such ranges are served. A range that was
    /// fetched at a later position counts as verified once the changes up to that position have been applied.
    fn is_range_verified(&self, range: &Range) -> bool {
        match self.store.contains(&range.partition) {
            true => self.store.verified_at(range).is_some_and(|at| at <= self.sequence()),
            false => self.partitions_known,
        }
    }

    fn sequence(&self) -> u64 {
        self.position.map_or(0, |position| position.sequence)
    }

    pub(crate) fn store(&self) -> &Store {
        &self.store
    }

    /// Starts to follow the log at a position. Records are kept but must be verified again.
    pub(crate) fn start_at(&mut self, position: Position) {
        self.position = Some(position);
        self.history.reset(position.sequence);
        self.store.invalidate_all();
        self.partitions_known = false;
        self.at_head = true;
    }

    /// Makes this the source's replica at the beginning of an epoch.
    pub(crate) fn become_source(&mut self, position: Position) {
        self.start_at(position);
        self.store.drop_empty_partitions();
        // The configuration is essential to every subscriber, so it is listed even while it is empty.
        self.store.add_partition(&Partition::Configuration);
        self.store.verify_all(position.sequence);
        self.partitions_known = true;
    }

    /// Marks all partitions of the source as known: at `sequence` it listed these, and all others were empty. Returns
    /// the resulting changes.
    pub(crate) fn set_partitions_known(
        &mut self,
        listed: &[&Partition],
        sequence: u64,
    ) -> Result<Vec<Change>, StoreError> {
        let is_removed = |partition: &&Partition| !listed.contains(partition);
        let removed: Vec<Partition> = self.store.partitions().filter(is_removed).cloned().collect();
        let mut changes = Vec::new();
        for range in removed.iter().flat_map(Range::all) {
            if self.store.verified_at(&range).is_none() {
                changes.extend(self.replace(&range, &[], sequence)?);
            }
        }
        self.store.drop_empty_partitions();
        for partition in listed {
            self.store.check_partition_limit(partition, &self.limits)?;
            self.store.add_partition(partition);
        }
        self.partitions_known = true;
        Ok(changes)
    }

    /// Appends a change to the log, as its source. Returns whether the change had an effect; a change without effect
    /// is not appended. The sequence number must not be at its maximum.
    pub(crate) fn append(&mut self, change: Change) -> Result<bool, StoreError> {
        let Some(position) = &mut self.position else { return Ok(false) };
        if !self.store.apply(&change, &self.limits)? {
            return Ok(false);
        }
        position.sequence += 1;
        let sequence = position.sequence;
        self.store.verify(&Range::of(&change.partition, &change.name), sequence, &self.limits)?;
        self.verify_remaining_ranges(&change.partition, sequence)?;
        if change.partition != Partition::Configuration {
            // A partition that is not present counts as empty. Zones come and go, and must not exhaust the partition
            // limit.
            self.store.drop_if_empty(&change.partition);
        }
        self.history.push(sequence, change, &self.limits);
        Ok(true)
    }

    /// A partition created by a change is completely known if all partitions are known.
    fn verify_remaining_ranges(&mut self, partition: &Partition, sequence: u64) -> Result<(), StoreError> {
        for range in Range::all(partition) {
            if self.store.verified_at(&range).is_none() {
                self.store.verify(&range, sequence, &self.limits)?;
            }
        }
        Ok(())
    }

    /// Applies changes that follow the position in its epoch, up to `to`, where `head` is the end of the other
    /// replica's log. Returns the changes that had an effect. After an error some changes may have been applied, and
    /// the position is unchanged.
    pub(crate) fn apply(
        &mut self,
        changes: &[NumberedChange],
        to: u64,
        head: u64,
    ) -> Result<Vec<Change>, StoreError> {
        let Some(position) = self.position else { return Ok(Vec::new()) };
        let mut applied = Vec::new();
        for NumberedChange { offset, change } in changes {
            let sequence = position.sequence.saturating_add(*offset);
            let range = Range::of(&change.partition, &change.name);
            let is_new = self.partitions_known && !self.store.contains(&change.partition);
            // A range that was fetched at a later position already contains this change or a newer one.
            if self.store.verified_at(&range).is_none_or(|at| at < sequence)
                && self.store.apply(change, &self.limits)?
            {
                applied.push(change.clone());
            }
            if is_new && self.store.contains(&change.partition) {
                self.verify_remaining_ranges(&change.partition, sequence)?;
            }
        }
        for NumberedChange { offset, change } in changes {
            self.history.push(position.sequence.saturating_add(*offset), change.clone(), &self.limits);
        }
        self.position = Some(Position { sequence: to, ..position });
        self.at_head = to == head;
        Ok(applied)
    }

    /// Replaces a range with its contents in another replica at a sequence number. Returns the resulting changes.
    pub(crate) fn replace(
        &mut self,
        range: &Range,
        records: &[Record],
        sequence: u64,
    ) -> Result<Vec<Change>, StoreError> {
        let changes = self.store.replace(range, records, &self.limits)?;
        self.store.verify(range, sequence, &self.limits)?;
        Ok(changes)
    }

    /// Marks a range as equal to that of another replica at a sequence number.
    pub(crate) fn verify(&mut self, range: &Range, sequence: u64) -> Result<(), StoreError> {
        self.store.verify(range, sequence, &self.limits)
    }

    /// Applies a change that did not come from the log; its range must be verified again.
    pub(crate) fn overwrite(&mut self, change: &Change) -> Result<bool, StoreError> {
        let differs = self.store.apply(change, &self.limits)?;
        if differs {
            self.store.invalidate(&Range::of(&change.partition, &change.name));
        }
        Ok(differs)
    }

    /// Marks everything as unverified, when the records do not match the log.
    pub(crate) fn invalidate(&mut self) {
        self.store.invalidate_all();
        self.partitions_known = false;
    }

    /// Returns the reply to a request.
    pub(crate) fn reply_to(&self, request: &Request) -> ReplyBody {
        let Some(position) = self.position else { return ReplyBody::NotServing };
        let max_bytes = request.max_bytes as usize;
        match &request.query {
            Query::Changes { after } => self.changes_reply(position, *after, max_bytes),
            Query::Partitions => ReplyBody::Partitions(self.partition_digests(position)),
            Query::RangeDigests { partition } => self.range_digests_reply(position, partition),
            Query::Contents { ranges } => self.contents_reply(position, ranges, max_bytes),
        }
    }

    fn changes_reply(&self, position: Position, after: Option<Position>, max_bytes: usize) -> ReplyBody {
        let Some(after) = after else { return ReplyBody::ResyncRequired(self.partition_digests(position)) };
        if after > position {
            return ReplyBody::Lagging;
        }
        let head = position.sequence;
        let available = max_bytes.saturating_sub(REPLY_OVERHEAD_BYTES).min(MAX_CONTENTS_BYTES);
        let batch = match after.epoch == position.epoch {
            true => self.history.after(after.sequence, head, available),
            false => None,
        };
        match batch {
            Some(Batch { to, changes }) => {
                // Within a batch only the last change of each record is present, so the effect of earlier ones is
                // missing.
                let digest = (self.at_head && self.is_complete()).then(|| self.digest());
                ReplyBody::Changes { to, head, digest, changes }
            }
            None => ReplyBody::ResyncRequired(self.partition_digests(position)),
        }
    }

    fn partition_digests(&self, position: Position) -> PartitionDigests {
        let known = self.store.partitions().filter(|partition| self.is_verified(partition));
        let digests = known.map(|p| (p.clone(), self.store.partition_digest(p))).collect();
        PartitionDigests { position, is_complete: self.is_complete(), digests }
    }

    fn range_digests_reply(&self, position: Position, partition: &Partition) -> ReplyBody {
        let digest = |range: Range| self.is_range_verified(&range).then(|| self.store.range_digest(&range));
        let digests = Range::all(partition).map(digest).collect();
        ReplyBody::RangeDigests { position, partition: partition.clone(), digests }
    }

    fn contents_reply(&self, position: Position, ranges: &[Range], max_bytes: usize) -> ReplyBody {
        let mut contents = Vec::new();
        let mut bytes = REPLY_OVERHEAD_BYTES;
        for range in ranges.iter().filter(|range| self.is_range_verified(range)) {
            bytes += self.store.range_bytes(range);
            // The first range is always sent completely; otherwise a subscriber could not make progress.
            if bytes > max_bytes.min(MAX_CONTENTS_BYTES) && !contents.is_empty() {
                break;
            }
            let record =
                |(name, value): (&str, &[u8])| Record { name: name.to_owned(), value: value.to_vec() };
            let records = self.store.range(range).map(record).collect();
            contents.push(RangeContents {
                range: range.clone(),
                records,
                digest: self.store.range_digest(range),
            });
        }
        ReplyBody::Contents { position, ranges: contents }
    }
}
