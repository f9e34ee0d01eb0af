//! The pure crate of the fleet in virtual time: many nodes, a network that delays, loses and cuts, disks that
//! fill and are lost, processes that stop, die and come back, clocks of different rates. One seed, one run.

mod disk;
mod rules;
mod world;

pub use world::{Report, Size, World};

use indicatif::ProgressBar;
use serde::Serialize;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::Instant;

/// What many seeds come to.
#[derive(Debug, Default, Serialize)]
pub struct Summary {
    pub seeds: u64,
    /// Seeds that broke a rule, with the first break of each.
    pub broken: Vec<(u64, String)>,
    pub kills: u64,
    pub stops: u64,
    pub cuts: u64,
    pub reborn: u64,
    pub wins: u64,
    /// Milliseconds without an owner while a majority could hear itself, after calm began: median and longest.
    pub ownerless_median_ms: u64,
    pub ownerless_longest_ms: u64,
}

/// The size of a seed's fleet: mostly small ones, now and then a large one.
pub fn size_of(seed: u64) -> Size {
    let mut dice = fastrand::Rng::with_seed(seed ^ 0x51ce);
    let voters = [3, 5, 5, 5, 7][dice.usize(0..5)];
    let members = match dice.u32(0..200) {
        0 => dice.u16(100..=300),
        1..=6 => dice.u16(20..100),
        _ => dice.u16(voters.max(5)..=15),
    };
    Size { members, voters, seconds: if members >= 100 { 12 } else { 30 } }
}

/// What a member of a fleet costs in which nothing happens.
#[derive(Debug, Serialize)]
pub struct IdleCost {
    pub members: u16,
    pub voters: u16,
    /// Of one member, on average over all, in virtual time.
    pub bytes_per_s: f64,
    pub frames_per_s: f64,
    /// Processor time of one member, in parts of 1,000 of a core; the simulation's own is in it.
    pub cpu_permille: f64,
    pub broken: Vec<String>,
}

/// Plays a calm fleet of so many members, five of them voters: a long run less a short one, so that the beginning,
/// when all get to know each other, is in neither.
pub fn measure_idle(members: u16) -> IdleCost {
    let play = |seconds| {
        let began = Instant::now();
        let report = World::calm(1, Size { members, voters: members.min(5), seconds }).run();
        (report, began.elapsed().as_secs_f64())
    };
    let ((short, short_took), (long, long_took)) = (play(20), play(60));
    let each = f64::from(members) * 40.0;
    IdleCost {
        members,
        voters: members.min(5),
        bytes_per_s: (long.bytes - short.bytes) as f64 / each,
        frames_per_s: (long.frames - short.frames) as f64 / each,
        cpu_permille: (long_took - short_took) * 1e3 / each,
        broken: [short.broken, long.broken].concat(),
    }
}

/// Plays seeds on all cores.
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
                let mut all = summary.lock().expect("no holder panics");
                let (summary, gaps) = &mut *all;
                summary.seeds += 1;
                summary.kills += report.kills;
                summary.stops += report.stops;
                summary.cuts += report.cuts;
                summary.reborn += report.reborn;
                summary.wins += report.wins;
                summary.broken.extend(report.broken.into_iter().next().map(|words| (seed, words)));
                gaps.extend(report.gaps_ms);
                bar.inc(1);
            });
        }
    });
    bar.finish_and_clear();
    let (mut summary, mut gaps) = summary.into_inner().expect("no holder panics");
    gaps.sort_unstable();
    summary.broken.sort();
    summary.ownerless_median_ms = gaps.get(gaps.len() / 2).copied().unwrap_or(0);
    summary.ownerless_longest_ms = gaps.last().copied().unwrap_or(0);
    summary
}
