//! The durable Raft state of a voter. It is one file in the `state_dir`: a first record with the replica id, then one
//! record for each change, each with its length and checksum. A message to another replica that depends on a change is
//! sent only after the change is on disk.
//!
//! An incomplete last record was never acknowledged and is truncated. Anything else that can't be read is damage: the file
//! is renamed, and this disk starts as a new replica, which the leader must add to the group.

use lineroute_fleet::consensus::ReplicaId;
use lineroute_fleet::log::{HardState, Log, LogChange};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read as _, Write as _};
use std::path::{Path, PathBuf};
use tracing::{error, info, warn};

const FILE: &str = "fleet.votes";
const NEXT_FILE: &str = "fleet.votes.next";
const DAMAGED_FILE: &str = "fleet.votes.bad";
const FORMAT: &[u8] = b"lineroute-votes 1 ";
/// Size of the length and checksum before each record.
const RECORD_HEADER: usize = 12;
/// A larger file counts as damaged: the log is compacted long before it reaches this size.
const MAX_BYTES: u64 = 64 << 20;

/// The file of a replica's Raft state, open for appending.
pub struct DurableRaftState {
    dir: PathBuf,
    file: File,
    /// Size of the complete records in bytes.
    length: u64,
    replica_id: ReplicaId,
    hard_state: HardState,
}

/// The state found on disk at the start of the process.
pub struct Recovered {
    /// The disk's replica id.
    pub replica_id: ReplicaId,
    /// The Raft log; `None` on the disk of a new replica.
    pub log: Option<Log>,
    /// Persists further changes.
    pub state: DurableRaftState,
}

/// The complete records of a file.
struct Records {
    replica_id: ReplicaId,
    log: Option<Log>,
    /// Size of the complete records in bytes.
    length: u64,
}

impl DurableRaftState {
    /// Opens the Raft state in a directory; creates a new replica if there is none or it is damaged.
    ///
    /// # Errors
    /// The file can't be read or written.
    pub fn open(dir: &Path, new_replica_id: ReplicaId) -> io::Result<Recovered> {
        let Some(bytes) = read_file(&dir.join(FILE))? else { return Self::create(dir, new_replica_id) };
        match read_records(&bytes) {
            Ok(records) => Self::recover(dir, records, bytes.len() as u64),
            Err(reason) => {
                let renamed = fs::rename(dir.join(FILE), dir.join(DAMAGED_FILE));
                error!(reason, moved = renamed.is_ok(),
                    "fleet: the Raft state can't be used and is set aside: this disk is another replica from now on");
                Self::create(dir, new_replica_id)
            }
        }
    }

    fn recover(dir: &Path, records: Records, size: u64) -> io::Result<Recovered> {
        let Records { replica_id, log, length } = records;
        let file = OpenOptions::new().append(true).open(dir.join(FILE))?;
        if length < size {
            warn!(bytes = size - length, "fleet: an incomplete last record of the Raft state is truncated");
            file.set_len(length).and_then(|()| file.sync_all())?;
        }
        let hard_state = log.as_ref().map_or(HardState::default(), |log| log.hard_state);
        let state = DurableRaftState { dir: dir.into(), file, length, replica_id, hard_state };
        Ok(Recovered { replica_id, log, state })
    }

    fn create(dir: &Path, replica_id: ReplicaId) -> io::Result<Recovered> {
        let (file, length) = write_new(dir, replica_id, None)?;
        info!(
            replica_id = format!("{replica_id:x}"),
            "fleet: created a new replica; there was none on this disk"
        );
        let state =
            DurableRaftState { dir: dir.into(), file, length, replica_id, hard_state: HardState::default() };
        Ok(Recovered { replica_id, log: None, state })
    }
}

/// Reads a file up to one byte more than is allowed; `None` if it does not exist.
fn read_file(path: &Path) -> io::Result<Option<Vec<u8>>> {
    let file = match File::open(path) {
        Ok(file) => file,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(e),
    };
    let mut bytes = Vec::new();
    file.take(MAX_BYTES + 1).read_to_end(&mut bytes)?;
    Ok(Some(bytes))
}

fn encode_record(body: &[u8]) -> Vec<u8> {
    let mut out = (body.len() as u32).to_be_bytes().to_vec();
    out.extend_from_slice(&blake3::hash(body).as_bytes()[..RECORD_HEADER - 4]);
    out.extend_from_slice(body);
    out
}

/// Decodes the complete record at the start of `bytes`, if there is one; returns its body and its size with the header.
fn decode_record(bytes: &[u8]) -> Option<(&[u8], usize)> {
    let size = u32::from_be_bytes(*bytes.first_chunk::<4>()?) as usize;
    let body = bytes.get(RECORD_HEADER..RECORD_HEADER.checked_add(size)?)?;
    (blake3::hash(body).as_bytes()[..RECORD_HEADER - 4] == bytes[4..RECORD_HEADER])
        .then_some((body, RECORD_HEADER + size))
}

/// Reads the complete records of a file; an error if it is damaged.
fn read_records(bytes: &[u8]) -> Result<Records, String> {
    if bytes.len() as u64 > MAX_BYTES {
        return Err("it is too large".into());
    }
    let (first, mut at) = decode_record(bytes).ok_or("its first record is damaged")?;
    let id = first.strip_prefix(FORMAT).and_then(|id| id.first_chunk::<8>().copied());
    let replica_id = id.map(u64::from_be_bytes).ok_or("its format is unknown")?;
    let mut log: Option<Log> = None;
    while let Some((body, size)) = decode_record(&bytes[at..]) {
        let change: LogChange =
            postcard::from_bytes(body).map_err(|e| format!("a record can't be parsed: {e}"))?;
        log.get_or_insert_default().apply(&change);
        at += size;
    }
    // An incomplete write leaves fewer bytes than its length says, or invalid bytes at the end. If valid records follow, this
    // record was complete and is damaged.
    let rest = &bytes[at..];
    let claimed =
        rest.first_chunk::<4>().map_or(0, |size| u32::from_be_bytes(*size) as usize + RECORD_HEADER);
    if claimed < rest.len()
        && (claimed..rest.len().min(claimed + RECORD_HEADER)).any(|i| decode_record(&rest[i..]).is_some())
    {
        return Err("a record before the last one is damaged".into());
    }
    Ok(Records { replica_id, log, length: at as u64 })
}

/// Writes a new file and renames it over the old one.
fn write_new(dir: &Path, replica_id: ReplicaId, change: Option<&LogChange>) -> io::Result<(File, u64)> {
    let next = dir.join(NEXT_FILE);
    let mut bytes = encode_record(&[FORMAT, &replica_id.to_be_bytes()].concat());
    if let Some(change) = change {
        bytes.extend(encode_record(&postcard::to_stdvec(change).map_err(io::Error::other)?));
    }
    let mut file = File::create(&next)?;
    file.write_all(&bytes)?;
    file.sync_all()?;
    fs::rename(&next, dir.join(FILE))?;
    File::open(dir)?.sync_all()?;
    let file = OpenOptions::new().append(true).open(dir.join(FILE))?;
    Ok((file, bytes.len() as u64))
}

impl DurableRaftState {
    /// Appends changes; when this returns they survive a crash.
    ///
    /// # Errors
    /// None of them is persisted.
    pub fn append(&mut self, changes: &[LogChange]) -> Result<(), String> {
        let (mut bytes, mut hard_state, mut must_sync) = (Vec::new(), self.hard_state, false);
        for change in changes {
            bytes.extend(encode_record(&postcard::to_stdvec(change).map_err(|e| e.to_string())?));
            let before = (hard_state.term, hard_state.vote);
            hard_state = change.hard_state.unwrap_or(hard_state);
            // The commit index may be lost, since other replicas send it again. Everything else must be durable.
            must_sync |= !change.entries.is_empty() || (hard_state.term, hard_state.vote) != before;
        }
        let written = self.file.write_all(&bytes).and_then(|()| match must_sync {
            true => self.file.sync_data(),
            false => Ok(()),
        });
        if let Err(e) = written {
            // An incomplete record must not precede later ones.
            let _ = self.file.set_len(self.length);
            return Err(format!("{}: {e}", self.dir.join(FILE).display()));
        }
        self.length += bytes.len() as u64;
        self.hard_state = hard_state;
        Ok(())
    }

    /// Replaces the whole log by one change. When this returns the change survives a crash; a crash before that leaves either
    /// the old or the new state.
    ///
    /// # Errors
    /// The old state is still in place.
    pub fn replace(&mut self, change: &LogChange) -> Result<(), String> {
        let written = write_new(&self.dir, self.replica_id, Some(change));
        let (file, length) = written.map_err(|e| format!("{}: {e}", self.dir.join(NEXT_FILE).display()))?;
        (self.file, self.length) = (file, length);
        self.hard_state = change.hard_state.unwrap_or(self.hard_state);
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::fleet::state_directory::StateDirectory;
    use lineroute_fleet::frame::Entry;

    fn directory(name: &str) -> (PathBuf, StateDirectory) {
        let dir = std::env::temp_dir().join(format!("lineroute-state-{}-{name}", std::process::id()));
        let _ = fs::remove_dir_all(&dir);
        let directory = StateDirectory::open(&dir).expect("a directory");
        (dir, directory)
    }

    fn change(index: u64) -> LogChange {
        let entry = Entry { kind: 0, term: 1, index, data: vec![7; 40] };
        LogChange {
            entries: vec![entry],
            hard_state: Some(HardState { term: 1, vote: 9, commit: index - 1 }),
            ..LogChange::default()
        }
    }

    /// A file with a snapshot and two entries.
    fn written(name: &str) -> (PathBuf, StateDirectory) {
        let (dir, directory) = directory(name);
        let Recovered { replica_id, log, mut state } = directory.raft_state(42).expect("a new replica");
        assert_eq!((replica_id, log.is_none()), (42, true));
        state.replace(&Log::bootstrap(&[42]).to_change()).expect("persisted");
        state.append(&[change(2), change(3)]).expect("persisted");
        (dir, directory)
    }

    #[test]
    fn persisted_state_is_recovered_and_an_incomplete_last_record_is_truncated() {
        let (dir, directory) = written("torn");
        let path = dir.join(FILE);
        let good = fs::read(&path).expect("a file");
        for length in [1, RECORD_HEADER - 1, RECORD_HEADER + 5] {
            let mut bytes = good.clone();
            bytes.extend_from_slice(
                &encode_record(&postcard::to_stdvec(&change(4)).expect("bytes"))[..length],
            );
            fs::write(&path, &bytes).expect("a file");
            let Recovered { replica_id, log, mut state } =
                directory.raft_state(43).expect("a readable state");
            let log = log.expect("a log");
            assert_eq!((replica_id, log.len(), log.hard_state.vote), (42, 2, 9), "{length}");
            state.append(&[change(4)]).expect("persisted");
            let log = directory.raft_state(43).expect("a readable state").log;
            assert_eq!(log.expect("a log").len(), 3);
        }
    }

    #[test]
    fn a_damaged_file_is_renamed_and_a_new_replica_is_created() {
        for at in [4, RECORD_HEADER + 3, 70] {
            let (dir, directory) = written(&format!("damage-{at}"));
            let path = dir.join(FILE);
            let mut bytes = fs::read(&path).expect("a file");
            bytes[at] ^= 1;
            fs::write(&path, &bytes).expect("a file");
            let Recovered { replica_id, log, .. } = directory.raft_state(43).expect("a new replica");
            assert_eq!(
                (replica_id, log.is_none(), dir.join(DAMAGED_FILE).exists()),
                (43, true, true),
                "{at}"
            );
        }
    }
}
