//! Settings of a directory replica: a TOML file, validated as a whole at startup and on each reload.

use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Deserialize;

use crate::call_memory::CallMemoryBounds;
use crate::node::FaultTolerance;

/// Maximum lease duration in seconds, unless the settings set another.
const DEFAULT_MAX_LEASE_S: f64 = 10.0;

/// Seconds by which a server's lease on its shards exceeds the heartbeat interval, unless the settings say
/// otherwise. Covers a heartbeat that is not answered for a second, a second one that reaches a group without
/// a leader, and a margin.
const LEASE_MARGIN_S: f64 = 2.2;

/// Capacity of a machine's link in megabits per second, unless the settings say otherwise.
const DEFAULT_LINK_MBPS: f64 = 100.0;

/// Fraction of the drain time in which a leaving server releases its shards.
const DRAIN_RELEASE_FRACTION: f64 = 0.5;

/// Fraction of the evacuation time in which the servers of an evacuated zone release their shards: one
/// heartbeat may arrive that much later, followed by one from the new owner.
const EVACUATION_RELEASE_FRACTION: f64 = 0.3;

/// Seconds after which servers of an evacuated zone receive no more requests, unless the settings say
/// otherwise.
pub const DEFAULT_EVACUATION_S: f64 = 5.0;

/// Seconds after which a leaving server receives no more requests, unless the settings say otherwise.
pub const DEFAULT_DRAIN_S: f64 = 2.0;

/// Maximum number of voters: with more, each commit waits for too many disks.
const MAX_VOTERS: usize = 15;

/// Why settings cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The file is not valid TOML or does not match the expected structure.
    #[error("{path}: {message}")]
    Malformed {
        /// Path of the file.
        path: PathBuf,
        /// The parser's message, with line and field.
        message: String,
    },
    /// A value violates a rule.
    #[error("{field}: {rule}")]
    Value {
        /// Name of the field.
        field: &'static str,
        /// The violated rule.
        rule: &'static str,
    },
}

/// Settings of a directory replica.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct DirectorySettings {
    /// Name of the machine.
    pub node: String,
    /// Zone of the machine.
    pub zone: String,
    /// Zones of the deployment that an evacuation may name; if empty, any zone may be named.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Address for operators and servers.
    pub control_address: SocketAddr,
    /// Port of the metrics endpoint at the control address; 0 disables it.
    #[serde(default)]
    pub metrics_port: u16,
    /// Local IP address for listening and connecting, if it differs from the advertised one.
    #[serde(default)]
    pub bind_ip: Option<IpAddr>,
    /// Port for connections between replicas and gateways.
    pub link_port: u16,
    /// Control addresses of replicas that are likely to be reachable.
    pub seeds: Vec<SocketAddr>,
    /// Whether this is the first start of the whole system, with empty disks.
    pub bootstrap: bool,
    /// Folder for durable state.
    pub data_dir: PathBuf,
    /// Seconds between two heartbeats of one server.
    pub heartbeat_s: f64,
    /// Seconds of a server's lease on its shards; defaults to the heartbeat interval plus 2.2 s.
    #[serde(default)]
    pub lease_s: Option<f64>,
    /// Capacity of the machine's link in megabits per second.
    #[serde(default = "default_link")]
    pub link_mbps: f64,
    /// Memory that the process may use, in mebibytes.
    #[serde(default = "default_memory")]
    pub memory_mb: f64,
    /// Limits set by the deployment.
    #[serde(default)]
    pub bounds: Bounds,
    /// What may be lost at the same time without losing acknowledged data; defaults to one machine.
    #[serde(default)]
    pub fault_tolerance: FaultTolerance,
    /// Whether this machine counts towards the tolerated losses. Replicas on other machines never vote.
    #[serde(default = "default_may_vote")]
    pub tolerance_member: bool,
}

/// Limits set by the deployment; unknown keys are ignored.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct Bounds {
    /// Seconds of the longest allowed lease.
    pub hold_max_s: Option<f64>,
    /// Seconds after which a leaving server receives no more requests.
    pub drain_s: Option<f64>,
    /// Seconds between the request to stop and the end of a process.
    pub grace_s: Option<f64>,
    /// Seconds after which the servers of an evacuated zone receive no more requests.
    pub evacuation_s: Option<f64>,
}

fn default_may_vote() -> bool {
    true
}

fn default_memory() -> f64 {
    256.0
}

fn default_link() -> f64 {
    DEFAULT_LINK_MBPS
}

impl DirectorySettings {
    /// Loads and validates a file.
    ///
    /// # Errors
    /// The file cannot be read, is malformed, or a value violates a rule.
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
        check_positive("memory_mb", self.memory_mb)?;
        if self.fault_tolerance.wanted_voters() > MAX_VOTERS {
            return Err(value(
                "fault_tolerance",
                "must not require more than 15 voters",
            ));
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

    /// Advertised address for replicas and gateways.
    pub fn link_address(&self) -> SocketAddr {
        SocketAddr::new(self.control_address.ip(), self.link_port)
    }

    /// Local address on which to listen for connections to the advertised `address`.
    pub fn bind_address(&self, address: SocketAddr) -> SocketAddr {
        SocketAddr::new(self.bind_ip.unwrap_or(address.ip()), address.port())
    }

    /// Internal addresses of the seeds.
    pub fn seed_links(&self) -> Vec<SocketAddr> {
        link_addresses(&self.seeds, self.link_port)
    }

    /// Duration of a server's lease on its shards.
    pub fn lease(&self) -> Duration {
        let limit = self.bounds.hold_max_s.unwrap_or(DEFAULT_MAX_LEASE_S);
        let lease = self.lease_s;
        let lease = lease.unwrap_or(self.heartbeat_s + LEASE_MARGIN_S);
        Duration::from_secs_f64(lease.min(limit))
    }

    /// How much memory calls may hold.
    pub fn call_memory(&self) -> CallMemoryBounds {
        CallMemoryBounds::of(self.memory_mb * 1_048_576.0)
    }

    /// Time in which the servers of an evacuated zone release their shards.
    pub fn evacuation_window(&self) -> Duration {
        let bound = self.bounds.evacuation_s.unwrap_or(DEFAULT_EVACUATION_S);
        Duration::from_secs_f64(bound * EVACUATION_RELEASE_FRACTION)
    }

    /// Time in which a leaving server releases its shards.
    pub fn drain_window(&self) -> Duration {
        Duration::from_secs_f64(
            self.bounds.drain_s.unwrap_or(DEFAULT_DRAIN_S) * DRAIN_RELEASE_FRACTION,
        )
    }
}

/// Validates an optional duration.
///
/// # Errors
/// The value is present and is not a number above 0.
pub fn check_optional(field: &'static str, number: Option<f64>) -> Result<(), SettingsError> {
    number.map_or(Ok(()), |number| check_positive(field, number))
}

/// Internal addresses of machines with these control addresses, without duplicates.
pub fn link_addresses(control_addresses: &[SocketAddr], link_port: u16) -> Vec<SocketAddr> {
    let mut ips: Vec<IpAddr> = control_addresses.iter().map(SocketAddr::ip).collect();
    ips.sort();
    ips.dedup();
    ips.into_iter()
        .map(|ip| SocketAddr::new(ip, link_port))
        .collect()
}

/// Loads a TOML file.
///
/// # Errors
/// The file cannot be read or is malformed.
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

/// Validates a duration or ratio.
///
/// # Errors
/// The value is not a number above 0.
pub fn check_positive(field: &'static str, number: f64) -> Result<(), SettingsError> {
    match number.is_finite() && number > 0.0 {
        true => Ok(()),
        false => Err(value(field, "must be a number above 0")),
    }
}

fn value(field: &'static str, rule: &'static str) -> SettingsError {
    SettingsError::Value { field, rule }
}
