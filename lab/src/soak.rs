//! Soak test: runs processes under overlapping random faults generated from a seed. The checker judges each run using only what
//! workers, clients, relays and discovery recorded. The scenario of a failing seed can be minimised by removing faults one by
//! one while it still breaks the rule, and is kept as a scenario file.

use crate::checker::Verdict;
use crate::run::{run_alone, Setup};
use crate::scenario::{
    CallTrouble, Class, Clients, Direction, DiscoveryPlan, DiscoveryTrouble, Effect, Fault, Peer, Protocol,
    Scenario, Trouble, Who, Workers,
};
use crate::stand_in::discovery::SLOW_FACTOR;
use serde::Serialize;
use std::collections::BTreeMap;

/// Jobs per second for each process, and the maximum in total.
const RATE: (f64, f64) = (4.0, 120.0);
/// Processes per worker and minimum number of workers, both approximate.
const WORKERS: (usize, usize) = (3, 6);
/// Average interval between faults.
const FAULT_EVERY_MS: u64 = 1100;
/// No fault begins in this last part of a run.
const FAULT_FREE_END_MS: u64 = 3000;
/// Maximum time that a slow discovery may need for one call from every process: two thirds of the time after which changes
/// count as known.
const MAX_TIER_MS: u64 = 4000;
/// The same where members exchange messages: they tell each other that discovery is up.
const MAX_TALKING_TIER_MS: u64 = 12_000;
/// Salt for the separate generator that decides whether members exchange messages, which they do in about half of the seeds.
/// A separate generator leaves the other draws of a seed unchanged.
const TALK_SALT: u64 = 0x7a1c;
/// Steps of the wall clock.
const CLOCK_STEPS_MS: [i64; 4] = [-3_600_000, -5000, 5000, 3_600_000];
/// How many of a thousand calls fail during a fault. Some always succeed, since nothing could be served if all failed.
const CALLS_PER_MILLE: std::ops::RangeInclusive<u64> = 100..=900;
/// Runs of a reduced scenario that must all pass before the removed fault is considered necessary.
const SHRINK_TRIES: u64 = 2;

/// Size of the generated scenarios.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    pub processes: usize,
    pub seconds: u64,
}

/// Generates the scenario of a seed; the same options give the same scenario.
pub fn scenario(seed: u64, options: Options) -> Scenario {
    let mut rng = fastrand::Rng::with_seed(seed);
    let processes = options.processes;
    let per_zone = (processes / WORKERS.0).max(WORKERS.1) / 2 + 1;
    let fault_free_ms = rng.u64(1000..=options.seconds * 1000 / 3);
    let talk = fastrand::Rng::with_seed(seed ^ TALK_SALT).bool();
    let discovery = discovery(&mut rng, processes as u64, talk);
    let mut generator = FaultGenerator { processes, workers: per_zone * 2, rng: rng.fork() };
    let end_ms = options.seconds * 1000 - FAULT_FREE_END_MS;
    let count = (end_ms - fault_free_ms) / FAULT_EVERY_MS;
    let mut timeline = Vec::new();
    for _ in 0..count {
        let at_ms = rng.u64(fault_free_ms..end_ms);
        let faults = generator.faults(end_ms - at_ms);
        timeline.extend(faults.into_iter().map(|(after_ms, fault)| Trouble {
            at_ms: at_ms + after_ms,
            every_ms: None,
            jitter_ms: 0,
            fault,
        }));
    }
    timeline.sort_by_key(|trouble| trouble.at_ms);
    Scenario {
        members: processes,
        seconds: options.seconds as f64,
        settle_ms: 1500,
        workers: (0..2).map(|zone| workers(per_zone, zone)).collect(),
        classes: classes(),
        clients: Clients {
            rate: (processes as f64 * RATE.0).min(RATE.1),
            break_off: 0.1,
            stalls: 0.1,
            retry_ms: 100,
            heeds: true,
            notice_ms: 300,
        },
        probe_cost_ms: Some(3),
        talk,
        fleet: None,
        operator: serde_json::Map::new(),
        state_dir: false,
        clocks_ms: Vec::new(),
        rates_ppm: Vec::new(),
        discovery,
        timeline,
        points: Vec::new(),
        // A client whose dispatcher was killed sends its key to another one while the attempt continues; workers recognise the key.
        counted: vec!["second_by_key".into()],
    }
}

/// Members that don't exchange messages can't tell a discovery that refuses calls from one that is unreachable. Where they don't,
/// a refusing discovery is therefore generated no slower than the schedule of calls can cope with;
/// `scenarios/refusing-crowd.json` covers a slower one.
fn discovery(rng: &mut fastrand::Rng, processes: u64, talk: bool) -> DiscoveryPlan {
    let call_ms = *choose(rng, &[0, 2, 10, 25]);
    let patience_ms = *choose(rng, &[0, 2000, 2000]);
    let whole_tier_ms = if talk { MAX_TALKING_TIER_MS } else { MAX_TIER_MS };
    let longest_ms = whole_tier_ms / (processes * u64::from(SLOW_FACTOR));
    let call_ms = if patience_ms > 0 { call_ms.min(longest_ms) } else { call_ms };
    DiscoveryPlan { call_ms, patience_ms }
}

fn choose<'a, T>(rng: &mut fastrand::Rng, all: &'a [T]) -> &'a T {
    &all[rng.usize(..all.len())]
}

fn workers(count: usize, zone: usize) -> Workers {
    Workers { count, slots: 6, queue: 6, zone, protocol: Protocol::Platform, knows_fences: false }
}

fn classes() -> Vec<Class> {
    let class = |name: &str, effect, part, work_ms, deadline_ms| Class {
        name: name.into(),
        effect,
        part,
        work_ms,
        aim_ms: 600,
        deadline_ms,
        worth: 1.0,
        late_share: 0.5,
        key_ttl_ms: 3000,
        path: "/api".into(),
    };
    vec![
        class("quote", Effect::Repeatable, 5.0, 40.0, 4000),
        class("statement", Effect::ByKey, 2.0, 80.0, 6000),
        class("order", Effect::Once, 1.0, 60.0, 4000),
    ]
}

/// Generates faults.
struct FaultGenerator {
    processes: usize,
    workers: usize,
    rng: fastrand::Rng,
}

/// A fault and how long after the others of its group it begins, in milliseconds.
type Delayed = (u64, Fault);

impl FaultGenerator {
    /// Generates one fault or a group of related faults that end within `remaining_ms`.
    fn faults(&mut self, remaining_ms: u64) -> Vec<Delayed> {
        let for_ms = self.rng.u64(200..=remaining_ms.clamp(300, 9000));
        match self.rng.u32(0..26) {
            0..=1 => {
                vec![(0, Fault::Kill { member: Who::Any, back_ms: Some(for_ms), wipe: false, disk_kb: None })]
            }
            2..=4 => self.zone_loss(for_ms.max(remaining_ms.min(7500))),
            5..=6 => vec![(0, Fault::Terminate { member: Who::Any, back_ms: Some(for_ms) })],
            7..=8 => vec![(0, Fault::Stop { member: Who::Any, for_ms: for_ms.min(4000) })],
            9 => vec![(0, Fault::Reload { member: Who::Any, times: self.rng.u32(1..=4) })],
            10..=12 => vec![(0, self.link(for_ms))],
            13..=15 => vec![(0, self.discovery(for_ms))],
            16..=17 => {
                let late_ms = self.rng.u64(100..=for_ms.clamp(101, 900));
                vec![(0, Fault::Vanish { worker: self.worker(), for_ms, late_ms })]
            }
            18 => vec![(0, Fault::Drain { worker: self.worker(), for_ms })],
            19 => vec![(0, Fault::Hang { worker: self.worker(), for_ms: for_ms.min(3000) })],
            20..=21 => {
                vec![(0, Fault::Clock { member: Who::Any, step_ms: *choose(&mut self.rng, &CLOCK_STEPS_MS) })]
            }
            _ => vec![(0, self.calls(for_ms))],
        }
    }

    fn worker(&mut self) -> usize {
        self.rng.usize(..self.workers)
    }

    /// Half of the processes and a third of the workers are lost together, as when a zone fails. The processes restart with the
    /// worker lists that they had.
    fn zone_loss(&mut self, for_ms: u64) -> Vec<Delayed> {
        let half = self.processes / 2;
        let mut faults: Vec<Delayed> = (0..half)
            .map(|member| {
                let member = Who::Number(member);
                (0, Fault::Kill { member, back_ms: Some(for_ms), wipe: false, disk_kb: None })
            })
            .collect();
        for worker in 0..self.workers / 3 {
            let late_ms = self.rng.u64(100..=800);
            faults.push((self.rng.u64(0..200), Fault::Vanish { worker, for_ms, late_ms }));
        }
        faults
    }

    fn link(&mut self, for_ms: u64) -> Fault {
        let worker = self.worker();
        let to = choose(&mut self.rng, &[Peer::Worker(worker), Peer::Workers, Peer::Discovery]).clone();
        let (cut, reset) = *choose(&mut self.rng, &[(true, false), (false, true), (false, false)]);
        // A delayed link to discovery would delay its updates by more than the rules allow for.
        let delay_ms = if cut || reset || to == Peer::Discovery { 0 } else { self.rng.u64(20..300) };
        Fault::Link {
            member: Who::Any,
            to,
            direction: Direction::Both,
            for_ms: for_ms.min(4000),
            cut,
            reset,
            delay_ms,
            loss: 0,
            reorder: 0,
            trickle: None,
        }
    }

    fn calls(&mut self, for_ms: u64) -> Fault {
        let all = [
            CallTrouble::Accept,
            CallTrouble::Socket,
            CallTrouble::Connect,
            CallTrouble::Wait,
            CallTrouble::ShortRead,
            CallTrouble::ShortWrite,
            CallTrouble::Resets,
        ];
        Fault::Calls {
            member: Who::Any,
            trouble: *choose(&mut self.rng, &all),
            per_mille: self.rng.u64(CALLS_PER_MILLE),
            for_ms: for_ms.min(5000),
        }
    }

    fn discovery(&mut self, for_ms: u64) -> Fault {
        let all = [
            DiscoveryTrouble::Refuses,
            DiscoveryTrouble::Holds,
            DiscoveryTrouble::Silent,
            DiscoveryTrouble::LosesWatches,
            DiscoveryTrouble::Slow,
        ];
        Fault::Discovery { trouble: *choose(&mut self.rng, &all), for_ms }
    }
}

/// Summary of all seeds.
#[derive(Debug, Default, Serialize)]
pub struct Summary {
    pub runs: usize,
    pub processes: usize,
    /// Seeds whose run could not be started, with the reason.
    pub failed: Vec<(u64, String)>,
    pub bad_seeds: Vec<u64>,
    /// Violations by rule.
    pub broken: BTreeMap<String, usize>,
    /// The first violation of each failing seed.
    pub first: Vec<(u64, String)>,
    pub jobs: usize,
    pub served: usize,
    pub refused: usize,
    pub attempts: usize,
    pub kills: usize,
    pub stops: usize,
}

impl Summary {
    /// Whether every seed ran and no rule was broken.
    pub fn is_good(&self) -> bool {
        self.failed.is_empty() && self.bad_seeds.is_empty()
    }

    fn add(&mut self, seed: u64, verdict: &Verdict) {
        let figures = &verdict.figures;
        self.jobs += figures.jobs;
        self.served += figures.served;
        self.refused += figures.refused;
        self.attempts += figures.attempts;
        self.kills += figures.kills;
        self.stops += figures.stops;
        for broken in &verdict.broken {
            *self.broken.entry(broken.rule.clone()).or_default() += 1;
        }
        if let Some(first) = verdict.broken.first() {
            self.bad_seeds.push(seed);
            self.first.push((seed, format!("{} at {} ms: {}", first.rule, first.at / 1000, first.words)));
        }
    }
}

/// Runs the seeds in sequence. Scenarios of failing seeds are kept next to the logs, minimised if `shrinks` is set.
pub fn soak(options: Options, setup: &Setup, seeds: std::ops::Range<u64>, shrinks: bool) -> Summary {
    let mut summary = Summary { processes: options.processes, ..Summary::default() };
    for seed in seeds {
        let keep = setup.keep.as_ref().map(|dir| dir.join(seed.to_string()));
        let setup = Setup { seed, keep, ..setup.clone() };
        let scenario = scenario(seed, options);
        summary.runs += 1;
        match run_alone(&scenario, &setup) {
            Err(message) => summary.failed.push((seed, message)),
            Ok(outcome) => {
                summary.add(seed, &outcome.verdict);
                let rule = outcome.verdict.broken.first().map(|broken| broken.rule.clone());
                if let (Some(rule), Some(dir)) = (rule, &setup.keep) {
                    let kept = if shrinks { shrink(scenario, &setup, &rule) } else { scenario };
                    let text = serde_json::to_string_pretty(&kept).unwrap_or_default();
                    let _ = std::fs::write(dir.join("scenario.json"), text);
                }
            }
        }
        eprintln!(
            "seed {seed}: {} of {} runs failed",
            summary.bad_seeds.len() + summary.failed.len(),
            summary.runs
        );
    }
    summary
}

/// Removes, one after the other, all faults without which the rule is still broken.
fn shrink(mut scenario: Scenario, setup: &Setup, rule: &str) -> Scenario {
    let mut at = 0;
    while at < scenario.timeline.len() {
        let mut less = scenario.clone();
        less.timeline.remove(at);
        if still_breaks(&less, setup, rule) {
            scenario = less;
        } else {
            at += 1;
        }
    }
    scenario
}

fn still_breaks(scenario: &Scenario, setup: &Setup, rule: &str) -> bool {
    (0..SHRINK_TRIES).any(|_| {
        let setup = Setup { keep: None, ..setup.clone() };
        let outcome = run_alone(scenario, &setup);
        outcome.is_ok_and(|outcome| outcome.verdict.broken.iter().any(|broken| broken.rule == rule))
    })
}
