//! What workers say, when it crosses what the program does: words said again, words that meet a call that gives the job
//! up, answers that break, never end or are said twice. Never two attempts out; and what was taken is waited for.

mod common;

use common::{read_message, Rig, SETTINGS};
use rstest::rstest;
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

const DONE: &str = r#","result":"a chart""#;

/// A worker repeats a call until it is answered, so an attempt's last word may come once more while the next attempt runs
/// there. Seen: it ended that one too, and a third went out beside it.
#[rstest]
#[case::failed("failed")]
#[case::returned("returned")]
#[case::lost("lost")]
fn a_word_said_again_is_not_the_next_attempts(#[case] word: &str) {
    let rig = Rig::start(1);
    let mut client = rig.post("c1", "quote", "");
    assert_eq!(rig.workers[0].take(), "c1");
    rig.news(0, "c1", word, "");
    assert_eq!(rig.workers[0].take(), "c1");
    rig.news(0, "c1", word, "");
    let seen = rig.workers[0].next_of_job();
    assert_eq!(seen.message.first, "DELETE /jobs/c1 HTTP/1.1", "a second copy beside the one that runs");
    // Only once the worker knows may the next one go out.
    rig.turn();
    assert!(rig.workers[0].has_none());
    seen.answer("200 OK");
    assert_eq!(rig.workers[0].take(), "c1");
    rig.news(0, "c1", "done", DONE);
    assert_eq!(client.answer().status(), 200);
}

/// The same of a job that must not be repeated: that the first attempt never ran says nothing of the second.
#[test]
fn a_refusal_said_again_does_not_make_a_third_attempt_of_what_must_not_be_repeated() {
    let rig = Rig::start(1);
    let mut client = rig.post("c1", "order", "");
    assert_eq!(rig.workers[0].take(), "c1");
    rig.news(0, "c1", "returned", "");
    assert_eq!(rig.workers[0].take(), "c1");
    rig.news(0, "c1", "returned", "");
    let seen = rig.workers[0].next_of_job();
    assert_eq!(seen.message.first, "DELETE /jobs/c1 HTTP/1.1");
    // The second runs on, and its result comes before the worker knows.
    rig.news(0, "c1", "done", DONE);
    assert_eq!(client.answer().status(), 200);
    seen.answer("200 OK");
    rig.turn();
    assert!(rig.workers[0].has_none());
}

/// The worker ends a job while the call that gives it up is on its way. Seen: the next attempt went there at once, and that
/// call, come late, ended it.
#[rstest]
#[case::failed("failed")]
#[case::returned("returned")]
fn the_next_attempt_waits_for_the_call_that_gives_the_last_one_up(#[case] word: &str) {
    let rig = Rig::with(1, &SETTINGS.replace(r#""aim_ms": 500"#, r#""aim_ms": 50"#), None);
    let mut client = rig.post("c1", "quote", "");
    assert_eq!(rig.workers[0].take(), "c1");
    rig.news(0, "c1", "started", "");
    let giving_up = rig.workers[0].next();
    assert_eq!(giving_up.message.first, "DELETE /jobs/c1 HTTP/1.1");
    rig.news(0, "c1", word, "");
    // Longer than it takes to decide; shorter than such a call may take.
    let since = Instant::now();
    while since.elapsed() < Duration::from_millis(300) {
        rig.turn();
        assert!(rig.workers[0].has_none(), "the call is still on its way");
        std::thread::sleep(Duration::from_millis(5));
    }
    giving_up.answer("200 OK");
    assert_eq!(rig.workers[0].take(), "c1");
    rig.news(0, "c1", "done", DONE);
    assert_eq!(client.answer().status(), 200);
}

fn read_first(stream: &TcpStream) -> String {
    read_message(&mut BufReader::new(stream.try_clone().expect("a socket"))).expect("a request").first
}

/// Taken is taken, whatever becomes of the rest of that answer. Seen: it counted as broken, or as silent; what must not be
/// repeated was failed, and anything else sent a second time while the first ran.
#[rstest]
fn what_was_taken_stays_taken_though_the_answer_breaks_off_or_never_ends(
    #[values("quote", "order")] class: &str,
    #[values("Content-Length: 9\r\n\r\ntak", "Transfer-Encoding: chunked\r\n\r\nzz\r\n")] rest: &str,
    #[values(true, false)] breaks: bool,
) {
    let socket = TcpListener::bind("127.0.0.1:0").expect("a port");
    let listed = vec![("w0".into(), socket.local_addr().expect("an address"))];
    // Nothing else gives the job up within the test.
    let rig = Rig::of(listed, &SETTINGS.replace(r#""aim_ms": 500"#, r#""aim_ms": 5000"#), None);
    let mut client = rig.post("c1", class, "");
    let (mut stream, _) = socket.accept().expect("a connection");
    assert_eq!(read_first(&stream), "POST /api HTTP/1.1");
    stream.write_all(format!("HTTP/1.1 202 Accepted\r\n{rest}").as_bytes()).expect("a connection");
    let kept = (!breaks).then_some(stream);
    // Longer than a worker may take to say that it has taken a job.
    socket.set_nonblocking(true).expect("a socket");
    let since = Instant::now();
    while since.elapsed() < Duration::from_millis(800) {
        rig.turn();
        assert!(socket.accept().is_err(), "given up, or sent a second time");
        std::thread::sleep(Duration::from_millis(5));
    }
    rig.tell("w0", "c1", "done", DONE);
    assert_eq!(client.answer().status(), 200);
    drop(kept);
}

/// A second answer to one request comes behind the next one on the same connection, and looks like the answer to that. Seen:
/// the worker had taken it, and it went out a second time, though it must not be repeated.
#[rstest]
#[case::turned_away("503 Service Unavailable\r\nX-Rejected: 1")]
#[case::failed("500 Internal Server Error")]
fn an_answer_said_twice_does_not_end_the_next_attempt(#[case] twice: &str) {
    let socket = TcpListener::bind("127.0.0.1:0").expect("a port");
    let rig = Rig::of(vec![("w0".into(), socket.local_addr().expect("an address"))], SETTINGS, None);
    let say = |stream: &mut TcpStream, answer: &str| {
        let answer = format!("HTTP/1.1 {answer}\r\nContent-Length: 0\r\n\r\n");
        stream.write_all(answer.as_bytes()).expect("a connection");
    };
    let mut client = rig.post("a0", "order", "");
    let (mut stream, _) = socket.accept().expect("a connection");
    stream.set_read_timeout(Some(common::PATIENCE)).expect("a time-out");
    assert_eq!(read_first(&stream), "POST /api HTTP/1.1");
    // The next request has to follow within some milliseconds: tried until a slow machine lets it.
    for round in 0..1000 {
        let since = Instant::now();
        say(&mut stream, "202 Accepted");
        rig.tell("w0", &format!("a{round}"), "done", DONE);
        assert_eq!(client.answer().status(), 200);
        client.post(&format!("a{}", round + 1), "order", "");
        assert_eq!(read_first(&stream), "POST /api HTTP/1.1");
        if since.elapsed() < Duration::from_millis(25) {
            break;
        }
    }
    say(&mut stream, twice);
    assert!(read_first(&stream).starts_with("DELETE /jobs/a"), "sent a second time");
    say(&mut stream, "200 OK");
    assert!([503, 504].contains(&client.answer().status()));
}
