//! Registry of a dispatcher's processes: a shared directory with one file per process.

use super::protocol::Introduction;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

const DIRECTORY: &str = "processes";
/// Larger files are ignored.
const MAX_BYTES: u64 = 4096;

/// The registry directory.
#[derive(Clone, Debug)]
pub struct Registry(PathBuf);

impl Registry {
    /// The registry below the dispatcher's state directory.
    pub fn in_state_dir(dir: &Path) -> Registry {
        Registry(dir.join(DIRECTORY))
    }

    fn file(&self, process: u32) -> PathBuf {
        self.0.join(format!("{process}.json"))
    }

    /// Writes the file of a process.
    ///
    /// # Errors
    /// The file can't be written; no partial file is left for others to read.
    pub fn publish(&self, own: &Introduction) -> io::Result<()> {
        fs::create_dir_all(&self.0)?;
        let text = serde_json::to_string(own)?;
        let next = self.0.join(format!("{}.next", own.process));
        let written = fs::write(&next, text).and_then(|()| fs::rename(&next, self.file(own.process)));
        if written.is_err() {
            let _ = fs::remove_file(&next);
        }
        written
    }

    /// All published processes, including those that have exited. Files that can't be read or parsed are skipped.
    ///
    /// # Errors
    /// The directory can't be read.
    pub fn processes(&self) -> io::Result<Vec<Introduction>> {
        let entries = match fs::read_dir(&self.0) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
            entries => entries?,
        };
        let mut all = Vec::new();
        for entry in entries {
            let path = entry?.path();
            let is_introduction = path.extension().is_some_and(|ending| ending == "json")
                && fs::metadata(&path).is_ok_and(|file| file.len() <= MAX_BYTES);
            if is_introduction {
                all.extend(fs::read(&path).ok().and_then(|text| serde_json::from_slice(&text).ok()));
            }
        }
        Ok(all)
    }

    /// Removes a process that has exited, unless its process id is in use by another one by now.
    pub fn remove(&self, gone: &Introduction) {
        let file = self.file(gone.process);
        let found = fs::read(&file).ok().and_then(|text| serde_json::from_slice::<Introduction>(&text).ok());
        if found.as_ref() == Some(gone) {
            let _ = fs::remove_file(file);
        }
    }
}
