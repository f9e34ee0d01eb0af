//! Soak test of replacements: one dispatcher whose process is replaced repeatedly, under faults drawn from a seed, with an oracle
//! that observes only clients, workers and operators. CI runs a few seeds; `LINEROUTE_SOAK_SEEDS=100..150` runs others.

mod common;

use common::faults::{Faults, ALWAYS};
use common::replacement::{call, Dispatcher, Process, WorkerBehaviour};
use common::{signal, Client, Setup, SETTINGS};
use lineroute_fault_plan::Call;
use std::net::TcpStream;
use std::ops::Range;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The seeds that CI runs, and how many run concurrently.
const SEEDS: Range<u64> = 1..9;
const SEEDS_AT_A_TIME: usize = 4;
const WORKERS: usize = 4;
const CLIENTS: usize = 8;
/// Attempts may still be recorded for this long after an acknowledgement: a simulated worker may read late what was written before.
const WORKER_READ_DELAY: Duration = Duration::from_millis(250);
/// An operator must receive a reply within this time.
const OPERATOR_REPLY_WITHIN: Duration = Duration::from_secs(1);
/// A request sent less than this before SIGKILL need not be answered.
const IN_FLIGHT_AT_KILL: Duration = Duration::from_millis(100);
/// A client observes the end of a connection caused by SIGKILL within this time.
const KILL_OBSERVED_WITHIN: Duration = Duration::from_millis(100);
/// A response may exceed the request's budget by this much.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
const KILL_GRACE: Duration = Duration::from_millis(700);
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);

/// The cordon of a worker by an operator, from the acknowledgement until the next `uncordon` command is sent.
#[derive(Clone, Debug)]
struct Cordon {
    worker: String,
    from: Instant,
    until: Option<Instant>,
}

/// A request without a complete response, both on its connection and on the one on which it was repeated.
#[derive(Clone, Debug)]
struct Lost {
    reference: String,
    sent: Instant,
    ended: Instant,
}

/// A SIGKILL. One that is not planned excuses all requests that the process had accepted.
#[derive(Clone, Copy, Debug)]
struct Kill {
    at: Instant,
    planned: bool,
}

/// Observations of one seed.
#[derive(Default)]
struct Record {
    cordons: Vec<Cordon>,
    lost: Vec<Lost>,
    kills: Vec<Kill>,
    violations: Vec<String>,
    answered: usize,
    served: usize,
}

struct Run {
    seed: u64,
    dispatcher: Dispatcher,
    /// The admin consoles that operators may call, by process id.
    consoles: Mutex<Vec<(u32, std::net::SocketAddr)>>,
    record: Mutex<Record>,
    is_over: AtomicBool,
    longest: Duration,
    requests: AtomicU64,
}

#[test]
fn replaced_processes_act_as_one_dispatcher() {
    let seeds = std::env::var("LINEROUTE_SOAK_SEEDS").ok().and_then(|text| {
        let (from, to) = text.split_once("..")?;
        Some(from.parse().ok()?..to.parse().ok()?)
    });
    let seeds: Vec<u64> = seeds.unwrap_or(SEEDS).collect();
    common::faults::shim();
    let mut bad = Vec::new();
    for lot in seeds.chunks(SEEDS_AT_A_TIME) {
        let runs: Vec<_> = lot
            .iter()
            .map(|seed| {
                (
                    *seed,
                    thread::spawn({
                        let seed = *seed;
                        move || run(seed)
                    }),
                )
            })
            .collect();
        for (seed, run) in runs {
            match run.join() {
                Ok(broken) if broken.is_empty() => {}
                Ok(broken) => bad.push((seed, broken)),
                Err(panic) => {
                    let words = panic.downcast_ref::<String>().cloned().unwrap_or_default();
                    bad.push((seed, vec![format!("the run panicked: {words}")]));
                }
            }
        }
    }
    eprintln!("{} seeds, {} failed", seeds.len(), bad.len());
    assert!(bad.is_empty(), "{bad:#?}");
}

fn run(seed: u64) -> Vec<String> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let (short, long) = [(400, 800), (1200, 2500), (5000, 15_000)][rng.usize(..3)];
    let settings = SETTINGS
        .replace(r#", "tells_start": true"#, "")
        .replacen(r#""deadline_ms": 8000"#, &format!(r#""deadline_ms": {short}"#), 1)
        .replace(r#""deadline_ms": 8000"#, &format!(r#""deadline_ms": {long}"#))
        .replace(r#""aim_ms": 500"#, r#""aim_ms": 300"#);
    let dispatcher = Dispatcher::with_settings(WORKERS, WorkerBehaviour::Serves, &settings);
    let longest = Duration::from_millis(long).min(MAX_COUNTED_DEADLINE);
    let run = Arc::new(Run {
        seed,
        dispatcher,
        consoles: Mutex::default(),
        record: Mutex::default(),
        is_over: AtomicBool::new(false),
        longest,
        requests: AtomicU64::new(0),
    });
    let mut disk = Faults::none();
    let first = run.start("", &disk);
    first.wait_until_ready();
    run.register(&first);
    let mut threads: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (run, rng) = (run.clone(), rng.fork());
            let (class, budget) = if number % 2 == 0 { ("quote", short) } else { ("statement", long) };
            thread::spawn(move || client(&run, rng, class, budget))
        })
        .collect();
    let (operated, operator_rng) = (run.clone(), rng.fork());
    threads.push(thread::spawn(move || operators(&operated, operator_rng)));
    let (conducted, mut conduct_rng) = (run.clone(), rng.fork());
    threads.push(thread::spawn(move || {
        while !conducted.is_over.load(Ordering::Relaxed) {
            let conduct = [
                WorkerBehaviour::Serves,
                WorkerBehaviour::Serves,
                WorkerBehaviour::Rejects,
                WorkerBehaviour::Hangs,
            ][conduct_rng.usize(..4)];
            conducted.dispatcher.workers.set_behaviour(conduct);
            thread::sleep(Duration::from_millis(conduct_rng.u64(200..900)));
        }
        conducted.dispatcher.workers.set_behaviour(WorkerBehaviour::Serves);
    }));
    let crowd: Vec<TcpStream> = match rng.bool() {
        true => {
            (0..rng.usize(20..150)).filter_map(|_| TcpStream::connect(run.dispatcher.addr()).ok()).collect()
        }
        false => Vec::new(),
    };
    let last = replacements(&run, &mut rng, first, &mut disk);
    run.is_over.store(true, Ordering::Relaxed);
    threads.into_iter().for_each(|thread| thread.join().expect("the thread does not panic"));
    drop((crowd, last));
    run.verdict()
}

/// Replaces the process a few times under faults, and returns the last process.
fn replacements(run: &Arc<Run>, rng: &mut fastrand::Rng, first: Process, disk: &mut Faults) -> Process {
    let mut current = first;
    let mut ending: Vec<thread::JoinHandle<()>> = Vec::new();
    for _ in 0..rng.usize(1..=3) {
        thread::sleep(Duration::from_millis(rng.u64(200..800)));
        if rng.u32(0..3) == 0 {
            disk.fail(Call::FileWrite, ALWAYS);
        }
        if rng.u32(0..3) == 0 {
            // A process that is killed before it is ready, or right after.
            let stops = ["start.listen:1:kill", ""][rng.usize(..2)];
            let setup = || run.dispatcher.spawn_without_waiting(stops, disk.environment());
            let mut dying = setup();
            thread::sleep(Duration::from_millis(rng.u64(50..400)));
            run.kill(|| drop(dying.kill()), false);
            let _ = dying.wait();
        }
        (0..rng.usize(..3)).for_each(|_| signal(current.rig.pid(), "-HUP"));
        let next = run.start("", disk);
        next.wait_until_ready();
        run.register(&next);
        thread::sleep(Duration::from_millis(rng.u64(0..100)));
        let old = std::mem::replace(&mut current, next);
        let suspended_for = (rng.u32(0..3) == 0).then(|| Duration::from_millis(rng.u64(50..350)));
        let disk_fails_until = rng.bool();
        (0..rng.usize(1..3)).for_each(|_| signal(old.rig.pid(), "-TERM"));
        let terminated = Instant::now();
        let run = run.clone();
        ending.push(thread::spawn(move || run.end(old, terminated, suspended_for)));
        if disk_fails_until {
            thread::sleep(Duration::from_millis(rng.u64(0..1500)));
        }
        disk.fail(Call::FileWrite, 0);
        // Sometimes the next replacement begins before this one has finished.
        if rng.u32(0..3) > 0 {
            ending.drain(..).for_each(|end| end.join().expect("the thread does not panic"));
        }
    }
    ending.into_iter().for_each(|end| end.join().expect("the thread does not panic"));
    thread::sleep(Duration::from_millis(500));
    current
}

impl Run {
    fn start(&self, stops: &str, disk: &Faults) -> Process {
        self.dispatcher.start_with(Setup { stops, environment: disk.environment(), ..Setup::default() })
    }

    fn register(&self, process: &Process) {
        self.consoles.lock().expect("a lock").push((process.rig.pid(), process.console));
    }

    fn kill(&self, kill: impl FnOnce(), planned: bool) {
        let at = Instant::now();
        self.record.lock().expect("a lock").kills.push(Kill { at, planned });
        kill();
    }

    /// Sends SIGKILL at the earliest possible time after SIGTERM; the process may be suspended for a while before that.
    fn end(&self, old: Process, terminated: Instant, suspended_for: Option<Duration>) {
        let pid = old.rig.pid();
        if let Some(span) = suspended_for {
            signal(pid, "-STOP");
            thread::sleep(span);
            signal(pid, "-CONT");
        }
        let kill_at = terminated + self.longest + KILL_GRACE;
        thread::sleep(kill_at.saturating_duration_since(Instant::now()));
        self.consoles.lock().expect("a lock").retain(|(process, _)| *process != pid);
        self.kill(|| drop(old), true);
    }

    fn verdict(&self) -> Vec<String> {
        let record = self.record.lock().expect("a lock");
        let mut broken = record.violations.clone();
        for cordon in &record.cordons {
            let attempts = self.dispatcher.workers.since(&cordon.worker, cordon.from + WORKER_READ_DELAY);
            for attempt in
                attempts.iter().filter(|attempt| cordon.until.is_none_or(|until| attempt.at < until))
            {
                let late = attempt.at - cordon.from;
                broken.push(format!(
                    "cordon: {} was sent to {} {late:?} after the acknowledgement",
                    attempt.reference, cordon.worker
                ));
            }
        }
        for lost in &record.lost {
            let ended_by =
                |kill: &&Kill| lost.ended >= kill.at && lost.ended < kill.at + KILL_OBSERVED_WITHIN;
            let excused = |kill: &Kill| !kill.planned || lost.sent + IN_FLIGHT_AT_KILL >= kill.at;
            if !record.kills.iter().filter(ended_by).any(excused) {
                let after = lost.ended - lost.sent;
                broken.push(format!(
                    "lost: {} had no response, its connection ended after {after:?}",
                    lost.reference
                ));
            }
        }
        if record.served == 0 {
            broken.push("no request was served".into());
        }
        eprintln!(
            "seed {}: {} responses, {} served, {} kills, {} cordons, {} violations",
            self.seed,
            record.answered,
            record.served,
            record.kills.len(),
            record.cordons.len(),
            broken.len()
        );
        broken
    }
}

/// Sends one request after the other, on each connection until it ends.
fn client(run: &Run, mut rng: fastrand::Rng, class: &str, budget: u64) {
    let mut connection: Option<Client> = None;
    while !run.is_over.load(Ordering::Relaxed) {
        let number = run.requests.fetch_add(1, Ordering::Relaxed);
        let reference = format!("soak-{}-{number}", run.seed);
        let more = format!("X-Budget-Ms: {budget}\r\nIdempotency-Key: k{number}\r\n");
        let mut ends = Vec::new();
        // A connection may be closed while a request that was not read is in transit: it is repeated once on a new connection.
        while ends.len() < 2 {
            let mut client = match connection
                .take()
                .map_or_else(|| TcpStream::connect(run.dispatcher.addr()).map(Client::from_stream), Ok)
            {
                Ok(client) => client,
                Err(_) => return,
            };
            // The budget counts from the write: with a full listen backlog a connection is established only after a SYN retry, a
            // second later.
            let sent = Instant::now();
            client.post(&reference, class, &more);
            let answer = client.try_read_response();
            let mut record = run.record.lock().expect("a lock");
            let Some(answer) = answer else {
                ends.push(Lost { reference: reference.clone(), sent, ended: Instant::now() });
                continue;
            };
            record.answered += 1;
            record.served += usize::from(answer.status() == 200);
            let took = sent.elapsed();
            if took > Duration::from_millis(budget) + ANSWER_SLACK {
                record.violations.push(format!("late: {reference} was answered after {took:?}"));
            }
            if answer.headers.get("connection").is_none_or(|value| value != "close") {
                connection = Some(client);
            }
            ends.clear();
            break;
        }
        run.record.lock().expect("a lock").lost.extend(ends);
        thread::sleep(Duration::from_millis(rng.u64(0..30)));
    }
}

/// Cordons and uncordons workers at a random process.
fn operators(run: &Run, mut rng: fastrand::Rng) {
    let mut out: Vec<usize> = Vec::new();
    while !run.is_over.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(rng.u64(100..600)));
        let consoles = run.consoles.lock().expect("a lock").clone();
        let (_, console) = consoles[rng.usize(..consoles.len())];
        let lifts = out.len() >= WORKERS / 2 || !out.is_empty() && rng.bool();
        let worker = match lifts {
            true => out.remove(rng.usize(..out.len())),
            false => rng.usize(..WORKERS),
        };
        let (name, asked) = (format!("w{worker}"), Instant::now());
        if lifts {
            let mut record = run.record.lock().expect("a lock");
            record.cordons.iter_mut().filter(|cordon| cordon.worker == name).for_each(|cordon| {
                cordon.until.get_or_insert(asked);
            });
        }
        let answer = call(console, &format!("{} {name}", if lifts { "uncordon" } else { "cordon" }));
        let (answered, took) = (Instant::now(), asked.elapsed());
        let mut record = run.record.lock().expect("a lock");
        match answer {
            // The process ended during the call: the effect is unknown, and another process is called next time.
            None if lifts => out.push(worker),
            None => {}
            Some(answer) if took > OPERATOR_REPLY_WITHIN => {
                record.violations.push(format!("operators: {answer} after {took:?}"))
            }
            Some(answer) if answer.starts_with("OK") && !lifts => {
                record.cordons.push(Cordon { worker: name, from: answered, until: None });
                out.push(worker);
                out.dedup();
            }
            Some(answer) if answer.starts_with("OK") => {}
            Some(answer) => record.violations.push(format!("operators: {answer}")),
        }
    }
}
