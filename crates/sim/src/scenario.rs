//! The table of scenarios: which faults strike, when and whom.
//!
//! Each row of `scenarios.toml` is a scenario of its own. From the rows marked `combine` follow two
//! more kinds: each row twice (`NAME-twice`), and each pair of rows (`ONE+OTHER`).

use serde::Deserialize;

/// The table that the simulator is built with.
const TABLE: &str = include_str!("../scenarios.toml");

/// What happens in a run besides the usual work.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Scenario {
    /// Name.
    pub name: String,
    /// What it shows, for people.
    pub about: String,
    /// Words of the users' list of failures that it stands for.
    #[serde(default)]
    pub point: String,
    /// Faults in force one after the other or together.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// Whether it also runs twice and in pairs.
    #[serde(default)]
    pub combine: bool,
    /// Rates of servers' clocks lie this many percent below the stated bound, which breaks it.
    #[serde(default)]
    pub slow_servers_percent: u64,
    /// Entries between two snapshots of a control replica.
    #[serde(default = "usual_snapshot_every")]
    pub snapshot_every: u64,
    /// Whether frames of connections that a router gave up on still reach it.
    #[serde(default)]
    pub late_frames: bool,
    /// Whether the checkers must report violations.
    #[serde(default)]
    pub must_break: bool,
}

fn usual_snapshot_every() -> u64 {
    100_000
}

/// One fault.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Fault {
    /// What happens.
    pub kind: FaultKind,
    /// Whom it strikes.
    #[serde(default)]
    pub target: Target,
    /// When it begins, in ms since the start: a range from which a run draws.
    pub at: [u64; 2],
    /// How long it lasts, in ms.
    #[serde(default)]
    pub lasts: [u64; 2],
    /// Bound of a kind that has one, such as the most delay in ms or a count.
    #[serde(default)]
    pub amount: u64,
}

/// Kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The process dies; its disk keeps what was written.
    Kill,
    /// The machine loses power: the process dies, and the disk loses what was not synced.
    PowerLoss,
    /// As [`FaultKind::PowerLoss`], and the last write is torn.
    TornWrite,
    /// The process dies, and its disk comes back empty.
    LoseDisk,
    /// The process stops in the middle of whatever it does, and goes on later.
    Freeze,
    /// Nothing to or from the process passes.
    Isolate,
    /// Nothing from the process passes.
    LoseOutgoing,
    /// Nothing to the process passes.
    LoseIncoming,
    /// Nothing between the control replica and the others passes; servers and routers reach it.
    LosePeers,
    /// Nothing between the zone and the others passes.
    CutZone,
    /// Nothing between the target and one control replica passes.
    CutPair,
    /// Nothing between the target and the control leader passes.
    LoseLeader,
    /// The server's machine refuses connections of the control group, and the server goes on.
    RefuseCalls,
    /// Messages to and from the process take up to `amount` ms.
    Slow,
    /// Messages everywhere are lost, doubled and held back.
    Noisy,
    /// Two operators roll different bundles of the same version at once.
    Race,
    /// The next `amount` answers to operators are lost.
    LoseAnswers,
    /// The platform's list is `amount` ms old and calls live servers gone.
    StaleMachines,
    /// The server tells less load than it has.
    Mislead,
    /// The server refuses all work as if it had too much.
    Shed,
    /// The server's answers name other requests now and then.
    CrossAnswers,
    /// An operator drains the server, stops it once it is empty, and brings it back.
    PlannedStop,
    /// The server is told to leave, exits once it is empty, and starts again.
    Leave,
    /// Operators drain servers and bring them back `amount` times, which makes many entries.
    Churn,
    /// An operator rolls a bundle whose new side carries `amount` percent.
    Roll,
}

/// Whom a fault strikes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Target {
    /// Nobody in particular.
    #[default]
    Nobody,
    /// The control leader.
    Leader,
    /// A control replica that does not lead.
    Follower,
    /// Any control replica.
    Control,
    /// A control replica that no fault strikes now, other than the one struck last.
    AnotherControl,
    /// The control replica struck last.
    SameControl,
    /// Any server.
    Server,
    /// The server struck last.
    SameServer,
    /// Any router.
    Router,
    /// Any zone.
    Zone,
}

/// Why the table can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The table does not parse.
    #[error("the table of scenarios does not parse: {0}")]
    Parse(#[from] toml::de::Error),
    /// No scenario has this name.
    #[error("no scenario is named {0}; `grebepin-sim list` names them")]
    Unknown(String),
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Table {
    scenario: Vec<Scenario>,
}

/// Rows of the table, each a scenario of its own.
///
/// # Errors
/// The table does not parse.
pub fn rows() -> Result<Vec<Scenario>, ScenarioError> {
    let table: Table = toml::from_str(TABLE)?;
    Ok(table.scenario)
}

/// Every scenario: the rows, the rows twice, and the pairs.
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

/// The scenarios that a word means: the name of one, or `rows`, `twice`, `pairs` or `all`.
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

/// Later the second time, so that it strikes while the first is being mended or in force.
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
