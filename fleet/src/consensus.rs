//! One replica of the consensus group: the Raft engine, the ledger that it replicates, and the store that it persists
//! to. The engine is driven by ticks and messages; nothing here blocks, reads a clock or opens a socket.

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

/// Number of log entries after the snapshot above which a new snapshot is taken.
const MAX_LOG_ENTRIES: usize = 512;
/// Maximum size of uncommitted proposals; further proposals are rejected.
const MAX_UNCOMMITTED_BYTES: u64 = 256 << 10;

/// Identifies a Raft replica, which is one disk of one member. After the loss of its disk a member joins with a new
/// id.
pub type ReplicaId = u64;

/// Returns the member that a replica belongs to.
pub fn member_of(replica_id: ReplicaId) -> Option<Member> {
    (replica_id >> 40).checked_sub(1).and_then(|m| u16::try_from(m).ok()).map(Member)
}

/// Builds a replica id for a member. The random bits distinguish it from the member's earlier replicas.
pub fn replica_id_of(member: Member, random: u64) -> ReplicaId {
    (u64::from(member.0) + 1) << 40 | random & ((1 << 40) - 1)
}

/// Progress of the consensus group as observed by this replica.
#[derive(Clone, Debug, PartialEq)]
pub enum ConsensusEvent {
    /// The entry at this index was applied. The proposer knows its entry by the index.
    Applied(u64, Effect),
    /// A majority has confirmed this leader since the confirmation with this number was requested.
    Confirmed(u64),
    /// The whole ledger was replaced by a snapshot.
    SnapshotInstalled,
    /// This voter became the leader (`true`) or ceased to be the leader (`false`).
    LeadershipChanged(bool),
    /// Persisting failed: this voter sends nothing more until the process is restarted.
    Failed(String),
}

/// Messages that depend on a change that is not durable yet.
struct Pending {
    number: u64,
    /// Whether the store was given a change under this number. If not, the entry only has to wait for the ones before
    /// it.
    stored: bool,
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
    /// Election timeout in ticks without a leader, and the engine's tick count when last read.
    election_timeout: usize,
    elapsed: usize,
    rng: StdRng,
    was_leader: bool,
    /// Replicas that a snapshot was sent to since the last report to the engine.
    snapshots_sent: Vec<ReplicaId>,
    /// The configuration has changed since the last snapshot. A new replica can join only from a snapshot that names
    /// it.
    configuration_changed: bool,
    /// Ordered by number. Entries are released as the store reports its progress.
    pending: VecDeque<Pending>,
    ticks: usize,
    /// Read confirmations waiting for the entries up to an index to be applied: (index, confirmation number).
    pending_reads: Vec<(u64, u64)>,
    failed: Option<String>,
    outgoing: Vec<RaftMessage>,
    events: Vec<ConsensusEvent>,
}

impl<D: LogStore> RaftReplica<D> {
    /// Starts a replica from its durable log.
    ///
    /// # Errors
    /// The log or its snapshot is not usable.
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

    /// Sets the election timeout from our own random number generator, because the engine's generator can't be
    /// seeded. A new timeout is drawn whenever the engine has restarted its count.
    fn randomize_election_timeout(&mut self) {
        let elapsed = self.node.raft.election_elapsed;
        if std::mem::replace(&mut self.elapsed, elapsed) > elapsed {
            self.election_timeout = self.rng.random_range(self.election..2 * self.election);
        }
        self.node.raft.set_randomized_election_timeout(self.election_timeout);
    }

    /// Advances the engine by one tick.
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

    /// Transfers leadership to the most up-to-date voter. A leader whose disk stalls can grant nothing, although its
    /// heartbeats still go out.
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

    /// Handles the result of persisting all changes up to this number.
    pub fn handle_persisted(&mut self, number: u64, result: Result<(), String>) {
        match result {
            Ok(()) => self.catch_engine_panic(|replica| replica.persisted(number)),
            Err(reason) => self.fail(reason),
        }
    }

    fn fail(&mut self, reason: String) {
        if self.failed.is_none() {
            self.failed = Some(reason.clone());
            self.events.push(ConsensusEvent::Failed(reason));
        }
        self.pending.clear();
        self.was_leader = false;
    }

    /// Releases the messages that depended on the changes up to this number.
    fn persisted(&mut self, number: u64) {
        if self.failed.is_some() {
            return;
        }
        while let Some(pending) = self.pending.pop_front_if(|p| p.number <= number || !p.stored) {
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
                // Errors come from removed voters or outdated terms; such messages are dropped.
                let _ = replica.node.step(message);
                replica.process_ready();
            });
        }
    }

    /// Runs an engine call and treats a panic as a failure of this replica. The engine panics on messages that no
    /// correct voter sends, for example from an incompatible member that holds the key. This costs the process its
    /// vote but must not cut off its clients.
    fn catch_engine_panic(&mut self, act: impl FnOnce(&mut Self)) {
        if catch_unwind(AssertUnwindSafe(|| act(self))).is_err() {
            self.fail("the engine could not go on from what another voter said".into());
        }
    }

    /// Proposes a command. Returns the index of its entry, or `None` if this replica does not lead or the limit on
    /// uncommitted proposals is reached.
    pub fn propose(&mut self, command: Command) -> Option<u64> {
        if !self.leads() {
            return None;
        }
        self.node.propose(Vec::new(), Proposal { command }.encode()).ok()?;
        Some(self.node.raft.raft_log.last_index())
    }

    /// Requests a confirmation by a majority that this voter still leads.
    pub fn confirm(&mut self, number: u64) {
        self.node.read_index(number.to_be_bytes().to_vec());
    }

    /// Proposes one step of a configuration change. Only one change may be in progress at a time.
    ///
    /// # Errors
    /// This voter does not lead, or another change is in progress.
    pub fn change_configuration(
        &mut self,
        replica_id: ReplicaId,
        step: ConfigurationStep,
    ) -> Result<(), String> {
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

    /// Processes everything that the engine has ready. Only messages that depend on a change that is not durable yet
    /// are held back.
    pub fn process(&mut self) {
        self.catch_engine_panic(RaftReplica::process_ready);
    }

    fn process_ready(&mut self) {
        self.randomize_election_timeout();
        while self.failed.is_none() && self.node.has_ready() {
            let ready = self.node.ready();
            if let Err(reason) = self.process_one(ready) {
                return self.fail(reason);
            }
            self.randomize_election_timeout();
        }
        self.report_leadership();
        self.compact();
    }

    /// Persists, sends and applies the content of one `Ready` of the engine.
    fn process_one(&mut self, mut ready: Ready) -> Result<(), String> {
        let change = durable_change(&ready);
        let number = ready.number();
        let stored = self.must_persist(&change);
        let written = self.persist(number, &change, stored)?;
        self.node.mut_store().apply(&change);
        if let Some(snapshot) = &change.snapshot {
            self.install_snapshot(snapshot);
        }
        self.queue_messages(ready.take_messages());
        let messages = ready.take_persisted_messages();
        self.pending.push_back(Pending { number, stored, since: self.ticks, messages });
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
        self.events.push(ConsensusEvent::SnapshotInstalled);
    }

    /// Reports all sent snapshots to the engine as delivered. Delivery is not observable, and without a report the
    /// engine would never send that replica anything again. If the snapshot was lost, the replica's next rejection
    /// triggers another one.
    fn report_snapshots_sent(&mut self) {
        for replica_id in std::mem::take(&mut self.snapshots_sent) {
            self.node.report_snapshot(replica_id, SnapshotStatus::Finish);
        }
    }

    /// Confirms reads whose index has been applied: everything committed when the read was requested must be applied
    /// first.
    fn confirm_applied_reads(&mut self) {
        let applied = self.applied;
        let ready = self.pending_reads.extract_if(.., |(index, _)| *index <= applied);
        self.events.extend(ready.map(|(_, asked)| ConsensusEvent::Confirmed(asked)));
    }

    /// Emits an event when this replica gains or loses leadership.
    fn report_leadership(&mut self) {
        let leads = self.leads();
        if !leads {
            self.pending_reads.clear();
        }
        if std::mem::replace(&mut self.was_leader, leads) != leads {
            self.events.push(ConsensusEvent::LeadershipChanged(leads));
        }
    }

    /// Whether a change must be persisted. The commit index alone may be lost, because the other replicas send it
    /// again; everything else must not.
    fn must_persist(&self, change: &LogChange) -> bool {
        let old = self.node.store().hard_state;
        let voted = change
            .hard_state
            .is_some_and(|hard_state| (hard_state.term, hard_state.vote) != (old.term, old.vote));
        change.snapshot.is_some() || !change.entries.is_empty() || voted
    }

    fn persist(&mut self, number: u64, change: &LogChange, required: bool) -> Result<WriteStatus, String> {
        if change.snapshot.is_some() {
            // The engine continues from a snapshot only once that is durable, so this waits for the snapshot and for
            // all changes before it.
            let mut full = self.node.store().clone();
            full.apply(change);
            return self.store.replace(&full.to_change()).map(|()| WriteStatus::Durable);
        }
        match required {
            true => self.store.append(number, change),
            // There is nothing to persist, but the messages may depend on changes that are still being written.
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

    /// Replaces the log by a snapshot if it has grown too long or the configuration has changed.
    fn compact(&mut self) {
        let due = self.configuration_changed || self.node.store().len() > MAX_LOG_ENTRIES;
        if self.failed.is_some() || !due {
            return;
        }
        let (index, data) = (self.applied, self.ledger.encode());
        let mut short = self.node.store().clone();
        short.compact(index, data);
        // If the store can't be replaced, it keeps the longer log, which has the same content.
        self.store.compact(&short.to_change());
        *self.node.mut_store() = short;
        self.configuration_changed = false;
    }

    /// Takes the outgoing messages queued since the last call.
    pub fn take_messages(&mut self) -> Vec<RaftMessage> {
        std::mem::take(&mut self.outgoing)
    }

    /// Takes the events queued since the last call.
    pub fn take_events(&mut self) -> Vec<ConsensusEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns the id of this replica.
    pub fn id(&self) -> ReplicaId {
        self.node.raft.id
    }

    /// Whether this replica considers itself the leader.
    pub fn leads(&self) -> bool {
        self.failed.is_none() && self.node.raft.state == StateRole::Leader
    }

    /// The leader, as far as this replica knows.
    pub fn leader(&self) -> Option<ReplicaId> {
        Some(self.node.raft.leader_id).filter(|id| *id != 0 && self.failed.is_none())
    }

    /// The current Raft term.
    pub fn term(&self) -> u64 {
        self.node.raft.term
    }

    /// The ledger as applied by this replica.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Index of the last applied entry.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// The current configuration: voters, then learners.
    pub fn configuration(&self) -> (&[ReplicaId], &[ReplicaId]) {
        (&self.node.store().voters, &self.node.store().learners)
    }

    /// Number of entries that each replica is behind; empty unless this replica leads.
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

    /// The reason why this replica has failed, if it has.
    pub fn failed(&self) -> Option<&str> {
        self.failed.as_deref()
    }

    /// Number of log entries after the snapshot.
    pub fn entries(&self) -> usize {
        self.node.store().len()
    }
}

/// One step of a configuration change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConfigurationStep {
    /// The replica receives the log but does not vote.
    AddLearner,
    /// The replica becomes a voter.
    AddVoter,
    /// The replica is removed from the configuration.
    Remove,
}

/// Extracts the part of a `Ready` that must be persisted.
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
