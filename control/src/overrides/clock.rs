//! A hybrid logical clock: wall time where that moves on, a count where it does not.

use super::record::Name;
use crate::Millis;
use std::fmt;

/// When and where something was written. No two writes have the same; the order is the same everywhere.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Stamp {
    /// Wall time of the writer, or of what it had seen before if that was later.
    pub wall: Millis,
    /// Tells writes at the same `wall` apart.
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
    /// Reads an id back; `None` where it is none.
    pub fn parse(id: &str) -> Option<Stamp> {
        let (origin, time) = id.rsplit_once('-')?;
        let (wall, count) = time.split_once('.')?;
        let wall = Millis::from_str_radix(wall, 16).ok()?;
        let stamp = Stamp { wall, count: count.parse().ok()?, origin: origin.into() };
        // Guards against second spellings of one id (+1, capitals, leading zeros).
        (!origin.is_empty() && stamp.to_string() == id).then_some(stamp)
    }
}

/// Gives stamps that only grow, on this dispatcher and after whatever it has seen of others.
#[derive(Clone, Debug)]
pub struct Clock {
    origin: Name,
    last: (Millis, u16),
}

impl Clock {
    /// A clock of the dispatcher of that name.
    pub fn new(origin: Name) -> Clock {
        Clock { origin, last: (0, 0) }
    }

    /// The dispatcher whose clock this is.
    pub fn origin(&self) -> &Name {
        &self.origin
    }

    /// A stamp later than all given and seen before.
    pub fn next(&mut self, now: Millis) -> Stamp {
        self.last = match self.last {
            (wall, _) if now > wall => (now, 0),
            (wall, u16::MAX) => (wall + 1, 0),
            (wall, count) => (wall, count + 1),
        };
        Stamp { wall: self.last.0, count: self.last.1, origin: self.origin.clone() }
    }

    /// Takes note of a stamp from elsewhere.
    pub fn seen(&mut self, stamp: &Stamp) {
        self.last = self.last.max((stamp.wall, stamp.count));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn stamps_grow_whatever_the_wall_clock_does() {
        let mut clock = Clock::new("n1".into());
        let mut last = clock.next(1000);
        clock.seen(&Stamp { wall: 1400, count: u16::MAX, origin: "n2".into() });
        for now in [1000, 900, 1500, 1500, 1200] {
            let next = clock.next(now);
            assert!(next > last, "{next} after {last}");
            last = next;
        }
    }

    #[test]
    fn an_id_is_read_back_and_has_one_spelling() {
        let stamp = Stamp { wall: 0x19ad, count: 7, origin: "gh-n1".into() };
        assert_eq!(stamp.to_string(), "gh-n1-19ad.7");
        assert_eq!(Stamp::parse("gh-n1-19ad.7"), Some(stamp));
        for id in ["", "n1", "n1-", "n1-xyz.1", "n1-19AD.7", "n1-019ad.7", "n1-19ad.+7", "-1.1", "n1-1.70000"]
        {
            assert_eq!(Stamp::parse(id), None, "{id}");
        }
    }
}
