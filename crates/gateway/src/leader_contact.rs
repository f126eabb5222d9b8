//! Whether a leader's changes reach this gateway, so that acknowledged ones must be in force here.
//!
//! A gateway without contact can't know of changes and serves by the state that it has. One with contact must not: what
//! it lacks was acknowledged as in force at all gateways that reach the directory.

use std::time::Duration;

/// Silence after which contact is lost. Sources send a message every 500 ms; links that are silent for 1.6 s are closed.
const TIMEOUT: Duration = Duration::from_millis(1_600);

/// Contact with replicas or relays that have contact with a leader themselves.
#[derive(Debug, Default)]
pub struct LeaderContact {
    /// Beginning and end so far of the last uninterrupted contact.
    period: Option<(Duration, Duration)>,
}

impl LeaderContact {
    /// Records a message that shows contact with a leader.
    pub fn note(&mut self, now: Duration) {
        let since = match self.period {
            Some((since, last)) if now <= last + TIMEOUT => since,
            _ => now,
        };
        self.period = Some((since, now));
    }

    /// Records that no source has contact with a leader any longer.
    pub fn end(&mut self) {
        self.period = None;
    }

    /// How long contact has lasted without interruption; `None` without contact.
    pub fn held_for(&self, now: Duration) -> Option<Duration> {
        let (since, last) = self.period?;
        (now <= last + TIMEOUT).then(|| now.saturating_sub(since))
    }
}
