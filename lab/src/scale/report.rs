//! The rows of a capacity report: the cost of a role, the size that it grows with, and whether its budget holds at full
//! size.

use serde::Serialize;
use std::fmt;

/// The role that bears a cost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    Dispatcher,
    /// The source of the worker list and of configuration.
    Discovery,
    /// A replica of the consensus group.
    Voter,
    /// A member of the fleet's membership.
    Member,
    Prober,
    /// A dispatcher that aggregates the load of a zone's workers for the others.
    ZoneAggregator,
    /// A holder of replicas of the records of unfinished jobs.
    RecordHolder,
    /// A relay of the worker list between discovery and dispatchers.
    Relay,
    /// The operator's commands and overrides.
    OperatorControl,
    Worker,
    Client,
}

/// The size that a cost grows with.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum SizeUnit {
    Workers,
    Dispatchers,
    Members,
    Relays,
    RunningTasks,
    Changes,
    ChangesPerDay,
    StartsPerSecond,
    GangMembers,
    Teams,
}

/// The mechanism that causes the cost of a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mechanism {
    /// The decision module's scan over all workers.
    ChoiceByScan,
    /// The decision module's state.
    DecisionState,
    /// Each dispatcher's own watch of discovery, by `WatchSchedule`.
    DiscoveryWatch,
    /// Distribution of the worker list through relays.
    RelayDistribution,
    /// Gossip of membership, each member to a few others.
    Membership,
    /// Leases with fencing tokens from the consensus group.
    Leases,
    /// Replicated records of unfinished jobs and their takeover.
    WorkRecords,
    /// Gossip of operators' overrides.
    OverrideGossip,
    /// Gossip of workers' load through zone aggregators.
    LoadGossip,
    /// Failed attempts, and health checks of suspects by one prober per zone.
    HealthChecks,
    /// Logs and metrics of each process.
    Observability,
    /// No mechanism exists yet.
    Missing,
}

/// How the figure at full size was obtained.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Source {
    /// Measured at the full size.
    Measured,
    /// Extrapolated along the line fitted to the measured points.
    Fitted,
    /// The value at the largest measured size, since the fitted line falls and is not extrapolated.
    Largest,
    /// Calculated from other figures; nothing was measured.
    Arithmetic,
    /// It could not be measured here, so there is no figure.
    NotMeasured,
}

/// One quantity of one role, measured at several sizes.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Row {
    pub role: Role,
    pub quantity: String,
    pub unit: &'static str,
    pub grows_by: SizeUnit,
    /// (size, value), sizes ascending.
    pub points: Vec<(f64, f64)>,
    pub slope: f64,
    pub constant: f64,
    /// Root mean square of the points' deviation from the line, in `unit`.
    pub residual: f64,
    pub full_size: f64,
    pub at_full_size: f64,
    pub source: Source,
    /// Ratio of the full size to the largest measured size; above 10 the page marks the figure.
    pub extrapolation: Option<f64>,
    /// Upper limit of the figure at full size.
    pub budget: Option<f64>,
    pub holds: Option<bool>,
    pub mechanism: Mechanism,
    /// True if the values were measured on this machine, so that they differ from run to run.
    pub timed: bool,
    /// Assumptions, with their ranges.
    pub assumption: Option<String>,
}

/// Options of a run of scenarios.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Small sizes only, so that all scenarios together take less than a minute.
    pub quick: bool,
    /// Seed of the simulations in virtual time. The same seed gives the same rows, except for timed ones.
    pub seed: u64,
}

/// A named set of rows.
#[derive(Clone, Copy)]
pub struct Scenario {
    pub name: &'static str,
    pub about: &'static str,
    pub rows: fn(&Options) -> Vec<Row>,
}

/// A straight line through measured points.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fit {
    pub slope: f64,
    pub constant: f64,
    pub residual: f64,
}

impl Fit {
    /// The least-squares line. One point, or points of one size only, give a constant line.
    pub fn through(points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_size = points.iter().map(|(size, _)| size).sum::<f64>() / count;
        let mean_value = points.iter().map(|(_, value)| value).sum::<f64>() / count;
        let covariance: f64 = points.iter().map(|(s, v)| (s - mean_size) * (v - mean_value)).sum();
        let variance: f64 = points.iter().map(|(s, _)| (s - mean_size).powi(2)).sum();
        let slope = if variance > 0.0 { covariance / variance } else { 0.0 };
        let constant = mean_value - slope * mean_size;
        let squares: f64 = points.iter().map(|(s, v)| (v - constant - slope * s).powi(2)).sum();
        Self { slope, constant, residual: (squares / count).sqrt() }
    }

    pub fn at(&self, size: f64) -> f64 {
        self.constant + self.slope * size
    }
}

impl Row {
    /// A row from measured points. The figure at full size is the measured value if there is one, otherwise that of the
    /// fitted line. A falling line is not extrapolated.
    pub fn measured(
        role: Role,
        quantity: impl Into<String>,
        unit: &'static str,
        (grows_by, full_size): (SizeUnit, f64),
        mut points: Vec<(f64, f64)>,
        mechanism: Mechanism,
    ) -> Self {
        points.sort_by(|a, b| a.0.total_cmp(&b.0));
        let fit = Fit::through(&points);
        let point_at_full_size = points.iter().find(|(size, _)| *size == full_size);
        let (at_full_size, source) = match (point_at_full_size, points.last()) {
            (Some((_, value)), _) => (*value, Source::Measured),
            (None, Some((_, value))) if fit.slope < 0.0 => (*value, Source::Largest),
            (None, Some(_)) => (fit.at(full_size), Source::Fitted),
            (None, None) => (0.0, Source::NotMeasured),
        };
        let largest = points.last().map(|(size, _)| *size).filter(|size| *size > 0.0);
        Self {
            role,
            quantity: quantity.into(),
            unit,
            grows_by,
            slope: fit.slope,
            constant: fit.constant,
            residual: fit.residual,
            full_size,
            at_full_size,
            source,
            extrapolation: largest.map(|largest| full_size / largest).filter(|factor| *factor > 1.0),
            points,
            budget: None,
            holds: None,
            mechanism,
            timed: false,
            assumption: None,
        }
    }

    /// A row calculated as `slope` times `full_size`, without measured points.
    pub fn arithmetic(
        role: Role,
        quantity: impl Into<String>,
        unit: &'static str,
        (grows_by, full_size): (SizeUnit, f64),
        slope: f64,
        mechanism: Mechanism,
    ) -> Self {
        let mut row = Self::measured(role, quantity, unit, (grows_by, full_size), Vec::new(), mechanism);
        row.slope = slope;
        row.at_full_size = slope * full_size;
        row.source = Source::Arithmetic;
        row
    }

    /// Sets the upper limit of the figure at full size. Whether it holds stays open if there is no figure.
    pub fn budget(mut self, max: f64) -> Self {
        self.budget = Some(max);
        self.holds = (self.source != Source::NotMeasured).then_some(self.at_full_size <= max);
        self
    }

    /// Whether the row has a budget that was not shown to hold.
    pub fn is_missed(&self) -> bool {
        self.budget.is_some() && self.holds != Some(true)
    }

    /// Marks the values as measured on this machine, so that they differ from run to run.
    pub fn timed(mut self) -> Self {
        self.timed = true;
        self
    }

    pub fn assuming(mut self, assumption: impl Into<String>) -> Self {
        self.assumption = Some(assumption.into());
        self
    }
}

/// The kebab-case name of a value in JSON and on the capacity page.
fn serialized_name(value: &impl Serialize) -> String {
    match serde_json::to_value(value) {
        Ok(serde_json::Value::String(name)) => name,
        _ => String::new(),
    }
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.pad(&serialized_name(self))
    }
}

impl fmt::Display for SizeUnit {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.pad(&serialized_name(self))
    }
}

impl fmt::Display for Mechanism {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.pad(&serialized_name(self))
    }
}
