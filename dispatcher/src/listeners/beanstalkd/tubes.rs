//! Jobs and tubes of the beanstalkd listener: open jobs, which are flows of the core, and answers, which behave as
//! beanstalkd's jobs do. Does no I/O; the current time is passed in.

use crate::facade::FlowId;
use bytes::Bytes;
use rustc_hash::FxHashMap;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::{Duration, Instant};

/// Identifies a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Client(u64);

/// Bytes that an open job reserves for its answer.
const ANSWER_RESERVATION: usize = 64 << 10;
/// How many tubes one client may watch.
const MAX_WATCHED: usize = 256;
/// A client whose reserved job times out within this time gets `DEADLINE_SOON` instead of another job.
const DEADLINE_MARGIN: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// An open job, with its flow once that has been opened. Its delay is the flow's.
    Open(Option<FlowId>),
    Ready,
    Delayed(Instant),
    Reserved(Client, Instant),
    Buried,
}

/// The state of the jobs that a peek or kick selects.
#[derive(Clone, Copy, PartialEq)]
pub enum JobFilter {
    Ready,
    Delayed,
    Buried,
}

#[derive(Debug)]
struct Entry {
    tube: String,
    state: State,
    pri: u32,
    delay: Duration,
    ttr: Duration,
    body: Bytes,
    /// Bytes that count against the memory limit.
    accounted_bytes: usize,
    since: Instant,
    reserves: u32,
    timeouts: u32,
    releases: u32,
    buries: u32,
    kicks: u32,
}

pub struct Tubes {
    jobs: BTreeMap<u64, Entry>,
    watching: FxHashMap<Client, Vec<String>>,
    paused_until: FxHashMap<String, Instant>,
    next: u64,
    clients: u64,
    bytes: usize,
    max_jobs: usize,
    max_bytes: usize,
    started: Instant,
}

impl Tubes {
    pub fn new(max_jobs: usize, max_bytes: usize) -> Self {
        Tubes {
            jobs: BTreeMap::new(),
            watching: FxHashMap::default(),
            paused_until: FxHashMap::default(),
            next: 0,
            clients: 0,
            bytes: 0,
            max_jobs,
            max_bytes,
            started: Instant::now(),
        }
    }

    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    pub fn connect(&mut self) -> Client {
        self.clients += 1;
        let client = Client(self.clients);
        self.watching.insert(client, vec!["default".into()]);
        client
    }

    /// Whether the client has reserved a job.
    pub fn has_reservation(&self, client: Client) -> bool {
        self.jobs.values().any(|job| matches!(job.state, State::Reserved(c, _) if c == client))
    }

    /// Removes a client and makes the jobs that it had reserved ready again.
    pub fn disconnect(&mut self, client: Client, now: Instant) {
        self.advance(now);
        self.watching.remove(&client);
        for job in self.jobs.values_mut() {
            if matches!(job.state, State::Reserved(c, _) if c == client) {
                job.state = State::Ready;
            }
        }
    }

    fn insert(&mut self, entry: Entry) -> u64 {
        self.next += 1;
        self.bytes += entry.accounted_bytes;
        self.jobs.insert(self.next, entry);
        self.next
    }

    fn remove(&mut self, id: u64) -> Option<Entry> {
        let entry = self.jobs.remove(&id)?;
        self.bytes -= entry.accounted_bytes;
        Some(entry)
    }

    /// Adds a job that was put and reserves memory for its answer; `None` if a limit is reached.
    pub fn open(
        &mut self,
        tube: &str,
        pri: u32,
        delay: Duration,
        ttr: Duration,
        body: Bytes,
        now: Instant,
    ) -> Option<u64> {
        let accounted_bytes = body.len() + ANSWER_RESERVATION;
        if self.jobs.len() >= self.max_jobs || self.bytes + accounted_bytes > self.max_bytes {
            return None;
        }
        let state = State::Open(None);
        Some(self.insert(Entry { accounted_bytes, ..entry(tube, state, pri, delay, ttr, body, now) }))
    }

    /// Records the flow of an open job.
    pub fn set_flow(&mut self, id: u64, flow: FlowId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.state = State::Open(Some(flow));
        }
    }

    /// The flow of an open job, once it has been opened; `None` if no such job is open.
    pub fn flow(&self, id: u64) -> Option<Option<FlowId>> {
        match self.jobs.get(&id)?.state {
            State::Open(flow) => Some(flow),
            _ => None,
        }
    }

    fn is_open(&self, id: u64) -> bool {
        self.flow(id).is_some()
    }

    /// Removes an open job; false if no such job is open.
    pub fn close(&mut self, id: u64) -> bool {
        self.is_open(id) && self.remove(id).is_some()
    }

    /// Adds an answer. Its memory was reserved by its job.
    pub fn put(&mut self, tube: &str, pri: u32, ttr: Duration, body: Bytes, now: Instant) -> u64 {
        self.insert(entry(tube, State::Ready, pri, Duration::ZERO, ttr, body, now))
    }

    /// Applies the passing of time: ends delays, reservations and pauses that are over.
    pub fn advance(&mut self, now: Instant) {
        self.paused_until.retain(|_, until| now < *until);
        for job in self.jobs.values_mut() {
            match job.state {
                State::Delayed(until) if now >= until => job.state = State::Ready,
                State::Reserved(_, until) if now >= until => {
                    job.state = State::Ready;
                    job.timeouts += 1;
                }
                _ => {}
            }
        }
    }

    /// The next time at which a job may become ready, or this client is due `DEADLINE_SOON`.
    pub fn next_change(&self, client: Client, now: Instant) -> Option<Instant> {
        let change = |job: &Entry| match job.state {
            State::Delayed(until) => Some(until),
            State::Reserved(c, until) if c == client => {
                Some(until.checked_sub(DEADLINE_MARGIN).unwrap_or(until))
            }
            State::Reserved(_, until) => Some(until),
            _ => None,
        };
        let changes = self.jobs.values().filter_map(change).chain(self.paused_until.values().copied());
        changes.filter(|at| *at > now).min()
    }

    pub fn deadline_soon(&self, client: Client, now: Instant) -> bool {
        let soon = |job: &Entry| matches!(job.state, State::Reserved(c, until) if c == client && now + DEADLINE_MARGIN >= until);
        self.jobs.values().any(soon)
    }

    /// Reserves the most urgent ready job of the watched tubes; the oldest of equal priority.
    pub fn reserve(&mut self, client: Client, now: Instant) -> Option<(u64, Bytes)> {
        self.advance(now);
        let watched = self.watching.get(&client)?;
        let fits = |job: &Entry| {
            job.state == State::Ready
                && watched.contains(&job.tube)
                && !self.paused_until.contains_key(&job.tube)
        };
        let id = self.jobs.iter().filter(|(_, job)| fits(job)).min_by_key(|(id, job)| (job.pri, **id))?.0;
        self.take(client, *id, now)
    }

    pub fn reserve_job(&mut self, client: Client, id: u64, now: Instant) -> Option<(u64, Bytes)> {
        let state = self.jobs.get(&id)?.state;
        let free = matches!(state, State::Ready | State::Delayed(_) | State::Buried);
        free.then(|| self.take(client, id, now)).flatten()
    }

    fn take(&mut self, client: Client, id: u64, now: Instant) -> Option<(u64, Bytes)> {
        let job = self.jobs.get_mut(&id)?;
        job.state = State::Reserved(client, now + job.ttr);
        job.reserves += 1;
        Some((id, job.body.clone()))
    }

    /// The job, if this client has it reserved.
    fn reserved_by(&mut self, client: Client, id: u64) -> Option<&mut Entry> {
        self.jobs.get_mut(&id).filter(|job| matches!(job.state, State::Reserved(c, _) if c == client))
    }

    /// Deletes an answer, unless another client has it reserved.
    pub fn delete(&mut self, client: Client, id: u64, now: Instant) -> bool {
        self.advance(now);
        let free = |job: &Entry| match job.state {
            State::Reserved(c, _) => c == client,
            State::Open(_) => false,
            _ => true,
        };
        self.jobs.get(&id).is_some_and(free) && self.remove(id).is_some()
    }

    pub fn release(&mut self, client: Client, id: u64, pri: u32, delay: Duration, now: Instant) -> bool {
        let Some(job) = self.reserved_by(client, id) else { return false };
        job.state = if delay.is_zero() { State::Ready } else { State::Delayed(now + delay) };
        (job.pri, job.delay, job.releases) = (pri, delay, job.releases + 1);
        true
    }

    pub fn bury(&mut self, client: Client, id: u64, pri: u32) -> bool {
        let Some(job) = self.reserved_by(client, id) else { return false };
        (job.state, job.pri, job.buries) = (State::Buried, pri, job.buries + 1);
        true
    }

    pub fn touch(&mut self, client: Client, id: u64, now: Instant) -> bool {
        let Some(job) = self.reserved_by(client, id) else { return false };
        job.state = State::Reserved(client, now + job.ttr);
        true
    }

    /// Makes buried jobs of a tube ready, or delayed ones if none are buried.
    pub fn kick(&mut self, tube: &str, bound: u64) -> u64 {
        let of = |job: &Entry, filter| job.tube == tube && matches_filter(job.state, filter);
        let buried = self.jobs.values().any(|job| of(job, JobFilter::Buried));
        let kind = if buried { JobFilter::Buried } else { JobFilter::Delayed };
        let bound = usize::try_from(bound).unwrap_or(usize::MAX);
        let kicked = self.jobs.values_mut().filter(|job| of(job, kind)).take(bound);
        let count = kicked.map(|job| (job.state, job.kicks) = (State::Ready, job.kicks + 1)).count();
        count as u64
    }

    pub fn kick_job(&mut self, id: u64) -> bool {
        let kickable = |job: &&mut Entry| matches!(job.state, State::Buried | State::Delayed(_));
        let Some(job) = self.jobs.get_mut(&id).filter(kickable) else { return false };
        (job.state, job.kicks) = (State::Ready, job.kicks + 1);
        true
    }

    pub fn pause(&mut self, tube: &str, delay: Duration, now: Instant) -> bool {
        let known = self.jobs.values().any(|job| job.tube == tube);
        if known {
            self.paused_until.insert(tube.into(), now + delay);
        }
        known
    }

    pub fn peek(&self, id: u64) -> Option<(u64, Bytes)> {
        self.jobs.get(&id).map(|job| (id, job.body.clone()))
    }

    pub fn peek_first(&self, tube: &str, filter: JobFilter) -> Option<(u64, Bytes)> {
        let of = self.jobs.iter().filter(|(_, job)| job.tube == tube && matches_filter(job.state, filter));
        let first = of.min_by_key(|(id, job)| match job.state {
            State::Delayed(until) => (Some(until), 0, **id),
            _ => (None, job.pri, **id),
        });
        first.map(|(id, job)| (*id, job.body.clone()))
    }

    /// Adds a tube to the client's watch list; returns its length, or `None` if it is full.
    pub fn watch(&mut self, client: Client, tube: String) -> Option<usize> {
        let watched = self.watching.entry(client).or_default();
        if !watched.contains(&tube) {
            if watched.len() >= MAX_WATCHED {
                return None;
            }
            watched.push(tube);
        }
        Some(watched.len())
    }

    /// Removes a tube from the client's watch list; returns its length, or `None` if it is the last one.
    pub fn ignore(&mut self, client: Client, tube: &str) -> Option<usize> {
        let watched = self.watching.get_mut(&client)?;
        if watched.len() == 1 && watched[0] == tube {
            return None;
        }
        watched.retain(|t| t != tube);
        Some(watched.len())
    }

    pub fn watched(&self, client: Client) -> String {
        yaml_list(self.watching.get(&client).into_iter().flatten().map(String::as_str))
    }

    /// All tubes: those of the operator's file, and those that are watched or hold a job.
    pub fn list<'a>(&'a self, mapped: impl Iterator<Item = &'a str>) -> String {
        let watched = self.watching.values().flatten().map(String::as_str);
        let holding = self.jobs.values().map(|job| job.tube.as_str());
        let all = std::iter::once("default").chain(mapped).chain(watched).chain(holding);
        let all: std::collections::BTreeSet<&str> = all.collect();
        yaml_list(all.into_iter())
    }

    pub fn stats_job(&self, id: u64, now: Instant) -> Option<String> {
        let job = self.jobs.get(&id)?;
        let until = match job.state {
            State::Delayed(until) | State::Reserved(_, until) => until.saturating_duration_since(now),
            State::Open(_) => (job.since + job.delay).saturating_duration_since(now),
            _ => Duration::ZERO,
        };
        let mut text = String::from("---\n");
        let _ = write!(
            text,
            "id: {id}\ntube: \"{}\"\nstate: {}\npri: {}\nage: {}\ndelay: {}\nttr: {}\ntime-left: {}\nfile: 0\n\
             reserves: {}\ntimeouts: {}\nreleases: {}\nburies: {}\nkicks: {}\n",
            job.tube,
            state_name(job, now),
            job.pri,
            now.duration_since(job.since).as_secs(),
            job.delay.as_secs(),
            job.ttr.as_secs(),
            until.as_secs(),
            job.reserves,
            job.timeouts,
            job.releases,
            job.buries,
            job.kicks
        );
        Some(text)
    }

    pub fn stats_tube(&self, tube: &str, mapped: bool, now: Instant) -> Option<String> {
        let watching = self.watching.values().filter(|w| w.iter().any(|t| t == tube)).count();
        let count = |state: &str| {
            self.jobs.values().filter(|j| j.tube == tube && state_name(j, now) == state).count()
        };
        let total = self.jobs.values().filter(|j| j.tube == tube).count();
        if !mapped && watching == 0 && total == 0 && tube != "default" {
            return None;
        }
        let pause =
            self.paused_until.get(tube).map_or(0, |until| until.saturating_duration_since(now).as_secs());
        Some(format!(
            "---\nname: \"{tube}\"\ncurrent-jobs-ready: {}\ncurrent-jobs-reserved: {}\ncurrent-jobs-delayed: {}\n\
             current-jobs-buried: {}\ncurrent-watching: {watching}\npause-time-left: {pause}\n",
            count("ready"),
            count("reserved"),
            count("delayed"),
            count("buried"),
        ))
    }

    pub fn stats(&self, max_job: usize, connections: usize, draining: bool, now: Instant) -> String {
        let count = |state: &str| self.jobs.values().filter(|j| state_name(j, now) == state).count();
        format!(
            "---\ncurrent-jobs-ready: {}\ncurrent-jobs-reserved: {}\ncurrent-jobs-delayed: {}\n\
             current-jobs-buried: {}\nmax-job-size: {max_job}\ncurrent-connections: {connections}\n\
             pid: {}\nversion: \"{}\"\nuptime: {}\ndraining: {draining}\n",
            count("ready"),
            count("reserved"),
            count("delayed"),
            count("buried"),
            std::process::id(),
            env!("CARGO_PKG_VERSION"),
            self.started.elapsed().as_secs(),
        )
    }
}

fn entry(
    tube: &str,
    state: State,
    pri: u32,
    delay: Duration,
    ttr: Duration,
    body: Bytes,
    since: Instant,
) -> Entry {
    let (accounted_bytes, tube) = (body.len(), tube.to_owned());
    let (reserves, timeouts, releases, buries, kicks) = (0, 0, 0, 0, 0);
    Entry {
        tube,
        state,
        pri,
        delay,
        ttr,
        body,
        accounted_bytes,
        since,
        reserves,
        timeouts,
        releases,
        buries,
        kicks,
    }
}

fn matches_filter(state: State, filter: JobFilter) -> bool {
    match filter {
        JobFilter::Ready => state == State::Ready,
        JobFilter::Delayed => matches!(state, State::Delayed(_)),
        JobFilter::Buried => state == State::Buried,
    }
}

/// A job's state in the protocol's terms: an open job is delayed until its flow begins, and reserved from then on.
fn state_name(job: &Entry, now: Instant) -> &'static str {
    match job.state {
        State::Open(_) if now < job.since + job.delay => "delayed",
        State::Open(_) | State::Reserved(..) => "reserved",
        State::Ready => "ready",
        State::Delayed(_) => "delayed",
        State::Buried => "buried",
    }
}

fn yaml_list<'a>(names: impl Iterator<Item = &'a str>) -> String {
    names.fold("---\n".into(), |mut text, name| {
        let _ = writeln!(text, "- {name}");
        text
    })
}
