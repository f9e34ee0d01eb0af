//! All decisions of lineroute. The interface (settings, events, actions) is in `src/api.rs`; the state types
//! and their updates are in `src/state.rs`.
//!
//! Reading order: [`Profiles`] (response times, shares, gaps), [`Fleet`] (what is known of each worker: list
//! entry, report, warm-up, failures), [`Admission`] (which requests to refuse when capacity is short), and
//! [`Balancer`] (the life cycle of a request; every send is checked by `may_send`).

use crate::admission::Admission;
use crate::api::*;
use crate::slow_start::ColdBudget;
use crate::state::*;
use fastrand::Rng;
use lru::LruCache;
use rustc_hash::FxHashMap;
use std::{cmp::Ordering, collections::BTreeSet, num::NonZeroUsize, sync::Arc};

/// Number of served jobs after which a key gets a job type of its own. Until then the type of its class is
/// used.
const KEY_TYPE_MIN_JOBS: u32 = 16;
/// Maximum number of keys remembered; the least recently used one is evicted.
const MAX_KEYS: NonZeroUsize = NonZeroUsize::new(256).unwrap();
/// Maximum number of drained workers remembered, so that an outdated list cannot bring them back.
const MAX_DRAINED: NonZeroUsize = NonZeroUsize::new(1024).unwrap();
/// Candidates per selection round. Where half of the workers are busy, 15 of 16 rounds find a free slot.
const ROUND_CANDIDATES: usize = 4;
/// Selection rounds before a request goes to a worker that has no free slot. Times `ROUND_CANDIDATES`, this
/// bounds the probes per request.
const MAX_ROUNDS: u32 = 3;
/// Random draws for the candidates of a round before all workers are scanned.
const MAX_DRAWS: usize = 32;
/// Upper limit of the score: ejections last up to 2^5 times the first one.
const MAX_EJECTION_SCORE: f64 = 6.0;
/// Maximum duration of the first ejection, in usual response times, so that no worker is excluded for good.
const MAX_BASE_EJECTION: f64 = 16.0;
/// How often queued requests are reconsidered within the shortest aim.
const TICKS_PER_AIM: Micros = 4;
/// A job is overdue without a sign of life for this many usual response times, or for 1.25 progress
/// intervals.
const OVERDUE_FACTOR: f64 = 2.5;
/// The same in slacks, where the job must be cancelled before a retry. The second value applies where starts
/// are not reported, so that the time includes the wait.
const OVERDUE_SLACKS: [f64; 2] = [5.0, 8.0];
/// A repeatable job that waits longer than its slack divided by this gets a copy elsewhere.
const START_WAIT_DIVISOR: Micros = 6;
/// Reports that come only with probes are rarely renewed: one younger than this fraction of a response time
/// is still used.
const REPORT_AGE_FRACTION: f64 = 0.5;
/// The tail earns nothing beyond this many times its slack, so that fraction of the requests may wait long.
const TAIL_SLACK_FACTOR: f64 = 5.0;
/// A request that this many workers answered with an error is assumed to fail everywhere.
const MAX_FAILED_WORKERS: usize = 3;
/// Tolerance for the unknown part of the others' jobs at a worker, in slots.
const FOREIGN_SLOT_MARGIN: f64 = 0.5;
/// Queued jobs yield to later ones for this many slacks, divided by their worth. Protects short jobs when
/// capacity is short.
const QUEUE_SLACKS: f64 = 4.0;
/// An instance has low traffic if its open requests times this are fewer than the workers.
const LOW_TRAFFIC_RATIO: usize = 4;
/// After this many consecutive reports without a job sent a tick earlier, reports are treated as late: that
/// is not a coincidence.
const MAX_LATE_REPORTS: u32 = 2;
/// Score of a broken connection, which may be a single event, relative to other failures; and the number of
/// failed probes after which a worker is dead.
const DISCONNECT_SCORE: f64 = 0.4;
const DEAD_AFTER_PROBES: u32 = 2;
/// After a job had to wait, its worker counts as full for the wait divided by this; slots may be free
/// afterwards.
const FULL_WAIT_DIVISOR: Micros = 4;
/// If this many times the expected number of jobs of a worker's size started at once, the expected number
/// grows by `FIT_GROWTH`.
const FIT_EXCESS: f64 = 1.5;
const FIT_GROWTH: f64 = 1.1;
/// A job respects hints of full workers until its total time divided by this is left before the deadline.
const HINT_DEADLINE_DIVISOR: Micros = 4;
/// A job leaves a slot to classes that earn this many times as much by it, during its slack divided by
/// `YIELD_SLACK_DIVISOR`.
const YIELD_WORTH_RATIO: f64 = 2.0;
const YIELD_SLACK_DIVISOR: Micros = 3;
/// How long reports are ignored after the last late one, in usual response times.
const LATE_REPORT_HOLD: f64 = 4.0;

/// Backoff after a failed subscription: per instance, and the maximum. An instance counts as informed
/// of a change 6 s after discovery had it and could be reached.
const SUBSCRIBE_BACKOFF: (Micros, Micros) = (120_000, 2_000_000);

impl JobType {
    /// (n_i − α_i·n, −α_i). Workers are ordered by this, smallest first.
    fn gap(&self, w: WorkerIndex) -> (f32, f32) {
        let p = self.profile(w);
        let share = p.raw_share / self.raw_share_sum.max(f32::MIN_POSITIVE);
        (p.in_flight as f32 - share * self.in_flight as f32, -share)
    }

    /// Recomputes the shares. Workers without measurements borrow the median of their kind, else of all.
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
    /// Rule 6: the kinds and zones that the class may be sent to.
    pub fn allows_worker(&self, e: &WorkerEntry) -> bool {
        self.kind.is_none_or(|k| k == e.kind)
            && self.zones.as_ref().is_none_or(|zones| zones.contains(&e.zone))
            && self.kinds.as_ref().is_none_or(|kinds| kinds.contains(&e.kind))
    }
}

impl Worker {
    /// Rules 3 and 7. Where only draining forbids a send, lists prove little: they may be outdated,
    /// incomplete or empty. A worker once seen draining stays excluded whatever later lists say, and a
    /// worker missing from the list remains a candidate until it cannot be reached.
    pub fn is_candidate(&self, rules: &Rules) -> bool {
        match self.entry.stage {
            Stage::Ready => !(rules.dropped_stay_open && self.seen_draining),
            Stage::Draining => false,
            Stage::Gone => rules.dropped_stay_open && !self.seen_draining && !self.failed_while_gone,
        }
    }

    /// Whether the worker can start the job now: by free slots in its report, else if it has not recently
    /// rejected a job of this size or smaller.
    fn has_free_slots(&self, slots: f64, now: Micros, late: bool) -> bool {
        // Free slots go to queued jobs first. Own jobs in flight use slots, whatever an old report says.
        let free = |free: f64| if late { self.slots } else { free - self.queued.round() };
        let left = self.free_slots.map(|f| free(f).min(self.slots - self.in_flight_slots));
        if let Some(foreign) = self.foreign_slots {
            return !self.recently_rejected(slots, now)
                && self.in_flight_slots + foreign + slots <= self.slots + FOREIGN_SLOT_MARGIN;
        }
        // Without reports, a job that has not started is taken to wait for a slot.
        let waits = self.free_slots.is_none()
            && self.unannounced_starts < NO_START_NOTICE_AFTER
            && (self.unstarted > 0 || f64::from(self.in_flight) >= self.concurrency_limit);
        !waits && !self.recently_rejected(slots, now) && left.is_none_or(|left| left + 0.25 >= slots)
    }

    fn recently_rejected(&self, slots: f64, now: Micros) -> bool {
        self.full_until.is_some_and(|(size, until)| slots >= size && now < until)
    }

    /// Expected wait of a job sent there now: the work queued ahead of it, where `r` is the time of one job
    /// in one slot.
    fn expected_wait(&self, slots: f64, r: f64, late: bool) -> f64 {
        if late {
            return (self.in_flight_slots + slots - self.slots).max(0.0) * r / self.slots;
        }
        (self.queued + self.free_slots.map_or(0.0, |free| slots - free).max(0.0)) * r / self.slots
    }
}

impl Fleet {
    /// Whether the hints from peers show no room at a worker, if `left` slots must stay free.
    fn is_full_by_hints(&self, w: WorkerIndex, left: f64, now: Micros) -> bool {
        let worker = &self.workers[w];
        let full = worker.entry.size > 0.0 && worker.total_jobs() + 0.5 + left > self.fit_limit(w);
        now < self.hints_until && (now < worker.avoid_until || full)
    }

    /// Number of jobs that run there at once, as learnt for its kind.
    fn fit_limit(&self, w: WorkerIndex) -> f64 {
        let entry = &self.workers[w].entry;
        (entry.size * self.jobs_per_size.get(&entry.kind).copied().unwrap_or(1.0)).max(1.0)
    }

    /// Raises the expected number if a job started at once beside far more others than expected.
    fn update_fit(&mut self, w: WorkerIndex, jobs_there: f64) {
        if self.workers[w].entry.size > 0.0 && jobs_there > self.fit_limit(w) * FIT_EXCESS {
            *self.jobs_per_size.entry(self.workers[w].entry.kind).or_insert(1.0) *= FIT_GROWTH;
        }
    }

    /// Not ejected, or due for a trial: one job at a time while the score is 1 or more.
    fn is_trusted(&self, w: WorkerIndex, request: &Request, now: Micros) -> bool {
        let free = |ejection: &Ejection| {
            ejection.score < 1.0 || now >= ejection.until && self.workers[w].in_flight == 0
        };
        self.ejections.is_empty()
            || ejection_scopes(w, request).iter().all(|scope| self.ejections.get(scope).is_none_or(free))
    }

    fn record_failure(&mut self, scope: EjectionScope, weight: f64, base: f64, now: Micros) {
        // Failures in two classes in a row point at the worker, for example one that drains before the list
        // says so.
        let other = self.ejections.iter().any(|(s, _)| s.0 == scope.0 && s.1.is_some() && s.1 != scope.1);
        let scope = if other { (scope.0, None, None) } else { scope };
        let ejection = self.ejections.entry(scope).or_default();
        ejection.score = (ejection.score + weight).min(MAX_EJECTION_SCORE);
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

/// Concern 3, the life cycle of a request, and entry point of the module. `finish_round` decides each send,
/// and `may_send` checks it.
#[derive(Debug)]
pub struct Balancer {
    settings: Settings,
    now: Micros,
    actions: Vec<Action>,
    rng: Rng,
    /// Seed of the phases that decide when this instance may send to a cold worker.
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
    /// Usual response time per class, over all workers. The longest one, `usual_response`, is the unit of
    /// ejection times.
    class_response: Vec<f64>,
    least_class_response: Vec<f64>,
    usual_response: f64,
}

impl Balancer {
    /// Creates an instance without any state. The seed determines its random choices.
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

    /// Handles one event and appends the resulting actions to `actions`. `now` must never decrease.
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
        self.admission.total_rate.add(self.now);
        if let Some(tenant) = tenant {
            self.admission.rates[tenant.0].add(self.now);
            self.admission.update_level(self.admission.short_of_capacity[class.0]);
            if self.admission.refuses(self.now, tenant, &self.settings, &mut self.rng) {
                return self.give_up(&id);
            }
        }
        // Without load reports, waits show whether there is room: in this zone, in another one, or in none.
        let home = self.settings.zone.unwrap_or_default();
        // Classes that earn more per slot time are shed less.
        let all = (0..self.class_response.len()).map(|c| self.worth_rate(c).ln()).sum::<f64>();
        let exponent = ((all / self.class_response.len() as f64).exp() / self.worth_rate(class.0)).sqrt();
        let mut admits = |admitted: f64| self.rng.f64() < admitted.powf(exponent);
        let here = self.admission.zone_admission.get(&home).copied().unwrap_or(1.0);
        if !admits(here) {
            let elsewhere = self
                .admission
                .zone_admission
                .iter()
                .filter(|r| *r.0 != home)
                .map(|r| *r.1)
                .fold(0.0, f64::max);
            if !admits((elsewhere - here).max(0.0)) {
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

    /// Whether reports are ignored as late. They are used where a worker queues no more jobs than it runs:
    /// there, rejections correct late figures at once.
    fn reports_late(&self) -> bool {
        let slots = |kind| self.fleet.kind_slots.get(kind).copied().unwrap_or(1.0);
        self.now < self.fleet.reports_late_until
            && !self.fleet.kind_queue_limit.iter().any(|(kind, limit)| *limit <= slots(kind))
    }

    /// Checks every send: rules 1 to 7 for one request and one worker.
    fn may_send(&self, job: &Job, ix: WorkerIndex) -> bool {
        let (class, w) = (&self.settings.classes[job.request.class.0], &self.fleet.workers[ix]);
        // Rule 1: nothing is sent for a request that is over, past its deadline or out of attempts.
        let exhausted = job.attempt_count >= self.settings.allowed.max_attempts;
        if job.done || self.now >= job.request.deadline || exhausted {
            return false;
        }
        // Rules 2 and 5: one attempt at a time, or a second copy where allowed; repeats only as the effect
        // allows.
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
        // Rules 3, 6 and 7: whether the worker may get this class at all. Rule 4: how much a cold worker may
        // get.
        self.fleet.list_valid
            && w.is_candidate(&self.settings.rules)
            && !self.fleet.out_of_service.contains(&w.entry.worker)
            && class.allows_worker(&w.entry)
            && (w.warmth(&self.settings.rules, self.now) >= 1.0 || self.cold_allows(job, ix))
    }

    /// The worker that operators have pinned the job to, if it is reachable and the rules allow the send.
    fn pinned(&self, job: &Job) -> Option<WorkerIndex> {
        self.fleet
            .pinned_worker(&job.request)
            .filter(|&w| !self.fleet.workers[w].unreachable && self.may_send(job, w))
    }

    /// Whether the worker has a slot for the job, by own jobs and, unless the deadline is near, by hints. A
    /// late job leaves one slot to jobs in time, and a job that can wait leaves one to classes that earn far
    /// more.
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

    /// Sort key of a worker: by this instance's jobs of the type, or, if the jobs of others are known, by
    /// all jobs.
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

    /// Rule 4: whether this instance's part of a cold worker's budget allows the job.
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

    /// Candidates of the next round: the first workers in gap order. While this instance has fewer jobs of
    /// the type than there are workers, gaps say little. Unless measured times are the only information,
    /// candidates are then drawn with probability proportional to α, so that not all instances choose the
    /// same fast worker.
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
            // A pinned request gets no second copy beside the first.
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
        // With fewer instances than workers and no reports, instances rarely collide, and own jobs are the
        // only information.
        let fewer_instances = self.admission.no_reports && (self.settings.instances as usize) < ready.len();
        let class_jobs = self.fleet.class_jobs(class, now);
        let few_in_flight =
            (t.in_flight as usize) < ready.len() && !late && !fewer_instances && class_jobs.is_none();
        let wanted = if few_in_flight && self.admission.no_reports { 1 } else { ROUND_CANDIDATES };
        // Ejections never empty the fleet: if all workers are ejected, all are candidates of the last round.
        let all_ejected = || !ready.iter().any(|&w| self.fleet.is_trusted(w, &job.request, now));
        let ignores_ejections = job.candidates.is_empty() && job.rounds + 1 >= MAX_ROUNDS && all_ejected();
        let affordable = |w: WorkerIndex| late || self.extra_costs(w, job) <= job.rounds;
        let mut drawn: Vec<WorkerIndex> = Vec::with_capacity(wanted);
        if few_in_flight {
            // A cold worker whose budget allows the job comes first, because the allowance expires.
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

    /// Number of priced extras of a send: a new connection, crossing zones. The first round admits only
    /// workers without any, the second those with one; a second copy never crosses zones.
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

    /// Ends a round: sends to the first candidate in gap order that has room. Returns false if another round
    /// is needed.
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
        // None has room: take the first in gap order that would start the job within the aim.
        let r = |w: WorkerIndex| t.mean_response(w).unwrap_or(self.class_response[job.request.class.0]);
        let wait = |w: WorkerIndex| self.fleet.workers[w].expected_wait(slots, r(w), late);
        // A worker whose queue is as long as where others of its kind rejected work would reject it too.
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
        // Where a rejection may end a request for good, the request waits for a slot that is known to be
        // free.
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

    /// Order of queued requests: those in time by arrival plus slack over worth, then late ones by slack
    /// over worth.
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
        let unstarted = w.unannounced_starts < NO_START_NOTICE_AFTER;
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

    /// How long an attempt may go without a sign of life. Later attempts get longer, since the job may just
    /// be long.
    fn overdue_after(&self, id: &RequestId) -> Micros {
        let Some(job) = self.jobs.get(id) else { return Micros::MAX };
        // Avoids cancelling a job that is merely long: without a second copy its work would be lost.
        let (class, alone) = (job.request.class, !self.settings.allowed.parallel);
        let times = OVERDUE_SLACKS[usize::from(!self.settings.tells_start)];
        let alone = alone.then(|| self.slack(class, job.request.work) as f64 * times);
        let limit = alone.unwrap_or(self.class_response[class.0] * OVERDUE_FACTOR)
            * f64::from(job.attempt_count.max(1));
        limit.max(self.settings.progress_interval as f64 * 1.25) as Micros
    }

    /// Longest wait with which a job still meets its aim, if it runs as long as its hint says, else as long
    /// as usual.
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

    /// The wait before the start shows how full the worker is. Copies that have not started elsewhere are
    /// cancelled.
    fn on_job_started(&mut self, id: &RequestId, number: AttemptNo) {
        let (now, cancel) = (self.now, self.settings.allowed.cancel);
        let Some(job) = self.jobs.get_mut(id) else { return };
        let (class, slots) = (job.request.class, job.request.slots);
        let Some(a) = job.attempt(number) else { return };
        let (ix, jobs_at_send, waited) = (a.worker, a.jobs_at_send, now - a.sent);
        a.last_activity = now;
        self.fleet.workers[ix].clear_unstarted(a);
        self.fleet.workers[ix].record_start(a, slots, now);
        self.fleet.workers[ix].unannounced_starts = 0;
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
        let first_failed = job.failed_workers.first().copied().filter(|_| outcome == Outcome::Fault);
        job.failed_workers.extend((outcome == Outcome::Fault).then_some(ix));
        self.profiles.job_types[job_type].count_attempt(ix, false);
        let ran = self.fleet.workers[ix].record_stop(&attempt, request.slots, self.now);
        ran.into_iter().for_each(|slots| self.fleet.record_concurrency(ix, slots));
        self.fleet.workers[ix].record_end(request.slots, self.now, self.settings.allowed.keepalive);
        self.fleet.workers[ix].unannounced_starts +=
            u32::from(outcome == Outcome::Served && attempt.unstarted);
        self.fleet.workers[ix].clear_unstarted(&mut attempt);
        self.on_report(ix, report.as_ref());
        // The outcome of a job sent to an earlier process says nothing about this one.
        if self.fleet.workers[ix].started_at.is_none_or(|t| attempt.sent >= t) {
            match first_failed {
                // An error at a second worker points at the request: the first worker's failure is taken
                // back.
                Some(first) => self.fleet.record_success(first, &request),
                None => self.record_outcome(ix, &request, (outcome, attempt.cancelled), report.as_ref()),
            }
            if outcome == Outcome::Served {
                self.profiles.job_types[job_type].record_response(ix, elapsed);
                // A first attempt that is late means a shortage, where no report shows queues and late
                // responses earn nothing.
                let c = &self.settings.classes[request.class.0];
                let late =
                    elapsed as f64 > c.aim as f64 + c.stretch * self.least_class_response[request.class.0];
                let queue_reported = report.is_some_and(|r| r.queued.is_some());
                if late && !queue_reported && c.late_share == 0.0 && attempt.number.0 == 0 {
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

    /// Updates the failure state of a worker after an outcome. Broken or refused connections count against
    /// the whole worker; errors, time-outs and rejections despite free slots count against the class, or the
    /// tenant in it.
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
        let (mut scope, mut weight) = (None, 1.0);
        match outcome {
            Outcome::Served => {
                (w.unreachable, w.last_served) = (false, self.now);
                self.fleet.record_success(ix, request);
            }
            Outcome::NoRoom => {
                let has_free_slot =
                    report.and_then(|r| r.free_slots).is_some_and(|free| free >= slots + 0.75);
                if has_free_slot && !late {
                    scope = Some((ix, Some(class), tenant));
                } else {
                    if let Some(waiting) = report.and_then(|r| r.queued).filter(|w| w.is_finite() && !late) {
                        let limit = self.fleet.kind_queue_limit.entry(w.entry.kind).or_insert(waiting);
                        *limit += (waiting - *limit) / 4.0;
                    }
                    w.free_slots = w.free_slots.map(|_| 0.0);
                    let stale = late || self.settings.report_source != ReportSource::Responses;
                    let turn = self.usual_response / w.slots * if stale { 1.0 } else { 0.5 };
                    w.full_until = Some((slots, self.now + turn as Micros));
                    self.admission.update_level(true);
                    self.admission.record_wait(w.entry.zone, true);
                }
            }
            Outcome::Fault | Outcome::TimedOut if !cancelled => scope = Some((ix, Some(class), None)),
            Outcome::NoRoute | Outcome::Cut => {
                w.unreachable = self.settings.allowed.probe;
                w.connected_until = 0;
                w.failed_while_gone = w.entry.stage == Stage::Gone;
                scope = Some((ix, None, None));
                // Where probes are allowed, a probe tells more: a broken connection alone does not eject the
                // worker.
                weight = if w.unreachable { DISCONNECT_SCORE } else { 1.0 };
                self.probe(ix);
            }
            _ => {}
        }
        if let Some(scope) = scope {
            self.fleet.record_failure(scope, weight, base, self.now);
        }
    }

    /// Duration of the first ejection: the time in which each worker gets one request on average, at least a
    /// usual response time.
    fn base_ejection(&self, class: ClassId) -> f64 {
        let per_s = self.admission.total_rate.count(self.now) / RATE_WINDOW_S;
        let round = self.fleet.ready[class.0].len() as f64 * 1e6 / per_s.max(1e-3);
        round.clamp(self.usual_response, self.usual_response * MAX_BASE_EJECTION)
    }

    /// Whether no further attempt can be made, now or later, or none that earns anything.
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

    /// Gives the final answer without a result: a refusal where a retry is harmless, else a failure.
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

    /// When a refused client should retry: within a usual response time, slots become free.
    fn retry_after(&self) -> Micros {
        (self.usual_response as Micros).min(self.settings.allowed.max_retry_after)
    }

    /// Ends a request; it is kept while attempts are in flight. Other attempts in flight are cancelled.
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
        // All instances with queued requests see the same free slot: only a new hint tells whether it is
        // still free.
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

    /// Processes a report. It is late if it counts fewer jobs than this instance has there; so are two in a
    /// row that do not count a job sent there. All reports are then ignored for a while, and availability is
    /// judged by rejections.
    fn on_report(&mut self, ix: WorkerIndex, report: Option<&Report>) {
        let Some(report) = report else { return };
        let (w, now) = (&self.fleet.workers[ix], self.now);
        if let Some(reported) = report.in_flight.filter(|_| w.in_flight > 0) {
            // Any report since must count own jobs that have been in flight for more than a tick.
            let settled = |a: &&Attempt| a.worker == ix && now >= a.sent + self.tick && !a.cancelled;
            let ours = self.jobs.values().flat_map(|j| &j.in_flight).filter(settled);
            let newest = ours.clone().max_by_key(|a| (a.sent, a.number));
            let newest = newest.filter(|a| w.last_served < a.sent && now < a.sent + self.tick * 2);
            if let Some(before) = newest.and_then(|a| a.reported_before) {
                self.fleet.late_reports =
                    if reported < before + 0.5 { self.fleet.late_reports + 1 } else { 0 };
            }
            let behind = reported + 0.5 < ours.count() as f64 || self.fleet.late_reports >= MAX_LATE_REPORTS;
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
            // Avoids cancelling the jobs there because a connection broke during one probe.
            self.probe(ix);
        } else if w.unreachable {
            w.connected_until = 0;
            // Probes during an ejection add no information: the ejection grows only once each time it ends.
            if self
                .fleet
                .ejections
                .get(&scope)
                .is_none_or(|ejection| ejection.score < 1.0 || self.now >= ejection.until)
            {
                self.fleet.record_failure(scope, 1.0, base, self.now);
            }
            // A worker that answers is alive: it may be draining, and still completes its jobs.
            if outcome != Outcome::NoRoom {
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
        // A report requested a tick after a send must count the job: this checks whether reports are late.
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

    /// Retries attempts that are overdue or at a dead worker, where allowed: as a second copy if a worker
    /// has a free slot, else after cancelling the first. An overdue attempt counts as a failure of its
    /// worker.
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
            // A job that has not started is no failure yet: the worker is full.
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
