//! Buffer of the beginning of an upload, which allows a retry to send it again.

use bytes::Bytes;

/// The beginning of a body, up to a limit. Once the body exceeds the limit, the whole buffer is discarded: part of the
/// beginning is of no use for a retry.
#[derive(Clone, Debug)]
pub struct ReplayBuffer {
    chunks: Vec<Bytes>,
    held: usize,
    limit: usize,
    /// Total bytes pushed.
    pushed: u64,
}

/// Read position in a [`ReplayBuffer`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplayCursor(usize);

impl ReplayBuffer {
    /// Creates a buffer of up to `limit` bytes.
    pub fn new(limit: usize) -> ReplayBuffer {
        ReplayBuffer { chunks: Vec::new(), held: 0, limit, pushed: 0 }
    }

    /// Adds a chunk. Returns by how many bytes the buffer grew or, if negative, shrank.
    pub fn push(&mut self, chunk: &Bytes) -> isize {
        let (complete, before) = (self.is_complete(), self.held);
        self.pushed += chunk.len() as u64;
        if complete && self.held + chunk.len() <= self.limit {
            self.held += chunk.len();
            if !chunk.is_empty() {
                self.chunks.push(chunk.clone());
            }
        } else {
            (self.chunks, self.held) = (Vec::new(), 0);
        }
        self.held as isize - before as isize
    }

    /// Whether the buffer holds every byte pushed, so that the body can be sent again from its beginning.
    pub fn is_complete(&self) -> bool {
        self.held as u64 == self.pushed
    }

    /// Bytes held.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Discards the contents, after which no retry is possible. Returns the number of bytes discarded.
    pub fn discard(&mut self) -> usize {
        self.chunks = Vec::new();
        self.limit = 0;
        std::mem::take(&mut self.held)
    }

    /// The next buffered chunk; `None` at the end of the buffer, where the body continues with newly received data.
    pub fn next_chunk(&self, cursor: &mut ReplayCursor) -> Option<Bytes> {
        let chunk = self.chunks.get(cursor.0).cloned();
        cursor.0 += usize::from(chunk.is_some());
        chunk
    }
}
