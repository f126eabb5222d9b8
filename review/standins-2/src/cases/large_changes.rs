//! Hundreds of changes, each of which lists all routes of a configuration that has grown. The platform kills processes
//! that use more than the memory of their machine. At the end the configuration must be read back.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client;
use crate::deployment::{Class, Deployment, CORE_MEMORY_MB};
use crate::operator;
use crate::server::Server;

/// Routes that one growth adds, and how often the configuration grows.
const ROUTES_PER_GROWTH: usize = 350;
const GROWTHS: usize = 5;

/// Changes of the day, and the pause between two.
const CHANGES: u64 = 200;
const GAP: Duration = Duration::from_millis(330);

/// The bounds `recovery_s` and `contact_s` of the deployment.
const RECOVERY: Duration = Duration::from_secs(15);
const CONTACT: Duration = Duration::from_secs(3);

/// Time after which the operator makes no further changes.
const LAST_CHANGE: Duration = Duration::from_secs(78);

fn grown_route(number: usize, version: u64) -> String {
    let (first, second) = (90 - version % 2, 10 + version % 2);
    format!("{{\"name\":\"r-9n7{number:04}\",\"kind\":\"safe\",\"target_latency_s\":0.3,\"priority\":2,\"version\":\"r{version}\",\"match\":{{\"path_prefix\":\"/xapu{number:04}/\"}},\"action\":{{\"backends\":[{{\"service\":\"huvo11a\",\"weight\":{first}}},{{\"service\":\"kafi81c\",\"weight\":{second}}}],\"timeout_s\":0.8,\"max_attempts\":2}}}}")
}

pub fn run(deployment: &Arc<Deployment>, trouble: bool) -> Result<bool, String> {
    let started = Instant::now();
    let nodes = deployment.controls();
    let first = operator::change(
        &operator::limits(1),
        client::HOST,
        &[operator::route("r-first", "safe", "/lepu270/", "huvo11a", 1.0, 1)],
        &[operator::service("huvo11a", 1), operator::service("kafi81c", 1)],
        "",
    );
    if operator::send(deployment, "the first call", &first, &nodes, Duration::from_secs(15)) != 200 {
        return Err("the first call is not acknowledged".to_owned());
    }
    let _huvo = Server::start(deployment, 1, "huvo11a", 200)?;
    let _kafi = Server::start(deployment, 2, "kafi81c", 200)?;
    super::wait_until_served(deployment, 2, &["/lepu270/2f"])?;

    let count = ROUTES_PER_GROWTH * GROWTHS;
    let mut version = 2;
    for growth in 0..GROWTHS {
        let numbers = growth * ROUTES_PER_GROWTH..(growth + 1) * ROUTES_PER_GROWTH;
        let routes: Vec<String> = numbers.map(|number| grown_route(number, version)).collect();
        let body = operator::change("", client::HOST, &routes, &[], "");
        if operator::send(deployment, "more routes", &body, &nodes, Duration::from_secs(15)) != 200 {
            return Err("the new routes are not acknowledged".to_owned());
        }
    }
    let mut acknowledged = 0;
    let mut unanswered = 0;
    for change in 0..CHANGES {
        let begun = Instant::now();
        if started.elapsed() > LAST_CHANGE {
            break;
        }
        version += 1;
        // Each change has new weights: for all routes, or without the trouble for one.
        let numbers = match trouble {
            true => 0..count,
            false => 0..1,
        };
        let routes: Vec<String> = numbers.map(|number| grown_route(number, version)).collect();
        let body = operator::change("", client::HOST, &routes, &[], "");
        let what = format!("change {change} of {} routes to r{version}", routes.len());
        let left = LAST_CHANGE.saturating_sub(started.elapsed());
        match operator::send(deployment, &what, &body, &nodes, left) {
            200 => acknowledged = version,
            0 => unanswered += 1,
            status => return Err(format!("a valid change is refused with {status}")),
        }
        thread::sleep(GAP.saturating_sub(begun.elapsed()));
    }
    let kills_before = deployment.memory_kills(Class::Core);
    deployment.record.note(&format!("operator: no more changes; the newest acknowledged version is r{acknowledged}"));
    thread::sleep(RECOVERY);

    let until = Instant::now() + CONTACT * 2;
    let newest = grown_route(0, acknowledged);
    let mut is_read_back = false;
    let mut reads = 0;
    while !is_read_back && Instant::now() < until {
        for node in &nodes {
            let answer = operator::read(deployment, node);
            reads += 1;
            is_read_back |= answer.is_some_and(|one| one.status == 200 && one.text().contains(&newest));
        }
        thread::sleep(Duration::from_millis(200));
    }
    let kills = deployment.memory_kills(Class::Core);
    let peak = deployment.peak_memory(Class::Core);
    let changes = version - 2;
    deployment.record.say(&format!(
        "{changes} changes, {unanswered} without an acknowledgement; core processes killed for memory over {CORE_MEMORY_MB} MB {kills:?} times ({kills_before:?} until the last change), peak {peak} MB; the acknowledged configuration is read back: {is_read_back} ({reads} reads)"
    ));
    Ok(!is_read_back)
}
