//! Settings of `flamingotraild`: command-line flags, or the corresponding environment variables.

use std::fmt;
use std::net;
use std::path;
use std::str;
use std::time;

use flamingotrail_core::digest;
use flamingotrail_core::ids;
use flamingotrail_core::settings;

use crate::configs::limits;

/// Runs a flamingotrail instance: an entry instance, which serves callers, an endpoint instance or
/// a gateway.
#[derive(Clone, Debug, clap::Parser)]
#[command(name = "flamingotraild", version, about, after_help = EXAMPLES)]
pub struct DaemonArgs {
    /// Role of this instance: `entry`, `endpoint` or `gateway`; a gateway reads most of its
    /// settings from the platform's settings file.
    #[arg(long, env = "FLAMINGOTRAIL_ROLE", default_value = "entry")]
    pub role: String,
    /// Name of this instance, unique in the deployment.
    #[arg(long, env = "FLAMINGOTRAIL_INSTANCE", default_value = "")]
    pub instance: String,
    /// Region of this instance.
    #[arg(long, env = "FLAMINGOTRAIL_REGION", default_value = "")]
    pub region: String,
    /// Failure domain of this instance.
    #[arg(long, env = "FLAMINGOTRAIL_DOMAIN", default_value = "")]
    pub domain: String,
    /// Name of the endpoint that this instance serves; role `endpoint` only.
    #[arg(long, env = "FLAMINGOTRAIL_ENDPOINT", default_value = "")]
    pub endpoint: String,
    /// Base URL of the endpoint, such as `http://127.0.0.1:8100`; role `endpoint` only.
    #[arg(long, env = "FLAMINGOTRAIL_ENDPOINT_URL", default_value = "")]
    pub endpoint_url: String,
    /// Kind of the endpoint: `engine` or `service`; role `endpoint` only.
    #[arg(long, env = "FLAMINGOTRAIL_ENDPOINT_KIND", default_value = "engine")]
    pub endpoint_kind: String,
    /// Listen address for callers, `ip:port` (TCP); role `entry` only.
    #[arg(long, env = "FLAMINGOTRAIL_LISTEN", default_value = "127.0.0.1:8080")]
    pub listen: String,
    /// Listen address for links from other instances, `ip:port` (UDP).
    #[arg(long, env = "FLAMINGOTRAIL_LINK", default_value = "127.0.0.1:8443")]
    pub link: String,
    /// Link address that other instances connect to, `ip:port` (UDP); defaults to `--link`.
    #[arg(long, env = "FLAMINGOTRAIL_LINK_ADVERTISED", default_value = "")]
    pub link_advertised: String,
    /// Listen address of the admin server, `ip:port` (TCP).
    #[arg(long, env = "FLAMINGOTRAIL_ADMIN", default_value = "127.0.0.1:8081")]
    pub admin: String,
    /// Base URL of the platform's log.
    #[arg(long, env = "FLAMINGOTRAIL_LOG_URL", default_value = "")]
    pub log_url: String,
    /// Base URL of the platform's instance list.
    #[arg(long, env = "FLAMINGOTRAIL_LIST_URL", default_value = "")]
    pub list_url: String,
    /// File with the certificate chain of this instance (PEM).
    #[arg(long, env = "FLAMINGOTRAIL_TLS_CERT", default_value = "")]
    pub tls_cert: String,
    /// File with the private key of this instance (PEM).
    #[arg(long, env = "FLAMINGOTRAIL_TLS_KEY", default_value = "")]
    pub tls_key: String,
    /// File with the certificate of the authority that signs all instances' certificates (PEM).
    #[arg(long, env = "FLAMINGOTRAIL_TLS_AUTHORITY", default_value = "")]
    pub tls_authority: String,
    /// Secret that authenticates continuations, at least 32 bytes; identical on all instances.
    #[arg(
        long,
        env = "FLAMINGOTRAIL_CONTINUATION_SECRET",
        default_value = "",
        hide_env_values = true
    )]
    pub continuation_secret: String,
    /// Deadline of calls that set none, such as `60s`.
    #[arg(long, env = "FLAMINGOTRAIL_DEFAULT_DEADLINE", default_value = "60s")]
    pub default_deadline: String,
    /// Maximum deadline that a call may set.
    #[arg(long, env = "FLAMINGOTRAIL_MAX_DEADLINE", default_value = "15m")]
    pub max_deadline: String,
    /// How long an entry instance waits for an owner to accept a call before it asks another
    /// instance.
    #[arg(long, env = "FLAMINGOTRAIL_ACCEPT_TIMEOUT", default_value = "600ms")]
    pub accept_timeout: String,
    /// Minimum interval between probes of an instance that this instance depends on.
    #[arg(long, env = "FLAMINGOTRAIL_PROBE_INTERVAL", default_value = "500ms")]
    pub probe_interval: String,
    /// Time without messages after which an instance is suspected to have failed.
    #[arg(long, env = "FLAMINGOTRAIL_SUSPECT_AFTER", default_value = "1500ms")]
    pub suspect_after: String,
    /// Interval between fetches of the platform's instance list.
    #[arg(long, env = "FLAMINGOTRAIL_LIST_INTERVAL", default_value = "2s")]
    pub list_interval: String,
    /// Minimum interval between journal appends of a partition.
    #[arg(long, env = "FLAMINGOTRAIL_JOURNAL_INTERVAL", default_value = "20ms")]
    pub journal_interval: String,
    /// How long the platform's log retains entries.
    #[arg(long, env = "FLAMINGOTRAIL_LOG_RETENTION", default_value = "7d")]
    pub log_retention: String,
    /// Maximum lease of a hold on cached context.
    #[arg(long, env = "FLAMINGOTRAIL_HOLD_LEASE", default_value = "120s")]
    pub hold_lease: String,
    /// Idle time after which a program is ended.
    #[arg(long, env = "FLAMINGOTRAIL_PROGRAM_IDLE", default_value = "1h")]
    pub program_idle: String,
    /// How long a graceful shutdown waits for running calls.
    #[arg(long, env = "FLAMINGOTRAIL_DRAIN_TIMEOUT", default_value = "60s")]
    pub drain_timeout: String,
    /// Maximum size of a request body in bytes.
    #[arg(long, env = "FLAMINGOTRAIL_MAX_BODY_BYTES", default_value = "8388608")]
    pub max_body_bytes: String,
    /// Capacity of the control thread's inbox; requests beyond it are refused without being run.
    #[arg(long, env = "FLAMINGOTRAIL_INBOX", default_value = "16384")]
    pub inbox: String,
    /// Number of threads that serve callers.
    #[arg(long, env = "FLAMINGOTRAIL_THREADS", default_value = "2")]
    pub threads: String,
    /// Port that serves metrics on the instance's IP address; role `gateway` only.
    #[arg(long, env = "FLAMINGOTRAIL_METRICS_PORT", default_value = "9464")]
    pub metrics_port: String,
    /// Limits of what the process holds for its clients.
    #[command(flatten)]
    pub limits: limits::LimitArgs,
    /// Seed of the random number generator; taken from the clock if omitted.
    #[arg(long, env = "FLAMINGOTRAIL_SEED", default_value = "")]
    pub seed: String,
    /// Log level: error, warn, info, debug or trace.
    #[arg(long, env = "FLAMINGOTRAIL_LOG_LEVEL", default_value = "info")]
    pub log_level: String,
}

const EXAMPLES: &str = "Examples:
  flamingotraild --role entry --instance entry-1 --region vestland --domain vestland-a \\
      --listen 10.0.0.5:8080 --link 10.0.0.5:8443 --admin 10.0.0.5:8081 \\
      --log-url http://10.0.0.2:7000 --list-url http://10.0.0.2:7001
  FLAMINGOTRAIL_ROLE=endpoint FLAMINGOTRAIL_ENDPOINT=stable-1 flamingotraild";

/// Value of `--role` for an instance that the users' platform runs and configures.
pub const GATEWAY_ROLE: &str = "gateway";

/// Settings of a gateway that are not in the platform's settings file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayConfig {
    /// Least severe level that is logged.
    pub log_level: log::LevelFilter,
    /// Port that serves metrics on the instance's IP address.
    pub metrics_port: u16,
    /// Limits of what the process holds for its clients.
    pub limits: limits::LimitSettings,
}

impl TryFrom<&DaemonArgs> for GatewayConfig {
    type Error = String;

    fn try_from(args: &DaemonArgs) -> Result<Self, String> {
        let log_level = args.log_level.parse().map_err(|_| {
            format!(
                "--log-level {:?} is not valid; must be error, warn, info, debug or trace",
                args.log_level
            )
        })?;
        let metrics_port = args.metrics_port.parse().map_err(|_| {
            format!("--metrics-port {:?} is not valid; must be a port number", args.metrics_port)
        })?;
        let limits = limits::LimitSettings::try_from(&args.limits);
        let limits = limits.map_err(|errors| errors.join("\n"))?;
        Ok(GatewayConfig { log_level, metrics_port, limits })
    }
}

/// Validated settings of an entry or endpoint instance.
#[derive(Clone, Debug)]
pub struct DaemonConfig {
    /// Identity and location of this instance.
    pub identity: settings::Identity,
    /// Limits, timeouts and intervals of the scheduler.
    pub settings: settings::Settings,
    /// Base URL and kind of the endpoint; `None` for an entry instance.
    pub endpoint: Option<(String, EndpointKind)>,
    /// Listen address for callers; `None` for an endpoint instance.
    pub listen: Option<net::SocketAddr>,
    /// Listen address for links from other instances.
    pub link: net::SocketAddr,
    /// Link address that other instances connect to.
    pub link_advertised: net::SocketAddr,
    /// Listen address of the admin server.
    pub admin: net::SocketAddr,
    /// Base URL of the log.
    pub log_url: String,
    /// Base URL of the instance list.
    pub list_url: String,
    /// Paths of the certificate, key and authority files.
    pub tls: TlsFiles,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// Limits of what the process holds for its clients.
    pub limits: limits::LimitSettings,
    /// Capacity of the control thread's inbox.
    pub inbox_capacity: usize,
    /// Number of threads that serve callers.
    pub threads: usize,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Least severe level that is logged.
    pub log_level: log::LevelFilter,
}

/// Kind of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointKind {
    /// A model engine.
    Engine,
    /// A service runner.
    Service,
}

/// Paths of the PEM files for mutual TLS.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsFiles {
    /// Certificate chain of this instance.
    pub cert: path::PathBuf,
    /// Private key of this instance.
    pub key: path::PathBuf,
    /// Certificate of the authority.
    pub authority: path::PathBuf,
}

/// Error messages of all invalid settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSettings(pub Vec<String>);

impl fmt::Display for InvalidSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0.join("\n"))
    }
}

impl std::error::Error for InvalidSettings {}

/// Minimum length of the continuation secret in bytes.
const MIN_SECRET_BYTES: usize = 32;

/// Parses the values of flags and collects the errors, so that all of them can be reported at once.
/// For an invalid value, the methods record an error and return a placeholder.
#[derive(Default)]
struct Parser {
    errors: Vec<String>,
}

impl Parser {
    fn add_error(&mut self, flag: &str, value: &str, requirement: &str) {
        self.errors.push(format!("--{flag}: `{value}` is not valid; {requirement}"));
    }

    fn name(&mut self, flag: &str, value: &str) -> String {
        let valid = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-' || c == '.';
        if value.is_empty() || !value.chars().all(valid) {
            self.add_error(flag, value, "must be a name of lowercase letters, digits, `-` and `.`");
        }
        value.to_owned()
    }

    fn parse_or<T: str::FromStr>(
        &mut self,
        flag: &str,
        value: &str,
        placeholder: T,
        requirement: &str,
    ) -> T {
        match value.parse() {
            Ok(value) => value,
            Err(_) => {
                self.add_error(flag, value, requirement);
                placeholder
            }
        }
    }

    fn address(&mut self, flag: &str, value: &str) -> net::SocketAddr {
        let placeholder = net::SocketAddr::from(([127, 0, 0, 1], 0));
        self.parse_or(
            flag,
            value,
            placeholder,
            "must be an IP address and a port, such as 10.0.0.5:8080",
        )
    }

    fn url(&mut self, flag: &str, value: &str) -> String {
        if !value.starts_with("http://") && !value.starts_with("https://") {
            self.add_error(flag, value, "must be a base URL, such as http://10.0.0.2:7000");
        }
        value.to_owned()
    }

    fn duration(&mut self, flag: &str, value: &str) -> time::Duration {
        match humantime::parse_duration(value) {
            Ok(duration) if !duration.is_zero() => duration,
            _ => {
                self.add_error(flag, value, "must be a duration above 0, such as 500ms or 2s");
                time::Duration::from_secs(1)
            }
        }
    }

    fn count(&mut self, flag: &str, value: &str) -> usize {
        let count = self.parse_or(flag, value, 1, "must be a whole number above 0");
        if count == 0 {
            self.add_error(flag, value, "must be a whole number above 0");
        }
        count.max(1)
    }

    fn limits(&mut self, args: &limits::LimitArgs) -> limits::LimitSettings {
        limits::LimitSettings::try_from(args).unwrap_or_else(|errors| {
            self.errors.extend(errors);
            limits::LimitSettings::default()
        })
    }

    fn file(&mut self, flag: &str, value: &str) -> path::PathBuf {
        let path = path::PathBuf::from(value);
        if !path.is_file() {
            self.add_error(
                flag,
                value,
                "must be an existing PEM file; create one with `flamingotrail keys`",
            );
        }
        path
    }
}

impl TryFrom<&DaemonArgs> for DaemonConfig {
    type Error = InvalidSettings;

    fn try_from(args: &DaemonArgs) -> Result<Self, InvalidSettings> {
        let mut value_parser = Parser::default();
        let parser = &mut value_parser;
        let role = role(parser, args);
        let is_endpoint = role == settings::Role::Endpoint;
        let endpoint = is_endpoint.then(|| endpoint(parser, args));
        let identity = identity(parser, args, role);
        let limits = parser.limits(&args.limits);
        let settings = settings::Settings {
            max_history_bytes: limits.max_program_bytes(),
            max_requests: limits.connection_limits().callers,
            workspace_percent: limits.workspace_percent(),
            ..scheduler_settings(parser, args)
        };
        let config = DaemonConfig {
            identity,
            settings,
            endpoint,
            listen: (!is_endpoint).then(|| parser.address("listen", &args.listen)),
            link: parser.address("link", &args.link),
            link_advertised: match args.link_advertised.as_str() {
                "" => parser.address("link", &args.link),
                advertised => parser.address("link-advertised", advertised),
            },
            admin: parser.address("admin", &args.admin),
            log_url: parser.url("log-url", &args.log_url),
            list_url: parser.url("list-url", &args.list_url),
            tls: TlsFiles {
                cert: parser.file("tls-cert", &args.tls_cert),
                key: parser.file("tls-key", &args.tls_key),
                authority: parser.file("tls-authority", &args.tls_authority),
            },
            max_body_bytes: parser.count("max-body-bytes", &args.max_body_bytes),
            limits,
            inbox_capacity: parser.count("inbox", &args.inbox),
            threads: parser.count("threads", &args.threads),
            seed: seed(parser, args),
            log_level: {
                let requirement = "must be error, warn, info, debug or trace";
                parser.parse_or("log-level", &args.log_level, log::LevelFilter::Info, requirement)
            },
        };
        value_parser.errors.extend(config.limits.check_body(config.max_body_bytes));
        if value_parser.errors.is_empty() {
            Ok(config)
        } else {
            Err(InvalidSettings(value_parser.errors))
        }
    }
}

fn role(parser: &mut Parser, args: &DaemonArgs) -> settings::Role {
    match args.role.as_str() {
        "entry" => settings::Role::Entry,
        "endpoint" => settings::Role::Endpoint,
        other => {
            parser.add_error("role", other, "must be `entry`, `endpoint` or `gateway`");
            settings::Role::Entry
        }
    }
}

fn endpoint(parser: &mut Parser, args: &DaemonArgs) -> (String, EndpointKind) {
    let kind = match args.endpoint_kind.as_str() {
        "engine" => EndpointKind::Engine,
        "service" => EndpointKind::Service,
        other => {
            parser.add_error("endpoint-kind", other, "must be `engine` or `service`");
            EndpointKind::Engine
        }
    };
    (parser.url("endpoint-url", &args.endpoint_url), kind)
}

fn identity(parser: &mut Parser, args: &DaemonArgs, role: settings::Role) -> settings::Identity {
    let endpoint = match role {
        settings::Role::Entry => None,
        settings::Role::Endpoint => Some(parser.name("endpoint", &args.endpoint)),
    };
    settings::Identity {
        peer: ids::Peer {
            instance: ids::InstanceName::new(parser.name("instance", &args.instance)),
            incarnation: ids::Incarnation(nanos_since_epoch()),
        },
        role,
        region: ids::RegionName::new(parser.name("region", &args.region)),
        domain: ids::DomainName::new(parser.name("domain", &args.domain)),
        endpoint: endpoint.map(ids::EndpointName::new),
    }
}

fn scheduler_settings(parser: &mut Parser, args: &DaemonArgs) -> settings::Settings {
    if args.continuation_secret.len() < MIN_SECRET_BYTES {
        parser.add_error(
            "continuation-secret",
            "(hidden)",
            "must have at least 32 bytes and be the same on all instances",
        );
    }
    let key = digest::Hasher::new("continuation secret")
        .with_bytes(args.continuation_secret.as_bytes())
        .finish();
    let mut settings = settings::Settings::new(key);
    settings.default_deadline = parser.duration("default-deadline", &args.default_deadline);
    settings.max_deadline = parser.duration("max-deadline", &args.max_deadline);
    settings.accept_timeout = parser.duration("accept-timeout", &args.accept_timeout);
    settings.probe_interval = parser.duration("probe-interval", &args.probe_interval);
    settings.suspect_after = parser.duration("suspect-after", &args.suspect_after);
    settings.list_interval = parser.duration("list-interval", &args.list_interval);
    settings.journal_interval_min = parser.duration("journal-interval", &args.journal_interval);
    settings.log_retention = parser.duration("log-retention", &args.log_retention);
    settings.hold_lease = parser.duration("hold-lease", &args.hold_lease);
    settings.program_idle_timeout = parser.duration("program-idle", &args.program_idle);
    settings.drain_timeout = parser.duration("drain-timeout", &args.drain_timeout);
    settings
}

fn seed(parser: &mut Parser, args: &DaemonArgs) -> u64 {
    if args.seed.is_empty() {
        return nanos_since_epoch();
    }
    parser.parse_or("seed", &args.seed, 0, "must be a whole number; omit it to use the clock")
}

/// Returns the nanoseconds since the Unix epoch, which differ between incarnations of a process.
fn nanos_since_epoch() -> u64 {
    #[allow(clippy::disallowed_methods, reason = "a number that differs; nothing is ordered by it")]
    let elapsed = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_nanos()).unwrap_or(u64::MAX)
}
