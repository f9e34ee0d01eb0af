//! Clients that have disconnected by the time an attempt for them would start: no attempt starts. The race is forced: the
//! process is stopped while the client disconnects and while the event arrives that would start the attempt, in both orders.

mod common;

use common::{wait_until, BlockedListener, Client, Rig, Setup, Worker, SETTINGS, WAIT_TIMEOUT};
use rstest::rstest;
use std::io::{BufRead, BufReader};
use std::net::TcpStream;

const DONE: &str = r#","result":"a chart""#;
const OPERATOR: &str = r#"{"workers":[{"kind":"web","protocol":"http"}],
    "classes":[{"name":"page","aim_ms":500,"deadline_ms":8000,"effect":"once","kind":"web"}],
    "routes":[{"path":"/web","match":"prefix","class":"page","stream":true,"max_body":10000000}]}"#;

/// How a client disconnects.
#[derive(Clone, Copy, Debug)]
enum Disconnect {
    Closed,
    HalfClosed,
    Reset,
}

/// Which of the two comes first, while the process is stopped: the client's disconnect, or the event that would start the
/// attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
enum First {
    End,
    Trigger,
}

/// Disconnects, and waits until the kernel has processed that. The caller must hold on to a half-closed client.
fn disconnect(client: Client, disconnect_kind: Disconnect) -> Option<Client> {
    let ends = client.addresses();
    let client_half = match disconnect_kind {
        Disconnect::Closed => {
            drop(client);
            None
        }
        Disconnect::Reset => {
            client.reset();
            None
        }
        Disconnect::HalfClosed => {
            client.half_close();
            Some(client)
        }
    };
    wait_until("the disconnect is known to the kernel", || !common::is_established(ends));
    client_half
}

/// Disconnects the client and triggers the event, in this order, while the process is stopped.
fn race(
    rig: &Rig,
    client: Client,
    disconnect_kind: Disconnect,
    first: First,
    trigger: impl FnOnce(),
) -> Option<Client> {
    rig.pause();
    let client_half = if first == First::End {
        let client_half = disconnect(client, disconnect_kind);
        trigger();
        client_half
    } else {
        trigger();
        disconnect(client, disconnect_kind)
    };
    rig.resume();
    rig.process_pending_events();
    client_half
}

/// Writes a worker's update, without waiting for its answer.
fn send_update(client: &mut Client, worker: &Worker, reference: &str, state: &str) {
    let body = format!(r#"{{"id":"{reference}","from":"{}","state":"{state}"}}"#, worker.id);
    client.send("POST /_jobs/news", "", &body);
    let mut seen = 0;
    // The bytes have reached the receive buffer of the program's socket.
    wait_until("the update is in the receive buffer", || {
        seen += 1;
        client.unread_bytes().is_some_and(|unread| unread > body.len()) || seen > 200
    });
}

/// Opens a connection that the program has accepted and answered a request on.
fn connection(rig: &Rig) -> Client {
    let mut client = rig.connect();
    client.wait_until_up();
    client
}

/// Serves a job per worker, so that each has a kept-alive connection on which an attempt starts without delay.
fn warm(rig: &Rig) {
    for (i, _) in rig.workers.iter().enumerate() {
        let mut client = rig.post(&format!("warm{i}"), "quote", "");
        let (worker, seen) = rig.next();
        seen.respond("202 Accepted");
        rig.send_job_update(worker, &format!("warm{i}"), "done", DONE);
        assert_eq!(client.read_response().status(), 200);
    }
}

/// The worker returns the job at the moment its client disconnects: there is no further attempt.
#[rstest]
fn no_further_attempt_starts_for_a_client_that_disconnects_as_its_job_is_returned(
    #[values("", "\r\n", "no http at all")] trailing: &str,
    #[values(Disconnect::Closed, Disconnect::HalfClosed, Disconnect::Reset)] disconnect_kind: Disconnect,
    #[values(First::End, First::Trigger)] first: First,
) {
    let rig = Rig::start(2);
    warm(&rig);
    let mut calls = connection(&rig);
    let mut client = rig.post("c1", "quote", "");
    let (worker, seen) = rig.next();
    seen.respond("202 Accepted");
    rig.process_pending_events();
    client.write(trailing.as_bytes());
    rig.process_pending_events();
    let trigger = || send_update(&mut calls, &rig.workers[worker], "c1", "returned");
    let _client_half = race(&rig, client, disconnect_kind, first, trigger);
    assert!(rig.workers.iter().all(|w| !w.has_received_job("c1")), "sent after its client disconnected");
    assert_ne!(rig.serve_job("c2", "quote"), usize::MAX);
}

/// A worker comes up at the moment the client of a waiting job disconnects: there is no first attempt.
#[rstest]
fn no_first_attempt_starts_for_a_client_that_disconnects_as_a_worker_comes_up(
    #[values("", "\r\n", "no http at all")] trailing: &str,
    #[values(Disconnect::Closed, Disconnect::HalfClosed, Disconnect::Reset)] disconnect_kind: Disconnect,
    #[values(First::End, First::Trigger)] first: First,
) {
    let rig = Rig::start(1);
    warm(&rig);
    rig.list(&["draining"]);
    let mut client = rig.post("c1", "quote", "");
    rig.process_pending_events();
    client.write(trailing.as_bytes());
    rig.process_pending_events();
    let _client_half = race(&rig, client, disconnect_kind, first, || rig.list_without_waiting(&["up"]));
    rig.list(&["up"]);
    let mut next = rig.post("c2", "quote", "");
    let seen = rig.workers[0].next_job_request();
    assert_eq!((&*seen.message.start_line, seen.reference()), ("POST /api HTTP/1.1", "c2"));
    seen.respond("202 Accepted");
    rig.send_job_update(0, "c2", "done", DONE);
    assert_eq!(next.read_response().status(), 200);
}

/// 49 of fifty waiting clients disconnect as the only worker, which was draining, comes up: no job of theirs is sent.
#[test]
fn no_job_of_a_burst_of_disconnected_clients_is_sent_when_a_worker_comes_up() {
    // Disconnecting all clients may take long on a busy machine; the job of the one that stays has the time for that.
    let rig = Rig::with_settings(1, &SETTINGS.replace("8000", "60000"), None);
    warm(&rig);
    rig.list(&["draining"]);
    let mut clients: Vec<Client> = (0..49).map(|i| rig.post(&format!("c{i}"), "quote", "")).collect();
    let mut stays = rig.post("stays", "quote", "");
    rig.process_pending_events();
    for (i, client) in clients.iter_mut().enumerate() {
        client.write(&b"\r\nmore"[..i % 7]);
    }
    rig.process_pending_events();
    rig.pause();
    rig.list_without_waiting(&["up"]);
    let kinds = [Disconnect::Closed, Disconnect::Reset, Disconnect::HalfClosed];
    let _client_halves: Vec<_> =
        clients.into_iter().enumerate().map(|(i, c)| disconnect(c, kinds[i % 3])).collect();
    rig.resume();
    let seen = rig.workers[0].next_job_request();
    assert_eq!((&*seen.message.start_line, seen.reference()), ("POST /api HTTP/1.1", "stays"));
    seen.respond("202 Accepted");
    rig.send_job_update(0, "stays", "done", DONE);
    assert_eq!(stays.read_response().status(), 200);
    rig.process_pending_events();
    let sent = rig.workers[0].request_lines();
    assert!(sent.iter().all(|first| !first.starts_with("POST ")), "{sent:?}");
}

/// A slow connection to the worker is established at the moment the client disconnects: nothing is written on it.
#[rstest]
fn nothing_is_written_on_a_slow_connection_established_as_the_client_disconnects(
    #[values("", "\r\n", "no http at all")] trailing: &str,
    #[values(Disconnect::Closed, Disconnect::HalfClosed, Disconnect::Reset)] disconnect_kind: Disconnect,
    #[values(First::End, First::Trigger)] first: First,
) {
    let mut closed = BlockedListener::start();
    let settings = SETTINGS.replace(r#""connect_timeout_ms": 1000"#, r#""connect_timeout_ms": 6000"#);
    let rig = Rig::with_worker_addrs(vec![("w0".into(), closed.addr)], &settings, None);
    let mut client = rig.post("c1", "order", "");
    wait_until("the worker is connected to", || closed.pending_connections() > 0);
    client.write(trailing.as_bytes());
    rig.process_pending_events();
    let mut stream = None;
    let _client_half = race(&rig, client, disconnect_kind, first, || stream = Some(closed.accept_next()));
    assert_eq!(first_line(stream.expect("a connection")), None);
}

/// The same for streamed requests, with a complete body and with one that is still arriving.
#[rstest]
fn no_streamed_request_is_sent_on_a_slow_connection_established_as_the_client_disconnects(
    #[values(0, 7)] missing: usize,
    #[values(Disconnect::Closed, Disconnect::HalfClosed, Disconnect::Reset)] disconnect_kind: Disconnect,
    #[values(First::End, First::Trigger)] first: First,
) {
    let mut closed = BlockedListener::start();
    let settings = SETTINGS.replace(r#""connect_timeout_ms": 1000"#, r#""connect_timeout_ms": 6000"#);
    let setup = Setup { operator: Some(OPERATOR), kind: Some("web"), ..Setup::default() };
    let rig = Rig::set_up(vec![("w0".into(), closed.addr)], &settings, setup);
    let mut client = rig.connect();
    client.write(b"PUT /web/a HTTP/1.1\r\nHost: app.svc\r\nContent-Length: 100\r\n\r\n");
    client.write(&vec![b'x'; 100 - missing]);
    wait_until("the worker is connected to", || closed.pending_connections() > 0);
    rig.process_pending_events();
    let mut stream = None;
    let _client_half = race(&rig, client, disconnect_kind, first, || stream = Some(closed.accept_next()));
    assert_eq!(first_line(stream.expect("a connection")), None);
}

/// The first line received on a connection; `None` if it ends before, or if nothing arrives within a fortieth of `PATIENCE`.
fn first_line(stream: TcpStream) -> Option<String> {
    stream.set_read_timeout(Some(WAIT_TIMEOUT / 40)).expect("a time-out");
    let mut line = String::new();
    let count = BufReader::new(stream).read_line(&mut line).unwrap_or(0);
    (count > 0).then(|| line.trim_end().to_owned())
}

fn beanstalkd_operator() -> String {
    r#"{"workers": [{"kind": "q"}], "beanstalkd": {"listen": "127.0.0.1:0", "tubes": [
     {"tube": "quotes", "class": "quote", "tenant": "acme", "answers": "done"}]}}"#
        .to_owned()
}

fn put(rig: &Rig) -> (Client, u64) {
    let mut client = Client::new(rig.beanstalkd_addr.expect("the beanstalkd listener is on"));
    assert_eq!(client.command("use quotes"), "USING quotes");
    let reply = client.command("put 0 0 60 7\r\npayload");
    let id = reply.strip_prefix("INSERTED ").and_then(|id| id.parse().ok());
    (client, id.unwrap_or_else(|| panic!("{reply}")))
}

/// A client of the beanstalkd listener deletes its job while it waits: there is no first attempt.
#[test]
fn a_job_deleted_while_it_waits_is_not_sent() {
    let rig = Rig::with_settings(1, SETTINGS, Some(&beanstalkd_operator()));
    warm(&rig);
    rig.list(&["draining"]);
    let (mut client, id) = put(&rig);
    rig.process_pending_events();
    assert_eq!(client.command(&format!("delete {id}")), "DELETED");
    rig.list(&["up"]);
    rig.process_pending_events();
    assert!(rig.workers[0].request_lines().iter().all(|asked| !asked.starts_with("POST ")));
}

/// The same between two attempts: no attempt starts once the delete is answered.
#[test]
fn a_job_deleted_after_its_return_gets_no_further_attempt() {
    let rig = Rig::with_settings(1, SETTINGS, Some(&beanstalkd_operator()));
    let (mut client, id) = put(&rig);
    let seen = rig.workers[0].next();
    let reference = seen.reference().to_owned();
    seen.respond("202 Accepted");
    rig.list(&["draining"]);
    rig.send_job_update(0, &reference, "returned", "");
    assert_eq!(client.command(&format!("delete {id}")), "DELETED");
    rig.list(&["up"]);
    rig.process_pending_events();
    assert!(rig.workers[0].request_lines().iter().all(|asked| !asked.starts_with("POST ")));
}

/// The same while the connection to the worker is being established.
#[test]
fn a_job_deleted_while_the_worker_is_connected_to_is_not_sent() {
    let mut closed = BlockedListener::start();
    let settings = SETTINGS.replace(r#""connect_timeout_ms": 1000"#, r#""connect_timeout_ms": 6000"#);
    let rig =
        Rig::with_worker_addrs(vec![("w0".into(), closed.addr)], &settings, Some(&beanstalkd_operator()));
    let (mut client, id) = put(&rig);
    wait_until("the worker is connected to", || closed.pending_connections() > 0);
    assert_eq!(client.command(&format!("delete {id}")), "DELETED");
    wait_until("the connection is abandoned", || closed.pending_connections() == 0);
    // The next request belongs to the next job.
    assert!(client.command("put 0 0 60 4\r\nnext").starts_with("INSERTED "));
    let message = common::read_message(&mut BufReader::new(closed.accept_next())).expect("a request");
    assert_eq!((&*message.start_line, &*message.body), ("POST /api HTTP/1.1", "next"));
}
