//! Memory and CPU time of processes, from the kernel.

use rustix::time::{clock_gettime, ClockId};
use std::path::Path;
use std::time::Duration;

/// A field of a process's `status` file, `VmRSS` or `VmHWM`, in bytes.
///
/// # Errors
/// The process has ended, or the file has no such field.
pub fn status_bytes(proc_dir: &Path, key: &str) -> Result<u64, String> {
    let path = proc_dir.join("status");
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    let value = text.lines().find_map(|line| line.strip_prefix(key)?.strip_prefix(':'));
    let kilobytes = value.and_then(|value| value.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.map(|kilobytes| kilobytes * 1024).ok_or_else(|| format!("{}: no {key}", path.display()))
}

/// Measures the CPU time of this thread, which excludes the time in which other threads run.
pub struct ThreadTimer {
    started_at: Duration,
}

impl ThreadTimer {
    pub fn start() -> Self {
        Self { started_at: thread_time() }
    }

    pub fn seconds(&self) -> f64 {
        thread_time().saturating_sub(self.started_at).as_secs_f64()
    }
}

/// CPU time of this thread so far.
fn thread_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}

/// CPU seconds of all live threads of a process so far.
///
/// # Errors
/// The process has ended.
pub fn cpu_seconds(proc_dir: &Path) -> Result<f64, String> {
    let path = proc_dir.join("task");
    let threads = std::fs::read_dir(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    let nanoseconds = |thread: std::io::Result<std::fs::DirEntry>| {
        let text = std::fs::read_to_string(thread.ok()?.path().join("schedstat")).ok()?;
        text.split(' ').next()?.parse::<u64>().ok()
    };
    Ok(threads.filter_map(nanoseconds).sum::<u64>() as f64 / 1e9)
}
