//! A complete member of the fleet: gossip, lease client and, if it has one, its Raft replica. Frames and the current
//! time are passed in; frames and events are returned. The caller must call [`Node::tick`] every
//! [`Timing::tick_interval`].

use crate::consensus::{member_of, ConsensusEvent, RaftReplica, ReplicaId};
use crate::fence::FencingTokens;
use crate::frame::{Frame, HealthCheckRequest, LeaseResponse, OwnerReport, RaftMessage, ReplicaAnnouncement};
use crate::leader::Leader;
use crate::lease::Leases;
use crate::lease_client::{LeaseClient, LeaseReply};
use crate::log::{Log, LogStore};
use crate::members::{MemberState, MemberStatus, Members, MembershipChange};
use crate::timing::Timing;
use crate::{Incarnation, Member, Resource, Time, Token};
use std::collections::BTreeMap;
use std::time::Duration;

/// How often replicas outside the consensus group announce themselves.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(250);

/// Configuration of a node.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// Number of members.
    pub members: u16,
    /// Initial voters of a new fleet.
    pub voters: Vec<Member>,
    /// Timing parameters, equal at all members.
    pub timing: Timing,
    /// Seed of all random number generators.
    pub seed: u64,
    /// Greater than any token of an earlier fleet with the same members. It is derived from the wall clock and so
    /// grows faster than tokens are issued.
    pub floor: Token,
}

/// A replica as recovered from its disk at startup.
pub struct RecoveredReplica<D> {
    /// Id of the replica.
    pub replica_id: ReplicaId,
    /// The durable log; `None` if this disk has never been part of a consensus group.
    pub log: Option<Log>,
    /// The store for further changes.
    pub disk: D,
}

/// How this member takes part in the consensus group.
pub(crate) enum Participation<D> {
    NonVoter,
    Uninitialized(ReplicaId, D),
    Active(Box<RaftReplica<D>>),
    /// The durable state is not usable, for this reason.
    Failed(String),
}

/// An event for the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The status of a member has changed.
    MemberChanged(Member, MemberStatus),
    /// This process was declared dead and continues under this incarnation. Its leases are lost, and other members
    /// may take over the work it had begun.
    NewIncarnation(Incarnation),
    /// This process now owns a resource.
    Acquired(Resource, Token),
    /// This process no longer owns a resource, for this reason.
    Lost(Resource, &'static str),
    /// The process did not run for this long. All leases are dropped.
    Stalled(Duration),
    /// The leader of the voters, as known to this process, has changed.
    LeaderChanged(Option<Member>),
    /// An owner shared a result under a valid fencing token.
    OwnerReport(Member, OwnerReport),
    /// A member asks this process, as an owner, for a health check.
    HealthCheckRequested(Member, HealthCheckRequest),
    /// The replica of this member now takes part: the group was created, or the replica has joined it.
    ReplicaStarted,
    /// This process has no vote until it is restarted.
    ReplicaFailed(String),
}

/// A member of the fleet.
pub struct Node<D> {
    config: NodeConfig,
    pub(crate) members: Members,
    pub(crate) leases: Leases,
    pub(crate) lease_client: LeaseClient,
    pub(crate) participation: Participation<D>,
    leading: Option<Leader>,
    /// The latest announcement of each member whose replica is not known to be a voter.
    announcements: BTreeMap<Member, ReplicaAnnouncement>,
    announce_at: Time,
    fencing_tokens: FencingTokens,
    stale_reports: u64,
    leader: Option<Member>,
    outgoing: Vec<(Member, Frame)>,
    events: Vec<Event>,
    now: Time,
}

impl<D: LogStore> Node<D> {
    /// Creates a member. `recovered` is its replica, if the member has a disk for one.
    pub fn new(config: NodeConfig, recovered: Option<RecoveredReplica<D>>) -> Node<D> {
        let NodeConfig { incarnation, members, timing, seed, .. } = &config;
        let mut events = Vec::new();
        let participation = match recovered {
            None => Participation::NonVoter,
            Some(RecoveredReplica { replica_id, log: None, disk }) => {
                Participation::Uninitialized(replica_id, disk)
            }
            Some(RecoveredReplica { replica_id, log: Some(log), disk }) => {
                match RaftReplica::new(replica_id, log, disk, timing, seed.rotate_left(17)) {
                    Ok(replica) => Participation::Active(Box::new(replica)),
                    Err(reason) => {
                        events.push(Event::ReplicaFailed(reason.clone()));
                        Participation::Failed(reason)
                    }
                }
            }
        };
        Node {
            members: Members::new(*incarnation, *members, timing, *seed),
            leases: Leases::default(),
            lease_client: LeaseClient::new(config.voters.clone(), *seed as usize % 64),
            participation,
            leading: None,
            announcements: BTreeMap::new(),
            announce_at: Time::ZERO,
            fencing_tokens: FencingTokens::default(),
            stale_reports: 0,
            leader: None,
            outgoing: Vec::new(),
            events,
            now: Time::ZERO,
            config,
        }
    }

    /// Advances the time and does everything that is due. Leases lost to a suspension of the process are dropped
    /// first.
    pub fn tick(&mut self, now: Time) {
        self.drop_expired_leases(now);
        self.members.tick(now);
        self.announce(now);
        if let Participation::Active(replica) = &mut self.participation {
            replica.tick();
        }
        self.process_consensus(now);
        if let (Some(leading), Participation::Active(replica)) = (&mut self.leading, &mut self.participation)
        {
            let uninitialized = self.announcements.iter().map(|(m, r)| (*m, r.replica_id)).collect();
            leading.tick(
                now,
                (self.config.floor, &uninitialized),
                replica,
                &self.members,
                &self.config.timing,
            );
        }
        self.process_consensus(now);
        self.request_leases(now);
        self.process_membership();
    }

    /// Handles a frame from another member, received over an authenticated link.
    pub fn receive(&mut self, now: Time, from: Member, frame: Frame) {
        self.drop_expired_leases(now);
        match frame {
            Frame::Swim(bytes) => self.members.receive(now, &bytes),
            Frame::Leave(incarnation) if incarnation.member == from => {
                self.members.handle_leave(now, incarnation)
            }
            Frame::Leave(_) => {}
            Frame::Raft(message) if member_of(message.from) == Some(from) => self.step(now, &message),
            Frame::Raft(_) => {}
            Frame::Announcement(announcement) if member_of(announcement.replica_id) == Some(from) => {
                self.receive_announcement(from, announcement)
            }
            Frame::Announcement(_) => {}
            Frame::LeaseRequest(request) => self.handle_lease_request(now, from, request),
            Frame::LeaseResponse(response) => self.handle_lease_response(now, from, response),
            Frame::HealthCheckRequest(request) => {
                self.events.push(Event::HealthCheckRequested(from, request))
            }
            Frame::OwnerReport(report) => match self.fencing_tokens.admits(&report.resource, report.token) {
                true => self.events.push(Event::OwnerReport(from, report)),
                false => self.stale_reports += 1,
            },
        }
        self.process_membership();
    }

    /// Another member knows a newer incarnation of this member, so this process continues under an even newer one.
    pub fn handle_known_incarnation(&mut self, now: Time, number: u64) {
        if number > self.members.me().number {
            self.members.begin_incarnation(now, number);
            self.process_membership();
        }
    }

    /// Handles the result of persisting all changes up to this number.
    pub fn persisted(&mut self, now: Time, number: u64, result: Result<(), String>) {
        self.drop_expired_leases(now);
        if let Participation::Active(replica) = &mut self.participation {
            replica.handle_persisted(number, result);
            self.process_consensus(now);
        }
        self.process_membership();
    }

    /// Drops expired leases, or all leases if the process was suspended. Runs before anything else is handled.
    fn drop_expired_leases(&mut self, now: Time) {
        let gap = now.saturating_sub(self.now);
        self.now = self.now.max(now);
        let (lost, suspended) = self.leases.check_clock(now, &self.config.timing);
        if suspended && gap < now {
            self.events.push(Event::Stalled(gap));
        }
        let why = if suspended { "this process was suspended" } else { "the lease was not renewed in time" };
        self.events.extend(lost.into_iter().map(|resource| Event::Lost(resource, why)));
    }

    fn step(&mut self, now: Time, message: &RaftMessage) {
        if let Participation::Active(replica) = &mut self.participation {
            replica.step(message);
            self.process_consensus(now);
        }
    }

    /// Announces this member's replica while some member may not know it.
    fn announce(&mut self, now: Time) {
        if now < self.announce_at {
            return;
        }
        self.announce_at = now + ANNOUNCE_INTERVAL;
        let (replica_id, configured) = match &self.participation {
            Participation::Uninitialized(replica_id, _) => (*replica_id, Vec::new()),
            Participation::Active(replica) => {
                let (voters, learners) = replica.configuration();
                let configured: Vec<ReplicaId> = voters.iter().chain(learners).copied().collect();
                // Once all known replicas take part there is nothing to announce.
                if !self.announcements.values().any(|a| a.configured.is_empty()) {
                    return;
                }
                (replica.id(), configured)
            }
            _ => return,
        };
        let mut to = self.config.voters.clone();
        to.extend(configured.iter().filter_map(|s| member_of(*s)));
        to.extend(self.lease_client.voters());
        to.extend(self.announcements.keys());
        to.sort_unstable();
        to.dedup();
        let announcement = ReplicaAnnouncement { replica_id, configured };
        let others = to.into_iter().filter(|m| *m != self.config.incarnation.member);
        self.outgoing.extend(others.map(|m| (m, Frame::Announcement(announcement.clone()))));
        self.start_replica();
    }

    fn receive_announcement(&mut self, from: Member, announcement: ReplicaAnnouncement) {
        let started = !announcement.configured.is_empty();
        let own = match &self.participation {
            Participation::Active(own) => Some(own),
            _ => None,
        };
        let known = own.is_some_and(|own| own.configuration().0.contains(&announcement.replica_id));
        if started && known {
            self.announcements.remove(&from);
        } else {
            self.announcements.insert(from, announcement);
        }
        self.start_replica();
    }

    /// Starts a replica that has never taken part, either when another replica's configuration names it, or when all
    /// voters have announced replicas that have never taken part. A replacement for a lost disk has a new replica id,
    /// so it can't start by itself.
    fn start_replica(&mut self) {
        let Participation::Uninitialized(replica_id, _) = &self.participation else { return };
        let replica_id = *replica_id;
        let me = self.config.incarnation.member;
        let log = if self.announcements.values().any(|a| a.configured.contains(&replica_id)) {
            // The replica receives the whole state from the others.
            Log::default()
        } else {
            let others = self.config.voters.iter().filter(|m| **m != me);
            let uninitialized = |m: &Member| {
                self.announcements.get(m).filter(|a| a.configured.is_empty()).map(|a| a.replica_id)
            };
            let configured: Option<Vec<ReplicaId>> = others.map(uninitialized).collect();
            let Some(mut configured) = configured.filter(|_| self.config.voters.contains(&me)) else {
                return;
            };
            configured.push(replica_id);
            configured.sort_unstable();
            Log::bootstrap(&configured)
        };
        let Participation::Uninitialized(replica_id, mut disk) =
            std::mem::replace(&mut self.participation, Participation::NonVoter)
        else {
            return;
        };
        let replaced = disk.replace(&log.to_change());
        let replica = replaced.and_then(|()| {
            RaftReplica::new(replica_id, log, disk, &self.config.timing, self.config.seed.rotate_left(17))
        });
        match replica {
            Ok(replica) => {
                self.participation = Participation::Active(Box::new(replica));
                self.events.push(Event::ReplicaStarted);
                self.announce_at = Time::ZERO;
            }
            Err(reason) => {
                self.events.push(Event::ReplicaFailed(reason.clone()));
                self.participation = Participation::Failed(reason);
            }
        }
    }

    /// Processes the events of the replica until there are no more.
    fn process_consensus(&mut self, now: Time) {
        let timing = self.config.timing;
        let Participation::Active(replica) = &mut self.participation else { return };
        let mut responses = Vec::new();
        loop {
            replica.process();
            let events = replica.take_events();
            if events.is_empty() {
                break;
            }
            for event in events {
                match event {
                    ConsensusEvent::LeadershipChanged(true) => self.leading = Some(Leader::new(now)),
                    ConsensusEvent::LeadershipChanged(false) => self.leading = None,
                    ConsensusEvent::SnapshotInstalled => {}
                    ConsensusEvent::Failed(reason) => {
                        self.leading = None;
                        self.events.push(Event::ReplicaFailed(reason));
                    }
                    ConsensusEvent::Applied(index, effect) => {
                        if let Some(leading) = &mut self.leading {
                            responses.extend(leading.handle_applied(now, index, &effect, replica, &timing));
                        }
                    }
                    ConsensusEvent::Confirmed(number) => {
                        if let Some(leading) = &mut self.leading {
                            responses.extend(leading.handle_confirmation(now, number, replica, &timing));
                        }
                    }
                }
            }
            if let Some(leading) = &mut self.leading {
                leading.confirm(now, replica, &timing);
            }
        }
        let messages = replica.take_messages();
        let me = self.config.incarnation.member;
        for message in messages {
            // A message to this member itself is addressed to an earlier replica whose disk was lost.
            if let Some(to) = member_of(message.to).filter(|m| *m != me) {
                self.outgoing.push((to, Frame::Raft(message)));
            }
        }
        for (to, response) in responses {
            self.reply(now, to, response);
        }
    }

    fn reply(&mut self, now: Time, to: Member, response: LeaseResponse) {
        match to == self.config.incarnation.member {
            true => self.handle_lease_response(now, to, response),
            false => self.outgoing.push((to, Frame::LeaseResponse(response))),
        }
    }

    fn handle_lease_request(&mut self, now: Time, from: Member, request: crate::frame::LeaseRequest) {
        let number = request.number;
        let not_leader =
            |leader| Some(LeaseResponse { number, outcome: crate::frame::LeaseOutcome::NotLeader(leader) });
        let response = match (&mut self.leading, &mut self.participation) {
            (Some(leading), Participation::Active(replica)) => {
                leading.handle_request(now, from, request, replica, &self.config.timing)
            }
            (None, Participation::Active(replica)) => not_leader(replica.leader().and_then(member_of)),
            _ => not_leader(None),
        };
        if let Some(response) = response {
            self.reply(now, from, response);
        }
        self.process_consensus(now);
    }

    fn request_leases(&mut self, now: Time) {
        let here = self.members.active();
        let me = self.members.me();
        let asked = self.lease_client.next_request(now, me, &here, &self.leases, &self.config.timing);
        let Some((to, request)) = asked else { return };
        self.leases.record_request(request.number, now);
        for (resource, _) in &request.release {
            self.leases.remove(resource);
        }
        match to == me.member {
            true => self.handle_lease_request(now, to, request),
            false => self.outgoing.push((to, Frame::LeaseRequest(request))),
        }
    }

    fn handle_lease_response(&mut self, now: Time, from: Member, response: LeaseResponse) {
        let timing = self.config.timing;
        match self.lease_client.receive(now, from, response.number, response.outcome, &timing) {
            LeaseReply::Nothing => {}
            LeaseReply::Held(number, resources) => {
                let held: Vec<Resource> = self.leases.all().map(|(resource, ..)| resource.clone()).collect();
                let gone = held.into_iter().filter(|h| self.lease_client.holder(h).is_some());
                for resource in gone.collect::<Vec<_>>() {
                    self.leases.remove(&resource);
                    self.events.push(Event::Lost(resource, "another member owns the resource"));
                }
                let new = self.leases.apply_response(number, &resources, &timing);
                self.events.extend(new.into_iter().map(|(resource, token)| Event::Acquired(resource, token)));
            }
            LeaseReply::DeclaredDead(number) => self.members.begin_incarnation(now, number),
        }
        let leader = self.lease_client.leader();
        if leader.is_some() && std::mem::replace(&mut self.leader, leader) != leader {
            self.events.push(Event::LeaderChanged(leader));
        }
    }

    /// Passes on gossip messages and membership changes.
    fn process_membership(&mut self) {
        self.outgoing
            .extend(self.members.take_messages().into_iter().map(|(to, bytes)| (to, Frame::Swim(bytes))));
        for change in self.members.take_changes() {
            match change {
                MembershipChange::Member(member, seen) => {
                    self.events.push(Event::MemberChanged(member, seen))
                }
                MembershipChange::NewIncarnation(incarnation) => {
                    let lost = self.leases.clear();
                    let why = "this process was declared dead";
                    self.events.extend(lost.into_iter().map(|resource| Event::Lost(resource, why)));
                    self.lease_client.reset();
                    self.events.push(Event::NewIncarnation(incarnation));
                }
            }
        }
    }

    /// Sets whether this process wants to own a resource. If it no longer does, a held lease is released.
    pub fn set_wanted(&mut self, resource: &Resource, wanted: bool) {
        self.lease_client.set_wanted(resource.clone(), wanted);
        if !wanted {
            self.release(resource);
        }
    }

    /// Releases a resource. The caller must already have stopped all operations on it.
    pub fn release(&mut self, resource: &Resource) {
        if let Some(token) = self.leases.remove(resource) {
            self.lease_client.release(resource.clone(), token);
            self.events.push(Event::Lost(resource.clone(), "the resource was released"));
        }
    }

    /// Sets whether this process recovers orphaned work.
    pub fn set_recovers(&mut self, recovers: bool) {
        self.lease_client.set_recovers(recovers);
    }

    /// Marks the recovery of orphaned work as complete and releases it.
    pub fn complete_recovery(&mut self, incarnation: Incarnation) {
        let resource = Resource::orphaned_work(incarnation);
        if let Some(token) = self.leases.remove(&resource) {
            self.lease_client.settle(incarnation, token);
            self.events.push(Event::Lost(resource, "the recovery is complete"));
        }
    }

    /// Returns the token under which an operation on a resource may begin right now, or `None` if it may not. Must be
    /// called immediately before the operation, with the current time.
    pub fn permit(&self, resource: &Resource, now: Time) -> Option<Token> {
        self.leases.permit(resource, now, &self.config.timing)
    }

    /// The owner of a resource, as of the last response from the leader, unless it is this process.
    pub fn holder(&self, resource: &Resource) -> Option<(Incarnation, Token)> {
        self.lease_client.holder(resource)
    }

    /// The time since which no leader has answered; `None` while one does.
    pub fn unanswered_since(&self) -> Option<Time> {
        self.lease_client.unanswered_since()
    }

    /// Shares a result with all active members. Returns false if this process does not own the resource.
    pub fn broadcast_report(&mut self, now: Time, resource: &Resource, payload: Vec<u8>) -> bool {
        let Some(token) = self.permit(resource, now) else { return false };
        let report = OwnerReport { resource: resource.clone(), token, payload };
        let me = self.members.me().member;
        let others = self.members.active().into_iter().filter(|m| *m != me);
        self.outgoing.extend(others.map(|m| (m, Frame::OwnerReport(report.clone()))));
        true
    }

    /// Asks the owner of a resource for a health check. Returns false if the owner is unknown.
    pub fn request_health_check(&mut self, resource: &Resource, payload: Vec<u8>) -> bool {
        let Some((owner, _)) =
            self.lease_client.holder(resource).filter(|_| self.lease_client.unanswered_since().is_none())
        else {
            return false;
        };
        self.outgoing.push((
            owner.member,
            Frame::HealthCheckRequest(HealthCheckRequest { resource: resource.clone(), payload }),
        ));
        true
    }

    /// Replaces one voter by another. Must be called on the leader.
    ///
    /// # Errors
    /// This process does not lead, or the members do not qualify.
    pub fn replace_voter(&mut self, old: Member, new: Member) -> Result<(), String> {
        let (Some(leading), Participation::Active(replica)) = (&mut self.leading, &self.participation) else {
            return Err("this process does not lead the voters".into());
        };
        let votes = |member: Member| replica.configuration().0.iter().any(|s| member_of(*s) == Some(member));
        if !votes(old) {
            return Err("the one to be replaced does not vote".into());
        }
        if votes(new) {
            return Err("the one to come votes already".into());
        }
        leading.set_replacement(old, new);
        Ok(())
    }

    /// Leaves voluntarily: releases all resources and notifies the other members.
    pub fn leave(&mut self, now: Time) {
        let held: Vec<Resource> = self.leases.all().map(|(resource, ..)| resource.clone()).collect();
        held.iter().for_each(|resource| self.release(resource));
        self.request_leases(now);
        let me = self.members.me();
        let others = self.members.active().into_iter().filter(|m| *m != me.member);
        self.outgoing.extend(others.map(|m| (m, Frame::Leave(me))));
        self.members.leave(now);
        self.process_membership();
    }

    /// Takes the outgoing frames.
    pub fn take_frames(&mut self) -> Vec<(Member, Frame)> {
        std::mem::take(&mut self.outgoing)
    }

    /// Takes the events since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// The membership list.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Number of reports rejected because of an outdated token.
    pub fn stale_reports(&self) -> u64 {
        self.stale_reports
    }

    /// Whether a member is active, as known to this member.
    pub fn is_active(&self, member: Member) -> bool {
        matches!(self.members.state(member), MemberState::Alive | MemberState::Suspect)
    }
}
