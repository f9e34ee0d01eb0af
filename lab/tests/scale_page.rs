//! The tables of docs/CAPACITY.md have the same rows as the output of `lineroute-lab scale`: the same roles, quantities,
//! sizes, budgets and mechanisms. Figures are not compared, since those on the page are from the run that it names.

use lineroute_lab::scale::table::COLUMNS;
use serde_json::Value;
use std::collections::BTreeSet;
use std::process::Command;

const PAGE: &str = include_str!("../../docs/CAPACITY.md");

/// The columns of a row that identify it, without its figures.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RowKey {
    role: String,
    quantity: String,
    grows_by: String,
    budget: String,
    mechanism: String,
}

fn column(cells: &[String], name: &str) -> String {
    let at = COLUMNS.iter().position(|column| *column == name).expect("a column of the table");
    cells[at].clone()
}

impl RowKey {
    fn from_cells(cells: &[String]) -> Self {
        let budget = column(cells, "budget");
        Self {
            role: column(cells, "role"),
            quantity: column(cells, "quantity"),
            grows_by: column(cells, "grows by"),
            // The text after the colon says whether the budget holds, which depends on the run.
            budget: budget.split(':').next().unwrap_or_default().to_owned(),
            mechanism: column(cells, "mechanism"),
        }
    }
}

/// The rows of all tables with the report's columns.
fn table_rows(markdown: &str) -> Vec<RowKey> {
    let mut rows = Vec::new();
    let mut in_table = false;
    for line in markdown.lines() {
        let cells: Vec<String> =
            line.trim().trim_matches('|').split('|').map(|cell| cell.trim().to_owned()).collect();
        if cells == COLUMNS {
            in_table = true;
        } else if !line.starts_with('|') {
            in_table = false;
        } else if in_table && !line.starts_with("| ---") {
            assert_eq!(cells.len(), COLUMNS.len(), "{line}");
            rows.push(RowKey::from_cells(&cells));
        }
    }
    rows
}

/// Runs all scenarios at their smallest sizes. Returns the rows of the Markdown table and those of the JSON report.
fn quick_run() -> (Vec<RowKey>, Vec<Value>) {
    let dir = std::env::temp_dir().join(format!("lineroute-scale-page-{}", std::process::id()));
    let output = Command::new(env!("CARGO_BIN_EXE_lineroute-lab"))
        .args(["scale", "--quick", "--json", "--out"])
        .arg(&dir)
        .output()
        .expect("the lab runs");
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(matches!(output.status.code(), Some(0 | 1)), "{errors}");
    let markdown = std::fs::read_to_string(dir.join("capacity-rows.md")).expect("the table was written");
    let html = std::fs::read_to_string(dir.join("capacity.html")).expect("the report was written");
    assert!(html.contains("<svg") && !html.contains("src="), "one self-contained page with charts");
    let _ = std::fs::remove_dir_all(&dir);
    let report: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    let rows = report["rows"].as_array().expect("rows").clone();
    let missed = rows.iter().any(|row| !row["budget"].is_null() && row["holds"] != true);
    assert_eq!(output.status.code(), Some(i32::from(missed)), "the exit code says whether all budgets hold");
    (table_rows(&markdown), rows)
}

#[test]
fn the_capacity_page_and_the_tool_have_the_same_rows() {
    let (tool, rows) = quick_run();
    let page: BTreeSet<RowKey> = table_rows(PAGE).into_iter().collect();
    assert_eq!(tool.len(), rows.len());
    let count = tool.len();
    let tool: BTreeSet<RowKey> = tool.into_iter().collect();
    assert_eq!(tool.len(), count, "two rows are identical");
    let not_on_page: Vec<&RowKey> = tool.difference(&page).collect();
    let not_in_tool: Vec<&RowKey> = page.difference(&tool).collect();
    assert!(not_on_page.is_empty(), "docs/CAPACITY.md lacks {not_on_page:#?}");
    assert!(not_in_tool.is_empty(), "lineroute-lab scale has no {not_in_tool:#?}");
    for row in &rows {
        check_json(row);
    }
}

fn check_json(row: &Value) {
    for key in ["role", "quantity", "unit", "mechanism"] {
        assert!(row[key].is_string(), "{key}: {row}");
    }
    for key in ["slope", "constant", "residual", "at_full_size"] {
        assert!(row[key].is_number(), "{key}: {row}");
    }
    assert!(row["points"]
        .as_array()
        .is_some_and(|points| points.iter().all(|p| p.as_array().map(Vec::len) == Some(2))));
    let is_open = row["budget"].is_null() || row["source"] == "not-measured";
    assert_eq!(row["holds"].is_null(), is_open, "{row}");
}
