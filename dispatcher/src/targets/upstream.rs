//! Workers that answer plain HTTP/1.1 on the connection. A connection carries one attempt at a time; what it
//! says of whether the attempt ran is judged in `lineroute_stream`. awc can't do this work: it writes a
//! request to its end before it looks for an answer, and holds what a slow peer has not taken.

use crate::body::{Attempt, Body, Ended, Reader, Writer};
use crate::config::HttpWorkers;
use crate::facade::{Outcome, TargetId};
use crate::fleet::FencedOperation;
use crate::flow::{Flows, Forward, ForwardId, Job, StreamedAnswer, Target};
use crate::local_faults::{is_local, TRY_AGAIN_AFTER};
use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderValue, Method};
use lineroute_http1::{
    forward_headers, Encoder, Event, Fault, Forwarding, Framing, Incoming, RequestHead, ResponseHead,
};
use lineroute_permit::RetryPermit;
use lineroute_stream::{judge, End, Pace, PaceLimits, Stage, Verdict};
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

/// What is read in one go.
const IN_ONE_GO: usize = 16 << 10;
/// The longest answer for a front that takes only whole ones.
const MAX_WHOLE: usize = 64 << 10;
/// Idle connections that are kept to one address.
const MOST_IDLE: usize = 16;
/// Ours end before the upstream ends them: a request written to one it has closed may have run.
const IDLE_PART: f64 = 0.85;

/// What an HTTP front brings along: the request as it came, and where its answer is to pass.
pub struct RequestContext {
    pub head: RequestHead,
    pub client: Option<IpAddr>,
    /// The stated length of a body that streams.
    pub length: Option<u64>,
    pub pace: PaceLimits,
    /// Taken by the attempt whose answer passes.
    pub answer: RefCell<Option<(Writer, Reader)>>,
}

struct Out {
    task: JoinHandle<()>,
    stage: Rc<Cell<Stage>>,
}

struct Inner {
    flows: Flows,
    forwarding: Forwarding,
    connect_within: Duration,
    keep: Duration,
    most: usize,
    calls: Cell<usize>,
    idle: RefCell<FxHashMap<SocketAddr, Vec<(Instant, TcpStream)>>>,
    out: RefCell<FxHashMap<ForwardId, Out>>,
    began: Instant,
}

/// The forwards that are out at such workers of one kind.
#[derive(Clone)]
pub struct Upstreams(Rc<Inner>);

/// How an attempt ended.
struct Ending {
    verdict: Verdict,
    /// The fault is not the worker's: the client went or was too slow, or this machine lacked something.
    blameless: bool,
    /// A whole answer, for a front that takes only these.
    result: Option<Bytes>,
    reusable: bool,
}

impl Ending {
    fn of(verdict: Verdict) -> Ending {
        Ending { verdict, blameless: false, result: None, reusable: false }
    }
}

/// Why there is no connection.
enum NoStream {
    /// None came up in time, or it was refused.
    Unreached,
    /// This machine could not make one.
    Local,
}

/// Why an upload came to no end.
enum Stuck {
    /// The client went, broke its body, or was too slow.
    Client,
    /// The upstream takes no more: its answer may still come.
    Upstream,
    UpstreamSlow,
}

struct Call<'a>(&'a Cell<usize>);

impl Drop for Call<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Upstreams {
    /// Carries forwards to workers of that kind, `most` at a time. `keepalive`: how long the workers keep idle
    /// connections.
    pub fn new(
        flows: Flows,
        workers: &HttpWorkers,
        connect_within: Duration,
        keepalive: Duration,
        most: usize,
    ) -> Self {
        Upstreams(Rc::new(Inner {
            flows,
            forwarding: workers.forwarding.clone(),
            connect_within,
            keep: keepalive.mul_f64(IDLE_PART),
            most,
            calls: Cell::new(0),
            idle: RefCell::default(),
            out: RefCell::default(),
            began: Instant::now(),
        }))
    }

    fn now(&self) -> Duration {
        self.0.began.elapsed()
    }

    /// A connection that is still of use, or a new one.
    async fn connect(&self, addr: SocketAddr) -> Result<TcpStream, NoStream> {
        loop {
            let kept = self.0.idle.borrow_mut().get_mut(&addr).and_then(Vec::pop);
            let Some((since, stream)) = kept else { break };
            // One that says anything now, or has ended, is of no use.
            let quiet =
                matches!(stream.try_read(&mut [0]), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock);
            if quiet && since.elapsed() < self.0.keep {
                return Ok(stream);
            }
        }
        match tokio::time::timeout(self.0.connect_within, TcpStream::connect(addr)).await {
            Ok(Ok(stream)) => {
                let _ = stream.set_nodelay(true);
                Ok(stream)
            }
            Ok(Err(e)) if is_local(&e) => Err(NoStream::Local),
            Ok(Err(_)) | Err(_) => Err(NoStream::Unreached),
        }
    }

    fn keep(&self, addr: SocketAddr, stream: TcpStream) {
        let mut idle = self.0.idle.borrow_mut();
        idle.retain(|_, kept| {
            kept.retain(|(since, _)| since.elapsed() < self.0.keep);
            !kept.is_empty()
        });
        // Descriptors are kept for calls: idle ones have what those leave, and no more.
        let all: usize = idle.values().map(Vec::len).sum();
        let kept = idle.entry(addr).or_default();
        if kept.len() < MOST_IDLE && all + self.0.calls.get() < self.0.most {
            kept.push((Instant::now(), stream));
        }
    }

    async fn attempt(&self, forward: &Forward, stage: &Cell<Stage>) -> Ending {
        let never = || Ending::of(Verdict::NeverRan);
        if self.0.calls.get() >= self.0.most {
            return Ending { blameless: true, ..never() };
        }
        self.0.calls.set(self.0.calls.get() + 1);
        let _call = Call(&self.0.calls);
        let stream = match self.connect(forward.addr).await {
            Ok(stream) => stream,
            Err(NoStream::Unreached) => return never(),
            Err(NoStream::Local) => {
                // Dropped here, nothing was sent.
                tokio::time::sleep(TRY_AGAIN_AFTER).await;
                return Ending { blameless: true, ..never() };
            }
        };
        // What the kernel knows by now of a client that left is heard before the look. Dropped here, nothing was sent.
        tokio::task::yield_now().await;
        if stream.writable().await.is_err() {
            return never();
        }
        // The worker may have begun to drain, or the client have left, since this was decided. Nothing is awaited between
        // the permit and the write.
        let permit = self.0.flows.send_permit(forward, None);
        if permit.and_then(|permit| permit.is_current(Instant::now())).is_err() {
            return Ending { blameless: true, ..never() };
        }
        let asked = forward.job.protocol_data.as_ref().and_then(|d| d.downcast_ref::<RequestContext>());
        let (head, framing, body) = match self.request(forward, asked) {
            Some(request) => request,
            None => return Ending { blameless: true, ..never() },
        };
        let pace = asked.map_or(
            PaceLimits { idle: Duration::from_secs(3600), least: 0, over: Duration::from_secs(5) },
            |a| a.pace,
        );
        let method = asked.map_or(Method::POST, |a| a.head.method.clone());
        stage.set(Stage::Head);
        let (mut read, mut write) = stream.into_split();
        let Ok(bytes) = head.write(framing) else { return Ending { blameless: true, ..never() } };
        let written = write.write_all(&bytes).await;
        self.0.flows.first_byte_written(forward, None);
        if written.is_err() {
            return Ending::of(judge(stage.get(), End::Broken));
        }
        stage.set(Stage::Uploading);
        let upload = self.upload(body, &mut write, Encoder::new(framing), pace);
        let answer = self.answer(forward, asked, &mut read, Incoming::new(method), stage, pace);
        let (mut uploaded, mut sent) = (false, false);
        let mut ending = {
            tokio::pin!(upload, answer);
            loop {
                // Both are kept over the loop: nothing that one has taken is lost when the other is ready.
                tokio::select! {
                    done = &mut upload, if !uploaded => {
                        uploaded = true;
                        match done {
                            Ok(()) => {
                                sent = true;
                                if stage.get() == Stage::Uploading {
                                    stage.set(Stage::Waiting);
                                }
                            }
                            Err(Stuck::Upstream) => {}
                            Err(Stuck::Client) => {
                                let verdict = judge(stage.get(), End::GivenUp);
                                break Ending { blameless: true, ..Ending::of(verdict) };
                            }
                            Err(Stuck::UpstreamSlow) => break Ending::of(judge(stage.get(), End::Late)),
                        }
                    }
                    ending = &mut answer => break ending,
                }
            }
        };
        ending.reusable &= sent;
        if ending.reusable {
            if let Ok(stream) = read.reunite(write) {
                self.keep(forward.addr, stream);
            }
        }
        ending
    }

    /// What is sent: of an HTTP front what it brought, of another a `POST` of the body.
    fn request(
        &self,
        forward: &Forward,
        asked: Option<&RequestContext>,
    ) -> Option<(RequestHead, Framing, Source)> {
        let job: &Job = &forward.job;
        let mut head = match asked {
            Some(asked) => asked.head.clone(),
            None => {
                let mut headers = HeaderMap::new();
                headers.insert("x-call-id", HeaderValue::from_str(&job.reference).ok()?);
                RequestHead { method: Method::POST, target: job.path.clone(), headers }
            }
        };
        let client = asked.and_then(|a| a.client);
        forward_headers(&mut head.headers, &self.0.forwarding, client, &forward.addr.to_string());
        // The front has answered it already.
        head.headers.remove("expect");
        let (framing, source) = match &job.body {
            Body::Whole(bytes) if bytes.is_empty() => (Framing::None, Source::Whole(None)),
            Body::Whole(bytes) => (Framing::Length(bytes.len() as u64), Source::Whole(Some(bytes.clone()))),
            Body::Stream(upload) => {
                let framing = asked.and_then(|a| a.length).map_or(Framing::Chunked, Framing::Length);
                (framing, Source::Stream(upload.attempt()?))
            }
        };
        Some((head, framing, source))
    }

    async fn upload(
        &self,
        mut body: Source,
        write: &mut OwnedWriteHalf,
        mut encoder: Encoder,
        limits: PaceLimits,
    ) -> Result<(), Stuck> {
        let (mut client, mut upstream) = (Pace::new(limits), Pace::new(limits));
        let mut framed = Vec::new();
        loop {
            client.wait(self.now());
            let next = tokio::select! {
                next = body.next() => next,
                () = self.too_slow(&client) => return Err(Stuck::Client),
            };
            let chunk = match next {
                Ok(chunk) => chunk,
                Err(Ended::Broken) => return Err(Stuck::Client),
                Err(Ended::Whole) => break,
            };
            client.moved(self.now(), chunk.len());
            framed.clear();
            let behind = encoder.data(chunk.len(), &mut framed).map_err(|_| Stuck::Client)?;
            for mut part in [&framed[..], &chunk[..], behind] {
                while !part.is_empty() {
                    upstream.wait(self.now());
                    let written = tokio::select! {
                        written = write.write(part) => written,
                        () = self.too_slow(&upstream) => return Err(Stuck::UpstreamSlow),
                    };
                    match written {
                        Ok(count) if count > 0 => part = &part[count..],
                        _ => return Err(Stuck::Upstream),
                    }
                    upstream.moved(self.now(), written.unwrap_or(0));
                }
            }
        }
        framed.clear();
        encoder.end(None, &mut framed).map_err(|_| Stuck::Client)?;
        write.write_all(&framed).await.map_err(|_| Stuck::Upstream)
    }

    /// Resolves when a peer that is waited for has been too slow. It must have moved nothing since this was
    /// called.
    async fn too_slow(&self, pace: &Pace) {
        loop {
            let Some(due) = pace.due() else { return std::future::pending().await };
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
        asked: Option<&RequestContext>,
        read: &mut OwnedReadHalf,
        mut incoming: Incoming,
        stage: &Cell<Stage>,
        limits: PaceLimits,
    ) -> Ending {
        let (mut client, mut upstream) = (Pace::new(limits), Pace::new(limits));
        let mut input = BytesMut::new();
        let mut writer: Option<Writer> = None;
        let (mut whole, mut status) = (BytesMut::new(), 0);
        let broken = |fault: Fault, stage: Stage| {
            warn!(target = %forward.target_name, error = %fault, "upstream: not an answer");
            Ending::of(judge(stage, End::Broken))
        };
        loop {
            loop {
                let event = match incoming.next(&mut input) {
                    Ok(Some(event)) => event,
                    Ok(None) => break,
                    Err(fault) => return broken(fault, stage.get()),
                };
                match event {
                    // The server towards clients can't send trailers: they end here.
                    Event::Interim(_) | Event::Trailers(_) => {}
                    Event::Head(head) => {
                        status = head.status.as_u16();
                        let rejected = head.headers.get("x-rejected").is_some_and(|v| v.as_bytes() == b"1");
                        let verdict = judge(stage.get(), End::Status(status, rejected));
                        if verdict != Verdict::Passes {
                            return Ending::of(verdict);
                        }
                        if let Some(asked) = asked {
                            match self.pass(forward, asked, head) {
                                Some(passing) => writer = Some(passing),
                                None => return Ending { blameless: true, ..Ending::of(Verdict::GivenUp) },
                            }
                            stage.set(Stage::Answering);
                        }
                    }
                    Event::Data(data) => match &writer {
                        Some(writer) => writer.push(data),
                        None if whole.len() + data.len() > MAX_WHOLE => return Ending::of(Verdict::Failed),
                        None => whole.extend_from_slice(&data),
                    },
                    Event::End { reusable } => return self.whole(writer, whole, status, reusable),
                }
            }
            let mut room = IN_ONE_GO;
            if let Some(writer) = &writer {
                client.wait(self.now());
                let held = tokio::select! {
                    room = writer.room() => room,
                    () = self.too_slow(&client) => {
                        warn!(flow = forward.ticket.flow.0, "client too slow: its answer is cut short");
                        None
                    }
                };
                let Some(free) = held else {
                    return Ending { blameless: true, ..Ending::of(judge(stage.get(), End::GivenUp)) };
                };
                client.moved(self.now(), free);
                room = free.min(IN_ONE_GO);
            }
            upstream.wait(self.now());
            input.reserve(room);
            let mut limited = (&mut *read).take(room as u64);
            let gone = async {
                match &writer {
                    Some(writer) => writer.gone().await,
                    None => std::future::pending().await,
                }
            };
            // Before the head it is the flow's deadline that ends this.
            let passing = stage.get() == Stage::Answering;
            let came = tokio::select! {
                came = limited.read_buf(&mut input) => came,
                () = gone => return Ending { blameless: true, ..Ending::of(judge(stage.get(), End::GivenUp)) },
                () = self.too_slow(&upstream), if passing => {
                    warn!(target = %forward.target_name, "upstream too slow: its answer is cut short");
                    return Ending::of(judge(stage.get(), End::Late));
                }
            };
            match came {
                Ok(0) => {
                    return match incoming.eof() {
                        Ok(Some(Event::End { .. })) => self.whole(writer, whole, status, false),
                        Ok(_) => Ending::of(judge(stage.get(), End::Broken)),
                        Err(Fault::Truncated) => Ending::of(judge(stage.get(), End::Broken)),
                        Err(fault) => broken(fault, stage.get()),
                    }
                }
                Ok(count) => upstream.moved(self.now(), count),
                Err(_) => return Ending::of(judge(stage.get(), End::Broken)),
            }
        }
    }

    /// From here on the answer passes; where its body goes.
    fn pass(&self, forward: &Forward, asked: &RequestContext, head: ResponseHead) -> Option<Writer> {
        let (writer, body) = asked.answer.borrow_mut().take()?;
        let passing = StreamedAnswer { head: Box::new(head), body };
        self.0.flows.stream_answer(forward.ticket, passing).then_some(writer)
    }

    fn whole(&self, writer: Option<Writer>, whole: BytesMut, status: u16, reusable: bool) -> Ending {
        if let Some(writer) = writer {
            writer.end(Ended::Whole);
            return Ending { reusable, ..Ending::of(Verdict::Served) };
        }
        // A front of another wire knows only what was done and what was not.
        let verdict = if (200..300).contains(&status) { Verdict::Served } else { Verdict::Failed };
        Ending { result: Some(whole.freeze()), reusable, ..Ending::of(verdict) }
    }

    fn end(&self, ticket: ForwardId, ending: Ending) {
        self.0.out.borrow_mut().remove(&ticket);
        let outcome = match (ending.verdict, ending.blameless) {
            (Verdict::NeverRan, true) => Outcome::Moot,
            (Verdict::NeverRan, false) => Outcome::NoRoute,
            (Verdict::NoRoom, _) => Outcome::NoRoom,
            (Verdict::Failed, _) => Outcome::Fault,
            (Verdict::GivenUp | Verdict::CutShort | Verdict::Broke, true) | (Verdict::GivenUp, _) => {
                Outcome::Cancelled
            }
            (Verdict::Broke | Verdict::CutShort, false) => Outcome::Cut,
            (Verdict::Late, _) => Outcome::TimedOut,
            (Verdict::Served | Verdict::Passes, _) => Outcome::Served,
        };
        self.0.flows.forward_ended(ticket, outcome, ending.result);
    }
}

/// Where the body of an attempt comes from.
enum Source {
    Whole(Option<Bytes>),
    Stream(Attempt),
}

impl Source {
    async fn next(&mut self) -> Result<Bytes, Ended> {
        match self {
            Source::Whole(bytes) => bytes.take().ok_or(Ended::Whole),
            Source::Stream(attempt) => attempt.next().await,
        }
    }
}

impl Target for Upstreams {
    fn forward(&self, _permit: RetryPermit, forward: Forward) {
        let (this, stage) = (self.clone(), Rc::new(Cell::new(Stage::Connecting)));
        let (ticket, at) = (forward.ticket, stage.clone());
        let task = actix_rt::spawn(async move {
            let ending = this.attempt(&forward, &at).await;
            this.end(ticket, ending);
        });
        self.0.out.borrow_mut().insert(ticket, Out { task, stage });
    }

    fn cancel(&self, forward: Forward) {
        let Some(out) = self.0.out.borrow_mut().remove(&forward.ticket) else { return };
        let this = self.clone();
        actix_rt::spawn(async move {
            // The end of the connection gives the attempt up: an upstream sees a broken request, never a whole
            // one that nobody waits for.
            out.task.abort();
            let _ = out.task.await;
            let verdict = judge(out.stage.get(), End::GivenUp);
            this.end(forward.ticket, Ending { blameless: true, ..Ending::of(verdict) });
        });
    }

    fn probe(&self, target: TargetId, addr: SocketAddr, _operation: Option<FencedOperation>) {
        let this = self.clone();
        actix_rt::spawn(async move {
            let outcome = loop {
                let connect = TcpStream::connect(addr);
                match tokio::time::timeout(this.0.connect_within, connect).await {
                    Ok(Ok(_)) => break Outcome::Served,
                    // A probe that this machine could not make has no result.
                    Ok(Err(e)) if is_local(&e) => tokio::time::sleep(TRY_AGAIN_AFTER * 2).await,
                    Ok(Err(_)) | Err(_) => break Outcome::NoRoute,
                }
            };
            this.0.flows.probe_ended(target, outcome, None);
        });
    }
}
