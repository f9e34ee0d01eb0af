//! `lineroute workers`.

use super::client::Admin;
use super::{print, print_json, Failure};
use crate::admin::api::{WorkerStatus, Workers};
use awc::http::Method;
use comfy_table::{presets, Table};

#[derive(Debug, clap::Args)]
pub struct Args {
    #[command(flatten)]
    admin: Admin,
    /// As JSON, for scripts
    #[arg(long)]
    json: bool,
}

/// A table without frames, for people.
pub fn table(heads: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header(heads.to_vec());
    table
}

/// The table as lines without blanks at their ends.
pub fn lines(table: &Table) -> String {
    table.lines().map(|line| line.trim_end().to_owned() + "\n").collect()
}

/// Prints the workers of a dispatcher.
pub fn workers(args: Args) -> Result<(), Failure> {
    let answer: Workers = args.admin.call(Method::GET, "/workers", None::<&()>)?;
    if args.json {
        return print_json(&answer);
    }
    if answer.workers.is_empty() {
        return print(&format!("{} knows no worker\n", answer.dispatcher));
    }
    let mut table = table(&["WORKER", "ADDRESS", "ZONE", "KIND", "STATE", "FORWARDS", "IN FORCE"]);
    for line in &answer.workers {
        let WorkerStatus { worker, addr, zone, kind, state, forwards, .. } = line;
        let mut force = Vec::new();
        if line.out_of_service {
            force.push("out-of-service".to_owned());
        }
        if line.weight != 1.0 {
            force.push(format!("weight {}", line.weight));
        }
        force.extend(line.pinned.iter().map(|p| format!("pinned {p}")));
        let (forwards, force) = (forwards.to_string(), force.join(", "));
        table.add_row([worker, addr, zone, kind, state, &forwards, &force]);
    }
    print(&lines(&table))
}
