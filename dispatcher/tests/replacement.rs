//! Two processes of one dispatcher: both serve while the process is replaced, and act as one towards clients, workers and
//! operators. A command acknowledged by either process is in force in both.

mod common;

use common::replacement::{Dispatcher, Process, WorkerBehaviour, Workers};
use common::{BlockedListener, Client, Rig, Setup, SETTINGS};
use std::io::Read;
use std::thread;
use std::time::{Duration, Instant};

/// Delay with which a simulated worker may read what was written before a reply to the operator.
const WORKER_READ_DELAY: Duration = Duration::from_millis(200);
/// How long the workers are observed after a reply.
const OBSERVATION_TIME: Duration = Duration::from_millis(1500);

/// Jobs are sent at once to known workers; time limit for that on a busy machine.
const JOBS_SENT_WITHIN: Duration = Duration::from_secs(4);

/// Settings with so many attempts that jobs keep being resent while workers reject them.
fn many_attempts_settings() -> String {
    SETTINGS.replace(r#""max_attempts": 3"#, r#""max_attempts": 1000"#)
}

/// Settings under which workers do not report the start of a job: jobs are sent as they arrive.
fn settings_without_start_reports() -> String {
    SETTINGS.replace(r#", "tells_start": true"#, "")
}

/// Jobs that wait at a process: its workers reject each one, and it is sent again.
fn waiting_jobs(to: &Process, workers: &Workers, count: usize) -> Vec<Client> {
    let before = workers.count();
    let jobs = (0..count)
        .map(|job| to.rig.post(&format!("waits-{}-{job}", to.rig.pid()), "quote", "X-Budget-Ms: 6000\r\n"));
    let jobs = jobs.collect();
    // A worker that rejects jobs is retried every half second.
    common::wait_until("the jobs are resent", || workers.count() > before + 2);
    jobs
}

/// Checks that `w0` receives no new attempt while the other worker receives attempts all the time.
fn check_nothing_sent_to_w0(dispatcher: &Dispatcher, since: Instant, case: &str) -> Result<(), String> {
    thread::sleep(OBSERVATION_TIME);
    let others = dispatcher.workers.since("w1", since + WORKER_READ_DELAY);
    assert!(!others.is_empty(), "{case}: no attempt was sent to any worker");
    match dispatcher.workers.since("w0", since + WORKER_READ_DELAY).as_slice() {
        [] => Ok(()),
        [.., last] => Err(format!("{case}: an attempt {:?} after the acknowledgement", last.at - since)),
    }
}

#[test]
fn a_cordon_binds_each_process_of_the_dispatcher() {
    let cases = [
        answered_by_the_new_process,
        answered_by_the_old_process,
        answered_while_the_new_process_starts,
        answered_while_a_connection_is_established,
    ];
    let broken: Vec<String> = cases.iter().filter_map(|case| case().err()).collect();
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Jobs wait at the old process, which has received SIGTERM, and the new process replies to the operator. This order caused an
/// incident.
fn answered_by_the_new_process() -> Result<(), String> {
    let dispatcher = Dispatcher::with_settings(2, WorkerBehaviour::Rejects, &many_attempts_settings());
    let old = dispatcher.start();
    let _jobs = waiting_jobs(&old, &dispatcher.workers, 12);
    let new = dispatcher.start();
    old.rig.terminate();
    old.rig.wait_for_log("SIGTERM");
    assert!(new.console_command("cordon w0").starts_with("OK"));
    check_nothing_sent_to_w0(&dispatcher, Instant::now(), "answered by the new process")
}

/// The old process replies to the operator after the new one has become ready.
fn answered_by_the_old_process() -> Result<(), String> {
    let dispatcher = Dispatcher::with_settings(2, WorkerBehaviour::Rejects, &many_attempts_settings());
    let old = dispatcher.start();
    let new = dispatcher.start();
    // The jobs belong to one dispatcher, whichever process accepts them.
    let _jobs = waiting_jobs(&new, &dispatcher.workers, 16);
    assert!(old.console_command("cordon w0").starts_with("OK"));
    let since = Instant::now();
    old.rig.terminate();
    check_nothing_sent_to_w0(&dispatcher, since, "answered by the old process")
}

/// The old process replies after the new one has read the stored overrides and before it serves.
fn answered_while_the_new_process_starts() -> Result<(), String> {
    let dispatcher = Dispatcher::with_settings(2, WorkerBehaviour::Rejects, &many_attempts_settings());
    let old = dispatcher.start();
    let asked = |pid| {
        common::wait_until("the process is suspended", || common::process_state(pid) == Some('T'));
        assert!(old.console_command("cordon w0").starts_with("OK"));
        common::signal(pid, "-CONT");
    };
    let setup = Setup { stops: "start.listen:1:stop", on_start: Some(&asked), ..Setup::default() };
    let new = dispatcher.start_with(setup);
    let since = Instant::now();
    new.wait_until_ready();
    old.rig.terminate();
    let _jobs = waiting_jobs(&new, &dispatcher.workers, 16);
    check_nothing_sent_to_w0(&dispatcher, since, "answered while the new process starts")
}

/// An `uncordon` at either process makes the worker available in both, shown with more concurrent jobs than the other worker
/// would receive alone.
#[test]
fn an_uncordon_at_either_process_applies_to_both() {
    let dispatcher = Dispatcher::with_settings(2, WorkerBehaviour::Serves, &settings_without_start_reports());
    let old = dispatcher.start();
    let new = dispatcher.start();
    for (cordoned_at, called_back_at) in [(&old, &new), (&new, &old)] {
        assert!(cordoned_at.console_command("cordon w0").starts_with("OK"));
        assert!(called_back_at.console_command("uncordon w0").starts_with("OK uncordoned"));
        // Both processes accept these jobs.
        wait_until_used_again(&dispatcher, "w0");
    }
    old.rig.terminate();
    old.rig.wait_for_log("left to another process");
    wait_until_used_again(&dispatcher, "w0");
}

/// Sends concurrent jobs, so that each worker gets a share, until this worker receives one.
fn wait_until_used_again(dispatcher: &Dispatcher, worker: &str) {
    let since = Instant::now();
    common::wait_until("the worker receives jobs again", || {
        let mut clients: Vec<Client> = (0..8).map(|_| Client::new(dispatcher.addr())).collect();
        for (number, client) in clients.iter_mut().enumerate() {
            let name = format!("{worker}-{}-{number}", since.elapsed().as_nanos());
            client.post(&name, "quote", "X-Budget-Ms: 2000\r\n");
        }
        clients.iter_mut().for_each(|client| assert!([200, 503].contains(&client.read_response().status())));
        !dispatcher.workers.since(worker, since).is_empty()
    });
}

/// A single process: the attempt is decided before the reply, and its connection is established after it.
fn answered_while_a_connection_is_established() -> Result<(), String> {
    let mut closed = BlockedListener::start();
    let console = common::unused_address();
    let settings = SETTINGS.replace(r#""connect_timeout_ms": 1000"#, r#""connect_timeout_ms": 6000"#);
    let more = format!(r#""admin_addr": "{console}", "name": "late{}","#, std::process::id());
    let temp_dir = common::create_temp_dir();
    let environment = vec![("TMPDIR".into(), temp_dir.to_str().expect("letters").to_owned())];
    let setup = Setup { extra_config: more, environment, ..Setup::default() };
    let rig = Rig::set_up(vec![("w0".into(), closed.addr)], &settings, setup);
    let process = Process { rig, console };
    process.wait_until_ready();
    let _client = process.rig.post("c1", "order", "");
    common::wait_until("the worker is connected to", || closed.pending_connections() > 0);
    assert!(process.console_command("cordon w0").starts_with("OK"));
    let mut stream = closed.accept_next();
    stream.set_read_timeout(Some(OBSERVATION_TIME)).expect("a time-out");
    match stream.read(&mut [0]) {
        Ok(1) => {
            Err("answered while a connection is established: a first byte after the acknowledgement".into())
        }
        _ => Ok(()),
    }
}

/// A job that has been sent to a worker, and its client.
struct SentJob {
    client: Client,
    reference: String,
    worker: String,
}

/// Sends jobs that hang at the workers.
fn send_jobs(dispatcher: &Dispatcher, name: &str, count: usize) -> Result<Vec<SentJob>, String> {
    let since = Instant::now();
    let references: Vec<String> = (0..count).map(|job| format!("{name}-{job}")).collect();
    let post = |reference: &String| {
        let mut client = Client::new(dispatcher.addr());
        client.post(reference, "order", "X-Budget-Ms: 7000\r\n");
        client
    };
    let clients: Vec<Client> = references.iter().map(post).collect();
    let came = || {
        let of = |worker| dispatcher.workers.since(worker, since);
        ["w0", "w1"].into_iter().flat_map(of).collect::<Vec<_>>()
    };
    while came().len() < count {
        if since.elapsed() > JOBS_SENT_WITHIN {
            return Err(format!("{name}: {} of {count} jobs have been sent", came().len()));
        }
        thread::sleep(Duration::from_millis(5));
    }
    let came = came();
    let job = |(client, reference): (Client, String)| {
        let arrival = came.iter().find(|arrival| arrival.reference == reference);
        let worker = arrival.expect("the job has been sent").worker.clone();
        SentJob { client, reference, worker }
    };
    Ok(clients.into_iter().zip(references).map(job).collect())
}

/// The workers report all jobs as done, each update on a new connection; every client must receive its result.
fn report_all_done(dispatcher: &Dispatcher, jobs: Vec<SentJob>, case: &str) -> Result<(), String> {
    let addr = dispatcher.addr();
    let call = |job: &SentJob| {
        let (reference, worker) = (job.reference.clone(), job.worker.clone());
        thread::spawn(move || common::replacement::report_done(addr, &reference, &worker))
    };
    let calls: Vec<_> = jobs.iter().map(call).collect();
    let heard: Vec<Option<usize>> = calls.into_iter().map(|call| call.join().expect("a call")).collect();
    let statuses: Vec<u16> = jobs.into_iter().map(|mut job| job.client.read_response().status()).collect();
    match statuses.iter().all(|status| *status == 200) {
        true => Ok(()),
        false => {
            Err(format!("{case}: statuses {statuses:?}, calls until each update was accepted {heard:?}"))
        }
    }
}

/// Workers send status updates to the address on which both processes accept: an update reaches the process that has the job,
/// or is refused so that the worker repeats it.
#[test]
fn a_job_status_update_reaches_the_process_that_has_the_job() {
    let cases = [updates_after_sigterm, updates_while_both_serve, updates_while_the_old_process_is_suspended];
    let broken: Vec<String> = cases.iter().filter_map(|case| case().err()).collect();
    assert!(broken.is_empty(), "{broken:#?}");
}

fn updates_after_sigterm() -> Result<(), String> {
    let dispatcher = Dispatcher::with_settings(2, WorkerBehaviour::Hangs, &settings_without_start_reports());
    let old = dispatcher.start();
    let jobs = send_jobs(&dispatcher, "before", 16)?;
    let _new = dispatcher.start();
    old.rig.terminate();
    old.rig.wait_for_log("SIGTERM");
    report_all_done(&dispatcher, jobs, "after SIGTERM")
}

/// Jobs and status updates are accepted by either process.
fn updates_while_both_serve() -> Result<(), String> {
    let dispatcher = Dispatcher::with_settings(2, WorkerBehaviour::Hangs, &settings_without_start_reports());
    let _old = dispatcher.start();
    let mut jobs = send_jobs(&dispatcher, "before", 8)?;
    let _new = dispatcher.start();
    jobs.extend(send_jobs(&dispatcher, "both", 16)?);
    report_all_done(&dispatcher, jobs, "while both serve")
}

/// An update that cannot be delivered now must be repeated.
fn updates_while_the_old_process_is_suspended() -> Result<(), String> {
    let dispatcher = Dispatcher::with_settings(2, WorkerBehaviour::Hangs, &settings_without_start_reports());
    let old = dispatcher.start();
    let jobs = send_jobs(&dispatcher, "before", 8)?;
    let _new = dispatcher.start();
    old.rig.terminate();
    old.rig.wait_for_log("SIGTERM");
    old.rig.pause();
    let goes_on = old.rig.pid();
    let thaw = thread::spawn(move || {
        thread::sleep(Duration::from_millis(600));
        common::signal(goes_on, "-CONT");
    });
    let served = report_all_done(&dispatcher, jobs, "while the old process is suspended");
    thaw.join().expect("the process is resumed");
    served
}

/// SIGKILL may follow SIGTERM after the longest deadline, counted as at most this long, plus the grace period.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
const KILL_GRACE: Duration = Duration::from_millis(700);
/// A request sent less than this before SIGKILL need not be answered.
const IN_FLIGHT_AT_KILL: Duration = Duration::from_millis(100);

/// SIGKILL at the earliest possible time while workers hang: by then every request has been answered, or its connection closed
/// without the request having been read.
#[test]
fn everybody_has_an_answer_before_the_earliest_kill() {
    let cases = [(400, 400), (5000, 15_000), (1200, 2500)];
    let broken: Vec<String> =
        cases.iter().filter_map(|(short, long)| kill_at_the_earliest(*short, *long).err()).collect();
    assert!(broken.is_empty(), "{broken:#?}");
}

/// The outcome of a client's requests on one connection, up to SIGKILL.
#[derive(Debug, Default)]
struct ClientOutcome {
    answers: Vec<(Duration, u16)>,
    /// When the request without a response was sent.
    unanswered: Option<Instant>,
}

/// Sends one request after the other on a connection until it ends.
fn send_until_closed(mut client: Client, name: String, class: &str, budget: u64) -> ClientOutcome {
    let mut heard = ClientOutcome::default();
    for request in 0.. {
        let sent = Instant::now();
        client.post(&format!("{name}-{request}"), class, &format!("X-Budget-Ms: {budget}\r\n"));
        let Some(answer) = client.try_read_response() else {
            heard.unanswered = Some(sent);
            return heard;
        };
        heard.answers.push((sent.elapsed(), answer.status()));
        if answer.headers.get("connection").is_some_and(|value| value == "close") {
            return heard;
        }
        thread::sleep(Duration::from_millis(20));
    }
    heard
}

fn kill_at_the_earliest(short: u64, long: u64) -> Result<(), String> {
    let settings = settings_without_start_reports()
        .replacen(r#""deadline_ms": 8000"#, &format!(r#""deadline_ms": {short}"#), 1)
        .replace(r#""deadline_ms": 8000"#, &format!(r#""deadline_ms": {long}"#))
        .replace(r#""aim_ms": 500"#, &format!(r#""aim_ms": {}"#, short.min(500)));
    let dispatcher = Dispatcher::with_settings(2, WorkerBehaviour::Hangs, &settings);
    let old = dispatcher.start();
    let addr = dispatcher.addr();
    // All clients are connected to the old process. Some send before SIGTERM, others while requests are still accepted after it.
    let connected: Vec<Client> = (0..16).map(|_| Client::new(addr)).collect();
    let clients: Vec<_> = (0..16)
        .zip(connected)
        .map(|(number, client)| {
            let (class, budget) = if number % 2 == 0 { ("quote", short) } else { ("order", long) };
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(50 * number));
                send_until_closed(client, format!("goes-on-{number}"), class, budget)
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(300));
    let _new = dispatcher.start();
    old.rig.terminate();
    let kill_at =
        Instant::now() + Duration::from_millis(long.max(short)).min(MAX_COUNTED_DEADLINE) + KILL_GRACE;
    thread::sleep(kill_at.saturating_duration_since(Instant::now()));
    let _ = std::process::Command::new("kill").args(["-KILL", &old.rig.pid().to_string()]).status();
    let killed = Instant::now();
    let heard: Vec<ClientOutcome> =
        clients.into_iter().map(|client| client.join().expect("a client")).collect();
    let unanswered =
        |heard: &&ClientOutcome| heard.unanswered.is_some_and(|sent| sent + IN_FLIGHT_AT_KILL < killed);
    let without: Vec<Duration> = heard
        .iter()
        .filter(unanswered)
        .filter_map(|heard| heard.unanswered)
        .map(|sent| killed - sent)
        .collect();
    match without.is_empty() {
        true => Ok(()),
        false => Err(format!(
            "deadlines {short} and {long} ms: no response to requests sent {without:?} before SIGKILL"
        )),
    }
}
