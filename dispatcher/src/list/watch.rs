//! The watch of a discovery that has to be asked: call upon call, for as long as calls succeed. What a call that came to
//! nothing leaves of the list's validity is the monitor's; when to call again is the schedule's and the module's.

use super::calls::{call, call_in_turn, NoList};
use super::monitor::Change;
use super::{apply_list, Address, HostList, ListSource};
use futures_util::FutureExt;
use lineroute_control::list_status::{ListState, WATCH_CONTINUES_WITHIN};
use lineroute_control::watch::{FailedCall, WatchSchedule};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;
use tracing::{debug, info, warn};

/// How long an answer may take beyond the wait for news.
const NEWS_WITHIN: Duration = Duration::from_millis(1500);
/// The least time between two calls that bring nothing: guards against a discovery that does not wait.
const LEAST_GAP: Duration = Duration::from_millis(20);

/// A call so long behind an answer carries no watch on, and takes a turn.
const BEHIND_WATCH: Duration = Duration::from_millis(WATCH_CONTINUES_WITHIN + 50);

/// A second call is made beside one without an answer so long before the list stops being valid, within these bounds: a queue
/// that is shorter needs none.
const SECOND_CALL_AHEAD: Duration = Duration::from_millis(500);
const SECOND_CALL_AFTER: (Duration, Duration) = (Duration::from_millis(3500), Duration::from_millis(5500));

/// Watches discovery, wherever it stands now, from the start on: the first request need not wait for the list. Never ends.
pub async fn watch(source: ListSource, schedule: WatchSchedule) {
    let asked_at = *source.discovery.borrow();
    let mut watcher = Watcher {
        after: source.initial_version,
        asked_at,
        wait: Duration::ZERO,
        was_unreadable: false,
        with: source,
        schedule,
    };
    loop {
        // The first call is answered at once, so that the module knows where it stands; the next ones wait.
        watcher.wait = Duration::ZERO;
        watcher.call_until_failure().await;
        watcher.until_wanted().await;
    }
}

/// A watch under way.
struct Watcher {
    with: ListSource,
    schedule: WatchSchedule,
    /// The version that changes are asked after.
    after: Option<u64>,
    /// Where the last call went.
    asked_at: Option<SocketAddr>,
    /// How long the next call waits for news.
    wait: Duration,
    /// The last answer could not be read. The next call may carry on the watch that it ended, and take no turn.
    was_unreadable: bool,
}

impl Watcher {
    /// Calls until discovery is nowhere, or a call failed that the module has to say when to make again.
    async fn call_until_failure(&mut self) {
        loop {
            let at = *self.with.discovery.borrow_and_update();
            if at != self.asked_at {
                self.has_moved(at);
            }
            let Some(at) = at else { return };
            let asked = Instant::now();
            let mut moved = self.with.discovery.clone();
            let answer = tokio::select! {
                answer = self.call(at) => answer,
                // Guards against waiting on a discovery that has been replaced: what the new one has to tell
                // counts as told soon. The call that is dropped ends its connection.
                Ok(()) = moved.changed() => continue,
            };
            match answer {
                Ok(list) => self.has_list(list, asked).await,
                Err(no_list) => {
                    let Some(delay) = self.has_failed(at, &no_list, asked) else { return };
                    pause(delay, &mut self.with.discovery).await;
                }
            }
        }
    }

    /// Another discovery counts its versions by itself: the whole list is asked for.
    fn has_moved(&mut self, to: Option<SocketAddr>) {
        info!(from = ?self.asked_at, to = ?to, "discovery: moved");
        self.with.monitor.note(Change::Moved);
        (self.asked_at, self.after, self.wait) = (to, None, Duration::ZERO);
    }

    async fn call(&self, at: SocketAddr) -> Result<HostList, NoList> {
        let ListSource { client, monitor, .. } = &self.with;
        if self.wait.is_zero() {
            let patience = Duration::from_millis(self.schedule.patience());
            let second_after = monitor.valid_for().saturating_sub(SECOND_CALL_AHEAD);
            let second_after = second_after.clamp(SECOND_CALL_AFTER.0, SECOND_CALL_AFTER.1);
            return call_in_turn(client, at, self.after, (second_after, patience)).await;
        }
        monitor.note(Change::WatchBegan(self.wait));
        call(client, at, self.after, self.wait, self.wait + NEWS_WITHIN).await
    }

    async fn has_list(&mut self, list: HostList, asked: Instant) {
        let ListSource { flows, names, monitor, reports, .. } = &mut self.with;
        self.after = list.known(self.after);
        let (version, lines) = (list.version, list.servers.len());
        let took_ms = asked.elapsed().as_millis() as u64;
        if monitor.state() == ListState::Unconfirmed {
            info!(version, lines, full = list.full, took_ms, "discovery: the first list came");
        }
        debug!(version, lines, full = list.full, took_ms, "discovery: a list came");
        apply_list(flows, names, &list, list.kind());
        monitor.set_version(version);
        if self.wait.is_zero() && !std::mem::take(&mut self.was_unreadable) {
            monitor.queued_call_answered(asked.into());
        } else {
            monitor.answered(asked.into());
        }
        if self.wait.is_zero() {
            reports.answered(version);
        }
        self.schedule.answered();
        if self.schedule.takes_turn_anew(self.with.monitor.crowd_outlasts_bound()) {
            self.wait = Duration::ZERO;
            tokio::time::sleep(BEHIND_WATCH).await;
            return;
        }
        self.wait = Duration::from_millis(self.schedule.wait());
        if lines == 0 {
            tokio::time::sleep_until(asked + LEAST_GAP).await;
        }
    }

    /// How many milliseconds to wait before the next call; `None`: the module has to say.
    fn has_failed(&mut self, at: SocketAddr, no_list: &NoList, asked: Instant) -> Option<u64> {
        let monitor = &self.with.monitor;
        let (took_ms, waited_ms) = (asked.elapsed().as_millis() as u64, self.wait.as_millis() as u64);
        warn!(discovery = %at, error = %no_list, took_ms, waited_ms, "discovery: no list came");
        let failure = no_list.failure();
        monitor.failed(asked.into(), failure);
        self.was_unreadable = matches!(no_list, NoList::Unreadable(_));
        if self.was_unreadable {
            self.after = None;
        }
        let failed = FailedCall { watched: !self.wait.is_zero(), failure, took: took_ms };
        // The next call does not wait: if it comes to nothing, that is a failure like any other.
        self.wait = Duration::ZERO;
        self.schedule.call_again_after(failed)
    }

    /// Resolves when the module wants the list again, or discovery has moved.
    async fn until_wanted(&mut self) {
        let ListSource { flows, discovery, .. } = &mut self.with;
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
async fn pause(span: u64, discovery: &mut Address) {
    if span > 0 {
        pause_until(Instant::now() + Duration::from_millis(span), discovery).await;
    }
}

/// The same until an instant.
pub(super) async fn pause_until(until: Instant, discovery: &mut Address) {
    let moved = discovery.wait_for({
        let at = *discovery.borrow();
        move |now| *now != at
    });
    let _ = tokio::time::timeout_at(until, moved).await;
}
