//! An owner of keys that asks for no requests for a time, its callers and all gateways, on virtual time.

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

/// When the owner begins to ask for no requests, and when callers cease to come.
const BEGINS: Duration = Duration::from_secs(2);
const LASTS: Duration = Duration::from_secs(10);

/// Time after an answer within which what was under way may still come.
const UNDER_WAY: Duration = Duration::from_millis(500);

/// Longest time for which a gateway holds a request, and part of what its caller has left after which one that found no
/// room may come back.
const HELD: Duration = Duration::from_millis(60);
const RETRY_PART: f64 = 0.33;

/// Tries of a caller.
const TRIES: u32 = 4;

/// How gateways deal with the time that was asked for.
#[derive(Clone, Copy, Debug)]
pub struct Way {
    /// Part of the time by which each gateway comes back later, at random.
    pub gateway_spread: f64,
    /// Part of the time by which each caller is told to come back later, at random; `None` for the gateway's own.
    pub caller_spread: Option<f64>,
    /// Time after which all gateways know what one of them was told, if they do.
    pub shared_after: Option<Duration>,
}

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct Scene {
    pub gateways: usize,
    /// First tries a second, as a part of what the owner can run.
    pub asked: f64,
    /// Time that the owner asks for, and whether it is what is left of one time rather than the same in each answer.
    pub cooldown: Duration,
    pub asks_for_rest: bool,
    /// How long callers wait for an answer in all, and the part of what they have left that they obey to wait.
    pub patience: Duration,
    pub obeyed_part: f64,
}

/// What came of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Seen {
    /// Requests that reached the owner while it asked for none, and the most from one gateway that had been told.
    pub during: usize,
    pub worst: usize,
    /// Requests that it had to shed in the second after that time.
    pub shed: usize,
    /// Parts that were served in the end, of callers who first came while it asked for none, and within a second after it.
    pub served_during: f64,
    pub served_after: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrives(usize),
    LooksAgain(usize, Duration),
    Done(usize),
    Learns(usize, Duration),
}

struct Caller {
    gateway: usize,
    first: Duration,
    tries: u32,
    served: bool,
}

struct Gateway {
    cooldowns: Cooldowns,
    limit: ConcurrencyLimit,
    /// When it was told to stay away, and requests that reached the owner since.
    told: Vec<(Duration, Duration)>,
    reached: Vec<Duration>,
}

struct World {
    scene: Scene,
    way: Way,
    random: SmallRng,
    steps: BinaryHeap<Reverse<(Duration, Step)>>,
    callers: Vec<Caller>,
    gateways: Vec<Gateway>,
    running: usize,
    queue: VecDeque<usize>,
    seen: Seen,
    id: InstanceId,
}

impl Scene {
    /// Plays it in one way.
    pub fn play(self, way: Way, seed: u64) -> Seen {
        let gateways = (0..self.gateways).map(|_| Gateway {
            cooldowns: Cooldowns::default(),
            limit: ConcurrencyLimit::new(2.0),
            told: Vec::new(),
            reached: Vec::new(),
        });
        let mut world = World {
            scene: self,
            way,
            random: SmallRng::seed_from_u64(seed),
            steps: BinaryHeap::new(),
            callers: Vec::new(),
            gateways: gateways.collect(),
            running: 0,
            queue: VecDeque::new(),
            seen: Seen::default(),
            id: InstanceId::new("i-1"),
        };
        world.add_callers();
        while let Some(Reverse((now, step))) = world.steps.pop() {
            world.step(now, step);
        }
        world.summary()
    }

    fn ends(self) -> Duration {
        BEGINS + self.cooldown
    }
}

impl World {
    fn add_callers(&mut self) {
        let per_second = SLOTS as f64 / WORK.as_secs_f64() * self.scene.asked;
        let mut at = Duration::ZERO;
        while at < LASTS {
            let pause = -(1.0 - self.random.random::<f64>()).ln() / per_second;
            at += Duration::from_secs_f64(pause);
            let gateway = self.random.random_range(0..self.scene.gateways);
            let number = self.callers.len();
            self.callers.push(Caller {
                gateway,
                first: at,
                tries: 0,
                served: false,
            });
            self.at(at, Step::Arrives(number));
        }
    }

    fn at(&mut self, at: Duration, step: Step) {
        self.steps.push(Reverse((at, step)));
    }

    fn step(&mut self, now: Duration, step: Step) {
        match step {
            Step::Arrives(caller) => {
                self.callers[caller].tries += 1;
                self.callers[caller].gateway = self.random.random_range(0..self.scene.gateways);
                self.dispatch(now, caller, now + HELD);
            }
            Step::LooksAgain(caller, until) => self.dispatch(now, caller, until),
            Step::Done(caller) => self.done(now, caller),
            Step::Learns(gateway, end) => self.learn(now, gateway, end),
        }
    }

    fn dispatch(&mut self, now: Duration, caller: usize, until: Duration) {
        let number = self.callers[caller].gateway;
        let gateway = &mut self.gateways[number];
        if let Some(left) = gateway.cooldowns.remaining(&self.id, now) {
            let random = self.random.random();
            let client_retry_after = match self.way.caller_spread {
                Some(spread) => Some(left + self.scene.cooldown.mul_f64(spread * random)),
                None => gateway.cooldowns.client_retry_after(&self.id, now, random),
            };
            return self.refuse(now, caller, client_retry_after.unwrap_or(left));
        }
        if !gateway.limit.has_room(now) {
            let next = gateway.limit.opens_at(now).unwrap_or(now + HELD / 6);
            match next < until {
                true => self.at(next, Step::LooksAgain(caller, until)),
                false => {
                    let left = self.left(now, caller);
                    self.refuse(now, caller, left.mul_f64(RETRY_PART));
                }
            }
            return;
        }
        gateway.limit.begin();
        gateway.reached.push(now);
        self.reach_owner(now, caller);
    }

    fn reach_owner(&mut self, now: Duration, caller: usize) {
        let number = self.callers[caller].gateway;
        if now >= BEGINS && now < self.scene.ends() {
            self.seen.during += 1;
            let asked = match self.scene.asks_for_rest {
                true => self.scene.ends() - now,
                false => self.scene.cooldown,
            };
            self.gateways[number].told.push((now, asked));
            self.gateways[number].limit.end(now, WORK);
            self.learn(now, number, now + asked);
            if let Some(after) = self.way.shared_after {
                let others = (0..self.scene.gateways).filter(|one| *one != number);
                for other in others.collect::<Vec<_>>() {
                    self.at(now + after, Step::Learns(other, now + asked));
                }
            }
            return self.dispatch(now, caller, now);
        }
        if self.running < SLOTS {
            self.running += 1;
            return self.at(now + WORK, Step::Done(caller));
        }
        if self.queue.len() < QUEUE {
            return self.queue.push_back(caller);
        }
        if now >= self.scene.ends() && now < self.scene.ends() + Duration::from_secs(1) {
            self.seen.shed += 1;
        }
        self.gateways[number].limit.end(now, WORK);
        self.gateways[number].limit.overloaded(now);
        let left = self.left(now, caller);
        self.refuse(now, caller, left.mul_f64(RETRY_PART));
    }

    fn learn(&mut self, now: Duration, number: usize, end: Duration) {
        let gateway = &mut self.gateways[number];
        let asked = end.saturating_sub(now);
        let later = self.random.random::<f64>() * self.way.gateway_spread;
        if gateway
            .cooldowns
            .note(&self.id, now, asked + self.scene.cooldown.mul_f64(later))
        {
            gateway.limit.reset();
        }
    }

    fn done(&mut self, now: Duration, caller: usize) {
        let number = self.callers[caller].gateway;
        self.gateways[number].limit.end(now, WORK);
        self.gateways[number].limit.answered_fast();
        self.callers[caller].served = self.left(now, caller) > Duration::ZERO;
        match self.queue.pop_front() {
            Some(next) => self.at(now + WORK, Step::Done(next)),
            None => self.running -= 1,
        }
    }

    fn left(&self, now: Duration, caller: usize) -> Duration {
        (self.callers[caller].first + self.scene.patience).saturating_sub(now)
    }

    fn refuse(&mut self, now: Duration, caller: usize, after: Duration) {
        let left = self.left(now, caller);
        let after = match after < left {
            true => after,
            false => left.mul_f64(RETRY_PART),
        };
        let pause = after.min(left.mul_f64(self.scene.obeyed_part));
        if self.callers[caller].tries < TRIES && pause < left {
            self.at(now + pause, Step::Arrives(caller));
        }
    }

    fn summary(mut self) -> Seen {
        let ends = self.scene.ends();
        let part = |from: Duration, to: Duration| {
            let within = |one: &&Caller| one.first >= from && one.first < to;
            let all = self.callers.iter().filter(within).count();
            let served = self.callers.iter().filter(within).filter(|one| one.served);
            served.count() as f64 / all.max(1) as f64
        };
        self.seen.served_during = part(BEGINS, ends);
        self.seen.served_after = part(ends, ends + Duration::from_secs(1));
        let counts = self.gateways.iter().flat_map(|one| {
            one.told.iter().map(|(at, asked)| {
                let within =
                    |reached: &&Duration| **reached >= *at + UNDER_WAY && **reached < *at + *asked;
                one.reached.iter().filter(within).count()
            })
        });
        self.seen.worst = counts.max().unwrap_or_default();
        self.seen
    }
}
