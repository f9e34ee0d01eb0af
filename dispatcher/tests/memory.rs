//! The process stays within its memory limit whatever clients make it hold: it is killed above it.

mod common;

use common::replacement::{Dispatcher, Process, WorkerBehaviour};
use common::{wait_until, Client, Setup, SETTINGS};
use rstest::rstest;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Clients of a crowd for each three descriptors: more than there are slots for.
const CROWD_PER_THREE_DESCRIPTORS: usize = 2;
/// Bytes that a client sends of a body of 64 KiB.
const PART_OF_BODY: usize = 60_000;
/// Results of plain HTTP workers that stop before their end.
const HALF_RESULTS: usize = 240;
/// Chunks of one byte that a client sends of a body.
const TINY_CHUNKS: usize = 10_000;
/// Requests that a client sends at once.
const REQUESTS_AT_ONCE: usize = 16;
/// How long the clients of the crowd stay.
const CROWD_STAYS: Duration = Duration::from_millis(1500);
/// A usual client is served within this time, although the crowd stays.
const SERVED_WITHIN: Duration = Duration::from_secs(6);
/// Size of a socket's receive buffer with which a client takes next to nothing of a large response.
const SMALL_RECEIVE_BUFFER: usize = 2048;

/// The crowds come one after the other: each takes hundreds of descriptors.
static ONE_CROWD: Mutex<()> = Mutex::new(());

/// What each client of a crowd does, and then stays.
#[derive(Clone, Copy, Debug, PartialEq)]
enum CrowdBehaviour {
    /// Half a body of declared length, or in one chunk.
    HalfBody,
    HalfChunk,
    /// Half a worker's call.
    HalfCall,
    /// Half a body on a route to plain HTTP workers, buffered or streamed.
    HalfRouteBody,
    HalfStream,
    /// A head without its end.
    LongHead,
    /// A whole body, for workers that do not answer.
    WholeBody,
    /// Takes nothing of a large result.
    ResultNotTaken,
    /// Half a body, beside half a `put` on each connection of the beanstalkd listener.
    HalfPut,
    /// Half a body in one chunk, beside half a sibling's call on each connection of the admin console.
    HalfSiblingCall,
    /// Half a body in chunks of one byte, buffered or streamed.
    HalfBodyInTinyChunks,
    HalfStreamInTinyChunks,
    /// As many requests at once as the listener reads ahead, each with a head of several KiB.
    PipelinedRequests,
    /// Takes nothing of a large result of a plain HTTP worker.
    PlainResultNotTaken,
    /// Half a body, beside large results of plain HTTP workers that stop before their end.
    HalfPlainResults,
    /// Takes nothing of a large result that is streamed.
    StreamedResultNotTaken,
    /// Each client does one of [`MIXED`], beside half a `put` and half a sibling's call on each connection of those listeners.
    Mixed,
}

/// What the clients of a mixed crowd do.
const MIXED: [CrowdBehaviour; 8] = [
    CrowdBehaviour::HalfChunk,
    CrowdBehaviour::LongHead,
    CrowdBehaviour::HalfStream,
    CrowdBehaviour::ResultNotTaken,
    CrowdBehaviour::HalfBody,
    CrowdBehaviour::PipelinedRequests,
    CrowdBehaviour::HalfRouteBody,
    CrowdBehaviour::HalfBodyInTinyChunks,
];

impl CrowdBehaviour {
    /// What one client of the crowd does.
    fn of_client(self, number: usize) -> CrowdBehaviour {
        match self {
            CrowdBehaviour::Mixed => MIXED[number % MIXED.len()],
            same => same,
        }
    }

    fn takes_no_result(self) -> bool {
        matches!(
            self,
            CrowdBehaviour::ResultNotTaken
                | CrowdBehaviour::PlainResultNotTaken
                | CrowdBehaviour::StreamedResultNotTaken
        )
    }

    fn operator(self) -> Option<&'static str> {
        match self {
            CrowdBehaviour::PlainResultNotTaken | CrowdBehaviour::HalfPlainResults => {
                Some(r#"{"workers":[{"kind":"m","protocol":"http"}]}"#)
            }
            CrowdBehaviour::StreamedResultNotTaken => Some(
                r#"{"workers":[{"kind":"m","protocol":"http"}],
                "classes":[{"name":"page","aim_ms":500,"deadline_ms":8000,"effect":"once","kind":"m"}],
                "routes":[{"path":"/web","match":"prefix","class":"page","stream":true}]}"#,
            ),
            CrowdBehaviour::HalfRouteBody => Some(
                r#"{"workers":[{"kind":"other","protocol":"http"}],
                "classes":[{"name":"page","aim_ms":500,"deadline_ms":8000,"effect":"once","kind":"other"}],
                "routes":[{"path":"/web","match":"prefix","class":"page"}]}"#,
            ),
            CrowdBehaviour::HalfStream | CrowdBehaviour::HalfStreamInTinyChunks => Some(
                r#"{"workers":[{"kind":"other","protocol":"http"}],
                "classes":[{"name":"page","aim_ms":500,"deadline_ms":8000,"effect":"once","kind":"other"}],
                "routes":[{"path":"/web","match":"prefix","class":"page","stream":true}]}"#,
            ),
            CrowdBehaviour::Mixed => Some(
                r#"{"workers":[{"kind":"other","protocol":"http"}],
                "classes":[{"name":"page","aim_ms":500,"deadline_ms":8000,"effect":"once","kind":"other"}],
                "routes":[{"path":"/web","match":"prefix","class":"page","stream":true}],
                "beanstalkd":{"listen":"127.0.0.1:0",
                "tubes":[{"tube":"default","class":"order","answers":"out"}]}}"#,
            ),
            CrowdBehaviour::HalfPut => Some(
                r#"{"beanstalkd":{"listen":"127.0.0.1:0",
                "tubes":[{"tube":"default","class":"order","answers":"out"}]}}"#,
            ),
            _ => None,
        }
    }

    fn workers(self) -> WorkerBehaviour {
        match self {
            CrowdBehaviour::ResultNotTaken | CrowdBehaviour::Mixed => WorkerBehaviour::ServesLargeResults,
            CrowdBehaviour::HalfPlainResults => WorkerBehaviour::StopsInResults,
            CrowdBehaviour::PlainResultNotTaken | CrowdBehaviour::StreamedResultNotTaken => {
                WorkerBehaviour::RespondsWithLargeResults
            }
            _ => WorkerBehaviour::Serves,
        }
    }

    /// Number of workers; each takes few jobs at a time at first.
    fn worker_count(self) -> usize {
        match self {
            CrowdBehaviour::HalfPlainResults => HALF_RESULTS / 2,
            _ => 2,
        }
    }

    fn request(self, number: usize) -> Vec<u8> {
        let path = match self {
            CrowdBehaviour::HalfCall => "/_jobs/news",
            CrowdBehaviour::HalfRouteBody
            | CrowdBehaviour::HalfStream
            | CrowdBehaviour::StreamedResultNotTaken
            | CrowdBehaviour::HalfStreamInTinyChunks => "/web/a",
            _ => "/api",
        };
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: crowd-{number}\r\nX-Call-Class: quote\r\nX-Caller: acme\r\n"
        );
        let (rest, body) = match self {
            CrowdBehaviour::LongHead => (format!("X-Long: {}", "y".repeat(15_000)), 0),
            CrowdBehaviour::HalfChunk | CrowdBehaviour::HalfSiblingCall => {
                (format!("Transfer-Encoding: chunked\r\n\r\n{PART_OF_BODY:x}\r\n"), PART_OF_BODY)
            }
            CrowdBehaviour::WholeBody => (format!("Content-Length: {PART_OF_BODY}\r\n\r\n"), PART_OF_BODY),
            same if same.takes_no_result() => ("Content-Length: 4\r\n\r\nwork".into(), 0),
            CrowdBehaviour::HalfPlainResults if number < HALF_RESULTS => {
                ("Content-Length: 4\r\n\r\nwork".into(), 0)
            }
            CrowdBehaviour::HalfBodyInTinyChunks | CrowdBehaviour::HalfStreamInTinyChunks => {
                ("Transfer-Encoding: chunked\r\n\r\n".to_owned() + &"1\r\nx\r\n".repeat(TINY_CHUNKS), 0)
            }
            CrowdBehaviour::PipelinedRequests => {
                (format!("X-Long: {}\r\nContent-Length: 4\r\n\r\nwork", "y".repeat(7_000)), 0)
            }
            _ => ("Content-Length: 65536\r\n\r\n".into(), PART_OF_BODY),
        };
        let mut request = (head + &rest).into_bytes();
        if self == CrowdBehaviour::PipelinedRequests {
            request = request.repeat(REQUESTS_AT_ONCE);
        }
        request.resize(request.len() + body, b'x');
        request
    }

    fn connect(self, addr: SocketAddr, number: usize) -> Option<TcpStream> {
        let behaviour = self.of_client(number);
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).ok()?;
        if behaviour.takes_no_result() {
            socket.set_recv_buffer_size(SMALL_RECEIVE_BUFFER).ok()?;
        }
        socket.connect(&addr.into()).ok()?;
        let mut stream = TcpStream::from(socket);
        stream.set_write_timeout(Some(CROWD_STAYS)).ok()?;
        let _ = stream.write_all(&behaviour.request(number));
        Some(stream)
    }
}

/// The largest size of the memory that the process has for itself, from now until this is dropped.
struct PeakMemory {
    kib: Arc<AtomicU64>,
    is_over: Arc<AtomicBool>,
}

impl PeakMemory {
    fn watch(process: u32) -> PeakMemory {
        let watch = PeakMemory { kib: Arc::default(), is_over: Arc::default() };
        let (kib, is_over) = (watch.kib.clone(), watch.is_over.clone());
        thread::spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                kib.fetch_max(own_memory_kib(process).unwrap_or(0), Ordering::SeqCst);
                thread::sleep(Duration::from_millis(2));
            }
        });
        watch
    }

    fn kib(&self) -> u64 {
        self.kib.load(Ordering::SeqCst)
    }
}

impl Drop for PeakMemory {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::SeqCst);
    }
}

fn own_memory_kib(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("RssAnon:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// The clients of a crowd, connected from several threads.
fn start_crowd(behaviour: CrowdBehaviour, addr: SocketAddr, size: usize) -> Vec<TcpStream> {
    const THREADS: usize = 8;
    let part = |first: usize| {
        thread::spawn(move || {
            let numbers = (first..size).step_by(THREADS);
            numbers.filter_map(|number| behaviour.connect(addr, number)).collect::<Vec<_>>()
        })
    };
    let parts: Vec<_> = (0..THREADS).map(part).collect();
    parts.into_iter().flat_map(|part| part.join().expect("a part of the crowd")).collect()
}

/// Connections that send this and stay.
fn start_partial_commands(addr: SocketAddr, count: usize, command: &[u8]) -> Vec<TcpStream> {
    let connect = |_| {
        let mut stream = TcpStream::connect(addr).expect("the listener accepts");
        stream.set_write_timeout(Some(CROWD_STAYS)).expect("a socket");
        let _ = stream.write_all(command);
        stream
    };
    (0..count).map(connect).collect()
}

/// Half a `put` and half a sibling's call, as far as they belong to the crowd, on as many connections as the listener in question has.
fn start_others(behaviour: CrowdBehaviour, process: &Process) -> Vec<TcpStream> {
    let partial = |command: &str| (command.to_owned() + &"x".repeat(PART_OF_BODY)).into_bytes();
    let mut others = Vec::new();
    if matches!(behaviour, CrowdBehaviour::HalfSiblingCall | CrowdBehaviour::Mixed) {
        others = start_partial_commands(process.console, 48, &partial("sibling "));
    }
    if let Some(addr) = process.rig.beanstalkd_addr {
        others.extend(start_partial_commands(addr, 64, &partial("put 0 0 60 65535\r\n")));
    }
    others
}

/// Sends jobs, each on a connection of its own, until one is served.
fn is_served_within(addr: SocketAddr, time_limit: Duration) -> bool {
    let since = Instant::now();
    let mut number = 0;
    while since.elapsed() < time_limit {
        number += 1;
        if let Ok(stream) = TcpStream::connect(addr) {
            let mut client = Client::from_stream(stream);
            client.post(&format!("usual-{number}"), "order", "X-Budget-Ms: 3000\r\n");
            if client.try_read_response().is_some_and(|response| response.status() == 200) {
                return true;
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

/// Guards against memory that grows with the number of clients: each was given what it sent, for as many connections as there
/// were descriptors, and 450 clients half way in a body took the process over 48 MB.
#[rstest]
fn a_crowd_does_not_take_the_process_over_its_memory(
    #[values(
        CrowdBehaviour::HalfBody,
        CrowdBehaviour::HalfChunk,
        CrowdBehaviour::HalfCall,
        CrowdBehaviour::HalfRouteBody,
        CrowdBehaviour::HalfStream,
        CrowdBehaviour::LongHead,
        CrowdBehaviour::WholeBody,
        CrowdBehaviour::ResultNotTaken,
        CrowdBehaviour::HalfPut,
        CrowdBehaviour::HalfSiblingCall,
        CrowdBehaviour::HalfBodyInTinyChunks,
        CrowdBehaviour::HalfStreamInTinyChunks,
        CrowdBehaviour::PipelinedRequests,
        CrowdBehaviour::PlainResultNotTaken,
        CrowdBehaviour::HalfPlainResults,
        CrowdBehaviour::StreamedResultNotTaken,
        CrowdBehaviour::Mixed
    )]
    behaviour: CrowdBehaviour,
) {
    check_crowd(behaviour, (16, 1024));
}

/// The same with the other limits that the platform gives.
#[rstest]
fn a_crowd_half_way_in_bodies_keeps_to_each_memory_limit(
    #[values((16, 256), (32, 256), (32, 1024), (48, 256), (48, 1024), (192, 256), (192, 1024))] limits: (
        u64,
        usize,
    ),
) {
    check_crowd(CrowdBehaviour::HalfBody, limits);
}

/// Guards against parts of the memory that fit into it one by one but not together: each behaviour fills another part.
#[rstest]
fn a_mixed_crowd_keeps_to_each_memory_limit(
    #[values((16, 256), (32, 1024), (48, 1024), (192, 1024))] limits: (u64, usize),
) {
    check_crowd(CrowdBehaviour::Mixed, limits);
}

fn check_crowd(behaviour: CrowdBehaviour, (memory_mb, sockets): (u64, usize)) {
    let _alone = ONE_CROWD.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let settings = SETTINGS.replace(r#""most_held": 50"#, r#""most_held": 20000"#);
    let dispatcher = Dispatcher::with_settings(behaviour.worker_count(), behaviour.workers(), &settings);
    let extra_config = format!(r#""limits":{{"memory_mb":{memory_mb},"sockets":{sockets}}},"#);
    let setup = Setup { operator: behaviour.operator(), extra_config, ..Setup::default() };
    let process = dispatcher.start_with(setup);
    process.wait_until_ready();
    if matches!(behaviour, CrowdBehaviour::WholeBody | CrowdBehaviour::PipelinedRequests) {
        dispatcher.workers.set_behaviour(WorkerBehaviour::Hangs);
    }
    let peak = PeakMemory::watch(process.rig.pid());
    let others = start_others(behaviour, &process);
    let crowd = start_crowd(behaviour, dispatcher.addr(), sockets / 3 * CROWD_PER_THREE_DESCRIPTORS);
    let since = Instant::now();
    dispatcher.workers.set_behaviour(behaviour.workers());
    assert!(is_served_within(dispatcher.addr(), SERVED_WITHIN), "no usual client was served");
    thread::sleep(CROWD_STAYS.saturating_sub(since.elapsed()));
    println!("{behaviour:?}, {memory_mb} MB, {sockets} descriptors: {} KiB", peak.kib());
    assert!(peak.kib() > 0 && peak.kib() <= memory_mb * 1024, "{} KiB of {memory_mb} MB", peak.kib());
    drop((crowd, others));
    // What was leased is free again.
    wait_until("a large request is served", || {
        let mut client = Client::new(dispatcher.addr());
        let headers = "X-Call-Id: after\r\nX-Call-Class: order\r\nX-Caller: acme\r\n";
        client.send("POST /api", headers, &"x".repeat(PART_OF_BODY));
        client.try_read_response().is_some_and(|response| response.status() == 200)
    });
}

/// Guards against a client that loses a large result because it is slow, while there is memory for it.
#[test]
fn a_client_that_reads_slowly_gets_its_whole_result() {
    let dispatcher = Dispatcher::new(1, WorkerBehaviour::ServesLargeResults);
    let process = dispatcher.start();
    let mut stream = CrowdBehaviour::ResultNotTaken.connect(dispatcher.addr(), 0).expect("a connection");
    thread::sleep(Duration::from_millis(1500));
    stream.set_read_timeout(Some(Duration::from_secs(5))).expect("a socket");
    let (mut response, mut piece) = (Vec::new(), [0; 1000]);
    while response.len() < common::replacement::LARGE_RESULT_BYTES {
        let count = stream.read(&mut piece).expect("the result goes on");
        assert!(count > 0, "the connection ended after {} bytes", response.len());
        response.extend_from_slice(&piece[..count]);
        thread::sleep(Duration::from_millis(2));
    }
    assert!(response.starts_with(b"HTTP/1.1 200 OK"));
    drop(process);
}
