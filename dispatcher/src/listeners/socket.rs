//! The listening socket for clients: bound by this process, or inherited from the platform (`$GW_FD`), which keeps it open
//! while the process is replaced. The address of an inherited socket is never bound again: it belongs to the platform, and a
//! second bind would fail while the other process still serves it.

use crate::local_faults::open_with_retry;
use socket2::SockRef;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpStream};
use tracing::warn;

/// Consecutive failures of `accept` that are tolerated while the queue is drained. Single ones are expected, for example because
/// a connection was aborted or file descriptors ran out for a moment.
const MAX_ACCEPT_FAILURES: usize = 64;

/// Where the listening socket comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketSource {
    /// Bind this address.
    Bind(SocketAddr),
    /// Use the listening socket with this file descriptor.
    Inherited(i32),
}

/// Opens the listening socket.
///
/// # Errors
/// The address can't be bound, or the descriptor is not a listening TCP socket.
pub async fn open(origin: SocketSource) -> Result<TcpListener, String> {
    match origin {
        SocketSource::Bind(addr) => {
            open_with_retry(|| TcpListener::bind(addr)).await.map_err(|e| format!("{addr}: {e}"))
        }
        SocketSource::Inherited(fd) => inherit(fd),
    }
}

/// Accepts the connections in the socket's queue, asking the kernel directly. Never waits.
pub fn queued(socket: &TcpListener) -> impl Iterator<Item = (TcpStream, SocketAddr)> + '_ {
    let mut failures = 0;
    std::iter::from_fn(move || loop {
        match accept_now(socket) {
            Ok(accepted) => {
                failures = 0;
                return Some(accepted);
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => return None,
            Err(e) if failures == MAX_ACCEPT_FAILURES => {
                warn!(error = %e, "accept: too many consecutive failures; the remaining queued connections are not served");
                return None;
            }
            Err(_) => failures += 1,
        }
    })
}

fn accept_now(socket: &TcpListener) -> io::Result<(TcpStream, SocketAddr)> {
    let (stream, peer) = SockRef::from(socket).accept()?;
    stream.set_nonblocking(true)?;
    let peer = peer.as_socket().ok_or(ErrorKind::AddrNotAvailable)?;
    Ok((TcpStream::from_std(stream.into())?, peer))
}

fn inherit(fd: i32) -> Result<TcpListener, String> {
    let fault = |e: String| format!("GW_FD: descriptor {fd}: {e}");
    // `listenfd` takes the descriptor from these environment variables; nothing else reads them.
    std::env::set_var("LISTEN_FDS", "1");
    std::env::set_var("LISTEN_FDS_FIRST_FD", fd.to_string());
    std::env::remove_var("LISTEN_PID");
    let mut given = listenfd::ListenFd::from_env();
    let socket = given.take_tcp_listener(0).map_err(|e| fault(e.to_string()))?;
    let socket = socket.ok_or_else(|| fault("is not open".into()))?;
    socket.set_nonblocking(true).map_err(|e| fault(e.to_string()))?;
    TcpListener::from_std(socket).map_err(|e| fault(e.to_string()))
}
