//! Final check before the first byte of a request. The HTTP client library picks or waits for a connection and
//! then writes; the gate rechecks the conditions at the write, since they may have changed meanwhile, and
//! records what was written when a call fails.

use super::client::CallError;
use super::connections::OpenConnection;
use crate::stops;
use actix_rt::net::{ActixStream, Ready};
use actix_service::{fn_service, Service};
use actix_tls::connect::{ConnectError, ConnectInfo, Connection, Connector};
use awc::http::Uri;
use lineroute_permit::{SendPermit, SendRefusal};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io::{self, ErrorKind};
use std::mem::MaybeUninit;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout_at;

tokio::task_local! {
    /// The gate of the call that is being polled. Each call uses one connection, which checks the gate before
    /// its first byte.
    static GATE: Rc<Gate>;
}

/// How much of a request was written.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum WriteState {
    /// Nothing has been written yet.
    #[default]
    Waiting,
    /// The check failed: nothing was written, and nothing will be.
    Refused,
    /// The peer has closed the idle connection: nothing was written.
    Stale,
    Open(Instant),
    /// The connection broke before the last byte was written.
    Unsent,
}

/// The remaining time that the request states to the worker, if any.
type BudgetSent = Option<Duration>;

/// Decides whether the first byte may be written.
enum Check {
    /// An attempt: it needs a permit, and the write is audited afterwards. Both closures receive the remaining
    /// time that the request states to the worker.
    Attempt {
        permit: Box<dyn Fn(BudgetSent) -> Result<SendPermit, SendRefusal>>,
        written: Box<dyn Fn(BudgetSent)>,
    },
    /// Another call, which is sent as long as it is still needed.
    Call(Box<dyn Fn() -> bool>),
}

impl Check {
    /// Nothing may be awaited between this check and the write.
    fn is_granted(&self, budget_sent: BudgetSent) -> bool {
        match self {
            Check::Attempt { permit, .. } => {
                permit(budget_sent).and_then(|permit| permit.check_age(Instant::now())).is_ok()
            }
            Check::Call(is_wanted) => is_wanted(),
        }
    }
}

/// A worker that sends an answer twice does so within this time. An answer to a request that was sent within
/// this time after another answer on the same connection may therefore belong to the earlier request. Not
/// configurable.
const DUPLICATE_ANSWER_WINDOW: Duration = Duration::from_millis(25);

/// The checks that one request has to pass before it is written.
#[derive(Default)]
pub struct Gate {
    check: Option<Check>,
    state: Cell<WriteState>,
    /// The remaining time that the request states to the worker.
    budget_sent: Cell<BudgetSent>,
    /// The write of the first byte has been reported.
    write_reported: Cell<bool>,
    follows_answer: Cell<bool>,
    /// Task that lets the event loop run one turn before the check. It is a separate task so that other
    /// wake-ups of the call do not count as the turn; if the call is dropped, the task ends after that turn.
    loop_turn: RefCell<Option<JoinHandle<()>>>,
}

impl Gate {
    /// For a call that is not an attempt. `is_wanted` is called once a writable connection exists, right before
    /// the first byte.
    pub fn new(is_wanted: impl Fn() -> bool + 'static) -> Rc<Gate> {
        Rc::new(Gate { check: Some(Check::Call(Box::new(is_wanted))), ..Gate::default() })
    }

    /// For an attempt. `permit` is called right before the first byte and `written` right after it.
    pub fn for_attempt(
        permit: impl Fn(BudgetSent) -> Result<SendPermit, SendRefusal> + 'static,
        written: impl Fn(BudgetSent) + 'static,
    ) -> Rc<Gate> {
        let check = Check::Attempt { permit: Box::new(permit), written: Box::new(written) };
        Rc::new(Gate { check: Some(check), ..Gate::default() })
    }

    /// Reports the first write to the audit.
    fn report_write(&self) {
        if let (Some(Check::Attempt { written, .. }), false) =
            (&self.check, self.write_reported.replace(true))
        {
            written(self.budget_sent.get());
        }
    }

    /// Sets the remaining time that the request states to the worker.
    pub fn set_budget_sent(&self, left: Duration) {
        self.budget_sent.set(Some(left));
    }

    /// Whether a byte may have been sent.
    pub fn may_have_written(&self) -> bool {
        matches!(self.state.get(), WriteState::Open(_) | WriteState::Unsent)
    }

    /// Whether the request was sent shortly after the answer to another one on the same connection.
    pub fn follows_recent_answer(&self) -> bool {
        self.follows_answer.get()
    }

    /// Prepares for another try if nothing was written.
    pub fn reset_if_stale(&self) {
        if self.state.get() == WriteState::Stale {
            self.state.set(WriteState::Waiting);
            self.loop_turn.take();
        }
    }

    /// Lets the event loop run one turn before the check, so that events already known to the kernel, such as a
    /// client that left or a worker that drains, are handled first, whatever woke this call.
    fn poll_loop_turn(&self, cx: &mut Context<'_>) -> Poll<()> {
        if self.state.get() != WriteState::Waiting {
            return Poll::Ready(());
        }
        let mut turn = self.loop_turn.borrow_mut();
        let turn = turn.get_or_insert_with(|| actix_rt::spawn(tokio::task::yield_now()));
        Pin::new(turn).poll(cx).map(|_| ())
    }

    fn check_before_write(&self, GatedStream { stream, last_read, .. }: &GatedStream) -> io::Result<()> {
        match self.state.get() {
            WriteState::Waiting => {}
            WriteState::Open(_) => return Ok(()),
            // Repeated writes get the same result.
            WriteState::Refused | WriteState::Stale | WriteState::Unsent => {
                return Err(ErrorKind::NotConnected.into())
            }
        }
        self.follows_answer
            .set(last_read.is_some_and(|last_read| last_read.elapsed() < DUPLICATE_ANSWER_WINDOW));
        // Nothing may be awaited from here to the write.
        stops::at("post.look");
        let state = match is_unusable(stream) {
            true => WriteState::Stale,
            false if self.check.as_ref().is_none_or(|check| check.is_granted(self.budget_sent.get())) => {
                WriteState::Open(Instant::now())
            }
            false => WriteState::Refused,
        };
        self.state.set(state);
        match state {
            WriteState::Open(_) => Ok(()),
            _ => Err(ErrorKind::NotConnected.into()),
        }
    }

    /// Runs a call through this gate. It may take `time_limit` from its first byte on, and `left` in total;
    /// before the first byte the connector's own time limit applies.
    pub async fn call<T>(
        self: Rc<Self>,
        call: impl Future<Output = Result<T, CallError>>,
        time_limit: Duration,
        left: Duration,
    ) -> Result<T, CallError> {
        let start = Instant::now();
        let mut call = pin!(GATE.scope(self.clone(), call));
        let mut until = start + time_limit.min(left);
        let answer = loop {
            // The call is not dropped between iterations, so nothing is lost.
            match timeout_at(until.into(), call.as_mut()).await {
                Ok(answer) => break answer,
                Err(_) => {
                    let longest = match self.state.get() {
                        WriteState::Open(at) => at + time_limit,
                        _ => Instant::now() + time_limit,
                    };
                    match longest.min(start + left) {
                        later if later > until => until = later,
                        _ => break Err(CallError::Timeout),
                    }
                }
            }
        };
        match (self.state.get(), answer) {
            (_, Ok(answer)) => Ok(answer),
            (WriteState::Refused, _) => Err(CallError::NotPermitted),
            (WriteState::Stale, _) => Err(CallError::Stale),
            (WriteState::Unsent, _) => Err(CallError::Unsent),
            (WriteState::Waiting, Err(CallError::Timeout)) => {
                Err(CallError::NoConnection("connect timed out".into()))
            }
            (_, Err(e)) => Err(e),
        }
    }
}

/// Whether the peer has closed the connection according to the kernel; the event loop may not know it yet. A
/// connection with unsolicited input is not usable either.
fn is_unusable(stream: &TcpStream) -> bool {
    let peeked = SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]);
    !matches!(peeked, Err(e) if e.kind() == ErrorKind::WouldBlock)
}

/// A connection that checks the gate before its first byte.
#[derive(Debug)]
pub struct GatedStream {
    stream: TcpStream,
    /// When data was last read from the connection.
    last_read: Option<Instant>,
    /// Declared after the stream, so that the connection is counted until the stream is closed.
    _open_connection: OpenConnection,
}

/// Opens connections that check the gate. `open_connection` is called before each one and counts it.
pub fn connector(
    open_connection: impl Fn() -> OpenConnection + Clone + 'static,
) -> impl Service<ConnectInfo<Uri>, Response = Connection<Uri, GatedStream>, Error = ConnectError> + Clone {
    let plain = Connector::default().service();
    fn_service(move |info: ConnectInfo<Uri>| {
        let open = open_connection();
        let opened = plain.call(info);
        async move {
            let (stream, uri) = opened.await?.into_parts();
            Ok(Connection::new(uri, GatedStream { stream, last_read: None, _open_connection: open }))
        }
    })
}

impl AsyncRead for GatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.last_read = Some(Instant::now());
        }
        read
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        // Writes outside of a call, which happen when a connection is closed, are not checked.
        let Ok(gate) = GATE.try_with(Rc::clone) else {
            return Pin::new(&mut self.stream).poll_write(cx, buf);
        };
        ready!(self.stream.poll_write_ready(cx))?;
        ready!(gate.poll_loop_turn(cx));
        gate.check_before_write(&self)?;
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, buf));
        match written {
            Ok(_) => gate.report_write(),
            Err(_) => gate.state.set(WriteState::Unsent),
        }
        Poll::Ready(written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl ActixStream for GatedStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.stream, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, cx)
    }
}
