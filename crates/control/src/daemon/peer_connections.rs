//! TCP connections to and from the other replicas.
//!
//! Invariant: sending never blocks. Frames to a slow or unreachable replica are dropped; consensus tolerates
//! this like any message loss on the network.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, Sender};
use grebepin_schema::framing::{read_frame, write_frame};
use grebepin_schema::{PeerFrame, SocketAddress};
use grebepin_telemetry::metrics::Counter;
use grebepin_telemetry::{event, Event};

use super::message::{Inbox, Message, StopFlag};
use super::sockets::{set_ack_timeout, set_options, Acceptor};
use crate::node::input::NodeInput;

/// Capacity of the send queue to one replica.
const FRAME_QUEUE_CAPACITY: usize = 512;

/// Maximum concurrent incoming connections.
const CONNECTION_LIMIT: usize = 256;

/// Delay after a failed connection attempt; frames are dropped meanwhile.
const RECONNECT_DELAY: Duration = Duration::from_millis(30);

/// Starts to accept connections of other replicas.
pub(super) fn listen(
    listener: TcpListener,
    inbox: Inbox,
    stop: StopFlag,
) -> std::io::Result<Acceptor> {
    Acceptor::start(
        "peer",
        listener,
        CONNECTION_LIMIT,
        stop,
        move |_, stream| read_frames(&inbox, stream),
    )
}

fn read_frames(inbox: &Inbox, stream: TcpStream) {
    let mut reader = BufReader::new(stream);
    while let Ok(frame) = read_frame::<PeerFrame>(&mut reader) {
        let message = Message::Input(NodeInput::Peer(frame));
        if inbox.send(message).is_err() {
            return;
        }
    }
}

/// Outgoing connections, one per replica.
pub(super) struct PeerConnections {
    queues: BTreeMap<SocketAddress, Sender<PeerFrame>>,
    ack_timeout: Duration,
    sent_bytes: Counter,
}

impl PeerConnections {
    /// Starts without connections. A connection whose bytes stay unacknowledged for `ack_timeout` is closed
    /// and opened again.
    pub(super) fn new(ack_timeout: Duration, sent_bytes: Counter) -> Self {
        Self {
            queues: BTreeMap::new(),
            ack_timeout,
            sent_bytes,
        }
    }

    /// Queues a frame, or drops it if the queue is full.
    pub(super) fn send(&mut self, address: SocketAddress, frame: PeerFrame) {
        if !self.queues.contains_key(&address) {
            let Some(queue) = self.start_connection(&address) else {
                return;
            };
            self.queues.insert(address.clone(), queue);
        }
        if let Some(queue) = self.queues.get(&address) {
            let _ = queue.try_send(frame);
        }
    }

    fn start_connection(&self, address: &SocketAddress) -> Option<Sender<PeerFrame>> {
        let to: SocketAddr = address.parse().ok()?;
        let (sender, frames) = crossbeam_channel::bounded(FRAME_QUEUE_CAPACITY);
        let connection = PeerConnection {
            to,
            ack_timeout: self.ack_timeout,
            sent_bytes: self.sent_bytes.clone(),
            stream: None,
            retry_at: Instant::now(),
            reachable: true,
        };
        thread::Builder::new()
            .name(format!("to-peer-{to}"))
            .spawn(move || connection.run(&frames))
            .ok()?;
        Some(sender)
    }
}

/// One outgoing connection, owned by its thread.
struct PeerConnection {
    to: SocketAddr,
    ack_timeout: Duration,
    sent_bytes: Counter,
    stream: Option<TcpStream>,
    retry_at: Instant,
    reachable: bool,
}

impl PeerConnection {
    fn run(mut self, frames: &Receiver<PeerFrame>) {
        while let Ok(frame) = frames.recv() {
            self.send(&frame);
        }
    }

    fn send(&mut self, frame: &PeerFrame) {
        if self.stream.is_none() && Instant::now() >= self.retry_at {
            self.connect();
        }
        let Some(stream) = &mut self.stream else {
            return;
        };
        match write_frame(stream, frame) {
            Ok(bytes) => self.sent_bytes.inc_by(bytes as u64),
            Err(_) => {
                self.stream = None;
                self.retry_at = Instant::now();
            }
        }
    }

    fn connect(&mut self) {
        let connected = TcpStream::connect_timeout(&self.to, self.ack_timeout).and_then(|s| {
            set_options(&s)?;
            set_ack_timeout(&s, self.ack_timeout)?;
            Ok(s)
        });
        let reachable = connected.is_ok();
        if reachable != self.reachable {
            let change = match reachable {
                true => Event::PeerReachable,
                false => Event::PeerUnreachable,
            };
            event!(change, peer = self.to);
        }
        self.reachable = reachable;
        self.retry_at = Instant::now() + RECONNECT_DELAY;
        self.stream = connected.ok();
    }
}
