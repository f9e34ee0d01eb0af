//! The size of the worker list in the platform's JSON format.

use super::report::{Mechanism, Options, Role, Row, SizeUnit};
use super::target;
use serde::Serialize;

/// Start time of the synthetic workers, as Unix time in milliseconds.
const STARTED_MS: u64 = 1_764_600_000_000;
/// Workers that share a cell.
const CELL_WORKERS: u32 = 8;

/// A list as discovery sends it.
#[derive(Serialize)]
pub struct WorkerList {
    version: u64,
    full: bool,
    servers: Vec<ListedWorker>,
}

/// One worker of a list as discovery sends it.
#[derive(Serialize)]
struct ListedWorker {
    id: String,
    addr: String,
    zone: String,
    kind: &'static str,
    cell: u32,
    state: &'static str,
    started_ms: u64,
}

impl ListedWorker {
    fn new(worker: u32) -> Self {
        let [_, high, middle, low] = worker.to_be_bytes();
        Self {
            id: format!("w{worker:05}"),
            addr: format!("10.{high}.{middle}.{low}:8080"),
            zone: format!("z{:02}", worker % target::ZONES as u32),
            kind: "m",
            cell: worker / CELL_WORKERS,
            state: "up",
            started_ms: STARTED_MS + u64::from(worker),
        }
    }
}

impl WorkerList {
    /// A full list of `workers` workers.
    pub fn full(workers: u32) -> Self {
        Self { version: 19_000, full: true, servers: (0..workers).map(ListedWorker::new).collect() }
    }

    /// A list of changes of `count` workers.
    pub fn changes(count: u32) -> Self {
        Self { full: false, ..Self::full(count) }
    }

    /// The same list with another version.
    pub fn with_version(self, version: u64) -> Self {
        Self { version, ..self }
    }

    /// Size of the list as JSON, in bytes.
    pub fn bytes(&self) -> usize {
        serde_json::to_vec(self).map_or(0, |bytes| bytes.len())
    }
}

pub fn rows(options: &Options) -> Vec<Row> {
    // Encoding a list is fast, so the full size is measured in quick runs too.
    let sizes: &[u32] = if options.quick { &[20, 200, 1000, 11_000] } else { &[20, 200, 1000, 3000, 11_000] };
    let bytes: Vec<(f64, f64)> = sizes
        .iter()
        .map(|workers| (f64::from(*workers), WorkerList::full(*workers).bytes() as f64))
        .collect();
    let transfer_seconds =
        bytes.iter().map(|(size, bytes)| (*size, bytes / target::BYTES_PER_SECOND)).collect();
    let size = (SizeUnit::Workers, target::WORKERS);
    let row = |quantity: &str, unit, points| {
        Row::measured(Role::Dispatcher, quantity, unit, size, points, Mechanism::DiscoveryWatch)
    };
    let zone_workers = (target::WORKERS / target::ZONES) as u32;
    let missed_changes = (target::CHANGES_PER_DAY / target::HOURS_PER_DAY).ceil() as u32;
    vec![
        row("the whole list", "bytes", bytes)
            .assuming("about 117 bytes a worker: ids of 6 characters, zones of 3"),
        row("a newcomer takes the whole list at its budget of bytes", "s", transfer_seconds)
            .budget(target::CHANGE_IN_FORCE)
            .assuming("until then no change is in force at it; 5,000 bytes a second"),
        changes_row("a zone lost: its workers' changes at the budget of bytes", zone_workers)
            .assuming("even zones: one of 25 holds 440 workers"),
        changes_row(
            "a region cut for an hour: the changes that it missed, at the budget of bytes",
            missed_changes,
        )
        .assuming(
            "mean rate: 792 changes in the hour, each of another worker; discovery tells them by version",
        ),
    ]
}

/// Seconds that the changes of `count` workers take to transfer within the byte budget, and those of a quarter, a half
/// and three quarters of them.
fn changes_row(quantity: &str, count: u32) -> Row {
    let seconds = |count| WorkerList::changes(count).bytes() as f64 / target::BYTES_PER_SECOND;
    let points =
        (1..=4).map(|part| count * part / 4).map(|count| (f64::from(count), seconds(count))).collect();
    let size = (SizeUnit::Changes, f64::from(count));
    Row::measured(Role::Dispatcher, quantity, "s", size, points, Mechanism::DiscoveryWatch)
        .budget(target::CHANGE_IN_FORCE)
}
