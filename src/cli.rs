//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;

/// A query tier over many shards, with bookings that run at most once.
#[derive(Debug, Parser)]
#[command(version, about, propagate_version = true)]
pub(crate) struct Cli {
    /// How results are printed.
    #[arg(long, global = true, value_enum, default_value_t = Output::Text)]
    pub(crate) output: Output,
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// How results are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(crate) enum Output {
    /// Human-readable text.
    Text,
    /// JSON for scripts.
    Json,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Run a daemon until SIGTERM.
    #[command(after_help = "Example:\n  coltsfootgw serve --settings entry-1.yaml")]
    Serve(ServeArgs),
    /// Run a gateway on the users' platform until SIGTERM.
    #[command(after_help = "Example:\n  coltsfootgw gateway --settings settings.yaml")]
    Gateway(GatewayArgs),
    /// Check declarations, or a platform's settings file or configuration, offline and
    /// print each finding with its location.
    #[command(after_help = "Example:\n  coltsfootgw check --file deploy.yaml")]
    Check(CheckArgs),
    /// Show what applying declarations would change.
    #[command(
        after_help = "Example:\n  coltsfootgw plan --daemon 10.0.0.1:8081 --file deploy.yaml"
    )]
    Plan(PlanArgs),
    /// Commit declarations as the next revision.
    #[command(
        after_help = "Example:\n  coltsfootgw apply --daemon 10.0.0.1:8081 --file deploy.yaml --base 7"
    )]
    Apply(ApplyArgs),
    /// Print the declarations in force.
    #[command(after_help = "Example:\n  coltsfootgw get --daemon 10.0.0.1:8081 --service billing")]
    Get(GetArgs),
    /// List the most recent revisions, newest first.
    #[command(after_help = "Example:\n  coltsfootgw history --daemon 10.0.0.1:8081 --limit 5")]
    History(HistoryArgs),
    /// Show which revision each instance has in force.
    #[command(after_help = "Example:\n  coltsfootgw status --daemon 10.0.0.1:8081")]
    Status(DaemonArgs),
    /// Print a daemon's state as JSON.
    #[command(after_help = "Example:\n  coltsfootgw dump --daemon 10.0.0.1:8081")]
    Dump(DaemonArgs),
    /// Stop new work on an upstream, or resume it.
    #[command(
        after_help = "Example:\n  coltsfootgw drain --daemon 10.0.0.1:8081 billing billing-3\n  coltsfootgw drain --daemon 10.0.0.1:8081 --instance entry-2"
    )]
    Drain(DrainArgs),
    /// Search as a caller would.
    #[command(
        after_help = "Example:\n  coltsfootgw search --callers 10.0.0.1:8080 billing '\"open\"'"
    )]
    Search(SearchArgs),
    /// Book as a caller would.
    #[command(
        after_help = "Example:\n  coltsfootgw book --callers 10.0.0.1:8080 billing '{\"job\": 17}'"
    )]
    Book(BookArgs),
    /// Print completions for a shell.
    #[command(
        after_help = "Example:\n  coltsfootgw completions bash > /etc/bash_completion.d/coltsfootgw"
    )]
    Completions(CompletionsArgs),
}

#[derive(Debug, Args)]
pub(crate) struct GatewayArgs {
    /// Settings file that the platform places on the machine.
    #[arg(long, env = platform::SETTINGS_VARIABLE)]
    pub(crate) settings: PathBuf,
    /// Minimum level of the log: error, warning, info or debug.
    #[arg(long, default_value = "info")]
    pub(crate) log_level: telemetry::Level,
}

#[derive(Debug, Args)]
pub(crate) struct ServeArgs {
    /// The daemon's settings (YAML).
    #[arg(long)]
    pub(crate) settings: PathBuf,
}

#[derive(Debug, Args)]
#[group(required = true, multiple = false)]
pub(crate) struct CheckArgs {
    /// The declarations (YAML).
    #[arg(long)]
    pub(crate) file: Option<PathBuf>,
    /// A settings file of the users' platform.
    #[arg(long)]
    pub(crate) platform: Option<PathBuf>,
    /// A configuration of the users' platform (JSON), as operators write it to the store.
    #[arg(long)]
    pub(crate) configuration: Option<PathBuf>,
}

#[derive(Debug, Args)]
pub(crate) struct DaemonArgs {
    /// Address of any daemon's gRPC interface.
    #[arg(long, env = "COLTSFOOTGW_DAEMON")]
    pub(crate) daemon: SocketAddr,
}

#[derive(Debug, Args)]
pub(crate) struct PlanArgs {
    #[command(flatten)]
    pub(crate) daemon: DaemonArgs,
    /// The declarations (YAML).
    #[arg(long)]
    pub(crate) file: PathBuf,
    /// Remove the services that are not in the file.
    #[arg(long)]
    pub(crate) prune: bool,
}

#[derive(Debug, Args)]
pub(crate) struct ApplyArgs {
    #[command(flatten)]
    pub(crate) plan: PlanArgs,
    /// Revision that the change was planned against; the current one if absent.
    #[arg(long)]
    pub(crate) base: Option<u64>,
    /// Identifier of the change; pass the same one to retry an apply safely.
    #[arg(long)]
    pub(crate) operation: Option<String>,
}

#[derive(Debug, Args)]
pub(crate) struct GetArgs {
    #[command(flatten)]
    pub(crate) daemon: DaemonArgs,
    /// Print only this service.
    #[arg(long, default_value = "")]
    pub(crate) service: String,
}

#[derive(Debug, Args)]
pub(crate) struct HistoryArgs {
    #[command(flatten)]
    pub(crate) daemon: DaemonArgs,
    /// Maximum number of revisions to list.
    #[arg(long, default_value_t = 10)]
    pub(crate) limit: u32,
}

#[derive(Debug, Args)]
pub(crate) struct DrainArgs {
    #[command(flatten)]
    pub(crate) daemon: DaemonArgs,
    /// Name of the service.
    #[arg(required_unless_present = "instance", requires = "upstream")]
    pub(crate) service: Option<String>,
    /// Name of the upstream.
    pub(crate) upstream: Option<String>,
    /// Resume sending work to the upstream.
    #[arg(long)]
    pub(crate) resume: bool,
    /// Instance name of a daemon to shut down once its work is finished.
    #[arg(long, conflicts_with_all = ["service", "upstream", "resume"])]
    pub(crate) instance: Option<String>,
}

#[derive(Debug, Args)]
pub(crate) struct CallerArgs {
    /// Address of any daemon's interface for callers.
    #[arg(long, env = "COLTSFOOTGW_CALLERS")]
    pub(crate) callers: SocketAddr,
    /// Deadline for the answer, in milliseconds from now.
    #[arg(long)]
    pub(crate) deadline_ms: Option<u64>,
}

#[derive(Debug, Args)]
pub(crate) struct SearchArgs {
    #[command(flatten)]
    pub(crate) caller: CallerArgs,
    /// Name of the service.
    pub(crate) service: String,
    /// The query, as JSON.
    pub(crate) query: String,
    /// Search only this shard; may be repeated.
    #[arg(long)]
    pub(crate) shard: Vec<String>,
}

#[derive(Debug, Args)]
pub(crate) struct BookArgs {
    #[command(flatten)]
    pub(crate) caller: CallerArgs,
    /// Name of the service.
    pub(crate) service: String,
    /// The booking, as JSON.
    pub(crate) booking: String,
    /// The idempotency key (UUID version 7); a new one if absent.
    #[arg(long)]
    pub(crate) key: Option<String>,
    /// The shard to book on.
    #[arg(long)]
    pub(crate) shard: Option<String>,
}

#[derive(Debug, Args)]
pub(crate) struct CompletionsArgs {
    /// The shell.
    pub(crate) shell: Shell,
}
