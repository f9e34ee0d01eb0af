//! Clients that send malformed, oversized, incomplete or no requests. Each must get an error or a close within 3 s, while
//! well-behaved clients are served.

mod common;

use common::{Client, Rig};
use rstest::rstest;
use std::time::{Duration, Instant};

const DONE: &str = r#","result":"a chart""#;
const ERROR_WITHIN: Duration = Duration::from_secs(3);

fn head(more: &str) -> String {
    let own = "X-Call-Id: bad\r\nX-Call-Class: quote\r\nX-Caller: acme\r\n";
    format!("POST /api HTTP/1.1\r\nHost: app.svc\r\n{own}{more}")
}

/// Serves one job of a well-behaved client.
fn serve(rig: &Rig, client: &mut Client, id: &str) {
    client.post(id, "quote", "");
    assert_eq!(rig.workers[0].accept_job(), id);
    rig.send_job_update(0, id, "done", DONE);
    assert_eq!(client.read_response().status(), 200);
}

/// Each request is followed by bytes that a parser which frames the first one differently would take for a second request
/// (request smuggling).
#[rstest]
#[case::both_lengths("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400)]
#[case::both_lengths_in_reverse_order(
    "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
    400
)]
#[case::several_lengths("Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello", 400)]
#[case::the_same_length_twice("Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello", 400)]
#[case::two_lengths_in_one_field("Content-Length: 5, 5\r\n\r\nhello", 400)]
#[case::signed("Content-Length: +5\r\n\r\nhello", 400)]
#[case::negative("Content-Length: -5\r\n\r\nhello", 400)]
#[case::huge("Content-Length: 99999999999999999999\r\n\r\nhello", 400)]
#[case::large("Content-Length: 60000000\r\n\r\nhello", 413)]
#[case::an_invalid_chunk_size("Transfer-Encoding: chunked\r\n\r\nzz\r\n\r\n", 400)]
#[case::an_unknown_coding("Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400)]
#[case::a_space_before_the_colon("Content-Length : 5\r\n\r\nhello", 400)]
fn a_malformed_request_gets_an_error_and_a_close(#[case] rest: &str, #[case] status: u16) {
    let mut rig = Rig::start(1);
    let mut client = rig.connect();
    client.write(head(rest).as_bytes());
    client.write(head("Content-Length: 0\r\n\r\n").replace("bad", "hidden").as_bytes());
    assert_eq!(client.read_response().status(), status);
    assert!(client.is_closed_by_peer());
    assert!(rig.workers[0].has_no_request() && rig.is_running());
}

/// Closing a connection with unread bytes resets it, and the client may lose the answer.
#[rstest]
#[case::an_endless_head("X-More: ", 431)]
#[case::an_endless_body("Content-Length: 60000000\r\n\r\n", 413)]
#[case::endless_chunks("Transfer-Encoding: chunked\r\n\r\nfffffff\r\n", 413)]
#[case::no_class_and_a_body("X-Call-Class: unheard\r\nContent-Length: 60000\r\n\r\n", 400)]
fn an_early_answer_reaches_a_client_that_goes_on_sending(#[case] rest: &str, #[case] status: u16) {
    let rig = Rig::start(1);
    let mut client = rig.connect();
    let text = match status {
        400 => head(rest).replace("X-Call-Class: quote\r\n", ""),
        _ => head(rest),
    };
    client.write(text.as_bytes());
    // Some of these writes may fail because the connection is closed.
    (0..64).for_each(|_| client.write(&[b'x'; 16 << 10]));
    assert_eq!(client.read_response().status(), status);
    serve(&rig, &mut rig.connect(), "c1");
}

/// Bytes after a request in progress must neither end that request nor be forwarded.
#[test]
fn garbage_after_a_request_is_answered_after_it() {
    let rig = Rig::start(1);
    let mut client = rig.post("c1", "quote", "");
    client.write(b"no http at all\r\n\r\n");
    assert_eq!(rig.workers[0].accept_job(), "c1");
    rig.send_job_update(0, "c1", "done", DONE);
    assert_eq!(client.read_response().status(), 200);
    assert_eq!(client.read_response().status(), 400);
    assert!(client.is_closed_by_peer());
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let rig = Rig::start(1);
    let mut client = rig.connect();
    (0..40).for_each(|_| client.post("c/1", "quote", ""));
    client.post("c2", "quote", "");
    assert!((0..40).all(|_| client.read_response().status() == 400));
    assert_eq!(rig.workers[0].accept_job(), "c2");
    rig.send_job_update(0, "c2", "done", DONE);
    assert_eq!(client.read_response().status(), 200);
}

/// Guards against closing the connection, with the next request unanswered, when a request is refused by its head and its
/// body arrives a moment later.
#[rstest]
#[case::by_its_id(&head("").replace("X-Call-Class: quote\r\n", ""), 400)]
#[case::by_its_path(&head("").replace("/api", "/nowhere"), 404)]
#[case::by_its_method(&head("").replace("POST", "PUT"), 405)]
fn a_body_that_arrives_after_a_refusal_does_not_end_the_connection(#[case] head: &str, #[case] status: u16) {
    let rig = Rig::start(1);
    let mut client = rig.connect();
    client.write(format!("{head}Content-Length: 7\r\n\r\n").as_bytes());
    // The server is idle, so it has processed the head by then.
    std::thread::sleep(Duration::from_millis(30));
    client.write(b"payload");
    client.post("c2", "quote", "");
    assert_eq!(client.read_response().status(), status);
    assert_eq!(rig.workers[0].accept_job(), "c2");
    rig.send_job_update(0, "c2", "done", DONE);
    assert_eq!(client.read_response().status(), 200);
}

#[rstest]
#[case::nothing("", None)]
#[case::half_a_head("POST /api HTTP/1.1\r\nHost: a\r\nX-Call", Some(408))]
#[case::half_a_body(&head("Content-Length: 5\r\n\r\nhe"), Some(408))]
#[case::half_a_call("POST /_jobs/news HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhe", Some(408))]
fn incomplete_requests_time_out(#[case] part: &str, #[case] status: Option<u16>) {
    let rig = Rig::start(1);
    let start = Instant::now();
    let mut client = rig.connect();
    client.write(part.as_bytes());
    if let Some(status) = status {
        assert_eq!(client.read_response().status(), status);
    }
    assert!(client.is_closed_by_peer());
    assert!(start.elapsed() < ERROR_WITHIN, "{:?}", start.elapsed());
}

/// Guards against idle connections, silent ones or ones kept open after one request, taking the whole connection limit, so
/// that nearly all other requests were refused.
#[test]
fn idle_connections_do_not_keep_other_clients_out() {
    let rig = Rig::start(1);
    let mut regular = rig.connect();
    serve(&rig, &mut regular, "c0");
    let mut working = rig.post("c1", "quote", "");
    assert_eq!(rig.workers[0].accept_job(), "c1");
    rig.send_job_update(0, "c1", "started", "");
    let _idle: Vec<_> = (0..130)
        .map(|_| {
            let mut client = rig.connect();
            client.wait_until_up();
            client
        })
        .collect();
    let _silent: Vec<_> = (0..130).map(|_| rig.connect()).collect();
    serve(&rig, &mut rig.connect(), "c2");
    // A client that waits for an answer keeps its connection.
    rig.send_job_update(0, "c1", "done", DONE);
    assert_eq!(working.read_response().status(), 200);
}
