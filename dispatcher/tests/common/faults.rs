//! Fault injection into the program's system calls, by a preloaded shim.

use super::create_temp_dir;
use lineroute_fault_plan::{Call, FaultPlan, PLAN_VARIABLE};
use std::fs::File;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

/// Rate at which every call fails, in calls per thousand.
pub const ALWAYS: u64 = 1000;

/// Builds the shim and returns its path: building the tests does not build it, and a shim left by an earlier build may lack calls.
pub fn shim() -> &'static Path {
    static SHIM: OnceLock<PathBuf> = OnceLock::new();
    SHIM.get_or_init(|| {
        let program = Path::new(env!("CARGO_BIN_EXE_lineroute"));
        let mut build = Command::new(env!("CARGO"));
        build.args(["build", "--locked", "--package", "lineroute-fault-shim"]);
        if program.parent().is_some_and(|dir| dir.ends_with("release")) {
            build.arg("--release");
        }
        assert!(build.status().expect("cargo runs").success());
        lineroute_lab::fault_plans::shim_beside(program).expect("it was built")
    })
}

/// The fault plan of one process.
pub struct Faults {
    file: File,
    path: PathBuf,
    plan: FaultPlan,
}

impl Faults {
    /// A plan without faults.
    pub fn none() -> Faults {
        let path = create_temp_dir().join("faults");
        let file = File::create(&path).expect("a file");
        let faults = Faults { file, path, plan: FaultPlan::default() };
        faults.write();
        faults
    }

    /// The environment variables that load the shim and name the plan.
    pub fn environment(&self) -> Vec<(String, String)> {
        let text = |path: &Path| path.to_str().expect("a path of letters").to_owned();
        vec![("LD_PRELOAD".into(), text(shim())), (PLAN_VARIABLE.into(), text(&self.path))]
    }

    /// Makes `per_mille` of a thousand calls fail from now on.
    pub fn fail(&mut self, call: Call, per_mille: u64) {
        self.plan.rates[call as usize] = per_mille;
        self.write();
    }

    /// Steps the program's wall clock.
    pub fn step_clock(&mut self, step_ms: i64) {
        self.plan.clock_offset_ms += step_ms;
        self.write();
    }

    fn write(&self) {
        self.file.write_all_at(&self.plan.to_bytes(), 0).expect("the plan is written");
    }
}
