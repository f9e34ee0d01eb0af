//! Validity of one dispatcher's worker list.
//!
//! A list describes one moment. Every later change counts as published after a bounded time, whether or not
//! it has arrived, and from then on the list must not be acted on. [`ListStatus`] derives that time from the
//! requests for the list: when each one began, how long it may wait, and how it ended.
//!
//! | state | meaning | valid |
//! | --- | --- | --- |
//! | [`ListState::Unconfirmed`] | discovery has not answered since the start | never: the age of the list is unknown |
//! | [`ListState::Confirmed`] | discovery has answered, and no watch is established | for [`UNCONFIRMED_VALIDITY`] from the answer |
//! | [`ListState::Watched`] | a watch is established; a change ends its wait | until [`WATCH_SILENCE_GRACE`] after its wait, since it may have fallen silent |
//! | [`ListState::Unreachable`] | the last request could not connect | for [`UNCONFIRMED_VALIDITY`] from the end of each such request |
//! | [`ListState::TurnedAway`] | the last request was rejected | as above, unless congestion may be the reason; for [`NEWER_LIST_VALIDITY`] once a peer reports a newer list |
//! | [`ListState::Expired`] | all of these times have passed | never |
//!
//! A discovery service that rejects requests may be down or congested. If the dispatchers of a tier exchange
//! messages, those that get an answer report it ([`ListStatus::peer_answered`]), and rejections around that
//! time are no evidence of an outage. If they do not, and the requests of the whole tier may keep discovery
//! busy for longer than [`UNCONFIRMED_VALIDITY`] ([`ServiceTimeEstimate`]), congestion cannot be told from an
//! outage in time: a rejection then confirms nothing, and the list expires [`UNCONFIRMED_VALIDITY`] after the
//! last answer or after the end of the established watch. Such a tier stops sending during a longer outage.
//! If the estimate is too high, a tier stops unnecessarily; if it is too low, a tier may send by an outdated
//! list during congestion.
//!
//! If the list comes from an agent on this machine ([`ListStatus::pushed`]), whatever the agent holds counts
//! as published immediately: the list is valid for the drain grace after each request that could be issued.
//!
//! Times are milliseconds of a monotonic clock with an arbitrary origin.

use crate::call_failure::CallFailure;
use crate::service_time::ServiceTimeEstimate;
use crate::watch::PROPAGATION_BOUND;
use crate::Millis;
use std::fmt;

/// How long a list without confirmation is valid: the platform's time until a change counts as published.
pub const UNCONFIRMED_VALIDITY: Millis = PROPAGATION_BOUND;
/// A watch that is this much past the end of its wait has fallen silent, and whatever it missed counts as
/// published.
pub const WATCH_SILENCE_GRACE: Millis = 2000;
/// Longest gap between an answer and a request that still continues the watch.
pub const WATCH_CONTINUES_WITHIN: Millis = 200;
/// How long the list stays valid after discovery has moved to another address: by then, changes known to the
/// new instance count as published.
pub const VALIDITY_AFTER_MOVE: Millis = 4000;

/// For this long after a peer's report of an answer, a rejection is attributed to congestion. Requests are
/// queued for some seconds before they are rejected, and reports follow each other as answers do.
pub const CONGESTION_EVIDENCE_TTL: Millis = 3000;
/// Time after which a change that a peer has received, and this dispatcher has not, counts as published. The
/// peer's request was queued too, for which a third of [`UNCONFIRMED_VALIDITY`] is reserved.
pub const NEWER_LIST_VALIDITY: Millis = UNCONFIRMED_VALIDITY / 3 * 2;

/// State of a list, which determines whether it may be acted on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListState {
    /// Discovery has not answered since the start.
    Unconfirmed,
    /// Discovery answered recently; no watch is established.
    Confirmed,
    /// A watch is established.
    Watched,
    /// Discovery cannot be reached.
    Unreachable,
    /// Discovery rejects requests, as far as is known those of all dispatchers.
    TurnedAway,
    /// The list is too old to be acted on.
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

/// Tracks the state of one dispatcher's list.
#[derive(Clone, Debug)]
pub struct ListStatus {
    /// Validity of the list after each request that could be issued, if an agent on this machine is asked: the
    /// agent is silent only while there is no change.
    validity_after_call: Option<Millis>,
    /// When discovery last answered.
    confirmed_at: Option<Millis>,
    /// End of the list's validity, if it was ever confirmed.
    valid_until: Millis,
    /// State as of the last event.
    last_state: ListState,
    /// No other event has occurred since the last answer.
    last_event_was_answer: bool,
    /// When a peer last reported an answer from discovery.
    peer_answered_at: Option<Millis>,
    /// Estimated service time of a request at discovery.
    service_time: ServiceTimeEstimate,
    /// Peers report answers from discovery, so the absence of reports distinguishes an outage from
    /// congestion.
    peers_report: bool,
}

impl ListStatus {
    /// A list that one of `dispatchers` dispatchers has to request. A list known at the start is of unknown
    /// age.
    pub fn polled_by_tier(dispatchers: u32) -> Self {
        ListStatus { service_time: ServiceTimeEstimate::for_tier(dispatchers), ..Self::polled() }
    }

    /// A list that has to be requested, for a tier of one dispatcher.
    pub fn polled() -> Self {
        ListStatus {
            validity_after_call: None,
            confirmed_at: None,
            valid_until: 0,
            last_state: ListState::Unconfirmed,
            last_event_was_answer: false,
            peer_answered_at: None,
            service_time: ServiceTimeEstimate::for_tier(1),
            peers_report: false,
        }
    }

    /// A list pushed by an agent on this machine. The agent is silent while discovery is down, and what it
    /// receives in that time counts from when it arrives. Its first answer is still required. What the agent
    /// holds counts as published immediately, and sends to a draining worker may continue for `drain_grace`,
    /// so the list is valid for that long after each request that could be issued.
    pub fn pushed(drain_grace: Millis) -> Self {
        ListStatus { validity_after_call: Some(drain_grace), ..Self::polled() }
    }

    /// A list that never changes.
    pub fn fixed() -> Self {
        let last_state = ListState::Confirmed;
        ListStatus {
            validity_after_call: Some(Millis::MAX),
            confirmed_at: Some(0),
            valid_until: Millis::MAX,
            last_state,
            last_event_was_answer: false,
            peer_answered_at: None,
            service_time: ServiceTimeEstimate::for_tier(1),
            peers_report: false,
        }
    }

    /// Discovery has answered with its list, or that nothing has changed.
    pub fn answered(&mut self, now: Millis) {
        self.confirmed_at = Some(now);
        self.last_state = ListState::Confirmed;
        self.last_event_was_answer = true;
        self.valid_until = self.valid_until_after(now, UNCONFIRMED_VALIDITY);
    }

    /// From now on, peers report answers from discovery.
    pub fn expect_peer_reports(&mut self) {
        self.peers_report = true;
    }

    /// Records the duration of an answered request that did not wait for changes.
    pub fn record_service_time(&mut self, took: Millis) {
        self.service_time.record(took);
    }

    /// Current estimate of the service time of a request at discovery.
    pub fn service_time(&self) -> ServiceTimeEstimate {
        self.service_time
    }

    /// A watch has started that may wait for `wait`. It counts as established only if it directly follows an
    /// answer; any other watch may be queued and confirms nothing.
    pub fn watch_started(&mut self, now: Millis, wait: Millis) {
        let since_answer = now.saturating_sub(self.confirmed_at.unwrap_or(0));
        if !std::mem::take(&mut self.last_event_was_answer) || since_answer > WATCH_CONTINUES_WITHIN {
            return;
        }
        self.last_state = ListState::Watched;
        self.valid_until = self.valid_until.max(self.valid_until_after(now, wait + WATCH_SILENCE_GRACE));
    }

    /// A request has failed. An expired list stays expired until discovery answers or the agent reports no
    /// change.
    pub fn failed(&mut self, now: Millis, failure: CallFailure) {
        self.last_event_was_answer = false;
        let agent_is_silent = self.validity_after_call.is_some() && failure == CallFailure::Silent;
        if now >= self.valid_until && !agent_is_silent {
            return;
        }
        let watched = self.last_state == ListState::Watched;
        let later = self.valid_until_after(now, UNCONFIRMED_VALIDITY);
        self.last_state = ListState::Confirmed;
        match failure {
            CallFailure::Unreachable => {
                // Changes that discovery cannot publish to anyone count from its return.
                self.last_state = ListState::Unreachable;
                self.valid_until = later;
            }
            // An established watch would have reported any change up to this point.
            CallFailure::TurnedAway if watched || !self.may_be_congested(now) => {
                self.last_state = ListState::TurnedAway;
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

    /// A peer reports an answer from discovery; `has_newer` states that its list is newer than this one. The
    /// report is being read now and may have been waiting since `came_at`. Returns whether it shortened the
    /// validity of the list.
    pub fn peer_answered(&mut self, now: Millis, received_at: Millis, has_newer: bool) -> bool {
        self.peer_answered_at = Some(now);
        let until = received_at + NEWER_LIST_VALIDITY;
        let is_shortened = has_newer && self.last_state == ListState::TurnedAway && until < self.valid_until;
        if is_shortened {
            self.valid_until = until;
        }
        is_shortened
    }

    /// Whether congestion caused by the whole tier may last longer than the propagation bound while no peer
    /// reports answers.
    pub fn congestion_may_exceed_bound(&self) -> bool {
        !self.peers_report
            && self.service_time.full_tier_time().is_some_and(|span| span > UNCONFIRMED_VALIDITY)
    }

    /// Whether discovery may be rejecting requests only because of congestion.
    fn may_be_congested(&self, now: Millis) -> bool {
        let answers_peers = self.peer_answered_at.is_some_and(|at| now < at + CONGESTION_EVIDENCE_TTL);
        answers_peers || self.congestion_may_exceed_bound()
    }

    /// Discovery has moved; which changes the new instance will publish is not known yet.
    pub fn moved(&mut self, now: Millis) {
        self.last_event_was_answer = false;
        self.last_state = ListState::Confirmed;
        self.valid_until = self.valid_until.min(now + VALIDITY_AFTER_MOVE);
    }

    /// State of the list at `now`.
    pub fn at(&self, now: Millis) -> ListState {
        match self.confirmed_at {
            None => ListState::Unconfirmed,
            Some(_) if now >= self.valid_until => ListState::Expired,
            Some(_) => self.last_state,
        }
    }

    /// When the list expires unless another event occurs; `None` if it was never confirmed or never expires.
    pub fn expires(&self) -> Option<Millis> {
        self.confirmed_at.map(|_| self.valid_until).filter(|until| *until < Millis::MAX)
    }

    /// When discovery last answered.
    pub fn confirmed_at(&self) -> Option<Millis> {
        self.confirmed_at
    }

    fn valid_until_after(&self, now: Millis, span: Millis) -> Millis {
        now.saturating_add(self.validity_after_call.unwrap_or(span))
    }
}
