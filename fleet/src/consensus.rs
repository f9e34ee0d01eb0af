//! One replica of the consensus group: the Raft engine, the ledger it replicates, and the disk it persists to.
//! The engine is driven by ticks and messages; nothing here waits, reads a clock or opens a socket.

use crate::frame::{Proposal, RaftMessage, Snapshot};
use crate::ledger::{Command, Effect, Ledger};
use crate::log::{
    entry_from_engine, message_from_engine, message_to_engine, snapshot_from_engine, HardState, Log,
    LogChange, LogStore, WriteStatus,
};
use crate::timing::Timing;
use crate::Member;
use protobuf::Message as _;
use raft::eraftpb::{ConfChange, ConfChangeType, EntryType, MessageType};
use raft::{Config, RawNode, Ready, SnapshotStatus, StateRole};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::VecDeque;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Entries in memory and on disk behind the snapshot, before a new one is made.
const MAX_LOG_ENTRIES: usize = 512;
/// Bytes of proposals that wait for agreement; more are refused.
const MAX_UNCOMMITTED_BYTES: u64 = 256 << 10;

/// Identifies a Raft replica: one disk of one member. A disk that was lost comes back under another id.
pub type ReplicaId = u64;

/// The member that a replica belongs to.
pub fn member_of(replica_id: ReplicaId) -> Option<Member> {
    (replica_id >> 40).checked_sub(1).and_then(|m| u16::try_from(m).ok()).map(Member)
}

/// A replica id for a member, distinguished from its earlier ones by random bits.
pub fn replica_id_of(member: Member, random: u64) -> ReplicaId {
    (u64::from(member.0) + 1) << 40 | random & ((1 << 40) - 1)
}

/// What the consensus group has come to, as seen by this replica.
#[derive(Clone, Debug, PartialEq)]
pub enum ConsensusEvent {
    /// An entry was applied, as its proposer was told its index.
    Applied(u64, Effect),
    /// A majority has confirmed this leader since it asked under this number.
    Confirmed(u64),
    /// The whole ledger is another.
    Replaced,
    /// This voter leads from now on, or no longer.
    Leads(bool),
    /// The disk does not keep: this voter says nothing more until it is started again.
    Failed(String),
}

/// What rests on a change that is not on the disk yet.
struct Pending {
    number: u64,
    /// The disk was given something under this number; else it only follows what was.
    keeps: bool,
    since: usize,
    messages: Vec<raft::eraftpb::Message>,
}

/// A replica of the consensus group: a voter or a learner.
pub struct RaftReplica<D> {
    node: RawNode<Log>,
    store: D,
    ledger: Ledger,
    applied: u64,
    election: usize,
    /// Ticks without a leader until this voter would lead, and how many it had counted when last seen.
    election_timeout: usize,
    elapsed: usize,
    rng: StdRng,
    was_leader: bool,
    /// Replicas that a snapshot was just sent to.
    snapshots_sent: Vec<ReplicaId>,
    /// The configuration has changed since the last snapshot: a new replica can only join from one that names it.
    configuration_changed: bool,
    /// In the order of their numbers. It is told how far the disk is.
    pending: VecDeque<Pending>,
    ticks: usize,
    /// Confirmations that wait for the entries up to an index.
    pending_reads: Vec<(u64, u64)>,
    failed: Option<String>,
    outgoing: Vec<RaftMessage>,
    events: Vec<ConsensusEvent>,
}

impl<D: LogStore> RaftReplica<D> {
    /// Starts a replica from its durable log.
    ///
    /// # Errors
    /// The log or its snapshot can't be used.
    pub fn new(
        replica_id: ReplicaId,
        log: Log,
        store: D,
        timing: &Timing,
        seed: u64,
    ) -> Result<Self, String> {
        let ledger = Ledger::decode(&log.snapshot.data).ok_or("the snapshot is no ledger")?;
        let election = timing.ticks(timing.election_timeout()).max(4);
        let applied = log.snapshot.index;
        let config = Config {
            id: replica_id,
            election_tick: election,
            heartbeat_tick: (election / 4).max(1),
            applied,
            max_size_per_msg: 64 << 10,
            max_inflight_msgs: 16,
            check_quorum: true,
            pre_vote: true,
            max_uncommitted_size: MAX_UNCOMMITTED_BYTES,
            ..Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let node = RawNode::new(&config, log, &logger).map_err(|e| e.to_string())?;
        let mut rng = StdRng::seed_from_u64(seed);
        let mut replica = RaftReplica {
            node,
            store,
            ledger,
            applied,
            election,
            election_timeout: rng.random_range(election..2 * election),
            elapsed: 0,
            rng,
            was_leader: false,
            snapshots_sent: Vec::new(),
            configuration_changed: false,
            pending: VecDeque::new(),
            ticks: 0,
            pending_reads: Vec::new(),
            failed: None,
            outgoing: Vec::new(),
            events: Vec::new(),
        };
        replica.randomize_election_timeout();
        Ok(replica)
    }

    /// Sets the election timeout from our own generator, since the engine's can't be seeded: again whenever the
    /// engine has restarted its count.
    fn randomize_election_timeout(&mut self) {
        let elapsed = self.node.raft.election_elapsed;
        if std::mem::replace(&mut self.elapsed, elapsed) > elapsed {
            self.election_timeout = self.rng.random_range(self.election..2 * self.election);
        }
        self.node.raft.set_randomized_election_timeout(self.election_timeout);
    }

    /// A tick of time has passed.
    pub fn tick(&mut self) {
        if self.failed.is_none() {
            self.ticks += 1;
            let waits = self.pending.front().map_or(0, |p| self.ticks - p.since);
            self.catch_engine_panic(|replica| {
                replica.node.tick();
                if waits > 0 && waits.is_multiple_of(2 * replica.election) {
                    replica.transfer_leadership();
                }
                replica.process_ready();
            });
        }
    }

    /// Hands leadership over: a leader whose disk stalls can grant nothing, while its heartbeats still go out.
    fn transfer_leadership(&mut self) {
        let me = self.id();
        let voters = &self.node.store().voters;
        let others = self
            .lags()
            .into_iter()
            .filter(|(replica_id, _)| *replica_id != me && voters.contains(replica_id));
        if let Some((replica_id, _)) = others.min_by_key(|(_, lag)| *lag) {
            self.node.transfer_leader(replica_id);
        }
    }

    /// The disk has kept all up to this number, or failed to.
    pub fn handle_persisted(&mut self, number: u64, result: Result<(), String>) {
        match result {
            Ok(()) => self.catch_engine_panic(|replica| replica.persisted(number)),
            Err(words) => self.fail(words),
        }
    }

    fn fail(&mut self, words: String) {
        if self.failed.is_none() {
            self.failed = Some(words.clone());
            self.events.push(ConsensusEvent::Failed(words));
        }
        self.pending.clear();
        self.was_leader = false;
    }

    /// Releases the messages that depended on the changes up to this number.
    fn persisted(&mut self, number: u64) {
        if self.failed.is_some() {
            return;
        }
        while let Some(pending) = self.pending.pop_front_if(|p| p.number <= number || !p.keeps) {
            self.node.on_persist_ready(pending.number);
            self.queue_messages(pending.messages);
        }
    }

    /// Handles a message from another replica.
    pub fn step(&mut self, message: &RaftMessage) {
        if self.failed.is_some() || message.to != self.id() {
            return;
        }
        if let Some(message) = message_to_engine(message) {
            self.catch_engine_panic(|replica| {
                // What does not fit is of a voter that is none any more, or of another time: it is let drop.
                let _ = replica.node.step(message);
                replica.process_ready();
            });
        }
    }

    /// The engine panics where it is told what no voter of its kind would say. That costs this process its vote, and
    /// must not cost it its clients: guards against a member of another make that holds the key.
    fn catch_engine_panic(&mut self, act: impl FnOnce(&mut Self)) {
        if catch_unwind(AssertUnwindSafe(|| act(self))).is_err() {
            self.fail("the engine could not go on from what another voter said".into());
        }
    }

    /// Proposes a command; the index of its entry, if this voter leads and takes more.
    pub fn propose(&mut self, command: Command) -> Option<u64> {
        if !self.leads() {
            return None;
        }
        self.node.propose(Vec::new(), Proposal { command }.encode()).ok()?;
        Some(self.node.raft.raft_log.last_index())
    }

    /// Asks for a majority to confirm that this voter still leads.
    pub fn confirm(&mut self, number: u64) {
        self.node.read_index(number.to_be_bytes().to_vec());
    }

    /// Proposes one step of a configuration change. One change at a time.
    ///
    /// # Errors
    /// This voter does not lead, or another change is under way.
    pub fn change(&mut self, replica_id: ReplicaId, step: ConfigurationStep) -> Result<(), String> {
        if !self.leads() {
            return Err("this voter does not lead".into());
        }
        if self.node.raft.has_pending_conf() {
            return Err("another change of the voters is under way".into());
        }
        let mut change = ConfChange { node_id: replica_id, ..ConfChange::default() };
        change.set_change_type(match step {
            ConfigurationStep::AddLearner => ConfChangeType::AddLearnerNode,
            ConfigurationStep::AddVoter => ConfChangeType::AddNode,
            ConfigurationStep::Remove => ConfChangeType::RemoveNode,
        });
        self.node.propose_conf_change(Vec::new(), change).map_err(|e| e.to_string())
    }

    /// Carries on whatever the engine has ready, until it has nothing more. What rests on a change that the disk has
    /// not kept yet waits for it, and nothing else does.
    pub fn settle(&mut self) {
        self.catch_engine_panic(RaftReplica::process_ready);
    }

    fn process_ready(&mut self) {
        self.randomize_election_timeout();
        while self.failed.is_none() && self.node.has_ready() {
            let ready = self.node.ready();
            if let Err(words) = self.process_one(ready) {
                return self.fail(words);
            }
            self.randomize_election_timeout();
        }
        self.report_leadership();
        self.compact();
    }

    /// Persists, sends and applies what one `Ready` of the engine holds.
    fn process_one(&mut self, mut ready: Ready) -> Result<(), String> {
        let change = durable_change(&ready);
        let number = ready.number();
        let keeps = self.must_keep(&change);
        let written = self.append(number, &change, keeps)?;
        self.node.mut_store().apply(&change);
        if let Some(snapshot) = &change.snapshot {
            self.install_snapshot(snapshot);
        }
        self.queue_messages(ready.take_messages());
        let messages = ready.take_persisted_messages();
        self.pending.push_back(Pending { number, keeps, since: self.ticks, messages });
        for read in ready.take_read_states() {
            let asked = <[u8; 8]>::try_from(read.request_ctx.as_slice()).map(u64::from_be_bytes);
            self.pending_reads.extend(asked.ok().map(|asked| (read.index, asked)));
        }
        let committed = ready.take_committed_entries();
        self.node.advance_append_async(ready);
        if written == WriteStatus::Durable {
            self.persisted(number);
        }
        self.apply(committed);
        self.node.advance_apply();
        self.report_snapshots_sent();
        self.confirm_applied_reads();
        Ok(())
    }

    fn install_snapshot(&mut self, snapshot: &Snapshot) {
        self.ledger = Ledger::decode(&snapshot.data).unwrap_or_default();
        self.applied = snapshot.index;
        self.events.push(ConsensusEvent::Replaced);
    }

    /// Whether a snapshot arrives is not known: without a report the engine would send that replica nothing more,
    /// ever. If it was lost, the replica's next refusal asks for another.
    fn report_snapshots_sent(&mut self) {
        for replica_id in std::mem::take(&mut self.snapshots_sent) {
            self.node.report_snapshot(replica_id, SnapshotStatus::Finish);
        }
    }

    /// Confirms the reads whose index is applied: what was committed when they were asked has to come first.
    fn confirm_applied_reads(&mut self) {
        let applied = self.applied;
        let ready = self.pending_reads.extract_if(.., |(index, _)| *index <= applied);
        self.events.extend(ready.map(|(_, asked)| ConsensusEvent::Confirmed(asked)));
    }

    /// Tells once when this replica begins or ceases to lead.
    fn report_leadership(&mut self) {
        let leads = self.leads();
        if !leads {
            self.pending_reads.clear();
        }
        if std::mem::replace(&mut self.was_leader, leads) != leads {
            self.events.push(ConsensusEvent::Leads(leads));
        }
    }

    /// How far is agreed may be forgotten: others say it again. All else may not.
    fn must_keep(&self, change: &LogChange) -> bool {
        let old = self.node.store().hard_state;
        let voted = change
            .hard_state
            .is_some_and(|hard_state| (hard_state.term, hard_state.vote) != (old.term, old.vote));
        change.snapshot.is_some() || !change.entries.is_empty() || voted
    }

    fn append(&mut self, number: u64, change: &LogChange, must: bool) -> Result<WriteStatus, String> {
        if change.snapshot.is_some() {
            // The engine goes on from a snapshot only once it is kept: this one is waited for, and all before it.
            let mut whole = self.node.store().clone();
            whole.apply(change);
            return self.store.replace(&whole.to_change()).map(|()| WriteStatus::Durable);
        }
        match must {
            true => self.store.append(number, change),
            // Nothing to keep, but what it says may rest on what is still under way.
            false if self.pending.is_empty() => Ok(WriteStatus::Durable),
            false => Ok(WriteStatus::Pending),
        }
    }

    fn queue_messages(&mut self, messages: Vec<raft::eraftpb::Message>) {
        let snapshots = messages.iter().filter(|m| m.get_msg_type() == MessageType::MsgSnapshot);
        self.snapshots_sent.extend(snapshots.map(|m| m.to));
        self.outgoing.extend(messages.iter().filter_map(message_from_engine));
    }

    fn apply(&mut self, entries: Vec<raft::eraftpb::Entry>) {
        for entry in entries {
            if entry.index <= self.applied {
                continue;
            }
            self.applied = entry.index;
            let effect = match entry.get_entry_type() {
                _ if entry.data.is_empty() => Effect::Stale,
                EntryType::EntryNormal => match Proposal::decode(&entry.data) {
                    Some(proposal) => self.ledger.apply(proposal.command),
                    None => Effect::Stale,
                },
                _ => {
                    let change = ConfChange::parse_from_bytes(&entry.data);
                    if let Some(state) = change.ok().and_then(|c| self.node.apply_conf_change(&c).ok()) {
                        let store = self.node.mut_store();
                        (store.voters, store.learners) = (state.voters, state.learners);
                        self.configuration_changed = true;
                    }
                    Effect::Stale
                }
            };
            self.events.push(ConsensusEvent::Applied(entry.index, effect));
        }
    }

    /// Puts a snapshot in the place of a log that has grown long.
    fn compact(&mut self) {
        let due = self.configuration_changed || self.node.store().len() > MAX_LOG_ENTRIES;
        if self.failed.is_some() || !due {
            return;
        }
        let (index, data) = (self.applied, self.ledger.encode());
        let mut short = self.node.store().clone();
        short.compact(index, data);
        // A disk that can't keeps the long one, which says the same, and goes on from there.
        self.store.compact(&short.to_change());
        *self.node.mut_store() = short;
        self.configuration_changed = false;
    }

    /// Takes the messages to other replicas since the last call.
    pub fn take_messages(&mut self) -> Vec<RaftMessage> {
        std::mem::take(&mut self.outgoing)
    }

    /// Takes the events since the last call.
    pub fn take_events(&mut self) -> Vec<ConsensusEvent> {
        std::mem::take(&mut self.events)
    }

    /// This replica's id.
    pub fn id(&self) -> ReplicaId {
        self.node.raft.id
    }

    /// Whether this voter leads, as far as it knows.
    pub fn leads(&self) -> bool {
        self.failed.is_none() && self.node.raft.state == StateRole::Leader
    }

    /// Who leads, as far as this voter knows.
    pub fn leader(&self) -> Option<ReplicaId> {
        Some(self.node.raft.leader_id).filter(|id| *id != 0 && self.failed.is_none())
    }

    /// The count of elections.
    pub fn term(&self) -> u64 {
        self.node.raft.term
    }

    /// What is agreed, as far as this voter has heard.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// How far it is applied here.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// The present configuration: voters, then learners.
    pub fn configuration(&self) -> (&[ReplicaId], &[ReplicaId]) {
        (&self.node.store().voters, &self.node.store().learners)
    }

    /// How many entries each replica lacks; empty unless this one leads.
    pub fn lags(&self) -> Vec<(ReplicaId, u64)> {
        if !self.leads() {
            return Vec::new();
        }
        let last = self.node.raft.raft_log.last_index();
        let all = self.node.raft.prs().iter();
        let mut lags: Vec<(ReplicaId, u64)> =
            all.map(|(id, p)| (*id, last.saturating_sub(p.matched))).collect();
        lags.sort_unstable();
        lags
    }

    /// Why it says nothing, if it does not.
    pub fn failed(&self) -> Option<&str> {
        self.failed.as_deref()
    }

    /// Entries behind the snapshot.
    pub fn entries(&self) -> usize {
        self.node.store().len()
    }
}

/// One step of a configuration change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConfigurationStep {
    /// The replica receives the log and does not vote.
    AddLearner,
    /// The replica votes.
    AddVoter,
    /// The replica leaves the configuration.
    Remove,
}

/// What of a `Ready` must be persisted.
fn durable_change(ready: &Ready) -> LogChange {
    let snapshot = ready.snapshot();
    let has_snapshot = *snapshot != raft::eraftpb::Snapshot::default();
    LogChange {
        snapshot: has_snapshot.then(|| snapshot_from_engine(snapshot)),
        entries: ready.entries().iter().map(entry_from_engine).collect(),
        hard_state: ready.hs().map(|hard_state| HardState {
            term: hard_state.term,
            vote: hard_state.vote,
            commit: hard_state.commit,
        }),
    }
}
