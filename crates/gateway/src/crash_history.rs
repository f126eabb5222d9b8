//! Servers that crashed while they ran a request of this gateway, and which request that was.
//!
//! A crash is remembered only when the server ended the connection before any byte of an answer and then refused a
//! new one: a server that is short of room, or drops a connection now and then, is still there.

use std::collections::VecDeque;
use std::time::Duration;

use grebepin_catalog::{Fingerprint, InstanceId};
use grebepin_directory::crashes::CrashReport;
use grebepin_reactor::http::Request;
use xxhash_rust::xxh3::Xxh3;

use crate::headers::HeaderNames;

/// Time for which a crash is remembered: a request that crashes servers comes again within it, or is rare enough.
const LIFETIME: Duration = Duration::from_secs(120);

/// Crashes that are remembered at most; the oldest gives way.
const MOST: usize = 32;

/// What a request is: everything that makes a server run the same work, and nothing that changes between two tries of
/// it, such as its id or its deadline.
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

/// One crash.
#[derive(Clone, Debug)]
struct Crash {
    fingerprint: Fingerprint,
    server: InstanceId,
    at: Duration,
}

/// The crashes of late.
#[derive(Debug, Default)]
pub struct CrashHistory {
    crashes: VecDeque<Crash>,
    has_unreported: bool,
}

impl CrashHistory {
    /// A server crashed while it ran a request.
    pub fn note_crash(&mut self, now: Duration, fingerprint: Fingerprint, server: &InstanceId) {
        let is_same = |one: &Crash| one.fingerprint == fingerprint && one.server == *server;
        if self.crashes.iter().any(is_same) {
            return;
        }
        if self.crashes.len() == MOST {
            self.crashes.pop_front();
        }
        self.crashes.push_back(Crash {
            fingerprint,
            server: server.clone(),
            at: now,
        });
        self.has_unreported = true;
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Whether a server crashed while it ran a request.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        let mut crashes = self.crashes.iter();
        crashes.any(|one| one.fingerprint == fingerprint)
    }

    /// A server ran a request to its end: the crashes were not its doing.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        self.crashes.retain(|one| one.fingerprint != fingerprint);
    }

    /// Whether a crash was never told.
    pub fn has_unreported(&self) -> bool {
        self.has_unreported
    }

    /// What the directory is told now, and again with each report.
    pub fn reports(&mut self, now: Duration) -> Vec<CrashReport> {
        self.has_unreported = false;
        self.crashes.retain(|one| now < one.at + LIFETIME);
        let reports = self.crashes.iter().map(|one| CrashReport {
            fingerprint: one.fingerprint,
            server: one.server.clone(),
            age: now.saturating_sub(one.at),
        });
        reports.collect()
    }
}
