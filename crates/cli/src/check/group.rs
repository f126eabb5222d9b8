//! Checks the control replicas' settings against each other.

use std::collections::BTreeSet;
use std::path::Path;

use grebepin_bundle::{public_key, SigningKey};
use grebepin_settings::ControlSettings;

use super::deployment::Deployment;
use super::CheckFinding;

/// Folder next to the settings with trial keys, whose private keys are public knowledge.
const TRIAL_KEYS: &str = "trial-keys";

/// Minimum number of replicas, and of zones, that tolerates the loss of one.
const MINIMUM_FOR_ONE_LOSS: usize = 3;

pub(super) fn check(deployment: &Deployment, findings: &mut Vec<CheckFinding>) {
    let controls = &deployment.controls;
    for control in controls {
        check_trial_keys(control, findings);
    }
    let Some((first, others)) = controls.split_first() else {
        return;
    };
    for other in others {
        check_equal(first, other, findings);
    }
    check_peers(controls, findings);
    check_fault_tolerance(controls, findings);
}

/// Checks the settings that must be equal on all replicas of a group.
fn check_equal(first: &ControlSettings, other: &ControlSettings, findings: &mut Vec<CheckFinding>) {
    let equal = [
        ("group", first.group == other.group),
        ("timing", first.timing == other.timing),
        ("operators", first.operators == other.operators),
        (
            "required_signatures",
            first.required_signatures == other.required_signatures,
        ),
    ];
    for (field, is_equal) in equal {
        if !is_equal {
            let message = format!("{field} differs from {}", first.path.display());
            findings.push(CheckFinding::error(&other.path, message));
        }
    }
}

/// Checks that each replica's peers are exactly the other replicas with a settings file. A peer without
/// one is only a warning.
fn check_peers(controls: &[ControlSettings], findings: &mut Vec<CheckFinding>) {
    if controls.len() < 2 {
        return;
    }
    for control in controls {
        let named: BTreeSet<_> = control.peers.iter().copied().collect();
        let others = controls.iter().map(|other| other.peer_address);
        let others: BTreeSet<_> = others.filter(|one| *one != control.peer_address).collect();
        for missing in others.difference(&named) {
            let message = format!("peers lacks {missing}");
            findings.push(CheckFinding::error(&control.path, message));
        }
        for surplus in named.difference(&others) {
            let message = format!("peers names {surplus}, which has no settings file here");
            findings.push(CheckFinding::warning(&control.path, message));
        }
    }
}

fn check_fault_tolerance(controls: &[ControlSettings], findings: &mut Vec<CheckFinding>) {
    let path = &controls[0].path;
    let count = controls.len();
    if count > 1 && count.is_multiple_of(2) {
        let message = format!(
            "{count} replicas survive no more losses than {} would",
            count - 1
        );
        findings.push(CheckFinding::warning(path, message));
    }
    let zones: BTreeSet<_> = controls.iter().map(|control| &control.zone).collect();
    if count >= MINIMUM_FOR_ONE_LOSS && zones.len() < MINIMUM_FOR_ONE_LOSS {
        let message = format!(
            "replicas stand in {} zone(s); the loss of one may stop all changes",
            zones.len()
        );
        findings.push(CheckFinding::warning(path, message));
    }
}

/// Warns of trusted operator keys whose private key is among the trial keys.
fn check_trial_keys(control: &ControlSettings, findings: &mut Vec<CheckFinding>) {
    let folder = control
        .path
        .parent()
        .unwrap_or(Path::new("."))
        .join(TRIAL_KEYS);
    let mut known = Vec::new();
    for operator in &control.operators {
        let file = folder.join(format!("{}.key", operator.name.as_str()));
        let key = crate::files::read_signing_key(&file).ok();
        let is_trial = |key: SigningKey| public_key(&key) == operator.public_key;
        if key.is_some_and(is_trial) {
            known.push(operator.name.as_str());
        }
    }
    if !known.is_empty() {
        let message = format!("trial keys that everybody knows: {}", known.join(", "));
        findings.push(CheckFinding::warning(&control.path, message));
    }
}
