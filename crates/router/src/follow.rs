//! Control thread: follows the routing table of a control replica or relay.
//!
//! Invariants: only this thread replaces the current view; after a table frame that cannot be applied, a
//! full snapshot is requested; without a control replica the last table stays in use, because a stale
//! table is slow but never unsafe.

use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::{after, bounded, select, Receiver};
use grebepin_schema::framing::{read_frame, write_frame, FrameError};
use grebepin_schema::{ControlFrame, FollowRequest, LogIndex, RouterFrame};
use grebepin_telemetry::{event, Event};
use grebepin_traffic::{ApplyError, ApplyOutcome, RoutingTable};

use crate::report::report;
use crate::shared::Shared;

/// Timeout of connecting and of each write to a control replica.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(500);

/// Time without a frame after which the router connects to another control replica.
const FRAME_TIMEOUT: Duration = Duration::from_secs(3);

/// Delay between two connections to control replicas.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// Frames buffered between the reader thread and the control thread.
const FRAME_QUEUE_CAPACITY: usize = 64;

/// Why a session with a control replica ended.
#[derive(Debug, thiserror::Error)]
enum SessionEnd {
    #[error("redirected")]
    Redirected(Option<SocketAddr>),
    #[error("connection failed: {0}")]
    Io(#[from] std::io::Error),
    #[error("frame: {0}")]
    Frame(#[from] FrameError),
    #[error("table: {0}")]
    Table(#[from] ApplyError),
    #[error("no frame received within the timeout")]
    TimedOut,
    #[error("router is stopping")]
    Stopping,
}

/// Follows the routing table until the router stops; runs on the control thread.
pub fn follow(shared: &Arc<Shared>) {
    let mut follower = Follower {
        shared,
        next: 0,
        redirect: None,
        needs_snapshot: false,
        last_report_at: Instant::now(),
        is_loss_logged: false,
    };
    loop {
        shared.record_control_activity();
        follower.follow_next();
        shared.metrics.table_is_current.set(0);
        select! {
            recv(shared.stop_signal()) -> _ => return,
            default(RECONNECT_DELAY) => {}
        }
    }
}

struct Follower<'a> {
    shared: &'a Arc<Shared>,
    next: usize,
    redirect: Option<SocketAddr>,
    needs_snapshot: bool,
    last_report_at: Instant,
    is_loss_logged: bool,
}

impl Follower<'_> {
    /// Runs one session with one control replica and handles its end.
    fn follow_next(&mut self) {
        let address = self.next_address();
        let Err(end) = self.session(address);
        match &end {
            SessionEnd::Redirected(address) => self.redirect = *address,
            SessionEnd::Stopping => {}
            SessionEnd::Table(error) => {
                let first_refusal = !std::mem::replace(&mut self.needs_snapshot, true);
                self.redirect = first_refusal.then_some(address);
                event!(Event::TableRefused, address = address, reason = error);
            }
            // Logged once per loss, not for each attempt to reconnect.
            _ if std::mem::replace(&mut self.is_loss_logged, true) => {}
            _ => event!(Event::ControlLost, address = address, reason = end),
        }
    }

    /// Address of the last redirect, or else the next one in the settings.
    fn next_address(&mut self) -> SocketAddr {
        if let Some(address) = self.redirect.take() {
            return address;
        }
        let addresses = &self.shared.settings.control_addresses;
        let address = addresses[self.next % addresses.len()];
        self.next += 1;
        address
    }

    fn session(&mut self, address: SocketAddr) -> Result<std::convert::Infallible, SessionEnd> {
        let mut stream = TcpStream::connect_timeout(&address, CONTROL_TIMEOUT)?;
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(CONTROL_TIMEOUT))?;
        write_frame(&mut stream, &self.follow_request())?;
        let (frames, reader) = spawn_frame_reader(stream.try_clone()?)?;
        let end = self.run(&mut stream, &frames, address);
        drop(frames);
        stream.shutdown(Shutdown::Both).ok();
        reader.join().ok();
        end
    }

    fn follow_request(&self) -> RouterFrame {
        let settings = &self.shared.settings;
        let have_index = match self.needs_snapshot {
            true => LogIndex(0),
            false => self.shared.view().table.index(),
        };
        RouterFrame::Follow(FollowRequest {
            group: settings.group,
            router: settings.name.clone(),
            zone: settings.zone.clone(),
            incarnation: self.shared.incarnation,
            have_index,
        })
    }

    fn run(
        &mut self,
        stream: &mut TcpStream,
        frames: &Receiver<Result<ControlFrame, FrameError>>,
        address: SocketAddr,
    ) -> Result<std::convert::Infallible, SessionEnd> {
        let mut last_frame_at = Instant::now();
        let mut followed = false;
        loop {
            self.shared.record_control_activity();
            let report_due = self.last_report_at + self.shared.limits().report;
            let wake = report_due.min(last_frame_at + FRAME_TIMEOUT);
            select! {
                recv(self.shared.stop_signal()) -> _ => return Err(SessionEnd::Stopping),
                recv(frames) -> frame => {
                    self.apply_frame(frame.unwrap_or(Err(FrameError::Closed))?)?;
                    last_frame_at = Instant::now();
                    self.is_loss_logged = false;
                    if !std::mem::replace(&mut followed, true) {
                        event!(Event::ControlFollowed, address = address);
                    }
                }
                recv(after(wake.saturating_duration_since(Instant::now()))) -> _ => {}
            }
            if last_frame_at.elapsed() >= FRAME_TIMEOUT {
                return Err(SessionEnd::TimedOut);
            }
            if self.last_report_at.elapsed() >= self.shared.limits().report {
                let interval = self.last_report_at.elapsed();
                self.last_report_at = Instant::now();
                write_frame(stream, &report(self.shared, interval))?;
            }
        }
    }

    fn apply_frame(&mut self, frame: ControlFrame) -> Result<(), SessionEnd> {
        match frame {
            ControlFrame::Redirect(redirect) => {
                let address = redirect
                    .router_address
                    .and_then(|text| text.as_str().parse().ok());
                return Err(SessionEnd::Redirected(address));
            }
            ControlFrame::Current(_) => {}
            ControlFrame::Snapshot(snapshot) => {
                self.needs_snapshot = false;
                let mut table = self.shared.view().table.clone();
                if table.apply_snapshot(&snapshot)? == ApplyOutcome::Applied {
                    self.install(table);
                }
            }
            ControlFrame::Delta(delta) => {
                let view = self.shared.view();
                let mut table = view.table.clone();
                if table.apply_delta(&delta)? == ApplyOutcome::Applied {
                    match delta.standings.is_empty() {
                        true => self.shared.publish(view.with_owners(table)),
                        false => self.install(table),
                    }
                }
            }
        }
        self.shared.metrics.table_is_current.set(1);
        Ok(())
    }

    fn install(&self, table: RoutingTable) {
        let view = self.shared.view();
        let bundle_changed = table.bundle_version() != view.table.bundle_version();
        let (index, version) = (table.index(), table.bundle_version());
        let next = view.with_table(table, &self.shared.metrics, self.shared.clock);
        self.shared.publish(next);
        if bundle_changed {
            event!(Event::TableInForce, index = index.0, bundle = version);
        }
    }
}

type Frames = Receiver<Result<ControlFrame, FrameError>>;

/// Reads frames on a separate thread until the connection ends or the receiver is dropped.
fn spawn_frame_reader(
    mut stream: TcpStream,
) -> Result<(Frames, thread::JoinHandle<()>), std::io::Error> {
    let (sender, receiver) = bounded(FRAME_QUEUE_CAPACITY);
    let reader = thread::Builder::new()
        .name("control-reader".into())
        .spawn(move || loop {
            let frame = read_frame(&mut stream);
            let last = frame.is_err();
            if sender.send(frame).is_err() || last {
                return;
            }
        })?;
    Ok((receiver, reader))
}
