//! Answers as they come from an upstream.

use crate::body::{Decoder, Framing, Piece};
use crate::{is_chunked, stated_length, Fault, MAX_FIELDS, MAX_HEAD};
use bytes::{Buf, Bytes, BytesMut};
use http::{header, HeaderMap, HeaderName, HeaderValue, Method, StatusCode};

/// The head of an answer.
#[derive(Clone, Debug, PartialEq)]
pub struct ResponseHead {
    /// The status.
    pub status: StatusCode,
    /// All fields as they came.
    pub headers: HeaderMap,
    /// How the body is delimited.
    pub framing: Framing,
}

/// What has come.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An interim answer, as 100 or 103; the final one is still to come.
    Interim(StatusCode),
    /// The head of the final answer.
    Head(ResponseHead),
    /// Bytes of the body.
    Data(Bytes),
    /// The fields behind the last chunk.
    Trailers(HeaderMap),
    /// The answer is whole. `reusable`: another request may go out on the connection.
    End {
        /// By the answer's word.
        reusable: bool,
    },
}

/// Reads the answer to one request.
#[derive(Clone, Debug)]
pub struct Incoming {
    method: Method,
    body: Option<Decoder>,
    keeps: bool,
    interims: u32,
}

/// Interim answers that are taken before the final one.
const MAX_INTERIMS: u32 = 16;

impl Incoming {
    /// The answer to a request with that method.
    pub fn new(method: Method) -> Incoming {
        Incoming { method, body: None, keeps: true, interims: 0 }
    }

    /// Whether the head of the final answer has come.
    pub fn has_head(&self) -> bool {
        self.body.is_some()
    }

    /// Whether the answer has come to its end.
    pub fn is_over(&self) -> bool {
        self.body.as_ref().is_some_and(Decoder::is_over)
    }

    /// The next event, taken out of `input`; `None`: more bytes are needed, or it is over.
    ///
    /// # Errors
    /// What came is no answer; the connection is of no more use.
    pub fn next(&mut self, input: &mut BytesMut) -> Result<Option<Event>, Fault> {
        if let Some(body) = &mut self.body {
            let piece = body.next(input)?;
            return Ok(piece.map(|piece| self.event(piece, input)));
        }
        let Some((version, status, headers)) = head(input)? else { return Ok(None) };
        if status.is_informational() {
            self.interims += 1;
            // Nothing here asks for another protocol.
            if status == StatusCode::SWITCHING_PROTOCOLS || self.interims > MAX_INTERIMS {
                return Err(Fault::Head("an interim answer that was not asked for"));
            }
            return Ok(Some(Event::Interim(status)));
        }
        let framing = framing(&self.method, version, status, &headers)?;
        let says = |word: &[u8]| {
            let values = headers.get_all(header::CONNECTION).into_iter();
            values
                .flat_map(|v| v.as_bytes().split(|b| *b == b','))
                .any(|w| w.trim_ascii().eq_ignore_ascii_case(word))
        };
        self.keeps = (if version == 1 { !says(b"close") } else { says(b"keep-alive") })
            && framing != Framing::UntilEnd;
        self.body = Some(Decoder::new(framing, true));
        Ok(Some(Event::Head(ResponseHead { status, headers, framing })))
    }

    /// The connection has ended.
    ///
    /// # Errors
    /// The answer had not.
    pub fn eof(&mut self) -> Result<Option<Event>, Fault> {
        self.keeps = false;
        match &mut self.body {
            None => Err(Fault::Truncated),
            Some(body) => Ok(body.eof()?.map(|_| Event::End { reusable: false })),
        }
    }

    fn event(&self, piece: Piece, rest: &BytesMut) -> Event {
        match piece {
            Piece::Data(data) => Event::Data(data),
            Piece::Trailers(fields) => Event::Trailers(fields),
            // Bytes behind the answer belong to no request of ours.
            Piece::End => Event::End { reusable: self.keeps && rest.is_empty() },
        }
    }
}

type Head = (u8, StatusCode, HeaderMap);

/// Takes a whole head out of `input`.
fn head(input: &mut BytesMut) -> Result<Option<Head>, Fault> {
    let looked_at = &input[..input.len().min(MAX_HEAD)];
    // Line by line: the parser behind would take a bare LF for an end.
    let mut from = 0;
    let end = loop {
        let Some(at) = looked_at[from..].iter().position(|b| *b == b'\n').map(|at| from + at) else {
            return if input.len() >= MAX_HEAD { Err(Fault::HeadTooLong) } else { Ok(None) };
        };
        if at == 0 || looked_at[at - 1] != b'\r' {
            return Err(Fault::BareLineEnd);
        }
        if at == from + 1 && from > 0 {
            break at + 1;
        }
        if from > 0 && matches!(looked_at[from], b' ' | b'\t') {
            return Err(Fault::Folded);
        }
        from = at + 1;
    };
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Response::new(&mut fields);
    match parsed.parse(&looked_at[..end]) {
        Ok(httparse::Status::Complete(_)) => {}
        Err(httparse::Error::TooManyHeaders) => return Err(Fault::HeadTooLong),
        Ok(httparse::Status::Partial) | Err(_) => return Err(Fault::Head("an answer's head")),
    }
    let status = parsed.code.and_then(|c| StatusCode::from_u16(c).ok()).ok_or(Fault::Head("the status"))?;
    let version = parsed.version.ok_or(Fault::Head("the version"))?;
    let mut headers = HeaderMap::with_capacity(parsed.headers.len());
    for field in parsed.headers.iter() {
        let name =
            HeaderName::from_bytes(field.name.as_bytes()).map_err(|_| Fault::Head("a field's name"))?;
        let value = HeaderValue::from_bytes(field.value).map_err(|_| Fault::Head("a field's value"))?;
        headers.append(name, value);
    }
    input.advance(end);
    Ok(Some((version, status, headers)))
}

/// RFC 9112, 6.3, without its lenient cases.
fn framing(method: &Method, version: u8, status: StatusCode, headers: &HeaderMap) -> Result<Framing, Fault> {
    let values = |name| headers.get_all(name).into_iter().map(|v: &HeaderValue| v.as_bytes());
    let length = stated_length(values(header::CONTENT_LENGTH))?;
    let chunked = is_chunked(values(header::TRANSFER_ENCODING))?;
    if chunked && (length.is_some() || version == 0) {
        return Err(Fault::Length);
    }
    let bodiless = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&status);
    Ok(match (chunked, length) {
        _ if *method == Method::HEAD || bodiless => Framing::None,
        (true, _) => Framing::Chunked,
        (false, Some(length)) => Framing::Length(length),
        (false, None) => Framing::UntilEnd,
    })
}
