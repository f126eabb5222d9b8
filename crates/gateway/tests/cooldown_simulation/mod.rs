//! Simulation in virtual time of a key owner that asks for a cooldown, its callers and all gateways.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use grebepin_catalog::InstanceId;
use grebepin_gateway::cooldowns::Cooldowns;
use grebepin_gateway::limit::ConcurrencyLimit;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SLOTS: usize = 4;
const QUEUE: usize = 8;
const WORK: Duration = Duration::from_millis(90);

/// Start of the owner's cooldown, and end of the arrival of new callers.
const COOLDOWN_START: Duration = Duration::from_secs(2);
const ARRIVALS_END: Duration = Duration::from_secs(10);

/// Time after a response within which requests already in flight may still arrive.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(500);

/// Longest time for which a gateway holds a request, and fraction of its caller's remaining time after which
/// a caller may retry that was refused because the gateway's limit was reached.
const MAX_HOLD: Duration = Duration::from_millis(60);
const RETRY_FRACTION: f64 = 0.33;

/// Maximum attempts of a caller.
const MAX_ATTEMPTS: u32 = 4;

/// How gateways handle a cooldown.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Largest random delay of each gateway after the end of the cooldown, as a fraction of it.
    pub gateway_jitter: f64,
    /// The same for the retry of each caller; `None` for the fraction that the gateway uses.
    pub caller_jitter: Option<f64>,
    /// Time after which all gateways know of the cooldown that one of them received; `None` if they don't
    /// share it.
    pub shared_after: Option<Duration>,
}

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub gateways: usize,
    /// First attempts of callers, as a fraction of the owner's capacity.
    pub load: f64,
    /// Length of the cooldown, and whether responses state the remaining time of one cooldown rather than its
    /// full length.
    pub cooldown: Duration,
    pub states_remaining: bool,
    /// Total time that callers wait for a response, and the largest fraction of their remaining time that
    /// they wait before a retry.
    pub caller_timeout: Duration,
    pub obeyed_fraction: f64,
}

/// Results of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Requests that reached the owner during its cooldown, and the most from one gateway that knew of the
    /// cooldown.
    pub reached: usize,
    pub worst: usize,
    /// Requests that the owner shed in the second after the cooldown.
    pub shed: usize,
    /// Fractions of callers that were served in the end, of those that first arrived during the cooldown and
    /// of those that first arrived within a second after it.
    pub served_during: f64,
    pub served_after: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrives(usize),
    ChecksAgain(usize, Duration),
    Done(usize),
    Learns(usize, Duration),
}

struct Caller {
    gateway: usize,
    first: Duration,
    attempts: u32,
    served: bool,
}

struct Gateway {
    cooldowns: Cooldowns,
    limit: ConcurrencyLimit,
    /// Times and lengths of the cooldowns that it received, and times of its requests that reached the owner.
    received: Vec<(Duration, Duration)>,
    sent: Vec<Duration>,
}

struct Simulation {
    scenario: Scenario,
    policy: Policy,
    random: SmallRng,
    events: BinaryHeap<Reverse<(Duration, Event)>>,
    callers: Vec<Caller>,
    gateways: Vec<Gateway>,
    running: usize,
    queue: VecDeque<usize>,
    outcome: Outcome,
    id: InstanceId,
}

impl Scenario {
    /// Runs the scenario with a policy.
    pub fn run(self, policy: Policy, seed: u64) -> Outcome {
        let gateways = (0..self.gateways).map(|_| Gateway {
            cooldowns: Cooldowns::default(),
            limit: ConcurrencyLimit::new(2.0),
            received: Vec::new(),
            sent: Vec::new(),
        });
        let mut simulation = Simulation {
            scenario: self,
            policy,
            random: SmallRng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            callers: Vec::new(),
            gateways: gateways.collect(),
            running: 0,
            queue: VecDeque::new(),
            outcome: Outcome::default(),
            id: InstanceId::new("i-1"),
        };
        simulation.add_callers();
        while let Some(Reverse((now, event))) = simulation.events.pop() {
            simulation.handle(now, event);
        }
        simulation.summary()
    }

    fn cooldown_end(self) -> Duration {
        COOLDOWN_START + self.cooldown
    }
}

impl Simulation {
    fn add_callers(&mut self) {
        let per_second = SLOTS as f64 / WORK.as_secs_f64() * self.scenario.load;
        let mut at = Duration::ZERO;
        while at < ARRIVALS_END {
            let pause = -(1.0 - self.random.random::<f64>()).ln() / per_second;
            at += Duration::from_secs_f64(pause);
            let gateway = self.random.random_range(0..self.scenario.gateways);
            let number = self.callers.len();
            self.callers.push(Caller {
                gateway,
                first: at,
                attempts: 0,
                served: false,
            });
            self.schedule(at, Event::Arrives(number));
        }
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.events.push(Reverse((at, event)));
    }

    fn handle(&mut self, now: Duration, event: Event) {
        match event {
            Event::Arrives(caller) => {
                self.callers[caller].attempts += 1;
                self.callers[caller].gateway = self.random.random_range(0..self.scenario.gateways);
                self.dispatch(now, caller, now + MAX_HOLD);
            }
            Event::ChecksAgain(caller, until) => self.dispatch(now, caller, until),
            Event::Done(caller) => self.done(now, caller),
            Event::Learns(gateway, end) => self.learn(now, gateway, end),
        }
    }

    fn dispatch(&mut self, now: Duration, caller: usize, until: Duration) {
        let number = self.callers[caller].gateway;
        let gateway = &mut self.gateways[number];
        if let Some(left) = gateway.cooldowns.remaining(&self.id, now) {
            let random = self.random.random();
            let client_retry_after = match self.policy.caller_jitter {
                Some(jitter) => Some(left + self.scenario.cooldown.mul_f64(jitter * random)),
                None => gateway.cooldowns.client_retry_after(&self.id, now, random),
            };
            return self.refuse(now, caller, client_retry_after.unwrap_or(left));
        }
        if !gateway.limit.has_room(now) {
            let next = gateway.limit.opens_at(now).unwrap_or(now + MAX_HOLD / 6);
            match next < until {
                true => self.schedule(next, Event::ChecksAgain(caller, until)),
                false => {
                    let left = self.left(now, caller);
                    self.refuse(now, caller, left.mul_f64(RETRY_FRACTION));
                }
            }
            return;
        }
        gateway.limit.begin();
        gateway.sent.push(now);
        self.reach_owner(now, caller);
    }

    fn reach_owner(&mut self, now: Duration, caller: usize) {
        let number = self.callers[caller].gateway;
        if now >= COOLDOWN_START && now < self.scenario.cooldown_end() {
            self.outcome.reached += 1;
            let length = match self.scenario.states_remaining {
                true => self.scenario.cooldown_end() - now,
                false => self.scenario.cooldown,
            };
            self.gateways[number].received.push((now, length));
            self.gateways[number].limit.end(now, WORK);
            self.learn(now, number, now + length);
            if let Some(after) = self.policy.shared_after {
                let others = (0..self.scenario.gateways).filter(|one| *one != number);
                for other in others.collect::<Vec<_>>() {
                    self.schedule(now + after, Event::Learns(other, now + length));
                }
            }
            return self.dispatch(now, caller, now);
        }
        if self.running < SLOTS {
            self.running += 1;
            return self.schedule(now + WORK, Event::Done(caller));
        }
        if self.queue.len() < QUEUE {
            return self.queue.push_back(caller);
        }
        if now >= self.scenario.cooldown_end()
            && now < self.scenario.cooldown_end() + Duration::from_secs(1)
        {
            self.outcome.shed += 1;
        }
        self.gateways[number].limit.end(now, WORK);
        self.gateways[number].limit.overloaded(now);
        let left = self.left(now, caller);
        self.refuse(now, caller, left.mul_f64(RETRY_FRACTION));
    }

    fn learn(&mut self, now: Duration, number: usize, end: Duration) {
        let gateway = &mut self.gateways[number];
        let length = end.saturating_sub(now);
        let jitter = self.random.random::<f64>() * self.policy.gateway_jitter;
        if gateway.cooldowns.note(
            &self.id,
            now,
            length + self.scenario.cooldown.mul_f64(jitter),
        ) {
            gateway.limit.reset();
        }
    }

    fn done(&mut self, now: Duration, caller: usize) {
        let number = self.callers[caller].gateway;
        self.gateways[number].limit.end(now, WORK);
        self.gateways[number].limit.answered_fast();
        self.callers[caller].served = self.left(now, caller) > Duration::ZERO;
        match self.queue.pop_front() {
            Some(next) => self.schedule(now + WORK, Event::Done(next)),
            None => self.running -= 1,
        }
    }

    fn left(&self, now: Duration, caller: usize) -> Duration {
        (self.callers[caller].first + self.scenario.caller_timeout).saturating_sub(now)
    }

    fn refuse(&mut self, now: Duration, caller: usize, after: Duration) {
        let left = self.left(now, caller);
        let after = match after < left {
            true => after,
            false => left.mul_f64(RETRY_FRACTION),
        };
        let pause = after.min(left.mul_f64(self.scenario.obeyed_fraction));
        if self.callers[caller].attempts < MAX_ATTEMPTS && pause < left {
            self.schedule(now + pause, Event::Arrives(caller));
        }
    }

    fn summary(mut self) -> Outcome {
        let ends = self.scenario.cooldown_end();
        let served_fraction = |from: Duration, to: Duration| {
            let within = |one: &&Caller| one.first >= from && one.first < to;
            let all = self.callers.iter().filter(within).count();
            let served = self.callers.iter().filter(within).filter(|one| one.served);
            served.count() as f64 / all.max(1) as f64
        };
        self.outcome.served_during = served_fraction(COOLDOWN_START, ends);
        self.outcome.served_after = served_fraction(ends, ends + Duration::from_secs(1));
        let counts = self.gateways.iter().flat_map(|one| {
            one.received.iter().map(|(at, length)| {
                let within =
                    |sent: &&Duration| **sent >= *at + IN_FLIGHT_TIME && **sent < *at + *length;
                one.sent.iter().filter(within).count()
            })
        });
        self.outcome.worst = counts.max().unwrap_or_default();
        self.outcome
    }
}
