//! The bodies of large responses, which are handed to the HTTP server in pieces.

use super::connection_slots::{ConnectionSlot, Stage};
use super::http::StreamedBody;
use crate::pieces::{Pieces, PIECE_BYTES};
use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::Response;
use bytes::Bytes;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

/// The rest of a body, and the connection that it is sent on.
struct PiecewiseBody {
    rest: Pieces,
    slot: Rc<ConnectionSlot>,
}

impl Drop for PiecewiseBody {
    fn drop(&mut self) {
        self.slot.response_ended();
        self.slot.set_stage(Stage::Idle);
    }
}

impl MessageBody for PiecewiseBody {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        self.rest.size()
    }

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Infallible>>> {
        ready!(self.slot.poll_response_room(cx));
        self.slot.response_progressed(self.rest.0.len());
        let piece = self.rest.take_next();
        self.slot.response_bytes_given(piece.as_ref().map_or(0, Bytes::len));
        Poll::Ready(piece.map(Ok))
    }
}

/// Prepares a response for a connection, which becomes idle once the last piece has been handed over.
pub(super) fn in_pieces(response: Response<Bytes>, slot: Option<&Rc<ConnectionSlot>>) -> Response<BoxBody> {
    let Some(slot) = slot.filter(|_| response.body().len() > PIECE_BYTES) else {
        return response.map_into_boxed_body();
    };
    slot.response_progressed(response.body().len());
    let piecewise = |_: &mut _, rest| PiecewiseBody { rest: Pieces(rest), slot: slot.clone() };
    let mut response = response.map_body(piecewise).map_into_boxed_body();
    response.extensions_mut().insert(StreamedBody);
    response
}
