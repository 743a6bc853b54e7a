//! Settings of one process that the decisions need.

use std::time;

use crate::digest;
use crate::ids;

/// Role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Accepts callers.
    Entry,
    /// Stands beside an endpoint: runs calls on it and owns partitions.
    Endpoint,
}

/// Who and where this process is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Instance name and start.
    pub peer: ids::Peer,
    /// Role.
    pub role: Role,
    /// Region.
    pub region: ids::RegionName,
    /// Failure domain.
    pub domain: ids::DomainName,
    /// The endpoint beside it.
    pub endpoint: Option<ids::EndpointName>,
}

/// Limits and intervals.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Key that authenticates continuations; the same at every process.
    pub continuation_key: digest::Digest,
    /// Deadline of a call that names none.
    pub default_deadline: time::Duration,
    /// Latest deadline that a call may name.
    pub max_deadline: time::Duration,
    /// How long an entry waits for an owner to take a call before it suspects it.
    pub accept_timeout: time::Duration,
    /// Interval between probes of a process with which business is open.
    pub probe_interval: time::Duration,
    /// Most probes that a process sends in a second.
    pub probes_per_second: u32,
    /// Silence after which a process is suspected.
    pub suspect_after: time::Duration,
    /// Interval between fetches of the platform's list.
    pub list_interval: time::Duration,
    /// Interval between reports of the own endpoint while it has work.
    pub report_interval: time::Duration,
    /// How long one read of the configuration stream waits for news.
    pub config_poll_timeout: time::Duration,
    /// Least interval between appends of one partition.
    pub journal_interval_min: time::Duration,
    /// Longest interval between appends of one partition.
    pub journal_interval_max: time::Duration,
    /// How long the log keeps entries.
    pub log_retention: time::Duration,
    /// Age of an owner's last read of its stream after which a new call makes it read again.
    pub ownership_recheck: time::Duration,
    /// Lease of a hold.
    pub hold_lease: time::Duration,
    /// Idle time after which a program counts as ended.
    pub program_idle_timeout: time::Duration,
    /// How long a graceful shutdown waits for what runs.
    pub drain_timeout: time::Duration,
    /// How long a leaving owner goes on with a busy partition before it hands it over.
    pub hand_over_after: time::Duration,
    /// Most calls that wait at one endpoint.
    pub max_queue: u32,
    /// Most attempts for one call.
    pub max_attempts: u32,
    /// Least delay before a retry.
    pub retry_delay: time::Duration,
}

impl Settings {
    /// Defaults, with `continuation_key`.
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
            drain_timeout: time::Duration::from_secs(60),
            hand_over_after: time::Duration::from_secs(2),
            max_queue: 512,
            max_attempts: 4,
            retry_delay: time::Duration::from_millis(50),
        }
    }
}
