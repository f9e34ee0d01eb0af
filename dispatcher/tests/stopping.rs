//! The end of the process while clients and workers go on as if there were none: what was taken is answered whole, and what
//! was not is refused, or closed with not a byte read.

mod common;

use common::{wait_until, Client, Rig, Setup, Worker};
use rstest::rstest;
use std::net::TcpListener;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::Duration;

const DONE: &str = r#","result":"a chart""#;
/// Longer than jobs are taken after SIGTERM.
const SHUT: Duration = Duration::from_millis(900);

/// A client whose connection stands idle after an answer.
fn usual(rig: &Rig) -> Client {
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

/// The program stands still while the time runs out in which jobs are taken, and wakes to the end of that time and to a
/// request at once. Seen: what had come was read, thrown away and never answered.
#[rstest]
#[case::whole("X-Budget-Ms: 1500\r\nContent-Length: 7\r\n\r\npayload", "")]
#[case::half_a_head("X-Budget-Ms: 15", "00\r\nContent-Length: 7\r\n\r\npayload")]
#[case::half_a_body("X-Budget-Ms: 1500\r\nContent-Length: 7\r\n\r\npay", "load")]
fn what_comes_in_the_moment_of_the_end_is_answered(#[case] first: &str, #[case] rest: &str) {
    let mut rig = Rig::start(1);
    let mut client = usual(&rig);
    // A job that is out keeps the process.
    let mut other = rig.post("c1", "quote", "");
    assert_eq!(rig.workers[0].accept_job(), "c1");
    rig.send_job_update(0, "c1", "started", "");
    rig.list(&["draining"]);
    rig.terminate();
    rig.wait_for_log("SIGTERM");
    rig.pause();
    client.write(format!("{}{first}", head("c2")).as_bytes());
    std::thread::sleep(SHUT);
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

/// A request begun before the end of taking is let come whole, and refused.
#[test]
fn a_request_that_is_half_read_at_the_end_is_let_come_and_refused() {
    let mut rig = Rig::start(1);
    let mut client = usual(&rig);
    let mut other = rig.post("c1", "quote", "");
    assert_eq!(rig.workers[0].accept_job(), "c1");
    rig.send_job_update(0, "c1", "started", "");
    rig.terminate();
    rig.wait_for_log("SIGTERM");
    client.write(head("c2").as_bytes());
    rig.process_pending_events();
    std::thread::sleep(SHUT);
    rig.process_pending_events();
    client.write(b"Content-Length: 7\r\n\r\npayload");
    assert_eq!(client.read_response().status(), 503);
    rig.send_job_update(0, "c1", "done", DONE);
    assert_eq!(other.read_response().status(), 200);
    assert!(rig.wait_for_exit().success());
}

/// The same where requests pass to plain workers. Seen: it was looked at before its body came, and sent on when the process
/// was about to end.
#[test]
fn a_request_that_passes_and_is_half_read_at_the_end_is_refused() {
    let operator = r#"{"workers":[{"kind":"web","protocol":"http"}],
        "classes":[{"name":"page","aim_ms":500,"deadline_ms":8000,"effect":"once","kind":"web"}],
        "routes":[{"path":"/web","match":"prefix","class":"page","max_body":1000}]}"#;
    let workers = [Worker::start("w0"), Worker::start("w1")];
    let setup = Setup { operator: Some(operator), kind: Some("web"), ..Setup::default() };
    let listed = workers.iter().map(|w| (w.id.clone(), w.addr)).collect();
    let mut rig = Rig::set_up(listed, common::SETTINGS, setup);
    rig.workers = workers.into();
    // A job that is out keeps the process; the other worker has room.
    let mut first = rig.connect();
    first.send("PUT /web/a", "", "payload");
    let (_, kept) = rig.next();
    let mut client = rig.connect();
    client.write(b"PUT /web/b HTTP/1.1\r\nHost: app.svc\r\nContent-Length: 7\r\n\r\npay");
    rig.process_pending_events();
    rig.terminate();
    rig.wait_for_log("SIGTERM");
    std::thread::sleep(SHUT);
    rig.process_pending_events();
    client.write(b"load");
    rig.process_pending_events();
    assert!(rig.workers.iter().all(|w| w.has_no_request()));
    assert_eq!(client.read_response().status(), 503);
    kept.respond("200 OK");
    assert_eq!(first.read_response().status(), 200);
    assert!(rig.wait_for_exit().success());
}

/// Connections at rest end; a request that crosses that end is not read. Its client can send it elsewhere.
#[test]
fn a_request_that_crosses_the_end_of_its_connection_is_left_unread() {
    let mut rig = Rig::start(1);
    let mut client = usual(&rig);
    let mut other = rig.post("c1", "quote", "");
    assert_eq!(rig.workers[0].accept_job(), "c1");
    rig.send_job_update(0, "c1", "started", "");
    rig.terminate();
    rig.wait_for_log("SIGTERM");
    // It has ended the connection, and waits for this side's end.
    assert!(client.is_closed_by_peer());
    client.post("c2", "quote", "");
    wait_until("the request lies unread, or its connection is gone", || client.unread_bytes() != Some(0));
    rig.process_pending_events();
    assert_ne!(client.unread_bytes(), Some(0), "read, and not answered");
    rig.send_job_update(0, "c1", "done", DONE);
    assert_eq!(other.read_response().status(), 200);
    assert!(rig.wait_for_exit().success());
}

/// Those who stand in the queue of the socket in the moment in which it closes.
#[test]
fn whoever_stands_at_the_door_when_it_closes_is_refused() {
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
    // One that says nothing is not waited for.
    assert!(late.is_closed_by_peer());
    assert!(rig.wait_for_exit().success());
}

/// A socket that others accept from as well: who stands in its queue is theirs.
#[test]
fn whoever_stands_at_a_shared_door_is_left_to_the_next_process() {
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

/// Clients that send on every connection that stays open, again and again, up to the end: each is answered or ended, and
/// the process does not stay for them.
#[test]
fn clients_that_never_stop_do_not_keep_it() {
    let mut rig = Rig::start(1);
    rig.list(&["draining"]);
    let addr = rig.addr;
    let heard = Arc::new(AtomicU32::new(0));
    let going: Vec<_> = (0..8)
        .map(|i| {
            let heard = heard.clone();
            std::thread::spawn(move || {
                let (mut whole, mut n) = (0, 0);
                while let Ok(stream) = std::net::TcpStream::connect(addr) {
                    let mut client = Client::from_stream(stream);
                    loop {
                        n += 1;
                        client.post(&format!("g{i}-{n}"), "quote", "X-Budget-Ms: 100\r\n");
                        match client.try_read_response() {
                            Some(_) => whole += 1,
                            None => break,
                        }
                        heard.fetch_add(u32::from(whole == 1), Ordering::SeqCst);
                    }
                    // What it leaves to the kernel would slow down whoever reads the table of connections.
                    client.reset();
                }
                whole
            })
        })
        .collect();
    wait_until("each has had an answer", || heard.load(Ordering::SeqCst) == 8);
    rig.terminate();
    assert!(rig.wait_for_exit().success());
    let whole: Vec<u32> = going.into_iter().map(|g| g.join().expect("a client")).collect();
    assert!(whole.iter().all(|w| *w > 0), "{whole:?}");
}

/// Said twice, and before anything was asked of it.
#[test]
fn sigterm_twice_is_one_and_the_last_word_of_a_worker_is_heard() {
    let mut rig = Rig::start(1);
    let mut client = rig.post("c1", "quote", "");
    assert_eq!(rig.workers[0].accept_job(), "c1");
    rig.terminate();
    rig.terminate();
    rig.wait_for_log("SIGTERM");
    std::thread::sleep(SHUT);
    rig.send_job_update(0, "c1", "done", DONE);
    assert_eq!(client.read_response().status(), 200);
    assert!(rig.wait_for_exit().success());
}
