//! Load generators (callers) of a fleet: one process for each service in the experiment's load.

use std::ffi::OsString;
use std::path::PathBuf;

use grebepin_schema::{Experiment, RequestClass, Service, ServiceRate};

use super::cluster::Fleet;
use super::error::FleetError;
use super::plans::history_file;
use super::process::{Process, ProcessPlan};

/// Concurrent requests of one service's callers. Requests beyond these start late, which the callers'
/// summary counts.
const CALLER_THREADS: usize = 192;

/// Name of the process that sends a service's load; also names its log, history and summary files.
pub fn process_name(rate: &ServiceRate) -> String {
    format!("callers-{}", rate.service.as_str())
}

/// Starts the callers of every service in the experiment's load.
pub fn start(fleet: &Fleet, experiment: &Experiment) -> Result<Vec<Process>, FleetError> {
    let started = experiment.load.iter().enumerate();
    started
        .map(|(number, rate)| start_one(fleet, experiment.seconds.get(), number, rate))
        .collect()
}

fn start_one(
    fleet: &Fleet,
    seconds: u64,
    number: usize,
    rate: &ServiceRate,
) -> Result<Process, FleetError> {
    let name = process_name(rate);
    let service = service(fleet, rate)?;
    let mut arguments: Vec<OsString> = vec!["callers".into()];
    let mut flag = |name: &str, value: String| {
        arguments.push(format!("--{name}").into());
        arguments.push(value.into());
    };
    for router in fleet.deployment.routers.values() {
        flag("router", router.listen_address.to_string());
    }
    for class in &service.classes {
        flag("class", class_flag(service, class));
    }
    flag("rate", rate.requests_per_second.to_string());
    flag("seconds", seconds.to_string());
    flag("seed", (number + 1).to_string());
    flag("keys", rate.keys.to_string());
    flag("delay-ms", rate.delay_ms.to_string());
    flag("threads", CALLER_THREADS.to_string());
    flag("id-prefix", service.name.to_string());
    let file = |name: PathBuf| fleet.folder().join(name).display().to_string();
    flag("history", file(history_file(&name)));
    flag("summary", file(PathBuf::from(format!("{name}.json"))));
    Ok(Process::start(ProcessPlan {
        name,
        folder: fleet.folder().to_path_buf(),
        arguments,
    })?)
}

fn service<'a>(fleet: &'a Fleet, rate: &ServiceRate) -> Result<&'a Service, FleetError> {
    let services = fleet
        .deployment
        .bundles
        .iter()
        .flat_map(|bundle| &bundle.services);
    let mut found = services.filter(|service| service.name == rate.service);
    found.next().ok_or_else(|| FleetError::UnknownService {
        service: rate.service.to_string(),
    })
}

fn class_flag(service: &Service, class: &RequestClass) -> String {
    let method = class.method.as_deref().unwrap_or("POST");
    format!(
        "service={},class={},path={},method={method},repeatable={},deadline-ms={}",
        service.name.as_str(),
        class.name.as_str(),
        class.path_prefix,
        class.repeatable,
        class.deadline_ms,
    )
}
