//! What a process replacement relies on: the admin console at `admin_addr` (its replies, and that slow callers delay
//! nobody) and the client listener inherited through `GW_FD`.

mod common;

use common::{Rig, Setup, SETTINGS};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// The program with two workers and its admin console at a port of its own.
fn rig() -> (Rig, SocketAddr) {
    let console = common::unused_address();
    // A unique name: cordons are passed on to the next process of the same name.
    static NEXT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let n = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let more = format!(r#""admin_addr": "{console}", "name": "console{}x{n}","#, std::process::id());
    let listed = (0..2).map(|i| common::Worker::start(&format!("w{i}"))).collect::<Vec<_>>();
    let names = listed.iter().map(|w| (w.id.clone(), w.addr)).collect();
    let mut rig = Rig::set_up(names, SETTINGS, Setup { extra_config: more, ..Setup::default() });
    rig.workers = listed;
    (rig, console)
}

/// Connects, with retries: the console opens just after the client listener.
fn connect(console: SocketAddr) -> TcpStream {
    for _ in 0..500 {
        if let Ok(stream) = TcpStream::connect(console) {
            return stream;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    panic!("the admin console does not open");
}

/// Sends one request and reads the reply up to the end of the stream.
fn ask(console: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = connect(console);
    stream.set_read_timeout(Some(Duration::from_secs(10))).expect("a timeout");
    stream.write_all(bytes).expect("written");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    answer
}

fn served(rig: &Rig, id: &str) -> usize {
    rig.serve_job(id, "quote")
}

#[test]
fn a_cordoned_worker_gets_nothing_new_until_it_is_uncordoned() {
    let (rig, console) = rig();
    assert!(ask(console, b"health\n").starts_with("OK"));
    let first = served(&rig, "c0");
    let name = format!("w{first}");
    assert!(ask(console, format!("cordon {name}\n").as_bytes()).starts_with("OK"));
    // A repeated cordon succeeds as well.
    assert!(ask(console, format!("cordon {name}\r\n").as_bytes()).starts_with("OK"));
    for i in 1..8 {
        assert_eq!(served(&rig, &format!("c{i}")), 1 - first, "a job went to the cordoned worker");
    }
    // A list in which the worker is up does not remove the cordon.
    rig.list(&["up", "up"]);
    assert_eq!(served(&rig, "c8"), 1 - first);
    assert!(ask(console, format!("uncordon {name}\n").as_bytes()).starts_with("OK"));
    assert!(ask(console, format!("uncordon {name}\n").as_bytes()).starts_with("OK"));
    // Two jobs at once: while one is in flight at the other worker, the second goes to the uncordoned one.
    let (mut one, mut two) = (rig.post("d1", "quote", ""), rig.post("d2", "quote", ""));
    let mut taken = Vec::new();
    for _ in 0..2 {
        let (worker, seen) = rig.next();
        taken.push((worker, seen.reference().to_owned()));
        seen.respond("202 Accepted");
    }
    assert!(taken.iter().any(|(worker, _)| *worker == first), "the uncordoned worker got nothing: {taken:?}");
    for (worker, reference) in &taken {
        rig.send_job_update(*worker, reference, "done", r#","result":"a chart""#);
    }
    assert_eq!((one.read_response().status(), two.read_response().status()), (200, 200));
}

#[test]
fn invalid_lines_and_unknown_ids_get_err_with_a_reason() {
    let (_rig, console) = rig();
    let long = [vec![b'x'; 300], b"\n".to_vec()].concat();
    for line in [&b"\n"[..], b"dance\n", b"cordon\n", b"cordon a b\n", b"health now\n", b"\xff\xfe\n", &long]
    {
        let answer = ask(console, line);
        assert!(answer.starts_with("ERR ") && answer.len() > 5, "{line:?}: {answer:?}");
    }
    assert!(ask(console, b"cordon never-listed\n").starts_with("ERR"));
    assert!(ask(console, b"uncordon never-listed\n").starts_with("ERR"));
}

#[test]
fn callers_that_never_finish_their_line_delay_nobody_and_are_closed() {
    let (_rig, console) = rig();
    let idle: Vec<TcpStream> = (0..20)
        .map(|_| {
            let mut stream = connect(console);
            stream.write_all(b"heal").expect("written");
            stream
        })
        .collect();
    for _ in 0..5 {
        assert!(ask(console, b"health\n").starts_with("OK"));
    }
    for mut stream in idle {
        stream.set_read_timeout(Some(Duration::from_secs(10))).expect("a timeout");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("closed, not left open");
        assert!(answer.starts_with("ERR"), "{answer:?}");
    }
}

#[test]
fn with_gw_fd_the_inherited_socket_is_served_and_its_address_is_not_bound_again() {
    let socket = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = socket.local_addr().expect("an address");
    let listed = (0..2).map(|i| common::Worker::start(&format!("w{i}"))).collect::<Vec<_>>();
    let names = listed.iter().map(|w| (w.id.clone(), w.addr)).collect();
    let mut rig = Rig::set_up(names, SETTINGS, Setup { inherit: Some(socket), ..Setup::default() });
    rig.workers = listed;
    assert_eq!(rig.addr, at, "it listens where it was handed the socket");
    for i in 0..3 {
        served(&rig, &format!("c{i}"));
    }
}
