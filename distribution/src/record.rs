//! Records, their partitions and ranges, and changes to them.

use serde::{Deserialize, Serialize};

/// The number of ranges per partition. Part of the protocol. A zone of 440 workers has ranges of about 1.2 KB, each
/// of which takes a quarter of a second of the byte budget, and the digests of all ranges of 25 zones fit into one
/// second of it.
pub const RANGES_PER_PARTITION: u8 = 16;
/// The maximum length of a zone or record name in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// The maximum length of a record value in bytes.
pub const MAX_VALUE_BYTES: usize = 1024;

/// A sum of hashes: equal sets of records have equal digests, and a change updates the digest in constant time. It
/// detects accidental differences, not forgery; messages are authenticated by the links between members.
pub type Digest = u64;

/// A group of records that is fetched and verified as a unit.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Partition {
    /// The configuration of all dispatchers.
    Configuration,
    /// The workers of a zone.
    Zone(String),
}

impl Partition {
    /// Whether the name is within the limits.
    pub fn is_valid(&self) -> bool {
        match self {
            Partition::Configuration => true,
            Partition::Zone(name) => name.len() <= MAX_NAME_BYTES,
        }
    }
}

/// A part of a partition: the records whose names hash to it.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Range {
    /// The partition.
    pub partition: Partition,
    /// The index of the range in its partition.
    pub index: u8,
}

impl Range {
    /// The range that contains a record.
    pub fn of(partition: &Partition, name: &str) -> Range {
        Range { partition: partition.clone(), index: range_index(name) }
    }

    /// All ranges of a partition.
    pub fn all(partition: &Partition) -> impl Iterator<Item = Range> + '_ {
        (0..RANGES_PER_PARTITION).map(|index| Range { partition: partition.clone(), index })
    }

    /// Whether all fields are within the limits.
    pub fn is_valid(&self) -> bool {
        self.partition.is_valid() && self.index < RANGES_PER_PARTITION
    }
}

/// A named value. Its meaning is defined by the publisher; [`crate::worker`] defines the encoding of workers.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Record {
    /// The name, unique in its partition.
    pub name: String,
    /// The value.
    pub value: Vec<u8>,
}

impl Record {
    /// Whether all fields are within the limits.
    pub fn is_valid(&self) -> bool {
        is_valid_name(&self.name) && self.value.len() <= MAX_VALUE_BYTES
    }
}

/// Sets or removes a record.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Change {
    /// The partition of the record.
    pub partition: Partition,
    /// The name of the record.
    pub name: String,
    /// The new value; `None` removes the record.
    pub value: Option<Vec<u8>>,
}

impl Change {
    /// Whether all fields are within the limits.
    pub fn is_valid(&self) -> bool {
        let fits = self.value.as_ref().is_none_or(|value| value.len() <= MAX_VALUE_BYTES);
        self.partition.is_valid() && is_valid_name(&self.name) && fits
    }

    /// The approximate encoded size in bytes, for budgets and limits.
    pub fn size(&self) -> usize {
        let partition = match &self.partition {
            Partition::Configuration => 1,
            Partition::Zone(name) => name.len() + 2,
        };
        partition + self.name.len() + self.value.as_ref().map_or(0, Vec::len) + CHANGE_OVERHEAD
    }
}

/// Lengths and tags of an encoded change.
const CHANGE_OVERHEAD: usize = 6;

fn is_valid_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_BYTES
}

/// The index of the range that contains a record.
pub(crate) fn range_index(name: &str) -> u8 {
    let hash = blake3::hash(name.as_bytes());
    hash.as_bytes()[0] % RANGES_PER_PARTITION
}

/// What one record adds to the digest of its range. Never zero, so that an empty range differs from any other.
pub(crate) fn record_digest(partition: &Partition, name: &str, value: &[u8]) -> Digest {
    let mut hasher = blake3::Hasher::new();
    match partition {
        Partition::Configuration => hasher.update(&[0]),
        Partition::Zone(zone) => {
            hasher.update(&[1]).update(&(zone.len() as u32).to_le_bytes()).update(zone.as_bytes())
        }
    };
    hasher.update(&(name.len() as u32).to_le_bytes());
    hasher.update(name.as_bytes());
    hasher.update(value);
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    Digest::from_le_bytes(first).max(1)
}
