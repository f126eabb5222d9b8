//! A stand-in upstream: it registers itself by heartbeats, holds keys under a lease and runs requests.

use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::HEARTBEAT;
use crate::http::{self, Message};
use crate::json::Json;
use crate::keys::Keys;
use crate::record::Record;

/// Time within which a beat must be acknowledged.
const ACK_TIME: Duration = Duration::from_secs(1);

/// A run of a request at an upstream.
#[derive(Clone, Debug)]
pub struct Run {
    pub upstream: String,
    pub began: Instant,
    pub body: String,
}

/// What all upstreams of a case share.
pub struct Shared {
    pub record: Arc<Record>,
    /// Runs by the id of the client's attempt.
    pub runs: Mutex<HashMap<String, Vec<Run>>>,
    /// Arrivals by the id of the client's attempt.
    pub arrivals: Mutex<HashMap<String, u32>>,
    pub stop: AtomicBool,
}

impl Shared {
    pub fn new(record: Arc<Record>) -> Arc<Self> {
        Arc::new(Self {
            record,
            runs: Mutex::default(),
            arrivals: Mutex::default(),
            stop: AtomicBool::new(false),
        })
    }
}

/// What is particular about an upstream.
#[derive(Clone, Debug, Default)]
pub struct Nature {
    pub keyed: bool,
    /// Each request whose body contains this text is turned away at its first arrival, since the queue is full.
    pub sheds: Option<String>,
    /// Whether an answer that turns a request away comes a second time, in the place where the next one is due.
    pub answers_twice: bool,
    /// Value of `Keep-Alive` in its answers, if any.
    pub keep_alive: Option<String>,
}

pub struct Upstream {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub nature: Nature,
    pub keys: Mutex<Keys>,
    pub draining: AtomicBool,
    pub ended: AtomicBool,
    /// Whether it is partitioned from the core.
    pub cut: AtomicBool,
    pub sequence: AtomicU64,
    pub controls: Vec<SocketAddr>,
    pub shared: Arc<Shared>,
}

impl Upstream {
    pub fn start(
        shared: &Arc<Shared>,
        service: &str,
        id: &str,
        address: SocketAddr,
        controls: Vec<SocketAddr>,
        nature: Nature,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let upstream = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: "pnw-west-a".to_owned(),
            address,
            nature,
            keys: Mutex::default(),
            draining: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            cut: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
            controls,
            shared: Arc::clone(shared),
        });
        let one = Arc::clone(&upstream);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if one.is_over() {
                    return;
                }
                let one = Arc::clone(&one);
                thread::spawn(move || {
                    let _ = one.serve(stream);
                });
            }
        });
        Ok(upstream)
    }

    pub fn is_over(&self) -> bool {
        self.ended.load(Ordering::Relaxed) || self.shared.stop.load(Ordering::Relaxed)
    }

    pub fn line(&self, text: &str) {
        self.shared
            .record
            .line(&format!("upstream {}: {text}", self.id));
    }

    /// The next beat, with its sequence number.
    pub fn beat(&self) -> (u64, String) {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let state = match self.draining.load(Ordering::Relaxed) {
            true => "draining",
            false => "ready",
        };
        let keys = match self.nature.keyed {
            true => {
                let mut keys = self.keys.lock().unwrap();
                keys.expire(Instant::now());
                format!(",\"holds\":[{}],\"freed\":[{}]", keys.holds(), keys.freed())
            }
            false => String::new(),
        };
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":4,\"state\":\"{state}\",\"warmup_left_s\":0,\"sequence\":{sequence}{keys}}}",
            self.service, self.address, self.zone
        );
        (sequence, body)
    }

    pub fn beat_call(&self) -> String {
        format!("instances.heartbeat&of={}", self.id)
    }

    /// Sends one beat to a node and takes its answer; returns the answer if it acknowledges the beat.
    pub fn beat_at(&self, to: SocketAddr) -> Option<Json> {
        let (sequence, body) = self.beat();
        let sent = Instant::now();
        if self.cut.load(Ordering::Relaxed) {
            self.line(&format!("beat {sequence} to {to}: cut off, no answer"));
            thread::sleep(ACK_TIME);
            return None;
        }
        let request = http::control_call(to, &self.beat_call(), &body);
        let answer = http::exchange(to, &request, ACK_TIME);
        let is_cut = self.cut.load(Ordering::Relaxed);
        let answer = answer.ok().filter(|_| !is_cut);
        let Some(answer) = answer.filter(|answer| answer.status() == 200) else {
            self.line(&format!("beat {sequence} to {to}: not acknowledged"));
            return None;
        };
        let json = Json::parse(&answer.text())?;
        if self.nature.keyed {
            let mut keys = self.keys.lock().unwrap();
            let before = keys.count();
            keys.take(sent, &json);
            let after = keys.count();
            drop(keys);
            if before != after || sequence % 4 == 0 {
                self.line(&format!(
                    "beat {sequence} to {to}: acknowledged, holds {after} keys (before {before})"
                ));
            }
        }
        Some(json)
    }

    /// Sends beats until the upstream ends.
    pub fn keep_beating(self: &Arc<Self>, after: Duration) {
        let one = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(after);
            let mut next = 0;
            let mut preferred: Option<SocketAddr> = None;
            let mut due = Instant::now();
            while !one.is_over() {
                let to = preferred.unwrap_or(one.controls[next % one.controls.len()]);
                let answer = one.beat_at(to);
                match &answer {
                    Some(json) => {
                        let endpoint = json.get("heartbeat_endpoint").and_then(Json::text);
                        if let Some(endpoint) = endpoint.and_then(|text| text.parse().ok()) {
                            preferred = Some(endpoint);
                        }
                    }
                    None => {
                        preferred = None;
                        next += 1;
                    }
                }
                let releasing = one.nature.keyed && one.keys.lock().unwrap().is_releasing();
                due += HEARTBEAT;
                if answer.is_none() {
                    due = Instant::now() + Duration::from_millis(50);
                } else if releasing {
                    due = due.min(Instant::now() + Duration::from_millis(80));
                }
                thread::sleep(due.saturating_duration_since(Instant::now()));
            }
        });
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        let mut buffer = Vec::new();
        let mut surplus: Option<Vec<u8>> = None;
        while let Some(request) = http::read_message(&mut stream, &mut buffer)? {
            if self.is_over() {
                return Ok(());
            }
            if let Some(bytes) = surplus.take() {
                self.line("its earlier answer arrives a second time, where the next one is due");
                stream.write_all(&bytes)?;
            }
            let (answer, turned_away) = self.answer(&request);
            stream.write_all(&answer)?;
            if turned_away && self.nature.answers_twice {
                surplus = Some(answer);
            }
        }
        Ok(())
    }

    /// The answer to a request, and whether it says that the queue was full.
    fn answer(&self, request: &Message) -> (Vec<u8>, bool) {
        let attempt = request.field("Attempt-Id").unwrap_or_default().to_owned();
        let body = request.text();
        if request
            .field("Expect-Instance")
            .is_some_and(|id| id != self.id)
        {
            self.line(&format!("{attempt}: 421, another instance is expected"));
            let fields = format!("Instance-Id: {}\r\n", self.id);
            return (
                answer("421 Misdirected Request", &attempt, &fields, ""),
                false,
            );
        }
        let arrivals = {
            let mut arrivals = self.shared.arrivals.lock().unwrap();
            let count = arrivals.entry(attempt.clone()).or_default();
            *count += 1;
            *count
        };
        let is_shed = self
            .nature
            .sheds
            .as_ref()
            .is_some_and(|word| arrivals == 1 && body.contains(word.as_str()));
        if is_shed {
            self.line(&format!(
                "{attempt} arrives: 503 Not-Executed, it does not run"
            ));
            let fields = "Not-Executed: 1\r\n";
            return (
                answer("503 Service Unavailable", &attempt, fields, ""),
                true,
            );
        }
        let key = request
            .field("Shard-Key")
            .and_then(|text| text.parse().ok());
        let key = key.filter(|_| self.nature.keyed);
        if let Some(key) = key {
            let mut keys = self.keys.lock().unwrap();
            keys.expire(Instant::now());
            if !keys.may_begin(key) {
                drop(keys);
                self.line(&format!("{attempt}: 421, key {key} is not held"));
                let fields = "Not-Executed: 1\r\n";
                return (
                    answer("421 Misdirected Request", &attempt, fields, ""),
                    false,
                );
            }
            keys.begin(key);
        }
        let run = Run {
            upstream: self.id.clone(),
            began: Instant::now(),
            body: body.clone(),
        };
        self.line(&format!("{attempt} arrives and RUNS ({body})"));
        let mut runs = self.shared.runs.lock().unwrap();
        runs.entry(attempt.clone()).or_default().push(run);
        drop(runs);
        thread::sleep(work_time(&body));
        if let Some(key) = key {
            let mut keys = self.keys.lock().unwrap();
            keys.expire(Instant::now());
            keys.end(key);
        }
        let mut fields = format!("Server-Signature: {}.{attempt}\r\n", self.id);
        if let Some(value) = &self.nature.keep_alive {
            self.line(&format!("{attempt}: 200 with Keep-Alive: {value}"));
            fields.push_str(&format!("Keep-Alive: {value}\r\n"));
        }
        (answer("200 OK", &attempt, &fields, "done"), false)
    }
}

/// Time of work that a body asks for with `work_ms=N;`.
fn work_time(body: &str) -> Duration {
    let text = body.split("work_ms=").nth(1).unwrap_or("20;");
    let number = text.split(';').next().and_then(|text| text.parse().ok());
    Duration::from_millis(number.unwrap_or(20))
}

fn answer(status: &str, attempt: &str, fields: &str, body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 {status}\r\nAttempt-Id: {attempt}\r\n{fields}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}
