//! Overrides on disk: a log that every process of this dispatcher appends to and reads ([`log_file`]). While the process is
//! replaced two of them serve, and an operator speaks to either: what one has appended binds the other from its next first byte
//! on, since the log is looked at before each (`Flows::send_permit`).
//!
//! Where the operator's file names a `state_dir`, overrides outlast a restart there; with an admin console and no such folder
//! they pass through `$TMPDIR`, which may be full or fail: the process serves on, and writes down what it owes as soon as it can.

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

/// Between two looks at what other processes have appended, beside those before each first byte.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// At a start a log that can't be opened is tried again for so long: nothing is served yet.
const START_WITHIN: Duration = Duration::from_millis(300);
/// Behind a write that failed, at first and at most.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// A log of so many bytes is replaced by a shorter one, if less than half of it still counts.
const COMPACT_FROM: u64 = 256 << 10;

/// The log of a dispatcher's overrides, as this process has it.
#[derive(Clone)]
pub struct Store(Rc<RefCell<Inner>>);

struct Inner {
    dir: PathBuf,
    log: Option<LogFile>,
    /// The records that the log has, by their fingerprints.
    logged: FxHashSet<u64>,
    /// Lines that were no records, as far as they were told of.
    malformed: u64,
    reads_fail: bool,
}

/// How far the table has come to the log, by its revisions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Progress {
    /// Other processes see it.
    appended: u64,
    /// It is on the disk.
    synced: u64,
}

/// Tells how far the log has come.
#[derive(Clone)]
pub struct Handle {
    progress: Arc<watch::Sender<Progress>>,
}

impl Handle {
    /// Resolves once other processes see a revision of the table; false if that takes longer.
    pub async fn is_appended(&self, revision: u64, within: Duration) -> bool {
        self.reaches(within, |progress| progress.appended >= revision).await
    }

    /// Resolves once a revision of the table is on the disk; false if that takes longer.
    pub async fn is_saved(&self, revision: u64, within: Duration) -> bool {
        self.reaches(within, |progress| progress.synced >= revision).await
    }

    async fn reaches(&self, within: Duration, mut is_far: impl FnMut(&Progress) -> bool) -> bool {
        let mut progress = self.progress.subscribe();
        let done = async { progress.wait_for(|at| is_far(at)).await.is_ok() };
        tokio::time::timeout(within, done).await.unwrap_or(false)
    }
}

impl Store {
    /// Opens the folder that the operator's file names; makes it where it is missing.
    ///
    /// # Errors
    /// It can't be made or written to.
    pub fn open(dir: &Path) -> Result<Store, String> {
        let store = Store::open_lazily(dir);
        let opened = LogFile::open(dir);
        let fault = |e: io::Error| format!("operator's file: state_dir: {}: {e}", dir.display());
        store.0.borrow_mut().log = Some(opened.map_err(fault)?);
        Ok(store)
    }

    /// The same for a folder that may be full or fail: it is opened when it can be.
    pub fn open_lazily(dir: &Path) -> Store {
        Store(Rc::new(RefCell::new(Inner {
            dir: dir.into(),
            log: None,
            logged: FxHashSet::default(),
            malformed: 0,
            reads_fail: false,
        })))
    }

    /// Brings what was kept into the table. What can't be read is told of; it never stops the start.
    pub fn load(&self, table: &mut Table) {
        let mut records = snapshot::load(&self.0.borrow().dir);
        records.extend(self.read_at_start());
        let count = records.len();
        let taken = records.into_iter().filter(|r| table.restore(r.clone(), now()) == Merged::New).count();
        info!(records = count, taken, "overrides read from the log");
    }

    /// The log from its beginning. It is waited for where another process is just replacing it.
    fn read_at_start(&self) -> Vec<Record> {
        let since = Instant::now();
        loop {
            let records = self.read_new();
            if self.0.borrow().log.is_some() || since.elapsed() >= START_WITHIN {
                return records;
            }
            std::thread::sleep(FIRST_PAUSE);
        }
    }

    /// The records that were appended since the last look.
    fn read_new(&self) -> Vec<Record> {
        let inner = &mut *self.0.borrow_mut();
        match inner.read_new() {
            Ok(records) => {
                inner.reads_fail = false;
                records
            }
            Err(e) => {
                // Opened anew at the next look, and read from its beginning.
                inner.log = None;
                inner.logged.clear();
                if !std::mem::replace(&mut inner.reads_fail, true) {
                    warn!(error = %e, dir = %inner.dir.display(), "the log of overrides can't be read");
                }
                Vec::new()
            }
        }
    }

    /// Brings what other processes have appended into the table.
    pub fn refresh(&self, overrides: &Overrides) {
        let records = self.read_new();
        if records.is_empty() {
            return;
        }
        let taken = overrides.restore(records);
        if taken > 0 {
            info!(taken, "overrides of another process of this dispatcher");
        }
    }

    /// Follows the log, and appends to it what the table has and it lacks. Blocking calls are made off this thread: a slow disk
    /// holds up no client.
    pub fn start(&self, overrides: Overrides) -> Handle {
        let handle = Handle { progress: Arc::default() };
        actix_rt::spawn(follow(self.clone(), overrides.clone()));
        actix_rt::spawn(write_down(self.clone(), overrides, handle.progress.clone()));
        handle
    }

    /// Appends what the table has and the log lacks, as of this revision.
    async fn append_missing(
        &self,
        records: Vec<Record>,
        revision: u64,
        progress: Arc<watch::Sender<Progress>>,
    ) -> io::Result<()> {
        let (appender, missing) = {
            let inner = &mut *self.0.borrow_mut();
            let log = inner.opened()?;
            let appender = log.appender();
            let is_missing = |record: &Record| !inner.logged.contains(&record_fingerprint(record));
            (appender, records.into_iter().filter(is_missing).collect::<Vec<_>>())
        };
        let prints: Vec<u64> = missing.iter().map(record_fingerprint).collect();
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
        if !prints.is_empty() {
            let took_ms = since.elapsed().as_millis() as u64;
            info!(records = prints.len(), revision, took_ms, "overrides written down");
        }
        self.0.borrow_mut().logged.extend(prints);
        Ok(())
    }

    /// Replaces a log of which most counts no more, unless another process has it open.
    async fn compact(&self, records: Vec<Record>) {
        let compactor = {
            let inner = self.0.borrow();
            let Some(log) = inner.log.as_ref().filter(|log| log.size() >= COMPACT_FROM) else { return };
            if inner.logged.len() < 2 * records.len() {
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
                inner.logged.clear();
                info!("the log of overrides was replaced by a shorter one");
            }
            Err(e) => warn!(error = %e, "the log of overrides can't be replaced by a shorter one"),
        }
    }
}

impl Inner {
    fn opened(&mut self) -> io::Result<&mut LogFile> {
        if self.log.is_none() {
            self.log = Some(LogFile::open(&self.dir)?);
        }
        self.log.as_mut().ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn read_new(&mut self) -> io::Result<Vec<Record>> {
        let log = self.opened()?;
        let records = log.read_new()?;
        let malformed = log.malformed();
        if malformed > std::mem::replace(&mut self.malformed, malformed) {
            error!(malformed, dir = %self.dir.display(), "the log of overrides has lines that are no records");
        }
        self.logged.extend(records.iter().map(record_fingerprint));
        Ok(records)
    }
}

/// Looks at what other processes have appended. Never ends; dropped, it holds nothing.
async fn follow(store: Store, overrides: Overrides) {
    loop {
        tokio::time::sleep(LOOK_EVERY).await;
        store.refresh(&overrides);
    }
}

/// Writes the table down whenever it changes, until the table is gone. A write that is under way when this is dropped goes on
/// to its end.
async fn write_down(store: Store, overrides: Overrides, progress: Arc<watch::Sender<Progress>>) {
    let mut revisions = overrides.revisions();
    let mut pause = FIRST_PAUSE;
    loop {
        let revision = *revisions.borrow_and_update();
        let records =
            || overrides.with(|table| table.by_fingerprint().values().map(|r| (**r).clone()).collect());
        match store.append_missing(records(), revision, progress.clone()).await {
            Ok(()) => {
                pause = FIRST_PAUSE;
                store.compact(records()).await;
                if revisions.changed().await.is_err() {
                    return;
                }
            }
            Err(e) => {
                let dir = store.0.borrow().dir.display().to_string();
                warn!(error = %e, dir, "overrides can't be written down");
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

/// What operators have set, kept up to date by the log.
pub struct LoggedOperatorState {
    /// The log.
    pub store: Store,
    /// The table that it is brought into.
    pub overrides: Overrides,
}

impl OperatorStateSource for LoggedOperatorState {
    fn refresh(&self) {
        self.store.refresh(&self.overrides);
    }
}

#[cfg(test)]
mod tests;
