//! The watch of a discovery that has to be asked: call upon call, for as long as calls succeed. What a call that came to
//! nothing leaves of the list's validity is the monitor's; when to call again is the schedule's and the module's.

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

/// How long an answer may take beyond the wait for news.
const ANSWER_TIMEOUT_BEYOND_WAIT: Duration = Duration::from_millis(1500);
/// The least time between two calls that bring nothing: guards against a discovery that does not wait.
const MIN_CALL_GAP: Duration = Duration::from_millis(20);

/// A call so long behind an answer carries no watch on, and takes a turn.
const WATCH_BREAK_DELAY: Duration = Duration::from_millis(WATCH_CONTINUES_WITHIN + 50);

/// A second call is made beside one without an answer so long before the list stops being valid, within these bounds: a queue
/// that is shorter needs none.
const SECOND_CALL_AHEAD: Duration = Duration::from_millis(500);
const SECOND_CALL_AFTER: (Duration, Duration) = (Duration::from_millis(3500), Duration::from_millis(5500));

/// Watches discovery, wherever it stands now, from the start on: the first request need not wait for the list. Never ends.
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
        // The first call is answered at once, so that the module knows where it stands; the next ones wait.
        watcher.wait = Duration::ZERO;
        watcher.call_until_failure().await;
        watcher.wait_until_requested().await;
    }
}

/// A watch under way.
struct Watcher {
    source: ListSource,
    schedule: WatchSchedule,
    /// The version that changes are asked after.
    after: Option<u64>,
    /// Where the last call went.
    last_address: Option<SocketAddr>,
    /// How long the next call waits for news.
    wait: Duration,
    /// The last answer could not be read. The next call may carry on the watch that it ended, and take no turn.
    was_unreadable: bool,
}

impl Watcher {
    /// Calls until discovery is nowhere, or a call failed that the module has to say when to make again.
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
                // Guards against waiting on a discovery that has been replaced: what the new one has to tell
                // counts as told soon. The call that is dropped ends its connection.
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

    /// Another discovery counts its versions by itself: the whole list is asked for.
    fn address_changed(&mut self, to: Option<SocketAddr>) {
        info!(from = ?self.last_address, to = ?to, "discovery: moved");
        self.source.monitor.record(Change::Moved);
        (self.last_address, self.after, self.wait) = (to, None, Duration::ZERO);
    }

    async fn call(&self, at: SocketAddr) -> Result<HostList, ListCallError> {
        let ListSource { client, monitor, .. } = &self.source;
        if self.wait.is_zero() {
            let patience = Duration::from_millis(self.schedule.patience());
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
        if self.schedule.takes_turn_anew(self.source.monitor.crowd_outlasts_bound()) {
            self.wait = Duration::ZERO;
            tokio::time::sleep(WATCH_BREAK_DELAY).await;
            return;
        }
        self.wait = Duration::from_millis(self.schedule.wait());
        if lines == 0 {
            tokio::time::sleep_until(call_started + MIN_CALL_GAP).await;
        }
    }

    /// How many milliseconds to wait before the next call; `None`: the module has to say.
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
        // The next call does not wait: if it comes to nothing, that is a failure like any other.
        self.wait = Duration::ZERO;
        self.schedule.call_again_after(failed)
    }

    /// Resolves when the module wants the list again, or discovery has moved.
    async fn wait_until_requested(&mut self) {
        let ListSource { flows, discovery, .. } = &mut self.source;
        // What the module wished for before the failure is no leave to call again at once.
        let _ = flows.watch_requested().now_or_never();
        flows.list_failed();
        // A move need not wait until the module wants the list again. Neither branch loses anything when it is dropped:
        // the wish and the address stay until they are taken.
        tokio::select! {
            () = flows.watch_requested() => {}
            Ok(()) = discovery.changed() => {}
        }
    }
}

/// Waits, unless discovery moves.
async fn sleep_unless_moved(delay_ms: u64, discovery: &mut AddressReceiver) {
    if delay_ms > 0 {
        sleep_until_unless_moved(Instant::now() + Duration::from_millis(delay_ms), discovery).await;
    }
}

/// The same until an instant.
pub(super) async fn sleep_until_unless_moved(until: Instant, discovery: &mut AddressReceiver) {
    let moved = discovery.wait_for({
        let at = *discovery.borrow();
        move |now| *now != at
    });
    let _ = tokio::time::timeout_at(until, moved).await;
}
