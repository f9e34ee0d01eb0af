//! Processes of the program: their files, their start, their end, and where they really listen.

use crate::fault_plans::FaultPlans;
use crate::http::{self, Reader};
use crate::relay::{LinkConditions, TcpRelay, UdpRelay};
use crate::scenario::{Effect, Peer, Point, PointAct, Protocol, Scenario};
use crate::stand_in::client::FrontEnd;
use crate::stand_in::discovery::{Discovery, Listed};
use crate::trace::{Recorder, What};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Map, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::{Child, ChildStderr, Command};
use tokio::sync::watch;
use tokio::time::timeout;

/// A process that has not listened by then does not start.
const START: Duration = Duration::from_secs(10);
/// Between two looks at whether a process has stopped itself.
const LOOK_EVERY: Duration = Duration::from_millis(10);
/// The key of links between members, and of the admin listener: of tests, and of nothing else.
const FLEET_KEY: &str = "5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a";
pub const ADMIN_KEY: &str = "key-of-the-lab-0123456";

/// Every link of a run.
pub struct Links {
    /// `work[member][worker]`, `calls[worker][member]`, `discovery[member]`, `fleet[a][b]`.
    pub work: Vec<Vec<TcpRelay>>,
    pub calls: Vec<Vec<TcpRelay>>,
    pub discovery: Vec<TcpRelay>,
    pub fleet: Vec<Vec<TcpRelay>>,
    pub peer_relay: Option<UdpRelay>,
}

impl Links {
    /// Changes the links between a member and whoever is meant; `out` is from the member, `back` to it.
    pub fn set(&self, member: usize, peer: &Peer, change: &dyn Fn(&mut LinkConditions, bool)) {
        // The side that connects is `ahead`: true where that is the member.
        let with = |other: usize| {
            if other != member {
                self.fleet[member][other].set(|w| change(w, true));
                self.fleet[other][member].set(|w| change(w, false));
            }
        };
        match peer {
            Peer::Member(other) => with(*other),
            Peer::Members => (0..self.fleet.len()).for_each(with),
            Peer::Worker(worker) => self.work[member][*worker].set(|w| change(w, true)),
            Peer::Calls(worker) => self.calls[*worker][member].set(|w| change(w, false)),
            Peer::Workers => {
                self.work[member].iter().for_each(|relay| relay.set(|w| change(w, true)));
                self.calls.iter().for_each(|of| of[member].set(|w| change(w, false)));
            }
            Peer::Discovery => self.discovery[member].set(|w| change(w, true)),
        }
    }
}

type BoxFuture = std::pin::Pin<Box<dyn std::future::Future<Output = ()> + Send>>;

/// How a process is started.
#[derive(Clone, Copy, Debug, Default)]
pub struct Start {
    /// Without what it kept.
    pub wipe: bool,
    pub disk_kb: Option<u64>,
}

#[derive(Default)]
struct State {
    life: u32,
    pid: Option<Pid>,
    addr: Option<SocketAddr>,
    admin: Option<SocketAddr>,
    /// Its end was asked for.
    ending: bool,
    stopped: bool,
}

/// All processes of a run.
pub struct Members {
    pub scenario: Arc<Scenario>,
    pub program: PathBuf,
    pub dir: PathBuf,
    pub links: Links,
    pub discovery: Arc<Discovery>,
    pub recorder: Recorder,
    pub front_end: FrontEnd,
    pub fault_plans: FaultPlans,
    states: Vec<Mutex<State>>,
    /// Changes whenever a process has ended.
    ended: watch::Sender<u64>,
}

impl Members {
    pub fn new(
        scenario: Arc<Scenario>,
        program: PathBuf,
        dir: PathBuf,
        links: Links,
        discovery: Arc<Discovery>,
        (recorder, front_end, fault_plans): (Recorder, FrontEnd, FaultPlans),
    ) -> Members {
        let states = (0..scenario.members).map(|_| Mutex::default()).collect();
        let ended = watch::channel(0).0;
        Members { scenario, program, dir, links, discovery, recorder, front_end, fault_plans, states, ended }
    }

    fn with<T>(&self, member: usize, act: impl FnOnce(&mut State) -> T) -> T {
        act(&mut self.states[member].lock().expect("no holder panics"))
    }

    /// Where a member really listens, while it lives.
    pub fn addr(&self, member: usize) -> Option<SocketAddr> {
        self.with(member, |s| s.pid.and(s.addr))
    }

    /// Where its admin listener is, while it lives.
    pub fn admin(&self, member: usize) -> Option<SocketAddr> {
        self.with(member, |s| s.pid.and(s.admin))
    }

    pub fn is_running(&self, member: usize) -> bool {
        self.with(member, |s| s.pid.is_some() && !s.stopped && !s.ending)
    }

    fn home(&self, member: usize) -> PathBuf {
        self.dir.join(format!("d{member}"))
    }

    /// Starts a process and waits until it listens.
    ///
    /// # Errors
    /// It does not start; what it said last.
    pub async fn start(self: &Arc<Self>, member: usize, how: Start) -> Result<(), String> {
        let home = self.home(member);
        let state = home.join("state");
        if how.wipe || !self.scenario.state_dir {
            let _ = std::fs::remove_dir_all(&state);
        }
        std::fs::create_dir_all(&state).map_err(|e| format!("{}: {e}", state.display()))?;
        let life = self.with(member, |s| {
            s.life += 1;
            s.ending = false;
            s.life
        });
        let write = |name: &str, text: String| {
            std::fs::write(home.join(name), text).map_err(|e| format!("{}: {name}: {e}", home.display()))
        };
        write("config.json", self.config(member).to_string())?;
        write("fleet.key", FLEET_KEY.into())?;
        write("admin.key", ADMIN_KEY.into())?;
        write("operator.json", self.operator(member, &home).to_string())?;
        let mut command = match how.disk_kb {
            None => Command::new(&self.program),
            // A file that may not grow is a disk that is full; the signal for it must not end the process.
            Some(kb) => {
                let mut shell = Command::new("sh");
                let limit = format!("trap '' XFSZ; ulimit -f {}; exec \"$0\" \"$@\"", kb * 2);
                shell.arg("-c").arg(limit).arg(&self.program);
                shell
            }
        };
        command.env_clear().env("GW_CONFIG", home.join("config.json")).env("TMPDIR", &home);
        self.fault_plans.apply(member, &mut command);
        let off = |all: &[i64]| all.get(member).copied().unwrap_or(0);
        let (offset, rate) = (off(&self.scenario.clocks_ms), off(&self.scenario.rates_ppm));
        if (offset, rate) != (0, 0) {
            command.env("LINEROUTE_TEST_CLOCK", format!("{offset},{rate}"));
        }
        let points: Vec<String> = self.scenario.points_of(member).map(armed).collect();
        if !points.is_empty() {
            command.env("LINEROUTE_TEST_STOPS", points.join(","));
        }
        command.arg("--operator").arg(home.join("operator.json")).stdin(Stdio::null());
        command.stdout(Stdio::null()).stderr(Stdio::piped()).kill_on_drop(true);
        let mut child = command.spawn().map_err(|e| format!("{}: {e}", self.program.display()))?;
        let pid = child.id().and_then(|id| Pid::from_raw(id as i32));
        let stderr = child.stderr.take().ok_or("no standard error")?;
        let mut lines = BufReader::new(stderr);
        let mut log = Vec::new();
        let heard = timeout(START, self.listens(member, &mut lines, &mut log)).await;
        let Ok(Ok(addr)) = heard else {
            let words = String::from_utf8_lossy(&log).lines().last().unwrap_or("nothing").to_owned();
            let _ = tokio::fs::write(home.join(format!("{life}.log")), &log).await;
            self.recorder.note(What::Refused { member, life, words: words.clone() });
            return Err(format!("member {member} does not start: {words}"));
        };
        self.with(member, |s| (s.pid, s.addr) = (pid, Some(addr)));
        self.links.calls.iter().for_each(|of| of[member].set_target(Some(addr)));
        self.recorder.note(What::Started { member, life });
        self.front_end.up(member, addr);
        tokio::spawn(self.clone().follow(member, life, child, lines, log));
        if self.scenario.points_of(member).any(|p| p.act == PointAct::Stop) {
            tokio::spawn(self.clone().watch_stops(member, life));
        }
        Ok(())
    }

    /// Reads the log until the process takes jobs; aims the links at what it tells of on the way.
    async fn listens(
        &self,
        member: usize,
        lines: &mut BufReader<ChildStderr>,
        log: &mut Vec<u8>,
    ) -> Result<SocketAddr, String> {
        loop {
            let begin = log.len();
            let size = lines.read_until(b'\n', log).await.map_err(|e| e.to_string())?;
            if size == 0 {
                return Err("it ended".into());
            }
            let line = String::from_utf8_lossy(&log[begin..]).into_owned();
            let addr = line.split("addr=").nth(1).and_then(|a| a.split_whitespace().next()?.parse().ok());
            let Some(addr) = addr else { continue };
            if line.contains("talks with peers") {
                self.links.peer_relay.iter().for_each(|talk| talk.set_dispatcher_addr(member, addr));
            } else if line.contains("fleet: listens") {
                let to_it = self.links.fleet.iter().enumerate().filter(|(other, _)| *other != member);
                to_it.for_each(|(_, links)| links[member].set_target(Some(addr)));
            } else if line.contains("admin listens") {
                self.with(member, |s| s.admin = Some(addr));
            } else if line.contains(": listens ") {
                return Ok(addr);
            }
        }
    }

    /// Keeps the log and sees the end.
    async fn follow(
        self: Arc<Self>,
        member: usize,
        life: u32,
        mut child: Child,
        mut lines: BufReader<ChildStderr>,
        log: Vec<u8>,
    ) {
        let path = self.home(member).join(format!("{life}.log"));
        let kept = async {
            let mut file = tokio::fs::File::create(path).await?;
            file.write_all(&log).await?;
            tokio::io::copy_buf(&mut lines, &mut file).await
        };
        let _ = kept.await;
        let code = child.wait().await.ok().and_then(|status| status.code());
        let (addr, asked) = self.with(member, |s| {
            s.pid = None;
            (s.addr.take(), s.ending)
        });
        let killed = code.is_none() && !asked;
        let back = self.scenario.points_of(member).find(|p| killed && p.act == PointAct::Kill);
        match back {
            Some(point) => {
                self.recorder.note(What::Killed { member });
                tokio::spawn(self.clone().back_after(member, Duration::from_millis(point.for_ms)));
            }
            None if !asked => self.recorder.note(What::Exited { member, code }),
            None => {}
        }
        self.links.calls.iter().for_each(|of| of[member].set_target(None));
        self.links.fleet.iter().for_each(|links| links[member].set_target(None));
        self.ended.send_modify(|times| *times += 1);
        // The front notices late.
        tokio::time::sleep(Duration::from_millis(self.scenario.clients.notice_ms)).await;
        addr.iter().for_each(|addr| self.front_end.down(member, *addr));
    }

    /// Starts a process again that has ended itself.
    fn back_after(self: Arc<Self>, member: usize, after: Duration) -> BoxFuture {
        Box::pin(async move {
            tokio::time::sleep(after).await;
            // What it says stands in the trace.
            let _ = self.start(member, Start::default()).await;
        })
    }

    /// Sees a process that has stopped itself at a point, and lets it go on.
    async fn watch_stops(self: Arc<Self>, member: usize, life: u32) {
        let stops = self.scenario.points_of(member).filter(|p| p.act == PointAct::Stop);
        let longest = stops.map(|p| p.for_ms).max().unwrap_or(0);
        loop {
            tokio::time::sleep(LOOK_EVERY).await;
            let Some(pid) = self.with(member, |s| s.pid.filter(|_| s.life == life)) else { return };
            let stat = std::fs::read_to_string(format!("/proc/{}/stat", pid.as_raw_nonzero()));
            let stands = stat.is_ok_and(|text| text.rsplit(") ").next().is_some_and(|s| s.starts_with('T')));
            if stands && self.with(member, |s| !std::mem::replace(&mut s.stopped, true)) {
                self.recorder.note(What::Stopped { member });
                tokio::time::sleep(Duration::from_millis(longest)).await;
                self.resume(member);
            }
        }
    }

    /// Notes what each living process has used so far.
    pub fn note_used(&self) {
        let between = self.links.fleet.iter().flatten();
        let carried = between.map(TcpRelay::carried).sum();
        for member in 0..self.scenario.members {
            let Some(pid) = self.with(member, |s| s.pid) else { continue };
            let home = PathBuf::from(format!("/proc/{}", pid.as_raw_nonzero()));
            let (Some(cpu), Some(kb)) = (cpu_of(&home), memory_of(&home)) else { continue };
            self.recorder.note(What::Used { member, cpu, kb, carried });
        }
    }

    /// Notes what each living process counts of its permits. One that does not answer is passed over.
    pub async fn note_permits(&self) {
        for member in (0..self.scenario.members).filter(|member| self.is_running(*member)) {
            let Some(admin) = self.admin(member) else { continue };
            let Ok(Some(flows)) = timeout(START, flows_of(admin)).await else { continue };
            let permits = &flows["permits"];
            let counts = |of: &Value| -> BTreeMap<String, u64> {
                let entries = of.as_object().into_iter().flatten();
                entries.filter_map(|(name, count)| Some((name.clone(), count.as_u64()?))).collect()
            };
            self.recorder.note(What::Permits {
                member,
                violations: counts(&permits["violations"]),
                refused: counts(&permits["refused"]).values().sum(),
                sent_on_invalid_list: permits["sent_on_invalid_list"].as_u64().unwrap_or(0),
            });
        }
    }

    fn signal(&self, member: usize, signal: Signal) -> bool {
        let pid = self.with(member, |s| s.pid);
        pid.is_some_and(|pid| kill_process(pid, signal).is_ok())
    }

    /// Ends a process at once and waits until it is gone; false where none lives.
    pub async fn kill(&self, member: usize) -> bool {
        if self.with(member, |s| s.pid.is_none() || std::mem::replace(&mut s.ending, true)) {
            return false;
        }
        self.recorder.note(What::Killed { member });
        self.signal(member, Signal::KILL);
        self.is_gone(member).await;
        self.with(member, |s| s.stopped = false);
        true
    }

    /// Asks a process to end and waits until it has; false where none lives.
    pub async fn terminate(&self, member: usize) -> bool {
        if self.with(member, |s| s.pid.is_none() || s.stopped || std::mem::replace(&mut s.ending, true)) {
            return false;
        }
        self.signal(member, Signal::TERM);
        self.is_gone(member).await;
        true
    }

    async fn is_gone(&self, member: usize) {
        let mut ended = self.ended.subscribe();
        while self.with(member, |s| s.pid.is_some()) {
            if ended.changed().await.is_err() {
                return;
            }
        }
    }

    /// Has a process read its configuration again; false where none runs.
    pub fn reload(&self, member: usize) -> bool {
        !self.with(member, |s| s.ending) && self.signal(member, Signal::HUP)
    }

    /// Stops a process; false where none runs.
    pub fn stop(&self, member: usize) -> bool {
        if self.with(member, |s| s.pid.is_none() || s.ending || std::mem::replace(&mut s.stopped, true)) {
            return false;
        }
        self.recorder.note(What::Stopped { member });
        self.signal(member, Signal::STOP)
    }

    /// Lets it go on.
    pub fn resume(&self, member: usize) {
        if self.with(member, |s| std::mem::take(&mut s.stopped)) {
            self.signal(member, Signal::CONT);
            self.recorder.note(What::Continued { member });
        }
    }

    fn config(&self, member: usize) -> Value {
        let scenario = &self.scenario;
        let zones: Vec<String> = (0..zones(scenario)).map(zone).collect();
        let effect = |effect| match effect {
            Effect::Repeatable => "repeatable",
            Effect::ByKey => "by_key",
            Effect::Once => "once",
        };
        let class = |c: &crate::scenario::Class| {
            json!({"name": c.name, "aim_ms": c.aim_ms, "deadline_ms": c.deadline_ms, "credit": c.worth,
                "late_share": c.late_share, "effect": effect(c.effect), "group": "all",
                "key_ttl_ms": c.key_ttl_ms})
        };
        let bound = self.scenario.operator.get("classes").and_then(Value::as_array);
        let is_bound = |name: &str| {
            bound.is_some_and(|all| all.iter().any(|c| c.get("name").and_then(Value::as_str) == Some(name)))
        };
        let classes: Vec<Value> = scenario.classes.iter().filter(|c| !is_bound(&c.name)).map(class).collect();
        let stretch: Vec<f64> = classes.iter().map(|_| 2.0).collect();
        let mut config = json!({
            "name": format!("d{member}"), "listen": "127.0.0.1:0", "discovery": self.links.discovery[member].addr,
            "seed": format!("{:x}", 0x8c1f + member), "known": self.discovery.known(member),
            "limits": {"memory_mb": 192, "sockets": 1024},
            "settings": {
                "instances": scenario.members, "discovery": "ask", "azs": zones, "skus": ["m", "web", "tube"],
                "zone": member % zones.len(), "classes": classes,
                "tenants": [{"name": "acme", "quota_per_s": 10_000}],
                "allowed": {"max_attempts": 3, "cancel": true, "retry_after": true,
                    "max_retry_after_ms": 2000.0, "most_held": 2000, "keepalive_ms": 10000,
                    "connect_timeout_ms": 500, "peers": scenario.talk,
                    "may_probe": scenario.probe_cost_ms.is_some()},
                "specifics": {"class_stretch": stretch, "tells_start": true}}});
        if let Some(talk) = &self.links.peer_relay {
            config["peer_listen"] = json!("127.0.0.1:0");
            config["peers"] = json!(talk.peers(member));
        }
        config
    }

    fn operator(&self, member: usize, home: &Path) -> Value {
        let mut operator = self.scenario.operator.clone();
        let admin = json!({"listen": "127.0.0.1:0", "key_file": home.join("admin.key")});
        operator.insert("admin".into(), admin);
        if self.scenario.state_dir {
            operator.insert("state_dir".into(), json!(home.join("state")));
        }
        if self.scenario.talk {
            operator.insert("peers".into(), json!({"key_file": home.join("fleet.key")}));
        }
        if let Some(fleet) = &self.scenario.fleet {
            let all = 0..self.scenario.members;
            let addr = |other: usize| match other == member {
                true => json!("127.0.0.1:0"),
                false => json!(self.links.fleet[member][other].addr),
            };
            let members: Vec<Value> =
                all.map(|other| json!({"name": format!("d{other}"), "addr": addr(other)})).collect();
            let mut fleet: Map<String, Value> = fleet.clone();
            fleet.insert("name".into(), json!(format!("d{member}")));
            fleet.insert("listen".into(), json!("127.0.0.1:0"));
            fleet.insert("members".into(), json!(members));
            fleet.insert("key_file".into(), json!(home.join("fleet.key")));
            operator.insert("fleet".into(), Value::Object(fleet));
        }
        Value::Object(operator)
    }
}

/// What a process tells of its flows at its admin listener.
async fn flows_of(admin: SocketAddr) -> Option<Value> {
    let mut stream = TcpStream::connect(admin).await.ok()?;
    let headers = format!("Host: admin\r\nAuthorization: Bearer {ADMIN_KEY}\r\n");
    http::write(&mut stream, "GET /flows HTTP/1.1", &headers, b"").await.ok()?;
    let answer = Reader::new(&mut stream).answer().await.ok()??;
    serde_json::from_slice(&answer.body).ok()
}

/// Of all threads of a process, in microseconds.
fn cpu_of(home: &Path) -> Option<u64> {
    let tasks = std::fs::read_dir(home.join("task")).ok()?;
    let ran = |task: std::io::Result<std::fs::DirEntry>| {
        let text = std::fs::read_to_string(task.ok()?.path().join("schedstat")).ok()?;
        text.split(' ').next()?.parse::<u64>().ok()
    };
    Some(tasks.filter_map(ran).sum::<u64>() / 1000)
}

/// The most memory that a process has held, in kilobytes.
fn memory_of(home: &Path) -> Option<u64> {
    let text = std::fs::read_to_string(home.join("status")).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    line.split_whitespace().next()?.parse().ok()
}

/// A point as the program is told of it.
fn armed(point: &Point) -> String {
    let act = match point.act {
        PointAct::Stop => "stop".into(),
        PointAct::Kill => "kill".into(),
        PointAct::Pause => point.for_ms.to_string(),
    };
    format!("{}:{}:{act}", point.point, point.nth)
}

fn zone(number: usize) -> String {
    format!("z{number}")
}

fn zones(scenario: &Scenario) -> usize {
    scenario.workers.iter().map(|w| w.zone + 1).max().unwrap_or(1)
}

/// A worker as discovery lists it, at this address.
pub fn listed(sort: &crate::scenario::Workers, addr: SocketAddr) -> Listed {
    let kind = match sort.protocol {
        Protocol::Platform => "m",
        Protocol::Http => "web",
        Protocol::Beanstalkd => "tube",
    };
    Listed { addr, zone: zone(sort.zone), kind: kind.into() }
}
