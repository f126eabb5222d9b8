//! Load generators: open loop at a constant rate, and closed loop.

use std::collections::BTreeMap;
use std::fs;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use grebepin_router::http::{HttpConnection, TimeLimit};
use hdrhistogram::Histogram;

/// Parameters of an open-loop run.
pub struct Plan {
    /// Requests per second over all connections.
    pub rate: u64,
    /// Number of connections, each with its own thread.
    pub connections: usize,
    /// Duration of the run.
    pub length: Duration,
    /// Deadline of each request in ms.
    pub deadline_ms: u64,
}

/// Results of a run; times in microseconds.
pub struct Results {
    pub times: Histogram<u64>,
    pub approval_times: Histogram<u64>,
    pub refusal_times: Histogram<u64>,
    pub answered: u64,
    /// Duration of the run including its last answers.
    pub elapsed: Duration,
    /// CPU time of the router's connection threads in this run.
    pub router_threads: Duration,
    /// Counts of answered and offered requests, for approvals and for look-ups.
    pub classes: [[u64; 2]; 2],
    kinds: BTreeMap<String, u64>,
}

impl Default for Results {
    fn default() -> Self {
        let empty = || Histogram::new(3).expect("digits");
        Self {
            times: empty(),
            approval_times: empty(),
            refusal_times: empty(),
            answered: 0,
            elapsed: Duration::ZERO,
            router_threads: Duration::ZERO,
            classes: [[0; 2]; 2],
            kinds: BTreeMap::new(),
        }
    }
}

impl Results {
    /// Adds the results of another caller.
    pub fn add(&mut self, other: Results) {
        self.times.add(&other.times).expect("adds");
        self.approval_times
            .add(&other.approval_times)
            .expect("adds");
        self.refusal_times.add(&other.refusal_times).expect("adds");
        self.answered += other.answered;
        for class in 0..2 {
            for column in 0..2 {
                self.classes[class][column] += other.classes[class][column];
            }
        }
        for (kind, count) in other.kinds {
            *self.kinds.entry(kind).or_default() += count;
        }
    }

    /// Number of requests sent.
    pub fn offered(&self) -> u64 {
        self.classes[0][1] + self.classes[1][1]
    }

    /// Counts by outcome and kind of rejection, as text.
    pub fn kinds(&self) -> String {
        let parts: Vec<String> = self
            .kinds
            .iter()
            .map(|(kind, count)| format!("{kind} {count}"))
            .collect();
        parts.join(", ")
    }

    fn count(&mut self, class: usize, outcome: &str, time: Duration) {
        let time = time.as_micros() as u64;
        self.classes[class][1] += 1;
        *self.kinds.entry(outcome.to_string()).or_default() += 1;
        if outcome != "answered" {
            self.refusal_times.record(time).ok();
            return;
        }
        self.answered += 1;
        self.classes[class][0] += 1;
        self.times.record(time).ok();
        if class == 0 {
            self.approval_times.record(time).ok();
        }
    }
}

/// Runs a plan against addresses, assigned to the connections in turn. The next due request is sent on any
/// free connection; times are measured from the intended start.
pub fn open_loop(addresses: &[SocketAddr], plan: &Plan) -> Results {
    let start = Instant::now() + Duration::from_millis(50);
    let requests = (plan.rate as f64 * plan.length.as_secs_f64()) as u64;
    let next = Arc::new(AtomicU64::new(0));
    let threads: Vec<_> = (0..plan.connections)
        .map(|number| {
            let address = addresses[number % addresses.len()];
            let (rate, deadline_ms, next) = (plan.rate, plan.deadline_ms, Arc::clone(&next));
            thread::spawn(move || {
                let mut caller = Caller::connect(address, number);
                let mut results = Results::default();
                loop {
                    let request = next.fetch_add(1, Ordering::Relaxed);
                    if request >= requests {
                        return results;
                    }
                    let due = start + Duration::from_secs_f64(request as f64 / rate as f64);
                    thread::sleep(due.saturating_duration_since(Instant::now()));
                    let (class, outcome) = caller.call(deadline_ms);
                    results.count(class, &outcome, due.elapsed());
                }
            })
        })
        .collect();
    let mut results = join_all(threads);
    results.elapsed = start.elapsed();
    results
}

/// Runs callers that each wait for an answer before the next request. `router_threads` is the CPU time of
/// the router's connection threads, read while the connections are still open.
pub fn closed_loop(address: SocketAddr, callers: usize, length: Duration) -> Results {
    let end = Instant::now() + length;
    let threads: Vec<_> = (0..callers)
        .map(|number| {
            thread::spawn(move || {
                let mut caller = Caller::connect(address, number);
                let mut results = Results::default();
                while Instant::now() < end {
                    let started = Instant::now();
                    let (class, outcome) = caller.call(2000);
                    results.count(class, &outcome, started.elapsed());
                }
                (results, caller)
            })
        })
        .collect();
    let ended: Vec<_> = threads
        .into_iter()
        .map(|thread| thread.join().expect("caller ends"))
        .collect();
    let mut all = Results {
        router_threads: cpu_time("caller"),
        ..Results::default()
    };
    for (results, _open) in ended {
        all.add(results);
    }
    all
}

/// Total CPU time of this process's threads with a given name.
fn cpu_time(name: &str) -> Duration {
    let tasks = fs::read_dir("/proc/self/task")
        .into_iter()
        .flatten()
        .flatten();
    let nanoseconds = tasks.filter_map(|task| {
        let comm = fs::read_to_string(task.path().join("comm")).ok()?;
        let schedstat = fs::read_to_string(task.path().join("schedstat")).ok()?;
        let running = schedstat.split(' ').next()?.parse::<u64>().ok()?;
        (comm.trim() == name).then_some(running)
    });
    Duration::from_nanos(nanoseconds.sum())
}

fn join_all(threads: Vec<thread::JoinHandle<Results>>) -> Results {
    let mut all = Results::default();
    for thread in threads {
        all.add(thread.join().expect("caller ends"));
    }
    all
}

struct Caller {
    http: HttpConnection,
    number: usize,
    sent: usize,
}

impl Caller {
    fn connect(address: SocketAddr, number: usize) -> Self {
        let stream = TcpStream::connect(address).expect("connects");
        let http = HttpConnection::new(stream).expect("connection");
        Self {
            http,
            number,
            sent: 0,
        }
    }

    /// Sends one request; returns its class (0 is an approval) and its outcome.
    fn call(&mut self, deadline_ms: u64) -> (usize, String) {
        self.sent += 1;
        let key = self.number * 7919 + self.sent;
        let class = usize::from(!key.is_multiple_of(5));
        let path = ["approve", "look-up"][class];
        let id = format!("{}-{}", self.number, self.sent);
        let head = format!(
            "POST /autoriza-venda/{path} HTTP/1.1\r\nHost: router\r\nGrebepin-Key: customer-{key}\r\n\
             Grebepin-Request-Id: {id}\r\nGrebepin-Deadline-Ms: {deadline_ms}\r\nContent-Length: 3\r\n\r\n120"
        );
        let idle = Duration::from_secs(30);
        let limit = TimeLimit {
            until: Instant::now() + idle,
            idle,
        };
        self.http.write(head.as_bytes(), limit).expect("writes");
        let head = self.http.read_response_head(limit, "POST").expect("answer");
        let body = self
            .http
            .read_body(head.body, 1 << 20, limit)
            .expect("complete answer");
        assert_eq!(
            head.headers.text("Grebepin-Request-Id"),
            Some(id.as_str()),
            "own answer"
        );
        if head.status == 200 {
            return (class, "answered".to_string());
        }
        let reject: grebepin_schema::Reject = serde_json::from_slice(&body).expect("typed");
        (class, format!("{}/{}", reject.outcome, reject.kind))
    }
}
