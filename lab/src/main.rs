//! `lineroute-lab`: plays scenarios against processes of the program.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use lineroute_lab::cost::cost;
use lineroute_lab::run::{run_alone, Setup};
use lineroute_lab::scale::report::Options;
use lineroute_lab::scenario::Scenario;
use lineroute_lab::soak;
use lineroute_lab::sweep::sweep;
use std::path::PathBuf;
use std::process::ExitCode;

/// Plays scenarios against processes of lineroute, and says which rules were kept.
#[derive(Debug, Parser)]
#[command(name = "lineroute-lab", version)]
#[command(after_help = "Exit codes: 0 all rules kept, 1 a rule broken, 2 wrong usage, 3 it can't be played.")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Start the processes of a scenario, break them by its timeline, and check what was seen
    Faults {
        scenario: PathBuf,
        /// The same seed asks the same jobs and breaks the same things
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Play so many seeds, one after the other, from --seed on
        #[arg(long, value_name = "COUNT")]
        seeds: Option<u64>,
        /// Print JSON
        #[arg(long)]
        json: bool,
        /// Keep logs, files and the trace there
        #[arg(long, value_name = "DIR")]
        keep: Option<PathBuf>,
        /// The program; beside this one unless it is said
        #[arg(long, value_name = "FILE")]
        program: Option<PathBuf>,
    },
    /// Start processes and break them, their links, workers and discovery by faults drawn from a seed
    Soak {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Play so many seeds, one after the other, from --seed on
        #[arg(long, value_name = "COUNT", default_value_t = 1)]
        seeds: u64,
        /// Processes of the program, 2 to 40
        #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u64).range(2..=40))]
        processes: u64,
        /// How long clients ask
        #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(8..=600))]
        secs: u64,
        /// Take faults out of the scenario of a bad seed, one by one, while it still breaks the rule
        #[arg(long, requires = "keep")]
        shrink: bool,
        /// Print JSON
        #[arg(long)]
        json: bool,
        /// Keep logs, traces and the scenarios of bad seeds there
        #[arg(long, value_name = "DIR")]
        keep: Option<PathBuf>,
        /// The program; beside this one unless it is said
        #[arg(long, value_name = "FILE")]
        program: Option<PathBuf>,
    },
    /// Play a scenario with its fleet and without, in turn, and compare what processes used
    Cost {
        scenario: PathBuf,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, value_name = "COUNT", default_value_t = 5)]
        pairs: usize,
        /// Print JSON
        #[arg(long)]
        json: bool,
        /// The program; beside this one unless it is said
        #[arg(long, value_name = "FILE")]
        program: Option<PathBuf>,
    },
    /// Play a fleet in virtual time with nothing broken: bytes and processor time of a member that idles
    Idle {
        #[arg(long, value_delimiter = ',', default_values_t = [5, 50, 300])]
        members: Vec<u16>,
        /// Print JSON
        #[arg(long)]
        json: bool,
    },
    /// Play the fleet's ownership in virtual time over many seeds
    Ownership {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, value_name = "COUNT", default_value_t = 1)]
        seeds: u64,
        /// Print JSON
        #[arg(long)]
        json: bool,
    },
    /// Measure what each role costs by the size of the fleet, and hold it against the budgets at full size
    Scale {
        /// One scenario; all of them unless it is named
        name: Option<String>,
        /// Small sizes only, in less than a minute
        #[arg(long)]
        quick: bool,
        /// The same seed gives the same rows, times of this machine aside
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Print JSON
        #[arg(long)]
        json: bool,
        /// Keep the report, its rows as JSON and as a Markdown table there
        #[arg(long, value_name = "DIR")]
        out: Option<PathBuf>,
    },
    /// The part of `scale` that runs in a process of its own: memory of hollow dispatchers
    #[command(hide = true)]
    ScaleMemory { plan: String },
    /// Judge a kept trace again
    Check { scenario: PathBuf, trace: PathBuf },
    /// Print the JSON Schema of a scenario file
    Schema,
}

fn main() -> ExitCode {
    match play(Cli::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(words) => {
            eprintln!("{words}");
            ExitCode::from(3)
        }
    }
}

fn play(command: Command) -> Result<bool, String> {
    match command {
        Command::Faults { scenario, seed, seeds, json, keep, program } => {
            let scenario = Scenario::read(&scenario)?;
            let setup = Setup { program: find(program)?, keep, seed };
            match seeds {
                Some(count) => {
                    let summary = sweep(&scenario, &setup, seed, count);
                    print(&summary, json)?;
                    Ok(summary.is_good())
                }
                None => {
                    let outcome = run_alone(&scenario, &setup)?;
                    print(&outcome.verdict, json)?;
                    Ok(outcome.verdict.broken.is_empty())
                }
            }
        }
        Command::Soak { seed, seeds, processes, secs, shrink, json, keep, program } => {
            let setup = Setup { program: find(program)?, keep, seed };
            let options = soak::Options { processes: processes as usize, seconds: secs };
            let summary = soak::soak(options, &setup, seed..seed + seeds, shrink);
            print(&summary, json)?;
            Ok(summary.is_good())
        }
        Command::Cost { scenario, seed, pairs, json, program } => {
            let scenario = Scenario::read(&scenario)?;
            let setup = Setup { program: find(program)?, keep: None, seed };
            let cost = cost(&scenario, &setup, pairs)?;
            print(&cost, json)?;
            Ok(cost.broken == 0)
        }
        Command::Idle { members, json } => {
            let idle: Vec<_> = members.into_iter().map(lineroute_lab::sim::measure_idle).collect();
            idle.iter().try_for_each(|idle| print(idle, json))?;
            Ok(true)
        }
        Command::Ownership { seed, seeds, json } => {
            let summary = lineroute_lab::sim::sweep(seed, seeds);
            print(&summary, json)?;
            Ok(summary.violations.is_empty())
        }
        Command::Scale { name, quick, seed, json, out } => lineroute_lab::scale::command::run(
            name.as_deref(),
            &Options { quick, seed },
            json,
            out.as_deref(),
        ),
        Command::ScaleMemory { plan } => {
            let plan = serde_json::from_str(&plan).map_err(|e| format!("plan: {e}"))?;
            print(&lineroute_lab::scale::memory::measure(plan)?, true)?;
            Ok(true)
        }
        Command::Check { scenario, trace } => {
            let scenario = Scenario::read(&scenario)?;
            let text = std::fs::read_to_string(&trace).map_err(|e| format!("{}: {e}", trace.display()))?;
            let events: Result<Vec<_>, _> = text.lines().map(serde_json::from_str).collect();
            let verdict = lineroute_lab::checker::check(&scenario, &events.map_err(|e| e.to_string())?);
            print(&verdict, false)?;
            Ok(verdict.broken.is_empty())
        }
        Command::Schema => {
            let schema = schemars::schema_for!(Scenario);
            println!("{}", serde_json::to_string_pretty(&schema).map_err(|e| e.to_string())?);
            Ok(true)
        }
    }
}

fn find(program: Option<PathBuf>) -> Result<PathBuf, String> {
    let path = match program {
        Some(path) => path,
        None => std::env::current_exe().map_err(|e| e.to_string())?.with_file_name("lineroute"),
    };
    match path.is_file() {
        true => Ok(path),
        false => Err(format!("{}: there is no program; build it, or name it by --program", path.display())),
    }
}

/// For people the same as for scripts, but a key a line and without what is empty.
fn print(what: &impl serde::Serialize, json: bool) -> Result<(), String> {
    let value = serde_json::to_value(what).map_err(|e| e.to_string())?;
    if json {
        println!("{value}");
        return Ok(());
    }
    lines("", &value);
    Ok(())
}

fn lines(key: &str, value: &serde_json::Value) {
    use serde_json::Value;
    match value {
        Value::Object(map) => {
            for (name, value) in map {
                lines(&if key.is_empty() { name.clone() } else { format!("{key}.{name}") }, value);
            }
        }
        Value::Array(items) => items.iter().for_each(|item| match item {
            Value::Object(map) if map.contains_key("words") => {
                println!("{key}: {} at {} us: {}", map["rule"], map["at"], map["words"]);
            }
            other => println!("{key}: {other}"),
        }),
        Value::Number(number) if number.as_f64() == Some(0.0) => {}
        other => println!("{key}: {other}"),
    }
}
