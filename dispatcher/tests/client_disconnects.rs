//! Clients that leave: whoever waits for nobody is not sent on, whatever lies unread behind it and wherever it is.

mod common;

use common::{in_time, wait_until, Client, Rig, Setup, Worker, SETTINGS};
use rstest::rstest;

const DONE: &str = r#","result":"a chart""#;

/// How a client leaves.
#[derive(Clone, Copy, Debug)]
enum How {
    Closed,
    HalfClosed,
    Reset,
}

/// Leaves, and waits until its kernel has said so: other threads of this test fork, and hold what is closed a while longer.
/// What is left of the client must be kept.
fn leave(client: Client, how: How) -> Option<Client> {
    let ends = client.ends();
    let rest = left(client, how);
    wait_until("the end is said", || !common::is_established(ends));
    rest
}

fn left(client: Client, how: How) -> Option<Client> {
    match how {
        How::Closed => drop(client),
        How::Reset => client.reset(),
        How::HalfClosed => {
            client.half_close();
            return Some(client);
        }
    }
    None
}

const ANOTHER: &str =
    "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: c9\r\nX-Call-Class: quote\r\nX-Caller: acme\r\n\
    Content-Length: 0\r\n\r\n";

/// Seen: the end was looked out for one byte deep. Behind a stray line end it went unseen, and the worker ran on.
#[rstest]
fn who_leaves_while_the_job_is_out_has_it_given_up(
    #[values("", "\r\n", ANOTHER, "no http at all")] behind: &str,
    #[values(How::Closed, How::HalfClosed, How::Reset)] how: How,
) {
    // Nothing else ends this job within the test's patience.
    let settings = SETTINGS.replace("8000", "60000").replace(r#""aim_ms": 500"#, r#""aim_ms": 50000"#);
    in_time(|| {
        let rig = Rig::with(1, &settings, None);
        let mut client = rig.post("c1", "quote", "");
        let seen = rig.workers[0].next();
        if !seen.message.first.starts_with("POST ") {
            return None;
        }
        seen.answer("202 Accepted");
        rig.news(0, "c1", "started", "");
        client.write(behind.as_bytes());
        // What lies behind has been seen before the end comes.
        rig.turn();
        if !rig.workers[0].has_none() {
            return None;
        }
        let _rest = leave(client, how);
        let seen = rig.workers[0].next();
        assert_eq!(seen.message.first, "DELETE /jobs/c1 HTTP/1.1");
        seen.answer("200 OK");
        rig.turn();
        // It may be told again where its answer was slow; nothing is sent to it.
        assert!(rig.workers[0].asked().iter().all(|asked| asked.starts_with("DELETE ")));
        Some(())
    });
}

/// The same while it waits for a worker: it is not sent on when there is one.
#[rstest]
fn who_leaves_while_the_job_waits_is_not_sent_on(
    #[values("", "\r\n", ANOTHER, "no http at all")] behind: &str,
    #[values(How::Closed, How::HalfClosed, How::Reset)] how: How,
) {
    let rig = Rig::start(1);
    rig.list(&["draining"]);
    let mut client = rig.post("c1", "quote", "");
    rig.turn();
    client.write(behind.as_bytes());
    rig.turn();
    let _rest = leave(client, how);
    rig.turn();
    // Behind it in the queue.
    let mut next = rig.post("c2", "quote", "");
    rig.turn();
    rig.list(&["up"]);
    assert_eq!(rig.workers[0].take(), "c2");
    rig.news(0, "c2", "done", DONE);
    assert_eq!(next.answer().status(), 200);
    assert!(rig.workers[0].has_none());
}

/// Between two attempts: the worker has turned it away, and it waits for the next one.
#[test]
fn who_leaves_between_two_attempts_gets_no_second_one() {
    let rig = Rig::start(1);
    let mut client = rig.post("c1", "quote", "");
    assert_eq!(rig.workers[0].take(), "c1");
    client.write(b"\r\n");
    rig.list(&["draining"]);
    rig.news(0, "c1", "returned", "");
    rig.turn();
    leave(client, How::Closed);
    rig.turn();
    let mut next = rig.post("c2", "quote", "");
    rig.turn();
    rig.list(&["up"]);
    assert_eq!(rig.workers[0].take(), "c2");
    rig.news(0, "c2", "done", DONE);
    assert_eq!(next.answer().status(), 200);
    assert!(rig.workers[0].has_none());
}

/// While its attempt is being given up, for being late: the next one is not made.
#[test]
fn who_leaves_while_an_attempt_is_given_up_gets_no_other() {
    in_time(|| {
        let rig = Rig::with(2, &SETTINGS.replace(r#""aim_ms": 500"#, r#""aim_ms": 50"#), None);
        let mut client = rig.post("c1", "quote", "");
        let (first, seen) = rig.next();
        if !seen.message.first.starts_with("POST ") {
            return None;
        }
        seen.answer("202 Accepted");
        rig.news(first, "c1", "started", "");
        let giving_up = rig.workers[first].next();
        if !giving_up.message.first.starts_with("DELETE ") {
            return None;
        }
        client.write(b"\r\n");
        rig.turn();
        leave(client, How::Closed);
        rig.turn();
        // Had it taken longer than such a call may, the next attempt might have gone out before.
        let sent = rig.workers.iter().any(|w| !w.has_none());
        if sent {
            return None;
        }
        giving_up.answer("200 OK");
        rig.turn();
        let mut next = rig.post("c2", "quote", "");
        let (worker, seen) = rig.next();
        if !seen.message.first.starts_with("POST ") {
            return None;
        }
        assert_eq!(seen.reference(), "c2");
        seen.answer("202 Accepted");
        rig.news(worker, "c2", "done", DONE);
        assert_eq!(next.answer().status(), 200);
        assert!(rig.workers.iter().all(|w| !w.was_sent("c1")));
        Some(())
    });
}

/// The last byte and the end come in one read: the server took the request, and looked for no end any more.
#[rstest]
fn who_has_left_before_the_request_was_read_is_not_sent_on(
    #[values("", "\r\n", ANOTHER)] behind: &str,
    #[values(How::Closed, How::HalfClosed, How::Reset)] how: How,
) {
    let rig = Rig::start(1);
    rig.freeze();
    let mut client = rig.post("c1", "quote", "");
    client.write(behind.as_bytes());
    let _rest = leave(client, how);
    rig.thaw();
    rig.turn();
    // Whatever else comes is of the next one.
    let _next = rig.post("c2", "quote", "");
    let seen = rig.workers[0].next();
    assert_eq!((&*seen.message.first, seen.reference()), ("POST /api HTTP/1.1", "c2"));
    rig.turn();
    assert!(!rig.workers[0].was_sent("c1"));
}

/// A body that is whole when its client is gone, and one that is not.
#[rstest]
#[case::half("payl")]
#[case::whole("payload")]
fn who_leaves_with_the_body_on_its_way_is_not_sent_on(#[case] body: &str) {
    let rig = Rig::start(1);
    let mut client = rig.connect();
    let head =
        "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: c1\r\nX-Call-Class: quote\r\nX-Caller: acme\r\n";
    client.write(format!("{head}Content-Length: 7\r\n\r\n").as_bytes());
    rig.turn();
    rig.freeze();
    client.write(body.as_bytes());
    leave(client, How::Closed);
    rig.thaw();
    rig.turn();
    // Whatever else comes is of the next one.
    let _next = rig.post("c2", "quote", "");
    let seen = rig.workers[0].next();
    assert_eq!((&*seen.message.first, seen.reference()), ("POST /api HTTP/1.1", "c2"));
    rig.turn();
    assert!(!rig.workers[0].was_sent("c1"));
}

/// A burst of leavers where all room is taken: nothing of them stays behind, and their ids are free.
#[test]
fn nothing_stays_behind_of_a_burst_of_leavers() {
    let rig = Rig::start(1);
    rig.list(&["draining"]);
    let ids: Vec<String> = (0..50).map(|i| format!("c{i}")).collect();
    for round in 0..3 {
        let mut clients: Vec<Client> = ids.iter().map(|id| rig.post(id, "quote", "")).collect();
        rig.turn();
        // As many as are held at most.
        let mut one_more = rig.post("more", "quote", "");
        assert_eq!(one_more.answer().status(), 503, "round {round}");
        for (i, client) in clients.iter_mut().enumerate().filter(|(i, _)| i % 2 == 0) {
            client.write(&b"\r\nmore"[..i % 7]);
        }
        rig.turn();
        for (i, client) in clients.into_iter().enumerate() {
            drop(leave(client, [How::Closed, How::Reset, How::HalfClosed][i % 3]));
        }
        rig.turn();
    }
    rig.list(&["up"]);
    assert_eq!(rig.served("c0", "quote"), 0);
    assert!(rig.workers[0].has_none());
}

/// A client that leaves while the connection to the worker comes up: nothing is written on it.
#[test]
fn who_leaves_while_the_worker_is_connected_to_is_not_sent_on() {
    let mut closed = common::Closed::start();
    let settings = SETTINGS.replace(r#""connect_timeout_ms": 1000"#, r#""connect_timeout_ms": 6000"#);
    let rig = Rig::of(vec![("w0".into(), closed.addr)], &settings, None);
    let mut client = rig.post("c1", "order", "");
    wait_until("the worker is connected to", || closed.coming() > 0);
    client.write(b"\r\n");
    rig.turn();
    drop(client);
    wait_until("the connection is given up", || closed.coming() == 0);
    // Whatever comes next is of the next job.
    let _next = rig.post("c2", "order", "");
    let mut stream = std::io::BufReader::new(closed.let_in());
    let message = common::read_message(&mut stream).expect("a request");
    assert_eq!((&*message.first, &*message.headers["x-call-id"]), ("POST /api HTTP/1.1", "c2"));
}

/// The same where bodies pass: the body is not read any further while the job waits.
#[test]
fn who_leaves_behind_a_body_that_waits_is_not_sent_on() {
    let operator = r#"{"workers":[{"kind":"web","protocol":"http"}],
        "classes":[{"name":"page","aim_ms":500,"deadline_ms":8000,"effect":"once","kind":"web"}],
        "routes":[{"path":"/web","match":"prefix","class":"page","stream":true,"max_body":10000000}]}"#;
    let worker = Worker::start("w0");
    let listed = vec![(worker.id.clone(), worker.addr)];
    let setup = Setup { operator: Some(operator), kind: Some("web"), ..Setup::default() };
    let mut rig = Rig::set_up(listed, SETTINGS, setup);
    rig.workers = vec![worker];
    rig.list(&["draining"]);
    let mut client = rig.connect();
    // More than a stream holds, and little enough that its end comes behind what is not read.
    let size = 300_000;
    client
        .write(format!("PUT /web/a HTTP/1.1\r\nHost: app.svc\r\nContent-Length: {size}\r\n\r\n").as_bytes());
    client.write(&vec![b'x'; size]);
    rig.turn();
    leave(client, How::Closed);
    rig.turn();
    rig.list(&["up"]);
    let mut next = rig.connect();
    next.send("PUT /web/b", "", "payload");
    let seen = rig.workers[0].next();
    assert_eq!(seen.message.first, "PUT /web/b HTTP/1.1");
    seen.answer("200 OK");
    assert_eq!(next.answer().status(), 200);
}
