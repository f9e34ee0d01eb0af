//! Permits that were refused, and rules that were broken all the same, by reason. Each is logged with its ids.

use super::contract::ForwardId;
use enum_map::EnumMap;
use lineroute_permit::{
    ClosePermit, CloseRefusal, RetryPermit, RetryRefusal, SendPermit, SendRefusal, StartPermit, StartRefusal,
    Violation,
};
use std::collections::BTreeMap;
use tracing::{debug, error, warn};

/// Counts since the start.
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

/// The ledger as operators see it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PermitStatsReport {
    /// First bytes that were written.
    pub sent: u64,
    /// Those of them by a list that was not confirmed, or too long ago.
    pub sent_on_invalid_list: u64,
    /// Permits that were refused, by act and reason.
    pub refused: BTreeMap<String, u64>,
    /// Rules that were broken.
    pub violations: BTreeMap<String, u64>,
}

impl PermitStats {
    /// Takes note of what became of the permit for a first byte.
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

    /// The same of one for an attempt. The decisions should not have asked for it.
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

    /// The same of one for the end of a connection.
    pub fn record_close(
        &mut self,
        permit: Result<ClosePermit, CloseRefusal>,
    ) -> Result<ClosePermit, CloseRefusal> {
        permit.inspect_err(|reason| {
            self.close[*reason] += 1;
            warn!(%reason, "connection not closed");
        })
    }

    /// The same of one for the start of a request.
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

    /// A first byte was written.
    pub fn record_sent(&mut self, list_is_valid: bool) {
        self.sent += 1;
        self.sent_on_invalid_list += u64::from(!list_is_valid);
    }

    /// A rule was broken: a fault of this program.
    ///
    /// # Panics
    /// In builds with debug assertions, so that no test passes over it.
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

    /// What operators are shown: reasons that came up.
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
