//! Memory of the decision module by the number of workers. Hollow dispatchers are built in a child process, whose
//! resident memory is read before and after.

use super::hollow::HollowDispatcher;
use super::report::{Mechanism, Options, Role, Row, SizeUnit};
use super::target;
use super::usage;
use serde::{Deserialize, Serialize};
use std::path::Path;
use std::process::Command;

/// Approximate number of workers in all modules of a child, so that the measured memory is large compared with a page.
pub(super) const WORKERS_IN_CHILD: u32 = 44_000;
/// Requests that each worker has served, so that the module holds the state that it learns about a worker.
const REQUESTS_EACH: u32 = 2;
const QUICK_REQUESTS_EACH: u32 = 1;
/// The most module instances in a child.
const MAX_INSTANCES: u32 = 200;

/// The object whose memory is measured.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub enum Measured {
    DecisionModule,
    /// A dispatcher's copy of the list, as `lineroute-distribution` keeps it.
    ListCopy,
}

/// What a child process has to build.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct ChildPlan {
    pub what: Measured,
    pub instances: u32,
    pub workers: u32,
    pub requests_each: u32,
    pub seed: u64,
}

/// Resident memory of a child process before and after building the objects.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct ChildReport {
    pub bytes_before: u64,
    pub bytes_after: u64,
}

/// Runs in the child process: builds the objects and reads this process's resident memory.
///
/// # Errors
/// The resident memory cannot be read from `/proc`.
pub fn measure(plan: ChildPlan) -> Result<ChildReport, String> {
    if let Measured::ListCopy = plan.what {
        let list = super::distribution::world::replica(plan.workers);
        let bytes_before = resident_bytes()?;
        let all = vec![list; plan.instances as usize];
        let bytes_after = resident_bytes()?;
        drop(all);
        return Ok(ChildReport { bytes_before, bytes_after });
    }
    let bytes_before = resident_bytes()?;
    let all: Vec<HollowDispatcher> = (0..u64::from(plan.instances))
        .map(|number| HollowDispatcher::warmed(plan.workers, plan.requests_each, plan.seed + number))
        .collect();
    let bytes_after = resident_bytes()?;
    drop(all);
    Ok(ChildReport { bytes_before, bytes_after })
}

fn resident_bytes() -> Result<u64, String> {
    usage::status_bytes(Path::new("/proc/self"), "VmRSS")
}

pub fn rows(options: &Options) -> Vec<Row> {
    let sizes: &[u32] = if options.quick { &[20, 50, 100, 200] } else { &[20, 200, 1000, 3000, 11_000] };
    let requests_each = if options.quick { QUICK_REQUESTS_EACH } else { REQUESTS_EACH };
    let measured = |workers: u32| {
        let instances = (WORKERS_IN_CHILD / workers).clamp(1, MAX_INSTANCES);
        let report = run_child(ChildPlan {
            what: Measured::DecisionModule,
            instances,
            workers,
            requests_each,
            seed: options.seed,
        })?;
        let growth = report.bytes_after.saturating_sub(report.bytes_before);
        Ok((f64::from(workers), growth as f64 / f64::from(instances)))
    };
    let points: Result<Vec<(f64, f64)>, String> = sizes.iter().map(|workers| measured(*workers)).collect();
    let size = (SizeUnit::Workers, target::WORKERS);
    let row = |points| {
        Row::measured(
            Role::Dispatcher,
            "memory of the decision module",
            "bytes",
            size,
            points,
            Mechanism::DecisionState,
        )
        .timed()
    };
    match points {
        Ok(points) => vec![row(points)
            .budget(target::MEMORY)
            .assuming("resident memory of hollow dispatchers, each worker has served")],
        Err(reason) => vec![row(Vec::new()).assuming(format!("not measured: {reason}"))],
    }
}

/// Runs this program as a child process with a plan.
pub(super) fn run_child(plan: ChildPlan) -> Result<ChildReport, String> {
    let program = std::env::current_exe().map_err(|e| e.to_string())?;
    let plan = serde_json::to_string(&plan).map_err(|e| e.to_string())?;
    let output = Command::new(program).args(["scale-memory", &plan]).output().map_err(|e| e.to_string())?;
    if !output.status.success() {
        return Err(String::from_utf8_lossy(&output.stderr).trim().to_owned());
    }
    serde_json::from_slice(&output.stdout).map_err(|e| e.to_string())
}
