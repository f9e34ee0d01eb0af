//! CPU time of one scheduling decision by the number of workers, and the share of a core that all decisions take.

use super::hollow::HollowDispatcher;
use super::report::{Mechanism, Options, Role, Row, SizeUnit};
use super::target;
use super::usage::ThreadTimer;
use lineroute::Stage;

/// The median of this many batches is the result.
const BATCHES: usize = 5;

pub fn rows(options: &Options) -> Vec<Row> {
    let sizes: &[u32] = if options.quick { &[20, 50, 100, 200] } else { &[20, 200, 1000, 3000, 11_000] };
    let measured: Vec<Costs> = sizes.iter().map(|workers| Costs::measure(*workers, options)).collect();
    let points = |value: fn(&Costs) -> f64| -> Vec<(f64, f64)> {
        measured.iter().map(|costs| (f64::from(costs.workers), value(costs))).collect()
    };
    let core_share = |dispatchers: f64| -> Vec<(f64, f64)> {
        let rate = target::STARTS_PER_SECOND / dispatchers;
        points(|c| c.decision).into_iter().map(|(size, seconds)| (size, seconds * rate)).collect()
    };
    let row = |quantity: &str, unit, points, mechanism| {
        let size = (SizeUnit::Workers, target::WORKERS);
        Row::measured(Role::Dispatcher, quantity, unit, size, points, mechanism).timed()
    };
    let (min_dispatchers, max_dispatchers) = target::DISPATCHERS_RANGE;
    vec![
        row(
            "one decision: a request and its end",
            "us",
            points(|c| c.decision * 1e6),
            Mechanism::ChoiceByScan,
        ),
        row(
            "decisions, all starts of the peak at one process",
            "core",
            core_share(1.0),
            Mechanism::ChoiceByScan,
        )
        .budget(target::CORE_SHARE)
        .assuming("730 starts a second, one process decides all of them"),
        row(
            "decisions, starts of the peak spread over all",
            "core",
            core_share(target::DISPATCHERS),
            Mechanism::ChoiceByScan,
        )
        .budget(target::CORE_SHARE)
        .assuming(format!(
            "{} dispatchers ({min_dispatchers} to {max_dispatchers}) with even parts of 730 starts a second",
            target::DISPATCHERS
        )),
        row(
            "dispatchers needed to decide within the budget",
            "processes",
            points(|c| c.decision * target::STARTS_PER_SECOND / target::CORE_SHARE),
            Mechanism::ChoiceByScan,
        ),
        row("taking in one change of the list", "us", points(|c| c.change * 1e6), Mechanism::DecisionState),
        row("taking in the whole list", "ms", points(|c| c.full_list * 1e3), Mechanism::DecisionState),
    ]
}

/// CPU seconds of the decision module's operations at a number of workers.
struct Costs {
    workers: u32,
    decision: f64,
    change: f64,
    full_list: f64,
}

impl Costs {
    fn measure(workers: u32, options: &Options) -> Self {
        // A batch takes much longer than the clock's resolution and much less than a scheduler time slice.
        let batch = if options.quick { 200 } else { 2000 };
        let mut dispatcher =
            HollowDispatcher::warmed(workers, if options.quick { 1 } else { 4 }, options.seed);
        let decision = median_of_batches(batch, |_| dispatcher.serve());
        let change = median_of_batches(batch, |iteration| {
            let stage = if iteration % 2 == 0 { Stage::Draining } else { Stage::Ready };
            dispatcher.apply_change(iteration / 2 % workers, stage);
        });
        let full_list = median_of_batches(4, |_| dispatcher.apply_full_list(workers));
        Self { workers, decision, change, full_list }
    }
}

/// Seconds of one step, as the median over the batches.
fn median_of_batches(batch: u32, mut step: impl FnMut(u32)) -> f64 {
    let mut seconds: Vec<f64> = (0..BATCHES)
        .map(|_| {
            let timer = ThreadTimer::start();
            (0..batch).for_each(&mut step);
            timer.seconds()
        })
        .collect();
    seconds.sort_by(f64::total_cmp);
    seconds[BATCHES / 2] / f64::from(batch)
}
