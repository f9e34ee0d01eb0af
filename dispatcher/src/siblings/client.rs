//! Client for calls to a sibling process.

use super::protocol::{Answer, Call, Introduction, Request, MAX_ANSWER, PREFIX};
use std::io;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Pause before a retry after a busy reply.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Prefix of the console's reply when it has too many connections.
const BUSY_PREFIX: &str = "ERR busy";

/// Why a call failed.
#[derive(Debug, Error)]
pub enum CallError {
    /// The kernel refused the connection, or another process listens there: the sibling has exited.
    #[error("the process has exited")]
    Exited,
    /// No answer in time: the process may be alive but stalled.
    #[error("no answer in time")]
    TimedOut,
    /// The connection failed, or the reply is invalid.
    #[error("the call failed: {0}")]
    Failed(String),
}

impl From<io::Error> for CallError {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::ConnectionRefused => CallError::Exited,
            _ => CallError::Failed(error.to_string()),
        }
    }
}

/// Calls a sibling, with a time limit. If this future is dropped, the sibling may still have acted on the call.
///
/// # Errors
/// There was no valid answer in time.
pub async fn call(to: &Introduction, request: Request, within: Duration) -> Result<Answer, CallError> {
    let call = Call { token: to.token.clone(), request };
    let call = serde_json::to_string(&call).map_err(|e| CallError::Failed(e.to_string()))?;
    let line = format!("{PREFIX}{call}\n");
    let answered = async {
        loop {
            let answer = exchange(to, &line).await?;
            if !answer.starts_with(BUSY_PREFIX) {
                return parse(&answer);
            }
            tokio::time::sleep(BUSY_RETRY_DELAY).await;
        }
    };
    tokio::time::timeout(within, answered).await.unwrap_or(Err(CallError::TimedOut))
}

async fn exchange(to: &Introduction, line: &str) -> Result<String, CallError> {
    let mut stream = TcpStream::connect(to.console).await?;
    stream.write_all(line.as_bytes()).await?;
    let mut answer = String::new();
    stream.take(MAX_ANSWER as u64).read_to_string(&mut answer).await?;
    Ok(answer)
}

fn parse(answer: &str) -> Result<Answer, CallError> {
    match answer.trim_end().split_once(' ') {
        Some(("OK", json)) => serde_json::from_str(json).map_err(|e| CallError::Failed(e.to_string())),
        // A process with another token is not the intended one, which must have exited.
        Some(("ERR", reason)) if reason == super::WRONG_TOKEN => Err(CallError::Exited),
        _ => Err(CallError::Failed(format!("{answer:.80}"))),
    }
}
