//! Adds a JSON body to the error responses that the HTTP library writes by itself for requests that it can't parse.
//!
//! Such requests never reach [`super::AdminListener`]: the library writes a status with an empty body and closes the
//! connection. Every
//! response of the admin listener has a body, so an empty one is the library's.

use super::api::Fault;
use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Header line of a response without a body.
const EMPTY_BODY: &[u8] = b"content-length: 0\r\n";
/// Bytes of a request that are kept to determine what was wrong with it.
const MAX_REQUEST_PREFIX: usize = 4 << 10;

/// A connection on which the library's own error responses get a body.
pub struct JsonErrorBodies<T> {
    io: T,
    /// The beginning of the request.
    call: Vec<u8>,
    /// A response was written. There is one request per connection, so the first bytes written are the beginning of its
    /// response.
    response_started: bool,
    /// The rest of the replacement response that is not written yet.
    replacement: Vec<u8>,
}

impl<T: AsyncRead + AsyncWrite + Unpin> JsonErrorBodies<T> {
    pub fn new(io: T) -> Self {
        JsonErrorBodies { io, call: Vec::new(), response_started: false, replacement: Vec::new() }
    }

    /// Writes the replacement response. If it is not polled to completion, only a part is written.
    fn poll_replacement(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.replacement.is_empty() {
            let written = ready!(Pin::new(&mut self.io).poll_write(cx, &self.replacement))?;
            if written == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            self.replacement.drain(..written);
        }
        Poll::Ready(Ok(()))
    }
}

impl<T: AsyncRead + AsyncWrite + Unpin> AsyncRead for JsonErrorBodies<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.io).poll_read(cx, buf))?;
        let room = MAX_REQUEST_PREFIX - self.call.len();
        let come = &buf.filled()[before..];
        self.call.extend_from_slice(&come[..come.len().min(room)]);
        Poll::Ready(Ok(()))
    }
}

impl<T: AsyncRead + AsyncWrite + Unpin> AsyncWrite for JsonErrorBodies<T> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        ready!(self.poll_replacement(cx))?;
        if std::mem::replace(&mut self.response_started, true) {
            return Pin::new(&mut self.io).poll_write(cx, bytes);
        }
        let Some(replacement) = with_json_body(bytes, &self.call) else {
            return Pin::new(&mut self.io).poll_write(cx, bytes);
        };
        self.replacement = replacement;
        // What is not written now goes out with the next write, flush or shutdown.
        if let Poll::Ready(Err(e)) = self.poll_replacement(cx) {
            return Poll::Ready(Err(e));
        }
        Poll::Ready(Ok(bytes.len()))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_replacement(cx))?;
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_replacement(cx))?;
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}

/// If these bytes are an error response without a body, returns one with a body. `call` is the beginning of the request.
fn with_json_body(answer: &[u8], call: &[u8]) -> Option<Vec<u8>> {
    let is_empty = answer.windows(EMPTY_BODY.len()).any(|bytes| bytes == EMPTY_BODY);
    let status_line = answer.split(|byte| *byte == b'\r').next().filter(|_| is_empty)?;
    let status_line = std::str::from_utf8(status_line).ok()?;
    let status = status_line.split(' ').nth(1)?;
    let body = serde_json::to_string(&describe_error(status, call)).ok()? + "\n";
    let head = format!(
        "{status_line}\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    Some((head + &body).into_bytes())
}

fn describe_error(status: &str, call: &[u8]) -> Fault {
    let (error, field) = match status {
        "400" if is_whole(call) && !has_host(call) => {
            ("the field is missing: HTTP/1.1 asks for it", Some("Host"))
        }
        "400" => ("the call can't be read as HTTP/1.1", None),
        "408" => ("the head did not come in time", None),
        "431" => ("the head is too large", None),
        _ => ("the call was refused", None),
    };
    Fault { error: error.into(), field: field.map(Into::into) }
}

/// Whether these bytes contain an HTTP/1.1 request line and the end of a head.
fn is_whole(call: &[u8]) -> bool {
    let first = call.split(|byte| *byte == b'\r').next().unwrap_or_default();
    first.ends_with(b"HTTP/1.1") && call.windows(4).any(|bytes| bytes == b"\r\n\r\n")
}

fn has_host(call: &[u8]) -> bool {
    const NAME: &[u8] = b"host:";
    let mut lines = call.split(|byte| *byte == b'\n');
    lines.any(|line| line.len() >= NAME.len() && line[..NAME.len()].eq_ignore_ascii_case(NAME))
}
