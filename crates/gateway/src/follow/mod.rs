//! Links to the directory's replicas; the one that surely leads feeds this gateway. While none speaks to
//! it, other gateways do.

mod link;

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use grebepin_catalog::{Catalog, Entry};
use grebepin_directory::link::{Follow, FromReplica, GatewayReport, Head, ToReplica};
use grebepin_grants::LoadSample;
use grebepin_reactor::{decode_frame, Connection};
use grebepin_telemetry::{event, Event};
use link::{Link, LinkEnd};
use mio::{Registry, Token};

use crate::first_state::newest_of_majority;
use crate::load::LoadCounts;
use crate::relays::Relays;

/// Time a link may take to come up.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);

/// Time without a word after which a link is made anew.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_600);

/// Pause before a link is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The same for a gateway that has no state yet: after a loss of everything replicas may start some
/// tenths of a second later than gateways.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(40);

/// Time between two ticks, and until the first configuration, so that replicas are found as soon as they
/// listen.
const TICK_EVERY: Duration = Duration::from_millis(200);
const FIRST_TICK_EVERY: Duration = Duration::from_millis(20);

/// Time between two words to each replica.
const REPORT_EVERY: Duration = Duration::from_millis(1_000);

/// The same for the followed replica while requests find no room.
const CROWDED_REPORT_EVERY: Duration = Duration::from_millis(300);

/// Time for which a replica that only others named is still tried.
const HINT_LIFETIME: Duration = Duration::from_secs(30);

/// Bytes before the value of an encoded state.
const STATE_PREFIX_BYTES: usize = 4;

/// News from the directory.
#[derive(Debug)]
pub enum Update {
    /// The whole state at a log index.
    Whole(u64, Box<Catalog>),
    /// Entries in the order of the log.
    Entries(Vec<(u64, Entry)>),
    /// How many gateways the leader counts.
    Gateways(u32),
}

/// All links.
#[derive(Debug)]
pub struct Directory {
    node: String,
    source: Option<IpAddr>,
    seeds: Vec<String>,
    hints: BTreeMap<String, Duration>,
    links: BTreeMap<Token, Link>,
    retry_at: BTreeMap<String, Duration>,
    /// Pause before a replica is tried again.
    retry_pause: Duration,
    followed: Option<Token>,
    relays: Relays,
    /// Whether a replica was asked for its state before any leader spoke.
    asked_for_state: bool,
    /// When the followed replica last spoke.
    pub leader_heard: Option<Duration>,
}

impl Directory {
    /// No links yet; `relay` is where this gateway gives the state on itself, empty for nowhere.
    pub fn new(node: &str, seeds: &[SocketAddr], source: Option<IpAddr>, relay: &str) -> Self {
        Self {
            source,
            node: node.to_owned(),
            seeds: seeds.iter().map(ToString::to_string).collect(),
            hints: BTreeMap::new(),
            links: BTreeMap::new(),
            retry_at: BTreeMap::new(),
            retry_pause: FIRST_RETRY_PAUSE,
            followed: None,
            relays: Relays::new(relay),
            asked_for_state: false,
            leader_heard: None,
        }
    }

    /// Takes other seeds over from changed settings.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.seeds = seeds.iter().map(ToString::to_string).collect();
    }

    /// Whether a token names one of these links.
    pub fn owns(&self, token: Token) -> bool {
        self.links.contains_key(&token)
    }

    /// Time after which [`Directory::tick`] is due again.
    pub fn tick_pause(is_configured: bool) -> Duration {
        match is_configured {
            true => TICK_EVERY,
            false => FIRST_TICK_EVERY,
        }
    }

    /// Makes links that are missing and drops those that are of no use. Tokens from `next_token` on
    /// are free.
    pub fn tick(
        &mut self,
        now: Duration,
        registry: &Registry,
        next_token: &mut usize,
        load: &mut LoadCounts,
        is_configured: bool,
    ) {
        self.retry_pause = match is_configured {
            true => RETRY_PAUSE,
            false => FIRST_RETRY_PAUSE,
        };
        let useless = self.links.iter().filter(|(_, link)| match link.connected {
            false => now > link.began + CONNECT_LIMIT,
            true => now > link.heard + SILENCE_LIMIT,
        });
        let useless: Vec<Token> = useless.map(|(token, _)| *token).collect();
        for token in useless {
            self.drop_link(now, token);
        }
        self.hints.retain(|_, told| now < *told + HINT_LIFETIME);
        for address in self.missing(now) {
            self.begin(now, registry, next_token, LinkEnd::Replica, address);
        }
        self.keep_relays(now, registry, next_token);
        self.report(now, load);
    }

    /// Follows relays while no leader speaks, and leaves them once one does.
    fn keep_relays(&mut self, now: Duration, registry: &Registry, next_token: &mut usize) {
        let links = self.links.iter();
        let in_use = links.filter(|(_, link)| link.end == LinkEnd::Relay);
        let in_use: Vec<Token> = in_use.map(|(token, _)| *token).collect();
        if !self.relays.are_needed(now, self.leader_heard) {
            for token in in_use {
                self.links.remove(&token);
            }
            return;
        }
        let in_use: Vec<&String> = in_use
            .iter()
            .map(|token| &self.links[token].address)
            .collect();
        for address in self.relays.wanted(now, &in_use) {
            self.begin(now, registry, next_token, LinkEnd::Relay, address);
        }
    }

    /// Begins a link.
    fn begin(
        &mut self,
        now: Duration,
        registry: &Registry,
        next_token: &mut usize,
        end: LinkEnd,
        address: String,
    ) {
        let token = Token(*next_token);
        let begun = address
            .parse()
            .ok()
            .and_then(|parsed| Connection::connect(parsed, self.source, registry, token).ok());
        self.retry_at
            .insert(address.clone(), now + self.retry_pause);
        let Some(connection) = begun else {
            return;
        };
        *next_token += 1;
        connection.limit_silence(SILENCE_LIMIT);
        self.links
            .insert(token, Link::new(end, address, connection, now));
    }

    /// Whether the leader speaks to this gateway, so that its state is fresh.
    pub fn is_fed(&self, now: Duration) -> bool {
        self.followed.is_some() && !self.relays.are_needed(now, self.leader_heard)
    }

    /// Addresses that should be linked and are not.
    fn missing(&self, now: Duration) -> Vec<String> {
        let linked: BTreeSet<&String> = self.links.values().map(|link| &link.address).collect();
        let known: BTreeSet<&String> = self.seeds.iter().chain(self.hints.keys()).collect();
        known
            .into_iter()
            .filter(|address| !linked.contains(address))
            .filter(|address| self.retry_at.get(*address).is_none_or(|at| now >= *at))
            .cloned()
            .collect()
    }

    /// Tells every replica that this gateway is there, and the followed one what was counted.
    fn report(&mut self, now: Duration, load: &mut LoadCounts) {
        let pause_of_followed = match load.is_crowded() {
            true => CROWDED_REPORT_EVERY,
            false => REPORT_EVERY,
        };
        let links = self.links.iter();
        let due = links.filter(|(token, link)| {
            let pause = match self.followed == Some(**token) {
                true => pause_of_followed,
                false => REPORT_EVERY,
            };
            link.connected && link.reported.is_none_or(|at| now >= at + pause)
        });
        let due: Vec<Token> = due.map(|(token, _)| *token).collect();
        for token in due {
            let load = match self.followed == Some(token) {
                true => load.take(),
                false => LoadSample::default(),
            };
            self.send_report(now, token, load);
        }
    }

    fn send_report(&mut self, now: Duration, token: Token, load: LoadSample) {
        let Some(link) = self.links.get_mut(&token) else {
            return;
        };
        link.reported = Some(now);
        let frame = ToReplica::Report(GatewayReport {
            node: self.node.clone(),
            relay: self.relays.own().to_owned(),
            load,
        });
        link.send(&frame);
    }

    /// Handles what happened on a link. `applied` is the log index in force here.
    pub fn on_event(&mut self, now: Duration, token: Token, applied: u64) -> Vec<Update> {
        let mut frames = Vec::new();
        let was_connected = self.links.get(&token).is_some_and(|link| link.connected);
        let link = self.links.get_mut(&token);
        if link.is_some_and(|link| !link.advance(now, &mut frames)) {
            self.drop_link(now, token);
        }
        if !was_connected && self.links.get(&token).is_some_and(|link| link.connected) {
            // A replica tells whether it leads once it knows who asks.
            self.send_report(now, token, LoadSample::default());
            self.ask_relay(token, applied);
        }
        let mut updates = Vec::new();
        for frame in frames {
            match frame {
                FromReplica::Head(head) => self.on_head(now, token, head, applied, &mut updates),
                FromReplica::Entries(entries) => updates.push(Update::Entries(entries)),
                FromReplica::Whole { index, state } => {
                    let bytes = state.get(STATE_PREFIX_BYTES..).unwrap_or_default();
                    if let Ok(catalog) = decode_frame::<Catalog>(bytes) {
                        updates.push(Update::Whole(index, Box::new(catalog)));
                    }
                }
                FromReplica::Relayed { .. } | FromReplica::Packed(_) => {}
            }
        }
        if self.followed == Some(token) {
            self.leader_heard = Some(now);
        }
        updates
    }

    /// Asks those who feed this gateway for everything after `applied` again, after a gap.
    pub fn follow_again(&mut self, applied: u64) {
        if let Some(token) = self.followed {
            self.ask(token, applied);
        }
        let tokens: Vec<Token> = self.links.keys().copied().collect();
        for token in tokens {
            self.ask_relay(token, applied);
        }
    }

    /// Asks a link for everything after `applied` if it is up and leads to a relay.
    fn ask_relay(&mut self, token: Token, applied: u64) {
        let link = self.links.get(&token);
        let Some(link) = link.filter(|link| link.connected && link.end == LinkEnd::Relay) else {
            return;
        };
        event!(
            Event::RelayFollowed,
            relay = link.address,
            applied = applied
        );
        self.ask(token, applied);
    }

    fn on_head(
        &mut self,
        now: Duration,
        token: Token,
        head: Head,
        applied: u64,
        updates: &mut Vec<Update>,
    ) {
        self.relays.note(now, &head.relays);
        let end = self.links.get(&token).map(|link| link.end);
        if end == Some(LinkEnd::Relay) {
            if !head.is_fed {
                self.drop_link(now, token);
            }
            return;
        }
        for replica in &head.replicas {
            self.hints.insert(replica.clone(), now);
        }
        let (leads, term) = (head.leads, head.term);
        let behind = head.applied > applied;
        if leads {
            updates.push(Update::Gateways(head.gateways));
        }
        if let Some(link) = self.links.get_mut(&token) {
            link.head = Some(head);
        }
        if applied == 0 && !leads {
            self.ask_for_first_state();
        }
        let followed_term = self
            .followed
            .and_then(|followed| self.links.get(&followed)?.head.as_ref())
            .filter(|head| head.leads)
            .map(|head| head.term);
        let is_better = followed_term.is_none_or(|present| present < term);
        if leads && self.followed != Some(token) && is_better {
            self.followed = Some(token);
            let replica = self.links.get(&token).map(|link| link.address.clone());
            event!(
                Event::GatewayFollows,
                replica = replica.unwrap_or_default(),
                term = term,
                applied = applied,
                behind = behind
            );
            self.ask(token, applied);
        }
    }

    /// Asks for the state that a majority of the replicas holds, until a leader speaks.
    fn ask_for_first_state(&mut self) {
        if self.followed.is_some() || self.asked_for_state {
            return;
        }
        let replicas = self.links.iter().filter_map(|(token, link)| {
            let head = link.head.as_ref()?;
            Some((*token, link.address.as_str(), head))
        });
        let Some(token) = newest_of_majority(replicas) else {
            return;
        };
        let Some(link) = self.links.get_mut(&token) else {
            return;
        };
        self.asked_for_state = true;
        event!(Event::StateFetched, replica = link.address);
        link.send(&ToReplica::FetchState);
    }

    fn ask(&mut self, token: Token, applied: u64) {
        let Some(link) = self.links.get_mut(&token) else {
            return;
        };
        let frame = ToReplica::Follow(Follow {
            node: self.node.clone(),
            applied,
        });
        link.send(&frame);
    }

    fn drop_link(&mut self, now: Duration, token: Token) {
        let Some(link) = self.links.remove(&token) else {
            return;
        };
        if link.end == LinkEnd::Relay {
            self.relays.failed(now, &link.address);
            return;
        }
        self.retry_at
            .insert(link.address.clone(), now + self.retry_pause);
        if self.followed == Some(token) {
            self.followed = None;
            event!(Event::GatewayLost, replica = link.address);
        }
    }
}
