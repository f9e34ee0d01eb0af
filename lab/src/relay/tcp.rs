//! Connections: bytes are neither lost nor reordered, since TCP would not; a lost piece is one that comes late.

use super::{DirectionConditions, LinkConditions};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, sleep_until, Instant};

/// After so long a lost piece is sent again; each further loss of it doubles that.
const AGAIN: Duration = Duration::from_millis(200);
/// Pieces under way in one direction of one connection; what comes behind them waits at its sender.
const UNDER_WAY: usize = 64;
/// A trickle lets bytes out this often.
const DRIP: Duration = Duration::from_millis(20);

/// Sees what the side that connects writes, in the moment in which it is read and before the link holds any of it up, and
/// whether the link is cut then.
pub type Tap = Arc<dyn Fn(&[u8], bool) + Send + Sync>;

/// One link: an address that stands for somebody else's.
pub struct TcpRelay {
    pub addr: SocketAddr,
    conditions: watch::Sender<LinkConditions>,
    target: Arc<Mutex<Option<SocketAddr>>>,
    /// Bytes that it has passed on, of both directions.
    carried: Arc<AtomicU64>,
}

impl TcpRelay {
    /// Listens at a port of its own.
    ///
    /// # Errors
    /// There is no port.
    pub async fn start(target: Option<SocketAddr>, seed: u64) -> io::Result<TcpRelay> {
        TcpRelay::tapped(target, seed, Arc::new(|_, _| {})).await
    }

    /// The same, with a tap.
    ///
    /// # Errors
    /// There is no port.
    pub async fn tapped(target: Option<SocketAddr>, seed: u64, tap: Tap) -> io::Result<TcpRelay> {
        let socket = TcpListener::bind("127.0.0.1:0").await?;
        let addr = socket.local_addr()?;
        let (conditions, seen) = watch::channel(LinkConditions::default());
        let target = Arc::new(Mutex::new(target));
        let (to, carried) = (target.clone(), Arc::<AtomicU64>::default());
        let count = carried.clone();
        tokio::spawn(async move {
            let mut rng = fastrand::Rng::with_seed(seed);
            while let Ok((stream, _)) = socket.accept().await {
                let to = *to.lock().expect("no holder panics");
                tokio::spawn(pass(stream, to, seen.clone(), (count.clone(), tap.clone()), rng.fork()));
            }
        });
        Ok(TcpRelay { addr, conditions, target, carried })
    }

    /// Bytes that it has passed on so far.
    pub fn carried(&self) -> u64 {
        self.carried.load(Ordering::Relaxed)
    }

    /// Where connections go from now on; nowhere, and they are reset.
    pub fn set_target(&self, target: Option<SocketAddr>) {
        *self.target.lock().expect("no holder panics") = target;
    }

    pub fn set(&self, change: impl FnOnce(&mut LinkConditions)) {
        self.conditions.send_modify(change);
    }
}

/// One connection, until it ends on both sides or is reset.
async fn pass(
    near: TcpStream,
    to: Option<SocketAddr>,
    mut seen: watch::Receiver<LinkConditions>,
    (carried, tap): (Arc<AtomicU64>, Tap),
    mut rng: fastrand::Rng,
) {
    // Ended without more, a connection is reset: nobody may take it for a calm end.
    let _ = near.set_zero_linger();
    if seen.borrow().reset {
        return;
    }
    let Some(to) = to else { return };
    let Ok(far) = TcpStream::connect(to).await else { return };
    let _ = (near.set_nodelay(true), far.set_nodelay(true), far.set_zero_linger());
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    let untapped: Tap = Arc::new(|_, _| {});
    let ahead = direction(near_in, far_out, seen.clone(), |w| w.toward_listener, (&carried, tap, rng.fork()));
    let back =
        direction(far_in, near_out, seen.clone(), |w| w.toward_connector, (&carried, untapped, rng.fork()));
    tokio::select! {
        _ = async { tokio::join!(ahead, back) } => {}
        // Either branch may be dropped anywhere: a reset loses what is under way.
        _ = seen.wait_for(|w| w.reset) => {}
    }
}

async fn direction(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    seen: watch::Receiver<LinkConditions>,
    way: fn(&LinkConditions) -> DirectionConditions,
    (carried, tap, mut rng): (&AtomicU64, Tap, fastrand::Rng),
) {
    let (queue, mut queued) = mpsc::channel::<(Instant, Vec<u8>)>(UNDER_WAY);
    let mut conditions = seen.clone();
    let take = async move {
        let mut last = Instant::now();
        let mut bytes = vec![0; 8 << 10];
        loop {
            // An error is an end too: what came before it still passes.
            let size = from.read(&mut bytes).await.unwrap_or(0);
            let now = way(&seen.borrow());
            tap(&bytes[..size], now.cut);
            let mut late = now.delay;
            let mut again = AGAIN;
            while rng.u32(0..100) < now.loss && again < 16 * AGAIN {
                late += again;
                again *= 2;
            }
            last = last.max(Instant::now() + late);
            if queue.send((last, bytes[..size].to_vec())).await.is_err() || size == 0 {
                return;
            }
        }
    };
    let give = async move {
        while let Some((due, bytes)) = queued.recv().await {
            sleep_until(due).await;
            let mut rest = &bytes[..];
            loop {
                if conditions.wait_for(|w| !way(w).cut).await.is_err() {
                    return;
                }
                let trickle = way(&conditions.borrow()).trickle;
                let share = trickle.map_or(rest.len(), |rate| {
                    ((rate as u128 * DRIP.as_micros() / 1_000_000) as usize).clamp(1, rest.len().max(1))
                });
                let (now, later) = rest.split_at(share.min(rest.len()));
                if to.write_all(now).await.is_err() {
                    return;
                }
                carried.fetch_add(now.len() as u64, Ordering::Relaxed);
                rest = later;
                if rest.is_empty() {
                    break;
                }
                sleep(DRIP).await;
            }
            if bytes.is_empty() {
                let _ = to.shutdown().await;
                return;
            }
        }
    };
    tokio::join!(take, give);
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::time::timeout;

    async fn pair() -> (TcpRelay, TcpStream, TcpStream) {
        let socket = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let relay = TcpRelay::start(socket.local_addr().ok(), 1).await.expect("a relay");
        let near = TcpStream::connect(relay.addr).await.expect("it listens");
        let (far, _) = socket.accept().await.expect("it comes through");
        (relay, near, far)
    }

    #[tokio::test]
    async fn a_cut_holds_bytes_back_one_way_and_passes_them_on_when_it_is_over() {
        let (relay, mut near, mut far) = pair().await;
        let mut word = [0; 4];
        relay.set(|w| w.toward_listener.cut = true);
        near.write_all(b"ahoy").await.expect("written");
        far.write_all(b"back").await.expect("written");
        near.read_exact(&mut word).await.expect("the other way is open");
        assert_eq!(&word, b"back");
        assert!(timeout(Duration::from_millis(80), far.read_exact(&mut word)).await.is_err());
        relay.set(|w| w.toward_listener.cut = false);
        far.read_exact(&mut word).await.expect("it comes late");
        assert_eq!(&word, b"ahoy");
    }

    #[tokio::test]
    async fn a_reset_ends_open_connections_and_new_ones() {
        let (relay, mut near, _far) = pair().await;
        relay.set(|w| w.reset = true);
        assert!(near.read(&mut [0; 4]).await.map_or(true, |size| size == 0));
        let mut new = TcpStream::connect(relay.addr).await.expect("the relay itself listens");
        assert!(new.read(&mut [0; 4]).await.map_or(true, |size| size == 0));
    }

    #[tokio::test]
    async fn a_calm_end_passes_as_one() {
        let (_relay, mut near, mut far) = pair().await;
        near.write_all(b"last").await.expect("written");
        near.shutdown().await.expect("ended");
        let mut all = Vec::new();
        far.read_to_end(&mut all).await.expect("an end, not a reset");
        assert_eq!(all, b"last");
    }
}
