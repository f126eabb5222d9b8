//! Connections of routers that follow the table.
//!
//! Invariant: frames are sent in order. A router that is too slow to receive them is disconnected and gets a
//! new first frame when it reconnects, so that it never delays another router.

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

/// Capacity of the send queue to one router.
const FRAME_QUEUE_CAPACITY: usize = 256;

/// Maximum concurrent connections of routers and relays.
const CONNECTION_LIMIT: usize = 1024;

/// Maximum time that a write to a router may block without progress.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum time without data from a router; its load reports are more frequent.
const READ_TIMEOUT: Duration = Duration::from_secs(130);

/// The control thread's handle of one connection.
pub(super) struct RouterWriter {
    frames: Sender<Arc<ControlFrame>>,
    stream: TcpStream,
}

/// All connected routers.
#[derive(Default)]
pub(super) struct RouterConnections {
    writers: BTreeMap<ConnectionId, RouterWriter>,
}

impl RouterConnections {
    pub(super) fn open(&mut self, connection: ConnectionId, writer: RouterWriter) {
        self.writers.insert(connection, writer);
    }

    pub(super) fn close(&mut self, connection: ConnectionId) {
        if let Some(writer) = self.writers.remove(&connection) {
            let _ = writer.stream.shutdown(Shutdown::Both);
        }
    }

    /// Queues a frame. If the queue is full or the writer has ended, closes the connection and returns that
    /// as an input.
    pub(super) fn send(
        &mut self,
        connection: ConnectionId,
        frame: Arc<ControlFrame>,
    ) -> Option<NodeInput> {
        let writer = self.writers.get(&connection)?;
        let error = writer.frames.try_send(frame).err()?;
        if matches!(error, TrySendError::Full(_)) {
            event!(Event::RouterTooSlow, connection = connection.0);
        }
        self.close(connection);
        Some(NodeInput::RouterClosed { connection })
    }
}

/// Starts to accept connections of routers.
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
    let writer = start_writer(connection, stream, sent_bytes.clone())?;
    let opened = Message::RouterOpened { connection, writer };
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
) -> Option<RouterWriter> {
    let (sender, frames) = crossbeam_channel::bounded(FRAME_QUEUE_CAPACITY);
    let writer = stream.try_clone().ok()?;
    thread::Builder::new()
        .name(format!("to-router-{}", connection.0))
        .stack_size(STACK_BYTES)
        .spawn(move || write_frames(writer, &frames, &sent_bytes))
        .ok()?;
    Some(RouterWriter {
        frames: sender,
        stream: stream.try_clone().ok()?,
    })
}

fn write_frames(mut stream: TcpStream, frames: &Receiver<Arc<ControlFrame>>, sent_bytes: &Counter) {
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
