//! The fleet as operators see it, over the admin listener: the listener writes it, the command line reads it.

use super::{state_word, Handle};
use lineroute_fleet::Incarnation;
use serde::{Deserialize, Serialize};

/// A member, as this one sees it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct MemberLine {
    pub member: String,
    /// `well`, `suspect`, `dead`, `left` or `unheard`.
    pub state: String,
    /// Its newest incarnation that is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub born: Option<u64>,
    pub since_ms: u64,
    pub why: String,
    pub votes: bool,
    /// Entries that its vote lacks; only the leader knows.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lag: Option<u64>,
}

/// Who owns a thing.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct OwnerLine {
    pub thing: String,
    pub owner: String,
    pub token: u64,
    /// For what this process owns itself: how long it may still act.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub left_ms: Option<u64>,
}

/// `GET /fleet`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct FleetView {
    pub name: String,
    pub born: u64,
    pub began_ms: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leader: Option<String>,
    /// What this process's vote is.
    pub vote: String,
    pub term: u64,
    pub applied: u64,
    pub members: Vec<MemberLine>,
    /// As far as this process knows: a voter knows of all, the others of what they own or would own.
    pub owners: Vec<OwnerLine>,
    /// Incarnations that have ended and whose work nobody has finished.
    #[serde(rename = "estates")]
    pub orphaned_work: Vec<String>,
    /// What this process may do for the fleet at present.
    pub may: Vec<String>,
    /// Why it may do nothing, if it may not.
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
    /// The one that votes no longer.
    pub replace: String,
    /// The one that votes in its place.
    pub by: String,
}

impl Handle {
    /// The fleet as this process sees it at this moment.
    pub fn view(&self) -> FleetView {
        let (status, counts) = self.status();
        let inner = &self.0;
        let now = inner.clock.now();
        let of =
            |incarnation: Incarnation| format!("{}/{}", inner.name(incarnation.member), incarnation.number);
        let lag = |member| status.lags.iter().find(|(m, _)| *m == member).map(|(_, lag)| *lag);
        let node = inner.node.borrow();
        let mut members: Vec<MemberLine> = node
            .members()
            .all()
            .map(|(member, seen)| MemberLine {
                member: inner.name(member).into(),
                state: state_word(seen.state).into(),
                born: seen.incarnation.map(|l| l.number),
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
            born: Some(status.incarnation.number),
            since_ms: now.as_millis() as u64,
            why: "it is this process".into(),
            votes: status.voters.contains(&me),
            lag: lag(me),
        });
        members.sort_by(|a, b| a.member.cmp(&b.member));
        let mut owners: Vec<OwnerLine> = status
            .held
            .iter()
            .map(|(thing, token, until)| OwnerLine {
                thing: thing.to_string(),
                owner: of(status.incarnation),
                token: *token,
                left_ms: Some(until.saturating_sub(now).as_millis() as u64),
            })
            .collect();
        for (thing, incarnation, token) in &status.owners {
            if *incarnation != status.incarnation {
                let (thing, owner) = (thing.to_string(), of(*incarnation));
                owners.push(OwnerLine { thing, owner, token: *token, left_ms: None });
            }
        }
        owners.sort_by(|a, b| a.thing.cmp(&b.thing));
        let own = lineroute_fleet::Resource::incarnation(status.incarnation);
        let may: Vec<String> =
            status.held.iter().map(|(t, ..)| t).filter(|t| **t != own).map(|t| t.to_string()).collect();
        let why_not = match (status.unanswered_since, may.is_empty()) {
            (Some(since), _) => {
                let ms = now.saturating_sub(since).as_millis();
                Some(format!("no majority of the voters has answered for {ms} ms: a minority grants nothing"))
            }
            (None, true) => Some("others own what this process would do".into()),
            (None, false) => None,
        };
        FleetView {
            name: inner.name(me).into(),
            born: status.incarnation.number,
            began_ms: inner.began_unix,
            leader: status.leader.map(|l| inner.name(l).into()),
            vote: status.vote,
            term: status.term,
            applied: status.applied,
            members,
            owners,
            orphaned_work: status.orphaned_work.iter().map(|incarnation| of(*incarnation)).collect(),
            may,
            why_not,
            frames_sent: counts.sent,
            frames_taken: counts.taken,
            bytes_sent: counts.bytes_out,
            frames_lost: counts.lost,
            links_refused: counts.refused,
        }
    }
}
