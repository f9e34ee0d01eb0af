//! One run of a scenario: everything is started, broken by the timeline, and judged by what was seen.

use crate::checker::{self, Verdict};
use crate::fault_plans::{shim_beside, FaultPlans};
use crate::faults::FaultInjector;
use crate::member::{listed, Links, Members, Start};
use crate::relay::{Tap, TcpRelay, UdpRelay};
use crate::scenario::Scenario;
use crate::stand_in::client::{Clients, FrontEnd};
use crate::stand_in::discovery::Discovery;
use crate::stand_in::worker::{Keys, Plan, Worker};
use crate::trace::{Event, Recorder, What};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// After the last client, words that are still under way are waited for.
const FINAL_REPORTS: Duration = Duration::from_millis(700);

/// What a run needs beside its scenario.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The program `lineroute`.
    pub program: PathBuf,
    /// Logs and the trace go there; else to a folder that is removed.
    pub keep: Option<PathBuf>,
    pub seed: u64,
}

/// A run's result.
pub struct Outcome {
    pub verdict: Verdict,
    pub trace: Vec<Event>,
}

/// An environment that stands: everybody is started, nobody asks anything yet.
pub struct Environment {
    pub members: Arc<Members>,
    pub workers: Vec<Arc<Worker>>,
    pub clients: Clients,
    pub injector: FaultInjector,
    pub recorder: Recorder,
    seed: u64,
    dir: Scratch,
}

/// The folder of a run, removed with it unless it is to be kept.
struct Scratch {
    path: PathBuf,
    keep: bool,
}

impl Drop for Scratch {
    fn drop(&mut self) {
        if !self.keep {
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}

fn scratch(keep: Option<&Path>) -> io::Result<Scratch> {
    static NEXT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let number = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let path = match keep {
        Some(path) => path.to_owned(),
        None => std::env::temp_dir().join(format!("lineroute-lab-{}-{number}", std::process::id())),
    };
    std::fs::create_dir_all(&path)?;
    Ok(Scratch { path: path.canonicalize()?, keep: keep.is_some() })
}

impl Environment {
    /// Starts everybody.
    ///
    /// # Errors
    /// There are no ports, or a member does not start.
    pub async fn start(scenario: Scenario, setup: &Setup) -> Result<Environment, String> {
        Environment::start_all(scenario, setup).await.map_err(|e| e.to_string())
    }

    async fn start_all(scenario: Scenario, setup: &Setup) -> io::Result<Environment> {
        let scenario = Arc::new(scenario);
        let mut rng = fastrand::Rng::with_seed(setup.seed);
        let (recorder, front_end) = (Recorder::default(), FrontEnd::default());
        let dir = scratch(setup.keep.as_deref())?;
        let count = scenario.members;
        let keys = Keys::default();
        let (mut workers, mut calls) = (Vec::new(), Vec::new());
        let mut work: Vec<Vec<TcpRelay>> = (0..count).map(|_| Vec::new()).collect();
        let mut lists: Vec<Vec<_>> = (0..count).map(|_| Vec::new()).collect();
        for (number, sort) in scenario.each_worker().into_iter().enumerate() {
            let back = relays(count, &mut rng).await?;
            let plan = Plan {
                number,
                sort: sort.clone(),
                classes: scenario.classes.clone(),
                probe_cost: scenario.probe_cost_ms.map(Duration::from_millis),
                keys: keys.clone(),
                calls: back.iter().map(|relay| relay.addr).collect(),
                seed: rng.u64(..),
            };
            let (worker, addrs) = Worker::start(plan, recorder.clone()).await?;
            for (member, addr) in addrs.into_iter().enumerate() {
                let relay =
                    TcpRelay::start_with_tap(Some(addr), rng.u64(..), sends(number, member, &recorder))
                        .await?;
                lists[member].push(listed(&sort, relay.addr));
                work[member].push(relay);
            }
            workers.push(worker);
            calls.push(back);
        }
        let (discovery, addrs) = Discovery::start(lists, scenario.discovery, recorder.clone()).await?;
        let mut asked = Vec::new();
        for addr in addrs {
            asked.push(TcpRelay::start(Some(addr), rng.u64(..)).await?);
        }
        let mut between = Vec::new();
        for _ in 0..count {
            between.push(relays(count, &mut rng).await?);
        }
        let talk = match scenario.talk {
            true => Some(UdpRelay::start(count, rng.u64(..)).await?),
            false => None,
        };
        let links = Links { work, calls, discovery: asked, fleet: between, peer_relay: talk };
        let shim = match scenario.needs_shim() {
            true => Some(shim_beside(&setup.program).map_err(io::Error::other)?),
            false => None,
        };
        let plans = FaultPlans::create(shim, count, &dir.path, recorder.clone())?;
        let (seen, path) = ((recorder.clone(), front_end.clone(), plans), dir.path.clone());
        let members = Members::new(scenario.clone(), setup.program.clone(), path, links, discovery, seen);
        let members = Arc::new(members);
        for member in 0..count {
            members.start(member, Start::default()).await.map_err(io::Error::other)?;
        }
        let injector = FaultInjector { members: members.clone(), workers: workers.clone() };
        let clients = Clients { scenario, recorder: recorder.clone(), front_end };
        Ok(Environment { members, workers, clients, injector, recorder, seed: rng.u64(..), dir })
    }

    /// Lets clients ask and things break, until both are over; what was seen.
    pub async fn play(&self) -> Vec<Event> {
        sleep(Duration::from_millis(self.members.scenario.settle_ms)).await;
        self.members.note_used();
        tokio::join!(self.clients.clone().run(self.seed), self.injector.clone().play(self.seed ^ 0x5eed));
        self.members.note_used();
        sleep(FINAL_REPORTS).await;
        self.members.note_permits().await;
        self.recorder.trace()
    }
}

/// Notes the attempts that a member writes to a worker, and those that it gives up there. Their heads are short and are
/// written at once.
fn sends(worker: usize, member: usize, recorder: &Recorder) -> Tap {
    let recorder = recorder.clone();
    Arc::new(move |bytes, cut| {
        let text = String::from_utf8_lossy(bytes).to_ascii_lowercase();
        if let Some(rest) = text.strip_prefix("delete /jobs/").filter(|_| !cut) {
            let call = rest.split(' ').next().unwrap_or_default().to_owned();
            recorder.note(What::GivenUp { worker, member, call });
        }
        if !text.starts_with("post ") {
            return;
        }
        let header = |name: &str| {
            let (_, rest) = text.split_once(name)?;
            rest.split("\r\n").next().map(|value| value.trim().to_owned())
        };
        let Some(call) = header("\r\nx-call-id:") else { return };
        let budget = header("\r\nx-budget-ms:").and_then(|ms| ms.parse::<u64>().ok()).map(|ms| ms * 1000);
        recorder.note(What::Sent { worker, member, call, budget });
    })
}

async fn relays(count: usize, rng: &mut fastrand::Rng) -> io::Result<Vec<TcpRelay>> {
    let mut all = Vec::new();
    for _ in 0..count {
        all.push(TcpRelay::start(None, rng.u64(..)).await?);
    }
    Ok(all)
}

/// Plays a scenario once.
///
/// # Errors
/// It can't be started, or the trace can't be kept.
pub async fn run(scenario: &Scenario, setup: &Setup) -> Result<Outcome, String> {
    let environment = Environment::start(scenario.clone(), setup).await?;
    let trace = environment.play().await;
    if environment.dir.keep {
        keep(&environment.dir.path.join("trace.jsonl"), &trace).map_err(|e| format!("the trace: {e}"))?;
    }
    let verdict = checker::check(scenario, &trace);
    Ok(Outcome { verdict, trace })
}

fn keep(path: &Path, trace: &[Event]) -> io::Result<()> {
    let mut file = io::BufWriter::new(std::fs::File::create(path)?);
    for event in trace {
        serde_json::to_writer(&mut file, event)?;
        file.write_all(b"\n")?;
    }
    file.flush()
}

/// The same for callers without a runtime.
///
/// # Errors
/// As [`run`].
pub fn run_alone(scenario: &Scenario, setup: &Setup) -> Result<Outcome, String> {
    runtime()?.block_on(run(scenario, setup))
}

/// What the lab runs on: one thread, so that the program has the other cores.
///
/// # Errors
/// The system has no more to give.
pub fn runtime() -> Result<tokio::runtime::Runtime, String> {
    let built = tokio::runtime::Builder::new_current_thread().enable_all().build();
    built.map_err(|e| format!("no runtime: {e}"))
}
