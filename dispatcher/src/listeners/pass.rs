//! Requests that pass to plain HTTP workers as they are: any method and path, bodies as they come.

use super::connection_slots::{ConnectionSlot, Stage};
use super::http::{plain, refused, HttpListener, Passes, BUSY_RETRY};
use crate::body::{Body, Reader, StreamEnd, Upload, Writer};
use crate::config::{PassingRoute, Route};
use crate::flow::{Answer, OpenError};
use crate::targets::upstream::RequestContext;
use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::{header as actix_header, HttpMessage, Request, Response, StatusCode};
use bytes::Bytes;
use futures_util::StreamExt;
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use lineroute_http1::{strip_hop_by_hop_headers, Framing, RequestHead, ResponseHead};
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;

/// The body of an answer that passes. One that breaks off ends the connection: the client can tell.
struct PassingBody {
    reader: Reader,
    size: BodySize,
    broken: bool,
    slot: Option<Rc<ConnectionSlot>>,
}

impl Drop for PassingBody {
    fn drop(&mut self) {
        // The answer has gone out, or never will.
        self.slot.iter().for_each(|slot| slot.set(Stage::Idle));
    }
}

impl MessageBody for PassingBody {
    type Error = io::Error;

    fn size(&self) -> BodySize {
        self.size
    }

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, io::Error>>> {
        let next = self.reader.poll_next(cx);
        if next == Poll::Ready(Err(StreamEnd::Truncated)) && !std::mem::replace(&mut self.broken, true) {
            // The server writes what it has when it is told to wait, and throws it away at an error.
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        next.map(|next| match next {
            Ok(bytes) => Some(Ok(bytes)),
            Err(StreamEnd::Complete) => None,
            Err(StreamEnd::Truncated) => Some(Err(io::ErrorKind::ConnectionAborted.into())),
        })
    }
}

impl HttpListener {
    /// Hands a request on and passes its answer.
    pub(super) async fn pass(
        &self,
        mut request: Request,
        route: &Route,
        passing: &PassingRoute,
        slot: Option<Rc<ConnectionSlot>>,
    ) -> Response<BoxBody> {
        let text = |status, words| plain(status, words).map_into_boxed_body();
        let (mut job, budget) = match self.read_head(&request, route) {
            Ok(read) => read,
            Err(reason) => return text(StatusCode::BAD_REQUEST, reason),
        };
        let arrived = slot.as_deref().map_or_else(Instant::now, ConnectionSlot::arrived);
        let Some(head) = asked_head(&request) else {
            return text(StatusCode::BAD_REQUEST, "the request can't be passed on\n");
        };
        let field = |name| request.headers().get(name).and_then(|v| v.to_str().ok());
        let length = field(actix_header::CONTENT_LENGTH).and_then(|l| l.trim().parse::<u64>().ok());
        let has_body = length.is_some_and(|l| l > 0) || field(actix_header::TRANSFER_ENCODING).is_some();
        if length.is_some_and(|l| l > passing.max_body) {
            return text(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n");
        }
        if self.phase.is_shut() {
            return refused(BUSY_RETRY).map_into_boxed_body();
        }
        let Some(answer) = self.budgets.stream() else { return refused(BUSY_RETRY).map_into_boxed_body() };
        let too_large = Rc::new(Cell::new(false));
        if has_body && passing.stream {
            let Some((writer, reader)) = self.budgets.stream() else {
                return refused(BUSY_RETRY).map_into_boxed_body();
            };
            if let Some(slot) = &slot {
                slot.set(Stage::Streaming);
            }
            job.body = Body::Stream(Upload::new(reader, passing.replay));
            let pump =
                Pump { writer, slot: slot.clone(), left: passing.max_body, too_large: too_large.clone() };
            actix_rt::spawn(pump.run(request.take_payload()));
        } else {
            match super::http::body(&mut request, slot.as_deref()).await {
                Ok(body) if body.len() as u64 > passing.max_body => {
                    return text(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n")
                }
                Ok(body) => job.body = Body::Buffered(body),
                Err(status) => return text(status, "no body could be read\n"),
            }
        }
        // Its body may have come when no more is taken: nobody would wait for its answer.
        let Ok(permit) = self.start_permit(&job.reference, slot.as_deref()) else {
            return refused(BUSY_RETRY).map_into_boxed_body();
        };
        let method = head.method.clone();
        let client = request.peer_addr().map(|p| p.ip());
        let answer = RefCell::new(Some(answer));
        job.protocol_data =
            Some(Rc::new(RequestContext { head, client, length, pace: passing.pace, answer }));
        let budget = budget.saturating_sub(arrived.elapsed());
        match self.take(job, budget, permit).await {
            Err(OpenError::Full) => refused(BUSY_RETRY).map_into_boxed_body(),
            Err(OpenError::Duplicate) => text(StatusCode::CONFLICT, "this id is in work\n"),
            Ok(Some(Answer::Passing(passed))) => match passed.head.downcast::<ResponseHead>() {
                Ok(head) => passed_on(*head, passed.body, &method, slot),
                Err(_) => text(StatusCode::BAD_GATEWAY, "the answer can't be passed on\n"),
            },
            Ok(Some(Answer::Served(result))) => {
                Response::with_body(StatusCode::OK, result).map_into_boxed_body()
            }
            Ok(Some(Answer::Refused(after))) => refused(after).map_into_boxed_body(),
            Ok(Some(Answer::Failed) | None) if too_large.get() => {
                text(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n")
            }
            Ok(Some(Answer::Failed) | None) => text(StatusCode::GATEWAY_TIMEOUT, "the job was not done\n"),
        }
    }
}

/// The request as the upstream is to see it, before what the proxy changes.
fn asked_head(request: &Request) -> Option<RequestHead> {
    let mut headers = HeaderMap::new();
    for (name, value) in request.headers() {
        let name = HeaderName::from_bytes(name.as_str().as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(value.as_bytes()).ok()?);
    }
    let method = Method::from_bytes(request.method().as_str().as_bytes()).ok()?;
    let target = request.uri().path_and_query().map_or("/".into(), |p| p.as_str().to_owned());
    Some(RequestHead { method, target, headers })
}

fn passed_on(
    head: ResponseHead,
    reader: Reader,
    method: &Method,
    slot: Option<Rc<ConnectionSlot>>,
) -> Response<BoxBody> {
    let ResponseHead { status, mut headers, framing } = head;
    let stated = headers.get("content-length").and_then(|v| v.to_str().ok()?.parse().ok());
    strip_hop_by_hop_headers(&mut headers);
    let size = match (framing, stated) {
        (Framing::Length(length), _) => BodySize::Sized(length),
        (Framing::None, Some(length)) if *method == Method::HEAD => BodySize::Sized(length),
        (Framing::None, _) => BodySize::None,
        (Framing::Chunked | Framing::UntilClose, _) => BodySize::Stream,
    };
    let status = StatusCode::from_u16(status.as_u16()).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::with_body(status, PassingBody { reader, size, broken: false, slot });
    for (name, value) in &headers {
        let name = actix_header::HeaderName::from_bytes(name.as_str().as_bytes());
        let value = actix_header::HeaderValue::from_bytes(value.as_bytes());
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    response.extensions_mut().insert(Passes);
    response.map_into_boxed_body()
}

/// Brings a client's body into its stream, as there is room.
struct Pump {
    writer: Writer,
    slot: Option<Rc<ConnectionSlot>>,
    left: u64,
    too_large: Rc<Cell<bool>>,
}

impl Pump {
    /// Ends with the body, or when nobody reads it any more. Dropped before, it breaks the stream off.
    async fn run(mut self, mut payload: actix_http::Payload) {
        let ended = loop {
            if self.writer.room().await.is_none() {
                break StreamEnd::Truncated;
            }
            match payload.next().await {
                Some(Ok(chunk)) if chunk.len() as u64 <= self.left => {
                    self.left -= chunk.len() as u64;
                    self.writer.push(chunk);
                }
                Some(Ok(_)) => {
                    self.too_large.set(true);
                    break StreamEnd::Truncated;
                }
                Some(Err(_)) => break StreamEnd::Truncated,
                None => break StreamEnd::Complete,
            }
        };
        self.writer.end(ended);
        if let Some(slot) =
            self.slot.filter(|slot| ended == StreamEnd::Complete && slot.stage() == Stage::Streaming)
        {
            slot.set(Stage::InWork);
        }
    }
}
