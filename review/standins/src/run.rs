//! How a case begins and ends.

use std::io::Write;
use std::path::PathBuf;

use crate::deployment::{Deployment, Layout};
use crate::record::Record;

/// What a case found.
pub enum Outcome {
    Held,
    Broken,
    CouldNotRun(String),
}

/// Folders of a case, and whether its disruption is played.
pub struct Case {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub trouble: bool,
    pub record: std::sync::Arc<Record>,
}

/// Runs a case: `ROOT` is the repository, `CASE` the folder of the case, `TROUBLE=0` leaves the disruption out.
pub fn run(case: impl FnOnce(&Case, &mut Deployment) -> Outcome) -> ! {
    let variable = |name: &str| std::env::var_os(name).map(PathBuf::from);
    let (Some(root), Some(folder)) = (variable("ROOT"), variable("CASE")) else {
        eprintln!("ROOT and CASE must be set");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let temporary = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    let _ = std::fs::create_dir_all(&temporary);
    let record = match Record::create(&folder.join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("record.txt: {error}");
            std::process::exit(2);
        }
    };
    let case_in = Case {
        root,
        folder: temporary.clone(),
        trouble,
        record: std::sync::Arc::new(record),
    };
    case_in.record.line(&format!(
        "the disruption is {}",
        if trouble { "played" } else { "left out" }
    ));
    let outcome = begin(&case_in, case);
    let _ = std::fs::remove_dir_all(&temporary);
    let (text, code) = match outcome {
        Outcome::Held => ("the rule held".to_owned(), 0),
        Outcome::Broken => ("THE RULE WAS BROKEN".to_owned(), 1),
        Outcome::CouldNotRun(why) => (format!("the case could not run: {why}"), 2),
    };
    case_in.record.line(&text);
    say(&text);
    std::process::exit(code)
}

/// Prints a line; a reader that has gone away is no fault of the case.
pub fn say(text: &str) {
    let _ = writeln!(std::io::stdout(), "{text}");
}

fn begin(case: &Case, body: impl FnOnce(&Case, &mut Deployment) -> Outcome) -> Outcome {
    let Some(layout) = Layout::find_free() else {
        return Outcome::CouldNotRun("no free loopback addresses".to_owned());
    };
    let started = Deployment::start(&case.root, &case.folder, layout);
    let mut deployment = match started {
        Ok(deployment) => deployment,
        Err(error) => return Outcome::CouldNotRun(format!("a program does not start: {error}")),
    };
    body(case, &mut deployment)
}
