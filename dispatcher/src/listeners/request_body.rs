//! Reading the bodies of HTTP requests into leased memory.

use super::connection_slots::{ConnectionSlot, Stage, REQUEST_TIMEOUT};
use super::http::{text_response, unavailable, BUSY_RETRY_AFTER};
use crate::memory::{LeasedBuffer, MemoryBudget, Purpose, SMALL_REQUEST_BYTES, WAIT_TIMEOUT};
use actix_http::{header, HttpMessage, Request, Response, StatusCode};
use bytes::Bytes;
use futures_util::StreamExt;
use std::time::{Duration, Instant};

/// The largest request body that is accepted.
pub const MAX_BODY: usize = 64 << 10;
/// How long to read the body of a request that is rejected by its head: the body is usually in transit already.
const REJECTED_BODY_TIMEOUT: Duration = Duration::from_millis(250);

/// Who sends a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Sender {
    Client,
    /// A caller at the path for workers' calls.
    Worker,
}

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyError {
    TooLarge,
    /// It did not arrive in time.
    Late,
    /// Its framing is invalid, or the connection ended.
    Broken,
    /// No memory became free for it in time.
    NoMemory,
}

impl BodyError {
    /// The response to the request.
    pub(super) fn response(self) -> Response<Bytes> {
        let status = match self {
            BodyError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            BodyError::Late => StatusCode::REQUEST_TIMEOUT,
            BodyError::Broken => StatusCode::BAD_REQUEST,
            BodyError::NoMemory => return unavailable(BUSY_RETRY_AFTER),
        };
        text_response(status, "no body could be read\n")
    }
}

/// Reads the whole body and marks the request as being processed. A body that is declared too long is not read at all.
pub(super) async fn read_body(
    request: &mut Request,
    slot: Option<&ConnectionSlot>,
    memory: &MemoryBudget,
    sender: Sender,
) -> Result<LeasedBuffer, BodyError> {
    let declared = declared_length(request);
    if declared.is_some_and(|length| length > MAX_BODY as u64) {
        return Err(BodyError::TooLarge);
    }
    slot.into_iter().for_each(|s| s.set_stage(Stage::Body));
    let mut payload = request.take_payload();
    let by = slot.map_or_else(|| Instant::now() + REQUEST_TIMEOUT, ConnectionSlot::receive_deadline);
    let mut body = LeasedBuffer::default();
    let read = async {
        let first = declared.map_or(SMALL_REQUEST_BYTES, |length| length as usize);
        lease(&mut body, first, slot, memory, sender).await?;
        slot.into_iter().for_each(|slot| slot.limit_body_reads(declared, 0, body.leased()));
        while let Some(chunk) = payload.next().await {
            let chunk = chunk.map_err(|_| BodyError::Broken)?;
            let length = body.len() + chunk.len();
            let left = declared.map(|declared| declared.saturating_sub(length as u64));
            if length > MAX_BODY {
                return Err(BodyError::TooLarge);
            }
            if let Some(bytes) = body.missing_room(None, length, MAX_BODY) {
                lease(&mut body, bytes, slot, memory, sender).await?;
            }
            body.push(&chunk);
            let room = body.leased() - body.len();
            slot.into_iter().for_each(|slot| slot.limit_body_reads(left, chunk.len(), room));
        }
        Ok(())
    };
    // If this future is dropped, the lease is returned with the buffer.
    tokio::time::timeout_at(by.into(), read).await.unwrap_or(Err(BodyError::Late))?;
    slot.into_iter().for_each(|s| {
        s.set_leased(0);
        s.set_stage(Stage::Processing);
    });
    Ok(body)
}

/// Adds room for `bytes` bytes to a body. Nothing is read from the connection while it waits for memory.
async fn lease(
    body: &mut LeasedBuffer,
    bytes: usize,
    slot: Option<&ConnectionSlot>,
    memory: &MemoryBudget,
    sender: Sender,
) -> Result<(), BodyError> {
    if bytes == 0 {
        return Ok(());
    }
    let purpose = match sender {
        Sender::Client => Purpose::of_request(body.leased() + bytes),
        Sender::Worker => Purpose::Worker,
    };
    let leased = match memory.try_lease(bytes, purpose) {
        Some(leased) => leased,
        None => {
            slot.into_iter().for_each(|s| s.set_stage(Stage::AwaitingMemory));
            let leased = tokio::time::timeout(WAIT_TIMEOUT, memory.lease(bytes, purpose)).await;
            slot.into_iter().for_each(|s| s.set_stage(Stage::Body));
            leased.map_err(|_| BodyError::NoMemory)?
        }
    };
    body.extend_room(leased);
    slot.into_iter().for_each(|s| s.set_leased(body.leased()));
    Ok(())
}

/// Rejects a request by its head alone. Its body is read first, within bounds: the server closes a connection whose body was
/// not read, and requests that the client had sent after it would be lost unanswered.
pub(super) async fn reject(
    mut request: Request,
    slot: Option<&ConnectionSlot>,
    status: StatusCode,
    message: &'static str,
) -> Response<Bytes> {
    if declared_length(&request).is_none_or(|length| length <= MAX_BODY as u64) {
        slot.into_iter().for_each(|s| s.set_stage(Stage::Body));
        let mut payload = request.take_payload();
        let read = async {
            let mut count = 0;
            while let Some(Ok(chunk)) = payload.next().await {
                count += chunk.len();
                if count > MAX_BODY {
                    return;
                }
            }
        };
        // If the body is late or broken, the connection is closed after the response.
        let _ = tokio::time::timeout(REJECTED_BODY_TIMEOUT, read).await;
        slot.into_iter().for_each(|s| s.set_stage(Stage::Processing));
    }
    text_response(status, message)
}

/// The length that `Content-Length` declares; `None` for a body of unknown length or none.
fn declared_length(request: &Request) -> Option<u64> {
    request.headers().get(header::CONTENT_LENGTH).and_then(|length| length.to_str().ok()?.trim().parse().ok())
}
