//! Overrides on disk: a log that every process of this dispatcher appends to and reads ([`log_file`]). While the process is
//! replaced two of them serve, and an operator may talk to either. Overrides appended by one are in force in the other from its
//! next forward on, since the log is read before the first byte of each forward (`Flows::send_permit`).
//!
//! If the operator's file names a `state_dir`, overrides are kept there across restarts. With an admin console and no `state_dir`
//! the log is kept below `$TMPDIR`, which may be full or fail; the process then continues to serve, and writes the missing records
//! as soon as it can.

mod log_file;
mod snapshot;

use crate::flow::OperatorStateSource;
use crate::overrides::{now, Overrides};
use lineroute_control::overrides::{record_fingerprint, Merged, Record, Table};
use log_file::LogFile;
use rustc_hash::FxHashSet;
use std::cell::RefCell;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tracing::{error, info, warn};

/// Interval between reads of the log, in addition to those before the first byte of each forward.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// How long opening the log is retried at process start, when nothing is served yet.
const OPEN_RETRY_PERIOD: Duration = Duration::from_millis(300);
/// Initial and maximum delay before a failed write is retried.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
/// A log of at least this many bytes is compacted if less than half of its records are current.
const MIN_COMPACTION_BYTES: u64 = 256 << 10;

/// The log of a dispatcher's overrides, shared by the tasks of this process.
#[derive(Clone)]
pub struct Store(Rc<RefCell<Inner>>);

struct Inner {
    dir: PathBuf,
    log: Option<LogFile>,
    /// Fingerprints of the records in the log.
    logged_fingerprints: FxHashSet<u64>,
    /// Number of malformed lines that were reported already.
    malformed: u64,
    read_error_logged: bool,
}

/// The revisions of the table that have reached the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Progress {
    /// Appended, so that other processes can read it.
    appended: u64,
    /// Synced to disk.
    synced: u64,
}

/// Waits for revisions of the table to reach the log.
#[derive(Clone)]
pub struct Handle {
    progress: Arc<watch::Sender<Progress>>,
}

impl Handle {
    /// Waits until a revision of the table is appended to the log; false if that takes longer than `within`.
    pub async fn is_appended(&self, revision: u64, within: Duration) -> bool {
        self.wait_for_progress(within, |progress| progress.appended >= revision).await
    }

    /// Waits until a revision of the table is synced to disk; false if that takes longer than `within`.
    pub async fn is_synced(&self, revision: u64, within: Duration) -> bool {
        self.wait_for_progress(within, |progress| progress.synced >= revision).await
    }

    async fn wait_for_progress(
        &self,
        within: Duration,
        mut is_reached: impl FnMut(&Progress) -> bool,
    ) -> bool {
        let mut progress = self.progress.subscribe();
        let done = async { progress.wait_for(|at| is_reached(at)).await.is_ok() };
        tokio::time::timeout(within, done).await.unwrap_or(false)
    }
}

impl Store {
    /// Opens the log in the directory that the operator's file names; creates it if it is missing.
    ///
    /// # Errors
    /// The directory can't be created or written to.
    pub fn open(dir: &Path) -> Result<Store, String> {
        let store = Store::open_lazily(dir);
        let opened = LogFile::open(dir);
        let fault = |e: io::Error| format!("operator's file: state_dir: {}: {e}", dir.display());
        store.0.borrow_mut().log = Some(opened.map_err(fault)?);
        Ok(store)
    }

    /// Like `open`, for a directory that may be full or fail: the log is opened at first use, and again after an error.
    pub fn open_lazily(dir: &Path) -> Store {
        Store(Rc::new(RefCell::new(Inner {
            dir: dir.into(),
            log: None,
            logged_fingerprints: FxHashSet::default(),
            malformed: 0,
            read_error_logged: false,
        })))
    }

    /// Loads the stored overrides into the table. Read errors are logged and don't prevent the start.
    pub fn load(&self, table: &mut Table) {
        let mut records = snapshot::load(&self.0.borrow().dir);
        records.extend(self.read_at_start());
        let count = records.len();
        let taken = records.into_iter().filter(|r| table.restore(r.clone(), now()) == Merged::New).count();
        info!(records = count, taken, "overrides read from the log");
    }

    /// Reads the log from its beginning. Waits if another process is just compacting it.
    fn read_at_start(&self) -> Vec<Record> {
        let since = Instant::now();
        loop {
            let records = self.read_new();
            if self.0.borrow().log.is_some() || since.elapsed() >= OPEN_RETRY_PERIOD {
                return records;
            }
            std::thread::sleep(INITIAL_RETRY_DELAY);
        }
    }

    /// The records appended since the last call; none on an error, which is logged once.
    fn read_new(&self) -> Vec<Record> {
        let inner = &mut *self.0.borrow_mut();
        match inner.read_new() {
            Ok(records) => {
                inner.read_error_logged = false;
                records
            }
            Err(e) => {
                // The next call reopens the log and reads it from its beginning.
                inner.log = None;
                inner.logged_fingerprints.clear();
                if !std::mem::replace(&mut inner.read_error_logged, true) {
                    warn!(error = %e, dir = %inner.dir.display(), "can't read the overrides log; retrying");
                }
                Vec::new()
            }
        }
    }

    /// Merges records that other processes have appended into the table.
    pub fn refresh(&self, overrides: &Overrides) {
        let records = self.read_new();
        if records.is_empty() {
            return;
        }
        let taken = overrides.restore(records);
        if taken > 0 {
            info!(taken, "merged overrides from another process of this dispatcher");
        }
    }

    /// Starts the tasks that follow the log and append new records of the table to it. Writes run on other threads, so that a
    /// slow disk does not delay clients.
    pub fn start(&self, overrides: Overrides) -> Handle {
        let handle = Handle { progress: Arc::default() };
        actix_rt::spawn(follow(self.clone(), overrides.clone()));
        actix_rt::spawn(append_changes(self.clone(), overrides, handle.progress.clone()));
        handle
    }

    /// Appends those of the records, the table's as of this revision, that the log lacks, and syncs them.
    async fn append_missing(
        &self,
        records: Vec<Record>,
        revision: u64,
        progress: Arc<watch::Sender<Progress>>,
    ) -> io::Result<()> {
        let (appender, missing) = {
            let inner = &mut *self.0.borrow_mut();
            let log = inner.open_log()?;
            let appender = log.appender();
            let is_missing =
                |record: &Record| !inner.logged_fingerprints.contains(&record_fingerprint(record));
            (appender, records.into_iter().filter(is_missing).collect::<Vec<_>>())
        };
        let fingerprints: Vec<u64> = missing.iter().map(record_fingerprint).collect();
        let since = Instant::now();
        let written = tokio::task::spawn_blocking(move || {
            if !missing.is_empty() {
                appender.append(&missing)?;
            }
            progress.send_modify(|progress| progress.appended = progress.appended.max(revision));
            appender.sync()?;
            progress.send_modify(|progress| progress.synced = progress.synced.max(revision));
            io::Result::Ok(())
        });
        written.await.map_err(io::Error::other)??;
        if !fingerprints.is_empty() {
            let took_ms = since.elapsed().as_millis() as u64;
            info!(records = fingerprints.len(), revision, took_ms, "overrides appended to the log");
        }
        self.0.borrow_mut().logged_fingerprints.extend(fingerprints);
        Ok(())
    }

    /// Compacts a log in which most records are obsolete, unless another process has it open.
    async fn compact(&self, records: Vec<Record>) {
        let compactor = {
            let inner = self.0.borrow();
            let Some(log) = inner.log.as_ref().filter(|log| log.size() >= MIN_COMPACTION_BYTES) else {
                return;
            };
            if inner.logged_fingerprints.len() < 2 * records.len() {
                return;
            }
            log.compactor()
        };
        let compacted = tokio::task::spawn_blocking(move || compactor.compact(&records)).await;
        match compacted.map_err(io::Error::other).and_then(|done| done) {
            Ok(false) => {}
            Ok(true) => {
                let inner = &mut *self.0.borrow_mut();
                (inner.log, inner.malformed) = (None, 0);
                inner.logged_fingerprints.clear();
                info!("compacted the overrides log");
            }
            Err(e) => warn!(error = %e, "can't compact the overrides log"),
        }
    }
}

impl Inner {
    fn open_log(&mut self) -> io::Result<&mut LogFile> {
        if self.log.is_none() {
            self.log = Some(LogFile::open(&self.dir)?);
        }
        self.log.as_mut().ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn read_new(&mut self) -> io::Result<Vec<Record>> {
        let log = self.open_log()?;
        let records = log.read_new()?;
        let malformed = log.malformed();
        if malformed > std::mem::replace(&mut self.malformed, malformed) {
            error!(malformed, dir = %self.dir.display(), "the log of overrides has lines that are no records");
        }
        self.logged_fingerprints.extend(records.iter().map(record_fingerprint));
        Ok(records)
    }
}

/// Reads records that other processes append. Never returns; cancel-safe.
async fn follow(store: Store, overrides: Overrides) {
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        store.refresh(&overrides);
    }
}

/// Appends the table's new records whenever it changes, until the table is dropped. A write in progress when this is dropped
/// still completes.
async fn append_changes(store: Store, overrides: Overrides, progress: Arc<watch::Sender<Progress>>) {
    let mut revisions = overrides.revisions();
    let mut retry_delay = INITIAL_RETRY_DELAY;
    loop {
        let revision = *revisions.borrow_and_update();
        let records =
            || overrides.with(|table| table.by_fingerprint().values().map(|r| (**r).clone()).collect());
        match store.append_missing(records(), revision, progress.clone()).await {
            Ok(()) => {
                retry_delay = INITIAL_RETRY_DELAY;
                store.compact(records()).await;
                if revisions.changed().await.is_err() {
                    return;
                }
            }
            Err(e) => {
                let dir = store.0.borrow().dir.display().to_string();
                warn!(error = %e, dir, "overrides can't be written down");
                tokio::time::sleep(retry_delay).await;
                retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
            }
        }
    }
}

/// The overrides table, kept up to date from the log.
pub struct LoggedOperatorState {
    /// The log.
    pub store: Store,
    /// The table that records are merged into.
    pub overrides: Overrides,
}

impl OperatorStateSource for LoggedOperatorState {
    fn refresh(&self) {
        self.store.refresh(&self.overrides);
    }
}

#[cfg(test)]
mod tests;
