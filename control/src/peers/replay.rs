//! Replay detection for the datagrams of a session.

/// Remembers the last 64 sequence numbers. Older ones count as already received.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplayWindow {
    highest: u32,
    /// Bit i: `highest - i` has been received.
    received: u64,
}

impl ReplayWindow {
    /// Records a number; false if it was received before, or is too old to tell.
    pub fn accept(&mut self, number: u32) -> bool {
        if number > self.highest {
            let ahead = number - self.highest;
            self.received = if ahead < 64 { self.received << ahead | 1 } else { 1 };
            self.highest = number;
            return true;
        }
        let behind = self.highest - number;
        let bit = if behind < 64 { 1 << behind } else { return false };
        let is_new = self.received & bit == 0 && number > 0;
        self.received |= bit;
        is_new
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_number_is_accepted_once_in_any_order() {
        let mut window = ReplayWindow::default();
        for number in [1, 3, 2, 70, 10, 69, 200] {
            assert!(window.accept(number), "{number}");
        }
        for number in [0, 1, 3, 2, 70, 10, 69, 200, 136] {
            assert!(!window.accept(number), "{number}");
        }
        assert!(window.accept(137));
    }
}
