//! Connections of routers that follow the table.
//!
//! Invariant: frames leave in order; a router too slow to take them is cut off and comes back for a
//! whole table, so that it never holds up another one.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender, TrySendError};
use grebepin_schema::framing::{read_frame, write_frame, FrameError};
use grebepin_schema::{ControlFrame, RouterFrame};
use grebepin_telemetry::metrics::Counter;
use grebepin_telemetry::{event, Event};

use super::message::{Inbox, Message, StopFlag};
use super::sockets::{Acceptor, STACK_BYTES};
use crate::node::input::{ConnectionId, NodeInput};

/// Frames that may wait for one router.
const WAITING_FRAMES: usize = 256;

/// Routers and relays connected at once.
const CONNECTION_LIMIT: usize = 1024;

/// Longest time that a router may take none of the bytes sent.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest silence of a router, which reports its load more often.
const READ_TIMEOUT: Duration = Duration::from_secs(130);

/// The control thread's end of one connection.
pub(super) struct RouterLink {
    frames: Sender<Arc<ControlFrame>>,
    stream: TcpStream,
}

/// Every router connected.
#[derive(Default)]
pub(super) struct RouterLinks {
    links: BTreeMap<ConnectionId, RouterLink>,
}

impl RouterLinks {
    pub(super) fn open(&mut self, connection: ConnectionId, link: RouterLink) {
        self.links.insert(connection, link);
    }

    pub(super) fn close(&mut self, connection: ConnectionId) {
        if let Some(link) = self.links.remove(&connection) {
            let _ = link.stream.shutdown(Shutdown::Both);
        }
    }

    /// Sends a frame; a connection that takes no more is closed and reported as an input.
    pub(super) fn send(
        &mut self,
        connection: ConnectionId,
        frame: Arc<ControlFrame>,
    ) -> Option<NodeInput> {
        let link = self.links.get(&connection)?;
        let error = link.frames.try_send(frame).err()?;
        if matches!(error, TrySendError::Full(_)) {
            event!(Event::RouterTooSlow, connection = connection.0);
        }
        self.close(connection);
        Some(NodeInput::RouterClosed { connection })
    }
}

/// Starts to take in routers.
pub(super) fn listen(
    listener: TcpListener,
    inbox: Inbox,
    stop: StopFlag,
    sent_bytes: Counter,
) -> std::io::Result<Acceptor> {
    Acceptor::start(
        "router",
        listener,
        CONNECTION_LIMIT,
        stop,
        move |number, stream| {
            let connection = ConnectionId(number);
            if serve(connection, &stream, &inbox, &sent_bytes).is_some() {
                let _ = stream.shutdown(Shutdown::Both);
                let closed = NodeInput::RouterClosed { connection };
                let _ = inbox.send(Message::Input(closed));
            }
        },
    )
}

fn serve(
    connection: ConnectionId,
    stream: &TcpStream,
    inbox: &Inbox,
    sent_bytes: &Counter,
) -> Option<()> {
    stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT)).ok()?;
    let link = start_writer(connection, stream, sent_bytes.clone())?;
    let opened = Message::RouterOpened { connection, link };
    inbox.send(opened).ok()?;
    let mut reader = BufReader::new(stream);
    while let Ok(frame) = read_frame::<RouterFrame>(&mut reader) {
        let input = NodeInput::Router { connection, frame };
        inbox.send(Message::Input(input)).ok()?;
    }
    Some(())
}

fn start_writer(
    connection: ConnectionId,
    stream: &TcpStream,
    sent_bytes: Counter,
) -> Option<RouterLink> {
    let (sender, frames) = crossbeam_channel::bounded(WAITING_FRAMES);
    let writer = stream.try_clone().ok()?;
    thread::Builder::new()
        .name(format!("to-router-{}", connection.0))
        .stack_size(STACK_BYTES)
        .spawn(move || write_all(writer, &frames, &sent_bytes))
        .ok()?;
    Some(RouterLink {
        frames: sender,
        stream: stream.try_clone().ok()?,
    })
}

fn write_all(mut stream: TcpStream, frames: &Receiver<Arc<ControlFrame>>, sent_bytes: &Counter) {
    while let Ok(frame) = frames.recv() {
        match write_frame(&mut stream, frame.as_ref()) {
            Ok(bytes) => sent_bytes.inc_by(bytes as u64),
            Err(error) => {
                if let FrameError::TooLong { bytes } = error {
                    event!(Event::TableTooLarge, bytes = bytes);
                }
                break;
            }
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}
