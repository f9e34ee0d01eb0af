//! Calls by HTTP to workers and discovery: a pool of connections for each address, bounds on calls at a time, and what is
//! known of a call that came to no answer.

use super::connections::{Connections, OpenConnection};
use super::gate::{self, Gate};
use super::health_check::health_check;
use super::load::{self, LOAD_HEADER};
use crate::facade::Load;
use crate::fleet::FencedOperation;
use crate::local_faults::is_local;
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

/// Answers of workers are short: results come as calls.
pub(super) const MAX_ANSWER_BYTES: usize = 64 << 10;
/// How long a probe may take.
pub(super) const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// How long a worker may take to say that it has taken a job. It does not wait for room: it takes or turns away.
pub(super) const ACCEPT_TIMEOUT: Duration = Duration::from_millis(500);
/// Our idle connections end before a worker ends them: a request written to one it has closed is lost.
const IDLE_TIMEOUT_FRACTION: f64 = 0.85;
/// How long connections to a worker are not kept after one broke; each further time twice as long.
const NO_KEEPALIVE_AFTER_BREAK: Duration = Duration::from_secs(10);
const MAX_NO_KEEPALIVE_DOUBLINGS: u32 = 5;

/// Why a call brought no answer.
#[derive(Debug)]
pub enum CallError {
    /// Nobody listens there: the process is dead, and what it had with it.
    Refused,
    /// No connection came up: nothing was sent.
    NoConnection(String),
    /// This machine could not make a connection: nothing was sent, and it says nothing of the other side.
    Local(String),
    /// Too many calls are out: nothing was sent, and it says nothing of the other side.
    Busy,
    /// It must no longer be sent: nothing was.
    NotPermitted,
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
            CallError::Local(e) => write!(f, "no connection could be made here: {e}"),
            CallError::Busy => write!(f, "too many calls are out"),
            CallError::NotPermitted => write!(f, "not to be sent any longer"),
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
            SendRequestError::Connect(ConnectError::Io(e)) if is_local(&e) => CallError::Local(e.to_string()),
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
    max_calls: usize,
}

/// awc ends the idle connections of an address only when it calls that address again. Guards against those to
/// workers that have left, which would stay for good: a pool that is not used goes, with all it holds.
struct Pools {
    by_addr: FxHashMap<SocketAddr, Pool>,
    last_sweep: Instant,
    connect_timeout: Duration,
    keepalive: Duration,
    max_calls: usize,
    /// Connections that are open, those that are kept included; and how many may be.
    open_connections: Rc<Cell<usize>>,
    max_open_connections: usize,
    /// These pools, for the connectors that open connections for them.
    weak_self: Weak<RefCell<Pools>>,
}

/// The connections to one address. Some ends break kept connections under the next request: guards against
/// that by keeping none for a time after one broke.
struct Pool {
    client: awc::Client,
    connections: Rc<Connections>,
    last_used: Instant,
    breaks: u32,
    /// Until when none is kept.
    no_keepalive_until: Option<Instant>,
}

impl Pools {
    /// What awc would do by itself is named here: it gives up after 5 s, and follows redirects, which would
    /// make a second attempt. Its own limit makes calls wait; ours refuses them (`most`).
    fn new_client(&self, keepalive: Duration) -> (awc::Client, Rc<Connections>) {
        let connections = Rc::new(Connections::new(self.open_connections.clone()));
        let (pools, counted) = (self.weak_self.clone(), connections.clone());
        // No pool is borrowed when the library opens a connection: it does so while a call is polled.
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

    /// How long connections of a pool are kept now.
    fn keepalive_for(&self, pool: &Pool) -> Duration {
        match pool.no_keepalive_until {
            Some(_) => Duration::ZERO,
            None => self.keepalive.mul_f64(IDLE_TIMEOUT_FRACTION),
        }
    }

    /// Before a connection for a pool is opened: where so many are open that there would be too many, the pools that were
    /// used least recently let go of theirs. Calls that are out are not ended. Guards the bound on descriptors: each
    /// address may have idle connections, and there may be many addresses.
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

    /// A connection to this address broke.
    fn connection_broke(&mut self, addr: SocketAddr) {
        let now = Instant::now();
        // Those of a dead pool end one after the other: that is one break.
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
    /// `most` calls at a time, and `most_open` connections, those that are kept included.
    pub fn new(
        connect_timeout: Duration,
        keepalive: Duration,
        max_calls: usize,
        max_open_connections: usize,
    ) -> Self {
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
        HttpClient { pools, calls: Rc::default(), max_calls }
    }

    /// A call to discovery. It needs no place among the calls that may be out: it is one at a time, and calls to workers
    /// that hang must not hold it up.
    pub async fn get(
        &self,
        addr: SocketAddr,
        path: &str,
        time_limit: Duration,
        limit: usize,
    ) -> Result<(u16, Bytes), CallError> {
        let exchange = self.exchange(Method::GET, addr, path, &[], Bytes::new(), limit);
        let answer = tokio::time::timeout(time_limit, exchange).await.unwrap_or(Err(CallError::Timeout));
        self.note_break(addr, answer).map(|answer| (answer.status, answer.body))
    }

    /// Whether a connection comes up there, as far as this machine can tell. Nothing is sent on it.
    pub async fn is_reachable(&self, addr: SocketAddr) -> bool {
        let connect_timeout = self.pools.borrow().connect_timeout;
        let connected = tokio::time::timeout(connect_timeout, TcpStream::connect(addr)).await;
        connected.is_ok_and(|connected| connected.map_or_else(|e| is_local(&e), |_| true))
    }

    /// A probe of a worker.
    pub(super) async fn probe(&self, addr: SocketAddr, path: &str) -> Result<(u16, Bytes), CallError> {
        let Some(_slot) = self.acquire_slot(&Method::GET) else { return Err(CallError::Busy) };
        self.get(addr, path, PROBE_TIMEOUT, MAX_ANSWER_BYTES).await
    }

    /// The same for the fleet; nothing where it may not act for it any longer.
    pub(super) async fn health_check(
        &self,
        addr: SocketAddr,
        path: &str,
        operation: &FencedOperation,
    ) -> Result<Option<(u16, Bytes)>, CallError> {
        let Some(_slot) = self.acquire_slot(&Method::GET) else { return Err(CallError::Busy) };
        let connect_timeout = self.pools.borrow().connect_timeout;
        health_check(addr, path, operation, (connect_timeout, PROBE_TIMEOUT), MAX_ANSWER_BYTES).await
    }

    /// A place among the calls that may be out.
    fn acquire_slot(&self, method: &Method) -> Option<CallSlot> {
        // Jobs leave room for what is short: probes, and giving jobs up.
        let max_calls =
            if *method == Method::POST { self.max_calls } else { self.max_calls + self.max_calls / 4 };
        if self.calls.get() >= max_calls {
            return None;
        }
        self.calls.set(self.calls.get() + 1);
        Some(CallSlot(self.calls.clone()))
    }

    /// A call to a worker through a gate, which is looked at right before the first byte; from that on it may take `within`, and
    /// `left` in all.
    #[allow(clippy::too_many_arguments)]
    pub(super) async fn call_gated(
        &self,
        gate: &Rc<Gate>,
        method: Method,
        addr: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
        (time_limit, left): (Duration, Duration),
        limit: usize,
    ) -> Result<HttpAnswer, CallError> {
        let Some(_slot) = self.acquire_slot(&method) else { return Err(CallError::Busy) };
        let until = Instant::now() + left;
        loop {
            let exchange = self.exchange(method.clone(), addr, path, headers, body.clone(), limit);
            let left = until.saturating_duration_since(Instant::now());
            match gate.clone().call(exchange, time_limit, left).await {
                // The pool has one connection less, and the request has not left: the next one is tried.
                Err(CallError::Stale) => gate.reset_if_stale(),
                answer => return self.note_break(addr, answer),
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
        if response.status() == StatusCode::ACCEPTED {
            // The job is taken, whatever becomes of the rest: guards against a second copy for a body that breaks, or
            // never ends. It is read only to have the connection free again.
            if response.next().now_or_never().is_none_or(|chunk| chunk.is_some()) {
                // Dropped, it ends the connection; nobody waits for it.
                actix_rt::spawn(tokio::time::timeout(ACCEPT_TIMEOUT, async move {
                    let mut left = limit;
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

pub(super) struct HttpAnswer {
    pub(super) status: u16,
    pub(super) rejected: bool,
    pub(super) load: Option<Load>,
    body: Bytes,
}
