//! Workers that answer plain HTTP/1.1 requests on the same connection. A connection carries one attempt at a
//! time; `lineroute_stream` judges from its end whether the attempt ran. awc is not used here: it writes a
//! whole request before it reads the answer, and it buffers what a slow peer has not read.

use crate::body::{Attempt, Body, Reader, StreamEnd, Writer};
use crate::config::HttpWorkers;
use crate::facade::{Outcome, TargetId};
use crate::fleet::FencedOperation;
use crate::flow::{AttemptMessage, Flows, Forward, ForwardId, StreamedAnswer, Target};
use crate::local_faults::{is_local, LOCAL_FAULT_RETRY_DELAY};
use crate::memory::{LeasedBuffer, MemoryBudget, Purpose};
use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderValue, Method};
use lineroute_http1::{
    forward_headers, BodyEncoder, Forwarding, Framing, ParseError, RequestHead, ResponseDecoder,
    ResponseEvent, ResponseHead,
};
use lineroute_permit::RetryPermit;
use lineroute_stream::{classify, AttemptEnd, AttemptResult, AttemptStage, ProgressLimits, ProgressMonitor};
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tracing::warn;

/// The field that states how long the dispatcher waits for an answer, in whole milliseconds.
const BUDGET_FIELD: &str = "x-budget-ms";
/// Bytes that are read at a time.
const READ_CHUNK: usize = 16 << 10;
/// The longest answer for a listener that only takes complete ones.
const MAX_BUFFERED_ANSWER: usize = 64 << 10;
const MAX_IDLE_PER_ADDRESS: usize = 16;
/// Idle connections are closed before the upstream closes them: a request written to a connection that the
/// upstream has closed may have run.
const IDLE_TIMEOUT_FRACTION: f64 = 0.85;

/// Data that an HTTP listener provides: the original request, and where to stream its answer.
pub struct RequestContext {
    pub head: RequestHead,
    pub client: Option<IpAddr>,
    /// The declared length of a streamed body.
    pub length: Option<u64>,
    pub pace: ProgressLimits,
    /// Taken by the attempt whose answer is streamed.
    pub answer: RefCell<Option<(Writer, Reader)>>,
}

struct InFlight {
    task: JoinHandle<()>,
    stage: Rc<Cell<AttemptStage>>,
}

/// Limits of the connections to workers of one kind.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamLimits {
    pub connect_timeout: Duration,
    /// How long the workers keep idle connections.
    pub keepalive: Duration,
    /// Concurrent attempts.
    pub max_calls: usize,
}

struct Inner {
    flows: Flows,
    forwarding: Forwarding,
    memory: Rc<MemoryBudget>,
    connect_timeout: Duration,
    keepalive: Duration,
    max_calls: usize,
    calls: Cell<usize>,
    idle: RefCell<FxHashMap<SocketAddr, Vec<(Instant, TcpStream)>>>,
    in_flight: RefCell<FxHashMap<ForwardId, InFlight>>,
    started: Instant,
}

/// The forwards in flight at workers of one kind.
#[derive(Clone)]
pub struct Upstreams(Rc<Inner>);

struct ForwardEnd {
    verdict: AttemptResult,
    /// The worker is not at fault: the client left or was too slow, or a local resource was lacking.
    external_cause: bool,
    /// A complete answer, for a listener that only takes complete ones.
    result: Option<Bytes>,
    reusable: bool,
}

impl ForwardEnd {
    fn of(verdict: AttemptResult) -> ForwardEnd {
        ForwardEnd { verdict, external_cause: false, result: None, reusable: false }
    }
}

/// The time that a request states to its worker. A route passes on only what its client has stated; the platform's jobs always
/// state it.
fn stated_budget(context: Option<&RequestContext>, time_left: Duration) -> Option<Duration> {
    let is_stated = context.is_none_or(|context| context.head.headers.contains_key(BUDGET_FIELD));
    is_stated.then_some(time_left)
}

/// Why there is no connection.
enum ConnectFailure {
    /// The connection timed out or was refused.
    Unreachable,
    /// A local error prevented the connection.
    Local,
}

/// Why an upload was not completed.
enum UploadError {
    /// The client left, sent an invalid body, or was too slow.
    Client,
    /// The upstream no longer reads the request; its answer may still arrive.
    UpstreamClosed,
    UpstreamSlow,
}

struct CallGuard<'a>(&'a Cell<usize>);

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Upstreams {
    /// Handles forwards to workers of one kind. Answers that have to be complete are held in leased memory.
    pub fn new(
        flows: Flows,
        workers: &HttpWorkers,
        limits: UpstreamLimits,
        memory: Rc<MemoryBudget>,
    ) -> Self {
        Upstreams(Rc::new(Inner {
            flows,
            forwarding: workers.forwarding.clone(),
            memory,
            connect_timeout: limits.connect_timeout,
            keepalive: limits.keepalive.mul_f64(IDLE_TIMEOUT_FRACTION),
            max_calls: limits.max_calls,
            calls: Cell::new(0),
            idle: RefCell::default(),
            in_flight: RefCell::default(),
            started: Instant::now(),
        }))
    }

    fn now(&self) -> Duration {
        self.0.started.elapsed()
    }

    /// Reuses an idle connection, or opens a new one.
    async fn connect(&self, addr: SocketAddr) -> Result<TcpStream, ConnectFailure> {
        loop {
            let kept = self.0.idle.borrow_mut().get_mut(&addr).and_then(Vec::pop);
            let Some((since, stream)) = kept else { break };
            // A connection that has unsolicited input or is closed cannot be reused.
            let is_quiet =
                matches!(stream.try_read(&mut [0]), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock);
            if is_quiet && since.elapsed() < self.0.keepalive {
                return Ok(stream);
            }
        }
        match tokio::time::timeout(self.0.connect_timeout, TcpStream::connect(addr)).await {
            Ok(Ok(stream)) => {
                let _ = stream.set_nodelay(true);
                Ok(stream)
            }
            Ok(Err(e)) if is_local(&e) => Err(ConnectFailure::Local),
            Ok(Err(_)) | Err(_) => Err(ConnectFailure::Unreachable),
        }
    }

    fn keep_idle(&self, addr: SocketAddr, stream: TcpStream) {
        let mut idle = self.0.idle.borrow_mut();
        idle.retain(|_, kept| {
            kept.retain(|(since, _)| since.elapsed() < self.0.keepalive);
            !kept.is_empty()
        });
        // Descriptors are reserved for calls; idle connections only use those that calls leave free.
        let total_idle: usize = idle.values().map(Vec::len).sum();
        let kept = idle.entry(addr).or_default();
        if kept.len() < MAX_IDLE_PER_ADDRESS && total_idle + self.0.calls.get() < self.0.max_calls {
            kept.push((Instant::now(), stream));
        }
    }

    async fn attempt(&self, forward: &Forward, stage: &Cell<AttemptStage>) -> ForwardEnd {
        let never_ran = || ForwardEnd::of(AttemptResult::NotExecuted);
        if self.0.calls.get() >= self.0.max_calls {
            return ForwardEnd { external_cause: true, ..never_ran() };
        }
        self.0.calls.set(self.0.calls.get() + 1);
        let _call = CallGuard(&self.0.calls);
        let stream = match self.connect(forward.addr).await {
            Ok(stream) => stream,
            Err(ConnectFailure::Unreachable) => return never_ran(),
            Err(ConnectFailure::Local) => {
                // If this task is dropped here, nothing was sent.
                tokio::time::sleep(LOCAL_FAULT_RETRY_DELAY).await;
                return ForwardEnd { external_cause: true, ..never_ran() };
            }
        };
        // Lets the event loop handle a client that has already left before the permit is requested. If this
        // task is dropped here, nothing was sent.
        tokio::task::yield_now().await;
        if stream.writable().await.is_err() {
            return never_ran();
        }
        // The worker may have begun to drain, or the client may have left, since the decision. Nothing may be
        // awaited between the permit and the write.
        let message = forward.message(Instant::now());
        let context = message.protocol_data.and_then(|data| data.downcast_ref::<RequestContext>());
        let budget = stated_budget(context, message.time_left);
        let permit = self.0.flows.send_permit(forward, budget);
        if permit.and_then(|permit| permit.check_age(Instant::now())).is_err() {
            return ForwardEnd { external_cause: true, ..never_ran() };
        }
        let (head, framing, body) = match self.request(message, forward.addr, context) {
            Some(request) => request,
            None => return ForwardEnd { external_cause: true, ..never_ran() },
        };
        let pace = context.map_or(
            ProgressLimits {
                idle_timeout: Duration::from_secs(3600),
                min_bytes_per_second: 0,
                window: Duration::from_secs(5),
            },
            |context| context.pace,
        );
        let method = context.map_or(Method::POST, |context| context.head.method.clone());
        stage.set(AttemptStage::SendingHead);
        let (mut read, mut write) = stream.into_split();
        let Ok(bytes) = head.encode(framing) else {
            return ForwardEnd { external_cause: true, ..never_ran() };
        };
        let written = write.write_all(&bytes).await;
        self.0.flows.first_byte_written(forward, budget);
        if written.is_err() {
            return ForwardEnd::of(classify(stage.get(), AttemptEnd::Broken));
        }
        stage.set(AttemptStage::SendingBody);
        let upload = self.upload(body, &mut write, BodyEncoder::new(framing), pace);
        let answer = self.answer(forward, context, &mut read, ResponseDecoder::new(method), stage, pace);
        let (mut upload_done, mut fully_sent) = (false, false);
        let mut end = {
            tokio::pin!(upload, answer);
            loop {
                // Neither future is dropped between iterations, so nothing that one has read is lost when the
                // other is ready.
                tokio::select! {
                    done = &mut upload, if !upload_done => {
                        upload_done = true;
                        match done {
                            Ok(()) => {
                                fully_sent = true;
                                if stage.get() == AttemptStage::SendingBody {
                                    stage.set(AttemptStage::AwaitingResponse);
                                }
                            }
                            Err(UploadError::UpstreamClosed) => {}
                            Err(UploadError::Client) => {
                                let verdict = classify(stage.get(), AttemptEnd::GivenUp);
                                break ForwardEnd { external_cause: true, ..ForwardEnd::of(verdict) };
                            }
                            Err(UploadError::UpstreamSlow) => break ForwardEnd::of(classify(stage.get(), AttemptEnd::TimedOut)),
                        }
                    }
                    end = &mut answer => break end,
                }
            }
        };
        end.reusable &= fully_sent;
        if end.reusable {
            if let Ok(stream) = read.reunite(write) {
                self.keep_idle(forward.addr, stream);
            }
        }
        end
    }

    /// Builds the request: the original request of a proxying route, or a `POST` of the body for other listeners. Either
    /// carries the id and the key of the job, and the time that is left if it states one. `None` if the body can no longer be sent.
    fn request(
        &self,
        message: AttemptMessage,
        addr: SocketAddr,
        context: Option<&RequestContext>,
    ) -> Option<(RequestHead, Framing, BodySource)> {
        // The original request of a route is in `context`.
        let AttemptMessage { reference, idempotency_key, path, body, time_left, protocol_data: _ } = message;
        let mut head = match context {
            Some(context) => context.head.clone(),
            None => RequestHead { method: Method::POST, target: path.to_owned(), headers: HeaderMap::new() },
        };
        let client = context.and_then(|context| context.client);
        forward_headers(&mut head.headers, &self.0.forwarding, client, &addr.to_string());
        // The listener has already answered it.
        head.headers.remove("expect");
        // Set last, since a client's `Connection` may name these fields, which the dispatcher relies on, and have them removed.
        head.headers.insert("x-call-id", HeaderValue::from_str(reference).ok()?);
        if let Some(key) = idempotency_key {
            head.headers.insert("idempotency-key", HeaderValue::from_str(key).ok()?);
        }
        if let Some(budget) = stated_budget(context, time_left) {
            head.headers.insert(BUDGET_FIELD, HeaderValue::from(budget.as_millis() as u64));
        }
        let (framing, source) = match body {
            Body::Buffered(bytes) if bytes.is_empty() => (Framing::None, BodySource::Whole(None)),
            Body::Buffered(bytes) => {
                (Framing::Length(bytes.len() as u64), BodySource::Whole(Some(bytes.clone())))
            }
            Body::Stream(upload) => {
                let framing =
                    context.and_then(|context| context.length).map_or(Framing::Chunked, Framing::Length);
                (framing, BodySource::Stream(upload.attempt()?))
            }
        };
        Some((head, framing, source))
    }

    async fn upload(
        &self,
        mut body: BodySource,
        write: &mut OwnedWriteHalf,
        mut encoder: BodyEncoder,
        limits: ProgressLimits,
    ) -> Result<(), UploadError> {
        let (mut client_pace, mut upstream_pace) =
            (ProgressMonitor::new(limits), ProgressMonitor::new(limits));
        let mut framed = Vec::new();
        loop {
            client_pace.start_waiting(self.now());
            let next = tokio::select! {
                next = body.next() => next,
                () = self.too_slow(&client_pace) => return Err(UploadError::Client),
            };
            let chunk = match next {
                Ok(chunk) => chunk,
                Err(StreamEnd::Truncated) => return Err(UploadError::Client),
                Err(StreamEnd::Complete) => break,
            };
            client_pace.record_progress(self.now(), chunk.len());
            framed.clear();
            let suffix = encoder.data(chunk.len(), &mut framed).map_err(|_| UploadError::Client)?;
            for mut part in [&framed[..], &chunk[..], suffix] {
                while !part.is_empty() {
                    upstream_pace.start_waiting(self.now());
                    let written = tokio::select! {
                        written = write.write(part) => written,
                        () = self.too_slow(&upstream_pace) => return Err(UploadError::UpstreamSlow),
                    };
                    match written {
                        Ok(count) if count > 0 => part = &part[count..],
                        _ => return Err(UploadError::UpstreamClosed),
                    }
                    upstream_pace.record_progress(self.now(), written.unwrap_or(0));
                }
            }
        }
        framed.clear();
        encoder.end(None, &mut framed).map_err(|_| UploadError::Client)?;
        write.write_all(&framed).await.map_err(|_| UploadError::UpstreamClosed)
    }

    /// Resolves when a peer that is waited for has been too slow. Only valid while that peer transfers nothing.
    async fn too_slow(&self, pace: &ProgressMonitor) {
        loop {
            let Some(due) = pace.next_check() else { return std::future::pending().await };
            tokio::time::sleep(due.saturating_sub(self.now())).await;
            if pace.check(self.now()).is_some() {
                return;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    async fn answer(
        &self,
        forward: &Forward,
        context: Option<&RequestContext>,
        read: &mut OwnedReadHalf,
        mut incoming: ResponseDecoder,
        stage: &Cell<AttemptStage>,
        limits: ProgressLimits,
    ) -> ForwardEnd {
        let (mut client_pace, mut upstream_pace) =
            (ProgressMonitor::new(limits), ProgressMonitor::new(limits));
        let mut input = BytesMut::new();
        let mut writer: Option<Writer> = None;
        let (mut buffered, mut status) = (LeasedBuffer::default(), 0);
        let mut declared = None;
        let broken = |fault: ParseError, stage: AttemptStage| {
            warn!(target = %forward.target_name, error = %fault, "upstream: invalid HTTP response");
            ForwardEnd::of(classify(stage, AttemptEnd::Broken))
        };
        loop {
            loop {
                let event = match incoming.next(&mut input) {
                    Ok(Some(event)) => event,
                    Ok(None) => break,
                    Err(fault) => return broken(fault, stage.get()),
                };
                match event {
                    // The client-facing server cannot send trailers, so they are dropped.
                    ResponseEvent::Interim(_) | ResponseEvent::Trailers(_) => {}
                    ResponseEvent::Head(head) => {
                        status = head.status.as_u16();
                        declared = declared_length(&head);
                        let rejected = head.headers.get("x-rejected").is_some_and(|v| v.as_bytes() == b"1");
                        let verdict = classify(stage.get(), AttemptEnd::Status(status, rejected));
                        if verdict != AttemptResult::Committed {
                            return ForwardEnd::of(verdict);
                        }
                        if let Some(context) = context {
                            match self.start_streaming(forward, context, head) {
                                Some(stream) => writer = Some(stream),
                                None => {
                                    return ForwardEnd {
                                        external_cause: true,
                                        ..ForwardEnd::of(AttemptResult::GivenUp)
                                    }
                                }
                            }
                            stage.set(AttemptStage::ReceivingResponse);
                        }
                    }
                    ResponseEvent::Data(data) => match &writer {
                        Some(writer) => writer.push(data),
                        None if !self.buffer(&mut buffered, declared, &data).await => {
                            return ForwardEnd::of(AttemptResult::Failed)
                        }
                        None => {}
                    },
                    ResponseEvent::End { reusable } => {
                        return self.finish_answer(writer, buffered, status, reusable)
                    }
                }
            }
            let mut room = READ_CHUNK;
            if let Some(writer) = &writer {
                client_pace.start_waiting(self.now());
                let free_room = tokio::select! {
                    room = writer.room() => room,
                    () = self.too_slow(&client_pace) => {
                        warn!(flow = forward.id.flow.0, "client too slow: answer truncated");
                        None
                    }
                };
                let Some(free) = free_room else {
                    return ForwardEnd {
                        external_cause: true,
                        ..ForwardEnd::of(classify(stage.get(), AttemptEnd::GivenUp))
                    };
                };
                client_pace.record_progress(self.now(), free);
                room = free.min(READ_CHUNK);
            }
            upstream_pace.start_waiting(self.now());
            input.reserve(room);
            let mut limited = (&mut *read).take(room as u64);
            let client_gone = async {
                match &writer {
                    Some(writer) => writer.gone().await,
                    None => std::future::pending().await,
                }
            };
            // Before the head, the deadline of the flow is the time limit.
            let is_streaming = stage.get() == AttemptStage::ReceivingResponse;
            let read_result = tokio::select! {
                read = limited.read_buf(&mut input) => read,
                () = client_gone => return ForwardEnd {
                    external_cause: true,
                    ..ForwardEnd::of(classify(stage.get(), AttemptEnd::GivenUp))
                },
                () = self.too_slow(&upstream_pace), if is_streaming => {
                    warn!(target = %forward.target_name, "upstream too slow: answer truncated");
                    return ForwardEnd::of(classify(stage.get(), AttemptEnd::TimedOut));
                }
            };
            match read_result {
                Ok(0) => {
                    return match incoming.eof() {
                        Ok(Some(ResponseEvent::End { .. })) => {
                            self.finish_answer(writer, buffered, status, false)
                        }
                        Ok(_) => ForwardEnd::of(classify(stage.get(), AttemptEnd::Broken)),
                        Err(ParseError::Truncated) => {
                            ForwardEnd::of(classify(stage.get(), AttemptEnd::Broken))
                        }
                        Err(fault) => broken(fault, stage.get()),
                    }
                }
                Ok(count) => upstream_pace.record_progress(self.now(), count),
                Err(_) => return ForwardEnd::of(classify(stage.get(), AttemptEnd::Broken)),
            }
        }
    }

    /// Starts to stream the answer, and returns the writer of its body.
    fn start_streaming(
        &self,
        forward: &Forward,
        context: &RequestContext,
        head: ResponseHead,
    ) -> Option<Writer> {
        let (writer, body) = context.answer.borrow_mut().take()?;
        let streamed = StreamedAnswer { head: Box::new(head), body };
        self.0.flows.stream_answer(forward.id, streamed).then_some(writer)
    }

    /// Appends a part of an answer that has to be complete; false if the answer is too long. While there is no memory for it,
    /// nothing more is read, up to the deadline of the flow. If this is dropped, the leases are returned with the buffer.
    async fn buffer(&self, buffered: &mut LeasedBuffer, declared: Option<usize>, data: &[u8]) -> bool {
        let length = buffered.len() + data.len();
        if length.max(declared.unwrap_or(0)) > MAX_BUFFERED_ANSWER {
            return false;
        }
        while let Some(bytes) = buffered.missing_room(declared, length, MAX_BUFFERED_ANSWER) {
            buffered.extend_room(self.0.memory.lease(bytes, Purpose::Worker).await);
        }
        buffered.push(data);
        true
    }

    fn finish_answer(
        &self,
        writer: Option<Writer>,
        buffered: LeasedBuffer,
        status: u16,
        reusable: bool,
    ) -> ForwardEnd {
        if let Some(writer) = writer {
            writer.end(StreamEnd::Complete);
            return ForwardEnd { reusable, ..ForwardEnd::of(AttemptResult::Completed) };
        }
        // A listener of another protocol only distinguishes success and failure.
        let verdict =
            if (200..300).contains(&status) { AttemptResult::Completed } else { AttemptResult::Failed };
        ForwardEnd { result: Some(buffered.freeze()), reusable, ..ForwardEnd::of(verdict) }
    }

    fn end_forward(&self, forward_id: ForwardId, end: ForwardEnd) {
        self.0.in_flight.borrow_mut().remove(&forward_id);
        let outcome = match (end.verdict, end.external_cause) {
            (AttemptResult::NotExecuted, true) => Outcome::Moot,
            (AttemptResult::NotExecuted, false) => Outcome::NoRoute,
            (AttemptResult::Rejected, _) => Outcome::NoRoom,
            (AttemptResult::Failed, _) => Outcome::Fault,
            (AttemptResult::GivenUp | AttemptResult::Truncated | AttemptResult::ConnectionLost, true)
            | (AttemptResult::GivenUp, _) => Outcome::Cancelled,
            (AttemptResult::ConnectionLost | AttemptResult::Truncated, false) => Outcome::Cut,
            (AttemptResult::TimedOut, _) => Outcome::TimedOut,
            (AttemptResult::Completed | AttemptResult::Committed, _) => Outcome::Served,
        };
        self.0.flows.forward_ended(forward_id, outcome, end.result);
    }
}

/// The length of an answer's body, if its head declares it.
fn declared_length(head: &ResponseHead) -> Option<usize> {
    match head.framing {
        Framing::Length(length) => usize::try_from(length).ok(),
        Framing::None | Framing::Chunked | Framing::UntilClose => None,
    }
}

/// The source of an attempt's request body.
enum BodySource {
    Whole(Option<Bytes>),
    Stream(Attempt),
}

impl BodySource {
    async fn next(&mut self) -> Result<Bytes, StreamEnd> {
        match self {
            BodySource::Whole(bytes) => bytes.take().ok_or(StreamEnd::Complete),
            BodySource::Stream(attempt) => attempt.next().await,
        }
    }
}

impl Target for Upstreams {
    fn forward(&self, _permit: RetryPermit, forward: Forward) {
        let (this, stage) = (self.clone(), Rc::new(Cell::new(AttemptStage::Connecting)));
        let (forward_id, at) = (forward.id, stage.clone());
        let task = actix_rt::spawn(async move {
            let end = this.attempt(&forward, &at).await;
            this.end_forward(forward_id, end);
        });
        self.0.in_flight.borrow_mut().insert(forward_id, InFlight { task, stage });
    }

    fn cancel(&self, forward: Forward) {
        let Some(out) = self.0.in_flight.borrow_mut().remove(&forward.id) else { return };
        let this = self.clone();
        actix_rt::spawn(async move {
            // Closing the connection cancels the attempt: the upstream sees a truncated request instead of a
            // complete one that nobody waits for.
            out.task.abort();
            let _ = out.task.await;
            let verdict = classify(out.stage.get(), AttemptEnd::GivenUp);
            this.end_forward(forward.id, ForwardEnd { external_cause: true, ..ForwardEnd::of(verdict) });
        });
    }

    fn probe(&self, target: TargetId, addr: SocketAddr, _operation: Option<FencedOperation>) {
        let this = self.clone();
        actix_rt::spawn(async move {
            let outcome = loop {
                let connect = TcpStream::connect(addr);
                match tokio::time::timeout(this.0.connect_timeout, connect).await {
                    Ok(Ok(_)) => break Outcome::Served,
                    // A probe that failed for a local reason says nothing about the worker; it is retried.
                    Ok(Err(e)) if is_local(&e) => tokio::time::sleep(LOCAL_FAULT_RETRY_DELAY * 2).await,
                    Ok(Err(_)) | Err(_) => break Outcome::NoRoute,
                }
            };
            this.0.flows.probe_ended(target, outcome, None);
        });
    }
}
