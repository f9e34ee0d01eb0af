//! The file `overrides.log`: the processes of one dispatcher append records to it, each time in one write, and read the records
//! that the others have appended. Neither takes a lock, so a stalled process does not block the others.
//!
//! Every process that has the log open holds a shared lock on `overrides.lock` until it exits. Only a process that gets the
//! exclusive lock may compact the log.

use lineroute_control::overrides::{log_line, LogReader, Record};
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::os::unix::fs::{FileExt, MetadataExt};
use std::path::{Path, PathBuf};
use std::sync::Arc;

const LOG_NAME: &str = "overrides.log";
const LOCK_NAME: &str = "overrides.lock";
/// Maximum size of the log; nothing is appended to a larger one.
const MAX_BYTES: u64 = 16 << 20;
/// Size of the read buffer.
const READ_BUFFER_SIZE: usize = 64 << 10;

/// The log, opened by this process.
#[derive(Debug)]
pub struct LogFile {
    file: Arc<File>,
    lock: Arc<File>,
    path: PathBuf,
    /// Bytes read so far.
    read_offset: u64,
    reader: LogReader,
}

impl LogFile {
    /// Opens the log in this directory; creates both if they are missing.
    ///
    /// # Errors
    /// It can't be created or opened for writing.
    pub fn open(dir: &Path) -> io::Result<LogFile> {
        fs::create_dir_all(dir)?;
        let open = |name| OpenOptions::new().read(true).append(true).create(true).open(dir.join(name));
        let lock = open(LOCK_NAME)?;
        // Held exclusively only while the log is compacted, which is short unless that process is stalled meanwhile.
        lock.try_lock_shared().map_err(io::Error::from)?;
        let file = open(LOG_NAME)?;
        Ok(LogFile {
            file: Arc::new(file),
            lock: Arc::new(lock),
            path: dir.join(LOG_NAME),
            read_offset: 0,
            reader: LogReader::default(),
        })
    }

    /// The records that this process or another one has appended since the last call.
    ///
    /// # Errors
    /// The file can't be read, or was replaced and has to be reopened.
    pub fn read_new(&mut self) -> io::Result<Vec<Record>> {
        let state = self.file.metadata()?;
        if state.nlink() == 0 || state.len() < self.read_offset {
            return Err(io::ErrorKind::NotFound.into());
        }
        let mut records = Vec::new();
        let mut buffer = [0; READ_BUFFER_SIZE];
        while self.read_offset < state.len().min(MAX_BYTES) {
            let count = match self.file.read_at(&mut buffer, self.read_offset) {
                Ok(0) => break,
                Ok(count) => count,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) => return Err(e),
            };
            records.extend(self.reader.feed(&buffer[..count]));
            self.read_offset += count as u64;
        }
        Ok(records)
    }

    /// Number of lines that are not valid records.
    pub fn malformed(&self) -> u64 {
        self.reader.malformed()
    }

    /// Number of bytes read.
    pub fn size(&self) -> u64 {
        self.read_offset
    }

    /// Handle for appending to it on another thread.
    pub fn appender(&self) -> Appender {
        Appender { file: self.file.clone() }
    }

    /// Handle for compacting it on another thread.
    pub fn compactor(&self) -> Compactor {
        Compactor {
            lock: self.lock.clone(),
            file: self.file.clone(),
            path: self.path.clone(),
            read_offset: self.read_offset,
        }
    }
}

/// Appends to a log. Its methods block.
pub struct Appender {
    file: Arc<File>,
}

impl Appender {
    /// Appends records in one write: other processes see them once this returns.
    ///
    /// # Errors
    /// Some of the records may be missing, and the last one written may be truncated.
    pub fn append(&self, records: &[Record]) -> io::Result<()> {
        if self.file.metadata()?.len() > MAX_BYTES {
            return Err(io::ErrorKind::FileTooLarge.into());
        }
        let text: String = records.iter().map(log_line).collect();
        (&*self.file).write_all(text.as_bytes())
    }

    /// Syncs appended records to disk.
    ///
    /// # Errors
    /// The records may not be on disk.
    pub fn sync(&self) -> io::Result<()> {
        self.file.sync_data()
    }
}

/// Compacts a log. Its methods block.
pub struct Compactor {
    lock: Arc<File>,
    file: Arc<File>,
    path: PathBuf,
    read_offset: u64,
}

impl Compactor {
    /// Replaces the log by one with only these records, unless another process has it open or it has records that were not read.
    /// Returns whether it was replaced; if so, it has to be reopened.
    ///
    /// # Errors
    /// The new log can't be written; the old one is unchanged.
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
        if state.nlink() == 0 || state.len() != self.read_offset {
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
