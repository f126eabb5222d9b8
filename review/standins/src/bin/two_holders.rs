//! Beats that an upstream sent before it held any key arrive late, at a leader that has just begun. The leader takes
//! them for proof that the upstream has released keys which it holds under a lease.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use review_standins::deployment::{send_items, Deployment, CORES};
use review_standins::http;
use review_standins::json::Json;
use review_standins::keys::KEYS;
use review_standins::run::{run, say, Case, Outcome};
use review_standins::upstream::{Nature, Shared, Upstream};

const ITEMS: &str = r#"{"upsert":{"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15,"version":"r1"},"listeners":[{"host":"jepu9.example","rules":[{"name":"r-lookup","kind":"safe","target_latency_s":0.3,"priority":2,"version":"r1","match":{"path_prefix":"/lepu270/"},"action":{"service":"dele69a","timeout_s":1,"max_attempts":2}}]}],"clusters":[{"name":"dele69a","health_path":"/healthz","max_connections":130,"protocol":"h1","tls":false,"sharded":true,"warm_s":2.0,"grants":"heartbeat","version":"r1"},{"name":"xano55b","health_path":"/healthz","max_connections":130,"protocol":"h1","tls":false,"version":"r1"}]},"remove":{"routes":[]}}"#;

const SERVICE: &str = "dele69a";

/// Two upstreams must not hold the same keys for longer.
const LONGEST_OVERLAP: Duration = Duration::from_millis(500);

fn main() {
    run(body)
}

fn body(case: &Case, deployment: &mut Deployment) -> Outcome {
    match play(case, deployment) {
        Ok(outcome) => outcome,
        Err(why) => Outcome::CouldNotRun(why),
    }
}

fn play(case: &Case, deployment: &mut Deployment) -> Result<Outcome, String> {
    let layout = deployment.layout;
    let shared = Shared::new(case.record.clone());
    let start = |id: &str, number: u8, keyed: bool, service: &str| {
        let nature = Nature {
            keyed,
            ..Nature::default()
        };
        let address = layout.upstream(number);
        let controls = layout.controls();
        Upstream::start(&shared, service, id, address, controls, nature)
            .map_err(|error| format!("upstream {id}: {error}"))
    };
    if !send_items(layout, &case.record, ITEMS, Duration::from_secs(20)) {
        return Err("the items are not acknowledged".to_owned());
    }
    // An upstream of another service shows which node leads: the others name it in their answers.
    let pooled = start("i-pooled", 9, false, "xano55b")?;
    let leader = find_leader(&pooled, &layout.controls()).ok_or("no node leads")?;
    pooled.keep_beating(Duration::from_millis(700));
    let leader_core = (1..=CORES).find(|core| layout.control(*core) == leader);
    let leader_core = leader_core.ok_or("the leader is no core machine")?;
    case.record
        .line(&format!("core machine {leader_core} ({leader}) leads"));
    let others: Vec<SocketAddr> = layout.controls();
    let others: Vec<SocketAddr> = others.into_iter().filter(|one| *one != leader).collect();

    let mut stayers = Vec::new();
    for number in 1..=5_u8 {
        let stayer = start(&format!("i-y{number}"), 1 + number, true, SERVICE)?;
        stayer.keep_beating(Duration::from_millis(200 + 300 * u64::from(number)));
        stayers.push(stayer);
    }
    // X starts. Its first three beats, to the other nodes, get no answer within a second; they are late.
    let leaver = start("i-x", 1, true, SERVICE)?;
    let mut late = Vec::new();
    if case.trouble {
        for to in others.iter().cycle().take(3) {
            let (sequence, body) = leaver.beat();
            leaver.line(&format!(
                "beat {sequence} to {to}: sent, on its way: {body}"
            ));
            late.push((*to, sequence, body));
            thread::sleep(Duration::from_secs(1));
        }
    }
    let mut all = stayers.clone();
    all.push(Arc::clone(&leaver));
    let watched = watch_overlaps(&shared, all.clone());

    // X beats at the leader and leaves right after the second beat at which it holds keys.
    let until = Instant::now() + Duration::from_secs(25);
    let held = |all: &[Arc<Upstream>]| -> usize {
        all.iter().map(|one| one.keys.lock().unwrap().count()).sum()
    };
    let mut held_at = 0;
    loop {
        let began = Instant::now();
        leaver.beat_at(leader);
        let own = leaver.keys.lock().unwrap().count();
        held_at += u32::from(own > 0);
        if held_at == 2 {
            break;
        }
        if Instant::now() > until {
            return Err("the upstream is given no keys".to_owned());
        }
        thread::sleep(Duration::from_millis(1_500).saturating_sub(began.elapsed()));
    }
    leaver.line("says that it leaves");
    let call = format!("instances.deregister&of={}", leaver.id);
    let request = http::control_call(leader, &call, "");
    let answer = http::exchange(leader, &request, Duration::from_secs(1));
    let left = answer.is_ok_and(|answer| answer.status() == 200);
    leaver.line(&format!("deregister at {leader}: acknowledged {left}"));
    if !left {
        return Err("the leave is not acknowledged".to_owned());
    }
    let left_at = Instant::now();
    if case.trouble {
        deployment.kill_core(leader_core);
        case.record
            .line(&format!("core machine {leader_core} is killed"));
        leaver.cut.store(true, Ordering::Relaxed);
        case.record
            .line("upstream i-x is partitioned from the core from now on");
        let lateness = [1_600, 2_200, 2_700].map(Duration::from_millis);
        for ((to, sequence, body), after) in late.into_iter().zip(lateness) {
            let call = leaver.beat_call();
            let record = case.record.clone();
            thread::spawn(move || {
                thread::sleep(after.saturating_sub(left_at.elapsed()));
                let request = http::control_call(to, &call, &body);
                record.line(&format!("late beat {sequence} of i-x arrives at {to}"));
                let answer = http::exchange(to, &request, Duration::from_secs(1));
                let text = answer.map_or_else(
                    |error| error.to_string(),
                    |answer| format!("{} {}", answer.status(), answer.text()),
                );
                record.line(&format!(
                    "late beat {sequence} of i-x: its answer, which nobody waits for: {text}"
                ));
            });
        }
    }
    leaver.keep_beating(Duration::from_millis(1_400));
    let mut is_down = case.trouble;
    while left_at.elapsed() < Duration::from_secs(7) {
        if is_down && left_at.elapsed() > Duration::from_millis(800) {
            is_down = false;
            deployment
                .restart_core(leader_core)
                .map_err(|error| error.to_string())?;
            case.record
                .line(&format!("core machine {leader_core} is started again"));
        }
        thread::sleep(Duration::from_millis(20));
    }
    let end = Instant::now() + Duration::from_secs(10);
    while held(&stayers) < KEYS && Instant::now() < end {
        thread::sleep(Duration::from_millis(50));
    }
    leaver.ended.store(true, Ordering::Relaxed);
    let all_taken = held(&stayers) == KEYS;
    shared.stop.store(true, Ordering::Relaxed);
    let longest = watched.join().map_err(|_| "the watcher failed")?;
    case.record.line(&format!(
        "longest time for which two upstreams that are up held the same key: {:.3} s (allowed: 0.5 s); the others hold all keys at the end: {all_taken}",
        longest.as_secs_f64()
    ));
    say(&format!(
        "two holders of a key for {:.3} s",
        longest.as_secs_f64()
    ));
    deployment.copy_log_lines(&case.record, &["i-x", "leads", "Leads"]);
    if longest > LONGEST_OVERLAP {
        return Ok(Outcome::Broken);
    }
    match all_taken {
        true => Ok(Outcome::Held),
        false => Err("the keys of the leaving upstream have no owner".to_owned()),
    }
}

/// The node that leads: other nodes name it in their answers to beats.
fn find_leader(pooled: &Arc<Upstream>, controls: &[SocketAddr]) -> Option<SocketAddr> {
    for _ in 0..20 {
        for to in controls {
            let Some(answer) = pooled.beat_at(*to) else {
                continue;
            };
            let endpoint = answer.get("heartbeat_endpoint").and_then(Json::text);
            if let Some(endpoint) = endpoint {
                return endpoint.parse().ok();
            }
        }
        thread::sleep(Duration::from_millis(200));
    }
    None
}

/// Looks every 10 ms for keys that two upstreams hold; returns the longest time for which one key had two holders.
fn watch_overlaps(shared: &Arc<Shared>, all: Vec<Arc<Upstream>>) -> thread::JoinHandle<Duration> {
    let shared = Arc::clone(shared);
    thread::spawn(move || {
        let mut since: Vec<Option<Instant>> = vec![None; KEYS];
        let mut longest = Duration::ZERO;
        let mut told = false;
        while !shared.stop.load(Ordering::Relaxed) {
            let now = Instant::now();
            let mut holders: Vec<Vec<(usize, u64)>> = vec![Vec::new(); KEYS];
            for (number, one) in all.iter().enumerate() {
                let mut keys = one.keys.lock().unwrap();
                keys.expire(now);
                for (key, holders) in holders.iter_mut().enumerate() {
                    if let Some(fence) = keys.fence(key) {
                        holders.push((number, fence));
                    }
                }
            }
            let doubled = holders.iter().filter(|holders| holders.len() > 1).count();
            if (doubled > 0) != told {
                told = doubled > 0;
                let example = holders.iter().position(|holders| holders.len() > 1);
                let text = example.map_or_else(String::new, |key| {
                    let holders = holders[key].iter();
                    let holders: Vec<String> = holders
                        .map(|(number, fence)| format!("{} under fence {fence}", all[*number].id))
                        .collect();
                    let ends = all.iter().map(|one| {
                        let end = one.keys.lock().unwrap().lease_end();
                        end.map_or(0.0, |end| shared.record.seconds(end))
                    });
                    let ends: Vec<String> = ends.map(|end| format!("{end:.3}")).collect();
                    format!(
                        "; key {key} is held by {}; leases end at {}",
                        holders.join(" and "),
                        ends.join(", ")
                    )
                });
                shared
                    .record
                    .line(&format!("OWNER: {doubled} keys have two holders{text}"));
            }
            for (since, holders) in since.iter_mut().zip(&holders) {
                match holders.len() > 1 {
                    true => {
                        let began = *since.get_or_insert(now);
                        longest = longest.max(now.saturating_duration_since(began));
                    }
                    false => *since = None,
                }
            }
            thread::sleep(Duration::from_millis(10));
        }
        longest
    })
}
