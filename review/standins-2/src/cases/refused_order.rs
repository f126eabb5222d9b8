//! A core machine is frozen while the operator sends a change there. The operator gets no answer, sends the change to
//! another node and is refused. Later the change must not be in force.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client;
use crate::deployment::{Class, Deployment, SIGCONT, SIGSTOP};
use crate::operator;
use crate::server::Server;

/// How long the core machine is frozen, and the bound `config_apply_s` of the deployment.
const FROZEN: Duration = Duration::from_millis(3_500);
const CONFIG_APPLY: Duration = Duration::from_secs(2);

pub fn run(deployment: &Arc<Deployment>, trouble: bool) -> Result<bool, String> {
    let nodes = deployment.controls();
    let first = operator::change(
        &operator::limits(1),
        client::HOST,
        &[operator::route("r-old", "safe", "/lepu270/", "huvo11a", 1.0, 1)],
        &[operator::service("huvo11a", 1), operator::service("kafi81c", 1)],
        "",
    );
    if operator::send(deployment, "the first call", &first, &nodes, Duration::from_secs(15)) != 200 {
        return Err("the first call is not acknowledged".to_owned());
    }
    let old = Server::start(deployment, 1, "huvo11a", 200)?;
    let new = Server::start(deployment, 2, "kafi81c", 200)?;
    super::wait_until_served(deployment, 2, &["/lepu270/2f"])?;
    while new.acknowledged.load(std::sync::atomic::Ordering::Relaxed) == 0 {
        thread::sleep(Duration::from_millis(50));
    }
    thread::sleep(Duration::from_secs(4));

    // A machine that does not lead freezes.
    let frozen: u8 = match old.finds_leader_at(&nodes[0]) {
        true => 2,
        false => 1,
    };
    let mut order = nodes.clone();
    order.swap(0, usize::from(frozen) - 1);
    let frozen_at = Instant::now();
    if trouble {
        deployment.record.note(&format!("platform: core-{frozen} freezes"));
        deployment.signal(Class::Core, frozen, SIGSTOP);
    }
    // A mistake of the operator: the route has the host and the prefix of another one.
    let mistake = operator::route("r-new", "safe", "/lepu270/", "kafi81c", 1.0, 5);
    let mistake = operator::change("", client::HOST, &[mistake], &[], "");
    let status = operator::send(deployment, "r-new with the place of r-old", &mistake, &order, Duration::from_secs(15));
    if status != 400 {
        return Err(format!("the invalid change is answered with {status}"));
    }
    // Only later, and at nodes that are well, the operator drops the old route.
    let removed = "{\"name\":\"r-old\",\"version\":\"r9\"}";
    let drop_old = operator::change("", "", &[], &[], removed);
    if operator::send(deployment, "r-old is dropped", &drop_old, &order[1..], Duration::from_secs(15)) != 200 {
        return Err("the removal is not acknowledged".to_owned());
    }
    thread::sleep(FROZEN.saturating_sub(frozen_at.elapsed()));
    if trouble {
        deployment.record.note(&format!("platform: core-{frozen} wakes"));
        deployment.signal(Class::Core, frozen, SIGCONT);
    }
    thread::sleep(CONFIG_APPLY + Duration::from_secs(3));

    let mut read_back = 0;
    for node in &nodes {
        let answer = operator::read(deployment, node);
        let answer = answer.filter(|answer| answer.status == 200);
        let Some(answer) = answer else { continue };
        if answer.text().contains("\"r-new\"") {
            read_back += 1;
            deployment.record.note(&format!("the configuration at {node} has r-new, which was refused"));
        }
    }
    let before = new.runs.lock().unwrap().len();
    for number in 0..20 {
        let edge = 1 + number % 2;
        let deadline = Duration::from_secs(1);
        let _ = client::send(deployment, edge, "GET", "/lepu270/2f", &client::new_id(), deadline);
    }
    let runs = new.runs.lock().unwrap().len() - before;
    let old_runs = old.runs.lock().unwrap().len();
    deployment.record.say(&format!(
        "r-new was refused with 400; {read_back} of 3 nodes have it in the configuration, and {runs} of 20 requests ran by it ({old_runs} ran by r-old before)"
    ));
    Ok(read_back > 0 || runs > 0)
}
