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
const KEY_JOBS: u32 = 16;
/// Keys remembered; the one unused longest gives way.
const MAX_KEYS: NonZeroUsize = NonZeroUsize::new(256).unwrap();
/// Drained workers remembered, so that an old list can't bring them back.
const MAX_DRAINED: NonZeroUsize = NonZeroUsize::new(1024).unwrap();
/// Candidates of a look: fifteen of sixteen find a free slot where half of the workers are busy.
const LOOK: usize = 4;
/// Looks before a request goes where no slot was seen free. With `LOOK` it is the probe budget of a request.
const LOOKS: u32 = 3;
/// Draws for the candidates of a look, before all workers are gone through.
const DRAWS: usize = 32;
/// Symptoms stop growing here: bars double up to 2^5 times the first.
const MAX_SUSPICION: f64 = 6.0;
/// The longest first bar, in usual response times: no worker is done without for good.
const LONGEST_BAR: f64 = 16.0;
/// Held requests are looked at so many times in the shortest aim.
const TICKS_PER_AIM: Micros = 4;
/// A job is overdue when nothing came of it for so many usual response times, or 1.25 progress intervals.
const OVERDUE: f64 = 2.5;
/// The same in slacks, where it must be called back first; the second where no start is told: waits count in.
const OVERDUE_ALONE: [f64; 2] = [5.0, 8.0];
/// A job that may be repeated, and waits longer than this part of what it can afford, gets a copy elsewhere.
const START_PART: Micros = 6;
/// Reports by probe alone are renewed seldom: one younger than this part of a response time still stands.
const REPORT_AGE: f64 = 0.5;
/// A tail's worth is gone at so many times its slack: that part may wait long.
const TAIL_PART: f64 = 5.0;
/// A request that so many workers answered with an error fails anywhere.
const FAULTS: usize = 3;
/// Room left at a worker for what is not known of others' jobs there, in slots.
const DOUBT: f64 = 0.5;
/// Held jobs wait this many slacks, over their worth, for later ones. Guards short ones in a shortage.
const SLACKS: f64 = 4.0;
/// An instance has little traffic when so many times its open requests are fewer than the workers.
const LITTLE: usize = 4;
/// So many reports in a row without the job that was sent there a tick before are no chance.
const MISSED: u32 = 2;
/// A broken connection may be alone in that: it is this part of a symptom. Dead: so many probes have failed.
const BROKEN_PART: f64 = 0.4;
const DEAD_AFTER: u32 = 2;
/// A job that waited there says that a worker is full for this part of its wait: slots may be free then.
const BAR_PART: Micros = 4;
/// So many times what was held to fit at a worker of a size began at once: then more fit by that factor.
const FAR_MORE: f64 = 1.5;
const FIT_RISE: f64 = 1.1;
/// A job waits for room by hints until this part of the time to its deadline is left.
const HEED_PART: Micros = 4;
/// A job leaves a slot to those that earn so many times as much by it, for this part of its slack.
const EARNS_MORE: f64 = 2.0;
const YIELD_PART: Micros = 3;
/// Reports stay set aside for so many usual response times after the last one caught late.
const LATE_FOR: f64 = 4.0;

/// The wait after a failed list: for each instance, and at most. A change is told 6 s after it could be had.
const AGAIN: (Micros, Micros) = (120_000, 2_000_000);

impl JobType {
    /// n_i − α_i·n and −α_i: the design's order is from the smallest up.
    fn gap(&self, w: Ix) -> (f32, f32) {
        let p = self.get(w);
        let share = p.inverse / self.total.max(f32::MIN_POSITIVE);
        (p.out as f32 - share * self.out as f32, -share)
    }

    /// Takes shares anew: unseen workers borrow the median of their kind, else of all.
    fn take(&mut self, ready: &[Ix], fleet: &Fleet) {
        let mut seen: Vec<(KindId, f32)> = Vec::new();
        for &w in ready {
            let p = self.at(w);
            if p.jobs > 0.0 {
                seen.push((fleet.workers[w].entry.kind, p.mean.max(1.0)));
            }
        }
        let (all, kinds) = medians(&mut seen);
        self.median = all;
        self.by.iter_mut().for_each(|p| p.inverse = 0.0);
        (self.total, self.top) = (0.0, 0.0);
        for &w in ready {
            let kind = fleet.workers[w].entry.kind;
            let borrowed = kinds.iter().find(|k| k.0 == kind).map(|k| k.1).or(self.median);
            let p = &mut self.by[w];
            p.weight = fleet.weight(w);
            p.inverse = p.weight / if p.jobs > 0.0 { p.mean } else { borrowed.unwrap_or(1.0) }.max(1.0);
            self.total += p.inverse;
            self.top = self.top.max(p.inverse);
        }
    }
}

impl Class {
    /// Rule 6: the kinds and zones that the class may go to.
    pub fn is_open_to(&self, e: &WorkerEntry) -> bool {
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
            Stage::Ready => !(rules.dropped_stay_open && self.drained),
            Stage::Draining => false,
            Stage::Gone => rules.dropped_stay_open && !self.drained && !self.unreached,
        }
    }

    /// The design's availability: its slots are free by the report, else no job as large was refused lately.
    fn available(&self, slots: f64, now: Micros, late: bool) -> bool {
        // Free slots are for those that wait already; own jobs out take slots, whatever an old report says.
        let free = |free: f64| if late { self.slots } else { free - self.waiting.round() };
        let left = self.free.map(|f| free(f).min(self.slots - self.out_slots));
        if let Some(foreign) = self.foreign {
            return !self.refused(slots, now) && self.out_slots + foreign + slots <= self.slots + DOUBT;
        }
        // Without reports: a job that has not begun waits for a slot.
        let waits = self.free.is_none()
            && self.mute < MUTE_AFTER
            && (self.awaited > 0 || f64::from(self.out) >= self.room);
        !waits && !self.refused(slots, now) && left.is_none_or(|left| left + 0.25 >= slots)
    }

    fn refused(&self, slots: f64, now: Micros) -> bool {
        self.full.is_some_and(|(size, until)| slots >= size && now < until)
    }

    /// Wait of a job sent there now: what stands before it, at one slot's turn `r` for all its slots.
    fn wait(&self, slots: f64, r: f64, late: bool) -> f64 {
        if late {
            return (self.out_slots + slots - self.slots).max(0.0) * r / self.slots;
        }
        (self.waiting + self.free.map_or(0.0, |free| slots - free).max(0.0)) * r / self.slots
    }
}

impl Fleet {
    /// Whether peers' hints leave no room at a worker beside so many slots to be left.
    fn is_crowded(&self, w: Ix, left: f64, now: Micros) -> bool {
        let worker = &self.workers[w];
        let full = worker.entry.size > 0.0 && worker.crowd() + 0.5 + left > self.fits(w);
        now < self.hinted && (now < worker.shunned || full)
    }

    /// Jobs that fit there at once, as learnt of its kind.
    fn fits(&self, w: Ix) -> f64 {
        let entry = &self.workers[w].entry;
        (entry.size * self.fit.get(&entry.kind).copied().unwrap_or(1.0)).max(1.0)
    }

    /// A job began at once beside so many others, far more than were held to fit: more do.
    fn learn_fit(&mut self, w: Ix, crowd: f64) {
        if self.workers[w].entry.size > 0.0 && crowd > self.fits(w) * FAR_MORE {
            *self.fit.entry(self.workers[w].entry.kind).or_insert(1.0) *= FIT_RISE;
        }
    }

    /// Trusted, or due for a trial: one job at a time while any suspicion is left.
    fn trusted(&self, w: Ix, request: &Request, now: Micros) -> bool {
        let free = |bar: &Bar| bar.suspicion < 1.0 || now >= bar.until && self.workers[w].out == 0;
        self.bars.is_empty() || lanes(w, request).iter().all(|lane| self.bars.get(lane).is_none_or(free))
    }

    fn symptom(&mut self, lane: Lane, part: f64, base: f64, now: Micros) {
        // Two classes in a row speak of the worker: one that drains, say, before the list tells.
        let other = self.bars.iter().any(|(l, _)| l.0 == lane.0 && l.1.is_some() && l.1 != lane.1);
        let lane = if other { (lane.0, None, None) } else { lane };
        let bar = self.bars.entry(lane).or_default();
        bar.suspicion = (bar.suspicion + part).min(MAX_SUSPICION);
        bar.until = bar.until.max(now + (base * 2f64.powf(bar.suspicion - 1.0)) as Micros);
    }

    fn served(&mut self, w: Ix, request: &Request) {
        let lanes = lanes(w, request);
        self.bars.retain(|lane, bar| {
            bar.suspicion -= f64::from(u8::from(lanes.contains(lane)));
            bar.suspicion >= 1.0
        });
    }
}

fn first_wait(settings: &Settings) -> Micros {
    (Micros::from(settings.instances.max(1)) * AGAIN.0).min(AGAIN.1)
}

/// Concern 3, the request life cycle, and the whole. A send is decided by `settle`, and passes `may_send`.
#[derive(Debug)]
pub struct Balancer {
    settings: Settings,
    now: Micros,
    actions: Vec<Action>,
    rng: Rng,
    /// Decides in which spans this instance may send to which cold worker.
    lot: u64,
    profiles: Profiles,
    fleet: Fleet,
    admission: Admission,
    jobs: FxHashMap<RequestId, Job>,
    held: Vec<RequestId>,
    looking: Vec<RequestId>,
    open: usize,
    tick: Micros,
    wake_at: Micros,
    due: Micros,
    subscribe_at: Option<Micros>,
    subscribe_wait: Micros,
    /// Usual response time by class, over all workers; the longest is the unit of bars.
    class_time: Vec<f64>,
    least: Vec<f64>,
    usual: f64,
}

impl Balancer {
    /// An instance that knows nothing yet; the seed decides its random choices.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let aim = settings.classes.iter().map(|c| c.aim).min().unwrap_or(1);
        let ask = settings.discovery == Discovery::Subscribe;
        let blind = settings.report_source == ReportSource::None;
        let rise = settings.tail_slack.filter(|_| settings.tells_start).map(|part| part * TAIL_PART);
        let rise = rise.or(blind.then_some(1.0));
        let mut rng = Rng::with_seed(seed);
        let types = (0..settings.classes.len()).map(|c| (c, JobType::default())).collect();
        let short = vec![false; settings.classes.len()];
        let rates = vec![Rate::default(); settings.tenants.len()];
        Ok(Balancer {
            lot: rng.u64(..),
            rng,
            profiles: Profiles { types, keys: LruCache::new(MAX_KEYS) },
            fleet: Fleet::new(settings.classes.len(), MAX_DRAINED, settings.tells_start),
            admission: Admission { rates, level: f64::MAX, short, blind, rise, ..Admission::default() },
            jobs: FxHashMap::default(),
            held: Vec::new(),
            looking: Vec::new(),
            open: 0,
            tick: (aim / TICKS_PER_AIM).max(1000),
            wake_at: Micros::MAX,
            due: Micros::MAX,
            subscribe_at: ask.then_some(0),
            subscribe_wait: first_wait(&settings),
            usual: aim as f64,
            least: vec![f64::MAX; settings.classes.len()],
            class_time: settings.classes.iter().map(|c| c.aim as f64).collect(),
            now: 0,
            actions: Vec::new(),
            settings,
        })
    }

    /// Takes one event at a time that never goes back, and adds what is to be done to `actions`.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::WorkerList(kind, entries) => self.workers(kind, &entries),
            Event::Overrides(ref set) if self.fleet.take_overrides(set) => self.relist(),
            Event::ListValid(valid) if std::mem::replace(&mut self.fleet.list_valid, valid) != valid => {
                self.relist()
            }
            Event::ListFailed if self.settings.discovery == Discovery::Subscribe => {
                let wait = self.subscribe_wait;
                self.subscribe_at = Some(self.now + self.rng.u64(wait / 2..=wait));
                self.subscribe_wait = (wait * 2).min(AGAIN.1);
            }
            Event::Request(request) => self.request(request),
            Event::Aborted(id) => self.finish(&id),
            Event::ResponseStarted(id, number) => {
                self.jobs.get_mut(&id).into_iter().for_each(|job| job.keep(number));
                self.finish(&id);
            }
            Event::JobStarted(id, number) => self.begun(&id, number),
            Event::Progress(id, number, _) => {
                let attempt = self.jobs.get_mut(&id).and_then(|j| j.attempt(number));
                attempt.into_iter().for_each(|a| a.sign = now);
            }
            Event::AttemptEnded(end) => self.closed(end),
            Event::PeerHint { worker, in_flight, refused } => {
                self.fleet.heard_of(worker, in_flight, refused, now);
                self.due = if self.held.is_empty() { self.due } else { now };
            }
            Event::ProbeEnded { worker, outcome, report } => self.probed(worker, outcome, report),
            Event::Timer(_) if self.now >= self.wake_at => {
                self.wake_at = Micros::MAX;
                self.supervise();
            }
            Event::Overrides(_) | Event::ListFailed | Event::ListValid(_) | Event::Timer(_) => {}
        }
        if self.subscribe_at.is_some_and(|at| self.now >= at) {
            self.actions.push(Action::Subscribe);
            self.subscribe_at = Some(self.now + self.settings.rules.ask_within);
        }
        let due = self.due.min(self.subscribe_at.unwrap_or(Micros::MAX)).max(self.now + 1);
        if due < self.wake_at {
            self.wake_at = due;
            self.actions.push(Action::Wake(due, 0));
        }
        actions.append(&mut self.actions);
    }

    fn workers(&mut self, kind: ListKind, entries: &Arc<[WorkerEntry]>) {
        if kind != ListKind::Cached {
            self.subscribe_at = None;
            self.subscribe_wait = first_wait(&self.settings);
        }
        if self.fleet.take_list(kind, entries, &mut self.profiles, self.now) {
            self.relist();
        }
    }

    fn relist(&mut self) {
        let looking = !self.looking.is_empty();
        self.fleet.relist(&self.settings, &mut self.profiles, self.now, looking);
        self.release();
    }

    fn request(&mut self, request: Request) {
        if self.jobs.contains_key(&request.id) {
            return;
        }
        let known = request.class.0 < self.settings.classes.len() && request.slots.is_finite();
        if !known || self.open >= self.settings.allowed.most_held || self.now >= request.deadline {
            self.actions.push(Action::Refuse { id: request.id, retry_after: self.retry_after() });
            return;
        }
        let (id, class) = (request.id.clone(), request.class);
        let tenant = request.tenant.filter(|t| t.0 < self.settings.tenants.len());
        self.due = self.due.min(request.deadline);
        let job_type = self.profiles.job_type(request.class, request.key.as_ref());
        let job = Job::new(request, job_type, self.now);
        self.open += 1;
        self.jobs.insert(id.clone(), job);
        self.admission.all.add(self.now);
        if let Some(tenant) = tenant {
            self.admission.rates[tenant.0].add(self.now);
            self.admission.learn(self.admission.short[class.0]);
            if self.admission.over(self.now, tenant, &self.settings, &mut self.rng) {
                return self.give_up(&id);
            }
        }
        // Without load figures waits tell where there is room: here, elsewhere, or nowhere.
        let home = self.settings.zone.unwrap_or_default();
        // What earns more for the time of a slot is thinned less.
        let all = (0..self.class_time.len()).map(|c| self.earns(c).ln()).sum::<f64>();
        let thinned = ((all / self.class_time.len() as f64).exp() / self.earns(class.0)).sqrt();
        let mut has_room = |room: f64| self.rng.f64() < room.powf(thinned);
        let here = self.admission.room.get(&home).copied().unwrap_or(1.0);
        if !has_room(here) {
            let away = self.admission.room.iter().filter(|r| *r.0 != home).map(|r| *r.1).fold(0.0, f64::max);
            if !has_room((away - here).max(0.0)) {
                return self.give_up(&id);
            }
            self.jobs.entry(id.clone()).and_modify(|job| job.away = true);
        }
        self.place(&id);
    }

    fn ask(&mut self, ix: Ix) {
        let w = &mut self.fleet.workers[ix];
        if self.settings.allowed.probe && !std::mem::replace(&mut w.probing, true) {
            self.actions.push(Action::Probe(w.entry.worker));
        }
    }

    /// Reports are set aside. Not where no more can wait than run: refusals put late figures right there.
    fn late(&self) -> bool {
        let slots = |kind| self.fleet.kind_slots.get(kind).copied().unwrap_or(1.0);
        self.now < self.fleet.late_until
            && !self.fleet.kind_queue.iter().any(|(kind, room)| *room <= slots(kind))
    }

    /// The gate: every send passes here. Holds rules 1 to 7 for one request and one worker.
    fn may_send(&self, job: &Job, ix: Ix) -> bool {
        let (class, w) = (&self.settings.classes[job.request.class.0], &self.fleet.workers[ix]);
        // Rule 1: nothing for a request that is over, out of time or out of attempts.
        let spent = job.attempts >= self.settings.allowed.max_attempts;
        if job.done || self.now >= job.request.deadline || spent {
            return false;
        }
        // Rule 2 and 5: one attempt at a time, or a second copy where allowed; repeats as the effect allows.
        if !job.out.is_empty() && (!self.settings.allowed.parallel || job.out.len() > 1) {
            return false;
        }
        let first = job.out.first().map(|a| (a.place.0, a.place.1, a.sent));
        if let Some((zone, cell, at)) = job.doubt.or(first) {
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
            && class.is_open_to(&w.entry)
            && (w.warmth(&self.settings.rules, self.now) >= 1.0 || self.cold_allows(job, ix))
    }

    /// The only worker that operators leave the job, while it can be reached and the rules let it go there.
    fn pinned(&self, job: &Job) -> Option<Ix> {
        self.fleet.pin(&job.request).filter(|&w| !self.fleet.workers[w].dark && self.may_send(job, w))
    }

    /// Whether the worker has a slot for the job by own jobs and, until its deadline is near, by hints. A job
    /// that is late leaves one to those that are not, and one that can wait to those that earn far more.
    fn has_room(&self, job: &Job, ix: Ix, late: bool) -> bool {
        let (class, waited) = (job.request.class, self.now.saturating_sub(job.arrived));
        let more = |c: usize| self.earns(c) > self.earns(class.0) * EARNS_MORE;
        let waits = |slack: Micros| waited < slack / YIELD_PART && (0..self.class_time.len()).any(more);
        let heeds = self.now + (job.request.deadline - job.arrived) / HEED_PART < job.request.deadline;
        let yields = |slack: Micros| f64::from(u8::from(waited > slack || waits(slack)));
        self.fleet.workers[ix].available(job.request.slots, self.now, late)
            && !(heeds && self.fleet.is_crowded(ix, yields(self.slack(class, None)), self.now))
    }

    /// The design's order: by the jobs of the type here, or, where others' are told of, by all jobs.
    fn gap(&self, t: &JobType, w: Ix, crowd: Option<f64>) -> (f32, f32) {
        let (gap, share) = t.gap(w);
        let by_all = crowd.map(|crowd| self.fleet.workers[w].crowd() as f32 + share * crowd as f32);
        (by_all.unwrap_or(gap), share)
    }

    fn slot_time(&self, job: &Job, w: Ix) -> f64 {
        let r = job.request.work.map(|work| work as f64).or(self.profiles.types[job.job_type].mean(w));
        r.unwrap_or(self.class_time[job.request.class.0]) * job.request.slots.max(1.0)
    }

    /// Rule 4: whether this instance's part of a cold worker's budget has room for the job.
    fn cold_allows(&self, job: &Job, ix: Ix) -> bool {
        let w = &self.fleet.workers[ix];
        let budget = self.cold_budget(ix);
        let seed = self.lot ^ budget.started.rotate_left(32) ^ u64::from(w.entry.worker.0);
        let phase = Rng::with_seed(seed).f64();
        budget.allows(self.slot_time(job, ix), phase, self.fleet.known_since, w.overdraft, self.now)
    }

    fn cold_budget(&self, ix: Ix) -> ColdBudget<'_> {
        let w = &self.fleet.workers[ix];
        ColdBudget {
            rules: &self.settings.rules,
            started: w.since.unwrap_or(0),
            slots: self.fleet.slots_of(w.entry.kind),
            instances: self.settings.instances,
        }
    }

    /// Candidates of the next look: the first in the design's order. While own jobs of the type are fewer
    /// than the workers, gaps say little: unless measured times are all there is to go by, candidates are
    /// then drawn by α, the share in expectation, and not all instances meet at the same fast worker.
    fn pick(&mut self, id: &RequestId) -> Vec<Ix> {
        let (now, late) = (self.now, self.late());
        let Some(job) = self.jobs.get(id) else { return Vec::new() };
        let (class, slots) = (job.request.class.0, job.request.slots);
        let ready = &self.fleet.ready[class];
        let t = &mut self.profiles.types[job.job_type];
        if t.taken
            .is_none_or(|(at, version)| version != self.fleet.version || now >= at + self.usual as Micros)
        {
            t.take(ready, &self.fleet);
            t.taken = Some((now, self.fleet.version));
            if job.job_type == class {
                self.class_time[class] = t.median.map_or(self.class_time[class], f64::from);
                self.least[class] = self.least[class].min(self.class_time[class]);
                self.usual = self.class_time.iter().copied().fold(1.0, f64::max);
            }
            self.fleet.typical_slots();
        }
        if let Some(w) = self.pinned(job) {
            // No copy goes beside the one there.
            return Vec::from_iter((job.out.is_empty() && !job.seen.contains(&w)).then_some(w));
        }
        let (ready, t) = (&self.fleet.ready[class], &self.profiles.types[job.job_type]);
        let (age, mut rng) = (self.fresh_for(class), self.rng.fork());
        let usable = |w: Ix, trust: bool| {
            let worker = &self.fleet.workers[w];
            let learnt = self.admission.blind && job.looks + 1 < LOOKS;
            let told = late || learnt || worker.fresh(now, age) || worker.refused(slots, now);
            (self.has_room(job, w, late) || !told)
                && (!trust || self.fleet.trusted(w, &job.request, now))
                && !job.seen.contains(&w)
                && self.may_send(job, w)
        };
        // Fewer instances than workers, and no reports: they can't all meet, and own jobs are what is known.
        let alone = self.admission.blind && (self.settings.instances as usize) < ready.len();
        let crowd = self.fleet.crowd(class, now);
        let few = (t.out as usize) < ready.len() && !late && !alone && crowd.is_none();
        let look = if few && self.admission.blind { 1 } else { LOOK };
        // Suspicion never empties the fleet: with nobody trusted, all are candidates of the last look.
        let all_suspect = || !ready.iter().any(|&w| self.fleet.trusted(w, &job.request, now));
        let ignore = job.seen.is_empty() && job.looks + 1 >= LOOKS && all_suspect();
        let near = |w: Ix| late || self.extras(w, job) <= job.looks;
        let mut drawn: Vec<Ix> = Vec::with_capacity(look);
        if few {
            // A cold worker that the lot allows comes first: the permission lapses.
            let cold = |w: Ix| self.fleet.workers[w].warmth(&self.settings.rules, now) < 1.0;
            let lot =
                self.fleet.cold.iter().copied().filter(|&w| cold(w) && t.get(w).inverse > 0.0 && near(w));
            drawn.extend(lot.filter(|&w| usable(w, true)).take(look));
            for _ in 0..DRAWS.min(ready.len() * 2) {
                let w = ready[rng.usize(..ready.len())];
                let kept = drawn.len() < look && rng.f32() * t.top < t.get(w).inverse;
                if kept && near(w) && !drawn.contains(&w) && usable(w, true) {
                    drawn.push(w);
                }
            }
        }
        for trust in if ignore { &[true, false][..] } else { &[true] } {
            if drawn.len() == look || !(drawn.is_empty() || *trust) {
                break;
            }
            drawn.clear();
            let mut best: Vec<((f32, f32, f32), Ix)> = Vec::with_capacity(look + 1);
            for &w in ready.iter().filter(|&&w| near(w)) {
                let (gap, share) = self.gap(t, w, crowd);
                let tie = rng.f32();
                let key = if few { (-tie.ln() / t.get(w).inverse, 0.0, 0.0) } else { (gap, share, tie) };
                if (best.len() < look || key < best[look - 1].0) && usable(w, *trust) {
                    let at = best.partition_point(|b| b.0 <= key);
                    best.insert(at, (key, w));
                    best.truncate(look);
                }
            }
            drawn.extend(best.into_iter().map(|b| b.1));
        }
        drawn
    }

    /// What a send there costs beside the work, where that has a price: a new connection, a crossing. The
    /// first look keeps to workers that cost neither, the second to those of one; no copy crosses.
    fn extras(&self, w: Ix, job: &Job) -> u32 {
        let (prices, w) = (&self.settings.prices, &self.fleet.workers[w]);
        let opens = prices.connection + prices.handshake > 0.0 && w.connected < self.now;
        let crosses =
            prices.cross_zone > 0.0 && self.settings.zone.is_some_and(|z| (z != w.entry.zone) != job.away);
        u32::from(opens) + u32::from(crosses) * if job.out.is_empty() { 1 } else { LOOKS }
    }

    fn fresh_for(&self, class: usize) -> Micros {
        let renewed = self.settings.report_source == ReportSource::Responses;
        (if renewed { self.tick as f64 / 8.0 } else { self.class_time[class] * REPORT_AGE }) as Micros
    }

    fn place(&mut self, id: &RequestId) {
        if let Some(job) = self.jobs.get_mut(id) {
            (job.looks, job.looking) = (if job.held { LOOKS - 1 } else { 0 }, None);
            job.seen.clear();
            self.look(id);
        }
    }

    fn look(&mut self, id: &RequestId) {
        loop {
            let Some(job) = self.jobs.get(id).filter(|j| !j.done) else { return };
            if job.out.is_empty() && self.lost(job) {
                return self.give_up(id);
            }
            let picks = if job.looks < LOOKS { self.pick(id) } else { Vec::new() };
            let age = self.fresh_for(self.jobs[id].request.class.0);
            let several = picks.len() > 1 || self.jobs[id].attempts > 0;
            let asks = several && self.settings.reports_count_jobs && !self.admission.blind && !self.late();
            let mut waits = false;
            for &w in &picks {
                let worker = &self.fleet.workers[w];
                if worker.dark || asks && !worker.fresh(self.now, age) {
                    waits = self.settings.allowed.probe;
                    self.ask(w);
                }
            }
            let Some(job) = self.jobs.get_mut(id) else { return };
            job.looks += 1;
            job.seen.extend(&picks);
            if waits {
                let until = self.now + self.tick / 2;
                self.due = self.due.min(until);
                if job.looking.replace(until).is_none() {
                    self.looking.push(id.clone());
                }
                return;
            }
            if self.settle(id) {
                return;
            }
        }
    }

    /// Ends a look: sends to the first available candidate in the design's order. False: look further.
    fn settle(&mut self, id: &RequestId) -> bool {
        let late = self.late();
        self.looking.retain(|l| l != id);
        let Some(job) = self.jobs.get_mut(id) else { return true };
        job.looking = None;
        let job = &self.jobs[id];
        let (class, slots) = (&self.settings.classes[job.request.class.0], job.request.slots);
        let t = &self.profiles.types[job.job_type];
        let reachable = |w: &Ix| !self.fleet.workers[*w].dark && self.may_send(job, *w);
        let mut order: Vec<Ix> = job.seen.iter().copied().filter(reachable).collect();
        let (crowd, unordered) = (self.fleet.crowd(job.request.class.0, self.now), Ordering::Equal);
        let gap = |w: Ix| self.gap(t, w, crowd);
        order.sort_by(|&a, &b| gap(a).partial_cmp(&gap(b)).unwrap_or(unordered));
        let free = order.iter().copied().find(|&w| self.has_room(job, w, late));
        let first_try = job.attempts == 0 && job.out.is_empty();
        if let Some(w) = free {
            self.admission.short[job.request.class.0] = false;
            self.send(id, w);
            return true;
        }
        if job.looks < LOOKS {
            return false;
        }
        // None is available: the first in gap order that would start it within the aim.
        let r = |w: Ix| t.mean(w).unwrap_or(self.class_time[job.request.class.0]);
        let wait = |w: Ix| self.fleet.workers[w].wait(slots, r(w), late);
        // A queue as long as where others of the kind turned work away would do the same: that is no room.
        let full = |w: &Worker| {
            let most = self.fleet.kind_queue.get(&w.entry.kind).filter(|_| self.now >= self.fleet.late_until);
            w.refused(slots, self.now) || most.is_some_and(|most| w.waiting + 0.5 >= *most)
        };
        let mut open = order.iter().copied().filter(|&w| !full(&self.fleet.workers[w]));
        let in_time = open.clone().find(|&w| wait(w) <= class.aim as f64);
        let first = in_time.or_else(|| open.next());
        // Where "no room" may end a request for good, it waits for a slot that is seen free.
        let waits = self.settings.rules.may_shed_begun && class.effect == Effect::Once;
        let hopeless = class.late_share == 0.0 && in_time.is_none();
        self.admission.short[job.request.class.0] = in_time.is_none();
        match first {
            _ if !job.out.is_empty() => {}
            Some(_) if first_try && !waits && hopeless => self.give_up(id),
            Some(w) if first_try && !waits && !self.admission.blind => self.send(id, w),
            _ => self.hold(id),
        }
        true
    }

    fn hold(&mut self, id: &RequestId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if self.now + self.tick * 3 / 2 >= job.request.deadline {
            return self.give_up(id);
        }
        self.due = self.due.min(self.now + self.tick);
        if !std::mem::replace(&mut job.held, true) {
            let rank = self.rank(id);
            let at = self.held.partition_point(|h| self.rank(h) <= rank);
            self.held.insert(at, id.clone());
        }
    }

    /// Order of held requests: those in time by arrival and slack over worth, then late ones by the latter.
    fn rank(&self, id: &RequestId) -> (bool, u64) {
        let Some(job) = self.jobs.get(id) else { return (false, 0) };
        let (class, waited) = (job.request.class.0, self.now.saturating_sub(job.arrived));
        if !self.settings.worth_by_work {
            return (waited > self.settings.classes[class].aim, (1.0 / self.earns(class)) as u64);
        }
        let slack = self.slack(job.request.class, job.request.work);
        let spared = (slack as f64 * SLACKS / self.settings.classes[class].worth.max(1e-9)) as Micros;
        (waited > slack, if waited > slack { spared } else { job.arrived + spared })
    }

    fn earns(&self, class: usize) -> f64 {
        let time = if self.settings.worth_by_work { self.usual } else { self.class_time[class] };
        self.settings.classes[class].worth.max(1e-9) / time
    }

    fn send(&mut self, id: &RequestId, ix: Ix) {
        let Some(job) = self.jobs.get(id).filter(|job| self.may_send(job, ix)) else { return };
        let age = self.fresh_for(job.request.class.0);
        let cost = self.slot_time(job, ix);
        let overdraft = self.cold_budget(ix).sent(cost, self.fleet.workers[ix].overdraft, self.now);
        let (Some(job), w) = (self.jobs.get_mut(id), &mut self.fleet.workers[ix]) else { return };
        let awaited = w.mute < MUTE_AFTER;
        w.sent(job.request.slots, awaited, self.now, self.settings.allowed.keepalive);
        w.overdraft = overdraft;
        if std::mem::replace(&mut job.held, false) {
            self.held.retain(|h| h != id);
        }
        let place = (w.entry.zone, w.entry.cell);
        let little = self.open * LITTLE < self.fleet.ready[job.request.class.0].len();
        let crowd = w.crowd() - 1.0;
        let before = w.held.filter(|_| little && w.fresh(self.now, age));
        let (number, now) = (AttemptNo(job.attempts), self.now);
        let (sent, sign, cancelled) = (now, now, false);
        let running = false;
        job.out.push(Attempt {
            number,
            worker: ix,
            sent,
            sign,
            place,
            cancelled,
            crowd,
            awaited,
            running,
            before,
        });
        job.attempts += 1;
        let worker = w.entry.worker;
        self.profiles.types[job.job_type].count(ix, true);
        let timeout = job.request.deadline - self.now;
        self.actions.push(Action::Send { id: id.clone(), worker, timeout });
        self.due = self.due.min(now + self.overdue_after(id).min(self.tick));
    }

    /// How long an attempt may go without a sign. Later ones are given longer: the job may just be long.
    fn overdue_after(&self, id: &RequestId) -> Micros {
        let Some(job) = self.jobs.get(id) else { return Micros::MAX };
        // Guards against calling back a job that is merely long: where it has no copy, its work is lost.
        let (class, alone) = (job.request.class, !self.settings.allowed.parallel);
        let times = OVERDUE_ALONE[usize::from(!self.settings.tells_start)];
        let alone = alone.then(|| self.slack(class, job.request.work) as f64 * times);
        let patience = alone.unwrap_or(self.class_time[class.0] * OVERDUE) * f64::from(job.attempts.max(1));
        patience.max(self.settings.progress_interval as f64 * 1.25) as Micros
    }

    /// A job that waits longer will miss its aim, if it runs as long as its hint says, else as usual.
    fn slack(&self, class: ClassId, work: Option<Micros>) -> Micros {
        let c = &self.settings.classes[class.0];
        let work = work.map_or(self.class_time[class.0], |work| work as f64);
        c.aim + ((c.stretch - 1.0).max(0.0) * work) as Micros
    }

    fn due_at(&self, id: &RequestId, a: &Attempt) -> Micros {
        let (slack, patience) = (self.slack(self.jobs[id].request.class, None), self.overdue_after(id));
        let copies = a.awaited && self.settings.allowed.parallel;
        a.sign + if copies { patience.min(slack / START_PART) } else { patience }.max(1)
    }

    /// How long a job waited tells of the worker. A copy that still waits elsewhere is not needed.
    fn begun(&mut self, id: &RequestId, number: AttemptNo) {
        let (now, cancel) = (self.now, self.settings.allowed.cancel);
        let Some(job) = self.jobs.get_mut(id) else { return };
        let (class, slots) = (job.request.class, job.request.slots);
        let Some(a) = job.attempt(number) else { return };
        let (ix, crowd, waited) = (a.worker, a.crowd, now - a.sent);
        a.sign = now;
        self.fleet.workers[ix].begins(a);
        self.fleet.workers[ix].runs(a, slots, now);
        self.fleet.workers[ix].mute = 0;
        for other in job.out.iter_mut().filter(|a| a.awaited && !a.cancelled && cancel) {
            other.cancelled = true;
            self.actions.push(Action::Cancel(id.clone(), other.number));
        }
        let slack = self.slack(class, None);
        self.admission.waited(self.fleet.workers[ix].entry.zone, waited > slack);
        let w = &mut self.fleet.workers[ix];
        if waited > slack / START_PART {
            w.full = Some((slots, now + waited / BAR_PART));
        }
        w.learn_room(waited > slack / START_PART);
        if waited <= slack / START_PART {
            self.fleet.learn_fit(ix, crowd);
        }
        self.offer(ix);
    }

    fn closed(&mut self, end: AttemptEnd) {
        let AttemptEnd { id, attempt: number, outcome, request_done, elapsed, report } = end;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(at) = job.out.iter().position(|a| a.number == number) else { return };
        let mut attempt = job.out.swap_remove(at);
        let ix = attempt.worker;
        if !outcome.never_ran(&self.settings.rules) && job.doubt.is_none_or(|d| attempt.sent < d.2) {
            job.doubt = Some((attempt.place.0, attempt.place.1, attempt.sent));
        }
        let (request, job_type) = (job.request.clone(), job.job_type);
        let before = job.failed.first().copied().filter(|_| outcome == Outcome::Error);
        job.failed.extend((outcome == Outcome::Error).then_some(ix));
        self.profiles.types[job_type].count(ix, false);
        let ran = self.fleet.workers[ix].ran(&attempt, request.slots, self.now);
        ran.into_iter().for_each(|slots| self.fleet.has_run(ix, slots));
        self.fleet.workers[ix].ended(request.slots, self.now, self.settings.allowed.keepalive);
        self.fleet.workers[ix].mute += u32::from(outcome == Outcome::Served && attempt.awaited);
        self.fleet.workers[ix].begins(&mut attempt);
        self.heard(ix, report.as_ref());
        // What was sent to the process before says nothing of this one.
        if self.fleet.workers[ix].since.is_none_or(|t| attempt.sent >= t) {
            match before {
                // An error at a second worker speaks of the request: the first is held to nothing.
                Some(first) => self.fleet.served(first, &request),
                None => self.learn(ix, &request, (outcome, attempt.cancelled), report.as_ref()),
            }
            if outcome == Outcome::Served {
                self.profiles.types[job_type].served(ix, elapsed);
                // Late by its first wait: a shortage, where no report tells of queues and late earns nothing.
                let c = &self.settings.classes[request.class.0];
                let late = elapsed as f64 > c.aim as f64 + c.stretch * self.least[request.class.0];
                let told = report.is_some_and(|r| r.queued.is_some());
                if late && !told && c.late_share == 0.0 && attempt.number.0 == 0 {
                    self.admission.learn(true);
                }
                if let Some(key) = request.key {
                    self.profiles.count_key(key, KEY_JOBS);
                }
            }
        }
        let Some(job) = self.jobs.get(&id) else { return };
        if request_done || job.done {
            self.finish(&id);
        } else if job.out.is_empty() && job.looking.is_none() {
            self.place(&id);
        }
        self.offer(ix);
    }

    /// What an outcome says of a worker. Broken or refused connections speak of the whole worker; errors,
    /// time-outs and "no room" beside free slots of the class, or the tenant in it.
    fn learn(&mut self, ix: Ix, request: &Request, end: (Outcome, bool), report: Option<&Report>) {
        let (class, tenant, slots, (outcome, cancelled)) =
            (request.class, request.tenant, request.slots, end);
        let (late, base) = (self.now < self.fleet.late_until, self.bar_base(class));
        let w = &mut self.fleet.workers[ix];
        let (mut lane, mut part) = (None, 1.0);
        match outcome {
            Outcome::Served => {
                (w.dark, w.left) = (false, self.now);
                self.fleet.served(ix, request);
            }
            Outcome::Rejected => {
                let room = report.and_then(|r| r.free_slots).is_some_and(|free| free >= slots + 0.75);
                if room && !late {
                    lane = Some((ix, Some(class), tenant));
                } else {
                    if let Some(waiting) = report.and_then(|r| r.queued).filter(|w| w.is_finite() && !late) {
                        let room = self.fleet.kind_queue.entry(w.entry.kind).or_insert(waiting);
                        *room += (waiting - *room) / 4.0;
                    }
                    w.free = w.free.map(|_| 0.0);
                    let stale = late || self.settings.report_source != ReportSource::Responses;
                    let turn = self.usual / w.slots * if stale { 1.0 } else { 0.5 };
                    w.full = Some((slots, self.now + turn as Micros));
                    self.admission.learn(true);
                    self.admission.waited(w.entry.zone, true);
                }
            }
            Outcome::Error | Outcome::TimedOut if !cancelled => lane = Some((ix, Some(class), None)),
            Outcome::ConnectFailed | Outcome::ConnectionLost => {
                w.dark = self.settings.allowed.probe;
                w.connected = 0;
                w.unreached = w.entry.stage == Stage::Gone;
                lane = Some((ix, None, None));
                // Where one can look, a look tells more: it is not left out for a connection that broke.
                part = if w.dark { BROKEN_PART } else { 1.0 };
                self.ask(ix);
            }
            _ => {}
        }
        if let Some(lane) = lane {
            self.fleet.symptom(lane, part, base, self.now);
        }
    }

    /// The first bar after a symptom: the time of a round over all workers, at least a usual response time.
    fn bar_base(&self, class: ClassId) -> f64 {
        let per_s = self.admission.all.count(self.now) / RATE_SPAN_S;
        let round = self.fleet.ready[class.0].len() as f64 * 1e6 / per_s.max(1e-3);
        round.clamp(self.usual, self.usual * LONGEST_BAR)
    }

    /// No further attempt can be made, now or later, or none that is worth anything.
    fn lost(&self, job: &Job) -> bool {
        let class = &self.settings.classes[job.request.class.0];
        let barred = match (class.effect, job.doubt) {
            (_, None) | (Effect::Repeatable, _) => false,
            (Effect::Once, Some(_)) => true,
            (Effect::ByKey { ttl, .. }, Some((_, _, at))) => self.now >= at + ttl,
        };
        let waited = self.now.saturating_sub(job.arrived);
        let worthless = job.held && class.late_share == 0.0 && waited > class.aim;
        let spent = job.attempts >= self.settings.allowed.max_attempts || self.now >= job.request.deadline;
        barred || worthless || spent || job.failed.len() >= FAULTS || self.fleet.shut[job.request.class.0]
    }

    /// Final answer without a result: a refusal where trying again is harmless, else a failure.
    fn give_up(&mut self, id: &RequestId) {
        let Some(job) = self.jobs.get(id).filter(|j| !j.done) else { return };
        let effect = self.settings.classes[job.request.class.0].effect;
        let harmless = matches!(effect, Effect::Repeatable | Effect::ByKey { group: Group::All, .. })
            || (job.doubt.is_none() && job.out.is_empty());
        self.actions.push(if harmless && self.now < job.request.deadline {
            Action::Refuse { id: id.clone(), retry_after: self.retry_after() }
        } else {
            Action::Fail(id.clone())
        });
        self.finish(id);
    }

    /// When a refused client should come back: a usual response time makes room.
    fn retry_after(&self) -> Micros {
        (self.usual as Micros).min(self.settings.allowed.max_retry_after)
    }

    /// The request is over; it is kept only while attempts are out. A copy still out is called back.
    fn finish(&mut self, id: &RequestId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if !std::mem::replace(&mut job.done, true) {
            self.open = self.open.saturating_sub(1);
            if job.attempts > 1 && self.settings.allowed.cancel {
                for a in job.out.iter_mut().filter(|a| !a.cancelled) {
                    a.cancelled = true;
                    self.actions.push(Action::Cancel(id.clone(), a.number));
                }
            }
            job.looking = None;
            self.looking.retain(|l| l != id);
            if std::mem::replace(&mut job.held, false) {
                self.held.retain(|h| h != id);
            }
        }
        if job.out.is_empty() {
            self.jobs.remove(id);
        }
    }

    fn release(&mut self) {
        // A free slot is seen by all who hold requests: only news tells whether it still is.
        let stale = self.now < self.fleet.hinted && self.now + HINTED > self.fleet.hinted + self.tick / 2;
        let mut asked = vec![stale; self.settings.classes.len()];
        for id in self.held.clone() {
            let Some(job) = self.jobs.get(&id).filter(|j| j.held && j.looking.is_none()) else { continue };
            let soon = self.now + self.tick * 3 / 2 >= job.request.deadline;
            let free_to_go = job.doubt.is_none() && self.fleet.pin(&job.request).is_none();
            let class = job.request.class.0;
            if soon || self.lost(job) {
                self.give_up(&id);
            } else if !asked[class] || !free_to_go {
                asked[class] |= free_to_go;
                self.place(&id);
                asked[class] &= self.jobs.get(&id).is_some_and(|j| j.held);
            }
        }
        self.held.retain(|id| self.jobs.get(id).is_some_and(|j| j.held));
        if !self.held.is_empty() {
            self.due = self.due.min(self.now + self.tick);
        }
    }

    fn offer(&mut self, ix: Ix) {
        let late = self.late();
        let mut next = 0;
        while next < self.held.len() && self.fleet.workers[ix].available(1.0, self.now, late) {
            let job = &self.jobs[&self.held[next]];
            let (request, w) = (&job.request, &self.fleet.workers[ix]);
            let fits = self.has_room(job, ix, late) && self.fleet.trusted(ix, request, self.now);
            let fits = fits && self.pinned(job).is_none_or(|pin| pin == ix);
            if job.looking.is_none() && fits && !w.dark && self.may_send(job, ix) {
                let id = self.held[next].clone();
                self.send(&id, ix);
            } else {
                next += 1;
            }
        }
    }

    /// Takes a report in. One that counts fewer jobs than ours is late; so are two in a row with no more jobs
    /// than before an own one went there. All are then set aside: availability falls back on refusals.
    fn heard(&mut self, ix: Ix, report: Option<&Report>) {
        let Some(report) = report else { return };
        let (w, now) = (&self.fleet.workers[ix], self.now);
        if let Some(held) = report.in_flight.filter(|_| w.out > 0) {
            // Own jobs out for over a tick: any report taken since must count them.
            let settled = |a: &&Attempt| a.worker == ix && now >= a.sent + self.tick && !a.cancelled;
            let ours = self.jobs.values().flat_map(|j| &j.out).filter(settled);
            let newest = ours.clone().max_by_key(|a| (a.sent, a.number));
            let newest = newest.filter(|a| w.left < a.sent && now < a.sent + self.tick * 2);
            if let Some(before) = newest.and_then(|a| a.before) {
                self.fleet.missed = if held < before + 0.5 { self.fleet.missed + 1 } else { 0 };
            }
            let behind = held + 0.5 < ours.count() as f64 || self.fleet.missed >= MISSED;
            if behind {
                self.fleet.late_until = now + (self.usual * LATE_FOR) as Micros;
            }
        }
        self.fleet.workers[ix].take_report(report, self.now);
    }

    fn probed(&mut self, worker: WorkerId, outcome: Outcome, report: Option<Report>) {
        let Some(&ix) = self.fleet.index.get(&worker) else { return };
        self.heard(ix, report.as_ref());
        let base = self.bar_base(ClassId(0));
        let (w, lane) = (&mut self.fleet.workers[ix], (ix, None, None));
        let was_dark = w.dark;
        w.probing = false;
        w.missed = if outcome == Outcome::Served { 0 } else { w.missed + 1 };
        w.dark = outcome != Outcome::Served && self.settings.allowed.probe;
        if w.dark && w.missed < DEAD_AFTER {
            // Guards the jobs there: they are not called back for a connection that broke under a probe.
            self.ask(ix);
        } else if w.dark {
            w.connected = 0;
            // Probes that are made while it is barred tell nothing new: the bar grows once each time it ends.
            if self.fleet.bars.get(&lane).is_none_or(|bar| bar.suspicion < 1.0 || self.now >= bar.until) {
                self.fleet.symptom(lane, 1.0, base, self.now);
            }
            // One that answers is alive: it drains, say, and ends what it has.
            if outcome != Outcome::Rejected {
                self.rescue(Some(ix));
            }
        } else if was_dark {
            self.fleet.bars.remove(&lane);
        }
        self.offer(ix);
        for id in self.looking.clone() {
            let Some(job) = self.jobs.get(&id).filter(|j| j.seen.contains(&ix)) else { continue };
            if !job.seen.iter().any(|&w| self.fleet.workers[w].probing) && !self.settle(&id) {
                self.look(&id);
            }
        }
    }

    fn supervise(&mut self) {
        let now = self.now;
        self.due = Micros::MAX;
        for id in self.looking.clone() {
            let over = self.jobs.get(&id).and_then(|j| j.looking).is_some_and(|until| self.now >= until);
            if over && !self.settle(&id) {
                self.look(&id);
            }
        }
        let past = self.jobs.iter().filter(|(_, j)| !j.done && self.now >= j.request.deadline);
        let past: BTreeSet<RequestId> = past.map(|(id, _)| id.clone()).collect();
        past.iter().for_each(|id| self.give_up(id));
        // A report taken a tick after a send must count the job: is it late?
        let due = |a: &&Attempt| now >= a.sent + self.tick && now < a.sent + self.tick * 2;
        let checks: BTreeSet<Ix> =
            self.jobs.values().flat_map(|j| &j.out).filter(due).map(|a| a.worker).collect();
        checks.iter().for_each(|ix| self.ask(*ix));
        self.rescue(None);
        self.release();
        for (id, job) in self.jobs.iter().filter(|(_, j)| !j.done) {
            let next = |a: &Attempt| match a.sent + self.tick {
                check if now < check => check.min(self.due_at(id, a)),
                _ => self.due_at(id, a),
            };
            let attempts = job.out.iter().filter(|a| !a.cancelled).map(next);
            self.due = attempts.chain(job.looking).fold(self.due.min(job.request.deadline), Micros::min);
        }
    }

    /// Attempts that are overdue, or lie at a worker found dead, are a symptom, and are made again where that
    /// is allowed: as a second copy where a slot is seen free, else after calling the first one back.
    fn rescue(&mut self, dead: Option<Ix>) {
        let mut late = Vec::new();
        for (id, job) in self.jobs.iter().filter(|(_, j)| !j.done && j.looking.is_none()) {
            let over = |a: &Attempt| dead.map_or(self.now >= self.due_at(id, a), |ix| ix == a.worker);
            late.extend(job.out.iter().position(|a| !a.cancelled && over(a)).map(|at| (id.clone(), at)));
        }
        late.sort();
        for (id, at) in late {
            let (overdue, slack) = (self.overdue_after(&id), self.slack(self.jobs[&id].request.class, None));
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            let (class, ix) = (job.request.class, job.out[at].worker);
            // Not begun is no symptom yet: the worker is full.
            let waits = job.out[at].awaited && self.now < job.out[at].sent + overdue;
            let since = std::mem::replace(&mut job.out[at].sign, self.now);
            let w = &mut self.fleet.workers[ix];
            if waits {
                w.full = Some((job.request.slots, self.now + self.usual as Micros));
                if (since..self.now).contains(&(job.out[at].sent + slack)) {
                    self.admission.waited(w.entry.zone, true);
                }
            } else {
                w.begins(&mut job.out[at]);
            }
            let spent = job.attempts >= self.settings.allowed.max_attempts;
            let (settings, r) = (&self.settings.classes[class.0], self.class_time[class.0]);
            let worthless = settings.late_share == 0.0
                && self.now.saturating_sub(job.arrived) as f64 > settings.aim as f64 + settings.stretch * r;
            let again = settings.effect != Effect::Once && !spent && !worthless;
            let copy = self.settings.allowed.parallel && dead.is_none();
            if again && !copy && self.settings.allowed.cancel {
                job.out[at].cancelled = true;
                self.actions.push(Action::Cancel(id.clone(), job.out[at].number));
            }
            if dead.is_none() && !waits {
                let base = self.bar_base(class);
                self.fleet.symptom((ix, Some(class), None), 1.0, base, self.now);
                self.ask(ix);
            }
            if again && copy {
                self.place(&id);
            }
        }
    }
}
