//! Arbitrary bytes at both ends are rejected, without a panic and without a replica that exceeds its limits.

mod common;

use common::{ms, seconds, Simulation};
use lineroute_distribution::message::{Message, Versions, MAX_MESSAGE_BYTES};
use lineroute_distribution::upstream::PeerId;
use lineroute_distribution::worker::{Worker, WorkerState};
use proptest::prelude::*;

fn all_versions() -> Versions {
    Versions { lowest: 0, highest: u8::MAX }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_decoded_message_survives_encoding(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        if let Ok((header, message)) = Message::decode(&bytes, all_versions()) {
            let decoded = Message::decode(&message.encode(header.version, header.request_id), all_versions());
            prop_assert_eq!(decoded, Ok((header, message)));
        }
    }

    #[test]
    fn arbitrary_payloads_have_no_lasting_effect(
        seed in any::<u64>(),
        kind in prop_oneof![Just(128_u8), Just(255), any::<u8>()],
        payloads in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..120), 1..20),
    ) {
        let mut simulation = Simulation::new(1, 2, 10, seed);
        simulation.run_until_converged(seconds(14), "start");
        let client = simulation.relay_of(0) + 1;
        for payload in payloads {
            let now = simulation.now;
            let subscriber = &mut simulation.nodes[client].subscriber;
            // The outstanding request, or the next one.
            let Some(transmit) = (0..200).find_map(|step| subscriber.poll(now + ms(20 * step))) else { continue };
            let mut bytes = vec![1, kind];
            bytes.extend(&transmit.bytes[2..6]);
            bytes.extend(&payload);
            let _ = subscriber.receive(now, transmit.to, &bytes);
            let _ = subscriber.receive(now, PeerId(77), &bytes);
            let _ = simulation.publisher().serve(now, Some(1), &bytes);
            simulation.run_for(ms(100));
        }
        // A forged token from a holder of the key locks out a role until its lease is granted again, so it is granted
        // here.
        let relay = simulation.relay_of(0);
        simulation.restart(client);
        simulation.grant_relay_lease(relay);
        simulation.run_until_converged(seconds(14), "after arbitrary bytes");
    }

    #[test]
    fn genuine_messages_with_changed_bytes_do_no_harm(
        seed in any::<u64>(),
        changes in prop::collection::vec((any::<u16>(), any::<u8>()), 1..200),
    ) {
        let mut simulation = Simulation::new(1, 2, 30, seed);
        let relay = simulation.relay_of(0);
        let client = relay + 1;
        for (at, byte) in changes {
            let now = simulation.now;
            let Some(transmit) = simulation.nodes[client].subscriber.poll(now) else {
                simulation.run_for(ms(50));
                continue;
            };
            // The relay receives the genuine request, and then the request with one byte changed.
            simulation.deliver(client, relay, &transmit.bytes);
            let mut bytes = transmit.bytes.clone();
            let index = usize::from(at) % bytes.len();
            bytes[index] = byte;
            simulation.deliver(client, relay, &bytes);
            simulation.run_for(ms(50));
        }
        simulation.run_until_converged(seconds(14), "after changed bytes");
    }

    #[test]
    fn a_worker_survives_encoding_and_decoding(
        port in any::<u16>(), kind in "[a-z]{0,12}", cell in any::<u32>(), started_ms in any::<u64>(),
        weight in any::<f64>(), is_up in any::<bool>(),
    ) {
        let state = if is_up { WorkerState::Up } else { WorkerState::Draining };
        let address = ([10, 1, 2, 3], port).into();
        let worker = Worker { address, kind, cell, state, started_ms, weight };
        let decoded = Worker::decode(&worker.encode()).expect("a valid worker");
        prop_assert_eq!(decoded.weight.to_bits(), worker.weight.to_bits());
        prop_assert_eq!(Worker { weight: 0.0, ..decoded }, Worker { weight: 0.0, ..worker });
    }

    #[test]
    fn arbitrary_bytes_are_decoded_as_a_worker_or_rejected(bytes in prop::collection::vec(any::<u8>(), 0..80)) {
        if let Some(worker) = Worker::decode(&bytes) {
            let decoded = Worker::decode(&worker.encode()).expect("a valid worker");
            prop_assert_eq!(decoded.weight.to_bits(), worker.weight.to_bits());
        }
    }
}

#[test]
fn messages_of_invalid_length_are_rejected() {
    assert!(Message::decode(&vec![1; MAX_MESSAGE_BYTES + 1], all_versions()).is_err());
    assert!(Message::decode(&[1, 1, 0, 0, 0], all_versions()).is_err());
}
