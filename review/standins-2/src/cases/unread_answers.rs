//! Clients that do not read on: the answers that wait for them fill the memory of the gateways. The platform kills
//! processes that use more than the memory of their machine.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client;
use crate::deployment::{Class, Deployment, EDGE_MEMORY_MB};
use crate::operator;
use crate::server::Server;

/// Size of a large answer in bytes.
const ANSWER_BYTES: usize = 30 << 20;

/// Bytes a second that a slow client reads, and how long it waits for its answer.
const SLOW_BYTES: usize = 256 << 10;
const DEADLINE: Duration = Duration::from_secs(60);

/// Clients with a large answer at each gateway at a time.
const READERS: usize = 12;

/// Length of the traffic.
const DAY: Duration = Duration::from_secs(80);

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
    let orders = Server::start(deployment, 5, "kafi81c", 200)?;
    super::wait_until_served(deployment, 2, &["/lepu270/2f"])?;
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
    let mut lost = 0;
    let mut sent = 0;
    while Instant::now() < until {
        for edge in 1..=2 {
            let id = client::new_id();
            let answer = client::send(deployment, edge, "POST", "/lepu270/2f", &id, Duration::from_secs(1));
            sent += 1;
            let has_run = orders.runs.lock().unwrap().contains(&id);
            if has_run && answer.is_err() {
                lost += 1;
                deployment.record.note(&format!("the order {id} has run, and its client gets no answer"));
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    for client in clients {
        let _ = client.join();
    }
    let kills = deployment.memory_kills(Class::Edge);
    let peak = deployment.peak_memory(Class::Edge);
    let over = kills.iter().filter(|kills| **kills >= 3).count();
    deployment.record.say(&format!(
        "gateways killed for memory over {EDGE_MEMORY_MB} MB {kills:?} times, peak {peak} MB; {lost} of {sent} orders ran and got no answer"
    ));
    Ok(over >= 2)
}
