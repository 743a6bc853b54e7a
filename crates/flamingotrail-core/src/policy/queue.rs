//! Order of the attempts queued at an endpoint.

use std::time as std_time;

use crate::time;
use crate::work;

/// A queued attempt, as seen by the policy.
#[derive(Clone, Copy, Debug)]
pub struct QueuedAttempt {
    /// When it arrived.
    pub arrived_at: time::Timestamp,
    /// How long it has been queued.
    pub waited: std_time::Duration,
    /// Rank of its priority class; lower runs first.
    pub rank: u8,
    /// Time in the queue after which its rank is ignored.
    pub starvation_limit: Option<std_time::Duration>,
    /// Service received by its workspace, divided by the workspace's weight.
    pub virtual_time: f64,
    /// Attained service of its whole program tree, in cost units.
    pub attained: work::Cost,
}

/// Sort key in the queue; the lowest runs first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueKey {
    /// Whether the attempt is within its starvation limit; starved attempts sort first.
    pub not_starved: bool,
    /// Rank of the priority class; 0 if the attempt is starved.
    pub rank: u8,
    /// Virtual time of the workspace, in units of `VIRTUAL_TIME_STEP`.
    pub share_step: u64,
    /// Attained service of the program tree.
    pub attained: work::Cost,
    /// Arrival time.
    pub arrived_at: time::Timestamp,
}

/// Virtual time up to which workspaces count as equal, in service units. The step keeps small
/// differences between workspaces from overriding the order of programs.
pub const VIRTUAL_TIME_STEP: f64 = 2000.0;

/// Orders an endpoint's queue.
pub trait QueueOrder: Send {
    /// Returns the sort key of a queued attempt.
    fn key(&self, queued: &QueuedAttempt) -> QueueKey;
}

/// First in, first out.
pub struct Fifo;

impl QueueOrder for Fifo {
    fn key(&self, queued: &QueuedAttempt) -> QueueKey {
        let arrived_at = queued.arrived_at;
        QueueKey { not_starved: true, rank: 0, share_step: 0, attained: 0, arrived_at }
    }
}

/// Orders by priority class, then by fair share of the workspaces, then by least attained service
/// of the whole program (Nuyens and Wierman, "The foreground-background queue: a survey", 2008),
/// with a limit on starvation.
pub struct LeastAttained;

impl QueueOrder for LeastAttained {
    fn key(&self, queued: &QueuedAttempt) -> QueueKey {
        let starved = queued.starvation_limit.is_some_and(|limit| queued.waited >= limit);
        let arrived_at = queued.arrived_at;
        if starved {
            return QueueKey {
                not_starved: false,
                rank: 0,
                share_step: 0,
                attained: 0,
                arrived_at,
            };
        }
        QueueKey {
            not_starved: true,
            rank: queued.rank,
            share_step: (queued.virtual_time / VIRTUAL_TIME_STEP) as u64,
            attained: queued.attained,
            arrived_at,
        }
    }
}
