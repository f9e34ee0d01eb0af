//! Compares the output for a scripted run byte for byte, by its hash, so that a change that should not alter
//! decisions does not. A change that should alter them updates the hashes here and says so in its commit.

use rstest::rstest;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::process::{Command, Stdio};

/// Load reports with each response, probes, keyed and non-repeatable classes, a tenant over its share.
const LOAD_REPORTS: &str = r#"{"instances": 2, "discovery": "ask", "report": {"source": "piggyback"}, "azs": ["a", "b"],
 "skus": ["m"], "zone": 0,
 "classes": [
  {"name": "a", "aim_ms": 300, "deadline_ms": 2000, "effect": "repeatable", "late_share": 0.5},
  {"name": "b", "aim_ms": 300, "deadline_ms": 2000, "effect": "by_key", "group": "zone", "key_ttl_ms": 9000},
  {"name": "c", "aim_ms": 300, "deadline_ms": 2000, "effect": "once"}],
 "tenants": [{"name": "t", "quota_per_s": 50}, {"name": "u", "quota_per_s": 10}],
 "allowed": {"max_attempts": 3, "cancel": true, "may_probe": true, "retry_after": true,
  "max_retry_after_ms": 2000.0, "most_held": 200, "keepalive_ms": 1000},
 "specifics": {"class_stretch": [2, 2, 2], "progress_ms": 200.0}}"#;

/// Workers that report the start of jobs and no load.
const START_REPORTS: &str = r#"{"instances": 3, "discovery": "ask", "report": {"source": "silent"}, "azs": ["a", "b"],
 "skus": ["m"], "zone": 1, "prices": {"cross_zone": 0.1},
 "classes": [
  {"name": "a", "aim_ms": 200, "deadline_ms": 1500, "effect": "repeatable", "late_share": 0.0, "credit": 1.0},
  {"name": "b", "aim_ms": 600, "deadline_ms": 3000, "effect": "by_key", "group": "all", "key_ttl_ms": 9000},
  {"name": "c", "aim_ms": 600, "deadline_ms": 3000, "effect": "once", "credit": 4.0}],
 "tenants": [],
 "allowed": {"max_attempts": 4, "cancel": true, "retry_after": true, "max_retry_after_ms": 2000.0,
  "most_held": 200, "keepalive_ms": 1000},
 "specifics": {"class_stretch": [2, 2, 2], "tells_start": true}}"#;

struct Rng(u64);

impl Rng {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

fn fnv(hash: u64, text: &str) -> u64 {
    text.bytes().fold(hash, |hash, b| (hash ^ u64::from(b)).wrapping_mul(0x100_0000_01b3))
}

/// Runs 1,200 steps of 5 ms, 6,000 ms in all; returns the hash of the output and the number of sends in it.
fn run_scenario(settings: &str, load_reports: bool) -> (u64, usize) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_lineroute-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut input = child.stdin.take().expect("piped");
    let mut output = BufReader::new(child.stdout.take().expect("piped")).lines();
    let mut rng = Rng(7);
    let (mut hash, mut sends) = (0xcbf2_9ce4_8422_2325, 0);
    // Input to send at a later time, by time and sequence number, and the number of attempts of each request.
    let mut pending: BTreeMap<(u64, u64), String> = BTreeMap::new();
    let (mut sequence, mut attempts) = (0, BTreeMap::<String, u32>::new());
    for step in 0..1200u64 {
        let now = 1000 + step * 5;
        let mut batch = format!("TICK\t{now}\nON\t0\n");
        if step == 0 {
            let list: String =
                (0..6).map(|w| format!("M\t{w}\t{}\t0\t{}\t1\t1\t-\n", w % 2, w / 2)).collect();
            batch += &format!("NEW_INSTANCE\t7\t{}\n", settings.replace('\n', " "));
            batch += &format!("INVENTORY\t0\t6\n{list}BACKENDS_CHANGED\t0\t2\t1\n");
        }
        // One worker drains, leaves and returns cold.
        let change = match step {
            300 => Some("2\t0\t0\t1\t2\t1\t-".to_owned()),
            400 => Some("2\t0\t0\t1\t0\t1\t-".to_owned()),
            600 => Some(format!("2\t0\t0\t1\t1\t1\t{now}")),
            _ => None,
        };
        if let Some(change) = change {
            batch += &format!("INVENTORY\t0\t1\nM\t{change}\nBACKENDS_CHANGED\t0\t0\t{step}\n");
        }
        while let Some(entry) = pending.first_entry().filter(|e| e.key().0 <= now) {
            batch += &entry.remove();
        }
        let arrival_bound = if (500..800).contains(&step) { 2 } else { 6 };
        if rng.below(arrival_bound) < 2 {
            let (class, tenant) = (rng.below(3), rng.below(2));
            let until = now + 1500;
            batch += &format!("INGRESS\tr{step}\t{class}\t{tenant}\t-\t{until}\t-\t1\t-\t0\t0\t0\n");
        }
        input.write_all((batch + "YOUR_TURN\n").as_bytes()).expect("the adapter reads its input");
        loop {
            let line = output.next().expect("a reply").expect("a line of text");
            hash = fnv(hash, &line);
            let fields: Vec<&str> = line.split('\t').collect();
            let mut schedule = |after: u64, text: String| {
                sequence += 1;
                pending.insert((now + after, sequence), text);
            };
            match fields[..] {
                ["DONE"] => break,
                ["WAKE_AT", at, token] => {
                    let at = at.parse::<f64>().expect("a time").ceil() as u64;
                    schedule(at.saturating_sub(now).max(5), format!("REMINDER\t{token}\n"));
                }
                ["ASK_LOAD", worker] => {
                    schedule(5, format!("HEALTH_RESULT\t{worker}\tpass\t5\tx0:1,depth:0,concurrent:1\n"))
                }
                ["DELIVER", id, _, worker] => {
                    sends += 1;
                    let number = attempts.entry(id.to_owned()).or_default();
                    let spent = 40 + rng.below(60) * (1 + worker.parse::<u64>().expect("a worker") % 3);
                    let state = if rng.below(20) == 0 { "no_room" } else { "pass" };
                    let load = if load_reports { "x0:1,depth:0,concurrent:1" } else { "-" };
                    let complete = u8::from(state == "pass");
                    if !load_reports {
                        schedule(10 + rng.below(80), format!("CHANGE\t{id}\t{number}\t{worker}\t1\t-\n"));
                    }
                    let end = format!(
                        "CLOSED_ATTEMPT\t{id}\t-\t{spent}\t{number}\t{complete}\t{state}\t{worker}\t{load}\n"
                    );
                    schedule(spent.max(100), end);
                    *number += 1;
                }
                _ => {}
            }
        }
    }
    drop(input);
    assert!(child.wait().expect("the adapter ends").success());
    (hash, sends)
}

#[rstest]
#[case::workers_that_report_load(LOAD_REPORTS, true, 0xbd16_c3fe_8526_23af)]
#[case::workers_that_report_starts(START_REPORTS, false, 0x088e_9368_296b_f565)]
fn output_is_unchanged_byte_for_byte(
    #[case] settings: &str,
    #[case] load_reports: bool,
    #[case] expected: u64,
) {
    let (hash, sends) = run_scenario(settings, load_reports);
    assert!(sends > 250, "{sends} sends");
    assert_eq!(hash, expected, "{hash:#018x}");
}
