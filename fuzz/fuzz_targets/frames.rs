//! Any bytes as frames of a member that holds the key: nothing panics, and what is a frame is the same again when it
//! is written. Each piece goes to a voter of a standing fleet of three.
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
    // The engine's panics are caught and cost the vote; any other still ends the run.
    static QUIET: Once = Once::new();
    QUIET.call_once(|| std::panic::set_hook(Box::new(|_| {})));
    let mut node = voter();
    let (mut now, mut rest) = (Duration::from_millis(2), data);
    // A length, then as many bytes; the first of them says who sends, and how much later.
    while let Some((size, behind)) = rest.split_first() {
        let (piece, behind) = behind.split_at(usize::from(*size).min(behind.len()));
        rest = behind;
        let Some((first, frame)) = piece.split_first() else { continue };
        now += Duration::from_millis(u64::from(*first >> 2));
        if let Some(mut frame) = Frame::decode(frame) {
            assert_eq!(Frame::decode(&frame.encode()).as_ref(), Some(&frame));
            let from = u16::from(*first & 3);
            if let Frame::Raft(message) = &mut frame {
                // Replica ids are not to be guessed: most messages would get no further than that.
                (message.from, message.to) = (replica_of(from), replica_of(0));
            }
            node.receive(now, Member(from), frame);
        }
        node.tick(now);
        let (_, _) = (node.take_frames(), node.take_events());
    }
});
