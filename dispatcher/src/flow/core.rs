//! The state behind [`super::Flows`]: open flows, their deadlines and the forwards in flight. Every state
//! change happens here and returns the effects that have to be carried out.

use super::contract::{Answer, Bounds, Endpoint, Forward, ForwardId, Job, Listener, OpenError};
use super::permit_stats::PermitStats;
use super::DEADLINE_FALLBACK_DELAY;
use crate::facade::{Decision, DispatchEvent, Facade, FlowId, FlowRequest, Load, Outcome, Stage, TargetId};
use crate::list::monitor::ListMonitor;
use crate::siblings::reference_locks::{LockError, ReferenceLock, ReferenceLocks};
use bytes::Bytes;
use lineroute_permit::{EarlierAttempts, RetryFacts, RetryPermit};
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tracing::{debug, error, warn};

/// `Retry-After` of a delayed flow that exceeds the bounds when its delay ends.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

pub(super) struct Flow {
    pub(super) job: Rc<Job>,
    pub(super) listener: Option<Box<dyn Listener>>,
    /// The request for a decision, until it has been made.
    pub(super) ask: Option<FlowRequest>,
    pub(super) deadline: Instant,
    /// When the delay of the flow ends; `None` once it has ended. Until then the flow does not count against [`Bounds`].
    pub(super) begins_at: Option<Instant>,
    pub(super) in_flight: Option<InFlight>,
    pub(super) start_by: Option<Instant>,
    /// Targets at which forwards of this flow have ended, and whether any of those forwards may have run.
    pub(super) tried_targets: Vec<TargetId>,
    pub(super) may_have_run: bool,
    pub(super) client_left_at: Option<Instant>,
    /// Set once the answer is being streamed, which ties the flow to the forward in flight: the time until its
    /// head arrived.
    pub(super) head_latency: Option<Duration>,
    /// Keeps the reference from being opened in another process until the flow is removed.
    pub(super) _reference_lock: Option<ReferenceLock>,
}

pub(super) struct InFlight {
    pub(super) forward: Forward,
    pub(super) sent: Instant,
    pub(super) cancelling: bool,
    pub(super) first_byte_written: bool,
}

#[derive(Clone)]
pub(super) struct KnownTarget {
    pub(super) name: Rc<str>,
    pub(super) endpoint: Endpoint,
    pub(super) stage: Stage,
    /// Since when the list marks the worker as draining or gone.
    pub(super) unready_since: Option<Instant>,
    pub(super) zone: Rc<str>,
    pub(super) kind: Rc<str>,
}

/// Carried out after the borrow of the core has ended.
pub(super) enum Effect {
    Answer(Box<dyn Listener>, Answer),
    Forward(RetryPermit, Forward),
    Cancel(Forward),
    Probe(TargetId),
    TargetClosed(TargetId, usize),
    /// A forward that could not be sent or was not permitted.
    ForwardNotSent(ForwardId, Outcome),
    ProbeFailed(TargetId),
}

pub(super) struct Core {
    pub(super) facade: Facade,
    pub(super) flows: FxHashMap<FlowId, Flow>,
    pub(super) references: FxHashSet<String>,
    /// Set if other processes of this dispatcher may accept requests.
    pub(super) reference_locks: Option<Rc<ReferenceLocks>>,
    pub(super) deadlines: BTreeSet<(Instant, FlowId)>,
    /// Flows that wait for the end of their delay.
    pub(super) delayed: BTreeSet<(Instant, FlowId)>,
    pub(super) targets: FxHashMap<TargetId, KnownTarget>,
    /// The number of forwards in flight at each target, and the changes that the observer has not been notified
    /// of yet.
    pub(super) in_flight_counts: FxHashMap<TargetId, usize>,
    pub(super) in_flight_changes: Vec<(TargetId, Option<usize>)>,
    pub(super) last_flow_id: u64,
    pub(super) body_bytes: usize,
    /// Answers that were truncated after their head had been sent to the client.
    pub(super) cut_short: u64,
    pub(super) bounds: Bounds,
    pub(super) list: Rc<ListMonitor>,
    /// The list validity that the decision module was last told.
    pub(super) list_valid_reported: bool,
    pub(super) permit_stats: PermitStats,
    /// Workers that operators have taken out of service, and since when this process knows it.
    pub(super) out_of_service: FxHashMap<TargetId, Instant>,
}

impl Core {
    pub(super) fn is_in_flight(&self, forward_id: ForwardId) -> bool {
        let in_flight = self.flows.get(&forward_id.flow).and_then(|f| f.in_flight.as_ref());
        in_flight.is_some_and(|o| o.forward.id == forward_id)
    }

    /// Whether a flow with a body of `size` bytes may begin without exceeding the bounds.
    pub(super) fn has_room(&self, size: usize) -> bool {
        let begun = self.flows.len() - self.delayed.len();
        begun < self.bounds.flows && self.body_bytes + size <= self.bounds.bytes
    }

    /// Makes a reference that of an open flow, unless it already is, in this process or in another one.
    pub(super) fn claim_reference(&mut self, reference: &str) -> Result<Option<ReferenceLock>, OpenError> {
        if self.references.contains(reference) {
            return Err(OpenError::Duplicate);
        }
        let lock = match self.reference_locks.as_ref().map(|locks| locks.lock(reference)).transpose() {
            Ok(lock) => lock,
            Err(LockError::Held) => return Err(OpenError::Duplicate),
            Err(error @ LockError::Unavailable(_)) => {
                warn!(reference, error = %error, "flow not opened");
                return Err(OpenError::ReferenceUnverified);
            }
        };
        self.references.insert(reference.to_owned());
        Ok(lock)
    }

    /// Begins the flows whose delay is over. Returns those that have to be dispatched, and the effects of refusing the others,
    /// which exceed the bounds.
    pub(super) fn begin_due(&mut self, now: Instant, watch: &Notify) -> (Vec<FlowId>, Vec<Effect>) {
        let (mut begun, mut effects) = (Vec::new(), Vec::new());
        while let Some(&(at, id)) = self.delayed.first().filter(|(at, _)| *at <= now) {
            let size = self.flows.get(&id).map_or(0, |flow| flow.job.body.len());
            if !self.has_room(size) {
                effects.extend(self.abort_flow(id, FULL_RETRY_AFTER, watch));
            }
            self.delayed.remove(&(at, id));
            if let Some(flow) = self.flows.get_mut(&id) {
                flow.begins_at = None;
                self.body_bytes += size;
                begun.push(id);
            }
        }
        (begun, effects)
    }

    /// Converts decisions into effects and updates the table of flows accordingly.
    pub(super) fn effects(&mut self, decisions: Vec<Decision>, watch: &Notify) -> Vec<Effect> {
        let mut effects = Vec::new();
        for decision in decisions {
            match decision {
                Decision::Forward { flow, number, target } => {
                    effects.extend(self.start_forward(ForwardId { flow, number }, target));
                }
                Decision::Wait(_) => {}
                Decision::FixedResponse { flow: id, retry_after } => {
                    let answer = retry_after.map_or(Answer::Failed, Answer::Refused);
                    if let Some(listener) = self.flows.get_mut(&id).and_then(|f| f.listener.take()) {
                        effects.push(Effect::Answer(listener, answer));
                    }
                    // Nobody needs the result of a forward once its flow has been answered.
                    effects.extend(self.cancel(id));
                    self.remove_if_finished(id);
                }
                Decision::Cancel { flow, number } => {
                    if self.is_in_flight(ForwardId { flow, number }) {
                        effects.extend(self.cancel(flow));
                    }
                }
                Decision::Probe(target) => effects.push(match self.targets.get(&target) {
                    Some(_) => Effect::Probe(target),
                    None => Effect::ProbeFailed(target),
                }),
                Decision::Watch => watch.notify_one(),
            }
        }
        effects
    }

    pub(super) fn start_forward(&mut self, forward_id: ForwardId, target: TargetId) -> Option<Effect> {
        let known = self.targets.get(&target).cloned();
        let flow = self.flows.get_mut(&forward_id.flow)?;
        // Checked independently of what the decision module decided.
        let facts = RetryFacts {
            now: Instant::now(),
            effect: self.facade.repeat_safety(flow.job.class),
            earlier: match flow.may_have_run {
                true => EarlierAttempts::MayHaveRun { repeat_until: flow.start_by },
                false => EarlierAttempts::NeverRan,
            },
            has_attempt_in_flight: flow.in_flight.is_some(),
        };
        let permit = self.permit_stats.record_retry(forward_id, facts.permit());
        if flow.in_flight.is_some() {
            return None;
        }
        let is_known = known.is_some();
        let known = known.unwrap_or_else(|| KnownTarget {
            name: "?".into(),
            endpoint: Endpoint { addr: ([127, 0, 0, 1], 0).into(), transport: 0 },
            stage: Stage::Gone,
            unready_since: None,
            zone: "".into(),
            kind: "".into(),
        });
        let forward = Forward {
            id: forward_id,
            target,
            target_name: known.name,
            addr: known.endpoint.addr,
            transport: known.endpoint.transport,
            stage: known.stage,
            job: flow.job.clone(),
            deadline: flow.deadline,
            start_by: flow.start_by,
            repeats_target: flow.tried_targets.contains(&target),
        };
        flow.in_flight = Some(InFlight {
            forward: forward.clone(),
            sent: Instant::now(),
            cancelling: false,
            first_byte_written: false,
        });
        let count = self.in_flight_counts.entry(target).or_default();
        *count += 1;
        self.in_flight_changes.push((target, Some(*count)));
        Some(match permit {
            Ok(permit) if is_known => Effect::Forward(permit, forward),
            Ok(_) => Effect::ForwardNotSent(forward_id, Outcome::NoRoute),
            Err(_) => Effect::ForwardNotSent(forward_id, Outcome::Moot),
        })
    }

    pub(super) fn cancel(&mut self, id: FlowId) -> Option<Effect> {
        let in_flight = self.flows.get_mut(&id)?.in_flight.as_mut().filter(|o| !o.cancelling)?;
        in_flight.cancelling = true;
        Some(Effect::Cancel(in_flight.forward.clone()))
    }

    pub(super) fn forward_ended(
        &mut self,
        forward_id: ForwardId,
        outcome: Outcome,
        result: Option<Bytes>,
        load: Option<Load>,
        watch: &Notify,
    ) -> Vec<Effect> {
        if !self.is_in_flight(forward_id) {
            return Vec::new();
        }
        let Some(flow) = self.flows.get_mut(&forward_id.flow) else { return Vec::new() };
        let Some(in_flight) = flow.in_flight.take() else { return Vec::new() };
        flow.tried_targets.push(in_flight.forward.target);
        flow.may_have_run |= !self.facade.never_ran(outcome);
        let again_until = self.facade.repeat_until(flow.job.class, in_flight.sent, outcome);
        flow.start_by = flow.start_by.or(again_until);
        let count = self.in_flight_counts.entry(in_flight.forward.target).or_default();
        *count = count.saturating_sub(1);
        self.in_flight_changes.push((in_flight.forward.target, Some(*count)));
        if *count == 0 {
            self.in_flight_counts.remove(&in_flight.forward.target);
        }
        if matches!(outcome, Outcome::NoRoom | Outcome::NoRoute | Outcome::Fault) {
            self.in_flight_changes.push((in_flight.forward.target, None));
        }
        let mut effects = Vec::new();
        let repeatable = flow.job.body.can_repeat();
        if let Some(listener) = flow.listener.take_if(|_| outcome == Outcome::Served) {
            effects.push(Effect::Answer(listener, Answer::Served(result.unwrap_or_default())));
        }
        let over = flow.listener.is_none();
        // A body whose beginning has been discarded cannot be sent again, so the flow ends here whatever its
        // class.
        if let Some(listener) = flow.listener.take_if(|_| !repeatable) {
            effects.push(Effect::Answer(listener, Answer::Failed));
        }
        let over = over || flow.listener.is_none();
        // For a streamed answer only the time to its head counts: a slow client must not make its target look
        // slow.
        let (number, spent) =
            (forward_id.number, flow.head_latency.unwrap_or_else(|| in_flight.sent.elapsed()));
        debug!(flow = forward_id.flow.0, forward = number, target = %in_flight.forward.target_name,
            class = flow.job.class, outcome = ?outcome, spent_ms = spent.as_millis() as u64, "forward ended");
        if flow.head_latency.is_some() && outcome != Outcome::Served {
            self.cut_short += 1;
            warn!(flow = forward_id.flow.0, target = %in_flight.forward.target_name, class = flow.job.class,
                outcome = ?outcome, "answer truncated after its head was sent");
        }
        let news = DispatchEvent::ForwardEnded { flow: forward_id.flow, number, outcome, over, spent, load };
        let decisions = self.facade.report(news);
        effects.extend(self.effects(decisions, watch));
        self.remove_if_finished(forward_id.flow);
        effects
    }

    /// Handles the deadline of a flow: the forward in flight times out, and the decision module then answers
    /// the flow. A flow that it leaves unanswered is answered here, so that the client does not wait for a
    /// missing decision.
    pub(super) fn deadline_reached(&mut self, id: FlowId, now: Instant, watch: &Notify) -> Vec<Effect> {
        let Some(flow) = self.flows.get(&id) else { return Vec::new() };
        // The deadline applies to the head of an answer. A streamed body has its own time limits.
        if flow.head_latency.is_some() {
            return Vec::new();
        }
        let mut effects = Vec::new();
        // The flow still waits for load reports from peers because little time was left. It is decided like any
        // other flow.
        if let Some(ask) = self.flows.get_mut(&id).and_then(|f| f.ask.take()) {
            let decisions = self.facade.pick(id, ask);
            effects.extend(self.effects(decisions, watch));
        }
        let Some(flow) = self.flows.get(&id) else { return effects };
        if let Some(in_flight) = &flow.in_flight {
            let forward_id = in_flight.forward.id;
            effects.extend(self.cancel(id));
            effects.extend(self.forward_ended(forward_id, Outcome::TimedOut, None, None, watch));
        }
        let Some(flow) = self.flows.get_mut(&id) else { return effects };
        if now < flow.deadline + DEADLINE_FALLBACK_DELAY {
            self.deadlines.insert((flow.deadline + DEADLINE_FALLBACK_DELAY, id));
        } else if let Some(listener) = flow.listener.take() {
            error!(
                flow = id.0,
                class = flow.job.class,
                "flow not answered by the decision module at its deadline"
            );
            effects.push(Effect::Answer(listener, Answer::Failed));
            let decisions = self.facade.report(DispatchEvent::FlowAborted(id));
            effects.extend(self.effects(decisions, watch));
            self.remove_if_finished(id);
        }
        effects
    }

    /// Answers a flow that this process can no longer wait for: as refused if none of its forwards was sent, as
    /// failed otherwise. Cancels the forward in flight.
    pub(super) fn abort_flow(&mut self, id: FlowId, retry_after: Duration, watch: &Notify) -> Vec<Effect> {
        let Some(flow) = self.flows.get_mut(&id) else { return Vec::new() };
        let Some(listener) = flow.listener.take() else { return Vec::new() };
        let may_have_run = flow.may_have_run
            || flow.in_flight.as_ref().is_some_and(|in_flight| in_flight.first_byte_written);
        let answer = if may_have_run { Answer::Failed } else { Answer::Refused(retry_after) };
        let mut effects = vec![Effect::Answer(listener, answer)];
        let decisions = self.facade.report(DispatchEvent::FlowAborted(id));
        effects.extend(self.effects(decisions, watch));
        effects.extend(self.cancel(id));
        self.remove_if_finished(id);
        effects
    }

    pub(super) fn remove_if_finished(&mut self, id: FlowId) {
        let over = self.flows.get(&id).is_some_and(|f| f.listener.is_none() && f.in_flight.is_none());
        if let Some(flow) = over.then(|| self.flows.remove(&id)).flatten() {
            self.references.remove(&flow.job.reference);
            match flow.begins_at {
                Some(at) => drop(self.delayed.remove(&(at, id))),
                None => self.body_bytes -= flow.job.body.len(),
            }
            self.deadlines.remove(&(flow.deadline, id));
            self.deadlines.remove(&(flow.deadline + DEADLINE_FALLBACK_DELAY, id));
            self.facade.forget(id);
        }
    }
}
