//! Settings of a gateway: a TOML file, checked whole at the start and at each reload.

use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use grebepin_directory::settings::{
    check_optional, check_positive, link_addresses, load_toml, DEFAULT_DRAIN_S,
    DEFAULT_EVACUATION_S,
};
use grebepin_directory::SettingsError;
use serde::Deserialize;

/// Settings of a gateway.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct GatewaySettings {
    /// Name of the machine.
    pub node: String,
    /// Zone it stands in.
    pub zone: String,
    /// Address for clients.
    pub front_address: SocketAddr,
    /// Address that tells whether the gateway wants clients.
    pub ready_address: SocketAddr,
    /// Port at which metrics are told, at the address of the clients; 0 for none.
    #[serde(default)]
    pub metrics_port: u16,
    /// Address to listen on and to connect from, where it is not the one that others use.
    #[serde(default)]
    pub bind_ip: Option<IpAddr>,
    /// Port at which directory replicas take links.
    pub link_port: u16,
    /// Port at which this gateway gives the state on to others that a cut keeps from the directory, at the
    /// address of the clients; 0 for none.
    #[serde(default)]
    pub relay_port: u16,
    /// Control addresses of directory replicas that are likely to be there.
    pub seeds: Vec<SocketAddr>,
    /// Megabits a second of the machine's link; no request is turned away for the link without.
    #[serde(default)]
    pub link_mbps: Option<f64>,
    /// Descriptors that the process may use.
    #[serde(default = "default_descriptors")]
    pub maximum_descriptors: usize,
    /// Bounds that the deployment sets.
    #[serde(default)]
    pub bounds: GatewayBounds,
}

/// Bounds that the deployment sets; unknown ones are passed over.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct GatewayBounds {
    /// Seconds between a request to stop and the end.
    pub grace_s: f64,
    /// Seconds after which a server that leaves gets no more requests.
    pub drain_s: f64,
    /// Part of a service's requests that may be sent a second time.
    pub budget_ratio: f64,
    /// Seconds over which the part is counted.
    pub budget_window_s: f64,
    /// Second sendings within a window that are allowed beyond the part.
    pub budget_slack: f64,
    /// Seconds after which the servers of an evacuated zone get no more requests.
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

fn default_descriptors() -> usize {
    4_096
}

impl GatewaySettings {
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
        check_positive("bounds.grace_s", self.bounds.grace_s)?;
        check_positive("bounds.drain_s", self.bounds.drain_s)?;
        check_positive("bounds.budget_window_s", self.bounds.budget_window_s)?;
        check_optional("link_mbps", self.link_mbps)?;
        check_positive("bounds.evacuation_s", self.bounds.evacuation_s)?;
        if self.seeds.is_empty() {
            let (field, rule) = ("seeds", "must not be empty");
            return Err(SettingsError::Value { field, rule });
        }
        if self.link_port == 0 {
            let (field, rule) = ("link_port", "must not be 0");
            return Err(SettingsError::Value { field, rule });
        }
        Ok(())
    }

    /// Where to listen for what others reach at `address`.
    pub fn bind_address(&self, address: SocketAddr) -> SocketAddr {
        SocketAddr::new(self.bind_ip.unwrap_or(address.ip()), address.port())
    }

    /// Where other gateways reach this one; `None` when it gives nothing on.
    pub fn relay_address(&self) -> Option<SocketAddr> {
        let address = SocketAddr::new(self.front_address.ip(), self.relay_port);
        (self.relay_port != 0).then_some(address)
    }

    /// The same as it is told; empty for none.
    pub fn relay_name(&self) -> String {
        let address = self.relay_address();
        address.map_or_else(String::new, |address| address.to_string())
    }

    /// Internal addresses of the seeds.
    pub fn seed_links(&self) -> Vec<SocketAddr> {
        link_addresses(&self.seeds, self.link_port)
    }

    /// Time after which the servers of an evacuated zone get no more requests.
    pub fn evacuation_bound(&self) -> Duration {
        Duration::from_secs_f64(self.bounds.evacuation_s)
    }

    /// Time after which a server that leaves gets no more requests.
    pub fn drain(&self) -> Duration {
        Duration::from_secs_f64(self.bounds.drain_s)
    }

    /// Time between a request to stop and the end.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.bounds.grace_s)
    }
}
