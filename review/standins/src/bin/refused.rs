//! A request that may not be repeated is turned away, sent again to the owner of its key, and answered with 503
//! although that second sending runs.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use review_standins::deployment::{send_items, Deployment, EDGES};
use review_standins::http;
use review_standins::run::{run, say, Case, Outcome};
use review_standins::upstream::{Nature, Shared, Upstream};

const ITEMS: &str = r#"{"upsert":{"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15,"version":"r1"},"listeners":[{"host":"lopu12.example","rules":[{"name":"r-payout","kind":"unsafe","target_latency_s":0.4,"priority":0,"version":"r1","match":{"path_prefix":"/hucu512/"},"action":{"service":"dele69a","timeout_s":1,"max_attempts":2}}]}],"clusters":[{"name":"dele69a","health_path":"/healthz","max_connections":130,"protocol":"h1","tls":false,"sharded":true,"warm_s":2.0,"grants":"heartbeat","version":"r1"}]},"remove":{"routes":[]}}"#;

/// Payouts that clients ask for, one after the other; each fifth is turned away at first.
const PAYOUTS: u32 = 120;

fn main() {
    run(body)
}

fn body(case: &Case, deployment: &mut Deployment) -> Outcome {
    let layout = deployment.layout;
    let shared = Shared::new(case.record.clone());
    let nature = Nature {
        keyed: true,
        sheds: Some("when=full;".to_owned()),
        answers_twice: case.trouble,
        ..Nature::default()
    };
    let mut upstreams = Vec::new();
    for number in 1..=3_u8 {
        let id = format!("i-{number}");
        let address = layout.upstream(number);
        let upstream = Upstream::start(
            &shared,
            "dele69a",
            &id,
            address,
            layout.controls(),
            nature.clone(),
        );
        match upstream {
            Ok(upstream) => upstreams.push(upstream),
            Err(error) => return Outcome::CouldNotRun(format!("upstream: {error}")),
        }
    }
    if !send_items(layout, &case.record, ITEMS, Duration::from_secs(20)) {
        return Outcome::CouldNotRun("the items are not acknowledged".to_owned());
    }
    for (number, upstream) in upstreams.iter().enumerate() {
        upstream.keep_beating(Duration::from_millis(400 * number as u64));
    }
    if !deployment.wait_until_ready(Duration::from_secs(20)) {
        return Outcome::CouldNotRun("the gateways are not ready".to_owned());
    }
    let until = Instant::now() + Duration::from_secs(30);
    let held = || -> usize {
        let counts = upstreams.iter().map(|one| one.keys.lock().unwrap().count());
        counts.sum()
    };
    while held() < 65_536 {
        if Instant::now() > until {
            return Outcome::CouldNotRun("not every key has an owner".to_owned());
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    std::thread::sleep(Duration::from_secs(5));
    let mut answers: Vec<(String, u32, u16)> = Vec::new();
    for payout in 0..PAYOUTS {
        let when = match payout % 5 == 4 {
            true => "full",
            false => "free",
        };
        let key = (payout * 317) % 65_536;
        for try_number in 1..=2 {
            let attempt = format!("a{payout:04}{try_number:02}");
            let edge = 1 + (payout + try_number) as u8 % EDGES;
            let body = format!("payout={payout};when={when};work_ms=30;");
            let request = format!(
                "PUT /hucu512/issue HTTP/1.1\r\nHost: lopu12.example\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 900\r\nShard-Key: {key}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            let answer = http::exchange(
                layout.front(edge),
                request.as_bytes(),
                Duration::from_millis(900),
            );
            let status = answer.as_ref().map_or(0, |answer| answer.status());
            case.record.line(&format!(
                "client: payout {payout}, attempt {attempt} at edge {edge} -> {status}"
            ));
            answers.push((attempt, payout, status));
            let may_repeat = matches!(status, 408 | 421 | 429 | 503);
            if !may_repeat {
                break;
            }
            let wait = answer.ok().and_then(|answer| {
                answer
                    .field("Retry-After")
                    .and_then(|text| text.parse().ok())
            });
            std::thread::sleep(Duration::from_secs_f64(wait.unwrap_or(0.05_f64).min(0.3)));
        }
        std::thread::sleep(Duration::from_millis(15));
    }
    std::thread::sleep(Duration::from_millis(500));
    shared.stop.store(true, Ordering::Relaxed);
    judge(case, &shared, &answers)
}

fn judge(case: &Case, shared: &Shared, answers: &[(String, u32, u16)]) -> Outcome {
    let runs = shared.runs.lock().unwrap();
    let ran = |attempt: &str| runs.get(attempt).map_or(0, Vec::len);
    let mut refused = 0;
    let mut twice = 0;
    for (attempt, payout, status) in answers {
        if matches!(status, 408 | 421 | 429 | 503) && ran(attempt) > 0 {
            refused += 1;
            case.record.line(&format!(
                "REFUSED: payout {payout}, attempt {attempt} was answered {status} and ran"
            ));
        }
        if ran(attempt) > 1 {
            twice += 1;
            case.record.line(&format!(
                "TWICE: attempt {attempt} ran {} times",
                ran(attempt)
            ));
        }
    }
    let paid: Vec<u32> = answers.iter().map(|(_, payout, _)| *payout).collect();
    let times = |payout: u32| -> usize {
        let attempts = answers.iter().filter(|(_, one, _)| *one == payout);
        attempts.map(|(attempt, _, _)| ran(attempt)).sum()
    };
    let doubled = (0..PAYOUTS).filter(|one| paid.contains(one) && times(*one) > 1);
    let doubled = doubled.count();
    let served = answers
        .iter()
        .filter(|(_, _, status)| *status == 200)
        .count();
    case.record.line(&format!(
        "{} attempts, {served} answered 200; {refused} answered 503 that ran; {twice} ran twice; {doubled} payouts were made more than once",
        answers.len()
    ));
    say(&format!(
        "{refused} refused that ran, {twice} twice, {doubled} payouts made more than once"
    ));
    match refused + twice > 0 {
        true => Outcome::Broken,
        false if served < PAYOUTS as usize * 9 / 10 => {
            Outcome::CouldNotRun("too few payouts were served".to_owned())
        }
        false => Outcome::Held,
    }
}
