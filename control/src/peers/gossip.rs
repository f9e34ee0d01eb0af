//! The talk itself: who is told what, and what is believed.
//!
//! What is new is sent to a few peers at once and again in the next rounds. Beside that, each round a few
//! peers are sent a digest of all that is remembered: 16 sums of fingerprints, by their first four bits. A
//! peer that differs in one of them sends what it has there, if that is little, and asks for the rest; else
//! the 16 sums of the next four bits. So a dispatcher that was cut off or restarted catches up, whatever was
//! lost.
//!
//! A datagram is believed if its tag is right, it echoes the token that this dispatcher last demanded of the
//! peer, and its number has not come in the sender's session. The token is drawn anew at each start and with
//! each new session of the peer, so nothing that was recorded before can be believed again. What is not
//! believed changes nothing; an authentic one is answered with a greeting that tells the token, seldom.

use super::datagram::{Datagram, OpenError, MAX_PAYLOAD};
use super::keys::KeyRing;
use super::replay::Window;
use crate::discovery_report::DiscoveryReport;
use crate::overrides::{decode, encode, Merged, Record, Table};
use crate::Millis;
use rand::rngs::StdRng;
use rand::seq::index::sample;
use rand::{Rng, SeedableRng};
use rustc_hash::FxHashMap;
use std::net::SocketAddr;
use std::sync::Arc;

const GREETING: u8 = 0;
const DIGEST: u8 = 1;
const WANTED: u8 = 2;
const RECORD: u8 = 3;
/// Discovery has answered the sender: a [`DiscoveryReport`].
const DISCOVERY_ANSWERED: u8 = 4;

/// Peers that are told of something new at once, and in each round that follows.
const FANOUT: usize = 6;
/// Peers that are sent a digest in a round.
const DIGESTS: usize = 3;
/// Rounds in which something new is sent again: at 30% loss one in 400 peers hears it from none of them.
const ROUNDS: u8 = 4;
/// Something new that is sent again, at most; the digests bring what is over.
const MAX_HOT: usize = 64;
/// Datagrams that one which came may cause.
const MAX_REPLIES: usize = 24;
/// Records of a bucket that are sent without looking deeper.
const FEW: usize = 4;
/// Levels of digests below which all is sent.
const DEEPEST: u8 = 5;
/// Reports of peers that are kept until they are taken, at most.
const MAX_REPORTS: usize = 16;
/// A greeting goes to a peer this often at most.
const GREETING_GAP: Millis = 50;

/// A datagram to send, and where to.
pub type Outgoing = (SocketAddr, Vec<u8>);

/// What has come and gone since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams sent.
    pub sent: u64,
    /// Datagrams believed.
    pub taken: u64,
    /// Records that were new.
    pub learnt: u64,
    /// Of a wrong form or size, or holding what can't be read.
    pub malformed: u64,
    /// With a wrong tag.
    pub unauthentic: u64,
    /// Come before, or not for this session.
    pub replayed: u64,
    /// From an address that is no peer's.
    pub strangers: u64,
    /// Records not taken: from the future, too old, or too many.
    pub refused: u64,
}

struct Peer {
    addr: SocketAddr,
    /// What the peer must echo; what it wants echoed.
    demand: u64,
    echo: u64,
    session: Option<u64>,
    window: Window,
    sent: u32,
    greeted: Option<Millis>,
}

/// One dispatcher's side of the talk.
pub struct Gossip {
    session: u64,
    rng: StdRng,
    keys: KeyRing,
    peers: Vec<Peer>,
    places: FxHashMap<SocketAddr, usize>,
    hot: Vec<(Arc<Record>, u8)>,
    /// What peers have reported of discovery and nobody has taken yet.
    reports: Vec<DiscoveryReport>,
    counts: Counts,
}

/// Bits of a fingerprint that a bucket stands for: the first `4 * depth`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Bucket {
    depth: u8,
    prefix: u64,
}

impl Bucket {
    const ALL: Bucket = Bucket { depth: 0, prefix: 0 };

    fn child(self, nibble: usize) -> Bucket {
        let depth = self.depth + 1;
        Bucket { depth, prefix: self.prefix | (nibble as u64) << (64 - 4 * u32::from(depth)) }
    }

    fn range(self) -> std::ops::RangeInclusive<u64> {
        let rest = u64::MAX.checked_shr(4 * u32::from(self.depth)).unwrap_or(0);
        self.prefix..=self.prefix | rest
    }

    fn sum(self, table: &Table) -> u64 {
        table.by_fingerprint().range(self.range()).fold(0, |sum, (print, _)| sum ^ print)
    }

    fn encode(self) -> Vec<u8> {
        let mut bytes = vec![self.depth];
        bytes.extend_from_slice(&self.prefix.to_be_bytes());
        bytes
    }

    fn decode(bytes: &[u8]) -> Option<(Bucket, &[u8])> {
        let (head, rest) = bytes.split_at_checked(9)?;
        let bucket = Bucket { depth: head[0], prefix: u64::from_be_bytes(head[1..].try_into().ok()?) };
        let plain = bucket.depth <= DEEPEST && bucket.prefix & (bucket.range().end() ^ bucket.prefix) == 0;
        plain.then_some((bucket, rest))
    }
}

impl Gossip {
    /// A dispatcher's side at its start. The seed must be new with each start and not to be guessed.
    pub fn new(peers: &[SocketAddr], keys: KeyRing, seed: [u8; 32]) -> Gossip {
        let mut rng = StdRng::from_seed(seed);
        let mut gossip = Gossip {
            session: rng.random(),
            keys,
            peers: Vec::new(),
            places: FxHashMap::default(),
            hot: Vec::new(),
            reports: Vec::new(),
            counts: Counts::default(),
            rng,
        };
        for &addr in peers {
            if gossip.places.insert(addr, gossip.peers.len()).is_none() {
                let demand = gossip.rng.random_range(1..=u64::MAX);
                let window = Window::default();
                let peer = Peer { addr, demand, echo: 0, session: None, window, sent: 0, greeted: None };
                gossip.peers.push(peer);
            }
        }
        gossip
    }

    /// What has come and gone.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Goes over to other keys, as when one is replaced.
    pub fn rekey(&mut self, keys: KeyRing) {
        self.keys = keys;
    }

    /// Tells peers of a record that is new here.
    pub fn announce(&mut self, record: &Arc<Record>) -> Vec<Outgoing> {
        if self.hot.len() < MAX_HOT {
            self.hot.push((record.clone(), ROUNDS));
        }
        let payload = encode(record);
        self.draw(FANOUT).into_iter().map(|at| self.seal(at, RECORD, payload.clone())).collect()
    }

    /// Tells all peers that discovery has answered.
    pub fn report(&mut self, report: DiscoveryReport) -> Vec<Outgoing> {
        (0..self.peers.len()).map(|at| self.seal(at, DISCOVERY_ANSWERED, report.encode().to_vec())).collect()
    }

    /// Takes what peers have reported of discovery since the last time.
    pub fn take_reports(&mut self) -> Vec<DiscoveryReport> {
        std::mem::take(&mut self.reports)
    }

    /// A round: a few peers are sent what is new again, and a digest.
    pub fn tick(&mut self, table: &Table) -> Vec<Outgoing> {
        let mut out = Vec::new();
        let hot = std::mem::take(&mut self.hot);
        for (record, rounds) in hot {
            let payload = encode(&record);
            for at in self.draw(FANOUT) {
                out.push(self.seal(at, RECORD, payload.clone()));
            }
            if rounds > 1 {
                self.hot.push((record, rounds - 1));
            }
        }
        for at in self.draw(DIGESTS) {
            out.push(self.digest(at, Bucket::ALL, table));
        }
        out
    }

    /// Takes in a datagram. What comes back is to be sent; whether the table has changed shows in its revision.
    pub fn receive(
        &mut self,
        now: Millis,
        from: SocketAddr,
        bytes: &[u8],
        table: &mut Table,
    ) -> Vec<Outgoing> {
        let Some(&at) = self.places.get(&from) else {
            self.counts.strangers += 1;
            return Vec::new();
        };
        let datagram = match Datagram::open(bytes, &self.keys) {
            Ok(datagram) => datagram,
            Err(OpenError::Malformed) => {
                self.counts.malformed += 1;
                return Vec::new();
            }
            Err(OpenError::Unauthentic) => {
                self.counts.unauthentic += 1;
                return Vec::new();
            }
        };
        if datagram.session == self.session {
            // One of ours, thrown back.
            self.counts.replayed += 1;
            return Vec::new();
        }
        let peer = &mut self.peers[at];
        if datagram.echo != peer.demand {
            // It may be old. A greeting tells the peer what to echo, and costs little if it is.
            self.counts.replayed += u64::from(datagram.echo != 0);
            if peer.greeted.is_some_and(|g| now < g + GREETING_GAP && g <= now) {
                return Vec::new();
            }
            peer.greeted = Some(now);
            let known = std::mem::replace(&mut peer.echo, datagram.demand);
            let greeting = self.seal(at, GREETING, Vec::new());
            self.peers[at].echo = known;
            return vec![greeting];
        }
        if peer.session != Some(datagram.session) {
            // A new session; what the one before it has sent must not be believed again.
            let fresh = self.rng.random_range(1..=u64::MAX);
            (peer.session, peer.window, peer.demand) = (Some(datagram.session), Window::default(), fresh);
        }
        if !peer.window.take(datagram.number) {
            self.counts.replayed += 1;
            return Vec::new();
        }
        peer.echo = datagram.demand;
        self.counts.taken += 1;
        let Some(mut replies) = self.act(now, at, &datagram, table) else {
            self.counts.malformed += 1;
            return Vec::new();
        };
        replies.truncate(MAX_REPLIES);
        replies
    }

    /// Does what a believed datagram asks for; `None` if it can't be read.
    fn act(
        &mut self,
        now: Millis,
        at: usize,
        datagram: &Datagram,
        table: &mut Table,
    ) -> Option<Vec<Outgoing>> {
        match datagram.kind {
            GREETING => Some(vec![self.digest(at, Bucket::ALL, table)]),
            RECORD => {
                let record = decode(&datagram.payload).ok()?;
                match table.merge(record.clone(), now) {
                    Merged::New => {
                        self.counts.learnt += 1;
                        return Some(self.announce(&Arc::new(record)));
                    }
                    Merged::Known => {}
                    Merged::Stale | Merged::Future | Merged::Full => self.counts.refused += 1,
                }
                Some(Vec::new())
            }
            DISCOVERY_ANSWERED => {
                let report = DiscoveryReport::decode(&datagram.payload)?;
                if self.reports.len() < MAX_REPORTS {
                    self.reports.push(report);
                }
                Some(Vec::new())
            }
            WANTED => {
                let (bucket, rest) = Bucket::decode(&datagram.payload)?;
                rest.is_empty().then(|| self.records(at, bucket, table))
            }
            DIGEST => {
                let (bucket, sums) = Bucket::decode(&datagram.payload)?;
                (sums.len() == 128 && bucket.depth < DEEPEST).then(|| self.compare(at, bucket, sums, table))
            }
            _ => None,
        }
    }

    fn compare(&mut self, at: usize, bucket: Bucket, sums: &[u8], table: &Table) -> Vec<Outgoing> {
        let mut out = Vec::new();
        for (nibble, sum) in sums.chunks_exact(8).enumerate() {
            let (child, theirs) =
                (bucket.child(nibble), u64::from_be_bytes(sum.try_into().unwrap_or_default()));
            let ours = child.sum(table);
            if ours == theirs {
                continue;
            }
            let count = table.by_fingerprint().range(child.range()).take(FEW + 1).count();
            if count <= FEW || child.depth == DEEPEST {
                out.extend(self.records(at, child, table));
                if theirs != 0 {
                    out.push(self.seal(at, WANTED, child.encode()));
                }
            } else {
                out.push(self.digest(at, child, table));
            }
        }
        // What is cut off below must not always be the same.
        if out.len() > MAX_REPLIES {
            let first = self.rng.random_range(0..out.len());
            out.rotate_left(first);
        }
        out
    }

    fn records(&mut self, at: usize, bucket: Bucket, table: &Table) -> Vec<Outgoing> {
        let records = table.by_fingerprint().range(bucket.range()).take(MAX_REPLIES);
        let payloads: Vec<Vec<u8>> = records.map(|(_, record)| encode(record)).collect();
        payloads.into_iter().map(|payload| self.seal(at, RECORD, payload)).collect()
    }

    fn digest(&mut self, at: usize, bucket: Bucket, table: &Table) -> Outgoing {
        let mut payload = bucket.encode();
        for nibble in 0..16 {
            payload.extend_from_slice(&bucket.child(nibble).sum(table).to_be_bytes());
        }
        self.seal(at, DIGEST, payload)
    }

    fn draw(&mut self, count: usize) -> Vec<usize> {
        sample(&mut self.rng, self.peers.len(), count.min(self.peers.len())).into_vec()
    }

    fn seal(&mut self, at: usize, kind: u8, payload: Vec<u8>) -> Outgoing {
        debug_assert!(payload.len() <= MAX_PAYLOAD);
        let peer = &mut self.peers[at];
        peer.sent = peer.sent.wrapping_add(1).max(1);
        let (session, echo, demand, number) = (self.session, peer.echo, peer.demand, peer.sent);
        let sealed = Datagram { kind, session, echo, demand, number, payload };
        self.counts.sent += 1;
        (peer.addr, sealed.seal(&self.keys))
    }
}
