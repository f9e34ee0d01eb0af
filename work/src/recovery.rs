//! What a recovery owner does with each job that it finds: decided by the record alone, so that two who find the same
//! record would decide the same.

use crate::record::{Answer, Effect, JobId, Record};
use crate::Time;
use lineroute_fleet::{Incarnation, Member, Token};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

/// What is to become of a job.
#[derive(Clone, Debug, PartialEq)]
pub enum Plan {
    /// It goes through the same decisions as new work.
    Dispatch,
    /// Its attempt is given up at that worker first; once the worker knows, it is placed.
    CancelThenDispatch(String),
    /// Its attempt may run and must not run twice: that worker's update is awaited, and without one by then it fails in
    /// doubt.
    AwaitWorker(String),
    /// It is answered so at once.
    Answer(Answer),
    /// It has its answer, which is kept for whoever asks.
    KeepAnswer,
}

/// Decides on a job that was found with so much time time_left, so long after its first attempt.
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
        Some(out) if may_repeat => Plan::CancelThenDispatch(out.worker.clone()),
        Some(out) => Plan::AwaitWorker(out.worker.clone()),
        None if may_repeat || !record.may_have_run() => Plan::Dispatch,
        None => Plan::Answer(Answer::InDoubt),
    }
}

/// Orphaned work as it is gathered: the newest version of each job that any possible replica holder has.
///
/// A version that was promised is with a majority of the copies, and any member may have become a replica holder in
/// another's place. So the recovery owner has found all that was promised once it has heard everybody but one fewer
/// than that majority.
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
    /// Begins to gather a dead incarnation's work: `all` members but the dead one, this process too, each record with
    /// so many copies.
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

    /// Whose it was, and under which token it is gathered.
    pub fn incarnation_and_token(&self) -> (Incarnation, Token) {
        (self.incarnation, self.token)
    }

    /// A page of a member's records has come; `last` where nothing is behind it.
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

    /// Those that have not said all they have.
    pub fn pending_members(&self) -> impl Iterator<Item = Member> + '_ {
        self.members.difference(&self.heard_from).copied()
    }

    /// Whether all that was promised has been found. Until then nothing of it may be acted upon.
    pub fn is_complete(&self) -> bool {
        self.members.len() - self.heard_from.len() <= self.max_missing
    }

    /// What was found, once it is whole.
    ///
    /// # Errors
    /// It is not; it goes on gathering.
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

/// Paces the orphaned work that is placed again: the most worthy first, among these the most urgent. What has
/// no time time_left is let out at once: it only wants its answer.
pub struct RecoveryPacer {
    waiting: BinaryHeap<Waiting>,
    per_s: f64,
    credit: f64,
    last: Time,
}

impl RecoveryPacer {
    /// So many jobs a second; a tenth of that at once.
    pub fn new(now: Time, per_s: f64) -> RecoveryPacer {
        RecoveryPacer { waiting: BinaryHeap::new(), per_s, credit: (per_s / 10.0).max(1.0), last: now }
    }

    /// A job was found: what it is worth, and when its time is over.
    pub fn push(&mut self, record: Record, worth: f64, due: Time) {
        self.waiting.push(Waiting { worth, due: Reverse(due), record });
    }

    /// Those whose turn it is, each with the time that it has time_left.
    pub fn due(&mut self, now: Time) -> Vec<(Record, Duration)> {
        let most = (self.per_s / 10.0).max(1.0);
        self.credit = (self.credit + now.saturating_sub(self.last).as_secs_f64() * self.per_s).min(most);
        self.last = self.last.max(now);
        let mut out = Vec::new();
        let mut over = Vec::new();
        // Seldom: the heap is not made anew as long as all have time.
        if self.waiting.iter().any(|w| w.due.0 <= now) {
            let all = std::mem::take(&mut self.waiting).into_vec();
            let (gone, waiting): (Vec<_>, Vec<_>) = all.into_iter().partition(|w| w.due.0 <= now);
            (over, self.waiting) = (gone, waiting.into());
        }
        out.extend(over.into_iter().map(|w| (w.record, Duration::ZERO)));
        while self.credit >= 1.0 {
            let Some(next) = self.waiting.pop() else { break };
            self.credit -= 1.0;
            out.push((next.record, next.due.0 - now));
        }
        out
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none waits.
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

    /// The table of the design note: what was known, and what is done.
    #[test]
    fn each_state_has_its_plan() {
        let keyed = Effect::ByKey(3 * SECOND);
        for (effect, may_repeat) in [(Effect::Repeatable, true), (keyed, true), (Effect::Once, false)] {
            let plan_of = |r: &Record| plan(r, SECOND, SECOND);
            let mut taken = record(1, effect);
            assert_eq!(plan_of(&taken), Plan::Dispatch);
            taken.begin_attempt("w1", SECOND).expect("none is out");
            let out = match may_repeat {
                true => Plan::CancelThenDispatch("w1".into()),
                false => Plan::AwaitWorker("w1".into()),
            };
            assert_eq!(plan_of(&taken), out);
            let mut proven = taken.clone();
            proven.end_attempt(false, SECOND).expect("it is out");
            assert_eq!(plan_of(&proven), Plan::Dispatch);
            taken.end_attempt(true, SECOND).expect("it is out");
            let doubtful = if may_repeat { Plan::Dispatch } else { Plan::Answer(Answer::InDoubt) };
            assert_eq!(plan_of(&taken), doubtful);
            let late = if may_repeat { Answer::Failed } else { Answer::InDoubt };
            assert_eq!(plan(&taken, Duration::ZERO, SECOND), Plan::Answer(late));
            taken.set_answer(Answer::Served(vec![1]), Duration::ZERO).expect("it had none");
            assert_eq!(plan(&taken, Duration::ZERO, SECOND), Plan::KeepAnswer);
        }
        let mut old = record(1, keyed);
        old.begin_attempt("w1", SECOND).expect("none is out");
        assert_eq!(plan(&old, SECOND, 3 * SECOND), Plan::AwaitWorker("w1".into()));
    }

    /// Guards against acting on what a replaced replica holder still has of a job.
    #[test]
    fn orphaned_work_is_whole_only_once_no_promise_can_hide() {
        let mut orphaned = OrphanedWork::new(DEAD, 7, (0..5).map(Member), 2);
        let old = record(1, Effect::Once);
        let mut new = old.clone();
        new.begin_attempt("w1", SECOND).expect("none is out");
        orphaned.add_page(Member(1), vec![old.clone()], true);
        orphaned.add_page(Member(2), vec![], true);
        assert!(!orphaned.is_complete());
        orphaned.add_page(Member(3), vec![new.clone()], true);
        assert!(orphaned.is_complete());
        assert_eq!(orphaned.into_records().expect("whole"), [new]);
    }

    #[test]
    fn much_orphaned_work_comes_at_its_pace_the_most_worthy_first_and_what_is_over_at_once() {
        let mut pace = RecoveryPacer::new(Time::ZERO, 50.0);
        (0..100).for_each(|n| pace.push(record(n, Effect::Once), f64::from(n % 10), 3 * SECOND));
        pace.push(record(200, Effect::Once), 0.0, Duration::from_millis(1));
        let first = pace.due(Duration::from_millis(2));
        assert_eq!(first[0].1, Duration::ZERO);
        assert_eq!(first.len(), 6);
        assert!(first[1..].iter().all(|(r, _)| r.id.0[0] % 10 == 9), "{first:?}");
        let next: usize = (1..=10).map(|n| pace.due(Duration::from_millis(n * 100)).len()).sum();
        assert!((48..=52).contains(&next), "{next}");
        let rest = pace.due(3 * SECOND);
        assert_eq!((rest.len(), pace.len()), (95 - next, 0));
    }
}
