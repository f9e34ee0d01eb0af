//! Tests of the checks that a subscriber makes on each reply, with replies from a real source that are modified in
//! transit.

mod common;

use common::{list, ms, seconds, worker};
use lineroute_distribution::message::{Message, Reply, ReplyBody, Versions};
use lineroute_distribution::publisher::Publisher;
use lineroute_distribution::record::{Change, Partition};
use lineroute_distribution::replica::Replica;
use lineroute_distribution::subscriber::{ReceiveError, Subscriber, SubscriberConfig, Transmit};
use lineroute_distribution::timing::{Limits, Timing};
use lineroute_distribution::upstream::{PeerId, Role, Upstream};
use lineroute_distribution::Time;

const TOKEN: u64 = 7;

struct Exchange {
    now: Time,
    publisher: Publisher,
    subscriber: Subscriber,
}

impl Exchange {
    fn new() -> Exchange {
        let replica = Replica::new(Limits::default());
        let timing = Timing::default();
        let mut publisher =
            Publisher::new(replica, TOKEN, 1_000_000, Versions::default(), timing, Time::ZERO);
        publisher.publish_list(list(2, 40)).expect("within limits");
        let mut subscriber = Subscriber::new(SubscriberConfig::default(), None, Time::ZERO);
        let upstream = |peer| Upstream { peer: PeerId(peer), role: Role::Relay(peer), token: TOKEN };
        let source = Upstream { peer: PeerId(0), role: Role::Source, token: TOKEN };
        subscriber.set_upstreams(&[source, upstream(1), upstream(2)]);
        Exchange { now: Time::ZERO, publisher, subscriber }
    }

    fn next_request(&mut self) -> Transmit {
        loop {
            self.now += ms(20);
            if let Some(transmit) = self.subscriber.poll(self.now) {
                return transmit;
            }
        }
    }

    /// The source's genuine reply, modified.
    fn reply(&mut self, request: &Transmit, change: impl FnOnce(&mut ReplyBody)) -> Vec<u8> {
        self.publisher.confirm(self.now);
        let bytes = self.publisher.serve(self.now, Some(TOKEN), &request.bytes).expect("a reply");
        let Ok((header, Message::Reply(mut reply))) = Message::decode(&bytes, Versions::default()) else {
            panic!("the message is not a reply");
        };
        change(&mut reply.body);
        Message::Reply(reply).encode(header.version, header.request_id)
    }

    /// Exchanges genuine replies until the replica is complete.
    fn run_until_converged(&mut self) {
        for _ in 0..200 {
            let request = self.next_request();
            if request.to != PeerId(0) {
                continue;
            }
            let reply = self.reply(&request, |_| {});
            self.subscriber.receive(self.now, request.to, &reply).expect("a valid reply");
            let (copy, source) = (self.subscriber.replica(), self.publisher.replica());
            if copy.is_complete() && copy.digest() == source.digest() && copy.position() == source.position()
            {
                return;
            }
        }
        panic!("the replica did not converge");
    }

    /// Sends requests until a reply is of the target kind, modifies that reply, and returns the subscriber's result.
    fn modify_one_reply(
        &mut self,
        is_target: impl Fn(&ReplyBody) -> bool,
        change: impl FnOnce(&mut ReplyBody),
    ) -> Result<(), ReceiveError> {
        let mut change = Some(change);
        for _ in 0..200 {
            let request = self.next_request();
            if request.to != PeerId(0) {
                continue;
            }
            let mut was_target = false;
            let reply = self.reply(&request, |reply| {
                was_target = is_target(reply);
                if let (true, Some(change)) = (was_target, change.take_if(|_| is_target(reply))) {
                    change(reply);
                }
            });
            let received = self.subscriber.receive(self.now, request.to, &reply).map(drop);
            if was_target {
                return received;
            }
        }
        panic!("no matching reply");
    }
}

fn has_contents(reply: &ReplyBody) -> bool {
    matches!(reply, ReplyBody::Contents { ranges, .. } if ranges.iter().any(|range| !range.records.is_empty()))
}

fn has_changes(reply: &ReplyBody) -> bool {
    matches!(reply, ReplyBody::Changes { changes, .. } if !changes.is_empty())
}

#[test]
fn ranges_that_do_not_match_their_digest_are_rejected() {
    let mut exchange = Exchange::new();
    let rejected = exchange.modify_one_reply(has_contents, |reply| {
        let ReplyBody::Contents { ranges, .. } = reply else { return };
        let range = ranges.iter_mut().find(|range| !range.records.is_empty()).expect("a range with records");
        range.records[0].value = b"forged".to_vec();
    });
    assert_eq!(rejected, Err(ReceiveError::Inconsistent));
    assert!(exchange.subscriber.replica().records().all(|(_, _, value)| value != b"forged"));
    exchange.run_until_converged();
}

#[test]
fn ranges_older_than_the_replica_are_rejected() {
    let mut exchange = Exchange::new();
    let rejected = exchange.modify_one_reply(has_contents, |reply| {
        let ReplyBody::Contents { position, .. } = reply else { return };
        position.sequence -= 1;
    });
    assert_eq!(rejected, Err(ReceiveError::Inconsistent));
    let rejected = exchange.modify_one_reply(has_contents, |reply| {
        let ReplyBody::Contents { position, .. } = reply else { return };
        position.epoch.token -= 1;
    });
    assert_eq!(rejected, Err(ReceiveError::Inconsistent));
    exchange.run_until_converged();
}

#[test]
fn a_differing_replica_is_detected_and_repaired() {
    let mut exchange = Exchange::new();
    exchange.run_until_converged();
    exchange.publisher.publish_worker(worker(0, 3, "draining")).expect("within limits");
    let applied = exchange.modify_one_reply(has_changes, |reply| {
        let ReplyBody::Changes { changes, .. } = reply else { return };
        changes[0].change.value = Some(b"wrong".to_vec());
    });
    assert_eq!(applied, Ok(()));
    assert_eq!(exchange.subscriber.counts().mismatches, 1);
    assert!(!exchange.subscriber.replica().is_complete());
    exchange.run_until_converged();
    assert_eq!(exchange.subscriber.counts().mismatches, 1);
}

#[test]
fn changes_out_of_order_or_out_of_range_are_rejected() {
    let mut exchange = Exchange::new();
    exchange.run_until_converged();
    for number in 0..3 {
        exchange.publisher.publish_worker(worker(0, number, "draining")).expect("within limits");
    }
    let swapped = exchange.modify_one_reply(has_changes, |reply| {
        let ReplyBody::Changes { changes, .. } = reply else { return };
        changes.swap(0, 1);
    });
    assert_eq!(swapped, Err(ReceiveError::Inconsistent));
    let beyond = exchange.modify_one_reply(has_changes, |reply| {
        let ReplyBody::Changes { changes, .. } = reply else { return };
        changes[2].offset = u64::MAX;
    });
    assert_eq!(beyond, Err(ReceiveError::Inconsistent));
    exchange.run_until_converged();
}

#[test]
fn changes_from_discovery_are_verified_again() {
    let mut exchange = Exchange::new();
    exchange.run_until_converged();
    let change = Change {
        partition: Partition::Zone(common::zone_name(1)),
        name: "w-1-3".into(),
        value: Some(b"heard".to_vec()),
    };
    let applied = exchange.subscriber.apply_from_discovery(std::slice::from_ref(&change));
    assert_eq!(applied, Ok(vec![change.clone()]));
    assert!(!exchange.subscriber.replica().is_complete());
    assert_eq!(exchange.subscriber.apply_from_discovery(&[change]), Ok(Vec::new()));
    exchange.run_until_converged();
}

#[test]
fn an_upstream_that_does_not_serve_is_left_at_once() {
    let mut exchange = Exchange::new();
    let request = exchange.next_request();
    assert_eq!(request.to, PeerId(0));
    let reply = exchange.reply(&request, |reply| *reply = ReplyBody::NotServing);
    let rejected = exchange.subscriber.receive(exchange.now, request.to, &reply);
    assert_eq!(rejected, Err(ReceiveError::NotServing));
    assert_eq!(exchange.next_request().to, PeerId(1));
}

#[test]
fn the_preferred_upstream_is_retried_and_left_after_one_failure() {
    let mut exchange = Exchange::new();
    exchange.run_until_converged();
    let upstream = |peer| Upstream { peer: PeerId(peer), role: Role::Source, token: TOKEN };
    exchange.subscriber.set_upstreams(&[upstream(0), upstream(1)]);
    // The first upstream is dead, the second one replies.
    let mut queried = Vec::new();
    let began = exchange.now;
    while exchange.now - began < seconds(30) {
        let request = exchange.next_request();
        if request.to == PeerId(1) {
            let reply = exchange.reply(&request, |_| {});
            exchange.subscriber.receive(exchange.now, request.to, &reply).expect("a valid reply");
        }
        queried.push(request.to.0);
    }
    assert_eq!(&queried[..4], [0, 0, 0, 1]);
    let retries = queried[4..].iter().filter(|peer| **peer == 0).count();
    let repeated_retries = queried[3..].windows(2).filter(|pair| *pair == [0, 0]).count();
    assert!((8..=15).contains(&retries) && repeated_retries == 0, "{queried:?}");
}

#[test]
fn other_partitions_wait_for_essential_ones() {
    let own = Partition::Zone(common::zone_name(1));
    let mut exchange = Exchange::new();
    let config = SubscriberConfig {
        priority: vec![own.clone()],
        essential_partitions: 1,
        ..SubscriberConfig::default()
    };
    exchange.subscriber = Subscriber::new(config, None, Time::ZERO);
    let source = Upstream { peer: PeerId(0), role: Role::Source, token: TOKEN };
    exchange.subscriber.set_upstreams(&[source]);
    // The relay has not verified the subscriber's own zone yet.
    let hide = |reply: &mut ReplyBody| {
        if let ReplyBody::ResyncRequired(digests) | ReplyBody::Partitions(digests) = reply {
            digests.is_complete = false;
            digests.digests.retain(|(partition, _)| *partition != own);
        }
    };
    for _ in 0..40 {
        let request = exchange.next_request();
        let reply = exchange.reply(&request, hide);
        exchange.subscriber.receive(exchange.now, request.to, &reply).expect("a valid reply");
        assert!(exchange.subscriber.replica().is_empty(), "the other zone was fetched before the own zone");
    }
    exchange.run_until_converged();
}

#[test]
fn a_busy_relay_is_queried_again_after_the_requested_delay() {
    let mut exchange = Exchange::new();
    let request = exchange.next_request();
    let reply = exchange.reply(&request, |reply| *reply = ReplyBody::Busy { retry_after_ms: 1000 });
    exchange.subscriber.receive(exchange.now, request.to, &reply).expect("a valid reply");
    let began = exchange.now;
    assert_eq!(exchange.next_request().to, PeerId(0));
    assert!(exchange.now - began >= ms(500) && exchange.now - began <= seconds(2));
}

#[test]
fn a_reply_survives_encoding_and_decoding() {
    let reply = Reply { token: 3, age_ms: 4, body: ReplyBody::Busy { retry_after_ms: 5 } };
    let bytes = Message::Reply(reply.clone()).encode(1, 9);
    let (header, message) = Message::decode(&bytes, Versions::default()).expect("a valid message");
    assert_eq!((header.request_id, message), (9, Message::Reply(reply)));
}
