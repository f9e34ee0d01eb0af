//! HTTP/1.1 for a proxy, according to RFC 9112 and the parts of RFC 9110 that it references: encoding of requests,
//! decoding of responses, re-framing of bodies, and strict validation of the framing that clients send.
//!
//! The crate turns bytes into events and uses neither sockets nor a clock. Where the RFC permits either leniency or
//! rejection, this crate rejects: two parsers that interpret the same bytes differently allow request smuggling.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod body;
mod framing_validator;
mod hops;
mod request;
mod response;

pub use body::{BodyDecoder, BodyEncoder, BodyPart, Framing, LengthMismatch};
pub use framing_validator::FramingValidator;
pub use hops::{forward_headers, strip_hop_by_hop_headers, Forwarding};
pub use request::RequestHead;
pub use response::{ResponseDecoder, ResponseEvent, ResponseHead};

use thiserror::Error;

/// The maximum size of a message head in bytes.
pub const MAX_HEAD: usize = 32 << 10;
/// The maximum number of header fields of a head, or of trailer fields of a body.
pub const MAX_FIELDS: usize = 100;
/// The maximum length of a chunk line: a size and its extensions.
pub const MAX_CHUNK_LINE: usize = 256;

/// Why bytes were rejected as HTTP/1.1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ParseError {
    /// A head exceeds [`MAX_HEAD`] or [`MAX_FIELDS`].
    #[error("message head too long")]
    HeadTooLong,
    /// A line ends with a bare LF, or contains a CR that is not followed by LF.
    #[error("line does not end with CR LF")]
    InvalidLineEnding,
    /// A header line is continued on the next line (obsolete line folding).
    #[error("folded header line")]
    FoldedHeader,
    /// The start line or a header line is malformed.
    #[error("malformed message head: {0}")]
    InvalidHead(&'static str),
    /// `Content-Length` is repeated, combined with `Transfer-Encoding`, or not a number.
    #[error("invalid or ambiguous body length")]
    InvalidLength,
    /// A transfer coding other than a single `chunked`.
    #[error("unsupported transfer coding")]
    UnsupportedTransferCoding,
    /// A chunk size is malformed or is 2^63 or more.
    #[error("invalid chunk size")]
    InvalidChunkSize,
    /// A chunk has extensions.
    #[error("chunk extensions are not allowed")]
    ChunkExtension,
    /// The connection was closed in the middle of a message.
    #[error("connection closed in the middle of a message")]
    Truncated,
}

/// Finds the end of a line, which must be CR LF. Returns the line's length without CR LF, or `None` if the line is
/// incomplete.
fn line_end(bytes: &[u8], max: usize, too_long: ParseError) -> Result<Option<usize>, ParseError> {
    let searched = &bytes[..bytes.len().min(max + 2)];
    match searched.iter().position(|b| *b == b'\n') {
        Some(at) if at > 0 && bytes[at - 1] == b'\r' => match bytes[..at - 1].contains(&b'\r') {
            true => Err(ParseError::InvalidLineEnding),
            false => Ok(Some(at - 1)),
        },
        Some(_) => Err(ParseError::InvalidLineEnding),
        None if bytes.len() > max + 1 => Err(too_long),
        None => Ok(None),
    }
}

/// The length declared by the `Content-Length` fields, if any. Repeated fields are an error even if they agree.
fn declared_length<'a>(mut values: impl Iterator<Item = &'a [u8]>) -> Result<Option<u64>, ParseError> {
    let Some(value) = values.next() else { return Ok(None) };
    let is_number = !value.is_empty() && value.len() <= 18 && value.iter().all(u8::is_ascii_digit);
    if !is_number || values.next().is_some() {
        return Err(ParseError::InvalidLength);
    }
    Ok(std::str::from_utf8(value).ok().and_then(|v| v.parse().ok()))
}

/// Whether the `Transfer-Encoding` fields declare the chunked coding; any other coding is an error.
fn is_chunked<'a>(mut values: impl Iterator<Item = &'a [u8]>) -> Result<bool, ParseError> {
    let Some(value) = values.next() else { return Ok(false) };
    match value.eq_ignore_ascii_case(b"chunked") && values.next().is_none() {
        true => Ok(true),
        false => Err(ParseError::UnsupportedTransferCoding),
    }
}
