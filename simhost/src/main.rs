//! Adapter between the simulator's line protocol and the decision module. It translates lines into events and
//! actions into lines for any number of independent instances, and makes no decisions of its own.

mod wire;

use lineroute::{
    Action, AttemptEnd, AttemptNo, Balancer, CellId, ClassId, Event, Key, KindId, ListKind, Micros, Request,
    RequestId, Stage, TenantId, WorkerEntry, WorkerId, ZoneId,
};
use rustc_hash::FxHashMap;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;
use std::sync::Arc;
use wire::Fields;

struct Instance {
    balancer: Balancer,
    has_tenants: bool,
}

/// A worker list whose rows have not all been read.
struct OpenList {
    id: u8,
    remaining: usize,
    entries: Vec<WorkerEntry>,
}

#[derive(Default)]
struct Host {
    now: Option<Micros>,
    selected: Option<u32>,
    instances: FxHashMap<u32, Instance>,
    lists: FxHashMap<u8, Arc<[WorkerEntry]>>,
    open_list: Option<OpenList>,
    actions: Vec<Action>,
    reply: Vec<u8>,
    reply_for: Option<u32>,
}

impl Host {
    /// Processes one line. Returns true if it ends a batch; the reply is then complete.
    fn process_line(&mut self, line: &str) -> Result<bool, String> {
        let mut f = Fields::new(line);
        let name = f.text("name")?;
        if self.open_list.is_some() && name != "M" {
            return Err("the open INVENTORY has fewer rows than rows_in states".into());
        }
        if self.now.is_none() && name != "TICK" {
            return Err(format!("{name:?} received outside a batch"));
        }
        let event = match name {
            "TICK" => {
                if self.now.is_some() {
                    return Err("a batch is open already".into());
                }
                self.now = Some(f.time("clock")?);
                self.selected = None;
                self.reply.clear();
                self.reply_for = None;
                None
            }
            "YOUR_TURN" => {
                f.end()?;
                self.now = None;
                self.reply.extend_from_slice(b"DONE\n");
                return Ok(true);
            }
            "ON" => {
                self.selected = Some(f.int("i")?);
                None
            }
            "NEW_INSTANCE" => {
                let seed = f.int("init_seed")?;
                let settings = lineroute_settings::parse(f.remainder("profile_data")?)?.settings;
                let has_tenants = !settings.tenants.is_empty();
                let balancer = Balancer::new(settings, seed).map_err(|e| e.to_string())?;
                let i = self.selected.ok_or("no instance is selected")?;
                self.instances.insert(i, Instance { balancer, has_tenants });
                None
            }
            "DETACH" => {
                self.instances.remove(&self.selected.ok_or("no instance is selected")?);
                None
            }
            "INVENTORY" => {
                let (id, remaining) = (f.int("roster_id")?, f.int("rows_in")?);
                self.open_list = Some(OpenList { id, remaining, entries: Vec::new() });
                self.finish_list();
                None
            }
            "M" => {
                let list = self.open_list.as_mut().ok_or("no list is open")?;
                list.entries.push(worker_entry(&mut f)?);
                list.remaining -= 1;
                self.finish_list();
                None
            }
            "BACKENDS_CHANGED" => {
                let (id, how): (Option<u8>, u8) = (f.int_opt("roster_id")?, f.int("how")?);
                let _: u64 = f.int_opt("epoch")?.unwrap_or(0);
                let kind = match how {
                    0 => Some(ListKind::Delta),
                    1 => Some(ListKind::Full),
                    2 => Some(ListKind::Cached),
                    3 => None,
                    other => return Err(format!("field how: {other} is not 0 to 3")),
                };
                Some(match kind {
                    None => Event::ListFailed,
                    Some(kind) => {
                        let id = id.ok_or("field roster_id is missing")?;
                        let list = self.lists.get(&id).ok_or(format!("list {id} was never received"))?;
                        Event::WorkerList(kind, list.clone())
                    }
                })
            }
            "INGRESS" => Some(self.request_event(&mut f)?),
            "ABORTED" => Some(Event::Aborted(request_id(&mut f)?)),
            "STARTED" => {
                let id = request_id(&mut f)?;
                let attempt = AttemptNo(f.int("round_no")?);
                let (_, _): (WorkerId, Micros) = (worker(&mut f)?, f.time("spent_ms")?);
                Some(Event::ResponseStarted(id, attempt))
            }
            "CHANGE" => {
                let (id, attempt) = (request_id(&mut f)?, AttemptNo(f.int("round_no")?));
                worker(&mut f)?;
                let what: u32 = f.int("what")?;
                let share = f.number_opt("value")?.unwrap_or(0.0);
                Some(match what {
                    1 => Event::JobStarted(id, attempt),
                    _ => Event::Progress(id, attempt, share),
                })
            }
            "CLOSED_ATTEMPT" => {
                let id = request_id(&mut f)?;
                let _: Option<i64> = f.int_opt("note")?;
                let elapsed = f.time("spent_ms")?;
                let attempt = AttemptNo(f.int("round_no")?);
                let request_done = f.flag("complete")?;
                let outcome = f.outcome("state_code")?;
                worker(&mut f)?;
                let report = f.report("load")?;
                Some(Event::AttemptEnded(AttemptEnd { id, attempt, outcome, request_done, elapsed, report }))
            }
            "HEALTH_RESULT" => {
                let (worker, outcome) = (worker(&mut f)?, f.outcome("state_code")?);
                let _ = f.time("spent_ms")?;
                Some(Event::ProbeEnded { worker, outcome, report: f.report("load")? })
            }
            "REMINDER" => Some(Event::Timer(f.int("ref")?)),
            "DATAGRAM" => {
                // Messages from other instances are ignored: no decision depends on them.
                let _: u32 = f.int("origin_peer")?;
                f.text("data")?;
                None
            }
            other => return Err(format!("unknown message {other:?}")),
        };
        f.end()?;
        if let Some(event) = event {
            self.handle(event)?;
        }
        Ok(false)
    }

    fn finish_list(&mut self) {
        if let Some(list) = self.open_list.take_if(|l| l.remaining == 0) {
            self.lists.insert(list.id, list.entries.into());
        }
    }

    fn request_event(&self, f: &mut Fields<'_>) -> Result<Event, String> {
        let i = self.selected.ok_or("no instance is selected")?;
        let instance = self.instances.get(&i).ok_or(format!("instance {i} has not started"))?;
        let id = request_id(f)?;
        let class = ClassId(f.int("service")?);
        let realm: Option<usize> = f.int_opt("realm")?;
        let key = f.optional("object")?.map(|k| Key(k.into()));
        let deadline = f.time("give_up_at_ms")?;
        let work = f.time_opt("work_hint_ms")?.filter(|&work| work > 0);
        let slots = f.number_opt("width")?.unwrap_or(1.0);
        f.number_opt("mem_needed")?;
        f.flag("resent")?;
        f.flag("is_write")?;
        f.flag("came_back")?;
        let tenant = instance.has_tenants.then(|| TenantId(realm.unwrap_or(0)));
        Ok(Event::Request(Request { id, class, tenant, key, deadline, slots, work }))
    }

    fn handle(&mut self, event: Event) -> Result<(), String> {
        let (Some(i), Some(now)) = (self.selected, self.now) else {
            return Err("no instance is selected".into());
        };
        let instance = self.instances.get_mut(&i).ok_or(format!("instance {i} has not started"))?;
        instance.balancer.handle(now, event, &mut self.actions);
        if !self.actions.is_empty() && self.reply_for != Some(i) {
            self.reply_for = Some(i);
            let _ = writeln!(self.reply, "BY\t{i}");
        }
        for action in self.actions.drain(..) {
            let _ = write_action(&mut self.reply, &action);
        }
        Ok(())
    }
}

fn request_id(f: &mut Fields<'_>) -> Result<RequestId, String> {
    Ok(RequestId(f.text("request_id")?.into()))
}

fn worker(f: &mut Fields<'_>) -> Result<WorkerId, String> {
    Ok(WorkerId(f.int("worker")?))
}

fn worker_entry(f: &mut Fields<'_>) -> Result<WorkerEntry, String> {
    let worker = worker(f)?;
    let zone = ZoneId(f.int("rack_zone")?);
    let kind = KindId(f.int("hw")?);
    let cell = CellId(f.int("unit_group")?);
    let stage = match f.int("stage_state")? {
        0 => Stage::Gone,
        1 => Stage::Ready,
        2 => Stage::Draining,
        other => return Err(format!("field stage_state: {other} is not 0 to 2")),
    };
    let size = f.number_opt("weight")?.unwrap_or(0.0);
    let started = f.time_opt("came_up_ms")?.filter(|&t| t > 0);
    Ok(WorkerEntry { worker, zone, kind, cell, stage, started, size })
}

fn write_action(out: &mut Vec<u8>, action: &Action) -> io::Result<()> {
    let ms = |t: Micros| (t / 1000, t % 1000);
    match action {
        Action::Send { id, worker, timeout } => {
            let (whole, part) = ms(*timeout);
            writeln!(out, "DELIVER\t{}\t{whole}.{part:03}\t{}", id.0, worker.0)
        }
        Action::Refuse { id, retry_after } => {
            let (whole, part) = ms(*retry_after);
            writeln!(out, "TURN_AWAY\t{}\t{whole}.{part:03}", id.0)
        }
        Action::Fail(id) => writeln!(out, "LOSE\t{}", id.0),
        Action::Cancel(id, attempt) => writeln!(out, "REVOKE\t{}\t{}", id.0, attempt.0),
        Action::Probe(worker) => writeln!(out, "ASK_LOAD\t{}", worker.0),
        Action::Subscribe => writeln!(out, "LISTEN\t1"),
        Action::Wake(at, token) => {
            let (whole, part) = ms(*at);
            writeln!(out, "WAKE_AT\t{whole}.{part:03}\t{token}")
        }
    }
}

fn run(mut input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut host = Host::default();
    let mut line = String::new();
    let mut number = 0u64;
    loop {
        line.clear();
        number += 1;
        let read = input.read_line(&mut line).map_err(|e| format!("line {number}: {e}"))?;
        if read == 0 {
            return match host.now {
                None => Ok(()),
                Some(_) => Err(format!("line {number}: the input ends inside a batch")),
            };
        }
        let Some(text) = line.strip_suffix('\n') else {
            return Err(format!("line {number}: the input ends inside a line"));
        };
        if text.is_empty() && host.now.is_none() {
            continue;
        }
        if host.process_line(text).map_err(|e| format!("line {number}: {e}"))? {
            output.write_all(&host.reply).and_then(|()| output.flush()).map_err(|e| e.to_string())?;
        }
    }
}

fn main() -> ExitCode {
    match run(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("lineroute-simhost: {message}");
            ExitCode::FAILURE
        }
    }
}
