//! Rules between a bundle and the accepted one that it follows.

use std::collections::BTreeMap;

use grebepin_schema::{Bundle, Server, Service};

use crate::canonical::digest;
use crate::finding::{Finding, FindingKind};

/// Checks a deployment's first bundle: it has no parent.
pub fn check_first(bundle: &Bundle) -> Result<(), Vec<Finding>> {
    if bundle.parent.is_none() {
        return Ok(());
    }
    Err(vec![finding("parent", FindingKind::UnexpectedParent)])
}

/// Checks that `new` may follow the accepted bundle `old`.
///
/// The version grows, the parent is `old`'s digest, the deployment and each service's count of
/// shards stay, and a server that stays keeps its service. (It may change its address: the leader waits until a lease
/// at the former address has ended.)
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
        let former = accepted.get(&server.name);
        let Some(former) = former.filter(|former| **former != &service.name) else {
            continue;
        };
        let field = format!(
            "services[{}].servers[{}]",
            service.name.as_str(),
            server.name.as_str()
        );
        let accepted = former.to_string();
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
