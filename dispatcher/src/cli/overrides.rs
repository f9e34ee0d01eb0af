//! `lineroute overrides`.

use super::client::Admin;
use super::span::{after, left, moment, until};
use super::workers::{lines, table};
use super::{print, print_json, Failure};
use crate::admin::api::{ClearOrder, Done, OverrideList, OverrideStatus, SetOrder};
use awc::http::Method;
use chrono::{DateTime, Local};
use clap::{ArgGroup, Subcommand};
use percent_encoding::{utf8_percent_encode, NON_ALPHANUMERIC};

#[derive(Debug, Subcommand)]
pub enum Command {
    /// List the overrides, who set them, and when they end
    List {
        #[command(flatten)]
        admin: Admin,
        /// As JSON, for scripts
        #[arg(long)]
        json: bool,
    },
    /// Set an override; it ends by itself
    #[command(group(ArgGroup::new("what").required(true).args(["weight", "out_of_service", "pin"])))]
    #[command(group(ArgGroup::new("end").required(true).args(["span", "until"])))]
    Set(SetArgs),
    /// End an override before its time
    Clear {
        #[command(flatten)]
        admin: Admin,
        /// As `list` shows it
        id: String,
        #[command(flatten)]
        said: Said,
    },
}

#[derive(Debug, clap::Args)]
pub struct SetArgs {
    #[command(flatten)]
    admin: Admin,
    /// The worker, by its name in the list
    #[arg(long, value_name = "NAME")]
    worker: String,
    /// Multiply its share by this, from 0.01 to 100
    #[arg(long, value_name = "X")]
    weight: Option<f64>,
    /// Send it nothing new; what it has in hand it finishes
    #[arg(long)]
    out_of_service: bool,
    /// Send the flows of this class, or of one tenant of it, to this worker only
    #[arg(long, value_name = "CLASS[/TENANT]")]
    pin: Option<String>,
    /// How long, as 30m or 2h
    #[arg(long = "for", value_name = "SPAN")]
    span: Option<String>,
    /// Until when: 06:00 (the next one), "2026-12-02 06:00" or RFC 3339
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
pub struct Said {
    /// Who clears it; USER, if not given
    #[arg(long, value_name = "WHO")]
    by: Option<String>,
    /// Why
    #[arg(long, value_name = "TEXT")]
    why: Option<String>,
}

/// Does what the sub-command says.
pub fn overrides(command: Command) -> Result<(), Failure> {
    match command {
        Command::List { admin, json } => list(&admin, json),
        Command::Set(args) => set(args),
        Command::Clear { admin, id, said } => clear(&admin, &id, said),
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
        let (left, until, set) = (left(line.left_ms), moment(line.until_ms, now), moment(line.set_ms, now));
        let (what, standing) = (what(line), standing(line, now));
        table.add_row([
            &line.worker,
            &what,
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
    print(&lines(&table))
}

fn what(line: &OverrideStatus) -> String {
    match (line.weight, &line.class, &line.tenant) {
        (Some(weight), ..) => format!("weight {weight}"),
        (_, Some(class), Some(tenant)) => format!("pinned {class}/{tenant}"),
        (_, Some(class), None) => format!("pinned {class}"),
        _ => line.kind.clone(),
    }
}

fn standing(line: &OverrideStatus, now: DateTime<Local>) -> String {
    match (&line.beaten, line.kind.as_str()) {
        (Some(b), _) => format!("beaten by {} ({}, {})", b.id, b.by, moment(b.at_ms, now)),
        (None, "pinned") if line.standing != "in force" => format!("{}: falls back", line.standing),
        (None, _) => line.standing.clone(),
    }
}

fn set(args: SetArgs) -> Result<(), Failure> {
    let now = Local::now();
    let usage = |key: &str, words: String| Failure { code: 2, words: format!("{key}: {words}") };
    let until_ms = match (&args.span, &args.until) {
        (Some(span), _) => after(span, now).map_err(|e| usage("--for", e))?,
        (None, Some(time)) => until(time, now).map_err(|e| usage("--until", e))?,
        (None, None) => return Err(usage("--for", "say how long, or --until when".into())),
    };
    let SetArgs { admin, worker, weight, out_of_service, pin, by, why, json, .. } = args;
    let order = SetOrder { worker, weight, out_of_service, pin, until_ms, by, why };
    let done: Done = admin.call(Method::POST, "/overrides", Some(&order))?;
    if json {
        return print_json(&done);
    }
    let mut said = format!("{}\n", done.id);
    if let Some(line) = &done.set {
        let (what, standing, left) = (what(line), standing(line, now), left(line.left_ms));
        said += &format!(
            "{} {what}: {standing}, until {} ({left} left)\n",
            line.worker,
            moment(line.until_ms, now)
        );
    }
    print(&said)?;
    warn_unsaved(&done);
    Ok(())
}

fn clear(admin: &Admin, id: &str, said: Said) -> Result<(), Failure> {
    let usual = ClearOrder::default();
    let by = said.by.or_else(|| std::env::var("USER").ok().filter(|u| !u.is_empty())).unwrap_or(usual.by);
    let order = ClearOrder { by, why: said.why.unwrap_or(usual.why) };
    let path = format!("/overrides/{}", utf8_percent_encode(id, NON_ALPHANUMERIC));
    let done: Done = admin.call(Method::DELETE, &path, Some(&order))?;
    print(&format!("{} cleared\n", done.id))?;
    warn_unsaved(&done);
    Ok(())
}

fn warn_unsaved(done: &Done) {
    if done.saved == Some(false) {
        eprintln!("lineroute: in force, but not on the disk yet: see the dispatcher's log");
    }
}
