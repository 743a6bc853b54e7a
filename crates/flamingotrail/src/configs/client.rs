//! Settings of `flamingotrail`: flags, or environment variables with matching names.

use std::path;

/// Checks, publishes and inspects a flamingotrail deployment.
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
    /// Base URL of the platform's list of instances.
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
    /// Checks a set of objects and reports all mistakes at once.
    #[command(after_help = "Example: flamingotrail check objects/")]
    Check {
        /// A TOML file, or a folder of them.
        path: path::PathBuf,
    },
    /// Shows the changes of a set against the one in force.
    #[command(after_help = "Example: flamingotrail diff objects/ --log-url http://10.0.0.2:7000")]
    Diff {
        /// A TOML file, or a folder of them.
        path: path::PathBuf,
    },
    /// Checks a set and publishes it. If two publications race, the first in the log wins.
    #[command(after_help = "Example: flamingotrail publish objects/ --base 12 --author kari")]
    Publish {
        /// A TOML file, or a folder of them.
        path: path::PathBuf,
        /// Version that the set is based on; defaults to the one in force.
        #[arg(long)]
        base: Option<u64>,
        /// Name of the author.
        #[arg(long, env = "FLAMINGOTRAIL_AUTHOR", default_value = "operator")]
        author: String,
    },
    /// Lists publications with their versions and outcomes, such as a lost race.
    History,
    /// Shows instances, endpoints, partitions with epochs, and configuration versions.
    Status,
    /// Shows the tables of one process.
    #[command(after_help = "Example: flamingotrail dump --admin 10.0.0.5:8081 --table calls")]
    Dump {
        /// Operator address of the process, `ip:port`.
        #[arg(long)]
        admin: String,
        /// Show only this table.
        #[arg(long, default_value = "")]
        table: String,
    },
    /// Stops a process gracefully.
    Drain {
        /// Operator address of the process, `ip:port`.
        #[arg(long)]
        admin: String,
    },
    /// Shows why calls were placed, delayed or refused.
    #[command(after_help = "Example: flamingotrail explain cnv.vestland.3.00ab12cd34ef5678")]
    Explain {
        /// Id of a program, conversation, call or request, or a part of the id.
        about: String,
        /// Operator address of one process, `ip:port`; defaults to all listed processes.
        #[arg(long, default_value = "")]
        admin: String,
    },
    /// Generates a certificate authority and certificates for links between processes.
    #[command(after_help = "Example: flamingotrail keys --out keys entry-1 stable-1")]
    Keys {
        /// Folder for the files; an authority that it already contains is reused.
        #[arg(long)]
        out: path::PathBuf,
        /// Names of the instances.
        names: Vec<String>,
    },
    /// Prints the digest of a bearer token for a workspace's `key_digests`.
    Digest {
        /// The token, or `-` to read it from the first line of standard input.
        #[arg(default_value = "-")]
        token: String,
    },
    /// Prints a completion script for a shell.
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
}

const EXAMPLES: &str = "Examples:
  flamingotrail check objects/
  flamingotrail publish objects/ --log-url http://10.0.0.2:7000 --author kari
  flamingotrail status --list-url http://10.0.0.2:7001 --output json";
