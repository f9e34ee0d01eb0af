//! Property tests over random sequences of loss, duplication, delay, blocked links, pauses, restarts, changes, and
//! new lease holders: after the network has recovered, every process has the source's list within the time limit, and
//! no replica ever understates its age.

mod common;

use common::{ms, seconds, worker, Faults, Simulation};
use lineroute_distribution::publisher::ListedWorker;
use lineroute_distribution::record::{Change, Partition};
use proptest::prelude::*;

const ZONES: usize = 2;
const MEMBERS: usize = 3;
const WORKERS: usize = 20;
const NODES: usize = 1 + ZONES * MEMBERS;
/// Includes the time for paused processes to resume, leases to find holders, and replicas of this size to be fetched
/// completely.
const CONVERGENCE_LIMIT_SECONDS: u64 = 14;

#[derive(Clone, Debug)]
enum Step {
    Faults { lost: u32, duplicated: u32, truncated: u32, latency_ms: u64 },
    BlockLink(usize, usize),
    Reconnect,
    Pause(usize),
    Resume(usize),
    Restart(usize),
    NewRelay(usize),
    NewSource(usize),
    Publish { zone: usize, number: usize, value: u8 },
    Remove { zone: usize, number: usize },
    Configure(u8),
    Discovery { node: usize, zone: usize, number: usize },
    ExhaustSequences,
    Run(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0..NODES;
    prop_oneof![
        2 => (0_u32..600, 0_u32..400, 0_u32..200, 1_u64..800).prop_map(|(lost, duplicated, truncated, latency_ms)| {
            Step::Faults { lost, duplicated, truncated, latency_ms }
        }),
        3 => (node.clone(), node.clone()).prop_map(|(a, b)| Step::BlockLink(a, b)),
        1 => Just(Step::Reconnect),
        1 => (1..NODES).prop_map(Step::Pause),
        2 => (1..NODES).prop_map(Step::Resume),
        1 => (1..NODES).prop_map(Step::Restart),
        2 => (1..NODES).prop_map(Step::NewRelay),
        1 => node.prop_map(Step::NewSource),
        6 => (0..ZONES, 0..WORKERS * 2, any::<u8>())
            .prop_map(|(zone, number, value)| Step::Publish { zone, number, value }),
        2 => (0..ZONES, 0..WORKERS).prop_map(|(zone, number)| Step::Remove { zone, number }),
        1 => any::<u8>().prop_map(Step::Configure),
        2 => (1..NODES, 0..ZONES, 0..WORKERS)
            .prop_map(|(node, zone, number)| Step::Discovery { node, zone, number }),
        1 => Just(Step::ExhaustSequences),
        8 => (1_u64..5000).prop_map(Step::Run),
    ]
}

fn apply_step(simulation: &mut Simulation, step: &Step) {
    match *step {
        Step::Faults { lost, duplicated, truncated, latency_ms } => {
            simulation.faults = Faults { lost, duplicated, truncated, latency_ms };
        }
        Step::BlockLink(a, b) => {
            simulation.blocked_links.insert((a, b));
        }
        Step::Reconnect => simulation.blocked_links.clear(),
        Step::Pause(number) if number != simulation.source && simulation.is_running(number) => {
            simulation.pause(number)
        }
        Step::Resume(number) if !simulation.is_running(number) => simulation.resume(number),
        Step::Restart(number) if number != simulation.source && simulation.is_running(number) => {
            simulation.restart(number)
        }
        Step::NewRelay(number) => simulation.grant_relay_lease(number),
        Step::NewSource(number) if simulation.is_running(number) => {
            // Discovery still lists the same workers.
            let listed = discovery_list(simulation);
            simulation.start_source(number, listed);
        }
        Step::Publish { zone, number, value } => {
            simulation
                .publisher()
                .publish_worker(worker(zone, number, &value.to_string()))
                .expect("within limits");
        }
        Step::Remove { zone, number } => {
            simulation
                .publisher()
                .remove_worker(&format!("w-{zone}-{number}"))
                .expect("the log is not exhausted");
        }
        Step::Configure(value) => {
            simulation.publisher().publish_configuration("rules", Some(vec![value])).expect("within limits");
        }
        Step::Discovery { node, zone, number } => {
            let change = Change {
                partition: Partition::Zone(common::zone_name(zone)),
                name: format!("w-{zone}-{number}"),
                value: (number % 3 > 0).then(|| b"heard".to_vec()),
            };
            simulation.nodes[node].subscriber.apply_from_discovery(&[change]).expect("within limits");
        }
        Step::ExhaustSequences => {
            simulation.publisher().start_new_generation(u64::MAX - 2).expect("generations are left")
        }
        Step::Run(span) => simulation.run_for(ms(span)),
        Step::Pause(_) | Step::Resume(_) | Step::Restart(_) | Step::NewSource(_) => {}
    }
}

fn discovery_list(simulation: &mut Simulation) -> Vec<ListedWorker> {
    let replica = simulation.publisher().replica();
    let workers = replica.records().filter_map(|(partition, name, value)| match partition {
        Partition::Zone(zone) => Some((zone.clone(), name.to_owned(), value.to_vec())),
        Partition::Configuration => None,
    });
    let listed = |(zone, name, value)| ListedWorker { zone, name, value };
    workers.map(listed).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn all_processes_converge_to_the_sources_list(seed in any::<u64>(), steps in prop::collection::vec(step(), 1..50)) {
        let mut simulation = Simulation::new(ZONES, MEMBERS, WORKERS, seed);
        for step in &steps {
            apply_step(&mut simulation, step);
        }
        simulation.blocked_links.clear();
        simulation.faults = Faults { latency_ms: 5, ..Faults::default() };
        for number in 0..NODES {
            if !simulation.is_running(number) {
                simulation.resume(number);
            }
        }
        // A lease without a holder is granted again.
        for zone in 0..ZONES {
            let relay = simulation.relay_of(zone);
            if simulation.nodes[relay].relay_token.is_none() {
                simulation.grant_relay_lease(relay);
            }
        }
        simulation.update_all_upstreams();
        simulation.run_until_converged(seconds(CONVERGENCE_LIMIT_SECONDS), "recovery of the network");
    }

    #[test]
    fn a_replica_is_never_older_than_its_reported_age(seed in any::<u64>(), steps in prop::collection::vec(step(), 1..30)) {
        let mut simulation = Simulation::new(ZONES, MEMBERS, WORKERS, seed);
        // The configuration contains the virtual time at which it was published.
        let mut published = vec![0];
        for step in &steps {
            // Changes obtained directly from discovery, and a source that restarts its log, are not covered by this
            // test.
            if matches!(step, Step::Discovery { .. } | Step::NewSource(_) | Step::Configure(_)) {
                continue;
            }
            let now = simulation.now.as_millis() as u64;
            simulation.publisher().publish_configuration("now", Some(now.to_le_bytes().to_vec())).expect("within limits");
            published.push(now);
            apply_step(&mut simulation, step);
            for number in 1..NODES {
                let subscriber = &simulation.nodes[number].subscriber;
                let Some(age) = subscriber.age(simulation.now) else { continue };
                let value = subscriber.replica().get(&Partition::Configuration, "now");
                let known = value.and_then(|value| value.try_into().ok()).map_or(0, u64::from_le_bytes);
                // Everything published longer ago than the age of the replica must be present.
                let threshold = simulation.now.saturating_sub(age).as_millis() as u64;
                let newest = published.iter().copied().filter(|at| *at <= threshold).max().unwrap_or(0);
                prop_assert!(known >= newest, "{known} < {newest} at {number}, age {age:?}");
            }
        }
    }
}
