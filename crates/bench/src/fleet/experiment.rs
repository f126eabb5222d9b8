//! Reads an experiment file and checks it against its deployment.

use std::collections::BTreeSet;
use std::path::Path;

use grebepin_schema::{Experiment, Fault};

use super::deployment::Deployment;
use super::error::FleetError;

/// Alias in a step for the control replica that is the leader when the step is executed.
pub const LEADER: &str = "leader";

/// Reads an experiment and sorts its steps by time.
pub fn load(path: &Path) -> Result<Experiment, FleetError> {
    let text = std::fs::read_to_string(path).map_err(|source| FleetError::ExperimentFile {
        path: path.to_path_buf(),
        source,
    })?;
    let mut experiment: Experiment =
        toml::from_str(&text).map_err(|source| FleetError::Experiment {
            path: path.to_path_buf(),
            source,
        })?;
    experiment.steps.sort_by_key(|step| step.at_ms);
    Ok(experiment)
}

/// Checks that the deployment has every process, bundle and service that the experiment names.
pub fn check(experiment: &Experiment, deployment: &Deployment) -> Result<(), FleetError> {
    let known = process_names(deployment);
    for step in &experiment.steps {
        if let Some(name) = process_of(&step.fault) {
            if name != LEADER && !known.contains(name) {
                let known: Vec<&str> = known.iter().map(String::as_str).collect();
                return Err(FleetError::UnknownProcess {
                    name: name.to_string(),
                    known: known.join(", "),
                });
            }
        }
        if let Fault::Roll(version) | Fault::Race(version) = &step.fault {
            check_bundle(deployment, version.get())?;
        }
    }
    for load in &experiment.load {
        let services = deployment.bundles.first().map(|bundle| &bundle.services);
        let found =
            services.is_some_and(|all| all.iter().any(|service| service.name == load.service));
        if !found {
            let service = load.service.to_string();
            return Err(FleetError::UnknownService { service });
        }
    }
    Ok(())
}

/// Back ends whose traffic some step cuts; they need a relay in front.
pub fn relayed(experiment: &Experiment) -> BTreeSet<String> {
    let cut = |fault: &Fault| match fault {
        Fault::Cut(cut) => Some(cut.process.to_string()),
        _ => None,
    };
    let steps = experiment.steps.iter();
    steps.filter_map(|step| cut(&step.fault)).collect()
}

fn check_bundle(deployment: &Deployment, version: u64) -> Result<(), FleetError> {
    let mut bundles = deployment.bundles.iter();
    match bundles.any(|bundle| bundle.version == version) {
        true => Ok(()),
        false => Err(FleetError::UnknownBundle { version }),
    }
}

fn process_names(deployment: &Deployment) -> BTreeSet<String> {
    let services = deployment
        .bundles
        .iter()
        .flat_map(|bundle| &bundle.services);
    let servers = services.flat_map(|service| &service.servers);
    let mut names: BTreeSet<String> = servers.map(|server| server.name.to_string()).collect();
    names.extend(deployment.controls.keys().cloned());
    names.extend(deployment.routers.keys().cloned());
    names
}

fn process_of(fault: &Fault) -> Option<&str> {
    match fault {
        Fault::Kill(name)
        | Fault::Start(name)
        | Fault::Stop(name)
        | Fault::LoseDisk(name)
        | Fault::Heal(name) => Some(name.as_str()),
        Fault::Freeze(freeze) => Some(freeze.process.as_str()),
        Fault::Cut(cut) => Some(cut.process.as_str()),
        Fault::Drain(server) | Fault::Restore(server) => Some(server.as_str()),
        Fault::Roll(_) | Fault::Race(_) | Fault::RollingRestart(_) => None,
    }
}
