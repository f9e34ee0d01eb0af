//! Parses and formats the ends and durations of overrides.

use chrono::{DateTime, Local, NaiveDateTime, NaiveTime, TimeDelta, TimeZone};

/// Parses `--until`: a time of day (its next occurrence), a local date and time, or RFC 3339.
pub fn parse_until(text: &str, now: DateTime<Local>) -> Result<u64, String> {
    let time = ["%H:%M", "%H:%M:%S"].iter().find_map(|format| NaiveTime::parse_from_str(text, format).ok());
    let local = ["%Y-%m-%d %H:%M", "%Y-%m-%dT%H:%M", "%Y-%m-%d %H:%M:%S", "%Y-%m-%dT%H:%M:%S"];
    let local = local.iter().find_map(|format| NaiveDateTime::parse_from_str(text, format).ok());
    let end = if let Some(time) = time {
        let days = [0, 1].map(|days| (now + TimeDelta::days(days)).date_naive().and_time(time));
        days.into_iter().filter_map(|at| Local.from_local_datetime(&at).earliest()).find(|at| *at > now)
    } else if let Some(at) = local {
        Local.from_local_datetime(&at).earliest()
    } else {
        DateTime::parse_from_rfc3339(text).ok().map(|at| at.with_timezone(&Local))
    };
    let end = end.ok_or(format!(
        "{text:?} is not a time; write 06:00, \"2026-12-02 06:00\" or 2026-12-02T06:00:00Z"
    ))?;
    u64::try_from(end.timestamp_millis()).map_err(|_| format!("{text:?} is before 1970"))
}

/// Parses `--for`: a duration such as `30m` or `1h 30m`; returns its end.
pub fn parse_duration_from_now(text: &str, now: DateTime<Local>) -> Result<u64, String> {
    let span = humantime::parse_duration(text)
        .map_err(|e| format!("{text:?}: {e}; write a duration such as 30m or 2h"))?;
    let millis = u64::try_from(span.as_millis()).ok().filter(|ms| *ms > 0);
    let end = millis.and_then(|ms| ms.checked_add(u64::try_from(now.timestamp_millis()).unwrap_or(0)));
    end.ok_or(format!("{text:?} is not a valid duration from now"))
}

/// Formats a local time to the second; with its date unless that is today.
pub fn format_time(millis: u64, now: DateTime<Local>) -> String {
    let Some(at) = i64::try_from(millis).ok().and_then(|ms| Local.timestamp_millis_opt(ms).earliest()) else {
        return millis.to_string();
    };
    let format = if at.date_naive() == now.date_naive() { "%H:%M:%S" } else { "%Y-%m-%d %H:%M:%S" };
    at.format(format).to_string()
}

/// Formats a duration with at most two units: `7h 12m`, `45s`.
pub fn format_duration(millis: u64) -> String {
    let seconds = millis / 1000;
    let parts =
        [(seconds / 86_400, "d"), (seconds / 3600 % 24, "h"), (seconds / 60 % 60, "m"), (seconds % 60, "s")];
    let first = parts.iter().position(|p| p.0 > 0).unwrap_or(3);
    let parts = parts[first..].iter().take(2).filter(|p| p.0 > 0 || first == 3);
    parts.map(|(n, unit)| format!("{n}{unit}")).collect::<Vec<_>>().join(" ")
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_time_of_day_is_its_next_occurrence_and_durations_start_now() {
        let now = Local.with_ymd_and_hms(2026, 12, 1, 18, 30, 0).earliest().expect("a time");
        let at = |text: &str| parse_until(text, now).map(|ms| (ms as i64 - now.timestamp_millis()) / 60_000);
        assert_eq!(at("19:00"), Ok(30));
        assert_eq!(at("06:00"), Ok(11 * 60 + 30));
        assert_eq!(at("18:30"), Ok(24 * 60));
        assert_eq!(at("2026-12-01 18:00"), Ok(-30));
        let utc = now.with_timezone(&chrono::Utc).to_rfc3339();
        assert_eq!(at(&utc), Ok(0));
        for wrong in ["", "6", "25:00", "tomorrow", "2026-13-01 00:00"] {
            assert!(parse_until(wrong, now).unwrap_err().contains("06:00"), "{wrong}");
        }
        assert_eq!(parse_duration_from_now("30m", now), Ok(now.timestamp_millis() as u64 + 1_800_000));
        assert!(
            parse_duration_from_now("0s", now).is_err()
                && parse_duration_from_now("half an hour", now).is_err()
                && parse_duration_from_now("-5m", now).is_err()
        );
        for (millis, words) in
            [(0, "0s"), (45_900, "45s"), (3_600_000, "1h"), (26_000_000, "7h 13m"), (90_000_000, "1d 1h")]
        {
            assert_eq!(format_duration(millis), words);
        }
    }
}
