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
    pub place: collections::BTreeSet<ids::CallId>,
    /// Calls that ran out of time.
    pub late: collections::BTreeSet<ids::CallId>,
    /// Attempts that have taken too long.
    pub slow: collections::BTreeSet<(ids::CallId, u32)>,
    /// Records that are to be offered to other gateways.
    pub waits: collections::BTreeSet<journal::Key>,
    /// Lookups of other gateways whose next step may be possible.
    pub lookups: collections::BTreeSet<u64>,
    /// Tickets of other gateways that have waited for too long.
    pub overdue: collections::BTreeSet<u64>,
    /// Partitions with something to append or read.
    pub partitions: collections::BTreeSet<ids::Partition>,
    /// Programs of which the log is to be told what is over.
    pub settle: collections::BTreeSet<ids::ProgramId>,
    /// Whether appends may go on.
    pub pace: bool,
    /// Whether rows may have expired.
    pub expiry: bool,
    /// Whether lapsed endpoints are due.
    pub lapsed: bool,
    /// Whether the shutdown may move on.
    pub drain: bool,
}

impl Dirty {
    /// Whether nothing is left.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
            && self.place.is_empty()
            && self.late.is_empty()
            && self.slow.is_empty()
            && self.waits.is_empty()
            && self.lookups.is_empty()
            && self.overdue.is_empty()
            && self.partitions.is_empty()
            && self.settle.is_empty()
            && !self.pace
            && !self.expiry
            && !self.lapsed
            && !self.drain
    }
}
