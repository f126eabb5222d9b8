//! Runs an experiment on a fleet and builds its report.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use grebepin_check::{read_history, CheckLimits};
use grebepin_schema::{Experiment, HistoryRecord, Step};
use grebepin_standin::history::HistoryWriter;

use super::cluster::Fleet;
use super::deployment::{Deployment, LeaseTimes};
use super::error::FleetError;
use super::experiment;
use super::faults::{execute, resume, Frozen};
use super::observer::Observer;
use super::plans::{history_file, socket_address, BackEndTimes};
use super::process::Process;
use super::{callers, cluster};
use crate::report::RunReport;

const OBSERVER: &str = "observer";
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Inputs of a run.
#[derive(Clone, Debug)]
pub struct RunPlan {
    /// Folder of the deployment.
    pub deployment: PathBuf,
    /// File of the experiment.
    pub experiment: PathBuf,
    /// Folder for settings, logs and histories; an existing one is emptied first.
    pub folder: PathBuf,
    /// Delays that the simulated back ends add.
    pub times: BackEndTimes,
    /// Overrides of the deployment's lease and election times.
    pub leases: LeaseTimes,
}

/// Runs the experiment from the start of its processes to the report. `progress` receives a line of text
/// for each phase and step.
pub fn run(plan: &RunPlan, progress: &mut dyn FnMut(&str)) -> Result<RunReport, FleetError> {
    let experiment = experiment::load(&plan.experiment)?;
    let mut deployment = Deployment::load(&plan.deployment)?;
    deployment.set_leases(plan.leases);
    experiment::check(&experiment, &deployment)?;
    let relayed = experiment::relayed(&experiment);
    progress("starting the processes");
    let mut fleet = Fleet::start(&plan.folder, deployment, plan.times, &relayed)?;
    progress("rolling the first bundle");
    fleet.roll(1)?;
    fleet.wait_for_owners()?;
    let observer = start_observer(&fleet)?;
    progress("every shard has its owner; starting the callers");
    let mut callers = callers::start(&fleet, &experiment)?;
    execute_steps(&mut fleet, &experiment, progress)?;
    for process in &mut callers {
        process.wait()?;
    }
    std::thread::sleep(SETTLE_TIME);
    observer.stop();
    progress("checking the histories");
    report(&fleet, &experiment, &callers)
}

fn start_observer(fleet: &Fleet) -> Result<Observer, FleetError> {
    let path = fleet.folder().join(history_file(OBSERVER));
    let history = HistoryWriter::open(Some(&path)).map_err(FleetError::Record)?;
    let routers = fleet.deployment.routers.values();
    let routers: Vec<_> = routers
        .map(|settings| socket_address(&settings.admin_address))
        .collect();
    Ok(Observer::start(&routers, &Arc::new(history)))
}

/// Executes the steps at their times, and resumes frozen processes when their time is over.
fn execute_steps(
    fleet: &mut Fleet,
    experiment: &Experiment,
    progress: &mut dyn FnMut(&str),
) -> Result<(), FleetError> {
    let started = Instant::now();
    let mut frozen: Vec<(Duration, Frozen)> = Vec::new();
    for step in &experiment.steps {
        let at = Duration::from_millis(step.at_ms);
        resume_until(fleet, &mut frozen, started, at)?;
        sleep_until(started, at);
        progress(&describe(step));
        if let Some(process) = execute(fleet, &step.fault)? {
            frozen.push((started.elapsed() + process.duration, process));
        }
    }
    let end = Duration::from_secs(experiment.seconds.get());
    resume_until(fleet, &mut frozen, started, end)
}

fn resume_until(
    fleet: &mut Fleet,
    frozen: &mut Vec<(Duration, Frozen)>,
    started: Instant,
    until: Duration,
) -> Result<(), FleetError> {
    frozen.sort_by_key(|(at, _)| *at);
    while let Some((at, _)) = frozen.first() {
        if *at > until {
            return Ok(());
        }
        sleep_until(started, *at);
        let (_, process) = frozen.remove(0);
        resume(fleet, &process.process)?;
    }
    Ok(())
}

fn sleep_until(started: Instant, at: Duration) {
    std::thread::sleep(at.saturating_sub(started.elapsed()));
}

fn describe(step: &Step) -> String {
    let fault = serde_json::to_string(&step.fault).unwrap_or_default();
    format!("{:>6.1} s {fault}", step.at_ms as f64 / 1e3)
}

fn report(
    fleet: &Fleet,
    experiment: &Experiment,
    callers: &[Process],
) -> Result<RunReport, FleetError> {
    let mut names: Vec<String> = fleet.names(super::plans::Kind::BackEnd);
    names.extend(callers.iter().map(|process| process.plan().name.clone()));
    names.extend([OBSERVER.to_string(), cluster::RUNNER.to_string()]);
    let mut records = Vec::new();
    for name in names {
        read_records(&fleet.folder().join(history_file(&name)), &mut records)?;
    }
    let limits = CheckLimits {
        control_replicas: fleet.deployment.controls.len(),
        ..CheckLimits::for_processes()
    };
    Ok(RunReport::new(
        &experiment.name,
        &records,
        &experiment.steps,
        &limits,
    ))
}

/// Appends the records of a history file; skips an incomplete last line, which a killed process leaves.
fn read_records(path: &Path, records: &mut Vec<HistoryRecord>) -> Result<(), FleetError> {
    let text = std::fs::read(path).map_err(FleetError::Record)?;
    let complete_length = text
        .iter()
        .rposition(|byte| *byte == b'\n')
        .map_or(0, |end| end + 1);
    let fail = |source| FleetError::History {
        path: path.to_path_buf(),
        source,
    };
    for record in read_history(&text[..complete_length]) {
        records.push(record.map_err(fail)?);
    }
    Ok(())
}
