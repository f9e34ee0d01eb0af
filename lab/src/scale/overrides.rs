//! Gossip of operators' overrides at several numbers of dispatchers, in virtual time.

use super::report::{Mechanism, Options, Role, Row, SizeUnit};
use super::target;
use lineroute_control::overrides::{OverrideRequest, Scope, Slot, Table};
use lineroute_control::peers::{Gossip, KeyRing, Outgoing};
use lineroute_control::Millis;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Wall-clock time at the start, as Unix time in milliseconds.
const START_TIME: Millis = 1_764_600_000_000;
const HOUR: Millis = 3_600_000;
/// Interval between two gossip rounds of a dispatcher, as in the program.
const ROUND_INTERVAL: Millis = 200;
/// Longest delay of a datagram.
const MAX_DELAY: Millis = 60;
/// Time until all pairs have exchanged messages, per dispatcher: a pair has to meet a few times, and the time between
/// two meetings grows with the number of dispatchers.
const CONVERGENCE_PER_DISPATCHER: Millis = 600;
const MIN_CONVERGENCE: Millis = 10_000;
const MEASURED_TIME: Millis = 10_000;
/// Limit of the spreading time; a longer time is reported as this one.
const MAX_SPREAD_TIME: Millis = 60_000;
const FIRST_PORT: u16 = 7000;
const LOSS_PERCENT: u32 = 30;

pub fn rows(options: &Options) -> Vec<Row> {
    let sizes: &[u16] = if options.quick { &[2, 10, 20, 40] } else { &[2, 30, 100, 300] };
    let runs =
        |loss| -> Vec<Outcome> { sizes.iter().map(|n| Outcome::measure(*n, loss, options.seed)).collect() };
    let (lossless, lossy) = (runs(0), runs(LOSS_PERCENT));
    let points = |outcomes: &[Outcome], value: fn(&Outcome) -> f64| -> Vec<(f64, f64)> {
        outcomes.iter().map(|o| (f64::from(o.dispatchers), value(o))).collect()
    };
    let row = |role, quantity: &str, unit, points| {
        let size = (SizeUnit::Dispatchers, target::DISPATCHERS);
        Row::measured(role, quantity, unit, size, points, Mechanism::OverrideGossip)
    };
    vec![
        row(
            Role::Dispatcher,
            "bytes of override gossip, nothing new, sent and received",
            "bytes/s",
            points(&lossless, |o| o.bytes_per_second),
        )
        .budget(target::BYTES_PER_SECOND),
        row(
            Role::OperatorControl,
            "an override is in force everywhere",
            "s",
            points(&lossless, |o| o.spread_time),
        )
        .budget(target::CHANGE_IN_FORCE),
        row(
            Role::OperatorControl,
            "an override is in force everywhere, 30% loss",
            "s",
            points(&lossy, |o| o.spread_time),
        )
        .budget(target::CHANGE_IN_FORCE),
        row(
            Role::OperatorControl,
            "bytes that spread one override, all dispatchers",
            "bytes",
            points(&lossless, |o| o.spread_bytes),
        ),
    ]
}

struct Outcome {
    dispatchers: u16,
    bytes_per_second: f64,
    spread_time: f64,
    spread_bytes: f64,
}

/// Datagrams in flight, by arrival time.
type InFlight = BTreeMap<(Millis, u64), Datagram>;

struct Datagram {
    from: SocketAddr,
    to: usize,
    bytes: Vec<u8>,
}

struct Tier {
    now: Millis,
    dispatchers: Vec<(Gossip, Table)>,
    in_flight: InFlight,
    rng: fastrand::Rng,
    loss_percent: u32,
    last_id: u64,
    bytes: u64,
}

fn addr(dispatcher: usize) -> SocketAddr {
    ([127, 0, 0, 1], FIRST_PORT + dispatcher as u16).into()
}

impl Tier {
    fn new(size: u16, loss_percent: u32, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let size = usize::from(size);
        let keys = KeyRing::parse(&"5a".repeat(32)).expect("the key has 64 hexadecimal digits");
        let dispatchers = (0..size)
            .map(|index| {
                let peers: Vec<SocketAddr> = (0..size).filter(|other| *other != index).map(addr).collect();
                let mut seed = [0; 32];
                rng.fill(&mut seed);
                (Gossip::new(&peers, keys.clone(), seed), Table::new(&format!("d{index}"), HOUR))
            })
            .collect();
        let (now, in_flight) = (START_TIME, InFlight::new());
        Self { now, dispatchers, in_flight, rng, loss_percent, last_id: 0, bytes: 0 }
    }

    fn send(&mut self, from: usize, messages: Vec<Outgoing>) {
        for (to, bytes) in messages {
            self.bytes += bytes.len() as u64;
            if self.rng.u32(0..100) < self.loss_percent {
                continue;
            }
            self.last_id += 1;
            let at = self.now + self.rng.u64(1..=MAX_DELAY);
            let to = usize::from(to.port() - FIRST_PORT);
            self.in_flight.insert((at, self.last_id), Datagram { from: addr(from), to, bytes });
        }
    }

    /// Runs one round of each dispatcher, spread over the round interval, and delivers the datagrams that arrive
    /// meanwhile.
    fn run_round(&mut self) {
        let (round_start, size) = (self.now, self.dispatchers.len());
        for index in 0..size {
            self.deliver(round_start + ROUND_INTERVAL * index as Millis / size as Millis);
            let (gossip, table) = &mut self.dispatchers[index];
            let messages = gossip.tick(table);
            self.send(index, messages);
        }
        self.deliver(round_start + ROUND_INTERVAL);
    }

    fn deliver(&mut self, until: Millis) {
        while let Some(entry) = self.in_flight.first_entry().filter(|entry| entry.key().0 <= until) {
            self.now = entry.key().0;
            let Datagram { from, to, bytes } = entry.remove();
            let (gossip, table) = &mut self.dispatchers[to];
            let messages = gossip.receive(self.now, from, &bytes, table);
            self.send(to, messages);
        }
        self.now = until;
    }

    fn run_rounds(&mut self, span: Millis) {
        (0..span / ROUND_INTERVAL).for_each(|_| self.run_round());
    }

    fn set_override(&mut self) {
        let (gossip, table) = &mut self.dispatchers[0];
        let order = OverrideRequest {
            slot: Slot { worker: "w00001".into(), scope: Scope::OutOfService },
            weight: None,
            until: self.now + HOUR / 2,
            by: "operator".into(),
            why: "a measurement".into(),
        };
        let record = table.set(order, self.now).expect("the order above is valid");
        let messages = gossip.announce(&record);
        self.send(0, messages);
    }

    fn is_known_to_all(&self) -> bool {
        self.dispatchers.iter().all(|(_, table)| !table.by_fingerprint().is_empty())
    }
}

impl Outcome {
    fn measure(dispatchers: u16, loss_percent: u32, seed: u64) -> Self {
        let mut tier = Tier::new(dispatchers, loss_percent, seed);
        tier.run_rounds(MIN_CONVERGENCE + Millis::from(dispatchers) * CONVERGENCE_PER_DISPATCHER);
        let before = tier.bytes;
        tier.run_rounds(MEASURED_TIME);
        let seconds = MEASURED_TIME as f64 / 1e3;
        let idle_bytes_per_second = (tier.bytes - before) as f64 / seconds;
        let (set_at, before) = (tier.now, tier.bytes);
        tier.set_override();
        while !tier.is_known_to_all() && tier.now < set_at + MAX_SPREAD_TIME {
            tier.run_round();
        }
        let spread_time = (tier.now - set_at) as f64 / 1e3;
        let spread_bytes = (tier.bytes - before) as f64 - idle_bytes_per_second * spread_time;
        // Each byte sent is also received.
        let bytes_per_second = idle_bytes_per_second * 2.0 / f64::from(dispatchers);
        Self { dispatchers, bytes_per_second, spread_time, spread_bytes }
    }
}
