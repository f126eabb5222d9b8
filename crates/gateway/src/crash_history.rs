//! Servers that crashed while they ran a request of this gateway, and the fingerprints of these requests.
//!
//! A crash is recorded only when the server ended the connection before it sent any byte of a response and
//! then refused a new connection. A server that is short of resources or occasionally drops a connection
//! still accepts new ones.

use std::collections::VecDeque;
use std::time::Duration;

use grebepin_catalog::{Fingerprint, InstanceId};
use grebepin_directory::crashes::CrashReport;
use grebepin_reactor::http::Request;
use xxhash_rust::xxh3::Xxh3;

use crate::headers::HeaderNames;

/// Time for which a crash is kept. A request that crashes servers is repeated within it or is too rare to
/// matter.
const RETENTION: Duration = Duration::from_secs(120);

/// Maximum number of crashes kept; the oldest is dropped first.
const MAX_CRASHES: usize = 32;

/// Fingerprint of a request: a hash of everything that determines the work of a server (method, host, target,
/// shard key, body), and of nothing that changes between two attempts, such as the request id or the
/// deadline.
pub fn fingerprint(request: &Request, names: &HeaderNames) -> Fingerprint {
    let mut hasher = Xxh3::new();
    let field = |name: &str| request.fields.get(name).unwrap_or_default();
    let parts = [
        request.method.as_bytes(),
        field("host").as_bytes(),
        request.target.as_bytes(),
        field(names.shard_key).as_bytes(),
        &request.body,
    ];
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    Fingerprint::from_hash(hasher.digest128())
}

#[derive(Clone, Debug)]
struct Crash {
    fingerprint: Fingerprint,
    server: InstanceId,
    at: Duration,
}

/// Crashes within [`RETENTION`], at most [`MAX_CRASHES`], oldest first.
#[derive(Debug, Default)]
pub struct CrashHistory {
    crashes: VecDeque<Crash>,
    has_unreported: bool,
}

impl CrashHistory {
    /// Records that a server crashed while it ran a request. The same server and request are recorded once.
    pub fn note_crash(&mut self, now: Duration, fingerprint: Fingerprint, server: &InstanceId) {
        let is_same = |one: &Crash| one.fingerprint == fingerprint && one.server == *server;
        if self.crashes.iter().any(is_same) {
            return;
        }
        if self.crashes.len() == MAX_CRASHES {
            self.crashes.pop_front();
        }
        self.crashes.push_back(Crash {
            fingerprint,
            server: server.clone(),
            at: now,
        });
        self.has_unreported = true;
    }

    /// Whether no crash is recorded.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Whether a crash is recorded for a request.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        let mut crashes = self.crashes.iter();
        crashes.any(|one| one.fingerprint == fingerprint)
    }

    /// Drops the crashes of a request after a server completed it: it did not cause them.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        self.crashes.retain(|one| one.fingerprint != fingerprint);
    }

    /// Drops the crashes recorded after `at`, from when on this gateway heard no server: what ended the connections
    /// was most likely the path to the servers.
    pub fn forget_since(&mut self, at: Duration) {
        self.crashes.retain(|one| one.at <= at);
    }

    /// Whether a crash has been recorded since the last report.
    pub fn has_unreported(&self) -> bool {
        self.has_unreported
    }

    /// Drops expired crashes and returns all others, for a report to the directory. Each crash is part of
    /// every report until it expires.
    pub fn reports(&mut self, now: Duration) -> Vec<CrashReport> {
        self.has_unreported = false;
        self.crashes.retain(|one| now < one.at + RETENTION);
        let reports = self.crashes.iter().map(|one| CrashReport {
            fingerprint: one.fingerprint,
            server: one.server.clone(),
            age: now.saturating_sub(one.at),
        });
        reports.collect()
    }
}
