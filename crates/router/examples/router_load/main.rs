//! Measures one router on loopback: added latency, throughput by number of callers, goodput under overload,
//! and the thread count with silent callers compared with `rouille` alone.
//!
//! `cargo run --release -p grebepin-router --example router_load -- latency|threads|overload|rouille`

mod callers;
mod fleet;

use std::fs;
use std::net::TcpStream;
use std::time::Duration;

use clap::{Parser, Subcommand};
use hdrhistogram::Histogram;

use callers::{closed_loop, open_loop, Plan, Results};
use fleet::Fleet;

const SILENT_CONNECTIONS: usize = 600;
const LOAD_FACTORS: [u64; 4] = [1, 2, 5, 10];

#[derive(Parser)]
struct Arguments {
    /// Duration of each measurement in seconds.
    #[arg(long, default_value_t = 8)]
    seconds: u64,
    #[command(subcommand)]
    measurement: Measurement,
}

#[derive(Subcommand)]
enum Measurement {
    /// Latency through the router and directly to the back ends, at a constant rate.
    Latency {
        /// Requests per second.
        #[arg(long, default_value_t = 3600)]
        rate: u64,
        /// Number of caller connections.
        #[arg(long, default_value_t = 32)]
        connections: usize,
    },
    /// Requests per second with 1, 2, 4, 8, 16 and 32 closed-loop callers.
    Threads,
    /// Goodput by class at up to 10 times the capacity of the back ends.
    Overload,
    /// Thread count while silent callers are connected to a router, and to `rouille` alone.
    Rouille,
}

fn main() {
    let arguments = Arguments::parse();
    let length = Duration::from_secs(arguments.seconds);
    println!("load average before: {}", load_average());
    match arguments.measurement {
        Measurement::Latency { rate, connections } => latency(rate, connections, length),
        Measurement::Threads => threads(length),
        Measurement::Overload => overload(length),
        Measurement::Rouille => rouille_alone(),
    }
    println!("load average after: {}", load_average());
}

fn latency(rate: u64, connections: usize, length: Duration) {
    let fleet = Fleet::start(6, 64, Duration::ZERO);
    println!("{rate} requests/s over {connections} connections, from the intended start, in ms");
    println!(
        "{:>8} {:>8} {:>8} {:>8} {:>8} {:>9}",
        "way", "p50", "p90", "p99", "p99.9", "answered"
    );
    // The two paths alternate, so that other load on the machine affects both alike.
    let mut paths = [
        ("direct", Results::default()),
        ("router", Results::default()),
    ];
    for _ in 0..4 {
        for (path, results) in &mut paths {
            let addresses = match *path {
                "direct" => fleet.back_ends.clone(),
                _ => vec![fleet.router.address()],
            };
            let plan = Plan {
                rate,
                connections,
                length: length / 4,
                deadline_ms: 2000,
            };
            results.add(open_loop(&addresses, &plan));
        }
    }
    for (path, results) in &paths {
        print_times(path, &results.times, results.answered);
    }
    let [direct, router] = paths.map(|(_, results)| results.times);
    let added = |percentile| milliseconds(&router, percentile) - milliseconds(&direct, percentile);
    println!(
        "added by the router: p50 {:.3} ms, p99 {:.3} ms",
        added(50.0),
        added(99.0)
    );
    fleet.router.stop();
}

fn threads(length: Duration) {
    let fleet = Fleet::start(6, 64, Duration::ZERO);
    println!(
        "{:>8} {:>12} {:>8} {:>8} {:>8} {:>16}",
        "callers", "requests/s", "p50", "p99", "p99.9", "router us/req"
    );
    for callers in [1, 2, 4, 8, 16, 32] {
        let results = closed_loop(fleet.router.address(), callers, length / 4);
        let rate = results.answered as f64 / (length / 4).as_secs_f64();
        let [p50, p99, p999] =
            [50.0, 99.0, 99.9].map(|percentile| milliseconds(&results.times, percentile));
        let each = results.router_threads.as_secs_f64() * 1e6 / results.answered as f64;
        println!("{callers:>8} {rate:>12.0} {p50:>8.3} {p99:>8.3} {p999:>8.3} {each:>16.1}");
    }
    fleet.router.stop();
}

fn overload(length: Duration) {
    let (servers, slots, service) = (4, 2, Duration::from_millis(10));
    let capacity = (servers * slots) as u64 * 1000 / service.as_millis() as u64;
    println!("{servers} servers x {slots} slots x {service:?}: {capacity} requests/s; deadline 200 ms; 1 of 5 is an approval");
    println!(
        "{:>6} {:>9} {:>9} {:>10} {:>10} {:>9} {:>9}",
        "load", "offered/s", "goodput/s", "approvals", "look-ups", "p99 appr", "refusal p99"
    );
    for factor in LOAD_FACTORS {
        let fleet = Fleet::start(servers, slots, service);
        let plan = Plan {
            rate: capacity * factor,
            connections: 96,
            length,
            deadline_ms: 200,
        };
        let results = open_loop(&[fleet.router.address()], &plan);
        let share = |[answered, offered]: [u64; 2]| 100.0 * answered as f64 / offered.max(1) as f64;
        println!(
            "{:>5}x {:>9.0} {:>9.0} {:>9.1}% {:>9.1}% {:>9.1} {:>9.1}",
            factor,
            results.offered() as f64 / results.elapsed.as_secs_f64(),
            results.answered as f64 / results.elapsed.as_secs_f64(),
            share(results.classes[0]),
            share(results.classes[1]),
            milliseconds(&results.approval_times, 99.0),
            milliseconds(&results.refusal_times, 99.0),
        );
        println!("       {}", results.kinds());
        fleet.router.stop();
    }
}

fn rouille_alone() {
    let fleet = Fleet::start(1, 1, Duration::ZERO);
    println!("{SILENT_CONNECTIONS} silent callers");
    silent_callers("router, bound of 512 connections", fleet.router.address());
    fleet.router.stop();
    let server = rouille::Server::new("127.0.0.1:0", |_| rouille::Response::text("ok"));
    let server = server.expect("listens").pool_size(4);
    let address = server.server_addr();
    std::thread::spawn(move || server.run());
    silent_callers("rouille, pool of 4 threads", address);
}

fn silent_callers(name: &str, address: std::net::SocketAddr) {
    let before = thread_count();
    let connect = |_| TcpStream::connect(address).expect("connects");
    let held: Vec<TcpStream> = (0..SILENT_CONNECTIONS).map(connect).collect();
    std::thread::sleep(Duration::from_secs(2));
    println!("{name}: {} more threads after 2 s", thread_count() - before);
    std::thread::sleep(Duration::from_secs(6));
    println!("{name}: {} more threads after 8 s", thread_count() - before);
    drop(held);
}

fn print_times(name: &str, times: &Histogram<u64>, answered: u64) {
    let [p50, p90, p99, p999] =
        [50.0, 90.0, 99.0, 99.9].map(|percentile| milliseconds(times, percentile));
    println!("{name:>8} {p50:>8.3} {p90:>8.3} {p99:>8.3} {p999:>8.3} {answered:>9}");
}

fn milliseconds(times: &Histogram<u64>, percentile: f64) -> f64 {
    times.value_at_percentile(percentile) as f64 / 1000.0
}

fn thread_count() -> i64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("Threads:"));
    line.and_then(|text| text.trim().parse().ok()).unwrap_or(0)
}

fn load_average() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').take(3).collect::<Vec<_>>().join(" ")
}
