//! A process that starts or restarts while discovery is up, down, silent or slow: when it reports readiness, how it handles the
//! first request, and when it first asks for the list.

mod common;

use common::discovery::{entry, Behaviour, Discovery};
use common::{Rig, Setup, Worker, SETTINGS};
use rstest::rstest;
use std::time::{Duration, Instant};

/// The stricter of the platform's two limits for nine in ten restarts.
const READY_WITHIN: Duration = Duration::from_secs(6);
const SLOW: Behaviour = Behaviour::Slow(Duration::from_secs(3));

fn settings(mode: &str, tier: u32) -> String {
    let settings = SETTINGS.replace(r#""discovery": "ask""#, &format!(r#""discovery": "{mode}""#));
    settings.replace(r#""instances": 1"#, &format!(r#""instances": {tier}"#))
}

/// Starts a process with one worker, and measures the time until it is ready.
fn start(settings: &str, behaviour: Behaviour, without_known_list: bool) -> (Rig, Discovery, Duration) {
    let worker = Worker::start("w0");
    let discovery = Discovery::start(&[entry("w0", worker.addr, "up", 0)], behaviour);
    let since = Instant::now();
    let setup = Setup { discovery: Some(discovery.addr), without_known_list, ..Setup::default() };
    let mut rig = Rig::set_up(vec![("w0".into(), worker.addr)], settings, setup);
    let mut client = rig.connect();
    client.wait_until_up();
    let took = since.elapsed();
    rig.workers = vec![worker];
    (rig, discovery, took)
}

/// Readiness waits for the list, but no longer than the limit if none arrives, for every tier size and mode.
#[rstest]
fn it_is_ready_whatever_discovery_does(
    #[values(Behaviour::Up, Behaviour::Down, Behaviour::Silent, SLOW)] behaviour: Behaviour,
    #[values("ask", "push")] mode: &str,
    #[values(1, 300)] tier: u32,
    #[values(false, true)] without_known_list: bool,
) {
    let (_rig, _discovery, took) = start(&settings(mode, tier), behaviour, without_known_list);
    println!("ready after {took:?}");
    assert!(took < READY_WITHIN, "{took:?}");
}

/// A restarted process has its previous list, and asks for newer versions before any request arrives.
#[rstest]
fn a_process_with_an_old_list_asks_for_updates_without_a_request(#[values(1, 8, 9)] tier: u32) {
    let (_rig, discovery, _) = start(&settings("ask", tier), Behaviour::Up, false);
    let first = discovery.wait_for_call(0, |_| true);
    assert!(!first.requests_full_list(), "{first:?}");
    // Then it starts a watch.
    discovery.wait_for_call(0, |call| call.path.contains("wait_ms=") && !call.path.contains("wait_ms=0"));
}

/// The initial list may be of any age: the first request waits until discovery has answered, even if discovery recovers only
/// later.
#[rstest]
fn the_first_request_waits_until_the_known_list_is_confirmed(
    #[values(Behaviour::Down, Behaviour::Silent, SLOW)] behaviour: Behaviour,
    #[values("ask", "push")] mode: &str,
) {
    let (rig, discovery, _) = start(&settings(mode, 1), behaviour, false);
    let answers_in_time = behaviour == SLOW && mode == "ask";
    let mut client = rig.post("c1", "quote", "");
    if !answers_in_time {
        std::thread::sleep(Duration::from_secs(1));
        assert!(rig.workers[0].has_no_request(), "sent with a list of unknown age");
        discovery.set_behaviour(Behaviour::Up);
    }
    assert_eq!(rig.workers[0].accept_job(), "c1");
    rig.send_job_update(0, "c1", "done", r#","result":"a chart""#);
    assert_eq!(client.read_response().status(), 200);
}

/// If discovery never answers, the request is refused in a way that makes a retry safe.
#[rstest]
fn a_request_without_a_list_is_refused_in_time(
    #[values(Behaviour::Down, Behaviour::Silent)] behaviour: Behaviour,
    #[values("ask", "push")] mode: &str,
) {
    let (rig, _discovery, _) = start(&settings(mode, 1), behaviour, false);
    let answer = rig.post("c1", "order", "X-Budget-Ms: 1500\r\n").read_response();
    assert_eq!(answer.status(), 503);
    assert!(answer.headers.contains_key("retry-after"));
    assert!(rig.workers[0].has_no_request(), "sent with a list of unknown age");
}

/// A process without an initial list: the first request waits for one, even if discovery recovers only then.
#[rstest]
#[case::up(Behaviour::Up)]
#[case::down(Behaviour::Down)]
#[case::silent(Behaviour::Silent)]
fn a_process_without_a_list_serves_its_first_request_once_the_list_arrives(#[case] behaviour: Behaviour) {
    let (rig, discovery, _) = start(&settings("ask", 1), behaviour, true);
    let mut client = rig.post("c1", "quote", "");
    assert!(discovery.wait_for_call(0, |_| true).requests_full_list());
    discovery.set_behaviour(Behaviour::Up);
    assert_eq!(rig.workers[0].accept_job(), "c1");
    rig.send_job_update(0, "c1", "done", r#","result":"a chart""#);
    assert_eq!(client.read_response().status(), 200);
}

/// The same with a discovery that takes 3 s for each answer. Guards against calls that time out after 2.5 s, so that no answer
/// is ever received.
#[test]
fn a_slow_list_is_waited_for() {
    let (rig, _discovery, _) = start(&settings("ask", 1), SLOW, true);
    rig.serve_job("c1", "quote");
}

/// A process without an initial list asks for one before any request arrives. Guards against asking only with the first request.
#[rstest]
fn a_process_without_a_list_asks_for_it_without_a_request(#[values(1, 9, 300)] tier: u32) {
    let (_rig, discovery, _) = start(&settings("ask", tier), Behaviour::Up, true);
    assert!(discovery.wait_for_call(0, |_| true).requests_full_list());
}
