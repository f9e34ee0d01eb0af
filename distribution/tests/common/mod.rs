//! A simulated network in virtual time: one source, members in zones of which some are relays, and messages that are
//! lost, duplicated, delayed, truncated, or blocked. The same seed gives the same run.
#![allow(dead_code)]

use lineroute_distribution::message::Versions;
use lineroute_distribution::publisher::{ListedWorker, Publisher};
use lineroute_distribution::record::Partition;
use lineroute_distribution::relay::{Relay, RELAY_BYTES_PER_SECOND};
use lineroute_distribution::subscriber::{Freshness, Subscriber, SubscriberConfig};
use lineroute_distribution::timing::{Limits, Timing};
use lineroute_distribution::upstream::{PeerId, Role, Upstream};
use lineroute_distribution::{Time, Token};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

/// The send rate of the source in these tests.
const SOURCE_BYTES_PER_SECOND: u32 = 256_000;
/// How often discovery confirms the source's records.
const CONFIRM_EVERY: Duration = Duration::from_millis(500);
/// The number of other relays that a member is given besides its own relay.
const MAX_OTHER_RELAYS: usize = 3;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// The time within which changes must take effect at the size of these tests.
pub const CONVERGENCE_LIMIT: Duration = Duration::from_secs(14);

pub struct Node {
    pub zone: usize,
    pub subscriber: Subscriber,
    relay: Relay,
    pub relay_token: Option<Token>,
    pub publisher: Option<Publisher>,
    pub source_token: Option<Token>,
    /// Messages queued while the process is paused; `None` while it runs.
    paused: Option<Vec<(usize, Vec<u8>)>>,
    is_killed: bool,
    wake: Option<Time>,
    /// Rejected replies by error message.
    pub rejections: BTreeMap<String, u64>,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Deliver { from: usize, to: usize, bytes: Vec<u8> },
    Wake(usize),
    Confirm,
}

/// Faults of the network, as probabilities in parts of 1,000.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub lost: u32,
    pub duplicated: u32,
    pub truncated: u32,
    /// The maximum latency; the minimum is one millisecond.
    pub latency_ms: u64,
}

pub struct Simulation {
    pub now: Time,
    pub nodes: Vec<Node>,
    pub faults: Faults,
    /// Directed links that deliver nothing.
    pub blocked_links: BTreeSet<(usize, usize)>,
    pub zones: usize,
    pub source: usize,
    relays: Vec<usize>,
    last_token: Token,
    queue: BinaryHeap<Reverse<(Time, u64, Event)>>,
    events: u64,
    random: fastrand::Rng,
    pub versions: Vec<Versions>,
    pub limits: Limits,
    pub timing: Timing,
    pub discovery_is_reachable: bool,
}

pub fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}

pub fn worker(zone: usize, number: usize, value: &str) -> ListedWorker {
    ListedWorker {
        zone: zone_name(zone),
        name: format!("w-{zone}-{number}"),
        value: value.as_bytes().to_vec(),
    }
}

pub fn list(zones: usize, workers: usize) -> Vec<ListedWorker> {
    let of_zone = |zone| (0..workers).map(move |number| worker(zone, number, "up"));
    (0..zones).flat_map(of_zone).collect()
}

impl Simulation {
    /// Node 0 is the source. The members of each zone follow; the first member of a zone is its relay.
    pub fn new(zones: usize, members: usize, workers: usize, seed: u64) -> Simulation {
        Simulation::with(zones, members, workers, seed, Limits::default(), &[])
    }

    pub fn with(
        zones: usize,
        members: usize,
        workers: usize,
        seed: u64,
        limits: Limits,
        versions: &[Versions],
    ) -> Simulation {
        let mut simulation = Simulation {
            now: seconds(1),
            nodes: Vec::new(),
            faults: Faults { latency_ms: 5, ..Faults::default() },
            blocked_links: BTreeSet::new(),
            zones,
            source: 0,
            relays: Vec::new(),
            last_token: 100,
            queue: BinaryHeap::new(),
            events: 0,
            random: fastrand::Rng::with_seed(seed),
            versions: versions.to_vec(),
            limits,
            timing: Timing::default(),
            discovery_is_reachable: true,
        };
        simulation.add_node(0);
        for zone in 0..zones {
            simulation.relays.push(simulation.nodes.len());
            for _ in 0..members {
                simulation.add_node(zone);
            }
        }
        simulation.start_source(0, list(zones, workers));
        for relay in simulation.relays.clone() {
            let token = simulation.next_token();
            simulation.nodes[relay].relay_token = Some(token);
        }
        simulation.push(simulation.now, Event::Confirm);
        simulation.update_all_upstreams();
        simulation
    }

    pub fn next_token(&mut self) -> Token {
        self.last_token += 1;
        self.last_token
    }

    pub fn add_node(&mut self, zone: usize) -> usize {
        let number = self.nodes.len();
        let versions = self.versions.get(number).copied().unwrap_or_default();
        let seed = self.random.u64(..);
        let config = self.config(zone, seed, versions);
        let node = Node {
            zone,
            subscriber: Subscriber::new(config, None, self.now),
            relay: Relay::new(RELAY_BYTES_PER_SECOND, versions, &self.timing, self.now),
            relay_token: None,
            publisher: None,
            source_token: None,
            paused: None,
            is_killed: false,
            wake: None,
            rejections: BTreeMap::new(),
        };
        self.nodes.push(node);
        self.update_upstreams(number);
        number
    }

    fn config(&self, zone: usize, seed: u64, versions: Versions) -> SubscriberConfig {
        SubscriberConfig {
            priority: vec![Partition::Configuration, Partition::Zone(zone_name(zone))],
            essential_partitions: 2,
            timing: self.timing.clone(),
            limits: self.limits.clone(),
            versions,
            seed,
        }
    }

    /// Restarts a process without any state.
    pub fn restart(&mut self, number: usize) {
        let zone = self.nodes[number].zone;
        let versions = self.versions.get(number).copied().unwrap_or_default();
        let seed = self.random.u64(..);
        let config = self.config(zone, seed, versions);
        let node = &mut self.nodes[number];
        node.subscriber = Subscriber::new(config, None, self.now);
        (node.is_killed, node.paused, node.relay_token, node.wake) = (false, None, None, None);
        self.update_upstreams(number);
    }

    pub fn kill(&mut self, number: usize) {
        self.nodes[number].is_killed = true;
    }

    pub fn pause(&mut self, number: usize) {
        self.nodes[number].paused = Some(Vec::new());
    }

    /// Resumes a paused process, which first handles the messages queued meanwhile.
    pub fn resume(&mut self, number: usize) {
        let waiting = self.nodes[number].paused.take().unwrap_or_default();
        waiting.into_iter().for_each(|(from, bytes)| self.deliver(from, number, &bytes));
        self.poll_subscriber(number);
    }

    /// Grants the source lease to a process, which keeps its records. Discovery reports this list to it.
    pub fn start_source(&mut self, number: usize, list: Vec<ListedWorker>) {
        let token = self.next_token();
        self.source = number;
        let node = &mut self.nodes[number];
        let replica = match node.publisher.take() {
            Some(publisher) => publisher.into_replica(),
            None => node.subscriber.replica().clone(),
        };
        let versions = self.versions.get(number).copied().unwrap_or_default();
        let mut publisher =
            Publisher::new(replica, token, SOURCE_BYTES_PER_SECOND, versions, self.timing.clone(), self.now);
        publisher.publish_list(list).expect("within limits");
        publisher.confirm(self.now);
        node.publisher = Some(publisher);
        node.source_token = Some(token);
        self.update_all_upstreams();
    }

    pub fn publisher(&mut self) -> &mut Publisher {
        let source = self.source;
        self.nodes[source].publisher.as_mut().expect("the source has a publisher")
    }

    pub fn relay_of(&self, zone: usize) -> usize {
        self.relays[zone]
    }

    /// Grants the relay lease of its zone to a process. The previous holder is not notified.
    pub fn grant_relay_lease(&mut self, number: usize) {
        let token = self.next_token();
        self.relays[self.nodes[number].zone] = number;
        self.nodes[number].relay_token = Some(token);
        self.update_all_upstreams();
    }

    /// Tells all nodes who holds which lease.
    pub fn update_all_upstreams(&mut self) {
        (0..self.nodes.len()).for_each(|number| self.update_upstreams(number));
    }

    /// Tells one node who holds which lease.
    pub fn update_upstreams(&mut self, number: usize) {
        let zone = self.nodes[number].zone;
        let is_relay = self.relays.get(zone) == Some(&number);
        let mut upstreams = Vec::new();
        if is_relay {
            upstreams.push(self.upstream(self.source, Role::Source));
        }
        let near_first = (0..self.zones).map(|step| (zone + step) % self.zones);
        let known = near_first.filter_map(|zone| Some((zone, *self.relays.get(zone)?)));
        let others = known.filter(|(_, relay)| *relay != number);
        upstreams.extend(
            others.take(MAX_OTHER_RELAYS).map(|(zone, relay)| self.upstream(relay, Role::Relay(zone as u16))),
        );
        upstreams.retain(|upstream| upstream.token > 0);
        if self.nodes[number].publisher.is_some() && number == self.source {
            // The source follows discovery only.
            upstreams.clear();
        }
        self.nodes[number].subscriber.set_upstreams(&upstreams);
        self.schedule(number);
    }

    fn upstream(&self, number: usize, role: Role) -> Upstream {
        let node = &self.nodes[number];
        let token = match role {
            Role::Source => node.source_token,
            Role::Relay(_) => node.relay_token,
        };
        Upstream { peer: PeerId(number as u16), role, token: token.unwrap_or(0) }
    }

    pub fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(Reverse((at, _, _))) = self.queue.peek() {
            if *at > end {
                break;
            }
            let Some(Reverse((at, _, event))) = self.queue.pop() else { break };
            self.now = self.now.max(at);
            self.handle_event(event);
        }
        self.now = end;
    }

    /// Runs until a condition holds and returns the elapsed time. Panics after the time limit.
    pub fn run_until(
        &mut self,
        limit: Duration,
        what: &str,
        condition: impl Fn(&Simulation) -> bool,
    ) -> Duration {
        let began = self.now;
        while !condition(self) {
            assert!(self.now < began + limit, "{what}: not within {limit:?}");
            self.run_for(ms(50));
        }
        self.now - began
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Deliver { from, to, bytes } => self.deliver(from, to, &bytes),
            Event::Wake(number) => {
                // A later wake-up may have been replaced by an earlier one.
                if self.nodes[number].wake.is_some_and(|at| at <= self.now) {
                    self.nodes[number].wake = None;
                    self.poll_subscriber(number);
                }
            }
            Event::Confirm => {
                let (now, source) = (self.now, self.source);
                let node = &mut self.nodes[source];
                let runs = !node.is_killed && node.paused.is_none() && self.discovery_is_reachable;
                if let Some(publisher) = node.publisher.as_mut().filter(|_| runs) {
                    publisher.confirm(now);
                }
                self.push(now + CONFIRM_EVERY, Event::Confirm);
            }
        }
    }

    fn poll_subscriber(&mut self, number: usize) {
        let now = self.now;
        let node = &mut self.nodes[number];
        if node.is_killed || node.paused.is_some() {
            return;
        }
        if let Some(transmit) = node.subscriber.poll(now) {
            self.send(number, usize::from(transmit.to.0), transmit.bytes);
        }
        self.schedule(number);
    }

    fn schedule(&mut self, number: usize) {
        // Prevents an endless loop at one instant, whatever the subscriber asks for.
        let at = self.nodes[number].subscriber.wake_at(self.now).max(self.now + ms(1));
        let node = &mut self.nodes[number];
        if node.wake.is_none_or(|wake| at < wake) {
            node.wake = Some(at);
            self.push(at, Event::Wake(number));
        }
    }

    /// Delivers bytes to a node as if they came from another node.
    pub fn deliver(&mut self, from: usize, to: usize, bytes: &[u8]) {
        let now = self.now;
        let node = &mut self.nodes[to];
        if node.is_killed {
            return;
        }
        if let Some(waiting) = &mut node.paused {
            waiting.push((from, bytes.to_vec()));
            return;
        }
        let is_answer = bytes.get(1).is_some_and(|kind| *kind >= 128);
        if is_answer {
            if let Err(error) = node.subscriber.receive(now, PeerId(from as u16), bytes) {
                let words: String = error.to_string().chars().filter(|c| !c.is_ascii_digit()).collect();
                *node.rejections.entry(words).or_default() += 1;
            }
            self.poll_subscriber(to);
            return;
        }
        let as_source = node.publisher.as_mut().and_then(|p| p.serve(now, node.source_token, bytes));
        let is_refused = as_source.as_ref().is_none_or(|bytes| is_not_serving(bytes));
        // A process that is also the source serves the source's replica; a source that was replaced follows like any
        // other.
        let copies = (node.publisher.as_ref(), &node.subscriber);
        let copy = match copies {
            (Some(publisher), subscriber)
                if publisher.replica().position() >= subscriber.replica().position() =>
            {
                (publisher.replica(), publisher.age(now))
            }
            (_, subscriber) => (subscriber.replica(), subscriber.log_age(now)),
        };
        let as_relay = node.relay.serve(now, node.relay_token, copy, bytes);
        let reply = if is_refused { as_relay.or(as_source) } else { as_source };
        if let Some(reply) = reply {
            self.send(to, from, reply);
        }
    }

    fn send(&mut self, from: usize, to: usize, mut bytes: Vec<u8>) {
        if self.blocked_links.contains(&(from, to)) || self.random.u32(..1000) < self.faults.lost {
            return;
        }
        if self.random.u32(..1000) < self.faults.truncated {
            let length = self.random.usize(..=bytes.len());
            bytes.truncate(length);
        }
        let copies = 1 + usize::from(self.random.u32(..1000) < self.faults.duplicated);
        for _ in 0..copies {
            let latency =
                ms(1) + Duration::from_micros(self.random.u64(..=self.faults.latency_ms.max(1) * 1000));
            self.push(self.now + latency, Event::Deliver { from, to, bytes: bytes.clone() });
        }
    }

    fn push(&mut self, at: Time, event: Event) {
        self.events += 1;
        self.queue.push(Reverse((at, self.events, event)));
    }

    /// Blocks all links between two sets of nodes in both directions.
    pub fn disconnect(&mut self, first: &[usize], others: &[usize]) {
        for a in first {
            for b in others {
                self.blocked_links.insert((*a, *b));
                self.blocked_links.insert((*b, *a));
            }
        }
    }

    pub fn is_running(&self, number: usize) -> bool {
        !self.nodes[number].is_killed && self.nodes[number].paused.is_none()
    }

    /// Whether a node has the source's records and knows it.
    pub fn is_up_to_date(&self, number: usize) -> bool {
        let source =
            self.nodes[self.source].publisher.as_ref().expect("the source has a publisher").replica();
        let replica = self.nodes[number].subscriber.replica();
        replica.is_complete()
            && replica.digest() == source.digest()
            && self.nodes[number].subscriber.freshness(self.now) == Freshness::Fresh
    }

    /// Whether all running nodes except the source have the source's records.
    pub fn is_converged(&self) -> bool {
        let mut others =
            (0..self.nodes.len()).filter(|number| *number != self.source && self.is_running(*number));
        others.all(|number| self.is_up_to_date(number))
    }

    /// Compares record by record, since the digests are part of what is tested.
    pub fn assert_same_records(&self) {
        let source =
            self.nodes[self.source].publisher.as_ref().expect("the source has a publisher").replica();
        let records: Vec<_> = source.records().collect();
        for number in
            (0..self.nodes.len()).filter(|number| *number != self.source && self.is_running(*number))
        {
            let copy: Vec<_> = self.nodes[number].subscriber.replica().records().collect();
            assert!(copy == records, "node {number} has {} records of {}", copy.len(), records.len());
        }
    }

    pub fn run_until_converged(&mut self, limit: Duration, what: &str) -> Duration {
        let elapsed = self.run_until(limit, what, Simulation::is_converged);
        self.assert_same_records();
        elapsed
    }

    pub fn rejection_count(&self, number: usize, words: &str) -> u64 {
        self.nodes[number]
            .rejections
            .iter()
            .filter(|(error, _)| error.contains(words))
            .map(|(_, count)| count)
            .sum()
    }
}

fn is_not_serving(bytes: &[u8]) -> bool {
    use lineroute_distribution::message::{Message, Reply, ReplyBody};
    let all = Versions { lowest: 0, highest: u8::MAX };
    matches!(Message::decode(bytes, all), Ok((_, Message::Reply(Reply { body: ReplyBody::NotServing, .. }))))
}
