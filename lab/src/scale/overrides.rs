//! The gossip of operators' overrides at several sizes of a tier, in virtual time.

use super::report::{Mechanism, Options, Role, Row, SizeUnit};
use super::target;
use lineroute_control::overrides::{OverrideRequest, Scope, Slot, Table};
use lineroute_control::peers::{Gossip, KeyRing, Outgoing};
use lineroute_control::Millis;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The wall clock at the start.
const START: Millis = 1_764_600_000_000;
const HOUR: Millis = 3_600_000;
/// Between two rounds of a dispatcher, as it runs them.
const ROUND: Millis = 200;
/// Longest time of a datagram on its way.
const DELAY: Millis = 60;
/// All have met each other by then: a pair meets once in so long for each dispatcher, and has to a few times.
const MEETINGS: Millis = 600;
const FIRST_TALK: Millis = 10_000;
const STEADY: Millis = 10_000;
/// An override that is not everywhere by then shows as that.
const WATCHED: Millis = 60_000;
const FIRST_PORT: u16 = 7000;
const LOSS_PERCENT: u32 = 30;

pub fn rows(options: &Options) -> Vec<Row> {
    let sizes: &[u16] = if options.quick { &[2, 10, 20, 40] } else { &[2, 30, 100, 300] };
    let runs = |loss| -> Vec<Outcome> { sizes.iter().map(|n| Outcome::of(*n, loss, options.seed)).collect() };
    let (whole, lossy) = (runs(0), runs(LOSS_PERCENT));
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
            points(&whole, |o| o.bytes_per_second),
        )
        .budget(target::BYTES_PER_SECOND),
        row(
            Role::OperatorControl,
            "an override is in force everywhere",
            "s",
            points(&whole, |o| o.in_force_after),
        )
        .budget(target::CHANGE_IN_FORCE),
        row(
            Role::OperatorControl,
            "an override is in force everywhere, 30% loss",
            "s",
            points(&lossy, |o| o.in_force_after),
        )
        .budget(target::CHANGE_IN_FORCE),
        row(
            Role::OperatorControl,
            "bytes that spread one override, all dispatchers",
            "bytes",
            points(&whole, |o| o.spread_bytes),
        ),
    ]
}

struct Outcome {
    dispatchers: u16,
    bytes_per_second: f64,
    in_force_after: f64,
    spread_bytes: f64,
}

/// Datagrams on their way, by when they come.
type Wire = BTreeMap<(Millis, u64), Datagram>;

struct Datagram {
    from: SocketAddr,
    to: usize,
    bytes: Vec<u8>,
}

struct Tier {
    now: Millis,
    dispatchers: Vec<(Gossip, Table)>,
    wire: Wire,
    dice: fastrand::Rng,
    loss_percent: u32,
    count: u64,
    bytes: u64,
}

fn addr(dispatcher: usize) -> SocketAddr {
    ([127, 0, 0, 1], FIRST_PORT + dispatcher as u16).into()
}

impl Tier {
    fn new(size: u16, loss_percent: u32, seed: u64) -> Self {
        let mut dice = fastrand::Rng::with_seed(seed);
        let size = usize::from(size);
        let keys = KeyRing::parse(&"5a".repeat(32)).expect("a key of 64 digits");
        let dispatchers = (0..size)
            .map(|own| {
                let peers: Vec<SocketAddr> = (0..size).filter(|other| *other != own).map(addr).collect();
                let mut seed = [0; 32];
                dice.fill(&mut seed);
                (Gossip::new(&peers, keys.clone(), seed), Table::new(&format!("d{own}"), HOUR))
            })
            .collect();
        let (now, wire) = (START, Wire::new());
        Self { now, dispatchers, wire, dice, loss_percent, count: 0, bytes: 0 }
    }

    fn post(&mut self, from: usize, out: Vec<Outgoing>) {
        for (to, bytes) in out {
            self.bytes += bytes.len() as u64;
            if self.dice.u32(0..100) < self.loss_percent {
                continue;
            }
            self.count += 1;
            let at = self.now + self.dice.u64(1..=DELAY);
            let to = usize::from(to.port() - FIRST_PORT);
            self.wire.insert((at, self.count), Datagram { from: addr(from), to, bytes });
        }
    }

    /// A round of each, spread over its time, and what arrives meanwhile.
    fn round(&mut self) {
        let (began, size) = (self.now, self.dispatchers.len());
        for own in 0..size {
            self.deliver(began + ROUND * own as Millis / size as Millis);
            let (gossip, table) = &mut self.dispatchers[own];
            let out = gossip.tick(table);
            self.post(own, out);
        }
        self.deliver(began + ROUND);
    }

    fn deliver(&mut self, until: Millis) {
        while let Some(entry) = self.wire.first_entry().filter(|entry| entry.key().0 <= until) {
            self.now = entry.key().0;
            let Datagram { from, to, bytes } = entry.remove();
            let (gossip, table) = &mut self.dispatchers[to];
            let out = gossip.receive(self.now, from, &bytes, table);
            self.post(to, out);
        }
        self.now = until;
    }

    fn rounds(&mut self, span: Millis) {
        (0..span / ROUND).for_each(|_| self.round());
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
        let record = table.set(order, self.now).expect("the order above is sound");
        let out = gossip.announce(&record);
        self.post(0, out);
    }

    fn all_know(&self) -> bool {
        self.dispatchers.iter().all(|(_, table)| !table.by_fingerprint().is_empty())
    }
}

impl Outcome {
    fn of(dispatchers: u16, loss_percent: u32, seed: u64) -> Self {
        let mut tier = Tier::new(dispatchers, loss_percent, seed);
        tier.rounds(FIRST_TALK + Millis::from(dispatchers) * MEETINGS);
        let before = tier.bytes;
        tier.rounds(STEADY);
        let seconds = STEADY as f64 / 1e3;
        let steady = (tier.bytes - before) as f64 / seconds;
        let (set_at, before) = (tier.now, tier.bytes);
        tier.set_override();
        while !tier.all_know() && tier.now < set_at + WATCHED {
            tier.round();
        }
        let in_force_after = (tier.now - set_at) as f64 / 1e3;
        let spread_bytes = (tier.bytes - before) as f64 - steady * in_force_after;
        // What one sends another receives.
        let bytes_per_second = steady * 2.0 / f64::from(dispatchers);
        Self { dispatchers, bytes_per_second, in_force_after, spread_bytes }
    }
}
