//! Proxying of requests to plain HTTP workers: any method and path, with bodies forwarded unchanged.

use super::connection_slots::{ConnectionSlot, Stage};
use super::http::{text_response, unavailable, HttpListener, StreamedBody, BUSY_RETRY_AFTER};
use super::request_body::{read_body, Sender};
use super::response_body::in_pieces;
use crate::body::{Body, Reader, StreamEnd, Upload, Writer};
use crate::config::{ProxyRoute, Route};
use crate::flow::{Answer, OpenError};
use crate::targets::upstream::RequestContext;
use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::{header as actix_header, HttpMessage, Request, Response, StatusCode};
use bytes::Bytes;
use futures_util::{FutureExt, StreamExt};
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use lineroute_http1::{strip_hop_by_hop_headers, Framing, RequestHead, ResponseHead};
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Instant;

/// Body of a proxied response. If it breaks off, the connection is closed, so that the client can tell it is incomplete.
struct ProxiedBody {
    reader: Reader,
    size: BodySize,
    broken: bool,
    slot: Option<Rc<ConnectionSlot>>,
}

impl Drop for ProxiedBody {
    fn drop(&mut self) {
        // The response is complete, or can't be completed any more.
        self.slot.iter().for_each(|slot| slot.set_stage(Stage::Idle));
    }
}

impl MessageBody for ProxiedBody {
    type Error = io::Error;

    fn size(&self) -> BodySize {
        self.size
    }

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, io::Error>>> {
        if let Some(slot) = &self.slot {
            ready!(slot.poll_response_room(cx));
        }
        let next = self.reader.poll_next(cx);
        if let (Some(slot), Poll::Ready(Ok(bytes))) = (&self.slot, &next) {
            slot.response_bytes_given(bytes.len());
        }
        if next == Poll::Ready(Err(StreamEnd::Truncated)) && !std::mem::replace(&mut self.broken, true) {
            // On `Pending` the server flushes its buffer; on an error it discards it. So the first poll after the break
            // returns `Pending`, and the error is reported with the next.
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
    /// Forwards a request to a worker and streams the worker's response back.
    pub(super) async fn pass(
        &self,
        mut request: Request,
        route: &Route,
        proxy: &ProxyRoute,
        slot: Option<Rc<ConnectionSlot>>,
    ) -> Response<BoxBody> {
        let text = |status, words| text_response(status, words).map_into_boxed_body();
        let (mut job, budget) = match self.read_head(&request, route) {
            Ok(read) => read,
            Err(reason) => return text(StatusCode::BAD_REQUEST, reason),
        };
        let arrived = slot.as_deref().map_or_else(Instant::now, ConnectionSlot::arrived);
        let Some(head) = request_head(&request) else {
            return text(StatusCode::BAD_REQUEST, "the request can't be passed on\n");
        };
        let field = |name| request.headers().get(name).and_then(|v| v.to_str().ok());
        let length = field(actix_header::CONTENT_LENGTH).and_then(|l| l.trim().parse::<u64>().ok());
        let has_body = length.is_some_and(|l| l > 0) || field(actix_header::TRANSFER_ENCODING).is_some();
        if length.is_some_and(|l| l > proxy.max_body) {
            return text(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n");
        }
        if self.lifecycle.is_stopping() {
            return unavailable(BUSY_RETRY_AFTER).map_into_boxed_body();
        }
        let Some(answer) = self.budgets.stream() else {
            return unavailable(BUSY_RETRY_AFTER).map_into_boxed_body();
        };
        let too_large = Rc::new(Cell::new(false));
        if has_body && proxy.stream {
            let Some((writer, reader)) = self.budgets.stream() else {
                return unavailable(BUSY_RETRY_AFTER).map_into_boxed_body();
            };
            if let Some(slot) = &slot {
                slot.set_stage(Stage::Streaming);
            }
            job.body = Body::Stream(Upload::new(reader, proxy.max_replay_bytes));
            let pump = BodyPump {
                writer,
                slot: slot.clone(),
                declared_left: length,
                left: proxy.max_body,
                too_large: too_large.clone(),
            };
            actix_rt::spawn(pump.run(request.take_payload()));
        } else {
            match read_body(&mut request, slot.as_deref(), &self.memory, Sender::Client).await {
                Ok(body) if body.len() as u64 > proxy.max_body => {
                    return text(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n")
                }
                Ok(body) => job.body = Body::Buffered(body.freeze()),
                Err(error) => return error.response().map_into_boxed_body(),
            }
        }
        // While the body was read the process may have begun to stop, or the client may have left.
        let Ok(permit) = self.start_permit(&job.reference, slot.as_deref()) else {
            return unavailable(BUSY_RETRY_AFTER).map_into_boxed_body();
        };
        let method = head.method.clone();
        let client = request.peer_addr().map(|p| p.ip());
        let answer = RefCell::new(Some(answer));
        job.protocol_data =
            Some(Rc::new(RequestContext { head, client, length, pace: proxy.progress_limits, answer }));
        let budget = budget.saturating_sub(arrived.elapsed());
        match self.take(job, budget, permit).await {
            Err(OpenError::Full | OpenError::ReferenceUnverified) => {
                unavailable(BUSY_RETRY_AFTER).map_into_boxed_body()
            }
            Err(OpenError::Duplicate) => text(StatusCode::CONFLICT, "this id is in work\n"),
            Ok(Some(Answer::Passing(passed))) => match passed.head.downcast::<ResponseHead>() {
                Ok(head) => proxied_response(*head, passed.body, &method, slot),
                Err(_) => text(StatusCode::BAD_GATEWAY, "the answer can't be passed on\n"),
            },
            Ok(Some(Answer::Served(result))) => {
                in_pieces(Response::with_body(StatusCode::OK, result), slot.as_ref())
            }
            Ok(Some(Answer::Refused(after))) => unavailable(after).map_into_boxed_body(),
            Ok(Some(Answer::Failed) | None) if too_large.get() => {
                text(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n")
            }
            Ok(Some(Answer::Failed) | None) => text(StatusCode::GATEWAY_TIMEOUT, "the job was not done\n"),
        }
    }
}

/// The head of the request to forward, before the proxy changes any headers.
fn request_head(request: &Request) -> Option<RequestHead> {
    let mut headers = HeaderMap::new();
    for (name, value) in request.headers() {
        let name = HeaderName::from_bytes(name.as_str().as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(value.as_bytes()).ok()?);
    }
    let method = Method::from_bytes(request.method().as_str().as_bytes()).ok()?;
    let target = request.uri().path_and_query().map_or("/".into(), |p| p.as_str().to_owned());
    Some(RequestHead { method, target, headers })
}

fn proxied_response(
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
    let mut response = Response::with_body(status, ProxiedBody { reader, size, broken: false, slot });
    for (name, value) in &headers {
        let name = actix_header::HeaderName::from_bytes(name.as_str().as_bytes());
        let value = actix_header::HeaderValue::from_bytes(value.as_bytes());
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    response.extensions_mut().insert(StreamedBody);
    response.map_into_boxed_body()
}

/// Copies a client's body into its stream, as fast as the stream has room.
struct BodyPump {
    writer: Writer,
    slot: Option<Rc<ConnectionSlot>>,
    /// Bytes of the declared length that were not received; `None` if no length was declared.
    declared_left: Option<u64>,
    /// Bytes that may still be received.
    left: u64,
    too_large: Rc<Cell<bool>>,
}

impl BodyPump {
    /// Waits for room in the stream; `None` if nobody reads it any more. Until there is some, nothing is read from the connection.
    async fn room(&self) -> Option<usize> {
        if let Some(room) = self.writer.room().now_or_never() {
            return room;
        }
        self.slot.iter().for_each(|slot| slot.pause_reads(true));
        let room = self.writer.room().await;
        self.slot.iter().for_each(|slot| slot.pause_reads(false));
        room
    }

    /// Returns at the end of the body, or when nobody reads the stream any more. Dropped earlier, it marks the stream as broken.
    async fn run(mut self, mut payload: actix_http::Payload) {
        let mut last_chunk = 0;
        let ended = loop {
            let Some(room) = self.room().await else { break StreamEnd::Truncated };
            self.slot.iter().for_each(|slot| slot.limit_body_reads(self.declared_left, last_chunk, room));
            match payload.next().await {
                Some(Ok(chunk)) if chunk.len() as u64 <= self.left => {
                    last_chunk = chunk.len();
                    self.left -= last_chunk as u64;
                    self.declared_left =
                        self.declared_left.map(|left| left.saturating_sub(last_chunk as u64));
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
            slot.set_stage(Stage::Processing);
        }
    }
}
