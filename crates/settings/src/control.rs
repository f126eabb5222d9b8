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

/// Most other replicas that a settings file may name.
const MAXIMUM_PEERS: usize = 14;

/// Checked settings of one control replica.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlSettings {
    /// File the settings came from.
    pub path: PathBuf,
    /// Zone this replica stands in.
    pub zone: ZoneName,
    /// Folder for the log, snapshots and identity.
    pub data_dir: PathBuf,
    /// Listens for other replicas.
    pub peer_address: SocketAddr,
    /// Listens for routers and relays.
    pub router_address: SocketAddr,
    /// Listens for operators, metrics and probes.
    pub admin_address: SocketAddr,
    /// Peer addresses of the group's other replicas.
    pub peers: Vec<SocketAddr>,
    /// Operators whose signatures count.
    pub operators: Vec<TrustedOperator>,
    /// Sign-offs a bundle needs.
    pub required_signatures: u32,
    /// Group of this replica.
    pub group: GroupId,
    /// Where the platform's list of machines is asked.
    pub platform_address: Option<SocketAddr>,
    /// Times of the group; equal on all its replicas.
    pub timing: ControlTiming,
}

/// Loads a settings file of `grebepin-control`, fills in defaults and checks every field.
pub fn load_control(path: impl AsRef<Path>) -> Result<ControlSettings, SettingsError> {
    let path = path.as_ref();
    parse_control(path, &file::read(path)?)
}

/// Like [`load_control`] for a text already read; `path` only names it in errors.
pub fn parse_control(path: &Path, text: &str) -> Result<ControlSettings, SettingsError> {
    let raw: schema::ControlSettings = file::parse(path, text)?;
    let mut problems = Problems::default();
    let settings = check(path, raw, &mut problems);
    problems.into_result(path)?;
    Ok(settings)
}

impl ControlSettings {
    /// Checks the settings against this machine: listens on each address for a moment, and makes
    /// and writes the data folder. Run it before the daemon opens either.
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
        .map(|address| problems.reachable("platform_address", address));
    let settings = ControlSettings {
        path: path.to_owned(),
        zone: raw.zone,
        data_dir: PathBuf::from(raw.data_dir),
        peer_address: problems.reachable("peer_address", &raw.peer_address),
        router_address: problems.reachable("router_address", &raw.router_address),
        admin_address: problems.reachable("admin_address", &raw.admin_address),
        peers: problems.others("peers", &raw.peers),
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
    problems.range("peers", peers, 0, MAXIMUM_PEERS as u64);
}
