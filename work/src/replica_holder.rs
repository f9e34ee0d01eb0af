//! A replica holder: what a member stores for others. It takes an owner's versions as long as nobody recovers that
//! owner's incarnation; after that it takes none of them, and gives the recovery owner what it has.

use crate::record::{Answer, JobId, Record};
use crate::Time;
use lineroute_fleet::{Incarnation, Token};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Recovery leases of one member's incarnations that are remembered, the latest ones. Versions of incarnations before
/// them are refused as well.
const MAX_RECOVERY_LEASES: usize = 8;
/// Records in one page of orphaned work.
pub const PAGE_RECORDS: usize = 64;

/// How much may be kept.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Limits {
    /// Records at a time.
    pub records: usize,
    /// Bytes of all of them together.
    pub bytes: usize,
    /// How long an answer is kept beyond its client's time, for those that come again.
    pub answer_retention: Duration,
}

/// Why a version is not taken.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum StoreError {
    /// The owner's incarnation is under recovery: it is over.
    UnderRecovery,
    /// A later owner has spoken of this job.
    Superseded,
    /// There is no room.
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
    /// In the order of their ids, so that orphaned work can be given in pages.
    by_owner: BTreeMap<Incarnation, BTreeSet<JobId>>,
    ends: BTreeSet<(Time, JobId)>,
    recovery_leases: BTreeMap<Incarnation, Token>,
    bytes: usize,
}

/// How a job stands, for one that asks for it by its key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobStatus {
    /// Who takes care of it.
    pub owner: Incarnation,
    /// How far that owner's versions are known.
    pub version: u64,
    /// The answer, where it has one.
    pub answer: Option<Answer>,
    /// Whether the one that asks wants the same; if not it must be told so.
    pub same_request: bool,
}

/// All incarnations of an incarnation's member, in their order.
fn incarnations_of(incarnation: Incarnation) -> std::ops::RangeInclusive<Incarnation> {
    Incarnation { number: 0, ..incarnation }..=Incarnation { number: u64::MAX, ..incarnation }
}

impl ReplicaHolder {
    /// One that keeps nothing yet.
    pub fn new(limits: Limits) -> ReplicaHolder {
        let (replicas, by_owner, ends, recovery_leases) = Default::default();
        ReplicaHolder { limits, replicas, by_owner, ends, recovery_leases, bytes: 0 }
    }

    /// An owner's version: kept on return. The same version again is taken again; an older one changes nothing.
    ///
    /// # Errors
    /// It is not kept, and the owner must not count on it.
    pub fn store(&mut self, now: Time, record: Record) -> Result<u64, StoreError> {
        if self.is_over(record.owner) {
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
        let freed = old.map_or(0, Record::size);
        let room = self.bytes - freed + record.size() <= self.limits.bytes;
        // What is known already is never refused for the number of records: its end would be lost.
        if !room || (old.is_none() && self.replicas.len() >= self.limits.records) {
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
        self.ends.insert((until, record.id));
        self.replicas.insert(record.id, StoredReplica { record, until });
    }

    fn remove(&mut self, id: JobId) -> Option<Record> {
        let StoredReplica { record, until } = self.replicas.remove(&id)?;
        self.bytes -= record.size();
        self.ends.remove(&(until, id));
        if let Some(of_it) = self.by_owner.get_mut(&record.owner) {
            of_it.remove(&id);
            if of_it.is_empty() {
                self.by_owner.remove(&record.owner);
            }
        }
        Some(record)
    }

    /// Accepts the recovery lease for a dead incarnation, under the token of its orphaned work.
    /// From here on no version of that incarnation is taken.
    /// True: this lease holds; false: a later recovery owner has one.
    pub fn accept_recovery_lease(&mut self, incarnation: Incarnation, token: Token) -> bool {
        let held = self.recovery_leases.get(&incarnation).is_some_and(|held| *held > token);
        if !held {
            self.recovery_leases.insert(incarnation, token);
            let of_it: Vec<Incarnation> = self
                .recovery_leases
                .range(incarnations_of(incarnation))
                .map(|(incarnation, _)| *incarnation)
                .collect();
            let over = of_it.len().saturating_sub(MAX_RECOVERY_LEASES);
            for incarnation in &of_it[..over] {
                self.recovery_leases.remove(incarnation);
            }
        }
        !held
    }

    /// Whether an incarnation is under recovery, or a later one of the same member.
    fn is_over(&self, incarnation: Incarnation) -> bool {
        let latest = self.recovery_leases.range(incarnations_of(incarnation)).next_back();
        latest.is_some_and(|(claimed, _)| claimed.number >= incarnation.number)
    }

    /// A page of an incarnation's records, those behind an id; nothing where the recovery lease is not the latest.
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

    /// How a job stands, if it is kept here.
    pub fn find(&self, id: JobId, same_request: impl Fn(&Record) -> bool) -> Option<JobStatus> {
        let record = &self.replicas.get(&id)?.record;
        let (owner, version, answer) = (record.owner, record.version, record.answer.clone());
        Some(JobStatus { owner, version, answer, same_request: same_request(record) })
    }

    /// The owner needs a record no longer: its answer was fetched and its key's time is over.
    pub fn forget(&mut self, owner: Incarnation, id: JobId) {
        if self.replicas.get(&id).is_some_and(|kept| kept.record.owner == owner) {
            self.remove(id);
        }
    }

    /// Drops what is over by time, and tells how many: the client has long gone, and a recovery owner would have nobody
    /// to answer.
    pub fn tick(&mut self, now: Time) -> usize {
        let mut dropped = 0;
        while let Some((until, id)) = self.ends.first().copied().filter(|(until, _)| *until <= now) {
            self.ends.remove(&(until, id));
            dropped += usize::from(self.remove(id).is_some());
        }
        dropped
    }

    /// Records and their bytes.
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
    fn an_incarnation_under_recovery_writes_no_more_and_its_records_go_to_the_latest_recovery_owner() {
        let mut holder = ReplicaHolder::new(LIMITS);
        let mut one = record(1, incarnation(0));
        assert_eq!(holder.store(Time::ZERO, one.clone()), Ok(1));
        one.begin_attempt("w1", Duration::from_secs(1)).expect("none is out");
        assert!(holder.accept_recovery_lease(incarnation(0), 7));
        assert_eq!(holder.store(Time::ZERO, one.clone()), Err(StoreError::UnderRecovery));
        assert_eq!(holder.page(incarnation(0), 7, None), Some(vec![record(1, incarnation(0))]));
        // A later recovery owner takes it from the first, whose own versions go on being refused.
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

    /// Guards against an incarnation whose recovery lease was forgotten: its versions must go on being refused.
    #[test]
    fn however_many_incarnations_are_under_recovery_no_earlier_one_writes_again() {
        let mut holder = ReplicaHolder::new(LIMITS);
        for number in 1..40 {
            assert!(holder.accept_recovery_lease(Incarnation { number, ..incarnation(0) }, number));
        }
        let spoken = |number| record(1, Incarnation { number, ..incarnation(0) });
        assert!(
            (1..40)
                .all(|number| holder.clone().store(Time::ZERO, spoken(number))
                    == Err(StoreError::UnderRecovery))
        );
        assert_eq!(holder.store(Time::ZERO, spoken(40)), Ok(1));
        assert_eq!(holder.store(Time::ZERO, record(2, incarnation(1))), Ok(1));
        assert!(holder.recovery_leases.len() <= MAX_RECOVERY_LEASES);
    }

    #[test]
    fn bounds_hold_and_what_is_known_may_always_come_to_its_end() {
        let mut holder = ReplicaHolder::new(LIMITS);
        (1..=3).for_each(|n| assert_eq!(holder.store(Time::ZERO, record(n, incarnation(0))), Ok(1)));
        assert_eq!(holder.store(Time::ZERO, record(4, incarnation(0))), Err(StoreError::Full));
        let mut done = record(2, incarnation(0));
        done.set_answer(Answer::Served(vec![1; 50]), Duration::ZERO).expect("it had none");
        assert_eq!(holder.store(Time::ZERO, done.clone()), Ok(2));
        // An older version that comes late changes nothing.
        assert_eq!(holder.store(Time::ZERO, record(2, incarnation(0))), Ok(1));
        assert_eq!(
            holder.find(JobId([2; 16]), |r| r.request.same_as(&done.request)).and_then(|f| f.answer),
            done.answer
        );
        done.set_answer(Answer::Failed, Duration::ZERO).expect_err("it has one");
        assert_eq!(holder.tick(Duration::from_secs(6)), 1);
        assert_eq!(holder.tick(Duration::from_secs(8)), 2);
        assert_eq!(holder.usage(), (0, 0));
    }

    #[test]
    fn much_orphaned_work_comes_in_pages_each_record_once() {
        let limits = Limits { records: 1000, bytes: 1 << 20, ..LIMITS };
        let mut holder = ReplicaHolder::new(limits);
        for n in 0..200 {
            assert_eq!(holder.store(Time::ZERO, record(n, incarnation(u16::from(n) % 2))), Ok(1));
        }
        assert!(holder.accept_recovery_lease(incarnation(0), 1));
        let (mut seen, mut behind) = (Vec::new(), None);
        loop {
            let page = holder.page(incarnation(0), 1, behind).expect("the recovery lease holds");
            let Some(last) = page.last() else { break };
            behind = Some(last.id);
            seen.extend(page.iter().map(|r| r.id));
        }
        seen.dedup();
        assert_eq!(seen.len(), 100);
    }
}
