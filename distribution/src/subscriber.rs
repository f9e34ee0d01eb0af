//! A dispatcher's side: keeps its copy up to date by asking a relay, another one where that fails, and knows how old
//! its copy is.

use crate::budget::ByteBudget;
use crate::history::NumberedChange;
use crate::message::{
    Answer, Ask, DecodeError, Message, PartitionDigests, Reply, Request, Service, Versions,
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

/// Questions whose late answers still tell the round-trip time.
const MAX_RECENT: usize = 8;
/// Answers that are waited for this many round-trip times.
const TIMEOUT_ROUND_TRIPS: u32 = 3;
/// The least answer with ranges that is worth a question, in bytes.
const LEAST_CONTENTS: u32 = 512;
/// The least answer with changes: these are asked for whatever else was spent.
const LEAST_CHANGES: u32 = 512;
/// Polls between two questions for digests, where the relay itself is still fetching.
const POLLS_BETWEEN_DIGESTS: u32 = 4;

/// What a subscriber is set up with.
#[derive(Clone, Debug, Default)]
pub struct SubscriberConfig {
    /// Partitions in the order in which they are wanted: the first ones are those without which nothing can be served.
    pub priority: Vec<Partition>,
    /// How many of these are essential.
    pub essential_partitions: usize,
    /// Spans and rates.
    pub timing: Timing,
    /// Bounds of the copy.
    pub limits: Limits,
    /// Versions that are spoken.
    pub versions: Versions,
    /// For all random waits; another one at each process.
    pub seed: u64,
}

/// Bytes to send.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Transmit {
    /// To whom.
    pub to: PeerId,
    /// What.
    pub bytes: Vec<u8>,
}

/// Why a message was not taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ReceiveError {
    /// It is none.
    #[error(transparent)]
    Decode(#[from] DecodeError),
    /// It answers no question that is open: late, doubled, or of a stranger.
    #[error("no question that is open is answered by this")]
    Unasked,
    /// It is under a token that is older than another one of the same role.
    #[error("token {token} is older than {highest}")]
    Fenced {
        /// The message's.
        token: Token,
        /// The newest one that was seen.
        highest: Token,
    },
    /// The other process does not serve in this role, or its copy is older than this one.
    #[error("the process that was asked can't answer")]
    NotServing,
    /// It speaks no version that is spoken here.
    #[error("no version is spoken by both")]
    NoCommonVersion,
    /// It would take the copy back, or does not fit the question.
    #[error("the answer does not fit the question")]
    Inconsistent,
    /// The copy would leave its bounds.
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

/// What a process may do by its copy alone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// Nothing essential is known: wait, or ask discovery.
    Unknown,
    /// The essential partitions are within the staleness bound, others are still to come.
    Essential,
    /// All is within the staleness bound.
    Fresh,
    /// The copy is older than the staleness bound: discovery has to be asked.
    Stale,
}

/// What came of a message.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Received {
    /// What is different in the copy, in order.
    pub changes: Vec<Change>,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Questions asked.
    pub requests: u64,
    /// Questions that came to no usable answer.
    pub failures: u64,
    /// Times that another upstream was gone over to.
    pub failovers: u64,
    /// Answers refused for their token.
    pub fenced: u64,
    /// Times that the copy had to be verified by digests.
    pub resynchronizations: u64,
    /// Times that the copy was not what the source's digest said.
    pub mismatches: u64,
    /// Bytes sent and received, with the overhead of messages.
    pub bytes: u64,
}

#[derive(Clone, Debug)]
struct Outstanding {
    number: u32,
    upstream: Upstream,
    ask: Ask,
    sent_at: Time,
    deadline: Time,
}

/// At this time the copy was so old at most.
#[derive(Clone, Copy, Debug)]
struct Confirmed {
    at: Time,
    age: Duration,
}

impl Confirmed {
    fn age_at(&self, now: Time, timing: &Timing) -> Duration {
        with_drift(now.saturating_sub(self.at), timing) + self.age
    }
}

/// A span of this process's clock as it is at most by the slowest clock allowed.
pub(crate) fn with_drift(span: Duration, timing: &Timing) -> Duration {
    span + span * timing.drift_permille / 1000
}

/// A dispatcher's copy, and how it is kept.
#[derive(Clone, Debug)]
pub struct Subscriber {
    config: SubscriberConfig,
    replica: Replica,
    upstreams: Upstreams,
    synchronization: Synchronization,
    outstanding: Option<Outstanding>,
    /// Questions that were given up: late answers to them tell how long answers take.
    recent: VecDeque<(u32, Time)>,
    next_number: u32,
    round_trip: Duration,
    budget: ByteBudget,
    changes_due: Time,
    digests_due: Time,
    /// After a failure nothing is asked before.
    quiet_until: Time,
    log: Option<Confirmed>,
    essential: Option<Confirmed>,
    all: Option<Confirmed>,
    counts: Counts,
    random: fastrand::Rng,
}

impl Subscriber {
    /// A subscriber that begins, with what it has kept or with nothing. What is kept is verified before it counts.
    pub fn new(config: SubscriberConfig, replica: Option<Replica>, now: Time) -> Subscriber {
        let mut random = fastrand::Rng::with_seed(config.seed);
        let poll_every = config.timing.poll_every;
        let mut replica = replica.unwrap_or_else(|| Replica::new(config.limits.clone()));
        replica.unverify();
        Subscriber {
            replica,
            upstreams: Upstreams::new(config.versions),
            synchronization: Synchronization::default(),
            outstanding: None,
            recent: VecDeque::new(),
            next_number: random.u32(..),
            round_trip: Duration::ZERO,
            budget: ByteBudget::new(config.timing.bytes_per_second, config.timing.bytes_per_second, now),
            // Those that were started together do not ask together.
            changes_due: now + random_part(&mut random, poll_every),
            digests_due: now,
            quiet_until: now,
            log: None,
            essential: None,
            all: None,
            counts: Counts::default(),
            random,
            config,
        }
    }

    /// The copy.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Gives the copy away, to one that becomes the source.
    pub fn into_replica(self) -> Replica {
        self.replica
    }

    /// Counts since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Sets whom to ask, in order of preference. Those whose token is older than one that was seen are left out.
    pub fn set_upstreams(&mut self, upstreams: &[Upstream]) {
        self.upstreams.set(upstreams);
    }

    /// How old the log is at most, as far as its changes were applied; none before the first answer.
    pub fn log_age(&self, now: Time) -> Option<Duration> {
        self.log.map(|confirmed| confirmed.age_at(now, &self.config.timing))
    }

    /// How old the essential partitions are at most; none before they were known.
    pub fn essential_age(&self, now: Time) -> Option<Duration> {
        self.essential.map(|confirmed| confirmed.age_at(now, &self.config.timing))
    }

    /// How old the whole copy is at most; none before all of it was known.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.all.map(|confirmed| confirmed.age_at(now, &self.config.timing))
    }

    /// What this process may do by its copy alone.
    pub fn standing(&self, now: Time) -> Standing {
        let bound = self.config.timing.staleness_bound;
        let is_within = |age: Option<Duration>| age.is_some_and(|age| age <= bound);
        match (self.essential_age(now), self.age(now)) {
            (_, all) if is_within(all) => Standing::Fresh,
            (None, _) => Standing::Unknown,
            (essential, None) if is_within(essential) => Standing::Essential,
            _ => Standing::Stale,
        }
    }

    /// Takes what discovery itself has told this process, where the copy is too old. It is provisional: the source's log
    /// is what counts once it is heard again, and ranges that differ from it are fetched then.
    ///
    /// # Errors
    /// A change is out of bounds; those before it were taken.
    pub fn take_from_discovery(&mut self, changes: &[Change]) -> Result<Vec<Change>, StoreError> {
        let mut taken = Vec::new();
        for change in changes {
            if self.replica.overwrite(change)? {
                taken.push(change.clone());
            }
        }
        Ok(taken)
    }

    /// When [`Subscriber::poll`] may have something to send.
    pub fn wake_at(&mut self, now: Time) -> Time {
        if let Some(outstanding) = &self.outstanding {
            return outstanding.deadline;
        }
        if self.upstreams.is_empty() {
            return now + self.config.timing.poll_every;
        }
        let affordable_at = now + self.budget.wait_for(LEAST_CONTENTS, now);
        let work_at = if self.replica.position().is_none() || self.replica.is_complete() {
            self.changes_due
        } else if self.synchronization.next().is_some_and(|step| !self.must_wait(&step)) {
            affordable_at
        } else {
            self.digests_due.max(affordable_at)
        };
        work_at.min(self.changes_due).max(self.quiet_until)
    }

    /// What to send now, if anything. Gives up what was not answered in time.
    pub fn poll(&mut self, now: Time) -> Option<Transmit> {
        if let Some(outstanding) = &self.outstanding {
            if now < outstanding.deadline {
                return None;
            }
            self.give_up(now);
        }
        if now < self.quiet_until {
            return None;
        }
        let upstream = self.upstreams.current(now, &self.config.timing)?;
        let request = self.next_request(now, upstream.role.service())?;
        Some(self.send(now, upstream, request))
    }

    /// Takes a message of a peer that the caller has authenticated.
    ///
    /// # Errors
    /// It was not taken; [`ReceiveError`] says why. The subscriber goes on by itself.
    pub fn receive(&mut self, now: Time, from: PeerId, bytes: &[u8]) -> Result<Received, ReceiveError> {
        self.count_bytes(bytes.len(), now);
        let (header, message) = Message::decode(bytes, self.config.versions)?;
        let is_answer = |open: &Outstanding| open.number == header.number && open.upstream.peer == from;
        let Some(outstanding) = self.outstanding.take_if(|open| is_answer(open)) else {
            self.learn_from_late(header.number, now);
            return Err(ReceiveError::Unasked);
        };
        self.learn_round_trip(now.saturating_sub(outstanding.sent_at));
        let result = match message {
            Message::Reply(reply) => self.take_reply(now, &outstanding, reply),
            Message::Unsupported(versions) => self.take_unsupported(&outstanding, versions),
            Message::Request(_) => Err(ReceiveError::Inconsistent),
        };
        if let Err(error) = result {
            let is_of_no_use = matches!(error, ReceiveError::NotServing | ReceiveError::NoCommonVersion);
            self.failed(now, is_of_no_use);
        }
        result
    }

    fn next_request(&mut self, now: Time, service: Service) -> Option<Request> {
        let longest = self.config.timing.longest_answer;
        let available = self.budget.available(now);
        if now >= self.changes_due {
            let ask = Ask::Changes { after: self.replica.position() };
            let max_bytes = available.clamp(LEAST_CHANGES, longest);
            return Some(Request { service, max_bytes, ask });
        }
        if self.replica.position().is_none() || available < LEAST_CONTENTS {
            return None;
        }
        let lacks_digests = !self.replica.is_complete() && now >= self.digests_due;
        let ask = match self.synchronization.next() {
            // The relay may have what is needed most by now, whatever else is still to be fetched.
            _ if lacks_digests && !self.knows_the_essential() => Ask::Partitions,
            // Nor does it take a relay's bytes from those that lack their own zone.
            Some(step) if self.must_wait(&step) => return None,
            Some(Step::Compare(partition)) => Ask::RangeDigests { partition },
            Some(Step::Fetch(ranges)) => Ask::Contents { ranges },
            None if lacks_digests => Ask::Partitions,
            None => return None,
        };
        Some(Request { service, max_bytes: available.min(longest), ask })
    }

    fn send(&mut self, now: Time, upstream: Upstream, request: Request) -> Transmit {
        let number = self.next_number;
        self.next_number = number.wrapping_add(1);
        let ask = request.ask.clone();
        let version = self.upstreams.version(upstream.peer);
        let bytes = Message::Request(request).encode(version, number);
        self.count_bytes(bytes.len(), now);
        self.counts.requests += 1;
        let deadline = now + self.timeout();
        self.outstanding = Some(Outstanding { number, upstream, ask, sent_at: now, deadline });
        Transmit { to: upstream.peer, bytes }
    }

    fn timeout(&self) -> Duration {
        let timing = &self.config.timing;
        (self.round_trip * TIMEOUT_ROUND_TRIPS).clamp(timing.shortest_timeout, timing.longest_timeout)
    }

    fn count_bytes(&mut self, bytes: usize, now: Time) {
        let bytes = bytes + self.config.timing.message_overhead as usize;
        self.counts.bytes += bytes as u64;
        self.budget.spend(bytes, now);
    }

    fn learn_round_trip(&mut self, sample: Duration) {
        self.round_trip = match self.round_trip {
            Duration::ZERO => sample,
            known => (known * 7 + sample) / 8,
        };
    }

    /// An answer that came too late shows that answers take that long.
    fn learn_from_late(&mut self, number: u32, now: Time) {
        let at = self.recent.iter().position(|(recent, _)| *recent == number);
        if let Some((_, sent_at)) = at.and_then(|at| self.recent.remove(at)) {
            self.learn_round_trip(now.saturating_sub(sent_at));
        }
    }

    fn give_up(&mut self, now: Time) {
        let Some(outstanding) = self.outstanding.take() else { return };
        self.recent.push_back((outstanding.number, outstanding.sent_at));
        if self.recent.len() > MAX_RECENT {
            self.recent.pop_front();
        }
        self.failed(now, false);
    }

    /// A question came to nothing: the next one comes after a random wait whose bound doubles (full jitter). One that
    /// is of no use is left at once.
    fn failed(&mut self, now: Time, is_of_no_use: bool) {
        self.counts.failures += 1;
        let failures = self.upstreams.failures();
        if self.upstreams.failed(now, &self.config.timing, is_of_no_use) {
            self.counts.failovers += 1;
        }
        let timing = &self.config.timing;
        let is_lost = self.log_age(now).is_none_or(|age| age > timing.staleness_bound)
            && failures as usize >= timing.failures_before_failover as usize * self.upstreams.len().max(1);
        let longest = if is_lost { timing.stale_backoff } else { timing.longest_backoff };
        let bound = timing.first_backoff.saturating_mul(1 << failures.min(16)).min(longest);
        self.quiet_until = now + random_part(&mut self.random, bound);
    }

    fn take_reply(
        &mut self,
        now: Time,
        outstanding: &Outstanding,
        reply: Reply,
    ) -> Result<Received, ReceiveError> {
        let role = outstanding.upstream.role;
        let Reply { token, age_ms, answer } = reply;
        let is_serving = answer != Answer::NotServing;
        if is_serving && !self.upstreams.admits(role, token) {
            self.counts.fenced += 1;
            return Err(ReceiveError::Fenced { token, highest: self.upstreams.highest(role) });
        }
        let age = Duration::from_millis(u64::from(age_ms));
        let changes = match answer {
            Answer::Changes { to, head, digest, changes } => {
                let changes = self.take_changes(now, outstanding, &changes, (to, head))?;
                if to == head {
                    self.confirm(outstanding.sent_at, age, digest);
                }
                self.schedule_changes(now, to == head);
                changes
            }
            Answer::Behind(digests) => {
                self.schedule_changes(now, true);
                let changes = self.resynchronize(now, &digests)?;
                self.leave_one_that_lacks_the_essential(now);
                changes
            }
            Answer::Partitions(digests) => {
                // A relay that is still fetching itself is asked again, though not at once.
                self.digests_due = now + self.config.timing.poll_every * POLLS_BETWEEN_DIGESTS;
                let changes = self.take_partitions(now, &digests)?;
                self.leave_one_that_lacks_the_essential(now);
                changes
            }
            Answer::RangeDigests { position, partition, digests } => {
                self.check_position(now, position)?;
                if outstanding.ask != (Ask::RangeDigests { partition: partition.clone() }) {
                    return Err(ReceiveError::Inconsistent);
                }
                self.synchronization.compared(&mut self.replica, &partition, &digests, position.sequence)?;
                Vec::new()
            }
            Answer::Contents { position, ranges } => {
                self.check_position(now, position)?;
                let Ask::Contents { ranges: asked } = &outstanding.ask else {
                    return Err(ReceiveError::Inconsistent);
                };
                self.synchronization.fetched(&mut self.replica, asked, &ranges, position.sequence)?
            }
            Answer::Busy { retry_after_ms } => {
                self.wait_for_busy(now, retry_after_ms);
                Vec::new()
            }
            Answer::Lagging | Answer::NotServing => return Err(ReceiveError::NotServing),
        };
        self.upstreams.succeeded();
        if age > self.config.timing.stale_upstream {
            self.fail_over(now);
        }
        Ok(Received { changes })
    }

    fn take_unsupported(
        &mut self,
        outstanding: &Outstanding,
        versions: Versions,
    ) -> Result<Received, ReceiveError> {
        // One that has no other version in common, or that refuses the common one, can't be asked.
        match self.upstreams.speaks(outstanding.upstream.peer, versions) {
            true => Ok(Received::default()),
            false => Err(ReceiveError::NoCommonVersion),
        }
    }

    fn take_changes(
        &mut self,
        now: Time,
        outstanding: &Outstanding,
        changes: &[NumberedChange],
        (to, head): (u64, u64),
    ) -> Result<Vec<Change>, ReceiveError> {
        let Ask::Changes { after: Some(after) } = &outstanding.ask else {
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
                // What was applied stays, but is no longer known to be the source's.
                self.changes_due = now;
                self.replica.unverify();
                Err(error.into())
            }
        }
    }

    fn schedule_changes(&mut self, now: Time, is_at_head: bool) {
        let poll_every = self.config.timing.poll_every;
        self.changes_due = match is_at_head {
            // Half of it at random, so that those that began together drift apart.
            true => now + poll_every * 3 / 4 + random_part(&mut self.random, poll_every / 2),
            false => now + self.budget.wait_for(LEAST_CHANGES, now),
        };
    }

    /// The copy is as new as the relay's was when the question went out, and that was so old.
    fn confirm(&mut self, sent_at: Time, age: Duration, digest: Option<u64>) {
        let timing = &self.config.timing;
        let new = Confirmed { at: sent_at, age };
        let newer = |old: Option<Confirmed>| match old {
            Some(old) if old.age_at(sent_at, timing) < age => Some(old),
            _ => Some(new),
        };
        self.log = newer(self.log);
        if self.knows_the_essential() {
            self.essential = newer(self.essential);
        }
        if !self.replica.is_complete() {
            return;
        }
        if digest.is_some_and(|digest| digest != self.replica.digest()) {
            self.counts.mismatches += 1;
            self.replica.unverify();
            self.synchronization.clear();
            return;
        }
        self.all = newer(self.all);
    }

    /// The log has gone on beyond the history, or is another one: begins at its position, and verifies what is here.
    fn resynchronize(&mut self, now: Time, digests: &PartitionDigests) -> Result<Vec<Change>, ReceiveError> {
        if self.replica.position().is_some_and(|position| digests.position < position) {
            return Err(ReceiveError::Inconsistent);
        }
        self.counts.resynchronizations += 1;
        self.replica.adopt(digests.position);
        self.digests_due = now + self.config.timing.poll_every * POLLS_BETWEEN_DIGESTS;
        Ok(self.synchronization.begin(&mut self.replica, digests, &self.config.priority)?)
    }

    fn take_partitions(
        &mut self,
        now: Time,
        digests: &PartitionDigests,
    ) -> Result<Vec<Change>, ReceiveError> {
        self.check_position(now, digests.position)?;
        Ok(self.synchronization.begin(&mut self.replica, digests, &self.config.priority)?)
    }

    /// Digests and ranges have to be of this epoch, and not older than the copy.
    fn check_position(&mut self, now: Time, position: Position) -> Result<(), ReceiveError> {
        let known = self.replica.position().ok_or(ReceiveError::Inconsistent)?;
        if position.epoch > known.epoch {
            // The next question for changes tells of the new epoch.
            self.changes_due = now;
            self.synchronization.clear();
            return Err(ReceiveError::Inconsistent);
        }
        if position < known {
            return Err(ReceiveError::Inconsistent);
        }
        Ok(())
    }

    fn wait_for_busy(&mut self, now: Time, retry_after_ms: u32) {
        let longest = self.config.timing.stale_backoff;
        let wait = Duration::from_millis(u64::from(retry_after_ms)).min(longest);
        self.quiet_until = now + wait / 2 + random_part(&mut self.random, wait);
    }

    /// What is not essential waits until the essential partitions are known.
    fn must_wait(&self, step: &Step) -> bool {
        let mut essential = self.config.priority.iter().take(self.config.essential_partitions);
        let is_essential = match step {
            Step::Compare(partition) => essential.any(|known| known == partition),
            Step::Fetch(ranges) => {
                essential.any(|known| ranges.iter().any(|range| range.partition == *known))
            }
        };
        !is_essential && !self.knows_the_essential()
    }

    fn knows_the_essential(&self) -> bool {
        let mut essential = self.config.priority.iter().take(self.config.essential_partitions);
        essential.all(|partition| self.replica.is_verified(partition))
    }

    /// A relay that has just started itself may have nothing of what is needed most: another one is asked, and the
    /// first one again in its turn.
    fn leave_one_that_lacks_the_essential(&mut self, now: Time) {
        let essential = self.config.priority.iter().take(self.config.essential_partitions);
        let is_to_come = self.synchronization.holds_any(essential);
        if !is_to_come && !self.knows_the_essential() {
            self.digests_due = now + self.config.timing.poll_every;
            self.fail_over(now);
        }
    }

    fn fail_over(&mut self, now: Time) {
        self.counts.failovers += 1;
        self.upstreams.fail_over(now);
    }
}

/// A random part of a span.
fn random_part(random: &mut fastrand::Rng, span: Duration) -> Duration {
    let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
    Duration::from_micros(random.u64(0..=micros))
}
