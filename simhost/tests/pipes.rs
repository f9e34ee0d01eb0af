//! Runs the adapter as the simulator does, as a child process on pipes.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = r#"{"instances": 1, "discovery": "ask", "some_new_key": [1, 2],
 "classes": [{"aim_ms": 500, "deadline_ms": 5000, "effect": "repeatable", "name": "a"}],
 "allowed": {"max_attempts": 3, "retry_after": true, "max_retry_after_ms": 2000.0},
 "specifics": {"class_kind": [-1], "class_stretch": [1.5], "progress_ms": 1000.0}}"#;

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_lineroute-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // A process that exits early closes its input; its exit status and stderr are checked instead.
    let _ = child.stdin.take().expect("piped").write_all(input.as_bytes());
    child.wait_with_output().expect("the adapter ends")
}

fn start_instance(settings: &str) -> String {
    let settings = settings.replace('\n', " ");
    format!(
        "TICK\t1000.0\nON\t0\nNEW_INSTANCE\t7\t{settings}\nINVENTORY\t0\t1\nM\t5\t0\t0\t0\t1\t1\t-\n\
         BACKENDS_CHANGED\t0\t2\t1\nYOUR_TURN\n"
    )
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).expect("utf-8")
}

#[test]
fn a_request_is_sent_and_its_response_is_accepted() {
    let input = start_instance(SETTINGS)
        + "TICK\t1005.5\nON\t0\nINGRESS\tr1\t0\t-\t-\t6005.25\t-\t1\t-\t0\t0\t0\nYOUR_TURN\n"
        + "TICK\t1105.5\nON\t0\nCLOSED_ATTEMPT\tr1\t-\t100.0\t0\t1\tpass\t5\tx0:1,depth:0,concurrent:0\n"
        + "YOUR_TURN\nTICK\t1200\nYOUR_TURN\n";
    let out = run(&input);
    assert!(out.status.success(), "{}", text(&out.stderr));
    let reply = text(&out.stdout);
    assert!(reply.contains("LISTEN\t1\n"), "{reply}");
    assert!(reply.contains("BY\t0\nDELIVER\tr1\t4999.750\t5\n"), "{reply}");
    assert_eq!(reply.matches("DONE\n").count(), 4, "one reply per batch");
    assert!(out.stderr.is_empty());
}

#[test]
fn malformed_input_is_reported_with_its_line_number() {
    let good = start_instance(SETTINGS);
    let batch = |line: &str| format!("{good}TICK\t1100\nON\t0\n{line}\nYOUR_TURN\n");
    let with = |more: &str| start_instance(&SETTINGS.replacen('{', &format!("{{{more}, "), 1));
    let class = |more: &str| start_instance(&SETTINGS.replace("\"aim_ms\"", &format!("{more}, \"aim_ms\"")));
    for (input, expected) in [
        (batch("WHATEVER\t1"), vec!["line 10", "WHATEVER"]),
        (batch("REMINDER\tsoon"), vec!["line 10", "ref", "soon"]),
        (batch("ABORTED\tr1\tmore"), vec!["line 10", "more"]),
        (batch("INGRESS\tr1\t0"), vec!["line 10", "realm", "missing"]),
        (batch("HEALTH_RESULT\t5\tfine\t1\t-"), vec!["line 10", "fine"]),
        (batch("BACKENDS_CHANGED\t9\t1\t3"), vec!["line 10", "list 9"]),
        (batch("ON\t4\nREMINDER\t1"), vec!["line 11", "instance 4"]),
        (format!("{good}REMINDER\t1\n"), vec!["line 8", "outside a batch"]),
        (format!("{good}TICK\t1100\n"), vec!["line 9", "ends inside a batch"]),
        (format!("{good}TICK\t11"), vec!["line 8", "ends inside a line"]),
        (start_instance(&SETTINGS.replace("repeatable", "sometimes")), vec!["line 3", "classes[0].effect"]),
        (
            start_instance(&SETTINGS.replace("\"aim_ms\": 500", "\"aim_ms\": 0")),
            vec!["line 3", "classes[0].aim"],
        ),
        (with(r#""rules": {"may_shed_begun": "yes"}"#), vec!["line 3", "rules.may_shed_begun", "boolean"]),
        (with(r#""blend": {"slow_end": 0.3, "tail_slack": 1.5}"#), vec!["line 3", "tail_slack"]),
        (with(r#""rules": {"dropped_stay_open": 1}"#), vec!["line 3", "rules.dropped_stay_open", "boolean"]),
        (with(r#""worth_by": "weight""#), vec!["line 3", "worth_by", "weight"]),
        (class("\"azs_only\": [-1]"), vec!["line 3", "classes[0].azs_only"]),
        (class("\"skus_open\": \"all\""), vec!["line 3", "classes[0].skus_open"]),
        (with(r#""prices": {"handshake": -0.1}"#), vec!["line 3", "prices.handshake"]),
    ] {
        let out = run(&input);
        assert_eq!(out.status.code(), Some(1), "{input}");
        let message = text(&out.stderr);
        assert_eq!(message.lines().count(), 1, "{message}");
        assert!(expected.iter().all(|w| message.contains(w)), "{message} should name {expected:?}");
        assert!(
            text(&out.stdout).lines().all(|l| !l.contains("simhost")),
            "stdout carries protocol lines only"
        );
    }
}

#[test]
fn instances_are_independent_and_empty_input_is_accepted() {
    assert!(run("").status.success());
    let two = start_instance(SETTINGS).replace("YOUR_TURN\n", "")
        + &start_instance(SETTINGS).replace("TICK\t1000.0\nON\t0", "ON\t1")
        + "TICK\t1100\nON\t1\nDETACH\nON\t0\nINGRESS\tq\t0\t-\t-\t6000\t-\t1\t-\t0\t0\t0\nYOUR_TURN\n";
    let out = run(&two);
    assert!(out.status.success(), "{}", text(&out.stderr));
    assert!(text(&out.stdout).contains("BY\t0\nDELIVER\tq\t4900.000\t5\n"));
}
