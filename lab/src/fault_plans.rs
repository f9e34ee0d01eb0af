//! Fault plans: one file per process, which the preloaded shim in the process reads at each system call.

use crate::scenario::CallTrouble;
use crate::trace::{Recorder, What};
use lineroute_fault_plan::{Call, FaultPlan, PLAN_VARIABLE};
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use tokio::process::Command;

/// File name of the shim, which is in the same directory as the program.
const SHIM: &str = "liblineroute_fault_shim.so";

/// Finds the shim in the program's directory.
///
/// # Errors
/// The shim has not been built.
pub fn shim_beside(program: &Path) -> Result<PathBuf, String> {
    let path = program.with_file_name(SHIM);
    if path.is_file() {
        Ok(path)
    } else {
        Err(format!("{}: shim not found; build it with: cargo build -p lineroute-fault-shim", path.display()))
    }
}

struct PlanFile {
    plan: FaultPlan,
    file: File,
    path: PathBuf,
}

/// The plans, by member. They outlive the processes, since a restart does not change a machine's clock.
pub struct FaultPlans {
    shim: Option<PathBuf>,
    files: Vec<Mutex<PlanFile>>,
    recorder: Recorder,
}

impl FaultPlans {
    /// Creates plans without faults as files in `dir`.
    ///
    /// # Errors
    /// A file can't be written.
    pub fn create(
        shim: Option<PathBuf>,
        members: usize,
        dir: &Path,
        recorder: Recorder,
    ) -> io::Result<FaultPlans> {
        let create = |member: usize| {
            let path = dir.join(format!("d{member}.faults"));
            let file = OpenOptions::new().create(true).truncate(true).write(true).open(&path)?;
            let plan = FaultPlan::default();
            file.write_all_at(&plan.to_bytes(), 0)?;
            Ok(Mutex::new(PlanFile { plan, file, path }))
        };
        let files = (0..members).map(create).collect::<io::Result<_>>()?;
        Ok(FaultPlans { shim, files, recorder })
    }

    /// Sets up a command to start under its plan, if there is a shim.
    pub fn apply(&self, member: usize, command: &mut Command) {
        if let Some(shim) = &self.shim {
            let path = &self.files[member].lock().expect("no holder panics").path;
            command.env("LD_PRELOAD", shim).env(PLAN_VARIABLE, path);
        }
    }

    /// Sets how many of a thousand calls of a member fail from now on.
    pub fn set_trouble(&self, member: usize, trouble: CallTrouble, per_mille: u64) {
        let call = match trouble {
            CallTrouble::Accept => Call::Accept,
            CallTrouble::Socket => Call::Socket,
            CallTrouble::Connect => Call::Connect,
            CallTrouble::Wait => Call::Wait,
            CallTrouble::ShortRead => Call::ShortRead,
            CallTrouble::ShortWrite => Call::ShortWrite,
            CallTrouble::Resets => return self.change(member, |plan| plan.disguise_resets = per_mille > 0),
        };
        self.change(member, |plan| plan.rates[call as usize] = per_mille);
    }

    /// Steps a member's wall clock.
    pub fn step_clock(&self, member: usize, step_ms: i64) {
        self.change(member, |plan| plan.clock_offset_ms += step_ms);
    }

    fn change(&self, member: usize, change: impl FnOnce(&mut FaultPlan)) {
        let mut file = self.files[member].lock().expect("no holder panics");
        change(&mut file.plan);
        // A failed write is recorded in the trace along with the intended plan; the file still has the previous plan.
        let written = file.file.write_all_at(&file.plan.to_bytes(), 0);
        self.recorder.note(What::Link { text: format!("member {member}: {:?} {written:?}", file.plan) });
    }
}
