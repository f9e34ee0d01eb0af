//! Locks on the references of open requests, held over all processes of a dispatcher.
//!
//! A reference may be open only once in a dispatcher, and while the process is replaced two or more processes accept requests.
//! The kernel decides between them: an open request holds a lock on one byte of a file that all processes share, at an offset
//! derived from its reference. Setting such a lock is atomic and takes one system call, with or without a sibling. It does not
//! depend on what the holder is doing: a suspended process keeps its locks, and the kernel releases those of a process that exits
//! or is killed.
//!
//! Locks belong to the open file description (`F_OFD_SETLK`), so that no other use of the file in the process can release them.

use nix::errno::Errno;
use nix::fcntl::{fcntl, FcntlArg};
use nix::libc;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::fs::{self, File, OpenOptions};
use std::io;
use std::os::fd::{AsFd, BorrowedFd};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};
use thiserror::Error;
use tracing::{info, warn};

/// Interval between attempts to open the file while that fails.
const OPEN_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which a process checks that its file still is the one that other processes open.
const FILE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Why a reference was not locked.
#[derive(Debug, Error)]
pub enum LockError {
    /// A request with this reference is open in another process of the dispatcher.
    #[error("the reference is open in another process")]
    Held,
    /// The kernel can't be asked now, and another process may have the reference.
    #[error("the reference can't be locked: {0}")]
    Unavailable(io::Error),
}

/// The lock file of a dispatcher, as this process has it open.
pub struct ReferenceLocks {
    path: PathBuf,
    /// `None` while the file can't be opened.
    file: RefCell<Option<File>>,
    last_open_attempt: Cell<Option<Instant>>,
    /// Offsets of the references that this process has. All are locked, except where no other process could be running when one was
    /// accepted without the file.
    offsets: RefCell<BTreeSet<i64>>,
    /// Whether another process of the dispatcher may be running.
    may_have_sibling: Box<dyn Fn() -> bool>,
}

/// The lock on one reference, released when dropped.
pub struct ReferenceLock {
    locks: Rc<ReferenceLocks>,
    offset: i64,
}

impl ReferenceLocks {
    /// The locks of the processes that accept from the same inherited socket and have the same directory. If the file can't be
    /// opened now, or is removed later, that is tried again until it succeeds.
    ///
    /// # Errors
    /// `socket` is not an open descriptor.
    pub fn open(
        directory: &Path,
        socket: BorrowedFd,
        may_have_sibling: Box<dyn Fn() -> bool>,
    ) -> io::Result<Rc<ReferenceLocks>> {
        // The number of the inode tells the dispatchers apart that share a directory.
        let inode = nix::sys::stat::fstat(socket)?.st_ino;
        let locks = Rc::new(ReferenceLocks {
            path: directory.join(format!("references-{inode}.lock")),
            file: RefCell::default(),
            last_open_attempt: Cell::default(),
            offsets: RefCell::default(),
            may_have_sibling,
        });
        if let Err(e) = locks.ensure_open() {
            warn!(path = %locks.path.display(), error = %e, "siblings: can't open the file for locks on references; retrying");
        }
        actix_rt::spawn(keep_open(Rc::downgrade(&locks)));
        Ok(locks)
    }

    /// Locks a reference. A second lock of this process on the same reference is not detected.
    ///
    /// # Errors
    /// Another process has the reference, or may have it.
    pub fn lock(self: &Rc<Self>, reference: &str) -> Result<ReferenceLock, LockError> {
        let offset = offset_of(reference);
        match self.ensure_open().and_then(|()| self.set(offset, libc::F_WRLCK)) {
            Ok(()) => {}
            Err(e) if is_held(&e) => return Err(LockError::Held),
            Err(e) if (self.may_have_sibling)() => return Err(LockError::Unavailable(e)),
            Err(_) => {}
        }
        self.offsets.borrow_mut().insert(offset);
        Ok(ReferenceLock { locks: self.clone(), offset })
    }

    /// Whether the file that is open is not the one that other processes open, because somebody has removed it.
    fn is_removed(&self) -> bool {
        let Some(Ok(open)) = self.file.borrow().as_ref().map(File::metadata) else { return false };
        match fs::metadata(&self.path) {
            Ok(named) => (named.dev(), named.ino()) != (open.dev(), open.ino()),
            Err(e) => e.kind() == io::ErrorKind::NotFound,
        }
    }

    /// Opens the file unless it is open, and locks what this process has.
    fn ensure_open(&self) -> io::Result<()> {
        if self.file.borrow().is_some() {
            return Ok(());
        }
        if self.last_open_attempt.get().is_some_and(|at| at.elapsed() < OPEN_RETRY_INTERVAL) {
            return Err(io::ErrorKind::NotFound.into());
        }
        self.last_open_attempt.set(Some(Instant::now()));
        self.open_file()
    }

    /// Opens the file, which replaces one that is open, and locks what this process has.
    fn open_file(&self) -> io::Result<()> {
        self.path.parent().map_or(Ok(()), fs::create_dir_all)?;
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(&self.path)?;
        *self.file.borrow_mut() = Some(file);
        let offsets = self.offsets.borrow();
        let failed = offsets.iter().filter(|offset| self.set(**offset, libc::F_WRLCK).is_err()).count();
        info!(path = %self.path.display(), locked = offsets.len(), failed, "siblings: references are locked");
        Ok(())
    }

    /// Retries opening the file while that fails, and opens the one that other processes open if it was removed. Until then the
    /// locks on the removed file are kept.
    fn check_file(&self) {
        if !self.is_removed() {
            // It is tried again at the next check.
            let _ = self.ensure_open();
            return;
        }
        let opened = self.open_file();
        warn!(path = %self.path.display(), ?opened, "siblings: the file for locks on references was removed");
    }

    fn release(&self, offset: i64) {
        self.offsets.borrow_mut().remove(&offset);
        if self.file.borrow().is_none() {
            return;
        }
        if let Err(e) = self.set(offset, libc::F_UNLCK) {
            warn!(error = %e, "siblings: a reference stays locked for other processes until this one exits");
        }
    }

    /// Sets or releases the lock on one byte.
    fn set(&self, offset: i64, kind: libc::c_int) -> io::Result<()> {
        let file = self.file.borrow();
        let file = file.as_ref().ok_or(io::ErrorKind::NotFound)?;
        let lock = libc::flock {
            l_type: kind as libc::c_short,
            l_whence: libc::SEEK_SET as libc::c_short,
            l_start: offset,
            l_len: 1,
            l_pid: 0,
        };
        loop {
            match fcntl(file.as_fd(), FcntlArg::F_OFD_SETLK(&lock)) {
                Ok(_) => return Ok(()),
                Err(Errno::EINTR) => {}
                Err(e) => return Err(e.into()),
            }
        }
    }
}

/// Checks the file from time to time, as long as there are locks. If dropped, the next call of [`ReferenceLocks::lock`] tries to open
/// a file that is not open, and it is not noticed that one was removed.
async fn keep_open(locks: Weak<ReferenceLocks>) {
    while let Some(locks) = locks.upgrade() {
        locks.check_file();
        drop(locks);
        tokio::time::sleep(FILE_CHECK_INTERVAL).await;
    }
}

impl Drop for ReferenceLock {
    fn drop(&mut self) {
        self.locks.release(self.offset);
    }
}

/// Both errors mean that another holder has the lock.
fn is_held(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(libc::EAGAIN | libc::EACCES))
}

/// Offset of the byte that stands for a reference: 63 bits of its hash, so that nobody can find another reference with the
/// same byte.
fn offset_of(reference: &str) -> i64 {
    let hash = blake3::hash(reference.as_bytes());
    let (first, _) = hash.as_bytes().split_first_chunk().expect("a hash has 32 bytes");
    (u64::from_be_bytes(*first) >> 1) as i64
}

#[cfg(test)]
mod tests;
