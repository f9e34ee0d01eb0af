//! Injects the faults of a scenario's timeline.

use crate::member::{Members, Start};
use crate::relay::{DirectionConditions, LinkConditions, UdpConditions};
use crate::scenario::{Direction, Fault, Peer, Trouble, Who};
use crate::stand_in::worker::Worker;
use crate::trace::What;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, Instant};

/// Interval between repeated signals.
const BETWEEN_SIGNALS: Duration = Duration::from_millis(30);

/// Injects faults into members, links, workers and discovery.
#[derive(Clone)]
pub struct FaultInjector {
    pub members: Arc<Members>,
    pub workers: Vec<Arc<Worker>>,
}

impl FaultInjector {
    /// Runs the whole timeline, starting now, and waits until every fault has ended.
    pub async fn play(self, seed: u64) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let began = Instant::now();
        let end = Duration::from_secs_f64(self.members.scenario.seconds);
        let mut schedule = Vec::new();
        for trouble in &self.members.scenario.timeline {
            let Trouble { at_ms, every_ms, jitter_ms, fault } = trouble;
            let mut at = Duration::from_millis(*at_ms);
            while at < end {
                let jitter = Duration::from_micros(rng.u64(0..=jitter_ms * 1000));
                schedule.push((at + jitter, fault.clone(), rng.fork()));
                let Some(every) = every_ms else { break };
                at += Duration::from_millis(*every);
            }
        }
        schedule.sort_by_key(|(at, ..)| *at);
        let mut tasks = JoinSet::new();
        for (at, fault, rng) in schedule {
            sleep_until(began + at).await;
            tasks.spawn(self.clone().inject(fault, rng));
        }
        while tasks.join_next().await.is_some() {}
    }

    /// The member that `who` selects, if there is one at present.
    fn select_member(&self, who: &Who, rng: &mut fastrand::Rng) -> Option<usize> {
        match who {
            Who::Number(member) => Some(*member),
            Who::Any => {
                let all = 0..self.members.scenario.members;
                rng.choice(all.filter(|m| self.members.is_running(*m)).collect::<Vec<_>>())
            }
            // The owner is the member whose action for it was accepted last, according to the trace alone.
            Who::Owner(thing) => self.members.recorder.latest(|what| match what {
                What::Acted { member, fence, accepted: true, .. } if fence.resource == *thing => {
                    Some(*member)
                }
                _ => None,
            }),
        }
    }

    async fn inject(self, fault: Fault, mut rng: fastrand::Rng) {
        let members = &self.members;
        match fault {
            Fault::Kill { member, back_ms, wipe, disk_kb } => {
                let Some(member) = self.select_member(&member, &mut rng) else { return };
                if members.kill(member).await {
                    self.restart_after(member, back_ms, Start { wipe, disk_kb }).await;
                }
            }
            Fault::KillAll { back_ms } => {
                let all = 0..members.scenario.members;
                let mut tasks = JoinSet::new();
                for member in all {
                    let injector = self.clone();
                    tasks.spawn(async move {
                        if injector.members.kill(member).await {
                            injector.restart_after(member, Some(back_ms), Start::default()).await;
                        }
                    });
                }
                while tasks.join_next().await.is_some() {}
            }
            Fault::Terminate { member, back_ms } => {
                let Some(member) = self.select_member(&member, &mut rng) else { return };
                if members.terminate(member).await {
                    self.restart_after(member, back_ms, Start::default()).await;
                }
            }
            Fault::Stop { member, for_ms } => {
                let Some(member) = self.select_member(&member, &mut rng) else { return };
                if members.stop(member) {
                    sleep(Duration::from_millis(for_ms)).await;
                    members.resume(member);
                }
            }
            Fault::Reload { member, times } => {
                let Some(member) = self.select_member(&member, &mut rng) else { return };
                for _ in 0..times {
                    members.reload(member);
                    sleep(BETWEEN_SIGNALS).await;
                }
            }
            Fault::Discovery { trouble, for_ms } => {
                members.discovery.trouble(trouble);
                sleep(Duration::from_millis(for_ms)).await;
                members.discovery.end_trouble(trouble);
            }
            Fault::Vanish { worker, for_ms, late_ms } => {
                let late = Duration::from_millis(late_ms);
                self.set_reachable(worker, false);
                sleep(late).await;
                members.discovery.set(worker, "removed");
                sleep(Duration::from_millis(for_ms).saturating_sub(late)).await;
                self.set_reachable(worker, true);
                sleep(late).await;
                members.discovery.set(worker, "up");
            }
            Fault::Drain { worker, for_ms } => {
                members.discovery.set(worker, "draining");
                sleep(Duration::from_millis(for_ms)).await;
                members.discovery.set(worker, "up");
            }
            Fault::Hang { worker, for_ms } => {
                self.workers[worker].hang(true);
                sleep(Duration::from_millis(for_ms)).await;
                self.workers[worker].hang(false);
            }
            Fault::Calls { member, trouble, per_mille, for_ms } => {
                let Some(member) = self.select_member(&member, &mut rng) else { return };
                members.fault_plans.set_trouble(member, trouble, per_mille);
                sleep(Duration::from_millis(for_ms)).await;
                members.fault_plans.set_trouble(member, trouble, 0);
            }
            Fault::Clock { member, step_ms } => {
                let Some(member) = self.select_member(&member, &mut rng) else { return };
                members.fault_plans.step_clock(member, step_ms);
            }
            Fault::Link { ref member, .. } => {
                let Some(member) = self.select_member(member, &mut rng) else { return };
                self.inject_link(member, &fault).await;
            }
        }
    }

    /// Makes a worker reachable or unreachable for all members.
    fn set_reachable(&self, worker: usize, reachable: bool) {
        for member in 0..self.members.scenario.members {
            self.members.links.work[member][worker].set(|w| w.reset = !reachable);
            if !reachable {
                self.members.recorder.note(What::Reset { member, worker });
            }
        }
    }

    async fn restart_after(&self, member: usize, after_ms: Option<u64>, start: Start) {
        let Some(after) = after_ms else { return };
        sleep(Duration::from_millis(after)).await;
        // A failed start is recorded in the trace.
        let _ = self.members.start(member, start).await;
    }

    async fn inject_link(&self, member: usize, fault: &Fault) {
        let Fault::Link { to, direction, for_ms, cut, reset, delay_ms, loss, reorder, trickle, .. } = fault
        else {
            return;
        };
        let way = DirectionConditions {
            cut: *cut,
            delay: Duration::from_millis(*delay_ms),
            loss: *loss,
            trickle: *trickle,
        };
        let (out, back) = (*direction != Direction::In, *direction != Direction::Out);
        let apply = |w: &mut LinkConditions, member_connects: bool| {
            let (affects_listener, affects_connector) =
                if member_connects { (out, back) } else { (back, out) };
            w.toward_listener = if affects_listener { way } else { w.toward_listener };
            w.toward_connector = if affects_connector { way } else { w.toward_connector };
            w.reset = *reset;
        };
        let links = &self.members.links;
        let text = serde_json::to_string(fault).unwrap_or_default();
        self.members.recorder.note(What::Link { text: format!("member {member}: {text}") });
        links.set(member, to, &apply);
        let workers = match to {
            Peer::Worker(worker) => *worker..*worker + 1,
            Peer::Workers => 0..self.workers.len(),
            _ => 0..0,
        };
        for worker in workers.filter(|_| *reset) {
            self.members.recorder.note(What::Reset { member, worker });
        }
        if let (Some(talk), Peer::Member(_) | Peer::Members) = (&links.peer_relay, to) {
            let others: Vec<usize> = match to {
                Peer::Member(other) => vec![*other],
                _ => (0..self.members.scenario.members).filter(|m| *m != member).collect(),
            };
            let shut = *cut || *reset;
            let outward = others.iter().filter(|_| shut && out).map(|o| (member, *o));
            let inward = others.iter().filter(|_| shut && back).map(|o| (*o, member));
            let cut_directions = outward.chain(inward).collect();
            talk.set(UdpConditions {
                lost: *loss,
                late: *reorder,
                delay: way.delay,
                cut_directions,
                ..UdpConditions::default()
            });
        }
        let unreachable = *to == Peer::Discovery && (*cut || *reset);
        if unreachable {
            self.members.recorder.note(What::Reachable { member: Some(member), reachable: false });
        }
        sleep(Duration::from_millis(*for_ms)).await;
        if unreachable {
            self.members.recorder.note(What::Reachable { member: Some(member), reachable: true });
        }
        links.set(member, to, &|w, _| *w = LinkConditions::default());
        links.peer_relay.iter().for_each(|talk| talk.set(UdpConditions::default()));
        self.members.recorder.note(What::Link { text: format!("member {member}: calm again") });
    }
}
