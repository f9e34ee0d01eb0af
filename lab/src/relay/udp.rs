//! Datagrams between dispatchers: lost, doubled, reordered, held back. Each dispatcher has an address here for
//! each other one, so that what it sees of a peer is what its configuration says.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;
use tokio::net::UdpSocket;

/// How the network between dispatchers is at present.
#[derive(Clone, Debug, Default)]
pub struct UdpConditions {
    /// Parts of 100 datagrams that are lost, sent twice, held back until the next one has gone.
    pub lost: u32,
    pub doubled: u32,
    pub late: u32,
    pub delay: Duration,
    /// Those that hear nobody and are heard by nobody.
    pub cut: Vec<usize>,
    /// Ways that are cut, from one to another.
    pub ways: Vec<(usize, usize)>,
}

struct Shared {
    conditions: Mutex<UdpConditions>,
    /// Where each dispatcher really is.
    real: Mutex<Vec<Option<SocketAddr>>>,
    rng: Mutex<fastrand::Rng>,
}

/// All links between dispatchers. They end with it.
pub struct UdpRelay {
    shared: Arc<Shared>,
    /// `seen[a][b]`: where `a` finds `b`.
    seen: Vec<Vec<Arc<UdpSocket>>>,
    /// Dropped, it ends the thread that carries.
    _running: Option<tokio::sync::oneshot::Sender<()>>,
}

impl UdpRelay {
    /// Links that are carried by a thread of their own, for callers without a runtime.
    ///
    /// # Panics
    /// There are no ports.
    pub fn new(count: usize) -> UdpRelay {
        let (ready, made) = std::sync::mpsc::channel();
        let (running, over) = tokio::sync::oneshot::channel();
        thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            runtime.expect("a runtime").block_on(async move {
                let _ = ready.send(UdpRelay::start(count, 11).await);
                let _ = over.await;
            });
        });
        let relay = made.recv().expect("the thread lives").expect("ports");
        UdpRelay { _running: Some(running), ..relay }
    }

    /// Links that are carried by the runtime of the caller.
    ///
    /// # Errors
    /// There are no ports.
    pub async fn start(count: usize, seed: u64) -> std::io::Result<UdpRelay> {
        let mut seen = Vec::new();
        for _ in 0..count {
            let mut row = Vec::new();
            for _ in 0..count {
                row.push(Arc::new(UdpSocket::bind("127.0.0.1:0").await?));
            }
            seen.push(row);
        }
        let shared = Arc::new(Shared {
            conditions: Mutex::default(),
            real: Mutex::new(vec![None; count]),
            rng: Mutex::new(fastrand::Rng::with_seed(seed)),
        });
        for (a, b) in (0..count).flat_map(|a| (0..count).map(move |b| (a, b))).filter(|(a, b)| a != b) {
            let (inward, outward): (Arc<UdpSocket>, Arc<UdpSocket>) =
                (seen[a][b].clone(), seen[b][a].clone());
            tokio::spawn(shared.clone().carry((a, b), inward, outward));
        }
        Ok(UdpRelay { shared, seen, _running: None })
    }

    /// The peers of a dispatcher, as its configuration names them.
    pub fn peers(&self, of: usize) -> Vec<SocketAddr> {
        let others = (0..self.seen.len()).filter(|b| *b != of);
        others.map(|b| self.seen[of][b].local_addr().expect("it is bound")).collect()
    }

    /// Tells where a dispatcher really is.
    pub fn set_dispatcher_addr(&self, dispatcher: usize, addr: SocketAddr) {
        self.shared.real.lock().expect("no holder panics")[dispatcher] = Some(addr);
    }

    pub fn set(&self, conditions: UdpConditions) {
        *self.shared.conditions.lock().expect("no holder panics") = conditions;
    }

    /// Sends bytes to a dispatcher as if they came from another.
    pub fn forge(&self, from: usize, to: usize, bytes: &[u8]) {
        let addr = self.shared.real.lock().expect("no holder panics")[to].expect("it has told");
        let _ = self.seen[to][from].try_send_to(bytes, addr);
    }
}

impl Shared {
    fn roll(&self, of_100: u32) -> bool {
        self.rng.lock().expect("no holder panics").u32(0..100) < of_100
    }

    async fn carry(self: Arc<Self>, (a, b): (usize, usize), inward: Arc<UdpSocket>, outward: Arc<UdpSocket>) {
        let mut held: Option<Vec<u8>> = None;
        let mut bytes = [0; 2048];
        loop {
            let Ok((size, _)) = inward.recv_from(&mut bytes).await else { continue };
            let UdpConditions { lost, doubled, late, delay, cut, ways } =
                self.conditions.lock().expect("no holder panics").clone();
            let Some(to) = self.real.lock().expect("no holder panics")[b] else { continue };
            if cut.contains(&a) || cut.contains(&b) || ways.contains(&(a, b)) || self.roll(lost) {
                continue;
            }
            if held.is_none() && self.roll(late) {
                held = Some(bytes[..size].to_vec());
                continue;
            }
            let mut out = vec![bytes[..size].to_vec(); if self.roll(doubled) { 2 } else { 1 }];
            out.extend(held.take());
            let outward = outward.clone();
            if delay.is_zero() {
                out.iter().for_each(|bytes| drop(outward.try_send_to(bytes, to)));
                continue;
            }
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                out.iter().for_each(|bytes| drop(outward.try_send_to(bytes, to)));
            });
        }
    }
}
