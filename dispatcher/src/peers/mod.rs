//! Datagrams to and from the other dispatchers of the tier. What is said is `lineroute_control::peers`; here
//! are the socket and the rounds.

pub mod discovery_reports;
pub mod load_gossip;

use crate::config::Peers;
use crate::local_faults::open_patiently;
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

/// Between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);
/// Datagrams that are taken in before others on this thread get their turn: a flood must not hold up clients.
const MAX_DATAGRAMS_PER_TURN: usize = 32;
/// What can't be believed is told of this often at most.
const WARN_INTERVAL: Duration = Duration::from_secs(10);

/// The talk as others see it.
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
            // One that is not sent is one that is lost.
            let _ = self.socket.try_send_to(&bytes, to);
        }
    }

    /// Goes over to other keys.
    pub fn rekey(&self, keys: KeyRing) {
        self.gossip.borrow_mut().rekey(keys);
    }

    /// What has come and gone.
    pub fn counts(&self) -> Counts {
        self.gossip.borrow().counts()
    }
}

/// Binds the socket and begins to talk.
///
/// # Errors
/// The address can't be bound, or the system has no random numbers.
pub async fn start(
    config: Peers,
    overrides: Overrides,
    reports: Rc<DiscoveryReports>,
) -> Result<Handle, String> {
    let Peers { listen, others, keys } = config;
    let socket = open_patiently(|| UdpSocket::bind(listen))
        .await
        .map_err(|e| format!("peer_listen: {listen}: {e}"))?;
    let mut seed = [0; 32];
    getrandom::fill(&mut seed).map_err(|e| format!("peers: no random numbers: {e}"))?;
    let at = socket.local_addr().map_err(|e| format!("peer_listen: {e}"))?;
    info!(addr = %at, peers = others.len(), "talks with peers");
    let gossip = Rc::new(RefCell::new(Gossip::new(&others, keys, seed)));
    overrides.talk();
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
            // Every branch may be dropped at its await: nothing has been taken out of the socket or the
            // queue by then.
            tokio::select! {
                ready = self.handle.socket.readable() => match ready {
                    Ok(()) => {
                        self.receive_datagrams();
                        tokio::task::yield_now().await;
                    }
                    Err(e) => {
                        warn!(error = %e, "peers: the socket fails");
                        tokio::time::sleep(ROUND_INTERVAL).await;
                    }
                },
                _ = rounds.tick() => {
                    let out = self.overrides.with(|table| self.handle.gossip.borrow_mut().tick(table));
                    self.handle.send(out);
                }
                fresh = self.overrides.take_fresh() => {
                    let out: Vec<Outgoing> =
                        fresh.iter().flat_map(|r| self.handle.gossip.borrow_mut().announce(r)).collect();
                    self.handle.send(out);
                }
                _ = warn_timer.tick() => {
                    let counts = self.handle.counts();
                    let faults = |c: &Counts| [c.malformed, c.unauthentic, c.strangers, c.refused];
                    if faults(&counts) != faults(&reported) {
                        let Counts { malformed, unauthentic, replayed, strangers, refused, .. } = counts;
                        warn!(malformed, unauthentic, replayed, strangers, refused, "peers: datagrams not believed");
                    }
                    reported = counts;
                }
            }
        }
    }

    /// Takes in what has come, up to a bound.
    fn receive_datagrams(&self) {
        // One more than the longest: a longer one must not look like one that fits.
        let mut bytes = [0; MAX_DATAGRAM + 1];
        for _ in 0..MAX_DATAGRAMS_PER_TURN {
            let (size, from) = match self.handle.socket.try_recv_from(&mut bytes) {
                Ok(received) => received,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                // What a datagram of ours met elsewhere: a peer that is down.
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
