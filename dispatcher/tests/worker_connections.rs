//! Kept-alive and new connections to workers: state changes between the decision to send and the first byte written, and
//! the outcome of an attempt whose connection failed.

mod common;

use common::{read_message, wait_until, BlockedListener, Rig, Setup, Worker, SETTINGS};
use rstest::rstest;
use std::io::{BufReader, Read, Write};
use std::net::TcpListener;
use std::time::{Duration, Instant};

fn long_connect_settings() -> String {
    SETTINGS.replace(r#""connect_timeout_ms": 1000"#, r#""connect_timeout_ms": 6000"#)
}

/// The worker drains or is removed while the connection to it is being established. Guards against checking its state only
/// before connecting.
#[rstest]
#[case::draining(&["draining"])]
#[case::gone(&["removed"])]
fn nothing_is_written_to_a_worker_that_drains_during_connect(#[case] states: &[&str]) {
    let mut closed = BlockedListener::start();
    let rig = Rig::with_worker_addrs(vec![("w0".into(), closed.addr)], &long_connect_settings(), None);
    let _client = rig.post("c1", "order", "");
    wait_until("the worker is connected to", || closed.pending_connections() > 0);
    rig.list(states);
    let mut stream = closed.accept_next();
    // End of stream or a reset, but no data.
    assert!(!matches!(stream.read(&mut [0]), Ok(1)));
}

/// Workers remember an idempotency key for a limited time. Guards against a retry that is decided within that time but
/// written after it, because its connection was established too late.
#[test]
fn a_retry_whose_connection_is_established_too_late_is_not_written() {
    let mut closed = BlockedListener::start();
    let settings = long_connect_settings().replace(r#""key_ttl_ms": 9000"#, r#""key_ttl_ms": 2000"#);
    let worker = Worker::start("w0");
    let listed = vec![(worker.id.clone(), worker.addr), ("w1".into(), closed.addr)];
    let mut rig = Rig::with_worker_addrs(listed, &settings, None);
    rig.workers = vec![worker];
    rig.list(&["up", "draining"]);
    let mut client = rig.post("c1", "statement", "Idempotency-Key: k1\r\n");
    assert_eq!(rig.workers[0].accept_job(), "c1");
    let since = Instant::now();
    rig.list(&["draining", "up"]);
    rig.send_job_update(0, "c1", "failed", "");
    wait_until("the other worker is connected to", || closed.pending_connections() > 0);
    std::thread::sleep(Duration::from_millis(2100).saturating_sub(since.elapsed()));
    let mut stream = closed.accept_next();
    assert!(!matches!(stream.read(&mut [0]), Ok(1)));
    assert!([503, 504].contains(&client.read_response().status()));
}

/// The time to establish a connection does not count towards the time that a worker has to accept a job.
#[test]
fn a_slow_connection_is_used_even_for_a_class_that_must_not_be_repeated() {
    let mut closed = BlockedListener::start();
    let rig = Rig::with_worker_addrs(vec![("w0".into(), closed.addr)], &long_connect_settings(), None);
    let mut client = rig.post("c1", "order", "");
    wait_until("the worker is connected to", || closed.pending_connections() > 0);
    let mut stream = closed.accept_next();
    let message =
        read_message(&mut BufReader::new(stream.try_clone().expect("a socket"))).expect("a request");
    assert_eq!(message.headers["x-call-id"], "c1");
    stream.write_all(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n").expect("a connection");
    rig.send_job_update_from("w0", "c1", "done", r#","result":"an order""#);
    assert_eq!(client.read_response().body, "an order");
}

/// The connection to the first worker is never established. Nothing was sent, so the job may go to another worker,
/// whatever its class.
#[test]
fn a_job_that_was_never_sent_goes_to_another_worker_whatever_its_class() {
    let closed = BlockedListener::start();
    let settings = SETTINGS.replace(r#""connect_timeout_ms": 1000"#, r#""connect_timeout_ms": 700"#);
    let worker = Worker::start("w1");
    let mut rig = Rig::with_worker_addrs(
        vec![("w0".into(), closed.addr), (worker.id.clone(), worker.addr)],
        &settings,
        None,
    );
    rig.workers = vec![worker];
    let mut clients: Vec<_> = (0..4).map(|i| rig.post(&format!("c{i}"), "order", "")).collect();
    for _ in 0..clients.len() {
        let seen = rig.workers[0].next();
        assert!(seen.message.start_line.starts_with("POST "), "{:?}", seen.message);
        let id = seen.reference().to_owned();
        seen.respond("202 Accepted");
        rig.send_job_update_from("w1", &id, "done", r#","result":"an order""#);
    }
    assert!(clients.iter_mut().all(|c| c.read_response().status() == 200));
}

/// The worker closes a kept-alive connection just before the write: the kernel has received the FIN, the program has not
/// read it. Nothing is written there, and the job goes out on a new connection, whatever its class.
#[test]
fn a_kept_alive_connection_closed_before_the_write_is_not_written_to() {
    let socket = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = socket.local_addr().expect("an address");
    let setup = Setup { stops: "post.look:2:stop", ..Setup::default() };
    let rig = Rig::set_up(vec![("w0".into(), addr)], SETTINGS, setup);
    let serve = |stream: &mut std::net::TcpStream| {
        let message =
            read_message(&mut BufReader::new(stream.try_clone().expect("a socket"))).expect("a request");
        stream.write_all(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n").expect("a connection");
        rig.send_job_update_from("w0", &message.headers["x-call-id"], "done", r#","result":"an order""#);
    };
    let mut client = rig.post("c1", "order", "");
    let (mut kept, _) = socket.accept().expect("a connection");
    serve(&mut kept);
    assert_eq!(client.read_response().status(), 200);
    let mut client = rig.post("c2", "order", "");
    rig.wait_until_paused();
    drop(kept);
    rig.resume();
    let (mut stream, _) = socket.accept().expect("a connection");
    serve(&mut stream);
    let answer = client.read_response();
    assert_eq!((answer.status(), &*answer.body), (200, "an order"));
}
