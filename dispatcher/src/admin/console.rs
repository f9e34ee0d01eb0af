//! The line-protocol admin console at `admin_addr`: one command per connection, `health`, `cordon ID` or `uncordon ID`,
//! answered with one line that begins with `OK` or `ERR`. Cordons are out-of-service overrides, set and lifted
//! through the same [`AdminService`] as on the JSON listener.
//!
//! Protected against callers that never finish their line (closed after 3 s), floods of connections
//! (those beyond the limit get `ERR` at once), and lines that are too long or not text (`ERR` and a reason).

use super::AdminService;
use crate::accept::AcceptRetry;
use crate::local_faults::open_with_retry;
use crate::memory::{MemoryBudget, MemoryLease, Purpose};
use crate::siblings::protocol::{MAX_CALL, PREFIX};
use crate::siblings::ProcessContext;
use lineroute_control::admin_console::{parse, Command, Parsed, MAX_LINE};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tracing::info;

/// Time limit for receiving a complete line, from the start of the connection.
const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// Time limit for writing the reply.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Concurrent connections; further callers get an error and are closed. Counted in the limit on sockets.
pub const MAX_CONNECTIONS: usize = 48;

/// Bytes of a sibling's call that are held without a lease.
const SHORT_CALL_BYTES: usize = 1 << 10;
/// Bytes leased for a longer call: the line, and its text while it is parsed.
const LONG_CALL_LEASE_BYTES: usize = 2 * MAX_CALL;
/// Reply to a call that can't be handled now; siblings repeat it.
const BUSY_REPLY: &str = "ERR busy: too many calls at once, come again in 1 s";

/// Binds the console. Connections made before [`serve`] wait in the queue of the socket.
///
/// # Errors
/// The address can't be bound.
pub async fn bind(at: SocketAddr) -> Result<TcpListener, String> {
    let socket =
        open_with_retry(|| TcpListener::bind(at)).await.map_err(|e| format!("admin_addr: {at}: {e}"))?;
    info!(addr = %at, "listening for admin console connections");
    Ok(socket)
}

/// Serves the console on this thread. Never returns; calls that were accepted continue if it is dropped.
pub async fn serve(socket: TcpListener, calls: Rc<AdminService>) {
    let open = Rc::new(Cell::new(0usize));
    let mut retry = AcceptRetry::new("admin console");
    loop {
        let stream = match socket.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                retry.failed(&e).await;
                continue;
            }
        };
        retry.succeeded();
        let (open, calls) = (open.clone(), calls.clone());
        let full = open.get() >= MAX_CONNECTIONS;
        open.set(open.get() + 1);
        actix_rt::spawn(async move {
            serve_connection(stream, &calls, full).await;
            open.set(open.get() - 1);
        });
        // Lets a rejected connection close before the next accept, which keeps to the limit on file descriptors.
        tokio::task::yield_now().await;
    }
}

async fn serve_connection(mut stream: TcpStream, calls: &AdminService, full: bool) {
    let answer = match full {
        true => BUSY_REPLY.to_owned(),
        false => match tokio::time::timeout(READ_TIMEOUT, read_line(&mut stream, &calls.memory)).await {
            Ok(Some(Line::Operator(Ok(command)))) => answer(command, calls).await,
            Ok(Some(Line::Operator(Err(reason)))) => format!("ERR {reason}"),
            // The lease is held until the call is answered.
            Ok(Some(Line::Sibling(call, _lease))) => answer_sibling(&call, calls),
            Ok(Some(Line::NoMemory)) => BUSY_REPLY.to_owned(),
            Ok(None) => return,
            Err(_) => format!("ERR no whole line in {} s", READ_TIMEOUT.as_secs()),
        },
    };
    let write = async {
        stream.write_all(format!("{answer}\n").as_bytes()).await?;
        stream.shutdown().await
    };
    let _ = tokio::time::timeout(WRITE_TIMEOUT, write).await;
}

/// A complete line.
enum Line {
    /// An operator's command, or why it is invalid.
    Operator(Result<Command, String>),
    /// A call from a sibling process, without its prefix, and the memory leased for it.
    Sibling(String, Option<MemoryLease>),
    /// There is no memory for the rest of a call. The sibling repeats it.
    NoMemory,
}

/// Reads one line; `None` if the caller disconnected first, or sent more than a sibling may. Memory for a sibling's call is leased
/// before more than [`SHORT_CALL_BYTES`] of it are held.
async fn read_line(stream: &mut TcpStream, memory: &MemoryBudget) -> Option<Line> {
    let mut bytes = Vec::with_capacity(64);
    let mut lease = None;
    let mut chunk = [0u8; MAX_LINE];
    loop {
        let got = stream.read(&mut chunk).await.ok().filter(|n| *n > 0)?;
        bytes.extend_from_slice(&chunk[..got]);
        let Some(call) = bytes.strip_prefix(PREFIX.as_bytes()) else {
            if let Parsed::Complete(command) = parse(&bytes) {
                return Some(Line::Operator(command));
            }
            continue;
        };
        if chunk[..got].contains(&b'\n') {
            let end = call.iter().position(|byte| *byte == b'\n')?;
            return String::from_utf8(call[..end].to_vec()).ok().map(|call| Line::Sibling(call, lease));
        }
        if call.len() > MAX_CALL {
            return None;
        }
        if call.len() > SHORT_CALL_BYTES && lease.is_none() {
            let Some(leased) = memory.try_lease(LONG_CALL_LEASE_BYTES, Purpose::Worker) else {
                return Some(Line::NoMemory);
            };
            lease = Some(leased);
            bytes.reserve_exact(PREFIX.len() + MAX_CALL + MAX_LINE - bytes.len());
        }
    }
}

fn answer_sibling(call: &str, calls: &AdminService) -> String {
    let Some(siblings) = &calls.siblings else { return "ERR no siblings are known here".into() };
    let context = ProcessContext {
        overrides: &calls.overrides,
        targets: &calls.targets,
        tubes: &calls.tubes,
        memory: &calls.memory,
        is_up: calls.lifecycle.is_ready(),
    };
    let answered = siblings
        .answer(call, &context)
        .and_then(|answer| serde_json::to_string(&answer).map_err(|e| e.to_string()));
    match answered {
        Ok(json) => format!("OK {json}"),
        Err(reason) => format!("ERR {reason}"),
    }
}

async fn answer(command: Command, calls: &AdminService) -> String {
    let since = Instant::now();
    let done = match &command {
        Command::Health => Ok("serving"),
        Command::Cordon(worker) => calls.cordon(worker).await,
        Command::Uncordon(worker) => calls.uncordon(worker).await,
    };
    let took_ms = since.elapsed().as_millis() as u64;
    match done {
        Ok(message) => {
            if !matches!(command, Command::Health) {
                info!(?command, answer = message, took_ms, "admin console");
            }
            format!("OK {message}")
        }
        Err(reason) => {
            info!(?command, %reason, took_ms, "admin console: not done");
            format!("ERR {reason}")
        }
    }
}
