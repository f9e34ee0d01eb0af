//! Single calls to discovery, and why one brought no list.

use super::HostList;
use crate::targets::client::{CallError, HttpClient};
use lineroute_control::call_failure::CallFailure;
use std::fmt;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

/// The longest list that is read.
const MAX_LIST_BYTES: usize = 4 << 20;
/// While a call stands in discovery's queue, whether its machine can be reached is looked at so often.
const REACHABILITY_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Why a call brought no list.
#[derive(Debug)]
pub(super) enum ListCallError {
    /// It came to no answer.
    Call(CallError),
    /// Discovery's machine can't be reached any more.
    HostUnreachable,
    /// It was answered with another status than 200.
    Status(u16),
    /// What could not be read is asked for whole the next time.
    Unreadable(serde_json::Error),
}

impl ListCallError {
    /// What it tells of whether discovery can be reached.
    pub(super) fn failure(&self) -> CallFailure {
        match self {
            ListCallError::Call(CallError::Timeout) => CallFailure::Silent,
            ListCallError::Call(CallError::Local(_) | CallError::Busy | CallError::NotPermitted) => {
                CallFailure::NotMade
            }
            ListCallError::Call(CallError::Refused | CallError::NoConnection(_))
            | ListCallError::HostUnreachable => CallFailure::Unreachable,
            ListCallError::Call(CallError::Stale | CallError::Unsent | CallError::Broken(_))
            | ListCallError::Status(_) => CallFailure::TurnedAway,
            ListCallError::Unreadable(_) => CallFailure::Unreadable,
        }
    }
}

impl fmt::Display for ListCallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ListCallError::Call(e) => write!(f, "{e}"),
            ListCallError::HostUnreachable => write!(f, "its machine can't be reached any more"),
            ListCallError::Status(status) => write!(f, "status {status}"),
            ListCallError::Unreadable(e) => write!(f, "not understood: {e}"),
        }
    }
}

/// Asks for what is newer than a version, or for the whole list, and waits for news so long; the answer may take `within`.
pub(super) async fn call(
    client: &HttpClient,
    at: SocketAddr,
    after: Option<u64>,
    wait: Duration,
    time_limit: Duration,
) -> Result<HostList, ListCallError> {
    let path = match after {
        Some(v) => format!("/discovery/hosts?after={v}&wait_ms={}", wait.as_millis()),
        None => "/discovery/hosts".into(),
    };
    match client.get(at, &path, time_limit, MAX_LIST_BYTES).await {
        Ok((200, body)) => serde_json::from_slice(&body).map_err(ListCallError::Unreadable),
        Ok((status, _)) => Err(ListCallError::Status(status)),
        Err(e) => Err(ListCallError::Call(e)),
    }
}

/// The same without waiting for news. The call stands in the queue of a discovery that handles calls in turn: it is given up
/// only where the machine can't be reached, or after `patience`. One given up early would have to be paid for again, and
/// a queue of calls that nobody waits for never ends. Its answer may also have been lost: one more call is made beside it after
/// `second_after`.
pub(super) async fn call_queued(
    client: &HttpClient,
    at: SocketAddr,
    after: Option<u64>,
    (second_after, time_limit): (Duration, Duration),
) -> Result<HostList, ListCallError> {
    let mut first = pin!(call(client, at, after, Duration::ZERO, time_limit));
    let mut second = pin!(async {
        tokio::time::sleep(second_after).await;
        call(client, at, after, Duration::ZERO, time_limit).await
    });
    let mut second_failed = false;
    loop {
        // Both calls are kept over the loop; a look that is dropped holds nothing. A call that is dropped in the end closes
        // its connection.
        tokio::select! {
            answer = first.as_mut() => return answer,
            answer = second.as_mut(), if !second_failed => match answer {
                Ok(list) => return Ok(list),
                Err(_) => second_failed = true,
            },
            is_reachable = reachable_after_interval(client, at) => if !is_reachable {
                return Err(ListCallError::HostUnreachable);
            },
        }
    }
}

/// Whether discovery's machine can be reached, a while from now.
async fn reachable_after_interval(client: &HttpClient, at: SocketAddr) -> bool {
    tokio::time::sleep(REACHABILITY_CHECK_INTERVAL).await;
    client.is_reachable(at).await
}
