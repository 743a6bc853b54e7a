//! Dirty sets: rows that a system has to process.

use std::collections;

use crate::ids;
use crate::journal;

/// Rows to process; each system clears the sets that it processes.
#[derive(Debug, Default)]
pub struct Dirty {
    /// Calls whose next step may be possible.
    pub calls: collections::BTreeSet<ids::CallId>,
    /// Calls to place on an endpoint.
    pub unplaced_calls: collections::BTreeSet<ids::CallId>,
    /// Calls that have passed their deadline.
    pub overdue_calls: collections::BTreeSet<ids::CallId>,
    /// Attempts that take too long, with their sequence numbers.
    pub slow_attempts: collections::BTreeSet<(ids::CallId, u32)>,
    /// Records to relay to other gateways.
    pub unrelayed_records: collections::BTreeSet<journal::Key>,
    /// Tickets of other gateways' lookups whose next step may be possible.
    pub peer_lookups: collections::BTreeSet<u64>,
    /// Tickets of other gateways' requests that have timed out.
    pub timed_out_peer_requests: collections::BTreeSet<u64>,
    /// Partitions with records to append or read.
    pub partitions: collections::BTreeSet<ids::Partition>,
    /// Endpoints that have ended, or were started again.
    pub ended_endpoints: collections::BTreeSet<ids::EndpointId>,
    /// Programs with closed allowances to settle.
    pub unsettled_programs: collections::BTreeSet<ids::ProgramId>,
    /// Whether the rate limit may allow further appends.
    pub append_rate: bool,
    /// Whether turns or programs may have expired.
    pub expiry: bool,
    /// Whether lapsed endpoints may have to be removed.
    pub lapsed_endpoints: bool,
    /// Whether other gateways are to be asked for announcements.
    pub unasked_notices: bool,
    /// Whether endpoints that leave are to be checked.
    pub leaving_checks: bool,
    /// Whether other gateways are to be told of announcements.
    pub untold_notices: bool,
    /// Whether other gateways are to be told of survived requests, and crashes are to be saved.
    pub unpublished_crashes: bool,
    /// Whether the workspaces have changed, so that the keys of waiting calls are to be checked.
    pub workspaces: bool,
    /// Whether refusals of unknown callers are to be reported.
    pub unknown_callers: bool,
    /// Whether other gateways are to be probed.
    pub peer_probes: bool,
    /// Whether the list of gateways was read.
    pub peer_list: bool,
    /// Whether owners of workspaces may have to be asked.
    pub allowance_check: bool,
    /// Whether the pools of workspaces are to be refilled.
    pub allowance_heartbeat: bool,
    /// Whether the graceful shutdown may advance.
    pub drain: bool,
}

impl Dirty {
    /// Whether no system has anything left to process.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
            && self.unplaced_calls.is_empty()
            && self.overdue_calls.is_empty()
            && self.slow_attempts.is_empty()
            && self.unrelayed_records.is_empty()
            && self.peer_lookups.is_empty()
            && self.timed_out_peer_requests.is_empty()
            && self.partitions.is_empty()
            && self.ended_endpoints.is_empty()
            && self.unsettled_programs.is_empty()
            && !self.append_rate
            && !self.expiry
            && !self.lapsed_endpoints
            && !self.unasked_notices
            && !self.leaving_checks
            && !self.untold_notices
            && !self.unpublished_crashes
            && !self.workspaces
            && !self.unknown_callers
            && !self.peer_probes
            && !self.peer_list
            && !self.allowance_check
            && !self.allowance_heartbeat
            && !self.drain
    }
}
