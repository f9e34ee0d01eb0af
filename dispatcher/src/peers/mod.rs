//! Datagrams to and from the other dispatchers of the tier. `lineroute_control::peers` defines the messages;
//! this module handles the socket and the periodic rounds.

pub mod discovery_reports;
pub mod load_gossip;

use crate::config::Peers;
use crate::local_faults::open_with_retry;
use crate::overrides::{now, Overrides};
use discovery_reports::{DiscoveryReports, ReportSender};
use lineroute_control::discovery_report::DiscoveryReport;
use lineroute_control::peers::{Counts, Gossip, KeyRing, Outgoing, MAX_DATAGRAM};
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{interval, MissedTickBehavior};
use tracing::{info, warn};

/// Interval between two gossip rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);
/// Limit on the datagrams that are handled before other tasks of this thread run, so that a flood does not
/// delay clients.
const MAX_DATAGRAMS_PER_TURN: usize = 32;
/// Minimum time between two warnings about rejected datagrams.
const WARN_INTERVAL: Duration = Duration::from_secs(10);

/// Handle to the gossip with peers, for other parts of the process.
#[derive(Clone)]
pub struct Handle {
    gossip: Rc<RefCell<Gossip>>,
    socket: Rc<UdpSocket>,
}

impl ReportSender for Handle {
    fn send_to_all(&self, report: DiscoveryReport) {
        let out = self.gossip.borrow_mut().report(report);
        self.send(out);
    }
}

impl Handle {
    fn send(&self, out: Vec<Outgoing>) {
        for (to, bytes) in out {
            // A datagram that cannot be sent is lost.
            let _ = self.socket.try_send_to(&bytes, to);
        }
    }

    /// Replaces the keys.
    pub fn rekey(&self, keys: KeyRing) {
        self.gossip.borrow_mut().rekey(keys);
    }

    /// Counters of datagrams sent and received.
    pub fn counts(&self) -> Counts {
        self.gossip.borrow().counts()
    }
}

/// Binds the socket and starts to communicate with peers.
///
/// # Errors
/// The address cannot be bound, or the system provides no random numbers.
pub async fn start(
    config: Peers,
    overrides: Overrides,
    reports: Rc<DiscoveryReports>,
) -> Result<Handle, String> {
    let Peers { listen, others, keys } = config;
    let socket = open_with_retry(|| UdpSocket::bind(listen))
        .await
        .map_err(|e| format!("peer_listen: {listen}: {e}"))?;
    let mut seed = [0; 32];
    getrandom::fill(&mut seed).map_err(|e| format!("peers: no random numbers available: {e}"))?;
    let at = socket.local_addr().map_err(|e| format!("peer_listen: {e}"))?;
    info!(addr = %at, peers = others.len(), "talks with peers");
    let gossip = Rc::new(RefCell::new(Gossip::new(&others, keys, seed)));
    overrides.enable_gossip();
    let handle = Handle { gossip, socket: Rc::new(socket) };
    reports.set_sender(Rc::new(handle.clone()));
    let task = GossipTask { handle: handle.clone(), overrides, reports };
    actix_rt::spawn(task.run());
    Ok(handle)
}

struct GossipTask {
    handle: Handle,
    overrides: Overrides,
    reports: Rc<DiscoveryReports>,
}

impl GossipTask {
    async fn run(self) {
        let mut rounds = interval(ROUND_INTERVAL);
        rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut warn_timer = interval(WARN_INTERVAL);
        let mut reported = Counts::default();
        loop {
            // Every branch may be dropped while it waits: nothing has been taken from the socket or the queue
            // by then.
            tokio::select! {
                ready = self.handle.socket.readable() => match ready {
                    Ok(()) => {
                        self.receive_datagrams();
                        tokio::task::yield_now().await;
                    }
                    Err(e) => {
                        warn!(error = %e, "peers: reading from the socket failed");
                        tokio::time::sleep(ROUND_INTERVAL).await;
                    }
                },
                _ = rounds.tick() => {
                    let out = self.overrides.with(|table| self.handle.gossip.borrow_mut().tick(table));
                    self.handle.send(out);
                }
                fresh = self.overrides.take_unsent() => {
                    let out: Vec<Outgoing> =
                        fresh.iter().flat_map(|r| self.handle.gossip.borrow_mut().announce(r)).collect();
                    self.handle.send(out);
                }
                _ = warn_timer.tick() => {
                    let counts = self.handle.counts();
                    let faults = |c: &Counts| [c.malformed, c.unauthentic, c.strangers, c.refused];
                    if faults(&counts) != faults(&reported) {
                        let Counts { malformed, unauthentic, replayed, strangers, refused, .. } = counts;
                        warn!(malformed, unauthentic, replayed, strangers, refused, "peers: datagrams rejected");
                    }
                    reported = counts;
                }
            }
        }
    }

    /// Handles received datagrams, up to a limit.
    fn receive_datagrams(&self) {
        // One byte more than the longest datagram, so that a longer one is not mistaken for one that fits.
        let mut bytes = [0; MAX_DATAGRAM + 1];
        for _ in 0..MAX_DATAGRAMS_PER_TURN {
            let (size, from) = match self.handle.socket.try_recv_from(&mut bytes) {
                Ok(received) => received,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                // The error of an earlier outgoing datagram whose peer is down.
                Err(_) => continue,
            };
            let datagram = &bytes[..size];
            let gossip = &self.handle.gossip;
            let out = self.overrides.with(|t| gossip.borrow_mut().receive(now(), from, datagram, t));
            self.handle.send(out);
            let reports = gossip.borrow_mut().take_reports();
            reports.into_iter().for_each(|report| self.reports.report_received(report));
        }
    }
}
