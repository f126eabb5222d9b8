//! The processes of a fleet, and what an operator does with them.

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
use super::link::Cuts;
use super::plans::{self, socket_address, BackEndTimes, Kind, Member};
use super::process::Process;

/// History file of the runner itself: faults and operators' actions.
pub const RUNNER: &str = "runner";

const POLL: Duration = Duration::from_millis(50);
const START_PATIENCE: Duration = Duration::from_secs(20);
const STOP_PATIENCE: Duration = Duration::from_secs(20);
const CLUSTER: &str = "00000000000000000000000000000001";

/// A fleet of processes.
pub struct Fleet {
    /// What it was started from.
    pub deployment: Deployment,
    layout: Layout,
    members: BTreeMap<String, Member>,
    running: BTreeMap<String, Process>,
    cuts: BTreeMap<String, Arc<Cuts>>,
    history: HistoryWriter,
}

impl Fleet {
    /// Starts every process of the deployment, founds its control group and rolls its first bundle.
    /// Back ends named in `linked` can be cut off later.
    pub fn start(
        folder: &Path,
        deployment: Deployment,
        times: BackEndTimes,
        linked: &BTreeSet<String>,
    ) -> Result<Self, FleetError> {
        let layout = Layout::create(folder)?;
        layout.create_folder(plans::HISTORIES)?;
        let mut members = plans::daemons(&layout, &deployment)?;
        let back_ends = plans::back_ends(&layout, &deployment, times, linked)?;
        members.extend(back_ends.members);
        let history = layout.folder().join(plans::history_file(RUNNER));
        let mut fleet = Self {
            deployment,
            layout,
            members,
            running: BTreeMap::new(),
            cuts: back_ends.cuts,
            history: HistoryWriter::open(Some(&history)).map_err(FleetError::Record)?,
        };
        let names: Vec<String> = fleet.members.keys().cloned().collect();
        for name in names {
            fleet.launch(&name)?;
        }
        fleet.found()?;
        Ok(fleet)
    }

    /// Folder of settings, logs and histories.
    pub fn folder(&self) -> &Path {
        self.layout.folder()
    }

    /// Names of the processes of one kind.
    pub fn names(&self, kind: Kind) -> Vec<String> {
        let of_kind = self
            .members
            .iter()
            .filter(|(_, member)| member.kind == kind);
        of_kind.map(|(name, _)| name.clone()).collect()
    }

    /// Kind of a process.
    pub fn kind(&self, name: &str) -> Result<Kind, FleetError> {
        let member = self.members.get(name);
        member
            .map(|member| member.kind)
            .ok_or_else(|| self.unknown(name))
    }

    /// A process that was started.
    pub fn process(&mut self, name: &str) -> Result<&mut Process, FleetError> {
        if !self.running.contains_key(name) {
            return Err(self.unknown(name));
        }
        Ok(self.running.get_mut(name).expect("it was just found"))
    }

    /// Cuts in front of a back end.
    pub fn cuts(&self, name: &str) -> Result<&Cuts, FleetError> {
        let cuts = self.cuts.get(name).map(Arc::as_ref);
        cuts.ok_or_else(|| self.unknown(name))
    }

    /// Starts a process that isn't running.
    pub fn launch(&mut self, name: &str) -> Result<(), FleetError> {
        let member = self.members.get(name).ok_or_else(|| self.unknown(name))?;
        let process = Process::start(member.plan.clone())?;
        self.running.insert(name.to_string(), process);
        Ok(())
    }

    /// Whether a process was started and neither killed nor stopped since.
    pub fn is_running(&mut self, name: &str) -> Result<bool, FleetError> {
        Ok(self.process(name)?.is_running()?)
    }

    /// Kills a process.
    pub fn kill(&mut self, name: &str) -> Result<(), FleetError> {
        Ok(self.process(name)?.kill()?)
    }

    /// Stops a process as planned and waits for its end.
    pub fn stop(&mut self, name: &str) -> Result<(), FleetError> {
        Ok(self.process(name)?.stop(STOP_PATIENCE)?)
    }

    /// Empties the data folder of a control replica that was killed.
    pub fn empty_data_folder(&self, name: &str) -> Result<(), FleetError> {
        let path = self.folder().join(name);
        std::fs::remove_dir_all(&path)
            .map_err(|source| super::LayoutError::Write { path, source }.into())
    }

    /// Records what the runner did or saw.
    pub fn record(&self, event: HistoryEvent) -> Result<(), FleetError> {
        let recorded = self.history.record(Instant::now(), event);
        recorded.map_err(FleetError::Record)
    }

    /// A client of all control replicas.
    pub fn client(&self) -> AdminClient {
        let addresses = self.deployment.controls.values();
        let addresses = addresses.map(|settings| socket_address(&settings.admin_address));
        AdminClient::new(addresses.collect(), ClientOptions::default())
    }

    /// Name of the control replica that leads.
    pub fn leader(&self) -> Result<String, FleetError> {
        let status = self.client().status()?;
        let leader = status
            .members
            .iter()
            .find(|known| Some(known.member.replica) == status.leader);
        let address = leader.map(|known| &known.member.admin_address);
        let mut controls = self.deployment.controls.iter();
        let found = controls.find(|(_, settings)| Some(&settings.admin_address) == address);
        found
            .map(|(name, _)| name.clone())
            .ok_or_else(|| self.unknown("leader"))
    }

    /// Rolls the deployment's bundle of this version over the one in force.
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

    /// Records that a bundle was accepted.
    pub fn record_accepted(&self, answer: &RollAnswer) -> Result<(), FleetError> {
        self.record(HistoryEvent::Accepted(BundleRecord {
            version: answer.version,
            digest: answer.digest.clone(),
            index: answer.index,
        }))
    }

    /// Waits until `ready` says so.
    pub fn wait_until(
        &self,
        what: &str,
        mut ready: impl FnMut() -> bool,
    ) -> Result<(), FleetError> {
        let started = Instant::now();
        while started.elapsed() < START_PATIENCE {
            if ready() {
                return Ok(());
            }
            std::thread::sleep(POLL);
        }
        Err(FleetError::NotReady {
            what: what.to_string(),
            seconds: START_PATIENCE.as_secs(),
            folder: self.folder().to_path_buf(),
        })
    }

    /// Waits until every shard has an owner that holds it, and every router the newest table.
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
            cluster: CLUSTER.parse().expect("32 hexadecimal digits"),
            members: replicas.iter().map(founding_voter).collect(),
        }
    }

    fn unknown(&self, name: &str) -> FleetError {
        let known: Vec<&str> = self.members.keys().map(String::as_str).collect();
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
