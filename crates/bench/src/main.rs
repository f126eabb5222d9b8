//! `grebepin-bench`: runs fleets of processes on one machine, with load and faults.

use std::path::PathBuf;

use clap::{Parser, Subcommand};
use grebepin_bench::commands;
use grebepin_standin::{back_end, caller, platform};
use grebepin_telemetry::log::LevelFilter;

#[derive(Parser)]
#[command(
    version,
    about = "Run fleets of grebepin on one machine and measure them"
)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a small deployment, kill an owner, roll a second bundle, and print the measures.
    Demo(commands::DemoArguments),
    /// Run a whole deployment with load and faults from a file, and report it.
    Fleet(commands::FleetArguments),
    /// Run one process of a fleet.
    #[command(hide = true)]
    Daemon {
        #[command(subcommand)]
        role: Role,
    },
}

#[derive(Subcommand)]
enum Role {
    Control { settings: PathBuf },
    Router { settings: PathBuf },
    BackEnd(Box<back_end::Args>),
    Callers(Box<caller::Args>),
    Platform(platform::Args),
}

fn main() -> anyhow::Result<()> {
    match Arguments::parse().command {
        Command::Demo(arguments) => Ok(commands::demo(&arguments)?),
        Command::Fleet(arguments) => Ok(commands::fleet(&arguments)?),
        Command::Daemon { role } => run_daemon(role),
    }
}

fn run_daemon(role: Role) -> anyhow::Result<()> {
    grebepin_telemetry::start_logging(LevelFilter::Info);
    match role {
        Role::Control { settings } => grebepin_control::run(&settings, false)?,
        Role::Router { settings } => grebepin_router::run(&settings, false)?,
        Role::BackEnd(arguments) => back_end::run(&arguments)?,
        Role::Callers(arguments) => drop(caller::run(&arguments)?),
        Role::Platform(arguments) => platform::run(&arguments)?,
    }
    Ok(())
}
