//! Bodies: how they are delimited, read, and written.

use crate::{line_end, ParseError, MAX_CHUNK_LINE, MAX_FIELDS, MAX_HEAD};
use bytes::{Buf, Bytes, BytesMut};
use http::{HeaderMap, HeaderName, HeaderValue};
use thiserror::Error;

/// How a body is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is none.
    None,
    /// So many bytes.
    Length(u64),
    /// In chunks.
    Chunked,
    /// By the end of the connection; only answers.
    UntilClose,
}

/// A piece of a body that is read.
#[derive(Clone, Debug, PartialEq)]
pub enum BodyPart {
    /// Bytes of it; never none.
    Data(Bytes),
    /// The fields behind the last chunk, where there are any.
    Trailers(HeaderMap),
    /// Its end.
    End,
}

#[derive(Clone, Debug, PartialEq)]
enum State {
    Counted(u64),
    Size,
    Chunk(u64),
    ChunkEnd,
    Trailers(HeaderMap, usize),
    UntilClose,
    End,
    Over,
}

/// Reads a body out of the bytes of a connection.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    state: State,
    extensions: bool,
}

impl BodyDecoder {
    /// A body framed so. `extensions`: chunk extensions are passed over; else they are a fault.
    pub fn new(framing: Framing, extensions: bool) -> BodyDecoder {
        let state = match framing {
            Framing::None | Framing::Length(0) => State::End,
            Framing::Length(length) => State::Counted(length),
            Framing::Chunked => State::Size,
            Framing::UntilClose => State::UntilClose,
        };
        BodyDecoder { state, extensions }
    }

    /// Whether its end has been given out.
    pub fn is_finished(&self) -> bool {
        self.state == State::Over
    }

    /// The next piece, taken out of `input`; `None`: more bytes are needed, or it is over.
    ///
    /// # Errors
    /// The framing is broken; nothing more can be read.
    pub fn next(&mut self, input: &mut BytesMut) -> Result<Option<BodyPart>, ParseError> {
        loop {
            match &mut self.state {
                State::Over => return Ok(None),
                State::End => {
                    self.state = State::Over;
                    return Ok(Some(BodyPart::End));
                }
                State::Counted(left) | State::Chunk(left) => {
                    let count = (*left).min(input.len() as u64);
                    if count == 0 {
                        return Ok(None);
                    }
                    *left -= count;
                    let done = *left == 0;
                    if done {
                        let counted = matches!(self.state, State::Counted(_));
                        self.state = if counted { State::End } else { State::ChunkEnd };
                    }
                    return Ok(Some(BodyPart::Data(input.split_to(count as usize).freeze())));
                }
                State::UntilClose => {
                    return Ok((!input.is_empty()).then(|| BodyPart::Data(input.split().freeze())));
                }
                State::Size => {
                    let Some(end) = line_end(input, MAX_CHUNK_LINE, ParseError::InvalidChunkSize)? else {
                        return Ok(None);
                    };
                    let size = chunk_size(&input[..end], self.extensions)?;
                    input.advance(end + 2);
                    self.state = match size {
                        0 => State::Trailers(HeaderMap::new(), 0),
                        size => State::Chunk(size),
                    };
                }
                State::ChunkEnd => {
                    if input.len() < 2 {
                        // What has come of it must fit already.
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
                    self.state = State::Size;
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
                    let (name, value) = field(&line[..end])?;
                    if fields.len() >= MAX_FIELDS || *size > MAX_HEAD {
                        return Err(ParseError::HeadTooLong);
                    }
                    fields.append(name, value);
                }
            }
        }
    }

    /// The connection has ended.
    ///
    /// # Errors
    /// The body had not.
    pub fn eof(&mut self) -> Result<Option<BodyPart>, ParseError> {
        match self.state {
            State::UntilClose | State::End => {
                self.state = State::Over;
                Ok(Some(BodyPart::End))
            }
            State::Over => Ok(None),
            _ => Err(ParseError::Truncated),
        }
    }
}

/// A header or trailer line, without its end.
fn field(line: &[u8]) -> Result<(HeaderName, HeaderValue), ParseError> {
    if line.starts_with(b" ") || line.starts_with(b"\t") {
        return Err(ParseError::FoldedHeader);
    }
    let colon =
        line.iter().position(|b| *b == b':').ok_or(ParseError::InvalidHead("a field without a colon"))?;
    let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii());
    let name = HeaderName::from_bytes(name).map_err(|_| ParseError::InvalidHead("a field's name"))?;
    let value = HeaderValue::from_bytes(value).map_err(|_| ParseError::InvalidHead("a field's value"))?;
    Ok((name, value))
}

/// The size on a chunk's line: hexadecimal digits alone, so neither sign nor blank.
pub(crate) fn chunk_size(line: &[u8], extensions: bool) -> Result<u64, ParseError> {
    let end = line.iter().position(|b| !b.is_ascii_hexdigit()).unwrap_or(line.len());
    let (digits, rest) = line.split_at(end);
    match rest.first() {
        None => {}
        Some(b';') if extensions => {}
        Some(b';') => return Err(ParseError::ChunkExtension),
        Some(_) => return Err(ParseError::InvalidChunkSize),
    }
    let text = std::str::from_utf8(digits).map_err(|_| ParseError::InvalidChunkSize)?;
    let size = u64::from_str_radix(text, 16).map_err(|_| ParseError::InvalidChunkSize)?;
    (text.len() <= 16 && size < 1 << 63).then_some(size).ok_or(ParseError::InvalidChunkSize)
}

/// More was to be written than the stated length, or less.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the body is not as long as was stated")]
pub struct LengthMismatch;

/// Writes a body as it is framed.
#[derive(Clone, Copy, Debug)]
pub struct BodyEncoder {
    framing: Framing,
    left: u64,
}

impl BodyEncoder {
    /// A body framed so.
    pub fn new(framing: Framing) -> BodyEncoder {
        let left = if let Framing::Length(length) = framing { length } else { 0 };
        BodyEncoder { framing, left }
    }

    /// Adds to `out` what goes before a piece of data of that size, which is to follow as it is; and what
    /// goes behind it.
    ///
    /// # Errors
    /// The body would get longer than was stated.
    pub fn data(&mut self, size: usize, out: &mut Vec<u8>) -> Result<&'static [u8], LengthMismatch> {
        match self.framing {
            // An empty chunk would end the body.
            _ if size == 0 => Ok(b""),
            Framing::None => Err(LengthMismatch),
            Framing::UntilClose => Ok(b""),
            Framing::Length(_) => {
                self.left = self.left.checked_sub(size as u64).ok_or(LengthMismatch)?;
                Ok(b"")
            }
            Framing::Chunked => {
                out.extend_from_slice(format!("{size:x}\r\n").as_bytes());
                Ok(b"\r\n")
            }
        }
    }

    /// Adds what ends the body.
    ///
    /// # Errors
    /// The body is shorter than was stated.
    pub fn end(&mut self, trailers: Option<&HeaderMap>, out: &mut Vec<u8>) -> Result<(), LengthMismatch> {
        if self.left > 0 {
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

/// Adds header lines.
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
