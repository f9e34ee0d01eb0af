//! Memory budget shared by all streamed bodies.
//!
//! Half of the budget is reserved for the floors: every admitted stream may always buffer a small amount, so it makes
//! progress whatever the other streams do. The other half is a pool for streams that need more, each up to an equal
//! part of the total. A stream that exceeds its part because more streams have been opened gets no more memory until
//! it has drained below its part. Data is never discarded: what does not fit stays in the socket.

/// Memory budget of all streams together.
#[derive(Clone, Debug)]
pub struct Budget {
    total: usize,
    floor: usize,
    ceiling: usize,
    open: usize,
    held: usize,
    /// Bytes held beyond the floors.
    pooled: usize,
}

/// One stream's share of a budget. Must be returned with [`Budget::close`].
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a dropped share is never returned to its budget"]
pub struct Share {
    held: usize,
}

impl Share {
    /// Bytes that the stream holds.
    pub fn held(&self) -> usize {
        self.held
    }
}

impl Budget {
    /// Creates a budget of `total` bytes. Each stream may always hold `floor` bytes and never more than `ceiling`.
    /// Both are clamped to what the total allows.
    pub fn new(total: usize, floor: usize, ceiling: usize) -> Budget {
        let floor = floor.clamp(1, (total / 2).max(1));
        let ceiling = ceiling.clamp(floor, total.max(floor));
        Budget { total, floor, ceiling, open: 0, held: 0, pooled: 0 }
    }

    /// The maximum number of streams open at the same time.
    pub fn max_streams(&self) -> usize {
        self.total / 2 / self.floor
    }

    /// The number of open streams.
    pub fn open_streams(&self) -> usize {
        self.open
    }

    /// Bytes held by all streams.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Opens a stream. Returns `None` if no floor is left for it.
    pub fn open(&mut self) -> Option<Share> {
        (self.open < self.max_streams()).then(|| {
            self.open += 1;
            Share { held: 0 }
        })
    }

    /// The number of additional bytes that a stream may buffer now.
    pub fn available(&self, share: &Share) -> usize {
        let equal_part = self.total / self.open.max(1);
        let window = equal_part.clamp(self.floor, self.ceiling);
        let (below, above) = (self.floor.saturating_sub(share.held), share.held.max(self.floor));
        let pool = (self.total - self.total / 2).saturating_sub(self.pooled);
        below + window.saturating_sub(above).min(pool)
    }

    /// Records that a stream has buffered bytes. Bytes beyond [`Budget::available`] are counted as well, and nothing
    /// more is available to the stream until it has released them.
    pub fn acquire(&mut self, share: &mut Share, bytes: usize) {
        self.set_held(share, share.held + bytes);
    }

    /// Records that a stream has forwarded or discarded bytes.
    pub fn release(&mut self, share: &mut Share, bytes: usize) {
        self.set_held(share, share.held.saturating_sub(bytes));
    }

    fn set_held(&mut self, share: &mut Share, held: usize) {
        let beyond_floor = |held: usize| held.saturating_sub(self.floor);
        self.pooled = self.pooled + beyond_floor(held) - beyond_floor(share.held);
        self.held = self.held + held - share.held;
        share.held = held;
    }

    /// Closes a stream and releases everything that it held.
    pub fn close(&mut self, mut share: Share) {
        self.set_held(&mut share, 0);
        self.open -= 1;
    }
}
