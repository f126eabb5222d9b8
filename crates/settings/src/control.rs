//! Settings of `grebepin-control`.

mod operators;
mod timing;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use grebepin_schema::{self as schema, GroupId, TrustedOperator, ZoneName};

use crate::error::{ProblemKind, SettingsError};
use crate::problems::Problems;
use crate::{file, host};

pub use timing::ControlTiming;

/// Maximum number of other replicas in a settings file.
const MAX_PEERS: usize = 14;

/// Validated settings of one control replica.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlSettings {
    /// Settings file, named in errors.
    pub path: PathBuf,
    /// Zone in which this replica runs.
    pub zone: ZoneName,
    /// Folder for the log, snapshots and identity.
    pub data_dir: PathBuf,
    /// Address on which connections of other replicas are accepted.
    pub peer_address: SocketAddr,
    /// Address on which connections of routers and relays are accepted.
    pub router_address: SocketAddr,
    /// Address on which requests of operators, for metrics and for probes are accepted.
    pub admin_address: SocketAddr,
    /// Peer addresses of the group's other replicas.
    pub peers: Vec<SocketAddr>,
    /// Operators whose signatures are accepted.
    pub operators: Vec<TrustedOperator>,
    /// Number of sign-offs that a bundle needs.
    pub required_signatures: u32,
    /// Control group of this replica.
    pub group: GroupId,
    /// Address from which the platform's list of machines is read; `None` if there is no list.
    pub platform_address: Option<SocketAddr>,
    /// Timing of the group; must be equal on all its replicas.
    pub timing: ControlTiming,
}

/// Loads a settings file of `grebepin-control`, fills in default values and checks all fields.
pub fn load_control(path: impl AsRef<Path>) -> Result<ControlSettings, SettingsError> {
    let path = path.as_ref();
    parse_control(path, &file::read(path)?)
}

/// Like [`load_control`], for a text that is already read; `path` is only used in errors.
pub fn parse_control(path: &Path, text: &str) -> Result<ControlSettings, SettingsError> {
    let raw: schema::ControlSettings = file::parse(path, text)?;
    let mut problems = Problems::default();
    let settings = check(path, raw, &mut problems);
    problems.into_result(path)?;
    Ok(settings)
}

impl ControlSettings {
    /// Checks the settings against this machine: binds and releases each listening address, creates the data
    /// folder and writes to it. Must run before the daemon opens either.
    pub fn check_host(&self) -> Result<(), SettingsError> {
        let mut problems = Problems::default();
        for (field, address) in self.listen_addresses() {
            host::check_listen(field, address, &mut problems);
        }
        host::check_folder("data_dir", &self.data_dir, &mut problems);
        problems.into_result(&self.path)
    }

    fn listen_addresses(&self) -> [(&'static str, SocketAddr); 3] {
        [
            ("peer_address", self.peer_address),
            ("router_address", self.router_address),
            ("admin_address", self.admin_address),
        ]
    }
}

fn check(path: &Path, raw: schema::ControlSettings, problems: &mut Problems) -> ControlSettings {
    if raw.data_dir.is_empty() {
        problems.push("data_dir", ProblemKind::Empty);
    }
    let required = raw.required_signatures.get();
    operators::check(&raw.operators, required, problems);
    let platform_address = raw
        .platform_address
        .as_ref()
        .map(|address| problems.parse_reachable_address("platform_address", address));
    let settings = ControlSettings {
        path: path.to_owned(),
        zone: raw.zone,
        data_dir: PathBuf::from(raw.data_dir),
        peer_address: problems.parse_reachable_address("peer_address", &raw.peer_address),
        router_address: problems.parse_reachable_address("router_address", &raw.router_address),
        admin_address: problems.parse_reachable_address("admin_address", &raw.admin_address),
        peers: problems.parse_peer_addresses("peers", &raw.peers),
        operators: raw.operators,
        required_signatures: required,
        group: GroupId(raw.group),
        platform_address,
        timing: timing::check(raw.timing.unwrap_or_default(), problems),
    };
    check_addresses(&settings, problems);
    settings
}

fn check_addresses(settings: &ControlSettings, problems: &mut Problems) {
    let mut seen = Vec::new();
    for (field, address) in settings.listen_addresses() {
        if seen.contains(&address) && address.port() != 0 {
            let value = address.to_string();
            problems.push(field, ProblemKind::Duplicate { value });
        }
        seen.push(address);
    }
    if settings.peers.contains(&settings.peer_address) {
        let value = format!("this replica's own address {}", settings.peer_address);
        problems.push("peers", ProblemKind::Duplicate { value });
    }
    let peers = settings.peers.len() as u64;
    problems.check_range("peers", peers, 0, MAX_PEERS as u64);
}
