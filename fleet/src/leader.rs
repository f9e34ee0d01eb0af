//! The duties of the leader of the consensus group: it answers lease requests once a majority has confirmed its
//! leadership, grants leases, declares incarnations dead, and replaces replicas.

use crate::consensus::{member_of, ConfigurationStep, RaftReplica, ReplicaId};
use crate::frame::{LeaseOutcome, LeaseRequest, LeaseResponse};
use crate::lease_granter::LeaseGranter;
use crate::ledger::{Command, Effect};
use crate::log::LogStore;
use crate::members::{MemberState, Members};
use crate::timing::Timing;
use crate::{Incarnation, Member, Resource, Time};
use std::collections::{BTreeMap, HashMap};

/// Maximum number of pending requests. Further ones are dropped; the requesting members retry.
const MAX_PENDING_REQUESTS: usize = 4096;
/// Maximum number of orphaned incarnations offered in one response.
const MAX_OFFERED: usize = 16;
/// A learner may become a voter when it is no more than this many entries behind.
const MAX_LAG_TO_VOTE: u64 = 64;

/// What a pending request waits for.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Wait {
    /// The entry at this index, proposed for the request. Once it is applied, a majority has it.
    Entry(u64),
    /// A confirmation by a majority that this member still leads.
    Quorum(u64),
}

struct Pending {
    from: Member,
    request: LeaseRequest,
    wait: Wait,
}

/// State of a leader, dropped when it loses leadership.
#[derive(Default)]
pub struct Leader {
    granter: LeaseGranter,
    pending: Vec<Pending>,
    /// Resources affected by a proposed command, with the index of its entry.
    proposed: HashMap<Resource, u64>,
    /// Incarnations proposed to be declared dead, with the index of the entry.
    declaring_dead: HashMap<Incarnation, u64>,
    /// Number of the last requested quorum confirmation, and when it was requested.
    quorum_number: u64,
    quorum_asked_at: Option<Time>,
    token_floor_proposed: bool,
    replacement: Option<(Member, Member)>,
    configuration_step_at: Time,
}

impl Leader {
    /// Starts the state of a new leader.
    pub fn new(now: Time) -> Leader {
        Leader { granter: LeaseGranter::new(now), ..Leader::default() }
    }

    /// Handles a lease request. Returns a response if none of it needs a majority.
    pub fn handle_request<D: LogStore>(
        &mut self,
        now: Time,
        from: Member,
        request: LeaseRequest,
        replica: &mut RaftReplica<D>,
        timing: &Timing,
    ) -> Option<LeaseResponse> {
        if let Some(dead) = replica
            .ledger()
            .latest_dead(request.incarnation.member)
            .filter(|dead| request.incarnation <= *dead)
        {
            return Some(LeaseResponse {
                number: request.number,
                outcome: LeaseOutcome::DeclaredDead(dead.number),
            });
        }
        if self.pending.len() >= MAX_PENDING_REQUESTS || request.incarnation.member != from {
            return None;
        }
        // A member has one open request at a time, so a new one replaces the old one.
        self.pending.retain(|p| p.from != from);
        let mut last = None;
        let commands = request
            .release
            .iter()
            .map(|(resource, token)| Command::Release { resource: resource.clone(), token: *token });
        let commands = commands.chain(
            request
                .settle
                .iter()
                .map(|(incarnation, token)| Command::Settle { incarnation: *incarnation, token: *token }),
        );
        for command in commands {
            last = replica.propose(command).or(last);
        }
        for resource in &request.acquire {
            let other_incarnation =
                resource.is_incarnation() && *resource != Resource::incarnation(request.incarnation);
            let held = replica.ledger().grant(resource);
            let already_held = held.is_some_and(|g| g.holder == request.incarnation);
            let free = self.granter.is_grantable(resource, replica.ledger(), now, timing);
            if other_incarnation || already_held || !free || self.proposed.contains_key(resource) {
                continue;
            }
            let expected_token = held.map_or(0, |g| g.token);
            let command =
                Command::Grant { resource: resource.clone(), holder: request.incarnation, expected_token };
            if let Some(index) = replica.propose(command) {
                self.proposed.insert(resource.clone(), index);
                last = Some(index);
            }
        }
        let wait = last.map_or(Wait::Quorum(self.quorum_number + 1), Wait::Entry);
        self.pending.push(Pending { from, request, wait });
        None
    }

    /// Requests a quorum confirmation if a request waits for one and none is in progress.
    pub fn confirm<D: LogStore>(&mut self, now: Time, replica: &mut RaftReplica<D>, timing: &Timing) {
        let overdue = self.quorum_asked_at.is_some_and(|at| now >= at + timing.tick_interval * 4);
        if self.quorum_asked_at.is_some() && !overdue {
            return;
        }
        if overdue || self.pending.iter().any(|p| p.wait == Wait::Quorum(self.quorum_number + 1)) {
            self.quorum_number += 1;
            self.quorum_asked_at = Some(now);
            replica.confirm(self.quorum_number);
        }
    }

    /// A majority has confirmed the leadership since the confirmation with this number was requested.
    pub fn handle_confirmation<D: LogStore>(
        &mut self,
        now: Time,
        number: u64,
        replica: &RaftReplica<D>,
        timing: &Timing,
    ) -> Vec<(Member, LeaseResponse)> {
        if number == self.quorum_number {
            self.quorum_asked_at = None;
        }
        self.answer_ready(now, replica, timing, |wait| matches!(wait, Wait::Quorum(n) if n <= number))
    }

    /// The entry at this index was applied.
    pub fn handle_applied<D: LogStore>(
        &mut self,
        now: Time,
        index: u64,
        effect: &Effect,
        replica: &RaftReplica<D>,
        timing: &Timing,
    ) -> Vec<(Member, LeaseResponse)> {
        if let Effect::Granted(resource, _) = effect {
            self.granter.record_renewal(resource, now, timing);
        }
        self.proposed.retain(|_, at| *at > index);
        self.declaring_dead.retain(|_, at| *at > index);
        self.answer_ready(now, replica, timing, |wait| matches!(wait, Wait::Entry(at) if at <= index))
    }

    fn answer_ready<D: LogStore>(
        &mut self,
        now: Time,
        replica: &RaftReplica<D>,
        timing: &Timing,
        ready: impl Fn(Wait) -> bool,
    ) -> Vec<(Member, LeaseResponse)> {
        let (now_ready, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.pending).into_iter().partition(|p| ready(p.wait));
        self.pending = rest;
        let answers = now_ready.into_iter().map(|p| (p.from, self.response(now, p.request, replica, timing)));
        answers.collect()
    }

    fn response<D: LogStore>(
        &mut self,
        now: Time,
        request: LeaseRequest,
        replica: &RaftReplica<D>,
        timing: &Timing,
    ) -> LeaseResponse {
        let ledger = replica.ledger();
        let number = request.number;
        if let Some(dead) =
            ledger.latest_dead(request.incarnation.member).filter(|dead| request.incarnation <= *dead)
        {
            return LeaseResponse { number, outcome: LeaseOutcome::DeclaredDead(dead.number) };
        }
        let (mut resources, mut others) = (Vec::new(), Vec::new());
        let renew = request.renew.into_iter().map(|(resource, token)| (resource, Some(token)));
        let known = request.acquire.into_iter().chain(request.watch).map(|resource| (resource, None));
        for (resource, token) in renew.chain(known) {
            let Some(grant) = ledger.grant(&resource) else { continue };
            // A lease that is being granted to another member no longer has a holder.
            let being_granted = self.proposed.contains_key(&resource);
            if grant.holder == request.incarnation && token.is_none_or(|t| t == grant.token) && !being_granted
            {
                self.granter.record_renewal(&resource, now, timing);
                resources.push((resource, grant.token));
            } else if grant.holder != request.incarnation && !self.granter.has_expired(&resource, now, timing)
            {
                // A member whose lease has expired no longer owns the resource, even if the ledger still lists it.
                others.push((resource, grant.holder, grant.token));
            }
        }
        let available = |incarnation: &&Incarnation| {
            let resource = Resource::orphaned_work(**incarnation);
            self.granter.is_grantable(&resource, ledger, now, timing)
        };
        let orphaned_work =
            ledger.orphaned_work().iter().filter(available).take(MAX_OFFERED).copied().collect();
        let mut voters: Vec<Member> =
            replica.configuration().0.iter().filter_map(|s| member_of(*s)).collect();
        voters.sort_unstable();
        voters.dedup();
        LeaseResponse { number, outcome: LeaseOutcome::Held { resources, others, orphaned_work, voters } }
    }

    /// Periodic work of a leader: declares incarnations dead and advances the configuration by one step.
    pub fn tick<D: LogStore>(
        &mut self,
        now: Time,
        (floor, uninitialized): (u64, &BTreeMap<Member, ReplicaId>),
        replica: &mut RaftReplica<D>,
        members: &Members,
        timing: &Timing,
    ) {
        if !self.token_floor_proposed {
            // If the fleet was set up anew, its tokens must be greater than those of the previous fleet.
            self.token_floor_proposed = replica.propose(Command::RaiseTokenFloor { floor }).is_some();
        }
        self.confirm(now, replica, timing);
        self.granter.prune(replica.ledger(), now);
        self.declare_dead(now, replica, members, timing);
        if now >= self.configuration_step_at {
            self.configuration_step_at = now + timing.renewal_interval();
            self.advance_configuration(uninitialized, replica);
        }
    }

    /// Proposes to declare dead the incarnations whose members are gone and whose leases have expired.
    fn declare_dead<D: LogStore>(
        &mut self,
        now: Time,
        replica: &mut RaftReplica<D>,
        members: &Members,
        timing: &Timing,
    ) {
        let incarnations: Vec<Incarnation> =
            replica.ledger().grants().filter_map(|(resource, _)| resource.as_incarnation()).collect();
        for incarnation in incarnations.into_iter().filter(|incarnation| is_gone(incarnation, members)) {
            let over = self.granter.has_expired(&Resource::incarnation(incarnation), now, timing);
            if over && !self.declaring_dead.contains_key(&incarnation) {
                if let Some(index) = replica.propose(Command::DeclareDead { incarnation }) {
                    self.declaring_dead.insert(incarnation, index);
                }
            }
        }
    }

    /// Sets the operator's order to replace one voter by another. It is carried out step by step.
    pub fn set_replacement(&mut self, old: Member, new: Member) {
        self.replacement = Some((old, new));
    }

    /// Proposes the next step towards a configuration with each member's current replica: add it as a learner, remove
    /// the old replica, promote the learner.
    fn advance_configuration<D: LogStore>(
        &mut self,
        uninitialized: &BTreeMap<Member, ReplicaId>,
        replica: &mut RaftReplica<D>,
    ) {
        let (voters, learners) = replica.configuration();
        let (voters, learners) = (voters.to_vec(), learners.to_vec());
        let lags: HashMap<ReplicaId, u64> = replica.lags().into_iter().collect();
        for (member, replica_id) in uninitialized.iter().map(|(m, s)| (*m, *s)) {
            if voters.contains(&replica_id) {
                if self.replacement.is_some_and(|(_, new)| new == member) {
                    self.replacement = None;
                }
                continue;
            }
            let replaced = match self.replacement {
                Some((old, new)) if new == member => old,
                _ => member,
            };
            let old = voters.iter().copied().find(|s| member_of(*s) == Some(replaced));
            let is_learner = learners.contains(&replica_id);
            // A learner without a predecessor was added by an earlier step and is promoted. Any other replica without
            // a predecessor belongs to a member that is not a voter.
            let step = match (is_learner, old) {
                (false, Some(_)) => Some((replica_id, ConfigurationStep::AddLearner)),
                (true, Some(old)) if lags.get(&replica_id).is_some_and(|lag| *lag <= MAX_LAG_TO_VOTE) => {
                    Some((old, ConfigurationStep::Remove))
                }
                (true, None) => Some((replica_id, ConfigurationStep::AddVoter)),
                _ => None,
            };
            if let Some((replica_id, step)) = step {
                let _ = replica.change_configuration(replica_id, step);
                return;
            }
        }
    }
}

/// Whether an incarnation has ended, according to gossip.
fn is_gone(incarnation: &Incarnation, members: &Members) -> bool {
    if incarnation.member == members.me().member {
        return incarnation.number < members.me().number;
    }
    let seen = members.all().find(|(m, _)| *m == incarnation.member).map(|(_, s)| s);
    seen.is_some_and(|s| {
        s.incarnation.is_some_and(|known| known > *incarnation)
            || (s.incarnation == Some(*incarnation) && matches!(s.state, MemberState::Dead | MemberState::Left))
            // After a restart of the whole fleet, a member that never comes back is never heard of either.
            || s.state == MemberState::Unheard
    })
}
