//! Checks that a back end keeps every clause of `docs/INTERFACES.md`, from outside, over HTTP.
//!
//! The check acts as the control leader, as a router and as a previous owner. The back end must be
//! fresh, must know itself by the name in the options, and nobody else may talk to it meanwhile.
//!
//! Invariant: a clause passes only when the back end answered as the page says; a clause that could
//! not be tried is reported as not run, never as passed.

mod clauses;
mod peer;
mod previous;

use std::fmt;
use std::net::SocketAddr;

use grebepin_schema::ServerName;

use peer::Peer;

/// Flags of the check.
#[derive(Clone, Debug, clap::Args)]
pub struct ContractOptions {
    /// Address of the back end.
    pub address: SocketAddr,
    /// Name that the back end knows itself by.
    #[arg(long, default_value = "contract")]
    pub server: ServerName,
    /// Service asked.
    #[arg(long, default_value = "contract")]
    pub service: grebepin_schema::ServiceName,
    /// Path whose requests take the time in their query's `work_ms`; without one the clauses on
    /// requests in flight are not run.
    #[arg(long)]
    pub slow_path: Option<String>,
    /// Try only clauses whose name begins so; give it again for more.
    #[arg(long)]
    pub only: Vec<String>,
}

impl ContractOptions {
    fn wants(&self, clause: &str) -> bool {
        let named = self.only.iter().any(|start| clause.starts_with(start));
        self.only.is_empty() || named
    }
}

/// Why a clause is not kept.
#[derive(Debug, thiserror::Error)]
pub enum Breach {
    /// The back end did not answer.
    #[error("no answer: {0}")]
    Unreachable(#[source] Box<ureq::Error>),
    /// The answer is not the JSON that the schema demands.
    #[error("not the JSON demanded: {0}")]
    Json(#[from] serde_json::Error),
    /// The answer has another status.
    #[error("status {status} to {call}")]
    Status {
        /// What was asked.
        call: &'static str,
        /// Status of the answer.
        status: u16,
    },
    /// The answer says something else.
    #[error("{what}: expected {expected}, found {found}")]
    Unexpected {
        /// What was looked at.
        what: &'static str,
        /// What the page demands.
        expected: String,
        /// What came.
        found: String,
    },
    /// The check itself could not go on.
    #[error("the check could not go on: {0}")]
    Check(#[source] std::io::Error),
}

/// What became of one clause.
#[derive(Debug)]
pub enum Verdict {
    /// Kept.
    Pass,
    /// Not kept.
    Fail(Breach),
    /// Not tried, for this reason.
    NotRun(&'static str),
}

/// Verdict of one clause.
#[derive(Debug)]
pub struct ClauseReport {
    /// Name of the clause, as on the page.
    pub clause: &'static str,
    /// What became of it.
    pub verdict: Verdict,
}

/// Verdicts of all clauses; prints as a table.
#[derive(Debug)]
pub struct ContractReport {
    /// In the order tried.
    pub clauses: Vec<ClauseReport>,
}

impl ContractReport {
    /// Count of clauses with a verdict.
    fn count(&self, wanted: fn(&Verdict) -> bool) -> usize {
        let verdicts = self.clauses.iter().map(|clause| &clause.verdict);
        verdicts.filter(|verdict| wanted(verdict)).count()
    }

    /// Clauses not kept.
    pub fn failed(&self) -> usize {
        self.count(|verdict| matches!(verdict, Verdict::Fail(_)))
    }

    /// Clauses not tried.
    pub fn not_run(&self) -> usize {
        self.count(|verdict| matches!(verdict, Verdict::NotRun(_)))
    }

    /// Clauses kept.
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
                Verdict::Fail(breach) => writeln!(formatter, "FAIL     {name}: {breach}")?,
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

/// Checks the back end at `address`, which knows itself as `contract`.
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

/// Checks the back end that the options name.
pub fn run_with(options: &ContractOptions) -> ContractReport {
    let mut peer = Peer::new(options.clone());
    let wanted = clauses::ALL
        .iter()
        .filter(|clause| options.wants(clause.name));
    let clauses = wanted.map(|clause| {
        let slow = options.slow_path.is_some();
        let verdict = match clause.needs_slow_path && !slow {
            true => Verdict::NotRun("no slow path was given"),
            false => match (clause.check)(&mut peer) {
                Ok(()) => Verdict::Pass,
                Err(breach) => Verdict::Fail(breach),
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

/// Demands that `found` is `expected`.
fn expect<T: PartialEq + fmt::Debug>(
    what: &'static str,
    found: T,
    expected: T,
) -> Result<(), Breach> {
    expect_that(what, found == expected, &found, &expected)
}

/// Demands that `holds`; says what was found and expected otherwise.
fn expect_that(
    what: &'static str,
    holds: bool,
    found: impl fmt::Debug,
    expected: impl fmt::Debug,
) -> Result<(), Breach> {
    match holds {
        true => Ok(()),
        false => Err(Breach::Unexpected {
            what,
            expected: format!("{expected:?}"),
            found: format!("{found:?}"),
        }),
    }
}
