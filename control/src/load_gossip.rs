//! Load gossip between the dispatchers of a large tier: how many jobs each has in flight at each worker. With
//! little traffic, a single dispatcher observes next to nothing of any worker.
//!
//! One of the dispatchers, the *zone aggregator*, sums up the jobs at the workers of a zone. Every dispatcher
//! sends it a load report whenever its own jobs in flight change, and queries it for a snapshot of the zone
//! before deciding, so the number of datagrams per request does not grow with the tier. All dispatchers
//! determine the same aggregator without coordination ([`ZoneAggregators`]). The next candidate receives the
//! reports too and is queried when the first one does not answer.
//!
//! A report states everything that its sender has in flight, so a duplicate has no effect, a lost report is
//! superseded by the next one, and a report expires by itself. Reports are neither encrypted nor
//! authenticated: the worst effect of a forged one is that a worker is ranked last for a while.

use crate::{fingerprint, Millis};
use rustc_hash::FxHashMap;

/// How long a load report counts if no newer one arrives. Guards against peers that die with jobs in flight.
pub const REPORT_TTL: Millis = 4000;
/// Size limit of a datagram in bytes, which limits the number of workers that it can name.
pub const MAX_DATAGRAM: usize = HEADER_SIZE + MAX_ENTRIES * ENTRY_SIZE;
const HEADER_SIZE: usize = 3;
const ENTRY_SIZE: usize = 3;
const MAX_ENTRIES: usize = 80;
/// Value in place of a count: the worker has just refused a job or could not be reached.
const REFUSED: u8 = 255;
/// How long an aggregator remembers that a worker refused or failed a job: after a report by one peer, and
/// after reports by two. It passes a refusal on only once a second peer has reported it, since a single peer
/// or its job may be at fault.
const REFUSAL_TTL: (Millis, Millis) = (1000, 4000);
/// Approximate number of refusals remembered at a time.
const MAX_REFUSALS: usize = 4096;
/// Within this time, a load report with an earlier sequence number was reordered by the network.
const REORDER_WINDOW: Millis = 100;
/// A newly started aggregator has not received enough reports to answer queries until this time.
const WARM_UP: Millis = 1500;
/// How long an aggregator that did not answer is skipped.
const SKIP_AFTER_TIMEOUT: Millis = 1000;
/// Timeout of a query to an aggregator: initial, minimum and maximum value.
const ANSWER_TIMEOUT: (Millis, Millis, Millis) = (50, 10, 100);
/// Number of candidates per zone that receive reports: the first one and its fallback.
const REPORT_RECEIVERS: usize = 2;
/// Number of candidate aggregators per zone.
const MAX_CANDIDATES: usize = 4;

/// Short hash of the name of a worker or zone, as used in load reports. On a collision, each of the two
/// appears to have the load of both.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Tag(u16);

impl Tag {
    /// The tag of `name`; the same at every dispatcher.
    pub fn of(name: &str) -> Self {
        Tag((fingerprint(name.as_bytes()) & 0xffff) as u16)
    }
}

/// Purpose of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// States the sender's jobs in flight.
    Report,
    /// Like `Report`, and requests a snapshot of a zone.
    Query,
    /// Answers a query: the jobs of all other dispatchers in a zone. Workers that are not named have none.
    Snapshot,
}

/// A load datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Purpose of the datagram.
    pub purpose: Purpose,
    /// Sequence number of the sender's load reports, modulo 16. A snapshot carries that of its query.
    pub sequence: u8,
    /// The zone that is queried or described.
    pub zone: Tag,
    /// Workers with jobs in flight, and the number of jobs.
    pub in_flight: Vec<(Tag, u8)>,
    /// Workers that have just refused or failed a job, or could not be reached.
    pub refused: Vec<Tag>,
}

impl LoadReport {
    /// Encodes the datagram. If there are more workers than it can name, those with the fewest jobs are left
    /// out.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = self.in_flight.clone();
        out.sort_unstable_by_key(|(tag, out)| (std::cmp::Reverse(*out), *tag));
        let refused = self.refused.iter().map(|tag| (*tag, REFUSED));
        let out = out.into_iter().map(|(tag, out)| (tag, out.min(REFUSED - 1)));
        let purpose = match self.purpose {
            Purpose::Report => 0,
            Purpose::Query => 1,
            Purpose::Snapshot => 2,
        };
        let mut bytes = vec![purpose << 4 | self.sequence & 15];
        bytes.extend(self.zone.0.to_be_bytes());
        for (Tag(tag), value) in refused.chain(out).take(MAX_ENTRIES) {
            bytes.extend(tag.to_be_bytes());
            bytes.push(value);
        }
        bytes
    }

    /// Decodes a datagram; `None` if it is not a load report.
    pub fn decode(bytes: &[u8]) -> Option<LoadReport> {
        let (head, rest) = bytes.split_at_checked(HEADER_SIZE)?;
        if rest.len() % ENTRY_SIZE != 0 || bytes.len() > MAX_DATAGRAM {
            return None;
        }
        let purpose = match head[0] >> 4 {
            0 => Purpose::Report,
            1 => Purpose::Query,
            2 => Purpose::Snapshot,
            _ => return None,
        };
        let zone = Tag(u16::from_be_bytes([head[1], head[2]]));
        let mut report =
            LoadReport { purpose, sequence: head[0] & 15, zone, in_flight: Vec::new(), refused: Vec::new() };
        for entry in rest.chunks_exact(ENTRY_SIZE) {
            let tag = Tag(u16::from_be_bytes([entry[0], entry[1]]));
            match entry[2] {
                REFUSED => report.refused.push(tag),
                out => report.in_flight.push((tag, out)),
            }
        }
        Some(report)
    }
}

#[derive(Debug, Default)]
struct Peer {
    sequence: u8,
    received_at: Millis,
    in_flight: Vec<(Tag, u8)>,
}

/// The last peer that reported a refused or failed job at a worker, when that report expires, and whether two
/// peers have reported it.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    reporter: u32,
    expires_at: Millis,
    confirmed: bool,
}

/// Load reported to an aggregator that has not expired. Its size is bounded by the number of peers and the
/// size of a load report.
#[derive(Debug, Default)]
pub struct ReportedLoad {
    peers: FxHashMap<u32, Peer>,
    sums: FxHashMap<Tag, u32>,
    refused: FxHashMap<Tag, Refusal>,
    last_sweep: Millis,
}

impl ReportedLoad {
    /// Applies a peer's report. A reordered report is ignored.
    pub fn apply(&mut self, number: u32, report: &LoadReport, now: Millis) {
        if now >= self.last_sweep + REPORT_TTL / 4 {
            self.sweep(now);
        }
        let peer = self.peers.entry(number).or_default();
        // Sequence numbers wrap at 16: an earlier one shortly after a newer one was reordered.
        let ahead = report.sequence.wrapping_sub(peer.sequence) & 15;
        if now.saturating_sub(peer.received_at) < REORDER_WINDOW
            && peer.received_at > 0
            && (ahead > 8 || ahead == 0)
        {
            return;
        }
        let before = std::mem::replace(&mut peer.in_flight, report.in_flight.clone());
        (peer.sequence, peer.received_at) = (report.sequence, now.max(1));
        self.subtract(&before);
        for (tag, out) in &report.in_flight {
            *self.sums.entry(*tag).or_default() += u32::from(*out);
        }
        for tag in &report.refused {
            let before = self.refused.get(tag).copied().filter(|r| now < r.expires_at);
            let confirmed = before.is_some_and(|r| r.confirmed || r.reporter != number);
            let expires_at = now + if confirmed { REFUSAL_TTL.1 } else { REFUSAL_TTL.0 };
            if before.is_some() || self.refused.len() < MAX_REFUSALS {
                self.refused.insert(*tag, Refusal { reporter: number, expires_at, confirmed });
            }
        }
    }

    /// Removes expired reports and refusals.
    fn sweep(&mut self, now: Millis) {
        self.last_sweep = now;
        self.refused.retain(|_, r| now < r.expires_at);
        let expired_peers =
            self.peers.values_mut().filter(|p| now >= p.received_at + REPORT_TTL && !p.in_flight.is_empty());
        let expired: Vec<(Tag, u8)> = expired_peers.flat_map(|p| std::mem::take(&mut p.in_flight)).collect();
        self.subtract(&expired);
    }

    fn subtract(&mut self, out: &[(Tag, u8)]) {
        for (tag, out) in out {
            if let Some(sum) = self.sums.get_mut(tag) {
                *sum = sum.saturating_sub(u32::from(*out));
                if *sum == 0 {
                    self.sums.remove(tag);
                }
            }
        }
    }

    /// Jobs per worker, excluding those of the querier, and the workers that have just refused a job; limited
    /// to workers for which `includes` returns true.
    pub fn snapshot(
        &self,
        querier: u32,
        now: Millis,
        includes: impl Fn(Tag) -> bool,
    ) -> (Vec<(Tag, u32)>, Vec<Tag>) {
        let own = self.peers.get(&querier);
        let own = |tag: Tag| -> u32 {
            let own = own.iter().flat_map(|p| &p.in_flight).filter(|(t, _)| *t == tag);
            own.map(|(_, out)| u32::from(*out)).sum()
        };
        let sums = self.sums.iter().filter(|(tag, _)| includes(**tag));
        let others = sums.map(|(tag, sum)| (*tag, sum.saturating_sub(own(*tag)))).filter(|(_, out)| *out > 0);
        let refused =
            self.refused.iter().filter(|(tag, r)| r.confirmed && now < r.expires_at && includes(**tag));
        (others.collect(), refused.map(|(tag, _)| *tag).collect())
    }

    /// Whether an aggregator that started at time zero has not received enough reports to answer queries.
    pub fn is_warming_up(now: Millis) -> bool {
        now < WARM_UP
    }
}

/// Maps each zone to the dispatcher that aggregates its load, as one dispatcher sees it. Dispatchers are
/// identified by their position in the tier's list.
#[derive(Debug)]
pub struct ZoneAggregators {
    tier: u32,
    candidates: FxHashMap<Tag, Vec<u32>>,
    /// Aggregators that did not answer, and until when they are skipped.
    skipped_until: FxHashMap<u32, Millis>,
    /// Query timeout, adapted to observed answer times.
    answer_timeout: Millis,
}

impl ZoneAggregators {
    /// Creates the map for a tier of `tier` dispatchers.
    pub fn new(tier: u32) -> Self {
        ZoneAggregators {
            tier,
            candidates: FxHashMap::default(),
            skipped_until: FxHashMap::default(),
            answer_timeout: ANSWER_TIMEOUT.0,
        }
    }

    /// Candidates for a zone in order of preference, the same at every dispatcher: rendezvous hashing spreads
    /// the zones over the tier.
    fn candidates(&mut self, zone: Tag) -> &[u32] {
        let tier = self.tier;
        self.candidates.entry(zone).or_insert_with(|| {
            let rank = |number: &u32| {
                let mut bytes = [0; 6];
                bytes[..2].copy_from_slice(&zone.0.to_be_bytes());
                bytes[2..].copy_from_slice(&number.to_be_bytes());
                fingerprint(&bytes)
            };
            let mut all: Vec<u32> = (0..tier).collect();
            all.sort_by_cached_key(rank);
            all.truncate(MAX_CANDIDATES);
            all
        })
    }

    /// The aggregator to query: the first candidate that has not timed out recently.
    pub fn query(&mut self, zone: Tag, now: Millis) -> Option<u32> {
        let candidates = self.candidates(zone).to_vec();
        let is_skipped =
            |number: &u32| self.skipped_until.get(number).is_some_and(|expires_at| now < *expires_at);
        candidates.iter().copied().find(|number| !is_skipped(number)).or(candidates.first().copied())
    }

    /// The dispatchers to send reports to: the first candidates, and the one that is queried.
    pub fn report_to(&mut self, zone: Tag, now: Millis) -> Vec<u32> {
        let queried = self.query(zone, now);
        let mut receivers: Vec<u32> = self.candidates(zone).iter().copied().take(REPORT_RECEIVERS).collect();
        receivers.extend(queried.filter(|number| !receivers.contains(number)));
        receivers
    }

    /// Timeout of the next query: about twice the recent answer times.
    pub fn answer_timeout(&self) -> Millis {
        self.answer_timeout
    }

    /// Records that an aggregator did not answer in time. It may be dead, or datagrams are taking longer than
    /// before.
    pub fn timed_out(&mut self, number: u32, now: Millis) {
        self.skipped_until.insert(number, now + SKIP_AFTER_TIMEOUT);
        self.answer_timeout = (self.answer_timeout * 5 / 4).min(ANSWER_TIMEOUT.2);
    }

    /// Records that an aggregator answered after `took`.
    pub fn answered(&mut self, number: u32, took: Millis) {
        self.skipped_until.remove(&number);
        let target = (took * 2 + 5).clamp(ANSWER_TIMEOUT.1, ANSWER_TIMEOUT.2);
        self.answer_timeout = (self.answer_timeout * 7 + target).div_ceil(8);
    }
}
