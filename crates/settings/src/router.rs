//! Settings of `grebepin-router`.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use grebepin_schema::{self as schema, GroupId, RouterName, ZoneName};

use crate::error::{ProblemKind, SettingsError};
use crate::problems::Problems;
use crate::{file, host};

/// Checked settings of one router.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterSettings {
    /// File the settings came from.
    pub path: PathBuf,
    /// Name of this router, unique in the deployment.
    pub name: RouterName,
    /// Zone this router stands in.
    pub zone: ZoneName,
    /// Listens for callers; port 0 lets the system choose one.
    pub listen_address: SocketAddr,
    /// Listens for metrics and probes; port 0 lets the system choose one.
    pub admin_address: SocketAddr,
    /// Router addresses of the control replicas or relays.
    pub control_addresses: Vec<SocketAddr>,
    /// Group that is followed.
    pub group: GroupId,
    /// Bounds of this router.
    pub limits: RouterLimits,
}

/// Bounds of one router.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterLimits {
    /// Threads that serve callers.
    pub threads: u32,
    /// Connections of callers at once.
    pub caller_connections: u32,
    /// Largest body of a request or an answer in bytes.
    pub body_bytes: u64,
    /// Longest silence of a caller within a request.
    pub caller_idle: Duration,
    /// Deadline of a request that states none.
    pub default_deadline: Duration,
    /// Longest time to connect to a back end.
    pub connect_timeout: Duration,
    /// Between two load reports.
    pub report: Duration,
    /// Time that a stopping router gives its requests.
    pub drain: Duration,
}

impl Default for RouterLimits {
    fn default() -> Self {
        typed(&schema::RouterLimits::default())
    }
}

/// Loads a settings file of `grebepin-router`, fills in defaults and checks every field.
pub fn load_router(path: impl AsRef<Path>) -> Result<RouterSettings, SettingsError> {
    let path = path.as_ref();
    parse_router(path, &file::read(path)?)
}

/// Like [`load_router`] for a text already read; `path` only names it in errors.
pub fn parse_router(path: &Path, text: &str) -> Result<RouterSettings, SettingsError> {
    let raw: schema::RouterSettings = file::parse(path, text)?;
    let mut problems = Problems::default();
    let settings = check(path, raw, &mut problems);
    problems.into_result(path)?;
    Ok(settings)
}

impl RouterSettings {
    /// Checks the settings against this machine: listens on each address for a moment. Run it
    /// before the daemon opens them.
    pub fn check_host(&self) -> Result<(), SettingsError> {
        let mut problems = Problems::default();
        host::check_listen("listen_address", self.listen_address, &mut problems);
        host::check_listen("admin_address", self.admin_address, &mut problems);
        problems.into_result(&self.path)
    }
}

fn check(path: &Path, raw: schema::RouterSettings, problems: &mut Problems) -> RouterSettings {
    if raw.control_addresses.is_empty() {
        problems.push("control_addresses", ProblemKind::Empty);
    }
    let limits = raw.limits.unwrap_or_default();
    check_limits(&limits, problems);
    let settings = RouterSettings {
        path: path.to_owned(),
        name: raw.name,
        zone: raw.zone,
        listen_address: problems.address("listen_address", &raw.listen_address),
        admin_address: problems.address("admin_address", &raw.admin_address),
        control_addresses: problems.others("control_addresses", &raw.control_addresses),
        group: GroupId(raw.group),
        limits: typed(&limits),
    };
    let admin = settings.admin_address;
    if admin == settings.listen_address && admin.port() != 0 {
        let value = admin.to_string();
        problems.push("admin_address", ProblemKind::Duplicate { value });
    }
    settings
}

fn check_limits(raw: &schema::RouterLimits, problems: &mut Problems) {
    let deadline = raw.default_deadline_ms.get();
    let connect_timeout = raw.connect_timeout_ms.get();
    let limits = [
        ("limits.threads", raw.threads.get().into(), 1, 4096),
        (
            "limits.caller_connections",
            raw.caller_connections.get().into(),
            1,
            100_000,
        ),
        ("limits.body_bytes", raw.body_bytes, 0, 67_108_864),
        ("limits.caller_idle_ms", raw.caller_idle_ms, 10, 600_000),
        ("limits.default_deadline_ms", deadline, 1, 600_000),
        ("limits.connect_timeout_ms", connect_timeout, 1, 60_000),
        ("limits.report_ms", raw.report_ms, 50, 60_000),
        ("limits.drain_ms", raw.drain_ms, 0, 600_000),
    ];
    for (field, value, minimum, maximum) in limits {
        problems.range(field, value, minimum, maximum);
    }
    let field = ("limits.default_deadline_ms", deadline);
    problems.at_least(field, 1, ("connect_timeout_ms", connect_timeout));
}

fn typed(raw: &schema::RouterLimits) -> RouterLimits {
    RouterLimits {
        threads: raw.threads.get(),
        caller_connections: raw.caller_connections.get(),
        body_bytes: raw.body_bytes,
        caller_idle: Duration::from_millis(raw.caller_idle_ms),
        default_deadline: Duration::from_millis(raw.default_deadline_ms.get()),
        connect_timeout: Duration::from_millis(raw.connect_timeout_ms.get()),
        report: Duration::from_millis(raw.report_ms),
        drain: Duration::from_millis(raw.drain_ms),
    }
}
