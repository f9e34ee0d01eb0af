//! Reasons why a request for the worker list failed, as far as the list's validity and the next request
//! depend on them.

/// Why a request for the list failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// The connection could not be established.
    Unreachable,
    /// The connection was established and then reset, or the response status rejected the request: discovery
    /// is down or overloaded.
    TurnedAway,
    /// The connection was established, but no response arrived in time: the request may still be queued, or
    /// the server has vanished.
    Silent,
    /// The response was not a worker list.
    Unreadable,
    /// This machine could not issue the request, so the failure says nothing about discovery.
    NotMade,
}
