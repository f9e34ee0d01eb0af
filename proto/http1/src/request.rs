//! Encoding of requests to an upstream.

use crate::body::{write_fields, Framing};
use crate::ParseError;
use http::{header, HeaderMap, Method};

/// The head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The method.
    pub method: Method,
    /// Path and query, as sent in the request line.
    pub target: String,
    /// The header fields, without framing and connection fields.
    pub headers: HeaderMap,
}

impl RequestHead {
    /// Encodes the head, including the header field required by the body's framing.
    ///
    /// # Errors
    /// The target is invalid in a request line, or the framing is invalid for a request.
    pub fn encode(&self, framing: Framing) -> Result<Vec<u8>, ParseError> {
        let is_allowed = |b: u8| b.is_ascii_graphic();
        if !self.target.starts_with('/') && self.target != "*" || !self.target.bytes().all(is_allowed) {
            return Err(ParseError::InvalidHead("invalid request target"));
        }
        let mut out = Vec::with_capacity(256);
        out.extend_from_slice(self.method.as_str().as_bytes());
        out.push(b' ');
        out.extend_from_slice(self.target.as_bytes());
        out.extend_from_slice(b" HTTP/1.1\r\n");
        // Prevents a second, contradictory declaration of the body length, whatever its origin.
        let is_framing_field =
            |name: &header::HeaderName| *name == header::CONTENT_LENGTH || *name == header::TRANSFER_ENCODING;
        write_fields(self.headers.iter().filter(|(name, _)| !is_framing_field(name)), &mut out);
        match framing {
            // A method that usually has a body declares its absence explicitly.
            Framing::None if [Method::POST, Method::PUT, Method::PATCH].contains(&self.method) => {
                out.extend_from_slice(b"content-length: 0\r\n");
            }
            Framing::None => {}
            Framing::Length(length) => {
                out.extend_from_slice(format!("content-length: {length}\r\n").as_bytes())
            }
            Framing::Chunked => out.extend_from_slice(b"transfer-encoding: chunked\r\n"),
            Framing::UntilClose => return Err(ParseError::InvalidLength),
        }
        out.extend_from_slice(b"\r\n");
        Ok(out)
    }
}
