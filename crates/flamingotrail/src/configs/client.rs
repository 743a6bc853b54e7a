//! Settings of `flamingotrail`: flags, or environment variables of the same names.

use std::path;

/// Checks, publishes and inspects a deployment of flamingotrail.
#[derive(Debug, clap::Parser)]
#[command(name = "flamingotrail", version, about, after_help = EXAMPLES)]
pub struct ClientArgs {
    /// Base address of the platform's log.
    #[arg(
        long,
        global = true,
        env = "FLAMINGOTRAIL_LOG_URL",
        default_value = "http://127.0.0.1:7000"
    )]
    pub log_url: String,
    /// Base address of the platform's list of instances.
    #[arg(
        long,
        global = true,
        env = "FLAMINGOTRAIL_LIST_URL",
        default_value = "http://127.0.0.1:7001"
    )]
    pub list_url: String,
    /// Form of the output.
    #[arg(long, global = true, env = "FLAMINGOTRAIL_OUTPUT", value_enum, default_value_t)]
    pub output: OutputFormat,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// Form of the output.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum OutputFormat {
    /// For people.
    #[default]
    Text,
    /// For programs.
    Json,
}

/// What to do.
#[derive(Debug, clap::Subcommand)]
pub enum Command {
    /// Checks a whole set of objects and reports every mistake at once.
    #[command(after_help = "Example: flamingotrail check objects/")]
    Check {
        /// A TOML file, or a folder of them.
        path: path::PathBuf,
    },
    /// Shows what a set changes against the one in force.
    #[command(after_help = "Example: flamingotrail diff objects/ --log-url http://10.0.0.2:7000")]
    Diff {
        /// A TOML file, or a folder of them.
        path: path::PathBuf,
    },
    /// Checks a set and publishes it. Of two that race, the one that the log took first wins.
    #[command(after_help = "Example: flamingotrail publish objects/ --base 12 --author kari")]
    Publish {
        /// A TOML file, or a folder of them.
        path: path::PathBuf,
        /// Version that the set was based on; the one in force where it is left out.
        #[arg(long)]
        base: Option<u64>,
        /// Who publishes.
        #[arg(long, env = "FLAMINGOTRAIL_AUTHOR", default_value = "operator")]
        author: String,
    },
    /// Lists publications with their versions, and those that lost a race.
    History,
    /// Shows instances, endpoints, partitions with epochs, and the configuration by process.
    Status,
    /// Shows the tables of one process.
    #[command(after_help = "Example: flamingotrail dump --admin 10.0.0.5:8081 --table calls")]
    Dump {
        /// The process's address for operators, `ip:port`.
        #[arg(long)]
        admin: String,
        /// Only this table.
        #[arg(long, default_value = "")]
        table: String,
    },
    /// Stops a process gracefully.
    Drain {
        /// The process's address for operators, `ip:port`.
        #[arg(long)]
        admin: String,
    },
    /// Says why calls were placed, held or refused.
    #[command(after_help = "Example: flamingotrail explain cnv.vestland.3.00ab12cd34ef5678")]
    Explain {
        /// A program, conversation, call or request, or a part of one.
        about: String,
        /// Only this process, `ip:port`; every listed one where it is left out.
        #[arg(long, default_value = "")]
        admin: String,
    },
    /// Makes an authority and certificates for links between processes.
    #[command(after_help = "Example: flamingotrail keys --out keys entry-1 stable-1")]
    Keys {
        /// Folder for the files; an authority that is there is used again.
        #[arg(long)]
        out: path::PathBuf,
        /// Instance names.
        names: Vec<String>,
    },
    /// Prints the digest of a bearer token for a workspace's `key_digests`.
    Digest {
        /// The token; read from the first line of standard input where it is `-`.
        #[arg(default_value = "-")]
        token: String,
    },
    /// Prints completions for a shell.
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
}

const EXAMPLES: &str = "Examples:
  flamingotrail check objects/
  flamingotrail publish objects/ --log-url http://10.0.0.2:7000 --author kari
  flamingotrail status --list-url http://10.0.0.2:7001 --output json";
