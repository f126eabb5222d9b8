//! Checks bundles: each by itself, its signatures, and its parent.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use grebepin_bundle::{check_successor, digest, verify, Finding};
use grebepin_schema::{Digest, SignedBundle};

use super::deployment::Deployment;
use super::CheckFinding;

pub(super) fn check(deployment: &Deployment, findings: &mut Vec<CheckFinding>) {
    let known: BTreeMap<Digest, &SignedBundle> = deployment
        .bundles
        .iter()
        .map(|(_, signed)| (digest(&signed.bundle), signed))
        .collect();
    let mut versions: BTreeMap<u64, (Digest, &PathBuf)> = BTreeMap::new();
    for (path, signed) in &deployment.bundles {
        let bundle = &signed.bundle;
        push(path, grebepin_bundle::check(bundle), findings);
        check_signatures(deployment, path, signed, findings);
        match bundle
            .parent
            .as_ref()
            .map(|parent| (parent, known.get(parent)))
        {
            Some((_, Some(parent))) => {
                push(path, check_successor(&parent.bundle, bundle), findings)
            }
            Some((parent, None)) => {
                let message = format!("no file here has its parent {}", parent.as_str());
                findings.push(CheckFinding::warning(path, message));
            }
            None => {}
        }
        let own = digest(bundle);
        let first = versions
            .entry(bundle.version)
            .or_insert((own.clone(), path));
        if first.0 != own {
            let message = format!(
                "another version {} is {}",
                bundle.version,
                first.1.display()
            );
            findings.push(CheckFinding::error(path, message));
        }
    }
}

/// Verifies the signatures, unless the bundle is unsigned or no control settings name the operators.
fn check_signatures(
    deployment: &Deployment,
    path: &Path,
    signed: &SignedBundle,
    findings: &mut Vec<CheckFinding>,
) {
    let Some(control) = deployment.controls.first() else {
        return;
    };
    if signed.signatures.is_empty() {
        return;
    }
    if let Err(error) = verify(signed, &control.operators, control.required_signatures) {
        findings.push(CheckFinding::error(path, error.to_string()));
    }
}

fn push(path: &Path, result: Result<(), Vec<Finding>>, findings: &mut Vec<CheckFinding>) {
    for finding in result.err().unwrap_or_default() {
        findings.push(CheckFinding::error(path, finding.to_string()));
    }
}
