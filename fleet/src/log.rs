//! The Raft log as the engine reads it, and the changes to it that must be durable before dependent messages are
//! sent.

use crate::frame::{Entry, RaftMessage, Snapshot};
use raft::eraftpb::{
    ConfState, Entry as RaftEntry, EntryType, HardState as RaftHardState, Message, MessageType,
    Snapshot as RaftSnapshot,
};
use raft::{Error, GetEntriesContext, RaftState, Storage, StorageError};
use serde::{Deserialize, Serialize};

/// Raft state that a voter must never lose: its term, vote and commit index.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[allow(missing_docs)]
pub struct HardState {
    pub term: u64,
    pub vote: u64,
    pub commit: u64,
}

/// A change to the log. It must be durable before any message that depends on it is sent.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LogChange {
    /// Replaces the whole log.
    pub snapshot: Option<Snapshot>,
    /// Replace the entries with the same indexes, and all entries after them.
    pub entries: Vec<Entry>,
    /// Replaces the previous hard state.
    pub hard_state: Option<HardState>,
}

impl LogChange {
    /// Whether the change is empty.
    pub fn is_empty(&self) -> bool {
        *self == LogChange::default()
    }
}

/// When a change becomes durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteStatus {
    /// On return.
    Durable,
    /// Once [`crate::node::Node::persisted`] is called with its number or a greater one.
    Pending,
}

/// Durable storage of a replica's log. Changes are written in the order in which they are passed.
pub trait LogStore {
    /// Appends a change. Numbers only increase.
    ///
    /// # Errors
    /// The change was not written. The voter then sends no message that depends on it.
    fn append(&mut self, number: u64, change: &LogChange) -> Result<WriteStatus, String>;

    /// Replaces the whole content by this change. It is durable on return, and a crash in between leaves either the
    /// old or the new content.
    ///
    /// # Errors
    /// The old content is still in place.
    fn replace(&mut self, change: &LogChange) -> Result<(), String>;

    /// Replaces the whole content asynchronously by a shorter equivalent. Failure is harmless, because the old
    /// content holds the same state.
    fn compact(&mut self, change: &LogChange) {
        let _ = self.replace(change);
    }
}

/// The in-memory log, starting after a snapshot.
#[derive(Clone, Debug, Default)]
pub struct Log {
    /// The last written hard state.
    pub hard_state: HardState,
    /// The state up to the snapshot's index.
    pub snapshot: Snapshot,
    /// The voters after the last applied entry.
    pub voters: Vec<u64>,
    /// The learners after the last applied entry.
    pub learners: Vec<u64>,
    entries: Vec<Entry>,
}

impl Log {
    /// The log of a new fleet with these voters.
    pub fn bootstrap(voters: &[u64]) -> Log {
        let snapshot = Snapshot { index: 1, term: 1, voters: voters.to_vec(), ..Snapshot::default() };
        let hard_state = HardState { term: 1, vote: 0, commit: 1 };
        Log { hard_state, voters: voters.to_vec(), snapshot, ..Log::default() }
    }

    /// Applies a change, either when it is written or when it is read back.
    pub fn apply(&mut self, change: &LogChange) {
        if let Some(snapshot) = &change.snapshot {
            self.snapshot = snapshot.clone();
            (self.voters, self.learners) = (snapshot.voters.clone(), snapshot.learners.clone());
            self.entries.clear();
            self.hard_state.commit = self.hard_state.commit.max(snapshot.index);
        }
        if let Some(first) = change.entries.first() {
            let keep = first.index.saturating_sub(self.snapshot.index + 1) as usize;
            self.entries.truncate(keep);
            self.entries.extend(change.entries.iter().cloned());
        }
        if let Some(hard_state) = change.hard_state {
            self.hard_state = hard_state;
        }
    }

    /// Returns the whole log as one change, for rewriting the store.
    pub fn to_change(&self) -> LogChange {
        LogChange {
            snapshot: Some(self.snapshot.clone()),
            entries: self.entries.clone(),
            hard_state: Some(self.hard_state),
        }
    }

    /// Drops the entries up to an index and replaces them by a snapshot with this ledger.
    pub fn compact(&mut self, index: u64, data: Vec<u8>) {
        let Ok(term) = self.term(index) else { return };
        let gone = (index - self.snapshot.index) as usize;
        self.entries.drain(..gone);
        let (voters, learners) = (self.voters.clone(), self.learners.clone());
        self.snapshot = Snapshot { index, term, voters, learners, data };
    }

    /// Number of entries in memory.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no entries after the snapshot.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn end(&self) -> u64 {
        self.snapshot.index + self.entries.len() as u64
    }
}

impl Storage for Log {
    fn initial_state(&self) -> raft::Result<RaftState> {
        let mut hard_state = RaftHardState::default();
        hard_state.term = self.hard_state.term;
        hard_state.vote = self.hard_state.vote;
        hard_state.commit = self.hard_state.commit;
        Ok(RaftState::new(hard_state, conf_state(&self.snapshot.voters, &self.snapshot.learners)))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _context: GetEntriesContext,
    ) -> raft::Result<Vec<RaftEntry>> {
        if low <= self.snapshot.index {
            return Err(Error::Store(StorageError::Compacted));
        }
        if high > self.end() + 1 {
            return Err(Error::Store(StorageError::Unavailable));
        }
        let (from, to) = (low - self.snapshot.index - 1, high - self.snapshot.index - 1);
        let mut room = max_size.into().unwrap_or(u64::MAX);
        let mut out = Vec::new();
        for entry in &self.entries[from as usize..to as usize] {
            let size = entry.data.len() as u64 + 24;
            if !out.is_empty() && size > room {
                break;
            }
            room = room.saturating_sub(size);
            out.push(entry_to_engine(entry));
        }
        Ok(out)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index == self.snapshot.index {
            return Ok(self.snapshot.term);
        }
        if index < self.snapshot.index {
            return Err(Error::Store(StorageError::Compacted));
        }
        let at = (index - self.snapshot.index - 1) as usize;
        self.entries.get(at).map(|e| e.term).ok_or(Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.snapshot.index + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.end())
    }

    fn snapshot(&self, request_index: u64, _to: u64) -> raft::Result<RaftSnapshot> {
        if self.snapshot.index < request_index {
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(snapshot_to_engine(&self.snapshot))
    }
}

/// Builds the engine's configuration from voters and learners.
pub fn conf_state(voters: &[u64], learners: &[u64]) -> ConfState {
    let mut conf = ConfState::default();
    conf.set_voters(voters.to_vec());
    conf.set_learners(learners.to_vec());
    conf
}

fn entry_to_engine(entry: &Entry) -> RaftEntry {
    let mut out = RaftEntry::default();
    out.set_entry_type(match entry.kind {
        1 => EntryType::EntryConfChange,
        2 => EntryType::EntryConfChangeV2,
        _ => EntryType::EntryNormal,
    });
    (out.term, out.index) = (entry.term, entry.index);
    out.data = entry.data.clone().into();
    out
}

/// Converts an entry for storage and sending.
pub fn entry_from_engine(entry: &RaftEntry) -> Entry {
    let kind = match entry.get_entry_type() {
        EntryType::EntryNormal => 0,
        EntryType::EntryConfChange => 1,
        EntryType::EntryConfChangeV2 => 2,
    };
    Entry { kind, term: entry.term, index: entry.index, data: entry.data.to_vec() }
}

fn snapshot_to_engine(snapshot: &Snapshot) -> RaftSnapshot {
    let mut out = RaftSnapshot { data: snapshot.data.clone().into(), ..RaftSnapshot::default() };
    let meta = out.mut_metadata();
    (meta.index, meta.term) = (snapshot.index, snapshot.term);
    meta.set_conf_state(conf_state(&snapshot.voters, &snapshot.learners));
    out
}

/// Converts a snapshot for storage and sending.
pub fn snapshot_from_engine(snapshot: &RaftSnapshot) -> Snapshot {
    let meta = snapshot.get_metadata();
    let state = meta.get_conf_state();
    Snapshot {
        index: meta.index,
        term: meta.term,
        voters: state.voters.clone(),
        learners: state.learners.clone(),
        data: snapshot.data.to_vec(),
    }
}

/// Message types that are exchanged between replicas; the index in this list is the wire format. The engine's local
/// messages are excluded, since a forged one could start an election.
const MESSAGE_KINDS: [MessageType; 12] = [
    MessageType::MsgAppend,
    MessageType::MsgAppendResponse,
    MessageType::MsgRequestVote,
    MessageType::MsgRequestVoteResponse,
    MessageType::MsgSnapshot,
    MessageType::MsgHeartbeat,
    MessageType::MsgHeartbeatResponse,
    MessageType::MsgTimeoutNow,
    MessageType::MsgReadIndex,
    MessageType::MsgReadIndexResp,
    MessageType::MsgRequestPreVote,
    MessageType::MsgRequestPreVoteResponse,
];

/// Converts a message for sending. Returns `None` for message types that stay local.
pub fn message_from_engine(message: &Message) -> Option<RaftMessage> {
    let kind = MESSAGE_KINDS.iter().position(|kind| *kind == message.get_msg_type())? as u8;
    let snapshot = (message.get_msg_type() == MessageType::MsgSnapshot)
        .then(|| snapshot_from_engine(message.get_snapshot()));
    Some(RaftMessage {
        kind,
        to: message.to,
        from: message.from,
        term: message.term,
        log_term: message.log_term,
        index: message.index,
        entries: message.entries.iter().map(entry_from_engine).collect(),
        commit: message.commit,
        commit_term: message.commit_term,
        snapshot,
        request_snapshot: message.request_snapshot,
        reject: message.reject,
        reject_hint: message.reject_hint,
        context: message.context.to_vec(),
        priority: message.priority,
    })
}

/// Converts a received message for the engine. Returns `None` for an unknown message type.
pub fn message_to_engine(message: &RaftMessage) -> Option<Message> {
    let kind = *MESSAGE_KINDS.get(message.kind as usize)?;
    let mut out = Message::default();
    out.set_msg_type(kind);
    (out.to, out.from, out.term) = (message.to, message.from, message.term);
    (out.log_term, out.index) = (message.log_term, message.index);
    out.set_entries(message.entries.iter().map(entry_to_engine).collect::<Vec<_>>().into());
    (out.commit, out.commit_term) = (message.commit, message.commit_term);
    if let Some(snapshot) = &message.snapshot {
        out.set_snapshot(snapshot_to_engine(snapshot));
    }
    (out.request_snapshot, out.reject, out.reject_hint) =
        (message.request_snapshot, message.reject, message.reject_hint);
    out.context = message.context.clone().into();
    out.priority = message.priority;
    Some(out)
}
