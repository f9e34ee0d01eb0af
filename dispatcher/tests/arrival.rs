//! A client's time budget runs from the moment it sent its request, wherever the request waited before the process read it:
//! workers are told the remaining budget.

mod common;

use common::faults::{Faults, ALWAYS};
use common::{Rig, Setup, Worker, WorkerRequest, SETTINGS};
use lineroute_fault_plan::Call;
use std::thread;
use std::time::Duration;

/// How long a request stays unread.
const UNREAD: Duration = Duration::from_millis(800);
/// By how much the budget told to a worker may exceed the client's remaining time.
const SLACK: Duration = Duration::from_millis(150);
const BUDGET: Duration = Duration::from_millis(2500);
const DONE: &str = r#","result":"x""#;

fn rig(faults: &Faults) -> Rig {
    set_up(Setup { environment: faults.environment(), ..Setup::default() })
}

fn set_up(setup: Setup) -> Rig {
    let worker = Worker::start("s-one");
    // The connect time-out is subtracted from the budget told to workers; a short one keeps it from hiding errors.
    let settings = SETTINGS.replace(r#""connect_timeout_ms": 1000"#, r#""connect_timeout_ms": 50"#);
    let mut rig = Rig::set_up(vec![("s-one".into(), worker.addr)], &settings, setup);
    rig.workers = vec![worker];
    rig
}

fn budget() -> String {
    format!("X-Budget-Ms: {}\r\n", BUDGET.as_millis())
}

/// The next job that the worker receives; cancellations before it are answered.
fn next_job(rig: &Rig) -> WorkerRequest {
    loop {
        let seen = rig.workers[0].next();
        if seen.message.start_line.starts_with("POST ") {
            return seen;
        }
        seen.respond("200 OK");
    }
}

/// Has the worker accept the next job, which must be this one, and returns the budget that it was told.
fn taken(rig: &Rig, reference: &str) -> Duration {
    let seen = next_job(rig);
    assert_eq!(seen.reference(), reference);
    let told = seen.message.headers["x-budget-ms"].parse().expect("a number");
    seen.respond("202 Accepted");
    Duration::from_millis(told)
}

fn assert_remaining_budget(told: Duration, place: &str) {
    assert!(told <= BUDGET - UNREAD + SLACK, "{place}: {told:?}");
}

fn behind_another_request() {
    let rig = rig(&Faults::none());
    let mut client = rig.post("c1", "quote", "");
    client.post("c2", "quote", &budget());
    taken(&rig, "c1");
    thread::sleep(UNREAD);
    rig.send_job_update(0, "c1", "done", DONE);
    assert_remaining_budget(taken(&rig, "c2"), "behind another request");
}

fn while_the_process_is_stopped() {
    let rig = rig(&Faults::none());
    let mut client = rig.post("c1", "quote", "");
    taken(&rig, "c1");
    rig.send_job_update(0, "c1", "done", DONE);
    assert_eq!(client.read_response().status(), 200);
    rig.pause();
    client.post("c2", "quote", &budget());
    thread::sleep(UNREAD);
    rig.resume();
    assert_remaining_budget(taken(&rig, "c2"), "while the process is stopped");
}

fn while_accepting_fails() {
    let mut faults = Faults::none();
    let rig = rig(&faults);
    rig.connect().wait_until_up();
    faults.fail(Call::Accept, ALWAYS);
    let _client = rig.post("c1", "quote", &budget());
    thread::sleep(UNREAD);
    faults.fail(Call::Accept, 0);
    assert_remaining_budget(taken(&rig, "c1"), "while accepting fails");
}

#[test]
fn time_that_a_request_waited_unread_is_subtracted_from_the_budget() {
    thread::scope(|scope| {
        for case in [behind_another_request, while_the_process_is_stopped, while_accepting_fails] {
            scope.spawn(case);
        }
    });
}

/// The process is delayed between building the request, with the remaining budget in it, and writing its first byte.
#[test]
fn time_in_which_the_process_was_delayed_is_subtracted_from_the_budget() {
    let stops = format!("post.look:1:{}", UNREAD.as_millis());
    let rig = set_up(Setup { stops: &stops, ..Setup::default() });
    rig.connect().wait_until_up();
    let _client = rig.post("c1", "quote", &budget());
    assert_remaining_budget(taken(&rig, "c1"), "delayed before the first byte");
}

/// Clients that connect at the same time, after an idle period longer than their budgets, keep their whole budgets.
#[test]
fn clients_that_connect_together_after_an_idle_period_keep_their_budgets() {
    // The second connection, after the readiness check, is delayed while the others queue behind it.
    let rig = set_up(Setup { stops: "http.accepted:2:100", ..Setup::default() });
    rig.connect().wait_until_up();
    thread::sleep(BUDGET + UNREAD);
    let mut clients: Vec<_> = (0..5).map(|i| rig.post(&format!("c{i}"), "quote", &budget())).collect();
    for _ in 0..clients.len() {
        let seen = next_job(&rig);
        let reference = seen.reference().to_owned();
        let told = seen.message.headers["x-budget-ms"].parse().expect("a number");
        seen.respond("202 Accepted");
        assert!(Duration::from_millis(told) > BUDGET - UNREAD, "{reference}: {told}");
        rig.send_job_update(0, &reference, "done", DONE);
    }
    assert!(clients.iter_mut().all(|client| client.read_response().status() == 200));
}
