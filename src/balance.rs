//! All decisions of lineroute. The interface (settings, events, actions) is `src/api.rs`;
//! `src/state.rs` holds the types of the state and their upkeep.
//! Read in this order: [`Profiles`] (response times, shares, gaps), [`Fleet`] (what is known of each
//! worker: list, report, warmth, symptoms), [`Admission`] (whom to refuse when capacity is short), and
//! [`Balancer`] (a request's life; `may_send` is the one gate that every send passes).

use crate::admission::Admission;
use crate::api::*;
use crate::slow_start::ColdBudget;
use crate::state::*;
use fastrand::Rng;
use lru::LruCache;
use rustc_hash::FxHashMap;
use std::{cmp::Ordering, collections::BTreeSet, num::NonZeroUsize, sync::Arc};

/// A key is a type of its own after so many served jobs; until then its class stands for it.
const KEY_TYPE_MIN_JOBS: u32 = 16;
/// Keys remembered; the one unused longest gives way.
const MAX_KEYS: NonZeroUsize = NonZeroUsize::new(256).unwrap();
/// Drained workers remembered, so that an old list can't bring them back.
const MAX_DRAINED: NonZeroUsize = NonZeroUsize::new(1024).unwrap();
/// Candidates of a look: fifteen of sixteen find a free slot where half of the workers are busy.
const ROUND_CANDIDATES: usize = 4;
/// Looks before a request goes where no slot was seen free. With `LOOK` it is the probe budget of a request.
const MAX_ROUNDS: u32 = 3;
/// Draws for the candidates of a look, before all workers are gone through.
const MAX_DRAWS: usize = 32;
/// Symptoms stop growing here: bars double up to 2^5 times the first.
const MAX_EJECTION_SCORE: f64 = 6.0;
/// The longest first bar, in usual response times: no worker is done without for good.
const MAX_BASE_EJECTION: f64 = 16.0;
/// Held requests are looked at so many times in the shortest aim.
const TICKS_PER_AIM: Micros = 4;
/// A job is overdue when nothing came of it for so many usual response times, or 1.25 progress intervals.
const OVERDUE_FACTOR: f64 = 2.5;
/// The same in slacks, where it must be called back first; the second where no start is told: waits count in.
const OVERDUE_SLACKS: [f64; 2] = [5.0, 8.0];
/// A job that may be repeated, and waits longer than this part of what it can afford, gets a copy elsewhere.
const START_WAIT_DIVISOR: Micros = 6;
/// Reports by probe alone are renewed seldom: one younger than this part of a response time still stands.
const REPORT_AGE_FRACTION: f64 = 0.5;
/// A tail's worth is gone at so many times its slack: that part may wait long.
const TAIL_SLACK_FACTOR: f64 = 5.0;
/// A request that so many workers answered with an error fails anywhere.
const MAX_FAILED_WORKERS: usize = 3;
/// Room left at a worker for what is not known of others' jobs there, in slots.
const FOREIGN_SLOT_MARGIN: f64 = 0.5;
/// Held jobs wait this many slacks, over their worth, for later ones. Guards short ones in a shortage.
const QUEUE_SLACKS: f64 = 4.0;
/// An instance has little traffic when so many times its open requests are fewer than the workers.
const LOW_TRAFFIC_RATIO: usize = 4;
/// So many reports in a row without the job that was sent there a tick before are no chance.
const MAX_LATE_REPORTS: u32 = 2;
/// A broken connection may be alone in that: it is this part of a symptom. Dead: so many probes have failed.
const DISCONNECT_SCORE: f64 = 0.4;
const DEAD_AFTER_PROBES: u32 = 2;
/// A job that waited there says that a worker is full for this part of its wait: slots may be free then.
const FULL_WAIT_DIVISOR: Micros = 4;
/// So many times what was held to fit at a worker of a size began at once: then more fit by that factor.
const FIT_EXCESS: f64 = 1.5;
const FIT_GROWTH: f64 = 1.1;
/// A job waits for room by hints until this part of the time to its deadline is left.
const HINT_DEADLINE_DIVISOR: Micros = 4;
/// A job leaves a slot to those that earn so many times as much by it, for this part of its slack.
const YIELD_WORTH_RATIO: f64 = 2.0;
const YIELD_SLACK_DIVISOR: Micros = 3;
/// Reports stay set aside for so many usual response times after the last one caught late.
const LATE_REPORT_HOLD: f64 = 4.0;

/// The wait after a failed list: for each instance, and at most. A change is told 6 s after it could be had.
const SUBSCRIBE_BACKOFF: (Micros, Micros) = (120_000, 2_000_000);

impl JobType {
    /// n_i − α_i·n and −α_i: the design's order is from the smallest up.
    fn gap(&self, w: WorkerIndex) -> (f32, f32) {
        let p = self.profile(w);
        let share = p.raw_share / self.raw_share_sum.max(f32::MIN_POSITIVE);
        (p.in_flight as f32 - share * self.in_flight as f32, -share)
    }

    /// Takes shares anew: unseen workers borrow the median of their kind, else of all.
    fn recompute_shares(&mut self, ready: &[WorkerIndex], fleet: &Fleet) {
        let mut seen: Vec<(KindId, f32)> = Vec::new();
        for &w in ready {
            let p = self.profile_mut(w);
            if p.samples > 0.0 {
                seen.push((fleet.workers[w].entry.kind, p.mean_response.max(1.0)));
            }
        }
        let (all, kinds) = medians(&mut seen);
        self.median = all;
        self.profiles.iter_mut().for_each(|p| p.raw_share = 0.0);
        (self.raw_share_sum, self.raw_share_max) = (0.0, 0.0);
        for &w in ready {
            let kind = fleet.workers[w].entry.kind;
            let borrowed = kinds.iter().find(|k| k.0 == kind).map(|k| k.1).or(self.median);
            let p = &mut self.profiles[w];
            p.weight = fleet.weight(w);
            p.raw_share =
                p.weight / if p.samples > 0.0 { p.mean_response } else { borrowed.unwrap_or(1.0) }.max(1.0);
            self.raw_share_sum += p.raw_share;
            self.raw_share_max = self.raw_share_max.max(p.raw_share);
        }
    }
}

impl Class {
    /// Rule 6: the kinds and zones that the class may go to.
    pub fn allows_worker(&self, e: &WorkerEntry) -> bool {
        self.kind.is_none_or(|k| k == e.kind)
            && self.zones.as_ref().is_none_or(|zones| zones.contains(&e.zone))
            && self.kinds.as_ref().is_none_or(|kinds| kinds.contains(&e.kind))
    }
}

impl Worker {
    /// Rules 3 and 7. Where only draining binds, lists prove little, being old, shrunken or empty: a drain
    /// once seen binds the process whatever they say, and one left out stays until it could not be reached.
    pub fn is_candidate(&self, rules: &Rules) -> bool {
        match self.entry.stage {
            Stage::Ready => !(rules.dropped_stay_open && self.seen_draining),
            Stage::Draining => false,
            Stage::Gone => rules.dropped_stay_open && !self.seen_draining && !self.failed_while_gone,
        }
    }

    /// The design's availability: its slots are free by the report, else no job as large was refused lately.
    fn has_free_slots(&self, slots: f64, now: Micros, late: bool) -> bool {
        // Free slots are for those that wait already; own jobs out take slots, whatever an old report says.
        let free = |free: f64| if late { self.slots } else { free - self.queued.round() };
        let left = self.free_slots.map(|f| free(f).min(self.slots - self.in_flight_slots));
        if let Some(foreign) = self.foreign_slots {
            return !self.recently_rejected(slots, now)
                && self.in_flight_slots + foreign + slots <= self.slots + FOREIGN_SLOT_MARGIN;
        }
        // Without reports: a job that has not begun waits for a slot.
        let waits = self.free_slots.is_none()
            && self.silent_starts < NO_START_NOTICE_AFTER
            && (self.unstarted > 0 || f64::from(self.in_flight) >= self.concurrency_limit);
        !waits && !self.recently_rejected(slots, now) && left.is_none_or(|left| left + 0.25 >= slots)
    }

    fn recently_rejected(&self, slots: f64, now: Micros) -> bool {
        self.full_until.is_some_and(|(size, until)| slots >= size && now < until)
    }

    /// Wait of a job sent there now: what stands before it, at one slot's turn `r` for all its slots.
    fn expected_wait(&self, slots: f64, r: f64, late: bool) -> f64 {
        if late {
            return (self.in_flight_slots + slots - self.slots).max(0.0) * r / self.slots;
        }
        (self.queued + self.free_slots.map_or(0.0, |free| slots - free).max(0.0)) * r / self.slots
    }
}

impl Fleet {
    /// Whether peers' hints leave no room at a worker beside so many slots to be left.
    fn is_full_by_hints(&self, w: WorkerIndex, left: f64, now: Micros) -> bool {
        let worker = &self.workers[w];
        let full = worker.entry.size > 0.0 && worker.total_jobs() + 0.5 + left > self.fit_limit(w);
        now < self.hints_until && (now < worker.avoid_until || full)
    }

    /// Jobs that fit there at once, as learnt of its kind.
    fn fit_limit(&self, w: WorkerIndex) -> f64 {
        let entry = &self.workers[w].entry;
        (entry.size * self.jobs_per_size.get(&entry.kind).copied().unwrap_or(1.0)).max(1.0)
    }

    /// A job began at once beside so many others, far more than were held to fit: more do.
    fn update_fit(&mut self, w: WorkerIndex, jobs_there: f64) {
        if self.workers[w].entry.size > 0.0 && jobs_there > self.fit_limit(w) * FIT_EXCESS {
            *self.jobs_per_size.entry(self.workers[w].entry.kind).or_insert(1.0) *= FIT_GROWTH;
        }
    }

    /// Trusted, or due for a trial: one job at a time while any suspicion is left.
    fn is_trusted(&self, w: WorkerIndex, request: &Request, now: Micros) -> bool {
        let free = |ejection: &Ejection| {
            ejection.score < 1.0 || now >= ejection.until && self.workers[w].in_flight == 0
        };
        self.ejections.is_empty()
            || ejection_scopes(w, request).iter().all(|scope| self.ejections.get(scope).is_none_or(free))
    }

    fn record_failure(&mut self, scope: EjectionScope, part: f64, base: f64, now: Micros) {
        // Two classes in a row speak of the worker: one that drains, say, before the list tells.
        let other = self.ejections.iter().any(|(s, _)| s.0 == scope.0 && s.1.is_some() && s.1 != scope.1);
        let scope = if other { (scope.0, None, None) } else { scope };
        let ejection = self.ejections.entry(scope).or_default();
        ejection.score = (ejection.score + part).min(MAX_EJECTION_SCORE);
        ejection.until = ejection.until.max(now + (base * 2f64.powf(ejection.score - 1.0)) as Micros);
    }

    fn record_success(&mut self, w: WorkerIndex, request: &Request) {
        let scopes = ejection_scopes(w, request);
        self.ejections.retain(|scope, ejection| {
            ejection.score -= f64::from(u8::from(scopes.contains(scope)));
            ejection.score >= 1.0
        });
    }
}

fn first_backoff(settings: &Settings) -> Micros {
    (Micros::from(settings.instances.max(1)) * SUBSCRIBE_BACKOFF.0).min(SUBSCRIBE_BACKOFF.1)
}

/// Concern 3, the request life cycle, and the whole. A send is decided by `settle`, and passes `may_send`.
#[derive(Debug)]
pub struct Balancer {
    settings: Settings,
    now: Micros,
    actions: Vec<Action>,
    rng: Rng,
    /// Decides in which spans this instance may send to which cold worker.
    cold_seed: u64,
    profiles: Profiles,
    fleet: Fleet,
    admission: Admission,
    jobs: FxHashMap<RequestId, Job>,
    queued: Vec<RequestId>,
    awaiting_probes: Vec<RequestId>,
    open_requests: usize,
    tick: Micros,
    wake_at: Micros,
    next_due: Micros,
    subscribe_at: Option<Micros>,
    subscribe_backoff: Micros,
    /// Usual response time by class, over all workers; the longest is the unit of bars.
    class_response: Vec<f64>,
    least_class_response: Vec<f64>,
    usual_response: f64,
}

impl Balancer {
    /// An instance that knows nothing yet; the seed decides its random choices.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let aim = settings.classes.iter().map(|c| c.aim).min().unwrap_or(1);
        let ask = settings.discovery == Discovery::Subscribe;
        let no_reports = settings.report_source == ReportSource::None;
        let zone_recovery =
            settings.tail_slack.filter(|_| settings.tells_start).map(|part| part * TAIL_SLACK_FACTOR);
        let zone_recovery = zone_recovery.or(no_reports.then_some(1.0));
        let mut rng = Rng::with_seed(seed);
        let job_types = (0..settings.classes.len()).map(|c| (c, JobType::default())).collect();
        let short_of_capacity = vec![false; settings.classes.len()];
        let rates = vec![Rate::default(); settings.tenants.len()];
        Ok(Balancer {
            cold_seed: rng.u64(..),
            rng,
            profiles: Profiles { job_types, keys: LruCache::new(MAX_KEYS) },
            fleet: Fleet::new(settings.classes.len(), MAX_DRAINED, settings.tells_start),
            admission: Admission {
                rates,
                level: f64::MAX,
                short_of_capacity,
                no_reports,
                zone_recovery,
                ..Admission::default()
            },
            jobs: FxHashMap::default(),
            queued: Vec::new(),
            awaiting_probes: Vec::new(),
            open_requests: 0,
            tick: (aim / TICKS_PER_AIM).max(1000),
            wake_at: Micros::MAX,
            next_due: Micros::MAX,
            subscribe_at: ask.then_some(0),
            subscribe_backoff: first_backoff(&settings),
            usual_response: aim as f64,
            least_class_response: vec![f64::MAX; settings.classes.len()],
            class_response: settings.classes.iter().map(|c| c.aim as f64).collect(),
            now: 0,
            actions: Vec::new(),
            settings,
        })
    }

    /// Takes one event at a time that never goes back, and adds what is to be done to `actions`.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::WorkerList(kind, entries) => self.on_worker_list(kind, &entries),
            Event::Overrides(ref set) if self.fleet.apply_overrides(set) => self.relist(),
            Event::ListValid(valid) if std::mem::replace(&mut self.fleet.list_valid, valid) != valid => {
                self.relist()
            }
            Event::ListFailed if self.settings.discovery == Discovery::Subscribe => {
                let wait = self.subscribe_backoff;
                self.subscribe_at = Some(self.now + self.rng.u64(wait / 2..=wait));
                self.subscribe_backoff = (wait * 2).min(SUBSCRIBE_BACKOFF.1);
            }
            Event::Request(request) => self.on_request(request),
            Event::Aborted(id) => self.finish(&id),
            Event::ResponseStarted(id, number) => {
                self.jobs.get_mut(&id).into_iter().for_each(|job| job.mark_streaming(number));
                self.finish(&id);
            }
            Event::JobStarted(id, number) => self.on_job_started(&id, number),
            Event::Progress(id, number, _) => {
                let attempt = self.jobs.get_mut(&id).and_then(|j| j.attempt(number));
                attempt.into_iter().for_each(|a| a.last_activity = now);
            }
            Event::AttemptEnded(end) => self.on_attempt_ended(end),
            Event::PeerHint { worker, in_flight, refused } => {
                self.fleet.apply_peer_hint(worker, in_flight, refused, now);
                self.next_due = if self.queued.is_empty() { self.next_due } else { now };
            }
            Event::ProbeEnded { worker, outcome, report } => self.on_probe_ended(worker, outcome, report),
            Event::Timer(_) if self.now >= self.wake_at => {
                self.wake_at = Micros::MAX;
                self.on_timer();
            }
            Event::Overrides(_) | Event::ListFailed | Event::ListValid(_) | Event::Timer(_) => {}
        }
        if self.subscribe_at.is_some_and(|at| self.now >= at) {
            self.actions.push(Action::Subscribe);
            self.subscribe_at = Some(self.now + self.settings.rules.ask_within);
        }
        let due = self.next_due.min(self.subscribe_at.unwrap_or(Micros::MAX)).max(self.now + 1);
        if due < self.wake_at {
            self.wake_at = due;
            self.actions.push(Action::Wake(due, 0));
        }
        actions.append(&mut self.actions);
    }

    fn on_worker_list(&mut self, kind: ListKind, entries: &Arc<[WorkerEntry]>) {
        if kind != ListKind::Cached {
            self.subscribe_at = None;
            self.subscribe_backoff = first_backoff(&self.settings);
        }
        if self.fleet.apply_list(kind, entries, &mut self.profiles, self.now) {
            self.relist();
        }
    }

    fn relist(&mut self) {
        let selecting = !self.awaiting_probes.is_empty();
        self.fleet.rebuild_ready(&self.settings, &mut self.profiles, self.now, selecting);
        self.retry_queued();
    }

    fn on_request(&mut self, request: Request) {
        if self.jobs.contains_key(&request.id) {
            return;
        }
        let known = request.class.0 < self.settings.classes.len() && request.slots.is_finite();
        if !known || self.open_requests >= self.settings.allowed.most_held || self.now >= request.deadline {
            self.actions.push(Action::Refuse { id: request.id, retry_after: self.retry_after() });
            return;
        }
        let (id, class) = (request.id.clone(), request.class);
        let tenant = request.tenant.filter(|t| t.0 < self.settings.tenants.len());
        self.next_due = self.next_due.min(request.deadline);
        let job_type = self.profiles.job_type(request.class, request.key.as_ref());
        let job = Job::new(request, job_type, self.now);
        self.open_requests += 1;
        self.jobs.insert(id.clone(), job);
        self.admission.all.add(self.now);
        if let Some(tenant) = tenant {
            self.admission.rates[tenant.0].add(self.now);
            self.admission.update_level(self.admission.short_of_capacity[class.0]);
            if self.admission.refuses(self.now, tenant, &self.settings, &mut self.rng) {
                return self.give_up(&id);
            }
        }
        // Without load figures waits tell where there is room: here, elsewhere, or nowhere.
        let home = self.settings.zone.unwrap_or_default();
        // What earns more for the time of a slot is thinned less.
        let all = (0..self.class_response.len()).map(|c| self.worth_rate(c).ln()).sum::<f64>();
        let exponent = ((all / self.class_response.len() as f64).exp() / self.worth_rate(class.0)).sqrt();
        let mut has_room = |room: f64| self.rng.f64() < room.powf(exponent);
        let here = self.admission.zone_admission.get(&home).copied().unwrap_or(1.0);
        if !has_room(here) {
            let elsewhere = self
                .admission
                .zone_admission
                .iter()
                .filter(|r| *r.0 != home)
                .map(|r| *r.1)
                .fold(0.0, f64::max);
            if !has_room((elsewhere - here).max(0.0)) {
                return self.give_up(&id);
            }
            self.jobs.entry(id.clone()).and_modify(|job| job.prefers_other_zones = true);
        }
        self.start_selection(&id);
    }

    fn probe(&mut self, ix: WorkerIndex) {
        let w = &mut self.fleet.workers[ix];
        if self.settings.allowed.probe && !std::mem::replace(&mut w.probing, true) {
            self.actions.push(Action::Probe(w.entry.worker));
        }
    }

    /// Reports are set aside. Not where no more can wait than run: refusals put late figures right there.
    fn reports_late(&self) -> bool {
        let slots = |kind| self.fleet.kind_slots.get(kind).copied().unwrap_or(1.0);
        self.now < self.fleet.reports_late_until
            && !self.fleet.kind_queue_limit.iter().any(|(kind, room)| *room <= slots(kind))
    }

    /// The gate: every send passes here. Holds rules 1 to 7 for one request and one worker.
    fn may_send(&self, job: &Job, ix: WorkerIndex) -> bool {
        let (class, w) = (&self.settings.classes[job.request.class.0], &self.fleet.workers[ix]);
        // Rule 1: nothing for a request that is over, out of time or out of attempts.
        let exhausted = job.attempt_count >= self.settings.allowed.max_attempts;
        if job.done || self.now >= job.request.deadline || exhausted {
            return false;
        }
        // Rule 2 and 5: one attempt at a time, or a second copy where allowed; repeats as the effect allows.
        if !job.in_flight.is_empty() && (!self.settings.allowed.parallel || job.in_flight.len() > 1) {
            return false;
        }
        let first = job.in_flight.first().map(|a| (a.place.0, a.place.1, a.sent));
        if let Some((zone, cell, at)) = job.first_may_have_run.or(first) {
            let allowed = match class.effect {
                Effect::Repeatable => true,
                Effect::Once => false,
                Effect::ByKey { group: Group::All, ttl } => self.now < at + ttl,
                Effect::ByKey { group: Group::Zone, ttl } => self.now < at + ttl && w.entry.zone == zone,
                Effect::ByKey { group: Group::Cell, ttl } => self.now < at + ttl && w.entry.cell == cell,
            };
            if !allowed {
                return false;
            }
        }
        // Rules 3, 6 and 7: who may be sent to at all, and what of. Rule 4: a cold one, how much.
        self.fleet.list_valid
            && w.is_candidate(&self.settings.rules)
            && !self.fleet.out_of_service.contains(&w.entry.worker)
            && class.allows_worker(&w.entry)
            && (w.warmth(&self.settings.rules, self.now) >= 1.0 || self.cold_allows(job, ix))
    }

    /// The only worker that operators leave the job, while it can be reached and the rules let it go there.
    fn pinned(&self, job: &Job) -> Option<WorkerIndex> {
        self.fleet
            .pinned_worker(&job.request)
            .filter(|&w| !self.fleet.workers[w].unreachable && self.may_send(job, w))
    }

    /// Whether the worker has a slot for the job by own jobs and, until its deadline is near, by hints. A job
    /// that is late leaves one to those that are not, and one that can wait to those that earn far more.
    fn has_room(&self, job: &Job, ix: WorkerIndex, late: bool) -> bool {
        let (class, waited) = (job.request.class, self.now.saturating_sub(job.arrived));
        let worth_more = |c: usize| self.worth_rate(c) > self.worth_rate(class.0) * YIELD_WORTH_RATIO;
        let waits = |slack: Micros| {
            waited < slack / YIELD_SLACK_DIVISOR && (0..self.class_response.len()).any(worth_more)
        };
        let heeds_hints =
            self.now + (job.request.deadline - job.arrived) / HINT_DEADLINE_DIVISOR < job.request.deadline;
        let yields = |slack: Micros| f64::from(u8::from(waited > slack || waits(slack)));
        self.fleet.workers[ix].has_free_slots(job.request.slots, self.now, late)
            && !(heeds_hints && self.fleet.is_full_by_hints(ix, yields(self.slack(class, None)), self.now))
    }

    /// The design's order: by the jobs of the type here, or, where others' are told of, by all jobs.
    fn gap(&self, t: &JobType, w: WorkerIndex, class_jobs: Option<f64>) -> (f32, f32) {
        let (gap, share) = t.gap(w);
        let by_all = class_jobs
            .map(|class_jobs| self.fleet.workers[w].total_jobs() as f32 + share * class_jobs as f32);
        (by_all.unwrap_or(gap), share)
    }

    fn slot_time(&self, job: &Job, w: WorkerIndex) -> f64 {
        let r = job
            .request
            .work
            .map(|work| work as f64)
            .or(self.profiles.job_types[job.job_type].mean_response(w));
        r.unwrap_or(self.class_response[job.request.class.0]) * job.request.slots.max(1.0)
    }

    /// Rule 4: whether this instance's part of a cold worker's budget has room for the job.
    fn cold_allows(&self, job: &Job, ix: WorkerIndex) -> bool {
        let w = &self.fleet.workers[ix];
        let budget = self.cold_budget(ix);
        let seed = self.cold_seed ^ budget.started.rotate_left(32) ^ u64::from(w.entry.worker.0);
        let phase = Rng::with_seed(seed).f64();
        budget.allows(self.slot_time(job, ix), phase, self.fleet.known_since, w.overdraft, self.now)
    }

    fn cold_budget(&self, ix: WorkerIndex) -> ColdBudget<'_> {
        let w = &self.fleet.workers[ix];
        ColdBudget {
            rules: &self.settings.rules,
            started: w.started_at.unwrap_or(0),
            slots: self.fleet.slots_of_kind(w.entry.kind),
            instances: self.settings.instances,
        }
    }

    /// Candidates of the next look: the first in the design's order. While own jobs of the type are fewer
    /// than the workers, gaps say little: unless measured times are all there is to go by, candidates are
    /// then drawn by α, the share in expectation, and not all instances meet at the same fast worker.
    fn pick_candidates(&mut self, id: &RequestId) -> Vec<WorkerIndex> {
        let (now, late) = (self.now, self.reports_late());
        let Some(job) = self.jobs.get(id) else { return Vec::new() };
        let (class, slots) = (job.request.class.0, job.request.slots);
        let ready = &self.fleet.ready[class];
        let t = &mut self.profiles.job_types[job.job_type];
        if t.computed_for.is_none_or(|(at, version)| {
            version != self.fleet.version || now >= at + self.usual_response as Micros
        }) {
            t.recompute_shares(ready, &self.fleet);
            t.computed_for = Some((now, self.fleet.version));
            if job.job_type == class {
                self.class_response[class] = t.median.map_or(self.class_response[class], f64::from);
                self.least_class_response[class] =
                    self.least_class_response[class].min(self.class_response[class]);
                self.usual_response = self.class_response.iter().copied().fold(1.0, f64::max);
            }
            self.fleet.update_kind_slots();
        }
        if let Some(w) = self.pinned(job) {
            // No copy goes beside the one there.
            return Vec::from_iter((job.in_flight.is_empty() && !job.candidates.contains(&w)).then_some(w));
        }
        let (ready, t) = (&self.fleet.ready[class], &self.profiles.job_types[job.job_type]);
        let (age, mut rng) = (self.report_ttl(class), self.rng.fork());
        let usable = |w: WorkerIndex, trusted_only: bool| {
            let worker = &self.fleet.workers[w];
            let uses_learnt_limit = self.admission.no_reports && job.rounds + 1 < MAX_ROUNDS;
            let has_figures = late
                || uses_learnt_limit
                || worker.has_fresh_report(now, age)
                || worker.recently_rejected(slots, now);
            (self.has_room(job, w, late) || !has_figures)
                && (!trusted_only || self.fleet.is_trusted(w, &job.request, now))
                && !job.candidates.contains(&w)
                && self.may_send(job, w)
        };
        // Fewer instances than workers, and no reports: they can't all meet, and own jobs are what is known.
        let fewer_instances = self.admission.no_reports && (self.settings.instances as usize) < ready.len();
        let class_jobs = self.fleet.class_jobs(class, now);
        let few_in_flight =
            (t.in_flight as usize) < ready.len() && !late && !fewer_instances && class_jobs.is_none();
        let wanted = if few_in_flight && self.admission.no_reports { 1 } else { ROUND_CANDIDATES };
        // Suspicion never empties the fleet: with nobody trusted, all are candidates of the last look.
        let all_ejected = || !ready.iter().any(|&w| self.fleet.is_trusted(w, &job.request, now));
        let ignores_ejections = job.candidates.is_empty() && job.rounds + 1 >= MAX_ROUNDS && all_ejected();
        let affordable = |w: WorkerIndex| late || self.extra_costs(w, job) <= job.rounds;
        let mut drawn: Vec<WorkerIndex> = Vec::with_capacity(wanted);
        if few_in_flight {
            // A cold worker that the lot allows comes first: the permission lapses.
            let cold = |w: WorkerIndex| self.fleet.workers[w].warmth(&self.settings.rules, now) < 1.0;
            let permitted = self
                .fleet
                .cold
                .iter()
                .copied()
                .filter(|&w| cold(w) && t.profile(w).raw_share > 0.0 && affordable(w));
            drawn.extend(permitted.filter(|&w| usable(w, true)).take(wanted));
            for _ in 0..MAX_DRAWS.min(ready.len() * 2) {
                let w = ready[rng.usize(..ready.len())];
                let kept = drawn.len() < wanted && rng.f32() * t.raw_share_max < t.profile(w).raw_share;
                if kept && affordable(w) && !drawn.contains(&w) && usable(w, true) {
                    drawn.push(w);
                }
            }
        }
        for trusted_only in if ignores_ejections { &[true, false][..] } else { &[true] } {
            if drawn.len() == wanted || !(drawn.is_empty() || *trusted_only) {
                break;
            }
            drawn.clear();
            let mut best: Vec<((f32, f32, f32), WorkerIndex)> = Vec::with_capacity(wanted + 1);
            for &w in ready.iter().filter(|&&w| affordable(w)) {
                let (gap, share) = self.gap(t, w, class_jobs);
                let tie = rng.f32();
                let key = if few_in_flight {
                    (-tie.ln() / t.profile(w).raw_share, 0.0, 0.0)
                } else {
                    (gap, share, tie)
                };
                if (best.len() < wanted || key < best[wanted - 1].0) && usable(w, *trusted_only) {
                    let at = best.partition_point(|b| b.0 <= key);
                    best.insert(at, (key, w));
                    best.truncate(wanted);
                }
            }
            drawn.extend(best.into_iter().map(|b| b.1));
        }
        drawn
    }

    /// What a send there costs beside the work, where that has a price: a new connection, a crossing. The
    /// first look keeps to workers that cost neither, the second to those of one; no copy crosses.
    fn extra_costs(&self, w: WorkerIndex, job: &Job) -> u32 {
        let (prices, w) = (&self.settings.prices, &self.fleet.workers[w]);
        let opens = prices.connection + prices.handshake > 0.0 && w.connected_until < self.now;
        let crosses = prices.cross_zone > 0.0
            && self.settings.zone.is_some_and(|z| (z != w.entry.zone) != job.prefers_other_zones);
        u32::from(opens) + u32::from(crosses) * if job.in_flight.is_empty() { 1 } else { MAX_ROUNDS }
    }

    fn report_ttl(&self, class: usize) -> Micros {
        let renewed = self.settings.report_source == ReportSource::Responses;
        (if renewed { self.tick as f64 / 8.0 } else { self.class_response[class] * REPORT_AGE_FRACTION })
            as Micros
    }

    fn start_selection(&mut self, id: &RequestId) {
        if let Some(job) = self.jobs.get_mut(id) {
            (job.rounds, job.probing_until) = (if job.queued { MAX_ROUNDS - 1 } else { 0 }, None);
            job.candidates.clear();
            self.select_worker(id);
        }
    }

    fn select_worker(&mut self, id: &RequestId) {
        loop {
            let Some(job) = self.jobs.get(id).filter(|j| !j.done) else { return };
            if job.in_flight.is_empty() && self.is_hopeless(job) {
                return self.give_up(id);
            }
            let picked = if job.rounds < MAX_ROUNDS { self.pick_candidates(id) } else { Vec::new() };
            let age = self.report_ttl(self.jobs[id].request.class.0);
            let several = picked.len() > 1 || self.jobs[id].attempt_count > 0;
            let needs_reports = several
                && self.settings.reports_count_jobs
                && !self.admission.no_reports
                && !self.reports_late();
            let mut awaits_probe = false;
            for &w in &picked {
                let worker = &self.fleet.workers[w];
                if worker.unreachable || needs_reports && !worker.has_fresh_report(self.now, age) {
                    awaits_probe = self.settings.allowed.probe;
                    self.probe(w);
                }
            }
            let Some(job) = self.jobs.get_mut(id) else { return };
            job.rounds += 1;
            job.candidates.extend(&picked);
            if awaits_probe {
                let until = self.now + self.tick / 2;
                self.next_due = self.next_due.min(until);
                if job.probing_until.replace(until).is_none() {
                    self.awaiting_probes.push(id.clone());
                }
                return;
            }
            if self.finish_round(id) {
                return;
            }
        }
    }

    /// Ends a look: sends to the first available candidate in the design's order. False: look further.
    fn finish_round(&mut self, id: &RequestId) -> bool {
        let late = self.reports_late();
        self.awaiting_probes.retain(|l| l != id);
        let Some(job) = self.jobs.get_mut(id) else { return true };
        job.probing_until = None;
        let job = &self.jobs[id];
        let (class, slots) = (&self.settings.classes[job.request.class.0], job.request.slots);
        let t = &self.profiles.job_types[job.job_type];
        let reachable = |w: &WorkerIndex| !self.fleet.workers[*w].unreachable && self.may_send(job, *w);
        let mut order: Vec<WorkerIndex> = job.candidates.iter().copied().filter(reachable).collect();
        let (class_jobs, unordered) = (self.fleet.class_jobs(job.request.class.0, self.now), Ordering::Equal);
        let gap = |w: WorkerIndex| self.gap(t, w, class_jobs);
        order.sort_by(|&a, &b| gap(a).partial_cmp(&gap(b)).unwrap_or(unordered));
        let free = order.iter().copied().find(|&w| self.has_room(job, w, late));
        let first_try = job.attempt_count == 0 && job.in_flight.is_empty();
        if let Some(w) = free {
            self.admission.short_of_capacity[job.request.class.0] = false;
            self.send(id, w);
            return true;
        }
        if job.rounds < MAX_ROUNDS {
            return false;
        }
        // None is available: the first in gap order that would start it within the aim.
        let r = |w: WorkerIndex| t.mean_response(w).unwrap_or(self.class_response[job.request.class.0]);
        let wait = |w: WorkerIndex| self.fleet.workers[w].expected_wait(slots, r(w), late);
        // A queue as long as where others of the kind turned work away would do the same: that is no room.
        let full = |w: &Worker| {
            let most = self
                .fleet
                .kind_queue_limit
                .get(&w.entry.kind)
                .filter(|_| self.now >= self.fleet.reports_late_until);
            w.recently_rejected(slots, self.now) || most.is_some_and(|most| w.queued + 0.5 >= *most)
        };
        let mut not_full = order.iter().copied().filter(|&w| !full(&self.fleet.workers[w]));
        let in_time = not_full.clone().find(|&w| wait(w) <= class.aim as f64);
        let first = in_time.or_else(|| not_full.next());
        // Where "no room" may end a request for good, it waits for a slot that is seen free.
        let waits = self.settings.rules.may_shed_begun && class.effect == Effect::Once;
        let hopeless = class.late_share == 0.0 && in_time.is_none();
        self.admission.short_of_capacity[job.request.class.0] = in_time.is_none();
        match first {
            _ if !job.in_flight.is_empty() => {}
            Some(_) if first_try && !waits && hopeless => self.give_up(id),
            Some(w) if first_try && !waits && !self.admission.no_reports => self.send(id, w),
            _ => self.enqueue(id),
        }
        true
    }

    fn enqueue(&mut self, id: &RequestId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if self.now + self.tick * 3 / 2 >= job.request.deadline {
            return self.give_up(id);
        }
        self.next_due = self.next_due.min(self.now + self.tick);
        if !std::mem::replace(&mut job.queued, true) {
            let rank = self.queue_rank(id);
            let at = self.queued.partition_point(|h| self.queue_rank(h) <= rank);
            self.queued.insert(at, id.clone());
        }
    }

    /// Order of held requests: those in time by arrival and slack over worth, then late ones by the latter.
    fn queue_rank(&self, id: &RequestId) -> (bool, u64) {
        let Some(job) = self.jobs.get(id) else { return (false, 0) };
        let (class, waited) = (job.request.class.0, self.now.saturating_sub(job.arrived));
        if !self.settings.worth_by_work {
            return (waited > self.settings.classes[class].aim, (1.0 / self.worth_rate(class)) as u64);
        }
        let slack = self.slack(job.request.class, job.request.work);
        let spared = (slack as f64 * QUEUE_SLACKS / self.settings.classes[class].worth.max(1e-9)) as Micros;
        (waited > slack, if waited > slack { spared } else { job.arrived + spared })
    }

    fn worth_rate(&self, class: usize) -> f64 {
        let time = if self.settings.worth_by_work { self.usual_response } else { self.class_response[class] };
        self.settings.classes[class].worth.max(1e-9) / time
    }

    fn send(&mut self, id: &RequestId, ix: WorkerIndex) {
        let Some(job) = self.jobs.get(id).filter(|job| self.may_send(job, ix)) else { return };
        let age = self.report_ttl(job.request.class.0);
        let cost = self.slot_time(job, ix);
        let overdraft = self.cold_budget(ix).sent(cost, self.fleet.workers[ix].overdraft, self.now);
        let (Some(job), w) = (self.jobs.get_mut(id), &mut self.fleet.workers[ix]) else { return };
        let unstarted = w.silent_starts < NO_START_NOTICE_AFTER;
        w.record_send(job.request.slots, unstarted, self.now, self.settings.allowed.keepalive);
        w.overdraft = overdraft;
        if std::mem::replace(&mut job.queued, false) {
            self.queued.retain(|h| h != id);
        }
        let place = (w.entry.zone, w.entry.cell);
        let low_traffic =
            self.open_requests * LOW_TRAFFIC_RATIO < self.fleet.ready[job.request.class.0].len();
        let jobs_at_send = w.total_jobs() - 1.0;
        let reported_before =
            w.reported_in_flight.filter(|_| low_traffic && w.has_fresh_report(self.now, age));
        let (number, now) = (AttemptNo(job.attempt_count), self.now);
        let (sent, last_activity, cancelled) = (now, now, false);
        let running = false;
        job.in_flight.push(Attempt {
            number,
            worker: ix,
            sent,
            last_activity,
            place,
            cancelled,
            jobs_at_send,
            unstarted,
            running,
            reported_before,
        });
        job.attempt_count += 1;
        let worker = w.entry.worker;
        self.profiles.job_types[job.job_type].count_attempt(ix, true);
        let timeout = job.request.deadline - self.now;
        self.actions.push(Action::Send { id: id.clone(), worker, timeout });
        self.next_due = self.next_due.min(now + self.overdue_after(id).min(self.tick));
    }

    /// How long an attempt may go without a sign. Later ones are given longer: the job may just be long.
    fn overdue_after(&self, id: &RequestId) -> Micros {
        let Some(job) = self.jobs.get(id) else { return Micros::MAX };
        // Guards against calling back a job that is merely long: where it has no copy, its work is lost.
        let (class, alone) = (job.request.class, !self.settings.allowed.parallel);
        let times = OVERDUE_SLACKS[usize::from(!self.settings.tells_start)];
        let alone = alone.then(|| self.slack(class, job.request.work) as f64 * times);
        let limit = alone.unwrap_or(self.class_response[class.0] * OVERDUE_FACTOR)
            * f64::from(job.attempt_count.max(1));
        limit.max(self.settings.progress_interval as f64 * 1.25) as Micros
    }

    /// A job that waits longer will miss its aim, if it runs as long as its hint says, else as usual.
    fn slack(&self, class: ClassId, work: Option<Micros>) -> Micros {
        let c = &self.settings.classes[class.0];
        let work = work.map_or(self.class_response[class.0], |work| work as f64);
        c.aim + ((c.stretch - 1.0).max(0.0) * work) as Micros
    }

    fn overdue_at(&self, id: &RequestId, a: &Attempt) -> Micros {
        let (slack, limit) = (self.slack(self.jobs[id].request.class, None), self.overdue_after(id));
        let copies = a.unstarted && self.settings.allowed.parallel;
        a.last_activity + if copies { limit.min(slack / START_WAIT_DIVISOR) } else { limit }.max(1)
    }

    /// How long a job waited tells of the worker. A copy that still waits elsewhere is not needed.
    fn on_job_started(&mut self, id: &RequestId, number: AttemptNo) {
        let (now, cancel) = (self.now, self.settings.allowed.cancel);
        let Some(job) = self.jobs.get_mut(id) else { return };
        let (class, slots) = (job.request.class, job.request.slots);
        let Some(a) = job.attempt(number) else { return };
        let (ix, jobs_at_send, waited) = (a.worker, a.jobs_at_send, now - a.sent);
        a.last_activity = now;
        self.fleet.workers[ix].clear_unstarted(a);
        self.fleet.workers[ix].record_start(a, slots, now);
        self.fleet.workers[ix].silent_starts = 0;
        for other in job.in_flight.iter_mut().filter(|a| a.unstarted && !a.cancelled && cancel) {
            other.cancelled = true;
            self.actions.push(Action::Cancel(id.clone(), other.number));
        }
        let slack = self.slack(class, None);
        self.admission.record_wait(self.fleet.workers[ix].entry.zone, waited > slack);
        let w = &mut self.fleet.workers[ix];
        if waited > slack / START_WAIT_DIVISOR {
            w.full_until = Some((slots, now + waited / FULL_WAIT_DIVISOR));
        }
        w.update_concurrency_limit(waited > slack / START_WAIT_DIVISOR);
        if waited <= slack / START_WAIT_DIVISOR {
            self.fleet.update_fit(ix, jobs_at_send);
        }
        self.offer_slot(ix);
    }

    fn on_attempt_ended(&mut self, end: AttemptEnd) {
        let AttemptEnd { id, attempt: number, outcome, request_done, elapsed, report } = end;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(at) = job.in_flight.iter().position(|a| a.number == number) else { return };
        let mut attempt = job.in_flight.swap_remove(at);
        let ix = attempt.worker;
        if !outcome.never_ran(&self.settings.rules)
            && job.first_may_have_run.is_none_or(|d| attempt.sent < d.2)
        {
            job.first_may_have_run = Some((attempt.place.0, attempt.place.1, attempt.sent));
        }
        let (request, job_type) = (job.request.clone(), job.job_type);
        let first_failed = job.failed_workers.first().copied().filter(|_| outcome == Outcome::Error);
        job.failed_workers.extend((outcome == Outcome::Error).then_some(ix));
        self.profiles.job_types[job_type].count_attempt(ix, false);
        let ran = self.fleet.workers[ix].record_stop(&attempt, request.slots, self.now);
        ran.into_iter().for_each(|slots| self.fleet.record_concurrency(ix, slots));
        self.fleet.workers[ix].record_end(request.slots, self.now, self.settings.allowed.keepalive);
        self.fleet.workers[ix].silent_starts += u32::from(outcome == Outcome::Served && attempt.unstarted);
        self.fleet.workers[ix].clear_unstarted(&mut attempt);
        self.on_report(ix, report.as_ref());
        // What was sent to the process before says nothing of this one.
        if self.fleet.workers[ix].started_at.is_none_or(|t| attempt.sent >= t) {
            match first_failed {
                // An error at a second worker speaks of the request: the first is held to nothing.
                Some(first) => self.fleet.record_success(first, &request),
                None => self.record_outcome(ix, &request, (outcome, attempt.cancelled), report.as_ref()),
            }
            if outcome == Outcome::Served {
                self.profiles.job_types[job_type].record_response(ix, elapsed);
                // Late by its first wait: a shortage, where no report tells of queues and late earns nothing.
                let c = &self.settings.classes[request.class.0];
                let late =
                    elapsed as f64 > c.aim as f64 + c.stretch * self.least_class_response[request.class.0];
                let told = report.is_some_and(|r| r.queued.is_some());
                if late && !told && c.late_share == 0.0 && attempt.number.0 == 0 {
                    self.admission.update_level(true);
                }
                if let Some(key) = request.key {
                    self.profiles.count_key(key, KEY_TYPE_MIN_JOBS);
                }
            }
        }
        let Some(job) = self.jobs.get(&id) else { return };
        if request_done || job.done {
            self.finish(&id);
        } else if job.in_flight.is_empty() && job.probing_until.is_none() {
            self.start_selection(&id);
        }
        self.offer_slot(ix);
    }

    /// What an outcome says of a worker. Broken or refused connections speak of the whole worker; errors,
    /// time-outs and "no room" beside free slots of the class, or the tenant in it.
    fn record_outcome(
        &mut self,
        ix: WorkerIndex,
        request: &Request,
        end: (Outcome, bool),
        report: Option<&Report>,
    ) {
        let (class, tenant, slots, (outcome, cancelled)) =
            (request.class, request.tenant, request.slots, end);
        let (late, base) = (self.now < self.fleet.reports_late_until, self.base_ejection(class));
        let w = &mut self.fleet.workers[ix];
        let (mut scope, mut part) = (None, 1.0);
        match outcome {
            Outcome::Served => {
                (w.unreachable, w.last_served) = (false, self.now);
                self.fleet.record_success(ix, request);
            }
            Outcome::Rejected => {
                let room = report.and_then(|r| r.free_slots).is_some_and(|free| free >= slots + 0.75);
                if room && !late {
                    scope = Some((ix, Some(class), tenant));
                } else {
                    if let Some(waiting) = report.and_then(|r| r.queued).filter(|w| w.is_finite() && !late) {
                        let room = self.fleet.kind_queue_limit.entry(w.entry.kind).or_insert(waiting);
                        *room += (waiting - *room) / 4.0;
                    }
                    w.free_slots = w.free_slots.map(|_| 0.0);
                    let stale = late || self.settings.report_source != ReportSource::Responses;
                    let turn = self.usual_response / w.slots * if stale { 1.0 } else { 0.5 };
                    w.full_until = Some((slots, self.now + turn as Micros));
                    self.admission.update_level(true);
                    self.admission.record_wait(w.entry.zone, true);
                }
            }
            Outcome::Error | Outcome::TimedOut if !cancelled => scope = Some((ix, Some(class), None)),
            Outcome::ConnectFailed | Outcome::ConnectionLost => {
                w.unreachable = self.settings.allowed.probe;
                w.connected_until = 0;
                w.failed_while_gone = w.entry.stage == Stage::Gone;
                scope = Some((ix, None, None));
                // Where one can look, a look tells more: it is not left out for a connection that broke.
                part = if w.unreachable { DISCONNECT_SCORE } else { 1.0 };
                self.probe(ix);
            }
            _ => {}
        }
        if let Some(scope) = scope {
            self.fleet.record_failure(scope, part, base, self.now);
        }
    }

    /// The first bar after a symptom: the time of a round over all workers, at least a usual response time.
    fn base_ejection(&self, class: ClassId) -> f64 {
        let per_s = self.admission.all.count(self.now) / RATE_WINDOW_S;
        let round = self.fleet.ready[class.0].len() as f64 * 1e6 / per_s.max(1e-3);
        round.clamp(self.usual_response, self.usual_response * MAX_BASE_EJECTION)
    }

    /// No further attempt can be made, now or later, or none that is worth anything.
    fn is_hopeless(&self, job: &Job) -> bool {
        let class = &self.settings.classes[job.request.class.0];
        let may_not_repeat = match (class.effect, job.first_may_have_run) {
            (_, None) | (Effect::Repeatable, _) => false,
            (Effect::Once, Some(_)) => true,
            (Effect::ByKey { ttl, .. }, Some((_, _, at))) => self.now >= at + ttl,
        };
        let waited = self.now.saturating_sub(job.arrived);
        let worthless = job.queued && class.late_share == 0.0 && waited > class.aim;
        let exhausted =
            job.attempt_count >= self.settings.allowed.max_attempts || self.now >= job.request.deadline;
        may_not_repeat
            || worthless
            || exhausted
            || job.failed_workers.len() >= MAX_FAILED_WORKERS
            || self.fleet.all_out_of_service[job.request.class.0]
    }

    /// Final answer without a result: a refusal where trying again is harmless, else a failure.
    fn give_up(&mut self, id: &RequestId) {
        let Some(job) = self.jobs.get(id).filter(|j| !j.done) else { return };
        let effect = self.settings.classes[job.request.class.0].effect;
        let harmless = matches!(effect, Effect::Repeatable | Effect::ByKey { group: Group::All, .. })
            || (job.first_may_have_run.is_none() && job.in_flight.is_empty());
        self.actions.push(if harmless && self.now < job.request.deadline {
            Action::Refuse { id: id.clone(), retry_after: self.retry_after() }
        } else {
            Action::Fail(id.clone())
        });
        self.finish(id);
    }

    /// When a refused client should come back: a usual response time makes room.
    fn retry_after(&self) -> Micros {
        (self.usual_response as Micros).min(self.settings.allowed.max_retry_after)
    }

    /// The request is over; it is kept only while attempts are out. A copy still out is called back.
    fn finish(&mut self, id: &RequestId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if !std::mem::replace(&mut job.done, true) {
            self.open_requests = self.open_requests.saturating_sub(1);
            if job.attempt_count > 1 && self.settings.allowed.cancel {
                for a in job.in_flight.iter_mut().filter(|a| !a.cancelled) {
                    a.cancelled = true;
                    self.actions.push(Action::Cancel(id.clone(), a.number));
                }
            }
            job.probing_until = None;
            self.awaiting_probes.retain(|l| l != id);
            if std::mem::replace(&mut job.queued, false) {
                self.queued.retain(|h| h != id);
            }
        }
        if job.in_flight.is_empty() {
            self.jobs.remove(id);
        }
    }

    fn retry_queued(&mut self) {
        // A free slot is seen by all who hold requests: only news tells whether it still is.
        let stale =
            self.now < self.fleet.hints_until && self.now + HINT_TTL > self.fleet.hints_until + self.tick / 2;
        let mut asked = vec![stale; self.settings.classes.len()];
        for id in self.queued.clone() {
            let Some(job) = self.jobs.get(&id).filter(|j| j.queued && j.probing_until.is_none()) else {
                continue;
            };
            let soon = self.now + self.tick * 3 / 2 >= job.request.deadline;
            let free_to_go =
                job.first_may_have_run.is_none() && self.fleet.pinned_worker(&job.request).is_none();
            let class = job.request.class.0;
            if soon || self.is_hopeless(job) {
                self.give_up(&id);
            } else if !asked[class] || !free_to_go {
                asked[class] |= free_to_go;
                self.start_selection(&id);
                asked[class] &= self.jobs.get(&id).is_some_and(|j| j.queued);
            }
        }
        self.queued.retain(|id| self.jobs.get(id).is_some_and(|j| j.queued));
        if !self.queued.is_empty() {
            self.next_due = self.next_due.min(self.now + self.tick);
        }
    }

    fn offer_slot(&mut self, ix: WorkerIndex) {
        let late = self.reports_late();
        let mut next = 0;
        while next < self.queued.len() && self.fleet.workers[ix].has_free_slots(1.0, self.now, late) {
            let job = &self.jobs[&self.queued[next]];
            let (request, w) = (&job.request, &self.fleet.workers[ix]);
            let fits = self.has_room(job, ix, late) && self.fleet.is_trusted(ix, request, self.now);
            let fits = fits && self.pinned(job).is_none_or(|pin| pin == ix);
            if job.probing_until.is_none() && fits && !w.unreachable && self.may_send(job, ix) {
                let id = self.queued[next].clone();
                self.send(&id, ix);
            } else {
                next += 1;
            }
        }
    }

    /// Takes a report in. One that counts fewer jobs than ours is late; so are two in a row with no more jobs
    /// than before an own one went there. All are then set aside: availability falls back on refusals.
    fn on_report(&mut self, ix: WorkerIndex, report: Option<&Report>) {
        let Some(report) = report else { return };
        let (w, now) = (&self.fleet.workers[ix], self.now);
        if let Some(held) = report.in_flight.filter(|_| w.in_flight > 0) {
            // Own jobs out for over a tick: any report taken since must count them.
            let settled = |a: &&Attempt| a.worker == ix && now >= a.sent + self.tick && !a.cancelled;
            let ours = self.jobs.values().flat_map(|j| &j.in_flight).filter(settled);
            let newest = ours.clone().max_by_key(|a| (a.sent, a.number));
            let newest = newest.filter(|a| w.last_served < a.sent && now < a.sent + self.tick * 2);
            if let Some(before) = newest.and_then(|a| a.reported_before) {
                self.fleet.late_reports = if held < before + 0.5 { self.fleet.late_reports + 1 } else { 0 };
            }
            let behind = held + 0.5 < ours.count() as f64 || self.fleet.late_reports >= MAX_LATE_REPORTS;
            if behind {
                self.fleet.reports_late_until = now + (self.usual_response * LATE_REPORT_HOLD) as Micros;
            }
        }
        self.fleet.workers[ix].apply_report(report, self.now);
    }

    fn on_probe_ended(&mut self, worker: WorkerId, outcome: Outcome, report: Option<Report>) {
        let Some(&ix) = self.fleet.index.get(&worker) else { return };
        self.on_report(ix, report.as_ref());
        let base = self.base_ejection(ClassId(0));
        let (w, scope) = (&mut self.fleet.workers[ix], (ix, None, None));
        let was_unreachable = w.unreachable;
        w.probing = false;
        w.failed_probes = if outcome == Outcome::Served { 0 } else { w.failed_probes + 1 };
        w.unreachable = outcome != Outcome::Served && self.settings.allowed.probe;
        if w.unreachable && w.failed_probes < DEAD_AFTER_PROBES {
            // Guards the jobs there: they are not called back for a connection that broke under a probe.
            self.probe(ix);
        } else if w.unreachable {
            w.connected_until = 0;
            // Probes that are made while it is barred tell nothing new: the bar grows once each time it ends.
            if self
                .fleet
                .ejections
                .get(&scope)
                .is_none_or(|ejection| ejection.score < 1.0 || self.now >= ejection.until)
            {
                self.fleet.record_failure(scope, 1.0, base, self.now);
            }
            // One that answers is alive: it drains, say, and ends what it has.
            if outcome != Outcome::Rejected {
                self.retry_overdue(Some(ix));
            }
        } else if was_unreachable {
            self.fleet.ejections.remove(&scope);
        }
        self.offer_slot(ix);
        for id in self.awaiting_probes.clone() {
            let Some(job) = self.jobs.get(&id).filter(|j| j.candidates.contains(&ix)) else { continue };
            if !job.candidates.iter().any(|&w| self.fleet.workers[w].probing) && !self.finish_round(&id) {
                self.select_worker(&id);
            }
        }
    }

    fn on_timer(&mut self) {
        let now = self.now;
        self.next_due = Micros::MAX;
        for id in self.awaiting_probes.clone() {
            let timed_out =
                self.jobs.get(&id).and_then(|j| j.probing_until).is_some_and(|until| self.now >= until);
            if timed_out && !self.finish_round(&id) {
                self.select_worker(&id);
            }
        }
        let expired = self.jobs.iter().filter(|(_, j)| !j.done && self.now >= j.request.deadline);
        let expired: BTreeSet<RequestId> = expired.map(|(id, _)| id.clone()).collect();
        expired.iter().for_each(|id| self.give_up(id));
        // A report taken a tick after a send must count the job: is it late?
        let due = |a: &&Attempt| now >= a.sent + self.tick && now < a.sent + self.tick * 2;
        let checks: BTreeSet<WorkerIndex> =
            self.jobs.values().flat_map(|j| &j.in_flight).filter(due).map(|a| a.worker).collect();
        checks.iter().for_each(|ix| self.probe(*ix));
        self.retry_overdue(None);
        self.retry_queued();
        for (id, job) in self.jobs.iter().filter(|(_, j)| !j.done) {
            let next = |a: &Attempt| match a.sent + self.tick {
                check if now < check => check.min(self.overdue_at(id, a)),
                _ => self.overdue_at(id, a),
            };
            let attempts = job.in_flight.iter().filter(|a| !a.cancelled).map(next);
            self.next_due =
                attempts.chain(job.probing_until).fold(self.next_due.min(job.request.deadline), Micros::min);
        }
    }

    /// Attempts that are overdue, or lie at a worker found dead, are a symptom, and are made again where that
    /// is allowed: as a second copy where a slot is seen free, else after calling the first one back.
    fn retry_overdue(&mut self, dead: Option<WorkerIndex>) {
        let mut late = Vec::new();
        for (id, job) in self.jobs.iter().filter(|(_, j)| !j.done && j.probing_until.is_none()) {
            let over = |a: &Attempt| dead.map_or(self.now >= self.overdue_at(id, a), |ix| ix == a.worker);
            late.extend(
                job.in_flight.iter().position(|a| !a.cancelled && over(a)).map(|at| (id.clone(), at)),
            );
        }
        late.sort();
        for (id, at) in late {
            let (overdue, slack) = (self.overdue_after(&id), self.slack(self.jobs[&id].request.class, None));
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            let (class, ix) = (job.request.class, job.in_flight[at].worker);
            // Not begun is no symptom yet: the worker is full.
            let waits = job.in_flight[at].unstarted && self.now < job.in_flight[at].sent + overdue;
            let since = std::mem::replace(&mut job.in_flight[at].last_activity, self.now);
            let w = &mut self.fleet.workers[ix];
            if waits {
                w.full_until = Some((job.request.slots, self.now + self.usual_response as Micros));
                if (since..self.now).contains(&(job.in_flight[at].sent + slack)) {
                    self.admission.record_wait(w.entry.zone, true);
                }
            } else {
                w.clear_unstarted(&mut job.in_flight[at]);
            }
            let exhausted = job.attempt_count >= self.settings.allowed.max_attempts;
            let (settings, r) = (&self.settings.classes[class.0], self.class_response[class.0]);
            let worthless = settings.late_share == 0.0
                && self.now.saturating_sub(job.arrived) as f64 > settings.aim as f64 + settings.stretch * r;
            let retry = settings.effect != Effect::Once && !exhausted && !worthless;
            let copy = self.settings.allowed.parallel && dead.is_none();
            if retry && !copy && self.settings.allowed.cancel {
                job.in_flight[at].cancelled = true;
                self.actions.push(Action::Cancel(id.clone(), job.in_flight[at].number));
            }
            if dead.is_none() && !waits {
                let base = self.base_ejection(class);
                self.fleet.record_failure((ix, Some(class), None), 1.0, base, self.now);
                self.probe(ix);
            }
            if retry && copy {
                self.start_selection(&id);
            }
        }
    }
}
