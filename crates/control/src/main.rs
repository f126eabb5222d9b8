//! Entry point of `grebepin-control`.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use grebepin_telemetry::log::LevelFilter;

/// One replica of a control group: accepts bundles, decides owners, grants leases.
///
/// Exit codes: 0 stopped on request, 1 failure, 2 settings refused, 3 data folder damaged.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// Settings file.
    #[arg(long, short)]
    settings: PathBuf,
    /// Check the settings, also against this machine, and stop.
    #[arg(long)]
    check_settings: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    grebepin_telemetry::start_logging(LevelFilter::Info);
    match grebepin_control::run(&arguments.settings, arguments.check_settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("grebepin-control: {error}");
            ExitCode::from(error.exit_code() as u8)
        }
    }
}
