//! Client of the directory. It keeps links to two replicas and receives the log from one that leads or is fed
//! by the leader. While there is none, it follows other gateways as relays.

mod feed;
mod link;
mod link_failure;
mod links;
mod reports;
mod state;

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use grebepin_catalog::{Catalog, Entry};
use grebepin_directory::confirmed_state::ConfirmedState;
use grebepin_directory::link::{Follow, FromReplica, SourceStatus, ToReplica};
use grebepin_grants::{LoadSample, Permit};
use grebepin_telemetry::{event, Event};
use link::{Link, LinkPeer};
use link_failure::{FailureLog, LinkFailure};
use mio::{Registry, Token};
pub use reports::ReportContent;
use state::RequestedState;

use crate::initial_source::InitialSource;
use crate::leader_contact::LeaderContact;
use crate::relays::Relays;
use crate::replicas::Replicas;
use crate::settings::GatewaySettings;
use crate::undecided::UndecidedChanges;

/// Time for which the first count of gateways may still be too low: a new leader receives the reports of all
/// replicas within 0.5 s.
const GATEWAY_COUNT_SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// Delay before a replica is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The same for a gateway without any state: after a failure of all machines, replicas may start some tenths
/// of a second later than gateways.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(40);

/// Interval between two ticks, and the one used until the first configuration arrives, so that replicas are
/// found as soon as they listen.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
const INITIAL_TICK_INTERVAL: Duration = Duration::from_millis(20);

/// An update that was received from the directory or a relay.
#[derive(Debug)]
pub enum Update {
    /// A snapshot of the state.
    Snapshot {
        /// Log index of the state.
        index: u64,
        /// Configuration, servers and owners of shards at that index.
        catalog: Box<Catalog>,
        /// Changes that may be acknowledged and are not part of it; `None` if those known so far remain undecided.
        undecided: Option<UndecidedChanges>,
    },
    /// Changes that may be acknowledged and are not part of the state in force, while there is no leader.
    Undecided(UndecidedChanges),
    /// Entries in log order.
    Entries(Vec<(u64, Entry)>),
    /// Number of gateways, as the leader counts them.
    Gateways(u32),
    /// The answer to a permit request.
    Permit {
        /// Id of the permit request.
        id: u64,
        /// The leader's answer; `None` when no leader can be reached.
        permit: Option<Permit>,
    },
}

/// The state in force at this gateway, as far as the links depend on it.
#[derive(Clone, Copy, Debug)]
pub struct AppliedState {
    /// Log index of the last applied entry; 0 without any state.
    pub applied: u64,
    /// Whether the state holds a configuration.
    pub is_configured: bool,
}

/// Order in which ready sockets are read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReadOrder {
    /// The link to the followed replica.
    FollowedLink,
    /// Another link to a replica or relay.
    OtherLink,
    /// Any other socket.
    Other,
}

/// Client of the directory: all links to replicas and relays.
#[derive(Debug)]
pub struct DirectoryClient {
    node: String,
    bind_ip: Option<IpAddr>,
    replicas: Replicas,
    links: BTreeMap<Token, Link>,
    /// Delay before a replica that can't be reached is tried again.
    retry_delay: Duration,
    followed: Option<Token>,
    relays: Relays,
    /// The link whose replica was asked for the initial state.
    state_requested_from: Option<Token>,
    initial_source: InitialSource,
    /// Log index at which a replica with contact to a leader was first heard of since there was none. A state from
    /// there on contains every change that was acknowledged before.
    decided_index: Option<u64>,
    /// When the state was last compared with those of a majority of the voters.
    compared_at: Duration,
    /// The state that was last requested from a majority.
    requested_state: Option<RequestedState>,
    /// When a replica first reported the number of gateways.
    gateways_known_since: Option<Duration>,
    confirmed_state: ConfirmedState,
    leader_contact: LeaderContact,
    failure_log: FailureLog,
    /// When the followed replica last sent a message while it received the leader's log.
    pub last_leader_message: Option<Duration>,
}

impl DirectoryClient {
    /// Creates a client without any links.
    pub fn new(settings: &GatewaySettings) -> Self {
        let seeds = addresses(&settings.seed_links());
        Self {
            bind_ip: settings.bind_ip,
            node: settings.node.clone(),
            replicas: Replicas::new(&settings.node, &settings.zone, seeds),
            links: BTreeMap::new(),
            retry_delay: INITIAL_RETRY_DELAY,
            followed: None,
            relays: Relays::new(&settings.relay_name()),
            state_requested_from: None,
            initial_source: InitialSource::default(),
            decided_index: None,
            compared_at: Duration::ZERO,
            requested_state: None,
            gateways_known_since: None,
            confirmed_state: ConfirmedState::default(),
            leader_contact: LeaderContact::default(),
            failure_log: FailureLog::default(),
            last_leader_message: None,
        }
    }

    /// Replaces the seeds after the settings changed.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.replicas.set_seeds(addresses(seeds));
    }

    /// Whether a token belongs to one of these links.
    pub fn owns(&self, token: Token) -> bool {
        self.links.contains_key(&token)
    }

    /// Whether the number of gateways is known and has settled, so that shared limits can be divided by it.
    pub fn knows_gateway_count(&self, now: Duration) -> bool {
        let since = self.gateways_known_since;
        since.is_some_and(|since| now >= since + GATEWAY_COUNT_SETTLE_TIME)
    }

    /// Tokens of all links, established or not.
    pub fn tokens(&self) -> impl Iterator<Item = Token> + '_ {
        self.links.keys().copied()
    }

    /// Position of a socket in the order in which ready ones are read. The followed link goes before the others: until
    /// it is read it seems silent, and would be closed, with the changes that wait in it, for one that was read.
    pub fn read_order(&self, token: Token) -> ReadOrder {
        match self.owns(token) {
            true if self.followed == Some(token) => ReadOrder::FollowedLink,
            true => ReadOrder::OtherLink,
            false => ReadOrder::Other,
        }
    }

    /// Relay addresses of other gateways, as far as the directory has named them.
    pub fn gateways(&self) -> impl Iterator<Item = &str> {
        self.relays.known()
    }

    /// Number of open links, to replicas and relays.
    pub fn link_count(&self) -> usize {
        self.links.len()
    }

    /// Time after which [`DirectoryClient::tick`] is due again.
    pub fn tick_interval(is_configured: bool) -> Duration {
        match is_configured {
            true => TICK_INTERVAL,
            false => INITIAL_TICK_INTERVAL,
        }
    }

    /// Opens missing links, closes useless ones, and sends reports that are due. Tokens from `next_token` on
    /// are free.
    pub fn tick(
        &mut self,
        now: Duration,
        registry: &Registry,
        next_token: &mut usize,
        content: ReportContent<'_>,
        state: AppliedState,
    ) {
        self.retry_delay = match state.is_configured {
            true => RETRY_DELAY,
            false => INITIAL_RETRY_DELAY,
        };
        self.drop_dead_links(now);
        self.replicas.forget_expired(now);
        self.choose_feed(now, state.applied);
        if state.applied == 0 {
            // Without a state there is nothing that could lack changes: only the request matters.
            let _ = self.compare_with_majority(now, 0);
        }
        for address in self.missing_addresses(now, state.applied) {
            self.open_link(now, registry, next_token, LinkPeer::Replica, address);
        }
        self.drop_surplus_links(now);
        self.update_relays(now, registry, next_token);
        self.report(now, content);
    }

    /// Whether this gateway receives the leader's log, so that its state is current.
    pub fn is_fed(&self, now: Duration) -> bool {
        self.followed.is_some() && !self.relays.are_needed(now, self.last_leader_message)
    }

    /// Time since which acknowledged changes may be missing in the state in force; `None` if it is not known.
    pub fn state_age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_state.age(now)
    }

    /// How long a leader's changes have reached this gateway without interruption; `None` if they do not.
    pub fn leader_contact(&self, now: Duration) -> Option<Duration> {
        self.leader_contact.held_for(now)
    }

    /// Records that this process did not run for some time. What waits in its links is newer than the last confirmation,
    /// which can be repeated only from now on.
    pub fn note_standstill(&mut self) {
        self.leader_contact.end();
    }

    /// Records that the state in force has reached a log index.
    pub fn note_applied(&mut self, applied: u64) {
        self.confirmed_state.update(applied);
    }

    /// Handles a socket event on a link. `applied` is the log index in force here.
    pub fn on_event(&mut self, now: Duration, token: Token, applied: u64) -> Vec<Update> {
        let mut frames = Vec::new();
        let was_connected = self.links.get(&token).is_some_and(|link| link.connected);
        let link = self.links.get_mut(&token);
        if link.is_some_and(|link| !link.on_event(now, &mut frames)) {
            self.drop_link(now, token, LinkFailure::Closed);
        }
        if !was_connected && self.links.get(&token).is_some_and(|link| link.connected) {
            self.drop_duplicates(token);
            // A replica sends its status only after it knows who is connected.
            self.send_report(now, token, LoadSample::default(), Vec::new());
            self.follow_relay(token, applied);
        }
        let mut updates = Vec::new();
        let received = !frames.is_empty();
        for frame in frames {
            match frame {
                FromReplica::Head(head) => self.on_head(now, token, head, applied, &mut updates),
                FromReplica::Entries(entries) => updates.push(Update::Entries(entries)),
                FromReplica::Whole { index, state } => {
                    updates.extend(self.take_state(token, index, &state, applied));
                }
                FromReplica::Confirmed(confirmation) => {
                    // A source without contact repeats the time until which its state was confirmed.
                    if self.confirmed_state.record(confirmation, applied) {
                        self.leader_contact.note(now);
                    }
                }
                FromReplica::Permit { id, permit } => updates.push(Update::Permit { id, permit }),
                FromReplica::Relayed { .. } | FromReplica::Packed(_) | FromReplica::Fleet(_) => {}
            }
        }
        if self.followed == Some(token) && self.is_fed_link(now, token) {
            self.last_leader_message = Some(now);
        }
        if received && self.is_fed_link(now, token) {
            self.leader_contact.note(now);
        }
        updates
    }

    /// Requests all entries after `applied` again from the followed replica and the relays, after a gap.
    pub fn resync(&mut self, applied: u64) {
        if let Some(token) = self.followed {
            self.request_entries(token, applied);
        }
        let tokens: Vec<Token> = self.tokens().collect();
        for token in tokens {
            self.follow_relay(token, applied);
        }
    }

    /// Requests all entries after `applied` from a relay, if the link is established and leads to one.
    fn follow_relay(&mut self, token: Token, applied: u64) {
        let link = self.links.get(&token);
        let Some(link) = link.filter(|link| link.connected && link.peer == LinkPeer::Relay) else {
            return;
        };
        event!(
            Event::RelayFollowed,
            relay = link.address,
            applied = applied
        );
        self.request_entries(token, applied);
    }

    fn on_head(
        &mut self,
        now: Duration,
        token: Token,
        head: SourceStatus,
        applied: u64,
        updates: &mut Vec<Update>,
    ) {
        self.relays.note(now, &head.relays);
        let peer = self.links.get(&token).map(|link| link.peer);
        if peer == Some(LinkPeer::Relay) {
            match (head.is_fed, self.links.get_mut(&token)) {
                (true, Some(link)) => link.head = Some(head),
                _ => self.drop_link(now, token, LinkFailure::RelayNotFed),
            }
            return;
        }
        self.replicas.note(now, &head.replicas);
        self.initial_source.note_replica_message(now);
        let is_fed = head.is_fed;
        if is_fed {
            self.decided_index.get_or_insert(head.applied);
        }
        if is_fed && head.gateways > 0 {
            self.gateways_known_since.get_or_insert(now);
            updates.push(Update::Gateways(head.gateways));
        }
        let Some(link) = self.links.get_mut(&token) else {
            return;
        };
        link.head = Some(head);
        match is_fed {
            true => {
                self.replicas.stop_avoiding(&link.address);
                let ignored_state = std::mem::take(&mut link.ignored_state);
                self.choose_feed(now, applied);
                if ignored_state && self.followed == Some(token) {
                    self.request_entries(token, applied);
                }
            }
            false => {
                if !self.has_feed(now) {
                    self.leader_contact.end();
                }
                if applied > 0 {
                    self.avoid_unfed_replica(now, token);
                }
                let undecided = self.compare_with_majority(now, applied);
                updates.extend(undecided.map(Update::Undecided));
            }
        }
    }

    fn request_entries(&mut self, token: Token, applied: u64) {
        let Some(link) = self.links.get_mut(&token) else {
            return;
        };
        let frame = ToReplica::Follow(Follow {
            node: self.node.clone(),
            applied,
        });
        link.send(&frame);
    }
}

fn addresses(links: &[SocketAddr]) -> Vec<String> {
    links.iter().map(ToString::to_string).collect()
}
