//! Loads a deployment's folder and replaces its addresses by free ports on loopback.
//!
//! Invariant: an address is replaced by the same free address in every file, so that the files still
//! refer to each other and several fleets of one deployment can run at the same time.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use grebepin_bundle::{parse_signing_key, sign, KeyError, SigningKey};
use grebepin_schema::{
    Bundle, ControlSettings, Digest, OperatorName, RouterSettings, SignedBundle, SocketAddress,
};
use serde::de::DeserializeOwned;

use super::layout::{Layout, LayoutError};

const CONTROL_PREFIX: &str = "control-";
const ROUTER_PREFIX: &str = "router-";
const BUNDLE_PREFIX: &str = "bundle-";
const HEARTBEATS_PER_ELECTION_TIMEOUT: u64 = 5;
const KEYS_FOLDER: &str = "trial-keys";

/// Why a deployment's folder could not be loaded.
#[derive(Debug, thiserror::Error)]
pub enum DeploymentError {
    /// A file or folder could not be read.
    #[error("{path}: {source}")]
    Read {
        /// File or folder.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// A settings file does not match the schema.
    #[error("{path}: {source}")]
    Settings {
        /// File.
        path: PathBuf,
        /// Cause.
        source: toml::de::Error,
    },
    /// A bundle does not match the schema.
    #[error("{path}: {source}")]
    Bundle {
        /// File.
        path: PathBuf,
        /// Cause.
        source: serde_json::Error,
    },
    /// A signing key can't be parsed.
    #[error("{path}: {source}")]
    Key {
        /// File.
        path: PathBuf,
        /// Cause.
        source: KeyError,
    },
    /// The stem of a key file's name is not a valid operator name.
    #[error("{path}: the file name is not a valid operator name")]
    OperatorName {
        /// File.
        path: PathBuf,
    },
    /// The folder has no file of a required kind.
    #[error("{folder}: no file {prefix}*")]
    Missing {
        /// Folder.
        folder: PathBuf,
        /// Prefix of the file names.
        prefix: &'static str,
    },
    /// Too few ports are free, or a file could not be written.
    #[error(transparent)]
    Layout(#[from] LayoutError),
}

/// Overrides of the lease and election times in the control replicas' settings; `None` keeps the
/// deployment's value.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeaseTimes {
    /// Duration of a back end's lease, in ms.
    pub lease_ms: Option<u64>,
    /// Interval between heartbeats of a back end, in ms.
    pub heartbeat_ms: Option<u64>,
    /// Election timeout of the control replicas, in ms; also sets their heartbeat interval to a fifth of it.
    pub election_timeout_ms: Option<u64>,
}

/// Settings, bundles and signing keys of one deployment.
pub struct Deployment {
    /// Settings of the control replicas, by process name.
    pub controls: BTreeMap<String, ControlSettings>,
    /// Settings of the routers, by process name.
    pub routers: BTreeMap<String, RouterSettings>,
    /// Bundles in the order of their versions.
    pub bundles: Vec<Bundle>,
    keys: Vec<(OperatorName, SigningKey)>,
}

impl Deployment {
    /// Reads `folder`: `control-*.toml`, `router-*.toml`, `bundle-*.json` and `trial-keys/*.key`.
    pub fn load(folder: &Path) -> Result<Self, DeploymentError> {
        let mut deployment = Self {
            controls: read_settings(folder, CONTROL_PREFIX)?,
            routers: read_settings(folder, ROUTER_PREFIX)?,
            bundles: read_bundles(folder)?,
            keys: read_keys(&folder.join(KEYS_FOLDER))?,
        };
        deployment.assign_free_ports()?;
        Ok(deployment)
    }

    /// Applies overrides to every control replica's settings; settings without a `timing` table are left
    /// unchanged.
    pub fn set_leases(&mut self, times: LeaseTimes) {
        for settings in self.controls.values_mut() {
            let Some(timing) = &mut settings.timing else {
                continue;
            };
            if let Some(lease) = times.lease_ms {
                timing.server_lease_ms = lease;
            }
            if let Some(heartbeat) = times.heartbeat_ms {
                timing.server_heartbeat_ms = heartbeat;
            }
            if let Some(timeout) = times.election_timeout_ms {
                timing.election_timeout_ms = timeout;
                timing.replica_heartbeat_ms = timeout / HEARTBEATS_PER_ELECTION_TIMEOUT;
            }
        }
    }

    /// The bundle of this version with the given parent, signed by every operator; `None` when the
    /// deployment has no such version.
    pub fn signed(&self, version: u64, parent: Option<Digest>) -> Option<SignedBundle> {
        let found = self.bundles.iter().find(|bundle| bundle.version == version);
        let mut bundle = found?.clone();
        bundle.parent = parent;
        Some(self.sign(bundle))
    }

    /// Signs a bundle with the key of every operator.
    pub fn sign(&self, bundle: Bundle) -> SignedBundle {
        let sign_one = |(name, key): &(OperatorName, SigningKey)| sign(&bundle, name, key);
        SignedBundle {
            signatures: self.keys.iter().map(sign_one).collect(),
            bundle,
        }
    }

    fn assign_free_ports(&mut self) -> Result<(), LayoutError> {
        let mut replacements: BTreeMap<SocketAddress, SocketAddress> = BTreeMap::new();
        self.visit_addresses(&mut |address| {
            replacements.insert(address.clone(), address.clone());
        });
        let free = Layout::free_addresses(replacements.len())?;
        for (address, replacement) in replacements.values_mut().zip(free) {
            *address = replacement;
        }
        self.visit_addresses(&mut |address| {
            if let Some(replacement) = replacements.get(address) {
                *address = replacement.clone();
            }
        });
        Ok(())
    }

    fn visit_addresses(&mut self, visit: &mut dyn FnMut(&mut SocketAddress)) {
        for settings in self.controls.values_mut() {
            visit(&mut settings.peer_address);
            visit(&mut settings.router_address);
            visit(&mut settings.admin_address);
            settings.peers.iter_mut().for_each(&mut *visit);
            settings.platform_address.iter_mut().for_each(&mut *visit);
        }
        for settings in self.routers.values_mut() {
            visit(&mut settings.listen_address);
            visit(&mut settings.admin_address);
            settings.control_addresses.iter_mut().for_each(&mut *visit);
        }
        let services = self
            .bundles
            .iter_mut()
            .flat_map(|bundle| &mut bundle.services);
        for server in services.flat_map(|service| &mut service.servers) {
            visit(&mut server.address);
        }
    }
}

/// Files of `folder` whose names begin with `prefix`, sorted.
fn files(folder: &Path, prefix: &'static str) -> Result<Vec<PathBuf>, DeploymentError> {
    let fail = |source| DeploymentError::Read {
        path: folder.to_path_buf(),
        source,
    };
    let mut paths = Vec::new();
    for entry in std::fs::read_dir(folder).map_err(fail)? {
        let path = entry.map_err(fail)?.path();
        if stem(&path).starts_with(prefix) && path.is_file() {
            paths.push(path);
        }
    }
    paths.sort();
    if paths.is_empty() {
        return Err(DeploymentError::Missing {
            folder: folder.to_path_buf(),
            prefix,
        });
    }
    Ok(paths)
}

fn stem(path: &Path) -> String {
    let stem = path.file_stem().unwrap_or_default();
    stem.to_string_lossy().into_owned()
}

fn read(path: &Path) -> Result<String, DeploymentError> {
    std::fs::read_to_string(path).map_err(|source| DeploymentError::Read {
        path: path.to_path_buf(),
        source,
    })
}

fn read_settings<T: DeserializeOwned>(
    folder: &Path,
    prefix: &'static str,
) -> Result<BTreeMap<String, T>, DeploymentError> {
    let mut all = BTreeMap::new();
    for path in files(folder, prefix)? {
        let settings =
            toml::from_str(&read(&path)?).map_err(|source| DeploymentError::Settings {
                path: path.clone(),
                source,
            })?;
        all.insert(stem(&path), settings);
    }
    Ok(all)
}

fn read_bundles(folder: &Path) -> Result<Vec<Bundle>, DeploymentError> {
    let mut bundles: Vec<Bundle> = Vec::new();
    for path in files(folder, BUNDLE_PREFIX)? {
        let bundle = serde_json::from_str(&read(&path)?)
            .map_err(|source| DeploymentError::Bundle { path, source })?;
        bundles.push(bundle);
    }
    bundles.sort_by_key(|bundle| bundle.version);
    Ok(bundles)
}

fn read_keys(folder: &Path) -> Result<Vec<(OperatorName, SigningKey)>, DeploymentError> {
    let mut keys = Vec::new();
    for path in files(folder, "")? {
        let key = parse_signing_key(&read(&path)?).map_err(|source| DeploymentError::Key {
            path: path.clone(),
            source,
        })?;
        let name = stem(&path)
            .parse()
            .map_err(|_| DeploymentError::OperatorName { path })?;
        keys.push((name, key));
    }
    Ok(keys)
}
