//! A capacity report as text: an aligned table, and the Markdown rows of the capacity page.

use super::report::{Row, Source};
use super::Report;

/// Figures that are extrapolated by more than this factor are marked.
pub const MAX_UNMARKED_EXTRAPOLATION: f64 = 10.0;

/// Formats a number with three significant digits; numbers from 1,000 on are whole and have thousands separators.
pub fn format_number(value: f64) -> String {
    let magnitude = value.abs();
    if magnitude >= 1000.0 {
        return with_separators(value.round());
    }
    if magnitude == 0.0 {
        return "0".into();
    }
    let digits = (2 - magnitude.log10().floor() as i32).clamp(0, 12) as usize;
    let text = format!("{value:.digits$}");
    if text.contains('.') {
        text.trim_end_matches('0').trim_end_matches('.').to_owned()
    } else {
        text
    }
}

fn with_separators(value: f64) -> String {
    let digits = format!("{:.0}", value.abs());
    let mut text = String::new();
    for (index, digit) in digits.chars().enumerate() {
        if index > 0 && (digits.len() - index) % 3 == 0 {
            text.push(',');
        }
        text.push(digit);
    }
    if value < 0.0 {
        format!("-{text}")
    } else {
        text
    }
}

/// The fitted line, with the root mean square of the points' deviation.
pub fn fit(row: &Row) -> String {
    match row.source {
        Source::Arithmetic => format!("{} x size", format_number(row.slope)),
        Source::NotMeasured => "-".into(),
        _ => {
            let sign = if row.constant < 0.0 { '-' } else { '+' };
            let (slope, constant) = (format_number(row.slope), format_number(row.constant.abs()));
            format!("{slope} x size {sign} {constant} (±{})", format_number(row.residual))
        }
    }
}

/// The figure at full size, marked with how it was obtained.
pub fn at_full_size(row: &Row) -> String {
    if row.source == Source::NotMeasured {
        return "not measured".into();
    }
    let mark = match (row.source, row.extrapolation) {
        (Source::Arithmetic, _) => " (arithmetic)".into(),
        (Source::Largest, _) => " (as at the largest size)".into(),
        (_, Some(factor)) if factor > MAX_UNMARKED_EXTRAPOLATION => {
            format!(" (extrapolated {factor:.0} times)")
        }
        _ => String::new(),
    };
    format!("{} {}{mark}", format_number(row.at_full_size), row.unit)
}

/// The budget, and whether it holds.
pub fn budget(row: &Row) -> String {
    match (row.budget, row.holds) {
        (Some(budget), Some(true)) => format!("{} {}: holds", format_number(budget), row.unit),
        (Some(budget), None) => format!("{} {}: not measured", format_number(budget), row.unit),
        (Some(0.0), _) => format!("0 {}: missed", row.unit),
        (Some(budget), _) => {
            let factor = format_number(row.at_full_size / budget);
            format!("{} {}: missed, {factor} times", format_number(budget), row.unit)
        }
        (None, _) => "-".into(),
    }
}

/// The range of the measured sizes.
pub fn range(row: &Row) -> String {
    match (row.points.first(), row.points.last()) {
        (Some((min, _)), Some((max, _))) => format!("{} to {}", format_number(*min), format_number(*max)),
        _ => "-".into(),
    }
}

/// The column headers, on the page and in the tool's output.
pub const COLUMNS: [&str; 8] =
    ["role", "quantity", "grows by", "measured", "fit", "at full size", "budget", "mechanism"];

/// The cells of a row, in the order of `COLUMNS`.
pub fn cells(row: &Row) -> [String; 8] {
    [
        row.role.to_string(),
        row.quantity.clone(),
        format!("{} ({})", row.grows_by, format_number(row.full_size)),
        range(row),
        fit(row),
        at_full_size(row),
        budget(row),
        row.mechanism.to_string(),
    ]
}

/// The rows as a Markdown table, as on the capacity page.
pub fn markdown(rows: &[Row]) -> String {
    let line = |cells: &[String]| format!("| {} |\n", cells.join(" | "));
    let mut text = line(&COLUMNS.map(String::from));
    text.push_str(&line(&COLUMNS.map(|_| "---".to_owned())));
    rows.iter().for_each(|row| text.push_str(&line(&cells(row))));
    text
}

/// The aligned table, followed by the rows that miss their budgets.
pub fn text(report: &Report) -> String {
    let mut lines: Vec<[String; 8]> = vec![COLUMNS.map(String::from)];
    lines.extend(report.rows.iter().map(cells));
    let widths: Vec<usize> = (0..COLUMNS.len())
        .map(|index| lines.iter().map(|l| l[index].chars().count()).max().unwrap_or(0))
        .collect();
    let mut text = String::new();
    for line in &lines {
        let padded: Vec<String> =
            line.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
        text.push_str(padded.join("  ").trim_end());
        text.push('\n');
    }
    for row in report.missed() {
        text.push_str(&format!("missed: {}: {}: {}\n", row.role, row.quantity, budget(row)));
    }
    text
}
