//! One run of a scenario: starts everything, injects the faults of the timeline, and checks the recorded trace.

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

/// After the last client has finished, time for job updates that are still in flight.
const FINAL_REPORTS: Duration = Duration::from_millis(700);

/// Settings of a run besides its scenario.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The `lineroute` binary.
    pub program: PathBuf,
    /// Directory for logs and the trace; without it, a temporary directory is used and removed.
    pub keep: Option<PathBuf>,
    pub seed: u64,
}

/// The result of a run.
pub struct Outcome {
    pub verdict: Verdict,
    pub trace: Vec<Event>,
}

/// A started environment: all processes and stand-ins are running, no client has sent a request yet.
pub struct Environment {
    pub members: Arc<Members>,
    pub workers: Vec<Arc<Worker>>,
    pub clients: Clients,
    pub injector: FaultInjector,
    pub recorder: Recorder,
    seed: u64,
    dir: RunDir,
}

/// The directory of a run, removed on drop unless it is to be kept.
struct RunDir {
    path: PathBuf,
    keep: bool,
}

impl Drop for RunDir {
    fn drop(&mut self) {
        if !self.keep {
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}

fn run_dir(keep: Option<&Path>) -> io::Result<RunDir> {
    static NEXT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let number = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let path = match keep {
        Some(path) => path.to_owned(),
        None => std::env::temp_dir().join(format!("lineroute-lab-{}-{number}", std::process::id())),
    };
    std::fs::create_dir_all(&path)?;
    Ok(RunDir { path: path.canonicalize()?, keep: keep.is_some() })
}

impl Environment {
    /// Starts all processes and stand-ins.
    ///
    /// # Errors
    /// No ports are available, or a member does not start.
    pub async fn start(scenario: Scenario, setup: &Setup) -> Result<Environment, String> {
        Environment::start_all(scenario, setup).await.map_err(|e| e.to_string())
    }

    async fn start_all(scenario: Scenario, setup: &Setup) -> io::Result<Environment> {
        let scenario = Arc::new(scenario);
        let mut rng = fastrand::Rng::with_seed(setup.seed);
        let (recorder, front_end) = (Recorder::default(), FrontEnd::default());
        let dir = run_dir(setup.keep.as_deref())?;
        let count = scenario.members;
        let keys = Keys::default();
        let (mut workers, mut calls) = (Vec::new(), Vec::new());
        let mut work: Vec<Vec<TcpRelay>> = (0..count).map(|_| Vec::new()).collect();
        let mut lists: Vec<Vec<_>> = (0..count).map(|_| Vec::new()).collect();
        for (number, sort) in scenario.each_worker().into_iter().enumerate() {
            let call_relays = relays(count, &mut rng).await?;
            let plan = Plan {
                number,
                sort: sort.clone(),
                classes: scenario.classes.clone(),
                probe_cost: scenario.probe_cost_ms.map(Duration::from_millis),
                keys: keys.clone(),
                calls: call_relays.iter().map(|relay| relay.addr).collect(),
                seed: rng.u64(..),
            };
            let (worker, addrs) = Worker::start(plan, recorder.clone()).await?;
            for (member, addr) in addrs.into_iter().enumerate() {
                let relay = TcpRelay::start_with_tap(
                    Some(addr),
                    rng.u64(..),
                    record_sends(number, member, &recorder),
                )
                .await?;
                lists[member].push(listed(&sort, relay.addr));
                work[member].push(relay);
            }
            workers.push(worker);
            calls.push(call_relays);
        }
        let (discovery, addrs) = Discovery::start(lists, scenario.discovery, recorder.clone()).await?;
        let mut to_discovery = Vec::new();
        for addr in addrs {
            to_discovery.push(TcpRelay::start(Some(addr), rng.u64(..)).await?);
        }
        let mut between = Vec::new();
        for _ in 0..count {
            between.push(relays(count, &mut rng).await?);
        }
        let talk = match scenario.talk {
            true => Some(UdpRelay::start(count, rng.u64(..)).await?),
            false => None,
        };
        let links = Links { work, calls, discovery: to_discovery, fleet: between, peer_relay: talk };
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

    /// Runs clients and faults until both have finished, and returns the trace.
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

/// Records the attempts that a member sends to a worker and those that it cancels there. Request heads are short and are
/// written in one piece, so each one arrives in a single read.
fn record_sends(worker: usize, member: usize, recorder: &Recorder) -> Tap {
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

/// Runs a scenario once.
///
/// # Errors
/// It can't be started, or the trace can't be written.
pub async fn run(scenario: &Scenario, setup: &Setup) -> Result<Outcome, String> {
    let environment = Environment::start(scenario.clone(), setup).await?;
    let trace = environment.play().await;
    if environment.dir.keep {
        write_trace(&environment.dir.path.join("trace.jsonl"), &trace)
            .map_err(|e| format!("trace.jsonl: {e}"))?;
    }
    let verdict = checker::check(scenario, &trace);
    Ok(Outcome { verdict, trace })
}

fn write_trace(path: &Path, trace: &[Event]) -> io::Result<()> {
    let mut file = io::BufWriter::new(std::fs::File::create(path)?);
    for event in trace {
        serde_json::to_writer(&mut file, event)?;
        file.write_all(b"\n")?;
    }
    file.flush()
}

/// As [`run`], for callers without a runtime.
///
/// # Errors
/// As [`run`].
pub fn run_alone(scenario: &Scenario, setup: &Setup) -> Result<Outcome, String> {
    runtime()?.block_on(run(scenario, setup))
}

/// Creates the lab's runtime. It is single-threaded, so that the program has the other cores.
///
/// # Errors
/// The system has run out of resources.
pub fn runtime() -> Result<tokio::runtime::Runtime, String> {
    let built = tokio::runtime::Builder::new_current_thread().enable_all().build();
    built.map_err(|e| format!("creating the runtime: {e}"))
}
