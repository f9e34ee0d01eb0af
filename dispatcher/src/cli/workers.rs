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
    /// Print JSON, for scripts
    #[arg(long)]
    json: bool,
}

/// A table without borders.
pub fn table(headings: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header(headings.to_vec());
    table
}

/// The table as text, without trailing spaces.
pub fn render(table: &Table) -> String {
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
        let mut in_force = Vec::new();
        if line.out_of_service {
            in_force.push("out-of-service".to_owned());
        }
        if line.weight != 1.0 {
            in_force.push(format!("weight {}", line.weight));
        }
        in_force.extend(line.pinned.iter().map(|p| format!("pinned {p}")));
        let (forwards, in_force) = (forwards.to_string(), in_force.join(", "));
        table.add_row([worker, addr, zone, kind, state, &forwards, &in_force]);
    }
    print(&render(&table))
}
