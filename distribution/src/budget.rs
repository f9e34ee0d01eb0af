//! A token bucket of bytes.

use crate::Time;
use std::time::Duration;

/// Bytes that may be spent, refilled at a constant rate up to a capacity. The budget may become negative, since the
/// size of a reply is not known before it arrives; nothing is available until the debt is refilled.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    bytes_per_second: u32,
    capacity: i64,
    /// In millionths of a byte, so that short intervals are not lost to rounding.
    micro_bytes: i64,
    refilled_at: Time,
}

const MICRO: i64 = 1_000_000;

impl ByteBudget {
    /// Creates a full budget.
    pub fn new(bytes_per_second: u32, capacity: u32, now: Time) -> ByteBudget {
        let capacity = i64::from(capacity) * MICRO;
        ByteBudget {
            bytes_per_second: bytes_per_second.max(1),
            capacity,
            micro_bytes: capacity,
            refilled_at: now,
        }
    }

    /// Bytes that may be spent now; zero while the budget is negative.
    pub fn available(&mut self, now: Time) -> u32 {
        self.refill(now);
        u32::try_from(self.micro_bytes / MICRO).unwrap_or(0)
    }

    /// Spends bytes, even if the budget becomes negative. The debt is bounded by the maximum message size.
    pub fn spend(&mut self, bytes: usize, now: Time) {
        self.refill(now);
        let spent = i64::try_from(bytes).unwrap_or(i64::MAX / MICRO).saturating_mul(MICRO);
        self.micro_bytes = self.micro_bytes.saturating_sub(spent).max(i64::MIN / 2);
    }

    /// The time until this many bytes, or the whole capacity if that is less, may be spent.
    pub fn time_until_available(&mut self, bytes: u32, now: Time) -> Duration {
        self.refill(now);
        let target = (i64::from(bytes) * MICRO).min(self.capacity);
        let shortfall = (target - self.micro_bytes).max(0) as u64;
        Duration::from_micros(shortfall.div_ceil(u64::from(self.bytes_per_second)))
    }

    fn refill(&mut self, now: Time) {
        let span = now.saturating_sub(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        let micros = i64::try_from(span.as_micros()).unwrap_or(i64::MAX);
        let refilled = micros.saturating_mul(i64::from(self.bytes_per_second));
        self.micro_bytes = self.micro_bytes.saturating_add(refilled).min(self.capacity);
    }
}
