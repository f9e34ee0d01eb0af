//! Real processes of the program compared with hollow dispatchers: the cost of a process that watches discovery, and
//! whether a hollow dispatcher makes the same calls and transfers the same bytes at a small size.

use super::counted_discovery::{CountingDiscovery, Counts};
use super::report::{Mechanism, Options, Role, Row, SizeUnit};
use super::target;
use super::usage;
use super::watch::{simulate, DiscoveryModel, Plan, Time, MILLISECOND};
use super::worker_list::WorkerList;
use serde_json::json;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// Interval between two changes of the list.
const CHANGE_INTERVAL: Duration = Duration::from_millis(500);
/// By then a process has its list, and its memory no longer grows.
const SETTLING_TIME: Duration = Duration::from_secs(12);
const MEASURED_TIME: Duration = Duration::from_secs(60);
const QUICK_SPANS: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(1));
/// Real processes at each size of the comparison, and hollow dispatchers.
const REAL_PROCESSES: u32 = 4;
const HOLLOW_DISPATCHERS: u32 = 40;
/// Workers in the comparison.
const CHECKED_WORKERS: u32 = 100;
/// A hollow dispatcher's calls and bytes may differ from a real one's by at most this factor. They are not equal, since
/// each has its own random numbers.
const MAX_FACTOR: f64 = 1.25;
/// Time that the discovery server on loopback takes for a call.
const CALL_TIME: Time = MILLISECOND / 5;
const LOOPBACK_BYTES_PER_SECOND: f64 = 1e9;

pub fn rows(options: &Options) -> Vec<Row> {
    let rows = program().and_then(|program| measured_rows(&program, options));
    match rows {
        Ok(rows) => rows,
        Err(reason) => {
            let empty = Measurements::default().rows();
            empty.into_iter().map(|row| row.assuming(format!("not measured: {reason}"))).collect()
        }
    }
}

/// The `lineroute` executable in the directory of this one.
fn program() -> Result<PathBuf, String> {
    let program = std::env::current_exe().map_err(|e| e.to_string())?.with_file_name("lineroute");
    match program.is_file() {
        true => Ok(program),
        false => Err("the program is not built".into()),
    }
}

fn measured_rows(program: &Path, options: &Options) -> Result<Vec<Row>, String> {
    let sizes: &[u32] = if options.quick { &[20, 200] } else { &[100, 1000, 3000, 11_000] };
    let dispatcher_counts: &[u32] = if options.quick { &[2, 30] } else { &[2, 30, 300, 1000] };
    let by_size = sizes.iter().map(|workers| WatchingProcess {
        program,
        workers: *workers,
        configured_dispatchers: 1,
        number: 0,
    });
    let comparison = |configured_dispatchers: &u32| {
        let configured_dispatchers = *configured_dispatchers;
        (0..REAL_PROCESSES).map(move |number| WatchingProcess {
            program,
            workers: CHECKED_WORKERS,
            configured_dispatchers,
            number,
        })
    };
    let all: Vec<WatchingProcess> = by_size.chain(dispatcher_counts.iter().flat_map(comparison)).collect();
    let usages = run_all(&all, options)?;
    let (by_size, by_dispatchers) = usages.split_at(sizes.len());
    let mut measurements = Measurements::default();
    for (workers, usage) in sizes.iter().zip(by_size) {
        let size = f64::from(*workers);
        measurements.memory.push((size, usage.memory_bytes));
        measurements.cpu_share.push((size, usage.cpu_share));
        measurements.bytes.push((size, usage.counts.bytes as f64 / seconds(options)));
    }
    for (configured_dispatchers, real) in
        dispatcher_counts.iter().zip(by_dispatchers.chunks(REAL_PROCESSES as usize))
    {
        let mean =
            |value: fn(&Usage) -> u64| real.iter().map(value).sum::<u64>() as f64 / f64::from(REAL_PROCESSES);
        let hollow = hollow_counts(*configured_dispatchers, options);
        let size = f64::from(*configured_dispatchers);
        measurements.calls_factor.push((size, factor(mean(|u| u.counts.calls), hollow.0)));
        measurements.bytes_factor.push((size, factor(mean(|u| u.counts.bytes), hollow.1)));
    }
    Ok(measurements.rows())
}

/// Runs all processes in parallel, since each of them is idle nearly all the time.
fn run_all(all: &[WatchingProcess], options: &Options) -> Result<Vec<Usage>, String> {
    std::thread::scope(|scope| {
        let handles: Vec<_> = all.iter().map(|process| scope.spawn(|| process.run(options))).collect();
        handles.into_iter().map(|handle| handle.join().expect("a measuring thread does not panic")).collect()
    })
}

/// The ratio of two figures, the greater to the smaller.
fn factor(one: f64, other: f64) -> f64 {
    // Avoids a division by zero: a quick run may be too short for any call.
    let (one, other) = (one.max(1.0), other.max(1.0));
    (one / other).max(other / one)
}

fn spans(options: &Options) -> (Duration, Duration) {
    if options.quick {
        QUICK_SPANS
    } else {
        (SETTLING_TIME, MEASURED_TIME)
    }
}

fn seconds(options: &Options) -> f64 {
    spans(options).1.as_secs_f64()
}

#[derive(Default)]
struct Measurements {
    memory: Vec<(f64, f64)>,
    cpu_share: Vec<(f64, f64)>,
    bytes: Vec<(f64, f64)>,
    calls_factor: Vec<(f64, f64)>,
    bytes_factor: Vec<(f64, f64)>,
}

impl Measurements {
    fn rows(self) -> Vec<Row> {
        let by_workers = (SizeUnit::Workers, target::WORKERS);
        let by_dispatchers = (SizeUnit::Dispatchers, target::DISPATCHERS);
        let row = |quantity: &str, unit, size, points| {
            Row::measured(Role::Dispatcher, quantity, unit, size, points, Mechanism::DiscoveryWatch).timed()
        };
        vec![
            row("a real process that watches: memory", "bytes", by_workers, self.memory)
                .budget(target::MEMORY)
                .assuming("no requests, no peers; resident memory at its highest"),
            row("a real process that watches: processor time", "core", by_workers, self.cpu_share)
                .budget(target::CORE_SHARE)
                .assuming("two changes a second, nine times the mean of a day"),
            row("a real process that watches: bytes", "bytes/s", by_workers, self.bytes)
                .budget(target::BYTES_PER_SECOND)
                .assuming("two changes a second; HTTP without what TCP adds"),
            row(
                "hollow against real: calls differ by a factor of",
                "times",
                by_dispatchers,
                self.calls_factor,
            )
            .budget(MAX_FACTOR)
            .assuming("real processes whose settings name so many dispatchers, two changes a second"),
            row(
                "hollow against real: bytes differ by a factor of",
                "times",
                by_dispatchers,
                self.bytes_factor,
            )
            .budget(MAX_FACTOR)
            .assuming("the same runs"),
        ]
    }
}

/// Calls and bytes of a hollow dispatcher in virtual time, as the mean of several.
fn hollow_counts(configured_dispatchers: u32, options: &Options) -> (f64, f64) {
    let (settling, measured) = spans(options);
    let micros = |span: Duration| span.as_micros() as Time;
    let changes: Vec<Time> = (1..)
        .map(|n| n * CHANGE_INTERVAL.as_micros() as Time)
        .take_while(|at| *at < micros(settling + measured))
        .collect();
    let run = |span| {
        simulate(&Plan {
            configured_dispatchers,
            dispatchers: HOLLOW_DISPATCHERS,
            workers: CHECKED_WORKERS,
            until: micros(span),
            changes: &changes,
            empty_start_span: None,
            discovery: DiscoveryModel {
                call_time: CALL_TIME / Time::from(HOLLOW_DISPATCHERS),
                link_bytes_per_second: LOOPBACK_BYTES_PER_SECOND,
                lost_per_mille: 0,
                outage: None,
            },
            partition: None,
            seed: options.seed,
        })
    };
    let (settled, total) = (run(settling), run(settling + measured));
    let each = |total: u64, settled: u64| (total - settled) as f64 / f64::from(HOLLOW_DISPATCHERS);
    (each(total.calls, settled.calls), each(total.bytes, settled.bytes))
}

/// A real process that watches a discovery server of its own.
struct WatchingProcess<'a> {
    program: &'a Path,
    workers: u32,
    /// Number of dispatchers in its settings.
    configured_dispatchers: u32,
    number: u32,
}

struct Usage {
    counts: Counts,
    cpu_share: f64,
    memory_bytes: f64,
}

/// A child process that is killed on drop.
struct ChildProcess(Child);

impl Drop for ChildProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl WatchingProcess<'_> {
    fn run(&self, options: &Options) -> Result<Usage, String> {
        let (settling, measured) = spans(options);
        let discovery = CountingDiscovery::start(self.workers, CHANGE_INTERVAL).map_err(|e| e.to_string())?;
        let Self { workers, configured_dispatchers, number, .. } = self;
        let name =
            format!("lineroute-scale-{}-{workers}-{configured_dispatchers}-{number}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&dir).map_err(|e| format!("{}: {e}", dir.display()))?;
        let outcome = self.start(&dir, &discovery).and_then(|process| {
            std::thread::sleep(settling);
            let (counts, cpu_seconds_before) = (discovery.counts(), process.cpu_seconds()?);
            std::thread::sleep(measured);
            let now = discovery.counts();
            Ok(Usage {
                counts: Counts { calls: now.calls - counts.calls, bytes: now.bytes - counts.bytes },
                cpu_share: (process.cpu_seconds()? - cpu_seconds_before) / measured.as_secs_f64(),
                memory_bytes: process.peak_memory()?,
            })
        });
        let _ = std::fs::remove_dir_all(&dir);
        outcome
    }

    fn start(&self, dir: &Path, discovery: &CountingDiscovery) -> Result<ChildProcess, String> {
        let config = dir.join("config.json");
        let text = self.config(discovery).to_string();
        std::fs::write(&config, text).map_err(|e| format!("{}: {e}", config.display()))?;
        let mut command = Command::new(self.program);
        command.env_clear().env("GW_CONFIG", &config).env("TMPDIR", dir);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
        command.spawn().map(ChildProcess).map_err(|e| format!("{}: {e}", self.program.display()))
    }

    fn config(&self, discovery: &CountingDiscovery) -> serde_json::Value {
        let zones: Vec<String> = (0..target::ZONES as u32).map(|zone| format!("z{zone:02}")).collect();
        let class = json!({"name": "job", "aim_ms": 500, "deadline_ms": 5000, "credit": 1.0, "late_share": 0.2,
            "effect": "repeatable", "group": "all"});
        json!({"name": "d0", "listen": "127.0.0.1:0", "discovery": discovery.addr,
            "seed": format!("{:x}", 0x5ca1e + self.number), "known": WorkerList::full(self.workers).with_version(1),
            "limits": {"memory_mb": 192, "sockets": 1024},
            "settings": {"instances": self.configured_dispatchers, "discovery": "ask", "azs": zones, "skus": ["m"], "zone": 0,
                "classes": [class], "tenants": [{"name": "acme", "quota_per_s": 10_000}],
                "allowed": {"max_attempts": 3, "cancel": true, "retry_after": true, "max_retry_after_ms": 2000.0,
                    "most_held": 2000, "keepalive_ms": 10_000, "connect_timeout_ms": 500, "peers": false,
                    "may_probe": false},
                "specifics": {"class_stretch": [2.0], "tells_start": true}}})
    }
}

impl ChildProcess {
    fn proc_dir(&self) -> PathBuf {
        PathBuf::from(format!("/proc/{}", self.0.id()))
    }

    /// CPU seconds used so far.
    fn cpu_seconds(&self) -> Result<f64, String> {
        usage::cpu_seconds(&self.proc_dir())
    }

    fn peak_memory(&self) -> Result<f64, String> {
        Ok(usage::status_bytes(&self.proc_dir(), "VmHWM")? as f64)
    }
}
