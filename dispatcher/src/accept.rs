//! Retries after a failed `accept`.
//!
//! An `accept` fails for one of two reasons. Either a single connection ended while it was queued (`ECONNABORTED`, or a pending
//! network error, which Linux reports through `accept`): the next connection can be accepted at once. Or this host is short of
//! descriptors, buffers or memory: another process may release some, so `accept` is retried after a pause that doubles up to a
//! limit. The deadlines of queued requests are not extended meanwhile.

use rustix::io::Errno;
use std::io;
use std::time::Duration;
use tracing::warn;

/// Pause after the first of several consecutive local failures. It doubles with each further failure.
const FIRST_PAUSE: Duration = Duration::from_millis(1);
/// Upper limit of the pause. A hundred attempts a second cost next to nothing.
const MAX_PAUSE: Duration = Duration::from_millis(10);

/// Whether an `accept` error concerns only the connection being accepted, and not the next one.
fn concerns_one_connection(error: &io::Error) -> bool {
    matches!(
        Errno::from_io_error(error),
        Some(
            Errno::CONNABORTED
                | Errno::INTR
                | Errno::PROTO
                | Errno::NOPROTOOPT
                | Errno::NETDOWN
                | Errno::NETUNREACH
                | Errno::HOSTDOWN
                | Errno::HOSTUNREACH
                | Errno::NONET
                | Errno::OPNOTSUPP
        )
    )
}

/// Retry state of one listener's `accept`.
#[derive(Debug)]
pub struct AcceptRetry {
    listener: &'static str,
    /// Pause after the next local failure.
    pause: Duration,
}

impl AcceptRetry {
    /// `listener` is the listener's name in the log.
    pub fn new(listener: &'static str) -> Self {
        AcceptRetry { listener, pause: FIRST_PAUSE }
    }

    /// Resets the pause after a connection has been accepted.
    pub fn succeeded(&mut self) {
        self.pause = FIRST_PAUSE;
    }

    /// Waits after a failed `accept` until the next attempt. The failure counts as soon as the future is polled, also when it is
    /// dropped before it completes.
    pub async fn failed(&mut self, error: &io::Error) {
        if let Some(pause) = self.pause_after(error) {
            tokio::time::sleep(pause).await;
        } else {
            tokio::task::yield_now().await;
        }
    }

    /// Returns the pause after a failure, or `None` for an immediate retry. Logs the first of several consecutive failures.
    fn pause_after(&mut self, error: &io::Error) -> Option<Duration> {
        if concerns_one_connection(error) {
            return None;
        }
        let pause = self.pause;
        if pause == FIRST_PAUSE {
            warn!(listener = self.listener, error = %error, "accept fails");
        }
        self.pause = (pause * 2).min(MAX_PAUSE);
        Some(pause)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn error(errno: Errno) -> io::Error {
        io::Error::from_raw_os_error(errno.raw_os_error())
    }

    #[test]
    fn per_connection_errors_cause_no_pause() {
        let mut retry = AcceptRetry::new("test");
        for errno in [Errno::CONNABORTED, Errno::PROTO, Errno::NETUNREACH, Errno::HOSTUNREACH] {
            assert_eq!(retry.pause_after(&error(errno)), None, "{errno:?}");
        }
    }

    #[test]
    fn pause_doubles_up_to_its_limit_and_resets_after_success() {
        let mut retry = AcceptRetry::new("test");
        let mut next_pause_ms = || retry.pause_after(&error(Errno::MFILE)).map(|pause| pause.as_millis());
        let sequence: Vec<_> = (0..6).map(|_| next_pause_ms()).collect();
        assert_eq!(sequence, [1, 2, 4, 8, 10, 10].map(Some));
        retry.succeeded();
        assert_eq!(retry.pause_after(&error(Errno::NOBUFS)), Some(FIRST_PAUSE));
    }

    /// Errors that accept(2) does not document are retried with a pause, so that the accept loop never spins.
    #[test]
    fn unknown_errors_cause_a_pause() {
        assert!(AcceptRetry::new("test").pause_after(&io::Error::other("not from a system call")).is_some());
    }
}
