//! The `state_dir` of a fleet member, locked by one process: the last incarnation number and the Raft state.

use super::raft_state::{DurableRaftState, Recovered};
use lineroute_fleet::consensus::ReplicaId;
use std::fs::{self, File};
use std::io::{self, Write as _};
use std::path::{Path, PathBuf};

const INCARNATIONS_FILE: &str = "fleet.incarnations";
const INCARNATIONS_NEXT_FILE: &str = "fleet.incarnations.next";
const LOCK_FILE: &str = "fleet.lock";

/// The directory, locked by this process.
pub struct StateDirectory {
    dir: PathBuf,
    /// The lock is held as long as this file is open.
    _lock: File,
}

fn io_error(dir: &Path) -> impl Fn(io::Error) -> String + '_ {
    move |e| format!("operator's file: state_dir: {}: {e}", dir.display())
}

impl StateDirectory {
    /// Locks the directory for this process.
    ///
    /// # Errors
    /// The directory can't be created, or another process has locked it.
    pub fn open(dir: &Path) -> Result<StateDirectory, String> {
        fs::create_dir_all(dir).map_err(io_error(dir))?;
        let lock = File::create(dir.join(LOCK_FILE)).map_err(io_error(dir))?;
        match lock.try_lock() {
            Ok(()) => Ok(StateDirectory { dir: dir.into(), _lock: lock }),
            Err(fs::TryLockError::WouldBlock) => Err(format!(
                "operator's file: state_dir: {}: another process of this fleet has it",
                dir.display()
            )),
            Err(fs::TryLockError::Error(e)) => Err(io_error(dir)(e)),
        }
    }

    /// Returns an incarnation number greater than any earlier one: one above the number on disk, and at least `at_least`, the
    /// time of day, in case the file was lost.
    ///
    /// # Errors
    /// The number can't be persisted.
    pub fn next_incarnation(&self, at_least: u64) -> Result<u64, String> {
        let path = self.dir.join(INCARNATIONS_FILE);
        let last = fs::read_to_string(&path).ok().and_then(|text| text.trim().parse::<u64>().ok());
        let number = at_least.max(last.unwrap_or(0) + 1);
        let next = self.dir.join(INCARNATIONS_NEXT_FILE);
        let written = File::create(&next)
            .and_then(|mut file| writeln!(file, "{number}").and_then(|()| file.sync_all()))
            .and_then(|()| fs::rename(&next, &path))
            .and_then(|()| File::open(&self.dir)?.sync_all());
        written.map(|()| number).map_err(io_error(&self.dir))
    }

    /// Opens this disk's Raft state, or creates a new replica if there is none.
    ///
    /// # Errors
    /// The files can't be read or written.
    pub fn raft_state(&self, new_replica_id: ReplicaId) -> Result<Recovered, String> {
        DurableRaftState::open(&self.dir, new_replica_id).map_err(io_error(&self.dir))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_directory_is_locked_and_incarnation_numbers_only_increase() {
        let dir = std::env::temp_dir().join(format!("lineroute-state-{}-lock", std::process::id()));
        let _ = fs::remove_dir_all(&dir);
        let directory = StateDirectory::open(&dir).expect("a directory");
        assert!(StateDirectory::open(&dir).is_err_and(|e| e.contains("another process")));
        assert_eq!(directory.next_incarnation(1000), Ok(1000));
        // The clock was set back.
        assert_eq!(directory.next_incarnation(400), Ok(1001));
        drop(directory);
        assert!(StateDirectory::open(&dir).is_ok());
    }
}
