//! Simulated callers: plan, outcome rules, flags, and complete runs against a scripted router.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::Mutex;
use std::time::Duration;

use clap::Parser;
use grebepin_schema::{HistoryEvent, HistoryRecord, Outcome};
use grebepin_standin::caller::{
    next_step, run_until, AfterUnknown, Args, AttemptResult, ClassSpec, ClassSpecError, NextStep,
    Plan, RepeatRules, Summary,
};
use grebepin_standin::http::{HttpRequest, HttpResponse, HttpServer, ServerHooks, ServerOptions};

#[derive(Parser)]
struct Flags {
    #[command(flatten)]
    caller: Args,
}

const APPROVE: &str = "service=till,class=approve,path=/approve,deadline-ms=300";
const LOOK_UP: &str = "service=till,class=look-up,path=/l,method=GET,repeatable=true,weight=3";

fn flags(more: &[&str]) -> Args {
    let fixed = ["caller", "--seed", "7", "--threads", "8"];
    Flags::parse_from(fixed.iter().chain(more)).caller
}

#[test]
fn the_seed_decides_the_plan() {
    let common = [
        "--router",
        "127.0.0.1:1",
        "--class",
        APPROVE,
        "--class",
        LOOK_UP,
    ];
    let with = |more: &[&str]| {
        let all: Vec<&str> = common.iter().chain(more).copied().collect();
        Plan::new(&flags(&all)).unwrap().collect::<Vec<_>>()
    };
    let run = with(&["--rate", "500", "--seconds", "20"]);
    assert_eq!(run, with(&["--rate", "500", "--seconds", "20"]));
    assert!((9_500..10_500).contains(&run.len()), "{}", run.len());
    assert!(run.windows(2).all(|pair| pair[0].at <= pair[1].at));
    let look_ups = run.iter().filter(|intended| intended.class == 1).count();
    assert!((7_000..8_000).contains(&look_ups), "3 of 4: {look_ups}");

    let even = with(&[
        "--rate",
        "100",
        "--seconds",
        "1.005",
        "--arrivals",
        "uniform",
    ]);
    assert_eq!(even.len(), 100);
    assert_eq!(even[9].at, Duration::from_millis(100));

    let share_of_first = |skew| {
        let run = with(&[
            "--rate",
            "500",
            "--seconds",
            "20",
            "--keys",
            "100",
            "--skew",
            skew,
        ]);
        run.iter().filter(|intended| intended.key == 0).count() * 100 / run.len()
    };
    assert_eq!(share_of_first("0"), 1);
    assert!(
        (17..22).contains(&share_of_first("1")),
        "1 over the sum of 1/k is 19 in 100"
    );
}

#[test]
fn invalid_flags_are_refused() {
    let table = [
        vec![],
        vec!["--class", APPROVE, "--rate", "0"],
        vec!["--class", APPROVE, "--keys", "0"],
    ];
    for more in table {
        let all: Vec<&str> = ["--router", "127.0.0.1:1"]
            .into_iter()
            .chain(more.clone())
            .collect();
        assert!(Plan::new(&flags(&all)).is_err(), "{more:?}");
    }
    #[rustfmt::skip]
    let table = [
        ("class=c", ClassSpecError::Missing("service")),
        ("service=s", ClassSpecError::Missing("class")),
        ("service=s,class", ClassSpecError::NotAPair("class".into())),
        ("service=s,class=c,colour=red", ClassSpecError::UnknownPart("colour".into())),
        ("service=s,class=c,weight=much", ClassSpecError::Invalid("weight")),
        ("service=s,class=c,method=PUT", ClassSpecError::Invalid("method")),
    ];
    for (text, error) in table {
        assert_eq!(text.parse::<ClassSpec>(), Err(error), "{text}");
    }
}

#[test]
fn outcome_rules() {
    let rules = |after_unknown| RepeatRules {
        attempts: 3,
        after_unknown,
    };
    let default = Duration::from_millis(200);
    let unknown = Some(Outcome::Unknown);
    #[rustfmt::skip]
    let table = [
        (AfterUnknown::Resend, 1, false, Some(Outcome::Answered), NextStep::Done),
        (AfterUnknown::Resend, 1, false, Some(Outcome::NotRun), NextStep::NewRequest(default)),
        (AfterUnknown::Resend, 3, false, Some(Outcome::NotRun), NextStep::Done),
        (AfterUnknown::Resend, 1, false, unknown, NextStep::Resend(default)),
        (AfterUnknown::Resend, 1, false, None, NextStep::Resend(default)),
        (AfterUnknown::Resend, 3, false, unknown, NextStep::Done),
        (AfterUnknown::LookUp, 1, false, unknown, NextStep::LookUp(default)),
        (AfterUnknown::LookUp, 1, true, unknown, NextStep::Resend(default)),
        (AfterUnknown::LookUp, 3, true, unknown, NextStep::Done),
        (AfterUnknown::Stop, 1, false, unknown, NextStep::Done),
        (AfterUnknown::Stop, 1, true, None, NextStep::Resend(default)),
    ];
    for (after, sent, repeatable, outcome, expected) in table {
        let result = AttemptResult {
            outcome,
            ..AttemptResult::default()
        };
        let step = next_step(rules(after), sent, repeatable, &result);
        assert_eq!(step, expected, "{after:?} {sent} {repeatable} {outcome:?}");
    }
    let long_pause = AttemptResult {
        outcome: Some(Outcome::NotRun),
        retry_after: Some(Duration::from_secs(60)),
        ..AttemptResult::default()
    };
    let bounded = NextStep::NewRequest(Duration::from_secs(2));
    assert_eq!(
        next_step(rules(AfterUnknown::Resend), 1, false, &long_pause),
        bounded
    );
}

/// Router that answers the attempts of each request by a script, whose last answer repeats.
struct ScriptedRouter {
    script: Vec<&'static str>,
    seen: Mutex<BTreeMap<String, usize>>,
}

impl ServerHooks for ScriptedRouter {
    fn respond(&self, request: HttpRequest) -> HttpResponse {
        let header = |name| request.header(name).unwrap_or_default().to_owned();
        let (id, key) = (header("Grebepin-Request-Id"), header("Grebepin-Key"));
        if request.path == format!("/-/outcome/till/{id}") || request.path.starts_with("/-/") {
            return HttpResponse::json(&serde_json::json!({"state": "ran"}));
        }
        let number = id.split('.').next().unwrap_or_default().to_owned();
        let mut seen = self.seen.lock().unwrap();
        let position = seen.entry(number).or_default();
        let step = self.script[(*position).min(self.script.len() - 1)];
        *position += 1;
        drop(seen);
        let owner = serde_json::json!({"server": "s", "request_id": id, "key": key, "epoch": 1,
            "body_bytes": request.body.len(), "padding": ""});
        let crossed = serde_json::json!({"server": "s", "request_id": "other", "key": key,
            "epoch": 1, "body_bytes": 0, "padding": ""});
        let reject = serde_json::json!({"kind": "no-owner", "message": "m", "outcome": step,
            "retry_after_ms": 1});
        let (outcome, answer) = match step {
            "answered" => (step, HttpResponse::json(&owner)),
            "crossed" => ("answered", HttpResponse::json(&crossed)),
            _ => (step, HttpResponse::json(&reject)),
        };
        answer
            .with_header("Grebepin-Outcome", outcome)
            .with_header("Grebepin-Request-Id", id)
    }
}

/// Runs 20 requests of one class against a script. Returns the summary and the history.
fn run(script: &[&'static str], more: &[&str]) -> (Summary, Vec<HistoryRecord>) {
    let folder = tempfile::tempdir().unwrap();
    let history = folder.path().join("history.jsonl");
    let router = ScriptedRouter {
        script: script.to_vec(),
        seen: Mutex::default(),
    };
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let options = ServerOptions {
        connections: 64,
        maximum_body: 4096,
        ..ServerOptions::default()
    };
    let server = HttpServer::start(listener, options, router).unwrap();
    let address = server.address().to_string();
    let fixed = ["--router", &address, "--rate", "400", "--seconds", "0.0505"];
    let plan = [
        "--arrivals",
        "uniform",
        "--history",
        history.to_str().unwrap(),
    ];
    let all: Vec<&str> = fixed.iter().chain(&plan).chain(more).copied().collect();
    let summary = run_until(&flags(&all), &false.into()).unwrap();
    server.stop();
    let text = std::fs::read_to_string(history).unwrap();
    let records = text.lines().map(|line| serde_json::from_str(line).unwrap());
    (summary, records.collect())
}

fn endings(summary: &Summary, class: &str) -> BTreeMap<String, u64> {
    let requests = &summary.services["till"].classes[class].requests;
    requests
        .iter()
        .map(|(ending, latency)| (ending.clone(), latency.count))
        .collect()
}

#[test]
fn runs_against_a_scripted_router() {
    type Row = (
        &'static [&'static str],
        &'static [&'static str],
        &'static str,
        u64,
        u64,
    );
    // (script, flags, ending of all 20 requests, attempts, ids used)
    #[rustfmt::skip]
    let table: [Row; 6] = [
        (&["answered"], &["--class", APPROVE], "answered", 20, 20),
        (&["not-run", "answered"], &["--class", APPROVE], "answered", 40, 40),
        (&["unknown", "answered"], &["--class", APPROVE], "answered", 40, 20),
        (&["unknown"], &["--class", APPROVE], "unknown", 60, 20),
        (&["unknown"], &["--class", APPROVE, "--after-unknown", "look-up"], "looked-up-ran", 20, 20),
        (&["crossed"], &["--class", APPROVE], "wrong-answer", 20, 20),
    ];
    for (script, more, ending, attempts, ids) in table {
        let (summary, history) = run(script, more);
        assert_eq!(summary.requests, 20, "{script:?}");
        assert_eq!(
            endings(&summary, "approve"),
            [(ending.to_owned(), 20)].into(),
            "{script:?}"
        );
        let mut sent = BTreeMap::new();
        let mut finished = 0;
        for record in &history {
            match &record.event {
                HistoryEvent::Sent(attempt) => {
                    let attempts: &mut Vec<u32> = sent.entry(&attempt.request_id).or_default();
                    attempts.push(attempt.attempt);
                }
                HistoryEvent::Finished(_) => finished += 1,
                other => panic!("{other:?}"),
            }
        }
        assert_eq!((finished, sent.len() as u64), (attempts, ids), "{script:?}");
        let in_order = |attempts: &Vec<u32>| attempts.iter().copied().eq(1..=attempts.len() as u32);
        assert!(sent.values().all(in_order), "{script:?}: {sent:?}");
    }
}

#[test]
fn repeatable_requests_are_sent_again_and_stalls_are_seen() {
    let (summary, _) = run(&["unknown", "answered"], &["--class", LOOK_UP]);
    assert_eq!(
        endings(&summary, "look-up"),
        [("answered".to_owned(), 20)].into()
    );
    let till = &summary.services["till"];
    assert_eq!(till.classes["look-up"].attempts.unknown, 20);
    assert_eq!(till.classes["look-up"].rejected["no-owner"], 20);

    let (summary, _) = run(&["not-run"], &["--class", APPROVE]);
    let gap = summary.services["till"].longest_unavailable_ms;
    assert!(
        (gap - summary.seconds * 1000.0).abs() < 1e-6,
        "never answered: the whole run"
    );
}

#[test]
fn a_refused_connection_counts_as_no_answer() {
    let closed = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
        .to_string();
    let more = [
        "--router",
        &closed,
        "--rate",
        "200",
        "--seconds",
        "0.05",
        "--attempts",
        "1",
    ];
    let all: Vec<&str> = more.iter().chain(&["--class", APPROVE]).copied().collect();
    let summary = run_until(&flags(&all), &false.into()).unwrap();
    let only = endings(&summary, "approve");
    assert_eq!(only.keys().collect::<Vec<_>>(), ["no-answer"]);
}
