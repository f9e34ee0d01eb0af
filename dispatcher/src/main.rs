//! lineroute: takes jobs from clients and pushes them to workers. One thread runs it all.
#![forbid(unsafe_code)]

mod config;
mod facade;
mod flow;
mod list;
mod listeners;
mod log;
mod targets;

use config::Config;
use facade::{Facade, ListKind};
use flow::{Bounds, Flows};
use list::Names;
use listeners::http::{HttpListener, Phase, Vocabulary};
use log::log;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use targets::http::{HttpClient, HttpTargets};
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};

/// After SIGTERM clients keep coming for a while: so long they are served.
const KEEP_TAKING: Duration = Duration::from_millis(700);
/// How long answers may take to reach their clients once the last flow has ended.
const LAST_WORDS: Duration = Duration::from_secs(1);
/// Part of the memory that bodies may take.
const BODY_PART: usize = 4;

fn main() -> ExitCode {
    let config = match config::read(|key| std::env::var(key).ok()) {
        Ok(config) => config,
        Err(message) => {
            eprintln!("lineroute: {message}");
            return ExitCode::FAILURE;
        }
    };
    match actix_rt::System::new().block_on(run(config)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("lineroute: {message}");
            ExitCode::FAILURE
        }
    }
}

async fn run(config: Config) -> Result<(), String> {
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
    let mut names = Names { zones: site.zones, kinds: site.kinds };
    if let Some(known) = &known {
        list::take(&flows, &mut names, known, ListKind::Cached);
    }
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let socket = TcpListener::bind(config.listen).await.map_err(|e| format!("{}: {e}", config.listen))?;
    let listen = socket.local_addr().map_err(|e| e.to_string())?;
    log!("{} listens at {listen}", config.name);
    let clock = flows.clone();
    actix_rt::spawn(async move { clock.run_clock().await });
    let version = known.map(|k| k.version);
    actix_rt::spawn(list::watch(flows.clone(), client, config.discovery, names, version));
    let phase = Rc::new(Phase::default());
    let listener = HttpListener {
        flows: flows.clone(),
        targets,
        words: Rc::new(words),
        routes,
        phase: phase.clone(),
        most: config.inbound,
    };
    actix_rt::spawn(Rc::new(listener).serve(socket));

    term.recv().await;
    log!("SIGTERM: {} flows are open", flows.owed());
    phase.close();
    tokio::time::sleep(KEEP_TAKING).await;
    phase.shut();
    while flows.owed() > 0 {
        flows.settled().await;
    }
    let last = tokio::time::Instant::now() + LAST_WORDS;
    while phase.connections.get() > 0 && tokio::time::Instant::now() < last {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    Ok(())
}
