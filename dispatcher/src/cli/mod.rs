//! The command line. Without a sub-command a dispatcher is run, as with `run`.
//!
//! Exit codes: 0, success; 1, failure, with the reason in the message; 2, wrong usage; 3, no dispatcher answers at the
//! admin address.

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

/// Why a command failed: the message and the exit code.
#[derive(Debug, PartialEq)]
pub struct Failure {
    pub code: u8,
    pub message: String,
}

impl Failure {
    pub fn failed(message: impl Into<String>) -> Failure {
        Failure { code: 1, message: message.into() }
    }

    fn unreachable(message: impl Into<String>) -> Failure {
        Failure { code: 3, message: message.into() }
    }
}

/// Takes jobs from clients and pushes them to workers.
///
/// Without a command it runs a dispatcher: GW_CONFIG names the platform's configuration file; GW_NAME, GW_LISTEN
/// and GW_DISCOVERY take precedence over its values.
#[derive(Debug, Parser)]
#[command(name = "lineroute", version, args_conflicts_with_subcommands = true)]
#[command(after_help = "Exit codes: 0 success, 1 failure, 2 wrong usage, 3 no dispatcher answers.")]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    run: RunArgs,
}

/// Paths of the configuration files.
#[derive(Clone, Debug, Default, clap::Args)]
pub struct SourceArgs {
    /// The platform's configuration; takes precedence over GW_CONFIG
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
    /// The format of the log, which is written to standard error
    #[arg(long, value_name = "FORM", value_enum, default_value_t)]
    pub log_format: Format,
    /// The lowest level that is logged
    #[arg(long, value_name = "LEVEL", value_enum, default_value_t)]
    pub log: LogLevel,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run a dispatcher (the default without a command)
    Run(RunArgs),
    /// Validate the configuration; print the resolved configuration or all errors
    Check(SourceArgs),
    /// Print the JSON Schema of the operator's file
    Schema,
    /// Convert nginx upstream and location blocks to an operator's file, and print it
    ImportNginx {
        /// The nginx configuration
        file: String,
    },
    /// List the workers of a running dispatcher, and the overrides in force for them
    Workers(workers::Args),
    /// List, set or clear overrides of a running dispatcher
    #[command(subcommand)]
    Overrides(overrides::Command),
    /// Show the fleet as a running dispatcher sees it: members and owners of resources
    Fleet(fleet::Args),
    /// Print the completion script for a shell
    Completions { shell: Shell },
}

/// Parses the command line and executes the command; `run` runs a dispatcher.
pub fn main(run: impl FnOnce(RunArgs) -> Result<(), String>) -> ExitCode {
    let cli = Cli::parse();
    let result = match cli.command {
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
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure { code, message }) => {
            message.lines().for_each(|line| eprintln!("lineroute: {line}"));
            ExitCode::from(code)
        }
    }
}

/// Writes to standard output. A reader that closes the pipe early, such as `head`, is not an error.
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
    fn the_command_line_is_valid_and_runs_a_dispatcher_without_a_command() {
        Cli::command().debug_assert();
        let cli = Cli::try_parse_from(["lineroute", "--operator", "x.json"]).expect("valid arguments");
        assert!(cli.command.is_none() && cli.run.sources.operator.as_deref() == Some("x.json"));
        assert!(Cli::try_parse_from(["lineroute", "--operator", "x.json", "check"]).is_err());
        assert!(Cli::try_parse_from(["lineroute", "sideways"]).is_err());
    }
}
