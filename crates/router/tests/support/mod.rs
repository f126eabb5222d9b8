//! Scripted control replica and back end, and a caller, on loopback.

#![allow(dead_code)]

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use grebepin_router::http::head::put_header;
use grebepin_router::http::{HttpConnection, RequestHead, ResponseHead, TimeLimit};
use grebepin_router::Router;
use grebepin_schema::framing::{read_frame, write_frame};
use grebepin_schema::{
    ControlFrame, Epoch, GroupId, LogIndex, OwnerChange, RouterFrame, ServerStanding, ServiceTable,
    ShardId, ShardOwner, Table, TableDelta, TableSnapshot,
};
use grebepin_settings::{RouterLimits, RouterSettings};
use socket2::{Domain, Socket, Type};

/// Number of shards of the service; with one shard every key belongs to shard 0.
pub const SHARDS: u32 = 1;

/// Time limit far longer than any step of a test takes.
pub fn generous_limit() -> TimeLimit {
    let idle = Duration::from_secs(30);
    TimeLimit {
        until: Instant::now() + idle,
        idle,
    }
}

/// Snapshot whose only shard belongs to the server at position `owner`.
pub fn snapshot(index: u64, servers: &[SocketAddr], owner: Option<u32>) -> TableSnapshot {
    let servers: Vec<_> = servers
        .iter()
        .enumerate()
        .map(|(number, address)| {
            serde_json::json!({ "name": format!("server-{number}"), "address": address.to_string(),
                "zone": "boa-vista", "side": "cloud", "slots": 1, "connections": 4 })
        })
        .collect();
    let count = servers.len();
    let class = |name: &str, priority: u32, repeatable: bool| {
        serde_json::json!({ "name": name, "path_prefix": format!("/{name}"), "repeatable": repeatable,
            "priority": priority, "deadline_ms": 60_000 })
    };
    let service = serde_json::from_value(serde_json::json!({
        "name": "autoriza-venda", "shards": SHARDS, "sides": [{ "side": "cloud", "share": 1 }],
        "servers": servers, "classes": [class("approve", 0, false), class("look-up", 5, true)],
        "queue": { "waiting_per_server": 1 }, "retry": { "budget_percent": 300, "attempts": 3 },
        "churn": { "moves_per_minute": 1, "concurrent_moves": 1, "imbalance_percent": 10 },
    }))
    .expect("service");
    TableSnapshot {
        group: GroupId(0),
        index: LogIndex(index),
        table: Table {
            bundle_digest: None,
            bundle_version: index,
            services: vec![ServiceTable {
                service,
                standings: vec![ServerStanding::Active; count],
                owners: vec![ShardOwner {
                    epoch: Epoch(index),
                    server: owner,
                }],
            }],
        },
    }
}

/// Delta that moves the shard to the server at position `owner`.
pub fn moved(previous: u64, index: u64, owner: u32) -> ControlFrame {
    ControlFrame::Delta(TableDelta {
        group: GroupId(0),
        previous: LogIndex(previous),
        index: LogIndex(index),
        owners: vec![OwnerChange {
            service: "autoriza-venda".parse().expect("name"),
            shard: ShardId(0),
            owner: ShardOwner {
                epoch: Epoch(index),
                server: Some(owner),
            },
        }],
        standings: Vec::new(),
    })
}

/// Control replica that sends given frames and records the received ones.
pub struct Control {
    pub address: SocketAddr,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    pub received: Receiver<RouterFrame>,
}

impl Control {
    /// Starts a replica that sends `first` to each router after its first frame.
    pub fn start(first: Vec<ControlFrame>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("listens");
        let address = listener.local_addr().expect("address");
        let streams = Arc::new(Mutex::new(Vec::new()));
        let (sender, received) = channel();
        let kept = Arc::clone(&streams);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (mut reader, sender) = (stream.try_clone().expect("clone"), sender.clone());
                let (mut writer, first) = (stream, first.clone());
                let kept = Arc::clone(&kept);
                thread::spawn(move || {
                    let mut first_sent = false;
                    while let Ok(frame) = read_frame::<RouterFrame>(&mut reader) {
                        if !std::mem::replace(&mut first_sent, true) {
                            for frame in &first {
                                write_frame(&mut writer, frame).ok();
                            }
                            kept.lock()
                                .expect("lock")
                                .push(writer.try_clone().expect("clone"));
                        }
                        sender.send(frame).ok();
                    }
                });
            }
        });
        Self {
            address,
            streams,
            received,
        }
    }

    /// Sends a frame to all connected routers.
    pub fn push(&self, frame: &ControlFrame) {
        for stream in self.streams.lock().expect("lock").iter_mut() {
            write_frame(stream, frame).ok();
        }
    }

    /// Closes all connections.
    pub fn disconnect(&self) {
        for stream in self.streams.lock().expect("lock").drain(..) {
            stream.shutdown(std::net::Shutdown::Both).ok();
        }
    }
}

/// Scripted reaction of a back end to a request.
#[derive(Clone, Debug)]
pub enum Action {
    /// Answers 200 with the complete body.
    Answer(Vec<u8>),
    /// Sends these bytes as they are; `{id}` is replaced by the request identifier.
    Raw(&'static str),
    /// Answers with this value of `Grebepin-Refusal`.
    Refuse(&'static str),
    /// Answers with a JSON body, as to a cancellation.
    Json(&'static str),
    /// Closes the connection without an answer.
    Close,
    /// Waits for [`BackEnd::release`], then answers 200.
    Hold,
    /// Never answers.
    Silence,
}

/// A request as received by the back end.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub head: RequestHead,
    pub body: Vec<u8>,
    pub connection: u32,
}

impl ReceivedRequest {
    pub fn header(&self, name: &str) -> &str {
        self.head.headers.text(name).unwrap_or("")
    }
}

/// Back end that reacts to each request as its script returns.
pub struct BackEnd {
    pub address: SocketAddr,
    pub received: Receiver<ReceivedRequest>,
    pub release: Sender<()>,
}

impl BackEnd {
    pub fn start(script: impl Fn(&ReceivedRequest) -> Action + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("listens");
        let address = listener.local_addr().expect("address");
        let (sender, received) = channel();
        let (release, held) = channel();
        let (script, held) = (Arc::new(script), Arc::new(Mutex::new(held)));
        let number = AtomicU32::new(0);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let connection = number.fetch_add(1, Ordering::Relaxed);
                let (script, held, sender) =
                    (Arc::clone(&script), Arc::clone(&held), sender.clone());
                thread::spawn(move || {
                    let mut http = HttpConnection::new(stream).expect("connection");
                    while let Ok(head) = http.read_request_head(generous_limit()) {
                        let Ok(body) = http.read_body(head.body, 1 << 26, generous_limit()) else {
                            return;
                        };
                        let request = ReceivedRequest {
                            head,
                            body,
                            connection,
                        };
                        let action = script(&request);
                        sender.send(request.clone()).ok();
                        if !react(&mut http, &request, &action, &held) {
                            return;
                        }
                    }
                });
            }
        });
        Self {
            address,
            received,
            release,
        }
    }

    /// Address without a listener. Its socket stays bound, so that no other process gets the port.
    pub fn unreachable_address() -> SocketAddr {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("socket");
        let any: SocketAddr = "127.0.0.1:0".parse().expect("address");
        socket.bind(&any.into()).expect("binds");
        let address = socket.local_addr().expect("address").as_socket();
        std::mem::forget(socket);
        address.expect("address")
    }
}

fn react(
    http: &mut HttpConnection,
    request: &ReceivedRequest,
    action: &Action,
    held: &Mutex<Receiver<()>>,
) -> bool {
    let id = request.header("Grebepin-Request-Id").to_string();
    let (refusal, body): (Option<&str>, &[u8]) = match action {
        Action::Answer(body) => (None, body),
        Action::Refuse(refusal) => (Some(refusal), b""),
        Action::Json(body) => (None, body.as_bytes()),
        Action::Raw(text) => {
            let text = text.replace("{id}", &id);
            return http.write(text.as_bytes(), generous_limit()).is_ok();
        }
        Action::Close => return false,
        Action::Hold => {
            held.lock().expect("lock").recv().ok();
            (None, b"held")
        }
        Action::Silence => {
            http.wait_for_message(generous_limit()).ok();
            return false;
        }
    };
    let mut bytes = b"HTTP/1.1 200 OK\r\nX-Own: kept\r\n".to_vec();
    if !id.is_empty() {
        put_header(&mut bytes, "Grebepin-Request-Id", id.as_bytes());
    }
    if let Some(refusal) = refusal {
        put_header(&mut bytes, "Grebepin-Refusal", refusal.as_bytes());
    }
    put_header(
        &mut bytes,
        "Content-Length",
        body.len().to_string().as_bytes(),
    );
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body);
    http.write(&bytes, generous_limit()).is_ok()
}

/// Starts a router that follows the control replicas.
pub fn router(controls: &[SocketAddr], limits: RouterLimits) -> Router {
    let any: SocketAddr = "127.0.0.1:0".parse().expect("address");
    Router::start(RouterSettings {
        path: "router.toml".into(),
        name: "router-1".parse().expect("name"),
        zone: "boa-vista".parse().expect("name"),
        listen_address: any,
        admin_address: any,
        control_addresses: controls.to_vec(),
        group: GroupId(0),
        limits,
    })
    .expect("router starts")
}

/// Waits until the router's table has an index above `index`.
pub fn wait_above(router: &Router, index: u64) {
    router
        .shared()
        .wait_for_table(LogIndex(index), Instant::now() + Duration::from_secs(30));
    assert!(router.shared().view().table.index() > LogIndex(index));
}

/// Router with a table at index 10 in which the first of `servers` owns the shard.
pub fn ready_router(servers: &[SocketAddr]) -> (Control, Router) {
    let first = ControlFrame::Snapshot(snapshot(10, servers, Some(0)));
    let control = Control::start(vec![first]);
    let router = router(&[control.address], RouterLimits::default());
    wait_above(&router, 9);
    (control, router)
}

/// An answer as received by a caller.
#[derive(Debug)]
pub struct Reply {
    pub head: ResponseHead,
    pub body: Vec<u8>,
}

impl Reply {
    pub fn header(&self, name: &str) -> &str {
        self.head.headers.text(name).unwrap_or("")
    }

    pub fn outcome(&self) -> &str {
        self.header("Grebepin-Outcome")
    }

    /// Kind of rejection in the router's own answer; empty for a forwarded answer.
    pub fn kind(&self) -> String {
        let reject: Result<grebepin_schema::Reject, _> = serde_json::from_slice(&self.body);
        reject.map_or(String::new(), |reject| reject.kind.to_string())
    }
}

/// Connection of a caller to the router.
pub struct Caller(pub HttpConnection);

impl Caller {
    pub fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("connects");
        Self(HttpConnection::new(stream).expect("connection"))
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.0.write(bytes, generous_limit()).expect("writes");
    }

    /// Reads the next answer; `None` if the router closes the connection instead.
    pub fn read(&mut self, method: &str) -> Option<Reply> {
        let head = self.0.read_response_head(generous_limit(), method).ok()?;
        let body = self
            .0
            .read_body(head.body, 1 << 26, generous_limit())
            .ok()?;
        Some(Reply { head, body })
    }

    pub fn call(&mut self, target: &str, headers: &[(&str, &str)], body: &[u8]) -> Reply {
        let mut bytes = format!("POST {target} HTTP/1.1\r\nHost: router\r\n").into_bytes();
        for (name, value) in headers {
            put_header(&mut bytes, name, value.as_bytes());
        }
        put_header(
            &mut bytes,
            "Content-Length",
            body.len().to_string().as_bytes(),
        );
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(body);
        self.send(&bytes);
        self.read("POST").expect("answer")
    }
}

/// Sends one request with a key, an identifier and an attempt number on a new connection.
pub fn call(address: SocketAddr, class: &str, id: &str, attempt: &str) -> Reply {
    let headers = [
        ("Grebepin-Key", "customer-7"),
        ("Grebepin-Request-Id", id),
        ("Grebepin-Attempt", attempt),
    ];
    Caller::connect(address).call(&format!("/autoriza-venda/{class}"), &headers, b"42")
}
