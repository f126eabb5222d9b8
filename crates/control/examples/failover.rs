//! Repeatedly injects a fault into the leader of a group of three processes, and measures how long no replica
//! accepts a bundle, and how long after the recovery of the replica all members are alive voters again.
//!
//! `cargo run --release -p grebepin-control --example failover -- --rounds 20`

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use anyhow::{bail, Context};
use clap::Parser;
use grebepin_admin_client::{AdminClient, ClientOptions};
use grebepin_bundle::{public_key, sign, SigningKey};
use grebepin_schema::{FoundRequest, Member, MemberRole, SignedBundle, Status};
use serde_json::json;

const REPLICAS: usize = 3;
const RETRY_INTERVAL: Duration = Duration::from_millis(2);
const RETRY_TIMEOUT: Duration = Duration::from_secs(30);

#[derive(Parser)]
struct Arguments {
    /// Number of faults to inject.
    #[arg(long, default_value_t = 20)]
    rounds: usize,
    /// Fault injected into each leader.
    #[arg(long, value_enum, default_value_t = Fault::Kill)]
    fault: Fault,
    /// Path of the daemon; by default the one built next to this program.
    #[arg(long)]
    daemon: Option<PathBuf>,
}

#[derive(Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
enum Fault {
    /// Kill the process and start it again.
    Kill,
    /// Kill the process and start it again with an empty data directory.
    LoseFolder,
    /// Stop the process by SIGSTOP and continue it by SIGCONT.
    Freeze,
}

struct Replica {
    /// Whether the process is stopped by SIGSTOP.
    frozen: bool,
    settings: PathBuf,
    folder: PathBuf,
    admin: SocketAddr,
    process: Option<Child>,
}

impl Replica {
    fn start(&mut self, daemon: &Path) -> anyhow::Result<()> {
        let process = Command::new(daemon)
            .arg("--settings")
            .arg(&self.settings)
            .stderr(Stdio::null())
            .spawn()
            .context("the daemon does not start; build it in the same profile first")?;
        self.process = Some(process);
        Ok(())
    }

    fn inject(&mut self, fault: Fault) -> anyhow::Result<()> {
        match fault {
            Fault::Kill | Fault::LoseFolder => self.kill(),
            Fault::Freeze => {
                self.frozen = true;
                self.signal("-STOP")
            }
        }
    }

    fn recover(&mut self, fault: Fault, daemon: &Path) -> anyhow::Result<()> {
        if fault == Fault::LoseFolder {
            fs::remove_dir_all(&self.folder)?;
        }
        if self.frozen {
            self.frozen = false;
            return self.signal("-CONT");
        }
        self.start(daemon)
    }

    fn signal(&self, signal: &str) -> anyhow::Result<()> {
        let process = self
            .process
            .as_ref()
            .context("the process is not running")?;
        let number = process.id().to_string();
        let status = Command::new("kill").args([signal, &number]).status()?;
        if !status.success() {
            bail!("kill {signal} {number} failed");
        }
        Ok(())
    }

    fn is_running(&self) -> bool {
        self.process.is_some() && !self.frozen
    }

    fn kill(&mut self) -> anyhow::Result<()> {
        if let Some(mut process) = self.process.take() {
            process.kill()?;
            process.wait()?;
        }
        Ok(())
    }
}

impl Drop for Replica {
    fn drop(&mut self) {
        let _ = self.kill();
    }
}

fn main() -> anyhow::Result<()> {
    let arguments = Arguments::parse();
    let daemon = match arguments.daemon {
        Some(daemon) => daemon,
        None => default_daemon()?,
    };
    let folder = tempfile::tempdir()?;
    let mut replicas = write_settings(folder.path())?;
    for replica in &mut replicas {
        replica.start(&daemon)?;
    }
    let signed = first_bundle()?;
    found(&replicas)?;
    until_accepted(&replicas, &signed)?;
    let mut outages = Vec::new();
    let mut recoveries = Vec::new();
    for _ in 0..arguments.rounds {
        let leader = retry(|| leader_of_complete_group(&replicas))?;
        replicas[leader].inject(arguments.fault)?;
        let injected_at = Instant::now();
        until_accepted(&replicas, &signed)?;
        outages.push(injected_at.elapsed());
        replicas[leader].recover(arguments.fault, &daemon)?;
        let recovered_at = Instant::now();
        retry(|| leader_of_complete_group(&replicas))?;
        recoveries.push(recovered_at.elapsed());
    }
    println!("from          rounds  median ms  p90 ms  worst ms");
    report("fault", outages);
    report("return", recoveries);
    Ok(())
}

fn default_daemon() -> anyhow::Result<PathBuf> {
    let program = std::env::current_exe()?;
    let folder = program.parent().and_then(Path::parent);
    Ok(folder
        .context("the program is not in a target directory")?
        .join("grebepin-control"))
}

fn signing_key() -> SigningKey {
    SigningKey::from_bytes(&[7; 32])
}

fn write_settings(folder: &Path) -> anyhow::Result<Vec<Replica>> {
    let mut listeners = Vec::new();
    for _ in 0..REPLICAS * 3 {
        listeners.push(TcpListener::bind("127.0.0.1:0")?);
    }
    let ports = listeners.iter().map(TcpListener::local_addr);
    let ports: Vec<SocketAddr> = ports.collect::<Result<_, _>>()?;
    let peer_addresses: Vec<String> = ports.chunks(3).map(|own| own[0].to_string()).collect();
    let mut replicas = Vec::new();
    for (number, own) in ports.chunks(3).enumerate() {
        let peers = peer_addresses
            .iter()
            .filter(|peer| **peer != own[0].to_string());
        let peers: Vec<&String> = peers.collect();
        let data_folder = folder.join(format!("replica-{number}"));
        let text = format!(
            "zone = \"zone-{number}\"\ndata_dir = {:?}\npeer_address = \"{}\"\n\
             router_address = \"{}\"\nadmin_address = \"{}\"\npeers = {peers:?}\n\
             required_signatures = 1\n[[operators]]\nname = \"rosa\"\npublic_key = \"{}\"\n",
            data_folder,
            own[0],
            own[1],
            own[2],
            public_key(&signing_key()).as_str(),
        );
        let settings = folder.join(format!("control-{number}.toml"));
        fs::write(&settings, text)?;
        replicas.push(Replica {
            frozen: false,
            settings,
            folder: data_folder,
            admin: own[2],
            process: None,
        });
    }
    Ok(replicas)
}

fn first_bundle() -> anyhow::Result<SignedBundle> {
    let bundle = serde_json::from_value(json!({
        "deployment": "failover",
        "version": 1,
        "services": [{
            "name": "ledger",
            "shards": 16,
            "sides": [{"side": "old", "share": 1}],
            "servers": [{
                "name": "ledger-1", "address": "127.0.0.1:9", "zone": "zone-0", "side": "old",
                "slots": 2, "connections": 10
            }],
            "classes": [{
                "name": "all", "path_prefix": "/", "repeatable": true, "priority": 0,
                "deadline_ms": 1000
            }],
            "queue": {"waiting_per_server": 10},
            "retry": {"budget_percent": 10, "attempts": 2},
            "churn": {"concurrent_moves": 4, "imbalance_percent": 10, "moves_per_minute": 100}
        }]
    }))?;
    let operator = "rosa".parse()?;
    let signature = sign(&bundle, &operator, &signing_key());
    Ok(SignedBundle {
        bundle,
        signatures: vec![signature],
    })
}

/// A client of one replica, without retries.
fn client(replica: &Replica) -> AdminClient {
    let options = ClientOptions {
        timeout: Duration::from_secs(2),
        leader_search_timeout: Duration::ZERO,
    };
    AdminClient::new(vec![replica.admin], options)
}

fn found(replicas: &[Replica]) -> anyhow::Result<()> {
    let mut members = Vec::new();
    for replica in replicas {
        let identity = retry(|| client(replica).identity(replica.admin).ok())?;
        members.push(Member {
            replica: identity.replica,
            role: MemberRole::Voter,
            zone: identity.zone,
            peer_address: identity.peer_address,
            router_address: identity.router_address,
            admin_address: identity.admin_address,
        });
    }
    let request = FoundRequest {
        cluster: "00112233445566778899aabbccddeeff".parse()?,
        members,
    };
    for replica in replicas {
        client(replica).found(replica.admin, &request)?;
    }
    Ok(())
}

/// Submits the bundle until a leader confirms that it is committed; submitting it again is idempotent.
fn until_accepted(replicas: &[Replica], signed: &SignedBundle) -> anyhow::Result<()> {
    let running = replicas.iter().filter(|replica| replica.is_running());
    let clients: Vec<AdminClient> = running.map(client).collect();
    retry(|| clients.iter().find_map(|client| client.roll(signed).ok())).map(|_| ())
}

fn retry<T>(attempt: impl Fn() -> Option<T>) -> anyhow::Result<T> {
    let started = Instant::now();
    loop {
        if let Some(value) = attempt() {
            return Ok(value);
        }
        if started.elapsed() > RETRY_TIMEOUT {
            bail!("no success within {RETRY_TIMEOUT:?}");
        }
        std::thread::sleep(RETRY_INTERVAL);
    }
}

/// The leader, once all members are voters and alive.
fn leader_of_complete_group(replicas: &[Replica]) -> Option<usize> {
    let is_complete = |status: &Status| {
        status.leader == Some(status.replica)
            && status.members.len() == REPLICAS
            && status.tolerated.replicas as usize == REPLICAS / 2
    };
    replicas.iter().position(|replica| {
        let status = client(replica).status_of(replica.admin);
        status.is_ok_and(|status| is_complete(&status))
    })
}

fn report(from: &str, mut times: Vec<Duration>) {
    times.sort();
    let at = |percent: usize| times[(times.len() - 1) * percent / 100].as_millis();
    println!(
        "{from:<12}  {:>6}  {:>9}  {:>6}  {:>8}",
        times.len(),
        at(50),
        at(90),
        at(100)
    );
}
