//! Connections to workers, kept and new: what happens between the decision and the first byte, and what is known of an
//! attempt whose connection broke.

mod common;

use common::{read_message, wait_until, Closed, Rig, Setup, Worker, SETTINGS};
use rstest::rstest;
use std::io::{BufReader, Read, Write};
use std::net::TcpListener;
use std::time::{Duration, Instant};

fn patient() -> String {
    SETTINGS.replace(r#""connect_timeout_ms": 1000"#, r#""connect_timeout_ms": 6000"#)
}

/// The worker drains, or has left, while the connection to it comes up: it was looked at before, and written to behind.
#[rstest]
#[case::draining(&["draining"])]
#[case::gone(&["removed"])]
fn nothing_is_written_to_a_worker_that_drains_while_it_is_connected_to(#[case] states: &[&str]) {
    let mut closed = Closed::start();
    let rig = Rig::of(vec![("w0".into(), closed.addr)], &patient(), None);
    let _client = rig.post("c1", "order", "");
    wait_until("the worker is connected to", || closed.coming() > 0);
    rig.list(states);
    let mut stream = closed.let_in();
    // The end, or a reset: not a byte.
    assert!(!matches!(stream.read(&mut [0]), Ok(1)));
}

/// Workers remember a key for a time. Seen: a repeat was decided within it, its connection came up behind it, and it was
/// written all the same.
#[test]
fn a_repeat_whose_connection_comes_up_too_late_is_not_written() {
    let mut closed = Closed::start();
    let settings = patient().replace(r#""key_ttl_ms": 9000"#, r#""key_ttl_ms": 2000"#);
    let worker = Worker::start("w0");
    let listed = vec![(worker.id.clone(), worker.addr), ("w1".into(), closed.addr)];
    let mut rig = Rig::of(listed, &settings, None);
    rig.workers = vec![worker];
    rig.list(&["up", "draining"]);
    let mut client = rig.post("c1", "statement", "Idempotency-Key: k1\r\n");
    assert_eq!(rig.workers[0].take(), "c1");
    let since = Instant::now();
    rig.list(&["draining", "up"]);
    rig.news(0, "c1", "failed", "");
    wait_until("the other worker is connected to", || closed.coming() > 0);
    std::thread::sleep(Duration::from_millis(2100).saturating_sub(since.elapsed()));
    let mut stream = closed.let_in();
    assert!(!matches!(stream.read(&mut [0]), Ok(1)));
    assert!([503, 504].contains(&client.answer().status()));
}

/// The time that a connection takes to come up is none of the time that a worker has to take a job.
#[test]
fn a_late_connection_is_used_and_a_class_that_must_not_be_repeated_is_served_on_it() {
    let mut closed = Closed::start();
    let rig = Rig::of(vec![("w0".into(), closed.addr)], &patient(), None);
    let mut client = rig.post("c1", "order", "");
    wait_until("the worker is connected to", || closed.coming() > 0);
    let mut stream = closed.let_in();
    let message =
        read_message(&mut BufReader::new(stream.try_clone().expect("a socket"))).expect("a request");
    assert_eq!(message.headers["x-call-id"], "c1");
    stream.write_all(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n").expect("a connection");
    rig.tell("w0", "c1", "done", r#","result":"an order""#);
    assert_eq!(client.answer().body, "an order");
}

/// The connection to the first worker never comes up. Nothing was sent there, so another may have it, whatever its class.
#[test]
fn what_never_left_goes_elsewhere_whatever_its_class() {
    let closed = Closed::start();
    let settings = SETTINGS.replace(r#""connect_timeout_ms": 1000"#, r#""connect_timeout_ms": 700"#);
    let worker = Worker::start("w1");
    let mut rig =
        Rig::of(vec![("w0".into(), closed.addr), (worker.id.clone(), worker.addr)], &settings, None);
    rig.workers = vec![worker];
    let mut clients: Vec<_> = (0..4).map(|i| rig.post(&format!("c{i}"), "order", "")).collect();
    for _ in 0..clients.len() {
        let seen = rig.workers[0].next();
        assert!(seen.message.first.starts_with("POST "), "{:?}", seen.message);
        let id = seen.reference().to_owned();
        seen.answer("202 Accepted");
        rig.tell("w1", &id, "done", r#","result":"an order""#);
    }
    assert!(clients.iter_mut().all(|c| c.answer().status() == 200));
}

/// The worker ends a kept connection in the moment of the write: the kernel knows, the program has not heard. Nothing is
/// written there, and the job goes on a new connection, whatever its class.
#[test]
fn a_kept_connection_that_ends_at_the_write_is_not_written_to() {
    let socket = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = socket.local_addr().expect("an address");
    let setup = Setup { stops: "post.look:2:stop", ..Setup::default() };
    let rig = Rig::set_up(vec![("w0".into(), addr)], SETTINGS, setup);
    let serve = |stream: &mut std::net::TcpStream| {
        let message =
            read_message(&mut BufReader::new(stream.try_clone().expect("a socket"))).expect("a request");
        stream.write_all(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n").expect("a connection");
        rig.tell("w0", &message.headers["x-call-id"], "done", r#","result":"an order""#);
    };
    let mut client = rig.post("c1", "order", "");
    let (mut kept, _) = socket.accept().expect("a connection");
    serve(&mut kept);
    assert_eq!(client.answer().status(), 200);
    let mut client = rig.post("c2", "order", "");
    rig.is_frozen();
    drop(kept);
    rig.thaw();
    let (mut stream, _) = socket.accept().expect("a connection");
    serve(&mut stream);
    let answer = client.answer();
    assert_eq!((answer.status(), &*answer.body), (200, "an order"));
}
