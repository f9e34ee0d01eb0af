//! Health checks of workers on behalf of the fleet. The fencing token is read once the connection is writable,
//! and the request is written in the same step, so that no wait separates the check of the lease from the
//! write.

use super::client::{CallError, ReceivedBody};
use crate::fleet::FencedOperation;
use crate::local_faults::is_local;
use crate::memory::MemoryBudget;
use crate::stops;
use bytes::{Bytes, BytesMut};
use http::Method;
use lineroute_http1::{ResponseDecoder, ResponseEvent};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Requests a path with a fencing token. `None`: the lease of this process has expired, and nothing was sent.
///
/// # Errors
/// No connection, no answer in time, an invalid answer, or no memory for it.
pub async fn health_check(
    addr: SocketAddr,
    path: &str,
    operation: &FencedOperation,
    (connect_timeout, exchange_timeout): (Duration, Duration),
    memory: &MemoryBudget,
) -> Result<Option<(u16, Bytes)>, CallError> {
    let mut stream = match timeout(connect_timeout, TcpStream::connect(addr)).await {
        Err(_) => return Err(CallError::NoConnection("connect timed out".into())),
        Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => return Err(CallError::Refused),
        Ok(Err(e)) if is_local(&e) => return Err(CallError::Local(e.to_string())),
        Ok(Err(e)) => return Err(CallError::NoConnection(e.to_string())),
        Ok(Ok(stream)) => stream,
    };
    let broken = |e: std::io::Error| CallError::Broken(e.to_string());
    let exchange = async {
        stream.writable().await.map_err(broken)?;
        stops::at("act.look");
        let Some(token) = operation.fencing_token_header() else { return Ok(None) };
        let head =
            format!("GET {path} HTTP/1.1\r\nHost: {addr}\r\nConnection: close\r\nX-Fence: {token}\r\n\r\n");
        stops::at("act.write");
        let written = stream.try_write(head.as_bytes()).map_err(broken)?;
        if written < head.len() {
            // A new connection accepts far more than this at once. Writing the rest later would bypass the
            // check of the lease.
            return Err(CallError::Broken("request could be written only in part".into()));
        }
        stops::at("act.written");
        read_answer(&mut stream, memory).await.map(Some)
    };
    timeout(exchange_timeout, exchange).await.unwrap_or(Err(CallError::Timeout))
}

async fn read_answer(stream: &mut TcpStream, memory: &MemoryBudget) -> Result<(u16, Bytes), CallError> {
    let broken = |reason: String| CallError::Broken(reason);
    let (mut input, mut body) = (BytesMut::new(), ReceivedBody::leased());
    let (mut incoming, mut status) = (ResponseDecoder::new(Method::GET), 0);
    loop {
        while let Some(event) = incoming.next(&mut input).map_err(|e| broken(e.to_string()))? {
            match event {
                ResponseEvent::Head(head) => status = head.status.as_u16(),
                ResponseEvent::Data(data) => body.push(&data, memory)?,
                ResponseEvent::Interim(_) | ResponseEvent::Trailers(_) | ResponseEvent::End { .. } => {}
            }
        }
        if incoming.is_finished() {
            return Ok((status, body.into_bytes()));
        }
        if stream.read_buf(&mut input).await.map_err(|e| broken(e.to_string()))? == 0 {
            incoming.eof().map_err(|e| broken(e.to_string()))?;
            return Ok((status, body.into_bytes()));
        }
    }
}
