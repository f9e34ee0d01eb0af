//! Clients that have gone by the moment in which an attempt for them would begin: none begins. The crossing is forced:
//! the program stands still while the client leaves and while that comes which lets the attempt go out, in both orders.

mod common;

use common::{wait_until, BlockedListener, Client, Rig, Setup, Worker, SETTINGS, WAIT_TIMEOUT};
use rstest::rstest;
use std::io::{BufRead, BufReader};
use std::net::TcpStream;

const DONE: &str = r#","result":"a chart""#;
const OPERATOR: &str = r#"{"workers":[{"kind":"web","protocol":"http"}],
    "classes":[{"name":"page","aim_ms":500,"deadline_ms":8000,"effect":"once","kind":"web"}],
    "routes":[{"path":"/web","match":"prefix","class":"page","stream":true,"max_body":10000000}]}"#;

/// How a client leaves.
#[derive(Clone, Copy, Debug)]
enum How {
    Closed,
    HalfClosed,
    Reset,
}

/// Which of the two comes first, while the program stands still.
#[derive(Clone, Copy, Debug, PartialEq)]
enum First {
    End,
    Chance,
}

/// Leaves, and waits until the kernel knows. What is left of the client must be kept.
fn leave(client: Client, how: How) -> Option<Client> {
    let ends = client.addresses();
    let rest = match how {
        How::Closed => {
            drop(client);
            None
        }
        How::Reset => {
            client.reset();
            None
        }
        How::HalfClosed => {
            client.half_close();
            Some(client)
        }
    };
    wait_until("the end is said", || !common::is_established(ends));
    rest
}

/// Has the client leave and the chance come, while the program stands still, in this order.
fn cross(rig: &Rig, client: Client, how: How, first: First, chance: impl FnOnce()) -> Option<Client> {
    rig.pause();
    let rest = if first == First::End {
        let rest = leave(client, how);
        chance();
        rest
    } else {
        chance();
        leave(client, how)
    };
    rig.resume();
    rig.process_pending_events();
    rest
}

/// A worker's call, written and not answered yet.
fn call(client: &mut Client, worker: &Worker, reference: &str, state: &str) {
    let body = format!(r#"{{"id":"{reference}","from":"{}","state":"{state}"}}"#, worker.id);
    client.send("POST /_jobs/news", "", &body);
    let mut seen = 0;
    // What was written lies in the program's kernel.
    wait_until("the call lies there", || {
        seen += 1;
        client.unread_bytes().is_some_and(|unread| unread > body.len()) || seen > 200
    });
}

/// Opens a connection that the program has accepted and answered on.
fn connection(rig: &Rig) -> Client {
    let mut client = rig.connect();
    client.wait_until_up();
    client
}

/// Serves a job, so that a connection to the worker is kept: an attempt on it begins without any wait.
fn warm(rig: &Rig) {
    for (i, _) in rig.workers.iter().enumerate() {
        let mut client = rig.post(&format!("warm{i}"), "quote", "");
        let (worker, seen) = rig.next();
        seen.respond("202 Accepted");
        rig.send_job_update(worker, &format!("warm{i}"), "done", DONE);
        assert_eq!(client.read_response().status(), 200);
    }
}

/// The worker returns the job in the moment in which its client leaves: there is no further attempt.
#[rstest]
fn no_further_attempt_begins_for_a_client_that_leaves_as_its_job_comes_back(
    #[values("", "\r\n", "no http at all")] behind: &str,
    #[values(How::Closed, How::HalfClosed, How::Reset)] how: How,
    #[values(First::End, First::Chance)] first: First,
) {
    let rig = Rig::start(2);
    warm(&rig);
    let mut calls = connection(&rig);
    let mut client = rig.post("c1", "quote", "");
    let (worker, seen) = rig.next();
    seen.respond("202 Accepted");
    rig.process_pending_events();
    client.write(behind.as_bytes());
    rig.process_pending_events();
    let chance = || call(&mut calls, &rig.workers[worker], "c1", "returned");
    let _rest = cross(&rig, client, how, first, chance);
    assert!(rig.workers.iter().all(|w| !w.has_received_job("c1")), "sent on behind its client's end");
    assert_ne!(rig.serve_job("c2", "quote"), usize::MAX);
}

/// A worker comes up in the moment in which the client of a waiting job leaves: it gets no first attempt.
#[rstest]
fn no_first_attempt_begins_for_a_client_that_leaves_as_a_worker_comes_up(
    #[values("", "\r\n", "no http at all")] behind: &str,
    #[values(How::Closed, How::HalfClosed, How::Reset)] how: How,
    #[values(First::End, First::Chance)] first: First,
) {
    let rig = Rig::start(1);
    warm(&rig);
    rig.list(&["draining"]);
    let mut client = rig.post("c1", "quote", "");
    rig.process_pending_events();
    client.write(behind.as_bytes());
    rig.process_pending_events();
    let _rest = cross(&rig, client, how, first, || rig.list_without_waiting(&["up"]));
    rig.list(&["up"]);
    let mut next = rig.post("c2", "quote", "");
    let seen = rig.workers[0].next_job_request();
    assert_eq!((&*seen.message.start_line, seen.reference()), ("POST /api HTTP/1.1", "c2"));
    seen.respond("202 Accepted");
    rig.send_job_update(0, "c2", "done", DONE);
    assert_eq!(next.read_response().status(), 200);
}

/// Fifty clients wait while all workers are full, leave, and then a worker has room: none of them is sent on.
#[test]
fn of_a_burst_of_leavers_none_is_sent_on_when_workers_have_room() {
    // Fifty clients may take long to leave, on a machine with much to do: who stays has the time.
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
    let hows = [How::Closed, How::Reset, How::HalfClosed];
    let _rests: Vec<_> = clients.into_iter().enumerate().map(|(i, c)| leave(c, hows[i % 3])).collect();
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

/// The worker's late connection comes up in the moment in which the client leaves: nothing is written on it.
#[rstest]
fn nothing_is_written_on_a_late_connection_that_comes_up_as_the_client_leaves(
    #[values("", "\r\n", "no http at all")] behind: &str,
    #[values(How::Closed, How::HalfClosed, How::Reset)] how: How,
    #[values(First::End, First::Chance)] first: First,
) {
    let mut closed = BlockedListener::start();
    let settings = SETTINGS.replace(r#""connect_timeout_ms": 1000"#, r#""connect_timeout_ms": 6000"#);
    let rig = Rig::with_worker_addrs(vec![("w0".into(), closed.addr)], &settings, None);
    let mut client = rig.post("c1", "order", "");
    wait_until("the worker is connected to", || closed.pending_connections() > 0);
    client.write(behind.as_bytes());
    rig.process_pending_events();
    let mut stream = None;
    let _rest = cross(&rig, client, how, first, || stream = Some(closed.accept_next()));
    assert_eq!(first_line(stream.expect("a connection")), None);
}

/// The same where bodies pass: whole ones, and one that still comes.
#[rstest]
fn no_passing_request_goes_out_on_a_late_connection_that_comes_up_as_the_client_leaves(
    #[values(0, 7)] missing: usize,
    #[values(How::Closed, How::HalfClosed, How::Reset)] how: How,
    #[values(First::End, First::Chance)] first: First,
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
    let _rest = cross(&rig, client, how, first, || stream = Some(closed.accept_next()));
    assert_eq!(first_line(stream.expect("a connection")), None);
}

/// The first line that comes on a connection; nothing where it ends before, or says nothing until the program has
/// taken a turn behind it.
fn first_line(stream: TcpStream) -> Option<String> {
    stream.set_read_timeout(Some(WAIT_TIMEOUT / 40)).expect("a time-out");
    let mut line = String::new();
    let count = BufReader::new(stream).read_line(&mut line).unwrap_or(0);
    (count > 0).then(|| line.trim_end().to_owned())
}

fn front() -> String {
    r#"{"workers": [{"kind": "q"}], "beanstalkd": {"listen": "127.0.0.1:0", "tubes": [
     {"tube": "quotes", "class": "quote", "tenant": "acme", "answers": "done"}]}}"#
        .to_owned()
}

fn put(rig: &Rig) -> (Client, u64) {
    let mut client = Client::new(rig.beanstalkd_addr.expect("the front is on"));
    assert_eq!(client.command("use quotes"), "USING quotes");
    let reply = client.command("put 0 0 60 7\r\npayload");
    let id = reply.strip_prefix("INSERTED ").and_then(|id| id.parse().ok());
    (client, id.unwrap_or_else(|| panic!("{reply}")))
}

/// A client of the beanstalkd front takes its job back while it waits: there is no first attempt.
#[test]
fn a_job_deleted_while_it_waits_is_not_sent_on() {
    let rig = Rig::with_settings(1, SETTINGS, Some(&front()));
    warm(&rig);
    rig.list(&["draining"]);
    let (mut client, id) = put(&rig);
    rig.process_pending_events();
    assert_eq!(client.command(&format!("delete {id}")), "DELETED");
    rig.list(&["up"]);
    rig.process_pending_events();
    assert!(rig.workers[0].request_lines().iter().all(|asked| !asked.starts_with("POST ")));
}

/// The same between two attempts, its delete and the worker's word on their way at once. Whatever comes first, no
/// attempt begins once the delete is answered.
#[test]
fn a_job_deleted_as_it_comes_back_gets_no_further_attempt() {
    let rig = Rig::with_settings(1, SETTINGS, Some(&front()));
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

/// The same while the worker is connected to.
#[test]
fn a_job_deleted_while_the_worker_is_connected_to_is_not_sent_on() {
    let mut closed = BlockedListener::start();
    let settings = SETTINGS.replace(r#""connect_timeout_ms": 1000"#, r#""connect_timeout_ms": 6000"#);
    let rig = Rig::with_worker_addrs(vec![("w0".into(), closed.addr)], &settings, Some(&front()));
    let (mut client, id) = put(&rig);
    wait_until("the worker is connected to", || closed.pending_connections() > 0);
    assert_eq!(client.command(&format!("delete {id}")), "DELETED");
    wait_until("the connection is given up", || closed.pending_connections() == 0);
    // Whatever comes next is of the next job.
    assert!(client.command("put 0 0 60 4\r\nnext").starts_with("INSERTED "));
    let message = common::read_message(&mut BufReader::new(closed.accept_next())).expect("a request");
    assert_eq!((&*message.start_line, &*message.body), ("POST /api HTTP/1.1", "next"));
}
