//! A beanstalkd server with the commands that a worker's queue needs. The test acts as the worker: it reserves jobs and reports
//! results directly in the server's state.

use super::WAIT_TIMEOUT;
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
    reserved: bool,
    reserves: u32,
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
                let disconnects_at_accept = state.disconnects;
                drop(state);
                thread::spawn(move || serve(&shared, stream, disconnects_at_accept));
            }
        });
        Server { addr, shared }
    }

    /// Reserves the next ready job.
    pub fn reserve_job(&self) -> ReservedJob {
        let (id, body) = self.shared.reserve(&["work".into()], WAIT_TIMEOUT, None).expect("a job comes");
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
        self.jobs.insert(self.last, Job { tube: tube.into(), body, reserved: false, reserves: 0 });
        self.last
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("a lock")
    }

    fn reserve(
        &self,
        tubes: &[String],
        within: Duration,
        disconnects_at_accept: Option<u32>,
    ) -> Option<(u64, String)> {
        let lives = |s: &State| disconnects_at_accept.is_none_or(|b| b == s.disconnects);
        let none =
            |s: &mut State| lives(s) && !s.jobs.values().any(|j| !j.reserved && tubes.contains(&j.tube));
        let (mut state, _) = self.changed.wait_timeout_while(self.lock(), within, none).expect("a lock");
        if !lives(&state) {
            return None;
        }
        let (id, job) = state.jobs.iter_mut().find(|(_, j)| !j.reserved && tubes.contains(&j.tube))?;
        (job.reserved, job.reserves) = (true, job.reserves + 1);
        Some((*id, job.body.clone()))
    }
}

fn serve(shared: &Shared, stream: TcpStream, disconnects_at_accept: u32) {
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
                match shared.reserve(&watched, Duration::from_secs(number(1)), Some(disconnects_at_accept)) {
                    Some((id, body)) => format!("RESERVED {id} {}\r\n{body}", body.len()),
                    None => "TIMED_OUT".into(),
                }
            }
            "delete" => {
                let mut state = shared.lock();
                // A job reserved by another connection is not found.
                let answer = watched.len() == 1 && watched[0] != "default";
                let free = state.jobs.get(&number(1)).is_some_and(|j| answer || !j.reserved);
                let deleted = free && state.jobs.remove(&number(1)).is_some();
                shared.changed.notify_all();
                String::from(if deleted { "DELETED" } else { "NOT_FOUND" })
            }
            "stats-job" => match shared.lock().jobs.get(&number(1)) {
                Some(job) => {
                    let state = if job.reserved { "reserved" } else { "ready" };
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
