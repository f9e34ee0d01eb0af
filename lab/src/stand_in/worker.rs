//! Workers with finite slots and a bounded queue. Each has an address for each member, so that it knows who
//! sent what without being told, and calls each back over a relay of its own.

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

/// A word to a dispatcher is tried so often, waits so long for its answer, and so long between tries.
const TRIES: u32 = 10;
const WORD: Duration = Duration::from_millis(500);
const BETWEEN: Duration = Duration::from_millis(50);

/// Calls given up that are remembered in case they come late.
const MOST_WAIVED: usize = 256;

/// What workers of one group know of keys: repeats run nowhere.
pub type Keys = Arc<Mutex<HashMap<String, KeyState>>>;

pub enum KeyState {
    /// In work; those that sent it again are told the same result.
    Running(Vec<Repeat>),
    Done(String),
}

/// An attempt that came with a key in work.
pub struct Repeat {
    worker: Arc<Worker>,
    seq: u64,
    call: String,
    member: usize,
    way: ReplyPath,
}

struct Job {
    seq: u64,
    call: String,
    key: Option<String>,
    member: usize,
    work: Duration,
    way: ReplyPath,
}

/// How a worker's words reach the dispatcher.
pub enum ReplyPath {
    /// Calls to its address.
    Calls,
    /// The connection of the request.
    Answer(tokio::sync::oneshot::Sender<String>),
    /// A tube of a beanstalkd server.
    Tube { server: Arc<Server>, id: u64, answers: String },
}

/// An attempt as it came.
pub struct Came {
    pub call: String,
    pub key: Option<String>,
    pub member: usize,
    pub first: Micros,
    pub body: String,
    pub way: ReplyPath,
}

#[derive(Default)]
struct State {
    running: HashMap<u64, String>,
    queue: VecDeque<Job>,
    last: u64,
    /// Calls that were given up before they came: of two connections either may be served first.
    waived: VecDeque<String>,
    /// The highest token seen for each thing.
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
    /// Where each member is called back, and connections there that wait for their next word.
    calls: Vec<SocketAddr>,
    idle: Vec<Mutex<Vec<TcpStream>>>,
    /// The beanstalkd server that each member finds, where the worker has one.
    servers: Vec<Arc<Server>>,
}

/// What a worker is made of.
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
    /// Begins to listen; its address for each member.
    ///
    /// # Errors
    /// There are no ports.
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

    /// Takes nothing and answers nothing, or goes on.
    pub fn hang(&self, hung: bool) {
        self.hung.send_replace(hung);
    }

    /// The beanstalkd server that a member finds.
    pub fn server(&self, member: usize) -> Arc<Server> {
        self.servers[member].clone()
    }

    pub fn now(&self) -> Micros {
        self.recorder.now()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    async fn awake(&self) {
        let _ = self.hung.subscribe().wait_for(|hung| !hung).await;
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream, member: usize) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let (from, mut to) = stream.split();
        let mut reader = Reader::new(from);
        while reader.begins().await? {
            let came = self.recorder.now();
            self.awake().await;
            let first = self.recorder.now();
            let Some(message) = reader.request().await? else { return Ok(()) };
            let (status, headers, body) = match (message.method.as_str(), message.path.as_str()) {
                ("GET", "/alive" | "/metrics/load") => self.probed(&message, member, came).await,
                ("DELETE", path) => {
                    let call = path.strip_prefix("/jobs/").unwrap_or_default();
                    self.waived(call, member);
                    ("204 No Content", "", String::new())
                }
                _ if message.header("x-call-id").is_none() => ("404 Not Found", "", String::new()),
                _ if self.sort.protocol == Protocol::Http => {
                    let call = message.header("x-call-id").unwrap_or_default().to_owned();
                    let answered = self.clone().plain(&message, member, first);
                    tokio::pin!(answered);
                    tokio::select! {
                        answer = &mut answered => answer,
                        // A dispatcher gives up by ending the connection; bytes of a next request would be
                        // an error of its own.
                        _ = reader.begins() => {
                            self.waived(&call, member);
                            return Ok(());
                        }
                    }
                }
                _ => self.clone().take(&message, member, first),
            };
            let first = format!("HTTP/1.1 {status}");
            http::write(&mut to, &first, headers, body.as_bytes()).await?;
        }
        Ok(())
    }

    async fn probed(
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
        // A probe takes a slot for its while, as a job does.
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

    /// Looks at the fence of an act for the fleet, where it bears one.
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

    fn read(message: &Message, (member, first): (usize, Micros), way: ReplyPath) -> Came {
        let header = |name| message.header(name).map(str::to_owned);
        let (call, key) = (header("x-call-id").unwrap_or_default(), header("idempotency-key"));
        Came { call, key, member, first, body: message.text(), way }
    }

    /// An attempt comes: it starts, waits, or is turned away, which is false.
    pub fn takes(self: &Arc<Self>, came: Came) -> bool {
        let job = self.came(came);
        self.clone().place(job)
    }

    fn came(&self, came: Came) -> Job {
        let Came { call, key, member, first, body, way } = came;
        let mut state = self.state();
        state.last += 1;
        let seq = state.last;
        let (worker, came) = (self.number, call.clone());
        self.recorder.note(What::Came { worker, seq, call: came, key: key.clone(), member, first });
        Job { seq, call, key, member, work: self.work(&body), way }
    }

    /// How long this job takes, by its class, which stands in the body.
    fn work(&self, body: &str) -> Duration {
        let name = body.split(' ').next().unwrap_or_default();
        let mean = self.classes.iter().find(|c| c.name == name).map_or(1.0, |c| c.work_ms);
        let even = self.rng.lock().expect("no holder panics").f64();
        Duration::from_secs_f64(mean / 1000.0 * -(1.0 - even).ln())
    }

    fn take(
        self: Arc<Self>,
        message: &Message,
        member: usize,
        first: Micros,
    ) -> (&'static str, &'static str, String) {
        match self.takes(Self::read(message, (member, first), ReplyPath::Calls)) {
            true => ("202 Accepted", "", String::new()),
            false => ("503 Service Unavailable", "X-Rejected: 1\r\n", String::new()),
        }
    }

    async fn plain(
        self: Arc<Self>,
        message: &Message,
        member: usize,
        first: Micros,
    ) -> (&'static str, &'static str, String) {
        let (answer, answered) = tokio::sync::oneshot::channel();
        if !self.takes(Self::read(message, (member, first), ReplyPath::Answer(answer))) {
            return ("503 Service Unavailable", "X-Rejected: 1\r\n", String::new());
        }
        match answered.await {
            Ok(result) => ("200 OK", "", result),
            Err(_) => ("500 Internal Server Error", "", String::new()),
        }
    }

    /// Starts a job, lets it wait, or turns it away.
    fn place(self: Arc<Self>, mut job: Job) -> bool {
        if self.is_repeat(&mut job) {
            return true;
        }
        let mut state = self.state();
        if let Some(at) = state.waived.iter().position(|call| *call == job.call) {
            state.waived.remove(at);
            drop(state);
            self.ended(&job, Ending::GivenUp, "");
            return true;
        }
        let fits = state.running.len() < self.sort.slots;
        // A beanstalkd server takes whatever comes.
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

    /// Whether the group knows the key; then nothing runs, and the one result is told once it is there.
    fn is_repeat(self: &Arc<Self>, job: &mut Job) -> bool {
        let Some(key) = &job.key else { return false };
        let mut keys = self.keys.lock().expect("no holder panics");
        let Some(known) = keys.get_mut(key) else { return false };
        let (worker, way) = (self.clone(), std::mem::replace(&mut job.way, ReplyPath::Calls));
        let repeat = Repeat { worker, seq: job.seq, call: job.call.clone(), member: job.member, way };
        match known {
            KeyState::Running(waiting) => waiting.push(repeat),
            KeyState::Done(result) => drop(tokio::spawn(repeat.tell(result.clone()))),
        }
        true
    }

    fn ended(&self, job: &Job, how: Ending, result: &str) {
        self.recorder.note(What::Ended { worker: self.number, seq: job.seq, how, result: result.into() });
    }

    async fn run(self: Arc<Self>, job: Job) {
        self.recorder.note(What::Began { worker: self.number, seq: job.seq });
        match &job.way {
            ReplyPath::Calls => {
                let (seq, call) = (job.seq, job.call.clone());
                tokio::spawn(self.clone().tell(seq, call, job.member, "started", String::new()));
            }
            ReplyPath::Answer(_) => {}
            ReplyPath::Tube { server, id, answers } => {
                server.reserved(*id);
                server.answer(answers, format!("{id} started\n"));
            }
        }
        sleep(job.work).await;
        self.awake().await;
        let kept = self.state().running.remove(&job.seq).is_some();
        self.next();
        if !kept {
            return;
        }
        let result = format!("{} by w{} as {}", job.call, self.number, job.seq);
        self.ended(&job, Ending::Done, &result);
        if let Some(key) = &job.key {
            let done = KeyState::Done(result.clone());
            let old = self.keys.lock().expect("no holder panics").insert(key.clone(), done);
            if let Some(KeyState::Running(waiting)) = old {
                waiting.into_iter().for_each(|repeat| drop(tokio::spawn(repeat.tell(result.clone()))));
            }
        }
        self.done((job.seq, job.call, job.member), job.way, result).await;
    }

    /// Tells of a result by the way that is the job's.
    async fn done(
        self: Arc<Self>,
        (seq, call, member): (u64, String, usize),
        way: ReplyPath,
        result: String,
    ) {
        match way {
            ReplyPath::Answer(answer) => drop(answer.send(result)),
            ReplyPath::Calls => self.tell(seq, call, member, "done", result).await,
            ReplyPath::Tube { server, id, answers } => {
                server.answer(&answers, format!("{id} served\n{result}"));
                server.gone(id);
            }
        }
    }

    /// Starts what waits, as far as slots are free.
    fn next(self: &Arc<Self>) {
        let mut state = self.state();
        while state.running.len() < self.sort.slots {
            let Some(job) = state.queue.pop_front() else { return };
            state.running.insert(job.seq, job.call.clone());
            tokio::spawn(self.clone().run(job));
        }
    }

    /// A dispatcher gives an attempt up. What waits is forgotten and what runs is stopped, unless it has a key:
    /// its effect may be done already, so it goes on and repeats find its result.
    pub fn waived(self: &Arc<Self>, call: &str, member: usize) {
        self.recorder.note(What::Waived { worker: self.number, call: call.into(), member });
        let mut state = self.state();
        if let Some(at) = state.queue.iter().position(|j| j.call == call) {
            let job = state.queue.remove(at).expect("it stands there");
            if let Some(key) = &job.key {
                self.keys.lock().expect("no holder panics").remove(key);
            }
            self.ended(&job, Ending::GivenUp, "");
            return;
        }
        let running = state.running.iter().find(|(_, c)| *c == call).map(|(seq, _)| *seq);
        let Some(seq) = running else {
            state.waived.push_back(call.into());
            if state.waived.len() > MOST_WAIVED {
                state.waived.pop_front();
            }
            return;
        };
        if !has_key(call) {
            state.running.remove(&seq);
            let (worker, how) = (self.number, Ending::GivenUp);
            self.recorder.note(What::Ended { worker, seq, how, result: String::new() });
            drop(state);
            self.next();
        }
    }

    /// Tells a dispatcher, until it takes the word or all tries are used up.
    async fn tell(
        self: Arc<Self>,
        seq: u64,
        call: String,
        member: usize,
        state: &'static str,
        result: String,
    ) {
        let word = serde_json::json!({"id": call, "from": format!("w{}", self.number), "state": state,
            "result": result});
        let body = word.to_string();
        let mut taken = false;
        for _ in 0..TRIES {
            self.awake().await;
            taken = matches!(timeout(WORD, self.word(member, &body)).await, Ok(Ok(true)));
            if taken {
                break;
            }
            sleep(BETWEEN).await;
        }
        self.recorder.note(What::Heard { worker: self.number, seq, member, state: state.into(), taken });
    }

    async fn word(&self, member: usize, body: &str) -> io::Result<bool> {
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
    async fn tell(self, result: String) {
        let (worker, seq, how) = (self.worker.number, self.seq, Ending::Repeat);
        self.worker.recorder.note(What::Ended { worker, seq, how, result: result.clone() });
        self.worker.done((seq, self.call, self.member), self.way, result).await;
    }
}

/// `X-Fence: RESOURCE TOKEN`.
fn read_fence(text: &str) -> Option<Fence> {
    let (resource, token) = text.rsplit_once(' ')?;
    Some(Fence { resource: resource.into(), token: token.parse().ok()? })
}

/// Calls of keyed classes are told by their names, which clients give.
fn has_key(call: &str) -> bool {
    call.starts_with('k')
}
