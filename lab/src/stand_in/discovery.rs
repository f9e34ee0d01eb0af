//! Discovery: serves the worker list, on a separate address for each member, since workers' addresses differ from member
//! to member. It handles calls one at a time, and faults can be injected.

use crate::http::{self, Message, Reader};
use crate::scenario::{DiscoveryPlan, DiscoveryTrouble};
use crate::trace::{Recorder, What};
use serde_json::{json, Value};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::tcp::WriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Instant};

/// How long a call is held before it is refused if the plan has no `patience_ms`.
const DEFAULT_HOLD: Duration = Duration::from_secs(2);
/// A call continues a watch if it arrives within this time after the previous response.
const CONTINUES_WITHIN: Duration = Duration::from_millis(200);
/// Factor on the time of a call while discovery is slow.
pub(crate) const SLOW_FACTOR: u32 = 20;

/// A worker as listed for one member.
#[derive(Clone)]
pub struct Listed {
    pub addr: SocketAddr,
    pub zone: String,
    pub kind: String,
}

/// Current state of discovery.
#[derive(Clone, Debug, Default)]
struct State {
    version: u64,
    /// State of each worker.
    workers: Vec<&'static str>,
    /// Active faults; the same one may be active twice.
    troubles: Vec<DiscoveryTrouble>,
    /// Number of times watches were lost; those that began before the latest loss are never answered.
    losses: u64,
}

impl State {
    /// The effective fault: those that make discovery unreachable take precedence over those that only slow it.
    fn trouble(&self) -> Option<DiscoveryTrouble> {
        let away = self.troubles.iter().rfind(|trouble| is_unreachable(**trouble));
        away.or(self.troubles.last()).copied()
    }
}

/// The list that a member received last; it restarts with this list.
#[derive(Clone)]
struct SentList {
    version: u64,
    workers: Vec<&'static str>,
}

pub struct Discovery {
    /// `lists[member][worker]`.
    lists: Vec<Vec<Listed>>,
    plan: DiscoveryPlan,
    state: watch::Sender<State>,
    told: Mutex<Vec<SentList>>,
    /// Serialises calls in order of arrival.
    turn: tokio::sync::Mutex<()>,
    recorder: Recorder,
}

/// Outcome of a call.
enum CallOutcome {
    /// Answered with the current list.
    Answered,
    Refused,
    /// Never answered.
    Silent,
}

impl Discovery {
    /// Starts to listen and returns the address for each member.
    ///
    /// # Errors
    /// No ports are available.
    pub async fn start(
        lists: Vec<Vec<Listed>>,
        plan: DiscoveryPlan,
        recorder: Recorder,
    ) -> io::Result<(Arc<Discovery>, Vec<SocketAddr>)> {
        let (members, workers) = (lists.len(), lists.first().map_or(0, Vec::len));
        let up = vec!["up"; workers];
        let state = State { version: 1, workers: up.clone(), ..State::default() };
        let discovery = Arc::new(Discovery {
            lists,
            plan,
            state: watch::channel(state).0,
            told: Mutex::new(vec![SentList { version: 1, workers: up }; members]),
            turn: tokio::sync::Mutex::default(),
            recorder,
        });
        let mut addrs = Vec::new();
        for member in 0..members {
            let socket = TcpListener::bind("127.0.0.1:0").await?;
            addrs.push(socket.local_addr()?);
            let discovery = discovery.clone();
            tokio::spawn(async move {
                while let Ok((stream, _)) = socket.accept().await {
                    let discovery = discovery.clone();
                    tokio::spawn(async move { discovery.serve(stream, member).await });
                }
            });
        }
        Ok((discovery, addrs))
    }

    /// Sets a worker's state.
    pub fn set(&self, worker: usize, state: &'static str) {
        self.recorder.note(What::Listed { worker, state: state.into() });
        self.state.send_modify(|now| {
            now.version += 1;
            now.workers[worker] = state;
        });
    }

    /// Starts a fault.
    pub fn trouble(&self, trouble: DiscoveryTrouble) {
        if is_unreachable(trouble) {
            self.recorder.note(What::Reachable { member: None, reachable: false });
        }
        self.state.send_modify(|state| match trouble {
            DiscoveryTrouble::LosesWatches => state.losses += 1,
            _ => state.troubles.push(trouble),
        });
    }

    /// Ends a fault.
    pub fn end_trouble(&self, trouble: DiscoveryTrouble) {
        self.state.send_modify(|state| {
            if let Some(at) = state.troubles.iter().position(|one| *one == trouble) {
                state.troubles.remove(at);
            }
            state.losses += u64::from(trouble == DiscoveryTrouble::Silent);
        });
        if is_unreachable(trouble) {
            self.recorder.note(What::Reachable { member: None, reachable: true });
        }
    }

    /// The initial list for a member's configuration: the one that the member received last.
    pub fn known(&self, member: usize) -> Value {
        let told = self.told.lock().expect("no holder panics")[member].clone();
        json!({"version": told.version, "full": true, "servers": self.servers(member, &told.workers)})
    }

    /// The complete list, without removed workers.
    fn servers(&self, member: usize, states: &[&str]) -> Vec<Value> {
        let listed = self.lists[member].iter().zip(states).enumerate();
        let present = listed.filter(|(_, (_, state))| **state != "removed");
        let entry = |(i, (l, state)): (usize, (&Listed, &&str))| {
            json!({"id": format!("w{i}"), "addr": l.addr, "zone": l.zone, "kind": l.kind, "cell": 0,
                "state": state, "started_ms": 0})
        };
        present.map(entry).collect()
    }

    /// Records the state sent to a member. Earlier responses may have been lost with their connection, so a call that does not
    /// continue a watch is recorded as told the state of every worker.
    fn record_sent(&self, member: usize, state: &State, continues: bool) {
        let told = SentList { version: state.version, workers: state.workers.clone() };
        let old = std::mem::replace(&mut self.told.lock().expect("no holder panics")[member], told);
        let told = state.workers.iter().zip(&old.workers).enumerate();
        let told = told.filter(|(_, (new, old))| !continues || new != old);
        for (worker, (state, _)) in told {
            self.recorder.note(What::Told { member, worker, state: (*state).into() });
        }
    }

    async fn serve(&self, mut stream: TcpStream, member: usize) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let (from, mut to) = stream.split();
        let mut reader = Reader::new(from);
        let mut answered: Option<Instant> = None;
        while let Some(asked) = reader.request().await? {
            let continues = answered.is_some_and(|at| at.elapsed() <= CONTINUES_WITHIN);
            match self.handle(&asked, continues).await {
                CallOutcome::Answered => self.answer(&mut to, &asked, member, continues).await?,
                CallOutcome::Refused => {
                    http::write(&mut to, "HTTP/1.1 503 Service Unavailable", "", b"").await?;
                    // A refusal ends the watch: the next call has to wait its turn.
                    answered = None;
                    continue;
                }
                CallOutcome::Silent => continue,
            }
            answered = Some(Instant::now());
        }
        Ok(())
    }

    /// Waits for a call's turn and for a change of the list, and decides its outcome.
    async fn handle(&self, asked: &Message, continues: bool) -> CallOutcome {
        let mut state = self.state.subscribe();
        let losses = state.borrow().losses;
        let trouble = state.borrow().trouble();
        match trouble {
            Some(DiscoveryTrouble::Refuses) => return CallOutcome::Refused,
            Some(DiscoveryTrouble::Holds) => {
                sleep(self.patience().unwrap_or(DEFAULT_HOLD)).await;
                return CallOutcome::Refused;
            }
            Some(DiscoveryTrouble::Silent) => return CallOutcome::Silent,
            _ => {}
        }
        if !continues && !self.takes_turn(trouble == Some(DiscoveryTrouble::Slow)).await {
            return CallOutcome::Refused;
        }
        let after = asked.query("after").unwrap_or(0);
        let wait = Duration::from_millis(asked.query("wait_ms").unwrap_or(0).min(60_000));
        let over = |now: &State| {
            now.version > after || now.losses != losses || now.trouble().is_some_and(is_unreachable)
        };
        let _ = timeout(wait, state.wait_for(over)).await;
        let now = state.borrow().clone();
        match now.trouble() {
            _ if now.losses != losses => CallOutcome::Silent,
            Some(DiscoveryTrouble::Refuses | DiscoveryTrouble::Holds) => CallOutcome::Refused,
            Some(DiscoveryTrouble::Silent) => CallOutcome::Silent,
            _ => CallOutcome::Answered,
        }
    }

    fn patience(&self) -> Option<Duration> {
        (self.plan.patience_ms > 0).then(|| Duration::from_millis(self.plan.patience_ms))
    }

    /// Waits for a call's turn and its processing time; false if it has waited too long.
    async fn takes_turn(&self, slow: bool) -> bool {
        let turn = match self.patience() {
            Some(patience) => timeout(patience, self.turn.lock()).await.ok(),
            None => Some(self.turn.lock().await),
        };
        let Some(_turn) = turn else { return false };
        let cost = Duration::from_millis(self.plan.call_ms);
        if !cost.is_zero() {
            sleep(if slow { cost * SLOW_FACTOR } else { cost }).await;
        }
        true
    }

    async fn answer(
        &self,
        to: &mut WriteHalf<'_>,
        asked: &Message,
        member: usize,
        continues: bool,
    ) -> io::Result<()> {
        let after = asked.query("after").unwrap_or(0);
        let state = self.state.borrow().clone();
        let full = state.version > after;
        let servers = if full { self.servers(member, &state.workers) } else { Vec::new() };
        let body = json!({"version": state.version, "full": full, "servers": servers}).to_string();
        http::write(to, "HTTP/1.1 200 OK", "", body.as_bytes()).await?;
        if full || !continues {
            self.record_sent(member, &state, continues);
        }
        Ok(())
    }
}

/// Whether the fault makes discovery unreachable.
fn is_unreachable(trouble: DiscoveryTrouble) -> bool {
    matches!(trouble, DiscoveryTrouble::Refuses | DiscoveryTrouble::Holds | DiscoveryTrouble::Silent)
}
