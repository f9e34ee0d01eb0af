//! The `fleet` of the operator's file, checked.

use super::checked::{Fleet, TestClock};
use super::faults::Faults;
use super::operator::RawFleet;
use super::{is_valid_name, read_text};
use lineroute_control::peers::KeyRing;
use lineroute_fleet::timing::Timing;
use lineroute_fleet::Member;
use std::path::PathBuf;
use std::time::Duration;

/// Members of a fleet, at most.
const MOST_MEMBERS: usize = 512;
/// Voters, at most, and so many unless others are named.
const MOST_VOTERS: usize = 7;
const VOTERS: usize = 5;

/// Checks what the operator's file says of the fleet.
pub fn check(
    raw: &RawFleet,
    state_dir: Option<&str>,
    clock: Option<String>,
    faults: &mut Faults,
) -> Option<Fleet> {
    let key = |field: &str| format!("operator's file: fleet.{field}");
    let mut members: Vec<(String, _)> = raw.members.iter().map(|m| (m.name.clone(), m.addr)).collect();
    members.sort();
    for (i, member) in raw.members.iter().enumerate() {
        if !is_valid_name(&member.name) || member.name.len() > 64 {
            let words = format!("{:?} is not a plain word of 1 to 64 characters", member.name);
            faults.add(key(&format!("members[{i}].name")), words);
        }
        if raw.members[..i].iter().any(|m| m.name == member.name) {
            faults.add(key(&format!("members[{i}].name")), format!("{:?} stands twice", member.name));
        }
    }
    if members.len() > MOST_MEMBERS {
        faults.add(key("members"), format!("{} are more than {MOST_MEMBERS}", members.len()));
    }
    let (names, addrs): (Vec<String>, Vec<_>) = members.into_iter().unzip();
    let find = |name: &String| names.iter().position(|n| n == name).map(|at| Member(at as u16));
    let me = find(&raw.name);
    if me.is_none() {
        faults.add(key("name"), format!("{:?} is none of the members", raw.name));
    }
    let first = || names.iter().take(VOTERS).cloned().collect();
    let named = raw.voters.clone().unwrap_or_else(first);
    let mut voters = Vec::new();
    for (i, name) in named.iter().enumerate() {
        match find(name) {
            Some(voter) if !voters.contains(&voter) => voters.push(voter),
            Some(_) => faults.add(key(&format!("voters[{i}]")), format!("{name:?} stands twice")),
            None => faults.add(key(&format!("voters[{i}]")), format!("{name:?} is none of the members")),
        }
    }
    if !(1..=MOST_VOTERS).contains(&voters.len()) {
        faults.add(key("voters"), format!("there are {}, 1 to {MOST_VOTERS} are right", voters.len()));
    }
    if me.is_some_and(|me| voters.contains(&me)) && state_dir.is_none() {
        faults.add("operator's file: state_dir", "is missing: this dispatcher is a voter of the fleet");
    }
    let keys = read_text(&raw.key_file)
        .and_then(|text| KeyRing::parse(&text).map_err(|e| format!("{}: {e}", raw.key_file)));
    let keys = faults.take(keys.map_err(|e| format!("{}: {e}", key("key_file"))));
    let mut timing = Timing::default();
    if let Some(ms) = raw.lease_ms {
        if !(500..=60_000).contains(&ms) {
            faults.add(key("lease_ms"), format!("{ms} is not between 500 and 60000"));
        }
        timing.lease_duration = Duration::from_millis(ms);
    }
    if let Some(drift) = raw.drift {
        if drift > 200 {
            faults.add(key("drift"), format!("{drift} is over 200 parts of 1,000"));
        }
        timing.drift_permille = drift;
    }
    Some(Fleet {
        names,
        addrs,
        me: me?,
        listen: raw.listen,
        voters,
        keys: keys?,
        timing,
        one_prober: raw.one_prober,
        state_dir: state_dir.map(PathBuf::from),
        clock: faults.take(test_clock(clock))?,
    })
}

/// `OFFSET_MS` or `OFFSET_MS,PPM`.
fn test_clock(text: Option<String>) -> Result<TestClock, String> {
    let Some(text) = text else { return Ok(TestClock::default()) };
    let fault = |e| format!("LINEROUTE_TEST_CLOCK: {text:?}: {e}; it is milliseconds, or those and ppm");
    let (offset, ppm) = text.split_once(',').unwrap_or((&text, "0"));
    let offset_ms = offset.trim().parse().map_err(fault)?;
    Ok(TestClock { offset_ms, ppm: ppm.trim().parse::<i64>().map_err(fault)?.clamp(-500_000, 500_000) })
}
