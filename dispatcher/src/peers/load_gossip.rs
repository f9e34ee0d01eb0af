//! Load gossip with the other dispatchers of a large tier: how many forwards each of them has in flight at
//! which target. `lineroute_control::load_gossip` defines the reports and who aggregates them; this module
//! handles the socket. A report that cannot be sent is lost.

use crate::config::LoadGossipPeers;
use crate::facade::{FlowId, TargetId};
use crate::flow::{Flows, ForwardObserver, PeerLoad};
use crate::local_faults::open_with_retry;
use crate::peers::discovery_reports::{DiscoveryReports, ReportSender};
use lineroute_control::discovery_report::DiscoveryReport;
use lineroute_control::load_gossip::{
    LoadReport, Purpose, ReportedLoad, Tag, ZoneAggregators, MAX_DATAGRAM, REPORT_TTL,
};
use rustc_hash::{FxHashMap, FxHashSet};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tracing::{debug, info};

/// Delay after a socket error.
const SOCKET_ERROR_DELAY: Duration = Duration::from_millis(20);
/// Limit on the datagrams that are handled before other tasks of this thread run.
const MAX_DATAGRAMS_PER_TURN: usize = 64;
/// Average time between two queries while flows are held back.
const QUERY_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which forwards that stay in flight are reported again.
const REPORT_INTERVAL: Duration = Duration::from_millis(REPORT_TTL / 2);

/// The load gossip of this process: it observes the forwards of the core, and passes the reports of peers to
/// the core.
struct LoadGossip {
    weak_self: Weak<LoadGossip>,
    socket: UdpSocket,
    flows: Flows,
    own: u32,
    home_zone: Option<Tag>,
    peers: Vec<SocketAddr>,
    /// A common address of all peers, if there is one.
    all_peers: Option<SocketAddr>,
    reports: Rc<DiscoveryReports>,
    peer_numbers: FxHashMap<SocketAddr, u32>,
    started: Instant,
    state: RefCell<State>,
}

/// A query that has not been answered yet.
struct Query {
    turn: u8,
    zone: Tag,
    aggregator: u32,
    sent_at: Instant,
    /// Flows that wait for the answer.
    flows: Vec<FlowId>,
}

struct State {
    /// What this dispatcher aggregates for others, and who aggregates which zone.
    reported: ReportedLoad,
    aggregators: ZoneAggregators,
    /// The targets that a tag may stand for, and their zone.
    targets: FxHashMap<Tag, (Tag, FxHashSet<TargetId>)>,
    zones: Vec<Tag>,
    next_zone: usize,
    /// Forwards in flight, with their zone, and targets that have just refused one.
    in_flight: FxHashMap<Tag, (Tag, u8)>,
    refused: FxHashSet<Tag>,
    turn: u8,
    reported_at: Instant,
    queries: Vec<Query>,
    /// What the core was last told of each target.
    last_reported: FxHashMap<TargetId, u8>,
}

/// Binds the socket and starts to send and receive reports.
///
/// # Errors
/// The address cannot be bound.
pub async fn start(
    config: LoadGossipPeers,
    flows: Flows,
    reports: Rc<DiscoveryReports>,
) -> Result<(), String> {
    let LoadGossipPeers { listen, own_index: own, peers, all_peers, zone_name } = config;
    let socket = open_with_retry(|| UdpSocket::bind(listen))
        .await
        .map_err(|e| format!("peer_listen: {listen}: {e}"))?;
    info!(peers = peers.len(), own, "load gossip: started");
    let peer_numbers = peers.iter().zip(0..).map(|(at, number)| (*at, number)).collect();
    let state = State {
        reported: ReportedLoad::default(),
        aggregators: ZoneAggregators::new(peers.len() as u32),
        targets: FxHashMap::default(),
        zones: Vec::new(),
        next_zone: 0,
        in_flight: FxHashMap::default(),
        refused: FxHashSet::default(),
        turn: 0,
        reported_at: Instant::now(),
        queries: Vec::new(),
        last_reported: FxHashMap::default(),
    };
    let gossip = Rc::new_cyclic(|weak_self| LoadGossip {
        weak_self: weak_self.clone(),
        socket,
        flows: flows.clone(),
        own,
        home_zone: zone_name.as_deref().map(Tag::of),
        peers,
        all_peers,
        reports: reports.clone(),
        peer_numbers,
        started: Instant::now(),
        state: RefCell::new(state),
    });
    flows.observe_forwards(gossip.clone());
    reports.set_sender(gossip.clone());
    actix_rt::spawn(gossip.clone().receive_loop());
    actix_rt::spawn(gossip.clone().repeat_reports());
    actix_rt::spawn(gossip.query_while_held());
    Ok(())
}

impl ForwardObserver for LoadGossip {
    fn in_flight_changed(&self, name: &str, zone: &str, in_flight: Option<usize>) {
        let (tag, zone) = (Tag::of(name), Tag::of(zone));
        {
            let state = &mut *self.state.borrow_mut();
            match in_flight {
                None => drop(state.refused.insert(tag)),
                Some(0) => drop(state.in_flight.remove(&tag)),
                Some(out) => drop(state.in_flight.insert(tag, (zone, out.min(usize::from(u8::MAX)) as u8))),
            }
        }
        self.report(zone);
    }

    fn target_listed(&self, target: TargetId, name: &str, zone: &str) {
        let state = &mut *self.state.borrow_mut();
        let zone = Tag::of(zone);
        let entry = state.targets.entry(Tag::of(name)).or_default();
        entry.0 = zone;
        entry.1.insert(target);
        if !state.zones.contains(&zone) {
            state.zones.push(zone);
        }
    }

    fn flow_opened(&self, flow: FlowId) -> bool {
        let (home, other) = {
            let state = &mut *self.state.borrow_mut();
            state.next_zone = state.next_zone.wrapping_add(1);
            let others: Vec<Tag> =
                state.zones.iter().copied().filter(|z| Some(*z) != self.home_zone).collect();
            let next = others.get(state.next_zone % others.len().max(1)).copied();
            match self.home_zone {
                Some(home) => (Some(home), next),
                None => (next, None),
            }
        };
        if let Some(other) = other {
            self.query(other, None);
        }
        home.is_some_and(|home| self.query(home, Some(flow)))
    }
}

impl ReportSender for LoadGossip {
    fn send_to_all(&self, report: DiscoveryReport) {
        let bytes = report.encode();
        if let Some(all) = self.all_peers {
            let _ = self.socket.try_send_to(&bytes, all);
            return;
        }
        let others = self.peers.iter().zip(0..).filter(|(_, number)| *number != self.own);
        for (addr, _) in others {
            let _ = self.socket.try_send_to(&bytes, *addr);
        }
    }
}

impl LoadGossip {
    fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn send(&self, report: &LoadReport, to: u32) {
        if let Some(to) = self.peers.get(to as usize) {
            let _ = self.socket.try_send_to(&report.encode(), *to);
        }
    }

    /// A report of the forwards that this process has in flight.
    fn own_report(&self, purpose: Purpose, zone: Tag) -> LoadReport {
        let state = &mut *self.state.borrow_mut();
        state.turn = state.turn.wrapping_add(1) & 15;
        let out = state.in_flight.iter().map(|(tag, (_, out))| (*tag, *out)).collect();
        let refused = std::mem::take(&mut state.refused).into_iter().collect();
        LoadReport { purpose, sequence: state.turn, zone, in_flight: out, refused }
    }

    /// Reports the forwards in flight to the aggregators of a zone.
    fn report(&self, zone: Tag) {
        let report = self.own_report(Purpose::Report, zone);
        let receivers = {
            let state = &mut *self.state.borrow_mut();
            state.reported_at = Instant::now();
            state.aggregators.report_to(zone, self.now())
        };
        for aggregator in receivers {
            if aggregator == self.own {
                self.state.borrow_mut().reported.apply(aggregator, &report, self.now());
            } else {
                self.send(&report, aggregator);
            }
        }
    }

    /// Queries the load of a zone. Returns whether the flow has to wait for the answer.
    fn query(&self, zone: Tag, flow: Option<FlowId>) -> bool {
        let now = self.now();
        let aggregator = {
            let state = &mut *self.state.borrow_mut();
            if let Some(same) = state.queries.iter_mut().find(|q| q.zone == zone) {
                same.flows.extend(flow);
                return true;
            }
            let Some(aggregator) = state.aggregators.query(zone, now) else { return false };
            aggregator
        };
        if aggregator == self.own {
            let summary = self.zone_summary(zone, aggregator, 0);
            self.apply_zone_summary(&summary);
            return false;
        }
        let report = self.own_report(Purpose::Query, zone);
        self.send(&report, aggregator);
        let query = Query {
            turn: report.sequence,
            zone,
            aggregator,
            sent_at: Instant::now(),
            flows: flow.into_iter().collect(),
        };
        self.state.borrow_mut().queries.push(query);
        // The aggregator may be dead.
        let answer_wait = Duration::from_millis(self.state.borrow().aggregators.answer_timeout());
        let weak_self = self.weak_self.clone();
        actix_rt::spawn(async move {
            tokio::time::sleep(answer_wait).await;
            if let Some(gossip) = weak_self.upgrade() {
                gossip.answer_timed_out(report.sequence, zone);
            }
        });
        true
    }

    /// Stops waiting for an answer that has not arrived in time.
    fn answer_timed_out(&self, turn: u8, zone: Tag) {
        let query = {
            let state = &mut *self.state.borrow_mut();
            let at = state.queries.iter().position(|q| (q.turn, q.zone) == (turn, zone));
            let Some(query) = at.map(|at| state.queries.swap_remove(at)) else { return };
            state.aggregators.timed_out(query.aggregator, self.now());
            query
        };
        debug!(
            aggregator = query.aggregator,
            flows = query.flows.len(),
            "load gossip: aggregator did not answer in time"
        );
        query.flows.into_iter().for_each(|flow| self.flows.dispatch(flow));
    }

    /// The forwards that all peers except the querier have in flight in a zone.
    fn zone_summary(&self, zone: Tag, querier: u32, turn: u8) -> LoadReport {
        let state = self.state.borrow();
        // A target that is missing in this process's own list is included in every zone.
        let is_in_zone = |tag: Tag| state.targets.get(&tag).is_none_or(|(z, _)| *z == zone);
        let (out, refused) = state.reported.snapshot(querier, self.now(), is_in_zone);
        let out = out.into_iter().map(|(tag, out)| (tag, out.min(u32::from(u8::MAX)) as u8)).collect();
        LoadReport { purpose: Purpose::Snapshot, sequence: turn, zone, in_flight: out, refused }
    }

    /// Passes the changes in a zone's load to the core.
    fn apply_zone_summary(&self, summary: &LoadReport) {
        let refused: FxHashSet<Tag> = summary.refused.iter().copied().collect();
        let out: FxHashMap<Tag, u8> = summary.in_flight.iter().copied().collect();
        let mut changes = Vec::new();
        {
            let state = &mut *self.state.borrow_mut();
            let in_zone = state.targets.iter().filter(|(_, (zone, _))| *zone == summary.zone);
            for (tag, (_, targets)) in in_zone {
                let (out, refused) = (out.get(tag).copied().unwrap_or(0), refused.contains(tag));
                for target in targets {
                    let previous = state.last_reported.insert(*target, out);
                    // At least one change is passed on, so that the core knows that peers report.
                    if previous != Some(out) || refused || changes.is_empty() {
                        changes.push(PeerLoad { target: *target, in_flight: u32::from(out), refused });
                    }
                }
            }
        }
        self.flows.report_peer_load(&changes);
    }

    async fn receive_loop(self: Rc<Self>) {
        // One byte more than the longest datagram, so that a longer one is not mistaken for one that fits.
        let mut bytes = [0; MAX_DATAGRAM + 1];
        loop {
            if self.socket.readable().await.is_err() {
                tokio::time::sleep(SOCKET_ERROR_DELAY).await;
                continue;
            }
            for _ in 0..MAX_DATAGRAMS_PER_TURN {
                let Ok((size, from)) = self.socket.try_recv_from(&mut bytes) else { break };
                // Datagrams from other senders than peers, and invalid ones, are ignored.
                let Some(peer) = self.peer_numbers.get(&from).filter(|peer| **peer != self.own) else {
                    continue;
                };
                if let Some(report) = DiscoveryReport::decode(&bytes[..size]) {
                    self.reports.report_received(report);
                } else if let Some(report) = LoadReport::decode(&bytes[..size]) {
                    self.handle_report(&report, *peer);
                }
            }
            tokio::task::yield_now().await;
        }
    }

    fn handle_report(&self, report: &LoadReport, peer: u32) {
        if report.purpose != Purpose::Snapshot {
            self.state.borrow_mut().reported.apply(peer, report, self.now());
            if report.purpose == Purpose::Query && !ReportedLoad::is_warming_up(self.now()) {
                self.send(&self.zone_summary(report.zone, peer, report.sequence), peer);
            }
            return;
        }
        let query = {
            let state = &mut *self.state.borrow_mut();
            let matches_report =
                |q: &Query| (q.turn, q.zone, q.aggregator) == (report.sequence, report.zone, peer);
            // Not requested, or too late.
            let Some(at) = state.queries.iter().position(matches_report) else { return };
            let query = state.queries.swap_remove(at);
            state.aggregators.answered(peer, query.sent_at.elapsed().as_millis() as u64);
            query
        };
        debug!(
            aggregator = peer,
            took_us = query.sent_at.elapsed().as_micros() as u64,
            "load gossip: zone load received"
        );
        self.apply_zone_summary(report);
        query.flows.into_iter().for_each(|flow| self.flows.dispatch(flow));
    }

    /// Keeps querying while flows are held back, with jitter so that peers do not query in step.
    async fn query_while_held(self: Rc<Self>) {
        loop {
            let jitter = f64::from(getrandom::u32().unwrap_or(0)) / f64::from(u32::MAX);
            tokio::time::sleep(QUERY_INTERVAL.mul_f64(0.5 + jitter)).await;
            if let Some(home) = self.home_zone.filter(|_| self.flows.has_held_flows()) {
                self.query(home, None);
            }
        }
    }

    /// Repeats reports of forwards that stay in flight.
    async fn repeat_reports(self: Rc<Self>) {
        loop {
            tokio::time::sleep(REPORT_INTERVAL).await;
            let zones: FxHashSet<Tag> = {
                let state = self.state.borrow();
                let due = state.reported_at.elapsed() >= REPORT_INTERVAL;
                state.in_flight.values().filter(|_| due).map(|(zone, _)| *zone).collect()
            };
            zones.into_iter().for_each(|zone| self.report(zone));
        }
    }
}
