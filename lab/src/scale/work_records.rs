//! Records of work in hand for all running tasks: bytes, messages, processor time, and a dead owner's takeover.

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

/// Copies of a record beside its owner's, as the program configures them where nothing is said.
const COPIES: usize = 2;
/// Bytes of a job's body.
const BODY: usize = 1024;
/// Time that a client still waits.
const LEFT: Duration = Duration::from_secs(60);
/// Dispatchers among which the tasks are spread.
const MEMBERS: u16 = target::DISPATCHERS as u16;
const QUICK_MEMBERS: u16 = 30;
/// Words of an owner on one task: taken, an attempt that goes out, its end.
const WORDS_OF_A_TASK: f64 = 3.0;

pub fn rows(options: &Options) -> Vec<Row> {
    let (members, sizes): (u16, &[u32]) = match options.quick {
        true => (QUICK_MEMBERS, &[100, 300, 1000, 3000]),
        false => (MEMBERS, &[1000, 5000, 20_000, 65_000]),
    };
    let played: Vec<Outcome> = sizes.iter().map(|tasks| Outcome::of(members, *tasks)).collect();
    let points = |value: fn(&Outcome) -> f64| -> Vec<(f64, f64)> {
        played.iter().map(|o| (o.tasks, value(o))).collect()
    };
    let row = |role, quantity: &str, unit, points| {
        let size = (SizeUnit::RunningTasks, target::RUNNING_TASKS);
        let assumption = format!("{members} dispatchers with even parts, 2 copies beside the owner's, bodies of 1,024 bytes (0 to 65,536)");
        Row::measured(role, quantity, unit, size, points, Mechanism::WorkRecords).assuming(assumption)
    };
    let word = word_rows(options);
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
    .chain(word)
    .collect()
}

/// The choice of holders looks at each member: what one word costs by their number, and what a peak of starts comes to.
fn word_rows(options: &Options) -> Vec<Row> {
    let sizes: &[u16] = if options.quick { &[5, 10, 20, 40] } else { &[5, 50, 150, 300, 1000] };
    let words = if options.quick { 200 } else { 2000 };
    let points: Vec<(f64, f64)> =
        sizes.iter().map(|members| (f64::from(*members), word_seconds(*members, words))).collect();
    let scaled = |factor: f64| points.iter().map(|(size, value)| (*size, value * factor)).collect::<Vec<_>>();
    let size = (SizeUnit::Members, target::DISPATCHERS);
    let row = |quantity: &str, unit, points| {
        Row::measured(Role::Dispatcher, quantity, unit, size, points, Mechanism::WorkRecords).timed()
    };
    let rate = target::STARTS_PER_SECOND * WORDS_OF_A_TASK / target::DISPATCHERS;
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
            bytes * WORDS_OF_A_TASK * COPIES as f64 * 2.0 / target::DISPATCHERS,
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
        body: vec![7; BODY],
        effect: Effect::Once,
    };
    Record::new(JobId::of_reference(owner, &reference), request, owner, LEFT)
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

/// Seconds of the owner's side for one word, its holders' choice included.
fn word_seconds(members: u16, words: u32) -> f64 {
    let mut replicas = replica_sets(0, members);
    let timer = ThreadTimer::start();
    for number in 0..words {
        let _ = replicas.insert(Duration::ZERO, record(number, owner(0)));
        replicas.take_events();
    }
    timer.seconds() / f64::from(words)
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
    fn of(members: u16, tasks: u32) -> Self {
        let limits = Limits { records: usize::MAX, bytes: usize::MAX, answer_retention: LEFT };
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
        let takeover = Takeover::of(owner(0), &mut holders);
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

/// Brings an owner's words to their holders; bytes of all of them.
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
    /// Takes a dead owner's records under a recovery lease at all holders and gathers them.
    fn of(dead: Incarnation, holders: &mut [ReplicaHolder]) -> Self {
        const TOKEN: u64 = 2;
        let mut takeover = Self::default();
        let all = (0..holders.len() as u16).map(Member);
        let timer = ThreadTimer::start();
        let mut orphaned = OrphanedWork::new(dead, TOKEN, all, COPIES);
        for (member, holder) in holders.iter_mut().enumerate() {
            holder.accept_recovery_lease(dead, TOKEN);
            let mut behind = None;
            while let Some(page) = holder.page(dead, TOKEN, behind) {
                behind = page.last().map(|record| record.id);
                takeover.pages += 1;
                takeover.bytes += page.iter().map(|record| record.encode().len()).sum::<usize>();
                orphaned.add_page(Member(member as u16), page, behind.is_none());
                if behind.is_none() {
                    break;
                }
            }
        }
        takeover.seconds = timer.seconds();
        takeover
    }
}
