//! How each process of a deployment is started.

use std::collections::{BTreeMap, BTreeSet};
use std::ffi::OsString;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use grebepin_schema::{Server, SocketAddress};

use super::deployment::Deployment;
use super::error::FleetError;
use super::layout::{Layout, LayoutError};
use super::link::{self, Cuts};
use super::process::ProcessPlan;

/// Kind of a fleet's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Control replica.
    Control,
    /// Router.
    Router,
    /// Back end.
    BackEnd,
}

/// Times that the stand-in back ends put in.
#[derive(Clone, Copy, Debug)]
pub struct BackEndTimes {
    /// Mean time of one request, in ms.
    pub service_ms: f64,
    /// Network time of one direction, in ms.
    pub delay_ms: f64,
    /// Time of a new connection, in ms.
    pub connect_ms: f64,
    /// Time of a probe, in ms.
    pub probe_ms: f64,
}

/// How to start one process, and its kind.
#[derive(Clone, Debug)]
pub struct Member {
    /// Kind.
    pub kind: Kind,
    /// How to start it.
    pub plan: ProcessPlan,
}

/// Plans of the control replicas and routers.
pub fn daemons(
    layout: &Layout,
    deployment: &Deployment,
) -> Result<BTreeMap<String, Member>, FleetError> {
    let mut members = BTreeMap::new();
    for (name, settings) in &deployment.controls {
        let mut settings = settings.clone();
        settings.data_dir = layout.folder().join(name).display().to_string();
        settings.platform_address = None;
        let text = to_toml(name, &settings)?;
        let path = layout.write(&format!("{name}.toml"), &text)?;
        let arguments = vec!["control".into(), path.into()];
        members.insert(name.clone(), member(layout, Kind::Control, name, arguments));
    }
    for (name, settings) in &deployment.routers {
        let path = layout.write(&format!("{name}.toml"), &to_toml(name, settings)?)?;
        let arguments = vec!["router".into(), path.into()];
        members.insert(name.clone(), member(layout, Kind::Router, name, arguments));
    }
    Ok(members)
}

/// Plans of back ends, and the cuts of those that have a link in front.
pub struct BackEnds {
    /// Plans by process name.
    pub members: BTreeMap<String, Member>,
    /// Cuts by process name.
    pub cuts: BTreeMap<String, Arc<Cuts>>,
}

/// Plans of the back ends of every bundle, and a link in front of each one named in `linked`.
pub fn back_ends(
    layout: &Layout,
    deployment: &Deployment,
    times: BackEndTimes,
    linked: &BTreeSet<String>,
) -> Result<BackEnds, FleetError> {
    let services = deployment
        .bundles
        .iter()
        .flat_map(|bundle| &bundle.services);
    let servers: BTreeMap<String, &Server> = services
        .flat_map(|service| &service.servers)
        .map(|server| (server.name.to_string(), server))
        .collect();
    let mut members = BTreeMap::new();
    let mut cuts = BTreeMap::new();
    for (name, server) in servers {
        let mut listen = server.address.clone();
        if linked.contains(&name) {
            listen = Layout::free_addresses(1)?.remove(0);
            cuts.insert(name.clone(), start_link(&server.address, &listen)?);
        }
        let arguments = back_end_arguments(layout.folder(), server, &listen, times);
        members.insert(
            name.clone(),
            member(layout, Kind::BackEnd, &name, arguments),
        );
    }
    Ok(BackEnds { members, cuts })
}

/// Address of a schema type as the standard library's.
pub fn socket_address(address: &SocketAddress) -> SocketAddr {
    address
        .as_str()
        .parse()
        .expect("addresses of a fleet are given by this program")
}

/// Folder of the history files within the fleet's folder, as `grebepin check` takes it.
pub const HISTORIES: &str = "histories";

/// History file of a process, within the fleet's folder.
pub fn history_file(name: &str) -> PathBuf {
    Path::new(HISTORIES).join(format!("{name}.jsonl"))
}

fn start_link(address: &SocketAddress, target: &SocketAddress) -> Result<Arc<Cuts>, LayoutError> {
    let listener = TcpListener::bind(address.as_str()).map_err(LayoutError::Link)?;
    Ok(link::start(listener, socket_address(target)))
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

fn member(layout: &Layout, kind: Kind, name: &str, arguments: Vec<OsString>) -> Member {
    let plan = ProcessPlan {
        name: name.to_string(),
        folder: layout.folder().to_path_buf(),
        arguments,
    };
    Member { kind, plan }
}

fn to_toml<T: serde::Serialize>(name: &str, settings: &T) -> Result<String, FleetError> {
    toml::to_string(settings).map_err(|source| FleetError::Settings {
        name: name.to_string(),
        source,
    })
}
