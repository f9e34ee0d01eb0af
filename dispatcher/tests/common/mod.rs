//! The program as a process, and its peers as the tests play them: clients, workers, discovery. Every wait
//! is for something that must come, with a limit only against hanging.
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

/// A message as it came over the socket.
#[derive(Debug)]
pub struct Message {
    /// The first line.
    pub start_line: String,
    pub headers: HashMap<String, String>,
    pub body: String,
}

impl Message {
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status")
    }
}

/// Reads one message; nothing where the connection ends.
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

/// What came to a worker, and the say in what it answers. Dropped, it ends the connection.
pub struct WorkerRequest {
    pub message: Message,
    answer: Sender<String>,
}

impl WorkerRequest {
    pub fn respond(self, status: &str) {
        let _ = self.answer.send(format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n"));
    }

    pub fn reference(&self) -> &str {
        &self.message.headers["x-call-id"]
    }
}

pub struct Worker {
    pub id: String,
    pub addr: SocketAddr,
    seen: Receiver<WorkerRequest>,
    /// Connections that are open to it, and how many ever were.
    pub open_connections: Arc<AtomicU32>,
    pub connections_accepted: Arc<AtomicU32>,
}

impl Worker {
    pub fn start(id: &str) -> Worker {
        let socket = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = socket.local_addr().expect("an address");
        let (sender, seen) = channel();
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
        Worker { id: id.into(), addr, seen, open_connections: open, connections_accepted: began }
    }

    /// The next request that comes here.
    pub fn next(&self) -> WorkerRequest {
        self.seen.recv_timeout(WAIT_TIMEOUT).expect("the worker is asked for something")
    }

    /// The same; nothing once nobody can come any more.
    pub fn next_unless_closed(&self) -> Option<WorkerRequest> {
        self.seen.recv().ok()
    }

    pub fn has_no_request(&self) -> bool {
        self.seen.try_recv().is_err()
    }

    /// The first lines of all that has come.
    pub fn request_lines(&self) -> Vec<String> {
        self.seen.try_iter().map(|seen| seen.message.start_line).collect()
    }

    /// Whether that job is among what has come and was not taken up yet.
    pub fn has_received_job(&self, reference: &str) -> bool {
        let is_it = |seen: &WorkerRequest| {
            let Message { start_line, headers, .. } = &seen.message;
            start_line.starts_with("POST ") && headers.get("x-call-id").is_some_and(|id| id == reference)
        };
        self.seen.try_iter().filter(is_it).count() > 0
    }

    /// Takes what has come, if anything has; true unless it is that job, which is then taken with 202.
    pub fn has_no_request_for(&self, reference: &str) -> bool {
        let Ok(seen) = self.seen.try_recv() else { return true };
        let is_it = seen.reference() == reference;
        seen.respond("202 Accepted");
        !is_it
    }

    /// The next request of a job: probes are answered meanwhile.
    pub fn next_job_request(&self) -> WorkerRequest {
        loop {
            let seen = self.next();
            if !seen.message.start_line.starts_with("GET ") {
                return seen;
            }
            seen.respond("200 OK");
        }
    }

    /// Takes a job with 202 and gives its reference.
    pub fn accept_job(&self) -> String {
        let seen = self.next();
        assert!(seen.message.start_line.starts_with("POST "), "{:?}", seen.message);
        let reference = seen.reference().to_owned();
        seen.respond("202 Accepted");
        reference
    }
}

/// The version of the list, its servers, the version that the program has last said it knows, and whether the
/// call that waits is never answered.
type DiscoveryState = Arc<(Mutex<(u64, String, u64, bool)>, Condvar)>;

/// A running program with its peers.
pub struct Rig {
    child: Child,
    pub addr: SocketAddr,
    pub workers: Vec<Worker>,
    /// Names and addresses of all that is listed.
    listed: Vec<(String, SocketAddr)>,
    kind: &'static str,
    list: DiscoveryState,
    streams: DiscoveryStreams,
    dir: PathBuf,
    /// What it wrote to the log after its addresses.
    log: Receiver<String>,
    pub beanstalkd_addr: Option<SocketAddr>,
    /// The admin listener and the socket of the talk with peers, where they are on.
    pub admin: Option<SocketAddr>,
    pub peer: Option<SocketAddr>,
}

/// What a rig may be given beside its workers and settings.
#[derive(Default)]
pub struct Setup<'a> {
    pub operator: Option<&'a str>,
    /// Further keys of the platform's configuration, each followed by a comma.
    pub more: String,
    /// Further arguments of the program.
    pub args: Vec<String>,
    /// The workers' kind, where it is not the usual one.
    pub kind: Option<&'static str>,
    /// A listening socket that the program inherits as descriptor 3, named in `GW_FD`.
    pub inherit: Option<TcpListener>,
    /// Points at which the program stops, as `LINEROUTE_TEST_STOPS` names them.
    pub stops: &'a str,
    /// Where discovery is, if not the usual stand-in.
    pub discovery: Option<SocketAddr>,
    /// The program is told no list at its start.
    pub without_known_list: bool,
    /// Where the clients' socket is bound, if not at a port that the system chooses.
    pub listen: Option<SocketAddr>,
    /// Called with the number of the process as soon as it runs.
    pub on_start: Option<&'a dyn Fn(u32)>,
    /// Further variables of the program's environment.
    pub environment: Vec<(String, String)>,
}

pub fn create_temp_dir() -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let name = format!("lineroute-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    let dir = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&dir).expect("a folder");
    dir
}

pub fn program() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lineroute"));
    command.env_clear().stderr(Stdio::piped()).stdin(Stdio::null());
    command
}

/// Streams of discovery, to be ended from outside.
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
    /// The program with so many workers, all up.
    pub fn start(workers: usize) -> Rig {
        Rig::with(workers, SETTINGS, None)
    }

    /// Waits until the program knows the workers, and has its addresses.
    pub fn with(workers: usize, settings: &str, operator: Option<&str>) -> Rig {
        let workers: Vec<Worker> = (0..workers).map(|i| Worker::start(&format!("w{i}"))).collect();
        let listed = workers.iter().map(|w| (w.id.clone(), w.addr)).collect();
        let mut rig = Rig::of(listed, settings, operator);
        rig.workers = workers;
        rig
    }

    /// The program with whatever is at these addresses as its workers.
    pub fn of(listed: Vec<(String, SocketAddr)>, settings: &str, operator: Option<&str>) -> Rig {
        Rig::set_up(listed, settings, Setup { operator, ..Setup::default() })
    }

    /// Workers of another kind than the usual one.
    pub fn of_kind(
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
        // Each listener tells its address; the platform's is the last.
        let addr = loop {
            let line = lines.next().unwrap_or_else(|| panic!("it does not start: {said}")).expect("text");
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

    /// Lists the workers anew, each in the state given, and waits until the program knows.
    pub fn list(&self, states: &[&str]) {
        let servers: Vec<String> =
            self.listed.iter().zip(states).map(|(w, s)| entry(w, self.kind, s)).collect();
        let mut state = self.list.0.lock().expect("a lock");
        *state = (state.0 + 1, servers.join(","), state.2, state.3);
        self.list.1.notify_all();
        let unknown = |s: &mut (u64, String, u64, bool)| s.2 < s.0;
        let (_state, waited) = self.list.1.wait_timeout_while(state, WAIT_TIMEOUT, unknown).expect("a lock");
        assert!(!waited.timed_out(), "the list is not asked for");
    }

    /// Lists the workers anew, and waits for nobody: for a program that stands still.
    pub fn list_without_waiting(&self, states: &[&str]) {
        let servers: Vec<String> =
            self.listed.iter().zip(states).map(|(w, s)| entry(w, self.kind, s)).collect();
        let mut state = self.list.0.lock().expect("a lock");
        *state = (state.0 + 1, servers.join(","), state.2, state.3);
        self.list.1.notify_all();
    }

    /// Waits until the program has said that it knows this version.
    pub fn wait_until_known(&self, version: u64) {
        let state = self.list.0.lock().expect("a lock");
        let unknown = |s: &mut (u64, String, u64, bool)| s.2 < version;
        let (_state, waited) = self.list.1.wait_timeout_while(state, WAIT_TIMEOUT, unknown).expect("a lock");
        assert!(!waited.timed_out(), "the list is not asked for");
    }

    /// Discovery starts anew with these states, and counts from one again: it has forgotten what it said before.
    pub fn restart_discovery(&self, states: &[&str]) {
        let servers: Vec<String> =
            self.listed.iter().zip(states).map(|(w, s)| entry(w, self.kind, s)).collect();
        *self.list.0.lock().expect("a lock") = (1, servers.join(","), 0, false);
        self.list.1.notify_all();
    }

    /// Moves a worker to another address, for the lists that follow.
    pub fn move_worker(&mut self, worker: usize, to: Worker) {
        self.listed[worker].1 = to.addr;
        self.workers[worker] = to;
    }

    /// Replaces a file of the operator's and has it read.
    pub fn reload_file(&self, file: &std::path::Path, text: &str) {
        std::fs::write(file, text).expect("a file");
        self.signal("-HUP");
        self.wait_for_log("SIGHUP");
    }

    /// The next request that comes to any worker, and to which.
    pub fn next(&self) -> (usize, WorkerRequest) {
        let until = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < until {
            let seen = self.workers.iter().enumerate().find_map(|(i, w)| Some((i, w.seen.try_recv().ok()?)));
            match seen {
                Some(seen) => return seen,
                None => thread::sleep(Duration::from_millis(1)),
            }
        }
        panic!("no worker is asked for anything")
    }

    pub fn connect(&self) -> Client {
        Client::new(self.addr)
    }

    /// Sends a job and leaves the answer for later.
    pub fn post(&self, reference: &str, class: &str, more: &str) -> Client {
        let mut client = self.connect();
        client.post(reference, class, more);
        client
    }

    /// A job, served by whoever gets it: who that was.
    pub fn serve_job(&self, reference: &str, class: &str) -> usize {
        let mut client = self.post(reference, class, "");
        let (worker, seen) = self.next();
        assert_eq!(
            seen.message.headers.get("x-call-id").map(String::as_str),
            Some(reference),
            "{:?}",
            seen.message
        );
        seen.respond("202 Accepted");
        self.send_job_update(worker, reference, "done", r#","result":"a chart""#);
        assert_eq!(client.read_response().status(), 200);
        worker
    }

    /// A worker's call.
    pub fn send_job_update(&self, worker: usize, reference: &str, state: &str, more: &str) {
        self.send_job_update_from(&self.workers[worker].id, reference, state, more);
    }

    /// The same by the worker's name.
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

    /// Stops the program where it stands; what comes meanwhile, it finds all at once.
    pub fn pause(&self) {
        self.signal("-STOP");
        self.wait_until_paused();
    }

    /// Waits until it stands still.
    pub fn wait_until_paused(&self) {
        let state = || process_state(self.child.id());
        let until = Instant::now() + WAIT_TIMEOUT;
        while state() != Some('T') {
            // Z: it has ended; what it said last tells why.
            let said = || self.log.try_iter().collect::<Vec<_>>().join("\n");
            assert!(Instant::now() < until, "it does not stand still: {:?}\n{}", state(), said());
            thread::sleep(Duration::from_millis(1));
        }
    }

    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Has the program take a turn: whatever had come to it before is heeded when this returns.
    pub fn process_pending_events(&self) {
        let mut client = self.connect();
        // The first may be read as soon as it is accepted; the second takes a look at all that has come.
        for _ in 0..2 {
            client.send("GET /up", "", "");
            if client.try_read_response().is_none_or(|answer| answer.headers.contains_key("connection")) {
                break;
            }
        }
        // Thousands of these would fill the kernel's table of connections, which other tests read.
        client.reset();
    }

    /// Replaces the configuration by one with another discovery, and says so; nothing is waited for.
    pub fn reload_with_discovery(&self, discovery: SocketAddr) {
        let config = config(&self.listed, self.kind, discovery, SETTINGS, true);
        std::fs::write(self.dir.join("config.json"), config).expect("a file");
        self.signal("-HUP");
    }

    /// Replaces the configuration by this text, and says so; what the program says.
    pub fn reload(&self, config: &str) -> String {
        std::fs::write(self.dir.join("config.json"), config).expect("a file");
        self.signal("-HUP");
        self.wait_for_log("SIGHUP")
    }

    /// Ends all connections to discovery.
    pub fn close_discovery_connections(&self) {
        for stream in self.streams.lock().expect("a lock").drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Leaves the call that waits, or the next one, without an answer.
    pub fn silence_discovery(&self) {
        self.list.0.lock().expect("a lock").3 = true;
    }

    /// Moves discovery to a new address, where versions begin anew and the workers are in the states given.
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

    /// Waits for the program to end by itself.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let until = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < until {
            if let Some(status) = self.child.try_wait().expect("a child") {
                return status;
            }
            thread::sleep(Duration::from_millis(5));
        }
        panic!("the program goes on");
    }

    /// The next line of the log that holds these words.
    pub fn wait_for_log(&self, words: &str) -> String {
        loop {
            let line = self.log.recv_timeout(WAIT_TIMEOUT).expect("a line of the log");
            if line.contains(words) {
                return line;
            }
        }
    }

    /// All lines of the log that have come and were not read yet.
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

/// The program as a command, with its files in a folder.
pub fn command(
    dir: &std::path::Path,
    listed: &[(String, SocketAddr)],
    settings: &str,
    setup: Setup,
) -> Command {
    let Setup {
        operator,
        more,
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
    let (kind, discovery) = (kind.unwrap_or("m"), discovery.expect("discovery is somewhere"));
    let mut config = config(listed, kind, discovery, settings, !more.contains("limits")).replacen(
        '{',
        &format!("{{{more}"),
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
        // Its own address is given as the one to listen at too: a bind of it would fail.
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

/// Tries until the stand-ins of a test were in time for what workers have a time for: on a machine with too much to do one
/// may be told that a job is given up before it has so much as read it. `None`: it was late.
pub fn retry_if_late(scenario: impl Fn() -> Option<()>) {
    assert!((0..5).any(|_| scenario().is_some()), "late each time");
}

/// What a process is at, as the kernel says: `T`, it stands still; `Z`, it has ended.
pub fn process_state(pid: u32) -> Option<char> {
    std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?.rsplit_once(") ")?.1.chars().next()
}

/// Sends a process a signal.
pub fn signal(pid: u32, name: &str) {
    assert!(Command::new("kill").args([name, &pid.to_string()]).status().expect("kill runs").success());
}

/// Waits for what must come.
pub fn wait_until(what: &str, mut is_so: impl FnMut() -> bool) {
    let until = Instant::now() + WAIT_TIMEOUT;
    while !is_so() {
        assert!(Instant::now() < until, "in vain: {what}");
        thread::sleep(Duration::from_millis(1));
    }
}

/// Whether a connection stands at its first end, and has not been ended there.
pub fn is_established((own, peer): (SocketAddr, SocketAddr)) -> bool {
    let words = format!(":{:04X} 0100007F:{:04X} 01 ", own.port(), peer.port());
    std::fs::read_to_string("/proc/net/tcp").expect("a table").contains(&words)
}

/// An address where connections don't come up until they are let in.
pub struct BlockedListener {
    socket: socket2::Socket,
    pub addr: SocketAddr,
    queue_fillers: Vec<TcpStream>,
}

impl BlockedListener {
    /// Its queue of connections is short, and full: further ones are not answered.
    pub fn start() -> BlockedListener {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        socket.bind(&any.into()).expect("a port");
        socket.listen(0).expect("it listens");
        socket.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a time-out");
        let addr = socket.local_addr().ok().and_then(|a| a.as_socket()).expect("an address");
        let mut fillers = Vec::new();
        while let Ok(filler) = TcpStream::connect_timeout(&addr, Duration::from_millis(200)) {
            fillers.push(filler);
        }
        BlockedListener { socket, addr, queue_fillers: fillers }
    }

    /// How many connections wait to come up.
    pub fn pending_connections(&self) -> usize {
        let port = format!(":{:04X} 02 ", self.addr.port());
        std::fs::read_to_string("/proc/net/tcp")
            .expect("a table")
            .lines()
            .filter(|l| l.contains(&port))
            .count()
    }

    /// Lets the next one in, behind those that filled the queue.
    pub fn accept_next(&mut self) -> TcpStream {
        // A filler of which only its own side knows that it is connected may come up behind the one that is waited for.
        let fillers: Vec<SocketAddr> =
            self.queue_fillers.iter().map(|filler| filler.local_addr().expect("an address")).collect();
        let stream = loop {
            match self.socket.accept() {
                Ok((_, peer)) if peer.as_socket().is_some_and(|peer| fillers.contains(&peer)) => {}
                Ok((stream, _)) => break TcpStream::from(stream),
                // A signal to this process is no answer.
                Err(e) => assert_eq!(e.kind(), std::io::ErrorKind::Interrupted, "a connection: {e}"),
            }
        };
        self.queue_fillers.clear();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a time-out");
        stream
    }
}

/// One connection of a client.
pub struct Client {
    reader: BufReader<TcpStream>,
    stream: TcpStream,
}

impl Client {
    pub fn new(addr: SocketAddr) -> Client {
        Client::of(TcpStream::connect(addr).expect("it listens"))
    }

    pub fn of(stream: TcpStream) -> Client {
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a time-out");
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

    /// Asks on this connection until the program says that it is up: it has a worker list that was confirmed, or has waited
    /// for one long enough.
    pub fn wait_until_up(&mut self) {
        wait_until("the program says that it is up", || {
            self.send("GET /up", "", "");
            self.read_response().status() == 200
        });
    }

    pub fn post(&mut self, reference: &str, class: &str, more: &str) {
        let headers = format!("X-Call-Id: {reference}\r\nX-Call-Class: {class}\r\nX-Caller: acme\r\n{more}");
        self.send("POST /api", &headers, "payload");
    }

    /// Says the end of what it sends, and goes on reading.
    pub fn half_close(&self) {
        self.stream.shutdown(std::net::Shutdown::Write).expect("a connection");
    }

    /// Ends the connection with a reset.
    pub fn reset(self) {
        socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)).expect("a socket");
    }

    pub fn write(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes);
    }

    /// Writes so many bytes at a time, each lot for itself.
    pub fn write_in_pieces(&mut self, bytes: &[u8], size: usize) {
        self.stream.set_nodelay(true).expect("a socket");
        bytes.chunks(size).for_each(|piece| self.write(piece));
    }

    pub fn read_response(&mut self) -> Message {
        read_message(&mut self.reader).expect("an answer")
    }

    /// An answer, unless the connection ends before.
    pub fn try_read_response(&mut self) -> Option<Message> {
        read_message(&mut self.reader)
    }

    /// Its own address and the program's.
    pub fn addresses(&self) -> (SocketAddr, SocketAddr) {
        (self.addr(), self.stream.peer_addr().expect("a connection"))
    }

    pub fn addr(&self) -> SocketAddr {
        self.stream.local_addr().expect("an address")
    }

    /// Bytes that the program has not read; nothing where its connection is no more.
    pub fn unread_bytes(&self) -> Option<usize> {
        let (own, peer) = (self.addr(), self.stream.peer_addr().ok()?);
        let words = format!("0100007F:{:04X} 0100007F:{:04X} ", peer.port(), own.port());
        let table = std::fs::read_to_string("/proc/net/tcp").expect("a table");
        let line = table.lines().find(|l| l.contains(&words))?;
        let queues = line.split_whitespace().nth(4)?;
        usize::from_str_radix(queues.split_once(':')?.1, 16).ok()
    }

    /// Whether nothing has come, and the other side has not ended the connection.
    pub fn is_unanswered(&self) -> bool {
        self.stream.set_nonblocking(true).expect("a socket");
        let seen = self.stream.peek(&mut [0]);
        self.stream.set_nonblocking(false).expect("a socket");
        self.reader.buffer().is_empty() && seen.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// Whether the other side has ended the connection.
    pub fn is_closed_by_peer(&mut self) -> bool {
        read_message(&mut self.reader).is_none()
    }

    /// A line, without its end.
    pub fn read_line(&mut self) -> String {
        let mut line = String::new();
        self.reader.read_line(&mut line).expect("a line in time");
        assert!(line.ends_with("\r\n"), "{line:?}");
        line.truncate(line.len() - 2);
        line
    }

    /// Says a line, and gives the one that comes back.
    pub fn command(&mut self, line: &str) -> String {
        self.write(format!("{line}\r\n").as_bytes());
        self.read_line()
    }

    /// Reserves a job: its id and body.
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
        self.reader.read_exact(&mut bytes).expect("so many bytes");
        String::from_utf8(bytes).expect("text")
    }
}
