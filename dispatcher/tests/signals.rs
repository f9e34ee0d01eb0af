//! Signals at critical moments: SIGTERM before the process listens and during a reload, two SIGHUPs, SIGKILL right after a
//! connection was accepted, and a drain right after a reload.

mod common;

use common::discovery::{entry, Behaviour, Discovery};
use common::{process_state, signal, wait_until, Client, Rig, Setup, Worker, SETTINGS};
use rstest::rstest;
use std::time::{Duration, Instant};

const DONE: &str = r#","result":"a chart""#;
/// After SIGHUP, a change counts as known this much later.
const KNOWN_AFTER_RELOAD: Duration = Duration::from_secs(4);

/// Starts the program with two workers and a discovery that lists them, with these stops.
fn start(stops: &str) -> (Rig, Discovery) {
    let workers = vec![Worker::start("w0"), Worker::start("w1")];
    let discovery = Discovery::start(&entries(&workers, ["up", "up"]), Behaviour::Up);
    let listed = workers.iter().map(|w| (w.id.clone(), w.addr)).collect();
    let setup = Setup { stops, discovery: Some(discovery.addr), ..Setup::default() };
    let mut rig = Rig::set_up(listed, SETTINGS, setup);
    rig.workers = workers;
    (rig, discovery)
}

fn entries(workers: &[Worker], states: [&str; 2]) -> Vec<String> {
    workers.iter().zip(states).map(|(w, state)| entry(&w.id, w.addr, state, 0)).collect()
}

/// The signal is handled once the process listens: it accepts requests for the regular time, and exits successfully.
#[test]
fn sigterm_before_the_first_listener_ends_the_process_successfully() {
    let terminate_while_stopped = |pid| {
        wait_until("it is stopped", || process_state(pid) == Some('T'));
        signal(pid, "-TERM");
        signal(pid, "-CONT");
    };
    let setup =
        Setup { stops: "start.listen:1:stop", on_start: Some(&terminate_while_stopped), ..Setup::default() };
    let mut rig = Rig::set_up(vec![("w0".into(), ([127, 0, 0, 1], 9).into())], SETTINGS, setup);
    rig.wait_for_log("SIGTERM");
    assert!(rig.wait_for_exit().success());
}

#[test]
fn sigterm_during_a_reload_ends_the_process_successfully() {
    let (mut rig, _before) = start("reload.read:1:stop");
    let mut client = rig.post("c1", "quote", "");
    let (worker, seen) = rig.next();
    seen.respond("202 Accepted");
    let next = Discovery::start(&entries(&rig.workers, ["up", "up"]), Behaviour::Up);
    rig.reload_with_discovery(next.addr);
    rig.wait_until_paused();
    rig.terminate();
    rig.resume();
    rig.wait_for_log("SIGTERM");
    // The job in progress is answered, and the new discovery is in use.
    next.wait_for_call(0, |_| true);
    rig.send_job_update(worker, "c1", "done", DONE);
    assert_eq!(client.read_response().status(), 200);
    assert!(rig.wait_for_exit().success());
}

/// The second signal arrives after the file has been read for the first: it must not be lost.
#[test]
fn the_second_of_two_sighups_in_one_turn_is_handled() {
    let (rig, _before) = start("reload.read:1:stop");
    let first = Discovery::start(&entries(&rig.workers, ["up", "up"]), Behaviour::Silent);
    let second = Discovery::start(&entries(&rig.workers, ["draining", "up"]), Behaviour::Up);
    rig.reload_with_discovery(first.addr);
    rig.wait_until_paused();
    rig.reload_with_discovery(second.addr);
    rig.resume();
    second.wait_until_known(1);
    assert_eq!(rig.serve_job("c1", "quote"), 1);
}

/// Both signals arrive before the event loop runs: there is one reload, of the current file.
#[test]
fn two_sighups_before_a_turn_are_one_reload() {
    let (rig, _before) = start("");
    let first = Discovery::start(&entries(&rig.workers, ["up", "up"]), Behaviour::Silent);
    let second = Discovery::start(&entries(&rig.workers, ["draining", "up"]), Behaviour::Up);
    rig.pause();
    rig.reload_with_discovery(first.addr);
    rig.reload_with_discovery(second.addr);
    rig.resume();
    second.wait_until_known(1);
    assert_eq!(rig.serve_job("c1", "quote"), 1);
}

/// The new discovery reports a drain right after the reload, while the old one still has the previous list.
#[rstest]
#[case::at_once(None)]
#[case::after_a_silent_call(Some(Behaviour::Silent))]
#[case::after_a_failed_call(Some(Behaviour::Down))]
fn a_drain_right_after_a_reload_takes_effect_in_time(#[case] first: Option<Behaviour>) {
    let (rig, _before) = start("");
    let next = Discovery::start(&entries(&rig.workers, ["up", "up"]), first.unwrap_or(Behaviour::Up));
    let since = Instant::now();
    rig.reload_with_discovery(next.addr);
    if let Some(behaviour) = first {
        next.wait_for_call(0, |_| true);
        next.set_behaviour(if behaviour == Behaviour::Silent {
            Behaviour::UpForNewCalls
        } else {
            Behaviour::Up
        });
    }
    let version = next.list(&entries(&rig.workers, ["draining", "up"]));
    next.wait_until_known(version);
    assert!(since.elapsed() < KNOWN_AFTER_RELOAD, "{:?}", since.elapsed());
    for i in 0..4 {
        assert_eq!(rig.serve_job(&format!("c{i}"), "quote"), 1);
    }
}

/// The process is killed with a connection accepted and not read: the client's connection is reset, and the next process at the
/// same address serves its retry at once.
#[test]
fn a_process_killed_right_after_an_accept_is_followed_by_the_next() {
    let listen = common::unused_address();
    let worker = Worker::start("w0");
    let listed = vec![(worker.id.clone(), worker.addr)];
    let setup = Setup { stops: "http.accepted:2:kill", listen: Some(listen), ..Setup::default() };
    let mut rig = Rig::set_up(listed.clone(), SETTINGS, setup);
    let mut regular = rig.connect();
    regular.wait_until_up();
    let mut client = Client::new(listen);
    client.post("c1", "quote", "");
    assert!(client.try_read_response().is_none());
    assert!(!rig.wait_for_exit().success());
    assert!(worker.has_no_request());
    let since = Instant::now();
    let mut rig = Rig::set_up(listed, SETTINGS, Setup { listen: Some(listen), ..Setup::default() });
    rig.workers = vec![worker];
    assert_eq!(rig.serve_job("c1", "quote"), 0);
    assert!(since.elapsed() < Duration::from_secs(6), "{:?}", since.elapsed());
}
