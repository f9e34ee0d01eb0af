//! What a subscriber checks of each answer, with a source at its other end and answers changed on their way.

mod common;

use common::{list, ms, seconds, worker};
use lineroute_distribution::message::{Answer, Message, Reply, Versions};
use lineroute_distribution::publisher::Publisher;
use lineroute_distribution::record::{Change, Partition};
use lineroute_distribution::replica::Replica;
use lineroute_distribution::subscriber::{ReceiveError, Subscriber, SubscriberConfig, Transmit};
use lineroute_distribution::timing::{Limits, Timing};
use lineroute_distribution::upstream::{PeerId, Role, Upstream};
use lineroute_distribution::Time;

const TOKEN: u64 = 7;

struct Pair {
    now: Time,
    publisher: Publisher,
    subscriber: Subscriber,
}

impl Pair {
    fn new() -> Pair {
        let replica = Replica::new(Limits::default());
        let timing = Timing::default();
        let mut publisher =
            Publisher::new(replica, TOKEN, 1_000_000, Versions::default(), timing, Time::ZERO);
        publisher.publish_list(list(2, 40)).expect("it fits");
        let mut subscriber = Subscriber::new(SubscriberConfig::default(), None, Time::ZERO);
        let upstream = |peer| Upstream { peer: PeerId(peer), role: Role::Relay(peer), token: TOKEN };
        let source = Upstream { peer: PeerId(0), role: Role::Source, token: TOKEN };
        subscriber.set_upstreams(&[source, upstream(1), upstream(2)]);
        Pair { now: Time::ZERO, publisher, subscriber }
    }

    fn ask(&mut self) -> Transmit {
        loop {
            self.now += ms(20);
            if let Some(transmit) = self.subscriber.poll(self.now) {
                return transmit;
            }
        }
    }

    /// The source's true answer, changed.
    fn answer(&mut self, question: &Transmit, change: impl FnOnce(&mut Answer)) -> Vec<u8> {
        self.publisher.confirm(self.now);
        let bytes = self.publisher.serve(self.now, Some(TOKEN), &question.bytes).expect("it answers");
        let Ok((header, Message::Reply(mut reply))) = Message::decode(&bytes, Versions::default()) else {
            panic!("an answer is a reply");
        };
        change(&mut reply.answer);
        Message::Reply(reply).encode(header.version, header.number)
    }

    /// Exchanges true answers until the copy is whole.
    fn settle(&mut self) {
        for _ in 0..200 {
            let question = self.ask();
            if question.to != PeerId(0) {
                continue;
            }
            let answer = self.answer(&question, |_| {});
            self.subscriber.receive(self.now, question.to, &answer).expect("it is true");
            let (copy, source) = (self.subscriber.replica(), self.publisher.replica());
            if copy.is_complete() && copy.digest() == source.digest() && copy.position() == source.position()
            {
                return;
            }
        }
        panic!("the copy never was whole");
    }

    /// Asks until an answer is of the wanted kind, changes that one, and tells what the subscriber made of it.
    fn change_one(
        &mut self,
        is_wanted: impl Fn(&Answer) -> bool,
        change: impl FnOnce(&mut Answer),
    ) -> Result<(), ReceiveError> {
        let mut change = Some(change);
        for _ in 0..200 {
            let question = self.ask();
            if question.to != PeerId(0) {
                continue;
            }
            let mut was_wanted = false;
            let answer = self.answer(&question, |answer| {
                was_wanted = is_wanted(answer);
                if let (true, Some(change)) = (was_wanted, change.take_if(|_| is_wanted(answer))) {
                    change(answer);
                }
            });
            let received = self.subscriber.receive(self.now, question.to, &answer).map(drop);
            if was_wanted {
                return received;
            }
        }
        panic!("no such answer came");
    }
}

fn has_contents(answer: &Answer) -> bool {
    matches!(answer, Answer::Contents { ranges, .. } if ranges.iter().any(|range| !range.records.is_empty()))
}

fn has_changes(answer: &Answer) -> bool {
    matches!(answer, Answer::Changes { changes, .. } if !changes.is_empty())
}

#[test]
fn ranges_that_do_not_fit_their_digest_are_refused() {
    let mut pair = Pair::new();
    let refused = pair.change_one(has_contents, |answer| {
        let Answer::Contents { ranges, .. } = answer else { return };
        let range = ranges.iter_mut().find(|range| !range.records.is_empty()).expect("one has records");
        range.records[0].value = b"forged".to_vec();
    });
    assert_eq!(refused, Err(ReceiveError::Inconsistent));
    assert!(pair.subscriber.replica().records().all(|(_, _, value)| value != b"forged"));
    pair.settle();
}

#[test]
fn ranges_older_than_the_copy_are_refused() {
    let mut pair = Pair::new();
    let refused = pair.change_one(has_contents, |answer| {
        let Answer::Contents { position, .. } = answer else { return };
        position.sequence -= 1;
    });
    assert_eq!(refused, Err(ReceiveError::Inconsistent));
    let refused = pair.change_one(has_contents, |answer| {
        let Answer::Contents { position, .. } = answer else { return };
        position.epoch.token -= 1;
    });
    assert_eq!(refused, Err(ReceiveError::Inconsistent));
    pair.settle();
}

#[test]
fn a_copy_that_differs_is_found_and_mended() {
    let mut pair = Pair::new();
    pair.settle();
    pair.publisher.publish_worker(worker(0, 3, "draining")).expect("it fits");
    let taken = pair.change_one(has_changes, |answer| {
        let Answer::Changes { changes, .. } = answer else { return };
        changes[0].change.value = Some(b"wrong".to_vec());
    });
    assert_eq!(taken, Ok(()));
    assert_eq!(pair.subscriber.counts().mismatches, 1);
    assert!(!pair.subscriber.replica().is_complete());
    pair.settle();
    assert_eq!(pair.subscriber.counts().mismatches, 1);
}

#[test]
fn changes_out_of_order_or_out_of_their_span_are_refused() {
    let mut pair = Pair::new();
    pair.settle();
    for number in 0..3 {
        pair.publisher.publish_worker(worker(0, number, "draining")).expect("it fits");
    }
    let swapped = pair.change_one(has_changes, |answer| {
        let Answer::Changes { changes, .. } = answer else { return };
        changes.swap(0, 1);
    });
    assert_eq!(swapped, Err(ReceiveError::Inconsistent));
    let beyond = pair.change_one(has_changes, |answer| {
        let Answer::Changes { changes, .. } = answer else { return };
        changes[2].offset = u64::MAX;
    });
    assert_eq!(beyond, Err(ReceiveError::Inconsistent));
    pair.settle();
}

#[test]
fn what_discovery_itself_said_is_verified_again() {
    let mut pair = Pair::new();
    pair.settle();
    let change = Change {
        partition: Partition::Zone(common::zone_name(1)),
        name: "w-1-3".into(),
        value: Some(b"heard".to_vec()),
    };
    let taken = pair.subscriber.take_from_discovery(std::slice::from_ref(&change));
    assert_eq!(taken, Ok(vec![change.clone()]));
    assert!(!pair.subscriber.replica().is_complete());
    assert_eq!(pair.subscriber.take_from_discovery(&[change]), Ok(Vec::new()));
    pair.settle();
}

#[test]
fn one_that_does_not_serve_is_left_at_once() {
    let mut pair = Pair::new();
    let question = pair.ask();
    assert_eq!(question.to, PeerId(0));
    let answer = pair.answer(&question, |answer| *answer = Answer::NotServing);
    let refused = pair.subscriber.receive(pair.now, question.to, &answer);
    assert_eq!(refused, Err(ReceiveError::NotServing));
    assert_eq!(pair.ask().to, PeerId(1));
}

#[test]
fn the_first_choice_is_tried_again_and_left_after_one_failure() {
    let mut pair = Pair::new();
    pair.settle();
    let upstream = |peer| Upstream { peer: PeerId(peer), role: Role::Source, token: TOKEN };
    pair.subscriber.set_upstreams(&[upstream(0), upstream(1)]);
    // The first one is dead, the second one answers.
    let mut asked = Vec::new();
    let began = pair.now;
    while pair.now - began < seconds(30) {
        let question = pair.ask();
        if question.to == PeerId(1) {
            let answer = pair.answer(&question, |_| {});
            pair.subscriber.receive(pair.now, question.to, &answer).expect("it is true");
        }
        asked.push(question.to.0);
    }
    assert_eq!(&asked[..4], [0, 0, 0, 1]);
    let tries = asked[4..].iter().filter(|peer| **peer == 0).count();
    let twice = asked[3..].windows(2).filter(|pair| *pair == [0, 0]).count();
    assert!((8..=15).contains(&tries) && twice == 0, "{asked:?}");
}

#[test]
fn what_is_not_essential_waits_for_what_is() {
    let own = Partition::Zone(common::zone_name(1));
    let mut pair = Pair::new();
    let setup = SubscriberConfig {
        priority: vec![own.clone()],
        essential_partitions: 1,
        ..SubscriberConfig::default()
    };
    pair.subscriber = Subscriber::new(setup, None, Time::ZERO);
    let source = Upstream { peer: PeerId(0), role: Role::Source, token: TOKEN };
    pair.subscriber.set_upstreams(&[source]);
    // The relay has not verified the own zone yet.
    let hide = |answer: &mut Answer| {
        if let Answer::Behind(digests) | Answer::Partitions(digests) = answer {
            digests.is_complete = false;
            digests.digests.retain(|(partition, _)| *partition != own);
        }
    };
    for _ in 0..40 {
        let question = pair.ask();
        let answer = pair.answer(&question, hide);
        pair.subscriber.receive(pair.now, question.to, &answer).expect("it is an answer");
        assert!(pair.subscriber.replica().is_empty(), "the other zone came before the own one");
    }
    pair.settle();
}

#[test]
fn a_busy_relay_is_asked_again_after_the_time_that_it_said() {
    let mut pair = Pair::new();
    let question = pair.ask();
    let answer = pair.answer(&question, |answer| *answer = Answer::Busy { retry_after_ms: 1000 });
    pair.subscriber.receive(pair.now, question.to, &answer).expect("it is an answer");
    let began = pair.now;
    assert_eq!(pair.ask().to, PeerId(0));
    assert!(pair.now - began >= ms(500) && pair.now - began <= seconds(2));
}

#[test]
fn a_reply_is_the_same_again() {
    let reply = Reply { token: 3, age_ms: 4, answer: Answer::Busy { retry_after_ms: 5 } };
    let bytes = Message::Reply(reply.clone()).encode(1, 9);
    let (header, message) = Message::decode(&bytes, Versions::default()).expect("it is one");
    assert_eq!((header.number, message), (9, Message::Reply(reply)));
}
