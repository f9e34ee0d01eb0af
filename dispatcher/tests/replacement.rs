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

/// Settings with so many attempts that jobs go round while workers turn them away.
fn patient_settings() -> String {
    SETTINGS.replace(r#""max_attempts": 3"#, r#""max_attempts": 1000"#)
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
