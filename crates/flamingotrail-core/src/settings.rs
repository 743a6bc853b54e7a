//! Instance settings that the decision logic needs.

use std::time;

use crate::digest;
use crate::ids;

/// Role of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Accepts requests from callers.
    Entry,
    /// Runs calls on its endpoint and owns partitions.
    Endpoint,
}

/// Identity and location of this instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Instance name and incarnation.
    pub peer: ids::Peer,
    /// Role.
    pub role: Role,
    /// Region.
    pub region: ids::RegionName,
    /// Failure domain.
    pub domain: ids::DomainName,
    /// The endpoint that it serves; `None` for an entry instance.
    pub endpoint: Option<ids::EndpointName>,
}

/// Limits, timeouts and intervals.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Key that authenticates continuations; identical on all instances.
    pub continuation_key: digest::Digest,
    /// Deadline of a call that sets none.
    pub default_deadline: time::Duration,
    /// Maximum deadline that a call may set.
    pub max_deadline: time::Duration,
    /// How long an entry instance waits for an owner to accept a call before it suspects the owner.
    pub accept_timeout: time::Duration,
    /// Minimum interval between probes of an instance that this one depends on.
    pub probe_interval: time::Duration,
    /// Maximum number of probes that an instance sends per second.
    pub probes_per_second: u32,
    /// Time without a message after which an instance is suspected to have failed.
    pub suspect_after: time::Duration,
    /// Interval between fetches of the platform's list of instances.
    pub list_interval: time::Duration,
    /// Interval between status reports of the local endpoint while it has work.
    pub report_interval: time::Duration,
    /// How long a read of the configuration stream waits for new entries.
    pub config_poll_timeout: time::Duration,
    /// Minimum interval between appends to one partition's stream.
    pub journal_interval_min: time::Duration,
    /// Maximum interval between appends to one partition's stream.
    pub journal_interval_max: time::Duration,
    /// How long the log retains entries.
    pub log_retention: time::Duration,
    /// Age of an owner's last read of its stream after which a new call triggers another read.
    pub ownership_recheck: time::Duration,
    /// Duration of a hold's lease.
    pub hold_lease: time::Duration,
    /// Idle time after which a program is considered ended.
    pub program_idle_timeout: time::Duration,
    /// Maximum size of the texts of the programs that this instance owns, in bytes. Calls beyond it are
    /// refused, and those that begin a program earlier.
    pub max_history_bytes: usize,
    /// Maximum number of requests that this instance handles at once as an entry.
    pub max_requests: usize,
    /// Part of these, and of the texts of new programs, that a workspace may hold while there are no
    /// others, in percent.
    pub workspace_percent: u8,
    /// How long a graceful shutdown waits for running calls.
    pub drain_timeout: time::Duration,
    /// How long an owner that shuts down keeps a busy partition before it hands the partition over.
    pub hand_over_after: time::Duration,
    /// Maximum number of calls queued at one endpoint.
    pub max_queue: u32,
    /// Maximum number of attempts per call.
    pub max_attempts: u32,
    /// Base delay of the exponential backoff before a retry.
    pub retry_delay: time::Duration,
}

impl Settings {
    /// Creates settings with default values.
    pub fn new(continuation_key: digest::Digest) -> Self {
        Settings {
            continuation_key,
            default_deadline: time::Duration::from_secs(60),
            max_deadline: time::Duration::from_secs(900),
            accept_timeout: time::Duration::from_millis(600),
            probe_interval: time::Duration::from_millis(500),
            probes_per_second: 20,
            suspect_after: time::Duration::from_millis(1500),
            list_interval: time::Duration::from_secs(5),
            report_interval: time::Duration::from_secs(1),
            config_poll_timeout: time::Duration::from_secs(5),
            journal_interval_min: time::Duration::from_millis(20),
            journal_interval_max: time::Duration::from_secs(5),
            log_retention: time::Duration::from_secs(7 * 24 * 3600),
            ownership_recheck: time::Duration::from_secs(2),
            hold_lease: time::Duration::from_secs(120),
            program_idle_timeout: time::Duration::from_secs(3600),
            max_history_bytes: usize::MAX,
            max_requests: usize::MAX,
            workspace_percent: 100,
            drain_timeout: time::Duration::from_secs(60),
            hand_over_after: time::Duration::from_secs(2),
            max_queue: 512,
            max_attempts: 4,
            retry_delay: time::Duration::from_millis(50),
        }
    }
}
