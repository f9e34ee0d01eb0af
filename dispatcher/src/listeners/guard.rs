//! The connection guard: controls what the HTTP server reads from a client's connection. It bounds memory, by leaving in the
//! kernel what the server would buffer early, and makes sure that the last response arrives although the client is still
//! sending.

use super::connection_slots::{AbortCause, ConnectionSlot, Stage};
use crate::memory::{MemoryBudget, MemoryLease, Purpose};
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

/// The largest request head. The HTTP server by itself would buffer up to 128 KiB per connection.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Bytes that each connection may buffer in either direction without a lease. The HTTP server allocates buffers of this size.
const BUFFER_BYTES: usize = 8 << 10;
/// Bytes leased for a head that exceeds [`BUFFER_BYTES`]: the buffer doubles, and the old one is held while it is copied.
const LONG_HEAD_LEASE_BYTES: usize = 24 << 10;
/// How long to wait for the peer to close after this side has shut down its writing half.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between reads while lingering: the data is discarded, and reading it must not use up the CPU core.
const LINGER_PAUSE: Duration = Duration::from_millis(5);

/// A connection, shared by the HTTP server and the task that closes it.
#[derive(Clone)]
pub struct GuardedStream {
    input: Rc<RefCell<OwnedReadHalf>>,
    /// Not in a `RefCell`: it is written to and watched for the peer's close at the same time.
    output: Rc<OwnedWriteHalf>,
    pub slot: Rc<ConnectionSlot>,
    /// Bytes of the current head so far, and bytes read since the last yield.
    head_bytes: Rc<Cell<usize>>,
    read_so_far: Rc<Cell<usize>>,
    memory: Rc<MemoryBudget>,
    /// Lease for a long head, whose buffer the server keeps until the connection ends.
    head_lease: Rc<Cell<Option<MemoryLease>>>,
    /// Rejects ambiguous framing; present if requests may be proxied.
    framing_validator: Option<Rc<RefCell<FramingValidator>>>,
}

/// Writes as many of these bytes as the kernel takes without waiting. A single write may take only a part.
pub(super) fn write_without_waiting(stream: &TcpStream, mut bytes: &[u8]) {
    while let Ok(written @ 1..) = stream.try_write(bytes) {
        bytes = &bytes[written..];
        if bytes.is_empty() {
            return;
        }
    }
}

impl GuardedStream {
    /// `proxied`: requests on it may be proxied to plain HTTP workers, so their framing is validated.
    pub fn new(stream: TcpStream, slot: Rc<ConnectionSlot>, proxied: bool, memory: Rc<MemoryBudget>) -> Self {
        let framing_validator = proxied.then(Rc::default);
        let (input, output) = stream.into_split();
        GuardedStream {
            input: Rc::new(RefCell::new(input)),
            output: Rc::new(output),
            slot,
            head_bytes: Rc::default(),
            read_so_far: Rc::default(),
            memory,
            head_lease: Rc::default(),
            framing_validator,
        }
    }

    fn stream(&self) -> &TcpStream {
        (*self.output).as_ref()
    }

    /// Leases memory for a long head, unless it is leased already. False if there is none.
    fn lease_for_long_head(&self) -> bool {
        let held = self.head_lease.take().or_else(|| {
            let lease = self.memory.try_lease(LONG_HEAD_LEASE_BYTES, Purpose::Bulk)?;
            self.slot.set_leased_for_buffers(LONG_HEAD_LEASE_BYTES);
            Some(lease)
        });
        let is_held = held.is_some();
        self.head_lease.set(held);
        is_held
    }

    /// Reads at most `limit` bytes.
    fn poll_read_at_most(
        &self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
        limit: usize,
    ) -> Poll<io::Result<()>> {
        let mut input = self.input.borrow_mut();
        if limit >= buf.remaining() {
            return Pin::new(&mut *input).poll_read(cx, buf);
        }
        let mut bytes = [0; BUFFER_BYTES];
        let mut limited = ReadBuf::new(&mut bytes[..limit.min(BUFFER_BYTES)]);
        let read = Pin::new(&mut *input).poll_read(cx, &mut limited);
        buf.put_slice(limited.filled());
        read
    }

    /// Peeks at the socket's receive buffer; returns 1 if there is data, and 0 at the end of the stream.
    fn peek(&self) -> io::Result<usize> {
        SockRef::from(self.stream()).peek(&mut [MaybeUninit::uninit()])
    }

    /// Called when the event loop reports nothing to read. That report may be missing data that was already in the socket when
    /// it was accepted, so the kernel is asked before the slot is marked as read.
    fn on_nothing_readable(&self) {
        let empty = || self.peek().is_err_and(|e| e.kind() == ErrorKind::WouldBlock);
        if self.slot.may_have_unread() && empty() {
            self.slot.mark_all_read();
        }
    }

    /// Whether the stream has ended or failed, with no data left to read.
    fn is_at_end(&self) -> bool {
        match self.peek() {
            Ok(count) => count == 0,
            Err(e) => e.kind() != ErrorKind::WouldBlock,
        }
    }

    /// Whether the connection is between two requests and no byte of the next one has arrived, so that closing it loses nothing.
    pub fn is_idle_and_empty(&self) -> bool {
        self.slot.is_idle() && self.peek().is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
    }

    /// Writes a final response, as much of it as goes out without waiting, on a connection that was never answered.
    pub fn write_final(&self, bytes: &[u8]) {
        write_without_waiting(self.stream(), bytes);
    }

    /// Marks the slot as soon as the peer closes or resets the connection, even while unread data precedes the close, which a
    /// read would have to consume first. Never resolves; cancel-safe.
    pub async fn watch_for_close(&self) {
        // Urgent data is not enabled on this socket, so this fires only when the connection ends.
        let _ = self.stream().ready(Interest::PRIORITY).await;
        self.slot.peer_closed();
        pending().await
    }

    /// Closes a connection with no response pending. A request that arrives meanwhile is left unread, so its client can tell
    /// that it was not accepted, and sends it elsewhere.
    pub async fn close(self) {
        self.slot.set_stage(Stage::Closing);
        let _ = SockRef::from(self.stream()).shutdown(Shutdown::Write);
        let _ = tokio::time::timeout(LINGER_TIMEOUT, self.stream().ready(Interest::PRIORITY)).await;
    }

    /// Closes the connection after draining it: closed with unread bytes it would be reset, and the last response lost.
    pub async fn drain_and_close(mut self) {
        self.slot.set_stage(Stage::Closing);
        let drained = async {
            let mut discarded = [0; 4096];
            self.shutdown().await?;
            while self.read(&mut discarded).await? > 0 {
                if self.read_so_far.get() >= BUFFER_BYTES {
                    self.read_so_far.set(0);
                    tokio::time::sleep(LINGER_PAUSE).await;
                }
            }
            io::Result::Ok(())
        };
        let _ = tokio::time::timeout(LINGER_TIMEOUT, drained).await;
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let slot = &self.slot;
        if slot.leaves_data_unread() {
            // Data after the request in progress, or of a request that has no memory yet, stays in the kernel. Only the peer's close is looked for.
            let mut byte = [0];
            let mut byte = ReadBuf::new(&mut byte);
            match self.stream().poll_peek(cx, &mut byte) {
                Poll::Pending => self.on_nothing_readable(),
                Poll::Ready(Ok(0) | Err(_)) => slot.peer_closed(),
                // A close after these bytes is detected by `watch_for_close`.
                Poll::Ready(Ok(_)) => {
                    slot.mark_unread_now();
                    slot.wait_until_answered(cx.waker());
                }
            }
            return Poll::Pending;
        }
        let is_closing = slot.stage() == Stage::Closing;
        if self.read_so_far.get() >= slot.read_limit() && !is_closing {
            self.read_so_far.set(0);
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        // The server has parsed everything read so far and found no complete head.
        if self.read_so_far.get() == 0
            && slot.stage() == Stage::Head
            && self.head_bytes.get() >= MAX_HEAD_BYTES
        {
            slot.abort(AbortCause::HeadTooLarge);
            return Poll::Pending;
        }
        let is_long_head = slot.stage() == Stage::Head && self.head_bytes.get() >= BUFFER_BYTES;
        if is_long_head && !self.lease_for_long_head() {
            slot.abort(AbortCause::MemoryNeeded);
            return Poll::Pending;
        }
        let before = buf.filled().len();
        let limit = match is_closing {
            true => buf.remaining(),
            false => slot.read_limit() - self.read_so_far.get(),
        };
        let read = self.poll_read_at_most(cx, buf, limit);
        if read.is_pending() {
            self.read_so_far.set(0);
            self.on_nothing_readable();
        }
        let read = ready!(read);
        let count = buf.filled().len() - before;
        // The server would process data that came before the peer's close. The kernel knows of the close before the event loop
        // reports it: a connection that was just accepted is read before there was any event. The request has not been
        // forwarded at this point.
        if read.is_err() || (buf.remaining() > 0 && self.is_at_end()) {
            slot.peer_closed();
        }
        read?;
        if let Some(framing_validator) = &self.framing_validator {
            if framing_validator.borrow_mut().feed(&buf.filled()[before..]).is_err() {
                // Nothing of this read reaches the parser.
                buf.set_filled(before);
                slot.abort(AbortCause::Malformed);
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

impl AsyncWrite for GuardedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream().poll_write_ready(cx))?;
            match self.stream().try_write(buf) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                written => {
                    self.slot.bytes_sent(written.as_ref().copied().unwrap_or(0));
                    return Poll::Ready(written);
                }
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

    /// Guards against a wrong arrival time: right after `accept` the event loop reports nothing to read, although bytes that
    /// waited in the queue are there. They must keep the time since which they may have been waiting.
    #[test]
    fn queued_bytes_keep_their_arrival_time_until_they_are_read() {
        actix_rt::System::new().block_on(async {
            let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a socket");
            let mut client = std::net::TcpStream::connect(listener.local_addr().expect("bound")).expect("up");
            client.write_all(b"GET").expect("room");
            let (accepted, _) = listener.accept().expect("a connection");
            accepted.set_nonblocking(true).expect("a socket");

            let slots = ConnectionSlots::new(1, Rc::new(ArrivalClock::new(Instant::now())));
            let slot = slots.acquire().expect("a slot").slot.clone();
            let queued_since = Instant::now() - Duration::from_secs(2);
            slot.mark_unread_since(queued_since);
            let mut guarded = GuardedStream::new(
                TcpStream::from_std(accepted).expect("up"),
                slot.clone(),
                false,
                MemoryBudget::new(1 << 20),
            );
            let mut bytes = [0; 8];
            let first = Pin::new(&mut guarded)
                .poll_read(&mut Context::from_waker(Waker::noop()), &mut ReadBuf::new(&mut bytes));
            assert!(first.is_pending(), "the event loop had no turn yet");
            assert_eq!(guarded.read(&mut bytes).await.expect("bytes"), 3);
            assert_eq!(slot.arrived(), queued_since);
        });
    }
}
