//! Conformance check of a back end against the clauses of `docs/INTERFACES.md`, over HTTP.
//!
//! The check acts as the control leader, a router and a previous owner. The back end must be freshly
//! started under the server name in the options, and no other process may call it during the check.
//!
//! Invariant: a clause passes only if the back end answered as the page specifies. A clause that could
//! not be checked is reported as not run, never as passed.

mod clauses;
mod peer;
mod previous;

use std::fmt;
use std::net::SocketAddr;

use grebepin_schema::ServerName;

use peer::Peer;

/// Flags of the contract check.
#[derive(Clone, Debug, clap::Args)]
pub struct ContractOptions {
    /// Address of the back end.
    pub address: SocketAddr,
    /// Server name that the back end was started with.
    #[arg(long, default_value = "contract")]
    pub server: ServerName,
    /// Service whose shards are granted to the back end.
    #[arg(long, default_value = "contract")]
    pub service: grebepin_schema::ServiceName,
    /// Path whose requests take the time in the query parameter `work_ms`. Without one, the clauses on
    /// requests in flight are not run.
    #[arg(long)]
    pub slow_path: Option<String>,
    /// Check only clauses whose name starts with this; may be repeated.
    #[arg(long)]
    pub only: Vec<String>,
}

impl ContractOptions {
    fn selects(&self, clause: &str) -> bool {
        let selected = self.only.iter().any(|prefix| clause.starts_with(prefix));
        self.only.is_empty() || selected
    }
}

/// Reasons why a clause is violated or could not be checked.
#[derive(Debug, thiserror::Error)]
pub enum ClauseError {
    /// The back end did not answer.
    #[error("no answer: {0}")]
    Unreachable(#[source] Box<ureq::Error>),
    /// The answer is not JSON of the required schema.
    #[error("not the JSON demanded: {0}")]
    Json(#[from] serde_json::Error),
    /// The answer has an unexpected status.
    #[error("status {status} to {call}")]
    Status {
        /// Name of the call.
        call: &'static str,
        /// HTTP status of the answer.
        status: u16,
    },
    /// The answer has an unexpected value.
    #[error("{what}: expected {expected}, found {found}")]
    Unexpected {
        /// Name of the value.
        what: &'static str,
        /// Value that the page requires.
        expected: String,
        /// Value of the answer.
        found: String,
    },
    /// The check itself failed.
    #[error("the check could not go on: {0}")]
    Check(#[source] std::io::Error),
}

/// Result of checking one clause.
#[derive(Debug)]
pub enum Verdict {
    /// The back end keeps the clause.
    Pass,
    /// The back end violates the clause.
    Fail(ClauseError),
    /// The clause was not checked, for this reason.
    NotRun(&'static str),
}

/// Verdict of one clause.
#[derive(Debug)]
pub struct ClauseReport {
    /// Name of the clause, as on the page.
    pub clause: &'static str,
    /// Result of the check.
    pub verdict: Verdict,
}

/// Verdicts of all clauses. Displayed as a table.
#[derive(Debug)]
pub struct ContractReport {
    /// Reports in the order in which the clauses were checked.
    pub clauses: Vec<ClauseReport>,
}

impl ContractReport {
    /// Number of clauses whose verdict matches.
    fn count(&self, wanted: fn(&Verdict) -> bool) -> usize {
        let verdicts = self.clauses.iter().map(|clause| &clause.verdict);
        verdicts.filter(|verdict| wanted(verdict)).count()
    }

    /// Number of clauses violated.
    pub fn failed(&self) -> usize {
        self.count(|verdict| matches!(verdict, Verdict::Fail(_)))
    }

    /// Number of clauses not checked.
    pub fn not_run(&self) -> usize {
        self.count(|verdict| matches!(verdict, Verdict::NotRun(_)))
    }

    /// Number of clauses kept.
    pub fn passed(&self) -> usize {
        self.count(|verdict| matches!(verdict, Verdict::Pass))
    }
}

impl fmt::Display for ContractReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for clause in &self.clauses {
            let name = clause.clause;
            match &clause.verdict {
                Verdict::Pass => writeln!(formatter, "pass     {name}")?,
                Verdict::Fail(error) => writeln!(formatter, "FAIL     {name}: {error}")?,
                Verdict::NotRun(reason) => writeln!(formatter, "not run  {name}: {reason}")?,
            }
        }
        let (passed, failed, not_run) = (self.passed(), self.failed(), self.not_run());
        write!(
            formatter,
            "{passed} passed, {failed} failed, {not_run} not run"
        )
    }
}

/// Checks the back end at `address`, which must have been started with the server name `contract`.
pub fn run(address: SocketAddr) -> ContractReport {
    let name = "contract";
    run_with(&ContractOptions {
        address,
        server: name
            .parse()
            .unwrap_or_else(|_| unreachable!("a valid name")),
        service: name
            .parse()
            .unwrap_or_else(|_| unreachable!("a valid name")),
        slow_path: None,
        only: Vec::new(),
    })
}

/// Checks the back end that the options describe.
pub fn run_with(options: &ContractOptions) -> ContractReport {
    let mut peer = Peer::new(options.clone());
    let wanted = clauses::ALL
        .iter()
        .filter(|clause| options.selects(clause.name));
    let clauses = wanted.map(|clause| {
        let slow = options.slow_path.is_some();
        let verdict = match clause.needs_slow_path && !slow {
            true => Verdict::NotRun("no slow path was given"),
            false => match (clause.check)(&mut peer) {
                Ok(()) => Verdict::Pass,
                Err(error) => Verdict::Fail(error),
            },
        };
        ClauseReport {
            clause: clause.name,
            verdict,
        }
    });
    ContractReport {
        clauses: clauses.collect(),
    }
}

/// Fails unless `found` equals `expected`.
fn expect<T: PartialEq + fmt::Debug>(
    what: &'static str,
    found: T,
    expected: T,
) -> Result<(), ClauseError> {
    expect_that(what, found == expected, &found, &expected)
}

/// Fails with the found and expected values unless `holds`.
fn expect_that(
    what: &'static str,
    holds: bool,
    found: impl fmt::Debug,
    expected: impl fmt::Debug,
) -> Result<(), ClauseError> {
    match holds {
        true => Ok(()),
        false => Err(ClauseError::Unexpected {
            what,
            expected: format!("{expected:?}"),
            found: format!("{found:?}"),
        }),
    }
}
