//! Command lines and settings files of a deployment's processes.

use std::collections::{BTreeMap, BTreeSet};
use std::ffi::OsString;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use grebepin_schema::{Server, SocketAddress};

use super::deployment::Deployment;
use super::error::FleetError;
use super::layout::{Layout, LayoutError};
use super::process::ProcessPlan;
use super::relay::{self, Cuts};

/// Kind of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Control replica.
    Control,
    /// Router.
    Router,
    /// Back end.
    BackEnd,
}

/// Delays that the simulated back ends add.
#[derive(Clone, Copy, Debug)]
pub struct BackEndTimes {
    /// Mean service time of a request, in ms.
    pub service_ms: f64,
    /// One-way network delay, in ms.
    pub delay_ms: f64,
    /// Time to establish a connection, in ms.
    pub connect_ms: f64,
    /// Duration of a probe, in ms.
    pub probe_ms: f64,
}

/// One process of the fleet.
#[derive(Clone, Debug)]
pub struct PlannedProcess {
    /// Which program it runs.
    pub kind: Kind,
    /// Command line with which it is started and restarted.
    pub plan: ProcessPlan,
}

/// Plans of the control replicas and routers; writes their settings files.
pub fn daemons(
    layout: &Layout,
    deployment: &Deployment,
) -> Result<BTreeMap<String, PlannedProcess>, FleetError> {
    let mut processes = BTreeMap::new();
    for (name, settings) in &deployment.controls {
        let mut settings = settings.clone();
        settings.data_dir = layout.folder().join(name).display().to_string();
        settings.platform_address = None;
        let text = to_toml(name, &settings)?;
        let path = layout.write(&format!("{name}.toml"), &text)?;
        let arguments = vec!["control".into(), path.into()];
        processes.insert(
            name.clone(),
            planned_process(layout, Kind::Control, name, arguments),
        );
    }
    for (name, settings) in &deployment.routers {
        let path = layout.write(&format!("{name}.toml"), &to_toml(name, settings)?)?;
        let arguments = vec!["router".into(), path.into()];
        processes.insert(
            name.clone(),
            planned_process(layout, Kind::Router, name, arguments),
        );
    }
    Ok(processes)
}

/// Plans of the back ends, and the cuts of those with a relay in front.
pub struct BackEnds {
    /// Plans by process name.
    pub processes: BTreeMap<String, PlannedProcess>,
    /// Cuts by process name.
    pub cuts: BTreeMap<String, Arc<Cuts>>,
}

/// Plans of the back ends of every bundle. Starts a relay in front of each one named in `relayed`.
pub fn back_ends(
    layout: &Layout,
    deployment: &Deployment,
    times: BackEndTimes,
    relayed: &BTreeSet<String>,
) -> Result<BackEnds, FleetError> {
    let services = deployment
        .bundles
        .iter()
        .flat_map(|bundle| &bundle.services);
    let servers: BTreeMap<String, &Server> = services
        .flat_map(|service| &service.servers)
        .map(|server| (server.name.to_string(), server))
        .collect();
    let mut processes = BTreeMap::new();
    let mut cuts = BTreeMap::new();
    for (name, server) in servers {
        let mut listen = server.address.clone();
        if relayed.contains(&name) {
            listen = Layout::free_addresses(1)?.remove(0);
            cuts.insert(name.clone(), start_relay(&server.address, &listen)?);
        }
        let arguments = back_end_arguments(layout.folder(), server, &listen, times);
        processes.insert(
            name.clone(),
            planned_process(layout, Kind::BackEnd, &name, arguments),
        );
    }
    Ok(BackEnds { processes, cuts })
}

/// Converts an address of the schema. Panics on a malformed one, which this program never assigns.
pub fn socket_address(address: &SocketAddress) -> SocketAddr {
    address
        .as_str()
        .parse()
        .expect("addresses of a fleet are assigned by this program")
}

/// Subfolder of the history files; `grebepin check` accepts it as one run.
pub const HISTORIES: &str = "histories";

/// History file of a process, relative to the fleet's folder.
pub fn history_file(name: &str) -> PathBuf {
    Path::new(HISTORIES).join(format!("{name}.jsonl"))
}

fn start_relay(address: &SocketAddress, target: &SocketAddress) -> Result<Arc<Cuts>, LayoutError> {
    let listener = TcpListener::bind(address.as_str()).map_err(LayoutError::Relay)?;
    Ok(relay::start(listener, socket_address(target)))
}

fn back_end_arguments(
    folder: &Path,
    server: &Server,
    listen: &SocketAddress,
    times: BackEndTimes,
) -> Vec<OsString> {
    let mut arguments: Vec<OsString> = vec!["back-end".into()];
    let mut flag = |name: &str, value: String| {
        arguments.push(format!("--{name}").into());
        arguments.push(value.into());
    };
    flag("name", server.name.to_string());
    flag("listen", listen.to_string());
    let history = folder.join(history_file(server.name.as_str()));
    flag("history", history.display().to_string());
    flag("slots", server.slots.to_string());
    flag("connections", server.connections.to_string());
    flag("service-ms", times.service_ms.to_string());
    flag("delay-ms", times.delay_ms.to_string());
    flag("connect-ms", times.connect_ms.to_string());
    flag("probe-ms", times.probe_ms.to_string());
    arguments
}

fn planned_process(
    layout: &Layout,
    kind: Kind,
    name: &str,
    arguments: Vec<OsString>,
) -> PlannedProcess {
    let plan = ProcessPlan {
        name: name.to_string(),
        folder: layout.folder().to_path_buf(),
        arguments,
    };
    PlannedProcess { kind, plan }
}

fn to_toml<T: serde::Serialize>(name: &str, settings: &T) -> Result<String, FleetError> {
    toml::to_string(settings).map_err(|source| FleetError::Settings {
        name: name.to_string(),
        source,
    })
}
