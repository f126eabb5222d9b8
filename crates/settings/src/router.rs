//! Settings of `grebepin-router`.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use grebepin_schema::{self as schema, GroupId, RouterName, ZoneName};

use crate::error::{ProblemKind, SettingsError};
use crate::problems::Problems;
use crate::{file, host};

/// Validated settings of one router.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterSettings {
    /// Settings file, named in errors.
    pub path: PathBuf,
    /// Name of this router, unique in the deployment.
    pub name: RouterName,
    /// Zone in which this router runs.
    pub zone: ZoneName,
    /// Address on which connections of callers are accepted; with port 0 the system chooses the port.
    pub listen_address: SocketAddr,
    /// Address on which requests for metrics and probes are accepted; with port 0 the system chooses the port.
    pub admin_address: SocketAddr,
    /// Router addresses of the control replicas or relays.
    pub control_addresses: Vec<SocketAddr>,
    /// Control group whose routing table the router follows.
    pub group: GroupId,
    /// Limits of this router.
    pub limits: RouterLimits,
}

/// Limits of one router.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterLimits {
    /// Number of threads that serve callers.
    pub threads: u32,
    /// Maximum number of concurrent connections of callers.
    pub caller_connections: u32,
    /// Maximum size of the body of a request or response in bytes.
    pub body_bytes: u64,
    /// Maximum time without data from a caller within a request.
    pub caller_idle: Duration,
    /// Deadline of a request that does not state one.
    pub default_deadline: Duration,
    /// Maximum time to connect to a back end.
    pub connect_timeout: Duration,
    /// Interval between load reports.
    pub report: Duration,
    /// Time that a stopping router allows its requests to finish.
    pub drain: Duration,
}

impl Default for RouterLimits {
    fn default() -> Self {
        to_limits(&schema::RouterLimits::default())
    }
}

/// Loads a settings file of `grebepin-router`, fills in default values and checks all fields.
pub fn load_router(path: impl AsRef<Path>) -> Result<RouterSettings, SettingsError> {
    let path = path.as_ref();
    parse_router(path, &file::read(path)?)
}

/// Like [`load_router`], for a text that is already read; `path` is only used in errors.
pub fn parse_router(path: &Path, text: &str) -> Result<RouterSettings, SettingsError> {
    let raw: schema::RouterSettings = file::parse(path, text)?;
    let mut problems = Problems::default();
    let settings = check(path, raw, &mut problems);
    problems.into_result(path)?;
    Ok(settings)
}

impl RouterSettings {
    /// Checks the settings against this machine: binds and releases each listening address. Must run before
    /// the daemon opens them.
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
        listen_address: problems.parse_address("listen_address", &raw.listen_address),
        admin_address: problems.parse_address("admin_address", &raw.admin_address),
        control_addresses: problems
            .parse_peer_addresses("control_addresses", &raw.control_addresses),
        group: GroupId(raw.group),
        limits: to_limits(&limits),
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
        problems.check_range(field, value, minimum, maximum);
    }
    let field = ("limits.default_deadline_ms", deadline);
    problems.check_at_least(field, 1, ("connect_timeout_ms", connect_timeout));
}

fn to_limits(raw: &schema::RouterLimits) -> RouterLimits {
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
