//! An upstream states a very long idle time in `Keep-Alive`. The gateway that reads it ends, and with it the requests
//! of other clients that sound upstreams are running.

use std::io::Write;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use review_standins::deployment::{send_items, Deployment};
use review_standins::http;
use review_standins::run::{run, say, Case, Outcome};
use review_standins::upstream::{Nature, Shared, Upstream};

const ITEMS: &str = r#"{"upsert":{"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15,"version":"r1"},"listeners":[{"host":"lopu12.example","rules":[{"name":"r-payout","kind":"unsafe","target_latency_s":1.5,"priority":0,"version":"r1","match":{"path_prefix":"/hucu512/"},"action":{"service":"gowu98c","timeout_s":4,"max_attempts":2}}]},{"host":"jepu9.example","rules":[{"name":"r-lookup","kind":"safe","target_latency_s":0.3,"priority":2,"version":"r1","match":{"path_prefix":"/lepu270/"},"action":{"service":"xano55b","timeout_s":1,"max_attempts":2}}]}],"clusters":[{"name":"gowu98c","health_path":"/healthz","max_connections":130,"protocol":"h1","tls":false,"version":"r1"},{"name":"xano55b","health_path":"/healthz","max_connections":130,"protocol":"h1","tls":false,"version":"r1"}]},"remove":{"routes":[]}}"#;

/// Clients with a kept connection, each of which asks for payouts.
const CLIENTS: u32 = 8;

/// Rounds of payouts; in each the faulty upstream answers one request.
const ROUNDS: u32 = 3;

/// Requests that a machine may pass on and leave without an answer.
const ALLOWED: usize = 3;

/// Largest whole number of 64 bits, as programs write that have no limit.
const WITHOUT_LIMIT: &str = "timeout=18446744073709551615";

fn main() {
    run(body)
}

/// What became of a client's attempt: the status, or 0 for a connection that ended without an answer.
type Answers = Arc<Mutex<Vec<(String, u16)>>>;

fn body(case: &Case, deployment: &mut Deployment) -> Outcome {
    match play(case, deployment) {
        Ok(outcome) => outcome,
        Err(why) => Outcome::CouldNotRun(why),
    }
}

fn play(case: &Case, deployment: &mut Deployment) -> Result<Outcome, String> {
    let layout = deployment.layout;
    let shared = Shared::new(case.record.clone());
    let keep_alive = match case.trouble {
        true => WITHOUT_LIMIT,
        false => "timeout=10",
    };
    let faulty = Nature {
        keep_alive: Some(keep_alive.to_owned()),
        ..Nature::default()
    };
    let start = |service: &str, id: &str, number: u8, nature: Nature| {
        let address = layout.upstream(number);
        Upstream::start(&shared, service, id, address, layout.controls(), nature)
            .map_err(|error| format!("upstream {id}: {error}"))
    };
    if !send_items(layout, &case.record, ITEMS, Duration::from_secs(20)) {
        return Err("the items are not acknowledged".to_owned());
    }
    for number in 1..=3_u8 {
        let sound = start(
            "gowu98c",
            &format!("i-sound{number}"),
            number,
            Nature::default(),
        )?;
        sound.keep_beating(Duration::ZERO);
    }
    start("xano55b", "i-faulty", 9, faulty)?.keep_beating(Duration::ZERO);
    if !deployment.wait_until_ready(Duration::from_secs(20)) {
        return Err("the gateways are not ready".to_owned());
    }
    // Everything has run for longer than `contact_s`, so the machines are in touch.
    thread::sleep(Duration::from_secs(5));
    let answers: Answers = Arc::default();
    let mut ended: Option<String> = None;
    for round in 0..ROUNDS {
        if ended.is_some() {
            break;
        }
        let clients = (0..CLIENTS).map(|client| {
            let (record, answers) = (case.record.clone(), Arc::clone(&answers));
            let front = layout.front(1);
            thread::spawn(move || {
                let ask = |stream: &mut std::net::TcpStream, attempt: &str, work: u32| {
                    let body = format!("work_ms={work};");
                    let request = format!(
                        "PUT /hucu512/issue HTTP/1.1\r\nHost: lopu12.example\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 3500\r\nContent-Length: {}\r\n\r\n{body}",
                        body.len()
                    );
                    let mut buffer = Vec::new();
                    let answer = stream
                        .write_all(request.as_bytes())
                        .and_then(|()| http::read_message(stream, &mut buffer));
                    let status = match answer {
                        Ok(Some(answer)) => answer.status(),
                        Ok(None) | Err(_) => 0,
                    };
                    let text = match status {
                        0 => "the connection ends without an answer".to_owned(),
                        status => status.to_string(),
                    };
                    record.line(&format!("client {client}: attempt {attempt} -> {text}"));
                    answers.lock().unwrap().push((attempt.to_owned(), status));
                };
                let Ok(mut stream) = http::connect(front, Duration::from_secs(1)) else {
                    return;
                };
                let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
                ask(&mut stream, &format!("r{round}c{client}-1"), 20);
                ask(&mut stream, &format!("r{round}c{client}-2"), 1_000);
            })
        });
        let clients: Vec<_> = clients.collect();
        thread::sleep(Duration::from_millis(400));
        let attempt = format!("r{round}-lookup");
        let request = format!(
            "GET /lepu270/2f HTTP/1.1\r\nHost: jepu9.example\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 800\r\n\r\n"
        );
        let answer = http::exchange(
            layout.front(1),
            request.as_bytes(),
            Duration::from_millis(800),
        );
        let status = answer.map_or(0, |answer| answer.status());
        case.record
            .line(&format!("client: attempt {attempt} -> {status}"));
        for client in clients {
            let _ = client.join();
        }
        ended = deployment.edge_exit(1);
    }
    let until = Instant::now() + Duration::from_millis(500);
    while ended.is_none() && Instant::now() < until {
        ended = deployment.edge_exit(1);
        thread::sleep(Duration::from_millis(20));
    }
    shared.stop.store(true, Ordering::Relaxed);
    deployment.copy_log_lines(&case.record, &["panicked", "overflow"]);
    let answers = answers.lock().unwrap();
    let runs = shared.runs.lock().unwrap();
    let lost = answers
        .iter()
        .filter(|(attempt, status)| *status == 0 && runs.contains_key(attempt));
    let lost: Vec<&str> = lost.map(|(attempt, _)| attempt.as_str()).collect();
    for attempt in &lost {
        case.record.line(&format!(
            "LOST: attempt {attempt} was passed on to a sound upstream, which ran it; its connection ended without an answer"
        ));
    }
    case.record.line(&format!(
        "edge machine 1 ended by itself: {ended:?}; {} of {} attempts lost (allowed: {ALLOWED})",
        lost.len(),
        answers.len()
    ));
    say(&format!(
        "edge machine 1 ended: {ended:?}; {} attempts lost",
        lost.len()
    ));
    if lost.len() > ALLOWED {
        return Ok(Outcome::Broken);
    }
    let served = answers.iter().filter(|(_, status)| *status == 200).count();
    match served == answers.len() && answers.len() == (2 * CLIENTS * ROUNDS) as usize {
        true => Ok(Outcome::Held),
        false => Err(format!("only {served} attempts were served")),
    }
}
