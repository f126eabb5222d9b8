//! Start and stop of one replica's threads.

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
use super::peer_connections::{self, PeerConnections};
use super::platform;
use super::router_connections::{self, RouterConnections};
use super::sockets::Acceptor;
use super::timed_disk::TimedDisk;
use crate::node::config::NodeConfig;
use crate::node::error::NodeError;
use crate::node::ControlNode;

/// Timeout of a heartbeat call, in heartbeat intervals.
const HEARTBEAT_TIMEOUT_INTERVALS: u32 = 2;

/// Sockets that the caller has already bound, such as to port 0; for a missing one the address of the
/// settings is bound.
#[derive(Debug, Default)]
pub struct Listeners {
    /// Listener for other replicas.
    pub peer: Option<TcpListener>,
    /// Listener for routers.
    pub router: Option<TcpListener>,
    /// Listener for the admin interface.
    pub admin: Option<TcpListener>,
}

/// Addresses that a running replica listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// Address for other replicas.
    pub peer: SocketAddr,
    /// Address for routers.
    pub router: SocketAddr,
    /// Address of the admin interface.
    pub admin: SocketAddr,
}

/// A running replica. It stops on request or when its node fails.
pub struct RunningControl {
    data_dir: PathBuf,
    addresses: Addresses,
    inbox: Inbox,
    stop: StopFlag,
    platform_stop: Sender<()>,
    control: JoinHandle<Result<(), NodeError>>,
    acceptors: Vec<Acceptor>,
}

/// Handle that requests the stop of a running replica.
#[derive(Clone)]
pub struct Stopper {
    inbox: Inbox,
}

impl Stopper {
    /// Requests the stop; the batch of messages being handled is finished first. Doesn't wait for the stop.
    pub fn stop(&self) {
        let _ = self.inbox.send(Message::Stop);
    }
}

/// Starts a replica with validated settings.
///
/// # Errors
/// Listening on an address failed, the data directory can't be used or is damaged, or a thread can't be
/// started.
pub fn start(
    mut settings: ControlSettings,
    listeners: Listeners,
) -> Result<RunningControl, RunError> {
    let disk = open_disk(&settings)?;
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

/// State shared by the threads of a replica.
struct Shared {
    inbox: Inbox,
    stop: StopFlag,
    liveness: Liveness,
    gauges: Arc<NodeGauges>,
}

/// Listening sockets of a replica.
struct Sockets {
    peer: TcpListener,
    router: TcpListener,
    admin: TcpListener,
}

impl Sockets {
    /// Binds the sockets and stores the addresses actually bound in the settings.
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
            peer_connections::listen(self.peer, inbox.clone(), stop.clone())?,
            router_connections::listen(self.router, inbox.clone(), stop.clone(), sent_bytes)?,
            admin::listen(self.admin, context, stop.clone())?,
        ])
    }
}

fn open_disk(settings: &ControlSettings) -> Result<RealDisk, RunError> {
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
    let config = NodeConfig::from_settings(settings, random_replica_id(), rand::random());
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
    let heartbeat_timeout = timing.server_heartbeat * HEARTBEAT_TIMEOUT_INTERVALS;
    ControlThread {
        node,
        inbox,
        peers: PeerConnections::new(timing.election_timeout, metrics.sent_bytes.clone()),
        routers: RouterConnections::default(),
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
    /// Addresses that the replica listens on.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// A handle to stop the replica from another thread.
    pub fn stopper(&self) -> Stopper {
        Stopper {
            inbox: self.inbox.clone(),
        }
    }

    /// Waits until the replica stops, then closes its listeners and connections.
    ///
    /// # Errors
    /// The node failed or the control thread panicked.
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

    /// Stops the replica and waits until it has stopped.
    ///
    /// # Errors
    /// The node failed or the control thread panicked.
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

/// Random identity; the chance of a collision is 1 in 2^64 for each data directory ever created.
fn random_replica_id() -> ReplicaId {
    ReplicaId(rand::random())
}
