//! Collects the facts for permits, and for the audit after each first byte. `lineroute_permit` alone decides
//! what is permitted.

use super::contract::{Forward, ForwardId, ShutdownTimes};
use super::core::Core;
use super::permit_stats::PermitStatsReport;
use super::Flows;
use crate::facade::{DispatchEvent, FlowId, Stage};
use crate::list::monitor::ListReport;
use lineroute_control::list_status::ListState;
use lineroute_permit::audit::SendAudit;
use lineroute_permit::{
    AttemptState, ClientState, CloseFacts, ClosePermit, DelayedStartFacts, ListValidity, OperatorState,
    SendFacts, SendPermit, SendRefusal, StartFacts, StartPermit, StartRefusal, Violation, WorkerFacts,
    WorkerStage,
};
use std::time::{Duration, Instant};
use tracing::debug;

fn worker_stage(stage: Stage) -> WorkerStage {
    match stage {
        Stage::Ready => WorkerStage::Ready,
        Stage::Draining => WorkerStage::Draining,
        Stage::Gone => WorkerStage::Gone,
    }
}

fn list_validity(state: ListState) -> ListValidity {
    match state {
        ListState::Unconfirmed => ListValidity::Unconfirmed,
        ListState::Expired => ListValidity::Expired,
        ListState::Confirmed | ListState::Watched | ListState::Unreachable | ListState::TurnedAway => {
            ListValidity::Valid
        }
    }
}

impl Core {
    fn send_facts(&self, forward: &Forward, passed_on: Option<Duration>, now: Instant) -> SendFacts {
        let flow = self.flows.get(&forward.id.flow);
        let in_flight = flow.and_then(|f| f.in_flight.as_ref());
        let is_in_flight = in_flight.is_some_and(|o| o.forward.id == forward.id && !o.cancelling);
        let client_waits = flow.is_some_and(|f| f.listener.is_some());
        let stage = self.targets.get(&forward.target).map(|known| worker_stage(known.stage));
        SendFacts {
            now,
            list: list_validity(self.list.state()),
            worker: WorkerFacts {
                stage,
                stage_when_decided: worker_stage(forward.stage),
                operator_state: match self.out_of_service.contains_key(&forward.target) {
                    true => OperatorState::OutOfService,
                    false => OperatorState::InService,
                },
            },
            attempt: if is_in_flight { AttemptState::InFlight } else { AttemptState::Ended },
            client: if client_waits { ClientState::Waiting } else { ClientState::Gone },
            deadline: forward.deadline,
            repeat_until: forward.start_by,
            passed_on,
        }
    }

    /// The flows whose delay ends too late for a process that stops at these times.
    pub(super) fn late_starts(&mut self, times: ShutdownTimes) -> Vec<FlowId> {
        let ShutdownTimes { accepts_until, answers_by } = times;
        let mut late = Vec::new();
        for &(begins_at, id) in &self.delayed {
            let Some(flow) = self.flows.get(&id) else { continue };
            let facts = DelayedStartFacts { begins_at, deadline: flow.deadline, accepts_until, answers_by };
            if self.permit_stats.record_start(&flow.job.reference, facts.permit()).is_err() {
                late.push(id);
            }
        }
        late
    }

    fn audit(&self, forward: &Forward, passed_on: Option<Duration>, now: Instant) -> SendAudit {
        let flow = self.flows.get(&forward.id.flow);
        let unready = self.targets.get(&forward.target).and_then(|known| known.unready_since);
        SendAudit {
            now,
            list_valid: self.list.was_recently_valid(),
            not_ready_since: unready.zip(self.bounds.drain_grace),
            out_of_service: self.out_of_service.get(&forward.target).copied(),
            client_gone: flow.and_then(|f| f.client_left_at),
            deadline: forward.deadline,
            repeat_until: forward.start_by,
            passed_on,
            attempts_in_flight: usize::from(flow.is_some_and(|f| f.in_flight.is_some())),
        }
    }
}

impl Flows {
    /// Requests the permit for a forward's first byte, based on the current state. Must be called in the same
    /// step as the write. `passed_on` is the remaining time that the request states to the worker.
    pub fn send_permit(
        &self,
        forward: &Forward,
        passed_on: Option<Duration>,
    ) -> Result<SendPermit, SendRefusal> {
        // Overrides that operators sent to another process of this dispatcher apply here too.
        self.refresh_operator_state();
        let permit = {
            let core = &mut *self.core.borrow_mut();
            let permit = core.send_facts(forward, passed_on, Instant::now()).permit();
            core.permit_stats.record_send(forward.id, &forward.target_name, permit)
        };
        if matches!(permit, Err(SendRefusal::ListUnconfirmed | SendRefusal::ListExpired)) {
            // The decision module has to learn that the list is invalid before it handles this refusal as an
            // outcome.
            self.update_list_validity();
        }
        permit
    }

    /// Tells the decision module whether the list is valid, if that has changed. While it is not, nothing is
    /// sent and requests wait.
    pub fn update_list_validity(&self) {
        let effects = {
            let core = &mut *self.core.borrow_mut();
            let valid = core.list.state().is_valid();
            if std::mem::replace(&mut core.list_valid_reported, valid) == valid {
                return;
            }
            let decisions = core.facade.report(DispatchEvent::ListValid(valid));
            core.effects(decisions, &self.watch_requested)
        };
        self.apply_effects(effects);
    }

    /// The first byte of a forward was written: audits whether that was permitted.
    pub fn first_byte_written(&self, forward: &Forward, passed_on: Option<Duration>) {
        let core = &mut *self.core.borrow_mut();
        core.permit_stats.record_sent(core.list.was_recently_valid());
        let in_flight = core.flows.get_mut(&forward.id.flow).and_then(|flow| flow.in_flight.as_mut());
        if let Some(in_flight) = in_flight.filter(|in_flight| in_flight.forward.id == forward.id) {
            in_flight.first_byte_written = true;
        }
        let ForwardId { flow, number } = forward.id;
        let list = core.list.report();
        debug!(flow = flow.0, forward = number, target = %forward.target_name, list = %list.state,
            version = list.version, confirmed_ms_ago = list.confirmed_ago.map(|ago| ago.as_millis() as u64),
            "forward sent");
        let violations: Vec<Violation> =
            core.audit(forward, passed_on, Instant::now()).violations().collect();
        for violation in violations {
            core.permit_stats.record_violation(Some(forward.id), Some(&forward.target_name), violation);
        }
    }

    /// Requests the permit to accept a job.
    pub fn start_permit(&self, reference: &str, facts: StartFacts) -> Result<StartPermit, StartRefusal> {
        self.core.borrow_mut().permit_stats.record_start(reference, facts.permit())
    }

    /// Requests the permit to close a client's connection. `None`: it has to stay open.
    pub fn close_permit(&self, facts: CloseFacts) -> Option<ClosePermit> {
        self.core.borrow_mut().permit_stats.record_close(facts.permit()).ok()
    }

    /// A connection was closed although its client had not been answered.
    pub fn closed_with_answer_pending(&self) {
        self.core.borrow_mut().permit_stats.record_violation(None, None, Violation::AnswerOwed);
    }

    /// The state of the worker list, for operators.
    pub fn list_report(&self) -> ListReport {
        self.core.borrow().list.report()
    }

    /// Refused permits and violated rules, for operators.
    pub fn permit_stats(&self) -> PermitStatsReport {
        self.core.borrow().permit_stats.report()
    }
}
