//! The gossip protocol: which peers receive what, and which datagrams are accepted.
//!
//! A new record is sent to a few peers immediately and again in the following rounds. In addition, each round
//! sends a few peers a digest of all stored records: 16 XOR sums of fingerprints, grouped by their first four
//! bits. A peer that differs in a group sends its records of that group if there are few and requests the
//! others; otherwise it sends the 16 sums by the next four bits. A dispatcher that was partitioned or
//! restarted thus catches up, whatever was lost.
//!
//! A datagram is accepted if its authentication tag is valid, it echoes the token that this dispatcher last
//! demanded from the peer, and its number is new in the sender's session. The token is drawn anew at each
//! start and with each new session of the peer, so recorded datagrams cannot be replayed. A datagram that is
//! not accepted changes nothing; if it is authentic, it is answered with a greeting that carries the token,
//! at a limited rate.

use super::datagram::{Datagram, OpenError, MAX_PAYLOAD};
use super::keys::KeyRing;
use super::replay::ReplayWindow;
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
const REQUEST: u8 = 2;
const RECORD: u8 = 3;
/// States that discovery has answered the sender; the payload is a [`DiscoveryReport`].
const DISCOVERY_ANSWERED: u8 = 4;

/// Number of peers that receive a new record immediately and in each following round.
const FANOUT: usize = 6;
/// Number of peers that receive a digest per round.
const DIGEST_FANOUT: usize = 3;
/// Number of rounds in which a new record is sent again: at 30% loss, one peer in 400 receives none of the
/// copies.
const RESEND_ROUNDS: u8 = 4;
/// Maximum number of new records that are sent again; digests cover the rest.
const MAX_RECENT: usize = 64;
/// Maximum number of datagrams sent in response to one.
const MAX_REPLIES: usize = 24;
/// Maximum number of records of a bucket that are sent without descending further.
const MAX_DIRECT_RECORDS: usize = 4;
/// Depth of the digest tree, below which all records are sent.
const MAX_DEPTH: u8 = 5;
/// Maximum number of peer reports that are kept until they are taken.
const MAX_REPORTS: usize = 16;
/// Minimum interval between greetings to one peer.
const MIN_GREETING_INTERVAL: Millis = 50;

/// A datagram to send, and its destination.
pub type Outgoing = (SocketAddr, Vec<u8>);

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams sent.
    pub sent: u64,
    /// Datagrams accepted.
    pub taken: u64,
    /// New records received.
    pub learnt: u64,
    /// Datagrams with an invalid format, size or payload.
    pub malformed: u64,
    /// Datagrams with an invalid authentication tag.
    pub unauthentic: u64,
    /// Datagrams that are duplicates, or that were not sent to this session.
    pub replayed: u64,
    /// Datagrams from an address that belongs to no peer.
    pub strangers: u64,
    /// Records rejected as too old or too far in the future, or because the table is full.
    pub refused: u64,
}

struct Peer {
    addr: SocketAddr,
    /// The tokens that the peer has to echo, and that the peer wants echoed.
    demand: u64,
    echo: u64,
    session: Option<u64>,
    window: ReplayWindow,
    sent: u32,
    greeted_at: Option<Millis>,
}

/// Gossip state of one dispatcher.
pub struct Gossip {
    session: u64,
    rng: StdRng,
    keys: KeyRing,
    peers: Vec<Peer>,
    peer_indices: FxHashMap<SocketAddr, usize>,
    recent: Vec<(Arc<Record>, u8)>,
    /// Reports received from peers that have not been taken yet.
    reports: Vec<DiscoveryReport>,
    counts: Counts,
}

/// A group of fingerprints: those that share their first `4 * depth` bits.
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
        table.by_fingerprint().range(self.range()).fold(0, |sum, (key, _)| sum ^ key)
    }

    fn encode(self) -> Vec<u8> {
        let mut bytes = vec![self.depth];
        bytes.extend_from_slice(&self.prefix.to_be_bytes());
        bytes
    }

    fn decode(bytes: &[u8]) -> Option<(Bucket, &[u8])> {
        let (head, rest) = bytes.split_at_checked(9)?;
        let bucket = Bucket { depth: head[0], prefix: u64::from_be_bytes(head[1..].try_into().ok()?) };
        let is_canonical =
            bucket.depth <= MAX_DEPTH && bucket.prefix & (bucket.range().end() ^ bucket.prefix) == 0;
        is_canonical.then_some((bucket, rest))
    }
}

impl Gossip {
    /// Creates the state at the start of a dispatcher. The seed must be new at each start and unpredictable.
    pub fn new(peers: &[SocketAddr], keys: KeyRing, seed: [u8; 32]) -> Gossip {
        let mut rng = StdRng::from_seed(seed);
        let mut gossip = Gossip {
            session: rng.random(),
            keys,
            peers: Vec::new(),
            peer_indices: FxHashMap::default(),
            recent: Vec::new(),
            reports: Vec::new(),
            counts: Counts::default(),
            rng,
        };
        for &addr in peers {
            if gossip.peer_indices.insert(addr, gossip.peers.len()).is_none() {
                let demand = gossip.rng.random_range(1..=u64::MAX);
                let window = ReplayWindow::default();
                let peer = Peer { addr, demand, echo: 0, session: None, window, sent: 0, greeted_at: None };
                gossip.peers.push(peer);
            }
        }
        gossip
    }

    /// Counters since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Replaces the keys, for key rotation.
    pub fn rekey(&mut self, keys: KeyRing) {
        self.keys = keys;
    }

    /// Sends a new record to peers.
    pub fn announce(&mut self, record: &Arc<Record>) -> Vec<Outgoing> {
        if self.recent.len() < MAX_RECENT {
            self.recent.push((record.clone(), RESEND_ROUNDS));
        }
        let payload = encode(record);
        self.sample_peers(FANOUT).into_iter().map(|index| self.seal(index, RECORD, payload.clone())).collect()
    }

    /// Reports an answer from discovery to all peers.
    pub fn report(&mut self, report: DiscoveryReport) -> Vec<Outgoing> {
        (0..self.peers.len())
            .map(|index| self.seal(index, DISCOVERY_ANSWERED, report.encode().to_vec()))
            .collect()
    }

    /// Returns the reports received from peers since the last call.
    pub fn take_reports(&mut self) -> Vec<DiscoveryReport> {
        std::mem::take(&mut self.reports)
    }

    /// Runs a round: sends recent records and a digest to a few peers.
    pub fn tick(&mut self, table: &Table) -> Vec<Outgoing> {
        let mut out = Vec::new();
        let recent = std::mem::take(&mut self.recent);
        for (record, rounds) in recent {
            let payload = encode(&record);
            for index in self.sample_peers(FANOUT) {
                out.push(self.seal(index, RECORD, payload.clone()));
            }
            if rounds > 1 {
                self.recent.push((record, rounds - 1));
            }
        }
        for index in self.sample_peers(DIGEST_FANOUT) {
            out.push(self.digest(index, Bucket::ALL, table));
        }
        out
    }

    /// Processes a received datagram and returns the responses to send. A change of the table shows in its
    /// revision.
    pub fn receive(
        &mut self,
        now: Millis,
        from: SocketAddr,
        bytes: &[u8],
        table: &mut Table,
    ) -> Vec<Outgoing> {
        let Some(&index) = self.peer_indices.get(&from) else {
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
            // A reflected datagram of this dispatcher.
            self.counts.replayed += 1;
            return Vec::new();
        }
        let peer = &mut self.peers[index];
        if datagram.echo != peer.demand {
            // Possibly a replay. A greeting tells the peer which token to echo, and is cheap if it is one.
            self.counts.replayed += u64::from(datagram.echo != 0);
            if peer.greeted_at.is_some_and(|g| now < g + MIN_GREETING_INTERVAL && g <= now) {
                return Vec::new();
            }
            peer.greeted_at = Some(now);
            let previous_echo = std::mem::replace(&mut peer.echo, datagram.demand);
            let greeting = self.seal(index, GREETING, Vec::new());
            self.peers[index].echo = previous_echo;
            return vec![greeting];
        }
        if peer.session != Some(datagram.session) {
            // A new session of the peer: datagrams of earlier sessions must no longer be accepted.
            let new_demand = self.rng.random_range(1..=u64::MAX);
            (peer.session, peer.window, peer.demand) =
                (Some(datagram.session), ReplayWindow::default(), new_demand);
        }
        if !peer.window.accept(datagram.number) {
            self.counts.replayed += 1;
            return Vec::new();
        }
        peer.echo = datagram.demand;
        self.counts.taken += 1;
        let Some(mut replies) = self.handle(now, index, &datagram, table) else {
            self.counts.malformed += 1;
            return Vec::new();
        };
        replies.truncate(MAX_REPLIES);
        replies
    }

    /// Handles an accepted datagram; `None` if its payload is invalid.
    fn handle(
        &mut self,
        now: Millis,
        index: usize,
        datagram: &Datagram,
        table: &mut Table,
    ) -> Option<Vec<Outgoing>> {
        match datagram.kind {
            GREETING => Some(vec![self.digest(index, Bucket::ALL, table)]),
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
            REQUEST => {
                let (bucket, rest) = Bucket::decode(&datagram.payload)?;
                rest.is_empty().then(|| self.records(index, bucket, table))
            }
            DIGEST => {
                let (bucket, sums) = Bucket::decode(&datagram.payload)?;
                (sums.len() == 128 && bucket.depth < MAX_DEPTH)
                    .then(|| self.compare(index, bucket, sums, table))
            }
            _ => None,
        }
    }

    fn compare(&mut self, index: usize, bucket: Bucket, sums: &[u8], table: &Table) -> Vec<Outgoing> {
        let mut out = Vec::new();
        for (nibble, sum) in sums.chunks_exact(8).enumerate() {
            let (child, theirs) =
                (bucket.child(nibble), u64::from_be_bytes(sum.try_into().unwrap_or_default()));
            let ours = child.sum(table);
            if ours == theirs {
                continue;
            }
            let count = table.by_fingerprint().range(child.range()).take(MAX_DIRECT_RECORDS + 1).count();
            if count <= MAX_DIRECT_RECORDS || child.depth == MAX_DEPTH {
                out.extend(self.records(index, child, table));
                if theirs != 0 {
                    out.push(self.seal(index, REQUEST, child.encode()));
                }
            } else {
                out.push(self.digest(index, child, table));
            }
        }
        // Responses beyond the limit are dropped; the rotation varies which ones.
        if out.len() > MAX_REPLIES {
            let first = self.rng.random_range(0..out.len());
            out.rotate_left(first);
        }
        out
    }

    fn records(&mut self, index: usize, bucket: Bucket, table: &Table) -> Vec<Outgoing> {
        let records = table.by_fingerprint().range(bucket.range()).take(MAX_REPLIES);
        let payloads: Vec<Vec<u8>> = records.map(|(_, record)| encode(record)).collect();
        payloads.into_iter().map(|payload| self.seal(index, RECORD, payload)).collect()
    }

    fn digest(&mut self, index: usize, bucket: Bucket, table: &Table) -> Outgoing {
        let mut payload = bucket.encode();
        for nibble in 0..16 {
            payload.extend_from_slice(&bucket.child(nibble).sum(table).to_be_bytes());
        }
        self.seal(index, DIGEST, payload)
    }

    fn sample_peers(&mut self, count: usize) -> Vec<usize> {
        sample(&mut self.rng, self.peers.len(), count.min(self.peers.len())).into_vec()
    }

    fn seal(&mut self, index: usize, kind: u8, payload: Vec<u8>) -> Outgoing {
        debug_assert!(payload.len() <= MAX_PAYLOAD);
        let peer = &mut self.peers[index];
        peer.sent = peer.sent.wrapping_add(1).max(1);
        let (session, echo, demand, number) = (self.session, peer.echo, peer.demand, peer.sent);
        let datagram = Datagram { kind, session, echo, demand, number, payload };
        self.counts.sent += 1;
        (peer.addr, datagram.seal(&self.keys))
    }
}
