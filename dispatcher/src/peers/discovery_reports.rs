//! Reports to and from peers that discovery has answered a call. What they mean for the worker list is
//! `lineroute_control::list_status`; they go by whichever socket this process talks to peers on.

use crate::list::monitor::{Change, ListMonitor};
use lineroute_control::discovery_report::{DiscoveryReport, ReportSchedule};
use std::cell::{OnceCell, RefCell};
use std::rc::Rc;
use std::time::Instant;
use tracing::debug;

/// A way to all peers.
pub trait ReportSender {
    /// Sends a report to each peer. One that can't be sent is one that is lost.
    fn send_to_all(&self, report: DiscoveryReport);
}

/// The reports of this process, and those that it hears.
pub struct DiscoveryReports {
    monitor: Rc<ListMonitor>,
    schedule: RefCell<ReportSchedule>,
    started: Instant,
    /// Not there where the settings let no dispatchers talk.
    sender: OnceCell<Rc<dyn ReportSender>>,
}

impl DiscoveryReports {
    /// For the list that is watched by this monitor. Nobody is told anything before [`DiscoveryReports::set_sender`].
    pub fn new(monitor: Rc<ListMonitor>) -> Self {
        DiscoveryReports {
            monitor,
            schedule: RefCell::default(),
            started: Instant::now(),
            sender: OnceCell::new(),
        }
    }

    /// Peers are reached this way from now on; the first way stays.
    pub fn set_sender(&self, sender: Rc<dyn ReportSender>) {
        let _ = self.sender.set(sender);
        self.monitor.expect_peer_reports();
    }

    /// Discovery has answered a call that took its turn there, with its list of this version.
    pub fn answered(&self, version: u64) {
        let report = DiscoveryReport { version };
        let Some(sender) = self.sender.get() else { return };
        if self.schedule.borrow_mut().answered(self.now(), report) {
            debug!(version, "discovery: its answer is reported to peers");
            sender.send_to_all(report);
        }
    }

    /// A peer has sent a report.
    pub fn report_received(&self, report: DiscoveryReport) {
        self.schedule.borrow_mut().heard(self.now(), report);
        self.monitor.record(Change::PeerAnswered(report.version));
    }

    fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}
