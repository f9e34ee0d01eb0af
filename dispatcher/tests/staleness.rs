//! How long a dispatcher may miss a change: whatever the outcome of earlier calls, a change counts as known 6 s after discovery
//! had it and was reachable.

mod common;

use common::discovery::{entry, Behaviour, Discovery};
use common::{Rig, Setup, Worker, SETTINGS};
use rstest::rstest;
use std::time::{Duration, Instant};

/// The platform's limit.
const KNOWN_AFTER: Duration = Duration::from_secs(6);
/// Duration of the discovery outage: longer than the time-out of a call, so that calls fail and are retried.
const OUTAGE: Duration = Duration::from_millis(4000);

/// A dispatcher of a tier, with a worker that drains and one that remains.
struct Tier {
    rig: Rig,
    discovery: Discovery,
}

impl Tier {
    fn start(dispatchers: u32) -> Tier {
        let workers: Vec<Worker> = (0..2).map(|i| Worker::start(&format!("s-{i}"))).collect();
        let discovery = Discovery::start(&Tier::entries(&workers, "up"), Behaviour::Up);
        let settings = SETTINGS.replace(r#""instances": 1"#, &format!(r#""instances": {dispatchers}"#));
        let listed = workers.iter().map(|w| (w.id.clone(), w.addr)).collect();
        let setup = Setup { discovery: Some(discovery.addr), ..Setup::default() };
        let mut rig = Rig::set_up(listed, &settings, setup);
        rig.workers = workers;
        // The initial list is used only once discovery has confirmed it.
        rig.connect().wait_until_up();
        discovery.wait_until_known(1);
        Tier { rig, discovery }
    }

    /// The entries of the list, with the first worker in this state.
    fn entries(workers: &[Worker], state: &str) -> Vec<String> {
        let states = [state, "up"];
        workers.iter().zip(states).map(|(w, state)| entry(&w.id, w.addr, state, 0)).collect()
    }

    /// Drains the first worker, and returns the time from `since` until the program knows.
    fn drain_until_known(&self, since: Instant) -> Duration {
        let version = self.discovery.list(&Tier::entries(&self.rig.workers, "draining"));
        self.discovery.wait_until_known(version);
        since.elapsed()
    }

    /// Asserts that all jobs go to the remaining worker.
    fn assert_drained_worker_unused(&self) {
        for i in 0..4 {
            assert_eq!(self.rig.serve_job(&format!("job-{i}"), "quote"), 1);
        }
    }
}

/// The worker drains at the moment discovery returns. Guards against delaying the retry of failed calls by 15 to 30 s in tiers
/// of hundreds.
#[rstest]
fn a_change_at_the_end_of_an_outage_is_known_in_time(
    #[values(2, 9, 30, 300)] dispatchers: u32,
    #[values(Behaviour::Down, Behaviour::Silent)] outage: Behaviour,
) {
    let tier = Tier::start(dispatchers);
    tier.discovery.set_behaviour(outage);
    std::thread::sleep(OUTAGE);
    let since = Instant::now();
    tier.discovery.set_behaviour(Behaviour::Up);
    let known_after = tier.drain_until_known(since);
    assert!(known_after < KNOWN_AFTER, "{known_after:?}");
    tier.assert_drained_worker_unused();
}

/// A worker drains after several other changes. Guards against the pause after an update, which took up to 8.4 s.
#[rstest]
fn a_change_after_others_is_known_at_once(#[values(2, 9, 30, 300)] dispatchers: u32) {
    let tier = Tier::start(dispatchers);
    for _ in 0..5 {
        let version = tier.discovery.list(&Tier::entries(&tier.rig.workers, "up"));
        tier.discovery.wait_until_known(version);
    }
    let known_after = tier.drain_until_known(Instant::now());
    // No call has to wait for its turn here.
    assert!(known_after < Duration::from_secs(1), "{known_after:?}");
    tier.assert_drained_worker_unused();
}

/// A truncated answer changes nothing: the last good list stays in use, and the update is requested again.
#[rstest]
fn a_truncated_answer_is_requested_again(
    #[values(Behaviour::HalfBody, Behaviour::HalfBodyReset, Behaviour::HalfChunk)] truncation: Behaviour,
) {
    let tier = Tier::start(2);
    tier.discovery.set_behaviour(truncation);
    let before = tier.discovery.calls().len();
    let version = tier.discovery.list(&Tier::entries(&tier.rig.workers, "draining"));
    // The second call shows that the first one came to nothing.
    for skip in [before, before + 1] {
        tier.discovery.wait_for_call(skip, |_| true);
    }
    assert!(tier.discovery.calls().iter().all(|call| !call.path.contains(&format!("after={version}"))));
    tier.rig.serve_job("from-the-last-good-list", "quote");
    let since = Instant::now();
    tier.discovery.set_behaviour(Behaviour::Up);
    tier.discovery.wait_until_known(version);
    assert!(since.elapsed() < KNOWN_AFTER, "{:?}", since.elapsed());
    tier.assert_drained_worker_unused();
}
