//! One shard that wanders among three servers, which are lost, come back and restart, while packets
//! of callers, cancellations and records arrive at any time: a request runs once at most, and one
//! that was called not-run never.

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
    /// The owner releases the shard, if it can, and `to` gets it.
    Move { to: usize },
    /// The owner's lease runs out, and `to` gets the shard.
    Lose { to: usize },
    /// The owner's lease runs out, and it gets the shard again at the same epoch.
    Lapse,
    /// A server starts anew; if it owns the shard, it gets a fresh epoch.
    Restart { server: usize },
    /// The next attempt of a request leaves a router for the owner of this moment.
    Send { request: usize },
    /// A packet arrives; it may be one that left long ago.
    Arrive { place: usize },
    /// A request that was begun makes its effect, if it may.
    Finish { place: usize },
    /// The router that sent a packet cancels its request.
    Cancel { place: usize },
    /// The previous owner answers a fetch; the answer is under way.
    Ask { place: usize },
    /// An answer to a fetch arrives.
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
        1 => Just(Step::Lapse),
        1 => server.prop_map(|server| Step::Restart { server }),
        5 => (0..REQUESTS).prop_map(|request| Step::Send { request }),
        8 => place.clone().prop_map(|place| Step::Arrive { place }),
        6 => place.clone().prop_map(|place| Step::Finish { place }),
        2 => place.clone().prop_map(|place| Step::Cancel { place }),
        4 => place.clone().prop_map(|place| Step::Ask { place }),
        4 => place.clone().prop_map(|place| Step::HandOver { place }),
        1 => place.prop_map(|place| Step::FetchFails { place }),
    ]
}

#[derive(Clone, Copy)]
struct Packet {
    request: usize,
    attempt: u32,
    server: usize,
    epoch: u64,
    /// A packet arrives once.
    arrived: bool,
}

struct Running {
    packet: Packet,
    boot: u64,
    permit: Permit,
}

/// A fetch of one server with the answer under way, if the previous owner gave one.
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
    packets: Vec<Packet>,
    running: Vec<Running>,
    fetches: Vec<Fetch>,
    /// Attempts that made the effect.
    effects: BTreeMap<usize, Vec<u32>>,
    /// Highest attempt called not-run.
    not_run: BTreeMap<usize, u32>,
}

impl World {
    fn new() -> Self {
        let start = |number: usize| {
            let mut server = Server::with_config(HolderConfig::new(1_000_000 * number as u64));
            server.beat(0, false);
            server.beat(0, true);
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
            packets: Vec::new(),
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

    /// Commits a new owner and grants it the shard.
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

    /// Lets the lease of `silent` run out, while the others' go on.
    fn pass_lease_without(&mut self, silent: usize) {
        for _ in 0..3 {
            self.now += 400;
            for (number, server) in self.servers.iter_mut().enumerate() {
                if number != silent {
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
                self.pass_lease_without(self.owner);
                self.assign(to, false);
            }
            Step::Lose { .. } => {}
            Step::Lapse => {
                self.pass_lease_without(self.owner);
                self.servers[self.owner].renew_at(self.now);
                self.grant();
            }
            Step::Restart { server } => self.restart(server),
            Step::Send { request } => self.send(request),
            Step::Arrive { place } => self.arrive(place),
            Step::Finish { place } if place < self.running.len() => self.finish(place),
            Step::Finish { .. } => {}
            Step::Cancel { place } => self.cancel(place),
            Step::Ask { place } => self.ask(place),
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
        self.packets.push(Packet {
            request,
            attempt: self.attempts[request],
            server: self.owner,
            epoch: self.epoch,
            arrived: false,
        });
    }

    /// Places count from the newest packet.
    fn packet(&mut self, place: usize) -> Option<&mut Packet> {
        let from_end = self.packets.len().checked_sub(1 + place)?;
        self.packets.get_mut(from_end)
    }

    fn arrive(&mut self, place: usize) {
        let Some(packet) = self.packet(place).filter(|packet| !packet.arrived) else {
            return;
        };
        packet.arrived = true;
        let packet = *packet;
        let asked = Request {
            attempt: packet.attempt,
            ..request(&format!("r{}", packet.request), packet.epoch)
        };
        let server = &mut self.servers[packet.server];
        match server.holder.begin(ms(self.now), &asked) {
            Ok(Begun::Run(permit)) => {
                let boot = self.boot(packet.server);
                self.running.push(Running {
                    packet,
                    boot,
                    permit,
                });
            }
            Ok(Begun::RanEarlier) => {
                assert!(self.effects.contains_key(&packet.request), "never ran");
            }
            Err(Refusal::Cancelled) => self.called_not_run(packet),
            Err(_) => {}
        }
    }

    fn finish(&mut self, place: usize) {
        let Running {
            packet,
            boot,
            permit,
        } = self.running.remove(place);
        if boot != self.boot(packet.server) {
            return;
        }
        let holder = &mut self.servers[packet.server].holder;
        let allowed = holder.before_effect(ms(self.now), &permit).is_ok();
        let effect = if allowed {
            Effect::Made
        } else {
            Effect::NotMade
        };
        holder.finish(ms(self.now), permit, effect);
        if allowed {
            assert_eq!(
                (packet.server, packet.epoch),
                (self.owner, self.epoch),
                "not the owner"
            );
            let effects = self.effects.entry(packet.request).or_default();
            effects.push(packet.attempt);
            assert_eq!(effects.len(), 1, "ran twice");
            self.check(packet.request);
        }
    }

    fn cancel(&mut self, place: usize) {
        let Some(packet) = self.packet(place).map(|packet| *packet) else {
            return;
        };
        let server = &mut self.servers[packet.server];
        let name = format!("r{}", packet.request);
        let answer = server.cancel(self.now, &name, packet.epoch, Some(packet.attempt));
        match answer.state {
            RequestState::NotRun => self.called_not_run(packet),
            RequestState::Ran => assert!(self.effects.contains_key(&packet.request)),
            _ => {}
        }
    }

    fn called_not_run(&mut self, packet: Packet) {
        let attempt = self.not_run.entry(packet.request).or_default();
        *attempt = packet.attempt.max(*attempt);
        self.check(packet.request);
    }

    /// No attempt up to one that was called not-run has an effect.
    fn check(&self, request: usize) {
        let told = self.not_run.get(&request).copied().unwrap_or(0);
        let effects = self.effects.get(&request).into_iter().flatten();
        assert!(
            effects.clone().all(|attempt| *attempt > told),
            "not-run, but it ran"
        );
    }

    fn ask(&mut self, place: usize) {
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
    fn requests_run_once_wherever_the_shard_goes(steps in proptest::collection::vec(step(), 1..120)) {
        let mut world = World::new();
        assert_eq!(world.servers[0].holder.held_epoch(&key(0)), held(0, 1).epoch);
        steps.iter().for_each(|step| world.step(step));
    }
}
