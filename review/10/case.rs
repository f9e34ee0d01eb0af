//! The process is replaced while a bad client sends the ids of open requests: both processes are one dispatcher, so it is owed an
//! error, and no worker may get a second attempt of an open request.
#[path = "../common-2/lib.rs"]
mod lib;

use lib::*;
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const WORKERS: usize = 2;
const RUNS_FOR: Duration = Duration::from_millis(1500);
const PAUSE: Duration = Duration::from_millis(150);
const LOAD: Duration = Duration::from_secs(9);
const REPLACED_AFTER: Duration = Duration::from_secs(3);
/// SIGKILL follows SIGTERM no sooner than the longest deadline (3 s at most) and 0.7 s.
const KILL_AFTER: Duration = Duration::from_millis(3700);

/// What the workers have seen: ids that run, at which worker, and how often an id came while it ran.
#[derive(Default)]
struct Seen {
    running: HashMap<String, String>,
    doubled: usize,
    runs: HashMap<String, usize>,
}

fn start_platform_worker(name: String, front: SocketAddr, seen: Arc<Mutex<Seen>>) -> SocketAddr {
    let (socket, addr) = listen();
    serve_connections(socket, move |mut stream| {
        let mut input = BufReader::new(stream.try_clone().unwrap());
        while let Ok(request) = read_message(&mut input) {
            let is_job = request.start.starts_with("POST ");
            let status = if is_job { "202 Accepted" } else { "200 OK" };
            if stream.write_all(format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n").as_bytes()).is_err() {
                return;
            }
            let id = request.field("x-call-id").to_owned();
            if let Some(id) = request.start.strip_prefix("DELETE /jobs/") {
                let id = id.split(' ').next().unwrap().to_owned();
                note(&format!("{name}: {id} is given up"));
                seen.lock().unwrap().running.remove(&id);
            }
            if !is_job {
                continue;
            }
            let body = request.text();
            {
                let mut seen = seen.lock().unwrap();
                *seen.runs.entry(id.clone()).or_default() += 1;
                if let Some(at) = seen.running.insert(id.clone(), name.clone()) {
                    seen.doubled += 1;
                    note(&format!("BROKEN: {name} gets {id} ({body}), which runs at {at} and was not given up"));
                } else {
                    note(&format!("{name}: runs {id} ({body})"));
                }
            }
            let (name, seen) = (name.clone(), seen.clone());
            thread::spawn(move || {
                tell(front, &format!(r#"{{"id":"{id}","from":"{name}","state":"started"}}"#));
                thread::sleep(RUNS_FOR);
                seen.lock().unwrap().running.remove(&id);
                tell(front, &format!(r#"{{"id":"{id}","from":"{name}","state":"done","result":"result for {body}"}}"#));
            });
        }
    });
    addr
}

fn submit(front: SocketAddr, id: &str, body: &str) -> String {
    let fields = [
        ("X-Call-Id", id.to_owned()),
        ("X-Call-Class", "price-chart".into()),
        ("X-Caller", "adehye-securities".into()),
        ("X-Budget-Ms", "5000".into()),
    ];
    let response = Client::connect(front, Duration::from_millis(5_500))
        .and_then(|mut client| client.call("POST /api", &fields, body.as_bytes()));
    match response {
        Ok(response) if response.status() == 200 => format!("200 {}", response.text()),
        Ok(response) => response.start,
        Err(error) => format!("no answer: {error}"),
    }
}

fn main() {
    open_record();
    let folder = Folder::new("10");
    let (socket, front) = listen();
    let seen = Arc::new(Mutex::new(Seen::default()));
    let listed: Vec<_> = (0..WORKERS)
        .map(|n| {
            let name = format!("s-{n}");
            (name.clone(), start_platform_worker(name, front, seen.clone()), "gen3-5c".to_string())
        })
        .collect();
    let discovery = start_discovery(&listed);
    let file = folder.write("config.json", &config(front, discovery, "", &settings(2, CLASSES, r#""gen3-5c""#, false)));
    let start = |name: &str| {
        let admin = free_address();
        let variables = [
            ("GW_CONFIG", file.display().to_string()),
            ("GW_FD", "3".to_string()),
            ("GW_ADMIN_ADDR", admin.to_string()),
        ];
        (Dispatcher::start(&folder, name, None, &variables, Some(descriptor(&socket))), admin)
    };
    let (mut old, _) = start("old");
    wait_until_up(front);
    let (foreign, unserved, bad_served) =
        (Arc::new(Mutex::new(0)), Arc::new(Mutex::new(0)), Arc::new(Mutex::new(0)));
    let load = {
        let (foreign, unserved, bad_served) = (foreign.clone(), unserved.clone(), bad_served.clone());
        thread::spawn(move || {
            let since = Instant::now();
            let mut clients = Vec::new();
            while since.elapsed() < LOAD {
                let id = format!("{:016x}", 0x9b1f_03aa_0000_0000u64 + clients.len() as u64);
                let (foreign, unserved, own) = (foreign.clone(), unserved.clone(), id.clone());
                let bad_served = bad_served.clone();
                clients.push(thread::spawn(move || {
                    // The bad client sends the same id while the request is open.
                    let stolen = own.clone();
                    let bad = thread::spawn(move || {
                        thread::sleep(Duration::from_millis(700));
                        let answer = submit(front, &stolen, "the bad client");
                        note(&format!("bad client, {stolen}: {answer}"));
                        *bad_served.lock().unwrap() += usize::from(answer.starts_with("200"));
                    });
                    let answer = submit(front, &own, "its own client");
                    note(&format!("{own}: {answer}"));
                    if answer == "200 result for the bad client" {
                        *foreign.lock().unwrap() += 1;
                        note(&format!("BROKEN: the client of {own} got the result for the bad client"));
                    }
                    *unserved.lock().unwrap() += usize::from(!answer.starts_with("200"));
                    bad.join().unwrap();
                }));
                thread::sleep(PAUSE);
            }
            let count = clients.len();
            clients.into_iter().for_each(|client| client.join().unwrap());
            count
        })
    };
    let mut new = None;
    if trouble() {
        thread::sleep(REPLACED_AFTER);
        let (mut process, admin) = start("new");
        if let Err(reason) = wait_for_yes(&mut process, admin) {
            cannot_run(&reason);
        }
        note("SIGTERM to the old process");
        old.signal(SIGTERM);
        thread::sleep(KILL_AFTER);
        old.kill();
        new = Some(process);
    }
    let count = load.join().unwrap();
    drop((old, new));
    drop(folder);
    let seen = seen.lock().unwrap();
    let summary = format!(
        "{count} requests; {} attempts of requests that ran; usual clients: {} got the bad client's result, {} none; bad client: {} served",
        seen.doubled,
        foreign.lock().unwrap(),
        unserved.lock().unwrap(),
        bad_served.lock().unwrap()
    );
    note(&summary);
    println!("{summary}");
    if *unserved.lock().unwrap() > count / 2 {
        cannot_run("hardly anything was served");
    }
    std::process::exit(i32::from(seen.doubled > 0 || *foreign.lock().unwrap() > 0));
}
