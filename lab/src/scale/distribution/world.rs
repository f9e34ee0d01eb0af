//! The source, relays and hollow dispatchers of a fleet in virtual time: the real `Publisher`, `Relay` and `Subscriber`
//! of `lineroute-distribution`, messages that take their time and get lost, relays that die.

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

/// What the source sends at most: four thousand bytes a second for each of 64 relays.
const SOURCE_BYTES_PER_SECOND: u32 = 256_000;
/// The source's watch of discovery waits for news so long, and is given up after so long.
const SOURCE_WAIT: Duration = Duration::from_millis(200);
const SOURCE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time from the source to discovery and back.
const DISCOVERY_ROUND_TRIP: Duration = Duration::from_millis(1);
/// One-way times within a zone, within a region, and between regions, in microseconds.
const WITHIN_ZONE: (u64, u64) = (200, 1000);
const WITHIN_REGION: (u64, u64) = (500, 3000);
const BETWEEN_REGIONS: (u64, u64) = (20_000, 80_000);
/// From a relay's death until another process has its lease and all are told: a lease of 1.5 s, its renewal, and the
/// next question of each member.
const TAKEOVER: Duration = Duration::from_secs(4);
/// Upstreams that each is given beside its own relay.
const SIBLINGS: usize = 3;
/// A newcomer starts when the others have verified what they hold.
const NEWCOMER_AT: Duration = Duration::from_secs(30);
const MINUTE: Duration = Duration::from_secs(60);
/// Workers that share a cell.
const CELL: u32 = 8;
/// Unix time in milliseconds at which the made-up workers began.
const STARTED: u64 = 1_764_600_000_000;

/// How large a fleet is.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub workers: u32,
    pub dispatchers: u16,
    pub zones: u16,
    pub regions: u16,
}

/// What begins without a list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Start {
    /// Everybody has the list.
    Settled,
    /// One more dispatcher starts, once the others are settled.
    Newcomer,
    /// Everybody starts within this time.
    Everybody(Duration),
}

/// A run.
#[derive(Clone, Debug)]
pub struct Plan {
    pub size: Size,
    pub start: Start,
    pub until: Time,
    /// When discovery has each change, ascending.
    pub changes: Vec<Time>,
    /// Messages lost, of 1,000.
    pub lost: u32,
    /// The relay of the first zone dies then.
    pub relay_dies_at: Option<Time>,
    pub seed: u64,
}

/// What a run comes to.
#[derive(Default)]
pub struct Outcome {
    /// From discovery's change until each dispatcher had it in force.
    pub in_force_after: Histogram,
    /// Changes that some dispatcher lacks at the end.
    pub behind: u64,
    /// Bytes a second of a dispatcher that is no relay, both ways, headers and tags included.
    pub dispatcher_mean: f64,
    pub dispatcher_worst_minute: f64,
    /// The same of the relay that had most, with what it serves.
    pub relay_mean: f64,
    pub relay_worst_minute: f64,
    /// The same of the source, and its calls of discovery a second.
    pub source_mean: f64,
    pub source_worst_minute: f64,
    pub discovery_calls: f64,
    /// From a start until the own zone and the configuration were usable, and until all was known.
    pub essential_after: Histogram,
    pub complete_after: Histogram,
    /// Times that a copy was not what the source's digest said.
    pub mismatches: u64,
    /// Bytes of names and values of the whole list.
    pub list_bytes: usize,
    /// Processor time of the run for each dispatcher and each second, as a part of a core: the simulation included.
    pub core_share: f64,
}

struct Node {
    zone: u16,
    subscriber: Option<Subscriber>,
    relay: Relay,
    relay_token: Option<Token>,
    was_relay: bool,
    is_dead: bool,
    started_at: Time,
    /// It began without a list: how soon it knows what is counted.
    began_empty: bool,
    is_essential: bool,
    is_complete: bool,
    /// The last change that was counted as in force.
    in_force: u64,
    wake: Option<Time>,
    served: u64,
    minute_began: u64,
    worst_minute: u64,
}

#[derive(Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Deliver { from: u16, to: u16, bytes: Vec<u8> },
    Wake(u16),
    AskDiscovery,
    DiscoveryAnswers { asked_at: Time },
    Start(u16),
    RelayDies,
    RelayReplaced,
    Minute,
}

/// The source's number; dispatchers follow.
const SOURCE: u16 = 0;

struct World<'a> {
    plan: &'a Plan,
    now: Time,
    publisher: Publisher,
    source_token: Token,
    source_bytes: u64,
    source_minute: u64,
    discovery_calls: u64,
    /// Changes that the source has published.
    published: usize,
    nodes: Vec<Node>,
    relays: Vec<u16>,
    next_token: Token,
    queue: BinaryHeap<Reverse<(Time, u64, Event)>>,
    count: u64,
    random: fastrand::Rng,
    timing: Timing,
    outcome: Outcome,
}

/// Plays a run.
pub fn play(plan: &Plan) -> Outcome {
    let mut world = World::new(plan);
    let timer = ThreadTimer::start();
    while let Some(Reverse((at, _, event))) = world.queue.pop() {
        if at > plan.until {
            break;
        }
        world.now = at;
        world.happen(event);
    }
    let spent = timer.seconds();
    let dispatchers = f64::from(plan.size.dispatchers);
    let outcome = world.end();
    Outcome { core_share: spent / plan.until.as_secs_f64() / dispatchers, ..outcome }
}

/// A copy of the whole list, as the source has it.
pub fn replica(workers: u32) -> Replica {
    let zones = crate::scale::target::ZONES as u16;
    let size = Size { workers, dispatchers: 0, zones, regions: 1 };
    let replica = Replica::new(Limits::default());
    let mut publisher = Publisher::new(replica, 1, 1, Versions::default(), Timing::default(), Time::ZERO);
    let list = (0..workers).map(|worker| listed(worker, &size, 0)).collect();
    publisher.publish_list(list).expect("the list is within bounds");
    publisher.into_replica()
}

fn listed(worker: u32, size: &Size, version: u64) -> ListedWorker {
    let [_, high, middle, low] = worker.to_be_bytes();
    let value = Worker {
        address: ([10, high, middle, low], 8080).into(),
        kind: "m".into(),
        cell: worker / CELL,
        state: if version.is_multiple_of(2) { WorkerState::Up } else { WorkerState::Draining },
        started_ms: STARTED + u64::from(worker) + version,
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
        publisher.publish_list(list).expect("the list is within bounds");
        publisher.confirm(now);
        let mut world = World {
            plan,
            now,
            publisher,
            source_token: 1,
            source_bytes: 0,
            source_minute: 0,
            discovery_calls: 0,
            published: 0,
            nodes: Vec::new(),
            relays: Vec::new(),
            next_token: 1,
            queue: BinaryHeap::new(),
            count: 0,
            random: fastrand::Rng::with_seed(plan.seed),
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
            let starts_at = match self.plan.start {
                Start::Settled => Time::ZERO,
                Start::Newcomer if is_newcomer => NEWCOMER_AT,
                Start::Newcomer => Time::ZERO,
                Start::Everybody(span) => Duration::from_micros(
                    self.random.u64(0..=u64::try_from(span.as_micros()).unwrap_or(u64::MAX)),
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
                is_dead: false,
                started_at: starts_at,
                began_empty: is_newcomer || matches!(self.plan.start, Start::Everybody(_)),
                is_essential: false,
                is_complete: false,
                in_force: self.sequence(),
                wake: None,
                served: 0,
                minute_began: 0,
                worst_minute: 0,
            });
            self.push(starts_at, Event::Start(number));
        }
        for relay in self.relays.clone() {
            self.grant(relay);
        }
        self.push(self.now, Event::AskDiscovery);
        self.push(MINUTE, Event::Minute);
        if let Some(at) = self.plan.relay_dies_at {
            self.push(at, Event::RelayDies);
        }
    }

    fn sequence(&self) -> u64 {
        self.publisher.replica().position().map_or(0, |position| position.sequence)
    }

    fn node(&mut self, number: u16) -> &mut Node {
        &mut self.nodes[usize::from(number) - 1]
    }

    fn grant(&mut self, relay: u16) {
        self.next_token += 1;
        let token = self.next_token;
        let node = self.node(relay);
        node.relay_token = Some(token);
        node.was_relay = true;
    }

    fn push(&mut self, at: Time, event: Event) {
        self.count += 1;
        self.queue.push(Reverse((at, self.count, event)));
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Deliver { from, to: SOURCE, bytes } => self.ask_source(from, &bytes),
            Event::Deliver { from, to, bytes } => self.deliver(from, to, &bytes),
            Event::Wake(number) => self.wake(number),
            Event::AskDiscovery => self.ask_discovery(),
            Event::DiscoveryAnswers { asked_at } => self.publish(asked_at),
            Event::Start(number) => self.start_dispatcher(number),
            Event::RelayDies => {
                let relay = self.relays[0];
                self.node(relay).is_dead = true;
                self.push(self.now + TAKEOVER, Event::RelayReplaced);
            }
            Event::RelayReplaced => self.replace_relay(),
            Event::Minute => self.end_minute(),
        }
    }

    fn start_dispatcher(&mut self, number: u16) {
        let zone = self.node(number).zone;
        let own = Partition::Zone(format!("z{zone:02}"));
        let setup = SubscriberConfig {
            priority: vec![Partition::Configuration, own],
            essential_partitions: 2,
            timing: self.timing.clone(),
            limits: Limits::default(),
            versions: Versions::default(),
            seed: self.random.u64(..),
        };
        let kept = (!self.node(number).began_empty).then(|| self.publisher.replica().clone());
        let subscriber = Subscriber::new(setup, kept, self.now);
        self.node(number).subscriber = Some(subscriber);
        self.tell(number);
    }

    /// Tells a dispatcher whom to ask: the relay of its zone, or the source if it is that; then relays near by.
    fn tell(&mut self, number: u16) {
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
            if relay != number && upstreams.len() <= SIBLINGS {
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
            node.zone == zone && !node.is_dead && node.subscriber.is_some()
        });
        let Some(next) = next else { return };
        self.relays[0] = next;
        self.grant(next);
        (1..=self.nodes.len() as u16).for_each(|number| self.tell(number));
    }

    fn schedule(&mut self, number: u16) {
        let now = self.now;
        let node = self.node(number);
        let Some(subscriber) = &mut node.subscriber else { return };
        let at = subscriber.wake_at(now).max(now + Duration::from_micros(100));
        if node.wake.is_none_or(|wake| at < wake) {
            node.wake = Some(at);
            self.push(at, Event::Wake(number));
        }
    }

    fn wake(&mut self, number: u16) {
        let now = self.now;
        let node = self.node(number);
        if node.wake.is_none_or(|wake| wake > now) {
            return;
        }
        node.wake = None;
        self.act(number);
    }

    fn act(&mut self, number: u16) {
        let now = self.now;
        let node = self.node(number);
        if node.is_dead {
            return;
        }
        let Some(subscriber) = &mut node.subscriber else { return };
        if let Some(transmit) = subscriber.poll(now) {
            self.send(number, transmit.to.0, transmit.bytes);
        }
        self.schedule(number);
    }

    fn send(&mut self, from: u16, to: u16, bytes: Vec<u8>) {
        if self.random.u32(..1000) < self.plan.lost {
            return;
        }
        let span = self.way(from, to);
        let latency = Duration::from_micros(self.random.u64(span.0..=span.1));
        self.push(self.now + latency, Event::Deliver { from, to, bytes });
    }

    fn way(&mut self, from: u16, to: u16) -> (u64, u64) {
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

    fn ask_source(&mut self, from: u16, bytes: &[u8]) {
        let asked = bytes.len() as u64 + self.overhead();
        self.source_bytes += asked;
        if let Some(answer) = self.publisher.serve(self.now, Some(self.source_token), bytes) {
            self.source_bytes += answer.len() as u64 + self.overhead();
            self.send(SOURCE, from, answer);
        }
    }

    fn deliver(&mut self, from: u16, to: u16, bytes: &[u8]) {
        let (now, overhead) = (self.now, self.overhead());
        let node = self.node(to);
        let (false, Some(subscriber)) = (node.is_dead, &mut node.subscriber) else { return };
        let is_answer = bytes.get(1).is_some_and(|kind| *kind >= 128);
        if is_answer {
            // What is refused is counted by the subscriber.
            let _ = subscriber.receive(now, PeerId(from), bytes);
            self.note_progress(to);
            self.act(to);
            return;
        }
        let copy = (subscriber.replica(), subscriber.log_age(now));
        let answer = node.relay.serve(now, node.relay_token, copy, bytes);
        node.served += bytes.len() as u64 + overhead;
        if let Some(answer) = answer {
            node.served += answer.len() as u64 + overhead;
            self.send(to, from, answer);
        }
    }

    /// Counts what has come into force at a dispatcher, and what it knows after a start.
    fn note_progress(&mut self, number: u16) {
        let now = self.now;
        let first = self.plan.size.workers as u64;
        let plan = self.plan;
        let (node, outcome) = (&mut self.nodes[usize::from(number) - 1], &mut self.outcome);
        let Some(subscriber) = &node.subscriber else { return };
        let milliseconds = |span: Duration| u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        if node.began_empty && !node.is_essential && subscriber.essential_age(now).is_some() {
            node.is_essential = true;
            outcome.essential_after.add(milliseconds(now - node.started_at));
        }
        if node.began_empty && !node.is_complete && subscriber.age(now).is_some() {
            node.is_complete = true;
            outcome.complete_after.add(milliseconds(now - node.started_at));
        }
        let replica = subscriber.replica();
        let sequence = replica.position().map_or(0, |position| position.sequence);
        if sequence <= node.in_force || !replica.is_complete() {
            return;
        }
        for number in node.in_force + 1..=sequence {
            // The list itself took the first sequences.
            let change = plan.changes.get((number - first - 1) as usize);
            if let Some(at) = change.filter(|at| **at >= node.started_at) {
                outcome.in_force_after.add(milliseconds(now - *at));
            }
        }
        node.in_force = sequence;
    }

    fn ask_discovery(&mut self) {
        self.discovery_calls += 1;
        let now = self.now;
        let lost = |world: &mut Self| world.random.u32(..1000) < world.plan.lost;
        if lost(self) || lost(self) {
            self.push(now + SOURCE_TIMEOUT, Event::AskDiscovery);
            return;
        }
        let next = self.plan.changes.get(self.published).copied().unwrap_or(Time::MAX);
        let at = next.clamp(now, now + SOURCE_WAIT) + DISCOVERY_ROUND_TRIP;
        self.push(at, Event::DiscoveryAnswers { asked_at: now });
    }

    fn publish(&mut self, asked_at: Time) {
        while let Some(_at) = self.plan.changes.get(self.published).filter(|at| **at <= self.now) {
            let version = self.published as u64 + 1;
            // Each change is of a worker that is told to drain, or takes jobs again.
            let worker = self.random.u32(..self.plan.size.workers);
            let changed = listed(worker, &self.plan.size, version);
            self.publisher.publish_worker(changed).expect("the log has room");
            self.published += 1;
        }
        self.publisher.confirm(asked_at);
        self.push(self.now, Event::AskDiscovery);
    }

    fn end_minute(&mut self) {
        for node in &mut self.nodes {
            let bytes = node.served + node.subscriber.as_ref().map_or(0, |s| s.counts().bytes);
            node.worst_minute = node.worst_minute.max(bytes - node.minute_began);
            node.minute_began = bytes;
        }
        let in_minute = (self.source_bytes - self.source_minute) as f64 / MINUTE.as_secs_f64();
        self.outcome.source_worst_minute = self.outcome.source_worst_minute.max(in_minute);
        self.source_minute = self.source_bytes;
        self.push(self.now + MINUTE, Event::Minute);
    }

    fn end(mut self) -> Outcome {
        let seconds = self.plan.until.as_secs_f64();
        let sequence = self.sequence();
        let mut outcome = std::mem::take(&mut self.outcome);
        let (mut bytes, mut dispatchers) = (0.0, 0.0);
        for node in self.nodes.iter().filter(|node| !node.is_dead) {
            let Some(subscriber) = &node.subscriber else { continue };
            outcome.behind += sequence - node.in_force;
            outcome.mismatches += subscriber.counts().mismatches;
            let all = (node.served + subscriber.counts().bytes) as f64 / seconds;
            let worst = node.worst_minute as f64 / MINUTE.as_secs_f64();
            if node.was_relay {
                outcome.relay_mean = outcome.relay_mean.max(all);
                outcome.relay_worst_minute = outcome.relay_worst_minute.max(worst);
            } else {
                (bytes, dispatchers) = (bytes + all, dispatchers + 1.0);
                outcome.dispatcher_worst_minute = outcome.dispatcher_worst_minute.max(worst);
            }
        }
        outcome.dispatcher_mean = bytes / f64::max(dispatchers, 1.0);
        outcome.source_mean = self.source_bytes as f64 / seconds;
        outcome.discovery_calls = self.discovery_calls as f64 / seconds;
        outcome
    }
}
