//! Holds what a client sends to the letter of the framing, beside the parser that reads it: what passes here
//! has one reading.

use crate::body::chunk_size;
use crate::{is_chunked, stated_length, ParseError, MAX_CHUNK_LINE, MAX_FIELDS, MAX_HEAD};

#[derive(Clone, Debug, PartialEq)]
enum State {
    /// In a head: its size so far, and the lines of it.
    Head {
        size: usize,
        lines: usize,
    },
    Counted(u64),
    Size,
    Chunk(u64),
    /// Bytes of the CR LF behind a chunk that are still to come.
    ChunkEnd(u8),
    Trailers {
        size: usize,
        lines: usize,
    },
}

/// Watches the requests of one connection go by.
#[derive(Clone, Debug)]
pub struct FramingValidator {
    state: State,
    /// The line that is coming.
    line: Vec<u8>,
    lengths: Vec<Vec<u8>>,
    codings: Vec<Vec<u8>>,
    /// The request is of HTTP/1.1.
    modern: bool,
    fault: Option<ParseError>,
}

impl Default for FramingValidator {
    fn default() -> Self {
        FramingValidator {
            state: State::Head { size: 0, lines: 0 },
            line: Vec::new(),
            lengths: Vec::new(),
            codings: Vec::new(),
            modern: true,
            fault: None,
        }
    }
}

impl FramingValidator {
    /// A connection that has said nothing yet.
    pub fn new() -> FramingValidator {
        FramingValidator::default()
    }

    /// Whether the connection is between requests.
    pub fn is_between_requests(&self) -> bool {
        self.state == State::Head { size: 0, lines: 0 } && self.line.is_empty()
    }

    /// Watches bytes go by. Returns how many of them passed.
    ///
    /// # Errors
    /// They can't be framed in one way only; the connection must end. The same fault is told from then on.
    pub fn feed(&mut self, mut bytes: &[u8]) -> Result<(), ParseError> {
        if let Some(fault) = self.fault {
            return Err(fault);
        }
        while !bytes.is_empty() {
            let step = self.step(bytes);
            match step {
                Ok(passed) => bytes = &bytes[passed..],
                Err(fault) => {
                    self.fault = Some(fault);
                    return Err(fault);
                }
            }
        }
        Ok(())
    }

    fn step(&mut self, bytes: &[u8]) -> Result<usize, ParseError> {
        match &mut self.state {
            State::Counted(left) | State::Chunk(left) => {
                let passed = (*left).min(bytes.len() as u64);
                *left -= passed;
                if *left == 0 {
                    let counted = matches!(self.state, State::Counted(_));
                    self.state = if counted { State::Head { size: 0, lines: 0 } } else { State::ChunkEnd(2) };
                }
                Ok(passed as usize)
            }
            State::ChunkEnd(left) => {
                if bytes[0] != b"\r\n"[2 - usize::from(*left)] {
                    return Err(ParseError::InvalidChunkSize);
                }
                *left -= 1;
                if *left == 0 {
                    self.state = State::Size;
                }
                Ok(1)
            }
            _ => self.take_line(bytes),
        }
    }

    /// Takes bytes up to the end of the line that is coming, and looks at it once it is whole.
    fn take_line(&mut self, bytes: &[u8]) -> Result<usize, ParseError> {
        let end = bytes.iter().position(|b| *b == b'\n');
        let taken = &bytes[..end.map_or(bytes.len(), |at| at + 1)];
        let most = if self.state == State::Size { MAX_CHUNK_LINE } else { MAX_HEAD };
        if self.line.len() + taken.len() > most {
            return Err(if self.state == State::Size {
                ParseError::InvalidChunkSize
            } else {
                ParseError::HeadTooLong
            });
        }
        self.line.extend_from_slice(taken);
        if end.is_none() {
            return Ok(taken.len());
        }
        let line = std::mem::take(&mut self.line);
        let Some(text) = line.strip_suffix(b"\r\n").filter(|l| !l.contains(&b'\r')) else {
            return Err(ParseError::InvalidLineEnding);
        };
        self.state = match self.state {
            State::Size => match chunk_size(text, false)? {
                0 => State::Trailers { size: 0, lines: 0 },
                size => State::Chunk(size),
            },
            State::Trailers { .. } if text.is_empty() => State::Head { size: 0, lines: 0 },
            State::Trailers { size, lines } => {
                let (size, lines) = within(size + line.len(), lines + 1)?;
                field(text)?;
                State::Trailers { size, lines }
            }
            // One empty line may go before a request.
            State::Head { lines: 0, size: 0 } if text.is_empty() => State::Head { size: 2, lines: 0 },
            State::Head { lines: 0, size } => {
                self.modern = first_line(text)?;
                State::Head { size: size + line.len(), lines: 1 }
            }
            State::Head { .. } if text.is_empty() => self.framing()?,
            State::Head { size, lines } => {
                let (size, lines) = within(size + line.len(), lines + 1)?;
                let (name, value) = field(text)?;
                if name.eq_ignore_ascii_case(b"content-length") {
                    self.lengths.push(value.to_vec());
                } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
                    self.codings.push(value.to_vec());
                }
                State::Head { size, lines }
            }
            ref other => other.clone(),
        };
        Ok(taken.len())
    }

    /// What follows a whole head.
    fn framing(&mut self) -> Result<State, ParseError> {
        let (lengths, codings) = (std::mem::take(&mut self.lengths), std::mem::take(&mut self.codings));
        let length = stated_length(lengths.iter().map(Vec::as_slice))?;
        let chunked = is_chunked(codings.iter().map(Vec::as_slice))?;
        Ok(match (chunked, length) {
            (true, Some(_)) => return Err(ParseError::InvalidLength),
            (true, None) if !self.modern => return Err(ParseError::UnsupportedTransferCoding),
            (true, None) => State::Size,
            (false, None | Some(0)) => State::Head { size: 0, lines: 0 },
            (false, Some(length)) => State::Counted(length),
        })
    }
}

fn within(size: usize, lines: usize) -> Result<(usize, usize), ParseError> {
    match size <= MAX_HEAD && lines <= MAX_FIELDS + 1 {
        true => Ok((size, lines)),
        false => Err(ParseError::HeadTooLong),
    }
}

fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// `METHOD TARGET VERSION`, one blank between; whether it is HTTP/1.1.
fn first_line(line: &[u8]) -> Result<bool, ParseError> {
    let words: Vec<&[u8]> = line.split(|b| *b == b' ').collect();
    let [method, target, version] = words[..] else { return Err(ParseError::InvalidHead("the first line")) };
    let plain = !method.is_empty()
        && method.iter().copied().all(is_token)
        && !target.is_empty()
        && target.iter().all(|b| *b > b' ' && *b != 127);
    match version {
        b"HTTP/1.1" if plain => Ok(true),
        b"HTTP/1.0" if plain => Ok(false),
        _ => Err(ParseError::InvalidHead("the first line")),
    }
}

/// `NAME: VALUE`, nothing between the name and the colon.
fn field(line: &[u8]) -> Result<(&[u8], &[u8]), ParseError> {
    if line.starts_with(b" ") || line.starts_with(b"\t") {
        return Err(ParseError::FoldedHeader);
    }
    let colon =
        line.iter().position(|b| *b == b':').ok_or(ParseError::InvalidHead("a field without a colon"))?;
    let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii());
    if name.is_empty() || !name.iter().copied().all(is_token) {
        return Err(ParseError::InvalidHead("a field's name"));
    }
    if value.iter().any(|b| *b < b' ' && *b != b'\t' || *b == 127) {
        return Err(ParseError::InvalidHead("a field's value"));
    }
    Ok((name, value))
}
