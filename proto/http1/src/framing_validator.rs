//! Strict validation of the framing of client requests, alongside the HTTP server that parses them: whatever passes
//! the validation has only one interpretation.

use crate::body::chunk_size;
use crate::{declared_length, is_chunked, ParseError, MAX_CHUNK_LINE, MAX_FIELDS, MAX_HEAD};

#[derive(Clone, Debug, PartialEq)]
enum State {
    /// In a head: its size and number of lines so far.
    Head {
        size: usize,
        lines: usize,
    },
    FixedLength(u64),
    ChunkSize,
    ChunkData(u64),
    /// The number of outstanding bytes of the CR LF after a chunk.
    ChunkEnd(u8),
    Trailers {
        size: usize,
        lines: usize,
    },
}

/// Validates the framing of the requests on one connection.
#[derive(Clone, Debug)]
pub struct FramingValidator {
    state: State,
    /// The incomplete current line.
    line: Vec<u8>,
    content_lengths: Vec<Vec<u8>>,
    transfer_codings: Vec<Vec<u8>>,
    /// Whether the request is HTTP/1.1.
    is_http_1_1: bool,
    error: Option<ParseError>,
}

impl Default for FramingValidator {
    fn default() -> Self {
        FramingValidator {
            state: State::Head { size: 0, lines: 0 },
            line: Vec::new(),
            content_lengths: Vec::new(),
            transfer_codings: Vec::new(),
            is_http_1_1: true,
            error: None,
        }
    }
}

impl FramingValidator {
    /// Creates a validator for a new connection.
    pub fn new() -> FramingValidator {
        FramingValidator::default()
    }

    /// Whether no request is incomplete.
    pub fn is_between_requests(&self) -> bool {
        self.state == State::Head { size: 0, lines: 0 } && self.line.is_empty()
    }

    /// Validates the next bytes of the connection.
    ///
    /// # Errors
    /// The framing is invalid or ambiguous; the connection must be closed. Every later call returns the same error.
    pub fn feed(&mut self, mut bytes: &[u8]) -> Result<(), ParseError> {
        if let Some(error) = self.error {
            return Err(error);
        }
        while !bytes.is_empty() {
            let step = self.step(bytes);
            match step {
                Ok(consumed) => bytes = &bytes[consumed..],
                Err(error) => {
                    self.error = Some(error);
                    return Err(error);
                }
            }
        }
        Ok(())
    }

    fn step(&mut self, bytes: &[u8]) -> Result<usize, ParseError> {
        match &mut self.state {
            State::FixedLength(remaining) | State::ChunkData(remaining) => {
                let consumed = (*remaining).min(bytes.len() as u64);
                *remaining -= consumed;
                if *remaining == 0 {
                    let is_fixed_length = matches!(self.state, State::FixedLength(_));
                    self.state =
                        if is_fixed_length { State::Head { size: 0, lines: 0 } } else { State::ChunkEnd(2) };
                }
                Ok(consumed as usize)
            }
            State::ChunkEnd(remaining) => {
                if bytes[0] != b"\r\n"[2 - usize::from(*remaining)] {
                    return Err(ParseError::InvalidChunkSize);
                }
                *remaining -= 1;
                if *remaining == 0 {
                    self.state = State::ChunkSize;
                }
                Ok(1)
            }
            _ => self.consume_line(bytes),
        }
    }

    /// Consumes bytes up to the end of the current line, and validates the line once it is complete.
    fn consume_line(&mut self, bytes: &[u8]) -> Result<usize, ParseError> {
        let end = bytes.iter().position(|b| *b == b'\n');
        let consumed = &bytes[..end.map_or(bytes.len(), |at| at + 1)];
        let max_length = if self.state == State::ChunkSize { MAX_CHUNK_LINE } else { MAX_HEAD };
        if self.line.len() + consumed.len() > max_length {
            return Err(if self.state == State::ChunkSize {
                ParseError::InvalidChunkSize
            } else {
                ParseError::HeadTooLong
            });
        }
        self.line.extend_from_slice(consumed);
        if end.is_none() {
            return Ok(consumed.len());
        }
        let line = std::mem::take(&mut self.line);
        let Some(text) = line.strip_suffix(b"\r\n").filter(|l| !l.contains(&b'\r')) else {
            return Err(ParseError::InvalidLineEnding);
        };
        self.state = match self.state {
            State::ChunkSize => match chunk_size(text, false)? {
                0 => State::Trailers { size: 0, lines: 0 },
                size => State::ChunkData(size),
            },
            State::Trailers { .. } if text.is_empty() => State::Head { size: 0, lines: 0 },
            State::Trailers { size, lines } => {
                let (size, lines) = check_bounds(size + line.len(), lines + 1)?;
                parse_field(text)?;
                State::Trailers { size, lines }
            }
            // One empty line is allowed before a request.
            State::Head { lines: 0, size: 0 } if text.is_empty() => State::Head { size: 2, lines: 0 },
            State::Head { lines: 0, size } => {
                self.is_http_1_1 = parse_request_line(text)?;
                State::Head { size: size + line.len(), lines: 1 }
            }
            State::Head { .. } if text.is_empty() => self.body_state()?,
            State::Head { size, lines } => {
                let (size, lines) = check_bounds(size + line.len(), lines + 1)?;
                let (name, value) = parse_field(text)?;
                if name.eq_ignore_ascii_case(b"content-length") {
                    self.content_lengths.push(value.to_vec());
                } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
                    self.transfer_codings.push(value.to_vec());
                }
                State::Head { size, lines }
            }
            ref other => other.clone(),
        };
        Ok(consumed.len())
    }

    /// Determines the state after a complete head.
    fn body_state(&mut self) -> Result<State, ParseError> {
        let (content_lengths, transfer_codings) =
            (std::mem::take(&mut self.content_lengths), std::mem::take(&mut self.transfer_codings));
        let length = declared_length(content_lengths.iter().map(Vec::as_slice))?;
        let chunked = is_chunked(transfer_codings.iter().map(Vec::as_slice))?;
        Ok(match (chunked, length) {
            (true, Some(_)) => return Err(ParseError::InvalidLength),
            (true, None) if !self.is_http_1_1 => return Err(ParseError::UnsupportedTransferCoding),
            (true, None) => State::ChunkSize,
            (false, None | Some(0)) => State::Head { size: 0, lines: 0 },
            (false, Some(length)) => State::FixedLength(length),
        })
    }
}

fn check_bounds(size: usize, lines: usize) -> Result<(usize, usize), ParseError> {
    match size <= MAX_HEAD && lines <= MAX_FIELDS + 1 {
        true => Ok((size, lines)),
        false => Err(ParseError::HeadTooLong),
    }
}

fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Validates `METHOD TARGET VERSION`, separated by single spaces. Returns whether the version is HTTP/1.1.
fn parse_request_line(line: &[u8]) -> Result<bool, ParseError> {
    let parts: Vec<&[u8]> = line.split(|b| *b == b' ').collect();
    let [method, target, version] = parts[..] else {
        return Err(ParseError::InvalidHead("invalid request line"));
    };
    let is_valid = !method.is_empty()
        && method.iter().copied().all(is_token)
        && !target.is_empty()
        && target.iter().all(|b| *b > b' ' && *b != 127);
    match version {
        b"HTTP/1.1" if is_valid => Ok(true),
        b"HTTP/1.0" if is_valid => Ok(false),
        _ => Err(ParseError::InvalidHead("invalid request line")),
    }
}

/// Splits `NAME: VALUE`, without whitespace between the name and the colon.
fn parse_field(line: &[u8]) -> Result<(&[u8], &[u8]), ParseError> {
    if line.starts_with(b" ") || line.starts_with(b"\t") {
        return Err(ParseError::FoldedHeader);
    }
    let colon =
        line.iter().position(|b| *b == b':').ok_or(ParseError::InvalidHead("field without a colon"))?;
    let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii());
    if name.is_empty() || !name.iter().copied().all(is_token) {
        return Err(ParseError::InvalidHead("invalid field name"));
    }
    if value.iter().any(|b| *b < b' ' && *b != b'\t' || *b == 127) {
        return Err(ParseError::InvalidHead("invalid field value"));
    }
    Ok((name, value))
}
