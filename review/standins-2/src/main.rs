//! The cases of the second review that are scripts. `review-2 CASE RECORD` runs one of them from the root of the
//! repository; the variable TROUBLE=0 leaves its disruption out. Exits with 1 if the rule was broken, 0 if it held, and
//! 2 if the case couldn't run.

mod cases;
mod client;
mod deployment;
mod http;
mod network;
mod operator;
mod server;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use deployment::{Deployment, Record};

/// Time after which a case is given up.
const LONGEST: Duration = Duration::from_secs(116);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, record] = &arguments[..] else {
        eprintln!("review-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let Some(case) = cases::find(name) else {
        eprintln!("no case {name}");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&PathBuf::from(record)) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("{record}: {error}");
            return ExitCode::from(2);
        }
    };
    let deployment = match Deployment::start(3, case.edges, case.is_proxied, &record) {
        Ok(deployment) => deployment,
        Err(error) => {
            record.say(&format!("can't run: {error}"));
            return ExitCode::from(2);
        }
    };
    let watched = Arc::clone(&deployment);
    thread::spawn(move || {
        thread::sleep(LONGEST);
        watched.record.say("can't run: it takes too long");
        watched.shut_down();
        std::process::exit(2);
    });
    let running = Arc::clone(&deployment);
    let run = case.run;
    let outcome = thread::spawn(move || run(&running, trouble)).join();
    deployment.shut_down();
    match outcome {
        Ok(Ok(true)) => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
        Ok(Ok(false)) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Err(error)) => {
            record.say(&format!("can't run: {error}"));
            ExitCode::from(2)
        }
        Err(_) => {
            record.say("can't run: the stand-ins failed");
            ExitCode::from(2)
        }
    }
}
