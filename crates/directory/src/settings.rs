//! Settings of a directory replica: a TOML file, checked whole at the start and at each reload.

use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Deserialize;

use crate::node::FaultTolerance;

/// Longest lease that any deployment allows.
const DEFAULT_LEASE_LIMIT: f64 = 10.0;

/// By how much a lease of a server's shards outlasts the time between two heartbeats, unless the
/// settings say otherwise: a heartbeat that gets no answer for a second, the next that meets a group
/// without a leader, and a margin.
const LEASE_BEYOND_HEARTBEAT: f64 = 2.2;

/// Link of a machine unless the settings say otherwise.
const DEFAULT_LINK_MBPS: f64 = 100.0;

/// Time in which a leaving server gives its shards back, as a part of the time that it has.
const DRAIN_PART: f64 = 0.5;

/// Time in which the servers of an evacuated zone give their shards back, as a part of the time that there is:
/// a heartbeat may come that much later, and the new owner's one after it.
const EVACUATION_PART: f64 = 0.3;

/// Time after which servers of an evacuated zone get no more requests unless the settings say otherwise.
pub const DEFAULT_EVACUATION_S: f64 = 5.0;

/// Time after which a leaving server gets no more requests unless the settings say otherwise.
pub const DEFAULT_DRAIN_S: f64 = 2.0;

/// Most voters: with more of them each commit waits for too many disks.
const MAXIMUM_VOTERS: usize = 15;

/// Why settings can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The file is no TOML of the expected shape.
    #[error("{path}: {message}")]
    Malformed {
        /// The file.
        path: PathBuf,
        /// What the parser says, with line and field.
        message: String,
    },
    /// A value breaks a rule.
    #[error("{field}: {rule}")]
    Value {
        /// The field.
        field: &'static str,
        /// The rule.
        rule: &'static str,
    },
}

/// Settings of a directory replica.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct DirectorySettings {
    /// Name of the machine.
    pub node: String,
    /// Zone it stands in.
    pub zone: String,
    /// Zones of the deployment, which an evacuation may name; any may be named without.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Address for operators and servers.
    pub control_address: SocketAddr,
    /// Port at which metrics are told, at the control address; 0 for none.
    #[serde(default)]
    pub metrics_port: u16,
    /// Address to listen on and to connect from, where it is not the one that others use.
    #[serde(default)]
    pub bind_ip: Option<IpAddr>,
    /// Port at which all replicas and gateways speak to each other.
    pub link_port: u16,
    /// Control addresses of replicas that are likely to be there.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time, with empty disks.
    pub bootstrap: bool,
    /// Folder for durable state.
    pub data_dir: PathBuf,
    /// Seconds between two heartbeats of one server.
    pub heartbeat_s: f64,
    /// Seconds of a server's lease on its shards; the time between two heartbeats and 2.2 s without.
    #[serde(default)]
    pub lease_s: Option<f64>,
    /// Megabits a second of the machine's link.
    #[serde(default = "default_link")]
    pub link_mbps: f64,
    /// Bounds that the deployment sets.
    #[serde(default)]
    pub bounds: Bounds,
    /// What may be lost at the same time without losing anything acknowledged; one machine without.
    #[serde(default)]
    pub fault_tolerance: FaultTolerance,
    /// Whether this machine is one of those whose losses are bounded. Replicas on others never vote.
    #[serde(default = "default_may_vote")]
    pub tolerance_member: bool,
}

/// Bounds that the deployment sets; unknown ones are passed over.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct Bounds {
    /// Seconds of the longest lease.
    pub hold_max_s: Option<f64>,
    /// Seconds after which a leaving server gets no more requests.
    pub drain_s: Option<f64>,
    /// Seconds between a request to stop and the end.
    pub grace_s: Option<f64>,
    /// Seconds after which the servers of an evacuated zone get no more requests.
    pub evacuation_s: Option<f64>,
}

fn default_may_vote() -> bool {
    true
}

fn default_link() -> f64 {
    DEFAULT_LINK_MBPS
}

impl DirectorySettings {
    /// Loads and checks a file.
    ///
    /// # Errors
    /// It can't be read, is malformed, or a value breaks a rule.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let settings: Self = load_toml(path)?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), SettingsError> {
        check_positive("heartbeat_s", self.heartbeat_s)?;
        check_optional("lease_s", self.lease_s)?;
        check_optional("bounds.evacuation_s", self.bounds.evacuation_s)?;
        check_positive("link_mbps", self.link_mbps)?;
        if self.fault_tolerance.wanted_voters() > MAXIMUM_VOTERS {
            return Err(value("fault_tolerance", "must not want over 15 voters"));
        }
        if self.link_port == 0 {
            return Err(value("link_port", "must not be 0"));
        }
        if self.node.is_empty() {
            return Err(value("node", "must not be empty"));
        }
        if self.data_dir.as_os_str().is_empty() {
            return Err(value("data_dir", "must not be empty"));
        }
        Ok(())
    }

    /// Address for replicas and gateways.
    pub fn link_address(&self) -> SocketAddr {
        SocketAddr::new(self.control_address.ip(), self.link_port)
    }

    /// Where to listen for what others reach at `address`.
    pub fn bind_address(&self, address: SocketAddr) -> SocketAddr {
        SocketAddr::new(self.bind_ip.unwrap_or(address.ip()), address.port())
    }

    /// Internal addresses of the seeds.
    pub fn seed_links(&self) -> Vec<SocketAddr> {
        link_addresses(&self.seeds, self.link_port)
    }

    /// Length of a lease.
    pub fn lease(&self) -> Duration {
        let limit = self.bounds.hold_max_s.unwrap_or(DEFAULT_LEASE_LIMIT);
        let lease = self.lease_s;
        let lease = lease.unwrap_or(self.heartbeat_s + LEASE_BEYOND_HEARTBEAT);
        Duration::from_secs_f64(lease.min(limit))
    }

    /// Time in which the servers of an evacuated zone give their shards back.
    pub fn evacuation_window(&self) -> Duration {
        let bound = self.bounds.evacuation_s.unwrap_or(DEFAULT_EVACUATION_S);
        Duration::from_secs_f64(bound * EVACUATION_PART)
    }

    /// Time in which a leaving server gives its shards back.
    pub fn drain_window(&self) -> Duration {
        Duration::from_secs_f64(self.bounds.drain_s.unwrap_or(DEFAULT_DRAIN_S) * DRAIN_PART)
    }
}

/// Checks a duration that may be left out.
///
/// # Errors
/// It is there and not a number above 0.
pub fn check_optional(field: &'static str, number: Option<f64>) -> Result<(), SettingsError> {
    number.map_or(Ok(()), |number| check_positive(field, number))
}

/// Internal addresses of machines whose control addresses are known.
pub fn link_addresses(controls: &[SocketAddr], link_port: u16) -> Vec<SocketAddr> {
    let mut ips: Vec<IpAddr> = controls.iter().map(SocketAddr::ip).collect();
    ips.sort();
    ips.dedup();
    ips.into_iter()
        .map(|ip| SocketAddr::new(ip, link_port))
        .collect()
}

/// Loads a TOML file.
///
/// # Errors
/// It can't be read or is malformed.
pub fn load_toml<T: serde::de::DeserializeOwned>(path: &Path) -> Result<T, SettingsError> {
    let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
        path: path.to_owned(),
        source,
    })?;
    toml::from_str(&text).map_err(|error| SettingsError::Malformed {
        path: path.to_owned(),
        message: error.to_string(),
    })
}

/// Checks a duration or ratio.
///
/// # Errors
/// It is not a number above 0.
pub fn check_positive(field: &'static str, number: f64) -> Result<(), SettingsError> {
    match number.is_finite() && number > 0.0 {
        true => Ok(()),
        false => Err(value(field, "must be a number above 0")),
    }
}

fn value(field: &'static str, rule: &'static str) -> SettingsError {
    SettingsError::Value { field, rule }
}
