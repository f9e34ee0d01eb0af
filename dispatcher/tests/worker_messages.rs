//! Worker messages that race with the dispatcher's actions: repeated updates, updates that cross a cancellation, answers
//! that break off, never end or are sent twice. There are never two attempts at once, and an accepted job is waited for.

mod common;

use common::{read_message, Rig, SETTINGS};
use rstest::rstest;
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

const DONE: &str = r#","result":"a chart""#;

/// A worker repeats an update until it is answered, so the final update of an attempt may arrive again while the next
/// attempt runs there. Guards against ending that attempt too and starting a third one beside it.
#[rstest]
#[case::failed("failed")]
#[case::returned("returned")]
#[case::lost("lost")]
fn a_repeated_update_does_not_end_the_next_attempt(#[case] state: &str) {
    let rig = Rig::start(1);
    let mut client = rig.post("c1", "quote", "");
    assert_eq!(rig.workers[0].accept_job(), "c1");
    rig.send_job_update(0, "c1", state, "");
    assert_eq!(rig.workers[0].accept_job(), "c1");
    rig.send_job_update(0, "c1", state, "");
    let seen = rig.workers[0].next_job_request();
    assert_eq!(
        seen.message.start_line, "DELETE /jobs/c1 HTTP/1.1",
        "a second attempt was sent while one runs"
    );
    // The next attempt may go out only once the worker has confirmed the cancellation.
    rig.process_pending_events();
    assert!(rig.workers[0].has_no_request());
    seen.respond("200 OK");
    assert_eq!(rig.workers[0].accept_job(), "c1");
    rig.send_job_update(0, "c1", "done", DONE);
    assert_eq!(client.read_response().status(), 200);
}

/// The same for a job that must not be repeated: a refusal of the first attempt does not show that the second never ran.
#[test]
fn a_repeated_refusal_starts_no_third_attempt_of_a_job_that_must_not_be_repeated() {
    let rig = Rig::start(1);
    let mut client = rig.post("c1", "order", "");
    assert_eq!(rig.workers[0].accept_job(), "c1");
    rig.send_job_update(0, "c1", "returned", "");
    assert_eq!(rig.workers[0].accept_job(), "c1");
    rig.send_job_update(0, "c1", "returned", "");
    let seen = rig.workers[0].next_job_request();
    assert_eq!(seen.message.start_line, "DELETE /jobs/c1 HTTP/1.1");
    // The second attempt runs on, and its result arrives before the worker has received the cancellation.
    rig.send_job_update(0, "c1", "done", DONE);
    assert_eq!(client.read_response().status(), 200);
    seen.respond("200 OK");
    rig.process_pending_events();
    assert!(rig.workers[0].has_no_request());
}

/// The worker ends a job while a cancellation for it is in flight. Guards against starting the next attempt there at once,
/// which the late cancellation would end.
#[rstest]
#[case::failed("failed")]
#[case::returned("returned")]
fn the_next_attempt_waits_for_the_cancellation_of_the_last_one(#[case] state: &str) {
    let rig = Rig::with_settings(1, &SETTINGS.replace(r#""aim_ms": 500"#, r#""aim_ms": 50"#), None);
    let mut client = rig.post("c1", "quote", "");
    assert_eq!(rig.workers[0].accept_job(), "c1");
    rig.send_job_update(0, "c1", "started", "");
    let cancellation = rig.workers[0].next();
    assert_eq!(cancellation.message.start_line, "DELETE /jobs/c1 HTTP/1.1");
    rig.send_job_update(0, "c1", state, "");
    // Longer than a decision takes, shorter than the time-out of a cancellation.
    let since = Instant::now();
    while since.elapsed() < Duration::from_millis(300) {
        rig.process_pending_events();
        assert!(rig.workers[0].has_no_request(), "the cancellation is still in flight");
        std::thread::sleep(Duration::from_millis(5));
    }
    cancellation.respond("200 OK");
    assert_eq!(rig.workers[0].accept_job(), "c1");
    rig.send_job_update(0, "c1", "done", DONE);
    assert_eq!(client.read_response().status(), 200);
}

fn read_first(stream: &TcpStream) -> String {
    read_message(&mut BufReader::new(stream.try_clone().expect("a socket"))).expect("a request").start_line
}

/// A 202 status accepts the job, whatever happens to the rest of that answer. Guards against treating such an attempt as
/// broken or silent: jobs that must not be repeated were failed, and others were sent again while the first attempt ran.
#[rstest]
fn an_accepted_job_stays_accepted_although_the_answer_breaks_off_or_never_ends(
    #[values("quote", "order")] class: &str,
    #[values("Content-Length: 9\r\n\r\ntak", "Transfer-Encoding: chunked\r\n\r\nzz\r\n")] rest: &str,
    #[values(true, false)] breaks: bool,
) {
    let socket = TcpListener::bind("127.0.0.1:0").expect("a port");
    let listed = vec![("w0".into(), socket.local_addr().expect("an address"))];
    // Nothing else cancels the job during the test.
    let rig =
        Rig::with_worker_addrs(listed, &SETTINGS.replace(r#""aim_ms": 500"#, r#""aim_ms": 5000"#), None);
    let mut client = rig.post("c1", class, "");
    let (mut stream, _) = socket.accept().expect("a connection");
    assert_eq!(read_first(&stream), "POST /api HTTP/1.1");
    stream.write_all(format!("HTTP/1.1 202 Accepted\r\n{rest}").as_bytes()).expect("a connection");
    let kept = (!breaks).then_some(stream);
    // Longer than the time in which a worker must accept a job.
    socket.set_nonblocking(true).expect("a socket");
    let since = Instant::now();
    while since.elapsed() < Duration::from_millis(800) {
        rig.process_pending_events();
        assert!(socket.accept().is_err(), "the job was cancelled or sent a second time");
        std::thread::sleep(Duration::from_millis(5));
    }
    rig.send_job_update_from("w0", "c1", "done", DONE);
    assert_eq!(client.read_response().status(), 200);
    drop(kept);
}

/// A second answer to one request arrives after the next request on the same connection, and looks like the answer to
/// that. Guards against resending a job that must not be repeated and that the worker has accepted.
#[rstest]
#[case::turned_away("503 Service Unavailable\r\nX-Rejected: 1")]
#[case::failed("500 Internal Server Error")]
fn a_repeated_answer_does_not_end_the_next_attempt(#[case] second: &str) {
    let socket = TcpListener::bind("127.0.0.1:0").expect("a port");
    let rig =
        Rig::with_worker_addrs(vec![("w0".into(), socket.local_addr().expect("an address"))], SETTINGS, None);
    let send = |stream: &mut TcpStream, answer: &str| {
        let answer = format!("HTTP/1.1 {answer}\r\nContent-Length: 0\r\n\r\n");
        stream.write_all(answer.as_bytes()).expect("a connection");
    };
    let mut client = rig.post("a0", "order", "");
    let (mut stream, _) = socket.accept().expect("a connection");
    stream.set_read_timeout(Some(common::WAIT_TIMEOUT)).expect("a time-out");
    assert_eq!(read_first(&stream), "POST /api HTTP/1.1");
    // The next request has to follow within some milliseconds; repeated until the machine is fast enough.
    for round in 0..1000 {
        let since = Instant::now();
        send(&mut stream, "202 Accepted");
        rig.send_job_update_from("w0", &format!("a{round}"), "done", DONE);
        assert_eq!(client.read_response().status(), 200);
        client.post(&format!("a{}", round + 1), "order", "");
        assert_eq!(read_first(&stream), "POST /api HTTP/1.1");
        if since.elapsed() < Duration::from_millis(25) {
            break;
        }
    }
    send(&mut stream, second);
    assert!(read_first(&stream).starts_with("DELETE /jobs/a"), "the job was sent a second time");
    send(&mut stream, "200 OK");
    assert!([503, 504].contains(&client.read_response().status()));
}
