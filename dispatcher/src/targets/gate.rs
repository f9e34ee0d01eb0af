//! The last look before a request's first byte. The client library finds a connection, or waits for one, and then
//! writes: guards against what happens in between, and tells what was written when a call comes to no answer.

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
    /// The gate of the call that is being polled. One call has one connection, which asks here before its first byte.
    static GATE: Rc<Gate>;
}

/// What has become of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum WriteState {
    /// Not a byte of it is written.
    #[default]
    Waiting,
    /// The look said no: nothing is written, and nothing will be.
    Refused,
    /// The other side has closed the kept connection: nothing was written.
    Stale,
    Open(Instant),
    /// The connection broke before the last byte was written.
    Unsent,
}

/// The time that a worker is told is left, where it is told any.
type BudgetSent = Option<Duration>;

/// Who decides whether the first byte goes out.
enum Check {
    /// An attempt: it needs a permit, and what was written is judged behind the write.
    /// Both are given the time that the bytes tell the worker is left.
    Attempt {
        permit: Box<dyn Fn(BudgetSent) -> Result<SendPermit, SendRefusal>>,
        written: Box<dyn Fn(BudgetSent)>,
    },
    /// A call that is no attempt, as long as it has a purpose.
    Call(Box<dyn Fn() -> bool>),
}

impl Check {
    /// Nothing is awaited between this and the write.
    fn is_granted(&self, budget_sent: BudgetSent) -> bool {
        match self {
            Check::Attempt { permit, .. } => {
                permit(budget_sent).and_then(|permit| permit.is_current(Instant::now())).is_ok()
            }
            Check::Call(is_wanted) => is_wanted(),
        }
    }
}

/// A worker that answers twice does so within this time: an answer to a request that went out sooner behind another
/// one's on the same connection may be that one's. No setting tells of it.
const DUPLICATE_ANSWER_WINDOW: Duration = Duration::from_millis(25);

/// What one request has to pass.
#[derive(Default)]
pub struct Gate {
    check: Option<Check>,
    state: Cell<WriteState>,
    /// The time that the bytes tell the worker is left.
    budget_sent: Cell<BudgetSent>,
    /// The write of the first byte was told of.
    write_reported: Cell<bool>,
    follows_answer: Cell<bool>,
    /// The event loop's turn before the look. A task of its own, so that no other wake of the call counts as the turn;
    /// left behind by a call that is dropped, it ends with that turn.
    loop_turn: RefCell<Option<JoinHandle<()>>>,
}

impl Gate {
    /// For a call that is no attempt. `is_wanted` is called once there is a connection that takes bytes, right before the
    /// first one goes out.
    pub fn new(is_wanted: impl Fn() -> bool + 'static) -> Rc<Gate> {
        Rc::new(Gate { check: Some(Check::Call(Box::new(is_wanted))), ..Gate::default() })
    }

    /// For an attempt. `permit` is called at that moment, and `written` right behind the write.
    pub fn for_attempt(
        permit: impl Fn(BudgetSent) -> Result<SendPermit, SendRefusal> + 'static,
        written: impl Fn(BudgetSent) + 'static,
    ) -> Rc<Gate> {
        let check = Check::Attempt { permit: Box::new(permit), written: Box::new(written) };
        Rc::new(Gate { check: Some(check), ..Gate::default() })
    }

    /// Bytes were written.
    fn report_write(&self) {
        if let (Some(Check::Attempt { written, .. }), false) =
            (&self.check, self.write_reported.replace(true))
        {
            written(self.budget_sent.get());
        }
    }

    /// The bytes of the call tell the worker that so much time is left.
    pub fn set_budget_sent(&self, left: Duration) {
        self.budget_sent.set(Some(left));
    }

    /// Whether a byte may have gone out.
    pub fn may_have_written(&self) -> bool {
        matches!(self.state.get(), WriteState::Open(_) | WriteState::Unsent)
    }

    /// Whether the request went out right behind the answer to another one.
    pub fn follows_recent_answer(&self) -> bool {
        self.follows_answer.get()
    }

    /// Nothing was written: the call may be made anew.
    pub fn reset_if_stale(&self) {
        if self.state.get() == WriteState::Stale {
            self.state.set(WriteState::Waiting);
            self.loop_turn.take();
        }
    }

    /// Lets the event loop take a turn before the look: what the kernel knows by then of a client that left, or of a
    /// worker that drains, is heard first, whatever woke this call.
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
            // Whoever tries to write again: it stays at that.
            WriteState::Refused | WriteState::Stale | WriteState::Unsent => {
                return Err(ErrorKind::NotConnected.into())
            }
        }
        self.follows_answer
            .set(last_read.is_some_and(|last_read| last_read.elapsed() < DUPLICATE_ANSWER_WINDOW));
        // Nothing is awaited from here to the write.
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

    /// Makes a call through this gate. It may take `within` from its first byte; before that the connector's own limit
    /// holds, and `left` in all.
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
            // The call is kept over the loop: nothing of it is lost.
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
                Err(CallError::NoConnection("it did not come up in time".into()))
            }
            (_, Err(e)) => Err(e),
        }
    }
}

/// Whether the other side has ended the connection, as the kernel knows by now: what the event loop has been told may
/// be older. Words that nobody asked for make it useless as well.
fn is_unusable(stream: &TcpStream) -> bool {
    let peeked = SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]);
    !matches!(peeked, Err(e) if e.kind() == ErrorKind::WouldBlock)
}

/// A connection that asks the gate.
#[derive(Debug)]
pub struct GatedStream {
    stream: TcpStream,
    /// When something was last read from it.
    last_read: Option<Instant>,
    /// Behind the stream: it counts until that is closed.
    _open_connection: OpenConnection,
}

/// Opens connections that ask the gate. `opens` is called before each, and counts it.
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
        // What is said outside of any call passes: the end of a connection.
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
