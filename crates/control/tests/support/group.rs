//! A control group of daemons in the test process, over loopback.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;
use std::time::{Duration, Instant};

use grebepin_admin_client::{AdminClient, ClientOptions};
use grebepin_control::{ControlSettings, ControlTiming, Listeners, RunningControl};
use grebepin_schema::{FoundRequest, GroupId, Member, MemberRole, Status};

use super::address::own_address;
use super::bundles;

/// Timeout for conditions that must become true eventually; no test checks how soon they do.
pub const PATIENCE: Duration = Duration::from_secs(40);

/// Timeout of one request, shorter than the timeout of an idle connection.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Replicas that can be stopped and started again at the same addresses.
pub struct LoopbackGroup {
    folder: tempfile::TempDir,
    settings: Vec<ControlSettings>,
    running: Vec<Option<RunningControl>>,
}

impl LoopbackGroup {
    /// Starts replicas with empty data directories; the group isn't founded yet.
    pub fn start(replicas: usize) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let own = own_address();
        let sockets = (0..replicas).map(|_| (socket(own), socket(own)));
        let sockets: Vec<_> = sockets.collect();
        let addresses: Vec<_> = sockets.iter().map(|(peer, _)| local(peer)).collect();
        let mut group = Self {
            folder,
            settings: Vec::new(),
            running: Vec::new(),
        };
        for (number, (peer, router)) in sockets.into_iter().enumerate() {
            let mut settings = settings(number, &addresses, group.folder.path());
            settings.router_address = local(&router);
            let listeners = Listeners {
                peer: Some(peer),
                router: Some(router),
                admin: None,
            };
            let running = grebepin_control::start(settings.clone(), listeners).expect("it starts");
            settings.admin_address = running.addresses().admin;
            group.settings.push(settings);
            group.running.push(Some(running));
        }
        group
    }

    pub fn admin(&self, replica: usize) -> SocketAddr {
        self.settings[replica].admin_address
    }

    pub fn router(&self, replica: usize) -> SocketAddr {
        self.settings[replica].router_address
    }

    pub fn client(&self) -> AdminClient {
        let addresses = self.settings.iter().map(|settings| settings.admin_address);
        let options = ClientOptions {
            timeout: REQUEST_TIMEOUT,
            leader_search_timeout: PATIENCE,
        };
        AdminClient::new(addresses.collect(), options)
    }

    pub fn found(&self) {
        let client = self.client();
        let replicas = 0..self.settings.len();
        let members = replicas
            .clone()
            .map(|replica| self.member(&client, replica));
        let request = FoundRequest {
            cluster: "00112233445566778899aabbccddeeff".parse().expect("an id"),
            members: members.collect(),
        };
        for replica in replicas {
            let founded = client.found(self.admin(replica), &request);
            founded.expect("each replica is founded");
        }
    }

    fn member(&self, client: &AdminClient, replica: usize) -> Member {
        let identity = client.identity(self.admin(replica)).expect("an identity");
        Member {
            replica: identity.replica,
            role: MemberRole::Voter,
            zone: identity.zone,
            peer_address: identity.peer_address,
            router_address: identity.router_address,
            admin_address: identity.admin_address,
        }
    }

    /// Stops a replica gracefully, as SIGTERM does.
    pub fn stop(&mut self, replica: usize) {
        let running = self.running[replica].take().expect("it runs");
        running.stop().expect("it stops without a failure");
    }

    pub fn restart(&mut self, replica: usize) {
        let settings = self.settings[replica].clone();
        let running = grebepin_control::start(settings, Listeners::default());
        self.running[replica] = Some(running.expect("it starts again"));
    }

    pub fn remove_folder(&self, replica: usize) {
        std::fs::remove_dir_all(&self.settings[replica].data_dir).expect("the folder is there");
    }

    /// Waits until the leader's status satisfies `wanted`; returns the leader and its status.
    pub fn wait_for_leader(&self, what: &str, wanted: impl Fn(&Status) -> bool) -> (usize, Status) {
        let client = self.client();
        let started = Instant::now();
        loop {
            for replica in 0..self.settings.len() {
                let running = self.running[replica].is_some();
                let status = running.then(|| client.status_of(self.admin(replica)).ok());
                let leads = |status: &Status| status.leader == Some(status.replica);
                if let Some(status) = status.flatten().filter(|s| leads(s) && wanted(s)) {
                    return (replica, status);
                }
            }
            assert!(
                started.elapsed() < PATIENCE,
                "timed out waiting for: {what}"
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Drop for LoopbackGroup {
    fn drop(&mut self) {
        for running in self.running.drain(..).flatten() {
            let _ = running.stop();
        }
    }
}

fn socket(address: Ipv4Addr) -> TcpListener {
    TcpListener::bind((address, 0)).expect("a port")
}

fn local(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().expect("its address")
}

fn settings(number: usize, addresses: &[SocketAddr], folder: &Path) -> ControlSettings {
    let own = addresses[number];
    let any = SocketAddr::new(own.ip(), 0);
    let peers = addresses.iter().copied().filter(|address| *address != own);
    ControlSettings {
        path: folder.join("control.toml"),
        zone: format!("zone-{number}").parse().expect("a zone"),
        data_dir: folder.join(format!("replica-{number}")),
        peer_address: own,
        router_address: any,
        admin_address: any,
        peers: peers.collect(),
        operators: vec![bundles::operator()],
        required_signatures: 1,
        group: GroupId(0),
        platform_address: None,
        // Long enough that no lease expires during a change of leader on a busy machine.
        timing: ControlTiming {
            server_lease: Duration::from_secs(30),
            ..ControlTiming::default()
        },
    }
}
