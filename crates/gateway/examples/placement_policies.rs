//! Compares numbers of servers that a gateway considers first for a request to a pooled service. Simulates a
//! zone's gateways and servers in virtual time with the `LoadBalancer` of the gateway, and prints the
//! response times for each number.
//!
//! `cargo run --release -p grebepin-gateway --example placement_policies`

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

use grebepin_catalog::{Instance, InstanceId, InstanceState};
use grebepin_gateway::load_balancer::LoadBalancer;
use grebepin_gateway::server_index::ServerIndex;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Idle time after which a server closes a connection.
const CONNECTION_IDLE_TIMEOUT: Duration = Duration::from_millis(9_300);

/// A service in one zone, its gateways and its requests.
struct Load {
    name: &'static str,
    gateways: usize,
    servers: usize,
    slots: u32,
    /// Requests a second of all gateways.
    rate: f64,
    /// Mean service time in seconds at a server of speed 1, and its coefficient of variation.
    work: f64,
    variation: f64,
    target: Duration,
    speeds: &'static [f64],
}

const LOADS: [Load; 4] = [
    Load {
        name: "200 gateways, 560 servers, 117/s",
        gateways: 200,
        servers: 560,
        slots: 2,
        rate: 117.0,
        work: 0.21,
        variation: 0.8,
        target: Duration::from_millis(800),
        speeds: &[0.5, 1.0, 1.0, 1.5],
    },
    Load {
        name: "200 gateways, 283 servers, 109/s",
        gateways: 200,
        servers: 283,
        slots: 2,
        rate: 109.0,
        work: 0.11,
        variation: 0.5,
        target: Duration::from_millis(400),
        speeds: &[0.5, 1.0, 1.0, 1.5],
    },
    Load {
        name: "200 gateways, 60 servers, 380/s (0.7 of the slots)",
        gateways: 200,
        servers: 60,
        slots: 2,
        rate: 380.0,
        work: 0.21,
        variation: 0.8,
        target: Duration::from_millis(800),
        speeds: &[0.5, 1.0, 1.0, 1.5],
    },
    Load {
        name: "21 gateways, 36 servers, 480/s (0.7 of the slots)",
        gateways: 21,
        servers: 36,
        slots: 4,
        rate: 480.0,
        work: 0.2,
        variation: 0.8,
        target: Duration::from_millis(600),
        speeds: &[0.5, 1.0, 1.0, 1.5],
    },
];

#[derive(Default)]
struct Outcome {
    requests: u32,
    in_time: u32,
    connections: u32,
    times: Vec<f64>,
}

struct Server {
    speed: f64,
    running: u32,
    /// Queued requests: gateway, arrival, work.
    waiting: VecDeque<(usize, Duration, f64)>,
}

struct Gateway {
    balance: LoadBalancer,
    order: Vec<usize>,
    /// By server, the time since which each of its connections has been idle.
    idle: HashMap<usize, Vec<Duration>>,
}

fn log_normal(random: &mut SmallRng, mean: f64, variation: f64) -> f64 {
    let variance = (1.0 + variation * variation).ln();
    let one: f64 = random.random::<f64>().max(f64::MIN_POSITIVE);
    let two: f64 = random.random();
    let normal = (-2.0 * one.ln()).sqrt() * (std::f64::consts::TAU * two).cos();
    mean * (normal * variance.sqrt() - variance / 2.0).exp()
}

/// Simulates `load` for `seconds`; counts requests that arrive after `from` seconds.
fn simulate(load: &Load, width: usize, seed: u64, from: f64, seconds: f64) -> Outcome {
    let mut random = SmallRng::seed_from_u64(seed);
    let instances: Vec<Instance> = (0..load.servers)
        .map(|number| Instance {
            id: InstanceId::new(&format!("i-{number}")),
            service: "s".to_owned(),
            address: "10.0.0.1:80".to_owned(),
            zone: "z".to_owned(),
            slots: load.slots,
            state: InstanceState::Ready,
            is_cold: false,
        })
        .collect();
    let numbers: HashMap<&InstanceId, usize> = instances
        .iter()
        .enumerate()
        .map(|(number, one)| (&one.id, number))
        .collect();
    let mut servers: Vec<Server> = (0..load.servers)
        .map(|_| Server {
            speed: load.speeds[random.random_range(0..load.speeds.len())],
            running: 0,
            waiting: VecDeque::new(),
        })
        .collect();
    let mut gateways: Vec<Gateway> = (0..load.gateways)
        .map(|number| {
            let mut index = ServerIndex::new(&format!("g-{number}"), "z");
            for one in &instances {
                index.update(one, true);
            }
            let mut balance = LoadBalancer::default();
            balance.set_gateways(load.gateways as u32);
            Gateway {
                balance,
                order: index.servers("s").map(|id| numbers[id]).collect(),
                idle: HashMap::new(),
            }
        })
        .collect();
    let mut ends: BinaryHeap<Reverse<(Duration, usize, usize, Duration)>> = BinaryHeap::new();
    let mut outcome = Outcome::default();
    let mut next = Duration::ZERO;
    let end = Duration::from_secs_f64(seconds);
    loop {
        let ended = ends.peek().is_some_and(|Reverse((at, ..))| *at <= next);
        if ended {
            let Some(Reverse((now, number, gateway, began))) = ends.pop() else {
                break;
            };
            let took = now - began;
            let id = &instances[number].id;
            let one = &mut gateways[gateway];
            one.balance.end(id, now);
            one.balance.note_service_time("s", took);
            one.balance.answered(id, now, took, load.target);
            one.idle.entry(number).or_default().push(now);
            if began.as_secs_f64() >= from {
                outcome.requests += 1;
                outcome.in_time += u32::from(took <= load.target);
                outcome.times.push(took.as_secs_f64());
            }
            let server = &mut servers[number];
            server.running -= 1;
            if let Some((gateway, began, work)) = server.waiting.pop_front() {
                server.running += 1;
                let until = now + Duration::from_secs_f64(work / server.speed);
                ends.push(Reverse((until, number, gateway, began)));
            }
            continue;
        }
        if next > end {
            break;
        }
        let now = next;
        let pause = -random.random::<f64>().max(f64::MIN_POSITIVE).ln() / load.rate;
        next += Duration::from_secs_f64(pause);
        let gateway = random.random_range(0..load.gateways);
        let work = log_normal(&mut random, load.work, load.variation);
        let one = &mut gateways[gateway];
        let ranked = one.order.iter().map(|number| &instances[*number]);
        let chosen = one
            .balance
            .choose_from_first(width, ranked, "z", now, &mut || random.random::<f64>());
        let Some(chosen) = chosen else {
            outcome.requests += 1;
            continue;
        };
        let number = numbers[&chosen.id];
        one.balance.begin(&chosen.id);
        let idle = one.idle.entry(number).or_default();
        let is_reused = idle
            .pop()
            .is_some_and(|since| now < since + CONNECTION_IDLE_TIMEOUT);
        outcome.connections += u32::from(!is_reused && now.as_secs_f64() >= from);
        let server = &mut servers[number];
        if server.running < load.slots {
            server.running += 1;
            let until = now + Duration::from_secs_f64(work / server.speed);
            ends.push(Reverse((until, number, gateway, now)));
        } else {
            server.waiting.push_back((gateway, now, work));
        }
    }
    outcome
}

fn main() {
    println!(
        "| load | servers considered first | time | in time | median ms | 99th percentile ms | connections per request |"
    );
    println!("| --- | ---: | --- | ---: | ---: | ---: | ---: |");
    for load in &LOADS {
        for (from, until) in [(0.0, 25.0), (100.0, 160.0)] {
            for width in [4, 8, 12, 16, 32, usize::MAX / 4] {
                let (mut requests, mut in_time, mut connections, mut times) = (0, 0, 0, Vec::new());
                for seed in 0..3 {
                    let outcome = simulate(load, width, seed, from, until);
                    requests += outcome.requests;
                    in_time += outcome.in_time;
                    connections += outcome.connections;
                    times.extend(outcome.times);
                }
                times.sort_by(f64::total_cmp);
                let at = |part: f64| times[(times.len() as f64 * part) as usize] * 1_000.0;
                let shown = match width > load.servers {
                    true => "all".to_owned(),
                    false => width.to_string(),
                };
                println!(
                    "| {} | {shown} | {from} to {until} s | {:.4} | {:.0} | {:.0} | {:.2} |",
                    load.name,
                    f64::from(in_time) / f64::from(requests),
                    at(0.5),
                    at(0.99),
                    f64::from(connections) / f64::from(requests)
                );
            }
        }
    }
}
