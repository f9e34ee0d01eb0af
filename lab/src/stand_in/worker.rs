//! Workers with a limited number of slots and a bounded queue. Each listens on a separate address for each member, so that
//! it can identify the sender from the address, and calls each member back over a separate relay.

use super::beanstalkd::{self, Server};
use crate::http::{self, Message, Reader};
use crate::scenario::{Class, Protocol, Workers};
use crate::trace::{Ending, Fence, Micros, Recorder, What};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Job updates to a dispatcher: number of tries, time-out of a try, and pause between tries.
const UPDATE_TRIES: u32 = 10;
const UPDATE_TIMEOUT: Duration = Duration::from_millis(500);
const UPDATE_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Maximum number of cancelled calls remembered in case they arrive after their cancellation.
const MAX_CANCELLED: usize = 256;

/// Keys shared by all workers of a group, so that repeats don't run again.
pub type Keys = Arc<Mutex<HashMap<String, KeyState>>>;

pub enum KeyState {
    /// Being processed; repeats that wait for its result.
    Running(Vec<Repeat>),
    Done(String),
}

/// An attempt whose key is already known.
pub struct Repeat {
    worker: Arc<Worker>,
    seq: u64,
    call: String,
    member: usize,
    reply_path: ReplyPath,
}

struct Job {
    seq: u64,
    call: String,
    key: Option<String>,
    member: usize,
    work: Duration,
    reply_path: ReplyPath,
}

/// How a worker reports to the dispatcher.
pub enum ReplyPath {
    /// Requests to the dispatcher's address.
    Calls,
    /// The response on the request's connection.
    Answer(tokio::sync::oneshot::Sender<String>),
    /// A tube of a beanstalkd server.
    Tube { server: Arc<Server>, id: u64, answers: String },
}

/// A received attempt.
pub struct Received {
    pub call: String,
    pub key: Option<String>,
    pub member: usize,
    pub first: Micros,
    pub body: String,
    pub reply_path: ReplyPath,
}

#[derive(Default)]
struct State {
    running: HashMap<u64, String>,
    queue: VecDeque<Job>,
    last: u64,
    /// Calls cancelled before they arrived: requests on two connections may be served in either order.
    cancelled: VecDeque<String>,
    /// The highest token seen for each resource.
    fences: HashMap<String, u64>,
}

/// One worker.
pub struct Worker {
    number: usize,
    sort: Workers,
    classes: Vec<Class>,
    probe_cost: Option<Duration>,
    recorder: Recorder,
    keys: Keys,
    state: Mutex<State>,
    rng: Mutex<fastrand::Rng>,
    hung: watch::Sender<bool>,
    /// The address at which each member is called back, and idle connections to it.
    calls: Vec<SocketAddr>,
    idle: Vec<Mutex<Vec<TcpStream>>>,
    /// The beanstalkd server for each member, used with that protocol.
    servers: Vec<Arc<Server>>,
}

/// Parameters of a worker.
pub struct Plan {
    pub number: usize,
    pub sort: Workers,
    pub classes: Vec<Class>,
    pub probe_cost: Option<Duration>,
    pub keys: Keys,
    pub calls: Vec<SocketAddr>,
    pub seed: u64,
}

impl Worker {
    /// Starts to listen and returns the address for each member.
    ///
    /// # Errors
    /// No ports are available.
    pub async fn start(plan: Plan, recorder: Recorder) -> io::Result<(Arc<Worker>, Vec<SocketAddr>)> {
        let Plan { number, sort, classes, probe_cost, keys, calls, seed } = plan;
        let mut sockets = Vec::new();
        for _ in &calls {
            sockets.push(TcpListener::bind("127.0.0.1:0").await?);
        }
        let addrs = sockets.iter().map(TcpListener::local_addr).collect::<Result<Vec<_>, _>>()?;
        let worker = Arc::new(Worker {
            number,
            sort,
            classes,
            probe_cost,
            recorder,
            keys,
            state: Mutex::default(),
            rng: Mutex::new(fastrand::Rng::with_seed(seed)),
            hung: watch::channel(false).0,
            idle: calls.iter().map(|_| Mutex::default()).collect(),
            servers: calls.iter().map(|_| Arc::default()).collect(),
            calls,
        });
        for (member, socket) in sockets.into_iter().enumerate() {
            let worker = worker.clone();
            tokio::spawn(async move {
                while let Ok((stream, _)) = socket.accept().await {
                    let worker = worker.clone();
                    tokio::spawn(async move {
                        match worker.sort.protocol {
                            Protocol::Beanstalkd => beanstalkd::serve(worker, stream, member).await,
                            Protocol::Platform | Protocol::Http => worker.serve(stream, member).await,
                        }
                    });
                }
            });
        }
        Ok((worker, addrs))
    }

    /// Hangs the worker, so that it reads and answers nothing, or resumes it.
    pub fn hang(&self, hung: bool) {
        self.hung.send_replace(hung);
    }

    /// The beanstalkd server for a member.
    pub fn server(&self, member: usize) -> Arc<Server> {
        self.servers[member].clone()
    }

    pub fn now(&self) -> Micros {
        self.recorder.now()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    async fn wait_while_hung(&self) {
        let _ = self.hung.subscribe().wait_for(|hung| !hung).await;
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream, member: usize) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let (from, mut to) = stream.split();
        let mut reader = Reader::new(from);
        while reader.begins().await? {
            let came = self.recorder.now();
            self.wait_while_hung().await;
            let first = self.recorder.now();
            let Some(message) = reader.request().await? else { return Ok(()) };
            let (status, headers, body) = match (message.method.as_str(), message.path.as_str()) {
                ("GET", "/alive" | "/metrics/load") => self.handle_probe(&message, member, came).await,
                ("DELETE", path) => {
                    let call = path.strip_prefix("/jobs/").unwrap_or_default();
                    self.cancelled(call, member);
                    ("204 No Content", "", String::new())
                }
                _ if message.header("x-call-id").is_none() => ("404 Not Found", "", String::new()),
                _ if self.sort.protocol == Protocol::Http => {
                    let call = message.header("x-call-id").unwrap_or_default().to_owned();
                    let answered = self.clone().handle_http(&message, member, first);
                    tokio::pin!(answered);
                    tokio::select! {
                        answer = &mut answered => answer,
                        // A dispatcher cancels by closing the connection; bytes of a next request would be
                        // an error of its own.
                        _ = reader.begins() => {
                            self.cancelled(&call, member);
                            return Ok(());
                        }
                    }
                }
                _ => self.clone().handle_platform(&message, member, first),
            };
            let first = format!("HTTP/1.1 {status}");
            http::write(&mut to, &first, headers, body.as_bytes()).await?;
        }
        Ok(())
    }

    async fn handle_probe(
        &self,
        message: &Message,
        member: usize,
        came: Micros,
    ) -> (&'static str, &'static str, String) {
        let Some(cost) = self.probe_cost else { return ("404 Not Found", "", String::new()) };
        self.recorder.note(What::Probed { worker: self.number, member });
        if !self.admits(message, member, came) {
            return ("409 Conflict", "", String::new());
        }
        // A probe occupies a slot while it runs, as a job does.
        let seq = {
            let mut state = self.state();
            state.last += 1;
            let seq = state.last;
            state.running.insert(seq, String::new());
            seq
        };
        sleep(cost).await;
        self.state().running.remove(&seq);
        ("200 OK", "", String::new())
    }

    /// Checks the fencing token of an action for the fleet, if it has one.
    fn admits(&self, message: &Message, member: usize, first: Micros) -> bool {
        let Some(fence) = message.header("x-fence").and_then(read_fence) else { return true };
        let knows = self.sort.knows_fences;
        let mut state = self.state();
        let highest = state.fences.entry(fence.resource.clone()).or_default();
        let accepted = !knows || fence.token >= *highest;
        *highest = (*highest).max(fence.token);
        self.recorder.note(What::Acted { first, worker: self.number, member, fence, accepted, knows });
        accepted
    }

    fn read(message: &Message, (member, first): (usize, Micros), reply_path: ReplyPath) -> Received {
        let header = |name| message.header(name).map(str::to_owned);
        let (call, key) = (header("x-call-id").unwrap_or_default(), header("idempotency-key"));
        Received { call, key, member, first, body: message.text(), reply_path }
    }

    /// Accepts an attempt, which starts or is queued; false if it is rejected.
    pub fn accepts(self: &Arc<Self>, came: Received) -> bool {
        let job = self.came(came);
        self.clone().schedule(job)
    }

    fn came(&self, came: Received) -> Job {
        let Received { call, key, member, first, body, reply_path } = came;
        let mut state = self.state();
        state.last += 1;
        let seq = state.last;
        let (worker, came) = (self.number, call.clone());
        self.recorder.note(What::Came { worker, seq, call: came, key: key.clone(), member, first });
        Job { seq, call, key, member, work: self.work(&body), reply_path }
    }

    /// Draws a job's processing time from its class, which the body names.
    fn work(&self, body: &str) -> Duration {
        let name = body.split(' ').next().unwrap_or_default();
        let mean = self.classes.iter().find(|c| c.name == name).map_or(1.0, |c| c.work_ms);
        let even = self.rng.lock().expect("no holder panics").f64();
        Duration::from_secs_f64(mean / 1000.0 * -(1.0 - even).ln())
    }

    fn handle_platform(
        self: Arc<Self>,
        message: &Message,
        member: usize,
        first: Micros,
    ) -> (&'static str, &'static str, String) {
        match self.accepts(Self::read(message, (member, first), ReplyPath::Calls)) {
            true => ("202 Accepted", "", String::new()),
            false => ("503 Service Unavailable", "X-Rejected: 1\r\n", String::new()),
        }
    }

    async fn handle_http(
        self: Arc<Self>,
        message: &Message,
        member: usize,
        first: Micros,
    ) -> (&'static str, &'static str, String) {
        let (answer, answered) = tokio::sync::oneshot::channel();
        if !self.accepts(Self::read(message, (member, first), ReplyPath::Answer(answer))) {
            return ("503 Service Unavailable", "X-Rejected: 1\r\n", String::new());
        }
        match answered.await {
            Ok(result) => ("200 OK", "", result),
            Err(_) => ("500 Internal Server Error", "", String::new()),
        }
    }

    /// Starts a job, queues it, or rejects it.
    fn schedule(self: Arc<Self>, mut job: Job) -> bool {
        if self.is_repeat(&mut job) {
            return true;
        }
        let mut state = self.state();
        if let Some(at) = state.cancelled.iter().position(|call| *call == job.call) {
            state.cancelled.remove(at);
            drop(state);
            self.ended(&job, Ending::GivenUp, "");
            return true;
        }
        let fits = state.running.len() < self.sort.slots;
        // A beanstalkd server has no queue limit.
        let bounded = self.sort.protocol != Protocol::Beanstalkd;
        if !fits && bounded && state.queue.len() >= self.sort.queue {
            drop(state);
            self.ended(&job, Ending::TurnedAway, "");
            return false;
        }
        if let Some(key) = &job.key {
            let mut keys = self.keys.lock().expect("no holder panics");
            keys.insert(key.clone(), KeyState::Running(Vec::new()));
        }
        if fits {
            state.running.insert(job.seq, job.call.clone());
            drop(state);
            tokio::spawn(self.clone().run(job));
        } else {
            state.queue.push_back(job);
        }
        true
    }

    /// Whether the group already knows the key. If so, nothing runs, and the existing result is reported when available.
    fn is_repeat(self: &Arc<Self>, job: &mut Job) -> bool {
        let Some(key) = &job.key else { return false };
        let mut keys = self.keys.lock().expect("no holder panics");
        let Some(known) = keys.get_mut(key) else { return false };
        let (worker, reply_path) = (self.clone(), std::mem::replace(&mut job.reply_path, ReplyPath::Calls));
        let repeat = Repeat { worker, seq: job.seq, call: job.call.clone(), member: job.member, reply_path };
        match known {
            KeyState::Running(waiting) => waiting.push(repeat),
            KeyState::Done(result) => drop(tokio::spawn(repeat.report(result.clone()))),
        }
        true
    }

    fn ended(&self, job: &Job, how: Ending, result: &str) {
        self.recorder.note(What::Ended { worker: self.number, seq: job.seq, how, result: result.into() });
    }

    async fn run(self: Arc<Self>, job: Job) {
        self.recorder.note(What::Began { worker: self.number, seq: job.seq });
        match &job.reply_path {
            ReplyPath::Calls => {
                let (seq, call) = (job.seq, job.call.clone());
                tokio::spawn(self.clone().report(seq, call, job.member, "started", String::new()));
            }
            ReplyPath::Answer(_) => {}
            ReplyPath::Tube { server, id, answers } => {
                server.reserved(*id);
                server.answer(answers, format!("{id} started\n"));
            }
        }
        sleep(job.work).await;
        self.wait_while_hung().await;
        let kept = self.state().running.remove(&job.seq).is_some();
        self.start_queued();
        if !kept {
            return;
        }
        let result = format!("{} by w{} as {}", job.call, self.number, job.seq);
        self.ended(&job, Ending::Done, &result);
        if let Some(key) = &job.key {
            let done = KeyState::Done(result.clone());
            let old = self.keys.lock().expect("no holder panics").insert(key.clone(), done);
            if let Some(KeyState::Running(waiting)) = old {
                waiting.into_iter().for_each(|repeat| drop(tokio::spawn(repeat.report(result.clone()))));
            }
        }
        self.done((job.seq, job.call, job.member), job.reply_path, result).await;
    }

    /// Reports a result over the job's reply path.
    async fn done(
        self: Arc<Self>,
        (seq, call, member): (u64, String, usize),
        reply_path: ReplyPath,
        result: String,
    ) {
        match reply_path {
            ReplyPath::Answer(answer) => drop(answer.send(result)),
            ReplyPath::Calls => self.report(seq, call, member, "done", result).await,
            ReplyPath::Tube { server, id, answers } => {
                server.answer(&answers, format!("{id} served\n{result}"));
                server.remove(id);
            }
        }
    }

    /// Starts queued jobs while slots are free.
    fn start_queued(self: &Arc<Self>) {
        let mut state = self.state();
        while state.running.len() < self.sort.slots {
            let Some(job) = state.queue.pop_front() else { return };
            state.running.insert(job.seq, job.call.clone());
            tokio::spawn(self.clone().run(job));
        }
    }

    /// Cancels an attempt for a dispatcher. A queued job is dropped and a running one is stopped, unless it has a key:
    /// its effect may already have happened, so it continues and repeats find its result.
    pub fn cancelled(self: &Arc<Self>, call: &str, member: usize) {
        self.recorder.note(What::Waived { worker: self.number, call: call.into(), member });
        let mut state = self.state();
        if let Some(at) = state.queue.iter().position(|j| j.call == call) {
            let job = state.queue.remove(at).expect("position is within the queue");
            if let Some(key) = &job.key {
                self.keys.lock().expect("no holder panics").remove(key);
            }
            self.ended(&job, Ending::GivenUp, "");
            return;
        }
        let running = state.running.iter().find(|(_, c)| *c == call).map(|(seq, _)| *seq);
        let Some(seq) = running else {
            state.cancelled.push_back(call.into());
            if state.cancelled.len() > MAX_CANCELLED {
                state.cancelled.pop_front();
            }
            return;
        };
        if !has_key(call) {
            state.running.remove(&seq);
            let (worker, how) = (self.number, Ending::GivenUp);
            self.recorder.note(What::Ended { worker, seq, how, result: String::new() });
            drop(state);
            self.start_queued();
        }
    }

    /// Reports a job update to a dispatcher, until it is accepted or all tries have failed.
    async fn report(
        self: Arc<Self>,
        seq: u64,
        call: String,
        member: usize,
        state: &'static str,
        result: String,
    ) {
        let update = serde_json::json!({"id": call, "from": format!("w{}", self.number), "state": state,
            "result": result});
        let body = update.to_string();
        let mut taken = false;
        for _ in 0..UPDATE_TRIES {
            self.wait_while_hung().await;
            taken = matches!(timeout(UPDATE_TIMEOUT, self.post_update(member, &body)).await, Ok(Ok(true)));
            if taken {
                break;
            }
            sleep(UPDATE_RETRY_PAUSE).await;
        }
        self.recorder.note(What::Heard { worker: self.number, seq, member, state: state.into(), taken });
    }

    async fn post_update(&self, member: usize, body: &str) -> io::Result<bool> {
        let kept = self.idle[member].lock().expect("no holder panics").pop();
        let mut stream = match kept {
            Some(stream) => stream,
            None => TcpStream::connect(self.calls[member]).await?,
        };
        stream.set_nodelay(true)?;
        let headers = "Host: app.svc\r\nContent-Type: application/json\r\n";
        http::write(&mut stream, "POST /_jobs/news HTTP/1.1", headers, body.as_bytes()).await?;
        stream.flush().await?;
        let Some(answer) = Reader::new(&mut stream).answer().await? else { return Ok(false) };
        if answer.header("connection").is_none_or(|c| !c.eq_ignore_ascii_case("close")) {
            self.idle[member].lock().expect("no holder panics").push(stream);
        }
        Ok(matches!(answer.status, 200 | 204))
    }
}

impl Repeat {
    async fn report(self, result: String) {
        let (worker, seq, how) = (self.worker.number, self.seq, Ending::Repeat);
        self.worker.recorder.note(What::Ended { worker, seq, how, result: result.clone() });
        self.worker.done((seq, self.call, self.member), self.reply_path, result).await;
    }
}

/// `X-Fence: RESOURCE TOKEN`.
fn read_fence(text: &str) -> Option<Fence> {
    let (resource, token) = text.rsplit_once(' ')?;
    Some(Fence { resource: resource.into(), token: token.parse().ok()? })
}

/// Whether a call has a key, according to the call id that the client assigned.
fn has_key(call: &str) -> bool {
    call.starts_with('k')
}
