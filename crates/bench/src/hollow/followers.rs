//! Hollow routers: each follows the routing table over a connection of its own and counts bytes.

use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use grebepin_schema::framing::{read_frame, write_frame};
use grebepin_schema::{
    ControlFrame, FollowRequest, GroupId, LoadReport, LogIndex, RouterFrame, RouterName, ShardLoad,
    ZoneName,
};

const RECONNECT: Duration = Duration::from_millis(100);

/// What one hollow router has in force.
#[derive(Debug, Default)]
struct Follower {
    index: AtomicU64,
    bundle_version: AtomicU64,
    bytes: Arc<AtomicU64>,
    frames: AtomicU64,
    /// Shards whose owner is none, and the server of each shard, by position.
    owners: Mutex<Vec<Option<u32>>>,
    connection: Mutex<Option<TcpStream>>,
}

/// Hollow routers that run until the process ends.
#[derive(Clone, Debug)]
pub struct Followers {
    followers: Vec<Arc<Follower>>,
}

impl Followers {
    /// Starts `count` hollow routers that follow the replicas in turn.
    pub fn start(count: usize, controls: &[SocketAddr]) -> Self {
        let start_one = |number: usize| {
            let follower = Arc::new(Follower::default());
            let running = Arc::clone(&follower);
            let mut controls = controls.to_vec();
            let first = number % controls.len().max(1);
            controls.rotate_left(first);
            thread::spawn(move || follow(number, &controls, &running));
            follower
        };
        Self {
            followers: (0..count).map(start_one).collect(),
        }
    }

    /// Lowest index in force.
    pub fn slowest_index(&self) -> LogIndex {
        let indices = self
            .followers
            .iter()
            .map(|one| one.index.load(Ordering::Relaxed));
        LogIndex(indices.min().unwrap_or_default())
    }

    /// Lowest version of a bundle in force.
    pub fn slowest_version(&self) -> u64 {
        let versions = self
            .followers
            .iter()
            .map(|one| one.bundle_version.load(Ordering::Relaxed));
        versions.min().unwrap_or_default()
    }

    /// Bytes received by all.
    pub fn bytes(&self) -> u64 {
        self.followers
            .iter()
            .map(|one| one.bytes.load(Ordering::Relaxed))
            .sum()
    }

    /// Frames received by all.
    pub fn frames(&self) -> u64 {
        self.followers
            .iter()
            .map(|one| one.frames.load(Ordering::Relaxed))
            .sum()
    }

    /// Whether, at every follower, each shard has an owner, none of which is among the first
    /// `lost` servers.
    pub fn all_owned_without(&self, lost: u32) -> bool {
        self.followers.iter().all(|follower| {
            let owners = follower
                .owners
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            let fits = |owner: &Option<u32>| owner.is_some_and(|server| server >= lost);
            !owners.is_empty() && owners.iter().all(fits)
        })
    }

    /// Owner of each shard at the first follower.
    pub fn owners(&self) -> Vec<Option<u32>> {
        let Some(first) = self.followers.first() else {
            return Vec::new();
        };
        first
            .owners
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Sends a load report from every follower that names these shards as busy.
    pub fn report_load(&self, shards: &[ShardLoad], interval: Duration) {
        for (number, follower) in self.followers.iter().enumerate() {
            let report = LoadReport {
                group: GroupId(0),
                router: router_name(number),
                incarnation: 1,
                in_force: LogIndex(follower.index.load(Ordering::Relaxed)),
                interval_ms: interval.as_millis() as u64,
                servers: Vec::new(),
                shards: shards.to_vec(),
            };
            let mut connection = follower
                .connection
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            if let Some(connection) = connection.as_mut() {
                write_frame(connection, &RouterFrame::Report(report)).ok();
            }
        }
    }
}

fn router_name(number: usize) -> RouterName {
    let name = format!("hollow-{number}");
    name.parse().expect("letters and digits are a name")
}

fn zone() -> ZoneName {
    "hollow".parse().expect("letters are a name")
}

fn follow(number: usize, controls: &[SocketAddr], follower: &Follower) {
    for address in controls.iter().cycle() {
        if let Ok(connection) = TcpStream::connect(address) {
            follow_one(number, connection, follower);
        }
        thread::sleep(RECONNECT);
    }
}

fn follow_one(number: usize, mut connection: TcpStream, follower: &Follower) {
    let request = FollowRequest {
        group: GroupId(0),
        router: router_name(number),
        zone: zone(),
        incarnation: 1,
        have_index: LogIndex(0),
    };
    if write_frame(&mut connection, &RouterFrame::Follow(request)).is_err() {
        return;
    }
    let Ok(reading) = connection.try_clone() else {
        return;
    };
    *follower
        .connection
        .lock()
        .unwrap_or_else(PoisonError::into_inner) = Some(connection);
    let mut counted = CountingReader {
        inner: std::io::BufReader::new(reading),
        bytes: Arc::clone(&follower.bytes),
    };
    while let Ok(frame) = read_frame::<ControlFrame>(&mut counted) {
        follower.frames.fetch_add(1, Ordering::Relaxed);
        if !apply(follower, frame) {
            return;
        }
    }
}

/// Applies a frame; `false` when another replica must be asked.
fn apply(follower: &Follower, frame: ControlFrame) -> bool {
    let mut owners = follower
        .owners
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    match frame {
        ControlFrame::Snapshot(snapshot) => {
            let services = &snapshot.table.services;
            let all = services.iter().flat_map(|service| &service.owners);
            *owners = all.map(|owner| owner.server).collect();
            follower
                .bundle_version
                .store(snapshot.table.bundle_version, Ordering::Relaxed);
            follower.index.store(snapshot.index.0, Ordering::Relaxed);
        }
        ControlFrame::Delta(delta) => {
            for change in &delta.owners {
                if let Some(owner) = owners.get_mut(change.shard.0 as usize) {
                    *owner = change.owner.server;
                }
            }
            follower.index.store(delta.index.0, Ordering::Relaxed);
        }
        ControlFrame::Current(_) => {}
        ControlFrame::Redirect(_) => return false,
    }
    true
}

struct CountingReader<R> {
    inner: R,
    bytes: Arc<AtomicU64>,
}

impl<R: Read> Read for CountingReader<R> {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        let count = self.inner.read(buffer)?;
        self.bytes.fetch_add(count as u64, Ordering::Relaxed);
        Ok(count)
    }
}
