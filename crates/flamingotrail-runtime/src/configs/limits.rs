//! Settings of what a process may hold for its clients. Those that are not set follow from the
//! machine.

use std::time;

use flamingotrail_gateway::settings;

use crate::callers;
use crate::connections::limits;

/// Part of a gateway's memory for the histories of turns; the log has them, too.
const HISTORY_DIVISOR: usize = 6;
/// Part of them for records that wait for the log.
const UNLOGGED_DIVISOR: usize = 2;
/// Look-ups at once. Each may return a chain of turns of several megabytes.
const DEFAULT_LOOKUPS: usize = 16;
/// Part of the memory of an instance for the texts of the programs that it owns.
const PROGRAMS_DIVISOR: usize = 2;
/// Part of a process that the calls of one service or workspace may hold, in percent.
const DEFAULT_SHARE_PERCENT: u8 = 66;
/// Bytes in a megabyte.
const BYTES_PER_MB: usize = 1_000_000;
/// Descriptors of a process whose machine names no limit.
const DEFAULT_DESCRIPTORS: usize = 4_096;
/// Memory of a process whose machine can't be asked, in bytes.
const DEFAULT_MEMORY_BYTES: usize = 88 * BYTES_PER_MB;

/// Flags of the limits.
#[derive(Clone, Debug, Default, clap::Args)]
pub struct LimitArgs {
    /// Memory that the process may use, in megabytes. By default that of the platform's settings file
    /// (role `gateway`) or of the machine.
    #[arg(long, env = "FLAMINGOTRAIL_MEMORY_MB", default_value = "")]
    pub memory_mb: String,
    /// Descriptors that the process may have open. By default those of the platform's settings file
    /// (role `gateway`) or of the process's limit.
    #[arg(long, env = "FLAMINGOTRAIL_MAX_DESCRIPTORS", default_value = "")]
    pub max_descriptors: String,
    /// Maximum number of callers' connections. By default half of the descriptors that are left for
    /// sockets, and at most one for each 60 KiB of memory.
    #[arg(long, env = "FLAMINGOTRAIL_MAX_CONNECTIONS", default_value = "")]
    pub max_connections: String,
    /// Maximum number of connections of other gateways. By default an eighth of the descriptors that
    /// are left for sockets.
    #[arg(long, env = "FLAMINGOTRAIL_MAX_PEER_CONNECTIONS", default_value = "")]
    pub max_peer_connections: String,
    /// Maximum number of connections to each listener for monitoring. By default as many as of other
    /// gateways, and at most 64.
    #[arg(long, env = "FLAMINGOTRAIL_MAX_MONITORING_CONNECTIONS", default_value = "")]
    pub max_monitoring_connections: String,
    /// Maximum number of handshakes of links that are not complete. By default one for each 768 KiB of
    /// memory, at least 16 and at most 1,024.
    #[arg(long, env = "FLAMINGOTRAIL_MAX_HANDSHAKES", default_value = "")]
    pub max_handshakes: String,
    /// Maximum size of all requests together that are received or run, in bytes. By default a sixth of
    /// the memory.
    #[arg(long, env = "FLAMINGOTRAIL_MAX_REQUEST_MEMORY", default_value = "")]
    pub max_request_memory: String,
    /// Maximum size of all responses together that their clients have not taken, in bytes. By default
    /// an eighth of the memory.
    #[arg(long, env = "FLAMINGOTRAIL_MAX_RESPONSE_MEMORY", default_value = "")]
    pub max_response_memory: String,
    /// Maximum size of all messages together that wait to be sent to other instances, in bytes. By
    /// default an eighth of the memory.
    #[arg(long, env = "FLAMINGOTRAIL_MAX_LINK_MEMORY", default_value = "")]
    pub max_link_memory: String,
    /// Maximum size of all responses together that a gateway receives, or holds until their call ends, in
    /// bytes. By default a fifth of the memory.
    #[arg(long, env = "FLAMINGOTRAIL_MAX_BUFFER_MEMORY", default_value = "")]
    pub max_buffer_memory: String,
    /// Bytes of a caller's connection that the kernel buffers until they are read. By default 64 KiB.
    #[arg(long, env = "FLAMINGOTRAIL_RECEIVE_BUFFER", default_value = "")]
    pub receive_buffer: String,
    /// Bytes of a response that the kernel holds unsent before it takes no more. By default 16 KiB.
    #[arg(long, env = "FLAMINGOTRAIL_SEND_BUFFER", default_value = "")]
    pub send_buffer: String,
    /// Longest time for receiving the body of a request, in seconds. By default 60.
    #[arg(long, env = "FLAMINGOTRAIL_MAX_BODY_TIME_S", default_value = "")]
    pub max_body_time_s: String,
    /// Part of the connections, and of the memory for large requests, that the calls of one service may
    /// hold while there are no others, in percent (role `gateway`). By default 66.
    #[arg(long, env = "FLAMINGOTRAIL_MAX_SERVICE_PERCENT", default_value = "")]
    pub max_service_percent: String,
    /// Part of the connections (role `entry`) and of the memory for the texts of new programs (role
    /// `endpoint`) that one workspace may hold while there are no others, in percent. By default 66.
    #[arg(long, env = "FLAMINGOTRAIL_MAX_WORKSPACE_PERCENT", default_value = "")]
    pub max_workspace_percent: String,
    /// Maximum size of the histories in memory, in bytes. By default a sixth of the memory (role
    /// `gateway`), or half of it for the programs that an instance owns (role `endpoint`).
    #[arg(long, env = "FLAMINGOTRAIL_MAX_HISTORY_MEMORY", default_value = "")]
    pub max_history_memory: String,
    /// Maximum size of the records that wait for the log, in bytes, a part of the histories (role
    /// `gateway`). By default half of their memory.
    #[arg(long, env = "FLAMINGOTRAIL_MAX_UNLOGGED_MEMORY", default_value = "")]
    pub max_unlogged_memory: String,
    /// Maximum number of turns that a gateway looks up at others at once, during an outage of the log. By
    /// default 16.
    #[arg(long, env = "FLAMINGOTRAIL_MAX_LOOK_UPS", default_value = "")]
    pub max_look_ups: String,
}

/// Validated limits; `None` for those that follow from the machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitSettings {
    memory_bytes: Option<usize>,
    descriptors: Option<usize>,
    overrides: limits::Overrides,
    max_history_bytes: Option<usize>,
    max_unlogged_bytes: Option<usize>,
    max_lookups: Option<usize>,
    service_percent: Option<u8>,
    workspace_percent: Option<u8>,
}

/// Parses the values of flags and collects the errors.
#[derive(Debug, Default)]
struct Parser {
    errors: Vec<String>,
}

impl Parser {
    /// Returns a number from 1 to `max`; `None` if the flag is not set or its value not valid.
    fn number(&mut self, flag: &str, value: &str, max: usize) -> Option<usize> {
        if value.is_empty() {
            return None;
        }
        let number = value.parse().ok().filter(|number| (1..=max).contains(number));
        if number.is_none() {
            let requirement = match max {
                usize::MAX => "must be a whole number above 0".to_owned(),
                max => format!("must be a whole number from 1 to {max}"),
            };
            self.errors.push(format!(
                "--{flag}: `{value}` is not valid; {requirement}; omit it for the default"
            ));
        }
        number
    }

    fn percent(&mut self, flag: &str, value: &str) -> Option<u8> {
        self.number(flag, value, 100).and_then(|percent| u8::try_from(percent).ok())
    }
}

impl TryFrom<&LimitArgs> for LimitSettings {
    type Error = Vec<String>;

    fn try_from(args: &LimitArgs) -> Result<Self, Vec<String>> {
        let mut parser = Parser::default();
        let mut count = |flag, value: &str| parser.number(flag, value, usize::MAX);
        let memory_mb = count("memory-mb", &args.memory_mb);
        let settings = LimitSettings {
            memory_bytes: memory_mb.map(|memory: usize| memory.saturating_mul(BYTES_PER_MB)),
            descriptors: count("max-descriptors", &args.max_descriptors),
            overrides: limits::Overrides {
                max_connections: count("max-connections", &args.max_connections),
                max_peers: count("max-peer-connections", &args.max_peer_connections),
                max_monitoring: count(
                    "max-monitoring-connections",
                    &args.max_monitoring_connections,
                ),
                max_handshakes: count("max-handshakes", &args.max_handshakes),
                max_request_bytes: count("max-request-memory", &args.max_request_memory),
                max_response_bytes: count("max-response-memory", &args.max_response_memory),
                max_link_bytes: count("max-link-memory", &args.max_link_memory),
                max_buffer_bytes: count("max-buffer-memory", &args.max_buffer_memory),
                max_body_time: count("max-body-time-s", &args.max_body_time_s)
                    .map(|seconds| time::Duration::from_secs(seconds as u64)),
                send_buffer_bytes: count("send-buffer", &args.send_buffer),
                receive_buffer_bytes: count("receive-buffer", &args.receive_buffer),
            },
            max_history_bytes: count("max-history-memory", &args.max_history_memory),
            max_unlogged_bytes: count("max-unlogged-memory", &args.max_unlogged_memory),
            max_lookups: count("max-look-ups", &args.max_look_ups),
            service_percent: parser.percent("max-service-percent", &args.max_service_percent),
            workspace_percent: parser.percent("max-workspace-percent", &args.max_workspace_percent),
        };
        if parser.errors.is_empty() {
            Ok(settings)
        } else {
            Err(parser.errors)
        }
    }
}

impl LimitSettings {
    /// Returns the settings with what the platform says of the machine, where they set nothing.
    pub fn with_platform(mut self, memory_bytes: usize, descriptors: Option<usize>) -> Self {
        self.memory_bytes = self.memory_bytes.or(Some(memory_bytes));
        self.descriptors = self.descriptors.or(descriptors);
        self
    }

    /// Memory that the process may use, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.memory_bytes.unwrap_or_else(machine_memory)
    }

    /// Descriptors that the process may have open.
    pub fn descriptors(&self) -> usize {
        self.descriptors.unwrap_or_else(process_descriptors)
    }

    /// Maximum size of the histories of turns in memory, in bytes.
    pub fn max_history_bytes(&self) -> usize {
        self.max_history_bytes.unwrap_or(self.memory_bytes() / HISTORY_DIVISOR)
    }

    /// Maximum size of the records that wait for the log, in bytes.
    pub fn max_unlogged_bytes(&self) -> usize {
        self.max_unlogged_bytes.unwrap_or(self.max_history_bytes() / UNLOGGED_DIVISOR)
    }

    /// Maximum number of turns that are looked up at other gateways at once.
    pub fn max_lookups(&self) -> usize {
        self.max_lookups.unwrap_or(DEFAULT_LOOKUPS)
    }

    /// Maximum size of the texts of the programs that an instance owns, in bytes.
    pub fn max_program_bytes(&self) -> usize {
        self.max_history_bytes.unwrap_or(self.memory_bytes() / PROGRAMS_DIVISOR)
    }

    /// What the calls of a gateway may hold.
    pub fn call_limits(&self) -> settings::CallLimits {
        let limits = self.connection_limits();
        settings::CallLimits {
            max_calls: limits.callers,
            ordinary_bytes: limits::ORDINARY_REQUEST_BYTES,
            max_large_bytes: limits.large_request_bytes(),
            service_percent: self.service_percent.unwrap_or(DEFAULT_SHARE_PERCENT),
        }
    }

    /// Part of an instance that a workspace may hold, in percent.
    pub fn workspace_percent(&self) -> u8 {
        self.workspace_percent.unwrap_or(DEFAULT_SHARE_PERCENT)
    }

    /// Limits of what the process holds for its clients.
    pub fn connection_limits(&self) -> limits::Limits {
        let machine =
            limits::Machine { memory_bytes: self.memory_bytes(), descriptors: self.descriptors() };
        limits::Limits::new(&machine, &self.overrides)
    }

    /// Returns an error if the memory for requests was set and has no room for one with a body of
    /// `max_body_bytes`.
    pub fn check_body(&self, max_body_bytes: usize) -> Option<String> {
        let copies = max_body_bytes.saturating_mul(callers::BODY_COPIES);
        let needed = limits::Limits::request_bytes_for(copies);
        let set = self.overrides.max_request_bytes.filter(|set| *set < needed)?;
        Some(format!(
            "--max-request-memory: `{set}` has no room for a body of --max-body-bytes \
             {max_body_bytes}; set it to {needed} or more, or lower --max-body-bytes"
        ))
    }
}

fn machine_memory() -> usize {
    let info = rustix::system::sysinfo();
    let bytes = u64::from(info.mem_unit).saturating_mul(info.totalram as u64);
    match usize::try_from(bytes) {
        Ok(bytes @ 1..) => bytes,
        Ok(0) | Err(_) => DEFAULT_MEMORY_BYTES,
    }
}

fn process_descriptors() -> usize {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    limit.and_then(|limit| usize::try_from(limit).ok()).unwrap_or(DEFAULT_DESCRIPTORS)
}
