//! Rows that systems still have to look at.

use std::collections;

use crate::ids;
use crate::journal;

/// Sets of rows; a system empties the set that it takes.
#[derive(Debug, Default)]
pub struct Dirty {
    /// Calls whose next step may be possible.
    pub calls: collections::BTreeSet<ids::CallId>,
    /// Calls that are to be placed on an endpoint.
    pub unplaced_calls: collections::BTreeSet<ids::CallId>,
    /// Calls that ran out of time.
    pub overdue_calls: collections::BTreeSet<ids::CallId>,
    /// Attempts that have taken too long.
    pub slow_attempts: collections::BTreeSet<(ids::CallId, u32)>,
    /// Records that are to be offered to other gateways.
    pub unrelayed_records: collections::BTreeSet<journal::Key>,
    /// Lookups of other gateways whose next step may be possible.
    pub peer_lookups: collections::BTreeSet<u64>,
    /// Tickets of other gateways that have waited for too long.
    pub timed_out_peer_requests: collections::BTreeSet<u64>,
    /// Partitions with something to append or read.
    pub partitions: collections::BTreeSet<ids::Partition>,
    /// Programs of which the log is to be told what is over.
    pub unsettled_programs: collections::BTreeSet<ids::ProgramId>,
    /// Whether appends may go on.
    pub append_rate: bool,
    /// Whether rows may have expired.
    pub expiry: bool,
    /// Whether lapsed endpoints are due.
    pub lapsed_endpoints: bool,
    /// Whether the shutdown may move on.
    pub drain: bool,
}

impl Dirty {
    /// Whether nothing is left.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
            && self.unplaced_calls.is_empty()
            && self.overdue_calls.is_empty()
            && self.slow_attempts.is_empty()
            && self.unrelayed_records.is_empty()
            && self.peer_lookups.is_empty()
            && self.timed_out_peer_requests.is_empty()
            && self.partitions.is_empty()
            && self.unsettled_programs.is_empty()
            && !self.append_rate
            && !self.expiry
            && !self.lapsed_endpoints
            && !self.drain
    }
}
