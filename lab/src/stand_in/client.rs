//! Clients: open-loop arrivals, a front end that notices dead members late, and retries according to the class. A client
//! that loses its connection retries at another member with the same key.

use crate::http::{self, Reader};
use crate::scenario::{Class, Effect, Scenario};
use crate::trace::{Recorder, Silence, What};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout, timeout_at, Instant};

/// How long a client waits beyond its budget.
const SLACK: Duration = Duration::from_millis(350);
/// A client that stalls within its request receives an error or a closed connection within 3 s of the request's start; the rest
/// is the lab's own slack.
const STALL_TIMEOUT: Duration = Duration::from_millis(3400);
/// Minimum remaining budget for another try.
const MIN_BUDGET: Duration = Duration::from_millis(20);

/// The front end: the members to which clients are sent.
#[derive(Clone, Default)]
pub struct FrontEnd(Arc<Mutex<HashMap<usize, SocketAddr>>>);

impl FrontEnd {
    pub fn up(&self, member: usize, addr: SocketAddr) {
        self.0.lock().expect("no holder panics").insert(member, addr);
    }

    pub fn down(&self, member: usize, addr: SocketAddr) {
        let mut members = self.0.lock().expect("no holder panics");
        if members.get(&member) == Some(&addr) {
            members.remove(&member);
        }
    }

    pub fn count(&self) -> usize {
        self.0.lock().expect("no holder panics").len()
    }

    /// Picks a random member, other than `not` if there is another.
    fn choose(&self, rng: &mut fastrand::Rng, not: Option<usize>) -> Option<(usize, SocketAddr)> {
        let members = self.0.lock().expect("no holder panics");
        let mut all: Vec<(usize, SocketAddr)> = members.iter().map(|(m, a)| (*m, *a)).collect();
        all.sort_unstable();
        if all.len() > 1 {
            all.retain(|(m, _)| Some(*m) != not);
        }
        rng.choice(all)
    }
}

/// All clients of a run.
#[derive(Clone)]
pub struct Clients {
    pub scenario: Arc<Scenario>,
    pub recorder: Recorder,
    pub front_end: FrontEnd,
}

impl Clients {
    /// Submits jobs for the scenario's duration, then waits for the last of them.
    pub async fn run(self, seed: u64) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let parts: f64 = self.scenario.classes.iter().map(|c| c.part).sum();
        let until = Instant::now() + Duration::from_secs_f64(self.scenario.seconds);
        let mut next = Instant::now();
        let mut tasks = JoinSet::new();
        for job in 0.. {
            next += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / self.scenario.clients.rate);
            if next >= until {
                break;
            }
            sleep_until(next).await;
            let mut at = rng.f64() * parts;
            let class = self.scenario.classes.iter().find(|c| {
                at -= c.part;
                at < 0.0
            });
            let class = class.unwrap_or(&self.scenario.classes[0]).clone();
            if rng.f64() < self.scenario.clients.stalls {
                tasks.spawn(self.clone().stall(class.clone(), rng.fork()));
            }
            tasks.spawn(self.clone().job(job, class, rng.fork()));
            while tasks.try_join_next().is_some() {}
        }
        while tasks.join_next().await.is_some() {}
    }

    /// A client that sends part of a request and then stalls with the connection tasks.
    async fn stall(self, class: Class, mut rng: fastrand::Rng) {
        let Some((member, addr)) = self.front_end.choose(&mut rng, None) else { return };
        let Ok(Ok(mut stream)) = timeout(STALL_TIMEOUT, TcpStream::connect(addr)).await else { return };
        let began = Instant::now();
        let whole = format!(
            "POST {} HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: stall-{:x}\r\nX-Call-Class: {}\r\nX-Caller: acme\r\n\
            X-Budget-Ms: 2000\r\nContent-Length: 20\r\n\r\n0123456789",
            class.path,
            rng.u64(..),
            class.name
        );
        let part = &whole.as_bytes()[..rng.usize(1..=whole.len())];
        let heard = match stream.write_all(part).await {
            Ok(()) => timeout(STALL_TIMEOUT, stream.read(&mut [0])).await.is_ok(),
            Err(_) => true,
        };
        let waited = began.elapsed().as_micros() as u64;
        self.recorder.note(What::Stalled { member, waited, heard });
    }

    /// Runs one job through all its client's tries.
    async fn job(self, job: u64, class: Class, mut rng: fastrand::Rng) {
        let key = (class.effect == Effect::ByKey).then(|| format!("{:032x}", rng.u128(..)));
        let last = Instant::now() + Duration::from_millis(class.deadline_ms);
        let mut leaves = class.effect != Effect::Once && rng.f64() < self.scenario.clients.break_off;
        let (mut failed, mut wait) = (None, Duration::from_millis(self.scenario.clients.retry_ms));
        let mut served = false;
        for attempt in 0u32.. {
            let budget = last.saturating_duration_since(Instant::now());
            if budget < MIN_BUDGET {
                break;
            }
            let Some((member, addr)) = self.front_end.choose(&mut rng, failed) else {
                sleep(wait).await;
                continue;
            };
            // The first letter tells whether a call has a key; workers rely on it too.
            let sort = if key.is_some() { 'k' } else { 'p' };
            let call = format!("{sort}{job:x}-{attempt:x}-{:08x}", rng.u32(..));
            self.recorder.note(What::Asked {
                job,
                call: call.clone(),
                class: class.name.clone(),
                key: key.clone(),
                member,
                budget: budget.as_micros() as u64,
            });
            let leave = std::mem::take(&mut leaves)
                .then(|| budget.min(Duration::from_millis(class.aim_ms)).mul_f64(rng.f64() / 2.0));
            let heard = self.ask(addr, &call, &class, key.as_deref(), last, leave).await;
            let again = match heard {
                Ok((200, body, _)) => {
                    self.recorder.note(What::Answered { call, status: 200, body });
                    served = true;
                    break;
                }
                Ok((status, body, after)) => {
                    self.recorder.note(What::Answered { call, status, body });
                    if self.scenario.clients.heeds {
                        wait = after.unwrap_or(wait);
                    }
                    // Refused requests are safe to retry; failed ones only if the class allows it.
                    matches!(status, 429 | 503) || class.effect != Effect::Once
                }
                Err(why) => {
                    self.recorder.note(What::Unheard { call, why });
                    failed = Some(member);
                    why == Silence::Unreachable || class.effect != Effect::Once
                }
            };
            if !again {
                break;
            }
            sleep(wait.mul_f64(0.75 + rng.f64() / 2.0)).await;
        }
        self.recorder.note(What::Settled { job, served });
    }

    async fn ask(
        &self,
        addr: SocketAddr,
        call: &str,
        class: &Class,
        key: Option<&str>,
        last: Instant,
        leave: Option<Duration>,
    ) -> Result<(u16, String, Option<Duration>), Silence> {
        let Ok(Ok(mut stream)) = timeout_at(last, TcpStream::connect(addr)).await else {
            return Err(Silence::Unreachable);
        };
        let _ = stream.set_nodelay(true);
        // The budget counts from when the request is sent: if the listen queue overflows, the connection is established 1 s later.
        let budget = last.saturating_duration_since(Instant::now());
        if budget < MIN_BUDGET {
            return Err(Silence::Unreachable);
        }
        let key = key.map_or(String::new(), |key| format!("Idempotency-Key: {key}\r\n"));
        let headers = format!(
            "Host: app.svc\r\nX-Call-Id: {call}\r\nX-Call-Class: {}\r\nX-Caller: acme\r\nX-Budget-Ms: {}\r\n{key}",
            class.name,
            budget.as_millis()
        );
        let body = format!("{} {call}", class.name);
        let exchange = async {
            let first = format!("POST {} HTTP/1.1", class.path);
            http::write(&mut stream, &first, &headers, body.as_bytes()).await?;
            Reader::new(&mut stream).answer().await
        };
        let wait_limit = leave.unwrap_or(budget + SLACK);
        match timeout(wait_limit, exchange).await {
            Ok(Ok(Some(answer))) => {
                let after = answer.header("retry-after").and_then(|a| a.parse::<f64>().ok());
                let after = after.map(|seconds| Duration::from_secs_f64(seconds.clamp(0.0, 60.0)));
                Ok((answer.status, answer.text(), after))
            }
            Ok(Ok(None)) => Err(Silence::Broken),
            Ok(Err(e)) if e.kind() == io::ErrorKind::InvalidData => Ok((0, e.to_string(), None)),
            Ok(Err(_)) => Err(Silence::Broken),
            Err(_) if leave.is_some() => Err(Silence::Left),
            Err(_) => Err(Silence::Waited),
        }
    }
}
