//! A worker that is behind a beanstalkd server: one server for each member, so that it is known who put what. The
//! server takes whatever comes; the worker reserves as many jobs as it has slots.

use super::worker::{Came, ReplyPath, Worker};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::io::{AsyncBufRead, AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::timeout;

const MOST_BODY: usize = 1 << 20;
const MOST_LINE: u64 = 224;

/// Where a job is: the server's state of it, as `stats-job` tells.
#[derive(Clone, Copy, PartialEq)]
pub enum Stage {
    Ready,
    Reserved,
}

#[derive(Default)]
struct State {
    last: u64,
    jobs: BTreeMap<u64, (Stage, String)>,
    /// Answers that wait, by tube.
    ready: VecDeque<(u64, String, String)>,
    /// Answers that were fetched and not deleted yet; their ids are the servers's own.
    fetched: Vec<u64>,
}

/// One member's server in front of a worker.
#[derive(Default)]
pub struct Server {
    state: Mutex<State>,
    changed: Notify,
}

impl Server {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// The worker has reserved a job, or is done with it.
    pub fn reserved(&self, id: u64) {
        if let Some(job) = self.state().jobs.get_mut(&id) {
            job.0 = Stage::Reserved;
        }
    }

    pub fn gone(&self, id: u64) {
        self.state().jobs.remove(&id);
    }

    /// The worker puts an answer.
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
        state.fetched.push(id);
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

    /// Deletes an answer or a job that nobody has reserved; the job's call, if it was one.
    fn delete(&self, id: u64) -> Option<Option<String>> {
        let mut state = self.state();
        if let Some(at) = state.fetched.iter().position(|f| *f == id) {
            state.fetched.swap_remove(at);
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
/// It breaks.
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
                let size = size.parse().ok().filter(|s| *s <= MOST_BODY).ok_or(io::ErrorKind::InvalidData)?;
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
                    call.iter().for_each(|call| worker.waived(call, member));
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

/// `ANSWERS REFERENCE KEY` stands in the first line.
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
    let way = ReplyPath::Tube { server: server.clone(), id, answers: answers.into() };
    worker.takes(Came { call: reference.into(), key, member, first, body: rest.into(), way });
    format!("INSERTED {id}\r\n")
}

async fn read_line(from: &mut (impl AsyncBufRead + Unpin)) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    from.take(MOST_LINE).read_until(b'\n', &mut line).await?;
    let Some(text) = line.strip_suffix(b"\r\n") else { return Ok(None) };
    Ok(Some(String::from_utf8_lossy(text).into_owned()))
}
