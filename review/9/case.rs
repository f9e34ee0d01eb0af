//! A crowd of clients stops half way in requests: the dispatcher has to stay within its limit on memory.
#[path = "../common-2/lib.rs"]
mod lib;

use lib::*;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The limits in the configuration.
const MEMORY_MB: u64 = 48;
const SOCKETS: u64 = 1024;
/// Clients of the crowd; each declares a body of 64 KiB, sends these bytes of it, and stays.
const CROWD: usize = 1500;
const SENT: usize = 60_000;
const RUN: Duration = Duration::from_secs(8);

/// Memory of the process's own, in KiB: without the program text, which it may share.
fn memory_kib(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("RssAnon:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

fn half_a_request(front: SocketAddr, number: usize) -> std::io::Result<TcpStream> {
    use std::io::Write;
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(2))?;
    stream.set_write_timeout(Some(Duration::from_secs(2)))?;
    let head = format!(
        "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: crowd{number}\r\nX-Call-Class: quote-snap\r\n\
         X-Caller: adehye-securities\r\nX-Budget-Ms: 5000\r\nContent-Length: 65536\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(&vec![b'x'; SENT])?;
    Ok(stream)
}

fn main() {
    open_record();
    let folder = Folder::new("9");
    let front = free_address();
    let run = |message: &Message| note(&format!("a worker runs {}", message.field("x-call-id")));
    let listed: Vec<_> = (0..4)
        .map(|n| {
            let name = format!("s-{n}");
            let addr = start_worker(&name, front, Duration::from_millis(200), run);
            (name, addr, "gen3-5c".to_string())
        })
        .collect();
    let discovery = start_discovery(&listed);
    let text = config(front, discovery, "", &settings(2, CLASSES, r#""gen3-5c""#, true))
        .replace(r#""memory_mb":192"#, &format!(r#""memory_mb":{MEMORY_MB}"#))
        .replace(r#""sockets":1024"#, &format!(r#""sockets":{SOCKETS}"#));
    let file = folder.write("config.json", &text);
    let mut dispatcher =
        Dispatcher::start(&folder, "lineroute", None, &[("GW_CONFIG", file.display().to_string())], None);
    wait_until_up(front);
    let since = Instant::now();
    let over = Arc::new(AtomicBool::new(false));
    // The usual clients: four, one job after the other.
    let (served, lost) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let clients: Vec<_> = (0..4)
        .map(|number| {
            let (served, lost, over) = (served.clone(), lost.clone(), over.clone());
            thread::spawn(move || {
                let mut count = 0;
                while since.elapsed() < RUN && !over.load(Ordering::SeqCst) {
                    count += 1;
                    let id = format!("job{number}x{count}");
                    let fields = [
                        ("X-Call-Id", id.clone()),
                        ("X-Call-Class", "quote-snap".into()),
                        ("X-Caller", "adehye-securities".into()),
                        ("X-Budget-Ms", "5000".into()),
                    ];
                    let response = Client::connect(front, Duration::from_secs(6))
                        .and_then(|mut client| client.call("POST /api", &fields, b"quotes"));
                    match response {
                        Ok(response) => {
                            served.fetch_add(usize::from(response.status() == 200), Ordering::SeqCst);
                            note(&format!("{id}: {} {}", response.start, response.text()));
                        }
                        Err(error) => {
                            lost.fetch_add(1, Ordering::SeqCst);
                            note(&format!("{id}: no answer: {error}"));
                        }
                    }
                    thread::sleep(Duration::from_millis(50));
                }
            })
        })
        .collect();
    let crowd = trouble().then(|| {
        thread::sleep(Duration::from_secs(2));
        note(&format!("{CROWD} clients begin a request, send {SENT} of the 65536 bytes of its body, and stay"));
        (0..8usize)
            .map(|part| {
                thread::spawn(move || {
                    let numbers = (part..CROWD).step_by(8);
                    let streams: Vec<_> = numbers.filter_map(|number| half_a_request(front, number).ok()).collect();
                    thread::sleep(Duration::from_secs(4));
                    streams.len()
                })
            })
            .collect::<Vec<_>>()
    });
    // The platform: over its memory the dispatcher is killed.
    let mut most = 0;
    while since.elapsed() < RUN {
        match memory_kib(dispatcher.id()) {
            Some(memory) => most = most.max(memory),
            None => cannot_run("the dispatcher's memory can't be read"),
        }
        if most > MEMORY_MB * 1024 {
            over.store(true, Ordering::SeqCst);
            note(&format!("BROKEN: {most} KiB of {} KiB: the dispatcher is killed for memory", MEMORY_MB * 1024));
            dispatcher.kill();
            break;
        }
        thread::sleep(Duration::from_millis(20));
    }
    clients.into_iter().for_each(|client| client.join().unwrap());
    let stayed: usize = crowd.map_or(0, |parts| parts.into_iter().map(|part| part.join().unwrap()).sum());
    dispatcher.kill();
    drop(folder);
    let (served, lost) = (served.load(Ordering::SeqCst), lost.load(Ordering::SeqCst));
    let summary = format!(
        "at most {most} KiB of {} KiB; usual clients: {served} served, {lost} without an answer; crowd: {stayed} of {CROWD} got that far",
        MEMORY_MB * 1024
    );
    note(&summary);
    println!("{summary}");
    if served == 0 {
        cannot_run("nothing was served");
    }
    std::process::exit(i32::from(over.load(Ordering::SeqCst)));
}
