//! Checks that processes can reach each other: addresses, routers' control replicas, zones, connections.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use grebepin_schema::Server;

use super::deployment::Deployment;
use super::CheckFinding;

pub(super) fn check(deployment: &Deployment, findings: &mut Vec<CheckFinding>) {
    check_listen_addresses(deployment, findings);
    check_routers(deployment, findings);
    for (path, signed) in &deployment.bundles {
        let servers = signed.bundle.services.iter();
        let servers: Vec<_> = servers.flat_map(|service| &service.servers).collect();
        check_zones(deployment, path, &servers, findings);
        check_connections(deployment, path, &servers, findings);
        check_server_addresses(deployment, path, &servers, findings);
    }
}

/// Addresses that daemons listen on, each with its settings file; port 0 is left out.
fn listeners(deployment: &Deployment) -> Vec<(SocketAddr, &PathBuf)> {
    let controls = deployment.controls.iter().flat_map(|control| {
        [
            control.peer_address,
            control.router_address,
            control.admin_address,
        ]
        .map(|address| (address, &control.path))
    });
    let routers = deployment.routers.iter().flat_map(|router| {
        [router.listen_address, router.admin_address].map(|address| (address, &router.path))
    });
    let all = controls.chain(routers);
    all.filter(|(address, _)| address.port() != 0).collect()
}

fn check_listen_addresses(deployment: &Deployment, findings: &mut Vec<CheckFinding>) {
    let mut seen: BTreeMap<SocketAddr, &PathBuf> = BTreeMap::new();
    for (address, path) in listeners(deployment) {
        if let Some(first) = seen.insert(address, path) {
            let message = format!("{address} is also in {}", first.display());
            findings.push(CheckFinding::error(path, message));
        }
    }
    let mut folders: BTreeMap<&Path, &PathBuf> = BTreeMap::new();
    for control in &deployment.controls {
        if let Some(first) = folders.insert(&control.data_dir, &control.path) {
            let message = format!(
                "data_dir is also that of {}; fine on two machines",
                first.display()
            );
            findings.push(CheckFinding::warning(&control.path, message));
        }
    }
}

fn check_routers(deployment: &Deployment, findings: &mut Vec<CheckFinding>) {
    let mut names = BTreeSet::new();
    let offered = deployment.controls.iter().map(|one| one.router_address);
    let offered: BTreeSet<_> = offered.collect();
    for router in &deployment.routers {
        if !names.insert(&router.name) {
            let message = format!("name {} stands twice", router.name.as_str());
            findings.push(CheckFinding::error(&router.path, message));
        }
        if offered.is_empty() {
            continue;
        }
        for address in &router.control_addresses {
            if !offered.contains(address) {
                let message =
                    format!("control_addresses names {address}, where no replica listens");
                findings.push(CheckFinding::error(&router.path, message));
            }
        }
        if router.control_addresses.len() == 1 && offered.len() > 1 {
            let message = "control_addresses names one replica; its loss leaves the table old";
            findings.push(CheckFinding::warning(&router.path, message));
        }
    }
}

fn check_zones(
    deployment: &Deployment,
    path: &Path,
    servers: &[&Server],
    findings: &mut Vec<CheckFinding>,
) {
    if deployment.controls.is_empty() {
        return;
    }
    let zones: BTreeSet<_> = deployment.controls.iter().map(|one| &one.zone).collect();
    let used: BTreeSet<_> = servers.iter().map(|server| &server.zone).collect();
    for zone in used.difference(&zones) {
        let message = format!("zone {} has servers and no control replica", zone.as_str());
        findings.push(CheckFinding::warning(path, message));
    }
}

fn check_connections(
    deployment: &Deployment,
    path: &Path,
    servers: &[&Server],
    findings: &mut Vec<CheckFinding>,
) {
    let routers = deployment.routers.len() as u32;
    for server in servers {
        let connections = server.connections.get();
        if connections < routers {
            let name = server.name.as_str();
            let message = format!("server {name}: {connections} connections for {routers} routers");
            findings.push(CheckFinding::error(path, message));
        }
    }
}

fn check_server_addresses(
    deployment: &Deployment,
    path: &Path,
    servers: &[&Server],
    findings: &mut Vec<CheckFinding>,
) {
    let listeners: BTreeMap<_, _> = listeners(deployment).into_iter().collect();
    for server in servers {
        let address = server.address.parse::<SocketAddr>().ok();
        if let Some(taken) = address.and_then(|address| listeners.get(&address)) {
            let name = server.name.as_str();
            let message = format!("server {name}: its address is also in {}", taken.display());
            findings.push(CheckFinding::error(path, message));
        }
    }
}
