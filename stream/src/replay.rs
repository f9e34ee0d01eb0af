//! What was sent of a body, kept as long as it is little: so much of an upload may be sent again.

use bytes::Bytes;

/// The beginning of a body, up to a limit. Once more than that has passed, all of it is let go: a part of a
/// beginning is of no use.
#[derive(Clone, Debug)]
pub struct ReplayBuffer {
    chunks: Vec<Bytes>,
    held: usize,
    limit: usize,
    /// Bytes that have passed in all.
    passed: u64,
}

/// Reads again what is held.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplayCursor(usize);

impl ReplayBuffer {
    /// Holds up to `limit` bytes.
    pub fn new(limit: usize) -> ReplayBuffer {
        ReplayBuffer { chunks: Vec::new(), held: 0, limit, passed: 0 }
    }

    /// A chunk passes. How many bytes are held more (or, negative, fewer) after it.
    pub fn push(&mut self, chunk: &Bytes) -> isize {
        let (whole, before) = (self.is_complete(), self.held);
        self.passed += chunk.len() as u64;
        if whole && self.held + chunk.len() <= self.limit {
            self.held += chunk.len();
            if !chunk.is_empty() {
                self.chunks.push(chunk.clone());
            }
        } else {
            (self.chunks, self.held) = (Vec::new(), 0);
        }
        self.held as isize - before as isize
    }

    /// Whether everything that has passed is held: it may be sent again from its beginning.
    pub fn is_complete(&self) -> bool {
        self.held as u64 == self.passed
    }

    /// Bytes held.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Lets go of what is held: no repeat will be made. How many bytes that were.
    pub fn discard(&mut self) -> usize {
        self.chunks = Vec::new();
        self.limit = 0;
        std::mem::take(&mut self.held)
    }

    /// The next chunk of what is held; `None` at its end, where the body goes on as it comes.
    pub fn next_chunk(&self, at: &mut ReplayCursor) -> Option<Bytes> {
        let chunk = self.chunks.get(at.0).cloned();
        at.0 += usize::from(chunk.is_some());
        chunk
    }
}
