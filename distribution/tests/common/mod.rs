//! A network in virtual time: one source, members in zones of which some are relays, and messages that are lost, doubled,
//! late or cut off. The same seed gives the same run.
#![allow(dead_code)]

use lineroute_distribution::message::Versions;
use lineroute_distribution::publisher::{ListedWorker, Publisher};
use lineroute_distribution::record::Partition;
use lineroute_distribution::relay::{Relay, RELAY_BYTES_PER_SECOND};
use lineroute_distribution::subscriber::{Standing, Subscriber, SubscriberConfig};
use lineroute_distribution::timing::{Limits, Timing};
use lineroute_distribution::upstream::{PeerId, Role, Upstream};
use lineroute_distribution::{Time, Token};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

/// What the source sends a second in these tests.
const SOURCE_BYTES_PER_SECOND: u32 = 256_000;
/// How often discovery confirms what the source has.
const CONFIRM_EVERY: Duration = Duration::from_millis(500);
/// Upstreams that a member is given beside its own relay.
const MAX_SIBLINGS: usize = 3;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Changes to be in force within this time, at the size of these tests.
pub const BOUND: Duration = Duration::from_secs(14);

pub struct Node {
    pub zone: usize,
    pub subscriber: Subscriber,
    relay: Relay,
    pub relay_token: Option<Token>,
    pub publisher: Option<Publisher>,
    pub source_token: Option<Token>,
    /// Messages wait for it until it is woken; none: it runs.
    stopped: Option<Vec<(usize, Vec<u8>)>>,
    is_dead: bool,
    wake: Option<Time>,
    /// Answers refused, by the words of their error.
    pub refused: BTreeMap<String, u64>,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Deliver { from: usize, to: usize, bytes: Vec<u8> },
    Wake(usize),
    Confirm,
}

/// What the network does to messages, in parts of 1,000.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub lost: u32,
    pub doubled: u32,
    pub cut_short: u32,
    /// The longest time on the way; the shortest is a millisecond.
    pub latency_ms: u64,
}

pub struct World {
    pub now: Time,
    pub nodes: Vec<Node>,
    pub faults: Faults,
    /// Directed links that carry nothing.
    pub cut: BTreeSet<(usize, usize)>,
    pub zones: usize,
    pub source: usize,
    relays: Vec<usize>,
    next_token: Token,
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

impl World {
    /// Node 0 is the source; then come so many members of each zone, the first of which is its relay.
    pub fn new(zones: usize, members: usize, workers: usize, seed: u64) -> World {
        World::with(zones, members, workers, seed, Limits::default(), &[])
    }

    pub fn with(
        zones: usize,
        members: usize,
        workers: usize,
        seed: u64,
        limits: Limits,
        versions: &[Versions],
    ) -> World {
        let mut world = World {
            now: seconds(1),
            nodes: Vec::new(),
            faults: Faults { latency_ms: 5, ..Faults::default() },
            cut: BTreeSet::new(),
            zones,
            source: 0,
            relays: Vec::new(),
            next_token: 100,
            queue: BinaryHeap::new(),
            events: 0,
            random: fastrand::Rng::with_seed(seed),
            versions: versions.to_vec(),
            limits,
            timing: Timing::default(),
            discovery_is_reachable: true,
        };
        world.add_node(0);
        for zone in 0..zones {
            world.relays.push(world.nodes.len());
            for _ in 0..members {
                world.add_node(zone);
            }
        }
        world.start_source(0, list(zones, workers));
        for relay in world.relays.clone() {
            let token = world.token();
            world.nodes[relay].relay_token = Some(token);
        }
        world.push(world.now, Event::Confirm);
        world.tell_all();
        world
    }

    pub fn token(&mut self) -> Token {
        self.next_token += 1;
        self.next_token
    }

    pub fn add_node(&mut self, zone: usize) -> usize {
        let number = self.nodes.len();
        let versions = self.versions.get(number).copied().unwrap_or_default();
        let seed = self.random.u64(..);
        let setup = self.setup(zone, seed, versions);
        let node = Node {
            zone,
            subscriber: Subscriber::new(setup, None, self.now),
            relay: Relay::new(RELAY_BYTES_PER_SECOND, versions, &self.timing, self.now),
            relay_token: None,
            publisher: None,
            source_token: None,
            stopped: None,
            is_dead: false,
            wake: None,
            refused: BTreeMap::new(),
        };
        self.nodes.push(node);
        self.tell(number);
        number
    }

    fn setup(&self, zone: usize, seed: u64, versions: Versions) -> SubscriberConfig {
        SubscriberConfig {
            priority: vec![Partition::Configuration, Partition::Zone(zone_name(zone))],
            essential_partitions: 2,
            timing: self.timing.clone(),
            limits: self.limits.clone(),
            versions,
            seed,
        }
    }

    /// Starts a process again, with nothing.
    pub fn restart(&mut self, number: usize) {
        let zone = self.nodes[number].zone;
        let versions = self.versions.get(number).copied().unwrap_or_default();
        let seed = self.random.u64(..);
        let setup = self.setup(zone, seed, versions);
        let node = &mut self.nodes[number];
        node.subscriber = Subscriber::new(setup, None, self.now);
        (node.is_dead, node.stopped, node.relay_token, node.wake) = (false, None, None, None);
        self.tell(number);
    }

    pub fn kill(&mut self, number: usize) {
        self.nodes[number].is_dead = true;
    }

    pub fn stop(&mut self, number: usize) {
        self.nodes[number].stopped = Some(Vec::new());
    }

    /// Lets a stopped process go on: it handles what has come meanwhile first.
    pub fn wake(&mut self, number: usize) {
        let waiting = self.nodes[number].stopped.take().unwrap_or_default();
        waiting.into_iter().for_each(|(from, bytes)| self.deliver(from, number, &bytes));
        self.act(number);
    }

    /// Gives a process the source lease, with what it has; discovery tells it this list.
    pub fn start_source(&mut self, number: usize, list: Vec<ListedWorker>) {
        let token = self.token();
        self.source = number;
        let node = &mut self.nodes[number];
        let replica = match node.publisher.take() {
            Some(publisher) => publisher.into_replica(),
            None => node.subscriber.replica().clone(),
        };
        let versions = self.versions.get(number).copied().unwrap_or_default();
        let mut publisher =
            Publisher::new(replica, token, SOURCE_BYTES_PER_SECOND, versions, self.timing.clone(), self.now);
        publisher.publish_list(list).expect("it fits");
        publisher.confirm(self.now);
        node.publisher = Some(publisher);
        node.source_token = Some(token);
        self.tell_all();
    }

    pub fn publisher(&mut self) -> &mut Publisher {
        let source = self.source;
        self.nodes[source].publisher.as_mut().expect("the source publishes")
    }

    pub fn relay_of(&self, zone: usize) -> usize {
        self.relays[zone]
    }

    /// Gives a process the relay lease of its zone. The former holder is not told.
    pub fn make_relay(&mut self, number: usize) {
        let token = self.token();
        self.relays[self.nodes[number].zone] = number;
        self.nodes[number].relay_token = Some(token);
        self.tell_all();
    }

    /// Tells all who holds which lease.
    pub fn tell_all(&mut self) {
        (0..self.nodes.len()).for_each(|number| self.tell(number));
    }

    /// Tells one.
    pub fn tell(&mut self, number: usize) {
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
            others.take(MAX_SIBLINGS).map(|(zone, relay)| self.upstream(relay, Role::Relay(zone as u16))),
        );
        upstreams.retain(|upstream| upstream.token > 0);
        if self.nodes[number].publisher.is_some() && number == self.source {
            // It follows discovery, and nobody else.
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
            self.happen(event);
        }
        self.now = end;
    }

    /// Runs until something is so; how long that took. Panics where it takes longer than this.
    pub fn run_until(&mut self, most: Duration, what: &str, is_so: impl Fn(&World) -> bool) -> Duration {
        let began = self.now;
        while !is_so(self) {
            assert!(self.now < began + most, "{what}: not within {most:?}");
            self.run_for(ms(50));
        }
        self.now - began
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Deliver { from, to, bytes } => self.deliver(from, to, &bytes),
            Event::Wake(number) => {
                // A later wake may have been replaced by an earlier one.
                if self.nodes[number].wake.is_some_and(|at| at <= self.now) {
                    self.nodes[number].wake = None;
                    self.act(number);
                }
            }
            Event::Confirm => {
                let (now, source) = (self.now, self.source);
                let node = &mut self.nodes[source];
                let runs = !node.is_dead && node.stopped.is_none() && self.discovery_is_reachable;
                if let Some(publisher) = node.publisher.as_mut().filter(|_| runs) {
                    publisher.confirm(now);
                }
                self.push(now + CONFIRM_EVERY, Event::Confirm);
            }
        }
    }

    fn act(&mut self, number: usize) {
        let now = self.now;
        let node = &mut self.nodes[number];
        if node.is_dead || node.stopped.is_some() {
            return;
        }
        if let Some(transmit) = node.subscriber.poll(now) {
            self.send(number, usize::from(transmit.to.0), transmit.bytes);
        }
        self.schedule(number);
    }

    fn schedule(&mut self, number: usize) {
        // Nobody runs without end, whatever is asked for.
        let at = self.nodes[number].subscriber.wake_at(self.now).max(self.now + ms(1));
        let node = &mut self.nodes[number];
        if node.wake.is_none_or(|wake| at < wake) {
            node.wake = Some(at);
            self.push(at, Event::Wake(number));
        }
    }

    /// Hands bytes to a node as if they had come from another.
    pub fn deliver(&mut self, from: usize, to: usize, bytes: &[u8]) {
        let now = self.now;
        let node = &mut self.nodes[to];
        if node.is_dead {
            return;
        }
        if let Some(waiting) = &mut node.stopped {
            waiting.push((from, bytes.to_vec()));
            return;
        }
        let is_answer = bytes.get(1).is_some_and(|kind| *kind >= 128);
        if is_answer {
            if let Err(error) = node.subscriber.receive(now, PeerId(from as u16), bytes) {
                let words: String = error.to_string().chars().filter(|c| !c.is_ascii_digit()).collect();
                *node.refused.entry(words).or_default() += 1;
            }
            self.act(to);
            return;
        }
        let as_source = node.publisher.as_mut().and_then(|p| p.serve(now, node.source_token, bytes));
        let is_refused = as_source.as_ref().is_none_or(|bytes| is_not_serving(bytes));
        // One that is the source as well serves what that has; a source that was replaced follows like others.
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
        let answer = if is_refused { as_relay.or(as_source) } else { as_source };
        if let Some(answer) = answer {
            self.send(to, from, answer);
        }
    }

    fn send(&mut self, from: usize, to: usize, mut bytes: Vec<u8>) {
        if self.cut.contains(&(from, to)) || self.random.u32(..1000) < self.faults.lost {
            return;
        }
        if self.random.u32(..1000) < self.faults.cut_short {
            let length = self.random.usize(..=bytes.len());
            bytes.truncate(length);
        }
        let copies = 1 + usize::from(self.random.u32(..1000) < self.faults.doubled);
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

    /// Cuts all links between two sets, on both ways.
    pub fn cut_between(&mut self, some: &[usize], others: &[usize]) {
        for a in some {
            for b in others {
                self.cut.insert((*a, *b));
                self.cut.insert((*b, *a));
            }
        }
    }

    pub fn runs(&self, number: usize) -> bool {
        !self.nodes[number].is_dead && self.nodes[number].stopped.is_none()
    }

    /// Whether a node has what the source has, and knows it.
    pub fn has_all(&self, number: usize) -> bool {
        let source = self.nodes[self.source].publisher.as_ref().expect("the source publishes").replica();
        let replica = self.nodes[number].subscriber.replica();
        replica.is_complete()
            && replica.digest() == source.digest()
            && self.nodes[number].subscriber.standing(self.now) == Standing::Fresh
    }

    /// Whether all that run, the source aside, have what the source has.
    pub fn is_settled(&self) -> bool {
        let mut others = (0..self.nodes.len()).filter(|number| *number != self.source && self.runs(*number));
        others.all(|number| self.has_all(number))
    }

    /// Compares record by record: the digests are part of what is tested.
    pub fn assert_same_records(&self) {
        let source = self.nodes[self.source].publisher.as_ref().expect("the source publishes").replica();
        let records: Vec<_> = source.records().collect();
        for number in (0..self.nodes.len()).filter(|number| *number != self.source && self.runs(*number)) {
            let copy: Vec<_> = self.nodes[number].subscriber.replica().records().collect();
            assert!(copy == records, "node {number} has {} records of {}", copy.len(), records.len());
        }
    }

    pub fn settle(&mut self, most: Duration, what: &str) -> Duration {
        let took = self.run_until(most, what, World::is_settled);
        self.assert_same_records();
        took
    }

    pub fn refused(&self, number: usize, words: &str) -> u64 {
        self.nodes[number]
            .refused
            .iter()
            .filter(|(error, _)| error.contains(words))
            .map(|(_, count)| count)
            .sum()
    }
}

fn is_not_serving(bytes: &[u8]) -> bool {
    use lineroute_distribution::message::{Answer, Message, Reply};
    let all = Versions { lowest: 0, highest: u8::MAX };
    matches!(Message::decode(bytes, all), Ok((_, Message::Reply(Reply { answer: Answer::NotServing, .. }))))
}
