//! Workers that take their jobs from their own beanstalkd server. A forward is a job in the server's work tube;
//! its result comes back through an answers tube that belongs to this dispatcher alone. While the process is replaced, both processes
//! read it ([`super::shared_tubes`]).
//!
//! The first line of a job names the answers tube, the client's reference and the percent-encoded idempotency key
//! (`-`: none); the body follows. The first line of an answer names the job's id and its status: `started`, `served`,
//! `failed`, or `refused` if the job was handed back without being started; the result follows.

use crate::beanstalkd::{
    body_lease, decode_answer, encode_word, read_body, read_line, Line, ABSENT, MAX_JOB_BYTES,
};
use crate::config::BeanstalkdWorkers;
use crate::facade::{Outcome, TargetId};
use crate::fleet::FencedOperation;
use crate::flow::{AttemptMessage, Flows, Forward, ForwardId, Target};
use crate::local_faults::{is_local, LOCAL_FAULT_RETRY_DELAY};
use crate::memory::{MemoryBudget, Purpose};
use crate::siblings::Delivery;
use crate::targets::shared_tubes::{Ownership, SharedTubes};
use bytes::Bytes;
use futures_util::FutureExt;
use lineroute_permit::RetryPermit;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, Notify};
use tracing::warn;

/// Time limit for the answer to a command that does not block.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(2);
/// Duration of one blocking reserve command. A connection that stays silent for longer is considered dead.
const RESERVE_WAIT: Duration = Duration::from_secs(5);
/// Added to the deadline for the time-to-run of a job, so that the server does not hand it out a second time.
const TTR_MARGIN: Duration = Duration::from_secs(60);
/// Priority and delay, in seconds, of an answer that is put back into its tube since its owner can't be asked now.
const RELEASE_PRIORITY: u32 = 1024;
const RELEASE_DELAY_SECONDS: u32 = 1;
/// Minimum and maximum delay between attempts to reach a server that holds jobs of this dispatcher.
const RECONNECT_BACKOFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));

struct Connection {
    input: BufReader<OwnedReadHalf>,
    output: OwnedWriteHalf,
    memory: Rc<MemoryBudget>,
}

async fn with_timeout<T>(time_limit: Duration, work: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    tokio::time::timeout(time_limit, work).await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

impl Connection {
    async fn open(
        addr: SocketAddr,
        time_limit: Duration,
        memory: Rc<MemoryBudget>,
    ) -> io::Result<Connection> {
        let stream = with_timeout(time_limit, TcpStream::connect(addr)).await?;
        stream.set_nodelay(true)?;
        let (input, output) = stream.into_split();
        Ok(Connection { input: BufReader::new(input), output, memory })
    }

    /// Whether there is no unsolicited input, the end of the connection included.
    fn is_idle(&mut self) -> bool {
        self.input.fill_buf().now_or_never().is_none()
    }

    async fn request(&mut self, request: &[u8], time_limit: Duration) -> io::Result<String> {
        with_timeout(time_limit, async {
            self.output.write_all(request).await?;
            match read_line(&mut self.input).await? {
                Line::Text(line) => Ok(line),
                Line::Invalid => Err(io::ErrorKind::InvalidData.into()),
                Line::End => Err(io::ErrorKind::UnexpectedEof.into()),
            }
        })
        .await
    }

    /// Sends a command whose reply must start with one of these words.
    async fn request_expecting(&mut self, request: &str, words: &[&str]) -> io::Result<String> {
        let reply = self.request(request.as_bytes(), COMMAND_TIMEOUT).await?;
        let word = reply.split(' ').next().unwrap_or_default();
        match words.contains(&word) {
            true => Ok(reply),
            false => Err(io::Error::new(io::ErrorKind::InvalidData, reply)),
        }
    }

    /// Reads the body whose size is the last word of the reply.
    async fn reply_body(&mut self, reply: &str) -> io::Result<Bytes> {
        let size = reply.rsplit(' ').next().and_then(|n| n.parse::<usize>().ok());
        let size = size.filter(|s| *s <= MAX_JOB_BYTES * 2).ok_or(io::ErrorKind::InvalidData)?;
        // A result is not lost while it waits for memory: nothing of it is read.
        let lease = self.memory.lease(body_lease(size), Purpose::Worker).await;
        let body = with_timeout(COMMAND_TIMEOUT, read_body(&mut self.input, size, lease)).await?;
        body.ok_or_else(|| io::ErrorKind::InvalidData.into())
    }

    /// Deletes a job if it was never reserved. Returns whether it was deleted.
    async fn delete_unreserved(&mut self, id: u64) -> io::Result<bool> {
        let reply = self.request_expecting(&format!("stats-job {id}\r\n"), &["OK", "NOT_FOUND"]).await?;
        if reply == "NOT_FOUND" {
            return Ok(false);
        }
        let stats = self.reply_body(&reply).await?;
        let stats = String::from_utf8_lossy(&stats).into_owned();
        let has_line = |wanted: &str| stats.lines().any(|line| line.trim() == wanted);
        // A job that was released or buried could also be deleted, but it may have run before.
        if !(has_line("reserves: 0") && (has_line("state: ready") || has_line("state: delayed"))) {
            return Ok(false);
        }
        let reply = self.request_expecting(&format!("delete {id}\r\n"), &["DELETED", "NOT_FOUND"]).await?;
        Ok(reply == "DELETED")
    }
}

enum Command {
    Put(Forward),
    /// Take a job back: unconditionally, or only if it has not started.
    Withdraw(ForwardId, WithdrawReason),
    Probe,
}

#[derive(Clone, Copy, PartialEq)]
enum WithdrawReason {
    Cancelled,
    Draining,
}

/// The beanstalkd server of one worker.
struct Server {
    target: TargetId,
    addr: SocketAddr,
    commands: mpsc::UnboundedSender<Command>,
    /// Jobs on the server, by the ids that it assigned.
    in_flight: RefCell<FxHashMap<u64, ForwardId>>,
    /// Puts that are queued or in progress.
    pending_puts: Cell<usize>,
    /// A job is being stored whose id is not known yet, so that an answer to it can't be told from others.
    is_storing: Cell<bool>,
    stored: Notify,
    is_reading_answers: Cell<bool>,
}

impl Server {
    fn job_id(&self, forward_id: ForwardId) -> Option<u64> {
        self.in_flight.borrow().iter().find(|(_, t)| **t == forward_id).map(|(id, _)| *id)
    }

    /// The id of the job that was being stored is known by now, or never will be.
    fn end_storing(&self) {
        self.is_storing.set(false);
        self.stored.notify_waiters();
    }

    fn expects_answers(&self) -> bool {
        self.pending_puts.get() > 0 || !self.in_flight.borrow().is_empty()
    }
}

/// The forwards in flight at workers with a beanstalkd server.
#[derive(Clone)]
pub struct BeanstalkdTargets {
    flows: Flows,
    work_tube: Rc<str>,
    answers_tube: Rc<str>,
    connect_timeout: Duration,
    memory: Rc<MemoryBudget>,
    servers: Rc<RefCell<FxHashMap<TargetId, Rc<Server>>>>,
    tubes: SharedTubes,
}

impl BeanstalkdTargets {
    /// `name` is the name of this dispatcher: answers tubes are not shared.
    pub fn new(
        flows: Flows,
        workers: &BeanstalkdWorkers,
        name: &str,
        connect_timeout: Duration,
        memory: Rc<MemoryBudget>,
        tubes: SharedTubes,
    ) -> Self {
        BeanstalkdTargets {
            flows,
            work_tube: workers.work_tube.as_str().into(),
            answers_tube: format!("{}.{name}", workers.answers_tube).into(),
            connect_timeout,
            memory,
            servers: Rc::default(),
            tubes,
        }
    }

    fn server(&self, target: TargetId, addr: SocketAddr) -> Rc<Server> {
        let mut servers = self.servers.borrow_mut();
        if let Some(server) = servers.get(&target).filter(|s| s.addr == addr) {
            return server.clone();
        }
        let (commands, receiver) = mpsc::unbounded_channel();
        let server = Rc::new(Server {
            target,
            addr,
            commands,
            in_flight: RefCell::default(),
            pending_puts: Cell::new(0),
            is_storing: Cell::new(false),
            stored: Notify::new(),
            is_reading_answers: Cell::new(false),
        });
        servers.insert(target, server.clone());
        actix_rt::spawn(self.clone().run_commands(server.clone(), receiver));
        server
    }

    /// Runs commands in sequence, so that a job is never withdrawn before it is put.
    async fn run_commands(self, server: Rc<Server>, mut receiver: mpsc::UnboundedReceiver<Command>) {
        let mut connection: Option<Connection> = None;
        while let Some(command) = receiver.recv().await {
            if connection.as_mut().is_some_and(|connection| !connection.is_idle()) {
                connection = None;
            }
            let broken = match command {
                Command::Put(forward) => {
                    let broken = self.put(&server, &mut connection, &forward).await;
                    server.pending_puts.set(server.pending_puts.get() - 1);
                    server.end_storing();
                    broken
                }
                Command::Withdraw(forward_id, reason) => {
                    self.withdraw(&server, &mut connection, forward_id, reason).await
                }
                Command::Probe => {
                    let is_alive = loop {
                        match self.ensure_connected(&server, &mut connection).await {
                            Ok(connection) => {
                                break connection
                                    .request_expecting("list-tube-used\r\n", &["USING"])
                                    .await
                                    .is_ok()
                            }
                            // A probe that failed for a local reason says nothing about the worker; it is
                            // retried.
                            Err(e) if is_local(&e) => tokio::time::sleep(LOCAL_FAULT_RETRY_DELAY * 2).await,
                            Err(_) => break false,
                        }
                    };
                    self.flows.probe_ended(
                        server.target,
                        if is_alive { Outcome::Served } else { Outcome::NoRoute },
                        None,
                    );
                    !is_alive
                }
            };
            if broken {
                connection = None;
            }
        }
    }

    async fn ensure_connected<'a>(
        &self,
        server: &Server,
        connection: &'a mut Option<Connection>,
    ) -> io::Result<&'a mut Connection> {
        let open = match connection.take() {
            Some(open) => open,
            None => {
                let mut open =
                    Connection::open(server.addr, self.connect_timeout, self.memory.clone()).await?;
                open.request_expecting(&format!("use {}\r\n", self.work_tube), &["USING"]).await?;
                open
            }
        };
        Ok(connection.insert(open))
    }

    /// Puts the job of a forward. Returns true if the connection can no longer be used.
    async fn put(&self, server: &Rc<Server>, connection: &mut Option<Connection>, forward: &Forward) -> bool {
        let forward_id = forward.id;
        let open = match self.ensure_connected(server, connection).await {
            Ok(open) => open,
            Err(e) if is_local(&e) => {
                tokio::time::sleep(LOCAL_FAULT_RETRY_DELAY).await;
                self.flows.forward_ended(forward_id, Outcome::Moot, None);
                return true;
            }
            Err(_) => {
                self.flows.forward_ended(forward_id, Outcome::NoRoute, None);
                return true;
            }
        };
        // A job in a tube has no path, and its first line has no place for the time that is left.
        let AttemptMessage { reference, idempotency_key, body, time_left, path: _, protocol_data: _ } =
            forward.message(Instant::now());
        let permit = self.flows.send_permit(forward, None);
        if permit.and_then(|permit| permit.check_age(Instant::now())).is_err() {
            // The worker drains, or the flow is over or cancelled since this was decided: nothing is sent.
            self.flows.forward_ended(forward_id, Outcome::Moot, None);
            return false;
        }
        let key = idempotency_key.map_or_else(|| ABSENT.to_owned(), encode_word);
        let head = format!("{} {reference} {key}\n", self.answers_tube);
        let body = body.whole();
        let size = head.len() + body.len();
        let ttr = (time_left + TTR_MARGIN).as_secs();
        let mut request = format!("put 1024 0 {ttr} {size}\r\n{head}").into_bytes();
        request.extend_from_slice(&body);
        request.extend_from_slice(b"\r\n");
        self.flows.first_byte_written(forward, None);
        server.is_storing.set(true);
        let reply = match open.request(&request, time_left.min(COMMAND_TIMEOUT)).await {
            Ok(reply) => reply,
            Err(_) => {
                // The job may have been stored.
                self.flows.forward_ended(forward_id, Outcome::Cut, None);
                return true;
            }
        };
        let (status, id) = reply.split_once(' ').unwrap_or((&reply, ""));
        match (status, id.parse::<u64>()) {
            ("INSERTED", Ok(id)) => {
                server.in_flight.borrow_mut().insert(id, forward_id);
                server.end_storing();
                self.ensure_reading_answers(server);
                if !self.flows.is_still_valid(forward) {
                    return self.withdraw(server, connection, forward_id, WithdrawReason::Draining).await;
                }
                false
            }
            ("BURIED", Ok(id)) => {
                // The server had no memory to queue the job, so no worker can have reserved it.
                let deleted = open.request_expecting(&format!("delete {id}\r\n"), &["DELETED"]).await.is_ok();
                self.flows.forward_ended(
                    forward_id,
                    if deleted { Outcome::NoRoom } else { Outcome::Cut },
                    None,
                );
                !deleted
            }
            ("OUT_OF_MEMORY" | "DRAINING" | "JOB_TOO_BIG", _) => {
                self.flows.forward_ended(forward_id, Outcome::NoRoom, None);
                false
            }
            _ => {
                warn!(server = %server.addr, reply = ?reply, "beanstalkd server: unexpected reply to put");
                self.flows.forward_ended(forward_id, Outcome::Fault, None);
                true
            }
        }
    }

    async fn withdraw(
        &self,
        server: &Server,
        connection: &mut Option<Connection>,
        forward_id: ForwardId,
        reason: WithdrawReason,
    ) -> bool {
        let Some(id) = server.job_id(forward_id) else {
            // The forward has already ended, or its job was never stored.
            self.flows.forward_ended(forward_id, Outcome::Cancelled, None);
            return false;
        };
        let withdrawn = match self.ensure_connected(server, connection).await {
            Ok(connection) => connection.delete_unreserved(id).await,
            Err(e) => Err(e),
        };
        let outcome = match (&withdrawn, reason) {
            (Ok(true), _) => Outcome::Moot,
            // A worker has reserved the job, or its state is unknown: it may have run.
            (_, WithdrawReason::Cancelled) => Outcome::Cancelled,
            // A draining worker completes the jobs that it holds, so its answer is awaited.
            (_, WithdrawReason::Draining) => return withdrawn.is_err(),
        };
        server.in_flight.borrow_mut().remove(&id);
        self.flows.forward_ended(forward_id, outcome, None);
        withdrawn.is_err()
    }

    /// Gives an answer to the process that has its job. Returns whether it can be deleted: its owner has it, or nobody can have the
    /// job.
    async fn deliver(&self, server: &Server, body: &Bytes) -> bool {
        let ownership = match self.handle_answer(server, body) {
            // Ends within the time limit of the command that stores the job.
            Ownership::Undecided => {
                server.stored.notified().await;
                self.handle_answer(server, body)
            }
            decided => decided,
        };
        match ownership {
            Ownership::Accepted => true,
            // Another job is being stored already, so the answer is not to the one that was awaited.
            Ownership::NotOurs | Ownership::Undecided => {
                self.tubes.forward(server.addr, body).await != Delivery::Unavailable
            }
        }
    }

    /// Handles an answer that another process has reserved at this server.
    pub fn accept(&self, addr: SocketAddr, body: &Bytes) -> Ownership {
        let servers: Vec<Rc<Server>> =
            self.servers.borrow().values().filter(|server| server.addr == addr).cloned().collect();
        let ownerships = servers.iter().map(|server| self.handle_answer(server, body));
        ownerships.reduce(Ownership::or).unwrap_or(Ownership::NotOurs)
    }

    /// Handles an answer of a worker, if this process has the job. A malformed one counts as accepted.
    fn handle_answer(&self, server: &Server, body: &Bytes) -> Ownership {
        let Some((id, word, result)) = decode_answer(body) else {
            warn!(server = %server.addr, "beanstalkd server: malformed job in the answers tube");
            return Ownership::Accepted;
        };
        let forward_id = server.in_flight.borrow().get(&id).copied();
        let Some(forward_id) = forward_id else {
            return match server.is_storing.get() {
                true => Ownership::Undecided,
                false => Ownership::NotOurs,
            };
        };
        self.apply_answer(server, (id, forward_id), word, result);
        Ownership::Accepted
    }

    fn apply_answer(&self, server: &Server, (id, forward_id): (u64, ForwardId), word: &str, result: Bytes) {
        let outcome = match word {
            "started" => return self.flows.job_started(forward_id),
            "served" => Outcome::Served,
            "failed" => Outcome::Fault,
            "refused" => Outcome::NoRoom,
            _ => {
                warn!(server = %server.addr, word, "beanstalkd server: unknown status in an answer");
                return;
            }
        };
        server.in_flight.borrow_mut().remove(&id);
        self.flows.forward_ended(forward_id, outcome, Some(result).filter(|_| word == "served"));
    }

    /// Starts reading answers, unless that is already running.
    fn ensure_reading_answers(&self, server: &Rc<Server>) {
        if !server.is_reading_answers.replace(true) {
            let (this, server) = (self.clone(), server.clone());
            actix_rt::spawn(async move { this.read_answers(server).await });
        }
    }

    async fn read_answers(self, server: Rc<Server>) {
        let mut backoff = RECONNECT_BACKOFF.0;
        while server.expects_answers() {
            match self.read_answers_once(&server, &mut backoff).await {
                Ok(()) => break,
                Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => {
                    // The server process is dead, and its jobs are lost with it.
                    let lost: Vec<ForwardId> =
                        server.in_flight.borrow_mut().drain().map(|(_, t)| t).collect();
                    lost.into_iter()
                        .for_each(|forward_id| self.flows.forward_ended(forward_id, Outcome::Cut, None));
                }
                Err(e) => warn!(server = %server.addr, error = %e, "beanstalkd server: connection lost"),
            }
            tokio::time::sleep(backoff).await;
            backoff = (backoff * 2).min(RECONNECT_BACKOFF.1);
        }
        server.is_reading_answers.set(false);
    }

    /// Reads answers on one connection until none are expected.
    async fn read_answers_once(&self, server: &Server, backoff: &mut Duration) -> io::Result<()> {
        let mut connection = Connection::open(server.addr, self.connect_timeout, self.memory.clone()).await?;
        connection.request_expecting(&format!("watch {}\r\n", self.answers_tube), &["WATCHING"]).await?;
        connection.request_expecting("ignore default\r\n", &["WATCHING"]).await?;
        // After a reconnect, jobs that the server no longer knows and has no answer to are lost.
        let mut missing = Vec::new();
        let known: Vec<(u64, ForwardId)> =
            server.in_flight.borrow().iter().map(|(id, t)| (*id, *t)).collect();
        for (id, forward_id) in known {
            let reply =
                connection.request_expecting(&format!("stats-job {id}\r\n"), &["OK", "NOT_FOUND"]).await?;
            match reply == "NOT_FOUND" {
                true => missing.push((id, forward_id)),
                false => drop(connection.reply_body(&reply).await?),
            }
        }
        // A sibling may have reserved their answers, and passes them on.
        let missing_until = match self.tubes.may_have_others() {
            true => Instant::now() + RESERVE_WAIT,
            false => Instant::now(),
        };
        let mut time_limit = Duration::ZERO;
        *backoff = RECONNECT_BACKOFF.0;
        while server.expects_answers() {
            let request = format!("reserve-with-timeout {}\r\n", time_limit.as_secs());
            let reply = connection.request(request.as_bytes(), time_limit + COMMAND_TIMEOUT).await?;
            if let Some(id) = reply.strip_prefix("RESERVED ").and_then(|r| r.split(' ').next()) {
                let body = connection.reply_body(&reply).await?;
                // Until it is deleted or released the server keeps it for this connection, and takes it back if that ends.
                let command = match self.deliver(server, &body).await {
                    true => format!("delete {id}\r\n"),
                    false => format!("release {id} {RELEASE_PRIORITY} {RELEASE_DELAY_SECONDS}\r\n"),
                };
                connection
                    .request_expecting(&command, &["DELETED", "RELEASED", "BURIED", "NOT_FOUND"])
                    .await?;
                continue;
            }
            if reply != "TIMED_OUT" && reply != "DEADLINE_SOON" {
                return Err(io::Error::new(io::ErrorKind::InvalidData, reply));
            }
            time_limit = RESERVE_WAIT;
            if Instant::now() < missing_until {
                continue;
            }
            for (id, forward_id) in missing.drain(..) {
                if server.in_flight.borrow_mut().remove(&id).is_some() {
                    self.flows.forward_ended(forward_id, Outcome::Cut, None);
                }
            }
        }
        Ok(())
    }
}

impl Target for BeanstalkdTargets {
    fn forward(&self, _permit: RetryPermit, forward: Forward) {
        let server = self.server(forward.target, forward.addr);
        server.pending_puts.set(server.pending_puts.get() + 1);
        self.ensure_reading_answers(&server);
        let _ = server.commands.send(Command::Put(forward));
    }

    fn cancel(&self, forward: Forward) {
        let server = self.server(forward.target, forward.addr);
        let _ = server.commands.send(Command::Withdraw(forward.id, WithdrawReason::Cancelled));
    }

    fn probe(&self, target: TargetId, addr: SocketAddr, _operation: Option<FencedOperation>) {
        let _ = self.server(target, addr).commands.send(Command::Probe);
    }

    fn target_closed(&self, target: TargetId) {
        let Some(server) = self.servers.borrow().get(&target).cloned() else { return };
        let forward_ids: Vec<ForwardId> = server.in_flight.borrow().values().copied().collect();
        for forward_id in forward_ids {
            let _ = server.commands.send(Command::Withdraw(forward_id, WithdrawReason::Draining));
        }
        if !server.expects_answers() {
            self.servers.borrow_mut().remove(&target);
        }
    }
}
