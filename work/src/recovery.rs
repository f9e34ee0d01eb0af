//! Decides what a recovery owner does with each job it finds. The decision depends only on the record and the time,
//! so two recovery owners that find the same record decide the same.

use crate::record::{Answer, Effect, JobId, Record};
use crate::Time;
use lineroute_fleet::{Incarnation, Member, Token};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

/// What to do with a job.
#[derive(Clone, Debug, PartialEq)]
pub enum Plan {
    /// Dispatch it like a new job.
    Dispatch,
    /// Cancel the attempt at that worker first, and dispatch the job once the worker has confirmed.
    CancelThenDispatch(String),
    /// The attempt may be running and must not be repeated. Wait for an update from that worker; without one by the
    /// deadline the job fails as in doubt.
    AwaitWorker(String),
    /// Answer at once.
    Answer(Answer),
    /// The job has its answer, which is kept for clients that ask for it.
    KeepAnswer,
}

/// Plans the recovery of a job, given the client's remaining time and the age of the first attempt.
pub fn plan(record: &Record, time_left: Duration, age: Duration) -> Plan {
    if record.answer.is_some() {
        return Plan::KeepAnswer;
    }
    let may_repeat = match record.request.effect {
        Effect::Repeatable => true,
        Effect::ByKey(window) => age < window,
        Effect::Once => false,
    };
    if time_left.is_zero() {
        let answer = if record.may_have_run() && !may_repeat { Answer::InDoubt } else { Answer::Failed };
        return Plan::Answer(answer);
    }
    match record.attempt_in_flight() {
        Some(attempt) if may_repeat => Plan::CancelThenDispatch(attempt.worker.clone()),
        Some(attempt) => Plan::AwaitWorker(attempt.worker.clone()),
        None if may_repeat || !record.may_have_run() => Plan::Dispatch,
        None => Plan::Answer(Answer::InDoubt),
    }
}

/// Collects orphaned work: the newest version of each job held by any member.
///
/// A version that a commitment depends on is stored by a majority of the copies, and any member may have replaced one
/// of the replica holders. So everything committed has been found once the number of members that have not reported
/// is smaller than that majority.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct OrphanedWork {
    incarnation: Incarnation,
    token: Token,
    members: BTreeSet<Member>,
    max_missing: usize,
    heard_from: BTreeSet<Member>,
    found: BTreeMap<JobId, Record>,
}

impl OrphanedWork {
    /// Starts to collect the work of a dead incarnation. `all` are the members that may hold replicas, including this
    /// process; the dead member is ignored. `copies` is the number of replicas per record.
    pub fn new(
        incarnation: Incarnation,
        token: Token,
        all: impl IntoIterator<Item = Member>,
        copies: usize,
    ) -> OrphanedWork {
        let members = all.into_iter().filter(|m| *m != incarnation.member).collect();
        let (heard_from, found) = Default::default();
        OrphanedWork { incarnation, token, members, max_missing: copies / 2, heard_from, found }
    }

    /// The dead incarnation, and the token under which its work is collected.
    pub fn incarnation_and_token(&self) -> (Incarnation, Token) {
        (self.incarnation, self.token)
    }

    /// Adds a page of a member's records. `last` marks the member's last page.
    pub fn add_page(&mut self, from: Member, records: Vec<Record>, last: bool) {
        for record in records.into_iter().filter(|r| r.owner == self.incarnation) {
            match self.found.get(&record.id) {
                Some(found) if !record.is_newer(found) => {}
                _ => drop(self.found.insert(record.id, record)),
            }
        }
        if last && self.members.contains(&from) {
            self.heard_from.insert(from);
        }
    }

    /// Members that have not reported all their records.
    pub fn pending_members(&self) -> impl Iterator<Item = Member> + '_ {
        self.members.difference(&self.heard_from).copied()
    }

    /// Whether all committed versions have been found. Until then no record may be acted on.
    pub fn is_complete(&self) -> bool {
        self.members.len() - self.heard_from.len() <= self.max_missing
    }

    /// Returns the records found.
    ///
    /// # Errors
    /// The collection is not complete; it is returned unchanged.
    pub fn into_records(self) -> Result<Vec<Record>, OrphanedWork> {
        match self.is_complete() {
            true => Ok(self.found.into_values().collect()),
            false => Err(self),
        }
    }
}

#[derive(Debug, PartialEq)]
struct Waiting {
    worth: f64,
    due: Reverse<Time>,
    record: Record,
}

impl Eq for Waiting {}

impl Ord for Waiting {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.worth
            .total_cmp(&other.worth)
            .then(self.due.cmp(&other.due))
            .then(self.record.id.cmp(&other.record.id))
    }
}

impl PartialOrd for Waiting {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// Limits the rate at which orphaned work is dispatched again: most valuable jobs first, then most urgent. Jobs
/// without remaining time are released at once, since they only need an answer.
pub struct RecoveryPacer {
    waiting: BinaryHeap<Waiting>,
    per_s: f64,
    credit: f64,
    last: Time,
}

impl RecoveryPacer {
    /// Limits the rate to this many jobs per second, with a burst of a tenth of that.
    pub fn new(now: Time, per_s: f64) -> RecoveryPacer {
        RecoveryPacer { waiting: BinaryHeap::new(), per_s, credit: (per_s / 10.0).max(1.0), last: now }
    }

    /// Adds a job with its value and its deadline.
    pub fn push(&mut self, record: Record, worth: f64, due: Time) {
        self.waiting.push(Waiting { worth, due: Reverse(due), record });
    }

    /// Returns the jobs to handle now, each with its remaining time.
    pub fn due(&mut self, now: Time) -> Vec<(Record, Duration)> {
        let max_credit = (self.per_s / 10.0).max(1.0);
        self.credit =
            (self.credit + now.saturating_sub(self.last).as_secs_f64() * self.per_s).min(max_credit);
        self.last = self.last.max(now);
        let mut out = Vec::new();
        let mut expired = Vec::new();
        // The heap is rebuilt only if a deadline has passed, which is rare.
        if self.waiting.iter().any(|w| w.due.0 <= now) {
            let all = std::mem::take(&mut self.waiting).into_vec();
            let (expired_now, waiting): (Vec<_>, Vec<_>) = all.into_iter().partition(|w| w.due.0 <= now);
            (expired, self.waiting) = (expired_now, waiting.into());
        }
        out.extend(expired.into_iter().map(|w| (w.record, Duration::ZERO)));
        while self.credit >= 1.0 {
            let Some(next) = self.waiting.pop() else { break };
            self.credit -= 1.0;
            out.push((next.record, next.due.0 - now));
        }
        out
    }

    /// Number of waiting jobs.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no job waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::sample;

    const DEAD: Incarnation = Incarnation { member: Member(0), number: 1 };
    const SECOND: Duration = Duration::from_secs(1);

    fn record(n: u8, effect: Effect) -> Record {
        sample::record(n, DEAD, effect)
    }

    /// Covers each row of the recovery table in the design note: the recorded state and the resulting plan.
    #[test]
    fn each_state_has_a_plan() {
        let keyed = Effect::ByKey(3 * SECOND);
        for (effect, may_repeat) in [(Effect::Repeatable, true), (keyed, true), (Effect::Once, false)] {
            let plan_of = |r: &Record| plan(r, SECOND, SECOND);
            let mut job = record(1, effect);
            assert_eq!(plan_of(&job), Plan::Dispatch);
            job.begin_attempt("w1", SECOND).expect("no attempt is in flight");
            let in_flight = match may_repeat {
                true => Plan::CancelThenDispatch("w1".into()),
                false => Plan::AwaitWorker("w1".into()),
            };
            assert_eq!(plan_of(&job), in_flight);
            let mut not_run = job.clone();
            not_run.end_attempt(false, SECOND).expect("an attempt is in flight");
            assert_eq!(plan_of(&not_run), Plan::Dispatch);
            job.end_attempt(true, SECOND).expect("an attempt is in flight");
            let doubtful = if may_repeat { Plan::Dispatch } else { Plan::Answer(Answer::InDoubt) };
            assert_eq!(plan_of(&job), doubtful);
            let late = if may_repeat { Answer::Failed } else { Answer::InDoubt };
            assert_eq!(plan(&job, Duration::ZERO, SECOND), Plan::Answer(late));
            job.set_answer(Answer::Served(vec![1]), Duration::ZERO).expect("no answer yet");
            assert_eq!(plan(&job, Duration::ZERO, SECOND), Plan::KeepAnswer);
        }
        let mut old = record(1, keyed);
        old.begin_attempt("w1", SECOND).expect("no attempt is in flight");
        assert_eq!(plan(&old, SECOND, 3 * SECOND), Plan::AwaitWorker("w1".into()));
    }

    /// Guards against acting on an outdated version that a replaced replica holder still has.
    #[test]
    fn orphaned_work_is_complete_only_once_no_committed_version_can_be_missing() {
        let mut orphaned = OrphanedWork::new(DEAD, 7, (0..5).map(Member), 2);
        let old = record(1, Effect::Once);
        let mut new = old.clone();
        new.begin_attempt("w1", SECOND).expect("no attempt is in flight");
        orphaned.add_page(Member(1), vec![old.clone()], true);
        orphaned.add_page(Member(2), vec![], true);
        assert!(!orphaned.is_complete());
        orphaned.add_page(Member(3), vec![new.clone()], true);
        assert!(orphaned.is_complete());
        assert_eq!(orphaned.into_records().expect("complete"), [new]);
    }

    #[test]
    fn orphaned_work_is_paced_most_valuable_first_and_expired_jobs_at_once() {
        let mut pacer = RecoveryPacer::new(Time::ZERO, 50.0);
        (0..100).for_each(|n| pacer.push(record(n, Effect::Once), f64::from(n % 10), 3 * SECOND));
        pacer.push(record(200, Effect::Once), 0.0, Duration::from_millis(1));
        let first = pacer.due(Duration::from_millis(2));
        assert_eq!(first[0].1, Duration::ZERO);
        assert_eq!(first.len(), 6);
        assert!(first[1..].iter().all(|(r, _)| r.id.0[0] % 10 == 9), "{first:?}");
        let next: usize = (1..=10).map(|n| pacer.due(Duration::from_millis(n * 100)).len()).sum();
        assert!((48..=52).contains(&next), "{next}");
        let rest = pacer.due(3 * SECOND);
        assert_eq!((rest.len(), pacer.len()), (95 - next, 0));
    }
}
