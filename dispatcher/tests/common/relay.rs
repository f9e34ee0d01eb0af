//! Between dispatchers: a relay of datagrams that loses, doubles and reorders them, and that cuts dispatchers
//! off. Each has an address there for each other one, so that what it sees of a peer is what its
//! configuration says.

use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How the network is at present.
#[derive(Clone, Debug, Default)]
pub struct Weather {
    /// Parts of 100 datagrams that are lost, sent twice, held back until the next one has gone.
    pub lost: u32,
    pub doubled: u32,
    pub late: u32,
    /// Those that hear nobody.
    pub cut: Vec<usize>,
}

struct Shared {
    weather: Mutex<Weather>,
    /// Where each dispatcher really is.
    real: Mutex<Vec<Option<SocketAddr>>>,
    dice: Mutex<u64>,
    over: AtomicBool,
}

pub struct Relay {
    shared: Arc<Shared>,
    /// `seen[a][b]`: where `a` finds `b`.
    seen: Vec<Vec<Arc<UdpSocket>>>,
}

impl Relay {
    pub fn new(count: usize) -> Relay {
        let socket = || {
            let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
            socket.set_read_timeout(Some(Duration::from_millis(50))).expect("a time-out");
            Arc::new(socket)
        };
        let seen: Vec<Vec<_>> = (0..count).map(|_| (0..count).map(|_| socket()).collect()).collect();
        let shared = Arc::new(Shared {
            weather: Mutex::default(),
            real: Mutex::new(vec![None; count]),
            dice: Mutex::new(11),
            over: AtomicBool::new(false),
        });
        for (a, b) in (0..count).flat_map(|a| (0..count).map(move |b| (a, b))).filter(|(a, b)| a != b) {
            let (inward, outward, shared) = (seen[a][b].clone(), seen[b][a].clone(), shared.clone());
            thread::spawn(move || shared.carry(a, b, &inward, &outward));
        }
        Relay { shared, seen }
    }

    /// The peers of a dispatcher, as its configuration names them.
    pub fn peers(&self, of: usize) -> Vec<SocketAddr> {
        let others = (0..self.seen.len()).filter(|b| *b != of);
        others.map(|b| self.seen[of][b].local_addr().expect("an address")).collect()
    }

    /// Tells where a dispatcher really is.
    pub fn is_at(&self, dispatcher: usize, addr: SocketAddr) {
        self.shared.real.lock().expect("a lock")[dispatcher] = Some(addr);
    }

    pub fn set(&self, weather: Weather) {
        *self.shared.weather.lock().expect("a lock") = weather;
    }

    /// Sends bytes to a dispatcher as if they came from another.
    pub fn forge(&self, from: usize, to: usize, bytes: &[u8]) {
        let addr = self.shared.real.lock().expect("a lock")[to].expect("it has told");
        let _ = self.seen[to][from].send_to(bytes, addr);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.over.store(true, Ordering::Relaxed);
    }
}

impl Shared {
    fn roll(&self) -> u32 {
        let mut dice = self.dice.lock().expect("a lock");
        *dice = dice.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (*dice >> 33) as u32 % 100
    }

    fn carry(&self, a: usize, b: usize, inward: &UdpSocket, outward: &UdpSocket) {
        let mut held: Option<Vec<u8>> = None;
        let mut bytes = [0; 2048];
        while !self.over.load(Ordering::Relaxed) {
            let Ok((size, _)) = inward.recv_from(&mut bytes) else { continue };
            let Weather { lost, doubled, late, cut } = self.weather.lock().expect("a lock").clone();
            let Some(to) = self.real.lock().expect("a lock")[b] else { continue };
            if cut.contains(&a) || cut.contains(&b) || self.roll() < lost {
                continue;
            }
            if held.is_none() && self.roll() < late {
                held = Some(bytes[..size].to_vec());
                continue;
            }
            let copies = if self.roll() < doubled { 2 } else { 1 };
            (0..copies).for_each(|_| drop(outward.send_to(&bytes[..size], to)));
            if let Some(old) = held.take() {
                let _ = outward.send_to(&old, to);
            }
        }
    }
}
