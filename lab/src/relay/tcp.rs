//! TCP relay. Bytes are neither lost nor reordered, as with TCP: packet loss shows as delay.

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

/// Initial retransmission timeout of a lost chunk; doubles with each further loss of the chunk.
const RETRANSMIT_AFTER: Duration = Duration::from_millis(200);
/// Maximum number of chunks in flight per direction of a connection; beyond that the sender is blocked.
const MAX_IN_FLIGHT: usize = 64;
/// Interval between writes on a throttled link.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(20);

/// Callback for data from the connecting side, called when the relay reads it and before any delay. The flag tells whether the
/// link is cut at that time.
pub type Tap = Arc<dyn Fn(&[u8], bool) + Send + Sync>;

/// One link: a local address that forwards connections to a target.
pub struct TcpRelay {
    pub addr: SocketAddr,
    conditions: watch::Sender<LinkConditions>,
    target: Arc<Mutex<Option<SocketAddr>>>,
    /// Bytes forwarded in both directions.
    carried: Arc<AtomicU64>,
}

impl TcpRelay {
    /// Starts a relay on a free port.
    ///
    /// # Errors
    /// No port is available.
    pub async fn start(target: Option<SocketAddr>, seed: u64) -> io::Result<TcpRelay> {
        TcpRelay::start_with_tap(target, seed, Arc::new(|_, _| {})).await
    }

    /// As [`TcpRelay::start`], with a tap.
    ///
    /// # Errors
    /// No port is available.
    pub async fn start_with_tap(target: Option<SocketAddr>, seed: u64, tap: Tap) -> io::Result<TcpRelay> {
        let socket = TcpListener::bind("127.0.0.1:0").await?;
        let addr = socket.local_addr()?;
        let (conditions, conditions_rx) = watch::channel(LinkConditions::default());
        let target = Arc::new(Mutex::new(target));
        let (to, carried) = (target.clone(), Arc::<AtomicU64>::default());
        let count = carried.clone();
        tokio::spawn(async move {
            let mut rng = fastrand::Rng::with_seed(seed);
            while let Ok((stream, _)) = socket.accept().await {
                let to = *to.lock().expect("no holder panics");
                tokio::spawn(relay_connection(
                    stream,
                    to,
                    conditions_rx.clone(),
                    (count.clone(), tap.clone()),
                    rng.fork(),
                ));
            }
        });
        Ok(TcpRelay { addr, conditions, target, carried })
    }

    /// Bytes forwarded so far.
    pub fn carried(&self) -> u64 {
        self.carried.load(Ordering::Relaxed)
    }

    /// Sets the target of new connections; with `None` they are reset.
    pub fn set_target(&self, target: Option<SocketAddr>) {
        *self.target.lock().expect("no holder panics") = target;
    }

    pub fn set(&self, change: impl FnOnce(&mut LinkConditions)) {
        self.conditions.send_modify(change);
    }
}

/// Relays one connection until it ends on both sides or is reset.
async fn relay_connection(
    near: TcpStream,
    to: Option<SocketAddr>,
    mut conditions_rx: watch::Receiver<LinkConditions>,
    (carried, tap): (Arc<AtomicU64>, Tap),
    mut rng: fastrand::Rng,
) {
    // With zero linger, dropping the stream resets the connection, so that the peer can't mistake it for an orderly close.
    let _ = near.set_zero_linger();
    if conditions_rx.borrow().reset {
        return;
    }
    let Some(to) = to else { return };
    let Ok(far) = TcpStream::connect(to).await else { return };
    let _ = (near.set_nodelay(true), far.set_nodelay(true), far.set_zero_linger());
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    let untapped: Tap = Arc::new(|_, _| {});
    let ahead = relay_direction(
        near_in,
        far_out,
        conditions_rx.clone(),
        |w| w.toward_listener,
        (&carried, tap, rng.fork()),
    );
    let back = relay_direction(
        far_in,
        near_out,
        conditions_rx.clone(),
        |w| w.toward_connector,
        (&carried, untapped, rng.fork()),
    );
    tokio::select! {
        _ = async { tokio::join!(ahead, back) } => {}
        // Both branches are safe to cancel at any point: a reset loses the data in flight.
        _ = conditions_rx.wait_for(|w| w.reset) => {}
    }
}

async fn relay_direction(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    conditions_rx: watch::Receiver<LinkConditions>,
    pick: fn(&LinkConditions) -> DirectionConditions,
    (carried, tap, mut rng): (&AtomicU64, Tap, fastrand::Rng),
) {
    let (queue, mut queued) = mpsc::channel::<(Instant, Vec<u8>)>(MAX_IN_FLIGHT);
    let mut conditions = conditions_rx.clone();
    let receive = async move {
        let mut last = Instant::now();
        let mut bytes = vec![0; 8 << 10];
        loop {
            // A read error is treated as the end of the stream; data read before it is still delivered.
            let size = from.read(&mut bytes).await.unwrap_or(0);
            let now = pick(&conditions_rx.borrow());
            tap(&bytes[..size], now.cut);
            let mut delay = now.delay;
            let mut retransmit_after = RETRANSMIT_AFTER;
            while rng.u32(0..100) < now.loss && retransmit_after < 16 * RETRANSMIT_AFTER {
                delay += retransmit_after;
                retransmit_after *= 2;
            }
            last = last.max(Instant::now() + delay);
            if queue.send((last, bytes[..size].to_vec())).await.is_err() || size == 0 {
                return;
            }
        }
    };
    let deliver = async move {
        while let Some((due, bytes)) = queued.recv().await {
            sleep_until(due).await;
            let mut rest = &bytes[..];
            loop {
                if conditions.wait_for(|w| !pick(w).cut).await.is_err() {
                    return;
                }
                let trickle = pick(&conditions.borrow()).trickle;
                let share = trickle.map_or(rest.len(), |rate| {
                    ((rate as u128 * TRICKLE_INTERVAL.as_micros() / 1_000_000) as usize)
                        .clamp(1, rest.len().max(1))
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
                sleep(TRICKLE_INTERVAL).await;
            }
            if bytes.is_empty() {
                let _ = to.shutdown().await;
                return;
            }
        }
    };
    tokio::join!(receive, deliver);
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::time::timeout;

    async fn pair() -> (TcpRelay, TcpStream, TcpStream) {
        let socket = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let relay = TcpRelay::start(socket.local_addr().ok(), 1).await.expect("a relay");
        let near = TcpStream::connect(relay.addr).await.expect("the relay listens");
        let (far, _) = socket.accept().await.expect("the relay connects");
        (relay, near, far)
    }

    #[tokio::test]
    async fn a_cut_delays_bytes_in_one_direction_until_it_is_over() {
        let (relay, mut near, mut far) = pair().await;
        let mut word = [0; 4];
        relay.set(|w| w.toward_listener.cut = true);
        near.write_all(b"ahoy").await.expect("written");
        far.write_all(b"back").await.expect("written");
        near.read_exact(&mut word).await.expect("the other direction is open");
        assert_eq!(&word, b"back");
        assert!(timeout(Duration::from_millis(80), far.read_exact(&mut word)).await.is_err());
        relay.set(|w| w.toward_listener.cut = false);
        far.read_exact(&mut word).await.expect("delivered after the cut");
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
    async fn an_orderly_close_is_relayed_as_one() {
        let (_relay, mut near, mut far) = pair().await;
        near.write_all(b"last").await.expect("written");
        near.shutdown().await.expect("ended");
        let mut all = Vec::new();
        far.read_to_end(&mut all).await.expect("an end, not a reset");
        assert_eq!(all, b"last");
    }
}
