//! A small deployment of the project's own programs on loopback addresses: directory replicas on core machines and
//! gateways on edge machines, with the settings that the templates of the deploy file give. Also the platform's part:
//! it restarts processes that ended and kills those that use more memory than their machine has.

use std::fs;
use std::io::Write;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::network::Network;

pub const CONTROL_PORT: u16 = 28_400;
pub const LINK_PORT: u16 = 27_540;
pub const PEER_PORT: u16 = 27_555;
pub const FRONT_PORT: u16 = 28_548;
pub const READY_PORT: u16 = 28_542;
pub const METRICS_PORT: u16 = 29_464;
pub const SERVER_PORT: u16 = 29_000;

/// Memory of a machine of each class, in mebibytes, as in the deployments of the pages.
pub const CORE_MEMORY_MB: u64 = 256;
pub const EDGE_MEMORY_MB: u64 = 260;

/// Delay after which the platform restarts a process.
const RESTART_DELAY: Duration = Duration::from_millis(500);

pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    Core,
    Edge,
}

/// Writes what was sent, answered and run.
pub struct Record {
    started: Instant,
    file: Mutex<fs::File>,
}

impl Record {
    pub fn create(path: &PathBuf) -> std::io::Result<Self> {
        Ok(Self {
            started: Instant::now(),
            file: Mutex::new(fs::File::create(path)?),
        })
    }

    pub fn note(&self, line: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {line}");
    }

    /// Notes a line and prints it as well.
    pub fn say(&self, line: &str) {
        println!("{line}");
        self.note(line);
    }
}

/// One machine with its process.
pub struct Machine {
    pub class: Class,
    pub number: u8,
    child: Option<Child>,
    /// When the platform starts the process again; `None` while it runs.
    restart_at: Option<Instant>,
    /// Times at which the platform killed the process because of its memory.
    pub memory_kills: u32,
    pub peak_memory: u64,
}

pub struct Deployment {
    pub subnet: u8,
    /// Proxies in front of all ports, which can cut machines off from each other; `None` where clients and machines
    /// connect to the processes directly.
    pub network: Option<Arc<Network>>,
    pub folder: PathBuf,
    cores: u8,
    pub machines: Mutex<Vec<Machine>>,
    pub record: Arc<Record>,
    is_first_start: AtomicBool,
    stop: AtomicBool,
}

impl Deployment {
    /// Starts all processes, and the platform's watch over them.
    pub fn start(cores: u8, edges: u8, is_proxied: bool, record: &Arc<Record>) -> Result<Arc<Self>, String> {
        let subnet = free_subnet().ok_or("no free loopback addresses")?;
        let name = format!("grebepin-review-2-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let machine = |class, number| Machine {
            class,
            number,
            child: None,
            restart_at: None,
            memory_kills: 0,
            peak_memory: 0,
        };
        let cores_and_edges = (1..=cores)
            .map(|number| machine(Class::Core, number))
            .chain((1..=edges).map(|number| machine(Class::Edge, number)));
        let network = match is_proxied {
            true => Some(Network::start(subnet, cores, edges)?),
            false => None,
        };
        let deployment = Arc::new(Self {
            subnet,
            network,
            folder,
            cores,
            machines: Mutex::new(cores_and_edges.collect()),
            record: Arc::clone(record),
            is_first_start: AtomicBool::new(true),
            stop: AtomicBool::new(false),
        });
        for machine in deployment.machines.lock().unwrap().iter_mut() {
            deployment.run(machine)?;
        }
        deployment.is_first_start.store(false, Ordering::Relaxed);
        let watched = Arc::clone(&deployment);
        thread::spawn(move || watched.watch());
        Ok(deployment)
    }

    pub fn ip(&self, class: Class, number: u8) -> String {
        advertised_ip(self.subnet, class, number)
    }

    pub fn control(&self, number: u8) -> String {
        format!("{}:{CONTROL_PORT}", self.ip(Class::Core, number))
    }

    /// Control addresses of all core machines.
    pub fn controls(&self) -> Vec<String> {
        (1..=self.cores).map(|number| self.control(number)).collect()
    }

    pub fn front(&self, number: u8) -> String {
        format!("{}:{FRONT_PORT}", self.ip(Class::Edge, number))
    }

    pub fn server(&self, number: u8) -> String {
        format!("127.{}.3.{number}:{SERVER_PORT}", self.subnet)
    }

    fn settings(&self, machine: &Machine) -> String {
        let ip = self.ip(machine.class, machine.number);
        let seeds: Vec<String> = self.controls().iter().map(|one| format!("\"{one}\"")).collect();
        let seeds = seeds.join(",");
        let number = machine.number;
        let zone = (number - 1) % 3 + 1;
        let bind_ip = match self.network {
            Some(_) => format!("bind_ip = \"{}\"\n", process_ip(self.subnet, machine.class, number)),
            None => String::new(),
        };
        let bounds = "[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_s = 3\nack_s = 4\ncatch_up_s = 4\ndrain_s = 2\ngrace_s = 6\nloss_slack_s = 0.2\nconfig_apply_s = 2\nrollback_slack_s = 0.25\nmax_stretch_s = 5\nbudget_ratio = 0.2\nbudget_window_s = 10\nbudget_slack = 56\nrecovery_s = 15\nhold_max_s = 10\nthaw_s = 0.3\n";
        match machine.class {
            Class::Core => format!(
                "node = \"core-{number}\"\nzone = \"zone-{zone}\"\nzones = [\"zone-1\",\"zone-2\",\"zone-3\"]\ncontrol_address = \"{ip}:{CONTROL_PORT}\"\n{bind_ip}metrics_port = {METRICS_PORT}\nlink_port = {LINK_PORT}\nseeds = [{seeds}]\nbootstrap = {}\ndata_dir = \"{}\"\nheartbeat_s = 1.3\nlink_mbps = 1000.0\ntolerance_member = true\n\n[fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0\n\n{bounds}",
                self.is_first_start.load(Ordering::Relaxed),
                self.folder.join(format!("core-{number}.data")).display(),
            ),
            Class::Edge => format!(
                "node = \"edge-{number}\"\nzone = \"zone-{zone}\"\nfront_address = \"{ip}:{FRONT_PORT}\"\nready_address = \"{ip}:{READY_PORT}\"\n{bind_ip}metrics_port = {METRICS_PORT}\nlink_port = {LINK_PORT}\nrelay_port = {LINK_PORT}\npeer_port = {PEER_PORT}\nseeds = [{seeds}]\nlink_mbps = 1000.0\nmaximum_descriptors = 4100\nmemory_mb = {EDGE_MEMORY_MB}\n\n{bounds}",
            ),
        }
    }

    fn run(&self, machine: &mut Machine) -> Result<(), String> {
        let (name, program) = match machine.class {
            Class::Core => ("core", "target/release/grebepin-platform-control"),
            Class::Edge => ("edge", "target/release/grebepin-platform-router"),
        };
        let name = format!("{name}-{}", machine.number);
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, self.settings(machine)).map_err(|error| error.to_string())?;
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let child = Command::new(program)
            .env("GREBEPIN_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|error| format!("{program}: {error}"))?;
        machine.child = Some(child);
        machine.restart_at = None;
        self.record.note(&format!("platform: {name} is started"));
        Ok(())
    }

    /// The platform: kills processes over their memory, and restarts those that ended.
    fn watch(&self) {
        while !self.stop.load(Ordering::Relaxed) {
            for machine in self.machines.lock().unwrap().iter_mut() {
                self.look_after(machine);
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    fn look_after(&self, machine: &mut Machine) {
        let name = format!("{:?}-{}", machine.class, machine.number).to_lowercase();
        if let Some(at) = machine.restart_at {
            if Instant::now() >= at && !self.stop.load(Ordering::Relaxed) {
                if let Err(error) = self.run(machine) {
                    self.record.note(&format!("platform: {name} can't be started: {error}"));
                }
            }
            return;
        }
        let limit = match machine.class {
            Class::Core => CORE_MEMORY_MB,
            Class::Edge => EDGE_MEMORY_MB,
        };
        let Some(child) = &mut machine.child else {
            return;
        };
        if let Ok(Some(status)) = child.try_wait() {
            self.record.note(&format!("platform: {name} ended by itself: {status}"));
            machine.child = None;
            machine.restart_at = Some(Instant::now() + RESTART_DELAY);
            return;
        }
        let used = anonymous_memory(child.id()).unwrap_or(0);
        machine.peak_memory = machine.peak_memory.max(used);
        if used > limit << 20 {
            let _ = child.kill();
            let _ = child.wait();
            machine.child = None;
            machine.memory_kills += 1;
            machine.restart_at = Some(Instant::now() + RESTART_DELAY);
            let mb = used >> 20;
            self.record.note(&format!(
                "platform: {name} uses {mb} MB of {limit} MB and is killed ({} times now)",
                machine.memory_kills
            ));
        }
    }

    /// Sends a signal to the process of a machine.
    pub fn signal(&self, class: Class, number: u8, signal: i32) {
        let machines = self.machines.lock().unwrap();
        let machine = machines
            .iter()
            .find(|one| one.class == class && one.number == number);
        if let Some(child) = machine.and_then(|one| one.child.as_ref()) {
            // SAFETY: the process is a child of this one that has not been waited for, so its id is valid.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Kills all processes at once; the platform restarts them.
    pub fn kill_all(&self) {
        let mut machines = self.machines.lock().unwrap();
        for machine in machines.iter_mut() {
            if let Some(child) = &mut machine.child {
                let _ = child.kill();
            }
        }
        for machine in machines.iter_mut() {
            if let Some(mut child) = machine.child.take() {
                let _ = child.wait();
            }
            machine.restart_at = Some(Instant::now() + RESTART_DELAY);
        }
    }

    /// How often the platform killed the process of each machine of a class because of its memory.
    pub fn memory_kills(&self, class: Class) -> Vec<u32> {
        let machines = self.machines.lock().unwrap();
        let machines = machines.iter().filter(|one| one.class == class);
        machines.map(|one| one.memory_kills).collect()
    }

    /// Largest memory of the processes of a class, in mebibytes.
    pub fn peak_memory(&self, class: Class) -> u64 {
        let machines = self.machines.lock().unwrap();
        let machines = machines.iter().filter(|one| one.class == class);
        machines.map(|one| one.peak_memory >> 20).max().unwrap_or(0)
    }

    /// Ends all processes and removes the folder.
    pub fn shut_down(&self) {
        self.stop.store(true, Ordering::Relaxed);
        for machine in self.machines.lock().unwrap().iter_mut() {
            if let Some(mut child) = machine.child.take() {
                // SAFETY: as in `signal`.
                unsafe { kill(child.id() as i32, SIGCONT) };
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("logs in {}", self.folder.display());
        }
    }
}

/// Address under which a machine is known.
pub fn advertised_ip(subnet: u8, class: Class, number: u8) -> String {
    let kind = match class {
        Class::Core => 1,
        Class::Edge => 2,
    };
    format!("127.{subnet}.{kind}.{number}")
}

/// Address from which the process of a machine connects, and at which it listens behind its proxies.
pub fn process_ip(subnet: u8, class: Class, number: u8) -> String {
    let kind = match class {
        Class::Core => 4,
        Class::Edge => 5,
    };
    format!("127.{subnet}.{kind}.{number}")
}

/// Memory that a process has allocated and uses, in bytes. The pages of its program file are left out.
fn anonymous_memory(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("RssAnon:"))?;
    let kibibytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kibibytes << 10)
}

/// A part of the loopback range in which nothing listens.
fn free_subnet() -> Option<u8> {
    let first = std::process::id() % 200;
    (0..200)
        .map(|offset| 20 + ((first + offset) % 200) as u8)
        .find(|subnet| {
            let ports = [(1, CONTROL_PORT), (2, FRONT_PORT), (3, SERVER_PORT)];
            ports.iter().all(|(kind, port)| {
                TcpListener::bind(format!("127.{subnet}.{kind}.1:{port}")).is_ok()
            })
        })
}
