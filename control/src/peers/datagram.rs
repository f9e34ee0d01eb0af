//! Datagrams between dispatchers. Big endian:
//!
//! | bytes | content |
//! | --- | --- |
//! | 0 | `L` |
//! | 1 | 1, the version |
//! | 2 | kind of the payload |
//! | 3–10 | session: random, chosen when the sender starts |
//! | 11–18 | echo: the last token that the receiver demanded from the sender; 0 if none is known |
//! | 19–26 | demand: the token that the receiver has to echo |
//! | 27–30 | number: from 1, incremented with each datagram of the session to this receiver |
//! | 31– | payload |
//! | last 16 | tag: keyed BLAKE3 of everything before it, truncated to 16 bytes |

use super::keys::KeyRing;

/// Maximum size of a datagram in bytes, as specified by the platform.
pub const MAX_DATAGRAM: usize = 256;
const HEADER_SIZE: usize = 31;
const TAG_SIZE: usize = 16;
/// Maximum size of the payload.
pub const MAX_PAYLOAD: usize = MAX_DATAGRAM - HEADER_SIZE - TAG_SIZE;
const MAGIC: [u8; 2] = [b'L', 1];

/// The content of a datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// Kind of the payload.
    pub kind: u8,
    /// Session of the sender.
    pub session: u64,
    /// The last token that the receiver demanded.
    pub echo: u64,
    /// The token that the receiver has to echo.
    pub demand: u64,
    /// Sequence number, to detect replays.
    pub number: u32,
    /// The payload.
    pub payload: Vec<u8>,
}

/// Why bytes were not accepted as a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenError {
    /// Wrong size, format or version.
    Malformed,
    /// The authentication tag does not match: another key, or a modified datagram.
    Unauthentic,
}

impl Datagram {
    /// Encodes and authenticates the datagram. The caller must keep the payload within [`MAX_PAYLOAD`]; a
    /// longer one is truncated.
    pub fn seal(&self, keys: &KeyRing) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(MAX_DATAGRAM);
        bytes.extend_from_slice(&MAGIC);
        bytes.push(self.kind);
        for token in [self.session, self.echo, self.demand] {
            bytes.extend_from_slice(&token.to_be_bytes());
        }
        bytes.extend_from_slice(&self.number.to_be_bytes());
        bytes.extend_from_slice(&self.payload[..self.payload.len().min(MAX_PAYLOAD)]);
        let tag = keys.seal(&bytes);
        bytes.extend_from_slice(&tag);
        bytes
    }

    /// Decodes received bytes if they are authentic.
    pub fn open(bytes: &[u8], keys: &KeyRing) -> Result<Datagram, OpenError> {
        if !(HEADER_SIZE + TAG_SIZE..=MAX_DATAGRAM).contains(&bytes.len()) || bytes[..2] != MAGIC {
            return Err(OpenError::Malformed);
        }
        let (authenticated, tag) = bytes.split_at(bytes.len() - TAG_SIZE);
        if !keys.verifies(authenticated, tag.try_into().unwrap_or(&[0; TAG_SIZE])) {
            return Err(OpenError::Unauthentic);
        }
        let number = |at: usize, length: usize| {
            authenticated[at..at + length].iter().fold(0, |n, b| n << 8 | u64::from(*b))
        };
        Ok(Datagram {
            kind: authenticated[2],
            session: number(3, 8),
            echo: number(11, 8),
            demand: number(19, 8),
            number: number(27, 4) as u32,
            payload: authenticated[HEADER_SIZE..].to_vec(),
        })
    }
}
