//! Timing rules. They are checked against the times at which members wrote to workers, since delays on the link after that are
//! not the member's fault. Like the rest of the checker, this module depends on nothing inside the program.

use crate::trace::{Event, Micros, Silence, What};
use std::collections::HashMap;

const MILLISECOND: Micros = 1000;
/// A change counts as known to a member this long after discovery had it and could be reached, whether or not it was sent.
const KNOWN_AFTER: Micros = 6000 * MILLISECOND;
/// Sends to a draining worker are allowed for this long after that, including the platform's slack.
const DRAIN_GRACE: Micros = 800 * MILLISECOND;
/// An attempt may still begin this long after its client has disconnected.
const CLIENT_GONE_GRACE: Micros = 100 * MILLISECOND;
/// The budget that an attempt passes on may exceed the client's remaining time by this much.
const BUDGET_SLACK: Micros = 150 * MILLISECOND;
/// A process may be delayed this long between reading its clock and writing.
const PROCESS_DELAY: Micros = 150 * MILLISECOND;
/// The lab's own threads may record events this late.
const RECORDING_DELAY: Micros = 100 * MILLISECOND;

/// Time spans as (start, end).
type Spans = Vec<(Micros, Micros)>;

/// Merges possibly overlapping spans from their start and end events.
#[derive(Default)]
struct SpanBuilder {
    depth: usize,
    since: Micros,
    spans: Spans,
}

impl SpanBuilder {
    fn begin(&mut self, at: Micros) {
        if self.depth == 0 {
            self.since = at;
        }
        self.depth += 1;
    }

    fn end(&mut self, at: Micros) {
        if self.depth == 1 {
            self.spans.push((self.since, at));
        }
        self.depth = self.depth.saturating_sub(1);
    }

    fn finish(mut self) -> Spans {
        if self.depth > 0 {
            self.spans.push((self.since, Micros::MAX));
        }
        self.spans
    }
}

struct Send<'a> {
    at: Micros,
    worker: usize,
    member: usize,
    call: &'a str,
    budget: Option<Micros>,
}

#[derive(Clone, Copy)]
struct Asked {
    at: Micros,
    budget: Micros,
}

/// The parts of the trace that these rules need.
#[derive(Default)]
struct TimingTrace<'a> {
    sends: Vec<Send<'a>>,
    asked: HashMap<&'a str, Asked>,
    left: HashMap<&'a str, Micros>,
    /// By worker: spans in which discovery lists it in any state but up.
    not_up: HashMap<usize, Spans>,
    /// By member: spans in which it could not reach discovery.
    unreachable: HashMap<usize, Spans>,
    /// By member: spans in which it was stopped.
    stopped: HashMap<usize, Spans>,
    /// By member and worker: when the worker's state was sent to the member, and whether it was up.
    told: HashMap<(usize, usize), Vec<(Micros, bool)>>,
}

impl<'a> TimingTrace<'a> {
    fn of(members: usize, trace: &'a [Event]) -> TimingTrace<'a> {
        let mut read = TimingTrace::default();
        let mut not_up: HashMap<usize, SpanBuilder> = HashMap::new();
        let mut unreachable: HashMap<usize, SpanBuilder> = HashMap::new();
        let mut stopped: HashMap<usize, SpanBuilder> = HashMap::new();
        for Event { at, what } in trace {
            let at = *at;
            match what {
                What::Sent { worker, member, call, budget } => {
                    let (worker, member, budget) = (*worker, *member, *budget);
                    read.sends.push(Send { at, worker, member, call, budget });
                }
                What::Asked { call, budget, .. } => {
                    read.asked.insert(call, Asked { at, budget: *budget });
                }
                What::Unheard { call, why: Silence::Left } => drop(read.left.insert(call, at)),
                What::Listed { worker, state } => {
                    let spans = not_up.entry(*worker).or_default();
                    match (state == "up", spans.depth) {
                        (true, _) => spans.end(at),
                        (false, 0) => spans.begin(at),
                        (false, _) => {}
                    }
                }
                What::Reachable { member, reachable } => {
                    let concerned = member.map_or(0..members, |member| member..member + 1);
                    for member in concerned {
                        let spans = unreachable.entry(member).or_default();
                        if *reachable {
                            spans.end(at);
                        } else {
                            spans.begin(at);
                        }
                    }
                }
                What::Stopped { member } => stopped.entry(*member).or_default().begin(at),
                What::Continued { member } | What::Killed { member } => {
                    stopped.entry(*member).or_default().end(at);
                }
                What::Told { member, worker, state } => {
                    read.told.entry((*member, *worker)).or_default().push((at, state == "up"));
                }
                _ => {}
            }
        }
        let finish = |all: HashMap<usize, SpanBuilder>| {
            all.into_iter().map(|(of, spans)| (of, spans.finish())).collect::<HashMap<_, _>>()
        };
        read.not_up = finish(not_up);
        read.unreachable = finish(unreachable);
        read.stopped = finish(stopped);
        read
    }

    /// Whether a member was stopped at any time in a span.
    fn was_stopped(&self, member: usize, from: Micros, to: Micros) -> bool {
        let spans = self.stopped.get(&member).into_iter().flatten();
        spans.into_iter().any(|(begin, end)| *begin <= to && *end >= from)
    }

    /// When a change that discovery had at time `had` counts as known to a member. The period starts again when discovery
    /// becomes reachable again.
    fn known_from(&self, member: usize, had: Micros) -> Micros {
        let mut from = had;
        for (begin, end) in self.unreachable.get(&member).into_iter().flatten() {
            if *begin < from + KNOWN_AFTER && *end > from {
                from = *end;
            }
        }
        from.saturating_add(KNOWN_AFTER)
    }

    /// Whether a member could reach discovery at a time.
    fn could_reach(&self, member: usize, at: Micros) -> bool {
        let mut spans = self.unreachable.get(&member).into_iter().flatten();
        !spans.any(|(begin, end)| *begin <= at && at <= *end)
    }

    fn stale_list(&self, send: &Send) -> Option<String> {
        let spans = self.not_up.get(&send.worker)?;
        let (from, _) = spans.iter().find(|(begin, end)| *begin <= send.at && send.at < *end)?;
        let told = self.known_from(send.member, *from);
        (send.at > told.saturating_add(DRAIN_GRACE + PROCESS_DELAY + RECORDING_DELAY)).then(|| {
            let (since, counted) = ((send.at - from) / MILLISECOND, (send.at - told) / MILLISECOND);
            format!("discovery has listed it as not up for {since} ms, and the change counts as known for {counted} ms")
        })
    }

    fn drain(&self, send: &Send) -> Option<String> {
        let told = self.told.get(&(send.member, send.worker))?;
        let heard = |(at, _): &&(Micros, bool)| *at <= send.at && self.could_reach(send.member, *at);
        let at = first_not_up(told.iter().filter(heard))?;
        let late = send.at > at + DRAIN_GRACE + PROCESS_DELAY + RECORDING_DELAY;
        late.then(|| format!("the member was told of the drain {} ms earlier", (send.at - at) / MILLISECOND))
    }

    fn client_gone(&self, send: &Send) -> Option<String> {
        let left = *self.left.get(send.call)?;
        let late = send.at > left + CLIENT_GONE_GRACE + RECORDING_DELAY;
        late.then(|| format!("its client had disconnected {} ms earlier", (send.at - left) / MILLISECOND))
    }

    fn deadline(&self, send: &Send) -> Option<String> {
        let (budget, asked) = (send.budget?, *self.asked.get(send.call)?);
        let left = (asked.at + asked.budget).saturating_sub(send.at);
        let message = format!(
            "it passed on a budget of {} ms when the client had {} ms left",
            budget / MILLISECOND,
            left / MILLISECOND
        );
        (budget > left + BUDGET_SLACK + RECORDING_DELAY).then_some(message)
    }
}

/// When a member was first told that a worker is no longer up, given the updates in order; later updates may repeat it. `None`
/// if there are no updates or the last one says that the worker is up.
pub(crate) fn first_not_up<'a>(told: impl DoubleEndedIterator<Item = &'a (Micros, bool)>) -> Option<Micros> {
    told.rev().take_while(|(_, up)| !up).last().map(|(at, _)| *at)
}

/// Checks the first byte of every attempt.
pub(crate) fn check(members: usize, trace: &[Event], add: &mut impl FnMut(&str, Micros, String)) {
    let read = TimingTrace::of(members, trace);
    for send in &read.sends {
        // A process that is stopped between its check and its write can't know of a change.
        if read.was_stopped(send.member, send.at.saturating_sub(RECORDING_DELAY), send.at) {
            continue;
        }
        let found = [
            ("stale_list", read.stale_list(send)),
            ("drain", read.drain(send)),
            ("client_gone", read.client_gone(send)),
            ("deadline", read.deadline(send)),
        ];
        for (rule, message) in found {
            let Some(message) = message else { continue };
            let Send { at, worker, member, call, .. } = send;
            add(rule, *at, format!("{call} sent from member {member} to worker {worker}: {message}"));
        }
    }
}
