//! The command line. Without a sub-command the program runs, as `run` does.
//!
//! Exit codes: 0, done; 1, it can't be done, and the message says why; 2, the command's words are off;
//! 3, no dispatcher answers at the admin address.

mod check;
mod client;
mod fleet;
mod import_nginx;
mod overrides;
mod schema;
mod span;
mod workers;

use crate::config::Sources;
use crate::log::{Format, LogLevel};
use clap::{CommandFactory, Parser, Subcommand};
use clap_complete::Shell;
use std::process::ExitCode;

/// Ends the command: what to say, and with which code.
#[derive(Debug, PartialEq)]
pub struct Failure {
    pub code: u8,
    pub words: String,
}

impl Failure {
    pub fn failed(words: impl Into<String>) -> Failure {
        Failure { code: 1, words: words.into() }
    }

    fn unreachable(words: impl Into<String>) -> Failure {
        Failure { code: 3, words: words.into() }
    }
}

/// Takes jobs from clients and pushes them to workers.
///
/// Without a command it runs a dispatcher: GW_CONFIG names the platform's configuration; GW_NAME, GW_LISTEN
/// and GW_DISCOVERY win over what it says.
#[derive(Debug, Parser)]
#[command(name = "lineroute", version, args_conflicts_with_subcommands = true)]
#[command(after_help = "Exit codes: 0 done, 1 it can't be done, 2 wrong usage, 3 no dispatcher answers.")]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    run: RunArgs,
}

/// Where configuration is found.
#[derive(Clone, Debug, Default, clap::Args)]
pub struct SourceArgs {
    /// The platform's configuration, in place of what GW_CONFIG names
    #[arg(long, value_name = "FILE")]
    config: Option<String>,
    /// The operator's file
    #[arg(long, value_name = "FILE")]
    operator: Option<String>,
}

impl From<SourceArgs> for Sources {
    fn from(args: SourceArgs) -> Sources {
        Sources { config: args.config, operator: args.operator }
    }
}

#[derive(Clone, Debug, Default, clap::Args)]
pub struct RunArgs {
    #[command(flatten)]
    pub sources: SourceArgs,
    /// The form of the log, which goes to standard error
    #[arg(long, value_name = "FORM", value_enum, default_value_t)]
    pub log_format: Format,
    /// What is logged at least
    #[arg(long, value_name = "LEVEL", value_enum, default_value_t)]
    pub log: LogLevel,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run a dispatcher (what no command means)
    Run(RunArgs),
    /// Read all configuration; print what it resolves to, or everything that is wrong with it
    Check(SourceArgs),
    /// Print the JSON Schema of the operator's file
    Schema,
    /// Print the operator's file that nginx upstream and location blocks amount to
    ImportNginx {
        /// The nginx configuration
        file: String,
    },
    /// List the workers of a running dispatcher, and what is in force for them
    Workers(workers::Args),
    /// List, set or clear overrides of a running dispatcher
    #[command(subcommand)]
    Overrides(overrides::Command),
    /// Show the fleet as a running dispatcher sees it: who is there, who owns what
    Fleet(fleet::Args),
    /// Print completions for a shell
    Completions { shell: Shell },
}

/// Reads the command line and does what it says; `run` is how a dispatcher is run.
pub fn main(run: impl FnOnce(RunArgs) -> Result<(), String>) -> ExitCode {
    let cli = Cli::parse();
    let done = match cli.command {
        None => run(cli.run).map_err(Failure::failed),
        Some(Command::Run(args)) => run(args).map_err(Failure::failed),
        Some(Command::Check(args)) => check::check(args.into()),
        Some(Command::Schema) => schema::schema(),
        Some(Command::ImportNginx { file }) => import_nginx::import(&file),
        Some(Command::Fleet(args)) => fleet::fleet(args),
        Some(Command::Workers(args)) => workers::workers(args),
        Some(Command::Overrides(command)) => overrides::overrides(command),
        Some(Command::Completions { shell }) => {
            clap_complete::generate(shell, &mut Cli::command(), "lineroute", &mut std::io::stdout());
            Ok(())
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure { code, words }) => {
            words.lines().for_each(|line| eprintln!("lineroute: {line}"));
            ExitCode::from(code)
        }
    }
}

/// Writes to standard output. A reader that has had enough, as `head`, is no fault.
fn print(text: &str) -> Result<(), Failure> {
    use std::io::{ErrorKind, Write};
    match std::io::stdout().write_all(text.as_bytes()) {
        Err(e) if e.kind() != ErrorKind::BrokenPipe => Err(Failure::failed(format!("standard output: {e}"))),
        _ => Ok(()),
    }
}

fn print_json(value: &impl serde::Serialize) -> Result<(), Failure> {
    let text = serde_json::to_string_pretty(value).map_err(|e| Failure::failed(e.to_string()))?;
    print(&(text + "\n"))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_command_line_is_sound_and_a_bare_one_runs() {
        Cli::command().debug_assert();
        let cli = Cli::try_parse_from(["lineroute", "--operator", "x.json"]).expect("as ever");
        assert!(cli.command.is_none() && cli.run.sources.operator.as_deref() == Some("x.json"));
        assert!(Cli::try_parse_from(["lineroute", "--operator", "x.json", "check"]).is_err());
        assert!(Cli::try_parse_from(["lineroute", "sideways"]).is_err());
    }
}
