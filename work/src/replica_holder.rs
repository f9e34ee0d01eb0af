//! A replica holder stores records for the owners on other members. It accepts an owner's versions until that owner's
//! incarnation is under recovery; from then on it rejects them and serves the stored records to the recovery owner.

use crate::record::{Answer, JobId, Record};
use crate::Time;
use lineroute_fleet::{Incarnation, Token};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Maximum number of recovery leases remembered per member; the newest are kept. Versions of all earlier incarnations
/// are rejected as well.
const MAX_RECOVERY_LEASES: usize = 8;
/// Number of records in one page of orphaned work.
pub const PAGE_RECORDS: usize = 64;

/// Storage limits.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Limits {
    /// Maximum number of records.
    pub records: usize,
    /// Maximum total size of the records, in bytes.
    pub bytes: usize,
    /// How long a record is kept after the client's time is over, so that repeated requests find the answer.
    pub answer_retention: Duration,
}

/// Why a version is rejected.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum StoreError {
    /// The owner's incarnation is under recovery.
    UnderRecovery,
    /// A later owner has stored a version of this job.
    Superseded,
    /// A storage limit is reached.
    Full,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct StoredReplica {
    record: Record,
    until: Time,
}

/// The replicas that a member stores for the owners of records.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ReplicaHolder {
    limits: Limits,
    replicas: BTreeMap<JobId, StoredReplica>,
    /// Sorted by job id, so that orphaned work can be read in pages.
    by_owner: BTreeMap<Incarnation, BTreeSet<JobId>>,
    expiries: BTreeSet<(Time, JobId)>,
    recovery_leases: BTreeMap<Incarnation, Token>,
    bytes: usize,
}

/// The status of a job, for a repeated request with the same key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobStatus {
    /// The current owner.
    pub owner: Incarnation,
    /// The newest stored version.
    pub version: u64,
    /// The final answer, if there is one.
    pub answer: Option<Answer>,
    /// Whether the repeated request is the same as the recorded one. If not, the client must be told.
    pub same_request: bool,
}

/// All incarnations of the same member, in order.
fn incarnations_of(incarnation: Incarnation) -> std::ops::RangeInclusive<Incarnation> {
    Incarnation { number: 0, ..incarnation }..=Incarnation { number: u64::MAX, ..incarnation }
}

impl ReplicaHolder {
    /// Creates an empty replica holder.
    pub fn new(limits: Limits) -> ReplicaHolder {
        let (replicas, by_owner, expiries, recovery_leases) = Default::default();
        ReplicaHolder { limits, replicas, by_owner, expiries, recovery_leases, bytes: 0 }
    }

    /// Stores an owner's version. It is stored on return. Storing the same version again succeeds, and an older one
    /// changes nothing.
    ///
    /// # Errors
    /// The version was not stored, and the owner must not count this copy.
    pub fn store(&mut self, now: Time, record: Record) -> Result<u64, StoreError> {
        if self.is_under_recovery(record.owner) {
            return Err(StoreError::UnderRecovery);
        }
        let version = record.version;
        let old = self.replicas.get(&record.id).map(|kept| &kept.record);
        if let Some(old) = old {
            if old.token > record.token || (old.token == record.token && old.owner != record.owner) {
                return Err(StoreError::Superseded);
            }
            if !record.is_newer(old) {
                return Ok(version);
            }
        }
        let old_size = old.map_or(0, Record::size);
        let fits = self.bytes - old_size + record.size() <= self.limits.bytes;
        // A new version of a stored record is never rejected for the number of records, since its final answer would
        // be lost.
        if !fits || (old.is_none() && self.replicas.len() >= self.limits.records) {
            return Err(StoreError::Full);
        }
        self.put(now, record);
        Ok(version)
    }

    fn put(&mut self, now: Time, record: Record) {
        self.remove(record.id);
        let until = now + record.time_left + self.limits.answer_retention;
        self.bytes += record.size();
        self.by_owner.entry(record.owner).or_default().insert(record.id);
        self.expiries.insert((until, record.id));
        self.replicas.insert(record.id, StoredReplica { record, until });
    }

    fn remove(&mut self, id: JobId) -> Option<Record> {
        let StoredReplica { record, until } = self.replicas.remove(&id)?;
        self.bytes -= record.size();
        self.expiries.remove(&(until, id));
        if let Some(ids) = self.by_owner.get_mut(&record.owner) {
            ids.remove(&id);
            if ids.is_empty() {
                self.by_owner.remove(&record.owner);
            }
        }
        Some(record)
    }

    /// Accepts the recovery lease for a dead incarnation, under the token of its orphaned work. From then on all
    /// versions of that incarnation are rejected. Returns false if a later recovery owner holds the lease.
    pub fn accept_recovery_lease(&mut self, incarnation: Incarnation, token: Token) -> bool {
        let held = self.recovery_leases.get(&incarnation).is_some_and(|held| *held > token);
        if !held {
            self.recovery_leases.insert(incarnation, token);
            let incarnations: Vec<Incarnation> = self
                .recovery_leases
                .range(incarnations_of(incarnation))
                .map(|(incarnation, _)| *incarnation)
                .collect();
            let excess = incarnations.len().saturating_sub(MAX_RECOVERY_LEASES);
            for incarnation in &incarnations[..excess] {
                self.recovery_leases.remove(incarnation);
            }
        }
        !held
    }

    /// Whether an incarnation, or a later one of the same member, is under recovery.
    fn is_under_recovery(&self, incarnation: Incarnation) -> bool {
        let latest = self.recovery_leases.range(incarnations_of(incarnation)).next_back();
        latest.is_some_and(|(recovered, _)| recovered.number >= incarnation.number)
    }

    /// Returns a page of an incarnation's records with ids greater than `behind`, or `None` if this recovery lease is
    /// not the latest.
    pub fn page(&self, incarnation: Incarnation, token: Token, behind: Option<JobId>) -> Option<Vec<Record>> {
        if self.recovery_leases.get(&incarnation) != Some(&token) {
            return None;
        }
        let Some(all) = self.by_owner.get(&incarnation) else { return Some(Vec::new()) };
        let from = match behind {
            Some(id) => (std::ops::Bound::Excluded(id), std::ops::Bound::Unbounded),
            None => (std::ops::Bound::Unbounded, std::ops::Bound::Unbounded),
        };
        let ids = all.range(from).take(PAGE_RECORDS);
        Some(ids.filter_map(|id| self.replicas.get(id).map(|kept| kept.record.clone())).collect())
    }

    /// Returns the status of a job, if its record is stored here.
    pub fn find(&self, id: JobId, same_request: impl Fn(&Record) -> bool) -> Option<JobStatus> {
        let record = &self.replicas.get(&id)?.record;
        let (owner, version, answer) = (record.owner, record.version, record.answer.clone());
        Some(JobStatus { owner, version, answer, same_request: same_request(record) })
    }

    /// Removes a record that the owner no longer needs: the answer was delivered and its key has expired.
    pub fn forget(&mut self, owner: Incarnation, id: JobId) {
        if self.replicas.get(&id).is_some_and(|kept| kept.record.owner == owner) {
            self.remove(id);
        }
    }

    /// Drops expired records and returns their number. Their clients are long gone, so a recovery owner would have no
    /// one to answer.
    pub fn tick(&mut self, now: Time) -> usize {
        let mut dropped = 0;
        while let Some((until, id)) = self.expiries.first().copied().filter(|(until, _)| *until <= now) {
            self.expiries.remove(&(until, id));
            dropped += usize::from(self.remove(id).is_some());
        }
        dropped
    }

    /// Number of records and their total size in bytes.
    pub fn usage(&self) -> (usize, usize) {
        (self.replicas.len(), self.bytes)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::record::Effect;
    use crate::sample;
    use lineroute_fleet::Member;

    const LIMITS: Limits = Limits { records: 3, bytes: 4096, answer_retention: Duration::from_secs(5) };

    fn incarnation(member: u16) -> Incarnation {
        Incarnation { member: Member(member), number: 1 }
    }

    fn record(n: u8, owner: Incarnation) -> Record {
        sample::record(n, owner, Effect::Once)
    }

    #[test]
    fn recovery_ends_the_incarnations_writes_and_the_latest_recovery_owner_reads_its_records() {
        let mut holder = ReplicaHolder::new(LIMITS);
        let mut one = record(1, incarnation(0));
        assert_eq!(holder.store(Time::ZERO, one.clone()), Ok(1));
        one.begin_attempt("w1", Duration::from_secs(1)).expect("no attempt is in flight");
        assert!(holder.accept_recovery_lease(incarnation(0), 7));
        assert_eq!(holder.store(Time::ZERO, one.clone()), Err(StoreError::UnderRecovery));
        assert_eq!(holder.page(incarnation(0), 7, None), Some(vec![record(1, incarnation(0))]));
        // A later recovery owner takes over the lease, and versions of the first one are rejected from then on.
        assert!(
            holder.accept_recovery_lease(incarnation(0), 9)
                && !holder.accept_recovery_lease(incarnation(0), 7)
        );
        assert_eq!(holder.page(incarnation(0), 7, None), None);
        let mut adopted = record(1, incarnation(0));
        adopted.adopt(incarnation(2), 9, Duration::from_secs(1));
        assert_eq!(holder.store(Time::ZERO, adopted), Ok(2));
        let mut late = record(1, incarnation(0));
        late.adopt(incarnation(1), 7, Duration::from_secs(1));
        assert_eq!(holder.store(Time::ZERO, late), Err(StoreError::Superseded));
        assert_eq!(holder.page(incarnation(0), 9, None), Some(Vec::new()));
    }

    /// Guards against forgetting the recovery lease of an incarnation: its versions must still be rejected.
    #[test]
    fn versions_of_earlier_incarnations_are_rejected_however_many_are_under_recovery() {
        let mut holder = ReplicaHolder::new(LIMITS);
        for number in 1..40 {
            assert!(holder.accept_recovery_lease(Incarnation { number, ..incarnation(0) }, number));
        }
        let version_of = |number| record(1, Incarnation { number, ..incarnation(0) });
        assert!((1..40)
            .all(|number| holder.clone().store(Time::ZERO, version_of(number))
                == Err(StoreError::UnderRecovery)));
        assert_eq!(holder.store(Time::ZERO, version_of(40)), Ok(1));
        assert_eq!(holder.store(Time::ZERO, record(2, incarnation(1))), Ok(1));
        assert!(holder.recovery_leases.len() <= MAX_RECOVERY_LEASES);
    }

    #[test]
    fn limits_hold_and_a_stored_record_can_always_be_answered() {
        let mut holder = ReplicaHolder::new(LIMITS);
        (1..=3).for_each(|n| assert_eq!(holder.store(Time::ZERO, record(n, incarnation(0))), Ok(1)));
        assert_eq!(holder.store(Time::ZERO, record(4, incarnation(0))), Err(StoreError::Full));
        let mut done = record(2, incarnation(0));
        done.set_answer(Answer::Served(vec![1; 50]), Duration::ZERO).expect("no answer yet");
        assert_eq!(holder.store(Time::ZERO, done.clone()), Ok(2));
        // An older version that arrives late changes nothing.
        assert_eq!(holder.store(Time::ZERO, record(2, incarnation(0))), Ok(1));
        assert_eq!(
            holder.find(JobId([2; 16]), |r| r.request.same_as(&done.request)).and_then(|f| f.answer),
            done.answer
        );
        done.set_answer(Answer::Failed, Duration::ZERO).expect_err("already answered");
        assert_eq!(holder.tick(Duration::from_secs(6)), 1);
        assert_eq!(holder.tick(Duration::from_secs(8)), 2);
        assert_eq!(holder.usage(), (0, 0));
    }

    #[test]
    fn orphaned_work_is_paged_with_each_record_once() {
        let limits = Limits { records: 1000, bytes: 1 << 20, ..LIMITS };
        let mut holder = ReplicaHolder::new(limits);
        for n in 0..200 {
            assert_eq!(holder.store(Time::ZERO, record(n, incarnation(u16::from(n) % 2))), Ok(1));
        }
        assert!(holder.accept_recovery_lease(incarnation(0), 1));
        let (mut seen, mut behind) = (Vec::new(), None);
        loop {
            let page = holder.page(incarnation(0), 1, behind).expect("the recovery lease is valid");
            let Some(last) = page.last() else { break };
            behind = Some(last.id);
            seen.extend(page.iter().map(|r| r.id));
        }
        seen.dedup();
        assert_eq!(seen.len(), 100);
    }
}
