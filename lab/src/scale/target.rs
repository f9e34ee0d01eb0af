//! The planned full size of the system and its budgets, as stated by the operators.

/// Workers of all regions.
pub const WORKERS: f64 = 11_000.0;
/// Task starts a second at the peak.
pub const STARTS_PER_SECOND: f64 = 730.0;
/// Tasks running at once.
pub const RUNNING_TASKS: f64 = 65_000.0;
/// Members of the largest gang.
pub const GANG_MEMBERS: f64 = 512.0;
/// Teams with quotas.
pub const TEAMS: f64 = 270.0;
pub const REGIONS: f64 = 7.0;
pub const ZONES: f64 = 25.0;
/// Changes of configuration a day.
pub const CHANGES_PER_DAY: f64 = 19_000.0;
/// Ratio of a burst's rate of changes to the mean rate.
pub const BURST_FACTOR: f64 = 100.0;
/// Machines that fail on an ordinary day.
pub const FAILURES_PER_DAY: f64 = 170.0;
/// Machines that are restarted or replaced on an ordinary day.
pub const RESTARTS_PER_DAY: f64 = 710.0;

/// Dispatchers. The operators state only "hundreds"; the assumed range is [`DISPATCHERS_RANGE`].
pub const DISPATCHERS: f64 = 300.0;
pub const DISPATCHERS_RANGE: (f64, f64) = (100.0, 1000.0);

/// Share of a core that a dispatcher may use for control.
pub const CORE_SHARE: f64 = 0.013;
/// Bytes of memory that a dispatcher may use for control.
pub const MEMORY: f64 = 128.0 * 1024.0 * 1024.0;
/// Bytes a second that a dispatcher may use for control.
pub const BYTES_PER_SECOND: f64 = 5_000.0;
/// Machines reserved for control.
pub const CONTROL_MACHINES: f64 = 6.0;
/// Seconds until a change of configuration is in force everywhere.
pub const CHANGE_IN_FORCE: f64 = 14.0;
/// Seconds until urgent work has started.
pub const URGENT_START: f64 = 2.5;

pub const SECONDS_PER_DAY: f64 = 86_400.0;
pub const HOURS_PER_DAY: f64 = 24.0;
