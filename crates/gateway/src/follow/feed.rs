//! Which of the links is followed, which are missing or too many, and whose state is asked for first.

use std::collections::BTreeSet;
use std::time::Duration;

use grebepin_directory::link::ToReplica;
use grebepin_telemetry::{event, Event};
use mio::Token;

use super::link::LinkEnd;
use super::Directory;
use crate::initial_state::newest_of_majority;

/// Time without a word after which another fed replica is followed; replicas speak each 500 ms.
const FEED_SILENCE_LIMIT: Duration = Duration::from_millis(900);

/// Time for which a replica that is not fed is left alone.
const UNFED_PAUSE: Duration = Duration::from_millis(1_000);

/// Links at a time, to replicas that are wanted and others that are on their way out.
const LINK_LIMIT: usize = 8;

/// The same for a gateway that asks voters for a first state.
const FIRST_LINK_LIMIT: usize = 20;

impl Directory {
    /// Whether a link leads to a replica that is fed and has spoken lately.
    pub(super) fn is_fed_link(&self, now: Duration, token: Token) -> bool {
        self.links.get(&token).is_some_and(|link| {
            let is_fed = link.head.as_ref().is_some_and(|head| head.is_fed);
            let speaks = now <= link.heard + FEED_SILENCE_LIMIT;
            link.end == LinkEnd::Replica && link.connected && is_fed && speaks
        })
    }

    /// The followed link as long as its replica is fed.
    pub(super) fn fed_link(&self, now: Duration) -> Option<Token> {
        self.followed.filter(|token| self.is_fed_link(now, *token))
    }

    /// Follows the best fed replica; the present one as long as it is fed and wanted.
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
        if applied == 0 && !self.may_ask_for_state(now, best) {
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

    /// Follows a replica, and ends the link to the one before: what that one fed would come twice.
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
        self.leader_heard = Some(now);
        if applied == 0 {
            self.note_asked(now, token);
        }
        self.ask(token, applied);
    }

    /// Whether a first state should be taken from a link's replica now.
    fn may_ask_for_state(&self, now: Duration, token: Token) -> bool {
        let preferred = self.replicas.preferred(now);
        let is_preferred = preferred.as_ref() == Some(&self.links[&token].address);
        self.initial_source.may_request(now, is_preferred)
    }

    fn note_asked(&mut self, now: Duration, token: Token) {
        self.asked_for_state = Some(token);
        self.initial_source.note_state_requested(now);
    }

    /// Drops links that are not wanted any more, once a wanted one is followed.
    pub(super) fn drop_surplus(&mut self, now: Duration) {
        let Some(followed) = self.fed_link(now) else {
            return;
        };
        let wanted = self.replicas.wanted(now, true);
        if !wanted.contains(&self.links[&followed].address) {
            return;
        }
        self.links
            .retain(|_, link| link.end == LinkEnd::Relay || wanted.contains(&link.address));
    }

    /// Addresses that should be linked and are not.
    pub(super) fn missing(&self, now: Duration, applied: u64) -> Vec<String> {
        let mut wanted = self.replicas.wanted(now, self.fed_link(now).is_some());
        let mut limit = LINK_LIMIT;
        if applied == 0 {
            wanted.extend(self.replicas.state_candidates(now));
            limit = FIRST_LINK_LIMIT;
        }
        let linked: BTreeSet<&String> = self.links.values().map(|link| &link.address).collect();
        let mut missing: Vec<String> = Vec::new();
        for address in wanted {
            if !linked.contains(&address) && !missing.contains(&address) {
                missing.push(address);
            }
        }
        missing.truncate(limit.saturating_sub(self.links.len()));
        missing
    }

    /// A replica is not fed: others are tried in its place. A gateway without a state asks it for its own.
    pub(super) fn leave_unfed(&mut self, now: Duration, token: Token, applied: u64) {
        if applied == 0 {
            return self.ask_for_first_state(now);
        }
        let Some(link) = self.links.get(&token) else {
            return;
        };
        self.replicas.avoid(now, &link.address, UNFED_PAUSE);
        // A few such links stay while nobody is fed: they tell at once when a leader speaks.
        if self.followed != Some(token) && self.links.len() >= LINK_LIMIT {
            self.links.remove(&token);
        }
    }

    /// Asks for the state that a majority of the voters holds, until a leader speaks.
    pub(super) fn ask_for_first_state(&mut self, now: Duration) {
        if self.followed.is_some() || self.initial_source.is_pending(now) {
            return;
        }
        let heads = || {
            self.links.iter().filter_map(|(token, link)| {
                let head = link.head.as_ref()?;
                Some((*token, link.address.as_str(), head))
            })
        };
        let told = heads().map(|(_, address, head)| (address, head));
        let Some(index) = newest_of_majority(told) else {
            return;
        };
        let holders = heads().filter(|(_, _, head)| head.applied >= index);
        let nearest = holders.min_by_key(|(_, address, _)| self.replicas.rank(address));
        let Some((token, address, _)) = nearest else {
            return;
        };
        if !self.may_ask_for_state(now, token) {
            return;
        }
        event!(Event::StateFetched, replica = address, index = index);
        self.note_asked(now, token);
        if let Some(link) = self.links.get_mut(&token) {
            link.send(&ToReplica::FetchState);
        }
    }
}
