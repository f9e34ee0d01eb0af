//! `lineroute-lab scale`: runs scenarios, prints their rows, and writes the report.

use super::report::Options;
use super::{chart, find_scenarios, run as run_scenarios, table, Report};
use indicatif::{ProgressBar, ProgressStyle};
use std::path::Path;

/// Runs the scenario of that name, or all. Returns whether all budgets hold.
///
/// # Errors
/// There is no scenario of that name, or the report cannot be written.
pub fn run(name: Option<&str>, options: &Options, json: bool, out: Option<&Path>) -> Result<bool, String> {
    let scenarios = find_scenarios(name)?;
    let bar = ProgressBar::new(scenarios.len() as u64);
    let style = ProgressStyle::with_template("{bar:30} {pos}/{len} {msg} {elapsed}");
    bar.set_style(style.map_err(|e| e.to_string())?);
    let started = std::cell::Cell::new(0);
    let report = run_scenarios(&scenarios, options, |scenario| {
        bar.set_position(started.replace(started.get() + 1));
        bar.set_message(format!("{}: {}", scenario.name, scenario.about));
    });
    bar.finish_and_clear();
    if let Some(dir) = out {
        write_report(&report, dir)?;
    }
    if json {
        println!("{}", serde_json::to_string(&report).map_err(|e| e.to_string())?);
    } else {
        print!("{}", table::text(&report));
    }
    Ok(report.holds())
}

/// Writes the report as JSON, HTML and a Markdown table into a directory.
fn write_report(report: &Report, dir: &Path) -> Result<(), String> {
    std::fs::create_dir_all(dir).map_err(|e| format!("{}: {e}", dir.display()))?;
    let write = |name: &str, text: String| {
        let path = dir.join(name);
        std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))
    };
    write("capacity.json", serde_json::to_string_pretty(report).map_err(|e| e.to_string())? + "\n")?;
    write("capacity.html", chart::page(report)?)?;
    write("capacity-rows.md", table::markdown(&report.rows))
}
