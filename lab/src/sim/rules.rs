//! Invariants that must hold at every moment of the simulation's reference time.

use super::world::{Process, SimEvent, World, CHECK_INTERVAL};
use lineroute_fleet::{Member, Resource};

impl World {
    /// Checks the fencing token of a member's permit for a resource, if it has one now: it may be neither lower than
    /// the highest token so far nor equal to another member's.
    pub(super) fn check_token(&mut self, member: u16, resource: &Resource) {
        let now = self.clock(member);
        let Some(token) =
            self.processes[usize::from(member)].node.as_ref().and_then(|n| n.permit(resource, now))
        else {
            return;
        };
        let me = Member(member);
        let (highest, holder) = self.highest_tokens.get(resource).copied().unwrap_or((0, me));
        if token < highest || (token == highest && holder != me) {
            let message = format!(
                "{:?}: {resource}: member {member} has a permit with token {token} after member {} had token {highest}",
                self.now, holder.0
            );
            self.report.violations.push(message);
        }
        self.highest_tokens.insert(resource.clone(), (token.max(highest), me));
    }

    /// Whether a majority of the voters runs with its votes and no partition is in force.
    fn has_majority(&self) -> bool {
        let voters = self.processes.iter().take(usize::from(self.size.voters));
        let is_active = |p: &Process| {
            !p.stopped
                && p.node.as_ref().is_some_and(|n| matches!(n.status().vote.as_str(), "votes" | "leads"))
        };
        self.partitions.is_empty()
            && voters.filter(|p| is_active(p)).count() * 2 > usize::from(self.size.voters)
    }

    /// Checks that at most one member has a permit for each resource, and that its token is not stale. Also records how
    /// long a resource had no owner.
    pub(super) fn check_invariants(&mut self) {
        self.schedule(CHECK_INTERVAL, SimEvent::CheckInvariants);
        if !self.ownerless_since.is_empty() && !self.has_majority() {
            self.no_majority_at = self.now;
        }
        for resource in self.resources.clone() {
            let mut owners = Vec::new();
            for member in 0..self.size.members {
                let now = self.clock(member);
                let process = &self.processes[usize::from(member)];
                let Some(node) = process.node.as_ref().filter(|_| !process.stopped) else { continue };
                if node.permit(&resource, now).is_some() {
                    owners.push(member);
                }
            }
            if owners.len() > 1 {
                self.report.violations.push(format!(
                    "{:?}: {resource}: members {owners:?} have permits at the same time",
                    self.now
                ));
            }
            owners.iter().for_each(|member| self.check_token(*member, &resource));
            match owners.is_empty() {
                true => drop(self.ownerless_since.entry(resource).or_insert(self.now)),
                false => {
                    if let Some(since) = self.ownerless_since.remove(&resource) {
                        self.report
                            .ownerless_ms
                            .push((self.now - since.max(self.no_majority_at)).as_millis() as u64);
                    }
                }
            }
        }
    }
}
