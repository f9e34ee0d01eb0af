//! HTTP client for workers and discovery: a connection pool for each address, a limit on concurrent calls, and
//! a classification of failed calls.

use super::connections::{Connections, OpenConnection};
use super::gate::{self, Gate};
use super::health_check::health_check;
use super::load::{self, LOAD_HEADER};
use crate::facade::Load;
use crate::fleet::FencedOperation;
use crate::local_faults::is_local;
use crate::memory::{LeasedBuffer, MemoryBudget, Purpose};
use crate::pieces::{Pieces, PIECE_BYTES};
use awc::error::{ConnectError, SendRequestError};
use awc::http::{Method, StatusCode};
use bytes::{Bytes, BytesMut};
use futures_util::{FutureExt, StreamExt};
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// Answers of workers are short, since results arrive as separate calls.
const MAX_ANSWER_BYTES: usize = 64 << 10;
pub(super) const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Time limit for a worker to accept a job. Workers do not queue requests: they accept or refuse immediately.
pub(super) const ACCEPT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle connections are closed before the worker closes them: a request written to a connection that the worker
/// has closed is lost.
const IDLE_TIMEOUT_FRACTION: f64 = 0.85;
/// How long connections to a worker are not kept alive after one broke. Doubles with each further break.
const NO_KEEPALIVE_AFTER_BREAK: Duration = Duration::from_secs(10);
const MAX_NO_KEEPALIVE_DOUBLINGS: u32 = 5;

/// Why a call failed.
#[derive(Debug)]
pub enum CallError {
    /// Nothing listens on that port: the process is dead, and its state is lost.
    Refused,
    /// No connection was established: nothing was sent.
    NoConnection(String),
    /// A local error prevented the connection: nothing was sent, and it says nothing about the peer.
    Local(String),
    /// Too many concurrent calls: nothing was sent, and it says nothing about the peer.
    Busy,
    /// The call was no longer permitted: nothing was sent.
    NotPermitted,
    /// The peer had closed the idle connection: nothing was sent.
    Stale,
    /// The connection broke before the last byte was written. Workers do not run an incomplete request.
    Unsent,
    Timeout,
    /// The connection broke, or the answer was invalid: the request may have arrived.
    Broken(String),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::Refused => write!(f, "connection refused"),
            CallError::NoConnection(e) => write!(f, "connection failed: {e}"),
            CallError::Local(e) => write!(f, "local error while connecting: {e}"),
            CallError::Busy => write!(f, "too many calls are out"),
            CallError::NotPermitted => write!(f, "no longer permitted"),
            CallError::Stale => write!(f, "idle connection was closed by the peer"),
            CallError::Unsent => write!(f, "connection broke before the request was sent"),
            CallError::Timeout => write!(f, "timed out waiting for the answer"),
            CallError::Broken(e) => write!(f, "connection broke or answer is invalid: {e}"),
        }
    }
}

impl From<SendRequestError> for CallError {
    fn from(error: SendRequestError) -> Self {
        match error {
            // awc also reports this for a connection that ended before the head of the answer; it was in use.
            SendRequestError::Connect(ConnectError::Disconnected) => CallError::Broken("disconnected".into()),
            SendRequestError::Connect(ConnectError::Io(e)) if e.kind() == ErrorKind::ConnectionRefused => {
                CallError::Refused
            }
            SendRequestError::Connect(ConnectError::Io(e)) if is_local(&e) => CallError::Local(e.to_string()),
            SendRequestError::Connect(e) => CallError::NoConnection(e.to_string()),
            SendRequestError::Timeout => CallError::Timeout,
            e => CallError::Broken(e.to_string()),
        }
    }
}

/// Limits of an [`HttpClient`].
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    pub connect_timeout: Duration,
    /// How long the peers keep idle connections.
    pub keepalive: Duration,
    /// Concurrent calls.
    pub max_calls: usize,
    /// Open connections, idle ones included.
    pub max_open_connections: usize,
}

/// HTTP client with a connection pool for each address and a limit on concurrent calls.
#[derive(Clone)]
pub struct HttpClient {
    pools: Rc<RefCell<Pools>>,
    /// For answers of workers that are kept.
    memory: Rc<MemoryBudget>,
    calls: Rc<Cell<usize>>,
    max_calls: usize,
}

/// awc closes the idle connections of an address only when that address is called again. To avoid keeping
/// connections to workers that have left, unused pools are dropped together with their connections.
struct Pools {
    by_addr: FxHashMap<SocketAddr, Pool>,
    last_sweep: Instant,
    connect_timeout: Duration,
    keepalive: Duration,
    max_calls: usize,
    /// Open connections, idle ones included, and their limit.
    open_connections: Rc<Cell<usize>>,
    max_open_connections: usize,
    /// For the connectors that open connections on behalf of these pools.
    weak_self: Weak<RefCell<Pools>>,
}

/// The connections to one address. Some peers break idle connections when the next request arrives; after such
/// a break connections are not kept alive for a time.
struct Pool {
    client: awc::Client,
    connections: Rc<Connections>,
    last_used: Instant,
    breaks: u32,
    no_keepalive_until: Option<Instant>,
}

impl Pools {
    /// Overrides the defaults of awc: a time-out of 5 s, and redirects, which would cause a second attempt. The
    /// limit of awc makes calls wait; `max_calls` refuses them.
    fn new_client(&self, keepalive: Duration) -> (awc::Client, Rc<Connections>) {
        let connections = Rc::new(Connections::new(self.open_connections.clone()));
        let (pools, counted) = (self.weak_self.clone(), connections.clone());
        // The pools are not borrowed at this point: the library opens connections while a call is polled.
        let open_connection = move || {
            pools.upgrade().iter().for_each(|pools| pools.borrow_mut().make_room(&counted));
            OpenConnection::new(counted.clone())
        };
        let connector = awc::Connector::new()
            .connector(gate::connector(open_connection))
            .timeout(self.connect_timeout)
            .handshake_timeout(self.connect_timeout)
            .conn_keep_alive(keepalive)
            .conn_lifetime(Duration::from_secs(24 * 3600))
            .disconnect_timeout(Duration::from_millis(200))
            .limit(self.max_calls * 2);
        let client = awc::Client::builder()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .finish();
        (client, connections)
    }

    /// The keep-alive time that currently applies to a pool.
    fn keepalive_for(&self, pool: &Pool) -> Duration {
        match pool.no_keepalive_until {
            Some(_) => Duration::ZERO,
            None => self.keepalive.mul_f64(IDLE_TIMEOUT_FRACTION),
        }
    }

    /// Called before a connection is opened. If the limit on open connections is reached, drops the connections
    /// of the least recently used pools. Calls in progress are not interrupted. Without this, idle connections
    /// to many addresses would exhaust the file descriptors.
    fn make_room(&mut self, requester: &Rc<Connections>) {
        while self.open_connections.get() >= self.max_open_connections {
            let pools = self
                .by_addr
                .iter()
                .filter(|(_, pool)| pool.connections.open() > 0 && !Rc::ptr_eq(&pool.connections, requester));
            let Some(addr) = pools.min_by_key(|(_, pool)| pool.last_used).map(|(addr, _)| *addr) else {
                return;
            };
            let Some(keepalive) = self.by_addr.get(&addr).map(|pool| self.keepalive_for(pool)) else {
                return;
            };
            let replacement = self.new_client(keepalive);
            let Some(pool) = self.by_addr.get_mut(&addr) else { return };
            pool.connections.release();
            (pool.client, pool.connections) = replacement;
        }
    }

    fn client(&mut self, addr: SocketAddr) -> awc::Client {
        let now = Instant::now();
        if now.duration_since(self.last_sweep) >= self.keepalive / 4 {
            self.last_sweep = now;
            let has_no_keepalive = |pool: &Pool| pool.no_keepalive_until.is_some_and(|until| now < until);
            self.by_addr
                .retain(|_, p| now.duration_since(p.last_used) <= self.keepalive || has_no_keepalive(p));
        }
        if self
            .by_addr
            .get(&addr)
            .is_none_or(|pool| pool.no_keepalive_until.is_some_and(|until| now >= until))
        {
            let (client, connections) = self.new_client(self.keepalive.mul_f64(IDLE_TIMEOUT_FRACTION));
            let breaks = self.by_addr.get(&addr).map_or(0, |pool| pool.breaks);
            self.by_addr
                .insert(addr, Pool { client, connections, last_used: now, breaks, no_keepalive_until: None });
        }
        let pool = self.by_addr.get_mut(&addr);
        pool.map(|pool| {
            pool.last_used = now;
            pool.client.clone()
        })
        .unwrap_or_default()
    }

    /// Handles a broken connection to this address.
    fn connection_broke(&mut self, addr: SocketAddr) {
        let now = Instant::now();
        // The connections of a dead peer break one after the other; this counts as one break.
        let Some(breaks) =
            self.by_addr.get(&addr).filter(|p| p.no_keepalive_until.is_none()).map(|p| p.breaks)
        else {
            return;
        };
        let (client, connections) = self.new_client(Duration::ZERO);
        let no_keepalive_until =
            Some(now + NO_KEEPALIVE_AFTER_BREAK * 2u32.pow(breaks.min(MAX_NO_KEEPALIVE_DOUBLINGS)));
        self.by_addr.insert(
            addr,
            Pool { client, connections, last_used: now, breaks: breaks + 1, no_keepalive_until },
        );
    }
}

struct CallSlot(Rc<Cell<usize>>);

impl Drop for CallSlot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl HttpClient {
    /// A client without connections. Answers of workers are held in leased memory.
    pub fn new(limits: ClientLimits, memory: Rc<MemoryBudget>) -> Self {
        let ClientLimits { connect_timeout, keepalive, max_calls, max_open_connections } = limits;
        let pools = Rc::new_cyclic(|weak_self| {
            RefCell::new(Pools {
                by_addr: FxHashMap::default(),
                last_sweep: Instant::now(),
                connect_timeout,
                keepalive,
                max_calls,
                open_connections: Rc::default(),
                max_open_connections,
                weak_self: weak_self.clone(),
            })
        });
        HttpClient { pools, memory, calls: Rc::default(), max_calls }
    }

    /// Calls discovery. This is exempt from the limit on concurrent calls: there is one such call at a time,
    /// and hanging calls to workers must not delay it. Its answer is not leased, so that no client can hold it up.
    pub async fn get(
        &self,
        addr: SocketAddr,
        path: &str,
        time_limit: Duration,
        limit: usize,
    ) -> Result<(u16, Bytes), CallError> {
        let call = Call { method: Method::GET, addr, path, headers: &[], body: Bytes::new() };
        self.get_within(call, AnswerBody::Whole { limit }, time_limit).await
    }

    async fn get_within(
        &self,
        call: Call<'_>,
        kept: AnswerBody,
        time_limit: Duration,
    ) -> Result<(u16, Bytes), CallError> {
        let addr = call.addr;
        let exchange = self.exchange(call, kept);
        let answer = tokio::time::timeout(time_limit, exchange).await.unwrap_or(Err(CallError::Timeout));
        self.note_break(addr, answer).map(|answer| (answer.status, answer.body))
    }

    /// Whether a connection can be established, as far as this machine can tell. Nothing is sent on it.
    pub async fn is_reachable(&self, addr: SocketAddr) -> bool {
        let connect_timeout = self.pools.borrow().connect_timeout;
        let connected = tokio::time::timeout(connect_timeout, TcpStream::connect(addr)).await;
        connected.is_ok_and(|connected| connected.map_or_else(|e| is_local(&e), |_| true))
    }

    /// Probes a worker.
    pub(super) async fn probe(&self, addr: SocketAddr, path: &str) -> Result<(u16, Bytes), CallError> {
        let Some(_slot) = self.acquire_slot(&Method::GET) else { return Err(CallError::Busy) };
        let call = Call { method: Method::GET, addr, path, headers: &[], body: Bytes::new() };
        self.get_within(call, AnswerBody::Leased, PROBE_TIMEOUT).await
    }

    /// Probes a worker on behalf of the fleet. `None` if this process may no longer act for the fleet.
    pub(super) async fn health_check(
        &self,
        addr: SocketAddr,
        path: &str,
        operation: &FencedOperation,
    ) -> Result<Option<(u16, Bytes)>, CallError> {
        let Some(_slot) = self.acquire_slot(&Method::GET) else { return Err(CallError::Busy) };
        let connect_timeout = self.pools.borrow().connect_timeout;
        health_check(addr, path, operation, (connect_timeout, PROBE_TIMEOUT), &self.memory).await
    }

    /// Reserves one of the concurrent calls.
    fn acquire_slot(&self, method: &Method) -> Option<CallSlot> {
        // Jobs leave room for short calls: probes and cancellations.
        let max_calls =
            if *method == Method::POST { self.max_calls } else { self.max_calls + self.max_calls / 4 };
        if self.calls.get() >= max_calls {
            return None;
        }
        self.calls.set(self.calls.get() + 1);
        Some(CallSlot(self.calls.clone()))
    }

    /// Calls a worker through a gate, which is checked right before the first byte. The call may take
    /// `time_limit` from that moment on, and `left` in total.
    pub(super) async fn call_gated(
        &self,
        gate: &Rc<Gate>,
        call: Call<'_>,
        (time_limit, left): (Duration, Duration),
    ) -> Result<HttpAnswer, CallError> {
        let Some(_slot) = self.acquire_slot(&call.method) else { return Err(CallError::Busy) };
        let until = Instant::now() + left;
        loop {
            let exchange = self.exchange(call.clone(), AnswerBody::Discarded);
            let left = until.saturating_duration_since(Instant::now());
            match gate.clone().call(exchange, time_limit, left).await {
                // The pool has dropped that connection and nothing was sent: another connection is tried.
                Err(CallError::Stale) => gate.reset_if_stale(),
                answer => return self.note_break(call.addr, answer),
            }
        }
    }

    fn note_break(
        &self,
        addr: SocketAddr,
        answer: Result<HttpAnswer, CallError>,
    ) -> Result<HttpAnswer, CallError> {
        if let Err(CallError::Broken(_) | CallError::Unsent) = answer {
            self.pools.borrow_mut().connection_broke(addr);
        }
        answer
    }

    async fn exchange(&self, call: Call<'_>, kept: AnswerBody) -> Result<HttpAnswer, CallError> {
        let Call { method, addr, path, headers, body } = call;
        let has_body = method == Method::POST;
        let client = self.pools.borrow_mut().client(addr);
        let mut request = client.request(method, format!("http://{addr}{path}")).no_decompress();
        for &(name, value) in headers {
            request = request.insert_header((name, value));
        }
        let mut response = match has_body {
            true if body.len() > PIECE_BYTES => request.send_body(Pieces(body)).await?,
            true => request.send_body(body).await?,
            false => request.send().await?,
        };
        let rejected = response.headers().get("x-rejected").is_some_and(|v| v.as_bytes() == b"1");
        let load = response.headers().get(LOAD_HEADER).and_then(|v| load::from_line(v.to_str().ok()?));
        if response.status() == StatusCode::ACCEPTED {
            // The job is accepted whatever happens to the rest of the answer: a body that breaks or never ends
            // must not cause a second copy of the job. The body is read only to make the connection reusable.
            if response.next().now_or_never().is_none_or(|chunk| chunk.is_some()) {
                // Dropping the response closes the connection; nothing waits for it.
                actix_rt::spawn(tokio::time::timeout(ACCEPT_TIMEOUT, async move {
                    let mut left = MAX_ANSWER_BYTES;
                    while let Some(Ok(chunk)) = response.next().await {
                        left = left.saturating_sub(chunk.len());
                        if left == 0 {
                            break;
                        }
                    }
                }));
            }
            return Ok(HttpAnswer { status: 202, rejected, load, body: Bytes::new() });
        }
        let mut body = ReceivedBody::new(kept);
        // The body is always read to its end, since the connection is reusable only then.
        while let Some(chunk) = response.next().await {
            let chunk = chunk.map_err(|e| CallError::Broken(e.to_string()))?;
            body.push(&chunk, &self.memory)?;
        }
        Ok(HttpAnswer { status: response.status().as_u16(), rejected, load, body: body.into_bytes() })
    }
}

/// A request to send.
#[derive(Clone, Debug)]
pub(super) struct Call<'a> {
    pub(super) method: Method,
    pub(super) addr: SocketAddr,
    pub(super) path: &'a str,
    pub(super) headers: &'a [(&'a str, &'a str)],
    pub(super) body: Bytes,
}

/// What is kept of the body of an answer.
#[derive(Clone, Copy, Debug)]
enum AnswerBody {
    /// Nothing: that of a job or a cancellation says nothing.
    Discarded,
    /// All of it, in leased memory.
    Leased,
    /// All of it, up to `limit` bytes.
    Whole { limit: usize },
}

/// The body of an answer, as far as it was received.
pub(super) struct ReceivedBody {
    kept: AnswerBody,
    length: usize,
    leased: LeasedBuffer,
    whole: BytesMut,
}

impl ReceivedBody {
    fn new(kept: AnswerBody) -> Self {
        ReceivedBody { kept, length: 0, leased: LeasedBuffer::default(), whole: BytesMut::new() }
    }

    /// The body of an answer of a worker.
    pub(super) fn leased() -> Self {
        ReceivedBody::new(AnswerBody::Leased)
    }

    /// Appends a chunk.
    ///
    /// # Errors
    /// The body is too long, or there is no memory for it now, which says nothing about the peer.
    pub(super) fn push(&mut self, chunk: &[u8], memory: &MemoryBudget) -> Result<(), CallError> {
        self.length += chunk.len();
        let limit = match self.kept {
            AnswerBody::Discarded | AnswerBody::Leased => MAX_ANSWER_BYTES,
            AnswerBody::Whole { limit } => limit,
        };
        if self.length > limit {
            return Err(CallError::Broken("answer exceeds the size limit".into()));
        }
        match self.kept {
            AnswerBody::Discarded => {}
            AnswerBody::Whole { .. } => self.whole.extend_from_slice(chunk),
            AnswerBody::Leased => {
                while let Some(bytes) = self.leased.missing_room(None, self.length, limit) {
                    let lease = memory.try_lease(bytes, Purpose::Worker);
                    let lease = lease.ok_or_else(|| CallError::Local("no memory for the answer".into()))?;
                    self.leased.extend_room(lease);
                }
                self.leased.push(chunk);
            }
        }
        Ok(())
    }

    pub(super) fn into_bytes(self) -> Bytes {
        match self.kept {
            AnswerBody::Leased => self.leased.freeze(),
            AnswerBody::Discarded | AnswerBody::Whole { .. } => self.whole.freeze(),
        }
    }
}

pub(super) struct HttpAnswer {
    pub(super) status: u16,
    pub(super) rejected: bool,
    pub(super) load: Option<Load>,
    body: Bytes,
}

#[cfg(test)]
mod tests;
