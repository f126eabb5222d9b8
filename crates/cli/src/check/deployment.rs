//! Loads the settings and bundles of one deployment, and checks them against each other.

use std::path::{Path, PathBuf};

use grebepin_schema::SignedBundle;
use grebepin_settings::{
    load_control, load_router, ControlSettings, RouterSettings, SettingsError,
};

use super::{group, lineage, reach, CheckFinding, Inputs};
use crate::error::CliError;
use crate::files;

/// Field that only control replicas' settings have, which tells them from routers' settings.
const CONTROL_FIELD: &str = "data_dir";

/// The parsed files of one deployment.
#[derive(Default)]
pub(super) struct Deployment {
    pub(super) controls: Vec<ControlSettings>,
    pub(super) routers: Vec<RouterSettings>,
    pub(super) bundles: Vec<(PathBuf, SignedBundle)>,
}

/// Checks each file by itself, then the files that load against each other.
pub(crate) fn check(inputs: &Inputs) -> Result<Vec<CheckFinding>, CliError> {
    let mut deployment = Deployment::default();
    let mut findings = Vec::new();
    for path in &inputs.settings {
        if let Err(error) = deployment.load_settings(path)? {
            findings.push(CheckFinding::error(path, error.to_string()));
        }
    }
    for path in &inputs.bundles {
        match files::read_bundle(path) {
            Ok(signed) => deployment.bundles.push((path.clone(), signed)),
            Err(error @ CliError::NotABundle { .. }) => {
                findings.push(CheckFinding::error(path, error.to_string()));
            }
            Err(error) => return Err(error),
        }
    }
    group::check(&deployment, &mut findings);
    reach::check(&deployment, &mut findings);
    lineage::check(&deployment, &mut findings);
    Ok(findings)
}

impl Deployment {
    /// Loads a settings file. The outer error is an unreadable file, the inner one an invalid setting.
    fn load_settings(&mut self, path: &Path) -> Result<Result<(), SettingsError>, CliError> {
        let loaded = match is_control(path)? {
            true => load_control(path).map(|settings| self.controls.push(settings)),
            false => load_router(path).map(|settings| self.routers.push(settings)),
        };
        match loaded {
            Err(error @ SettingsError::Unreadable { .. }) => Err(error.into()),
            loaded => Ok(loaded),
        }
    }
}

fn is_control(path: &Path) -> Result<bool, CliError> {
    const MAX_SETTINGS_BYTES: u64 = 1 << 20;
    let bytes = files::read(path, MAX_SETTINGS_BYTES)?;
    let text = String::from_utf8_lossy(&bytes);
    let names_field = |line: &str| line.trim_start().starts_with(CONTROL_FIELD);
    Ok(text.lines().any(names_field))
}
