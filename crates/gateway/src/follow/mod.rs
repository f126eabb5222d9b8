//! Links to two of the directory's replicas; one that is fed by the leader, or leads itself, feeds this gateway.
//! While none does, other gateways do.

mod feed;
mod link;

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use grebepin_catalog::{Catalog, Entry};
use grebepin_directory::crashes::CrashReport;
use grebepin_directory::link::{
    Follow, FromReplica, GatewayReport, Head, PermitRequest, ToReplica,
};
use grebepin_grants::{LoadSample, Permit};
use grebepin_reactor::{decode_frame, Connection};
use grebepin_telemetry::{event, Event};
use link::{Link, LinkEnd};
use mio::{Registry, Token};

use crate::crash_history::CrashHistory;
use crate::initial_source::InitialSource;
use crate::load::LoadCounts;
use crate::relays::Relays;
use crate::replicas::Replicas;
use crate::settings::GatewaySettings;

/// Time a link may take to come up.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);

/// Time without a word after which a link is made anew.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_600);

/// Time after the first count of all gateways for which it may still be too low: a new leader hears from all
/// replicas within 0.5 s.
const COUNT_SETTLES_AFTER: Duration = Duration::from_millis(1_500);

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

/// The same for the followed replica while requests find no room, or after a crash of a server.
const URGENT_REPORT_EVERY: Duration = Duration::from_millis(300);

/// Bytes before the value of an encoded state.
const STATE_PREFIX_BYTES: usize = 4;

/// News from the directory.
#[derive(Debug)]
pub enum Update {
    /// The whole state at a log index.
    Whole(u64, Box<Catalog>),
    /// Entries in the order of the log.
    Entries(Vec<(u64, Entry)>),
    /// How many gateways there are, as the leader counts them.
    Gateways(u32),
    /// The answer to a request for a permit.
    Permit {
        /// Name of the request for it.
        id: u64,
        /// The leader's answer; `None` when none can be reached.
        permit: Option<Permit>,
    },
}

/// The state in force here, as far as links depend on it.
#[derive(Clone, Copy, Debug)]
pub struct HeldState {
    /// Log index applied; 0 without any state.
    pub applied: u64,
    /// Whether it holds a configuration.
    pub is_configured: bool,
}

/// What this gateway has to tell.
pub struct News<'a> {
    /// What it saw of load.
    pub load: &'a mut LoadCounts,
    /// Servers that crashed.
    pub crashes: &'a mut CrashHistory,
}

impl News<'_> {
    /// Whether the directory should hear soon.
    fn is_urgent(&self) -> bool {
        self.load.is_overloaded() || self.crashes.has_unreported()
    }
}

/// All links.
#[derive(Debug)]
pub struct Directory {
    node: String,
    source: Option<IpAddr>,
    replicas: Replicas,
    links: BTreeMap<Token, Link>,
    /// Pause before a replica that can't be reached is tried again.
    retry_pause: Duration,
    followed: Option<Token>,
    relays: Relays,
    /// The link whose replica was asked for a first state.
    asked_for_state: Option<Token>,
    initial_source: InitialSource,
    /// When a replica first told how many gateways there are.
    counted_since: Option<Duration>,
    /// When the followed replica last spoke and was fed.
    pub leader_heard: Option<Duration>,
}

impl Directory {
    /// No links yet.
    pub fn new(settings: &GatewaySettings) -> Self {
        let seeds = addresses(&settings.seed_links());
        Self {
            source: settings.bind_ip,
            node: settings.node.clone(),
            replicas: Replicas::new(&settings.node, &settings.zone, seeds),
            links: BTreeMap::new(),
            retry_pause: FIRST_RETRY_PAUSE,
            followed: None,
            relays: Relays::new(&settings.relay_name()),
            asked_for_state: None,
            initial_source: InitialSource::default(),
            counted_since: None,
            leader_heard: None,
        }
    }

    /// Takes other seeds over from changed settings.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.replicas.set_seeds(addresses(seeds));
    }

    /// Whether a token names one of these links.
    pub fn owns(&self, token: Token) -> bool {
        self.links.contains_key(&token)
    }

    /// Whether the count of all gateways is known and has settled, so that what they share can be divided.
    pub fn knows_gateways(&self, now: Duration) -> bool {
        let since = self.counted_since;
        since.is_some_and(|since| now >= since + COUNT_SETTLES_AFTER)
    }

    /// Links to replicas at present.
    pub fn link_count(&self) -> usize {
        self.links.len()
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
        news: News<'_>,
        held: HeldState,
    ) {
        self.retry_pause = match held.is_configured {
            true => RETRY_PAUSE,
            false => FIRST_RETRY_PAUSE,
        };
        self.drop_useless(now);
        self.replicas.forget_expired(now);
        self.choose_feed(now, held.applied);
        if held.applied == 0 {
            self.ask_for_first_state(now);
        }
        for address in self.missing(now, held.applied) {
            self.begin(now, registry, next_token, LinkEnd::Replica, address);
        }
        self.drop_surplus(now);
        self.keep_relays(now, registry, next_token);
        self.report(now, news);
    }

    /// Drops links that don't come up or are silent.
    fn drop_useless(&mut self, now: Duration) {
        let useless = self.links.iter().filter(|(_, link)| match link.connected {
            false => now > link.began + CONNECT_LIMIT,
            true => now > link.heard + SILENCE_LIMIT,
        });
        let useless: Vec<Token> = useless.map(|(token, _)| *token).collect();
        for token in useless {
            self.drop_link(now, token);
        }
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
        let Some(connection) = begun else {
            self.replicas.avoid(now, &address, self.retry_pause);
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

    /// Tells every linked replica that this gateway is there, and the followed one what was counted.
    fn report(&mut self, now: Duration, news: News<'_>) {
        let pause_of_followed = match news.is_urgent() {
            true => URGENT_REPORT_EVERY,
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
            let (load, crashes) = match self.followed == Some(token) {
                true => (news.load.take(), news.crashes.reports(now)),
                false => (LoadSample::default(), Vec::new()),
            };
            self.send_report(now, token, load, crashes);
        }
    }

    fn send_report(
        &mut self,
        now: Duration,
        token: Token,
        load: LoadSample,
        crashes: Vec<CrashReport>,
    ) {
        let Some(link) = self.links.get_mut(&token) else {
            return;
        };
        link.reported = Some(now);
        let frame = ToReplica::Report(GatewayReport {
            node: self.node.clone(),
            relay: self.relays.own().to_owned(),
            load,
            crashes,
        });
        link.send(&frame);
    }

    /// Asks the leader, by way of the followed replica, for a permit; whether there is one to ask.
    pub fn ask_permit(&mut self, now: Duration, request: PermitRequest) -> bool {
        let followed = self.fed_link(now);
        let link = followed.and_then(|token| self.links.get_mut(&token));
        let Some(link) = link else {
            return false;
        };
        link.send(&ToReplica::TakePermit(request));
        true
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
            self.send_report(now, token, LoadSample::default(), Vec::new());
            self.ask_relay(token, applied);
        }
        let mut updates = Vec::new();
        for frame in frames {
            match frame {
                FromReplica::Head(head) => self.on_head(now, token, head, applied, &mut updates),
                FromReplica::Entries(entries) => updates.push(Update::Entries(entries)),
                FromReplica::Whole { index, state } => {
                    let bytes = state.get(STATE_PREFIX_BYTES..).unwrap_or_default();
                    match decode_frame::<Catalog>(bytes) {
                        Ok(catalog) => updates.push(Update::Whole(index, Box::new(catalog))),
                        Err(error) => {
                            event!(Event::StateUnreadable, index = index, error = error);
                        }
                    }
                }
                FromReplica::Permit { id, permit } => updates.push(Update::Permit { id, permit }),
                FromReplica::Relayed { .. } | FromReplica::Packed(_) | FromReplica::Fleet(_) => {}
            }
        }
        if self.followed == Some(token) && self.is_fed_link(now, token) {
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
        self.replicas.note(now, &head.replicas);
        self.initial_source.note_replica_message(now);
        let is_fed = head.is_fed;
        if is_fed && head.gateways > 0 {
            self.counted_since.get_or_insert(now);
            updates.push(Update::Gateways(head.gateways));
        }
        let Some(link) = self.links.get_mut(&token) else {
            return;
        };
        link.head = Some(head);
        match is_fed {
            true => {
                self.replicas.stop_avoiding(&link.address);
                self.choose_feed(now, applied);
            }
            false => self.leave_unfed(now, token, applied),
        }
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
        self.replicas.avoid(now, &link.address, self.retry_pause);
        if self.asked_for_state == Some(token) {
            self.asked_for_state = None;
            self.initial_source.note_source_lost();
        }
        if self.followed == Some(token) {
            self.followed = None;
            event!(Event::GatewayLost, replica = link.address);
        }
    }
}

fn addresses(links: &[SocketAddr]) -> Vec<String> {
    links.iter().map(ToString::to_string).collect()
}
