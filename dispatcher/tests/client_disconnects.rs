//! Client disconnects: a job whose client has disconnected is not sent to workers, at any stage and whatever unread bytes
//! precede the end of the stream.

mod common;

use common::{retry_if_late, wait_until, Client, Rig, Setup, Worker, SETTINGS};
use rstest::rstest;

const DONE: &str = r#","result":"a chart""#;

/// The way in which a client disconnects.
#[derive(Clone, Copy, Debug)]
enum Disconnect {
    Closed,
    HalfClosed,
    Reset,
}

/// Disconnects, and waits until the kernel has processed that: other threads of this test fork, and their children hold closed
/// sockets open for a while. The caller must hold on to a half-closed client.
fn disconnect_and_wait(client: Client, disconnect_kind: Disconnect) -> Option<Client> {
    let ends = client.addresses();
    let client_half = disconnect(client, disconnect_kind);
    wait_until("the disconnect is known to the kernel", || !common::is_established(ends));
    client_half
}

fn disconnect(client: Client, disconnect_kind: Disconnect) -> Option<Client> {
    match disconnect_kind {
        Disconnect::Closed => drop(client),
        Disconnect::Reset => client.reset(),
        Disconnect::HalfClosed => {
            client.half_close();
            return Some(client);
        }
    }
    None
}

const PIPELINED: &str =
    "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: c9\r\nX-Call-Class: quote\r\nX-Caller: acme\r\n\
    Content-Length: 0\r\n\r\n";

/// Guards against looking only one byte ahead for the end of the stream: a stray line end before it hid the disconnect, and the
/// worker ran on.
#[rstest]
fn a_disconnect_during_an_attempt_cancels_it(
    #[values("", "\r\n", PIPELINED, "no http at all")] trailing: &str,
    #[values(Disconnect::Closed, Disconnect::HalfClosed, Disconnect::Reset)] disconnect_kind: Disconnect,
) {
    // Nothing else ends this job within the test's time-outs.
    let settings = SETTINGS.replace("8000", "60000").replace(r#""aim_ms": 500"#, r#""aim_ms": 50000"#);
    retry_if_late(|| {
        let rig = Rig::with_settings(1, &settings, None);
        let mut client = rig.post("c1", "quote", "");
        let seen = rig.workers[0].next();
        if !seen.message.start_line.starts_with("POST ") {
            return None;
        }
        seen.respond("202 Accepted");
        rig.send_job_update(0, "c1", "started", "");
        client.write(trailing.as_bytes());
        // The trailing bytes have been read before the stream ends.
        rig.process_pending_events();
        if !rig.workers[0].has_no_request() {
            return None;
        }
        let _client_half = disconnect_and_wait(client, disconnect_kind);
        let seen = rig.workers[0].next();
        assert_eq!(seen.message.start_line, "DELETE /jobs/c1 HTTP/1.1");
        seen.respond("200 OK");
        rig.process_pending_events();
        // The cancellation may be repeated if its answer was slow; no job is sent.
        assert!(rig.workers[0].request_lines().iter().all(|asked| asked.starts_with("DELETE ")));
        Some(())
    });
}

/// The same while the job waits for a worker: it is not sent when a worker comes up.
#[rstest]
fn a_disconnect_while_the_job_waits_keeps_it_from_being_sent(
    #[values("", "\r\n", PIPELINED, "no http at all")] trailing: &str,
    #[values(Disconnect::Closed, Disconnect::HalfClosed, Disconnect::Reset)] disconnect_kind: Disconnect,
) {
    let rig = Rig::start(1);
    rig.list(&["draining"]);
    let mut client = rig.post("c1", "quote", "");
    rig.process_pending_events();
    client.write(trailing.as_bytes());
    rig.process_pending_events();
    let _client_half = disconnect_and_wait(client, disconnect_kind);
    rig.process_pending_events();
    // Queued after the first job.
    let mut next = rig.post("c2", "quote", "");
    rig.process_pending_events();
    rig.list(&["up"]);
    assert_eq!(rig.workers[0].accept_job(), "c2");
    rig.send_job_update(0, "c2", "done", DONE);
    assert_eq!(next.read_response().status(), 200);
    assert!(rig.workers[0].has_no_request());
}

/// Between two attempts: the worker has returned the job, and it waits for the next attempt.
#[test]
fn a_disconnect_between_two_attempts_prevents_the_second() {
    let rig = Rig::start(1);
    let mut client = rig.post("c1", "quote", "");
    assert_eq!(rig.workers[0].accept_job(), "c1");
    client.write(b"\r\n");
    rig.list(&["draining"]);
    rig.send_job_update(0, "c1", "returned", "");
    rig.process_pending_events();
    disconnect_and_wait(client, Disconnect::Closed);
    rig.process_pending_events();
    let mut next = rig.post("c2", "quote", "");
    rig.process_pending_events();
    rig.list(&["up"]);
    assert_eq!(rig.workers[0].accept_job(), "c2");
    rig.send_job_update(0, "c2", "done", DONE);
    assert_eq!(next.read_response().status(), 200);
    assert!(rig.workers[0].has_no_request());
}

/// While an overdue attempt is being cancelled: there is no further attempt.
#[test]
fn a_disconnect_during_a_cancellation_prevents_another_attempt() {
    retry_if_late(|| {
        let rig = Rig::with_settings(2, &SETTINGS.replace(r#""aim_ms": 500"#, r#""aim_ms": 50"#), None);
        let mut client = rig.post("c1", "quote", "");
        let (first, seen) = rig.next();
        if !seen.message.start_line.starts_with("POST ") {
            return None;
        }
        seen.respond("202 Accepted");
        rig.send_job_update(first, "c1", "started", "");
        let cancellation = rig.workers[first].next();
        if !cancellation.message.start_line.starts_with("DELETE ") {
            return None;
        }
        client.write(b"\r\n");
        rig.process_pending_events();
        disconnect_and_wait(client, Disconnect::Closed);
        rig.process_pending_events();
        // If the cancellation has timed out, the next attempt may have started already.
        let sent = rig.workers.iter().any(|w| !w.has_no_request());
        if sent {
            return None;
        }
        cancellation.respond("200 OK");
        rig.process_pending_events();
        let mut next = rig.post("c2", "quote", "");
        let (worker, seen) = rig.next();
        if !seen.message.start_line.starts_with("POST ") {
            return None;
        }
        assert_eq!(seen.reference(), "c2");
        seen.respond("202 Accepted");
        rig.send_job_update(worker, "c2", "done", DONE);
        assert_eq!(next.read_response().status(), 200);
        assert!(rig.workers.iter().all(|w| !w.has_received_job("c1")));
        Some(())
    });
}

/// The last byte and the end of the stream come in one read. Guards against accepting the request and no longer checking for the
/// end.
#[rstest]
fn a_disconnect_before_the_request_is_read_keeps_it_from_being_sent(
    #[values("", "\r\n", PIPELINED)] trailing: &str,
    #[values(Disconnect::Closed, Disconnect::HalfClosed, Disconnect::Reset)] disconnect_kind: Disconnect,
) {
    let rig = Rig::start(1);
    rig.pause();
    let mut client = rig.post("c1", "quote", "");
    client.write(trailing.as_bytes());
    let _client_half = disconnect_and_wait(client, disconnect_kind);
    rig.resume();
    rig.process_pending_events();
    // The next request belongs to the next job.
    let _next = rig.post("c2", "quote", "");
    let seen = rig.workers[0].next();
    assert_eq!((&*seen.message.start_line, seen.reference()), ("POST /api HTTP/1.1", "c2"));
    rig.process_pending_events();
    assert!(!rig.workers[0].has_received_job("c1"));
}

/// The client disconnects after a complete body, or in the middle of one.
#[rstest]
#[case::half("payl")]
#[case::whole("payload")]
fn a_disconnect_while_the_body_arrives_keeps_the_job_from_being_sent(#[case] body: &str) {
    let rig = Rig::start(1);
    let mut client = rig.connect();
    let head =
        "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: c1\r\nX-Call-Class: quote\r\nX-Caller: acme\r\n";
    client.write(format!("{head}Content-Length: 7\r\n\r\n").as_bytes());
    rig.process_pending_events();
    rig.pause();
    client.write(body.as_bytes());
    disconnect_and_wait(client, Disconnect::Closed);
    rig.resume();
    rig.process_pending_events();
    // The next request belongs to the next job.
    let _next = rig.post("c2", "quote", "");
    let seen = rig.workers[0].next();
    assert_eq!((&*seen.message.start_line, seen.reference()), ("POST /api HTTP/1.1", "c2"));
    rig.process_pending_events();
    assert!(!rig.workers[0].has_received_job("c1"));
}

/// A burst of disconnects while the queue is full: their places and ids are released.
#[test]
fn a_burst_of_disconnects_leaves_nothing_allocated() {
    let rig = Rig::start(1);
    rig.list(&["draining"]);
    let ids: Vec<String> = (0..50).map(|i| format!("c{i}")).collect();
    for round in 0..3 {
        let mut clients: Vec<Client> = ids.iter().map(|id| rig.post(id, "quote", "")).collect();
        rig.process_pending_events();
        // The queue is full.
        let mut one_more = rig.post("more", "quote", "");
        assert_eq!(one_more.read_response().status(), 503, "round {round}");
        for (i, client) in clients.iter_mut().enumerate().filter(|(i, _)| i % 2 == 0) {
            client.write(&b"\r\nmore"[..i % 7]);
        }
        rig.process_pending_events();
        for (i, client) in clients.into_iter().enumerate() {
            drop(disconnect_and_wait(
                client,
                [Disconnect::Closed, Disconnect::Reset, Disconnect::HalfClosed][i % 3],
            ));
        }
        rig.process_pending_events();
    }
    rig.list(&["up"]);
    assert_eq!(rig.serve_job("c0", "quote"), 0);
    assert!(rig.workers[0].has_no_request());
}

/// A client that disconnects while the connection to the worker is being established: its job is not written there.
#[test]
fn a_disconnect_while_the_worker_is_connected_to_keeps_the_job_from_being_sent() {
    let mut closed = common::BlockedListener::start();
    let settings = SETTINGS.replace(r#""connect_timeout_ms": 1000"#, r#""connect_timeout_ms": 6000"#);
    let rig = Rig::with_worker_addrs(vec![("w0".into(), closed.addr)], &settings, None);
    let mut client = rig.post("c1", "order", "");
    wait_until("the worker is connected to", || closed.pending_connections() > 0);
    client.write(b"\r\n");
    rig.process_pending_events();
    drop(client);
    wait_until("the connection is abandoned", || closed.pending_connections() == 0);
    // The next request belongs to the next job.
    let _next = rig.post("c2", "order", "");
    let mut stream = std::io::BufReader::new(closed.accept_next());
    let message = common::read_message(&mut stream).expect("a request");
    assert_eq!((&*message.start_line, &*message.headers["x-call-id"]), ("POST /api HTTP/1.1", "c2"));
}

/// The same for a streamed request: its body is not read any further while the job waits.
#[test]
fn a_disconnect_after_an_unread_body_keeps_the_job_from_being_sent() {
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
    // More than the stream's buffer, and little enough for the end of the stream to arrive after unread bytes.
    let size = 300_000;
    client
        .write(format!("PUT /web/a HTTP/1.1\r\nHost: app.svc\r\nContent-Length: {size}\r\n\r\n").as_bytes());
    client.write(&vec![b'x'; size]);
    rig.process_pending_events();
    disconnect_and_wait(client, Disconnect::Closed);
    rig.process_pending_events();
    rig.list(&["up"]);
    let mut next = rig.connect();
    next.send("PUT /web/b", "", "payload");
    let seen = rig.workers[0].next();
    assert_eq!(seen.message.start_line, "PUT /web/b HTTP/1.1");
    seen.respond("200 OK");
    assert_eq!(next.read_response().status(), 200);
}
