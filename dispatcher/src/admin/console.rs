//! The line-protocol admin console at `admin_addr`: one command a connection, `health`, `cordon ID`, `uncordon ID`,
//! answered with a line that begins with `OK` or `ERR`. Cordons are out-of-service overrides, set and lifted
//! through the same [`Calls`] as the JSON listener: one core of commands.
//!
//! Protected against: callers that never finish their line (closed 3 s after they came), floods of connections
//! (a bound; those beyond it hear `ERR` at once), lines that are long or not text (`ERR` and a reason).

use super::Calls;
use crate::accept::AcceptRetry;
use crate::local_faults::open_with_retry;
use crate::siblings::protocol::{MAX_CALL, PREFIX};
use crate::siblings::ProcessParts;
use lineroute_control::admin_console::{parse, Command, Parsed, MAX_LINE};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tracing::info;

/// A line must be whole this long after the connection came.
const LINE_WITHIN: Duration = Duration::from_secs(3);
/// An answer that the caller does not take in this time is given up.
const WRITE_WITHIN: Duration = Duration::from_secs(1);
/// Connections at once; beyond these a caller is told so and closed. The sockets' budget counts them.
pub const MAX_CONNECTIONS: usize = 48;

/// Binds the console. What comes before [`serve`] waits in the queue of the socket.
///
/// # Errors
/// The address can't be bound.
pub async fn bind(at: SocketAddr) -> Result<TcpListener, String> {
    let socket =
        open_with_retry(|| TcpListener::bind(at)).await.map_err(|e| format!("admin_addr: {at}: {e}"))?;
    info!(addr = %at, "the admin console listens");
    Ok(socket)
}

/// Serves the console on this thread. Never ends; dropped, calls that were accepted go on.
pub async fn serve(socket: TcpListener, calls: Rc<Calls>) {
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
            serve_call(stream, &calls, full).await;
            open.set(open.get() - 1);
        });
        // One that finds no room ends before the next comes: guards the bound on descriptors.
        tokio::task::yield_now().await;
    }
}

async fn serve_call(mut stream: TcpStream, calls: &Calls, full: bool) {
    let answer = match full {
        true => "ERR busy: too many calls at once, come again in 1 s".to_owned(),
        false => match tokio::time::timeout(LINE_WITHIN, line(&mut stream)).await {
            Ok(Some(Line::Operator(Ok(command)))) => answer(command, calls).await,
            Ok(Some(Line::Operator(Err(reason)))) => format!("ERR {reason}"),
            Ok(Some(Line::Sibling(call))) => answer_sibling(&call, calls),
            Ok(None) => return,
            Err(_) => format!("ERR no whole line in {} s", LINE_WITHIN.as_secs()),
        },
    };
    let write = async {
        stream.write_all(format!("{answer}\n").as_bytes()).await?;
        stream.shutdown().await
    };
    let _ = tokio::time::timeout(WRITE_WITHIN, write).await;
}

/// A whole line.
enum Line {
    /// Of an operator.
    Operator(Result<Command, String>),
    /// Of a sibling process, without its first word.
    Sibling(String),
}

/// Reads until a whole line; `None` if the caller left first, or sent more than a sibling may.
async fn line(stream: &mut TcpStream) -> Option<Line> {
    let mut bytes = Vec::with_capacity(64);
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
            return String::from_utf8(call[..end].to_vec()).ok().map(Line::Sibling);
        }
        if call.len() > MAX_CALL {
            return None;
        }
    }
}

fn answer_sibling(call: &str, calls: &Calls) -> String {
    let Some(siblings) = &calls.siblings else { return "ERR no siblings are known here".into() };
    let parts =
        ProcessParts { overrides: &calls.overrides, targets: &calls.targets, is_up: calls.phase.is_up() };
    let answered = siblings
        .answer(call, &parts)
        .and_then(|answer| serde_json::to_string(&answer).map_err(|e| e.to_string()));
    match answered {
        Ok(json) => format!("OK {json}"),
        Err(reason) => format!("ERR {reason}"),
    }
}

async fn answer(command: Command, calls: &Calls) -> String {
    let since = Instant::now();
    let done = match &command {
        Command::Health => Ok("serving"),
        Command::Cordon(worker) => calls.cordon(worker).await,
        Command::Uncordon(worker) => calls.uncordon(worker).await,
    };
    let took_ms = since.elapsed().as_millis() as u64;
    match done {
        Ok(words) => {
            if !matches!(command, Command::Health) {
                info!(?command, answer = words, took_ms, "admin console");
            }
            format!("OK {words}")
        }
        Err(reason) => {
            info!(?command, %reason, took_ms, "admin console: not done");
            format!("ERR {reason}")
        }
    }
}
