//! The chunks that a stream holds, in memory that is in proportion to their length.

use bytes::{Bytes, BytesMut};
use std::collections::VecDeque;

/// Chunks below this size are copied into blocks of it. A chunk by itself takes a handle, and keeps the whole buffer that it is a part
/// of, so that small ones would take many times their length.
const BLOCK_BYTES: usize = 4 << 10;

/// Chunks in their order, small ones put together.
#[derive(Default)]
pub(super) struct ChunkQueue {
    chunks: VecDeque<Bytes>,
    /// Small chunks that came last, in a block that is not full.
    block: BytesMut,
    length: usize,
}

impl ChunkQueue {
    /// Bytes in all chunks.
    pub(super) fn len(&self) -> usize {
        self.length
    }

    /// Whether it holds nothing.
    pub(super) fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Removes all chunks.
    pub(super) fn clear(&mut self) {
        *self = ChunkQueue::default();
    }

    /// Appends a chunk.
    pub(super) fn push(&mut self, chunk: Bytes) {
        self.length += chunk.len();
        if chunk.len() >= BLOCK_BYTES {
            self.end_block();
            self.chunks.push_back(chunk);
            return;
        }
        let mut rest = &chunk[..];
        while !rest.is_empty() {
            if self.block.len() == self.block.capacity() {
                self.end_block();
                self.block = BytesMut::with_capacity(BLOCK_BYTES);
            }
            let (now, later) = rest.split_at(rest.len().min(self.block.capacity() - self.block.len()));
            self.block.extend_from_slice(now);
            rest = later;
        }
    }

    /// Ends the current block; the rest of its buffer serves the next one.
    fn end_block(&mut self) {
        if !self.block.is_empty() {
            self.chunks.push_back(self.block.split().freeze());
        }
    }

    /// Removes the first chunk, or what there is of a block.
    pub(super) fn pop(&mut self) -> Option<Bytes> {
        if self.chunks.is_empty() {
            self.end_block();
        }
        let chunk = self.chunks.pop_front()?;
        self.length -= chunk.len();
        Some(chunk)
    }
}

#[cfg(test)]
mod tests;
