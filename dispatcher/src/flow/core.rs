//! The state behind [`super::Flows`]: open flows, their deadlines and what is out. Every change comes here, and what it
//! makes necessary outside goes back as effects.

use super::contract::{Answer, Bounds, Endpoint, Forward, ForwardId, Job, Listener};
use super::permit_stats::PermitStats;
use super::OVERDUE;
use crate::facade::{Ask, Decision, Facade, FlowId, Load, News, Outcome, Stage, TargetId};
use crate::list::monitor::ListMonitor;
use bytes::Bytes;
use lineroute_permit::{EarlierAttempts, RetryFacts, RetryPermit};
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tracing::{debug, error, warn};

pub(super) struct Flow {
    pub(super) job: Rc<Job>,
    pub(super) listener: Option<Box<dyn Listener>>,
    /// It has not been placed yet.
    pub(super) ask: Option<Ask>,
    pub(super) until: Instant,
    pub(super) out: Option<Out>,
    /// See `Forward::start_by`.
    pub(super) start_by: Option<Instant>,
    /// Where forwards of it have ended, and whether one of them may have run.
    pub(super) before: Vec<TargetId>,
    pub(super) may_have_run: bool,
    /// When its client left.
    pub(super) left_at: Option<Instant>,
    /// The answer passes: the flow is bound to the forward that is out. How long its head took.
    pub(super) bound: Option<Duration>,
}

pub(super) struct Out {
    pub(super) forward: Forward,
    pub(super) sent: Instant,
    pub(super) cancelling: bool,
    /// Its first byte was written.
    pub(super) written: bool,
}

#[derive(Clone)]
pub(super) struct Known {
    pub(super) name: Rc<str>,
    pub(super) place: Endpoint,
    pub(super) stage: Stage,
    /// Since when the list says that it drains or is gone.
    pub(super) unready_since: Option<Instant>,
    pub(super) zone: Rc<str>,
    pub(super) kind: Rc<str>,
}

/// Done after the borrow of the core has ended.
pub(super) enum Effect {
    Answer(Box<dyn Listener>, Answer),
    Forward(RetryPermit, Forward),
    Cancel(Forward),
    Probe(TargetId),
    Closed(TargetId, usize),
    /// A forward that can't be made, or must not be.
    NotMade(ForwardId, Outcome),
    ProbeFailed(TargetId),
}

pub(super) struct Core {
    pub(super) facade: Facade,
    pub(super) flows: FxHashMap<FlowId, Flow>,
    pub(super) references: FxHashSet<String>,
    pub(super) deadlines: BTreeSet<(Instant, FlowId)>,
    pub(super) targets: FxHashMap<TargetId, Known>,
    /// Forwards that are out at each target, and what the observer is to be told of them.
    pub(super) out: FxHashMap<TargetId, usize>,
    pub(super) changed: Vec<(TargetId, Option<usize>)>,
    pub(super) next: u64,
    pub(super) bytes: usize,
    /// Answers that broke off after their head had gone to the client.
    pub(super) cut_short: u64,
    pub(super) bounds: Bounds,
    pub(super) list: Rc<ListMonitor>,
    /// Whether the module takes the list for valid.
    pub(super) list_heeded: bool,
    pub(super) permit_stats: PermitStats,
    /// Workers that operators have taken out, and since when this process knows.
    pub(super) out_of_service: FxHashMap<TargetId, Instant>,
}

impl Core {
    pub(super) fn is_out(&self, ticket: ForwardId) -> bool {
        let out = self.flows.get(&ticket.flow).and_then(|f| f.out.as_ref());
        out.is_some_and(|o| o.forward.ticket == ticket)
    }

    /// Turns decisions into effects, and keeps the table of flows in step.
    pub(super) fn effects(&mut self, decisions: Vec<Decision>, watch: &Notify) -> Vec<Effect> {
        let mut effects = Vec::new();
        for decision in decisions {
            match decision {
                Decision::Forward { flow, number, target } => {
                    effects.extend(self.forward(ForwardId { flow, number }, target));
                }
                Decision::Wait(_) => {}
                Decision::FixedResponse { flow: id, retry_after } => {
                    let answer = retry_after.map_or(Answer::Failed, Answer::Refused);
                    if let Some(listener) = self.flows.get_mut(&id).and_then(|f| f.listener.take()) {
                        effects.push(Effect::Answer(listener, answer));
                    }
                    // An attempt that outlives its flow serves nobody.
                    effects.extend(self.cancel(id));
                    self.drop_if_over(id);
                }
                Decision::Cancel { flow, number } => {
                    if self.is_out(ForwardId { flow, number }) {
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

    pub(super) fn forward(&mut self, ticket: ForwardId, target: TargetId) -> Option<Effect> {
        let known = self.targets.get(&target).cloned();
        let flow = self.flows.get_mut(&ticket.flow)?;
        // Whatever was decided.
        let facts = RetryFacts {
            now: Instant::now(),
            effect: self.facade.side_effect(flow.job.class),
            earlier: match flow.may_have_run {
                true => EarlierAttempts::MayHaveRun { repeat_until: flow.start_by },
                false => EarlierAttempts::NeverRan,
            },
            is_out: flow.out.is_some(),
        };
        let permit = self.permit_stats.retry(ticket, facts.permit());
        if flow.out.is_some() {
            return None;
        }
        let is_known = known.is_some();
        let known = known.unwrap_or_else(|| Known {
            name: "?".into(),
            place: Endpoint { addr: ([127, 0, 0, 1], 0).into(), transport: 0 },
            stage: Stage::Gone,
            unready_since: None,
            zone: "".into(),
            kind: "".into(),
        });
        let forward = Forward {
            ticket,
            target,
            target_name: known.name,
            addr: known.place.addr,
            transport: known.place.transport,
            stage: known.stage,
            job: flow.job.clone(),
            deadline: flow.until,
            start_by: flow.start_by,
            repeats_target: flow.before.contains(&target),
        };
        flow.out =
            Some(Out { forward: forward.clone(), sent: Instant::now(), cancelling: false, written: false });
        let out = self.out.entry(target).or_default();
        *out += 1;
        self.changed.push((target, Some(*out)));
        Some(match permit {
            Ok(permit) if is_known => Effect::Forward(permit, forward),
            Ok(_) => Effect::NotMade(ticket, Outcome::NoRoute),
            Err(_) => Effect::NotMade(ticket, Outcome::Moot),
        })
    }

    pub(super) fn cancel(&mut self, id: FlowId) -> Option<Effect> {
        let out = self.flows.get_mut(&id)?.out.as_mut().filter(|o| !o.cancelling)?;
        out.cancelling = true;
        Some(Effect::Cancel(out.forward.clone()))
    }

    pub(super) fn ended(
        &mut self,
        ticket: ForwardId,
        outcome: Outcome,
        result: Option<Bytes>,
        load: Option<Load>,
        watch: &Notify,
    ) -> Vec<Effect> {
        if !self.is_out(ticket) {
            return Vec::new();
        }
        let Some(flow) = self.flows.get_mut(&ticket.flow) else { return Vec::new() };
        let Some(out) = flow.out.take() else { return Vec::new() };
        flow.before.push(out.forward.target);
        flow.may_have_run |= !self.facade.never_ran(outcome);
        let again_until = self.facade.again_until(flow.job.class, out.sent, outcome);
        flow.start_by = flow.start_by.or(again_until);
        let left = self.out.entry(out.forward.target).or_default();
        *left = left.saturating_sub(1);
        self.changed.push((out.forward.target, Some(*left)));
        if *left == 0 {
            self.out.remove(&out.forward.target);
        }
        if matches!(outcome, Outcome::NoRoom | Outcome::NoRoute | Outcome::Fault) {
            self.changed.push((out.forward.target, None));
        }
        let mut effects = Vec::new();
        let repeatable = flow.job.body.can_repeat();
        if let Some(listener) = flow.listener.take_if(|_| outcome == Outcome::Served) {
            effects.push(Effect::Answer(listener, Answer::Served(result.unwrap_or_default())));
        }
        let over = flow.listener.is_none();
        // A body whose beginning is gone can't be sent again: the flow ends here, whatever its class.
        if let Some(listener) = flow.listener.take_if(|_| !repeatable) {
            effects.push(Effect::Answer(listener, Answer::Failed));
        }
        let over = over || flow.listener.is_none();
        // A slow client must not make its target look slow.
        let (number, spent) = (ticket.number, flow.bound.unwrap_or_else(|| out.sent.elapsed()));
        debug!(flow = ticket.flow.0, forward = number, target = %out.forward.target_name, class = flow.job.class,
            outcome = ?outcome, spent_ms = spent.as_millis() as u64, "forward ended");
        if flow.bound.is_some() && outcome != Outcome::Served {
            self.cut_short += 1;
            warn!(flow = ticket.flow.0, target = %out.forward.target_name, class = flow.job.class,
                outcome = ?outcome, "an answer was cut short");
        }
        let news = News::Ended { flow: ticket.flow, number, outcome, over, spent, load };
        let decisions = self.facade.report(news);
        effects.extend(self.effects(decisions, watch));
        self.drop_if_over(ticket.flow);
        effects
    }

    /// The deadline of a flow has come: its forward timed out, and then the module answers it. What it left
    /// unanswered is answered here: the client must not wait for a decision that does not come.
    pub(super) fn overdue(&mut self, id: FlowId, now: Instant, watch: &Notify) -> Vec<Effect> {
        let Some(flow) = self.flows.get(&id) else { return Vec::new() };
        // The deadline is one for the head of an answer. What passes after it has limits of its own.
        if flow.bound.is_some() {
            return Vec::new();
        }
        let mut effects = Vec::new();
        // One that still waits for a picture, since its time was short: its answer is decided like any other's.
        if let Some(ask) = self.flows.get_mut(&id).and_then(|f| f.ask.take()) {
            let decisions = self.facade.pick(id, ask);
            effects.extend(self.effects(decisions, watch));
        }
        let Some(flow) = self.flows.get(&id) else { return effects };
        if let Some(out) = &flow.out {
            let ticket = out.forward.ticket;
            effects.extend(self.cancel(id));
            effects.extend(self.ended(ticket, Outcome::TimedOut, None, None, watch));
        }
        let Some(flow) = self.flows.get_mut(&id) else { return effects };
        if now < flow.until + OVERDUE {
            self.deadlines.insert((flow.until + OVERDUE, id));
        } else if let Some(listener) = flow.listener.take() {
            error!(flow = id.0, class = flow.job.class, "unanswered at its deadline");
            effects.push(Effect::Answer(listener, Answer::Failed));
            let decisions = self.facade.report(News::Left(id));
            effects.extend(self.effects(decisions, watch));
            self.drop_if_over(id);
        }
        effects
    }

    /// Answers a flow that this process can wait for no longer: as refused where nothing of it was ever sent, else as failed.
    /// What is out for it is given up.
    pub(super) fn give_up(&mut self, id: FlowId, retry_after: Duration, watch: &Notify) -> Vec<Effect> {
        let Some(flow) = self.flows.get_mut(&id) else { return Vec::new() };
        let Some(listener) = flow.listener.take() else { return Vec::new() };
        let may_have_run = flow.may_have_run || flow.out.as_ref().is_some_and(|out| out.written);
        let answer = if may_have_run { Answer::Failed } else { Answer::Refused(retry_after) };
        let mut effects = vec![Effect::Answer(listener, answer)];
        let decisions = self.facade.report(News::Left(id));
        effects.extend(self.effects(decisions, watch));
        effects.extend(self.cancel(id));
        self.drop_if_over(id);
        effects
    }

    pub(super) fn drop_if_over(&mut self, id: FlowId) {
        let over = self.flows.get(&id).is_some_and(|f| f.listener.is_none() && f.out.is_none());
        if let Some(flow) = over.then(|| self.flows.remove(&id)).flatten() {
            self.references.remove(&flow.job.reference);
            self.bytes -= flow.job.body.len();
            self.deadlines.remove(&(flow.until, id));
            self.deadlines.remove(&(flow.until + OVERDUE, id));
            self.facade.forget(id);
        }
    }
}
