//! Load gossip between dispatchers: how many workers fit into a datagram at full size, its CPU time and traffic, and
//! how many workers share a tag.

use super::report::{Mechanism, Options, Role, Row, SizeUnit};
use super::target;
use super::usage::ThreadTimer;
use lineroute_control::load_gossip::{LoadReport, Purpose, ReportedLoad, Tag, MAX_DATAGRAM};
use std::collections::{BTreeMap, BTreeSet};

/// Bytes of a datagram's header, and of each worker in it.
const HEADER_BYTES: usize = 3;
const ENTRY_BYTES: usize = 3;
/// The most workers that one datagram can list.
const MAX_NAMED_WORKERS: f64 = ((MAX_DATAGRAM - HEADER_BYTES) / ENTRY_BYTES) as f64;
/// Datagrams of a task at its dispatcher: a query, the load in reply, and the dispatcher's own assigned tasks to two
/// aggregators at its start and end.
const DATAGRAMS_PER_TASK: f64 = 6.0;
/// Those of them at one aggregator of its zone: a query, the reply, and the assigned tasks at its start and end.
const AGGREGATED_DATAGRAMS_PER_TASK: f64 = 4.0;

pub fn rows(options: &Options) -> Vec<Row> {
    let mut rows = capacity_rows(options);
    rows.extend(aggregator_rows(options));
    rows.extend(traffic_rows());
    rows
}

/// Workers that have to be listed against those that fit into a datagram, and workers that share a tag.
fn capacity_rows(options: &Options) -> Vec<Row> {
    let workers: &[u32] = &[20, 200, 1000, 3000, 11_000];
    let tasks: &[u32] = &[1000, 5000, 20_000, 65_000];
    let busy = tasks.iter().map(|tasks| (f64::from(*tasks), busy_workers(*tasks, options.seed))).collect();
    let sharing = workers.iter().map(|count| (f64::from(*count), shared_tags(*count))).collect();
    let zone = workers.iter().map(|count| (f64::from(*count), f64::from(*count) / target::ZONES)).collect();
    vec![
        Row::measured(
            Role::Dispatcher,
            "workers at which one dispatcher has tasks, named in a datagram",
            "workers",
            (SizeUnit::RunningTasks, target::RUNNING_TASKS),
            busy,
            Mechanism::LoadGossip,
        )
        .budget(MAX_NAMED_WORKERS)
        .assuming("300 dispatchers (100 to 1,000) with even parts; the budget is what a datagram can name"),
        Row::measured(
            Role::ZoneAggregator,
            "busy workers of a zone, named in a datagram",
            "workers",
            (SizeUnit::Workers, target::WORKERS),
            zone,
            Mechanism::LoadGossip,
        )
        .budget(MAX_NAMED_WORKERS)
        .assuming("even zones, all workers busy; those that are not named seem idle"),
        Row::measured(
            Role::ZoneAggregator,
            "workers that share their tag with another",
            "percent",
            (SizeUnit::Workers, target::WORKERS),
            sharing,
            Mechanism::LoadGossip,
        ),
    ]
}

/// Workers that run at least one of a dispatcher's share of the tasks.
fn busy_workers(tasks: u32, seed: u64) -> f64 {
    let mut rng = fastrand::Rng::with_seed(seed);
    let own_tasks = tasks / target::DISPATCHERS as u32;
    let busy: BTreeSet<u32> = (0..own_tasks).map(|_| rng.u32(0..target::WORKERS as u32)).collect();
    busy.len() as f64
}

/// Percentage of workers whose tag is also that of another worker.
fn shared_tags(workers: u32) -> f64 {
    let mut by_tag: BTreeMap<Tag, u32> = BTreeMap::new();
    (0..workers).for_each(|worker| *by_tag.entry(worker_tag(worker)).or_default() += 1);
    let sharing: u32 = by_tag.values().filter(|count| **count > 1).sum();
    f64::from(sharing) * 100.0 / f64::from(workers)
}

fn worker_tag(worker: u32) -> Tag {
    Tag::of(&format!("w{worker:05}"))
}

/// CPU time of an aggregator for one dispatcher's report and query.
fn aggregator_rows(options: &Options) -> Vec<Row> {
    let sizes: &[u32] = if options.quick { &[5, 10, 20, 40] } else { &[10, 100, 300, 1000] };
    let costs: Vec<(f64, f64)> =
        sizes.iter().map(|count| (f64::from(*count), aggregation_seconds(*count, options.seed))).collect();
    let scaled = |factor: f64| costs.iter().map(|(size, value)| (*size, value * factor)).collect();
    let size = (SizeUnit::Dispatchers, target::DISPATCHERS);
    let row = |quantity: &str, unit, points| {
        Row::measured(Role::ZoneAggregator, quantity, unit, size, points, Mechanism::LoadGossip).timed()
    };
    vec![
        row("what one dispatcher tells and asks", "us", scaled(1e6)),
        row("all tasks of a zone at the peak", "core", scaled(target::STARTS_PER_SECOND / target::ZONES))
            .budget(target::CORE_SHARE)
            .assuming("even zones; a telling and a question for each task"),
    ]
}

/// Seconds for one report and one query, with this many dispatchers that all have tasks assigned.
fn aggregation_seconds(dispatchers: u32, seed: u64) -> f64 {
    const ROUNDS: u32 = 3;
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut new_report = |round: u32| {
        let out = (0..MAX_NAMED_WORKERS as usize)
            .map(|_| (worker_tag(rng.u32(0..target::WORKERS as u32)), 1))
            .collect();
        LoadReport {
            purpose: Purpose::Query,
            sequence: round as u8 & 15,
            zone: Tag::of("z00"),
            in_flight: out,
            refused: Vec::new(),
        }
    };
    let reports: Vec<LoadReport> =
        (0..ROUNDS * dispatchers).map(|index| new_report(index / dispatchers)).collect();
    let mut aggregated = ReportedLoad::default();
    let mut listed = 0;
    let timer = ThreadTimer::start();
    for (index, report) in (0..).zip(&reports) {
        let now = 10_000 + u64::from(index / dispatchers) * 200;
        aggregated.apply(index % dispatchers, report, now);
        listed += aggregated.snapshot(index % dispatchers, now, |_| true).0.len();
    }
    std::hint::black_box(listed);
    timer.seconds() / f64::from(ROUNDS * dispatchers)
}

fn traffic_rows() -> Vec<Row> {
    let size = (SizeUnit::StartsPerSecond, target::STARTS_PER_SECOND);
    let datagram = MAX_DATAGRAM as f64;
    vec![
        Row::arithmetic(
            Role::Dispatcher,
            "bytes of load gossip at the peak, sent and received",
            "bytes/s",
            size,
            DATAGRAMS_PER_TASK * datagram / target::DISPATCHERS,
            Mechanism::LoadGossip,
        )
        .budget(target::BYTES_PER_SECOND)
        .assuming("full datagrams of 243 bytes, six for a task, 300 dispatchers (100 to 1,000)"),
        Row::arithmetic(
            Role::ZoneAggregator,
            "bytes of load gossip of a zone at the peak",
            "bytes/s",
            size,
            AGGREGATED_DATAGRAMS_PER_TASK * datagram / target::ZONES,
            Mechanism::LoadGossip,
        )
        .budget(target::BYTES_PER_SECOND)
        .assuming("even zones; the aggregator is a dispatcher with a dispatcher's budget"),
    ]
}
