//! File descriptor limits: many clients that hold as many connections as they can get, while discovery is down or workers are
//! many. The process stays under the platform's limit, reaches discovery and workers, and serves other clients.

mod common;

use common::discovery::{entry, Behaviour, Discovery};
use common::{Client, Rig, Setup, Worker, SETTINGS};
use rstest::rstest;
use rustix::process::{prlimit, Pid, Resource, Rlimit};
use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The descriptors granted by the platform, in the configuration and as the limit of the process.
const DESCRIPTORS: u64 = 256;
/// Descriptors reserved for purposes other than clients and workers, and the most for clients: five eighths of the rest.
const RESERVED: usize = 64;
const MAX_CLIENTS: usize = (DESCRIPTORS as usize - RESERVED) / 8 * 5;
/// A connection in the middle of a request may be evicted after this time without progress.
const EVICTION_AGE: Duration = Duration::from_millis(550);
/// By then the program has closed all connections of a crowd: incomplete requests time out after 2.5 s, and an error response
/// lingers for one more second.
const CROWD_CLOSED_AFTER: Duration = Duration::from_millis(3800);
/// Descriptors that always remain unused.
const SPARE: usize = 8;
/// Calls to workers that may be open at a time, including cancellations: a quarter of the descriptors, and a quarter of that.
const MAX_CALLS: usize = (DESCRIPTORS as usize - RESERVED) / 4 * 5 / 4;
/// Connections that the admin console keeps open at a time.
const CONSOLE_CONNECTIONS: usize = 48;
/// Jobs that are cancelled at a time: more than calls may be open.
const CANCELLED_JOBS: usize = 80;
/// More connections than the process may hold descriptors.
const CROWD: usize = 400;

fn limit_descriptors(pid: u32) {
    let pid = Pid::from_raw(i32::try_from(pid).expect("a number"));
    let limit = Rlimit { current: Some(DESCRIPTORS), maximum: Some(DESCRIPTORS) };
    prlimit(pid, Resource::Nofile, limit).expect("the limit is set");
}

/// How many descriptors the program holds.
fn open_descriptors(rig: &Rig) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", rig.pid())).expect("a process").count()
}

/// Settings under which a job is cancelled only by its client.
fn long_deadline_settings() -> String {
    let settings = SETTINGS.replace(r#""most_held": 50"#, r#""most_held": 500"#);
    settings.replace("8000", "60000").replace(r#""aim_ms": 500"#, r#""aim_ms": 50000"#)
}

/// Starts the program under its descriptor limit, with the given discovery and workers.
fn start(workers: Vec<Worker>, discovery: &Discovery, more: String) -> Rig {
    let listed = workers.iter().map(|w| (w.id.clone(), w.addr)).collect();
    let setup = Setup {
        extra_config: more,
        discovery: Some(discovery.addr),
        on_start: Some(&limit_descriptors),
        ..Setup::default()
    };
    let mut rig = Rig::set_up(listed, &long_deadline_settings(), setup);
    rig.workers = workers;
    rig
}

fn entries(workers: &[Worker], state: &str) -> Vec<String> {
    workers.iter().map(|w| entry(&w.id, w.addr, state, 0)).collect()
}

/// What a connection of a crowd does before it idles.
#[derive(Clone, Copy, Debug, PartialEq)]
enum IdleClient {
    Silent,
    PartialHead,
    PartialBody,
    /// Sends one request, and stays connected.
    KeepAlive,
    /// Receives an error that ends its connection, and does not close its own end.
    Refused,
}

impl IdleClient {
    fn connect(self, addr: SocketAddr) -> Client {
        let mut client = Client::new(addr);
        match self {
            IdleClient::Silent => {}
            IdleClient::PartialHead => client.write(b"POST /api HTTP/1.1\r\nHost: a\r\nX-Call"),
            IdleClient::PartialBody => client.write(
                b"POST /api HTTP/1.1\r\nHost: a\r\nX-Call-Id: half\r\nX-Call-Class: quote\r\n\
                  X-Caller: acme\r\nContent-Length: 5\r\n\r\nhe",
            ),
            IdleClient::KeepAlive => client.send("GET /up", "", ""),
            IdleClient::Refused => client.write(b"no http at all\r\n\r\n"),
        }
        client
    }
}

/// Idle connections, and the most descriptors that the program held while they were opened.
struct Crowd {
    clients: Vec<Client>,
    peak: usize,
}

impl Crowd {
    /// Opens the connections; the program has processed each before this returns.
    fn gather(rig: &Rig, idle_client: IdleClient, count: usize) -> Crowd {
        let mut crowd = Crowd { clients: Vec::new(), peak: 0 };
        for at in 0..count {
            crowd.clients.push(idle_client.connect(rig.addr));
            if at % 10 == 9 {
                rig.process_pending_events();
                crowd.peak = crowd.peak.max(open_descriptors(rig));
            }
        }
        crowd
    }
}

/// A crowd uses up the descriptors while discovery is down. Once discovery is back, the program receives the changed list and
/// serves another client by a worker to which it had no connection before.
#[rstest]
fn discovery_and_workers_are_reached_with_all_client_connections_in_use(
    #[values(
        IdleClient::Silent,
        IdleClient::PartialHead,
        IdleClient::PartialBody,
        IdleClient::KeepAlive,
        IdleClient::Refused
    )]
    idle_client: IdleClient,
) {
    let workers = vec![Worker::start("w0"), Worker::start("w1")];
    let discovery = Discovery::start(&entries(&workers, "up"), Behaviour::Up);
    let rig = start(workers, &discovery, String::new());
    // A watch is pending from here on.
    discovery.wait_for_call(0, |call| call.path.contains("wait_ms=") && !call.path.contains("wait_ms=0"));
    discovery.set_behaviour(Behaviour::Down);
    let crowd = Crowd::gather(&rig, idle_client, CROWD);
    assert!(crowd.peak <= MAX_CLIENTS + RESERVED, "{} are held", crowd.peak);
    discovery.set_behaviour(Behaviour::Up);
    let changed =
        [entry("w0", rig.workers[0].addr, "draining", 0), entry("w1", rig.workers[1].addr, "up", 0)];
    let version = discovery.list(&changed);
    discovery.wait_until_known(version);
    // Young connections are not evicted, as they may be ordinary clients: until then a new client may be refused.
    std::thread::sleep(EVICTION_AGE);
    let since = Instant::now();
    for i in 0.. {
        assert_eq!(rig.serve_job(&format!("c{i}"), "quote"), 1);
        std::thread::sleep(Duration::from_millis(50));
        if since.elapsed() > CROWD_CLOSED_AFTER {
            break;
        }
    }
    drop(crowd);
}

/// All connections receive a time-out or error response at the same moment and stay open. The program used to linger on each
/// for a second, during which it accepted no other client.
#[rstest]
#[case::half_a_head(IdleClient::PartialHead)]
#[case::half_a_body(IdleClient::PartialBody)]
#[case::no_http(IdleClient::Refused)]
fn connections_with_a_final_response_are_evicted_at_once(#[case] idle_client: IdleClient) {
    let workers = vec![Worker::start("w0")];
    let discovery = Discovery::start(&entries(&workers, "up"), Behaviour::Up);
    let rig = start(workers, &discovery, String::new());
    let mut crowd: Vec<Client> = (0..MAX_CLIENTS).map(|_| idle_client.connect(rig.addr)).collect();
    for client in &mut crowd {
        assert!([400, 408].contains(&client.read_response().status()));
    }
    assert_eq!(rig.serve_job("c1", "quote"), 0);
}

/// Connections that occupy the admin console, followed by a burst larger than the listen backlog.
#[test]
fn connections_to_the_admin_console_leave_descriptors_for_others() {
    let console = common::unused_address();
    let workers = vec![Worker::start("w0"), Worker::start("w1")];
    let discovery = Discovery::start(&entries(&workers, "up"), Behaviour::Up);
    let more = format!(r#""admin_addr": "{console}", "name": "descriptors{}","#, std::process::id());
    let rig = start(workers, &discovery, more);
    discovery.wait_for_call(0, |call| call.path.contains("wait_ms=") && !call.path.contains("wait_ms=0"));
    common::wait_until("the admin console listens", || TcpStream::connect(console).is_ok());
    discovery.set_behaviour(Behaviour::Down);
    let crowd = Crowd::gather(&rig, IdleClient::KeepAlive, CROWD);
    let call = |_| TcpStream::connect_timeout(&console, Duration::from_millis(100)).ok();
    let mut callers: Vec<TcpStream> = (0..CONSOLE_CONNECTIONS).map_while(call).collect();
    rig.process_pending_events();
    // All further connections are pending when the process resumes.
    rig.pause();
    let _others: Vec<TcpStream> = (0..CROWD).map_while(call).collect();
    rig.resume();
    rig.process_pending_events();
    let said = rig.take_log_lines();
    assert!(!said.iter().any(|line| line.contains("accept")), "{said:?}");
    let held = open_descriptors(&rig).max(crowd.peak);
    assert!(held <= MAX_CLIENTS + RESERVED, "{held} are held");
    discovery.set_behaviour(Behaviour::Up);
    let version = discovery
        .list(&[entry("w0", rig.workers[0].addr, "draining", 0), entry("w1", rig.workers[1].addr, "up", 0)]);
    discovery.wait_until_known(version);
    assert_eq!(rig.serve_job("c1", "quote"), 1);
    // A connection that sends no command receives an error in time.
    let mut said = String::new();
    callers[0].set_read_timeout(Some(common::WAIT_TIMEOUT)).expect("a time-out");
    callers[0].read_to_string(&mut said).expect("an answer");
    assert!(said.starts_with("ERR"), "{said}");
}

/// Jobs to many workers in quick succession: kept-alive connections to them must leave descriptors free. They used to be
/// limited only by the keep-alive time.
#[test]
fn kept_alive_connections_to_many_workers_leave_descriptors_free() {
    common::retry_if_late(keep_connections_to_many_workers);
}

/// `None` if a job was cancelled because this machine was slow to accept it.
fn keep_connections_to_many_workers() -> Option<()> {
    const GROUP: usize = 40;
    let workers: Vec<Worker> = (0..4 * GROUP).map(|i| Worker::start(&format!("w{i}"))).collect();
    let discovery = Discovery::start(&entries(&workers, "up"), Behaviour::Up);
    let rig = start(workers, &discovery, String::new());
    let crowd = Crowd::gather(&rig, IdleClient::KeepAlive, CROWD);
    assert!(crowd.peak <= MAX_CLIENTS + RESERVED, "{} are held", crowd.peak);
    for group in 0..4 {
        let state = |at: usize| if at / GROUP == group { "up" } else { "draining" };
        let listed: Vec<String> =
            rig.workers.iter().enumerate().map(|(at, w)| entry(&w.id, w.addr, state(at), 0)).collect();
        discovery.wait_until_known(discovery.list(&listed));
        // All jobs at once, so that each worker has a connection.
        let mut clients: Vec<Client> =
            (0..GROUP).map(|i| rig.post(&format!("g{group}-{i}"), "quote", "")).collect();
        for _ in 0..GROUP {
            let (worker, request) = rig.next();
            if !request.message.start_line.starts_with("POST ") {
                return None;
            }
            let reference = request.reference().to_owned();
            request.respond("202 Accepted");
            rig.send_job_update(worker, &reference, "done", r#","result":"a chart""#);
        }
        assert!(clients.iter_mut().all(|client| client.read_response().status() == 200));
        let held = open_descriptors(&rig);
        assert!(held < DESCRIPTORS as usize - SPARE, "{held} are held behind {} jobs", (group + 1) * GROUP);
    }
    discovery.set_behaviour(Behaviour::Down);
    discovery.set_behaviour(Behaviour::Up);
    discovery.wait_until_known(discovery.list(&entries(&rig.workers[..1], "up")));
    assert_eq!(rig.serve_job("last", "quote"), 0);
    Some(())
}

/// Workers hang while many of their jobs are cancelled: as many calls to workers are open as are permitted, and discovery is
/// still called. Its calls used to count against the same limit.
#[test]
fn discovery_is_called_with_all_calls_to_workers_open() {
    common::retry_if_late(call_discovery_beside_silent_workers);
}

/// `None` if a job was cancelled because this machine was slow to accept it.
fn call_discovery_beside_silent_workers() -> Option<()> {
    let workers: Vec<Worker> = (0..CANCELLED_JOBS).map(|i| Worker::start(&format!("w{i}"))).collect();
    let discovery = Discovery::start(&entries(&workers, "up"), Behaviour::Up);
    let rig = start(workers, &discovery, String::new());
    discovery.wait_for_call(0, |call| call.path.contains("wait_ms=") && !call.path.contains("wait_ms=0"));
    // More jobs than calls may be open, all accepted; then the workers stop responding, and the clients disconnect.
    let mut clients: Vec<Client> = Vec::new();
    for i in 0..CANCELLED_JOBS {
        clients.push(rig.post(&format!("c{i}"), "quote", ""));
        let (_, request) = rig.next();
        if !request.message.start_line.starts_with("POST ") {
            return None;
        }
        request.respond("202 Accepted");
    }
    discovery.set_behaviour(Behaviour::Down);
    rig.process_pending_events();
    drop(clients);
    let _silent: Vec<_> = (0..MAX_CALLS)
        .map(|_| {
            let (_, request) = rig.next();
            assert!(request.message.start_line.starts_with("DELETE "), "{:?}", request.message);
            request
        })
        .collect();
    let before = discovery.calls().len();
    discovery.wait_for_call(before, |_| true);
    discovery.set_behaviour(Behaviour::Up);
    discovery.wait_until_known(discovery.list(&entries(&rig.workers, "draining")));
    let said = rig.take_log_lines();
    assert!(!said.iter().any(|line| line.contains("too many calls are out")), "{said:?}");
    Some(())
}
