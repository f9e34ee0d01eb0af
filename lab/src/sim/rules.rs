//! The rules that must hold at every moment of true time.

use super::world::{Process, What, World, LOOK};
use lineroute_fleet::{Member, Resource};

impl World {
    /// A member may act for a thing at this moment of true time.
    pub(super) fn acts(&mut self, member: u16, thing: &Resource) {
        let now = self.clock(member);
        let Some(token) =
            self.processes[usize::from(member)].node.as_ref().and_then(|n| n.permit(thing, now))
        else {
            return;
        };
        let me = Member(member);
        let (highest, holder) = self.highest.get(thing).copied().unwrap_or((0, me));
        if token < highest || (token == highest && holder != me) {
            let words = format!(
                "{:?}: {thing}: member {member} may act by {token} after member {} had {highest}",
                self.now, holder.0
            );
            self.report.broken.push(words);
        }
        self.highest.insert(thing.clone(), (token.max(highest), me));
    }

    /// Whether a majority of the voters runs, with its votes, and hears itself.
    fn has_majority(&self) -> bool {
        let voters = self.processes.iter().take(usize::from(self.size.voters));
        let well = |p: &Process| {
            !p.stopped
                && p.node.as_ref().is_some_and(|n| matches!(n.status().vote.as_str(), "votes" | "leads"))
        };
        self.cuts.is_empty() && voters.filter(|p| well(p)).count() * 2 > usize::from(self.size.voters)
    }

    /// The rules, at this moment: nobody but one may act for a thing, and tokens only grow.
    pub(super) fn look(&mut self) {
        self.at(LOOK, What::Look);
        if !self.ownerless.is_empty() && !self.has_majority() {
            self.bad = self.now;
        }
        for thing in self.things.clone() {
            let mut owners = Vec::new();
            for member in 0..self.size.members {
                let now = self.clock(member);
                let process = &self.processes[usize::from(member)];
                let Some(node) = process.node.as_ref().filter(|_| !process.stopped) else { continue };
                if node.permit(&thing, now).is_some() {
                    owners.push(member);
                }
            }
            if owners.len() > 1 {
                self.report.broken.push(format!("{:?}: {thing}: members {owners:?} may all act", self.now));
            }
            owners.iter().for_each(|member| self.acts(*member, &thing));
            match owners.is_empty() {
                true => drop(self.ownerless.entry(thing).or_insert(self.now)),
                false => {
                    if let Some(since) = self.ownerless.remove(&thing) {
                        self.report.gaps_ms.push((self.now - since.max(self.bad)).as_millis() as u64);
                    }
                }
            }
        }
    }
}
