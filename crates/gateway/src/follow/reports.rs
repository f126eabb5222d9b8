//! Reports and permit requests to replicas.

use std::time::Duration;

use grebepin_directory::confirmed_state::report_time;
use grebepin_directory::crashes::CrashReport;
use grebepin_directory::link::{GatewayReport, PermitRequest, ToReplica};
use grebepin_grants::LoadSample;
use mio::Token;

use super::DirectoryClient;
use crate::crash_history::CrashHistory;
use crate::load::LoadCounts;

/// Interval between two reports to a replica that is not followed.
const REPORT_INTERVAL: Duration = Duration::from_millis(1_000);

/// The same for the followed replica, whose answers confirm how old the state is.
const FOLLOWED_REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// The same while requests wait for capacity, or after a server crashed.
const URGENT_REPORT_INTERVAL: Duration = Duration::from_millis(300);

/// What the next report to the directory contains.
pub struct ReportContent<'a> {
    /// Load counted since the last report.
    pub load: &'a mut LoadCounts,
    /// Crashes of servers.
    pub crashes: &'a mut CrashHistory,
}

impl ReportContent<'_> {
    /// Whether the report should be sent early.
    fn is_urgent(&self) -> bool {
        self.load.is_overloaded() || self.crashes.has_unreported()
    }
}

impl DirectoryClient {
    /// Sends reports that are due: to every linked replica that this gateway is alive, and to the followed
    /// one also load and crashes.
    pub(super) fn report(&mut self, now: Duration, content: ReportContent<'_>) {
        let followed_interval = match content.is_urgent() {
            true => URGENT_REPORT_INTERVAL,
            false => FOLLOWED_REPORT_INTERVAL,
        };
        let links = self.links.iter();
        let due = links.filter(|(token, link)| {
            let interval = match self.followed == Some(**token) {
                true => followed_interval,
                false => REPORT_INTERVAL,
            };
            link.connected && link.last_report.is_none_or(|at| now >= at + interval)
        });
        let due: Vec<Token> = due.map(|(token, _)| *token).collect();
        for token in due {
            let (load, crashes) = match self.followed == Some(token) {
                true => (content.load.take(), content.crashes.reports(now)),
                false => (LoadSample::default(), Vec::new()),
            };
            self.send_report(now, token, load, crashes);
        }
    }

    pub(super) fn send_report(
        &mut self,
        now: Duration,
        token: Token,
        load: LoadSample,
        crashes: Vec<CrashReport>,
    ) {
        let Some(link) = self.links.get_mut(&token) else {
            return;
        };
        link.last_report = Some(now);
        let frame = ToReplica::Report(GatewayReport {
            node: self.node.clone(),
            relay: self.relays.own().to_owned(),
            load,
            crashes,
            sent_at_ms: report_time(now),
        });
        link.send(&frame);
    }

    /// Requests a permit from the leader through the followed replica; returns whether there is a leader to
    /// ask.
    pub fn request_permit(&mut self, now: Duration, request: PermitRequest) -> bool {
        let followed = self.fed_link(now);
        let link = followed.and_then(|token| self.links.get_mut(&token));
        let Some(link) = link else {
            return false;
        };
        link.send(&ToReplica::TakePermit(request));
        true
    }
}
