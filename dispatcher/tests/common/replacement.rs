//! One dispatcher whose process is replaced while it serves: processes that inherit the same listening socket and share one
//! `$TMPDIR`, each with its own admin console, and workers with selectable behaviour.

use super::discovery::{entry, Behaviour, Discovery};
use super::{create_temp_dir, unused_address, wait_until, Client, Rig, Setup, Worker, SETTINGS};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A worker repeats an unanswered call, as the platform's documentation specifies: number of calls and the pause between them.
const CALLS: usize = 10;
const BETWEEN_CALLS: Duration = Duration::from_millis(50);

/// Size of a large result, near to the largest that a worker may report.
pub const LARGE_RESULT_BYTES: usize = 60_000;

/// How a worker handles jobs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WorkerBehaviour {
    /// Rejects each job unstarted.
    Rejects,
    /// Accepts the job and sends no status update.
    Hangs,
    /// Accepts the job and reports a result, each update on a new connection.
    Serves,
    /// The same with a result of [`LARGE_RESULT_BYTES`].
    ServesLargeResults,
    /// Responds with a result of [`LARGE_RESULT_BYTES`], as a plain HTTP worker does.
    RespondsWithLargeResults,
    /// As a plain HTTP worker: responds, but stops before the end of a large result to jobs of a crowd.
    StopsInResults,
    /// Reads the request and sends nothing, as a plain HTTP worker does that is still computing.
    Silent,
}

/// An attempt received by a worker.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub worker: String,
    pub reference: String,
}

/// Workers of one behaviour, and the attempts that they received.
pub struct Workers {
    pub listed: Vec<(String, SocketAddr)>,
    conduct: Arc<Mutex<WorkerBehaviour>>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    given_up: Arc<Mutex<Vec<String>>>,
}

impl Workers {
    /// Starts `count` workers, named `w0` onwards, that report results to `call_back`.
    pub fn start(count: usize, conduct: WorkerBehaviour, call_back: SocketAddr) -> Workers {
        let mut workers = Workers {
            listed: Vec::new(),
            conduct: Arc::new(Mutex::new(conduct)),
            arrivals: Arc::default(),
            given_up: Arc::default(),
        };
        for number in 0..count {
            let worker = Worker::start(&format!("w{number}"));
            workers.listed.push((worker.id.clone(), worker.addr));
            let (conduct, arrivals) = (workers.conduct.clone(), workers.arrivals.clone());
            let given_up = workers.given_up.clone();
            thread::spawn(move || serve(&worker, &conduct, &arrivals, &given_up, call_back));
        }
        workers
    }

    pub fn set_behaviour(&self, conduct: WorkerBehaviour) {
        *self.conduct.lock().expect("a lock") = conduct;
    }

    /// Attempts received by a worker since an instant.
    pub fn since(&self, worker: &str, from: Instant) -> Vec<Arrival> {
        let arrivals = self.arrivals.lock().expect("a lock");
        arrivals.iter().filter(|came| came.worker == worker && came.at >= from).cloned().collect()
    }

    /// Number of attempts received by all workers.
    pub fn count(&self) -> usize {
        self.arrivals.lock().expect("a lock").len()
    }

    /// The worker of each attempt of a job, in the order of their arrival.
    pub fn attempts_of(&self, reference: &str) -> Vec<String> {
        let arrivals = self.arrivals.lock().expect("a lock");
        let of_job = arrivals.iter().filter(|arrival| arrival.reference == reference);
        of_job.map(|arrival| arrival.worker.clone()).collect()
    }

    /// The references of cancelled jobs.
    pub fn cancelled_jobs(&self) -> Vec<String> {
        self.given_up.lock().expect("a lock").clone()
    }
}

fn serve(
    worker: &Worker,
    conduct: &Mutex<WorkerBehaviour>,
    arrivals: &Mutex<Vec<Arrival>>,
    given_up: &Mutex<Vec<String>>,
    call_back: SocketAddr,
) {
    let mut unanswered = Vec::new();
    loop {
        let Some(request) = worker.next_unless_closed() else { return };
        if let Some(path) = request.message.start_line.strip_prefix("DELETE /jobs/") {
            let reference = path.split(' ').next().unwrap_or_default().to_owned();
            given_up.lock().expect("a lock").push(reference);
        }
        if !request.message.start_line.starts_with("POST ") {
            request.respond("200 OK");
            continue;
        }
        let (at, reference) = (Instant::now(), request.reference().to_owned());
        let arrival = Arrival { at, worker: worker.id.clone(), reference: reference.clone() };
        arrivals.lock().expect("a lock").push(arrival);
        let conduct = *conduct.lock().expect("a lock");
        match conduct {
            WorkerBehaviour::Rejects => request.respond("503 Service Unavailable\r\nX-Rejected: 1"),
            WorkerBehaviour::Silent => unanswered.push(request),
            WorkerBehaviour::Hangs => request.respond("202 Accepted"),
            WorkerBehaviour::RespondsWithLargeResults => {
                request.respond_with_body(&"r".repeat(LARGE_RESULT_BYTES), LARGE_RESULT_BYTES);
            }
            WorkerBehaviour::StopsInResults if reference.starts_with("crowd") => {
                request.respond_with_body(&"r".repeat(LARGE_RESULT_BYTES - 1), LARGE_RESULT_BYTES);
            }
            WorkerBehaviour::StopsInResults => request.respond_with_body("a chart", "a chart".len()),
            WorkerBehaviour::Serves | WorkerBehaviour::ServesLargeResults => {
                request.respond("202 Accepted");
                let from = worker.id.clone();
                let result = match conduct {
                    WorkerBehaviour::ServesLargeResults => "r".repeat(LARGE_RESULT_BYTES),
                    _ => "a chart".into(),
                };
                thread::spawn(move || report_result(call_back, &reference, &from, &result));
            }
        }
    }
}

/// Reports a job as done, repeating the call until it is answered with 200 or 204. Returns the number of calls; `None` if none
/// was answered so.
pub fn report_done(to: SocketAddr, reference: &str, from: &str) -> Option<usize> {
    report_result(to, reference, from, "a chart")
}

fn report_result(to: SocketAddr, reference: &str, from: &str, result: &str) -> Option<usize> {
    let body = format!(r#"{{"id":"{reference}","from":"{from}","state":"done","result":"{result}"}}"#);
    for call in 1..=CALLS {
        if let Ok(stream) = TcpStream::connect(to) {
            let mut client = Client::from_stream(stream);
            client.send("POST /_jobs/news", "", &body);
            if client.try_read_response().is_some_and(|answer| [200, 204].contains(&answer.status())) {
                return Some(call);
            }
        }
        thread::sleep(BETWEEN_CALLS);
    }
    None
}

/// What the processes of one dispatcher share.
pub struct Dispatcher {
    socket: TcpListener,
    pub discovery: Discovery,
    pub workers: Workers,
    name: String,
    settings: String,
    pub temp_dir: PathBuf,
    pub started_at: Instant,
}

/// One process of a dispatcher.
pub struct Process {
    pub rig: Rig,
    pub console: SocketAddr,
}

impl Dispatcher {
    /// A dispatcher with the given workers and the default settings.
    pub fn new(workers: usize, conduct: WorkerBehaviour) -> Dispatcher {
        Dispatcher::with_settings(workers, conduct, SETTINGS)
    }

    pub fn with_settings(workers: usize, conduct: WorkerBehaviour, settings: &str) -> Dispatcher {
        let socket = TcpListener::bind("127.0.0.1:0").expect("a port");
        let workers = Workers::start(workers, conduct, socket.local_addr().expect("an address"));
        Dispatcher::with_workers(socket, workers, settings)
    }

    /// A dispatcher whose workers, named by the test, are something else than platform workers.
    pub fn with_listed(listed: Vec<(String, SocketAddr)>, settings: &str) -> Dispatcher {
        let socket = TcpListener::bind("127.0.0.1:0").expect("a port");
        let mut workers = Workers::start(0, WorkerBehaviour::Hangs, socket.local_addr().expect("an address"));
        workers.listed = listed;
        Dispatcher::with_workers(socket, workers, settings)
    }

    fn with_workers(socket: TcpListener, workers: Workers, settings: &str) -> Dispatcher {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let entries: Vec<String> =
            workers.listed.iter().map(|(id, addr)| entry(id, *addr, "up", 0)).collect();
        Dispatcher {
            socket,
            discovery: Discovery::start(&entries, Behaviour::Up),
            workers,
            name: format!("replaced{}x{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed)),
            settings: settings.into(),
            temp_dir: create_temp_dir(),
            started_at: Instant::now(),
        }
    }

    pub fn addr(&self) -> SocketAddr {
        self.socket.local_addr().expect("an address")
    }

    /// Starts a process and waits until it reports ready.
    pub fn start(&self) -> Process {
        let process = self.start_with(Setup::default());
        process.wait_until_ready();
        process
    }

    /// Starts a process that may exit before it listens, without waiting for it.
    pub fn spawn_without_waiting(
        &self,
        stops: &str,
        environment: Vec<(String, String)>,
    ) -> std::process::Child {
        let setup = self.set_up(unused_address(), Setup { stops, environment, ..Setup::default() });
        super::command(&create_temp_dir(), &self.workers.listed, &self.settings, setup)
            .stderr(std::process::Stdio::null())
            .spawn()
            .expect("the program starts")
    }

    fn set_up<'a>(&self, console: SocketAddr, setup: Setup<'a>) -> Setup<'a> {
        let more = format!(r#"{}"admin_addr": "{console}", "name": "{}","#, setup.extra_config, self.name);
        let mut environment = setup.environment.clone();
        environment.push(("TMPDIR".into(), self.temp_dir.to_str().expect("letters").to_owned()));
        Setup {
            extra_config: more,
            environment,
            discovery: Some(self.discovery.addr),
            inherit: Some(self.socket.try_clone().expect("a socket")),
            ..setup
        }
    }

    /// Starts a process; on return it listens, but may not be ready yet.
    pub fn start_with(&self, setup: Setup) -> Process {
        let console = unused_address();
        let setup = self.set_up(console, setup);
        let rig = Rig::set_up(self.workers.listed.clone(), &self.settings, setup);
        Process { rig, console }
    }
}

/// Two processes of a dispatcher, and a connection to each.
pub struct Pair {
    pub dispatcher: Dispatcher,
    pub old: Process,
    pub new: Process,
    pub to_old: Client,
    pub to_new: Client,
}

impl Pair {
    /// Starts both, and waits until each serves.
    pub fn start(dispatcher: Dispatcher, operator: &'static str) -> Pair {
        let start = || {
            let process = dispatcher.start_with(Setup { operator: Some(operator), ..Setup::default() });
            process.wait_until_ready();
            process
        };
        let old = start();
        let mut to_old = Client::new(dispatcher.addr());
        to_old.wait_until_up();
        let new = start();
        // Only the new process can accept this connection.
        old.rig.pause();
        old.rig.wait_until_paused();
        let mut to_new = Client::new(dispatcher.addr());
        to_new.wait_until_up();
        old.rig.resume();
        Pair { dispatcher, old, new, to_old, to_new }
    }
}

impl Drop for Dispatcher {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.temp_dir);
    }
}

impl Process {
    /// Waits until the process reports ready.
    pub fn wait_until_ready(&self) {
        wait_until("the process reports ready", || {
            call(self.console, "health").is_some_and(|answer| answer.starts_with("OK"))
        });
    }

    /// Runs a command on the admin console and returns the reply.
    pub fn console_command(&self, line: &str) -> String {
        call(self.console, line).expect("an answer")
    }
}

/// Runs a command on a console; `None` if nothing listens there or the process ends.
pub fn call(console: SocketAddr, line: &str) -> Option<String> {
    let mut stream = TcpStream::connect(console).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(10))).expect("the time-out is set");
    stream.write_all(format!("{line}\n").as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    (!answer.is_empty()).then(|| answer.trim_end().to_owned())
}
