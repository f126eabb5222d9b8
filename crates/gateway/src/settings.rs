//! Settings of a gateway: a TOML file that is validated as a whole at startup and at each reload.

use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use grebepin_directory::settings::{
    check_optional, check_positive, link_addresses, load_toml, DEFAULT_DRAIN_S,
    DEFAULT_EVACUATION_S,
};
use grebepin_directory::SettingsError;
use serde::Deserialize;

use crate::held_memory::MemoryBounds;

/// Settings of a gateway, as they stand in its file.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct GatewaySettings {
    /// Name of the machine, which identifies this gateway to the directory.
    pub node: String,
    /// Zone of the machine.
    pub zone: String,
    /// Address at which clients connect.
    pub front_address: SocketAddr,
    /// Address of the readiness endpoint.
    pub ready_address: SocketAddr,
    /// Port of the metrics endpoint, at the IP address of `front_address`; 0 disables it.
    #[serde(default)]
    pub metrics_port: u16,
    /// IP address to bind listeners and outgoing connections to, if it differs from the advertised one.
    #[serde(default)]
    pub bind_ip: Option<IpAddr>,
    /// Port at which directory replicas accept links from gateways.
    pub link_port: u16,
    /// Port at which this gateway relays the state to gateways that are partitioned from the directory, at
    /// the IP address of `front_address`; 0 disables it.
    #[serde(default)]
    pub relay_port: u16,
    /// Port at which this gateway accepts requests that other gateways forward, at the IP address of `front_address`,
    /// and at which it forwards requests to them; 0 disables both.
    #[serde(default)]
    pub peer_port: u16,
    /// Control addresses of directory replicas that are likely to be reachable at startup.
    pub seeds: Vec<SocketAddr>,
    /// Bandwidth of the machine's network link in megabits per second. Without it no request is rejected
    /// because of the link.
    #[serde(default)]
    pub link_mbps: Option<f64>,
    /// Memory that the process may use, in mebibytes.
    #[serde(default = "default_memory")]
    pub memory_mb: f64,
    /// Maximum number of file descriptors of the process.
    #[serde(default = "default_descriptors")]
    pub maximum_descriptors: usize,
    /// Limits that the deployment sets.
    #[serde(default)]
    pub bounds: GatewayBounds,
}

/// Limits that the deployment sets; unknown keys are ignored.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct GatewayBounds {
    /// Seconds between a shutdown request and the end of the process.
    pub grace_s: f64,
    /// Seconds after which a draining server receives no more requests.
    pub drain_s: f64,
    /// Retry budget of a service, as a fraction of its requests.
    pub budget_ratio: f64,
    /// Seconds over which the retry budget is counted.
    pub budget_window_s: f64,
    /// Retries within a window that are allowed in addition to `budget_ratio`.
    pub budget_slack: f64,
    /// Seconds after which the servers of an evacuated zone receive no more requests.
    pub evacuation_s: f64,
}

impl Default for GatewayBounds {
    fn default() -> Self {
        Self {
            grace_s: 6.0,
            drain_s: DEFAULT_DRAIN_S,
            budget_ratio: 0.2,
            budget_window_s: 10.0,
            budget_slack: 50.0,
            evacuation_s: DEFAULT_EVACUATION_S,
        }
    }
}

fn default_memory() -> f64 {
    256.0
}

fn default_descriptors() -> usize {
    4_096
}

impl GatewaySettings {
    /// Loads and validates a settings file.
    ///
    /// # Errors
    /// The file can't be read, is malformed, or a value is out of range.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let settings: Self = load_toml(path)?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), SettingsError> {
        check_positive("bounds.grace_s", self.bounds.grace_s)?;
        check_positive("bounds.drain_s", self.bounds.drain_s)?;
        check_positive("bounds.budget_window_s", self.bounds.budget_window_s)?;
        check_optional("link_mbps", self.link_mbps)?;
        check_positive("memory_mb", self.memory_mb)?;
        check_positive("bounds.evacuation_s", self.bounds.evacuation_s)?;
        if self.seeds.is_empty() {
            let (field, rule) = ("seeds", "must not be empty");
            return Err(SettingsError::Value { field, rule });
        }
        if self.peer_port != 0 && self.peer_port == self.relay_port {
            let (field, rule) = ("peer_port", "must differ from relay_port");
            return Err(SettingsError::Value { field, rule });
        }
        if self.link_port == 0 {
            let (field, rule) = ("link_port", "must not be 0");
            return Err(SettingsError::Value { field, rule });
        }
        Ok(())
    }

    /// The address to bind for the advertised `address`.
    pub fn bind_address(&self, address: SocketAddr) -> SocketAddr {
        SocketAddr::new(self.bind_ip.unwrap_or(address.ip()), address.port())
    }

    /// Address at which other gateways can follow this one; `None` when it does not relay.
    pub fn relay_address(&self) -> Option<SocketAddr> {
        let address = SocketAddr::new(self.front_address.ip(), self.relay_port);
        (self.relay_port != 0).then_some(address)
    }

    /// Port of requests between gateways; `None` if they are disabled.
    pub fn peer_port(&self) -> Option<u16> {
        (self.peer_port != 0).then_some(self.peer_port)
    }

    /// The relay address as it is advertised to the directory; empty when this gateway does not relay.
    pub fn relay_name(&self) -> String {
        let address = self.relay_address();
        address.map_or_else(String::new, |address| address.to_string())
    }

    /// Addresses at which the seeds accept links.
    pub fn seed_links(&self) -> Vec<SocketAddr> {
        link_addresses(&self.seeds, self.link_port)
    }

    /// Time after which the servers of an evacuated zone receive no more requests.
    pub fn evacuation_bound(&self) -> Duration {
        Duration::from_secs_f64(self.bounds.evacuation_s)
    }

    /// Time after which a draining server receives no more requests.
    pub fn drain(&self) -> Duration {
        Duration::from_secs_f64(self.bounds.drain_s)
    }

    /// How much memory requests and responses may hold.
    pub fn memory_bounds(&self) -> MemoryBounds {
        MemoryBounds::of(self.memory_mb * 1_048_576.0)
    }

    /// Time between a shutdown request and the end of the process.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.bounds.grace_s)
    }
}
