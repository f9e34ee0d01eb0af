//! The clients' listening socket: bound here, or inherited from the platform (`$GW_FD`), which holds it
//! across a replacement of the process. An inherited socket is never bound anew: the address is the
//! platform's, and a second bind would fail while the other process still serves it.

use std::net::SocketAddr;
use tokio::net::TcpListener;

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
        Origin::Bind(addr) => TcpListener::bind(addr).await.map_err(|e| format!("{addr}: {e}")),
        Origin::Inherited(fd) => inherit(fd),
    }
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
