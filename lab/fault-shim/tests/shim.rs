//! Runs an unmodified program with the shim preloaded.

use lineroute_fault_plan::{FaultPlan, PLAN_VARIABLE};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{SystemTime, UNIX_EPOCH};

const HOUR_MS: i64 = 3_600_000;
const HOUR_S: u64 = 3600;

/// Path of the library, which cargo builds for this test.
fn shim() -> PathBuf {
    let test = std::env::current_exe().expect("a path");
    let built = test.ancestors().skip(1).map(|dir| dir.join("liblineroute_fault_shim.so"));
    built.into_iter().find(|path| path.is_file()).expect("cargo has built it")
}

/// The Unix time that `date` prints under this plan.
fn date_under_plan(plan: &Path) -> u64 {
    let mut date = Command::new("date");
    date.arg("+%s").env("LD_PRELOAD", shim()).env(PLAN_VARIABLE, plan);
    let output = date.output().expect("there is a date command");
    String::from_utf8_lossy(&output.stdout).trim().parse().expect("a number")
}

#[test]
fn wall_clock_is_offset_by_the_plan() {
    let path = std::env::temp_dir().join(format!("fault-shim-{}", std::process::id()));
    let now = || SystemTime::now().duration_since(UNIX_EPOCH).expect("a time").as_secs();
    for (offset_ms, expected) in [(0, now()), (HOUR_MS, now() + HOUR_S), (-HOUR_MS, now() - HOUR_S)] {
        let plan = FaultPlan { clock_offset_ms: offset_ms, ..FaultPlan::default() };
        std::fs::write(&path, plan.to_bytes()).expect("the plan is written");
        let seen = date_under_plan(&path);
        assert!(seen.abs_diff(expected) <= 5, "{offset_ms}: {seen} where {expected} was expected");
    }
    std::fs::remove_file(&path).expect("it is there");
}
