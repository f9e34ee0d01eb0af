//! `lineroute-lab`: runs scenarios against lineroute processes.
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

/// Runs scenarios against lineroute processes and reports which rules were kept
#[derive(Debug, Parser)]
#[command(name = "lineroute-lab", version)]
#[command(
    after_help = "Exit codes: 0 all rules kept, 1 a rule was broken, 2 usage error, 3 the run could not be started."
)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run a scenario: start its processes, inject the faults of its timeline, and check the recorded events
    Faults {
        scenario: PathBuf,
        /// The same seed gives the same jobs and the same faults
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of seeds to run in sequence, starting at --seed
        #[arg(long, value_name = "COUNT")]
        seeds: Option<u64>,
        /// Print JSON
        #[arg(long)]
        json: bool,
        /// Keep logs, files and the trace in this directory
        #[arg(long, value_name = "DIR")]
        keep: Option<PathBuf>,
        /// The lineroute binary [default: next to this one]
        #[arg(long, value_name = "FILE")]
        program: Option<PathBuf>,
    },
    /// Run processes under random faults of processes, links, workers and discovery, generated from a seed
    Soak {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of seeds to run in sequence, starting at --seed
        #[arg(long, value_name = "COUNT", default_value_t = 1)]
        seeds: u64,
        /// Number of lineroute processes, 2 to 40
        #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u64).range(2..=40))]
        processes: u64,
        /// How long clients send requests, in seconds
        #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(8..=600))]
        secs: u64,
        /// Minimise the scenario of a failing seed: remove faults one by one while it still breaks the rule
        #[arg(long, requires = "keep")]
        shrink: bool,
        /// Print JSON
        #[arg(long)]
        json: bool,
        /// Keep logs, traces and the scenarios of failing seeds in this directory
        #[arg(long, value_name = "DIR")]
        keep: Option<PathBuf>,
        /// The lineroute binary [default: next to this one]
        #[arg(long, value_name = "FILE")]
        program: Option<PathBuf>,
    },
    /// Run a scenario alternately with and without its fleet and compare resource usage
    Cost {
        scenario: PathBuf,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, value_name = "COUNT", default_value_t = 5)]
        pairs: usize,
        /// Print JSON
        #[arg(long)]
        json: bool,
        /// The lineroute binary [default: next to this one]
        #[arg(long, value_name = "FILE")]
        program: Option<PathBuf>,
    },
    /// Simulate a fleet without faults in virtual time: traffic and CPU time of an idle member
    Idle {
        #[arg(long, value_delimiter = ',', default_values_t = [5, 50, 300])]
        members: Vec<u16>,
        /// Print JSON
        #[arg(long)]
        json: bool,
    },
    /// Simulate the fleet's ownership protocol in virtual time over many seeds
    Ownership {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, value_name = "COUNT", default_value_t = 1)]
        seeds: u64,
        /// Print JSON
        #[arg(long)]
        json: bool,
    },
    /// Measure the cost of each role by fleet size and compare it with the budgets at full size
    Scale {
        /// Run only this scenario [default: all]
        name: Option<String>,
        /// Small sizes only; takes less than a minute
        #[arg(long)]
        quick: bool,
        /// The same seed gives the same rows, except for times measured on this machine
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Print JSON
        #[arg(long)]
        json: bool,
        /// Write the report and its rows, as JSON and as a Markdown table, to this directory
        #[arg(long, value_name = "DIR")]
        out: Option<PathBuf>,
    },
    /// The part of `scale` that runs in a separate process: memory of simulated dispatchers
    #[command(hide = true)]
    ScaleMemory { plan: String },
    /// Check a saved trace again
    Check { scenario: PathBuf, trace: PathBuf },
    /// Print the JSON Schema of a scenario file
    Schema,
}

fn main() -> ExitCode {
    match run(Cli::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(message) => {
            eprintln!("{message}");
            ExitCode::from(3)
        }
    }
}

fn run(command: Command) -> Result<bool, String> {
    match command {
        Command::Faults { scenario, seed, seeds, json, keep, program } => {
            let scenario = Scenario::read(&scenario)?;
            let setup = Setup { program: find_program(program)?, keep, seed };
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
            let setup = Setup { program: find_program(program)?, keep, seed };
            let options = soak::Options { processes: processes as usize, seconds: secs };
            let summary = soak::soak(options, &setup, seed..seed + seeds, shrink);
            print(&summary, json)?;
            Ok(summary.is_good())
        }
        Command::Cost { scenario, seed, pairs, json, program } => {
            let scenario = Scenario::read(&scenario)?;
            let setup = Setup { program: find_program(program)?, keep: None, seed };
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

fn find_program(program: Option<PathBuf>) -> Result<PathBuf, String> {
    let path = match program {
        Some(path) => path,
        None => std::env::current_exe().map_err(|e| e.to_string())?.with_file_name("lineroute"),
    };
    match path.is_file() {
        true => Ok(path),
        false => Err(format!("{}: program not found; build it or pass --program", path.display())),
    }
}

/// Prints JSON, or one `key: value` pair per line without zero values.
fn print(summary: &impl serde::Serialize, json: bool) -> Result<(), String> {
    let value = serde_json::to_value(summary).map_err(|e| e.to_string())?;
    if json {
        println!("{value}");
        return Ok(());
    }
    print_lines("", &value);
    Ok(())
}

fn print_lines(key: &str, value: &serde_json::Value) {
    use serde_json::Value;
    match value {
        Value::Object(map) => {
            for (name, value) in map {
                print_lines(&if key.is_empty() { name.clone() } else { format!("{key}.{name}") }, value);
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
