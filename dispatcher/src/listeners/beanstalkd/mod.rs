//! The beanstalkd front. A job put into a tube of the operator's file is a flow of the core, on the same
//! decisions and rules as any other; its one final answer is a job in the answers tube of that tube. What is
//! open belongs to nobody's connection: a client may go and come back.

mod command;
mod tubes;

use crate::accept::AcceptRetry;
use crate::arrival::ArrivalClock;
use crate::beanstalkd::{encode_answer, read_body, read_line, skip, Line, MAX_JOB_BYTES};
use crate::body::Body;
use crate::config::BeanstalkdFront;
use crate::facade::FlowId;
use crate::flow::{Answer, Flows, Job, Listener};
use crate::listeners::connection_slots::{ConnectionSlot, ConnectionSlots, Stage};
use bytes::Bytes;
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
use tubes::{Client, Found, Tubes};

/// Answers are made urgent for nobody, and stay with who reserved them for so long.
const ANSWER_PRIORITY: u32 = 1024;
const ANSWER_TTR: Duration = Duration::from_secs(60);

/// The front, shared by its connections.
pub struct BeanstalkdListener {
    flows: Flows,
    settings: BeanstalkdFront,
    tubes: RefCell<Tubes>,
    /// Something became ready, or was taken.
    changed: Notify,
    stopping: Cell<bool>,
    slots: Rc<ConnectionSlots>,
    /// Makes references that no other dispatcher, and no earlier life of this one, has used.
    prefix: String,
}

/// The client's side of a flow that was put: its answer becomes a job.
struct Put {
    front: Rc<BeanstalkdListener>,
    id: u64,
    answers: String,
}

impl Listener for Put {
    fn answer(self: Box<Self>, answer: Answer) {
        self.front.answer(self.id, &self.answers, &answer);
    }
}

impl BeanstalkdListener {
    /// A front that begins with no job and no connection.
    pub fn new(
        flows: Flows,
        settings: BeanstalkdFront,
        prefix: String,
        arrivals: Rc<ArrivalClock>,
    ) -> Rc<Self> {
        let tubes = Tubes::new(settings.max_jobs, settings.max_bytes);
        let slots = ConnectionSlots::new(settings.max_connections, arrivals);
        Rc::new(BeanstalkdListener {
            flows,
            settings,
            slots,
            tubes: RefCell::new(tubes),
            changed: Notify::new(),
            stopping: Cell::new(false),
            prefix,
        })
    }

    /// From here on nothing is taken; what is ready can still be fetched.
    pub fn stop(&self) {
        self.stopping.set(true);
    }

    /// Jobs that are open, and answers that nobody has fetched and deleted.
    pub fn left(&self) -> usize {
        self.tubes.borrow().len()
    }

    /// Accepts and serves connections. Never ends.
    pub async fn serve(self: Rc<Self>, socket: TcpListener) {
        actix_rt::spawn(self.slots.clone().watch());
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
            let Some(taken) = self.slots.take() else {
                warn!(in_use = self.slots.count(), "beanstalkd: no slot: a connection was closed");
                continue;
            };
            // Clients of this protocol may connect long before they have anything to say.
            taken.slot.set(Stage::Idle);
            let _ = stream.set_nodelay(true);
            let front = self.clone();
            actix_rt::spawn(async move {
                let client = front.tubes.borrow_mut().connect();
                let connection = Connection::new(front.clone(), client, stream, taken.slot.clone());
                let mut served = pin!(connection.run());
                loop {
                    // The connection is kept over the loop; dropped behind it, it ends, and what its client held is
                    // released below.
                    let cut = tokio::select! {
                        cut = taken.slot.until_cut() => cut,
                        // Errors here are those of the peer.
                        _ = served.as_mut() => break,
                    };
                    if front.flows.close_permit(taken.slot.cut_facts(cut)).is_some() {
                        break;
                    }
                    taken.slot.keep();
                }
                front.tubes.borrow_mut().disconnect(client, Instant::now());
                front.changed.notify_waiters();
            });
            // One that gave way ends before the next comes: guards the bound on descriptors.
            tokio::task::yield_now().await;
        }
    }

    /// Takes a job in; the words for the client.
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
        let (budget, answers) = (mapped.budget, mapped.answers.clone());
        if delay.is_zero() {
            return match self.begin(id, job, budget, answers) {
                true => format!("INSERTED {id}"),
                false => {
                    self.tubes.borrow_mut().close(id);
                    "OUT_OF_MEMORY".into()
                }
            };
        }
        let front = self.clone();
        actix_rt::spawn(async move {
            tokio::time::sleep_until((now + delay).into()).await;
            // It may have been deleted meanwhile.
            if front.tubes.borrow().is_open(id) && !front.begin(id, job, budget, answers.clone()) {
                front.answer(id, &answers, &Answer::Refused(Duration::from_secs(1)));
            }
        });
        format!("INSERTED {id}")
    }

    fn begin(self: &Rc<Self>, id: u64, job: Job, budget: Duration, answers: String) -> bool {
        let put = |flow: FlowId| -> Box<dyn Listener> {
            self.tubes.borrow_mut().begun(id, flow);
            Box::new(Put { front: self.clone(), id, answers })
        };
        // What was answered `INSERTED` is owed its answer, also where its delay ends after SIGTERM.
        let process = if self.stopping.get() { ProcessState::Draining } else { ProcessState::Serving };
        let facts = StartFacts { process, client_gone: false };
        let Ok(permit) = self.flows.start_permit(&job.reference, facts) else { return false };
        self.flows.open(job, budget, permit, put).is_ok()
    }

    fn answer(&self, id: u64, answers: &str, answer: &Answer) {
        {
            let mut tubes = self.tubes.borrow_mut();
            // Deleted in this very moment: the client has been told that it is gone.
            if !tubes.close(id) {
                return;
            }
            let body = encode_answer(id, answer);
            tubes.put(answers, ANSWER_PRIORITY, ANSWER_TTR, body, Instant::now());
        }
        self.changed.notify_waiters();
    }

    /// Deletes a job: an answer, or an open job, which is then called off. The second time it is not found.
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

struct Connection {
    front: Rc<BeanstalkdListener>,
    client: Client,
    input: BufReader<OwnedReadHalf>,
    output: OwnedWriteHalf,
    used: String,
    slot: Rc<ConnectionSlot>,
}

impl Connection {
    fn new(
        front: Rc<BeanstalkdListener>,
        client: Client,
        stream: TcpStream,
        slot: Rc<ConnectionSlot>,
    ) -> Self {
        let (input, output) = stream.into_split();
        Connection { front, client, input: BufReader::new(input), output, used: "default".into(), slot }
    }

    /// Waits for a command to begin. From there it has so long to come whole and for its reply to be read.
    /// Whoever holds a job does not give way.
    async fn hears(&mut self) -> io::Result<bool> {
        let holds = self.front.tubes.borrow().holds(self.client);
        self.slot.set(if holds { Stage::InWork } else { Stage::Idle });
        let more = !self.input.fill_buf().await?.is_empty();
        self.slot.set(Stage::Head);
        Ok(more)
    }

    async fn run(mut self) -> io::Result<()> {
        while self.hears().await? {
            let line = match read_line(&mut self.input).await? {
                Line::Text(line) => line,
                Line::Invalid => {
                    self.say("BAD_FORMAT").await?;
                    continue;
                }
                Line::End => return Ok(()),
            };
            let reply = match Command::parse(&line) {
                Err(word) => word.into(),
                Ok(Command::Quit) => return Ok(()),
                Ok(Command::Put { pri, delay, ttr, bytes }) => {
                    if bytes > MAX_JOB_BYTES as u64 {
                        // Real clients send the body before they read what is said of it.
                        skip(&mut self.input, bytes + 2).await?;
                        "JOB_TOO_BIG".into()
                    } else {
                        match read_body(&mut self.input, bytes as usize).await? {
                            Some(body) => self.front.put(&self.used, pri, delay, ttr, body),
                            None => "EXPECTED_CRLF".into(),
                        }
                    }
                }
                Ok(Command::Reserve { within }) => {
                    self.slot.set(Stage::InWork);
                    let reserved = self.reserve(within).await?;
                    self.slot.set(Stage::Head);
                    match reserved {
                        None => return Ok(()),
                        Some(Reserved::Job(id, body)) => {
                            self.job("RESERVED", id, &body).await?;
                            continue;
                        }
                        Some(Reserved::Word(word)) => word.into(),
                    }
                }
                Ok(command) => match self.act(command) {
                    Reply::Line(line) => line,
                    Reply::Job(word, id, body) => {
                        self.job(word, id, &body).await?;
                        continue;
                    }
                    Reply::Text(text) => format!("OK {}\r\n{text}", text.len()),
                },
            };
            self.say(&reply).await?;
        }
        Ok(())
    }

    async fn say(&mut self, line: &str) -> io::Result<()> {
        self.output.write_all(format!("{line}\r\n").as_bytes()).await
    }

    async fn job(&mut self, word: &str, id: u64, body: &Bytes) -> io::Result<()> {
        let mut reply = format!("{word} {id} {}\r\n", body.len()).into_bytes();
        reply.extend_from_slice(body);
        reply.extend_from_slice(b"\r\n");
        self.output.write_all(&reply).await
    }

    /// Waits for a job; nothing where the client has gone.
    async fn reserve(&mut self, within: Option<Duration>) -> io::Result<Option<Reserved>> {
        let until = within.map(|w| Instant::now() + w);
        let mut more = false;
        loop {
            let changed = self.front.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let now = Instant::now();
            let next = {
                let mut tubes = self.front.tubes.borrow_mut();
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
                // The end of the connection ends the wait; a command that comes early has to wait.
                read = self.input.fill_buf(), if !more => match read?.is_empty() {
                    true => return Ok(None),
                    false => more = true,
                }
            }
        }
    }

    fn act(&mut self, command: Command) -> Reply {
        let (now, client, front) = (Instant::now(), self.client, &self.front);
        let line = |words: &str| Reply::Line(words.into());
        let found = |found: bool, word: &str| line(if found { word } else { "NOT_FOUND" });
        let job = |word, found: Option<(u64, Bytes)>| match found {
            Some((id, body)) => Reply::Job(word, id, body),
            None => line("NOT_FOUND"),
        };
        let text = |text: Option<String>| text.map_or_else(|| line("NOT_FOUND"), Reply::Text);
        if let Command::Delete(id) = command {
            return found(front.delete(client, id), "DELETED");
        }
        let mut tubes = front.tubes.borrow_mut();
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
            Command::PeekReady => job("FOUND", tubes.peek_first(&self.used, Found::Ready)),
            Command::PeekDelayed => job("FOUND", tubes.peek_first(&self.used, Found::Delayed)),
            Command::PeekBuried => job("FOUND", tubes.peek_first(&self.used, Found::Buried)),
            Command::StatsJob(id) => text(tubes.stats_job(id, now)),
            Command::StatsTube(tube) => {
                let mapped = front.settings.tubes.iter().any(|t| t.tube == tube || t.answers == tube);
                text(tubes.stats_tube(&tube, mapped, now))
            }
            Command::Stats => {
                Reply::Text(tubes.stats(MAX_JOB_BYTES, front.slots.count(), front.stopping.get()))
            }
            Command::ListTubes => {
                let mapped = front.settings.tubes.iter().flat_map(|t| [t.tube.as_str(), &t.answers]);
                Reply::Text(tubes.list(mapped))
            }
            Command::ListTubeUsed => Reply::Line(format!("USING {}", self.used)),
            Command::ListTubesWatched => Reply::Text(tubes.watched(client)),
            // Answered where bodies are read and waits are made, or above.
            Command::Put { .. } | Command::Reserve { .. } | Command::Delete(_) | Command::Quit => {
                line("INTERNAL_ERROR")
            }
        };
        drop(tubes);
        front.changed.notify_waiters();
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
