//! Validates the `fleet` section of the operator's file.

use super::checked::{Fleet, TestClock};
use super::faults::Faults;
use super::operator::RawFleet;
use super::{is_valid_name, read_text};
use lineroute_control::peers::KeyRing;
use lineroute_fleet::timing::Timing;
use lineroute_fleet::Member;
use std::path::PathBuf;
use std::time::Duration;

/// Maximum number of members of a fleet.
const MAX_MEMBERS: usize = 512;
/// Maximum number of voters, and their number where the file does not name them.
const MAX_VOTERS: usize = 7;
const DEFAULT_VOTERS: usize = 5;

/// Validates the section; `clock` is the value of `$LINEROUTE_TEST_CLOCK`.
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
            let message = format!(
                "{:?} is not a name of 1 to 64 characters of A-Z, a-z, 0-9 and -+/;.$_()",
                member.name
            );
            faults.add(key(&format!("members[{i}].name")), message);
        }
        if raw.members[..i].iter().any(|m| m.name == member.name) {
            faults.add(key(&format!("members[{i}].name")), format!("{:?} is listed twice", member.name));
        }
    }
    if members.len() > MAX_MEMBERS {
        faults.add(
            key("members"),
            format!("{} members are more than the maximum of {MAX_MEMBERS}", members.len()),
        );
    }
    let (names, addrs): (Vec<String>, Vec<_>) = members.into_iter().unzip();
    let find = |name: &String| names.iter().position(|n| n == name).map(|at| Member(at as u16));
    let me = find(&raw.name);
    if me.is_none() {
        faults.add(key("name"), format!("{:?} is not among the members", raw.name));
    }
    let first_names = || names.iter().take(DEFAULT_VOTERS).cloned().collect();
    let voter_names = raw.voters.clone().unwrap_or_else(first_names);
    let mut voters = Vec::new();
    for (i, name) in voter_names.iter().enumerate() {
        match find(name) {
            Some(voter) if !voters.contains(&voter) => voters.push(voter),
            Some(_) => faults.add(key(&format!("voters[{i}]")), format!("{name:?} is listed twice")),
            None => faults.add(key(&format!("voters[{i}]")), format!("{name:?} is not among the members")),
        }
    }
    if !(1..=MAX_VOTERS).contains(&voters.len()) {
        faults
            .add(key("voters"), format!("there are {} voters; 1 to {MAX_VOTERS} are allowed", voters.len()));
    }
    if me.is_some_and(|me| voters.contains(&me)) && state_dir.is_none() {
        faults.add(
            "operator's file: state_dir",
            "is missing; this dispatcher is a voter of the fleet and needs one",
        );
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
            faults.add(key("drift"), format!("{drift} is over 200 per mille"));
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

/// Parses `OFFSET_MS` or `OFFSET_MS,PPM`.
fn test_clock(text: Option<String>) -> Result<TestClock, String> {
    let Some(text) = text else { return Ok(TestClock::default()) };
    let parse_error = |e| format!("LINEROUTE_TEST_CLOCK: {text:?}: {e}; expected OFFSET_MS or OFFSET_MS,PPM");
    let (offset, ppm) = text.split_once(',').unwrap_or((&text, "0"));
    let offset_ms = offset.trim().parse().map_err(parse_error)?;
    Ok(TestClock { offset_ms, ppm: ppm.trim().parse::<i64>().map_err(parse_error)?.clamp(-500_000, 500_000) })
}
