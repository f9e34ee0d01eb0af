//! The beanstalkd listener. A job put into a tube of the operator's file becomes a flow of the core, subject to the same
//! decisions and rules as any other; its single final answer becomes a job in the answers tube that belongs to that tube.
//! Open jobs are not tied to a connection: a client may disconnect and come back.

mod command;
mod tubes;

use crate::accept::AcceptRetry;
use crate::arrival::ArrivalClock;
use crate::beanstalkd::{body_lease, encode_answer, read_body, read_line, skip, Line, MAX_JOB_BYTES};
use crate::body::Body;
use crate::config::BeanstalkdListenerConfig;
use crate::facade::FlowId;
use crate::flow::{Answer, FlowTiming, Flows, Job, Listener};
use crate::listeners::connection_slots::{ConnectionSlot, ConnectionSlots, Stage};
use crate::memory::{MemoryBudget, Purpose, WAIT_TIMEOUT};
use bytes::{Buf, Bytes};
use command::Command;
use lineroute_permit::{ProcessState, StartFacts};
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tracing::warn;
use tubes::{Client, JobFilter, Tubes};

/// Priority of answers: not urgent, which beanstalkd counts priorities below 1024 as. And how long a client may keep an
/// answer reserved.
const ANSWER_PRIORITY: u32 = 1024;
const ANSWER_TTR: Duration = Duration::from_secs(60);

/// The listener, shared by its connections.
pub struct BeanstalkdListener {
    flows: Flows,
    settings: BeanstalkdListenerConfig,
    tubes: RefCell<Tubes>,
    /// Signalled when a job becomes ready or is taken.
    changed: Notify,
    stopping: Cell<bool>,
    slots: Rc<ConnectionSlots>,
    memory: Rc<MemoryBudget>,
    /// Prefix of flow references; unique among dispatchers and among earlier runs of this one.
    prefix: String,
}

/// Receives the answer of a flow that was put, and adds it to the answers tube as a job.
struct AnswerReceiver {
    listener: Rc<BeanstalkdListener>,
    id: u64,
    answers: String,
}

impl Listener for AnswerReceiver {
    fn answer(self: Box<Self>, answer: Answer) {
        self.listener.answer(self.id, &self.answers, &answer);
    }
}

impl BeanstalkdListener {
    /// Creates a listener without jobs or connections.
    pub fn new(
        flows: Flows,
        settings: BeanstalkdListenerConfig,
        prefix: String,
        arrivals: Rc<ArrivalClock>,
        memory: Rc<MemoryBudget>,
    ) -> Rc<Self> {
        let tubes = Tubes::new(settings.max_jobs, settings.max_bytes);
        let slots = ConnectionSlots::new(settings.max_connections, arrivals);
        memory.add_reclaimer(&slots);
        Rc::new(BeanstalkdListener {
            flows,
            settings,
            slots,
            memory,
            tubes: RefCell::new(tubes),
            changed: Notify::new(),
            stopping: Cell::new(false),
            prefix,
        })
    }

    /// From now on no jobs are accepted; answers can still be fetched.
    pub fn stop(&self) {
        self.stopping.set(true);
    }

    /// Number of open jobs, and of answers that were not fetched and deleted yet.
    pub fn unfinished_jobs(&self) -> usize {
        self.tubes.borrow().len()
    }

    /// Accepts and serves connections. Never returns.
    pub async fn serve(self: Rc<Self>, socket: TcpListener) {
        actix_rt::spawn(self.slots.clone().enforce_timeouts());
        let mut retry = AcceptRetry::new("beanstalkd");
        loop {
            let stream = match socket.accept().await {
                Ok((stream, _)) => stream,
                Err(e) => {
                    retry.failed(&e).await;
                    continue;
                }
            };
            retry.succeeded();
            let Some(taken) = self.slots.acquire() else {
                warn!(
                    in_use = self.slots.count(),
                    "beanstalkd: all connection slots are in use; closed a new connection"
                );
                continue;
            };
            // Clients of this protocol may connect long before they send a command.
            taken.slot.set_stage(Stage::Idle);
            let _ = stream.set_nodelay(true);
            let listener = self.clone();
            actix_rt::spawn(async move {
                let client = listener.tubes.borrow_mut().connect();
                let connection = Connection::new(listener.clone(), client, stream, taken.slot.clone());
                let mut served = pin!(connection.run());
                loop {
                    // The connection future survives the loop's iterations. It is dropped after the loop, which closes the
                    // connection; the client's reservations are released below.
                    let cause = tokio::select! {
                        cause = taken.slot.wait_for_abort() => cause,
                        // Errors here are the peer's.
                        _ = served.as_mut() => break,
                    };
                    if listener.flows.close_permit(taken.slot.abort_facts(cause)).is_some() {
                        break;
                    }
                    taken.slot.clear_abort();
                }
                listener.tubes.borrow_mut().disconnect(client, Instant::now());
                listener.changed.notify_waiters();
            });
            // Lets an evicted connection close before the next accept, which keeps to the limit on file descriptors.
            tokio::task::yield_now().await;
        }
    }

    /// Accepts a job; returns the reply for the client.
    fn put(self: &Rc<Self>, tube: &str, pri: u32, delay: Duration, ttr: Duration, body: Bytes) -> String {
        let Some(mapped) = self.settings.tubes.iter().find(|t| t.tube == tube) else {
            return "NOT_FOUND".into();
        };
        if self.stopping.get() {
            return "DRAINING".into();
        }
        let now = Instant::now();
        let Some(id) = self.tubes.borrow_mut().open(tube, pri, delay, ttr, body.clone(), now) else {
            return "OUT_OF_MEMORY".into();
        };
        let job = Job {
            reference: format!("{}-{id}", self.prefix),
            class: mapped.class,
            tenant: mapped.tenant,
            key: None,
            idempotency_key: Some(format!("{}-{id}", self.prefix)),
            slots: 1.0,
            expected_run_time: None,
            path: self.settings.path.clone(),
            protocol_data: None,
            body: Body::Buffered(body),
        };
        let timing = FlowTiming { delay, budget: mapped.budget };
        if self.open_flow(id, job, timing, mapped.answers.clone()) {
            format!("INSERTED {id}")
        } else {
            self.tubes.borrow_mut().close(id);
            "OUT_OF_MEMORY".into()
        }
    }

    /// Opens the flow of a job, which owes its client an answer from then on, also during the delay. Returns false if the flow
    /// was not opened.
    fn open_flow(self: &Rc<Self>, id: u64, job: Job, timing: FlowTiming, answers: String) -> bool {
        let put = |flow: FlowId| -> Box<dyn Listener> {
            self.tubes.borrow_mut().set_flow(id, flow);
            Box::new(AnswerReceiver { listener: self.clone(), id, answers })
        };
        let facts = StartFacts { process: ProcessState::Serving, client_gone: false };
        let Ok(permit) = self.flows.start_permit(&job.reference, facts) else { return false };
        self.flows.open(job, timing, permit, put).is_ok()
    }

    fn answer(&self, id: u64, answers: &str, answer: &Answer) {
        {
            let mut tubes = self.tubes.borrow_mut();
            // Already deleted: the client was told `DELETED`.
            if !tubes.close(id) {
                return;
            }
            let body = encode_answer(id, answer);
            tubes.put(answers, ANSWER_PRIORITY, ANSWER_TTR, body, Instant::now());
        }
        self.changed.notify_waiters();
    }

    /// Deletes an answer or an open job; the flow of an open job is cancelled. A second delete finds nothing.
    fn delete(&self, client: Client, id: u64) -> bool {
        let flow = {
            let mut tubes = self.tubes.borrow_mut();
            match tubes.flow(id) {
                None => return tubes.delete(client, id, Instant::now()),
                Some(flow) => {
                    tubes.close(id);
                    flow
                }
            }
        };
        if let Some(flow) = flow {
            self.flows.client_left(flow);
        }
        true
    }
}

/// The body of a `put`.
enum JobBody {
    Complete(Bytes),
    /// It is not followed by CRLF.
    Unterminated,
    /// There was no memory for it; it has been discarded.
    NoMemory,
}

struct Connection {
    listener: Rc<BeanstalkdListener>,
    client: Client,
    input: BufReader<OwnedReadHalf>,
    output: OwnedWriteHalf,
    used: String,
    slot: Rc<ConnectionSlot>,
}

impl Connection {
    fn new(
        listener: Rc<BeanstalkdListener>,
        client: Client,
        stream: TcpStream,
        slot: Rc<ConnectionSlot>,
    ) -> Self {
        let (input, output) = stream.into_split();
        Connection { listener, client, input: BufReader::new(input), output, used: "default".into(), slot }
    }

    /// Waits for the first byte of a command; false at the end of the connection. From then on the slot's time limit covers
    /// receiving the command and writing its reply. Connections that have a job reserved are not evicted.
    async fn wait_for_command(&mut self) -> io::Result<bool> {
        let holds = self.listener.tubes.borrow().has_reservation(self.client);
        self.slot.set_stage(if holds { Stage::Processing } else { Stage::Idle });
        let more = !self.input.fill_buf().await?.is_empty();
        self.slot.set_stage(Stage::Head);
        Ok(more)
    }

    async fn run(mut self) -> io::Result<()> {
        while self.wait_for_command().await? {
            let line = match read_line(&mut self.input).await? {
                Line::Text(line) => line,
                Line::Invalid => {
                    self.write_line("BAD_FORMAT").await?;
                    continue;
                }
                Line::End => return Ok(()),
            };
            let reply = match Command::parse(&line) {
                Err(word) => word.into(),
                Ok(Command::Quit) => return Ok(()),
                Ok(Command::Put { pri, delay, ttr, bytes }) => {
                    if bytes > MAX_JOB_BYTES as u64 {
                        // Clients send the body before they read the reply.
                        skip(&mut self.input, bytes + 2).await?;
                        "JOB_TOO_BIG".into()
                    } else {
                        match self.read_job(bytes as usize).await? {
                            JobBody::Complete(body) => self.listener.put(&self.used, pri, delay, ttr, body),
                            JobBody::Unterminated => "EXPECTED_CRLF".into(),
                            JobBody::NoMemory => "OUT_OF_MEMORY".into(),
                        }
                    }
                }
                Ok(Command::Reserve { within }) => {
                    self.slot.set_stage(Stage::Processing);
                    let reserved = self.reserve(within).await?;
                    self.slot.set_stage(Stage::Head);
                    match reserved {
                        None => return Ok(()),
                        Some(Reserved::Job(id, body)) => {
                            self.write_job("RESERVED", id, &body).await?;
                            continue;
                        }
                        Some(Reserved::Word(word)) => word.into(),
                    }
                }
                Ok(command) => match self.execute(command) {
                    Reply::Line(line) => line,
                    Reply::Job(word, id, body) => {
                        self.write_job(word, id, &body).await?;
                        continue;
                    }
                    Reply::Text(text) => format!("OK {}\r\n{text}", text.len()),
                },
            };
            self.write_line(&reply).await?;
        }
        Ok(())
    }

    /// Reads the body of a `put` once there is memory for it, and discards it if there is none.
    async fn read_job(&mut self, size: usize) -> io::Result<JobBody> {
        let bytes = body_lease(size);
        let leased = self.listener.memory.lease(bytes, Purpose::of_request(bytes));
        let Ok(lease) = tokio::time::timeout(WAIT_TIMEOUT, leased).await else {
            skip(&mut self.input, bytes as u64).await?;
            return Ok(JobBody::NoMemory);
        };
        self.slot.set_leased(bytes);
        let body = read_body(&mut self.input, size, lease).await?;
        self.slot.set_leased(0);
        Ok(body.map_or(JobBody::Unterminated, JobBody::Complete))
    }

    async fn write_line(&mut self, line: &str) -> io::Result<()> {
        self.output.write_all(format!("{line}\r\n").as_bytes()).await
    }

    async fn write_job(&mut self, word: &str, id: u64, body: &Bytes) -> io::Result<()> {
        // The body is not copied: a client that does not read must not make the process hold it twice.
        let head = Bytes::from(format!("{word} {id} {}\r\n", body.len()));
        let mut reply = head.chain(body.clone()).chain(&b"\r\n"[..]);
        self.output.write_all_buf(&mut reply).await
    }

    /// Waits for a job; `None` if the client has disconnected.
    async fn reserve(&mut self, within: Option<Duration>) -> io::Result<Option<Reserved>> {
        let until = within.map(|w| Instant::now() + w);
        let mut more = false;
        loop {
            let changed = self.listener.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let now = Instant::now();
            let next = {
                let mut tubes = self.listener.tubes.borrow_mut();
                if tubes.deadline_soon(self.client, now) {
                    return Ok(Some(Reserved::Word("DEADLINE_SOON")));
                }
                if let Some((id, body)) = tubes.reserve(self.client, now) {
                    return Ok(Some(Reserved::Job(id, body)));
                }
                tubes.next_change(self.client, now)
            };
            if until.is_some_and(|u| now >= u) {
                return Ok(Some(Reserved::Word("TIMED_OUT")));
            }
            let wake = [until, next].into_iter().flatten().min();
            let wake = wake.unwrap_or_else(|| now + Duration::from_secs(3600));
            tokio::select! {
                () = changed => {}
                () = tokio::time::sleep_until(wake.into()) => {}
                // Disconnecting ends the wait; a pipelined command has to wait until it is over.
                read = self.input.fill_buf(), if !more => match read?.is_empty() {
                    true => return Ok(None),
                    false => more = true,
                }
            }
        }
    }

    fn execute(&mut self, command: Command) -> Reply {
        let (now, client, listener) = (Instant::now(), self.client, &self.listener);
        let line = |words: &str| Reply::Line(words.into());
        let found = |found: bool, word: &str| line(if found { word } else { "NOT_FOUND" });
        let job = |word, found: Option<(u64, Bytes)>| match found {
            Some((id, body)) => Reply::Job(word, id, body),
            None => line("NOT_FOUND"),
        };
        let text = |text: Option<String>| text.map_or_else(|| line("NOT_FOUND"), Reply::Text);
        if let Command::Delete(id) = command {
            return found(listener.delete(client, id), "DELETED");
        }
        let mut tubes = listener.tubes.borrow_mut();
        tubes.advance(now);
        let reply = match command {
            Command::Use(tube) => {
                let reply = format!("USING {tube}");
                self.used = tube;
                Reply::Line(reply)
            }
            Command::Watch(tube) => match tubes.watch(client, tube) {
                Some(count) => Reply::Line(format!("WATCHING {count}")),
                None => line("OUT_OF_MEMORY"),
            },
            Command::Ignore(tube) => match tubes.ignore(client, &tube) {
                Some(count) => Reply::Line(format!("WATCHING {count}")),
                None => line("NOT_IGNORED"),
            },
            Command::ReserveJob(id) => job("RESERVED", tubes.reserve_job(client, id, now)),
            Command::Release { id, pri, delay } => {
                found(tubes.release(client, id, pri, delay, now), "RELEASED")
            }
            Command::Bury { id, pri } => found(tubes.bury(client, id, pri), "BURIED"),
            Command::Touch(id) => found(tubes.touch(client, id, now), "TOUCHED"),
            Command::Kick(bound) => Reply::Line(format!("KICKED {}", tubes.kick(&self.used, bound))),
            Command::KickJob(id) => found(tubes.kick_job(id), "KICKED"),
            Command::PauseTube { tube, delay } => found(tubes.pause(&tube, delay, now), "PAUSED"),
            Command::Peek(id) => job("FOUND", tubes.peek(id)),
            Command::PeekReady => job("FOUND", tubes.peek_first(&self.used, JobFilter::Ready)),
            Command::PeekDelayed => job("FOUND", tubes.peek_first(&self.used, JobFilter::Delayed)),
            Command::PeekBuried => job("FOUND", tubes.peek_first(&self.used, JobFilter::Buried)),
            Command::StatsJob(id) => text(tubes.stats_job(id, now)),
            Command::StatsTube(tube) => {
                let mapped = listener.settings.tubes.iter().any(|t| t.tube == tube || t.answers == tube);
                text(tubes.stats_tube(&tube, mapped, now))
            }
            Command::Stats => {
                let (connections, draining) = (listener.slots.count(), listener.stopping.get());
                Reply::Text(tubes.stats(MAX_JOB_BYTES, connections, draining, now))
            }
            Command::ListTubes => {
                let mapped = listener.settings.tubes.iter().flat_map(|t| [t.tube.as_str(), &t.answers]);
                Reply::Text(tubes.list(mapped))
            }
            Command::ListTubeUsed => Reply::Line(format!("USING {}", self.used)),
            Command::ListTubesWatched => Reply::Text(tubes.watched(client)),
            // Handled in `run`, or above.
            Command::Put { .. } | Command::Reserve { .. } | Command::Delete(_) | Command::Quit => {
                line("INTERNAL_ERROR")
            }
        };
        drop(tubes);
        listener.changed.notify_waiters();
        reply
    }
}

enum Reserved {
    Job(u64, Bytes),
    Word(&'static str),
}

enum Reply {
    Line(String),
    Job(&'static str, u64, Bytes),
    Text(String),
}
