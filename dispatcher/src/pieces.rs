//! A body that the HTTP library gets in pieces. It copies what it sends into a buffer of its own; of a body that comes whole it would
//! hold a second copy for as long as the peer does not read.

use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Size of the pieces in bytes. Smaller bodies are sent whole.
pub const PIECE_BYTES: usize = 8 << 10;

/// The rest of a body.
pub struct Pieces(pub Bytes);

impl Pieces {
    /// Takes the next piece; `None` at the end.
    pub fn take_next(&mut self) -> Option<Bytes> {
        let size = PIECE_BYTES.min(self.0.len());
        (size > 0).then(|| self.0.split_to(size))
    }
}

impl MessageBody for Pieces {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.0.len() as u64)
    }

    fn poll_next(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Option<Result<Bytes, Infallible>>> {
        Poll::Ready(self.take_next().map(Ok))
    }
}
