//! Membership as known to this member, by the SWIM protocol of the crate `foca`. It may be temporarily wrong, so
//! ownership never depends on it; it is used to choose whom to contact and whom to declare dead.

use crate::timing::Timing;
use crate::{Incarnation, Member, Time};
use bytes::{Buf, BufMut};
use foca::{
    Codec, Config, Foca, Header, Identity, NoCustomBroadcast, OwnedNotification, PeriodicParams, Runtime,
    Timer,
};
use rand::rngs::StdRng;
use rand::SeedableRng;
use std::collections::{BTreeMap, BinaryHeap};
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Maximum size of a gossip message, in bytes.
const MAX_MESSAGE_BYTES: usize = 1400;

/// State of a member, as known to this member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberState {
    /// Nothing was ever heard of it.
    Unheard,
    /// It responds to probes.
    Alive,
    /// It did not respond to some member and may still recover.
    Suspect,
    /// It was declared dead. It is notified of this if it is reachable.
    Dead,
    /// It announced that it leaves.
    Left,
}

/// A member as seen by this member.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberStatus {
    /// Its newest known incarnation.
    pub incarnation: Option<Incarnation>,
    /// Its state.
    pub state: MemberState,
    /// The time of the last state change, by the clock of this process.
    pub since: Time,
    /// The reason for the last state change.
    pub reason: &'static str,
}

/// A membership change.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipChange {
    /// The status of another member has changed.
    Member(Member, MemberStatus),
    /// This process was declared dead and continues under this incarnation.
    NewIncarnation(Incarnation),
}

impl Identity for Incarnation {
    type Addr = Member;

    fn renew(&self) -> Option<Incarnation> {
        Some(Incarnation { number: self.number + 1, ..*self })
    }

    fn addr(&self) -> Member {
        self.member
    }

    fn win_addr_conflict(&self, other: &Incarnation) -> bool {
        self.number > other.number
    }
}

/// Encodes gossip messages in the same compact format as all frames.
struct PostcardCodec;

#[derive(Debug)]
struct Malformed(postcard::Error);

impl std::fmt::Display for Malformed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

impl std::error::Error for Malformed {}

fn encode(value: &impl serde::Serialize, mut to: impl BufMut) -> Result<(), Malformed> {
    let bytes = postcard::to_stdvec(value).map_err(Malformed)?;
    if to.remaining_mut() < bytes.len() {
        return Err(Malformed(postcard::Error::SerializeBufferFull));
    }
    to.put_slice(&bytes);
    Ok(())
}

fn decode<T: for<'de> serde::Deserialize<'de>>(mut from: impl Buf) -> Result<T, Malformed> {
    let bytes = from.chunk();
    let (value, rest) = postcard::take_from_bytes(bytes).map_err(Malformed)?;
    let taken = bytes.len() - rest.len();
    from.advance(taken);
    Ok(value)
}

impl Codec<Incarnation> for PostcardCodec {
    type Error = Malformed;

    fn encode_header(&mut self, header: &Header<Incarnation>, to: impl BufMut) -> Result<(), Malformed> {
        encode(header, to)
    }

    fn decode_header(&mut self, from: impl Buf) -> Result<Header<Incarnation>, Malformed> {
        decode(from)
    }

    fn encode_member(
        &mut self,
        member: &foca::Member<Incarnation>,
        to: impl BufMut,
    ) -> Result<(), Malformed> {
        encode(member, to)
    }

    fn decode_member(&mut self, from: impl Buf) -> Result<foca::Member<Incarnation>, Malformed> {
        decode(from)
    }
}

/// A scheduled timer of the gossip protocol, ordered so that the heap yields the earliest first.
struct ScheduledTimer(Time, u64, Timer<Incarnation>);

impl PartialEq for ScheduledTimer {
    fn eq(&self, other: &ScheduledTimer) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for ScheduledTimer {}

impl PartialOrd for ScheduledTimer {
    fn partial_cmp(&self, other: &ScheduledTimer) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledTimer {
    fn cmp(&self, other: &ScheduledTimer) -> std::cmp::Ordering {
        (other.0, other.1).cmp(&(self.0, self.1))
    }
}

/// Effects requested by the gossip protocol, collected until they are carried out.
#[derive(Default)]
struct QueuedEffects {
    now: Time,
    count: u64,
    timers: BinaryHeap<ScheduledTimer>,
    messages: Vec<(Member, Vec<u8>)>,
    notifications: Vec<OwnedNotification<Incarnation>>,
}

impl Runtime<Incarnation> for &mut QueuedEffects {
    fn notify(&mut self, notification: foca::Notification<'_, Incarnation>) {
        self.notifications.push(notification.to_owned());
    }

    fn send_to(&mut self, to: Incarnation, data: &[u8]) {
        self.messages.push((to.member, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Incarnation>, after: Duration) {
        self.count += 1;
        self.timers.push(ScheduledTimer(self.now + after, self.count, event));
    }
}

/// The membership list.
pub struct Members {
    foca: Foca<Incarnation, PostcardCodec, StdRng, NoCustomBroadcast>,
    effects: QueuedEffects,
    seen: BTreeMap<Member, MemberStatus>,
    me: Incarnation,
    changes: Vec<MembershipChange>,
    malformed_messages: u64,
    has_left: bool,
    join_at: Time,
    next: usize,
}

impl Members {
    /// Creates the membership list of one of `count` members.
    pub fn new(me: Incarnation, count: u16, timing: &Timing, seed: u64) -> Members {
        let all = (0..count).map(Member).filter(|m| *m != me.member);
        let unheard = MemberStatus {
            incarnation: None,
            state: MemberState::Unheard,
            since: Time::ZERO,
            reason: "nothing was heard of it",
        };
        Members {
            foca: Foca::new(me, config(count, timing), StdRng::seed_from_u64(seed), PostcardCodec),
            effects: QueuedEffects::default(),
            seen: all.map(|m| (m, unheard.clone())).collect(),
            me,
            changes: Vec::new(),
            malformed_messages: 0,
            has_left: false,
            join_at: Time::ZERO,
            next: seed as usize % usize::from(count.max(1)),
        }
    }

    /// The current incarnation of this process.
    pub fn me(&self) -> Incarnation {
        self.me
    }

    /// Handles a received gossip message.
    pub fn receive(&mut self, now: Time, bytes: &[u8]) {
        self.effects.now = now;
        if !self.has_left && self.foca.handle_data(bytes, &mut self.effects).is_err() {
            self.malformed_messages += 1;
        }
        self.process_notifications();
    }

    /// Runs due timers, and contacts members that are not active.
    pub fn tick(&mut self, now: Time) {
        self.effects.now = now;
        if self.has_left {
            return;
        }
        while self.effects.timers.peek().is_some_and(|due| due.0 <= now) {
            let Some(ScheduledTimer(_, _, event)) = self.effects.timers.pop() else { break };
            let _ = self.foca.handle_timer(event, &mut self.effects);
        }
        // A member that knows nobody, or that others may have lost sight of, announces itself to one missing member
        // at a time.
        if now >= self.join_at {
            let alone = self.foca.num_members() == 0;
            let missing: Vec<Member> =
                self.seen.iter().filter(|(_, s)| alone || !is_active(s.state)).map(|(m, _)| *m).collect();
            if !missing.is_empty() {
                self.next = (self.next + 1) % missing.len();
                let to = Incarnation { member: missing[self.next], number: 0 };
                let _ = self.foca.announce(to, &mut self.effects);
            }
            self.join_at = now + if alone { Duration::from_millis(200) } else { Duration::from_secs(2) };
        }
        self.process_notifications();
    }

    /// Continues under an incarnation newer than `after`, unless the current one already is.
    pub fn begin_incarnation(&mut self, now: Time, after: u64) {
        if self.me.number > after {
            return;
        }
        self.effects.now = now;
        let incarnation = Incarnation { number: after + 1, ..self.me };
        if self.foca.change_identity(incarnation, &mut self.effects).is_ok() {
            self.me = incarnation;
            self.changes.push(MembershipChange::NewIncarnation(incarnation));
        }
        self.process_notifications();
    }

    /// Announces that this process leaves.
    pub fn leave(&mut self, now: Time) {
        self.effects.now = now;
        if !std::mem::replace(&mut self.has_left, true) {
            let _ = self.foca.leave_cluster(&mut self.effects);
        }
        self.process_notifications();
    }

    /// Handles the announcement that a member leaves.
    pub fn handle_leave(&mut self, now: Time, incarnation: Incarnation) {
        let known = self.seen.get(&incarnation.member).and_then(|s| s.incarnation);
        if incarnation.member != self.me.member && known.is_none_or(|known| known <= incarnation) {
            self.set(now, incarnation, MemberState::Left, "it said that it goes");
        }
    }

    fn set(&mut self, now: Time, incarnation: Incarnation, state: MemberState, reason: &'static str) {
        let Some(seen) = self.seen.get_mut(&incarnation.member) else { return };
        if seen.incarnation.is_some_and(|known| known > incarnation)
            || (seen.incarnation == Some(incarnation) && seen.state == state)
        {
            return;
        }
        if seen.incarnation == Some(incarnation)
            && seen.state == MemberState::Left
            && state == MemberState::Dead
        {
            return;
        }
        *seen = MemberStatus { incarnation: Some(incarnation), state, since: now, reason };
        self.changes.push(MembershipChange::Member(incarnation.member, seen.clone()));
    }

    /// Converts gossip notifications to membership changes.
    fn process_notifications(&mut self) {
        let now = self.effects.now;
        let mut own = None;
        for notification in std::mem::take(&mut self.effects.notifications) {
            match notification {
                OwnedNotification::MemberUp(incarnation) => {
                    self.set(now, incarnation, MemberState::Alive, "it was heard of")
                }
                OwnedNotification::MemberDown(incarnation) => {
                    let ours = own == Some(incarnation);
                    let reason = if ours {
                        "it answered neither this member nor others"
                    } else {
                        "others declared it"
                    };
                    self.set(now, incarnation, MemberState::Dead, reason);
                }
                OwnedNotification::Rename(_, new) => {
                    self.set(now, new, MemberState::Alive, "it began a new incarnation")
                }
                OwnedNotification::ProbeFailed(_, incarnation) => own = Some(incarnation),
                OwnedNotification::Rejoin(incarnation) => {
                    self.me = incarnation;
                    self.changes.push(MembershipChange::NewIncarnation(incarnation));
                }
                _ => {}
            }
        }
        // Suspicion has no notification and is read from the member list.
        let states: Vec<(Incarnation, MemberState)> = self
            .foca
            .iter_members()
            .map(|m| {
                (
                    *m.id(),
                    if m.state() == foca::State::Suspect { MemberState::Suspect } else { MemberState::Alive },
                )
            })
            .collect();
        for (incarnation, state) in states {
            let reason = match state {
                MemberState::Suspect if own == Some(incarnation) => {
                    "it did not answer this member, nor others for it"
                }
                MemberState::Suspect => "others had no answer from it",
                _ => "it answers",
            };
            self.set(now, incarnation, state, reason);
        }
    }

    /// Takes the outgoing gossip messages and their receivers.
    pub fn take_messages(&mut self) -> Vec<(Member, Vec<u8>)> {
        std::mem::take(&mut self.effects.messages)
    }

    /// Takes the membership changes since the last call.
    pub fn take_changes(&mut self) -> Vec<MembershipChange> {
        std::mem::take(&mut self.changes)
    }

    /// Iterates over all other members.
    pub fn all(&self) -> impl Iterator<Item = (Member, &MemberStatus)> {
        self.seen.iter().map(|(m, s)| (*m, s))
    }

    /// The state of a member.
    pub fn state(&self, member: Member) -> MemberState {
        if member == self.me.member {
            return if self.has_left { MemberState::Left } else { MemberState::Alive };
        }
        self.seen.get(&member).map_or(MemberState::Unheard, |s| s.state)
    }

    /// Active members, including this one.
    pub fn active(&self) -> Vec<Member> {
        let mut all: Vec<Member> =
            self.seen.iter().filter(|(_, s)| is_active(s.state)).map(|(m, _)| *m).collect();
        if !self.has_left {
            all.push(self.me.member);
        }
        all.sort_unstable();
        all
    }

    /// Number of malformed messages received.
    pub fn malformed_messages(&self) -> u64 {
        self.malformed_messages
    }
}

fn is_active(state: MemberState) -> bool {
    matches!(state, MemberState::Alive | MemberState::Suspect)
}

fn config(count: u16, timing: &Timing) -> Config {
    let non_zero = |n| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
    // Each update is transmitted about three times the logarithm of the number of members.
    let transmissions = 3 * (u16::BITS - count.leading_zeros()) + 4;
    Config {
        probe_period: timing.probe_interval,
        probe_rtt: timing.probe_interval * 2 / 5,
        num_indirect_probes: non_zero(3),
        max_transmissions: NonZeroU8::new(transmissions as u8).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: timing.suspicion_timeout,
        remove_down_after: Some(Duration::from_secs(600)),
        max_packet_size: non_zero(MAX_MESSAGE_BYTES),
        notify_down_members: true,
        periodic_announce: Some(PeriodicParams {
            frequency: Duration::from_secs(20),
            num_members: non_zero(1),
        }),
        periodic_announce_to_down_members: Some(PeriodicParams {
            frequency: Duration::from_secs(2),
            num_members: non_zero(1),
        }),
        periodic_gossip: Some(PeriodicParams {
            frequency: timing.probe_interval / 2,
            num_members: non_zero(2),
        }),
    }
}
