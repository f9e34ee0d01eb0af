//! Errors caused by this host: it had no descriptor, buffer, port or route for a connection. They say nothing about the
//! remote host, whether that is a worker or discovery.

use rustix::io::Errno;
use std::future::Future;
use std::io;
use std::time::{Duration, Instant};

/// Delay before a retry after a local failure. The retry is not immediate, since other processes may free resources meanwhile.
pub const LOCAL_FAULT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Whether an error is caused by this host.
pub fn is_local(error: &io::Error) -> bool {
    is_resource_shortage(error)
        || matches!(
            Errno::from_io_error(error),
            Some(Errno::ADDRNOTAVAIL | Errno::ADDRINUSE | Errno::NETUNREACH | Errno::NETDOWN)
        )
}

/// Whether this host was short of descriptors, buffers or memory, which other processes may free.
pub fn is_resource_shortage(error: &io::Error) -> bool {
    matches!(Errno::from_io_error(error), Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM))
}

/// How long opening a socket at start-up is retried while descriptors or buffers are short.
const OPEN_TIMEOUT: Duration = Duration::from_secs(5);

/// Opens a socket that the process needs from its start on. Retries for a limited time while descriptors or buffers are short.
///
/// # Errors
/// Returns the error of the last attempt, of any kind.
pub async fn open_with_retry<T, F>(open: impl Fn() -> F) -> io::Result<T>
where
    F: Future<Output = io::Result<T>>,
{
    let began = Instant::now();
    loop {
        match open().await {
            Err(e) if is_resource_shortage(&e) && began.elapsed() < OPEN_TIMEOUT => {
                tokio::time::sleep(LOCAL_FAULT_RETRY_DELAY).await;
            }
            result => return result,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_resource_and_local_network_errors_are_local() {
        let error = |errno: Errno| io::Error::from_raw_os_error(errno.raw_os_error());
        for own in [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::ADDRNOTAVAIL, Errno::NETUNREACH] {
            assert!(is_local(&error(own)), "{own:?}");
        }
        for other in [Errno::CONNREFUSED, Errno::CONNRESET, Errno::TIMEDOUT, Errno::HOSTUNREACH] {
            assert!(!is_local(&error(other)), "{other:?}");
        }
        assert!(!is_local(&io::Error::other("not from a system call")));
    }
}
