//! Clients that read slowly: the answers that wait for them fill the memory of the gateways. The platform kills
//! processes that use more than the memory of their machine, and other clients lose requests that are being run.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client;
use crate::deployment::{Class, Deployment, EDGE_MEMORY_MB};
use crate::http;
use crate::operator;
use crate::server::Server;

/// Size of a large answer in bytes.
const ANSWER_BYTES: usize = 30 << 20;

/// Bytes a second that a slow client reads, and how long it waits for its answer.
const SLOW_BYTES: usize = 640 << 10;
const DEADLINE: Duration = Duration::from_secs(60);

/// Clients with a large answer at each gateway at a time.
const READERS: usize = 12;

/// Length of the traffic.
const DAY: Duration = Duration::from_secs(50);

/// Clients at each gateway that send orders one after the other on kept connections, and how long an order is worked on.
const ORDERERS: usize = 6;
const ORDER_WORK_MS: u64 = 120;
const ORDER_DEADLINE: Duration = Duration::from_secs(1);

/// Requests that a machine may leave without an answer on a kept connection.
const ALLOWED: usize = 3;

/// What became of a client's orders.
#[derive(Default)]
struct Orders {
    sent: usize,
    /// Those on a kept connection that was closed without an answer before the deadline, by id.
    closed: Vec<String>,
}

/// A client that sends orders, each on the connection of the one before while that lasts.
fn send_orders(deployment: &Deployment, edge: u8, until: Instant) -> Orders {
    let mut orders = Orders::default();
    let mut kept: Option<TcpStream> = None;
    while Instant::now() < until {
        let is_kept = kept.is_some();
        let Some(mut stream) = kept.take().or_else(|| TcpStream::connect(deployment.front(edge)).ok()) else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        let _ = stream.set_nodelay(true);
        let id = client::new_id();
        let answer_until = Instant::now() + ORDER_DEADLINE;
        let request = client::request("POST", "/lepu270/2f", &id, ORDER_DEADLINE, b"");
        let answer = match stream.write_all(&request) {
            Ok(()) => http::read_response(&mut stream, answer_until),
            Err(error) => Err(error.to_string()),
        };
        orders.sent += 1;
        match answer {
            Ok(answer) => {
                let is_closing = answer.field("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
                deployment.record.note(&format!("client: order {id} at edge-{edge}: {}", answer.status));
                if answer.status == 503 {
                    thread::sleep(Duration::from_millis(100));
                }
                if !is_closing {
                    kept = Some(stream);
                }
            }
            Err(error) => {
                let is_closed = Instant::now() < answer_until;
                deployment
                    .record
                    .note(&format!("client: order {id} at edge-{edge}, kept connection: {is_kept}: {error}"));
                if is_closed && is_kept {
                    orders.closed.push(id);
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
    }
    orders
}

/// A client that asks for a large answer and reads it slowly, or as fast as it comes.
fn read_large(deployment: &Deployment, edge: u8, is_slow: bool, until: Instant) {
    let id = client::new_id();
    let Ok(mut stream) = TcpStream::connect(deployment.front(edge)) else {
        return thread::sleep(Duration::from_millis(200));
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
    let request = client::request("GET", "/xapu221/ny95/", &id, DEADLINE, b"");
    if stream.write_all(&request).is_err() {
        return thread::sleep(Duration::from_millis(200));
    }
    let begun = Instant::now();
    let mut buffer = vec![0; SLOW_BYTES / 4];
    let mut received = 0;
    let outcome = loop {
        if Instant::now() >= until || begun.elapsed() > DEADLINE {
            break "is left by its client";
        }
        match stream.read(&mut buffer) {
            Ok(0) => break "ends early",
            Ok(count) => received += count,
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => break "is reset",
        }
        if received > ANSWER_BYTES {
            break "is complete";
        }
        if is_slow {
            thread::sleep(Duration::from_millis(250));
        }
    };
    deployment.record.note(&format!(
        "client: large answer {id} of edge-{edge} {outcome} after {received} bytes and {:.1} s",
        begun.elapsed().as_secs_f64()
    ));
    thread::sleep(Duration::from_millis(200));
}

pub fn run(deployment: &Arc<Deployment>, trouble: bool) -> Result<bool, String> {
    let nodes = deployment.controls();
    let first = operator::change(
        &operator::limits(1),
        client::HOST,
        &[
            operator::route("r-large", "safe", "/xapu221/", "huvo11a", 60.0, 1),
            operator::route("r-order", "unsafe", "/lepu270/", "kafi81c", 1.0, 1),
        ],
        &[operator::service("huvo11a", 1), operator::service("kafi81c", 1)],
        "",
    );
    if operator::send(deployment, "the first call", &first, &nodes, Duration::from_secs(15)) != 200 {
        return Err("the first call is not acknowledged".to_owned());
    }
    for number in 1..=4 {
        Server::start(deployment, number, "huvo11a", ANSWER_BYTES)?;
    }
    let mut order_servers = Vec::new();
    for number in 5..=8 {
        order_servers.push(Server::start(deployment, number, "kafi81c", 200)?);
    }
    super::wait_until_served(deployment, 2, &["/lepu270/2f"])?;
    for server in &order_servers {
        server.work_ms.store(ORDER_WORK_MS, Ordering::Relaxed);
    }
    let until = Instant::now() + DAY;
    let mut clients = Vec::new();
    for number in 0..2 * READERS {
        let edge = 1 + (number % 2) as u8;
        // They come one after the other, so that no two large answers arrive at the same moment.
        let begins = Instant::now() + Duration::from_millis(300) * number as u32;
        let of = Arc::clone(deployment);
        clients.push(thread::spawn(move || {
            thread::sleep(begins.saturating_duration_since(Instant::now()));
            while Instant::now() < until {
                read_large(&of, edge, trouble, until);
            }
        }));
    }
    let mut orderers = Vec::new();
    for number in 0..2 * ORDERERS {
        let edge = 1 + (number % 2) as u8;
        let of = Arc::clone(deployment);
        orderers.push((edge, thread::spawn(move || send_orders(&of, edge, until))));
    }
    for client in clients {
        let _ = client.join();
    }
    let mut sent = 0;
    let mut lost = [0; 2];
    for (edge, orderer) in orderers {
        let orders = orderer.join().map_err(|_| "a client ended".to_owned())?;
        sent += orders.sent;
        for id in orders.closed {
            let has_run = order_servers.iter().any(|server| server.runs.lock().unwrap().contains(&id));
            if has_run {
                lost[usize::from(edge) - 1] += 1;
                deployment
                    .record
                    .note(&format!("order {id} has run; edge-{edge} closed its kept connection without an answer"));
            }
        }
    }
    let kills = deployment.memory_kills(Class::Edge);
    let peak = deployment.peak_memory(Class::Edge);
    deployment.record.say(&format!(
        "gateways killed for memory over {EDGE_MEMORY_MB} MB {kills:?} times, peak {peak} MB; {lost:?} of {sent} orders ran and got no answer on a kept connection, {ALLOWED} allowed"
    ));
    Ok(lost.iter().any(|lost| *lost > ALLOWED))
}
