//! Feeds arbitrary bytes, split anywhere, to a link: to both ends during the handshake, and after it. They must be rejected or
//! treated as incomplete, never cause a panic, and never be accepted as a member's.
#![no_main]

use libfuzzer_sys::fuzz_target;
use lineroute_control::peers::KeyRing;
use lineroute_fleet::link::{
    member_list_digest, ClientHandshake, HandshakeStep, LocalIdentity, ServerHandshake,
};
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
            Ok(HandshakeStep::Established(..)) => panic!("server accepted an unauthenticated client"),
            Err(_) => break,
        }
    }
    let (mut client, _) = ClientHandshake::new(identity(1), Member(0), [2; 16]);
    for piece in [a, b] {
        match client.receive(piece) {
            Ok(None) => {}
            Ok(Some(_)) => panic!("client accepted an unauthenticated server"),
            Err(_) => break,
        }
    }
    // An established link that then receives bytes not sealed by the other end.
    let (mut client, hello) = ClientHandshake::new(identity(1), Member(0), [3; 16]);
    let mut server = ServerHandshake::new(identity(0), [4; 16]);
    let Ok(HandshakeStep::Send(welcome)) = server.receive(&hello, |_| None, |_| false) else {
        panic!("server sent no welcome")
    };
    let Ok(Some((proof, _, _))) = client.receive(&welcome) else { panic!("client sent no proof") };
    let Ok(HandshakeStep::Established(_, mut opener)) = server.receive(&proof, |_| None, |_| false) else {
        panic!("handshake was not established")
    };
    for piece in [a, b] {
        opener.push(piece);
        match opener.next_frame() {
            Ok(None) => {}
            Ok(Some(_)) => panic!("accepted an unauthenticated frame"),
            Err(_) => break,
        }
    }
});
