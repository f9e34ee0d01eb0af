//! Replicated records of all running tasks: bytes, messages and CPU time, and the takeover of a failed owner's records.

use super::report::{Mechanism, Options, Role, Row, SizeUnit};
use super::target;
use super::usage::ThreadTimer;
use lineroute_fleet::{Incarnation, Member};
use lineroute_work::placement::Candidate;
use lineroute_work::record::{Effect, JobId, JobRequest, Record};
use lineroute_work::recovery::OrphanedWork;
use lineroute_work::replica_holder::{Limits, ReplicaHolder};
use lineroute_work::replica_set::{Event, ReplicaSets};
use std::time::Duration;

/// Replicas of a record in addition to its owner's: the program's default.
const COPIES: usize = 2;
/// Bytes of a job's request body.
const BODY_BYTES: usize = 1024;
/// Time that a job's client still waits.
const REMAINING_TIME: Duration = Duration::from_secs(60);
/// Dispatchers that share the tasks evenly.
const MEMBERS: u16 = target::DISPATCHERS as u16;
const QUICK_MEMBERS: u16 = 30;
/// Record updates by the owner for one task: accepted, attempt started, finished.
const UPDATES_PER_TASK: f64 = 3.0;

pub fn rows(options: &Options) -> Vec<Row> {
    let (members, sizes): (u16, &[u32]) = match options.quick {
        true => (QUICK_MEMBERS, &[100, 300, 1000, 3000]),
        false => (MEMBERS, &[1000, 5000, 20_000, 65_000]),
    };
    let outcomes: Vec<Outcome> = sizes.iter().map(|tasks| Outcome::measure(members, *tasks)).collect();
    let points = |value: fn(&Outcome) -> f64| -> Vec<(f64, f64)> {
        outcomes.iter().map(|o| (o.tasks, value(o))).collect()
    };
    let row = |role, quantity: &str, unit, points| {
        let size = (SizeUnit::RunningTasks, target::RUNNING_TASKS);
        let assumption = format!("{members} dispatchers with even parts, 2 copies beside the owner's, bodies of 1,024 bytes (0 to 65,536)");
        Row::measured(role, quantity, unit, size, points, Mechanism::WorkRecords).assuming(assumption)
    };
    let update_rows = update_rows(options);
    vec![
        row(Role::RecordHolder, "records held for others, at one member", "bytes", points(|o| o.held_bytes))
            .budget(target::MEMORY),
        row(Role::Dispatcher, "records owned, at one dispatcher", "bytes", points(|o| o.owned_bytes))
            .budget(target::MEMORY),
        row(
            Role::Dispatcher,
            "bytes sent to place all running tasks' records, one dispatcher",
            "bytes",
            points(|o| o.sent_bytes),
        ),
        row(
            Role::RecordHolder,
            "a dead owner's takeover: bytes from all holders",
            "bytes",
            points(|o| o.takeover_bytes),
        ),
        row(
            Role::RecordHolder,
            "a dead owner's takeover: pages from all holders",
            "messages",
            points(|o| o.takeover_pages),
        ),
        row(
            Role::RecordHolder,
            "a dead owner's takeover: processor time of gathering",
            "ms",
            points(|o| o.takeover_ms),
        )
        .timed(),
    ]
    .into_iter()
    .chain(update_rows)
    .collect()
}

/// The selection of replica holders examines each member: the cost of one update by the number of members, and that of
/// all updates at the peak rate of starts.
fn update_rows(options: &Options) -> Vec<Row> {
    let sizes: &[u16] = if options.quick { &[5, 10, 20, 40] } else { &[5, 50, 150, 300, 1000] };
    let updates = if options.quick { 200 } else { 2000 };
    let points: Vec<(f64, f64)> =
        sizes.iter().map(|members| (f64::from(*members), update_seconds(*members, updates))).collect();
    let scaled = |factor: f64| points.iter().map(|(size, value)| (*size, value * factor)).collect::<Vec<_>>();
    let size = (SizeUnit::Members, target::DISPATCHERS);
    let row = |quantity: &str, unit, points| {
        Row::measured(Role::Dispatcher, quantity, unit, size, points, Mechanism::WorkRecords).timed()
    };
    let rate = target::STARTS_PER_SECOND * UPDATES_PER_TASK / target::DISPATCHERS;
    let bytes = record(0, Incarnation { member: Member(0), number: 1 }).encode().len() as f64;
    vec![
        row("one word on a record: choice of its holders", "us", scaled(1e6)),
        row("words of the peak's starts, spread over all", "core", scaled(rate))
            .budget(target::CORE_SHARE)
            .assuming("300 dispatchers (100 to 1,000), three words a task"),
        Row::arithmetic(
            Role::Dispatcher,
            "bytes of records at the peak's starts, sent and received",
            "bytes/s",
            (SizeUnit::StartsPerSecond, target::STARTS_PER_SECOND),
            bytes * UPDATES_PER_TASK * COPIES as f64 * 2.0 / target::DISPATCHERS,
            Mechanism::WorkRecords,
        )
        .budget(target::BYTES_PER_SECOND)
        .assuming(
            "all classes are recorded, whole record with each word, bodies of 1,024 bytes, 300 dispatchers",
        ),
    ]
}

fn record(number: u32, owner: Incarnation) -> Record {
    let reference = format!("r{number}");
    let request = JobRequest {
        class: "order".into(),
        tenant: Some("team-001".into()),
        reference: reference.clone(),
        key: None,
        path: "/api".into(),
        body: vec![7; BODY_BYTES],
        effect: Effect::Once,
    };
    Record::new(JobId::of_reference(owner, &reference), request, owner, REMAINING_TIME)
}

fn candidates(members: u16) -> Vec<Candidate> {
    let zones = target::ZONES as u16;
    (0..members).map(|member| Candidate { member: Member(member), zone: member % zones }).collect()
}

fn owner(member: u16) -> Incarnation {
    Incarnation { member: Member(member), number: 1 }
}

fn replica_sets(member: u16, members: u16) -> ReplicaSets {
    let zone = member % target::ZONES as u16;
    let mut replicas = ReplicaSets::new(owner(member), zone, COPIES, usize::MAX, usize::MAX);
    replicas.set_candidates(Duration::ZERO, candidates(members));
    replicas
}

/// Seconds that an owner needs for one update, including the selection of its replica holders.
fn update_seconds(members: u16, updates: u32) -> f64 {
    let mut replicas = replica_sets(0, members);
    let timer = ThreadTimer::start();
    for number in 0..updates {
        let _ = replicas.insert(Duration::ZERO, record(number, owner(0)));
        replicas.take_events();
    }
    timer.seconds() / f64::from(updates)
}

struct Outcome {
    tasks: f64,
    held_bytes: f64,
    owned_bytes: f64,
    sent_bytes: f64,
    takeover_bytes: f64,
    takeover_pages: f64,
    takeover_ms: f64,
}

impl Outcome {
    fn measure(members: u16, tasks: u32) -> Self {
        let limits = Limits { records: usize::MAX, bytes: usize::MAX, answer_retention: REMAINING_TIME };
        let mut holders: Vec<ReplicaHolder> = (0..members).map(|_| ReplicaHolder::new(limits)).collect();
        let (mut owned, mut sent) = (0, 0);
        for member in 0..members {
            let mut replicas = replica_sets(member, members);
            for number in (0..tasks).filter(|number| number % u32::from(members) == u32::from(member)) {
                let _ = replicas.insert(Duration::ZERO, record(number, owner(member)));
                sent += deliver(&mut replicas, &mut holders);
            }
            owned = owned.max(replicas.usage().1);
        }
        let held = holders.iter().map(|holder| holder.usage().1).max().unwrap_or(0);
        let takeover = Takeover::measure(owner(0), &mut holders);
        Self {
            tasks: f64::from(tasks),
            held_bytes: held as f64,
            owned_bytes: owned as f64,
            sent_bytes: sent as f64 / f64::from(members),
            takeover_bytes: takeover.bytes as f64,
            takeover_pages: takeover.pages as f64,
            takeover_ms: takeover.seconds * 1e3,
        }
    }
}

/// Delivers an owner's updates to the replica holders. Returns the bytes of all of them.
fn deliver(replicas: &mut ReplicaSets, holders: &mut [ReplicaHolder]) -> usize {
    let mut bytes = 0;
    for event in replicas.take_events() {
        let Event::Send(to, record) = event else { continue };
        bytes += record.encode().len();
        if let Ok(version) = holders[usize::from(to.0)].store(Duration::ZERO, (*record).clone()) {
            replicas.acknowledge(Duration::ZERO, to, record.id, version);
        }
    }
    replicas.take_events();
    bytes
}

#[derive(Default)]
struct Takeover {
    bytes: usize,
    pages: usize,
    seconds: f64,
}

impl Takeover {
    /// Collects a failed owner's records from all holders under a recovery lease.
    fn measure(failed_owner: Incarnation, holders: &mut [ReplicaHolder]) -> Self {
        const TOKEN: u64 = 2;
        let mut takeover = Self::default();
        let all = (0..holders.len() as u16).map(Member);
        let timer = ThreadTimer::start();
        let mut orphaned = OrphanedWork::new(failed_owner, TOKEN, all, COPIES);
        for (member, holder) in holders.iter_mut().enumerate() {
            holder.accept_recovery_lease(failed_owner, TOKEN);
            let mut after = None;
            while let Some(page) = holder.page(failed_owner, TOKEN, after) {
                after = page.last().map(|record| record.id);
                takeover.pages += 1;
                takeover.bytes += page.iter().map(|record| record.encode().len()).sum::<usize>();
                orphaned.add_page(Member(member as u16), page, after.is_none());
                if after.is_none() {
                    break;
                }
            }
        }
        takeover.seconds = timer.seconds();
        takeover
    }
}
