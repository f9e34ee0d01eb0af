//! Distribution of the worker list from discovery to all dispatchers. "Before", each dispatcher fetches full lists and
//! changes from discovery as JSON. After, one source publishes to a relay for each zone, and dispatchers subscribe.

pub mod world;

use super::memory::{run_child, ChildPlan, Measured, WORKERS_IN_CHILD};
use super::report::{Mechanism, Options, Role, Row, SizeUnit};
use super::target;
use super::watch::{self, DiscoveryModel, MILLISECOND};
use std::time::Duration;
use world::{Outcome, Plan, Size, Start};

/// Time that discovery takes for a call, and the bandwidth of its link, as in the scenario `watch`.
const CALL_TIME: watch::Time = 5 * MILLISECOND;
const LINK_BYTES_PER_SECOND: f64 = 125e6;
/// Messages lost, in thousandths, in runs with loss.
const LOST_PER_MILLE: u32 = 300;
/// Length of a burst of changes, at `target::BURST_FACTOR` (100) times the mean rate.
const BURST_SPAN: Duration = Duration::from_secs(60);
/// All dispatchers start within this time.
const RESTART_SPAN: Duration = Duration::from_secs(10);
/// There are no changes at the end of a run, so that each change has at least the 14 s of `target::CHANGE_IN_FORCE`.
const QUIET_END: Duration = Duration::from_secs(60);
/// Copies of a list that are measured together, for each decision module that a child process of the scenario `memory`
/// has at that size.
const COPIES_PER_MODULE: u32 = 10;
/// Length of runs that measure starts: transferring the full list within the byte budget takes two minutes.
const START_RUN: Duration = Duration::from_secs(300);
const QUICK_START_RUN: Duration = Duration::from_secs(60);

pub fn rows(options: &Options) -> Vec<Row> {
    let sizes = sizes(options);
    let mut rows = change_rows(options, &sizes);
    rows.extend(newcomer_rows(options, &sizes));
    rows.extend(restart_rows(options, &sizes));
    rows
}

fn sizes(options: &Options) -> Vec<Size> {
    let size = |workers, dispatchers, zones, regions| Size { workers, dispatchers, zones, regions };
    match options.quick {
        // Few workers suffice, since times and rates grow with the number of dispatchers.
        true => vec![size(50, 6, 2, 2), size(100, 12, 3, 2), size(150, 24, 4, 3), size(200, 48, 6, 4)],
        false => vec![
            size(100, 10, 2, 2),
            size(1000, 50, 5, 3),
            size(4000, 150, 12, 5),
            size(
                target::WORKERS as u32,
                target::DISPATCHERS as u16,
                target::ZONES as u16,
                target::REGIONS as u16,
            ),
        ],
    }
}

/// Times of the changes: one burst, and the mean rate before and after it.
fn changes(options: &Options, span: Duration) -> Vec<Duration> {
    let mut rng = fastrand::Rng::with_seed(options.seed ^ 0xd157);
    let mean = target::CHANGES_PER_DAY / target::SECONDS_PER_DAY;
    let changes_end = span.saturating_sub(QUIET_END);
    let mut at = |span: Duration| Duration::from_micros(rng.u64(0..span.as_micros() as u64));
    let in_burst = (mean * target::BURST_FACTOR * BURST_SPAN.as_secs_f64()) as usize;
    let rest = (mean * changes_end.as_secs_f64()) as usize;
    let burst_start = changes_end / 2;
    let mut changes: Vec<Duration> = (0..in_burst).map(|_| burst_start + at(BURST_SPAN)).collect();
    changes.extend((0..rest).map(|_| at(changes_end)));
    changes.sort_unstable();
    changes
}

fn row(role: Role, quantity: &str, unit: &'static str, mechanism: Mechanism, points: Vec<(f64, f64)>) -> Row {
    Row::measured(role, quantity, unit, (SizeUnit::Dispatchers, target::DISPATCHERS), points, mechanism)
}

fn run_at_sizes<T: Send>(sizes: &[Size], run: impl Fn(Size) -> T + Sync) -> Vec<(Size, T)> {
    sizes.iter().map(|size| (*size, run(*size))).collect()
}

fn points<T>(outcomes: &[(Size, T)], value: impl Fn(&T) -> f64) -> Vec<(f64, f64)> {
    outcomes.iter().map(|(size, outcome)| (f64::from(size.dispatchers), value(outcome))).collect()
}

fn micros(span: Duration) -> watch::Time {
    span.as_micros() as watch::Time
}

/// The same run with a watch of discovery by each dispatcher instead of relays.
fn direct_watch(plan: &Plan) -> watch::Outcome {
    let changes: Vec<watch::Time> = plan.changes.iter().map(|at| micros(*at)).collect();
    watch::simulate(&watch::Plan {
        configured_dispatchers: u32::from(plan.size.dispatchers),
        partition: None,
        dispatchers: u32::from(plan.size.dispatchers),
        workers: plan.size.workers,
        until: micros(plan.until),
        changes: &changes,
        empty_start_span: match plan.start {
            Start::All(span) => Some(micros(span)),
            Start::Settled | Start::Newcomer => None,
        },
        discovery: DiscoveryModel {
            call_time: CALL_TIME,
            link_bytes_per_second: LINK_BYTES_PER_SECOND,
            lost_per_mille: plan.lost_per_mille,
            outage: None,
        },
        seed: plan.seed,
    })
}

fn change_rows(options: &Options, sizes: &[Size]) -> Vec<Row> {
    let until = Duration::from_secs(if options.quick { 150 } else { 1800 });
    let plan = |size, lost_per_mille, relay_fails_at| Plan {
        size,
        start: Start::Settled,
        until,
        changes: changes(options, until),
        lost_per_mille,
        relay_fails_at,
        seed: options.seed,
    };
    // The relay fails during the burst.
    let relay_fails_at = Some(until.saturating_sub(QUIET_END) / 2 + BURST_SPAN / 3);
    let lossless = run_at_sizes(sizes, |size| world::simulate(&plan(size, 0, None)));
    let lossy = run_at_sizes(sizes, |size| world::simulate(&plan(size, LOST_PER_MILLE, relay_fails_at)));
    let direct = run_at_sizes(sizes, |size| direct_watch(&plan(size, 0, None)));
    let lossy_direct = run_at_sizes(sizes, |size| direct_watch(&plan(size, LOST_PER_MILLE, None)));
    let seconds = until.as_secs_f64();
    let minute = 60.0;
    let mut rows = Vec::new();
    for (outcomes, suffix) in [(&direct, ""), (&lossy_direct, ", 30% loss")] {
        let mechanism = Mechanism::DiscoveryWatch;
        let add = |quantity: &str, unit, value: &dyn Fn(&watch::Outcome) -> f64| {
            let quantity = format!("before: {quantity}{suffix}");
            row(Role::Dispatcher, &quantity, unit, mechanism, points(outcomes, value))
        };
        rows.push(add("a change is in force, median", "s", &|o| o.propagation_time.quantile(0.5)));
        rows.push(add("a change is in force, 99.9 of 100", "s", &|o| o.propagation_time.quantile(0.999)));
        rows.push(
            add("a change is in force, longest", "s", &|o| o.propagation_time.longest())
                .budget(target::CHANGE_IN_FORCE),
        );
        let worst = add("bytes, worst minute", "bytes/s", &|o| o.worst_minute_bytes as f64 / minute);
        rows.push(worst.budget(target::BYTES_PER_SECOND));
        let quantity = format!("before: bytes of discovery{suffix}");
        let bytes = points(outcomes, |o| o.bytes as f64 / seconds);
        rows.push(row(Role::Discovery, &quantity, "bytes/s", mechanism, bytes));
        let quantity = format!("before: calls of discovery{suffix}");
        let calls = points(outcomes, |o| o.calls as f64 / seconds);
        rows.push(row(Role::Discovery, &quantity, "1/s", mechanism, calls));
    }
    rows.extend(copy_rows(&lossless));
    for (outcomes, suffix) in [(&lossless, ""), (&lossy, ", 30% loss and a dead relay")] {
        rows.extend(after_rows(outcomes, suffix));
    }
    let assumption =
        "one burst of 60 s at 22 changes a second, the mean rate else; messages are lost whole, on all links";
    rows.into_iter().map(|row| row.assuming(assumption)).collect()
}

fn after_rows(outcomes: &[(Size, Outcome)], suffix: &str) -> Vec<Row> {
    let mechanism = Mechanism::RelayDistribution;
    let add = |role, quantity: &str, unit, value: fn(&Outcome) -> f64| {
        row(role, &format!("{quantity}{suffix}"), unit, mechanism, points(outcomes, value))
    };
    vec![
        add(Role::Dispatcher, "a change is in force, median", "s", |o| o.propagation_time.quantile(0.5)),
        add(Role::Dispatcher, "a change is in force, 99.9 of 100", "s", |o| {
            o.propagation_time.quantile(0.999)
        }),
        add(Role::Dispatcher, "a change is in force, longest", "s", |o| o.propagation_time.longest())
            .budget(target::CHANGE_IN_FORCE),
        add(Role::Dispatcher, "changes that one lacks at the end", "changes", |o| o.missing_changes as f64)
            .budget(0.0),
        add(Role::Dispatcher, "bytes of the list, mean", "bytes/s", |o| o.dispatcher_mean)
            .budget(target::BYTES_PER_SECOND),
        add(Role::Dispatcher, "bytes of the list, worst minute", "bytes/s", |o| o.dispatcher_worst_minute)
            .budget(target::BYTES_PER_SECOND),
        add(Role::Relay, "bytes, mean", "bytes/s", |o| o.relay_mean),
        add(Role::Relay, "bytes, worst minute", "bytes/s", |o| o.relay_worst_minute),
        add(Role::Discovery, "bytes of the source, mean", "bytes/s", |o| o.source_mean),
        add(Role::Discovery, "bytes of the source, worst minute", "bytes/s", |o| o.source_worst_minute),
        add(Role::Discovery, "calls of discovery, all by the source", "1/s", |o| o.discovery_calls),
    ]
}

/// Memory and CPU time of a dispatcher's copy of the list.
fn copy_rows(outcomes: &[(Size, Outcome)]) -> Vec<Row> {
    let by_workers = |value: &dyn Fn(&Outcome) -> f64| -> Vec<(f64, f64)> {
        outcomes.iter().map(|(size, outcome)| (f64::from(size.workers), value(outcome))).collect()
    };
    let size = (SizeUnit::Workers, target::WORKERS);
    let mechanism = Mechanism::RelayDistribution;
    let row = |quantity: &str, unit, points| {
        Row::measured(Role::Dispatcher, quantity, unit, size, points, mechanism)
    };
    let memory =
        outcomes.iter().filter_map(|(size, _)| Some((f64::from(size.workers), copy_memory(size)?))).collect();
    vec![
        row("the whole list, names and values", "bytes", by_workers(&|o| o.list_bytes as f64)),
        row("memory of a copy", "bytes", memory).timed().budget(target::MEMORY),
        row(
            "processor time of the list, relays and simulation included",
            "core",
            by_workers(&|o| o.core_share),
        )
        .timed()
        .budget(target::CORE_SHARE),
    ]
}

/// Resident memory of a copy of the list, measured in a child process.
fn copy_memory(size: &Size) -> Option<f64> {
    let instances = (WORKERS_IN_CHILD * COPIES_PER_MODULE / size.workers).max(1);
    let what = Measured::ListCopy;
    let report =
        run_child(ChildPlan { what, instances, workers: size.workers, requests_each: 0, seed: 0 }).ok()?;
    let growth = report.bytes_after.saturating_sub(report.bytes_before);
    Some(growth as f64 / f64::from(instances))
}

fn start_run(options: &Options) -> Duration {
    match options.quick {
        true => QUICK_START_RUN,
        false => START_RUN,
    }
}

fn newcomer_rows(options: &Options, sizes: &[Size]) -> Vec<Row> {
    let simulated = |lost_per_mille| {
        run_at_sizes(sizes, |size| {
            world::simulate(&Plan {
                size,
                start: Start::Newcomer,
                until: start_run(options),
                changes: Vec::new(),
                lost_per_mille,
                relay_fails_at: None,
                seed: options.seed,
            })
        })
    };
    let (lossless, lossy) = (simulated(0), simulated(LOST_PER_MILLE));
    let mechanism = Mechanism::RelayDistribution;
    let add = |quantity: &str, outcomes: &[(Size, Outcome)], value: fn(&Outcome) -> f64| {
        let points = outcomes.iter().map(|(size, o)| (f64::from(size.workers), value(o))).collect();
        let size = (SizeUnit::Workers, target::WORKERS);
        Row::measured(Role::Dispatcher, quantity, "s", size, points, mechanism)
    };
    // All others have the list from the start, so the longest time is that of the new dispatcher.
    vec![
        add("a newcomer knows its own zone", &lossless, |o| o.time_to_essential.longest())
            .budget(target::CHANGE_IN_FORCE),
        add("a newcomer knows all", &lossless, |o| o.time_to_complete.longest()),
        add("a newcomer knows its own zone, 30% loss", &lossy, |o| o.time_to_essential.longest())
            .budget(target::CHANGE_IN_FORCE),
        add("a newcomer knows all, 30% loss", &lossy, |o| o.time_to_complete.longest()),
    ]
}

fn restart_rows(options: &Options, sizes: &[Size]) -> Vec<Row> {
    let plan = |size| Plan {
        size,
        start: Start::All(RESTART_SPAN),
        until: start_run(options),
        changes: Vec::new(),
        lost_per_mille: 0,
        relay_fails_at: None,
        seed: options.seed,
    };
    let after = run_at_sizes(sizes, |size| world::simulate(&plan(size)));
    let direct = run_at_sizes(sizes, |size| direct_watch(&plan(size)));
    let (direct_mechanism, relay_mechanism) = (Mechanism::DiscoveryWatch, Mechanism::RelayDistribution);
    let add = |role, quantity: &str, unit, value: fn(&Outcome) -> f64| {
        row(role, quantity, unit, relay_mechanism, points(&after, value))
    };
    let add_before = |role, quantity: &str, unit, value: fn(&watch::Outcome) -> f64| {
        row(role, quantity, unit, direct_mechanism, points(&direct, value))
    };
    vec![
        add_before(Role::Dispatcher, "before: everybody restarts: all have the list", "s", |o| {
            o.first_list_time.longest()
        }),
        add_before(Role::Dispatcher, "before: everybody restarts: bytes, worst minute", "bytes/s", |o| {
            o.worst_minute_bytes as f64 / 60.0
        })
        .budget(target::BYTES_PER_SECOND),
        add_before(
            Role::Discovery,
            "before: everybody restarts: bytes in the worst second",
            "bytes/s",
            |o| o.worst_second_bytes as f64,
        ),
        add(Role::Dispatcher, "everybody restarts: nine in ten know their zone", "s", |o| {
            o.time_to_essential.quantile(0.9)
        }),
        add(Role::Dispatcher, "everybody restarts: all know their zone", "s", |o| {
            o.time_to_essential.longest()
        })
        .budget(target::CHANGE_IN_FORCE + RESTART_SPAN.as_secs_f64()),
        add(Role::Dispatcher, "everybody restarts: all know all", "s", |o| o.time_to_complete.longest()),
        add(Role::Dispatcher, "everybody restarts: bytes, worst minute", "bytes/s", |o| {
            o.dispatcher_worst_minute
        })
        .budget(target::BYTES_PER_SECOND),
        add(Role::Relay, "everybody restarts: bytes, worst minute", "bytes/s", |o| o.relay_worst_minute),
        add(Role::Discovery, "everybody restarts: bytes of the source, worst minute", "bytes/s", |o| {
            o.source_worst_minute
        }),
    ]
}
