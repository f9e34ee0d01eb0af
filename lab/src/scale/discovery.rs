//! The cost of the dispatchers' watches for discovery and for each dispatcher, and the time until all dispatchers know
//! a change: over a day of changes, after an outage of discovery, after a network partition of a region, and after a
//! simultaneous restart of all dispatchers.

use super::report::{Mechanism, Options, Role, Row, SizeUnit};
use super::target;
use super::watch::{simulate, DiscoveryModel, Outcome, Partition, Plan, Time, MILLISECOND, SECOND};

/// Time that discovery takes to handle a call. No setting of this project governs it, and the operators state no
/// figure. The tests of several dispatchers use 60 ms (`SLOW_CALL_TIME`), at which ten dispatchers can saturate
/// discovery.
const CALL_TIME: Time = 5 * MILLISECOND;
const SLOW_CALL_TIME: Time = 60 * MILLISECOND;
/// Bandwidth of discovery's link: 1 Gbit/s.
const LINK_BYTES_PER_SECOND: f64 = 125e6;
/// Length of a burst of changes, at `target::BURST_FACTOR` (100) times the mean rate.
const BURST_SPAN: Time = 60 * SECOND;
/// About half of a day's changes come in bursts, the rest at uniformly random times.
const BURSTS_PER_DAY: u64 = 7;
/// Start and end of discovery's outage, and how long the simulation runs after it.
const OUTAGE: (Time, Time) = (60 * SECOND, 660 * SECOND);
const AFTER_OUTAGE: Time = 120 * SECOND;
/// Start and end of a partition that separates one region's dispatchers from discovery for an hour, in a run of two
/// hours.
const PARTITION: (Time, Time) = (1800 * SECOND, 5400 * SECOND);
const PARTITION_RUN: Time = 7200 * SECOND;
/// Time after the last change for all dispatchers to receive it.
const SETTLING_TIME: Time = 60 * SECOND;
/// Workers of a rack. The loss of a rack and that of a zone take a second each.
const RACK_WORKERS: u64 = 40;
/// All dispatchers restart within this time.
const RESTART_SPAN: Time = 10 * SECOND;
const RESTART_RUN: Time = 300 * SECOND;

pub fn rows(options: &Options) -> Vec<Row> {
    let sizes: &[u32] =
        if options.quick { &[2, 10, 30, 100] } else { &[2, 30, 60, 100, 200, 300, 500, 1000] };
    let mut rows = day_rows(options, sizes);
    rows.extend(recovery_rows(options, sizes));
    rows.extend(partition_rows(options, sizes));
    rows.extend(restart_rows(options, sizes));
    rows
}

/// Runs a simulation at each size, in parallel. Each has its own random generators, so the results do not depend on the
/// order of execution.
fn run_at_sizes(sizes: &[u32], run: impl Fn(u32) -> Outcome + Sync) -> Vec<(f64, Outcome)> {
    std::thread::scope(|scope| {
        let run = &run;
        let handles: Vec<_> = sizes.iter().map(|size| (*size, scope.spawn(move || run(*size)))).collect();
        let ended = |(size, handle): (u32, std::thread::ScopedJoinHandle<'_, Outcome>)| {
            (f64::from(size), handle.join().expect("a simulation does not panic"))
        };
        handles.into_iter().map(ended).collect()
    })
}

fn points(outcomes: &[(f64, Outcome)], value: impl Fn(f64, &Outcome) -> f64) -> Vec<(f64, f64)> {
    outcomes.iter().map(|(size, outcome)| (*size, value(*size, outcome))).collect()
}

fn row(role: Role, quantity: impl Into<String>, unit: &'static str, points: Vec<(f64, f64)>) -> Row {
    let size = (SizeUnit::Dispatchers, target::DISPATCHERS);
    Row::measured(role, quantity, unit, size, points, Mechanism::DiscoveryWatch)
}

fn workers(options: &Options) -> u32 {
    if options.quick {
        200
    } else {
        target::WORKERS as u32
    }
}

/// Times of the changes: bursts, the loss of a rack and of a zone, machines that fail or are restarted, and the rest of
/// the daily number at random times.
fn changes(seed: u64, span: Time) -> Vec<Time> {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0xc4a6);
    let fraction = span as f64 / SECOND as f64 / target::SECONDS_PER_DAY;
    let all = target::CHANGES_PER_DAY * fraction;
    let bursts = ((BURSTS_PER_DAY as f64 * fraction).round() as u64).max(1);
    let mean = target::CHANGES_PER_DAY / target::SECONDS_PER_DAY;
    let in_burst = (mean * target::BURST_FACTOR * (BURST_SPAN / SECOND) as f64) as u64;
    let mut changes: Vec<Time> = Vec::new();
    for burst in 0..bursts {
        let start = (burst * 2 + 1) * span / (bursts * 2);
        changes.extend((0..in_burst).map(|_| start + rng.u64(0..BURST_SPAN)));
    }
    let rest = (all - changes.len() as f64).max(0.0) as u64;
    // Each machine causes two changes: it is listed as gone or draining, and later as back.
    let machines = ((target::FAILURES_PER_DAY + target::RESTARTS_PER_DAY) * 2.0 * fraction) as u64;
    let rest = rest + machines;
    changes.extend((0..RACK_WORKERS).map(|_| span / 5 + rng.u64(0..SECOND)));
    changes.extend((0..(target::WORKERS / target::ZONES) as u64).map(|_| span * 3 / 5 + rng.u64(0..SECOND)));
    changes.extend((0..rest).map(|_| rng.u64(0..span)));
    changes.sort_unstable();
    changes
}

fn day_rows(options: &Options, sizes: &[u32]) -> Vec<Row> {
    let span = if options.quick { 3600 * SECOND } else { 86_400 * SECOND };
    let changes = changes(options.seed, span);
    let seconds = (span / SECOND) as f64;
    let outcomes = |call_time: Time| {
        run_at_sizes(sizes, |dispatchers| {
            simulate(&Plan {
                configured_dispatchers: dispatchers,
                dispatchers,
                workers: workers(options),
                until: span + SETTLING_TIME,
                changes: &changes,
                empty_start_span: None,
                discovery: DiscoveryModel {
                    call_time,
                    link_bytes_per_second: LINK_BYTES_PER_SECOND,
                    lost_per_mille: 0,
                    outage: None,
                },
                partition: None,
                seed: options.seed,
            })
        })
    };
    let day = outcomes(CALL_TIME);
    let slow = outcomes(SLOW_CALL_TIME);
    let propagation_row = |quantity: &str, fraction: f64| {
        row(Role::Dispatcher, quantity, "s", points(&day, |_, o| o.propagation_time.quantile(fraction)))
    };
    let assumption =
        "a call takes discovery 5 ms, in turn; half of the changes in bursts of 60 s at 22 a second, \
        1,760 more by machines, a rack and a zone lost in a second each";
    vec![
        row(
            Role::Dispatcher,
            "dispatchers that lack the last change a minute after it",
            "dispatchers",
            points(&day, |_, o| o.stale_dispatchers as f64),
        )
        .budget(0.0),
        row(Role::Discovery, "calls over a day", "1/s", points(&day, |_, o| o.calls as f64 / seconds)),
        row(
            Role::Discovery,
            "calls in a day's worst second",
            "1/s",
            points(&day, |_, o| o.worst_second_calls as f64),
        ),
        row(Role::Discovery, "bytes over a day", "bytes/s", points(&day, |_, o| o.bytes as f64 / seconds)),
        row(
            Role::Discovery,
            "bytes in a day's worst second",
            "bytes/s",
            points(&day, |_, o| o.worst_second_bytes as f64),
        ),
        row(
            Role::Dispatcher,
            "bytes of the watch over a day",
            "bytes/s",
            points(&day, |n, o| o.bytes as f64 / seconds / n),
        )
        .budget(target::BYTES_PER_SECOND),
        row(
            Role::Dispatcher,
            "bytes of the watch in a day's worst minute",
            "bytes/s",
            points(&day, |_, o| o.worst_minute_bytes as f64 / 60.0),
        )
        .budget(target::BYTES_PER_SECOND),
        propagation_row("a change is known, median", 0.5),
        propagation_row("a change is known, 99.9 of 100", 0.999),
        row(
            Role::Dispatcher,
            "a change is known, longest",
            "s",
            points(&day, |_, o| o.propagation_time.longest()),
        )
        .budget(target::CHANGE_IN_FORCE),
        row(
            Role::Dispatcher,
            "a change is known, longest, slow discovery",
            "s",
            points(&slow, |_, o| o.propagation_time.longest()),
        )
        .budget(target::CHANGE_IN_FORCE)
        .assuming("a call takes discovery 60 ms, as in the repository's tests of a tier"),
        row(
            Role::Discovery,
            "calls that fail over a day, slow discovery",
            "1/s",
            points(&slow, |_, o| o.failed_calls as f64 / seconds),
        )
        .assuming("a call takes discovery 60 ms"),
    ]
    .into_iter()
    .map(|row| if row.assumption.is_none() { row.assuming(assumption) } else { row })
    .collect()
}

fn recovery_rows(options: &Options, sizes: &[u32]) -> Vec<Row> {
    let until = OUTAGE.1 + AFTER_OUTAGE;
    // One change right before the end of the outage, which no dispatcher can know yet.
    let changes = [OUTAGE.1 - 1];
    let outcomes = run_at_sizes(sizes, |dispatchers| {
        simulate(&Plan {
            configured_dispatchers: dispatchers,
            dispatchers,
            workers: workers(options),
            until,
            changes: &changes,
            empty_start_span: None,
            discovery: DiscoveryModel {
                call_time: CALL_TIME,
                link_bytes_per_second: LINK_BYTES_PER_SECOND,
                lost_per_mille: 0,
                outage: Some(OUTAGE),
            },
            partition: None,
            seed: options.seed,
        })
    });
    let assumption =
        "refuses connections for 10 minutes; a call takes it 5 ms after that; it keeps its versions";
    vec![
        row(
            Role::Discovery,
            "calls in the worst second of discovery's absence and return",
            "1/s",
            points(&outcomes, |_, o| o.worst_second_calls as f64),
        ),
        row(
            Role::Dispatcher,
            "a change is known after discovery's return, longest",
            "s",
            points(&outcomes, |_, o| o.propagation_time.longest()),
        )
        .budget(target::CHANGE_IN_FORCE),
    ]
    .into_iter()
    .map(|row| row.assuming(assumption))
    .collect()
}

fn partition_rows(options: &Options, sizes: &[u32]) -> Vec<Row> {
    let changes = changes(options.seed, PARTITION_RUN);
    let outcomes = run_at_sizes(sizes, |dispatchers| {
        simulate(&Plan {
            configured_dispatchers: dispatchers,
            dispatchers,
            workers: workers(options),
            until: PARTITION_RUN + SETTLING_TIME,
            changes: &changes,
            empty_start_span: None,
            discovery: DiscoveryModel {
                call_time: CALL_TIME,
                link_bytes_per_second: LINK_BYTES_PER_SECOND,
                lost_per_mille: 0,
                outage: None,
            },
            partition: Some(Partition {
                from: PARTITION.0,
                to: PARTITION.1,
                dispatchers: dispatchers.div_ceil(target::REGIONS as u32),
            }),
            seed: options.seed,
        })
    });
    let assumption =
        "one region of seven; discovery stands in another one, keeps its versions and its changes; \
        from the region's return on";
    vec![
        row(
            Role::Dispatcher,
            "a region cut for an hour: its changes are known, longest",
            "s",
            points(&outcomes, |_, o| o.propagation_time.longest()),
        )
        .budget(target::CHANGE_IN_FORCE),
        row(
            Role::Dispatcher,
            "bytes in the worst minute of a region's return",
            "bytes/s",
            points(&outcomes, |_, o| o.worst_minute_bytes as f64 / 60.0),
        )
        .budget(target::BYTES_PER_SECOND),
    ]
    .into_iter()
    .map(|row| row.assuming(assumption))
    .collect()
}

fn restart_rows(options: &Options, sizes: &[u32]) -> Vec<Row> {
    let outcomes = run_at_sizes(sizes, |dispatchers| {
        simulate(&Plan {
            configured_dispatchers: dispatchers,
            dispatchers,
            workers: workers(options),
            until: RESTART_RUN,
            changes: &[],
            empty_start_span: Some(RESTART_SPAN),
            discovery: DiscoveryModel {
                call_time: CALL_TIME,
                link_bytes_per_second: LINK_BYTES_PER_SECOND,
                lost_per_mille: 0,
                outage: None,
            },
            partition: None,
            seed: options.seed,
        })
    });
    let assumption =
        "all start within 10 s and ask for the whole list; 5 ms a call and 1 Gbit/s at discovery";
    vec![
        row(
            Role::Discovery,
            "bytes in the worst second when everybody restarts",
            "bytes/s",
            points(&outcomes, |_, o| o.worst_second_bytes as f64),
        ),
        row(
            Role::Discovery,
            "calls that fail when everybody restarts",
            "calls",
            points(&outcomes, |_, o| o.failed_calls as f64),
        ),
        row(
            Role::Dispatcher,
            "everybody restarts: nine in ten have the list",
            "s",
            points(&outcomes, |_, o| o.first_list_time.quantile(0.9)),
        ),
        row(
            Role::Dispatcher,
            "everybody restarts: all have the list",
            "s",
            points(&outcomes, |_, o| o.first_list_time.longest()),
        )
        .budget(target::CHANGE_IN_FORCE + (RESTART_SPAN / SECOND) as f64),
        row(
            Role::Dispatcher,
            "bytes of the watch in the worst minute of a restart",
            "bytes/s",
            points(&outcomes, |_, o| o.worst_minute_bytes as f64 / 60.0),
        )
        .budget(target::BYTES_PER_SECOND),
    ]
    .into_iter()
    .map(|row| row.assuming(assumption))
    .collect()
}
