//! Policies that differ between deployments: queue order, endpoint placement, and retention of
//! cached context while a program pauses. Each is a trait object selected by the configuration.

mod placement;
mod queue;
mod retention;

pub use placement::{Candidate, Placement, PlacementContext};
pub use queue::{QueueKey, QueueOrder, QueuedAttempt};
pub use retention::{Retention, RetentionContext};

use crate::config;

/// The active policies.
pub struct Policies {
    /// Order of the attempts queued at an endpoint.
    pub queue: Box<dyn QueueOrder>,
    /// Choice of the endpoint for a call.
    pub placement: Box<dyn Placement>,
    /// Retention of cached context while a program pauses.
    pub retention: Box<dyn Retention>,
}

impl Policies {
    /// Returns the policies named in the configuration.
    pub fn new(config: config::Policies) -> Self {
        let queue: Box<dyn QueueOrder> = match config.queue {
            config::QueuePolicy::Fifo => Box::new(queue::Fifo),
            config::QueuePolicy::LeastAttained => Box::new(queue::LeastAttained),
        };
        let placement: Box<dyn Placement> = match config.placement {
            config::PlacementPolicy::RoundRobin => Box::new(placement::RoundRobin),
            config::PlacementPolicy::LeastOutstanding => Box::new(placement::LeastOutstanding),
            config::PlacementPolicy::Affinity => Box::new(placement::Affinity),
            config::PlacementPolicy::ExpectedCost => Box::new(placement::ExpectedCost),
        };
        let retention: Box<dyn Retention> = match config.retention {
            config::RetentionPolicy::EngineOnly => Box::new(retention::EngineOnly),
            config::RetentionPolicy::ExpectedWaste => Box::new(retention::ExpectedWaste),
        };
        Policies { queue, placement, retention }
    }
}
