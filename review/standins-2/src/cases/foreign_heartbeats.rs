//! Heartbeats of another writer: their service is none of this deployment, and their address is that of a server. After
//! a final fault the servers must be used as before.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client;
use crate::deployment::Deployment;
use crate::http;
use crate::operator;
use crate::server::Server;

/// The bound `recovery_s` of the deployment.
const RECOVERY: Duration = Duration::from_secs(15);

/// Sends a request to each gateway every tenth of a second; returns how many were sent and served.
fn requests(deployment: &Deployment, time: Duration) -> (usize, usize) {
    let until = Instant::now() + time;
    let (mut sent, mut served) = (0, 0);
    while Instant::now() < until {
        for edge in 1..=2 {
            let deadline = Duration::from_secs(1);
            let answer = client::send(deployment, edge, "GET", "/lepu270/2f", &client::new_id(), deadline);
            sent += 1;
            served += usize::from(client::is_served(&answer));
        }
        thread::sleep(Duration::from_millis(100));
    }
    (sent, served)
}

pub fn run(deployment: &Arc<Deployment>, trouble: bool) -> Result<bool, String> {
    let nodes = deployment.controls();
    let first = operator::change(
        &operator::limits(1),
        client::HOST,
        &[operator::route("r-first", "safe", "/lepu270/", "huvo11a", 1.0, 1)],
        &[operator::service("huvo11a", 1)],
        "",
    );
    if operator::send(deployment, "the first call", &first, &nodes, Duration::from_secs(15)) != 200 {
        return Err("the first call is not acknowledged".to_owned());
    }
    let mut servers = Vec::new();
    for number in 1..=4 {
        servers.push(Server::start(deployment, number, "huvo11a", 200)?);
    }
    super::wait_until_served(deployment, 2, &["/lepu270/2f"])?;
    let before = requests(deployment, Duration::from_secs(20));
    if trouble {
        // Everything as the pages say, but for a service that is named nowhere. With `TROUBLE=late` it is the heartbeat
        // of an earlier incarnation at the address, which a cut held back until after its end.
        let is_late = std::env::var("TROUBLE").is_ok_and(|value| value == "late");
        let (service, writer) = match is_late {
            true => ("huvo11a", "earlier"),
            false => ("old-album", "of-another-writer"),
        };
        for (number, server) in servers.iter().enumerate() {
            let body = server.heartbeat(service, 3);
            let id = format!("i-{writer}-{number}");
            let node = &nodes[number % nodes.len()];
            let answer = http::call(node, "instances.heartbeat", &id, &body, Duration::from_secs(1));
            let status = answer.map_or(0, |answer| answer.status);
            deployment.record.note(&format!("heartbeat of {id} at {node}: {body}: {status}"));
        }
    }
    let between = requests(deployment, Duration::from_secs(5));
    deployment.record.note("the final fault: all processes are killed");
    deployment.kill_all();
    thread::sleep(Duration::from_secs(1) + RECOVERY);
    let heard = |server: &Arc<Server>| server.acknowledged.load(Ordering::Relaxed);
    let heard_before: Vec<u64> = servers.iter().map(heard).collect();
    let after = requests(deployment, Duration::from_secs(10));
    let heard_after: Vec<u64> = servers.iter().map(heard).collect();
    let all_heard = heard_before.iter().zip(&heard_after).all(|(before, after)| before < after);
    let (sent, served) = (before.0 + between.0, before.1 + between.1);
    deployment.record.say(&format!(
        "before the final fault {served} of {sent} requests were served; later than recovery_s after it {} of {}; all servers run and have their heartbeats acknowledged meanwhile: {all_heard}",
        after.1, after.0
    ));
    if served * 4 < sent {
        return Err("less than a quarter was served before the final fault".to_owned());
    }
    if !all_heard {
        return Err("the heartbeats of the servers are not acknowledged".to_owned());
    }
    Ok(after.1 * 4 < after.0)
}
