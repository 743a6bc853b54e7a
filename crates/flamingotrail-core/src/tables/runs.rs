//! Attempts on the own endpoint: those that wait and those that run.

use std::collections;

use crate::ids;
use crate::messages;
use crate::time;

/// Attempts by id.
#[derive(Debug, Default)]
pub struct Runs {
    /// Rows.
    pub rows: collections::BTreeMap<ids::AttemptId, Run>,
    /// Index: attempts that wait.
    pub queued: collections::BTreeSet<ids::AttemptId>,
    /// Number of attempts that run.
    pub running: u32,
    /// Whether one runs alone.
    pub exclusive: bool,
    /// Virtual time of each workspace: service received over its weight.
    pub virtual_time: collections::BTreeMap<ids::WorkspaceName, f64>,
    /// Virtual time of the latest start: an idle workspace does not save up more than this.
    pub virtual_time_floor: f64,
    /// Mean length of a run, in seconds.
    pub mean_run_s: f64,
    /// Highest epoch seen of each partition.
    pub highest_epochs: collections::BTreeMap<ids::Partition, ids::Epoch>,
}

/// One attempt.
#[derive(Clone, Debug)]
pub struct Run {
    /// Who dispatched it.
    pub owner: ids::InstanceName,
    /// What to run.
    pub dispatch: messages::Dispatch,
    /// When it came.
    pub arrived_at: time::Timestamp,
    /// Deadline.
    pub deadline: time::Timestamp,
    /// When it was started; none while it waits.
    pub started_at: Option<time::Timestamp>,
    /// Whether its owner no longer wants it.
    pub aborted: bool,
}
