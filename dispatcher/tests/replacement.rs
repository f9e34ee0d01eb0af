//! Two processes of one dispatcher: while the process is replaced both serve, and to clients, workers and operators they are
//! one. What an operator was told by either holds in both.

mod common;

use common::replacement::{Conduct, Dispatcher, Process, Workers};
use common::{Client, Closed, Rig, Setup, SETTINGS};
use std::io::Read;
use std::thread;
use std::time::{Duration, Instant};

/// What was written before an answer is read by the worker's thread so much later.
const STAND_IN_LATE: Duration = Duration::from_millis(200);
/// How long the workers are watched behind an answer.
const WATCHED: Duration = Duration::from_millis(1500);

/// Jobs are out at once where workers are told of: in so long on a busy machine.
const ALL_OUT_WITHIN: Duration = Duration::from_secs(4);

/// Settings with so many attempts that jobs go round while workers turn them away.
fn patient_settings() -> String {
    SETTINGS.replace(r#""max_attempts": 3"#, r#""max_attempts": 1000"#)
}

/// Settings under which workers tell no starts: jobs go out as they come.
fn silent_settings() -> String {
    SETTINGS.replace(r#", "tells_start": true"#, "")
}

/// Jobs that wait at a process: its workers turn each one away, and it is sent again.
fn waiting_jobs(to: &Process, workers: &Workers, count: usize) -> Vec<Client> {
    let before = workers.count();
    let jobs = (0..count)
        .map(|job| to.rig.post(&format!("waits-{}-{job}", to.rig.pid()), "quote", "X-Budget-Ms: 6000\r\n"));
    let jobs = jobs.collect();
    // Each worker is tried anew every half second while it turns jobs away.
    common::wait_until("the jobs go round", || workers.count() > before + 2);
    jobs
}

/// Nothing new comes to `w0` although the other worker is offered jobs all the time.
fn sends_nothing_to_w0(dispatcher: &Dispatcher, since: Instant, case: &str) -> Result<(), String> {
    thread::sleep(WATCHED);
    let others = dispatcher.workers.since("w1", since + STAND_IN_LATE);
    assert!(!others.is_empty(), "{case}: nothing was sent to anybody");
    match dispatcher.workers.since("w0", since + STAND_IN_LATE).as_slice() {
        [] => Ok(()),
        [.., last] => Err(format!("{case}: an attempt {:?} behind the yes", last.at - since)),
    }
}

#[test]
fn a_cordon_binds_each_process_of_the_dispatcher() {
    let cases = [
        answered_by_the_new_process,
        answered_by_the_old_process,
        answered_while_the_new_process_starts,
        answered_while_a_connection_comes_up,
    ];
    let broken: Vec<String> = cases.iter().filter_map(|case| case().err()).collect();
    assert!(broken.is_empty(), "{broken:#?}");
}

/// The incident: jobs wait at the old process, which is told to end, and the new one answers the operator.
fn answered_by_the_new_process() -> Result<(), String> {
    let dispatcher = Dispatcher::with_settings(2, Conduct::TurnsAway, &patient_settings());
    let old = dispatcher.start();
    let _jobs = waiting_jobs(&old, &dispatcher.workers, 12);
    let new = dispatcher.start();
    old.rig.terminate();
    old.rig.logged("SIGTERM");
    assert!(new.operator("cordon w0").starts_with("OK"));
    sends_nothing_to_w0(&dispatcher, Instant::now(), "answered by the new process")
}

/// The other way round: the old one answers, behind the new one's yes.
fn answered_by_the_old_process() -> Result<(), String> {
    let dispatcher = Dispatcher::with_settings(2, Conduct::TurnsAway, &patient_settings());
    let old = dispatcher.start();
    let new = dispatcher.start();
    // Whoever accepts, the jobs are one dispatcher's.
    let _jobs = waiting_jobs(&new, &dispatcher.workers, 16);
    assert!(old.operator("cordon w0").starts_with("OK"));
    let since = Instant::now();
    old.rig.terminate();
    sends_nothing_to_w0(&dispatcher, since, "answered by the old process")
}

/// The old one answers while the new one has read what was kept and serves nobody yet.
fn answered_while_the_new_process_starts() -> Result<(), String> {
    let dispatcher = Dispatcher::with_settings(2, Conduct::TurnsAway, &patient_settings());
    let old = dispatcher.start();
    let asked = |pid| {
        common::wait_until("it stands still", || common::process_state(pid) == Some('T'));
        assert!(old.operator("cordon w0").starts_with("OK"));
        common::signal(pid, "-CONT");
    };
    let setup = Setup { stops: "start.listen:1:stop", on_start: Some(&asked), ..Setup::default() };
    let new = dispatcher.start_with(setup);
    let since = Instant::now();
    new.is_ready();
    old.rig.terminate();
    let _jobs = waiting_jobs(&new, &dispatcher.workers, 16);
    sends_nothing_to_w0(&dispatcher, since, "answered while the new process starts")
}

/// One process: the attempt was decided before the answer, and its connection comes up behind it.
fn answered_while_a_connection_comes_up() -> Result<(), String> {
    let mut closed = Closed::start();
    let console = common::replacement::free_port();
    let settings = SETTINGS.replace(r#""connect_timeout_ms": 1000"#, r#""connect_timeout_ms": 6000"#);
    let more = format!(r#""admin_addr": "{console}", "name": "late{}","#, std::process::id());
    let temporary = common::folder();
    let environment = vec![("TMPDIR".into(), temporary.to_str().expect("letters").to_owned())];
    let setup = Setup { more, environment, ..Setup::default() };
    let rig = Rig::set_up(vec![("w0".into(), closed.addr)], &settings, setup);
    let process = Process { rig, console };
    process.is_ready();
    let _client = process.rig.post("c1", "order", "");
    common::wait_until("the worker is connected to", || closed.coming() > 0);
    assert!(process.operator("cordon w0").starts_with("OK"));
    let mut stream = closed.let_in();
    stream.set_read_timeout(Some(WATCHED)).expect("a time-out");
    match stream.read(&mut [0]) {
        Ok(1) => Err("answered while a connection comes up: a first byte behind the yes".into()),
        _ => Ok(()),
    }
}

/// A job that is out, and its client.
struct JobOut {
    client: Client,
    reference: String,
    worker: String,
}

/// Jobs that hang at the workers.
fn jobs_out(dispatcher: &Dispatcher, name: &str, count: usize) -> Result<Vec<JobOut>, String> {
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
        if since.elapsed() > ALL_OUT_WITHIN {
            return Err(format!("{name}: {} of {count} jobs are out", came().len()));
        }
        thread::sleep(Duration::from_millis(5));
    }
    let came = came();
    let job = |(client, reference): (Client, String)| {
        let arrival = came.iter().find(|arrival| arrival.reference == reference);
        let worker = arrival.expect("it is out").worker.clone();
        JobOut { client, reference, worker }
    };
    Ok(clients.into_iter().zip(references).map(job).collect())
}

/// Workers call back when jobs are done, each call on a connection of its own; every client gets its result.
fn all_are_served(dispatcher: &Dispatcher, jobs: Vec<JobOut>, case: &str) -> Result<(), String> {
    let addr = dispatcher.addr();
    let call = |job: &JobOut| {
        let (reference, worker) = (job.reference.clone(), job.worker.clone());
        thread::spawn(move || common::replacement::tell_done(addr, &reference, &worker))
    };
    let calls: Vec<_> = jobs.iter().map(call).collect();
    let heard: Vec<Option<usize>> = calls.into_iter().map(|call| call.join().expect("a call")).collect();
    let statuses: Vec<u16> = jobs.into_iter().map(|mut job| job.client.answer().status()).collect();
    match statuses.iter().all(|status| *status == 200) {
        true => Ok(()),
        false => Err(format!("{case}: answers {statuses:?}, calls until each was heard {heard:?}")),
    }
}

/// Workers call the address that both processes accept at: the call reaches the process that has the job, or is refused so
/// that it is made again.
#[test]
fn a_job_status_update_reaches_the_process_that_has_the_job() {
    let cases =
        [updates_behind_the_end, updates_while_both_serve, updates_while_the_old_process_stands_still];
    let broken: Vec<String> = cases.iter().filter_map(|case| case().err()).collect();
    assert!(broken.is_empty(), "{broken:#?}");
}

fn updates_behind_the_end() -> Result<(), String> {
    let dispatcher = Dispatcher::with_settings(2, Conduct::Hangs, &silent_settings());
    let old = dispatcher.start();
    let jobs = jobs_out(&dispatcher, "before", 16)?;
    let _new = dispatcher.start();
    old.rig.terminate();
    old.rig.logged("SIGTERM");
    all_are_served(&dispatcher, jobs, "behind the end")
}

/// Jobs and calls come to whichever accepts them.
fn updates_while_both_serve() -> Result<(), String> {
    let dispatcher = Dispatcher::with_settings(2, Conduct::Hangs, &silent_settings());
    let _old = dispatcher.start();
    let mut jobs = jobs_out(&dispatcher, "before", 8)?;
    let _new = dispatcher.start();
    jobs.extend(jobs_out(&dispatcher, "both", 16)?);
    all_are_served(&dispatcher, jobs, "while both serve")
}

/// What it can't be told now must be told again.
fn updates_while_the_old_process_stands_still() -> Result<(), String> {
    let dispatcher = Dispatcher::with_settings(2, Conduct::Hangs, &silent_settings());
    let old = dispatcher.start();
    let jobs = jobs_out(&dispatcher, "before", 8)?;
    let _new = dispatcher.start();
    old.rig.terminate();
    old.rig.logged("SIGTERM");
    old.rig.freeze();
    let goes_on = old.rig.pid();
    let thaw = thread::spawn(move || {
        thread::sleep(Duration::from_millis(600));
        common::signal(goes_on, "-CONT");
    });
    let served = all_are_served(&dispatcher, jobs, "while the old process stands still");
    thaw.join().expect("it goes on");
    served
}
