//! Tests of the checker with traces that violate each rule, and with similar traces that comply.

use lineroute_lab::checker::{check, Verdict};
use lineroute_lab::scenario::Scenario;
use lineroute_lab::trace::{Ending, Event, Fence, Micros, Silence, What};

const SCENARIO: &str = r#"{"members": 2, "seconds": 1, "workers": [{"count": 3, "slots": 1}],
    "classes": [
     {"name": "quote", "effect": "repeatable", "part": 1, "work_ms": 5, "aim_ms": 50, "deadline_ms": 500},
     {"name": "statement", "effect": "by_key", "part": 1, "work_ms": 5, "aim_ms": 50, "deadline_ms": 500},
     {"name": "order", "effect": "once", "part": 1, "work_ms": 5, "aim_ms": 50, "deadline_ms": 500}],
    "clients": {"rate": 10}}"#;

/// Builds a trace. Each event is a millisecond after the one before.
#[derive(Default)]
struct Trace {
    events: Vec<Event>,
    now: Micros,
}

impl Trace {
    fn note(&mut self, what: What) -> &mut Self {
        self.now += 1000;
        self.events.push(Event { at: self.now, what });
        self
    }

    fn wait(&mut self, ms: u64) -> &mut Self {
        self.now += ms * 1000;
        self
    }

    fn asked(&mut self, job: u64, call: &str, class: &str, key: Option<&str>) -> &mut Self {
        let (call, class, key) = (call.into(), class.into(), key.map(str::to_owned));
        self.note(What::Asked { job, call, class, key, member: 0, budget: 500_000 })
    }

    fn came(&mut self, worker: usize, seq: u64, call: &str, key: Option<&str>) -> &mut Self {
        let (call, key, first) = (call.into(), key.map(str::to_owned), self.now + 1000);
        self.note(What::Came { worker, seq, call, key, member: 0, first })
    }

    fn began(&mut self, worker: usize, seq: u64) -> &mut Self {
        self.note(What::Began { worker, seq })
    }

    fn ended(&mut self, worker: usize, seq: u64, how: Ending, result: &str) -> &mut Self {
        self.note(What::Ended { worker, seq, how, result: result.into() })
    }

    fn answered(&mut self, call: &str, status: u16, body: &str) -> &mut Self {
        self.note(What::Answered { call: call.into(), status, body: body.into() })
    }

    fn unheard(&mut self, call: &str, why: Silence) -> &mut Self {
        self.note(What::Unheard { call: call.into(), why })
    }

    fn acted(&mut self, worker: usize, member: usize, token: u64, accepted: bool) -> &mut Self {
        let fence = Fence { resource: "probe/z0".into(), token };
        let first = self.now + 1000;
        self.note(What::Acted { first, worker, member, fence, accepted, knows: worker == 0 })
    }

    fn verdict(&self) -> Verdict {
        check(&Scenario::parse(SCENARIO).expect("a scenario"), &self.events)
    }

    /// The violated rules, once for each violation.
    fn broken_rules(&self) -> Vec<String> {
        self.verdict().broken.into_iter().map(|b| b.rule).collect()
    }
}

#[test]
fn a_served_job_violates_no_rule() {
    let mut trace = Trace::default();
    trace.asked(1, "a", "quote", None).came(0, 1, "a", None).began(0, 1);
    trace.ended(0, 1, Ending::Done, "r").answered("a", 200, "r");
    let verdict = trace.verdict();
    assert_eq!(verdict.broken, []);
    let f = verdict.figures;
    assert_eq!((f.jobs, f.served, f.in_aim, f.attempts, f.worth), (1, 1, 1, 1, 1.0));
}

#[test]
fn a_request_has_one_answer_and_it_is_a_workers_result() {
    let mut trace = Trace::default();
    trace.asked(1, "a", "quote", None).answered("a", 503, "").answered("a", 503, "");
    assert_eq!(trace.broken_rules(), ["answers"]);
    let mut trace = Trace::default();
    trace.asked(1, "a", "quote", None).came(0, 1, "a", None).ended(0, 1, Ending::Done, "r");
    trace.answered("a", 200, "other");
    assert_eq!(trace.broken_rules(), ["result"]);
    // A result of another request with the same key is valid for the job.
    let mut trace = Trace::default();
    trace.asked(1, "a", "statement", Some("k")).came(0, 1, "a", Some("k")).ended(0, 1, Ending::Done, "r");
    trace.unheard("a", Silence::Left).asked(1, "b", "statement", Some("k")).answered("b", 200, "r");
    assert_eq!(trace.broken_rules(), Vec::<String>::new());
    // But two different results for one key violate the rule.
    let mut trace = Trace::default();
    trace.asked(1, "a", "statement", Some("k")).came(0, 1, "a", Some("k")).ended(0, 1, Ending::Done, "r");
    trace.answered("a", 200, "r").asked(1, "b", "statement", Some("k")).came(1, 1, "b", Some("k"));
    trace.ended(1, 1, Ending::Done, "s").answered("b", 200, "s");
    assert_eq!(trace.broken_rules(), ["answers"]);
}

#[test]
fn a_missing_answer_is_a_violation_only_while_the_member_runs() {
    let mut trace = Trace::default();
    trace.asked(1, "a", "quote", None).wait(850).unheard("a", Silence::Waited);
    assert_eq!(trace.broken_rules(), ["unanswered"]);
    let mut trace = Trace::default();
    trace.asked(1, "a", "quote", None).unheard("a", Silence::Broken);
    assert_eq!(trace.broken_rules(), ["dropped"]);
    let mut trace = Trace::default();
    trace.asked(1, "a", "quote", None).note(What::Killed { member: 0 }).unheard("a", Silence::Broken);
    assert_eq!(trace.broken_rules(), Vec::<String>::new());
    assert_eq!((trace.verdict().figures.hurt, trace.verdict().figures.lost), (1, 1));
    let mut trace = Trace::default();
    trace.note(What::Stopped { member: 0 }).asked(1, "a", "quote", None).wait(850);
    trace.unheard("a", Silence::Waited).note(What::Continued { member: 0 });
    assert_eq!(trace.broken_rules(), Vec::<String>::new());
}

#[test]
fn a_job_has_one_attempt_at_a_time_unless_the_first_was_abandoned_or_rejected() {
    let begin = |trace: &mut Trace| {
        trace.asked(1, "a", "quote", None).came(0, 1, "a", None);
    };
    let mut trace = Trace::default();
    begin(&mut trace);
    trace.came(1, 1, "a", None);
    assert_eq!(trace.broken_rules(), ["second_attempt"]);
    let mut trace = Trace::default();
    begin(&mut trace);
    trace.note(What::Waived { worker: 0, call: "a".into(), member: 0 }).came(1, 1, "a", None);
    assert_eq!(trace.broken_rules(), Vec::<String>::new());
    let mut trace = Trace::default();
    begin(&mut trace);
    trace.ended(0, 1, Ending::TurnedAway, "").came(1, 1, "a", None);
    assert_eq!(trace.broken_rules(), Vec::<String>::new());
    // A connection reset ends the attempt if it comes before the worker's message is received, but not later.
    for (wait, broken) in [(10, 0), (90, 1)] {
        let mut trace = Trace::default();
        begin(&mut trace);
        trace.wait(wait).note(What::Reset { member: 0, worker: 0 }).came(1, 1, "a", None);
        assert_eq!(trace.broken_rules().len(), broken, "{wait}");
    }
    // Two requests with one key at two members are two attempts at the same job.
    let mut trace = Trace::default();
    trace.asked(1, "a", "statement", Some("k")).came(0, 1, "a", Some("k"));
    trace.asked(1, "b", "statement", Some("k")).came(1, 1, "b", Some("k"));
    assert_eq!(trace.broken_rules(), ["second_by_key"]);
}

#[test]
fn a_job_that_is_not_repeatable_runs_at_most_once() {
    for (class, broken) in [("order", vec!["runs"]), ("statement", vec!["runs"]), ("quote", vec![])] {
        let mut trace = Trace::default();
        trace.asked(1, "a", class, None).came(0, 1, "a", None).began(0, 1);
        trace.ended(0, 1, Ending::GivenUp, "").came(1, 1, "a", None).began(1, 1);
        assert_eq!(trace.broken_rules(), broken, "{class}");
        assert_eq!(trace.verdict().figures.ran_twice.get(class), Some(&1));
        assert_eq!(trace.verdict().figures.ran_in_vain, 1);
    }
}

#[test]
fn no_attempt_goes_to_a_worker_long_after_its_drain_was_announced() {
    for (wait, state, broken) in [(700, "draining", 0), (900, "draining", 1), (900, "up", 0)] {
        let mut trace = Trace::default();
        trace.note(What::Told { member: 0, worker: 0, state: state.into() }).wait(wait);
        trace.asked(1, "a", "quote", None).came(0, 1, "a", None);
        assert_eq!(trace.broken_rules().len(), broken, "{wait} {state}");
        // The drain of another worker has no effect on this one.
        let mut trace = Trace::default();
        trace.note(What::Told { member: 0, worker: 1, state: state.into() }).wait(wait);
        trace.asked(1, "a", "quote", None).came(0, 1, "a", None);
        assert_eq!(trace.broken_rules(), Vec::<String>::new());
    }
}

/// A new watch repeats the state of all workers. The time of a drain counts from its first announcement.
#[test]
fn a_repeated_drain_counts_from_its_first_announcement() {
    let told = |state: &str| What::Told { member: 0, worker: 0, state: state.into() };
    let mut trace = Trace::default();
    trace.note(told("draining")).wait(500).note(told("draining")).wait(400);
    trace.asked(1, "a", "quote", None).came(0, 1, "a", None);
    assert_eq!(trace.broken_rules(), ["drain"]);
}

/// A member in a partition does not receive what is sent to it, and is sent it again with its next call.
#[test]
fn a_state_sent_during_a_partition_counts_from_its_repetition() {
    for (state, broken) in [("up", vec![]), ("removed", vec!["drain"])] {
        let told = |state: &str| What::Told { member: 0, worker: 0, state: state.into() };
        let reachable = |reachable| What::Reachable { member: Some(0), reachable };
        let mut trace = Trace::default();
        trace.note(told(if state == "up" { "removed" } else { "up" })).wait(500);
        trace.note(reachable(false)).note(told(state)).wait(500);
        trace.note(reachable(true)).note(told(state)).wait(1200);
        trace.asked(1, "a", "quote", None);
        trace.note(What::Sent { worker: 0, member: 0, call: "a".into(), budget: None });
        assert_eq!(trace.broken_rules(), broken, "{state}");
    }
}

#[test]
fn an_old_owner_never_acts_after_a_new_one() {
    // Worker 0 checks fencing tokens, worker 1 does not.
    let mut trace = Trace::default();
    trace.acted(0, 0, 1, true).wait(40).acted(1, 1, 2, true).acted(0, 1, 2, true);
    assert_eq!(trace.broken_rules(), Vec::<String>::new());
    let f = trace.verdict().figures;
    assert_eq!((f.acts, f.ownerless_longest_ms), (3, 41));
    trace.acted(0, 0, 1, false);
    assert_eq!((trace.broken_rules().len(), trace.verdict().figures.stale_refused), (0, 1));
    // A worker that does not check fencing tokens accepts the old owner.
    trace.acted(1, 0, 1, true);
    assert_eq!(trace.broken_rules(), ["owners"]);
    // Two members with the same token.
    let mut trace = Trace::default();
    trace.acted(0, 0, 1, true).acted(1, 1, 1, true);
    assert_eq!(trace.broken_rules(), ["owners"]);
}

#[test]
fn a_counted_rule_is_no_violation() {
    let mut trace = Trace::default();
    trace.asked(1, "a", "quote", None).unheard("a", Silence::Broken);
    let text = SCENARIO.replacen('{', r#"{"counted": ["dropped"], "#, 1);
    let verdict = check(&Scenario::parse(&text).expect("a scenario"), &trace.events);
    assert_eq!((verdict.broken.len(), verdict.counted["dropped"]), (0, 1));
}
