//! The file `overrides.log`: processes of one dispatcher append to it, each in one write, and each reads what the others have
//! appended. Nobody waits for a lock to do either, so a process that stands still holds up no other.
//!
//! Whoever has the log open holds `overrides.lock` shared, until the process ends. Only a process that gets that lock alone may
//! replace the log by a shorter one.

use lineroute_control::overrides::{log_line, LogReader, Record};
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::os::unix::fs::{FileExt, MetadataExt};
use std::path::{Path, PathBuf};
use std::sync::Arc;

const LOG: &str = "overrides.log";
const LOCK: &str = "overrides.lock";
/// A log is no larger than this: nothing is appended to a larger one.
const MAX_BYTES: u64 = 16 << 20;
/// So much is read at a time.
const PIECE: usize = 64 << 10;

/// The log as one process has it open.
#[derive(Debug)]
pub struct LogFile {
    file: Arc<File>,
    lock: Arc<File>,
    path: PathBuf,
    /// So much of it was read.
    read: u64,
    reader: LogReader,
}

impl LogFile {
    /// Opens the log of this folder; makes both where they are missing.
    ///
    /// # Errors
    /// It can't be made, or opened to be written.
    pub fn open(dir: &Path) -> io::Result<LogFile> {
        fs::create_dir_all(dir)?;
        let open = |name| OpenOptions::new().read(true).append(true).create(true).open(dir.join(name));
        let lock = open(LOCK)?;
        // Held alone only while the log is replaced. That takes a moment, but for a process that is stopped then.
        lock.try_lock_shared().map_err(io::Error::from)?;
        let file = open(LOG)?;
        Ok(LogFile {
            file: Arc::new(file),
            lock: Arc::new(lock),
            path: dir.join(LOG),
            read: 0,
            reader: LogReader::default(),
        })
    }

    /// What was appended since the last look, by this process or another one. Reads nothing where nothing was.
    ///
    /// # Errors
    /// It can't be read, or is no longer the log of its folder: it has to be opened anew.
    pub fn read_new(&mut self) -> io::Result<Vec<Record>> {
        let state = self.file.metadata()?;
        if state.nlink() == 0 || state.len() < self.read {
            return Err(io::ErrorKind::NotFound.into());
        }
        let mut records = Vec::new();
        let mut piece = [0; PIECE];
        while self.read < state.len().min(MAX_BYTES) {
            let count = match self.file.read_at(&mut piece, self.read) {
                Ok(0) => break,
                Ok(count) => count,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) => return Err(e),
            };
            records.extend(self.reader.feed(&piece[..count]));
            self.read += count as u64;
        }
        Ok(records)
    }

    /// Lines that were no records.
    pub fn malformed(&self) -> u64 {
        self.reader.malformed()
    }

    /// The bytes that were read.
    pub fn size(&self) -> u64 {
        self.read
    }

    /// What appends to it, on another thread.
    pub fn appender(&self) -> Appender {
        Appender { file: self.file.clone() }
    }

    /// What replaces it, on another thread.
    pub fn compactor(&self) -> Compactor {
        Compactor {
            lock: self.lock.clone(),
            file: self.file.clone(),
            path: self.path.clone(),
            read: self.read,
        }
    }
}

/// Appends to a log. Its calls block.
pub struct Appender {
    file: Arc<File>,
}

impl Appender {
    /// Appends records in one write: other processes see them once this returns.
    ///
    /// # Errors
    /// Some of them may not be there, and the last one may be cut short.
    pub fn append(&self, records: &[Record]) -> io::Result<()> {
        if self.file.metadata()?.len() > MAX_BYTES {
            return Err(io::ErrorKind::FileTooLarge.into());
        }
        let text: String = records.iter().map(log_line).collect();
        (&*self.file).write_all(text.as_bytes())
    }

    /// Brings what was appended to the disk.
    ///
    /// # Errors
    /// It may not be there.
    pub fn sync(&self) -> io::Result<()> {
        self.file.sync_data()
    }
}

/// Replaces a log by a shorter one. Its calls block.
pub struct Compactor {
    lock: Arc<File>,
    file: Arc<File>,
    path: PathBuf,
    read: u64,
}

impl Compactor {
    /// Replaces the log by one that holds these records alone, unless another process has it open or has appended something
    /// that was not read. True: it was replaced, and has to be opened anew.
    ///
    /// # Errors
    /// The shorter one can't be written; the log is as it was.
    pub fn compact(&self, records: &[Record]) -> io::Result<bool> {
        self.lock.unlock()?;
        let replaced = match self.lock.try_lock() {
            Ok(()) => self.replace(records),
            Err(TryLockError::WouldBlock) => Ok(false),
            Err(TryLockError::Error(e)) => Err(e),
        };
        self.lock.unlock()?;
        self.lock.lock_shared()?;
        replaced
    }

    fn replace(&self, records: &[Record]) -> io::Result<bool> {
        let state = self.file.metadata()?;
        if state.nlink() == 0 || state.len() != self.read {
            return Ok(false);
        }
        let next = self.path.with_extension(format!("log.{}", std::process::id()));
        let written = File::create(&next).and_then(|mut file| {
            let text: String = records.iter().map(log_line).collect();
            file.write_all(text.as_bytes())?;
            file.sync_all()?;
            fs::rename(&next, &self.path)
        });
        if written.is_err() {
            let _ = fs::remove_file(&next);
        }
        written.map(|()| true)
    }
}
