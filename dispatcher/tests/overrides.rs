//! The effect of overrides on clients and workers: one dispatcher, with overrides set through its admin listener.

mod common;

use common::admin::{call, clear, operator, rig, set, standing, try_set, unix_ms, wait_for};
use common::{create_temp_dir, Rig, Setup, Worker, SETTINGS};
use rstest::rstest;
use serde_json::json;
use std::time::{Duration, Instant};

const HOUR: Duration = Duration::from_secs(3600);
const DONE: &str = r#","result":"a chart""#;

fn served(rig: &Rig, id: &str, class: &str) -> usize {
    rig.serve_job(id, class)
}

#[test]
fn a_worker_out_of_service_finishes_its_jobs_gets_no_new_ones_and_returns_when_the_override_expires() {
    let rig = rig(2, SETTINGS, "");
    // This job is in flight while the worker goes out of service.
    let mut client = rig.post("c0", "order", "");
    let (at, seen) = rig.next();
    seen.respond("202 Accepted");
    let name = format!("w{at}");
    let (id, until) = set(&rig, &name, json!({"out_of_service": true}), Duration::from_millis(1500));
    for i in 1..6 {
        assert_eq!(served(&rig, &format!("c{i}"), "quote"), 1 - at);
    }
    rig.send_job_update(at, "c0", "done", DONE);
    assert_eq!(client.read_response().status(), 200);
    // A new list in which the worker is up does not end the override.
    rig.list(&["up", "up"]);
    assert_eq!(served(&rig, "c6", "quote"), 1 - at);
    wait_for("the end", || standing(&rig, &id).is_none());
    assert!(unix_ms() >= until);
    let mut tries = 0;
    wait_for("it is used again", || {
        tries += 1;
        served(&rig, &format!("d{tries}"), "quote") == at
    });
}

/// Overrides apply to the worker's name: the worker is removed, and returns under its name at another address.
#[test]
fn an_override_outlasts_list_changes_of_its_worker() {
    let mut rig = rig(2, SETTINGS, "");
    let (id, _) = set(&rig, "w0", json!({"out_of_service": true}), HOUR);
    rig.list(&["removed", "up"]);
    wait_for("it has left", || standing(&rig, &id).as_deref() == Some("no such worker"));
    assert_eq!(served(&rig, "c1", "quote"), 1);
    rig.move_worker(0, Worker::start("w0"));
    rig.list(&["up", "up"]);
    wait_for("it is back", || standing(&rig, &id).as_deref() == Some("in force"));
    for i in 2..6 {
        assert_eq!(served(&rig, &format!("c{i}"), "quote"), 1);
    }
    // Once the override is cleared and the other worker removed, the first one is used again.
    assert_eq!(clear(&rig, &id).0, 200);
    rig.list(&["up", "removed"]);
    assert_eq!(served(&rig, "c9", "quote"), 0);
}

#[rstest]
#[case::repeatable("quote")]
#[case::keyed("statement")]
#[case::once("order")]
fn with_all_out_of_service_a_job_is_refused_at_once_with_retry_after(#[case] class: &str) {
    let rig = rig(2, SETTINGS, "");
    set(&rig, "w0", json!({"out_of_service": true}), HOUR);
    let (id, _) = set(&rig, "w1", json!({"out_of_service": true}), HOUR);
    let asked = Instant::now();
    let answer = rig.post("c1", class, "X-Budget-Ms: 8000\r\nIdempotency-Key: k\r\n").read_response();
    assert_eq!(answer.status(), 503);
    assert!(answer.headers["retry-after"].parse::<f64>().expect("seconds") > 0.0);
    assert!(asked.elapsed() < Duration::from_secs(8), "not held until the deadline");
    assert_eq!(clear(&rig, &id).0, 200);
    assert_eq!(served(&rig, "c2", class), 1);
}

#[test]
fn a_pin_holds_its_flows_to_its_worker_and_ends_while_one_waits() {
    let rig = rig(2, SETTINGS, "");
    set(&rig, "w0", json!({"pin": "quote/acme"}), Duration::from_millis(2000));
    let mut first = rig.post("c1", "quote", "");
    assert_eq!(rig.workers[0].accept_job(), "c1");
    // The worker has not started the first job, so the second waits in the dispatcher.
    let mut second = rig.post("c2", "quote", "");
    assert_eq!(served(&rig, "c3", "order"), 1, "others go as ever");
    assert!(rig.workers[0].has_no_request() && rig.workers[1].has_no_request());
    // The pin ends: the second job goes to the worker with a free slot.
    assert_eq!(rig.workers[1].accept_job(), "c2");
    rig.send_job_update(1, "c2", "done", DONE);
    rig.send_job_update(0, "c1", "done", DONE);
    assert_eq!((first.read_response().status(), second.read_response().status()), (200, 200));
}

#[rstest]
#[case::never_listed("nobody", &["up", "up"], "no such worker")]
#[case::draining("w0", &["draining", "up"], "in force")]
#[case::gone("w0", &["removed", "up"], "no such worker")]
fn a_pin_to_an_unavailable_worker_falls_back_and_is_shown_as_such(
    #[case] worker: &str,
    #[case] states: &[&str],
    #[case] expected: &str,
) {
    let rig = rig(2, SETTINGS, "");
    let (id, _) = set(&rig, worker, json!({"pin": "quote"}), HOUR);
    rig.list(states);
    wait_for("the list is taken in", || standing(&rig, &id).as_deref() == Some(expected));
    let at = served(&rig, "c1", "quote");
    assert!(worker == "nobody" || at == 1);
}

/// An override that starts and expires between two polls has no lasting effect.
#[test]
fn a_very_short_override_ends_too() {
    let rig = rig(1, SETTINGS, "");
    // On a busy machine a short one expires before it arrives, and is refused; then a longer one is tried.
    let spans = (0..10).map(|i| Duration::from_millis(30 << i));
    let taken =
        spans.into_iter().find_map(|span| try_set(&rig, "w0", json!({"out_of_service": true}), span).ok());
    let (id, _) = taken.expect("one that is not over when it comes");
    wait_for("the end", || standing(&rig, &id).is_none());
    wait_for("served again", || {
        let answer = call(&rig, "GET /workers", "").1;
        answer["workers"][0]["out_of_service"] == false
    });
    assert_eq!(served(&rig, "c1", "quote"), 0);
}

#[test]
fn overrides_in_a_state_dir_outlast_a_kill_and_a_torn_log_loses_only_torn_records() {
    let dir = create_temp_dir().join("state");
    let more = format!(r#", "state_dir": {dir:?}"#);
    let first = rig(2, SETTINGS, &more);
    let (kept, _) = set(&first, "w0", json!({"out_of_service": true}), HOUR);
    let (cleared, _) = set(&first, "w1", json!({"weight": 5}), HOUR);
    let (status, answer) = clear(&first, &cleared);
    assert_eq!((status, &answer["saved"]), (200, &json!(true)));
    drop(first);
    let second = rig(2, SETTINGS, &more);
    assert_eq!(standing(&second, &kept).as_deref(), Some("in force"));
    assert_eq!(standing(&second, &cleared), None);
    assert_eq!(served(&second, "c1", "quote"), 1);
    drop(second);
    // Of three lines only the first is left complete.
    let log = dir.join("overrides.log");
    let text = std::fs::read(&log).expect("a log");
    std::fs::write(&log, &text[..text.len() / 2]).expect("a file");
    let third = rig(2, SETTINGS, &more);
    assert_eq!(standing(&third, &kept).as_deref(), Some("in force"));
    assert_eq!(standing(&third, &cleared), None);
    assert_eq!(served(&third, "c1", "quote"), 1);
    let (added, _) = set(&third, "w1", json!({"weight": 2}), HOUR);
    assert_eq!(added.split('-').count(), 2);
    drop(third);
    // Records written after the torn line are read, and the torn line is ignored.
    let fourth = rig(2, SETTINGS, &more);
    let standings = [&kept, &added, &cleared].map(|id| standing(&fourth, id));
    assert_eq!(standings, [Some("in force".into()), Some("in force".into()), None]);
}

/// Without an operator's file, a dispatcher has no admin listener and no peer socket.
#[test]
fn without_the_operators_file_there_is_no_admin_listener_or_peer_socket() {
    let rig = Rig::start(1);
    assert_eq!((rig.admin, rig.peer), (None, None));
    assert_eq!(served(&rig, "c1", "quote"), 0);
    let bare = Rig::set_up(Vec::new(), SETTINGS, Setup { operator: Some(&operator("")), ..Setup::default() });
    assert!(bare.admin.is_some() && bare.peer.is_none());
    assert_eq!(call(&bare, "GET /workers", "").1["workers"], json!([]));
}
