//! What this process holds, and until when by its own clock.

use crate::timing::Timing;
use crate::{Resource, Time, Token};
use std::collections::BTreeMap;

/// Requests whose answers are still believed.
const MOST_OPEN: usize = 32;

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Held {
    token: Token,
    until: Time,
}

/// The leases of one process.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Leases {
    held: BTreeMap<Resource, Held>,
    /// When each request that has no answer yet was asked.
    asked: BTreeMap<u64, Time>,
    /// When this process last checked its clock as it should.
    seen: Time,
}

impl Leases {
    /// Checks the clock: what was held through a time in which this process did not run is dropped, all
    /// of it, before anything else is done. Tells what was lost, and whether to a stop.
    pub fn check_clock(&mut self, now: Time, timing: &Timing) -> (Vec<Resource>, bool) {
        let stopped = now.saturating_sub(self.seen) > timing.stall_threshold();
        self.seen = self.seen.max(now);
        if stopped {
            // Answers to what was asked before the stop are as old as it is.
            self.asked.clear();
        }
        let over = |held: &Held| stopped || held.until <= now;
        let lost: Vec<Resource> = self.held.iter().filter(|(_, h)| over(h)).map(|(t, _)| t.clone()).collect();
        self.held.retain(|_, h| !over(h));
        (lost, stopped)
    }

    /// A request goes out.
    pub fn ask(&mut self, number: u64, now: Time) {
        self.asked.insert(number, now);
        while self.asked.len() > MOST_OPEN {
            self.asked.pop_first();
        }
    }

    /// Its answer has come: what it grants counts from the request, not from now. Tells what is newly held.
    pub fn granted(
        &mut self,
        number: u64,
        resources: &[(Resource, Token)],
        timing: &Timing,
    ) -> Vec<(Resource, Token)> {
        let Some(asked) = self.asked.remove(&number) else { return Vec::new() };
        let until = asked + timing.lease_validity();
        let mut new = Vec::new();
        for (resource, token) in resources {
            let old = self.held.get(resource).copied();
            if old.is_some_and(|old| old.token > *token) || until <= self.seen {
                continue;
            }
            if old.is_none_or(|old| old.token < *token) {
                new.push((resource.clone(), *token));
            }
            let until = old.filter(|old| old.token == *token).map_or(until, |old| old.until.max(until));
            self.held.insert(resource.clone(), Held { token: *token, until });
        }
        new
    }

    /// Under which token an operation for a resource may begin at this very moment; nothing if it may not. A process
    /// that has not checked its clock for longer than it should was stopped, and may do nothing.
    pub fn permit(&self, resource: &Resource, now: Time, timing: &Timing) -> Option<Token> {
        let awake = now.saturating_sub(self.seen) <= timing.stall_threshold();
        self.held.get(resource).filter(|held| awake && now < held.until).map(|held| held.token)
    }

    /// Gives a resource up; under which token it was held.
    pub fn remove(&mut self, resource: &Resource) -> Option<Token> {
        self.held.remove(resource).map(|held| held.token)
    }

    /// Gives everything up; what that was.
    pub fn drop_all(&mut self) -> Vec<Resource> {
        self.asked.clear();
        std::mem::take(&mut self.held).into_keys().collect()
    }

    /// All that is held: resource, token, until when.
    pub fn all(&self) -> impl Iterator<Item = (&Resource, Token, Time)> {
        self.held.iter().map(|(resource, held)| (resource, held.token, held.until))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Duration;

    fn ms(ms: u64) -> Time {
        Duration::from_millis(ms)
    }

    fn held() -> (Leases, Resource, Timing) {
        let (timing, resource) = (Timing::default(), Resource::new("probe/a").expect("a name"));
        let mut leases = Leases::default();
        leases.check_clock(ms(0), &timing);
        leases.ask(1, ms(100));
        leases.check_clock(ms(400), &timing);
        assert_eq!(leases.granted(1, &[(resource.clone(), 7)], &timing), [(resource.clone(), 7)]);
        (leases, resource, timing)
    }

    #[test]
    fn a_lease_counts_from_the_request_less_the_drift() {
        let (mut leases, resource, timing) = held();
        for now in [800, 1200, 1560] {
            leases.check_clock(ms(now), &timing);
            assert_eq!(leases.permit(&resource, ms(now), &timing), Some(7), "{now}");
        }
        // 100 ms + 1,500 ms less 2 in 100.
        assert_eq!(leases.permit(&resource, ms(1569), &timing), Some(7));
        assert_eq!(leases.permit(&resource, ms(1570), &timing), None);
        assert_eq!(leases.check_clock(ms(1570), &timing), (vec![resource], false));
    }

    #[test]
    fn a_process_that_was_stopped_may_do_nothing_even_before_it_notices() {
        let (mut leases, resource, timing) = held();
        // Its next look would come at 450; it was stopped until 1000, and the lease would last until 1570.
        assert_eq!(leases.permit(&resource, ms(1000), &timing), None);
        assert_eq!(leases.check_clock(ms(1000), &timing), (vec![resource.clone()], true));
        assert_eq!(leases.permit(&resource, ms(1000), &timing), None);
    }

    #[test]
    fn an_answer_to_what_was_asked_before_a_stop_grants_nothing() {
        let (mut leases, resource, timing) = held();
        leases.ask(2, ms(420));
        leases.check_clock(ms(1000), &timing);
        assert!(leases.granted(2, &[(resource.clone(), 7)], &timing).is_empty());
        assert_eq!(leases.permit(&resource, ms(1000), &timing), None);
        // Nor does one that was never asked, or that comes when its lease is over.
        assert!(leases.granted(9, &[(resource.clone(), 8)], &timing).is_empty());
        leases.ask(3, ms(1000));
        (1..6).for_each(|n| drop(leases.check_clock(ms(1000 + n * 400), &timing)));
        assert!(leases.granted(3, &[(resource, 8)], &timing).is_empty());
    }
}
