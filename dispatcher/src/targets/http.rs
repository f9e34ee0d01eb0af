//! Workers that speak the platform's HTTP: a job is posted, taken with 202, and its fate comes as calls to
//! the dispatcher's own address (`HttpTargets::news`). After the 202 a forward lives without a connection.

use super::gate::{self, Gate};
use super::load::{self, LOAD_HEADER};
use super::look::look;
use crate::facade::{Load, Outcome, TargetId};
use crate::fleet::Act;
use crate::flow::{Flows, Forward, Target, Ticket};
use awc::error::{ConnectError, SendRequestError};
use awc::http::{header, Method};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use rustc_hash::FxHashMap;
use serde::Deserialize;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;
use tracing::debug;

/// Answers of workers are short: results come as calls.
const MAX_ANSWER: usize = 64 << 10;
/// How long a probe may take.
const PROBE_WITHIN: Duration = Duration::from_millis(200);
/// Between attempts to tell a worker that is not reached that a job is given up.
const CANCEL_AGAIN: Duration = Duration::from_millis(100);
/// How long the answer to giving up a job is waited for, beyond connecting.
const CANCEL_WITHIN: Duration = Duration::from_millis(150);
/// So many answers to that may stay out: one connection may have fallen silent, not two.
const CANCEL_TIMEOUTS: u32 = 2;
/// How long a worker may take to say that it has taken a job. It does not wait for room: it takes or turns away.
const TAKEN_WITHIN: Duration = Duration::from_millis(500);
/// Our idle connections end before a worker ends them: a request written to one it has closed is lost.
const IDLE_PART: f64 = 0.85;
/// How long connections to a worker are not kept after one broke; each further time twice as long.
const NOT_KEPT: Duration = Duration::from_secs(10);
const NOT_KEPT_DOUBLINGS: u32 = 5;

/// Why a call brought no answer.
#[derive(Debug)]
pub enum CallError {
    /// Nobody listens there: the process is dead, and what it had with it.
    Refused,
    /// No connection came up: nothing was sent.
    NoConnection(String),
    /// Too many calls are out: nothing was sent, and it says nothing of the other side.
    Busy,
    /// It must no longer be sent: nothing was.
    Shut,
    /// The other side had closed the kept connection: nothing was sent.
    Stale,
    /// The connection broke before the last byte was written: nobody runs half a request.
    Unsent,
    /// No answer in time.
    Timeout,
    /// It broke, or what came was no answer: the request may have arrived.
    Broken(String),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::Refused => write!(f, "connection refused"),
            CallError::NoConnection(e) => write!(f, "no connection: {e}"),
            CallError::Busy => write!(f, "too many calls are out"),
            CallError::Shut => write!(f, "not to be sent any longer"),
            CallError::Stale => write!(f, "the kept connection was closed"),
            CallError::Unsent => write!(f, "broken before it was sent"),
            CallError::Timeout => write!(f, "no answer in time"),
            CallError::Broken(e) => write!(f, "broken: {e}"),
        }
    }
}

impl From<SendRequestError> for CallError {
    fn from(error: SendRequestError) -> Self {
        match error {
            // awc says this also of a connection that ended before the head of the answer: it was in use.
            SendRequestError::Connect(ConnectError::Disconnected) => CallError::Broken("disconnected".into()),
            SendRequestError::Connect(ConnectError::Io(e)) if e.kind() == ErrorKind::ConnectionRefused => {
                CallError::Refused
            }
            SendRequestError::Connect(e) => CallError::NoConnection(e.to_string()),
            SendRequestError::Timeout => CallError::Timeout,
            e => CallError::Broken(e.to_string()),
        }
    }
}

/// A pool of connections for each address that is called, and a bound on calls at a time.
#[derive(Clone)]
pub struct HttpClient {
    pools: Rc<RefCell<Pools>>,
    calls: Rc<Cell<usize>>,
    most: usize,
}

/// awc ends the idle connections of an address only when it calls that address again. Guards against those to
/// workers that have left, which would stay for good: a pool that is not used goes, with all it holds.
struct Pools {
    by: FxHashMap<SocketAddr, Pool>,
    swept: Instant,
    connect_within: Duration,
    keepalive: Duration,
    most: usize,
}

/// The connections to one address. Some ends break kept connections under the next request: guards against
/// that by keeping none for a time after one broke.
struct Pool {
    client: awc::Client,
    used: Instant,
    breaks: u32,
    /// Until when none is kept.
    unkept: Option<Instant>,
}

impl Pools {
    /// What awc would do by itself is named here: it gives up after 5 s, and follows redirects, which would
    /// make a second attempt. Its own limit makes calls wait; ours refuses them (`most`).
    fn connect(&self, keep: Duration) -> awc::Client {
        let connector = awc::Connector::new()
            .connector(gate::connector())
            .timeout(self.connect_within)
            .handshake_timeout(self.connect_within)
            .conn_keep_alive(keep)
            .conn_lifetime(Duration::from_secs(24 * 3600))
            .disconnect_timeout(Duration::from_millis(200))
            .limit(self.most * 2);
        awc::Client::builder()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .finish()
    }

    fn client(&mut self, addr: SocketAddr) -> awc::Client {
        let now = Instant::now();
        if now.duration_since(self.swept) >= self.keepalive / 4 {
            self.swept = now;
            let is_unkept = |pool: &Pool| pool.unkept.is_some_and(|until| now < until);
            self.by.retain(|_, p| now.duration_since(p.used) <= self.keepalive || is_unkept(p));
        }
        if self.by.get(&addr).is_none_or(|pool| pool.unkept.is_some_and(|until| now >= until)) {
            let client = self.connect(self.keepalive.mul_f64(IDLE_PART));
            let breaks = self.by.get(&addr).map_or(0, |pool| pool.breaks);
            self.by.insert(addr, Pool { client, used: now, breaks, unkept: None });
        }
        let pool = self.by.get_mut(&addr);
        pool.map(|pool| {
            pool.used = now;
            pool.client.clone()
        })
        .unwrap_or_default()
    }

    /// A connection to this address broke.
    fn broke(&mut self, addr: SocketAddr) {
        let now = Instant::now();
        // Those of a dead pool end one after the other: that is one break.
        let Some(breaks) = self.by.get(&addr).filter(|p| p.unkept.is_none()).map(|p| p.breaks) else {
            return;
        };
        let client = self.connect(Duration::ZERO);
        let unkept = Some(now + NOT_KEPT * 2u32.pow(breaks.min(NOT_KEPT_DOUBLINGS)));
        self.by.insert(addr, Pool { client, used: now, breaks: breaks + 1, unkept });
    }
}

struct Call(Rc<Cell<usize>>);

impl Drop for Call {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl HttpClient {
    pub fn new(connect_within: Duration, keepalive: Duration, most: usize) -> Self {
        let (by, swept) = (FxHashMap::default(), Instant::now());
        let pools = Pools { by, swept, connect_within, keepalive, most };
        HttpClient { pools: Rc::new(RefCell::new(pools)), calls: Rc::default(), most }
    }

    pub async fn get(
        &self,
        addr: SocketAddr,
        path: &str,
        within: Duration,
        limit: usize,
    ) -> Result<(u16, Bytes), CallError> {
        let answer = self.call(Method::GET, addr, path, &[], Bytes::new(), within, limit).await?;
        Ok((answer.status, answer.body))
    }

    /// The same for the fleet; nothing where it may not act for it any longer.
    async fn look(&self, addr: SocketAddr, path: &str, act: &Act) -> Result<Option<(u16, Bytes)>, CallError> {
        let Some(_call) = self.begin(&Method::GET) else { return Err(CallError::Busy) };
        let connect_within = self.pools.borrow().connect_within;
        look(addr, path, act, (connect_within, PROBE_WITHIN), MAX_ANSWER).await
    }

    /// A place among the calls that may be out.
    fn begin(&self, method: &Method) -> Option<Call> {
        // Jobs leave room for what is short: probes, and giving jobs up.
        let most = if *method == Method::POST { self.most } else { self.most + self.most / 4 };
        if self.calls.get() >= most {
            return None;
        }
        self.calls.set(self.calls.get() + 1);
        Some(Call(self.calls.clone()))
    }

    #[allow(clippy::too_many_arguments)]
    async fn call(
        &self,
        method: Method,
        addr: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
        within: Duration,
        limit: usize,
    ) -> Result<HttpAnswer, CallError> {
        let Some(_call) = self.begin(&method) else { return Err(CallError::Busy) };
        let exchange = self.exchange(method, addr, path, headers, body, limit);
        let answer = tokio::time::timeout(within, exchange).await.unwrap_or(Err(CallError::Timeout));
        self.judge(addr, answer)
    }

    /// The same through a gate, which is looked at right before the first byte; from that on it may take `within`, and
    /// `left` in all.
    #[allow(clippy::too_many_arguments)]
    async fn post(
        &self,
        gate: &Rc<Gate>,
        addr: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
        (within, left): (Duration, Duration),
        limit: usize,
    ) -> Result<HttpAnswer, CallError> {
        let Some(_call) = self.begin(&Method::POST) else { return Err(CallError::Busy) };
        let until = Instant::now() + left;
        loop {
            let exchange = self.exchange(Method::POST, addr, path, headers, body.clone(), limit);
            let left = until.saturating_duration_since(Instant::now());
            match gate.clone().call(exchange, within, left).await {
                // The pool has one connection less, and the request has not left: the next one is tried.
                Err(CallError::Stale) => gate.again(),
                answer => return self.judge(addr, answer),
            }
        }
    }

    fn judge(
        &self,
        addr: SocketAddr,
        answer: Result<HttpAnswer, CallError>,
    ) -> Result<HttpAnswer, CallError> {
        if let Err(CallError::Broken(_) | CallError::Unsent) = answer {
            self.pools.borrow_mut().broke(addr);
        }
        answer
    }

    async fn exchange(
        &self,
        method: Method,
        addr: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
        limit: usize,
    ) -> Result<HttpAnswer, CallError> {
        let has_body = method == Method::POST;
        let client = self.pools.borrow_mut().client(addr);
        let mut request = client.request(method, format!("http://{addr}{path}")).no_decompress();
        for &(name, value) in headers {
            request = request.insert_header((name, value));
        }
        let mut response = if has_body { request.send_body(body).await? } else { request.send().await? };
        let rejected = response.headers().get("x-rejected").is_some_and(|v| v.as_bytes() == b"1");
        let load = response.headers().get(LOAD_HEADER).and_then(|v| load::from_line(v.to_str().ok()?));
        let mut body = BytesMut::new();
        // Read to its end, also where nobody wants it: only then is the connection free again.
        while let Some(chunk) = response.next().await {
            let chunk = chunk.map_err(|e| CallError::Broken(e.to_string()))?;
            if body.len() + chunk.len() > limit {
                return Err(CallError::Broken("the answer is too long".into()));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(HttpAnswer { status: response.status().as_u16(), rejected, load, body: body.freeze() })
    }
}

struct HttpAnswer {
    status: u16,
    rejected: bool,
    load: Option<Load>,
    body: Bytes,
}

/// What a worker tells of a job.
#[derive(Debug, Deserialize)]
pub struct JobNews {
    pub id: String,
    pub from: String,
    pub state: String,
    #[serde(default)]
    pub share: Option<f64>,
    #[serde(default)]
    pub result: Option<serde_json::Value>,
    #[serde(default)]
    pub load: Option<serde_json::Value>,
}

struct Out {
    ticket: Ticket,
    worker: Rc<str>,
    task: Option<JoinHandle<()>>,
    gate: Rc<Gate>,
    /// The worker has told of the job.
    told: bool,
}

/// The forwards that are out at such workers, by the reference of their job.
#[derive(Clone)]
pub struct HttpTargets {
    flows: Flows,
    client: HttpClient,
    connect_within: Duration,
    /// Workers report their load: probes ask for it.
    reports: bool,
    out: Rc<RefCell<FxHashMap<String, Out>>>,
}

impl HttpTargets {
    pub fn new(flows: Flows, client: HttpClient, connect_within: Duration, reports: bool) -> Self {
        HttpTargets { flows, client, connect_within, reports, out: Rc::default() }
    }

    /// Takes a worker's call. It may come before the 202, again, or of an attempt that is over: only what
    /// the worker tells of the attempt that it now has is taken up. Whether it was a worker's.
    pub fn news(&self, news: JobNews) -> bool {
        let ticket = {
            let mut out = self.out.borrow_mut();
            out.get_mut(&news.id).filter(|o| *o.worker == *news.from).map(|o| {
                o.told = true;
                o.ticket
            })
        };
        let Some(ticket) = ticket else { return false };
        let end = match news.state.as_str() {
            "started" => {
                self.flows.begun(ticket);
                return true;
            }
            "running" => {
                self.flows.progress(ticket, news.share.unwrap_or(0.0));
                return true;
            }
            "done" => Outcome::Served,
            "failed" => Outcome::Fault,
            "returned" => Outcome::NoRoom,
            "lost" => Outcome::Cut,
            _ => return true,
        };
        let result = news.result.map(|r| match r {
            serde_json::Value::String(text) => Bytes::from(text),
            other => Bytes::from(other.to_string()),
        });
        let load = news.load.as_ref().and_then(|l| load::from_object(l.as_object()?));
        self.end(&news.id, ticket, end, result, load);
        true
    }

    /// Ends a forward here and in the core, unless it has ended already.
    fn end(
        &self,
        reference: &str,
        ticket: Ticket,
        outcome: Outcome,
        result: Option<Bytes>,
        load: Option<Load>,
    ) {
        {
            let mut out = self.out.borrow_mut();
            if out.get(reference).is_some_and(|o| o.ticket == ticket) {
                out.remove(reference);
            }
        }
        self.flows.ended_with(ticket, outcome, result, load);
    }

    fn is_out(&self, forward: &Forward) -> bool {
        self.out.borrow().get(&forward.job.reference).is_some_and(|o| o.ticket == forward.ticket)
    }

    fn is_told(&self, forward: &Forward) -> bool {
        let out = self.out.borrow();
        out.get(&forward.job.reference).is_some_and(|o| o.ticket == forward.ticket && o.told)
    }

    /// Tells a worker that a job is given up, until it knows. `closed`: when the connection was ended before the
    /// 202, which gives the job up too, once the worker has seen it.
    async fn call_back(&self, forward: &Forward, closed: Option<Instant>) {
        let path = format!("/jobs/{}", forward.job.reference);
        let within = self.connect_within + CANCEL_WITHIN;
        let mut timeouts = 0;
        // After the 202 a worker that is cut off still has the job until it is told: guards against a second
        // copy beside one that nobody could call back.
        while self.is_out(forward) {
            let (addr, body) = (forward.addr, Bytes::new());
            let call = self.client.call(Method::DELETE, addr, &path, &[], body, within, MAX_ANSWER);
            match call.await {
                Ok(_) => break,
                // A process that died, or one that lives and has all the connections it will hold: guards against a
                // second copy beside one that runs on there. What died with its job is told of as lost.
                Err(CallError::Refused) if closed.is_none() && !self.flows.is_listed(&forward.name) => break,
                Err(CallError::Timeout) => {
                    timeouts += 1;
                    if timeouts >= CANCEL_TIMEOUTS {
                        break;
                    }
                    continue;
                }
                // A connection may also be reset while it comes up: the end of the one before may not have got
                // there by then.
                Err(CallError::NoConnection(_) | CallError::Refused)
                    if closed.is_some_and(|at| at.elapsed() >= self.connect_within) =>
                {
                    break
                }
                // Broken: it may have been an idle connection that the worker had closed.
                Err(_) => {}
            }
            if Instant::now() >= forward.until {
                break;
            }
            tokio::time::sleep(CANCEL_AGAIN).await;
        }
    }

    /// What is asked right before a forward's first byte: whether the list still says of the worker what it said, the
    /// forward is still wanted, and somebody still waits.
    fn gate(&self, forward: &Forward) -> Rc<Gate> {
        let (flows, forward) = (self.flows.clone(), forward.clone());
        Gate::new(move || {
            let sent =
                flows.stands(&forward) && flows.is_out(forward.ticket) && Instant::now() < forward.until;
            if sent {
                debug!(flow = forward.ticket.flow.0, forward = forward.ticket.number, target = %forward.name,
                    "forward sent");
            }
            sent
        })
    }

    async fn post(&self, forward: &Forward, gate: &Rc<Gate>) {
        let job = &forward.job;
        if !self.flows.stands(forward) {
            // The worker began to drain between the decision and this moment: no connection is opened for it.
            return self.end(&job.reference, forward.ticket, Outcome::Moot, None, None);
        }
        let left = forward.until.saturating_duration_since(Instant::now());
        let budget = left.as_millis().to_string();
        let mut headers = vec![
            ("X-Call-Id", job.reference.as_str()),
            ("X-Budget-Ms", &budget),
            (header::CONTENT_TYPE.as_str(), "application/octet-stream"),
        ];
        if let Some(key) = &job.idempotency {
            headers.push(("Idempotency-Key", key));
        }
        let (addr, body, within) = (forward.addr, job.body.whole(), (TAKEN_WITHIN, left));
        let answer = self.client.post(gate, addr, &job.path, &headers, body, within, MAX_ANSWER).await;
        let load = answer.as_ref().ok().and_then(|answer| answer.load);
        let outcome = match answer {
            Ok(HttpAnswer { status: 202, .. }) => return,
            Ok(HttpAnswer { status: 503 | 504, rejected: true, .. }) => Outcome::NoRoom,
            Ok(_) => Outcome::Fault,
            Err(CallError::Refused | CallError::NoConnection(_) | CallError::Unsent) => Outcome::NoRoute,
            Err(CallError::Broken(_)) => Outcome::Cut,
            Err(CallError::Busy | CallError::Shut | CallError::Stale) => Outcome::Moot,
            Err(CallError::Timeout) if Instant::now() >= forward.until => Outcome::TimedOut,
            // The connection has fallen silent. The worker may have the job: if it says so, all is well, else
            // it is told that the job is given up, and only then the next attempt may go out.
            Err(CallError::Timeout) if self.is_told(forward) => return,
            Err(CallError::Timeout) => {
                self.call_back(forward, Some(Instant::now())).await;
                Outcome::Cut
            }
        };
        self.end(&job.reference, forward.ticket, outcome, None, load);
    }
}

impl Target for HttpTargets {
    fn forward(&self, forward: Forward) {
        let (this, copy, gate) = (self.clone(), forward.clone(), self.gate(&forward));
        let own = gate.clone();
        let task = actix_rt::spawn(async move { this.post(&copy, &own).await });
        let out = Out { ticket: forward.ticket, worker: forward.name, task: Some(task), gate, told: false };
        self.out.borrow_mut().insert(forward.job.reference.clone(), out);
    }

    fn cancel(&self, forward: Forward) {
        let (task, gate) = {
            let mut out = self.out.borrow_mut();
            let own = out.get_mut(&forward.job.reference).filter(|o| o.ticket == forward.ticket);
            own.map_or((None, None), |o| (o.task.take(), Some(o.gate.clone())))
        };
        let this = self.clone();
        actix_rt::spawn(async move {
            // Before the 202 it is the end of the connection that gives the job up. Only when that is done and
            // the worker knows may the next attempt go out: else there were two.
            let mut closed = None;
            if let Some(task) = task {
                let posting = !task.is_finished();
                task.abort();
                let _ = task.await;
                closed = posting.then(Instant::now);
                if posting && gate.is_some_and(|gate| !gate.is_open()) {
                    // Not a byte of it went out, and none will: there is nobody to tell, and it surely never ran.
                    return this.end(&forward.job.reference, forward.ticket, Outcome::Moot, None, None);
                }
            }
            this.call_back(&forward, closed).await;
            this.end(&forward.job.reference, forward.ticket, Outcome::Cancelled, None, None);
        });
    }

    fn probe(&self, target: TargetId, addr: SocketAddr, act: Option<Act>) {
        let this = self.clone();
        actix_rt::spawn(async move {
            let path = if this.reports { "/metrics/load" } else { "/alive" };
            let call = match &act {
                None => this.client.get(addr, path, PROBE_WITHIN, MAX_ANSWER).await,
                Some(act) => match this.client.look(addr, path, act).await.transpose() {
                    None => return this.flows.lapsed(target),
                    Some(call) => call,
                },
            };
            let load = call.as_ref().ok().and_then(|(_, body)| load::from_body(body));
            let outcome = match call {
                Ok((200, _)) => Outcome::Served,
                Ok((503, _)) => Outcome::NoRoom,
                Ok(_) => Outcome::Fault,
                Err(CallError::Refused | CallError::NoConnection(_)) => Outcome::NoRoute,
                Err(CallError::Timeout | CallError::Busy) => Outcome::TimedOut,
                Err(_) => Outcome::Cut,
            };
            if outcome != Outcome::Served {
                debug!(target = %addr, outcome = ?outcome, "a probe failed");
            }
            this.flows.probed(target, outcome, load);
        });
    }
}
