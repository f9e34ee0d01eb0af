//! The fleet's membership at several sizes, in virtual time: bytes, processor time, how soon a failure is known, and
//! members that are declared dead while they live. Beside it the whole member with leases, as `measure_idle` plays it.

use super::report::{Mechanism, Options, Role, Row, SizeUnit};
use super::target;
use super::usage::ThreadTimer;
use crate::sim::measure_idle;
use lineroute_fleet::members::{MemberState, Members};
use lineroute_fleet::timing::Timing;
use lineroute_fleet::{Incarnation, Member};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Until then all have heard of all, at each size that is played.
const SETTLED: Duration = Duration::from_secs(15);
/// Steady state is measured for so long.
const STEADY: Duration = Duration::from_secs(20);
/// A failure has to be known after this; what takes longer shows as that.
const WATCHED: Duration = Duration::from_secs(25);
/// Longest time of a message on its way.
const DELAY: Duration = Duration::from_millis(2);
/// Lost messages of 100, where links lose any.
const LOSS_PERCENT: u32 = 5;

pub fn rows(options: &Options) -> Vec<Row> {
    let sizes: &[u16] = if options.quick { &[5, 8, 12, 16] } else { &[5, 50, 150, 300] };
    // One at a time: processor time is measured.
    let calm: Vec<Outcome> = sizes.iter().map(|count| Outcome::of(*count, 0, options.seed)).collect();
    let lossy: Vec<Outcome> =
        sizes.iter().map(|count| Outcome::of(*count, LOSS_PERCENT, options.seed)).collect();
    let points = |outcomes: &[Outcome], value: fn(&Outcome) -> f64| -> Vec<(f64, f64)> {
        outcomes.iter().map(|o| (f64::from(o.members), value(o))).collect()
    };
    let row = |quantity: &str, unit, points, mechanism| {
        let size = (SizeUnit::Members, target::DISPATCHERS);
        Row::measured(Role::Member, quantity, unit, size, points, mechanism)
    };
    let membership = Mechanism::Membership;
    let mut rows = vec![
        row(
            "bytes of membership, sent and received",
            "bytes/s",
            points(&calm, |o| o.bytes_per_second),
            membership,
        )
        .budget(target::BYTES_PER_SECOND),
        row("messages of membership, sent", "1/s", points(&calm, |o| o.messages_per_second), membership),
        row("processor time of membership", "core", points(&calm, |o| o.core), membership)
            .timed()
            .budget(target::CORE_SHARE),
        row("a failure is known to all", "s", points(&calm, |o| o.detected_after), membership),
        row("a failure is known to all, 5% loss", "s", points(&lossy, |o| o.detected_after), membership),
        row(
            "false alarms in a minute, 5% loss",
            "members",
            points(&lossy, |o| o.false_alarms_per_minute),
            membership,
        ),
    ];
    let idles: Vec<_> = sizes.iter().map(|count| measure_idle(*count)).collect();
    let idle_points = |value: fn(&crate::sim::IdleCost) -> f64| -> Vec<(f64, f64)> {
        idles.iter().map(|i| (f64::from(i.members), value(i))).collect()
    };
    let voter_points =
        idles.iter().zip(&calm).map(|(idle, calm)| (f64::from(idle.members), voter_bytes(idle, calm)));
    rows.push(
        Row::measured(
            Role::Voter,
            "bytes of leases at a voter, sent and received, at least",
            "bytes/s",
            (SizeUnit::Members, target::DISPATCHERS),
            voter_points.collect(),
            Mechanism::Leases,
        )
        .budget(target::BYTES_PER_SECOND)
        .assuming(
            "voters are dispatchers; what leases add over membership has a voter at one end of each message at least; \
             each member wishes for three things",
        ),
    );
    rows.extend([
        row(
            "bytes of membership and leases, sent and received",
            "bytes/s",
            idle_points(|i| i.bytes_per_s * 2.0),
            Mechanism::Leases,
        )
        .budget(target::BYTES_PER_SECOND)
        .assuming("the mean over members; voters have more; what is sent by all is received by all"),
        row(
            "processor time of membership and leases",
            "core",
            idle_points(|i| i.cpu_permille / 1e3),
            Mechanism::Leases,
        )
        .timed()
        .budget(target::CORE_SHARE)
        .assuming("the simulation's own part is in it"),
    ]);
    rows
}

/// Bytes a second that leases cost each voter, sent and received: all of them together, but for the members' ends.
fn voter_bytes(idle: &crate::sim::IdleCost, calm: &Outcome) -> f64 {
    let leases = (idle.bytes_per_s * 2.0 - calm.bytes_per_second) * f64::from(idle.members);
    let at_voters = if idle.members > idle.voters { leases / 2.0 } else { leases };
    at_voters / f64::from(idle.voters)
}

/// What a run comes to.
struct Outcome {
    members: u16,
    bytes_per_second: f64,
    messages_per_second: f64,
    core: f64,
    detected_after: f64,
    false_alarms_per_minute: f64,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Tick(u16),
    Deliver { to: u16, bytes: Vec<u8> },
}

/// Members, and the network between them.
struct Cluster {
    now: Duration,
    members: Vec<Option<Members>>,
    queue: BinaryHeap<Reverse<(Duration, u64, Step)>>,
    count: u64,
    loss_percent: u32,
    dice: fastrand::Rng,
    timing: Timing,
    messages: u64,
    bytes: u64,
}

impl Cluster {
    fn new(count: u16, loss_percent: u32, seed: u64) -> Self {
        let timing = Timing::default();
        let mut dice = fastrand::Rng::with_seed(seed);
        let incarnation = |member| Incarnation { member: Member(member), number: 1 };
        let members =
            (0..count).map(|m| Some(Members::new(incarnation(m), count, &timing, dice.u64(..)))).collect();
        let mut cluster = Self {
            now: Duration::ZERO,
            members,
            queue: BinaryHeap::new(),
            count: 0,
            loss_percent,
            timing,
            messages: 0,
            bytes: 0,
            dice,
        };
        for member in 0..count {
            let first = Duration::from_micros(cluster.dice.u64(1..50_000));
            cluster.at(first, Step::Tick(member));
        }
        cluster
    }

    fn at(&mut self, after: Duration, step: Step) {
        self.count += 1;
        self.queue.push(Reverse((self.now + after, self.count, step)));
    }

    fn run(&mut self, until: Duration) {
        while self.queue.peek().is_some_and(|Reverse((at, ..))| *at < until) {
            let Some(Reverse((at, _, step))) = self.queue.pop() else { break };
            self.now = at;
            match step {
                Step::Tick(member) => self.tick(member),
                Step::Deliver { to, bytes } => self.deliver(to, &bytes),
            }
        }
        self.now = until;
    }

    fn tick(&mut self, member: u16) {
        let now = self.now;
        let Some(members) = &mut self.members[usize::from(member)] else { return };
        members.tick(now);
        self.send(member);
        self.at(self.timing.tick_interval, Step::Tick(member));
    }

    fn deliver(&mut self, to: u16, bytes: &[u8]) {
        let now = self.now;
        let Some(members) = &mut self.members[usize::from(to)] else { return };
        members.receive(now, bytes);
        self.send(to);
    }

    fn send(&mut self, member: u16) {
        let Some(members) = &mut self.members[usize::from(member)] else { return };
        members.take_changes();
        for (to, bytes) in members.take_messages() {
            self.messages += 1;
            self.bytes += bytes.len() as u64;
            if self.dice.u32(0..100) >= self.loss_percent {
                let delay = Duration::from_micros(self.dice.u64(100..=DELAY.as_micros() as u64));
                self.at(delay, Step::Deliver { to: to.0, bytes });
            }
        }
    }

    /// Whether all others have declared a member dead.
    fn all_know_dead(&self, member: u16) -> bool {
        self.members.iter().flatten().all(|members| members.state(Member(member)) == MemberState::Dead)
    }

    /// Lives that ended although their members never stopped.
    fn false_alarms(&self) -> u64 {
        self.members.iter().flatten().map(|members| members.me().number - 1).sum()
    }
}

impl Outcome {
    fn of(count: u16, loss_percent: u32, seed: u64) -> Self {
        let mut cluster = Cluster::new(count, loss_percent, seed);
        cluster.run(SETTLED);
        let (messages, bytes, alarms) = (cluster.messages, cluster.bytes, cluster.false_alarms());
        let timer = ThreadTimer::start();
        cluster.run(SETTLED + STEADY);
        let each = f64::from(count) * STEADY.as_secs_f64();
        let core = timer.seconds() / each;
        // What one sends another receives.
        let bytes_per_second = 2.0 * (cluster.bytes - bytes) as f64 / each;
        let messages_per_second = (cluster.messages - messages) as f64 / each;
        let false_alarms = (cluster.false_alarms() - alarms) as f64;
        let false_alarms_per_minute = false_alarms * 60.0 / STEADY.as_secs_f64();
        let detected_after = cluster.fail(count / 2);
        Self {
            members: count,
            bytes_per_second,
            messages_per_second,
            core,
            detected_after,
            false_alarms_per_minute,
        }
    }
}

impl Cluster {
    /// Ends a member without a word; seconds until all others have declared it dead.
    fn fail(&mut self, member: u16) -> f64 {
        let began = self.now;
        self.members[usize::from(member)] = None;
        while !self.all_know_dead(member) && self.now < began + WATCHED {
            self.run(self.now + Duration::from_millis(50));
        }
        (self.now - began).as_secs_f64()
    }
}
