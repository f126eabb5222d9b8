//! One hollow run: start, steady state, a change of configuration, a loss.

use std::num::NonZeroU32;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use grebepin_admin_client::{founding_voter, AdminClient, ClientError, ClientOptions};
use grebepin_schema::{FoundRequest, IdentityAnswer, SocketAddress};

use super::followers::Followers;
use super::nodes::NodeStatistics;
use super::report::{HollowReport, RoleUsage};
use super::setup::{self, ReplicaAddresses};
use crate::fleet::plans::socket_address;
use crate::fleet::{Layout, LayoutError, Process, ProcessError, ProcessPlan};
use crate::process_usage::{usage_of, ProcessUsage};
use crate::report::load_average;

const POLL: Duration = Duration::from_millis(5);
const PATIENCE: Duration = Duration::from_secs(60);
const CLUSTER: &str = "00000000000000000000000000000002";

/// Flags of a hollow run.
#[derive(Clone, Debug, clap::Args)]
pub struct HollowArguments {
    /// Hollow back ends.
    #[arg(long, default_value_t = 100)]
    pub nodes: usize,
    /// Shards.
    #[arg(long, default_value = "9300")]
    pub shards: NonZeroU32,
    /// Hollow routers.
    #[arg(long, default_value_t = 20)]
    pub routers: usize,
    /// Control replicas: 1, 3 or 5.
    #[arg(long, default_value_t = 3)]
    pub replicas: usize,
    /// Nodes that fall silent together at the end.
    #[arg(long, default_value_t = 1)]
    pub losses: u32,
    /// Length of the steady state, in seconds.
    #[arg(long, default_value_t = 10)]
    pub seconds: u64,
    /// Folder for settings, logs and data.
    #[arg(long, default_value = "target/hollow")]
    pub folder: PathBuf,
}

/// Why a hollow run failed.
#[derive(Debug, thiserror::Error)]
pub enum HollowError {
    /// Files or ports could not be had.
    #[error(transparent)]
    Layout(#[from] LayoutError),
    /// A process could not be started.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// The control group refused.
    #[error(transparent)]
    Control(#[from] ClientError),
    /// Settings could not be written.
    #[error("settings can't be written: {0}")]
    Settings(#[from] toml::ser::Error),
    /// The nodes' process did not answer.
    #[error("the hollow nodes do not answer: {0}")]
    Nodes(#[from] ureq::Error),
    /// A state was not reached in time.
    #[error("{what} not reached within {} s; logs are in {folder}", PATIENCE.as_secs())]
    NotReached {
        /// State waited for.
        what: &'static str,
        /// Folder of the logs.
        folder: PathBuf,
    },
    /// The system does not tell what processes use.
    #[error("the system does not tell what process {0} uses")]
    Usage(u32),
}

/// Runs hollow nodes against real control replicas and measures both.
pub fn run(arguments: &HollowArguments) -> Result<HollowReport, HollowError> {
    let mut deployment = Hollow::start(arguments)?;
    let first_placement = deployment.first_placement()?;
    let mut report = deployment.steady_state(Duration::from_secs(arguments.seconds))?;
    report.first_placement_seconds = first_placement.as_secs_f64();
    deployment.change_configuration(&mut report)?;
    deployment.lose_nodes(&mut report)?;
    report.load_average = load_average();
    Ok(report)
}

struct Hollow {
    arguments: HollowArguments,
    servers: Vec<SocketAddress>,
    nodes_admin: SocketAddress,
    controls: Vec<Process>,
    replicas: Vec<ReplicaAddresses>,
    nodes: Process,
    followers: Followers,
    client: AdminClient,
}

impl Hollow {
    fn start(arguments: &HollowArguments) -> Result<Self, HollowError> {
        let layout = Layout::create(&arguments.folder)?;
        let mut addresses = Layout::free_addresses(arguments.nodes + 1 + 3 * arguments.replicas)?;
        let servers = addresses.split_off(1 + 3 * arguments.replicas);
        let nodes_admin = addresses.remove(0);
        let replicas: Vec<ReplicaAddresses> = addresses
            .chunks(3)
            .map(|chunk| ReplicaAddresses {
                peer: chunk[0].clone(),
                router: chunk[1].clone(),
                admin: chunk[2].clone(),
            })
            .collect();
        let nodes = start_nodes(&layout, &servers, &nodes_admin)?;
        let controls = start_controls(&layout, &replicas)?;
        let admin = replicas
            .iter()
            .map(|replica| socket_address(&replica.admin))
            .collect();
        let routers: Vec<_> = replicas
            .iter()
            .map(|replica| socket_address(&replica.router))
            .collect();
        let hollow = Self {
            arguments: arguments.clone(),
            servers,
            nodes_admin,
            controls,
            replicas,
            nodes,
            followers: Followers::start(arguments.routers, &routers),
            client: AdminClient::new(admin, ClientOptions::default()),
        };
        hollow.found()?;
        Ok(hollow)
    }

    fn found(&self) -> Result<(), HollowError> {
        let mut identities: Vec<IdentityAnswer> = Vec::new();
        for address in self.client.addresses() {
            let mut identity = None;
            self.wait("a control replica's start", || {
                identity = self.client.identity(*address).ok();
                identity.is_some()
            })?;
            identities.extend(identity);
        }
        let request = FoundRequest {
            cluster: CLUSTER.parse().expect("32 hexadecimal digits"),
            members: identities.iter().map(founding_voter).collect(),
        };
        for address in self.client.addresses() {
            self.client.found(*address, &request)?;
        }
        self.wait("a leader", || self.client.status().is_ok())
    }

    fn first_placement(&self) -> Result<Duration, HollowError> {
        let started = Instant::now();
        self.roll(1)?;
        let shards = u64::from(self.arguments.shards.get());
        self.wait("every shard held", || {
            self.statistics()
                .is_ok_and(|statistics| statistics.held == shards)
                && self.followers.all_owned_without(0)
        })?;
        Ok(started.elapsed())
    }

    fn steady_state(&mut self, length: Duration) -> Result<HollowReport, HollowError> {
        let before = self.sample()?;
        std::thread::sleep(length);
        let after = self.sample()?;
        let seconds = (after.at - before.at).as_secs_f64();
        let leader = self.leader()?;
        let mut followers: Vec<RoleUsage> = Vec::new();
        for (number, usage) in after.controls.iter().enumerate() {
            if number != leader {
                followers.push(usage_between(&before.controls[number], usage, seconds));
            }
        }
        followers.sort_by(|left, right| left.cores.total_cmp(&right.cores));
        let nodes = self.arguments.nodes as f64;
        let calls = after.statistics.calls - before.statistics.calls;
        let bytes = after.statistics.bytes_in + after.statistics.bytes_out
            - before.statistics.bytes_in
            - before.statistics.bytes_out;
        Ok(HollowReport {
            nodes: self.arguments.nodes,
            shards: self.arguments.shards.get(),
            routers: self.arguments.routers,
            replicas: self.arguments.replicas,
            load_average: None,
            first_placement_seconds: 0.0,
            leader: usage_between(&before.controls[leader], &after.controls[leader], seconds),
            follower: followers.pop().unwrap_or_default(),
            all_nodes: usage_between(&before.nodes, &after.nodes, seconds),
            calls_per_node: calls as f64 / nodes / seconds,
            bytes_per_node: bytes as f64 / nodes / seconds,
            bytes_per_router: self.per_router(after.router_bytes - before.router_bytes) / seconds,
            change_bytes_per_router: 0.0,
            change_seconds: 0.0,
            loss_bytes_per_router: 0.0,
            loss_seconds: 0.0,
        })
    }

    fn change_configuration(&self, report: &mut HollowReport) -> Result<(), HollowError> {
        let before = self.followers.bytes();
        let started = Instant::now();
        self.roll(2)?;
        self.wait("the second bundle in force", || {
            self.followers.slowest_version() >= 2
        })?;
        report.change_seconds = started.elapsed().as_secs_f64();
        report.change_bytes_per_router = self.per_router(self.followers.bytes() - before);
        Ok(())
    }

    fn lose_nodes(&self, report: &mut HollowReport) -> Result<(), HollowError> {
        let losses = self.arguments.losses;
        let before = self.followers.bytes();
        let started = Instant::now();
        ureq::get(format!(
            "http://{}/silence?count={losses}",
            self.nodes_admin.as_str()
        ))
        .call()?;
        self.wait("new owners after the loss", || {
            self.followers.all_owned_without(losses)
        })?;
        report.loss_seconds = started.elapsed().as_secs_f64();
        report.loss_bytes_per_router = self.per_router(self.followers.bytes() - before);
        Ok(())
    }

    fn roll(&self, version: u64) -> Result<(), HollowError> {
        let parent = self.client.bundle()?;
        let parent = parent.map(|signed| grebepin_bundle::digest(&signed.bundle));
        let signed = setup::bundle(version, parent, self.arguments.shards, &self.servers);
        self.client.roll(&signed)?;
        Ok(())
    }

    fn statistics(&self) -> Result<NodeStatistics, ureq::Error> {
        let url = format!("http://{}/statistics", self.nodes_admin.as_str());
        ureq::get(url).call()?.body_mut().read_json()
    }

    /// Position of the leader among the control processes.
    fn leader(&self) -> Result<usize, HollowError> {
        let status = self.client.status()?;
        let leader = status
            .members
            .iter()
            .find(|known| Some(known.member.replica) == status.leader);
        let address = leader.map(|known| &known.member.admin_address);
        let position = self
            .replicas
            .iter()
            .position(|replica| Some(&replica.admin) == address);
        Ok(position.unwrap_or_default())
    }

    fn sample(&self) -> Result<Sample, HollowError> {
        let usage =
            |process: &Process| usage_of(process.id()).ok_or(HollowError::Usage(process.id()));
        Ok(Sample {
            at: Instant::now(),
            controls: self.controls.iter().map(usage).collect::<Result<_, _>>()?,
            nodes: usage(&self.nodes)?,
            statistics: self.statistics()?,
            router_bytes: self.followers.bytes(),
        })
    }

    fn per_router(&self, bytes: u64) -> f64 {
        bytes as f64 / self.arguments.routers.max(1) as f64
    }

    fn wait(
        &self,
        what: &'static str,
        mut reached: impl FnMut() -> bool,
    ) -> Result<(), HollowError> {
        let started = Instant::now();
        while started.elapsed() < PATIENCE {
            if reached() {
                return Ok(());
            }
            std::thread::sleep(POLL);
        }
        Err(HollowError::NotReached {
            what,
            folder: self.arguments.folder.clone(),
        })
    }
}

struct Sample {
    at: Instant,
    controls: Vec<ProcessUsage>,
    nodes: ProcessUsage,
    statistics: NodeStatistics,
    router_bytes: u64,
}

fn usage_between(before: &ProcessUsage, after: &ProcessUsage, seconds: f64) -> RoleUsage {
    let used = after.processor_time.saturating_sub(before.processor_time);
    RoleUsage {
        cores: used.as_secs_f64() / seconds,
        resident_bytes: after.resident_bytes,
    }
}

fn start_nodes(
    layout: &Layout,
    servers: &[SocketAddress],
    admin: &SocketAddress,
) -> Result<Process, HollowError> {
    let lines: Vec<&str> = servers.iter().map(|address| address.as_str()).collect();
    let addresses = layout.write("addresses", &lines.join("\n"))?;
    Ok(Process::start(ProcessPlan {
        name: "hollow-nodes".to_string(),
        folder: layout.folder().to_path_buf(),
        arguments: vec![
            "hollow-nodes".into(),
            "--addresses".into(),
            addresses.into(),
            "--admin".into(),
            admin.as_str().into(),
        ],
    })?)
}

fn start_controls(
    layout: &Layout,
    replicas: &[ReplicaAddresses],
) -> Result<Vec<Process>, HollowError> {
    let mut controls = Vec::new();
    for number in 0..replicas.len() {
        let name = format!("control-{number}");
        let data = layout.folder().join(&name).display().to_string();
        let settings = setup::control_settings(number, replicas, data);
        let path = layout.write(&format!("{name}.toml"), &toml::to_string(&settings)?)?;
        controls.push(Process::start(ProcessPlan {
            name,
            folder: layout.folder().to_path_buf(),
            arguments: vec!["control".into(), path.into()],
        })?);
    }
    Ok(controls)
}
