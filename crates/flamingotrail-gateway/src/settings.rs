//! Settings of a gateway's decision logic.

use std::time;

use crate::ids;

/// Identity and location of this gateway.
#[derive(Clone, Debug, Default)]
pub struct Identity {
    /// Instance name of this gateway.
    pub instance: ids::InstanceName,
    /// Failure domain of this gateway.
    pub domain: ids::DomainName,
    /// Region of this gateway.
    pub region: ids::RegionName,
    /// Region of each failure domain of the deployment.
    pub regions: std::collections::BTreeMap<ids::DomainName, ids::RegionName>,
}

/// How far the calls of a workspace may exceed its allowance in any window, over all gateways.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AllowanceTolerance {
    /// Length of the window.
    pub window: time::Duration,
    /// Part of the window's allowance by which it may be exceeded; 0.1 is a tenth.
    pub overage: f64,
    /// Number of calls by which it may be exceeded besides.
    pub slack: f64,
}

/// What the calls of a gateway may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallLimits {
    /// Maximum number of calls.
    pub max_calls: usize,
    /// Largest body of an ordinary request, in bytes.
    pub ordinary_bytes: usize,
    /// Maximum size of all larger bodies together, in bytes.
    pub max_large_bytes: usize,
    /// Part of both that the calls of one service may hold while there are no others, in percent.
    pub service_percent: u8,
}

/// Limits of the log, and the time allowed for a shutdown.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of log partitions that store turns and budgets.
    pub partitions: u16,
    /// Maximum number of appends per second that the log accepts from all gateways together.
    pub max_appends_per_s: f64,
    /// Maximum size of a record in bytes.
    pub max_record_bytes: usize,
    /// Maximum total size of the records of one append, in bytes.
    pub max_append_bytes: usize,
    /// Time after which the log drops a record.
    pub log_retention: time::Duration,
    /// Maximum duration of a graceful shutdown.
    pub grace_period: time::Duration,
    /// Tolerance of the allowances of workspaces.
    pub allowance_tolerance: AllowanceTolerance,
    /// Maximum size of the turns' inputs and outputs that are kept in memory, in bytes. Others are read
    /// from the log when they are needed.
    pub max_history_bytes: usize,
    /// Maximum size of the records that wait for the log, in bytes. Turns whose history is kept are refused
    /// beyond it.
    pub max_unlogged_bytes: usize,
    /// Maximum number of turns that are looked up at other gateways at once.
    pub max_lookups: usize,
    /// What calls may hold.
    pub call_limits: CallLimits,
}
