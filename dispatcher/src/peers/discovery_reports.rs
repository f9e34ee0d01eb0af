//! Exchanges reports with peers that discovery has answered a call. `lineroute_control::list_status` defines
//! their effect on the worker list; they are sent over the socket that this process uses for peers.

use crate::list::monitor::{Change, ListMonitor};
use lineroute_control::discovery_report::{DiscoveryReport, ReportSchedule};
use std::cell::{OnceCell, RefCell};
use std::rc::Rc;
use std::time::Instant;
use tracing::debug;

/// Sends reports to all peers.
pub trait ReportSender {
    /// Sends a report to each peer. A report that cannot be sent is lost.
    fn send_to_all(&self, report: DiscoveryReport);
}

/// The reports that this process sends and receives.
pub struct DiscoveryReports {
    monitor: Rc<ListMonitor>,
    schedule: RefCell<ReportSchedule>,
    started: Instant,
    /// Unset if the settings configure no communication between dispatchers.
    sender: OnceCell<Rc<dyn ReportSender>>,
}

impl DiscoveryReports {
    /// For the list of this monitor. Nothing is sent before [`DiscoveryReports::set_sender`].
    pub fn new(monitor: Rc<ListMonitor>) -> Self {
        DiscoveryReports {
            monitor,
            schedule: RefCell::default(),
            started: Instant::now(),
            sender: OnceCell::new(),
        }
    }

    /// Sets the sender for peers; only the first one is used.
    pub fn set_sender(&self, sender: Rc<dyn ReportSender>) {
        let _ = self.sender.set(sender);
        self.monitor.expect_peer_reports();
    }

    /// Discovery has answered a queued call with this version of its list.
    pub fn answered(&self, version: u64) {
        let report = DiscoveryReport { version };
        let Some(sender) = self.sender.get() else { return };
        if self.schedule.borrow_mut().answered(self.now(), report) {
            debug!(version, "discovery: answer reported to peers");
            sender.send_to_all(report);
        }
    }

    pub fn report_received(&self, report: DiscoveryReport) {
        self.schedule.borrow_mut().peer_reported(self.now(), report);
        self.monitor.record(Change::PeerAnswered(report.version));
    }

    fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}
