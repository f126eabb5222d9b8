//! Gives the state on to other gateways that a cut keeps from the directory.
//!
//! Invariant: only what was taken from the log is given on, with its index, so that a gateway that takes it
//! from here is where the directory's own words would have brought it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use grebepin_catalog::Entry;
use grebepin_directory::link::{FromReplica, Head, ToReplica};
use grebepin_reactor::{take_frame, Connection, FrameError, ReadOutcome};
use grebepin_telemetry::{event, Event};
use mio::net::TcpListener;
use mio::{Interest, Registry, Token};

use crate::table::Table;

/// Gateways that are served at a time.
const FOLLOWER_LIMIT: usize = 8;

/// Bytes taken in before a frame must be whole.
const BUFFER_LIMIT: usize = 1 << 20;

/// Bytes that may wait for one gateway; one that takes less is cut off.
const UNSENT_LIMIT: usize = 4 << 20;

/// Time without a word after which a gateway counts as gone.
const SILENCE_LIMIT: Duration = Duration::from_secs(4);

/// A gateway that follows this one.
#[derive(Debug)]
struct Follower {
    connection: Connection,
    /// Log index up to which it was fed; `None` before it asked.
    fed: Option<u64>,
    heard: Duration,
}

/// The gateways that follow this one.
#[derive(Debug)]
pub struct Relay {
    listener: TcpListener,
    followers: HashMap<Token, Follower>,
}

impl Relay {
    /// Listens for gateways.
    ///
    /// # Errors
    /// The address can't be taken.
    pub fn listen(address: SocketAddr, registry: &Registry, token: Token) -> std::io::Result<Self> {
        let mut listener = TcpListener::bind(address)?;
        registry.register(&mut listener, token, Interest::READABLE)?;
        Ok(Self {
            listener,
            followers: HashMap::new(),
        })
    }

    /// Whether a token names a gateway that follows.
    pub fn owns(&self, token: Token) -> bool {
        self.followers.contains_key(&token)
    }

    /// Takes in connections; tokens from `next_token` on are free.
    pub fn accept(&mut self, now: Duration, registry: &Registry, next_token: &mut usize) {
        while let Ok((stream, _)) = self.listener.accept() {
            if self.followers.len() >= FOLLOWER_LIMIT {
                continue;
            }
            let token = Token(*next_token);
            *next_token += 1;
            let Ok(connection) = Connection::register(stream, registry, token) else {
                continue;
            };
            connection.limit_silence(SILENCE_LIMIT);
            let follower = Follower {
                connection,
                fed: None,
                heard: now,
            };
            self.followers.insert(token, follower);
        }
    }

    /// Handles what came from a gateway. `is_fed` tells whether the leader speaks to this one.
    pub fn on_event(&mut self, now: Duration, token: Token, table: &Table, is_fed: bool) {
        let Some(follower) = self.followers.get_mut(&token) else {
            return;
        };
        follower.heard = now;
        let is_open = match follower.take_frames() {
            Ok(frames) => frames
                .into_iter()
                .all(|frame| follower.answer(frame, table, is_fed)),
            Err(_) => false,
        };
        if !is_open {
            self.followers.remove(&token);
        }
    }

    /// Gives entries on that were just applied.
    pub fn feed(&mut self, entries: &[(u64, Entry)], table: &Table) {
        if self.followers.is_empty() {
            return;
        }
        self.followers
            .retain(|_, follower| follower.feed(entries, table));
    }

    /// Drops gateways that are silent.
    pub fn close_resting(&mut self, now: Duration) {
        self.followers
            .retain(|_, follower| now <= follower.heard + SILENCE_LIMIT);
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

    /// Answers a frame; whether the connection is still of use.
    fn answer(&mut self, frame: ToReplica, table: &Table, is_fed: bool) -> bool {
        match frame {
            ToReplica::Follow(follow) => {
                event!(
                    Event::RelayServes,
                    gateway = follow.node,
                    follower_applied = follow.applied,
                    applied = table.applied()
                );
                self.fed = Some(follow.applied);
                self.send_head(table, is_fed) && self.send_whole(table)
            }
            ToReplica::Report(_) => self.send_head(table, is_fed),
            ToReplica::Peer(_)
            | ToReplica::Relay { .. }
            | ToReplica::ReplicaReport(_)
            | ToReplica::TakePermit(_)
            | ToReplica::FetchState => false,
        }
    }

    fn send_head(&mut self, table: &Table, is_fed: bool) -> bool {
        let head = Head {
            applied: table.applied(),
            is_fed,
            ..Head::default()
        };
        self.send(&FromReplica::Head(head))
    }

    /// Sends the whole state to a gateway that lacks something.
    fn send_whole(&mut self, table: &Table) -> bool {
        if self.fed.is_none_or(|fed| fed >= table.applied()) {
            return true;
        }
        let Ok(state) = table.snapshot() else {
            return false;
        };
        let index = table.applied();
        self.fed = Some(index);
        self.send(&FromReplica::Whole { index, state })
    }

    /// Sends entries that were just applied, or the whole state after a gap.
    fn feed(&mut self, entries: &[(u64, Entry)], table: &Table) -> bool {
        let Some(fed) = self.fed else {
            return true;
        };
        let news = entries.iter().filter(|(index, _)| *index > fed);
        let news: Vec<(u64, Entry)> = news.cloned().collect();
        match news.first() {
            None => true,
            Some((first, _)) if *first == fed + 1 => {
                self.fed = Some(table.applied());
                self.send(&FromReplica::Entries(news))
            }
            Some(_) => self.send_whole(table),
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
