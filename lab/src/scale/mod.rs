//! Capacity measurements: the cost of each role of the system by the size of the fleet, measured at several sizes and
//! extrapolated to the full size.

pub mod chart;
mod choice;
pub mod command;
mod counted_discovery;
mod discovery;
pub mod distribution;
pub mod histogram;
pub mod hollow;
mod load_gossip;
mod membership;
pub mod memory;
mod missing;
mod overrides;
mod process;
pub mod report;
pub mod table;
pub mod target;
mod usage;
pub mod watch;
mod work_records;
pub mod worker_list;

use report::{Options, Row, Scenario};
use serde::Serialize;

/// All scenarios, in the order of their rows in a report.
pub const SCENARIOS: &[Scenario] = &[
    Scenario { name: "choice", about: "CPU time of one decision by number of workers", rows: choice::rows },
    Scenario { name: "list", about: "size of the worker list", rows: worker_list::rows },
    Scenario {
        name: "watch",
        about: "watches of discovery: a day of changes, an outage, a partition, a restart of all",
        rows: discovery::rows,
    },
    Scenario {
        name: "distribution",
        about: "the worker list from discovery directly and through relays",
        rows: distribution::rows,
    },
    Scenario {
        name: "process",
        about: "real processes that watch discovery, compared with hollow dispatchers",
        rows: process::rows,
    },
    Scenario { name: "memory", about: "memory of the decision module", rows: memory::rows },
    Scenario { name: "membership", about: "membership and leases of the fleet", rows: membership::rows },
    Scenario {
        name: "work",
        about: "replicated records of unfinished jobs, and their takeover",
        rows: work_records::rows,
    },
    Scenario { name: "overrides", about: "gossip of operators' overrides", rows: overrides::rows },
    Scenario { name: "load", about: "gossip of workers' load", rows: load_gossip::rows },
    Scenario {
        name: "missing",
        about: "load that no mechanism handles yet, calculated",
        rows: missing::rows,
    },
];

/// The result of a run of scenarios.
#[derive(Debug, Serialize)]
pub struct Report {
    pub seed: u64,
    pub quick: bool,
    pub rows: Vec<Row>,
}

/// The scenario of that name, or all if `name` is `None`.
///
/// # Errors
/// There is no scenario of that name; the message lists those that exist.
pub fn find_scenarios(name: Option<&str>) -> Result<Vec<Scenario>, String> {
    let Some(name) = name else { return Ok(SCENARIOS.to_vec()) };
    let found: Vec<Scenario> = SCENARIOS.iter().copied().filter(|s| s.name == name).collect();
    if found.is_empty() {
        let names: Vec<&str> = SCENARIOS.iter().map(|s| s.name).collect();
        return Err(format!("unknown scenario {name}; available scenarios: {}", names.join(", ")));
    }
    Ok(found)
}

/// Runs scenarios one after another. `on_start` is called with each before it runs.
pub fn run(scenarios: &[Scenario], options: &Options, on_start: impl Fn(&Scenario)) -> Report {
    let mut rows = Vec::new();
    for scenario in scenarios {
        on_start(scenario);
        rows.extend((scenario.rows)(options));
    }
    Report { seed: options.seed, quick: options.quick, rows }
}

impl Report {
    /// Whether all budgets were shown to hold. A budget without a figure does not hold.
    pub fn holds(&self) -> bool {
        !self.rows.iter().any(Row::is_missed)
    }

    /// The rows whose budget was not shown to hold.
    pub fn missed(&self) -> impl Iterator<Item = &Row> {
        self.rows.iter().filter(|row| row.is_missed())
    }
}
