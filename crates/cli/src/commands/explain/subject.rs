//! Selects the log lines about a subject, and reports expected lines that are missing.

use std::collections::BTreeSet;
use std::fmt;

use crate::arguments;
use crate::error::CliError;

use super::line::LogLine;

/// Events of the catalogue that the selection is based on.
const INSTANCE_CHANGED: u32 = 129;
const SHARDS_MOVED: u32 = 130;
const ITEMS_CHANGED: u32 = 127;
const REQUEST_EVENTS: [u32; 5] = [225, 226, 227, 228, 231];
const REQUEST_ENDS: [u32; 3] = [225, 226, 227];
const LINES_DROPPED: u32 = 404;

/// Window before and after a request, in seconds, in which lines about its servers and its shard are
/// selected too.
const CONTEXT_SECONDS: f64 = 5.0;

/// Number of keys in one shard.
const KEYS_PER_SHARD: u64 = 16;

/// What the report is about.
pub(super) enum Subject {
    Request(String),
    Instance(String),
    Key(u16),
    Item(String),
}

/// Selected lines, and descriptions of the expected lines that are missing.
pub(super) struct Matches {
    pub lines: Vec<String>,
    pub missing: Vec<String>,
}

impl Subject {
    pub(super) fn new(arguments: &arguments::Explain) -> Result<Self, CliError> {
        let subject = &arguments.subject;
        let request = subject.request.clone().map(Self::Request);
        let instance = subject.instance.clone().map(Self::Instance);
        let key = subject.key.map(Self::Key);
        let item = subject.item.clone().map(Self::Item);
        request
            .or(instance)
            .or(key)
            .or(item)
            .ok_or_else(|| CliError::Argument {
                argument: "--request",
                value: String::new(),
                reason: "one of --request, --instance, --key and --item is needed".to_owned(),
            })
    }

    /// Selects the lines about the subject from `lines`, which are sorted by time.
    pub(super) fn select(&self, lines: &[LogLine]) -> Matches {
        match self {
            Self::Request(id) => select_request(id, lines),
            Self::Instance(id) => {
                select_lines(lines, |line| names_instance(line, id), "no line names it")
            }
            Self::Key(key) => {
                let shard = u64::from(*key) / KEYS_PER_SHARD;
                select_lines(
                    lines,
                    |line| moves_shard(line, shard),
                    "its shard never moved",
                )
            }
            Self::Item(name) => {
                select_lines(lines, |line| names_item(line, name), "no change names it")
            }
        }
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(id) => write!(f, "request {id}"),
            Self::Instance(id) => write!(f, "server {id}"),
            Self::Key(key) => {
                let shard = u64::from(*key) / KEYS_PER_SHARD;
                write!(f, "key {key}, shard {shard}")
            }
            Self::Item(name) => write!(f, "item {name}"),
        }
    }
}

fn select_lines(lines: &[LogLine], belongs: impl Fn(&LogLine) -> bool, none: &str) -> Matches {
    let shown: Vec<String> = lines
        .iter()
        .filter(|line| belongs(line))
        .map(LogLine::shown)
        .collect();
    let missing = match shown.is_empty() {
        true => vec![none.to_owned()],
        false => Vec::new(),
    };
    Matches {
        lines: shown,
        missing,
    }
}

fn select_request(id: &str, lines: &[LogLine]) -> Matches {
    let is_own =
        |line: &LogLine| REQUEST_EVENTS.contains(&line.event) && line.get("id") == Some(id);
    let own: Vec<&LogLine> = lines.iter().filter(|line| is_own(line)).collect();
    let Some(first) = own.first() else {
        return Matches {
            lines: Vec::new(),
            missing: missing_request(lines),
        };
    };
    let servers: BTreeSet<&str> = own.iter().flat_map(|line| servers_of(line)).collect();
    let shard = own
        .iter()
        .find_map(|line| line.get("key")?.parse::<u64>().ok())
        .map(|key| key / KEYS_PER_SHARD);
    let is_near = |line: &LogLine| (line.at - first.at).abs() <= CONTEXT_SECONDS;
    let is_context = |line: &LogLine| {
        let of_server = servers.iter().any(|server| is_about(line, server));
        of_server || shard.is_some_and(|shard| moves_shard(line, shard))
    };
    let selected = lines
        .iter()
        .filter(|line| is_own(line) || (is_near(line) && is_context(line)));
    let mut missing = Vec::new();
    if !own.iter().any(|line| REQUEST_ENDS.contains(&line.event)) {
        missing
            .push("the line of its end; GREBEPIN_LOG=debug writes one for each answer".to_owned());
    }
    Matches {
        lines: selected.map(LogLine::shown).collect(),
        missing,
    }
}

fn missing_request(lines: &[LogLine]) -> Vec<String> {
    let mut missing = vec![
        "any line with this id: it was answered by a server (GREBEPIN_LOG=debug writes such lines), \
         or no gateway whose log is here read it"
            .to_owned(),
    ];
    let dropped = lines
        .iter()
        .filter(|line| line.event == LINES_DROPPED)
        .count();
    if dropped > 0 {
        missing.push(format!(
            "lines that were dropped under load, told {dropped} time(s)"
        ));
    }
    missing
}

fn servers_of(line: &LogLine) -> Vec<&str> {
    let several = line
        .get("servers")
        .into_iter()
        .flat_map(|list| list.split(','));
    let one = line.get("instance").into_iter();
    several
        .chain(one)
        .filter(|server| !server.is_empty())
        .collect()
}

/// Whether a line reports a change of a server's state, including its ejection.
fn is_about(line: &LogLine, server: &str) -> bool {
    !REQUEST_EVENTS.contains(&line.event)
        && line.event != SHARDS_MOVED
        && line.get("instance") == Some(server)
}

fn names_instance(line: &LogLine, id: &str) -> bool {
    let is_request = REQUEST_EVENTS.contains(&line.event);
    !is_request
        && (line.get("instance") == Some(id)
            || (line.event == INSTANCE_CHANGED && line.get("id") == Some(id)))
}

fn names_item(line: &LogLine, name: &str) -> bool {
    let names = line.get("names").unwrap_or_default();
    line.event == ITEMS_CHANGED && names.split(',').any(|one| one == name)
}

/// Whether a line reports a change of a shard's owner.
fn moves_shard(line: &LogLine, shard: u64) -> bool {
    let ranges = line.get("ranges").unwrap_or_default();
    line.event == SHARDS_MOVED && ranges.split(',').any(|range| in_range(range, shard))
}

fn in_range(range: &str, shard: u64) -> bool {
    let (first, last) = range.split_once('-').unwrap_or((range, range));
    match (first.parse::<u64>(), last.parse::<u64>()) {
        (Ok(first), Ok(last)) => (first..=last).contains(&shard),
        _ => false,
    }
}
