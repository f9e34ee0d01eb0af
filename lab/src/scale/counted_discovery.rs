//! A discovery server on loopback for real processes. It publishes a change at a fixed interval, and counts calls and
//! bytes.

use super::worker_list::WorkerList;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Longest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 8192;
/// Interval at which a long poll checks for a new version.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Calls served, and bytes received and sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub calls: u64,
    pub bytes: u64,
}

struct Shared {
    workers: u32,
    started_at: Instant,
    change_interval: Duration,
    calls: AtomicU64,
    bytes: AtomicU64,
    is_shutting_down: AtomicBool,
}

/// A server that listens until it is dropped. Each connection has a thread, since a dispatcher opens few.
pub struct CountingDiscovery {
    pub addr: SocketAddr,
    shared: Arc<Shared>,
}

impl CountingDiscovery {
    /// Serves a list of `workers` workers, one of which changes after each `change_interval`.
    ///
    /// # Errors
    /// No port can be bound.
    pub fn start(workers: u32, change_interval: Duration) -> io::Result<Self> {
        let socket = TcpListener::bind("127.0.0.1:0")?;
        let addr = socket.local_addr()?;
        let shared = Arc::new(Shared {
            workers,
            started_at: Instant::now(),
            change_interval,
            calls: AtomicU64::new(0),
            bytes: AtomicU64::new(0),
            is_shutting_down: AtomicBool::new(false),
        });
        let acceptor = shared.clone();
        std::thread::spawn(move || acceptor.accept(&socket));
        Ok(Self { addr, shared })
    }

    pub fn counts(&self) -> Counts {
        let Shared { calls, bytes, .. } = &*self.shared;
        Counts { calls: calls.load(Ordering::Relaxed), bytes: bytes.load(Ordering::Relaxed) }
    }
}

impl Drop for CountingDiscovery {
    fn drop(&mut self) {
        self.shared.is_shutting_down.store(true, Ordering::Relaxed);
        // Wakes the accepting thread, which then returns.
        let _ = TcpStream::connect(self.addr);
    }
}

impl Shared {
    fn accept(self: Arc<Self>, socket: &TcpListener) {
        while let Ok((stream, _)) = socket.accept() {
            if self.is_shutting_down.load(Ordering::Relaxed) {
                return;
            }
            let shared = self.clone();
            // The thread ends when the process at the other end closes the connection.
            std::thread::spawn(move || shared.serve(stream));
        }
    }

    fn version(&self) -> u64 {
        (self.started_at.elapsed().as_micros() / self.change_interval.as_micros()) as u64 + 1
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some((path, head_bytes)) = read_request(&mut reader)? {
            self.calls.fetch_add(1, Ordering::Relaxed);
            self.bytes.fetch_add(head_bytes, Ordering::Relaxed);
            let response = self.respond(&path)?;
            self.bytes.fetch_add(response.len() as u64, Ordering::Relaxed);
            (&stream).write_all(&response)?;
        }
        Ok(())
    }

    /// Answers a call; a call with `after` is a long poll that waits up to `wait_ms` for a newer version.
    fn respond(&self, path: &str) -> io::Result<Vec<u8>> {
        let list = match query(path, "after") {
            None => WorkerList::full(self.workers).with_version(self.version()),
            Some(after) => {
                let deadline = Instant::now() + Duration::from_millis(query(path, "wait_ms").unwrap_or(0));
                while self.version() <= after && Instant::now() < deadline {
                    std::thread::sleep(POLL_INTERVAL);
                }
                let version = self.version();
                let changes = version.saturating_sub(after).min(u64::from(self.workers)) as u32;
                WorkerList::changes(changes).with_version(version)
            }
        };
        let body = serde_json::to_vec(&list)?;
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        Ok([head.as_bytes(), &body].concat())
    }
}

/// Reads a request without a body. Returns its path and the bytes of its head, or `None` at the end of the connection.
fn read_request(reader: &mut impl BufRead) -> io::Result<Option<(String, u64)>> {
    let (mut path, mut bytes) = (None, 0);
    loop {
        let mut line = String::new();
        let read = reader.read_line(&mut line)?;
        bytes += read;
        if read == 0 || bytes > MAX_HEAD_BYTES {
            return Ok(None);
        }
        if line.trim_end().is_empty() {
            return Ok(path.map(|path| (path, bytes as u64)));
        }
        path = path.or_else(|| line.split(' ').nth(1).map(str::to_owned));
    }
}

fn query(path: &str, name: &str) -> Option<u64> {
    let (_, query) = path.split_once('?')?;
    let value = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
    value?.parse().ok()
}
