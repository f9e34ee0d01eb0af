//! Hybrid logical clock: wall-clock time, plus a counter while the wall clock does not advance.

use super::record::Name;
use crate::Millis;
use std::fmt;

/// Timestamp of a write. A clock issues no timestamp twice, and the order of timestamps is the same on every
/// dispatcher.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Stamp {
    /// Wall-clock time of the writer, or the latest it had observed if that was later.
    pub wall: Millis,
    /// Distinguishes writes with the same `wall`.
    pub count: u16,
    /// The dispatcher that wrote.
    pub origin: Name,
}

impl fmt::Display for Stamp {
    /// The id of an override: `ORIGIN-WALL.COUNT`, the wall time in hexadecimal.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:x}.{}", self.origin, self.wall, self.count)
    }
}

impl Stamp {
    /// Parses an id; `None` if it is malformed.
    pub fn parse(id: &str) -> Option<Stamp> {
        let (origin, time) = id.rsplit_once('-')?;
        let (wall, count) = time.split_once('.')?;
        let wall = Millis::from_str_radix(wall, 16).ok()?;
        let stamp = Stamp { wall, count: count.parse().ok()?, origin: origin.into() };
        // Rejects alternative spellings of an id (`+1`, capitals, leading zeros).
        (!origin.is_empty() && stamp.to_string() == id).then_some(stamp)
    }
}

/// Issues strictly increasing stamps, later than every stamp observed from other dispatchers.
#[derive(Clone, Debug)]
pub struct Clock {
    origin: Name,
    last: (Millis, u16),
}

impl Clock {
    /// Creates the clock of the dispatcher named `origin`.
    pub fn new(origin: Name) -> Clock {
        Clock { origin, last: (0, 0) }
    }

    /// Name of the dispatcher that owns this clock.
    pub fn origin(&self) -> &Name {
        &self.origin
    }

    /// Issues a stamp later than all that were issued or observed before.
    pub fn next(&mut self, now: Millis) -> Stamp {
        self.last = match self.last {
            (wall, _) if now > wall => (now, 0),
            (wall, u16::MAX) => (wall + 1, 0),
            (wall, count) => (wall, count + 1),
        };
        Stamp { wall: self.last.0, count: self.last.1, origin: self.origin.clone() }
    }

    /// Observes a stamp of another dispatcher.
    pub fn observe(&mut self, stamp: &Stamp) {
        self.last = self.last.max((stamp.wall, stamp.count));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn stamps_increase_whatever_the_wall_clock_does() {
        let mut clock = Clock::new("n1".into());
        let mut last = clock.next(1000);
        clock.observe(&Stamp { wall: 1400, count: u16::MAX, origin: "n2".into() });
        for now in [1000, 900, 1500, 1500, 1200] {
            let next = clock.next(now);
            assert!(next > last, "{next} after {last}");
            last = next;
        }
    }

    #[test]
    fn an_id_round_trips_and_has_one_spelling() {
        let stamp = Stamp { wall: 0x19ad, count: 7, origin: "gh-n1".into() };
        assert_eq!(stamp.to_string(), "gh-n1-19ad.7");
        assert_eq!(Stamp::parse("gh-n1-19ad.7"), Some(stamp));
        for id in ["", "n1", "n1-", "n1-xyz.1", "n1-19AD.7", "n1-019ad.7", "n1-19ad.+7", "-1.1", "n1-1.70000"]
        {
            assert_eq!(Stamp::parse(id), None, "{id}");
        }
    }
}
