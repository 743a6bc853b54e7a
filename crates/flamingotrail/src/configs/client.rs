//! Settings of `flamingotrail`: command-line flags, or the corresponding environment variables.

use std::path;

use flamingotrail_runtime::configs::limits;

/// Checks and publishes configurations, and inspects and controls a flamingotrail deployment.
#[derive(Debug, clap::Parser)]
#[command(name = "flamingotrail", version, about, after_help = EXAMPLES)]
pub struct ClientArgs {
    /// Base URL of the platform's log.
    #[arg(
        long,
        global = true,
        env = "FLAMINGOTRAIL_LOG_URL",
        default_value = "http://127.0.0.1:7000"
    )]
    pub log_url: String,
    /// Base URL of the platform's instance list.
    #[arg(
        long,
        global = true,
        env = "FLAMINGOTRAIL_LIST_URL",
        default_value = "http://127.0.0.1:7001"
    )]
    pub list_url: String,
    /// Output format.
    #[arg(long, global = true, env = "FLAMINGOTRAIL_OUTPUT", value_enum, default_value_t)]
    pub output: OutputFormat,
    /// Command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// Output format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum OutputFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// JSON.
    Json,
}

/// Commands.
#[derive(Debug, clap::Subcommand)]
pub enum Command {
    /// Checks a configuration set, or a platform's configuration document, and reports all errors at
    /// once.
    ///
    /// The exit status is 0 if there are no errors (warnings are allowed), 1 if there are errors, and
    /// 2 if the input can't be read. Keys are shown by the beginning of their digests only.
    #[command(after_help = CHECK_EXAMPLES)]
    Check {
        /// TOML file or directory of TOML files (a set), JSON file (a document), or `-` for a document
        /// on standard input.
        #[arg(required_unless_present = "limits")]
        path: Option<path::PathBuf>,
        /// Checks the limits of a gateway instead, from the flags below and their variables, and shows
        /// those in force.
        #[arg(long, conflicts_with_all = ["path", "in_force"])]
        limits: bool,
        /// Limits of the gateway.
        #[command(flatten)]
        limit_args: Box<limits::LimitArgs>,
        /// JSON file with the document in force; shows what differs and what that means for callers.
        #[arg(long, value_name = "FILE")]
        in_force: Option<path::PathBuf>,
        /// How long the platform's log keeps records, in seconds.
        #[arg(long, value_name = "SECONDS", default_value_t = 300)]
        retention_s: u64,
    },
    /// Shows how a configuration set differs from the current configuration.
    #[command(after_help = "Example: flamingotrail diff objects/ --log-url http://10.0.0.2:7000")]
    Diff {
        /// TOML file, or directory of TOML files.
        path: path::PathBuf,
    },
    /// Checks and publishes a configuration set.
    ///
    /// If two publications race, the first in the log wins.
    #[command(after_help = "Example: flamingotrail publish objects/ --base 12 --author kari")]
    Publish {
        /// TOML file, or directory of TOML files.
        path: path::PathBuf,
        /// Version that the set is based on; defaults to the current version.
        #[arg(long)]
        base: Option<u64>,
        /// Name of the author.
        #[arg(long, env = "FLAMINGOTRAIL_AUTHOR", default_value = "operator")]
        author: String,
    },
    /// Lists the published configurations and their outcomes, such as a lost race.
    History,
    /// Shows the state of all instances, partitions and endpoints.
    Status,
    /// Shows the tables of an instance.
    #[command(after_help = "Example: flamingotrail dump --admin 10.0.0.5:8081 --table calls")]
    Dump {
        /// Admin address of the instance, `ip:port`.
        #[arg(long)]
        admin: String,
        /// Show only this table.
        #[arg(long, default_value = "")]
        table: String,
    },
    /// Shuts down an instance gracefully.
    Drain {
        /// Admin address of the instance, `ip:port`.
        #[arg(long)]
        admin: String,
    },
    /// Shows why calls were placed, delayed or refused.
    #[command(after_help = "Example: flamingotrail explain cnv.vestland.3.00ab12cd34ef5678")]
    Explain {
        /// Id of a program, conversation, call or request, or a part of one.
        about: String,
        /// Admin address of an instance, `ip:port`; defaults to all listed instances.
        #[arg(long, default_value = "")]
        admin: String,
    },
    /// Generates a certificate authority and certificates for links between instances.
    #[command(after_help = "Example: flamingotrail keys --out keys entry-1 stable-1")]
    Keys {
        /// Output directory; if it already contains an authority, that one is used.
        #[arg(long)]
        out: path::PathBuf,
        /// Names of the instances to generate certificates for.
        names: Vec<String>,
    },
    /// Prints the digest of a bearer token for the `key_digests` of a workspace.
    Digest {
        /// Bearer token, or `-` to read it from the first line of standard input.
        #[arg(default_value = "-")]
        token: String,
    },
    /// Prints a shell completion script.
    Completions {
        /// Shell to generate the script for.
        shell: clap_complete::Shell,
    },
}

const CHECK_EXAMPLES: &str = "Examples:
  flamingotrail check objects/
  flamingotrail check next.json --in-force current.json
  flamingotrail check - --output json < next.json
  flamingotrail check --limits --memory-mb 88 --max-descriptors 4096 --max-connections 1000";

const EXAMPLES: &str = "Examples:
  flamingotrail check objects/
  flamingotrail publish objects/ --log-url http://10.0.0.2:7000 --author kari
  flamingotrail status --list-url http://10.0.0.2:7001 --output json";
