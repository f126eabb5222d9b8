//! Runs the contract check against the simulated back end and the Python example.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

use clap::Parser;
use grebepin_holder::Guard;
use grebepin_standin::back_end::{Args, BackEnd};
use grebepin_standin::contract::{run_with, ContractOptions, ContractReport};

#[derive(Parser)]
struct Flags {
    #[command(flatten)]
    back_end: Args,
}

fn check(address: SocketAddr, only: &[&str]) -> ContractReport {
    let name = "contract";
    run_with(&ContractOptions {
        address,
        server: name.parse().unwrap(),
        service: name.parse().unwrap(),
        slow_path: Some("/slow".into()),
        only: only.iter().map(|prefix| prefix.to_string()).collect(),
    })
}

fn assert_kept(report: &ContractReport) {
    println!("{report}");
    assert_eq!((report.failed(), report.not_run()), (0, 0), "\n{report}");
}

#[test]
fn stand_in_keeps_every_clause() {
    let flags = ["stand-in", "--name", "contract", "--listen", "127.0.0.1:0"];
    let back_end = BackEnd::start(&Flags::parse_from(flags).back_end).unwrap();
    assert_kept(&check(back_end.address(), &[]));
}

#[test]
fn a_back_end_without_a_guard_fails_its_clause() {
    #[rustfmt::skip]
    let table = [
        (Guard::Nonce, "lease: counts from the issue of the nonce"),
        (Guard::Session, "grant: other session is refused"),
        (Guard::EpochCheck, "request: wrong epoch or shard is refused"),
        (Guard::Tombstone, "cancel: tombstone refuses the request"),
        (Guard::ResendRule, "resend: refused after a lost owner"),
    ];
    for (guard, clause) in table {
        let flags = ["stand-in", "--name", "contract", "--listen", "127.0.0.1:0"];
        let flags = Flags::parse_from(flags).back_end;
        let back_end = BackEnd::start_without(&flags, guard).unwrap();
        let report = check(back_end.address(), &[clause]);
        assert_eq!(
            (report.failed(), report.clauses.len()),
            (1, 1),
            "{guard:?}: {report}"
        );
    }
}

struct Example(Child);

impl Drop for Example {
    fn drop(&mut self) {
        self.0.kill().ok();
        self.0.wait().ok();
    }
}

#[test]
fn python_example_keeps_every_clause() {
    let script = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/back_end.py");
    let mut command = Command::new("python3");
    command.args([script, "contract", "127.0.0.1:0"]);
    let Ok(child) = command.stdout(Stdio::piped()).spawn() else {
        println!("not run: no python3 on this machine");
        return;
    };
    let mut example = Example(child);
    let mut first_line = String::new();
    let output = example.0.stdout.take().unwrap();
    BufReader::new(output).read_line(&mut first_line).unwrap();
    let address = first_line.trim().rsplit(' ').next().unwrap();
    assert_kept(&check(address.parse().unwrap(), &[]));
}
