//! `grebepin completions` and `grebepin man`: generates files from the definition of the arguments.

use clap::CommandFactory;

use crate::arguments::{Arguments, Completions, Man};
use crate::error::CliError;
use crate::files::file_error;
use crate::output::print_text;

pub(crate) fn completions(arguments: &Completions) -> Result<(), CliError> {
    let mut command = Arguments::command();
    let mut script = Vec::new();
    clap_complete::generate(arguments.shell, &mut command, "grebepin", &mut script);
    print_text(&String::from_utf8_lossy(&script))
}

pub(crate) fn man(arguments: &Man) -> Result<(), CliError> {
    let command = Arguments::command();
    if let Some(folder) = &arguments.out {
        return std::fs::create_dir_all(folder)
            .and_then(|()| clap_mangen::generate_to(command, folder))
            .map_err(|source| file_error(folder, source));
    }
    let mut page = Vec::new();
    clap_mangen::Man::new(command)
        .render(&mut page)
        .map_err(CliError::Print)?;
    print_text(&String::from_utf8_lossy(&page))
}
