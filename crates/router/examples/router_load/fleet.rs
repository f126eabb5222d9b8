//! Router, control replica and back ends in one process.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use grebepin_router::http::{HttpConnection, TimeLimit};
use grebepin_router::Router;
use grebepin_schema::framing::{read_frame, write_frame};
use grebepin_schema::{
    ControlFrame, Epoch, GroupId, LogIndex, RouterFrame, ServerStanding, ServiceTable, ShardOwner,
    Table, TableSnapshot,
};
use grebepin_settings::{RouterLimits, RouterSettings};

const SHARDS: u32 = 1024;
const BODY: &str = "approved, balance 123.45";

/// A running router with its back ends.
pub struct Fleet {
    pub router: Router,
    pub back_ends: Vec<SocketAddr>,
}

impl Fleet {
    /// Starts a router and back ends with `slots` slots each and a service time of `service`.
    pub fn start(servers: u32, slots: u32, service: Duration) -> Self {
        let back_ends: Vec<SocketAddr> = (0..servers).map(|_| back_end(slots, service)).collect();
        let control = control(table(&back_ends, slots));
        let any: SocketAddr = "127.0.0.1:0".parse().expect("address");
        let router = Router::start(RouterSettings {
            path: "router.toml".into(),
            name: "router-1".parse().expect("name"),
            zone: "boa-vista".parse().expect("name"),
            listen_address: any,
            admin_address: any,
            control_addresses: vec![control],
            group: GroupId(0),
            limits: RouterLimits {
                threads: 128,
                ..RouterLimits::default()
            },
        })
        .expect("router starts");
        let end = Instant::now() + Duration::from_secs(30);
        router.shared().wait_for_table(LogIndex(0), end);
        Self { router, back_ends }
    }
}

fn table(back_ends: &[SocketAddr], slots: u32) -> TableSnapshot {
    let servers: Vec<_> = back_ends
        .iter()
        .enumerate()
        .map(|(number, address)| {
            serde_json::json!({ "name": format!("server-{number}"), "address": address.to_string(),
                "zone": "boa-vista", "side": "cloud", "slots": slots, "connections": 100 })
        })
        .collect();
    let class = |name: &str, priority: u32, repeatable: bool| {
        serde_json::json!({ "name": name, "path_prefix": format!("/{name}"), "repeatable": repeatable,
            "priority": priority, "deadline_ms": 60_000 })
    };
    let service = serde_json::from_value(serde_json::json!({
        "name": "autoriza-venda", "shards": SHARDS, "sides": [{ "side": "cloud", "share": 1 }],
        "servers": servers, "classes": [class("approve", 0, false), class("look-up", 5, true)],
        "queue": { "waiting_per_server": 16 }, "retry": { "budget_percent": 10, "attempts": 3 },
        "churn": { "moves_per_minute": 1, "concurrent_moves": 1, "imbalance_percent": 10 },
    }))
    .expect("service");
    let count = back_ends.len();
    let owner = |shard: u32| ShardOwner {
        epoch: Epoch(1),
        server: Some(shard % count as u32),
    };
    TableSnapshot {
        group: GroupId(0),
        index: LogIndex(1),
        table: Table {
            bundle_digest: None,
            bundle_version: 1,
            services: vec![ServiceTable {
                service,
                standings: vec![ServerStanding::Active; count],
                owners: (0..SHARDS).map(owner).collect(),
            }],
        },
    }
}

/// Starts a control replica that sends the table and then a `Current` frame every second.
fn control(table: TableSnapshot) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listens");
    let address = listener.local_addr().expect("address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut reader = stream.try_clone().expect("clone");
            thread::spawn(move || while read_frame::<RouterFrame>(&mut reader).is_ok() {});
            let snapshot = ControlFrame::Snapshot(table.clone());
            thread::spawn(move || {
                let mut sent = write_frame(&mut stream, &snapshot);
                while sent.is_ok() {
                    thread::sleep(Duration::from_secs(1));
                    sent = write_frame(&mut stream, &ControlFrame::Current(LogIndex(1)));
                }
            });
        }
    });
    address
}

/// Slots of one back end. Requests beyond them wait, as in a server without load shedding.
struct Slots {
    free: Mutex<u32>,
    freed: Condvar,
}

impl Slots {
    fn run(&self, service: Duration) {
        if service.is_zero() {
            return;
        }
        let mut free = self.free.lock().expect("lock");
        while *free == 0 {
            free = self.freed.wait(free).expect("lock");
        }
        *free -= 1;
        drop(free);
        thread::sleep(service);
        *self.free.lock().expect("lock") += 1;
        self.freed.notify_one();
    }
}

fn back_end(slots: u32, service: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listens");
    let address = listener.local_addr().expect("address");
    let slots = Arc::new(Slots {
        free: Mutex::new(slots),
        freed: Condvar::new(),
    });
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let slots = Arc::clone(&slots);
            thread::spawn(move || serve(stream, &slots, service));
        }
    });
    address
}

fn serve(stream: TcpStream, slots: &Slots, service: Duration) -> Option<()> {
    let mut http = HttpConnection::new(stream).ok()?;
    loop {
        let idle = Duration::from_secs(60);
        let limit = TimeLimit {
            until: Instant::now() + idle,
            idle,
        };
        let head = http.read_request_head(limit).ok()?;
        http.read_body(head.body, 1 << 20, limit).ok()?;
        slots.run(service);
        let id = head.headers.text("Grebepin-Request-Id").unwrap_or_default();
        let length = BODY.len();
        let answer =
            format!("HTTP/1.1 200 OK\r\nGrebepin-Request-Id: {id}\r\nContent-Length: {length}\r\n\r\n{BODY}");
        http.write(answer.as_bytes(), limit).ok()?;
    }
}
