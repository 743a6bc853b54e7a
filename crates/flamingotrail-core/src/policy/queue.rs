//! Order of an endpoint's queue.

use std::time as std_time;

use crate::time;
use crate::work;

/// A waiting attempt as the order sees it.
#[derive(Clone, Copy, Debug)]
pub struct QueuedAttempt {
    /// When it came.
    pub arrived_at: time::Timestamp,
    /// How long it has waited.
    pub waited: std_time::Duration,
    /// Rank of its priority class; lower runs first.
    pub rank: u8,
    /// Wait after which rank no longer counts.
    pub starvation_limit: Option<std_time::Duration>,
    /// Service that its workspace received over its weight.
    pub virtual_time: f64,
    /// Service that its whole program attained, in cost units.
    pub attained: work::Cost,
}

/// Place in the queue: the least runs first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueKey {
    /// Not past its starvation limit.
    pub not_starved: bool,
    /// Rank, where it is not past its limit.
    pub rank: u8,
    /// Workspace's virtual time, in steps of [`VIRTUAL_TIME_STEP`].
    pub share_step: u64,
    /// Program's attained service.
    pub attained: work::Cost,
    /// Arrival.
    pub arrived_at: time::Timestamp,
}

/// Virtual time within which workspaces count as level, in service units. A step keeps small
/// differences between workspaces from hiding the order of programs.
pub const VIRTUAL_TIME_STEP: f64 = 2000.0;

/// Orders a queue.
pub trait QueueOrder: Send {
    /// Place of a waiting attempt.
    fn key(&self, queued: &QueuedAttempt) -> QueueKey;
}

/// First come, first served.
pub struct Fifo;

impl QueueOrder for Fifo {
    fn key(&self, queued: &QueuedAttempt) -> QueueKey {
        let arrived_at = queued.arrived_at;
        QueueKey { not_starved: true, rank: 0, share_step: 0, attained: 0, arrived_at }
    }
}

/// Priorities above fair shares of workspaces above least attained service of the whole program
/// (Nuyens and Wierman, "The foreground-background queue: a survey", 2008), with a bound on
/// starvation.
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
