//! Attempts on the local endpoint, queued and running.

use std::collections;

use crate::ids;
use crate::messages;
use crate::time;

/// Attempts by id.
#[derive(Debug, Default)]
pub struct Runs {
    /// Attempts.
    pub rows: collections::BTreeMap<ids::AttemptId, Run>,
    /// Index: queued attempts.
    pub queued: collections::BTreeSet<ids::AttemptId>,
    /// Number of running attempts.
    pub running: u32,
    /// Whether the running attempt has the endpoint to itself because its content is suspected.
    pub exclusive: bool,
    /// Virtual time of each workspace: service received, divided by its weight.
    pub virtual_time: collections::BTreeMap<ids::WorkspaceName, f64>,
    /// Virtual time of the workspace whose attempt started last, never decreasing. An idle
    /// workspace resumes at this value, so it can't accumulate credit.
    pub virtual_time_floor: f64,
    /// Mean run time, in seconds.
    pub mean_run_s: f64,
    /// Highest epoch seen for each partition.
    pub highest_epochs: collections::BTreeMap<ids::Partition, ids::Epoch>,
}

/// An attempt.
#[derive(Clone, Debug)]
pub struct Run {
    /// The instance that dispatched it.
    pub owner: ids::InstanceName,
    /// The dispatched work.
    pub dispatch: messages::Dispatch,
    /// When it arrived.
    pub arrived_at: time::Timestamp,
    /// When its deadline passes.
    pub deadline: time::Timestamp,
    /// When it started; `None` while it is queued.
    pub started_at: Option<time::Timestamp>,
    /// Whether its owner aborted it.
    pub aborted: bool,
}
