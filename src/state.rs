//! The state that decisions rest on, and its upkeep. What is concluded from it is in `src/balance.rs`.

use crate::api::*;
use crate::slow_start::Overdraft;
use lru::LruCache;
use rustc_hash::{FxHashMap, FxHashSet};
use slab::Slab;
use std::num::NonZeroUsize;

/// Served jobs that a profile looks back on, about. Long, since run times have heavy tails.
pub const PROFILE_SPAN: f32 = 24.0;
/// Weight of the borrowed median in a young profile, in jobs: damps the first few times measured.
pub const PRIOR_JOBS: f32 = 2.0;
/// What others hold at a worker follows what reports tell by this part; those are of about so long ago.
pub const FOREIGN_PART: f64 = 0.3;
pub const REPORT_LAG: f64 = 1e6;
/// Seconds that a rate of requests looks back.
pub const RATE_SPAN_S: f64 = 4.0;
/// By how much the own jobs that fit at a worker fall when one waited, and rise when one more began at once.
pub const ROOM_FALL: f64 = 0.5;
pub const ROOM_RISE: f64 = 0.25;
/// A worker that served so many jobs in a row without telling of their start tells of none.
pub const MUTE_AFTER: u32 = 3;
/// How long a refusal that a peer met keeps jobs away: the list tells of a drain within seconds.
const SHUNNED: Micros = 1_000_000;
/// Hints that stop coming are gone by for so long.
pub const HINTED: Micros = 1_000_000;

/// Index of a worker in `Fleet::workers`; it stays with a worker as long as that is remembered.
pub type Ix = usize;

/// The end of a job and the start of the next one in the same slot may be told in either order, within this.
const WORDS_CROSS_WITHIN: Micros = 50_000;

/// Average response time of the served jobs of one type at one worker, and how many are out there now.
#[derive(Clone, Copy, Debug, Default)]
pub struct Profile {
    pub mean: f32,
    pub jobs: f32,
    pub out: u32,
    /// Weight / R̄, its own or borrowed: α before it is normalised. 0: not a ready worker of the kind.
    pub inverse: f32,
    /// What operators multiply its share by; usually 1.
    pub weight: f32,
}

/// Profiles and shares of one job type.
#[derive(Debug, Default)]
pub struct JobType {
    pub by: Vec<Profile>,
    pub out: u32,
    /// Sum and maximum of `inverse`.
    pub total: f32,
    pub top: f32,
    /// When medians and sums were last taken, and the version of the list they were taken for.
    pub taken: Option<(Micros, u64)>,
    pub median: Option<f32>,
}

/// Concern 1, profiles and shares: R̄ by type and worker, and the gap n_i − α_i·n to sort by. Types are
/// numbered, the classes first.
#[derive(Debug)]
pub struct Profiles {
    pub types: Slab<JobType>,
    /// Jobs served of each key, and its type once they are enough.
    pub keys: LruCache<Key, (u32, Option<usize>)>,
}

impl JobType {
    pub fn at(&mut self, w: Ix) -> &mut Profile {
        if self.by.len() <= w {
            self.by.resize(w + 1, Profile::default());
        }
        &mut self.by[w]
    }

    /// Takes the response time of a served job into its average.
    pub fn served(&mut self, w: Ix, spent: Micros) {
        let borrowed = self.mean(w);
        let p = self.at(w);
        if p.jobs == 0.0 {
            if let Some(median) = borrowed {
                (p.mean, p.jobs) = (median as f32, PRIOR_JOBS);
            }
        }
        p.jobs += 1.0;
        p.mean += (spent as f32 - p.mean) / p.jobs.min(PROFILE_SPAN);
        if p.inverse > 0.0 {
            let new = p.weight / p.mean.max(1.0);
            let change = new - std::mem::replace(&mut p.inverse, new);
            self.total += change;
            self.top = self.top.max(new);
        }
    }

    /// R̄ at a worker, its own or borrowed.
    pub fn mean(&self, w: Ix) -> Option<f64> {
        let p = Some(self.get(w)).filter(|p| p.inverse > 0.0 && self.median.is_some());
        p.map(|p| f64::from(p.weight) / f64::from(p.inverse))
    }

    /// Counts an attempt in or out.
    pub fn count(&mut self, w: Ix, sent: bool) {
        let p = self.at(w);
        p.out = if sent { p.out + 1 } else { p.out.saturating_sub(1) };
        self.out = if sent { self.out + 1 } else { self.out.saturating_sub(1) };
    }

    pub fn get(&self, w: Ix) -> Profile {
        self.by.get(w).copied().unwrap_or_default()
    }
}

/// A bar that doubles with each symptom, until served jobs wear it down.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bar {
    pub suspicion: f64,
    pub until: Micros,
}

/// What is known of one worker.
#[derive(Clone, Debug, Default)]
pub struct Worker {
    pub entry: WorkerEntry,
    /// Its last start, by news of it; a start said to lie in the future counts from that news.
    pub since: Option<Micros>,
    /// Free slots by the last report, less own sends since, plus own jobs ended since.
    pub free: Option<f64>,
    pub reported: Option<Micros>,
    pub waiting: f64,
    /// Requests in hand by the last report.
    pub held: Option<f64>,
    /// Most slots it was ever seen to have: free ones plus jobs running.
    pub slots: f64,
    /// Size of the job that it last had no room for, and until when that bars jobs as large.
    pub full: Option<(f64, Micros)>,
    pub out: u32,
    pub out_slots: f64,
    /// Own jobs there that have not begun, where workers tell.
    pub awaited: u32,
    /// Slots of own jobs there that were told to have begun, and when the last of them did.
    pub running: f64,
    pub begun: Micros,
    /// Jobs served in a row without word of their start: it may be one that does not tell.
    pub mute: u32,
    /// Own jobs that it has room for at once, as learnt from how soon they began. Used where none reports.
    pub room: f64,
    /// When an own job was last served there, if none was sent since.
    pub left: Micros,
    /// It could not be reached: a probe must pass before a job goes there.
    pub dark: bool,
    /// This process was seen draining; it could not be reached since the list left it out.
    pub drained: bool,
    pub unreached: bool,
    pub probing: bool,
    /// Probes that failed in a row.
    pub missed: u32,
    /// Until when a connection to it stays open.
    pub connected: Micros,
    /// Jobs of peers there, by their hints, and until when a refusal that one met keeps jobs away.
    pub others: u32,
    /// Slots that others hold there, averaged, where reports tell of free slots and not of who holds the rest.
    pub foreign: Option<f64>,
    /// Own slots there, averaged over about the age of a report, and when that was last brought on.
    pub own: (f64, Micros),
    pub shunned: Micros,
    /// What was sent there beyond this instance's part of its budget while it is cold.
    pub overdraft: Overdraft,
}

/// What a bar in `Fleet::bars` is for: a worker, a class there, or a tenant's jobs of a class there.
pub type Lane = (Ix, Option<ClassId>, Option<TenantId>);

/// Concern 2, worker state: the list, reports, warmth and symptoms.
#[derive(Debug)]
pub struct Fleet {
    pub workers: Slab<Worker>,
    pub index: FxHashMap<WorkerId, Ix>,
    /// Ready workers of each class's kind, and how often these lists were made anew.
    pub ready: Vec<Vec<Ix>>,
    /// When the first list came: what was sent before is not known. `Micros::MAX`: none has come.
    pub known_since: Micros,
    /// Candidates that were cold when these lists were made.
    pub cold: Vec<Ix>,
    /// Classes whose every candidate is barred by operators.
    pub shut: Vec<bool>,
    /// What operators have set. By id, so that it outlasts what the list does to a worker.
    pub weights: FxHashMap<WorkerId, f32>,
    pub out_of_service: FxHashSet<WorkerId>,
    pub pins: FxHashMap<(ClassId, Option<TenantId>), WorkerId>,
    pub version: u64,
    /// The list may be acted on.
    pub list_valid: bool,
    /// The least slots that workers of a kind have shown: one that starts anew has shown few itself.
    pub kind_slots: FxHashMap<KindId, f64>,
    /// The most slots of own jobs that ran at a worker of the kind at once, where workers tell when jobs begin. A lower
    /// bound of what it has, to go by where no report tells.
    pub kind_ran: FxHashMap<KindId, f64>,
    /// How many waited, about, where a worker of the kind turned work away.
    pub kind_queue: FxHashMap<KindId, f64>,
    /// Workers seen draining and when they had started: wrong lists may name them again. Bounded.
    pub drained: LruCache<WorkerId, Option<Micros>>,
    /// Symptoms. Those that came in one class, or for one tenant of it, say nothing of the rest.
    pub bars: FxHashMap<Lane, Bar>,
    /// Until when reports are held to be late: one of them lacked own jobs that it had to count.
    pub late_until: Micros,
    /// Until when hints of peers are gone by: the last one is not long ago.
    pub hinted: Micros,
    /// Jobs at once for each unit of a worker's size, by kind, as learnt from which began at once.
    pub fit: FxHashMap<KindId, f64>,
    /// Reports in a row that lacked a job sent there a tick before.
    pub missed: u32,
    /// What a new worker's `mute` is: by the settings workers tell when jobs begin, or do not.
    mute: u32,
}

impl Worker {
    pub fn new(entry: WorkerEntry, now: Micros) -> Self {
        let since = entry.started.map(|t| t.min(now));
        Worker { entry, since, slots: 1.0, room: 2.0, ..Worker::default() }
    }

    /// Part of its capacity that it has at least, from its start and the rules.
    pub fn warmth(&self, rules: &Rules, now: Micros) -> f64 {
        let Some(since) = self.since else { return 1.0 };
        let age = now.saturating_sub(since) as f64;
        let part = if rules.warm_up == 0 { 1.0 } else { age / rules.warm_up as f64 };
        (rules.cold_from + (1.0 - rules.cold_from) * part).min(1.0)
    }

    /// Its report is recent enough to go by. One of free slots alone goes into an average, which stands.
    pub fn fresh(&self, now: Micros, age: Micros) -> bool {
        self.foreign.is_some() || self.reported.is_some_and(|at| now.saturating_sub(at) <= age)
    }

    /// Own jobs and those of peers there, by hints or reports.
    pub fn crowd(&self) -> f64 {
        f64::from(self.out) + f64::from(self.others).max(self.foreign.unwrap_or(0.0))
    }

    /// An attempt goes there.
    pub fn sent(&mut self, slots: f64, awaited: bool, now: Micros, keepalive: Micros) {
        self.average(now);
        self.awaited += u32::from(awaited);
        self.left = 0;
        self.out += 1;
        self.out_slots += slots;
        self.free = self.free.map(|f| f - slots);
        self.connected = self.connected.max(now + keepalive);
    }

    /// The start of an attempt there is awaited no longer.
    pub fn begins(&mut self, attempt: &mut Attempt) {
        let counted = std::mem::take(&mut attempt.awaited);
        self.awaited = self.awaited.saturating_sub(u32::from(counted));
    }

    /// An attempt there was told to have begun.
    pub fn runs(&mut self, attempt: &mut Attempt, slots: f64, now: Micros) {
        if !std::mem::replace(&mut attempt.running, true) {
            self.running += slots;
            self.begun = now;
        }
    }

    /// An attempt there ends; the slots of own jobs that ran at once until now. `None`: it was not told to have begun, or
    /// another one has begun so lately that the two may have run one behind the other.
    pub fn ran(&mut self, attempt: &Attempt, slots: f64, now: Micros) -> Option<f64> {
        if !attempt.running {
            return None;
        }
        let at_once = self.running;
        self.running = (self.running - slots).max(0.0);
        (now >= self.begun + WORDS_CROSS_WITHIN).then_some(at_once)
    }

    /// An attempt there ended.
    pub fn ended(&mut self, slots: f64, now: Micros, keepalive: Micros) {
        self.average(now);
        self.out = self.out.saturating_sub(1);
        self.out_slots = (self.out_slots - slots).max(0.0);
        self.free = self.free.map(|f| f + slots);
        self.connected = self.connected.max(now + keepalive);
    }

    /// An own job has begun there, at once or after a wait: how many of ours find room beside the others'?
    pub fn learn_room(&mut self, waited: bool) {
        let running = f64::from(self.out - self.awaited.min(self.out));
        if waited {
            self.room = (self.room.min(running) - ROOM_FALL).max(ROOM_FALL);
        } else if running + 1.0 > self.room {
            self.room += ROOM_RISE;
        }
    }

    /// Brings the average of own slots on to this moment, before they change or a report is read.
    fn average(&mut self, now: Micros) {
        let (own, since) = self.own;
        let kept = (-(now.saturating_sub(since) as f64) / REPORT_LAG).exp();
        self.own = (self.out_slots + (own - self.out_slots) * kept, now);
    }

    pub fn take_report(&mut self, report: &Report, now: Micros) {
        if let Some(free) = report.free_slots.filter(|f| f.is_finite() && *f >= 0.0) {
            self.free = Some(free);
            self.reported = Some(now);
            self.held = report.in_flight;
            let running = report.in_flight.zip(report.queued).map(|(h, w)| h - w).filter(|r| r.is_finite());
            self.slots = self.slots.max((free + running.unwrap_or(0.0)).round().min(1e6));
            self.full = self.full.filter(|(size, _)| free < *size);
            if report.in_flight.is_none() && report.queued.is_none() {
                self.average(now);
                let (seen, known) = ((self.slots - free - self.own.0).max(0.0), self.foreign.unwrap_or(0.0));
                self.foreign = Some(known + (seen - known) * FOREIGN_PART);
            }
        }
        if let Some(waiting) = report.queued.filter(|w| w.is_finite() && *w >= 0.0) {
            self.waiting = waiting;
        }
    }
}

impl Profiles {
    /// The type of a job, by its key if that is known well enough.
    pub fn job_type(&self, class: ClassId, key: Option<&Key>) -> usize {
        key.and_then(|k| self.keys.peek(k)).and_then(|k| k.1).unwrap_or(class.0)
    }

    /// Counts a served job of a key. Memory stays bounded: the key unused longest is forgotten.
    pub fn count_key(&mut self, key: Key, enough: u32) {
        let known = self.keys.get(&key).copied().unwrap_or((0, None));
        let count = known.0.saturating_add(1);
        let job_type = known.1.or_else(|| (count >= enough).then(|| self.types.insert(JobType::default())));
        let old = self.keys.push(key.clone(), (count, job_type)).filter(|(k, _)| *k != key);
        if let Some(job_type) = old.and_then(|(_, (_, job_type))| job_type) {
            self.types.try_remove(job_type);
        }
    }

    /// Drops what was measured at a worker: it has left or started anew. Jobs still out stay counted.
    pub fn forget(&mut self, w: Ix) {
        for p in self.types.iter_mut().filter_map(|(_, t)| t.by.get_mut(w)) {
            (p.mean, p.jobs) = (0.0, 0.0);
        }
    }
}

impl Fleet {
    /// A fleet that nothing is known of yet, for so many classes, remembering so many drained workers.
    pub fn new(classes: usize, drained: NonZeroUsize, tells_start: bool) -> Self {
        Fleet {
            workers: Slab::new(),
            index: FxHashMap::default(),
            ready: vec![Vec::new(); classes],
            known_since: Micros::MAX,
            cold: Vec::new(),
            shut: vec![false; classes],
            weights: FxHashMap::default(),
            out_of_service: FxHashSet::default(),
            pins: FxHashMap::default(),
            version: 0,
            kind_slots: FxHashMap::default(),
            kind_ran: FxHashMap::default(),
            kind_queue: FxHashMap::default(),
            drained: LruCache::new(drained),
            bars: FxHashMap::default(),
            late_until: 0,
            hinted: 0,
            fit: FxHashMap::default(),
            missed: 0,
            mute: if tells_start { 0 } else { MUTE_AFTER },
            list_valid: true,
        }
    }

    /// Takes a list in; whether it changed anything.
    pub fn take_list(
        &mut self,
        kind: ListKind,
        entries: &[WorkerEntry],
        profiles: &mut Profiles,
        now: Micros,
    ) -> bool {
        let mut changed = false;
        self.known_since = self.known_since.min(now);
        if kind != ListKind::Delta {
            let named: FxHashSet<WorkerId> = entries.iter().map(|e| e.worker).collect();
            for (_, w) in self.workers.iter_mut().filter(|(_, w)| !named.contains(&w.entry.worker)) {
                w.entry.stage = Stage::Gone;
                changed = true;
            }
        }
        for e in entries.iter() {
            let Some(&w) = self.index.get(&e.worker) else {
                let seen = self.drained.get(&e.worker).is_some_and(|started| e.started <= *started);
                let drained = seen || e.stage == Stage::Draining;
                let new = Worker { drained, mute: self.mute, ..Worker::new(e.clone(), now) };
                if new.drained {
                    self.drained.put(e.worker, new.entry.started);
                }
                self.index.insert(e.worker, self.workers.insert(new));
                changed = true;
                continue;
            };
            let worker = &mut self.workers[w];
            changed |= worker.entry != *e;
            // An earlier start is that of an old list.
            if e.started > worker.entry.started {
                // A new process: what was known of the old one is void, but our jobs there are still out.
                let (out, out_slots, probing) = (worker.out, worker.out_slots, worker.probing);
                *worker = Worker { out, out_slots, probing, mute: self.mute, ..Worker::new(e.clone(), now) };
                profiles.forget(w);
                self.bars.retain(|lane, _| lane.0 != w);
            } else {
                worker.entry = WorkerEntry { started: worker.entry.started, ..e.clone() };
            }
            worker.drained |= e.stage == Stage::Draining;
            worker.unreached &= e.stage == Stage::Gone;
            if worker.drained {
                self.drained.put(e.worker, worker.entry.started);
            }
        }
        changed
    }

    /// Makes the lists of ready workers anew, and forgets those that have left and have nothing of ours.
    pub fn relist(&mut self, settings: &Settings, profiles: &mut Profiles, now: Micros, looking: bool) {
        self.workers.retain(|w, worker| {
            // Looks still name theirs by index. A cold one that leaves and comes back must not be given its budget again.
            let idle = worker.out == 0 && !worker.probing && worker.warmth(&settings.rules, now) >= 1.0;
            let stays = worker.entry.stage != Stage::Gone || worker.is_candidate(&settings.rules);
            let leaves = !stays && idle && !looking;
            if leaves {
                self.index.remove(&worker.entry.worker);
                self.bars.retain(|lane, _| lane.0 != w);
                profiles.forget(w);
            }
            !leaves
        });
        let valid = self.list_valid;
        let candidates = self.workers.iter().filter(|(_, w)| valid && w.is_candidate(&settings.rules));
        let all = candidates.clone().filter(|(_, w)| !self.out_of_service.contains(&w.entry.worker));
        let of = |c: &Class| all.clone().filter(|(_, w)| c.is_open_to(&w.entry)).map(|(ix, _)| ix).collect();
        self.ready = settings.classes.iter().map(of).collect();
        let any = |c: &Class| candidates.clone().any(|(_, w)| c.is_open_to(&w.entry));
        let classes = settings.classes.iter().zip(&self.ready);
        self.shut = classes.map(|(c, ready)| ready.is_empty() && any(c)).collect();
        let cold = all.filter(|(_, w)| w.warmth(&settings.rules, now) < 1.0);
        self.cold = cold.map(|(ix, _)| ix).collect();
        self.version += 1;
    }

    /// Takes over what operators have set; whether that changed anything.
    pub fn take_overrides(&mut self, set: &Overrides) -> bool {
        let weights = set.weights.iter().map(|(w, weight)| (*w, *weight as f32)).collect();
        let out_of_service = set.out_of_service.iter().copied().collect();
        let pins = set.pins.iter().map(|(class, tenant, w)| ((*class, *tenant), *w)).collect();
        let changed = (&self.weights, &self.out_of_service, &self.pins) != (&weights, &out_of_service, &pins);
        (self.weights, self.out_of_service, self.pins) = (weights, out_of_service, pins);
        changed
    }

    /// Slots that a worker of the kind has, as far as its like have shown: by reports, else by what ran there at once.
    pub fn slots_of(&self, kind: KindId) -> f64 {
        self.kind_slots.get(&kind).or_else(|| self.kind_ran.get(&kind)).copied().unwrap_or(1.0)
    }

    /// So many slots of own jobs ran at a worker at once.
    pub fn has_run(&mut self, ix: Ix, slots: f64) {
        let most = self.kind_ran.entry(self.workers[ix].entry.kind).or_insert(1.0);
        *most = most.max(slots);
    }

    /// What a worker's share is multiplied by.
    pub fn weight(&self, w: Ix) -> f32 {
        self.weights.get(&self.workers[w].entry.worker).copied().unwrap_or(1.0)
    }

    /// The worker that operators have pinned a request to, if it is known. A tenant's own pin comes first.
    pub fn pin(&self, request: &Request) -> Option<Ix> {
        let own = request.tenant.and_then(|t| self.pins.get(&(request.class, Some(t))));
        let pin = own.or_else(|| self.pins.get(&(request.class, None)))?;
        self.index.get(pin).copied()
    }

    /// Takes in what peers tell of a worker.
    pub fn heard_of(&mut self, worker: WorkerId, out: u32, refused: bool, now: Micros) {
        let Some(w) = self.index.get(&worker).and_then(|&ix| self.workers.get_mut(ix)) else { return };
        w.others = out;
        w.shunned = if refused { now + SHUNNED } else { w.shunned };
        self.hinted = now + HINTED;
    }

    /// Jobs of all dispatchers at the workers of a class, where peers or reports tell of those of others.
    pub fn crowd(&self, class: usize, now: Micros) -> Option<f64> {
        let all = self.ready[class].iter().map(|&w| &self.workers[w]);
        let told = now < self.hinted || all.clone().any(|w| w.foreign.is_some());
        told.then(|| all.map(Worker::crowd).sum::<f64>().max(1.0))
    }

    pub fn typical_slots(&mut self) {
        self.kind_slots.clear();
        for (_, w) in self.workers.iter().filter(|(_, w)| w.slots > 1.0 && w.entry.stage != Stage::Gone) {
            let least = self.kind_slots.entry(w.entry.kind).or_insert(w.slots);
            *least = least.min(w.slots);
        }
    }
}

/// An attempt that is out.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub number: AttemptNo,
    pub worker: Ix,
    pub sent: Micros,
    /// Last sign of it: its send or a note of progress.
    pub sign: Micros,
    pub place: (ZoneId, CellId),
    pub cancelled: bool,
    /// Jobs of all dispatchers that were there when it was sent, as far as known.
    pub crowd: f64,
    /// Its start is awaited.
    pub awaited: bool,
    /// Its start was told, and it counts in what runs at the worker.
    pub running: bool,
    /// Requests that the worker had in hand by a fresh report when this was sent.
    pub before: Option<f64>,
}

/// A request from its arrival until it is answered and its last attempt has ended.
#[derive(Clone, Debug)]
pub struct Job {
    pub request: Request,
    pub job_type: usize,
    pub arrived: Micros,
    pub attempts: u32,
    pub out: Vec<Attempt>,
    /// Where and when the first attempt that may have run was sent: it binds the later ones.
    pub doubt: Option<(ZoneId, CellId, Micros)>,
    /// Candidates of the looks so far, how many looks, and until when the last one waits for probes.
    pub seen: Vec<Ix>,
    pub looks: u32,
    pub looking: Option<Micros>,
    pub held: bool,
    pub done: bool,
    /// Workers that answered it with an error.
    pub failed: Vec<Ix>,
    /// It goes to other zones first: there is room.
    pub away: bool,
}

impl Job {
    /// A request that has just come in.
    pub fn new(request: Request, job_type: usize, now: Micros) -> Self {
        Job {
            request,
            job_type,
            arrived: now,
            attempts: 0,
            out: Vec::new(),
            doubt: None,
            seen: Vec::new(),
            looks: 0,
            looking: None,
            held: false,
            done: false,
            failed: Vec::new(),
            away: false,
        }
    }

    /// The client has this attempt's stream: it is not to be called back.
    pub fn keep(&mut self, number: AttemptNo) {
        if let Some(a) = self.attempt(number) {
            a.cancelled = true;
        }
    }

    /// An attempt that is out, by its number.
    pub fn attempt(&mut self, number: AttemptNo) -> Option<&mut Attempt> {
        self.out.iter_mut().find(|a| a.number == number)
    }
}

/// The median of all, and by kind.
pub fn medians(seen: &mut [(KindId, f32)]) -> (Option<f32>, Vec<(KindId, f32)>) {
    let median = |part: &mut [(KindId, f32)]| {
        let middle = part.len() / 2;
        part.select_nth_unstable_by(middle, |a, b| a.1.total_cmp(&b.1)).1 .1
    };
    let all = (!seen.is_empty()).then(|| median(seen));
    seen.sort_by_key(|s| s.0);
    let kinds = seen.chunk_by_mut(|a, b| a.0 == b.0);
    (all, kinds.map(|k| (k[0].0, median(k))).collect())
}

/// An event rate that looks back over a span, and the number of events that it rests on.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    pub count: f64,
    pub at: Micros,
}

impl Rate {
    pub fn count(&self, now: Micros) -> f64 {
        self.count * (-(now.saturating_sub(self.at) as f64 / 1e6) / RATE_SPAN_S).exp()
    }

    /// Events a second, less doubt: a rate that rests on few is known to their square root.
    pub fn at_least(&self, now: Micros) -> f64 {
        let count = self.count(now);
        (count - count.sqrt()).max(0.0) / RATE_SPAN_S
    }

    pub fn add(&mut self, now: Micros) {
        *self = Rate { count: self.count(now) + 1.0, at: now };
    }
}

/// The bars that a request can meet at a worker.
pub fn lanes(w: Ix, request: &Request) -> [Lane; 3] {
    let class = Some(request.class);
    [(w, None, None), (w, class, None), (w, class, request.tenant)]
}
