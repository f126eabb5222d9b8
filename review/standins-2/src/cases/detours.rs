//! A gateway that is partitioned from all upstreams sends its requests through other gateways. One of these is cut off
//! from the core while a route moves to another service. Once the new service has run a request of the first gateway,
//! the old one must run none.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client;
use crate::deployment::{Class, Deployment};
use crate::operator;
use crate::server::Server;

/// The bound `rollback_slack_s` of the deployment.
const ROLLBACK_SLACK: Duration = Duration::from_millis(250);

/// The gateway that is partitioned from the upstreams, and the one that is cut off from the core.
const WITHOUT_UPSTREAMS: u8 = 1;
const WITHOUT_CORE: u8 = 2;

/// Changes of the route, and the time from the cut to the change and from the change to the end of the cut.
const CHANGES: u64 = 5;
const BEFORE_CHANGE: Duration = Duration::from_millis(200);
const AFTER_CHANGE: Duration = Duration::from_millis(2_300);

/// A request of a client.
struct Sent {
    id: String,
    at: Instant,
}

pub fn run(deployment: &Arc<Deployment>, trouble: bool) -> Result<bool, String> {
    let network = deployment.network.clone().ok_or("no proxies")?;
    let nodes = deployment.controls();
    let services = ["huvo11a", "kafi81c"];
    let route = |service: &str, version| {
        let route = operator::route("r-moving", "safe", "/lepu270/", service, 1.0, version);
        operator::change("", client::HOST, &[route], &[], "")
    };
    let first = operator::change(
        &operator::limits(1),
        client::HOST,
        &[operator::route("r-moving", "safe", "/lepu270/", services[0], 1.0, 1)],
        &[operator::service(services[0], 1), operator::service(services[1], 1)],
        "",
    );
    if operator::send(deployment, "the first call", &first, &nodes, Duration::from_secs(15)) != 200 {
        return Err("the first call is not acknowledged".to_owned());
    }
    let mut servers = Vec::new();
    for number in 1..=8 {
        let service = services[usize::from(number % 2 == 0)];
        servers.push(Server::start(deployment, number, service, 200)?);
    }
    super::wait_until_served(deployment, 4, &["/lepu270/2f"])?;
    while servers.iter().any(|one| one.acknowledged.load(Ordering::Relaxed) == 0) {
        thread::sleep(Duration::from_millis(50));
    }
    // `TROUBLE=partition` leaves only the cuts from the core out.
    let is_partitioned = trouble;
    let is_cut = trouble && std::env::var("TROUBLE").map_or(true, |value| value != "partition");
    if is_partitioned {
        deployment.record.note(&format!("network: edge-{WITHOUT_UPSTREAMS} is partitioned from all upstreams"));
        for server in &servers {
            server.cut(network.process(Class::Edge, WITHOUT_UPSTREAMS))?;
        }
    }

    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let until = Instant::now() + Duration::from_secs(6) + (Duration::from_secs(4) + AFTER_CHANGE) * CHANGES as u32;
    let mut clients = Vec::new();
    for _ in 0..6 {
        let (of, sent) = (Arc::clone(deployment), Arc::clone(&sent));
        clients.push(thread::spawn(move || {
            while Instant::now() < until {
                let id = client::new_id();
                let at = Instant::now();
                let _ = client::send(&of, WITHOUT_UPSTREAMS, "GET", "/lepu270/2f", &id, Duration::from_secs(1));
                sent.lock().unwrap().push(Sent { id, at });
                thread::sleep(Duration::from_millis(20));
            }
        }));
    }
    thread::sleep(Duration::from_secs(6));

    let mut changes = Vec::new();
    for change in 0..CHANGES {
        if is_cut {
            deployment.record.note(&format!("network: edge-{WITHOUT_CORE} is cut off from the core"));
            network.cut_from_core(WITHOUT_CORE, 3);
        }
        thread::sleep(BEFORE_CHANGE);
        let version = 2 + change;
        let service = services[(change as usize + 1) % 2];
        let begun = Instant::now();
        let what = format!("the route moves to {service} with r{version}");
        if operator::send(deployment, &what, &route(service, version), &nodes, Duration::from_secs(5)) != 200 {
            return Err("a change is not acknowledged".to_owned());
        }
        changes.push((begun, service));
        thread::sleep(AFTER_CHANGE);
        if is_cut {
            deployment.record.note("network: the cut from the core heals");
            network.heal();
        }
        thread::sleep(Duration::from_secs(3));
    }
    for client in clients {
        let _ = client.join();
    }

    let mut regressed = 0;
    let mut total = 0;
    for (number, (begun, new_service)) in changes.iter().enumerate() {
        let ends = changes.get(number + 1).map_or(until, |next| next.0);
        // When an upstream of the new service first ran a request that this gateway took after the change.
        let mut seen: Option<Instant> = None;
        for server in servers.iter().filter(|one| one.service == *new_service) {
            let times = server.run_times.lock().unwrap();
            let first = times.iter().find(|at| **at > *begun).copied();
            seen = match (seen, first) {
                (Some(one), Some(other)) => Some(one.min(other)),
                (one, other) => one.or(other),
            };
        }
        let Some(seen) = seen else {
            return Err("no upstream sees a change".to_owned());
        };
        let sent = sent.lock().unwrap();
        let later = sent.iter().filter(|one| one.at > seen + ROLLBACK_SLACK && one.at < ends);
        for request in later {
            total += 1;
            for server in servers.iter().filter(|one| one.service != *new_service) {
                if server.runs.lock().unwrap().contains(&request.id) {
                    regressed += 1;
                    deployment.record.note(&format!(
                        "the request {} was sent {:.3} s after {new_service} ran by r{}, and {} ran it",
                        request.id,
                        (request.at - seen).as_secs_f64(),
                        number + 2,
                        server.service
                    ));
                }
            }
        }
    }
    deployment.record.say(&format!(
        "{regressed} of {total} requests that edge-{WITHOUT_UPSTREAMS} took later than rollback_slack_s after its requests ran by the new version ran by the old one"
    ));
    Ok(regressed > 0)
}
