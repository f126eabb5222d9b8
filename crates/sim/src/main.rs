//! Entry point of `grebepin-sim`.

use std::io::Write;
use std::ops::Range;
use std::process::ExitCode;
use std::time::Instant;

use anyhow::{bail, Context, Result};
use clap::{Parser, Subcommand};
use grebepin_sim::{run, run_many, select, Batch, Percentiles, RunGuards, Scenario};

/// Deterministic simulator of grebepin: the product's own code on a virtual clock, disk and network.
#[derive(Parser)]
#[command(name = "grebepin-sim", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Names every scenario.
    List,
    /// Runs scenarios over seeds and checks every promise; exit code 1 when one is broken.
    Run {
        /// A scenario's name, or rows, twice, pairs, all.
        #[arg(long, default_value = "rows")]
        scenario: String,
        /// Seeds as FIRST..END, END left out.
        #[arg(long, default_value = "0..100")]
        seeds: String,
        /// Threads.
        #[arg(long, default_value_t = 4)]
        threads: usize,
        /// One JSON object a scenario instead of lines of text.
        #[arg(long)]
        json: bool,
    },
    /// Runs one seed and writes its records as lines of JSON, then what was found on the error stream.
    Replay {
        /// The scenario's name.
        #[arg(long)]
        scenario: String,
        /// The seed.
        #[arg(long)]
        seed: u64,
    },
    /// Unavailable time at the loss of a leader, an owner and a zone: median, 99th percentile, worst.
    Measure {
        /// Seeds as FIRST..END, END left out.
        #[arg(long, default_value = "0..200")]
        seeds: String,
        /// Threads.
        #[arg(long, default_value_t = 4)]
        threads: usize,
    },
}

/// Scenarios that `measure` runs.
const MEASURED: [&str; 8] = [
    "leader-killed",
    "leader-cut-off",
    "leader-frozen",
    "server-killed",
    "server-frozen",
    "server-cut-off",
    "zone-cut",
    "owner-lost-at-failover",
];

fn main() -> Result<ExitCode> {
    match Arguments::parse().command {
        Command::List => list(),
        Command::Run {
            scenario,
            seeds,
            threads,
            json,
        } => run_scenarios(&scenario, parse_seeds(&seeds)?, threads, json),
        Command::Replay { scenario, seed } => replay(&scenario, seed),
        Command::Measure { seeds, threads } => measure(parse_seeds(&seeds)?, threads),
    }
}

fn parse_seeds(text: &str) -> Result<Range<u64>> {
    let (first, end) = text.split_once("..").context("seeds are FIRST..END")?;
    Ok(first.parse()?..end.parse()?)
}

fn list() -> Result<ExitCode> {
    let mut out = std::io::stdout().lock();
    for scenario in select("all")? {
        writeln!(out, "{:60} {}", scenario.name, scenario.about)?;
    }
    Ok(ExitCode::SUCCESS)
}

fn run_scenarios(word: &str, seeds: Range<u64>, threads: usize, json: bool) -> Result<ExitCode> {
    let mut failed = false;
    let (mut runs, begun) = (0, Instant::now());
    for scenario in select(word)? {
        let started = Instant::now();
        let batch = run_many(&scenario, seeds.clone(), RunGuards::default(), threads);
        let seconds = started.elapsed().as_secs_f64();
        runs += batch.runs;
        failed |= is_failed(&scenario, &batch);
        match json {
            true => println!("{}", serde_json::to_string(&batch)?),
            false => print_batch(&scenario, &batch, seconds),
        }
    }
    let seconds = begun.elapsed().as_secs_f64();
    eprintln!(
        "{runs} runs in {seconds:.1} s: {:.0} seeds/s",
        runs as f64 / seconds
    );
    Ok(if failed {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    })
}

/// A scenario with `must_break` fails when no run reports a violation.
fn is_failed(scenario: &Scenario, batch: &Batch) -> bool {
    match scenario.must_break {
        true => batch.broken == 0,
        false => batch.broken + batch.found > 0,
    }
}

fn print_batch(scenario: &Scenario, batch: &Batch, seconds: f64) {
    println!(
        "{:60} {} runs {} broken {} found; {:.0} answered {:.0} effects a run; {:.0} seeds/s",
        scenario.name,
        batch.runs,
        batch.broken,
        batch.found,
        batch.answered as f64 / batch.runs.max(1) as f64,
        batch.effects as f64 / batch.runs.max(1) as f64,
        batch.runs as f64 / seconds
    );
    if scenario.must_break {
        return;
    }
    for outcome in &batch.unclean {
        for violation in outcome.violations.iter().take(2) {
            println!(
                "  seed {} {}: {}",
                outcome.seed, violation.promise, violation.explanation
            );
        }
        for finding in outcome.findings.iter().take(2) {
            println!(
                "  seed {} {}: {}",
                outcome.seed, finding.kind, finding.explanation
            );
        }
    }
}

fn replay(name: &str, seed: u64) -> Result<ExitCode> {
    let scenarios = select(name)?;
    let [scenario] = &scenarios[..] else {
        bail!("replay takes the name of one scenario");
    };
    let outcome = run(scenario, seed, RunGuards::default());
    let mut out = std::io::BufWriter::new(std::io::stdout().lock());
    for line in outcome.lines() {
        writeln!(out, "{line}")?;
    }
    out.flush()?;
    for violation in &outcome.violations {
        eprintln!(
            "{} at {} us: {}",
            violation.promise, violation.at_us, violation.explanation
        );
    }
    for finding in &outcome.findings {
        eprintln!(
            "{} at {} us: {}",
            finding.kind, finding.at_us, finding.explanation
        );
    }
    eprintln!("digest {}", outcome.digest());
    Ok(if outcome.is_clean() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn measure(seeds: Range<u64>, threads: usize) -> Result<ExitCode> {
    println!("| scenario | what | times | median ms | p99 ms | worst ms |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for name in MEASURED {
        for scenario in select(name)? {
            let batch = run_many(&scenario, seeds.clone(), RunGuards::default(), threads);
            let owner = batch
                .unavailable
                .iter()
                .flat_map(|one| one.owner_loss_us.clone());
            print_times(name, "shards without a well owner", owner.collect());
            let leader = batch.unavailable.iter().map(|one| one.without_leader_us);
            print_times(name, "group without a leader", leader.collect());
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn print_times(scenario: &str, what: &str, times: Vec<u64>) {
    let times: Vec<u64> = times.into_iter().filter(|time| *time > 0).collect();
    if times.is_empty() {
        return;
    }
    let times = Percentiles::of(times);
    println!(
        "| {scenario} | {what} | {} | {:.0} | {:.0} | {:.0} |",
        times.count,
        times.median_us as f64 / 1_000.0,
        times.p99_us as f64 / 1_000.0,
        times.worst_us as f64 / 1_000.0
    );
}
