//! Handling of calls on the leader, relaying of calls on other replicas, and the periodic work of a leader.

use std::collections::BTreeMap;
use std::time::Duration;

use grebepin_catalog::{Command, Entry, InstanceId, InstanceState, Item, ItemChange, ItemContent};
use grebepin_consensus::ProposeError;
use grebepin_grants::{Coordinator, Grant, Heartbeat, HeartbeatOutcome};
use grebepin_reactor::encode_frame;
use grebepin_schema::{LogIndex, Member, ReplicaId, Term};
use grebepin_storage::Disk;

use super::messages::{CallId, NodeOutput, Notice};
use super::pending_calls::EntryWaiter;
use super::Node;
use crate::call::{
    Call, CallBasis, GrantedKeys, GrantedRange, ItemDocument, Reply, UnavailableReason,
};
use crate::crashes::CrashTracker;

/// Why a heartbeat of a sharded service is rejected.
const HOLDS_MISSING: &str = "the service is sharded, and the heartbeat does not list the keys held";

/// State of an uninterrupted period of leadership.
pub(super) struct Leadership {
    pub(super) term: Term,
    pub(super) coordinator: Coordinator,
    pub(super) crashes: CrashTracker,
    pub(super) next_tick: Duration,
    pub(super) started_at: Duration,
    /// Replicas that asked to join, or that report a zone other than the one in the membership.
    pub(super) pending_members: BTreeMap<ReplicaId, Member>,
    /// Whether the group had fewer voters than wanted at the last check.
    pub(super) is_short_of_voters: bool,
}

impl<D: Disk> Node<D> {
    /// Whether this replica leads, has applied everything acknowledged before its term, and is within its
    /// leader lease.
    pub fn holds_leader_lease(&self, now: Duration) -> bool {
        let lease = self.consensus.leader_lease_until().unwrap_or_default();
        self.leadership.is_some() && now < lease
    }

    /// Starts, ends and ticks the leadership according to the consensus state.
    pub(super) fn update_leadership(&mut self, now: Duration) {
        let term = self.consensus.term();
        if self.leadership.as_ref().is_some_and(|one| one.term != term) {
            self.end_leadership();
        }
        let applied_all = self.applied >= self.consensus.commit();
        if self.leadership.is_none() && self.consensus.has_committed_in_term() && applied_all {
            self.begin_leadership(now, term);
        }
        self.tick_leadership(now);
    }

    fn begin_leadership(&mut self, now: Duration, term: Term) {
        // `now` is after the election, so it is an upper bound for the start of every lease that an earlier
        // leader granted.
        let coordinator = Coordinator::new(self.config.timing.leases, now);
        self.leadership = Some(Leadership {
            term,
            coordinator,
            crashes: CrashTracker::default(),
            next_tick: now,
            started_at: now,
            pending_members: BTreeMap::new(),
            is_short_of_voters: false,
        });
        self.push_notice(Notice::Leads { term: term.0 });
        self.outputs.push(NodeOutput::LeadershipChanged);
    }

    pub(super) fn end_leadership(&mut self) {
        if self.leadership.take().is_some() {
            let term = self.consensus.term().0;
            self.push_notice(Notice::Follows { term });
            self.outputs.push(NodeOutput::LeadershipChanged);
        }
        for call in self.pending_calls.take_all() {
            self.reply(call, Reply::Unavailable(UnavailableReason::LostLeadership));
        }
    }

    fn tick_leadership(&mut self, now: Duration) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        if now < leadership.next_tick {
            return;
        }
        leadership.next_tick = now + self.config.timing.tick;
        let mut commands = leadership.coordinator.tick(now, &self.catalog);
        commands.extend(leadership.crashes.due_commands(now, &self.catalog));
        if !commands.is_empty() {
            // Commands that cannot be proposed now are generated again at a later tick.
            let _ = self.propose(now, commands);
        }
        self.change_membership_if_due(now);
        self.report_voter_count();
    }

    pub(super) fn handle_call(&mut self, now: Duration, id: CallId, call: Call, basis: CallBasis) {
        if self.leadership.is_none() {
            return self.relay(id, call, basis);
        }
        match call {
            Call::Heartbeat(heartbeat) => self.handle_heartbeat(now, id, heartbeat),
            Call::Leave(server) => self.handle_leave(now, id, server),
            Call::ChangeItems(change) => self.handle_change(now, id, change),
            Call::ReadItems => self.handle_read(now, id),
            Call::SetEvacuation { zone, evacuated } => {
                self.handle_evacuation(now, id, zone, evacuated, basis);
            }
        }
    }

    fn relay(&mut self, id: CallId, call: Call, basis: CallBasis) {
        let leader = self
            .consensus
            .leader()
            .filter(|leader| *leader != self.replica);
        let members = &self.consensus.membership().members;
        let member = leader.and_then(|leader| members.iter().find(|one| one.replica == leader));
        let output = match member {
            Some(member) => NodeOutput::Relay {
                id,
                address: member.peer_address.to_string(),
                endpoint: member.admin_address.to_string(),
                call,
                basis,
            },
            None => NodeOutput::Reply {
                id,
                reply: Reply::Unavailable(UnavailableReason::NoLeader),
            },
        };
        self.outputs.push(output);
    }

    fn handle_heartbeat(&mut self, now: Duration, id: CallId, heartbeat: Heartbeat) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let coordinator = &mut leadership.coordinator;
        let outcome = coordinator.on_heartbeat(now, &self.catalog, &heartbeat);
        for decision in coordinator.take_address_decisions() {
            self.push_notice(Notice::AddressClaimed(decision));
        }
        match outcome {
            HeartbeatOutcome::Stale => self.reply(
                id,
                Reply::Heartbeat {
                    grant: None,
                    endpoint: None,
                },
            ),
            HeartbeatOutcome::Incomplete => {
                self.reply(id, Reply::Invalid(HOLDS_MISSING.to_owned()));
            }
            HeartbeatOutcome::Fresh(commands) if commands.is_empty() => {
                self.answer_heartbeat(now, id, &heartbeat)
            }
            HeartbeatOutcome::Fresh(commands) => {
                self.propose_for(
                    now,
                    commands,
                    EntryWaiter::Heartbeat(id, Box::new(heartbeat)),
                );
            }
        }
    }

    /// Answers a heartbeat whose commands are applied.
    pub(super) fn answer_heartbeat(&mut self, now: Duration, id: CallId, heartbeat: &Heartbeat) {
        if !self.holds_leader_lease(now) {
            return self.reply(id, Reply::Unavailable(UnavailableReason::LeaseOver));
        }
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let grant = leadership.coordinator.grant(now, &self.catalog, heartbeat);
        let reply = Reply::Heartbeat {
            grant: grant.map(granted_keys),
            endpoint: None,
        };
        self.reply(id, reply);
    }

    fn handle_leave(&mut self, now: Duration, id: CallId, server: InstanceId) {
        let server = self.leaving_incarnation(server);
        let known = self.catalog.instance(&server).map(|known| known.state);
        let command = match known {
            Some(InstanceState::Ready) => Command::SetState {
                id: server,
                state: InstanceState::Draining,
            },
            // Its first heartbeat may still be on its way, or its heartbeats may be held up.
            None => Command::RecordLeave { id: server },
            Some(_) if self.catalog.is_suspended(&server) => Command::RecordLeave { id: server },
            Some(_) if self.holds_leader_lease(now) => return self.reply(id, Reply::Left),
            Some(state) => Command::SetState { id: server, state },
        };
        self.propose_for(now, vec![command], EntryWaiter::Leave(id));
    }

    /// The incarnation that a leave call refers to: the latest known one if the call does not state its start
    /// time.
    fn leaving_incarnation(&self, server: InstanceId) -> InstanceId {
        if server.has_start_time() {
            return server;
        }
        let latest = self.catalog.latest_incarnation(&server);
        latest.map_or(server, |latest| latest.id.clone())
    }

    fn handle_change(&mut self, now: Duration, id: CallId, change: ItemChange) {
        if !self.holds_leader_lease(now) {
            return self.reply(id, Reply::Unavailable(UnavailableReason::LeaseOver));
        }
        if self.awaits_voters(now) {
            return self.reply(id, Reply::Unavailable(UnavailableReason::FewVoters));
        }
        // Checked here and again when applied: another change may be committed in between.
        if let Err(error) = self.catalog.items().check(&change) {
            return self.reply(id, Reply::Invalid(error.to_string()));
        }
        // All of it is committed, as when an operator repeats a change whose reply was lost.
        if !self.catalog.items().has_newer_versions(&change) {
            return self.reply(id, Reply::Changed);
        }
        self.propose_for(
            now,
            vec![Command::ChangeItems(change)],
            EntryWaiter::Change(id),
        );
    }

    /// Proposes the start or end of an evacuation even if it is already in force: the call may be a retry
    /// after a lost reply, and only a newly committed entry proves that no earlier leader's decision is
    /// stale.
    fn handle_evacuation(
        &mut self,
        now: Duration,
        id: CallId,
        zone: String,
        evacuated: bool,
        basis: CallBasis,
    ) {
        if !self.holds_leader_lease(now) {
            return self.reply(id, Reply::Unavailable(UnavailableReason::LeaseOver));
        }
        if self.awaits_voters(now) {
            return self.reply(id, Reply::Unavailable(UnavailableReason::FewVoters));
        }
        if !self.config.is_known_zone(&zone) {
            return self.reply(id, Reply::UnknownZone(zone));
        }
        let command = Command::SetEvacuation {
            zone,
            evacuated,
            known_call: basis.evacuation_call,
        };
        self.propose_for(now, vec![command], EntryWaiter::Evacuation(id));
    }

    fn handle_read(&mut self, now: Duration, id: CallId) {
        match self.consensus.request_read(now) {
            Ok(read) => self.pending_calls.add_read(read, id),
            Err(error) => self.reply(id, Reply::Unavailable(reason(&error))),
        }
    }

    pub(super) fn answer_reads(&mut self) {
        let calls = self.pending_calls.take_confirmed(self.applied);
        if calls.is_empty() {
            return;
        }
        let items = self.catalog.items().in_force().map(document).collect();
        self.outputs.push(NodeOutput::Items { calls, items });
    }

    fn propose_for(&mut self, now: Duration, commands: Vec<Command>, waiter: EntryWaiter) {
        match self.propose(now, commands) {
            Ok((term, index)) => self.pending_calls.add_entry(term, index, waiter),
            Err(reason) => self.reply(waiter.call(), Reply::Unavailable(reason)),
        }
    }

    fn propose(
        &mut self,
        now: Duration,
        commands: Vec<Command>,
    ) -> Result<(Term, LogIndex), UnavailableReason> {
        let mut frame = Vec::new();
        encode_frame(&Entry { commands }, &mut frame).map_err(|_| UnavailableReason::Overloaded)?;
        frame.drain(..4);
        self.consensus
            .propose(now, frame)
            .map_err(|error| reason(&error))
    }

    pub(super) fn reply(&mut self, id: CallId, reply: Reply) {
        self.outputs.push(NodeOutput::Reply { id, reply });
    }
}

fn reason(error: &ProposeError) -> UnavailableReason {
    match error {
        ProposeError::NotLeader { .. } => UnavailableReason::NoLeader,
        _ => UnavailableReason::Overloaded,
    }
}

fn granted_keys(grant: Grant) -> GrantedKeys {
    let rows = grant.rows.into_iter().map(|range| GrantedRange {
        from: range.from,
        to: range.to,
        fence: range.fence,
        handover: range.handover,
    });
    GrantedKeys {
        rows: rows.collect(),
        lease: grant.lease,
    }
}

fn document(item: &Item) -> ItemDocument {
    let host = match &item.content {
        ItemContent::Route(route) => route.host.clone(),
        _ => String::new(),
    };
    ItemDocument {
        kind: item.content.kind(),
        host,
        document: item.document.clone(),
    }
}
