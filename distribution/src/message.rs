//! Protocol messages and their encoding.
//!
//! A message consists of a header of six bytes (version, kind, request ID) and a `postcard` payload. The header and
//! the payload of [`Message::Unsupported`] are the same in all versions, so that programs of different versions can
//! exchange the versions they support. Within a version, a payload with trailing bytes is rejected.

use crate::history::NumberedChange;
use crate::position::Position;
use crate::record::{Digest, Partition, Range, Record, RANGES_PER_PARTITION};
use crate::Token;
use serde::{Deserialize, Serialize};

/// The protocol version that this program tries first.
pub const VERSION: u8 = 1;
/// The maximum size of a message in bytes.
pub const MAX_MESSAGE_BYTES: usize = 64 << 10;
/// The maximum number of ranges in one request.
pub const MAX_RANGES: usize = 16;
/// The size of the header in bytes.
const HEADER_BYTES: usize = 6;

const KIND_REPLY: u8 = 128;
const KIND_UNSUPPORTED: u8 = 255;

/// A range of supported protocol versions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Versions {
    /// The oldest supported version.
    pub lowest: u8,
    /// The newest supported version.
    pub highest: u8,
}

impl Default for Versions {
    fn default() -> Versions {
        Versions { lowest: VERSION, highest: VERSION }
    }
}

impl Versions {
    /// Whether a version is supported.
    pub fn contains(&self, version: u8) -> bool {
        (self.lowest..=self.highest).contains(&version)
    }

    /// The newest version supported by both sides.
    pub fn highest_common(&self, other: Versions) -> Option<u8> {
        let highest = self.highest.min(other.highest);
        (highest >= self.lowest.max(other.lowest)).then_some(highest)
    }
}

/// The query of a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Query {
    /// The changes after a position. Without a position, the current position and digests.
    Changes {
        /// The subscriber's position.
        after: Option<Position>,
    },
    /// The digests of all partitions.
    Partitions,
    /// The digests of a partition's ranges.
    RangeDigests {
        /// The partition.
        partition: Partition,
    },
    /// The records of some ranges.
    Contents {
        /// The ranges, by descending priority.
        ranges: Vec<Range>,
    },
}

impl Query {
    fn kind(&self) -> u8 {
        match self {
            Query::Changes { .. } => 1,
            Query::Partitions => 2,
            Query::RangeDigests { .. } => 3,
            Query::Contents { .. } => 4,
        }
    }

    fn is_valid(&self) -> bool {
        match self {
            Query::Changes { .. } | Query::Partitions => true,
            Query::RangeDigests { partition } => partition.is_valid(),
            Query::Contents { ranges } => ranges.len() <= MAX_RANGES && ranges.iter().all(Range::is_valid),
        }
    }
}

/// The role in which a process is queried; a process may have several.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Service {
    /// The source.
    Source,
    /// The relay of its zone.
    Relay,
}

/// A request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Request {
    /// The role in which the other process is queried.
    pub service: Service,
    /// The maximum size of the reply in bytes, as far as the reply can be divided.
    pub max_bytes: u32,
    /// The query.
    pub query: Query,
}

/// The digests of a replica's partitions.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartitionDigests {
    /// The replica's position.
    pub position: Position,
    /// Whether all partitions of the source are listed. A relay that is still synchronizing lists the partitions that
    /// it has verified.
    pub is_complete: bool,
    /// Digests by partition. If the list is complete, a partition that is not listed is empty.
    pub digests: Vec<(Partition, Digest)>,
}

/// The records of a range.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RangeContents {
    /// The range.
    pub range: Range,
    /// All records of the range.
    pub records: Vec<Record>,
    /// The digest of the records.
    pub digest: Digest,
}

/// The content of a reply.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ReplyBody {
    /// Changes after the requested position, in the same epoch.
    Changes {
        /// The sequence number that the subscriber reaches with these changes.
        to: u64,
        /// The sequence number of the replica; if it is greater than `to`, there are more changes.
        head: u64,
        /// The digest of the whole replica at the head, if the replica is complete.
        digest: Option<Digest>,
        /// Each record at most once, with its last change.
        changes: Vec<NumberedChange>,
    },
    /// The position belongs to another epoch or is older than the history; the digests show what differs.
    ResyncRequired(PartitionDigests),
    /// The requested digests.
    Partitions(PartitionDigests),
    /// The digests of a partition's ranges; `None` for ranges that are not yet verified.
    RangeDigests {
        /// The replica's position.
        position: Position,
        /// The partition.
        partition: Partition,
        /// One digest per range.
        digests: Vec<Option<Digest>>,
    },
    /// Those requested ranges that fit into the reply and that the replica has verified.
    Contents {
        /// The replica's position.
        position: Position,
        /// Complete ranges.
        ranges: Vec<RangeContents>,
    },
    /// The replica is older than the subscriber's.
    Lagging,
    /// The process does not hold the lease for this role, or has no replica yet.
    NotServing,
    /// The process has exhausted its byte budget.
    Busy {
        /// The earliest time for a retry.
        retry_after_ms: u32,
    },
}

impl ReplyBody {
    fn is_valid(&self) -> bool {
        match self {
            ReplyBody::Changes { to, head, changes, .. } => {
                to <= head && changes.iter().all(|numbered| numbered.change.is_valid())
            }
            ReplyBody::ResyncRequired(digests) | ReplyBody::Partitions(digests) => {
                digests.digests.iter().all(|(partition, _)| partition.is_valid())
            }
            ReplyBody::RangeDigests { partition, digests, .. } => {
                partition.is_valid() && digests.len() == usize::from(RANGES_PER_PARTITION)
            }
            ReplyBody::Contents { ranges, .. } => ranges
                .iter()
                .all(|contents| contents.range.is_valid() && contents.records.iter().all(Record::is_valid)),
            ReplyBody::Lagging | ReplyBody::NotServing | ReplyBody::Busy { .. } => true,
        }
    }
}

/// A reply, with the lease under which it is given.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Reply {
    /// The fencing token of the lease under which the reply is given.
    pub token: Token,
    /// The maximum age of the replica when the reply was made: the time since a request that the source answered.
    pub age_ms: u32,
    /// The content.
    pub body: ReplyBody,
}

/// Any message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Message {
    /// A request.
    Request(Request),
    /// A reply.
    Reply(Reply),
    /// The version or kind of the request is not supported; these versions are.
    Unsupported(Versions),
}

/// Why bytes could not be decoded as a message.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum DecodeError {
    /// Too short or too long.
    #[error("invalid message length: {0} bytes")]
    Length(usize),
    /// A version that this program does not support.
    #[error("unsupported protocol version {0}")]
    Version(u8),
    /// A kind that does not exist in this version.
    #[error("unknown message kind {0}")]
    Kind(u8),
    /// A malformed field, or a field outside its limits.
    #[error("malformed payload")]
    Payload,
}

/// Precedes the payload in all versions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Header {
    /// The version of the payload.
    pub version: u8,
    /// The kind of the message.
    pub kind: u8,
    /// The ID of the request, repeated by its reply.
    pub request_id: u32,
}

impl Header {
    /// Whether this is a request, of whatever version: replies use the upper half of the kinds.
    pub fn is_request(&self) -> bool {
        self.kind < KIND_REPLY
    }

    /// Decodes a header and returns it with the payload.
    ///
    /// # Errors
    /// There are too few or too many bytes.
    pub fn decode(bytes: &[u8]) -> Result<(Header, &[u8]), DecodeError> {
        let length = DecodeError::Length(bytes.len());
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(length);
        }
        let (header, payload) = bytes.split_at_checked(HEADER_BYTES).ok_or(length)?;
        let [version, kind, request_id @ ..] = header else { return Err(length) };
        let request_id = u32::from_le_bytes(request_id.try_into().map_err(|_| length)?);
        Ok((Header { version: *version, kind: *kind, request_id }, payload))
    }
}

impl Message {
    fn kind(&self) -> u8 {
        match self {
            Message::Request(request) => request.query.kind(),
            Message::Reply(_) => KIND_REPLY,
            Message::Unsupported(_) => KIND_UNSUPPORTED,
        }
    }

    /// Encodes the message.
    pub fn encode(&self, version: u8, request_id: u32) -> Vec<u8> {
        let mut bytes = vec![version, self.kind()];
        bytes.extend(request_id.to_le_bytes());
        let payload = match self {
            Message::Request(request) => postcard::to_stdvec(request),
            Message::Reply(reply) => postcard::to_stdvec(reply),
            Message::Unsupported(versions) => Ok(vec![versions.lowest, versions.highest]),
        };
        // Serialization can't fail: these types contain neither maps nor sequences of unknown length.
        bytes.extend(payload.unwrap_or_default());
        bytes
    }

    /// Decodes a message.
    ///
    /// # Errors
    /// The bytes are not a message, or not one of a supported version.
    pub fn decode(bytes: &[u8], versions: Versions) -> Result<(Header, Message), DecodeError> {
        let (header, payload) = Header::decode(bytes)?;
        if header.kind == KIND_UNSUPPORTED {
            let [lowest, highest, ..] = payload else { return Err(DecodeError::Payload) };
            return Ok((header, Message::Unsupported(Versions { lowest: *lowest, highest: *highest })));
        }
        if !versions.contains(header.version) {
            return Err(DecodeError::Version(header.version));
        }
        let message = match header.kind {
            1..=4 => Message::Request(decode_payload(payload)?),
            KIND_REPLY => Message::Reply(decode_payload(payload)?),
            kind => return Err(DecodeError::Kind(kind)),
        };
        let is_valid = match &message {
            Message::Request(request) => request.query.is_valid() && request.query.kind() == header.kind,
            Message::Reply(reply) => reply.body.is_valid(),
            Message::Unsupported(_) => true,
        };
        if is_valid {
            Ok((header, message))
        } else {
            Err(DecodeError::Payload)
        }
    }
}

/// Decodes a payload without trailing bytes.
fn decode_payload<'a, T: Deserialize<'a>>(payload: &'a [u8]) -> Result<T, DecodeError> {
    match postcard::take_from_bytes(payload) {
        Ok((value, [])) => Ok(value),
        _ => Err(DecodeError::Payload),
    }
}
