//! How long a dispatcher may go without what discovery has to tell: whatever became of the calls before, a change counts as
//! told 6 s after discovery had it and could be reached.

mod common;

use common::discovery::{entry, Behaviour, Discovery};
use common::{Rig, Setup, Worker, SETTINGS};
use rstest::rstest;
use std::time::{Duration, Instant};

/// The platform's figure.
const TOLD_AFTER: Duration = Duration::from_secs(6);
/// Discovery is out of reach for so long: longer than a call is waited for, so that calls fail and are made again.
const OUTAGE: Duration = Duration::from_millis(4000);

/// A dispatcher of a tier of this size, with a worker that drains and one that stays.
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
        // What it was told at its start serves only once discovery has confirmed it.
        rig.connect().wait_until_up();
        discovery.wait_until_known(1);
        Tier { rig, discovery }
    }

    /// The list with the first worker in this state.
    fn entries(workers: &[Worker], state: &str) -> Vec<String> {
        let states = [state, "up"];
        workers.iter().zip(states).map(|(w, state)| entry(&w.id, w.addr, state, 0)).collect()
    }

    /// The first worker begins to drain; until when the program knew, at the longest from `since`.
    fn drains_and_is_known(&self, since: Instant) -> Duration {
        let version = self.discovery.list(&Tier::entries(&self.rig.workers, "draining"));
        self.discovery.wait_until_known(version);
        since.elapsed()
    }

    /// All jobs go to the worker that stays.
    fn leaves_the_drained_worker(&self) {
        for i in 0..4 {
            assert_eq!(self.rig.serve_job(&format!("job-{i}"), "quote"), 1);
        }
    }
}

/// The worker drains in the moment in which discovery comes back. Seen: calls that failed were put off by 15 to 30 s in
/// tiers of hundreds.
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
    let known_after = tier.drains_and_is_known(since);
    assert!(known_after < TOLD_AFTER, "{known_after:?}");
    tier.leaves_the_drained_worker();
}

/// A worker drains again and again behind other changes. Seen: the pause behind news took up to 8.4 s.
#[rstest]
fn a_change_behind_others_is_known_at_once(#[values(2, 9, 30, 300)] dispatchers: u32) {
    let tier = Tier::start(dispatchers);
    for _ in 0..5 {
        let version = tier.discovery.list(&Tier::entries(&tier.rig.workers, "up"));
        tier.discovery.wait_until_known(version);
    }
    let known_after = tier.drains_and_is_known(Instant::now());
    // No call has to wait for its turn here.
    assert!(known_after < Duration::from_secs(1), "{known_after:?}");
    tier.leaves_the_drained_worker();
}

/// An answer that breaks off changes nothing: the last good list serves, and what it would have told is asked for again.
#[rstest]
fn an_answer_that_breaks_off_is_asked_for_again(
    #[values(Behaviour::HalfBody, Behaviour::HalfBodyReset, Behaviour::HalfChunk)] cut: Behaviour,
) {
    let tier = Tier::start(2);
    tier.discovery.set_behaviour(cut);
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
    assert!(since.elapsed() < TOLD_AFTER, "{:?}", since.elapsed());
    tier.leaves_the_drained_worker();
}
