//! Receives the worker list from an agent on the same machine, to which lists are pushed.

use super::calls::{call, ListCallError};
use super::monitor::Change;
use super::watch::sleep_until_unless_moved;
use super::{apply_list, ListSource};
use std::time::Duration;
use tracing::{debug, info, warn};

/// Each call waits for changes for this fraction of the drain grace period, may take twice as long in addition,
/// and is followed by the next call after the same time. A change missed by a call without an answer is
/// therefore received within five eighths of the period.
const POLL_FRACTION: u32 = 8;
/// Bounds of that wait: calls cost the agent nothing, but each one takes time of this process.
const POLL_WAIT_BOUNDS: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(100));

/// Follows the agent whether or not the decision module requests the list: what the agent holds counts as
/// known, and since changes arrive by themselves, the module never has to ask. The agent answers immediately,
/// and does not answer while discovery is down, so calls are short and frequent. Never returns.
///
/// `drain_grace`: how long requests may still be sent to a draining worker.
pub async fn follow(source: ListSource, drain_grace: Duration) {
    let ListSource { flows, client, mut discovery, mut names, initial_version, monitor, .. } = source;
    let wait = (drain_grace / POLL_FRACTION).clamp(POLL_WAIT_BOUNDS.0, POLL_WAIT_BOUNDS.1);
    let (mut after, mut last_address) = (initial_version, *discovery.borrow_and_update());
    let mut is_failing = false;
    loop {
        let (call_started, at) = (tokio::time::Instant::now(), *discovery.borrow_and_update());
        if at != last_address {
            // Another agent has its own version numbers.
            info!(from = ?last_address, to = ?at, "discovery: moved");
            monitor.record(Change::Moved);
            (last_address, after) = (at, None);
        }
        let Some(at) = at else {
            match discovery.changed().await {
                Ok(()) => continue,
                Err(_) => return,
            }
        };
        match call(&client, at, after, wait, wait * 3).await {
            Ok(list) => {
                after = list.next_after(after);
                if list.full || !list.servers.is_empty() {
                    debug!(version = list.version, lines = list.servers.len(), "discovery: a list came");
                    apply_list(&flows, &mut names, &list, list.kind());
                }
                monitor.set_version(list.version);
                monitor.answered(call_started.into());
                if std::mem::take(&mut is_failing) {
                    info!(discovery = %at, "discovery: lists come again");
                }
            }
            Err(e) => {
                if !std::mem::replace(&mut is_failing, true) {
                    warn!(discovery = %at, error = %e, "discovery: no list comes");
                }
                monitor.failed(call_started.into(), e.failure());
                after = after.filter(|_| !matches!(e, ListCallError::Unreadable(_)));
            }
        }
        sleep_until_unless_moved(call_started + wait, &mut discovery).await;
    }
}
