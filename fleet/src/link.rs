//! A link between two members as bytes: who is there is proven by the fleet's key before anything else is
//! believed, and every frame after it. One side dials and speaks frames; the other only listens.
//!
//! `Hello` and `Welcome` say who is who with a fresh number each; `Proof` both ways shows that the key is known
//! for just these numbers. Every frame then bears a tag over a key of this link alone, its place in the row and
//! its bytes: nothing can be added, left out, altered, or played again.

use crate::frame::{MAX_FRAME_BYTES, VERSION};
use crate::{Incarnation, Member};
use lineroute_control::peers::KeyRing;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// What a link begins with: no other protocol does.
const MAGIC: [u8; 4] = *b"lrfl";
const TAG_BYTES: usize = 16;
/// Handshakes are short; whoever sends more is none of ours.
const MAX_HANDSHAKE_BYTES: usize = 256;

/// A link that can't be had or gone on with.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum LinkError {
    /// It is no member at all.
    #[error("it does not speak as members do")]
    Malformed,
    /// It speaks another version.
    #[error("it speaks version {0} of the frames, this member speaks {VERSION}")]
    UnsupportedVersion(u16),
    /// It does not know the key.
    #[error("its key is another")]
    WrongKey,
    /// It went away before it had proved that it knows the key: its own key may be another.
    #[error("it ended the link before it proved that it knows the key")]
    ClosedBeforeProof,
    /// It is not who it was taken for.
    #[error("it is member {0}, which is not the member that was called, or is not in the member list")]
    UnexpectedMember(u16),
    /// A frame is too long.
    #[error("a frame of {0} bytes, {MAX_FRAME_BYTES} are the most")]
    FrameTooLong(usize),
    /// A frame was altered, or comes out of its row.
    #[error("a frame whose tag does not fit it")]
    BadTag,
}

/// The first words of the one that dials.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct Hello {
    incarnation: Incarnation,
    nonce: [u8; 16],
    /// How many members its list has, and a digest of their names: lists that differ are told of.
    member_list_digest: [u8; 16],
}

/// The first message of the accepting side.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct Welcome {
    incarnation: Incarnation,
    nonce: [u8; 16],
    member_list_digest: [u8; 16],
    /// The newest incarnation that it knows of the caller.
    known: Option<u64>,
    /// Another process has just spoken to it as the same member.
    here: bool,
    proof: [u8; TAG_BYTES],
}

/// Who one is, for its links.
#[derive(Clone, Debug)]
pub struct LocalIdentity {
    /// Its present incarnation.
    pub incarnation: Incarnation,
    /// How many members there are.
    pub members: u16,
    /// A digest of all names.
    pub member_list_digest: [u8; 16],
    /// The fleet's keys.
    pub keys: KeyRing,
}

/// What is known of the other side once the link stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Peer {
    /// Who it is.
    pub incarnation: Incarnation,
    /// The newest incarnation that it knows of this member; only the one that dialled is told.
    pub known_incarnation: Option<u64>,
    /// It has just heard another process as this member; only the one that dialled is told.
    pub duplicate: bool,
    /// Its list of members has the same names.
    pub same_member_list: bool,
}

/// Bytes of frames that go out.
pub struct Sealer {
    key: [u8; 32],
    count: u64,
}

/// Bytes of frames that come in.
pub struct Opener {
    key: [u8; 32],
    count: u64,
    bytes: Vec<u8>,
}

fn frame(words: &impl Serialize) -> Vec<u8> {
    let body = postcard::to_stdvec(words).unwrap_or_default();
    let mut out = MAGIC.to_vec();
    out.extend_from_slice(&VERSION.to_be_bytes());
    out.extend_from_slice(&(body.len() as u16).to_be_bytes());
    out.extend_from_slice(&body);
    out
}

/// Takes a whole handshake message off the front; nothing as long as it is not whole.
fn unframe<T: for<'de> Deserialize<'de>>(bytes: &mut Vec<u8>) -> Result<Option<(T, Vec<u8>)>, LinkError> {
    let known = bytes.len().min(MAGIC.len());
    if bytes[..known] != MAGIC[..known] {
        return Err(LinkError::Malformed);
    }
    if bytes.len() < 8 {
        return Ok(None);
    }
    let version = u16::from_be_bytes([bytes[4], bytes[5]]);
    if version != VERSION {
        return Err(LinkError::UnsupportedVersion(version));
    }
    let size = usize::from(u16::from_be_bytes([bytes[6], bytes[7]]));
    if size > MAX_HANDSHAKE_BYTES {
        return Err(LinkError::Malformed);
    }
    if bytes.len() < 8 + size {
        return Ok(None);
    }
    let whole: Vec<u8> = bytes.drain(..8 + size).collect();
    let words = postcard::from_bytes(&whole[8..]).map_err(|_| LinkError::Malformed)?;
    Ok(Some((words, whole)))
}

/// What both sides prove to know the key for: the whole talk so far, and who proves it.
fn transcript(role: &[u8], hello: &[u8], welcome: &Welcome) -> Vec<u8> {
    let bare = Welcome { proof: [0; TAG_BYTES], ..welcome.clone() };
    let mut all = role.to_vec();
    all.extend_from_slice(hello);
    all.extend_from_slice(&frame(&bare));
    all
}

fn session(keys: &KeyRing, talk: &[u8]) -> [u8; 32] {
    let mut out = [0; 32];
    out[..TAG_BYTES].copy_from_slice(&keys.seal(&[b"first ", talk].concat()));
    out[TAG_BYTES..].copy_from_slice(&keys.seal(&[b"second", talk].concat()));
    out
}

fn check(peer: Incarnation, members: u16) -> Result<(), LinkError> {
    if peer.member.0 < members {
        Ok(())
    } else {
        Err(LinkError::UnexpectedMember(peer.member.0))
    }
}

/// The side that calls.
pub struct ClientHandshake {
    identity: LocalIdentity,
    to: Member,
    hello: Vec<u8>,
    bytes: Vec<u8>,
}

impl ClientHandshake {
    /// Calls on a member; the bytes that go out first. `nonce` must be fresh.
    pub fn new(identity: LocalIdentity, to: Member, nonce: [u8; 16]) -> (ClientHandshake, Vec<u8>) {
        let hello = frame(&Hello {
            incarnation: identity.incarnation,
            nonce,
            member_list_digest: identity.member_list_digest,
        });
        (ClientHandshake { identity, to, hello: hello.clone(), bytes: Vec::new() }, hello)
    }

    /// Bytes have come: once it is all there, the last words of the handshake, who is there, and the sealer.
    ///
    /// # Errors
    /// The other side is not one to go on with.
    pub fn receive(&mut self, bytes: &[u8]) -> Result<Option<(Vec<u8>, Peer, Sealer)>, LinkError> {
        self.bytes.extend_from_slice(bytes);
        let Some((welcome, _)) = unframe::<Welcome>(&mut self.bytes)? else { return Ok(None) };
        let keys = &self.identity.keys;
        if !keys.verifies(&transcript(b"called", &self.hello, &welcome), &welcome.proof) {
            return Err(LinkError::WrongKey);
        }
        check(welcome.incarnation, self.identity.members)?;
        if welcome.incarnation.member != self.to {
            return Err(LinkError::UnexpectedMember(welcome.incarnation.member.0));
        }
        let talk = transcript(b"caller", &self.hello, &welcome);
        let same_member_list = welcome.member_list_digest == self.identity.member_list_digest;
        let Welcome { incarnation, known, here, .. } = welcome;
        let peer = Peer { incarnation, known_incarnation: known, duplicate: here, same_member_list };
        let sealer = Sealer { key: session(keys, &talk), count: 0 };
        Ok(Some((keys.seal(&talk).to_vec(), peer, sealer)))
    }
}

/// The accepting side of a handshake.
pub struct ServerHandshake {
    identity: LocalIdentity,
    nonce: [u8; 16],
    bytes: Vec<u8>,
    talk: Option<(Vec<u8>, Peer)>,
}

/// Progress of the accepting side.
pub enum HandshakeStep {
    /// More must come.
    Incomplete,
    /// These go out; more must come.
    Send(Vec<u8>),
    /// It stands.
    Established(Peer, Opener),
}

impl ServerHandshake {
    /// Somebody calls. `nonce` must be fresh.
    pub fn new(identity: LocalIdentity, nonce: [u8; 16]) -> ServerHandshake {
        ServerHandshake { identity, nonce, bytes: Vec::new(), talk: None }
    }

    /// Bytes have come. `known` is the newest incarnation that is known of a member; `here` is whether another process
    /// than that of an incarnation has just been heard as the same member.
    ///
    /// # Errors
    /// The other side is not one to go on with.
    pub fn receive(
        &mut self,
        bytes: &[u8],
        known: impl Fn(Member) -> Option<u64>,
        here: impl Fn(Incarnation) -> bool,
    ) -> Result<HandshakeStep, LinkError> {
        self.bytes.extend_from_slice(bytes);
        let keys = &self.identity.keys;
        let Some((talk, peer)) = &self.talk else {
            let Some((hello, whole)) = unframe::<Hello>(&mut self.bytes)? else {
                return Ok(HandshakeStep::Incomplete);
            };
            check(hello.incarnation, self.identity.members)?;
            let (incarnation, nonce, member_list_digest) =
                (self.identity.incarnation, self.nonce, self.identity.member_list_digest);
            let (known, here) = (known(hello.incarnation.member), here(hello.incarnation));
            let mut welcome =
                Welcome { incarnation, nonce, member_list_digest, known, here, proof: [0; TAG_BYTES] };
            welcome.proof = keys.seal(&transcript(b"called", &whole, &welcome));
            let same_member_list = hello.member_list_digest == member_list_digest;
            let peer = Peer {
                incarnation: hello.incarnation,
                known_incarnation: None,
                duplicate: false,
                same_member_list,
            };
            self.talk = Some((transcript(b"caller", &whole, &welcome), peer));
            return Ok(HandshakeStep::Send(frame(&welcome)));
        };
        let Some(proof) = self.bytes.first_chunk::<TAG_BYTES>() else { return Ok(HandshakeStep::Incomplete) };
        if !keys.verifies(talk, proof) {
            return Err(LinkError::WrongKey);
        }
        // The link's key comes of the key that the caller proved, which while keys are replaced may be the second.
        let key = keys.with_matching_key(talk, proof, |one| session(one, talk));
        let rest = self.bytes.split_off(TAG_BYTES);
        Ok(HandshakeStep::Established(*peer, Opener { key, count: 0, bytes: rest }))
    }
}

fn tag(key: &[u8; 32], count: u64, bytes: &[u8]) -> [u8; TAG_BYTES] {
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(&count.to_be_bytes());
    hasher.update(bytes);
    let mut out = [0; TAG_BYTES];
    out.copy_from_slice(&hasher.finalize().as_bytes()[..TAG_BYTES]);
    out
}

impl Sealer {
    /// A frame as it goes out.
    pub fn seal(&mut self, frame: &[u8]) -> Vec<u8> {
        let mut out = (frame.len() as u32).to_be_bytes().to_vec();
        out.extend_from_slice(&tag(&self.key, self.count, frame));
        out.extend_from_slice(frame);
        self.count += 1;
        out
    }
}

impl Opener {
    /// Bytes have come; more than one frame and a piece of the next is never kept.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// The next frame that is whole.
    ///
    /// # Errors
    /// It is too long or not what was sent: the link must be ended.
    pub fn next_frame(&mut self) -> Result<Option<Vec<u8>>, LinkError> {
        let Some(size) = self.bytes.first_chunk::<4>() else { return Ok(None) };
        let size = u32::from_be_bytes(*size) as usize;
        if size > MAX_FRAME_BYTES {
            return Err(LinkError::FrameTooLong(size));
        }
        let whole = 4 + TAG_BYTES + size;
        if self.bytes.len() < whole {
            return Ok(None);
        }
        let body = self.bytes[4 + TAG_BYTES..whole].to_vec();
        let fits = blake3::Hash::from_bytes(widen(&tag(&self.key, self.count, &body)))
            == blake3::Hash::from_bytes(widen(&self.bytes[4..4 + TAG_BYTES]));
        if !fits {
            return Err(LinkError::BadTag);
        }
        self.bytes.drain(..whole);
        self.count += 1;
        Ok(Some(body))
    }
}

/// Hashes are compared in constant time.
fn widen(tag: &[u8]) -> [u8; 32] {
    let mut out = [0; 32];
    out[..TAG_BYTES].copy_from_slice(tag);
    out
}

/// A digest of all names, in their order.
pub fn member_list_digest(names: &[String]) -> [u8; 16] {
    let mut out = [0; 16];
    out.copy_from_slice(&blake3::hash(names.join("\n").as_bytes()).as_bytes()[..16]);
    out
}
