//! Frames to and from the other replicas over TCP.
//!
//! Invariant: sending never waits: frames to a replica that is slow or gone are dropped, which the
//! replicated log bears like any loss on the network.

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
use super::sockets::{limit_silence, prepare, Acceptor};
use crate::node::input::NodeInput;

/// Frames that may wait for one replica.
const WAITING_FRAMES: usize = 512;

/// Connections of other replicas at once.
const CONNECTION_LIMIT: usize = 256;

/// Wait after a failed connection; frames are dropped meanwhile.
const RECONNECT_WAIT: Duration = Duration::from_millis(30);

/// Starts to take in frames of other replicas.
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
        move |_, stream| take_in(&inbox, stream),
    )
}

fn take_in(inbox: &Inbox, stream: TcpStream) {
    let mut reader = BufReader::new(stream);
    while let Ok(frame) = read_frame::<PeerFrame>(&mut reader) {
        let message = Message::Input(NodeInput::Peer(frame));
        if inbox.send(message).is_err() {
            return;
        }
    }
}

/// Outgoing connections, one for each replica.
pub(super) struct PeerLinks {
    links: BTreeMap<SocketAddress, Sender<PeerFrame>>,
    silence_limit: Duration,
    sent_bytes: Counter,
}

impl PeerLinks {
    /// No connections yet; one whose bytes stay unacknowledged for `silence_limit` is made anew.
    pub(super) fn new(silence_limit: Duration, sent_bytes: Counter) -> Self {
        Self {
            links: BTreeMap::new(),
            silence_limit,
            sent_bytes,
        }
    }

    /// Sends a frame, or drops it.
    pub(super) fn send(&mut self, address: SocketAddress, frame: PeerFrame) {
        if !self.links.contains_key(&address) {
            let Some(link) = self.start_link(&address) else {
                return;
            };
            self.links.insert(address.clone(), link);
        }
        if let Some(link) = self.links.get(&address) {
            let _ = link.try_send(frame);
        }
    }

    fn start_link(&self, address: &SocketAddress) -> Option<Sender<PeerFrame>> {
        let to: SocketAddr = address.parse().ok()?;
        let (sender, frames) = crossbeam_channel::bounded(WAITING_FRAMES);
        let link = PeerLink {
            to,
            silence_limit: self.silence_limit,
            sent_bytes: self.sent_bytes.clone(),
            stream: None,
            retry_at: Instant::now(),
            reachable: true,
        };
        thread::Builder::new()
            .name(format!("to-peer-{to}"))
            .spawn(move || link.run(&frames))
            .ok()?;
        Some(sender)
    }
}

/// One outgoing connection.
struct PeerLink {
    to: SocketAddr,
    silence_limit: Duration,
    sent_bytes: Counter,
    stream: Option<TcpStream>,
    retry_at: Instant,
    reachable: bool,
}

impl PeerLink {
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
        let connected = TcpStream::connect_timeout(&self.to, self.silence_limit).and_then(|s| {
            prepare(&s)?;
            limit_silence(&s, self.silence_limit)?;
            Ok(s)
        });
        let reachable = connected.is_ok();
        if reachable != self.reachable {
            let what = match reachable {
                true => Event::PeerReachable,
                false => Event::PeerUnreachable,
            };
            event!(what, peer = self.to);
        }
        self.reachable = reachable;
        self.retry_at = Instant::now() + RECONNECT_WAIT;
        self.stream = connected.ok();
    }
}
