//! Feeds arbitrary bytes as frames from an authenticated member to a voter of an established fleet of three. Nothing may
//! panic, and decoded frames must survive a round trip.
#![no_main]

#[path = "../../fleet/tests/common/mod.rs"]
mod common;

use common::{replica_of, voter};
use libfuzzer_sys::fuzz_target;
use lineroute_fleet::frame::Frame;
use lineroute_fleet::Member;
use std::sync::Once;
use std::time::Duration;

fuzz_target!(|data: &[u8]| {
    // Panics of the consensus engine are caught and cost the node its vote; any other panic still ends the run.
    static SILENCE_PANICS: Once = Once::new();
    SILENCE_PANICS.call_once(|| std::panic::set_hook(Box::new(|_| {})));
    let mut node = voter();
    let (mut now, mut rest) = (Duration::from_millis(2), data);
    // Each piece is a length byte and that many bytes. The first of them holds the sender and the delay.
    while let Some((size, after)) = rest.split_first() {
        let (piece, after) = after.split_at(usize::from(*size).min(after.len()));
        rest = after;
        let Some((first, frame)) = piece.split_first() else { continue };
        now += Duration::from_millis(u64::from(*first >> 2));
        if let Some(mut frame) = Frame::decode(frame) {
            assert_eq!(Frame::decode(&frame.encode()).as_ref(), Some(&frame));
            let from = u16::from(*first & 3);
            if let Frame::Raft(message) = &mut frame {
                // Replica ids cannot be guessed, and messages with a wrong one would be rejected right away.
                (message.from, message.to) = (replica_of(from), replica_of(0));
            }
            node.receive(now, Member(from), frame);
        }
        node.tick(now);
        let (_, _) = (node.take_frames(), node.take_events());
    }
});
