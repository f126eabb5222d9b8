//! Starts and stops the threads of one replica.

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Instant;

use crossbeam_channel::{Receiver, Sender};
use grebepin_schema::ReplicaId;
use grebepin_settings::ControlSettings;
use grebepin_storage::RealDisk;
use grebepin_telemetry::{event, Event};

use super::admin::{self, AdminContext};
use super::back_ends::BackEnds;
use super::control_thread::{ControlThread, Replies};
use super::error::RunError;
use super::liveness::Liveness;
use super::message::{channel, Inbox, Message, StopFlag};
use super::metrics::NodeGauges;
use super::peer_links::{self, PeerLinks};
use super::platform;
use super::router_links::{self, RouterLinks};
use super::sockets::Acceptor;
use super::timed_disk::TimedDisk;
use crate::node::config::NodeConfig;
use crate::node::error::NodeError;
use crate::node::ControlNode;

/// Heartbeats to a server in the time that one may take.
const HEARTBEATS_TO_WAIT: u32 = 2;

/// Sockets that are listened on already, for addresses with port 0; the settings' addresses are used
/// for the others.
#[derive(Debug, Default)]
pub struct Listeners {
    /// For other replicas.
    pub peer: Option<TcpListener>,
    /// For routers.
    pub router: Option<TcpListener>,
    /// For operators.
    pub admin: Option<TcpListener>,
}

/// Where a running replica is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// By other replicas.
    pub peer: SocketAddr,
    /// By routers.
    pub router: SocketAddr,
    /// By operators.
    pub admin: SocketAddr,
}

/// A running replica; it stops when told so or when its node fails.
pub struct RunningControl {
    data_dir: PathBuf,
    addresses: Addresses,
    inbox: Inbox,
    stop: StopFlag,
    platform_stop: Sender<()>,
    control: JoinHandle<Result<(), NodeError>>,
    acceptors: Vec<Acceptor>,
}

/// Tells a running replica to stop.
#[derive(Clone)]
pub struct Stopper {
    inbox: Inbox,
}

impl Stopper {
    /// Tells the replica to stop; it finishes what it has taken in.
    pub fn stop(&self) {
        let _ = self.inbox.send(Message::Stop);
    }
}

/// Starts a replica with checked settings.
///
/// # Errors
/// An address can't be listened on, or the data folder can't be used.
pub fn start(
    mut settings: ControlSettings,
    listeners: Listeners,
) -> Result<RunningControl, RunError> {
    let disk = open_folder(&settings)?;
    let sockets = Sockets::bind(&mut settings, listeners)?;
    let (inbox, messages) = channel();
    let shared = Shared {
        inbox,
        stop: StopFlag::default(),
        liveness: Liveness::new(Instant::now()),
        gauges: Arc::new(NodeGauges::new()?),
    };
    let node = open_node(&settings, disk, &shared)?;
    event!(
        Event::ControlStarted,
        replica = node.replica(),
        admin = settings.admin_address
    );
    let thread = control_thread(node, messages, &settings, &shared);
    let control = thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || thread.run())?;
    let acceptors = sockets.listen(&shared)?;
    let (platform_stop, stopped) = crossbeam_channel::bounded(0);
    if let Some(address) = settings.platform_address {
        let interval = settings.timing.platform_poll;
        platform::start(address, interval, shared.inbox.clone(), stopped)?;
    }
    Ok(RunningControl {
        data_dir: settings.data_dir,
        addresses: Addresses {
            peer: settings.peer_address,
            router: settings.router_address,
            admin: settings.admin_address,
        },
        inbox: shared.inbox,
        stop: shared.stop,
        platform_stop,
        control,
        acceptors,
    })
}

/// What several threads use.
struct Shared {
    inbox: Inbox,
    stop: StopFlag,
    liveness: Liveness,
    gauges: Arc<NodeGauges>,
}

/// The sockets that a replica listens on.
struct Sockets {
    peer: TcpListener,
    router: TcpListener,
    admin: TcpListener,
}

impl Sockets {
    /// Listens, and puts the ports that the system chose into the settings.
    fn bind(settings: &mut ControlSettings, listeners: Listeners) -> Result<Self, RunError> {
        let sockets = Self {
            peer: bind("peer_address", settings.peer_address, listeners.peer)?,
            router: bind("router_address", settings.router_address, listeners.router)?,
            admin: bind("admin_address", settings.admin_address, listeners.admin)?,
        };
        settings.peer_address = sockets.peer.local_addr()?;
        settings.router_address = sockets.router.local_addr()?;
        settings.admin_address = sockets.admin.local_addr()?;
        Ok(sockets)
    }

    fn listen(self, shared: &Shared) -> std::io::Result<Vec<Acceptor>> {
        let context = AdminContext {
            inbox: shared.inbox.clone(),
            liveness: shared.liveness.clone(),
            gauges: Arc::clone(&shared.gauges),
        };
        let sent_bytes = shared.gauges.metrics.sent_bytes.clone();
        let (inbox, stop) = (&shared.inbox, &shared.stop);
        Ok(vec![
            peer_links::listen(self.peer, inbox.clone(), stop.clone())?,
            router_links::listen(self.router, inbox.clone(), stop.clone(), sent_bytes)?,
            admin::listen(self.admin, context, stop.clone())?,
        ])
    }
}

fn open_folder(settings: &ControlSettings) -> Result<RealDisk, RunError> {
    RealDisk::new(&settings.data_dir).map_err(|source| RunError::Folder {
        path: settings.data_dir.clone(),
        source,
    })
}

fn open_node(
    settings: &ControlSettings,
    disk: RealDisk,
    shared: &Shared,
) -> Result<ControlNode<TimedDisk>, RunError> {
    let config = NodeConfig::from_settings(settings, fresh_replica(), rand::random());
    let disk = TimedDisk::new(disk, shared.gauges.metrics.sync_seconds.clone());
    let node = ControlNode::open(config, disk, shared.liveness.now());
    node.map_err(|error| RunError::node(settings.data_dir.clone(), error))
}

fn control_thread(
    node: ControlNode<TimedDisk>,
    inbox: Receiver<Message>,
    settings: &ControlSettings,
    shared: &Shared,
) -> ControlThread {
    let timing = &settings.timing;
    let metrics = &shared.gauges.metrics;
    let heartbeat_timeout = timing.server_heartbeat * HEARTBEATS_TO_WAIT;
    ControlThread {
        node,
        inbox,
        peers: PeerLinks::new(timing.election_timeout, metrics.sent_bytes.clone()),
        routers: RouterLinks::default(),
        back_ends: BackEnds::new(
            heartbeat_timeout,
            timing.server_lease,
            shared.inbox.clone(),
            metrics.clone(),
        ),
        liveness: shared.liveness.clone(),
        replies: Replies::default(),
    }
}

impl RunningControl {
    /// Where the replica is reached.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// A handle that tells the replica to stop.
    pub fn stopper(&self) -> Stopper {
        Stopper {
            inbox: self.inbox.clone(),
        }
    }

    /// Waits until the replica stops, then ends its threads.
    ///
    /// # Errors
    /// Why the replica could not go on.
    pub fn wait(self) -> Result<(), RunError> {
        let result = self.control.join();
        self.stop.set();
        drop(self.inbox);
        drop(self.platform_stop);
        for acceptor in self.acceptors {
            acceptor.stop();
        }
        match result {
            Ok(Ok(())) => Ok(()),
            Ok(Err(error)) => {
                event!(Event::ReplicaFailed, reason = error);
                Err(RunError::node(self.data_dir, error))
            }
            Err(_) => Err(RunError::Panicked),
        }
    }

    /// Tells the replica to stop and waits for it.
    ///
    /// # Errors
    /// Why the replica could not go on.
    pub fn stop(self) -> Result<(), RunError> {
        self.stopper().stop();
        self.wait()
    }
}

fn bind(
    field: &'static str,
    address: SocketAddr,
    listener: Option<TcpListener>,
) -> Result<TcpListener, RunError> {
    match listener {
        Some(listener) => Ok(listener),
        None => TcpListener::bind(address)
            .map_err(|error| listen_error(field, address, error.to_string())),
    }
}

fn listen_error(field: &'static str, address: SocketAddr, reason: String) -> RunError {
    RunError::Listen {
        field,
        address: address.to_string(),
        reason,
    }
}

/// An identity that no folder ever had, but for a chance of one in 2^64 for each folder made.
fn fresh_replica() -> ReplicaId {
    ReplicaId(rand::random())
}
