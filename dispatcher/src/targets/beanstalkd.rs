//! Workers that take their jobs from a beanstalkd server of their own: a forward is a job in its work tube,
//! and what becomes of it comes back in an answers tube that is this dispatcher's alone.
//!
//! A job's first line names the answers tube, the client's reference and the key by which repeats are known
//! (`-`: none); the body follows. An answer's first line names the job's id and what became of it: `started`,
//! `served`, `failed`, or `refused` where it was handed back unstarted; the result follows.

use crate::beanstalkd::{read_answer, read_body, read_line, Line, MAX_JOB};
use crate::config::BeanstalkdWorkers;
use crate::facade::{Outcome, TargetId};
use crate::fleet::FencedOperation;
use crate::flow::{Flows, Forward, ForwardId, Target};
use crate::local_faults::{is_local, TRY_AGAIN_AFTER};
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
use tokio::sync::mpsc;
use tracing::warn;

/// How long a server may take to answer a command that waits for nothing.
const EXCHANGE_WITHIN: Duration = Duration::from_secs(2);
/// How long one wait for an answer lasts. A link that says nothing for longer is dead.
const RESERVE_WAIT: Duration = Duration::from_secs(5);
/// Time that a job may stay reserved beyond its deadline: no server is to hand it out a second time.
const TTR_MARGIN: Duration = Duration::from_secs(60);
/// Answers that may come before their job's id is known.
const EARLY: usize = 256;
/// Waits between attempts to reach a server that has jobs of ours.
const RETRY: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));

/// A connection to a server.
struct Link {
    input: BufReader<OwnedReadHalf>,
    output: OwnedWriteHalf,
}

async fn limit<T>(within: Duration, work: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    tokio::time::timeout(within, work).await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

impl Link {
    async fn open(addr: SocketAddr, within: Duration) -> io::Result<Link> {
        let stream = limit(within, TcpStream::connect(addr)).await?;
        stream.set_nodelay(true)?;
        let (input, output) = stream.into_split();
        Ok(Link { input: BufReader::new(input), output })
    }

    /// Nothing has come unasked, the end of the connection included.
    fn is_quiet(&mut self) -> bool {
        self.input.fill_buf().now_or_never().is_none()
    }

    async fn ask(&mut self, request: &[u8], within: Duration) -> io::Result<String> {
        limit(within, async {
            self.output.write_all(request).await?;
            match read_line(&mut self.input).await? {
                Line::Text(line) => Ok(line),
                Line::Bad => Err(io::ErrorKind::InvalidData.into()),
                Line::End => Err(io::ErrorKind::UnexpectedEof.into()),
            }
        })
        .await
    }

    /// Asks for something that must be answered by one of these words.
    async fn expect(&mut self, request: &str, words: &[&str]) -> io::Result<String> {
        let reply = self.ask(request.as_bytes(), EXCHANGE_WITHIN).await?;
        let word = reply.split(' ').next().unwrap_or_default();
        match words.contains(&word) {
            true => Ok(reply),
            false => Err(io::Error::new(io::ErrorKind::InvalidData, reply)),
        }
    }

    /// The body that a reply has announced by its last word.
    async fn body(&mut self, reply: &str) -> io::Result<Bytes> {
        let size = reply.rsplit(' ').next().and_then(|n| n.parse::<usize>().ok());
        let size = size.filter(|s| *s <= MAX_JOB * 2).ok_or(io::ErrorKind::InvalidData)?;
        let body = limit(EXCHANGE_WITHIN, read_body(&mut self.input, size)).await?;
        body.ok_or_else(|| io::ErrorKind::InvalidData.into())
    }

    /// Whether a job has never been handed to anybody, and is gone now that it has been deleted.
    async fn take_back(&mut self, id: u64) -> io::Result<bool> {
        let reply = self.expect(&format!("stats-job {id}\r\n"), &["OK", "NOT_FOUND"]).await?;
        if reply == "NOT_FOUND" {
            return Ok(false);
        }
        let stats = self.body(&reply).await?;
        let stats = String::from_utf8_lossy(&stats).into_owned();
        let says = |wanted: &str| stats.lines().any(|line| line.trim() == wanted);
        // One that was released or buried can be deleted too, but it may have run before.
        if !(says("reserves: 0") && (says("state: ready") || says("state: delayed"))) {
            return Ok(false);
        }
        let reply = self.expect(&format!("delete {id}\r\n"), &["DELETED", "NOT_FOUND"]).await?;
        Ok(reply == "DELETED")
    }
}

enum Errand {
    Put(Forward),
    /// Give a forward up: for good, or only if it has not begun.
    TakeBack(ForwardId, Why),
    Probe,
}

#[derive(Clone, Copy, PartialEq)]
enum Why {
    Cancelled,
    Draining,
}

/// One worker's server.
struct Server {
    target: TargetId,
    addr: SocketAddr,
    errands: mpsc::UnboundedSender<Errand>,
    /// Jobs that lie there, by the server's ids.
    out: RefCell<FxHashMap<u64, ForwardId>>,
    /// Puts that are under way, and answers to jobs whose ids are not known yet.
    putting: Cell<usize>,
    early: RefCell<Vec<(u64, Bytes)>>,
    listening: Cell<bool>,
}

impl Server {
    fn id_of(&self, ticket: ForwardId) -> Option<u64> {
        self.out.borrow().iter().find(|(_, t)| **t == ticket).map(|(id, _)| *id)
    }

    fn expects(&self) -> bool {
        self.putting.get() > 0 || !self.out.borrow().is_empty()
    }
}

/// The forwards that are out at such workers.
#[derive(Clone)]
pub struct BeanstalkdTargets {
    flows: Flows,
    work: Rc<str>,
    answers: Rc<str>,
    connect_within: Duration,
    servers: Rc<RefCell<FxHashMap<TargetId, Rc<Server>>>>,
}

impl BeanstalkdTargets {
    /// `name` is this dispatcher's own: answers tubes are not shared.
    pub fn new(flows: Flows, workers: &BeanstalkdWorkers, name: &str, connect_within: Duration) -> Self {
        BeanstalkdTargets {
            flows,
            work: workers.work_tube.as_str().into(),
            answers: format!("{}.{name}", workers.answers_tube).into(),
            connect_within,
            servers: Rc::default(),
        }
    }

    fn server(&self, target: TargetId, addr: SocketAddr) -> Rc<Server> {
        let mut servers = self.servers.borrow_mut();
        if let Some(server) = servers.get(&target).filter(|s| s.addr == addr) {
            return server.clone();
        }
        let (errands, work) = mpsc::unbounded_channel();
        let server = Rc::new(Server {
            target,
            addr,
            errands,
            out: RefCell::default(),
            putting: Cell::new(0),
            early: RefCell::default(),
            listening: Cell::new(false),
        });
        servers.insert(target, server.clone());
        actix_rt::spawn(self.clone().run_errands(server.clone(), work));
        server
    }

    /// Errands one after the other, so that a job is never taken back before it is put.
    async fn run_errands(self, server: Rc<Server>, mut work: mpsc::UnboundedReceiver<Errand>) {
        let mut link: Option<Link> = None;
        while let Some(errand) = work.recv().await {
            if link.as_mut().is_some_and(|l| !l.is_quiet()) {
                link = None;
            }
            let broken = match errand {
                Errand::Put(forward) => {
                    let broken = self.put(&server, &mut link, &forward).await;
                    server.putting.set(server.putting.get() - 1);
                    if server.putting.get() == 0 {
                        server.early.borrow_mut().clear();
                    }
                    broken
                }
                Errand::TakeBack(ticket, why) => self.take_back(&server, &mut link, ticket, why).await,
                Errand::Probe => {
                    let alive = loop {
                        match self.connected(&server, &mut link).await {
                            Ok(link) => break link.expect("list-tube-used\r\n", &["USING"]).await.is_ok(),
                            // A probe that this machine could not make has no result.
                            Err(e) if is_local(&e) => tokio::time::sleep(TRY_AGAIN_AFTER * 2).await,
                            Err(_) => break false,
                        }
                    };
                    self.flows.probe_ended(
                        server.target,
                        if alive { Outcome::Served } else { Outcome::NoRoute },
                        None,
                    );
                    !alive
                }
            };
            if broken {
                link = None;
            }
        }
    }

    async fn connected<'a>(&self, server: &Server, link: &'a mut Option<Link>) -> io::Result<&'a mut Link> {
        let open = match link.take() {
            Some(open) => open,
            None => {
                let mut open = Link::open(server.addr, self.connect_within).await?;
                open.expect(&format!("use {}\r\n", self.work), &["USING"]).await?;
                open
            }
        };
        Ok(link.insert(open))
    }

    /// Puts a forward's job; true where the link is of no use any more.
    async fn put(&self, server: &Rc<Server>, link: &mut Option<Link>, forward: &Forward) -> bool {
        let (ticket, job) = (forward.ticket, &forward.job);
        let open = match self.connected(server, link).await {
            Ok(open) => open,
            Err(e) if is_local(&e) => {
                tokio::time::sleep(TRY_AGAIN_AFTER).await;
                self.flows.forward_ended(ticket, Outcome::Moot, None);
                return true;
            }
            Err(_) => {
                self.flows.forward_ended(ticket, Outcome::NoRoute, None);
                return true;
            }
        };
        let left = forward.deadline.saturating_duration_since(Instant::now());
        let permit = self.flows.send_permit(forward, None);
        if permit.and_then(|permit| permit.is_current(Instant::now())).is_err() {
            // Drained, over or given up since it was decided: nothing is sent.
            self.flows.forward_ended(ticket, Outcome::Moot, None);
            return false;
        }
        let head =
            format!("{} {} {}\n", self.answers, job.reference, job.idempotency_key.as_deref().unwrap_or("-"));
        let body = job.body.whole();
        let size = head.len() + body.len();
        let ttr = (left + TTR_MARGIN).as_secs();
        let mut request = format!("put 1024 0 {ttr} {size}\r\n{head}").into_bytes();
        request.extend_from_slice(&body);
        request.extend_from_slice(b"\r\n");
        self.flows.first_byte_written(forward, None);
        let reply = match open.ask(&request, left.min(EXCHANGE_WITHIN)).await {
            Ok(reply) => reply,
            Err(_) => {
                // The job may lie there.
                self.flows.forward_ended(ticket, Outcome::Cut, None);
                return true;
            }
        };
        let (word, id) = reply.split_once(' ').unwrap_or((&reply, ""));
        match (word, id.parse::<u64>()) {
            ("INSERTED", Ok(id)) => {
                server.out.borrow_mut().insert(id, ticket);
                self.listen(server);
                let early = std::mem::take(&mut *server.early.borrow_mut());
                let (own, others): (Vec<_>, Vec<_>) = early.into_iter().partition(|(of, _)| *of == id);
                *server.early.borrow_mut() = others;
                own.iter().for_each(|(_, body)| self.answer(server, body));
                if own.is_empty() && !self.flows.is_still_valid(forward) {
                    return self.take_back(server, link, ticket, Why::Draining).await;
                }
                false
            }
            ("BURIED", Ok(id)) => {
                // The server had no memory to queue it: nobody can have had it.
                let gone = open.expect(&format!("delete {id}\r\n"), &["DELETED"]).await.is_ok();
                self.flows.forward_ended(ticket, if gone { Outcome::NoRoom } else { Outcome::Cut }, None);
                !gone
            }
            ("OUT_OF_MEMORY" | "DRAINING" | "JOB_TOO_BIG", _) => {
                self.flows.forward_ended(ticket, Outcome::NoRoom, None);
                false
            }
            _ => {
                warn!(server = %server.addr, reply = ?reply, "beanstalkd server: put was not taken");
                self.flows.forward_ended(ticket, Outcome::Fault, None);
                true
            }
        }
    }

    async fn take_back(&self, server: &Server, link: &mut Option<Link>, ticket: ForwardId, why: Why) -> bool {
        let Some(id) = server.id_of(ticket) else {
            // Ended before; or it never got there.
            self.flows.forward_ended(ticket, Outcome::Cancelled, None);
            return false;
        };
        let taken = match self.connected(server, link).await {
            Ok(link) => link.take_back(id).await,
            Err(e) => Err(e),
        };
        let outcome = match (&taken, why) {
            (Ok(true), _) => Outcome::Moot,
            // A worker has it, or it can't be told: it may have run.
            (_, Why::Cancelled) => Outcome::Cancelled,
            // A worker that drains completes what it has: its answer is awaited.
            (_, Why::Draining) => return taken.is_err(),
        };
        server.out.borrow_mut().remove(&id);
        self.flows.forward_ended(ticket, outcome, None);
        taken.is_err()
    }

    /// Takes up what a worker says of a job.
    fn answer(&self, server: &Server, body: &Bytes) {
        let Some((id, word, result)) = read_answer(body) else {
            warn!(server = %server.addr, "beanstalkd server: a job in the answers tube is no answer");
            return;
        };
        let ticket = server.out.borrow().get(&id).copied();
        let Some(ticket) = ticket else {
            let mut early = server.early.borrow_mut();
            if server.putting.get() > 0 && early.len() < EARLY {
                early.push((id, body.clone()));
            }
            return;
        };
        let outcome = match word {
            "started" => return self.flows.job_started(ticket),
            "served" => Outcome::Served,
            "failed" => Outcome::Fault,
            "refused" => Outcome::NoRoom,
            _ => {
                warn!(server = %server.addr, word, "beanstalkd server: no word for what became of a job");
                return;
            }
        };
        server.out.borrow_mut().remove(&id);
        self.flows.forward_ended(ticket, outcome, Some(result).filter(|_| word == "served"));
    }

    /// Sees that answers are waited for, as long as any are due.
    fn listen(&self, server: &Rc<Server>) {
        if !server.listening.replace(true) {
            let (this, server) = (self.clone(), server.clone());
            actix_rt::spawn(async move { this.hear(server).await });
        }
    }

    async fn hear(self, server: Rc<Server>) {
        let mut wait = RETRY.0;
        while server.expects() {
            match self.hear_link(&server, &mut wait).await {
                Ok(()) => break,
                Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => {
                    // The process is dead, and its jobs with it.
                    let lost: Vec<ForwardId> = server.out.borrow_mut().drain().map(|(_, t)| t).collect();
                    lost.into_iter().for_each(|ticket| self.flows.forward_ended(ticket, Outcome::Cut, None));
                }
                Err(e) => warn!(server = %server.addr, error = %e, "beanstalkd server: connection lost"),
            }
            tokio::time::sleep(wait).await;
            wait = (wait * 2).min(RETRY.1);
        }
        server.listening.set(false);
    }

    /// Waits for answers on one connection, until none are due.
    async fn hear_link(&self, server: &Server, wait: &mut Duration) -> io::Result<()> {
        let mut link = Link::open(server.addr, self.connect_within).await?;
        link.expect(&format!("watch {}\r\n", self.answers), &["WATCHING"]).await?;
        link.expect("ignore default\r\n", &["WATCHING"]).await?;
        // What a server that was lost for a while no longer knows, and has no answer to, is lost.
        let mut gone = Vec::new();
        let known: Vec<(u64, ForwardId)> = server.out.borrow().iter().map(|(id, t)| (*id, *t)).collect();
        for (id, ticket) in known {
            let reply = link.expect(&format!("stats-job {id}\r\n"), &["OK", "NOT_FOUND"]).await?;
            match reply == "NOT_FOUND" {
                true => gone.push((id, ticket)),
                false => drop(link.body(&reply).await?),
            }
        }
        let mut within = Duration::ZERO;
        *wait = RETRY.0;
        while server.expects() {
            let request = format!("reserve-with-timeout {}\r\n", within.as_secs());
            let reply = link.ask(request.as_bytes(), within + EXCHANGE_WITHIN).await?;
            if let Some(id) = reply.strip_prefix("RESERVED ").and_then(|r| r.split(' ').next()) {
                let body = link.body(&reply).await?;
                self.answer(server, &body);
                link.expect(&format!("delete {id}\r\n"), &["DELETED", "NOT_FOUND"]).await?;
                continue;
            }
            if reply != "TIMED_OUT" && reply != "DEADLINE_SOON" {
                return Err(io::Error::new(io::ErrorKind::InvalidData, reply));
            }
            within = RESERVE_WAIT;
            for (id, ticket) in gone.drain(..) {
                if server.out.borrow_mut().remove(&id).is_some() {
                    self.flows.forward_ended(ticket, Outcome::Cut, None);
                }
            }
        }
        Ok(())
    }
}

impl Target for BeanstalkdTargets {
    fn forward(&self, _permit: RetryPermit, forward: Forward) {
        let server = self.server(forward.target, forward.addr);
        server.putting.set(server.putting.get() + 1);
        self.listen(&server);
        let _ = server.errands.send(Errand::Put(forward));
    }

    fn cancel(&self, forward: Forward) {
        let server = self.server(forward.target, forward.addr);
        let _ = server.errands.send(Errand::TakeBack(forward.ticket, Why::Cancelled));
    }

    fn probe(&self, target: TargetId, addr: SocketAddr, _operation: Option<FencedOperation>) {
        let _ = self.server(target, addr).errands.send(Errand::Probe);
    }

    fn target_closed(&self, target: TargetId) {
        let Some(server) = self.servers.borrow().get(&target).cloned() else { return };
        let tickets: Vec<ForwardId> = server.out.borrow().values().copied().collect();
        for ticket in tickets {
            let _ = server.errands.send(Errand::TakeBack(ticket, Why::Draining));
        }
        if !server.expects() {
            self.servers.borrow_mut().remove(&target);
        }
    }
}
