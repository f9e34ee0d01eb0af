//! Buffer of the beginning of an upload, which allows a retry to send it again.

use bytes::Bytes;

/// Size of the blocks that chunks are copied into. A chunk by itself takes a handle and keeps the whole buffer that it is a part of,
/// so that small ones would take many times their length.
const BLOCK_BYTES: usize = 4 << 10;

/// The beginning of a body, up to a limit. Once the body exceeds the limit, the whole buffer is discarded: part of the
/// beginning is of no use for a retry.
#[derive(Clone, Debug)]
pub struct ReplayBuffer {
    /// Blocks of [`BLOCK_BYTES`], the last one not full.
    blocks: Vec<Vec<u8>>,
    held: usize,
    limit: usize,
    /// Total bytes pushed.
    pushed: u64,
}

/// Read position in a [`ReplayBuffer`]: bytes from the beginning of the body.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplayCursor(usize);

impl ReplayBuffer {
    /// Creates a buffer of up to `limit` bytes.
    pub fn new(limit: usize) -> ReplayBuffer {
        ReplayBuffer { blocks: Vec::new(), held: 0, limit, pushed: 0 }
    }

    /// Adds a chunk. Returns by how many bytes the buffer grew or, if negative, shrank.
    pub fn push(&mut self, chunk: &Bytes) -> isize {
        let (complete, before) = (self.is_complete(), self.held);
        self.pushed += chunk.len() as u64;
        if complete && self.held + chunk.len() <= self.limit {
            self.append(chunk);
        } else {
            (self.blocks, self.held) = (Vec::new(), 0);
        }
        self.held as isize - before as isize
    }

    /// Copies bytes to the end of the last block and into further ones.
    fn append(&mut self, mut bytes: &[u8]) {
        self.held += bytes.len();
        while !bytes.is_empty() {
            if self.blocks.last().is_none_or(|block| block.len() == BLOCK_BYTES) {
                self.blocks.push(Vec::new());
            }
            let Some(block) = self.blocks.last_mut() else { return };
            let (now, later) = bytes.split_at(bytes.len().min(BLOCK_BYTES - block.len()));
            block.extend_from_slice(now);
            bytes = later;
        }
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
        self.blocks = Vec::new();
        self.limit = 0;
        std::mem::take(&mut self.held)
    }

    /// The next buffered bytes, a block at most; `None` at the end of the buffer, where the body continues with newly received data.
    pub fn next_chunk(&self, cursor: &mut ReplayCursor) -> Option<Bytes> {
        let rest = self.blocks.get(cursor.0 / BLOCK_BYTES)?.get(cursor.0 % BLOCK_BYTES..)?;
        cursor.0 += rest.len();
        (!rest.is_empty()).then(|| Bytes::copy_from_slice(rest))
    }

    /// The position behind everything that the buffer holds.
    pub fn end(&self) -> ReplayCursor {
        ReplayCursor(self.held)
    }
}
