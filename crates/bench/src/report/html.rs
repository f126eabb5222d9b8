//! Renders a report as an HTML page.

use super::plots::answered_over_time;
use super::text::render_text;
use super::{ReportError, RunReport};

const STYLE: &str =
    "body{font-family:sans-serif;max-width:1000px;margin:2em auto}pre{overflow-x:auto}";

/// Renders a report as a self-contained HTML page.
pub fn render_html(report: &RunReport) -> Result<String, ReportError> {
    let plot = answered_over_time(report)?;
    let steps: String = report.steps.iter().map(step_line).collect();
    let title = escape(&report.experiment);
    let text = escape(&render_text(report));
    Ok(format!(
        "<!doctype html><meta charset=utf-8><title>{title}</title><style>{STYLE}</style>\
         <h1>{title}</h1>{plot}<p>Red lines are the steps:</p><ul>{steps}</ul><pre>{text}</pre>\n"
    ))
}

fn step_line(step: &grebepin_schema::Step) -> String {
    let fault = serde_json::to_string(&step.fault).unwrap_or_default();
    format!("<li>{} ms: {}</li>", step.at_ms, escape(&fault))
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
