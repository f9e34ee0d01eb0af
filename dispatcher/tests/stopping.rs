//! Shutdown of the process while clients and workers continue: accepted requests are answered completely, and others are refused,
//! or their connections are closed without reading a byte.

mod common;

use common::{wait_until, Client, Rig, Setup, Worker};
use rstest::rstest;
use std::net::TcpListener;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::Duration;

const DONE: &str = r#","result":"a chart""#;
/// Longer than the time in which jobs are accepted after SIGTERM.
const AFTER_ACCEPTANCE: Duration = Duration::from_millis(900);

/// A client whose connection is idle after an answer.
fn regular(rig: &Rig) -> Client {
    let mut client = rig.post("c0", "quote", "");
    assert_eq!(rig.workers[0].accept_job(), "c0");
    rig.send_job_update(0, "c0", "done", DONE);
    assert_eq!(client.read_response().status(), 200);
    client
}

fn head(id: &str) -> String {
    format!(
        "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: {id}\r\nX-Call-Class: quote\r\nX-Caller: acme\r\n"
    )
}

/// The process is stopped while the time runs out in which jobs are accepted, and resumes with that time over and a request to
/// read. Guards against reading and discarding such a request without an answer.
#[rstest]
#[case::whole("X-Budget-Ms: 1500\r\nContent-Length: 7\r\n\r\npayload", "")]
#[case::half_a_head("X-Budget-Ms: 15", "00\r\nContent-Length: 7\r\n\r\npayload")]
#[case::half_a_body("X-Budget-Ms: 1500\r\nContent-Length: 7\r\n\r\npay", "load")]
fn a_request_that_arrives_as_acceptance_ends_is_answered(#[case] first: &str, #[case] rest: &str) {
    let mut rig = Rig::start(1);
    let mut client = regular(&rig);
    // A job in flight keeps the process running.
    let mut other = rig.post("c1", "quote", "");
    assert_eq!(rig.workers[0].accept_job(), "c1");
    rig.send_job_update(0, "c1", "started", "");
    rig.list(&["draining"]);
    rig.terminate();
    rig.wait_for_log("SIGTERM");
    rig.pause();
    client.write(format!("{}{first}", head("c2")).as_bytes());
    std::thread::sleep(AFTER_ACCEPTANCE);
    rig.resume();
    rig.process_pending_events();
    client.write(rest.as_bytes());
    let answer = client.read_response();
    assert!([503, 504].contains(&answer.status()), "{answer:?}");
    assert_eq!(answer.headers["connection"], "close");
    rig.send_job_update(0, "c1", "done", DONE);
    assert_eq!(other.read_response().status(), 200);
    assert!(rig.wait_for_exit().success());
}

/// A request that is half read when acceptance ends is read completely, and refused.
#[test]
fn a_request_that_is_half_read_as_acceptance_ends_is_refused() {
    let mut rig = Rig::start(1);
    let mut client = regular(&rig);
    let mut other = rig.post("c1", "quote", "");
    assert_eq!(rig.workers[0].accept_job(), "c1");
    rig.send_job_update(0, "c1", "started", "");
    rig.terminate();
    rig.wait_for_log("SIGTERM");
    client.write(head("c2").as_bytes());
    rig.process_pending_events();
    std::thread::sleep(AFTER_ACCEPTANCE);
    rig.process_pending_events();
    client.write(b"Content-Length: 7\r\n\r\npayload");
    assert_eq!(client.read_response().status(), 503);
    rig.send_job_update(0, "c1", "done", DONE);
    assert_eq!(other.read_response().status(), 200);
    assert!(rig.wait_for_exit().success());
}

/// The same for requests forwarded to plain HTTP workers. Guards against checking a request only before its body arrives, and
/// sending it when the process is about to end.
#[test]
fn a_forwarded_request_that_is_half_read_as_acceptance_ends_is_refused() {
    let operator = r#"{"workers":[{"kind":"web","protocol":"http"}],
        "classes":[{"name":"page","aim_ms":500,"deadline_ms":8000,"effect":"once","kind":"web"}],
        "routes":[{"path":"/web","match":"prefix","class":"page","max_body":1000}]}"#;
    let workers = [Worker::start("w0"), Worker::start("w1")];
    let setup = Setup { operator: Some(operator), kind: Some("web"), ..Setup::default() };
    let listed = workers.iter().map(|w| (w.id.clone(), w.addr)).collect();
    let mut rig = Rig::set_up(listed, common::SETTINGS, setup);
    rig.workers = workers.into();
    // A job in flight keeps the process running; the other worker has a free slot.
    let mut first = rig.connect();
    first.send("PUT /web/a", "", "payload");
    let (_, kept) = rig.next();
    let mut client = rig.connect();
    client.write(b"PUT /web/b HTTP/1.1\r\nHost: app.svc\r\nContent-Length: 7\r\n\r\npay");
    rig.process_pending_events();
    rig.terminate();
    rig.wait_for_log("SIGTERM");
    std::thread::sleep(AFTER_ACCEPTANCE);
    rig.process_pending_events();
    client.write(b"load");
    rig.process_pending_events();
    assert!(rig.workers.iter().all(|w| w.has_no_request()));
    assert_eq!(client.read_response().status(), 503);
    kept.respond("200 OK");
    assert_eq!(first.read_response().status(), 200);
    assert!(rig.wait_for_exit().success());
}

/// Idle connections are closed; a request that crosses the close is not read, so its client can safely send it elsewhere.
#[test]
fn a_request_that_crosses_the_close_of_its_connection_is_left_unread() {
    let mut rig = Rig::start(1);
    let mut client = regular(&rig);
    let mut other = rig.post("c1", "quote", "");
    assert_eq!(rig.workers[0].accept_job(), "c1");
    rig.send_job_update(0, "c1", "started", "");
    rig.terminate();
    rig.wait_for_log("SIGTERM");
    // The process has closed its side of the connection, and waits for the client to close the other.
    assert!(client.is_closed_by_peer());
    client.post("c2", "quote", "");
    wait_until("the request lies unread, or its connection is gone", || client.unread_bytes() != Some(0));
    rig.process_pending_events();
    assert_ne!(client.unread_bytes(), Some(0), "read, and not answered");
    rig.send_job_update(0, "c1", "done", DONE);
    assert_eq!(other.read_response().status(), 200);
    assert!(rig.wait_for_exit().success());
}

/// Clients in the accept queue at the moment the listener closes are refused.
#[test]
fn clients_in_the_accept_queue_are_refused_when_the_listener_closes() {
    let setup = Setup { stops: "stop.over:1:stop", ..Setup::default() };
    let mut rig = Rig::set_up(vec![("w0".into(), ([127, 0, 0, 1], 9).into())], common::SETTINGS, setup);
    rig.terminate();
    rig.wait_until_paused();
    let mut clients: Vec<_> = (0..20).map(|i| rig.post(&format!("c{i}"), "quote", "")).collect();
    let mut late = rig.connect();
    rig.resume();
    for client in &mut clients {
        assert_eq!(client.read_response().status(), 503);
    }
    // A silent client is not waited for.
    assert!(late.is_closed_by_peer());
    assert!(rig.wait_for_exit().success());
}

/// With a listener that other processes share, clients in the accept queue are left to them.
#[test]
fn clients_in_the_accept_queue_of_a_shared_listener_are_left_to_the_next_process() {
    let socket = TcpListener::bind("127.0.0.1:0").expect("a port");
    let next = socket.try_clone().expect("a descriptor");
    let setup = Setup { stops: "stop.over:1:stop", inherit: Some(socket), ..Setup::default() };
    let mut rig = Rig::set_up(vec![("w0".into(), ([127, 0, 0, 1], 9).into())], common::SETTINGS, setup);
    rig.terminate();
    rig.wait_until_paused();
    let client = rig.post("c1", "quote", "");
    rig.resume();
    assert!(rig.wait_for_exit().success());
    let (stream, peer) = next.accept().expect("a connection");
    assert_eq!(peer, client.addr());
    let message = common::read_message(&mut std::io::BufReader::new(stream)).expect("a request");
    assert_eq!(message.headers["x-call-id"], "c1");
}

/// Clients keep sending on every open connection until shutdown: each request is answered or its connection closed, and the
/// process exits without waiting for them.
#[test]
fn clients_that_keep_sending_do_not_delay_the_exit() {
    let mut rig = Rig::start(1);
    rig.list(&["draining"]);
    let addr = rig.addr;
    let answered_clients = Arc::new(AtomicU32::new(0));
    let senders: Vec<_> = (0..8)
        .map(|i| {
            let answered_clients = answered_clients.clone();
            std::thread::spawn(move || {
                let (mut complete_answers, mut n) = (0, 0);
                while let Ok(stream) = std::net::TcpStream::connect(addr) {
                    let mut client = Client::from_stream(stream);
                    loop {
                        n += 1;
                        client.post(&format!("g{i}-{n}"), "quote", "X-Budget-Ms: 100\r\n");
                        match client.try_read_response() {
                            Some(_) => complete_answers += 1,
                            None => break,
                        }
                        answered_clients.fetch_add(u32::from(complete_answers == 1), Ordering::SeqCst);
                    }
                    // Connections that stay in the kernel's connection table would slow down reading it.
                    client.reset();
                }
                complete_answers
            })
        })
        .collect();
    wait_until("each has had an answer", || answered_clients.load(Ordering::SeqCst) == 8);
    rig.terminate();
    assert!(rig.wait_for_exit().success());
    let complete_answers: Vec<u32> = senders.into_iter().map(|g| g.join().expect("a client")).collect();
    assert!(complete_answers.iter().all(|w| *w > 0), "{complete_answers:?}");
}

/// SIGTERM arrives twice, while a job is accepted and not started.
#[test]
fn a_second_sigterm_changes_nothing_and_the_final_update_of_a_worker_is_processed() {
    let mut rig = Rig::start(1);
    let mut client = rig.post("c1", "quote", "");
    assert_eq!(rig.workers[0].accept_job(), "c1");
    rig.terminate();
    rig.terminate();
    rig.wait_for_log("SIGTERM");
    std::thread::sleep(AFTER_ACCEPTANCE);
    rig.send_job_update(0, "c1", "done", DONE);
    assert_eq!(client.read_response().status(), 200);
    assert!(rig.wait_for_exit().success());
}
