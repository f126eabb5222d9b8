//! `grebepin-bench`: stand-ins, fleets of processes and experiments.

use std::path::PathBuf;

use clap::{Parser, Subcommand};
use grebepin_bench::{demo, thin_back_end};

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
    Demo(demo::DemoArguments),
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
    BackEnd(thin_back_end::BackEndArguments),
}

fn main() -> anyhow::Result<()> {
    match Arguments::parse().command {
        Command::Demo(arguments) => demo::run(&arguments),
        Command::Daemon { role } => match role {
            Role::Control { settings } => Ok(grebepin_control::thin::run(&settings)?),
            Role::Router { settings } => Ok(grebepin_router::run(&settings, false)?),
            Role::BackEnd(arguments) => thin_back_end::run(&arguments),
        },
    }
}
