//! How far the worker list of one dispatcher can be relied on.
//!
//! A list is a statement about one moment. What discovery has to tell from then on counts as told after a bounded time,
//! whether it arrived or not, and from there on the list must not be acted on. [`ListStatus`] keeps that time from what
//! happened to the calls for the list: when each began, how long it may wait, and how it ended.
//!
//! | state | meaning | valid |
//! | --- | --- | --- |
//! | [`ListState::Unconfirmed`] | discovery has answered nothing since the start | not at all: the age of the list is not known |
//! | [`ListState::Confirmed`] | an answer has come, and no watch stands | [`UNCONFIRMED_VALIDITY`] from the answer |
//! | [`ListState::Watched`] | a watch stands: a change ends its wait | until [`WATCH_SILENCE_GRACE`] after its wait, since it may have fallen silent |
//! | [`ListState::Unreachable`] | the last call found nobody | [`UNCONFIRMED_VALIDITY`] from the end of each such call |
//! | [`ListState::TurnedAway`] | the last call was turned away | the same, unless a crowd may have been the reason; a newer list that a peer reports leaves [`NEWER_LIST_VALIDITY`] |
//! | [`ListState::Expired`] | none of these times is left | not at all |
//!
//! A discovery that turns calls away may be down, or crowded. Where dispatchers of a tier talk, those that it answers report it
//! ([`ListStatus::peer_answered`]), and calls that are turned away about then say nothing of an outage. Where they don't, and the
//! whole tier's calls may keep discovery busy for longer than [`UNCONFIRMED_VALIDITY`] ([`ServiceTimeEstimate`]), nothing tells a crowd from an
//! outage in time: a call that is turned away then confirms nothing, and the list ends [`UNCONFIRMED_VALIDITY`] behind the last answer, or
//! behind the end of the watch that stood. In an outage that lasts longer such a tier stops. An estimate that is too high stops a
//! tier that need not stop; one that is too low lets it send by an old list in a crowd.
//!
//! Where an agent on this machine is asked ([`ListStatus::pushed`]), what it has counts as told at once: the list is valid for the
//! grace of drains behind each call that was made.
//!
//! Times are milliseconds of a monotonic clock that starts anywhere.

use crate::call_failure::CallFailure;
use crate::service_time::ServiceTimeEstimate;
use crate::watch::PROPAGATION_BOUND;
use crate::Millis;
use std::fmt;

/// What is not heard of for so long is acted against: the platform's time until a change counts as told.
pub const UNCONFIRMED_VALIDITY: Millis = PROPAGATION_BOUND;
/// A watch that is this much behind the end of its wait is silent, and what it missed counts as told.
pub const WATCH_SILENCE_GRACE: Millis = 2000;
/// The next call carries a watch on if it comes so soon behind an answer.
pub const WATCH_CONTINUES_WITHIN: Millis = 200;
/// After a move of discovery, what the new one has to tell counts as told this much later.
pub const VALIDITY_AFTER_MOVE: Millis = 4000;

/// A call that is turned away so soon behind a report that discovery has answered a peer was turned away by a crowd. Calls stand
/// in its queue for some seconds before they are turned away, and reports follow each other as answers do.
pub const CONGESTION_EVIDENCE_TTL: Millis = 3000;
/// What a peer was told, and this dispatcher was not, counts as told this much later: the peer's call took its turn too, for
/// which a third of [`UNCONFIRMED_VALIDITY`] is left.
pub const NEWER_LIST_VALIDITY: Millis = UNCONFIRMED_VALIDITY / 3 * 2;

/// How far a list can be relied on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListState {
    /// Nothing has been heard of discovery since the start.
    Unconfirmed,
    /// Heard of lately; no watch stands.
    Confirmed,
    /// A watch stands.
    Watched,
    /// Discovery can't be reached.
    Unreachable,
    /// Discovery turns calls away, and as far as is known those of all.
    TurnedAway,
    /// What is known is too old to be acted on.
    Expired,
}

impl ListState {
    /// Whether the list may be acted on.
    pub fn is_valid(self) -> bool {
        !matches!(self, ListState::Unconfirmed | ListState::Expired)
    }
}

impl fmt::Display for ListState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ListState::Unconfirmed => "unconfirmed",
            ListState::Confirmed => "confirmed",
            ListState::Watched => "watched",
            ListState::Unreachable => "unreachable",
            ListState::TurnedAway => "turned_away",
            ListState::Expired => "expired",
        })
    }
}

/// The state of one dispatcher's list.
#[derive(Clone, Debug)]
pub struct ListStatus {
    /// How long the list may be acted on behind each call that was made, where an agent on this machine is asked: that is
    /// silent only while there is nothing to hear.
    validity_after_call: Option<Millis>,
    /// When discovery last answered.
    confirmed_at: Option<Millis>,
    /// Until when the list may be acted on, if it was ever confirmed.
    valid_until: Millis,
    /// What was learnt last of discovery.
    last: ListState,
    /// Nothing but time has come since the last answer.
    answered_last: bool,
    /// When a peer last reported that discovery had answered it.
    peer_answered_at: Option<Millis>,
    /// What a call's turn costs at discovery.
    service_time: ServiceTimeEstimate,
    /// Peers report what discovery answers them: their silence tells an outage from a crowd.
    peers_report: bool,
}

impl ListStatus {
    /// A list that has to be asked for by one of so many dispatchers. It may have been known at the start: of what age, nobody
    /// says.
    pub fn polled_by_tier(dispatchers: u32) -> Self {
        ListStatus { service_time: ServiceTimeEstimate::for_tier(dispatchers), ..Self::polled() }
    }

    /// The same where nobody else asks.
    pub fn polled() -> Self {
        ListStatus {
            validity_after_call: None,
            confirmed_at: None,
            valid_until: 0,
            last: ListState::Unconfirmed,
            answered_last: false,
            peer_answered_at: None,
            service_time: ServiceTimeEstimate::for_tier(1),
            peers_report: false,
        }
    }

    /// A list that an agent on this machine is sent: it is silent while discovery is down, and what it is sent then counts
    /// when it comes. Its first answer is needed all the same. What it has counts as told at once, and sends to a worker that
    /// drains may go on for `drain_grace`: the list is valid for so long behind each call that was made.
    pub fn pushed(drain_grace: Millis) -> Self {
        ListStatus { validity_after_call: Some(drain_grace), ..Self::polled() }
    }

    /// A list that never changes.
    pub fn fixed() -> Self {
        let last = ListState::Confirmed;
        ListStatus {
            validity_after_call: Some(Millis::MAX),
            confirmed_at: Some(0),
            valid_until: Millis::MAX,
            last,
            answered_last: false,
            peer_answered_at: None,
            service_time: ServiceTimeEstimate::for_tier(1),
            peers_report: false,
        }
    }

    /// Discovery has answered with its list, or with nothing new.
    pub fn answered(&mut self, now: Millis) {
        self.confirmed_at = Some(now);
        self.last = ListState::Confirmed;
        self.answered_last = true;
        self.valid_until = self.after(now, UNCONFIRMED_VALIDITY);
    }

    /// Peers report from now on that discovery has answered them.
    pub fn expect_peer_reports(&mut self) {
        self.peers_report = true;
    }

    /// The call that discovery has answered did not wait for news, and took so long.
    pub fn record_service_time(&mut self, took: Millis) {
        self.service_time.record(took);
    }

    /// What a call's turn costs at discovery, as far as known.
    pub fn service_time(&self) -> ServiceTimeEstimate {
        self.service_time
    }

    /// A watch begins that may wait so long. It carries on from an answer only if that came just before; any other one may
    /// stand in a queue, and confirms nothing.
    pub fn watch_started(&mut self, now: Millis, wait: Millis) {
        let since_answer = now.saturating_sub(self.confirmed_at.unwrap_or(0));
        if !std::mem::take(&mut self.answered_last) || since_answer > WATCH_CONTINUES_WITHIN {
            return;
        }
        self.last = ListState::Watched;
        self.valid_until = self.valid_until.max(self.after(now, wait + WATCH_SILENCE_GRACE));
    }

    /// A call came to nothing. What has expired stays so until discovery answers, or an agent had nothing to say.
    pub fn failed(&mut self, now: Millis, failure: CallFailure) {
        self.answered_last = false;
        let agent_is_silent = self.validity_after_call.is_some() && failure == CallFailure::Silent;
        if now >= self.valid_until && !agent_is_silent {
            return;
        }
        let watched = self.last == ListState::Watched;
        let later = self.after(now, UNCONFIRMED_VALIDITY);
        self.last = ListState::Confirmed;
        match failure {
            CallFailure::Unreachable => {
                // What discovery can tell nobody counts from its return on.
                self.last = ListState::Unreachable;
                self.valid_until = later;
            }
            // A watch that stood would have told of a change by then.
            CallFailure::TurnedAway if watched || !self.may_be_congested(now) => {
                self.last = ListState::TurnedAway;
                self.valid_until = later;
            }
            CallFailure::Unreadable if watched => self.valid_until = self.valid_until.min(later),
            CallFailure::Silent if agent_is_silent => self.valid_until = later,
            CallFailure::TurnedAway
            | CallFailure::Unreadable
            | CallFailure::Silent
            | CallFailure::NotMade => {}
        }
    }

    /// A peer reports that discovery has answered it, with a newer list than this one or with none. The report is read now and may
    /// have stood unread since `came_at`. Whether it leaves the list less time than it had.
    pub fn peer_answered(&mut self, now: Millis, came_at: Millis, has_newer: bool) -> bool {
        self.peer_answered_at = Some(now);
        let until = came_at + NEWER_LIST_VALIDITY;
        let is_behind = has_newer && self.last == ListState::TurnedAway && until < self.valid_until;
        if is_behind {
            self.valid_until = until;
        }
        is_behind
    }

    /// Whether a crowd of the whole tier may last longer at discovery than a change takes to count as told, and no peer would tell
    /// of it.
    pub fn congestion_may_exceed_bound(&self) -> bool {
        !self.peers_report
            && self.service_time.full_tier_time().is_some_and(|span| span > UNCONFIRMED_VALIDITY)
    }

    /// Whether discovery may turn calls away only because too many wait.
    fn may_be_congested(&self, now: Millis) -> bool {
        let answers_peers = self.peer_answered_at.is_some_and(|at| now < at + CONGESTION_EVIDENCE_TTL);
        answers_peers || self.congestion_may_exceed_bound()
    }

    /// Discovery has moved: what the new one has to tell is not known yet.
    pub fn moved(&mut self, now: Millis) {
        self.answered_last = false;
        self.last = ListState::Confirmed;
        self.valid_until = self.valid_until.min(now + VALIDITY_AFTER_MOVE);
    }

    /// The state at a time.
    pub fn at(&self, now: Millis) -> ListState {
        match self.confirmed_at {
            None => ListState::Unconfirmed,
            Some(_) if now >= self.valid_until => ListState::Expired,
            Some(_) => self.last,
        }
    }

    /// When the list stops being valid, if nothing more is heard; `None` where it is not valid, or never stops.
    pub fn expires(&self) -> Option<Millis> {
        self.confirmed_at.map(|_| self.valid_until).filter(|until| *until < Millis::MAX)
    }

    /// When discovery last answered.
    pub fn confirmed_at(&self) -> Option<Millis> {
        self.confirmed_at
    }

    fn after(&self, now: Millis, span: Millis) -> Millis {
        now.saturating_add(self.validity_after_call.unwrap_or(span))
    }
}
