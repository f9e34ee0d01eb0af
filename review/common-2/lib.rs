//! Shared parts of the cases 6 to 10: processes, HTTP, discovery, beanstalkd servers and the record. Standard library only.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsRawFd, RawFd};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

extern "C" {
    fn dup2(from: i32, to: i32) -> i32;
    fn fcntl(fd: i32, command: i32, ...) -> i32;
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

pub const SIGTERM: i32 = 15;

/// Whether the disruption takes place.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Exit code for a case that could not run.
pub fn cannot_run(reason: &str) -> ! {
    note(&format!("the case could not run: {reason}"));
    eprintln!("the case could not run: {reason}");
    std::process::exit(2)
}

static RECORD: OnceLock<(Mutex<File>, Instant)> = OnceLock::new();

/// Opens `record.txt` in the folder of the case, the first argument.
pub fn open_record() -> PathBuf {
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".into()));
    let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
    let _ = RECORD.set((Mutex::new(file), Instant::now()));
    note(&format!("TROUBLE={}", u8::from(trouble())));
    folder
}

/// Appends a line to the record, with the milliseconds since its start.
pub fn note(line: &str) {
    if let Some((file, start)) = RECORD.get() {
        let mut file = file.lock().unwrap();
        let _ = writeln!(file, "{:8.1} {line}", start.elapsed().as_secs_f64() * 1000.0);
    }
}

pub fn listen() -> (TcpListener, SocketAddr) {
    let socket = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = socket.local_addr().unwrap();
    (socket, addr)
}

/// An address at which nobody listens.
pub fn free_address() -> SocketAddr {
    listen().1
}

/// A temporary folder, removed when dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("review-2-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }

    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("a file");
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A dispatcher process, started by the command of the deploy file. Killed when dropped.
pub struct Dispatcher {
    child: Child,
    pub log: PathBuf,
}

impl Dispatcher {
    /// Starts `run` of the deploy file, with these environment variables. `inherited`: becomes descriptor 3.
    pub fn start(
        folder: &Folder,
        name: &str,
        operator: Option<&Path>,
        variables: &[(&str, String)],
        inherited: Option<RawFd>,
    ) -> Dispatcher {
        let option = operator.map_or(String::new(), |file| format!(" --operator {}", file.display()));
        let log = folder.0.join(format!("{name}.log"));
        let output = File::create(&log).expect("a log");
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(format!("exec target/release/lineroute{option}"));
        command.env("TMPDIR", &folder.0).stdin(Stdio::null());
        command.stdout(output.try_clone().unwrap()).stderr(output);
        for (key, value) in variables {
            command.env(key, value);
        }
        // SAFETY: the calls are async-signal-safe.
        unsafe {
            command.pre_exec(move || {
                // The process ends with the case, however that ends (PR_SET_PDEATHSIG, SIGKILL).
                prctl(1, 9);
                let done = match inherited {
                    None => 0,
                    // The descriptor loses its close-on-exec flag (F_SETFD).
                    Some(3) => fcntl(3, 2, 0),
                    Some(fd) => dup2(fd, 3),
                };
                if done < 0 { Err(io::Error::last_os_error()) } else { Ok(()) }
            });
        }
        let child = command.spawn().unwrap_or_else(|e| cannot_run(&format!("the program does not start: {e}")));
        note(&format!("process {name} started, pid {}", child.id()));
        Dispatcher { child, log }
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: the process was started here and has not been waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// The exit status, if the process has ended.
    pub fn exited(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    pub fn log_tail(&self) -> String {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(6)..].join("\n")
    }
}

impl Drop for Dispatcher {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A request or a response: its first line, its fields (names in lower case) and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub fields: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn line(input: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    match input.read_line(&mut line)? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        _ => Ok(line.trim_end().to_owned()),
    }
}

/// Reads one message with a `Content-Length` or a chunked body.
pub fn read_message(input: &mut impl BufRead) -> io::Result<Message> {
    let mut message = Message { start: line(input)?, ..Message::default() };
    loop {
        let field = line(input)?;
        let Some((name, value)) = field.split_once(':') else { break };
        message.fields.insert(name.to_lowercase(), value.trim().to_owned());
    }
    if message.field("transfer-encoding").contains("chunked") {
        loop {
            let size = usize::from_str_radix(line(input)?.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; size + 2];
            input.read_exact(&mut chunk)?;
            message.body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                return Ok(message);
            }
        }
    }
    let length = message.field("content-length").parse().unwrap_or(0);
    message.body = vec![0; length];
    input.read_exact(&mut message.body)?;
    Ok(message)
}

/// A client's connection to a dispatcher.
pub struct Client {
    input: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(addr: SocketAddr, patience: Duration) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&addr, patience)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(patience))?;
        Ok(Client { input: BufReader::new(stream) })
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.input.get_mut().write_all(bytes)
    }

    /// Sends a request and waits for the response.
    pub fn call(&mut self, start: &str, fields: &[(&str, String)], body: &[u8]) -> io::Result<Message> {
        let mut text = format!("{start} HTTP/1.1\r\nHost: app.svc\r\n");
        for (name, value) in fields {
            text += &format!("{name}: {value}\r\n");
        }
        if !body.is_empty() || start.starts_with("POST") {
            text += &format!("Content-Length: {}\r\n", body.len());
        }
        let mut bytes = (text + "\r\n").into_bytes();
        bytes.extend_from_slice(body);
        self.send(&bytes)?;
        read_message(&mut self.input)
    }
}

/// Waits until `GET /up` is answered with 200.
pub fn wait_until_up(addr: SocketAddr) {
    let since = Instant::now();
    while since.elapsed() < Duration::from_secs(15) {
        let patience = Duration::from_secs(1);
        let up = Client::connect(addr, patience).and_then(|mut client| client.call("GET /up", &[], b""));
        if up.is_ok_and(|response| response.status() == 200) {
            return note("the dispatcher is up");
        }
        thread::sleep(Duration::from_millis(50));
    }
    cannot_run("the dispatcher does not get ready");
}

/// One call at the second address; the answer, or nothing.
pub fn admin_call(addr: SocketAddr, call: &str) -> Option<String> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    stream.write_all(format!("{call}\n").as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    Some(answer.trim_end().to_owned())
}

/// Replaces the old process as the platform does: starts the new one, waits for its yes (6 s at most), and sends SIGTERM to the
/// old one. Returns the new one, or how it ended without a yes.
pub fn wait_for_yes(new: &mut Dispatcher, admin: SocketAddr) -> Result<(), String> {
    let since = Instant::now();
    while since.elapsed() < Duration::from_secs(6) {
        if let Some(status) = new.exited() {
            return Err(format!("the new process ended by itself: {status}"));
        }
        if admin_call(admin, "health").is_some_and(|answer| answer.starts_with("OK")) {
            note(&format!("the new process says yes after {} ms", since.elapsed().as_millis()));
            return Ok(());
        }
        thread::sleep(Duration::from_millis(50));
    }
    Err("the new process does not say yes within 6 s".into())
}

/// Serves each connection on its own thread.
pub fn serve_connections(socket: TcpListener, serve: impl Fn(TcpStream) + Send + Sync + 'static) {
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in socket.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
}

/// A discovery service with a list that does not change: `(id, address, kind)`.
pub fn start_discovery(servers: &[(String, SocketAddr, String)]) -> SocketAddr {
    let (socket, addr) = listen();
    let entries: Vec<String> = servers
        .iter()
        .map(|(id, addr, kind)| {
            format!(
                r#"{{"id":"{id}","addr":"{addr}","zone":"accra-dc","kind":"{kind}","cell":0,"state":"up","weight":1.0,"started_ms":0}}"#
            )
        })
        .collect();
    let list = format!(r#"{{"version":1,"full":true,"servers":[{}]}}"#, entries.join(","));
    serve_connections(socket, move |mut stream| {
        let mut input = BufReader::new(stream.try_clone().unwrap());
        while let Ok(request) = read_message(&mut input) {
            let wait = request.path().split_once("wait_ms=").and_then(|(_, ms)| ms.parse::<u64>().ok());
            let text = match wait {
                Some(ms) if request.path().contains("after=1&") => {
                    thread::sleep(Duration::from_millis(ms));
                    r#"{"version":1,"full":false,"servers":[]}"#.to_owned()
                }
                _ => list.clone(),
            };
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
            if stream.write_all((head + &text).as_bytes()).is_err() {
                return;
            }
        }
    });
    addr
}

/// The settings of a small deployment, as on the wire page, with these classes and this number of dispatchers.
pub fn settings(instances: u32, classes: &str, kinds: &str, tells_start: bool) -> String {
    format!(
        r#"{{"allowed": {{"cancel": true, "connect_timeout_ms": 120.0, "cpu_us_per_request": 10.0, "cpu_us_per_s": 15000, "keepalive_ms": 10000.0, "max_attempts": 4, "max_retry_after_ms": 2000.0, "may_probe": true, "most_held": 20000, "parallel_tries": false, "peers": true, "retry_after": true, "streams_per_conn": 1}},
 "azs": ["accra-dc", "kumasi-dc"], "zone": 0, "skus": [{kinds}],
 "classes": [{classes}],
 "clients": {{"marks_retry": true}}, "discovery": "ask", "granularity_ms": 2.0, "instances": {instances}, "over_share_worth": 0.1,
 "prices": {{"connection": 0.0, "cross_zone": 0.1, "discovery": 0.0, "handshake": 0.0, "late_fail": 0.034, "moves": 0.0, "origin": 0.0, "peer": 0.01, "probe": 0.0052, "waste": 0.25}},
 "report": {{"fields": [], "source": "silent"}},
 "rules": {{"answer_slack_ms": 8.0, "ask_within_ms": 10000.0, "cold_from": 0.31, "drain_grace_ms": 750.0, "overload_factor": 4.0, "overload_for_ms": 1500.0, "warm_up_ms": 8500.0}},
 "self_index": 0,
 "specifics": {{"progress_ms": 0.0, "queue_order": "fifo", "tells_start": {tells_start}}},
 "stages": ["quote-workers"],
 "tenants": [{{"name": "adehye-securities", "quota_per_s": 280.0, "share": 0.66}}, {{"name": "nkwa-invest", "quota_per_s": 150.0, "share": 0.34}}],
 "tier": 0, "weight_kind": "rough", "workload": "jobs", "worth_by": "request"}}"#
    )
}

/// The classes of the wire page.
pub const CLASSES: &str = r#"{"aim_ms": 120.0, "credit": 3.0, "deadline_ms": 5000.0, "effect": "repeatable", "group": "all", "key_ttl_ms": 5000.0, "late_share": 0.2, "name": "quote-snap", "streaming": false}, {"aim_ms": 200.0, "credit": 1.0, "deadline_ms": 5000.0, "effect": "repeatable", "group": "all", "key_ttl_ms": 5000.0, "late_share": 0.3, "name": "price-chart", "streaming": false}, {"aim_ms": 400.0, "credit": 2.0, "deadline_ms": 15000.0, "effect": "by_key", "group": "all", "key_ttl_ms": 25000.0, "late_share": 0.3, "name": "statement-run", "streaming": false}"#;

/// The platform's configuration; `more` holds further keys, each with a comma behind it.
pub fn config(listen: SocketAddr, discovery: SocketAddr, more: &str, settings: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",{more}"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"settings":{settings}}}"#
    )
}

/// A beanstalkd server with the commands that a dispatcher and a worker need, by the published protocol.
#[derive(Default)]
pub struct Tubes {
    state: Mutex<TubeState>,
    changed: Condvar,
}

#[derive(Default)]
struct TubeState {
    last: u64,
    jobs: BTreeMap<u64, TubeJob>,
    ready: HashMap<String, VecDeque<u64>>,
}

struct TubeJob {
    tube: String,
    body: Vec<u8>,
    /// The connection that has it reserved.
    holder: Option<u64>,
    reserves: u32,
}

impl Tubes {
    pub fn put(&self, tube: &str, body: Vec<u8>) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.last += 1;
        let id = state.last;
        state.jobs.insert(id, TubeJob { tube: tube.into(), body, holder: None, reserves: 0 });
        state.ready.entry(tube.into()).or_default().push_back(id);
        self.changed.notify_all();
        id
    }

    pub fn reserve(&self, holder: u64, tubes: &[String], within: Duration) -> Option<(u64, Vec<u8>)> {
        let until = Instant::now() + within;
        let mut state = self.state.lock().unwrap();
        loop {
            let found = tubes.iter().find_map(|tube| state.ready.get_mut(tube)?.pop_front());
            if let Some(id) = found {
                let job = state.jobs.get_mut(&id).unwrap();
                (job.holder, job.reserves) = (Some(holder), job.reserves + 1);
                return Some((id, job.body.clone()));
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return None;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    pub fn delete(&self, holder: u64, id: u64) -> bool {
        let mut state = self.state.lock().unwrap();
        if state.jobs.get(&id).is_none_or(|job| job.holder.is_some_and(|by| by != holder)) {
            return false;
        }
        let job = state.jobs.remove(&id).unwrap();
        if let Some(ready) = state.ready.get_mut(&job.tube) {
            ready.retain(|other| *other != id);
        }
        true
    }

    /// What a closed connection had reserved is ready again.
    fn release_all(&self, holder: u64) {
        let state = &mut *self.state.lock().unwrap();
        for (id, job) in state.jobs.iter_mut().filter(|(_, job)| job.holder == Some(holder)) {
            job.holder = None;
            state.ready.entry(job.tube.clone()).or_default().push_front(*id);
        }
        self.changed.notify_all();
    }

    fn stats(&self, id: u64) -> Option<String> {
        let state = self.state.lock().unwrap();
        let job = state.jobs.get(&id)?;
        let word = if job.holder.is_some() { "reserved" } else { "ready" };
        Some(format!("---\nid: {id}\ntube: \"{}\"\nstate: {word}\nreserves: {}\n", job.tube, job.reserves))
    }

    /// Serves the connections of a socket.
    pub fn serve(self: &Arc<Self>, socket: TcpListener) {
        let tubes = self.clone();
        let next = Mutex::new(1000u64);
        serve_connections(socket, move |stream| {
            let number = {
                let mut next = next.lock().unwrap();
                *next += 1;
                *next
            };
            let _ = tubes.serve_connection(stream, number);
            tubes.release_all(number);
        });
    }

    fn serve_connection(&self, mut stream: TcpStream, number: u64) -> io::Result<()> {
        let mut input = BufReader::new(stream.try_clone()?);
        let (mut used, mut watched) = ("default".to_owned(), vec!["default".to_owned()]);
        loop {
            let text = line(&mut input)?;
            let words: Vec<&str> = text.split(' ').collect();
            let reply = match words[..] {
                ["use", tube] => {
                    used = tube.to_owned();
                    format!("USING {tube}\r\n")
                }
                ["list-tube-used"] => format!("USING {used}\r\n"),
                ["watch", tube] => {
                    if !watched.iter().any(|known| known == tube) {
                        watched.push(tube.to_owned());
                    }
                    format!("WATCHING {}\r\n", watched.len())
                }
                ["ignore", tube] => {
                    watched.retain(|known| known != tube);
                    format!("WATCHING {}\r\n", watched.len())
                }
                ["put", _, _, _, size] => {
                    let size: usize = size.parse().map_err(|_| io::ErrorKind::InvalidData)?;
                    let mut body = vec![0; size + 2];
                    input.read_exact(&mut body)?;
                    body.truncate(size);
                    format!("INSERTED {}\r\n", self.put(&used, body))
                }
                ["reserve-with-timeout", seconds] => {
                    let within = Duration::from_secs(seconds.parse().unwrap_or(0));
                    match self.reserve(number, &watched, within) {
                        Some((id, body)) => {
                            let text = String::from_utf8_lossy(&body).into_owned();
                            format!("RESERVED {id} {}\r\n{text}\r\n", body.len())
                        }
                        None => "TIMED_OUT\r\n".into(),
                    }
                }
                ["stats-job", id] => match id.parse().ok().and_then(|id| self.stats(id)) {
                    Some(stats) => format!("OK {}\r\n{stats}\r\n", stats.len()),
                    None => "NOT_FOUND\r\n".into(),
                },
                ["delete", id] => match id.parse().is_ok_and(|id| self.delete(number, id)) {
                    true => "DELETED\r\n".into(),
                    false => "NOT_FOUND\r\n".into(),
                },
                ["quit"] => return Ok(()),
                _ => "UNKNOWN_COMMAND\r\n".into(),
            };
            stream.write_all(reply.as_bytes())?;
        }
    }
}

/// The descriptor of a socket, for a process to inherit.
pub fn descriptor(socket: &TcpListener) -> RawFd {
    socket.as_raw_fd()
}

/// A worker of the platform: takes each job with 202, runs it for this long, and tells its result to the dispatcher. Returns its
/// address; `ran` gets the id of each attempt.
pub fn start_worker(
    name: &str,
    dispatcher: SocketAddr,
    runs_for: Duration,
    ran: impl Fn(&Message) + Send + Sync + 'static,
) -> SocketAddr {
    let (socket, addr) = listen();
    let name = name.to_owned();
    serve_connections(socket, move |mut stream| {
        let mut input = BufReader::new(stream.try_clone().unwrap());
        while let Ok(request) = read_message(&mut input) {
            let is_job = request.start.starts_with("POST ");
            let status = if is_job { "202 Accepted" } else { "200 OK" };
            if stream.write_all(format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n").as_bytes()).is_err() {
                return;
            }
            if is_job {
                ran(&request);
                let (id, name) = (request.field("x-call-id").to_owned(), name.clone());
                thread::spawn(move || {
                    tell(dispatcher, &format!(r#"{{"id":"{id}","from":"{name}","state":"started"}}"#));
                    thread::sleep(runs_for);
                    tell(dispatcher, &format!(r#"{{"id":"{id}","from":"{name}","state":"done","result":"result of {id}"}}"#));
                });
            }
        }
    });
    addr
}

/// Tells a worker's news until it is answered with 200 or 204, ten times at most.
pub fn tell(dispatcher: SocketAddr, news: &str) {
    for _ in 0..10 {
        let told = Client::connect(dispatcher, Duration::from_secs(1))
            .and_then(|mut client| client.call("POST /_jobs/news", &[], news.as_bytes()));
        if told.is_ok_and(|response| [200, 204].contains(&response.status())) {
            return;
        }
        thread::sleep(Duration::from_millis(100));
    }
}
