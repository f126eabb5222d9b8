//! The operators' command line, `grebepin`.
//!
//! Invariant: a command either prints its complete result and exits with 0, or reports the error, with a
//! remedy where one is known, and exits with the code of that kind of error, see [`CliError::exit_code`].

mod arguments;
mod check;
mod commands;
mod connection;
mod error;
mod files;
mod output;
mod replica_folder;
mod text;

pub use arguments::Arguments;
pub use error::{print_error, CliError};

use arguments::{BundleCommand, Command, KeyCommand, MembersCommand};

/// Runs one command; its result is printed to standard output.
pub fn run(arguments: Arguments) -> Result<(), CliError> {
    let format = output::Format::new(arguments.json);
    match arguments.command {
        Command::Key(KeyCommand::New(new)) => commands::key::new(&new, format),
        Command::Key(KeyCommand::Public(public)) => commands::key::public(&public, format),
        Command::Bundle(command) => run_bundle(command, format),
        Command::Found(found) => commands::found::run(&found, format),
        Command::Status(status) => commands::status::run(&status, format),
        Command::Drain(drain) => commands::drain::run(&drain, format),
        Command::Members(MembersCommand::Remove(remove)) => {
            commands::members::remove(&remove, format)
        }
        Command::Plan(plan) => commands::plan::run(&plan, format),
        Command::Check(check) => commands::check::run(&check, format),
        Command::Explain(explain) => commands::explain::run(&explain, format),
        Command::Replay(replay) => commands::replay::run(&replay, format),
        Command::Completions(completions) => commands::generate::completions(&completions),
        Command::Man(man) => commands::generate::man(&man),
    }
}

fn run_bundle(command: BundleCommand, format: output::Format) -> Result<(), CliError> {
    match command {
        BundleCommand::Validate(validate) => commands::bundle::validate(&validate, format),
        BundleCommand::Sign(sign) => commands::bundle::sign(&sign, format),
        BundleCommand::Roll(roll) => commands::bundle::roll(&roll, format),
        BundleCommand::Show(show) => commands::bundle::show(&show, format),
        BundleCommand::Next(next) => commands::bundle::next(&next, format),
    }
}
