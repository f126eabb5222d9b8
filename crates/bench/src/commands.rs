//! Subcommands that run a fleet of processes.

use std::path::PathBuf;

use crate::fleet::deployment::LeaseTimes;
use crate::fleet::plans::BackEndTimes;
use crate::fleet::run::{run, RunPlan};
use crate::fleet::FleetError;
use crate::report::{render_html, render_text, ReportError, RunReport};

/// Flags of `grebepin-bench fleet`.
#[derive(Clone, Debug, clap::Args)]
pub struct FleetArguments {
    /// Folder of the deployment: settings, bundles and trial keys.
    #[arg(long, default_value = "deployments/recife")]
    pub deployment: PathBuf,
    /// File with the load and the faults.
    #[arg(long, default_value = "experiments/recife.toml")]
    pub experiment: PathBuf,
    /// Folder for settings, logs, histories and the report; an existing one is emptied first.
    #[arg(long, default_value = "target/fleet")]
    pub folder: PathBuf,
    /// Mean service time of a request at a back end, in ms.
    #[arg(long, default_value_t = 5.0)]
    pub service_ms: f64,
    /// One-way network delay between zones, in ms.
    #[arg(long, default_value_t = 0.5)]
    pub delay_ms: f64,
    /// Time to establish a connection, in ms.
    #[arg(long, default_value_t = 1.0)]
    pub connect_ms: f64,
    /// Duration of a probe, in ms.
    #[arg(long, default_value_t = 6.0)]
    pub probe_ms: f64,
    /// Lease duration of the back ends in ms; overrides the deployment's settings.
    #[arg(long)]
    pub server_lease_ms: Option<u64>,
    /// Election timeout of the control replicas in ms; overrides the deployment's settings, and sets
    /// the interval between the replicas' heartbeats to a fifth of it.
    #[arg(long)]
    pub election_timeout_ms: Option<u64>,
    /// Interval between heartbeats of a back end in ms; overrides the deployment's settings.
    #[arg(long)]
    pub server_heartbeat_ms: Option<u64>,
}

/// Flags of `grebepin-bench demo`.
#[derive(Clone, Debug, clap::Args)]
pub struct DemoArguments {
    /// Folder for settings, logs, histories and the report; an existing one is emptied first.
    #[arg(long, default_value = "target/demo")]
    pub folder: PathBuf,
}

/// Why a subcommand failed.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The fleet could not be run.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// The report could not be written.
    #[error(transparent)]
    Report(#[from] ReportError),
    /// The run violated promises of the system.
    #[error("{count} promises broken; the report is in {folder}")]
    Broken {
        /// Number of violations.
        count: usize,
        /// Folder of the report.
        folder: PathBuf,
    },
}

/// Runs a fleet, prints its report and writes it to `report.json` and `report.html` in the run's folder.
/// A run with violations is an error, after its report was written.
pub fn fleet(arguments: &FleetArguments) -> Result<(), CommandError> {
    let plan = RunPlan {
        deployment: arguments.deployment.clone(),
        experiment: arguments.experiment.clone(),
        folder: arguments.folder.clone(),
        times: BackEndTimes {
            service_ms: arguments.service_ms,
            delay_ms: arguments.delay_ms,
            connect_ms: arguments.connect_ms,
            probe_ms: arguments.probe_ms,
        },
        leases: LeaseTimes {
            lease_ms: arguments.server_lease_ms,
            heartbeat_ms: arguments.server_heartbeat_ms,
            election_timeout_ms: arguments.election_timeout_ms,
        },
    };
    let report = run(&plan, &mut |line| println!("{line}"))?;
    println!("\n{}", render_text(&report));
    write_files(&report, &plan.folder)?;
    match report.is_clean() {
        true => Ok(()),
        false => Err(CommandError::Broken {
            count: report.check.violations.len(),
            folder: plan.folder,
        }),
    }
}

/// Runs the demonstration: a small deployment that loses an owner and then gets a second bundle.
pub fn demo(arguments: &DemoArguments) -> Result<(), CommandError> {
    fleet(&FleetArguments {
        deployment: PathBuf::from("deployments/recife"),
        experiment: PathBuf::from("experiments/demo.toml"),
        folder: arguments.folder.clone(),
        service_ms: 5.0,
        delay_ms: 0.5,
        connect_ms: 1.0,
        probe_ms: 6.0,
        server_lease_ms: None,
        server_heartbeat_ms: None,
        election_timeout_ms: None,
    })
}

fn write_files(report: &RunReport, folder: &std::path::Path) -> Result<(), ReportError> {
    let json = serde_json::to_string_pretty(report)?;
    let html = render_html(report)?;
    for (name, text) in [("report.json", json), ("report.html", html)] {
        let path = folder.join(name);
        std::fs::write(&path, text).map_err(|source| ReportError::Write { path, source })?;
    }
    Ok(())
}
