//! A dispatcher whose calls discovery refuses, and a peer that discovery answers: whether it was refused by a crowd or by an
//! outage is what the peer's reports tell.

mod common;

use common::admin::{call, operator};
use common::discovery::{Behaviour, Discovery};
use common::serving::ServingWorkers;
use common::{Client, Rig, Setup, SETTINGS, WAIT_TIMEOUT};
use serde_json::{json, Value};
use std::net::{SocketAddr, UdpSocket};
use std::thread;
use std::time::{Duration, Instant};

/// A change counts as told so long after discovery had it and could be reached, and sends may go on for the grace behind that.
const TOLD_AFTER: Duration = Duration::from_secs(6);
const DRAIN_GRACE: Duration = Duration::from_millis(750);
/// A call stands in discovery's queue for so long before it is refused.
const HELD: Duration = Duration::from_millis(1200);
/// Between two reports of the peer.
const REPORT_EVERY: Duration = Duration::from_millis(400);
/// The first byte of a report of discovery's answer; the version follows, most significant byte first.
const REPORT: u8 = 0x30;
/// The workers' names, and their positions.
const NAMES: [&str; 2] = ["s-leaving", "s-staying"];
const LEAVING: usize = 0;
const STAYING: usize = 1;

/// One of a tier of sixteen, and the peer that it talks to.
struct Pair {
    rig: Rig,
    discovery: Discovery,
    workers: ServingWorkers,
    peer: UdpSocket,
    /// Where datagrams of the peer reach the dispatcher.
    at: SocketAddr,
}

impl Pair {
    /// Discovery is up and has version 1, and one job has been served.
    fn start() -> Pair {
        let workers = ServingWorkers::start(&NAMES);
        let entries = [LEAVING, STAYING].map(|position| workers.entry(position, "up"));
        let discovery = Discovery::start(&entries, Behaviour::Up);
        let peer = UdpSocket::bind("127.0.0.1:0").expect("a port");
        peer.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a time");
        let nobody =
            UdpSocket::bind("127.0.0.1:0").and_then(|socket| socket.local_addr()).expect("an address");
        let settings = SETTINGS
            .replace(r#""instances": 1"#, r#""instances": 16, "self_index": 0"#)
            .replace(r#""cancel": true"#, r#""cancel": true, "peers": true"#);
        let peers = [nobody, peer.local_addr().expect("an address")];
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

    /// Discovery refuses all calls from now on, and the first worker leaves.
    fn refused(&self) {
        self.discovery.set_behaviour(Behaviour::Refusing(HELD));
        let entries = [self.workers.entry(LEAVING, "removed"), self.workers.entry(STAYING, "up")];
        assert_eq!(self.discovery.list(&entries), 2);
    }

    fn report(&self, version: u64) {
        let mut bytes = vec![REPORT];
        bytes.extend(version.to_be_bytes());
        self.peer.send_to(&bytes, self.at).expect("sent");
    }

    /// What operators are shown of the list.
    fn shown(&self, key: &str) -> Value {
        let (status, shown) = call(&self.rig, "GET /flows", "");
        assert_eq!(status, 200);
        shown["list"][key].clone()
    }

    /// The peer reports answers with this version, over and over.
    fn reports_for(&self, version: u64, span: Duration) {
        let until = Instant::now() + span;
        while Instant::now() < until {
            self.report(version);
            thread::sleep(REPORT_EVERY);
        }
    }

    /// A job waits, and is sent to nobody before discovery answers; then the worker that stays gets it.
    fn sends_nothing_until_answered(&self, mut client: Client, late: Instant) {
        let came = || NAMES.map(|name| self.workers.since(name, late).len());
        thread::sleep(Duration::from_millis(500));
        assert_eq!(came(), [0, 0]);
        self.discovery.set_behaviour(Behaviour::Up);
        assert_eq!(client.read_response().status(), 200);
        assert_eq!(came(), [0, 1]);
    }

    /// The next report that the peer is sent; the version in it.
    fn reported(&self) -> u64 {
        let mut bytes = [0; 512];
        loop {
            let (size, _) = self.peer.recv_from(&mut bytes).expect("a report");
            if let (REPORT, Ok(version)) = (bytes[0], bytes[1..size].try_into()) {
                return u64::from_be_bytes(version);
            }
        }
    }
}

/// Discovery has told the peer of a version that this dispatcher has not: it is up, and a change counts as told in time although
/// each call here is refused.
#[test]
fn a_list_is_not_acted_on_where_a_peer_was_told_a_newer_one() {
    let pair = Pair::start();
    pair.refused();
    pair.reports_for(2, TOLD_AFTER + DRAIN_GRACE);
    assert_eq!((pair.shown("state"), pair.shown("shortened_by_peers")), (json!("expired"), json!(1)));
    let late = Instant::now();
    let client = pair.rig.post("0-late", "quote", "");
    pair.sends_nothing_until_answered(client, late);
}

/// The peer was answered before discovery went away, and with the version that this dispatcher has: the list is acted on for as
/// long as the outage lasts.
#[test]
fn a_list_is_acted_on_in_an_outage_that_a_report_goes_before() {
    let pair = Pair::start();
    pair.report(1);
    pair.refused();
    thread::sleep(TOLD_AFTER + DRAIN_GRACE * 2);
    assert_eq!((pair.shown("state"), pair.shown("peer_reports")), (json!("turned_away"), json!(1)));
    assert_eq!(pair.rig.post("0-late", "quote", "").read_response().status(), 200);
}

/// Who is answered behind refusals reports it.
#[test]
fn an_answer_to_a_call_that_stood_in_the_queue_is_reported() {
    let pair = Pair::start();
    pair.refused();
    thread::sleep(HELD);
    pair.discovery.set_behaviour(Behaviour::Up);
    assert_eq!(pair.reported(), 2);
}

/// What is no report, or from nobody of the tier, changes nothing.
#[test]
fn reports_of_strangers_and_half_reports_change_nothing() {
    let pair = Pair::start();
    pair.refused();
    let stranger = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let until = Instant::now() + TOLD_AFTER + DRAIN_GRACE * 2;
    while Instant::now() < until {
        let _ = stranger.send_to(&[REPORT, 0, 0, 0, 0, 0, 0, 0, 9], pair.at).expect("sent");
        let _ = pair.peer.send_to(&[REPORT, 0, 9], pair.at).expect("sent");
        thread::sleep(REPORT_EVERY);
    }
    assert_eq!(pair.rig.post("0-late", "quote", "").read_response().status(), 200);
}
