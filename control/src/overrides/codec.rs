//! Binary encoding of a record. It is the same on every dispatcher, so that digests can be compared.
//!
//! `scope` u8 (0 weight, 1 out of service, 2 pinned class, 3 pinned class and tenant; +128: cleared), `wall`
//! u48, `count` u16, `until` u48, then for a set weight its thousandths as u32, then strings, each one byte
//! of length and UTF-8: origin, worker, class and tenant (as the scope requires), by, why. Big endian.

use super::clock::Stamp;
use super::record::{Effect, Name, Record, Scope, Slot, Weight, MAX_NAME_LEN};
use crate::Millis;
use thiserror::Error;

/// Maximum size of an encoded record: the payload of a datagram.
pub const MAX_RECORD: usize = crate::peers::MAX_PAYLOAD;
const CLEARED: u8 = 128;
const MAX_TIME: Millis = (1 << 48) - 1;

/// The bytes are not a valid record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("not a record: {0}")]
pub struct Malformed(pub &'static str);

/// Encodes a record. An encoding longer than [`MAX_RECORD`] cannot be sent; the writer of a record checks the
/// size.
pub fn encode(record: &Record) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(96);
    let scope = match &record.slot.scope {
        Scope::Weight => 0,
        Scope::OutOfService => 1,
        Scope::Pinned { tenant: None, .. } => 2,
        Scope::Pinned { tenant: Some(_), .. } => 3,
    };
    bytes.push(scope | if record.effect == Effect::Clear { CLEARED } else { 0 });
    bytes.extend_from_slice(&record.stamp.wall.min(MAX_TIME).to_be_bytes()[2..]);
    bytes.extend_from_slice(&record.stamp.count.to_be_bytes());
    bytes.extend_from_slice(&record.until.min(MAX_TIME).to_be_bytes()[2..]);
    if let Effect::Set(Some(weight)) = record.effect {
        bytes.extend_from_slice(&weight.thousandths().to_be_bytes());
    }
    let (class, tenant) = match &record.slot.scope {
        Scope::Pinned { class, tenant } => (Some(class), tenant.as_ref()),
        _ => (None, None),
    };
    let texts = [Some(&record.stamp.origin), Some(&record.slot.worker), class, tenant];
    for text in texts.into_iter().flatten().chain([&record.by, &record.why]) {
        // A longer string is truncated here and then rejected by `MAX_RECORD`; `Table` writes none that long.
        let length = text.len().min(255);
        bytes.push(length as u8);
        bytes.extend_from_slice(&text.as_bytes()[..length]);
    }
    bytes
}

/// Decodes a record. Only the canonical encoding is accepted.
pub fn decode(bytes: &[u8]) -> Result<Record, Malformed> {
    if bytes.len() > MAX_RECORD {
        return Err(Malformed("too long"));
    }
    let mut rest = Reader(bytes);
    let head = rest.number(1)? as u8;
    let (cleared, scope) = (head & CLEARED != 0, head & !CLEARED);
    let (wall, count, until) = (rest.number(6)?, rest.number(2)? as u16, rest.number(6)?);
    let effect = match (cleared, scope) {
        (true, _) => Effect::Clear,
        (false, 0) => {
            let weight = Weight::from_thousandths(rest.number(4)? as u32);
            Effect::Set(Some(weight.ok_or(Malformed("weight"))?))
        }
        (false, _) => Effect::Set(None),
    };
    let (origin, worker) = (rest.name("origin")?, rest.name("worker")?);
    let scope = match scope {
        0 => Scope::Weight,
        1 => Scope::OutOfService,
        2 => Scope::Pinned { class: rest.name("class")?, tenant: None },
        3 => Scope::Pinned { class: rest.name("class")?, tenant: Some(rest.name("tenant")?) },
        _ => return Err(Malformed("scope")),
    };
    let (by, why) = (rest.name("by")?, rest.text("why")?);
    if !rest.0.is_empty() {
        return Err(Malformed("trailing bytes"));
    }
    let (stamp, slot) = (Stamp { wall, count, origin }, Slot { worker, scope });
    Ok(Record { stamp, slot, effect, until, by, why })
}

struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    fn bytes(&mut self, count: usize) -> Result<&'a [u8], Malformed> {
        let (taken, rest) = self.0.split_at_checked(count).ok_or(Malformed("truncated"))?;
        self.0 = rest;
        Ok(taken)
    }

    fn number(&mut self, bytes: usize) -> Result<u64, Malformed> {
        Ok(self.bytes(bytes)?.iter().fold(0, |n, b| n << 8 | u64::from(*b)))
    }

    fn text(&mut self, field: &'static str) -> Result<Name, Malformed> {
        let length = self.number(1)? as usize;
        let text = std::str::from_utf8(self.bytes(length)?).map_err(|_| Malformed(field))?;
        // Control characters could corrupt logs and the terminals of their readers.
        match text.chars().any(char::is_control) {
            true => Err(Malformed(field)),
            false => Ok(text.into()),
        }
    }

    fn name(&mut self, field: &'static str) -> Result<Name, Malformed> {
        let name = self.text(field)?;
        match (1..=MAX_NAME_LEN).contains(&name.len()) {
            true => Ok(name),
            false => Err(Malformed(field)),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn records() -> Vec<Record> {
        let pin =
            |tenant: Option<&str>| Scope::Pinned { class: "chart".into(), tenant: tenant.map(Into::into) };
        let sets = [Scope::Weight, Scope::OutOfService, pin(None), pin(Some("acme"))];
        let of = |scope: Scope, cleared| Record {
            stamp: Stamp { wall: 1_764_600_000_000, count: 3, origin: "n1".into() },
            effect: match scope {
                _ if cleared => Effect::Clear,
                Scope::Weight => Effect::Set(Weight::new(0.25)),
                _ => Effect::Set(None),
            },
            slot: Slot { worker: "s-5be2a07c".into(), scope },
            until: 1_764_650_000_000,
            by: "ama".into(),
            why: "fan noise – ticket 12".into(),
        };
        sets.into_iter().flat_map(|s| [of(s.clone(), false), of(s, true)]).collect()
    }

    #[test]
    fn every_kind_round_trips_and_other_lengths_are_rejected() {
        for record in records() {
            let bytes = encode(&record);
            assert_eq!(decode(&bytes), Ok(record));
            for cut in 0..bytes.len() {
                assert!(decode(&bytes[..cut]).is_err(), "cut at {cut}");
            }
            let longer = [&bytes[..], &[0]].concat();
            assert_eq!(decode(&longer), Err(Malformed("trailing bytes")));
        }
    }

    #[test]
    fn out_of_range_values_and_control_characters_are_rejected() {
        let mut record = records().remove(0);
        let mut bytes = encode(&record);
        bytes[15..19].copy_from_slice(&9u32.to_be_bytes());
        assert_eq!(decode(&bytes), Err(Malformed("weight")));
        bytes[0] = 7;
        assert!(decode(&bytes).is_err());
        record.by = "a\nb".into();
        assert_eq!(decode(&encode(&record)), Err(Malformed("by")));
        record.by = "".into();
        assert_eq!(decode(&encode(&record)), Err(Malformed("by")));
    }
}
