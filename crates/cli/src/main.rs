//! Entry point of `grebepin`.

use std::process::ExitCode;

use clap::Parser;
use grebepin_cli::Arguments;

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let json = arguments.json;
    match grebepin_cli::run(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            grebepin_cli::print_error(&error, json);
            ExitCode::from(error.exit_code())
        }
    }
}
