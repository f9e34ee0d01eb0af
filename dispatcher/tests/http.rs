//! The platform's protocol: the program against simulated clients, workers and discovery.

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
    let request = rig.workers[0].next();
    assert_eq!(request.message.start_line, "POST /api HTTP/1.1");
    assert_eq!(request.message.body, "payload");
    assert_eq!((request.reference(), &*request.message.headers["idempotency-key"]), ("c1", "k1"));
    assert!(request.message.headers["x-budget-ms"].parse::<u32>().is_ok_and(|ms| (1..7000).contains(&ms)));
    // A worker's status updates may arrive before its 202, and may be repeated.
    if early {
        rig.send_job_update(0, "c1", "done", DONE);
        rig.send_job_update(0, "c1", "done", DONE);
        request.respond("202 Accepted");
    } else {
        request.respond("202 Accepted");
        rig.send_job_update(0, "c1", "started", "");
        rig.send_job_update(0, "c1", "running", r#","share":0.5"#);
        rig.send_job_update(0, "c1", "done", DONE);
    }
    let answer = client.read_response();
    assert_eq!((answer.status(), &*answer.body), (200, "a chart"));
    // The connection is reused for the next job.
    client.post("c2", "quote", "");
    assert_eq!(rig.workers[0].accept_job(), "c2");
    rig.send_job_update(0, "c2", "done", DONE);
    assert_eq!(client.read_response().status(), 200);
}

/// How a first attempt may end, and whether the job may then be sent again, by its class.
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
    let request = rig.workers[0].next();
    match status {
        "" => drop(request),
        _ => request.respond(status),
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

/// A late status update for an attempt that is over must not end the attempt on another worker.
#[test]
fn status_updates_from_another_worker_or_for_another_job_change_nothing() {
    let rig = Rig::start(2);
    let mut client = rig.post("c1", "quote", "");
    let (first, request) = rig.next();
    request.respond("202 Accepted");
    let other = 1 - first;
    rig.send_job_update(other, "c1", "done", r#","result":"not its own""#);
    rig.send_job_update(first, "c0", "done", DONE);
    rig.send_job_update(first, "c1", "a word of later days", "");
    rig.send_job_update(first, "c1", "done", DONE);
    assert_eq!(client.read_response().body, "a chart");
}

#[test]
fn the_attempt_of_a_client_that_disconnects_is_cancelled() {
    let rig = Rig::start(1);
    let client = rig.post("c1", "quote", "");
    assert_eq!(rig.workers[0].accept_job(), "c1");
    drop(client);
    let request = rig.workers[0].next();
    assert_eq!(request.message.start_line, "DELETE /jobs/c1 HTTP/1.1");
    request.respond("200 OK");
    // The job's id is free again, and a late status update for it has no effect.
    rig.send_job_update(0, "c1", "done", DONE);
}

/// When a data centre stopped responding, no connection could be established to cancel the attempt, and a second attempt was
/// sent while the first was still running.
#[test]
fn no_second_attempt_is_sent_before_the_worker_knows_that_the_first_is_cancelled() {
    let rig = Rig::with_settings(2, &SETTINGS.replace(r#""aim_ms": 500"#, r#""aim_ms": 50"#), None);
    let mut client = rig.post("c1", "quote", "");
    let (first, request) = rig.next();
    request.respond("202 Accepted");
    rig.send_job_update(first, "c1", "started", "");
    // The job is not done after ten times its usual duration. The worker stops it once the cancellation arrives.
    for _ in 0..3 {
        let request = rig.workers[first].next();
        assert_eq!(request.message.start_line, "DELETE /jobs/c1 HTTP/1.1");
        assert!(rig.workers[1 - first].has_no_request());
    }
    rig.workers[first].next().respond("200 OK");
    let (second, request) = rig.next();
    assert!(request.message.start_line.starts_with("POST "));
    request.respond("202 Accepted");
    rig.send_job_update(second, "c1", "done", DONE);
    assert_eq!(client.read_response().status(), 200);
}

/// A connection stopped responding before its job was accepted; the job then waited until its deadline and failed.
#[test]
fn a_job_that_is_not_accepted_is_cancelled_and_sent_to_another_worker() {
    let rig = Rig::start(2);
    // The first of the two jobs is known to have started, so its missing 202 does not matter.
    let mut begun = rig.post("c1", "quote", "");
    let (first, _held) = rig.next();
    rig.send_job_update(first, "c1", "started", "");
    let mut client = rig.post("c2", "quote", "");
    let (silent, _silent) = rig.next();
    let (at, request) = rig.next();
    assert_eq!((at, &*request.message.start_line), (silent, "DELETE /jobs/c2 HTTP/1.1"));
    assert!(
        rig.workers.iter().all(|w| w.has_no_request()),
        "no second attempt before the worker has been told"
    );
    request.respond("404 Not Found");
    let (second, request) = rig.next();
    assert_eq!(request.reference(), "c2");
    request.respond("202 Accepted");
    rig.send_job_update(second, "c2", "done", DONE);
    rig.send_job_update(first, "c1", "done", DONE);
    assert!([&mut client, &mut begun].iter_mut().all(|c| c.read_response().status() == 200));
}

/// Some workers break a kept-alive connection at the next request; one in six requests failed that way.
#[test]
fn connections_to_a_worker_are_not_kept_alive_after_one_broke() {
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
    assert_eq!(rig.workers[0].connections_accepted.load(Ordering::SeqCst), 4, "one connection for each job");
}

#[test]
fn a_response_is_sent_within_the_budget_and_the_attempt_is_cancelled() {
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
    // Two jobs on two workers: each worker receives one.
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

/// The pool closes expired idle connections only when it is used for that worker, so connections to removed workers would
/// accumulate.
#[test]
fn idle_connections_to_a_removed_worker_are_closed() {
    let rig =
        Rig::with_settings(2, &SETTINGS.replace(r#""keepalive_ms": 10000"#, r#""keepalive_ms": 100"#), None);
    let mut clients: Vec<_> = (0..2).map(|i| rig.post(&format!("c{i}"), "quote", "")).collect();
    (0..2).for_each(|w| rig.send_job_update(w, &rig.workers[w].accept_job(), "done", DONE));
    assert!(clients.iter_mut().all(|c| c.read_response().status() == 200));
    rig.list(&["removed", "up"]);
    let until = Instant::now() + common::WAIT_TIMEOUT;
    for i in 0.. {
        if rig.workers[0].open_connections.load(Ordering::SeqCst) == 0 {
            break;
        }
        assert!(Instant::now() < until, "the connection is still open");
        let id = format!("d{i}");
        let mut client = rig.post(&id, "quote", "");
        assert_eq!(rig.workers[1].accept_job(), id);
        rig.send_job_update(1, &id, "done", DONE);
        assert_eq!(client.read_response().status(), 200);
    }
}

#[test]
fn jobs_over_the_limit_are_refused_at_once_with_retry_after() {
    let rig = Rig::with_settings(1, &SETTINGS.replace(r#""most_held": 50"#, r#""most_held": 1"#), None);
    let _first = rig.post("c1", "quote", "");
    assert_eq!(rig.workers[0].accept_job(), "c1");
    let start = Instant::now();
    let answer = rig.post("c2", "quote", "").read_response();
    assert_eq!(answer.status(), 503);
    assert!(answer.headers["retry-after"].parse::<f64>().is_ok_and(|s| s > 0.0 && s <= 2.0));
    assert!(start.elapsed().as_secs() < 4, "the refusal is not delayed");
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
fn malformed_requests_are_answered_at_once(#[case] first: &str, #[case] headers: &str, #[case] status: u16) {
    let mut rig = Rig::start(1);
    let mut client = rig.connect();
    client.send(first, headers, "{");
    assert_eq!(client.read_response().status(), status);
    assert!(rig.workers[0].has_no_request() && rig.is_running());
}

/// The program is up as soon as the worker list from its configuration has been confirmed.
#[test]
fn up_reports_that_the_program_is_up() {
    let rig = Rig::start(1);
    rig.connect().wait_until_up();
}

#[rstest]
#[case(b"no http at all\r\n\r\n".to_vec(), 400)]
#[case(b"POST /api HTTP/1.1\r\nHost: a\r\nX-Call-Id: c1\r\nX-Call-Class: quote\r\nContent-Length: 70000\r\n\r\n".iter().copied().chain([b'x'; 70000]).collect(), 413)]
fn invalid_or_oversized_requests_get_an_error_response(#[case] bytes: Vec<u8>, #[case] status: u16) {
    let mut rig = Rig::start(1);
    let mut client = rig.connect();
    client.write(&bytes);
    assert_eq!(client.read_response().status(), status);
    assert!(rig.is_running());
}

#[test]
fn an_id_in_use_is_not_accepted_twice() {
    let rig = Rig::start(1);
    let mut first = rig.post("c1", "quote", "");
    assert_eq!(rig.workers[0].accept_job(), "c1");
    assert_eq!(rig.post("c1", "quote", "").read_response().status(), 409);
    rig.send_job_update(0, "c1", "done", DONE);
    assert_eq!(first.read_response().status(), 200);
}

#[test]
fn sigterm_finishes_accepted_jobs_and_exits_with_success() {
    let mut rig = Rig::start(1);
    let mut idle = rig.connect();
    let mut before = rig.post("c1", "quote", "");
    assert_eq!(rig.workers[0].accept_job(), "c1");
    rig.send_job_update(0, "c1", "started", "");
    rig.terminate();
    rig.wait_for_log("SIGTERM");
    // Clients that are not yet aware of the shutdown still send requests.
    let mut after = rig.post("c2", "quote", "");
    assert_eq!(rig.workers[0].accept_job(), "c2");
    // An idle connection does not delay the shutdown.
    assert!(idle.is_closed_by_peer());
    rig.send_job_update(0, "c1", "done", DONE);
    rig.send_job_update(0, "c2", "done", DONE);
    for client in [&mut before, &mut after] {
        let answer = client.read_response();
        assert_eq!((answer.status(), &*answer.headers["connection"]), (200, "close"));
    }
    assert!(rig.wait_for_exit().success());
}

/// SIGHUP used to terminate the program. The environment variable set at the start names the old discovery, and the new
/// discovery's versions are lower than the known one.
#[test]
fn sighup_switches_to_the_new_discovery_and_loses_no_flow() {
    let mut rig = Rig::start(2);
    rig.list(&["up", "up"]);
    let mut before = rig.post("c1", "order", "");
    let (first, request) = rig.next();
    request.respond("202 Accepted");
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

/// The program waited 11 s for an unanswered watch, while workers were added and removed.
#[test]
fn a_watch_left_unanswered_is_soon_repeated() {
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
fn an_invalid_configuration_leaves_the_old_settings_in_force(#[case] config: &str, #[case] key: &str) {
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
fn invalid_settings_end_the_program_and_name_their_key(#[case] setting: &str, #[case] key: &str) {
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

/// From nginx blocks to a response: the program starts with the imported settings, without discovery.
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
    let rig = Rig::with_worker_addrs(Vec::new(), SETTINGS, Some(&operator));
    let mut client = rig.connect();
    client.send("POST /charts/gse?days=5", "", "payload");
    let request = worker.next();
    assert_eq!(request.message.start_line, "POST /charts/gse?days=5 HTTP/1.1");
    // A plain upstream responds on the connection itself.
    request.respond("201 Created\r\nX-Own: yes");
    let answer = client.read_response();
    assert_eq!((answer.status(), &*answer.headers["x-own"]), (201, "yes"));
}
