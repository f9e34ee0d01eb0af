//! Feeds arbitrary bytes to both ends of the worker list distribution. Decoded messages must survive a round trip; the
//! publisher and the subscriber must stay within their limits and never panic.
#![no_main]

use libfuzzer_sys::fuzz_target;
use lineroute_distribution::message::{Message, Versions};
use lineroute_distribution::publisher::{ListedWorker, Publisher};
use lineroute_distribution::replica::Replica;
use lineroute_distribution::subscriber::{Subscriber, SubscriberConfig};
use lineroute_distribution::timing::{Limits, Timing};
use lineroute_distribution::upstream::{PeerId, Role, Upstream};
use lineroute_distribution::worker::Worker;
use std::time::Duration;

const MAX_RECORDS: usize = 40;
const TOKEN: u64 = 3;

fn limits() -> Limits {
    Limits { records: MAX_RECORDS, partitions: 8, history_changes: 16, ..Limits::default() }
}

fn source() -> Publisher {
    let replica = Replica::new(limits());
    let timing = Timing::default();
    let mut source = Publisher::new(replica, TOKEN, 64_000, Versions::default(), timing, Duration::ZERO);
    let worker = |number: u8| ListedWorker {
        zone: format!("z{}", number % 2),
        name: format!("w{number}"),
        value: vec![number],
    };
    source.publish_list((0..20).map(worker).collect()).expect("it fits");
    source.confirm(Duration::ZERO);
    source
}

fuzz_target!(|data: &[u8]| {
    let all = Versions { lowest: 0, highest: u8::MAX };
    if let Ok((header, message)) = Message::decode(data, all) {
        let again = Message::decode(&message.encode(header.version, header.number), all);
        assert_eq!(again, Ok((header, message)));
    }
    let _ = Worker::decode(data);
    let mut source = source();
    let mut subscriber = Subscriber::new(
        SubscriberConfig { limits: limits(), ..SubscriberConfig::default() },
        None,
        Duration::ZERO,
    );
    let upstream = Upstream { peer: PeerId(1), role: Role::Source, token: TOKEN };
    subscriber.set_upstreams(&[upstream]);
    let (mut now, mut rest) = (Duration::from_secs(1), data);
    // Each piece is a length byte and that many bytes. The first of them holds the delay, and whether the genuine response
    // precedes the remaining ones.
    while let Some((size, after)) = rest.split_first() {
        let (piece, after) = after.split_at(usize::from(*size).min(after.len()));
        rest = after;
        let Some((first, payload)) = piece.split_first() else { continue };
        now += Duration::from_millis(u64::from(*first >> 1) * 8);
        let Some(transmit) = subscriber.poll(now) else { continue };
        let mut bytes = match first % 2 {
            0 => source.serve(now, Some(TOKEN), &transmit.bytes).unwrap_or_default(),
            _ => vec![1, 128, 0, 0, 0, 0],
        };
        bytes.truncate(6.max(bytes.len().saturating_sub(payload.len())));
        bytes.resize(bytes.len().max(6), 1);
        bytes.extend(payload);
        // A sender knows the number of the request.
        bytes[2..6].copy_from_slice(&transmit.bytes[2..6]);
        let _ = subscriber.receive(now, PeerId(1), &bytes);
        let _ = source.serve(now, Some(TOKEN), &bytes);
        let replica = subscriber.replica();
        assert!(replica.len() <= MAX_RECORDS && replica.history_len() <= 16);
        assert!(subscriber.wake_at(now) <= now + Duration::from_secs(3600));
    }
});
