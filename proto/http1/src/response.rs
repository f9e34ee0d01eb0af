//! Answers as they come from an upstream.

use crate::body::{BodyDecoder, BodyPart, Framing};
use crate::{is_chunked, stated_length, ParseError, MAX_FIELDS, MAX_HEAD};
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
pub enum ResponseEvent {
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
pub struct ResponseDecoder {
    method: Method,
    body: Option<BodyDecoder>,
    keeps: bool,
    interims: u32,
}

/// Interim answers that are taken before the final one.
const MAX_INTERIMS: u32 = 16;

impl ResponseDecoder {
    /// The answer to a request with that method.
    pub fn new(method: Method) -> ResponseDecoder {
        ResponseDecoder { method, body: None, keeps: true, interims: 0 }
    }

    /// Whether the head of the final answer has come.
    pub fn has_head(&self) -> bool {
        self.body.is_some()
    }

    /// Whether the answer has come to its end.
    pub fn is_finished(&self) -> bool {
        self.body.as_ref().is_some_and(BodyDecoder::is_finished)
    }

    /// The next event, taken out of `input`; `None`: more bytes are needed, or it is over.
    ///
    /// # Errors
    /// What came is no answer; the connection is of no more use.
    pub fn next(&mut self, input: &mut BytesMut) -> Result<Option<ResponseEvent>, ParseError> {
        if let Some(body) = &mut self.body {
            let piece = body.next(input)?;
            return Ok(piece.map(|piece| self.event(piece, input)));
        }
        let Some((version, status, headers)) = head(input)? else { return Ok(None) };
        if status.is_informational() {
            self.interims += 1;
            // Nothing here asks for another protocol.
            if status == StatusCode::SWITCHING_PROTOCOLS || self.interims > MAX_INTERIMS {
                return Err(ParseError::InvalidHead("an interim answer that was not asked for"));
            }
            return Ok(Some(ResponseEvent::Interim(status)));
        }
        let framing = framing(&self.method, version, status, &headers)?;
        let says = |word: &[u8]| {
            let values = headers.get_all(header::CONNECTION).into_iter();
            values
                .flat_map(|v| v.as_bytes().split(|b| *b == b','))
                .any(|w| w.trim_ascii().eq_ignore_ascii_case(word))
        };
        self.keeps = (if version == 1 { !says(b"close") } else { says(b"keep-alive") })
            && framing != Framing::UntilClose;
        self.body = Some(BodyDecoder::new(framing, true));
        Ok(Some(ResponseEvent::Head(ResponseHead { status, headers, framing })))
    }

    /// The connection has ended.
    ///
    /// # Errors
    /// The answer had not.
    pub fn eof(&mut self) -> Result<Option<ResponseEvent>, ParseError> {
        self.keeps = false;
        match &mut self.body {
            None => Err(ParseError::Truncated),
            Some(body) => Ok(body.eof()?.map(|_| ResponseEvent::End { reusable: false })),
        }
    }

    fn event(&self, piece: BodyPart, rest: &BytesMut) -> ResponseEvent {
        match piece {
            BodyPart::Data(data) => ResponseEvent::Data(data),
            BodyPart::Trailers(fields) => ResponseEvent::Trailers(fields),
            // Bytes behind the answer belong to no request of ours.
            BodyPart::End => ResponseEvent::End { reusable: self.keeps && rest.is_empty() },
        }
    }
}

type Head = (u8, StatusCode, HeaderMap);

/// Takes a whole head out of `input`.
fn head(input: &mut BytesMut) -> Result<Option<Head>, ParseError> {
    let looked_at = &input[..input.len().min(MAX_HEAD)];
    // Line by line: the parser behind would take a bare LF for an end.
    let mut from = 0;
    let end = loop {
        let Some(at) = looked_at[from..].iter().position(|b| *b == b'\n').map(|at| from + at) else {
            return if input.len() >= MAX_HEAD { Err(ParseError::HeadTooLong) } else { Ok(None) };
        };
        if at == 0 || looked_at[at - 1] != b'\r' {
            return Err(ParseError::InvalidLineEnding);
        }
        if at == from + 1 && from > 0 {
            break at + 1;
        }
        if from > 0 && matches!(looked_at[from], b' ' | b'\t') {
            return Err(ParseError::FoldedHeader);
        }
        from = at + 1;
    };
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Response::new(&mut fields);
    match parsed.parse(&looked_at[..end]) {
        Ok(httparse::Status::Complete(_)) => {}
        Err(httparse::Error::TooManyHeaders) => return Err(ParseError::HeadTooLong),
        Ok(httparse::Status::Partial) | Err(_) => return Err(ParseError::InvalidHead("an answer's head")),
    }
    let status = parsed
        .code
        .and_then(|c| StatusCode::from_u16(c).ok())
        .ok_or(ParseError::InvalidHead("the status"))?;
    let version = parsed.version.ok_or(ParseError::InvalidHead("the version"))?;
    let mut headers = HeaderMap::with_capacity(parsed.headers.len());
    for field in parsed.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes())
            .map_err(|_| ParseError::InvalidHead("a field's name"))?;
        let value =
            HeaderValue::from_bytes(field.value).map_err(|_| ParseError::InvalidHead("a field's value"))?;
        headers.append(name, value);
    }
    input.advance(end);
    Ok(Some((version, status, headers)))
}

/// RFC 9112, 6.3, without its lenient cases.
fn framing(
    method: &Method,
    version: u8,
    status: StatusCode,
    headers: &HeaderMap,
) -> Result<Framing, ParseError> {
    let values = |name| headers.get_all(name).into_iter().map(|v: &HeaderValue| v.as_bytes());
    let length = stated_length(values(header::CONTENT_LENGTH))?;
    let chunked = is_chunked(values(header::TRANSFER_ENCODING))?;
    if chunked && (length.is_some() || version == 0) {
        return Err(ParseError::InvalidLength);
    }
    let bodiless = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&status);
    Ok(match (chunked, length) {
        _ if *method == Method::HEAD || bodiless => Framing::None,
        (true, _) => Framing::Chunked,
        (false, Some(length)) => Framing::Length(length),
        (false, None) => Framing::UntilClose,
    })
}
