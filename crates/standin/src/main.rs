//! Entry point of `grebepin-standin`: runs one stand-in process or the contract check of a back end.

use std::process::ExitCode;

use clap::{Parser, Subcommand};
use grebepin_standin::{back_end, caller, contract, platform};

/// Exit code when the back end fails a clause of the contract.
const NOT_KEPT: u8 = 1;

#[derive(Parser)]
#[command(version, about = "Stand-ins for back ends, callers and the platform")]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a back end until SIGTERM.
    BackEnd(Box<back_end::Args>),
    /// Call routers and print a summary as JSON.
    Caller(Box<caller::Args>),
    /// Serve the platform's list of machines until SIGTERM.
    Platform(platform::Args),
    /// Check that a fresh back end keeps every clause of docs/INTERFACES.md.
    Contract(contract::ContractOptions),
}

fn main() -> anyhow::Result<ExitCode> {
    let arguments = Arguments::parse();
    grebepin_telemetry::start_logging(log::LevelFilter::Info);
    match arguments.command {
        Command::BackEnd(arguments) => back_end::run(&arguments)?,
        Command::Caller(arguments) => drop(caller::run(&arguments)?),
        Command::Platform(arguments) => platform::run(&arguments)?,
        Command::Contract(options) => {
            let report = contract::run_with(&options);
            println!("{report}");
            if report.failed() > 0 {
                return Ok(ExitCode::from(NOT_KEPT));
            }
        }
    }
    Ok(ExitCode::SUCCESS)
}
