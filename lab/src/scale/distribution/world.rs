//! Simulation of the source, the relays and the dispatchers of a fleet in virtual time: the real `Publisher`, `Relay`
//! and `Subscriber` of `lineroute-distribution`, with message delay and loss, and relays that fail.

use crate::scale::histogram::Histogram;
use crate::scale::usage::ThreadTimer;
use lineroute_distribution::message::Versions;
use lineroute_distribution::publisher::{ListedWorker, Publisher};
use lineroute_distribution::record::Partition;
use lineroute_distribution::relay::{Relay, RELAY_BYTES_PER_SECOND};
use lineroute_distribution::replica::Replica;
use lineroute_distribution::subscriber::{Subscriber, SubscriberConfig};
use lineroute_distribution::timing::{Limits, Timing};
use lineroute_distribution::upstream::{PeerId, Role, Upstream};
use lineroute_distribution::worker::{Worker, WorkerState};
use lineroute_distribution::{Time, Token};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Bandwidth limit of the source: 4,000 bytes a second for each of 64 relays.
const SOURCE_BYTES_PER_SECOND: u32 = 256_000;
/// Wait time of the source's long poll of discovery, and its timeout.
const SOURCE_LONG_POLL: Duration = Duration::from_millis(200);
const SOURCE_TIMEOUT: Duration = Duration::from_millis(400);
/// Round-trip time between the source and discovery.
const DISCOVERY_ROUND_TRIP: Duration = Duration::from_millis(1);
/// Shortest and longest one-way delays within a zone, within a region, and between regions, in microseconds.
const WITHIN_ZONE: (u64, u64) = (200, 1000);
const WITHIN_REGION: (u64, u64) = (500, 3000);
const BETWEEN_REGIONS: (u64, u64) = (20_000, 80_000);
/// Time from a relay's failure until another process holds its lease and all members know: the lease time of 1.5 s, its
/// renewal, and the next query of each member.
const TAKEOVER_TIME: Duration = Duration::from_secs(4);
/// Further upstreams that each dispatcher has beside its first.
const EXTRA_UPSTREAMS: usize = 3;
/// Start time of a new dispatcher, by which the others have verified their copies.
const NEWCOMER_START: Duration = Duration::from_secs(30);
const MINUTE: Duration = Duration::from_secs(60);
/// Workers that share a cell.
const CELL_WORKERS: u32 = 8;
/// Start time of the synthetic workers, as Unix time in milliseconds.
const STARTED_MS: u64 = 1_764_600_000_000;

/// The size of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub workers: u32,
    pub dispatchers: u16,
    pub zones: u16,
    pub regions: u16,
}

/// Which dispatchers start without a list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Start {
    /// None: all have the list.
    Settled,
    /// One additional dispatcher that starts later; the others have the list.
    Newcomer,
    /// All, which start within this time.
    All(Duration),
}

/// The parameters of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    pub size: Size,
    pub start: Start,
    pub until: Time,
    /// Times at which discovery has each change, ascending.
    pub changes: Vec<Time>,
    /// Messages lost, in thousandths.
    pub lost_per_mille: u32,
    /// When the relay of the first zone fails.
    pub relay_fails_at: Option<Time>,
    pub seed: u64,
}

/// The result of a run.
#[derive(Default)]
pub struct Outcome {
    /// Time from a change at discovery until it is in force, for each dispatcher.
    pub propagation_time: Histogram,
    /// Changes that dispatchers lack at the end of the run, summed over all dispatchers.
    pub missing_changes: u64,
    /// Bytes a second of a dispatcher that is not a relay, sent and received, including headers and authentication
    /// tags.
    pub dispatcher_mean: f64,
    pub dispatcher_worst_minute: f64,
    /// The same for the relay with the most traffic, including the requests that it serves.
    pub relay_mean: f64,
    pub relay_worst_minute: f64,
    /// The same for the source, and its calls to discovery a second.
    pub source_mean: f64,
    pub source_worst_minute: f64,
    pub discovery_calls: f64,
    /// Time from a dispatcher's start until its own zone and the configuration are usable, and until it has everything.
    pub time_to_essential: Histogram,
    pub time_to_complete: Histogram,
    /// Number of times that a copy did not match the source's digest.
    pub mismatches: u64,
    /// Bytes of the names and values of the full list.
    pub list_bytes: usize,
    /// CPU time of the run per dispatcher and second, as a share of a core, including that of the simulation.
    pub core_share: f64,
}

struct Node {
    zone: u16,
    subscriber: Option<Subscriber>,
    relay: Relay,
    relay_token: Option<Token>,
    was_relay: bool,
    has_failed: bool,
    started_at: Time,
    /// It started without a list, so its start-up times are measured.
    started_empty: bool,
    has_essential: bool,
    has_complete: bool,
    /// Sequence of the last change that was counted as in force.
    applied_sequence: u64,
    wake_at: Option<Time>,
    served_bytes: u64,
    bytes_at_minute_start: u64,
    worst_minute: u64,
}

#[derive(Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Deliver { from: u16, to: u16, bytes: Vec<u8> },
    Wake(u16),
    CallDiscovery,
    DiscoveryResponds { requested_at: Time },
    Start(u16),
    RelayFails,
    ReplaceRelay,
    MinuteEnds,
}

/// The source's node number; dispatchers are numbered from 1.
const SOURCE: u16 = 0;

struct World<'a> {
    plan: &'a Plan,
    now: Time,
    publisher: Publisher,
    source_token: Token,
    source_bytes: u64,
    source_bytes_at_minute_start: u64,
    discovery_calls: u64,
    /// Number of changes that the source has published.
    published: usize,
    nodes: Vec<Node>,
    relays: Vec<u16>,
    next_token: Token,
    queue: BinaryHeap<Reverse<(Time, u64, Event)>>,
    last_id: u64,
    rng: fastrand::Rng,
    timing: Timing,
    outcome: Outcome,
}

/// Runs a simulation.
pub fn simulate(plan: &Plan) -> Outcome {
    let mut world = World::new(plan);
    let timer = ThreadTimer::start();
    while let Some(Reverse((at, _, event))) = world.queue.pop() {
        if at > plan.until {
            break;
        }
        world.now = at;
        world.handle(event);
    }
    let cpu_seconds = timer.seconds();
    let dispatchers = f64::from(plan.size.dispatchers);
    let outcome = world.end();
    Outcome { core_share: cpu_seconds / plan.until.as_secs_f64() / dispatchers, ..outcome }
}

/// A copy of the full list, as the source has it.
pub fn replica(workers: u32) -> Replica {
    let zones = crate::scale::target::ZONES as u16;
    let size = Size { workers, dispatchers: 0, zones, regions: 1 };
    let replica = Replica::new(Limits::default());
    let mut publisher = Publisher::new(replica, 1, 1, Versions::default(), Timing::default(), Time::ZERO);
    let list = (0..workers).map(|worker| listed(worker, &size, 0)).collect();
    publisher.publish_list(list).expect("the list is within the limits");
    publisher.into_replica()
}

fn listed(worker: u32, size: &Size, version: u64) -> ListedWorker {
    let [_, high, middle, low] = worker.to_be_bytes();
    let value = Worker {
        address: ([10, high, middle, low], 8080).into(),
        kind: "m".into(),
        cell: worker / CELL_WORKERS,
        state: if version.is_multiple_of(2) { WorkerState::Up } else { WorkerState::Draining },
        started_ms: STARTED_MS + u64::from(worker) + version,
        weight: 1.0,
    };
    let zone = format!("z{:02}", worker % u32::from(size.zones));
    ListedWorker { zone, name: format!("w{worker:05}"), value: value.encode() }
}

impl World<'_> {
    fn new(plan: &Plan) -> World<'_> {
        let timing = Timing::default();
        let now = Time::ZERO;
        let replica = Replica::new(Limits::default());
        let versions = Versions::default();
        let mut publisher =
            Publisher::new(replica, 1, SOURCE_BYTES_PER_SECOND, versions, timing.clone(), now);
        let list = (0..plan.size.workers).map(|worker| listed(worker, &plan.size, 0)).collect();
        publisher.publish_list(list).expect("the list is within the limits");
        publisher.confirm(now);
        let mut world = World {
            plan,
            now,
            publisher,
            source_token: 1,
            source_bytes: 0,
            source_bytes_at_minute_start: 0,
            discovery_calls: 0,
            published: 0,
            nodes: Vec::new(),
            relays: Vec::new(),
            next_token: 1,
            queue: BinaryHeap::new(),
            last_id: 0,
            rng: fastrand::Rng::with_seed(plan.seed),
            timing,
            outcome: Outcome::default(),
        };
        world.outcome.list_bytes = world.publisher.replica().record_bytes();
        world.start();
        world
    }

    fn start(&mut self) {
        let Size { dispatchers, zones, .. } = self.plan.size;
        for number in 1..=dispatchers + u16::from(self.plan.start == Start::Newcomer) {
            let zone = (number - 1) % zones;
            let is_newcomer = number > dispatchers;
            let start_time = match self.plan.start {
                Start::Settled => Time::ZERO,
                Start::Newcomer if is_newcomer => NEWCOMER_START,
                Start::Newcomer => Time::ZERO,
                Start::All(span) => Duration::from_micros(
                    self.rng.u64(0..=u64::try_from(span.as_micros()).unwrap_or(u64::MAX)),
                ),
            };
            if usize::from(zone) == self.relays.len() {
                self.relays.push(number);
            }
            self.nodes.push(Node {
                zone,
                subscriber: None,
                relay: Relay::new(RELAY_BYTES_PER_SECOND, Versions::default(), &self.timing, self.now),
                relay_token: None,
                was_relay: false,
                has_failed: false,
                started_at: start_time,
                started_empty: is_newcomer || matches!(self.plan.start, Start::All(_)),
                has_essential: false,
                has_complete: false,
                applied_sequence: self.sequence(),
                wake_at: None,
                served_bytes: 0,
                bytes_at_minute_start: 0,
                worst_minute: 0,
            });
            self.push(start_time, Event::Start(number));
        }
        for relay in self.relays.clone() {
            self.grant_relay_lease(relay);
        }
        self.push(self.now, Event::CallDiscovery);
        self.push(MINUTE, Event::MinuteEnds);
        if let Some(at) = self.plan.relay_fails_at {
            self.push(at, Event::RelayFails);
        }
    }

    fn sequence(&self) -> u64 {
        self.publisher.replica().position().map_or(0, |position| position.sequence)
    }

    fn node(&mut self, number: u16) -> &mut Node {
        &mut self.nodes[usize::from(number) - 1]
    }

    fn grant_relay_lease(&mut self, relay: u16) {
        self.next_token += 1;
        let token = self.next_token;
        let node = self.node(relay);
        node.relay_token = Some(token);
        node.was_relay = true;
    }

    fn push(&mut self, at: Time, event: Event) {
        self.last_id += 1;
        self.queue.push(Reverse((at, self.last_id, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Deliver { from, to: SOURCE, bytes } => self.serve_at_source(from, &bytes),
            Event::Deliver { from, to, bytes } => self.deliver(from, to, &bytes),
            Event::Wake(number) => self.wake(number),
            Event::CallDiscovery => self.call_discovery(),
            Event::DiscoveryResponds { requested_at } => self.publish(requested_at),
            Event::Start(number) => self.start_dispatcher(number),
            Event::RelayFails => {
                let relay = self.relays[0];
                self.node(relay).has_failed = true;
                self.push(self.now + TAKEOVER_TIME, Event::ReplaceRelay);
            }
            Event::ReplaceRelay => self.replace_relay(),
            Event::MinuteEnds => self.end_minute(),
        }
    }

    fn start_dispatcher(&mut self, number: u16) {
        let zone = self.node(number).zone;
        let own = Partition::Zone(format!("z{zone:02}"));
        let config = SubscriberConfig {
            priority: vec![Partition::Configuration, own],
            essential_partitions: 2,
            timing: self.timing.clone(),
            limits: Limits::default(),
            versions: Versions::default(),
            seed: self.rng.u64(..),
        };
        let stored = (!self.node(number).started_empty).then(|| self.publisher.replica().clone());
        let subscriber = Subscriber::new(config, stored, self.now);
        self.node(number).subscriber = Some(subscriber);
        self.set_upstreams(number);
    }

    /// Sets a dispatcher's upstreams: the relay of its zone, or the source if it is that relay itself, then the nearest
    /// other relays.
    fn set_upstreams(&mut self, number: u16) {
        let Size { zones, regions, .. } = self.plan.size;
        let zone = self.node(number).zone;
        let mut upstreams = Vec::new();
        if self.relays[usize::from(zone)] == number {
            upstreams.push(Upstream { peer: PeerId(SOURCE), role: Role::Source, token: self.source_token });
        }
        let mut others: Vec<u16> = (0..zones).collect();
        others.sort_by_key(|other| {
            (*other != zone, other % regions != zone % regions, (other + zones - zone) % zones)
        });
        for other in others {
            let relay = self.relays[usize::from(other)];
            let token = self.node(relay).relay_token.unwrap_or(0);
            if relay != number && upstreams.len() <= EXTRA_UPSTREAMS {
                upstreams.push(Upstream { peer: PeerId(relay), role: Role::Relay(other), token });
            }
        }
        if let Some(subscriber) = &mut self.node(number).subscriber {
            subscriber.set_upstreams(&upstreams);
        }
        self.schedule(number);
    }

    fn replace_relay(&mut self) {
        let old = self.relays[0];
        let zone = self.node(old).zone;
        let next = (1..=self.nodes.len() as u16).find(|number| {
            let node = &self.nodes[usize::from(*number) - 1];
            node.zone == zone && !node.has_failed && node.subscriber.is_some()
        });
        let Some(next) = next else { return };
        self.relays[0] = next;
        self.grant_relay_lease(next);
        (1..=self.nodes.len() as u16).for_each(|number| self.set_upstreams(number));
    }

    fn schedule(&mut self, number: u16) {
        let now = self.now;
        let node = self.node(number);
        let Some(subscriber) = &mut node.subscriber else { return };
        let at = subscriber.wake_at(now).max(now + Duration::from_micros(100));
        if node.wake_at.is_none_or(|wake_at| at < wake_at) {
            node.wake_at = Some(at);
            self.push(at, Event::Wake(number));
        }
    }

    fn wake(&mut self, number: u16) {
        let now = self.now;
        let node = self.node(number);
        if node.wake_at.is_none_or(|wake_at| wake_at > now) {
            return;
        }
        node.wake_at = None;
        self.poll_subscriber(number);
    }

    fn poll_subscriber(&mut self, number: u16) {
        let now = self.now;
        let node = self.node(number);
        if node.has_failed {
            return;
        }
        let Some(subscriber) = &mut node.subscriber else { return };
        if let Some(transmit) = subscriber.poll(now) {
            self.send(number, transmit.to.0, transmit.bytes);
        }
        self.schedule(number);
    }

    fn send(&mut self, from: u16, to: u16, bytes: Vec<u8>) {
        if self.rng.u32(..1000) < self.plan.lost_per_mille {
            return;
        }
        let span = self.latency_range(from, to);
        let latency = Duration::from_micros(self.rng.u64(span.0..=span.1));
        self.push(self.now + latency, Event::Deliver { from, to, bytes });
    }

    fn latency_range(&mut self, from: u16, to: u16) -> (u64, u64) {
        let regions = self.plan.size.regions;
        // The source is in the first zone.
        let zone = |world: &mut Self, number| if number == SOURCE { 0 } else { world.node(number).zone };
        let (a, b) = (zone(self, from), zone(self, to));
        match a == b {
            true => WITHIN_ZONE,
            false if a % regions == b % regions => WITHIN_REGION,
            false => BETWEEN_REGIONS,
        }
    }

    fn overhead(&self) -> u64 {
        u64::from(self.timing.message_overhead)
    }

    fn serve_at_source(&mut self, from: u16, bytes: &[u8]) {
        let request_bytes = bytes.len() as u64 + self.overhead();
        self.source_bytes += request_bytes;
        if let Some(response) = self.publisher.serve(self.now, Some(self.source_token), bytes) {
            self.source_bytes += response.len() as u64 + self.overhead();
            self.send(SOURCE, from, response);
        }
    }

    fn deliver(&mut self, from: u16, to: u16, bytes: &[u8]) {
        let (now, overhead) = (self.now, self.overhead());
        let node = self.node(to);
        let (false, Some(subscriber)) = (node.has_failed, &mut node.subscriber) else { return };
        let is_response = bytes.get(1).is_some_and(|kind| *kind >= 128);
        if is_response {
            // The subscriber counts rejected messages itself.
            let _ = subscriber.receive(now, PeerId(from), bytes);
            self.record_progress(to);
            self.poll_subscriber(to);
            return;
        }
        let copy = (subscriber.replica(), subscriber.log_age(now));
        let response = node.relay.serve(now, node.relay_token, copy, bytes);
        node.served_bytes += bytes.len() as u64 + overhead;
        if let Some(response) = response {
            node.served_bytes += response.len() as u64 + overhead;
            self.send(to, from, response);
        }
    }

    /// Records the changes that have come into force at a dispatcher, and its start-up times.
    fn record_progress(&mut self, number: u16) {
        let now = self.now;
        let first = self.plan.size.workers as u64;
        let plan = self.plan;
        let (node, outcome) = (&mut self.nodes[usize::from(number) - 1], &mut self.outcome);
        let Some(subscriber) = &node.subscriber else { return };
        let milliseconds = |span: Duration| u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        if node.started_empty && !node.has_essential && subscriber.essential_age(now).is_some() {
            node.has_essential = true;
            outcome.time_to_essential.add(milliseconds(now - node.started_at));
        }
        if node.started_empty && !node.has_complete && subscriber.age(now).is_some() {
            node.has_complete = true;
            outcome.time_to_complete.add(milliseconds(now - node.started_at));
        }
        let replica = subscriber.replica();
        let sequence = replica.position().map_or(0, |position| position.sequence);
        if sequence <= node.applied_sequence || !replica.is_complete() {
            return;
        }
        for number in node.applied_sequence + 1..=sequence {
            // The initial list used one sequence number per worker.
            let change = plan.changes.get((number - first - 1) as usize);
            if let Some(at) = change.filter(|at| **at >= node.started_at) {
                outcome.propagation_time.add(milliseconds(now - *at));
            }
        }
        node.applied_sequence = sequence;
    }

    fn call_discovery(&mut self) {
        self.discovery_calls += 1;
        let now = self.now;
        let lost_per_mille = |world: &mut Self| world.rng.u32(..1000) < world.plan.lost_per_mille;
        if lost_per_mille(self) || lost_per_mille(self) {
            self.push(now + SOURCE_TIMEOUT, Event::CallDiscovery);
            return;
        }
        let next = self.plan.changes.get(self.published).copied().unwrap_or(Time::MAX);
        let at = next.clamp(now, now + SOURCE_LONG_POLL) + DISCOVERY_ROUND_TRIP;
        self.push(at, Event::DiscoveryResponds { requested_at: now });
    }

    fn publish(&mut self, requested_at: Time) {
        while let Some(_at) = self.plan.changes.get(self.published).filter(|at| **at <= self.now) {
            let version = self.published as u64 + 1;
            // Each change sets a worker to draining or back to up.
            let worker = self.rng.u32(..self.plan.size.workers);
            let changed = listed(worker, &self.plan.size, version);
            self.publisher.publish_worker(changed).expect("the log has room");
            self.published += 1;
        }
        self.publisher.confirm(requested_at);
        self.push(self.now, Event::CallDiscovery);
    }

    fn end_minute(&mut self) {
        for node in &mut self.nodes {
            let bytes = node.served_bytes + node.subscriber.as_ref().map_or(0, |s| s.counts().bytes);
            node.worst_minute = node.worst_minute.max(bytes - node.bytes_at_minute_start);
            node.bytes_at_minute_start = bytes;
        }
        let in_minute = (self.source_bytes - self.source_bytes_at_minute_start) as f64 / MINUTE.as_secs_f64();
        self.outcome.source_worst_minute = self.outcome.source_worst_minute.max(in_minute);
        self.source_bytes_at_minute_start = self.source_bytes;
        self.push(self.now + MINUTE, Event::MinuteEnds);
    }

    fn end(mut self) -> Outcome {
        let seconds = self.plan.until.as_secs_f64();
        let sequence = self.sequence();
        let mut outcome = std::mem::take(&mut self.outcome);
        let (mut bytes, mut dispatchers) = (0.0, 0.0);
        for node in self.nodes.iter().filter(|node| !node.has_failed) {
            let Some(subscriber) = &node.subscriber else { continue };
            outcome.missing_changes += sequence - node.applied_sequence;
            outcome.mismatches += subscriber.counts().mismatches;
            let bytes_per_second = (node.served_bytes + subscriber.counts().bytes) as f64 / seconds;
            let worst = node.worst_minute as f64 / MINUTE.as_secs_f64();
            if node.was_relay {
                outcome.relay_mean = outcome.relay_mean.max(bytes_per_second);
                outcome.relay_worst_minute = outcome.relay_worst_minute.max(worst);
            } else {
                (bytes, dispatchers) = (bytes + bytes_per_second, dispatchers + 1.0);
                outcome.dispatcher_worst_minute = outcome.dispatcher_worst_minute.max(worst);
            }
        }
        outcome.dispatcher_mean = bytes / f64::max(dispatchers, 1.0);
        outcome.source_mean = self.source_bytes as f64 / seconds;
        outcome.discovery_calls = self.discovery_calls as f64 / seconds;
        outcome
    }
}
