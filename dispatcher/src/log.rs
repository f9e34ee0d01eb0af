//! The one way to the log: lines on standard error, so many a second at most.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Lines a second. A dead network makes every request fail: the log must not take the core then.
const LINES_PER_SECOND: u32 = 50;

thread_local! {
    static SECOND: Cell<(Option<Instant>, u32)> = const { Cell::new((None, 0)) };
}

/// Whether a line may be written now; and how many were left out in the second that has just ended.
pub fn admit(now: Instant) -> (bool, u32) {
    let (began, count) = SECOND.get();
    if began.is_none_or(|b| now.duration_since(b) >= Duration::from_secs(1)) {
        SECOND.set((Some(now), 1));
        return (true, count.saturating_sub(LINES_PER_SECOND));
    }
    SECOND.set((began, count.saturating_add(1)));
    (count < LINES_PER_SECOND, 0)
}

/// Writes a line to the log, unless there were too many this second.
macro_rules! log {
    ($($part:tt)*) => {{
        let (admitted, left_out) = $crate::log::admit(std::time::Instant::now());
        if left_out > 0 {
            eprintln!("lineroute: {left_out} lines left out");
        }
        if admitted {
            eprintln!("lineroute: {}", format_args!($($part)*));
        }
    }};
}
pub(crate) use log;

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_flood_is_cut_and_counted() {
        let start = Instant::now();
        let written = (0..200).filter(|_| admit(start).0).count();
        assert_eq!(written, LINES_PER_SECOND as usize);
        assert_eq!(admit(start + Duration::from_secs(1)), (true, 200 - LINES_PER_SECOND));
    }
}
