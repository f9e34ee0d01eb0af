//! Decoding of responses from an upstream.

use crate::body::{BodyDecoder, BodyPart, Framing};
use crate::{declared_length, is_chunked, ParseError, MAX_FIELDS, MAX_HEAD};
use bytes::{Buf, Bytes, BytesMut};
use http::{header, HeaderMap, HeaderName, HeaderValue, Method, StatusCode};

/// The head of a response.
#[derive(Clone, Debug, PartialEq)]
pub struct ResponseHead {
    /// The status code.
    pub status: StatusCode,
    /// All header fields as received.
    pub headers: HeaderMap,
    /// How the body is delimited.
    pub framing: Framing,
}

/// An event decoded from a response.
#[derive(Clone, Debug, PartialEq)]
pub enum ResponseEvent {
    /// An interim response such as 100 or 103; the final response follows.
    Interim(StatusCode),
    /// The head of the final response.
    Head(ResponseHead),
    /// Content of the body.
    Data(Bytes),
    /// The trailer fields after the last chunk.
    Trailers(HeaderMap),
    /// The response is complete.
    End {
        /// Whether the response allows another request on the connection.
        reusable: bool,
    },
}

/// Decodes the response to one request.
#[derive(Clone, Debug)]
pub struct ResponseDecoder {
    method: Method,
    body: Option<BodyDecoder>,
    keep_alive: bool,
    interim_count: u32,
}

/// The maximum number of interim responses before the final one.
const MAX_INTERIM_RESPONSES: u32 = 16;

impl ResponseDecoder {
    /// Creates a decoder for the response to a request with this method.
    pub fn new(method: Method) -> ResponseDecoder {
        ResponseDecoder { method, body: None, keep_alive: true, interim_count: 0 }
    }

    /// Whether the head of the final response has been decoded.
    pub fn has_head(&self) -> bool {
        self.body.is_some()
    }

    /// Whether the response is complete.
    pub fn is_finished(&self) -> bool {
        self.body.as_ref().is_some_and(BodyDecoder::is_finished)
    }

    /// Removes the next event from `input`. `None` means that more bytes are needed, or that the response is complete.
    ///
    /// # Errors
    /// The bytes are not a valid response; the connection can't be used any longer.
    pub fn next(&mut self, input: &mut BytesMut) -> Result<Option<ResponseEvent>, ParseError> {
        if let Some(body) = &mut self.body {
            let part = body.next(input)?;
            return Ok(part.map(|part| self.event(part, input)));
        }
        let Some((version, status, headers)) = parse_head(input)? else { return Ok(None) };
        if status.is_informational() {
            self.interim_count += 1;
            // This proxy never requests a protocol upgrade.
            if status == StatusCode::SWITCHING_PROTOCOLS || self.interim_count > MAX_INTERIM_RESPONSES {
                return Err(ParseError::InvalidHead("unexpected interim response"));
            }
            return Ok(Some(ResponseEvent::Interim(status)));
        }
        let framing = response_framing(&self.method, version, status, &headers)?;
        let has_connection_option = |option: &[u8]| {
            let values = headers.get_all(header::CONNECTION).into_iter();
            values
                .flat_map(|v| v.as_bytes().split(|b| *b == b','))
                .any(|w| w.trim_ascii().eq_ignore_ascii_case(option))
        };
        self.keep_alive = (if version == 1 {
            !has_connection_option(b"close")
        } else {
            has_connection_option(b"keep-alive")
        }) && framing != Framing::UntilClose;
        self.body = Some(BodyDecoder::new(framing, true));
        Ok(Some(ResponseEvent::Head(ResponseHead { status, headers, framing })))
    }

    /// Signals that the connection was closed.
    ///
    /// # Errors
    /// The response was not complete.
    pub fn eof(&mut self) -> Result<Option<ResponseEvent>, ParseError> {
        self.keep_alive = false;
        match &mut self.body {
            None => Err(ParseError::Truncated),
            Some(body) => Ok(body.eof()?.map(|_| ResponseEvent::End { reusable: false })),
        }
    }

    fn event(&self, part: BodyPart, rest: &BytesMut) -> ResponseEvent {
        match part {
            BodyPart::Data(data) => ResponseEvent::Data(data),
            BodyPart::Trailers(fields) => ResponseEvent::Trailers(fields),
            // Bytes after the response belong to no request sent on this connection.
            BodyPart::End => ResponseEvent::End { reusable: self.keep_alive && rest.is_empty() },
        }
    }
}

type Head = (u8, StatusCode, HeaderMap);

/// Removes a complete head from `input`.
fn parse_head(input: &mut BytesMut) -> Result<Option<Head>, ParseError> {
    let searched = &input[..input.len().min(MAX_HEAD)];
    // Checks line by line, since httparse accepts a bare LF as a line ending.
    let mut line_start = 0;
    let end = loop {
        let Some(line_end) =
            searched[line_start..].iter().position(|b| *b == b'\n').map(|line_end| line_start + line_end)
        else {
            return if input.len() >= MAX_HEAD { Err(ParseError::HeadTooLong) } else { Ok(None) };
        };
        if line_end == 0 || searched[line_end - 1] != b'\r' {
            return Err(ParseError::InvalidLineEnding);
        }
        if line_end == line_start + 1 && line_start > 0 {
            break line_end + 1;
        }
        if line_start > 0 && matches!(searched[line_start], b' ' | b'\t') {
            return Err(ParseError::FoldedHeader);
        }
        line_start = line_end + 1;
    };
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Response::new(&mut fields);
    match parsed.parse(&searched[..end]) {
        Ok(httparse::Status::Complete(_)) => {}
        Err(httparse::Error::TooManyHeaders) => return Err(ParseError::HeadTooLong),
        Ok(httparse::Status::Partial) | Err(_) => return Err(ParseError::InvalidHead("invalid response")),
    }
    let status = parsed
        .code
        .and_then(|c| StatusCode::from_u16(c).ok())
        .ok_or(ParseError::InvalidHead("invalid status code"))?;
    let version = parsed.version.ok_or(ParseError::InvalidHead("invalid HTTP version"))?;
    let mut headers = HeaderMap::with_capacity(parsed.headers.len());
    for field in parsed.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes())
            .map_err(|_| ParseError::InvalidHead("invalid field name"))?;
        let value = HeaderValue::from_bytes(field.value)
            .map_err(|_| ParseError::InvalidHead("invalid field value"))?;
        headers.append(name, value);
    }
    input.advance(end);
    Ok(Some((version, status, headers)))
}

/// Determines the framing according to RFC 9112, section 6.3, without its lenient cases.
fn response_framing(
    method: &Method,
    version: u8,
    status: StatusCode,
    headers: &HeaderMap,
) -> Result<Framing, ParseError> {
    let values = |name| headers.get_all(name).into_iter().map(|v: &HeaderValue| v.as_bytes());
    let length = declared_length(values(header::CONTENT_LENGTH))?;
    let chunked = is_chunked(values(header::TRANSFER_ENCODING))?;
    if chunked && (length.is_some() || version == 0) {
        return Err(ParseError::InvalidLength);
    }
    let has_no_body = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&status);
    Ok(match (chunked, length) {
        _ if *method == Method::HEAD || has_no_body => Framing::None,
        (true, _) => Framing::Chunked,
        (false, Some(length)) => Framing::Length(length),
        (false, None) => Framing::UntilClose,
    })
}
