//! The table of scenarios: which faults are injected, when, and into which processes.
//!
//! Each row of `scenarios.toml` is a scenario. Rows marked `combine` also yield derived scenarios: the row
//! with its faults injected twice (`NAME-twice`), and each pair of rows (`ONE+OTHER`).

use serde::Deserialize;

/// The table, compiled into the simulator.
const TABLE: &str = include_str!("../scenarios.toml");

/// Faults and settings of a run, on top of the standard workload.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Scenario {
    /// Unique name, as given on the command line.
    pub name: String,
    /// One-line description, printed by `list`.
    pub about: String,
    /// Entry of the requirements' list of failures that the scenario covers, quoted.
    #[serde(default)]
    pub point: String,
    /// Faults to inject; their times may overlap.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// Whether the row is also run with its faults twice and paired with other rows.
    #[serde(default)]
    pub combine: bool,
    /// Percentage by which the servers' clocks are slowed, to violate the assumed drift bound; 0 for none.
    #[serde(default)]
    pub slow_servers_percent: u64,
    /// Log entries between two snapshots of a control replica.
    #[serde(default = "usual_snapshot_every")]
    pub snapshot_every: u64,
    /// Whether a router still processes frames of connections that it has closed.
    #[serde(default)]
    pub late_frames: bool,
    /// Whether the checkers must report violations.
    #[serde(default)]
    pub must_break: bool,
}

fn usual_snapshot_every() -> u64 {
    100_000
}

/// One fault to inject.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Fault {
    /// Kind of fault.
    pub kind: FaultKind,
    /// How the affected process is chosen.
    #[serde(default)]
    pub target: Target,
    /// Range from which a run draws the start of the fault, in ms since the start of the run.
    pub at: [u64; 2],
    /// Range from which a run draws the duration, in ms; zero for faults that act at once.
    #[serde(default)]
    pub lasts: [u64; 2],
    /// Parameter of the kind, such as the maximum delay in ms, a count or a percentage; otherwise unused.
    #[serde(default)]
    pub amount: u64,
}

/// Kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The process crashes; its disk keeps everything written.
    Kill,
    /// The machine loses power: the process crashes, and unsynced writes are lost.
    PowerLoss,
    /// As [`FaultKind::PowerLoss`], with torn writes.
    TornWrite,
    /// The process crashes and restarts with an empty disk.
    LoseDisk,
    /// The process is suspended and later resumed; input that arrives meanwhile is delivered on resumption.
    Freeze,
    /// All messages to and from the process are dropped.
    Isolate,
    /// All messages from the process are dropped.
    LoseOutgoing,
    /// All messages to the process are dropped.
    LoseIncoming,
    /// Messages between the control replica and its peers are dropped; servers and routers still reach it.
    LosePeers,
    /// Messages between the zone and the other zones are dropped.
    CutZone,
    /// Messages between the target and one randomly chosen control replica are dropped.
    CutPair,
    /// Messages between the target and the control leader are dropped.
    LoseLeader,
    /// The server refuses connections of the control group but keeps serving routers.
    RefuseCalls,
    /// Messages to and from the process are delayed by up to `amount` ms.
    Slow,
    /// Messages of all processes are lost, duplicated and delayed at random.
    Noisy,
    /// Two operators concurrently submit different bundles of the same version.
    Race,
    /// The next `amount` responses to operators are lost.
    LoseAnswers,
    /// The platform's machine list is `amount` ms old and reports some live servers as gone.
    StaleMachines,
    /// The server reports no requests in flight to the control group.
    Mislead,
    /// The server sheds all requests.
    Shed,
    /// Some of the server's responses carry the identifier of the request answered before.
    CrossAnswers,
    /// An operator drains the server, stops it once it is idle, and restarts it when the fault ends.
    PlannedStop,
    /// The server itself starts draining, exits once it is idle, and restarts when the fault ends.
    Leave,
    /// Operators start and end drains of servers, `amount` requests in all, which appends many log entries.
    Churn,
    /// An operator submits a bundle that assigns `amount` percent of the shards to the new side.
    Roll,
}

/// How the process affected by a fault is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Target {
    /// No process; the fault acts on the network, the operators or the platform.
    #[default]
    Nobody,
    /// The control leader.
    Leader,
    /// A control replica other than the leader.
    Follower,
    /// Any control replica.
    Control,
    /// A control replica without a fault in force, other than the one chosen last.
    AnotherControl,
    /// The control replica chosen last.
    SameControl,
    /// Any server.
    Server,
    /// The server chosen last.
    SameServer,
    /// Any router.
    Router,
    /// Any zone.
    Zone,
}

/// Errors of reading the table or selecting scenarios from it.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The table does not parse.
    #[error("cannot parse the scenario table: {0}")]
    Parse(#[from] toml::de::Error),
    /// No scenario has this name.
    #[error("unknown scenario {0}; `grebepin-sim list` prints all names")]
    Unknown(String),
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Table {
    scenario: Vec<Scenario>,
}

/// The rows of the table, without derived scenarios.
///
/// # Errors
/// The table does not parse.
pub fn rows() -> Result<Vec<Scenario>, ScenarioError> {
    let table: Table = toml::from_str(TABLE)?;
    Ok(table.scenario)
}

/// Every scenario: rows, rows with their faults twice, and pairs.
///
/// # Errors
/// The table does not parse.
pub fn all() -> Result<Vec<Scenario>, ScenarioError> {
    let rows = rows()?;
    let mut scenarios = rows.clone();
    let combined: Vec<&Scenario> = rows.iter().filter(|row| row.combine).collect();
    scenarios.extend(combined.iter().map(|row| twice(row)));
    for (number, one) in combined.iter().enumerate() {
        for other in &combined[number + 1..] {
            scenarios.push(pair(one, other));
        }
    }
    Ok(scenarios)
}

/// The scenarios selected by `word`: the name of one, or `rows`, `twice`, `pairs` or `all`.
///
/// # Errors
/// The table does not parse, or no scenario has this name.
pub fn select(word: &str) -> Result<Vec<Scenario>, ScenarioError> {
    let wanted: fn(&str) -> bool = match word {
        "all" => |_| true,
        "rows" => |name| !name.contains('+') && !name.ends_with("-twice"),
        "twice" => |name| name.ends_with("-twice"),
        "pairs" => |name| name.contains('+'),
        _ => |_| false,
    };
    let selected = all()?
        .into_iter()
        .filter(|scenario| wanted(&scenario.name) || scenario.name == word);
    let selected: Vec<Scenario> = selected.collect();
    match selected.is_empty() {
        true => Err(ScenarioError::Unknown(word.to_string())),
        false => Ok(selected),
    }
}

/// Extends the start range of the second injection, so that it begins while the first fault is in force
/// or the system recovers from it.
const SECOND_TIME_MS: u64 = 1_500;

fn twice(row: &Scenario) -> Scenario {
    let again = row.faults.iter().map(|fault| Fault {
        at: [fault.at[0], fault.at[1] + SECOND_TIME_MS],
        ..fault.clone()
    });
    Scenario {
        name: format!("{}-twice", row.name),
        about: format!("Twice: {}", row.about),
        faults: row.faults.iter().cloned().chain(again).collect(),
        combine: false,
        ..row.clone()
    }
}

fn pair(one: &Scenario, other: &Scenario) -> Scenario {
    Scenario {
        name: format!("{}+{}", one.name, other.name),
        about: format!("Together: {} {}", one.about, other.about),
        point: format!("{}; {}", one.point, other.point),
        faults: one.faults.iter().chain(&other.faults).cloned().collect(),
        combine: false,
        slow_servers_percent: one.slow_servers_percent.max(other.slow_servers_percent),
        snapshot_every: one.snapshot_every.min(other.snapshot_every),
        late_frames: one.late_frames || other.late_frames,
        must_break: one.must_break || other.must_break,
    }
}
