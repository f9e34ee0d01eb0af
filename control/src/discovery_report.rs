//! Reports by which a dispatcher tells the others of its tier that discovery has answered it.
//!
//! To each client, a discovery service that rejects requests because too many are queued looks the same as
//! one that is down. Dispatchers that do get an answer send a [`DiscoveryReport`] to the others, and shortly
//! after such a report [`crate::list_status`] no longer takes a rejection for an outage. A report can only
//! shorten the time for which a list is valid, and it names no workers, so a lost, late or forged report
//! cannot make a dispatcher send by an older list.
//!
//! A report goes to the whole tier. [`ReportSchedule`] limits the number of reports by time, independent of
//! the size of the tier.

use crate::Millis;

/// First byte of a report; no load report ([`crate::load_gossip`]) begins with it.
const KIND: u8 = 0x30;
/// Size of a report in bytes: its kind and the version.
pub const REPORT_SIZE: usize = 1 + size_of::<u64>();
/// Approximate interval between two reports of a tier about one version. Requests that discovery rejects have
/// been held for longer than this.
pub const REPORT_GAP: Millis = 250;

/// States that discovery has answered the sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiscoveryReport {
    /// Version of the list that discovery answered with.
    pub version: u64,
}

impl DiscoveryReport {
    /// Encodes the report.
    pub fn encode(self) -> [u8; REPORT_SIZE] {
        let mut bytes = [KIND; REPORT_SIZE];
        bytes[1..].copy_from_slice(&self.version.to_be_bytes());
        bytes
    }

    /// Decodes a report; `None` if `bytes` is not one.
    pub fn decode(bytes: &[u8]) -> Option<DiscoveryReport> {
        let (kind, version) = bytes.split_first()?;
        let version = u64::from_be_bytes(version.try_into().ok()?);
        (*kind == KIND).then_some(DiscoveryReport { version })
    }
}

/// Decides when one dispatcher sends a report: only if none about this or a later version was sent or
/// received within [`REPORT_GAP`].
#[derive(Debug, Default)]
pub struct ReportSchedule {
    last: Option<(Millis, DiscoveryReport)>,
}

impl ReportSchedule {
    /// Records a report received from a peer.
    pub fn peer_reported(&mut self, now: Millis, report: DiscoveryReport) {
        self.last = Some((now, report));
    }

    /// Records that discovery answered a request that did not wait for changes; returns whether to report it.
    pub fn answered(&mut self, now: Millis, report: DiscoveryReport) -> bool {
        let is_known =
            self.last.is_some_and(|(at, last)| now < at + REPORT_GAP && last.version >= report.version);
        if !is_known {
            self.last = Some((now, report));
        }
        !is_known
    }
}
