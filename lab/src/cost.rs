//! Resource cost of the fleet: runs one scenario alternately with and without it and compares the usage of the processes.

use crate::run::{run_alone, Setup};
use crate::scenario::Scenario;
use serde::Serialize;

/// Minimum, median and maximum of a figure over all pairs.
#[derive(Debug, Default, Serialize)]
pub struct Spread {
    pub least: f64,
    pub median: f64,
    pub most: f64,
}

impl Spread {
    fn of(mut values: Vec<f64>) -> Spread {
        values.sort_by(f64::total_cmp);
        let at = |i: usize| values.get(i).copied().unwrap_or_default();
        Spread { least: at(0), median: at(values.len() / 2), most: at(values.len().saturating_sub(1)) }
    }
}

/// Results of all pairs of runs.
#[derive(Debug, Default, Serialize)]
pub struct Cost {
    pub pairs: usize,
    /// CPU time per request, summed over all members, in microseconds.
    pub cpu_us_with: Spread,
    pub cpu_us_without: Spread,
    /// Ratio of with to without, by pair.
    pub ratio: Spread,
    /// Bytes per second that each member sent to others, and CPU time of a member in thousandths of a core.
    pub member_bytes_per_s_with: Spread,
    pub member_cpu_permille_with: Spread,
    pub member_cpu_permille_without: Spread,
    /// The largest resident memory of a member, in kilobytes.
    pub member_kb_with: Spread,
    pub member_kb_without: Spread,
    /// Violations in all runs.
    pub broken: usize,
}

/// Runs pairs with and without the fleet; the order alternates from pair to pair.
///
/// # Errors
/// A run can't be started, or the scenario has no `fleet`.
pub fn cost(scenario: &Scenario, setup: &Setup, pairs: usize) -> Result<Cost, String> {
    if scenario.fleet.is_none() {
        return Err("fleet: the scenario has none, so there is nothing to compare".into());
    }
    let without = Scenario { fleet: None, ..scenario.clone() };
    let mut all = [Vec::new(), Vec::new()];
    let mut cost = Cost { pairs, ..Cost::default() };
    for pair in 0..pairs {
        for turn in 0..2 {
            let with = (pair + turn) % 2 == 0;
            let seed = setup.seed + pair as u64;
            let variant = if with { scenario } else { &without };
            let verdict = run_alone(variant, &Setup { seed, keep: None, ..setup.clone() })?.verdict;
            cost.broken += verdict.broken.len();
            all[usize::from(!with)].push(verdict.figures);
        }
    }
    let [with, without] = &all;
    let each = |of: &[crate::checker::Figures], pick: fn(&crate::checker::Figures) -> f64| {
        Spread::of(of.iter().map(pick).collect())
    };
    cost.cpu_us_with = each(with, |f| f.cpu_us_a_request);
    cost.cpu_us_without = each(without, |f| f.cpu_us_a_request);
    cost.ratio = Spread::of(
        with.iter().zip(without).map(|(a, b)| a.cpu_us_a_request / b.cpu_us_a_request.max(1e-9)).collect(),
    );
    cost.member_bytes_per_s_with = each(with, |f| f.member_bytes_per_s);
    cost.member_cpu_permille_with = each(with, |f| f.member_cpu_permille);
    cost.member_cpu_permille_without = each(without, |f| f.member_cpu_permille);
    cost.member_kb_with = each(with, |f| f.member_kb as f64);
    cost.member_kb_without = each(without, |f| f.member_kb as f64);
    Ok(cost)
}
