//! Opens and closes links to replicas and relays.

use std::time::Duration;

use grebepin_reactor::Connection;
use grebepin_telemetry::{event, Event};
use mio::{Registry, Token};

use super::link::{Link, LinkPeer};
use super::link_failure::LinkFailure;
use super::DirectoryClient;
use crate::connecting::{attempt_state, AttemptState};
use crate::relays::FOLLOWED_RELAYS;

/// Time without a message, beyond the round-trip time, after which a link is closed and opened again.
const LINK_TIMEOUT: Duration = Duration::from_millis(1_600);

/// Time after which the system closes a connection whose bytes are not acknowledged. Longer than silent links and
/// attempts to connect are kept, so that it ends no link on which messages still move.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(5_000);

impl DirectoryClient {
    /// Links that are established, or may be soon: all but late attempts to connect.
    pub(super) fn links_in_use(&self) -> impl Iterator<Item = &Link> {
        self.links.values().filter(|link| !link.is_late)
    }

    /// Closes links that are not established in time or have been silent for too long. The address of an attempt that
    /// takes long is avoided for a while, so that others are tried beside it.
    pub(super) fn drop_dead_links(&mut self, now: Duration) {
        let (mut failed, mut late) = (Vec::new(), Vec::new());
        for (token, link) in &self.links {
            match attempt_state(now, link.opened_at) {
                _ if link.connected => {
                    if now > link.last_received + link.handshake_time + LINK_TIMEOUT {
                        failed.push((*token, LinkFailure::Silent));
                    }
                }
                AttemptState::TimedOut => failed.push((*token, LinkFailure::NotEstablished)),
                AttemptState::Late if !link.is_late => late.push(*token),
                AttemptState::Late | AttemptState::Recent => {}
            }
        }
        for token in late {
            self.note_late_attempt(now, token);
        }
        for (token, failure) in failed {
            self.drop_link(now, token, failure);
        }
    }

    fn note_late_attempt(&mut self, now: Duration, token: Token) {
        let Some(link) = self.links.get_mut(&token) else {
            return;
        };
        link.is_late = true;
        match link.peer {
            LinkPeer::Replica => self.replicas.avoid(now, &link.address, self.retry_delay),
            LinkPeer::Relay => self.relays.failed(now, &link.address),
        }
    }

    /// Closes the other attempts at the address of a link that was just established, and the link itself if there is
    /// already another one to that address, or enough links to relays.
    pub(super) fn drop_duplicates(&mut self, token: Token) {
        let Some(link) = self.links.get(&token) else {
            return;
        };
        let (peer, address) = (link.peer, link.address.clone());
        let others = self.links.iter();
        let others = others.filter(|(other, link)| **other != token && link.connected);
        let is_duplicate = others.clone().any(|(_, link)| link.address == address);
        let relays = others.filter(|(_, link)| link.peer == LinkPeer::Relay);
        let has_relays = peer == LinkPeer::Relay && relays.count() >= FOLLOWED_RELAYS;
        if is_duplicate || has_relays {
            self.links.remove(&token);
            return;
        }
        self.links
            .retain(|_, link| link.connected || link.address != address);
    }

    /// Follows relays while the leader is silent, and closes the links to them once it is back.
    pub(super) fn update_relays(
        &mut self,
        now: Duration,
        registry: &Registry,
        next_token: &mut usize,
    ) {
        if !self.relays.are_needed(now, self.last_leader_message) {
            self.links.retain(|_, link| link.peer != LinkPeer::Relay);
            return;
        }
        let in_use = self
            .links_in_use()
            .filter(|link| link.peer == LinkPeer::Relay);
        let in_use: Vec<&String> = in_use.map(|link| &link.address).collect();
        for address in self.relays.wanted(now, &in_use) {
            self.open_link(now, registry, next_token, LinkPeer::Relay, address);
        }
    }

    /// Opens a link.
    pub(super) fn open_link(
        &mut self,
        now: Duration,
        registry: &Registry,
        next_token: &mut usize,
        peer: LinkPeer,
        address: String,
    ) {
        let token = Token(*next_token);
        let begun = address
            .parse()
            .ok()
            .and_then(|parsed| Connection::connect(parsed, self.bind_ip, registry, token).ok());
        let Some(connection) = begun else {
            self.replicas.avoid(now, &address, self.retry_delay);
            return;
        };
        *next_token += 1;
        connection.set_unacked_timeout(UNACKED_TIMEOUT);
        self.links
            .insert(token, Link::new(peer, address, connection, now));
    }

    pub(super) fn drop_link(&mut self, now: Duration, token: Token, failure: LinkFailure) {
        let Some(link) = self.links.remove(&token) else {
            return;
        };
        if self.failure_log.may_log(now, &link.address) {
            event!(
                Event::LinkDropped,
                to = link.address,
                reason = failure.reason(),
                opened_ms = now.saturating_sub(link.opened_at).as_millis(),
                received_ms = now.saturating_sub(link.last_received).as_millis()
            );
        }
        if link.peer == LinkPeer::Relay {
            self.relays.failed(now, &link.address);
            return;
        }
        self.replicas.avoid(now, &link.address, self.retry_delay);
        if self.state_requested_from == Some(token) {
            self.state_requested_from = None;
            self.initial_source.note_source_lost();
        }
        if self.followed == Some(token) {
            self.followed = None;
            event!(Event::GatewayLost, replica = link.address);
        }
    }
}
