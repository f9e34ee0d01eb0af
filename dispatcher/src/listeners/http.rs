//! The HTTP listener: jobs submitted by `POST`, each answered on the connection it came on; job status updates
//! from workers; and the readiness check `/up`. It only parses requests and headers; all decisions are made in the core.

use super::connection_slots::{AbortCause, ConnectionSlot, ConnectionSlots, Stage};
use super::guard::{write_without_waiting, GuardedStream};
use super::request_body::{read_body, reject, Sender};
use super::response_body::in_pieces;
use super::socket::queued;
use crate::accept::AcceptRetry;
use crate::body::{Body, StreamBudget};
use crate::config::Route;
use crate::facade::FlowId;
use crate::flow::{Answer, FlowTiming, Flows, Job, Listener, OpenError};
use crate::list::monitor::ListMonitor;
use crate::memory::MemoryBudget;
use crate::siblings::{Delivery, Siblings};
use crate::stops;
use crate::targets::http::{HttpTargets, JobUpdate};
use actix_http::body::BoxBody;
use actix_http::header::{self, HeaderMap};
use actix_http::{
    ConnectionType, HttpMessage, HttpService, KeepAlive, Method, Request, Response, StatusCode,
};
use actix_service::{IntoServiceFactory, Service, ServiceFactory};
use bytes::Bytes;
use futures_util::FutureExt;
use lineroute_permit::{CloseReason, ProcessState, RepeatSafety, StartFacts, StartPermit, StartRefusal};
use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, Notify};
use tracing::info;

/// How long an idle client connection is kept open.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(120);
/// `Retry-After` for a client that this dispatcher has no capacity for. Short, because other dispatchers may have capacity now.
pub(super) const BUSY_RETRY_AFTER: Duration = Duration::from_millis(250);
const MAX_ID_LENGTH: usize = 128;
/// Bytes of a streamed response that the server buffers for each connection before it waits for the socket.
const WRITE_BUFFER_BYTES: usize = 8 << 10;
/// Upper bound for the client's estimate of a job's run time: one day.
const MAX_WORK_US: f64 = 86_400e6;
/// Responses written to the socket directly, for connections that the HTTP server can't answer itself.
const NO_CAPACITY_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 0.250\r\n\
    Content-Length: 0\r\n\r\n";
const TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
const BAD_REQUEST_RESPONSE: &[u8] =
    b"HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
const HEAD_TOO_LARGE_RESPONSE: &[u8] =
    b"HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// Names of the configured classes, each with its default deadline, and of the configured tenants.
pub struct WorkloadNames {
    pub classes: Vec<(String, Duration)>,
    pub tenants: Vec<String>,
}

impl WorkloadNames {
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|c| c.0 == name)
    }

    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.tenants.iter().position(|t| t == name)
    }
}

/// How long after its start a process without a confirmed worker list reports that it is ready all the same. Before that it can't
/// serve what is sent to it, while other dispatchers can.
const READY_WITHOUT_LIST_AFTER: Duration = Duration::from_secs(4);

/// How long after its start a process with an inherited socket assumes that the process it replaces may still run without
/// being known as a sibling.
const REPLACEMENT_OVERLAP: Duration = Duration::from_secs(15);

/// Lifecycle of the HTTP listener: readiness, draining and stopping.
pub struct ListenerLifecycle {
    /// Other processes may accept from the same socket, so connections in its queue are not this process's alone.
    socket_shared: bool,
    /// Queued connections are left to the other processes.
    accepting_paused: Cell<bool>,
    accepting_changed: Notify,
    /// The worker list has been valid at least once, or [`READY_WITHOUT_LIST_AFTER`] has passed.
    ready: Cell<bool>,
    list: Rc<ListMonitor>,
    started_at: Instant,
    /// Responses carry `Connection: close`.
    draining: Cell<bool>,
    /// New requests are refused.
    stopping: Cell<bool>,
    stop_notify: Notify,
    /// The listening socket is to be closed.
    close_notify: Notify,
}

impl ListenerLifecycle {
    /// The state at process start. Readiness waits for a valid worker list. `shared`: other processes may accept from the
    /// same socket.
    pub fn new(list: Rc<ListMonitor>, shared: bool) -> Self {
        ListenerLifecycle {
            socket_shared: shared,
            accepting_paused: Cell::default(),
            accepting_changed: Notify::new(),
            ready: Cell::default(),
            list,
            started_at: Instant::now(),
            draining: Cell::default(),
            stopping: Cell::default(),
            stop_notify: Notify::new(),
            close_notify: Notify::new(),
        }
    }

    /// Whether a process that is not known as a sibling, and so can't be called, may accept from the same socket.
    pub fn may_have_sibling(&self) -> bool {
        self.socket_shared && (self.draining.get() || self.started_at.elapsed() < REPLACEMENT_OVERLAP)
    }

    /// Whether other processes may accept from the same socket.
    pub fn is_socket_shared(&self) -> bool {
        self.socket_shared
    }

    /// Pauses accepting, which leaves queued connections to the other processes on the socket, or resumes it.
    pub fn pause_accepting(&self, leaves: bool) {
        if self.accepting_paused.replace(leaves) != leaves {
            info!(leaves, "new connections are left to another process");
            self.accepting_changed.notify_one();
        }
    }

    /// Whether clients may be routed here. Once true, it stays true until draining starts.
    pub fn is_ready(&self) -> bool {
        let ready = self.ready.get()
            || self.list.state().is_valid()
            || self.started_at.elapsed() >= READY_WITHOUT_LIST_AFTER;
        self.ready.set(ready);
        ready && !self.draining.get()
    }

    /// From now on every response closes its connection.
    pub fn start_draining(&self) {
        self.draining.set(true);
    }

    /// From now on new requests are refused, and idle connections are closed.
    pub fn start_stopping(&self) {
        self.stopping.set(true);
        self.stop_notify.notify_waiters();
    }

    /// Closes the listening socket. Called once all requests are answered and no further calls from workers are expected.
    pub fn close_socket(&self) {
        self.close_notify.notify_one();
    }

    pub fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// The state of the process, as the permit rules see it.
    pub fn state(&self) -> ProcessState {
        match (self.stopping.get(), self.draining.get()) {
            (true, _) => ProcessState::Stopping,
            (false, true) => ProcessState::Draining,
            (false, false) => ProcessState::Serving,
        }
    }

    /// Resolves when the connection has to be closed because the process stops, which happens only while it is idle. A request
    /// in progress is answered, and its response closes the connection. Connections accepted after the stop has begun are not
    /// closed here: workers still send updates for the flows that are being finished.
    async fn wait_for_stop_while_idle(&self, guarded: &GuardedStream) {
        if !self.stopping.get() {
            self.stop_notify.notified().await;
            if guarded.is_idle_and_empty() {
                return;
            }
        }
        std::future::pending().await
    }
}

pub struct HttpListener {
    pub flows: Flows,
    pub targets: HttpTargets,
    pub names: Rc<WorkloadNames>,
    pub routes: Vec<Route>,
    pub lifecycle: Rc<ListenerLifecycle>,
    pub slots: Rc<ConnectionSlots>,
    /// Memory shared by all bodies that are being streamed.
    pub budgets: StreamBudget,
    /// Memory for everything else that connections hold.
    pub memory: Rc<MemoryBudget>,
    /// The other processes of this dispatcher; `None` if there can't be any.
    pub siblings: Option<Rc<Siblings>>,
    /// Prefix of the ids and keys generated for jobs that came without one, and how many were generated.
    pub id_prefix: String,
    pub generated_ids: Cell<u64>,
}

/// Passes the answer to the task that serves the connection.
struct ResponseChannel(oneshot::Sender<Answer>);

impl Listener for ResponseChannel {
    fn answer(self: Box<Self>, answer: Answer) {
        // If the receiver is gone, the client has disconnected, and its connection has already reported that.
        let _ = self.0.send(answer);
    }
}

/// Reports to the core that the client has left if the waiting task is dropped before the flow is answered.
struct FlowGuard {
    flows: Flows,
    id: FlowId,
    answered: bool,
}

impl Drop for FlowGuard {
    fn drop(&mut self) {
        if !self.answered {
            self.flows.client_left(self.id);
        }
    }
}

impl HttpListener {
    /// Accepts and serves connections until the listening socket is to be closed.
    pub async fn serve(self: Rc<Self>, socket: TcpListener) {
        let this = self.clone();
        let service = move |request: Request| {
            let this = this.clone();
            async move { Ok::<_, Infallible>(this.handle(request).await) }
        };
        let factory = HttpService::<GuardedStream, _, _>::build()
            .keep_alive(KeepAlive::Timeout(KEEP_ALIVE_TIMEOUT))
            // Both time-outs are enforced by the connection slots and the guarded stream.
            .client_request_timeout(Duration::ZERO)
            .client_disconnect_timeout(Duration::ZERO)
            // Unreadable data after a request must not abort that request; the guarded stream detects disconnects.
            .h1_allow_half_closed(true)
            .h1_write_buffer_size(WRITE_BUFFER_BYTES)
            .on_connect_ext(|io: &GuardedStream, data| drop(data.insert(io.slot.clone())))
            .h1(actix_service::fn_service(service).into_factory());
        let Ok(service) = factory.new_service(()).await else { return };
        let service = Rc::new(service);
        actix_rt::spawn(self.slots.clone().enforce_timeouts());
        let arrivals = &self.slots.arrivals;
        let mut retry = AcceptRetry::new("http");
        loop {
            // Checked first: the accept queue may never become empty.
            if self.lifecycle.close_notify.notified().now_or_never().is_some() {
                break;
            }
            if self.lifecycle.accepting_paused.get() {
                // Dropping the losing branch loses nothing: `Notify` keeps a permit that nobody waited for.
                tokio::select! {
                    () = self.lifecycle.close_notify.notified() => break,
                    () = self.lifecycle.accepting_changed.notified() => continue,
                }
            }
            // A connection that is accepted without waiting was in the queue.
            let checked_at = Instant::now();
            let immediate = socket.accept().now_or_never();
            let queued = immediate.is_some();
            let accepted = match immediate {
                Some(accepted) => accepted,
                None => {
                    arrivals.record_queue_empty(checked_at);
                    // Cancel-safe: a connection that is not accepted stays in the queue.
                    let accepted = tokio::select! {
                        accepted = socket.accept() => accepted,
                        () = self.lifecycle.close_notify.notified() => break,
                        () = self.lifecycle.accepting_changed.notified() => continue,
                    };
                    // The queue was empty until this connection came, so connections behind it came no earlier.
                    arrivals.record_queue_empty(arrivals.earliest_arrival(Instant::now()));
                    accepted
                }
            };
            match accepted {
                Ok((stream, peer)) => {
                    retry.succeeded();
                    stops::at("http.accepted");
                    let now = Instant::now();
                    let since = if queued {
                        arrivals.earliest_queued_arrival(now)
                    } else {
                        arrivals.earliest_arrival(now)
                    };
                    self.admit(service.clone(), stream, peer, since);
                }
                Err(e) => retry.failed(&e).await,
            }
            // Lets an evicted connection close before the next accept, which keeps to the limit on file descriptors.
            tokio::task::yield_now().await;
        }
        stops::at("stop.over");
        // Closing the socket resets the connections in its queue, so they are accepted first. The kernel is asked directly, since
        // the event loop may not know of them yet, and nothing is awaited before the socket is closed.
        if self.lifecycle.socket_shared {
            return;
        }
        for (stream, peer) in queued(&socket) {
            let since = arrivals.earliest_queued_arrival(Instant::now());
            self.admit(service.clone(), stream, peer, since);
        }
    }

    /// Serves one connection. Bytes that are already in its socket arrived after `since`.
    fn admit<S>(&self, service: Rc<S>, stream: TcpStream, peer: SocketAddr, since: Instant)
    where
        S: Service<(GuardedStream, Option<SocketAddr>)> + 'static,
    {
        let _ = stream.set_nodelay(true);
        let Some(taken) = self.slots.acquire() else {
            // Every slot is processing a request. Nothing was read from this connection, so the client can safely retry.
            write_without_waiting(&stream, NO_CAPACITY_RESPONSE);
            return;
        };
        taken.slot.mark_unread_since(since);
        let proxied = self.routes.iter().any(|r| r.proxy.is_some());
        let (lifecycle, flows, memory) = (self.lifecycle.clone(), self.flows.clone(), self.memory.clone());
        actix_rt::spawn(async move {
            let guarded = GuardedStream::new(stream, taken.slot.clone(), proxied, memory);
            let mut served = pin!(service.call((guarded.clone(), Some(peer))));
            let cause = loop {
                // Order matters: a request that is read just as its client disconnects must not be accepted. Futures dropped
                // after the loop hold only a flow guard, which reports to the core; those dropped inside it check the
                // connection's state again in the next round.
                let (cause, facts) = tokio::select! {
                    biased;
                    cause = taken.slot.wait_for_abort() => (Some(cause), taken.slot.abort_facts(cause)),
                    () = guarded.watch_for_close() => (None, taken.slot.close_facts(CloseReason::ClientClosed)),
                    () = lifecycle.wait_for_stop_while_idle(&guarded) => {
                        (None, taken.slot.close_facts(CloseReason::Stopping))
                    }
                    // Errors here are the peer's: it disconnected, or sent invalid HTTP.
                    _ = served.as_mut() => {
                        if taken.slot.stage() == Stage::Processing && !taken.slot.has_peer_closed() {
                            flows.closed_with_answer_pending();
                        }
                        break None;
                    }
                };
                if flows.close_permit(facts).is_some() {
                    break cause;
                }
                taken.slot.clear_abort();
            };
            let ended = async {
                match cause {
                    Some(AbortCause::Discard | AbortCause::ResponseStalled) => return,
                    Some(AbortCause::MemoryNeeded) if !taken.slot.has_been_answered() => {
                        guarded.write_final(NO_CAPACITY_RESPONSE)
                    }
                    Some(AbortCause::Malformed) if !taken.slot.has_been_answered() => {
                        guarded.write_final(BAD_REQUEST_RESPONSE)
                    }
                    Some(AbortCause::Timeout) if !taken.slot.has_been_answered() => {
                        guarded.write_final(TIMEOUT_RESPONSE)
                    }
                    Some(AbortCause::HeadTooLarge) if !taken.slot.has_been_answered() => {
                        guarded.write_final(HEAD_TOO_LARGE_RESPONSE)
                    }
                    None if lifecycle.draining.get() => return guarded.close().await,
                    Some(_) | None => {}
                }
                guarded.drain_and_close().await;
            };
            // Keeps to the limit on file descriptors: a connection that has had its last response does not linger when its slot
            // is needed. Dropping it closes it; no response is pending.
            tokio::select! {
                () = ended => {}
                () = taken.slot.wait_for_discard() => {}
            }
        });
    }

    async fn handle(&self, request: Request) -> Response<BoxBody> {
        let slot = request.conn_data::<Rc<ConnectionSlot>>().cloned();
        let mut response = self.respond(request, slot.clone()).await;
        if let Some(slot) = slot.filter(|_| !streams_body(&response)) {
            slot.set_stage(Stage::Idle);
        }
        if self.lifecycle.draining.get() {
            response.head_mut().set_connection_type(ConnectionType::Close);
        }
        response
    }

    async fn respond(&self, request: Request, slot: Option<Rc<ConnectionSlot>>) -> Response<BoxBody> {
        if let Some(route) = Route::find(&self.routes, request.path()) {
            if let Some(proxy) = &route.proxy {
                return self.pass(request, route, proxy, slot).await;
            }
        }
        in_pieces(self.respond_buffered(request, slot.as_deref()).await, slot.as_ref())
    }

    async fn respond_buffered(&self, request: Request, slot: Option<&ConnectionSlot>) -> Response<Bytes> {
        let (get, post) = (request.method() == Method::GET, request.method() == Method::POST);
        let path = request.path().to_owned();
        match path.as_str() {
            "/up" if get && self.lifecycle.is_ready() => text_response(StatusCode::OK, "up\n"),
            "/up" if get && self.lifecycle.draining.get() => {
                text_response(StatusCode::SERVICE_UNAVAILABLE, "stopping\n")
            }
            "/up" if get => text_response(StatusCode::SERVICE_UNAVAILABLE, "waiting for the worker list\n"),
            "/_jobs/news" if post => self.worker_call(request, slot).await,
            "/up" | "/_jobs/news" => {
                reject(request, slot, StatusCode::METHOD_NOT_ALLOWED, "method not allowed\n").await
            }
            path => match Route::find(&self.routes, path) {
                None => reject(request, slot, StatusCode::NOT_FOUND, "no such path\n").await,
                Some(_) if !post => {
                    reject(request, slot, StatusCode::METHOD_NOT_ALLOWED, "jobs come by POST\n").await
                }
                Some(route) => self.job(request, route, slot).await,
            },
        }
    }

    /// Reads a worker's call. What is leased for it is kept for the result in it.
    async fn worker_call(&self, mut request: Request, slot: Option<&ConnectionSlot>) -> Response<Bytes> {
        let body = match read_body(&mut request, slot, &self.memory, Sender::Worker).await {
            Ok(body) => body,
            Err(error) => return error.response(),
        };
        let Ok(update) = serde_json::from_slice::<JobUpdate>(body.as_ref()) else {
            return text_response(StatusCode::BAD_REQUEST, "not a worker's call\n");
        };
        let lease = Some(Arc::new(body.into_leases()));
        self.job_update(JobUpdate { lease, ..update }, slot).await
    }

    /// Handles a worker's job status update, for a job of this process or of a sibling. Answered with 200 only if one of them
    /// has accepted it or none has the job; otherwise with 503, so that the worker sends it again.
    async fn job_update(&self, update: JobUpdate, slot: Option<&ConnectionSlot>) -> Response<Bytes> {
        let delivery = if self.targets.has_attempt(&update) {
            self.targets.apply_update(update);
            Delivery::Accepted
        } else {
            let delivery = match &self.siblings {
                Some(siblings) => siblings.forward_update(&update).await,
                None if self.lifecycle.may_have_sibling() => Delivery::Unavailable,
                None => Delivery::Unknown,
            };
            self.targets.count_foreign_update(&update, delivery);
            delivery
        };
        match delivery {
            Delivery::Accepted => {
                slot.into_iter().for_each(ConnectionSlot::mark_as_worker);
                text_response(StatusCode::OK, "")
            }
            Delivery::Unknown => text_response(StatusCode::OK, ""),
            Delivery::Unavailable => {
                text_response(StatusCode::SERVICE_UNAVAILABLE, "tell it again: its process can't be asked\n")
            }
        }
    }

    async fn job(
        &self,
        mut request: Request,
        route: &Route,
        slot: Option<&ConnectionSlot>,
    ) -> Response<Bytes> {
        let (mut job, budget) = match self.read_head(&request, route) {
            Ok(read) => read,
            Err(reason) => return reject(request, slot, StatusCode::BAD_REQUEST, reason).await,
        };
        let arrived = slot.map_or_else(Instant::now, ConnectionSlot::arrived);
        job.body = match read_body(&mut request, slot, &self.memory, Sender::Client).await {
            Ok(body) => Body::Buffered(body.freeze()),
            Err(error) => return error.response(),
        };
        let Ok(permit) = self.start_permit(&job.reference, slot) else {
            return unavailable(BUSY_RETRY_AFTER);
        };
        let budget = budget.saturating_sub(arrived.elapsed());
        match self.take(job, budget, permit).await {
            Err(OpenError::Full | OpenError::ReferenceUnverified) => unavailable(BUSY_RETRY_AFTER),
            Err(OpenError::Duplicate) => text_response(StatusCode::CONFLICT, "this id is in work\n"),
            Ok(Some(Answer::Served(result))) => respond(StatusCode::OK, result, None),
            Ok(Some(Answer::Refused(after))) => unavailable(after),
            Ok(_) => text_response(StatusCode::GATEWAY_TIMEOUT, "the job was not done\n"),
        }
    }

    /// The permit to accept a request that was read completely.
    pub(super) fn start_permit(
        &self,
        reference: &str,
        slot: Option<&ConnectionSlot>,
    ) -> Result<StartPermit, StartRefusal> {
        let facts = StartFacts { process: self.lifecycle.state(), client_gone: client_disconnected(slot) };
        self.flows.start_permit(reference, facts)
    }

    /// Opens a flow and waits for its answer. If this future is dropped because the client has gone, the core is told.
    pub(super) async fn take(
        &self,
        job: Job,
        budget: Duration,
        permit: StartPermit,
    ) -> Result<Option<Answer>, OpenError> {
        let (sender, answer) = oneshot::channel();
        let id = self
            .flows
            .open(job, FlowTiming::immediate(budget), permit, |_| Box::new(ResponseChannel(sender)))?;
        let mut guard = FlowGuard { flows: self.flows.clone(), id, answered: false };
        let answer = answer.await;
        guard.answered = answer.is_ok();
        Ok(answer.ok())
    }

    /// An id that no other job or key of this dispatcher has.
    fn generate_id(&self) -> String {
        self.generated_ids.set(self.generated_ids.get() + 1);
        format!("{}-h{}", self.id_prefix, self.generated_ids.get())
    }

    pub(super) fn read_head(
        &self,
        request: &Request,
        route: &Route,
    ) -> Result<(Job, Duration), &'static str> {
        let headers = request.headers();
        let id = match header_text(headers, "x-call-id")? {
            Some(id) => id.to_owned(),
            // Routes with a class set by the operator also serve clients that don't send the platform's headers.
            None if route.class.is_some() => self.generate_id(),
            None => return Err("X-Call-Id is missing\n"),
        };
        let plain_id = id.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.:~".contains(&b));
        if id.is_empty() || id.len() > MAX_ID_LENGTH || !plain_id {
            return Err("X-Call-Id is not a plain word of 1 to 128 characters\n");
        }
        let class = match (route.class, header_text(headers, "x-call-class")?) {
            (Some(class), _) => class,
            (None, Some(name)) => self.names.class(name).ok_or("X-Call-Class is no class\n")?,
            (None, None) => return Err("X-Call-Class is missing\n"),
        };
        let tenant = match header_text(headers, "x-caller")? {
            Some(name) => Some(self.names.tenant(name).ok_or("X-Caller is no tenant\n")?),
            None => None,
        };
        let longest = route.budget.unwrap_or(self.names.classes[class].1);
        let budget = match header_text(headers, "x-budget-ms")? {
            Some(ms) => ms.trim().parse().map_err(|_| "X-Budget-Ms is not a whole number\n")?,
            None => longest.as_millis() as u64,
        };
        let info = header_text(headers, "x-call-info")?.unwrap_or_default();
        let slots = info.split(',').filter_map(|pair| pair.trim().split_once('='));
        let slots = slots.filter(|(name, _)| *name == "width").find_map(|(_, v)| v.parse::<f64>().ok());
        let slots = slots.filter(|s| s.is_finite() && *s > 0.0).unwrap_or(1.0);
        // An unreadable estimate is ignored: it must not make the job fail.
        let work = header_text(headers, "x-call-cost")?.and_then(|us| us.trim().parse::<f64>().ok());
        let work = work.filter(|us| us.is_finite() && *us >= 1.0).map(|us| us.min(MAX_WORK_US));
        let owned = |name| Ok::<_, &'static str>(header_text(headers, name)?.map(str::to_owned));
        let key = owned("idempotency-key")?.filter(|key| !key.is_empty());
        // Without a key, workers could not recognise the repeats that the class permits.
        let needs_key = self.flows.repeat_safety(class) == RepeatSafety::IdempotentByKey;
        let key = key.or_else(|| needs_key.then(|| self.generate_id()));
        let job = Job {
            reference: id,
            class,
            tenant,
            key: owned("x-route-hash")?,
            idempotency_key: key,
            slots,
            expected_run_time: work.map(|us| Duration::from_micros(us as u64)),
            path: request.uri().path_and_query().map_or("/".into(), |p| p.as_str().to_owned()),
            protocol_data: None,
            body: Body::Buffered(Bytes::new()),
        };
        Ok((job, Duration::from_millis(budget).min(longest.max(Duration::from_secs(3600)))))
    }
}

/// Whether the client disconnected while its request was read. If so, the connection is aborted: the request is not
/// forwarded, and nobody would read a response.
pub(super) fn client_disconnected(slot: Option<&ConnectionSlot>) -> bool {
    slot.is_some_and(|slot| {
        let gone = slot.has_peer_closed();
        if gone {
            slot.abort(AbortCause::Discard);
        }
        gone
    })
}

/// Whether the response body is streamed; then the end of the body makes the slot idle.
fn streams_body(response: &Response<BoxBody>) -> bool {
    response.extensions().contains::<StreamedBody>()
}

/// Marks a response whose body is streamed.
pub(super) struct StreamedBody;

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, &'static str> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    value.to_str().map(Some).map_err(|_| "a header is not plain text\n")
}

fn respond(status: StatusCode, body: Bytes, retry_after: Option<Duration>) -> Response<Bytes> {
    let mut response = Response::with_body(status, body);
    if let Some(after) = retry_after {
        // In seconds, which may be whole or decimal.
        let seconds = format!("{:.3}", after.as_secs_f64());
        if let Ok(value) = seconds.parse() {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}

/// A refusal with 503 after which a retry makes sense once this time has passed.
pub(super) fn unavailable(after: Duration) -> Response<Bytes> {
    respond(StatusCode::SERVICE_UNAVAILABLE, Bytes::from_static(b"not now\n"), Some(after))
}

/// A response with this status and text.
pub(super) fn text_response(status: StatusCode, message: &'static str) -> Response<Bytes> {
    respond(status, Bytes::from_static(message.as_bytes()), None)
}
