//! lineroute: accepts jobs from clients and pushes them to workers. The whole process runs on one thread.
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
mod memory;
mod nginx;
mod overrides;
mod peers;
mod pieces;
mod siblings;
mod stop;
mod stops;
mod store;
mod targets;

use crate::local_faults::open_with_retry;
use arrival::ArrivalClock;
use body::StreamBudget;
use cli::RunArgs;
use config::{Config, Faults, LoadPhase, Sources, StateDir};
use facade::{Discovery, Facade, ListKind, ReportSource};
use flow::{Bounds, Flows};
use lineroute_control::list_status::ListStatus;
use lineroute_control::overrides::Table;
use lineroute_control::watch::WatchSchedule;
use list::monitor::ListMonitor;
use list::{ListSource, NameTable};
use listeners::beanstalkd::BeanstalkdListener;
use listeners::connection_slots::ConnectionSlots;
use listeners::http::{HttpListener, ListenerLifecycle, WorkloadNames};
use listeners::socket::SocketSource;
use memory::MemoryBudget;
use overrides::Overrides;
use peers::discovery_reports::DiscoveryReports;
use rustc_hash::FxHashMap;
use siblings::answers::SiblingAnswers;
use siblings::reference_locks::ReferenceLocks;
use siblings::Siblings;
use std::cell::{Cell, OnceCell};
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};
use stop::RunningProcess;
use store::{LoggedOperatorState, Store};
use targets::beanstalkd::BeanstalkdTargets;
use targets::client::{ClientLimits, HttpClient};
use targets::http::HttpTargets;
use targets::shared_tubes::SharedTubes;
use targets::upstream::{UpstreamLimits, Upstreams};
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use tracing::{info, info_span, warn};

/// The least and most bytes that one stream may hold.
const STREAM_MIN_BYTES: usize = 16 << 10;
const STREAM_MAX_BYTES: usize = 256 << 10;

fn main() -> ExitCode {
    cli::main(start)
}

fn start(args: RunArgs) -> Result<(), String> {
    let sources: Sources = args.sources.into();
    let config = read_config(&sources, LoadPhase::Start).map_err(|faults| faults.to_string())?;
    let limit = log::start(args.log_format, args.log);
    actix_rt::System::new().block_on(async {
        // Everything runs on this thread, so the span covers all log lines. It names the process, since two processes of a
        // dispatcher may run at a time.
        let process = std::process::id();
        let _dispatcher = info_span!("lineroute", dispatcher = %config.name, process).entered();
        actix_rt::spawn(log::report_dropped_lines(limit));
        if config.inherited_fd.is_some() || config.admin_console.is_some() {
            info!(inherited = ?config.inherited_fd, admin_console = ?config.admin_console, state_dir = ?config.state_dir,
                "process starts, perhaps beside one that it replaces");
        }
        run(config, sources).await
    })
}

fn read_config(sources: &Sources, phase: LoadPhase) -> Result<Config, Faults> {
    config::read(|key| std::env::var(key).ok(), sources, phase)
}

/// Handles of the subsystems that receive new settings on a reload.
#[derive(Default)]
struct ReloadHandles {
    peers: Option<peers::Handle>,
    admin: Option<admin::Handle>,
    fleet: Option<fleet::Handle>,
}

/// Reads the configuration again on each SIGHUP and switches to its discovery address and to the keys in its key files.
/// An invalid configuration changes nothing. Never completes.
async fn reload(
    mut hangup: Signal,
    sources: Sources,
    discovery: watch::Sender<Option<SocketAddr>>,
    reload_handles: Rc<OnceCell<ReloadHandles>>,
) {
    while hangup.recv().await.is_some() {
        let config = read_config(&sources, LoadPhase::Reload);
        stops::at("reload.read");
        match config {
            Ok(config) => {
                info!("SIGHUP: configuration reloaded");
                discovery.send_if_modified(|at| std::mem::replace(at, config.discovery) != config.discovery);
                let Some(ReloadHandles { peers, admin, fleet }) = reload_handles.get() else { continue };
                if let (Some(handle), Some(fleet)) = (fleet, config.fleet) {
                    handle.rekey(fleet.keys);
                }
                if let (Some(handle), Some(peers)) = (peers, config.peers) {
                    handle.rekey(peers.keys);
                }
                if let (Some(handle), Some(admin)) = (admin, config.admin) {
                    handle.set_keys(admin.keys);
                }
            }
            Err(faults) => faults.iter().for_each(|fault| {
                warn!(fault, "SIGHUP: invalid configuration; the old settings stay in force")
            }),
        }
    }
}

/// Starts the subsystems around overrides that the configuration enables. The admin console is started later, once clients
/// are served, since its `health` command reports that the process is ready.
async fn start_control(config: &mut Config, parts: ControlParts) -> Result<Started, String> {
    let ControlParts { flows, targets, tubes, budgets, memory, reports, lifecycle } = parts;
    let (classes, tenants) = (config.platform.classes.clone(), config.platform.tenants.clone());
    let fleet = match config.fleet.take() {
        Some(fleet) => Some(fleet::start(fleet, flows.clone()).await?),
        None => None,
    };
    let wanted = config.admin.is_some() || config.peers.is_some() || config.state_dir.is_some();
    if !wanted && config.admin_console.is_none() {
        return Ok(Started {
            reload_handles: ReloadHandles { fleet, ..ReloadHandles::default() },
            calls: None,
        });
    }
    let mut table = Table::new(&config.name, config.max_override_ms);
    let store = match &config.state_dir {
        Some(StateDir::Named(dir)) => Some(Store::open(dir)?),
        Some(StateDir::Temporary(dir)) => Some(Store::open_lazily(dir)),
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
    let (dispatcher, longest, peer) = (config.name.clone(), config.max_override_ms, peers.clone());
    let calls = admin::AdminService {
        dispatcher,
        classes,
        flows,
        targets,
        tubes,
        budgets,
        memory,
        overrides,
        peers: peer,
        store,
        fleet: fleet.clone(),
        siblings,
        lifecycle,
        max_override_ms: longest,
    };
    let calls = Rc::new(calls);
    let admin = match config.admin.take() {
        Some(admin) => Some(admin::start(admin, calls.clone()).await?),
        None => None,
    };
    Ok(Started { reload_handles: ReloadHandles { peers, admin, fleet }, calls: Some(calls) })
}

/// What the subsystems around overrides work with.
struct ControlParts {
    flows: Flows,
    targets: HttpTargets,
    tubes: SharedTubes,
    budgets: StreamBudget,
    memory: Rc<MemoryBudget>,
    reports: Rc<DiscoveryReports>,
    lifecycle: Rc<ListenerLifecycle>,
}

/// The subsystems that [`start_control`] has started.
#[derive(Default)]
struct Started {
    reload_handles: ReloadHandles,
    calls: Option<Rc<admin::AdminService>>,
}

async fn run(mut config: Config, sources: Sources) -> Result<(), String> {
    // Signal handlers come first: without them a signal would terminate the process.
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let hangup = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
    let (discovery, discovery_at) = watch::channel(config.discovery);
    let reload_handles = Rc::new(OnceCell::new());
    actix_rt::spawn(reload(hangup, sources, discovery, reload_handles.clone()));
    let site = config.platform.clone();
    let deadlines = site.settings.classes.iter().map(|c| Duration::from_micros(c.deadline));
    let longest_deadline = deadlines.clone().max().unwrap_or_default();
    let words = WorkloadNames {
        classes: site.classes.iter().cloned().zip(deadlines).collect(),
        tenants: site.tenants.clone(),
    };
    let drain_grace = Duration::from_micros(site.drain_grace);
    let bounds = Bounds {
        flows: site.settings.allowed.most_held,
        bytes: config.memory.requests,
        drain_grace: (!site.settings.rules.dropped_stay_open).then_some(drain_grace),
    };
    let connect_timeout = Duration::from_micros(site.connect_timeout);
    let keepalive = Duration::from_micros(site.settings.allowed.keepalive);
    let schedule = WatchSchedule::new(site.settings.instances, config.seed);
    let reports = site.settings.report_source != ReportSource::None;
    let list_delivery = ListDelivery::of(&config);
    let status = match list_delivery {
        ListDelivery::Pushed => ListStatus::pushed(drain_grace.as_millis() as u64),
        ListDelivery::Polled => ListStatus::polled_by_tier(site.settings.instances),
        ListDelivery::Fixed => ListStatus::fixed(),
    };
    // Created before any socket is opened, so that data in a socket cannot be older than the clock.
    let arrivals = Rc::new(ArrivalClock::new(Instant::now()));
    actix_rt::spawn(arrivals.clone().run());
    let monitor = Rc::new(ListMonitor::new(status, arrivals.clone()));
    let facade = Facade::new(site.settings, config.seed).map_err(|e| e.to_string())?;
    let flows = Flows::new(facade, bounds, monitor.clone());
    flows.update_list_validity();
    let discovery_reports = Rc::new(DiscoveryReports::new(monitor.clone()));
    actix_rt::spawn(monitor.clone().run(flows.clone()));
    let budgets = StreamBudget::new(config.memory.streams, STREAM_MIN_BYTES, STREAM_MAX_BYTES);
    let memory = MemoryBudget::new(config.memory.requests);
    let limits = ClientLimits {
        connect_timeout,
        keepalive,
        max_calls: config.max_worker_calls,
        max_open_connections: config.max_worker_connections,
    };
    let client = HttpClient::new(limits, memory.clone());
    let targets = HttpTargets::new(flows.clone(), client.clone(), connect_timeout, reports);
    flows.add_target(Rc::new(targets.clone()));
    let mut transports = FxHashMap::default();
    let tubes = SharedTubes::default();
    for workers in &config.beanstalkd_workers {
        let transport = BeanstalkdTargets::new(
            flows.clone(),
            workers,
            &config.name,
            connect_timeout,
            memory.clone(),
            tubes.clone(),
        );
        tubes.add(transport.clone());
        transports.insert(workers.kind.clone(), flows.add_target(Rc::new(transport)));
    }
    for workers in &config.http_workers {
        let limits = UpstreamLimits { connect_timeout, keepalive, max_calls: config.max_worker_calls };
        let transport = Upstreams::new(flows.clone(), workers, limits, memory.clone());
        transports.insert(workers.kind.clone(), flows.add_target(Rc::new(transport)));
    }
    let mut names = NameTable { zones: site.zones, kinds: site.kinds, transports };
    if let Some(known) = &config.known_workers {
        list::apply_list(&flows, &mut names, known, ListKind::Cached);
        monitor.set_version(known.version);
        info!(version = known.version, workers = known.servers.len(), "worker list: told at the start");
    }
    if let Some(peers) = config.load_gossip.take() {
        peers::load_gossip::start(peers, flows.clone(), discovery_reports.clone()).await?;
    }
    let shared = config.inherited_fd.is_some();
    let lifecycle = Rc::new(ListenerLifecycle::new(monitor.clone(), shared));
    let parts = ControlParts {
        flows: flows.clone(),
        targets: targets.clone(),
        tubes: tubes.clone(),
        budgets: budgets.clone(),
        memory: memory.clone(),
        reports: discovery_reports.clone(),
        lifecycle: lifecycle.clone(),
    };
    let Started { reload_handles: handles, calls } = start_control(&mut config, parts).await?;
    let fleet = handles.fleet.clone();
    let _ = reload_handles.set(handles);
    let Config { routes, known_workers, .. } = config;
    let origin = match config.inherited_fd {
        Some(fd) => SocketSource::Inherited(fd),
        None => SocketSource::Bind(config.listen),
    };
    let slots = ConnectionSlots::new(config.max_client_connections, arrivals.clone());
    memory.add_reclaimer(&slots);
    stops::at("start.listen");
    let socket = listeners::socket::open(origin).await?;
    let siblings = calls.as_ref().and_then(|calls| calls.siblings.clone());
    if shared {
        let unknown_sibling = lifecycle.clone();
        let may_have_sibling = Box::new(move || unknown_sibling.may_have_sibling());
        tubes.set_forwarder(Box::new(SiblingAnswers::new(
            siblings.clone(),
            may_have_sibling,
            memory.clone(),
        )));
        let (lifecycle, siblings) = (lifecycle.clone(), siblings.clone());
        let may_have_sibling =
            move || lifecycle.may_have_sibling() || siblings.as_ref().is_some_and(|s| s.knows_any());
        let locks = ReferenceLocks::open(&config.shared_dir, socket.as_fd(), Box::new(may_have_sibling));
        flows.set_reference_locks(locks.map_err(|e| format!("GW_FD: {e}"))?);
    }
    // Processes of one dispatcher may have the same seed.
    let prefix = format!("{}-{:x}-{:x}", config.name, config.seed, std::process::id());
    let beanstalkd = match config.beanstalkd {
        Some(settings) => {
            let socket = bind_beanstalkd(settings.listen).await?;
            Some((
                socket,
                BeanstalkdListener::new(flows.clone(), settings, prefix.clone(), arrivals, memory.clone()),
            ))
        }
        None => None,
    };
    let listen = socket.local_addr().map_err(|e| e.to_string())?;
    info!(addr = %listen, "listens");
    let timer_flows = flows.clone();
    actix_rt::spawn(async move { timer_flows.run_timers().await });
    let version = known_workers.map(|k| k.version);
    let source = ListSource {
        flows: flows.clone(),
        client,
        discovery: discovery_at,
        names,
        initial_version: version,
        monitor: monitor.clone(),
        reports: discovery_reports,
    };
    match list_delivery {
        ListDelivery::Pushed => drop(actix_rt::spawn(list::follow(source, drain_grace))),
        ListDelivery::Polled => drop(actix_rt::spawn(list::watch(source, schedule))),
        ListDelivery::Fixed => drop(actix_rt::spawn(list::serve_fixed_list(flows.clone()))),
    }
    // The admin console and the siblings come before clients are served, since an operator's command that concerns those clients
    // may reach a sibling.
    stops::at("start.console");
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
        names: Rc::new(words),
        routes,
        lifecycle: lifecycle.clone(),
        slots: slots.clone(),
        budgets,
        memory,
        siblings: siblings.clone(),
        id_prefix: prefix,
        generated_ids: Cell::new(0),
    };
    // Clients are served only once nothing can fail the start any more: it would lose what was accepted.
    let serving = actix_rt::spawn(Rc::new(listener).serve(socket));
    let beanstalkd = beanstalkd.map(|(socket, listener)| {
        actix_rt::spawn(listener.clone().serve(socket));
        listener
    });
    if let (Some(socket), Some(calls)) = (console, calls) {
        actix_rt::spawn(admin::console::serve(socket, calls));
    }

    term.recv().await;
    let running =
        RunningProcess { flows, lifecycle, beanstalkd, fleet, siblings, serving, slots, longest_deadline };
    running.stop().await;
    Ok(())
}

/// The source of the worker list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListDelivery {
    /// Discovery pushes the list to an agent on this host.
    Pushed,
    /// The dispatcher polls discovery.
    Polled,
    /// The list is in the operator's file.
    Fixed,
}

impl ListDelivery {
    fn of(config: &Config) -> Self {
        match config.discovery {
            Some(_) if config.platform.settings.discovery == Discovery::Push => ListDelivery::Pushed,
            Some(_) => ListDelivery::Polled,
            None => ListDelivery::Fixed,
        }
    }
}

async fn bind_beanstalkd(at: SocketAddr) -> Result<TcpListener, String> {
    let bound = open_with_retry(|| TcpListener::bind(at)).await;
    let socket = bound.map_err(|e| format!("beanstalkd.listen: {e}"))?;
    let listen = socket.local_addr().map_err(|e| e.to_string())?;
    info!(addr = %listen, "listens to beanstalkd clients");
    Ok(socket)
}
