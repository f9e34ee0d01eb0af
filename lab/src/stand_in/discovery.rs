//! Discovery: the list of workers, at an address of its own for each member, since workers' addresses differ
//! from member to member. It handles calls in turn, and can be troubled.

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

/// How long a call is held before it is refused where no patience is planned.
const HELD: Duration = Duration::from_secs(2);
/// A watch goes on if the next call comes so soon behind an answer.
const CONTINUES_WITHIN: Duration = Duration::from_millis(200);
/// How much longer a call takes where discovery is slow.
pub(crate) const SLOWER: u32 = 20;

/// A worker as one member finds it.
#[derive(Clone)]
pub struct Listed {
    pub addr: SocketAddr,
    pub zone: String,
    pub kind: String,
}

/// What discovery is at.
#[derive(Clone, Debug, Default)]
struct State {
    version: u64,
    /// Of each worker.
    workers: Vec<&'static str>,
    /// Troubles that have begun and not ended; the same one may be there twice.
    troubles: Vec<DiscoveryTrouble>,
    /// Watches that began before this many losses are silent for good.
    losses: u64,
}

impl State {
    /// The trouble that shows: whatever keeps discovery away goes before what only slows it.
    fn trouble(&self) -> Option<DiscoveryTrouble> {
        let away = self.troubles.iter().rfind(|trouble| is_away(**trouble));
        away.or(self.troubles.last()).copied()
    }
}

/// What a member was told last: what it is started with again.
#[derive(Clone)]
struct Told {
    version: u64,
    workers: Vec<&'static str>,
}

pub struct Discovery {
    /// `lists[member][worker]`.
    lists: Vec<Vec<Listed>>,
    plan: DiscoveryPlan,
    state: watch::Sender<State>,
    told: Mutex<Vec<Told>>,
    /// Calls are handled in turn, in the order in which they came.
    turn: tokio::sync::Mutex<()>,
    recorder: Recorder,
}

/// What becomes of a call.
enum Fate {
    /// It is answered with what there is.
    Answered,
    Refused,
    /// It is never answered.
    Silent,
}

impl Discovery {
    /// Begins to listen; its address for each member.
    ///
    /// # Errors
    /// There are no ports.
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
            told: Mutex::new(vec![Told { version: 1, workers: up }; members]),
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

    /// Something is wrong with it from now on.
    pub fn trouble(&self, trouble: DiscoveryTrouble) {
        if is_away(trouble) {
            self.recorder.note(What::Reachable { member: None, reachable: false });
        }
        self.state.send_modify(|state| match trouble {
            DiscoveryTrouble::LosesWatches => state.losses += 1,
            _ => state.troubles.push(trouble),
        });
    }

    /// It is well again.
    pub fn end_trouble(&self, trouble: DiscoveryTrouble) {
        self.state.send_modify(|state| {
            if let Some(at) = state.troubles.iter().position(|one| *one == trouble) {
                state.troubles.remove(at);
            }
            state.losses += u64::from(trouble == DiscoveryTrouble::Silent);
        });
        if is_away(trouble) {
            self.recorder.note(What::Reachable { member: None, reachable: true });
        }
    }

    /// The list that a member's configuration begins with: as the member had it last.
    pub fn known(&self, member: usize) -> Value {
        let told = self.told.lock().expect("no holder panics")[member].clone();
        json!({"version": told.version, "full": true, "servers": self.servers(member, &told.workers)})
    }

    /// A whole list: those that were removed are not in it.
    fn servers(&self, member: usize, states: &[&str]) -> Vec<Value> {
        let listed = self.lists[member].iter().zip(states).enumerate();
        let present = listed.filter(|(_, (_, state))| **state != "removed");
        let entry = |(i, (l, state)): (usize, (&Listed, &&str))| {
            json!({"id": format!("w{i}"), "addr": l.addr, "zone": l.zone, "kind": l.kind, "cell": 0,
                "state": state, "started_ms": 0})
        };
        present.map(entry).collect()
    }

    /// A member is told this state. What was written to it before may have been lost with its connection: a call that carries no
    /// watch on is told all of it.
    fn note(&self, member: usize, state: &State, continues: bool) {
        let told = Told { version: state.version, workers: state.workers.clone() };
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
                Fate::Answered => self.answer(&mut to, &asked, member, continues).await?,
                Fate::Refused => {
                    http::write(&mut to, "HTTP/1.1 503 Service Unavailable", "", b"").await?;
                    // No watch goes on behind a refusal: the next call takes its turn.
                    answered = None;
                    continue;
                }
                Fate::Silent => continue,
            }
            answered = Some(Instant::now());
        }
        Ok(())
    }

    /// Sees a call through its turn and its wait.
    async fn handle(&self, asked: &Message, continues: bool) -> Fate {
        let mut state = self.state.subscribe();
        let losses = state.borrow().losses;
        let trouble = state.borrow().trouble();
        match trouble {
            Some(DiscoveryTrouble::Refuses) => return Fate::Refused,
            Some(DiscoveryTrouble::Holds) => {
                sleep(self.patience().unwrap_or(HELD)).await;
                return Fate::Refused;
            }
            Some(DiscoveryTrouble::Silent) => return Fate::Silent,
            _ => {}
        }
        if !continues && !self.takes_turn(trouble == Some(DiscoveryTrouble::Slow)).await {
            return Fate::Refused;
        }
        let after = asked.query("after").unwrap_or(0);
        let wait = Duration::from_millis(asked.query("wait_ms").unwrap_or(0).min(60_000));
        let over =
            |now: &State| now.version > after || now.losses != losses || now.trouble().is_some_and(is_away);
        let _ = timeout(wait, state.wait_for(over)).await;
        let now = state.borrow().clone();
        match now.trouble() {
            _ if now.losses != losses => Fate::Silent,
            Some(DiscoveryTrouble::Refuses | DiscoveryTrouble::Holds) => Fate::Refused,
            Some(DiscoveryTrouble::Silent) => Fate::Silent,
            _ => Fate::Answered,
        }
    }

    fn patience(&self) -> Option<Duration> {
        (self.plan.patience_ms > 0).then(|| Duration::from_millis(self.plan.patience_ms))
    }

    /// Waits for a call's turn and takes its time; false where it has waited too long.
    async fn takes_turn(&self, slow: bool) -> bool {
        let turn = match self.patience() {
            Some(patience) => timeout(patience, self.turn.lock()).await.ok(),
            None => Some(self.turn.lock().await),
        };
        let Some(_turn) = turn else { return false };
        let cost = Duration::from_millis(self.plan.call_ms);
        if !cost.is_zero() {
            sleep(if slow { cost * SLOWER } else { cost }).await;
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
            self.note(member, &state, continues);
        }
        Ok(())
    }
}

/// Whether nobody can reach discovery then.
fn is_away(trouble: DiscoveryTrouble) -> bool {
    matches!(trouble, DiscoveryTrouble::Refuses | DiscoveryTrouble::Holds | DiscoveryTrouble::Silent)
}
