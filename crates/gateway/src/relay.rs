//! Relays the state to gateways that are partitioned from the directory.
//!
//! Invariant: only entries and snapshots taken from the log are relayed, with their index, so that a follower
//! reaches the same state as it would from the directory itself.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use grebepin_catalog::{Entry, RecentEntries};
use grebepin_directory::confirmed_state::Confirmation;
use grebepin_directory::link::{FromReplica, SourceStatus, ToReplica};
use grebepin_reactor::{take_frame, Connection, FrameError, ReadOutcome};
use grebepin_telemetry::{event, Event};
use mio::net::TcpListener;
use mio::{Interest, Registry, Token};

use crate::table::Table;

/// Gateways that are served at a time.
const MAX_FOLLOWERS: usize = 8;

/// Bytes that are buffered until a frame is complete.
const BUFFER_LIMIT: usize = 1 << 20;

/// Bytes that may be queued for one follower; a follower that reads more slowly is disconnected.
const UNSENT_LIMIT: usize = 4 << 20;

/// A follower that sends nothing for this long is disconnected.
const FOLLOWER_TIMEOUT: Duration = Duration::from_secs(4);

/// Entries that are kept for followers: a gateway that is cut off for some seconds lacks a few hundred.
const MAX_RECENT_ENTRIES: usize = 512;

/// Size in memory of the entries that are kept, in bytes: some two thousand changed items.
const MAX_RECENT_BYTES: usize = 1 << 20;

/// A gateway that follows this one.
#[derive(Debug)]
struct Follower {
    connection: Connection,
    /// Log index up to which the state was sent; `None` before the follower asked for it.
    sent_index: Option<u64>,
    last_received: Duration,
}

/// The state in force at this gateway.
#[derive(Clone, Copy, Debug)]
pub struct RelayedState<'a> {
    /// Configuration, servers and owners of shards.
    pub table: &'a Table,
    /// Whether this gateway itself receives the leader's log, in time.
    pub is_fed: bool,
    /// Time since which acknowledged changes may be missing in the state; `None` if it is not known.
    pub age: Option<Duration>,
}

/// Listener and connections of the gateways that follow this one.
#[derive(Debug)]
pub struct Relay {
    listener: TcpListener,
    followers: HashMap<Token, Follower>,
    recent: RecentEntries,
}

impl Relay {
    /// Listens for followers.
    ///
    /// # Errors
    /// The address can't be bound.
    pub fn listen(address: SocketAddr, registry: &Registry, token: Token) -> std::io::Result<Self> {
        let mut listener = TcpListener::bind(address)?;
        registry.register(&mut listener, token, Interest::READABLE)?;
        Ok(Self {
            listener,
            followers: HashMap::new(),
            recent: RecentEntries::new(MAX_RECENT_ENTRIES, MAX_RECENT_BYTES),
        })
    }

    /// Whether a token belongs to a follower's connection.
    pub fn owns(&self, token: Token) -> bool {
        self.followers.contains_key(&token)
    }

    /// Accepts connections; tokens from `next_token` on are free.
    pub fn accept(&mut self, now: Duration, registry: &Registry, next_token: &mut usize) {
        while let Ok((stream, _)) = self.listener.accept() {
            if self.followers.len() >= MAX_FOLLOWERS {
                continue;
            }
            let token = Token(*next_token);
            *next_token += 1;
            let Ok(connection) = Connection::register(stream, registry, token) else {
                continue;
            };
            connection.set_unacked_timeout(FOLLOWER_TIMEOUT);
            let follower = Follower {
                connection,
                sent_index: None,
                last_received: now,
            };
            self.followers.insert(token, follower);
        }
    }

    /// Handles an event on a follower's connection.
    pub fn on_event(&mut self, now: Duration, token: Token, state: RelayedState<'_>) {
        let Some(follower) = self.followers.get_mut(&token) else {
            return;
        };
        follower.last_received = now;
        let is_open = match follower.take_frames() {
            Ok(frames) => frames
                .into_iter()
                .all(|frame| follower.on_frame(frame, state, &self.recent)),
            Err(_) => false,
        };
        if !is_open {
            self.followers.remove(&token);
        }
    }

    /// Sends entries that were just applied to all followers, and keeps them for later ones.
    pub fn feed(&mut self, entries: &[(u64, Entry)], table: &Table) {
        let applied = entries
            .iter()
            .filter(|(index, _)| *index <= table.applied());
        for (index, entry) in applied {
            self.recent.push(*index, entry.clone());
        }
        self.followers
            .retain(|_, follower| follower.feed(entries, table));
    }

    /// Disconnects followers that have been silent for too long.
    pub fn drop_silent(&mut self, now: Duration) {
        self.followers
            .retain(|_, follower| now <= follower.last_received + FOLLOWER_TIMEOUT);
    }
}

impl Follower {
    fn take_frames(&mut self) -> Result<Vec<ToReplica>, FrameError> {
        let outcome = self.connection.fill(BUFFER_LIMIT);
        let mut frames = Vec::new();
        while let Some(frame) = take_frame(&mut self.connection.inbound)? {
            frames.push(frame);
        }
        let is_open = matches!(outcome, Ok(ReadOutcome::Open | ReadOutcome::Full));
        match is_open && self.connection.flush().is_ok() {
            true => Ok(frames),
            false => Err(FrameError::TooLong { bytes: 0 }),
        }
    }

    /// Handles a frame; returns whether the connection is still usable.
    fn on_frame(
        &mut self,
        frame: ToReplica,
        state: RelayedState<'_>,
        recent: &RecentEntries,
    ) -> bool {
        let RelayedState { table, is_fed, .. } = state;
        match frame {
            ToReplica::Follow(follow) => {
                event!(
                    Event::RelayServes,
                    gateway = follow.node,
                    follower_applied = follow.applied,
                    applied = table.applied()
                );
                self.sent_index = Some(follow.applied);
                self.send_head(table, is_fed) && self.send_missing(table, recent)
            }
            ToReplica::Report(report) => {
                self.send_head(table, is_fed) && self.confirm_state(state, report.sent_at_ms)
            }
            ToReplica::Peer(_)
            | ToReplica::Relay { .. }
            | ToReplica::ReplicaReport(_)
            | ToReplica::TakePermit(_)
            | ToReplica::FetchState => false,
        }
    }

    fn send_head(&mut self, table: &Table, is_fed: bool) -> bool {
        let head = SourceStatus {
            applied: table.applied(),
            is_fed,
            ..SourceStatus::default()
        };
        self.send(&FromReplica::Head(head))
    }

    /// Answers a report that was sent at `sent_at_ms` of the follower's clock.
    fn confirm_state(&mut self, state: RelayedState<'_>, sent_at_ms: u64) -> bool {
        let Some(age) = state.age else {
            return true;
        };
        let confirmation = Confirmation::new(sent_at_ms, age, state.table.applied());
        self.send(&FromReplica::Confirmed(confirmation))
    }

    /// Sends what a follower lacks: the entries, so that it is current as soon as they fit through its link, or a
    /// snapshot if they are no longer kept; returns whether the connection is still usable.
    fn send_missing(&mut self, table: &Table, recent: &RecentEntries) -> bool {
        let sent_index = self.sent_index.unwrap_or_default();
        let missed = match sent_index {
            0 => None,
            // Without entries up to the state in force there is a gap, after a complete state was received.
            _ if recent.last_index() != Some(table.applied()) => None,
            index => recent.after(index),
        };
        match missed {
            Some(missed) if !missed.is_empty() => {
                self.sent_index = Some(table.applied());
                self.send(&FromReplica::Entries(missed))
            }
            _ => self.send_snapshot(table),
        }
    }

    /// Sends a snapshot to a follower that lacks entries; returns whether the connection is still usable.
    fn send_snapshot(&mut self, table: &Table) -> bool {
        if self
            .sent_index
            .is_none_or(|sent_index| sent_index >= table.applied())
        {
            return true;
        }
        let Ok(state) = table.snapshot() else {
            return false;
        };
        let index = table.applied();
        self.sent_index = Some(index);
        self.send(&FromReplica::Whole { index, state })
    }

    /// Sends entries that were just applied, or a snapshot after a gap; returns whether the connection is
    /// still usable.
    fn feed(&mut self, entries: &[(u64, Entry)], table: &Table) -> bool {
        let Some(sent_index) = self.sent_index else {
            return true;
        };
        let new_entries = entries.iter().filter(|(index, _)| *index > sent_index);
        let new_entries: Vec<(u64, Entry)> = new_entries.cloned().collect();
        match new_entries.first() {
            None => true,
            Some((first, _)) if *first == sent_index + 1 => {
                self.sent_index = Some(table.applied());
                self.send(&FromReplica::Entries(new_entries))
            }
            Some(_) => self.send_snapshot(table),
        }
    }

    fn send(&mut self, frame: &FromReplica) -> bool {
        let Ok(bytes) = frame.encode() else {
            return false;
        };
        self.connection.queue(&bytes);
        self.connection.unsent() <= UNSENT_LIMIT && self.connection.flush().is_ok()
    }
}
