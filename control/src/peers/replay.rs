//! Replay detection for the datagrams of a session.

/// Remembers the last 64 sequence numbers. Older ones count as already received.
#[derive(Clone, Copy, Debug, Default)]
pub struct Window {
    highest: u32,
    /// Bit i: `highest - i` has been received.
    seen: u64,
}

impl Window {
    /// Records a number; false if it was received before, or is too old to tell.
    pub fn take(&mut self, number: u32) -> bool {
        if number > self.highest {
            let ahead = number - self.highest;
            self.seen = if ahead < 64 { self.seen << ahead | 1 } else { 1 };
            self.highest = number;
            return true;
        }
        let behind = self.highest - number;
        let bit = if behind < 64 { 1 << behind } else { return false };
        let fresh = self.seen & bit == 0 && number > 0;
        self.seen |= bit;
        fresh
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_number_is_taken_once_in_any_order() {
        let mut window = Window::default();
        for number in [1, 3, 2, 70, 10, 69, 200] {
            assert!(window.take(number), "{number}");
        }
        for number in [0, 1, 3, 2, 70, 10, 69, 200, 136] {
            assert!(!window.take(number), "{number}");
        }
        assert!(window.take(137));
    }
}
