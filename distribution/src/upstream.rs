//! The processes that a subscriber queries, and fencing of former lease holders.

use crate::message::{Service, Versions};
use crate::timing::Timing;
use crate::{Time, Token};
use std::collections::BTreeMap;

/// A process, numbered by the caller.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PeerId(pub u16);

/// A role held by one process at a time, under a lease.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Role {
    /// The source.
    Source,
    /// The relay of a zone. Zones are numbered by the caller; a number must not change during the lifetime of the
    /// subscriber.
    Relay(u16),
}

impl Role {
    /// The service that a process provides in this role.
    pub fn service(self) -> Service {
        match self {
            Role::Source => Service::Source,
            Role::Relay(_) => Service::Relay,
        }
    }
}

/// A process that may be queried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Upstream {
    /// The process.
    pub peer: PeerId,
    /// The role in which it replies.
    pub role: Role,
    /// The token of its lease, as far as the caller knows.
    pub token: Token,
}

/// The maximum number of upstreams of a subscriber, and of roles whose tokens it remembers.
const MAX_UPSTREAMS: usize = 64;
const MAX_ROLES: usize = 1024;

/// Upstreams by descending preference.
#[derive(Clone, Debug)]
pub(crate) struct Upstreams {
    list: Vec<Upstream>,
    current: usize,
    failures: u32,
    failed_over_at: Time,
    /// Whether the preferred upstream is being retried after a failover; a single failure then causes another
    /// failover.
    is_retrying_first: bool,
    /// The highest token seen for each role; lower ones are rejected.
    highest_tokens: BTreeMap<Role, Token>,
    /// Negotiated versions of peers that do not support this program's newest version.
    negotiated: BTreeMap<PeerId, u8>,
    versions: Versions,
}

impl Upstreams {
    pub fn new(versions: Versions) -> Upstreams {
        Upstreams {
            list: Vec::new(),
            current: 0,
            failures: 0,
            failed_over_at: Time::ZERO,
            is_retrying_first: false,
            highest_tokens: BTreeMap::new(),
            negotiated: BTreeMap::new(),
            versions,
        }
    }

    pub fn set(&mut self, list: &[Upstream]) {
        let previous = self.list.get(self.current).copied();
        let previous_first = self.list.first().copied();
        for upstream in list {
            self.accept_token(upstream.role, upstream.token);
        }
        let list: Vec<Upstream> = list
            .iter()
            .filter(|u| self.highest_tokens.get(&u.role) == Some(&u.token))
            .take(MAX_UPSTREAMS)
            .copied()
            .collect();
        // A new preferred upstream is tried at once. Other changes are no reason to leave an upstream that replies.
        let kept = list.iter().position(|upstream| Some(*upstream) == previous);
        self.current = kept.filter(|_| previous_first == list.first().copied()).unwrap_or(0);
        self.negotiated.retain(|peer, _| list.iter().any(|upstream| upstream.peer == *peer));
        if list.get(self.current).copied() != previous {
            self.failures = 0;
            self.is_retrying_first = false;
        }
        self.list = list;
    }

    /// Returns whether a message with this token may be accepted, and if so records the token.
    pub fn accept_token(&mut self, role: Role, token: Token) -> bool {
        if let Some(highest) = self.highest_tokens.get_mut(&role) {
            let is_current = token >= *highest;
            *highest = (*highest).max(token);
            return is_current;
        }
        if self.highest_tokens.len() >= MAX_ROLES {
            // Tokens increase across all roles, so the lowest one has been unused for the longest time.
            let oldest = self.highest_tokens.iter().min_by_key(|(_, token)| **token).map(|(role, _)| *role);
            if let Some(role) = oldest {
                self.highest_tokens.remove(&role);
            }
        }
        self.highest_tokens.insert(role, token);
        true
    }

    pub fn highest_token(&self, role: Role) -> Token {
        self.highest_tokens.get(&role).copied().unwrap_or(0)
    }

    /// The upstream to query now.
    pub fn current(&mut self, now: Time, timing: &Timing) -> Option<Upstream> {
        let failback_at = self.failed_over_at + timing.failback_delay;
        if self.current > 0 && now >= failback_at {
            self.current = 0;
            self.failures = 0;
            self.is_retrying_first = true;
        }
        self.list.get(self.current).copied()
    }

    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    pub fn len(&self) -> usize {
        self.list.len()
    }

    /// Consecutive failures of the current upstream.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    pub fn record_success(&mut self) {
        self.is_retrying_first = false;
        self.failures = 0;
    }

    /// Records that the current upstream failed or is unusable. Returns whether this caused a failover.
    pub fn record_failure(&mut self, now: Time, timing: &Timing, is_unusable: bool) -> bool {
        self.failures = self.failures.saturating_add(1);
        let must_fail_over = is_unusable
            || self.is_retrying_first
            || self.failures.is_multiple_of(timing.failures_before_failover.max(1));
        if must_fail_over {
            self.fail_over(now);
        }
        must_fail_over
    }

    /// Switches to the next upstream.
    pub fn fail_over(&mut self, now: Time) {
        self.is_retrying_first = false;
        if self.list.len() > 1 {
            self.current = (self.current + 1) % self.list.len();
            self.failed_over_at = now;
        }
    }

    pub fn version(&self, peer: PeerId) -> u8 {
        self.negotiated.get(&peer).copied().unwrap_or(self.versions.highest)
    }

    /// Handles the versions supported by a peer. Returns whether a retry with another common version is possible.
    pub fn negotiate_version(&mut self, peer: PeerId, versions: Versions) -> bool {
        let previous = self.version(peer);
        match self.versions.highest_common(versions) {
            Some(version) => {
                self.negotiated.insert(peer, version);
                version != previous
            }
            None => false,
        }
    }
}
