//! Plots of a report as SVG.

use plotters::prelude::*;

use super::{ReportError, RunReport};

const SIZE: (u32, u32) = (960, 320);
const MARGIN: u32 = 12;
const LABEL_SIZE: u32 = 48;
const MILLISECONDS_PER_SECOND: f64 = 1e3;

/// Plots the answered requests per second over the run, with a vertical line at each step.
pub fn answered_over_time(report: &RunReport) -> Result<String, ReportError> {
    let mut svg = String::new();
    draw(&mut svg, report).map_err(|error| ReportError::Plot(error.to_string()))?;
    Ok(svg)
}

fn draw(svg: &mut String, report: &RunReport) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let maximum = report.answered_by_second.iter().copied().max().unwrap_or(1);
    let seconds = report.answered_by_second.len().max(1);
    let mut chart = ChartBuilder::on(&area)
        .margin(MARGIN)
        .x_label_area_size(LABEL_SIZE)
        .y_label_area_size(LABEL_SIZE)
        .build_cartesian_2d(0.0..seconds as f64, 0.0..maximum as f64 * 1.1)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("answered a second")
        .draw()?;
    let points = report.answered_by_second.iter().enumerate();
    let line = points.map(|(second, count)| (second as f64 + 0.5, *count as f64));
    chart.draw_series(LineSeries::new(line, &BLUE))?;
    for step in &report.steps {
        let at = step.at_ms as f64 / MILLISECONDS_PER_SECOND;
        let mark = vec![(at, 0.0), (at, maximum as f64 * 1.1)];
        chart.draw_series(LineSeries::new(mark, &RED))?;
    }
    area.present()?;
    Ok(())
}
