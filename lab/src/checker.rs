//! Checks a trace against the rules. It depends on nothing inside the program, only on the events recorded by workers,
//! clients, relays, discovery and the fault injector.

use crate::lateness::{self, first_not_up};
use crate::scenario::{Effect, Scenario};
use crate::trace::{Ending, Event, Micros, Silence, What};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, HashSet};

/// Names of the rules, as used in scenarios and verdicts.
pub const RULES: [&str; 15] = [
    "answers",
    "result",
    "unanswered",
    "dropped",
    "second_attempt",
    "second_by_key",
    "runs",
    "drain",
    "owners",
    "stale_list",
    "client_gone",
    "deadline",
    "own_violations",
    "crashed",
    "stalled_client",
];

/// A response may arrive this long after the client's budget.
const ANSWER_SLACK: Micros = 300_000;
/// A member may send to a worker for this long after it was told that the worker drains.
const DRAIN_GRACE: Micros = 750_000 + 50_000;

/// If a connection is reset within this time after an attempt's arrival, the worker's acceptance may be lost with it. The
/// attempt then counts as ended, since the dispatcher sees a broken connection.
const UNCONFIRMED: Micros = 50_000;

/// A violation of a rule.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Violation {
    pub rule: String,
    pub at: Micros,
    pub words: String,
}

/// The result of checking a run.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Verdict {
    /// Violations of rules that must be kept.
    pub broken: Vec<Violation>,
    /// Number of violations of rules that the scenario only counts.
    pub counted: BTreeMap<String, usize>,
    pub figures: Figures,
}

/// Figures of a run.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Figures {
    pub jobs: usize,
    pub served: usize,
    /// Served within the class's target time.
    pub in_aim: usize,
    /// Value of served jobs as a fraction of the value of all jobs.
    pub worth: f64,
    /// Value of served jobs per second of the scenario's duration.
    pub worth_per_s: f64,
    /// Jobs whose client lost its connection to a member or had no response in time, without having disconnected itself.
    pub hurt: usize,
    /// Jobs among these that were never served.
    pub lost: usize,
    /// Jobs that workers started more than once, by class.
    pub ran_twice: BTreeMap<String, usize>,
    /// Jobs that ran and whose client received no result.
    pub ran_in_vain: usize,
    /// Completed jobs whose final update reached no dispatcher in any of its tries.
    pub unheard_ends: usize,
    pub requests: usize,
    pub refused: usize,
    pub attempts: usize,
    pub turned_away: usize,
    pub repeats: usize,
    pub probes: usize,
    pub probes_per_s: f64,
    pub kills: usize,
    pub stops: usize,
    /// CPU time per request, and of a member in thousandths of a core; only members that ran throughout are counted.
    pub cpu_us_a_request: f64,
    pub member_cpu_permille: f64,
    /// Average bytes per second that a member sent to others, and the peak memory of a member.
    pub member_bytes_per_s: f64,
    pub member_kb: u64,
    /// Actions for the fleet that receivers accepted, and stale ones that they refused.
    pub acts: usize,
    pub stale_refused: usize,
    /// Longest and median time between the last action of one owner of a resource and the first of the next, in milliseconds.
    pub ownerless_longest_ms: u64,
    pub ownerless_median_ms: u64,
}

struct Attempt<'a> {
    worker: usize,
    seq: u64,
    call: &'a str,
    key: Option<&'a str>,
    member: usize,
    came: Micros,
    first: Micros,
    began: bool,
    /// When it ended at the worker or was cancelled by the dispatcher.
    over: Option<Micros>,
    ended: Option<Ending>,
    result: &'a str,
}

#[derive(Default)]
struct Call<'a> {
    asked: Micros,
    job: u64,
    key: Option<&'a str>,
    member: usize,
    budget: Micros,
    answers: Vec<(Micros, u16, &'a str)>,
    silence: Option<(Micros, Silence)>,
}

/// The trace, indexed by request, attempt, job and member.
struct IndexedTrace<'a> {
    calls: HashMap<&'a str, Call<'a>>,
    order: Vec<&'a str>,
    attempts: Vec<Attempt<'a>>,
    /// By job: its class and when it was first requested.
    jobs: BTreeMap<u64, (&'a str, Micros)>,
    /// By member: spans in which it was not running or was stopped.
    away: HashMap<usize, Vec<(Micros, Micros)>>,
    last: Micros,
}

/// Checks a trace against the rules.
pub fn check(scenario: &Scenario, trace: &[Event]) -> Verdict {
    let index = IndexedTrace::of(trace);
    let mut broken = Vec::new();
    let mut add = |rule: &str, at, words: String| broken.push(Violation { rule: rule.into(), at, words });
    answers(&index, &mut add);
    attempts(&index, &mut add);
    runs(scenario, &index, &mut add);
    drains(scenario, trace, &index, &mut add);
    lateness::check(scenario.members, trace, &mut add);
    own_violations(trace, &mut add);
    crashes(trace, &mut add);
    stalled_clients(trace, &index, &mut add);
    let acts = owners(trace, &mut add);
    let mut figures = figures(scenario, trace, &index);
    figures.acts = acts.accepted;
    figures.stale_refused = acts.refused;
    let mut gaps = acts.gaps;
    gaps.sort_unstable();
    figures.ownerless_longest_ms = gaps.last().copied().unwrap_or(0) / 1000;
    figures.ownerless_median_ms = gaps.get(gaps.len() / 2).copied().unwrap_or(0) / 1000;
    let mut counted = BTreeMap::new();
    broken.retain(|b| {
        let only = scenario.counted.contains(&b.rule);
        if only {
            *counted.entry(b.rule.clone()).or_insert(0) += 1;
        }
        !only
    });
    broken.sort_by_key(|b| b.at);
    Verdict { broken, counted, figures }
}

impl<'a> IndexedTrace<'a> {
    fn of(trace: &'a [Event]) -> IndexedTrace<'a> {
        let last = trace.last().map_or(0, |e| e.at);
        let mut index = IndexedTrace {
            calls: HashMap::new(),
            order: Vec::new(),
            attempts: Vec::new(),
            jobs: BTreeMap::new(),
            away: HashMap::new(),
            last,
        };
        let mut by_seq: HashMap<(usize, u64), usize> = HashMap::new();
        let mut since: HashMap<usize, Micros> = HashMap::new();
        // When each attempt was sent, and when the connections between a member and a worker were last reset.
        let mut sent: HashMap<(&str, usize), Micros> = HashMap::new();
        let mut resets: HashMap<(usize, usize), Micros> = HashMap::new();
        let mut given_up: HashMap<(&str, usize), Micros> = HashMap::new();
        for Event { at, what } in trace {
            match what {
                What::Asked { job, call, class, key, member, budget } => {
                    let key = key.as_deref();
                    let (asked, member, budget) = (*at, *member, *budget);
                    index.order.push(call);
                    index
                        .calls
                        .insert(call, Call { asked, job: *job, key, member, budget, ..Call::default() });
                    index.jobs.entry(*job).or_insert((class, *at));
                }
                What::Answered { call, status, body } => {
                    if let Some(call) = index.calls.get_mut(call.as_str()) {
                        call.answers.push((*at, *status, body));
                    }
                }
                What::Unheard { call, why } => {
                    if let Some(call) = index.calls.get_mut(call.as_str()) {
                        call.silence = Some((*at, *why));
                    }
                }
                What::Sent { worker, call, .. } => drop(sent.insert((call, *worker), *at)),
                What::Came { worker, seq, call, key, member, first } => {
                    // Its bytes were in flight when its connection was reset, which ended it for the sender.
                    let written = sent.get(&(call.as_str(), *worker)).copied();
                    let reset = resets.get(&(*member, *worker)).copied();
                    // Or its cancellation had passed the link before a hung worker read the attempt.
                    let waived = given_up.get(&(call.as_str(), *worker)).copied();
                    let over = reset.max(waived).filter(|end| written.is_some_and(|written| written <= *end));
                    by_seq.insert((*worker, *seq), index.attempts.len());
                    index.attempts.push(Attempt {
                        worker: *worker,
                        seq: *seq,
                        call,
                        key: key.as_deref(),
                        member: *member,
                        came: *at,
                        first: *first,
                        began: false,
                        over: over.map(|_| *at),
                        ended: None,
                        result: "",
                    });
                }
                What::Began { worker, seq } => {
                    if let Some(i) = by_seq.get(&(*worker, *seq)) {
                        index.attempts[*i].began = true;
                    }
                }
                What::Ended { worker, seq, how, result } => {
                    if let Some(i) = by_seq.get(&(*worker, *seq)) {
                        let attempt = &mut index.attempts[*i];
                        attempt.over.get_or_insert(*at);
                        (attempt.ended, attempt.result) = (Some(*how), result);
                    }
                }
                // As the platform specifies, the cancellation request itself ends an attempt.
                What::Waived { worker, call, .. } | What::GivenUp { worker, call, .. } => {
                    if matches!(what, What::GivenUp { .. }) {
                        given_up.insert((call, *worker), *at);
                    }
                    let all = index.attempts.iter_mut().rev();
                    let mut open = all.filter(|a| a.worker == *worker && a.call == call && a.over.is_none());
                    if let Some(attempt) = open.next() {
                        attempt.over = Some(*at);
                    }
                }
                What::Reset { member, worker } => {
                    resets.insert((*member, *worker), *at);
                    let of_it = |a: &&mut Attempt| a.member == *member && a.worker == *worker;
                    let all = index.attempts.iter_mut().rev().take_while(|a| a.came + UNCONFIRMED >= *at);
                    let open = all.filter(of_it).filter(|a| a.over.is_none());
                    open.for_each(|a| a.over = Some(*at));
                }
                What::Killed { member } | What::Stopped { member } | What::Exited { member, .. } => {
                    since.entry(*member).or_insert(*at);
                }
                What::Started { member, .. } | What::Continued { member } => {
                    if let Some(from) = since.remove(member) {
                        index.away.entry(*member).or_default().push((from, *at));
                    }
                }
                _ => {}
            }
        }
        for (member, from) in since {
            index.away.entry(member).or_default().push((from, Micros::MAX));
        }
        index
    }

    /// Whether a member was not running or was stopped at any time in a span.
    fn was_away(&self, member: usize, from: Micros, to: Micros) -> bool {
        self.away.get(&member).is_some_and(|spans| spans.iter().any(|(a, b)| *a <= to && *b >= from))
    }
}

/// Each request has one response, in time, with the result that a worker produced for it.
fn answers(index: &IndexedTrace, add: &mut impl FnMut(&str, Micros, String)) {
    let mut made: HashSet<(&str, &str)> = HashSet::new();
    for attempt in &index.attempts {
        if attempt.ended == Some(Ending::Done) || attempt.ended == Some(Ending::Repeat) {
            made.insert((attempt.call, attempt.result));
            made.extend(attempt.key.map(|key| (key, attempt.result)));
        }
    }
    let mut by_job: HashMap<u64, &str> = HashMap::new();
    for id in &index.order {
        let call = &index.calls[id];
        if call.answers.len() > 1 {
            let words = format!("{id} was answered {} times", call.answers.len());
            add("answers", call.answers[1].0, words);
        }
        for (at, status, body) in &call.answers {
            if *status != 200 {
                continue;
            }
            let by_key = call.key.is_some_and(|key| made.contains(&(key, body)));
            if !by_key && !made.contains(&(id, body)) {
                add("result", *at, format!("{id} was served {body:?}, which no worker produced for it"));
            }
            // Two different results for one key would be two final responses.
            if call.key.is_some() && *by_job.entry(call.job).or_insert(body) != *body {
                add("answers", *at, format!("job {} was served {body:?} after another result", call.job));
            }
        }
        let Some((at, why)) = call.silence else { continue };
        let until = call.asked + call.budget + ANSWER_SLACK;
        if why == Silence::Waited && !index.was_away(call.member, call.asked, until) {
            add(
                "unanswered",
                at,
                format!("{id} had no response from member {} within its budget", call.member),
            );
        }
        if why == Silence::Broken && !index.was_away(call.member, call.asked, at + 50_000) {
            add(
                "dropped",
                at,
                format!("member {} closed the connection of {id} without a response", call.member),
            );
        }
    }
}

/// At most one attempt is open at a time, per request and per key over all requests with that key.
fn attempts(index: &IndexedTrace, add: &mut impl FnMut(&str, Micros, String)) {
    let mut out: HashMap<&str, usize> = HashMap::new();
    let mut keyed: HashMap<&str, usize> = HashMap::new();
    let all = &index.attempts;
    let overlap = |before: &Attempt, now: &Attempt| {
        // An attempt that arrives after it has ended for its sender does not count.
        before.ended != Some(Ending::TurnedAway)
            && before.over.is_none_or(|over| over > now.came)
            && now.over.is_none_or(|over| over > now.came)
    };
    for (i, now) in all.iter().enumerate() {
        if let Some(before) = out.insert(now.call, i).map(|b| &all[b]).filter(|b| overlap(b, now)) {
            let words = format!(
                "{} arrived at worker {} while open at worker {}",
                now.call, now.worker, before.worker
            );
            add("second_attempt", now.came, words);
        }
        let Some(key) = now.key else { continue };
        let before = keyed.insert(key, i).map(|b| &all[b]);
        if let Some(before) = before.filter(|b| b.call != now.call && overlap(b, now)) {
            let (calls, workers) = ((before.call, now.call), (before.worker, now.worker));
            add(
                "second_by_key",
                now.came,
                format!("key {key}: requests {calls:?} are open at the same time at workers {workers:?}"),
            );
        }
    }
}

/// Jobs that must run at most once do so.
fn runs(scenario: &Scenario, index: &IndexedTrace, add: &mut impl FnMut(&str, Micros, String)) {
    let mut begun: HashMap<u64, usize> = HashMap::new();
    for attempt in index.attempts.iter().filter(|a| a.began) {
        let Some(call) = index.calls.get(attempt.call) else { continue };
        let times = begun.entry(call.job).or_default();
        *times += 1;
        let class = index.jobs.get(&call.job).map_or("", |j| j.0);
        let once = scenario.class(class).is_some_and(|c| c.effect != Effect::Repeatable);
        if once && *times == 2 {
            let words = format!("job {} of {class} ran again at worker {}", call.job, attempt.worker);
            add("runs", attempt.came, words);
        }
    }
}

/// No new attempt is sent to a worker that the member knows to be draining.
fn drains(
    scenario: &Scenario,
    trace: &[Event],
    index: &IndexedTrace,
    add: &mut impl FnMut(&str, Micros, String),
) {
    let slow = scenario.slowest_link_ms() * 1000;
    let mut told: HashMap<(usize, usize), Vec<(Micros, bool)>> = HashMap::new();
    for Event { at, what } in trace {
        if let What::Told { member, worker, state } = what {
            told.entry((*member, *worker)).or_default().push((*at, state == "up"));
        }
    }
    for attempt in &index.attempts {
        let Some(news) = told.get(&(attempt.member, attempt.worker)) else { continue };
        let Some(at) = first_not_up(news.iter().filter(|(at, _)| *at <= attempt.first)) else { continue };
        if attempt.first > at + DRAIN_GRACE + slow {
            let late = (attempt.first - at) / 1000;
            let words = format!(
                "{} was sent from member {} to worker {} {late} ms after the member was told of the drain (attempt {})",
                attempt.call, attempt.member, attempt.worker, attempt.seq
            );
            add("drain", attempt.first, words);
        }
    }
}

/// A member's own counters are no evidence that a rule was kept, but a violation that it counts itself is one.
fn own_violations(trace: &[Event], add: &mut impl FnMut(&str, Micros, String)) {
    for Event { at, what } in trace {
        match what {
            What::Permits { member, violations, sent_on_invalid_list, .. }
                if violations.values().sum::<u64>() + sent_on_invalid_list > 0 =>
            {
                let words = format!(
                    "member {member} reports violations {violations:?} and {sent_on_invalid_list} sends on an invalid list"
                );
                add("own_violations", *at, words);
            }
            _ => {}
        }
    }
}

/// No process ends without being asked to, and every process that is started begins to serve.
fn crashes(trace: &[Event], add: &mut impl FnMut(&str, Micros, String)) {
    for Event { at, what } in trace {
        match what {
            What::Exited { member, code } => {
                add("crashed", *at, format!("member {member} exited unexpectedly, with code {code:?}"));
            }
            What::Refused { member, words, .. } => {
                add("crashed", *at, format!("member {member} did not start: {words}"));
            }
            _ => {}
        }
    }
}

/// A client that stalls within its request receives a response or a closed connection in time.
fn stalled_clients(trace: &[Event], index: &IndexedTrace, add: &mut impl FnMut(&str, Micros, String)) {
    for Event { at, what } in trace {
        let What::Stalled { member, waited, heard: false } = what else { continue };
        if !index.was_away(*member, at.saturating_sub(*waited), *at) {
            let words =
                format!("member {member} left a stalled client without a response for {} ms", waited / 1000);
            add("stalled_client", *at, words);
        }
    }
}

struct Acts {
    accepted: usize,
    refused: usize,
    /// Times between the last action of one owner and the first of the next.
    gaps: Vec<Micros>,
}

/// One owner at a time, in true time: once a token has been seen, no action with a smaller one begins, and each token is
/// used by one member only.
fn owners(trace: &[Event], add: &mut impl FnMut(&str, Micros, String)) -> Acts {
    let mut acts = Acts { accepted: 0, refused: 0, gaps: Vec::new() };
    let mut newest: HashMap<&str, (u64, usize, Micros)> = HashMap::new();
    let mut holders: HashMap<(&str, u64), usize> = HashMap::new();
    // In order of their first bytes: an action that a hung receiver processes late was not itself late.
    let mut all: Vec<(&Micros, &What)> = Vec::new();
    for Event { what, .. } in trace {
        if let What::Acted { first, .. } = what {
            all.push((first, what));
        }
    }
    all.sort_by_key(|(first, _)| **first);
    for (at, what) in all {
        let What::Acted { worker, member, fence, accepted, knows, .. } = what else { continue };
        let (resource, token) = (fence.resource.as_str(), fence.token);
        let holder = *holders.entry((resource, token)).or_insert(*member);
        if holder != *member {
            add("owners", *at, format!("{resource}: token {token} is used by members {holder} and {member}"));
        }
        let (highest, last) = match newest.get(resource) {
            Some((highest, _, last)) => (*highest, Some(*last)),
            None => (token, None),
        };
        if !accepted {
            acts.refused += 1;
            continue;
        }
        acts.accepted += 1;
        if token < highest {
            let sort = if *knows { "that checks fencing tokens" } else { "that checks no fencing tokens" };
            let words = format!(
                "{resource}: member {member} acted at worker {worker} {sort} with token {token} after token {highest}"
            );
            add("owners", *at, words);
            continue;
        }
        if token > highest {
            acts.gaps.push(at - last.unwrap_or(*at));
        }
        newest.insert(resource, (token, *member, *at));
    }
    acts
}

/// Adds the resource usage of members between their first and last samples.
fn used(trace: &[Event], f: &mut Figures) {
    let mut samples: HashMap<usize, Vec<(Micros, u64, u64)>> = HashMap::new();
    let mut gone: HashSet<usize> = HashSet::new();
    for Event { at, what } in trace {
        match what {
            What::Used { member, cpu, kb, carried } => {
                samples.entry(*member).or_default().push((*at, *cpu, *carried));
                f.member_kb = f.member_kb.max(*kb);
            }
            What::Killed { member } | What::Exited { member, .. } => drop(gone.insert(*member)),
            _ => {}
        }
    }
    samples.retain(|member, samples| !gone.contains(member) && samples.len() > 1);
    let count = samples.len().max(1) as f64;
    let spans = samples.values().filter_map(|samples| Some((samples.first()?, samples.last()?)));
    for (first, last) in spans {
        let seconds = (last.0 - first.0).max(1) as f64 / 1e6;
        let cpu = (last.1 - first.1) as f64;
        f.cpu_us_a_request += cpu / f.requests.max(1) as f64;
        f.member_cpu_permille += cpu / 1e3 / seconds / count;
        f.member_bytes_per_s = (last.2 - first.2) as f64 / seconds / count;
    }
}

fn figures(scenario: &Scenario, trace: &[Event], index: &IndexedTrace) -> Figures {
    let mut f = Figures { jobs: index.jobs.len(), requests: index.calls.len(), ..Figures::default() };
    let mut served: HashMap<u64, Micros> = HashMap::new();
    let mut hurt: HashSet<u64> = HashSet::new();
    for call in index.calls.values() {
        for (at, status, _) in &call.answers {
            match status {
                200 => {
                    let first = served.entry(call.job).or_insert(*at);
                    *first = (*first).min(*at);
                }
                429 | 503 => f.refused += 1,
                _ => {}
            }
        }
        if matches!(call.silence, Some((_, Silence::Broken | Silence::Waited))) {
            hurt.insert(call.job);
        }
    }
    let (mut asked, mut got) = (0.0, 0.0);
    for (job, (class, at)) in &index.jobs {
        let Some(class) = scenario.class(class) else { continue };
        asked += class.worth;
        let Some(done) = served.get(job) else { continue };
        f.served += 1;
        if done - at <= class.aim_ms * 1000 {
            f.in_aim += 1;
            got += class.worth;
        } else {
            got += class.worth * class.late_share;
        }
    }
    f.worth = got / f64::max(asked, 1e-9);
    f.worth_per_s = got / scenario.seconds;
    f.hurt = hurt.len();
    f.lost = hurt.iter().filter(|job| !served.contains_key(job)).count();
    let mut begun: HashMap<u64, usize> = HashMap::new();
    for attempt in &index.attempts {
        f.attempts += 1;
        f.turned_away += usize::from(attempt.ended == Some(Ending::TurnedAway));
        f.repeats += usize::from(attempt.ended == Some(Ending::Repeat));
        if let Some(call) = index.calls.get(attempt.call).filter(|_| attempt.began) {
            *begun.entry(call.job).or_default() += 1;
        }
    }
    for (job, times) in &begun {
        f.ran_in_vain += usize::from(!served.contains_key(job));
        if let Some((class, _)) = index.jobs.get(job).filter(|_| *times > 1) {
            *f.ran_twice.entry((*class).into()).or_default() += 1;
        }
    }
    for Event { what, .. } in trace {
        match what {
            What::Probed { .. } => f.probes += 1,
            What::Killed { .. } => f.kills += 1,
            What::Stopped { .. } => f.stops += 1,
            What::Heard { state, taken: false, .. } if state == "done" => f.unheard_ends += 1,
            _ => {}
        }
    }
    used(trace, &mut f);
    f.probes_per_s = f.probes as f64 * 1e6 / index.last.max(1) as f64;
    f
}
