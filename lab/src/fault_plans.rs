//! The fault plans of all processes of a run: a file each, which the shim in the process looks at with each call.

use crate::scenario::CallTrouble;
use crate::trace::{Recorder, What};
use lineroute_fault_plan::{Call, FaultPlan, PLAN_VARIABLE};
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use tokio::process::Command;

/// The shim's file, which lies beside the program.
const SHIM: &str = "liblineroute_fault_shim.so";

/// The shim that belongs to a program.
///
/// # Errors
/// It was not built.
pub fn shim_beside(program: &Path) -> Result<PathBuf, String> {
    let path = program.with_file_name(SHIM);
    if path.is_file() {
        Ok(path)
    } else {
        Err(format!("{}: there is no shim; build it: cargo build -p lineroute-fault-shim", path.display()))
    }
}

struct Kept {
    plan: FaultPlan,
    file: File,
    path: PathBuf,
}

/// The plans, by member. They outlast the processes: a machine's clock does not change with a restart.
pub struct FaultPlans {
    shim: Option<PathBuf>,
    kept: Vec<Mutex<Kept>>,
    recorder: Recorder,
}

impl FaultPlans {
    /// Plans under which nothing fails, as files of this folder.
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
            Ok(Mutex::new(Kept { plan, file, path }))
        };
        let kept = (0..members).map(create).collect::<io::Result<_>>()?;
        Ok(FaultPlans { shim, kept, recorder })
    }

    /// Has a process started under its plan, where there is a shim.
    pub fn apply(&self, member: usize, command: &mut Command) {
        if let Some(shim) = &self.shim {
            let path = &self.kept[member].lock().expect("no holder panics").path;
            command.env("LD_PRELOAD", shim).env(PLAN_VARIABLE, path);
        }
    }

    /// So many of a thousand calls of a member go wrong from now on.
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
        let mut kept = self.kept[member].lock().expect("no holder panics");
        change(&mut kept.plan);
        // A plan that can't be written shows in the trace as it is meant; the file was written before.
        let written = kept.file.write_all_at(&kept.plan.to_bytes(), 0);
        self.recorder.note(What::Link { text: format!("member {member}: {:?} {written:?}", kept.plan) });
    }
}
