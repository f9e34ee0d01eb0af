//! The lease client: keeps the resources that this process wants to own and builds its requests to the leader. One
//! request at a time covers all leases, so the cost per member does not grow with the size of the fleet or with the
//! number of leases.

use crate::frame::{LeaseOutcome, LeaseRequest, MAX_RESOURCES_PER_REQUEST};
use crate::lease::Leases;
use crate::timing::Timing;
use crate::{Incarnation, Member, Resource, Time, Token};
use std::collections::{BTreeMap, BTreeSet};

/// Number of members that request a resource, chosen by rank. The other members only watch it.
const CANDIDATES_PER_RESOURCE: usize = 2;

/// Lease client of one process.
pub struct LeaseClient {
    wanted: BTreeSet<Resource>,
    recovers: bool,
    offered: Vec<Incarnation>,
    releases: Vec<(Resource, Token)>,
    settles: Vec<(Incarnation, Token)>,
    /// Current holders of the wanted resources.
    holders: BTreeMap<Resource, (Incarnation, Token)>,
    voters: Vec<Member>,
    leader: Option<Member>,
    /// The unanswered request: its number, when it was sent, and to which member.
    open: Option<(u64, Time, Member)>,
    number: u64,
    next_at: Time,
    next_voter: usize,
    /// The time since which no leader has answered.
    unanswered_since: Option<Time>,
    /// Whether the last request tried to acquire a resource.
    waiting: bool,
    /// Wanted resources without an owner, and since when they have none.
    unowned: BTreeMap<Resource, Time>,
}

/// The result of a response.
pub enum LeaseReply {
    /// The response does not belong to the open request, or grants nothing.
    Nothing,
    /// These leases are held, counted from the time of the request with this number.
    Held(u64, Vec<(Resource, Token)>),
    /// This process was declared dead, along with every incarnation up to this one.
    DeclaredDead(u64),
}

impl LeaseClient {
    /// Creates a client that uses these voters until a response names others.
    pub fn new(voters: Vec<Member>, next_voter: usize) -> LeaseClient {
        LeaseClient {
            wanted: BTreeSet::new(),
            recovers: false,
            offered: Vec::new(),
            releases: Vec::new(),
            settles: Vec::new(),
            holders: BTreeMap::new(),
            voters,
            leader: None,
            open: None,
            number: 0,
            next_at: Time::ZERO,
            next_voter,
            unanswered_since: None,
            waiting: false,
            unowned: BTreeMap::new(),
        }
    }

    /// Sets whether this process wants to own a resource.
    pub fn set_wanted(&mut self, resource: Resource, wanted: bool) {
        match wanted {
            true => drop(self.wanted.insert(resource)),
            false => drop(self.wanted.remove(&resource)),
        }
    }

    /// Sets whether this process recovers orphaned work.
    pub fn set_recovers(&mut self, recovers: bool) {
        self.recovers = recovers;
    }

    /// Releases a resource with the next request.
    pub fn release(&mut self, resource: Resource, token: Token) {
        self.releases.push((resource, token));
        self.next_at = Time::ZERO;
    }

    /// Reports with the next request that the recovery of orphaned work is complete.
    pub fn settle(&mut self, incarnation: Incarnation, token: Token) {
        self.settles.push((incarnation, token));
        self.next_at = Time::ZERO;
    }

    /// Discards the open request and pending releases when a new incarnation begins.
    pub fn reset(&mut self) {
        (self.open, self.next_at) = (None, Time::ZERO);
        self.releases.clear();
        self.settles.clear();
    }

    /// Returns the next request and its receiver, if one is due. `active` lists the active members.
    pub fn next_request(
        &mut self,
        now: Time,
        me: Incarnation,
        active: &[Member],
        leases: &Leases,
        timing: &Timing,
    ) -> Option<(Member, LeaseRequest)> {
        if let Some((_, asked, of)) = self.open {
            if now < asked + timing.retry_interval() * 2 {
                return None;
            }
            // A member that does not answer is not tried first again.
            self.unanswered_since.get_or_insert(asked);
            if self.leader == Some(of) {
                self.leader = None;
            }
            (self.open, self.next_at) = (None, now);
        }
        if now < self.next_at || self.voters.is_empty() {
            return None;
        }
        let to = self.leader.unwrap_or_else(|| {
            self.next_voter += 1;
            self.voters[self.next_voter % self.voters.len()]
        });
        let held: BTreeSet<&Resource> = leases.all().map(|(resource, ..)| resource).collect();
        let own = Resource::incarnation(me);
        let mut acquire: Vec<Resource> = Vec::new();
        if !held.contains(&own) {
            acquire.push(own);
        }
        let orphaned_work = self
            .offered
            .iter()
            .filter(|_| self.recovers)
            .map(|incarnation| Resource::orphaned_work(*incarnation));
        let wanted = self.wanted.iter().cloned().chain(orphaned_work);
        let mut watch: Vec<Resource> = Vec::new();
        for resource in wanted.filter(|t| !held.contains(t)) {
            // The highest-ranked candidates may all have failed without this being known yet. After half a lease,
            // every member may request the resource.
            let overdue =
                self.unowned.get(&resource).is_some_and(|since| now >= *since + timing.lease_duration / 2);
            match overdue || is_candidate(&resource, me.member, active, self.leader) {
                true => acquire.push(resource),
                false => watch.push(resource),
            }
        }
        watch.truncate(MAX_RESOURCES_PER_REQUEST / 8);
        self.waiting = !acquire.is_empty();
        let mut renew: Vec<(Resource, Token)> =
            leases.all().map(|(t, token, _)| (t.clone(), token)).collect();
        renew.truncate(MAX_RESOURCES_PER_REQUEST / 2);
        acquire.truncate(MAX_RESOURCES_PER_REQUEST / 4);
        let release = take(&mut self.releases, MAX_RESOURCES_PER_REQUEST / 8);
        let settle = take(&mut self.settles, MAX_RESOURCES_PER_REQUEST / 8);
        self.number += 1;
        self.open = Some((self.number, now, to));
        Some((
            to,
            LeaseRequest { incarnation: me, number: self.number, renew, acquire, watch, release, settle },
        ))
    }

    /// Handles a response.
    pub fn receive(
        &mut self,
        now: Time,
        from: Member,
        number: u64,
        outcome: LeaseOutcome,
        timing: &Timing,
    ) -> LeaseReply {
        let Some((open, ..)) = self.open.filter(|(open, ..)| *open == number) else {
            return LeaseReply::Nothing;
        };
        self.open = None;
        match outcome {
            LeaseOutcome::NotLeader(leader) => {
                self.unanswered_since.get_or_insert(now);
                self.leader = leader.filter(|l| *l != from);
                self.next_at = now + if self.leader.is_some() { Time::ZERO } else { timing.tick_interval };
                LeaseReply::Nothing
            }
            LeaseOutcome::DeclaredDead(number) => {
                self.leader = Some(from);
                LeaseReply::DeclaredDead(number)
            }
            LeaseOutcome::Held { resources, others, orphaned_work, voters } => {
                self.unanswered_since = None;
                self.leader = Some(from);
                if !voters.is_empty() {
                    self.voters = voters;
                }
                self.offered = orphaned_work;
                self.holders = others
                    .into_iter()
                    .map(|(resource, incarnation, token)| (resource, (incarnation, token)))
                    .collect();
                let has = |resource: &Resource| resources.iter().any(|(t, _)| t == resource);
                let free = |t: &&Resource| !has(t) && !self.holders.contains_key(t);
                let free: Vec<Resource> = self.wanted.iter().filter(free).cloned().collect();
                self.unowned.retain(|resource, _| free.contains(resource));
                for resource in free {
                    self.unowned.entry(resource).or_insert(now);
                }
                let lacks = self.wanted.iter().any(|t| !has(t) && !self.holders.contains_key(t));
                // A member waiting for a resource retries more often, since this determines how long the resource
                // stays without an owner.
                let acquiring = lacks || self.waiting;
                self.next_at =
                    now + if acquiring { timing.retry_interval() } else { timing.renewal_interval() };
                LeaseReply::Held(open, resources)
            }
        }
    }

    /// The holder of a resource, as of the last response from the leader.
    pub fn holder(&self, resource: &Resource) -> Option<(Incarnation, Token)> {
        self.holders.get(resource).copied()
    }

    /// The time since which no leader has answered; `None` while one does.
    pub fn unanswered_since(&self) -> Option<Time> {
        self.unanswered_since
    }

    /// The leader, as far as known.
    pub fn leader(&self) -> Option<Member> {
        self.leader
    }

    /// The voters that requests are sent to.
    pub fn voters(&self) -> &[Member] {
        &self.voters
    }
}

fn take<T>(from: &mut Vec<T>, max: usize) -> Vec<T> {
    let rest = from.split_off(from.len().min(max));
    std::mem::replace(from, rest)
}

/// Whether a member ranks high enough to request a resource. Each resource has its own ranking. The leader is last in
/// all of them, so that the owner of a resource and the member that grants it do not fail together.
fn is_candidate(resource: &Resource, me: Member, active: &[Member], leader: Option<Member>) -> bool {
    let rank = |member: Member| {
        let mut hasher = blake3::Hasher::new();
        hasher.update(resource.name().as_bytes());
        hasher.update(&member.0.to_be_bytes());
        let hash = hasher.finalize();
        let number = hash.as_bytes().first_chunk::<8>().map_or(0, |bytes| u64::from_be_bytes(*bytes));
        (Some(member) == leader, number)
    };
    let mine = rank(me);
    active.iter().filter(|m| **m != me && rank(**m) < mine).count() < CANDIDATES_PER_RESOURCE
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn few_members_are_candidates_for_a_resource_and_the_leader_is_last() {
        let active: Vec<Member> = (0..50).map(Member).collect();
        for name in ["probe/a", "probe/b", "ledger"] {
            let resource = Resource::new(name).expect("a name");
            let first: Vec<Member> =
                active.iter().copied().filter(|m| is_candidate(&resource, *m, &active, None)).collect();
            assert_eq!(first.len(), CANDIDATES_PER_RESOURCE, "{name}");
            assert!(!is_candidate(&resource, first[0], &active, Some(first[0])));
            // A lone member requests everything.
            assert!(is_candidate(&resource, first[0], &first[..1], Some(first[0])));
        }
    }
}
