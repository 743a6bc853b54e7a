//! Settings of `flamingotraild`: flags, or environment variables of the same names.

use std::fmt;
use std::net;
use std::path;
use std::str;
use std::time;

use flamingotrail_core::digest;
use flamingotrail_core::ids;
use flamingotrail_core::settings;

/// Runs one process of flamingotrail: an entry for callers, or the process beside an endpoint.
#[derive(Clone, Debug, clap::Parser)]
#[command(name = "flamingotraild", version, about, after_help = EXAMPLES)]
pub struct DaemonArgs {
    /// Role: `entry`, `endpoint`, or `gateway`, which takes the rest of its settings from the
    /// platform's file.
    #[arg(long, env = "FLAMINGOTRAIL_ROLE", default_value = "entry")]
    pub role: String,
    /// Instance name, unique in the deployment.
    #[arg(long, env = "FLAMINGOTRAIL_INSTANCE", default_value = "")]
    pub instance: String,
    /// Region of this instance.
    #[arg(long, env = "FLAMINGOTRAIL_REGION", default_value = "")]
    pub region: String,
    /// Failure domain of this instance.
    #[arg(long, env = "FLAMINGOTRAIL_DOMAIN", default_value = "")]
    pub domain: String,
    /// Name of the endpoint beside this process; role `endpoint` only.
    #[arg(long, env = "FLAMINGOTRAIL_ENDPOINT", default_value = "")]
    pub endpoint: String,
    /// Base address of the endpoint, such as `http://127.0.0.1:8100`; role `endpoint` only.
    #[arg(long, env = "FLAMINGOTRAIL_ENDPOINT_URL", default_value = "")]
    pub endpoint_url: String,
    /// What the endpoint is: `engine` or `service`; role `endpoint` only.
    #[arg(long, env = "FLAMINGOTRAIL_ENDPOINT_KIND", default_value = "engine")]
    pub endpoint_kind: String,
    /// Address for callers, `ip:port` (TCP); role `entry` only.
    #[arg(long, env = "FLAMINGOTRAIL_LISTEN", default_value = "127.0.0.1:8080")]
    pub listen: String,
    /// Address for links between processes, `ip:port` (UDP).
    #[arg(long, env = "FLAMINGOTRAIL_LINK", default_value = "127.0.0.1:8443")]
    pub link: String,
    /// Address for links as other processes reach it; `--link` where it is left out.
    #[arg(long, env = "FLAMINGOTRAIL_LINK_ADVERTISED", default_value = "")]
    pub link_advertised: String,
    /// Address for operators, `ip:port` (TCP).
    #[arg(long, env = "FLAMINGOTRAIL_ADMIN", default_value = "127.0.0.1:8081")]
    pub admin: String,
    /// Base address of the platform's log.
    #[arg(long, env = "FLAMINGOTRAIL_LOG_URL", default_value = "")]
    pub log_url: String,
    /// Base address of the platform's list of instances.
    #[arg(long, env = "FLAMINGOTRAIL_LIST_URL", default_value = "")]
    pub list_url: String,
    /// File with this process's certificate chain (PEM).
    #[arg(long, env = "FLAMINGOTRAIL_TLS_CERT", default_value = "")]
    pub tls_cert: String,
    /// File with this process's private key (PEM).
    #[arg(long, env = "FLAMINGOTRAIL_TLS_KEY", default_value = "")]
    pub tls_key: String,
    /// File with the authority that signs every process's certificate (PEM).
    #[arg(long, env = "FLAMINGOTRAIL_TLS_AUTHORITY", default_value = "")]
    pub tls_authority: String,
    /// Secret that authenticates continuations, at least 32 bytes; the same at every process.
    #[arg(
        long,
        env = "FLAMINGOTRAIL_CONTINUATION_SECRET",
        default_value = "",
        hide_env_values = true
    )]
    pub continuation_secret: String,
    /// Deadline of a call that names none, such as `60s`.
    #[arg(long, env = "FLAMINGOTRAIL_DEFAULT_DEADLINE", default_value = "60s")]
    pub default_deadline: String,
    /// Latest deadline that a call may name.
    #[arg(long, env = "FLAMINGOTRAIL_MAX_DEADLINE", default_value = "15m")]
    pub max_deadline: String,
    /// How long an entry waits for an owner to take a call before it asks another process.
    #[arg(long, env = "FLAMINGOTRAIL_ACCEPT_TIMEOUT", default_value = "600ms")]
    pub accept_timeout: String,
    /// Interval between probes of a process with which business is open.
    #[arg(long, env = "FLAMINGOTRAIL_PROBE_INTERVAL", default_value = "500ms")]
    pub probe_interval: String,
    /// Silence after which a process is suspected.
    #[arg(long, env = "FLAMINGOTRAIL_SUSPECT_AFTER", default_value = "1500ms")]
    pub suspect_after: String,
    /// Interval between fetches of the platform's list.
    #[arg(long, env = "FLAMINGOTRAIL_LIST_INTERVAL", default_value = "2s")]
    pub list_interval: String,
    /// Least interval between appends of one partition.
    #[arg(long, env = "FLAMINGOTRAIL_JOURNAL_INTERVAL", default_value = "20ms")]
    pub journal_interval: String,
    /// How long the platform's log keeps entries.
    #[arg(long, env = "FLAMINGOTRAIL_LOG_RETENTION", default_value = "7d")]
    pub log_retention: String,
    /// Longest lease of cached context.
    #[arg(long, env = "FLAMINGOTRAIL_HOLD_LEASE", default_value = "120s")]
    pub hold_lease: String,
    /// Idle time after which a program counts as ended.
    #[arg(long, env = "FLAMINGOTRAIL_PROGRAM_IDLE", default_value = "1h")]
    pub program_idle: String,
    /// How long a graceful shutdown waits for what runs.
    #[arg(long, env = "FLAMINGOTRAIL_DRAIN_TIMEOUT", default_value = "60s")]
    pub drain_timeout: String,
    /// Largest body of a caller, in bytes.
    #[arg(long, env = "FLAMINGOTRAIL_MAX_BODY_BYTES", default_value = "8388608")]
    pub max_body_bytes: String,
    /// Inputs that wait for the control thread at most; callers beyond it are refused as not run.
    #[arg(long, env = "FLAMINGOTRAIL_INBOX", default_value = "16384")]
    pub inbox: String,
    /// Threads for callers' connections.
    #[arg(long, env = "FLAMINGOTRAIL_THREADS", default_value = "2")]
    pub threads: String,
    /// Port of the metrics, on the instance's address; role `gateway` only.
    #[arg(long, env = "FLAMINGOTRAIL_METRICS_PORT", default_value = "9464")]
    pub metrics_port: String,
    /// Seed of the random numbers; drawn from the clock where it is left out.
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

/// The role that runs on the users' platform.
pub const GATEWAY_ROLE: &str = "gateway";

/// Settings of a gateway beside those of the platform's file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayConfig {
    /// Lines below this level are left out.
    pub log_level: log::LevelFilter,
    /// Port of the metrics, on the instance's address.
    pub metrics_port: u16,
}

impl TryFrom<&DaemonArgs> for GatewayConfig {
    type Error = String;

    fn try_from(args: &DaemonArgs) -> Result<Self, String> {
        let log_level = args.log_level.parse().map_err(|_| {
            format!(
                "--log-level {:?} is not known; give error, warn, info, debug or trace",
                args.log_level
            )
        })?;
        let metrics_port = args.metrics_port.parse().map_err(|_| {
            format!("--metrics-port {:?} is no port; give a number up to 65535", args.metrics_port)
        })?;
        Ok(GatewayConfig { log_level, metrics_port })
    }
}

/// Settings that were checked.
#[derive(Clone, Debug)]
pub struct DaemonConfig {
    /// Who and where this process is.
    pub identity: settings::Identity,
    /// Limits and intervals of the decisions.
    pub settings: settings::Settings,
    /// Base address of the endpoint and what it is.
    pub endpoint: Option<(String, EndpointKind)>,
    /// Address for callers; none beside an endpoint.
    pub listen: Option<net::SocketAddr>,
    /// Address for links.
    pub link: net::SocketAddr,
    /// Address for links as other processes reach it.
    pub link_advertised: net::SocketAddr,
    /// Address for operators.
    pub admin: net::SocketAddr,
    /// Base address of the log.
    pub log_url: String,
    /// Base address of the list.
    pub list_url: String,
    /// Certificate, key and authority files.
    pub tls: TlsFiles,
    /// Largest body, in bytes.
    pub max_body_bytes: usize,
    /// Inputs that wait at most.
    pub inbox: usize,
    /// Threads for callers.
    pub threads: usize,
    /// Seed.
    pub seed: u64,
    /// Log level.
    pub log_level: log::LevelFilter,
}

/// What an endpoint is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointKind {
    /// A model engine.
    Engine,
    /// A runner of a plain service.
    Service,
}

/// Files of the process's keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsFiles {
    /// Certificate chain.
    pub cert: path::PathBuf,
    /// Private key.
    pub key: path::PathBuf,
    /// Authority.
    pub authority: path::PathBuf,
}

/// Every wrong setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSettings(pub Vec<String>);

impl fmt::Display for InvalidSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0.join("\n"))
    }
}

impl std::error::Error for InvalidSettings {}

/// Least bytes of the secret.
const SECRET_BYTES: usize = 32;

/// Collects what is wrong while values are read.
#[derive(Default)]
struct Checker {
    wrong: Vec<String>,
}

impl Checker {
    fn wrong(&mut self, flag: &str, value: &str, remedy: &str) {
        self.wrong.push(format!("--{flag}: `{value}` is not valid; {remedy}"));
    }

    fn name(&mut self, flag: &str, value: &str) -> String {
        let valid = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-' || c == '.';
        if value.is_empty() || !value.chars().all(valid) {
            self.wrong(flag, value, "give a name of lower-case letters, digits, `-` and `.`");
        }
        value.to_owned()
    }

    fn parsed<T: str::FromStr>(&mut self, flag: &str, value: &str, default: T, remedy: &str) -> T {
        match value.parse() {
            Ok(value) => value,
            Err(_) => {
                self.wrong(flag, value, remedy);
                default
            }
        }
    }

    fn address(&mut self, flag: &str, value: &str) -> net::SocketAddr {
        let default = net::SocketAddr::from(([127, 0, 0, 1], 0));
        self.parsed(flag, value, default, "give an IP number and a port, such as 10.0.0.5:8080")
    }

    fn url(&mut self, flag: &str, value: &str) -> String {
        if !value.starts_with("http://") && !value.starts_with("https://") {
            self.wrong(flag, value, "give a base address, such as http://10.0.0.2:7000");
        }
        value.to_owned()
    }

    fn span(&mut self, flag: &str, value: &str) -> time::Duration {
        match humantime::parse_duration(value) {
            Ok(span) if !span.is_zero() => span,
            _ => {
                self.wrong(flag, value, "give a span above zero, such as 500ms or 2s");
                time::Duration::from_secs(1)
            }
        }
    }

    fn count(&mut self, flag: &str, value: &str) -> usize {
        let count = self.parsed(flag, value, 1, "give a whole number above 0");
        if count == 0 {
            self.wrong(flag, value, "give a whole number above 0");
        }
        count.max(1)
    }

    fn file(&mut self, flag: &str, value: &str) -> path::PathBuf {
        let path = path::PathBuf::from(value);
        if !path.is_file() {
            self.wrong(flag, value, "give a PEM file; `flamingotrail keys` makes one");
        }
        path
    }
}

impl TryFrom<&DaemonArgs> for DaemonConfig {
    type Error = InvalidSettings;

    fn try_from(args: &DaemonArgs) -> Result<Self, InvalidSettings> {
        let mut checker = Checker::default();
        let c = &mut checker;
        let role = role(c, args);
        let beside = role == settings::Role::Endpoint;
        let endpoint = beside.then(|| endpoint(c, args));
        let identity = identity(c, args, role);
        let settings = decisions(c, args);
        let config = DaemonConfig {
            identity,
            settings,
            endpoint,
            listen: (!beside).then(|| c.address("listen", &args.listen)),
            link: c.address("link", &args.link),
            link_advertised: match args.link_advertised.as_str() {
                "" => c.address("link", &args.link),
                advertised => c.address("link-advertised", advertised),
            },
            admin: c.address("admin", &args.admin),
            log_url: c.url("log-url", &args.log_url),
            list_url: c.url("list-url", &args.list_url),
            tls: TlsFiles {
                cert: c.file("tls-cert", &args.tls_cert),
                key: c.file("tls-key", &args.tls_key),
                authority: c.file("tls-authority", &args.tls_authority),
            },
            max_body_bytes: c.count("max-body-bytes", &args.max_body_bytes),
            inbox: c.count("inbox", &args.inbox),
            threads: c.count("threads", &args.threads),
            seed: seed(c, args),
            log_level: {
                let remedy = "give error, warn, info, debug or trace";
                c.parsed("log-level", &args.log_level, log::LevelFilter::Info, remedy)
            },
        };
        if checker.wrong.is_empty() {
            Ok(config)
        } else {
            Err(InvalidSettings(checker.wrong))
        }
    }
}

fn role(c: &mut Checker, args: &DaemonArgs) -> settings::Role {
    match args.role.as_str() {
        "entry" => settings::Role::Entry,
        "endpoint" => settings::Role::Endpoint,
        other => {
            c.wrong("role", other, "give `entry` or `endpoint`");
            settings::Role::Entry
        }
    }
}

fn endpoint(c: &mut Checker, args: &DaemonArgs) -> (String, EndpointKind) {
    let kind = match args.endpoint_kind.as_str() {
        "engine" => EndpointKind::Engine,
        "service" => EndpointKind::Service,
        other => {
            c.wrong("endpoint-kind", other, "give `engine` or `service`");
            EndpointKind::Engine
        }
    };
    (c.url("endpoint-url", &args.endpoint_url), kind)
}

fn identity(c: &mut Checker, args: &DaemonArgs, role: settings::Role) -> settings::Identity {
    let endpoint = match role {
        settings::Role::Entry => None,
        settings::Role::Endpoint => Some(c.name("endpoint", &args.endpoint)),
    };
    settings::Identity {
        peer: ids::Peer {
            instance: ids::InstanceName::new(c.name("instance", &args.instance)),
            incarnation: ids::Incarnation(since_epoch()),
        },
        role,
        region: ids::RegionName::new(c.name("region", &args.region)),
        domain: ids::DomainName::new(c.name("domain", &args.domain)),
        endpoint: endpoint.map(ids::EndpointName::new),
    }
}

fn decisions(c: &mut Checker, args: &DaemonArgs) -> settings::Settings {
    if args.continuation_secret.len() < SECRET_BYTES {
        c.wrong("continuation-secret", "(hidden)", "give at least 32 bytes, the same everywhere");
    }
    let key = digest::Hasher::new("continuation secret")
        .with_bytes(args.continuation_secret.as_bytes())
        .finish();
    let mut settings = settings::Settings::new(key);
    settings.default_deadline = c.span("default-deadline", &args.default_deadline);
    settings.max_deadline = c.span("max-deadline", &args.max_deadline);
    settings.accept_timeout = c.span("accept-timeout", &args.accept_timeout);
    settings.probe_interval = c.span("probe-interval", &args.probe_interval);
    settings.suspect_after = c.span("suspect-after", &args.suspect_after);
    settings.list_interval = c.span("list-interval", &args.list_interval);
    settings.journal_interval_min = c.span("journal-interval", &args.journal_interval);
    settings.log_retention = c.span("log-retention", &args.log_retention);
    settings.hold_lease = c.span("hold-lease", &args.hold_lease);
    settings.program_idle_timeout = c.span("program-idle", &args.program_idle);
    settings.drain_timeout = c.span("drain-timeout", &args.drain_timeout);
    settings
}

fn seed(c: &mut Checker, args: &DaemonArgs) -> u64 {
    if args.seed.is_empty() {
        return since_epoch();
    }
    c.parsed("seed", &args.seed, 0, "give a whole number, or leave it out")
}

/// Nanoseconds since the Unix epoch: tells two starts of a process apart.
fn since_epoch() -> u64 {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_nanos()).unwrap_or(u64::MAX)
}
