//! Errors that are this machine's own: it had no descriptor, buffer, port or route for a connection. They say nothing of the
//! machine at the other end, whether that is a worker or discovery.

use rustix::io::Errno;
use std::future::Future;
use std::io;
use std::time::{Duration, Instant};

/// What failed for want of something here is tried again after so long, and not at once: others may free it meanwhile.
pub const LOCAL_FAULT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Whether an error is this machine's own.
pub fn is_local(error: &io::Error) -> bool {
    is_resource_shortage(error)
        || matches!(
            Errno::from_io_error(error),
            Some(Errno::ADDRNOTAVAIL | Errno::ADDRINUSE | Errno::NETUNREACH | Errno::NETDOWN)
        )
}

/// Whether descriptors, buffers or memory were short: others may free some.
pub fn is_resource_shortage(error: &io::Error) -> bool {
    matches!(Errno::from_io_error(error), Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM))
}

/// At a start, sockets are asked for again for so long while descriptors or buffers are short.
const OPENS_WITHIN: Duration = Duration::from_secs(5);

/// Opens a socket that a process needs from its start on. It is waited for where descriptors or buffers are short for a while.
///
/// # Errors
/// The last one, of whatever kind.
pub async fn open_with_retry<T, F>(open: impl Fn() -> F) -> io::Result<T>
where
    F: Future<Output = io::Result<T>>,
{
    let began = Instant::now();
    loop {
        match open().await {
            Err(e) if is_resource_shortage(&e) && began.elapsed() < OPENS_WITHIN => {
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
    fn only_what_this_machine_lacks_is_its_own() {
        let error = |errno: Errno| io::Error::from_raw_os_error(errno.raw_os_error());
        for own in [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::ADDRNOTAVAIL, Errno::NETUNREACH] {
            assert!(is_local(&error(own)), "{own:?}");
        }
        for other in [Errno::CONNREFUSED, Errno::CONNRESET, Errno::TIMEDOUT, Errno::HOSTUNREACH] {
            assert!(!is_local(&error(other)), "{other:?}");
        }
        assert!(!is_local(&io::Error::other("of no system call")));
    }
}
