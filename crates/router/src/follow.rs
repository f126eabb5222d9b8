//! The control thread: follows the routing table of a control replica or relay.
//!
//! Invariants: only this thread changes the view in force; a table that cannot be put in force is
//! asked for again as a whole; without a control replica the last table stays in force, since a stale
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

/// Longest time to connect to or write to a control replica.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(500);

/// Silence after which another control replica is asked.
const LONGEST_SILENCE: Duration = Duration::from_secs(3);

/// Pause between two connections.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);

/// Frames read ahead of the control thread.
const READ_AHEAD: usize = 64;

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
    #[error("silent for too long")]
    Silent,
    #[error("router stops")]
    Stopping,
}

/// Follows the table until the router stops.
pub fn follow(shared: &Arc<Shared>) {
    let mut follower = Follower {
        shared,
        next: 0,
        redirect: None,
        ask_whole: false,
        reported: Instant::now(),
        lost: false,
    };
    loop {
        shared.control_runs();
        follower.follow_one();
        shared.metrics.table_is_current.set(0);
        select! {
            recv(shared.stop_signal()) -> _ => return,
            default(RECONNECT_PAUSE) => {}
        }
    }
}

struct Follower<'a> {
    shared: &'a Arc<Shared>,
    next: usize,
    redirect: Option<SocketAddr>,
    ask_whole: bool,
    reported: Instant,
    lost: bool,
}

impl Follower<'_> {
    /// One session with one control replica.
    fn follow_one(&mut self) {
        let address = self.next_address();
        let Err(end) = self.session(address);
        match &end {
            SessionEnd::Redirected(address) => self.redirect = *address,
            SessionEnd::Stopping => {}
            SessionEnd::Table(error) => {
                let again = !std::mem::replace(&mut self.ask_whole, true);
                self.redirect = again.then_some(address);
                event!(Event::TableRefused, address = address, reason = error);
            }
            // Once for each loss, not for each attempt to come back.
            _ if std::mem::replace(&mut self.lost, true) => {}
            _ => event!(Event::ControlLost, address = address, reason = end),
        }
    }

    /// Where a replica redirected to, or else the next one of the settings.
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
        let (frames, reader) = read_ahead(stream.try_clone()?)?;
        let end = self.run(&mut stream, &frames, address);
        drop(frames);
        stream.shutdown(Shutdown::Both).ok();
        reader.join().ok();
        end
    }

    fn follow_request(&self) -> RouterFrame {
        let settings = &self.shared.settings;
        let have_index = match self.ask_whole {
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
        let mut heard = Instant::now();
        let mut followed = false;
        loop {
            self.shared.control_runs();
            let report_due = self.reported + self.shared.limits().report;
            let wake = report_due.min(heard + LONGEST_SILENCE);
            select! {
                recv(self.shared.stop_signal()) -> _ => return Err(SessionEnd::Stopping),
                recv(frames) -> frame => {
                    self.take_frame(frame.unwrap_or(Err(FrameError::Closed))?)?;
                    heard = Instant::now();
                    self.lost = false;
                    if !std::mem::replace(&mut followed, true) {
                        event!(Event::ControlFollowed, address = address);
                    }
                }
                recv(after(wake.saturating_duration_since(Instant::now()))) -> _ => {}
            }
            if heard.elapsed() >= LONGEST_SILENCE {
                return Err(SessionEnd::Silent);
            }
            if self.reported.elapsed() >= self.shared.limits().report {
                let interval = self.reported.elapsed();
                self.reported = Instant::now();
                write_frame(stream, &report(self.shared, interval))?;
            }
        }
    }

    fn take_frame(&mut self, frame: ControlFrame) -> Result<(), SessionEnd> {
        match frame {
            ControlFrame::Redirect(redirect) => {
                let address = redirect
                    .router_address
                    .and_then(|text| text.as_str().parse().ok());
                return Err(SessionEnd::Redirected(address));
            }
            ControlFrame::Current(_) => {}
            ControlFrame::Snapshot(snapshot) => {
                self.ask_whole = false;
                let mut table = self.shared.view().table.clone();
                if table.apply_snapshot(&snapshot)? == ApplyOutcome::Applied {
                    self.put_in_force(table);
                }
            }
            ControlFrame::Delta(delta) => {
                let view = self.shared.view();
                let mut table = view.table.clone();
                if table.apply_delta(&delta)? == ApplyOutcome::Applied {
                    match delta.standings.is_empty() {
                        true => self.shared.put_in_force(view.with_owners(table)),
                        false => self.put_in_force(table),
                    }
                }
            }
        }
        self.shared.metrics.table_is_current.set(1);
        Ok(())
    }

    fn put_in_force(&self, table: RoutingTable) {
        let view = self.shared.view();
        let other_bundle = table.bundle_version() != view.table.bundle_version();
        let (index, version) = (table.index(), table.bundle_version());
        let next = view.with_table(table, &self.shared.metrics, self.shared.clock);
        self.shared.put_in_force(next);
        if other_bundle {
            event!(Event::TableInForce, index = index.0, bundle = version);
        }
    }
}

type Frames = Receiver<Result<ControlFrame, FrameError>>;

/// Reads frames on a thread of its own, until the connection ends or nobody wants them.
fn read_ahead(mut stream: TcpStream) -> Result<(Frames, thread::JoinHandle<()>), std::io::Error> {
    let (sender, receiver) = bounded(READ_AHEAD);
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
