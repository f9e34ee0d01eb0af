//! What breaks the carrier of the list, and what has to hold all the same.

mod common;

use common::{list, ms, seconds, worker, World, BOUND};
use lineroute_distribution::message::{Answer, Ask, Message, Reply, Request, Service, Versions};
use lineroute_distribution::position::{Epoch, Position};
use lineroute_distribution::publisher::{PublishError, Publisher};
use lineroute_distribution::record::{Change, Partition};
use lineroute_distribution::replica::Replica;
use lineroute_distribution::subscriber::{ReceiveError, Standing, Subscriber, SubscriberConfig};
use lineroute_distribution::timing::{Limits, Timing};
use lineroute_distribution::upstream::{PeerId, Role, Upstream};
use lineroute_distribution::Time;

/// How long a lease takes to find another holder, and all to be told.
const TAKEOVER_SECONDS: u64 = 4;

fn settled(seed: u64) -> World {
    let mut world = World::new(3, 3, 40, seed);
    world.settle(BOUND, "start");
    world
}

#[test]
fn a_relay_dies_and_changes_are_in_force_all_the_same() {
    for seed in 0..10 {
        let mut world = settled(seed);
        world.faults.lost = 300;
        let relay = world.relay_of(1);
        world.kill(relay);
        world.publisher().publish_worker(worker(1, 3, "draining")).expect("it fits");
        // Nobody has taken its place yet: its clients go over to other zones' relays.
        let took = world.settle(BOUND, "a change behind a dead relay");
        assert!(took < BOUND, "{took:?}");
        world.run_for(seconds(TAKEOVER_SECONDS));
        world.make_relay(relay + 1);
        world.publisher().publish_worker(worker(1, 4, "draining")).expect("it fits");
        world.settle(BOUND, "a change behind a new relay");
    }
}

#[test]
fn a_relay_that_was_stopped_and_wakes_late_is_fenced() {
    let mut world = settled(11);
    let (old, new) = (world.relay_of(1), world.relay_of(1) + 1);
    world.stop(old);
    world.run_for(seconds(TAKEOVER_SECONDS));
    world.make_relay(new);
    world.publisher().publish_worker(worker(1, 3, "draining")).expect("it fits");
    world.settle(BOUND, "a change behind the new relay");
    // One that has not been told of the new one asks the old one, and one that was told gets an answer of it: the old
    // one does not know that it is none any longer.
    let token = world.nodes[old].relay_token.expect("it believes so");
    let asks = old + 2;
    world.wake(old);
    let refused_before = world.nodes[asks].subscriber.counts().fenced;
    let answer = Reply {
        token,
        age_ms: 0,
        answer: Answer::Changes { to: 0, head: 0, digest: None, changes: Vec::new() },
    };
    let upstreams = [Upstream { peer: PeerId(old as u16), role: Role::Relay(1), token: token + 1000 }];
    world.nodes[asks].subscriber.set_upstreams(&upstreams);
    let now = world.now;
    let transmit = (0..100).find_map(|step| world.nodes[asks].subscriber.poll(now + ms(20 * step)));
    let number = u32::from_le_bytes(transmit.expect("it asks").bytes[2..6].try_into().expect("four bytes"));
    let bytes = Message::Reply(answer).encode(1, number);
    let result = world.nodes[asks].subscriber.receive(now, PeerId(old as u16), &bytes);
    assert_eq!(result, Err(ReceiveError::Fenced { token, highest: token + 1000 }));
    assert_eq!(world.nodes[asks].subscriber.counts().fenced, refused_before + 1);
}

#[test]
fn a_client_that_was_told_late_of_a_new_relay_takes_nothing_back() {
    let mut world = settled(12);
    let (old, new) = (world.relay_of(1), world.relay_of(1) + 1);
    world.stop(old);
    world.run_for(seconds(TAKEOVER_SECONDS));
    world.make_relay(new);
    world.publisher().publish_worker(worker(1, 3, "draining")).expect("it fits");
    world.settle(BOUND, "a change behind the new relay");
    let partition = Partition::Zone(common::zone_name(1));
    world.wake(old);
    for _ in 0..200 {
        world.run_for(ms(50));
        for number in (1..world.nodes.len()).filter(|number| *number != old) {
            let value = world.nodes[number].subscriber.replica().get(&partition, "w-1-3");
            assert_eq!(value, Some(b"draining".as_slice()));
        }
    }
    // And the old one comes to what all have.
    world.settle(BOUND, "the old relay follows");
}

#[test]
fn a_source_that_wakes_late_is_fenced_and_its_changes_are_taken_back() {
    let mut world = settled(13);
    // The old source, cut off from the others, goes on publishing what only it has heard.
    let all: Vec<usize> = (1..world.nodes.len()).collect();
    world.cut_between(&[0], &all);
    world.publisher().publish_worker(worker(2, 90, "up")).expect("it fits");
    world.run_for(seconds(TAKEOVER_SECONDS));
    let mut now_listed = list(3, 40);
    now_listed.pop();
    world.start_source(4, now_listed);
    let others = [1, 2, 3, 5, 6, 7, 8, 9];
    world.run_until(BOUND, "another source", |world| others.iter().all(|number| world.has_all(*number)));
    assert_eq!(world.nodes[1].subscriber.replica().len(), 119);
    // Back again, it still has its token, and answers: relays that were told of it refuse.
    world.cut.clear();
    world.run_for(seconds(5));
    world.settle(BOUND, "the old source is heard again");
    assert_eq!(world.nodes[0].subscriber.replica().len(), 119);
}

#[test]
fn a_source_whose_lease_went_to_a_new_one_does_not_serve_its_old_log_under_the_new_token() {
    let timing = Timing::default();
    let mut publisher =
        Publisher::new(Replica::new(Limits::default()), 7, 64_000, Versions::default(), timing, Time::ZERO);
    publisher.publish_list(list(1, 3)).expect("it fits");
    publisher.confirm(Time::ZERO);
    let ask = Request { service: Service::Source, max_bytes: 2000, ask: Ask::Partitions };
    let question = Message::Request(ask).encode(1, 5);
    let mut answer = |token| {
        let bytes = publisher.serve(ms(10), token, &question).expect("it answers");
        match Message::decode(&bytes, Versions::default()) {
            Ok((_, Message::Reply(reply))) => reply.answer,
            other => panic!("{other:?}"),
        }
    };
    assert!(matches!(answer(Some(7)), Answer::Partitions(_)));
    assert_eq!(answer(Some(8)), Answer::NotServing);
    assert_eq!(answer(None), Answer::NotServing);
}

#[test]
fn a_relay_cut_off_on_one_way_is_passed_over() {
    for (seed, to_relay) in [(14, true), (15, false)] {
        let mut world = settled(seed);
        let relay = world.relay_of(1);
        for client in [relay + 1, relay + 2] {
            world.cut.insert(if to_relay { (client, relay) } else { (relay, client) });
        }
        world.publisher().publish_worker(worker(1, 3, "draining")).expect("it fits");
        let took = world.settle(BOUND, "a change past a relay that is half cut off");
        assert!(took < seconds(8), "{took:?}");
    }
}

#[test]
fn a_relay_that_hears_nothing_new_says_so_and_is_passed_over() {
    for to_relay in [true, false] {
        let mut world = settled(16);
        let relay = world.relay_of(1);
        // Its clients hear it well; it hears nobody.
        for other in (0..world.nodes.len()).filter(|other| *other != relay) {
            if to_relay && other != relay + 1 && other != relay + 2 {
                world.cut.insert((other, relay));
            } else if other == 0 || world.nodes[other].zone != 1 {
                world.cut.insert((relay, other));
            }
        }
        world.publisher().publish_worker(worker(1, 3, "draining")).expect("it fits");
        let clients = [relay + 1, relay + 2];
        let took = world.run_until(BOUND, "a change past a relay that is cut off", |world| {
            clients.iter().all(|client| world.has_all(*client))
        });
        assert!(took < seconds(9), "{took:?}");
        world.run_for(seconds(15));
        assert_eq!(world.nodes[relay].subscriber.standing(world.now), Standing::Stale);
        assert_eq!(world.nodes[relay + 1].subscriber.standing(world.now), Standing::Fresh);
    }
}

#[test]
fn two_versions_go_side_by_side() {
    let both = Versions { lowest: 1, highest: 2 };
    // Members 3, 4, 6 and 9 speak the newer version too; the source and the other relays do not.
    let newer = [3, 4, 6, 9];
    let versions: Vec<Versions> =
        (0..10).map(|number| if newer.contains(&number) { both } else { Versions::default() }).collect();
    let mut world = World::with(3, 3, 40, 17, Limits::default(), &versions);
    world.settle(BOUND, "two versions");
    let failures = |world: &World| -> Vec<u64> {
        newer.iter().map(|number| world.nodes[*number].subscriber.counts().failures).collect()
    };
    let before = failures(&world);
    world.publisher().publish_worker(worker(1, 3, "draining")).expect("it fits");
    world.settle(BOUND, "a change over two versions");
    // What a peer speaks is learnt once.
    assert_eq!(failures(&world), before);
}

#[test]
fn a_version_that_is_not_spoken_is_left_and_another_relay_is_asked() {
    let newest = Versions { lowest: 2, highest: 2 };
    let both = Versions { lowest: 1, highest: 2 };
    // Relay 4 of zone 1 speaks the new version alone: its zone goes to other relays, and it follows a relay that
    // speaks both, since the source speaks the old one.
    let versions: Vec<Versions> = (0..10)
        .map(|number| match number {
            4 => newest,
            7 => both,
            _ => Versions::default(),
        })
        .collect();
    let mut world = World::with(3, 3, 40, 18, Limits::default(), &versions);
    world.settle(seconds(30), "versions that have none in common");
}

#[test]
fn an_unknown_kind_is_answered_by_what_is_spoken() {
    let mut world = settled(19);
    let mut bytes = vec![1, 77];
    bytes.extend(5_u32.to_le_bytes());
    bytes.extend([1, 2, 3]);
    let answer = world.publisher().serve(seconds(30), Some(1), &bytes).expect("it answers");
    let (header, message) =
        Message::decode(&answer, Versions { lowest: 9, highest: 9 }).expect("all can read it");
    assert_eq!((header.number, message), (5, Message::Unsupported(Versions::default())));
    // An answer of an unknown kind gets none: two programs would talk for ever.
    bytes[1] = 200;
    assert_eq!(world.publisher().serve(seconds(30), Some(1), &bytes), None);
}

#[test]
fn a_change_and_its_opposite_within_one_round() {
    let mut world = settled(20);
    let partition = Partition::Zone(common::zone_name(0));
    let before = world.publisher().replica().digest();
    world.publisher().publish_worker(worker(0, 5, "draining")).expect("it fits");
    world.publisher().publish_worker(worker(0, 5, "up")).expect("it fits");
    world.publisher().publish_worker(worker(0, 77, "up")).expect("it fits");
    world.publisher().remove_worker("w-0-77").expect("it is there");
    world.publisher().remove_worker("w-0-6").expect("it is there");
    world.publisher().publish_worker(worker(0, 6, "up")).expect("it fits");
    assert_eq!(world.publisher().replica().digest(), before);
    // Nobody ever sees a part of it that never was the list's end, once the head is reached.
    let head = world.publisher().replica().position();
    world.run_until(BOUND, "the head", |world| {
        (1..world.nodes.len()).all(|number| world.nodes[number].subscriber.replica().position() == head)
    });
    world.assert_same_records();
    assert_eq!(world.nodes[1].subscriber.replica().get(&partition, "w-0-77"), None);
}

#[test]
fn a_newcomer_in_a_burst() {
    for seed in 0..5 {
        let mut world = settled(seed + 30);
        world.faults.lost = 100;
        let newcomer = world.add_node(1);
        // A hundred times the mean of 19,000 changes a day, for ten seconds.
        for round in 0..220 {
            let value = if round % 3 == 0 { "draining" } else { "up" };
            let changed = worker(round % 3, round % 40, value);
            world.publisher().publish_worker(changed).expect("it fits");
            if round % 20 == 7 {
                world
                    .publisher()
                    .remove_worker(&format!("w-{}-{}", round % 3, (round + 9) % 40))
                    .expect("room");
            }
            world.run_for(ms(45));
        }
        world.settle(BOUND, "a burst");
        assert!(world.nodes[newcomer].subscriber.counts().resynchronizations <= 2);
    }
}

#[test]
fn everybody_restarts_within_ten_seconds() {
    let mut world = settled(40);
    let number_of_nodes = world.nodes.len();
    for number in 1..number_of_nodes {
        world.run_for(ms(10_000 / number_of_nodes as u64));
        world.restart(number);
        if world.relay_of(world.nodes[number].zone) == number {
            world.make_relay(number);
        }
    }
    world.start_source(0, list(3, 40));
    world.settle(BOUND, "all are back");
}

#[test]
fn everybody_restarts_and_knows_the_own_zone_long_before_all() {
    let mut world = World::new(10, 2, 400, 43);
    world.settle(seconds(120), "start");
    for number in 1..world.nodes.len() {
        world.restart(number);
        if world.relay_of(world.nodes[number].zone) == number {
            world.make_relay(number);
        }
        world.run_for(ms(200));
    }
    let all: Vec<usize> = (1..world.nodes.len()).collect();
    let knows_zone =
        |world: &World, number: usize| world.nodes[number].subscriber.essential_age(world.now).is_some();
    let is_ready = |world: &World| all.iter().all(|number| knows_zone(world, *number));
    let took = world.run_until(seconds(10), "own zones", is_ready);
    assert!(!world.is_settled(), "the whole list takes longer than {took:?}");
    world.settle(seconds(120), "all is known");
}

#[test]
fn zones_that_come_and_go_do_not_fill_the_bound() {
    let limits = Limits { partitions: 8, ..Limits::default() };
    let mut world = World::with(3, 2, 10, 44, limits, &[]);
    world.settle(BOUND, "start");
    for zone in 10..60 {
        world.publisher().publish_worker(worker(zone, 1, "up")).expect("there is room");
        world.run_for(ms(700));
        world.publisher().remove_worker(&format!("w-{zone}-1")).expect("it is there");
    }
    world.settle(BOUND, "zones that came and went");
}

#[test]
fn a_region_cut_off_for_an_hour_with_800_changes_on_both_sides() {
    let mut world = World::new(3, 3, 400, 41);
    world.settle(seconds(120), "start");
    // Zone 2 is the region: it has discovery, but neither the source nor a majority.
    let region: Vec<usize> = (1..10).filter(|number| world.nodes[*number].zone == 2).collect();
    let rest: Vec<usize> = (0..10).filter(|number| !region.contains(number)).collect();
    world.cut_between(&region, &rest);
    world.run_for(seconds(15));
    assert!(region
        .iter()
        .all(|number| world.nodes[*number].subscriber.standing(world.now) == Standing::Stale));
    for step in 0..800_usize {
        let value = format!("source-{step}");
        world.publisher().publish_worker(worker(step % 3, step % 400, &value)).expect("it fits");
        // On the other side each asks discovery for itself, and takes what it says.
        let change = Change {
            partition: Partition::Zone(common::zone_name((step + 1) % 3)),
            name: format!("w-{}-{}", (step + 1) % 3, (step * 7) % 400),
            value: (step % 5 > 0).then(|| format!("region-{step}").into_bytes()),
        };
        for number in &region {
            world.nodes[*number]
                .subscriber
                .take_from_discovery(std::slice::from_ref(&change))
                .expect("it fits");
        }
        world.run_for(ms(4500));
    }
    let bytes = |world: &World| -> Vec<u64> {
        region.iter().map(|number| world.nodes[*number].subscriber.counts().bytes).collect()
    };
    let before = bytes(&world);
    world.cut.clear();
    // All 48 ranges of 400 workers differ: 18 KB at 4 KB a second, through a relay that has to fetch them first.
    let took = world.settle(seconds(60), "the region is joined again");
    let most = bytes(&world).iter().zip(before).map(|(after, before)| after - before).max();
    println!("joined after {took:?}; at most {most:?} bytes at one");
    assert!(took < seconds(40), "{took:?}");
}

#[test]
fn a_region_that_missed_a_little_fetches_a_little() {
    let mut world = World::new(3, 3, 400, 42);
    world.settle(seconds(120), "start");
    let region: Vec<usize> = (1..10).filter(|number| world.nodes[*number].zone == 2).collect();
    let rest: Vec<usize> = (0..10).filter(|number| !region.contains(number)).collect();
    world.cut_between(&region, &rest);
    // Another source meanwhile: the epoch is another one, and the history is of no use.
    world.start_source(1, list(3, 400));
    world.publisher().publish_worker(worker(0, 5, "draining")).expect("it fits");
    world.run_for(seconds(60));
    world.cut.clear();
    let before = world.nodes[region[1]].subscriber.counts().bytes;
    let took = world.settle(BOUND, "the region is joined again");
    let fetched = world.nodes[region[1]].subscriber.counts().bytes - before;
    assert!(took < seconds(10), "{took:?}");
    // The whole list would be 15 KB. Polls are under 500 bytes a second.
    assert!(fetched < 500 * (took.as_secs() + 1) + 2500, "{fetched} bytes in {took:?}");
}

#[test]
fn messages_lost_doubled_late_and_cut_short() {
    for seed in 50..56 {
        let mut world = settled(seed);
        world.faults = common::Faults { lost: 300, doubled: 300, cut_short: 100, latency_ms: 400 };
        for step in 0..100 {
            let value = format!("v{step}");
            world.publisher().publish_worker(worker(step % 3, step % 40, &value)).expect("it fits");
            world.run_for(ms(100));
        }
        let took = world.settle(seconds(30), "a bad network");
        println!("{took:?}");
        assert!(world.refused(5, "no question") > 0, "late and doubled answers are refused");
    }
}

#[test]
fn forged_contents_are_refused() {
    let mut world = settled(60);
    let client = world.relay_of(1) + 1;
    let before = world.nodes[client].subscriber.replica().digest();
    let now = world.now;
    let subscriber = &mut world.nodes[client].subscriber;
    let transmit = (0..100).find_map(|step| subscriber.poll(now + ms(20 * step))).expect("it asks");
    let number = u32::from_le_bytes(transmit.bytes[2..6].try_into().expect("four bytes"));
    let position = subscriber.replica().position().expect("it follows");
    let change = lineroute_distribution::message::Answer::Contents { position, ranges: Vec::new() };
    let forged = Message::Reply(Reply { token: u64::MAX / 2, age_ms: 0, answer: change }).encode(1, number);
    // Of another member than the one that was asked.
    assert_eq!(subscriber.receive(now, PeerId(999), &forged), Err(ReceiveError::Unasked));
    // Of the right one, but no answer to what was asked.
    assert_eq!(subscriber.receive(now, transmit.to, &forged), Err(ReceiveError::Inconsistent));
    assert_eq!(subscriber.replica().digest(), before);
}

#[test]
fn the_end_of_all_sequences_begins_another_generation() {
    let mut world = settled(70);
    world.publisher().begin_anew(u64::MAX - 3).expect("there are generations");
    world.run_for(seconds(5));
    for step in 0..8 {
        let value = format!("v{step}");
        world.publisher().publish_worker(worker(0, step, &value)).expect("it fits");
        world.run_for(ms(300));
    }
    world.settle(BOUND, "another generation");
    let position = world.publisher().replica().position().expect("it publishes");
    assert_eq!((position.epoch.generation, position.sequence), (2, 5));
    assert_eq!(Epoch { token: 1, generation: u32::MAX }.next_generation(), None);
    let error = PublishError::EndOfLog;
    assert_eq!(error.to_string(), "the log of this lease is at its end");
}

#[test]
fn numbers_of_questions_wrap() {
    // Seeds are tried until one begins right before the end.
    let setup = |seed| SubscriberConfig { seed, ..SubscriberConfig::default() };
    let first = |seed| fastrand::Rng::with_seed(seed).u32(..);
    let seed = (0..).find(|seed| first(*seed) > u32::MAX - 4_000_000).expect("there is one");
    let mut subscriber = Subscriber::new(setup(seed), None, Time::ZERO);
    let upstream = Upstream { peer: PeerId(1), role: Role::Source, token: 1 };
    subscriber.set_upstreams(&[upstream]);
    let (mut now, mut numbers) = (Time::ZERO, Vec::new());
    let left = u32::MAX - first(seed);
    while numbers.len() < left as usize + 3 {
        now += seconds(5);
        if let Some(transmit) = subscriber.poll(now) {
            numbers.push(u32::from_le_bytes(transmit.bytes[2..6].try_into().expect("four bytes")));
        }
    }
    assert_eq!(numbers.last(), Some(&1));
}

#[test]
fn versions_of_positions_are_compared_by_epoch_first() {
    let at = |token, generation, sequence| Position { epoch: Epoch { token, generation }, sequence };
    assert!(at(1, 0, 900) < at(1, 1, 0) && at(1, 7, 900) < at(2, 0, 0) && at(2, 0, 0) < at(2, 0, 1));
}

#[test]
fn memory_stays_within_its_bounds() {
    let limits = Limits { records: 130, history_changes: 16, history_bytes: 2000, ..Limits::default() };
    let mut world = World::with(3, 3, 40, 80, limits, &[]);
    world.settle(BOUND, "start");
    let mut refused = 0;
    for number in 0..200 {
        refused += usize::from(world.publisher().publish_worker(worker(0, 1000 + number, "up")).is_err());
        world.run_for(ms(20));
    }
    // 120 are there, 10 more fit; the others are refused at the source, and nobody else sees them.
    assert_eq!(refused, 190);
    world.settle(BOUND, "at the bound");
    for node in &world.nodes {
        let replica = node.subscriber.replica();
        assert!(replica.len() <= 130 && replica.history_len() <= 16);
    }
    // What is removed makes room again.
    assert_eq!(world.publisher().remove_worker("w-0-1"), Ok(1));
    assert_eq!(world.publisher().publish_worker(worker(1, 2000, "up")), Ok(1));
    world.settle(BOUND, "room again");
}

#[test]
fn a_client_behind_the_history_is_told_so_and_fetches_from_its_relay() {
    let limits = Limits { history_changes: 20, ..Limits::default() };
    let mut world = World::with(2, 3, 100, 81, limits, &[]);
    world.settle(seconds(30), "start");
    let client = world.relay_of(1) + 1;
    world.stop(client);
    for step in 0..100 {
        let value = format!("v{step}");
        world.publisher().publish_worker(worker(0, step % 60, &value)).expect("it fits");
        world.run_for(ms(50));
    }
    let before = world.nodes[client].subscriber.counts();
    world.wake(client);
    world.settle(seconds(20), "far behind");
    let after = world.nodes[client].subscriber.counts();
    assert_eq!(after.resynchronizations, before.resynchronizations + 1);
}

#[test]
fn a_range_that_was_fetched_late_is_not_taken_back_by_older_changes() {
    let timing = Timing::default();
    let replica = Replica::new(Limits::default());
    let mut publisher = Publisher::new(replica, 7, 1_000_000, Versions::default(), timing, Time::ZERO);
    publisher.publish_list(list(1, 40)).expect("it fits");
    publisher.confirm(Time::ZERO);
    let mut subscriber = Subscriber::new(SubscriberConfig::default(), None, Time::ZERO);
    subscriber.set_upstreams(&[Upstream { peer: PeerId(0), role: Role::Source, token: 7 }]);
    let partition = Partition::Zone(common::zone_name(0));
    let (mut now, mut exchanges, mut seen) = (Time::ZERO, 0, false);
    while exchanges < 200 {
        now += ms(50);
        publisher.confirm(now);
        let Some(transmit) = subscriber.poll(now) else { continue };
        exchanges += 1;
        if exchanges == 2 {
            // Between the position that was told and the ranges: a change, more than one answer holds, and another change.
            publisher.publish_worker(worker(0, 1, "first")).expect("it fits");
            for number in 0..100 {
                publisher.publish_worker(worker(1, number, &"x".repeat(100))).expect("it fits");
            }
            publisher.publish_worker(worker(0, 1, "second")).expect("it fits");
        }
        let answer = publisher.serve(now, Some(7), &transmit.bytes).expect("it answers");
        subscriber.receive(now, transmit.to, &answer).expect("it fits the question");
        let value = subscriber.replica().get(&partition, "w-0-1");
        seen |= value == Some(b"second");
        assert!(!seen || value == Some(b"second"), "{value:?} at {exchanges}");
    }
    assert!(seen && subscriber.replica().is_complete());
    assert_eq!(subscriber.replica().digest(), publisher.replica().digest());
}
