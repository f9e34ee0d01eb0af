//! Runs a scenario with many seeds in sequence and summarises the results.

use crate::checker::{Verdict, Violation};
use crate::run::{run_alone, Setup};
use crate::scenario::Scenario;
use indicatif::{ProgressBar, ProgressStyle};
use serde::Serialize;
use std::collections::BTreeMap;

/// Number of violations reported in full; further ones are only counted.
const MAX_REPORTED: usize = 20;

/// Summary of all runs.
#[derive(Debug, Default, Serialize)]
pub struct Summary {
    pub runs: usize,
    /// Seeds whose run could not be started, with the reason.
    pub failed: Vec<(u64, String)>,
    /// Seeds with violations.
    pub bad_seeds: Vec<u64>,
    pub broken: BTreeMap<String, usize>,
    pub counted: BTreeMap<String, usize>,
    /// The first violations, with their seeds.
    pub first: Vec<(u64, Violation)>,
    /// Sum, median and maximum of each figure over all runs.
    pub sums: BTreeMap<String, f64>,
    pub medians: BTreeMap<String, f64>,
    pub longest: BTreeMap<String, f64>,
}

impl Summary {
    pub fn is_good(&self) -> bool {
        self.failed.is_empty() && self.bad_seeds.is_empty()
    }

    fn add(&mut self, seed: u64, verdict: &Verdict) {
        if !verdict.broken.is_empty() {
            self.bad_seeds.push(seed);
        }
        for b in &verdict.broken {
            *self.broken.entry(b.rule.clone()).or_default() += 1;
            if self.first.len() < MAX_REPORTED {
                self.first.push((seed, b.clone()));
            }
        }
        for (rule, times) in &verdict.counted {
            *self.counted.entry(rule.clone()).or_default() += times;
        }
    }
}

/// Runs `count` seeds, starting at `from`.
pub fn sweep(scenario: &Scenario, setup: &Setup, from: u64, count: u64) -> Summary {
    let bar = ProgressBar::new(count);
    let style =
        ProgressStyle::with_template("{bar:40} {pos}/{len} {elapsed_precise} left {eta_precise} {msg}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    let mut summary = Summary::default();
    let mut all: BTreeMap<String, Vec<f64>> = BTreeMap::new();
    for seed in from..from + count {
        let keep = setup.keep.as_ref().map(|dir| dir.join(seed.to_string()));
        summary.runs += 1;
        match run_alone(scenario, &Setup { seed, keep, ..setup.clone() }) {
            Ok(outcome) => {
                summary.add(seed, &outcome.verdict);
                let figures = serde_json::to_value(&outcome.verdict.figures).unwrap_or_default();
                for (name, value) in figures.as_object().into_iter().flatten() {
                    match value.as_object() {
                        Some(by_class) => by_class.iter().for_each(|(class, value)| {
                            let name = format!("{name}.{class}");
                            all.entry(name).or_default().extend(value.as_f64());
                        }),
                        None => all.entry(name.clone()).or_default().extend(value.as_f64()),
                    }
                }
            }
            Err(message) => summary.failed.push((seed, message)),
        }
        bar.set_message(format!("bad {}", summary.bad_seeds.len() + summary.failed.len()));
        bar.inc(1);
    }
    bar.finish_and_clear();
    for (name, mut values) in all {
        values.sort_by(f64::total_cmp);
        let longest = values.last().copied().unwrap_or_default();
        summary.medians.insert(name.clone(), values[values.len() / 2]);
        summary.longest.insert(name.clone(), longest);
        summary.sums.insert(name, values.iter().sum());
    }
    summary
}
