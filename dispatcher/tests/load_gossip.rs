//! A dispatcher of a large tier, as a process, and a peer that keeps the count of its zone and says what the test wants.

mod common;

use common::{Rig, Setup, Worker, SETTINGS};
use lineroute_control::discovery_report::DiscoveryReport;
use lineroute_control::load_gossip::{LoadReport, Purpose, Tag, ZoneAggregators, MAX_DATAGRAM};
use std::net::{SocketAddr, UdpSocket};
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;

const DONE: &str = r#", "result": "x""#;

/// What the aggregator does with a question.
#[derive(Clone, Copy)]
enum Aggregator {
    /// Says that a worker has just refused a job.
    Refused(&'static str),
    /// Sends rubbish, pictures that nobody asked for, and no answer.
    Rude,
}

/// A dispatcher with two workers, and what its peer hears.
fn rig(aggregator: Aggregator) -> (Rig, Receiver<LoadReport>) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let at = socket.local_addr().expect("an address");
    // The peer is whoever both hold to be the aggregator.
    let first = ZoneAggregators::new(2).query(Tag::of("a"), 0).expect("a aggregator");
    let nobody = UdpSocket::bind("127.0.0.1:0").and_then(|s| s.local_addr()).expect("an address");
    let peers = if first == 0 { [at, nobody] } else { [nobody, at] };
    let settings = SETTINGS
        .replace(r#""instances": 1"#, &format!(r#""instances": 100, "self_index": {}"#, 1 - first))
        .replace(r#""cancel": true"#, r#""cancel": true, "peers": true"#);
    let more = format!(r#""peer_listen": "127.0.0.1:0", "peers": ["{}", "{}"], "#, peers[0], peers[1]);
    let (reports, heard) = channel();
    std::thread::spawn(move || {
        let mut bytes = [0; 512];
        while let Ok((size, from)) = socket.recv_from(&mut bytes) {
            // What is said of discovery is for all peers, aggregators or not.
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
    (rig, heard)
}

fn answer(socket: &UdpSocket, to: SocketAddr, asked: &LoadReport, aggregator: Aggregator) {
    let refused = |name: &str| vec![Tag::of(name)];
    let picture = |turn, name| LoadReport {
        purpose: Purpose::Snapshot,
        sequence: turn,
        zone: asked.zone,
        in_flight: Vec::new(),
        refused: refused(name),
    };
    let said = match aggregator {
        Aggregator::Refused(name) => vec![picture(asked.sequence, name).encode()],
        Aggregator::Rude => vec![
            vec![],
            vec![7; 5],
            vec![0x20; MAX_DATAGRAM + 3],
            picture(asked.sequence.wrapping_sub(1) & 15, "w0").encode(),
            picture(asked.sequence.wrapping_sub(2) & 15, "w1").encode(),
        ],
    };
    for bytes in said {
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
fn a_flow_is_placed_by_what_the_aggregator_says_and_the_aggregator_is_sent_reports() {
    let (rig, heard) = rig(Aggregator::Refused("w0"));
    for i in 0..6 {
        assert_eq!(serve(&rig, &format!("c{i}")), 1);
    }
    let await_report = |out: &[(Tag, u8)]| {
        let wait = Duration::from_secs(20);
        while heard.recv_timeout(wait).expect("a report").in_flight != out {}
    };
    await_report(&[(Tag::of("w1"), 1)]);
    await_report(&[]);
}

/// Nothing that comes from the socket stops flows, and who is silent is not waited for.
#[test]
fn a_aggregator_that_talks_rubbish_holds_nothing_up() {
    let (rig, heard) = rig(Aggregator::Rude);
    let at: Vec<usize> = (0..12).map(|i| serve(&rig, &format!("c{i}"))).collect();
    assert!(at.contains(&0) && at.contains(&1), "pictures that nobody asked for count for nothing: {at:?}");
    assert!(heard.try_iter().any(|h| h.purpose == Purpose::Query));
}

/// A worker that fails fast looks idle to counts alone: the aggregator is sent reports.
#[test]
fn a_failure_is_told_and_then_no_more() {
    let (rig, heard) = rig(Aggregator::Refused("w0"));
    let mut client = rig.post("c1", "order", "");
    let (at, seen) = rig.next();
    seen.respond("202 Accepted");
    rig.send_job_update(at, "c1", "failed", "");
    assert!(client.read_response().status() >= 500);
    let wait = Duration::from_secs(20);
    while heard.recv_timeout(wait).expect("a report").refused != [Tag::of("w1")] {}
    serve(&rig, "c2");
    assert!(heard.try_iter().all(|h| h.refused.is_empty()));
}

/// Its time is shorter than what an answer takes, and the aggregator has nothing to say. Seen: such a job was answered as
/// failed, which promises nothing, and 10 ms later than need be; an error in the log each time.
#[test]
fn a_job_with_hardly_any_time_is_refused_although_the_aggregator_is_silent() {
    let (rig, _heard) = rig(Aggregator::Rude);
    for (i, budget) in [0, 1, 20].iter().enumerate() {
        let mut client = rig.post(&format!("c{i}"), "order", &format!("X-Budget-Ms: {budget}\r\n"));
        let answer = client.read_response();
        assert_eq!(answer.status(), 503, "{budget} ms: {answer:?}");
        assert!(answer.headers.contains_key("retry-after"));
    }
    assert!(rig.workers.iter().all(|w| w.has_no_request()));
}
