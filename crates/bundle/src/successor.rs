//! Rules for a bundle that replaces an accepted one.

use std::collections::BTreeMap;

use grebepin_schema::{Bundle, Server, Service};

use crate::canonical::digest;
use crate::finding::{Finding, FindingKind};

/// Checks the first bundle of a deployment, which must not have a parent.
pub fn check_first(bundle: &Bundle) -> Result<(), Vec<Finding>> {
    if bundle.parent.is_none() {
        return Ok(());
    }
    Err(vec![finding("parent", FindingKind::UnexpectedParent)])
}

/// Checks that `new` may replace the accepted bundle `old`.
///
/// The version must be greater, the parent must be the digest of `old`, and the deployment, the number of
/// shards of each service and the service of each remaining server must be unchanged. The address of a server
/// may change: the leader waits until a lease at the previous address has ended.
pub fn check_successor(old: &Bundle, new: &Bundle) -> Result<(), Vec<Finding>> {
    let mut findings = Vec::new();
    check_lineage(old, new, &mut findings);
    check_shard_counts(old, new, &mut findings);
    check_servers(old, new, &mut findings);
    if findings.is_empty() {
        return Ok(());
    }
    Err(findings)
}

fn check_lineage(old: &Bundle, new: &Bundle, findings: &mut Vec<Finding>) {
    if new.deployment != old.deployment {
        let accepted = old.deployment.to_string();
        findings.push(finding(
            "deployment",
            FindingKind::DeploymentChanged { accepted },
        ));
    }
    if new.version <= old.version {
        let kind = FindingKind::VersionNotGreater {
            version: new.version,
            accepted_version: old.version,
        };
        findings.push(finding("version", kind));
    }
    let accepted = digest(old);
    if new.parent.as_ref() != Some(&accepted) {
        let kind = FindingKind::ParentMismatch {
            accepted: accepted.to_string(),
            accepted_version: old.version,
        };
        findings.push(finding("parent", kind));
    }
}

fn check_shard_counts(old: &Bundle, new: &Bundle, findings: &mut Vec<Finding>) {
    let accepted: BTreeMap<_, _> = old
        .services
        .iter()
        .map(|service| (&service.name, service.shards))
        .collect();
    for service in &new.services {
        match accepted.get(&service.name) {
            Some(shards) if *shards != service.shards => {
                let field = format!("services[{}].shards", service.name.as_str());
                let accepted = shards.get();
                findings.push(Finding {
                    field,
                    kind: FindingKind::ShardCountChanged { accepted },
                });
            }
            _ => {}
        }
    }
}

fn check_servers(old: &Bundle, new: &Bundle, findings: &mut Vec<Finding>) {
    let accepted: BTreeMap<_, _> = servers(old)
        .map(|(service, server)| (&server.name, &service.name))
        .collect();
    for (service, server) in servers(new) {
        let previous = accepted.get(&server.name);
        let Some(previous) = previous.filter(|previous| **previous != &service.name) else {
            continue;
        };
        let field = format!(
            "services[{}].servers[{}]",
            service.name.as_str(),
            server.name.as_str()
        );
        let accepted = previous.to_string();
        findings.push(Finding {
            field,
            kind: FindingKind::ServerChangedService { accepted },
        });
    }
}

fn servers(bundle: &Bundle) -> impl Iterator<Item = (&Service, &Server)> {
    bundle
        .services
        .iter()
        .flat_map(|service| service.servers.iter().map(move |server| (service, server)))
}

fn finding(field: &str, kind: FindingKind) -> Finding {
    Finding {
        field: field.to_owned(),
        kind,
    }
}
