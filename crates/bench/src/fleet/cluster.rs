//! The processes of a fleet, and the operator actions on them.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use grebepin_admin_client::{founding_voter, AdminClient, ClientOptions};
use grebepin_schema::{
    BundleRecord, Digest, FoundRequest, HistoryEvent, IdentityAnswer, LogIndex, RollAnswer,
    SignedBundle, Status,
};
use grebepin_standin::history::HistoryWriter;

use super::deployment::Deployment;
use super::error::FleetError;
use super::layout::Layout;
use super::plans::{self, socket_address, BackEndTimes, Kind, PlannedProcess};
use super::process::Process;
use super::relay::Cuts;

/// Name of the runner's own history, which holds faults and operator actions.
pub const RUNNER: &str = "runner";

const POLL_INTERVAL: Duration = Duration::from_millis(50);
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const STOP_TIMEOUT: Duration = Duration::from_secs(20);
const CLUSTER_ID: &str = "00000000000000000000000000000001";

/// A fleet of processes.
pub struct Fleet {
    /// Settings and bundles that the fleet was started from.
    pub deployment: Deployment,
    layout: Layout,
    planned: BTreeMap<String, PlannedProcess>,
    running: BTreeMap<String, Process>,
    cuts: BTreeMap<String, Arc<Cuts>>,
    history: HistoryWriter,
}

impl Fleet {
    /// Starts every process of the deployment and founds its control group; no bundle is rolled yet.
    /// Back ends named in `relayed` get a relay in front, so that their traffic can be cut.
    pub fn start(
        folder: &Path,
        deployment: Deployment,
        times: BackEndTimes,
        relayed: &BTreeSet<String>,
    ) -> Result<Self, FleetError> {
        let layout = Layout::create(folder)?;
        layout.create_folder(plans::HISTORIES)?;
        let mut planned = plans::daemons(&layout, &deployment)?;
        let back_ends = plans::back_ends(&layout, &deployment, times, relayed)?;
        planned.extend(back_ends.processes);
        let history = layout.folder().join(plans::history_file(RUNNER));
        let mut fleet = Self {
            deployment,
            layout,
            planned,
            running: BTreeMap::new(),
            cuts: back_ends.cuts,
            history: HistoryWriter::open(Some(&history)).map_err(FleetError::Record)?,
        };
        let names: Vec<String> = fleet.planned.keys().cloned().collect();
        for name in names {
            fleet.launch(&name)?;
        }
        fleet.found()?;
        Ok(fleet)
    }

    /// Folder with the settings, logs and histories of the run.
    pub fn folder(&self) -> &Path {
        self.layout.folder()
    }

    /// Names of the processes of one kind.
    pub fn names(&self, kind: Kind) -> Vec<String> {
        let of_kind = self
            .planned
            .iter()
            .filter(|(_, process)| process.kind == kind);
        of_kind.map(|(name, _)| name.clone()).collect()
    }

    /// Kind of a process.
    pub fn kind(&self, name: &str) -> Result<Kind, FleetError> {
        let planned = self.planned.get(name);
        planned
            .map(|process| process.kind)
            .ok_or_else(|| self.unknown_process(name))
    }

    /// A process that was started, running or not.
    pub fn process(&mut self, name: &str) -> Result<&mut Process, FleetError> {
        if !self.running.contains_key(name) {
            return Err(self.unknown_process(name));
        }
        Ok(self.running.get_mut(name).expect("checked above"))
    }

    /// Traffic cuts of a back end; an error when it has no relay in front.
    pub fn cuts(&self, name: &str) -> Result<&Cuts, FleetError> {
        let cuts = self.cuts.get(name).map(Arc::as_ref);
        cuts.ok_or_else(|| self.unknown_process(name))
    }

    /// Starts a process. A process that still runs under this name is killed afterwards.
    pub fn launch(&mut self, name: &str) -> Result<(), FleetError> {
        let planned = self
            .planned
            .get(name)
            .ok_or_else(|| self.unknown_process(name))?;
        let process = Process::start(planned.plan.clone())?;
        self.running.insert(name.to_string(), process);
        Ok(())
    }

    /// Whether a process that was started has not exited since.
    pub fn is_running(&mut self, name: &str) -> Result<bool, FleetError> {
        Ok(self.process(name)?.is_running()?)
    }

    /// Kills a process (SIGKILL) and waits for its exit.
    pub fn kill(&mut self, name: &str) -> Result<(), FleetError> {
        Ok(self.process(name)?.kill()?)
    }

    /// Shuts a process down (SIGTERM) and waits for its exit.
    pub fn stop(&mut self, name: &str) -> Result<(), FleetError> {
        Ok(self.process(name)?.stop(STOP_TIMEOUT)?)
    }

    /// Deletes the data folder of a control replica, which must not be running.
    pub fn empty_data_folder(&self, name: &str) -> Result<(), FleetError> {
        let path = self.folder().join(name);
        std::fs::remove_dir_all(&path)
            .map_err(|source| super::LayoutError::Write { path, source }.into())
    }

    /// Appends an event to the runner's history.
    pub fn record(&self, event: HistoryEvent) -> Result<(), FleetError> {
        let recorded = self.history.record(Instant::now(), event);
        recorded.map_err(FleetError::Record)
    }

    /// Creates an admin client for all control replicas.
    pub fn client(&self) -> AdminClient {
        let addresses = self.deployment.controls.values();
        let addresses = addresses.map(|settings| socket_address(&settings.admin_address));
        AdminClient::new(addresses.collect(), ClientOptions::default())
    }

    /// Process name of the control replica that is the leader.
    pub fn leader(&self) -> Result<String, FleetError> {
        let status = self.client().status()?;
        let leader = status
            .members
            .iter()
            .find(|entry| Some(entry.member.replica) == status.leader);
        let address = leader.map(|entry| &entry.member.admin_address);
        let mut controls = self.deployment.controls.iter();
        let found = controls.find(|(_, settings)| Some(&settings.admin_address) == address);
        found
            .map(|(name, _)| name.clone())
            .ok_or_else(|| self.unknown_process("leader"))
    }

    /// Rolls the deployment's bundle of this version, as the successor of the one in force.
    pub fn roll(&self, version: u64) -> Result<RollAnswer, FleetError> {
        let signed = self.prepare(version)?;
        let answer = self.client().roll(&signed)?;
        self.record_accepted(&answer)?;
        Ok(answer)
    }

    /// The bundle of this version, signed, with the bundle in force as its parent.
    pub fn prepare(&self, version: u64) -> Result<SignedBundle, FleetError> {
        let parent = self.client().bundle()?.map(|signed| digest(&signed));
        let signed = self.deployment.signed(version, parent);
        signed.ok_or(FleetError::UnknownBundle { version })
    }

    /// Appends the acceptance of a bundle to the runner's history.
    pub fn record_accepted(&self, answer: &RollAnswer) -> Result<(), FleetError> {
        self.record(HistoryEvent::Accepted(BundleRecord {
            version: answer.version,
            digest: answer.digest.clone(),
            index: answer.index,
        }))
    }

    /// Polls `ready` until it returns true; fails after 20 s. `what` names the condition in the
    /// error.
    pub fn wait_until(
        &self,
        what: &str,
        mut ready: impl FnMut() -> bool,
    ) -> Result<(), FleetError> {
        let started = Instant::now();
        while started.elapsed() < READY_TIMEOUT {
            if ready() {
                return Ok(());
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Err(FleetError::NotReady {
            what: what.to_string(),
            seconds: READY_TIMEOUT.as_secs(),
            folder: self.folder().to_path_buf(),
        })
    }

    /// Waits until every shard is held by its owner and every router has the newest table in force.
    pub fn wait_for_owners(&self) -> Result<(), FleetError> {
        let client = self.client();
        let routers = self.deployment.routers.len();
        self.wait_until("every shard's owner", || {
            client
                .status()
                .is_ok_and(|status| is_settled(&status, routers))
        })
    }

    fn found(&self) -> Result<(), FleetError> {
        let client = self.client();
        let mut replicas = Vec::new();
        for address in client.addresses() {
            let mut identity = None;
            self.wait_until("a control replica", || {
                identity = client.identity(*address).ok();
                identity.is_some()
            })?;
            replicas.extend(identity);
        }
        let request = self.found_request(&replicas);
        for address in client.addresses() {
            client.found(*address, &request)?;
        }
        self.wait_until("a leader", || client.status().is_ok())
    }

    fn found_request(&self, replicas: &[IdentityAnswer]) -> FoundRequest {
        FoundRequest {
            cluster: CLUSTER_ID.parse().expect("32 hexadecimal digits"),
            members: replicas.iter().map(founding_voter).collect(),
        }
    }

    fn unknown_process(&self, name: &str) -> FleetError {
        let known: Vec<&str> = self.planned.keys().map(String::as_str).collect();
        FleetError::UnknownProcess {
            name: name.to_string(),
            known: known.join(", "),
        }
    }
}

fn digest(signed: &SignedBundle) -> Digest {
    grebepin_bundle::digest(&signed.bundle)
}

fn is_settled(status: &Status, routers: usize) -> bool {
    let held = status
        .servers
        .iter()
        .all(|server| server.held == server.shards);
    let current = |index: LogIndex| index >= status.table_index;
    let in_force = status.routers.iter().all(|router| current(router.in_force));
    status.unowned_shards == 0 && held && status.routers.len() >= routers && in_force
}
