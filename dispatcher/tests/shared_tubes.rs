//! Results of workers with beanstalkd servers while the process is replaced: both processes read one answers tube, and the result
//! belongs to the process that has the job.

mod common;

use common::beanstalkd::{ReservedJob, Server};
use common::replacement::{Dispatcher, Pair};
use common::{wait_until, Client, SETTINGS};
use std::time::{Duration, Instant};

const OPERATOR: &str = r#"{"workers": [{"kind": "m"}]}"#;
/// The readers of the answers tube, in the order in which they begin.
const OLD: usize = 0;
const NEW: usize = 1;

/// Two processes, each with a job that the worker has reserved, so that both read the answers tube.
struct Replacement {
    server: Server,
    pair: Pair,
    of_old: ReservedJob,
    of_new: ReservedJob,
}

fn post(client: &mut Client, reference: &str) {
    let headers =
        format!("X-Call-Id: {reference}\r\nX-Call-Class: order\r\nX-Caller: acme\r\nX-Budget-Ms: 7000\r\n");
    client.send("POST /api", &headers, "payload");
}

impl Replacement {
    fn start() -> Replacement {
        let server = Server::start();
        let settings = SETTINGS.replace(r#", "tells_start": true"#, "");
        let dispatcher = Dispatcher::with_listed(vec![("q0".into(), server.addr)], &settings);
        let mut pair = Pair::start(dispatcher, OPERATOR);
        post(&mut pair.to_old, "of-old");
        let of_old = server.reserve_job();
        server.wait_for_readers(1);
        post(&mut pair.to_new, "of-new");
        let of_new = server.reserve_job();
        server.wait_for_readers(2);
        Replacement { server, pair, of_old, of_new }
    }

    /// Each process still serves its own job.
    fn assert_new_serves(&mut self) {
        self.server.serve_only_reader(None);
        self.server.report(&self.of_new, "served", "of new");
        let answer = self.pair.to_new.read_response();
        assert_eq!((answer.status(), &*answer.body), (200, "of new"));
    }
}

/// Guards against a result that is deleted by the process that does not have the job: its client got 504, or the job ran twice.
#[test]
fn a_result_that_the_sibling_reserves_reaches_its_client() {
    let mut replacement = Replacement::start();
    let Replacement { server, pair, of_old, .. } = &mut replacement;
    server.serve_only_reader(Some(NEW));
    server.report(of_old, "started", "");
    // Nearly the largest result that there is.
    let result = "r".repeat(65_000);
    server.report(of_old, "served", &result);
    let answer = pair.to_old.read_response();
    assert_eq!((answer.status(), answer.body == result), (200, true));
    wait_until("the answers are deleted", || server.answer_count() == 0);
    replacement.assert_new_serves();
}

/// The same with the roles exchanged, while the old process stops.
#[test]
fn a_result_that_a_stopping_process_reserves_reaches_its_client() {
    let Replacement { server, mut pair, of_new, of_old } = Replacement::start();
    pair.old.rig.terminate();
    pair.old.rig.wait_for_log("SIGTERM");
    server.serve_only_reader(Some(OLD));
    server.report(&of_new, "served", "of new");
    assert_eq!(pair.to_new.read_response().body, "of new");
    server.report(&of_old, "served", "of old");
    assert_eq!(pair.to_old.read_response().body, "of old");
}

/// A sibling that stands still can't say whether it has the job: the result stays until it can, and others are served meanwhile.
#[test]
fn a_result_of_a_suspended_sibling_stays_until_it_goes_on() {
    let mut replacement = Replacement::start();
    replacement.pair.old.rig.pause();
    replacement.pair.old.rig.wait_until_paused();
    replacement.server.serve_only_reader(Some(NEW));
    replacement.server.report(&replacement.of_old, "served", "of old");
    wait_until("it is reserved", || replacement.server.has_reserved_answer());
    let since = Instant::now();
    replacement.server.report(&replacement.of_new, "served", "of new");
    assert_eq!(replacement.pair.to_new.read_response().body, "of new");
    assert!(since.elapsed() < Duration::from_secs(1), "{:?}", since.elapsed());
    replacement.pair.old.rig.resume();
    replacement.server.serve_only_reader(None);
    assert_eq!(replacement.pair.to_old.read_response().body, "of old");
    // The sibling may have accepted it when the caller had given up: then it is still in the tube, and whoever reads next deletes it.
    post(&mut replacement.pair.to_new, "later");
    let later = replacement.server.reserve_job();
    wait_until("the answers are deleted", || replacement.server.answer_count() == 0);
    replacement.server.report(&later, "served", "later");
    assert_eq!(replacement.pair.to_new.read_response().body, "later");
}

/// A process that is killed with a result that it has reserved and not passed on: the server takes it back.
#[test]
fn a_result_reserved_by_a_process_that_is_killed_comes_back() {
    let Replacement { server, mut pair, of_old, .. } = Replacement::start();
    pair.new.rig.pause();
    pair.new.rig.wait_until_paused();
    server.serve_only_reader(Some(NEW));
    server.report(&of_old, "served", "of old");
    wait_until("it is reserved", || server.has_reserved_answer());
    server.serve_only_reader(None);
    common::signal(pair.new.rig.pid(), "-KILL");
    assert_eq!(pair.to_old.read_response().body, "of old");
}

/// A result whose process was killed belongs to nobody, and so does a result that comes twice. They don't stay for ever.
#[test]
fn a_result_that_nobody_can_have_is_deleted() {
    let mut replacement = Replacement::start();
    let Replacement { server, pair, of_old, .. } = &mut replacement;
    server.serve_only_reader(Some(NEW));
    server.report(of_old, "served", "of old");
    assert_eq!(pair.to_old.read_response().status(), 200);
    server.report(of_old, "served", "of old");
    wait_until("the second is deleted", || server.answer_count() == 0);
    common::signal(pair.old.rig.pid(), "-KILL");
    server.report(of_old, "served", "of old");
    wait_until("the third is deleted", || server.answer_count() == 0);
    replacement.assert_new_serves();
}
