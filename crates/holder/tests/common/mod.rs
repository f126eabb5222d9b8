//! A holder under test, with short forms of the messages that it receives.
#![allow(dead_code)]

use std::time::Duration;

use grebepin_holder::{Begun, Effect, GrantOutcome, Guards, Holder, HolderConfig, Permit, Request};
use grebepin_schema::{
    CancelAnswer, CancelRequest, Epoch, Grant, GrantRefusalReason, GrantRequest, GroupId,
    HandoverAnswer, HeartbeatAnswer, HeartbeatRequest, HeldShard, LeaseRenewal, Nonce,
    PreviousOwner, Refusal, ReleaseAnswer, ReleaseRequest, RequestId, RequestState, Session,
    ShardId, ShardKey, Term,
};

pub const GROUP: GroupId = GroupId(1);
pub const LEASE_MS: u64 = 1000;
pub const BOOT: u64 = 7_000;

pub fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

pub fn key(shard: u32) -> ShardKey {
    ShardKey {
        service: "ledger".parse().unwrap(),
        shard: ShardId(shard),
    }
}

pub fn held(shard: u32, epoch: u64) -> HeldShard {
    HeldShard {
        service: "ledger".parse().unwrap(),
        shard: ShardId(shard),
        epoch: Epoch(epoch),
    }
}

pub fn id(name: &str) -> RequestId {
    name.parse().unwrap()
}

pub fn previous(epoch: u64, released: bool) -> PreviousOwner {
    PreviousOwner {
        server: "before".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        epoch: Epoch(epoch),
        released,
    }
}

/// First attempt of a non-repeatable request of shard 0.
pub fn request(name: &str, epoch: u64) -> Request {
    Request {
        service: "ledger".parse().unwrap(),
        shard: ShardId(0),
        epoch: Epoch(epoch),
        key: "customer".into(),
        request_id: id(name),
        attempt: 1,
        repeatable: false,
        deadline_left: ms(500),
    }
}

pub fn resend(name: &str, epoch: u64) -> Request {
    Request {
        attempt: 2,
        ..request(name, epoch)
    }
}

pub struct Server {
    pub holder: Holder,
    pub nonce: Nonce,
    pub session: Session,
    pub term: Term,
}

impl Server {
    pub fn new(guards: Guards) -> Self {
        let config = HolderConfig {
            guards,
            ..HolderConfig::new(BOOT)
        };
        Self::with_config(config)
    }

    pub fn with_config(config: HolderConfig) -> Self {
        let boot = config.boot;
        Self {
            holder: Holder::new(config),
            nonce: Nonce(0),
            session: Session(boot),
            term: Term(1),
        }
    }

    /// A server with a lease from 0 ms to `LEASE_MS`.
    pub fn leased(guards: Guards) -> Self {
        let mut server = Self::new(guards);
        server.leader_heartbeat(0, false);
        assert!(server.leader_heartbeat(0, true).renewed);
        server
    }

    /// As `leased`, with shard 0 held as its first owner at epoch 5.
    pub fn serving(guards: Guards) -> Self {
        let mut server = Self::leased(guards);
        assert_eq!(server.grant(0, 0, 5, None), None);
        server
    }

    pub fn heartbeat(&mut self, at: u64, lease: Option<LeaseRenewal>) -> HeartbeatAnswer {
        let request = HeartbeatRequest {
            group: GROUP,
            term: self.term,
            server: "server".parse().unwrap(),
            lease,
        };
        self.holder.heartbeat(ms(at), &request)
    }

    pub fn renewal(&self) -> LeaseRenewal {
        LeaseRenewal {
            session: self.session,
            nonce: self.nonce,
            duration_ms: LEASE_MS,
        }
    }

    /// Sends a heartbeat as a leader does: a renewal carries the newest nonce and session.
    pub fn leader_heartbeat(&mut self, at: u64, renew: bool) -> HeartbeatAnswer {
        let renewal = renew.then(|| self.renewal());
        let answer = self.heartbeat(at, renewal);
        self.nonce = answer.nonce;
        self.session = answer.session;
        answer
    }

    /// Renews the lease with a nonce issued at `at`.
    pub fn renew_at(&mut self, at: u64) {
        self.leader_heartbeat(at, false);
        assert!(self.leader_heartbeat(at, true).renewed);
    }

    pub fn grant_outcome(
        &mut self,
        at: u64,
        shard: u32,
        epoch: u64,
        previous: Option<PreviousOwner>,
    ) -> GrantOutcome {
        let request = GrantRequest {
            group: GROUP,
            term: self.term,
            session: self.session,
            grants: vec![Grant {
                service: "ledger".parse().unwrap(),
                shard: ShardId(shard),
                epoch: Epoch(epoch),
                previous,
            }],
        };
        self.holder.grant(ms(at), &request)
    }

    /// Sends a grant; returns the reason if it was refused.
    pub fn grant(
        &mut self,
        at: u64,
        shard: u32,
        epoch: u64,
        previous: Option<PreviousOwner>,
    ) -> Option<GrantRefusalReason> {
        let outcome = self.grant_outcome(at, shard, epoch, previous);
        let refused = outcome.answer.refused.first().map(|refusal| refusal.reason);
        assert_eq!(outcome.answer.accepted.is_empty(), refused.is_some());
        refused
    }

    pub fn release(&mut self, at: u64, shard: u32, epoch: u64) -> ReleaseAnswer {
        let request = ReleaseRequest {
            group: GROUP,
            term: self.term,
            shards: vec![held(shard, epoch)],
        };
        self.holder.release(ms(at), &request)
    }

    pub fn begin(&mut self, at: u64, request: &Request) -> Result<Permit, Refusal> {
        match self.holder.begin(ms(at), request)? {
            Begun::Run(permit) => Ok(permit),
            Begun::RanEarlier => panic!("ran earlier"),
        }
    }

    /// Runs a request to its end; `false` if an earlier attempt ran.
    pub fn run(&mut self, at: u64, request: &Request) -> Result<bool, Refusal> {
        let permit = match self.holder.begin(ms(at), request)? {
            Begun::Run(permit) => permit,
            Begun::RanEarlier => return Ok(false),
        };
        self.complete(at, permit).map(|()| true)
    }

    /// Finishes a begun request, with its effect if that is allowed.
    pub fn complete(&mut self, at: u64, permit: Permit) -> Result<(), Refusal> {
        let allowed = self.holder.before_effect(ms(at), &permit);
        let effect = match allowed {
            Ok(()) => Effect::Made,
            Err(_) => Effect::NotMade,
        };
        self.holder.finish(ms(at), permit, effect);
        allowed
    }

    pub fn cancel(
        &mut self,
        at: u64,
        name: &str,
        epoch: u64,
        attempt: Option<u32>,
    ) -> CancelAnswer {
        let request = CancelRequest {
            service: "ledger".parse().unwrap(),
            shard: ShardId(0),
            epoch: Epoch(epoch),
            request_id: id(name),
        };
        self.holder.cancel(ms(at), &request, attempt)
    }

    pub fn outcome(&mut self, at: u64, name: &str) -> RequestState {
        self.holder.outcome(ms(at), &key(0), &id(name)).state
    }

    pub fn complete_handover(&mut self, at: u64, epoch: u64, answer: Option<HandoverAnswer>) {
        self.holder
            .complete_handover(ms(at), &held(0, epoch), answer.as_ref());
    }
}
