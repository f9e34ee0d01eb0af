//! A soak of replacements: one dispatcher whose process is replaced again and again, under faults that are drawn from a seed, with
//! an oracle that sees only clients, workers and operators. CI plays a few seeds; `LINEROUTE_SOAK_SEEDS=100..150` plays others.

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

/// What CI plays, and how many seeds at a time.
const SEEDS: Range<u64> = 1..9;
const SEEDS_AT_A_TIME: usize = 4;
const WORKERS: usize = 4;
const CLIENTS: usize = 8;
/// Sends may go on for so long behind an operator's yes: what was written before is read by the worker's thread so much later.
const STAND_IN_LATE: Duration = Duration::from_millis(250);
/// An operator's answer is owed in this time; the rule holds from then on, whatever is answered.
const OPERATOR_WITHIN: Duration = Duration::from_secs(1);
/// A request that is sent so shortly before a kill need not be answered.
const CROSSES_THE_KILL: Duration = Duration::from_millis(100);
/// The end of a connection that a kill causes is seen in this time.
const SEEN_WITHIN: Duration = Duration::from_millis(100);
/// After its time a request's answer may take this much longer.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
const KILL_GRACE: Duration = Duration::from_millis(700);
const LONGEST_COUNTED: Duration = Duration::from_secs(3);

/// What operators said of a worker: out from the call (or its answer) on, until the next call of theirs.
#[derive(Clone, Debug)]
struct Ban {
    worker: String,
    from: Instant,
    until: Option<Instant>,
}

/// A request that ended without a whole answer, on the connection and on the one that it was sent again on.
#[derive(Clone, Debug)]
struct Lost {
    reference: String,
    sent: Instant,
    ended: Instant,
}

/// A SIGKILL. One that is not planned excuses everything that the process had.
#[derive(Clone, Copy, Debug)]
struct Kill {
    at: Instant,
    planned: bool,
}

/// What was seen in one seed.
#[derive(Default)]
struct Record {
    bans: Vec<Ban>,
    lost: Vec<Lost>,
    kills: Vec<Kill>,
    broken: Vec<String>,
    answered: usize,
    served: usize,
}

struct Play {
    seed: u64,
    dispatcher: Dispatcher,
    /// The consoles of those that operators may call, by process.
    consoles: Mutex<Vec<(u32, std::net::SocketAddr)>>,
    record: Mutex<Record>,
    is_over: AtomicBool,
    longest: Duration,
    requests: AtomicU64,
}

#[test]
fn replaced_processes_are_one_dispatcher() {
    let seeds = std::env::var("LINEROUTE_SOAK_SEEDS").ok().and_then(|text| {
        let (from, to) = text.split_once("..")?;
        Some(from.parse().ok()?..to.parse().ok()?)
    });
    let seeds: Vec<u64> = seeds.unwrap_or(SEEDS).collect();
    common::faults::shim();
    let mut bad = Vec::new();
    for lot in seeds.chunks(SEEDS_AT_A_TIME) {
        let plays: Vec<_> = lot
            .iter()
            .map(|seed| {
                (
                    *seed,
                    thread::spawn({
                        let seed = *seed;
                        move || play(seed)
                    }),
                )
            })
            .collect();
        for (seed, play) in plays {
            match play.join() {
                Ok(broken) if broken.is_empty() => {}
                Ok(broken) => bad.push((seed, broken)),
                Err(panic) => {
                    let words = panic.downcast_ref::<String>().cloned().unwrap_or_default();
                    bad.push((seed, vec![format!("could not be played: {words}")]));
                }
            }
        }
    }
    eprintln!("{} seeds, {} bad", seeds.len(), bad.len());
    assert!(bad.is_empty(), "{bad:#?}");
}

fn play(seed: u64) -> Vec<String> {
    let mut dice = fastrand::Rng::with_seed(seed);
    let (short, long) = [(400, 800), (1200, 2500), (5000, 15_000)][dice.usize(..3)];
    let settings = SETTINGS
        .replace(r#", "tells_start": true"#, "")
        .replacen(r#""deadline_ms": 8000"#, &format!(r#""deadline_ms": {short}"#), 1)
        .replace(r#""deadline_ms": 8000"#, &format!(r#""deadline_ms": {long}"#))
        .replace(r#""aim_ms": 500"#, r#""aim_ms": 300"#);
    let dispatcher = Dispatcher::with_settings(WORKERS, WorkerBehaviour::Serves, &settings);
    let longest = Duration::from_millis(long).min(LONGEST_COUNTED);
    let play = Arc::new(Play {
        seed,
        dispatcher,
        consoles: Mutex::default(),
        record: Mutex::default(),
        is_over: AtomicBool::new(false),
        longest,
        requests: AtomicU64::new(0),
    });
    let mut disk = Faults::none();
    let first = play.start("", &disk);
    first.wait_until_ready();
    play.lists(&first);
    let mut threads: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (play, dice) = (play.clone(), dice.fork());
            let (class, budget) = if number % 2 == 0 { ("quote", short) } else { ("statement", long) };
            thread::spawn(move || client(&play, dice, class, budget))
        })
        .collect();
    let (operated, operator_dice) = (play.clone(), dice.fork());
    threads.push(thread::spawn(move || operators(&operated, operator_dice)));
    let (conducted, mut conduct_dice) = (play.clone(), dice.fork());
    threads.push(thread::spawn(move || {
        while !conducted.is_over.load(Ordering::Relaxed) {
            let conduct = [
                WorkerBehaviour::Serves,
                WorkerBehaviour::Serves,
                WorkerBehaviour::Rejects,
                WorkerBehaviour::Hangs,
            ][conduct_dice.usize(..4)];
            conducted.dispatcher.workers.set_behaviour(conduct);
            thread::sleep(Duration::from_millis(conduct_dice.u64(200..900)));
        }
        conducted.dispatcher.workers.set_behaviour(WorkerBehaviour::Serves);
    }));
    let crowd: Vec<TcpStream> = match dice.bool() {
        true => {
            (0..dice.usize(20..150)).filter_map(|_| TcpStream::connect(play.dispatcher.addr()).ok()).collect()
        }
        false => Vec::new(),
    };
    let last = replacements(&play, &mut dice, first, &mut disk);
    play.is_over.store(true, Ordering::Relaxed);
    threads.into_iter().for_each(|thread| thread.join().expect("it ends well"));
    drop((crowd, last));
    play.verdict()
}

/// Replaces the process a few times, with trouble; the one that is left.
fn replacements(play: &Arc<Play>, dice: &mut fastrand::Rng, first: Process, disk: &mut Faults) -> Process {
    let mut current = first;
    let mut ending: Vec<thread::JoinHandle<()>> = Vec::new();
    for _ in 0..dice.usize(1..=3) {
        thread::sleep(Duration::from_millis(dice.u64(200..800)));
        if dice.u32(0..3) == 0 {
            disk.fail(Call::FileWrite, ALWAYS);
        }
        if dice.u32(0..3) == 0 {
            // One that dies before its yes, or right behind it.
            let stops = ["start.listen:1:kill", ""][dice.usize(..2)];
            let setup = || play.dispatcher.spawn_without_waiting(stops, disk.environment());
            let mut dying = setup();
            thread::sleep(Duration::from_millis(dice.u64(50..400)));
            play.kill(|| drop(dying.kill()), false);
            let _ = dying.wait();
        }
        (0..dice.usize(..3)).for_each(|_| signal(current.rig.pid(), "-HUP"));
        let next = play.start("", disk);
        next.wait_until_ready();
        play.lists(&next);
        thread::sleep(Duration::from_millis(dice.u64(0..100)));
        let old = std::mem::replace(&mut current, next);
        let stands_still = (dice.u32(0..3) == 0).then(|| Duration::from_millis(dice.u64(50..350)));
        let disk_fails_until = dice.bool();
        (0..dice.usize(1..3)).for_each(|_| signal(old.rig.pid(), "-TERM"));
        let terminated = Instant::now();
        let play = play.clone();
        ending.push(thread::spawn(move || play.end(old, terminated, stands_still)));
        if disk_fails_until {
            thread::sleep(Duration::from_millis(dice.u64(0..1500)));
        }
        disk.fail(Call::FileWrite, 0);
        // Sometimes the next replacement begins on top of this one.
        if dice.u32(0..3) > 0 {
            ending.drain(..).for_each(|end| end.join().expect("it ends well"));
        }
    }
    ending.into_iter().for_each(|end| end.join().expect("it ends well"));
    thread::sleep(Duration::from_millis(500));
    current
}

impl Play {
    fn start(&self, stops: &str, disk: &Faults) -> Process {
        self.dispatcher.start_with(Setup { stops, environment: disk.environment(), ..Setup::default() })
    }

    fn lists(&self, process: &Process) {
        self.consoles.lock().expect("a lock").push((process.rig.pid(), process.console));
    }

    fn kill(&self, kill: impl FnOnce(), planned: bool) {
        let at = Instant::now();
        self.record.lock().expect("a lock").kills.push(Kill { at, planned });
        kill();
    }

    /// SIGKILL at its earliest behind SIGTERM; before it the process may stand still for a while.
    fn end(&self, old: Process, terminated: Instant, stands_still: Option<Duration>) {
        let pid = old.rig.pid();
        if let Some(span) = stands_still {
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
        let mut broken = record.broken.clone();
        for ban in &record.bans {
            let attempts = self.dispatcher.workers.since(&ban.worker, ban.from + STAND_IN_LATE);
            for attempt in attempts.iter().filter(|attempt| ban.until.is_none_or(|until| attempt.at < until))
            {
                let late = attempt.at - ban.from;
                broken.push(format!(
                    "cordon: {} went to {} {late:?} behind the yes",
                    attempt.reference, ban.worker
                ));
            }
        }
        for lost in &record.lost {
            let ended_by = |kill: &&Kill| lost.ended >= kill.at && lost.ended < kill.at + SEEN_WITHIN;
            let excused = |kill: &Kill| !kill.planned || lost.sent + CROSSES_THE_KILL >= kill.at;
            if !record.kills.iter().filter(ended_by).any(excused) {
                let after = lost.ended - lost.sent;
                broken.push(format!(
                    "lost: {} had no answer, its connection ended after {after:?}",
                    lost.reference
                ));
            }
        }
        if record.served == 0 {
            broken.push("nothing was served".into());
        }
        eprintln!(
            "seed {}: {} answers, {} served, {} kills, {} bans, {} broken",
            self.seed,
            record.answered,
            record.served,
            record.kills.len(),
            record.bans.len(),
            broken.len()
        );
        broken
    }
}

/// Sends one request behind the other, on each connection until that ends.
fn client(play: &Play, mut dice: fastrand::Rng, class: &str, budget: u64) {
    let mut connection: Option<Client> = None;
    while !play.is_over.load(Ordering::Relaxed) {
        let number = play.requests.fetch_add(1, Ordering::Relaxed);
        let reference = format!("soak-{}-{number}", play.seed);
        let more = format!("X-Budget-Ms: {budget}\r\nIdempotency-Key: k{number}\r\n");
        let mut ends = Vec::new();
        // A close may cross a request that was not read: it is sent once more, on a new connection.
        while ends.len() < 2 {
            let mut client = match connection
                .take()
                .map_or_else(|| TcpStream::connect(play.dispatcher.addr()).map(Client::of), Ok)
            {
                Ok(client) => client,
                Err(_) => return,
            };
            // A request's time runs from when it is written: a connection that the full queue turned away comes up a second later.
            let sent = Instant::now();
            client.post(&reference, class, &more);
            let answer = client.try_read_response();
            let mut record = play.record.lock().expect("a lock");
            let Some(answer) = answer else {
                ends.push(Lost { reference: reference.clone(), sent, ended: Instant::now() });
                continue;
            };
            record.answered += 1;
            record.served += usize::from(answer.status() == 200);
            let took = sent.elapsed();
            if took > Duration::from_millis(budget) + ANSWER_SLACK {
                record.broken.push(format!("late: {reference} was answered after {took:?}"));
            }
            if answer.headers.get("connection").is_none_or(|value| value != "close") {
                connection = Some(client);
            }
            ends.clear();
            break;
        }
        play.record.lock().expect("a lock").lost.extend(ends);
        thread::sleep(Duration::from_millis(dice.u64(0..30)));
    }
}

/// Takes workers out and lets them serve again, at whichever process is there.
fn operators(play: &Play, mut dice: fastrand::Rng) {
    let mut out: Vec<usize> = Vec::new();
    while !play.is_over.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(dice.u64(100..600)));
        let consoles = play.consoles.lock().expect("a lock").clone();
        let (_, console) = consoles[dice.usize(..consoles.len())];
        let lifts = out.len() >= WORKERS / 2 || !out.is_empty() && dice.bool();
        let worker = match lifts {
            true => out.remove(dice.usize(..out.len())),
            false => dice.usize(..WORKERS),
        };
        let (name, asked) = (format!("w{worker}"), Instant::now());
        if lifts {
            let mut record = play.record.lock().expect("a lock");
            record.bans.iter_mut().filter(|ban| ban.worker == name).for_each(|ban| {
                ban.until.get_or_insert(asked);
            });
        }
        let answer = call(console, &format!("{} {name}", if lifts { "uncordon" } else { "cordon" }));
        let (answered, took) = (Instant::now(), asked.elapsed());
        let mut record = play.record.lock().expect("a lock");
        match answer {
            // The process ended under the call: what it did is not known, and another one is asked next time.
            None if lifts => out.push(worker),
            None => {}
            Some(answer) if took > OPERATOR_WITHIN => {
                record.broken.push(format!("operators: {answer} after {took:?}"))
            }
            Some(answer) if answer.starts_with("OK") && !lifts => {
                record.bans.push(Ban { worker: name, from: answered, until: None });
                out.push(worker);
                out.dedup();
            }
            Some(answer) if answer.starts_with("OK") => {}
            Some(answer) => record.broken.push(format!("operators: {answer}")),
        }
    }
}
