//! Manages the lineroute processes: their files, start, signals, exit and listening addresses.

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

/// A process that does not listen within this time counts as failed to start.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Polling interval for processes that stop themselves.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Key of the links between members; for tests only, as is [`ADMIN_KEY`], the key of the admin listener.
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
    /// Changes the conditions of the links between a member and a peer. The flag passed to `change` tells whether the member is
    /// the connecting side.
    pub fn set(&self, member: usize, peer: &Peer, change: &dyn Fn(&mut LinkConditions, bool)) {
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

/// Options for starting a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Start {
    /// Removes its stored state first.
    pub wipe: bool,
    pub disk_kb: Option<u64>,
}

#[derive(Default)]
struct State {
    life: u32,
    pid: Option<Pid>,
    addr: Option<SocketAddr>,
    admin: Option<SocketAddr>,
    /// The lab has killed or terminated it.
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
    /// Number of processes that have ended; changes with each.
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

    /// A member's listening address while it runs.
    pub fn addr(&self, member: usize) -> Option<SocketAddr> {
        self.with(member, |s| s.pid.and(s.addr))
    }

    /// The address of its admin listener while it runs.
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
    /// It does not start; the message contains its last log line.
    pub async fn start(self: &Arc<Self>, member: usize, options: Start) -> Result<(), String> {
        let home = self.home(member);
        let state = home.join("state");
        if options.wipe || !self.scenario.state_dir {
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
        let mut command = match options.disk_kb {
            None => Command::new(&self.program),
            // A limit on file size simulates a full disk; its signal must not end the process.
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
        let points: Vec<String> = self.scenario.points_of(member).map(point_spec).collect();
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
        let heard = timeout(START_TIMEOUT, self.wait_until_listening(member, &mut lines, &mut log)).await;
        let Ok(Ok(addr)) = heard else {
            let words = String::from_utf8_lossy(&log).lines().last().unwrap_or("nothing").to_owned();
            let _ = tokio::fs::write(home.join(format!("{life}.log")), &log).await;
            self.recorder.note(What::Refused { member, life, words: words.clone() });
            return Err(format!("member {member} failed to start: {words}"));
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

    /// Reads the log until the process accepts jobs, and points the links at the addresses that it logs.
    async fn wait_until_listening(
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

    /// Writes the log to a file and records the exit of the process.
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
                tokio::spawn(self.clone().restart_after(member, Duration::from_millis(point.for_ms)));
            }
            None if !asked => self.recorder.note(What::Exited { member, code }),
            None => {}
        }
        self.links.calls.iter().for_each(|of| of[member].set_target(None));
        self.links.fleet.iter().for_each(|links| links[member].set_target(None));
        self.ended.send_modify(|times| *times += 1);
        // The front end notices late.
        tokio::time::sleep(Duration::from_millis(self.scenario.clients.notice_ms)).await;
        addr.iter().for_each(|addr| self.front_end.down(member, *addr));
    }

    /// Restarts a process that has killed itself.
    fn restart_after(self: Arc<Self>, member: usize, after: Duration) -> BoxFuture {
        Box::pin(async move {
            tokio::time::sleep(after).await;
            // A failed start is recorded in the trace.
            let _ = self.start(member, Start::default()).await;
        })
    }

    /// Detects a process that has stopped itself at a point, and resumes it.
    async fn watch_stops(self: Arc<Self>, member: usize, life: u32) {
        let stops = self.scenario.points_of(member).filter(|p| p.act == PointAct::Stop);
        let longest = stops.map(|p| p.for_ms).max().unwrap_or(0);
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
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

    /// Records the resource usage of each running process.
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

    /// Records the permit counters of each running process. A process that does not answer is skipped.
    pub async fn note_permits(&self) {
        for member in (0..self.scenario.members).filter(|member| self.is_running(*member)) {
            let Some(admin) = self.admin(member) else { continue };
            let Ok(Some(flows)) = timeout(START_TIMEOUT, flows_of(admin)).await else { continue };
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

    /// Kills a process and waits until it has ended; false if none is running.
    pub async fn kill(&self, member: usize) -> bool {
        if self.with(member, |s| s.pid.is_none() || std::mem::replace(&mut s.ending, true)) {
            return false;
        }
        self.recorder.note(What::Killed { member });
        self.signal(member, Signal::KILL);
        self.wait_until_ended(member).await;
        self.with(member, |s| s.stopped = false);
        true
    }

    /// Sends SIGTERM to a process and waits until it has ended; false if none is running.
    pub async fn terminate(&self, member: usize) -> bool {
        if self.with(member, |s| s.pid.is_none() || s.stopped || std::mem::replace(&mut s.ending, true)) {
            return false;
        }
        self.signal(member, Signal::TERM);
        self.wait_until_ended(member).await;
        true
    }

    async fn wait_until_ended(&self, member: usize) {
        let mut ended = self.ended.subscribe();
        while self.with(member, |s| s.pid.is_some()) {
            if ended.changed().await.is_err() {
                return;
            }
        }
    }

    /// Sends SIGHUP, so that a process reloads its configuration; false if none is running.
    pub fn reload(&self, member: usize) -> bool {
        !self.with(member, |s| s.ending) && self.signal(member, Signal::HUP)
    }

    /// Sends SIGSTOP to a process; false if none is running.
    pub fn stop(&self, member: usize) -> bool {
        if self.with(member, |s| s.pid.is_none() || s.ending || std::mem::replace(&mut s.stopped, true)) {
            return false;
        }
        self.recorder.note(What::Stopped { member });
        self.signal(member, Signal::STOP)
    }

    /// Resumes a stopped process.
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
        let operator_classes = self.scenario.operator.get("classes").and_then(Value::as_array);
        let is_operator_class = |name: &str| {
            operator_classes
                .is_some_and(|all| all.iter().any(|c| c.get("name").and_then(Value::as_str) == Some(name)))
        };
        let classes: Vec<Value> =
            scenario.classes.iter().filter(|c| !is_operator_class(&c.name)).map(class).collect();
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

/// Reads a process's flows from its admin listener.
async fn flows_of(admin: SocketAddr) -> Option<Value> {
    let mut stream = TcpStream::connect(admin).await.ok()?;
    let headers = format!("Host: admin\r\nAuthorization: Bearer {ADMIN_KEY}\r\n");
    http::write(&mut stream, "GET /flows HTTP/1.1", &headers, b"").await.ok()?;
    let answer = Reader::new(&mut stream).answer().await.ok()??;
    serde_json::from_slice(&answer.body).ok()
}

/// CPU time of all threads of a process, in microseconds.
fn cpu_of(home: &Path) -> Option<u64> {
    let tasks = std::fs::read_dir(home.join("task")).ok()?;
    let ran = |task: std::io::Result<std::fs::DirEntry>| {
        let text = std::fs::read_to_string(task.ok()?.path().join("schedstat")).ok()?;
        text.split(' ').next()?.parse::<u64>().ok()
    };
    Some(tasks.filter_map(ran).sum::<u64>() / 1000)
}

/// Peak resident memory of a process, in kilobytes.
fn memory_of(home: &Path) -> Option<u64> {
    let text = std::fs::read_to_string(home.join("status")).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    line.split_whitespace().next()?.parse().ok()
}

/// A point in the format of `LINEROUTE_TEST_STOPS`.
fn point_spec(point: &Point) -> String {
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

/// The discovery entry of a worker at this address.
pub fn listed(sort: &crate::scenario::Workers, addr: SocketAddr) -> Listed {
    let kind = match sort.protocol {
        Protocol::Platform => "m",
        Protocol::Http => "web",
        Protocol::Beanstalkd => "tube",
    };
    Listed { addr, zone: zone(sort.zone), kind: kind.into() }
}
