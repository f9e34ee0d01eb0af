//! Bodies of flows: buffered, or streamed in bounded memory. `lineroute_stream` decides how much may be held and
//! what may be replayed; this module applies its decisions to bytes and wakers.
//!
//! Everything runs on one thread. No `RefCell` borrow is held across an await.

mod chunk_queue;

use bytes::Bytes;
use chunk_queue::ChunkQueue;
use lineroute_stream::{Budget, ReplayBuffer, ReplayCursor, Share};
use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

/// The memory budget that all streams share.
#[derive(Clone)]
pub struct StreamBudget(Rc<RefCell<Budget>>);

impl StreamBudget {
    pub fn new(total: usize, floor: usize, ceiling: usize) -> Self {
        StreamBudget(Rc::new(RefCell::new(Budget::new(total, floor, ceiling))))
    }

    /// Opens a stream; `None` if the budget has no room for another one.
    pub fn stream(&self) -> Option<(Writer, Reader)> {
        let share = self.0.borrow_mut().open()?;
        let stream = Rc::new(Stream {
            budget: self.clone(),
            state: RefCell::new(State {
                share: Some(share),
                queue: ChunkQueue::default(),
                retained: 0,
                end: None,
                reader_gone: false,
                reader: None,
                writer: None,
            }),
        });
        Some((Writer(stream.clone()), Reader(stream)))
    }

    /// The number of bytes held and of open streams.
    pub fn held(&self) -> (usize, usize) {
        let budget = self.0.borrow();
        (budget.held(), budget.open_streams())
    }
}

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    Complete,
    /// The stream ended before its body was complete.
    Truncated,
}

struct State {
    /// `None` only while the stream is being dropped.
    share: Option<Share>,
    queue: ChunkQueue,
    /// Bytes that have been read but are retained for replay.
    retained: usize,
    end: Option<StreamEnd>,
    reader_gone: bool,
    reader: Option<Waker>,
    writer: Option<Waker>,
}

struct Stream {
    budget: StreamBudget,
    state: RefCell<State>,
}

impl Stream {
    /// Adjusts the stream's share of the budget to the bytes that it holds.
    fn account(&self, state: &mut State) {
        let State { share, queue, retained, .. } = state;
        let held = queue.len() + *retained;
        if let Some(share) = share {
            let mut budget = self.budget.0.borrow_mut();
            let before = share.held();
            budget.acquire(share, held.saturating_sub(before));
            budget.release(share, before.saturating_sub(held));
        }
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        if let Some(share) = self.state.get_mut().share.take() {
            self.budget.0.borrow_mut().close(share);
        }
    }
}

/// The writing end of a stream. Dropping it before [`Writer::end`] truncates the stream.
pub struct Writer(Rc<Stream>);

impl Writer {
    /// Waits until there is room and returns how much; `None` if the reader is gone.
    pub async fn room(&self) -> Option<usize> {
        std::future::poll_fn(|cx| self.poll_room(cx)).await
    }

    fn poll_room(&self, cx: &mut Context<'_>) -> Poll<Option<usize>> {
        let state = &mut *self.0.state.borrow_mut();
        if state.reader_gone {
            return Poll::Ready(None);
        }
        let room = state.share.as_ref().map_or(0, |share| self.0.budget.0.borrow().available(share));
        if room > 0 {
            return Poll::Ready(Some(room));
        }
        state.writer = Some(cx.waker().clone());
        Poll::Pending
    }

    /// Appends bytes. Bytes beyond the available room are held nevertheless: callers push small chunks.
    pub fn push(&self, bytes: Bytes) {
        let state = &mut *self.0.state.borrow_mut();
        if bytes.is_empty() || state.reader_gone {
            return;
        }
        state.queue.push(bytes);
        self.0.account(state);
        state.reader.take().map(Waker::wake).unwrap_or_default();
    }

    /// Marks the end of the stream. Later calls have no effect.
    pub fn end(&self, ended: StreamEnd) {
        let state = &mut *self.0.state.borrow_mut();
        if state.end.is_none() {
            state.end = Some(ended);
            state.reader.take().map(Waker::wake).unwrap_or_default();
        }
    }

    /// Resolves when the reader is gone.
    pub async fn gone(&self) {
        std::future::poll_fn(|cx| {
            let state = &mut *self.0.state.borrow_mut();
            if state.reader_gone {
                return Poll::Ready(());
            }
            state.writer = Some(cx.waker().clone());
            Poll::Pending
        })
        .await
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        self.end(StreamEnd::Truncated);
    }
}

/// The reading end of a stream. Dropping it notifies the writer.
pub struct Reader(Rc<Stream>);

impl Reader {
    /// The next bytes, or the end.
    pub fn poll_next(&self, cx: &mut Context<'_>) -> Poll<Result<Bytes, StreamEnd>> {
        let state = &mut *self.0.state.borrow_mut();
        if let Some(bytes) = state.queue.pop() {
            self.0.account(state);
            state.writer.take().map(Waker::wake).unwrap_or_default();
            return Poll::Ready(Ok(bytes));
        }
        match state.end {
            Some(ended) => Poll::Ready(Err(ended)),
            None => {
                state.reader = Some(cx.waker().clone());
                Poll::Pending
            }
        }
    }

    /// Sets the number of read bytes that are retained for replay.
    fn set_retained(&self, retained: usize) {
        let state = &mut *self.0.state.borrow_mut();
        state.retained = retained;
        self.0.account(state);
        state.writer.take().map(Waker::wake).unwrap_or_default();
    }

    /// Whether the bytes retained for replay leave the writer no room.
    fn replay_blocks_writer(&self) -> bool {
        let state = self.0.state.borrow();
        let room = state.share.as_ref().map_or(0, |share| self.0.budget.0.borrow().available(share));
        room == 0 && state.queue.is_empty() && state.retained > 0
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        let state = &mut *self.0.state.borrow_mut();
        state.reader_gone = true;
        state.queue.clear();
        state.retained = 0;
        self.0.account(state);
        state.writer.take().map(Waker::wake).unwrap_or_default();
    }
}

/// A client's streamed body as attempts read it: each from the beginning, as long as that is still held.
#[derive(Clone)]
pub struct Upload(Rc<RefCell<Source>>);

struct Source {
    reader: Reader,
    replay: ReplayBuffer,
    /// Number of attempts so far. Only the latest one may read.
    attempt: u32,
    /// The client's body was truncated, so a repeat is pointless.
    truncated: bool,
}

impl Upload {
    /// A body read from `reader`; up to `replay` bytes of it are retained for replay.
    pub fn new(reader: Reader, replay: usize) -> Self {
        Upload(Rc::new(RefCell::new(Source {
            reader,
            replay: ReplayBuffer::new(replay),
            attempt: 0,
            truncated: false,
        })))
    }

    /// Whether an attempt could send all of it.
    pub fn can_repeat(&self) -> bool {
        let source = self.0.borrow();
        source.replay.is_complete() && !source.truncated
    }

    /// Starts an attempt at the beginning of the body; `None` if the beginning is no longer held.
    pub fn attempt(&self) -> Option<Attempt> {
        let source = &mut *self.0.borrow_mut();
        source.attempt += 1;
        source.replay.is_complete().then(|| Attempt {
            upload: self.clone(),
            at: ReplayCursor::default(),
            number: source.attempt,
        })
    }
}

impl fmt::Debug for Upload {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Upload(can_repeat: {})", self.can_repeat())
    }
}

/// An attempt's read position in an upload.
pub struct Attempt {
    upload: Upload,
    at: ReplayCursor,
    number: u32,
}

impl Attempt {
    /// The next bytes, or the end.
    pub async fn next(&mut self) -> Result<Bytes, StreamEnd> {
        std::future::poll_fn(|cx| self.poll_next(cx)).await
    }

    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Result<Bytes, StreamEnd>> {
        let source = &mut *self.upload.0.borrow_mut();
        if source.attempt != self.number {
            return Poll::Ready(Err(StreamEnd::Truncated));
        }
        if let Some(bytes) = source.replay.next_chunk(&mut self.at) {
            return Poll::Ready(Ok(bytes));
        }
        // Prevents a deadlock: bytes retained for replay must not block the rest of the body.
        if source.reader.replay_blocks_writer() {
            source.replay.discard();
            source.reader.set_retained(0);
        }
        let next = source.reader.poll_next(cx);
        source.truncated |= matches!(next, Poll::Ready(Err(StreamEnd::Truncated)));
        if let Poll::Ready(Ok(bytes)) = &next {
            source.replay.push(bytes);
            source.reader.set_retained(source.replay.held());
            // This attempt has just received the chunk.
            self.at = source.replay.end();
        }
        next
    }
}

/// The body of a flow's request.
#[derive(Clone, Debug)]
pub enum Body {
    Buffered(Bytes),
    Stream(Upload),
}

impl Body {
    /// The buffered body; empty for a stream.
    pub fn whole(&self) -> Bytes {
        match self {
            Body::Buffered(bytes) => bytes.clone(),
            Body::Stream(_) => Bytes::new(),
        }
    }

    /// Bytes held by the flow itself. Bytes of streams count towards the stream budget instead.
    pub fn len(&self) -> usize {
        match self {
            Body::Buffered(bytes) => bytes.len(),
            Body::Stream(_) => 0,
        }
    }

    /// Whether an attempt could send all of it.
    pub fn can_repeat(&self) -> bool {
        match self {
            Body::Buffered(_) => true,
            Body::Stream(upload) => upload.can_repeat(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn poll<T>(mut poll_fn: impl FnMut(&mut Context<'_>) -> Poll<T>) -> Option<T> {
        match poll_fn(&mut Context::from_waker(Waker::noop())) {
            Poll::Ready(value) => Some(value),
            Poll::Pending => None,
        }
    }

    fn bytes(count: usize) -> Bytes {
        Bytes::from(vec![7; count])
    }

    #[test]
    fn a_stream_stays_within_its_share_and_returns_it() {
        let budgets = StreamBudget::new(1000, 100, 300);
        let (writer, reader) = budgets.stream().expect("room");
        assert_eq!(poll(|cx| writer.poll_room(cx)), Some(Some(300)));
        writer.push(bytes(300));
        assert_eq!((poll(|cx| writer.poll_room(cx)), budgets.held()), (None, (300, 1)));
        assert_eq!(poll(|cx| reader.poll_next(cx)), Some(Ok(bytes(300))));
        assert_eq!((poll(|cx| writer.poll_room(cx)), budgets.held()), (Some(Some(300)), (0, 1)));
        writer.push(bytes(10));
        drop(reader);
        assert_eq!((poll(|cx| writer.poll_room(cx)), budgets.held().0), (Some(None), 0));
        drop(writer);
        assert_eq!(budgets.held(), (0, 0));
    }

    #[test]
    fn dropping_the_writer_truncates_the_stream() {
        let budgets = StreamBudget::new(1000, 100, 300);
        let (writer, reader) = budgets.stream().expect("room");
        writer.push(bytes(1));
        drop(writer);
        assert_eq!(poll(|cx| reader.poll_next(cx)), Some(Ok(bytes(1))));
        assert_eq!(poll(|cx| reader.poll_next(cx)), Some(Err(StreamEnd::Truncated)));
        let (writer, reader) = budgets.stream().expect("room");
        writer.end(StreamEnd::Complete);
        drop(writer);
        assert_eq!(poll(|cx| reader.poll_next(cx)), Some(Err(StreamEnd::Complete)));
    }

    #[test]
    fn an_upload_can_be_replayed_while_its_beginning_is_held() {
        let budgets = StreamBudget::new(10_000, 100, 3000);
        let (writer, reader) = budgets.stream().expect("room");
        let upload = Upload::new(reader, 250);
        writer.push(bytes(100));
        let mut first = upload.attempt().expect("whole");
        assert_eq!(poll(|cx| first.poll_next(cx)), Some(Ok(bytes(100))));
        writer.push(bytes(101));
        assert_eq!(poll(|cx| first.poll_next(cx)), Some(Ok(bytes(101))));
        assert_eq!((budgets.held().0, poll(|cx| first.poll_next(cx))), (201, None));
        // The second attempt starts over, and the first one can read no further.
        let mut second = upload.attempt().expect("whole");
        assert_eq!(poll(|cx| first.poll_next(cx)), Some(Err(StreamEnd::Truncated)));
        assert_eq!(poll(|cx| second.poll_next(cx)), Some(Ok([bytes(100), bytes(101)].concat().into())));
        writer.push(bytes(50));
        assert_eq!(poll(|cx| second.poll_next(cx)), Some(Ok(bytes(50))));
        assert!(!upload.can_repeat() && upload.attempt().is_none());
        assert_eq!(budgets.held().0, 0);
    }

    /// Bytes retained for replay must not block the rest of the body.
    #[test]
    fn replay_bytes_are_discarded_when_the_writer_has_no_room() {
        let budgets = StreamBudget::new(400, 100, 150);
        let (writer, reader) = budgets.stream().expect("room");
        let upload = Upload::new(reader, 1000);
        let mut attempt = upload.attempt().expect("whole");
        for _ in 0..10 {
            let room = poll(|cx| writer.poll_room(cx)).flatten();
            let Some(room) = room else { panic!("no room, {:?} held", budgets.held()) };
            writer.push(bytes(room));
            assert_eq!(poll(|cx| attempt.poll_next(cx)), Some(Ok(bytes(room))));
            // This poll finds the writer without room and discards the replay buffer.
            assert_eq!(poll(|cx| attempt.poll_next(cx)), None);
            assert!(budgets.held().0 <= 150);
        }
        assert!(!upload.can_repeat());
    }
}
