//! Minimal services for trying out lineroute: discovery at 127.0.0.1:8500, two workers at ports 9101 and 9102 that accept
//! a job, work for a while and report to the dispatcher at 127.0.0.1:9000, and two plain HTTP servers at ports 9201 and
//! 9202 that count the bytes of each request. Run with `cargo run --example toy`.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

const DISPATCHER: &str = "127.0.0.1:9000";
const WORKERS: [(&str, u16, u64); 2] = [("toy-fast", 9101, 200), ("toy-slow", 9102, 400)];

struct Request {
    request_line: String,
    headers: HashMap<String, String>,
    body: String,
}

fn read_head(stream: &mut impl BufRead) -> Option<(String, HashMap<String, String>)> {
    let mut line = || {
        let mut line = String::new();
        (stream.read_line(&mut line).ok()? > 0).then(|| line.trim_end().to_owned())
    };
    let request_line = line()?;
    let mut headers = HashMap::new();
    while let Some((name, value)) = line()?.split_once(':') {
        headers.insert(name.to_lowercase(), value.trim().to_owned());
    }
    Some((request_line, headers))
}

fn read(stream: &mut impl BufRead) -> Option<Request> {
    let (request_line, headers) = read_head(stream)?;
    let length = headers.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(Request { request_line, headers, body: String::from_utf8_lossy(&body).into_owned() })
}

/// Serves every connection on its own thread; `answer` returns the status and the body.
fn serve(
    port: u16,
    answer: impl Fn(Request) -> (&'static str, String) + Clone + Send + 'static,
) -> io::Result<()> {
    let socket = TcpListener::bind(("127.0.0.1", port))?;
    thread::spawn(move || {
        for stream in socket.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || -> io::Result<()> {
                let (mut reader, mut stream) = (BufReader::new(stream.try_clone()?), stream);
                while let Some(request) = read(&mut reader) {
                    let (status, body) = answer(request);
                    write!(stream, "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len())?;
                }
                Ok(())
            });
        }
    });
    Ok(())
}

/// Reads and discards a body of any size; returns its length in bytes.
fn discard_body(reader: &mut impl BufRead, headers: &HashMap<String, String>) -> io::Result<u64> {
    if headers.get("transfer-encoding").is_none() {
        let length = headers.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        return io::copy(&mut Read::take(&mut *reader, length), &mut io::sink());
    }
    let mut total = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let size = u64::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
        // The chunk's data, followed by a line end.
        total += io::copy(&mut Read::take(&mut *reader, size), &mut io::sink())?;
        reader.read_line(&mut line)?;
        if size == 0 {
            return Ok(total);
        }
    }
}

/// Starts a plain HTTP server that reports the length of each request's body.
fn serve_web(name: &'static str, port: u16) -> io::Result<()> {
    let socket = TcpListener::bind(("127.0.0.1", port))?;
    thread::spawn(move || {
        for stream in socket.incoming().flatten() {
            thread::spawn(move || -> io::Result<()> {
                let (mut reader, mut stream) = (BufReader::new(stream.try_clone()?), stream);
                while let Some((request_line, headers)) = read_head(&mut reader) {
                    let bytes = discard_body(&mut reader, &headers)?;
                    println!("{name}: {request_line}, {bytes} bytes");
                    let body = format!("{name} got {bytes} bytes with {request_line}\n");
                    let fields = format!("X-Served-By: {name}\r\nContent-Length: {}", body.len());
                    write!(stream, "HTTP/1.1 200 OK\r\n{fields}\r\n\r\n{body}")?;
                }
                Ok(())
            });
        }
    });
    Ok(())
}

fn report_state(id: &str, worker: &str, state: &str, result: &str) -> io::Result<()> {
    let mut stream = TcpStream::connect(DISPATCHER)?;
    let body = format!(r#"{{"id":"{id}","from":"{worker}","state":"{state}","result":"{result}"}}"#);
    let length = body.len();
    write!(
        stream,
        "POST /_jobs/news HTTP/1.1\r\nHost: {DISPATCHER}\r\nContent-Length: {length}\r\n\r\n{body}"
    )?;
    read(&mut BufReader::new(stream)).map(drop).ok_or(io::ErrorKind::UnexpectedEof.into())
}

fn main() -> io::Result<()> {
    for (name, port, ms) in WORKERS {
        serve(port, move |request| {
            println!("{name}: {}", request.request_line);
            if !request.request_line.starts_with("POST ") {
                return ("200 OK", String::new());
            }
            let id = request.headers.get("x-call-id").cloned().unwrap_or_default();
            thread::spawn(move || -> io::Result<()> {
                report_state(&id, name, "started", "")?;
                thread::sleep(Duration::from_millis(ms));
                report_state(&id, name, "done", &format!("{name} did {} bytes", request.body.len()))
            });
            ("202 Accepted", String::new())
        })?;
    }
    let servers = WORKERS.map(|(name, port, _)| {
        format!(
            r#"{{"id":"{name}","addr":"127.0.0.1:{port}","zone":"here","kind":"toy","cell":0,"state":"up"}}"#
        )
    });
    let list = format!(r#"{{"version":1,"full":true,"servers":[{}]}}"#, servers.join(","));
    serve(8500, move |request| {
        // The list never changes, so a watch waits until its time-out.
        if request.request_line.contains("after=1") {
            let wait =
                request.request_line.split("wait_ms=").nth(1).and_then(|w| w.split(' ').next()?.parse().ok());
            thread::sleep(Duration::from_millis(wait.unwrap_or(0)));
            return ("200 OK", r#"{"version":1,"full":false,"servers":[]}"#.into());
        }
        ("200 OK", list.clone())
    })?;
    serve_web("web-1", 9201)?;
    serve_web("web-2", 9202)?;
    println!("discovery, two workers and two plain servers are up; stop with ^C");
    loop {
        thread::park();
    }
}
