//! State that the decisions are based on, and its updates. The decisions themselves are in `src/balance.rs`.

use crate::api::*;
use crate::slow_start::Overdraft;
use lru::LruCache;
use rustc_hash::{FxHashMap, FxHashSet};
use slab::Slab;
use std::num::NonZeroUsize;

/// Approximate number of served jobs that a profile averages over. Large, because running times are
/// heavy-tailed.
pub const PROFILE_WINDOW_JOBS: f32 = 24.0;
/// Weight, in jobs, of the borrowed median in a new profile. Damps the first few measurements.
pub const PRIOR_JOBS: f32 = 2.0;
/// Weight of a new report in the average of the slots that others use at a worker. Own slots are averaged
/// over [`REPORT_LAG`], the approximate age of a report.
pub const FOREIGN_EWMA_WEIGHT: f64 = 0.3;
pub const REPORT_LAG: f64 = 1e6;
/// Seconds that a request rate averages over.
pub const RATE_WINDOW_S: f64 = 4.0;
/// How much the number of own jobs that a worker is assumed to take falls when a job had to wait, and rises
/// when one more job started at once.
pub const LIMIT_DECREASE: f64 = 0.5;
pub const LIMIT_INCREASE: f64 = 0.25;
/// Number of jobs in a row served without a start message after which a worker is assumed to send none.
pub const NO_START_NOTICE_AFTER: u32 = 3;
/// How long no jobs go to a worker that refused a peer's job. Long enough for the list to show a drain,
/// which takes seconds.
const PEER_REFUSAL_HOLD: Micros = 1_000_000;
/// How long the last hint from a peer is used.
pub const HINT_TTL: Micros = 1_000_000;

/// Index of a worker in `Fleet::workers`, valid as long as the worker is remembered.
pub type WorkerIndex = usize;

/// The messages for the end of a job and the start of the next one in the same slot may arrive in either
/// order within this time.
const REORDER_WINDOW: Micros = 50_000;

/// Average response time of one job type at one worker, and the number of its jobs in flight there.
#[derive(Clone, Copy, Debug, Default)]
pub struct Profile {
    pub mean_response: f32,
    pub samples: f32,
    pub in_flight: u32,
    /// Weight / R̄, measured or borrowed: the share α before normalisation. 0: not a ready worker of the
    /// kind.
    pub raw_share: f32,
    /// Factor that operators multiply its share by; 1 by default.
    pub weight: f32,
}

/// Profiles and shares of one job type.
#[derive(Debug, Default)]
pub struct JobType {
    pub profiles: Vec<Profile>,
    pub in_flight: u32,
    /// Sum and maximum of `raw_share` over all workers.
    pub raw_share_sum: f32,
    pub raw_share_max: f32,
    /// When medians and sums were last computed, and the version of the list they were computed for.
    pub computed_for: Option<(Micros, u64)>,
    pub median: Option<f32>,
}

/// Concern 1, profiles and shares: mean response time R̄ by job type and worker, and the gap n_i − α_i·n
/// that workers are sorted by. The first job types are the classes.
#[derive(Debug)]
pub struct Profiles {
    pub job_types: Slab<JobType>,
    /// Number of jobs served per key, and the key's own job type once that number is large enough.
    pub keys: LruCache<Key, (u32, Option<usize>)>,
}

impl JobType {
    pub fn profile_mut(&mut self, w: WorkerIndex) -> &mut Profile {
        if self.profiles.len() <= w {
            self.profiles.resize(w + 1, Profile::default());
        }
        &mut self.profiles[w]
    }

    /// Adds the response time of a served job to the average.
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

    /// R̄ at a worker, measured or borrowed.
    pub fn mean_response(&self, w: WorkerIndex) -> Option<f64> {
        let p = Some(self.profile(w)).filter(|p| p.raw_share > 0.0 && self.median.is_some());
        p.map(|p| f64::from(p.weight) / f64::from(p.raw_share))
    }

    /// Counts an attempt that was sent or has ended.
    pub fn count_attempt(&mut self, w: WorkerIndex, sent: bool) {
        let p = self.profile_mut(w);
        p.in_flight = if sent { p.in_flight + 1 } else { p.in_flight.saturating_sub(1) };
        self.in_flight = if sent { self.in_flight + 1 } else { self.in_flight.saturating_sub(1) };
    }

    pub fn profile(&self, w: WorkerIndex) -> Profile {
        self.profiles.get(w).copied().unwrap_or_default()
    }
}

/// Temporary exclusion of a worker. Its duration doubles with each failure; served jobs lower the score.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ejection {
    pub score: f64,
    pub until: Micros,
}

/// What is known of one worker.
#[derive(Clone, Debug, Default)]
pub struct Worker {
    pub entry: WorkerEntry,
    /// When it last started. A start time in the future is replaced by the time of the message that gave it.
    pub started_at: Option<Micros>,
    /// Free slots by the last report, less own sends and plus own jobs ended since.
    pub free_slots: Option<f64>,
    pub reported_at: Option<Micros>,
    pub queued: f64,
    /// Requests in flight there by the last report.
    pub reported_in_flight: Option<f64>,
    /// The most slots it was ever seen to have: free slots plus running jobs.
    pub slots: f64,
    /// Size of the last job that it had no room for, and until when no job of that size or larger is sent.
    pub full_until: Option<(f64, Micros)>,
    pub in_flight: u32,
    pub in_flight_slots: f64,
    /// Own jobs there that have not started, where workers report starts.
    pub unstarted: u32,
    /// Slots of own jobs there that were reported as started, and the time of the last start.
    pub running_slots: f64,
    pub last_start: Micros,
    /// Jobs served in a row without a start message. Above a limit the worker is assumed to send none.
    pub unannounced_starts: u32,
    /// Number of own jobs that it takes at once, learnt from how soon jobs started. Used if workers send no
    /// reports.
    pub concurrency_limit: f64,
    /// When an own job was last served there; 0 after a send.
    pub last_served: Micros,
    /// It could not be reached: a probe must succeed before a job is sent.
    pub unreachable: bool,
    /// This process was seen draining.
    pub seen_draining: bool,
    /// A connection to it failed after the list left it out.
    pub failed_while_gone: bool,
    pub probing: bool,
    /// Consecutive failed probes.
    pub failed_probes: u32,
    /// Until when a connection to it stays open.
    pub connected_until: Micros,
    /// Jobs of peers there, by their hints.
    pub peer_jobs: u32,
    /// Average number of slots that others use there, where reports give free slots but not who uses the
    /// rest.
    pub foreign_slots: Option<f64>,
    /// Own slots in use there, averaged over about the age of a report, and the time of the last update.
    pub own_slots: (f64, Micros),
    /// Until when no jobs go there, after it refused a peer's job.
    pub avoid_until: Micros,
    /// What was sent there beyond this instance's part of the budget while the worker is cold.
    pub overdraft: Overdraft,
}

/// What an entry of `Fleet::ejections` applies to: a worker, a class there, or a tenant's jobs of a class
/// there.
pub type EjectionScope = (WorkerIndex, Option<ClassId>, Option<TenantId>);

/// Concern 2, worker state: the list, reports, warm-up and failures.
#[derive(Debug)]
pub struct Fleet {
    pub workers: Slab<Worker>,
    pub index: FxHashMap<WorkerId, WorkerIndex>,
    /// Ready workers that each class may be sent to. `version` counts how often these lists were rebuilt.
    pub ready: Vec<Vec<WorkerIndex>>,
    /// When the first list arrived; what an earlier process sent is unknown. `Micros::MAX`: no list yet.
    pub known_since: Micros,
    /// Candidates that were cold when these lists were built.
    pub cold: Vec<WorkerIndex>,
    /// Classes whose candidates are all out of service.
    pub all_out_of_service: Vec<bool>,
    /// Overrides set by operators, by worker id, so that they survive changes of the list.
    pub weights: FxHashMap<WorkerId, f32>,
    pub out_of_service: FxHashSet<WorkerId>,
    pub pins: FxHashMap<(ClassId, Option<TenantId>), WorkerId>,
    pub version: u64,
    /// Whether the list may be acted on.
    pub list_valid: bool,
    /// The smallest slot count seen at the workers of a kind. Stands in for a restarted worker, which has
    /// shown few slots itself.
    pub kind_slots: FxHashMap<KindId, f64>,
    /// The most slots of own jobs seen running at once at a worker of the kind, where workers report starts.
    /// A lower bound of its slots, used if there are no reports.
    pub kind_concurrency: FxHashMap<KindId, f64>,
    /// Average queue length at which a worker of the kind rejected work.
    pub kind_queue_limit: FxHashMap<KindId, f64>,
    /// Workers seen draining and when they had started, since outdated lists may name them again. Bounded.
    pub recently_drained: LruCache<WorkerId, Option<Micros>>,
    /// Workers ejected after failures. Failures in one class, or for one tenant in it, do not affect others.
    pub ejections: FxHashMap<EjectionScope, Ejection>,
    /// Until when reports are ignored as late, because one of them lacked own jobs that it had to count.
    pub reports_late_until: Micros,
    /// Until when hints from peers are used.
    pub hints_until: Micros,
    /// Jobs that run at once per unit of a worker's size, by kind, learnt from jobs that started without a
    /// wait.
    pub jobs_per_size: FxHashMap<KindId, f64>,
    /// Consecutive reports that lacked a job sent there a tick earlier.
    pub late_reports: u32,
    /// Initial `unannounced_starts` of a new worker, which depends on whether the settings say that workers
    /// report starts.
    unannounced_starts: u32,
}

impl Worker {
    pub fn new(entry: WorkerEntry, now: Micros) -> Self {
        let started_at = entry.started.map(|t| t.min(now));
        Worker { entry, started_at, slots: 1.0, concurrency_limit: 2.0, ..Worker::default() }
    }

    /// Lower bound of the fraction of its capacity that it has, by its age and the rules.
    pub fn warmth(&self, rules: &Rules, now: Micros) -> f64 {
        let Some(started_at) = self.started_at else { return 1.0 };
        let age = now.saturating_sub(started_at) as f64;
        let part = if rules.warm_up == 0 { 1.0 } else { age / rules.warm_up as f64 };
        (rules.cold_from + (1.0 - rules.cold_from) * part).min(1.0)
    }

    /// Whether its report is recent enough to be used. Reports of free slots only feed an average, which
    /// does not expire.
    pub fn has_fresh_report(&self, now: Micros, age: Micros) -> bool {
        self.foreign_slots.is_some() || self.reported_at.is_some_and(|at| now.saturating_sub(at) <= age)
    }

    /// Own jobs there, plus those of others by hints or reports.
    pub fn total_jobs(&self) -> f64 {
        f64::from(self.in_flight) + f64::from(self.peer_jobs).max(self.foreign_slots.unwrap_or(0.0))
    }

    /// Counts an attempt that is sent there.
    pub fn record_send(&mut self, slots: f64, unstarted: bool, now: Micros, keepalive: Micros) {
        self.update_own_slots(now);
        self.unstarted += u32::from(unstarted);
        self.last_served = 0;
        self.in_flight += 1;
        self.in_flight_slots += slots;
        self.free_slots = self.free_slots.map(|f| f - slots);
        self.connected_until = self.connected_until.max(now + keepalive);
    }

    /// Stops waiting for the start of an attempt.
    pub fn clear_unstarted(&mut self, attempt: &mut Attempt) {
        let counted = std::mem::take(&mut attempt.unstarted);
        self.unstarted = self.unstarted.saturating_sub(u32::from(counted));
    }

    /// Counts an attempt that was reported as started.
    pub fn record_start(&mut self, attempt: &mut Attempt, slots: f64, now: Micros) {
        if !std::mem::replace(&mut attempt.running, true) {
            self.running_slots += slots;
            self.last_start = now;
        }
    }

    /// Counts the end of a started attempt, and returns the slots of own jobs that ran at once until now.
    /// `None`: its start was not reported, or another job started so recently that the two may have run one
    /// after the other.
    pub fn record_stop(&mut self, attempt: &Attempt, slots: f64, now: Micros) -> Option<f64> {
        if !attempt.running {
            return None;
        }
        let at_once = self.running_slots;
        self.running_slots = (self.running_slots - slots).max(0.0);
        (now >= self.last_start + REORDER_WINDOW).then_some(at_once)
    }

    /// Counts the end of an attempt there.
    pub fn record_end(&mut self, slots: f64, now: Micros, keepalive: Micros) {
        self.update_own_slots(now);
        self.in_flight = self.in_flight.saturating_sub(1);
        self.in_flight_slots = (self.in_flight_slots - slots).max(0.0);
        self.free_slots = self.free_slots.map(|f| f + slots);
        self.connected_until = self.connected_until.max(now + keepalive);
    }

    /// Updates the number of own jobs that the worker takes at once, after a job has started with or without
    /// a wait.
    pub fn update_concurrency_limit(&mut self, waited: bool) {
        let running = f64::from(self.in_flight - self.unstarted.min(self.in_flight));
        if waited {
            self.concurrency_limit =
                (self.concurrency_limit.min(running) - LIMIT_DECREASE).max(LIMIT_DECREASE);
        } else if running + 1.0 > self.concurrency_limit {
            self.concurrency_limit += LIMIT_INCREASE;
        }
    }

    /// Advances the average of own slots to now, before they change or a report is read.
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
    /// The job type of a job: that of its key if enough jobs of the key were served, else that of its class.
    pub fn job_type(&self, class: ClassId, key: Option<&Key>) -> usize {
        key.and_then(|k| self.keys.peek(k)).and_then(|k| k.1).unwrap_or(class.0)
    }

    /// Counts a served job of a key. The least recently used key is evicted, so memory stays bounded.
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

    /// Drops the measurements of a worker that has left or restarted. Jobs still in flight stay counted.
    pub fn reset_worker(&mut self, w: WorkerIndex) {
        for p in self.job_types.iter_mut().filter_map(|(_, t)| t.profiles.get_mut(w)) {
            (p.mean_response, p.samples) = (0.0, 0.0);
        }
    }
}

impl Fleet {
    /// An empty fleet for this many classes, which remembers at most `max_drained` drained workers.
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
            unannounced_starts: if tells_start { 0 } else { NO_START_NOTICE_AFTER },
            list_valid: true,
        }
    }

    /// Applies a list; returns whether anything changed.
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
                    unannounced_starts: self.unannounced_starts,
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
            // An earlier start time means that the list is outdated.
            if e.started > worker.entry.started {
                // A new process: what was known of the old one is void, but our jobs there are still in
                // flight.
                let (in_flight, in_flight_slots, probing) =
                    (worker.in_flight, worker.in_flight_slots, worker.probing);
                *worker = Worker {
                    in_flight,
                    in_flight_slots,
                    probing,
                    unannounced_starts: self.unannounced_starts,
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

    /// Rebuilds the lists of ready workers, and removes workers that have left and have none of our jobs.
    pub fn rebuild_ready(
        &mut self,
        settings: &Settings,
        profiles: &mut Profiles,
        now: Micros,
        selecting: bool,
    ) {
        self.workers.retain(|w, worker| {
            // Selections in progress refer to workers by index. A cold worker that leaves and returns must
            // not get its budget again.
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

    /// Applies the operators' overrides; returns whether anything changed.
    pub fn apply_overrides(&mut self, set: &Overrides) -> bool {
        let weights = set.weights.iter().map(|(w, weight)| (*w, *weight as f32)).collect();
        let out_of_service = set.out_of_service.iter().copied().collect();
        let pins = set.pins.iter().map(|(class, tenant, w)| ((*class, *tenant), *w)).collect();
        let changed = (&self.weights, &self.out_of_service, &self.pins) != (&weights, &out_of_service, &pins);
        (self.weights, self.out_of_service, self.pins) = (weights, out_of_service, pins);
        changed
    }

    /// Slots of a worker of the kind: the number seen in reports, else the number of slots seen running at
    /// once.
    pub fn slots_of_kind(&self, kind: KindId) -> f64 {
        self.kind_slots.get(&kind).or_else(|| self.kind_concurrency.get(&kind)).copied().unwrap_or(1.0)
    }

    /// Records the slots of own jobs that ran at a worker at once.
    pub fn record_concurrency(&mut self, ix: WorkerIndex, slots: f64) {
        let most = self.kind_concurrency.entry(self.workers[ix].entry.kind).or_insert(1.0);
        *most = most.max(slots);
    }

    /// Factor that operators multiply a worker's share by.
    pub fn weight(&self, w: WorkerIndex) -> f32 {
        self.weights.get(&self.workers[w].entry.worker).copied().unwrap_or(1.0)
    }

    /// The worker that operators have pinned a request to, if it is known. A tenant's pin overrides that of
    /// the class.
    pub fn pinned_worker(&self, request: &Request) -> Option<WorkerIndex> {
        let own = request.tenant.and_then(|t| self.pins.get(&(request.class, Some(t))));
        let pin = own.or_else(|| self.pins.get(&(request.class, None)))?;
        self.index.get(pin).copied()
    }

    /// Applies a peer's hint about a worker.
    pub fn apply_peer_hint(&mut self, worker: WorkerId, in_flight: u32, refused: bool, now: Micros) {
        let Some(w) = self.index.get(&worker).and_then(|&ix| self.workers.get_mut(ix)) else { return };
        w.peer_jobs = in_flight;
        w.avoid_until = if refused { now + PEER_REFUSAL_HOLD } else { w.avoid_until };
        self.hints_until = now + HINT_TTL;
    }

    /// Jobs of all dispatchers at the workers of a class, if hints or reports tell of the jobs of others.
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

/// An attempt in flight.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub number: AttemptNo,
    pub worker: WorkerIndex,
    pub sent: Micros,
    /// Time of its send or last progress message.
    pub last_activity: Micros,
    pub place: (ZoneId, CellId),
    pub cancelled: bool,
    /// Jobs of all dispatchers known to be at the worker when it was sent.
    pub jobs_at_send: f64,
    /// Its start has not been reported yet.
    pub unstarted: bool,
    /// Its start was reported; it counts in the worker's `running_slots`.
    pub running: bool,
    /// Requests in flight at the worker by a fresh report when this attempt was sent.
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
    /// Place and time of the first attempt that may have run. Restricts where a repeat may go.
    pub first_may_have_run: Option<(ZoneId, CellId, Micros)>,
    /// Candidates considered so far, the number of selection rounds, and until when the current round waits
    /// for probes.
    pub candidates: Vec<WorkerIndex>,
    pub rounds: u32,
    pub probing_until: Option<Micros>,
    pub queued: bool,
    pub done: bool,
    /// Workers that answered it with an error.
    pub failed_workers: Vec<WorkerIndex>,
    /// Other zones come first, because they have room.
    pub prefers_other_zones: bool,
}

impl Job {
    /// A request that has just arrived.
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

    /// This attempt's response is streaming to the client: it must not be cancelled.
    pub fn mark_streaming(&mut self, number: AttemptNo) {
        if let Some(a) = self.attempt(number) {
            a.cancelled = true;
        }
    }

    /// Finds an attempt in flight by its number.
    pub fn attempt(&mut self, number: AttemptNo) -> Option<&mut Attempt> {
        self.in_flight.iter_mut().find(|a| a.number == number)
    }
}

/// The median over all workers, and per kind.
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

/// An exponentially decaying event rate, with the number of events that it is based on.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    pub count: f64,
    pub at: Micros,
}

impl Rate {
    pub fn count(&self, now: Micros) -> f64 {
        self.count * (-(now.saturating_sub(self.at) as f64 / 1e6) / RATE_WINDOW_S).exp()
    }

    /// Lower bound of events per second: a count of n events is uncertain by √n.
    pub fn lower_bound(&self, now: Micros) -> f64 {
        let count = self.count(now);
        (count - count.sqrt()).max(0.0) / RATE_WINDOW_S
    }

    pub fn add(&mut self, now: Micros) {
        *self = Rate { count: self.count(now) + 1.0, at: now };
    }
}

/// The ejections that can apply to a request at a worker.
pub fn ejection_scopes(w: WorkerIndex, request: &Request) -> [EjectionScope; 3] {
    let class = Some(request.class);
    [(w, None, None), (w, class, None), (w, class, request.tenant)]
}
