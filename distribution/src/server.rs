//! Serves requests from a replica within a byte budget.

use crate::budget::ByteBudget;
use crate::message::{DecodeError, Header, Message, Query, Reply, ReplyBody, Request, Service, Versions};
use crate::replica::Replica;
use crate::timing::Timing;
use crate::{Time, Token};
use std::time::Duration;

/// The burst capacity of the budget, in seconds of its rate.
const BURST_SECONDS: u32 = 1;
/// The inverse of the budget fraction reserved for changes. Requests for ranges are rejected once only this reserve
/// is left, so that many starting subscribers do not delay changes, which must take effect soon.
const CHANGES_RESERVE_DIVISOR: u32 = 4;

/// The lease under which a process serves, and the state of its replica.
#[derive(Clone, Copy, Debug)]
pub struct ServingContext {
    /// The token of the lease held at this moment; `None` if the process holds no lease.
    pub token: Option<Token>,
    /// The maximum age of the replica; `None` if there is no replica.
    pub age: Option<Duration>,
}

/// The server side of a source or a relay. It keeps no state per client.
#[derive(Clone, Debug)]
pub struct Server {
    service: Service,
    budget: ByteBudget,
    capacity: u32,
    versions: Versions,
    overhead: usize,
}

impl Server {
    /// Creates a server that sends at most this many bytes per second.
    pub fn new(
        service: Service,
        bytes_per_second: u32,
        versions: Versions,
        timing: &Timing,
        now: Time,
    ) -> Server {
        let capacity = bytes_per_second.saturating_mul(BURST_SECONDS);
        Server {
            service,
            budget: ByteBudget::new(bytes_per_second, capacity, now),
            capacity,
            versions,
            overhead: timing.message_overhead as usize,
        }
    }

    /// Returns the reply to a message, if the message is a request.
    pub fn serve(
        &mut self,
        now: Time,
        bytes: &[u8],
        replica: &Replica,
        context: ServingContext,
    ) -> Option<Vec<u8>> {
        let (header, request) = match Message::decode(bytes, self.versions) {
            Ok((header, Message::Request(request))) => (header, request),
            Ok(_) | Err(DecodeError::Length(_) | DecodeError::Payload) => return None,
            Err(DecodeError::Version(_) | DecodeError::Kind(_)) => {
                return self.unsupported_version_reply(bytes)
            }
        };
        let body = self.handle_request(now, request, replica, &context);
        let age_ms = context.age.map_or(u32::MAX, |age| u32::try_from(age.as_millis()).unwrap_or(u32::MAX));
        let reply = Reply { token: context.token.unwrap_or(0), age_ms, body };
        let bytes = Message::Reply(reply).encode(header.version, header.request_id);
        self.budget.spend(bytes.len() + self.overhead, now);
        Some(bytes)
    }

    fn handle_request(
        &mut self,
        now: Time,
        request: Request,
        replica: &Replica,
        context: &ServingContext,
    ) -> ReplyBody {
        if request.service != self.service || context.token.is_none() || context.age.is_none() {
            return ReplyBody::NotServing;
        }
        let reserved = match request.query {
            Query::Changes { .. } => 0,
            _ => self.capacity / CHANGES_RESERVE_DIVISOR,
        };
        let available = self.budget.available(now);
        if available <= reserved {
            let wait = self.budget.time_until_available(reserved + 1, now);
            return ReplyBody::Busy { retry_after_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX) };
        }
        let max_bytes = request.max_bytes.min(available);
        replica.reply_to(&Request { max_bytes, ..request })
    }

    /// Replies with the supported versions. Never replies to a reply: two peers without a common version would do so
    /// endlessly.
    fn unsupported_version_reply(&self, bytes: &[u8]) -> Option<Vec<u8>> {
        let (header, _) = Header::decode(bytes).ok()?;
        header
            .is_request()
            .then(|| Message::Unsupported(self.versions).encode(header.version, header.request_id))
    }
}
