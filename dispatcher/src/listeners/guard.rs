//! The connection guard: supervises what the HTTP server reads from a client's connection. It bounds memory (what the
//! server would buffer without need stays in the kernel) and lets the last response arrive although the client is still
//! sending.

use super::connection_slots::{ConnectionSlot, Cut, Stage};
use lineroute_http1::FramingValidator;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::future::pending;
use std::io::{self, ErrorKind};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, Interest, ReadBuf};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;

/// The longest head. The server itself would take 128 KiB from each connection.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// So much is read in one go, so that the server can pass it on before more comes, and others get their turn.
const MAX_BYTES_PER_READ: usize = 16 << 10;
/// How long the other side may take to end a connection whose end it has been told.
const LINGER: Duration = Duration::from_secs(1);
/// What lingers is read slowly: it is thrown away, and must not take the core.
const LINGER_PAUSE: Duration = Duration::from_millis(5);

/// A connection, shared by the server and the task that ends it.
#[derive(Clone)]
pub struct Guarded {
    input: Rc<RefCell<OwnedReadHalf>>,
    /// Never borrowed to be changed: it is written to, and watched for the other side's end, at the same time.
    output: Rc<OwnedWriteHalf>,
    pub slot: Rc<ConnectionSlot>,
    /// Bytes of the head so far, and of the read under way.
    head_bytes: Rc<Cell<usize>>,
    read_so_far: Rc<Cell<usize>>,
    /// Where requests pass on, what can be framed in two ways must not.
    screen: Option<Rc<RefCell<FramingValidator>>>,
}

/// Writes as much of these words as the system takes without a wait. A write may take a part.
pub(super) fn write_now(stream: &TcpStream, mut words: &[u8]) {
    while let Ok(written @ 1..) = stream.try_write(words) {
        words = &words[written..];
        if words.is_empty() {
            return;
        }
    }
}

impl Guarded {
    /// `screened`: requests on it may pass to plain HTTP workers.
    pub fn new(stream: TcpStream, slot: Rc<ConnectionSlot>, screened: bool) -> Self {
        let screen = screened.then(Rc::default);
        let (input, output) = stream.into_split();
        Guarded {
            input: Rc::new(RefCell::new(input)),
            output: Rc::new(output),
            slot,
            head_bytes: Rc::default(),
            read_so_far: Rc::default(),
            screen,
        }
    }

    fn stream(&self) -> &TcpStream {
        (*self.output).as_ref()
    }

    /// What the kernel has to read by now, as far as one byte goes.
    fn peek(&self) -> io::Result<usize> {
        SockRef::from(self.stream()).peek(&mut [MaybeUninit::uninit()])
    }

    /// The event loop knows of nothing to read. It may not have heard yet of what stood in the socket when it was accepted.
    fn has_nothing_to_read(&self) {
        let empty = || self.peek().is_err_and(|e| e.kind() == ErrorKind::WouldBlock);
        if self.slot.may_have_unread() && empty() {
            self.slot.has_read_all();
        }
    }

    /// Whether the next thing to read is the end.
    fn has_ended(&self) -> bool {
        match self.peek() {
            Ok(count) => count == 0,
            Err(e) => e.kind() != ErrorKind::WouldBlock,
        }
    }

    /// Whether it is between two requests, and not a byte of the next one has come. Whoever ends it then takes nothing.
    pub fn is_at_rest(&self) -> bool {
        self.slot.is_idle() && self.peek().is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
    }

    /// Says the last words of one that was never answered, as far as they go out at once.
    pub fn say(&self, words: &[u8]) {
        write_now(self.stream(), words);
    }

    /// Sees the other side end the connection or break it off, at once and whatever lies unread before its end: what a
    /// read would find only behind that. Its slot is told. Never ends. Dropped, it holds nothing.
    pub async fn watch(&self) {
        // Nothing urgent is asked for on this socket; so this is the end alone.
        let _ = self.stream().ready(Interest::PRIORITY).await;
        self.slot.peer_closed();
        pending().await
    }

    /// Ends a connection on which nothing is owed. What crosses this end is left unread: its client can tell that it was
    /// not taken, and sends it elsewhere.
    pub async fn close(self) {
        self.slot.set(Stage::Ending);
        let _ = SockRef::from(self.stream()).shutdown(Shutdown::Write);
        let _ = tokio::time::timeout(LINGER, self.stream().ready(Interest::PRIORITY)).await;
    }

    /// Ends the connection. Closed with bytes unread, it would be reset, and what was said last be lost.
    pub async fn end(mut self) {
        self.slot.set(Stage::Ending);
        let drained = async {
            let mut waste = [0; 4096];
            self.shutdown().await?;
            while self.read(&mut waste).await? > 0 {
                if self.read_so_far.get() >= MAX_BYTES_PER_READ {
                    self.read_so_far.set(0);
                    tokio::time::sleep(LINGER_PAUSE).await;
                }
            }
            io::Result::Ok(())
        };
        let _ = tokio::time::timeout(LINGER, drained).await;
    }
}

impl AsyncRead for Guarded {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let slot = &self.slot;
        if slot.stage() == Stage::InWork {
            // What comes behind a request in hand waits in the kernel. Only the end is looked out for.
            let mut byte = [0];
            let mut byte = ReadBuf::new(&mut byte);
            match self.stream().poll_peek(cx, &mut byte) {
                Poll::Pending => self.has_nothing_to_read(),
                Poll::Ready(Ok(0) | Err(_)) => slot.peer_closed(),
                // The end behind these is `watch`'s to see.
                Poll::Ready(Ok(_)) => {
                    slot.has_unread_now();
                    slot.wait_until_answered(cx.waker());
                }
            }
            return Poll::Pending;
        }
        if self.read_so_far.get() >= MAX_BYTES_PER_READ && slot.stage() != Stage::Ending {
            self.read_so_far.set(0);
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        // Between two goes the server has looked at what there is: it is no whole head.
        if self.read_so_far.get() == 0
            && slot.stage() == Stage::Head
            && self.head_bytes.get() >= MAX_HEAD_BYTES
        {
            slot.cut(Cut::TooLong);
            return Poll::Pending;
        }
        let before = buf.filled().len();
        let read = Pin::new(&mut *self.input.borrow_mut()).poll_read(cx, buf);
        if read.is_pending() {
            self.read_so_far.set(0);
            self.has_nothing_to_read();
        }
        let read = ready!(read);
        let count = buf.filled().len() - before;
        // The server goes on with what came before its client's end. The kernel knows of that end before the event loop
        // tells: a connection that was just accepted is read before there was any event. Nothing has been placed so far.
        if read.is_err() || (buf.remaining() > 0 && self.has_ended()) {
            slot.peer_closed();
        }
        read?;
        if let Some(screen) = &self.screen {
            if screen.borrow_mut().feed(&buf.filled()[before..]).is_err() {
                // Not a byte of it reaches the parser behind.
                buf.set_filled(before);
                slot.cut(Cut::Malformed);
                return Poll::Pending;
            }
        }
        self.read_so_far.set(self.read_so_far.get() + count);
        if count > 0 {
            let before = if slot.stage() == Stage::Head { self.head_bytes.get() } else { 0 };
            self.head_bytes.set(before + count);
            slot.bytes_received();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Guarded {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream().poll_write_ready(cx))?;
            match self.stream().try_write(buf) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(self.stream()).shutdown(Shutdown::Write))
    }
}

#[cfg(test)]
mod tests {
    use super::super::connection_slots::ConnectionSlots;
    use super::*;
    use crate::arrival::ArrivalClock;
    use std::io::Write;
    use std::task::Waker;
    use std::time::Instant;

    /// Of a connection that has just been accepted the event loop knows nothing to read yet. That must not make what stood in
    /// the queue with it come later.
    #[test]
    fn bytes_that_stood_in_the_queue_keep_their_time_until_they_are_read() {
        actix_rt::System::new().block_on(async {
            let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a socket");
            let mut client = std::net::TcpStream::connect(listener.local_addr().expect("bound")).expect("up");
            client.write_all(b"GET").expect("room");
            let (accepted, _) = listener.accept().expect("a connection");
            accepted.set_nonblocking(true).expect("a socket");

            let slots = ConnectionSlots::new(1, Rc::new(ArrivalClock::new(Instant::now())));
            let slot = slots.take().expect("a slot").slot.clone();
            let queued_since = Instant::now() - Duration::from_secs(2);
            slot.has_unread(queued_since);
            let mut guarded = Guarded::new(TcpStream::from_std(accepted).expect("up"), slot.clone(), false);
            let mut bytes = [0; 8];
            let first = Pin::new(&mut guarded)
                .poll_read(&mut Context::from_waker(Waker::noop()), &mut ReadBuf::new(&mut bytes));
            assert!(first.is_pending(), "the event loop had no turn yet");
            assert_eq!(guarded.read(&mut bytes).await.expect("bytes"), 3);
            assert_eq!(slot.arrived(), queued_since);
        });
    }
}
