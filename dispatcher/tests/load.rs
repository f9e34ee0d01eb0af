//! Workers' load reports and clients' cost hints on the wire: where they are sent, and their effect on placement. The workers
//! report neither starts nor the jobs that they hold.

mod common;

use common::{Rig, SETTINGS};
use rstest::rstest;

/// Answers carry free slots only; worth is by work, so that held jobs are ordered by their slack.
fn settings() -> String {
    let thin = r#""report": {"source": "piggyback", "fields": ["x0", "load_share"]}, "worth_by": "work","#;
    let silent = SETTINGS.replace(r#""tells_start": true"#, r#""tells_start": false"#);
    silent.replace(r#""discovery": "ask","#, &format!(r#""discovery": "ask", {thin}"#))
}

/// Waits until earlier requests have been read: connections are served in the order in which they arrived.
fn settle(rig: &Rig) {
    let mut client = rig.connect();
    client.wait_until_up();
}

#[rstest]
#[case::in_a_call(true)]
#[case::in_the_header_of_an_answer(false)]
fn a_report_limits_how_many_jobs_go_to_a_worker_at_once(#[case] call: bool) {
    let rig = Rig::with_settings(1, &settings(), None);
    let mut first = rig.post("first", "quote", "");
    let seen = rig.workers[0].next();
    if call {
        seen.respond("202 Accepted");
        rig.send_job_update(0, "first", "done", r#","result":"a chart","load":{"x0":2.0,"load_share":0.4}"#);
    } else {
        seen.respond("503 No\r\nX-Rejected: 1\r\nX-Load-Report: TEXT x0=2.0, load_share=0.4");
        assert_eq!(rig.workers[0].accept_job(), "first");
        rig.send_job_update(0, "first", "done", r#","result":"a chart""#);
    }
    assert_eq!(first.read_response().status(), 200);
    // Two slots: two jobs are sent, and the third waits in the dispatcher until one of them ends.
    let mut clients: Vec<_> = ["a", "b", "c"].iter().map(|id| rig.post(id, "quote", "")).collect();
    settle(&rig);
    let mut out = [rig.workers[0].accept_job(), rig.workers[0].accept_job()];
    out.sort();
    assert!(rig.workers[0].has_no_request(), "no third one goes out");
    let waits = (0..3).find(|i| !out.contains(&["a", "b", "c"][*i].to_owned())).expect("one waits");
    rig.send_job_update(0, &out[0], "done", r#","result":"a chart""#);
    assert_eq!(rig.workers[0].accept_job(), ["a", "b", "c"][waits]);
    rig.send_job_update(0, &out[1], "done", r#","result":"a chart""#);
    rig.send_job_update(0, ["a", "b", "c"][waits], "done", r#","result":"a chart""#);
    clients.iter_mut().for_each(|client| assert_eq!(client.read_response().status(), 200));
}

/// The cost hint determines how long a job can wait: the longest job goes last. A malformed hint is not an error.
#[test]
fn a_cost_hint_orders_waiting_jobs() {
    let rig = Rig::with_settings(1, &settings(), None);
    let mut first = rig.post("first", "quote", "");
    assert_eq!(rig.workers[0].accept_job(), "first");
    rig.send_job_update(0, "first", "done", r#","result":"a chart","load":{"x0":1.0}"#);
    assert_eq!(first.read_response().status(), 200);
    let mut clients = vec![rig.post("running", "quote", "")];
    assert_eq!(rig.workers[0].accept_job(), "running");
    for (id, cost) in [("long", "4000000"), ("none", "a lot"), ("short", "90000.5")] {
        clients.push(rig.post(id, "quote", &format!("X-Call-Cost: {cost}\r\n")));
    }
    settle(&rig);
    let mut order = vec!["running".to_owned()];
    for _ in 0..3 {
        rig.send_job_update(0, order.last().expect("one is out"), "done", r#","result":"a chart""#);
        order.push(rig.workers[0].accept_job());
    }
    rig.send_job_update(0, &order[3], "done", r#","result":"a chart""#);
    assert_eq!(order, ["running", "short", "none", "long"]);
    clients.iter_mut().for_each(|client| assert_eq!(client.read_response().status(), 200));
}

/// Workers differ in size: each gets as many jobs at once as it has reported slots.
#[test]
fn workers_of_unequal_size_are_filled_by_what_they_report() {
    let rig = Rig::with_settings(2, &settings(), None);
    let mut clients: Vec<_> = ["a", "b"].iter().map(|id| rig.post(id, "quote", "")).collect();
    let firsts = [rig.workers[0].accept_job(), rig.workers[1].accept_job()];
    rig.send_job_update(0, &firsts[0], "done", r#","result":"a chart","load":{"x0":1.0}"#);
    rig.send_job_update(1, &firsts[1], "done", r#","result":"a chart","load":{"x0":3.0}"#);
    clients.iter_mut().for_each(|client| assert_eq!(client.read_response().status(), 200));
    let ids = ["c", "d", "e", "f", "g"];
    let mut clients: Vec<_> = ids.iter().map(|id| rig.post(id, "quote", "")).collect();
    settle(&rig);
    let small = rig.workers[0].accept_job();
    let large = [rig.workers[1].accept_job(), rig.workers[1].accept_job(), rig.workers[1].accept_job()];
    assert!(rig.workers.iter().all(|w| w.has_no_request()), "the fifth one waits");
    // The fifth job may go to either worker.
    rig.send_job_update(1, &large[0], "done", r#","result":"a chart""#);
    let last = rig.workers[1].accept_job();
    rig.send_job_update(0, &small, "done", r#","result":"a chart""#);
    for id in [&large[1], &large[2], &last] {
        rig.send_job_update(1, id, "done", r#","result":"a chart""#);
    }
    clients.iter_mut().for_each(|client| assert_eq!(client.read_response().status(), 200));
}

/// The worker reads the request and sends no answer, not even that it accepted the job. The job may have run.
#[test]
fn a_job_that_may_not_run_twice_stays_with_a_worker_that_reads_it_and_is_silent() {
    let rig = Rig::with_settings(2, &settings(), None);
    let mut client = rig.post("c1", "order", "X-Budget-Ms: 3000\r\n");
    let (silent, seen) = rig.next();
    assert_eq!(seen.reference(), "c1");
    let status = client.read_response().status();
    assert_eq!(status, 504, "a refusal would promise that it never ran");
    assert!(rig.workers[1 - silent].has_no_request());
    drop(seen);
}
