//! `grebepin check`: checks settings, bundles and histories, alone and against each other.

use std::fmt;

use grebepin_check::CheckLimits;
use serde::Serialize;

use crate::arguments;
use crate::check::{deployment, history, CheckFinding, HistoryReport, Inputs, Severity};
use crate::error::CliError;
use crate::output::Format;

#[derive(Default, Serialize)]
struct CheckReport {
    files: usize,
    findings: Vec<CheckFinding>,
    histories: Vec<HistoryReport>,
}

pub(crate) fn run(arguments: &arguments::Check, format: Format) -> Result<(), CliError> {
    let inputs = Inputs::collect(&arguments.paths)?;
    let limits = CheckLimits {
        clock_tolerance_us: arguments.clock_tolerance_us,
        ..CheckLimits::default()
    };
    let mut report = CheckReport::default();
    for deployment in &inputs {
        report.files += deployment.count();
        report.findings.extend(deployment::check(deployment)?);
        if !deployment.histories.is_empty() {
            let history = history::check(&deployment.histories, &limits)?;
            report.histories.push(history);
        }
    }
    format.print(&report)?;
    report.result()
}

impl CheckReport {
    fn result(&self) -> Result<(), CliError> {
        let errors = self.findings.iter();
        let errors = errors.filter(|one| one.severity == Severity::Error).count();
        if errors > 0 {
            return Err(CliError::Findings { errors });
        }
        let violations = self.histories.iter().map(HistoryReport::violations).sum();
        match violations {
            0 => Ok(()),
            violations => Err(CliError::BrokenPromises { violations }),
        }
    }
}

impl fmt::Display for CheckReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.findings {
            writeln!(formatter, "{finding}")?;
        }
        for history in &self.histories {
            write!(formatter, "{history}")?;
        }
        let warnings = self.findings.iter();
        let warnings = warnings.filter(|one| one.severity == Severity::Warning);
        let warnings = warnings.count();
        let errors = self.findings.len() - warnings;
        write!(
            formatter,
            "{} file(s) checked: {errors} error(s), {warnings} warning(s)",
            self.files
        )
    }
}
