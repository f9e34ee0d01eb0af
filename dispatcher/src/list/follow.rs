//! Following the agent on this machine that lists are pushed to.

use super::calls::{call, ListCallError};
use super::monitor::Change;
use super::watch::sleep_until_unless_moved;
use super::{apply_list, ListSource};
use std::time::Duration;
use tracing::{debug, info, warn};

/// A call waits for news for this part of the time that drains have, may take twice as long beyond that, and the next one
/// comes as much later. What a silent call missed is heard of within five eighths.
const POLL_FRACTION: u32 = 8;
/// The bounds of that: an agent costs nothing, but each call takes time of this process.
const POLL_WAIT_BOUNDS: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(100));

/// Follows the agent, whoever wants lists: what it holds counts as told, and the module, to which changes come by
/// themselves here, never asks. The agent answers at once and says nothing while discovery is down, so each call is short
/// and the next one comes soon. Never ends.
///
/// `drains`: how long sends to a worker that drains may go on.
pub async fn follow(source: ListSource, drain_grace: Duration) {
    let ListSource { flows, client, mut discovery, mut names, initial_version, monitor, .. } = source;
    let wait = (drain_grace / POLL_FRACTION).clamp(POLL_WAIT_BOUNDS.0, POLL_WAIT_BOUNDS.1);
    let (mut after, mut last_address) = (initial_version, *discovery.borrow_and_update());
    let mut is_failing = false;
    loop {
        let (call_started, at) = (tokio::time::Instant::now(), *discovery.borrow_and_update());
        if at != last_address {
            // Another agent counts its versions by itself.
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
