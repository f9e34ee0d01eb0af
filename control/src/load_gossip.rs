//! Load gossip between the dispatchers of a large tier: how many jobs each has out at which worker. Where traffic is thin
//! each of them alone sees next to nothing of any worker.
//!
//! The jobs at the workers of one zone are counted by its *zone aggregator*, one of the dispatchers. Each sends it a load
//! report whenever what it has out changes, and queries it for the picture of the zone before it decides. So what a
//! request costs in datagrams does not grow with the tier. All find the same aggregator without agreeing on it
//! ([`ZoneAggregators`]); the next candidate gets the reports too, and is queried when the first is silent.
//!
//! A report states all that its sender has out, so one that comes twice changes nothing, one that is lost is made good by
//! the next, and it expires by itself. Reports are neither kept secret nor signed: whoever believes a false one may rank
//! a worker last for a while, and does nothing else.

use crate::{fingerprint, Millis};
use rustc_hash::FxHashMap;

/// How long a load report is believed when nothing newer comes. Guards against peers that die with jobs out.
pub const REPORT_TTL: Millis = 4000;
/// The longest datagram in bytes, and the workers that it may name.
pub const MAX_DATAGRAM: usize = HEAD + MAX_NAMED * ENTRY;
const HEAD: usize = 3;
const ENTRY: usize = 3;
const MAX_NAMED: usize = 80;
/// What is sent reports instead of a count when a worker has just refused a job or could not be reached.
const REFUSED: u8 = 255;
/// How long an aggregator remembers that a worker refused or failed a job, and passes it on once a second peer says so too:
/// one alone may be wrong, or its job.
const REFUSAL_TTL: (Millis, Millis) = (1000, 4000);
/// Refusals that are remembered at a time, about.
const MAX_REFUSALS: usize = 4096;
/// A load report with an earlier turn that comes within this time was overtaken on its way.
const REORDER_WINDOW: Millis = 100;
/// One that has just started has not received enough reports to answer.
const WARM_UP: Millis = 1500;
/// An aggregator that did not answer is left alone for this long.
const SILENT_FOR: Millis = 1000;
/// How long an answer of an aggregator is waited for: at first, at least, and at most.
const ANSWER_WAIT: (Millis, Millis, Millis) = (50, 10, 100);
/// Candidates of a zone that get reports: the first, and one to take over.
const REPORTED_TO: usize = 2;
/// ZoneAggregators that are tried in turn.
const CANDIDATES: usize = 4;

/// A worker, or a zone, as load reports name it. Two of them may share one: each then seems as busy as both.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Tag(u16);

impl Tag {
    /// The tag of that name, the same at every dispatcher.
    pub fn of(name: &str) -> Self {
        Tag((fingerprint(name.as_bytes()) & 0xffff) as u16)
    }
}

/// What a datagram is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// States what the sender has out.
    Report,
    /// The same, and asks for the picture of a zone.
    Query,
    /// What all others have out in a zone. Workers that are not named have nothing.
    Snapshot,
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// What it is for.
    pub purpose: Purpose,
    /// Grows with each load report of a sender, modulo 16. A picture has that of the question.
    pub sequence: u8,
    /// The zone that is asked for or shown.
    pub zone: Tag,
    /// Workers that hold jobs, and how many.
    pub in_flight: Vec<(Tag, u8)>,
    /// Workers that have just refused or failed one, or were not reached.
    pub refused: Vec<Tag>,
}

impl LoadReport {
    /// The datagram. Workers beyond what it can name are left out: those with the least jobs.
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
        for (Tag(tag), said) in refused.chain(out).take(MAX_NAMED) {
            bytes.extend(tag.to_be_bytes());
            bytes.push(said);
        }
        bytes
    }

    /// Reads a datagram; `None`: it is no load report.
    pub fn decode(bytes: &[u8]) -> Option<LoadReport> {
        let (head, rest) = bytes.split_at_checked(HEAD)?;
        if rest.len() % ENTRY != 0 || bytes.len() > MAX_DATAGRAM {
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
        for entry in rest.chunks_exact(ENTRY) {
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
    turn: u8,
    at: Millis,
    out: Vec<(Tag, u8)>,
}

/// Who said last that a worker refused or failed a job, until when that counts, and whether another did before.
#[derive(Clone, Copy, Debug)]
struct Refused {
    by: u32,
    until: Millis,
    known: bool,
}

/// The load that an aggregator was sent reports of, as far as they have not expired. Its size is bounded by the peers and the longest load report.
#[derive(Debug, Default)]
pub struct ReportedLoad {
    peers: FxHashMap<u32, Peer>,
    sums: FxHashMap<Tag, u32>,
    refused: FxHashMap<Tag, Refused>,
    swept: Millis,
}

impl ReportedLoad {
    /// Takes in what a peer has out. One that was overtaken changes nothing.
    pub fn apply(&mut self, number: u32, report: &LoadReport, now: Millis) {
        if now >= self.swept + REPORT_TTL / 4 {
            self.sweep(now);
        }
        let peer = self.peers.entry(number).or_default();
        // Turns go round after 16: a load report is an old one if it comes soon after a newer one.
        let ahead = report.sequence.wrapping_sub(peer.turn) & 15;
        if now.saturating_sub(peer.at) < REORDER_WINDOW && peer.at > 0 && (ahead > 8 || ahead == 0) {
            return;
        }
        let before = std::mem::replace(&mut peer.out, report.in_flight.clone());
        (peer.turn, peer.at) = (report.sequence, now.max(1));
        self.subtract(&before);
        for (tag, out) in &report.in_flight {
            *self.sums.entry(*tag).or_default() += u32::from(*out);
        }
        for tag in &report.refused {
            let before = self.refused.get(tag).copied().filter(|r| now < r.until);
            let known = before.is_some_and(|r| r.known || r.by != number);
            let until = now + if known { REFUSAL_TTL.1 } else { REFUSAL_TTL.0 };
            if before.is_some() || self.refused.len() < MAX_REFUSALS {
                self.refused.insert(*tag, Refused { by: number, until, known });
            }
        }
    }

    /// Forgets what has stood too long.
    fn sweep(&mut self, now: Millis) {
        self.swept = now;
        self.refused.retain(|_, r| now < r.until);
        let old = self.peers.values_mut().filter(|p| now >= p.at + REPORT_TTL && !p.out.is_empty());
        let ended: Vec<(Tag, u8)> = old.flat_map(|p| std::mem::take(&mut p.out)).collect();
        self.subtract(&ended);
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

    /// Jobs at those of the workers that hold any, beside those of the peer that asks, and which have just refused one.
    pub fn snapshot(
        &self,
        querier: u32,
        now: Millis,
        of: impl Fn(Tag) -> bool,
    ) -> (Vec<(Tag, u32)>, Vec<Tag>) {
        let own = self.peers.get(&querier);
        let own = |tag: Tag| -> u32 {
            let own = own.iter().flat_map(|p| &p.out).filter(|(t, _)| *t == tag);
            own.map(|(_, out)| u32::from(*out)).sum()
        };
        let sums = self.sums.iter().filter(|(tag, _)| of(**tag));
        let others = sums.map(|(tag, sum)| (*tag, sum.saturating_sub(own(*tag)))).filter(|(_, out)| *out > 0);
        let refused = self.refused.iter().filter(|(tag, r)| r.known && now < r.until && of(**tag));
        (others.collect(), refused.map(|(tag, _)| *tag).collect())
    }

    /// Whether one that started at zero has not received enough reports to answer yet.
    pub fn is_warming_up(now: Millis) -> bool {
        now < WARM_UP
    }
}

/// Which dispatcher aggregates the load of which zone, as seen by one of them. All numbers are positions in the list of the tier.
#[derive(Debug)]
pub struct ZoneAggregators {
    tier: u32,
    candidates: FxHashMap<Tag, Vec<u32>>,
    /// Until when an aggregator that did not answer is passed over.
    silent: FxHashMap<u32, Millis>,
    /// How long to wait for an answer, by those that came.
    answer_timeout: Millis,
}

impl ZoneAggregators {
    /// For a tier of so many dispatchers.
    pub fn new(tier: u32) -> Self {
        ZoneAggregators {
            tier,
            candidates: FxHashMap::default(),
            silent: FxHashMap::default(),
            answer_timeout: ANSWER_WAIT.0,
        }
    }

    /// Those in line for a zone, the same at every dispatcher: zones are spread over the tier by their names.
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
            all.truncate(CANDIDATES);
            all
        })
    }

    /// Who is to be queried: the first candidate that was not silent lately.
    pub fn query(&mut self, zone: Tag, now: Millis) -> Option<u32> {
        let line = self.candidates(zone).to_vec();
        let is_silent = |number: &u32| self.silent.get(number).is_some_and(|until| now < *until);
        line.iter().copied().find(|number| !is_silent(number)).or(line.first().copied())
    }

    /// Who is to be sent reports: the first candidates, and who is queried.
    pub fn report_to(&mut self, zone: Tag, now: Millis) -> Vec<u32> {
        let asked = self.query(zone, now);
        let mut receivers: Vec<u32> = self.candidates(zone).iter().copied().take(REPORTED_TO).collect();
        receivers.extend(asked.filter(|number| !receivers.contains(number)));
        receivers
    }

    /// How long to wait for an answer: well over what the last ones took.
    pub fn answer_timeout(&self) -> Millis {
        self.answer_timeout
    }

    /// An aggregator was asked, and has not answered in time. It may be dead, or datagrams take longer than they did.
    pub fn timed_out(&mut self, number: u32, now: Millis) {
        self.silent.insert(number, now + SILENT_FOR);
        self.answer_timeout = (self.answer_timeout * 5 / 4).min(ANSWER_WAIT.2);
    }

    /// An aggregator has answered after so long.
    pub fn answered(&mut self, number: u32, took: Millis) {
        self.silent.remove(&number);
        let enough = (took * 2 + 5).clamp(ANSWER_WAIT.1, ANSWER_WAIT.2);
        self.answer_timeout = (self.answer_timeout * 7 + enough).div_ceil(8);
    }
}
