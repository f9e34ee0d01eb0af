//! The leases held by this process and their expiry according to its own clock.

use crate::timing::Timing;
use crate::{Resource, Time, Token};
use std::collections::BTreeMap;

/// Maximum number of requests whose responses are still accepted.
const MAX_OPEN_REQUESTS: usize = 32;

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Held {
    token: Token,
    until: Time,
}

/// The leases of one process.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Leases {
    held: BTreeMap<Resource, Held>,
    /// The time at which each unanswered request was sent.
    open_requests: BTreeMap<u64, Time>,
    /// The time of the last clock check.
    last_check: Time,
}

impl Leases {
    /// Checks the clock before anything else is done. If the process was suspended since the last check, all leases
    /// are dropped; otherwise those that have expired. Returns the lost resources and whether the process was
    /// suspended.
    pub fn check_clock(&mut self, now: Time, timing: &Timing) -> (Vec<Resource>, bool) {
        let suspended = now.saturating_sub(self.last_check) > timing.stall_threshold();
        self.last_check = self.last_check.max(now);
        if suspended {
            // Responses to requests from before the suspension are too old to be trusted.
            self.open_requests.clear();
        }
        let over = |held: &Held| suspended || held.until <= now;
        let lost: Vec<Resource> = self.held.iter().filter(|(_, h)| over(h)).map(|(t, _)| t.clone()).collect();
        self.held.retain(|_, h| !over(h));
        (lost, suspended)
    }

    /// Records that a request is sent.
    pub fn record_request(&mut self, number: u64, now: Time) {
        self.open_requests.insert(number, now);
        while self.open_requests.len() > MAX_OPEN_REQUESTS {
            self.open_requests.pop_first();
        }
    }

    /// Applies a response. The leases count from the time of the request, not from now. Returns the newly held
    /// resources.
    pub fn apply_response(
        &mut self,
        number: u64,
        resources: &[(Resource, Token)],
        timing: &Timing,
    ) -> Vec<(Resource, Token)> {
        let Some(asked) = self.open_requests.remove(&number) else { return Vec::new() };
        let until = asked + timing.lease_validity();
        let mut new = Vec::new();
        for (resource, token) in resources {
            let old = self.held.get(resource).copied();
            if old.is_some_and(|old| old.token > *token) || until <= self.last_check {
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

    /// Returns the token under which an operation on a resource may begin right now, or `None` if it may not. If the
    /// last clock check is too long ago, the process was suspended and no operation is permitted.
    pub fn permit(&self, resource: &Resource, now: Time, timing: &Timing) -> Option<Token> {
        let awake = now.saturating_sub(self.last_check) <= timing.stall_threshold();
        self.held.get(resource).filter(|held| awake && now < held.until).map(|held| held.token)
    }

    /// Gives up a resource. Returns the token under which it was held.
    pub fn remove(&mut self, resource: &Resource) -> Option<Token> {
        self.held.remove(resource).map(|held| held.token)
    }

    /// Gives up all resources and returns them.
    pub fn clear(&mut self) -> Vec<Resource> {
        self.open_requests.clear();
        std::mem::take(&mut self.held).into_keys().collect()
    }

    /// Iterates over all held resources, with token and expiry.
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
        leases.record_request(1, ms(100));
        leases.check_clock(ms(400), &timing);
        assert_eq!(leases.apply_response(1, &[(resource.clone(), 7)], &timing), [(resource.clone(), 7)]);
        (leases, resource, timing)
    }

    #[test]
    fn a_lease_counts_from_the_request_less_the_clock_drift() {
        let (mut leases, resource, timing) = held();
        for now in [800, 1200, 1560] {
            leases.check_clock(ms(now), &timing);
            assert_eq!(leases.permit(&resource, ms(now), &timing), Some(7), "{now}");
        }
        // Expiry: 100 ms + 1,500 ms less 2%.
        assert_eq!(leases.permit(&resource, ms(1569), &timing), Some(7));
        assert_eq!(leases.permit(&resource, ms(1570), &timing), None);
        assert_eq!(leases.check_clock(ms(1570), &timing), (vec![resource], false));
    }

    #[test]
    fn a_suspended_process_has_no_permits_even_before_it_checks_the_clock() {
        let (mut leases, resource, timing) = held();
        // The next clock check is due at 450 ms, but the process is suspended until 1,000 ms. The lease would last
        // until 1,570 ms.
        assert_eq!(leases.permit(&resource, ms(1000), &timing), None);
        assert_eq!(leases.check_clock(ms(1000), &timing), (vec![resource.clone()], true));
        assert_eq!(leases.permit(&resource, ms(1000), &timing), None);
    }

    #[test]
    fn a_response_to_a_request_from_before_a_suspension_grants_nothing() {
        let (mut leases, resource, timing) = held();
        leases.record_request(2, ms(420));
        leases.check_clock(ms(1000), &timing);
        assert!(leases.apply_response(2, &[(resource.clone(), 7)], &timing).is_empty());
        assert_eq!(leases.permit(&resource, ms(1000), &timing), None);
        // Neither a response without a request nor one that arrives after its lease has expired grants anything.
        assert!(leases.apply_response(9, &[(resource.clone(), 8)], &timing).is_empty());
        leases.record_request(3, ms(1000));
        (1..6).for_each(|n| drop(leases.check_clock(ms(1000 + n * 400), &timing)));
        assert!(leases.apply_response(3, &[(resource, 8)], &timing).is_empty());
    }
}
