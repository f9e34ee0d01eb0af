//! The platform's front: jobs by `POST`, each on a connection that waits for its answer; the workers' calls;
//! and `/up`. Thin: what a header means is settled here, everything else in the core.

use super::connection_slots::{ConnectionSlot, ConnectionSlots, Cut, Stage, WHOLE_WITHIN};
use super::guard::{write_now, Guarded};
use super::socket::queued;
use crate::accept::AcceptRetry;
use crate::body::{Body, StreamBudget};
use crate::config::Route;
use crate::facade::FlowId;
use crate::flow::{Answer, Flows, Job, Listener, OpenError};
use crate::list::monitor::ListMonitor;
use crate::siblings::{Delivery, Siblings};
use crate::stops;
use crate::targets::http::{HttpTargets, JobUpdate};
use actix_http::body::BoxBody;
use actix_http::header::{self, HeaderMap};
use actix_http::{
    ConnectionType, HttpMessage, HttpService, KeepAlive, Method, Request, Response, StatusCode,
};
use actix_service::{IntoServiceFactory, Service, ServiceFactory};
use bytes::{Bytes, BytesMut};
use futures_util::{FutureExt, StreamExt};
use lineroute_permit::{CloseReason, ProcessState, StartFacts, StartPermit, StartRefusal};
use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, Notify};
use tracing::info;

/// A body holds so much at most.
pub const MAX_BODY: usize = 64 << 10;
/// Idle connections of clients are kept so long.
const KEEP_ALIVE: Duration = Duration::from_secs(120);
/// What a client is told that this dispatcher can't take on: others may have room at once.
pub(super) const BUSY_RETRY: Duration = Duration::from_millis(250);
const LONGEST_ID: usize = 128;
/// The body of a request that is turned away unread is usually on its way: it is let come for so long.
const UNWANTED_WITHIN: Duration = Duration::from_millis(250);
/// More than a day of work is no guess.
const LONGEST_WORK_US: f64 = 86_400e6;
/// What is said to those whom the server never came to speak with.
const NO_SLOT: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 0.250\r\n\
    Content-Length: 0\r\n\r\n";
const LATE: &[u8] = b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
const MALFORMED: &[u8] = b"HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
const TOO_LONG: &[u8] =
    b"HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// A class or tenant as the settings name it, and a class's own deadline.
pub struct Vocabulary {
    pub classes: Vec<(String, Duration)>,
    pub tenants: Vec<String>,
}

impl Vocabulary {
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|c| c.0 == name)
    }

    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.tenants.iter().position(|t| t == name)
    }
}

/// A process says that it is up once its worker list was confirmed, or so long after its start without one: until then it
/// can't serve what is sent to it, and others can.
const UP_WITHOUT_LIST: Duration = Duration::from_secs(4);

/// A process whose socket was inherited may have a sibling that it knows nothing of for so long: the one that it replaces.
const SIBLING_WITHIN: Duration = Duration::from_secs(15);

/// What the front has come to, between start and exit.
pub struct Phase {
    /// Others may accept from the socket too, and what stands in its queue is theirs as well.
    shared: bool,
    /// What stands in the queue is left to them.
    leaves_queue: Cell<bool>,
    queue_changed: Notify,
    /// The worker list was valid once, or was waited for long enough.
    up: Cell<bool>,
    list: Rc<ListMonitor>,
    began: Instant,
    /// Answers carry `Connection: close`.
    closing: Cell<bool>,
    /// New jobs are refused.
    shut: Cell<bool>,
    idle: Notify,
    /// Nobody is let in.
    over: Notify,
}

impl Phase {
    /// A front at its start, which waits for this list. `shared`: others may accept from its socket too.
    pub fn new(list: Rc<ListMonitor>, shared: bool) -> Self {
        Phase {
            shared,
            leaves_queue: Cell::default(),
            queue_changed: Notify::new(),
            up: Cell::default(),
            list,
            began: Instant::now(),
            closing: Cell::default(),
            shut: Cell::default(),
            idle: Notify::new(),
            over: Notify::new(),
        }
    }

    /// Whether another process may accept from the same socket that this one has no way to ask.
    fn may_have_sibling(&self) -> bool {
        self.shared && (self.closing.get() || self.began.elapsed() < SIBLING_WITHIN)
    }

    /// Whether others may accept from the socket too.
    pub fn is_shared(&self) -> bool {
        self.shared
    }

    /// Leaves what stands in the socket's queue to the others that accept from it, or takes part again.
    pub fn leave_queue(&self, leaves: bool) {
        if self.leaves_queue.replace(leaves) != leaves {
            info!(leaves, "new connections are left to another process");
            self.queue_changed.notify_one();
        }
    }

    /// Whether clients may be sent here. Once they may, they may until the stop.
    pub fn is_up(&self) -> bool {
        let up = self.up.get() || self.list.state().is_valid() || self.began.elapsed() >= UP_WITHOUT_LIST;
        self.up.set(up);
        up && !self.closing.get()
    }

    /// From here on every answer ends its connection.
    pub fn close(&self) {
        self.closing.set(true);
    }

    /// From here on nothing new is taken, and connections at rest end.
    pub fn shut(&self) {
        self.shut.set(true);
        self.idle.notify_waiters();
    }

    /// Nothing is owed any more, and no calls are to come: the listening socket closes.
    pub fn end(&self) {
        self.over.notify_one();
    }

    pub fn is_shut(&self) -> bool {
        self.shut.get()
    }

    /// What the process is at.
    pub fn state(&self) -> ProcessState {
        match (self.shut.get(), self.closing.get()) {
            (true, _) => ProcessState::Stopping,
            (false, true) => ProcessState::Draining,
            (false, false) => ProcessState::Serving,
        }
    }

    /// For one connection, from its start: resolves when it ends for the stop, at rest. One that has begun a request is
    /// answered, and its answer ends it. One that comes later is not ended so: workers still have calls to make of the
    /// flows that are being finished.
    async fn until_ended(&self, guarded: &Guarded) {
        if !self.shut.get() {
            self.idle.notified().await;
            if guarded.is_at_rest() {
                return;
            }
        }
        std::future::pending().await
    }
}

pub struct HttpListener {
    pub flows: Flows,
    pub targets: HttpTargets,
    pub words: Rc<Vocabulary>,
    pub routes: Vec<Route>,
    pub phase: Rc<Phase>,
    pub slots: Rc<ConnectionSlots>,
    /// The memory that bodies in passage share.
    pub budgets: StreamBudget,
    /// The other processes of this dispatcher, where there may be some.
    pub siblings: Option<Rc<Siblings>>,
    /// Begins the ids of jobs that came without one; how many have.
    pub prefix: String,
    pub made: Cell<u64>,
}

/// Hands the answer to the task that holds the connection.
struct Waiting(oneshot::Sender<Answer>);

impl Listener for Waiting {
    fn answer(self: Box<Self>, answer: Answer) {
        // A client that has gone in this very moment has been told of by its connection.
        let _ = self.0.send(answer);
    }
}

/// The connection's claim on a flow. When the client goes, the task ends where it waits, and this tells.
struct Claim {
    flows: Flows,
    id: FlowId,
    answered: bool,
}

impl Drop for Claim {
    fn drop(&mut self) {
        if !self.answered {
            self.flows.client_left(self.id);
        }
    }
}

impl HttpListener {
    /// Accepts and serves connections, until the phase has come to its end.
    pub async fn serve(self: Rc<Self>, socket: TcpListener) {
        let this = self.clone();
        let service = move |request: Request| {
            let this = this.clone();
            async move { Ok::<_, Infallible>(this.handle(request).await) }
        };
        let factory = HttpService::<Guarded, _, _>::build()
            .keep_alive(KeepAlive::Timeout(KEEP_ALIVE))
            // Both are the slots' and the guard's.
            .client_request_timeout(Duration::ZERO)
            .client_disconnect_timeout(Duration::ZERO)
            // What can't be read behind a request in hand must not end that one: the guard sees clients go.
            .h1_allow_half_closed(true)
            .on_connect_ext(|io: &Guarded, data| drop(data.insert(io.slot.clone())))
            .h1(actix_service::fn_service(service).into_factory());
        let Ok(service) = factory.new_service(()).await else { return };
        let service = Rc::new(service);
        actix_rt::spawn(self.slots.clone().watch());
        let arrivals = &self.slots.arrivals;
        let mut retry = AcceptRetry::new("http");
        loop {
            // The end comes first: there may be somebody in the queue for ever.
            if self.phase.over.notified().now_or_never().is_some() {
                break;
            }
            if self.phase.leaves_queue.get() {
                // Nothing is lost with the one that is dropped: a notice that nobody waits for is kept.
                tokio::select! {
                    () = self.phase.over.notified() => break,
                    () = self.phase.queue_changed.notified() => continue,
                }
            }
            // One that need not be waited for stood in the queue.
            let looked = Instant::now();
            let at_once = socket.accept().now_or_never();
            let queued = at_once.is_some();
            let accepted = match at_once {
                Some(accepted) => accepted,
                None => {
                    arrivals.record_queue_empty(looked);
                    // Both can be dropped here: a connection that is not accepted stands in the queue.
                    let accepted = tokio::select! {
                        accepted = socket.accept() => accepted,
                        () = self.phase.over.notified() => break,
                        () = self.phase.queue_changed.notified() => continue,
                    };
                    // It was empty until this one came: those behind it came no sooner.
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
            // One that gave way ends before the next comes: guards the bound on descriptors.
            tokio::task::yield_now().await;
        }
        stops::at("stop.over");
        // A socket that closes resets what stands in its queue. The kernel is asked, since the event loop may not have
        // heard; nothing is awaited until it is closed.
        if self.phase.shared {
            return;
        }
        for (stream, peer) in queued(&socket) {
            let since = arrivals.earliest_queued_arrival(Instant::now());
            self.admit(service.clone(), stream, peer, since);
        }
    }

    /// Serves one connection. What came with it came after `since`.
    fn admit<S>(&self, service: Rc<S>, stream: TcpStream, peer: SocketAddr, since: Instant)
    where
        S: Service<(Guarded, Option<SocketAddr>)> + 'static,
    {
        let _ = stream.set_nodelay(true);
        let Some(taken) = self.slots.take() else {
            // All slots are in work. Nothing was taken, so nothing is lost.
            write_now(&stream, NO_SLOT);
            return;
        };
        taken.slot.has_unread(since);
        let screened = self.routes.iter().any(|r| r.passing.is_some());
        let (phase, flows) = (self.phase.clone(), self.flows.clone());
        actix_rt::spawn(async move {
            let guarded = Guarded::new(stream, taken.slot.clone(), screened);
            let mut served = pin!(service.call((guarded.clone(), Some(peer))));
            let cut = loop {
                // In this order: a request that is read in the moment of its client's end must not be taken. Whoever is
                // dropped behind the loop holds nothing but a flow's claim, which tells the core; what is dropped in it
                // looks at the connection's state anew.
                let (cut, facts) = tokio::select! {
                    biased;
                    cut = taken.slot.until_cut() => (Some(cut), taken.slot.cut_facts(cut)),
                    () = guarded.watch() => (None, taken.slot.close_facts(CloseReason::ClientClosed)),
                    () = phase.until_ended(&guarded) => {
                        (None, taken.slot.close_facts(CloseReason::Stopping))
                    }
                    // Errors here are those of the peer: it went, or what it sent was no HTTP.
                    _ = served.as_mut() => {
                        if taken.slot.stage() == Stage::InWork && !taken.slot.has_left() {
                            flows.closed_with_answer_pending();
                        }
                        break None;
                    }
                };
                if flows.close_permit(facts).is_some() {
                    break cut;
                }
                taken.slot.keep();
            };
            let ended = async {
                match cut {
                    Some(Cut::Away) => return,
                    Some(Cut::Malformed) if !taken.slot.was_answered() => guarded.say(MALFORMED),
                    Some(Cut::Late) if !taken.slot.was_answered() => guarded.say(LATE),
                    Some(Cut::TooLong) if !taken.slot.was_answered() => guarded.say(TOO_LONG),
                    None if phase.closing.get() => return guarded.close().await,
                    Some(_) | None => {}
                }
                guarded.end().await;
            };
            // Guards the bound on descriptors: one whose last words are said is not lingered on where its slot is needed.
            // Dropped, the connection closes; nothing is owed on it.
            tokio::select! {
                () = ended => {}
                () = taken.slot.until_away() => {}
            }
        });
    }

    async fn handle(&self, request: Request) -> Response<BoxBody> {
        let slot = request.conn_data::<Rc<ConnectionSlot>>().cloned();
        let mut response = self.respond(request, slot.clone()).await;
        if let Some(slot) = slot.filter(|_| !passes(&response)) {
            slot.set(Stage::Idle);
        }
        if self.phase.closing.get() {
            response.head_mut().set_connection_type(ConnectionType::Close);
        }
        response
    }

    async fn respond(&self, request: Request, slot: Option<Rc<ConnectionSlot>>) -> Response<BoxBody> {
        if let Some(route) = Route::find(&self.routes, request.path()) {
            if let Some(passing) = &route.passing {
                return self.pass(request, route, passing, slot).await;
            }
        }
        self.respond_whole(request, slot.as_deref()).await.map_into_boxed_body()
    }

    async fn respond_whole(&self, mut request: Request, slot: Option<&ConnectionSlot>) -> Response<Bytes> {
        let (get, post) = (request.method() == Method::GET, request.method() == Method::POST);
        let path = request.path().to_owned();
        match path.as_str() {
            "/up" if get && self.phase.is_up() => plain(StatusCode::OK, "up\n"),
            "/up" if get && self.phase.closing.get() => plain(StatusCode::SERVICE_UNAVAILABLE, "stopping\n"),
            "/up" if get => plain(StatusCode::SERVICE_UNAVAILABLE, "waiting for the worker list\n"),
            "/_jobs/news" if post => match body(&mut request, slot).await {
                Err(status) => plain(status, "no body could be read\n"),
                Ok(body) => match serde_json::from_slice::<JobUpdate>(&body) {
                    Err(_) => plain(StatusCode::BAD_REQUEST, "not a worker's call\n"),
                    Ok(update) => self.job_update(update, slot).await,
                },
            },
            "/up" | "/_jobs/news" => {
                unwanted(request, slot, StatusCode::METHOD_NOT_ALLOWED, "method not allowed\n").await
            }
            path => match Route::find(&self.routes, path) {
                None => unwanted(request, slot, StatusCode::NOT_FOUND, "no such path\n").await,
                Some(_) if !post => {
                    unwanted(request, slot, StatusCode::METHOD_NOT_ALLOWED, "jobs come by POST\n").await
                }
                Some(route) => self.job(request, route, slot).await,
            },
        }
    }

    /// A worker's job status update: of a job here, or of one that a sibling process has. It is answered well only where one of
    /// them has taken it or none has the job; else the worker tells it again.
    async fn job_update(&self, update: JobUpdate, slot: Option<&ConnectionSlot>) -> Response<Bytes> {
        let delivery = if self.targets.has_attempt(&update) {
            self.targets.apply_update(update);
            Delivery::Taken
        } else {
            let delivery = match &self.siblings {
                Some(siblings) => siblings.deliver(&update).await,
                None if self.phase.may_have_sibling() => Delivery::NotNow,
                None => Delivery::Unknown,
            };
            self.targets.count_foreign_update(&update, delivery);
            delivery
        };
        match delivery {
            Delivery::Taken => {
                slot.into_iter().for_each(ConnectionSlot::is_workers);
                plain(StatusCode::OK, "")
            }
            Delivery::Unknown => plain(StatusCode::OK, ""),
            Delivery::NotNow => {
                plain(StatusCode::SERVICE_UNAVAILABLE, "tell it again: its process can't be asked\n")
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
            Err(reason) => return unwanted(request, slot, StatusCode::BAD_REQUEST, reason).await,
        };
        let arrived = slot.map_or_else(Instant::now, ConnectionSlot::arrived);
        job.body = match body(&mut request, slot).await {
            Ok(body) => Body::Buffered(body),
            Err(status) => return plain(status, "no body could be read\n"),
        };
        let Ok(permit) = self.start_permit(&job.reference, slot) else { return refused(BUSY_RETRY) };
        let budget = budget.saturating_sub(arrived.elapsed());
        match self.take(job, budget, permit).await {
            Err(OpenError::Full) => refused(BUSY_RETRY),
            Err(OpenError::Duplicate) => plain(StatusCode::CONFLICT, "this id is in work\n"),
            Ok(Some(Answer::Served(result))) => respond(StatusCode::OK, result, None),
            Ok(Some(Answer::Refused(after))) => refused(after),
            Ok(_) => plain(StatusCode::GATEWAY_TIMEOUT, "the job was not done\n"),
        }
    }

    /// The permit to take a request that is whole.
    pub(super) fn start_permit(
        &self,
        reference: &str,
        slot: Option<&ConnectionSlot>,
    ) -> Result<StartPermit, StartRefusal> {
        let facts = StartFacts { process: self.phase.state(), client_gone: gone(slot) };
        self.flows.start_permit(reference, facts)
    }

    /// Opens a flow and waits for its answer. When the client goes, the flow is left.
    pub(super) async fn take(
        &self,
        job: Job,
        budget: Duration,
        permit: StartPermit,
    ) -> Result<Option<Answer>, OpenError> {
        let (sender, answer) = oneshot::channel();
        let id = self.flows.open(job, budget, permit, |_| Box::new(Waiting(sender)))?;
        let mut claim = Claim { flows: self.flows.clone(), id, answered: false };
        let answer = answer.await;
        claim.answered = answer.is_ok();
        Ok(answer.ok())
    }

    pub(super) fn read_head(
        &self,
        request: &Request,
        route: &Route,
    ) -> Result<(Job, Duration), &'static str> {
        let headers = request.headers();
        let id = match text(headers, "x-call-id")? {
            Some(id) => id.to_owned(),
            // An operator's route is open to clients that know nothing of the platform.
            None if route.class.is_some() => {
                self.made.set(self.made.get() + 1);
                format!("{}-h{}", self.prefix, self.made.get())
            }
            None => return Err("X-Call-Id is missing\n"),
        };
        let plain_id = id.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.:~".contains(&b));
        if id.is_empty() || id.len() > LONGEST_ID || !plain_id {
            return Err("X-Call-Id is not a plain word of 1 to 128 characters\n");
        }
        let class = match (route.class, text(headers, "x-call-class")?) {
            (Some(class), _) => class,
            (None, Some(name)) => self.words.class(name).ok_or("X-Call-Class is no class\n")?,
            (None, None) => return Err("X-Call-Class is missing\n"),
        };
        let tenant = match text(headers, "x-caller")? {
            Some(name) => Some(self.words.tenant(name).ok_or("X-Caller is no tenant\n")?),
            None => None,
        };
        let longest = route.budget.unwrap_or(self.words.classes[class].1);
        let budget = match text(headers, "x-budget-ms")? {
            Some(ms) => ms.trim().parse().map_err(|_| "X-Budget-Ms is not a whole number\n")?,
            None => longest.as_millis() as u64,
        };
        let info = text(headers, "x-call-info")?.unwrap_or_default();
        let slots = info.split(',').filter_map(|pair| pair.trim().split_once('='));
        let slots = slots.filter(|(name, _)| *name == "width").find_map(|(_, v)| v.parse::<f64>().ok());
        let slots = slots.filter(|s| s.is_finite() && *s > 0.0).unwrap_or(1.0);
        // A guess that can't be read is none: it must not cost the job its place.
        let work = text(headers, "x-call-cost")?.and_then(|us| us.trim().parse::<f64>().ok());
        let work = work.filter(|us| us.is_finite() && *us >= 1.0).map(|us| us.min(LONGEST_WORK_US));
        let owned = |name| Ok::<_, &'static str>(text(headers, name)?.map(str::to_owned));
        let job = Job {
            reference: id,
            class,
            tenant,
            key: owned("x-route-hash")?,
            idempotency_key: owned("idempotency-key")?,
            slots,
            expected_run_time: work.map(|us| Duration::from_micros(us as u64)),
            path: request.uri().path_and_query().map_or("/".into(), |p| p.as_str().to_owned()),
            protocol_data: None,
            body: Body::Buffered(Bytes::new()),
        };
        Ok((job, Duration::from_millis(budget).min(longest.max(Duration::from_secs(3600)))))
    }
}

/// Whether the client went while its request was read: nothing of it is sent on, and nobody reads an answer.
pub(super) fn gone(slot: Option<&ConnectionSlot>) -> bool {
    slot.is_some_and(|slot| {
        let gone = slot.has_left();
        if gone {
            slot.cut(Cut::Away);
        }
        gone
    })
}

/// Whether the answer's body is still to come: its end frees the slot then.
fn passes(response: &Response<BoxBody>) -> bool {
    response.extensions().contains::<Passes>()
}

/// Marks an answer whose body is still to come.
pub(super) struct Passes;

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, &'static str> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    value.to_str().map(Some).map_err(|_| "a header is not plain text\n")
}

/// Turns a request away by its head alone. Its body is let come first, within bounds: the server ends a connection
/// whose body was not read, and what its client sent behind would be lost unanswered.
async fn unwanted(
    mut request: Request,
    slot: Option<&ConnectionSlot>,
    status: StatusCode,
    words: &'static str,
) -> Response<Bytes> {
    if !is_long(&request) {
        slot.into_iter().for_each(|s| s.set(Stage::Body));
        let mut payload = request.take_payload();
        let read = async {
            let mut count = 0;
            while let Some(Ok(chunk)) = payload.next().await {
                count += chunk.len();
                if count > MAX_BODY {
                    return;
                }
            }
        };
        // Late or broken, the connection ends behind the answer.
        let _ = tokio::time::timeout(UNWANTED_WITHIN, read).await;
        slot.into_iter().for_each(|s| s.set(Stage::InWork));
    }
    plain(status, words)
}

/// Whether the body is said to be too long.
fn is_long(request: &Request) -> bool {
    let length =
        request.headers().get(header::CONTENT_LENGTH).and_then(|l| l.to_str().ok()?.trim().parse().ok());
    length.is_some_and(|l: u64| l > MAX_BODY as u64)
}

/// Reads the body; from here on the request is in hand. One that is said to be too long is not read at all.
pub(super) async fn body(request: &mut Request, slot: Option<&ConnectionSlot>) -> Result<Bytes, StatusCode> {
    if is_long(request) {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    slot.into_iter().for_each(|s| s.set(Stage::Body));
    let mut payload = request.take_payload();
    let read = async {
        let mut body = BytesMut::new();
        while let Some(chunk) = payload.next().await {
            let chunk = chunk.map_err(|_| StatusCode::BAD_REQUEST)?;
            if body.len() + chunk.len() > MAX_BODY {
                return Err(StatusCode::PAYLOAD_TOO_LARGE);
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    };
    let by = slot.map_or_else(|| std::time::Instant::now() + WHOLE_WITHIN, ConnectionSlot::whole_by);
    let read = tokio::time::timeout_at(by.into(), read).await;
    let body = read.unwrap_or(Err(StatusCode::REQUEST_TIMEOUT))?;
    slot.into_iter().for_each(|s| s.set(Stage::InWork));
    Ok(body)
}

fn respond(status: StatusCode, body: Bytes, retry_after: Option<Duration>) -> Response<Bytes> {
    let mut response = Response::with_body(status, body);
    if let Some(after) = retry_after {
        // Seconds, whole or decimal.
        let seconds = format!("{:.3}", after.as_secs_f64());
        if let Ok(value) = seconds.parse() {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}

pub(super) fn refused(after: Duration) -> Response<Bytes> {
    respond(StatusCode::SERVICE_UNAVAILABLE, Bytes::from_static(b"not now\n"), Some(after))
}

pub(super) fn plain(status: StatusCode, words: &'static str) -> Response<Bytes> {
    respond(status, Bytes::from_static(words.as_bytes()), None)
}
