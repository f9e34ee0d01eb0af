//! Memory that bodies in passage share.
//!
//! Half of it is for floors: every stream that was let in may always hold a little, so it gets on whatever the
//! others do. The other half is a pool that those use who have more to hold, each up to an even part of the
//! whole. A stream over its part, because others have come, gets no more until it has drained below it.
//! Nothing is ever thrown away: what has no room stays in the socket.

/// What all streams together may hold.
#[derive(Clone, Debug)]
pub struct Budget {
    total: usize,
    floor: usize,
    ceiling: usize,
    open: usize,
    held: usize,
    /// What is held beyond floors.
    pooled: usize,
}

/// One stream's part in a budget. To be given back by [`Budget::close`].
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a share that is dropped is never given back"]
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
    /// A budget of `total` bytes. `floor` is what each stream may always hold, `ceiling` the most that one may.
    /// Both are cut to what the total allows.
    pub fn new(total: usize, floor: usize, ceiling: usize) -> Budget {
        let floor = floor.clamp(1, (total / 2).max(1));
        let ceiling = ceiling.clamp(floor, total.max(floor));
        Budget { total, floor, ceiling, open: 0, held: 0, pooled: 0 }
    }

    /// Streams that may be open at a time.
    pub fn max_streams(&self) -> usize {
        self.total / 2 / self.floor
    }

    /// Streams that are open.
    pub fn open_streams(&self) -> usize {
        self.open
    }

    /// Bytes held by all.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Lets a stream in; `None` if there is no floor left for it.
    pub fn open(&mut self) -> Option<Share> {
        (self.open < self.max_streams()).then(|| {
            self.open += 1;
            Share { held: 0 }
        })
    }

    /// How many bytes more a stream may take in at present.
    pub fn available(&self, share: &Share) -> usize {
        let even = self.total / self.open.max(1);
        let window = even.clamp(self.floor, self.ceiling);
        let (below, above) = (self.floor.saturating_sub(share.held), share.held.max(self.floor));
        let pool = (self.total - self.total / 2).saturating_sub(self.pooled);
        below + window.saturating_sub(above).min(pool)
    }

    /// A stream has taken bytes in. More than there was room for counts all the same, and is paid back first.
    pub fn acquire(&mut self, share: &mut Share, bytes: usize) {
        self.change(share, share.held + bytes);
    }

    /// A stream has passed bytes on, or no longer needs them.
    pub fn release(&mut self, share: &mut Share, bytes: usize) {
        self.change(share, share.held.saturating_sub(bytes));
    }

    fn change(&mut self, share: &mut Share, held: usize) {
        let beyond = |held: usize| held.saturating_sub(self.floor);
        self.pooled = self.pooled + beyond(held) - beyond(share.held);
        self.held = self.held + held - share.held;
        share.held = held;
    }

    /// A stream is over, with all that it held.
    pub fn close(&mut self, mut share: Share) {
        self.change(&mut share, 0);
        self.open -= 1;
    }
}
