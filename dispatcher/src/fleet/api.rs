//! The fleet's status in the format of the admin listener: the listener writes it, the command line reads it.

use super::{state_name, Handle};
use lineroute_fleet::Incarnation;
use serde::{Deserialize, Serialize};

/// A member, as seen by the answering one.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct MemberLine {
    pub member: String,
    /// `well`, `suspect`, `dead`, `left` or `unheard`.
    pub state: String,
    /// Its newest known incarnation number.
    #[serde(rename = "born", default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<u64>,
    pub since_ms: u64,
    pub why: String,
    pub votes: bool,
    /// Number of log entries that this voter has yet to receive; known to the leader only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lag: Option<u64>,
}

/// The owner of a resource.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct OwnerLine {
    #[serde(rename = "thing")]
    pub resource: String,
    pub owner: String,
    pub token: u64,
    /// Remaining time of the lease, for resources that the answering process owns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub left_ms: Option<u64>,
}

/// `GET /fleet`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct FleetView {
    pub name: String,
    #[serde(rename = "born")]
    pub incarnation: u64,
    #[serde(rename = "began_ms")]
    pub started_ms: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leader: Option<String>,
    /// The role of this process among the voters.
    pub vote: String,
    pub term: u64,
    pub applied: u64,
    pub members: Vec<MemberLine>,
    /// Owners known to this process: a voter knows all, other members only those of resources that they own or want.
    pub owners: Vec<OwnerLine>,
    /// Incarnations that have ended and whose work is unfinished.
    #[serde(rename = "estates")]
    pub orphaned_work: Vec<String>,
    /// Resources that this process may act for at present.
    #[serde(rename = "may")]
    pub permitted: Vec<String>,
    /// Why this process may act for no resource, where that is so.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub why_not: Option<String>,
    pub frames_sent: u64,
    pub frames_taken: u64,
    pub bytes_sent: u64,
    pub frames_lost: u64,
    pub links_refused: u64,
}

/// `POST /fleet/voters`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, expecting = "struct ReplaceOrder")]
pub struct ReplaceVoterRequest {
    /// The voter that is removed.
    pub replace: String,
    /// The member that becomes a voter.
    pub by: String,
}

impl Handle {
    /// The current status of the fleet as seen by this process.
    pub fn view(&self) -> FleetView {
        let (status, link_stats) = self.status();
        let inner = &self.0;
        let now = inner.clock.now();
        let incarnation_name =
            |incarnation: Incarnation| format!("{}/{}", inner.name(incarnation.member), incarnation.number);
        let lag = |member| status.lags.iter().find(|(m, _)| *m == member).map(|(_, lag)| *lag);
        let node = inner.node.borrow();
        let mut members: Vec<MemberLine> = node
            .members()
            .all()
            .map(|(member, seen)| MemberLine {
                member: inner.name(member).into(),
                state: state_name(seen.state).into(),
                incarnation: seen.incarnation.map(|l| l.number),
                since_ms: now.saturating_sub(seen.since).as_millis() as u64,
                why: seen.reason.into(),
                votes: status.voters.contains(&member),
                lag: lag(member),
            })
            .collect();
        let me = status.incarnation.member;
        members.push(MemberLine {
            member: inner.name(me).into(),
            state: "well".into(),
            incarnation: Some(status.incarnation.number),
            since_ms: now.as_millis() as u64,
            why: "it is this process".into(),
            votes: status.voters.contains(&me),
            lag: lag(me),
        });
        members.sort_by(|a, b| a.member.cmp(&b.member));
        let mut owners: Vec<OwnerLine> = status
            .held
            .iter()
            .map(|(resource, token, until)| OwnerLine {
                resource: resource.to_string(),
                owner: incarnation_name(status.incarnation),
                token: *token,
                left_ms: Some(until.saturating_sub(now).as_millis() as u64),
            })
            .collect();
        for (resource, incarnation, token) in &status.owners {
            if *incarnation != status.incarnation {
                let (resource, owner) = (resource.to_string(), incarnation_name(*incarnation));
                owners.push(OwnerLine { resource, owner, token: *token, left_ms: None });
            }
        }
        owners.sort_by(|a, b| a.resource.cmp(&b.resource));
        let own_incarnation = lineroute_fleet::Resource::incarnation(status.incarnation);
        let permitted: Vec<String> = status
            .held
            .iter()
            .map(|(t, ..)| t)
            .filter(|t| **t != own_incarnation)
            .map(|t| t.to_string())
            .collect();
        let why_not = match (status.unanswered_since, permitted.is_empty()) {
            (Some(since), _) => {
                let ms = now.saturating_sub(since).as_millis();
                Some(format!("no majority of the voters has answered for {ms} ms: a minority grants nothing"))
            }
            (None, true) => Some("others own what this process would do".into()),
            (None, false) => None,
        };
        FleetView {
            name: inner.name(me).into(),
            incarnation: status.incarnation.number,
            started_ms: inner.started_unix_ms,
            leader: status.leader.map(|l| inner.name(l).into()),
            vote: status.vote,
            term: status.term,
            applied: status.applied,
            members,
            owners,
            orphaned_work: status
                .orphaned_work
                .iter()
                .map(|incarnation| incarnation_name(*incarnation))
                .collect(),
            permitted,
            why_not,
            frames_sent: link_stats.sent,
            frames_taken: link_stats.received,
            bytes_sent: link_stats.bytes_sent,
            frames_lost: link_stats.lost,
            links_refused: link_stats.refused,
        }
    }
}
