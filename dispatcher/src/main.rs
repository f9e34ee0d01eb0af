//! lineroute: takes jobs from clients and pushes them to workers. One thread runs it all.
#![forbid(unsafe_code)]

mod beanstalkd;
mod config;
mod facade;
mod flow;
mod list;
mod listeners;
mod log;
mod nginx;
mod targets;

use config::{Config, Occasion};
use facade::{Facade, ListKind};
use flow::{Bounds, Flows};
use list::Names;
use listeners::beanstalkd::BeanstalkdListener;
use listeners::http::{HttpListener, Phase, Vocabulary};
use listeners::seats::Seats;
use log::log;
use rustc_hash::FxHashMap;
use std::cell::Cell;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use targets::beanstalkd::BeanstalkdTargets;
use targets::http::{HttpClient, HttpTargets};
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;

/// After SIGTERM clients keep coming for a while: so long they are served.
const KEEP_TAKING: Duration = Duration::from_millis(700);
/// How long answers may take to reach their clients once the last flow has ended.
const LAST_WORDS: Duration = Duration::from_secs(1);
/// Part of the memory that bodies may take.
const BODY_PART: usize = 4;

/// How long answers that beanstalkd clients have not fetched are kept once everything else is done.
const KEEP_ANSWERS: Duration = Duration::from_secs(5);

const USAGE: &str = "usage: lineroute [--operator FILE] | lineroute import-nginx FILE";

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let done = match arguments.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        [] => start(None),
        ["--operator", file] => start(Some(file)),
        ["import-nginx", file] => import(file),
        _ => Err(USAGE.into()),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("lineroute: {message}");
            ExitCode::FAILURE
        }
    }
}

fn start(operator: Option<&str>) -> Result<(), String> {
    let config = read(operator, Occasion::Start)?;
    actix_rt::System::new().block_on(run(config, operator.map(str::to_owned)))
}

fn read(operator: Option<&str>, occasion: Occasion) -> Result<Config, String> {
    config::read(|key| std::env::var(key).ok(), operator, occasion)
}

/// Writes the operator's settings that nginx blocks amount to.
fn import(file: &str) -> Result<(), String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{file}: {e}"))?;
    let operator = nginx::import(&text).map_err(|e| format!("{file}: {e}"))?;
    let json = serde_json::to_string_pretty(&operator).map_err(|e| e.to_string())?;
    println!("{json}");
    Ok(())
}

/// On each SIGHUP reads the configuration again and goes over to its discovery. What can't be used changes
/// nothing. Never ends.
async fn reload(mut hangup: Signal, operator: Option<String>, discovery: watch::Sender<Option<SocketAddr>>) {
    while hangup.recv().await.is_some() {
        match read(operator.as_deref(), Occasion::Reload) {
            Ok(config) => {
                log!("SIGHUP: the configuration was read again");
                discovery.send_if_modified(|at| std::mem::replace(at, config.discovery) != config.discovery);
            }
            Err(message) => log!("SIGHUP: the old settings stay: {message}"),
        }
    }
}

async fn run(config: Config, operator: Option<String>) -> Result<(), String> {
    // First of all: a signal that nobody waits for ends the program.
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let hangup = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
    let (discovery, discovery_at) = watch::channel(config.discovery);
    actix_rt::spawn(reload(hangup, operator, discovery));
    let Config { site, routes, known, .. } = config;
    let deadlines = site.settings.classes.iter().map(|c| Duration::from_micros(c.deadline));
    let words = Vocabulary {
        classes: site.classes.iter().cloned().zip(deadlines).collect(),
        tenants: site.tenants.clone(),
    };
    let bounds = Bounds { flows: site.settings.allowed.most_held, bytes: config.memory / BODY_PART };
    let connect_within = Duration::from_micros(site.connect_timeout);
    let keepalive = Duration::from_micros(site.settings.allowed.keepalive);
    let facade = Facade::new(site.settings, config.seed).map_err(|e| e.to_string())?;
    let flows = Flows::new(facade, bounds);
    let client = HttpClient::new(connect_within, keepalive, config.outbound);
    let targets = HttpTargets::new(flows.clone(), client.clone(), connect_within);
    flows.plug(Rc::new(targets.clone()));
    let mut carriers = FxHashMap::default();
    for workers in &config.workers {
        let carrier = BeanstalkdTargets::new(flows.clone(), workers, &config.name, connect_within);
        carriers.insert(workers.kind.clone(), flows.plug(Rc::new(carrier)));
    }
    let mut names = Names { zones: site.zones, kinds: site.kinds, carriers };
    if let Some(known) = &known {
        list::take(&flows, &mut names, known, ListKind::Cached);
    }
    let socket = TcpListener::bind(config.listen).await.map_err(|e| format!("{}: {e}", config.listen))?;
    let prefix = format!("{}-{:x}", config.name, config.seed);
    let mut front = None;
    if let Some(settings) = config.beanstalkd {
        let socket =
            TcpListener::bind(settings.listen).await.map_err(|e| format!("beanstalkd.listen: {e}"))?;
        let listen = socket.local_addr().map_err(|e| e.to_string())?;
        log!("{} listens to beanstalkd clients at {listen}", config.name);
        let listener = BeanstalkdListener::new(flows.clone(), settings, prefix.clone());
        actix_rt::spawn(listener.clone().serve(socket));
        front = Some(listener);
    }
    let listen = socket.local_addr().map_err(|e| e.to_string())?;
    log!("{} listens at {listen}", config.name);
    let clock = flows.clone();
    actix_rt::spawn(async move { clock.run_clock().await });
    let version = known.map(|k| k.version);
    match config.discovery {
        Some(_) => {
            let watched = list::watch(flows.clone(), client, discovery_at, names, version);
            drop(actix_rt::spawn(watched))
        }
        None => drop(actix_rt::spawn(list::stand(flows.clone()))),
    }
    let phase = Rc::new(Phase::default());
    let seats = Seats::new(config.inbound);
    let listener = HttpListener {
        flows: flows.clone(),
        targets,
        words: Rc::new(words),
        routes,
        phase: phase.clone(),
        seats: seats.clone(),
        prefix,
        made: Cell::new(0),
    };
    actix_rt::spawn(Rc::new(listener).serve(socket));

    term.recv().await;
    log!("SIGTERM: {} flows are open", flows.owed());
    phase.close();
    front.iter().for_each(|f| f.stop());
    tokio::time::sleep(KEEP_TAKING).await;
    phase.shut();
    while flows.owed() > 0 {
        flows.settled().await;
    }
    let last = tokio::time::Instant::now() + KEEP_ANSWERS;
    while front.as_ref().is_some_and(|f| f.left() > 0) && tokio::time::Instant::now() < last {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let last = tokio::time::Instant::now() + LAST_WORDS;
    while seats.count() > 0 && tokio::time::Instant::now() < last {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    Ok(())
}
