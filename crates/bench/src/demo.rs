//! The demonstration: a small deployment as processes, a kill, a second bundle, and the measures.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{bail, Context};
use grebepin_schema::{SignedBundle, SocketAddress, TableSnapshot};

use crate::fleet::{Layout, Process, ProcessError, ProcessPlan};

const SERVERS: usize = 6;
const SHARDS: u32 = 64;
const CALLERS: usize = 8;
const ROUTERS: usize = 2;
const CALL_INTERVAL: Duration = Duration::from_millis(10);

/// Flags of the demonstration.
#[derive(Debug, clap::Args)]
pub struct DemoArguments {
    /// Folder for settings, logs and records.
    #[arg(long, default_value = "target/demo")]
    folder: std::path::PathBuf,
    /// Length of each of the three phases, in seconds.
    #[arg(long, default_value_t = 5)]
    phase_seconds: u64,
}

#[derive(Clone, Copy)]
struct Call {
    number: u64,
    ended: Instant,
    outcome: Outcome,
    router_said_not_run: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
enum Outcome {
    Answered,
    NotRun,
    Unknown,
    NoAnswer,
}

/// Runs the demonstration; fails when a promise broke.
pub fn run(arguments: &DemoArguments) -> anyhow::Result<()> {
    let layout = Layout::create(&arguments.folder)?;
    let control = Layout::free_addresses(3)?;
    let routers = Layout::free_addresses(2 * ROUTERS)?;
    let servers = Layout::free_addresses(SERVERS)?;
    let mut processes = start(&layout, &control, &routers, &servers)?;
    let admin = control[2].to_string();
    wait_for_port(&admin)?;
    roll(&admin, &bundle(1, &servers, 80, 20))?;
    wait_for_service(&routers[0])?;
    println!("bundle 1 in force; every owner serves");

    let stop = Arc::new(AtomicBool::new(false));
    let calls = Arc::new(Mutex::new(Vec::new()));
    let callers = start_callers(&routers, &stop, &calls);
    let phase = Duration::from_secs(arguments.phase_seconds);
    thread::sleep(phase);
    let before = table(&admin)?;
    println!("killing server-0");
    let victim = processes
        .iter()
        .position(|process| process.plan().name == "server-0");
    processes[victim.context("server-0 runs")?].kill()?;
    thread::sleep(phase);
    let after_kill = table(&admin)?;
    println!("rolling bundle 2: shares 80/20 become 50/50");
    roll(&admin, &bundle(2, &servers, 50, 50))?;
    thread::sleep(phase);
    let after_roll = table(&admin)?;
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.join().ok();
    }
    let calls = calls
        .lock()
        .map_or_else(|_| Vec::new(), |calls| calls.clone());
    println!(
        "churn: loss {} shards, roll {} shards",
        moved(&before, &after_kill),
        moved(&after_kill, &after_roll)
    );
    println!(
        "imbalance of keys (max/mean of owners): {:.2}",
        imbalance(&after_roll)
    );
    let broken = report(&layout, &calls)?;
    drop(processes);
    if broken > 0 {
        bail!("{broken} promises broken");
    }
    Ok(())
}

fn start(
    layout: &Layout,
    control: &[SocketAddress],
    routers: &[SocketAddress],
    servers: &[SocketAddress],
) -> anyhow::Result<Vec<Process>> {
    let folder = layout.folder();
    let settings = format!(
        "zone = \"boa-vista\"\ndata_dir = \"{}\"\npeer_address = \"{}\"\nrouter_address = \"{}\"\n\
         admin_address = \"{}\"\npeers = []\noperators = []\nrequired_signatures = 1\n",
        folder.join("control").display(),
        control[0].as_str(),
        control[1].as_str(),
        control[2].as_str()
    );
    let path = layout.write("control.toml", &settings)?;
    let mut processes = vec![start_process(
        folder,
        "control",
        vec!["control".into(), path.into()],
    )?];
    for router in 0..ROUTERS {
        let settings = format!(
            "name = \"router-{router}\"\nzone = \"boa-vista\"\nlisten_address = \"{}\"\n\
             admin_address = \"{}\"\ncontrol_addresses = [\"{}\"]\n",
            routers[router].as_str(),
            routers[ROUTERS + router].as_str(),
            control[1].as_str()
        );
        let path = layout.write(&format!("router-{router}.toml"), &settings)?;
        let name = format!("router-{router}");
        processes.push(start_process(
            folder,
            &name,
            vec!["router".into(), path.into()],
        )?);
    }
    for (number, address) in servers.iter().enumerate() {
        let name = format!("server-{number}");
        let effects = folder.join(format!("{name}.effects"));
        let listen = address.to_string();
        let arguments = [
            "back-end".into(),
            "--listen".into(),
            listen.into(),
            "--effects".into(),
            effects.into(),
        ];
        processes.push(start_process(folder, &name, arguments.into())?);
    }
    Ok(processes)
}

fn start_process(
    folder: &Path,
    name: &str,
    arguments: Vec<std::ffi::OsString>,
) -> Result<Process, ProcessError> {
    Process::start(ProcessPlan {
        name: name.to_string(),
        folder: folder.to_path_buf(),
        arguments,
    })
}

fn bundle(version: u64, servers: &[SocketAddress], recife: u32, olinda: u32) -> serde_json::Value {
    let servers: Vec<_> = servers
        .iter()
        .enumerate()
        .map(|(number, address)| {
            serde_json::json!({
                "name": format!("server-{number}"), "address": address, "zone": "boa-vista",
                "side": if number % 2 == 0 { "mainframe" } else { "cloud" }, "slots": 2, "connections": 100,
            })
        })
        .collect();
    serde_json::json!({ "signatures": [], "bundle": {
        "deployment": "demo", "version": version,
        "services": [{
            "name": "saldo-limite", "shards": SHARDS, "servers": servers,
            "sides": [{"side": "mainframe", "share": recife}, {"side": "cloud", "share": olinda}],
            "classes": [{"name": "approve", "path_prefix": "/", "repeatable": false, "priority": 0, "deadline_ms": 5000}],
            "queue": {"waiting_per_server": 64},
            "retry": {"budget_percent": 20, "attempts": 3},
            "churn": {"moves_per_minute": 600, "concurrent_moves": 16, "imbalance_percent": 10},
        }],
    }})
}

fn roll(admin: &str, bundle: &serde_json::Value) -> anyhow::Result<()> {
    let signed: SignedBundle = serde_json::from_value(bundle.clone())?;
    ureq::post(format!("http://{admin}/v1/bundles")).send_json(&signed)?;
    Ok(())
}

fn table(admin: &str) -> anyhow::Result<TableSnapshot> {
    Ok(ureq::get(format!("http://{admin}/v1/table"))
        .call()?
        .body_mut()
        .read_json()?)
}

fn wait_for_port(address: &str) -> anyhow::Result<()> {
    for _ in 0..200 {
        if std::net::TcpStream::connect(address).is_ok() {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(25));
    }
    bail!("nothing listens on {address}")
}

/// Waits until a request for each of many keys is answered.
fn wait_for_service(router: &SocketAddress) -> anyhow::Result<()> {
    wait_for_port(router.as_str())?;
    for key in 0..4 * SHARDS {
        for attempt in 0.. {
            let outcome = send(
                &ureq::agent(),
                router,
                &format!("warm-{key}"),
                &format!("warm-{key}-{attempt}"),
            );
            if outcome == Outcome::Answered {
                break;
            }
            if attempt > 100 {
                bail!("no answer for a key after 100 attempts");
            }
            thread::sleep(Duration::from_millis(50));
        }
    }
    Ok(())
}

fn start_callers(
    routers: &[SocketAddress],
    stop: &Arc<AtomicBool>,
    calls: &Arc<Mutex<Vec<Call>>>,
) -> Vec<thread::JoinHandle<()>> {
    (0..CALLERS)
        .map(|caller| {
            let router = routers[caller % ROUTERS].clone();
            let stop = Arc::clone(stop);
            let calls = Arc::clone(calls);
            thread::spawn(move || run_caller(caller as u64, &router, &stop, &calls))
        })
        .collect()
}

fn run_caller(caller: u64, router: &SocketAddress, stop: &AtomicBool, calls: &Mutex<Vec<Call>>) {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_secs(6)))
        .build();
    let agent = ureq::Agent::new_with_config(config);
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        let number = count * CALLERS as u64 + caller;
        count += 1;
        let outcome = send(
            &agent,
            router,
            &format!("key-{}", number % 997),
            &number.to_string(),
        );
        let call = Call {
            number,
            ended: Instant::now(),
            outcome,
            router_said_not_run: outcome == Outcome::NotRun,
        };
        if let Ok(mut calls) = calls.lock() {
            calls.push(call);
        }
        thread::sleep(CALL_INTERVAL);
    }
}

fn send(agent: &ureq::Agent, router: &SocketAddress, key: &str, id: &str) -> Outcome {
    let answer = agent
        .post(format!("http://{}/saldo-limite/approve", router.as_str()))
        .header("Grebepin-Key", key)
        .header("Grebepin-Request-Id", id)
        .header("Grebepin-Deadline-Ms", "3000")
        .send("approve");
    let Ok(answer) = answer else {
        return Outcome::NoAnswer;
    };
    match answer
        .headers()
        .get("Grebepin-Outcome")
        .and_then(|value| value.to_str().ok())
    {
        Some("answered") => Outcome::Answered,
        Some("not-run") => Outcome::NotRun,
        Some("unknown") => Outcome::Unknown,
        _ => Outcome::NoAnswer,
    }
}

fn moved(before: &TableSnapshot, after: &TableSnapshot) -> usize {
    let owners = |table: &TableSnapshot| {
        table
            .table
            .services
            .iter()
            .flat_map(|service| service.owners.clone())
            .collect::<Vec<_>>()
    };
    owners(before)
        .iter()
        .zip(owners(after))
        .filter(|(old, new)| old.server != new.server)
        .count()
}

fn imbalance(table: &TableSnapshot) -> f64 {
    let mut counts: BTreeMap<u32, usize> = BTreeMap::new();
    let owners = table
        .table
        .services
        .iter()
        .flat_map(|service| &service.owners);
    for server in owners.filter_map(|owner| owner.server) {
        *counts.entry(server).or_default() += 1;
    }
    let most = counts.values().max().copied().unwrap_or_default() as f64;
    let total: usize = counts.values().sum();
    most * counts.len() as f64 / total.max(1) as f64
}

/// Prints outcomes and unavailable time; returns the count of broken promises.
fn report(layout: &Layout, calls: &[Call]) -> anyhow::Result<usize> {
    let mut outcomes: BTreeMap<Outcome, usize> = BTreeMap::new();
    for call in calls {
        *outcomes.entry(call.outcome).or_default() += 1;
    }
    println!("requests: {} {outcomes:?}", calls.len());
    let mut ends: Vec<Instant> = calls
        .iter()
        .filter(|call| call.outcome == Outcome::Answered)
        .map(|call| call.ended)
        .collect();
    ends.sort();
    let gap = ends
        .windows(2)
        .map(|pair| pair[1] - pair[0])
        .max()
        .unwrap_or_default();
    println!(
        "longest time without any answer: {:.3} s",
        gap.as_secs_f64()
    );
    let effects = read_effects(layout.folder())?;
    let twice = effects.values().filter(|count| **count > 1).count();
    let ran: BTreeSet<&String> = effects.keys().collect();
    let lies = calls
        .iter()
        .filter(|call| call.router_said_not_run && ran.contains(&call.number.to_string()))
        .count();
    let lost = calls
        .iter()
        .filter(|call| call.outcome == Outcome::Answered && !ran.contains(&call.number.to_string()))
        .count();
    println!(
        "promises broken: run twice {twice}, not-run but ran {lies}, answered but not run {lost}"
    );
    Ok(twice + lies + lost)
}

fn read_effects(folder: &Path) -> anyhow::Result<BTreeMap<String, usize>> {
    let mut effects: BTreeMap<String, usize> = BTreeMap::new();
    for number in 0..SERVERS {
        let text = std::fs::read_to_string(folder.join(format!("server-{number}.effects")))?;
        for id in text.lines().filter_map(|line| line.split(' ').nth(1)) {
            *effects.entry(id.to_string()).or_default() += 1;
        }
    }
    Ok(effects)
}
