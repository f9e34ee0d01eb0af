//! A worker behind beanstalkd servers: one server for each member, so that the sender of a job is known. The server has no
//! queue limit; the worker reserves as many jobs as it has slots.

use super::worker::{Received, ReplyPath, Worker};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::io::{AsyncBufRead, AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::timeout;

const MAX_BODY: usize = 1 << 20;
const MAX_LINE: u64 = 224;

/// A job's state at the server, as reported by `stats-job`.
#[derive(Clone, Copy, PartialEq)]
pub enum Stage {
    Ready,
    Reserved,
}

#[derive(Default)]
struct State {
    last: u64,
    jobs: BTreeMap<u64, (Stage, String)>,
    /// Results ready to be reserved, with their tubes.
    ready: VecDeque<(u64, String, String)>,
    /// Ids of results that were reserved and not yet deleted.
    reserved_results: Vec<u64>,
}

/// The server between one member and a worker.
#[derive(Default)]
pub struct Server {
    state: Mutex<State>,
    changed: Notify,
}

impl Server {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// Marks a job as reserved by the worker.
    pub fn reserved(&self, id: u64) {
        if let Some(job) = self.state().jobs.get_mut(&id) {
            job.0 = Stage::Reserved;
        }
    }

    /// Removes a job that the worker has finished.
    pub fn remove(&self, id: u64) {
        self.state().jobs.remove(&id);
    }

    /// Puts a result from the worker into a tube.
    pub fn answer(&self, tube: &str, body: String) {
        let mut state = self.state();
        state.last += 1;
        let id = state.last;
        state.ready.push_back((id, tube.into(), body));
        drop(state);
        self.changed.notify_waiters();
    }

    fn fetch(&self, tubes: &[String]) -> Option<(u64, String)> {
        let mut state = self.state();
        let at = state.ready.iter().position(|(_, tube, _)| tubes.contains(tube))?;
        let (id, _, body) = state.ready.remove(at)?;
        state.reserved_results.push(id);
        Some((id, body))
    }

    async fn reserve(&self, tubes: &[String], within: Duration) -> Option<(u64, String)> {
        let wait = async {
            loop {
                let changed = self.changed.notified();
                tokio::pin!(changed);
                changed.as_mut().enable();
                if let Some(answer) = self.fetch(tubes) {
                    return answer;
                }
                changed.await;
            }
        };
        timeout(within, wait).await.ok()
    }

    /// Deletes a reserved result or a job that is not reserved; returns the call id if it was a job.
    fn delete(&self, id: u64) -> Option<Option<String>> {
        let mut state = self.state();
        if let Some(at) = state.reserved_results.iter().position(|f| *f == id) {
            state.reserved_results.swap_remove(at);
            return Some(None);
        }
        let ready = state.jobs.get(&id).is_some_and(|(stage, _)| *stage == Stage::Ready);
        ready.then(|| state.jobs.remove(&id).map(|(_, call)| call))
    }

    fn stats(&self, id: u64) -> Option<String> {
        let (stage, _) = *self.state().jobs.get(&id).map(|(stage, call)| (*stage, call.len())).as_ref()?;
        let (word, reserves) = if stage == Stage::Ready { ("ready", 0) } else { ("reserved", 1) };
        Some(format!("---\nid: {id}\nstate: {word}\nreserves: {reserves}\n"))
    }
}

/// Serves one connection of a member.
///
/// # Errors
/// The connection breaks.
pub async fn serve(worker: Arc<Worker>, mut stream: TcpStream, member: usize) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let server = worker.server(member);
    let (from, mut to) = stream.split();
    let mut from = BufReader::new(from);
    let mut watched = Vec::new();
    while let Some(line) = read_line(&mut from).await? {
        let words: Vec<&str> = line.split(' ').collect();
        let reply = match words[..] {
            ["use", tube] => format!("USING {tube}\r\n"),
            ["list-tube-used"] => "USING work\r\n".into(),
            ["watch", tube] => {
                watched.push(tube.to_owned());
                format!("WATCHING {}\r\n", watched.len() + 1)
            }
            ["ignore", _] => format!("WATCHING {}\r\n", watched.len()),
            ["put", _, _, _, size] => {
                let first = worker.now();
                let size = size.parse().ok().filter(|s| *s <= MAX_BODY).ok_or(io::ErrorKind::InvalidData)?;
                let mut body = vec![0; size + 2];
                from.read_exact(&mut body).await?;
                body.truncate(size);
                put(&worker, &server, String::from_utf8_lossy(&body).as_ref(), (member, first))
            }
            ["reserve-with-timeout", seconds] => {
                let within = Duration::from_secs(seconds.parse().unwrap_or(0));
                match server.reserve(&watched, within).await {
                    Some((id, body)) => format!("RESERVED {id} {}\r\n{body}\r\n", body.len()),
                    None => "TIMED_OUT\r\n".into(),
                }
            }
            ["stats-job", id] => match id.parse().ok().and_then(|id| server.stats(id)) {
                Some(stats) => format!("OK {}\r\n{stats}\r\n", stats.len()),
                None => "NOT_FOUND\r\n".into(),
            },
            ["delete", id] => match id.parse().ok().and_then(|id| server.delete(id)) {
                Some(call) => {
                    call.iter().for_each(|call| worker.cancelled(call, member));
                    "DELETED\r\n".into()
                }
                None => "NOT_FOUND\r\n".into(),
            },
            ["quit"] => return Ok(()),
            _ => "UNKNOWN_COMMAND\r\n".into(),
        };
        to.write_all(reply.as_bytes()).await?;
    }
    Ok(())
}

/// Handles `put`. The first line of the body is `ANSWERS REFERENCE KEY`.
fn put(worker: &Arc<Worker>, server: &Arc<Server>, body: &str, (member, first): (usize, u64)) -> String {
    let (head, rest) = body.split_once('\n').unwrap_or((body, ""));
    let words: Vec<&str> = head.split(' ').collect();
    let [answers, reference, key] = words[..] else { return "BAD_FORMAT\r\n".into() };
    let id = {
        let mut state = server.state();
        state.last += 1;
        let id = state.last;
        state.jobs.insert(id, (Stage::Ready, reference.into()));
        id
    };
    let key = (key != "-").then(|| key.to_owned());
    let reply_path = ReplyPath::Tube { server: server.clone(), id, answers: answers.into() };
    worker.accepts(Received { call: reference.into(), key, member, first, body: rest.into(), reply_path });
    format!("INSERTED {id}\r\n")
}

async fn read_line(from: &mut (impl AsyncBufRead + Unpin)) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    from.take(MAX_LINE).read_until(b'\n', &mut line).await?;
    let Some(text) = line.strip_suffix(b"\r\n") else { return Ok(None) };
    Ok(Some(String::from_utf8_lossy(text).into_owned()))
}
