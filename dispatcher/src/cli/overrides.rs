//! `lineroute overrides`.

use super::client::Admin;
use super::span::{format_duration, format_time, parse_duration_from_now, parse_until};
use super::workers::{render, table};
use super::{print, print_json, Failure};
use crate::admin::api::{ClearOrder, Done, OverrideList, OverrideStatus, SetOrder};
use awc::http::Method;
use chrono::{DateTime, Local};
use clap::{ArgGroup, Subcommand};
use percent_encoding::{utf8_percent_encode, NON_ALPHANUMERIC};

#[derive(Debug, Subcommand)]
pub enum Command {
    /// List the overrides with who set them and when they end
    List {
        #[command(flatten)]
        admin: Admin,
        /// Print JSON, for scripts
        #[arg(long)]
        json: bool,
    },
    /// Set an override, which ends at a given time
    #[command(group(ArgGroup::new("what").required(true).args(["weight", "out_of_service", "pin"])))]
    #[command(group(ArgGroup::new("end").required(true).args(["span", "until"])))]
    Set(SetArgs),
    /// Clear an override before it ends
    Clear {
        #[command(flatten)]
        admin: Admin,
        /// The ID that `list` shows
        id: String,
        #[command(flatten)]
        reason: Reason,
    },
}

#[derive(Debug, clap::Args)]
pub struct SetArgs {
    #[command(flatten)]
    admin: Admin,
    /// The worker's name in the worker list
    #[arg(long, value_name = "NAME")]
    worker: String,
    /// Factor for the worker's share, from 0.01 to 100
    #[arg(long, value_name = "X")]
    weight: Option<f64>,
    /// Send no new jobs to the worker; it finishes those it has
    #[arg(long)]
    out_of_service: bool,
    /// Send the flows of this class, or of one of its tenants, to this worker only
    #[arg(long, value_name = "CLASS[/TENANT]")]
    pin: Option<String>,
    /// Duration, such as 30m or 2h
    #[arg(long = "for", value_name = "SPAN")]
    span: Option<String>,
    /// End: 06:00 (the next one), "2026-12-02 06:00" or RFC 3339
    #[arg(long, value_name = "TIME")]
    until: Option<String>,
    /// Who sets it
    #[arg(long, value_name = "WHO")]
    by: String,
    /// Why
    #[arg(long, value_name = "TEXT")]
    why: String,
    /// Print the answer as JSON
    #[arg(long)]
    json: bool,
}

#[derive(Debug, clap::Args)]
pub struct Reason {
    /// Who clears it; defaults to $USER
    #[arg(long, value_name = "WHO")]
    by: Option<String>,
    /// Why
    #[arg(long, value_name = "TEXT")]
    why: Option<String>,
}

/// Executes the sub-command.
pub fn overrides(command: Command) -> Result<(), Failure> {
    match command {
        Command::List { admin, json } => list(&admin, json),
        Command::Set(args) => set(args),
        Command::Clear { admin, id, reason } => clear(&admin, &id, reason),
    }
}

fn list(admin: &Admin, json: bool) -> Result<(), Failure> {
    let answer: OverrideList = admin.call(Method::GET, "/overrides", None::<&()>)?;
    if json {
        return print_json(&answer);
    }
    if answer.overrides.is_empty() {
        return print(&format!("{} knows no override\n", answer.dispatcher));
    }
    let now = Local::now();
    let mut table =
        table(&["WORKER", "OVERRIDE", "LEFT", "UNTIL", "BY", "AT", "SET", "STANDING", "ID", "WHY"]);
    for line in &answer.overrides {
        let (left, until, set) =
            (format_duration(line.left_ms), format_time(line.until_ms, now), format_time(line.set_ms, now));
        let (description, standing) = (describe(line), standing(line, now));
        table.add_row([
            &line.worker,
            &description,
            &left,
            &until,
            &line.by,
            &line.at,
            &set,
            &standing,
            &line.id,
            &line.why,
        ]);
    }
    print(&render(&table))
}

fn describe(line: &OverrideStatus) -> String {
    match (line.weight, &line.class, &line.tenant) {
        (Some(weight), ..) => format!("weight {weight}"),
        (_, Some(class), Some(tenant)) => format!("pinned {class}/{tenant}"),
        (_, Some(class), None) => format!("pinned {class}"),
        _ => line.kind.clone(),
    }
}

fn standing(line: &OverrideStatus, now: DateTime<Local>) -> String {
    match (&line.beaten, line.kind.as_str()) {
        (Some(b), _) => format!("beaten by {} ({}, {})", b.id, b.by, format_time(b.at_ms, now)),
        (None, "pinned") if line.standing != "in force" => format!("{}: falls back", line.standing),
        (None, _) => line.standing.clone(),
    }
}

fn set(args: SetArgs) -> Result<(), Failure> {
    let now = Local::now();
    let usage = |key: &str, message: String| Failure { code: 2, message: format!("{key}: {message}") };
    let until_ms = match (&args.span, &args.until) {
        (Some(span), _) => parse_duration_from_now(span, now).map_err(|e| usage("--for", e))?,
        (None, Some(time)) => parse_until(time, now).map_err(|e| usage("--until", e))?,
        (None, None) => return Err(usage("--for", "is missing; give it or --until".into())),
    };
    let SetArgs { admin, worker, weight, out_of_service, pin, by, why, json, .. } = args;
    let order = SetOrder { worker, weight, out_of_service, pin, until_ms, by, why };
    let done: Done = admin.call(Method::POST, "/overrides", Some(&order))?;
    if json {
        return print_json(&done);
    }
    let mut text = format!("{}\n", done.id);
    if let Some(line) = &done.set {
        let (description, standing, left) =
            (describe(line), standing(line, now), format_duration(line.left_ms));
        text += &format!(
            "{} {description}: {standing}, until {} ({left} left)\n",
            line.worker,
            format_time(line.until_ms, now)
        );
    }
    print(&text)?;
    warn_unsaved(&done);
    Ok(())
}

fn clear(admin: &Admin, id: &str, reason: Reason) -> Result<(), Failure> {
    let defaults = ClearOrder::default();
    let by =
        reason.by.or_else(|| std::env::var("USER").ok().filter(|u| !u.is_empty())).unwrap_or(defaults.by);
    let order = ClearOrder { by, why: reason.why.unwrap_or(defaults.why) };
    let path = format!("/overrides/{}", utf8_percent_encode(id, NON_ALPHANUMERIC));
    let done: Done = admin.call(Method::DELETE, &path, Some(&order))?;
    print(&format!("{} cleared\n", done.id))?;
    warn_unsaved(&done);
    Ok(())
}

fn warn_unsaved(done: &Done) {
    if done.saved == Some(false) {
        eprintln!("lineroute: in force, but not yet written to disk; see the dispatcher's log");
    }
}
