//! Counts refused permits and violated rules by reason, and logs each one with its identifiers.

use super::contract::ForwardId;
use enum_map::EnumMap;
use lineroute_permit::{
    ClosePermit, CloseRefusal, RetryPermit, RetryRefusal, SendPermit, SendRefusal, StartPermit, StartRefusal,
    Violation,
};
use std::collections::BTreeMap;
use tracing::{debug, error, warn};

/// Counters since the start of the process.
#[derive(Clone, Default)]
pub struct PermitStats {
    sent: u64,
    sent_on_invalid_list: u64,
    send: EnumMap<SendRefusal, u64>,
    retry: EnumMap<RetryRefusal, u64>,
    close: EnumMap<CloseRefusal, u64>,
    start: EnumMap<StartRefusal, u64>,
    violations: EnumMap<Violation, u64>,
}

/// The counters, as reported to operators.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PermitStatsReport {
    /// First bytes that were written.
    pub sent: u64,
    /// Of these, first bytes that were written while the list was unconfirmed or expired.
    pub sent_on_invalid_list: u64,
    /// Refused permits, by operation and reason.
    pub refused: BTreeMap<String, u64>,
    /// Violated rules.
    pub violations: BTreeMap<String, u64>,
}

impl PermitStats {
    /// Counts the result of a permit request for a first byte.
    pub fn record_send(
        &mut self,
        forward_id: ForwardId,
        target: &str,
        permit: Result<SendPermit, SendRefusal>,
    ) -> Result<SendPermit, SendRefusal> {
        permit.inspect_err(|reason| {
            self.send[*reason] += 1;
            debug!(flow = forward_id.flow.0, forward = forward_id.number, target, %reason, "forward not sent");
        })
    }

    /// Counts the result of a permit request for an attempt. A refusal means that the decision module should
    /// not have asked.
    pub fn record_retry(
        &mut self,
        forward_id: ForwardId,
        permit: Result<RetryPermit, RetryRefusal>,
    ) -> Result<RetryPermit, RetryRefusal> {
        permit.inspect_err(|reason| {
            self.retry[*reason] += 1;
            warn!(flow = forward_id.flow.0, forward = forward_id.number, %reason, "forward not made");
        })
    }

    /// Counts the result of a permit request for closing a connection.
    pub fn record_close(
        &mut self,
        permit: Result<ClosePermit, CloseRefusal>,
    ) -> Result<ClosePermit, CloseRefusal> {
        permit.inspect_err(|reason| {
            self.close[*reason] += 1;
            warn!(%reason, "connection not closed");
        })
    }

    /// Counts the result of a permit request for accepting a job.
    pub fn record_start(
        &mut self,
        reference: &str,
        permit: Result<StartPermit, StartRefusal>,
    ) -> Result<StartPermit, StartRefusal> {
        permit.inspect_err(|reason| {
            self.start[*reason] += 1;
            debug!(reference, %reason, "request not taken");
        })
    }

    /// Counts a first byte that was written.
    pub fn record_sent(&mut self, list_is_valid: bool) {
        self.sent += 1;
        self.sent_on_invalid_list += u64::from(!list_is_valid);
    }

    /// Counts a violated rule, which is a bug in this program.
    ///
    /// # Panics
    /// In builds with debug assertions, so that tests fail on a violation.
    pub fn record_violation(
        &mut self,
        forward_id: Option<ForwardId>,
        target: Option<&str>,
        violation: Violation,
    ) {
        self.violations[violation] += 1;
        let (flow, forward) = (forward_id.map(|t| t.flow.0), forward_id.map(|t| t.number));
        error!(?violation, flow, forward, target, "rule broken");
        debug_assert!(false, "rule broken: {violation:?}, flow {flow:?}, target {target:?}");
    }

    /// The counters for operators; reasons that never occurred are omitted.
    pub fn report(&self) -> PermitStatsReport {
        let mut refused = BTreeMap::new();
        let mut add = |operation: &str, reason: String, count: u64| {
            if count > 0 {
                refused.insert(format!("{operation}.{reason}"), count);
            }
        };
        self.send.iter().for_each(|(reason, count)| add("send", format!("{reason:?}"), *count));
        self.retry.iter().for_each(|(reason, count)| add("retry", format!("{reason:?}"), *count));
        self.close.iter().for_each(|(reason, count)| add("close", format!("{reason:?}"), *count));
        self.start.iter().for_each(|(reason, count)| add("start", format!("{reason:?}"), *count));
        let violated = self.violations.iter().filter(|(_, count)| **count > 0);
        let violations = violated.map(|(rule, count)| (format!("{rule:?}"), *count)).collect();
        PermitStatsReport {
            sent: self.sent,
            sent_on_invalid_list: self.sent_on_invalid_list,
            refused,
            violations,
        }
    }
}
