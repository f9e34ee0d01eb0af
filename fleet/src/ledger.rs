//! What the voters agree on: who has which token, who is dead, whose orphaned work is whose. The same commands in the
//! same order give the same ledger, to the byte. No time is in it.

use crate::{Incarnation, Member, Resource, Token};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Resources that may be owned at a time; further ones are refused.
pub const MAX_RESOURCES: usize = 4096;
/// Incarnations whose orphaned work waits to be settled; with more, the oldest is given up as nobody's.
pub const MAX_ORPHANED: usize = 1024;

/// Who has a resource.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Grant {
    /// What it is done under.
    pub token: Token,
    /// Whose it is.
    pub holder: Incarnation,
}

/// A change that the voters are asked to agree on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Command {
    /// Tokens are greater than this from now on.
    Begin {
        /// The time of day when the leader began, as a number that grows faster than tokens do.
        floor: Token,
    },
    /// Grant a resource, provided that the token it has now is still `expect` (0: nobody has it).
    Grant {
        /// What is granted.
        resource: Resource,
        /// To whom.
        holder: Incarnation,
        /// The token that the one who asks to grant has seen.
        expect: Token,
    },
    /// The owner gives a resource back.
    Release {
        /// What is given back.
        resource: Resource,
        /// Under which token it was held.
        token: Token,
    },
    /// This incarnation, and every earlier one of the member, is over. What it leaves is orphaned work.
    DeclareDead {
        /// Who is dead.
        incarnation: Incarnation,
    },
    /// Orphaned work is done with.
    Settle {
        /// Whose orphaned work.
        incarnation: Incarnation,
        /// The recovery owner's token.
        token: Token,
    },
}

/// What a command came to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// The resource is granted.
    Granted(Resource, Grant),
    /// The resource is nobody's.
    Released(Resource),
    /// The incarnation is over, and its orphaned work waits.
    DeclaredDead(Incarnation),
    /// The orphaned work is done with.
    Settled(Incarnation),
    /// Nothing has changed, since the ledger no longer says what the command expected.
    Stale,
}

/// The ledger.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Ledger {
    /// The token that was granted last.
    last: Token,
    grants: BTreeMap<Resource, Grant>,
    /// By member: this incarnation and all before it are over.
    dead: BTreeMap<Member, u64>,
    /// Incarnations whose orphaned work is not settled, in the order of declaration.
    orphaned_work: Vec<Incarnation>,
}

impl Ledger {
    /// Carries a command out.
    pub fn apply(&mut self, command: Command) -> Effect {
        match command {
            Command::Begin { floor } => {
                self.last = self.last.max(floor);
                Effect::Stale
            }
            Command::Grant { resource, holder, expect } => {
                let held = self.grants.get(&resource).map_or(0, |g| g.token);
                let full = held == 0 && self.grants.len() >= MAX_RESOURCES;
                if held != expect || full || self.is_dead(holder) || !self.may_recover(&resource) {
                    return Effect::Stale;
                }
                self.last += 1;
                let grant = Grant { token: self.last, holder };
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
                // Nobody renews it; the orphaned work is what stands for it from now on.
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

    /// Orphaned work can be had only while it is not settled: after that it is never granted again.
    fn may_recover(&self, resource: &Resource) -> bool {
        !resource.is_orphaned_work()
            || self.orphaned_work.iter().any(|incarnation| Resource::orphaned_work(*incarnation) == *resource)
    }

    /// Who has a resource.
    pub fn grant(&self, resource: &Resource) -> Option<Grant> {
        self.grants.get(resource).copied()
    }

    /// All grants, by the names of the resources.
    pub fn grants(&self) -> impl Iterator<Item = (&Resource, &Grant)> {
        self.grants.iter()
    }

    /// Whether an incarnation is over by decision.
    pub fn is_dead(&self, incarnation: Incarnation) -> bool {
        self.dead.get(&incarnation.member).is_some_and(|number| incarnation.number <= *number)
    }

    /// The greatest incarnation of a member that is over.
    pub fn latest_dead(&self, member: Member) -> Option<Incarnation> {
        self.dead.get(&member).map(|number| Incarnation { member, number: *number })
    }

    /// Incarnations whose orphaned work is not settled, in the order of declaration.
    pub fn orphaned_work(&self) -> &[Incarnation] {
        &self.orphaned_work
    }

    /// The token that was granted last.
    pub fn last(&self) -> Token {
        self.last
    }

    /// The whole of it, for a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// A ledger out of a snapshot; an empty one is of a fleet that has only begun.
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

    fn grant(resource: &Resource, holder: Incarnation, expect: Token) -> Command {
        Command::Grant { resource: resource.clone(), holder, expect }
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
        // A token never comes again, also for a resource that was given back.
        assert_ne!(ledger.apply(grant(&resource, incarnation(0, 1), 0)), Effect::Stale);
        assert_eq!(ledger.grant(&resource).map(|g| g.token), Some(3));
        assert_eq!(Ledger::decode(&ledger.encode()), Some(ledger));
    }

    #[test]
    fn orphaned_work_is_granted_after_a_death_until_it_is_settled_and_never_again() {
        let mut ledger = Ledger::default();
        let (dead, recovery_owner) = (incarnation(0, 7), incarnation(1, 1));
        let orphaned_work = Resource::orphaned_work(dead);
        assert_eq!(ledger.apply(grant(&orphaned_work, recovery_owner, 0)), Effect::Stale);
        assert_eq!(ledger.apply(Command::DeclareDead { incarnation: dead }), Effect::DeclaredDead(dead));
        assert_eq!(ledger.apply(Command::DeclareDead { incarnation: dead }), Effect::Stale);
        // The dead get nothing; the next incarnation does.
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
