//! Overrides on disk, where the operator's file names a `state_dir`: one snapshot, replaced as a whole.
//!
//! The first line names the form and the BLAKE3 hash of all that follows; then comes a record a line, its
//! bytes in hexadecimal. A new snapshot is written beside the old one, brought to the disk, and renamed over
//! it; then the folder is brought to the disk too. One that can't be read whole is set aside.

use crate::overrides::{now, Overrides};
use lineroute_control::overrides::{decode, encode, Merged, Record, Table};
use std::fmt::Write as _;
use std::fs::{self, File};
use std::io::{self, Write as _};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tracing::{error, info, warn};

const NAME: &str = "overrides.snapshot";
const NEXT: &str = "overrides.next";
const BAD: &str = "overrides.bad";
const FORM: &str = "lineroute-overrides 1";
/// A snapshot is no larger than this: the table is bounded.
const MAX_BYTES: u64 = 16 << 20;
/// After a write that failed.
const AGAIN: Duration = Duration::from_secs(1);

/// The snapshot of a dispatcher.
#[derive(Clone, Debug)]
pub struct Store {
    dir: PathBuf,
}

/// How far the snapshot has come.
#[derive(Clone)]
pub struct Handle {
    saved: Rc<watch::Sender<u64>>,
}

impl Handle {
    /// Resolves once a revision of the table is on the disk; false if that takes longer.
    pub async fn is_saved(&self, revision: u64, within: Duration) -> bool {
        let mut saved = self.saved.subscribe();
        let done = async { saved.wait_for(|at| *at >= revision).await.is_ok() };
        tokio::time::timeout(within, done).await.unwrap_or(false)
    }
}

impl Store {
    /// Opens the folder; makes it where it is missing.
    ///
    /// # Errors
    /// It can't be made or written to.
    pub fn open(dir: &Path) -> Result<Store, String> {
        let fault = |e: io::Error| format!("operator's file: state_dir: {}: {e}", dir.display());
        fs::create_dir_all(dir).map_err(fault)?;
        let probe = dir.join(NEXT);
        File::create(&probe).map_err(fault)?;
        fs::remove_file(&probe).map_err(fault)?;
        Ok(Store { dir: dir.into() })
    }

    /// Brings what was kept into the table. What can't be read is set aside and told of; it never stops the
    /// start.
    pub fn load(&self, table: &mut Table) {
        let path = self.dir.join(NAME);
        let records = match self.read(&path) {
            Ok(Some(records)) => records,
            Ok(None) => return,
            Err(reason) => {
                let aside = self.dir.join(BAD);
                let moved = fs::rename(&path, &aside);
                error!(reason, file = %path.display(), aside = %aside.display(), moved = moved.is_ok(),
                    "the snapshot of overrides can't be used and is set aside");
                return;
            }
        };
        let count = records.len();
        let taken = records.into_iter().filter(|r| table.merge(r.clone(), now()) == Merged::New).count();
        info!(records = count, taken, "overrides read from the snapshot");
    }

    fn read(&self, path: &Path) -> Result<Option<Vec<Record>>, String> {
        match fs::metadata(path) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
            Ok(file) if file.len() > MAX_BYTES => return Err(format!("{} bytes are too many", file.len())),
            _ => {}
        }
        let text = fs::read_to_string(path).map_err(|e| e.to_string())?;
        let (head, body) = text.split_once('\n').ok_or("the first line is missing")?;
        let hash = head.strip_prefix(FORM).ok_or("the first line is not of this form")?.trim();
        if blake3::hash(body.as_bytes()).to_hex().as_str() != hash {
            return Err("the checksum is wrong: it was cut short or changed".into());
        }
        let record = |line: &str| decode(&unhex(line)?).ok();
        body.lines()
            .map(|line| record(line).ok_or(format!("a line is no record: {line:.20}")))
            .collect::<Result<_, _>>()
            .map(Some)
    }

    /// Replaces the snapshot. Blocks until it is on the disk.
    fn write(&self, records: &[Vec<u8>]) -> io::Result<()> {
        let mut body = String::new();
        for record in records {
            for byte in record {
                let _ = write!(body, "{byte:02x}");
            }
            body.push('\n');
        }
        let next = self.dir.join(NEXT);
        let mut file = File::create(&next)?;
        writeln!(file, "{FORM} {}", blake3::hash(body.as_bytes()).to_hex())?;
        file.write_all(body.as_bytes())?;
        file.sync_all()?;
        fs::rename(&next, self.dir.join(NAME))?;
        File::open(&self.dir)?.sync_all()
    }

    /// Writes the table down whenever it changes, off this thread: a slow disk holds up no client.
    pub fn start(self, overrides: Overrides) -> Handle {
        let mut revisions = overrides.revisions();
        let handle = Handle { saved: Rc::new(watch::Sender::new(*revisions.borrow())) };
        let saved = handle.saved.clone();
        actix_rt::spawn(async move {
            while revisions.changed().await.is_ok() {
                loop {
                    let revision = *revisions.borrow_and_update();
                    let records: Vec<Vec<u8>> =
                        overrides.with(|table| table.prints().values().map(|r| encode(r)).collect());
                    let store = self.clone();
                    let written = tokio::task::spawn_blocking(move || store.write(&records)).await;
                    match written.map_err(io::Error::other).and_then(|done| done) {
                        Ok(()) => {
                            saved.send_replace(revision);
                            break;
                        }
                        Err(e) => {
                            warn!(error = %e, dir = %self.dir.display(), "overrides can't be written down");
                            tokio::time::sleep(AGAIN).await;
                        }
                    }
                }
            }
        });
        handle
    }
}

fn unhex(line: &str) -> Option<Vec<u8>> {
    let digits = line.as_bytes();
    let pairs = digits.chunks(2).map(|pair| {
        let text = std::str::from_utf8(pair).ok().filter(|t| t.len() == 2)?;
        u8::from_str_radix(text, 16).ok()
    });
    pairs.collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use lineroute_control::overrides::{Order, Scope, Slot};
    use rstest::rstest;

    fn folder(name: &str) -> PathBuf {
        let dir = std::env::temp_dir().join(format!("lineroute-store-{}-{name}", std::process::id()));
        let _ = fs::remove_dir_all(&dir);
        dir
    }

    fn written(store: &Store) -> Table {
        let mut table = Table::new("n1", 3_600_000);
        for worker in ["w1", "w2"] {
            let slot = Slot { worker: worker.into(), scope: Scope::OutOfService };
            let order =
                Order { slot, weight: None, until: now() + 60_000, by: "ama".into(), why: "test".into() };
            table.set(order, now()).expect("set");
        }
        let records: Vec<Vec<u8>> = table.prints().values().map(|r| encode(r)).collect();
        store.write(&records).expect("written");
        table
    }

    fn read_back(store: &Store) -> Table {
        let mut table = Table::new("n1", 3_600_000);
        store.load(&mut table);
        table
    }

    #[test]
    fn what_was_written_is_read_back() {
        let dir = folder("back");
        let store = Store::open(&dir).expect("a folder");
        assert!(read_back(&store).prints().is_empty(), "nothing was written yet");
        let table = written(&store);
        assert_eq!(read_back(&store).prints(), table.prints());
        // Of a write that was cut short nothing counts.
        fs::write(dir.join(NEXT), "half of").expect("a file");
        assert_eq!(read_back(&store).prints(), table.prints());
        let _ = fs::remove_dir_all(dir);
    }

    #[rstest]
    #[case::cut(|text: &str| text[..text.len() - 20].into())]
    #[case::cut_at_a_line(|text: &str| text.lines().take(2).collect::<Vec<_>>().join("\n") + "\n")]
    #[case::changed(|text: &str| text.replacen("77", "78", 1))]
    #[case::empty(|_: &str| String::new())]
    #[case::of_another_form(|text: &str| text.replacen("overrides 1", "overrides 9", 1))]
    #[case::no_text(|_: &str| "\u{0}".repeat(100))]
    fn a_torn_or_corrupt_snapshot_is_set_aside(#[case] spoil: fn(&str) -> String) {
        let dir = folder(&format!("torn-{:?}", std::thread::current().id()));
        let store = Store::open(&dir).expect("a folder");
        written(&store);
        let text = fs::read_to_string(dir.join(NAME)).expect("text");
        fs::write(dir.join(NAME), spoil(&text)).expect("a file");
        assert!(read_back(&store).prints().is_empty());
        assert!(dir.join(BAD).exists() && !dir.join(NAME).exists());
        // The next one is written as ever.
        let table = written(&store);
        assert_eq!(read_back(&store).prints(), table.prints());
        let _ = fs::remove_dir_all(dir);
    }

    #[test]
    fn a_folder_that_cannot_be_used_is_named() {
        let dir = folder("file");
        fs::write(&dir, "a file").expect("a file");
        assert!(Store::open(&dir).unwrap_err().contains("state_dir"));
        let _ = fs::remove_file(dir);
    }
}
