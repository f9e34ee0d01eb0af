//! Single calls to discovery, and the reasons why they fail.

use super::HostList;
use crate::targets::client::{CallError, HttpClient};
use lineroute_control::call_failure::CallFailure;
use std::fmt;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

/// Limit on the size of a list.
const MAX_LIST_BYTES: usize = 4 << 20;
/// Interval at which reachability of discovery's host is checked while a call waits in discovery's queue.
const REACHABILITY_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Why a call returned no list.
#[derive(Debug)]
pub(super) enum ListCallError {
    /// The call failed without an answer.
    Call(CallError),
    /// Discovery's host has become unreachable during the call.
    HostUnreachable,
    /// The status of the answer was not 200.
    Status(u16),
    /// The answer could not be parsed. The next call requests the whole list.
    Unreadable(serde_json::Error),
}

impl ListCallError {
    /// What the error says about whether discovery can be reached.
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
            ListCallError::HostUnreachable => write!(f, "host became unreachable during the call"),
            ListCallError::Status(status) => write!(f, "unexpected status {status}"),
            ListCallError::Unreadable(e) => write!(f, "invalid list: {e}"),
        }
    }
}

/// Requests the changes since a version, or the whole list, and lets discovery wait for changes up to `wait`.
/// The answer may take up to `time_limit`.
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

/// Like [`call`], but without waiting for changes. A discovery that handles calls one at a time queues this
/// call, so it is abandoned only if the host cannot be reached, or after the time limit: an abandoned call has
/// to be repeated at the end of the queue, and a queue of abandoned calls never empties. Since an answer may
/// also get lost, a second call is made in parallel after `second_after`.
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
        // Both calls are kept between iterations; the reachability check holds no state and may be dropped. A
        // call that is dropped at the end closes its connection.
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

/// Checks after one interval whether discovery's host can be reached.
async fn reachable_after_interval(client: &HttpClient, at: SocketAddr) -> bool {
    tokio::time::sleep(REACHABILITY_CHECK_INTERVAL).await;
    client.is_reachable(at).await
}
