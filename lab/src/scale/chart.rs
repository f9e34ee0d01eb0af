//! Renders a capacity report as one self-contained HTML page: a table, and for each row a chart of its measured points,
//! fitted line and budget.

use super::report::{Fit, Row};
use super::table;
use super::Report;
use plotters::prelude::*;

const SIZE: (u32, u32) = (520, 300);
const STYLE: &str = "body{font-family:sans-serif;margin:2em}table{border-collapse:collapse;font-size:13px}\
    td,th{border:1px solid #ccc;padding:3px 7px;text-align:left}.missed{background:#fdd}\
    figure{display:inline-block;margin:1em;vertical-align:top;width:520px}figcaption{font-size:13px}";

/// Renders the HTML page.
///
/// # Errors
/// A chart cannot be drawn.
pub fn page(report: &Report) -> Result<String, String> {
    let mut html =
        format!("<!doctype html><meta charset=utf-8><title>Capacity</title><style>{STYLE}</style>");
    html.push_str(&format!(
        "<h1>Capacity</h1><p>Seed {}{}.</p>",
        report.seed,
        if report.quick { ", quick" } else { "" }
    ));
    html.push_str(&render_table(report));
    for row in report.rows.iter().filter(|row| row.points.len() > 1) {
        let caption = escape_html(&format!("{}: {} by {}", row.role, row.quantity, row.grows_by));
        let chart = render_chart(row).map_err(|e| format!("{}: {e}", row.quantity))?;
        html.push_str(&format!("<figure>{chart}<figcaption>{caption}</figcaption></figure>"));
    }
    Ok(html)
}

fn render_table(report: &Report) -> String {
    let header: String = table::COLUMNS.iter().map(|column| format!("<th>{column}</th>")).collect();
    let mut html = format!("<table><tr>{header}</tr>");
    for row in &report.rows {
        let class = if row.is_missed() { " class=missed" } else { "" };
        let cells: String =
            table::cells(row).iter().map(|cell| format!("<td>{}</td>", escape_html(cell))).collect();
        html.push_str(&format!("<tr{class}>{cells}</tr>"));
    }
    html.push_str("</table>");
    html
}

fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

fn render_chart(row: &Row) -> Result<String, Box<dyn std::error::Error>> {
    let mut svg = String::new();
    draw(row, &SVGBackend::with_string(&mut svg, SIZE).into_drawing_area())?;
    Ok(svg)
}

/// Draws the measured points, the fitted line up to the full size, and the budget.
fn draw(
    row: &Row,
    area: &DrawingArea<SVGBackend, plotters::coord::Shift>,
) -> Result<(), Box<dyn std::error::Error>> {
    let fit = Fit { slope: row.slope, constant: row.constant, residual: row.residual };
    let largest = row.points.iter().map(|(size, _)| *size).fold(row.full_size, f64::max);
    let values = row.points.iter().map(|(_, value)| *value).chain([fit.at(largest), row.at_full_size]);
    let highest = values.chain(row.budget).fold(0.0, f64::max).max(f64::MIN_POSITIVE);
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(area)
        .margin(10)
        .x_label_area_size(34)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..largest * 1.05, 0.0..highest * 1.05)?;
    chart
        .configure_mesh()
        .x_labels(5)
        .y_labels(5)
        .x_desc(row.grows_by.to_string())
        .y_desc(row.unit)
        .x_label_formatter(&|size| table::format_number(*size))
        .y_label_formatter(&|value| table::format_number(*value))
        .draw()?;
    chart.draw_series(LineSeries::new([(0.0, fit.at(0.0)), (largest, fit.at(largest))], &BLUE))?;
    if let Some(budget) = row.budget {
        chart.draw_series(LineSeries::new([(0.0, budget), (largest, budget)], &RED))?;
    }
    chart.draw_series(row.points.iter().map(|point| Circle::new(*point, 4, BLACK.filled())))?;
    area.present()?;
    Ok(())
}
