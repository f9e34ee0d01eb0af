//! Watches a discovery that has to be polled, with one call after the other as long as they succeed. The
//! monitor decides how a failed call affects the validity of the list; the schedule and the decision module
//! decide when to call again.

use super::calls::{call, call_queued, ListCallError};
use super::monitor::Change;
use super::{apply_list, AddressReceiver, HostList, ListSource};
use futures_util::FutureExt;
use lineroute_control::list_status::{ListState, WATCH_CONTINUES_WITHIN};
use lineroute_control::watch::{FailedCall, WatchSchedule};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;
use tracing::{debug, info, warn};

/// Time limit for an answer, in addition to the wait for changes.
const ANSWER_TIMEOUT_BEYOND_WAIT: Duration = Duration::from_millis(1500);
/// Minimum time between two calls that return no changes, in case discovery does not wait.
const MIN_CALL_GAP: Duration = Duration::from_millis(20);

/// A call that starts this long after the previous answer does not continue the watch, and is queued.
const WATCH_BREAK_DELAY: Duration = Duration::from_millis(WATCH_CONTINUES_WITHIN + 50);

/// If a call is unanswered this long before the list expires, a second one is made in parallel, within the
/// bounds below. A shorter queue needs no second call.
const SECOND_CALL_AHEAD: Duration = Duration::from_millis(500);
const SECOND_CALL_AFTER: (Duration, Duration) = (Duration::from_millis(3500), Duration::from_millis(5500));

/// Watches discovery from the start on, so that the first request need not wait for the list, and follows
/// changes of its address. Never returns.
pub async fn watch(source: ListSource, schedule: WatchSchedule) {
    let last_address = *source.discovery.borrow();
    let mut watcher = Watcher {
        after: source.initial_version,
        last_address,
        wait: Duration::ZERO,
        was_unreadable: false,
        source,
        schedule,
    };
    loop {
        // The first call is answered at once, so that the decision module knows the state; the following calls
        // wait for changes.
        watcher.wait = Duration::ZERO;
        watcher.call_until_failure().await;
        watcher.wait_until_requested().await;
    }
}

/// An active watch.
struct Watcher {
    source: ListSource,
    schedule: WatchSchedule,
    /// The version after which changes are requested.
    after: Option<u64>,
    /// The address of the last call.
    last_address: Option<SocketAddr>,
    /// How long the next call waits for changes.
    wait: Duration,
    /// The last answer could not be parsed. The next call may continue the watch that the answer ended, and is
    /// then not queued.
    was_unreadable: bool,
}

impl Watcher {
    /// Makes calls until discovery has no address, or until a call fails and the decision module has to say
    /// when to call again.
    async fn call_until_failure(&mut self) {
        loop {
            let at = *self.source.discovery.borrow_and_update();
            if at != self.last_address {
                self.address_changed(at);
            }
            let Some(at) = at else { return };
            let call_started = Instant::now();
            let mut moved = self.source.discovery.clone();
            let answer = tokio::select! {
                answer = self.call(at) => answer,
                // Avoids waiting for a discovery that has been replaced: the list of the new one is needed
                // soon. Dropping the call closes its connection.
                Ok(()) = moved.changed() => continue,
            };
            match answer {
                Ok(list) => self.list_received(list, call_started).await,
                Err(error) => {
                    let Some(delay) = self.call_failed(at, &error, call_started) else { return };
                    sleep_unless_moved(delay, &mut self.source.discovery).await;
                }
            }
        }
    }

    /// Another discovery has its own version numbers, so the whole list is requested.
    fn address_changed(&mut self, to: Option<SocketAddr>) {
        info!(from = ?self.last_address, to = ?to, "discovery: moved");
        self.source.monitor.record(Change::Moved);
        (self.last_address, self.after, self.wait) = (to, None, Duration::ZERO);
    }

    async fn call(&self, at: SocketAddr) -> Result<HostList, ListCallError> {
        let ListSource { client, monitor, .. } = &self.source;
        if self.wait.is_zero() {
            let patience = Duration::from_millis(self.schedule.answer_timeout());
            let second_after = monitor.valid_for().saturating_sub(SECOND_CALL_AHEAD);
            let second_after = second_after.clamp(SECOND_CALL_AFTER.0, SECOND_CALL_AFTER.1);
            return call_queued(client, at, self.after, (second_after, patience)).await;
        }
        monitor.record(Change::WatchBegan(self.wait));
        call(client, at, self.after, self.wait, self.wait + ANSWER_TIMEOUT_BEYOND_WAIT).await
    }

    async fn list_received(&mut self, list: HostList, call_started: Instant) {
        let ListSource { flows, names, monitor, reports, .. } = &mut self.source;
        self.after = list.next_after(self.after);
        let (version, lines) = (list.version, list.servers.len());
        let took_ms = call_started.elapsed().as_millis() as u64;
        if monitor.state() == ListState::Unconfirmed {
            info!(version, lines, full = list.full, took_ms, "discovery: the first list came");
        }
        debug!(version, lines, full = list.full, took_ms, "discovery: a list came");
        apply_list(flows, names, &list, list.kind());
        monitor.set_version(version);
        if self.wait.is_zero() && !std::mem::take(&mut self.was_unreadable) {
            monitor.queued_call_answered(call_started.into());
        } else {
            monitor.answered(call_started.into());
        }
        if self.wait.is_zero() {
            reports.answered(version);
        }
        self.schedule.answered();
        if self.schedule.should_measure_service_time(self.source.monitor.crowd_outlasts_bound()) {
            self.wait = Duration::ZERO;
            tokio::time::sleep(WATCH_BREAK_DELAY).await;
            return;
        }
        self.wait = Duration::from_millis(self.schedule.wait());
        if lines == 0 {
            tokio::time::sleep_until(call_started + MIN_CALL_GAP).await;
        }
    }

    /// The delay before the next call in milliseconds; `None`: the decision module has to request it.
    fn call_failed(&mut self, at: SocketAddr, error: &ListCallError, call_started: Instant) -> Option<u64> {
        let monitor = &self.source.monitor;
        let (took_ms, waited_ms) = (call_started.elapsed().as_millis() as u64, self.wait.as_millis() as u64);
        warn!(discovery = %at, error = %error, took_ms, waited_ms, "discovery: no list came");
        let failure = error.failure();
        monitor.failed(call_started.into(), failure);
        self.was_unreadable = matches!(error, ListCallError::Unreadable(_));
        if self.was_unreadable {
            self.after = None;
        }
        let failed = FailedCall { watched: !self.wait.is_zero(), failure, took: took_ms };
        // The next call does not wait for changes; if it fails, that is a failure like any other.
        self.wait = Duration::ZERO;
        self.schedule.retry_delay(failed)
    }

    /// Resolves when the decision module requests the list again, or the address of discovery changes.
    async fn wait_until_requested(&mut self) {
        let ListSource { flows, discovery, .. } = &mut self.source;
        // A request made before the failure does not permit another call at once.
        let _ = flows.watch_requested().now_or_never();
        flows.list_failed();
        // A change of address is handled without waiting for a request. Either branch may be dropped: the
        // request and the address remain available until they are taken.
        tokio::select! {
            () = flows.watch_requested() => {}
            Ok(()) = discovery.changed() => {}
        }
    }
}

/// Sleeps, but returns early if the address of discovery changes.
async fn sleep_unless_moved(delay_ms: u64, discovery: &mut AddressReceiver) {
    if delay_ms > 0 {
        sleep_until_unless_moved(Instant::now() + Duration::from_millis(delay_ms), discovery).await;
    }
}

/// Like `sleep_unless_moved`, until an instant.
pub(super) async fn sleep_until_unless_moved(until: Instant, discovery: &mut AddressReceiver) {
    let moved = discovery.wait_for({
        let at = *discovery.borrow();
        move |now| *now != at
    });
    let _ = tokio::time::timeout_at(until, moved).await;
}
