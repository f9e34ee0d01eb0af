//! Message bodies: framing, decoding, and encoding.

use crate::{line_end, ParseError, MAX_CHUNK_LINE, MAX_FIELDS, MAX_HEAD};
use bytes::{Buf, Bytes, BytesMut};
use http::{HeaderMap, HeaderName, HeaderValue};
use thiserror::Error;

/// How a body is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// No body.
    None,
    /// A body of the given length in bytes.
    Length(u64),
    /// Chunked transfer coding.
    Chunked,
    /// Delimited by the close of the connection; responses only.
    UntilClose,
}

/// A part of a decoded body.
#[derive(Clone, Debug, PartialEq)]
pub enum BodyPart {
    /// Content; never empty.
    Data(Bytes),
    /// The trailer fields after the last chunk, if there are any.
    Trailers(HeaderMap),
    /// The end of the body.
    End,
}

#[derive(Clone, Debug, PartialEq)]
enum State {
    FixedLength(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailers(HeaderMap, usize),
    UntilClose,
    End,
    Finished,
}

/// Decodes a body from the bytes of a connection.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    state: State,
    skip_extensions: bool,
}

impl BodyDecoder {
    /// Creates a decoder for a framing. With `skip_extensions` set, chunk extensions are skipped; otherwise they are an error.
    pub fn new(framing: Framing, skip_extensions: bool) -> BodyDecoder {
        let state = match framing {
            Framing::None | Framing::Length(0) => State::End,
            Framing::Length(length) => State::FixedLength(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        BodyDecoder { state, skip_extensions }
    }

    /// Whether [`BodyPart::End`] has been returned.
    pub fn is_finished(&self) -> bool {
        self.state == State::Finished
    }

    /// Removes the next part from `input`. `None` means that more bytes are needed, or that the body is finished.
    ///
    /// # Errors
    /// The framing is invalid; nothing more can be decoded.
    pub fn next(&mut self, input: &mut BytesMut) -> Result<Option<BodyPart>, ParseError> {
        loop {
            match &mut self.state {
                State::Finished => return Ok(None),
                State::End => {
                    self.state = State::Finished;
                    return Ok(Some(BodyPart::End));
                }
                State::FixedLength(remaining) | State::ChunkData(remaining) => {
                    let count = (*remaining).min(input.len() as u64);
                    if count == 0 {
                        return Ok(None);
                    }
                    *remaining -= count;
                    let is_done = *remaining == 0;
                    if is_done {
                        let is_fixed_length = matches!(self.state, State::FixedLength(_));
                        self.state = if is_fixed_length { State::End } else { State::ChunkEnd };
                    }
                    return Ok(Some(BodyPart::Data(input.split_to(count as usize).freeze())));
                }
                State::UntilClose => {
                    return Ok((!input.is_empty()).then(|| BodyPart::Data(input.split().freeze())));
                }
                State::ChunkSize => {
                    let Some(end) = line_end(input, MAX_CHUNK_LINE, ParseError::InvalidChunkSize)? else {
                        return Ok(None);
                    };
                    let size = chunk_size(&input[..end], self.skip_extensions)?;
                    input.advance(end + 2);
                    self.state = match size {
                        0 => State::Trailers(HeaderMap::new(), 0),
                        size => State::ChunkData(size),
                    };
                }
                State::ChunkEnd => {
                    if input.len() < 2 {
                        // The received prefix must already match.
                        return if b"\r\n".starts_with(input) {
                            Ok(None)
                        } else {
                            Err(ParseError::InvalidChunkSize)
                        };
                    }
                    if !input.starts_with(b"\r\n") {
                        return Err(ParseError::InvalidChunkSize);
                    }
                    input.advance(2);
                    self.state = State::ChunkSize;
                }
                State::Trailers(fields, size) => {
                    let Some(end) = line_end(input, MAX_HEAD - *size, ParseError::HeadTooLong)? else {
                        return Ok(None);
                    };
                    let line = input.split_to(end + 2);
                    *size += line.len();
                    if end == 0 {
                        let fields = std::mem::take(fields);
                        self.state = State::End;
                        if !fields.is_empty() {
                            return Ok(Some(BodyPart::Trailers(fields)));
                        }
                        continue;
                    }
                    let (name, value) = parse_field(&line[..end])?;
                    if fields.len() >= MAX_FIELDS || *size > MAX_HEAD {
                        return Err(ParseError::HeadTooLong);
                    }
                    fields.append(name, value);
                }
            }
        }
    }

    /// Signals that the connection was closed.
    ///
    /// # Errors
    /// The body was not complete.
    pub fn eof(&mut self) -> Result<Option<BodyPart>, ParseError> {
        match self.state {
            State::UntilClose | State::End => {
                self.state = State::Finished;
                Ok(Some(BodyPart::End))
            }
            State::Finished => Ok(None),
            _ => Err(ParseError::Truncated),
        }
    }
}

/// Parses a header or trailer line without its line ending.
fn parse_field(line: &[u8]) -> Result<(HeaderName, HeaderValue), ParseError> {
    if line.starts_with(b" ") || line.starts_with(b"\t") {
        return Err(ParseError::FoldedHeader);
    }
    let colon =
        line.iter().position(|b| *b == b':').ok_or(ParseError::InvalidHead("field without a colon"))?;
    let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii());
    let name = HeaderName::from_bytes(name).map_err(|_| ParseError::InvalidHead("invalid field name"))?;
    let value = HeaderValue::from_bytes(value).map_err(|_| ParseError::InvalidHead("invalid field value"))?;
    Ok((name, value))
}

/// Parses the size in a chunk line: hexadecimal digits only, without a sign or whitespace.
pub(crate) fn chunk_size(line: &[u8], skip_extensions: bool) -> Result<u64, ParseError> {
    let end = line.iter().position(|b| !b.is_ascii_hexdigit()).unwrap_or(line.len());
    let (digits, rest) = line.split_at(end);
    match rest.first() {
        None => {}
        Some(b';') if skip_extensions => {}
        Some(b';') => return Err(ParseError::ChunkExtension),
        Some(_) => return Err(ParseError::InvalidChunkSize),
    }
    let text = std::str::from_utf8(digits).map_err(|_| ParseError::InvalidChunkSize)?;
    let size = u64::from_str_radix(text, 16).map_err(|_| ParseError::InvalidChunkSize)?;
    (text.len() <= 16 && size < 1 << 63).then_some(size).ok_or(ParseError::InvalidChunkSize)
}

/// The body is longer or shorter than its declared length.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the body does not have its declared length")]
pub struct LengthMismatch;

/// Encodes a body.
#[derive(Clone, Copy, Debug)]
pub struct BodyEncoder {
    framing: Framing,
    remaining: u64,
}

impl BodyEncoder {
    /// Creates an encoder for a framing.
    pub fn new(framing: Framing) -> BodyEncoder {
        let remaining = if let Framing::Length(length) = framing { length } else { 0 };
        BodyEncoder { framing, remaining }
    }

    /// Appends to `out` the framing that precedes a block of data of this size, which the caller sends unchanged.
    /// Returns the framing that follows the block.
    ///
    /// # Errors
    /// The body would exceed its declared length.
    pub fn data(&mut self, size: usize, out: &mut Vec<u8>) -> Result<&'static [u8], LengthMismatch> {
        match self.framing {
            // An empty chunk would terminate the body.
            _ if size == 0 => Ok(b""),
            Framing::None => Err(LengthMismatch),
            Framing::UntilClose => Ok(b""),
            Framing::Length(_) => {
                self.remaining = self.remaining.checked_sub(size as u64).ok_or(LengthMismatch)?;
                Ok(b"")
            }
            Framing::Chunked => {
                out.extend_from_slice(format!("{size:x}\r\n").as_bytes());
                Ok(b"\r\n")
            }
        }
    }

    /// Appends the end of the body.
    ///
    /// # Errors
    /// The body is shorter than its declared length.
    pub fn end(&mut self, trailers: Option<&HeaderMap>, out: &mut Vec<u8>) -> Result<(), LengthMismatch> {
        if self.remaining > 0 {
            return Err(LengthMismatch);
        }
        if self.framing == Framing::Chunked {
            out.extend_from_slice(b"0\r\n");
            write_fields(trailers.into_iter().flatten(), out);
            out.extend_from_slice(b"\r\n");
        }
        Ok(())
    }
}

/// Appends header lines.
pub(crate) fn write_fields<'a>(
    fields: impl Iterator<Item = (&'a HeaderName, &'a HeaderValue)>,
    out: &mut Vec<u8>,
) {
    for (name, value) in fields {
        out.extend_from_slice(name.as_str().as_bytes());
        out.extend_from_slice(b": ");
        out.extend_from_slice(value.as_bytes());
        out.extend_from_slice(b"\r\n");
    }
}
