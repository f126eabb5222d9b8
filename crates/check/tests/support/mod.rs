//! Constructors for history records.
#![allow(dead_code)]

use grebepin_schema::*;

pub fn at(milliseconds: u64, event: HistoryEvent) -> HistoryRecord {
    HistoryRecord {
        at_us: milliseconds * 1_000,
        event,
    }
}

pub fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a valid name")
}

fn holding(server: &str, epoch: u64) -> Holding {
    Holding {
        server: name(server),
        service: name("ledger"),
        shard: ShardId(0),
        epoch: Epoch(epoch),
    }
}

pub fn acquired(server: &str, epoch: u64) -> HistoryEvent {
    HistoryEvent::Acquired(holding(server, epoch))
}

pub fn forfeited(server: &str, epoch: u64) -> HistoryEvent {
    HistoryEvent::Forfeited(holding(server, epoch))
}

fn work(server: &str, epoch: u64, request: &str, repeatable: bool) -> EffectRecord {
    EffectRecord {
        server: name(server),
        service: name("ledger"),
        shard: ShardId(0),
        epoch: Epoch(epoch),
        key: "customer-1".to_string(),
        request_id: name(request),
        repeatable,
    }
}

pub fn effect(server: &str, epoch: u64, request: &str) -> HistoryEvent {
    HistoryEvent::Effect(work(server, epoch, request, false))
}

pub fn repeatable_effect(server: &str, epoch: u64, request: &str) -> HistoryEvent {
    HistoryEvent::Effect(work(server, epoch, request, true))
}

pub fn started(server: &str, epoch: u64, request: &str) -> HistoryEvent {
    HistoryEvent::WorkStarted(work(server, epoch, request, false))
}

pub fn ended(server: &str, epoch: u64, request: &str) -> HistoryEvent {
    HistoryEvent::WorkEnded(work(server, epoch, request, false))
}

pub fn cut(server: &str, request: &str) -> HistoryEvent {
    HistoryEvent::Cut(work(server, 1, request, false))
}

pub fn sent(request: &str, attempt: u32) -> HistoryEvent {
    HistoryEvent::Sent(CallerAttempt {
        service: name("ledger"),
        class: name("payout"),
        key: "customer-1".to_string(),
        request_id: name(request),
        attempt,
        repeatable: false,
        router: "router-1".to_string(),
    })
}

pub fn finished(request: &str, attempt: u32, outcome: Option<Outcome>) -> HistoryEvent {
    let answered = outcome == Some(Outcome::Answered);
    answer(
        request,
        attempt,
        outcome,
        answered.then_some(request),
        answered.then_some(true),
    )
}

pub fn answer(
    request: &str,
    attempt: u32,
    outcome: Option<Outcome>,
    answer_for: Option<&str>,
    whole: Option<bool>,
) -> HistoryEvent {
    HistoryEvent::Finished(CallerAnswer {
        request_id: name(request),
        attempt,
        latency_us: 1_000,
        outcome,
        answer_for: answer_for.map(name),
        whole,
    })
}

fn assignment(server: &str, epoch: u64, previous: Option<u64>) -> AssignmentRecord {
    AssignmentRecord {
        service: name("ledger"),
        shard: ShardId(0),
        epoch: Epoch(epoch),
        replica: ReplicaId(1),
        server: Some(name(server)),
        previous: previous.map(Epoch),
    }
}

pub fn acknowledged(server: &str, epoch: u64) -> HistoryEvent {
    HistoryEvent::Acknowledged(assignment(server, epoch, None))
}

/// An assignment applied by replica 2; the other constructors record replica 1.
pub fn believed_by_follower(server: &str, epoch: u64) -> HistoryEvent {
    let record = assignment(server, epoch, None);
    HistoryEvent::Believed(AssignmentRecord {
        replica: ReplicaId(2),
        ..record
    })
}

pub fn lost_state() -> HistoryEvent {
    let record = assignment("a", 0, None);
    HistoryEvent::Believed(AssignmentRecord {
        server: None,
        ..record
    })
}

pub fn believed(server: &str, epoch: u64, previous: Option<u64>) -> HistoryEvent {
    HistoryEvent::Believed(assignment(server, epoch, previous))
}

pub fn accepted(version: u64, digest: char, index: u64) -> HistoryEvent {
    HistoryEvent::Accepted(BundleRecord {
        version,
        digest: name(&digest.to_string().repeat(64)),
        index: LogIndex(index),
    })
}

pub fn in_force(incarnation: u64, version: u64, index: u64) -> HistoryEvent {
    HistoryEvent::InForce(InForceRecord {
        router: name("router-1"),
        incarnation,
        index: LogIndex(index),
        bundle_version: version,
    })
}

pub fn killed(process: &str) -> HistoryEvent {
    HistoryEvent::Killed(process.to_string())
}

pub fn frozen(process: &str) -> HistoryEvent {
    HistoryEvent::Frozen(process.to_string())
}

pub fn returned(process: &str) -> HistoryEvent {
    HistoryEvent::Returned(process.to_string())
}

pub fn leaving(server: &str) -> HistoryEvent {
    HistoryEvent::Leaving(name(server))
}

pub fn staying(server: &str) -> HistoryEvent {
    HistoryEvent::Staying(name(server))
}

pub fn stopped(server: &str) -> HistoryEvent {
    HistoryEvent::Stopped(name(server))
}
