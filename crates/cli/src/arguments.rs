//! Arguments of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use clap_complete::Shell;

const EXIT_CODES: &str = "Exit codes:
  0  done
  1  a check found something wrong, or promises were broken
  2  the command line or a settings file is wrong
  3  the control group refused; the message says why
  4  no control replica answered as leader
  5  the outcome is not known; send the same command again
  6  a file could not be read or written";

/// Operates a grebepin deployment: signs and rolls bundles, founds and watches the control group.
#[derive(Debug, Parser)]
#[command(name = "grebepin", version, after_help = EXIT_CODES)]
pub struct Arguments {
    /// Print results and errors as JSON
    #[arg(long, global = true)]
    pub json: bool,

    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Create and show operators' keys
    #[command(subcommand)]
    Key(KeyCommand),
    /// Check, sign, roll and show bundles
    #[command(subcommand)]
    Bundle(BundleCommand),
    /// Found the control group, once, over replicas with empty folders
    Found(Found),
    /// Show members, tolerated losses, servers, routers and shard moves
    Status(Status),
    /// Drain a server, or end its drain
    Drain(Drain),
    /// Change the members of the control group
    #[command(subcommand)]
    Members(MembersCommand),
    /// Show what rolling a bundle would move, without rolling it
    Plan(Plan),
    /// Check settings, bundles and histories, alone or a folder of them against each other
    Check(Check),
    /// Show the decisions in a control replica's data folder, without changing it
    Replay(Replay),
    /// Join the log lines of several processes about one request, server, key or item
    Explain(Explain),
    /// Print a completion script for a shell
    Completions(Completions),
    /// Print the manual page, or write one for each command
    Man(Man),
}

#[derive(Debug, Subcommand)]
pub(crate) enum KeyCommand {
    /// Create a signing key in a file that only you can read
    New(KeyNew),
    /// Print the public half of a signing key, as settings files name it
    Public(KeyPublic),
}

#[derive(Debug, Args)]
pub(crate) struct KeyNew {
    /// File to create; an existing one is never overwritten
    pub(crate) file: PathBuf,
}

#[derive(Debug, Args)]
pub(crate) struct KeyPublic {
    /// File with a signing key
    pub(crate) file: PathBuf,
}

#[derive(Debug, Subcommand)]
pub(crate) enum BundleCommand {
    /// Check a bundle against every rule and print its digest
    Validate(BundleValidate),
    /// Add your signature to a bundle
    Sign(BundleSign),
    /// Submit a signed bundle to the control group; safe to repeat
    Roll(BundleRoll),
    /// Show a bundle file, or the bundle in force
    Show(BundleShow),
    /// Write an unsigned successor of the bundle in force, to be edited
    Next(BundleNext),
}

#[derive(Debug, Args)]
pub(crate) struct BundleValidate {
    /// Bundle, signed or not
    pub(crate) file: PathBuf,
    /// The accepted bundle that this one follows
    #[arg(long, value_name = "FILE")]
    pub(crate) follows: Option<PathBuf>,
}

#[derive(Debug, Args)]
pub(crate) struct BundleSign {
    /// Bundle, signed by others or not at all
    pub(crate) file: PathBuf,
    /// Your name in the control replicas' settings
    #[arg(long)]
    pub(crate) operator: String,
    /// File with your signing key
    #[arg(long, value_name = "FILE")]
    pub(crate) key: PathBuf,
    /// File to write [default: FILE with the ending .signed.json]
    #[arg(long, value_name = "FILE")]
    pub(crate) out: Option<PathBuf>,
}

#[derive(Debug, Args)]
pub(crate) struct BundleRoll {
    /// Signed bundle
    pub(crate) file: PathBuf,
    #[command(flatten)]
    pub(crate) connection: Connection,
}

#[derive(Debug, Args)]
pub(crate) struct BundleShow {
    /// Bundle to show [default: the bundle in force]
    pub(crate) file: Option<PathBuf>,
    #[command(flatten)]
    pub(crate) connection: Connection,
}

#[derive(Debug, Args)]
pub(crate) struct BundleNext {
    /// File to create; an existing one is never overwritten
    pub(crate) out: PathBuf,
    /// Bundle to follow [default: the bundle in force]
    #[arg(long, value_name = "FILE")]
    pub(crate) follows: Option<PathBuf>,
    #[command(flatten)]
    pub(crate) connection: Connection,
}

/// Arguments of every command that calls the control group.
#[derive(Clone, Debug, Args)]
pub(crate) struct Connection {
    /// Admin address of a control replica; name several, one that answers suffices
    #[arg(
        long,
        value_name = "IP:PORT",
        env = "GREBEPIN_CONTROL",
        value_delimiter = ','
    )]
    pub(crate) control: Vec<SocketAddr>,
    /// Timeout of a request to one replica, in ms
    #[arg(long, value_name = "MS", default_value_t = 2000, value_parser = clap::value_parser!(u64).range(1..=600_000))]
    pub(crate) timeout_ms: u64,
    /// Timeout of the search for the leader, in ms
    #[arg(long, value_name = "MS", default_value_t = 10_000, value_parser = clap::value_parser!(u64).range(0..=600_000))]
    pub(crate) patience_ms: u64,
}

#[derive(Debug, Args)]
pub(crate) struct Found {
    #[command(flatten)]
    pub(crate) connection: Connection,
}

#[derive(Debug, Args)]
pub(crate) struct Status {
    /// Query this replica only, leader or not
    #[arg(long, value_name = "IP:PORT")]
    pub(crate) replica: Option<SocketAddr>,
    /// List every server and router, not only those that need a look
    #[arg(long)]
    pub(crate) all: bool,
    #[command(flatten)]
    pub(crate) connection: Connection,
}

#[derive(Debug, Args)]
pub(crate) struct Drain {
    /// Server, as the bundle names it
    pub(crate) server: String,
    /// Let the server receive shards and requests again
    #[arg(long)]
    pub(crate) undo: bool,
    #[command(flatten)]
    pub(crate) connection: Connection,
}

#[derive(Debug, Subcommand)]
pub(crate) enum MembersCommand {
    /// Remove a member permanently, such as one whose disk is lost
    Remove(MembersRemove),
}

#[derive(Debug, Args)]
pub(crate) struct MembersRemove {
    /// Replica's number, as `status` prints it
    pub(crate) replica: u64,
    #[command(flatten)]
    pub(crate) connection: Connection,
}

#[derive(Debug, Args)]
pub(crate) struct Plan {
    /// Bundle that would be rolled, signed or not
    pub(crate) bundle: PathBuf,
    /// Plan from a control replica's data folder instead of the running group
    #[arg(long, value_name = "FOLDER")]
    pub(crate) data: Option<PathBuf>,
    #[command(flatten)]
    pub(crate) connection: Connection,
}

#[derive(Debug, Args)]
pub(crate) struct Check {
    /// Settings (.toml), bundles (.json), histories (.jsonl), or folders of them; a folder is one
    /// deployment, and its histories are one run
    #[arg(required = true)]
    pub(crate) paths: Vec<PathBuf>,
    /// Maximum clock difference between the processes of a history, in µs
    #[arg(long, value_name = "US", default_value_t = 2000)]
    pub(crate) clock_tolerance_us: u64,
}

#[derive(Debug, Args)]
pub(crate) struct Replay {
    /// A control replica's data folder, of a running replica or a copy
    pub(crate) folder: PathBuf,
    /// Last entry to apply [default: the last one known to be committed]
    #[arg(long, value_name = "INDEX")]
    pub(crate) to: Option<u64>,
    /// Show only the resulting state, not the decisions
    #[arg(long)]
    pub(crate) state_only: bool,
}

#[derive(Debug, Args)]
pub(crate) struct Explain {
    /// Folder with a file ending in .log for each process
    pub(crate) folder: PathBuf,
    #[command(flatten)]
    pub(crate) subject: ExplainSubject,
}

#[derive(Debug, Args)]
#[group(required = true, multiple = false)]
pub(crate) struct ExplainSubject {
    /// Id of a client's attempt
    #[arg(long, value_name = "ID")]
    pub(crate) request: Option<String>,
    /// Identity of a server that registered itself
    #[arg(long, value_name = "ID")]
    pub(crate) instance: Option<String>,
    /// Key of a sharded service
    #[arg(long, value_name = "KEY")]
    pub(crate) key: Option<u16>,
    /// Name of a configuration item
    #[arg(long, value_name = "NAME")]
    pub(crate) item: Option<String>,
}

#[derive(Debug, Args)]
pub(crate) struct Completions {
    /// Shell
    pub(crate) shell: Shell,
}

#[derive(Debug, Args)]
pub(crate) struct Man {
    /// Folder to write one page for each command into [default: print the main page]
    #[arg(long, value_name = "FOLDER")]
    pub(crate) out: Option<PathBuf>,
}
