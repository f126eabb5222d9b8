//! Decides which server an address belongs to when several servers send heartbeats with it.
//!
//! A heartbeat does not prove that its sender runs at the address: it may come from a misconfigured process elsewhere, or
//! from an earlier server there, delayed by a partition. Only the heartbeats of a live server keep coming.
//!
//! Invariant: a server of a configured service whose heartbeats keep coming keeps its address, and a server that loses its
//! address returns when its heartbeats keep coming and those of the other one do not. Who holds a shard never depends on
//! the address, only on leases and fences.

use std::time::Duration;

use grebepin_catalog::{Catalog, Instance, InstanceId};

use crate::coordinator::Coordinator;
use crate::heartbeat::Heartbeat;

/// Minimum time between two reports of refused claims, so that a faulty process does not fill the log.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Decision on a heartbeat with the address of another server, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressDecision {
    /// The address.
    pub address: String,
    /// Server that sent the heartbeat.
    pub claimant: InstanceId,
    /// Server that had the address.
    pub holder: InstanceId,
    /// Time since the holder's last heartbeat, or since this leader began to lead.
    pub holder_silence: Duration,
    /// Whether the address now belongs to the claimant.
    pub is_taken_over: bool,
    /// Number of refused claims since the last report of one, this one included; 0 if the claimant took it over.
    pub refused: u64,
}

/// Reports of decisions that were not taken by the caller yet.
#[derive(Debug, Default)]
pub(crate) struct AddressReports {
    pending: Vec<AddressDecision>,
    refused: u64,
    next_refusal_at: Duration,
}

impl AddressReports {
    fn record(&mut self, now: Duration, decision: AddressDecision) {
        if decision.is_taken_over {
            self.pending.push(decision);
            return;
        }
        self.refused += 1;
        if now >= self.next_refusal_at {
            self.next_refusal_at = now + REPORT_INTERVAL;
            let refused = std::mem::take(&mut self.refused);
            self.pending.push(AddressDecision {
                refused,
                ..decision
            });
        }
    }
}

/// Another server has the address of a heartbeat, and keeps it.
pub(crate) struct AddressHeld;

impl Coordinator {
    /// Returns the servers that the sender of a heartbeat replaces at its address.
    ///
    /// # Errors
    /// Another server keeps the address; the heartbeat must have no effect.
    pub(crate) fn claim_address(
        &mut self,
        now: Duration,
        catalog: &Catalog,
        heartbeat: &Heartbeat,
    ) -> Result<Vec<InstanceId>, AddressHeld> {
        if has_address(catalog, heartbeat) {
            return Ok(Vec::new());
        }
        let mut holders = self.addresses.live_at(catalog, &heartbeat.address);
        holders.retain(|id| *id != heartbeat.id);
        let keeps_address =
            |holder: &&InstanceId| !self.may_replace(now, catalog, heartbeat, holder);
        if let Some(holder) = holders.iter().find(keeps_address) {
            self.report(now, heartbeat, holder, false);
            return Err(AddressHeld);
        }
        for holder in &holders {
            self.report(now, heartbeat, holder, true);
        }
        Ok(holders)
    }

    fn report(
        &mut self,
        now: Duration,
        heartbeat: &Heartbeat,
        holder: &InstanceId,
        is_taken_over: bool,
    ) {
        let decision = AddressDecision {
            address: heartbeat.address.clone(),
            claimant: heartbeat.id.clone(),
            holder: holder.clone(),
            holder_silence: self.silence(now, holder),
            is_taken_over,
            refused: 0,
        };
        self.address_reports.record(now, decision);
    }

    /// Returns the decisions since the last call, for the log.
    pub fn take_address_decisions(&mut self) -> Vec<AddressDecision> {
        std::mem::take(&mut self.address_reports.pending)
    }

    /// Returns whether the sender of a heartbeat replaces a live server at its address. A restarted server replaces its
    /// earlier incarnation. A server of a service that is not configured, which no request can be sent to, replaces none
    /// of a configured one. Any other server has to wait until the holder is silent for longer than live servers are.
    fn may_replace(
        &self,
        now: Duration,
        catalog: &Catalog,
        heartbeat: &Heartbeat,
        holder: &InstanceId,
    ) -> bool {
        let is_configured = catalog.service(&heartbeat.service).is_some();
        match (is_configured, has_configured_service(catalog, holder)) {
            (false, true) => false,
            (true, false) => true,
            _ if holder.is_earlier_incarnation_of(&heartbeat.id) => true,
            _ => self.silence(now, holder) > self.timing.takeover_silence(),
        }
    }

    /// Time since the last heartbeat of a server, or since this leader began to lead if it has received none.
    fn silence(&self, now: Duration, id: &InstanceId) -> Duration {
        let last_heartbeat = self.servers.get(id).map(|server| server.last_heartbeat);
        now.saturating_sub(last_heartbeat.unwrap_or(self.leader_since))
    }
}

/// Returns whether a heartbeat names a service that is not configured although its server, or an earlier incarnation of
/// it, is registered for one that is. Such a heartbeat does not come from the server.
pub(crate) fn names_unknown_service(catalog: &Catalog, heartbeat: &Heartbeat) -> bool {
    let registered = catalog.latest_incarnation(&heartbeat.id);
    let other_service = registered.filter(|instance| instance.service != heartbeat.service);
    other_service.is_some_and(|instance| {
        catalog.is_live(&instance.id)
            && catalog.service(&instance.service).is_some()
            && catalog.service(&heartbeat.service).is_none()
    })
}

/// Returns whether the sender of a heartbeat is live and registered with its address.
fn has_address(catalog: &Catalog, heartbeat: &Heartbeat) -> bool {
    let registered = catalog.instance(&heartbeat.id);
    let at_address = |one: &&Instance| one.address == heartbeat.address;
    registered.filter(at_address).is_some() && catalog.is_live(&heartbeat.id)
}

fn has_configured_service(catalog: &Catalog, id: &InstanceId) -> bool {
    let instance = catalog.instance(id);
    instance.is_some_and(|instance| catalog.service(&instance.service).is_some())
}
