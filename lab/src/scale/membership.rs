//! Fleet membership at several sizes, in virtual time: traffic, CPU time, failure detection time, and false alarms
//! (members declared dead although they run). In addition, the cost of a complete member with leases, from
//! `measure_idle`.

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

/// By then all members know all others, at each simulated size.
const SETTLING_TIME: Duration = Duration::from_secs(15);
/// Length of the measurement in steady state.
const MEASURED_TIME: Duration = Duration::from_secs(20);
/// Limit of the failure detection time; a longer time is reported as this one.
const MAX_DETECTION_TIME: Duration = Duration::from_secs(25);
/// Longest delay of a message.
const MAX_DELAY: Duration = Duration::from_millis(2);
/// Percentage of messages lost, in runs with loss.
const LOSS_PERCENT: u32 = 5;

pub fn rows(options: &Options) -> Vec<Row> {
    let sizes: &[u16] = if options.quick { &[5, 8, 12, 16] } else { &[5, 50, 150, 300] };
    // Runs are sequential, since CPU time is measured.
    let lossless: Vec<Outcome> =
        sizes.iter().map(|count| Outcome::measure(*count, 0, options.seed)).collect();
    let lossy: Vec<Outcome> =
        sizes.iter().map(|count| Outcome::measure(*count, LOSS_PERCENT, options.seed)).collect();
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
            points(&lossless, |o| o.bytes_per_second),
            membership,
        )
        .budget(target::BYTES_PER_SECOND),
        row("messages of membership, sent", "1/s", points(&lossless, |o| o.messages_per_second), membership),
        row("processor time of membership", "core", points(&lossless, |o| o.cpu_share), membership)
            .timed()
            .budget(target::CORE_SHARE),
        row("a failure is known to all", "s", points(&lossless, |o| o.detection_time), membership),
        row("a failure is known to all, 5% loss", "s", points(&lossy, |o| o.detection_time), membership),
        row(
            "false alarms in a minute, 5% loss",
            "members",
            points(&lossy, |o| o.false_alarms_per_minute),
            membership,
        ),
    ];
    let idle_costs: Vec<_> = sizes.iter().map(|count| measure_idle(*count)).collect();
    let idle_points = |value: fn(&crate::sim::IdleCost) -> f64| -> Vec<(f64, f64)> {
        idle_costs.iter().map(|i| (f64::from(i.members), value(i))).collect()
    };
    let voter_points = idle_costs
        .iter()
        .zip(&lossless)
        .map(|(idle, lossless)| (f64::from(idle.members), voter_bytes(idle, lossless)));
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

/// Bytes a second that leases cost each voter, sent and received: the traffic of all members for leases, less the
/// members' own ends of it.
fn voter_bytes(idle: &crate::sim::IdleCost, lossless: &Outcome) -> f64 {
    let leases = (idle.bytes_per_s * 2.0 - lossless.bytes_per_second) * f64::from(idle.members);
    let at_voters = if idle.members > idle.voters { leases / 2.0 } else { leases };
    at_voters / f64::from(idle.voters)
}

/// The result of a run.
struct Outcome {
    members: u16,
    bytes_per_second: f64,
    messages_per_second: f64,
    cpu_share: f64,
    detection_time: f64,
    false_alarms_per_minute: f64,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick(u16),
    Deliver { to: u16, bytes: Vec<u8> },
}

/// The members and the simulated network between them.
struct Cluster {
    now: Duration,
    members: Vec<Option<Members>>,
    queue: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    last_id: u64,
    loss_percent: u32,
    rng: fastrand::Rng,
    timing: Timing,
    messages: u64,
    bytes: u64,
}

impl Cluster {
    fn new(count: u16, loss_percent: u32, seed: u64) -> Self {
        let timing = Timing::default();
        let mut rng = fastrand::Rng::with_seed(seed);
        let incarnation = |member| Incarnation { member: Member(member), number: 1 };
        let members =
            (0..count).map(|m| Some(Members::new(incarnation(m), count, &timing, rng.u64(..)))).collect();
        let mut cluster = Self {
            now: Duration::ZERO,
            members,
            queue: BinaryHeap::new(),
            last_id: 0,
            loss_percent,
            timing,
            messages: 0,
            bytes: 0,
            rng,
        };
        for member in 0..count {
            let first = Duration::from_micros(cluster.rng.u64(1..50_000));
            cluster.schedule(first, Event::Tick(member));
        }
        cluster
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.last_id += 1;
        self.queue.push(Reverse((self.now + after, self.last_id, event)));
    }

    fn run(&mut self, until: Duration) {
        while self.queue.peek().is_some_and(|Reverse((at, ..))| *at < until) {
            let Some(Reverse((at, _, event))) = self.queue.pop() else { break };
            self.now = at;
            match event {
                Event::Tick(member) => self.tick(member),
                Event::Deliver { to, bytes } => self.deliver(to, &bytes),
            }
        }
        self.now = until;
    }

    fn tick(&mut self, member: u16) {
        let now = self.now;
        let Some(members) = &mut self.members[usize::from(member)] else { return };
        members.tick(now);
        self.send(member);
        self.schedule(self.timing.tick_interval, Event::Tick(member));
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
            if self.rng.u32(0..100) >= self.loss_percent {
                let delay = Duration::from_micros(self.rng.u64(100..=MAX_DELAY.as_micros() as u64));
                self.schedule(delay, Event::Deliver { to: to.0, bytes });
            }
        }
    }

    /// Whether all other members have declared a member dead.
    fn is_declared_dead_by_all(&self, member: u16) -> bool {
        self.members.iter().flatten().all(|members| members.state(Member(member)) == MemberState::Dead)
    }

    /// New incarnations of members, none of which has failed: each follows a false alarm.
    fn false_alarms(&self) -> u64 {
        self.members.iter().flatten().map(|members| members.me().number - 1).sum()
    }
}

impl Outcome {
    fn measure(count: u16, loss_percent: u32, seed: u64) -> Self {
        let mut cluster = Cluster::new(count, loss_percent, seed);
        cluster.run(SETTLING_TIME);
        let (messages, bytes, false_alarms_before) =
            (cluster.messages, cluster.bytes, cluster.false_alarms());
        let timer = ThreadTimer::start();
        cluster.run(SETTLING_TIME + MEASURED_TIME);
        let member_seconds = f64::from(count) * MEASURED_TIME.as_secs_f64();
        let cpu_share = timer.seconds() / member_seconds;
        // Each byte sent is also received.
        let bytes_per_second = 2.0 * (cluster.bytes - bytes) as f64 / member_seconds;
        let messages_per_second = (cluster.messages - messages) as f64 / member_seconds;
        let false_alarms = (cluster.false_alarms() - false_alarms_before) as f64;
        let false_alarms_per_minute = false_alarms * 60.0 / MEASURED_TIME.as_secs_f64();
        let detection_time = cluster.kill_and_detect(count / 2);
        Self {
            members: count,
            bytes_per_second,
            messages_per_second,
            cpu_share,
            detection_time,
            false_alarms_per_minute,
        }
    }
}

impl Cluster {
    /// Stops a member without notice. Returns the seconds until all others have declared it dead.
    fn kill_and_detect(&mut self, member: u16) -> f64 {
        let failed_at = self.now;
        self.members[usize::from(member)] = None;
        while !self.is_declared_dead_by_all(member) && self.now < failed_at + MAX_DETECTION_TIME {
            self.run(self.now + Duration::from_millis(50));
        }
        (self.now - failed_at).as_secs_f64()
    }
}
