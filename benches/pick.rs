//! Cost of a decision by number of workers and overrides in force. Run with `cargo bench --bench pick`.

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use lineroute::*;
use std::hint::black_box;

const MS: Micros = 1000;

fn settings() -> Settings {
    let class = Class {
        aim: 500 * MS,
        stretch: 1.0,
        deadline: 5000 * MS,
        late_share: 0.2,
        worth: 1.0,
        effect: Effect::Repeatable,
        kind: None,
        zones: None,
        kinds: None,
    };
    Settings {
        instances: 1,
        classes: vec![class; 3],
        tenants: vec![],
        discovery: Discovery::Push,
        report_source: ReportSource::None,
        allowed: Allowed {
            cancel: true,
            probe: false,
            max_retry_after: 2000 * MS,
            max_attempts: 3,
            most_held: 10_000,
            parallel: false,
            keepalive: 60_000 * MS,
        },
        rules: Rules {
            ask_within: 10_000 * MS,
            cold_from: 0.1,
            warm_up: 20_000 * MS,
            overload_factor: 3.0,
            overload_for: 2000 * MS,
            may_shed_begun: false,
            dropped_stay_open: false,
        },
        progress_interval: 0,
        tells_start: false,
        zone: None,
        worth_by_work: false,
        prices: Prices::default(),
        reports_count_jobs: true,
        tail_slack: None,
    }
}

/// A balancer that knows this many workers and their response times.
fn warmed(workers: u32) -> (Balancer, Micros) {
    let mut balancer = Balancer::new(settings(), 7).expect("valid settings");
    let entry = |w: u32| WorkerEntry {
        worker: WorkerId(w),
        zone: ZoneId(w % 2),
        kind: KindId(0),
        cell: CellId(w / 2),
        stage: Stage::Ready,
        started: None,
        size: 0.0,
    };
    let mut actions = Vec::new();
    balancer.handle(0, Event::WorkerList(ListKind::Full, (0..workers).map(entry).collect()), &mut actions);
    let mut now = 1;
    for id in 0..u64::from(workers) * 4 {
        now = serve(&mut balancer, id, now, &mut actions);
    }
    (balancer, now)
}

/// Runs one request from arrival to end, and returns the time after it.
fn serve(balancer: &mut Balancer, id: u64, now: Micros, actions: &mut Vec<Action>) -> Micros {
    actions.clear();
    let id = RequestId(id.to_string().into());
    let (class, deadline) = (ClassId((now % 3) as usize), now + 5000 * MS);
    let request =
        Request { id: id.clone(), class, tenant: None, key: None, deadline, slots: 1.0, work: None };
    balancer.handle(now, Event::Request(request), actions);
    let (outcome, attempt, elapsed) = (Outcome::Served, AttemptNo(0), 50 * MS);
    let end = AttemptEnd { id, attempt, outcome, request_done: true, elapsed, report: None };
    balancer.handle(now + 50, Event::AttemptEnded(end), actions);
    black_box(actions.len());
    now + 100
}

/// This many overrides: weights for the workers in turn, a tenth as many workers out of service, and pins of
/// tenants.
fn overrides(count: u32, workers: u32) -> Overrides {
    let weights: Vec<_> = (0..count.min(workers)).map(|w| (WorkerId(w), 0.5 + f64::from(w % 4))).collect();
    let out_of_service: Vec<_> = (0..count / 10).map(|w| WorkerId(workers + w)).collect();
    let rest = count as usize - weights.len().min(count as usize);
    let pins = (0..rest).map(|t| (ClassId(t % 3), Some(TenantId(t)), WorkerId(t as u32 % workers)));
    Overrides { weights, out_of_service, pins: pins.collect() }
}

fn pick(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("request");
    for workers in [20, 200, 1000, 3000, 11_000] {
        for count in [0, 10, 1000] {
            let (mut balancer, mut now) = warmed(workers);
            let mut actions = Vec::new();
            let set = Event::Overrides(overrides(count, workers));
            balancer.handle(now, set, &mut actions);
            let mut id = 1 << 32;
            let name = BenchmarkId::new(format!("{workers} workers"), format!("{count} overrides"));
            group.bench_function(name, |bencher| {
                bencher.iter(|| {
                    id += 1;
                    now = serve(&mut balancer, id, now, &mut actions);
                })
            });
        }
    }
    group.finish();
}

criterion_group!(benches, pick);
criterion_main!(benches);
