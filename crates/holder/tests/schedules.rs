//! Random schedules of messages to one server: the held shards agree with count and checksum, and
//! effects occur only within the lease and once.

mod common;

use std::collections::BTreeMap;

use common::{key, ms, previous, request, Server, GROUP};
use grebepin_holder::{Guards, Permit, Request};
use grebepin_schema::hashing::shard_hash;
use grebepin_schema::{LeaseRenewal, RequestState};
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Step {
    Heartbeat {
        renewal_age: usize,
    },
    Grant {
        epoch: u64,
        previous: Option<(u64, bool)>,
        old_session: bool,
    },
    Release {
        epoch: u64,
    },
    Begin {
        name: u8,
        epoch: u64,
        attempt: u32,
    },
    Complete {
        place: usize,
    },
    Cancel {
        name: u8,
        epoch: u64,
        attempt: Option<u32>,
    },
    Drain(bool),
}

fn step() -> impl Strategy<Value = Step> {
    let epoch = 1u64..4;
    let previous = proptest::option::of((1u64..4, any::<bool>()));
    prop_oneof![
        4 => (0usize..5).prop_map(|renewal_age| Step::Heartbeat { renewal_age }),
        2 => (epoch.clone(), previous, any::<bool>())
            .prop_map(|(epoch, previous, old_session)| Step::Grant { epoch, previous, old_session }),
        1 => epoch.clone().prop_map(|epoch| Step::Release { epoch }),
        4 => (0u8..2, epoch.clone(), 1u32..3)
            .prop_map(|(name, epoch, attempt)| Step::Begin { name, epoch, attempt }),
        4 => (0usize..3).prop_map(|place| Step::Complete { place }),
        1 => (0u8..2, epoch, proptest::option::of(1u32..3))
            .prop_map(|(name, epoch, attempt)| Step::Cancel { name, epoch, attempt }),
        1 => any::<bool>().prop_map(Step::Drain),
    ]
}

/// A server under test, with the answers and effects seen so far.
struct Run {
    server: Server,
    now: u64,
    renewals: Vec<(u64, LeaseRenewal)>,
    sessions: Vec<grebepin_schema::Session>,
    lease_bound: u64,
    permits: Vec<(u8, Permit)>,
    effects: BTreeMap<u8, u32>,
    not_run: Vec<u8>,
}

impl Run {
    fn new() -> Self {
        let server = Server::new(Guards::all());
        Self {
            sessions: vec![server.session],
            server,
            now: 0,
            renewals: Vec::new(),
            lease_bound: 0,
            permits: Vec::new(),
            effects: BTreeMap::new(),
            not_run: Vec::new(),
        }
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::Heartbeat { renewal_age } => self.heartbeat(*renewal_age),
            Step::Grant {
                epoch,
                previous: before,
                old_session,
            } => {
                let current = self.server.session;
                if *old_session {
                    self.server.session = self.sessions[0];
                }
                let before = before.map(|(epoch, released)| previous(epoch, released));
                self.server.grant(self.now, 0, *epoch, before);
                self.server.session = current;
            }
            Step::Release { epoch } => drop(self.server.release(self.now, 0, *epoch)),
            Step::Begin {
                name,
                epoch,
                attempt,
            } => {
                let attempted = Request {
                    attempt: *attempt,
                    ..request(&format!("r{name}"), *epoch)
                };
                let begun = self.server.holder.begin(ms(self.now), &attempted);
                if let Ok(grebepin_holder::Begun::Run(permit)) = begun {
                    self.permits.push((*name, permit));
                }
            }
            Step::Complete { place } if *place < self.permits.len() => self.complete(*place),
            Step::Complete { .. } => {}
            Step::Cancel {
                name,
                epoch,
                attempt,
            } => {
                let answer = self
                    .server
                    .cancel(self.now, &format!("r{name}"), *epoch, *attempt);
                if answer.state == RequestState::NotRun {
                    assert!(
                        !self.effects.contains_key(name),
                        "answered as not run after an effect"
                    );
                    self.not_run.push(*name);
                }
            }
            Step::Drain(draining) => self.server.holder.drain(ms(self.now), *draining),
        }
    }

    fn heartbeat(&mut self, renewal_age: usize) {
        let place = self.renewals.len().checked_sub(1 + renewal_age);
        let renewal = place.map(|place| self.renewals[place].clone());
        let answer = self
            .server
            .heartbeat(self.now, renewal.clone().map(|(_, renewal)| renewal));
        if answer.renewed {
            let issued = renewal.map_or(0, |(issued, _)| issued);
            self.lease_bound = self.lease_bound.max(issued + common::LEASE_MS);
        }
        self.server.nonce = answer.nonce;
        self.server.session = answer.session;
        self.sessions.push(answer.session);
        self.renewals.push((self.now, self.server.renewal()));
    }

    fn complete(&mut self, place: usize) {
        let (name, permit) = self.permits.remove(place);
        if self.server.complete(self.now, permit).is_ok() {
            assert!(
                self.now < self.lease_bound,
                "effect after the end of the lease"
            );
            assert!(
                !self.not_run.contains(&name),
                "effect of a request answered as not run"
            );
            *self.effects.entry(name).or_default() += 1;
            assert_eq!(self.effects[&name], 1, "second effect of a request");
        }
    }

    fn check(&mut self) {
        let answer = self.server.heartbeat(self.now, None);
        let holdings = self.server.holder.holdings(ms(self.now), GROUP);
        let service = key(0).service;
        let sum = holdings
            .shards
            .iter()
            .map(|held| shard_hash(&service, held.shard, held.epoch));
        assert_eq!(answer.held_checksum, sum.fold(0, u64::wrapping_add));
        assert_eq!(answer.held as usize, holdings.shards.len());
        assert_eq!(answer.in_flight as usize, self.permits.len());
        assert!(answer.held == 0 || self.now < self.lease_bound);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn invariants_hold_for_any_schedule(steps in proptest::collection::vec((step(), 0u64..200), 1..80)) {
        let mut run = Run::new();
        run.step(&Step::Heartbeat { renewal_age: 0 });
        run.step(&Step::Heartbeat { renewal_age: 0 });
        run.step(&Step::Grant { epoch: 1, previous: None, old_session: false });
        for (step, pause) in &steps {
            run.step(step);
            run.check();
            run.now += pause;
        }
    }
}
