//! `lineroute fleet`.

use super::client::Admin;
use super::workers::{render, table};
use super::{print, print_json, Failure};
use crate::fleet::api::{FleetView, ReplaceVoterRequest};
use awc::http::Method;

#[derive(Debug, clap::Args)]
pub struct Args {
    #[command(flatten)]
    admin: Admin,
    /// Print JSON, for scripts
    #[arg(long)]
    json: bool,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, clap::Subcommand)]
enum Command {
    /// Replace a voter by another member; must be sent to the leader
    Replace {
        /// The voter that is removed
        old: String,
        /// The member that becomes a voter; it needs a `state_dir`
        new: String,
    },
}

/// Prints the fleet as a dispatcher sees it, or replaces a voter.
pub fn fleet(args: Args) -> Result<(), Failure> {
    if let Some(Command::Replace { old, new }) = args.command {
        let request = ReplaceVoterRequest { replace: old, by: new };
        let done: ReplaceVoterRequest = args.admin.call(Method::POST, "/fleet/voters", Some(&request))?;
        return print(&format!(
            "{} will replace {} as a voter; `lineroute fleet` shows when it does\n",
            done.by, done.replace
        ));
    }
    let view: FleetView = args.admin.call(Method::GET, "/fleet", None::<&()>)?;
    if args.json {
        return print_json(&view);
    }
    let leader = view.leader.as_deref().unwrap_or("nobody");
    let mut text = format!(
        "{}, incarnation {}: vote {}; {leader} leads (term {})\n",
        view.name, view.incarnation, view.vote, view.term
    );
    let permitted = if view.permitted.is_empty() { "nothing".into() } else { view.permitted.join(", ") };
    text += &format!("may act for: {permitted}\n");
    if let Some(why) = &view.why_not {
        text += &format!("why not more: {why}\n");
    }
    let mut members = table(&["MEMBER", "STATE", "SINCE", "VOTES", "LAG", "WHY"]);
    for m in &view.members {
        let since = format!("{}s", m.since_ms / 1000);
        let lag = m.lag.map_or(String::new(), |lag| lag.to_string());
        let votes = if m.votes { "yes" } else { "" };
        members.add_row([m.member.as_str(), &m.state, &since, votes, &lag, &m.why]);
    }
    text += &render(&members);
    let mut owners = table(&["THING", "OWNER", "TOKEN", "LEFT"]);
    for o in &view.owners {
        let left = o.left_ms.map_or(String::new(), |ms| format!("{ms}ms"));
        owners.add_row([&o.resource, &o.owner, &o.token.to_string(), &left]);
    }
    if !view.owners.is_empty() {
        text += &render(&owners);
    }
    if !view.orphaned_work.is_empty() {
        text += &format!("orphaned work that waits: {}\n", view.orphaned_work.join(", "));
    }
    print(&text)
}
