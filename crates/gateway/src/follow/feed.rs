//! Chooses which link is followed, which links are opened or closed, and which replica provides the initial
//! state.

use std::collections::BTreeSet;
use std::time::Duration;

use grebepin_directory::link::{SourceStatus, ToReplica};
use grebepin_telemetry::{event, Event};
use mio::Token;

use super::link::LinkPeer;
use super::state::RequestedState;
use super::DirectoryClient;
use crate::majority_state::newest_of_majority;
use crate::undecided::UndecidedChanges;

/// Time without a message after which another replica that receives the leader's log is followed. Replicas
/// send a message every 500 ms.
const FEED_TIMEOUT: Duration = Duration::from_millis(900);

/// Time for which a replica that does not receive the leader's log is avoided.
const UNFED_RETRY_DELAY: Duration = Duration::from_millis(1_000);

/// Silence of the leader after which a gateway fetches a newer state from a replica without a leader. At an election
/// nearly all gateways lack some entries, and complete states for all of them would delay the next leader's entries.
const ELECTION_ALLOWANCE: Duration = Duration::from_millis(2_000);

/// Links at a time, counting links to preferred replicas and those about to be closed.
const MAX_LINKS: usize = 8;

/// The same for a gateway that asks the voters for its initial state.
const MAX_INITIAL_LINKS: usize = 20;

impl DirectoryClient {
    /// Whether a link leads to a replica that receives the leader's log and has sent a message lately.
    pub(super) fn is_fed_link(&self, now: Duration, token: Token) -> bool {
        self.links.get(&token).is_some_and(|link| {
            let is_fed = link.head.as_ref().is_some_and(|head| head.is_fed);
            let speaks = now <= link.last_received + FEED_TIMEOUT;
            link.peer == LinkPeer::Replica && link.connected && is_fed && speaks
        })
    }

    /// Whether any replica receives the leader's log and has sent a message lately.
    pub(super) fn has_feed(&self, now: Duration) -> bool {
        self.links.keys().any(|token| self.is_fed_link(now, *token))
    }

    /// The followed link, if its replica still receives the leader's log.
    pub(super) fn fed_link(&self, now: Duration) -> Option<Token> {
        self.followed.filter(|token| self.is_fed_link(now, *token))
    }

    /// Follows the highest-ranked replica that receives the leader's log. The current one is kept as long as
    /// it does and is among the preferred replicas.
    pub(super) fn choose_feed(&mut self, now: Duration, applied: u64) {
        let best = self.links.keys().copied();
        let best = best.filter(|token| self.is_fed_link(now, *token));
        let best = best.min_by_key(|token| self.replicas.rank(&self.links[token].address));
        let Some(best) = best else {
            return;
        };
        if self.followed == Some(best) {
            return;
        }
        if applied == 0 && !self.may_request_state(now, best) {
            return;
        }
        if let Some(present) = self.fed_link(now) {
            let wanted = self.replicas.wanted(now, true);
            if wanted.contains(&self.links[&present].address) {
                return;
            }
        }
        self.follow(now, best, applied);
    }

    /// Follows a replica and closes the link to the previous one, whose entries would arrive twice.
    fn follow(&mut self, now: Duration, token: Token, applied: u64) {
        if let Some(before) = self.followed.replace(token) {
            self.links.remove(&before);
        }
        let link = &self.links[&token];
        let head = link.head.as_ref();
        event!(
            Event::GatewayFollows,
            replica = link.address,
            zone = self.replicas.zone_of(&link.address),
            leads = head.is_some_and(|head| head.leads),
            term = head.map_or(0, |head| head.term),
            applied = applied,
            behind = head.is_some_and(|head| head.applied > applied)
        );
        self.last_leader_message = Some(now);
        if applied == 0 {
            self.note_state_request(now, token);
        }
        self.request_entries(token, applied);
    }

    /// Whether the initial state should be requested from a link's replica now.
    fn may_request_state(&self, now: Duration, token: Token) -> bool {
        let preferred = self.replicas.preferred(now);
        let is_preferred = preferred.as_ref() == Some(&self.links[&token].address);
        self.initial_source.may_request(now, is_preferred)
    }

    fn note_state_request(&mut self, now: Duration, token: Token) {
        self.state_requested_from = Some(token);
        self.initial_source.note_state_requested(now);
    }

    /// Closes links to replicas that are no longer preferred, once a preferred one is followed.
    pub(super) fn drop_surplus_links(&mut self, now: Duration) {
        let Some(followed) = self.fed_link(now) else {
            return;
        };
        let wanted = self.replicas.wanted(now, true);
        if !wanted.contains(&self.links[&followed].address) {
            return;
        }
        self.links
            .retain(|_, link| link.peer == LinkPeer::Relay || wanted.contains(&link.address));
    }

    /// Addresses of replicas that should be linked and are not.
    pub(super) fn missing_addresses(&self, now: Duration, applied: u64) -> Vec<String> {
        let mut wanted = self.replicas.wanted(now, self.fed_link(now).is_some());
        let mut limit = MAX_LINKS;
        if applied == 0 {
            wanted.extend(self.replicas.state_candidates(now));
            limit = MAX_INITIAL_LINKS;
        }
        let linked = self.links_in_use().map(|link| &link.address);
        let linked: BTreeSet<&String> = linked.collect();
        let mut missing: Vec<String> = Vec::new();
        for address in wanted {
            if !linked.contains(&address) && !missing.contains(&address) {
                missing.push(address);
            }
        }
        missing.truncate(limit.saturating_sub(linked.len()));
        missing
    }

    /// Avoids a replica that does not receive the leader's log, so that others are tried in its place.
    pub(super) fn avoid_unfed_replica(&mut self, now: Duration, token: Token) {
        let Some(link) = self.links.get(&token) else {
            return;
        };
        self.replicas.avoid(now, &link.address, UNFED_RETRY_DELAY);
        // While no replica receives the leader's log, a few such links stay open: they show at once when a
        // leader is back.
        if self.followed != Some(token) && self.links_in_use().count() >= MAX_LINKS {
            self.links.remove(&token);
        }
    }

    /// The status of each linked replica, with its link and address, unless it is outdated.
    fn current_heads(&self, now: Duration) -> impl Iterator<Item = (Token, &str, &SourceStatus)> {
        let links = self.links.iter().filter(move |(_, link)| {
            link.peer == LinkPeer::Replica && now <= link.last_received + FEED_TIMEOUT
        });
        links.filter_map(|(token, link)| Some((*token, link.address.as_str(), link.head.as_ref()?)))
    }

    /// The status of each replica for logs: address, applied index, role and age of its last message.
    fn describe_heads(&self, now: Duration) -> String {
        let heads = self.current_heads(now).map(|(token, address, head)| {
            let role = match head.votes {
                true => "voter",
                false => "other",
            };
            let received = self.links[&token].last_received;
            let age = now.saturating_sub(received).as_millis();
            format!("{address}:{}:{role}:{age}ms", head.applied)
        });
        heads.collect::<Vec<String>>().join(",")
    }

    /// Whether no leader was heard of for longer than an election takes.
    fn is_without_leader(&self, now: Duration) -> bool {
        let heard = self.last_leader_message.unwrap_or_default();
        now > heard + ELECTION_ALLOWANCE
    }

    /// Compares the state of log index `applied` with those of a majority of the voters while no replica receives
    /// a leader's log. Requests a newer state if they have one; otherwise returns the changes that may be
    /// acknowledged and are not part of this gateway's state.
    pub(super) fn compare_with_majority(
        &mut self,
        now: Duration,
        applied: u64,
    ) -> Option<UndecidedChanges> {
        if self.has_feed(now) {
            return None;
        }
        self.decided_index = None;
        if self.initial_source.is_pending(now) {
            return None;
        }
        let told = self.current_heads(now);
        let told = told.map(|(_, address, head)| (address, head));
        let newest = newest_of_majority(told, applied)?;
        let index = newest.index;
        let undecided = UndecidedChanges::of(newest.undecided);
        self.compared_at = now;
        if index <= applied || (applied > 0 && !self.is_without_leader(now)) {
            return Some(undecided);
        }
        let holders = self.current_heads(now);
        let holders = holders.filter(|(_, _, head)| head.applied >= index);
        let nearest = holders.min_by_key(|(_, address, _)| self.replicas.rank(address));
        let (token, address, _) = nearest?;
        if !self.may_request_state(now, token) {
            return None;
        }
        event!(
            Event::StateFetched,
            replica = address,
            index = index,
            undecided = undecided.len(),
            heads = self.describe_heads(now)
        );
        self.requested_state = Some(RequestedState { index, undecided });
        self.note_state_request(now, token);
        if let Some(link) = self.links.get_mut(&token) {
            link.send(&ToReplica::FetchState);
        }
        None
    }
}
