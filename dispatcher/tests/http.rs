//! The platform's protocol: the program between clients, workers and discovery that the tests play.

mod common;

use common::{create_temp_dir, program, Rig, Worker, SETTINGS};
use rstest::rstest;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

const DONE: &str = r#","result":"a chart""#;

#[rstest]
#[case::after_the_202(false)]
#[case::before_the_202(true)]
fn a_job_goes_through_and_its_result_is_the_answer(#[case] early: bool) {
    let rig = Rig::start(1);
    let mut client = rig.post("c1", "quote", "X-Budget-Ms: 7000\r\nIdempotency-Key: k1\r\n");
    let seen = rig.workers[0].next();
    assert_eq!(seen.message.start_line, "POST /api HTTP/1.1");
    assert_eq!(seen.message.body, "payload");
    assert_eq!((seen.reference(), &*seen.message.headers["idempotency-key"]), ("c1", "k1"));
    assert!(seen.message.headers["x-budget-ms"].parse::<u32>().is_ok_and(|ms| (1..7000).contains(&ms)));
    // A worker may be quicker with its calls than with its 202, and says things twice.
    if early {
        rig.send_job_update(0, "c1", "done", DONE);
        rig.send_job_update(0, "c1", "done", DONE);
        seen.respond("202 Accepted");
    } else {
        seen.respond("202 Accepted");
        rig.send_job_update(0, "c1", "started", "");
        rig.send_job_update(0, "c1", "running", r#","share":0.5"#);
        rig.send_job_update(0, "c1", "done", DONE);
    }
    let answer = client.read_response();
    assert_eq!((answer.status(), &*answer.body), (200, "a chart"));
    // The connection serves the next one.
    client.post("c2", "quote", "");
    assert_eq!(rig.workers[0].accept_job(), "c2");
    rig.send_job_update(0, "c2", "done", DONE);
    assert_eq!(client.read_response().status(), 200);
}

/// How a first attempt may end, and whether a class may then go out again.
#[rstest]
#[case::turned_away("503 No\r\nX-Rejected: 1", "", "order", true)]
#[case::timed_out_unstarted("504 No\r\nX-Rejected: 1", "", "order", true)]
#[case::an_error_may_have_run("500 Oops", "", "order", false)]
#[case::an_unmarked_503_may_have_run("503 Oops", "", "order", false)]
#[case::an_error_is_repeated_where_harmless("500 Oops", "", "quote", true)]
#[case::cut_before_the_202("", "", "quote", true)]
#[case::cut_may_have_run("", "", "order", false)]
#[case::a_redirect_is_not_followed("307 There\r\nLocation: /other", "", "order", false)]
#[case::handed_back("202 Accepted", "returned", "order", true)]
#[case::failed("202 Accepted", "failed", "statement", true)]
#[case::lost("202 Accepted", "lost", "order", false)]
fn an_attempt_is_repeated_only_as_its_class_permits(
    #[case] status: &str,
    #[case] news: &str,
    #[case] class: &str,
    #[case] again: bool,
) {
    let rig = Rig::start(1);
    let mut client = rig.post("c1", class, "");
    let seen = rig.workers[0].next();
    match status {
        "" => drop(seen),
        _ => seen.respond(status),
    }
    if !news.is_empty() {
        rig.send_job_update(0, "c1", news, "");
    }
    if again {
        assert_eq!(rig.workers[0].accept_job(), "c1");
        rig.send_job_update(0, "c1", "done", DONE);
        assert_eq!(client.read_response().status(), 200);
    } else {
        let status = client.read_response().status();
        assert!(![200, 429, 503].contains(&status), "{status} would promise that it never ran");
        assert!(rig.workers[0].has_no_request());
    }
}

/// A worker's old word of an attempt that is over must not end the one that is out elsewhere.
#[test]
fn calls_of_another_worker_or_job_change_nothing() {
    let rig = Rig::start(2);
    let mut client = rig.post("c1", "quote", "");
    let (first, seen) = rig.next();
    seen.respond("202 Accepted");
    let other = 1 - first;
    rig.send_job_update(other, "c1", "done", r#","result":"not its own""#);
    rig.send_job_update(first, "c0", "done", DONE);
    rig.send_job_update(first, "c1", "a word of later days", "");
    rig.send_job_update(first, "c1", "done", DONE);
    assert_eq!(client.read_response().body, "a chart");
}

#[test]
fn a_client_that_leaves_has_its_attempt_given_up() {
    let rig = Rig::start(1);
    let client = rig.post("c1", "quote", "");
    assert_eq!(rig.workers[0].accept_job(), "c1");
    drop(client);
    let seen = rig.workers[0].next();
    assert_eq!(seen.message.start_line, "DELETE /jobs/c1 HTTP/1.1");
    seen.respond("200 OK");
    // Its id is free again, and a late word of it does no harm.
    rig.send_job_update(0, "c1", "done", DONE);
}

/// Seen when a data centre fell silent: no connection came up to call the attempt back, and a second one went
/// out beside it.
#[test]
fn no_second_attempt_goes_out_before_the_worker_knows_that_the_first_is_given_up() {
    let rig = Rig::with(2, &SETTINGS.replace(r#""aim_ms": 500"#, r#""aim_ms": 50"#), None);
    let mut client = rig.post("c1", "quote", "");
    let (first, seen) = rig.next();
    seen.respond("202 Accepted");
    rig.send_job_update(first, "c1", "started", "");
    // Nothing comes of it for ten usual times. The worker breaks off when it is told.
    for _ in 0..3 {
        let seen = rig.workers[first].next();
        assert_eq!(seen.message.start_line, "DELETE /jobs/c1 HTTP/1.1");
        assert!(rig.workers[1 - first].has_no_request());
    }
    rig.workers[first].next().respond("200 OK");
    let (second, seen) = rig.next();
    assert!(seen.message.start_line.starts_with("POST "));
    seen.respond("202 Accepted");
    rig.send_job_update(second, "c1", "done", DONE);
    assert_eq!(client.read_response().status(), 200);
}

/// Seen: a connection fell silent under a job, which then waited for its deadline and failed.
#[test]
fn a_job_that_is_not_taken_is_given_up_and_goes_elsewhere() {
    let rig = Rig::start(2);
    // Of these two the first is known to have begun: that its 202 does not come is no matter.
    let mut begun = rig.post("c1", "quote", "");
    let (first, _held) = rig.next();
    rig.send_job_update(first, "c1", "started", "");
    let mut client = rig.post("c2", "quote", "");
    let (silent, _silent) = rig.next();
    let (at, seen) = rig.next();
    assert_eq!((at, &*seen.message.start_line), (silent, "DELETE /jobs/c2 HTTP/1.1"));
    assert!(rig.workers.iter().all(|w| w.has_no_request()), "not before the worker knows");
    seen.respond("404 Not Found");
    let (second, seen) = rig.next();
    assert_eq!(seen.reference(), "c2");
    seen.respond("202 Accepted");
    rig.send_job_update(second, "c2", "done", DONE);
    rig.send_job_update(first, "c1", "done", DONE);
    assert!([&mut client, &mut begun].iter_mut().all(|c| c.read_response().status() == 200));
}

/// Seen: workers that break kept connections at the next request, one in six.
#[test]
fn connections_to_a_worker_are_not_kept_after_one_broke() {
    let rig = Rig::start(1);
    let mut client = rig.post("c0", "order", "");
    drop(rig.workers[0].next());
    assert_eq!(client.read_response().status(), 504);
    for id in ["c1", "c2", "c3"] {
        let mut client = rig.post(id, "quote", "");
        assert_eq!(rig.workers[0].accept_job(), id);
        rig.send_job_update(0, id, "done", DONE);
        assert_eq!(client.read_response().status(), 200);
    }
    assert_eq!(rig.workers[0].connections_accepted.load(Ordering::SeqCst), 4, "one for each");
}

#[test]
fn an_answer_comes_within_the_budget_and_the_attempt_is_given_up() {
    let rig = Rig::start(1);
    let start = Instant::now();
    let mut client = rig.post("c1", "order", "X-Budget-Ms: 400\r\n");
    assert_eq!(rig.workers[0].accept_job(), "c1");
    let answer = client.read_response();
    assert!(start.elapsed().as_millis() < 400, "{:?}", start.elapsed());
    assert_eq!(answer.status(), 504);
    assert_eq!(rig.workers[0].next().message.start_line, "DELETE /jobs/c1 HTTP/1.1");
}

#[test]
fn a_draining_worker_gets_nothing_new_and_keeps_what_it_has() {
    let rig = Rig::start(2);
    let mut clients: Vec<_> = (0..2).map(|i| rig.post(&format!("c{i}"), "quote", "")).collect();
    // Two jobs, two workers: one each.
    let held = [rig.workers[0].accept_job(), rig.workers[1].accept_job()];
    (0..2).for_each(|w| rig.send_job_update(w, &held[w], "started", ""));
    rig.list(&["draining", "up"]);
    for i in 0..6 {
        let id = format!("d{i}");
        let mut client = rig.post(&id, "quote", "");
        assert_eq!(rig.workers[1].accept_job(), id);
        rig.send_job_update(1, &id, "done", DONE);
        assert_eq!(client.read_response().status(), 200);
    }
    assert!(rig.workers[0].has_no_request());
    rig.send_job_update(0, &held[0], "done", DONE);
    rig.send_job_update(1, &held[1], "done", DONE);
    assert!(clients.iter_mut().all(|c| c.read_response().status() == 200));
}

/// The pool ends idle connections only when it uses them: those to workers that have left would pile up.
#[test]
fn idle_connections_to_a_worker_that_has_left_are_closed() {
    let rig = Rig::with(2, &SETTINGS.replace(r#""keepalive_ms": 10000"#, r#""keepalive_ms": 100"#), None);
    let mut clients: Vec<_> = (0..2).map(|i| rig.post(&format!("c{i}"), "quote", "")).collect();
    (0..2).for_each(|w| rig.send_job_update(w, &rig.workers[w].accept_job(), "done", DONE));
    assert!(clients.iter_mut().all(|c| c.read_response().status() == 200));
    rig.list(&["removed", "up"]);
    let until = Instant::now() + common::WAIT_TIMEOUT;
    for i in 0.. {
        if rig.workers[0].open_connections.load(Ordering::SeqCst) == 0 {
            break;
        }
        assert!(Instant::now() < until, "still open");
        let id = format!("d{i}");
        let mut client = rig.post(&id, "quote", "");
        assert_eq!(rig.workers[1].accept_job(), id);
        rig.send_job_update(1, &id, "done", DONE);
        assert_eq!(client.read_response().status(), 200);
    }
}

#[test]
fn what_is_over_the_bound_is_refused_at_once_and_told_when_to_come_back() {
    let rig = Rig::with(1, &SETTINGS.replace(r#""most_held": 50"#, r#""most_held": 1"#), None);
    let _first = rig.post("c1", "quote", "");
    assert_eq!(rig.workers[0].accept_job(), "c1");
    let start = Instant::now();
    let answer = rig.post("c2", "quote", "").read_response();
    assert_eq!(answer.status(), 503);
    assert!(answer.headers["retry-after"].parse::<f64>().is_ok_and(|s| s > 0.0 && s <= 2.0));
    assert!(start.elapsed().as_secs() < 4, "not held back");
}

#[rstest]
#[case("POST /api", "X-Call-Class: quote\r\n", 400)]
#[case("POST /api", "X-Call-Id: c1\r\nX-Call-Class: unheard\r\n", 400)]
#[case("POST /api", "X-Call-Id: c1\r\n", 400)]
#[case("POST /api", "X-Call-Id: a/b\r\nX-Call-Class: quote\r\n", 400)]
#[case("POST /api", "X-Call-Id: c1\r\nX-Call-Class: quote\r\nX-Caller: nobody\r\n", 400)]
#[case("POST /api", "X-Call-Id: c1\r\nX-Call-Class: quote\r\nX-Budget-Ms: soon\r\n", 400)]
#[case("GET /api", "", 405)]
#[case("POST /up", "", 405)]
#[case("POST /elsewhere", "", 404)]
#[case("POST /_jobs/news", "", 400)]
fn what_is_malformed_is_answered_at_once(#[case] first: &str, #[case] headers: &str, #[case] status: u16) {
    let mut rig = Rig::start(1);
    let mut client = rig.connect();
    client.send(first, headers, "{");
    assert_eq!(client.read_response().status(), status);
    assert!(rig.workers[0].has_no_request() && rig.is_running());
}

/// It is up as soon as the list that it was told is confirmed.
#[test]
fn it_says_that_it_is_up() {
    let rig = Rig::start(1);
    rig.connect().wait_until_up();
}

#[rstest]
#[case(b"no http at all\r\n\r\n".to_vec(), 400)]
#[case(b"POST /api HTTP/1.1\r\nHost: a\r\nX-Call-Id: c1\r\nX-Call-Class: quote\r\nContent-Length: 70000\r\n\r\n".iter().copied().chain([b'x'; 70000]).collect(), 413)]
fn what_is_no_request_or_too_long_gets_an_answer(#[case] bytes: Vec<u8>, #[case] status: u16) {
    let mut rig = Rig::start(1);
    let mut client = rig.connect();
    client.write(&bytes);
    assert_eq!(client.read_response().status(), status);
    assert!(rig.is_running());
}

#[test]
fn an_id_that_is_in_work_is_not_taken_twice() {
    let rig = Rig::start(1);
    let mut first = rig.post("c1", "quote", "");
    assert_eq!(rig.workers[0].accept_job(), "c1");
    assert_eq!(rig.post("c1", "quote", "").read_response().status(), 409);
    rig.send_job_update(0, "c1", "done", DONE);
    assert_eq!(first.read_response().status(), 200);
}

#[test]
fn sigterm_finishes_what_was_taken_and_ends_well() {
    let mut rig = Rig::start(1);
    let mut idle = rig.connect();
    let mut before = rig.post("c1", "quote", "");
    assert_eq!(rig.workers[0].accept_job(), "c1");
    rig.send_job_update(0, "c1", "started", "");
    rig.terminate();
    rig.wait_for_log("SIGTERM");
    // Clients that have not heard of it still come.
    let mut after = rig.post("c2", "quote", "");
    assert_eq!(rig.workers[0].accept_job(), "c2");
    // One that keeps its connection open for nothing is not waited for.
    assert!(idle.is_closed_by_peer());
    rig.send_job_update(0, "c1", "done", DONE);
    rig.send_job_update(0, "c2", "done", DONE);
    for client in [&mut before, &mut after] {
        let answer = client.read_response();
        assert_eq!((answer.status(), &*answer.headers["connection"]), (200, "close"));
    }
    assert!(rig.wait_for_exit().success());
}

/// SIGHUP ended the program. The variable of the start names the old discovery, and the versions of the new
/// one lie under those that are known.
#[test]
fn sighup_goes_over_to_the_new_discovery_and_loses_no_flow() {
    let mut rig = Rig::start(2);
    rig.list(&["up", "up"]);
    let mut before = rig.post("c1", "order", "");
    let (first, seen) = rig.next();
    seen.respond("202 Accepted");
    rig.move_discovery(&["draining", "up"]);
    for i in 0..4 {
        let id = format!("d{i}");
        let mut client = rig.post(&id, "quote", "");
        assert_eq!(rig.workers[1].accept_job(), id);
        rig.send_job_update(1, &id, "done", DONE);
        assert_eq!(client.read_response().status(), 200);
    }
    rig.send_job_update(first, "c1", "done", DONE);
    assert_eq!(before.read_response().status(), 200);
}

/// A watch that stayed silent was waited for during 11 s, while workers came and went.
#[test]
fn a_discovery_gone_quiet_is_soon_asked_again() {
    let rig = Rig::start(2);
    rig.list(&["up", "up"]);
    rig.silence_discovery();
    let since = Instant::now();
    rig.list(&["draining", "up"]);
    assert!(since.elapsed() < Duration::from_secs(7), "{:?}", since.elapsed());
}

#[rstest]
#[case::no_json("{", "GW_CONFIG")]
#[case::no_address(r#"{"settings": {}, "discovery": "there"}"#, "discovery")]
#[case::a_setting(r#"{"listen":"127.0.0.1:0","settings": {"classes": [], "zone": "a"}}"#, "zone")]
fn a_file_that_cant_be_used_leaves_the_old_settings_in_force(#[case] config: &str, #[case] key: &str) {
    let mut rig = Rig::start(1);
    let line = rig.reload(config);
    assert!(line.contains("old settings") && line.contains(key), "{line}");
    rig.list(&["up"]);
    let mut client = rig.post("c1", "quote", "");
    assert_eq!(rig.workers[0].accept_job(), "c1");
    rig.send_job_update(0, "c1", "done", DONE);
    assert_eq!(client.read_response().status(), 200);
    assert!(rig.is_running());
}

#[rstest]
#[case(r#""rules": {"cold_from": 0}"#, "rules.cold_from")]
#[case(r#""zone": "a""#, "zone")]
#[case(r#""worth_by": "weight""#, "worth_by")]
fn unusable_settings_end_the_program_and_name_their_key(#[case] setting: &str, #[case] key: &str) {
    let settings = SETTINGS.replace(r#", "zone": 0"#, "").replacen('{', &format!("{{{setting}, "), 1);
    let file = create_temp_dir().join("config.json");
    let config = format!(r#"{{"listen":"127.0.0.1:0","discovery":"127.0.0.1:9","settings":{settings}}}"#);
    std::fs::write(&file, config).expect("a file");
    let out = program().env("GW_CONFIG", &file).output().expect("it runs");
    let words = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(!out.status.success() && words.contains(key), "{words}");
}

#[rstest]
#[case("GW_CONFIG", None, "GW_CONFIG")]
#[case("GW_LISTEN", Some("here"), "GW_LISTEN")]
#[case("GW_DISCOVERY", None, "GW_DISCOVERY")]
#[case("GW_CONFIG", Some("/nowhere/config.json"), "GW_CONFIG")]
fn missing_variables_are_named(#[case] key: &str, #[case] value: Option<&str>, #[case] named: &str) {
    let file = create_temp_dir().join("config.json");
    std::fs::write(&file, format!(r#"{{"listen":"127.0.0.1:0","settings":{SETTINGS}}}"#)).expect("a file");
    let mut command = program();
    command.env("GW_CONFIG", &file);
    match value {
        Some(value) => command.env(key, value),
        None => command.env_remove(key),
    };
    let out = command.output().expect("it runs");
    let words = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(!out.status.success() && words.contains(named), "{words}");
}

/// From nginx blocks to an answer: the importer's settings start the program, without discovery.
#[test]
fn imported_nginx_blocks_route_jobs_to_their_upstream() {
    let worker = Worker::start("charts");
    let blocks = format!(
        "upstream charts {{ server {}; }}\nlocation /charts/ {{ proxy_pass http://charts; }}",
        worker.addr
    );
    let file = create_temp_dir().join("site.conf");
    std::fs::write(&file, blocks).expect("a file");
    let out = program().arg("import-nginx").arg(&file).output().expect("it runs");
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    let operator = String::from_utf8(out.stdout).expect("text");
    let rig = Rig::of(Vec::new(), SETTINGS, Some(&operator));
    let mut client = rig.connect();
    client.send("POST /charts/gse?days=5", "", "payload");
    let seen = worker.next();
    assert_eq!(seen.message.start_line, "POST /charts/gse?days=5 HTTP/1.1");
    // What stands behind nginx answers on the connection.
    seen.respond("201 Created\r\nX-Own: yes");
    let answer = client.read_response();
    assert_eq!((answer.status(), &*answer.headers["x-own"]), (201, "yes"));
}
