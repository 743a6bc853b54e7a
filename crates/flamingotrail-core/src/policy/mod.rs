//! Policies that differ between deployments: queue order, endpoint placement, and retention of
//! cached context while a program pauses. Each is a trait object selected by the configuration.

mod placement;
mod queue;
mod retention;

pub use placement::{Candidate, Placement, PlacementContext};
pub use queue::{QueueKey, QueueOrder, QueuedAttempt};
pub use retention::{Retention, RetentionContext};

use crate::objects;

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
    pub fn new(config: objects::Policies) -> Self {
        let queue: Box<dyn QueueOrder> = match config.queue {
            objects::QueuePolicy::Fifo => Box::new(queue::Fifo),
            objects::QueuePolicy::LeastAttained => Box::new(queue::LeastAttained),
        };
        let placement: Box<dyn Placement> = match config.placement {
            objects::PlacementPolicy::RoundRobin => Box::new(placement::RoundRobin),
            objects::PlacementPolicy::LeastOutstanding => Box::new(placement::LeastOutstanding),
            objects::PlacementPolicy::Affinity => Box::new(placement::Affinity),
            objects::PlacementPolicy::ExpectedCost => Box::new(placement::ExpectedCost),
        };
        let retention: Box<dyn Retention> = match config.retention {
            objects::RetentionPolicy::EngineOnly => Box::new(retention::EngineOnly),
            objects::RetentionPolicy::ExpectedWaste => Box::new(retention::ExpectedWaste),
        };
        Policies { queue, placement, retention }
    }
}
