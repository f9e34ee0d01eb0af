//! The clients' listening socket: bound here, or inherited from the platform (`$GW_FD`), which holds it
//! across a replacement of the process. An inherited socket is never bound anew: the address is the
//! platform's, and a second bind would fail while the other process still serves it.

use crate::local_faults::open_with_retry;
use socket2::SockRef;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpStream};
use tracing::warn;

/// Accepting may fail so often in a row while a queue is emptied: a connection was aborted, say, or descriptors are short for
/// a moment.
const ACCEPT_FAILURES: usize = 64;

/// Where the clients' socket comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// Bind this address.
    Bind(SocketAddr),
    /// Take the listening socket that this descriptor holds.
    Inherited(i32),
}

/// Opens the clients' socket.
///
/// # Errors
/// The address can't be bound, or the descriptor holds no listening TCP socket.
pub async fn open(origin: Origin) -> Result<TcpListener, String> {
    match origin {
        Origin::Bind(addr) => {
            open_with_retry(|| TcpListener::bind(addr)).await.map_err(|e| format!("{addr}: {e}"))
        }
        Origin::Inherited(fd) => inherit(fd),
    }
}

/// The connections that stand in the queue of a socket, as the kernel knows by now. Nothing is awaited.
pub fn queued(socket: &TcpListener) -> impl Iterator<Item = (TcpStream, SocketAddr)> + '_ {
    let mut failures = 0;
    std::iter::from_fn(move || loop {
        match accept_now(socket) {
            Ok(accepted) => {
                failures = 0;
                return Some(accepted);
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => return None,
            Err(e) if failures == ACCEPT_FAILURES => {
                warn!(error = %e, "accept: the rest of the queue is left");
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
    // The descriptor is handed over by way of the variables that `listenfd` reads; nothing else reads them.
    std::env::set_var("LISTEN_FDS", "1");
    std::env::set_var("LISTEN_FDS_FIRST_FD", fd.to_string());
    std::env::remove_var("LISTEN_PID");
    let mut given = listenfd::ListenFd::from_env();
    let socket = given.take_tcp_listener(0).map_err(|e| fault(e.to_string()))?;
    let socket = socket.ok_or_else(|| fault("is not open".into()))?;
    socket.set_nonblocking(true).map_err(|e| fault(e.to_string()))?;
    TcpListener::from_std(socket).map_err(|e| fault(e.to_string()))
}
