//! lineroute: takes jobs from clients and pushes them to workers. One thread runs it all.
#![forbid(unsafe_code)]

mod accept;
mod admin;
mod arrival;
mod beanstalkd;
mod body;
mod cli;
mod config;
mod facade;
mod fleet;
mod flow;
mod list;
mod listeners;
mod local_faults;
mod log;
mod nginx;
mod overrides;
mod peers;
mod siblings;
mod stop;
mod stops;
mod store;
mod targets;

use crate::local_faults::open_with_retry;
use arrival::ArrivalClock;
use body::StreamBudget;
use cli::RunArgs;
use config::{Config, Faults, Occasion, Sources, StateDir};
use facade::{Discovery, Facade, ListKind, ReportSource};
use flow::{Bounds, Flows};
use lineroute_control::list_status::ListStatus;
use lineroute_control::overrides::Table;
use lineroute_control::watch::WatchSchedule;
use list::monitor::ListMonitor;
use list::{ListSource, NameTable};
use listeners::beanstalkd::BeanstalkdListener;
use listeners::connection_slots::ConnectionSlots;
use listeners::http::{HttpListener, Phase, Vocabulary};
use listeners::socket::Origin;
use overrides::Overrides;
use peers::discovery_reports::DiscoveryReports;
use rustc_hash::FxHashMap;
use siblings::Siblings;
use std::cell::{Cell, OnceCell};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};
use stop::RunningProcess;
use store::{LoggedOperatorState, Store};
use targets::beanstalkd::BeanstalkdTargets;
use targets::client::HttpClient;
use targets::http::HttpTargets;
use targets::upstream::Upstreams;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use tracing::{info, info_span, warn};

/// Part of the memory that bodies may take.
const BODY_PART: usize = 4;
/// Part of the memory that bodies in passage may take; what each may always hold, and at most.
const STREAM_PART: usize = 4;
const STREAM_FLOOR: usize = 16 << 10;
const STREAM_CEILING: usize = 256 << 10;

fn main() -> ExitCode {
    cli::main(start)
}

fn start(args: RunArgs) -> Result<(), String> {
    let sources: Sources = args.sources.into();
    let config = read(&sources, Occasion::Start).map_err(|faults| faults.to_string())?;
    let limit = log::start(args.log_format, args.log);
    actix_rt::System::new().block_on(async {
        // This thread does all of it: whatever is logged is this dispatcher's, and this process's: two may run at a time.
        let process = std::process::id();
        let _dispatcher = info_span!("lineroute", dispatcher = %config.name, process).entered();
        actix_rt::spawn(log::report_dropped_lines(limit));
        if config.inherited.is_some() || config.admin_console.is_some() {
            info!(inherited = ?config.inherited, admin_console = ?config.admin_console, state_dir = ?config.state_dir,
                "process starts, perhaps beside one that it replaces");
        }
        run(config, sources).await
    })
}

fn read(sources: &Sources, occasion: Occasion) -> Result<Config, Faults> {
    config::read(|key| std::env::var(key).ok(), sources, occasion)
}

/// What a reload hands new settings to.
#[derive(Default)]
struct Reloaded {
    peers: Option<peers::Handle>,
    admin: Option<admin::Handle>,
    fleet: Option<fleet::Handle>,
}

/// On each SIGHUP reads the configuration again, goes over to its discovery and to the keys in its key files.
/// What can't be used changes nothing. Never ends.
async fn reload(
    mut hangup: Signal,
    sources: Sources,
    discovery: watch::Sender<Option<SocketAddr>>,
    reloaded: Rc<OnceCell<Reloaded>>,
) {
    while hangup.recv().await.is_some() {
        let config = read(&sources, Occasion::Reload);
        stops::at("reload.read");
        match config {
            Ok(config) => {
                info!("SIGHUP: the configuration was read again");
                discovery.send_if_modified(|at| std::mem::replace(at, config.discovery) != config.discovery);
                let Some(Reloaded { peers, admin, fleet }) = reloaded.get() else { continue };
                if let (Some(handle), Some(fleet)) = (fleet, config.fleet) {
                    handle.rekey(fleet.keys);
                }
                if let (Some(handle), Some(peers)) = (peers, config.peers) {
                    handle.rekey(peers.keys);
                }
                if let (Some(handle), Some(admin)) = (admin, config.admin) {
                    handle.rekey(admin.keys);
                }
            }
            Err(faults) => faults.iter().for_each(|fault| warn!(fault, "SIGHUP: the old settings stay")),
        }
    }
}

/// Starts what overrides need, as far as the configuration asks for it. The admin console waits until clients are
/// served: its `health` is the process's yes.
async fn control(
    config: &mut Config,
    flows: &Flows,
    targets: &HttpTargets,
    budgets: &StreamBudget,
    reports: &Rc<DiscoveryReports>,
    phase: &Rc<Phase>,
) -> Result<Started, String> {
    let (classes, tenants) = (config.site.classes.clone(), config.site.tenants.clone());
    let fleet = match config.fleet.take() {
        Some(fleet) => Some(fleet::start(fleet, flows.clone()).await?),
        None => None,
    };
    let wanted = config.admin.is_some() || config.peers.is_some() || config.state_dir.is_some();
    if !wanted && config.admin_console.is_none() {
        return Ok(Started { reloaded: Reloaded { fleet, ..Reloaded::default() }, calls: None });
    }
    let mut table = Table::new(&config.name, config.longest);
    let store = match &config.state_dir {
        Some(StateDir::Named(dir)) => Some(Store::open(dir)?),
        Some(StateDir::Temporary(dir)) => Some(Store::open_later(dir)),
        None => None,
    };
    if let Some(store) = &store {
        store.load(&mut table);
    }
    let overrides = Overrides::new(table, flows.clone(), classes.clone(), tenants);
    actix_rt::spawn(overrides.clone().run());
    let store = store.map(|store| {
        let handle = store.start(overrides.clone());
        flows.set_operator_state_source(Rc::new(LoggedOperatorState { store, overrides: overrides.clone() }));
        handle
    });
    let peers = match config.peers.take() {
        Some(peers) => Some(peers::start(peers, overrides.clone(), reports.clone()).await?),
        None => None,
    };
    let siblings = match (&config.state_dir, config.admin_console) {
        (Some(dir), Some(console)) => Some(Siblings::new(dir.path(), console)?),
        _ => None,
    };
    let (dispatcher, flows, longest) = (config.name.clone(), flows.clone(), config.longest);
    let (budgets, peer) = (budgets.clone(), peers.clone());
    let calls = admin::Calls {
        dispatcher,
        classes,
        flows,
        targets: targets.clone(),
        budgets,
        overrides,
        peers: peer,
        store,
        fleet: fleet.clone(),
        siblings,
        phase: phase.clone(),
        longest,
    };
    let calls = Rc::new(calls);
    let admin = match config.admin.take() {
        Some(admin) => Some(admin::start(admin, calls.clone()).await?),
        None => None,
    };
    Ok(Started { reloaded: Reloaded { peers, admin, fleet }, calls: Some(calls) })
}

/// What [`control`] has started.
#[derive(Default)]
struct Started {
    reloaded: Reloaded,
    calls: Option<Rc<admin::Calls>>,
}

async fn run(mut config: Config, sources: Sources) -> Result<(), String> {
    // First of all: a signal that nobody waits for ends the program.
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let hangup = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
    let (discovery, discovery_at) = watch::channel(config.discovery);
    let reloaded = Rc::new(OnceCell::new());
    actix_rt::spawn(reload(hangup, sources, discovery, reloaded.clone()));
    let site = config.site.clone();
    let deadlines = site.settings.classes.iter().map(|c| Duration::from_micros(c.deadline));
    let longest_deadline = deadlines.clone().max().unwrap_or_default();
    let words = Vocabulary {
        classes: site.classes.iter().cloned().zip(deadlines).collect(),
        tenants: site.tenants.clone(),
    };
    let drains = Duration::from_micros(site.drain_grace);
    let bounds = Bounds {
        flows: site.settings.allowed.most_held,
        bytes: config.memory / BODY_PART,
        drain_grace: (!site.settings.rules.dropped_stay_open).then_some(drains),
    };
    let connect_within = Duration::from_micros(site.connect_timeout);
    let keepalive = Duration::from_micros(site.settings.allowed.keepalive);
    let schedule = WatchSchedule::new(site.settings.instances, config.seed);
    let reports = site.settings.report_source != ReportSource::None;
    let source_kind = ListSourceKind::of(&config);
    let status = match source_kind {
        ListSourceKind::Pushed => ListStatus::pushed(drains.as_millis() as u64),
        ListSourceKind::Asked => ListStatus::polled_by_tier(site.settings.instances),
        ListSourceKind::Fixed => ListStatus::fixed(),
    };
    // Before any socket is opened: what stands in one has come since.
    let arrivals = Rc::new(ArrivalClock::new(Instant::now()));
    actix_rt::spawn(arrivals.clone().run());
    let monitor = Rc::new(ListMonitor::new(status, arrivals.clone()));
    let facade = Facade::new(site.settings, config.seed).map_err(|e| e.to_string())?;
    let flows = Flows::new(facade, bounds, monitor.clone());
    flows.update_list_validity();
    let discovery_reports = Rc::new(DiscoveryReports::new(monitor.clone()));
    actix_rt::spawn(monitor.clone().run(flows.clone()));
    let budgets = StreamBudget::new(config.memory / STREAM_PART, STREAM_FLOOR, STREAM_CEILING);
    let client = HttpClient::new(connect_within, keepalive, config.outbound, config.connections);
    let targets = HttpTargets::new(flows.clone(), client.clone(), connect_within, reports);
    flows.add_target(Rc::new(targets.clone()));
    let mut transports = FxHashMap::default();
    for workers in &config.workers {
        let transport = BeanstalkdTargets::new(flows.clone(), workers, &config.name, connect_within);
        transports.insert(workers.kind.clone(), flows.add_target(Rc::new(transport)));
    }
    for workers in &config.upstreams {
        let transport = Upstreams::new(flows.clone(), workers, connect_within, keepalive, config.outbound);
        transports.insert(workers.kind.clone(), flows.add_target(Rc::new(transport)));
    }
    let mut names = NameTable { zones: site.zones, kinds: site.kinds, transports };
    if let Some(known) = &config.known {
        list::apply_list(&flows, &mut names, known, ListKind::Cached);
        monitor.set_version(known.version);
        info!(version = known.version, workers = known.servers.len(), "worker list: told at the start");
    }
    if let Some(peers) = config.load_gossip.take() {
        peers::load_gossip::start(peers, flows.clone(), discovery_reports.clone()).await?;
    }
    let shared = config.inherited.is_some();
    let phase = Rc::new(Phase::new(monitor.clone(), shared));
    let Started { reloaded: control, calls } =
        control(&mut config, &flows, &targets, &budgets, &discovery_reports, &phase).await?;
    let fleet = control.fleet.clone();
    let _ = reloaded.set(control);
    let Config { routes, known, .. } = config;
    let origin = match config.inherited {
        Some(fd) => Origin::Inherited(fd),
        None => Origin::Bind(config.listen),
    };
    let slots = ConnectionSlots::new(config.inbound, arrivals.clone());
    stops::at("start.listen");
    let socket = listeners::socket::open(origin).await?;
    let prefix = format!("{}-{:x}", config.name, config.seed);
    let mut beanstalkd = None;
    if let Some(settings) = config.beanstalkd {
        let socket = listen_to_beanstalkd(settings.listen).await?;
        let listener = BeanstalkdListener::new(flows.clone(), settings, prefix.clone(), arrivals);
        actix_rt::spawn(listener.clone().serve(socket));
        beanstalkd = Some(listener);
    }
    let listen = socket.local_addr().map_err(|e| e.to_string())?;
    info!(addr = %listen, "listens");
    let clock = flows.clone();
    actix_rt::spawn(async move { clock.run_timers().await });
    let version = known.map(|k| k.version);
    let source = ListSource {
        flows: flows.clone(),
        client,
        discovery: discovery_at,
        names,
        initial_version: version,
        monitor: monitor.clone(),
        reports: discovery_reports,
    };
    match source_kind {
        ListSourceKind::Pushed => drop(actix_rt::spawn(list::follow(source, drains))),
        ListSourceKind::Asked => drop(actix_rt::spawn(list::watch(source, schedule))),
        ListSourceKind::Fixed => drop(actix_rt::spawn(list::serve_fixed_list(flows.clone()))),
    }
    // Before clients are served: what concerns them may come to a sibling.
    let siblings = calls.as_ref().and_then(|calls| calls.siblings.clone());
    let console = match config.admin_console {
        Some(at) => Some(admin::console::bind(at).await?),
        None => None,
    };
    if let (Some(siblings), Some(calls)) = (&siblings, &calls) {
        siblings.announce(&calls.overrides).await;
    }
    let listener = HttpListener {
        flows: flows.clone(),
        targets,
        words: Rc::new(words),
        routes,
        phase: phase.clone(),
        slots: slots.clone(),
        budgets,
        siblings: siblings.clone(),
        prefix,
        made: Cell::new(0),
    };
    let serving = actix_rt::spawn(Rc::new(listener).serve(socket));
    if let (Some(socket), Some(calls)) = (console, calls) {
        actix_rt::spawn(admin::console::serve(socket, calls));
    }

    term.recv().await;
    let running =
        RunningProcess { flows, phase, beanstalkd, fleet, siblings, serving, slots, longest_deadline };
    running.stop().await;
    Ok(())
}

/// Where the worker list comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListSourceKind {
    /// An agent on this machine is sent it.
    Pushed,
    /// Discovery is asked for it.
    Asked,
    /// The operator's file has it.
    Fixed,
}

impl ListSourceKind {
    fn of(config: &Config) -> Self {
        match config.discovery {
            Some(_) if config.site.settings.discovery == Discovery::Push => ListSourceKind::Pushed,
            Some(_) => ListSourceKind::Asked,
            None => ListSourceKind::Fixed,
        }
    }
}

async fn listen_to_beanstalkd(at: SocketAddr) -> Result<TcpListener, String> {
    let bound = open_with_retry(|| TcpListener::bind(at)).await;
    let socket = bound.map_err(|e| format!("beanstalkd.listen: {e}"))?;
    let listen = socket.local_addr().map_err(|e| e.to_string())?;
    info!(addr = %listen, "listens to beanstalkd clients");
    Ok(socket)
}
