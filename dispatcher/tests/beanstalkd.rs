//! The beanstalkd listener and beanstalkd workers, on the same core as the platform's protocol.

mod common;

use beanstalkc::Beanstalkc;
use common::beanstalkd::Server;
use common::{Client, Rig, SETTINGS};
use rstest::rstest;
use std::time::{Duration, Instant};

const DONE: &str = r#","result":"a page""#;
/// The platform may send SIGKILL this long after SIGTERM: the longest deadline, at most 3 s, and 0.7 s.
const EARLIEST_KILL: Duration = Duration::from_millis(3700);

fn operator_config(more: &str) -> String {
    format!(
        r#"{{"workers": [{{"kind": "q"}}], "beanstalkd": {{"listen": "127.0.0.1:0", {more} "tubes": [
         {{"tube": "statements", "class": "statement", "tenant": "acme", "answers": "done"}},
         {{"tube": "orders", "class": "order", "budget_ms": 400, "answers": "done"}}]}}}}"#
    )
}

fn start(workers: usize) -> Rig {
    Rig::with_settings(workers, SETTINGS, Some(&operator_config("")))
}

fn client(rig: &Rig) -> Client {
    Client::new(rig.beanstalkd_addr.expect("the beanstalkd listener is enabled"))
}

/// Puts a job and returns its id.
fn put(client: &mut Client, tube: &str, delay: u32) -> u64 {
    assert_eq!(client.command(&format!("use {tube}")), format!("USING {tube}"));
    let reply = client.command(&format!("put 0 {delay} 60 7\r\npayload"));
    reply.strip_prefix("INSERTED ").and_then(|id| id.parse().ok()).unwrap_or_else(|| panic!("{reply}"))
}

fn fetch(client: &mut Client) -> String {
    client.command("watch done");
    let (id, body) = client.reserve();
    assert_eq!(client.command(&format!("delete {id}")), "DELETED");
    body
}

#[test]
fn a_stock_client_puts_a_job_and_fetches_its_answer() {
    let rig = start(1);
    let mut client = Beanstalkc::new()
        .host("127.0.0.1")
        .port(rig.beanstalkd_addr.expect("enabled").port())
        .connect()
        .expect("up");
    client.use_tube("statements").expect("a tube");
    let id = client.put(b"payload", 0, Duration::ZERO, Duration::from_secs(60)).expect("the job is accepted");
    assert_eq!(client.stats_job(id).expect("known")["state"], "reserved");
    assert_eq!(client.peek(id).expect("known").body(), b"payload");
    let request = rig.workers[0].next();
    assert_eq!((&*request.message.start_line, &*request.message.body), ("POST /api HTTP/1.1", "payload"));
    assert!(
        request.message.headers.contains_key("idempotency-key"),
        "an attempt of a by_key class carries a key"
    );
    let reference = request.reference().to_owned();
    request.respond("202 Accepted");
    rig.send_job_update(0, &reference, "done", DONE);
    client.watch("done").expect("a tube");
    client.ignore("default").expect("a tube");
    let mut answer = client.reserve().expect("an answer");
    assert_eq!(std::str::from_utf8(answer.body()).unwrap(), format!("{id} served 0.000\na page"));
    answer.delete().expect("the job is reserved by this client");
    assert!(client.stats_job(id).is_err());
    assert_eq!(client.stats_tube("done").expect("known")["current-jobs-ready"], "0");
    assert!(client.tubes().expect("a list").contains(&"statements".to_string()));
}

#[rstest]
#[case("nonsense", "UNKNOWN_COMMAND")]
#[case("STATS", "UNKNOWN_COMMAND")]
#[case("", "UNKNOWN_COMMAND")]
#[case("use", "BAD_FORMAT")]
#[case("use -minus", "BAD_FORMAT")]
#[case("use two words", "BAD_FORMAT")]
#[case("use bad*name", "BAD_FORMAT")]
#[case("delete x", "BAD_FORMAT")]
#[case("delete +1", "BAD_FORMAT")]
#[case("delete 99999999999999999999", "BAD_FORMAT")]
#[case("delete 7", "NOT_FOUND")]
#[case("reserve-job 7", "NOT_FOUND")]
#[case("peek-ready", "NOT_FOUND")]
#[case("stats-tube nowhere", "NOT_FOUND")]
#[case("pause-tube nowhere 1", "NOT_FOUND")]
#[case("kick 10", "KICKED 0")]
#[case("ignore default", "NOT_IGNORED")]
#[case("list-tube-used", "USING default")]
#[case("reserve-with-timeout 0", "TIMED_OUT")]
#[case("put 0 0 1 3\r\nabc", "NOT_FOUND")]
#[case("put 0 0 1 3\r\nabcdef", "EXPECTED_CRLF")]
#[case("put 0 0 1", "BAD_FORMAT")]
fn every_command_gets_the_reply_of_the_protocol(#[case] line: &str, #[case] reply: &str) {
    let rig = start(0);
    let mut client = client(&rig);
    assert_eq!(client.command(line), reply);
}

#[test]
fn oversized_input_is_skipped_and_the_connection_stays_usable() {
    let rig = start(1);
    let mut client = client(&rig);
    assert_eq!(client.command(&"x".repeat(5000)), "BAD_FORMAT");
    let body = "x".repeat(70_000);
    assert_eq!(client.command(&format!("put 0 0 1 {}\r\n{body}", body.len())), "JOB_TOO_BIG");
    client.write(b"use statements\n");
    assert_eq!(client.command(""), "BAD_FORMAT", "a line feed alone ends no line");
    put(&mut client, "statements", 0);
}

#[test]
fn a_job_that_is_not_done_in_its_budget_fails_in_time() {
    let rig = start(1);
    let mut client = client(&rig);
    let start = Instant::now();
    let id = put(&mut client, "orders", 0);
    rig.workers[0].accept_job();
    let answer = fetch(&mut client);
    assert_eq!(answer, format!("{id} failed 0.000\n"));
    assert!(start.elapsed() < Duration::from_secs(4), "the failure is not delayed");
}

/// A class without value after its aim, and a worker without capacity: the decision module gives up after the aim.
#[test]
fn a_job_that_the_decision_module_gives_up_is_refused_at_once_with_a_retry_time() {
    let settings = SETTINGS.replace(r#""late_share": 0.5"#, r#""late_share": 0"#);
    let rig = Rig::with_settings(1, &settings, Some(&operator_config("")));
    let mut client = client(&rig);
    let start = Instant::now();
    let id = put(&mut client, "statements", 0);
    rig.workers[0].next().respond("503 No\r\nX-Rejected: 1");
    let answer = fetch(&mut client);
    let after = answer.trim_end().strip_prefix(&format!("{id} refused ")).and_then(|s| s.parse::<f64>().ok());
    assert!(after.is_some_and(|s| s > 0.0 && s <= 2.0), "{answer}");
    assert!(start.elapsed() < Duration::from_secs(4), "the refusal is not delayed until the deadline");
}

/// The client deletes a job twice: the job is cancelled once, and its result is never delivered.
#[test]
fn a_job_deleted_twice_is_cancelled_once() {
    let rig = start(1);
    let mut client = client(&rig);
    let id = put(&mut client, "statements", 0);
    let reference = rig.workers[0].accept_job();
    assert_eq!(client.command(&format!("delete {id}")), "DELETED");
    assert_eq!(client.command(&format!("delete {id}")), "NOT_FOUND");
    let request = rig.workers[0].next();
    assert_eq!(request.message.start_line, format!("DELETE /jobs/{reference} HTTP/1.1"));
    request.respond("200 OK");
    rig.send_job_update(0, &reference, "done", DONE);
    client.command("watch done");
    assert_eq!(client.command("reserve-with-timeout 0"), "TIMED_OUT");
    assert!(rig.workers[0].has_no_request());
}

#[test]
fn a_closed_client_connection_cancels_no_job_and_loses_no_answer() {
    let rig = start(1);
    let mut first = client(&rig);
    let id = put(&mut first, "statements", 0);
    drop(first);
    let reference = rig.workers[0].accept_job();
    rig.send_job_update(0, &reference, "done", DONE);
    let mut second = client(&rig);
    second.command("watch done");
    let answer = second.reserve();
    assert_eq!(answer.1, format!("{id} served 0.000\na page"));
    let mut third = client(&rig);
    assert_eq!(
        third.command(&format!("delete {}", answer.0)),
        "NOT_FOUND",
        "another connection has reserved it"
    );
    drop(second);
    assert_eq!(fetch(&mut third), answer.1);
    // An incomplete put creates no job.
    let mut fourth = client(&rig);
    assert_eq!(fourth.command("use statements"), "USING statements");
    fourth.write(b"put 0 0 60 7\r\npay");
    drop(fourth);
    put(&mut third, "statements", 0);
    rig.workers[0].accept_job();
    assert!(rig.workers[0].has_no_request());
}

#[test]
fn a_delayed_job_starts_later_and_can_be_deleted_before() {
    let rig = start(1);
    let mut client = client(&rig);
    let start = Instant::now();
    let never = put(&mut client, "statements", 1);
    put(&mut client, "statements", 1);
    assert_eq!(client.command(&format!("delete {never}")), "DELETED");
    rig.workers[0].accept_job();
    assert!(start.elapsed() > Duration::from_millis(900));
}

#[test]
fn an_answer_behaves_as_a_job() {
    let rig = start(1);
    let mut client = client(&rig);
    put(&mut client, "statements", 0);
    let reference = rig.workers[0].accept_job();
    rig.send_job_update(0, &reference, "done", DONE);
    client.command("watch done");
    client.command("use done");
    let (id, body) = client.reserve();
    for (line, reply) in [
        (format!("touch {id}"), "TOUCHED".to_string()),
        (format!("release {id} 5 0"), "RELEASED".into()),
        (format!("release {id} 5 0"), "NOT_FOUND".into()),
        (format!("reserve-job {id}"), format!("RESERVED {id} {}", body.len())),
        (body.clone(), String::new()),
    ] {
        // The body of the reserved job is read separately.
        if line != body {
            assert_eq!(client.command(&line), reply);
            continue;
        }
        assert_eq!(client.read_text(body.len() + 2), format!("{body}\r\n"));
    }
    assert_eq!(client.command(&format!("bury {id} 5")), "BURIED");
    assert_eq!(client.command("peek-buried"), format!("FOUND {id} {}", body.len()));
    assert_eq!(client.read_text(body.len() + 2), format!("{body}\r\n"));
    assert_eq!(client.command("kick 5"), "KICKED 1");
    assert_eq!(client.command("pause-tube done 60"), "PAUSED");
    assert_eq!(client.command("reserve-with-timeout 0"), "TIMED_OUT");
    assert_eq!(client.command("pause-tube done 0"), "PAUSED");
    assert_eq!(fetch(&mut client), body);
    assert_eq!(
        client.command("put 0 0 60 1\r\nx"),
        "NOT_FOUND",
        "clients can't put into the tube of answers"
    );
}

#[test]
fn limits_on_jobs_and_connections_are_enforced_and_reported() {
    let rig =
        Rig::with_settings(1, SETTINGS, Some(&operator_config(r#""max_jobs": 2, "max_connections": 2,"#)));
    let (mut first, mut second) = (client(&rig), client(&rig));
    let _ids = [put(&mut first, "statements", 0), put(&mut first, "statements", 0)];
    assert_eq!(second.command("use statements"), "USING statements");
    assert_eq!(second.command("put 0 0 60 1\r\nx"), "OUT_OF_MEMORY");
    (0..2).for_each(|_| rig.send_job_update(0, &rig.workers[0].accept_job(), "done", DONE));
    for client in [&mut first, &mut second] {
        assert_eq!(client.command("watch done"), "WATCHING 2");
        let (id, _) = client.reserve();
        assert!(id > 0);
    }
    assert!(
        client(&rig).is_closed_by_peer(),
        "a third connection is closed: connections with a reserved job are not evicted"
    );
    assert_eq!(second.command("list-tube-used"), "USING statements");
}

/// Connections that stay open and send nothing, or half a command, must not keep other clients out.
#[rstest]
#[case::nothing("")]
#[case::half_a_line("put 0 0 6")]
#[case::half_a_body("put 0 0 60 5\r\nhe")]
fn idle_and_slow_connections_are_evicted(#[case] part: &str) {
    let rig = Rig::with_settings(1, SETTINGS, Some(&operator_config(r#""max_connections": 2,"#)));
    let mut crowd = [client(&rig), client(&rig)];
    crowd.iter_mut().for_each(|c| c.write(part.as_bytes()));
    if !part.is_empty() {
        assert!(crowd.iter_mut().all(|c| c.is_closed_by_peer()));
    }
    put(&mut client(&rig), "statements", 0);
    assert!(crowd[0].is_closed_by_peer());
}

#[test]
fn after_sigterm_no_job_is_accepted_and_answers_can_be_fetched() {
    let mut rig = start(1);
    let mut client = client(&rig);
    let id = put(&mut client, "statements", 0);
    let reference = rig.workers[0].accept_job();
    rig.terminate();
    rig.wait_for_log("SIGTERM");
    assert_eq!(client.command("put 0 0 60 1\r\nx"), "DRAINING");
    rig.send_job_update(0, &reference, "done", DONE);
    assert_eq!(fetch(&mut client), format!("{id} served 0.000\na page"));
    assert!(rig.wait_for_exit().success());
}

/// Guards against losing an accepted job whose delay has not ended at SIGTERM (`review/2`): only a sleeping task knew of it, so
/// the shutdown counted nothing that was owed, and the process exited. The client that put the job has disconnected.
#[rstest]
#[case::ends_before_the_process(3)]
#[case::ends_after_the_process(12)]
fn a_job_whose_delay_outlasts_acceptance_is_refused_before_the_earliest_kill(#[case] delay: u32) {
    let mut rig = start(1);
    let mut first = client(&rig);
    let id = put(&mut first, "statements", delay);
    let deleted = put(&mut first, "statements", delay);
    assert_eq!(first.command(&format!("delete {deleted}")), "DELETED");
    drop(first);
    let terminated_at = Instant::now();
    rig.terminate();
    rig.wait_for_log("SIGTERM: stopping");
    let mut second = client(&rig);
    let answer = fetch(&mut second);
    assert!(terminated_at.elapsed() < EARLIEST_KILL, "{:?}", terminated_at.elapsed());
    assert!(answer.starts_with(&format!("{id} refused ")), "{answer}");
    assert_eq!(second.command("reserve-with-timeout 0"), "TIMED_OUT", "there is one answer, to one job");
    assert!(rig.wait_for_exit().success());
    assert!(rig.workers[0].has_no_request());
}

/// A delay that ends after acceptance, and a budget that is over before the last answers are due: nothing is cut short.
#[test]
fn a_delayed_job_that_can_be_finished_begins_after_sigterm() {
    let mut rig = start(1);
    let mut client = client(&rig);
    let id = put(&mut client, "orders", 2);
    rig.terminate();
    let reference = rig.workers[0].accept_job();
    rig.send_job_update(0, &reference, "done", DONE);
    let answer = fetch(&mut client);
    assert!(answer.starts_with(&format!("{id} ")) && !answer.contains("refused"), "{answer}");
    assert!(rig.wait_for_exit().success());
}

/// A job in its delay takes no place from others, and has none for certain when it begins.
#[test]
fn a_job_that_finds_no_room_at_the_end_of_its_delay_is_refused() {
    let settings = SETTINGS.replace(r#""most_held": 50"#, r#""most_held": 1"#);
    let rig = Rig::with_settings(1, &settings, Some(&operator_config("")));
    let mut client = client(&rig);
    let id = put(&mut client, "statements", 1);
    let _in_work = rig.post("c1", "quote", "");
    rig.workers[0].accept_job();
    assert_eq!(fetch(&mut client), format!("{id} refused 1.000\n"));
    assert!(rig.workers[0].has_no_request());
}

/// The end of the delay and SIGTERM are both pending when the process resumes: the job is executed, in either order.
#[test]
fn a_job_whose_delay_ends_as_the_process_stops_is_served() {
    let mut rig = start(1);
    let mut client = client(&rig);
    let id = put(&mut client, "statements", 1);
    rig.pause();
    std::thread::sleep(Duration::from_millis(1100));
    rig.terminate();
    rig.resume();
    let reference = rig.workers[0].accept_job();
    rig.send_job_update(0, &reference, "done", DONE);
    assert_eq!(fetch(&mut client), format!("{id} served 0.000\na page"));
    assert!(rig.wait_for_exit().success());
}

#[rstest]
#[case(r#"{"beanstalkd": {"listen": "127.0.0.1:0", "tubes": []}}"#, "beanstalkd.tubes")]
#[case(r#"{"beanstalkd": {"listen": "here", "tubes": []}}"#, "beanstalkd.listen")]
#[case(r#"{"workers": [{"kind": "q", "work_tube": "-"}]}"#, "workers[0].work_tube")]
#[case(r#"{"routes": [{"path": "/x", "class": "unheard"}]}"#, "routes[0].class")]
#[case(r#"{"classes": [{"name": "x", "kind": 7}]}"#, "classes[0].kind")]
#[case(r#"{"hots": []}"#, "hots")]
fn an_invalid_operators_file_names_its_key(#[case] operator: &str, #[case] key: &str) {
    let dir = common::create_temp_dir();
    let config = format!(r#"{{"listen":"127.0.0.1:0","discovery":"127.0.0.1:9","settings":{SETTINGS}}}"#);
    std::fs::write(dir.join("config.json"), config).expect("a file");
    std::fs::write(dir.join("operator.json"), operator).expect("a file");
    let mut command = common::program();
    command.env("GW_CONFIG", dir.join("config.json")).arg("--operator").arg(dir.join("operator.json"));
    let out = command.output().expect("it runs");
    let words = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(!out.status.success() && words.contains(key), "{words}");
}

const QUEUES: &str = r#"{"workers": [{"kind": "m"}]}"#;

/// Starts the program with beanstalkd servers as workers.
fn queues(count: usize, operator: &str) -> (Vec<Server>, Rig) {
    let servers: Vec<Server> = (0..count).map(|_| Server::start()).collect();
    let listed = servers.iter().enumerate().map(|(i, s)| (format!("q{i}"), s.addr)).collect();
    let rig = Rig::with_worker_addrs(listed, SETTINGS, Some(operator));
    (servers, rig)
}

#[rstest]
#[case::as_usual(false)]
#[case::the_answer_is_there_before_the_put_is_answered(true)]
fn a_job_goes_through_a_worker_that_speaks_beanstalkd(#[case] early: bool) {
    let (servers, rig) = queues(1, QUEUES);
    if early {
        servers[0].delay_put_replies();
    }
    let mut client = rig.post("c1", "statement", "Idempotency-Key: k1\r\n");
    let job = servers[0].reserve_job();
    assert_eq!((&*job.reference, &*job.key, &*job.body), ("c1", "k1", "payload"));
    servers[0].report(&job, "started", "");
    servers[0].report(&job, "served", "a page");
    let answer = client.read_response();
    assert_eq!((answer.status(), &*answer.body), (200, "a page"));
}

#[rstest]
#[case("refused", "order", true)]
#[case("failed", "statement", true)]
#[case("failed", "order", false)]
fn a_workers_answer_is_repeated_only_as_its_class_permits(
    #[case] word: &str,
    #[case] class: &str,
    #[case] again: bool,
) {
    let (servers, rig) = queues(1, QUEUES);
    let mut client = rig.post("c1", class, "");
    servers[0].report(&servers[0].reserve_job(), word, "");
    if again {
        servers[0].report(&servers[0].reserve_job(), "served", "a page");
    }
    assert_eq!(client.read_response().status(), if again { 200 } else { 504 });
}

/// The response must precede the client's deadline; once in CI it came 15 ms after it. The program responds 25 ms before the
/// deadline, but reads the request late on a busy machine: with 30 concurrent runs of this file, 14 of 90 failed, in each of
/// which the request was read 34 to 135 ms after the client's write and counted as just arrived; each response was sent within
/// 2 ms of its due time. Stalls used to be detected from 150 ms on, and are now from 15 ms on (`arrival.rs`).
#[test]
fn a_job_past_its_deadline_is_taken_back() {
    let (servers, rig) = queues(1, QUEUES);
    let start = Instant::now();
    let mut client = rig.post("c1", "order", "X-Budget-Ms: 400\r\n");
    servers[0].wait_for_job_count(1);
    assert_eq!(client.read_response().status(), 504);
    assert!(start.elapsed() < Duration::from_millis(400), "{:?}", start.elapsed());
    servers[0].wait_for_job_count(0);
}

/// A job of a class that must never run twice is sent to another worker only because it was provably withdrawn unstarted.
#[test]
fn a_ready_job_on_a_draining_worker_is_withdrawn_and_sent_to_another() {
    let (servers, rig) = queues(2, QUEUES);
    let mut clients: Vec<_> = (0..2).map(|i| rig.post(&format!("c{i}"), "order", "")).collect();
    servers[0].wait_for_job_count(1);
    let begun = servers[1].reserve_job();
    servers[1].report(&begun, "started", "");
    let told = Instant::now();
    rig.list(&["draining", "up"]);
    servers[0].wait_for_job_count(0);
    servers[1].wait_for_job_count(2);
    assert!(told.elapsed() < Duration::from_millis(750), "{:?}", told.elapsed());
    for job in [begun, servers[1].reserve_job()] {
        servers[1].report(&job, "served", "a page");
    }
    assert!(clients.iter_mut().all(|c| c.read_response().status() == 200));
}

/// A job is reserved on a worker that then drains: its result is awaited, and it is not sent a second time.
#[test]
fn a_reserved_job_on_a_draining_worker_is_awaited_and_not_duplicated() {
    let operator = operator_config("").replace(r#""kind": "q""#, r#""kind": "m""#);
    let (servers, rig) = queues(2, &operator);
    let mut client = client(&rig);
    let mut puts = [put(&mut client, "statements", 0), put(&mut client, "statements", 0)];
    let (first, second) = (servers[0].reserve_job(), servers[1].reserve_job());
    rig.list(&["draining", "up"]);
    // Once the second job is answered and a third has been served, the drain has been processed.
    servers[1].report(&second, "served", "second");
    let third = put(&mut client, "statements", 0);
    servers[1].report(&servers[1].reserve_job(), "served", "third");
    let mut answers = vec![fetch(&mut client), fetch(&mut client)];
    servers[1].wait_for_job_count(0);
    servers[0].wait_for_job_count(1);
    servers[0].report(&first, "served", "first");
    answers.push(fetch(&mut client));
    puts.sort_unstable();
    let served = |id: u64| answers.iter().filter(|a| a.starts_with(&format!("{id} served "))).count();
    assert!(puts.iter().chain([&third]).all(|id| served(*id) == 1), "{answers:?}");
    assert!(answers[2].ends_with("first"));
}

#[test]
fn a_job_deleted_twice_is_withdrawn_once_from_a_queue() {
    let operator = operator_config("").replace(r#""kind": "q""#, r#""kind": "m""#);
    let (servers, rig) = queues(1, &operator);
    let mut client = client(&rig);
    let id = put(&mut client, "statements", 0);
    servers[0].wait_for_job_count(1);
    assert_eq!(client.command(&format!("delete {id}")), "DELETED");
    assert_eq!(client.command(&format!("delete {id}")), "NOT_FOUND");
    servers[0].wait_for_job_count(0);
    client.command("watch done");
    assert_eq!(client.command("reserve-with-timeout 0"), "TIMED_OUT");
}

#[test]
fn repeatable_jobs_on_a_crashed_server_are_sent_to_another() {
    let (servers, rig) = queues(2, QUEUES);
    let mut safe: Vec<_> = (0..2).map(|i| rig.post(&format!("c{i}"), "quote", "")).collect();
    let (lost, kept) = (servers[0].reserve_job(), servers[1].reserve_job());
    servers[1].report(&kept, "started", "");
    servers[0].shut_down();
    let again = servers[1].reserve_job();
    assert_eq!(again.reference, lost.reference);
    servers[1].report(&again, "served", "again");
    servers[1].report(&kept, "served", "kept");
    assert!(safe.iter_mut().all(|c| c.read_response().status() == 200));
}

#[test]
fn a_cut_connection_to_a_server_loses_no_answer() {
    let (servers, rig) = queues(1, QUEUES);
    let mut client = rig.post("c1", "order", "");
    let job = servers[0].reserve_job();
    servers[0].report(&job, "started", "");
    // Puts are sent one after the other: once the second has arrived, the first is known to have been stored.
    let _second = rig.post("c2", "quote", "");
    assert_eq!(servers[0].reserve_job().reference, "c2");
    servers[0].close_connections();
    servers[0].report(&job, "served", "a page");
    assert_eq!(client.read_response().body, "a page");
}
