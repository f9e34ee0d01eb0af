//! Workers that speak the platform's HTTP protocol: a job is posted and accepted with 202, and its status
//! updates arrive as calls to the dispatcher's own address (`HttpTargets::apply_update`). After the 202 a
//! forward has no connection.

use super::client::{Call, CallError, HttpAnswer, HttpClient, ACCEPT_TIMEOUT};
use super::gate::Gate;
use super::load;
use crate::facade::{Load, Outcome, TargetId};
use crate::fleet::FencedOperation;
use crate::flow::{AttemptMessage, Flows, Forward, ForwardId, Target};
use crate::local_faults::LOCAL_FAULT_RETRY_DELAY;
use crate::memory::{with_leases, MemoryLease};
use crate::siblings::Delivery;
use awc::http::{header, Method};
use bytes::Bytes;
use lineroute_permit::RetryPermit;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;
use tracing::debug;

/// Delay between attempts to cancel a job at a worker that cannot be reached.
const CANCEL_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Delay between attempts to send a probe that failed for a local reason.
const PROBE_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time limit for the answer to a cancellation, in addition to the connect time-out.
const CANCEL_ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// After this many cancellations without an answer, the worker is no longer asked: one connection may have
/// failed silently, but not two.
const MAX_CANCEL_TIMEOUTS: u32 = 2;

/// A job status update sent by a worker.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct JobUpdate {
    pub id: String,
    pub from: String,
    pub state: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share: Option<f64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub result: Option<serde_json::Value>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub load: Option<serde_json::Value>,
    /// Memory that is leased for the result; each process leases its own.
    #[serde(skip)]
    pub lease: Option<Arc<Vec<MemoryLease>>>,
}

struct InFlight {
    forward: Forward,
    task: Option<JoinHandle<()>>,
    gate: Rc<Gate>,
    /// The worker has sent an update about the job.
    worker_reported: bool,
    /// The cancellation in progress, if any, and the outcome that the worker has reported meanwhile.
    cancel_gate: Option<Rc<Gate>>,
    reported_outcome: Option<(Outcome, Option<Load>)>,
}

impl InFlight {
    /// Whether the worker has reported the end of this particular forward.
    fn is_finished(&self) -> bool {
        self.reported_outcome.is_some() && !self.forward.repeats_target
    }
}

/// Job status updates received from workers since the start.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct UpdateCounts {
    /// About an attempt that this process has in flight.
    pub taken: u64,
    /// About an attempt of a sibling process, and forwarded to it.
    pub passed_on: u64,
    /// About no known attempt: repeated, or about an attempt that has ended.
    pub unknown: u64,
    /// Refused, so that the worker sends them again: a sibling process that may have the job could not be
    /// asked.
    pub refused: u64,
}

/// The forwards in flight at these workers, by job reference.
#[derive(Clone)]
pub struct HttpTargets {
    flows: Flows,
    client: HttpClient,
    connect_timeout: Duration,
    /// Workers report their load, so probes request it.
    load_reports: bool,
    in_flight: Rc<RefCell<FxHashMap<String, InFlight>>>,
    counts: Rc<RefCell<UpdateCounts>>,
}

impl HttpTargets {
    pub fn new(flows: Flows, client: HttpClient, connect_timeout: Duration, load_reports: bool) -> Self {
        HttpTargets {
            flows,
            client,
            connect_timeout,
            load_reports,
            in_flight: Rc::default(),
            counts: Rc::default(),
        }
    }

    /// Counts an update that concerns no attempt of this process, by what became of it.
    pub fn count_foreign_update(&self, update: &JobUpdate, delivery: Delivery) {
        let (reference, worker, state) = (&*update.id, &*update.from, &*update.state);
        debug!(reference, worker, state, ?delivery, "job status update for no attempt of this process");
        let counts = &mut *self.counts.borrow_mut();
        match delivery {
            Delivery::Accepted => counts.passed_on += 1,
            Delivery::Unknown => counts.unknown += 1,
            Delivery::Unavailable => counts.refused += 1,
        }
    }

    pub fn update_counts(&self) -> UpdateCounts {
        *self.counts.borrow()
    }

    /// Whether an update concerns an attempt that this process has in flight.
    pub fn has_attempt(&self, update: &JobUpdate) -> bool {
        self.in_flight
            .borrow()
            .get(&update.id)
            .is_some_and(|in_flight| *in_flight.forward.target_name == *update.from)
    }

    /// Applies a worker's update. Updates may arrive before the 202, more than once, or for an attempt that has
    /// ended; only updates of the attempt in flight at that worker are applied. Returns false if this process
    /// has no such attempt in flight.
    pub fn apply_update(&self, update: JobUpdate) -> bool {
        let forward = {
            let mut in_flight = self.in_flight.borrow_mut();
            in_flight.get_mut(&update.id).filter(|o| *o.forward.target_name == *update.from).map(|o| {
                o.worker_reported = true;
                o.forward.clone()
            })
        };
        let Some(forward) = forward else { return false };
        self.counts.borrow_mut().taken += 1;
        let forward_id = forward.id;
        let end = match update.state.as_str() {
            "started" => {
                self.flows.job_started(forward_id);
                return true;
            }
            "running" => {
                self.flows.job_progress(forward_id, update.share.unwrap_or(0.0));
                return true;
            }
            "done" => Outcome::Served,
            "failed" => Outcome::Fault,
            "returned" => Outcome::NoRoom,
            "lost" => Outcome::Cut,
            _ => return true,
        };
        let lease = update.lease;
        let result = update.result.map(|result| {
            let text = match result {
                serde_json::Value::String(text) => text,
                other => other.to_string(),
            };
            match lease {
                Some(lease) => with_leases(text, lease),
                None => Bytes::from(text),
            }
        });
        let load = update.load.as_ref().and_then(|l| load::from_object(l.as_object()?));
        if end != Outcome::Served && self.must_wait_for_cancel(&forward, end, load) {
            return true;
        }
        self.end_forward(&update.id, forward_id, end, result, load);
        true
    }

    /// Whether a reported failure has to wait until the worker has confirmed the cancellation. This is the case
    /// if the cancellation has already been sent, since it could hit the next attempt at that worker, or if the
    /// report may be a repeated one about an earlier attempt there.
    fn must_wait_for_cancel(&self, forward: &Forward, end: Outcome, load: Option<Load>) -> bool {
        let mut in_flight = self.in_flight.borrow_mut();
        let own = in_flight.get_mut(&forward.job.reference).filter(|o| o.forward.id == forward.id);
        let Some(own) = own else { return false };
        // An attempt that may still be running cannot be reported as never run.
        let end = if forward.repeats_target && end == Outcome::NoRoom { Outcome::Fault } else { end };
        let cancel_sent = own.cancel_gate.as_ref().map(|gate| gate.may_have_written());
        own.reported_outcome = Some((end, load));
        if forward.repeats_target && cancel_sent.is_none() {
            let (this, forward) = (self.clone(), forward.clone());
            // This task is not cancelled; it ends when the worker confirms, or at the deadline.
            actix_rt::spawn(async move { this.cancel_and_end(&forward, None, end).await });
        }
        forward.repeats_target || cancel_sent == Some(true)
    }

    /// Ends a forward here and in the core, unless it has already ended.
    fn end_forward(
        &self,
        reference: &str,
        forward_id: ForwardId,
        outcome: Outcome,
        result: Option<Bytes>,
        load: Option<Load>,
    ) {
        {
            let mut in_flight = self.in_flight.borrow_mut();
            if in_flight.get(reference).is_some_and(|o| o.forward.id == forward_id) {
                in_flight.remove(reference);
            }
        }
        self.flows.forward_ended_with_load(forward_id, outcome, result, load);
    }

    /// Accesses the state of a forward, if it is in flight.
    fn with_in_flight<R>(&self, forward: &Forward, read: impl FnOnce(&mut InFlight) -> R) -> Option<R> {
        let mut in_flight = self.in_flight.borrow_mut();
        in_flight.get_mut(&forward.job.reference).filter(|o| o.forward.id == forward.id).map(read)
    }

    fn worker_has_reported(&self, forward: &Forward) -> bool {
        self.with_in_flight(forward, |in_flight| in_flight.worker_reported) == Some(true)
    }

    /// Cancels a forward at its worker and ends it, with the outcome that the worker reports meanwhile or else
    /// `default_outcome`.
    async fn cancel_and_end(&self, forward: &Forward, closed_at: Option<Instant>, default_outcome: Outcome) {
        self.cancel_at_worker(forward, closed_at).await;
        let reported_outcome =
            self.with_in_flight(forward, |in_flight| in_flight.reported_outcome.take()).flatten();
        let (outcome, load) = reported_outcome.unwrap_or((default_outcome, None));
        self.end_forward(&forward.job.reference, forward.id, outcome, None, load);
    }

    /// Cancels a job at its worker and retries until the worker has confirmed. `closed_at`: when the connection
    /// was closed before the 202, which also cancels the job once the worker notices it.
    async fn cancel_at_worker(&self, forward: &Forward, closed_at: Option<Instant>) {
        let path = format!("/jobs/{}", forward.job.reference);
        let time_limit = self.connect_timeout + CANCEL_ANSWER_TIMEOUT;
        let mut timeouts = 0;
        // After the 202 an unreachable worker keeps the job until it receives the cancellation. Giving up
        // earlier could leave a second copy running.
        loop {
            let (this, copy) = (self.clone(), forward.clone());
            // If the worker reports the end of the job meanwhile, no cancellation is sent: it would hit the
            // next attempt there.
            let gate = Gate::new(move || {
                this.with_in_flight(&copy, |in_flight| !in_flight.is_finished()) == Some(true)
            });
            let finished = self.with_in_flight(forward, |in_flight| {
                in_flight.cancel_gate = Some(gate.clone());
                in_flight.is_finished()
            });
            if finished != Some(false) {
                break;
            }
            let (addr, body) = (forward.addr, Bytes::new());
            let call = Call { method: Method::DELETE, addr, path: &path, headers: &[], body };
            match self.client.call_gated(&gate, call, (time_limit, time_limit)).await {
                Ok(_) | Err(CallError::NotPermitted) => break,
                // The process is dead, or it is alive and at its connection limit. Only a worker that is no
                // longer listed is given up, since the job may still run and a second copy must not be started.
                // Jobs of a dead process are reported as lost.
                Err(CallError::Refused)
                    if closed_at.is_none() && !self.flows.is_listed(&forward.target_name) =>
                {
                    break
                }
                Err(CallError::Timeout) => {
                    timeouts += 1;
                    if timeouts >= MAX_CANCEL_TIMEOUTS {
                        break;
                    }
                    continue;
                }
                // A connection may also be reset while it is being established, because the worker has not yet
                // noticed the end of the previous one.
                Err(CallError::NoConnection(_) | CallError::Refused)
                    if closed_at.is_some_and(|at| at.elapsed() >= self.connect_timeout) =>
                {
                    break
                }
                // This may have been an idle connection that the worker had closed: try again.
                Err(_) => {}
            }
            if Instant::now() >= forward.deadline {
                break;
            }
            tokio::time::sleep(CANCEL_RETRY_DELAY).await;
        }
    }

    /// The gate requests the permit right before the first byte, and audits the write right after it.
    fn gate(&self, forward: &Forward) -> Rc<Gate> {
        let (flows, sending) = (self.flows.clone(), forward.clone());
        let (audit, sent) = (self.flows.clone(), forward.clone());
        Gate::for_attempt(
            move |budget_sent| flows.send_permit(&sending, budget_sent),
            move |budget_sent| audit.first_byte_written(&sent, budget_sent),
        )
    }

    /// The remaining time that is stated to the worker. It is computed before the connection exists but arrives
    /// once it is established, so the connect time-out is subtracted: the worker must not be told more time
    /// than the client still waits. If little time is left, half of it is stated, so that the worker has some.
    fn worker_budget(&self, left: Duration) -> Duration {
        left.saturating_sub(self.connect_timeout).max(left / 2)
    }

    async fn post(&self, forward: &Forward, gate: &Rc<Gate>) {
        let AttemptMessage { reference, idempotency_key, path, body, time_left, protocol_data: _ } =
            forward.message(Instant::now());
        if self.flows.send_permit(forward, None).is_err() {
            // For example, the worker has begun to drain since the decision; no connection is opened for it.
            return self.end_forward(reference, forward.id, Outcome::Moot, None, None);
        }
        let budget = self.worker_budget(time_left);
        gate.set_budget_sent(budget);
        let budget = budget.as_millis().to_string();
        let mut headers = vec![
            ("X-Call-Id", reference),
            ("X-Budget-Ms", &budget),
            (header::CONTENT_TYPE.as_str(), "application/octet-stream"),
        ];
        headers.extend(idempotency_key.map(|key| ("Idempotency-Key", key)));
        let (addr, body) = (forward.addr, body.whole());
        let call = Call { method: Method::POST, addr, path, headers: &headers, body };
        let answer = self.client.call_gated(gate, call, (ACCEPT_TIMEOUT, time_left)).await;
        let load = answer.as_ref().ok().and_then(|answer| answer.load);
        let outcome = match answer {
            Ok(HttpAnswer { status: 202, .. }) => return,
            // The answer may be a repeated answer to the previous request; the worker then has this job.
            Ok(_) if gate.follows_recent_answer() => {
                return self.cancel_and_end(forward, None, Outcome::Fault).await
            }
            Ok(HttpAnswer { status: 503 | 504, rejected: true, .. }) => Outcome::NoRoom,
            Ok(_) => Outcome::Fault,
            Err(CallError::Refused | CallError::NoConnection(_) | CallError::Unsent) => Outcome::NoRoute,
            Err(CallError::Broken(_)) => Outcome::Cut,
            Err(CallError::Busy | CallError::NotPermitted | CallError::Stale) => Outcome::Moot,
            Err(CallError::Local(_)) => {
                // If this task is dropped here, nothing was sent, and the gate reports that.
                tokio::time::sleep(LOCAL_FAULT_RETRY_DELAY).await;
                Outcome::Moot
            }
            Err(CallError::Timeout) if Instant::now() >= forward.deadline => Outcome::TimedOut,
            // The connection is silent and the worker may have the job. If it has sent an update, the forward
            // continues; otherwise it is cancelled before the next attempt may be sent.
            Err(CallError::Timeout) if self.worker_has_reported(forward) => return,
            Err(CallError::Timeout) => {
                return self.cancel_and_end(forward, Some(Instant::now()), Outcome::Cut).await;
            }
        };
        self.end_forward(reference, forward.id, outcome, None, load);
    }
}

impl Target for HttpTargets {
    fn forward(&self, _permit: RetryPermit, forward: Forward) {
        let (this, copy, gate) = (self.clone(), forward.clone(), self.gate(&forward));
        let own = gate.clone();
        let task = actix_rt::spawn(async move { this.post(&copy, &own).await });
        let reference = forward.job.reference.clone();
        let in_flight = InFlight {
            forward,
            task: Some(task),
            gate,
            worker_reported: false,
            cancel_gate: None,
            reported_outcome: None,
        };
        self.in_flight.borrow_mut().insert(reference, in_flight);
    }

    fn cancel(&self, forward: Forward) {
        let own = self.with_in_flight(&forward, |in_flight| (in_flight.task.take(), in_flight.gate.clone()));
        let (task, gate) = own.map_or((None, None), |(task, gate)| (task, Some(gate)));
        let this = self.clone();
        actix_rt::spawn(async move {
            // Before the 202, closing the connection cancels the job. The next attempt may be sent only when
            // the worker knows of the cancellation; otherwise two copies would run.
            let mut closed_at = None;
            if let Some(task) = task {
                let posting = !task.is_finished();
                task.abort();
                let _ = task.await;
                closed_at = posting.then(Instant::now);
                if posting && gate.is_some_and(|gate| !gate.may_have_written()) {
                    // Nothing was sent and nothing will be: there is nothing to cancel, and the job certainly
                    // never ran.
                    return this.end_forward(&forward.job.reference, forward.id, Outcome::Moot, None, None);
                }
            }
            this.cancel_and_end(&forward, closed_at, Outcome::Cancelled).await;
        });
    }

    fn probe(&self, target: TargetId, addr: SocketAddr, operation: Option<FencedOperation>) {
        let this = self.clone();
        actix_rt::spawn(async move {
            let path = if this.load_reports { "/metrics/load" } else { "/alive" };
            let call = loop {
                let call = match &operation {
                    None => this.client.probe(addr, path).await,
                    Some(operation) => {
                        match this.client.health_check(addr, path, operation).await.transpose() {
                            None => return this.flows.probe_not_permitted(target),
                            Some(call) => call,
                        }
                    }
                };
                // A probe that failed for a local reason says nothing about the worker; it is retried.
                let Err(CallError::Local(_)) = call else { break call };
                tokio::time::sleep(PROBE_RETRY_DELAY).await;
            };
            let load = call.as_ref().ok().and_then(|(_, body)| load::from_body(body));
            let outcome = match call {
                Ok((200, _)) => Outcome::Served,
                Ok((503, _)) => Outcome::NoRoom,
                Ok(_) => Outcome::Fault,
                Err(CallError::Refused | CallError::NoConnection(_)) => Outcome::NoRoute,
                Err(CallError::Timeout | CallError::Busy) => Outcome::TimedOut,
                Err(_) => Outcome::Cut,
            };
            if outcome != Outcome::Served {
                debug!(target = %addr, outcome = ?outcome, "probe failed");
            }
            this.flows.probe_ended(target, outcome, load);
        });
    }
}
