//! A dispatcher whose calls discovery refuses, and a peer that discovery answers: the peer's reports show whether discovery
//! is overloaded or down.

mod common;

use common::admin::{call, operator};
use common::discovery::{Behaviour, Discovery};
use common::serving::ServingWorkers;
use common::{Client, Rig, Setup, SETTINGS, WAIT_TIMEOUT};
use serde_json::{json, Value};
use std::net::{SocketAddr, UdpSocket};
use std::thread;
use std::time::{Duration, Instant};

/// A change counts as known this long after discovery had it and was reachable; jobs may still be sent for the drain grace
/// period after that.
const KNOWN_AFTER: Duration = Duration::from_secs(6);
const DRAIN_GRACE: Duration = Duration::from_millis(750);
/// How long a call waits in discovery's queue before it is refused.
const HELD: Duration = Duration::from_millis(1200);
/// Interval between two reports of the peer.
const REPORT_EVERY: Duration = Duration::from_millis(400);
/// The first byte of a report of discovery's answer; the version follows, most significant byte first.
const REPORT: u8 = 0x30;
/// The workers' names, and their positions.
const NAMES: [&str; 2] = ["s-leaving", "s-staying"];
const LEAVING: usize = 0;
const STAYING: usize = 1;

/// A dispatcher of a tier of sixteen, and the peer that it exchanges reports with.
struct Pair {
    rig: Rig,
    discovery: Discovery,
    workers: ServingWorkers,
    peer: UdpSocket,
    /// The dispatcher's address for datagrams of the peer.
    at: SocketAddr,
}

impl Pair {
    /// Starts both, with discovery up at version 1, and serves one job.
    fn start() -> Pair {
        let workers = ServingWorkers::start(&NAMES);
        let entries = [LEAVING, STAYING].map(|position| workers.entry(position, "up"));
        let discovery = Discovery::start(&entries, Behaviour::Up);
        let peer = UdpSocket::bind("127.0.0.1:0").expect("a port");
        peer.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a time");
        let unused =
            UdpSocket::bind("127.0.0.1:0").and_then(|socket| socket.local_addr()).expect("an address");
        let settings = SETTINGS
            .replace(r#""instances": 1"#, r#""instances": 16, "self_index": 0"#)
            .replace(r#""cancel": true"#, r#""cancel": true, "peers": true"#);
        let peers = [unused, peer.local_addr().expect("an address")];
        let more = format!(r#""peer_listen": "127.0.0.1:0", "peers": ["{}", "{}"], "#, peers[0], peers[1]);
        let operator = operator("");
        let setup = Setup {
            extra_config: more,
            discovery: Some(discovery.addr),
            operator: Some(&operator),
            ..Setup::default()
        };
        let rig = Rig::set_up(workers.listed.clone(), &settings, setup);
        workers.add_process(rig.addr);
        assert_eq!(rig.post("0-before", "quote", "").read_response().status(), 200);
        let (_, at) = peer.recv_from(&mut [0; 512]).expect("it reports its jobs");
        Pair { rig, discovery, workers, peer, at }
    }

    /// Has discovery refuse all calls from now on, and removes the first worker.
    fn refuse_calls(&self) {
        self.discovery.set_behaviour(Behaviour::Refusing(HELD));
        let entries = [self.workers.entry(LEAVING, "removed"), self.workers.entry(STAYING, "up")];
        assert_eq!(self.discovery.list(&entries), 2);
    }

    fn report(&self, version: u64) {
        let mut bytes = vec![REPORT];
        bytes.extend(version.to_be_bytes());
        self.peer.send_to(&bytes, self.at).expect("sent");
    }

    /// A field of the worker list's state as `GET /flows` shows it.
    fn shown(&self, key: &str) -> Value {
        let (status, shown) = call(&self.rig, "GET /flows", "");
        assert_eq!(status, 200);
        shown["list"][key].clone()
    }

    /// Sends reports of this version from the peer for the duration.
    fn send_reports_for(&self, version: u64, span: Duration) {
        let until = Instant::now() + span;
        while Instant::now() < until {
            self.report(version);
            thread::sleep(REPORT_EVERY);
        }
    }

    /// Asserts that the job is sent to no worker before discovery answers, and to the remaining worker then.
    fn sends_nothing_until_answered(&self, mut client: Client, late: Instant) {
        let received = || NAMES.map(|name| self.workers.since(name, late).len());
        thread::sleep(Duration::from_millis(500));
        assert_eq!(received(), [0, 0]);
        self.discovery.set_behaviour(Behaviour::Up);
        assert_eq!(client.read_response().status(), 200);
        assert_eq!(received(), [0, 1]);
    }

    /// The version in the next report that the peer receives.
    fn next_report(&self) -> u64 {
        let mut bytes = [0; 512];
        loop {
            let (size, _) = self.peer.recv_from(&mut bytes).expect("a report");
            if let (REPORT, Ok(version)) = (bytes[0], bytes[1..size].try_into()) {
                return u64::from_be_bytes(version);
            }
        }
    }
}

/// Discovery has given the peer a version that this dispatcher lacks. So discovery is up, and a change counts as known in time
/// although it refuses each call of this dispatcher.
#[test]
fn a_list_is_not_used_when_a_peer_has_a_newer_one() {
    let pair = Pair::start();
    pair.refuse_calls();
    pair.send_reports_for(2, KNOWN_AFTER + DRAIN_GRACE);
    assert_eq!((pair.shown("state"), pair.shown("shortened_by_peers")), (json!("expired"), json!(1)));
    let late = Instant::now();
    let client = pair.rig.post("0-late", "quote", "");
    pair.sends_nothing_until_answered(client, late);
}

/// The peer was answered before the outage, with the version that this dispatcher has: the list stays in use for as long as the
/// outage lasts.
#[test]
fn a_list_is_used_in_an_outage_after_a_report() {
    let pair = Pair::start();
    pair.report(1);
    pair.refuse_calls();
    thread::sleep(KNOWN_AFTER + DRAIN_GRACE * 2);
    assert_eq!((pair.shown("state"), pair.shown("peer_reports")), (json!("turned_away"), json!(1)));
    assert_eq!(pair.rig.post("0-late", "quote", "").read_response().status(), 200);
}

/// A dispatcher that is answered after refusals reports the answer.
#[test]
fn an_answer_to_a_queued_call_is_reported() {
    let pair = Pair::start();
    pair.refuse_calls();
    thread::sleep(HELD);
    pair.discovery.set_behaviour(Behaviour::Up);
    assert_eq!(pair.next_report(), 2);
}

/// Malformed reports, and reports from senders outside the tier, are ignored.
#[test]
fn reports_of_unknown_senders_and_truncated_reports_are_ignored() {
    let pair = Pair::start();
    pair.refuse_calls();
    let stranger = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let until = Instant::now() + KNOWN_AFTER + DRAIN_GRACE * 2;
    while Instant::now() < until {
        let _ = stranger.send_to(&[REPORT, 0, 0, 0, 0, 0, 0, 0, 9], pair.at).expect("sent");
        let _ = pair.peer.send_to(&[REPORT, 0, 9], pair.at).expect("sent");
        thread::sleep(REPORT_EVERY);
    }
    assert_eq!(pair.rig.post("0-late", "quote", "").read_response().status(), 200);
}
