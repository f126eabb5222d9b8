//! Entry point of `grebepin-router`.

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Result;
use clap::Parser;
use grebepin_router::RouterError;

/// Routes callers' requests to the servers that own their keys.
#[derive(Parser)]
#[command(name = "grebepin-router", version)]
struct Arguments {
    /// Settings file (TOML).
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
    /// Check the settings, including against this machine, and exit; exit code 2 if they are invalid.
    #[arg(long)]
    check_settings: bool,
}

fn main() -> Result<ExitCode> {
    let arguments = Arguments::parse();
    match grebepin_router::run(&arguments.settings, arguments.check_settings) {
        Ok(()) => Ok(ExitCode::SUCCESS),
        Err(error @ RouterError::Settings(_)) => {
            eprintln!("grebepin-router: {error}");
            Ok(ExitCode::from(2))
        }
        Err(error) => Err(error.into()),
    }
}
