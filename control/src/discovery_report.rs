//! Reports between the dispatchers of a tier that discovery has answered one of them.
//!
//! A discovery that refuses calls because too many wait looks to each caller like one that is away. Those that it does answer
//! tell the others by a [`DiscoveryReport`], and [`crate::list_status`] no longer takes a refusal for an outage where such a
//! report came just before. A report shortens how long a list is acted on and never lengthens it, and it names no workers: so
//! one that is lost, late or false can't bring a dispatcher to send by an older list.
//!
//! A report is sent to the whole tier. [`ReportSchedule`] bounds their number by time, not by the size of the tier.

use crate::Millis;

/// The first byte of a report: no load report begins so ([`crate::load_gossip`]).
const KIND: u8 = 0x30;
/// A report's size in bytes: its kind and the version.
pub const REPORT_SIZE: usize = 1 + size_of::<u64>();
/// Between two reports of a tier about one version, about: calls that are refused were held for longer.
pub const REPORT_GAP: Millis = 250;

/// Discovery has answered the sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiscoveryReport {
    /// The version of the list that discovery had then.
    pub version: u64,
}

impl DiscoveryReport {
    /// The report as bytes.
    pub fn encode(self) -> [u8; REPORT_SIZE] {
        let mut bytes = [KIND; REPORT_SIZE];
        bytes[1..].copy_from_slice(&self.version.to_be_bytes());
        bytes
    }

    /// Reads a report; `None`: it is none.
    pub fn decode(bytes: &[u8]) -> Option<DiscoveryReport> {
        let (kind, version) = bytes.split_first()?;
        let version = u64::from_be_bytes(version.try_into().ok()?);
        (*kind == KIND).then_some(DiscoveryReport { version })
    }
}

/// When one dispatcher reports: where no report of this version, or of a later one, was sent or heard lately.
#[derive(Debug, Default)]
pub struct ReportSchedule {
    last: Option<(Millis, DiscoveryReport)>,
}

impl ReportSchedule {
    /// A peer has sent a report.
    pub fn peer_reported(&mut self, now: Millis, report: DiscoveryReport) {
        self.last = Some((now, report));
    }

    /// Discovery has answered a call that took its turn; whether that has to be reported.
    pub fn answered(&mut self, now: Millis, report: DiscoveryReport) -> bool {
        let is_known =
            self.last.is_some_and(|(at, last)| now < at + REPORT_GAP && last.version >= report.version);
        if !is_known {
            self.last = Some((now, report));
        }
        !is_known
    }
}
