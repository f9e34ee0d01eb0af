//! The client side of a dispatcher: keeps its replica up to date by polling a relay, fails over to another one, and
//! tracks the replica's age.

use crate::budget::ByteBudget;
use crate::history::NumberedChange;
use crate::message::{
    DecodeError, Message, PartitionDigests, Query, Reply, ReplyBody, Request, Service, Versions,
};
use crate::position::Position;
use crate::record::{Change, Partition};
use crate::replica::Replica;
use crate::store::StoreError;
use crate::synchronization::{FetchError, Step, Synchronization};
use crate::timing::{Limits, Timing};
use crate::upstream::{PeerId, Upstream, Upstreams};
use crate::{Time, Token};
use std::collections::VecDeque;
use std::time::Duration;

/// Timed-out requests whose late replies still update the round-trip time.
const MAX_TIMED_OUT_REQUESTS: usize = 8;
/// The request timeout as a multiple of the round-trip time.
const TIMEOUT_ROUND_TRIPS: u32 = 3;
/// The minimum size of a reply with ranges for which a request is worthwhile, in bytes.
const MIN_CONTENTS_BYTES: u32 = 512;
/// The minimum size of a reply with changes, which are requested even if the budget is exhausted.
const MIN_CHANGES_BYTES: u32 = 512;
/// Poll intervals between two requests for digests while the relay itself is still synchronizing.
const DIGEST_INTERVAL_POLLS: u32 = 4;

/// Configuration of a subscriber.
#[derive(Clone, Debug, Default)]
pub struct SubscriberConfig {
    /// Partitions by descending priority. The first ones are essential: without them the dispatcher can't serve
    /// anything.
    pub priority: Vec<Partition>,
    /// How many of these are essential.
    pub essential_partitions: usize,
    /// Intervals and rates.
    pub timing: Timing,
    /// Limits of the replica.
    pub limits: Limits,
    /// Supported protocol versions.
    pub versions: Versions,
    /// Seed of all random delays; must differ between processes.
    pub seed: u64,
}

/// A message to send.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Transmit {
    /// The recipient.
    pub to: PeerId,
    /// The encoded message.
    pub bytes: Vec<u8>,
}

/// Why a message was rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ReceiveError {
    /// The message could not be decoded.
    #[error(transparent)]
    Decode(#[from] DecodeError),
    /// The message does not reply to an outstanding request: it is late, a duplicate, or from another peer.
    #[error("no outstanding request matches this reply")]
    Unsolicited,
    /// The token of the message is older than another token seen for the same role.
    #[error("token {token} is older than {highest}")]
    Fenced {
        /// The token of the message.
        token: Token,
        /// The highest token seen.
        highest: Token,
    },
    /// The other process does not serve in this role, or its replica is older than this one.
    #[error("the queried process can't serve this request")]
    NotServing,
    /// No protocol version is supported by both processes.
    #[error("no common protocol version")]
    NoCommonVersion,
    /// The reply would move the replica back, or does not match the request.
    #[error("the reply does not match the request")]
    Inconsistent,
    /// The replica would exceed a limit.
    #[error(transparent)]
    Store(#[from] StoreError),
}

impl From<FetchError> for ReceiveError {
    fn from(error: FetchError) -> ReceiveError {
        match error {
            FetchError::Mismatch => ReceiveError::Inconsistent,
            FetchError::Store(error) => ReceiveError::Store(error),
        }
    }
}

/// What a process may do with its replica alone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Freshness {
    /// Nothing essential is known: wait, or query discovery.
    Unknown,
    /// The essential partitions are within the staleness bound; others are still missing.
    Essential,
    /// Everything is within the staleness bound.
    Fresh,
    /// The replica is older than the staleness bound: discovery must be queried.
    Stale,
}

/// The result of a received message.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Received {
    /// Changes to the replica, in order.
    pub changes: Vec<Change>,
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Requests sent.
    pub requests: u64,
    /// Requests without a usable reply.
    pub failures: u64,
    /// Failovers to another upstream.
    pub failovers: u64,
    /// Replies rejected because of their token.
    pub fenced: u64,
    /// How often the replica had to be verified by digests.
    pub resynchronizations: u64,
    /// How often the replica did not match the source's digest.
    pub mismatches: u64,
    /// Bytes sent and received, including message overhead.
    pub bytes: u64,
}

#[derive(Clone, Debug)]
struct Outstanding {
    request_id: u32,
    upstream: Upstream,
    query: Query,
    sent_at: Time,
    deadline: Time,
}

/// The maximum age of the replica at a point in time.
#[derive(Clone, Copy, Debug)]
struct Confirmation {
    at: Time,
    age: Duration,
}

impl Confirmation {
    fn age_at(&self, now: Time, timing: &Timing) -> Duration {
        with_drift(now.saturating_sub(self.at), timing) + self.age
    }
}

/// The maximum real time during which this process's clock measures `span`, given the maximum clock drift.
pub(crate) fn with_drift(span: Duration, timing: &Timing) -> Duration {
    span + span * timing.max_drift_permille / 1000
}

/// A dispatcher's replica and the state of its synchronization.
#[derive(Clone, Debug)]
pub struct Subscriber {
    config: SubscriberConfig,
    replica: Replica,
    upstreams: Upstreams,
    synchronization: Synchronization,
    outstanding: Option<Outstanding>,
    /// Timed-out requests; late replies to them update the round-trip time.
    timed_out: VecDeque<(u32, Time)>,
    next_request_id: u32,
    round_trip: Duration,
    budget: ByteBudget,
    poll_due: Time,
    digests_due: Time,
    /// After a failure no request is sent before this time.
    backoff_until: Time,
    log_confirmed: Option<Confirmation>,
    essential_confirmed: Option<Confirmation>,
    all_confirmed: Option<Confirmation>,
    counts: Counts,
    random: fastrand::Rng,
}

impl Subscriber {
    /// Creates a subscriber, with a retained replica or an empty one. A retained replica must be verified before it
    /// is used.
    pub fn new(config: SubscriberConfig, replica: Option<Replica>, now: Time) -> Subscriber {
        let mut random = fastrand::Rng::with_seed(config.seed);
        let poll_interval = config.timing.poll_interval;
        let mut replica = replica.unwrap_or_else(|| Replica::new(config.limits.clone()));
        replica.invalidate();
        Subscriber {
            replica,
            upstreams: Upstreams::new(config.versions),
            synchronization: Synchronization::default(),
            outstanding: None,
            timed_out: VecDeque::new(),
            next_request_id: random.u32(..),
            round_trip: Duration::ZERO,
            budget: ByteBudget::new(config.timing.bytes_per_second, config.timing.bytes_per_second, now),
            // Prevents subscribers that were started together from polling at the same time.
            poll_due: now + random_up_to(&mut random, poll_interval),
            digests_due: now,
            backoff_until: now,
            log_confirmed: None,
            essential_confirmed: None,
            all_confirmed: None,
            counts: Counts::default(),
            random,
            config,
        }
    }

    /// The replica.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns the replica, for a process that becomes the source.
    pub fn into_replica(self) -> Replica {
        self.replica
    }

    /// Counters since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Sets the upstreams by descending preference. Upstreams whose token is older than one already seen are ignored.
    pub fn set_upstreams(&mut self, upstreams: &[Upstream]) {
        self.upstreams.set(upstreams);
    }

    /// The maximum age of the log, as far as its changes have been applied; `None` before the first reply.
    pub fn log_age(&self, now: Time) -> Option<Duration> {
        self.log_confirmed.map(|confirmed| confirmed.age_at(now, &self.config.timing))
    }

    /// The maximum age of the essential partitions; `None` until they are known.
    pub fn essential_age(&self, now: Time) -> Option<Duration> {
        self.essential_confirmed.map(|confirmed| confirmed.age_at(now, &self.config.timing))
    }

    /// The maximum age of the whole replica; `None` until all of it is known.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.all_confirmed.map(|confirmed| confirmed.age_at(now, &self.config.timing))
    }

    /// What this process may do with its replica alone.
    pub fn freshness(&self, now: Time) -> Freshness {
        let bound = self.config.timing.staleness_bound;
        let is_within = |age: Option<Duration>| age.is_some_and(|age| age <= bound);
        match (self.essential_age(now), self.age(now)) {
            (_, all) if is_within(all) => Freshness::Fresh,
            (None, _) => Freshness::Unknown,
            (essential, None) if is_within(essential) => Freshness::Essential,
            _ => Freshness::Stale,
        }
    }

    /// Applies changes that this process obtained directly from discovery while its replica was too old. They are
    /// provisional: once the source is reachable again its log takes precedence, and ranges that differ from it are
    /// fetched.
    ///
    /// # Errors
    /// A change exceeds a limit; earlier changes were applied.
    pub fn apply_from_discovery(&mut self, changes: &[Change]) -> Result<Vec<Change>, StoreError> {
        let mut applied = Vec::new();
        for change in changes {
            if self.replica.overwrite(change)? {
                applied.push(change.clone());
            }
        }
        Ok(applied)
    }

    /// When [`Subscriber::poll`] may next have something to send.
    pub fn wake_at(&mut self, now: Time) -> Time {
        if let Some(outstanding) = &self.outstanding {
            return outstanding.deadline;
        }
        if self.upstreams.is_empty() {
            return now + self.config.timing.poll_interval;
        }
        let affordable_at = now + self.budget.time_until_available(MIN_CONTENTS_BYTES, now);
        let work_at = if self.replica.position().is_none() || self.replica.is_complete() {
            self.poll_due
        } else if self.synchronization.next().is_some_and(|step| !self.is_deferred(&step)) {
            affordable_at
        } else {
            self.digests_due.max(affordable_at)
        };
        work_at.min(self.poll_due).max(self.backoff_until)
    }

    /// Returns the message to send now, if any. Times out an unanswered request.
    pub fn poll(&mut self, now: Time) -> Option<Transmit> {
        if let Some(outstanding) = &self.outstanding {
            if now < outstanding.deadline {
                return None;
            }
            self.time_out_request(now);
        }
        if now < self.backoff_until {
            return None;
        }
        let upstream = self.upstreams.current(now, &self.config.timing)?;
        let request = self.next_request(now, upstream.role.service())?;
        Some(self.send(now, upstream, request))
    }

    /// Handles a message from a peer that the caller has authenticated.
    ///
    /// # Errors
    /// The message was rejected for the reason in [`ReceiveError`]. The subscriber recovers on its own.
    pub fn receive(&mut self, now: Time, from: PeerId, bytes: &[u8]) -> Result<Received, ReceiveError> {
        self.count_bytes(bytes.len(), now);
        let (header, message) = Message::decode(bytes, self.config.versions)?;
        let is_match =
            |open: &Outstanding| open.request_id == header.request_id && open.upstream.peer == from;
        let Some(outstanding) = self.outstanding.take_if(|open| is_match(open)) else {
            self.record_late_reply(header.request_id, now);
            return Err(ReceiveError::Unsolicited);
        };
        self.record_round_trip(now.saturating_sub(outstanding.sent_at));
        let result = match message {
            Message::Reply(reply) => self.handle_reply(now, &outstanding, reply),
            Message::Unsupported(versions) => self.handle_unsupported(&outstanding, versions),
            Message::Request(_) => Err(ReceiveError::Inconsistent),
        };
        if let Err(error) = result {
            let is_unusable = matches!(error, ReceiveError::NotServing | ReceiveError::NoCommonVersion);
            self.handle_failure(now, is_unusable);
        }
        result
    }

    fn next_request(&mut self, now: Time, service: Service) -> Option<Request> {
        let max_reply_bytes = self.config.timing.max_reply_bytes;
        let available = self.budget.available(now);
        if now >= self.poll_due {
            let query = Query::Changes { after: self.replica.position() };
            let max_bytes = available.clamp(MIN_CHANGES_BYTES, max_reply_bytes);
            return Some(Request { service, max_bytes, query });
        }
        if self.replica.position().is_none() || available < MIN_CONTENTS_BYTES {
            return None;
        }
        let needs_digests = !self.replica.is_complete() && now >= self.digests_due;
        let query = match self.synchronization.next() {
            // The relay may have obtained the essential partitions by now, so this has priority over other work.
            _ if needs_digests && !self.has_essential_partitions() => Query::Partitions,
            // Deferring this also leaves the relay's bytes to subscribers that lack their own zone.
            Some(step) if self.is_deferred(&step) => return None,
            Some(Step::Compare(partition)) => Query::RangeDigests { partition },
            Some(Step::Fetch(ranges)) => Query::Contents { ranges },
            None if needs_digests => Query::Partitions,
            None => return None,
        };
        Some(Request { service, max_bytes: available.min(max_reply_bytes), query })
    }

    fn send(&mut self, now: Time, upstream: Upstream, request: Request) -> Transmit {
        let request_id = self.next_request_id;
        self.next_request_id = request_id.wrapping_add(1);
        let query = request.query.clone();
        let version = self.upstreams.version(upstream.peer);
        let bytes = Message::Request(request).encode(version, request_id);
        self.count_bytes(bytes.len(), now);
        self.counts.requests += 1;
        let deadline = now + self.timeout();
        self.outstanding = Some(Outstanding { request_id, upstream, query, sent_at: now, deadline });
        Transmit { to: upstream.peer, bytes }
    }

    fn timeout(&self) -> Duration {
        let timing = &self.config.timing;
        (self.round_trip * TIMEOUT_ROUND_TRIPS).clamp(timing.min_timeout, timing.max_timeout)
    }

    fn count_bytes(&mut self, bytes: usize, now: Time) {
        let bytes = bytes + self.config.timing.message_overhead as usize;
        self.counts.bytes += bytes as u64;
        self.budget.spend(bytes, now);
    }

    fn record_round_trip(&mut self, sample: Duration) {
        self.round_trip = match self.round_trip {
            Duration::ZERO => sample,
            known => (known * 7 + sample) / 8,
        };
    }

    /// A late reply shows how long replies take.
    fn record_late_reply(&mut self, request_id: u32, now: Time) {
        let at = self.timed_out.iter().position(|(timed_out, _)| *timed_out == request_id);
        if let Some((_, sent_at)) = at.and_then(|at| self.timed_out.remove(at)) {
            self.record_round_trip(now.saturating_sub(sent_at));
        }
    }

    fn time_out_request(&mut self, now: Time) {
        let Some(outstanding) = self.outstanding.take() else { return };
        self.timed_out.push_back((outstanding.request_id, outstanding.sent_at));
        if self.timed_out.len() > MAX_TIMED_OUT_REQUESTS {
            self.timed_out.pop_front();
        }
        self.handle_failure(now, false);
    }

    /// Handles a failed request: the next one follows after a random delay whose upper bound doubles (full jitter).
    /// An unusable upstream is left at once.
    fn handle_failure(&mut self, now: Time, is_unusable: bool) {
        self.counts.failures += 1;
        let failures = self.upstreams.failures();
        if self.upstreams.record_failure(now, &self.config.timing, is_unusable) {
            self.counts.failovers += 1;
        }
        let timing = &self.config.timing;
        let is_disconnected = self.log_age(now).is_none_or(|age| age > timing.staleness_bound)
            && failures as usize >= timing.failures_before_failover as usize * self.upstreams.len().max(1);
        let max_delay = if is_disconnected { timing.max_stale_backoff } else { timing.max_backoff };
        let bound = timing.initial_backoff.saturating_mul(1 << failures.min(16)).min(max_delay);
        self.backoff_until = now + random_up_to(&mut self.random, bound);
    }

    fn handle_reply(
        &mut self,
        now: Time,
        outstanding: &Outstanding,
        reply: Reply,
    ) -> Result<Received, ReceiveError> {
        let role = outstanding.upstream.role;
        let Reply { token, age_ms, body } = reply;
        let is_serving = body != ReplyBody::NotServing;
        if is_serving && !self.upstreams.accept_token(role, token) {
            self.counts.fenced += 1;
            return Err(ReceiveError::Fenced { token, highest: self.upstreams.highest_token(role) });
        }
        let age = Duration::from_millis(u64::from(age_ms));
        let changes = match body {
            ReplyBody::Changes { to, head, digest, changes } => {
                let changes = self.apply_changes(now, outstanding, &changes, (to, head))?;
                if to == head {
                    self.confirm(outstanding.sent_at, age, digest);
                }
                self.schedule_poll(now, to == head);
                changes
            }
            ReplyBody::ResyncRequired(digests) => {
                self.schedule_poll(now, true);
                let changes = self.resynchronize(now, &digests)?;
                self.fail_over_if_essential_missing(now);
                changes
            }
            ReplyBody::Partitions(digests) => {
                // A relay that is still synchronizing is queried again, but not immediately.
                self.digests_due = now + self.config.timing.poll_interval * DIGEST_INTERVAL_POLLS;
                let changes = self.handle_partitions(now, &digests)?;
                self.fail_over_if_essential_missing(now);
                changes
            }
            ReplyBody::RangeDigests { position, partition, digests } => {
                self.check_position(now, position)?;
                if outstanding.query != (Query::RangeDigests { partition: partition.clone() }) {
                    return Err(ReceiveError::Inconsistent);
                }
                self.synchronization.handle_range_digests(
                    &mut self.replica,
                    &partition,
                    &digests,
                    position.sequence,
                )?;
                Vec::new()
            }
            ReplyBody::Contents { position, ranges } => {
                self.check_position(now, position)?;
                let Query::Contents { ranges: requested } = &outstanding.query else {
                    return Err(ReceiveError::Inconsistent);
                };
                self.synchronization.handle_contents(
                    &mut self.replica,
                    requested,
                    &ranges,
                    position.sequence,
                )?
            }
            ReplyBody::Busy { retry_after_ms } => {
                self.back_off_while_busy(now, retry_after_ms);
                Vec::new()
            }
            ReplyBody::Lagging | ReplyBody::NotServing => return Err(ReceiveError::NotServing),
        };
        self.upstreams.record_success();
        if age > self.config.timing.max_upstream_age {
            self.fail_over(now);
        }
        Ok(Received { changes })
    }

    fn handle_unsupported(
        &mut self,
        outstanding: &Outstanding,
        versions: Versions,
    ) -> Result<Received, ReceiveError> {
        // A peer that has no other version in common, or that rejects the common one, can't be queried.
        match self.upstreams.negotiate_version(outstanding.upstream.peer, versions) {
            true => Ok(Received::default()),
            false => Err(ReceiveError::NoCommonVersion),
        }
    }

    fn apply_changes(
        &mut self,
        now: Time,
        outstanding: &Outstanding,
        changes: &[NumberedChange],
        (to, head): (u64, u64),
    ) -> Result<Vec<Change>, ReceiveError> {
        let Query::Changes { after: Some(after) } = &outstanding.query else {
            return Err(ReceiveError::Inconsistent);
        };
        let span = to.checked_sub(after.sequence).ok_or(ReceiveError::Inconsistent)?;
        let is_ordered = changes.windows(2).all(|pair| pair[0].offset < pair[1].offset);
        let is_within = changes.iter().all(|numbered| (1..=span).contains(&numbered.offset));
        if !is_ordered || !is_within || self.replica.position() != Some(*after) {
            return Err(ReceiveError::Inconsistent);
        }
        match self.replica.apply(changes, to, head) {
            Ok(changes) => Ok(changes),
            Err(error) => {
                // Applied changes are kept, but the replica is no longer known to match the source.
                self.poll_due = now;
                self.replica.invalidate();
                Err(error.into())
            }
        }
    }

    fn schedule_poll(&mut self, now: Time, is_at_head: bool) {
        let poll_interval = self.config.timing.poll_interval;
        self.poll_due = match is_at_head {
            // Half of the interval is random, so that subscribers that started together spread out.
            true => now + poll_interval * 3 / 4 + random_up_to(&mut self.random, poll_interval / 2),
            false => now + self.budget.time_until_available(MIN_CHANGES_BYTES, now),
        };
    }

    /// The replica is as new as the relay's was when the request was sent, which had this age.
    fn confirm(&mut self, sent_at: Time, age: Duration, digest: Option<u64>) {
        let timing = &self.config.timing;
        let new = Confirmation { at: sent_at, age };
        let newer = |old: Option<Confirmation>| match old {
            Some(old) if old.age_at(sent_at, timing) < age => Some(old),
            _ => Some(new),
        };
        self.log_confirmed = newer(self.log_confirmed);
        if self.has_essential_partitions() {
            self.essential_confirmed = newer(self.essential_confirmed);
        }
        if !self.replica.is_complete() {
            return;
        }
        if digest.is_some_and(|digest| digest != self.replica.digest()) {
            self.counts.mismatches += 1;
            self.replica.invalidate();
            self.synchronization.clear();
            return;
        }
        self.all_confirmed = newer(self.all_confirmed);
    }

    /// Restarts at the position of another replica and verifies the existing records, because the history no longer
    /// covers this replica's position or the epoch is another one.
    fn resynchronize(&mut self, now: Time, digests: &PartitionDigests) -> Result<Vec<Change>, ReceiveError> {
        if self.replica.position().is_some_and(|position| digests.position < position) {
            return Err(ReceiveError::Inconsistent);
        }
        self.counts.resynchronizations += 1;
        self.replica.start_at(digests.position);
        self.digests_due = now + self.config.timing.poll_interval * DIGEST_INTERVAL_POLLS;
        Ok(self.synchronization.begin(&mut self.replica, digests, &self.config.priority)?)
    }

    fn handle_partitions(
        &mut self,
        now: Time,
        digests: &PartitionDigests,
    ) -> Result<Vec<Change>, ReceiveError> {
        self.check_position(now, digests.position)?;
        Ok(self.synchronization.begin(&mut self.replica, digests, &self.config.priority)?)
    }

    /// Checks that digests and ranges belong to this epoch and are not older than the replica.
    fn check_position(&mut self, now: Time, position: Position) -> Result<(), ReceiveError> {
        let known = self.replica.position().ok_or(ReceiveError::Inconsistent)?;
        if position.epoch > known.epoch {
            // The next request for changes reveals the new epoch.
            self.poll_due = now;
            self.synchronization.clear();
            return Err(ReceiveError::Inconsistent);
        }
        if position < known {
            return Err(ReceiveError::Inconsistent);
        }
        Ok(())
    }

    fn back_off_while_busy(&mut self, now: Time, retry_after_ms: u32) {
        let max_delay = self.config.timing.max_stale_backoff;
        let wait = Duration::from_millis(u64::from(retry_after_ms)).min(max_delay);
        self.backoff_until = now + wait / 2 + random_up_to(&mut self.random, wait);
    }

    /// Whether a step is not essential and must wait until the essential partitions are known.
    fn is_deferred(&self, step: &Step) -> bool {
        let mut essential = self.config.priority.iter().take(self.config.essential_partitions);
        let is_essential = match step {
            Step::Compare(partition) => essential.any(|known| known == partition),
            Step::Fetch(ranges) => {
                essential.any(|known| ranges.iter().any(|range| range.partition == *known))
            }
        };
        !is_essential && !self.has_essential_partitions()
    }

    fn has_essential_partitions(&self) -> bool {
        let mut essential = self.config.priority.iter().take(self.config.essential_partitions);
        essential.all(|partition| self.replica.is_verified(partition))
    }

    /// Switches to another upstream if this one, which may have just started, has none of the missing essential
    /// partitions. It is tried again in its turn.
    fn fail_over_if_essential_missing(&mut self, now: Time) {
        let essential = self.config.priority.iter().take(self.config.essential_partitions);
        let is_pending = self.synchronization.has_work_for(essential);
        if !is_pending && !self.has_essential_partitions() {
            self.digests_due = now + self.config.timing.poll_interval;
            self.fail_over(now);
        }
    }

    fn fail_over(&mut self, now: Time) {
        self.counts.failovers += 1;
        self.upstreams.fail_over(now);
    }
}

/// A random duration between zero and `span`.
fn random_up_to(random: &mut fastrand::Rng, span: Duration) -> Duration {
    let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
    Duration::from_micros(random.u64(0..=micros))
}
