//! UDP relay between dispatchers, which loses, duplicates, reorders and delays datagrams. It has one address for each ordered
//! pair of dispatchers, so that a dispatcher sees the source addresses that its configuration names.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;
use tokio::net::UdpSocket;

/// Current conditions of the network between dispatchers.
#[derive(Clone, Debug, Default)]
pub struct UdpConditions {
    /// Percentages of datagrams that are lost, sent twice, or held back until the next one has been sent.
    pub lost: u32,
    pub doubled: u32,
    pub late: u32,
    pub delay: Duration,
    /// Dispatchers that are cut off from all others.
    pub cut: Vec<usize>,
    /// Directions that are cut, as (from, to).
    pub cut_directions: Vec<(usize, usize)>,
}

struct Shared {
    conditions: Mutex<UdpConditions>,
    /// Real address of each dispatcher.
    addrs: Mutex<Vec<Option<SocketAddr>>>,
    rng: Mutex<fastrand::Rng>,
}

/// All links between dispatchers; dropping it closes them.
pub struct UdpRelay {
    shared: Arc<Shared>,
    /// `sockets[a][b]`: the address at which `a` reaches `b`.
    sockets: Vec<Vec<Arc<UdpSocket>>>,
    /// Ends the relay's thread when dropped.
    _running: Option<tokio::sync::oneshot::Sender<()>>,
}

impl UdpRelay {
    /// Starts the relay on a thread of its own, for callers without a runtime.
    ///
    /// # Panics
    /// No ports are available.
    pub fn new(count: usize) -> UdpRelay {
        let (ready, started) = std::sync::mpsc::channel();
        let (running, over) = tokio::sync::oneshot::channel();
        thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            runtime.expect("a runtime").block_on(async move {
                let _ = ready.send(UdpRelay::start(count, 11).await);
                let _ = over.await;
            });
        });
        let relay = started.recv().expect("the thread lives").expect("ports");
        UdpRelay { _running: Some(running), ..relay }
    }

    /// Starts the relay on the caller's runtime.
    ///
    /// # Errors
    /// No ports are available.
    pub async fn start(count: usize, seed: u64) -> std::io::Result<UdpRelay> {
        let mut sockets = Vec::new();
        for _ in 0..count {
            let mut row = Vec::new();
            for _ in 0..count {
                row.push(Arc::new(UdpSocket::bind("127.0.0.1:0").await?));
            }
            sockets.push(row);
        }
        let shared = Arc::new(Shared {
            conditions: Mutex::default(),
            addrs: Mutex::new(vec![None; count]),
            rng: Mutex::new(fastrand::Rng::with_seed(seed)),
        });
        for (a, b) in (0..count).flat_map(|a| (0..count).map(move |b| (a, b))).filter(|(a, b)| a != b) {
            let (inward, outward): (Arc<UdpSocket>, Arc<UdpSocket>) =
                (sockets[a][b].clone(), sockets[b][a].clone());
            tokio::spawn(shared.clone().relay_datagrams((a, b), inward, outward));
        }
        Ok(UdpRelay { shared, sockets, _running: None })
    }

    /// The addresses of a dispatcher's peers for its configuration.
    pub fn peers(&self, of: usize) -> Vec<SocketAddr> {
        let others = (0..self.sockets.len()).filter(|b| *b != of);
        others.map(|b| self.sockets[of][b].local_addr().expect("it is bound")).collect()
    }

    /// Sets the real address of a dispatcher.
    pub fn set_dispatcher_addr(&self, dispatcher: usize, addr: SocketAddr) {
        self.shared.addrs.lock().expect("no holder panics")[dispatcher] = Some(addr);
    }

    pub fn set(&self, conditions: UdpConditions) {
        *self.shared.conditions.lock().expect("no holder panics") = conditions;
    }

    /// Sends bytes to a dispatcher with another dispatcher's source address.
    pub fn forge(&self, from: usize, to: usize, bytes: &[u8]) {
        let addr =
            self.shared.addrs.lock().expect("no holder panics")[to].expect("the dispatcher's address is set");
        let _ = self.sockets[to][from].try_send_to(bytes, addr);
    }
}

impl Shared {
    fn roll(&self, percent: u32) -> bool {
        self.rng.lock().expect("no holder panics").u32(0..100) < percent
    }

    async fn relay_datagrams(
        self: Arc<Self>,
        (a, b): (usize, usize),
        inward: Arc<UdpSocket>,
        outward: Arc<UdpSocket>,
    ) {
        let mut held: Option<Vec<u8>> = None;
        let mut bytes = [0; 2048];
        loop {
            let Ok((size, _)) = inward.recv_from(&mut bytes).await else { continue };
            let UdpConditions { lost, doubled, late, delay, cut, cut_directions } =
                self.conditions.lock().expect("no holder panics").clone();
            let Some(to) = self.addrs.lock().expect("no holder panics")[b] else { continue };
            if cut.contains(&a) || cut.contains(&b) || cut_directions.contains(&(a, b)) || self.roll(lost) {
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
