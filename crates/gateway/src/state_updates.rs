//! Applies what the directory sends: states, log entries, changes that are undecided without a leader, the number
//! of gateways and permits.

use std::time::Duration;

use grebepin_telemetry::{age_ms, event, Event};
use mio::Token;

use crate::change_time::ChangeTime;
use crate::event_loop::EventLoop;
use crate::follow::Update;
use crate::in_flight::InFlightId;
use crate::table::TableChange;
use crate::undecided::UndecidedChanges;

impl EventLoop {
    pub(crate) fn on_directory(&mut self, token: Token) {
        let now = self.now();
        // Taken before the updates: whatever they bring was acknowledged after this time.
        let age_before = self.directory.state_age(now);
        let acknowledged_after = age_before.map(|age| now.saturating_sub(age));
        let updates = self.directory.on_event(now, token, self.table.applied());
        let mut change = TableChange::default();
        let mut permits = Vec::new();
        // While changes are undecided, this gateway cannot tell how long ago an evacuation began.
        let mut follows_log = self.table.undecided().is_empty();
        for update in updates {
            follows_log &= !matches!(update, Update::Snapshot { .. });
            let one = match update {
                Update::Snapshot {
                    index,
                    catalog,
                    undecided,
                } => {
                    let undecided = undecided.unwrap_or_else(|| self.table.undecided().clone());
                    self.table.replace(index, *catalog, undecided)
                }
                Update::Undecided(undecided) => self.change_undecided(undecided),
                Update::Entries(entries) => self.apply_entries(&entries),
                Update::Permit { id, permit } => {
                    permits.push((InFlightId(id), permit));
                    TableChange::default()
                }
                Update::Gateways(count) => {
                    self.retry_budgets.set_gateways(count);
                    self.load_balancer
                        .set_gateways(self.retry_budgets.gateways());
                    TableChange::default()
                }
            };
            change.servers |= one.servers;
            change.owners |= one.owners;
            change.items.extend(one.items);
            change.draining.extend(one.draining);
        }
        self.directory.note_applied(self.table.applied());
        self.log_items(&change.items);
        if let Some(one) = self.end_undecided(now) {
            change.servers |= one.servers;
            change.owners |= one.owners;
        }
        for id in &change.draining {
            let time = ChangeTime {
                read_at: now,
                acknowledged_after,
            };
            self.leaving.note(id, time);
        }
        if change.servers {
            // A snapshot, or changes that were undecided, do not show when an evacuation began.
            let acknowledged_after = acknowledged_after.filter(|_| follows_log);
            self.update_evacuations(ChangeTime {
                read_at: now,
                acknowledged_after,
            });
            self.warmup.update(now, self.table.cold_servers());
        }
        if change.owners {
            self.dispatch_awaiting_owner();
        }
        for (request, permit) in permits {
            self.on_permit(request, permit);
        }
        self.log_readiness();
        self.log_state_age();
    }

    /// Replaces the undecided changes while there is no leader.
    fn change_undecided(&mut self, undecided: UndecidedChanges) -> TableChange {
        if undecided == *self.table.undecided() {
            return TableChange::default();
        }
        event!(
            Event::StateUndecided,
            applied = self.table.applied(),
            undecided = undecided.len()
        );
        self.table.set_undecided(undecided)
    }

    /// Ends the undecided changes, if there are any, once the state contains every acknowledged change.
    fn end_undecided(&mut self, now: Duration) -> Option<TableChange> {
        let applied = self.table.applied();
        let touched = self.table.undecided().len();
        if touched == 0 || !self.directory.is_decided(now, applied) {
            return None;
        }
        event!(Event::StateDecided, applied = applied, undecided = touched);
        Some(self.table.end_undecided())
    }

    /// Applies the set of evacuated zones, of which the new ones were evacuated at `time`.
    fn update_evacuations(&mut self, time: ChangeTime) {
        let zones = self.table.evacuated_zones();
        for change in self.evacuations.update(time, zones) {
            event!(
                Event::EvacuationInForce,
                zone = change.zone,
                evacuated = change.evacuated,
                applied = self.table.applied(),
                state_age_ms = age_ms(
                    time.acknowledged_after
                        .map(|after| time.read_at.saturating_sub(after))
                )
            );
        }
    }

    fn apply_entries(&mut self, entries: &[(u64, grebepin_catalog::Entry)]) -> TableChange {
        let change = self.table.apply(entries);
        if let Some(relay) = &mut self.relay {
            relay.feed(entries, &self.table);
        }
        let newest = entries.last().map_or(0, |(index, _)| *index);
        if newest > self.table.applied() {
            self.directory.resync(self.table.applied());
        }
        change
    }
}
