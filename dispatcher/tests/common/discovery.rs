//! A simulated discovery with selectable failures: down, silent, slow, or closing in the middle of a response.

use super::{read_message, WAIT_TIMEOUT};
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, Weak};
use std::thread;
use std::time::{Duration, Instant};

/// How discovery responds to calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behaviour {
    /// Responds with the list, at once or when it changes.
    Up,
    /// Resets the connection.
    Down,
    /// Reads the call and does not respond; the connection stays open.
    Silent,
    /// Responds to new calls; calls left unanswered before stay unanswered.
    UpForNewCalls,
    /// As `Up`, but after a delay.
    Slow(Duration),
    /// Responds with 503 after a delay.
    Refusing(Duration),
    /// Sends the head and half of the body, then closes the connection.
    HalfBody,
    /// Sends the head and half of the body, then resets the connection.
    HalfBodyReset,
    /// Sends the head and half of a chunk, then closes the connection.
    HalfChunk,
}

/// A received call.
#[derive(Clone, Debug)]
pub struct Call {
    pub path: String,
    pub at: Instant,
}

impl Call {
    /// Whether the call requests the full list.
    pub fn requests_full_list(&self) -> bool {
        !self.path.contains("after=")
    }
}

struct State {
    version: u64,
    servers: String,
    behaviour: Behaviour,
    calls: Vec<Call>,
    connections: Vec<Weak<TcpStream>>,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("a lock")
    }
}

/// A simulated discovery with an address of its own.
pub struct Discovery {
    pub addr: SocketAddr,
    shared: Arc<Shared>,
}

/// One entry of the worker list.
pub fn entry(id: &str, addr: SocketAddr, state: &str, started_ms: u64) -> String {
    format!(
        r#"{{"id":"{id}","addr":"{addr}","zone":"a","kind":"m","cell":0,"state":"{state}","started_ms":{started_ms}}}"#
    )
}

impl Discovery {
    /// Starts with these entries as version 1.
    pub fn start(entries: &[String], behaviour: Behaviour) -> Discovery {
        let socket = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = socket.local_addr().expect("an address");
        let state = State {
            version: 1,
            servers: entries.join(","),
            behaviour,
            calls: Vec::new(),
            connections: Vec::new(),
        };
        let shared = Arc::new(Shared { state: Mutex::new(state), changed: Condvar::new() });
        let accepting = shared.clone();
        thread::spawn(move || {
            for stream in socket.incoming().flatten() {
                let (shared, stream) = (accepting.clone(), Arc::new(stream));
                accepting.lock().connections.push(Arc::downgrade(&stream));
                thread::spawn(move || serve(&shared, &stream));
            }
        });
        Discovery { addr, shared }
    }

    /// Switches to another behaviour. Pending calls are closed, except where the new behaviour leaves them unanswered.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        let mut state = self.shared.lock();
        state.behaviour = behaviour;
        if ![Behaviour::Silent, Behaviour::UpForNewCalls].contains(&behaviour) {
            let open = state.connections.drain(..).filter_map(|connection| connection.upgrade());
            open.for_each(|connection| drop(connection.shutdown(Shutdown::Both)));
        }
        self.shared.changed.notify_all();
    }

    /// Publishes a new list and returns its version.
    pub fn list(&self, entries: &[String]) -> u64 {
        let mut state = self.shared.lock();
        state.version += 1;
        state.servers = entries.join(",");
        self.shared.changed.notify_all();
        state.version
    }

    pub fn calls(&self) -> Vec<Call> {
        self.shared.lock().calls.clone()
    }

    /// Waits for a call that matches, not counting the first `skip` calls.
    pub fn wait_for_call(&self, skip: usize, fits: impl Fn(&Call) -> bool) -> Call {
        let none = |s: &mut State| !s.calls.iter().skip(skip).any(&fits);
        let (state, _) =
            self.shared.changed.wait_timeout_while(self.shared.lock(), WAIT_TIMEOUT, none).expect("a lock");
        let found = state.calls.iter().skip(skip).find(|call| fits(call)).cloned();
        found.unwrap_or_else(|| panic!("no matching call: {:?}", state.calls))
    }

    /// Waits until the program has acknowledged this version.
    pub fn wait_until_known(&self, version: u64) {
        self.wait_for_call(0, |call| number(&call.path, "after=") == Some(version));
    }
}

fn number(path: &str, name: &str) -> Option<u64> {
    let (_, rest) = path.split_once(name)?;
    rest.split(['&', ' ']).next()?.parse().ok()
}

fn serve(shared: &Shared, stream: &TcpStream) {
    let mut reader = BufReader::new(stream);
    while let Some(message) = read_message(&mut reader) {
        let path = message.start_line.split(' ').nth(1).unwrap_or_default().to_owned();
        let (after, wait) = (number(&path, "after="), number(&path, "wait_ms=").unwrap_or(0));
        let mut state = shared.lock();
        state.calls.push(Call { path, at: Instant::now() });
        shared.changed.notify_all();
        let behaviour = state.behaviour;
        match behaviour {
            Behaviour::Down => {
                let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
                return;
            }
            Behaviour::Silent => continue,
            Behaviour::Refusing(held) => {
                drop(state);
                thread::sleep(held);
                if !refuse(stream) {
                    return;
                }
                continue;
            }
            Behaviour::Slow(late) => {
                drop(state);
                thread::sleep(late);
                state = shared.lock();
            }
            _ => {}
        }
        // A pending watch is answered when the list or the behaviour changes.
        let old = |s: &mut State| after.is_some_and(|a| s.version <= a) && s.behaviour == behaviour;
        let span = Duration::from_millis(wait);
        let (state, _) = shared.changed.wait_timeout_while(state, span, old).expect("a lock");
        if state.behaviour == Behaviour::Silent {
            continue;
        }
        let full = after.is_none_or(|a| a < state.version);
        let servers = if full { state.servers.as_str() } else { "" };
        let body = format!(r#"{{"version":{},"full":{full},"servers":[{servers}]}}"#, state.version);
        let answered = state.behaviour;
        drop(state);
        if !answer(stream, &body, answered) {
            return;
        }
    }
}

/// Responds with 503; false if the connection has ended.
fn refuse(mut stream: &TcpStream) -> bool {
    stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n").is_ok()
}

/// Responds to a call; false if that ends the connection.
fn answer(mut stream: &TcpStream, body: &str, behaviour: Behaviour) -> bool {
    let half = &body[..body.len() / 2];
    let sized = format!("Content-Length: {}", body.len());
    let (framing, text) = match behaviour {
        Behaviour::HalfBody | Behaviour::HalfBodyReset => (sized, half.to_owned()),
        Behaviour::HalfChunk => ("Transfer-Encoding: chunked".into(), format!("{:x}\r\n{half}", body.len())),
        _ => (sized, body.to_owned()),
    };
    let written = stream.write_all(format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n{text}").as_bytes());
    match behaviour {
        Behaviour::HalfBody | Behaviour::HalfChunk => {
            let _ = stream.shutdown(Shutdown::Both);
            false
        }
        Behaviour::HalfBodyReset => {
            // The peer has to read what was written before the reset discards it.
            thread::sleep(Duration::from_millis(50));
            let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
            false
        }
        _ => written.is_ok(),
    }
}
