//! Renders a report as text for the terminal.

use std::fmt::{self, Write};

use grebepin_check::Promise;

use super::RunReport;

const MICROSECONDS_PER_MILLISECOND: f64 = 1e3;
const MICROSECONDS_PER_SECOND: f64 = 1e6;
const MAX_VIOLATIONS_SHOWN: usize = 10;

/// Renders a report as text: latencies, measures and violated promises.
pub fn render_text(report: &RunReport) -> String {
    let mut text = String::new();
    write_all(&mut text, report).expect("writing to a string never fails");
    text
}

fn write_all(text: &mut String, report: &RunReport) -> fmt::Result {
    writeln!(text, "experiment {}", report.experiment)?;
    if let Some(load) = report.load_average {
        writeln!(text, "load average of the machine: {load:.1}")?;
    }
    write_latencies(text, report)?;
    write_measures(text, report)?;
    write_promises(text, report)
}

fn write_latencies(text: &mut String, report: &RunReport) -> fmt::Result {
    writeln!(
        text,
        "\n{:<30} {:>9} {:>8} {:>8} {:>9} {:>8} {:>8} {:>9} {:>9}",
        "class",
        "answered",
        "not-run",
        "unknown",
        "no answer",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
        "most ms"
    )?;
    let milliseconds = |micros: u64| micros as f64 / MICROSECONDS_PER_MILLISECOND;
    for (name, class) in &report.latencies.classes {
        writeln!(
            text,
            "{name:<30} {:>9} {:>8} {:>8} {:>9} {:>8.2} {:>8.2} {:>9.2} {:>9.2}",
            class.answered,
            class.not_run,
            class.unknown,
            class.no_answer,
            milliseconds(class.p50_us),
            milliseconds(class.p99_us),
            milliseconds(class.p999_us),
            milliseconds(class.slowest_us),
        )?;
    }
    Ok(())
}

fn write_measures(text: &mut String, report: &RunReport) -> fmt::Result {
    writeln!(
        text,
        "\n{:<30} {:>14} {:>14} {:>8} {:>12} {:>12}",
        "service", "imbalance keys", "imbalance load", "churn", "unowned s", "unanswered s"
    )?;
    let seconds = |micros: u64| micros as f64 / MICROSECONDS_PER_SECOND;
    for (name, service) in &report.measures.services {
        writeln!(
            text,
            "{name:<30} {:>14.3} {:>14.3} {:>8} {:>12.3} {:>12.3}",
            service.imbalance.shards,
            service.imbalance.load,
            service.owner_changes,
            seconds(service.longest_unowned_us),
            seconds(service.longest_unanswered_us),
        )?;
    }
    writeln!(
        text,
        "(unowned, unanswered: longest time of one shard, of all of a service's callers)"
    )
}

fn write_promises(text: &mut String, report: &RunReport) -> fmt::Result {
    writeln!(text, "\npromises broken: {}", report.check.violations.len())?;
    for promise in Promise::ALL {
        let broken = report
            .check
            .violations
            .iter()
            .filter(|found| found.promise == promise);
        writeln!(text, "  {:<34} {}", promise.name(), broken.count())?;
    }
    for violation in report.check.violations.iter().take(MAX_VIOLATIONS_SHOWN) {
        let at = violation.at_us;
        let name = violation.promise.name();
        writeln!(
            text,
            "  broken at {at} us: {name}: {}",
            violation.explanation
        )?;
    }
    Ok(())
}
