//! Minimal HTTP/1.1 messages with `Content-Length` bodies for the stand-ins.

use std::io;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Maximum sizes of head and body, in bytes.
const MAX_HEAD: usize = 16 << 10;
const MAX_BODY: usize = 1 << 20;

/// A received request or response.
#[derive(Debug, Default)]
pub struct Message {
    /// Set for requests, as is `path`.
    pub method: String,
    pub path: String,
    /// Set for responses.
    pub status: u16,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// A numeric parameter of the query string.
    pub fn query(&self, name: &str) -> Option<u64> {
        let (_, query) = self.path.split_once('?')?;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads messages from one connection.
pub struct Reader<R> {
    from: R,
    bytes: Vec<u8>,
}

impl<R: AsyncRead + Unpin> Reader<R> {
    pub fn new(from: R) -> Self {
        Reader { from, bytes: Vec::new() }
    }

    async fn read_more(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 4096];
        let size = self.from.read(&mut chunk).await?;
        self.bytes.extend_from_slice(&chunk[..size]);
        Ok(size > 0)
    }

    /// Waits for the first bytes of the next message; false if the connection ends instead.
    ///
    /// # Errors
    /// The connection breaks.
    pub async fn begins(&mut self) -> io::Result<bool> {
        Ok(!self.bytes.is_empty() || self.read_more().await?)
    }

    /// Reads the next request; `None` if the connection ends before one.
    ///
    /// # Errors
    /// The connection breaks, or the data is not valid HTTP.
    pub async fn request(&mut self) -> io::Result<Option<Message>> {
        self.next(|bytes| {
            let mut fields = [httparse::EMPTY_HEADER; 64];
            let mut head = httparse::Request::new(&mut fields);
            let size = head.parse(bytes).map_err(invalid_data)?;
            let (method, path) = (head.method.unwrap_or(""), head.path.unwrap_or(""));
            Ok((size, Message { method: method.into(), path: path.into(), ..message(head.headers) }))
        })
        .await
    }

    /// Reads the next response; `None` if the connection ends before one.
    ///
    /// # Errors
    /// The connection breaks, or the data is not valid HTTP.
    pub async fn answer(&mut self) -> io::Result<Option<Message>> {
        self.next(|bytes| {
            let mut fields = [httparse::EMPTY_HEADER; 64];
            let mut head = httparse::Response::new(&mut fields);
            let size = head.parse(bytes).map_err(invalid_data)?;
            Ok((size, Message { status: head.code.unwrap_or(0), ..message(head.headers) }))
        })
        .await
    }

    async fn next(
        &mut self,
        parse: impl Fn(&[u8]) -> io::Result<(httparse::Status<usize>, Message)>,
    ) -> io::Result<Option<Message>> {
        loop {
            if let (httparse::Status::Complete(head), mut message) = parse(&self.bytes)? {
                let length = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0usize);
                if length > MAX_BODY {
                    return Err(invalid_data("body too large"));
                }
                while self.bytes.len() < head + length {
                    if !self.read_more().await? {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                }
                message.body = self.bytes[head..head + length].to_vec();
                self.bytes.drain(..head + length);
                return Ok(Some(message));
            }
            if self.bytes.len() > MAX_HEAD {
                return Err(invalid_data("head too large"));
            }
            let empty = self.bytes.is_empty();
            if !self.read_more().await? {
                return if empty { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
            }
        }
    }
}

fn message(fields: &[httparse::Header]) -> Message {
    let text = |h: &httparse::Header| (h.name.to_owned(), String::from_utf8_lossy(h.value).into_owned());
    Message { headers: fields.iter().map(text).collect(), ..Message::default() }
}

fn invalid_data(e: impl std::fmt::Display) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, e.to_string())
}

/// Writes a complete message; each line in `headers` ends in CRLF.
///
/// # Errors
/// The connection breaks.
pub async fn write(
    to: &mut (impl AsyncWrite + Unpin),
    first: &str,
    headers: &str,
    body: &[u8],
) -> io::Result<()> {
    let head = format!("{first}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    to.write_all(&bytes).await
}
