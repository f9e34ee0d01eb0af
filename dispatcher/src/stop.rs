//! Graceful shutdown after SIGTERM: its stages, and what remains to be done in each.

use crate::fleet;
use crate::flow::{Flows, ShutdownTimes};
use crate::listeners::beanstalkd::BeanstalkdListener;
use crate::listeners::connection_slots::ConnectionSlots;
use crate::listeners::http::ListenerLifecycle;
use crate::siblings::protocol::State;
use crate::siblings::Siblings;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;
use tracing::{info, warn};

/// How long new requests are still accepted after SIGTERM, since clients keep sending for a while.
const ACCEPT_GRACE: Duration = Duration::from_millis(700);
/// How long answers may take to reach their clients after the last flow has ended.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);
/// How long streamed answers may continue once everything else is done; then they are truncated.
const STREAM_GRACE: Duration = Duration::from_secs(10);
/// Interval between log lines on the progress of a shutdown.
const PROGRESS_LOG_INTERVAL: Duration = Duration::from_millis(500);
/// The platform caps the longest deadline at this value when it computes the grace period: it may send SIGKILL this long plus
/// [`ACCEPT_GRACE`] after SIGTERM.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// How long before a possible SIGKILL the remaining answers are sent: SIGTERM was sent earlier than it was handled, and many
/// clients are answered at once.
const ANSWER_DEADLINE_MARGIN: Duration = Duration::from_millis(200);
/// How long cancelling the forwards in flight may take after that.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(100);
/// `Retry-After` of the answers sent then: another process is serving by now.
const RETRY_AFTER: Duration = Duration::from_millis(100);
/// Interval at which siblings are asked whether they take new connections.
const SIBLING_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Polling interval while the shutdown waits for a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// How long answers that beanstalkd clients have not reserved yet are kept after every request has been answered.
const UNRESERVED_ANSWER_GRACE: Duration = Duration::from_secs(5);

/// The parts of the running process that a shutdown ends.
pub struct RunningProcess {
    pub flows: Flows,
    pub lifecycle: Rc<ListenerLifecycle>,
    pub beanstalkd: Option<Rc<BeanstalkdListener>>,
    pub fleet: Option<fleet::Handle>,
    /// Other processes of this dispatcher, if there can be any.
    pub siblings: Option<Rc<Siblings>>,
    /// The task that accepts HTTP connections until the phase ends.
    pub serving: JoinHandle<()>,
    pub slots: Rc<ConnectionSlots>,
    /// The longest deadline of any class.
    pub longest_deadline: Duration,
}

/// The time after SIGTERM by which every client must have an answer, since SIGKILL may follow.
fn answer_deadline(longest_deadline: Duration) -> Duration {
    (longest_deadline.min(MAX_COUNTED_DEADLINE) + ACCEPT_GRACE).saturating_sub(ANSWER_DEADLINE_MARGIN)
}

impl RunningProcess {
    /// Stops accepting requests, answers the accepted ones before the platform may send SIGKILL, and closes the connections. When
    /// dropped, it stops at its current stage.
    pub async fn stop(self) {
        let RunningProcess {
            flows,
            lifecycle,
            beanstalkd,
            fleet,
            siblings,
            serving,
            slots,
            longest_deadline,
        } = self;
        info!(flows = flows.unanswered_flows(), "SIGTERM: stopping");
        let started = Instant::now();
        let report = actix_rt::spawn(log_progress(flows.clone(), started));
        lifecycle.start_draining();
        siblings.iter().for_each(|siblings| siblings.stop());
        let leaving_queue = siblings.clone().filter(|_| lifecycle.is_socket_shared());
        let leaving_queue =
            leaving_queue.map(|siblings| actix_rt::spawn(leave_queue(siblings, lifecycle.clone())));
        beanstalkd.iter().for_each(|f| f.stop());
        let answer_deadline = answer_deadline(longest_deadline);
        let times = ShutdownTimes {
            accepts_until: started + ACCEPT_GRACE.min(answer_deadline),
            answers_by: started + answer_deadline,
        };
        let late = flows.refuse_late_starts(times, RETRY_AFTER);
        if late > 0 {
            info!(late, "SIGTERM: jobs whose delay ends too late for this process are refused");
        }
        tokio::time::sleep_until(times.accepts_until.into()).await;
        lifecycle.start_stopping();
        info!(flows = flows.unanswered_flows(), "SIGTERM: new requests are refused from here on");
        let all_answered = async {
            while flows.unanswered_flows() > 0 {
                flows.unanswered_changed().await;
            }
        };
        // The future only waits, so that dropping it at the timeout loses nothing.
        if tokio::time::timeout_at(times.answers_by.into(), all_answered).await.is_err() {
            let (attempts, owed) = (flows.forwards_in_flight(), flows.answer_all_pending(RETRY_AFTER));
            warn!(
                owed,
                attempts, "SIGTERM: remaining requests answered without a result, since SIGKILL may follow"
            );
            wait_while(CANCEL_TIMEOUT, || flows.forwards_in_flight() > 0).await;
        }
        info!("SIGTERM: every request has its answer");
        let kept_answers = || beanstalkd.as_ref().map_or(0, |listener| listener.unfinished_jobs());
        wait_while(UNRESERVED_ANSWER_GRACE, || kept_answers() > 0).await;
        if kept_answers() > 0 {
            warn!(
                answers = kept_answers(),
                "SIGTERM: answers that their clients have not deleted are dropped"
            );
        }
        wait_while(STREAM_GRACE, || flows.streaming_answers() > 0).await;
        if flows.streaming_answers() > 0 {
            warn!(flows = flows.streaming_answers(), "SIGTERM: streamed answers truncated");
        }
        if let Some(fleet) = fleet {
            fleet.leave().await;
        }
        let permit_stats = flows.permit_stats();
        info!(sent = permit_stats.sent, refused = ?permit_stats.refused, violations = ?permit_stats.violations, "SIGTERM: permits since the start");
        // Connections still in the accept queue are accepted and refused; then the listening socket is closed.
        lifecycle.close_socket();
        let _ = serving.await;
        wait_while(FLUSH_TIMEOUT, || slots.count() > 0).await;
        siblings.iter().for_each(|siblings| siblings.unregister());
        leaving_queue.iter().for_each(JoinHandle::abort);
        report.abort();
    }
}

/// Leaves new connections to a sibling while there is one that serves them. Aborting the task keeps the current state.
async fn leave_queue(siblings: Rc<Siblings>, lifecycle: Rc<ListenerLifecycle>) {
    loop {
        let states = siblings.states().await;
        // While this process still accepts requests, a sibling without a worker list would serve them later than this one.
        let is_served =
            states.contains(&State::Serving) || lifecycle.is_stopping() && states.contains(&State::Starting);
        lifecycle.pause_accepting(is_served);
        tokio::time::sleep(SIBLING_POLL_INTERVAL).await;
    }
}

/// Logs the progress of the shutdown until aborted, which is safe at any time: the task only reads.
async fn log_progress(flows: Flows, started: Instant) {
    loop {
        tokio::time::sleep(PROGRESS_LOG_INTERVAL).await;
        let (owed, attempts, after_ms) =
            (flows.unanswered_flows(), flows.forwards_in_flight(), started.elapsed().as_millis() as u64);
        info!(owed, attempts, after_ms, "SIGTERM: still stopping");
    }
}

/// Waits while `condition` holds, for at most `timeout`.
async fn wait_while(timeout: Duration, condition: impl Fn() -> bool) {
    let last = tokio::time::Instant::now() + timeout;
    while condition() && tokio::time::Instant::now() < last {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
