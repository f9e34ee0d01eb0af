//! The owner's side of replication: tracks which replica holders have stored which versions, and so which commitments
//! the owner may make.

use crate::placement::{choose_holders, Candidate};
use crate::record::{JobId, Record};
use crate::replica_holder::StoreError;
use crate::Time;
use lineroute_fleet::{Incarnation, Member};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// A version is resent to a replica holder that has not acknowledged it within this time.
const RESEND_AFTER: Duration = Duration::from_millis(100);
/// A replica holder that has not answered within this time is considered unresponsive and is replaced.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(400);

/// An event for the owner.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Event {
    /// Send this record to a replica holder.
    Send(Member, Arc<Record>),
    /// A majority of the replica holders has stored this version and all earlier ones. Operations that depend on it
    /// may proceed.
    Replicated(JobId, u64),
    /// There are too few replica holders, or they are out of space. Operations that depend on this version must not
    /// proceed, unless the operator permits them to run without replication.
    UnderReplicated(JobId, u64),
    /// This incarnation is under recovery, or a later owner has the job. No more work may be done for it.
    Lost(JobId),
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct HolderProgress {
    /// The newest version that the holder has acknowledged, and the newest one sent to it.
    acked: u64,
    sent: u64,
    /// When the first unacknowledged version was sent, or the holder last made progress; and when to resend.
    unacked_since: Option<Time>,
    resend_at: Time,
    full: bool,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct OwnedRecord {
    /// Shared with the versions being sent, so that bodies are not copied for each replica holder.
    record: Arc<Record>,
    holders: BTreeMap<Member, HolderProgress>,
    /// The newest version stored by a majority.
    replicated: u64,
    /// The newest version reported as under-replicated.
    under_replicated: u64,
}

impl HolderProgress {
    fn new(now: Time) -> HolderProgress {
        HolderProgress { acked: 0, sent: 0, unacked_since: None, resend_at: now, full: false }
    }

    fn is_unresponsive(&self, now: Time) -> bool {
        self.full || self.unacked_since.is_some_and(|since| now.saturating_sub(since) >= UNRESPONSIVE_AFTER)
    }

    /// Whether a version must be sent now. If so, it is recorded as sent.
    fn is_due(&mut self, now: Time, version: u64) -> bool {
        if self.acked >= version {
            return false;
        }
        self.unacked_since.get_or_insert(now);
        let due = self.sent < version || self.resend_at <= now;
        if due {
            (self.sent, self.resend_at) = (version, now + RESEND_AFTER);
        }
        due
    }
}

impl OwnedRecord {
    /// Chooses the replica holders of this record. An unresponsive holder is not chosen again until it answers.
    fn choose_holders(
        &self,
        now: Time,
        id: JobId,
        owner: Candidate,
        candidates: &[Candidate],
        copies: usize,
    ) -> Vec<Member> {
        let responsive = |candidate: &Candidate| {
            self.holders.get(&candidate.member).is_none_or(|holder| !holder.is_unresponsive(now))
        };
        let responsive: Vec<Candidate> = candidates.iter().copied().filter(responsive).collect();
        choose_holders(id, owner, &responsive, copies)
    }

    /// The chosen holders that the newest version must be sent to now.
    fn due_receivers(&mut self, now: Time, wanted: &[Member]) -> Vec<Member> {
        let version = self.record.version;
        let mut receivers = Vec::new();
        for member in wanted {
            let progress = self.holders.entry(*member).or_insert_with(|| HolderProgress::new(now));
            if progress.is_due(now, version) {
                receivers.push(*member);
            }
        }
        receivers
    }

    /// The newest version that `count` holders have acknowledged. All holders that were ever sent a version count,
    /// since a recovery owner asks every member.
    fn version_held_by(&self, count: usize) -> u64 {
        let mut acked: Vec<u64> = self.holders.values().map(|holder| holder.acked).collect();
        acked.sort_unstable_by(|a, b| b.cmp(a));
        acked.get(count - 1).copied().unwrap_or(0)
    }
}

/// The records owned by a process, with the replica set of each.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ReplicaSets {
    me: Incarnation,
    zone: u16,
    copies: usize,
    candidates: Vec<Candidate>,
    owned: BTreeMap<JobId, OwnedRecord>,
    max_records: usize,
    bytes: usize,
    max_bytes: usize,
    events: Vec<Event>,
}

/// A limit on records is reached, so the job is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoCapacity;

impl ReplicaSets {
    /// Creates the empty replica sets of an incarnation. `copies` does not include the owner's copy; the other limits
    /// bound the number of records and their total size.
    pub fn new(
        me: Incarnation,
        zone: u16,
        copies: usize,
        max_records: usize,
        max_bytes: usize,
    ) -> ReplicaSets {
        let (candidates, owned, events) = Default::default();
        ReplicaSets { me, zone, copies, candidates, owned, max_records, bytes: 0, max_bytes, events }
    }

    /// Sets the members that can hold replicas. It makes no difference whether the list includes this process.
    pub fn set_candidates(&mut self, now: Time, candidates: Vec<Candidate>) {
        if self.candidates == candidates {
            return;
        }
        self.candidates = candidates;
        let ids: Vec<JobId> = self.owned.keys().copied().collect();
        ids.into_iter().for_each(|id| self.replicate(now, id));
    }

    /// Starts to replicate a record, either of a newly accepted job or of an adopted one.
    ///
    /// # Errors
    /// A limit is reached.
    pub fn insert(&mut self, now: Time, record: Record) -> Result<(), NoCapacity> {
        let size = record.size();
        if self.owned.len() >= self.max_records || self.bytes + size > self.max_bytes {
            return Err(NoCapacity);
        }
        let id = record.id;
        self.bytes += size;
        self.owned.insert(
            id,
            OwnedRecord {
                record: Arc::new(record),
                holders: BTreeMap::new(),
                replicated: 0,
                under_replicated: 0,
            },
        );
        self.replicate(now, id);
        Ok(())
    }

    /// Updates a record, sends it to its replica holders, and returns its new version. Returns `None` if the record
    /// is unknown.
    pub fn update<E>(
        &mut self,
        now: Time,
        id: JobId,
        change: impl FnOnce(&mut Record) -> Result<(), E>,
    ) -> Option<Result<u64, E>> {
        let owned = self.owned.get_mut(&id)?;
        let before = owned.record.size();
        if let Err(e) = change(Arc::make_mut(&mut owned.record)) {
            return Some(Err(e));
        }
        self.bytes = self.bytes - before + owned.record.size();
        let version = owned.record.version;
        self.replicate(now, id);
        Some(Ok(version))
    }

    /// Removes a record and returns the replica holders, which may drop it too.
    pub fn remove(&mut self, id: JobId) -> Vec<Member> {
        let Some(owned) = self.owned.remove(&id) else { return Vec::new() };
        self.bytes -= owned.record.size();
        owned.holders.into_keys().collect()
    }

    /// A replica holder has stored a version.
    pub fn acknowledge(&mut self, now: Time, from: Member, id: JobId, version: u64) {
        let Some(owned) = self.owned.get_mut(&id) else { return };
        let Some(progress) = owned.holders.get_mut(&from) else { return };
        if version > progress.acked {
            progress.acked = version;
            // The holder has responded, so its response time for the rest counts from now.
            progress.unacked_since = (version < owned.record.version).then_some(now);
        }
        progress.full = false;
        self.replicate(now, id);
    }

    /// A replica holder has rejected a version.
    pub fn reject(&mut self, now: Time, from: Member, id: JobId, error: StoreError) {
        let Some(owned) = self.owned.get_mut(&id) else { return };
        let Some(progress) = owned.holders.get_mut(&from) else { return };
        match error {
            StoreError::Full => {
                progress.full = true;
                self.replicate(now, id);
            }
            StoreError::UnderRecovery | StoreError::Superseded => {
                self.remove(id);
                self.events.push(Event::Lost(id));
            }
        }
    }

    /// Resends unacknowledged versions and replaces unresponsive replica holders.
    pub fn tick(&mut self, now: Time) {
        let incomplete =
            |owned: &OwnedRecord| owned.holders.values().any(|t| t.unacked_since.is_some() || t.full);
        let ids: Vec<JobId> = self.owned.iter().filter(|(_, o)| incomplete(o)).map(|(id, _)| *id).collect();
        ids.into_iter().for_each(|id| self.replicate(now, id));
    }

    /// Sends the newest version of a record to as many replica holders as it needs.
    fn replicate(&mut self, now: Time, id: JobId) {
        let owner = Candidate { member: self.me.member, zone: self.zone };
        let Some(owned) = self.owned.get_mut(&id) else { return };
        let wanted = owned.choose_holders(now, id, owner, &self.candidates, self.copies);
        let receivers = owned.due_receivers(now, &wanted);
        let record = &owned.record;
        self.events.extend(receivers.into_iter().map(|member| Event::Send(member, record.clone())));
        let majority = self.copies / 2 + 1;
        let replicated = owned.version_held_by(majority);
        if replicated > owned.replicated {
            owned.replicated = replicated;
            self.events.push(Event::Replicated(id, replicated));
        }
        let version = owned.record.version;
        if wanted.len() < majority && owned.replicated < version && owned.under_replicated < version {
            owned.under_replicated = version;
            self.events.push(Event::UnderReplicated(id, version));
        }
    }

    /// Returns an open record.
    pub fn record(&self, id: JobId) -> Option<&Record> {
        self.owned.get(&id).map(|owned| &*owned.record)
    }

    /// Whether a majority of the replica holders has stored a version.
    pub fn is_replicated(&self, id: JobId, version: u64) -> bool {
        self.owned.get(&id).is_some_and(|owned| owned.replicated >= version)
    }

    /// Takes the events since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Number of records and their total size in bytes.
    pub fn usage(&self) -> (usize, usize) {
        (self.owned.len(), self.bytes)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::record::{Effect, TransitionError};
    use crate::sample;

    const ID: JobId = JobId([3; 16]);
    const LEFT: Duration = Duration::from_secs(2);
    const ME: Incarnation = Incarnation { member: Member(0), number: 1 };

    fn ms(ms: u64) -> Time {
        Duration::from_millis(ms)
    }

    fn record(n: u8) -> Record {
        sample::record(n, ME, Effect::Once)
    }

    fn replicas(members: u16) -> ReplicaSets {
        let mut replicas = ReplicaSets::new(ME, 0, 2, 2, 4096);
        replicas.set_candidates(
            Time::ZERO,
            (0..members).map(|m| Candidate { member: Member(m), zone: m }).collect(),
        );
        replicas
    }

    fn sent_to(events: &[Event]) -> Vec<(Member, u64)> {
        let say = |e: &Event| match e {
            Event::Send(to, record) => Some((*to, record.version)),
            _ => None,
        };
        events.iter().filter_map(say).collect()
    }

    #[test]
    fn a_version_is_replicated_once_two_holders_acknowledge_it_and_old_acknowledgements_do_not_count() {
        let mut replicas = replicas(5);
        replicas.insert(Time::ZERO, record(3)).expect("below the limits");
        let first = sent_to(&replicas.take_events());
        assert_eq!(first.len(), 2);
        replicas.acknowledge(ms(1), first[0].0, ID, 1);
        assert!(!replicas.is_replicated(ID, 1) && replicas.take_events().is_empty());
        assert_eq!(replicas.update(ms(2), ID, |r| r.begin_attempt("w", LEFT)), Some(Ok(2)));
        replicas.acknowledge(ms(3), first[1].0, ID, 1);
        let events = replicas.take_events();
        assert!(events.contains(&Event::Replicated(ID, 1)) && !replicas.is_replicated(ID, 2), "{events:?}");
        assert_eq!(sent_to(&events).len(), 2);
        first.iter().for_each(|(member, _)| replicas.acknowledge(ms(4), *member, ID, 2));
        assert_eq!(replicas.take_events(), [Event::Replicated(ID, 2)]);
        // A change that the record does not allow is not sent.
        assert_eq!(
            replicas.update(ms(5), ID, |r| r.begin_attempt("w", LEFT)),
            Some(Err(TransitionError::AttemptInFlight))
        );
        assert!(replicas.take_events().is_empty());
    }

    #[test]
    fn lost_versions_are_resent_and_an_unresponsive_holder_is_replaced() {
        let mut replicas = replicas(4);
        replicas.insert(Time::ZERO, record(3)).expect("below the limits");
        let first = sent_to(&replicas.take_events());
        replicas.acknowledge(ms(1), first[0].0, ID, 1);
        replicas.tick(ms(50));
        assert!(replicas.take_events().is_empty());
        replicas.tick(ms(120));
        assert_eq!(sent_to(&replicas.take_events()), [(first[1].0, 1)]);
        replicas.tick(ms(420));
        let replacements = sent_to(&replicas.take_events());
        assert!(replacements.iter().any(|(m, _)| !first.iter().any(|(f, _)| f == m)), "{replacements:?}");
        replicas.acknowledge(ms(430), replacements[0].0, ID, 1);
        assert_eq!(replicas.take_events(), [Event::Replicated(ID, 1)]);
    }

    #[test]
    fn under_replication_is_reported_once_and_a_full_holder_does_not_count() {
        let mut replicas = replicas(3);
        replicas.insert(Time::ZERO, record(3)).expect("below the limits");
        let first = sent_to(&replicas.take_events());
        replicas.reject(ms(1), first[0].0, ID, StoreError::Full);
        replicas.reject(ms(2), first[1].0, ID, StoreError::Full);
        replicas.tick(ms(200));
        let short = |e: &&Event| **e == Event::UnderReplicated(ID, 1);
        assert_eq!(replicas.take_events().iter().filter(short).count(), 1);
        // When another member joins it is used as well, and the version is replicated once a full holder has space
        // again.
        replicas.set_candidates(ms(300), (0..5).map(|m| Candidate { member: Member(m), zone: m }).collect());
        let more = sent_to(&replicas.take_events());
        assert_eq!(more.len(), 2, "{more:?}");
        more.iter().for_each(|(member, version)| replicas.acknowledge(ms(310), *member, ID, *version));
        assert!(replicas.is_replicated(ID, 1));
    }

    #[test]
    fn an_incarnation_under_recovery_loses_its_job_and_limits_hold() {
        let mut replicas = replicas(5);
        replicas.insert(Time::ZERO, record(3)).expect("below the limits");
        replicas.insert(Time::ZERO, record(4)).expect("below the limits");
        assert_eq!(replicas.insert(Time::ZERO, record(5)), Err(NoCapacity));
        let first = sent_to(&replicas.take_events());
        let holder = first[0].0;
        replicas.reject(ms(1), holder, ID, StoreError::UnderRecovery);
        assert!(replicas.take_events().contains(&Event::Lost(ID)) && replicas.record(ID).is_none());
        // An acknowledgement that arrives late changes nothing.
        replicas.acknowledge(ms(2), holder, ID, 1);
        assert!(!replicas.is_replicated(ID, 1));
        assert!(!replicas.remove(JobId([4; 16])).is_empty());
        assert_eq!(replicas.usage(), (0, 0));
    }
}
