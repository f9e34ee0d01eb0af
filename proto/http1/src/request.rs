//! Requests as they go to an upstream.

use crate::body::{write_fields, Framing};
use crate::ParseError;
use http::{header, HeaderMap, Method};

/// What is asked for.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The method.
    pub method: Method,
    /// Path and query, as they stand in the first line.
    pub target: String,
    /// The fields, without those of framing and of the connection.
    pub headers: HeaderMap,
}

impl RequestHead {
    /// The bytes of the head, with the field that its body's framing needs.
    ///
    /// # Errors
    /// The target can't stand in a first line, or the framing can't be a request's.
    pub fn encode(&self, framing: Framing) -> Result<Vec<u8>, ParseError> {
        let plain = |b: u8| b.is_ascii_graphic();
        if !self.target.starts_with('/') && self.target != "*" || !self.target.bytes().all(plain) {
            return Err(ParseError::InvalidHead("the target"));
        }
        let mut out = Vec::with_capacity(256);
        out.extend_from_slice(self.method.as_str().as_bytes());
        out.push(b' ');
        out.extend_from_slice(self.target.as_bytes());
        out.extend_from_slice(b" HTTP/1.1\r\n");
        // Guards against a second word on the length, whoever set it.
        let own =
            |name: &header::HeaderName| *name == header::CONTENT_LENGTH || *name == header::TRANSFER_ENCODING;
        write_fields(self.headers.iter().filter(|(name, _)| !own(name)), &mut out);
        match framing {
            // A method that usually has a body says that there is none.
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
