//! Model check of one job with its owner, three replica holders and a recovery owner, with the crate's own code: all
//! orders of message delivery, loss and delay, a crash or suspension of the owner at every step, and the loss of a
//! replica holder.
//!
//! The guarantees of the fleet crate are assumed: an incarnation is declared dead only after its process has crashed
//! or its lease has expired, and an owner writes only while it holds its lease.

use lineroute_fleet::{Incarnation, Member, Time};
use lineroute_work::placement::Candidate;
use lineroute_work::record::{Answer, Effect, JobId, JobRequest, Record};
use lineroute_work::recovery::{plan, OrphanedWork, Plan};
use lineroute_work::replica_holder::{Limits, ReplicaHolder, StoreError};
use lineroute_work::replica_set::{Event, ReplicaSets};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;
use std::time::Duration;

const ID: JobId = JobId([7; 16]);
const OWNER: Incarnation = Incarnation { member: Member(0), number: 1 };
const TOKEN: u64 = 5;
const LEFT: Duration = Duration::from_secs(2);
/// After this time a replica holder that has not answered counts as unresponsive.
const LATER: Duration = Duration::from_millis(500);

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Message {
    /// A version of the owner's record, sent to a member.
    Version(u16, u64),
    Stored(u16, u64),
    Refused(u16),
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct State {
    now: Time,
    replicas: Option<ReplicaSets>,
    /// Every version of the record that the owner has sent.
    versions: Vec<Record>,
    messages: BTreeSet<Message>,
    holders: [Option<ReplicaHolder>; 3],
    lease: bool,
    declared_dead: bool,
    committed: bool,
    orphaned: Option<OrphanedWork>,
    /// The recovery owner's action: `None` before it acts, `Some(None)` if no record was found.
    recovery: Option<Option<RecoveryAction>>,
    runs: u8,
    /// Whether the owner and the recovery owner have answered the client.
    answered: (bool, bool),
    owner_lost: bool,
    /// The owner sent the job to a worker before the attempt was replicated.
    written_too_early: bool,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum RecoveryAction {
    Dispatched,
    AwaitsWorker,
    KeepsAnswer,
    Answered,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Step {
    Deliver(Message),
    Commit,
    BeginAttempt,
    Write,
    SetAnswer,
    Crash,
    LeaseEnds,
    TimePasses,
    LoseHolder(u16),
    DeclareDead,
    TakeRecoveryLease(u16),
    Act,
}

struct Job(Effect);

fn candidate(member: u16) -> Candidate {
    Candidate { member: Member(member), zone: 0 }
}

impl Job {
    fn request(&self) -> JobRequest {
        JobRequest {
            class: "order".into(),
            tenant: None,
            reference: "r".into(),
            key: None,
            path: "/".into(),
            body: Vec::new(),
            effect: self.0,
        }
    }
}

impl State {
    /// Handles the events of the replica sets.
    fn drain(&mut self) {
        let Some(replicas) = &mut self.replicas else { return };
        for event in replicas.take_events() {
            match event {
                Event::Send(to, record) => drop(self.messages.insert(Message::Version(to.0, record.version))),
                Event::Lost(_) => self.owner_lost = true,
                Event::Replicated(..) | Event::UnderReplicated(..) => {}
            }
        }
    }

    fn change(&mut self, change: impl FnOnce(&mut Record) -> bool) {
        let now = self.now;
        let Some(replicas) = &mut self.replicas else { return };
        let changed = replicas.update(now, ID, |r| if change(r) { Ok(()) } else { Err(()) });
        if let (Some(Ok(_)), Some(record)) = (changed, replicas.record(ID)) {
            self.versions.push(record.clone());
        }
        self.drain();
    }

    fn is_replicated(&self, version: u64) -> bool {
        self.replicas.as_ref().is_some_and(|r| r.is_replicated(ID, version))
    }
}

impl Model for Job {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let limits = Limits { records: 4, bytes: 1 << 16, answer_retention: Duration::from_secs(60) };
        let mut replicas = ReplicaSets::new(OWNER, 0, 2, 4, 1 << 16);
        replicas.set_candidates(Time::ZERO, (0..4).map(candidate).collect());
        let record = Record::new(ID, self.request(), OWNER, LEFT);
        replicas.insert(Time::ZERO, record.clone()).expect("below the limits");
        let mut state = State {
            now: Time::ZERO,
            replicas: Some(replicas),
            versions: vec![record],
            messages: BTreeSet::new(),
            holders: [0, 1, 2].map(|_| Some(ReplicaHolder::new(limits))),
            lease: true,
            declared_dead: false,
            committed: false,
            orphaned: None,
            recovery: None,
            runs: 0,
            answered: (false, false),
            owner_lost: false,
            written_too_early: false,
        };
        state.drain();
        vec![state]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        for message in &state.messages {
            // A message that is never delivered was lost.
            steps.push(Step::Deliver(message.clone()));
        }
        if let Some(replicas) = &state.replicas {
            let record = replicas.record(ID);
            let version = record.map_or(0, |r| r.version);
            if record.is_some() && !state.committed && state.is_replicated(1) {
                steps.push(Step::Commit);
            }
            if state.committed && version == 1 {
                steps.push(Step::BeginAttempt);
            }
            // The lease check and the write are one step.
            if version == 2 && state.is_replicated(2) && state.lease && state.runs == 0 {
                steps.push(Step::Write);
            }
            if version == 2 && state.runs == 1 && state.recovery.is_none() {
                steps.push(Step::SetAnswer);
            }
            steps.push(Step::Crash);
            if state.now.is_zero() {
                steps.push(Step::TimePasses);
            }
        }
        if state.lease && state.replicas.is_some() {
            steps.push(Step::LeaseEnds);
        }
        if state.holders.iter().all(Option::is_some) {
            steps.extend((1..4).map(Step::LoseHolder));
        }
        if !state.declared_dead && (!state.lease || state.replicas.is_none()) {
            steps.push(Step::DeclareDead);
        }
        if let Some(orphaned) = &state.orphaned {
            let there = |m: &Member| state.holders[usize::from(m.0) - 1].is_some();
            steps.extend(orphaned.pending_members().filter(there).map(|m| Step::TakeRecoveryLease(m.0)));
            if orphaned.is_complete() && state.recovery.is_none() {
                steps.push(Step::Act);
            }
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        let now = state.now;
        match step {
            Step::Deliver(message) => {
                state.messages.remove(&message);
                match message {
                    Message::Version(to, version) => {
                        let record = state.versions.iter().find(|r| r.version == version)?.clone();
                        let holder = state.holders[usize::from(to) - 1].as_mut()?;
                        let reply = match holder.store(now, record) {
                            Ok(version) => Message::Stored(to, version),
                            Err(_) => Message::Refused(to),
                        };
                        state.messages.insert(reply);
                    }
                    Message::Stored(from, version) => {
                        state.replicas.as_mut()?.acknowledge(now, Member(from), ID, version);
                    }
                    Message::Refused(from) => {
                        state.replicas.as_mut()?.reject(now, Member(from), ID, StoreError::UnderRecovery);
                    }
                }
                state.drain();
            }
            Step::Commit => state.committed = true,
            Step::BeginAttempt => state.change(|r| r.begin_attempt("w", LEFT).is_ok()),
            Step::Write => {
                state.written_too_early |= !state.is_replicated(2);
                state.runs += 1;
            }
            Step::SetAnswer => {
                state.change(|r| r.set_answer(Answer::Served(vec![1]), LEFT).is_ok());
                state.answered.0 = true;
            }
            Step::Crash => {
                state.replicas = None;
                state.lease = false;
            }
            Step::LeaseEnds => state.lease = false,
            Step::TimePasses => {
                state.now = LATER;
                state.replicas.as_mut()?.tick(LATER);
                state.drain();
            }
            Step::LoseHolder(member) => state.holders[usize::from(member) - 1] = None,
            Step::DeclareDead => {
                state.declared_dead = true;
                state.orphaned = Some(OrphanedWork::new(OWNER, TOKEN, (0..4).map(Member), 2));
            }
            Step::TakeRecoveryLease(member) => {
                let holder = state.holders[usize::from(member) - 1].as_mut()?;
                let page =
                    holder.accept_recovery_lease(OWNER, TOKEN).then(|| holder.page(OWNER, TOKEN, None))??;
                state.orphaned.as_mut()?.add_page(Member(member), page, true);
            }
            Step::Act => {
                let found = state.orphaned.clone()?.into_records().ok()?;
                state.recovery = Some(found.first().map(|record| match plan(record, LEFT, LEFT) {
                    Plan::Dispatch | Plan::CancelThenDispatch(_) => {
                        state.runs += 1;
                        RecoveryAction::Dispatched
                    }
                    Plan::AwaitWorker(_) => RecoveryAction::AwaitsWorker,
                    Plan::KeepAnswer => RecoveryAction::KeepsAnswer,
                    Plan::Answer(_) => {
                        state.answered.1 = true;
                        RecoveryAction::Answered
                    }
                }));
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("a job that must not run twice runs at most once", |job: &Job, s: &State| {
                job.0 != Effect::Once || s.runs <= 1
            }),
            Property::always("no attempt is sent before it is replicated", |_, s: &State| {
                !s.written_too_early
            }),
            Property::always("a committed record is found", |_, s: &State| {
                !(s.committed && s.recovery == Some(None))
            }),
            Property::always("the old owner can't write once the recovery owner acts", |_, s: &State| {
                s.recovery.is_none() || !s.lease
            }),
            Property::sometimes("the recovery owner dispatches the job", |_, s: &State| {
                s.recovery == Some(Some(RecoveryAction::Dispatched))
            }),
            Property::sometimes(
                "the recovery owner awaits the worker, or cancels the attempt first",
                |job: &Job, s: &State| match job.0 {
                    Effect::Once => s.recovery == Some(Some(RecoveryAction::AwaitsWorker)),
                    _ => s.recovery == Some(Some(RecoveryAction::Dispatched)) && s.runs == 2,
                },
            ),
            Property::sometimes("the recovery owner finds the answer", |_, s: &State| {
                s.recovery == Some(Some(RecoveryAction::KeepsAnswer))
            }),
            Property::sometimes("the old owner learns that it lost the job", |_, s: &State| s.owner_lost),
        ]
    }
}

fn check(effect: Effect) {
    let depth = 24;
    let checker = Job(effect).checker().threads(2).target_max_depth(depth).spawn_bfs().join();
    println!("{effect:?}: {} states to a depth of {}", checker.unique_state_count(), checker.max_depth());
    checker.assert_properties();
}

#[test]
fn a_job_that_must_not_run_twice() {
    check(Effect::Once);
}

#[test]
fn a_job_that_may_be_repeated() {
    check(Effect::Repeatable);
}
