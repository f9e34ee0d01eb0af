//! Any bytes at a link, from both ends and behind the handshake, cut anywhere: refused or waited for, never a panic,
//! and never taken for a member's.
#![no_main]

use libfuzzer_sys::fuzz_target;
use lineroute_control::peers::KeyRing;
use lineroute_fleet::link::{member_list_digest, ClientHandshake, HandshakeStep, LocalIdentity, ServerHandshake};
use lineroute_fleet::{Incarnation, Member};

fn identity(member: u16) -> LocalIdentity {
    let incarnation = Incarnation { member: Member(member), number: 7 };
    let names = ["a".to_owned(), "b".to_owned()];
    let keys = KeyRing::parse(&"5a".repeat(32)).expect("a key");
    LocalIdentity { incarnation, members: 2, keys, member_list_digest: member_list_digest(&names) }
}

fuzz_target!(|data: &[u8]| {
    let (at, data) = data.split_first().map_or((0, data), |(at, rest)| (usize::from(*at), rest));
    let (a, b) = data.split_at(at.min(data.len()));
    let mut server = ServerHandshake::new(identity(0), [1; 16]);
    for piece in [a, b] {
        match server.receive(piece, |_| None, |_| false) {
            Ok(HandshakeStep::Incomplete | HandshakeStep::Send(_)) => {}
            Ok(HandshakeStep::Established(..)) => panic!("a stranger was let in"),
            Err(_) => break,
        }
    }
    let (mut client, _) = ClientHandshake::new(identity(1), Member(0), [2; 16]);
    for piece in [a, b] {
        match client.receive(piece) {
            Ok(None) => {}
            Ok(Some(_)) => panic!("a stranger was believed"),
            Err(_) => break,
        }
    }
    // A link that stands, and then bytes that its other end never sealed.
    let (mut client, hello) = ClientHandshake::new(identity(1), Member(0), [3; 16]);
    let mut server = ServerHandshake::new(identity(0), [4; 16]);
    let Ok(HandshakeStep::Send(welcome)) = server.receive(&hello, |_| None, |_| false) else { panic!("no welcome") };
    let Ok(Some((proof, _, _))) = client.receive(&welcome) else { panic!("no proof") };
    let Ok(HandshakeStep::Established(_, mut opener)) = server.receive(&proof, |_| None, |_| false) else { panic!("not opened") };
    for piece in [a, b] {
        opener.push(piece);
        match opener.next_frame() {
            Ok(None) => {}
            Ok(Some(_)) => panic!("an unsealed frame was opened"),
            Err(_) => break,
        }
    }
});
