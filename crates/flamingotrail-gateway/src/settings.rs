//! Limits and intervals of the decisions.

use std::time;

use crate::ids;

/// Who and where this process is.
#[derive(Clone, Debug, Default)]
pub struct Identity {
    /// Instance name.
    pub instance: ids::InstanceName,
    /// Failure domain.
    pub domain: ids::DomainName,
    /// Region.
    pub region: ids::RegionName,
    /// Region of each failure domain.
    pub regions: std::collections::BTreeMap<ids::DomainName, ids::RegionName>,
}

/// Limits and intervals.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Partitions of the log that hold programs.
    pub partitions: u16,
    /// Appends a second that the log takes of all processes together.
    pub max_appends_per_s: f64,
    /// Bytes of a record of the log at most.
    pub max_record_bytes: usize,
    /// Bytes of the records of one append at most.
    pub max_append_bytes: usize,
    /// How long a process that was told to stop may take.
    pub grace_period: time::Duration,
}
