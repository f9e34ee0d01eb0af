//! The protocol of a link between two members, as bytes. Both sides authenticate with the fleet's key before anything
//! else is accepted, and every later frame is authenticated too. Frames are sent in one direction only, from the
//! connecting to the accepting side.
//!
//! `Hello` and `Welcome` carry the identity of each side and a fresh nonce. Each side then proves knowledge of the
//! key over the transcript of these messages. Every frame carries a tag computed with a key of this link from the
//! frame's sequence number and content, so frames can't be inserted, dropped, modified or replayed.

use crate::frame::{MAX_FRAME_BYTES, VERSION};
use crate::{Incarnation, Member};
use lineroute_control::peers::KeyRing;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The first bytes of a link, which distinguish it from other protocols.
const MAGIC: [u8; 4] = *b"lrfl";
const TAG_BYTES: usize = 16;
/// Maximum size of a handshake message. Larger ones can't come from a member.
const MAX_HANDSHAKE_BYTES: usize = 256;

/// A link that can't be established or continued.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum LinkError {
    /// The peer does not speak the link protocol.
    #[error("the peer does not speak the link protocol")]
    Malformed,
    /// The peer uses another version of the frame format.
    #[error("the peer uses frame version {0}, this member uses version {VERSION}")]
    UnsupportedVersion(u16),
    /// The peer does not know the key.
    #[error("the peer has a different key")]
    WrongKey,
    /// The peer closed the link before it had proved knowledge of the key. It may have a different key.
    #[error("the peer closed the link before it had proved that it knows the key")]
    ClosedBeforeProof,
    /// The peer is not the expected member.
    #[error("the peer is member {0}, which is not the expected member or is not in the member list")]
    UnexpectedMember(u16),
    /// A frame exceeds the size limit.
    #[error("frame of {0} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes")]
    FrameTooLong(usize),
    /// A frame was modified, or is out of sequence.
    #[error("frame with a wrong tag")]
    BadTag,
}

/// First message of the connecting side.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct Hello {
    incarnation: Incarnation,
    nonce: [u8; 16],
    /// Digest of the member list, so that members with different lists are reported.
    member_list_digest: [u8; 16],
}

/// First message of the accepting side.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct Welcome {
    incarnation: Incarnation,
    nonce: [u8; 16],
    member_list_digest: [u8; 16],
    /// The newest incarnation of the connecting member known to the accepting side.
    known_incarnation: Option<u64>,
    /// Whether another process has recently sent frames as the same member.
    duplicate: bool,
    proof: [u8; TAG_BYTES],
}

/// Identity of the local member, used for its links.
#[derive(Clone, Debug)]
pub struct LocalIdentity {
    /// Its current incarnation.
    pub incarnation: Incarnation,
    /// Number of members.
    pub members: u16,
    /// Digest of the member list.
    pub member_list_digest: [u8; 16],
    /// The fleet's keys.
    pub keys: KeyRing,
}

/// The peer of an established link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Peer {
    /// The peer's incarnation.
    pub incarnation: Incarnation,
    /// The newest incarnation of the local member known to the peer. Only the connecting side receives it.
    pub known_incarnation: Option<u64>,
    /// Whether the peer has recently received frames from another process as the local member. Only the connecting
    /// side receives it.
    pub duplicate: bool,
    /// Whether the peer's member list has the same names.
    pub same_member_list: bool,
}

/// Authenticates outgoing frames.
pub struct Sealer {
    key: [u8; 32],
    count: u64,
}

/// Verifies incoming frames.
pub struct Opener {
    key: [u8; 32],
    count: u64,
    bytes: Vec<u8>,
}

fn encode_handshake(message: &impl Serialize) -> Vec<u8> {
    let body = postcard::to_stdvec(message).unwrap_or_default();
    let mut out = MAGIC.to_vec();
    out.extend_from_slice(&VERSION.to_be_bytes());
    out.extend_from_slice(&(body.len() as u16).to_be_bytes());
    out.extend_from_slice(&body);
    out
}

/// Takes one complete handshake message from the front of the buffer. Returns `None` until it is complete.
fn decode_handshake<T: for<'de> Deserialize<'de>>(
    bytes: &mut Vec<u8>,
) -> Result<Option<(T, Vec<u8>)>, LinkError> {
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
    let message = postcard::from_bytes(&whole[8..]).map_err(|_| LinkError::Malformed)?;
    Ok(Some((message, whole)))
}

/// The handshake so far and the role of the side that signs it. Both sides prove knowledge of the key over this.
fn handshake_transcript(role: &[u8], hello: &[u8], welcome: &Welcome) -> Vec<u8> {
    let unsigned = Welcome { proof: [0; TAG_BYTES], ..welcome.clone() };
    let mut all = role.to_vec();
    all.extend_from_slice(hello);
    all.extend_from_slice(&encode_handshake(&unsigned));
    all
}

fn link_key(keys: &KeyRing, transcript: &[u8]) -> [u8; 32] {
    let mut out = [0; 32];
    out[..TAG_BYTES].copy_from_slice(&keys.seal(&[b"first ", transcript].concat()));
    out[TAG_BYTES..].copy_from_slice(&keys.seal(&[b"second", transcript].concat()));
    out
}

fn check_member(peer: Incarnation, members: u16) -> Result<(), LinkError> {
    if peer.member.0 < members {
        Ok(())
    } else {
        Err(LinkError::UnexpectedMember(peer.member.0))
    }
}

/// The connecting side of a handshake.
pub struct ClientHandshake {
    identity: LocalIdentity,
    to: Member,
    hello: Vec<u8>,
    bytes: Vec<u8>,
}

impl ClientHandshake {
    /// Starts a handshake with a member. Returns the first bytes to send. `nonce` must be fresh.
    pub fn new(identity: LocalIdentity, to: Member, nonce: [u8; 16]) -> (ClientHandshake, Vec<u8>) {
        let hello = encode_handshake(&Hello {
            incarnation: identity.incarnation,
            nonce,
            member_list_digest: identity.member_list_digest,
        });
        (ClientHandshake { identity, to, hello: hello.clone(), bytes: Vec::new() }, hello)
    }

    /// Handles received bytes. Once the peer's message is complete, returns the last message of the handshake, the
    /// peer, and the sealer for outgoing frames.
    ///
    /// # Errors
    /// The peer is not acceptable and the link must be closed.
    pub fn receive(&mut self, bytes: &[u8]) -> Result<Option<(Vec<u8>, Peer, Sealer)>, LinkError> {
        self.bytes.extend_from_slice(bytes);
        let Some((welcome, _)) = decode_handshake::<Welcome>(&mut self.bytes)? else { return Ok(None) };
        let keys = &self.identity.keys;
        if !keys.verifies(&handshake_transcript(b"called", &self.hello, &welcome), &welcome.proof) {
            return Err(LinkError::WrongKey);
        }
        check_member(welcome.incarnation, self.identity.members)?;
        if welcome.incarnation.member != self.to {
            return Err(LinkError::UnexpectedMember(welcome.incarnation.member.0));
        }
        let transcript = handshake_transcript(b"caller", &self.hello, &welcome);
        let same_member_list = welcome.member_list_digest == self.identity.member_list_digest;
        let Welcome { incarnation, known_incarnation, duplicate, .. } = welcome;
        let peer = Peer { incarnation, known_incarnation, duplicate, same_member_list };
        let sealer = Sealer { key: link_key(keys, &transcript), count: 0 };
        Ok(Some((keys.seal(&transcript).to_vec(), peer, sealer)))
    }
}

/// The accepting side of a handshake.
pub struct ServerHandshake {
    identity: LocalIdentity,
    nonce: [u8; 16],
    bytes: Vec<u8>,
    transcript: Option<(Vec<u8>, Peer)>,
}

/// Progress of the accepting side.
pub enum HandshakeStep {
    /// More bytes are needed.
    Incomplete,
    /// These bytes are to be sent; more bytes are needed.
    Send(Vec<u8>),
    /// The handshake is complete.
    Established(Peer, Opener),
}

impl ServerHandshake {
    /// Accepts a connection. `nonce` must be fresh.
    pub fn new(identity: LocalIdentity, nonce: [u8; 16]) -> ServerHandshake {
        ServerHandshake { identity, nonce, bytes: Vec::new(), transcript: None }
    }

    /// Handles received bytes. `known_incarnation` returns the newest known incarnation of a member; `duplicate`
    /// returns whether a process other than this incarnation's has recently sent frames as the same member.
    ///
    /// # Errors
    /// The peer is not acceptable and the link must be closed.
    pub fn receive(
        &mut self,
        bytes: &[u8],
        known_incarnation: impl Fn(Member) -> Option<u64>,
        duplicate: impl Fn(Incarnation) -> bool,
    ) -> Result<HandshakeStep, LinkError> {
        self.bytes.extend_from_slice(bytes);
        let keys = &self.identity.keys;
        let Some((transcript, peer)) = &self.transcript else {
            let Some((hello, whole)) = decode_handshake::<Hello>(&mut self.bytes)? else {
                return Ok(HandshakeStep::Incomplete);
            };
            check_member(hello.incarnation, self.identity.members)?;
            let (incarnation, nonce, member_list_digest) =
                (self.identity.incarnation, self.nonce, self.identity.member_list_digest);
            let (known_incarnation, duplicate) =
                (known_incarnation(hello.incarnation.member), duplicate(hello.incarnation));
            let mut welcome = Welcome {
                incarnation,
                nonce,
                member_list_digest,
                known_incarnation,
                duplicate,
                proof: [0; TAG_BYTES],
            };
            welcome.proof = keys.seal(&handshake_transcript(b"called", &whole, &welcome));
            let same_member_list = hello.member_list_digest == member_list_digest;
            let peer = Peer {
                incarnation: hello.incarnation,
                known_incarnation: None,
                duplicate: false,
                same_member_list,
            };
            self.transcript = Some((handshake_transcript(b"caller", &whole, &welcome), peer));
            return Ok(HandshakeStep::Send(encode_handshake(&welcome)));
        };
        let Some(proof) = self.bytes.first_chunk::<TAG_BYTES>() else { return Ok(HandshakeStep::Incomplete) };
        if !keys.verifies(transcript, proof) {
            return Err(LinkError::WrongKey);
        }
        // The key of the link is derived from the key that the connecting side proved. During a key rotation that may
        // be the second one.
        let key = keys.with_matching_key(transcript, proof, |one| link_key(one, transcript));
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
    /// Returns the frame with its header, ready to be sent.
    pub fn seal(&mut self, frame: &[u8]) -> Vec<u8> {
        let mut out = (frame.len() as u32).to_be_bytes().to_vec();
        out.extend_from_slice(&tag(&self.key, self.count, frame));
        out.extend_from_slice(frame);
        self.count += 1;
        out
    }
}

impl Opener {
    /// Adds received bytes. The buffer holds at most one complete frame and a part of the next.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns the next complete frame.
    ///
    /// # Errors
    /// The frame is too long or its tag is wrong; the link must be closed.
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
        let fits = blake3::Hash::from_bytes(padded(&tag(&self.key, self.count, &body)))
            == blake3::Hash::from_bytes(padded(&self.bytes[4..4 + TAG_BYTES]));
        if !fits {
            return Err(LinkError::BadTag);
        }
        self.bytes.drain(..whole);
        self.count += 1;
        Ok(Some(body))
    }
}

/// Pads a tag to a hash, because hashes are compared in constant time.
fn padded(tag: &[u8]) -> [u8; 32] {
    let mut out = [0; 32];
    out[..TAG_BYTES].copy_from_slice(tag);
    out
}

/// Returns a digest of all member names, in order.
pub fn member_list_digest(names: &[String]) -> [u8; 16] {
    let mut out = [0; 16];
    out.copy_from_slice(&blake3::hash(names.join("\n").as_bytes()).as_bytes()[..16]);
    out
}
