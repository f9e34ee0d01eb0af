//! The replicated state machine: the holder and token of each resource, the incarnations declared dead, and the
//! orphaned work. The same commands in the same order give a byte-identical ledger. It contains no time.

use crate::{Incarnation, Member, Resource, Token};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of owned resources; further grants are rejected.
pub const MAX_RESOURCES: usize = 4096;
/// Maximum number of incarnations with unsettled orphaned work. Beyond it the oldest is dropped and is never
/// recovered.
pub const MAX_ORPHANED: usize = 1024;

/// The current grant of a resource.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Grant {
    /// The fencing token of the grant.
    pub token: Token,
    /// The holder.
    pub holder: Incarnation,
}

/// A command to be agreed on by the voters.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Command {
    /// Raises the token counter at the start of a leader's term: from now on, tokens are greater than `floor`.
    RaiseTokenFloor {
        /// Derived from the wall-clock time at which the leader's process started, so that it grows faster than
        /// tokens are issued.
        floor: Token,
    },
    /// Grants a resource if its current token is still `expected_token` (0 if it has no holder).
    Grant {
        /// The resource to grant.
        resource: Resource,
        /// The new holder.
        holder: Incarnation,
        /// The token that the proposer has seen.
        expected_token: Token,
    },
    /// The owner releases a resource.
    Release {
        /// The resource to release.
        resource: Resource,
        /// The token under which it was held.
        token: Token,
    },
    /// Declares this incarnation of a member, and every earlier one, dead. Its work becomes orphaned.
    DeclareDead {
        /// The incarnation to declare dead.
        incarnation: Incarnation,
    },
    /// The recovery of orphaned work is complete.
    Settle {
        /// The incarnation whose work was recovered.
        incarnation: Incarnation,
        /// The recovery owner's token.
        token: Token,
    },
}

/// The effect of a command.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// The resource was granted.
    Granted(Resource, Grant),
    /// The resource was released and has no holder.
    Released(Resource),
    /// The incarnation was declared dead, and its orphaned work waits for recovery.
    DeclaredDead(Incarnation),
    /// The recovery of the orphaned work is complete.
    Settled(Incarnation),
    /// Nothing changed, because the state no longer matches what the command expected.
    Stale,
}

/// The replicated ledger.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Ledger {
    /// The last granted token.
    last_token: Token,
    grants: BTreeMap<Resource, Grant>,
    /// For each member, the newest incarnation declared dead. All earlier ones are dead as well.
    dead: BTreeMap<Member, u64>,
    /// Incarnations with unsettled orphaned work, in the order in which they were declared dead.
    orphaned_work: Vec<Incarnation>,
}

impl Ledger {
    /// Applies a command.
    pub fn apply(&mut self, command: Command) -> Effect {
        match command {
            Command::RaiseTokenFloor { floor } => {
                self.last_token = self.last_token.max(floor);
                Effect::Stale
            }
            Command::Grant { resource, holder, expected_token } => {
                let held = self.grants.get(&resource).map_or(0, |g| g.token);
                let full = held == 0 && self.grants.len() >= MAX_RESOURCES;
                if held != expected_token || full || self.is_dead(holder) || !self.may_recover(&resource) {
                    return Effect::Stale;
                }
                self.last_token += 1;
                let grant = Grant { token: self.last_token, holder };
                self.grants.insert(resource.clone(), grant);
                Effect::Granted(resource, grant)
            }
            Command::Release { resource, token } => match self.grants.get(&resource) {
                Some(grant) if grant.token == token => {
                    self.grants.remove(&resource);
                    Effect::Released(resource)
                }
                _ => Effect::Stale,
            },
            Command::DeclareDead { incarnation } => {
                if self.is_dead(incarnation) {
                    return Effect::Stale;
                }
                self.dead.insert(incarnation.member, incarnation.number);
                if self.orphaned_work.len() >= MAX_ORPHANED {
                    let oldest = self.orphaned_work.remove(0);
                    self.grants.remove(&Resource::orphaned_work(oldest));
                }
                self.orphaned_work.push(incarnation);
                // The incarnation's own lease ends; its orphaned work takes its place.
                self.grants.remove(&Resource::incarnation(incarnation));
                Effect::DeclaredDead(incarnation)
            }
            Command::Settle { incarnation, token } => {
                let resource = Resource::orphaned_work(incarnation);
                if self.grants.get(&resource).is_none_or(|g| g.token != token) {
                    return Effect::Stale;
                }
                self.grants.remove(&resource);
                self.orphaned_work.retain(|e| *e != incarnation);
                Effect::Settled(incarnation)
            }
        }
    }

    /// Orphaned work can be granted only until it is settled, and never again after that.
    fn may_recover(&self, resource: &Resource) -> bool {
        !resource.is_orphaned_work()
            || self.orphaned_work.iter().any(|incarnation| Resource::orphaned_work(*incarnation) == *resource)
    }

    /// Returns the current grant of a resource.
    pub fn grant(&self, resource: &Resource) -> Option<Grant> {
        self.grants.get(resource).copied()
    }

    /// Iterates over all grants, sorted by resource name.
    pub fn grants(&self) -> impl Iterator<Item = (&Resource, &Grant)> {
        self.grants.iter()
    }

    /// Whether an incarnation has been declared dead.
    pub fn is_dead(&self, incarnation: Incarnation) -> bool {
        self.dead.get(&incarnation.member).is_some_and(|number| incarnation.number <= *number)
    }

    /// The newest incarnation of a member that has been declared dead.
    pub fn latest_dead(&self, member: Member) -> Option<Incarnation> {
        self.dead.get(&member).map(|number| Incarnation { member, number: *number })
    }

    /// Incarnations with unsettled orphaned work, in the order in which they were declared dead.
    pub fn orphaned_work(&self) -> &[Incarnation] {
        &self.orphaned_work
    }

    /// The last granted token.
    pub fn last_token(&self) -> Token {
        self.last_token
    }

    /// Encodes the ledger for a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a ledger from a snapshot. Empty data stands for the ledger of a new fleet.
    pub fn decode(bytes: &[u8]) -> Option<Ledger> {
        if bytes.is_empty() {
            return Some(Ledger::default());
        }
        postcard::from_bytes(bytes).ok()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn incarnation(member: u16, number: u64) -> Incarnation {
        Incarnation { member: Member(member), number }
    }

    fn grant(resource: &Resource, holder: Incarnation, expected_token: Token) -> Command {
        Command::Grant { resource: resource.clone(), holder, expected_token }
    }

    #[test]
    fn a_grant_that_expects_an_old_token_changes_nothing() {
        let mut ledger = Ledger::default();
        let resource = Resource::new("probe/a").expect("a name");
        let first = ledger.apply(grant(&resource, incarnation(0, 1), 0));
        assert_eq!(first, Effect::Granted(resource.clone(), Grant { token: 1, holder: incarnation(0, 1) }));
        assert_eq!(ledger.apply(grant(&resource, incarnation(1, 1), 0)), Effect::Stale);
        assert_ne!(ledger.apply(grant(&resource, incarnation(1, 1), 1)), Effect::Stale);
        assert_eq!(ledger.apply(Command::Release { resource: resource.clone(), token: 1 }), Effect::Stale);
        assert_ne!(ledger.apply(Command::Release { resource: resource.clone(), token: 2 }), Effect::Stale);
        // Tokens are never reused, not even for a resource that was released.
        assert_ne!(ledger.apply(grant(&resource, incarnation(0, 1), 0)), Effect::Stale);
        assert_eq!(ledger.grant(&resource).map(|g| g.token), Some(3));
        assert_eq!(Ledger::decode(&ledger.encode()), Some(ledger));
    }

    #[test]
    fn orphaned_work_is_granted_only_between_declaration_of_death_and_settlement() {
        let mut ledger = Ledger::default();
        let (dead, recovery_owner) = (incarnation(0, 7), incarnation(1, 1));
        let orphaned_work = Resource::orphaned_work(dead);
        assert_eq!(ledger.apply(grant(&orphaned_work, recovery_owner, 0)), Effect::Stale);
        assert_eq!(ledger.apply(Command::DeclareDead { incarnation: dead }), Effect::DeclaredDead(dead));
        assert_eq!(ledger.apply(Command::DeclareDead { incarnation: dead }), Effect::Stale);
        // A dead incarnation is granted nothing, but its member's next incarnation is.
        assert_eq!(ledger.apply(grant(&orphaned_work, dead, 0)), Effect::Stale);
        assert_ne!(
            ledger.apply(grant(&Resource::incarnation(incarnation(0, 8)), incarnation(0, 8), 0)),
            Effect::Stale
        );
        let Effect::Granted(_, granted) = ledger.apply(grant(&orphaned_work, recovery_owner, 0)) else {
            panic!("not granted")
        };
        assert_eq!(
            ledger.apply(Command::Settle { incarnation: dead, token: granted.token + 1 }),
            Effect::Stale
        );
        assert_eq!(
            ledger.apply(Command::Settle { incarnation: dead, token: granted.token }),
            Effect::Settled(dead)
        );
        assert_eq!(ledger.apply(grant(&orphaned_work, recovery_owner, 0)), Effect::Stale);
        assert!(ledger.orphaned_work().is_empty());
    }

    #[test]
    fn resources_and_orphaned_work_are_bounded() {
        let mut ledger = Ledger::default();
        for i in 0..MAX_RESOURCES + 1 {
            let resource = Resource::new(format!("t/{i}")).expect("a name");
            let granted = ledger.apply(grant(&resource, incarnation(0, 1), 0)) != Effect::Stale;
            assert_eq!(granted, i < MAX_RESOURCES);
        }
        for i in 0..=MAX_ORPHANED as u64 {
            ledger.apply(Command::DeclareDead { incarnation: incarnation(3, i + 1) });
        }
        assert_eq!(
            (ledger.orphaned_work().len(), ledger.orphaned_work()[0]),
            (MAX_ORPHANED, incarnation(3, 2))
        );
    }
}
