//! Test harness: runs the program as a child process against simulated clients, workers and discovery. Every wait is for
//! an event that must occur; its time limit only keeps a failed test from hanging.
#![allow(dead_code)]

pub mod admin;
pub mod beanstalkd;
pub mod discovery;
pub mod faults;
pub mod replacement;
pub mod serving;

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

pub const SETTINGS: &str = r#"{"instances": 1, "discovery": "ask", "azs": ["a"], "skus": ["m"], "zone": 0,
 "classes": [
  {"name": "quote", "aim_ms": 500, "deadline_ms": 8000, "effect": "repeatable", "late_share": 0.5},
  {"name": "statement", "aim_ms": 500, "deadline_ms": 8000, "effect": "by_key", "group": "all", "key_ttl_ms": 9000, "late_share": 0.5},
  {"name": "order", "aim_ms": 500, "deadline_ms": 8000, "effect": "once", "late_share": 0.5}],
 "tenants": [{"name": "acme", "quota_per_s": 1000}],
 "allowed": {"max_attempts": 3, "cancel": true, "retry_after": true, "max_retry_after_ms": 2000.0,
  "most_held": 50, "keepalive_ms": 10000, "connect_timeout_ms": 1000},
 "specifics": {"class_stretch": [2, 2, 2], "tells_start": true}}"#;

/// An HTTP request or response as read from the socket.
#[derive(Debug)]
pub struct Message {
    /// Request line or status line.
    pub start_line: String,
    pub headers: HashMap<String, String>,
    pub body: String,
}

impl Message {
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status")
    }
}

/// Reads one message; `None` if the connection ends first.
pub fn read_message(stream: &mut impl BufRead) -> Option<Message> {
    let mut line = || {
        let mut line = String::new();
        (stream.read_line(&mut line).ok()? > 0).then(|| line.trim_end().to_owned())
    };
    let first = line()?;
    let mut headers = HashMap::new();
    loop {
        let line = line()?;
        let Some((name, value)) = line.split_once(':') else { break };
        headers.insert(name.to_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length").map_or(0, |l| l.parse().expect("a length"));
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(Message { start_line: first, headers, body: String::from_utf8(body).expect("text") })
}

pub fn write_message(stream: &mut TcpStream, first: &str, headers: &str, body: &str) {
    let text = format!("{first}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len());
    let _ = stream.write_all(text.as_bytes());
}

/// A request received by a worker, with the means to respond to it. Dropping it closes the connection.
pub struct WorkerRequest {
    pub message: Message,
    answer: Sender<String>,
}

impl WorkerRequest {
    pub fn respond(self, status: &str) {
        let _ = self.answer.send(format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n"));
    }

    /// Responds as a plain HTTP worker does, with the beginning of a body of `length` bytes or all of it.
    pub fn respond_with_body(self, beginning: &str, length: usize) {
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
        let _ = self.answer.send(head + beginning);
    }

    pub fn reference(&self) -> &str {
        &self.message.headers["x-call-id"]
    }
}

pub struct Worker {
    pub id: String,
    pub addr: SocketAddr,
    requests: Receiver<WorkerRequest>,
    /// Connections that are open now, and all connections accepted so far.
    pub open_connections: Arc<AtomicU32>,
    pub connections_accepted: Arc<AtomicU32>,
}

impl Worker {
    pub fn start(id: &str) -> Worker {
        let socket = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = socket.local_addr().expect("an address");
        let (sender, requests) = channel();
        let open = Arc::new(AtomicU32::new(0));
        let began = Arc::new(AtomicU32::new(0));
        let (count, total) = (open.clone(), began.clone());
        thread::spawn(move || {
            for stream in socket.incoming().flatten() {
                let (sender, count) = (sender.clone(), count.clone());
                count.fetch_add(1, Ordering::SeqCst);
                total.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().expect("a socket"));
                    let mut stream = stream;
                    while let Some(message) = read_message(&mut reader) {
                        let (answer, answers) = channel();
                        if sender.send(WorkerRequest { message, answer }).is_err() {
                            return;
                        }
                        let Ok(answer) = answers.recv() else { return };
                        let _ = stream.write_all(answer.as_bytes());
                    }
                    count.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        Worker { id: id.into(), addr, requests, open_connections: open, connections_accepted: began }
    }

    /// Waits for the next request.
    pub fn next(&self) -> WorkerRequest {
        self.requests.recv_timeout(WAIT_TIMEOUT).expect("the worker receives a request")
    }

    /// Waits for the next request without a time limit; `None` once the worker can no longer receive any.
    pub fn next_unless_closed(&self) -> Option<WorkerRequest> {
        self.requests.recv().ok()
    }

    pub fn has_no_request(&self) -> bool {
        self.requests.try_recv().is_err()
    }

    /// The request lines of all requests received and not yet read by the test.
    pub fn request_lines(&self) -> Vec<String> {
        self.requests.try_iter().map(|request| request.message.start_line).collect()
    }

    /// Whether the given job is among the requests received and not yet read by the test; discards them.
    pub fn has_received_job(&self, reference: &str) -> bool {
        let is_it = |request: &WorkerRequest| {
            let Message { start_line, headers, .. } = &request.message;
            start_line.starts_with("POST ") && headers.get("x-call-id").is_some_and(|id| id == reference)
        };
        self.requests.try_iter().filter(is_it).count() > 0
    }

    /// Answers the next pending request, if there is one, with 202; false if it was the given job.
    pub fn has_no_request_for(&self, reference: &str) -> bool {
        let Ok(request) = self.requests.try_recv() else { return true };
        let is_it = request.reference() == reference;
        request.respond("202 Accepted");
        !is_it
    }

    /// Waits for the next job request, answering health probes with 200.
    pub fn next_job_request(&self) -> WorkerRequest {
        loop {
            let request = self.next();
            if !request.message.start_line.starts_with("GET ") {
                return request;
            }
            request.respond("200 OK");
        }
    }

    /// Accepts the next job with 202 and returns its reference.
    pub fn accept_job(&self) -> String {
        let request = self.next();
        assert!(request.message.start_line.starts_with("POST "), "{:?}", request.message);
        let reference = request.reference().to_owned();
        request.respond("202 Accepted");
        reference
    }
}

/// The version of the worker list, its entries, the highest version that the program has acknowledged, and whether the
/// pending watch is to be left unanswered.
type DiscoveryState = Arc<(Mutex<(u64, String, u64, bool)>, Condvar)>;

/// A running program with its simulated peers.
pub struct Rig {
    child: Child,
    pub addr: SocketAddr,
    pub workers: Vec<Worker>,
    /// Ids and addresses of all workers in the list.
    listed: Vec<(String, SocketAddr)>,
    kind: &'static str,
    list: DiscoveryState,
    streams: DiscoveryStreams,
    dir: PathBuf,
    /// Log lines written after the program reported its addresses.
    log: Receiver<String>,
    pub beanstalkd_addr: Option<SocketAddr>,
    /// Addresses of the admin listener and of the peer socket, where they are enabled.
    pub admin: Option<SocketAddr>,
    pub peer: Option<SocketAddr>,
}

/// Optional parameters of a rig.
#[derive(Default)]
pub struct Setup<'a> {
    pub operator: Option<&'a str>,
    /// Additional keys of the platform's configuration, each followed by a comma.
    pub extra_config: String,
    /// Additional command-line arguments.
    pub args: Vec<String>,
    /// The workers' kind; `m` by default.
    pub kind: Option<&'static str>,
    /// A listening socket that the program inherits as descriptor 3, announced in `GW_FD`.
    pub inherit: Option<TcpListener>,
    /// Value of `LINEROUTE_TEST_STOPS`: the points at which the program stops.
    pub stops: &'a str,
    /// Address of discovery; by default the rig simulates it.
    pub discovery: Option<SocketAddr>,
    /// Starts the program without a worker list in its configuration.
    pub without_known_list: bool,
    /// Address of the client listener; by default a port chosen by the system.
    pub listen: Option<SocketAddr>,
    /// Called with the process id as soon as the process runs.
    pub on_start: Option<&'a dyn Fn(u32)>,
    /// Additional environment variables.
    pub environment: Vec<(String, String)>,
}

pub fn create_temp_dir() -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let name = format!("lineroute-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    let dir = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&dir).expect("a directory is created");
    dir
}

pub fn program() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lineroute"));
    command.env_clear().stderr(Stdio::piped()).stdin(Stdio::null());
    command
}

/// An unused address, on a loopback address that only this test process uses. An ephemeral port that was chosen
/// by the system and released could be taken by another test before it is bound.
pub fn unused_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let (process, number) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    let [_, _, high, low] = process.to_be_bytes();
    let port = 15_000 + (number / 200) as u16;
    ([127, 64 + high % 128, low, 1 + (number % 200) as u8], port).into()
}

/// Connections to the simulated discovery, kept so that a test can close them.
type DiscoveryStreams = Arc<Mutex<Vec<TcpStream>>>;

fn discovery(list: DiscoveryState, streams: DiscoveryStreams) -> SocketAddr {
    let socket = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = socket.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in socket.incoming().flatten() {
            let list = list.clone();
            streams.lock().expect("a lock").push(stream.try_clone().expect("a socket"));
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().expect("a socket"));
                let mut stream = stream;
                while let Some(asked) = read_message(&mut reader) {
                    let number = |name: &str| -> u64 {
                        let at = asked
                            .start_line
                            .find(name)
                            .map_or("0", |at| &asked.start_line[at + name.len()..]);
                        at.split(['&', ' ']).next().and_then(|n| n.parse().ok()).unwrap_or(0)
                    };
                    let (after, wait) = (number("after="), Duration::from_millis(number("wait_ms=")));
                    let mut state = list.0.lock().expect("a lock");
                    state.2 = state.2.max(after);
                    list.1.notify_all();
                    let old = |s: &mut (u64, String, u64, bool)| s.0 <= after && !s.3;
                    let (mut state, _) = list.1.wait_timeout_while(state, wait, old).expect("a lock");
                    if !wait.is_zero() && std::mem::take(&mut state.3) {
                        drop(state);
                        continue;
                    }
                    let (version, full) = (state.0, state.0 > after);
                    let servers = if full { state.1.clone() } else { String::new() };
                    drop(state);
                    let body = format!(r#"{{"version":{version},"full":{full},"servers":[{servers}]}}"#);
                    write_message(&mut stream, "HTTP/1.1 200 OK", "", &body);
                }
            });
        }
    });
    addr
}

impl Rig {
    /// Starts the program with the given number of workers, all up.
    pub fn start(workers: usize) -> Rig {
        Rig::with_settings(workers, SETTINGS, None)
    }

    /// Starts the program with the given number of workers, and waits until it has reported its addresses.
    pub fn with_settings(workers: usize, settings: &str, operator: Option<&str>) -> Rig {
        let workers: Vec<Worker> = (0..workers).map(|i| Worker::start(&format!("w{i}"))).collect();
        let listed = workers.iter().map(|w| (w.id.clone(), w.addr)).collect();
        let mut rig = Rig::with_worker_addrs(listed, settings, operator);
        rig.workers = workers;
        rig
    }

    /// Starts the program with workers at the given addresses.
    pub fn with_worker_addrs(
        listed: Vec<(String, SocketAddr)>,
        settings: &str,
        operator: Option<&str>,
    ) -> Rig {
        Rig::set_up(listed, settings, Setup { operator, ..Setup::default() })
    }

    /// Starts the program with workers of the given kind.
    pub fn with_worker_kind(
        listed: Vec<(String, SocketAddr)>,
        kind: &'static str,
        settings: &str,
        operator: &str,
    ) -> Rig {
        let setup = Setup { operator: Some(operator), kind: Some(kind), ..Setup::default() };
        Rig::set_up(listed, settings, setup)
    }

    pub fn set_up(listed: Vec<(String, SocketAddr)>, settings: &str, setup: Setup) -> Rig {
        let list: DiscoveryState = Arc::new((Mutex::new((1, String::new(), 0, false)), Condvar::new()));
        let streams = DiscoveryStreams::default();
        let discovery = setup.discovery.unwrap_or_else(|| discovery(list.clone(), streams.clone()));
        let (dir, kind, on_start) = (create_temp_dir(), setup.kind.unwrap_or("m"), setup.on_start);
        let setup = Setup { discovery: Some(discovery), ..setup };
        let mut child = command(&dir, &listed, settings, setup).spawn().expect("the program starts");
        on_start.iter().for_each(|told| told(child.id()));
        let mut lines = BufReader::new(child.stderr.take().expect("piped")).lines();
        let (mut beanstalkd_addr, mut admin, mut peer, mut said) = (None, None, None, String::new());
        // Each listener logs its address; the platform's listener comes last.
        let addr = loop {
            let line =
                lines.next().unwrap_or_else(|| panic!("the program does not start: {said}")).expect("text");
            said += &line;
            let addr = line.rsplit_once("addr=").and_then(|(_, a)| a.parse().ok());
            if line.contains("listens to beanstalkd clients") {
                beanstalkd_addr = addr;
            } else if line.contains("admin listens") {
                admin = addr;
            } else if line.contains("talks with peers") {
                let words = line.split_once("addr=").and_then(|(_, a)| a.split(' ').next());
                peer = words.and_then(|a| a.parse().ok());
            } else if line.contains(": listens ") {
                break addr.unwrap_or_else(|| panic!("{line}"));
            }
        };
        let (sender, log) = channel();
        thread::spawn(move || lines.map_while(Result::ok).all(|line| sender.send(line).is_ok()));
        Rig {
            child,
            addr,
            workers: Vec::new(),
            listed,
            kind,
            list,
            streams,
            dir,
            log,
            beanstalkd_addr,
            admin,
            peer,
        }
    }

    /// Publishes a new worker list with the given states, and waits until the program has acknowledged it.
    pub fn list(&self, states: &[&str]) {
        let servers: Vec<String> =
            self.listed.iter().zip(states).map(|(w, s)| entry(w, self.kind, s)).collect();
        let mut state = self.list.0.lock().expect("a lock");
        *state = (state.0 + 1, servers.join(","), state.2, state.3);
        self.list.1.notify_all();
        let unknown = |s: &mut (u64, String, u64, bool)| s.2 < s.0;
        let (_state, waited) = self.list.1.wait_timeout_while(state, WAIT_TIMEOUT, unknown).expect("a lock");
        assert!(!waited.timed_out(), "the program does not acknowledge the list");
    }

    /// Publishes a new worker list without waiting for an acknowledgement, for a paused program.
    pub fn list_without_waiting(&self, states: &[&str]) {
        let servers: Vec<String> =
            self.listed.iter().zip(states).map(|(w, s)| entry(w, self.kind, s)).collect();
        let mut state = self.list.0.lock().expect("a lock");
        *state = (state.0 + 1, servers.join(","), state.2, state.3);
        self.list.1.notify_all();
    }

    /// Waits until the program has acknowledged this version.
    pub fn wait_until_known(&self, version: u64) {
        let state = self.list.0.lock().expect("a lock");
        let unknown = |s: &mut (u64, String, u64, bool)| s.2 < version;
        let (_state, waited) = self.list.1.wait_timeout_while(state, WAIT_TIMEOUT, unknown).expect("a lock");
        assert!(!waited.timed_out(), "the program does not acknowledge the list");
    }

    /// Simulates a restart of discovery without persisted state: versions start from 1 again, with the given states.
    pub fn restart_discovery(&self, states: &[&str]) {
        let servers: Vec<String> =
            self.listed.iter().zip(states).map(|(w, s)| entry(w, self.kind, s)).collect();
        *self.list.0.lock().expect("a lock") = (1, servers.join(","), 0, false);
        self.list.1.notify_all();
    }

    /// Gives a worker another address in the lists published from now on.
    pub fn move_worker(&mut self, worker: usize, to: Worker) {
        self.listed[worker].1 = to.addr;
        self.workers[worker] = to;
    }

    /// Replaces one of the operator's files and has it reloaded.
    pub fn reload_file(&self, file: &std::path::Path, text: &str) {
        std::fs::write(file, text).expect("a file");
        self.signal("-HUP");
        self.wait_for_log("SIGHUP");
    }

    /// Waits for the next request to any worker; returns the worker's index and the request.
    pub fn next(&self) -> (usize, WorkerRequest) {
        let until = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < until {
            let request =
                self.workers.iter().enumerate().find_map(|(i, w)| Some((i, w.requests.try_recv().ok()?)));
            match request {
                Some(request) => return request,
                None => thread::sleep(Duration::from_millis(1)),
            }
        }
        panic!("no worker receives a request")
    }

    pub fn connect(&self) -> Client {
        Client::new(self.addr)
    }

    /// Sends a job without waiting for the response.
    pub fn post(&self, reference: &str, class: &str, more: &str) -> Client {
        let mut client = self.connect();
        client.post(reference, class, more);
        client
    }

    /// Has one job served by the worker that receives it, and returns that worker's index.
    pub fn serve_job(&self, reference: &str, class: &str) -> usize {
        let mut client = self.post(reference, class, "");
        let (worker, request) = self.next();
        assert_eq!(
            request.message.headers.get("x-call-id").map(String::as_str),
            Some(reference),
            "{:?}",
            request.message
        );
        request.respond("202 Accepted");
        self.send_job_update(worker, reference, "done", r#","result":"a chart""#);
        assert_eq!(client.read_response().status(), 200);
        worker
    }

    /// Sends a job status update from a worker.
    pub fn send_job_update(&self, worker: usize, reference: &str, state: &str, more: &str) {
        self.send_job_update_from(&self.workers[worker].id, reference, state, more);
    }

    /// Sends a job status update from the worker with the given id.
    pub fn send_job_update_from(&self, id: &str, reference: &str, state: &str, more: &str) {
        let body = format!(r#"{{"id":"{reference}","from":"{id}","state":"{state}"{more}}}"#);
        let mut client = self.connect();
        client.send("POST /_jobs/news", "", &body);
        assert_eq!(client.read_response().status(), 200);
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    fn signal(&self, name: &str) {
        signal(self.child.id(), name);
    }

    /// Suspends the process with SIGSTOP; input that arrives meanwhile is all pending when it resumes.
    pub fn pause(&self) {
        self.signal("-STOP");
        self.wait_until_paused();
    }

    /// Waits until the process is suspended.
    pub fn wait_until_paused(&self) {
        let state = || process_state(self.child.id());
        let until = Instant::now() + WAIT_TIMEOUT;
        while state() != Some('T') {
            // State Z: the process has exited; its last log lines tell why.
            let said = || self.log.try_iter().collect::<Vec<_>>().join("\n");
            assert!(Instant::now() < until, "the process is not suspended: {:?}\n{}", state(), said());
            thread::sleep(Duration::from_millis(1));
        }
    }

    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Returns once the program has processed all input that had arrived before the call.
    pub fn process_pending_events(&self) {
        let mut client = self.connect();
        // The first request may be read directly on accept; the second needs a full poll of pending events.
        for _ in 0..2 {
            client.send("GET /up", "", "");
            if client.try_read_response().is_none_or(|answer| answer.headers.contains_key("connection")) {
                break;
            }
        }
        // Resetting avoids thousands of TIME_WAIT entries in the kernel's connection table, which other tests read.
        client.reset();
    }

    /// Replaces the configuration by one with another discovery address and sends SIGHUP, without waiting.
    pub fn reload_with_discovery(&self, discovery: SocketAddr) {
        let config = config(&self.listed, self.kind, discovery, SETTINGS, true);
        std::fs::write(self.dir.join("config.json"), config).expect("a file");
        self.signal("-HUP");
    }

    /// Replaces the configuration and sends SIGHUP; returns the log line that reports the reload.
    pub fn reload(&self, config: &str) -> String {
        std::fs::write(self.dir.join("config.json"), config).expect("a file");
        self.signal("-HUP");
        self.wait_for_log("SIGHUP")
    }

    /// Closes all connections to discovery.
    pub fn close_discovery_connections(&self) {
        for stream in self.streams.lock().expect("a lock").drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Leaves the pending watch, or else the next one, unanswered.
    pub fn silence_discovery(&self) {
        self.list.0.lock().expect("a lock").3 = true;
    }

    /// Moves discovery to a new address, where versions start again and the workers have the given states.
    pub fn move_discovery(&mut self, states: &[&str]) {
        self.list = Arc::new((Mutex::new((0, String::new(), 0, false)), Condvar::new()));
        self.reload(&config(
            &self.listed,
            self.kind,
            discovery(self.list.clone(), self.streams.clone()),
            SETTINGS,
            true,
        ));
        self.list(states);
    }

    /// Waits for the program to exit on its own.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let until = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < until {
            if let Some(status) = self.child.try_wait().expect("a child") {
                return status;
            }
            thread::sleep(Duration::from_millis(5));
        }
        panic!("the program does not exit");
    }

    /// Waits for the next log line that contains the given text.
    pub fn wait_for_log(&self, words: &str) -> String {
        loop {
            let line = self.log.recv_timeout(WAIT_TIMEOUT).expect("a line of the log");
            if line.contains(words) {
                return line;
            }
        }
    }

    /// All log lines received and not yet read.
    pub fn take_log_lines(&self) -> Vec<String> {
        self.log.try_iter().collect()
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("a child").is_none()
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// The command that runs the program, with its configuration files written to `dir`.
pub fn command(
    dir: &std::path::Path,
    listed: &[(String, SocketAddr)],
    settings: &str,
    setup: Setup,
) -> Command {
    let Setup {
        operator,
        extra_config,
        args,
        kind,
        inherit,
        stops,
        discovery,
        without_known_list,
        listen,
        environment,
        ..
    } = setup;
    let (kind, discovery) = (kind.unwrap_or("m"), discovery.expect("an address of discovery"));
    let mut config = config(listed, kind, discovery, settings, !extra_config.contains("limits")).replacen(
        '{',
        &format!("{{{extra_config}"),
        1,
    );
    if without_known_list {
        config = config.replacen("\"known\"", "\"known_before\"", 1);
    }
    std::fs::write(dir.join("config.json"), config).expect("a file");
    let mut command = program();
    command.env("GW_CONFIG", dir.join("config.json")).env("GW_DISCOVERY", discovery.to_string());
    command.env("LINEROUTE_TEST_STOPS", stops).envs(environment);
    command.envs(listen.map(|at| ("GW_LISTEN", at.to_string())));
    if let Some(operator) = operator {
        std::fs::write(dir.join("operator.json"), operator).expect("a file");
        command.arg("--operator").arg(dir.join("operator.json"));
    }
    if let Some(socket) = inherit {
        // GW_LISTEN names the address of the inherited socket too: an attempt to bind it would fail.
        let at = socket.local_addr().expect("an address");
        command.env("GW_FD", "3").env("GW_LISTEN", at.to_string());
        let mapping = command_fds::FdMapping { parent_fd: socket.into(), child_fd: 3 };
        command_fds::CommandFdExt::fd_mappings(&mut command, vec![mapping]).expect("no collision");
    }
    command.args(args);
    command
}

fn config(
    listed: &[(String, SocketAddr)],
    kind: &str,
    discovery: SocketAddr,
    settings: &str,
    small: bool,
) -> String {
    let limits = if small { r#""limits":{"memory_mb":32,"sockets":256},"# } else { "" };
    let servers: Vec<String> = listed.iter().map(|w| entry(w, kind, "up")).collect();
    format!(
        r#"{{"listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f","settings":{settings},
         {limits}
         "known":{{"version":1,"full":true,"servers":[{}]}}}}"#,
        servers.join(",")
    )
}

fn entry((id, addr): &(String, SocketAddr), kind: &str, state: &str) -> String {
    format!(
        r#"{{"id":"{id}","addr":"{addr}","zone":"a","kind":"{kind}","cell":0,"state":"{state}","started_ms":0}}"#
    )
}

/// Repeats a scenario while its simulated workers miss a time limit, up to five times: on an overloaded machine a worker may be
/// told that a job is cancelled before it has read the job. The scenario returns `None` if it was late.
pub fn retry_if_late(scenario: impl Fn() -> Option<()>) {
    assert!((0..5).any(|_| scenario().is_some()), "the scenario was late in each of 5 attempts");
}

/// The process state in `/proc/PID/stat`: `T` is suspended, `Z` has exited.
pub fn process_state(pid: u32) -> Option<char> {
    std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?.rsplit_once(") ")?.1.chars().next()
}

/// Sends a signal to a process.
pub fn signal(pid: u32, name: &str) {
    assert!(Command::new("kill").args([name, &pid.to_string()]).status().expect("kill runs").success());
}

/// Waits for a condition that must become true.
pub fn wait_until(what: &str, mut is_so: impl FnMut() -> bool) {
    let until = Instant::now() + WAIT_TIMEOUT;
    while !is_so() {
        assert!(Instant::now() < until, "timed out waiting: {what}");
        thread::sleep(Duration::from_millis(1));
    }
}

/// Whether the connection is in state ESTABLISHED at its first end.
pub fn is_established((own, peer): (SocketAddr, SocketAddr)) -> bool {
    let words = format!(":{:04X} 0100007F:{:04X} 01 ", own.port(), peer.port());
    std::fs::read_to_string("/proc/net/tcp").expect("a table").contains(&words)
}

/// A listener whose backlog is full: connections are not established until `accept_next` is called.
pub struct BlockedListener {
    socket: socket2::Socket,
    pub addr: SocketAddr,
    queue_fillers: Vec<TcpStream>,
}

impl BlockedListener {
    /// Listens with a minimal backlog and fills it, so that further SYNs are not answered.
    pub fn start() -> BlockedListener {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        socket.bind(&any.into()).expect("a port");
        socket.listen(0).expect("the listener accepts");
        socket.set_read_timeout(Some(WAIT_TIMEOUT)).expect("the time-out is set");
        let addr = socket.local_addr().ok().and_then(|a| a.as_socket()).expect("an address");
        let mut fillers = Vec::new();
        while let Ok(filler) = TcpStream::connect_timeout(&addr, Duration::from_millis(200)) {
            fillers.push(filler);
        }
        BlockedListener { socket, addr, queue_fillers: fillers }
    }

    /// Number of connections in state SYN_SENT.
    pub fn pending_connections(&self) -> usize {
        let port = format!(":{:04X} 02 ", self.addr.port());
        std::fs::read_to_string("/proc/net/tcp")
            .expect("a table")
            .lines()
            .filter(|l| l.contains(&port))
            .count()
    }

    /// Accepts the next connection behind those that filled the backlog.
    pub fn accept_next(&mut self) -> TcpStream {
        // A filler that only its own side considers connected may be established after the awaited connection.
        let fillers: Vec<SocketAddr> =
            self.queue_fillers.iter().map(|filler| filler.local_addr().expect("an address")).collect();
        let stream = loop {
            match self.socket.accept() {
                Ok((_, peer)) if peer.as_socket().is_some_and(|peer| fillers.contains(&peer)) => {}
                Ok((stream, _)) => break TcpStream::from(stream),
                // Interrupted by a signal: accept again.
                Err(e) => assert_eq!(e.kind(), std::io::ErrorKind::Interrupted, "a connection: {e}"),
            }
        };
        self.queue_fillers.clear();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("the time-out is set");
        stream
    }
}

/// A client's connection.
pub struct Client {
    reader: BufReader<TcpStream>,
    stream: TcpStream,
}

impl Client {
    pub fn new(addr: SocketAddr) -> Client {
        Client::from_stream(TcpStream::connect(addr).expect("the listener accepts"))
    }

    pub fn from_stream(stream: TcpStream) -> Client {
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("the time-out is set");
        Client { reader: BufReader::new(stream.try_clone().expect("a socket")), stream }
    }

    pub fn send(&mut self, first: &str, headers: &str, body: &str) {
        write_message(
            &mut self.stream,
            &format!("{first} HTTP/1.1"),
            &format!("Host: app.svc\r\n{headers}"),
            body,
        );
    }

    /// Polls `/up` until the program reports that it is up: its worker list is confirmed, or the wait for one has timed out.
    pub fn wait_until_up(&mut self) {
        wait_until("the program reports that it is up", || {
            self.send("GET /up", "", "");
            self.read_response().status() == 200
        });
    }

    pub fn post(&mut self, reference: &str, class: &str, more: &str) {
        let headers = format!("X-Call-Id: {reference}\r\nX-Call-Class: {class}\r\nX-Caller: acme\r\n{more}");
        self.send("POST /api", &headers, "payload");
    }

    /// Shuts down the sending direction; responses can still be read.
    pub fn half_close(&self) {
        self.stream.shutdown(std::net::Shutdown::Write).expect("a connection");
    }

    /// Closes the connection with a reset.
    pub fn reset(self) {
        socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)).expect("a socket");
    }

    pub fn write(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes);
    }

    /// Writes in pieces of `size` bytes, each as a segment of its own.
    pub fn write_in_pieces(&mut self, bytes: &[u8], size: usize) {
        self.stream.set_nodelay(true).expect("a socket");
        bytes.chunks(size).for_each(|piece| self.write(piece));
    }

    pub fn read_response(&mut self) -> Message {
        read_message(&mut self.reader).expect("an answer")
    }

    /// Reads a response; `None` if the connection ends first.
    pub fn try_read_response(&mut self) -> Option<Message> {
        read_message(&mut self.reader)
    }

    /// The local address and the program's.
    pub fn addresses(&self) -> (SocketAddr, SocketAddr) {
        (self.addr(), self.stream.peer_addr().expect("a connection"))
    }

    pub fn addr(&self) -> SocketAddr {
        self.stream.local_addr().expect("an address")
    }

    /// Number of bytes that the program has not read; `None` if its end of the connection is gone.
    pub fn unread_bytes(&self) -> Option<usize> {
        let (own, peer) = (self.addr(), self.stream.peer_addr().ok()?);
        let words = format!("0100007F:{:04X} 0100007F:{:04X} ", peer.port(), own.port());
        let table = std::fs::read_to_string("/proc/net/tcp").expect("a table");
        let line = table.lines().find(|l| l.contains(&words))?;
        let queues = line.split_whitespace().nth(4)?;
        usize::from_str_radix(queues.split_once(':')?.1, 16).ok()
    }

    /// Whether no data has arrived and the program has not closed the connection.
    pub fn is_unanswered(&self) -> bool {
        self.stream.set_nonblocking(true).expect("a socket");
        let peeked = self.stream.peek(&mut [0]);
        self.stream.set_nonblocking(false).expect("a socket");
        self.reader.buffer().is_empty() && peeked.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// Waits for a message or the end of the connection; true if the program closed it.
    pub fn is_closed_by_peer(&mut self) -> bool {
        read_message(&mut self.reader).is_none()
    }

    /// Reads a line, without its CRLF.
    pub fn read_line(&mut self) -> String {
        let mut line = String::new();
        self.reader.read_line(&mut line).expect("a line in time");
        assert!(line.ends_with("\r\n"), "{line:?}");
        line.truncate(line.len() - 2);
        line
    }

    /// Sends a command line and returns the reply line.
    pub fn command(&mut self, line: &str) -> String {
        self.write(format!("{line}\r\n").as_bytes());
        self.read_line()
    }

    /// Reserves a job and returns its id and body.
    pub fn reserve(&mut self) -> (u64, String) {
        let reply = self.command("reserve-with-timeout 20");
        let mut words = reply.split(' ').skip(1).map(|w| w.parse::<u64>());
        let (Some(Ok(id)), Some(Ok(size))) = (words.next(), words.next()) else { panic!("{reply}") };
        let body = self.read_text(size as usize);
        assert_eq!(self.read_line(), "");
        (id, body)
    }

    pub fn read_text(&mut self, count: usize) -> String {
        let mut bytes = vec![0; count];
        self.reader.read_exact(&mut bytes).expect("the announced number of bytes");
        String::from_utf8(bytes).expect("text")
    }
}
