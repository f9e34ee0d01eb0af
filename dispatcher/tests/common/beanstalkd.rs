//! A beanstalkd server with the commands that a worker's queue needs. The test acts as the worker: it reserves jobs and reports
//! results directly in the server's state.

use super::{wait_until, WAIT_TIMEOUT};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

struct Job {
    tube: String,
    body: String,
    reserved_by: Option<Reserver>,
    reserves: u32,
    /// It is delayed until then.
    ready_at: Instant,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Reserver {
    /// The test, as the worker.
    Worker,
    /// A connection, by the order in which they were accepted.
    Connection(usize),
}

#[derive(Default)]
struct State {
    jobs: BTreeMap<u64, Job>,
    last: u64,
    /// Replies to `put` are delayed until the job has been deleted.
    delays_puts: bool,
    /// How often all connections have been closed; a connection accepted before the last time receives no more jobs.
    disconnects: u32,
    connections: Vec<TcpStream>,
    accepted: usize,
    /// Connections that wait for answers, in the order in which they began to.
    readers: Vec<usize>,
    /// If set, only this reader receives jobs.
    only_reader: Option<usize>,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    stop: AtomicBool,
}

/// A job reserved by the worker.
pub struct ReservedJob {
    pub id: u64,
    pub answers: String,
    pub reference: String,
    pub key: String,
    pub body: String,
}

pub struct Server {
    pub addr: SocketAddr,
    shared: Arc<Shared>,
}

impl Server {
    pub fn start() -> Server {
        let socket = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = socket.local_addr().expect("an address");
        let shared = Arc::new(Shared::default());
        let copy = shared.clone();
        thread::spawn(move || {
            for stream in socket.incoming().flatten() {
                if copy.stop.load(Ordering::SeqCst) {
                    return;
                }
                let shared = copy.clone();
                let mut state = shared.lock();
                state.connections.push(stream.try_clone().expect("a socket"));
                state.accepted += 1;
                let (connection, disconnects_at_accept) = (state.accepted, state.disconnects);
                drop(state);
                thread::spawn(move || {
                    serve(&shared, stream, connection, disconnects_at_accept);
                    shared.return_jobs(connection);
                });
            }
        });
        Server { addr, shared }
    }

    /// Reserves the next ready job.
    pub fn reserve_job(&self) -> ReservedJob {
        let (id, body) =
            self.shared.reserve(&["work".into()], WAIT_TIMEOUT, Reserver::Worker, None).expect("a job comes");
        let (head, body) = body.split_once('\n').expect("a first line");
        let words: Vec<&str> = head.split(' ').collect();
        let [answers, reference, key] = words[..] else { panic!("{head}") };
        let owned = str::to_owned;
        ReservedJob {
            id,
            answers: owned(answers),
            reference: owned(reference),
            key: owned(key),
            body: body.into(),
        }
    }

    /// Reports a job's state, and deletes the job if that state is final.
    pub fn report(&self, job: &ReservedJob, word: &str, result: &str) {
        let mut state = self.shared.lock();
        if word != "started" {
            state.jobs.remove(&job.id);
        }
        let body = format!("{} {word}\n{result}", job.id);
        state.insert(&job.answers, body);
        self.shared.changed.notify_all();
    }

    /// Waits until the work tube contains this many jobs.
    pub fn wait_for_job_count(&self, count: usize) {
        let differs = |s: &mut State| s.jobs.values().filter(|j| j.tube == "work").count() != count;
        let state = self.shared.lock();
        let (_state, waited) =
            self.shared.changed.wait_timeout_while(state, WAIT_TIMEOUT, differs).expect("a lock");
        assert!(!waited.timed_out(), "the work tube does not reach {count} jobs");
    }

    /// Waits until this many connections have begun to wait for answers.
    pub fn wait_for_readers(&self, count: usize) {
        wait_until("processes wait for answers", || self.shared.lock().readers.len() >= count);
    }

    /// From now on only this reader receives answers, counted from 0 in the order in which they began; `None` for all.
    pub fn serve_only_reader(&self, number: Option<usize>) {
        let mut state = self.shared.lock();
        state.only_reader = number.map(|number| state.readers[number]);
        self.shared.changed.notify_all();
    }

    /// Whether a reader has reserved an answer.
    pub fn has_reserved_answer(&self) -> bool {
        let is_reserved = |job: &Job| matches!(job.reserved_by, Some(Reserver::Connection(_)));
        self.shared.lock().jobs.values().any(is_reserved)
    }

    /// Number of answers that have not been deleted.
    pub fn answer_count(&self) -> usize {
        self.shared.lock().jobs.values().filter(|job| job.tube != "work").count()
    }

    pub fn delay_put_replies(&self) {
        self.shared.lock().delays_puts = true;
    }

    /// Simulates a crash: connections break, and new ones are refused.
    pub fn shut_down(&self) {
        self.shared.stop.store(true, Ordering::SeqCst);
        // Wakes the accepting thread, so that it closes the listener.
        let _ = TcpStream::connect(self.addr);
        let until = Instant::now() + WAIT_TIMEOUT;
        while TcpStream::connect(self.addr).is_ok() && Instant::now() < until {
            thread::sleep(Duration::from_millis(1));
        }
        self.close_connections();
    }

    /// Closes all connections.
    pub fn close_connections(&self) {
        let mut state = self.shared.lock();
        state.disconnects += 1;
        self.shared.changed.notify_all();
        for connection in state.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }
}

impl State {
    fn insert(&mut self, tube: &str, body: String) -> u64 {
        self.last += 1;
        let job = Job { tube: tube.into(), body, reserved_by: None, reserves: 0, ready_at: Instant::now() };
        self.jobs.insert(self.last, job);
        self.last
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("a lock")
    }

    /// Waits for a job. A connection that was accepted before the last time that all were closed gets none.
    fn reserve(
        &self,
        tubes: &[String],
        within: Duration,
        reserver: Reserver,
        disconnects_at_accept: Option<u32>,
    ) -> Option<(u64, String)> {
        let until = Instant::now() + within;
        let mut state = self.lock();
        loop {
            let now = Instant::now();
            if disconnects_at_accept.is_some_and(|before| before != state.disconnects) {
                return None;
            }
            let excluded = |only| reserver != Reserver::Worker && reserver != Reserver::Connection(only);
            let is_excluded = state.only_reader.is_some_and(excluded);
            let is_ready = |job: &Job| {
                job.reserved_by.is_none() && job.ready_at <= now && tubes.contains(&job.tube) && !is_excluded
            };
            if let Some((id, job)) = state.jobs.iter_mut().find(|(_, job)| is_ready(job)) {
                (job.reserved_by, job.reserves) = (Some(reserver), job.reserves + 1);
                return Some((*id, job.body.clone()));
            }
            if now >= until {
                return None;
            }
            // Delayed jobs become ready without a notification.
            let wait = (until - now).min(Duration::from_millis(20));
            state = self.changed.wait_timeout(state, wait).expect("a lock").0;
        }
    }

    /// Records a connection that waits for answers for some time.
    fn add_reader(&self, connection: usize, within: Duration) {
        let mut state = self.lock();
        if !within.is_zero() && !state.readers.contains(&connection) {
            state.readers.push(connection);
        }
    }

    /// What a connection that ends has reserved becomes ready.
    fn return_jobs(&self, connection: usize) {
        let own = Some(Reserver::Connection(connection));
        for job in self.lock().jobs.values_mut().filter(|job| job.reserved_by == own) {
            job.reserved_by = None;
        }
        self.changed.notify_all();
    }
}

fn serve(shared: &Shared, stream: TcpStream, connection: usize, disconnects_at_accept: u32) {
    let mut reader = BufReader::new(stream.try_clone().expect("a socket"));
    let (mut stream, mut used, mut watched) =
        (stream, String::from("default"), vec![String::from("default")]);
    let mut line = String::new();
    while reader.read_line(&mut line).is_ok_and(|n| n > 0) {
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        let number = |at: usize| words.get(at).and_then(|w| w.parse::<u64>().ok()).unwrap_or(0);
        let reply = match words[0] {
            "use" => {
                used = words[1].into();
                format!("USING {used}")
            }
            "list-tube-used" => format!("USING {used}"),
            "watch" => {
                watched.push(words[1].into());
                format!("WATCHING {}", watched.len())
            }
            "ignore" => {
                watched.retain(|t| t != words[1]);
                format!("WATCHING {}", watched.len())
            }
            "put" => {
                let mut body = vec![0; number(4) as usize + 2];
                reader.read_exact(&mut body).expect("a body");
                let body = String::from_utf8(body).expect("text");
                let mut state = shared.lock();
                let id = state.insert(&used, body.strip_suffix("\r\n").expect("CRLF").into());
                shared.changed.notify_all();
                let held = |s: &mut State| s.delays_puts && s.jobs.contains_key(&id);
                drop(shared.changed.wait_timeout_while(state, WAIT_TIMEOUT, held));
                format!("INSERTED {id}")
            }
            "reserve-with-timeout" => {
                let within = Duration::from_secs(number(1));
                let reserver = Reserver::Connection(connection);
                shared.add_reader(connection, within);
                match shared.reserve(&watched, within, reserver, Some(disconnects_at_accept)) {
                    Some((id, body)) => format!("RESERVED {id} {}\r\n{body}", body.len()),
                    None => "TIMED_OUT".into(),
                }
            }
            "delete" => {
                let mut state = shared.lock();
                // A job reserved by another connection is not found.
                let answer = watched.len() == 1 && watched[0] != "default";
                let free = state.jobs.get(&number(1)).is_some_and(|j| answer || j.reserved_by.is_none());
                let deleted = free && state.jobs.remove(&number(1)).is_some();
                shared.changed.notify_all();
                String::from(if deleted { "DELETED" } else { "NOT_FOUND" })
            }
            "release" => {
                let mut state = shared.lock();
                let job = state.jobs.get_mut(&number(1));
                let own = job.filter(|job| job.reserved_by == Some(Reserver::Connection(connection)));
                let released = own.map(|job| {
                    job.reserved_by = None;
                    job.ready_at = Instant::now() + Duration::from_secs(number(3));
                });
                shared.changed.notify_all();
                String::from(if released.is_some() { "RELEASED" } else { "NOT_FOUND" })
            }
            "stats-job" => match shared.lock().jobs.get(&number(1)) {
                Some(job) => {
                    let state = if job.reserved_by.is_some() { "reserved" } else { "ready" };
                    let text = format!("---\nstate: {state}\nreserves: {}\n", job.reserves);
                    format!("OK {}\r\n{text}", text.len())
                }
                None => "NOT_FOUND".into(),
            },
            _ => "UNKNOWN_COMMAND".into(),
        };
        if stream.write_all(format!("{reply}\r\n").as_bytes()).is_err() {
            return;
        }
        line.clear();
    }
}
