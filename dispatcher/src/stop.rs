//! The end of the process behind SIGTERM: its stages, and what it owes in each.

use crate::fleet;
use crate::flow::Flows;
use crate::listeners::beanstalkd::BeanstalkdListener;
use crate::listeners::connection_slots::ConnectionSlots;
use crate::listeners::http::Phase;
use crate::siblings::protocol::State;
use crate::siblings::Siblings;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;
use tracing::{info, warn};

/// After SIGTERM clients keep coming for a while: so long they are served.
const ACCEPT_GRACE: Duration = Duration::from_millis(700);
/// How long answers may take to reach their clients once the last flow has ended.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);
/// How long answers that pass may go on once everything else is done; then they are cut short.
const PASS_ON: Duration = Duration::from_secs(10);
/// Between two lines of the log on what a stop waits for.
const REPORT_STOP_EVERY: Duration = Duration::from_millis(500);
/// The platform counts the longest deadline as this at most; so long and [`ACCEPT_GRACE`] behind SIGTERM it may kill.
const LONGEST_COUNTED: Duration = Duration::from_secs(3);
/// Answers go out so long before that: the signal was sent before it was heeded, and many clients are answered at once.
const LAST_MOMENT_MARGIN: Duration = Duration::from_millis(200);
/// How long workers may take then to be told that their jobs are given up.
const GIVE_UP_WITHIN: Duration = Duration::from_millis(100);
/// When clients that are refused then may come again: another process serves by now.
const RETRY_ELSEWHERE: Duration = Duration::from_millis(100);
/// Between two looks at whether a sibling takes new connections.
const ASK_SIBLINGS_EVERY: Duration = Duration::from_millis(100);
/// Between two looks at what a stop waits for.
const LOOK_AGAIN: Duration = Duration::from_millis(5);
/// How long answers that beanstalkd clients have not fetched are kept once everything else is done.
const KEEP_ANSWERS: Duration = Duration::from_secs(5);

/// What a stop has to end, in its order.
pub struct RunningProcess {
    pub flows: Flows,
    pub phase: Rc<Phase>,
    pub beanstalkd: Option<Rc<BeanstalkdListener>>,
    pub fleet: Option<fleet::Handle>,
    /// The other processes of this dispatcher, where there may be some.
    pub siblings: Option<Rc<Siblings>>,
    /// Lets clients of the platform in until it is told to end.
    pub serving: JoinHandle<()>,
    pub slots: Rc<ConnectionSlots>,
    /// The longest time that a client waits for an answer.
    pub longest_deadline: Duration,
}

/// How long behind SIGTERM everybody has to have an answer: SIGKILL may follow so soon.
fn last_moment(longest_deadline: Duration) -> Duration {
    (longest_deadline.min(LONGEST_COUNTED) + ACCEPT_GRACE).saturating_sub(LAST_MOMENT_MARGIN)
}

impl RunningProcess {
    /// Takes nothing new, answers what was taken before the platform may kill the process, and ends its connections. Dropped, it leaves
    /// off where it was.
    pub async fn stop(self) {
        let RunningProcess { flows, phase, beanstalkd, fleet, siblings, serving, slots, longest_deadline } =
            self;
        info!(flows = flows.unanswered_flows(), "SIGTERM: stopping");
        let since = Instant::now();
        let report = actix_rt::spawn(report_stop(flows.clone(), since));
        phase.close();
        siblings.iter().for_each(|siblings| siblings.stop());
        let queue = siblings.clone().filter(|_| phase.is_shared());
        let queue = queue.map(|siblings| actix_rt::spawn(leave_queue(siblings, phase.clone())));
        beanstalkd.iter().for_each(|f| f.stop());
        let last_moment = last_moment(longest_deadline);
        tokio::time::sleep(ACCEPT_GRACE.min(last_moment)).await;
        phase.shut();
        info!(flows = flows.unanswered_flows(), "SIGTERM: new requests are refused from here on");
        let settled = async {
            while flows.unanswered_flows() > 0 {
                flows.unanswered_changed().await;
            }
        };
        // Dropped, it only waited.
        if tokio::time::timeout_at((since + last_moment).into(), settled).await.is_err() {
            let (attempts, owed) = (flows.forwards_in_flight(), flows.answer_all_pending(RETRY_ELSEWHERE));
            warn!(owed, attempts, "SIGTERM: answered unserved, since SIGKILL may come now");
            while_within(GIVE_UP_WITHIN, || flows.forwards_in_flight() > 0).await;
        }
        info!("SIGTERM: every request has its answer");
        while_within(KEEP_ANSWERS, || beanstalkd.as_ref().is_some_and(|f| f.left() > 0)).await;
        while_within(PASS_ON, || flows.streaming_answers() > 0).await;
        if flows.streaming_answers() > 0 {
            warn!(flows = flows.streaming_answers(), "SIGTERM: answers that were passing are cut short");
        }
        if let Some(fleet) = fleet {
            fleet.leave().await;
        }
        let ledger = flows.permit_stats();
        info!(sent = ledger.sent, refused = ?ledger.refused, violations = ?ledger.violations, "SIGTERM: permits since the start");
        // Whoever still waits in the listener's queue is let in and refused; then there is none.
        phase.end();
        let _ = serving.await;
        while_within(FLUSH_TIMEOUT, || slots.count() > 0).await;
        siblings.iter().for_each(|siblings| siblings.leave());
        queue.iter().for_each(JoinHandle::abort);
        report.abort();
    }
}

/// Leaves new connections to a sibling that serves them, for as long as there is one. Aborted, it leaves things as they are.
async fn leave_queue(siblings: Rc<Siblings>, phase: Rc<Phase>) {
    loop {
        let states = siblings.states().await;
        // Until new requests are refused here, a sibling that has no list yet would serve them later than this process.
        let is_served =
            states.contains(&State::Serving) || phase.is_shut() && states.contains(&State::Starting);
        phase.leave_queue(is_served);
        tokio::time::sleep(ASK_SIBLINGS_EVERY).await;
    }
}

/// Logs what a stopping process still owes, until it is aborted. Nothing is lost then: it only reads.
async fn report_stop(flows: Flows, since: Instant) {
    loop {
        tokio::time::sleep(REPORT_STOP_EVERY).await;
        let (owed, attempts, after_ms) =
            (flows.unanswered_flows(), flows.forwards_in_flight(), since.elapsed().as_millis() as u64);
        info!(owed, attempts, after_ms, "SIGTERM: still stopping");
    }
}

/// Waits while something is so, for a span at most.
async fn while_within(span: Duration, is_so: impl Fn() -> bool) {
    let last = tokio::time::Instant::now() + span;
    while is_so() && tokio::time::Instant::now() < last {
        tokio::time::sleep(LOOK_AGAIN).await;
    }
}
