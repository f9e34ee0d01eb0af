//! The processes of a dispatcher as they stand in a folder that they share, a file each.

use super::protocol::Introduction;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

const FOLDER: &str = "processes";
/// A larger file is no introduction.
const MAX_BYTES: u64 = 4096;

/// The folder.
#[derive(Clone, Debug)]
pub struct Registry(PathBuf);

impl Registry {
    /// The one below the folder of the dispatcher's state.
    pub fn below(dir: &Path) -> Registry {
        Registry(dir.join(FOLDER))
    }

    fn file(&self, process: u32) -> PathBuf {
        self.0.join(format!("{process}.json"))
    }

    /// Writes a process down.
    ///
    /// # Errors
    /// The folder is full or fails; nothing half is left for others to read.
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

    /// The processes that were written down, dead ones among them. A file that can't be read is passed over.
    ///
    /// # Errors
    /// The folder can't be read.
    pub fn all(&self) -> io::Result<Vec<Introduction>> {
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

    /// Takes out a process that is gone, unless another one has its number by now.
    pub fn remove(&self, gone: &Introduction) {
        let file = self.file(gone.process);
        let found = fs::read(&file).ok().and_then(|text| serde_json::from_slice::<Introduction>(&text).ok());
        if found.as_ref() == Some(gone) {
            let _ = fs::remove_file(file);
        }
    }
}
