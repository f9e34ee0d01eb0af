//! Behaviour with faults of relays, sources, and the network.

mod common;

use common::{list, ms, seconds, worker, Simulation, CONVERGENCE_LIMIT};
use lineroute_distribution::message::{Message, Query, Reply, ReplyBody, Request, Service, Versions};
use lineroute_distribution::position::{Epoch, Position};
use lineroute_distribution::publisher::{PublishError, Publisher};
use lineroute_distribution::record::{Change, Partition};
use lineroute_distribution::replica::Replica;
use lineroute_distribution::subscriber::{Freshness, ReceiveError, Subscriber, SubscriberConfig};
use lineroute_distribution::timing::{Limits, Timing};
use lineroute_distribution::upstream::{PeerId, Role, Upstream};
use lineroute_distribution::Time;

/// The time until a lease has another holder and all nodes know it.
const TAKEOVER_SECONDS: u64 = 4;

fn converged_simulation(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(3, 3, 40, seed);
    simulation.run_until_converged(CONVERGENCE_LIMIT, "start");
    simulation
}

#[test]
fn changes_take_effect_despite_a_dead_relay() {
    for seed in 0..10 {
        let mut simulation = converged_simulation(seed);
        simulation.faults.lost = 300;
        let relay = simulation.relay_of(1);
        simulation.kill(relay);
        simulation.publisher().publish_worker(worker(1, 3, "draining")).expect("within limits");
        // No other process is the relay yet: its clients fail over to relays of other zones.
        let elapsed = simulation.run_until_converged(CONVERGENCE_LIMIT, "a change with a dead relay");
        assert!(elapsed < CONVERGENCE_LIMIT, "{elapsed:?}");
        simulation.run_for(seconds(TAKEOVER_SECONDS));
        simulation.grant_relay_lease(relay + 1);
        simulation.publisher().publish_worker(worker(1, 4, "draining")).expect("within limits");
        simulation.run_until_converged(CONVERGENCE_LIMIT, "a change with a new relay");
    }
}

#[test]
fn a_relay_that_resumes_after_losing_its_lease_is_fenced() {
    let mut simulation = converged_simulation(11);
    let (old, new) = (simulation.relay_of(1), simulation.relay_of(1) + 1);
    simulation.pause(old);
    simulation.run_for(seconds(TAKEOVER_SECONDS));
    simulation.grant_relay_lease(new);
    simulation.publisher().publish_worker(worker(1, 3, "draining")).expect("within limits");
    simulation.run_until_converged(CONVERGENCE_LIMIT, "a change with the new relay");
    // A client that knows of the new relay receives a reply from the old one, which does not know that it has lost
    // its lease.
    let token = simulation.nodes[old].relay_token.expect("a relay token");
    let client = old + 2;
    simulation.resume(old);
    let fenced_before = simulation.nodes[client].subscriber.counts().fenced;
    let reply = Reply {
        token,
        age_ms: 0,
        body: ReplyBody::Changes { to: 0, head: 0, digest: None, changes: Vec::new() },
    };
    let upstreams = [Upstream { peer: PeerId(old as u16), role: Role::Relay(1), token: token + 1000 }];
    simulation.nodes[client].subscriber.set_upstreams(&upstreams);
    let now = simulation.now;
    let transmit = (0..100).find_map(|step| simulation.nodes[client].subscriber.poll(now + ms(20 * step)));
    let request_id =
        u32::from_le_bytes(transmit.expect("a request").bytes[2..6].try_into().expect("four bytes"));
    let bytes = Message::Reply(reply).encode(1, request_id);
    let result = simulation.nodes[client].subscriber.receive(now, PeerId(old as u16), &bytes);
    assert_eq!(result, Err(ReceiveError::Fenced { token, highest: token + 1000 }));
    assert_eq!(simulation.nodes[client].subscriber.counts().fenced, fenced_before + 1);
}

#[test]
fn a_former_relay_does_not_revert_changes() {
    let mut simulation = converged_simulation(12);
    let (old, new) = (simulation.relay_of(1), simulation.relay_of(1) + 1);
    simulation.pause(old);
    simulation.run_for(seconds(TAKEOVER_SECONDS));
    simulation.grant_relay_lease(new);
    simulation.publisher().publish_worker(worker(1, 3, "draining")).expect("within limits");
    simulation.run_until_converged(CONVERGENCE_LIMIT, "a change with the new relay");
    let partition = Partition::Zone(common::zone_name(1));
    simulation.resume(old);
    for _ in 0..200 {
        simulation.run_for(ms(50));
        for number in (1..simulation.nodes.len()).filter(|number| *number != old) {
            let value = simulation.nodes[number].subscriber.replica().get(&partition, "w-1-3");
            assert_eq!(value, Some(b"draining".as_slice()));
        }
    }
    // The old relay converges as well.
    simulation.run_until_converged(CONVERGENCE_LIMIT, "convergence of the old relay");
}

#[test]
fn a_former_source_is_fenced_and_its_changes_are_reverted() {
    let mut simulation = converged_simulation(13);
    // The old source, disconnected from all others, publishes a change that no other process receives.
    let all: Vec<usize> = (1..simulation.nodes.len()).collect();
    simulation.disconnect(&[0], &all);
    simulation.publisher().publish_worker(worker(2, 90, "up")).expect("within limits");
    simulation.run_for(seconds(TAKEOVER_SECONDS));
    let mut now_listed = list(3, 40);
    now_listed.pop();
    simulation.start_source(4, now_listed);
    let others = [1, 2, 3, 5, 6, 7, 8, 9];
    simulation.run_until(CONVERGENCE_LIMIT, "another source", |simulation| {
        others.iter().all(|number| simulation.is_up_to_date(*number))
    });
    assert_eq!(simulation.nodes[1].subscriber.replica().len(), 119);
    // After reconnection it still has its token and replies; relays that know of the new source reject its replies.
    simulation.blocked_links.clear();
    simulation.run_for(seconds(5));
    simulation.run_until_converged(CONVERGENCE_LIMIT, "reconnection of the old source");
    assert_eq!(simulation.nodes[0].subscriber.replica().len(), 119);
}

#[test]
fn a_source_does_not_serve_its_old_log_under_a_new_token() {
    let timing = Timing::default();
    let mut publisher =
        Publisher::new(Replica::new(Limits::default()), 7, 64_000, Versions::default(), timing, Time::ZERO);
    publisher.publish_list(list(1, 3)).expect("within limits");
    publisher.confirm(Time::ZERO);
    let request = Request { service: Service::Source, max_bytes: 2000, query: Query::Partitions };
    let request = Message::Request(request).encode(1, 5);
    let mut reply = |token| {
        let bytes = publisher.serve(ms(10), token, &request).expect("a reply");
        match Message::decode(&bytes, Versions::default()) {
            Ok((_, Message::Reply(reply))) => reply.body,
            other => panic!("{other:?}"),
        }
    };
    assert!(matches!(reply(Some(7)), ReplyBody::Partitions(_)));
    assert_eq!(reply(Some(8)), ReplyBody::NotServing);
    assert_eq!(reply(None), ReplyBody::NotServing);
}

#[test]
fn a_relay_disconnected_in_one_direction_is_skipped() {
    for (seed, to_relay) in [(14, true), (15, false)] {
        let mut simulation = converged_simulation(seed);
        let relay = simulation.relay_of(1);
        for client in [relay + 1, relay + 2] {
            simulation.blocked_links.insert(if to_relay { (client, relay) } else { (relay, client) });
        }
        simulation.publisher().publish_worker(worker(1, 3, "draining")).expect("within limits");
        let elapsed = simulation
            .run_until_converged(CONVERGENCE_LIMIT, "a change with a relay disconnected in one direction");
        assert!(elapsed < seconds(8), "{elapsed:?}");
    }
}

#[test]
fn a_relay_without_updates_reports_its_age_and_is_skipped() {
    for to_relay in [true, false] {
        let mut simulation = converged_simulation(16);
        let relay = simulation.relay_of(1);
        // Its clients can reach the relay, but either it receives nothing from the other nodes, or nothing that it sends
        // reaches the source or other zones.
        for other in (0..simulation.nodes.len()).filter(|other| *other != relay) {
            if to_relay && other != relay + 1 && other != relay + 2 {
                simulation.blocked_links.insert((other, relay));
            } else if other == 0 || simulation.nodes[other].zone != 1 {
                simulation.blocked_links.insert((relay, other));
            }
        }
        simulation.publisher().publish_worker(worker(1, 3, "draining")).expect("within limits");
        let clients = [relay + 1, relay + 2];
        let elapsed =
            simulation.run_until(CONVERGENCE_LIMIT, "a change with a disconnected relay", |simulation| {
                clients.iter().all(|client| simulation.is_up_to_date(*client))
            });
        assert!(elapsed < seconds(9), "{elapsed:?}");
        simulation.run_for(seconds(15));
        assert_eq!(simulation.nodes[relay].subscriber.freshness(simulation.now), Freshness::Stale);
        assert_eq!(simulation.nodes[relay + 1].subscriber.freshness(simulation.now), Freshness::Fresh);
    }
}

#[test]
fn two_versions_interoperate() {
    let both = Versions { lowest: 1, highest: 2 };
    // Members 3, 4, 6 and 9 also support the newer version; the source and the other relays do not.
    let newer = [3, 4, 6, 9];
    let versions: Vec<Versions> =
        (0..10).map(|number| if newer.contains(&number) { both } else { Versions::default() }).collect();
    let mut simulation = Simulation::with(3, 3, 40, 17, Limits::default(), &versions);
    simulation.run_until_converged(CONVERGENCE_LIMIT, "two versions");
    let failures = |simulation: &Simulation| -> Vec<u64> {
        newer.iter().map(|number| simulation.nodes[*number].subscriber.counts().failures).collect()
    };
    let before = failures(&simulation);
    simulation.publisher().publish_worker(worker(1, 3, "draining")).expect("within limits");
    simulation.run_until_converged(CONVERGENCE_LIMIT, "a change with two versions");
    // The version of a peer is negotiated only once.
    assert_eq!(failures(&simulation), before);
}

#[test]
fn a_relay_without_a_common_version_is_skipped() {
    let newest = Versions { lowest: 2, highest: 2 };
    let both = Versions { lowest: 1, highest: 2 };
    // Relay 4 of zone 1 supports only the new version: the clients in its zone use other relays. It follows a relay
    // that supports both versions, since the source supports only the old one.
    let versions: Vec<Versions> = (0..10)
        .map(|number| match number {
            4 => newest,
            7 => both,
            _ => Versions::default(),
        })
        .collect();
    let mut simulation = Simulation::with(3, 3, 40, 18, Limits::default(), &versions);
    simulation.run_until_converged(seconds(30), "a relay without a common version");
}

#[test]
fn an_unknown_kind_is_answered_with_the_supported_versions() {
    let mut simulation = converged_simulation(19);
    let mut bytes = vec![1, 77];
    bytes.extend(5_u32.to_le_bytes());
    bytes.extend([1, 2, 3]);
    let reply = simulation.publisher().serve(seconds(30), Some(1), &bytes).expect("a reply");
    let (header, message) =
        Message::decode(&reply, Versions { lowest: 9, highest: 9 }).expect("decodable in all versions");
    assert_eq!((header.request_id, message), (5, Message::Unsupported(Versions::default())));
    // A reply of unknown kind is not replied to; otherwise two programs could exchange such messages endlessly.
    bytes[1] = 200;
    assert_eq!(simulation.publisher().serve(seconds(30), Some(1), &bytes), None);
}

#[test]
fn a_change_reverted_within_one_poll_round() {
    let mut simulation = converged_simulation(20);
    let partition = Partition::Zone(common::zone_name(0));
    let before = simulation.publisher().replica().digest();
    simulation.publisher().publish_worker(worker(0, 5, "draining")).expect("within limits");
    simulation.publisher().publish_worker(worker(0, 5, "up")).expect("within limits");
    simulation.publisher().publish_worker(worker(0, 77, "up")).expect("within limits");
    simulation.publisher().remove_worker("w-0-77").expect("within limits");
    simulation.publisher().remove_worker("w-0-6").expect("within limits");
    simulation.publisher().publish_worker(worker(0, 6, "up")).expect("within limits");
    assert_eq!(simulation.publisher().replica().digest(), before);
    // Once a subscriber has reached the head, no intermediate state of the list remains visible.
    let head = simulation.publisher().replica().position();
    simulation.run_until(CONVERGENCE_LIMIT, "the head", |simulation| {
        (1..simulation.nodes.len())
            .all(|number| simulation.nodes[number].subscriber.replica().position() == head)
    });
    simulation.assert_same_records();
    assert_eq!(simulation.nodes[1].subscriber.replica().get(&partition, "w-0-77"), None);
}

#[test]
fn a_dispatcher_that_starts_during_a_burst_of_changes() {
    for seed in 0..5 {
        let mut simulation = converged_simulation(seed + 30);
        simulation.faults.lost = 100;
        let new_node = simulation.add_node(1);
        // For ten seconds, a hundred times the mean rate of 19,000 changes a day.
        for round in 0..220 {
            let value = if round % 3 == 0 { "draining" } else { "up" };
            let changed = worker(round % 3, round % 40, value);
            simulation.publisher().publish_worker(changed).expect("within limits");
            if round % 20 == 7 {
                simulation
                    .publisher()
                    .remove_worker(&format!("w-{}-{}", round % 3, (round + 9) % 40))
                    .expect("within limits");
            }
            simulation.run_for(ms(45));
        }
        simulation.run_until_converged(CONVERGENCE_LIMIT, "a burst");
        assert!(simulation.nodes[new_node].subscriber.counts().resynchronizations <= 2);
    }
}

#[test]
fn all_processes_restart_within_ten_seconds() {
    let mut simulation = converged_simulation(40);
    let number_of_nodes = simulation.nodes.len();
    for number in 1..number_of_nodes {
        simulation.run_for(ms(10_000 / number_of_nodes as u64));
        simulation.restart(number);
        if simulation.relay_of(simulation.nodes[number].zone) == number {
            simulation.grant_relay_lease(number);
        }
    }
    simulation.start_source(0, list(3, 40));
    simulation.run_until_converged(CONVERGENCE_LIMIT, "restart of all");
}

#[test]
fn after_a_restart_of_all_the_own_zone_is_known_long_before_the_list() {
    let mut simulation = Simulation::new(10, 2, 400, 43);
    simulation.run_until_converged(seconds(120), "start");
    for number in 1..simulation.nodes.len() {
        simulation.restart(number);
        if simulation.relay_of(simulation.nodes[number].zone) == number {
            simulation.grant_relay_lease(number);
        }
        simulation.run_for(ms(200));
    }
    let all: Vec<usize> = (1..simulation.nodes.len()).collect();
    let has_essential = |simulation: &Simulation, number: usize| {
        simulation.nodes[number].subscriber.essential_age(simulation.now).is_some()
    };
    let is_ready = |simulation: &Simulation| all.iter().all(|number| has_essential(simulation, *number));
    let elapsed = simulation.run_until(seconds(10), "essential partitions", is_ready);
    assert!(!simulation.is_converged(), "the whole list must take longer than {elapsed:?}");
    simulation.run_until_converged(seconds(120), "the whole list");
}

#[test]
fn removed_zones_do_not_count_against_the_partition_limit() {
    let limits = Limits { partitions: 8, ..Limits::default() };
    let mut simulation = Simulation::with(3, 2, 10, 44, limits, &[]);
    simulation.run_until_converged(CONVERGENCE_LIMIT, "start");
    for zone in 10..60 {
        simulation.publisher().publish_worker(worker(zone, 1, "up")).expect("within limits");
        simulation.run_for(ms(700));
        simulation.publisher().remove_worker(&format!("w-{zone}-1")).expect("within limits");
    }
    simulation.run_until_converged(CONVERGENCE_LIMIT, "added and removed zones");
}

#[test]
fn a_region_disconnected_for_an_hour_with_800_changes_on_both_sides() {
    let mut simulation = Simulation::new(3, 3, 400, 41);
    simulation.run_until_converged(seconds(120), "start");
    // Zone 2 is the region: it can reach discovery, but neither the source nor a majority.
    let region: Vec<usize> = (1..10).filter(|number| simulation.nodes[*number].zone == 2).collect();
    let rest: Vec<usize> = (0..10).filter(|number| !region.contains(number)).collect();
    simulation.disconnect(&region, &rest);
    simulation.run_for(seconds(15));
    assert!(region
        .iter()
        .all(|number| simulation.nodes[*number].subscriber.freshness(simulation.now) == Freshness::Stale));
    for step in 0..800_usize {
        let value = format!("source-{step}");
        simulation.publisher().publish_worker(worker(step % 3, step % 400, &value)).expect("within limits");
        // In the region every process queries discovery itself and applies the result.
        let change = Change {
            partition: Partition::Zone(common::zone_name((step + 1) % 3)),
            name: format!("w-{}-{}", (step + 1) % 3, (step * 7) % 400),
            value: (step % 5 > 0).then(|| format!("region-{step}").into_bytes()),
        };
        for number in &region {
            simulation.nodes[*number]
                .subscriber
                .apply_from_discovery(std::slice::from_ref(&change))
                .expect("within limits");
        }
        simulation.run_for(ms(4500));
    }
    let bytes = |simulation: &Simulation| -> Vec<u64> {
        region.iter().map(|number| simulation.nodes[*number].subscriber.counts().bytes).collect()
    };
    let before = bytes(&simulation);
    simulation.blocked_links.clear();
    // All 48 ranges of 400 workers differ: 18 KB at 4 KB per second, through a relay that must fetch them first.
    let elapsed = simulation.run_until_converged(seconds(60), "reconnection of the region");
    let max_bytes = bytes(&simulation).iter().zip(before).map(|(after, before)| after - before).max();
    println!("converged after {elapsed:?}; at most {max_bytes:?} bytes per process");
    assert!(elapsed < seconds(40), "{elapsed:?}");
}

#[test]
fn a_region_that_missed_few_changes_fetches_little() {
    let mut simulation = Simulation::new(3, 3, 400, 42);
    simulation.run_until_converged(seconds(120), "start");
    let region: Vec<usize> = (1..10).filter(|number| simulation.nodes[*number].zone == 2).collect();
    let rest: Vec<usize> = (0..10).filter(|number| !region.contains(number)).collect();
    simulation.disconnect(&region, &rest);
    // Meanwhile another process becomes the source: the epoch changes, and the history is of no use.
    simulation.start_source(1, list(3, 400));
    simulation.publisher().publish_worker(worker(0, 5, "draining")).expect("within limits");
    simulation.run_for(seconds(60));
    simulation.blocked_links.clear();
    let before = simulation.nodes[region[1]].subscriber.counts().bytes;
    let elapsed = simulation.run_until_converged(CONVERGENCE_LIMIT, "reconnection of the region");
    let fetched = simulation.nodes[region[1]].subscriber.counts().bytes - before;
    assert!(elapsed < seconds(10), "{elapsed:?}");
    // The whole list has 15 KB. Polls take less than 500 bytes per second.
    assert!(fetched < 500 * (elapsed.as_secs() + 1) + 2500, "{fetched} bytes in {elapsed:?}");
}

#[test]
fn messages_lost_duplicated_late_and_truncated() {
    for seed in 50..56 {
        let mut simulation = converged_simulation(seed);
        simulation.faults = common::Faults { lost: 300, duplicated: 300, truncated: 100, latency_ms: 400 };
        for step in 0..100 {
            let value = format!("v{step}");
            simulation
                .publisher()
                .publish_worker(worker(step % 3, step % 40, &value))
                .expect("within limits");
            simulation.run_for(ms(100));
        }
        let elapsed = simulation.run_until_converged(seconds(30), "a bad network");
        println!("{elapsed:?}");
        assert!(
            simulation.rejection_count(5, "no outstanding request") > 0,
            "late and duplicate replies must be rejected"
        );
    }
}

#[test]
fn forged_contents_are_rejected() {
    let mut simulation = converged_simulation(60);
    let client = simulation.relay_of(1) + 1;
    let before = simulation.nodes[client].subscriber.replica().digest();
    let now = simulation.now;
    let subscriber = &mut simulation.nodes[client].subscriber;
    let transmit = (0..100).find_map(|step| subscriber.poll(now + ms(20 * step))).expect("a request");
    let request_id = u32::from_le_bytes(transmit.bytes[2..6].try_into().expect("four bytes"));
    let position = subscriber.replica().position().expect("a position");
    let change = lineroute_distribution::message::ReplyBody::Contents { position, ranges: Vec::new() };
    let forged = Message::Reply(Reply { token: u64::MAX / 2, age_ms: 0, body: change }).encode(1, request_id);
    // From a member other than the one that was queried.
    assert_eq!(subscriber.receive(now, PeerId(999), &forged), Err(ReceiveError::Unsolicited));
    // From the queried member, but not a reply to the request.
    assert_eq!(subscriber.receive(now, transmit.to, &forged), Err(ReceiveError::Inconsistent));
    assert_eq!(subscriber.replica().digest(), before);
}

#[test]
fn exhausted_sequence_numbers_start_another_generation() {
    let mut simulation = converged_simulation(70);
    simulation.publisher().start_new_generation(u64::MAX - 3).expect("generations are left");
    simulation.run_for(seconds(5));
    for step in 0..8 {
        let value = format!("v{step}");
        simulation.publisher().publish_worker(worker(0, step, &value)).expect("within limits");
        simulation.run_for(ms(300));
    }
    simulation.run_until_converged(CONVERGENCE_LIMIT, "another generation");
    let position = simulation.publisher().replica().position().expect("a position");
    assert_eq!((position.epoch.generation, position.sequence), (2, 5));
    assert_eq!(Epoch { token: 1, generation: u32::MAX }.next_generation(), None);
    let error = PublishError::LogExhausted;
    assert_eq!(error.to_string(), "the log of this lease is exhausted");
}

#[test]
fn request_ids_wrap() {
    // Searches for a seed whose first request ID is just before the wrap-around.
    let config = |seed| SubscriberConfig { seed, ..SubscriberConfig::default() };
    let first = |seed| fastrand::Rng::with_seed(seed).u32(..);
    let seed = (0..).find(|seed| first(*seed) > u32::MAX - 4_000_000).expect("a matching seed");
    let mut subscriber = Subscriber::new(config(seed), None, Time::ZERO);
    let upstream = Upstream { peer: PeerId(1), role: Role::Source, token: 1 };
    subscriber.set_upstreams(&[upstream]);
    let (mut now, mut request_ids) = (Time::ZERO, Vec::new());
    let remaining = u32::MAX - first(seed);
    while request_ids.len() < remaining as usize + 3 {
        now += seconds(5);
        if let Some(transmit) = subscriber.poll(now) {
            request_ids.push(u32::from_le_bytes(transmit.bytes[2..6].try_into().expect("four bytes")));
        }
    }
    assert_eq!(request_ids.last(), Some(&1));
}

#[test]
fn positions_are_compared_by_epoch_first() {
    let at = |token, generation, sequence| Position { epoch: Epoch { token, generation }, sequence };
    assert!(at(1, 0, 900) < at(1, 1, 0) && at(1, 7, 900) < at(2, 0, 0) && at(2, 0, 0) < at(2, 0, 1));
}

#[test]
fn memory_stays_within_its_limits() {
    let limits = Limits { records: 130, history_changes: 16, history_bytes: 2000, ..Limits::default() };
    let mut simulation = Simulation::with(3, 3, 40, 80, limits, &[]);
    simulation.run_until_converged(CONVERGENCE_LIMIT, "start");
    let mut rejected = 0;
    for number in 0..200 {
        rejected +=
            usize::from(simulation.publisher().publish_worker(worker(0, 1000 + number, "up")).is_err());
        simulation.run_for(ms(20));
    }
    // 120 records exist and 10 more fit; the source rejects the others, and no other process sees them.
    assert_eq!(rejected, 190);
    simulation.run_until_converged(CONVERGENCE_LIMIT, "at the limit");
    for node in &simulation.nodes {
        let replica = node.subscriber.replica();
        assert!(replica.len() <= 130 && replica.history_len() <= 16);
    }
    // Removals make room again.
    assert_eq!(simulation.publisher().remove_worker("w-0-1"), Ok(1));
    assert_eq!(simulation.publisher().publish_worker(worker(1, 2000, "up")), Ok(1));
    simulation.run_until_converged(CONVERGENCE_LIMIT, "after removals");
}

#[test]
fn a_client_older_than_the_history_resynchronizes_from_its_relay() {
    let limits = Limits { history_changes: 20, ..Limits::default() };
    let mut simulation = Simulation::with(2, 3, 100, 81, limits, &[]);
    simulation.run_until_converged(seconds(30), "start");
    let client = simulation.relay_of(1) + 1;
    simulation.pause(client);
    for step in 0..100 {
        let value = format!("v{step}");
        simulation.publisher().publish_worker(worker(0, step % 60, &value)).expect("within limits");
        simulation.run_for(ms(50));
    }
    let before = simulation.nodes[client].subscriber.counts();
    simulation.resume(client);
    simulation.run_until_converged(seconds(20), "an outdated replica");
    let after = simulation.nodes[client].subscriber.counts();
    assert_eq!(after.resynchronizations, before.resynchronizations + 1);
}

#[test]
fn a_range_fetched_at_a_later_position_is_not_reverted_by_older_changes() {
    let timing = Timing::default();
    let replica = Replica::new(Limits::default());
    let mut publisher = Publisher::new(replica, 7, 1_000_000, Versions::default(), timing, Time::ZERO);
    publisher.publish_list(list(1, 40)).expect("within limits");
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
            // Between the reply with the position and the ranges: one change, more changes than fit into one reply,
            // and another change of the same record.
            publisher.publish_worker(worker(0, 1, "first")).expect("within limits");
            for number in 0..100 {
                publisher.publish_worker(worker(1, number, &"x".repeat(100))).expect("within limits");
            }
            publisher.publish_worker(worker(0, 1, "second")).expect("within limits");
        }
        let reply = publisher.serve(now, Some(7), &transmit.bytes).expect("a reply");
        subscriber.receive(now, transmit.to, &reply).expect("a matching reply");
        let value = subscriber.replica().get(&partition, "w-0-1");
        seen |= value == Some(b"second");
        assert!(!seen || value == Some(b"second"), "{value:?} at {exchanges}");
    }
    assert!(seen && subscriber.replica().is_complete());
    assert_eq!(subscriber.replica().digest(), publisher.replica().digest());
}
