//! Simulates dispatchers in one thread, over a network that loses, duplicates, delays and reorders datagrams.
//! The same seed gives the same run.

use lineroute_control::discovery_report::DiscoveryReport;
use lineroute_control::overrides::{
    ActiveOverrides, OverrideEntry, OverrideRequest, Record, Scope, Slot, Table,
};
use lineroute_control::peers::{Gossip, KeyRing, Outgoing};
use lineroute_control::Millis;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

const START: Millis = 1_764_600_000_000;
const HOUR: Millis = 3_600_000;
const ROUND: Millis = 200;

fn keys(byte: &str) -> KeyRing {
    KeyRing::parse(&byte.repeat(32)).expect("a key")
}

fn addr(at: usize) -> SocketAddr {
    ([127, 0, 0, 1], 7000 + at as u16).into()
}

struct Node {
    table: Table,
    gossip: Gossip,
    /// Offset of its clock in milliseconds.
    clock_offset: i64,
    up: bool,
}

struct Cluster {
    nodes: Vec<Node>,
    now: Millis,
    rng: StdRng,
    loss: f64,
    /// Dispatchers in different groups cannot reach each other.
    groups: Vec<u8>,
    /// Datagrams in transit, by arrival time.
    in_transit: BTreeMap<(Millis, u64), (usize, SocketAddr, Vec<u8>)>,
    sent: u64,
    /// Every datagram ever sent, for replay.
    recorded: Vec<(usize, SocketAddr, Vec<u8>)>,
}

impl Cluster {
    fn new(size: usize, seed: u64, loss: f64) -> Cluster {
        let mut cluster = Cluster {
            nodes: Vec::new(),
            now: START,
            rng: StdRng::seed_from_u64(seed),
            loss,
            groups: vec![0; size],
            in_transit: BTreeMap::new(),
            sent: 0,
            recorded: Vec::new(),
        };
        for at in 0..size {
            let node = cluster.new_node(at, size);
            cluster.nodes.push(node);
        }
        cluster
    }

    fn new_node(&mut self, at: usize, size: usize) -> Node {
        let peers: Vec<SocketAddr> = (0..size).filter(|p| *p != at).map(addr).collect();
        let gossip = Gossip::new(&peers, keys("ab"), self.rng.random());
        Node { table: Table::new(&format!("n{at}"), 16 * HOUR), gossip, clock_offset: 0, up: true }
    }

    /// Crashes a dispatcher and restarts it without state.
    fn restart(&mut self, at: usize) {
        let (size, clock_offset) = (self.nodes.len(), self.nodes[at].clock_offset);
        self.nodes[at] = Node { clock_offset, ..self.new_node(at, size) };
    }

    fn clock(&self, at: usize) -> Millis {
        self.now.saturating_add_signed(self.nodes[at].clock_offset)
    }

    fn send(&mut self, from: usize, out: Vec<Outgoing>) {
        for (to, bytes) in out {
            assert!(bytes.len() <= 256, "{} bytes", bytes.len());
            let to = usize::from(to.port() - 7000);
            self.recorded.push((to, addr(from), bytes.clone()));
            if self.groups[from] != self.groups[to] {
                continue;
            }
            // Each of the one or two copies may be lost, and has a delay of its own.
            for _ in 0..if self.rng.random_bool(0.1) { 2 } else { 1 } {
                if !self.rng.random_bool(self.loss) {
                    self.sent += 1;
                    let at = self.now + self.rng.random_range(1..=120);
                    self.in_transit.insert((at, self.sent), (to, addr(from), bytes.clone()));
                }
            }
        }
    }

    fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now += 1;
            while let Some(entry) = self.in_transit.first_entry().filter(|e| e.key().0 <= self.now) {
                let (to, from, bytes) = entry.remove();
                self.deliver(to, from, &bytes);
            }
            for at in 0..self.nodes.len() {
                if self.nodes[at].up && (self.now + at as Millis * 37).is_multiple_of(ROUND) {
                    let Node { gossip, table, .. } = &mut self.nodes[at];
                    let out = gossip.tick(table);
                    self.send(at, out);
                }
            }
        }
    }

    fn deliver(&mut self, to: usize, from: SocketAddr, bytes: &[u8]) {
        let now = self.clock(to);
        let Node { gossip, table, up, .. } = &mut self.nodes[to];
        if *up {
            let out = gossip.receive(now, from, bytes, table);
            self.send(to, out);
        }
    }

    fn set(&mut self, at: usize, worker: &str, weight: f64, span: Millis) -> Arc<Record> {
        let now = self.clock(at);
        let slot = Slot { worker: worker.into(), scope: Scope::Weight };
        let order = OverrideRequest {
            slot,
            weight: Some(weight),
            until: now + span,
            by: "ama".into(),
            why: "test".into(),
        };
        let Node { table, gossip, .. } = &mut self.nodes[at];
        let record = table.set(order, now).expect("set");
        let out = gossip.announce(&record);
        self.send(at, out);
        record
    }

    fn clear(&mut self, at: usize, id: &str) {
        let now = self.clock(at);
        let Node { table, gossip, .. } = &mut self.nodes[at];
        let record = table.clear(id, "ama", "", now).expect("cleared");
        let out = gossip.announce(&record);
        self.send(at, out);
    }

    fn active(&self, at: usize) -> ActiveOverrides {
        self.nodes[at].table.active(self.clock(at))
    }

    fn entries(&self, at: usize) -> Vec<OverrideEntry> {
        self.nodes[at].table.entries(self.clock(at), |_| true)
    }

    /// Asserts that all dispatchers have the same overrides in force and list the same ones.
    fn assert_agreement(&self) {
        for at in 1..self.nodes.len() {
            assert_eq!(self.active(at), self.active(0), "n{at}");
            assert_eq!(self.entries(at), self.entries(0), "n{at}");
        }
    }

    /// Runs until all dispatchers have the same overrides in force; returns the time in milliseconds.
    fn time_to_agreement(&mut self, limit: Millis) -> Millis {
        let start = self.now;
        while (1..self.nodes.len()).any(|at| self.active(at) != self.active(0)) {
            assert!(self.now - start < limit, "no agreement after {limit} ms");
            self.run(10);
        }
        self.now - start
    }
}

#[test]
fn an_override_reaches_all_within_two_seconds_at_thirty_percent_loss() {
    let mut slowest = 0;
    for seed in 0..100 {
        let mut cluster = Cluster::new(3, seed, 0.3);
        // Cold start, as after a release: no peer has exchanged greetings yet.
        cluster.set(0, "w", 0.5, HOUR);
        slowest = slowest.max(cluster.time_to_agreement(2000));
    }
    println!("slowest of 100 runs: {slowest} ms");
}

#[test]
fn conflicting_overrides_converge_after_a_partition() {
    for seed in 0..20 {
        let mut cluster = Cluster::new(3, seed, 0.3);
        cluster.run(1000);
        cluster.groups = vec![0, 1, 2];
        cluster.set(0, "w", 0.5, HOUR);
        cluster.set(1, "w", 2.0, HOUR);
        cluster.run(3000);
        assert_ne!(cluster.active(0), cluster.active(1));
        cluster.groups = vec![0, 0, 0];
        cluster.run(4000);
        cluster.assert_agreement();
        assert_eq!(cluster.active(2).weights.len(), 1);
        assert_eq!(
            cluster.entries(2).len(),
            2,
            "the superseded override is listed, also where nothing was set"
        );
    }
}

#[test]
fn a_clear_supersedes_its_set_in_any_order_and_across_a_partition() {
    for seed in 0..20 {
        let mut cluster = Cluster::new(3, seed, 0.3);
        cluster.run(1000);
        let set = cluster.set(0, "w", 0.5, HOUR);
        cluster.run(1500);
        // The third dispatcher has the set; the clear is written while it is partitioned.
        cluster.groups = vec![0, 0, 1];
        cluster.clear(1, &set.stamp.to_string());
        cluster.run(2000);
        assert_eq!(cluster.active(2).weights.len(), 1);
        cluster.groups = vec![0; 3];
        cluster.run(3000);
        cluster.assert_agreement();
        assert_eq!(cluster.active(2), ActiveOverrides::default());
    }
}

#[test]
fn a_crashed_or_restarted_dispatcher_recovers_overrides_from_peers() {
    let mut cluster = Cluster::new(3, 5, 0.3);
    cluster.run(1000);
    cluster.set(0, "w", 0.5, HOUR);
    cluster.run(1500);
    // The dispatcher that set it is gone for good; another restarts without state and learns of it from the
    // third.
    cluster.nodes[0].up = false;
    cluster.restart(1);
    cluster.run(2500);
    assert_eq!(cluster.active(1).weights, [("w".into(), 0.5)]);
    cluster.run(HOUR - 4500);
    assert_eq!(cluster.active(1).weights.len(), 1);
    cluster.run(1000);
    assert_eq!(
        (cluster.active(1), cluster.active(2)),
        (ActiveOverrides::default(), ActiveOverrides::default())
    );
}

#[test]
fn with_clocks_off_by_400_ms_overrides_expire_within_a_second_and_the_later_write_wins() {
    let mut cluster = Cluster::new(3, 9, 0.3);
    (cluster.nodes[1].clock_offset, cluster.nodes[2].clock_offset) = (400, -400);
    cluster.run(1000);
    let first = cluster.set(1, "w", 0.5, 5000);
    let end = first.until;
    cluster.run(2000);
    // Written later, by a clock that is 800 ms behind that of the first writer.
    cluster.set(2, "w", 4.0, 10_000);
    let until = cluster.entries(2)[0].record.until;
    cluster.run(2000);
    cluster.assert_agreement();
    assert_eq!(cluster.active(0).weights, [("w".into(), 4.0)]);
    assert!(until > end);
    while cluster.now < until + 1000 {
        cluster.run(100);
        if cluster.now < until - 1000 {
            (0..3).for_each(|at| assert_eq!(cluster.active(at).weights.len(), 1, "n{at} expired early"));
        }
    }
    (0..3)
        .for_each(|at| assert_eq!(cluster.active(at), ActiveOverrides::default(), "n{at} 1 s after its end"));
}

#[test]
fn an_empty_dispatcher_catches_up_with_a_thousand_overrides() {
    let mut cluster = Cluster::new(2, 3, 0.3);
    cluster.groups = vec![0, 1];
    (0..1000).for_each(|i| drop(cluster.set(0, &format!("w{i}"), 0.5, HOUR)));
    cluster.run(2000);
    cluster.groups = vec![0, 0];
    let took = cluster.time_to_agreement(20_000);
    println!("caught up with 1,000 overrides in {took} ms at 30% loss");
    cluster.assert_agreement();
}

#[test]
fn forged_replayed_and_truncated_datagrams_change_nothing_and_are_counted() {
    let mut cluster = Cluster::new(3, 11, 0.0);
    cluster.run(1000);
    let set = cluster.set(0, "w", 0.5, HOUR);
    cluster.run(1000);
    cluster.clear(0, &set.stamp.to_string());
    cluster.run(1000);
    let recorded: Vec<_> = cluster.recorded.iter().filter(|r| r.0 == 1).cloned().collect();
    // Datagrams in transit still arrive.
    cluster.groups = vec![0, 1, 2];
    cluster.run(200);
    let before = cluster.nodes[1].gossip.counts();
    let count = recorded.len() as u64;
    // Replayed to the same session: the numbers are known, or the tokens outdated.
    for (to, from, bytes) in &recorded {
        cluster.deliver(*to, *from, bytes);
    }
    let after = cluster.nodes[1].gossip.counts();
    assert_eq!((after.taken, after.learnt), (before.taken, before.learnt));
    // Replayed to a new session without state: the clear is unknown, and the set must still be rejected.
    cluster.restart(1);
    for (to, from, bytes) in &recorded {
        cluster.deliver(*to, *from, bytes);
    }
    assert_eq!((cluster.nodes[1].gossip.counts().taken, cluster.active(1)), (0, ActiveOverrides::default()));
    // Any byte modified, truncated anywhere, extended, from another address, or under another key.
    let (_, from, whole) = recorded.iter().max_by_key(|r| r.2.len()).expect("some").clone();
    for at in 0..whole.len() {
        let mut changed = whole.clone();
        changed[at] ^= 1;
        cluster.deliver(1, from, &changed);
        cluster.deliver(1, from, &whole[..at]);
    }
    let long = [&whole[..], &[0; 300]].concat();
    cluster.deliver(1, from, &long);
    cluster.deliver(1, addr(9), &whole);
    let mut other_key = Gossip::new(&[addr(1)], keys("cd"), [7; 32]);
    let set = Arc::new((*set).clone());
    other_key.announce(&set).iter().for_each(|(_, bytes)| cluster.deliver(1, from, bytes));
    let counts = cluster.nodes[1].gossip.counts();
    assert_eq!((counts.taken, counts.learnt, counts.strangers), (0, 0, 1));
    assert!(counts.malformed > 40 && counts.unauthentic > 200, "{counts:?}");
    assert!(counts.replayed > 0 && count > 0);
    assert_eq!(cluster.nodes[1].table.revision(), 0);
}

/// Delayed datagrams of a sender's earlier session must not be accepted once its new session is established.
#[test]
fn datagrams_of_an_earlier_session_are_rejected_after_a_restart() {
    let mut cluster = Cluster::new(2, 13, 0.0);
    cluster.run(1000);
    let before = cluster.recorded.len();
    cluster.groups = vec![0, 1];
    cluster.set(0, "w", 0.5, HOUR);
    let delayed: Vec<_> = cluster.recorded[before..].iter().filter(|r| r.0 == 1).cloned().collect();
    cluster.restart(0);
    cluster.groups = vec![0, 0];
    cluster.run(2000);
    let taken = cluster.nodes[1].gossip.counts().taken;
    delayed.iter().for_each(|(to, from, bytes)| cluster.deliver(*to, *from, bytes));
    assert_eq!(
        (cluster.nodes[1].gossip.counts().taken, cluster.active(1)),
        (taken, ActiveOverrides::default())
    );
}

#[test]
fn keys_can_be_rotated_without_interruption() {
    let (old, new) = ("ab".repeat(32), "cd".repeat(32));
    let ring = |text: String| KeyRing::parse(&text).expect("keys");
    let mut cluster = Cluster::new(3, 17, 0.0);
    cluster.run(1000);
    // The new key is added second, then moved to the front, then left alone, at one dispatcher after the
    // other.
    for keys in [ring(format!("{old}\n{new}")), ring(format!("{new}\n{old}")), ring(new)] {
        for at in 0..3 {
            cluster.nodes[at].gossip.rekey(keys.clone());
            cluster.set(at, "w", 0.5 + f64::from(at as u8), HOUR);
            cluster.run(1000);
            cluster.assert_agreement();
        }
    }
    let counts = cluster.nodes.iter().map(|n| n.gossip.counts().unauthentic).sum::<u64>();
    assert_eq!(counts, 0);
}

/// A report reaches every peer exactly once, and a replayed report is rejected.
#[test]
fn a_report_of_discovery_reaches_every_peer_once() {
    let mut cluster = Cluster::new(5, 19, 0.0);
    cluster.run(1000);
    let report = DiscoveryReport { version: 41 };
    let before = cluster.recorded.len();
    let out = cluster.nodes[0].gossip.report(report);
    cluster.send(0, out);
    let recorded: Vec<_> = cluster.recorded[before..].to_vec();
    cluster.run(200);
    for at in 1..5 {
        assert_eq!(cluster.nodes[at].gossip.take_reports(), [report], "n{at}");
    }
    assert_eq!(cluster.nodes[0].gossip.take_reports(), []);
    recorded.iter().for_each(|(to, from, bytes)| cluster.deliver(*to, *from, bytes));
    assert!((0..5).all(|at| cluster.nodes[at].gossip.take_reports().is_empty()));
}
