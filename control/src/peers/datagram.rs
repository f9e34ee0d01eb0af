//! A datagram between dispatchers. Big endian:
//!
//! | bytes | holds |
//! | --- | --- |
//! | 0 | `L` |
//! | 1 | 1, the version |
//! | 2 | what the payload is |
//! | 3–10 | session: drawn at the sender's start |
//! | 11–18 | echo: the token that the receiver last demanded of the sender; 0: none is known |
//! | 19–26 | demand: the token that the sender wants echoed |
//! | 27–30 | number: from 1, one up with each datagram of the session to this receiver |
//! | 31– | payload |
//! | last 16 | tag: keyed BLAKE3 of all before it, cut to 16 bytes |

use super::keys::KeyRing;

/// A datagram holds so many bytes at most, by the platform's word.
pub const MAX_DATAGRAM: usize = 256;
const HEAD: usize = 31;
const TAG: usize = 16;
/// What is left for the payload.
pub const MAX_PAYLOAD: usize = MAX_DATAGRAM - HEAD - TAG;
const MAGIC: [u8; 2] = [b'L', 1];

/// A datagram, opened or about to be sealed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// What the payload is.
    pub kind: u8,
    /// The sender's session.
    pub session: u64,
    /// What the sender was last told to echo.
    pub echo: u64,
    /// What the receiver is to echo.
    pub demand: u64,
    /// Tells repeats.
    pub number: u32,
    /// What it carries.
    pub payload: Vec<u8>,
}

/// Why bytes are no datagram of ours.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenError {
    /// Too short, too long, or of another form or version.
    Malformed,
    /// The tag is wrong: another key, or somebody changed it.
    Unauthentic,
}

impl Datagram {
    /// The bytes to send. A payload over [`MAX_PAYLOAD`] is the caller's fault and is cut.
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

    /// Reads bytes that came, if they are authentic.
    pub fn open(bytes: &[u8], keys: &KeyRing) -> Result<Datagram, OpenError> {
        if !(HEAD + TAG..=MAX_DATAGRAM).contains(&bytes.len()) || bytes[..2] != MAGIC {
            return Err(OpenError::Malformed);
        }
        let (said, tag) = bytes.split_at(bytes.len() - TAG);
        if !keys.verifies(said, tag.try_into().unwrap_or(&[0; TAG])) {
            return Err(OpenError::Unauthentic);
        }
        let number =
            |at: usize, length: usize| said[at..at + length].iter().fold(0, |n, b| n << 8 | u64::from(*b));
        Ok(Datagram {
            kind: said[2],
            session: number(3, 8),
            echo: number(11, 8),
            demand: number(19, 8),
            number: number(27, 4) as u32,
            payload: said[HEAD..].to_vec(),
        })
    }
}
