//! The state that decisions rest on, and its upkeep. What is concluded from it is in `src/balance.rs`.

use crate::api::*;
use crate::slow_start::Overdraft;
use lru::LruCache;
use rustc_hash::{FxHashMap, FxHashSet};
use slab::Slab;
use std::num::NonZeroUsize;

/// Served jobs that a profile looks back on, about. Long, since run times have heavy tails.
pub const PROFILE_WINDOW_JOBS: f32 = 24.0;
/// Weight of the borrowed median in a young profile, in jobs: damps the first few times measured.
pub const PRIOR_JOBS: f32 = 2.0;
/// What others hold at a worker follows what reports tell by this part; those are of about so long ago.
pub const FOREIGN_EWMA_WEIGHT: f64 = 0.3;
pub const REPORT_LAG: f64 = 1e6;
/// Seconds that a rate of requests looks back.
pub const RATE_WINDOW_S: f64 = 4.0;
/// By how much the own jobs that fit at a worker fall when one waited, and rise when one more began at once.
pub const LIMIT_DECREASE: f64 = 0.5;
pub const LIMIT_INCREASE: f64 = 0.25;
/// A worker that served so many jobs in a row without telling of their start tells of none.
pub const NO_START_NOTICE_AFTER: u32 = 3;
/// How long a refusal that a peer met keeps jobs away: the list tells of a drain within seconds.
const PEER_REFUSAL_HOLD: Micros = 1_000_000;
/// Hints that stop coming are gone by for so long.
pub const HINT_TTL: Micros = 1_000_000;

/// Index of a worker in `Fleet::workers`; it stays with a worker as long as that is remembered.
pub type WorkerIndex = usize;

/// The end of a job and the start of the next one in the same slot may be told in either order, within this.
const REORDER_WINDOW: Micros = 50_000;

/// Average response time of the served jobs of one type at one worker, and how many are out there now.
#[derive(Clone, Copy, Debug, Default)]
pub struct Profile {
    pub mean_response: f32,
    pub samples: f32,
    pub in_flight: u32,
    /// Weight / R̄, its own or borrowed: α before it is normalised. 0: not a ready worker of the kind.
    pub raw_share: f32,
    /// What operators multiply its share by; usually 1.
    pub weight: f32,
}

/// Profiles and shares of one job type.
#[derive(Debug, Default)]
pub struct JobType {
    pub profiles: Vec<Profile>,
    pub in_flight: u32,
    /// Sum and maximum of `inverse`.
    pub raw_share_sum: f32,
    pub raw_share_max: f32,
    /// When medians and sums were last taken, and the version of the list they were taken for.
    pub computed_for: Option<(Micros, u64)>,
    pub median: Option<f32>,
}

/// Concern 1, profiles and shares: R̄ by type and worker, and the gap n_i − α_i·n to sort by. Types are
/// numbered, the classes first.
#[derive(Debug)]
pub struct Profiles {
    pub job_types: Slab<JobType>,
    /// Jobs served of each key, and its type once they are enough.
    pub keys: LruCache<Key, (u32, Option<usize>)>,
}

impl JobType {
    pub fn profile_mut(&mut self, w: WorkerIndex) -> &mut Profile {
        if self.profiles.len() <= w {
            self.profiles.resize(w + 1, Profile::default());
        }
        &mut self.profiles[w]
    }

    /// Takes the response time of a served job into its average.
    pub fn record_response(&mut self, w: WorkerIndex, spent: Micros) {
        let borrowed = self.mean_response(w);
        let p = self.profile_mut(w);
        if p.samples == 0.0 {
            if let Some(median) = borrowed {
                (p.mean_response, p.samples) = (median as f32, PRIOR_JOBS);
            }
        }
        p.samples += 1.0;
        p.mean_response += (spent as f32 - p.mean_response) / p.samples.min(PROFILE_WINDOW_JOBS);
        if p.raw_share > 0.0 {
            let new = p.weight / p.mean_response.max(1.0);
            let change = new - std::mem::replace(&mut p.raw_share, new);
            self.raw_share_sum += change;
            self.raw_share_max = self.raw_share_max.max(new);
        }
    }

    /// R̄ at a worker, its own or borrowed.
    pub fn mean_response(&self, w: WorkerIndex) -> Option<f64> {
        let p = Some(self.profile(w)).filter(|p| p.raw_share > 0.0 && self.median.is_some());
        p.map(|p| f64::from(p.weight) / f64::from(p.raw_share))
    }

    /// Counts an attempt in or out.
    pub fn count_attempt(&mut self, w: WorkerIndex, sent: bool) {
        let p = self.profile_mut(w);
        p.in_flight = if sent { p.in_flight + 1 } else { p.in_flight.saturating_sub(1) };
        self.in_flight = if sent { self.in_flight + 1 } else { self.in_flight.saturating_sub(1) };
    }

    pub fn profile(&self, w: WorkerIndex) -> Profile {
        self.profiles.get(w).copied().unwrap_or_default()
    }
}

/// A bar that doubles with each symptom, until served jobs wear it down.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ejection {
    pub score: f64,
    pub until: Micros,
}

/// What is known of one worker.
#[derive(Clone, Debug, Default)]
pub struct Worker {
    pub entry: WorkerEntry,
    /// Its last start, by news of it; a start said to lie in the future counts from that news.
    pub started_at: Option<Micros>,
    /// Free slots by the last report, less own sends since, plus own jobs ended since.
    pub free_slots: Option<f64>,
    pub reported_at: Option<Micros>,
    pub queued: f64,
    /// Requests in hand by the last report.
    pub reported_in_flight: Option<f64>,
    /// Most slots it was ever seen to have: free ones plus jobs running.
    pub slots: f64,
    /// Size of the job that it last had no room for, and until when that bars jobs as large.
    pub full_until: Option<(f64, Micros)>,
    pub in_flight: u32,
    pub in_flight_slots: f64,
    /// Own jobs there that have not begun, where workers tell.
    pub unstarted: u32,
    /// Slots of own jobs there that were told to have begun, and when the last of them did.
    pub running_slots: f64,
    pub last_start: Micros,
    /// Jobs served in a row without word of their start: it may be one that does not tell.
    pub silent_starts: u32,
    /// Own jobs that it has room for at once, as learnt from how soon they began. Used where none reports.
    pub concurrency_limit: f64,
    /// When an own job was last served there, if none was sent since.
    pub last_served: Micros,
    /// It could not be reached: a probe must pass before a job goes there.
    pub unreachable: bool,
    /// This process was seen draining; it could not be reached since the list left it out.
    pub seen_draining: bool,
    pub failed_while_gone: bool,
    pub probing: bool,
    /// Probes that failed in a row.
    pub failed_probes: u32,
    /// Until when a connection to it stays open.
    pub connected_until: Micros,
    /// Jobs of peers there, by their hints, and until when a refusal that one met keeps jobs away.
    pub peer_jobs: u32,
    /// Slots that others hold there, averaged, where reports tell of free slots and not of who holds the rest.
    pub foreign_slots: Option<f64>,
    /// Own slots there, averaged over about the age of a report, and when that was last brought on.
    pub own_slots: (f64, Micros),
    pub avoid_until: Micros,
    /// What was sent there beyond this instance's part of its budget while it is cold.
    pub overdraft: Overdraft,
}

/// What a bar in `Fleet::bars` is for: a worker, a class there, or a tenant's jobs of a class there.
pub type EjectionScope = (WorkerIndex, Option<ClassId>, Option<TenantId>);

/// Concern 2, worker state: the list, reports, warmth and symptoms.
#[derive(Debug)]
pub struct Fleet {
    pub workers: Slab<Worker>,
    pub index: FxHashMap<WorkerId, WorkerIndex>,
    /// Ready workers of each class's kind, and how often these lists were made anew.
    pub ready: Vec<Vec<WorkerIndex>>,
    /// When the first list came: what was sent before is not known. `Micros::MAX`: none has come.
    pub known_since: Micros,
    /// Candidates that were cold when these lists were made.
    pub cold: Vec<WorkerIndex>,
    /// Classes whose every candidate is barred by operators.
    pub all_out_of_service: Vec<bool>,
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
    pub kind_concurrency: FxHashMap<KindId, f64>,
    /// How many waited, about, where a worker of the kind turned work away.
    pub kind_queue_limit: FxHashMap<KindId, f64>,
    /// Workers seen draining and when they had started: wrong lists may name them again. Bounded.
    pub recently_drained: LruCache<WorkerId, Option<Micros>>,
    /// Symptoms. Those that came in one class, or for one tenant of it, say nothing of the rest.
    pub ejections: FxHashMap<EjectionScope, Ejection>,
    /// Until when reports are held to be late: one of them lacked own jobs that it had to count.
    pub reports_late_until: Micros,
    /// Until when hints of peers are gone by: the last one is not long ago.
    pub hints_until: Micros,
    /// Jobs at once for each unit of a worker's size, by kind, as learnt from which began at once.
    pub jobs_per_size: FxHashMap<KindId, f64>,
    /// Reports in a row that lacked a job sent there a tick before.
    pub late_reports: u32,
    /// What a new worker's `mute` is: by the settings workers tell when jobs begin, or do not.
    silent_starts: u32,
}

impl Worker {
    pub fn new(entry: WorkerEntry, now: Micros) -> Self {
        let started_at = entry.started.map(|t| t.min(now));
        Worker { entry, started_at, slots: 1.0, concurrency_limit: 2.0, ..Worker::default() }
    }

    /// Part of its capacity that it has at least, from its start and the rules.
    pub fn warmth(&self, rules: &Rules, now: Micros) -> f64 {
        let Some(started_at) = self.started_at else { return 1.0 };
        let age = now.saturating_sub(started_at) as f64;
        let part = if rules.warm_up == 0 { 1.0 } else { age / rules.warm_up as f64 };
        (rules.cold_from + (1.0 - rules.cold_from) * part).min(1.0)
    }

    /// Its report is recent enough to go by. One of free slots alone goes into an average, which stands.
    pub fn has_fresh_report(&self, now: Micros, age: Micros) -> bool {
        self.foreign_slots.is_some() || self.reported_at.is_some_and(|at| now.saturating_sub(at) <= age)
    }

    /// Own jobs and those of peers there, by hints or reports.
    pub fn total_jobs(&self) -> f64 {
        f64::from(self.in_flight) + f64::from(self.peer_jobs).max(self.foreign_slots.unwrap_or(0.0))
    }

    /// An attempt goes there.
    pub fn record_send(&mut self, slots: f64, unstarted: bool, now: Micros, keepalive: Micros) {
        self.update_own_slots(now);
        self.unstarted += u32::from(unstarted);
        self.last_served = 0;
        self.in_flight += 1;
        self.in_flight_slots += slots;
        self.free_slots = self.free_slots.map(|f| f - slots);
        self.connected_until = self.connected_until.max(now + keepalive);
    }

    /// The start of an attempt there is awaited no longer.
    pub fn clear_unstarted(&mut self, attempt: &mut Attempt) {
        let counted = std::mem::take(&mut attempt.unstarted);
        self.unstarted = self.unstarted.saturating_sub(u32::from(counted));
    }

    /// An attempt there was told to have begun.
    pub fn record_start(&mut self, attempt: &mut Attempt, slots: f64, now: Micros) {
        if !std::mem::replace(&mut attempt.running, true) {
            self.running_slots += slots;
            self.last_start = now;
        }
    }

    /// An attempt there ends; the slots of own jobs that ran at once until now. `None`: it was not told to have begun, or
    /// another one has begun so lately that the two may have run one behind the other.
    pub fn record_stop(&mut self, attempt: &Attempt, slots: f64, now: Micros) -> Option<f64> {
        if !attempt.running {
            return None;
        }
        let at_once = self.running_slots;
        self.running_slots = (self.running_slots - slots).max(0.0);
        (now >= self.last_start + REORDER_WINDOW).then_some(at_once)
    }

    /// An attempt there ended.
    pub fn record_end(&mut self, slots: f64, now: Micros, keepalive: Micros) {
        self.update_own_slots(now);
        self.in_flight = self.in_flight.saturating_sub(1);
        self.in_flight_slots = (self.in_flight_slots - slots).max(0.0);
        self.free_slots = self.free_slots.map(|f| f + slots);
        self.connected_until = self.connected_until.max(now + keepalive);
    }

    /// An own job has begun there, at once or after a wait: how many of ours find room beside the others'?
    pub fn update_concurrency_limit(&mut self, waited: bool) {
        let running = f64::from(self.in_flight - self.unstarted.min(self.in_flight));
        if waited {
            self.concurrency_limit =
                (self.concurrency_limit.min(running) - LIMIT_DECREASE).max(LIMIT_DECREASE);
        } else if running + 1.0 > self.concurrency_limit {
            self.concurrency_limit += LIMIT_INCREASE;
        }
    }

    /// Brings the average of own slots on to this moment, before they change or a report is read.
    fn update_own_slots(&mut self, now: Micros) {
        let (own, since) = self.own_slots;
        let kept = (-(now.saturating_sub(since) as f64) / REPORT_LAG).exp();
        self.own_slots = (self.in_flight_slots + (own - self.in_flight_slots) * kept, now);
    }

    pub fn apply_report(&mut self, report: &Report, now: Micros) {
        if let Some(free) = report.free_slots.filter(|f| f.is_finite() && *f >= 0.0) {
            self.free_slots = Some(free);
            self.reported_at = Some(now);
            self.reported_in_flight = report.in_flight;
            let running = report.in_flight.zip(report.queued).map(|(h, w)| h - w).filter(|r| r.is_finite());
            self.slots = self.slots.max((free + running.unwrap_or(0.0)).round().min(1e6));
            self.full_until = self.full_until.filter(|(size, _)| free < *size);
            if report.in_flight.is_none() && report.queued.is_none() {
                self.update_own_slots(now);
                let (seen, average) =
                    ((self.slots - free - self.own_slots.0).max(0.0), self.foreign_slots.unwrap_or(0.0));
                self.foreign_slots = Some(average + (seen - average) * FOREIGN_EWMA_WEIGHT);
            }
        }
        if let Some(waiting) = report.queued.filter(|w| w.is_finite() && *w >= 0.0) {
            self.queued = waiting;
        }
    }
}

impl Profiles {
    /// The type of a job, by its key if that is known well enough.
    pub fn job_type(&self, class: ClassId, key: Option<&Key>) -> usize {
        key.and_then(|k| self.keys.peek(k)).and_then(|k| k.1).unwrap_or(class.0)
    }

    /// Counts a served job of a key. Memory stays bounded: the key unused longest is forgotten.
    pub fn count_key(&mut self, key: Key, min_jobs: u32) {
        let known = self.keys.get(&key).copied().unwrap_or((0, None));
        let count = known.0.saturating_add(1);
        let job_type =
            known.1.or_else(|| (count >= min_jobs).then(|| self.job_types.insert(JobType::default())));
        let old = self.keys.push(key.clone(), (count, job_type)).filter(|(k, _)| *k != key);
        if let Some(job_type) = old.and_then(|(_, (_, job_type))| job_type) {
            self.job_types.try_remove(job_type);
        }
    }

    /// Drops what was measured at a worker: it has left or started anew. Jobs still out stay counted.
    pub fn reset_worker(&mut self, w: WorkerIndex) {
        for p in self.job_types.iter_mut().filter_map(|(_, t)| t.profiles.get_mut(w)) {
            (p.mean_response, p.samples) = (0.0, 0.0);
        }
    }
}

impl Fleet {
    /// A fleet that nothing is known of yet, for so many classes, remembering so many drained workers.
    pub fn new(classes: usize, max_drained: NonZeroUsize, tells_start: bool) -> Self {
        Fleet {
            workers: Slab::new(),
            index: FxHashMap::default(),
            ready: vec![Vec::new(); classes],
            known_since: Micros::MAX,
            cold: Vec::new(),
            all_out_of_service: vec![false; classes],
            weights: FxHashMap::default(),
            out_of_service: FxHashSet::default(),
            pins: FxHashMap::default(),
            version: 0,
            kind_slots: FxHashMap::default(),
            kind_concurrency: FxHashMap::default(),
            kind_queue_limit: FxHashMap::default(),
            recently_drained: LruCache::new(max_drained),
            ejections: FxHashMap::default(),
            reports_late_until: 0,
            hints_until: 0,
            jobs_per_size: FxHashMap::default(),
            late_reports: 0,
            silent_starts: if tells_start { 0 } else { NO_START_NOTICE_AFTER },
            list_valid: true,
        }
    }

    /// Takes a list in; whether it changed anything.
    pub fn apply_list(
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
                let seen = self.recently_drained.get(&e.worker).is_some_and(|started| e.started <= *started);
                let seen_draining = seen || e.stage == Stage::Draining;
                let new = Worker {
                    seen_draining,
                    silent_starts: self.silent_starts,
                    ..Worker::new(e.clone(), now)
                };
                if new.seen_draining {
                    self.recently_drained.put(e.worker, new.entry.started);
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
                let (in_flight, in_flight_slots, probing) =
                    (worker.in_flight, worker.in_flight_slots, worker.probing);
                *worker = Worker {
                    in_flight,
                    in_flight_slots,
                    probing,
                    silent_starts: self.silent_starts,
                    ..Worker::new(e.clone(), now)
                };
                profiles.reset_worker(w);
                self.ejections.retain(|scope, _| scope.0 != w);
            } else {
                worker.entry = WorkerEntry { started: worker.entry.started, ..e.clone() };
            }
            worker.seen_draining |= e.stage == Stage::Draining;
            worker.failed_while_gone &= e.stage == Stage::Gone;
            if worker.seen_draining {
                self.recently_drained.put(e.worker, worker.entry.started);
            }
        }
        changed
    }

    /// Makes the lists of ready workers anew, and forgets those that have left and have nothing of ours.
    pub fn rebuild_ready(
        &mut self,
        settings: &Settings,
        profiles: &mut Profiles,
        now: Micros,
        selecting: bool,
    ) {
        self.workers.retain(|w, worker| {
            // Looks still name theirs by index. A cold one that leaves and comes back must not be given its budget again.
            let idle = worker.in_flight == 0 && !worker.probing && worker.warmth(&settings.rules, now) >= 1.0;
            let stays = worker.entry.stage != Stage::Gone || worker.is_candidate(&settings.rules);
            let leaves = !stays && idle && !selecting;
            if leaves {
                self.index.remove(&worker.entry.worker);
                self.ejections.retain(|scope, _| scope.0 != w);
                profiles.reset_worker(w);
            }
            !leaves
        });
        let valid = self.list_valid;
        let candidates = self.workers.iter().filter(|(_, w)| valid && w.is_candidate(&settings.rules));
        let all = candidates.clone().filter(|(_, w)| !self.out_of_service.contains(&w.entry.worker));
        let of =
            |c: &Class| all.clone().filter(|(_, w)| c.allows_worker(&w.entry)).map(|(ix, _)| ix).collect();
        self.ready = settings.classes.iter().map(of).collect();
        let any = |c: &Class| candidates.clone().any(|(_, w)| c.allows_worker(&w.entry));
        let classes = settings.classes.iter().zip(&self.ready);
        self.all_out_of_service = classes.map(|(c, ready)| ready.is_empty() && any(c)).collect();
        let cold = all.filter(|(_, w)| w.warmth(&settings.rules, now) < 1.0);
        self.cold = cold.map(|(ix, _)| ix).collect();
        self.version += 1;
    }

    /// Takes over what operators have set; whether that changed anything.
    pub fn apply_overrides(&mut self, set: &Overrides) -> bool {
        let weights = set.weights.iter().map(|(w, weight)| (*w, *weight as f32)).collect();
        let out_of_service = set.out_of_service.iter().copied().collect();
        let pins = set.pins.iter().map(|(class, tenant, w)| ((*class, *tenant), *w)).collect();
        let changed = (&self.weights, &self.out_of_service, &self.pins) != (&weights, &out_of_service, &pins);
        (self.weights, self.out_of_service, self.pins) = (weights, out_of_service, pins);
        changed
    }

    /// Slots that a worker of the kind has, as far as its like have shown: by reports, else by what ran there at once.
    pub fn slots_of_kind(&self, kind: KindId) -> f64 {
        self.kind_slots.get(&kind).or_else(|| self.kind_concurrency.get(&kind)).copied().unwrap_or(1.0)
    }

    /// So many slots of own jobs ran at a worker at once.
    pub fn record_concurrency(&mut self, ix: WorkerIndex, slots: f64) {
        let most = self.kind_concurrency.entry(self.workers[ix].entry.kind).or_insert(1.0);
        *most = most.max(slots);
    }

    /// What a worker's share is multiplied by.
    pub fn weight(&self, w: WorkerIndex) -> f32 {
        self.weights.get(&self.workers[w].entry.worker).copied().unwrap_or(1.0)
    }

    /// The worker that operators have pinned a request to, if it is known. A tenant's own pin comes first.
    pub fn pinned_worker(&self, request: &Request) -> Option<WorkerIndex> {
        let own = request.tenant.and_then(|t| self.pins.get(&(request.class, Some(t))));
        let pin = own.or_else(|| self.pins.get(&(request.class, None)))?;
        self.index.get(pin).copied()
    }

    /// Takes in what peers tell of a worker.
    pub fn apply_peer_hint(&mut self, worker: WorkerId, in_flight: u32, refused: bool, now: Micros) {
        let Some(w) = self.index.get(&worker).and_then(|&ix| self.workers.get_mut(ix)) else { return };
        w.peer_jobs = in_flight;
        w.avoid_until = if refused { now + PEER_REFUSAL_HOLD } else { w.avoid_until };
        self.hints_until = now + HINT_TTL;
    }

    /// Jobs of all dispatchers at the workers of a class, where peers or reports tell of those of others.
    pub fn class_jobs(&self, class: usize, now: Micros) -> Option<f64> {
        let all = self.ready[class].iter().map(|&w| &self.workers[w]);
        let others_known = now < self.hints_until || all.clone().any(|w| w.foreign_slots.is_some());
        others_known.then(|| all.map(Worker::total_jobs).sum::<f64>().max(1.0))
    }

    pub fn update_kind_slots(&mut self) {
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
    pub worker: WorkerIndex,
    pub sent: Micros,
    /// Last sign of it: its send or a note of progress.
    pub last_activity: Micros,
    pub place: (ZoneId, CellId),
    pub cancelled: bool,
    /// Jobs of all dispatchers that were there when it was sent, as far as known.
    pub jobs_at_send: f64,
    /// Its start is awaited.
    pub unstarted: bool,
    /// Its start was told, and it counts in what runs at the worker.
    pub running: bool,
    /// Requests that the worker had in hand by a fresh report when this was sent.
    pub reported_before: Option<f64>,
}

/// A request from its arrival until it is answered and its last attempt has ended.
#[derive(Clone, Debug)]
pub struct Job {
    pub request: Request,
    pub job_type: usize,
    pub arrived: Micros,
    pub attempt_count: u32,
    pub in_flight: Vec<Attempt>,
    /// Where and when the first attempt that may have run was sent: it binds the later ones.
    pub first_may_have_run: Option<(ZoneId, CellId, Micros)>,
    /// Candidates of the looks so far, how many looks, and until when the last one waits for probes.
    pub candidates: Vec<WorkerIndex>,
    pub rounds: u32,
    pub probing_until: Option<Micros>,
    pub queued: bool,
    pub done: bool,
    /// Workers that answered it with an error.
    pub failed_workers: Vec<WorkerIndex>,
    /// It goes to other zones first: there is room.
    pub prefers_other_zones: bool,
}

impl Job {
    /// A request that has just come in.
    pub fn new(request: Request, job_type: usize, now: Micros) -> Self {
        Job {
            request,
            job_type,
            arrived: now,
            attempt_count: 0,
            in_flight: Vec::new(),
            first_may_have_run: None,
            candidates: Vec::new(),
            rounds: 0,
            probing_until: None,
            queued: false,
            done: false,
            failed_workers: Vec::new(),
            prefers_other_zones: false,
        }
    }

    /// The client has this attempt's stream: it is not to be called back.
    pub fn mark_streaming(&mut self, number: AttemptNo) {
        if let Some(a) = self.attempt(number) {
            a.cancelled = true;
        }
    }

    /// An attempt that is out, by its number.
    pub fn attempt(&mut self, number: AttemptNo) -> Option<&mut Attempt> {
        self.in_flight.iter_mut().find(|a| a.number == number)
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
        self.count * (-(now.saturating_sub(self.at) as f64 / 1e6) / RATE_WINDOW_S).exp()
    }

    /// Events a second, less doubt: a rate that rests on few is known to their square root.
    pub fn lower_bound(&self, now: Micros) -> f64 {
        let count = self.count(now);
        (count - count.sqrt()).max(0.0) / RATE_WINDOW_S
    }

    pub fn add(&mut self, now: Micros) {
        *self = Rate { count: self.count(now) + 1.0, at: now };
    }
}

/// The bars that a request can meet at a worker.
pub fn ejection_scopes(w: WorkerIndex, request: &Request) -> [EjectionScope; 3] {
    let class = Some(request.class);
    [(w, None, None), (w, class, None), (w, class, request.tenant)]
}
