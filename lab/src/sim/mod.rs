//! Deterministic simulation of `lineroute-fleet` in virtual time: many nodes, a network that delays and drops frames
//! and partitions, disks that fill up or lose their contents, processes that are stopped, killed and restarted, and
//! clocks that run at different rates. The same seed gives the same run.

mod disk;
mod rules;
mod world;

pub use world::{Report, Size, World};

use indicatif::ProgressBar;
use serde::Serialize;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::Instant;

/// Totals over the runs of many seeds.
#[derive(Debug, Default, Serialize)]
pub struct Summary {
    pub seeds: u64,
    /// Seeds that violated an invariant, with the first violation of each.
    #[serde(rename = "broken")]
    pub violations: Vec<(u64, String)>,
    pub kills: u64,
    pub stops: u64,
    #[serde(rename = "cuts")]
    pub partitions: u64,
    #[serde(rename = "reborn")]
    pub new_incarnations: u64,
    #[serde(rename = "wins")]
    pub acquisitions: u64,
    /// Time that a resource had no owner although a connected majority of the voters was running.
    pub ownerless_median_ms: u64,
    pub ownerless_longest_ms: u64,
}

/// The size of a seed's fleet: mostly 5 to 15 members, 3 % of the seeds 20 to 99, 0.5 % 100 to 300.
pub fn size_of(seed: u64) -> Size {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x51ce);
    let voters = [3, 5, 5, 5, 7][rng.usize(0..5)];
    let members = match rng.u32(0..200) {
        0 => rng.u16(100..=300),
        1..=6 => rng.u16(20..100),
        _ => rng.u16(voters.max(5)..=15),
    };
    Size { members, voters, seconds: if members >= 100 { 12 } else { 30 } }
}

/// The cost of a member in an idle fleet.
#[derive(Debug, Serialize)]
pub struct IdleCost {
    pub members: u16,
    pub voters: u16,
    /// Sent by one member per second of virtual time, averaged over all members.
    pub bytes_per_s: f64,
    pub frames_per_s: f64,
    /// CPU time of one member in thousandths of a core, including the simulation's own.
    pub cpu_permille: f64,
    #[serde(rename = "broken")]
    pub violations: Vec<String>,
}

/// Simulates a fleet without faults, with at most five voters. The result is the difference of a long and a short run,
/// which leaves out the cost of the start, when members discover each other.
pub fn measure_idle(members: u16) -> IdleCost {
    let simulate = |seconds| {
        let began = Instant::now();
        let report = World::without_faults(1, Size { members, voters: members.min(5), seconds }).run();
        (report, began.elapsed().as_secs_f64())
    };
    let ((short, short_elapsed), (long, long_elapsed)) = (simulate(20), simulate(60));
    let member_seconds = f64::from(members) * 40.0;
    IdleCost {
        members,
        voters: members.min(5),
        bytes_per_s: (long.bytes - short.bytes) as f64 / member_seconds,
        frames_per_s: (long.frames - short.frames) as f64 / member_seconds,
        cpu_permille: (long_elapsed - short_elapsed) * 1e3 / member_seconds,
        violations: [short.violations, long.violations].concat(),
    }
}

/// Simulates `count` seeds, from `from` on, in parallel on all cores.
pub fn sweep(from: u64, count: u64) -> Summary {
    let (next, summary) = (AtomicU64::new(from), Mutex::new((Summary::default(), Vec::new())));
    let bar = ProgressBar::new(count);
    let cores = std::thread::available_parallelism().map_or(1, |n| n.get());
    std::thread::scope(|scope| {
        for _ in 0..cores {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= from + count {
                    return;
                }
                let report = World::new(seed, size_of(seed)).run();
                let mut locked = summary.lock().expect("no thread panics while it holds the lock");
                let (summary, ownerless_ms) = &mut *locked;
                summary.seeds += 1;
                summary.kills += report.kills;
                summary.stops += report.stops;
                summary.partitions += report.partitions;
                summary.new_incarnations += report.new_incarnations;
                summary.acquisitions += report.acquisitions;
                summary
                    .violations
                    .extend(report.violations.into_iter().next().map(|message| (seed, message)));
                ownerless_ms.extend(report.ownerless_ms);
                bar.inc(1);
            });
        }
    });
    bar.finish_and_clear();
    let (mut summary, mut ownerless_ms) =
        summary.into_inner().expect("no thread panics while it holds the lock");
    ownerless_ms.sort_unstable();
    summary.violations.sort();
    summary.ownerless_median_ms = ownerless_ms.get(ownerless_ms.len() / 2).copied().unwrap_or(0);
    summary.ownerless_longest_ms = ownerless_ms.last().copied().unwrap_or(0);
    summary
}
