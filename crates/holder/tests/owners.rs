//! Random schedules for one shard that moves among three servers. Leases expire, servers restart, and
//! requests, cancellations and handover answers arrive late and in any order. A request must run at
//! most once, and no attempt may run that was answered as not run.

mod common;

use std::collections::BTreeMap;

use common::{held, key, ms, request, Server};
use grebepin_holder::{Begun, Effect, HandoverFetch, HolderConfig, Permit, Request};
use grebepin_schema::{Epoch, HandoverAnswer, PreviousOwner, Refusal, RequestState};
use proptest::prelude::*;

const SERVERS: usize = 3;
const REQUESTS: usize = 3;

#[derive(Clone, Debug)]
enum Step {
    /// The owner is asked to release the shard; if it does, `to` becomes the owner.
    Move { to: usize },
    /// The owner's lease expires, and `to` becomes the owner.
    Lose { to: usize },
    /// The owner's lease expires, and it is granted the shard again at the same epoch.
    Expire,
    /// A server restarts; if it owns the shard, it is granted the shard at a new epoch.
    Restart { server: usize },
    /// A router sends the next attempt of a request to the current owner.
    Send { request: usize },
    /// A message arrives, possibly after a long delay.
    Arrive { place: usize },
    /// A begun request finishes, with its effect if that is allowed.
    Finish { place: usize },
    /// The router that sent a message cancels its request.
    Cancel { place: usize },
    /// The previous owner answers a fetch; the answer has not arrived yet.
    AnswerFetch { place: usize },
    /// The answer to a fetch arrives.
    HandOver { place: usize },
    /// A fetch fails.
    FetchFails { place: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let place = 0usize..4;
    let server = 0..SERVERS;
    prop_oneof![
        3 => server.clone().prop_map(|to| Step::Move { to }),
        2 => server.clone().prop_map(|to| Step::Lose { to }),
        1 => Just(Step::Expire),
        1 => server.prop_map(|server| Step::Restart { server }),
        5 => (0..REQUESTS).prop_map(|request| Step::Send { request }),
        8 => place.clone().prop_map(|place| Step::Arrive { place }),
        6 => place.clone().prop_map(|place| Step::Finish { place }),
        2 => place.clone().prop_map(|place| Step::Cancel { place }),
        4 => place.clone().prop_map(|place| Step::AnswerFetch { place }),
        4 => place.clone().prop_map(|place| Step::HandOver { place }),
        1 => place.prop_map(|place| Step::FetchFails { place }),
    ]
}

#[derive(Clone, Copy)]
struct Message {
    request: usize,
    attempt: u32,
    server: usize,
    epoch: u64,
    /// Each message is delivered at most once.
    arrived: bool,
}

struct Running {
    message: Message,
    boot: u64,
    permit: Permit,
}

/// A fetch by one server, with the previous owner's answer if there is one.
struct Fetch {
    by: usize,
    boot: u64,
    fetch: HandoverFetch,
    answer: Option<HandoverAnswer>,
}

struct World {
    now: u64,
    boots: u64,
    servers: Vec<Server>,
    owner: usize,
    epoch: u64,
    previous: Option<PreviousOwner>,
    attempts: [u32; REQUESTS],
    messages: Vec<Message>,
    running: Vec<Running>,
    fetches: Vec<Fetch>,
    /// Attempts whose effect took place, by request.
    effects: BTreeMap<usize, Vec<u32>>,
    /// Highest attempt answered as not run, by request.
    not_run: BTreeMap<usize, u32>,
}

impl World {
    fn new() -> Self {
        let start = |number: usize| {
            let mut server = Server::with_config(HolderConfig::new(1_000_000 * number as u64));
            server.leader_heartbeat(0, false);
            server.leader_heartbeat(0, true);
            server
        };
        let mut world = Self {
            now: 0,
            boots: 100,
            servers: (0..SERVERS).map(start).collect(),
            owner: 0,
            epoch: 1,
            previous: None,
            attempts: [0; REQUESTS],
            messages: Vec::new(),
            running: Vec::new(),
            fetches: Vec::new(),
            effects: BTreeMap::new(),
            not_run: BTreeMap::new(),
        };
        world.grant();
        world
    }

    fn boot(&self, server: usize) -> u64 {
        self.servers[server].holder.boot()
    }

    /// Assigns the shard to a new owner at the next epoch and grants it.
    fn assign(&mut self, to: usize, released: bool) {
        self.previous = Some(PreviousOwner {
            server: format!("s{}", self.owner).parse().unwrap(),
            address: format!("127.0.0.1:{}", self.owner).parse().unwrap(),
            epoch: Epoch(self.epoch),
            released,
        });
        self.owner = to;
        self.epoch += 1;
        self.grant();
    }

    fn grant(&mut self) {
        let previous = self.previous.clone();
        let owner = &mut self.servers[self.owner];
        let outcome = owner.grant_outcome(self.now, 0, self.epoch, previous);
        let (by, boot) = (self.owner, self.boot(self.owner));
        let fetches = outcome.fetch.into_iter();
        let fetches = fetches.map(|fetch| Fetch {
            by,
            boot,
            fetch,
            answer: None,
        });
        self.fetches.extend(fetches);
    }

    /// Lets the lease of `expiring` expire while the other leases are renewed.
    fn expire_lease_of(&mut self, expiring: usize) {
        for _ in 0..3 {
            self.now += 400;
            for (number, server) in self.servers.iter_mut().enumerate() {
                if number != expiring {
                    server.renew_at(self.now);
                }
            }
        }
    }

    fn step(&mut self, step: &Step) {
        self.now += 1;
        (0..SERVERS).for_each(|number| self.servers[number].renew_at(self.now));
        match *step {
            Step::Move { to } => {
                let answer = self.servers[self.owner].release(self.now, 0, self.epoch);
                if !answer.released.is_empty() {
                    self.assign(to, true);
                }
            }
            Step::Lose { to } if to != self.owner => {
                self.expire_lease_of(self.owner);
                self.assign(to, false);
            }
            Step::Lose { .. } => {}
            Step::Expire => {
                self.expire_lease_of(self.owner);
                self.servers[self.owner].renew_at(self.now);
                self.grant();
            }
            Step::Restart { server } => self.restart(server),
            Step::Send { request } => self.send(request),
            Step::Arrive { place } => self.arrive(place),
            Step::Finish { place } if place < self.running.len() => self.finish(place),
            Step::Finish { .. } => {}
            Step::Cancel { place } => self.cancel(place),
            Step::AnswerFetch { place } => self.answer_fetch(place),
            Step::HandOver { place } => self.hand_over(place),
            Step::FetchFails { place } if place < self.fetches.len() => {
                let failed = self.fetches.remove(place);
                if failed.boot == self.boot(failed.by) {
                    let holder = &mut self.servers[failed.by].holder;
                    holder.complete_handover(ms(self.now), &failed.fetch.shard, None);
                }
            }
            Step::FetchFails { .. } => {}
        }
    }

    fn restart(&mut self, server: usize) {
        self.boots += 1;
        let config = HolderConfig::new(1_000_000 * self.boots);
        self.servers[server] = Server::with_config(config);
        self.servers[server].renew_at(self.now);
        if server == self.owner {
            self.assign(server, false);
        }
    }

    fn send(&mut self, request: usize) {
        self.attempts[request] += 1;
        self.messages.push(Message {
            request,
            attempt: self.attempts[request],
            server: self.owner,
            epoch: self.epoch,
            arrived: false,
        });
    }

    /// The message at `place`, counted from the newest.
    fn message(&mut self, place: usize) -> Option<&mut Message> {
        let from_end = self.messages.len().checked_sub(1 + place)?;
        self.messages.get_mut(from_end)
    }

    fn arrive(&mut self, place: usize) {
        let Some(message) = self.message(place).filter(|message| !message.arrived) else {
            return;
        };
        message.arrived = true;
        let message = *message;
        let attempted = Request {
            attempt: message.attempt,
            ..request(&format!("r{}", message.request), message.epoch)
        };
        let server = &mut self.servers[message.server];
        match server.holder.begin(ms(self.now), &attempted) {
            Ok(Begun::Run(permit)) => {
                let boot = self.boot(message.server);
                self.running.push(Running {
                    message,
                    boot,
                    permit,
                });
            }
            Ok(Begun::RanEarlier) => {
                assert!(
                    self.effects.contains_key(&message.request),
                    "answered as run, but no attempt had an effect"
                );
            }
            Err(Refusal::Cancelled) => self.answered_not_run(message),
            Err(_) => {}
        }
    }

    fn finish(&mut self, place: usize) {
        let Running {
            message,
            boot,
            permit,
        } = self.running.remove(place);
        if boot != self.boot(message.server) {
            return;
        }
        let holder = &mut self.servers[message.server].holder;
        let allowed = holder.before_effect(ms(self.now), &permit).is_ok();
        let effect = if allowed {
            Effect::Made
        } else {
            Effect::NotMade
        };
        holder.finish(ms(self.now), permit, effect);
        if allowed {
            assert_eq!(
                (message.server, message.epoch),
                (self.owner, self.epoch),
                "effect on a server that is not the owner"
            );
            let effects = self.effects.entry(message.request).or_default();
            effects.push(message.attempt);
            assert_eq!(effects.len(), 1, "request ran twice");
            self.check_not_run(message.request);
        }
    }

    fn cancel(&mut self, place: usize) {
        let Some(message) = self.message(place).map(|message| *message) else {
            return;
        };
        let server = &mut self.servers[message.server];
        let name = format!("r{}", message.request);
        let answer = server.cancel(self.now, &name, message.epoch, Some(message.attempt));
        match answer.state {
            RequestState::NotRun => self.answered_not_run(message),
            RequestState::Ran => assert!(self.effects.contains_key(&message.request)),
            _ => {}
        }
    }

    fn answered_not_run(&mut self, message: Message) {
        let attempt = self.not_run.entry(message.request).or_default();
        *attempt = message.attempt.max(*attempt);
        self.check_not_run(message.request);
    }

    /// Checks that no attempt up to the highest one answered as not run had an effect.
    fn check_not_run(&self, request: usize) {
        let highest_not_run = self.not_run.get(&request).copied().unwrap_or(0);
        let effects = self.effects.get(&request).into_iter().flatten();
        assert!(
            effects.clone().all(|attempt| *attempt > highest_not_run),
            "request had an effect although it was answered as not run"
        );
    }

    fn answer_fetch(&mut self, place: usize) {
        let now = self.now;
        let Some(fetch) = self.fetches.get_mut(place) else {
            return;
        };
        let previous = &fetch.fetch.previous;
        let port: usize = previous
            .address
            .rsplit(':')
            .next()
            .unwrap()
            .parse()
            .unwrap();
        let answer = self.servers[port]
            .holder
            .handover(ms(now), &key(0), previous.epoch);
        fetch.answer = Some(answer);
    }

    fn hand_over(&mut self, place: usize) {
        let Some(fetch) = self.fetches.get_mut(place) else {
            return;
        };
        let Some(answer) = fetch.answer.take() else {
            return;
        };
        if fetch.boot == self.servers[fetch.by].holder.boot() {
            let holder = &mut self.servers[fetch.by].holder;
            holder.complete_handover(ms(self.now), &fetch.fetch.shard, Some(&answer));
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 6000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn requests_run_once_across_owners(steps in proptest::collection::vec(step(), 1..120)) {
        let mut world = World::new();
        assert_eq!(world.servers[0].holder.held_epoch(&key(0)), held(0, 1).epoch);
        steps.iter().for_each(|step| world.step(step));
    }
}
