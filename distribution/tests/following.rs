//! Behaviour without faults: new dispatchers, changes, byte budgets, and the tracked age of each replica.

mod common;

use common::{list, ms, seconds, worker, Simulation};
use lineroute_distribution::record::Partition;
use lineroute_distribution::subscriber::Freshness;

#[test]
fn all_processes_obtain_the_sources_list() {
    let mut simulation = Simulation::new(3, 3, 40, 1);
    let elapsed = simulation.run_until_converged(seconds(14), "start");
    assert!(elapsed < seconds(5), "{elapsed:?}");
    let resynchronized: u64 =
        simulation.nodes.iter().map(|node| node.subscriber.counts().resynchronizations).sum();
    // Once per subscriber, at the start; the source does not follow anyone.
    assert_eq!(resynchronized, 9);
    assert!(simulation.nodes.iter().all(|node| node.subscriber.counts().mismatches == 0));
}

#[test]
fn a_change_takes_effect_within_two_poll_rounds() {
    let mut simulation = Simulation::new(3, 3, 40, 2);
    simulation.run_until_converged(seconds(14), "start");
    for (round, value) in ["draining", "up", "draining"].into_iter().enumerate() {
        simulation.publisher().publish_worker(worker(1, 7, value)).expect("within limits");
        simulation
            .publisher()
            .publish_configuration("rules", Some(vec![round as u8]))
            .expect("within limits");
        let elapsed = simulation.run_until_converged(seconds(14), "a change");
        assert!(elapsed < ms(1500), "{elapsed:?}");
    }
    let replica = simulation.nodes[9].subscriber.replica();
    assert_eq!(replica.get(&Partition::Configuration, "rules"), Some([2].as_slice()));
}

#[test]
fn a_moved_worker_is_in_one_zone_only() {
    let mut simulation = Simulation::new(2, 2, 5, 3);
    simulation.run_until_converged(seconds(14), "start");
    let mut moved = worker(0, 1, "up");
    moved.zone = common::zone_name(1);
    assert_eq!(simulation.publisher().publish_worker(moved), Ok(2));
    assert_eq!(simulation.publisher().remove_worker("w-0-2"), Ok(1));
    assert_eq!(simulation.publisher().remove_worker("w-0-2"), Ok(0));
    simulation.run_until_converged(seconds(14), "a move");
    assert_eq!(simulation.nodes[1].subscriber.replica().len(), 9);
}

#[test]
fn removed_and_added_zones_are_distributed() {
    let mut simulation = Simulation::new(3, 2, 10, 4);
    simulation.run_until_converged(seconds(14), "start");
    let mut workers = list(2, 10);
    workers.push(worker(7, 1, "up"));
    assert_eq!(simulation.publisher().publish_list(workers), Ok(11));
    let elapsed = simulation.run_until_converged(seconds(14), "a replaced list");
    assert!(elapsed < ms(1500), "{elapsed:?}");
    // A dispatcher that starts now learns it as well.
    let new_node = simulation.add_node(0);
    simulation.run_until_converged(seconds(14), "a new dispatcher");
    assert_eq!(simulation.nodes[new_node].subscriber.replica().len(), 21);
}

#[test]
fn the_own_zone_is_fetched_first_within_the_byte_budget() {
    let mut simulation = Simulation::new(10, 2, 400, 5);
    simulation.run_until_converged(seconds(600), "start");
    let new_node = simulation.add_node(7);
    let began = simulation.now;
    let bytes_per_second = u64::from(simulation.timing.bytes_per_second);
    let mut essential = None;
    while !simulation.is_up_to_date(new_node) {
        simulation.run_for(ms(100));
        let node = &simulation.nodes[new_node].subscriber;
        let elapsed = simulation.now - began;
        if node.freshness(simulation.now) == Freshness::Essential && essential.is_none() {
            essential = Some(elapsed);
            assert!(node.replica().is_verified(&Partition::Zone("zone-7".into())));
        }
        // The rate, the burst capacity, and one reply.
        let max_bytes = bytes_per_second * (elapsed.as_millis() as u64 + 1000) / 1000 + 4096;
        assert!(node.counts().bytes <= max_bytes, "{} bytes in {elapsed:?}", node.counts().bytes);
        assert!(elapsed < seconds(120));
    }
    let all = simulation.now - began;
    let essential = essential.expect("the own zone before the others");
    assert!(essential < seconds(5) && essential * 3 < all, "{essential:?} of {all:?}");
    // The records are complete.
    simulation.assert_same_records();
}

#[test]
fn each_process_knows_the_age_of_its_replica_and_reports_staleness() {
    let mut simulation = Simulation::new(2, 2, 10, 6);
    simulation.run_until_converged(seconds(14), "start");
    simulation.run_for(seconds(20));
    for number in 1..5 {
        let age = simulation.nodes[number].subscriber.age(simulation.now).expect("a known age");
        assert!(age < seconds(3), "{age:?}");
    }
    // Discovery stops responding: the source continues to serve, and all subscribers learn that its records are
    // aging.
    simulation.discovery_is_reachable = false;
    let silent_since = simulation.now;
    simulation.run_for(seconds(9));
    for number in 1..5 {
        let node = &simulation.nodes[number].subscriber;
        assert!(node.age(simulation.now).expect("a known age") >= seconds(8));
        assert_eq!(node.freshness(simulation.now), Freshness::Fresh);
    }
    simulation.run_for(seconds(3));
    for number in 1..5 {
        let node = &simulation.nodes[number].subscriber;
        assert!(node.age(simulation.now).expect("a known age") >= simulation.now - silent_since - ms(500));
        assert_eq!(node.freshness(simulation.now), Freshness::Stale);
    }
    simulation.discovery_is_reachable = true;
    simulation.run_until_converged(seconds(5), "discovery is reachable again");
}
