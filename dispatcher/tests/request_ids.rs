//! A request id is open only once in a dispatcher, also while two of its processes serve.

mod common;

use common::replacement::{Dispatcher, Pair, WorkerBehaviour, Workers};
use common::{wait_until, Client, SETTINGS};
use rstest::rstest;
use std::thread;

/// A plain HTTP worker behind `/web`, or platform workers behind `/more`, which is a second front of the same class.
const PLAIN_HTTP: &str = r#"{"workers":[{"kind":"m","protocol":"http"}],
    "classes":[{"name":"page","aim_ms":500,"deadline_ms":8000,"effect":"once","kind":"m"}],
    "routes":[{"path":"/web","match":"prefix","class":"page"}]}"#;
const SECOND_ROUTE: &str = r#"{"routes":[{"path":"/more","class":"order"}]}"#;

fn start(behaviour: WorkerBehaviour, operator: &'static str) -> Pair {
    let settings = SETTINGS.replace(r#", "tells_start": true"#, "");
    Pair::start(Dispatcher::with_settings(2, behaviour, &settings), operator)
}

fn post(client: &mut Client, path: &str, reference: &str) {
    let headers =
        format!("X-Call-Id: {reference}\r\nX-Call-Class: order\r\nX-Caller: acme\r\nX-Budget-Ms: 7000\r\n");
    client.send(&format!("POST {path}"), &headers, "payload");
}

/// Headers of a request of each effect: one that may be repeated, one that may by its key, and one that may not.
const REPEATABLE: &str = "X-Call-Class: quote\r\n";
const BY_KEY: &str = "X-Call-Class: statement\r\nIdempotency-Key: key-1\r\n";
const ONCE: &str = "X-Call-Class: order\r\n";

/// Posts a request of an effect with a budget in milliseconds.
fn post_with(client: &mut Client, effect: &str, reference: &str, budget: u32) {
    let headers = format!("X-Call-Id: {reference}\r\n{effect}X-Caller: acme\r\nX-Budget-Ms: {budget}\r\n");
    client.send("POST /api", &headers, "payload");
}

fn wait_for_attempts(workers: &Workers, reference: &str, count: usize) {
    wait_until("the worker has the attempt", || workers.attempts_of(reference).len() >= count);
}

fn report_done(pair: &Pair, reference: &str) {
    let worker = pair.dispatcher.workers.attempts_of(reference).pop().expect("an attempt");
    common::replacement::report_done(pair.dispatcher.addr(), reference, &worker).expect("it is accepted");
}

/// What the process that has the request is doing when its id comes again.
#[derive(Clone, Copy, Debug, PartialEq)]
enum HolderState {
    Serving,
    Stopping,
    Suspended,
}

/// Guards against a second attempt of a request that runs: during a replacement the new process accepted the id of a request
/// that the old one had at a worker, and sent it.
#[rstest]
fn an_id_that_is_open_in_one_process_is_refused_by_the_other(
    #[values(HolderState::Serving, HolderState::Stopping, HolderState::Suspended)] state: HolderState,
    #[values(
        ("/api", SECOND_ROUTE, WorkerBehaviour::Hangs),
        ("/more", SECOND_ROUTE, WorkerBehaviour::Hangs),
        ("/web/a", PLAIN_HTTP, WorkerBehaviour::Silent)
    )]
    front: (&str, &'static str, WorkerBehaviour),
) {
    let (path, operator, behaviour) = front;
    let mut pair = start(behaviour, operator);
    let held_at = if path == "/web/a" { path } else { "/api" };
    post(&mut pair.to_old, held_at, "twice");
    wait_for_attempts(&pair.dispatcher.workers, "twice", 1);
    match state {
        HolderState::Serving => {}
        HolderState::Stopping => {
            pair.old.rig.terminate();
            pair.old.rig.wait_for_log("SIGTERM");
        }
        HolderState::Suspended => pair.old.rig.pause(),
    }
    post(&mut pair.to_new, path, "twice");
    assert_eq!(pair.to_new.read_response().status(), 409);
    assert_eq!(pair.dispatcher.workers.attempts_of("twice").len(), 1);
    assert!(pair.to_old.is_unanswered());
    // Other ids are served by both.
    post(&mut pair.to_new, path, "another");
    wait_for_attempts(&pair.dispatcher.workers, "another", 1);
    pair.old.rig.resume();
    if behaviour == WorkerBehaviour::Hangs {
        report_done(&pair, "twice");
        assert_eq!(pair.to_old.read_response().status(), 200);
    }
}

/// The same with the roles exchanged: the old process has no privilege.
#[test]
fn an_id_that_is_open_in_the_new_process_is_refused_by_the_old_one() {
    let mut pair = start(WorkerBehaviour::Hangs, SECOND_ROUTE);
    post(&mut pair.to_new, "/api", "twice");
    wait_for_attempts(&pair.dispatcher.workers, "twice", 1);
    post(&mut pair.to_old, "/api", "twice");
    assert_eq!(pair.to_old.read_response().status(), 409);
    assert_eq!(pair.dispatcher.workers.attempts_of("twice").len(), 1);
}

/// The same for each effect, whatever the effect of the second request with the id.
#[rstest]
fn an_id_is_refused_whatever_the_effects_of_both_requests(
    #[values(REPEATABLE, BY_KEY, ONCE)] first: &str,
    #[values(REPEATABLE, BY_KEY, ONCE)] second: &str,
) {
    let mut pair = start(WorkerBehaviour::Hangs, SECOND_ROUTE);
    post_with(&mut pair.to_old, first, "twice", 7000);
    wait_for_attempts(&pair.dispatcher.workers, "twice", 1);
    post_with(&mut pair.to_new, second, "twice", 7000);
    assert_eq!(pair.to_new.read_response().status(), 409);
    assert_eq!(pair.dispatcher.workers.attempts_of("twice").len(), 1);
    report_done(&pair, "twice");
    assert_eq!(pair.to_old.read_response().status(), 200);
}

/// How the first request with an id ends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum FirstEnds {
    Served,
    ClientLeaves,
    /// Each worker rejects it unstarted.
    Refused,
    /// Its budget is over while a worker has it.
    TimedOut,
    /// The process gives it up before the platform may kill it.
    Aborted,
    ProcessKilled,
}

/// Guards against an id that stays taken: once its request is over, however that came about, any process accepts it.
#[rstest]
fn an_id_is_accepted_again_once_its_request_is_over(
    #[values(
        FirstEnds::Served,
        FirstEnds::ClientLeaves,
        FirstEnds::Refused,
        FirstEnds::TimedOut,
        FirstEnds::Aborted,
        FirstEnds::ProcessKilled
    )]
    end: FirstEnds,
) {
    let behaviour = if end == FirstEnds::Refused { WorkerBehaviour::Rejects } else { WorkerBehaviour::Hangs };
    let mut pair = start(behaviour, SECOND_ROUTE);
    post_with(&mut pair.to_old, ONCE, "again", if end == FirstEnds::TimedOut { 700 } else { 7000 });
    wait_for_attempts(&pair.dispatcher.workers, "again", 1);
    match end {
        FirstEnds::Served => {
            report_done(&pair, "again");
            assert_eq!(pair.to_old.read_response().status(), 200);
        }
        FirstEnds::ClientLeaves => {
            pair.to_old = Client::new(pair.dispatcher.addr());
            wait_until("the worker is told", || !pair.dispatcher.workers.cancelled_jobs().is_empty());
        }
        FirstEnds::Refused => assert_eq!(pair.to_old.read_response().status(), 503),
        FirstEnds::TimedOut => assert_eq!(pair.to_old.read_response().status(), 504),
        FirstEnds::Aborted => {
            pair.old.rig.terminate();
            assert_eq!(pair.to_old.read_response().status(), 504);
        }
        FirstEnds::ProcessKilled => {
            common::signal(pair.old.rig.pid(), "-KILL");
            assert!(pair.to_old.is_closed_by_peer());
        }
    }
    pair.dispatcher.workers.set_behaviour(WorkerBehaviour::Hangs);
    let earlier = pair.dispatcher.workers.attempts_of("again").len();
    // The process may learn a moment later that the worker has cancelled the job, or that it is killed.
    wait_until("the id is accepted", || {
        post(&mut pair.to_new, "/api", "again");
        thread::sleep(std::time::Duration::from_millis(20));
        pair.to_new.is_unanswered() || pair.to_new.read_response().status() != 409
    });
    wait_for_attempts(&pair.dispatcher.workers, "again", earlier + 1);
    report_done(&pair, "again");
    assert_eq!(pair.to_new.read_response().status(), 200);
}

/// Guards against a gap between asking and accepting: the same ids come to both processes at the same time, and exactly one of
/// them accepts each.
#[test]
fn of_two_requests_with_one_id_at_the_same_time_one_is_accepted() {
    const ROUNDS: usize = 40;
    let pair = start(WorkerBehaviour::Serves, SECOND_ROUTE);
    let Pair { dispatcher, old: _old, new: _new, to_old, to_new } = pair;
    dispatcher.workers.set_behaviour(WorkerBehaviour::Hangs);
    let both = std::sync::Arc::new(std::sync::Barrier::new(2));
    let send = |mut client: Client| {
        let (both, addr) = (both.clone(), dispatcher.addr());
        thread::spawn(move || {
            let mut statuses = Vec::new();
            for round in 0..ROUNDS {
                both.wait();
                post(&mut client, "/api", &format!("race-{round}"));
                if round % 2 == 0 {
                    thread::yield_now();
                }
                // The one that is accepted stays unanswered until the other has its refusal and the worker reports.
                let mut poll = 0;
                while client.is_unanswered() && poll < 40 {
                    poll += 1;
                    thread::sleep(std::time::Duration::from_millis(5));
                }
                let refused = !client.is_unanswered();
                both.wait();
                if !refused {
                    for worker in ["w0", "w1"] {
                        common::replacement::report_done(addr, &format!("race-{round}"), worker);
                    }
                }
                statuses.push(client.read_response().status());
            }
            statuses
        })
    };
    let (one, other) = (send(to_old), send(to_new));
    let (one, other) = (one.join().expect("a client"), other.join().expect("a client"));
    for (round, pair) in one.iter().zip(&other).enumerate() {
        let mut statuses = [*pair.0, *pair.1];
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 409], "round {round}");
        assert_eq!(dispatcher.workers.attempts_of(&format!("race-{round}")).len(), 1, "round {round}");
    }
}

/// Jobs of the beanstalkd listener have references that the process generates; a client may send one as its id. The processes
/// have the same seed here, and requests without an id must not get the same one in both.
#[test]
fn generated_references_are_unique_over_both_processes() {
    let operator = r#"{"beanstalkd":{"listen":"127.0.0.1:0","tubes":[{"tube":"in","class":"order","answers":"out"}]},
        "routes":[{"path":"/more","class":"order"}]}"#;
    let mut pair = start(WorkerBehaviour::Hangs, operator);
    let mut producer = Client::new(pair.old.rig.beanstalkd_addr.expect("it is configured"));
    assert_eq!(producer.command("use in"), "USING in");
    assert!(producer.command("put 0 0 60 4\r\nwork").starts_with("INSERTED"));
    wait_until("the worker has the job", || pair.dispatcher.workers.count() == 1);
    let arrivals = || {
        let since = |worker| pair.dispatcher.workers.since(worker, pair.dispatcher.started_at);
        ["w0", "w1"].into_iter().flat_map(since).map(|arrival| arrival.reference).collect::<Vec<_>>()
    };
    let reference = arrivals().pop().expect("an attempt");
    post(&mut pair.to_new, "/api", &reference);
    assert_eq!(pair.to_new.read_response().status(), 409);
    for client in [&mut pair.to_old, &mut pair.to_new] {
        client.send("POST /more", "X-Budget-Ms: 7000\r\n", "payload");
    }
    wait_until("both are sent", || pair.dispatcher.workers.count() == 3);
    let mut references = arrivals();
    references.sort_unstable();
    references.dedup();
    assert_eq!(references.len(), 3);
}
