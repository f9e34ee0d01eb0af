//! A dispatcher process of a large tier, and a peer that acts as its zone's aggregator and answers as the test directs.

mod common;

use common::{Rig, Setup, Worker, SETTINGS};
use lineroute_control::discovery_report::DiscoveryReport;
use lineroute_control::load_gossip::{LoadReport, Purpose, Tag, ZoneAggregators, MAX_DATAGRAM};
use std::net::{SocketAddr, UdpSocket};
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;

const DONE: &str = r#", "result": "x""#;

/// How the aggregator answers a query.
#[derive(Clone, Copy)]
enum Aggregator {
    /// With a snapshot in which this worker has just refused a job.
    Refused(&'static str),
    /// With malformed datagrams and snapshots for other queries, but no answer.
    Invalid,
}

/// A dispatcher with two workers, and the reports that its peer receives.
fn rig(aggregator: Aggregator) -> (Rig, Receiver<LoadReport>) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let at = socket.local_addr().expect("an address");
    // The peer takes the position that the dispatcher's own choice makes the aggregator.
    let first = ZoneAggregators::new(2).query(Tag::of("a"), 0).expect("an aggregator");
    let unused = UdpSocket::bind("127.0.0.1:0").and_then(|s| s.local_addr()).expect("an address");
    let peers = if first == 0 { [at, unused] } else { [unused, at] };
    let settings = SETTINGS
        .replace(r#""instances": 1"#, &format!(r#""instances": 100, "self_index": {}"#, 1 - first))
        .replace(r#""cancel": true"#, r#""cancel": true, "peers": true"#);
    let more = format!(r#""peer_listen": "127.0.0.1:0", "peers": ["{}", "{}"], "#, peers[0], peers[1]);
    let (reports, reports_received) = channel();
    std::thread::spawn(move || {
        let mut bytes = [0; 512];
        while let Ok((size, from)) = socket.recv_from(&mut bytes) {
            // Discovery reports go to all peers, whether aggregators or not.
            if DiscoveryReport::decode(&bytes[..size]).is_some() {
                continue;
            }
            let report = LoadReport::decode(&bytes[..size]).expect("a report");
            if report.purpose == Purpose::Query {
                answer(&socket, from, &report, aggregator);
            }
            if reports.send(report).is_err() {
                return;
            }
        }
    });
    let workers: Vec<Worker> = (0..2).map(|i| Worker::start(&format!("w{i}"))).collect();
    let listed = workers.iter().map(|w| (w.id.clone(), w.addr)).collect();
    let mut rig = Rig::set_up(listed, &settings, Setup { extra_config: more, ..Setup::default() });
    rig.workers = workers;
    (rig, reports_received)
}

fn answer(socket: &UdpSocket, to: SocketAddr, asked: &LoadReport, aggregator: Aggregator) {
    let refused = |name: &str| vec![Tag::of(name)];
    let snapshot = |turn, name| LoadReport {
        purpose: Purpose::Snapshot,
        sequence: turn,
        zone: asked.zone,
        in_flight: Vec::new(),
        refused: refused(name),
    };
    let datagrams = match aggregator {
        Aggregator::Refused(name) => vec![snapshot(asked.sequence, name).encode()],
        Aggregator::Invalid => vec![
            vec![],
            vec![7; 5],
            vec![0x20; MAX_DATAGRAM + 3],
            snapshot(asked.sequence.wrapping_sub(1) & 15, "w0").encode(),
            snapshot(asked.sequence.wrapping_sub(2) & 15, "w1").encode(),
        ],
    };
    for bytes in datagrams {
        socket.send_to(&bytes, to).expect("sent");
    }
}

fn serve(rig: &Rig, reference: &str) -> usize {
    let mut client = rig.post(reference, "quote", "");
    let (at, seen) = rig.next();
    seen.respond("202 Accepted");
    rig.send_job_update(at, reference, "done", DONE);
    assert_eq!(client.read_response().status(), 200);
    at
}

#[test]
fn jobs_are_placed_by_the_aggregators_snapshot_and_reported_to_it() {
    let (rig, reports_received) = rig(Aggregator::Refused("w0"));
    for i in 0..6 {
        assert_eq!(serve(&rig, &format!("c{i}")), 1);
    }
    let await_report = |out: &[(Tag, u8)]| {
        let wait = Duration::from_secs(20);
        while reports_received.recv_timeout(wait).expect("a report").in_flight != out {}
    };
    await_report(&[(Tag::of("w1"), 1)]);
    await_report(&[]);
}

/// Malformed datagrams do not stop jobs, and a silent aggregator is not waited for.
#[test]
fn an_aggregator_that_sends_malformed_datagrams_delays_nothing() {
    let (rig, reports_received) = rig(Aggregator::Invalid);
    let at: Vec<usize> = (0..12).map(|i| serve(&rig, &format!("c{i}"))).collect();
    assert!(at.contains(&0) && at.contains(&1), "unrequested snapshots must be ignored: {at:?}");
    assert!(reports_received.try_iter().any(|h| h.purpose == Purpose::Query));
}

/// A worker that fails fast looks idle by its job count alone, so failures are reported to the aggregator.
#[test]
fn a_failure_is_reported_once() {
    let (rig, reports_received) = rig(Aggregator::Refused("w0"));
    let mut client = rig.post("c1", "order", "");
    let (at, seen) = rig.next();
    seen.respond("202 Accepted");
    rig.send_job_update(at, "c1", "failed", "");
    assert!(client.read_response().status() >= 500);
    let wait = Duration::from_secs(20);
    while reports_received.recv_timeout(wait).expect("a report").refused != [Tag::of("w1")] {}
    serve(&rig, "c2");
    assert!(reports_received.try_iter().all(|h| h.refused.is_empty()));
}

/// The job's budget is shorter than an answer of the aggregator takes, and none comes. Guards against answering such a job as
/// failed, which does not tell the client that it never ran, 10 ms later than necessary, and with an error in the log.
#[test]
fn a_job_with_a_tiny_budget_is_refused_although_the_aggregator_is_silent() {
    let (rig, _heard) = rig(Aggregator::Invalid);
    for (i, budget) in [0, 1, 20].iter().enumerate() {
        let mut client = rig.post(&format!("c{i}"), "order", &format!("X-Budget-Ms: {budget}\r\n"));
        let answer = client.read_response();
        assert_eq!(answer.status(), 503, "{budget} ms: {answer:?}");
        assert!(answer.headers.contains_key("retry-after"));
    }
    assert!(rig.workers.iter().all(|w| w.has_no_request()));
}
